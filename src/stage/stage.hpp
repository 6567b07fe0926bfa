// The staged ground: a virtual clock and an in-memory network in place of poll(2) and the kernel.
// Processes are loops on it; they run one after another, in the order of virtual time, and all that
// happens follows from one seed. Time passes only between events: a process's work takes none,
// unless it is told to stand still.
//
// What a stream promises here is what TCP promises: bytes whole and in order, or an end. What it
// does not promise differs from run to run by the seed: how the bytes are cut up, and when they
// come.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "log/log.hpp"
#include "loop/loop.hpp"

namespace dunlinwick::stage {

using loop::Address;
using loop::Ms;

// A process that never comes to rest, or a use of the ground that no kernel would bear.
struct StageFault : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One way from site to site.
struct Way {
  Ms latency = 0.2;
  double jitter = 0.2;   // latency times one plus up to this much
  double kb_per_ms = 0;  // 0: no limit worth counting; each stream has it for itself
  double lost = 0;       // share of what is sent; a stream sends it again after 200 ms
  double doubled = 0;    // share of datagrams that come twice
  double shuffled = 0;   // share of datagrams that come up to 20 latencies late
  bool cut = false;      // nothing passes; streams wait
};

Address AddressOf(std::uint32_t host, std::uint16_t port);
std::string Text(const Address& at);  // 10.0.0.1:5050

class Net;
struct Stream;

// One process: its descriptors, its loop, and whatever runs on it.
class Process final : public loop::Environment {
 public:
  Process(Net& net, std::uint32_t host, std::string name, std::size_t descriptors);
  ~Process();
  const std::string& Name() const {
    return name_;
  }
  std::uint32_t host() const {
    return host_;
  }
  loop::Loop& loop() {
    return *loop_;
  }
  log::Log& log() {
    return log_;
  }
  bool alive() const {
    return alive_;
  }
  std::size_t OpenDescriptors() const;
  // Does something on the process's behalf, from outside its own turns, and lets it go on.
  void Act(const std::function<void()>& what);
  /// Puts `environment`, which wraps this process, between the process and its loop. Call it before
  /// anything is on the loop; `environment` must outlive the process. For tests in which system
  /// calls fail.
  void UseEnvironment(loop::Environment& environment) {
    loop_ = std::make_unique<loop::Loop>(environment);
  }
  // Between a process and its network: what it sends goes through here. For tests that break a
  // front.
  std::function<std::string(std::string bytes)> tamper;
  void StandStill(Ms until);  // it runs nothing before then; what comes waits

  Ms now() override;
  int Wait(std::span<pollfd> watched, int ms) override;
  int OpenStream() override;
  int Connect(int fd, const Address& to) override;
  int SocketError(int fd) override;
  int Listen(const Address& at) override;
  int Accept(int fd) override;
  ssize_t Receive(int fd, std::span<char> into) override;
  Ms SinceLastArrival(int fd) override;
  ssize_t Send(int fd, std::span<const iovec> parts) override;
  void ShutdownWrite(int fd) override;
  void Close(int fd) override;
  void Abort(int fd) override;
  int OpenDatagrams(const Address& at) override;
  ssize_t SendTo(int fd, std::span<const char> bytes, const Address& to) override;
  ssize_t ReceiveFrom(int fd, std::span<char> into, Address& from) override;
  std::size_t DescriptorLimit() override {
    return descriptors_;
  }
  Address peer(int fd);  // the other side's host

 private:
  friend class Net;
  enum class Kind {
    kNone,
    kStream,
    kListener,
    kDatagrams
  };
  struct Datagram {
    Address from;
    std::string bytes;
  };
  struct Slot {
    Kind kind = Kind::kNone;
    Stream* stream = nullptr;
    int side = 0;
    std::uint16_t port = 0;
    std::deque<std::pair<Stream*, int>> backlog;  // emptied by accept() and close()
    std::deque<Datagram> datagrams;               // at most `mostDatagrams`
  };
  Slot* slot(int fd, Kind kind);
  int Take(Kind kind);
  short Readiness(const Slot& slot) const;
  void Run();
  void Wake();  // it runs at the present time, after what is due before it
  void Die(bool tell);

