#ifndef GG_STEERING_OVERLAY_H_
#define GG_STEERING_OVERLAY_H_

#include <string>
#include <string_view>
#include <vector>

namespace greengage {

/** Place of one daemon, as far as the overlay needs it. */
struct OverlayNode {
  std::string address;
  std::string zone;
};

/** How many neighbours each daemon has. */
struct OverlayOptions {
  /** Up to this many nodes everyone is everyone's neighbour. */
  int full_mesh_max_nodes = 7;
  /** Neighbours on each side in the ring of all nodes. */
  int ring_neighbours_per_side = 2;
  /** Neighbours on each side in the ring of the own availability zone. */
  int zone_neighbours_per_side = 1;
};

/** Returns the addresses of the neighbours of `self`, sorted.

    All nodes are put in one ring by the hash of their address, and those of an
    availability zone in a ring of their own; a node's neighbours are the next
    ones on both sides of it. The relation is symmetric, each node can compute
   it from the member list alone, and a node's coming or going changes it near
   that node only. */
std::vector<std::string> OverlayNeighbours(
    const std::vector<OverlayNode>& nodes, std::string_view self,
    const OverlayOptions& options);

}  // namespace greengage

#endif  // GG_STEERING_OVERLAY_H_
