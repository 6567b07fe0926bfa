// Stand-ins for the review's cases: clients, servers (caches, parents, the origin), the notice
// board and the platform that starts a front. They follow the protocol pages and use loopback only.
// One process holds them all; the front runs as a process of its own, started by the deploy file's
// `run`.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using Ms = double;

inline Ms Now() {  // the system's Unix clock
  return std::chrono::duration<double, std::milli>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void SleepMs(Ms ms) {
  if (ms > 0)
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void SleepUntil(Ms at) {
  SleepMs(at - Now());
}

/// record.txt: what was sent, answered and run, with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), began_(Now()) {
    if (!file_) {
      std::perror(path.c_str());
      std::exit(2);
    }
  }
  ~Record() {
    std::fclose(file_);
  }
  Ms began() const {
    return began_;
  }
  void Write(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char line[2000];
    va_list args;
    va_start(args, format);
    std::vsnprintf(line, sizeof line, format, args);
    va_end(args);
    std::lock_guard lock(mutex_);
    std::fprintf(file_, "%10.1f %s\n", Now() - began_, line);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
  Ms began_;
};

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}
inline int ListenOn(int port, int& actual, int backlog = 1024) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Loopback(port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, backlog) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  actual = ntohs(address.sin_port);
  return fd;
}
inline int FreePort() {
  int port = 0;
  ::close(ListenOn(0, port));
  return port;
}
inline bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR)
      continue;
    if (n <= 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}
inline void NoDelay(int fd) {
  int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}
