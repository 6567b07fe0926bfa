// A keeper's side: promises, takes what follows what it has, answers once it is on disk; heals
// holes from the others.
#include <algorithm>

#include "record/keepers.hpp"

namespace dunlinwick::record {

namespace {
constexpr Offset kHealing = ~Offset{0};  // Fetched::after of an answer to Fetch::only
constexpr Id kProving =
    0;  // in Head::seen, which only grows: how often it was proved, or found to be old
constexpr std::size_t kHolesATime = 16;
}  // namespace

struct Keeper::Inner {
  Id self;
  std::vector<Id> keepers;
  KeeperTerms terms;
  Log& log;
  std::uint64_t life;
  bool failed = false;
  bool doubted = true;
  bool stranded = false;
  Ms unix_now = 0;
  Ms asked = -1e300;
  std::size_t turn = 0;
  std::pair<Token, std::uint64_t> begun{0, 0};  // the last session anew

  Inner(Id s, std::vector<Id> k, KeeperTerms t, Log& l, std::uint64_t n)
      : self(s), keepers(std::move(k)), terms(t), log(l), life(n != 0 ? n : l.head().starts) {
    // Entries that may be acknowledged are gone with a hole above what is known committed, and the
    // next append covers it up.
    auto holes = log.Holes(SIZE_MAX);
    // And of one lost where it looks compacted, nobody can tell which: only another's log, anew,
    // has it.
    stranded = log.Lost();
    if (stranded || (!holes.empty() && holes.back() > log.head().committed))
      Safely([&] { Mark(false); });
  }

  bool Knows(Id id) const {
    return std::find(keepers.begin(), keepers.end(), id) != keepers.end();
  }
  Offset Marks() const {
    for (auto [who, n] : log.head().seen)
      if (who == kProving)
        return n;
    return 0;
  }
  void Mark(bool proved) {
    if ((Marks() % 2 == 1) == proved)
      return;
    log.witness(kProving, Marks() + 1);
    log.Keep();
  }
  // Begun anew and not yet brought up to where its source was compacted.
  bool Partial() const {
    return !log.Whole();
  }

  Tail tail(std::uint64_t round) const {
    const Head& h = log.head();
    Tail t;
    t.token = h.promised;
    t.store = h.store;
    t.starts = h.starts;
    t.round = round;
    t.life = life;
    t.doubted = doubted;
    t.unproved = Marks() % 2 == 0;
    t.last = log.Last();
    t.committed = Partial() ? 0 : h.committed;
    t.first = h.first;
    t.cleaned = h.cleaned;
    t.forgotten = h.forgotten;
    t.last_token = log.LastToken();
    t.seen = h.seen;
    t.holes = log.Holes(kHolesATime);
    t.corrupted = !t.holes.empty();
    return t;
  }

  // Where what it has may still be what the writer has: below all that has the token of what
  // differs.
  Offset Hint(Offset after) const {
    Offset last = log.Last(), floor = log.head().committed;
    if (last < after)
      return last;
    if (Partial())
      return 0;  // anew
    auto differs = log.TokenAt(after);
    Offset at = after == 0 ? 0 : after - 1;
    while (at > floor && differs && log.TokenAt(at) == differs)
      --at;
    return std::max(at, floor);
  }

