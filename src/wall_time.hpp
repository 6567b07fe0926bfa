// Timestamps of other hosts' wall clocks, as a type apart from times on this front's own clock.
//
// A front's clock (loop::Environment) never steps: it starts at the system's Unix time and is
// monotonic from then on. The wall clock of another host, or of this host before the process was
// restarted, may differ from it by any amount, which may change at any moment. A timestamp of such
// a clock is a WallTime; only ToLocalClock() converts it to a time on this front's clock.
// docs/notes/time.md lists all of them.
#pragma once
#include <optional>

namespace dunlinwick {

using Ms = double;

/// A timestamp of another host's wall clock, in Unix milliseconds, as read from a message, a file
/// or a disk. It has no arithmetic and no order, and does not compare with times of this front's
/// clock.
class WallTime {
 public:
  constexpr WallTime() = default;
  // Implicit, so that a number that was read converts to a timestamp; the conversion back is
  // explicit.
  constexpr WallTime(Ms unix_ms) : unix_ms_(unix_ms) {}

  /// The number as it was read, for encoding and for ToLocalClock().
  constexpr Ms UnixMs() const {
    return unix_ms_;
  }
  /// False for 0 and below, which the discovery service sends for "long ago".
  constexpr bool IsSet() const {
    return unix_ms_ > 0;
  }

  friend constexpr bool operator==(WallTime, WallTime) = default;

 private:
  Ms unix_ms_ = 0;
};

/// When this front was notified of an event, on its own clock. These times bound from both sides
/// when the event can have happened.
struct NotificationTimes {
  Ms at = 0;
  /// The last moment at which this front had received all events: this one was announced later.
  /// Unset: it was part of the state that this front started with.
  std::optional<Ms> up_to_date_at;
};

/// `stamp` on this front's clock. A timestamp outside [`earliest`, `notified_at`] comes from a
/// clock that disagrees with this one and counts as `notified_at`, since no event is announced
/// before it happens.
constexpr Ms ToLocalClock(WallTime stamp, Ms earliest, Ms notified_at) {
  bool plausible = earliest <= stamp.UnixMs() && stamp.UnixMs() <= notified_at;
  return plausible ? stamp.UnixMs() : notified_at;
}

}  // namespace dunlinwick
