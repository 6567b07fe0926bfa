// An environment of the event loop whose calls fail according to a plan. It wraps another one (the
// POSIX environment or a process of the simulated network), forwards the calls that do not fail,
// and counts calls, consecutive idle waits and open descriptors.
//
// The plan is called before each call, with the kind of the call and its ordinal, so that a test
// can fail each call once, at every ordinal, or draw faults from a seed.
#pragma once
#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "loop/environment.hpp"

namespace dunlinwick::testing {

/// The calls that can fail.
enum class Call {
  kWait,
  kOpenStream,
  kConnect,
  kConnectResult,
  kAccept,
  kReceive,
  kSend,
  kOpenDatagrams,
  kSendTo,
  kReceiveFrom
};
inline constexpr std::size_t kCallCount = 10;

inline std::string Name(Call call) {
  static constexpr std::array<const char*, kCallCount> kNames{
      "poll",   "socket",  "connect", "SO_ERROR", "accept", "recv", "send", "socket (datagrams)",
      "sendto", "recvfrom"};
  return kNames[static_cast<std::size_t>(call)];
}

/// What a call does instead of its work: it fails with `error`, or, if that is 0, moves only one
/// byte.
struct Failure {
  int error = 0;
};

/// The documented failures of each call that have no permanent effect on the process.
inline std::vector<Failure> FailuresOf(Call call) {
  switch (call) {
    case Call::kWait:
      return {{EINTR}, {ENOMEM}};
    case Call::kOpenStream:
      return {{EMFILE}, {ENFILE}, {ENOBUFS}, {ENOMEM}};
    case Call::kConnect:
      return {{EINTR},   {EADDRNOTAVAIL}, {ENETUNREACH}, {EAGAIN},
              {ENOBUFS}, {ETIMEDOUT},     {EHOSTUNREACH}};
    case Call::kConnectResult:
      return {{ETIMEDOUT}, {EHOSTUNREACH}, {ENETUNREACH}, {ECONNREFUSED}};
    case Call::kAccept:
      return {{EINTR}, {ECONNABORTED}, {EMFILE}, {ENFILE}, {ENOBUFS}, {ENOMEM}, {EPROTO}};
    case Call::kReceive:
      return {{0}, {EINTR}, {ENOBUFS}, {ENOMEM}, {ETIMEDOUT}, {EHOSTUNREACH}};
    case Call::kSend:
      return {{0}, {EINTR}, {ENOBUFS}, {ENOMEM}, {ETIMEDOUT}, {EHOSTUNREACH}, {EPIPE}};
    case Call::kOpenDatagrams:
      return {{EMFILE}, {ENFILE}, {ENOBUFS}};
    case Call::kSendTo:
      return {{EINTR}, {ENOBUFS}, {EAGAIN}, {ECONNREFUSED}};
    case Call::kReceiveFrom:
      return {{EINTR}, {ENOBUFS}, {EAGAIN}, {ECONNREFUSED}};
  }
  return {};
}

/// Whether the error ends the connection on which the call failed.
inline bool EndsConnection(Call call, int error) {
  bool on_connection = call == Call::kReceive || call == Call::kSend;
  return on_connection && (error == ETIMEDOUT || error == EHOSTUNREACH || error == EPIPE);
}

class FailingEnvironment final : public loop::Environment {
 public:
  /// Called before each call with its ordinal among calls of its kind, from 0. Without a result the
  /// call is forwarded.
  using Plan = std::function<std::optional<Failure>(Call call, std::size_t ordinal)>;

  explicit FailingEnvironment(loop::Environment& inner) : inner_(inner) {}

  Plan plan;

  std::size_t Calls(Call call) const {
    return calls_[static_cast<std::size_t>(call)];
  }
  /// Failures that the plan returned.
  std::size_t Failures() const {
    return failures_;
  }
  /// Accepted connections that a failure ended.
  std::size_t AcceptedLost() const {
    return accepted_lost_;
  }
  /// Descriptors that were opened and not closed.
  std::size_t OpenDescriptors() const {
    return open_.size();
  }
  /// Closes of descriptors that were not open: closed twice, or owned by someone else.
  std::size_t InvalidCloses() const {
    return invalid_closes_;
  }
  /// The longest series of waits during which the clock did not advance, no byte was moved and no
  /// connection was accepted.
  std::size_t MostIdleWaits() const {
    return most_idle_waits_;
  }

  loop::Ms now() override {
    return inner_.now();
  }

  int Wait(std::span<pollfd> watched, int ms) override {
    CountWait();
    // A wait without descriptors needs no memory, so the plan is not called.
    std::optional<Failure> failure = watched.empty() ? std::nullopt : NextFailure(Call::kWait);
    if (failure)
      return -failure->error;
    return inner_.Wait(watched, ms);
  }

  int OpenStream() override {
    if (auto failure = NextFailure(Call::kOpenStream))
      return -failure->error;
    return Opened(inner_.OpenStream(), Origin::kConnected);
  }

  int Connect(int fd, const loop::Address& to) override {
    auto failure = NextFailure(Call::kConnect);
    if (!failure)
      return inner_.Connect(fd, to);
    // After EINTR it continues, as connect(2) states.
    if (failure->error == EINTR)
      inner_.Connect(fd, to);
    return -failure->error;
  }

  int SocketError(int fd) override {
    if (auto failure = NextFailure(Call::kConnectResult))
      return failure->error;
    return inner_.SocketError(fd);
  }

  int Listen(const loop::Address& at) override {
    return Opened(inner_.Listen(at), Origin::kListening);
  }

