#include "stage/stage.hpp"

#include <arpa/inet.h>
#include <poll.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace dunlinwick::stage {

// What one side of a stream may have sent that the other has not read: a kernel's buffers, small.
constexpr std::size_t kWindow = 1 << 16;
constexpr std::size_t kMostBacklog = 128, kMostDatagrams = 256;
constexpr Ms kSentAgainAfter = 200;  // what a cut or a loss held up

struct End {
  Process* owner = nullptr;  // null: its process is gone, or it was not accepted yet
  std::uint32_t host = 0;
  int fd = -1;      // -1: closed, or not accepted
  std::string got;  // arrived, from `from` on not read
  std::size_t from = 0;
  std::string coming;  // sent by the other side, on its way
  std::size_t from_coming = 0;
  Ms last_arrival = 0;   // of what is on its way
  Ms last_bytes_at = 0;  // when the last of `got` came
  bool open = false;     // there is someone to read
  bool up = false;
  bool fin_sent = false;
  bool fin_came = false;
  bool reset_came = false;
  int fault = 0;
  std::size_t Unread() const {
    return got.size() - from;
  }
  std::size_t InFlight() const {
    return coming.size() - from_coming;
  }
};

struct Stream {
  End ends[2];      // 0 opened it
  int pending = 0;  // events on their way
  Address to{};
};

Address AddressOf(std::uint32_t host, std::uint16_t port) {
  Address a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(port);
  a.sin_addr.s_addr = htonl(host);
  return a;
}

std::string Text(const Address& at) {
  char host[INET_ADDRSTRLEN];
  ::inet_ntop(AF_INET, &at.sin_addr, host, sizeof host);
  return std::string(host) + ':' + std::to_string(ntohs(at.sin_port));
}

struct Net::Hash {
  XXH3_state_t* state = XXH3_createState();
  Hash() {
    XXH3_64bits_reset(state);
  }
  ~Hash() {
    XXH3_freeState(state);
  }
};

// ---- a process

Process::Process(Net& net, std::uint32_t host, std::string name, std::size_t descriptors)
    : net_(net),
      host_(host),
      name_(std::move(name)),
      descriptors_(descriptors),
      log_([&net] { return net.now(); },
           [this](std::string_view line) {
             if (net_.log_to_)
               net_.log_to_(*this, line);
           }),
      loop_(std::make_unique<loop::Loop>(*this)) {
  slots_.resize(3);  // as the standard streams
}

Process::~Process() = default;

Ms Process::now() {
  return net_.now_;
}

std::size_t Process::OpenDescriptors() const {
  return static_cast<std::size_t>(std::count_if(
      slots_.begin(), slots_.end(), [](const Slot& s) { return s.kind != Kind::kNone; }));
}

Process::Slot* Process::slot(int fd, Kind kind) {
  if (!alive_ || fd < 0 || static_cast<std::size_t>(fd) >= slots_.size())
    return nullptr;
  Slot& s = slots_[static_cast<std::size_t>(fd)];
  return s.kind == kind ? &s : nullptr;
}

int Process::Take(Kind kind) {
  if (!alive_)
    return -EBADF;
  std::size_t at = 3;
  while (at < slots_.size() && slots_[at].kind != Kind::kNone)
    ++at;
  if (at >= descriptors_)
    return -EMFILE;
  if (at >= slots_.size())
    slots_.resize(at + 1);
  slots_[at] = {};
  slots_[at].kind = kind;
  return static_cast<int>(at);
}

