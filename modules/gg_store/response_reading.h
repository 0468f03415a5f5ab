#ifndef GG_STORE_RESPONSE_READING_H_
#define GG_STORE_RESPONSE_READING_H_

#include <optional>

#include "gg_store/message_parsing.h"
#include "gg_store/response_parser.h"

namespace greengage {

/** Interim responses that are read before a final one. A server sends at most a
    few. */
inline constexpr int kMaxInterimResponses = 16;

/** Status of a response that ends HTTP on the connection; nothing asks for it.
 */
inline constexpr unsigned kSwitchingProtocols = 101;

/** Reads the header of the final response, and nothing of its body. Skips the
    interim responses before it.
    @param parser   receives the parser of the final response
    @param prepare  called with each new parser, to set its limits
    @return http::error::bad_status for a switch of protocols,
            http::error::header_limit for too many interim responses. */
template <typename Stream, typename Body, typename Prepare>
asio::awaitable<ErrorCode> ReadFinalResponseHeader(
    Stream* stream, beast::flat_buffer* buffer,
    std::optional<CheckedResponseParser<Body>>* parser, Prepare prepare) {
  for (int i = 0; i <= kMaxInterimResponses; ++i) {
    parser->emplace();
    prepare(&**parser);
    const ErrorCode error =
        co_await ReadMessageHeader(stream, buffer, &**parser);
    if (error) co_return error;
    const unsigned status = (*parser)->get().result_int();
    if (status == kSwitchingProtocols) co_return http::error::bad_status;
    if (!IsInterim(status)) co_return ErrorCode();
  }
  co_return http::error::header_limit;
}

/** Reads the final response to its end; see ReadFinalResponseHeader(). */
template <typename Stream, typename Body, typename Prepare>
asio::awaitable<ErrorCode> ReadFinalResponse(
    Stream* stream, beast::flat_buffer* buffer,
    std::optional<CheckedResponseParser<Body>>* parser, Prepare prepare) {
  const ErrorCode error =
      co_await ReadFinalResponseHeader(stream, buffer, parser, prepare);
  if (error) co_return error;
  co_return co_await ReadMessage(stream, buffer, &**parser);
}

}  // namespace greengage

#endif  // GG_STORE_RESPONSE_READING_H_
