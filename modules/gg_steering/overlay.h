#ifndef GG_STEERING_OVERLAY_H_
#define GG_STEERING_OVERLAY_H_

#include <string>
#include <string_view>
#include <vector>

namespace greengage {

/** Address and availability zone of one daemon. */
struct OverlayNode {
  std::string address;
  std::string zone;
};

/** Number of neighbours in the overlay. */
struct OverlayOptions {
  /** Number of nodes up to which all nodes are neighbours of each other. */
  int full_mesh_max_nodes = 7;
  /** Neighbours on each side in the ring of all nodes. */
  int ring_neighbours_per_side = 2;
  /** Neighbours on each side in the ring of the node's availability zone. */
  int zone_neighbours_per_side = 1;
};

/** Returns the addresses of the neighbours of `self`, sorted.

    All nodes form one ring, ordered by the hash of their address, and the nodes
    of each availability zone form a second one. The neighbours of a node are
    the next nodes on both sides in its two rings. The relation is symmetric,
    each node can compute it from the member list alone, and a node that joins
    or leaves changes the neighbours only of the nodes near it. */
std::vector<std::string> OverlayNeighbours(
    const std::vector<OverlayNode>& nodes, std::string_view self,
    const OverlayOptions& options);

}  // namespace greengage

#endif  // GG_STEERING_OVERLAY_H_
