#ifndef GG_STORE_RESPONSE_PARSER_H_
#define GG_STORE_RESPONSE_PARSER_H_

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <cstdint>
#include <iterator>
#include <optional>
#include <utility>

#include "gg_store/bounded_parser.h"

namespace greengage {

/** Parses one response of a peer. Refuses what Beast accepts although RFC 9110
    and RFC 9112 do not; every response that another process sends is read by
    this class.

    Pass it to the functions of message_parsing.h. The functions of Beast would
    call the base class, which checks nothing. */
template <typename Body>
class CheckedResponseParser : public BoundedParser<false, Body> {
 public:
  CheckedResponseParser() { this->on_chunk_header(CheckChunkExtension); }

  /** Parses bytes; hides the function of the base class.
      @return the number of bytes used. */
  size_t put(asio::const_buffer buffer, ErrorCode& error) {
    return this->is_header_done() ? PutBody(buffer, error)
                                  : PutHeader(buffer, error);
  }

  /** Returns whether the connection may carry another response; hides the
      function of the base class. A response that has no body but announces one
      ends with its header (RFC 9112, section 6.3); the body may still arrive.
   */
  bool keep_alive() const {
    const unsigned status = this->get().result_int();
    const bool is_bodiless = IsInterim(status) || status == kNoContent;
    const bool announces_body =
        this->chunked() || this->content_length().value_or(0) > 0;
    return Base::keep_alive() && !(is_bodiless && announces_body);
  }

 private:
  using Base = BoundedParser<false, Body>;

  size_t PutHeader(asio::const_buffer buffer, ErrorCode& error) {
    const size_t used = Base::put(buffer, error);
    if (error || !this->is_header_done()) return used;
    error = CheckHeader();
    if (this->chunked()) header_ = this->get().base();
    return used;
  }

  size_t PutBody(asio::const_buffer buffer, ErrorCode& error) {
    const size_t used = Base::put(buffer, error);
    // Beast adds the fields of a trailer to the header. They must not be merged
    // (RFC 9110, section 6.5.1), and are dropped.
    if (this->is_done() && header_) this->get().base() = *std::move(header_);
    return used;
  }

  ErrorCode CheckHeader() {
    const unsigned status = this->get().result_int();
    if (status < kMinStatus || status > kMaxStatus) {
      return http::error::bad_status;
    }
    if (!HasUsableCoding()) return http::error::bad_transfer_encoding;
    return {};
  }

  /** Returns whether the body is sent as it is or in chunks. No request asks
     for another coding, and Beast takes a body in an unknown one for the plain
      body. A response of HTTP/1.0 has no coding. */
  bool HasUsableCoding() const {
    const auto [first, last] =
        this->get().equal_range(http::field::transfer_encoding);
    if (first == last) return true;
    return std::next(first) == last &&
           beast::iequals(first->value(), "chunked") &&
           this->get().version() >= 11;
  }

  /** Refuses control bytes in the quoted strings of a chunk extension, which
      Beast does not look at. */
  static void CheckChunkExtension(uint64_t /*size*/,
                                  beast::string_view extension,
                                  ErrorCode& error) {
    const bool is_valid =
        std::all_of(extension.begin(), extension.end(), [](char c) {
          const auto byte = static_cast<unsigned char>(c);
          return byte == '\t' || (byte >= ' ' && byte != kDelete);
        });
    if (!is_valid) error = http::error::bad_chunk_extension;
  }

  std::optional<http::response_header<>> header_;  // of a chunked response

  // RFC 9110, section 15.
  static constexpr unsigned kMinStatus = 100;
  static constexpr unsigned kMaxStatus = 599;
  static constexpr unsigned kNoContent = 204;
  static constexpr unsigned char kDelete = 0x7f;
};

}  // namespace greengage

#endif  // GG_STORE_RESPONSE_PARSER_H_
