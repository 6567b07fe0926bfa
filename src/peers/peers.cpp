#include "peers/peers.hpp"

#include <algorithm>
#include <deque>
#include <vector>

#include "peers/wire.hpp"

namespace dunlinwick::peers {

namespace {
constexpr Ms kEach = 20, kNever = 1e300;
constexpr std::size_t kAnswerEvery = 32;  // pieces
constexpr std::size_t kMostOthers = 64;
constexpr std::size_t At(Channel c) {
  return static_cast<std::size_t>(c);
}
}  // namespace

const char* ToString(Channel c) {
  constexpr const char* kWords[kChannels] = {"members",  "owner", "quota",
                                             "recovery", "rules", "record"};
  return kWords[At(c)];
}
// Members and quota speak in what fits a datagram and is of no use late.
bool BearsLarge(Channel c) {
  return c != Channel::kMembers && c != Channel::kQuota;
}

struct Peers::Inner {
  // What goes to one peer on one channel.
  struct Out {
    std::deque<std::string> small;  // datagrams
    std::size_t small_bytes = 0;
    std::deque<std::string> large;  // the first is under way
    std::size_t large_bytes = 0;
    enum class Is : std::uint8_t {
      kLacking,
      kFlying,
      kHad
    };
    std::vector<Is> is;
    std::deque<std::uint32_t> lacking;                // to be sent, in order
    std::deque<std::pair<Ms, std::uint32_t>> flying;  // when sent; emptied after `again`
    std::size_t in_flight = 0;
    std::size_t had = 0;
    std::size_t best = 0;
    std::uint32_t message = 0;
    std::uint64_t digest = 0;
    Life life;
    Ms progress_at = 0;
    bool Sendable(const Terms& t) const {
      return !small.empty() || (!lacking.empty() && in_flight < t.most_in_flight);
    }
  };
  // What comes from one peer on one channel.
  struct In {
    std::uint32_t message = 0;  // the latest begun; those before it are over
    bool active = false;
    bool done = false;
    std::string bytes;
    std::vector<bool> had;
    std::size_t count = 0;
    std::size_t unanswered = 0;
    std::uint64_t digest = 0;
    std::uint32_t size = 0;
    std::uint32_t begun = 0;
    Ms progress_at = 0;
    Ms answered_at = -1e9;
  };
  struct Peer {
    std::uint64_t incarnation = 0;  // 0: no piece has come yet
    Ms heard_at = 0;                // of this incarnation
    std::array<Out, kChannels> out;
    std::array<In, kChannels> in;
  };
  struct Bucket {
    double tokens = 0;
    Ms at = 0;
  };

  Id self;
  Terms terms;
  std::uint64_t incarnation;
  Wire wire;
  Deliver deliver;
  const Breaks& breaks;
  std::map<Id, Peer> peers;  // at most mostPeers
  std::array<Bucket, kChannels> buckets;
  std::array<Id, kChannels> served{};  // the last peer served
  std::array<Counters, kChannels> counters{};
  std::map<Id, std::uint8_t> others;
  std::uint64_t junk = 0;
  std::size_t held_out = 0;
  std::size_t held_in = 0;
  std::size_t small_bytes = 0;
  Ms ticked;

  Inner(Id s, Terms t, std::uint64_t i, Ms now, Wire w, Deliver d, const Breaks& b)
      : self(s),
        terms(t),
        incarnation(i),
        wire(std::move(w)),
        deliver(std::move(d)),
        breaks(b),
        ticked(now) {
    for (std::size_t c = 0; c < kChannels; ++c)
      buckets[c] = {terms.budgets[c].burst, now};
  }

  Peer* peer(Id id) {
    auto found = peers.find(id);
    if (found != peers.end())
      return &found->second;
    return peers.size() < terms.most_peers ? &peers[id] : nullptr;
  }

  // ---- out

  // True: the channel may send now. A channel may overdraw by one datagram, and pays for it after.
  bool Pays(Ms now, std::size_t c) {
    const Budget& b = terms.budgets[c];
    if (b.bytes_per_s <= 0)
      return true;
    Bucket& k = buckets[c];
    if (now > k.at) {
      k.tokens = std::min(b.burst, k.tokens + b.bytes_per_s * (now - k.at) / 1000);
      k.at = now;
    }
    return k.tokens > 0;
  }
  void Put(Id to, std::size_t c, std::string datagram) {
    buckets[c].tokens -= static_cast<double>(datagram.size());
    ++counters[c].sent;
    counters[c].sent_bytes += datagram.size();
    wire(to, std::move(datagram));
  }

