#include "peers/peers.hpp"

#include <algorithm>
#include <deque>
#include <vector>

#include "peers/wire.hpp"

namespace dunlinwick::peers {

namespace {
constexpr Ms each = 20, never = 1e300;
constexpr std::size_t answerEvery = 32;  // pieces
constexpr std::size_t mostOthers = 64;
constexpr std::size_t at(Channel c) { return static_cast<std::size_t>(c); }
}  // namespace

const char* word(Channel c) {
  constexpr const char* words[channels] = {"members", "owner", "quota", "recovery", "rules", "record"};
  return words[at(c)];
}
// Members and quota speak in what fits a datagram and is of no use late.
bool bearsLarge(Channel c) { return c != Channel::members && c != Channel::quota; }

struct Peers::Inner {
  // What goes to one peer on one channel.
  struct Out {
    std::deque<std::string> small;  // datagrams
    std::size_t smallBytes = 0;
    std::deque<std::string> large;  // the first is under way
    std::size_t largeBytes = 0;
    enum class Is : std::uint8_t { lacking, flying, had };
    std::vector<Is> is;
    std::deque<std::uint32_t> lacking;                   // to be sent, in order
    std::deque<std::pair<Ms, std::uint32_t>> flying;     // when sent; emptied after `again`
    std::size_t inFlight = 0, had = 0, best = 0;
    std::uint32_t message = 0;
    std::uint64_t digest = 0;
    Life life;
    Ms progressAt = 0;
    bool sendable(const Terms& t) const { return !small.empty() || (!lacking.empty() && inFlight < t.mostInFlight); }
  };
  // What comes from one peer on one channel.
  struct In {
    std::uint32_t message = 0;  // the latest begun; those before it are over
    bool active = false, done = false;
    std::string bytes;
    std::vector<bool> had;
    std::size_t count = 0, unanswered = 0;
    std::uint64_t digest = 0;
    std::uint32_t size = 0, begun = 0;
    Ms progressAt = 0, answeredAt = -1e9;
  };
  struct Peer {
    std::uint64_t incarnation = 0;  // 0: no piece has come yet
    Ms heardAt = 0;                 // of this incarnation
    std::array<Out, channels> out;
    std::array<In, channels> in;
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
  std::array<Bucket, channels> buckets;
  std::array<Id, channels> served{};  // the last peer served
  std::array<Counters, channels> counters{};
  std::map<Id, std::uint8_t> others;
  std::uint64_t junk = 0;
  std::size_t heldOut = 0, heldIn = 0, smallBytes = 0;
  Ms ticked;

  Inner(Id s, Terms t, std::uint64_t i, Ms now, Wire w, Deliver d, const Breaks& b)
      : self(s), terms(t), incarnation(i), wire(std::move(w)), deliver(std::move(d)), breaks(b), ticked(now) {
    for (std::size_t c = 0; c < channels; ++c) buckets[c] = {terms.budgets[c].burst, now};
  }

  Peer* peer(Id id) {
    auto found = peers.find(id);
    if (found != peers.end()) return &found->second;
    return peers.size() < terms.mostPeers ? &peers[id] : nullptr;
  }

  // ---- out

  // True: the channel may send now. A channel may overdraw by one datagram, and pays for it after.
  bool pays(Ms now, std::size_t c) {
    const Budget& b = terms.budgets[c];
    if (b.bytesPerS <= 0) return true;
    Bucket& k = buckets[c];
    if (now > k.at) k.tokens = std::min(b.burst, k.tokens + b.bytesPerS * (now - k.at) / 1000), k.at = now;
    return k.tokens > 0;
  }
  void put(Id to, std::size_t c, std::string datagram) {
    buckets[c].tokens -= static_cast<double>(datagram.size());
    ++counters[c].sent, counters[c].sentBytes += datagram.size();
    wire(to, std::move(datagram));
  }

