// Rate-limited logging, one line per record, to the current log of the thread. Built on spdlog's
// logger, sinks and formatter; spdlog's registry, clock and threads are not used.
//
// A record is one line of printable characters, whatever bytes of a peer are in it: the line is
// written in fmt's debug form, which escapes line breaks, control characters, unprintable
// characters and invalid UTF-8 (\n, \x1b, \u{85}), and also quotes and backslashes, so that a peer
// cannot forge an escape. A line is truncated to kMaxLineBytes before it is escaped.
#pragma once
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace spdlog {
class logger;
}

namespace dunlinwick::log {

inline constexpr std::size_t kMaxLineBytes = 511;

// The log of one process. Times are milliseconds of the given clock. It writes at most 200 lines in
// a burst and 10 a second after that; lines beyond the limit are dropped and counted, and the count
// is written before the next line.
class Log {
 public:
  using Clock = std::function<double()>;
  using Writer = std::function<void(std::string_view line)>;  // without the line break
  Log(Clock clock, Writer write);
  // Writes to standard error, each line by one write(2). Lines that it does not accept are counted
  // as well, and reported before the next line.
  explicit Log(Clock clock);
  void Write(std::string_view line);

 private:
  void WriteRecord(std::string_view line);

  Clock clock_;
  std::shared_ptr<spdlog::logger> logger_;
  double tokens_;
  double refilled_at_;
  unsigned long dropped_lines_ = 0;
};

/// Writes `text` to standard error as far as that is possible without blocking: a reader that has
/// stopped must not block the process. A text of at most PIPE_BUF bytes is written by one write(2),
/// whole or not at all. False: some of it was not written, because standard error is closed, full
/// or failing.
bool WriteToStandardError(std::string_view text);

// Like printf, without the line break; the compiler checks the arguments.
[[gnu::format(printf, 1, 2)]] void Write(const char* format, ...);

// During its lifetime, Write() on this thread goes to `log`. Without one, it goes to standard error
// with the clock of the POSIX environment.
class ScopedLog {
 public:
  explicit ScopedLog(Log& log);
  ~ScopedLog();
  ScopedLog(const ScopedLog&) = delete;
  ScopedLog& operator=(const ScopedLog&) = delete;

 private:
  Log* previous_;
};

}  // namespace dunlinwick::log
