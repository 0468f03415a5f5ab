#include "gg_steering/overlay.h"

#include <algorithm>
#include <cstdint>
#include <set>

#include "gg_core/hash.h"

namespace greengage {
namespace {

struct RingEntry {
  uint64_t hash = 0;
  std::string_view address;
  friend auto operator<=>(const RingEntry&, const RingEntry&) = default;
};

/** Adds the `count_per_side` next addresses on each side of `self`. */
void AddRingNeighbours(std::vector<RingEntry> ring, std::string_view self,
                       int count_per_side, std::set<std::string>* neighbours) {
  std::sort(ring.begin(), ring.end());
  const auto at = std::find_if(ring.begin(), ring.end(), [&](const auto& e) {
    return e.address == self;
  });
  if (at == ring.end()) return;
  const auto size = static_cast<int>(ring.size());
  const auto index = static_cast<int>(at - ring.begin());
  for (int distance = 1; distance <= count_per_side; ++distance) {
    for (const int other : {index + distance, index - distance}) {
      const std::string_view address =
          ring[((other % size) + size) % size].address;
      if (address != self) neighbours->emplace(address);
    }
  }
}

}  // namespace

std::vector<std::string> OverlayNeighbours(
    const std::vector<OverlayNode>& nodes, std::string_view self,
    const OverlayOptions& options) {
  std::set<std::string> neighbours;
  std::string_view own_zone;
  std::vector<RingEntry> all;
  for (const OverlayNode& node : nodes) {
    if (node.address == self) own_zone = node.zone;
    all.push_back({Hash64(node.address), node.address});
  }
  if (static_cast<int>(nodes.size()) <= options.full_mesh_max_nodes) {
    for (const OverlayNode& node : nodes) {
      if (node.address != self) neighbours.insert(node.address);
    }
    return {neighbours.begin(), neighbours.end()};
  }
  std::vector<RingEntry> zone;
  for (const OverlayNode& node : nodes) {
    if (node.zone == own_zone) {
      zone.push_back({Hash64(node.address), node.address});
    }
  }
  AddRingNeighbours(std::move(all), self, options.ring_neighbours_per_side,
                    &neighbours);
  AddRingNeighbours(std::move(zone), self, options.zone_neighbours_per_side,
                    &neighbours);
  return {neighbours.begin(), neighbours.end()};
}

}  // namespace greengage
