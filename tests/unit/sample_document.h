#ifndef TESTS_UNIT_SAMPLE_DOCUMENT_H_
#define TESTS_UNIT_SAMPLE_DOCUMENT_H_

#include <string>

namespace greengage {

/** Returns a valid document with the regions north and south, and one service,
    "shop", with targets in both.
    @param split  fractions of the home region north, as YAML.
    @param capacity  capacity of each region. */
inline std::string SampleDocument(
    const std::string& split = "{north: 1.0, south: 0.0}",
    const std::string& capacity = "40") {
  return R"(# Head of the file.
platform:
  owner: operations
  deployment: sample
  slices: 24
  regions:
    north: {capacity: )" +
         capacity + R"(, zones: [north-1, north-2]}
    south: {capacity: )" +
         capacity + R"(, zones: [south-1, south-2]}
  links:
    - {from: north, to: south, bytes_per_second: 1000000}
    - {from: south, to: north, bytes_per_second: 1000000}
  blocks:
    - {block: 10.1.0.0/16, region: north}
    - {block: 10.1.2.0/24, region: south}

# The shop.
shop:
  owner: shop-team
  hosts: [shop.example]
  shift: {cap: 0.2, window: 20s}
  split:
    north: )" +
         split + R"(
  routes:
    - {method: GET, path: /, kind: browse, weight: 1, idempotent: true, time_limit: 2s}
    - {method: GET, path: /long, kind: long, weight: 5, idempotent: false}
  targets:
    - {name: n1, address: "10.9.0.1:80", zone: north-1, slots: 200, connections: 400}
    - {name: n2, address: "10.9.0.2:80", zone: north-2, slots: 200, connections: 400}
    - {name: s1, address: "10.9.1.1:80", zone: south-1, slots: 200, connections: 400}
)";
}

}  // namespace greengage

#endif  // TESTS_UNIT_SAMPLE_DOCUMENT_H_