short Process::Readiness(const Slot& s) const {
  if (s.kind == Kind::kListener)
    return s.backlog.empty() ? 0 : POLLIN;
  if (s.kind == Kind::kDatagrams)
    return static_cast<short>(POLLOUT | (s.datagrams.empty() ? 0 : POLLIN));
  if (s.kind != Kind::kStream || !s.stream)
    return 0;
  const End& mine = s.stream->ends[s.side];
  const End& theirs = s.stream->ends[1 - s.side];
  short events = 0;
  if (mine.Unread() > 0 || mine.fin_came || mine.reset_came)
    events |= POLLIN;
  if (mine.fin_came)
    events |= POLLRDHUP;
  if (mine.reset_came || mine.fault != 0)
    events |= POLLERR | POLLHUP | POLLOUT;
  if (mine.up && !mine.fin_sent && theirs.Unread() + theirs.InFlight() < kWindow)
    events |= POLLOUT;
  return events;
}

int Process::Wait(std::span<pollfd> watched, int ms) {
  int count = 0;
  for (pollfd& p : watched) {
    p.revents = 0;
    if (p.fd < 0 || static_cast<std::size_t>(p.fd) >= slots_.size())
      continue;
    short ready = Readiness(slots_[static_cast<std::size_t>(p.fd)]);
    p.revents = static_cast<short>(ready & (p.events | POLLERR | POLLHUP));
    count += p.revents != 0;
  }
  client_request_ = ms;
  quiet_ = count == 0 && ms > 0;
  return count;
}

void Process::Run() {
  if (!alive_ || running_)
    return;
  running_ = true;
  log::ScopedLog use(log_);
  constexpr int kMost = 100000;  // turns at one time: far beyond what any burst takes
  int turns = 0;
  do {
    quiet_ = false;
    loop_->RunOnce(1000);
    if (++turns > kMost)
      throw StageFault(name_ + " spins: " + std::to_string(kMost) + " turns without rest");
  } while (!quiet_ && !loop_->IsStopped() && alive_);
  running_ = false;
  if (!alive_ || loop_->IsStopped())
    return;
  due_ = net_.now_ + client_request_;
  due_seq_ = net_.seq_;
  net_.Push({due_, 0, Net::What::kRun, nullptr, 0, 0, this, 0});
}

void Process::Wake() {
  if (!alive_ || running_)
    return;
  Ms when = std::max(net_.now_, still_);
  if (due_ >= 0 && due_ <= when)
    return;  // it runs by then
  due_ = when;
  due_seq_ = net_.seq_;
  net_.Push({when, 0, Net::What::kRun, nullptr, 0, 0, this, 0});
}

void Process::Act(const std::function<void()>& what) {
  if (!alive_)
    return;
  {
    log::ScopedLog use(log_);
    what();
  }
  Wake();
}

void Process::StandStill(Ms until) {
  still_ = std::max(still_, until);
  due_ = -1;
  Wake();
}

int Process::OpenStream() {
  return Take(Kind::kStream);
}

int Process::Connect(int fd, const Address& to) {
  Slot* s = slot(fd, Kind::kStream);
  if (!s || s->stream)
    return -EBADF;
  auto* stream = new Stream;
  s->stream = stream;
  s->side = 0;
  stream->to = to;
  stream->ends[0].owner = this;
  stream->ends[0].host = host_;
  stream->ends[0].fd = fd;
  stream->ends[0].open = true;
  stream->ends[1].host = ntohl(to.sin_addr.s_addr);
  net_.Post(Net::What::kSyn, stream, 1);
  return -EINPROGRESS;
}

int Process::SocketError(int fd) {
  Slot* s = slot(fd, Kind::kStream);
  if (!s || !s->stream)
    return EBADF;
  return s->stream->ends[s->side].fault;
}

int Process::Listen(const Address& at) {
  Net::Host& host = net_.hosts_[host_];
  std::uint16_t port = ntohs(at.sin_port);
  if (ntohl(at.sin_addr.s_addr) != host_)
    return -EADDRNOTAVAIL;
  if (host.listeners.count(port))
    return -EADDRINUSE;
  int fd = Take(Kind::kListener);
  if (fd < 0)
    return fd;
  slots_[static_cast<std::size_t>(fd)].port = port;
  host.listeners[port] = {this, fd};
  return fd;
}