  // The first of the large ones gets under way.
  void begin(Ms now, Out& o) {
    o.is.clear(), o.lacking.clear(), o.flying.clear(), o.inFlight = o.had = o.best = 0, o.life = {};
    if (o.large.empty()) return;
    ++o.message, o.progressAt = now;
    o.digest = digest(o.large.front());
    o.is.assign(pieces(o.large.front().size()), Out::Is::lacking);
    for (std::uint32_t i = 0; i < o.is.size(); ++i) o.lacking.push_back(i);
  }
  void over(Ms now, Out& o) {
    o.largeBytes -= o.large.front().size(), heldOut -= o.large.front().size();
    o.large.pop_front();
    begin(now, o);
  }
  void expire(Ms now, Out& o, std::size_t c) {
    while (!o.flying.empty() && o.flying.front().first + terms.again <= now) {
      std::uint32_t i = o.flying.front().second;
      o.flying.pop_front();
      if (o.is[i] != Out::Is::flying) continue;
      --o.inFlight;
      if (breaks.noResume) continue;
      o.is[i] = Out::Is::lacking, o.lacking.push_back(i);
      ++counters[c].sentAgain;
    }
    if (!o.large.empty() && now - o.progressAt > terms.giveUp) ++counters[c].givenUp, over(now, o);
  }
  void one(Ms now, Id to, Out& o, std::size_t c) {
    if (!o.small.empty()) {
      std::string d = std::move(o.small.front());
      o.small.pop_front();
      o.smallBytes -= d.size(), smallBytes -= d.size();
      return put(to, c, std::move(d));
    }
    std::uint32_t i = o.lacking.front();
    o.lacking.pop_front();
    if (o.is[i] != Out::Is::lacking) return;  // named as had while it waited
    o.is[i] = Out::Is::flying, o.flying.emplace_back(now, i), ++o.inFlight;
    const std::string& all = o.large.front();
    std::span<const char> part(all.data() + i * pieceBytes, std::min(pieceBytes, all.size() - i * pieceBytes));
    put(to, c, encode(static_cast<Channel>(c), self,
                      Piece{incarnation, o.message, static_cast<std::uint32_t>(all.size()), i, o.digest, part}));
  }
  // Peers in turn, a datagram each, while the budget bears it.
  void serve(Ms now, std::size_t c) {
    while (pays(now, c)) {
      auto sends = [&](auto& p) { return p.second.out[c].sendable(terms); };
      auto next = std::find_if(peers.upper_bound(served[c]), peers.end(), sends);
      if (next == peers.end()) next = std::find_if(peers.begin(), peers.end(), sends);
      if (next == peers.end()) return;
      served[c] = next->first;
      one(now, next->first, next->second.out[c], c);
    }
  }

  void named(Ms now, Out& o, std::size_t c, const Had& h) {
    if (h.incarnation != incarnation || o.large.empty() || h.message != o.message) return;  // of what is over
    if (h.pieces.empty()) return over(now, o);
    if (h.pieces.size() != o.is.size()) return void(++counters[c].junk);
    if (h.life < o.life && !breaks.oldLife) return;  // overtaken
    if (h.life > o.life && !breaks.oldLife) {
      if (o.life != Life{}) {  // whoever named pieces before has lost them
        if (h.life.first != o.life.first) o.best = 0;
        o.lacking.clear(), o.flying.clear(), o.inFlight = o.had = 0;
        std::fill(o.is.begin(), o.is.end(), Out::Is::lacking);
        for (std::uint32_t i = 0; i < o.is.size(); ++i) o.lacking.push_back(i);
      }
      o.life = h.life;
    }
    for (std::size_t i = 0; i < o.is.size(); ++i) {
      if (!h.pieces[i] || o.is[i] == Out::Is::had) continue;
      if (o.is[i] == Out::Is::flying) --o.inFlight;
      o.is[i] = Out::Is::had, ++o.had;
    }
    if (o.had > o.best) o.best = o.had, o.progressAt = now;
  }

  // ---- in

