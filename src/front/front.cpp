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

// Descriptors that are neither a client's nor a cache's: standard streams, listener, discovery
// service, signal pipe, and some for what the system libraries open.
constexpr std::size_t kReservedDescriptors = 24;

// The process may be limited to fewer descriptors than the configuration says. Without the minimum,
// the number left for caches would wrap around, and caches could use them all.
std::size_t UsableDescriptors(const FrontConfiguration& configuration, loop::Loop& loop) {
  std::size_t limit = loop.environment().DescriptorLimit();
  if (limit < kMinDescriptors)
    throw std::runtime_error("the process may open " + std::to_string(limit) +
                             " descriptors; at least " + std::to_string(kMinDescriptors) +
                             " are required");
  return std::min(configuration.descriptors, limit);
}

// Connections that this side has closed and reads until the client closes them too. They count
// against the clients' half.
std::size_t MaxLingeringConnections(const FrontConfiguration& configuration, loop::Loop& loop) {
  return UsableDescriptors(configuration, loop) / 16;
}

// What may be held for clients; the rest is for the program itself and for the allocator's losses.
std::size_t ClientMemoryBytes(const FrontConfiguration& configuration) {
  constexpr double kMemoryShare = 0.6;
  constexpr double kBytesPerMb = 1 << 20;
  return static_cast<std::size_t>(kMemoryShare * configuration.memory_mb * kBytesPerMb);
}

// By the protocol clients hold at most a third of the descriptors; half leaves room for connections
// that are about to close. What connections hold beyond their own state is limited by the
// Exchange's memory budget: with fewer connections, requests would wait unread behind those that
// are open.
std::size_t MaxClientConnections(const FrontConfiguration& configuration, loop::Loop& loop) {
  constexpr std::size_t kIdleConnectionBytes = 4096;
  return std::min(
      UsableDescriptors(configuration, loop) / 2 - MaxLingeringConnections(configuration, loop),
      ClientMemoryBytes(configuration) / kIdleConnectionBytes);
}

std::size_t CacheDescriptors(const FrontConfiguration& configuration, loop::Loop& loop) {
  return UsableDescriptors(configuration, loop) - kReservedDescriptors -
         MaxClientConnections(configuration, loop) - MaxLingeringConnections(configuration, loop);
}

// Which request classes write, by number.
std::vector<bool> WriteClasses(const DeploymentSettings& settings) {
  std::vector<bool> writes;
  for (const RequestClass& request_class : settings.request_classes)
    writes.push_back(request_class.uncacheable);
  return writes;
}

}  // namespace

Front::Front(loop::Loop& loop, const FrontConfiguration& configuration)
    : Front(loop, configuration, MakeRequestRouting(configuration)) {}

Front::Front(loop::Loop& loop, const FrontConfiguration& configuration,
             exchange::RequestRouter router)
    : Front(loop, configuration, RequestRouting{std::move(router), nullptr, nullptr}) {}

Front::Front(loop::Loop& loop, const FrontConfiguration& configuration, RequestRouting routing)
    : loop_(loop),
      health_(configuration.settings.zone, configuration.settings.parent_kind,
              configuration.settings.origin_kind),
      exchange_(loop, configuration.settings,
                configuration.fleet.enabled ? ObserveHealth(routing.router) : routing.router),
      caches_(loop, exchange_, configuration.connection_settings,
              CacheDescriptors(configuration, loop)),
      discovery_(loop, exchange_, configuration.connection_settings, configuration.discovery),
      clients_(loop, exchange_, configuration.connection_settings.request_classes,
               WriteClasses(configuration.settings), configuration.listen,
               MaxClientConnections(configuration, loop),
               MaxLingeringConnections(configuration, loop)) {
  exchange_.SetUpstreamTransport(caches_);
  exchange_.memory().SetLimit(ClientMemoryBytes(configuration));
  if (!discovery_.ApplyInitialEvents(configuration.known_updates))
    throw std::runtime_error("configuration has no valid updates under known");
  discovery_.StartWatch();
  MembershipComponent::TrafficWeightsCallback set_traffic_weights =
      [this](std::vector<double> weights) {
        exchange_.OnZoneTrafficWeights(std::move(weights));
      };
  if (configuration.fleet.enabled && !configuration.fleet.over_peers)
    membership_ = std::make_unique<MembershipComponent>(
        loop, configuration.fleet, configuration.seed, health_, set_traffic_weights);
  components_ = MakeFleetComponents(loop, configuration, health_, std::move(set_traffic_weights),
                                    exchange_, routing);
}

exchange::RequestRouter Front::ObserveHealth(exchange::RequestRouter router) {
  return [this, router = std::move(router)](Ms now, const Event& event) {
    if (auto* update = std::get_if<EndpointListUpdate>(&event))
      health_.Update(*update);
    std::vector<Action> actions = router(now, event);
    for (const Action& action : actions)
      if (auto* report = std::get_if<ReportEndpointHealth>(&action))
        health_.Update(*report);
    return actions;
  };
}