int Process::Accept(int fd) {
  Slot* s = slot(fd, Kind::kListener);
  if (!s)
    return -EBADF;
  if (s->backlog.empty())
    return -EAGAIN;
  int got = Take(Kind::kStream);
  if (got < 0)
    return got;
  s = slot(fd, Kind::kListener);  // the table may have moved
  auto [stream, side] = s->backlog.front();
  s->backlog.pop_front();
  Slot& fresh = slots_[static_cast<std::size_t>(got)];
  fresh.stream = stream;
  fresh.side = side;
  stream->ends[side].fd = got;
  return got;
}

ssize_t Process::Receive(int fd, std::span<char> into) {
  Slot* s = slot(fd, Kind::kStream);
  if (!s || !s->stream)
    return -ENOTCONN;
  End& mine = s->stream->ends[s->side];
  if (mine.Unread() == 0) {
    if (mine.reset_came)
      return -ECONNRESET;
    return mine.fin_came ? 0 : -EAGAIN;
  }
  std::size_t n = net_.part(std::min(into.size(), mine.Unread()));
  bool full = mine.Unread() + mine.InFlight() >= kWindow;
  std::memcpy(into.data(), mine.got.data() + mine.from, n);
  mine.from += n;
  if (mine.from == mine.got.size()) {
    mine.got.clear();
    mine.from = 0;
  }
  if (full)
    net_.Post(Net::What::kRoom, s->stream, 1 - s->side);
  return static_cast<ssize_t>(n);
}

Ms Process::SinceLastArrival(int fd) {
  Slot* s = slot(fd, Kind::kStream);
  if (!s || !s->stream)
    return 0;
  const Ms last = s->stream->ends[s->side].last_bytes_at;
  return last > 0 ? net_.now_ - last : 0;
}

ssize_t Process::Send(int fd, std::span<const iovec> parts) {
  Slot* s = slot(fd, Kind::kStream);
  if (!s || !s->stream)
    return -ENOTCONN;
  End& mine = s->stream->ends[s->side];
  End& theirs = s->stream->ends[1 - s->side];
  if (mine.reset_came)
    return -ECONNRESET;
  if (!mine.up)
    return -EAGAIN;
  if (mine.fin_sent)
    return -EPIPE;
  std::size_t taken = theirs.Unread() + theirs.InFlight(), all = 0, put = 0;
  if (taken >= kWindow)
    return -EAGAIN;
  for (const iovec& v : parts)
    all += v.iov_len;
  if (tamper) {
    std::string bytes;
    for (const iovec& v : parts)
      bytes.append(static_cast<const char*>(v.iov_base), v.iov_len);
    bytes = tamper(std::move(bytes));
    theirs.coming += bytes;
    if (!bytes.empty())
      net_.Post(Net::What::kBytes, s->stream, 1 - s->side, bytes.size());
    return static_cast<ssize_t>(all);
  }
  std::size_t most = net_.part(std::min(all, kWindow - taken));
  for (const iovec& v : parts) {
    std::size_t n = std::min(v.iov_len, most - put);
    theirs.coming.append(static_cast<const char*>(v.iov_base), n);
    put += n;
    if (put == most)
      break;
  }
  if (put > 0)
    net_.Post(Net::What::kBytes, s->stream, 1 - s->side, put);
  return static_cast<ssize_t>(put);
}

void Process::ShutdownWrite(int fd) {
  Slot* s = slot(fd, Kind::kStream);
  if (!s || !s->stream)
    return;
  End& mine = s->stream->ends[s->side];
  if (mine.up && !mine.fin_sent && !mine.reset_came)
    net_.Post(Net::What::kFin, s->stream, 1 - s->side);
  mine.fin_sent = true;
}

