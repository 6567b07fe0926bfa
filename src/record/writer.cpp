// The owner's side: takes over behind its token, then writes; brings up who is behind.
#include <algorithm>

#include "record/keepers.hpp"

namespace dunlinwick::record {

const char* ToString(Phase phase) {
  static const char* const kWords[] = {"seeking", "fetching", "rewriting", "serving", "fenced"};
  return kWords[static_cast<std::size_t>(phase)];
}

namespace {
constexpr std::size_t kPiecesInFlight = 8;  // to one keeper
std::size_t SizeOf(const Entry& e) {
  return e.key.size() + e.value.size() + 40;
}

struct Peer {
  bool known = false;      // its life has answered our Seek
  bool cleared = false;    // not doubted, or proved by us
  bool corrupted = false;  // found to be old, and not brought up yet
  bool holed = false;
  bool stranded = false;
  bool partial = false;
  bool full = false;
  bool probing = true;  // what it has in common is being looked for: one message at a time
  std::uint64_t life = 0;
  Offset match = 0;
  Offset next = 1;
  Offset last = 0;
  Ms sent = -1e300;
  Ms sought = -1e300;
  // Being brought up from another keeper, as the window does not reach back so far.
  bool fetching = false;
  Offset fetch_after = 0;
  Ms fetched = -1e300;
  std::uint64_t session = 0;     // anew; 0: none
  Offset session_forgotten = 0;  // by its one source, all along: pieces of logs that have forgotten
                                 // and of such that have not do
  Id session_source = 0;         // not go together, as a tombstone would be missing between them
};
}  // namespace

struct Writer::Inner {
  Id self;
  std::vector<Id> keepers;
  KeeperTerms terms;
  Token token;
  Phase phase = Phase::kSeeking;
  bool founded_anew = false;
  std::map<Id, Peer> peers;
  // A round of Seek; its answers decide on the tail, later on who is doubted no more.
  std::uint64_t round = 1;
  bool round_open = true;
  std::map<Id, Tail> tails;
  std::map<Id, Offset> witnessed;  // by keeper: what it was known to hold of what is committed
  Id best = 0;
  Offset best_last = 0;
  Ms asked = -1e300;
  Ms progressed = 0;
  // What is not at every keeper yet, or not committed: contiguous from base + 1.
  std::deque<Entry> window;
  std::size_t window_bytes = 0;
  Offset base = 0;
  Offset committed = 0;
  Token base_token = 0;
  Offset cleaned = 0;
  Offset forgotten = 0;
  Offset least = 0;
  Plan plan;
  struct Under {
    Offset first;
    Offset last;
    Done done;
  };
  std::deque<Under> under;
  bool tombstone_early = false;  // broken on purpose
  std::uint64_t sessions = 0;
  std::size_t source_turn = 0;

  Inner(Id s, std::vector<Id> k, KeeperTerms t, Token n, Ms now)
      : self(s), keepers(std::move(k)), terms(t), token(n), progressed(now) {
    for (Id id : keepers)
      peers[id];
  }

  std::size_t Majority() const {
    return keepers.size() / 2 + 1;
  }
  Offset Last() const {
    return base + window.size();
  }
  Token TokenAt(Offset o) const {
    if (o == base)
      return base_token;
    return o > base && o <= Last() ? window[o - base - 1].token : 0;
  }
  bool Counts(const Peer& p) const {
    return p.known && p.cleared && !p.holed && !p.partial;
  }

  void Fence() {
    if (phase == Phase::kFenced)
      return;
    phase = Phase::kFenced;
    auto gone = std::move(under);
    under.clear();
    window.clear();
    window_bytes = 0;
    for (auto& u : gone)
      u.done(Outcome::kUnsure, u.first);
  }

