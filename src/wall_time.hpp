// Points on other machines' wall clocks, kept apart from this front's own clock.
//
// A front's clock (loop::Ground) never steps: it is the system's Unix time as at its start, and
// runs on from there. The wall clock of another machine, or of this one in an earlier life, may
// differ from it by any amount, and by another amount a moment later. What such a clock wrote is a
// WallTime; it becomes a time on this front's clock by ToLocalClock() alone. docs/notes/time.md
// lists all of them.
#pragma once
#include <optional>

namespace dunlinwick {

using Ms = double;

/// A stamp of another machine's wall clock, in Unix milliseconds, as read from a message, a file or
/// a disk. No arithmetic, and no order against times of this front's clock.
class WallTime {
 public:
  constexpr WallTime() = default;
  // Implicit: whatever number is read as a stamp may become one. The way back has a name.
  constexpr WallTime(Ms unix_ms) : unix_ms_(unix_ms) {}

  /// The number as it was read. For encoding, and for ToLocalClock().
  constexpr Ms UnixMs() const {
    return unix_ms_;
  }
  /// False for 0 and below, which the notice board writes for "long ago".
  constexpr bool IsSet() const {
    return unix_ms_ > 0;
  }

  friend constexpr bool operator==(WallTime, WallTime) = default;

 private:
  Ms unix_ms_ = 0;
};

/// When this front was told of an event, on its own clock. Bounds from both sides what the event's
/// stamp can mean.
struct NotificationTimes {
  Ms at = 0;
  /// The last moment at which nothing was missing here: the event was announced after it. None:
  /// told at the start of this front.
  std::optional<Ms> up_to_date_at;
};

/// `stamp` on this front's clock. One that lies outside [`earliest`, `notified_at`] was written by
/// a clock that disagrees with this one, and counts as `notified_at`: no event is told of before it
/// happened.
constexpr Ms ToLocalClock(WallTime stamp, Ms earliest, Ms notified_at) {
  bool plausible = earliest <= stamp.UnixMs() && stamp.UnixMs() <= notified_at;
  return plausible ? stamp.UnixMs() : notified_at;
}

}  // namespace dunlinwick
