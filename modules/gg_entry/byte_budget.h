#ifndef GG_ENTRY_BYTE_BUDGET_H_
#define GG_ENTRY_BYTE_BUDGET_H_

#include <cstddef>

namespace greengage {

/** Limits the memory that its users hold together. Traffic thread only. */
class ByteBudget {
 public:
  explicit ByteBudget(size_t limit) : limit_(limit) {}

  /** Takes `bytes` from the budget.
      @return false, with nothing taken, if fewer are left. */
  bool TryTake(size_t bytes) {
    if (bytes > limit_ - used_) return false;
    used_ += bytes;
    return true;
  }

  /** Gives back bytes that were taken. */
  void Return(size_t bytes) { used_ -= bytes; }

 private:
  size_t limit_;
  size_t used_ = 0;
};

}  // namespace greengage

#endif  // GG_ENTRY_BYTE_BUDGET_H_