inline void ResetClose(int fd) {  // the connection ends with a reset
  linger reset{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  ::close(fd);
}

/// Runs closures at their time, one after another, on a thread of its own.
class Scheduler {
 public:
  Scheduler() : thread_([this] { Run(); }) {}
  ~Scheduler() {
    {
      std::lock_guard lock(mutex_);
      stop_ = true;
    }
    changed_.notify_all();
    thread_.join();
  }
  void At(Ms when, std::function<void()> what) {
    {
      std::lock_guard lock(mutex_);
      due_.emplace(when, std::move(what));
    }
    changed_.notify_all();
  }

 private:
  void Run() {
    std::unique_lock lock(mutex_);
    while (!stop_) {
      if (due_.empty()) {
        changed_.wait(lock);
        continue;
      }
      Ms wait = due_.begin()->first - Now();
      if (wait > 0) {
        changed_.wait_for(lock, std::chrono::duration<double, std::milli>(wait));
        continue;
      }
      auto what = std::move(due_.begin()->second);
      due_.erase(due_.begin());
      lock.unlock();
      what();
      lock.lock();
    }
  }
  std::mutex mutex_;
  std::condition_variable changed_;
  std::multimap<Ms, std::function<void()>> due_;
  bool stop_ = false;
  std::thread thread_;
};

/// A request as a server reads it.
struct Want {
  std::string id;
  std::map<std::string, std::string> fields;
  std::string body;
  Ms at = 0;
  std::string Field(const std::string& name) const {
    auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
  }
  Ms Number(const std::string& name) const {
    auto text = Field(name);
    return text.empty() ? 0 : std::atof(text.c_str());
  }
};

class Server;
/// One connection of a front to a server.
class Link {
 public:
  explicit Link(int fd) : fd(fd) {}
  bool Send(const std::string& bytes) {
    std::lock_guard lock(mutex);
    return open && SendAll(fd, bytes);
  }
  void Answer(const std::string& id, const std::string& word, const std::string& fields,
              const std::string& body) {
    Send(id + " " + word + " " + fields + " " + std::to_string(body.size()) + "\r\n" + body +
         "\r\n");
  }
  void Reset() {
    std::lock_guard lock(mutex);
    if (!open)
      return;
    linger reset{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    reset_wanted = true;
    ::shutdown(fd, SHUT_RD);
  }
  bool GaveUp(const std::string& id) {
    std::lock_guard lock(mutex);
    return !open || given_up.count(id) > 0;
  }
  int fd;
  std::mutex mutex;
  bool open = true;
  bool reset_wanted = false;
  std::set<std::string> given_up;  // by never_mind
};
using LinkPtr = std::shared_ptr<Link>;

/// A cache, a parent or the origin: reads requests and hands each to `on_want`. Probes are answered
/// at once. While it hangs it reads nothing, as a process that is stuck.
class Server {
 public:
  std::function<void(Server&, LinkPtr, const Want&)> on_want;
  std::function<void(const Want&)> on_never_mind;
  std::atomic<bool> hangs{false};
  std::string report = "load_share:0.2;concurrent:1";

  Server(std::string id, Record& record) : id_(std::move(id)), record_(record) {
    listener_ = ListenOn(0, port_);
    thread_ = std::thread([this] { Accept(); });
  }
  ~Server() {
    Stop();
  }
  void Stop() {
    if (stop_.exchange(true))
      return;
    ::shutdown(listener_, SHUT_RDWR);
    thread_.join();
    ::close(listener_);
    {
      std::lock_guard lock(mutex_);
      for (auto& link : links_) {
        std::lock_guard link_lock(link->mutex);
        if (link->open)
          ::shutdown(link->fd, SHUT_RDWR);
      }
    }
    for (auto& thread : threads_)
      thread.join();
  }
  const std::string& id() const {
    return id_;
  }
  int port() const {
    return port_;
  }
  std::string Address() const {
    return "127.0.0.1:" + std::to_string(port_);
  }
  std::atomic<int> connections{0};

 private:
  void Accept() {
    while (!stop_) {
      pollfd wait{listener_, POLLIN, 0};
      ::poll(&wait, 1, 50);
      if (stop_ || hangs || !(wait.revents & POLLIN)) {
        if (hangs)
          SleepMs(5);
        continue;
      }
      int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      NoDelay(fd);
      ++connections;
      auto link = std::make_shared<Link>(fd);
      std::lock_guard lock(mutex_);
      links_.push_back(link);
      threads_.emplace_back([this, link] { Serve(link); });
    }
  }
  void Serve(LinkPtr link) {
    std::string in;
    char chunk[1 << 14];
    while (!stop_) {
      while (hangs && !stop_)
        SleepMs(2);
      pollfd wait{link->fd, POLLIN, 0};
      if (::poll(&wait, 1, 50) <= 0 || hangs)
        continue;
      ssize_t n = ::recv(link->fd, chunk, sizeof chunk, 0);
      if (n <= 0)
        break;
      in.append(chunk, static_cast<std::size_t>(n));
      while (ReadOne(link, in)) {
      }
    }
    std::lock_guard lock(link->mutex);
    link->open = false;
    ::close(link->fd);
  }
  bool ReadOne(const LinkPtr& link, std::string& in) {
    std::size_t end = in.find("\r\n");
    if (end == in.npos)
      return false;
    std::istringstream words(in.substr(0, end));
    std::string command, id, fields;
    std::size_t length = 0;
    words >> command >> id;
    if (command == "want") {
      words >> fields >> length;
      if (in.size() < end + 2 + length + 2)
        return false;
    }
    Want want{id, {}, command == "want" ? in.substr(end + 2, length) : "", Now()};
    in.erase(0, end + 2 + (command == "want" ? length + 2 : 0));
    if (command == "there" || command == "busy") {
      link->Answer(id, "PONG", command == "busy" ? "report=" + report : "-", "");
    } else if (command == "never_mind") {
      {
        std::lock_guard lock(link->mutex);
        link->given_up.insert(id);
      }
      record_.Write("%s reads never_mind %s", id_.c_str(), id.c_str());
      if (on_never_mind)
        on_never_mind(want);
    } else if (command == "want") {
      std::istringstream list(fields);
      for (std::string pair; std::getline(list, pair, ',');)
        if (std::size_t at = pair.find('='); at != pair.npos)
          want.fields[pair.substr(0, at)] = pair.substr(at + 1);
      record_.Write("%s reads want %s %s", id_.c_str(), id.c_str(), fields.c_str());
      on_want(*this, link, want);
    } else {
      record_.Write("%s reads what it does not know: %s", id_.c_str(), command.c_str());
    }
    return true;
  }
  std::string id_;
  Record& record_;
  int listener_ = -1, port_ = 0;
  std::atomic<bool> stop_{false};
  std::mutex mutex_;
  std::vector<LinkPtr> links_;
  std::vector<std::thread> threads_;
  std::thread thread_;
};

/// The notice board.
class Board {
 public:
  explicit Board(Record& record, const char* name = "board") : record_(record), name_(name) {
    listener_ = ListenOn(0, port_);
    thread_ = std::thread([this] { Accept(); });
  }
  ~Board() {
    stop_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    thread_.join();
    ::close(listener_);
    for (auto& thread : threads_)
      thread.join();
  }
  int port() const {
    return port_;
  }
  std::string Address() const {
    return "127.0.0.1:" + std::to_string(port_);
  }
  /// `body`: the event without its number, such as "pool":{...}. Returns the number.
  long Add(const std::string& body) {
    std::lock_guard lock(mutex_);
    long rev = base + static_cast<long>(events_.size()) + 1;
    events_.push_back("{\"rev\":" + std::to_string(rev) + "," + body + "}");
    record_.Write("%s has event %s", name_.c_str(), events_.back().c_str());
    return rev;
  }
  long Last() {
    std::lock_guard lock(mutex_);
    return base + static_cast<long>(events_.size());
  }
  long base = 0;  // numbers of events that are elsewhere (known, another board)
  std::atomic<int> answer_after_ms{0};  // from a `watch` line until what it asks for is written
  std::atomic<bool> silent{false};      // open watches say nothing more

 private:
  void Accept() {
    while (!stop_) {
      pollfd wait{listener_, POLLIN, 0};
      ::poll(&wait, 1, 50);
      if (stop_ || !(wait.revents & POLLIN))
        continue;
      int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      NoDelay(fd);
      std::lock_guard lock(mutex_);
      threads_.emplace_back([this, fd] { Serve(fd); });
    }
  }
  void Serve(int fd) {
    std::string in;
    long next = -1;
    Ms beat_at = 0, from = 0;
    char chunk[512];
    while (!stop_) {
      pollfd wait{fd, POLLIN, 0};
      if (::poll(&wait, 1, 10) > 0) {
        ssize_t n = ::recv(fd, chunk, sizeof chunk, 0);
        if (n <= 0)
          break;
        in.append(chunk, static_cast<std::size_t>(n));
        if (std::size_t end = in.find('\n'); next < 0 && end != in.npos) {
          next = std::atol(in.c_str() + 6) + 1;
          from = Now() + answer_after_ms;
          beat_at = from;
          record_.Write("%s reads %s", name_.c_str(), in.substr(0, end).c_str());
        }
      }
      if (next < 0 || silent || Now() < from)
        continue;
      std::string out;
      {
        std::lock_guard lock(mutex_);
        long last = base + static_cast<long>(events_.size());
        for (; next <= last; ++next)
          if (next > base)
            out += events_[static_cast<std::size_t>(next - base - 1)] + "\n";
        if (Now() >= beat_at) {
          out += std::to_string(last) + "\n";
          beat_at += 1000;
        }
      }
      if (!out.empty()) {
        if (!SendAll(fd, out))
          break;
        record_.Write("%s writes up to %ld", name_.c_str(), next - 1);
      }
    }
    ::close(fd);
  }
  Record& record_;
  std::string name_;
  int listener_ = -1, port_ = 0;
  std::atomic<bool> stop_{false};
  std::mutex mutex_;
  std::vector<std::string> events_;
  std::vector<std::thread> threads_;
  std::thread thread_;
};

/// An answer as a client reads it.
struct Answer {
  int status = 0;  // 0: none
  std::string etag, body;
  Ms at = 0;            // when its last byte was read, or when the client stopped waiting
  bool closed = false;  // the connection ended before a whole answer
  bool close_said = false;
};

/// A client's connection: one request at a time.
class Client {
 public:
  explicit Client(int port) : port_(port) {}
  ~Client() {
    Close();
  }
  bool Open() {
    Close();
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    NoDelay(fd_);
    sockaddr_in address = Loopback(port_);
    if (::connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
      return true;
    Close();
    return false;
  }
  bool IsOpen() const {
    return fd_ >= 0;
  }
  int fd() const {
    return fd_;
  }
  void Close() {
    if (fd_ >= 0)
      ::close(fd_);
    fd_ = -1;
    in_.clear();
  }
  void Reset() {
    if (fd_ >= 0)
      ResetClose(fd_);
    fd_ = -1;
    in_.clear();
  }
  bool Send(const std::string& bytes) {
    return fd_ >= 0 && SendAll(fd_, bytes);
  }
  /// Waits for one whole answer until `until`.
  Answer Read(Ms until) {
    Answer answer;
    char chunk[1 << 14];
    for (;;) {
      if (Parse(answer)) {
        answer.at = Now();
        return answer;
      }
      Ms left = until - Now();
      pollfd wait{fd_, POLLIN, 0};
      if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left) + 1) <= 0) {
        if (Now() < until)
          continue;
        answer.at = Now();
        return answer;
      }
      ssize_t n = ::recv(fd_, chunk, sizeof chunk, 0);
      if (n <= 0) {
        answer.closed = true;
        answer.at = Now();
        return answer;
      }
      in_.append(chunk, static_cast<std::size_t>(n));
    }
  }

 private:
  bool Parse(Answer& answer) {
    std::size_t end = in_.find("\r\n\r\n");
    if (end == in_.npos)
      return false;
    std::size_t length = 0;
    std::istringstream head(in_.substr(0, end + 2));
    std::string line;
    std::getline(head, line);
    int status = std::atoi(line.c_str() + 9);
    std::string etag;
    bool close_said = false;
    while (std::getline(head, line)) {
      if (line.rfind("Content-Length: ", 0) == 0)
        length = static_cast<std::size_t>(std::atol(line.c_str() + 16));
      if (line.rfind("ETag: ", 0) == 0)
        etag = line.substr(6, line.size() - 7);
      if (line.rfind("Connection: close", 0) == 0)
        close_said = true;
    }
    if (in_.size() < end + 4 + length)
      return false;
    answer.status = status;
    answer.etag = etag;
    answer.close_said = close_said;
    answer.body = in_.substr(end + 4, length);
    in_.erase(0, end + 4 + length);
    return true;
  }
  int port_, fd_ = -1;
  std::string in_;
};

