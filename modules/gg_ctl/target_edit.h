#ifndef GG_CTL_TARGET_EDIT_H_
#define GG_CTL_TARGET_EDIT_H_

#include <string>

#include "absl/status/statusor.h"

namespace greengage {

/** Returns the text of a service's section with the target's `leaving` set.
    Everything else, comments and layout included, stays as it is. kNotFound
   when the section has no such target. */
absl::StatusOr<std::string> SetTargetLeaving(const std::string& section_text,
                                             const std::string& service,
                                             const std::string& target,
                                             bool is_leaving);

}  // namespace greengage

#endif  // GG_CTL_TARGET_EDIT_H_
