#ifndef GG_STORE_BOUNDED_PARSER_H_
#define GG_STORE_BOUNDED_PARSER_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <iterator>

#include "gg_store/message_parsing.h"

namespace greengage {

/** Parses one message of a peer and bounds its header. Beast's own limit holds
    for what is parsed at once: if every read ends just behind the start of a
    line, it takes any number of lines.

    Pass it to the functions of message_parsing.h. The functions of Beast would
    call the base class, whose functions it hides. */
template <bool kIsRequest, typename Body>
class BoundedParser : public http::parser<kIsRequest, Body> {
 public:
  BoundedParser() { header_limit(kDefaultHeaderLimit); }

  /** Sets the limit in bytes of the header, including the first line. */
  void header_limit(uint32_t limit) {
    header_limit_ = limit;
    Base::header_limit(limit);
  }

  /** Returns the bytes of the header that were parsed. */
  size_t header_bytes() const { return header_bytes_; }

  /** Parses bytes. Returns at the end of the header, even if `eager` is set.
      @return the number of bytes used. */
  size_t put(asio::const_buffer buffer, ErrorCode& error) {
    if (this->is_header_done()) return Base::put(buffer, error);
    const bool is_eager = this->eager();
    this->eager(false);
    const size_t used = Base::put(buffer, error);
    this->eager(is_eager);
    header_bytes_ += used;
    const bool needs_more = error == http::error::need_more;
    if (error && !needs_more) return used;
    const size_t unparsed = needs_more ? buffer.size() - used : 0;
    if (header_bytes_ + unparsed > header_limit_ || HasTooManyFields()) {
      error = http::error::header_limit;
    }
    return used;
  }

 private:
  using Base = http::parser<kIsRequest, Body>;

  bool HasTooManyFields() const {
    const auto& fields = this->get();
    return std::distance(fields.begin(), fields.end()) > kMaxFields;
  }

  static constexpr uint32_t kDefaultHeaderLimit = 64 * 1024;
  /** Each field takes about 75 bytes more than its text. */
  static constexpr int kMaxFields = 1000;

  uint32_t header_limit_ = 0;
  size_t header_bytes_ = 0;
};

}  // namespace greengage

#endif  // GG_STORE_BOUNDED_PARSER_H_
