#ifndef TESTS_SCENARIO_RUNNER_HTTP_CALL_H_
#define TESTS_SCENARIO_RUNNER_HTTP_CALL_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace greengage::scenario {

/** Request of a `call`. */
struct Call {
  std::string address;
  std::string method = "GET";
  std::string path = "/";
  std::map<std::string, std::string> headers;
  std::string body;
};

struct Reply {
  int status = 0;  // 0: no whole answer
  std::string outcome;
  std::string body;
};

/** Sends one request, blocking; status 0 when no whole answer came. */
Reply Send(const Call& call);

/** Returns the JSON that a GET of `path` answers; null when there is none. */
nlohmann::json FetchJson(const std::string& address, const std::string& path);

/** Sends bytes and returns what comes back until the other side closes or is
    silent for a second. */
std::string SendRaw(const std::string& address, const std::string& bytes);

/** Sends bytes and closes without waiting for an answer. */
void SendAndClose(const std::string& address, const std::string& bytes);

}  // namespace greengage::scenario

#endif  // TESTS_SCENARIO_RUNNER_HTTP_CALL_H_
