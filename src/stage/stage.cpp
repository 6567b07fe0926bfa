#include "stage/stage.hpp"

#include <arpa/inet.h>
#include <poll.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace dunlinwick::stage {

// The bytes that one end of a stream may have sent and the other has not read yet: stands for the
// kernel's socket buffers, kept small.
constexpr std::size_t kWindowBytes = 1 << 16;
constexpr std::size_t kMaxBacklog = 128, kMaxDatagrams = 256;
constexpr Ms kRetransmitDelay = 200;  // after a loss, or while the network is blocked

struct StreamEnd {
  Process* owner = nullptr;  // null: its process has ended, or it is not accepted yet
  std::uint32_t host = 0;
  int fd = -1;           // -1: closed, or not accepted
  std::string received;  // arrived; unread from `read_offset` on
  std::size_t read_offset = 0;
  std::string in_flight;  // sent by the other end, not arrived yet
  std::size_t in_flight_offset = 0;
  Ms last_arrival = 0;    // the latest arrival time of what is in flight
  Ms last_data_time = 0;  // when the last bytes of `received` arrived
  bool open = false;      // there is a process to read from it
  bool connected = false;
  bool fin_sent = false;
  bool fin_received = false;
  bool reset_received = false;
  int error = 0;
  std::size_t UnreadSize() const {
    return received.size() - read_offset;
  }
  std::size_t InFlightSize() const {
    return in_flight.size() - in_flight_offset;
  }
};

struct Stream {
  StreamEnd ends[2];       // 0: the end that connected
  int pending_events = 0;  // scheduled events that refer to it
  Address to{};
};

Address MakeAddress(std::uint32_t host, std::uint16_t port) {
  Address address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(host);
  return address;
}

std::string FormatAddress(const Address& address) {
  char host[INET_ADDRSTRLEN];
  ::inet_ntop(AF_INET, &address.sin_addr, host, sizeof host);
  return std::string(host) + ':' + std::to_string(ntohs(address.sin_port));
}

struct Network::DigestState {
  XXH3_state_t* state = XXH3_createState();
  DigestState() {
    XXH3_64bits_reset(state);
  }
  ~DigestState() {
    XXH3_freeState(state);
  }
};

// ---- Process

Process::Process(Network& network, std::uint32_t host, std::string name, std::size_t descriptors)
    : network_(network),
      host_(host),
      name_(std::move(name)),
      descriptors_(descriptors),
      log_([&network] { return network.now(); },
           [this](std::string_view line) {
             if (network_.log_handler_)
               network_.log_handler_(*this, line);
           }),
      loop_(std::make_unique<loop::Loop>(*this)) {
  slots_.resize(3);  // reserved, as for the standard streams
}

Process::~Process() = default;

Ms Process::now() {
  return network_.now_;
}

std::size_t Process::OpenDescriptors() const {
  return static_cast<std::size_t>(std::count_if(
      slots_.begin(), slots_.end(), [](const Slot& slot) { return slot.kind != Kind::kNone; }));
}

Process::Slot* Process::FindSlot(int fd, Kind kind) {
  if (!alive_ || fd < 0 || static_cast<std::size_t>(fd) >= slots_.size())
    return nullptr;
  Slot& slot = slots_[static_cast<std::size_t>(fd)];
  return slot.kind == kind ? &slot : nullptr;
}

int Process::AllocateDescriptor(Kind kind) {
  if (!alive_)
    return -EBADF;
  std::size_t index = 3;
  while (index < slots_.size() && slots_[index].kind != Kind::kNone)
    ++index;
  if (index >= descriptors_)
    return -EMFILE;
  if (index >= slots_.size())
    slots_.resize(index + 1);
  slots_[index] = {};
  slots_[index].kind = kind;
  return static_cast<int>(index);
}

short Process::ReadyEvents(const Slot& slot) const {
  if (slot.kind == Kind::kListener)
    return slot.backlog.empty() ? 0 : POLLIN;
  if (slot.kind == Kind::kDatagrams)
    return static_cast<short>(POLLOUT | (slot.datagrams.empty() ? 0 : POLLIN));
  if (slot.kind != Kind::kStream || !slot.stream)
    return 0;
  const StreamEnd& local = slot.stream->ends[slot.side];
  const StreamEnd& remote = slot.stream->ends[1 - slot.side];
  short events = 0;
  if (local.UnreadSize() > 0 || local.fin_received || local.reset_received)
    events |= POLLIN;
  if (local.fin_received)
    events |= POLLRDHUP;
  if (local.reset_received || local.error != 0)
    events |= POLLERR | POLLHUP | POLLOUT;
  if (local.connected && !local.fin_sent &&
      remote.UnreadSize() + remote.InFlightSize() < kWindowBytes)
    events |= POLLOUT;
  return events;
}

