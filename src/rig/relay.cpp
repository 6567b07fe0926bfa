#include "rig/relay.hpp"

#include <arpa/inet.h>
#include <poll.h>

#include <algorithm>
#include <deque>
#include <stdexcept>
#include <string>

namespace dunlinwick::fleet {

constexpr std::size_t kMostFronts = 64, kMostCaches = 64, kMostHeld = 10000;

struct Relay::Face final : loop::Handler {
  Relay* relay = nullptr;
  std::size_t from = 0;
  std::size_t to = 0;
  loop::Descriptor fd;
  loop::Ms busy_until = 0;  // of its bandwidth
  void OnReady(short) override {
    relay->Pass(*this);
  }
};

// One direction of a stream: what came is sent on in order, each piece when its delay and the
// bandwidth allow.
struct Relay::Way final : loop::Connection::Owner {
  Stream& stream;
  Fault& fault;
  std::unique_ptr<loop::Connection> from;
  Way* other = nullptr;
  std::deque<std::pair<loop::Ms, std::string>> held;  // when due
  loop::Ms last = 0;
  bool over = false;
  Way(Stream& s, Fault& f) : stream(s), fault(f) {}
  void OnBytesReceived() override {
    Take();
  }
  void OnDisconnected(loop::DisconnectReason) override {
    Take();
    over = true;
    from->Close();
  }
  void Take();
};
struct Relay::Stream {
  Relay& relay;
  Way to_cache;
  Way from_cache;
  Stream(Relay& r, Fault& to, Fault& back)
      : relay(r), to_cache(*this, to), from_cache(*this, back) {
    to_cache.other = &from_cache;
    from_cache.other = &to_cache;
  }
};

void Relay::Way::Take() {
  constexpr std::size_t kMostPieces = 256;
  Relay& r = stream.relay;
  if (fault.Cut() || held.size() >= kMostPieces || from->in.size() == 0)
    return;  // read no further: it waits
  std::uniform_real_distribution<double> unit(0, 1);
  std::string bytes(from->in.bytes());
  from->in.Consume(bytes.size());
  constexpr loop::Ms kResent = 200;
  loop::Ms due = r.loop_.now() + fault.delay + fault.jitter * unit(r.random_) +
                 (unit(r.random_) < fault.loss ? kResent : 0);
  due = std::max(due, last);
  if (fault.kb_per_s > 0)
    due += static_cast<double>(bytes.size()) / fault.kb_per_s;
  last = due;
  if (due <= r.loop_.now() && held.empty()) {
    if (other->from && !other->over)
      other->from->Send(std::move(bytes));
  } else {
    held.emplace_back(due, std::move(bytes));
  }
}

loop::Address Relay::face(std::size_t from, std::size_t to, std::uint16_t port) {
  loop::Address a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(127u << 24 | static_cast<std::uint32_t>(100 + from));
  a.sin_port = htons(static_cast<std::uint16_t>(port + to));
  return a;
}

Relay::Relay(loop::Loop& loop, std::vector<loop::Address> fronts, std::vector<loop::Address> caches,
             std::uint16_t port, std::uint64_t seed)
    : loop_(loop),
      fronts_(std::move(fronts)),
      caches_(std::move(caches)),
      random_(static_cast<unsigned>(seed)) {
  std::size_t n = fronts_.size();
  if (n > kMostFronts || caches_.size() > kMostCaches)
    throw std::runtime_error("the relay takes 64 fronts and 64 caches at most");
  faults_.assign(n * n, Fault{});
  cache_faults_.assign(2 * n * caches_.size(), Fault{});
  for (std::size_t i = 0; i < n; ++i)
    for (std::size_t j = 0; j < n; ++j) {
      if (i == j)
        continue;
      auto f = std::make_unique<Face>();
      f->relay = this;
      f->from = i;
      f->to = j;
      int fd = loop_.environment().OpenDatagrams(face(i, j, port));
      if (fd < 0)
        throw std::runtime_error("the relay's face " + std::to_string(i) + " to " +
                                 std::to_string(j) + " cannot be had: errno " +
                                 std::to_string(-fd));
      f->fd = loop::Descriptor(loop_.environment(), fd);
      loop_.WatchDescriptor(fd, *f, POLLIN);
      faces_.push_back(std::move(f));
    }
  for (std::size_t i = 0; i < n; ++i)
    for (std::size_t c = 0; c < caches_.size(); ++c)
      listeners_.push_back(std::make_unique<loop::Listener>(
          loop_, face(i, c, port), [this, i, c](loop::Descriptor fd) {
            constexpr loop::Ms kWithin = 2000;
            auto s = std::make_shared<Stream>(*this, ToCache(i, c), FromCache(i, c));
            s->to_cache.from =
                std::make_unique<loop::Connection>(loop_, s->to_cache, std::move(fd));
            s->from_cache.from =
                std::make_unique<loop::Connection>(loop_, s->from_cache, caches_[c], kWithin);
            streams_.push_back(std::move(s));
          }));
  if (!caches_.empty())
    Sweep();
}

Relay::~Relay() {
  loop_.Cancel(sweep_);
  for (auto& f : faces_)
    loop_.Unwatch(f->fd.Get());
}

// Held bytes that are due go on, what waited behind a cut is taken up, and a stream with one end
// over ends.
void Relay::Sweep() {
  constexpr loop::Ms kEvery = 2;
  for (auto& s : streams_)
    for (Way* w : {&s->to_cache, &s->from_cache}) {
      while (!w->held.empty() && w->held.front().first <= loop_.now() && !w->fault.Cut()) {
        if (!w->other->over)
          w->other->from->Send(std::move(w->held.front().second));
        w->held.pop_front();
      }
      if (!w->over)
        w->Take();
    }
  for (auto& s : streams_)
    for (Way* w : {&s->to_cache, &s->from_cache})
      if (w->over && !w->other->over && w->held.empty() && !w->fault.Cut() &&
          w->other->from->IsSendQueueEmpty()) {
        w->other->from->Close();
        w->other->over = true;
      }
  std::erase_if(streams_, [&](auto& s) {
    if (!s->to_cache.over || !s->from_cache.over)
      return false;
    loop_.DeferDelete(s);
    return true;
  });
  sweep_ = loop_.RunAt(loop_.now() + kEvery, [this] { Sweep(); });
}

void Relay::CutAround(const std::vector<std::size_t>& group, bool one_way_out, int by) {
  std::vector<bool> in(fronts_.size(), false);
  for (std::size_t i : group)
    in.at(i) = true;
  for (std::size_t a = 0; a < fronts_.size(); ++a)
    for (std::size_t b = 0; b < fronts_.size(); ++b)
      if ((in[a] && !in[b]) || (!one_way_out && !in[a] && in[b]))
        link(a, b).cuts += by;
}
void Relay::HealAll() {
  for (Fault& f : faults_)
    f = Fault{};
  for (Fault& f : cache_faults_)
    f = Fault{};
}
void Relay::Everywhere(const Fault& f) {
  for (Fault& one : faults_) {
    int cuts = one.cuts;
    one = f;
    one.cuts = cuts;
  }
}

void Relay::Pass(Face& face) {
  constexpr int kMostATurn = 64;
  std::uniform_real_distribution<double> unit(0, 1);
  char buffer[2048];
  for (int i = 0; i < kMostATurn; ++i) {
    loop::Address from{};
    ssize_t got = loop_.environment().ReceiveFrom(face.fd.Get(), buffer, from);
    if (got < 0)
      return;
    const Fault& f = link(face.from, face.to);
    loop::Ms now = loop_.now(), waits = 0;
    constexpr loop::Ms kLongestQueue = 1000;
    if (f.kb_per_s > 0) {
      face.busy_until = std::max(face.busy_until, now) + static_cast<double>(got) / f.kb_per_s;
      waits = face.busy_until - now;
      if (waits > kLongestQueue)
        face.busy_until -= static_cast<double>(got) / f.kb_per_s;
    }
    if (f.Cut() || waits > kLongestQueue || unit(random_) < f.loss) {
      ++dropped_;
      continue;
    }
    int copies = 1 + (unit(random_) < f.duplicate);
    std::string bytes(buffer, static_cast<std::size_t>(got));
    for (int c = 0; c < copies; ++c) {
      constexpr loop::Ms kLate = 20;  // a reordered one comes after what was sent within so long
      double after =
          waits + f.delay + f.jitter * unit(random_) + (unit(random_) < f.reorder ? kLate : 0);
      ++passed_;
      if (after <= 0) {
        loop_.environment().SendTo(face.fd.Get(), bytes, fronts_[face.to]);
        continue;
      }
      if (held_ >= kMostHeld) {
        ++dropped_;
        continue;
      }
      ++held_;
      Face* through = &face;
      loop_.RunAt(loop_.now() + after, [this, through, bytes] {
        --held_;
        loop_.environment().SendTo(through->fd.Get(), bytes, fronts_[through->to]);
      });
    }
  }
}

}  // namespace dunlinwick::fleet