  // ---- taking over
  // One half brought up holds less than it did: it let go only of what a majority had without it,
  // so it is whole, but behind.
  static bool Partial(const Tail& t) {
    return t.cleaned > t.committed;
  }
  static Offset Reach(Id id, const Tail& t) {
    Offset n = t.last;
    for (auto [who, upTo] : t.seen)
      if (who == id)
        n = std::max(n, upTo);
    return n;
  }
  bool Corrupted(Id id, const Tail& t, bool some_hold) const {
    if (t.corrupted)
      return true;
    if (tails.size() == keepers.size())
      return false;  // a majority of all is whole, and has the best tail
    if (some_hold && (t.last == 0 || t.unproved))
      return true;
    return Old(id, t);
  }
  bool Old(Id id, const Tail& t) const {
    for (const auto& [other, o] : tails)
      for (auto [who, upTo] : o.seen)
        if (who == id && upTo > Reach(id, t))
          return true;
    return false;
  }
  // Those of this round whose word counts, if they are enough.
  std::optional<std::vector<Id>> Enough() const {
    bool some_hold = false;
    Offset least = 0;  // what is known to be committed, by anybody's word
    for (const auto& [id, t] : tails) {
      some_hold = some_hold || t.last != 0 || t.committed != 0;
      least = std::max(least, t.committed);
      for (auto [who, upTo] : t.seen)
        if (peers.count(who)) {
          some_hold = some_hold || upTo != 0;
          least = std::max(least, upTo);
        }
    }
    if (!some_hold && tails.size() < keepers.size())
      return std::nullopt;  // one that is silent may hold everything
    std::vector<Id> ok;
    std::size_t doubted = 0;
    Offset most = 0;
    for (const auto& [id, t] : tails) {
      if (Corrupted(id, t, some_hold))
        continue;
      ok.push_back(id);
      doubted += t.doubted ? 1 : 0;
      most = std::max(most, Partial(t) ? 0 : t.last);
    }
    std::size_t need = Majority(), minority = keepers.size() - need, bad = tails.size() - ok.size();
    // Up to a minority of disks may be old: those found to be so are of it.
    if (terms.doubt_restarts)
      need += std::min(doubted, minority - std::min(minority, bad));
    // Fewer than is known to be committed: they can't all be whole.
    if (ok.size() < need || most < least) {
      if (!(terms.break_own_disk && tails.count(self)))
        return std::nullopt;
    }
    return ok;
  }
  void Choose(Ms now, const Send& send) {
    auto ok = Enough();
    if (!ok)
      return;
    round_open = false;
    auto better = [&](const Tail& a, const Tail& b) {
      if (terms.break_longest)
        return a.last != b.last ? a.last > b.last : a.last_token > b.last_token;
      return a.last_token != b.last_token ? a.last_token > b.last_token : a.last > b.last;
    };
    best = ok->empty() ? self : ok->front();
    for (Id id : *ok)
      if (!Partial(tails.at(id)) &&
          (Partial(tails.at(best)) || better(tails.at(id), tails.at(best))))
        best = id;
    if (terms.break_own_disk && tails.count(self))
      best = self;
    const Tail& t = tails.at(best);
    best_last = t.last;
    for (const auto& [id, o] : tails) {
      committed = std::max(committed, o.committed);
      cleaned = std::max(cleaned, o.cleaned);
      forgotten = std::max(forgotten, o.forgotten);
    }
    // Its entries are counted from where it surely has what is committed; the best tail has all of
    // that.
    committed = std::min(committed, best_last);
    if (terms.break_reuse)
      best_last = committed;
    founded_anew = best_last == 0;
    base = committed;
    base_token = base == t.last ? t.last_token : 0;
    window.clear();
    window_bytes = 0;
    // A majority has just promised: whoever has promised with it, old or empty, counts for what we
    // bring it.
    for (const auto& [id, o] : tails) {
      Meet(id, o);
      peers.at(id).cleared = true;
    }
    phase = Phase::kFetching;
    progressed = now;
    FetchTail(now, send);
  }
  void FetchTail(Ms now, const Send& send) {
    if (Last() >= best_last)
      return Rewrite(now, send);
    asked = now;
    send(best, Fetch{Last(), best_last, {}});
  }
  void FetchedTail(Ms now, const Fetched& f, const Send& send) {
    if (f.after != Last())
      return;
    if (f.after == base && f.after_token != 0)
      base_token = f.after_token;
    for (const Entry& e : f.entries) {
      if (e.offset != Last() + 1 || e.offset > best_last)
        break;
      if (e.token > token)
        return Fence();
      Push(e);
      progressed = now;
    }
    FetchTail(now, send);
  }
  void Rewrite(Ms now, const Send& send) {
    if (terms.break_rewrite)
      for (Entry& e : window)
        e.token = token;
    if (!window.empty())
      window.back().token = token;
    phase = window.empty() ? Phase::kServing : Phase::kRewriting;
    for (auto& [id, p] : peers) {
      if (!p.known)
        continue;
      p.next = Last() + 1;
      p.match = 0;
      p.probing = true;
      if (!window.empty())
        p.next = Last();
      Pump(now, id, send);
    }
  }
  // It may have forgotten a promise to a later writer: it counts only after another round of a
  // majority's promises. Without it, a late owner takes acknowledged offsets again, with the help
  // of a keeper that lost its disk.
  bool Suspicious(Id id, const Tail& t) const {
    auto w = witnessed.find(id);
    return t.doubted && (terms.doubt_restarts || t.unproved || t.last == 0 || t.corrupted ||
                         (w != witnessed.end() && Reach(id, t) < w->second));
  }
  bool Found(Id id, const Tail& t) const {
    auto w = witnessed.find(id);
    return t.corrupted || Old(id, t) || (w != witnessed.end() && Reach(id, t) < w->second);
  }
  // A life of a keeper is met: what it has in common with us is not known yet.
  void Meet(Id id, const Tail& t) {
    Peer& p = peers.at(id);
    for (auto [who, upTo] : t.seen)
      witnessed[who] = std::max(witnessed[who], upTo);
    p = Peer{.known = true,
             .cleared = !Suspicious(id, t),
             .corrupted = Found(id, t),
             .holed = !t.holes.empty(),
             .partial = Partial(t),
             .life = t.life,
             .next = std::min(t.last, Last()) + 1,
             .last = t.last};
  }

