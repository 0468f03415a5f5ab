#ifndef GG_CTL_HTTP_GET_H_
#define GG_CTL_HTTP_GET_H_

#include <string>

#include "absl/status/statusor.h"
#include "gg_core/time.h"

namespace greengage {

/** Reads `path` from a daemon's operators' address, blocking.
    @param address  "ip:port".
    @return the body of an answer with status 200; kUnavailable otherwise. */
absl::StatusOr<std::string> HttpGet(const std::string& address,
                                    const std::string& path, Duration timeout);

}  // namespace greengage

#endif  // GG_CTL_HTTP_GET_H_
