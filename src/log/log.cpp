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

#include "loop/environment.hpp"

namespace dunlinwick::log {
namespace {

// A token bucket: the burst is enough for a start or a failure, and the rate is what a reader can
// follow, so that a peer's malformed input cannot fill a disk.
constexpr double kBurst = 200, kTokensPerMs = 0.01;

thread_local Log* current_log = nullptr;

// Escapes a record, which may contain bytes from peers, so that it stays one line.
class OneLineFormatter final : public spdlog::formatter {
 public:
  void format(const spdlog::details::log_msg& record, spdlog::memory_buf_t& output) override {
    fmt::memory_buffer quoted;
    fmt::format_to(fmt::appender(quoted), "{:?}",
                   fmt::string_view(record.payload.data(), record.payload.size()));
    output.append(quoted.data() + 1, quoted.data() + quoted.size() - 1);
    output.push_back('\n');
  }
  std::unique_ptr<spdlog::formatter> clone() const override {
    return std::make_unique<OneLineFormatter>();
  }
};

class CallbackSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit CallbackSink(Log::Writer write)
      : base_sink(std::make_unique<OneLineFormatter>()), write_(std::move(write)) {}

 private:
  void sink_it_(const spdlog::details::log_msg& record) override {
    spdlog::memory_buf_t line;
    formatter_->format(record, line);
    write_(std::string_view(line.data(), line.size() - 1));
  }
  void flush_() override {}
  Log::Writer write_;
};

std::shared_ptr<spdlog::logger> LoggerTo(spdlog::sink_ptr sink) {
  auto logger = std::make_shared<spdlog::logger>(std::string(), std::move(sink));
  logger->set_error_handler(
      [](const std::string&) {});  // spdlog's own handler would write lines beyond the rate limit
  return logger;
}

class StandardErrorSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  StandardErrorSink() : base_sink(std::make_unique<OneLineFormatter>()) {}

 private:
  void sink_it_(const spdlog::details::log_msg& record) override {
    if (dropped_lines_ > 0 &&
        WriteToStandardError(std::to_string(dropped_lines_) +
                             " lines left out: standard error was not writable\n"))
      dropped_lines_ = 0;
    spdlog::memory_buf_t line;
    formatter_->format(record, line);
    if (dropped_lines_ > 0 || !WriteToStandardError(std::string_view(line.data(), line.size())))
      ++dropped_lines_;
  }
  void flush_() override {}

  std::size_t dropped_lines_ = 0;  // since the last written line
};

Log& DefaultLog() {
  static Log log([] { return loop::PosixEnvironment().now(); });
  return log;
}

}  // namespace

Log::Log(Clock clock, Writer write)
    : clock_(std::move(clock)),
      logger_(LoggerTo(std::make_shared<CallbackSink>(std::move(write)))),
      tokens_(kBurst),
      refilled_at_(clock_()) {}

Log::Log(Clock clock)
    : clock_(std::move(clock)),
      logger_(LoggerTo(std::make_shared<StandardErrorSink>())),
      tokens_(kBurst),
      refilled_at_(clock_()) {}

void Log::WriteRecord(std::string_view line) {
  auto time = std::chrono::duration<double, std::milli>(refilled_at_);
  logger_->log(
      spdlog::log_clock::time_point(std::chrono::duration_cast<spdlog::log_clock::duration>(time)),
      {}, spdlog::level::info, spdlog::string_view_t(line.data(), line.size()));
}

void Log::Write(std::string_view line) {
  double now = clock_();
  tokens_ = std::min(kBurst, tokens_ + kTokensPerMs * (now - refilled_at_));
  refilled_at_ = now;
  if (tokens_ < 1) {
    ++dropped_lines_;
    return;
  }
  --tokens_;
  if (dropped_lines_ > 0)
    WriteRecord(std::to_string(dropped_lines_).append(" lines left out"));
  dropped_lines_ = 0;
  WriteRecord(line.substr(0, kMaxLineBytes));
}

bool WriteToStandardError(std::string_view text) {
  while (!text.empty()) {
    // A pipe that is writable has space for at least PIPE_BUF bytes.
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

void Write(const char* format, ...) {
  char line[kMaxLineBytes + 1];
  va_list args;
  va_start(args, format);
  std::vsnprintf(line, sizeof line, format, args);
  va_end(args);
  (current_log ? *current_log : DefaultLog()).Write(line);
}

ScopedLog::ScopedLog(Log& log) : previous_(current_log) {
  current_log = &log;
}
ScopedLog::~ScopedLog() {
  current_log = previous_;
}

}  // namespace dunlinwick::log