  // ---- writing
  void Push(const Entry& e) {
    window_bytes += SizeOf(e);
    window.push_back(e);
  }
  void Trim() {
    while (!window.empty() && base < committed && window_bytes > terms.most_window / 2) {
      window_bytes -= SizeOf(window.front());
      base_token = window.front().token;
      ++base;
      window.pop_front();
    }
  }
  Append frame(const Peer& p, Offset after, Token after_token) const {
    Append a;
    a.token = token;
    a.life = p.life;
    a.after = after;
    a.after_token = after_token;
    a.committed = committed;
    a.proves = phase == Phase::kServing && p.cleared && p.match >= committed;
    a.corrupted = p.corrupted;
    a.cleaned = cleaned;
    a.forgotten = forgotten;
    a.passed = least;
    return a;
  }
  // Sends what is next, or looks for what is common; with nothing to send, nothing.
  void Pump(Ms now, Id id, const Send& send, bool beat = false) {
    Peer& p = peers.at(id);
    if (!p.known || phase < Phase::kRewriting || phase == Phase::kFenced)
      return;
    if ((p.partial || p.stranded) && p.session == 0)
      p.next = 1;
    if (p.next <= base || ((p.partial || p.stranded) && p.session == 0))
      return BringUp(now, id, send);
    p.fetching = false;
    for (std::size_t n = 0;; ++n) {
      Append a = frame(p, p.next - 1, TokenAt(p.next - 1));
      if (p.session != 0) {
        a.anew = true;
        a.session = p.session;
        a.forgotten = p.session_forgotten;
      }
      std::size_t bytes = 0;
      for (Offset o = p.next; !p.full && o <= Last(); ++o) {
        const Entry& e = window[o - base - 1];
        if (!a.entries.empty() && bytes + SizeOf(e) > terms.piece_bytes)
          break;
        bytes += SizeOf(e);
        a.entries.push_back(e);
      }
      if (a.entries.empty() && !beat && !(p.probing && n == 0))
        return;
      if (a.entries.empty() || beat) {
        if (a.entries.empty())
          a.plan = plan;
        // What is known to be at others and committed: never truncated there, so whoever is behind
        // it has lost it.
        for (const auto& [other, o] : peers)
          if (Offset held = std::min(o.match, committed); held != 0)
            a.held.emplace_back(other, held);
      }
      beat = false;
      p.sent = now;
      if (!a.entries.empty())
        p.next = a.entries.back().offset + 1;
      bool more = !a.entries.empty() && !p.probing && n + 1 < kPiecesInFlight;
      send(id, a);
      if (!more || phase == Phase::kFenced)
        return;
    }
  }
  std::optional<std::pair<Id, Offset>> source(Id not_for, Id only) {
    std::vector<std::pair<Id, Offset>> can;
    for (const auto& [id, p] : peers)
      if (id != not_for && (only == 0 || id == only) && Counts(p) && p.match >= base &&
          p.match != 0)
        can.emplace_back(id, std::min(p.match, committed));
    if (can.empty() && best != not_for && best != 0 && (only == 0 || only == best))
      can.emplace_back(best, std::min(best_last, committed));
    if (can.empty())
      return std::nullopt;
    return can[source_turn++ % can.size()];
  }
  void BringUp(Ms now, Id id, const Send& send, Id of = 0) {
    Peer& p = peers.at(id);
    if (p.fetching && now < p.fetched + terms.again)
      return;
    auto from = source(id, p.session != 0 ? p.session_source : of);
    if (!from && p.session != 0) {
      p.session = 0;
      p.next = 1;
      from = source(id, 0);
    }
    if (!from)
      return;
    p.fetching = true;
    p.fetch_after = p.next - 1;
    p.fetched = now;
    send(from->first, Fetch{p.fetch_after, from->second, {}});
  }
  void Relay(Ms now, Id id, Id from, const Fetched& f, const Send& send) {
    Peer& p = peers.at(id);
    p.fetching = false;
    if (f.entries.empty() || f.entries.back().offset > committed)
      return;
    cleaned = std::max(cleaned, f.cleaned);
    forgotten = std::max(forgotten, f.forgotten);
    bool in_session = p.session != 0 && p.session_forgotten == f.forgotten &&
                      p.session_source == from && f.after != 0;
    if (p.session != 0 && !in_session && f.after != 0) {
      p.session = 0;
      p.next = 1;
      return BringUp(now, id, send);
    }
    if ((f.after < f.forgotten || p.partial || p.stranded) && !in_session) {
      // It has not heard of tombstones that are gone: only anew. It forgets what it has, which must
      // not be missed then.
      std::size_t others = 0;
      for (const auto& [o, q] : peers)
        others += o != id && Counts(q) && q.match >= committed ? 1 : 0;
      if (p.last >= f.cleaned && (phase != Phase::kServing || others < Majority()))
        return;
      p.session = 0;
      // Of the same source: with another in turn that has forgotten less, what it has of old is
      // common again, in a circle for ever.
      if (f.after != 0) {
        p.next = 1;
        return BringUp(now, id, send, from);
      }
      p.stranded = false;
      p.session = ++sessions;
      p.session_forgotten = f.forgotten;
      p.session_source = from;
      p.match = 0;
    } else if (!in_session) {
      p.session = 0;
    }
    Append a = frame(p, f.after, f.after_token);
    a.entries = f.entries;
    a.cleaned = f.cleaned;
    a.forgotten = f.forgotten;
    a.anew = p.session != 0;
    a.session = p.session;
    p.next = f.entries.back().offset + 1;
    p.sent = now;
    p.probing = true;
    send(id, a);
  }