  // What follows m.after goes to disk; true: it has all of it then.
  bool Write(const Append& m, Offset& up_to) {
    const Head& h = log.head();
    Offset end = m.entries.empty() ? m.after : m.entries.back().offset;
    if (m.anew && m.after == 0) {
      // A late double would throw away what came since.
      if (begun == std::pair(m.token, m.session))
        return false;
      // How far it was: one half brought up is not taken for one whose disk is old. (Else, with a
      // minority of disks lost, a third keeper caught in between would keep all from going on for
      // ever.)
      log.witness(self, log.Last());
      if (!log.Anew(m.entries, {std::min(m.cleaned, end), std::min(m.forgotten, end)}))
        return false;
      begun = {m.token, m.session};
      up_to = end;
      return true;
    }
    // Of this very session all is the writer's; and what is committed may have another token
    // elsewhere, but no other content.
    bool in_session = m.anew && Partial() && begun == std::pair(m.token, m.session);
    auto have = [&](const Entry& e) {
      return (!Partial() && e.offset <= h.committed) || (in_session && e.offset <= log.Last()) ||
             log.TokenAt(e.offset) == e.token;
    };
    std::size_t skip = 0;
    while (skip < m.entries.size() && have(m.entries[skip]))
      ++skip;
    if (skip < m.entries.size()) {
      std::vector<Entry> rest(m.entries.begin() + static_cast<std::ptrdiff_t>(skip),
                              m.entries.end());
      Offset from = rest.front().offset, before = skip == 0 ? m.after : m.entries[skip - 1].offset;
      if (Partial() && before < h.cleaned)
        return false;
      bool gaps = false;
      for (Offset o = before; const Entry& e : rest) {
        gaps = gaps || e.offset != o + 1;
        o = e.offset;
      }
      // Only so far as this message tells: beyond, this keeper is not compacted but empty.
      Source source;
      if (gaps || m.anew)
        source = {std::min(m.cleaned, end), std::min(m.forgotten, before)};
      // Over a gap: whatever it has above `before` is not the writer's.
      if (gaps && log.Last() > before && before >= h.committed)
        from = before + 1;
      if (!log.append(from, rest, source))
        return false;
    }
    up_to = end;
    return true;
  }

  void append(Id from, const Append& m, const Send& send) {
    const Head& h = log.head();
    Kept k;
    k.life = life;
    k.token = h.promised;
    k.last = log.Last();
    if (m.token < h.promised && terms.break_fence && m.plan.up_to != 0)
      log.Take({h.promised, m.plan.up_to, m.plan.forget});
    if (m.token < h.promised || m.life != life || m.token > h.promised) {
      k.refused = true;
      k.unsought = m.token >= h.promised;
      k.partial = Partial();
      return send(from, k);
    }
    bool known = (!Partial() && m.after <= h.committed) || m.after == 0 ||
                 (m.after_token != 0 && log.TokenAt(m.after) == m.after_token);
    // The session goes on where it was, though the source may have compacted that very entry.
    known = known || (m.anew && begun == std::pair(m.token, m.session) && m.after == log.Last());
    Offset up_to = 0;
    bool was_partial = Partial();
    try {
      if (m.corrupted)
        Mark(false);
      if (!known || !Write(m, up_to)) {
        k.refused = true;
        k.hint = Hint(m.after);
        k.partial = Partial();
      } else {
        // Of a log begun anew nothing is served below where its source was compacted: keys would be
        // missing.
        bool whole = (!m.anew && !was_partial) ||
                     up_to >= (m.anew ? std::max(m.cleaned, m.forgotten) : m.cleaned);
        // What the source had forgotten is forgotten here too, before anything is served: told too
        // low, it brings the dead back to life at a subscriber. But only here: it is also by this
        // that a writer sees whether a source has forgotten meanwhile.
        if (m.anew && whole && up_to >= m.forgotten && h.forgotten < m.forgotten)
          log.append(0, {}, {0, m.forgotten});
        if (whole)
          log.Commit(std::min(m.committed, up_to));
        if (m.plan.up_to != 0 && m.plan.token == m.token)
          log.Take(m.plan);
        k.up_to = up_to;
        k.holes = log.Holes(kHolesATime);
        k.partial = Partial();
        if (m.proves && up_to >= m.committed && k.holes.empty() && !k.partial) {
          doubted = false;
          Mark(true);
        }
      }
      for (auto [id, held] : m.held)
        if (id != self && Knows(id))
          log.witness(id, held);
      if (!m.held.empty())
        log.Keep();
      if (m.entries.empty()) {
        if (!k.refused && !k.partial)
          if (auto p = log.Worth(unix_now, m.passed, m.token))
            k.plan = *p;
      }
    } catch (const Full&) {
      k.full = true;
      k.up_to = known ? std::min(m.after, log.Last()) : 0;
      k.refused = !known;
      k.hint = known ? 0 : Hint(m.after);
      k.holes = log.Holes(kHolesATime);
      k.partial = Partial();
    }
    if (log.Holes(1).empty())
      stranded = false;
    k.last = log.Last();
    k.stranded = stranded;
    send(from, k);
  }

