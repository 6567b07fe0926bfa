#include "front/front.hpp"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>

#include "front/exposition.hpp"
#include "log/log.hpp"

namespace dunlinwick::front {
namespace {

using loop::Ms;

// Descriptors that are neither a client's nor a cache's: standard streams, listener, board,
// signals, and some for what the system opens.
constexpr std::size_t kEjected = 24;

// The process may be held to fewer than the configuration says. Harm without the least: with none
// left for caches the count of theirs wraps, and they take all.
std::size_t Descriptors(const Configuration& c, loop::Loop& loop) {
  std::size_t own = loop.environment().DescriptorLimit();
  if (own < kLeastDescriptors)
    throw std::runtime_error("the process may hold " + std::to_string(own) +
                             " descriptors, at least " + std::to_string(kLeastDescriptors) +
                             " are wanted");
  return std::min(c.descriptors, own);
}

// Those that were ended from here and are read until the other side ends them too: out of the
// clients' half.
std::size_t MostLingering(const Configuration& c, loop::Loop& loop) {
  return Descriptors(c, loop) / 16;
}

// Clients hold at most a third of the descriptors; half leaves room for those that are about to
// close. Each may hold one answer of the largest size, here and in the system's buffers, which the
// memory must bear.
std::size_t MostClients(const Configuration& c, loop::Loop& loop) {
  constexpr double kShare = 0.6, kEachMb = 0.25;
  return std::min(Descriptors(c, loop) / 2 - MostLingering(c, loop),
                  static_cast<std::size_t>(kShare * c.memory_mb / kEachMb));
}

std::size_t ForCaches(const Configuration& c, loop::Loop& loop) {
  return Descriptors(c, loop) - kEjected - MostClients(c, loop) - MostLingering(c, loop);
}

std::vector<bool> Written(const StoreSettings& settings) {
  std::vector<bool> all;
  for (const RequestClass& o : settings.request_classes)
    all.push_back(o.never_kept);
  return all;
}

}  // namespace

Front::Front(loop::Loop& loop, const Configuration& c) : Front(loop, c, DecidingFor(c)) {}

Front::Front(loop::Loop& loop, const Configuration& c, exchange::Decider decides)
    : Front(loop, c, Deciding{std::move(decides), nullptr, nullptr}) {}

Front::Front(loop::Loop& loop, const Configuration& c, Deciding deciding)
    : loop_(loop),
      health_(c.settings.zone, c.settings.parent_kind, c.settings.origin_kind),
      exchange_(loop, c.settings, c.fleet.on ? Noting(deciding.decides) : deciding.decides),
      caches_(loop, exchange_, c.terms, ForCaches(c, loop)),
      discovery_(loop, exchange_, c.terms, c.discovery),
      clients_(loop, exchange_, c.terms.request_classes, Written(c.settings), c.listen,
               MostClients(c, loop), MostLingering(c, loop)) {
  exchange_.Meet(caches_);
  if (!discovery_.ApplyInitialEvents(c.known))
    throw std::runtime_error("configuration lacks usable events under known");
  discovery_.StartWatch();
  Fleet::Steer steer = [this](std::vector<double> shares) {
    exchange_.SharesCame(std::move(shares));
  };
  if (c.fleet.on && !c.fleet.over_peers)
    fleet_ = std::make_unique<Fleet>(loop, c.fleet, c.seed, health_, steer);
  parts_ = MakeParts(loop, c, health_, std::move(steer), exchange_, deciding);
}

exchange::Decider Front::Noting(exchange::Decider decides) {
  return [this, decides = std::move(decides)](Ms now, const Event& event) {
    if (auto* news = std::get_if<ListNews>(&event))
      health_.Take(*news);
    std::vector<Action> todo = decides(now, event);
    for (const Action& a : todo)
      if (auto* notified = std::get_if<TellHealth>(&a))
        health_.Take(*notified);
    return todo;
  };
}

void Front::Follow(const Configuration& c) {
  if (!discovery_.SwitchTo(c.discovery, c.known))
    throw std::runtime_error("configuration lacks usable events under known");
  ++exchange_.counters.reloads;
}

void Front::Stop() {
  // New connections come for up to 0.4 s after the word to stop, and requests on open ones for 0.2
  // s more.
  constexpr Ms kClientsStillCome = 700;
  if (std::exchange(stopping_, true))
    return;
  log::Write("stopping: %zu pulls open", exchange_.OpenRequests());
  clients_.Wind();
  loop_.RunAt(loop_.now() + kClientsStillCome, [this] { LeaveWhenDone(); });
}

void Front::LeaveWhenDone() {
  constexpr Ms kLook = 10;
  clients_.Leave();
  if (clients_.empty())
    return loop_.Stop();
  loop_.RunAt(loop_.now() + kLook, [this] { LeaveWhenDone(); });
}

std::string Front::counters() const {
  return Exposition(exchange_.counters);
}

// ---- signals, by a pipe that the loop watches

namespace {

int signals_to = -1;
void NoteSignal(int which) {
  int kept = errno;
  char byte = static_cast<char>(which);
  [[maybe_unused]] ssize_t put = ::write(signals_to, &byte, 1);
  errno = kept;
}

class Signals final : loop::Handler {
 public:
  // Before the front is there: a signal that comes while it starts is kept for it.
  Signals(loop::Loop& loop, std::string path, std::string listen)
      : loop_(loop), path_(std::move(path)), listen_(std::move(listen)) {
    int ends[2];
    if (::pipe2(ends, O_NONBLOCK | O_CLOEXEC) != 0)
      throw std::runtime_error("no pipe for signals");
    from_ = loop::Descriptor(ends[0]);
    to_ = loop::Descriptor(ends[1]);
    signals_to = to_.Get();
    struct sigaction action {};
    action.sa_handler = NoteSignal;
    for (int which : kCaught)
      ::sigaction(which, &action, nullptr);
    ::signal(SIGPIPE, SIG_IGN);
  }
  ~Signals() {
    for (int which : kCaught)
      ::signal(which, SIG_IGN);
    loop_.Unwatch(from_.Get());
  }
  void Reach(Front& front) {
    front_ = &front;
    loop_.WatchDescriptor(from_.Get(), *this, POLLIN);
  }