void Front::Reload(const FrontConfiguration& configuration) {
  if (!discovery_.SwitchTo(configuration.discovery, configuration.known_updates))
    throw std::runtime_error("configuration has no valid updates under known");
  ++exchange_.counters.config_reloads;
}

void Front::Stop() {
  // New connections arrive for up to 0.4 s after the signal to stop, and requests on open ones for
  // 0.2 s more.
  constexpr Ms kAcceptAfterStop = 700;
  if (std::exchange(stopping_, true))
    return;
  log::Write("stopping: %zu requests open", exchange_.OpenRequestCount());
  clients_.AnnounceShutdown();
  loop_.RunAt(loop_.now() + kAcceptAfterStop, [this] { StopWhenIdle(); });
}

void Front::StopWhenIdle() {
  constexpr Ms kCheckEvery = 10;
  clients_.ContinueShutdown();
  if (clients_.empty())
    return loop_.Stop();
  loop_.RunAt(loop_.now() + kCheckEvery, [this] { StopWhenIdle(); });
}

std::string Front::counters() const {
  return Exposition(exchange_.counters);
}

// ---- signals, through a pipe that the loop watches

namespace {

int signal_pipe = -1;
void ForwardSignal(int signal) {
  int saved_errno = errno;
  char byte = static_cast<char>(signal);
  [[maybe_unused]] ssize_t written = ::write(signal_pipe, &byte, 1);
  errno = saved_errno;
}

class SignalReceiver final : loop::Handler {
 public:
  // Made before the front: a signal that arrives while the front starts waits in the pipe.
  SignalReceiver(loop::Loop& loop, std::string path, std::string listen)
      : loop_(loop), path_(std::move(path)), listen_(std::move(listen)) {
    int ends[2];
    if (::pipe2(ends, O_NONBLOCK | O_CLOEXEC) != 0)
      throw std::runtime_error("cannot create the pipe for signals");
    read_end_ = loop::Descriptor(ends[0]);
    write_end_ = loop::Descriptor(ends[1]);
    signal_pipe = write_end_.Get();
    struct sigaction action {};
    action.sa_handler = ForwardSignal;
    for (int signal : kHandledSignals)
      ::sigaction(signal, &action, nullptr);
    ::signal(SIGPIPE, SIG_IGN);
  }
  ~SignalReceiver() {
    for (int signal : kHandledSignals)
      ::signal(signal, SIG_IGN);
    loop_.Unwatch(read_end_.Get());
  }
  void Attach(Front& front) {
    front_ = &front;
    loop_.WatchDescriptor(read_end_.Get(), *this, POLLIN);
  }

 private:
  static constexpr int kHandledSignals[] = {SIGTERM, SIGINT, SIGUSR1, SIGHUP};

  void OnReady(short) override {
    char byte = 0;
    bool reload = false;
    while (::read(read_end_.Get(), &byte, 1) == 1)
      if (byte == SIGUSR1)
        log::WriteToStandardError(front_->counters());
      else if (byte == SIGHUP)
        reload = true;  // several that wait cause one: the file is read after all of them
      else
        front_->Stop();
    if (reload)
      ReloadConfiguration();
  }
  // A file that is half written or meant for another process changes nothing: the front serves on
  // with its configuration.
  void ReloadConfiguration() {
    try {
      FrontConfiguration configuration = ReadConfiguration(path_, listen_);
      front_->Reload(configuration);
      log::Write("configuration reloaded: the discovery service is at %s",
                 configuration.discovery_text.c_str());
    } catch (const std::exception& error) {
      log::Write("configuration not reloaded, the previous one stays in use: %s", error.what());
    }
  }
  loop::Loop& loop_;
  std::string path_;
  std::string listen_;
  Front* front_ = nullptr;
  loop::Descriptor read_end_;
  loop::Descriptor write_end_;
};

}  // namespace

namespace {

// A process may be started with standard streams closed. Its own descriptors would get their
// numbers, and log lines would be written into them: into the signal pipe, each byte as a signal,
// or to a peer.
void OpenStandardStreams() {
  for (int fd : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
    if (::fcntl(fd, F_GETFD) >= 0)
      continue;
    // open(2) returns the lowest free number, which is this one.
    if (::open("/dev/null", O_RDWR) != fd)
      throw std::runtime_error("a standard stream is closed and /dev/null cannot be opened");
  }
}

}  // namespace

int Serve(const std::string& path, const std::string& listen) {
  OpenStandardStreams();
  loop::Loop loop;
  SignalReceiver signals(loop, path, listen);
  FrontConfiguration configuration = ReadConfiguration(path, listen);
  Front front(loop, configuration);
  signals.Attach(front);
  log::Write("%s serves", configuration.name.c_str());
  loop.Run();
  log::WriteToStandardError(front.counters());
  return 0;
}

}  // namespace dunlinwick::front
