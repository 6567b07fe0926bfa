/// A front as a process of its own on loopback, between fake servers on a thread and clients on raw
/// sockets. For tests of what a process needs and of how late it answers: memory and time are real
/// here, so the bounds are those that the configuration states.
#pragma once
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "loop/listener.hpp"

namespace dunlinwick::testing {

using loop::Ms;

constexpr Ms kTooLate = 500;  ///< a response this long after its deadline counts as lost

inline Ms Now() {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
inline long long UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void SleepFor(Ms time) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(time));
}

#if defined(__SANITIZE_ADDRESS__)
/// The sanitizers' own memory is many times the front's.
constexpr bool kMeasuresMemory = false;
#else
constexpr bool kMeasuresMemory = true;
#endif

// ---- servers

inline loop::Address LoopbackAddress(std::uint16_t port) {
  loop::Address address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}
/// A port of loopback at which nobody listens just now.
inline std::uint16_t FreePort() {
  loop::Address address = LoopbackAddress(0);
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  socklen_t size = sizeof address;
  REQUIRE(::bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0);
  REQUIRE(::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0);
  ::close(fd);
  return ntohs(address.sin_port);
}

/// An attempt as a server received it, with its body.
struct ReceivedAttempt {
  std::string id;
  std::string server;  ///< the name of the process that received it
  Ms at = 0;
  bool was_gone = false;  ///< the process had vanished before: nobody executes it
  Ms connected_at = 0;    ///< when its connection was accepted
};

/// What becomes of a process's connections when another process takes its address.
enum class ProcessEnd {
  kReset,  ///< they end
  kSilent  ///< its host has vanished: they stay open, and nothing is answered
};

/// What a server does with an attempt.
struct ServerAnswer {
  Ms after = 0;  ///< negative: never
  std::size_t body_bytes = 2;
};

/// Servers s-0, s-1, ... on ports of their own, all on one thread.
class ServerThread {
 public:
  using Behaviour = std::function<ServerAnswer(const ReceivedAttempt&)>;

  ServerThread(std::size_t count, Behaviour behaviour) : behaviour_(std::move(behaviour)) {
    for (std::size_t i = 0; i < count; ++i)
      Listen("s-" + std::to_string(i));
    thread_ = std::thread([this] { Run(); });
  }
  ~ServerThread() {
    stopping_ = true;
    thread_.join();
    peers_.clear();
    listeners_.clear();
  }
  std::string AddressOf(std::size_t server) const {
    return "127.0.0.1:" + std::to_string(ports_[server]);
  }
  std::vector<ReceivedAttempt> Attempts() const {
    std::lock_guard lock(mutex_);
    return attempts_;
  }
  /// Another process, of that name, takes the address of the server.
  void Replace(std::size_t server, const std::string& name, ProcessEnd end) {
    RunOnLoop([=, this] {
      const std::string old_name = names_[server];
      listeners_[server].reset();
      for (const auto& peer : peers_)
        if (peer->name == old_name) {
          peer->is_gone = true;
          if (end == ProcessEnd::kReset)
            peer->connection.Disconnect(loop::DisconnectReason::kReleased);
        }
      names_[server] = name;
      ListenAt(server);
    });
  }