void Process::Close(int fd) {
  if (!alive_ || fd < 0 || static_cast<std::size_t>(fd) >= slots_.size())
    return;
  Slot taken = std::move(slots_[static_cast<std::size_t>(fd)]);
  slots_[static_cast<std::size_t>(fd)] = {};
  Net::Host& host = net_.hosts_[host_];
  if (taken.kind == Kind::kListener)
    host.listeners.erase(taken.port);
  if (taken.kind == Kind::kDatagrams)
    host.receivers.erase(taken.port);
  for (auto [stream, side] : taken.backlog) {  // connected, never accepted: reset
    stream->ends[side].open = false;
    stream->ends[side].owner = nullptr;
    net_.Post(Net::What::kReset, stream, 1 - side);
  }
  if (!taken.stream)
    return;
  End& mine = taken.stream->ends[taken.side];
  mine.open = false;
  mine.owner = nullptr;
  mine.fd = -1;
  // Closed with bytes unread: the other side's are refused with a reset, as the kernel does.
  if (!mine.reset_came && mine.Unread() > 0)
    net_.Post(Net::What::kReset, taken.stream, 1 - taken.side);
  else if (!mine.reset_came && !mine.fin_sent && mine.up)
    net_.Post(Net::What::kFin, taken.stream, 1 - taken.side);
  mine.fin_sent = true;
  mine.got = {};
  mine.from = 0;
  net_.Release(taken.stream);
}

void Process::Abort(int fd) {
  Slot* s = slot(fd, Kind::kStream);
  if (s && s->stream && !s->stream->ends[s->side].reset_came) {
    net_.Post(Net::What::kReset, s->stream, 1 - s->side);
    s->stream->ends[s->side].reset_came = true;
  }
  Close(fd);
}

int Process::OpenDatagrams(const Address& at) {
  Net::Host& host = net_.hosts_[host_];
  if (ntohl(at.sin_addr.s_addr) != host_)
    return -EADDRNOTAVAIL;
  std::uint16_t port = ntohs(at.sin_port);
  if (port == 0)
    for (port = 49152; host.receivers.count(port);)
      ++port;
  if (host.receivers.count(port))
    return -EADDRINUSE;
  int fd = Take(Kind::kDatagrams);
  if (fd < 0)
    return fd;
  slots_[static_cast<std::size_t>(fd)].port = port;
  host.receivers[port] = {this, fd};
  return fd;
}

ssize_t Process::SendTo(int fd, std::span<const char> bytes, const Address& to) {
  Slot* s = slot(fd, Kind::kDatagrams);
  if (!s)
    return -EBADF;
  if (bytes.size() > 65507)
    return -EMSGSIZE;
  std::uint32_t there = ntohl(to.sin_addr.s_addr);
  Way& way = net_.way(net_.SiteOf(host_), net_.SiteOf(there));
  int copies = net_.Chance() < way.lost ? 0 : net_.Chance() < way.doubled ? 2 : 1;
  if (net_.apart_.count({host_, there}))
    copies = 0;
  for (int i = 0; i < copies; ++i) {
    Ms takes = net_.Travel(host_, there, bytes.size());
    if (net_.Chance() < way.shuffled)
      takes += 20 * way.latency * net_.Chance();
    std::size_t at = net_.parcels_.size();
    if (net_.free_parcels_.empty())
      net_.parcels_.emplace_back();
    else {
      at = net_.free_parcels_.back();
      net_.free_parcels_.pop_back();
    }
    net_.parcels_[at] = {AddressOf(host_, s->port), to, std::string(bytes.begin(), bytes.end())};
    net_.Push({net_.now_ + takes, 0, Net::What::kDatagram, nullptr, 0, 0, nullptr, at});
  }
  return static_cast<ssize_t>(bytes.size());
}

