#ifndef GG_STORE_MESSAGE_PARSING_H_
#define GG_STORE_MESSAGE_PARSING_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <exception>

#include "gg_store/asio.h"

namespace greengage {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/** Largest part of a message that is read at once. */
inline constexpr size_t kMaxReadBytes = 64 * 1024;

/** Most bytes of a connection that are buffered because they can't be parsed
    yet: a part of a header, or of the framing between two chunks of a body,
    which has no limit in Beast. */
inline constexpr size_t kMaxUnparsedBytes = 128 * 1024;

/** Returns true for an interim response (1xx), whether or not Beast knows its
    status. Another response to the same request follows. */
inline bool IsInterim(unsigned status) { return status / 100 == 1; }

/** Runs one call of a parser. Beast throws for some messages that a peer can
    send, such as a field of 64 KiB in a trailer, and asserts on others. Both
    become an error, so that such a message ends its connection only.
    @return the parser's error, or http::error::bad_value for an exception. */
template <typename Call>
ErrorCode CallParser(const Call& call) {
  ErrorCode error;
  try {
    call(error);
  } catch (const std::exception&) {
    error = http::error::bad_value;
  }
  return error;
}

/** Passes the buffered bytes to the parser once, and removes those that it has
    used.
    @param used  receives their number. */
template <typename Parser>
ErrorCode ParseOnce(beast::flat_buffer* buffer, Parser* parser, size_t* used) {
  *used = 0;
  const ErrorCode error =
      CallParser([&](ErrorCode& e) { *used = parser->put(buffer->data(), e); });
  buffer->consume(*used);
  return error;
}

/** Passes buffered bytes to the parser until it needs more or is done.
    @return http::error::need_more if bytes are missing. */
template <typename Parser>
ErrorCode ParseBuffered(beast::flat_buffer* buffer, Parser* parser) {
  size_t used = 1;
  while (buffer->size() > 0 && used > 0 && !parser->is_done()) {
    const ErrorCode error = ParseOnce(buffer, parser, &used);
    if (error) return error;
  }
  if (parser->is_done()) return {};
  return http::error::need_more;
}

/** Tells the parser that a read has reported the end of the stream. After an
    error of the connection it ends no message (RFC 9112, section 8).
    @return OK if the message is complete, http::error::end_of_stream if none
            has begun. */
template <typename Parser>
ErrorCode ParseEndOfStream(asio::ip::tcp::socket& socket, Parser* parser) {
  if (HasConnectionFailed(socket)) return asio::error::connection_reset;
  if (!parser->got_some()) return http::error::end_of_stream;
  return CallParser([&](ErrorCode& e) { parser->put_eof(e); });
}

/** Reads from `stream` until the parser has made progress, as
    http::async_read_some() does, but turns the parser's exceptions into errors.
    @return http::error::need_buffer if the buffer of the body is full. */
template <typename Stream, typename Parser>
asio::awaitable<ErrorCode> ReadMessageSome(Stream* stream,
                                           beast::flat_buffer* buffer,
                                           Parser* parser) {
  for (;;) {
    ErrorCode error = http::error::need_more;
    size_t used = 0;
    if (buffer->size() > 0) error = ParseOnce(buffer, parser, &used);
    if (error != http::error::need_more) co_return error;
    const size_t size = beast::read_size(*buffer, kMaxReadBytes);
    if (size == 0) co_return http::error::buffer_overflow;
    error = {};
    const size_t count =
        co_await stream->async_read_some(buffer->prepare(size), Await(&error));
    buffer->commit(count);
    if (error == asio::error::eof) {
      co_return ParseEndOfStream(stream->socket(), parser);
    }
    if (error) co_return error;
  }
}

/** Reads the header of a message, and nothing of its body; see
    ReadMessageSome(). */
template <typename Stream, typename Parser>
asio::awaitable<ErrorCode> ReadMessageHeader(Stream* stream,
                                             beast::flat_buffer* buffer,
                                             Parser* parser) {
  parser->eager(false);
  ErrorCode error;
  while (!error && !parser->is_header_done()) {
    error = co_await ReadMessageSome(stream, buffer, parser);
  }
  co_return error;
}

/** Reads a message to its end; see ReadMessageSome(). */
template <typename Stream, typename Parser>
asio::awaitable<ErrorCode> ReadMessage(Stream* stream,
                                       beast::flat_buffer* buffer,
                                       Parser* parser) {
  parser->eager(true);
  ErrorCode error;
  while (!error && !parser->is_done()) {
    error = co_await ReadMessageSome(stream, buffer, parser);
  }
  co_return error;
}

}  // namespace greengage

#endif  // GG_STORE_MESSAGE_PARSING_H_