  void tail(Ms now, Id from, const Tail& t, const Send& send) {
    if (t.token > token)
      return Fence();
    if (t.token != token || t.round != round)
      return;
    Peer& p = peers.at(from);
    if (phase == Phase::kSeeking) {
      tails[from] = t;
      return Choose(now, send);
    }
    if (round_open)
      tails[from] = t;
    bool fresh = !p.known || p.life != t.life;
    if (fresh)
      Meet(from, t);
    cleaned = std::max(cleaned, t.cleaned);
    forgotten = std::max(forgotten, t.forgotten);
    if (!p.cleared && !round_open)
      OpenRound(now, send);
    if (round_open)
      if (Enough()) {
        round_open = false;
        for (const auto& [id, o] : tails)
          if (peers.at(id).life == o.life)
            peers.at(id).cleared = true;
        Advance(now, send);
      }
    if (fresh)
      Pump(now, from, send, true);
  }
  void OpenRound(Ms now, const Send& send) {
    ++round;
    round_open = true;
    tails.clear();
    asked = now;
    for (Id id : keepers)
      send(id, Seek{token, round});
  }

  void kept(Ms now, Id from, const Kept& k, const Send& send) {
    if (k.token > token)
      return Fence();
    Peer& p = peers.at(from);
    if (!p.known || phase < Phase::kRewriting || phase == Phase::kFenced)
      return;
    if (k.unsought && k.life != p.life) {
      witnessed[from] = std::max(witnessed[from], std::min(p.match, committed));
      p = Peer{};
      if (terms.doubt_restarts)
        return OpenRound(now, send);
      p.sought = now;
      return send(from, Seek{token, round});
    }
    if (k.life != p.life || k.token != token)
      return;
    p.last = k.last;
    p.full = k.full;
    p.partial = k.partial;
    if (k.stranded && p.session == 0 && !p.stranded) {
      p.stranded = true;
      p.match = 0;
      p.next = 1;
      p.probing = true;
    }
    if (p.stranded)
      return p.fetching ? void() : BringUp(now, from, send);
    if (k.refused) {
      bool nearer = k.hint + 1 < p.next;
      p.next = std::max(p.match, std::min(k.hint, Last())) + 1;
      p.probing = true;
      if (nearer && !k.full)
        Pump(now, from, send);
      return;
    }
    p.holed = !k.holes.empty();
    if (p.session != 0 && !k.partial && k.up_to >= p.session_forgotten)
      p.session = 0;
    p.match = std::max(p.match, std::min(k.up_to, Last()));
    if (phase == Phase::kServing && Counts(p) && p.match >= committed)
      p.corrupted = false;
    if (!k.full)
      p.probing = false;
    p.next = k.full ? p.match + 1 : std::max(p.next, p.match + 1);
    if (k.plan.up_to != 0 && phase == Phase::kServing && !p.holed && !p.partial)
      Suggest(k.plan);
    Advance(now, send);
    if (phase != Phase::kFenced && !k.full)
      Pump(now, from, send);
  }
  void Suggest(const Plan& p) {
    Offset up_to = std::min(p.up_to, committed == 0 ? 0 : committed - 1);
    plan.token = token;
    plan.up_to = std::max(plan.up_to, up_to);
    plan.forget = std::max(plan.forget,
                           std::min({p.forget, tombstone_early ? plan.up_to : least, plan.up_to}));
  }
  void Advance(Ms now, const Send& send) {
    std::vector<Offset> at;
    for (const auto& [id, p] : peers)
      at.push_back(Counts(p) ? p.match : 0);
    std::sort(at.begin(), at.end(), std::greater<>());
    Offset n = std::min(at[terms.break_majority ? 0 : Majority() - 1], Last());
    // Only by one of its own token: one of before may be at a majority and still give way to a
    // third writer's.
    if (n <= committed || TokenAt(n) != token)
      return;
    committed = n;
    if (phase == Phase::kRewriting && committed >= Last())
      phase = Phase::kServing;
    std::vector<Under> done;
    while (!under.empty() && under.front().last <= committed) {
      done.push_back(std::move(under.front()));
      under.pop_front();
    }
    Trim();
    for (auto& u : done)
      u.done(Outcome::kAcknowledged, u.first);
    (void)now;
    (void)send;
  }

