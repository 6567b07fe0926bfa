#include "log/log.hpp"

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdio>

namespace dunlinwick::log {

void say(const char* format, ...) {
  // A burst tells a start or a break whole; afterwards a reader's pace, so that junk can't fill a disk.
  constexpr double burst = 200, perSecond = 10;
  static double left = burst;
  static auto last = std::chrono::steady_clock::now();
  static unsigned long unsaid = 0;
  auto now = std::chrono::steady_clock::now();
  left = std::min(burst, left + perSecond * std::chrono::duration<double>(now - last).count());
  last = now;
  if (left < 1) {
    ++unsaid;
    return;
  }
  --left;
  if (unsaid > 0) std::fprintf(stderr, "(%lu lines left out)\n", unsaid);
  unsaid = 0;
  char line[512];
  va_list args;
  va_start(args, format);
  std::vsnprintf(line, sizeof line, format, args);
  va_end(args);
  // What peers sent may be in it: one line stays one line.
  for (char* c = line; *c != 0; ++c)
    if (static_cast<unsigned char>(*c) < ' ' || *c == 127) *c = '?';
  std::fprintf(stderr, "%s\n", line);
}

}  // namespace dunlinwick::log
