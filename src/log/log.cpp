#include "log/log.hpp"

#include <algorithm>
#include <cstdarg>
#include <cstdio>
#include <string>

#include "loop/ground.hpp"

namespace dunlinwick::log {
namespace {

// A burst tells a start or a break whole; afterwards a reader's pace, so that junk can't fill a disk.
constexpr double burst = 200, perMs = 0.01;

thread_local Log* inUse = nullptr;

Log& standard() {
  static Log one([] { return loop::system().now(); },
                 [](std::string_view line) {
                   std::fprintf(stderr, "%.*s\n", static_cast<int>(line.size()), line.data());
                 });
  return one;
}

}  // namespace

Log::Log(Clock clock, Writer to)
    : clock_(std::move(clock)), to_(std::move(to)), left_(burst), last_(clock_()) {}

void Log::say(std::string_view line) {
  double now = clock_();
  left_ = std::min(burst, left_ + perMs * (now - last_));
  last_ = now;
  if (left_ < 1) {
    ++unsaid_;
    return;
  }
  --left_;
  if (unsaid_ > 0) to_(std::to_string(unsaid_).append(" lines left out"));
  unsaid_ = 0;
  // What peers sent may be in it: one line stays one line.
  std::string plain(line);
  for (char& c : plain)
    if (static_cast<unsigned char>(c) < ' ' || c == 127) c = '?';
  to_(plain);
}

void say(const char* format, ...) {
  char line[512];
  va_list args;
  va_start(args, format);
  std::vsnprintf(line, sizeof line, format, args);
  va_end(args);
  (inUse ? *inUse : standard()).say(line);
}

Use::Use(Log& log) : before_(inUse) { inUse = &log; }
Use::~Use() { inUse = before_; }

}  // namespace dunlinwick::log
