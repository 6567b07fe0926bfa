#include "log/log.hpp"

#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <climits>
#include <cstdarg>
#include <cstdio>
#include <string>

#include "loop/ground.hpp"

namespace dunlinwick::log {
namespace {

// A burst tells a start or a break whole; afterwards a reader's pace, so that junk can't fill a
// disk.
constexpr double kBurst = 200, kPerMs = 0.01;

thread_local Log* in_use = nullptr;

// What peers sent may be in it: one line stays one line.
class OneLine final : public spdlog::formatter {
 public:
  void format(const spdlog::details::log_msg& record, spdlog::memory_buf_t& into) override {
    fmt::memory_buffer quoted;
    fmt::format_to(fmt::appender(quoted), "{:?}",
                   fmt::string_view(record.payload.data(), record.payload.size()));
    into.append(quoted.data() + 1, quoted.data() + quoted.size() - 1);
    into.push_back('\n');
  }
  std::unique_ptr<spdlog::formatter> clone() const override {
    return std::make_unique<OneLine>();
  }
};

class Handed final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit Handed(Log::Writer to) : base_sink(std::make_unique<OneLine>()), to_(std::move(to)) {}

 private:
  void sink_it_(const spdlog::details::log_msg& record) override {
    spdlog::memory_buf_t line;
    formatter_->format(record, line);
    to_(std::string_view(line.data(), line.size() - 1));
  }
  void flush_() override {}
  Log::Writer to_;
};

std::shared_ptr<spdlog::logger> LoggerTo(spdlog::sink_ptr sink) {
  auto logger = std::make_shared<spdlog::logger>(std::string(), std::move(sink));
  logger->set_error_handler(
      [](const std::string&) {});  // the library's own would write lines past the limit
  return logger;
}

class StandardError final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  StandardError() : base_sink(std::make_unique<OneLine>()) {}

 private:
  void sink_it_(const spdlog::details::log_msg& record) override {
    if (lost_ > 0 &&
        WriteToStandardError(std::to_string(lost_) + " lines left out: standard error took none\n"))
      lost_ = 0;
    spdlog::memory_buf_t line;
    formatter_->format(record, line);
    if (lost_ > 0 || !WriteToStandardError(std::string_view(line.data(), line.size())))
      ++lost_;
  }
  void flush_() override {}

  std::size_t lost_ = 0;  // lines, since one was written
};

Log& Standard() {
  static Log one([] { return loop::PosixEnvironment().now(); });
  return one;
}

}  // namespace

Log::Log(Clock clock, Writer to)
    : clock_(std::move(clock)),
      to_(LoggerTo(std::make_shared<Handed>(std::move(to)))),
      left_(kBurst),
      last_(clock_()) {}

Log::Log(Clock clock)
    : clock_(std::move(clock)),
      to_(LoggerTo(std::make_shared<StandardError>())),
      left_(kBurst),
      last_(clock_()) {}

void Log::Put(std::string_view line) {
  auto at = std::chrono::duration<double, std::milli>(last_);
  to_->log(
      spdlog::log_clock::time_point(std::chrono::duration_cast<spdlog::log_clock::duration>(at)),
      {}, spdlog::level::info, spdlog::string_view_t(line.data(), line.size()));
}

void Log::Say(std::string_view line) {
  double now = clock_();
  left_ = std::min(kBurst, left_ + kPerMs * (now - last_));
  last_ = now;
  if (left_ < 1) {
    ++unsaid_;
    return;
  }
  --left_;
  if (unsaid_ > 0)
    Put(std::to_string(unsaid_).append(" lines left out"));
  unsaid_ = 0;
  Put(line.substr(0, kLongest));
}

bool WriteToStandardError(std::string_view text) {
  while (!text.empty()) {
    // Writable, a pipe has room for PIPE_BUF bytes at least.
    pollfd standard_error{STDERR_FILENO, POLLOUT, 0};
    int ready = loop::PosixEnvironment().Wait({&standard_error, 1}, 0);
    if (ready == -EINTR)
      continue;
    if (ready != 1 || (standard_error.revents & POLLOUT) == 0)
      return false;
    ssize_t written =
        ::write(STDERR_FILENO, text.data(), std::min<std::size_t>(text.size(), PIPE_BUF));
    if (written < 0 && errno == EINTR)
      continue;
    if (written <= 0)
      return false;
    text.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

void Say(const char* format, ...) {
  char line[kLongest + 1];
  va_list args;
  va_start(args, format);
  std::vsnprintf(line, sizeof line, format, args);
  va_end(args);
  (in_use ? *in_use : Standard()).Say(line);
}

Use::Use(Log& log) : before_(in_use) {
  in_use = &log;
}
Use::~Use() {
  in_use = before_;
}

}  // namespace dunlinwick::log