  Net& net_;
  std::uint32_t host_;
  std::string name_;
  std::size_t descriptors_;
  std::vector<Slot> slots_;
  bool alive_ = true;
  bool running_ = false;
  bool quiet_ = false;
  int client_request_ = 0;  // of the last wait
  Ms due_ = -1;
  Ms still_ = 0;
  std::uint64_t due_seq_ = 0;
  log::Log log_;
  std::unique_ptr<loop::Loop> loop_;
};

class Net {
 public:
  // `start`: Unix milliseconds.
  explicit Net(std::uint64_t seed, Ms start = 1.7e12);
  ~Net();
  Ms now() const {
    return now_;
  }
  // Runs what is due up to then. Events at one time run in the order in which they were asked for.
  void RunUntil(Ms time);
  void at(Ms when, std::function<void()> what);

  // ---- the map
  void place(std::uint32_t host, int site);
  void Join(int from, int to, const Way& way);  // one direction
  Way& way(int from, int to);
  void SetCut(std::uint32_t host, bool in,
              bool out);                     // the host alone: nothing comes to it, or from it
  void SetLag(std::uint32_t host, Ms late);  // all that comes and goes there takes longer
  void SetApart(std::uint32_t from, std::uint32_t to,
                bool apart);  // datagrams from one host to another are lost
  void SetChoppy(double share) {
    choppy_ = share;
  }  // of reads and writes that take a part only
  int SiteOf(std::uint32_t host);

  // ---- processes. The reference holds for the net's life; a process that was ended is a shell.
  Process& Start(std::uint32_t host, std::string name, std::size_t descriptors = 1 << 16);
  // Killed: its connections are reset. Vanished: nothing is said; the host answers nothing until a
  // new process starts there, which resets what it does not know.
  void Kill(Process& process);
  void Vanish(Process& process);

  void OnLog(std::function<void(const Process&, std::string_view)> to) {
    log_to_ = std::move(to);
  }
  std::uint64_t Digest() const;  // of all that arrived anywhere so far, with its time
  std::uint64_t Events() const {
    return ran_;
  }
  std::size_t Pending() const {
    return queue_.size();
  }

 private:
  friend class Process;
  enum class What {
    kCall,
    kRun,
    kBytes,
    kFin,
    kReset,
    kSyn,
    kUp,
    kRefused,
    kRoom,
    kDatagram
  };
  struct Event {
    Ms at = 0;
    std::uint64_t seq = 0;
    What what = What::kCall;
    Stream* stream = nullptr;
    int side = 0;  // at whose end it happens
    std::size_t n = 0;
    Process* process = nullptr;
    std::size_t index = 0;  // of a call or datagram
  };
  struct Host {
    int site = 0;
    bool cut_in = false;
    bool cut_out = false;
    bool silent = false;
    Ms late = 0;
    std::map<std::uint16_t, std::pair<Process*, int>> listeners, receivers;  // emptied by close()
  };
  struct Parcel {
    Address from{};
    Address to{};
    std::string bytes;
  };
  static bool Later(const Event& a, const Event& b);
  void Push(Event event);
  void Handle(const Event& event);
  void note(const Event& event, const char* bytes, std::size_t n);
  Ms Travel(std::uint32_t from, std::uint32_t to, std::size_t n);
  bool Blocked(std::uint32_t from, std::uint32_t to);
  void Post(What what, Stream* stream, int side, std::size_t n = 0);
  void Release(Stream* stream);
  double Chance();
  std::size_t part(std::size_t n);

  Ms now_;
  std::uint64_t seq_ = 0;
  std::uint64_t ran_ = 0;
  std::minstd_rand random_engine_;
  double choppy_ = 0;
  std::vector<Event> queue_;  // a heap
  std::vector<std::function<void()>> calls_;
  std::vector<Parcel> parcels_;
  std::vector<std::size_t> free_calls_;
  std::vector<std::size_t> free_parcels_;
  std::map<std::uint32_t, Host> hosts_;
  std::map<std::pair<int, int>, Way> ways_;
  std::set<std::pair<std::uint32_t, std::uint32_t>> apart_;
  std::vector<std::vector<Way*>> way_at_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::function<void(const Process&, std::string_view)> log_to_;
  struct Hash;
  std::unique_ptr<Hash> hash_;
};

}  // namespace dunlinwick::stage
