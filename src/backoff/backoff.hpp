/// Exponential backoff: the delay before a failed operation is retried doubles with each failure,
/// up to a maximum. Reads no clock: time is passed in.
#pragma once
#include <algorithm>

namespace dunlinwick::backoff {

using Ms = double;

class Backoff {
 public:
  /// The first delay is `initial_delay`. It is used again after a time longer than `max_delay`
  /// without a failure.
  Backoff(Ms initial_delay, Ms max_delay)
      : initial_delay_(initial_delay), max_delay_(max_delay), next_delay_(initial_delay) {}

  /// Whether a retry may start; true before the first failure.
  bool IsDue(Ms now) const {
    return now >= due_at_;
  }

  /// Records a failure and schedules the next retry.
  void RecordFailure(Ms now) {
    if (now - due_at_ > max_delay_)
      next_delay_ = initial_delay_;
    due_at_ = now + next_delay_;
    next_delay_ = std::min(2 * next_delay_, max_delay_);
  }

 private:
  Ms initial_delay_;
  Ms max_delay_;
  Ms next_delay_;
  Ms due_at_ = -1e300;
};

/// Delays between retries of a store whose folder could not be opened or whose disk failed.
constexpr Ms kInitialStoreRetry = 500;
constexpr Ms kMaxStoreRetry = 8000;

}  // namespace dunlinwick::backoff