ssize_t Process::ReceiveFrom(int fd, std::span<char> into, Address& from) {
  Slot* s = slot(fd, Kind::kDatagrams);
  if (!s)
    return -EBADF;
  if (s->datagrams.empty())
    return -EAGAIN;
  Datagram one = std::move(s->datagrams.front());
  s->datagrams.pop_front();
  from = one.from;
  std::size_t n = std::min(into.size(), one.bytes.size());
  std::memcpy(into.data(), one.bytes.data(), n);
  return static_cast<ssize_t>(n);
}

Address Process::peer(int fd) {
  Slot* s = slot(fd, Kind::kStream);
  return AddressOf(s && s->stream ? s->stream->ends[1 - s->side].host : 0, 0);
}

void Process::Die(bool tell) {
  if (!alive_)
    return;
  Net::Host& host = net_.hosts_[host_];
  auto mine = [this](auto& one) {
    return one.second.first == this;
  };
  std::erase_if(host.listeners, mine);
  std::erase_if(host.receivers, mine);
  host.silent = !tell;
  auto drop = [&](Stream* stream, int side) {
    End& end = stream->ends[side];
    if (tell && !end.reset_came && end.up)
      net_.Post(Net::What::kReset, stream, 1 - side);
    end.open = false;
    end.owner = nullptr;
    end.fd = -1;
    end.got = {};
    end.from = 0;
    end.fin_sent = true;
    net_.Release(stream);
  };
  for (Slot& s : slots_) {
    for (auto [stream, side] : s.backlog)
      drop(stream, side);
    if (s.stream)
      drop(s.stream, s.side);
  }
  slots_.clear();
  alive_ = false;
}

// ---- the net

Net::Net(std::uint64_t seed, Ms start)
    : now_(start),
      random_engine_(
          static_cast<std::minstd_rand::result_type>(seed * 2654435761u % 2147483646u + 1)),
      hash_(std::make_unique<Hash>()) {}

Net::~Net() {
  for (auto& process : processes_)
    process->Die(false);
  // Streams still referred to by events go with the last of them.
  while (!queue_.empty()) {
    Event e = queue_.back();
    queue_.pop_back();
    if (e.stream) {
      --e.stream->pending;
      Release(e.stream);
    }
  }
}

bool Net::Later(const Event& a, const Event& b) {
  return a.at != b.at ? a.at > b.at : a.seq > b.seq;
}

void Net::Push(Event event) {
  event.seq = ++seq_;
  if (event.stream)
    ++event.stream->pending;
  queue_.push_back(event);
  std::push_heap(queue_.begin(), queue_.end(), Later);
}

void Net::at(Ms when, std::function<void()> what) {
  std::size_t at = calls_.size();
  if (free_calls_.empty())
    calls_.emplace_back();
  else {
    at = free_calls_.back();
    free_calls_.pop_back();
  }
  calls_[at] = std::move(what);
  Push({std::max(when, now_), 0, What::kCall, nullptr, 0, 0, nullptr, at});
}

void Net::RunUntil(Ms time) {
  while (!queue_.empty() && queue_.front().at <= time) {
    std::pop_heap(queue_.begin(), queue_.end(), Later);
    Event e = queue_.back();
    queue_.pop_back();
    now_ = std::max(now_, e.at);
    ++ran_;
    Handle(e);
    if (e.stream) {
      --e.stream->pending;
      Release(e.stream);
    }
  }
  now_ = std::max(now_, time);
}

double Net::Chance() {
  return static_cast<double>(random_engine_() - random_engine_.min()) / 2147483646.0;
}

std::size_t Net::part(std::size_t n) {
  if (choppy_ <= 0 || n <= 1 || Chance() >= choppy_)
    return n;
  return 1 + static_cast<std::size_t>(Chance() * static_cast<double>(n - 1));
}

int Net::SiteOf(std::uint32_t host) {
  return hosts_[host].site;
}
void Net::place(std::uint32_t host, int site) {
  hosts_[host].site = site;
}
void Net::Join(int from, int to, const Way& way) {
  this->way(from, to) = way;
}

