#include "gg_http/memory_budget.h"

#include <algorithm>
#include <utility>

namespace greengage {
namespace {

constexpr double kBytesPerMb = 1024.0 * 1024.0;

/** Share of the machine's memory that is held for peers. The rest is for the
    program, its view of the fleet and the allocator. */
constexpr double kPeerShare = 0.6;

/** Smallest limit, for a memory that is not set or can't be right. */
constexpr size_t kMinLimitBytes = size_t{16} * 1024 * 1024;

/** Shares of the bytes for peers. A body of 64 MiB fits into the requests'
   share on a machine of 160 MB. */
constexpr double kRequestShare = 0.75;
constexpr double kResponseShare = 0.5;
constexpr double kReserveShare = 0.125;

/** Used part of a limit from which memory counts as short, and the part that is
    left when enough has been freed. */
constexpr double kShortShare = 0.85;
constexpr double kFreedShare = 0.6;

size_t ShareOf(size_t bytes, double share) {
  return static_cast<size_t>(static_cast<double>(bytes) * share);
}

size_t Excess(size_t used, size_t limit, double share) {
  if (limit == std::numeric_limits<size_t>::max()) return 0;
  const size_t allowed = ShareOf(limit, share);
  return used > allowed ? used - allowed : 0;
}

size_t Index(MemoryClass memory_class) {
  return static_cast<size_t>(memory_class);
}

}  // namespace

MemoryBudget::Options MemoryBudget::OptionsForMachine(int64_t memory_mb,
                                                      size_t max_connections) {
  const auto limit =
      std::max(static_cast<size_t>(static_cast<double>(memory_mb) *
                                   kBytesPerMb * kPeerShare),
               kMinLimitBytes);
  Options options{.limit_bytes = limit,
                  .request_limit_bytes = ShareOf(limit, kRequestShare),
                  .response_limit_bytes = ShareOf(limit, kResponseShare),
                  .reserve_bytes = ShareOf(limit, kReserveShare)};
  if (max_connections > 0) options.max_connections = max_connections;
  return options;
}

size_t MemoryBudget::RequestBytes() const {
  return used_[Index(MemoryClass::kRequestHeader)] +
         used_[Index(MemoryClass::kRequestBody)] +
         used_[Index(MemoryClass::kReadAhead)];
}

bool MemoryBudget::Fits(MemoryClass memory_class, size_t bytes,
                        size_t holder_bytes) const {
  const auto fits = [bytes](size_t used, size_t limit) {
    return used <= limit && bytes <= limit - used;
  };
  if (holder_bytes <= kSmallHolderBytes) {
    return fits(total_, options_.limit_bytes);
  }
  if (!fits(total_, options_.limit_bytes - options_.reserve_bytes)) {
    return false;
  }
  if (IsRequestClass(memory_class)) {
    return fits(RequestBytes(), options_.request_limit_bytes);
  }
  return memory_class != MemoryClass::kResponse ||
         fits(used_[Index(MemoryClass::kResponse)],
              options_.response_limit_bytes);
}

MemoryDecision MemoryBudget::Take(MemoryClass memory_class, size_t bytes,
                                  size_t holder_bytes) {
  const std::lock_guard lock(mutex_);
  const size_t index = Index(memory_class);
  if (Fits(memory_class, bytes, holder_bytes)) {
    used_[index] += bytes;
    total_ += bytes;
    peak_ = std::max(peak_, total_);
    ++counts_.granted[index];
    return MemoryDecision::kGranted;
  }
  if (IsRequestClass(memory_class)) {
    ++counts_.waiting[index];
    return MemoryDecision::kWait;
  }
  ++counts_.refused[index];
  return MemoryDecision::kRefused;
}

void MemoryBudget::Add(MemoryClass memory_class, size_t bytes) {
  const std::lock_guard lock(mutex_);
  used_[Index(memory_class)] += bytes;
  total_ += bytes;
  peak_ = std::max(peak_, total_);
}

void MemoryBudget::Return(MemoryClass memory_class, size_t bytes) {
  const std::lock_guard lock(mutex_);
  used_[Index(memory_class)] -= bytes;
  total_ -= bytes;
}

bool MemoryBudget::TryAddConnection() {
  const std::lock_guard lock(mutex_);
  if (connections_ >= options_.max_connections) return false;
  ++connections_;
  return true;
}

void MemoryBudget::AddConnection() {
  const std::lock_guard lock(mutex_);
  ++connections_;
}

void MemoryBudget::RemoveConnection() {
  const std::lock_guard lock(mutex_);
  --connections_;
}

void MemoryBudget::AddWaiter() {
  const std::lock_guard lock(mutex_);
  ++waiters_;
}

void MemoryBudget::RemoveWaiter() {
  const std::lock_guard lock(mutex_);
  --waiters_;
}

size_t MemoryBudget::BytesAbove(double share) const {
  return std::max(
      {Excess(total_, options_.limit_bytes - options_.reserve_bytes, share),
       Excess(RequestBytes(), options_.request_limit_bytes, share),
       Excess(used_[Index(MemoryClass::kResponse)],
              options_.response_limit_bytes, share)});
}

bool MemoryBudget::IsShort() const {
  const std::lock_guard lock(mutex_);
  return waiters_ > 0 || BytesAbove(kShortShare) > 0;
}

size_t MemoryBudget::BytesToFree() const {
  const std::lock_guard lock(mutex_);
  if (waiters_ == 0 && BytesAbove(kShortShare) == 0) return 0;
  return std::max<size_t>(BytesAbove(kFreedShare), 1);
}

size_t MemoryBudget::used_bytes(MemoryClass memory_class) const {
  const std::lock_guard lock(mutex_);
  return used_[Index(memory_class)];
}

size_t MemoryBudget::used_bytes() const {
  const std::lock_guard lock(mutex_);
  return total_;
}

size_t MemoryBudget::connections() const {
  const std::lock_guard lock(mutex_);
  return connections_;
}

size_t MemoryBudget::waiters() const {
  const std::lock_guard lock(mutex_);
  return waiters_;
}

MemoryBudget::Counts MemoryBudget::counts() const {
  const std::lock_guard lock(mutex_);
  return counts_;
}

size_t MemoryBudget::TakeFallenBytes(size_t minimum) {
  const std::lock_guard lock(mutex_);
  const size_t fallen = peak_ - total_;
  if (fallen < minimum) return 0;
  peak_ = total_;
  return fallen;
}

MemoryHold::MemoryHold(MemoryHold&& other) noexcept
    : budget_(other.budget_),
      class_(other.class_),
      bytes_(std::exchange(other.bytes_, 0)) {}

MemoryHold& MemoryHold::operator=(MemoryHold&& other) noexcept {
  if (this == &other) return *this;
  Release();
  budget_ = other.budget_;
  class_ = other.class_;
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

MemoryDecision MemoryHold::Grow(size_t bytes, size_t other_bytes) {
  if (budget_ == nullptr) return MemoryDecision::kGranted;
  const MemoryDecision decision =
      budget_->Take(class_, bytes, bytes_ + bytes + other_bytes);
  if (decision == MemoryDecision::kGranted) bytes_ += bytes;
  return decision;
}

void MemoryHold::Set(size_t bytes) {
  if (budget_ == nullptr || bytes == bytes_) return;
  if (bytes > bytes_) {
    budget_->Add(class_, bytes - bytes_);
  } else {
    budget_->Return(class_, bytes_ - bytes);
  }
  bytes_ = bytes;
}

}  // namespace greengage
