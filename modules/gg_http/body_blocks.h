#ifndef GG_HTTP_BODY_BLOCKS_H_
#define GG_HTTP_BODY_BLOCKS_H_

#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gg_http/http_types.h"
#include "gg_http/memory_budget.h"

namespace greengage {

/** The body of a message, in blocks that grow with what arrives. An announced
    length takes no memory, and no bytes move when the body grows. Copies share
    the bytes; only the one object that has them may append. */
class BodyBlocks {
 public:
  static constexpr size_t kMaxBlockBytes = size_t{64} * 1024;

  BodyBlocks() = default;
  // Implicit, as a text is assigned to the body of a message.
  BodyBlocks(std::string_view text) {  // NOLINT(google-explicit-constructor)
    Append(text.data(), text.size());
  }
  BodyBlocks(const std::string& text)  // NOLINT(google-explicit-constructor)
      : BodyBlocks(std::string_view(text)) {}
  BodyBlocks(const char* text)  // NOLINT(google-explicit-constructor)
      : BodyBlocks(std::string_view(text)) {}

  //==============================================================================
  void Append(const char* bytes, size_t count);

  /** Keeps `hold` until the last copy is destroyed. */
  void KeepHold(MemoryHold hold);

  //==============================================================================
  size_t size() const { return data_ == nullptr ? 0 : data_->size; }
  bool empty() const { return size() == 0; }

  /** Returns the memory that the blocks take. */
  size_t allocated_bytes() const {
    return data_ == nullptr ? 0 : data_->allocated_bytes;
  }

  size_t block_count() const {
    return data_ == nullptr ? 0 : data_->blocks.size();
  }
  asio::const_buffer block(size_t index) const {
    const Block& block = data_->blocks[index];
    return {block.bytes.get(), block.size};
  }

  std::string ToString() const;

 private:
  struct Block {
    std::unique_ptr<char[]> bytes;
    size_t size = 0;
    size_t capacity = 0;
  };
  struct Data {
    std::vector<Block> blocks;
    size_t size = 0;
    size_t allocated_bytes = 0;
    MemoryHold hold;
  };

  std::shared_ptr<Data> data_;
};

/** Body type for messages of Boost.Beast whose body is a BodyBlocks. */
struct BlockBody {
  using value_type = BodyBlocks;

  static uint64_t size(const value_type& body) { return body.size(); }

  class reader {
   public:
    template <bool kIsRequest, typename Fields>
    reader(http::header<kIsRequest, Fields>& /*header*/, value_type& body)
        : body_(body) {}

    void init(const boost::optional<uint64_t>& /*length*/, ErrorCode& error) {
      error = {};
    }

    template <typename Buffers>
    size_t put(const Buffers& buffers, ErrorCode& error) {
      error = {};
      size_t count = 0;
      for (const asio::const_buffer buffer :
           beast::buffers_range_ref(buffers)) {
        body_.Append(static_cast<const char*>(buffer.data()), buffer.size());
        count += buffer.size();
      }
      return count;
    }

    void finish(ErrorCode& error) { error = {}; }

   private:
    value_type& body_;
  };

  class writer {
   public:
    using const_buffers_type = asio::const_buffer;

    template <bool kIsRequest, typename Fields>
    writer(const http::header<kIsRequest, Fields>& /*header*/,
           const value_type& body)
        : body_(body) {}

    void init(ErrorCode& error) { error = {}; }

    boost::optional<std::pair<const_buffers_type, bool>> get(ErrorCode& error) {
      error = {};
      if (body_.block_count() == 0) {
        return {{const_buffers_type{nullptr, 0}, false}};
      }
      const asio::const_buffer block = body_.block(next_);
      ++next_;
      return {{block, next_ < body_.block_count()}};
    }

   private:
    const value_type& body_;
    size_t next_ = 0;
  };
};

}  // namespace greengage

#endif  // GG_HTTP_BODY_BLOCKS_H_