  void Tick(Ms now, const Send& send) {
    switch (phase) {
      case Phase::kFenced:
        return;
      case Phase::kSeeking:
        if (now < asked + terms.again)
          return;
        asked = now;
        for (Id id : keepers)
          if (!tails.count(id))
            send(id, Seek{token, round});
        // Enough answers that are not good enough: all are asked again, as one may have been
        // healed.
        if (tails.size() >= Majority() && now >= progressed + 4 * terms.again)
          Again(now);
        return;
      case Phase::kFetching:
        if (now >= progressed + 8 * terms.again)
          return Again(now);  // it has fallen silent, or has other words now
        if (now >= asked + terms.again)
          FetchTail(now, send);
        return;
      case Phase::kRewriting:
      case Phase::kServing:
        break;
    }
    if (round_open && now >= asked + terms.again) {
      asked = now;
      for (Id id : keepers)
        if (!tails.count(id))
          send(id, Seek{token, round});
    }
    if (!round_open && now >= asked + 4 * terms.again)
      for (const auto& [id, p] : peers)
        if (p.known && !p.cleared) {  // brought up by now, perhaps
          OpenRound(now, send);
          break;
        }
    for (auto& [id, p] : peers) {
      if (phase == Phase::kFenced)
        return;
      if (!p.known) {
        if (now >= p.sought + terms.again && !round_open) {
          p.sought = now;
          send(id, Seek{token, round});
        }
        continue;
      }
      bool behind = p.match < Last() || p.probing || p.partial;
      if (p.fetching ? now < p.fetched + terms.again
                     : now < p.sent + (behind && !p.full ? terms.again : terms.heartbeat))
        continue;
      p.full = false;
      // A piece or its answer is lost: again from what it surely has; a session anew goes on from
      // where it is.
      if (behind && !p.fetching && !p.probing)
        p.next = p.match + 1;
      if (behind && p.probing && p.next > Last())
        p.next = std::min(p.next, Last() + 1);
      Pump(now, id, send, true);
    }
  }
  void Again(Ms now) {
    phase = Phase::kSeeking;
    ++round;
    round_open = true;
    tails.clear();
    asked = -1e300;
    progressed = now;
    window.clear();
    window_bytes = 0;
    committed = 0;
    base = 0;
    base_token = 0;
    best = 0;
  }
};

Writer::Writer(Id self, std::vector<Id> keepers, KeeperTerms terms, LogTerms log_terms, Token token,
               Ms now)
    : inner_(std::make_shared<Inner>(self, std::move(keepers), terms, token, now)) {
  inner_->tombstone_early = log_terms.breaks.tombstone_early;
}

void Writer::Tick(Ms now, const Send& send) {
  inner_->Tick(now, send);
}

void Writer::Receive(Ms now, Id from, const Message& m, const Send& send) {
  auto in = inner_;  // a Done may end this writer
  if (in->phase == Phase::kFenced || !in->peers.count(from))
    return;
  if (auto* t = std::get_if<Tail>(&m)) {
    in->tail(now, from, *t, send);
  } else if (auto* k = std::get_if<Kept>(&m)) {
    in->kept(now, from, *k, send);
  } else if (auto* f = std::get_if<Fetched>(&m)) {
    if (in->phase == Phase::kFetching) {
      if (from == in->best)
        in->FetchedTail(now, *f, send);
    } else if (in->phase > Phase::kFetching) {
      for (auto& [id, p] : in->peers)
        if (p.known && p.fetching && p.fetch_after == f->after && id != from)
          in->Relay(now, id, from, *f, send);
    }
  }
}

bool Writer::Write(Ms now, const std::vector<Put>& batch, Done done, const Send& send, Ms at) {
  auto in = inner_;
  if (in->phase != Phase::kServing || in->under.size() >= in->terms.most_under_way || batch.empty())
    return false;
  std::size_t bytes = 0, waiting = 0;
  for (const Put& p : batch) {
    if (p.key.empty() || p.key.size() > kLongestKey || p.value.size() > kLongestValue ||
        (p.tombstone && !p.value.empty()) || static_cast<std::size_t>(p.stream) >= kStreams)
      return false;
    bytes += p.key.size() + p.value.size() + 40;
  }
  for (Offset o = in->committed + 1; o <= in->Last(); ++o)
    waiting += SizeOf(in->window[o - in->base - 1]);
  if (waiting != 0 && waiting + bytes > in->terms.most_window)
    return false;
  Offset first = in->Last() + 1;
  for (const Put& p : batch)
    in->Push(
        {in->Last() + 1, in->token, p.stream, p.key, p.tombstone, p.value, at >= 0 ? at : now});
  in->under.push_back({first, in->Last(), std::move(done)});
  for (Id id : in->keepers)
    if (!in->peers.at(id).probing)
      in->Pump(now, id, send);
  return true;
}

void Writer::Passed(Ms, Offset least) {
  inner_->least = least;
}
void Writer::Stop() {
  inner_->Fence();
}
Phase Writer::phase() const {
  return inner_->phase;
}
Token Writer::token() const {
  return inner_->token;
}
Offset Writer::Committed() const {
  return inner_->committed;
}
bool Writer::Founded() const {
  return inner_->founded_anew;
}
Writer Writer::copy() const {
  Writer w(*this);
  w.inner_ = std::make_shared<Inner>(*inner_);
  return w;
}
std::string Writer::state() const {
  const Inner& in = *inner_;
  std::string s;
  auto add = [&](auto... v) {
    ((s += std::to_string(v) + ' '), ...);
  };
  add(in.token, static_cast<int>(in.phase), in.round, in.round_open, in.best, in.best_last, in.base,
      in.committed, in.base_token, in.cleaned, in.forgotten, in.plan.up_to, in.sessions,
      in.founded_anew);
  for (const auto& [id, p] : in.peers)
    add(id, p.known, p.cleared, p.corrupted, p.holed, p.partial, p.full, p.probing, p.life, p.match,
        p.next, p.last, p.fetching, p.fetch_after, p.session);
  for (const auto& [id, t] : in.tails)
    add(id, t.life, t.last, t.last_token, t.committed, t.doubted, t.unproved, t.corrupted,
        t.seen.size());
  for (const Entry& e : in.window)
    add(e.offset, e.token, Digest(e));
  for (const auto& u : in.under)
    add(u.first, u.last);
  return s;
}
std::map<Id, Offset> Writer::Held() const {
  std::map<Id, Offset> out;
  for (const auto& [id, p] : inner_->peers)
    out[id] = p.match;
  return out;
}

}  // namespace dunlinwick::record
