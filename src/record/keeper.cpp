// A keeper's side: promises, takes what follows what it has, answers once it is on disk; heals holes from the others.
#include <algorithm>

#include "record/keepers.hpp"

namespace dunlinwick::record {

namespace {
constexpr Offset healing = ~Offset{0};  // Fetched::after of an answer to Fetch::only
constexpr Id proving = 0;  // in Head::seen, which only grows: how often it was proved, or found to be old
constexpr std::size_t holesATime = 16;
}  // namespace

struct Keeper::Inner {
  Id self;
  std::vector<Id> keepers;
  KeeperTerms terms;
  Log& log;
  std::uint64_t life;
  bool failed = false, doubted = true, stranded = false;
  Ms unixNow = 0, asked = -1e300;
  std::size_t turn = 0;
  std::pair<Token, std::uint64_t> begun{0, 0};  // the last session anew

  Inner(Id s, std::vector<Id> k, KeeperTerms t, Log& l, std::uint64_t n)
      : self(s), keepers(std::move(k)), terms(t), log(l), life(n != 0 ? n : l.head().starts) {
    // Entries that may be acknowledged are gone with a hole above what is known committed, and the next append covers it up.
    auto holes = log.holes(SIZE_MAX);
    // And of one lost where it looks compacted, nobody can tell which: only another's log, anew, has it.
    stranded = log.lost();
    if (stranded || (!holes.empty() && holes.back() > log.head().committed)) safely([&] { mark(false); });
  }

  bool knows(Id id) const { return std::find(keepers.begin(), keepers.end(), id) != keepers.end(); }
  Offset marks() const {
    for (auto [who, n] : log.head().seen)
      if (who == proving) return n;
    return 0;
  }
  void mark(bool proved) {
    if ((marks() % 2 == 1) == proved) return;
    log.witness(proving, marks() + 1);
    log.keep();
  }
  // Begun anew and not yet brought up to where its source was compacted.
  bool partial() const { return !log.whole(); }

  Tail tail(std::uint64_t round) const {
    const Head& h = log.head();
    Tail t;
    t.token = h.promised, t.store = h.store, t.starts = h.starts, t.round = round, t.life = life, t.doubted = doubted, t.unproved = marks() % 2 == 0;
    t.last = log.last(), t.committed = partial() ? 0 : h.committed, t.first = h.first, t.cleaned = h.cleaned, t.forgotten = h.forgotten;
    t.lastToken = log.lastToken(), t.seen = h.seen, t.holes = log.holes(holesATime);
    t.spoilt = !t.holes.empty();
    return t;
  }

  // Where what it has may still be what the writer has: below all that has the token of what differs.
  Offset hint(Offset after) const {
    Offset last = log.last(), floor = log.head().committed;
    if (last < after) return last;
    if (partial()) return 0;  // anew
    auto differs = log.tokenAt(after);
    Offset at = after == 0 ? 0 : after - 1;
    while (at > floor && differs && log.tokenAt(at) == differs) --at;
    return std::max(at, floor);
  }

  // What follows m.after goes to disk; true: it has all of it then.
  bool write(const Append& m, Offset& upTo) {
    const Head& h = log.head();
    Offset end = m.entries.empty() ? m.after : m.entries.back().offset;
    if (m.anew && m.after == 0) {
      // A late double would throw away what came since.
      if (begun == std::pair(m.token, m.session)) return false;
      // How far it was: one half brought up is not taken for one whose disk is old. (Else, with a minority of disks lost, a third
      // keeper caught in between would keep all from going on for ever.)
      log.witness(self, log.last());
      if (!log.anew(m.entries, {std::min(m.cleaned, end), std::min(m.forgotten, end)})) return false;
      begun = {m.token, m.session};
      return upTo = end, true;
    }
    // Of this very session all is the writer's; and what is committed may have another token elsewhere, but no other content.
    bool inSession = m.anew && partial() && begun == std::pair(m.token, m.session);
    auto have = [&](const Entry& e) {
      return (!partial() && e.offset <= h.committed) || (inSession && e.offset <= log.last()) || log.tokenAt(e.offset) == e.token;
    };
    std::size_t skip = 0;
    while (skip < m.entries.size() && have(m.entries[skip])) ++skip;
    if (skip < m.entries.size()) {
      std::vector<Entry> rest(m.entries.begin() + static_cast<std::ptrdiff_t>(skip), m.entries.end());
      Offset from = rest.front().offset, before = skip == 0 ? m.after : m.entries[skip - 1].offset;
      if (partial() && before < h.cleaned) return false;
      bool gaps = false;
      for (Offset o = before; const Entry& e : rest) gaps = gaps || e.offset != o + 1, o = e.offset;
      // Only so far as this message tells: beyond, this keeper is not compacted but empty.
      Source source;
      if (gaps || m.anew) source = {std::min(m.cleaned, end), std::min(m.forgotten, before)};
      // Over a gap: whatever it has above `before` is not the writer's.
      if (gaps && log.last() > before && before >= h.committed) from = before + 1;
      if (!log.append(from, rest, source)) return false;
    }
    return upTo = end, true;
  }