 private:
  /// Runs it on the servers' thread, and waits for it.
  void RunOnLoop(std::function<void()> task) {
    std::promise<void> done;
    {
      std::lock_guard lock(mutex_);
      tasks_.push_back([&] {
        task();
        done.set_value();
      });
    }
    done.get_future().wait();
  }
  struct Peer final : loop::Connection::Owner {
    ServerThread& servers;
    std::string name;
    bool ended = false;
    bool is_gone = false;
    Ms connected_at = Now();
    loop::Connection connection;
    Peer(ServerThread& owner, std::string server, loop::Descriptor fd)
        : servers(owner), name(std::move(server)), connection(owner.loop_, *this, std::move(fd)) {}
    void OnBytesReceived() override {
      while (ReadMessage()) {
      }
    }
    /// False: more bytes are needed.
    bool ReadMessage() {
      const std::string_view bytes = connection.in.bytes();
      const std::size_t end = bytes.find("\r\n");
      if (end == bytes.npos)
        return false;
      const std::string line(bytes.substr(0, end));
      const std::string word = line.substr(0, line.find(' '));
      const std::string rest = line.substr(std::min(line.size(), word.size() + 1));
      std::size_t size = end + 2;
      if (word == "want") {
        size += std::strtoul(line.c_str() + line.rfind(' ') + 1, nullptr, 10) + 2;
        if (bytes.size() < size)
          return false;
        servers.Receive(*this, rest.substr(0, rest.find(' ')));
      } else if (!is_gone && (word == "there" || word == "busy")) {
        connection.Send(rest + " PONG - 0\r\n\r\n");
      }
      connection.ConsumeInput(size);
      return true;
    }
    void OnDisconnected(loop::DisconnectReason) override {
      connection.Close();
      ended = true;
    }
  };
  void Listen(const std::string& name) {
    names_.push_back(name);
    ports_.push_back(FreePort());
    listeners_.emplace_back();
    ListenAt(names_.size() - 1);
  }
  void ListenAt(std::size_t server) {
    listeners_[server] = std::make_unique<loop::Listener>(
        loop_, LoopbackAddress(ports_[server]), [this, name = names_[server]](loop::Descriptor fd) {
          peers_.push_back(std::make_shared<Peer>(*this, name, std::move(fd)));
        });
  }
  void Receive(Peer& peer, const std::string& id) {
    const ReceivedAttempt attempt{id, peer.name, Now(), peer.is_gone, peer.connected_at};
    {
      std::lock_guard lock(mutex_);
      attempts_.push_back(attempt);
    }
    const ServerAnswer answer = behaviour_(attempt);
    if (answer.after < 0 || peer.is_gone)
      return;
    auto shared = std::find_if(peers_.begin(), peers_.end(),
                               [&](const auto& other) { return other.get() == &peer; });
    loop_.RunAt(loop_.now() + answer.after, [peer = *shared, id, answer] {
      if (!peer->ended && !peer->is_gone)
        peer->connection.Send(id + " HIT entity=t1,issued=" + std::to_string(UnixMs()) +
                              ",remark=local " + std::to_string(answer.body_bytes) + "\r\n" +
                              std::string(answer.body_bytes, 'b') + "\r\n");
    });
  }
  void Run() {
    constexpr Ms kStopCheckInterval = 20;
    while (!stopping_) {
      loop_.RunOnce(kStopCheckInterval);
      for (const auto& task : TakeTasks())
        task();
      std::erase_if(peers_, [](const auto& peer) { return peer->ended; });
    }
  }

  std::vector<std::function<void()>> TakeTasks() {
    std::lock_guard lock(mutex_);
    return std::exchange(tasks_, {});
  }

  loop::Loop loop_;
  Behaviour behaviour_;
  std::atomic<bool> stopping_{false};
  mutable std::mutex mutex_;
  std::vector<ReceivedAttempt> attempts_;
  std::vector<std::function<void()>> tasks_;  // emptied in each turn of the loop
  std::vector<std::string> names_;
  std::vector<std::uint16_t> ports_;
  std::vector<std::unique_ptr<loop::Listener>> listeners_;
  std::vector<std::shared_ptr<Peer>> peers_;
  std::thread thread_;
};

// ---- discovery

/// Announces events, and the last event's number each second, on a thread.
class DiscoveryThread {
 public:
  explicit DiscoveryThread(unsigned first_revision)
      : last_(first_revision),
        listener_(loop_, LoopbackAddress(port_),
                  [this](loop::Descriptor fd) {
                    watchers_.push_back(std::make_unique<Watcher>(loop_, std::move(fd)));
                  }),
        thread_([this] { Run(); }) {}
  ~DiscoveryThread() {
    stopping_ = true;
    thread_.join();
  }
  std::string Address() const {
    return "127.0.0.1:" + std::to_string(port_);
  }
  /// `content`: of the event, behind its number.
  void Announce(const std::string& content) {
    std::lock_guard lock(mutex_);
    ++last_;
    events_[last_] = R"({"rev":)" + std::to_string(last_) + "," + content + "}\n";
  }

