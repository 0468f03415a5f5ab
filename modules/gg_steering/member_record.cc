#include "gg_steering/member_record.h"

#include <tuple>

namespace greengage {

bool Supersedes(const MemberRecord& a, const MemberRecord& b) {
  return std::tie(a.id.incarnation, a.version, a.state) >
         std::tie(b.id.incarnation, b.version, b.state);
}

}  // namespace greengage
