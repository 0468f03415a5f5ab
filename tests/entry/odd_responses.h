#ifndef TESTS_ENTRY_ODD_RESPONSES_H_
#define TESTS_ENTRY_ODD_RESPONSES_H_

#include <sstream>
#include <string>
#include <vector>

namespace greengage {

/** Start of a response's head; its fields and the empty line are to follow. */
inline constexpr char kHead[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nUpstream-Stamp: stamp\r\n";

/** A response whose body ends with the connection, and its first part. */
inline constexpr char kUnframedResponse[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nUpstream-Stamp: stamp\r\n\r\n"
    "hello";

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

/** Returns a complete response with the given status line. */
inline std::string ResponseWithStatusLine(const std::string& status_line,
                                          const std::string& body) {
  return status_line +
         "\r\nRequest-Id: id-1\r\nUpstream-Stamp: stamp\r\n"
         "Greengage-Attempt: id-1\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Returns `body` as one chunk, with the last chunk and an empty trailer. */
inline std::string ChunkedBody(const std::string& body) {
  std::ostringstream text;
  text << std::hex << body.size() << "\r\n" << body << "\r\n0\r\n\r\n";
  return text.str();
}

/** Returns messages that begin with no status line of HTTP/1.1 (RFC 9112,
    section 4), or with a status outside 100 to 599 (RFC 9110, section 15). */
inline std::vector<std::string> ResponsesWithInvalidStatusLines(
    const std::string& body = "hello") {
  std::vector<std::string> responses;
  for (const char* line : {"HTTP/1.1 000 OK",
                           "HTTP/1.1 001 OK",
                           "HTTP/1.1 099 OK",
                           "HTTP/1.1 600 OK",
                           "HTTP/1.1 999 OK",
                           "HTTP/1.0 000 OK",
                           "HTTP/1.1 20 OK",
                           "HTTP/1.1 2000 OK",
                           "HTTP/1.1  200 OK",
                           "HTTP/1.1 -20 OK",
                           "HTTP/1.1 +20 OK",
                           "HTTP/1.1 2x0 OK",
                           "HTTP/1.1\t200 OK",
                           "HTTP/1.1 200",
                           "HTTP/2.0 200 OK",
                           "HTTP/0.9 200 OK",
                           "http/1.1 200 OK",
                           " HTTP/1.1 200 OK",
                           "\r\nHTTP/1.1 200 OK",
                           "HTTP/1.1 200 O\x01K",
                           "HTTP/1.1 200 O\nK",
                           "HTTP/1.1 200 O\rK",
                           "200 OK",
                           "hello"}) {
    responses.push_back(ResponseWithStatusLine(line, body));
  }
  for (const char* status : {"000", "099", "600"}) {
    responses.push_back(InterimHead(status) +
                        ResponseWithStatusLine("HTTP/1.1 200 OK", body));
  }
  return responses;
}

/** Returns lines that are no field (RFC 9110, section 5): the name holds
    anything but the characters of a token, or the value a control byte. */
inline std::vector<std::string> InvalidFieldLines() {
  using namespace std::string_literals;
  return {"X Pad: a",
          "X-Pad : a",
          "X-Pad\t: a",
          "X\tPad: a",
          "X-\x01Pad: a",
          "X-\0Pad: a"s,
          "X-\x7fPad: a",
          "X-\x80Pad: a",
          "X-\rPad: a",
          "X-\nPad: a",
          "\x01: a",
          ": a",
          "X-Pad",
          "X(Pad: a",
          "X\"Pad: a",
          "Content Length: 1",
          "Content-Length : 1",
          "Transfer-Encoding : x",
          "Content-\x01Length: 1",
          "X-Pad: a\x01",
          "X-Pad: \0"s,
          "X-Pad: \x7f",
          "X-Pad: a\rb",
          "X-Pad: a\nb"};
}

/** Returns responses with one invalid line: first or last in the head, or in
    the head of an interim response. */
inline std::vector<std::string> ResponsesWithInvalidFields(
    const std::string& body = "hello") {
  const std::string response = ResponseWithStatusLine("HTTP/1.1 200 OK", body);
  const size_t fields_begin = response.find("\r\n") + 2;
  const size_t fields_end = response.find("\r\n\r\n") + 2;
  std::vector<std::string> responses;
  // A blank at the start of the first line continues no other line.
  responses.push_back(std::string(response).insert(fields_begin, " X: a\r\n"));
  for (const std::string& field : InvalidFieldLines()) {
    const std::string line = field + "\r\n";
    responses.push_back(std::string(response).insert(fields_begin, line));
    responses.push_back(std::string(response).insert(fields_end, line));
    responses.push_back("HTTP/1.1 103 Wait\r\n" + line + "\r\n" + response);
  }
  return responses;
}

/** Returns chunked responses with one invalid line in the trailer. */
inline std::vector<std::string> ResponsesWithInvalidTrailers(
    const std::string& body = "hello") {
  const std::string response = std::string(kHead) +
                               "Transfer-Encoding: chunked\r\n\r\n" +
                               ChunkedBody(body);
  std::vector<std::string> responses;
  for (const std::string& field : InvalidFieldLines()) {
    responses.push_back(
        std::string(response).insert(response.size() - 2, field + "\r\n"));
  }
  return responses;
}

/** Returns responses whose body can't be told from the bytes that follow, or is
    in a transfer coding that nobody asked for (RFC 9112, sections 6.1 to 6.3).
    All are followed by the end of the connection. */
inline std::vector<std::string> ResponsesWithInvalidFraming(
    const std::string& body = "hello") {
  const std::string head = kHead;
  const std::string length =
      "Content-Length: " + std::to_string(body.size()) + "\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string chunks = ChunkedBody(body);
  std::vector<std::string> responses = {
      head + "Transfer-Encoding: gzip\r\n\r\n" + body,
      head + "Transfer-Encoding: gzip\r\n" + length + "\r\n" + body,
      head + length + "Transfer-Encoding: gzip\r\n\r\n" + body,
      head + "Transfer-Encoding: gzip\r\n" + chunked + "\r\n" + chunks,
      head + chunked + "Transfer-Encoding: gzip\r\n\r\n" + chunks,
      head + chunked + chunked + "\r\n" + chunks,
      head + chunked + length + "\r\n" + chunks,
      head + length + chunked + "\r\n" + chunks,
      "HTTP/1.0 200 OK\r\nRequest-Id: id-1\r\n" + chunked + "\r\n" + chunks,
      head + length + "Content-Length: 1\r\n\r\n" + body};
  for (const char* coding :
       {"chunked, gzip", "gzip, chunked", "chunked, chunked", "chunked;q=1",
        "\"chunked\"", "xchunked", "chunkedx", "identity", ""}) {
    for (const std::string& text : {body, chunks}) {
      responses.push_back(head + "Transfer-Encoding: " + coding + "\r\n\r\n" +
                          text);
    }
  }
  const std::string size = std::to_string(body.size());
  for (const std::string& value :
       {"+" + size, "-" + size, size + "x", "0x" + size, size + ", 1",
        size + ".0", std::string(), size + " " + size,
        std::string("18446744073709551621")}) {
    responses.push_back(head + "Content-Length: " + value + "\r\n\r\n" + body);
  }
  return responses;
}

/** Returns chunked responses whose chunks are delimited by lines that the
    grammar does not permit (RFC 9112, section 7.1). */
inline std::vector<std::string> ResponsesWithInvalidChunks(
    const std::string& body = "hello") {
  using namespace std::string_literals;
  const std::string head =
      std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string chunks = ChunkedBody(body);
  const size_t size_end = chunks.find("\r\n");
  const size_t body_end = size_end + 2 + body.size();
  std::vector<std::string> responses;
  for (const std::string& extension :
       {" "s, ";"s, ";="s, ";x="s, ";x=\""s, ";x=\"\x01\""s, ";x=\"\0\""s,
        ";x=\"\n\""s, ";x=\"a\\\n\""s, ";x=\"\x7f\""s, ";x\x01"s, ";x=a\n"s,
        ";\r"s, " x"s, "x"s}) {
    responses.push_back(head + std::string(chunks).insert(size_end, extension));
    // Of the last chunk.
    responses.push_back(
        head + std::string(chunks).insert(chunks.size() - 4, extension));
  }
  for (const char* prefix : {" ", "+", "-", "0x", "\r\n", "\n", "g"}) {
    responses.push_back(head + prefix + chunks);
  }
  responses.push_back(head + std::string(chunks).erase(size_end, 1));
  responses.push_back(head + std::string(chunks).erase(body_end, 2));
  responses.push_back(head + std::string(chunks).insert(body_end, "!"));
  responses.push_back(head + "10000000000000005\r\n" + body + "\r\n0\r\n\r\n");
  return responses;
}

/** Returns responses that have no body but announce one. */
inline std::vector<std::string> BodilessResponsesThatAnnounceABody() {
  const std::string head =
      "HTTP/1.1 204 No Content\r\nRequest-Id: id-1\r\n"
      "Greengage-Attempt: id-1\r\n";
  return {head + "Content-Length: 5\r\n\r\n",
          head + "Transfer-Encoding: chunked\r\n\r\n"};
}

/** Returns a chunked response with the body "hello", whose trailer says what
    only a header can say. */
inline std::string ResponseWithTrailer(const std::string& header_fields,
                                       const std::string& trailer_fields) {
  const std::string response = "HTTP/1.1 200 OK\r\n" + header_fields +
                               "Transfer-Encoding: chunked\r\n\r\n" +
                               ChunkedBody("hello");
  return std::string(response).insert(response.size() - 2, trailer_fields);
}

/** A message that goes on until its reader closes the connection. */
struct EndlessMessage {
  std::string start;
  std::string repeated;

  /** Returns the end of the start and the beginning of what is repeated. */
  std::string Name() const {
    constexpr size_t kLength = 40;
    const size_t begin = start.size() > kLength ? start.size() - kLength : 0;
    return start.substr(begin) + " | " + repeated.substr(0, kLength);
  }
};

/** The most that a reader may take of a message without end: the longest body,
    and what the connection buffers. */
inline constexpr size_t kMaxEndlessBytes = 32 * 1024 * 1024;

/** Returns responses without an end of the header, the framing or the trailer.
    Lines are sent one at a time, so that reads end with them, or one byte after
    them. */
inline std::vector<EndlessMessage> EndlessResponses() {
  const std::string text(16 * 1024, 'a');
  const std::string line = "X-Pad: aaaaaaa\r\n";
  const std::string head = kHead;
  const std::string chunked_head = head + "Transfer-Encoding: chunked\r\n\r\n";
  return {{"", text},
          {"HTTP/1.1 200 ", text},
          {head + "X-Pad: ", text},
          {head + "X-Pad", text},
          {head, line},
          {head, line + line + line + line},
          {head + "X", "-Pad: aaaaaaa\r\nX"},
          {head, " " + text + "\r\n"},
          {"", InterimHead("103")},
          {"HTTP/1.1 103 Wait\r\n", line},
          {"HTTP/1.1 103 Wait\r\nX", "-Pad: aaaaaaa\r\nX"},
          {chunked_head, std::string(16 * 1024, '0')},
          {chunked_head + "5;x=", text},
          {chunked_head + "5\r\nhello\r\n0;x=\"", text},
          {chunked_head + "5\r\nhello\r\n0\r\nX-Pad: ", text},
          {chunked_head + "5\r\nhello\r\n0\r\n", line}};
}

/** Returns responses whose body has no end. */
inline std::vector<EndlessMessage> EndlessBodies() {
  const std::string head = kHead;
  const std::string text(0x4000, 'a');
  return {
      {head + "\r\n", text},
      {head + "Content-Length: 1000000000000\r\n\r\n", text},
      {head + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + text + "\r\n"},
      {head + "Transfer-Encoding: chunked\r\n\r\nffffffffff\r\n", text}};
}

/** Returns messages that are no response, of every kind. */
inline std::vector<std::string> BrokenResponses() {
  std::vector<std::string> responses;
  for (const auto& kind :
       {ResponsesWithInvalidStatusLines(), ResponsesWithInvalidFields(),
        ResponsesWithInvalidTrailers(), ResponsesWithInvalidFraming(),
        ResponsesWithInvalidChunks()}) {
    responses.insert(responses.end(), kind.begin(), kind.end());
  }
  return responses;
}

}  // namespace greengage

#endif  // TESTS_ENTRY_ODD_RESPONSES_H_
