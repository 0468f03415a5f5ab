#ifndef GG_REQUEST_HOME_REGIONS_H_
#define GG_REQUEST_HOME_REGIONS_H_

#include <string>
#include <vector>

namespace greengage {

/** Regions in which a request may be served, by its route and its tenant. */
class HomeRegions {
 public:
  /** Allows any region. */
  HomeRegions() = default;

  /** Allows the regions that both lists contain. An empty list contains all. */
  HomeRegions(const std::vector<std::string>& of_route,
              const std::vector<std::string>& of_tenant);

  /** Returns whether the request may be served in `region`. */
  bool Allows(const std::string& region) const;

  /** Returns whether there is no region in which it may be served. */
  bool is_empty() const { return is_restricted_ && regions_.empty(); }

  /** Identifies the set among those of other requests. */
  std::string Key() const;

 private:
  bool is_restricted_ = false;
  std::vector<std::string> regions_;
};

}  // namespace greengage

#endif  // GG_REQUEST_HOME_REGIONS_H_
