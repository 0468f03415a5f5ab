// Replaces the handler of Boost's assertions, which ends the process. Some
// assertions of Boost.Beast can be reached by what a peer sends. An exception
// ends that peer's connection only, where the caller of the library catches it,
// and the process everywhere else.

#include <stdexcept>
#include <string>

namespace boost {

void assertion_failed(const char* expression, const char* /*function*/,
                      const char* file, long line) {  // NOLINT
  throw std::logic_error(std::string("assertion failed: ") + expression +
                         " at " + file + ":" + std::to_string(line));
}

void assertion_failed_msg(const char* expression, const char* message,
                          const char* function, const char* file,
                          long line) {  // NOLINT
  assertion_failed((std::string(expression) + ", " + message).c_str(), function,
                   file, line);
}

}  // namespace boost
