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

// Descriptors that are neither a client's nor a cache's: standard streams, listener, board, signals, and some
// for what the system opens.
constexpr std::size_t aside = 24;

// The process may be held to fewer than the configuration says. Harm without the least: with none left for caches the count of
// theirs wraps, and they take all.
std::size_t descriptors(const Charter& c, loop::Loop& loop) {
  std::size_t own = loop.ground().descriptorLimit();
  if (own < leastDescriptors)
    throw std::runtime_error("the process may hold " + std::to_string(own) + " descriptors, at least " +
                             std::to_string(leastDescriptors) + " are wanted");
  return std::min(c.descriptors, own);
}

// Those that were ended from here and are read until the other side ends them too: out of the clients' half.
std::size_t mostLingering(const Charter& c, loop::Loop& loop) { return descriptors(c, loop) / 16; }

// Clients hold at most a third of the descriptors; half leaves room for those that are about to close. Each
// may hold one answer of the largest size, here and in the system's buffers, which the memory must bear.
std::size_t mostClients(const Charter& c, loop::Loop& loop) {
  constexpr double share = 0.6, eachMb = 0.25;
  return std::min(descriptors(c, loop) / 2 - mostLingering(c, loop), static_cast<std::size_t>(share * c.memoryMb / eachMb));
}

std::size_t forCaches(const Charter& c, loop::Loop& loop) {
  return descriptors(c, loop) - aside - mostClients(c, loop) - mostLingering(c, loop);
}

std::vector<bool> written(const StoreSheet& sheet) {
  std::vector<bool> all;
  for (const Offering& o : sheet.offerings) all.push_back(o.neverKept);
  return all;
}

}  // namespace

Front::Front(loop::Loop& loop, const Charter& c)
    : Front(loop, c, decidingFor(c)) {}

Front::Front(loop::Loop& loop, const Charter& c, exchange::Decider decides)
    : Front(loop, c, Deciding{std::move(decides), nullptr, nullptr}) {}

Front::Front(loop::Loop& loop, const Charter& c, Deciding deciding)
    : loop_(loop),
      health_(c.sheet.zone, c.sheet.parentKind, c.sheet.originKind),
      exchange_(loop, c.sheet, c.fleet.on ? noting(deciding.decides) : deciding.decides),
      caches_(loop, exchange_, c.terms, forCaches(c, loop)),
      board_(loop, exchange_, c.terms, c.board),
      clients_(loop, exchange_, c.terms.offerings, written(c.sheet), c.listen, mostClients(c, loop),
               mostLingering(c, loop)) {
  exchange_.meet(caches_);
  if (!board_.begin(c.known)) throw std::runtime_error("configuration lacks usable events under known");
  board_.follow();
  Fleet::Steer steer = [this](std::vector<double> shares) { exchange_.sharesCame(std::move(shares)); };
  if (c.fleet.on && !c.fleet.overPeers) fleet_ = std::make_unique<Fleet>(loop, c.fleet, c.seed, health_, steer);
  parts_ = makeParts(loop, c, health_, std::move(steer), exchange_, deciding);
}

exchange::Decider Front::noting(exchange::Decider decides) {
  return [this, decides = std::move(decides)](Ms now, const Event& event) {
    if (auto* news = std::get_if<ListNews>(&event)) health_.take(*news);
    std::vector<Action> todo = decides(now, event);
    for (const Action& a : todo)
      if (auto* told = std::get_if<TellHealth>(&a)) health_.take(*told);
    return todo;
  };
}

void Front::follow(const Charter& c) {
  if (!board_.moveTo(c.board, c.known))
    throw std::runtime_error("configuration lacks usable events under known");
  ++exchange_.counters.reloads;
}

void Front::stop() {
  // New connections come for up to 0.4 s after the word to stop, and requests on open ones for 0.2 s more.
  constexpr Ms clientsStillCome = 700;
  if (std::exchange(stopping_, true)) return;
  log::say("stopping: %zu pulls open", exchange_.openPulls());
  clients_.wind();
  loop_.at(loop_.now() + clientsStillCome, [this] { leaveWhenDone(); });
}

void Front::leaveWhenDone() {
  constexpr Ms look = 10;
  clients_.leave();
  if (clients_.empty()) return loop_.stop();
  loop_.at(loop_.now() + look, [this] { leaveWhenDone(); });
}

std::string Front::counters() const { return exposition(exchange_.counters); }

// ---- signals, by a pipe that the loop watches

namespace {

int signalsTo = -1;
void noteSignal(int which) {
  int kept = errno;
  char byte = static_cast<char>(which);
  [[maybe_unused]] ssize_t put = ::write(signalsTo, &byte, 1);
  errno = kept;
}

class Signals final : loop::Handler {
 public:
  // Before the front is there: a signal that comes while it starts is kept for it.
  Signals(loop::Loop& loop, std::string path, std::string listen)
      : loop_(loop), path_(std::move(path)), listen_(std::move(listen)) {
    int ends[2];
    if (::pipe2(ends, O_NONBLOCK | O_CLOEXEC) != 0) throw std::runtime_error("no pipe for signals");
    from_ = loop::Descriptor(ends[0]);
    to_ = loop::Descriptor(ends[1]);
    signalsTo = to_.get();
    struct sigaction action {};
    action.sa_handler = noteSignal;
    for (int which : caught) ::sigaction(which, &action, nullptr);
    ::signal(SIGPIPE, SIG_IGN);
  }
  ~Signals() {
    for (int which : caught) ::signal(which, SIG_IGN);
    loop_.forget(from_.get());
  }
  void reach(Front& front) {
    front_ = &front;
    loop_.watch(from_.get(), *this, POLLIN);
  }

 private:
  static constexpr int caught[] = {SIGTERM, SIGINT, SIGUSR1, SIGHUP};

  void ready(short) override {
    char byte = 0;
    bool again = false;
    while (::read(from_.get(), &byte, 1) == 1)
      if (byte == SIGUSR1) log::WriteToStandardError(front_->counters());
      else if (byte == SIGHUP) again = true;  // several that wait are one: the file is read after all of them
      else front_->stop();
    if (again) reread();
  }
  // Guards against a file half written, or for somebody else: the front that serves goes on as it was.
  void reread() {
    try {
      Charter charter = readCharter(path_, listen_);
      front_->follow(charter);
      log::say("new configuration: the notice board is at %s", charter.boardText.c_str());
    } catch (const std::exception& fault) {
      log::say("new configuration not taken, the old one stays: %s", fault.what());
    }
  }
  loop::Loop& loop_;
  std::string path_, listen_;
  Front* front_ = nullptr;
  loop::Descriptor from_, to_;
};

}  // namespace

namespace {

// A process may be started with standard streams closed. Their numbers would go to descriptors of its own, and log lines with them:
// into the pipe for signals, each byte a signal, or to a peer.
void OpenStandardStreams() {
  for (int fd : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
    if (::fcntl(fd, F_GETFD) >= 0) continue;
    // open(2) takes the lowest number that is free, which is this one.
    if (::open("/dev/null", O_RDWR) != fd) throw std::runtime_error("a standard stream is closed and /dev/null cannot be opened");
  }
}

}  // namespace

int serve(const std::string& path, const std::string& listen) {
  OpenStandardStreams();
  loop::Loop loop;
  Signals signals(loop, path, listen);
  Charter charter = readCharter(path, listen);
  Front front(loop, charter);
  signals.reach(front);
  log::say("%s serves", charter.name.c_str());
  loop.run();
  log::WriteToStandardError(front.counters());
  return 0;
}

}  // namespace dunlinwick::front