 private:
  struct Watcher final : loop::Connection::Owner {
    unsigned next = 0;  ///< 0: it has not said yet what it has
    Ms sent_at = 0;
    loop::Connection connection;
    Watcher(loop::Loop& loop, loop::Descriptor fd) : connection(loop, *this, std::move(fd)) {}
    void OnBytesReceived() override {
      const std::string_view bytes = connection.in.bytes();
      if (bytes.find('\n') != bytes.npos && next == 0)
        next = static_cast<unsigned>(std::atoi(std::string(bytes.substr(6)).c_str())) + 1;
    }
    void OnDisconnected(loop::DisconnectReason) override {
      connection.Close();
    }
  };
  void Run() {
    constexpr Ms kTurn = 5;
    constexpr Ms kHeartbeat = 1000;
    while (!stopping_) {
      loop_.RunOnce(kTurn);
      std::lock_guard lock(mutex_);
      for (const auto& watcher : watchers_) {
        if (watcher->next == 0 || watcher->connection.IsEnded())
          continue;
        const bool has_news = watcher->next <= last_;
        for (; watcher->next <= last_; ++watcher->next)
          watcher->connection.Send(events_[watcher->next]);
        if (!has_news && Now() - watcher->sent_at >= kHeartbeat)
          watcher->connection.Send(std::to_string(last_) + "\n");
        else if (!has_news)
          continue;
        watcher->sent_at = Now();
      }
    }
  }
  loop::Loop loop_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  unsigned last_;
  std::map<unsigned, std::string> events_;
  std::uint16_t port_ = FreePort();
  std::vector<std::unique_ptr<Watcher>> watchers_;
  loop::Listener listener_;
  std::thread thread_;
};

// ---- clients

/// A client's connection. Writes go as far as the kernel takes them.
class RawClient {
 public:
  /// `receive_buffer_bytes`: of the system, 0 for its own choice.
  explicit RawClient(std::uint16_t port, int receive_buffer_bytes = 0) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer_bytes > 0)
      ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
    connected_ = ::connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    ::fcntl(fd_, F_SETFL, O_NONBLOCK);
  }
  ~RawClient() {
    Close();
  }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  bool IsConnected() const {
    return connected_ && fd_ >= 0;
  }
  /// Returns how many bytes the kernel took.
  std::size_t Send(std::string_view bytes) {
    const ssize_t sent = fd_ < 0 ? -1 : ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    return sent < 0 ? 0 : static_cast<std::size_t>(sent);
  }
  /// Takes what has arrived. False: the front has ended the connection.
  bool Receive() {
    constexpr std::size_t kMaxKept = 1 << 20;
    char chunk[1 << 14];
    for (;;) {
      const ssize_t count = fd_ < 0 ? 0 : ::recv(fd_, chunk, sizeof chunk, 0);
      if (count == 0)
        return false;
      if (count < 0)
        return errno == EAGAIN || errno == EINTR;
      received_.append(chunk, static_cast<std::size_t>(count));
      if (received_.size() > kMaxKept)
        received_.erase(0, received_.size() - kMaxKept);
    }
  }
  /// Waits for the head of a response until then. 0: none came.
  int AwaitStatus(Ms until) {
    while (received_.find("\r\n\r\n") == std::string::npos) {
      const Ms left = until - Now();
      pollfd readable{fd_, POLLIN, 0};
      if (left <= 0 || fd_ < 0)
        return 0;
      ::poll(&readable, 1, static_cast<int>(left) + 1);
      if (!Receive() && received_.find("\r\n\r\n") == std::string::npos)
        return 0;
    }
    return std::atoi(received_.c_str() + std::string_view("HTTP/1.1 ").size());
  }
  void Forget() {
    received_.clear();
  }
  const std::string& Received() const {
    return received_;
  }
  void ShutdownWrite() {
    ::shutdown(fd_, SHUT_WR);
  }
  void Reset() {
    linger at_once{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    Close();
  }
  void Close() {
    if (fd_ >= 0)
      ::close(fd_);
    fd_ = -1;
  }

 private:
  int fd_ = -1;
  bool connected_ = false;
  std::string received_;
};