  // The first of the large ones gets under way.
  void begin(Ms now, Out& o) {
    o.is.clear();
    o.lacking.clear();
    o.flying.clear();
    o.in_flight = o.had = o.best = 0;
    o.life = {};
    if (o.large.empty())
      return;
    ++o.message;
    o.progress_at = now;
    o.digest = Digest(o.large.front());
    o.is.assign(Pieces(o.large.front().size()), Out::Is::kLacking);
    for (std::uint32_t i = 0; i < o.is.size(); ++i)
      o.lacking.push_back(i);
  }
  void Over(Ms now, Out& o) {
    o.large_bytes -= o.large.front().size();
    held_out -= o.large.front().size();
    o.large.pop_front();
    begin(now, o);
  }
  void Expire(Ms now, Out& o, std::size_t c) {
    while (!o.flying.empty() && o.flying.front().first + terms.again <= now) {
      std::uint32_t i = o.flying.front().second;
      o.flying.pop_front();
      if (o.is[i] != Out::Is::kFlying)
        continue;
      --o.in_flight;
      if (breaks.no_resume)
        continue;
      o.is[i] = Out::Is::kLacking;
      o.lacking.push_back(i);
      ++counters[c].sent_again;
    }
    if (!o.large.empty() && now - o.progress_at > terms.give_up) {
      ++counters[c].given_up;
      Over(now, o);
    }
  }
  void One(Ms now, Id to, Out& o, std::size_t c) {
    if (!o.small.empty()) {
      std::string d = std::move(o.small.front());
      o.small.pop_front();
      o.small_bytes -= d.size();
      small_bytes -= d.size();
      return Put(to, c, std::move(d));
    }
    std::uint32_t i = o.lacking.front();
    o.lacking.pop_front();
    if (o.is[i] != Out::Is::kLacking)
      return;  // named as had while it waited
    o.is[i] = Out::Is::kFlying;
    o.flying.emplace_back(now, i);
    ++o.in_flight;
    const std::string& all = o.large.front();
    std::span<const char> part(all.data() + i * kPieceBytes,
                               std::min(kPieceBytes, all.size() - i * kPieceBytes));
    Put(to, c,
        Encode(static_cast<Channel>(c), self,
               Piece{incarnation, o.message, static_cast<std::uint32_t>(all.size()), i, o.digest,
                     part}));
  }
  // Peers in turn, a datagram each, while the budget bears it.
  void Serve(Ms now, std::size_t c) {
    while (Pays(now, c)) {
      auto sends = [&](auto& p) {
        return p.second.out[c].Sendable(terms);
      };
      auto next = std::find_if(peers.upper_bound(served[c]), peers.end(), sends);
      if (next == peers.end())
        next = std::find_if(peers.begin(), peers.end(), sends);
      if (next == peers.end())
        return;
      served[c] = next->first;
      One(now, next->first, next->second.out[c], c);
    }
  }

  void Named(Ms now, Out& o, std::size_t c, const Had& h) {
    if (h.incarnation != incarnation || o.large.empty() || h.message != o.message)
      return;  // of what is over
    if (h.pieces.empty())
      return Over(now, o);
    if (h.pieces.size() != o.is.size())
      return void(++counters[c].junk);
    if (h.life < o.life && !breaks.old_life)
      return;  // overtaken
    if (h.life > o.life && !breaks.old_life) {
      if (o.life != Life{}) {  // whoever named pieces before has lost them
        if (h.life.first != o.life.first)
          o.best = 0;
        o.lacking.clear();
        o.flying.clear();
        o.in_flight = o.had = 0;
        std::fill(o.is.begin(), o.is.end(), Out::Is::kLacking);
        for (std::uint32_t i = 0; i < o.is.size(); ++i)
          o.lacking.push_back(i);
      }
      o.life = h.life;
    }
    for (std::size_t i = 0; i < o.is.size(); ++i) {
      if (!h.pieces[i] || o.is[i] == Out::Is::kHad)
        continue;
      if (o.is[i] == Out::Is::kFlying)
        --o.in_flight;
      o.is[i] = Out::Is::kHad;
      ++o.had;
    }
    if (o.had > o.best) {
      o.best = o.had;
      o.progress_at = now;
    }
  }

