#ifndef GG_CTL_HTTP_GET_H_
#define GG_CTL_HTTP_GET_H_

#include <string>

#include "absl/status/statusor.h"
#include "gg_core/time.h"

namespace greengage {

/** Sends a GET request to the admin address of a daemon, and blocks until the
    response has arrived or `timeout` has passed.
    @param address  "ip:port".
    @return the body of a response with status 200; kUnavailable otherwise. */
absl::StatusOr<std::string> HttpGet(const std::string& address,
                                    const std::string& path, Duration timeout);

}  // namespace greengage

#endif  // GG_CTL_HTTP_GET_H_
