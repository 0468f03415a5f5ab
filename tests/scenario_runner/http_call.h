#ifndef TESTS_SCENARIO_RUNNER_HTTP_CALL_H_
#define TESTS_SCENARIO_RUNNER_HTTP_CALL_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace greengage::scenario {

/** Request that the command `call` sends. */
struct Call {
  std::string address;
  std::string method = "GET";
  std::string path = "/";
  std::map<std::string, std::string> headers;
  std::string body;
};

/** Response to a call. */
struct Reply {
  int status = 0;  // 0: no complete response
  std::string outcome;
  std::string body;
};

/** Sends one request and blocks until the response arrives. The status is 0 if
    no complete response arrives within 30 s. */
Reply Send(const Call& call);

/** Returns the JSON body of the response to a GET of `path`. If the body is not
    JSON, the value is of the type "discarded", as nlohmann::json::parse()
    returns it. */
nlohmann::json FetchJson(const std::string& address, const std::string& path);

/** Sends bytes and returns what the server sends until it closes the connection
    or sends nothing for a second. */
std::string SendRaw(const std::string& address, const std::string& bytes);

/** Sends bytes and closes the connection without waiting for a response. */
void SendAndClose(const std::string& address, const std::string& bytes);

}  // namespace greengage::scenario

#endif  // TESTS_SCENARIO_RUNNER_HTTP_CALL_H_
