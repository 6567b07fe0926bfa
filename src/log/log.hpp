// The one way to say something: a line, rate-limited, to whichever log is in use. By spdlog, whose
// logger, sinks and formatter this is made of; neither its registry nor its clock nor a thread of
// its own takes part.
//
// One record is one line of printable characters, whatever a peer's bytes in it: the line is
// written in fmt's debug form, in which line ends, controls, unprintable characters and bytes that
// are no UTF-8 are escaped (\n, \x1b, \u{85}), and so are quotes and backslashes, so that nobody
// can write an escape. A line is cut after `longest` bytes, before that.
#pragma once
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace spdlog {
class logger;
}

namespace dunlinwick::log {

inline constexpr std::size_t kLongest = 511;

// Where the lines of one process go. Times are milliseconds of the clock that is handed in. Says at
// most 200 lines at once and 10 a second after that; what is beyond it is counted, and told before
// the next line.
class Log {
 public:
  using Clock = std::function<double()>;
  using Writer = std::function<void(std::string_view line)>;  // without the line's end
  Log(Clock clock, Writer to);
  // To standard error, each line by one write. What that does not take is counted as well, and told
  // before the next line.
  explicit Log(Clock clock);
  void Say(std::string_view line);

 private:
  void Put(std::string_view line);

  Clock clock_;
  std::shared_ptr<spdlog::logger> to_;
  double left_;
  double last_;
  unsigned long unsaid_ = 0;
};

/// Writes `text` to standard error as far as that takes it without a wait: a reader that has
/// stopped must not hold up the process. A text of at most PIPE_BUF bytes goes by one write, whole
/// or not at all. False: some of it was left out, because standard error is closed, or full, or
/// failed.
bool WriteToStandardError(std::string_view text);

// Like printf, without the line's end; the compiler checks what is handed in.
[[gnu::format(printf, 1, 2)]] void Say(const char* format, ...);

// While it lives, what this thread says goes to `log`; without one, to standard error by the
// system's clock.
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