  int Accept(int fd) override {
    if (auto failure = NextFailure(Call::kAccept))
      return -failure->error;
    return Progressed(Opened(inner_.Accept(fd), Origin::kAccepted));
  }

  ssize_t Receive(int fd, std::span<char> into) override {
    auto failure = NextFailure(Call::kReceive);
    if (failure && failure->error != 0)
      return -Failed(Call::kReceive, fd, failure->error);
    ssize_t got = Progressed(inner_.Receive(fd, failure ? into.first(1) : into));
    return got == -EAGAIN && IsBroken(fd) ? -ECONNRESET : got;
  }

  loop::Ms SinceLastArrival(int fd) override {
    return inner_.SinceLastArrival(fd);
  }

  ssize_t Send(int fd, std::span<const iovec> parts) override {
    auto failure = NextFailure(Call::kSend);
    if (failure && failure->error != 0)
      return -Failed(Call::kSend, fd, failure->error);
    if (IsBroken(fd))
      return -EPIPE;
    if (!failure || parts.empty() || parts.front().iov_len == 0)
      return Progressed(inner_.Send(fd, parts));
    iovec one = parts.front();
    one.iov_len = 1;
    return Progressed(inner_.Send(fd, {&one, 1}));
  }

  void ShutdownWrite(int fd) override {
    inner_.ShutdownWrite(fd);
  }

  void Close(int fd) override {
    auto found = open_.find(fd);
    if (found == open_.end()) {
      ++invalid_closes_;
      return;
    }
    bool broken = found->second.broken;
    open_.erase(found);
    if (broken)
      inner_.Abort(fd);
    else
      inner_.Close(fd);
  }

  void Abort(int fd) override {
    invalid_closes_ += open_.erase(fd) == 0 ? 1 : 0;
    inner_.Abort(fd);
  }

  int OpenDatagrams(const loop::Address& at) override {
    if (auto failure = NextFailure(Call::kOpenDatagrams))
      return -failure->error;
    return Opened(inner_.OpenDatagrams(at), Origin::kConnected);
  }

  ssize_t SendTo(int fd, std::span<const char> bytes, const loop::Address& to) override {
    if (auto failure = NextFailure(Call::kSendTo))
      return -failure->error;
    return inner_.SendTo(fd, bytes, to);
  }

  ssize_t ReceiveFrom(int fd, std::span<char> into, loop::Address& from) override {
    if (auto failure = NextFailure(Call::kReceiveFrom))
      return -failure->error;
    return inner_.ReceiveFrom(fd, into, from);
  }

  std::size_t DescriptorLimit() override {
    return inner_.DescriptorLimit();
  }

 private:
  enum class Origin {
    kConnected,
    kListening,
    kAccepted
  };
  struct Open {
    Origin origin = Origin::kConnected;
    bool broken = false;  // a failure ended it: received bytes can be read, nothing can be written
  };

  std::optional<Failure> NextFailure(Call call) {
    std::size_t ordinal = calls_[static_cast<std::size_t>(call)]++;
    if (!plan)
      return std::nullopt;
    std::optional<Failure> failure = plan(call, ordinal);
    if (failure)
      ++failures_;
    return failure;
  }

  int Opened(int fd, Origin origin) {
    if (fd >= 0)
      open_[fd] = {origin, false};
    return fd;
  }

  int Failed(Call call, int fd, int error) {
    auto found = open_.find(fd);
    if (found == open_.end() || !EndsConnection(call, error))
      return error;
    if (!found->second.broken && found->second.origin == Origin::kAccepted)
      ++accepted_lost_;
    found->second.broken = true;
    return error;
  }

  bool IsBroken(int fd) const {
    auto found = open_.find(fd);
    return found != open_.end() && found->second.broken;
  }

  /// Returns the result of a call unchanged; a positive one counts as progress.
  template <class Result>
  Result Progressed(Result result) {
    if (result > 0)
      idle_waits_ = 0;
    return result;
  }

  void CountWait() {
    loop::Ms now = inner_.now();
    idle_waits_ = now == last_wait_at_ ? idle_waits_ + 1 : 1;
    last_wait_at_ = now;
    most_idle_waits_ = std::max(most_idle_waits_, idle_waits_);
  }

  loop::Environment& inner_;
  std::array<std::size_t, kCallCount> calls_{};
  std::map<int, Open> open_;  // by descriptor; removed by Close()
  std::size_t failures_ = 0;
  std::size_t accepted_lost_ = 0;
  std::size_t invalid_closes_ = 0;
  std::size_t idle_waits_ = 0;
  std::size_t most_idle_waits_ = 0;
  loop::Ms last_wait_at_ = -1;
};

/// One call of one kind fails once.
inline FailingEnvironment::Plan FailOnce(Call failing, std::size_t ordinal, Failure failure) {
  return [=](Call call, std::size_t at) -> std::optional<Failure> {
    if (call == failing && at == ordinal)
      return failure;
    return std::nullopt;
  };
}

/// Each call fails with the given probability until `ends` on `clock`. The same seed gives the same
/// plan.
inline FailingEnvironment::Plan FailAtRandom(std::uint64_t seed, double share, loop::Ms ends,
                                             std::function<loop::Ms()> clock) {
  return [=, random = std::mt19937_64(seed)](Call call,
                                             std::size_t) mutable -> std::optional<Failure> {
    if (clock() >= ends)
      return std::nullopt;
    if (std::uniform_real_distribution<double>(0, 1)(random) >= share)
      return std::nullopt;
    std::vector<Failure> choices = FailuresOf(call);
    return choices[random() % choices.size()];
  };
}

}  // namespace dunlinwick::testing
