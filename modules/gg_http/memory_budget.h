#ifndef GG_HTTP_MEMORY_BUDGET_H_
#define GG_HTTP_MEMORY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <mutex>

#include "gg_core/enum_names.h"

namespace greengage {

/** What the process holds for its peers. */
enum class MemoryClass {
  kConnection,     // the fixed cost of a caller's connection
  kRequestHeader,  // of a caller's request, while it arrives and is handled
  kRequestBody,    // until no attempt needs it any more
  kReadAhead,      // bytes of a caller's next requests
  kResponse,       // of a target, until the caller has received it
};

inline constexpr size_t kMemoryClassCount = 5;
inline constexpr EnumNames<MemoryClass, kMemoryClassCount> kMemoryClassNames{
    {"connection", "request_header", "request_body", "read_ahead", "response"}};

/** Result of asking for memory. */
enum class MemoryDecision {
  kGranted,
  kWait,     // is to be asked for again; nothing is read meanwhile
  kRefused,  // of a class that can't wait
};

/** Accounts for the memory that the process holds for its peers, and decides
    who may add to it. Uses no sockets and no clock. Any thread may call any
    method. */
class MemoryBudget {
 public:
  /** Largest number of bytes held for one peer up to which it may use the
      reserve. It takes a header and a body that is buffered as a whole. */
  static constexpr size_t kSmallHolderBytes = size_t{96} * 1024;

  struct Options {
    size_t limit_bytes = std::numeric_limits<size_t>::max();
    /** Most bytes of requests and read-ahead, without small holders. */
    size_t request_limit_bytes = std::numeric_limits<size_t>::max();
    /** Most bytes of responses, without small holders. */
    size_t response_limit_bytes = std::numeric_limits<size_t>::max();
    /** Part of `limit_bytes` that only small holders may use. */
    size_t reserve_bytes = 0;
    size_t max_connections = std::numeric_limits<size_t>::max();
  };

  /** Numbers of decisions since the start. */
  struct Counts {
    std::array<uint64_t, kMemoryClassCount> granted{};
    std::array<uint64_t, kMemoryClassCount> waiting{};
    std::array<uint64_t, kMemoryClassCount> refused{};
  };

  explicit MemoryBudget(Options options) : options_(options) {}

  /** Returns the options for a machine with `memory_mb` of memory. A number of
      connections of 0 sets no limit on them. */
  static Options OptionsForMachine(int64_t memory_mb, size_t max_connections);

  //==============================================================================
  /** Takes `bytes`, unless the decision is not kGranted.
      @param holder_bytes  what the peer holds together with `bytes` */
  MemoryDecision Take(MemoryClass memory_class, size_t bytes,
                      size_t holder_bytes);

  /** Takes bytes that the process holds already, such as those of a read that
      was larger than expected. */
  void Add(MemoryClass memory_class, size_t bytes);

  /** Gives back bytes that were taken. */
  void Return(MemoryClass memory_class, size_t bytes);

  /** Counts a connection, unless there are as many as allowed.
      @return whether it may be kept. */
  bool TryAddConnection();
  /** Counts a connection for which another one is being closed. */
  void AddConnection();
  void RemoveConnection();

  /** A peer waits for memory, or no longer does. */
  void AddWaiter();
  void RemoveWaiter();

  //==============================================================================
  /** Returns true if a peer waits for memory or soon will. */
  bool IsShort() const;

  /** Returns the number of bytes to free so that memory is no longer short; 0
      when it is not. */
  size_t BytesToFree() const;

  size_t used_bytes(MemoryClass memory_class) const;
  size_t used_bytes() const;
  size_t connections() const;
  size_t waiters() const;
  Counts counts() const;
  const Options& options() const { return options_; }

  /** Returns by how much the use has fallen from its peak since the last call
      that returned a number, if by at least `minimum`; else 0. Bytes that are
      taken and given back all the time do not count. */
  size_t TakeFallenBytes(size_t minimum);

 private:
  static bool IsRequestClass(MemoryClass memory_class) {
    return memory_class != MemoryClass::kConnection &&
           memory_class != MemoryClass::kResponse;
  }
  size_t RequestBytes() const;
  bool Fits(MemoryClass memory_class, size_t bytes, size_t holder_bytes) const;
  /** Returns by how much the use exceeds `share` of the limits. */
  size_t BytesAbove(double share) const;

  const Options options_;
  mutable std::mutex mutex_;
  std::array<size_t, kMemoryClassCount> used_{};
  size_t total_ = 0;
  size_t connections_ = 0;
  size_t waiters_ = 0;
  size_t peak_ = 0;  // of total_, see TakeFallenBytes()
  Counts counts_;
};

/** Bytes of one class that are held for one peer. Gives them back when it is
    destroyed. Without a budget it grants everything. */
class MemoryHold {
 public:
  MemoryHold() = default;
  MemoryHold(MemoryBudget* budget, MemoryClass memory_class)
      : budget_(budget), class_(memory_class) {}
  ~MemoryHold() { Release(); }
  MemoryHold(MemoryHold&& other) noexcept;
  MemoryHold& operator=(MemoryHold&& other) noexcept;
  MemoryHold(const MemoryHold&) = delete;
  MemoryHold& operator=(const MemoryHold&) = delete;

  /** Asks for further bytes.
      @param other_bytes  what the same peer holds besides these */
  MemoryDecision Grow(size_t bytes, size_t other_bytes);

  /** Sets the number of bytes that are held by now. */
  void Set(size_t bytes);

  void Release() { Set(0); }

  size_t bytes() const { return bytes_; }

 private:
  MemoryBudget* budget_ = nullptr;  // not owned
  MemoryClass class_ = MemoryClass::kRequestBody;
  size_t bytes_ = 0;
};

/** Marks a peer as waiting for memory for the lifetime of this object. */
class ScopedMemoryWaiter {
 public:
  explicit ScopedMemoryWaiter(MemoryBudget* budget) : budget_(budget) {
    budget_->AddWaiter();
  }
  ~ScopedMemoryWaiter() { budget_->RemoveWaiter(); }
  ScopedMemoryWaiter(const ScopedMemoryWaiter&) = delete;
  ScopedMemoryWaiter& operator=(const ScopedMemoryWaiter&) = delete;

 private:
  MemoryBudget* budget_;  // not owned
};

}  // namespace greengage

#endif  // GG_HTTP_MEMORY_BUDGET_H_