inline std::string NewId() {
  static std::mutex mutex;
  static std::mt19937_64 engine(std::random_device{}());
  std::lock_guard lock(mutex);
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(engine()));
  return text;
}
inline std::string Get(const std::string& id, const std::string& request_class,
                       const std::string& object, int part, int timeout_ms, int group,
                       double size_kb, const std::string& more = "") {
  char text[600];
  std::snprintf(text, sizeof text,
                "GET /ops/%s/%s?part=%d HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: %s\r\n"
                "X-Timeout-Ms: %d\r\nX-Group: %d\r\nX-Memory-Kb: %.1f\r\n%s\r\n",
                request_class.c_str(), object.c_str(), part, id.c_str(), timeout_ms, group, size_kb,
                more.c_str());
  return text;
}
inline std::string Put(const std::string& id, const std::string& request_class,
                       const std::string& object, int timeout_ms, int group,
                       const std::string& body) {
  char text[600];
  std::snprintf(
      text, sizeof text,
      "PUT /ops/%s/%s HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: %s\r\n"
      "X-Timeout-Ms: %d\r\nX-Group: %d\r\nX-Memory-Kb: 1.0\r\nContent-Length: %zu\r\n\r\n",
      request_class.c_str(), object.c_str(), id.c_str(), timeout_ms, group, body.size());
  return text + body;
}

