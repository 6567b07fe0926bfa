/// When something that failed is tried again: soon at first, then twice as late each time, up to a
/// bound. Pure: time is passed in.
#pragma once
#include <algorithm>

namespace dunlinwick::backoff {

using Ms = double;

class Backoff {
 public:
  /// Delays between `shortest` and `longest`. One failure after `longest` without any begins at
  /// `shortest` again.
  Backoff(Ms shortest, Ms longest) : shortest_(shortest), longest_(longest), delay_(shortest) {}

  /// Whether the next try may begin; true before the first failure.
  bool IsDue(Ms now) const {
    return now >= due_at_;
  }

  /// Notes a failure and sets when the next try may begin.
  void Failed(Ms now) {
    if (now - due_at_ > longest_)
      delay_ = shortest_;
    due_at_ = now + delay_;
    delay_ = std::min(2 * delay_, longest_);
  }

 private:
  Ms shortest_;
  Ms longest_;
  Ms delay_;
  Ms due_at_ = -1e300;
};

/// How often a folder that could not be opened, or whose disk failed, is tried again.
constexpr Ms kShortestStoreRetry = 500;
constexpr Ms kLongestStoreRetry = 8000;

}  // namespace dunlinwick::backoff