int Process::Wait(std::span<pollfd> watched, int ms) {
  int count = 0;
  for (pollfd& entry : watched) {
    entry.revents = 0;
    if (entry.fd < 0 || static_cast<std::size_t>(entry.fd) >= slots_.size())
      continue;
    short ready = ReadyEvents(slots_[static_cast<std::size_t>(entry.fd)]);
    entry.revents = static_cast<short>(ready & (entry.events | POLLERR | POLLHUP));
    count += entry.revents != 0;
  }
  requested_timeout_ = ms;
  idle_ = count == 0 && ms > 0;
  return count;
}

void Process::Run() {
  if (!alive_ || running_)
    return;
  running_ = true;
  log::ScopedLog use(log_);
  constexpr int kMaxTurns = 100000;  // at one virtual time: far beyond what any burst takes
  int turns = 0;
  do {
    idle_ = false;
    loop_->RunOnce(1000);
    if (++turns > kMaxTurns)
      throw SimulationError(name_ + " does not become idle: " + std::to_string(kMaxTurns) +
                            " loop turns at one time");
  } while (!idle_ && !loop_->IsStopped() && alive_);
  running_ = false;
  if (!alive_ || loop_->IsStopped())
    return;
  next_run_ = network_.now_ + requested_timeout_;
  next_run_sequence_ = network_.last_sequence_;
  network_.Push({next_run_, 0, Network::EventKind::kRunProcess, nullptr, 0, 0, this, 0});
}

void Process::Wake() {
  if (!alive_ || running_)
    return;
  Ms time = std::max(network_.now_, paused_until_);
  if (next_run_ >= 0 && next_run_ <= time)
    return;  // already scheduled to run by then
  next_run_ = time;
  next_run_sequence_ = network_.last_sequence_;
  network_.Push({time, 0, Network::EventKind::kRunProcess, nullptr, 0, 0, this, 0});
}

void Process::Execute(const std::function<void()>& task) {
  if (!alive_)
    return;
  {
    log::ScopedLog use(log_);
    task();
  }
  Wake();
}

void Process::PauseUntil(Ms until) {
  paused_until_ = std::max(paused_until_, until);
  next_run_ = -1;
  Wake();
}

int Process::OpenStream() {
  return AllocateDescriptor(Kind::kStream);
}

int Process::Connect(int fd, const Address& to) {
  Slot* slot = FindSlot(fd, Kind::kStream);
  if (!slot || slot->stream)
    return -EBADF;
  auto* stream = new Stream;
  slot->stream = stream;
  slot->side = 0;
  stream->to = to;
  stream->ends[0].owner = this;
  stream->ends[0].host = host_;
  stream->ends[0].fd = fd;
  stream->ends[0].open = true;
  stream->ends[1].host = ntohl(to.sin_addr.s_addr);
  network_.Post(Network::EventKind::kSyn, stream, 1);
  return -EINPROGRESS;
}

int Process::SocketError(int fd) {
  Slot* slot = FindSlot(fd, Kind::kStream);
  if (!slot || !slot->stream)
    return EBADF;
  return slot->stream->ends[slot->side].error;
}

int Process::Listen(const Address& address) {
  Network::Host& host = network_.hosts_[host_];
  std::uint16_t port = ntohs(address.sin_port);
  if (ntohl(address.sin_addr.s_addr) != host_)
    return -EADDRNOTAVAIL;
  if (host.listeners.count(port))
    return -EADDRINUSE;
  int fd = AllocateDescriptor(Kind::kListener);
  if (fd < 0)
    return fd;
  slots_[static_cast<std::size_t>(fd)].port = port;
  host.listeners[port] = {this, fd};
  return fd;
}

