// A simulated platform for event loops: a virtual clock and an in-memory network in place of
// poll(2) and the kernel. Each process is a loop on it. Processes run one after another, in the
// order of virtual time, and one seed determines the whole run. Time passes only between events: a
// process's work takes no time, unless the process is paused.
//
// A simulated stream keeps the guarantees of TCP: bytes arrive complete and in order, or the stream
// ends. What TCP leaves open varies with the seed: how the bytes are divided among reads, and when
// they arrive.
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

// Thrown when a process never becomes idle.
struct SimulationError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One direction of the connection between two sites.
struct Link {
  Ms latency = 0.2;
  double jitter = 0.2;         // the latency is multiplied by 1 + [0, jitter)
  double kb_per_ms = 0;        // 0: unlimited; not shared, each stream has all of it
  double loss_share = 0;       // of what is sent; a stream retransmits after 200 ms
  double duplicate_share = 0;  // of the datagrams: delivered twice
  double reorder_share = 0;    // of the datagrams: up to 20 latencies late
  bool blocked = false;        // nothing passes; streams wait and retransmit
};

Address MakeAddress(std::uint32_t host, std::uint16_t port);
std::string FormatAddress(const Address& address);  // 10.0.0.1:5050

class Network;
struct Stream;

// A simulated process: its descriptors, its loop, and what runs on the loop.
class Process final : public loop::Environment {
 public:
  Process(Network& network, std::uint32_t host, std::string name, std::size_t descriptors);
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
  // Runs `task` as this process, from outside its loop turns, then wakes the loop.
  void Execute(const std::function<void()>& task);
  /// Puts `environment`, which wraps this process, between the process and its loop. Call it before
  /// anything uses the loop; `environment` must outlive the process. For tests in which system
  /// calls fail.
  void UseEnvironment(loop::Environment& environment) {
    loop_ = std::make_unique<loop::Loop>(environment);
  }
  // If set, replaces the bytes of each write to a stream before they reach the network. For tests
  // in which a front sends faulty data.
  std::function<std::string(std::string bytes)> outgoing_filter;
  // Runs nothing before `until`; what arrives waits.
  void PauseUntil(Ms until);

  Ms now() override;
  int Wait(std::span<pollfd> watched, int ms) override;
  int OpenStream() override;
  int Connect(int fd, const Address& to) override;
  int SocketError(int fd) override;
  int Listen(const Address& address) override;
  int Accept(int fd) override;
  ssize_t Receive(int fd, std::span<char> buffer) override;
  Ms SinceLastArrival(int fd) override;
  ssize_t Send(int fd, std::span<const iovec> parts) override;
  void ShutdownWrite(int fd) override;
  void Close(int fd) override;
  void Abort(int fd) override;
  int OpenDatagrams(const Address& address) override;
  ssize_t SendTo(int fd, std::span<const char> bytes, const Address& to) override;
  ssize_t ReceiveFrom(int fd, std::span<char> buffer, Address& from) override;
  std::size_t DescriptorLimit() override {
    return descriptors_;
  }
  Address peer(int fd);  // the host at the other end of a stream, with port 0

 private:
  friend class Network;
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
    std::deque<std::pair<Stream*, int>> backlog;  // emptied by Accept() and Close()
    std::deque<Datagram> datagrams;               // at most kMaxDatagrams
  };
  Slot* FindSlot(int fd, Kind kind);
  int AllocateDescriptor(Kind kind);
  short ReadyEvents(const Slot& slot) const;
  void Run();
  void Wake();  // schedules a run at the present time, after the events already due
  void Terminate(bool reset_connections);

  Network& network_;
  std::uint32_t host_;
  std::string name_;
  std::size_t descriptors_;
  std::vector<Slot> slots_;
  bool alive_ = true;
  bool running_ = false;
  bool idle_ = false;
  int requested_timeout_ = 0;  // of the last Wait()
  Ms next_run_ = -1;
  Ms paused_until_ = 0;
  std::uint64_t next_run_sequence_ = 0;
  log::Log log_;
  std::unique_ptr<loop::Loop> loop_;
};