Way& Net::way(int from, int to) {
  auto f = static_cast<std::size_t>(from), t = static_cast<std::size_t>(to);
  if (way_at_.size() <= f)
    way_at_.resize(f + 1);
  if (way_at_[f].size() <= t)
    way_at_[f].resize(t + 1);
  if (!way_at_[f][t])
    way_at_[f][t] = &ways_[{from, to}];
  return *way_at_[f][t];
}

void Net::SetCut(std::uint32_t host, bool in, bool out) {
  hosts_[host].cut_in = in;
  hosts_[host].cut_out = out;
}
void Net::SetApart(std::uint32_t from, std::uint32_t to, bool apart) {
  if (apart)
    apart_.insert({from, to});
  else
    apart_.erase({from, to});
}
void Net::SetLag(std::uint32_t host, Ms late) {
  hosts_[host].late = late;
}

bool Net::Blocked(std::uint32_t from, std::uint32_t to) {
  Host &a = hosts_[from], &b = hosts_[to];
  return a.cut_out || b.cut_in || way(a.site, b.site).cut;
}

Ms Net::Travel(std::uint32_t from, std::uint32_t to, std::size_t n) {
  Way& w = way(hosts_[from].site, hosts_[to].site);
  Ms takes = w.latency * (1 + w.jitter * Chance()) + hosts_[from].late + hosts_[to].late;
  if (w.kb_per_ms > 0)
    takes += static_cast<double>(n) / 1000 / w.kb_per_ms;
  return takes;
}

// Something goes to one end of a stream, after all that went there before.
void Net::Post(What what, Stream* stream, int side, std::size_t n) {
  End& there = stream->ends[side];
  std::uint32_t from = stream->ends[1 - side].host;
  Ms when = now_ + Travel(from, there.host, n);
  Way& w = way(hosts_[from].site, hosts_[there.host].site);
  if (w.lost > 0 && Chance() < w.lost)
    when += kSentAgainAfter;
  when = std::max(when, there.last_arrival);
  there.last_arrival = when;
  Push({when, 0, what, stream, side, n, nullptr, 0});
}

void Net::Release(Stream* stream) {
  if (stream->pending == 0 && stream->ends[0].fd < 0 && !stream->ends[0].open &&
      !stream->ends[1].open && stream->ends[1].fd < 0)
    delete stream;
}

void Net::note(const Event& e, const char* bytes, std::size_t n) {
  struct {
    Ms at;
    std::uint32_t what;
    std::uint32_t from;
    std::uint32_t to;
    std::uint32_t n;
  } head{e.at, static_cast<std::uint32_t>(e.what), 0, 0, static_cast<std::uint32_t>(n)};
  if (e.stream) {
    head.from = e.stream->ends[1 - e.side].host;
    head.to = e.stream->ends[e.side].host;
  }
  XXH3_64bits_update(hash_->state, &head, sizeof head);
  if (n > 0)
    XXH3_64bits_update(hash_->state, bytes, n);
}

std::uint64_t Net::Digest() const {
  return XXH3_64bits_digest(hash_->state);
}