  // ---- in

  void Drop(In& in) {
    if (in.active)
      held_in -= in.bytes.size();
    in.active = false;
    in.bytes = std::string();
    in.had.clear();
    in.count = 0;
  }
  void answer(Ms now, Id to, In& in, std::size_t c) {
    in.unanswered = 0;
    in.answered_at = now;
    Had h{peers.at(to).incarnation, in.message, {incarnation, in.begun}, {}};
    if (!in.done)
      h.pieces = in.active ? in.had : std::vector<bool>(Pieces(in.size));
    Put(to, c, Encode(static_cast<Channel>(c), self, h));
  }
  void Owe(Ms now, Id to, In& in, std::size_t c) {
    if (++in.unanswered >= kAnswerEvery || now - in.answered_at >= terms.answer_within)
      answer(now, to, in, c);
  }
  bool Start(Peer& from, In& in, const Piece& p, std::size_t c) {
    std::size_t active = 0;
    for (In& other : from.in)
      active += other.active && &other != &in;
    if (in.active)
      ++counters[c].dropped;
    Drop(in);
    if (p.size > terms.most_message || held_in + p.size > terms.most_held ||
        active >= terms.most_partial)
      return false;
    in.message = p.message;
    in.digest = p.digest;
    in.size = p.size;
    in.done = false;
    in.active = true;
    ++in.begun;
    in.bytes.assign(p.size, 0);
    in.had.assign(Pieces(p.size), false);
    held_in += p.size;
    return true;
  }
  void Came(Ms now, Id id, std::size_t c, const Piece& p) {
    Counters& n = counters[c];
    Peer* from = peer(id);
    if (!from)
      return void(++n.dropped);
    // A lower one after long silence is a new life as well, by a clock that was set back.
    bool silent = now - from->heard_at > terms.give_up;
    if ((p.incarnation > from->incarnation || (p.incarnation < from->incarnation && silent)) &&
        (!breaks.old_life || from->incarnation == 0)) {
      for (In& in : from->in) {
        if (in.active)
          ++n.dropped;
        Drop(in);
        in.message = 0;
        in.done = false;
        in.unanswered = 0;
      }
      from->incarnation = p.incarnation;
    }
    if (p.incarnation < from->incarnation && !breaks.old_life)
      return void(++n.dropped);
    from->heard_at = now;
    In& in = from->in[c];
    if (p.message < in.message)
      return void(++n.dropped);
    bool same = p.message == in.message && p.digest == in.digest && p.size == in.size;
    if (same && in.done)
      return Owe(now, id, in, c);
    if ((!same || !in.active) && !Start(*from, in, p, c))
      return void(++n.dropped);
    if (!in.had[p.index]) {
      in.had[p.index] = true;
      ++in.count;
      in.progress_at = now;
      std::copy(p.bytes.begin(), p.bytes.end(),
                in.bytes.begin() + static_cast<std::ptrdiff_t>(p.index * kPieceBytes));
    }
    if (in.count < in.had.size())
      return Owe(now, id, in, c);
    if (!breaks.no_digest && Digest(in.bytes) != in.digest) {
      ++n.junk;
      Drop(in);
      ++in.begun;
      return answer(now, id, in, c);  // nothing of it is had
    }
    std::string whole = std::move(in.bytes);
    held_in -= whole.size();
    in.active = false;
    in.done = true;
    in.had.clear();
    in.bytes = std::string();
    answer(now, id, in, c);
    ++n.delivered;
    deliver(id, static_cast<Channel>(c), whole);
  }
};

Peers::Peers(Id self, Terms terms, std::uint64_t incarnation, Ms now, Wire wire, Deliver deliver)
    : inner_(std::make_unique<Inner>(self, terms, incarnation, now, std::move(wire),
                                     std::move(deliver), breaks)) {}
Peers::~Peers() = default;

bool Peers::Send(Ms now, Id to, Channel channel, std::string message) {
  Inner& in = *inner_;
  std::size_t c = At(channel);
  if (to == 0 || to == in.self || message.size() > in.terms.most_message)
    return false;
  if (message.size() > kMostInDatagram && !BearsLarge(channel))
    return false;
  Inner::Peer* peer = in.peer(to);
  if (!peer)
    return false;
  Inner::Out& o = peer->out[c];
  if (message.size() > kMostInDatagram) {
    if (o.large_bytes + message.size() > in.terms.most_message ||
        in.held_out + message.size() > in.terms.most_held)
      return false;
    o.large_bytes += message.size();
    in.held_out += message.size();
    o.large.push_back(std::move(message));
    if (o.large.size() == 1)
      in.begin(now, o);
  } else {
    o.small.push_back(Encode(channel, in.self, Kind::kWhole, message));
    o.small_bytes += o.small.back().size();
    in.small_bytes += o.small.back().size();
    while (o.small_bytes > in.terms.most_queued) {
      ++in.counters[c].dropped;
      o.small_bytes -= o.small.front().size();
      in.small_bytes -= o.small.front().size();
      o.small.pop_front();
    }
  }
  if (!breaks.bulk_first)
    in.Serve(now, c);
  return true;
}

void Peers::Receive(Ms now, std::span<const char> datagram) {
  Inner& in = *inner_;
  auto h = ReadHead(datagram);
  if (!h || h->from == 0 || h->from == in.self)
    return void(++in.junk);
  auto named = static_cast<unsigned char>(datagram[3]);
  if (h->version != kVersion && !breaks.no_version) {
    ++in.counters[named < kChannels ? named : 0].other_version;
    if (in.others.size() < kMostOthers || in.others.count(h->from))
      in.others[h->from] = h->version;
    return;
  }
  auto f = ReadFrame(datagram, !breaks.no_check);
  if (!f)
    return void(++(named < kChannels ? in.counters[named].junk : in.junk));
  in.others.erase(f->from);
  std::size_t c = At(f->channel);
  Counters& n = in.counters[c];
  if (f->kind != Kind::kWhole && !BearsLarge(f->channel))
    return void(++n.junk);
  if (f->kind == Kind::kWhole) {
    ++n.received;
    ++n.delivered;
    return in.deliver(f->from, f->channel, f->body);
  }
  if (f->kind == Kind::kPiece) {
    auto p = ReadPiece(f->body);
    if (!p)
      return void(++n.junk);
    ++n.received;
    return in.Came(now, f->from, c, *p);
  }
  auto a = ReadHad(f->body);
  if (!a)
    return void(++n.junk);
  ++n.received;
  auto found = in.peers.find(f->from);
  if (found == in.peers.end())
    return;
  in.Named(now, found->second.out[c], c, *a);
  in.Serve(now, c);  // what was answered makes room for more
}

void Peers::Tick(Ms now) {
  Inner& in = *inner_;
  in.ticked = std::max(in.ticked, now);
  for (std::size_t i = 0; i < kChannels; ++i) {
    std::size_t c = breaks.bulk_first ? kChannels - 1 - i : i;
    for (auto& [id, p] : in.peers) {
      in.Expire(now, p.out[c], c);
      Inner::In& from = p.in[c];
      if (from.active && now - from.progress_at > in.terms.give_up) {
        ++in.counters[c].dropped;
        in.Drop(from);
        from.unanswered = 0;
      }
      if (from.unanswered > 0 && now - from.answered_at >= in.terms.answer_within)
        in.answer(now, id, from, c);
    }
    in.Serve(now, c);
  }
}

Ms Peers::WakeAt() const {
  const Inner& in = *inner_;
  Ms first = kNever;
  for (const auto& [id, p] : in.peers)
    for (std::size_t c = 0; c < kChannels; ++c) {
      if (!p.out[c].small.empty() || !p.out[c].large.empty() || p.in[c].unanswered > 0)
        return in.ticked +
               kEach;  // not from the last event: those may come so often that it would never be
      if (p.in[c].active)
        first = std::min(first, p.in[c].progress_at + in.terms.give_up + kEach);
    }
  return first;
}

const Counters& Peers::counters(Channel channel) const {
  return inner_->counters[At(channel)];
}
std::uint64_t Peers::Junk() const {
  return inner_->junk;
}
std::map<Id, std::uint8_t> Peers::Others() const {
  return inner_->others;
}
std::size_t Peers::Held() const {
  return inner_->small_bytes + inner_->held_out + inner_->held_in;
}

}  // namespace dunlinwick::peers
