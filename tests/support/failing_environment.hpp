// An environment of the event loop whose calls fail by a plan. It wraps another one (the POSIX
// environment or a process of the simulated network), passes on what the plan lets through, and
// counts calls, turns at one instant and open descriptors.
//
// A plan is asked before each call. It is told which call it is and how many of that kind came
// before, so that a test can fail each call once, at every ordinal, or draw faults from a seed.
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

#include "loop/ground.hpp"

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

/// What a call does in place of its work: it fails with `error`, or, where that is 0, moves one
/// byte only.
struct Failure {
  int error = 0;
};

/// The failures that each call is documented to have and that end nothing for good.
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

/// Whether the connection that a call failed on is lost by that error.
inline bool EndsConnection(Call call, int error) {
  bool on_connection = call == Call::kReceive || call == Call::kSend;
  return on_connection && (error == ETIMEDOUT || error == EHOSTUNREACH || error == EPIPE);
}

class FailingEnvironment final : public loop::Environment {
 public:
  /// Asked before each call with its ordinal among calls of its kind, from 0. Nothing: the call
  /// goes through.
  using Plan = std::function<std::optional<Failure>(Call call, std::size_t ordinal)>;

  explicit FailingEnvironment(loop::Environment& inner) : inner_(inner) {}

  Plan plan;

  std::size_t Calls(Call call) const {
    return calls_[static_cast<std::size_t>(call)];
  }
  /// Failures that the plan asked for.
  std::size_t Failures() const {
    return failures_;
  }
  /// Connections taken from a listener that were ended by a failure.
  std::size_t AcceptedLost() const {
    return accepted_lost_;
  }
  /// Opened and not closed.
  std::size_t OpenDescriptors() const {
    return open_.size();
  }
  /// Closed without being open: a descriptor closed twice, or one of somebody else's.
  std::size_t StrangeCloses() const {
    return strange_closes_;
  }
  /// The longest run of waits without the clock going on, a byte moved or a connection accepted: of
  /// turns that led to nothing.
  std::size_t MostIdleWaits() const {
    return most_waits_;
  }

  loop::Ms now() override {
    return inner_.now();
  }

  int Wait(std::span<pollfd> watched, int ms) override {
    CountWait();
    // A wait for nothing but time needs no memory, and none is asked for it.
    std::optional<Failure> failure = watched.empty() ? std::nullopt : Ask(Call::kWait);
    if (failure)
      return -failure->error;
    return inner_.Wait(watched, ms);
  }

  int OpenStream() override {
    if (auto failure = Ask(Call::kOpenStream))
      return -failure->error;
    return Opened(inner_.OpenStream(), Origin::kOpened);
  }

  int Connect(int fd, const loop::Address& to) override {
    auto failure = Ask(Call::kConnect);
    if (!failure)
      return inner_.Connect(fd, to);
    // Interrupted, it proceeds, as connect(2) states.
    if (failure->error == EINTR)
      inner_.Connect(fd, to);
    return -failure->error;
  }

  int SocketError(int fd) override {
    if (auto failure = Ask(Call::kConnectResult))
      return failure->error;
    return inner_.SocketError(fd);
  }

  int Listen(const loop::Address& at) override {
    return Opened(inner_.Listen(at), Origin::kListening);
  }

  int Accept(int fd) override {
    if (auto failure = Ask(Call::kAccept))
      return -failure->error;
    return Progressed(Opened(inner_.Accept(fd), Origin::kAccepted));
  }

  ssize_t Receive(int fd, std::span<char> into) override {
    auto failure = Ask(Call::kReceive);
    if (failure && failure->error != 0)
      return -Failed(Call::kReceive, fd, failure->error);
    ssize_t got = Progressed(inner_.Receive(fd, failure ? into.first(1) : into));
    return got == -EAGAIN && IsBroken(fd) ? -ECONNRESET : got;
  }

  loop::Ms SinceLastArrival(int fd) override {
    return inner_.SinceLastArrival(fd);
  }

  ssize_t Send(int fd, std::span<const iovec> parts) override {
    auto failure = Ask(Call::kSend);
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
      ++strange_closes_;
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
    strange_closes_ += open_.erase(fd) == 0 ? 1 : 0;
    inner_.Abort(fd);
  }

  int OpenDatagrams(const loop::Address& at) override {
    if (auto failure = Ask(Call::kOpenDatagrams))
      return -failure->error;
    return Opened(inner_.OpenDatagrams(at), Origin::kOpened);
  }

  ssize_t SendTo(int fd, std::span<const char> bytes, const loop::Address& to) override {
    if (auto failure = Ask(Call::kSendTo))
      return -failure->error;
    return inner_.SendTo(fd, bytes, to);
  }

  ssize_t ReceiveFrom(int fd, std::span<char> into, loop::Address& from) override {
    if (auto failure = Ask(Call::kReceiveFrom))
      return -failure->error;
    return inner_.ReceiveFrom(fd, into, from);
  }

  std::size_t DescriptorLimit() override {
    return inner_.DescriptorLimit();
  }

 private:
  enum class Origin {
    kOpened,
    kListening,
    kAccepted
  };
  struct Open {
    Origin origin = Origin::kOpened;
    bool broken = false;  // a failure ended it: what has come can be read, nothing can be written
  };

  std::optional<Failure> Ask(Call call) {
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

  /// Passes on the result of a call; where it is positive, something was done.
  template <class Result>
  Result Progressed(Result result) {
    if (result > 0)
      waits_ = 0;
    return result;
  }

  void CountWait() {
    loop::Ms now = inner_.now();
    waits_ = now == waited_at_ ? waits_ + 1 : 1;
    waited_at_ = now;
    most_waits_ = std::max(most_waits_, waits_);
  }

  loop::Environment& inner_;
  std::array<std::size_t, kCallCount> calls_{};
  std::map<int, Open> open_;  // by descriptor; emptied by close()
  std::size_t failures_ = 0;
  std::size_t accepted_lost_ = 0;
  std::size_t strange_closes_ = 0;
  std::size_t waits_ = 0;
  std::size_t most_waits_ = 0;
  loop::Ms waited_at_ = -1;
};

/// One call of one kind fails once.
inline FailingEnvironment::Plan FailOnce(Call failing, std::size_t ordinal, Failure failure) {
  return [=](Call call, std::size_t at) -> std::optional<Failure> {
    if (call == failing && at == ordinal)
      return failure;
    return std::nullopt;
  };
}

/// Each call fails with the given probability until `ends`, by `clock`. The same seed gives the
/// same plan.
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
