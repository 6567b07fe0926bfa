// Stand-ins for a small deployment: caches, parents, the origin, the notice board and clients, by the
// operators' protocol pages. Threads and blocking sockets, loopback only, C library and C++ alone.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

using Ms = double;
inline Ms Now() {  // the system's Unix clock, in milliseconds
  return std::chrono::duration<double, std::milli>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline const Ms kBegan = Now();
inline void Sleep(Ms ms) {
  if (ms > 0)
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

// ---- the record of what was sent, answered and run
inline std::mutex record_mutex;
inline FILE* record = nullptr;
inline void Note(const char* format, ...) {
  std::lock_guard<std::mutex> lock(record_mutex);
  FILE* out = record ? record : stdout;
  std::fprintf(out, "%9.1f ", Now() - kBegan);
  va_list args;
  va_start(args, format);
  std::vfprintf(out, format, args);
  va_end(args);
  std::fputc('\n', out);
  std::fflush(out);
}
// Ends the program: 2, the case couldn't run.
[[noreturn]] inline void CannotRun(const std::string& why);

// ---- things to be done later, on one thread
class Later {
 public:
  void At(Ms when, std::function<void()> what) {
    std::lock_guard<std::mutex> lock(mutex_);
    todo_.emplace(when, std::move(what));
    changed_.notify_one();
  }
  void After(Ms ms, std::function<void()> what) {
    At(Now() + ms, std::move(what));
  }
  Later() {
    std::thread([this] {
      std::unique_lock<std::mutex> lock(mutex_);
      for (;;) {
        if (todo_.empty()) {
          changed_.wait(lock);
          continue;
        }
        Ms wait = todo_.begin()->first - Now();
        if (wait > 0) {
          changed_.wait_for(lock, std::chrono::duration<double, std::milli>(wait));
          continue;
        }
        auto what = std::move(todo_.begin()->second);
        todo_.erase(todo_.begin());
        lock.unlock();
        what();
        lock.lock();
      }
    }).detach();
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::multimap<Ms, std::function<void()>> todo_;
};
inline Later& later() {
  static Later* one = new Later;
  return *one;
}

// ---- sockets
inline sockaddr_in Loopback(int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return a;
}
inline int PortOf(int fd) {
  sockaddr_in a{};
  socklen_t n = sizeof a;
  getsockname(fd, reinterpret_cast<sockaddr*>(&a), &n);
  return ntohs(a.sin_port);
}
// A listener on a free port, or on `port`.
inline int Listen(int port = 0) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in a = Loopback(port);
  if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 || listen(fd, 512) != 0)
    CannotRun("cannot listen");
  return fd;
}
inline int Connect(int port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in a = Loopback(port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}
inline bool WriteAll(int fd, const std::string& text) {
  std::size_t done = 0;
  while (done < text.size()) {
    ssize_t n = send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

// One side of a connection that this program serves. Written from several threads.
struct Link {
  int fd;
  std::mutex mutex;
  std::atomic<bool> open{true};
  explicit Link(int f) : fd(f) {
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Link() {
    if (fd >= 0)
      close(fd);
  }
  bool Send(const std::string& text) {
    std::lock_guard<std::mutex> lock(mutex);
    return open && !stuck && WriteAll(fd, text);
  }
  // In two pieces with a pause between them, and nothing else in between.
  bool SendInPieces(const std::string& text, std::size_t first, Ms pause) {
    std::lock_guard<std::mutex> lock(mutex);
    if (!open || !WriteAll(fd, text.substr(0, first)))
      return false;
    Sleep(pause);
    return WriteAll(fd, text.substr(first));
  }
  bool stuck = false;  // nothing more is sent on it, though it stays open
  bool SendLast(const std::string& text) {
    std::lock_guard<std::mutex> lock(mutex);
    bool sent = open && !stuck && WriteAll(fd, text);
    stuck = true;
    return sent;
  }
  void Close() {
    std::lock_guard<std::mutex> lock(mutex);
    if (open.exchange(false))
      shutdown(fd, SHUT_RDWR);
  }
  void Reset() {
    std::lock_guard<std::mutex> lock(mutex);
    if (!open.exchange(false))
      return;
    linger now{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    // Disconnecting a TCP socket resets it at once, though another thread may be reading from it.
    sockaddr none{};
    none.sa_family = AF_UNSPEC;
    connect(fd, &none, sizeof none);
  }
};

// A request as a cache reads it.
struct Want {
  std::string id, fields, body;
  std::string profile, thing, nth, miss, mine, flags;
  Ms max = 0, within = 0;
  int prio = 0;
  Ms at = 0;  // when it had arrived whole
  std::shared_ptr<Link> link;
};
inline std::string FieldOf(const std::string& fields, const std::string& name) {
  std::string all = "," + fields + ",", key = "," + name + "=";
  std::size_t at = all.find(key);
  if (at == std::string::npos)
    return "";
  at += key.size();
  return all.substr(at, all.find(',', at) - at);
}

// A cache, parent or origin: reads requests and passes them to `on_want`. Answers calls and probes at once.
class Server {
 public:
  std::string id;
  int port = 0;
  std::function<void(const Want&)> on_want;
  std::function<void(const std::string& id)> on_never_mind = [](const std::string&) {};
  std::function<bool(const std::string& line)> on_call = [](const std::string&) { return true; };
  std::function<void(std::shared_ptr<Link>)> on_link = [](std::shared_ptr<Link>) {};
  std::string report = "-";

  void Start(int at_port = 0) {
    listener_ = Listen(at_port);
    port = PortOf(listener_);
    std::thread([this, fd = listener_.load()] { Accept(fd); }).detach();
  }
  // The process ends: the port refuses, and open connections are reset.
  void Kill() {
    int fd = listener_.exchange(-1);
    if (fd >= 0) {
      shutdown(fd, SHUT_RDWR);
      close(fd);
    }
    ResetAll();
  }
  void ResetAll() {
    std::vector<std::shared_ptr<Link>> all;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      all.swap(links_);
    }
    for (auto& link : all)
      link->Reset();
  }

 private:
  void Accept(int fd) {
    for (;;) {
      int one = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (one < 0)
        return;
      auto link = std::make_shared<Link>(one);
      {
        std::lock_guard<std::mutex> lock(mutex_);
        std::erase_if(links_, [](auto& l) { return !l->open; });
        links_.push_back(link);
      }
      on_link(link);
      std::thread([this, link] { Serve(link); }).detach();
    }
  }
  void Serve(std::shared_ptr<Link> link) {
    std::string in;
    char chunk[16384];
    for (;;) {
      std::size_t end = in.find('\n');
      if (end != std::string::npos) {
        std::string line = in.substr(0, end);
        if (!line.empty() && line.back() == '\r')
          line.pop_back();
        if (line.rfind("want ", 0) == 0) {
          std::size_t body = std::strtoul(line.c_str() + line.rfind(' '), nullptr, 10);
          if (in.size() >= end + 1 + body + 2) {
            Take(line, in.substr(end + 1, body), link);
            in.erase(0, end + 1 + body + 2);
            continue;
          }
        } else {
          in.erase(0, end + 1);
          if (line.rfind("never_mind ", 0) == 0)
            on_never_mind(line.substr(11));
          else if (line.rfind("there ", 0) == 0 || line.rfind("busy ", 0) == 0) {
            if (on_call(line))
              link->Send(line.substr(line.find(' ') + 1) + " PONG " +
                         (line[0] == 'b' ? report : "-") + " 0\r\n\r\n");
          } else if (!line.empty()) {
            Note("%s UNREADABLE %s", id.c_str(), line.c_str());
          }
          continue;
        }
      }
      ssize_t n = recv(link->fd, chunk, sizeof chunk, 0);
      if (n <= 0)
        break;
      in.append(chunk, static_cast<std::size_t>(n));
    }
    link->Close();
  }
  void Take(const std::string& line, std::string body, std::shared_ptr<Link> link) {
    Want w;
    std::size_t one = line.find(' '), two = line.find(' ', one + 1), three = line.rfind(' ');
    w.id = line.substr(one + 1, two - one - 1);
    w.fields = line.substr(two + 1, three - two - 1);
    w.body = std::move(body);
    w.profile = FieldOf(w.fields, "profile");
    w.thing = FieldOf(w.fields, "thing");
    w.nth = FieldOf(w.fields, "nth");
    w.miss = FieldOf(w.fields, "miss");
    w.mine = FieldOf(w.fields, "mine");
    w.flags = FieldOf(w.fields, "f");
    w.max = std::atof(FieldOf(w.fields, "max").c_str());
    w.within = std::atof(FieldOf(w.fields, "within").c_str());
    w.prio = std::atoi(FieldOf(w.fields, "prio").c_str());
    w.at = Now();
    w.link = std::move(link);
    on_want(w);
  }
  std::atomic<int> listener_{-1};
  std::mutex mutex_;
  std::vector<std::shared_ptr<Link>> links_;
};

inline std::string Answer(const std::string& id, const std::string& word, const std::string& fields,
                          const std::string& body = "") {
  return id + " " + word + " " + (fields.empty() ? "-" : fields) + " " +
         std::to_string(body.size()) + "\r\n" + body + "\r\n";
}

// The notice board: events by number, a line with the last number each second.
class Board {
 public:
  int port = 0;
  std::atomic<bool> mute{false};  // tells nothing, and says nothing to new watches
  void Start(int first_number) {
    last_ = first_number;
    listener_ = Listen();
    port = PortOf(listener_);
    std::thread([this, fd = listener_] {
      for (;;) {
        int one = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (one < 0)
          return;
        std::thread([this, link = std::make_shared<Link>(one)] { Serve(link); }).detach();
      }
    }).detach();
  }
  // Adds an event: `content` is what stands behind its number. Returns when it was told.
  Ms Tell(const std::string& content) {
    std::lock_guard<std::mutex> lock(mutex_);
    ++last_;
    events_[last_] = "{\"rev\":" + std::to_string(last_) + "," + content + "}";
    Note("board tells %s", events_[last_].c_str());
    return Now();
  }
  std::map<int, std::string> Events() {
    std::lock_guard<std::mutex> lock(mutex_);
    return events_;
  }
  void CloseAll() {
    std::lock_guard<std::mutex> lock(mutex_);
    for (auto& link : links_)
      link->Close();
    links_.clear();
  }
  // Accepts no new connection from now on.
  void StopListening() {
    shutdown(listener_, SHUT_RDWR);
    close(listener_);
  }

 private:
  void Serve(std::shared_ptr<Link> link) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      links_.push_back(link);
    }
    std::string in;
    char c;
    while (in.find('\n') == std::string::npos) {
      if (recv(link->fd, &c, 1, 0) != 1)
        return link->Close();
      in += c;
    }
    int have = std::atoi(in.c_str() + 6);
    Note("board asked: watch %d", have);
    Ms said = 0;
    while (link->open) {
      std::string out;
      if (!mute) {
        std::lock_guard<std::mutex> lock(mutex_);
        for (auto it = events_.upper_bound(have); it != events_.end(); ++it) {
          out += it->second + "\n";
          have = it->first;
        }
        if (out.empty() && Now() - said >= 1000)
          out = std::to_string(last_) + "\n";
      }
      if (!out.empty()) {
        said = Now();
        if (!link->Send(out))
          return link->Close();
      }
      Sleep(5);
    }
  }
  int listener_ = -1, last_ = 0;
  std::mutex mutex_;
  std::map<int, std::string> events_;
  std::vector<std::shared_ptr<Link>> links_;
};

inline std::string Entry(const Server& s, const std::string& zone, const std::string& kind,
                         const std::string& state = "in_service", long long started = 0,
                         double weight = 20, int cell = 0) {
  return "{\"id\":\"" + s.id + "\",\"addr\":\"127.0.0.1:" + std::to_string(s.port) +
         "\",\"zone\":\"" + zone + "\",\"kind\":\"" + kind + "\",\"cell\":" + std::to_string(cell) +
         ",\"state\":\"" + state + "\",\"weight\":" + std::to_string(weight) +
         ",\"started_ms\":" + std::to_string(started) + "}";
}

// ---- the front, started as the deploy file says
class Front {
 public:
  pid_t pid = -1;
  int port = 0;
  std::string config_path;
  // `run` is the deploy file's line, `root` the folder it is started from.
  void Start(const std::string& root, const std::string& run, const std::string& config,
             const std::string& folder, const std::string& name = "n1") {
    int held = Listen();  // a free port
    port = PortOf(held);
    close(held);
    config_path = folder + "/" + name + ".json";
    log_path = folder + "/" + name + ".log";
    Write(config);
    pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with this program, however that ends
      signal(SIGPIPE, SIG_DFL);
      if (chdir(root.c_str()) != 0)
        _exit(2);
      int out = open(log_path.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
      dup2(out, 1);
      dup2(out, 2);
      setenv("NODE_NAME", name.c_str(), 1);
      setenv("NODE_CONFIG", config_path.c_str(), 1);
      setenv("NODE_LISTEN", ("127.0.0.1:" + std::to_string(port)).c_str(), 1);
      execl("/bin/sh", "sh", "-c", run.c_str(), static_cast<char*>(nullptr));
      _exit(2);
    }
    for (int i = 0; i < 200; ++i) {
      if (Ended())
        CannotRun("the front ended at its start");
      int fd = Connect(port);
      if (fd >= 0) {
        std::string in;
        char chunk[512];
        WriteAll(fd, "GET /alive HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        ssize_t n;
        while ((n = recv(fd, chunk, sizeof chunk, 0)) > 0)
          in.append(chunk, static_cast<std::size_t>(n));
        close(fd);
        if (in.find(" 200 ") != std::string::npos)
          return;
      }
      Sleep(50);
    }
    CannotRun("the front is not ready");
  }
  void Write(const std::string& config) {
    std::string next = config_path + ".next";
    FILE* f = std::fopen(next.c_str(), "w");
    if (!f)
      CannotRun("cannot write the configuration");
    std::fputs(config.c_str(), f);
    std::fclose(f);
    std::rename(next.c_str(), config_path.c_str());
  }
  void Signal(int signal) {
    if (pid > 0 && !ended_)
      kill(pid, signal);
  }
  bool Ended() {
    if (!ended_ && pid > 0 && waitpid(pid, &status, WNOHANG) == pid)
      ended_ = true;
    return ended_;
  }
  void Stop() {
    if (pid <= 0 || Ended())
      return;
    kill(pid, SIGKILL);
    waitpid(pid, &status, 0);
    ended_ = true;
  }
  int status = 0;
  std::string log_path;

 private:
  bool ended_ = false;
};
inline std::vector<Front*>& fronts() {
  static std::vector<Front*> all;
  return all;
}
[[noreturn]] inline void End(int code) {
  for (Front* f : fronts())
    f->Stop();
  if (record)
    std::fflush(record);
  std::fflush(stdout);
  _exit(code);
}
[[noreturn]] inline void CannotRun(const std::string& why) {
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  Note("cannot run: %s", why.c_str());
  End(2);
}

// ---- a case: case PROGRAM-ROOT RUN-LINE FOLDER RECORD; TROUBLE=0 leaves the disruption out
struct Case {
  std::string root, run, folder;
  bool trouble = true;
  Case(int argc, char** argv) {
    if (argc != 5) {
      std::fprintf(stderr, "usage: %s ROOT RUN FOLDER RECORD\n", argv[0]);
      _exit(2);
    }
    root = argv[1];
    run = argv[2];
    folder = argv[3];
    record = std::fopen(argv[4], "w");
    signal(SIGPIPE, SIG_IGN);
    const char* text = std::getenv("TROUBLE");
    trouble = !text || std::string(text) != "0";
    if (!record)
      CannotRun("cannot write the record");
    Note("TROUBLE=%d", trouble);
  }
};
inline std::string FirstEvent(const std::string& entries) {
  return "{\"rev\":1,\"notices\":[{\"rev\":1,\"pool\":{\"version\":1,\"full\":true,\"servers\":[" +
         entries + "]}}]}";
}

// ---- a client
struct Reply {
  int status = 0;  // 0: none
  bool whole = false, closed = false;
  std::string head, body;
  Ms at = 0;
  std::string Header(const std::string& name) const {
    std::size_t at_name = head.find("\r\n" + name + ": ");
    if (at_name == std::string::npos)
      return "";
    at_name += name.size() + 4;
    return head.substr(at_name, head.find("\r\n", at_name) - at_name);
  }
};
class Client {
 public:
  int fd = -1;
  std::string in;
  ~Client() {
    Leave();
  }
  bool Open(int port) {
    Leave();
    in.clear();
    fd = Connect(port);
    return fd >= 0;
  }
  void Leave() {
    if (fd >= 0)
      close(fd);
    fd = -1;
  }
  bool Send(const std::string& text) {
    return fd >= 0 && WriteAll(fd, text);
  }
  // Reads one answer, until `until`.
  Reply Read(Ms until) {
    Reply r;
    char chunk[16384];
    for (;;) {
      std::size_t end = in.find("\r\n\r\n");
      if (end != std::string::npos && r.status == 0) {
        r.head = in.substr(0, end + 2);
        r.status = std::atoi(r.head.c_str() + 9);
        in.erase(0, end + 4);
      }
      if (r.status != 0) {
        std::size_t length =
            r.status == 304 ? 0 : std::strtoul(r.Header("Content-Length").c_str(), nullptr, 10);
        if (in.size() >= length) {
          r.body = in.substr(0, length);
          in.erase(0, length);
          r.whole = true;
          r.at = Now();
          return r;
        }
      }
      pollfd p{fd, POLLIN, 0};
      Ms left = until - Now();
      if (left <= 0 || fd < 0)
        return r;
      if (poll(&p, 1, static_cast<int>(left) + 1) <= 0)
        continue;
      ssize_t n = recv(fd, chunk, sizeof chunk, 0);
      if (n <= 0) {
        r.closed = true;
        r.at = Now();
        return r;
      }
      in.append(chunk, static_cast<std::size_t>(n));
    }
  }
};
inline std::string NewId() {
  static std::atomic<std::uint64_t> n{1};
  char text[20];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(0x9b1f000000000000ull + n++));
  return text;
}
inline std::string Request(const std::string& method, const std::string& profile,
                           const std::string& object, const std::string& id, int timeout,
                           int group = 1, const std::string& more = "", const std::string& body = "",
                           double kb = 400) {
  std::string text = method + " /ops/" + profile + "/" + object + " HTTP/1.1\r\nHost: service.internal\r\n";
  text += "X-Request-Id: " + id + "\r\nX-Timeout-Ms: " + std::to_string(timeout) +
          "\r\nX-Group: " + std::to_string(group) + "\r\nX-Memory-Kb: " + std::to_string(kb) + "\r\n" + more;
  if (method == "PUT")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

}  // namespace rig