int Process::Accept(int fd) {
  Slot* slot = FindSlot(fd, Kind::kListener);
  if (!slot)
    return -EBADF;
  if (slot->backlog.empty())
    return -EAGAIN;
  int accepted_fd = AllocateDescriptor(Kind::kStream);
  if (accepted_fd < 0)
    return accepted_fd;
  slot = FindSlot(fd, Kind::kListener);  // the allocation may have moved the table
  auto [stream, side] = slot->backlog.front();
  slot->backlog.pop_front();
  Slot& accepted = slots_[static_cast<std::size_t>(accepted_fd)];
  accepted.stream = stream;
  accepted.side = side;
  stream->ends[side].fd = accepted_fd;
  return accepted_fd;
}

ssize_t Process::Receive(int fd, std::span<char> buffer) {
  Slot* slot = FindSlot(fd, Kind::kStream);
  if (!slot || !slot->stream)
    return -ENOTCONN;
  StreamEnd& local = slot->stream->ends[slot->side];
  if (local.UnreadSize() == 0) {
    if (local.reset_received)
      return -ECONNRESET;
    return local.fin_received ? 0 : -EAGAIN;
  }
  std::size_t size = network_.PartialSize(std::min(buffer.size(), local.UnreadSize()));
  bool was_full = local.UnreadSize() + local.InFlightSize() >= kWindowBytes;
  std::memcpy(buffer.data(), local.received.data() + local.read_offset, size);
  local.read_offset += size;
  if (local.read_offset == local.received.size()) {
    local.received.clear();
    local.read_offset = 0;
  }
  if (was_full)
    network_.Post(Network::EventKind::kWindowUpdate, slot->stream, 1 - slot->side);
  return static_cast<ssize_t>(size);
}

Ms Process::SinceLastArrival(int fd) {
  Slot* slot = FindSlot(fd, Kind::kStream);
  if (!slot || !slot->stream)
    return 0;
  const Ms last = slot->stream->ends[slot->side].last_data_time;
  return last > 0 ? network_.now_ - last : 0;
}

ssize_t Process::Send(int fd, std::span<const iovec> parts) {
  Slot* slot = FindSlot(fd, Kind::kStream);
  if (!slot || !slot->stream)
    return -ENOTCONN;
  StreamEnd& local = slot->stream->ends[slot->side];
  StreamEnd& remote = slot->stream->ends[1 - slot->side];
  if (local.reset_received)
    return -ECONNRESET;
  if (!local.connected)
    return -EAGAIN;
  if (local.fin_sent)
    return -EPIPE;
  std::size_t buffered = remote.UnreadSize() + remote.InFlightSize(), total = 0, sent = 0;
  if (buffered >= kWindowBytes)
    return -EAGAIN;
  for (const iovec& chunk : parts)
    total += chunk.iov_len;
  if (outgoing_filter) {
    std::string bytes;
    for (const iovec& chunk : parts)
      bytes.append(static_cast<const char*>(chunk.iov_base), chunk.iov_len);
    bytes = outgoing_filter(std::move(bytes));
    remote.in_flight += bytes;
    if (!bytes.empty())
      network_.Post(Network::EventKind::kData, slot->stream, 1 - slot->side, bytes.size());
    return static_cast<ssize_t>(total);
  }
  std::size_t accepted = network_.PartialSize(std::min(total, kWindowBytes - buffered));
  for (const iovec& chunk : parts) {
    std::size_t size = std::min(chunk.iov_len, accepted - sent);
    remote.in_flight.append(static_cast<const char*>(chunk.iov_base), size);
    sent += size;
    if (sent == accepted)
      break;
  }
  if (sent > 0)
    network_.Post(Network::EventKind::kData, slot->stream, 1 - slot->side, sent);
  return static_cast<ssize_t>(sent);
}

void Process::ShutdownWrite(int fd) {
  Slot* slot = FindSlot(fd, Kind::kStream);
  if (!slot || !slot->stream)
    return;
  StreamEnd& local = slot->stream->ends[slot->side];
  if (local.connected && !local.fin_sent && !local.reset_received)
    network_.Post(Network::EventKind::kFin, slot->stream, 1 - slot->side);
  local.fin_sent = true;
}