  void append(Id from, const Append& m, const Send& send) {
    const Head& h = log.head();
    Kept k;
    k.life = life, k.token = h.promised, k.last = log.last();
    if (m.token < h.promised && terms.breakFence && m.plan.upTo != 0) log.take({h.promised, m.plan.upTo, m.plan.forget});
    if (m.token < h.promised || m.life != life || m.token > h.promised) {
      k.refused = true, k.unsought = m.token >= h.promised, k.partial = partial();
      return send(from, k);
    }
    bool known = (!partial() && m.after <= h.committed) || m.after == 0 || (m.afterToken != 0 && log.tokenAt(m.after) == m.afterToken);
    // The session goes on where it was, though the source may have compacted that very entry.
    known = known || (m.anew && begun == std::pair(m.token, m.session) && m.after == log.last());
    Offset upTo = 0;
    bool wasPartial = partial();
    try {
      if (m.spoilt) mark(false);
      if (!known || !write(m, upTo)) {
        k.refused = true, k.hint = hint(m.after), k.partial = partial();
      } else {
        // Of a log begun anew nothing is served below where its source was compacted: keys would be missing.
        bool whole = (!m.anew && !wasPartial) || upTo >= (m.anew ? std::max(m.cleaned, m.forgotten) : m.cleaned);
        // What the source had forgotten is forgotten here too, before anything is served: told too low, it brings the dead back to life
        // at a subscriber. But only here: it is also by this that a writer sees whether a source has forgotten meanwhile.
        if (m.anew && whole && upTo >= m.forgotten && h.forgotten < m.forgotten) log.append(0, {}, {0, m.forgotten});
        if (whole) log.commit(std::min(m.committed, upTo));
        if (m.plan.upTo != 0 && m.plan.token == m.token) log.take(m.plan);
        k.upTo = upTo;
        k.holes = log.holes(holesATime), k.partial = partial();
        if (m.proves && upTo >= m.committed && k.holes.empty() && !k.partial) doubted = false, mark(true);
      }
      for (auto [id, held] : m.held)
        if (id != self && knows(id)) log.witness(id, held);
      if (!m.held.empty()) log.keep();
      if (m.entries.empty()) {
        if (!k.refused && !k.partial)
          if (auto p = log.worth(unixNow, m.passed, m.token)) k.plan = *p;
      }
    } catch (const Full&) {
      k.full = true, k.upTo = known ? std::min(m.after, log.last()) : 0, k.refused = !known, k.hint = known ? 0 : hint(m.after);
      k.holes = log.holes(holesATime), k.partial = partial();
    }
    if (log.holes(1).empty()) stranded = false;
    k.last = log.last(), k.stranded = stranded;
    send(from, k);
  }