void Net::Handle(const Event& e) {
  if (e.what == What::kCall) {
    std::function<void()> what = std::move(calls_[e.index]);
    calls_[e.index] = nullptr;
    free_calls_.push_back(e.index);
    return what();
  }
  if (e.what == What::kRun) {
    Process& p = *e.process;
    if (!p.alive_ || p.due_ != e.at || p.due_seq_ + 1 != e.seq)
      return;  // another run came in its place
    p.due_ = -1;
    if (p.still_ > now_)
      return p.Wake();
    return p.Run();
  }
  if (e.what == What::kDatagram) {
    Parcel parcel = std::move(parcels_[e.index]);
    free_parcels_.push_back(e.index);
    std::uint32_t from = ntohl(parcel.from.sin_addr.s_addr), to = ntohl(parcel.to.sin_addr.s_addr);
    if (Blocked(from, to))
      return;
    note(e, parcel.bytes.data(), parcel.bytes.size());
    auto& receivers = hosts_[to].receivers;
    auto at = receivers.find(ntohs(parcel.to.sin_port));
    if (at == receivers.end())
      return;
    auto [process, fd] = at->second;
    auto& waiting = process->slots_[static_cast<std::size_t>(fd)].datagrams;
    if (waiting.size() < kMostDatagrams)
      waiting.push_back({parcel.from, std::move(parcel.bytes)});
    return process->Wake();
  }
  Stream& s = *e.stream;
  End& here = s.ends[e.side];
  End& other = s.ends[1 - e.side];
  // What a cut holds up is sent again until it passes; what follows stays behind it.
  if (Blocked(other.host, here.host)) {
    Ms again = now_ + kSentAgainAfter;
    here.last_arrival = std::max(here.last_arrival, again);
    return Push({again, 0, e.what, e.stream, e.side, e.n, nullptr, 0});
  }
  Host& host = hosts_[here.host];
  if (host.silent && !here.owner)
    return;  // nobody there, and nobody says so
  switch (e.what) {
    case What::kSyn: {
      note(e, nullptr, 0);
      if (!other.open)
        return;  // its opener gave up
      auto at = host.listeners.find(ntohs(s.to.sin_port));
      if (at == host.listeners.end())
        return Post(What::kRefused, &s, 0);
      auto [process, fd] = at->second;
      auto& backlog = process->slots_[static_cast<std::size_t>(fd)].backlog;
      if (backlog.size() >= kMostBacklog) {  // as a kernel: the opener asks again
        return Push({now_ + 1000, 0, What::kSyn, &s, 1, 0, nullptr, 0});
      }
      here.owner = process;
      here.open = true;
      here.up = true;
      backlog.push_back({&s, 1});
      Post(What::kUp, &s, 0);
      return process->Wake();
    }
    case What::kUp:
    case What::kRefused:
      note(e, nullptr, 0);
      if (e.what == What::kUp)
        here.up = true;
      else
        here.fault = ECONNREFUSED;
      if (!here.open) {
        if (e.what == What::kUp)
          Post(What::kReset, &s, 1);  // nobody wants it any more
        return;
      }
      break;
    case What::kBytes: {
      std::size_t n = e.n;
      const char* bytes = here.coming.data() + here.from_coming;
      note(e, bytes, n);
      if (here.open) {
        here.got.append(bytes, n);
        here.last_bytes_at = now_;
      }
      here.from_coming += n;
      if (here.from_coming == here.coming.size()) {
        here.coming.clear();
        here.from_coming = 0;
      }
      if (here.from_coming > kWindow) {
        here.coming.erase(0, here.from_coming);
        here.from_coming = 0;
      }
      if (!here.open && !here.reset_came) {
        here.reset_came = true;
        return Post(What::kReset, &s, 1 - e.side);
      }
      break;
    }
    case What::kFin:
      // Bytes that a cut held up come first.
      if (here.InFlight() > 0)
        return Push({now_ + kSentAgainAfter, 0, e.what, e.stream, e.side, 0, nullptr, 0});
      note(e, nullptr, 0);
      here.fin_came = true;
      break;
    case What::kReset:
      note(e, nullptr, 0);
      here.reset_came = true;
      break;
    case What::kRoom:
      break;
    default:
      return;
  }
  if (here.owner)
    here.owner->Wake();
}

Process& Net::Start(std::uint32_t host, std::string name, std::size_t descriptors) {
  hosts_[host].silent = false;
  processes_.push_back(std::make_unique<Process>(*this, host, std::move(name), descriptors));
  return *processes_.back();
}

void Net::Kill(Process& process) {
  process.Die(true);
}
void Net::Vanish(Process& process) {
  process.Die(false);
}

}  // namespace dunlinwick::stage