void Process::Close(int fd) {
  if (!alive_ || fd < 0 || static_cast<std::size_t>(fd) >= slots_.size())
    return;
  Slot closed = std::move(slots_[static_cast<std::size_t>(fd)]);
  slots_[static_cast<std::size_t>(fd)] = {};
  Network::Host& host = network_.hosts_[host_];
  if (closed.kind == Kind::kListener)
    host.listeners.erase(closed.port);
  if (closed.kind == Kind::kDatagrams)
    host.receivers.erase(closed.port);
  for (auto [stream, side] : closed.backlog) {  // connected but never accepted: reset
    stream->ends[side].open = false;
    stream->ends[side].owner = nullptr;
    network_.Post(Network::EventKind::kReset, stream, 1 - side);
  }
  if (!closed.stream)
    return;
  StreamEnd& local = closed.stream->ends[closed.side];
  local.open = false;
  local.owner = nullptr;
  local.fd = -1;
  // Closing with unread bytes sends a reset, as the kernel does.
  if (!local.reset_received && local.UnreadSize() > 0)
    network_.Post(Network::EventKind::kReset, closed.stream, 1 - closed.side);
  else if (!local.reset_received && !local.fin_sent && local.connected)
    network_.Post(Network::EventKind::kFin, closed.stream, 1 - closed.side);
  local.fin_sent = true;
  local.received = {};
  local.read_offset = 0;
  network_.DeleteIfUnused(closed.stream);
}

void Process::Abort(int fd) {
  Slot* slot = FindSlot(fd, Kind::kStream);
  if (slot && slot->stream && !slot->stream->ends[slot->side].reset_received) {
    network_.Post(Network::EventKind::kReset, slot->stream, 1 - slot->side);
    slot->stream->ends[slot->side].reset_received = true;
  }
  Close(fd);
}

int Process::OpenDatagrams(const Address& address) {
  Network::Host& host = network_.hosts_[host_];
  if (ntohl(address.sin_addr.s_addr) != host_)
    return -EADDRNOTAVAIL;
  std::uint16_t port = ntohs(address.sin_port);
  if (port == 0)
    for (port = 49152; host.receivers.count(port);)
      ++port;
  if (host.receivers.count(port))
    return -EADDRINUSE;
  int fd = AllocateDescriptor(Kind::kDatagrams);
  if (fd < 0)
    return fd;
  slots_[static_cast<std::size_t>(fd)].port = port;
  host.receivers[port] = {this, fd};
  return fd;
}

ssize_t Process::SendTo(int fd, std::span<const char> bytes, const Address& to) {
  Slot* slot = FindSlot(fd, Kind::kDatagrams);
  if (!slot)
    return -EBADF;
  if (bytes.size() > 65507)
    return -EMSGSIZE;
  std::uint32_t destination = ntohl(to.sin_addr.s_addr);
  Link& link = network_.LinkBetween(network_.SiteOf(host_), network_.SiteOf(destination));
  int copies = network_.RandomUnit() < link.loss_share        ? 0
               : network_.RandomUnit() < link.duplicate_share ? 2
                                                              : 1;
  if (network_.blocked_datagram_pairs_.count({host_, destination}))
    copies = 0;
  for (int copy = 0; copy < copies; ++copy) {
    Ms delay = network_.TravelTime(host_, destination, bytes.size());
    if (network_.RandomUnit() < link.reorder_share)
      delay += 20 * link.latency * network_.RandomUnit();
    std::size_t index = network_.datagrams_in_transit_.size();
    if (network_.free_datagram_slots_.empty())
      network_.datagrams_in_transit_.emplace_back();
    else {
      index = network_.free_datagram_slots_.back();
      network_.free_datagram_slots_.pop_back();
    }
    network_.datagrams_in_transit_[index] = {MakeAddress(host_, slot->port), to,
                                             std::string(bytes.begin(), bytes.end())};
    network_.Push(
        {network_.now_ + delay, 0, Network::EventKind::kDatagram, nullptr, 0, 0, nullptr, index});
  }
  return static_cast<ssize_t>(bytes.size());
}

ssize_t Process::ReceiveFrom(int fd, std::span<char> buffer, Address& from) {
  Slot* slot = FindSlot(fd, Kind::kDatagrams);
  if (!slot)
    return -EBADF;
  if (slot->datagrams.empty())
    return -EAGAIN;
  Datagram datagram = std::move(slot->datagrams.front());
  slot->datagrams.pop_front();
  from = datagram.from;
  std::size_t size = std::min(buffer.size(), datagram.bytes.size());
  std::memcpy(buffer.data(), datagram.bytes.data(), size);
  return static_cast<ssize_t>(size);
}

