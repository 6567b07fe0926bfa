/// Counts the bytes that a front holds for its clients (what they have sent, what servers have
/// answered, what waits to be written) against a limit. Connections are limited by descriptors
/// alone; this bounds what all of them hold together.
///
/// Owned by the Exchange; used on the loop's thread. Nothing is allocated here: owners state what
/// they hold, and ask before they take more.
#pragma once
#include <cstddef>
#include <limits>

namespace dunlinwick::exchange {

class MemoryBudget {
 public:
  void SetLimit(std::size_t bytes) {
    limit_ = bytes;
  }
  std::size_t used_bytes() const {
    return used_;
  }
  /// Whether `bytes` more stay within the limit.
  bool HasRoomFor(std::size_t bytes) const {
    return used_ <= limit_ && bytes <= limit_ - used_;
  }
  bool IsExceeded() const {
    return used_ > limit_;
  }

 private:
  friend class MemoryCharge;
  std::size_t limit_ = std::numeric_limits<std::size_t>::max();
  std::size_t used_ = 0;
};

/// What one owner holds. Given back when it is destroyed; the budget outlives it.
class MemoryCharge {
 public:
  explicit MemoryCharge(MemoryBudget& budget) : budget_(&budget) {}
  MemoryCharge(MemoryCharge&& other) noexcept;
  MemoryCharge& operator=(MemoryCharge&& other) noexcept;
  ~MemoryCharge() {
    Set(0);
  }
  /// Replaces what the owner held before.
  void Set(std::size_t bytes);

 private:
  MemoryBudget* budget_;
  std::size_t bytes_ = 0;
};

}  // namespace dunlinwick::exchange
