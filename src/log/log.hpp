// The one way to say something: a line on standard error, rate-limited.
#pragma once

namespace dunlinwick::log {
// Like printf, without the line's end. Lines beyond the limit are counted and told with the next one.
[[gnu::format(printf, 1, 2)]] void say(const char* format, ...);
}  // namespace dunlinwick::log
