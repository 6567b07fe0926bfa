#include "record/subscribers.hpp"

#include <xxhash.h>

#include <algorithm>
#include <random>

#include "record/wire.hpp"

namespace dunlinwick::record {

namespace {
constexpr std::size_t mostPositions = 65536;
std::size_t sizeOf(const Entry& e) { return e.key.size() + e.value.size() + 40; }
}  // namespace

std::uint64_t digest(const Piece& p) {
  std::string bytes;
  auto number = [&](std::uint64_t v) {
    for (int k = 0; k < 8; ++k) bytes.push_back(static_cast<char>(v >> (8 * k)));
  };
  number(p.number), number(p.after), number(p.upTo), number(p.committed), number(p.snapshot);
  number(p.forgotten), number(p.age), number(p.startOver);
  for (const Entry& e : p.entries) number(digest(e));
  return XXH64(bytes.data(), bytes.size(), 1);
}

std::string encode(const Saying& s) {
  proto::record::Message m;
  if (const auto* w = std::get_if<Want>(&s)) {
    auto* to = m.mutable_want();
    to->set_subscriber(w->subscriber), to->set_life(w->life), to->set_number(w->number), to->set_after(w->after);
    to->set_streams(w->streams), to->set_clean(w->clean);
  } else if (const auto* p = std::get_if<Piece>(&s)) {
    auto* to = m.mutable_piece();
    to->set_number(p->number), to->set_after(p->after), to->set_up_to(p->upTo), to->set_committed(p->committed);
    to->set_snapshot(p->snapshot), to->set_forgotten(p->forgotten), to->set_age(p->age), to->set_start_over(p->startOver), to->set_digest(p->digest);
    for (const Entry& e : p->entries) toWire(e, to->add_entries());
  } else {
    auto* to = m.mutable_lease();
    for (const auto& [id, offset] : std::get<Lease>(s).positions) {
      auto* one = to->add_positions();
      one->set_subscriber(id), one->set_offset(offset);
    }
  }
  return m.SerializeAsString();
}

std::optional<Saying> decodeSaying(std::span<const char> bytes) {
  proto::record::Message m;
  if (bytes.size() > (1u << 20) || !m.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  if (m.has_want()) {
    const auto& w = m.want();
    if (w.subscriber() == 0 || w.number() == 0 || w.streams() == 0) return std::nullopt;
    return Want{w.subscriber(), w.life(), w.number(), w.after(), w.streams(), w.clean()};
  }
  if (m.has_piece()) {
    const auto& w = m.piece();
    Piece p;
    p.number = w.number(), p.after = w.after(), p.upTo = w.up_to(), p.committed = w.committed(), p.snapshot = w.snapshot();
    p.forgotten = w.forgotten(), p.age = w.age(), p.startOver = w.start_over(), p.digest = w.digest();
    for (const auto& one : w.entries()) {
      auto e = fromWire(one);
      if (!e) return std::nullopt;
      p.entries.push_back(std::move(*e));
    }
    return p;
  }
  if (m.has_lease()) {
    if (m.lease().positions_size() > static_cast<int>(mostPositions)) return std::nullopt;
    Lease l;
    for (const auto& one : m.lease().positions()) l.positions.emplace_back(one.subscriber(), one.offset());
    return l;
  }
  return std::nullopt;
}

// ---- a keeper's side

struct Server::Inner {
  struct One {
    std::uint64_t life = 0, number = 0;
    Offset position = 0, snapshot = 0;
    Ms until = 0;
  };
  Log& log;
  SubscriberTerms terms;
  std::map<std::uint64_t, One> all;

  void empty(Ms now) {
    for (auto i = all.begin(); i != all.end();) i = i->second.until <= now ? all.erase(i) : std::next(i);
  }
  // From `after` to `limit`, the streams asked for: how far it came goes into the piece.
  void fill(Piece& p, Offset limit, std::uint32_t mask) const {
    std::size_t used = 0;
    for (int reads = 0; reads < 8 && p.upTo < limit; ++reads) {  // a few, where most are of other streams
      Offset reached = p.upTo;
      std::vector<Entry> some = log.read(p.upTo, limit, terms.pieceBytes, &reached);
      for (Entry& e : some) {
        if ((mask >> static_cast<unsigned>(e.stream) & 1) == 0) continue;
        if (!p.entries.empty() && used + sizeOf(e) > terms.pieceBytes) {
          p.upTo = e.offset - 1;
          return;
        }
        used += sizeOf(e), p.entries.push_back(std::move(e));
      }
      if (reached == p.upTo) return;  // a hole
      p.upTo = reached;
    }
  }
};

Server::Server(Log& log, SubscriberTerms terms, Ms) : inner_(std::make_shared<Inner>(Inner{log, terms, {}})) {}

std::optional<Piece> Server::wants(Ms now, const Want& w, std::uint64_t age) {
  Inner& in = *inner_;
  if (!in.log.whole()) return std::nullopt;
  in.empty(now);
  auto i = in.all.find(w.subscriber);
  if (i == in.all.end()) {
    if (in.all.size() >= in.terms.mostSubscribers) return std::nullopt;
    i = in.all.emplace(w.subscriber, Inner::One{}).first;
  } else if (w.life < i->second.life || (w.life == i->second.life && w.number <= i->second.number)) {
    return std::nullopt;
  }
  Inner::One& one = i->second;
  if (one.life != w.life) one = {};
  const Head& head = in.log.head();
  one.life = w.life, one.number = w.number, one.position = w.after, one.until = now + in.terms.lease;
  Piece p;
  p.number = w.number, p.after = p.upTo = w.after, p.committed = head.committed, p.forgotten = head.forgotten, p.age = age;
  if (w.after == 0) {
    one.snapshot = head.committed;
  } else if (w.after < head.forgotten && w.clean < head.forgotten && !in.terms.breaks.resumedForgotten) {
    // Whatever became of its lease: it may hold what a tombstone that is no more took away. (One that began after that was let
    // go may well be below it still: a record's oldest live entries are, and it never saw what was hidden.)
    p.startOver = true, one.position = 0, one.snapshot = 0;
  }
  if (!p.startOver) {
    bool joins = w.after < one.snapshot;
    if (joins) p.snapshot = one.snapshot;
    in.fill(p, joins ? one.snapshot : head.committed, w.streams);
    if (in.terms.breaks.gapAfterSnapshot && joins && p.upTo == one.snapshot) p.upTo = head.committed;
  }
  p.digest = digest(p);
  return p;
}

Lease Server::living(Ms now) const {
  Lease l;
  for (const auto& [id, one] : inner_->all)
    if (one.until > now) l.positions.emplace_back(id, one.position);
  return l;
}
Offset Server::passed(Ms now) const {
  Offset least = inner_->log.head().committed;
  for (const auto& [id, offset] : living(now).positions) least = std::min(least, offset);
  return least;
}

// ---- the subscriber's side

struct Subscriber::Inner {
  std::uint64_t self, life;
  std::vector<Id> keepers;
  SubscriberTerms terms;
  std::size_t at = 0;  // of keepers: the one asked
  Offset position = 0, committed = 0, snapshot = 0, clean = 0;
  std::uint64_t number = 0, bytes = 0, refused = 0;
  bool waiting = false, answered = false;
  Ms due = 0, askedAt = 0, goodAt = -1;

  void next() { at = keepers.empty() ? 0 : (at + 1) % keepers.size(); }
  bool caughtUp() const { return answered && position >= committed && position >= snapshot; }
  void ask(Ms now, const Out& out) {
    if (keepers.empty()) return;
    Want w;
    w.subscriber = self, w.life = life, w.number = ++number, w.after = position, w.clean = clean;
    waiting = true, askedAt = now, due = now + terms.again;
    out.ask(keepers[at], w);
  }
  bool fits(const Piece& p) const {
    if (p.after != position || p.upTo < p.after) return false;
    if (!terms.breaks.digestUnchecked && digest(p) != p.digest) return false;
    Offset before = p.after;
    for (const Entry& e : p.entries) {
      if (e.offset <= before || e.offset > p.upTo) return false;
      before = e.offset;
    }
    return true;
  }
};

Subscriber::Subscriber(std::uint64_t self, std::uint64_t life, std::vector<Id> keepers, SubscriberTerms terms, Offset at,
    std::uint64_t seed, Ms now)
    : inner_(std::make_shared<Inner>()) {
  Inner& in = *inner_;
  in.self = self, in.life = life, in.keepers = std::move(keepers), in.terms = terms, in.position = at, in.due = now;
  std::knuth_b chance(seed);
  if (!in.keepers.empty()) in.at = chance() % in.keepers.size();
}

void Subscriber::tick(Ms now, const Out& out) {
  Inner& in = *inner_;
  if (now < in.due) return;
  if (in.waiting) in.next();
  in.ask(now, out);
}

void Subscriber::receive(Ms now, Id from, const Piece& p, const Out& out) {
  Inner& in = *inner_;
  if (!in.waiting || p.number != in.number || in.keepers[in.at] != from) return;  // late, or a second copy
  if (!in.fits(p)) {
    // Still waiting: the next one is asked, and not at once, since this one may garble all.
    ++in.refused, in.due = std::min(in.due, now + in.terms.askEvery);
    return;
  }
  in.waiting = false;
  if (p.startOver) {
    in.position = in.snapshot = in.clean = 0, in.answered = false;
    if (out.startOver) out.startOver();
    in.ask(now, out);
    return;
  }
  in.answered = true;
  if (in.position == 0) in.snapshot = p.snapshot, in.clean = p.forgotten;
  in.clean = std::min(in.clean, p.forgotten);
  in.committed = std::max(in.committed, p.committed);
  bool moved = p.upTo > in.position;
  in.position = p.upTo;
  for (const Entry& e : p.entries) {
    in.bytes += sizeOf(e);
    out.entry(e);
  }
  if (in.caughtUp()) {
    if (p.committed >= in.committed) in.goodAt = std::max(in.goodAt, in.askedAt - static_cast<Ms>(p.age));
    if (static_cast<Ms>(p.age) > in.terms.staleNews) in.next();
    in.due = now + in.terms.askEvery;
  } else if (moved) {
    in.ask(now, out);
  } else {  // behind the others, or at a hole
    in.next(), in.due = now + in.terms.askEvery;
  }
}

Offset Subscriber::position() const { return inner_->position; }
Offset Subscriber::committed() const { return inner_->committed; }
bool Subscriber::caughtUp() const { return inner_->caughtUp(); }
Ms Subscriber::goodAt() const { return inner_->goodAt; }
std::uint64_t Subscriber::bytes() const { return inner_->bytes; }
std::uint64_t Subscriber::refused() const { return inner_->refused; }

}  // namespace dunlinwick::record