inline std::string NewRequestId() {
  static std::atomic<unsigned> last{0};
  char id[17];
  std::snprintf(id, sizeof id, "%016x", ++last);
  return id;
}
inline std::string RequestHead(const std::string& target, const std::string& id, int timeout_ms) {
  return target + " HTTP/1.1\r\nHost: f\r\nX-Request-Id: " + id +
         "\r\nX-Timeout-Ms: " + std::to_string(timeout_ms) + "\r\nX-Group: 17\r\n";
}
inline std::string ReadRequest(const std::string& object, int timeout_ms,
                               const std::string& id = NewRequestId()) {
  return RequestHead("GET /ops/video/" + object, id, timeout_ms) + "\r\n";
}
inline std::string WriteRequest(std::size_t body_bytes, int timeout_ms,
                                const std::string& id = NewRequestId()) {
  return RequestHead("PUT /ops/order/7f3a", id, timeout_ms) +
         "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
         std::string(body_bytes, 'o');
}

// ---- the front

/// The program that the tests start; DUNLINWICK_FRONT names another build of it.
inline std::string FrontProgram() {
  const char* other = std::getenv("DUNLINWICK_FRONT");
  return other ? other : DUNLINWICK_FRONT_PROGRAM;
}

struct FrontLimits {
  int memory_mb = 32;
  int descriptors = 1024;
};