  void fetch(Id from, const Fetch& m, const Send& send) {
    const Head& h = log.head();
    if (partial() || log.lost()) return;  // what is not here may be what is lost, not what is superseded
    Fetched f;
    f.committed = h.committed, f.cleaned = h.cleaned, f.forgotten = h.forgotten;
    if (!m.only.empty()) {
      f.after = healing;
      std::size_t bytes = 0;
      std::vector<Offset> only(m.only);
      std::sort(only.begin(), only.end());
      only.erase(std::unique(only.begin(), only.end()), only.end());
      auto holes = log.holes(SIZE_MAX);
      for (Offset o : only) {
        if (o > h.committed || std::binary_search(holes.begin(), holes.end(), o)) break;
        if (const Entry* e = log.at(o)) {
          if (bytes += e->key.size() + e->value.size(); !f.entries.empty() && bytes > terms.pieceBytes) break;
          f.entries.push_back(*e);
        }
        f.upTo = o, f.only.push_back(o);
      }
    } else {
      f.after = m.after, f.afterToken = log.tokenAt(m.after).value_or(0);
      f.entries = log.read(m.after, m.upTo, terms.pieceBytes);
      f.upTo = f.entries.empty() ? m.after : f.entries.back().offset;
    }
    send(from, f);
  }

  void heal(const Fetched& m) {
    if (m.after != healing || partial()) return;
    Offset sure = std::min(m.committed, log.head().committed);  // above it, only a writer knows what belongs there
    for (Offset o : log.holes(holesATime)) {
      if (o > sure) break;
      // A late answer to another question must not close what it says nothing of.
      if (std::find(m.only.begin(), m.only.end(), o) == m.only.end()) continue;
      auto e = std::find_if(m.entries.begin(), m.entries.end(), [&](const Entry& one) { return one.offset == o; });
      if (e != m.entries.end()) log.heal(*e);
      // Not there, and nothing so high is forgotten there: superseded. Else it may have been a tombstone that hides what is here
      // still: closing it would bring the dead back to life.
      else if (o <= m.cleaned && o > m.forgotten) log.close(o, {m.cleaned, m.forgotten});
      else if (o <= m.forgotten) stranded = true;
    }
  }

  template <class What>
  void safely(What what) {
    if (failed) return;
    try {
      what();
    } catch (const Full&) {  // nothing was written; it is asked again
    } catch (const Failed&) {
      failed = true;  // whether the last write landed is not known: no word until the disk is read anew
    }
  }
};

Keeper::Keeper(Id self, std::vector<Id> keepers, KeeperTerms terms, Log& log, std::uint64_t life)
    : inner_(std::make_shared<Inner>(self, std::move(keepers), terms, log, life)) {}

void Keeper::receive(Ms, Id from, const Message& m, const Send& send) {
  Inner& in = *inner_;
  in.safely([&] {
    if (auto* seek = std::get_if<Seek>(&m)) {
      in.log.promise(seek->token);
      send(from, in.tail(seek->round));
    } else if (auto* append = std::get_if<Append>(&m)) {
      in.append(from, *append, send);
    } else if (auto* fetch = std::get_if<Fetch>(&m)) {
      in.fetch(from, *fetch, send);
    } else if (auto* fetched = std::get_if<Fetched>(&m); fetched && in.knows(from)) {
      in.heal(*fetched);
    }
  });
}

void Keeper::tick(Ms now, const Send& send, Ms unixNow) {
  Inner& in = *inner_;
  in.unixNow = unixNow >= 0 ? unixNow : now;
  in.safely([&] {
    if (in.partial()) return;
    if (auto holes = in.log.holes(holesATime); !holes.empty()) {
      while (!holes.empty() && holes.back() > in.log.head().committed) holes.pop_back();
      if (holes.empty() || now < in.asked + in.terms.again || in.keepers.size() < 2) return;
      in.asked = now;
      Id to = in.keepers[in.turn++ % in.keepers.size()];
      if (to == in.self) to = in.keepers[in.turn++ % in.keepers.size()];
      send(to, Fetch{0, 0, holes});
      return;
    }
    in.log.step();
  });
}

bool Keeper::failed() const { return inner_->failed || inner_->log.failed(); }
bool Keeper::doubted() const { return inner_->doubted; }
void Keeper::setDoubted(bool doubted) { inner_->doubted = doubted; }
Log& Keeper::log() { return inner_->log; }

}  // namespace dunlinwick::record