/// One entry of the notice board's list.
inline std::string Entry(const std::string& id, const std::string& address, const std::string& zone,
                         const std::string& kind, int cell, const std::string& state, double weight,
                         long long started_ms = 0) {
  char text[400];
  std::snprintf(text, sizeof text,
                "{\"id\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\",\"kind\":\"%s\",\"cell\":%d,"
                "\"state\":\"%s\",\"weight\":%g,\"started_ms\":%lld}",
                id.c_str(), address.c_str(), zone.c_str(), kind.c_str(), cell, state.c_str(),
                weight, started_ms);
  return text;
}
inline std::string Pool(int version, bool full, const std::vector<std::string>& entries) {
  std::string out = "\"pool\":{\"version\":" + std::to_string(version) +
                    ",\"full\":" + (full ? "true" : "false") + ",\"servers\":[";
  for (std::size_t i = 0; i < entries.size(); ++i)
    out += (i ? "," : "") + entries[i];
  return out + "]}";
}

/// The platform: writes the configuration and starts the front by `run` of the deploy file.
class Front {
 public:
  Front(Record& record, std::string root, std::string folder, std::string name)
      : record_(record),
        root_(std::move(root)),
        folder_(std::move(folder)),
        name_(std::move(name)),
        port_(FreePort()) {}
  ~Front() {
    Kill();
  }
  int port() const {
    return port_;
  }
  pid_t pid() const {
    return pid_;
  }
  std::string ConfigPath() const {
    return folder_ + "/" + name_ + ".json";
  }
  void WriteConfig(const std::string& board, int memory_mb, int sockets, long rev,
                   const std::vector<std::string>& notices, const std::string& settings) {
    std::string text =
        "{\"name\":\"" + name_ + "\",\"listen\":\"127.0.0.1:" + std::to_string(port_) +
        "\",\"seed\":\"" + NewId() +
        "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + std::to_string(memory_mb) +
        ",\"sockets\":" + std::to_string(sockets) + "},\"board\":\"" + board +
        "\",\"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,\"known\":{\"rev\":" +
        std::to_string(rev) + ",\"notices\":[";
    for (std::size_t i = 0; i < notices.size(); ++i)
      text += (i ? "," : "") + notices[i];
    text += "]},\"settings\":" + settings + "}";
    std::ofstream(ConfigPath() + ".new") << text;
    std::rename((ConfigPath() + ".new").c_str(), ConfigPath().c_str());
  }
  /// Starts it and waits for GET /alive. False if it is not ready within 30 s.
  bool Start() {
    std::string run = RunLine();
    if (run.empty())
      return false;
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it never outlives the case
      ::setenv("NODE_NAME", name_.c_str(), 1);
      ::setenv("NODE_LISTEN", ("127.0.0.1:" + std::to_string(port_)).c_str(), 1);
      ::setenv("NODE_CONFIG", ConfigPath().c_str(), 1);
      ::setenv("TMPDIR", folder_.c_str(), 1);
      int log =
          ::open((folder_ + "/" + name_ + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      if (::chdir(root_.c_str()) != 0)
        ::_exit(127);
      ::execl("/bin/sh", "sh", "-c", run.c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
    record_.Write("front %s starts: %s", name_.c_str(), run.c_str());
    for (Ms until = Now() + 30000; Now() < until; SleepMs(20)) {
      if (Ended())
        return false;
      Client client(port_);
      if (!client.Open())
        continue;
      client.Send("GET /alive HTTP/1.1\r\nHost: service.internal\r\n\r\n");
      if (client.Read(Now() + 1000).status == 200) {
        record_.Write("front %s is ready", name_.c_str());
        return true;
      }
    }
    return false;
  }
  void Signal(int signal) {
    if (pid_ > 0) {
      record_.Write("front %s gets signal %d", name_.c_str(), signal);
      ::kill(pid_, signal);
    }
  }
  bool Ended() {
    if (pid_ <= 0)
      return true;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_)
      return false;
    record_.Write("front %s ended, wait status %d", name_.c_str(), status);
    wait_status = status;
    pid_ = -1;
    return true;
  }
  void Kill() {
    if (pid_ <= 0)
      return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  /// Ends it by SIGTERM, which prints its counters into its log, or by SIGKILL after `within`.
  bool Term(Ms within) {
    Signal(SIGTERM);
    for (Ms until = Now() + within; Now() < until; SleepMs(10))
      if (Ended())
        return true;
    Kill();
    return false;
  }
  double MemoryMb() const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);)
      if (line.rfind("VmRSS:", 0) == 0)
        return std::atof(line.c_str() + 6) / 1024;
    return 0;
  }
  int wait_status = 0;

 private:
  std::string RunLine() const {
    std::ifstream deploy(root_ + "/deploy/balancer.toml");
    for (std::string line; std::getline(deploy, line);)
      if (line.rfind("run = \"", 0) == 0)
        return line.substr(7, line.find('"', 7) - 7);
    return "";
  }
  Record& record_;
  std::string root_, folder_, name_;
  int port_;
  pid_t pid_ = -1;
};

struct Place {
  std::string root;    // of the repository
  std::string folder;  // of the case
  std::string temporary;
  bool trouble = true;
};
/// From the environment that run.sh sets.
inline Place ReadPlace() {
  auto get = [](const char* name) {
    const char* value = std::getenv(name);
    return std::string(value ? value : "");
  };
  ::signal(SIGPIPE, SIG_IGN);
  Place place{get("ROOT"), get("CASE"), get("TMPDIR"), get("TROUBLE") != "0"};
  if (place.root.empty() || place.folder.empty() || place.temporary.empty()) {
    std::fprintf(stderr, "ROOT, CASE and TMPDIR are to be set: start run.sh\n");
    std::exit(2);
  }
  return place;
}

}  // namespace rig