  void fetch(Id from, const Fetch& m, const Send& send) {
    const Head& h = log.head();
    if (Partial() || log.Lost())
      return;  // what is not here may be what is lost, not what is superseded
    Fetched f;
    f.committed = h.committed;
    f.cleaned = h.cleaned;
    f.forgotten = h.forgotten;
    if (!m.only.empty()) {
      f.after = kHealing;
      std::size_t bytes = 0;
      std::vector<Offset> only(m.only);
      std::sort(only.begin(), only.end());
      only.erase(std::unique(only.begin(), only.end()), only.end());
      auto holes = log.Holes(SIZE_MAX);
      for (Offset o : only) {
        if (o > h.committed || std::binary_search(holes.begin(), holes.end(), o))
          break;
        if (const Entry* e = log.at(o)) {
          if (bytes += e->key.size() + e->value.size();
              !f.entries.empty() && bytes > terms.piece_bytes)
            break;
          f.entries.push_back(*e);
        }
        f.up_to = o;
        f.only.push_back(o);
      }
    } else {
      f.after = m.after;
      f.after_token = log.TokenAt(m.after).value_or(0);
      f.entries = log.Read(m.after, m.up_to, terms.piece_bytes);
      f.up_to = f.entries.empty() ? m.after : f.entries.back().offset;
    }
    send(from, f);
  }

  void Heal(const Fetched& m) {
    if (m.after != kHealing || Partial())
      return;
    Offset sure = std::min(
        m.committed, log.head().committed);  // above it, only a writer knows what belongs there
    for (Offset o : log.Holes(kHolesATime)) {
      if (o > sure)
        break;
      // A late answer to another question must not close what it says nothing of.
      if (std::find(m.only.begin(), m.only.end(), o) == m.only.end())
        continue;
      auto e = std::find_if(m.entries.begin(), m.entries.end(),
                            [&](const Entry& one) { return one.offset == o; });
      if (e != m.entries.end())
        log.Heal(*e);
      // Not there, and nothing so high is forgotten there: superseded. Else it may have been a
      // tombstone that hides what is here still: closing it would bring the dead back to life.
      else if (o <= m.cleaned && o > m.forgotten)
        log.Close(o, {m.cleaned, m.forgotten});
      else if (o <= m.forgotten)
        stranded = true;
    }
  }

  template <class What>
  void Safely(What what) {
    if (failed)
      return;
    try {
      what();
    } catch (const Full&) {  // nothing was written; it is asked again
    } catch (const Failed&) {
      failed =
          true;  // whether the last write landed is not known: no word until the disk is read anew
    }
  }
};

Keeper::Keeper(Id self, std::vector<Id> keepers, KeeperTerms terms, Log& log, std::uint64_t life)
    : inner_(std::make_shared<Inner>(self, std::move(keepers), terms, log, life)) {}

void Keeper::Receive(Ms, Id from, const Message& m, const Send& send) {
  Inner& in = *inner_;
  in.Safely([&] {
    if (auto* seek = std::get_if<Seek>(&m)) {
      in.log.Promise(seek->token);
      send(from, in.tail(seek->round));
    } else if (auto* append = std::get_if<Append>(&m)) {
      in.append(from, *append, send);
    } else if (auto* fetch = std::get_if<Fetch>(&m)) {
      in.fetch(from, *fetch, send);
    } else if (auto* fetched = std::get_if<Fetched>(&m); fetched && in.Knows(from)) {
      in.Heal(*fetched);
    }
  });
}

void Keeper::Tick(Ms now, const Send& send, Ms unix_now) {
  Inner& in = *inner_;
  in.unix_now = unix_now >= 0 ? unix_now : now;
  in.Safely([&] {
    if (in.Partial())
      return;
    if (auto holes = in.log.Holes(kHolesATime); !holes.empty()) {
      while (!holes.empty() && holes.back() > in.log.head().committed)
        holes.pop_back();
      if (holes.empty() || now < in.asked + in.terms.again || in.keepers.size() < 2)
        return;
      in.asked = now;
      Id to = in.keepers[in.turn++ % in.keepers.size()];
      if (to == in.self)
        to = in.keepers[in.turn++ % in.keepers.size()];
      send(to, Fetch{0, 0, holes});
      return;
    }
    in.log.Step();
  });
}

bool Keeper::has_failed() const {
  return inner_->failed || inner_->log.has_failed();
}
bool Keeper::Doubted() const {
  return inner_->doubted;
}
void Keeper::SetDoubted(bool doubted) {
  inner_->doubted = doubted;
}
Log& Keeper::log() {
  return inner_->log;
}

}  // namespace dunlinwick::record