class Network {
 public:
  // `start_time`: Unix milliseconds.
  explicit Network(std::uint64_t seed, Ms start_time = 1.7e12);
  ~Network();
  Ms now() const {
    return now_;
  }
  // Handles the events that are due up to `time`. Events due at the same time are handled in the
  // order in which they were scheduled.
  void RunUntil(Ms time);
  void ScheduleCall(Ms time, std::function<void()> task);

  // ---- topology and network faults
  void SetSite(std::uint32_t host, int site);
  void SetLink(int from, int to, const Link& link);  // one direction only
  Link& LinkBetween(int from, int to);
  // Blocks all that is sent to this host, or all that it sends.
  void SetHostBlocked(std::uint32_t host, bool inbound, bool outbound);
  // Delays all that the host sends and receives by this much more.
  void SetHostDelay(std::uint32_t host, Ms extra_delay);
  // While blocked, datagrams from one host to the other are lost.
  void SetDatagramsBlocked(std::uint32_t from, std::uint32_t to, bool blocked);
  // The share of the reads and writes that transfer only a part.
  void SetPartialIoShare(double share) {
    partial_io_share_ = share;
  }
  int SiteOf(std::uint32_t host);

  // ---- processes. The reference stays valid as long as the network; a process that was killed
  // does nothing any more.
  Process& Start(std::uint32_t host, std::string name, std::size_t descriptors = 1 << 16);
  // Kill() resets the process's connections. KillSilently() sends nothing: the host does not answer
  // until a new process starts there, which resets the connections that it does not know.
  void Kill(Process& process);
  void KillSilently(Process& process);

  void SetLogHandler(std::function<void(const Process&, std::string_view)> handler) {
    log_handler_ = std::move(handler);
  }
  std::uint64_t Digest() const;  // of everything delivered so far, with its time
  std::uint64_t EventCount() const {
    return handled_events_;
  }
  std::size_t PendingEventCount() const {
    return queue_.size();
  }

 private:
  friend class Process;
  enum class EventKind {
    kCall,
    kRunProcess,
    kData,
    kFin,
    kReset,
    kSyn,
    kConnected,
    kRefused,
    kWindowUpdate,
    kDatagram
  };
  struct Event {
    Ms time = 0;
    std::uint64_t sequence = 0;
    EventKind kind = EventKind::kCall;
    Stream* stream = nullptr;
    int side = 0;  // the end of the stream at which it happens
    std::size_t size = 0;
    Process* process = nullptr;
    std::size_t index = 0;  // into `calls_` or `datagrams_in_transit_`
  };
  struct Host {
    int site = 0;
    bool inbound_blocked = false;
    bool outbound_blocked = false;
    bool silent = false;
    Ms extra_delay = 0;
    std::map<std::uint16_t, std::pair<Process*, int>> listeners, receivers;  // emptied by Close()
  };
  struct DatagramInTransit {
    Address from{};
    Address to{};
    std::string bytes;
  };
  static bool IsLater(const Event& first, const Event& second);
  void Push(Event event);
  void Handle(const Event& event);
  void AddToDigest(const Event& event, const char* bytes, std::size_t size);
  Ms TravelTime(std::uint32_t from, std::uint32_t to, std::size_t size);
  bool IsBlocked(std::uint32_t from, std::uint32_t to);
  void Post(EventKind kind, Stream* stream, int side, std::size_t size = 0);
  void DeleteIfUnused(Stream* stream);
  double RandomUnit();
  std::size_t PartialSize(std::size_t size);

  Ms now_;
  std::uint64_t last_sequence_ = 0;
  std::uint64_t handled_events_ = 0;
  std::minstd_rand random_engine_;
  double partial_io_share_ = 0;
  std::vector<Event> queue_;  // a heap, the earliest event first
  std::vector<std::function<void()>> calls_;
  std::vector<DatagramInTransit> datagrams_in_transit_;
  std::vector<std::size_t> free_call_slots_;
  std::vector<std::size_t> free_datagram_slots_;
  std::map<std::uint32_t, Host> hosts_;
  std::map<std::pair<int, int>, Link> links_;
  std::set<std::pair<std::uint32_t, std::uint32_t>> blocked_datagram_pairs_;
  std::vector<std::vector<Link*>> link_table_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::function<void(const Process&, std::string_view)> log_handler_;
  struct DigestState;
  std::unique_ptr<DigestState> digest_state_;
};

}  // namespace dunlinwick::stage
