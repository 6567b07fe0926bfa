// The one way to say something: a line, rate-limited, to whichever log is in use.
#pragma once
#include <functional>
#include <string_view>

namespace dunlinwick::log {

// Where the lines of one process go. Times are milliseconds of the clock that is handed in.
class Log {
 public:
  using Clock = std::function<double()>;
  using Writer = std::function<void(std::string_view line)>;  // without the line's end
  Log(Clock clock, Writer to);
  void say(std::string_view line);

 private:
  Clock clock_;
  Writer to_;
  double left_, last_;
  unsigned long unsaid_ = 0;
};

// Like printf, without the line's end. Lines beyond the limit are counted and told with the next one.
[[gnu::format(printf, 1, 2)]] void say(const char* format, ...);

// While it lives, what this thread says goes to `log`; without one, to standard error by the system's clock.
class Use {
 public:
  explicit Use(Log& log);
  ~Use();
  Use(const Use&) = delete;
  Use& operator=(const Use&) = delete;

 private:
  Log* before_;
};

}  // namespace dunlinwick::log