class FrontProcess {
 public:
  FrontProcess(const ServerThread& servers, std::size_t server_count, FrontLimits limits,
               const std::string& discovery = "127.0.0.1:1") {
    std::string listed;
    for (std::size_t i = 0; i < server_count; ++i)
      listed += (i > 0 ? "," : "") + ListedServer("s-" + std::to_string(i), servers.AddressOf(i));
    Start(listed, discovery, limits);
  }
  ~FrontProcess() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    std::remove(path_.c_str());
  }
  static std::string ListedServer(const std::string& id, const std::string& address,
                                  const std::string& state = "in_service") {
    return R"({"id":")" + id + R"(","addr":")" + address +
           R"(","zone":"e-1","kind":"box","weight":200,"state":")" + state + R"("})";
  }
  std::uint16_t Port() const {
    return port_;
  }
  bool IsRunning() {
    return pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == 0;
  }
  void SendSignal(int signal) const {
    ::kill(pid_, signal);
  }
  /// The most memory that the process has had resident, in KB.
  long PeakMemoryKb() const {
    return StatusKb("VmHWM:");
  }
  long MemoryKb() const {
    return StatusKb("VmRSS:");
  }

 private:
  long StatusKb(const std::string& field) const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    std::string word;
    long kb = 0;
    while (status >> word)
      if (word == field)
        status >> kb;
    return kb;
  }
  void Start(const std::string& listed, const std::string& discovery, FrontLimits limits) {
    path_ = "/tmp/dunlinwick_process_test." + std::to_string(::getpid()) + ".json";
    for (int attempt = 0; attempt < 3 && pid_ <= 0; ++attempt) {
      port_ = static_cast<std::uint16_t>(20000 + (::getpid() * 7 + attempt * 131) % 10000);
      std::ofstream(path_) << Configuration(listed, discovery, limits);
      Spawn();
    }
    REQUIRE(pid_ > 0);
  }
  void Spawn() {
    pid_ = ::fork();
    REQUIRE(pid_ >= 0);
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = ::open("/dev/null", O_WRONLY);
      ::dup2(log, STDOUT_FILENO);
      ::dup2(log, STDERR_FILENO);
      const std::string program = FrontProgram();
      ::execl(program.c_str(), program.c_str(), "serve", "--config", path_.c_str(), nullptr);
      ::_exit(127);
    }
    constexpr Ms kStartLimit = 20000;
    const Ms give_up_at = Now() + kStartLimit;
    while (Now() < give_up_at) {
      RawClient client(port_);
      client.Send("GET /alive HTTP/1.1\r\n\r\n");
      if (client.IsConnected() && client.AwaitStatus(Now() + 1000) == 200)
        return;
      SleepFor(20);
      if (!IsRunning()) {
        pid_ = 0;
        return;
      }
    }
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  std::string Configuration(const std::string& listed, const std::string& discovery,
                            FrontLimits limits) const {
    return R"({"name":"n0","listen":"127.0.0.1:)" + std::to_string(port_) +
           R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)" +
           std::to_string(limits.memory_mb) + R"(,"sockets":)" +
           std::to_string(limits.descriptors) + R"(},"board":")" + discovery +
           R"(","known":{"rev":1,"notices":[{"rev":1,"pool":{"full":true,"servers":[)" + listed +
           R"(]}}]},"settings":{"zone":1,"azs":["hub","e-1"],"flavors":["box","parent","origin"],)"
           R"("balancers":1,"classes":[)"
           R"({"name":"video","aim":500,"giveUp":3000,"idempotency":"repeatable"},)"
           R"({"name":"order","aim":700,"giveUp":3000,"idempotency":"once"}],)"
           R"("familyInfo":{"neverKept":[false,true],"streamKbPerS":8800,"parentKind":1,)"
           R"("sourceKind":2},"limits":{"maxAttempts":4,"connectTimeout":400,"connIdle":30000,)"
           R"("streamsPerConn":100,"cancel":true,"probing":true}}})";
  }

  pid_t pid_ = 0;
  std::uint16_t port_ = 0;
  std::string path_;
};

/// A well-behaved client on a thread, beside the others: one request at a time, on a connection
/// that is kept or on a new one each time.
class Bystander {
 public:
  struct Result {
    int requests = 0;
    int served = 0;
    int refused = 0;
    int lost = 0;   ///< no response, or one over kTooLate after its deadline
    Ms latest = 0;  ///< the longest that a response took
  };
  static constexpr int kTimeoutMs = 1000;

  Bystander(std::uint16_t port, bool keeps_connection)
      : port_(port), keeps_connection_(keeps_connection), thread_([this] { Run(); }) {}
  ~Bystander() {
    Stop();
  }
  Result Stop() {
    stopping_ = true;
    if (thread_.joinable())
      thread_.join();
    return result_;
  }

 private:
  void Run() {
    constexpr Ms kInterval = 20;
    // A request that crosses the close of a resting connection within this time is sent again.
    constexpr Ms kCrossingTime = 50;
    std::unique_ptr<RawClient> client;
    while (!stopping_) {
      if (!client || !keeps_connection_)
        client = std::make_unique<RawClient>(port_);
      const bool is_new = client->Received().empty();
      client->Forget();
      const Ms sent_at = Now();
      client->Send(ReadRequest("b", kTimeoutMs));
      const int status = client->AwaitStatus(sent_at + kTimeoutMs + 2 * kTooLate);
      const Ms took = Now() - sent_at;
      if (status == 0 && !is_new && took < kCrossingTime) {
        client.reset();
        continue;
      }
      ++result_.requests;
      result_.served += status == 200;
      result_.refused += status == 503;
      result_.lost += status == 0 || took > kTimeoutMs + kTooLate;
      result_.latest = std::max(result_.latest, took);
      if (status != 200)
        client.reset();
      SleepFor(kInterval);
    }
  }
  std::uint16_t port_;
  bool keeps_connection_;
  std::atomic<bool> stopping_{false};
  Result result_;
  std::thread thread_;
};

}  // namespace dunlinwick::testing
