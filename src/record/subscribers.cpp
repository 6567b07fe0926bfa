#include "record/subscribers.hpp"

#include <xxhash.h>

#include <algorithm>
#include <random>

#include "record/wire.hpp"

namespace dunlinwick::record {

namespace {
constexpr std::size_t kMostPositions = 65536;
std::size_t SizeOf(const Entry& e) {
  return e.key.size() + e.value.size() + 40;
}
}  // namespace

std::uint64_t Digest(const Piece& p) {
  std::string bytes;
  auto number = [&](std::uint64_t v) {
    for (int k = 0; k < 8; ++k)
      bytes.push_back(static_cast<char>(v >> (8 * k)));
  };
  number(p.number);
  number(p.after);
  number(p.up_to);
  number(p.committed);
  number(p.snapshot);
  number(p.forgotten);
  number(p.age);
  number(p.start_over);
  for (const Entry& e : p.entries)
    number(Digest(e));
  return XXH64(bytes.data(), bytes.size(), 1);
}

std::string Encode(const Saying& s) {
  proto::record::Message m;
  if (const auto* w = std::get_if<Want>(&s)) {
    auto* to = m.mutable_want();
    to->set_subscriber(w->subscriber);
    to->set_life(w->life);
    to->set_number(w->number);
    to->set_after(w->after);
    to->set_streams(w->streams);
    to->set_clean(w->clean);
  } else if (const auto* p = std::get_if<Piece>(&s)) {
    auto* to = m.mutable_piece();
    to->set_number(p->number);
    to->set_after(p->after);
    to->set_up_to(p->up_to);
    to->set_committed(p->committed);
    to->set_snapshot(p->snapshot);
    to->set_forgotten(p->forgotten);
    to->set_age(p->age);
    to->set_start_over(p->start_over);
    to->set_digest(p->digest);
    for (const Entry& e : p->entries)
      ToWire(e, to->add_entries());
  } else {
    auto* to = m.mutable_lease();
    for (const auto& [id, offset] : std::get<Lease>(s).positions) {
      auto* one = to->add_positions();
      one->set_subscriber(id);
      one->set_offset(offset);
    }
  }
  return m.SerializeAsString();
}

std::optional<Saying> DecodeSaying(std::span<const char> bytes) {
  proto::record::Message m;
  if (bytes.size() > (1u << 20) || !m.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return std::nullopt;
  if (m.has_want()) {
    const auto& w = m.want();
    if (w.subscriber() == 0 || w.number() == 0 || w.streams() == 0)
      return std::nullopt;
    return Want{w.subscriber(), w.life(), w.number(), w.after(), w.streams(), w.clean()};
  }
  if (m.has_piece()) {
    const auto& w = m.piece();
    Piece p;
    p.number = w.number();
    p.after = w.after();
    p.up_to = w.up_to();
    p.committed = w.committed();
    p.snapshot = w.snapshot();
    p.forgotten = w.forgotten();
    p.age = w.age();
    p.start_over = w.start_over();
    p.digest = w.digest();
    for (const auto& one : w.entries()) {
      auto e = FromWire(one);
      if (!e)
        return std::nullopt;
      p.entries.push_back(std::move(*e));
    }
    return p;
  }
  if (m.has_lease()) {
    if (m.lease().positions_size() > static_cast<int>(kMostPositions))
      return std::nullopt;
    Lease l;
    for (const auto& one : m.lease().positions())
      l.positions.emplace_back(one.subscriber(), one.offset());
    return l;
  }
  return std::nullopt;
}

// ---- a keeper's side

struct Server::Inner {
  struct One {
    std::uint64_t life = 0;
    std::uint64_t number = 0;
    Offset position = 0;
    Offset snapshot = 0;
    Ms until = 0;
  };
  Log& log;
  SubscriberTerms terms;
  std::map<std::uint64_t, One> all;

  void empty(Ms now) {
    for (auto i = all.begin(); i != all.end();)
      i = i->second.until <= now ? all.erase(i) : std::next(i);
  }
  // From `after` to `limit`, the streams asked for: how far it came goes into the piece.
  void Fill(Piece& p, Offset limit, std::uint32_t mask) const {
    std::size_t used = 0;
    for (int reads = 0; reads < 8 && p.up_to < limit;
         ++reads) {  // a few, where most are of other streams
      Offset reached = p.up_to;
      std::vector<Entry> some = log.Read(p.up_to, limit, terms.piece_bytes, &reached);
      for (Entry& e : some) {
        if ((mask >> static_cast<unsigned>(e.stream) & 1) == 0)
          continue;
        if (!p.entries.empty() && used + SizeOf(e) > terms.piece_bytes) {
          p.up_to = e.offset - 1;
          return;
        }
        used += SizeOf(e);
        p.entries.push_back(std::move(e));
      }
      if (reached == p.up_to)
        return;  // a hole
      p.up_to = reached;
    }
  }
};

Server::Server(Log& log, SubscriberTerms terms, Ms)
    : inner_(std::make_shared<Inner>(Inner{log, terms, {}})) {}

std::optional<Piece> Server::Wants(Ms now, const Want& w, std::uint64_t age) {
  Inner& in = *inner_;
  if (!in.log.Whole())
    return std::nullopt;
  in.empty(now);
  auto i = in.all.find(w.subscriber);
  if (i == in.all.end()) {
    if (in.all.size() >= in.terms.most_subscribers)
      return std::nullopt;
    i = in.all.emplace(w.subscriber, Inner::One{}).first;
  } else if (w.life < i->second.life ||
             (w.life == i->second.life && w.number <= i->second.number)) {
    return std::nullopt;
  }
  Inner::One& one = i->second;
  if (one.life != w.life)
    one = {};
  const Head& head = in.log.head();
  one.life = w.life;
  one.number = w.number;
  one.position = w.after;
  one.until = now + in.terms.lease;
  Piece p;
  p.number = w.number;
  p.after = p.up_to = w.after;
  p.committed = head.committed;
  p.forgotten = head.forgotten;
  p.age = age;
  if (w.after == 0) {
    one.snapshot = head.committed;
  } else if (w.after < head.forgotten && w.clean < head.forgotten &&
             !in.terms.breaks.resumed_forgotten) {
    // Whatever became of its lease: it may hold what a tombstone that is no more took away. (One
    // that began after that was let go may well be below it still: a record's oldest live entries
    // are, and it never saw what was hidden.)
    p.start_over = true;
    one.position = 0;
    one.snapshot = 0;
  }
  if (!p.start_over) {
    bool joins = w.after < one.snapshot;
    if (joins)
      p.snapshot = one.snapshot;
    in.Fill(p, joins ? one.snapshot : head.committed, w.streams);
    if (in.terms.breaks.gap_after_snapshot && joins && p.up_to == one.snapshot)
      p.up_to = head.committed;
  }
  p.digest = Digest(p);
  return p;
}

Lease Server::Living(Ms now) const {
  Lease l;
  for (const auto& [id, one] : inner_->all)
    if (one.until > now)
      l.positions.emplace_back(id, one.position);
  return l;
}
Offset Server::Passed(Ms now) const {
  Offset least = inner_->log.head().committed;
  for (const auto& [id, offset] : Living(now).positions)
    least = std::min(least, offset);
  return least;
}

// ---- the subscriber's side

struct Subscriber::Inner {
  std::uint64_t self;
  std::uint64_t life;
  std::vector<Id> keepers;
  SubscriberTerms terms;
  std::size_t at = 0;  // of keepers: the one asked
  Offset position = 0;
  Offset committed = 0;
  Offset snapshot = 0;
  Offset clean = 0;
  std::uint64_t number = 0;
  std::uint64_t bytes = 0;
  std::uint64_t refused = 0;
  bool waiting = false;
  bool answered = false;
  Ms due = 0;
  Ms asked_at = 0;
  Ms good_at = -1;

  void Next() {
    at = keepers.empty() ? 0 : (at + 1) % keepers.size();
  }
  bool CaughtUp() const {
    return answered && position >= committed && position >= snapshot;
  }
  void Ask(Ms now, const Out& out) {
    if (keepers.empty())
      return;
    Want w;
    w.subscriber = self;
    w.life = life;
    w.number = ++number;
    w.after = position;
    w.clean = clean;
    waiting = true;
    asked_at = now;
    due = now + terms.again;
    out.ask(keepers[at], w);
  }
  bool Fits(const Piece& p) const {
    if (p.after != position || p.up_to < p.after)
      return false;
    if (!terms.breaks.digest_unchecked && Digest(p) != p.digest)
      return false;
    Offset before = p.after;
    for (const Entry& e : p.entries) {
      if (e.offset <= before || e.offset > p.up_to)
        return false;
      before = e.offset;
    }
    return true;
  }
};

Subscriber::Subscriber(std::uint64_t self, std::uint64_t life, std::vector<Id> keepers,
                       SubscriberTerms terms, Offset at, std::uint64_t seed, Ms now)
    : inner_(std::make_shared<Inner>()) {
  Inner& in = *inner_;
  in.self = self;
  in.life = life;
  in.keepers = std::move(keepers);
  in.terms = terms;
  in.position = at;
  in.due = now;
  std::knuth_b chance(seed);
  if (!in.keepers.empty())
    in.at = chance() % in.keepers.size();
}

void Subscriber::Tick(Ms now, const Out& out) {
  Inner& in = *inner_;
  if (now < in.due)
    return;
  if (in.waiting)
    in.Next();
  in.Ask(now, out);
}

void Subscriber::Receive(Ms now, Id from, const Piece& p, const Out& out) {
  Inner& in = *inner_;
  if (!in.waiting || p.number != in.number || in.keepers[in.at] != from)
    return;  // late, or a second copy
  if (!in.Fits(p)) {
    // Still waiting: the next one is asked, and not at once, since this one may garble all.
    ++in.refused;
    in.due = std::min(in.due, now + in.terms.ask_every);
    return;
  }
  in.waiting = false;
  if (p.start_over) {
    in.position = in.snapshot = in.clean = 0;
    in.answered = false;
    if (out.start_over)
      out.start_over();
    in.Ask(now, out);
    return;
  }
  in.answered = true;
  if (in.position == 0) {
    in.snapshot = p.snapshot;
    in.clean = p.forgotten;
  }
  in.clean = std::min(in.clean, p.forgotten);
  in.committed = std::max(in.committed, p.committed);
  bool moved = p.up_to > in.position;
  in.position = p.up_to;
  for (const Entry& e : p.entries) {
    in.bytes += SizeOf(e);
    out.entry(e);
  }
  if (in.CaughtUp()) {
    if (p.committed >= in.committed)
      in.good_at = std::max(in.good_at, in.asked_at - static_cast<Ms>(p.age));
    if (static_cast<Ms>(p.age) > in.terms.stale_news)
      in.Next();
    in.due = now + in.terms.ask_every;
  } else if (moved) {
    in.Ask(now, out);
  } else {  // behind the others, or at a hole
    in.Next();
    in.due = now + in.terms.ask_every;
  }
}

Offset Subscriber::Position() const {
  return inner_->position;
}
Offset Subscriber::Committed() const {
  return inner_->committed;
}
bool Subscriber::CaughtUp() const {
  return inner_->CaughtUp();
}
Ms Subscriber::GoodAt() const {
  return inner_->good_at;
}
std::uint64_t Subscriber::bytes() const {
  return inner_->bytes;
}
std::uint64_t Subscriber::Refused() const {
  return inner_->refused;
}

}  // namespace dunlinwick::record