Address Process::peer(int fd) {
  Slot* slot = FindSlot(fd, Kind::kStream);
  return MakeAddress(slot && slot->stream ? slot->stream->ends[1 - slot->side].host : 0, 0);
}

void Process::Terminate(bool reset_connections) {
  if (!alive_)
    return;
  Network::Host& host = network_.hosts_[host_];
  auto belongs_to_this = [this](auto& entry) {
    return entry.second.first == this;
  };
  std::erase_if(host.listeners, belongs_to_this);
  std::erase_if(host.receivers, belongs_to_this);
  host.silent = !reset_connections;
  auto disconnect = [&](Stream* stream, int side) {
    StreamEnd& end = stream->ends[side];
    if (reset_connections && !end.reset_received && end.connected)
      network_.Post(Network::EventKind::kReset, stream, 1 - side);
    end.open = false;
    end.owner = nullptr;
    end.fd = -1;
    end.received = {};
    end.read_offset = 0;
    end.fin_sent = true;
    network_.DeleteIfUnused(stream);
  };
  for (Slot& slot : slots_) {
    for (auto [stream, side] : slot.backlog)
      disconnect(stream, side);
    if (slot.stream)
      disconnect(slot.stream, slot.side);
  }
  slots_.clear();
  alive_ = false;
}

// ---- Network

Network::Network(std::uint64_t seed, Ms start_time)
    : now_(start_time),
      random_engine_(
          static_cast<std::minstd_rand::result_type>(seed * 2654435761u % 2147483646u + 1)),
      digest_state_(std::make_unique<DigestState>()) {}

Network::~Network() {
  for (auto& process : processes_)
    process->Terminate(false);
  // A stream to which events still refer is deleted with the last of these.
  while (!queue_.empty()) {
    Event event = queue_.back();
    queue_.pop_back();
    if (event.stream) {
      --event.stream->pending_events;
      DeleteIfUnused(event.stream);
    }
  }
}

bool Network::IsLater(const Event& first, const Event& second) {
  return first.time != second.time ? first.time > second.time : first.sequence > second.sequence;
}

void Network::Push(Event event) {
  event.sequence = ++last_sequence_;
  if (event.stream)
    ++event.stream->pending_events;
  queue_.push_back(event);
  std::push_heap(queue_.begin(), queue_.end(), IsLater);
}

void Network::ScheduleCall(Ms time, std::function<void()> task) {
  std::size_t index = calls_.size();
  if (free_call_slots_.empty())
    calls_.emplace_back();
  else {
    index = free_call_slots_.back();
    free_call_slots_.pop_back();
  }
  calls_[index] = std::move(task);
  Push({std::max(time, now_), 0, EventKind::kCall, nullptr, 0, 0, nullptr, index});
}

void Network::RunUntil(Ms time) {
  while (!queue_.empty() && queue_.front().time <= time) {
    std::pop_heap(queue_.begin(), queue_.end(), IsLater);
    Event event = queue_.back();
    queue_.pop_back();
    now_ = std::max(now_, event.time);
    ++handled_events_;
    Handle(event);
    if (event.stream) {
      --event.stream->pending_events;
      DeleteIfUnused(event.stream);
    }
  }
  now_ = std::max(now_, time);
}

double Network::RandomUnit() {
  return static_cast<double>(random_engine_() - random_engine_.min()) / 2147483646.0;
}

std::size_t Network::PartialSize(std::size_t size) {
  if (partial_io_share_ <= 0 || size <= 1 || RandomUnit() >= partial_io_share_)
    return size;
  return 1 + static_cast<std::size_t>(RandomUnit() * static_cast<double>(size - 1));
}

int Network::SiteOf(std::uint32_t host) {
  return hosts_[host].site;
}
void Network::SetSite(std::uint32_t host, int site) {
  hosts_[host].site = site;
}
void Network::SetLink(int from, int to, const Link& link) {
  this->LinkBetween(from, to) = link;
}