 private:
  static constexpr int kCaught[] = {SIGTERM, SIGINT, SIGUSR1, SIGHUP};

  void OnReady(short) override {
    char byte = 0;
    bool again = false;
    while (::read(from_.Get(), &byte, 1) == 1)
      if (byte == SIGUSR1)
        log::WriteToStandardError(front_->counters());
      else if (byte == SIGHUP)
        again = true;  // several that wait are one: the file is read after all of them
      else
        front_->Stop();
    if (again)
      Reread();
  }
  // Guards against a file half written, or for somebody else: the front that serves goes on as it
  // was.
  void Reread() {
    try {
      Configuration configuration = ReadConfiguration(path_, listen_);
      front_->Follow(configuration);
      log::Write("new configuration: the notice board is at %s",
                 configuration.discovery_text.c_str());
    } catch (const std::exception& fault) {
      log::Write("new configuration not taken, the old one stays: %s", fault.what());
    }
  }
  loop::Loop& loop_;
  std::string path_;
  std::string listen_;
  Front* front_ = nullptr;
  loop::Descriptor from_;
  loop::Descriptor to_;
};

}  // namespace

namespace {

// A process may be started with standard streams closed. Their numbers would go to descriptors of
// its own, and log lines with them: into the pipe for signals, each byte a signal, or to a peer.
void OpenStandardStreams() {
  for (int fd : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
    if (::fcntl(fd, F_GETFD) >= 0)
      continue;
    // open(2) takes the lowest number that is free, which is this one.
    if (::open("/dev/null", O_RDWR) != fd)
      throw std::runtime_error("a standard stream is closed and /dev/null cannot be opened");
  }
}

}  // namespace

int Serve(const std::string& path, const std::string& listen) {
  OpenStandardStreams();
  loop::Loop loop;
  Signals signals(loop, path, listen);
  Configuration configuration = ReadConfiguration(path, listen);
  Front front(loop, configuration);
  signals.Reach(front);
  log::Write("%s serves", configuration.name.c_str());
  loop.Run();
  log::WriteToStandardError(front.counters());
  return 0;
}

}  // namespace dunlinwick::front