  void drop(In& in) {
    if (in.active) heldIn -= in.bytes.size();
    in.active = false;
    in.bytes = std::string(), in.had.clear(), in.count = 0;
  }
  void answer(Ms now, Id to, In& in, std::size_t c) {
    in.unanswered = 0, in.answeredAt = now;
    Had h{peers.at(to).incarnation, in.message, {incarnation, in.begun}, {}};
    if (!in.done) h.pieces = in.active ? in.had : std::vector<bool>(pieces(in.size));
    put(to, c, encode(static_cast<Channel>(c), self, h));
  }
  void owe(Ms now, Id to, In& in, std::size_t c) {
    if (++in.unanswered >= answerEvery || now - in.answeredAt >= terms.answerWithin) answer(now, to, in, c);
  }
  bool start(Peer& from, In& in, const Piece& p, std::size_t c) {
    std::size_t active = 0;
    for (In& other : from.in) active += other.active && &other != &in;
    if (in.active) ++counters[c].dropped;
    drop(in);
    if (p.size > terms.mostMessage || heldIn + p.size > terms.mostHeld || active >= terms.mostPartial) return false;
    in.message = p.message, in.digest = p.digest, in.size = p.size, in.done = false, in.active = true;
    ++in.begun;
    in.bytes.assign(p.size, 0), in.had.assign(pieces(p.size), false);
    heldIn += p.size;
    return true;
  }
  void came(Ms now, Id id, std::size_t c, const Piece& p) {
    Counters& n = counters[c];
    Peer* from = peer(id);
    if (!from) return void(++n.dropped);
    // A lower one after long silence is a new life as well, by a clock that was set back.
    bool silent = now - from->heardAt > terms.giveUp;
    if ((p.incarnation > from->incarnation || (p.incarnation < from->incarnation && silent)) && (!breaks.oldLife || from->incarnation == 0)) {
      for (In& in : from->in) {
        if (in.active) ++n.dropped;
        drop(in);
        in.message = 0, in.done = false, in.unanswered = 0;
      }
      from->incarnation = p.incarnation;
    }
    if (p.incarnation < from->incarnation && !breaks.oldLife) return void(++n.dropped);
    from->heardAt = now;
    In& in = from->in[c];
    if (p.message < in.message) return void(++n.dropped);
    bool same = p.message == in.message && p.digest == in.digest && p.size == in.size;
    if (same && in.done) return owe(now, id, in, c);
    if ((!same || !in.active) && !start(*from, in, p, c)) return void(++n.dropped);
    if (!in.had[p.index]) {
      in.had[p.index] = true, ++in.count, in.progressAt = now;
      std::copy(p.bytes.begin(), p.bytes.end(), in.bytes.begin() + static_cast<std::ptrdiff_t>(p.index * pieceBytes));
    }
    if (in.count < in.had.size()) return owe(now, id, in, c);
    if (!breaks.noDigest && digest(in.bytes) != in.digest) {
      ++n.junk;
      drop(in);
      ++in.begun;
      return answer(now, id, in, c);  // nothing of it is had
    }
    std::string whole = std::move(in.bytes);
    heldIn -= whole.size();
    in.active = false, in.done = true, in.had.clear(), in.bytes = std::string();
    answer(now, id, in, c);
    ++n.delivered;
    deliver(id, static_cast<Channel>(c), whole);
  }
};

Peers::Peers(Id self, Terms terms, std::uint64_t incarnation, Ms now, Wire wire, Deliver deliver)
    : inner_(std::make_unique<Inner>(self, terms, incarnation, now, std::move(wire), std::move(deliver), breaks)) {}
Peers::~Peers() = default;

bool Peers::send(Ms now, Id to, Channel channel, std::string message) {
  Inner& in = *inner_;
  std::size_t c = at(channel);
  if (to == 0 || to == in.self || message.size() > in.terms.mostMessage) return false;
  if (message.size() > mostInDatagram && !bearsLarge(channel)) return false;
  Inner::Peer* peer = in.peer(to);
  if (!peer) return false;
  Inner::Out& o = peer->out[c];
  if (message.size() > mostInDatagram) {
    if (o.largeBytes + message.size() > in.terms.mostMessage || in.heldOut + message.size() > in.terms.mostHeld) return false;
    o.largeBytes += message.size(), in.heldOut += message.size();
    o.large.push_back(std::move(message));
    if (o.large.size() == 1) in.begin(now, o);
  } else {
    o.small.push_back(encode(channel, in.self, Kind::whole, message));
    o.smallBytes += o.small.back().size(), in.smallBytes += o.small.back().size();
    while (o.smallBytes > in.terms.mostQueued) {
      ++in.counters[c].dropped;
      o.smallBytes -= o.small.front().size(), in.smallBytes -= o.small.front().size();
      o.small.pop_front();
    }
  }
  if (!breaks.bulkFirst) in.serve(now, c);
  return true;
}

void Peers::receive(Ms now, std::span<const char> datagram) {
  Inner& in = *inner_;
  auto h = head(datagram);
  if (!h || h->from == 0 || h->from == in.self) return void(++in.junk);
  auto named = static_cast<unsigned char>(datagram[3]);
  if (h->version != version && !breaks.noVersion) {
    ++in.counters[named < channels ? named : 0].otherVersion;
    if (in.others.size() < mostOthers || in.others.count(h->from)) in.others[h->from] = h->version;
    return;
  }
  auto f = frame(datagram, !breaks.noCheck);
  if (!f) return void(++(named < channels ? in.counters[named].junk : in.junk));
  in.others.erase(f->from);
  std::size_t c = at(f->channel);
  Counters& n = in.counters[c];
  if (f->kind != Kind::whole && !bearsLarge(f->channel)) return void(++n.junk);
  if (f->kind == Kind::whole) {
    ++n.received, ++n.delivered;
    return in.deliver(f->from, f->channel, f->body);
  }
  if (f->kind == Kind::piece) {
    auto p = piece(f->body);
    if (!p) return void(++n.junk);
    ++n.received;
    return in.came(now, f->from, c, *p);
  }
  auto a = had(f->body);
  if (!a) return void(++n.junk);
  ++n.received;
  auto found = in.peers.find(f->from);
  if (found == in.peers.end()) return;
  in.named(now, found->second.out[c], c, *a);
  in.serve(now, c);  // what was answered makes room for more
}

void Peers::tick(Ms now) {
  Inner& in = *inner_;
  in.ticked = std::max(in.ticked, now);
  for (std::size_t i = 0; i < channels; ++i) {
    std::size_t c = breaks.bulkFirst ? channels - 1 - i : i;
    for (auto& [id, p] : in.peers) {
      in.expire(now, p.out[c], c);
      Inner::In& from = p.in[c];
      if (from.active && now - from.progressAt > in.terms.giveUp) ++in.counters[c].dropped, in.drop(from), from.unanswered = 0;
      if (from.unanswered > 0 && now - from.answeredAt >= in.terms.answerWithin) in.answer(now, id, from, c);
    }
    in.serve(now, c);
  }
}

Ms Peers::wakeAt() const {
  const Inner& in = *inner_;
  Ms first = never;
  for (const auto& [id, p] : in.peers)
    for (std::size_t c = 0; c < channels; ++c) {
      if (!p.out[c].small.empty() || !p.out[c].large.empty() || p.in[c].unanswered > 0) return in.ticked + each;  // not from the last event: those may come so often that it would never be
      if (p.in[c].active) first = std::min(first, p.in[c].progressAt + in.terms.giveUp + each);
    }
  return first;
}

const Counters& Peers::counters(Channel channel) const { return inner_->counters[at(channel)]; }
std::uint64_t Peers::junk() const { return inner_->junk; }
std::map<Id, std::uint8_t> Peers::others() const { return inner_->others; }
std::size_t Peers::held() const { return inner_->smallBytes + inner_->heldOut + inner_->heldIn; }

}  // namespace dunlinwick::peers