Link& Network::LinkBetween(int from, int to) {
  auto from_index = static_cast<std::size_t>(from), to_index = static_cast<std::size_t>(to);
  if (link_table_.size() <= from_index)
    link_table_.resize(from_index + 1);
  if (link_table_[from_index].size() <= to_index)
    link_table_[from_index].resize(to_index + 1);
  if (!link_table_[from_index][to_index])
    link_table_[from_index][to_index] = &links_[{from, to}];
  return *link_table_[from_index][to_index];
}

void Network::SetHostBlocked(std::uint32_t host, bool inbound, bool outbound) {
  hosts_[host].inbound_blocked = inbound;
  hosts_[host].outbound_blocked = outbound;
}
void Network::SetDatagramsBlocked(std::uint32_t from, std::uint32_t to, bool blocked) {
  if (blocked)
    blocked_datagram_pairs_.insert({from, to});
  else
    blocked_datagram_pairs_.erase({from, to});
}
void Network::SetHostDelay(std::uint32_t host, Ms extra_delay) {
  hosts_[host].extra_delay = extra_delay;
}

bool Network::IsBlocked(std::uint32_t from, std::uint32_t to) {
  Host &sender = hosts_[from], &receiver = hosts_[to];
  return sender.outbound_blocked || receiver.inbound_blocked ||
         LinkBetween(sender.site, receiver.site).blocked;
}

Ms Network::TravelTime(std::uint32_t from, std::uint32_t to, std::size_t size) {
  Link& link = LinkBetween(hosts_[from].site, hosts_[to].site);
  Ms delay = link.latency * (1 + link.jitter * RandomUnit()) + hosts_[from].extra_delay +
             hosts_[to].extra_delay;
  if (link.kb_per_ms > 0)
    delay += static_cast<double>(size) / 1000 / link.kb_per_ms;
  return delay;
}

// Schedules an event at one end of a stream, after all that was sent to that end before.
void Network::Post(EventKind kind, Stream* stream, int side, std::size_t size) {
  StreamEnd& destination = stream->ends[side];
  std::uint32_t from = stream->ends[1 - side].host;
  Ms time = now_ + TravelTime(from, destination.host, size);
  Link& link = LinkBetween(hosts_[from].site, hosts_[destination.host].site);
  if (link.loss_share > 0 && RandomUnit() < link.loss_share)
    time += kRetransmitDelay;
  time = std::max(time, destination.last_arrival);
  destination.last_arrival = time;
  Push({time, 0, kind, stream, side, size, nullptr, 0});
}

void Network::DeleteIfUnused(Stream* stream) {
  if (stream->pending_events == 0 && stream->ends[0].fd < 0 && !stream->ends[0].open &&
      !stream->ends[1].open && stream->ends[1].fd < 0)
    delete stream;
}

void Network::AddToDigest(const Event& event, const char* bytes, std::size_t size) {
  struct {
    Ms time;
    std::uint32_t kind;
    std::uint32_t from;
    std::uint32_t to;
    std::uint32_t size;
  } head{event.time, static_cast<std::uint32_t>(event.kind), 0, 0,
         static_cast<std::uint32_t>(size)};
  if (event.stream) {
    head.from = event.stream->ends[1 - event.side].host;
    head.to = event.stream->ends[event.side].host;
  }
  XXH3_64bits_update(digest_state_->state, &head, sizeof head);
  if (size > 0)
    XXH3_64bits_update(digest_state_->state, bytes, size);
}

std::uint64_t Network::Digest() const {
  return XXH3_64bits_digest(digest_state_->state);
}

