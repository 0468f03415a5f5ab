#ifndef TESTS_ENTRY_ODD_RESPONSES_H_
#define TESTS_ENTRY_ODD_RESPONSES_H_

#include <string>
#include <vector>

namespace greengage {

/** Start of a response's head; its fields and the empty line are to follow. */
inline constexpr char kHead[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nUpstream-Stamp: stamp\r\n";

/** Returns complete responses with the body "hello", whose end can be told
    without the end of the connection. */
inline std::vector<std::string> FramedResponses() {
  return {std::string(kHead) + "Content-Length: 5\r\n\r\nhello",
          std::string(kHead) +
              "Transfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n"
              "0;z\r\nX-Trailer: a\r\n\r\n"};
}

/** Returns chunked responses that end in a way that Beast can't bear or must
    refuse, each in the parts in which it is sent. */
inline std::vector<std::vector<std::string>> OddChunkedResponses() {
  const std::string head =
      std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string long_text(70'000, 'a');
  return {{head + "5\r\nhello\r\n0\r\nX-Pad: " + long_text + "\r\n\r\n"},
          {head + "5\r\nhello\r\n0\r\n" + long_text + ": a\r\n\r\n"},
          {head + "0\r\n", "\r"},
          {head, "0", "\r", "\n", "\r"},
          {head + "5;x=" + long_text + "\r\nhel"},
          {head + "fffffffffffffffff\r\nhello"},
          {head + "-5\r\nhello\r\n"}};
}

/** Returns the head of an interim response. */
inline std::string InterimHead(const std::string& status) {
  return "HTTP/1.1 " + status + " Wait\r\n\r\n";
}

}  // namespace greengage

#endif  // TESTS_ENTRY_ODD_RESPONSES_H_
