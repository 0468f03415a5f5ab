#ifndef GG_CTL_TARGET_EDIT_H_
#define GG_CTL_TARGET_EDIT_H_

#include <string>

#include "absl/status/statusor.h"

namespace greengage {

/** Sets the key `leaving` of one target in the text of a service's section. The
    rest of the text, including comments and layout, is unchanged.
    @return the new text; kNotFound when the section has no such target;
            kInvalidArgument when the text is not valid YAML. */
absl::StatusOr<std::string> SetTargetLeaving(const std::string& section_text,
                                             const std::string& service,
                                             const std::string& target,
                                             bool is_leaving);

}  // namespace greengage

#endif  // GG_CTL_TARGET_EDIT_H_