void Network::Handle(const Event& event) {
  if (event.kind == EventKind::kCall) {
    std::function<void()> task = std::move(calls_[event.index]);
    calls_[event.index] = nullptr;
    free_call_slots_.push_back(event.index);
    return task();
  }
  if (event.kind == EventKind::kRunProcess) {
    Process& process = *event.process;
    if (!process.alive_ || process.next_run_ != event.time ||
        process.next_run_sequence_ + 1 != event.sequence)
      return;  // superseded by another scheduled run
    process.next_run_ = -1;
    if (process.paused_until_ > now_)
      return process.Wake();
    return process.Run();
  }
  if (event.kind == EventKind::kDatagram) {
    DatagramInTransit datagram = std::move(datagrams_in_transit_[event.index]);
    free_datagram_slots_.push_back(event.index);
    std::uint32_t from = ntohl(datagram.from.sin_addr.s_addr),
                  to = ntohl(datagram.to.sin_addr.s_addr);
    if (IsBlocked(from, to))
      return;
    AddToDigest(event, datagram.bytes.data(), datagram.bytes.size());
    auto& receivers = hosts_[to].receivers;
    auto found = receivers.find(ntohs(datagram.to.sin_port));
    if (found == receivers.end())
      return;
    auto [process, fd] = found->second;
    auto& queue = process->slots_[static_cast<std::size_t>(fd)].datagrams;
    if (queue.size() < kMaxDatagrams)
      queue.push_back({datagram.from, std::move(datagram.bytes)});
    return process->Wake();
  }
  Stream& stream = *event.stream;
  StreamEnd& local = stream.ends[event.side];
  StreamEnd& remote = stream.ends[1 - event.side];
  // What is blocked is retransmitted until it passes; what was sent later stays behind it.
  if (IsBlocked(remote.host, local.host)) {
    Ms retry_time = now_ + kRetransmitDelay;
    local.last_arrival = std::max(local.last_arrival, retry_time);
    return Push({retry_time, 0, event.kind, event.stream, event.side, event.size, nullptr, 0});
  }
  Host& host = hosts_[local.host];
  if (host.silent && !local.owner)
    return;  // the host is silent: not even a reset
  switch (event.kind) {
    case EventKind::kSyn: {
      AddToDigest(event, nullptr, 0);
      if (!remote.open)
        return;  // the connecting end was closed meanwhile
      auto found = host.listeners.find(ntohs(stream.to.sin_port));
      if (found == host.listeners.end())
        return Post(EventKind::kRefused, &stream, 0);
      auto [process, fd] = found->second;
      auto& backlog = process->slots_[static_cast<std::size_t>(fd)].backlog;
      if (backlog.size() >= kMaxBacklog) {  // as in a kernel: the SYN is retransmitted
        return Push({now_ + 1000, 0, EventKind::kSyn, &stream, 1, 0, nullptr, 0});
      }
      local.owner = process;
      local.open = true;
      local.connected = true;
      backlog.push_back({&stream, 1});
      Post(EventKind::kConnected, &stream, 0);
      return process->Wake();
    }
    case EventKind::kConnected:
    case EventKind::kRefused:
      AddToDigest(event, nullptr, 0);
      if (event.kind == EventKind::kConnected)
        local.connected = true;
      else
        local.error = ECONNREFUSED;
      if (!local.open) {
        if (event.kind == EventKind::kConnected)
          Post(EventKind::kReset, &stream, 1);  // the connecting end was closed meanwhile
        return;
      }
      break;
    case EventKind::kData: {
      std::size_t size = event.size;
      const char* bytes = local.in_flight.data() + local.in_flight_offset;
      AddToDigest(event, bytes, size);
      if (local.open) {
        local.received.append(bytes, size);
        local.last_data_time = now_;
      }
      local.in_flight_offset += size;
      if (local.in_flight_offset == local.in_flight.size()) {
        local.in_flight.clear();
        local.in_flight_offset = 0;
      }
      if (local.in_flight_offset > kWindowBytes) {
        local.in_flight.erase(0, local.in_flight_offset);
        local.in_flight_offset = 0;
      }
      if (!local.open && !local.reset_received) {
        local.reset_received = true;
        return Post(EventKind::kReset, &stream, 1 - event.side);
      }
      break;
    }
    case EventKind::kFin:
      // Bytes that were held up must arrive first.
      if (local.InFlightSize() > 0)
        return Push(
            {now_ + kRetransmitDelay, 0, event.kind, event.stream, event.side, 0, nullptr, 0});
      AddToDigest(event, nullptr, 0);
      local.fin_received = true;
      break;
    case EventKind::kReset:
      AddToDigest(event, nullptr, 0);
      local.reset_received = true;
      break;
    case EventKind::kWindowUpdate:
      break;
    default:
      return;
  }
  if (local.owner)
    local.owner->Wake();
}

Process& Network::Start(std::uint32_t host, std::string name, std::size_t descriptors) {
  hosts_[host].silent = false;
  processes_.push_back(std::make_unique<Process>(*this, host, std::move(name), descriptors));
  return *processes_.back();
}

void Network::Kill(Process& process) {
  process.Terminate(true);
}
void Network::KillSilently(Process& process) {
  process.Terminate(false);
}

}  // namespace dunlinwick::stage
