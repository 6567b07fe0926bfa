// The owner's side: takes over behind its token, then writes; brings up who is behind.
#include <algorithm>

#include "record/keepers.hpp"

namespace dunlinwick::record {

const char* word(Phase phase) {
  static const char* const words[] = {"seeking", "fetching", "rewriting", "serving", "fenced"};
  return words[static_cast<std::size_t>(phase)];
}

namespace {
constexpr std::size_t piecesInFlight = 8;  // to one keeper
std::size_t sizeOf(const Entry& e) { return e.key.size() + e.value.size() + 40; }

struct Peer {
  bool known = false;    // its life has answered our Seek
  bool cleared = false;  // not doubted, or proved by us
  bool spoilt = false;    // found to be old, and not brought up yet
  bool holed = false, stranded = false, partial = false, full = false;
  bool probing = true;   // what it has in common is being looked for: one message at a time
  std::uint64_t life = 0;
  Offset match = 0, next = 1, last = 0;
  Ms sent = -1e300, sought = -1e300;
  // Being brought up from another keeper, as the window does not reach back so far.
  bool fetching = false;
  Offset fetchAfter = 0;
  Ms fetched = -1e300;
  std::uint64_t session = 0;  // anew; 0: none
  Offset sessionForgotten = 0;  // by its one source, all along: pieces of logs that have forgotten and of such that have not do
  Id sessionSource = 0;         // not go together, as a tombstone would be missing between them
};
}  // namespace

struct Writer::Inner {
  Id self;
  std::vector<Id> keepers;
  KeeperTerms terms;
  Token token;
  Phase phase = Phase::seeking;
  bool foundedAnew = false;
  std::map<Id, Peer> peers;
  // A round of Seek; its answers decide on the tail, later on who is doubted no more.
  std::uint64_t round = 1;
  bool roundOpen = true;
  std::map<Id, Tail> tails;
  std::map<Id, Offset> witnessed;  // by keeper: what it was known to hold of what is committed
  Id best = 0;
  Offset bestLast = 0;
  Ms asked = -1e300, progressed = 0;
  // What is not at every keeper yet, or not committed: contiguous from base + 1.
  std::deque<Entry> window;
  std::size_t windowBytes = 0;
  Offset base = 0, committed = 0;
  Token baseToken = 0;
  Offset cleaned = 0, forgotten = 0, least = 0;
  Plan plan;
  struct Under {
    Offset first, last;
    Done done;
  };
  std::deque<Under> under;
  bool tombstoneEarly = false;  // broken on purpose
  std::uint64_t sessions = 0;
  std::size_t sourceTurn = 0;

  Inner(Id s, std::vector<Id> k, KeeperTerms t, Token n, Ms now) : self(s), keepers(std::move(k)), terms(t), token(n), progressed(now) {
    for (Id id : keepers) peers[id];
  }

  std::size_t majority() const { return keepers.size() / 2 + 1; }
  Offset last() const { return base + window.size(); }
  Token tokenAt(Offset o) const {
    if (o == base) return baseToken;
    return o > base && o <= last() ? window[o - base - 1].token : 0;
  }
  bool counts(const Peer& p) const { return p.known && p.cleared && !p.holed && !p.partial; }

  void fence() {
    if (phase == Phase::fenced) return;
    phase = Phase::fenced;
    auto gone = std::move(under);
    under.clear(), window.clear(), windowBytes = 0;
    for (auto& u : gone) u.done(Outcome::unsure, u.first);
  }

  // ---- taking over
  // One half brought up holds less than it did: it let go only of what a majority had without it, so it is whole, but behind.
  static bool partial(const Tail& t) { return t.cleaned > t.committed; }
  static Offset reach(Id id, const Tail& t) {
    Offset n = t.last;
    for (auto [who, upTo] : t.seen)
      if (who == id) n = std::max(n, upTo);
    return n;
  }
  bool spoilt(Id id, const Tail& t, bool someHold) const {
    if (t.spoilt) return true;
    if (tails.size() == keepers.size()) return false;  // a majority of all is whole, and has the best tail
    if (someHold && (t.last == 0 || t.unproved)) return true;
    return old(id, t);
  }
  bool old(Id id, const Tail& t) const {
    for (const auto& [other, o] : tails)
      for (auto [who, upTo] : o.seen)
        if (who == id && upTo > reach(id, t)) return true;
    return false;
  }
  // Those of this round whose word counts, if they are enough.
  std::optional<std::vector<Id>> enough() const {
    bool someHold = false;
    Offset least = 0;  // what is known to be committed, by anybody's word
    for (const auto& [id, t] : tails) {
      someHold = someHold || t.last != 0 || t.committed != 0;
      least = std::max(least, t.committed);
      for (auto [who, upTo] : t.seen)
        if (peers.count(who)) someHold = someHold || upTo != 0, least = std::max(least, upTo);
    }
    if (!someHold && tails.size() < keepers.size()) return std::nullopt;  // one that is silent may hold everything
    std::vector<Id> ok;
    std::size_t doubted = 0;
    Offset most = 0;
    for (const auto& [id, t] : tails) {
      if (spoilt(id, t, someHold)) continue;
      ok.push_back(id), doubted += t.doubted ? 1 : 0, most = std::max(most, partial(t) ? 0 : t.last);
    }
    std::size_t need = majority(), minority = keepers.size() - need, bad = tails.size() - ok.size();
    // Up to a minority of disks may be old: those found to be so are of it.
    if (terms.doubtRestarts) need += std::min(doubted, minority - std::min(minority, bad));
    // Fewer than is known to be committed: they can't all be whole.
    if (ok.size() < need || most < least) {
      if (!(terms.breakOwnDisk && tails.count(self))) return std::nullopt;
    }
    return ok;
  }
  void choose(Ms now, const Send& send) {
    auto ok = enough();
    if (!ok) return;
    roundOpen = false;
    auto better = [&](const Tail& a, const Tail& b) {
      if (terms.breakLongest) return a.last != b.last ? a.last > b.last : a.lastToken > b.lastToken;
      return a.lastToken != b.lastToken ? a.lastToken > b.lastToken : a.last > b.last;
    };
    best = ok->empty() ? self : ok->front();
    for (Id id : *ok)
      if (!partial(tails.at(id)) && (partial(tails.at(best)) || better(tails.at(id), tails.at(best)))) best = id;
    if (terms.breakOwnDisk && tails.count(self)) best = self;
    const Tail& t = tails.at(best);
    bestLast = t.last;
    for (const auto& [id, o] : tails) {
      committed = std::max(committed, o.committed);
      cleaned = std::max(cleaned, o.cleaned), forgotten = std::max(forgotten, o.forgotten);
    }
    // Its entries are counted from where it surely has what is committed; the best tail has all of that.
    committed = std::min(committed, bestLast);
    if (terms.breakReuse) bestLast = committed;
    foundedAnew = bestLast == 0;
    base = committed, baseToken = base == t.last ? t.lastToken : 0;
    window.clear(), windowBytes = 0;
    // A majority has just promised: whoever has promised with it, old or empty, counts for what we bring it.
    for (const auto& [id, o] : tails) meet(id, o), peers.at(id).cleared = true;
    phase = Phase::fetching, progressed = now;
    fetchTail(now, send);
  }
  void fetchTail(Ms now, const Send& send) {
    if (last() >= bestLast) return rewrite(now, send);
    asked = now;
    send(best, Fetch{last(), bestLast, {}});
  }
  void fetchedTail(Ms now, const Fetched& f, const Send& send) {
    if (f.after != last()) return;
    if (f.after == base && f.afterToken != 0) baseToken = f.afterToken;
    for (const Entry& e : f.entries) {
      if (e.offset != last() + 1 || e.offset > bestLast) break;
      if (e.token > token) return fence();
      push(e), progressed = now;
    }
    fetchTail(now, send);
  }
  void rewrite(Ms now, const Send& send) {
    if (terms.breakRewrite)
      for (Entry& e : window) e.token = token;
    if (!window.empty()) window.back().token = token;
    phase = window.empty() ? Phase::serving : Phase::rewriting;
    for (auto& [id, p] : peers) {
      if (!p.known) continue;
      p.next = last() + 1, p.match = 0, p.probing = true;
      if (!window.empty()) p.next = last();
      pump(now, id, send);
    }
  }
  // It may have forgotten a promise to a later writer: it counts only after another round of a majority's promises. Without it,
  // a late owner takes acknowledged offsets again, with the help of a keeper that lost its disk.
  bool suspicious(Id id, const Tail& t) const {
    auto w = witnessed.find(id);
    return t.doubted && (terms.doubtRestarts || t.unproved || t.last == 0 || t.spoilt || (w != witnessed.end() && reach(id, t) < w->second));
  }
  bool found(Id id, const Tail& t) const {
    auto w = witnessed.find(id);
    return t.spoilt || old(id, t) || (w != witnessed.end() && reach(id, t) < w->second);
  }
  // A life of a keeper is met: what it has in common with us is not known yet.
  void meet(Id id, const Tail& t) {
    Peer& p = peers.at(id);
    for (auto [who, upTo] : t.seen) witnessed[who] = std::max(witnessed[who], upTo);
    p = Peer{.known = true, .cleared = !suspicious(id, t), .spoilt = found(id, t), .holed = !t.holes.empty(), .partial = partial(t), .life = t.life,
             .next = std::min(t.last, last()) + 1, .last = t.last};
  }

  // ---- writing
  void push(const Entry& e) { windowBytes += sizeOf(e), window.push_back(e); }
  void trim() {
    while (!window.empty() && base < committed && windowBytes > terms.mostWindow / 2)
      windowBytes -= sizeOf(window.front()), baseToken = window.front().token, ++base, window.pop_front();
  }
  Append frame(const Peer& p, Offset after, Token afterToken) const {
    Append a;
    a.token = token, a.life = p.life, a.after = after, a.afterToken = afterToken, a.committed = committed;
    a.proves = phase == Phase::serving && p.cleared && p.match >= committed, a.spoilt = p.spoilt, a.cleaned = cleaned, a.forgotten = forgotten, a.passed = least;
    return a;
  }
  // Sends what is next, or looks for what is common; with nothing to send, nothing.
  void pump(Ms now, Id id, const Send& send, bool beat = false) {
    Peer& p = peers.at(id);
    if (!p.known || phase < Phase::rewriting || phase == Phase::fenced) return;
    if ((p.partial || p.stranded) && p.session == 0) p.next = 1;
    if (p.next <= base || ((p.partial || p.stranded) && p.session == 0)) return bringUp(now, id, send);
    p.fetching = false;
    for (std::size_t n = 0;; ++n) {
      Append a = frame(p, p.next - 1, tokenAt(p.next - 1));
      if (p.session != 0) a.anew = true, a.session = p.session, a.forgotten = p.sessionForgotten;
      std::size_t bytes = 0;
      for (Offset o = p.next; !p.full && o <= last(); ++o) {
        const Entry& e = window[o - base - 1];
        if (!a.entries.empty() && bytes + sizeOf(e) > terms.pieceBytes) break;
        bytes += sizeOf(e), a.entries.push_back(e);
      }
      if (a.entries.empty() && !beat && !(p.probing && n == 0)) return;
      if (a.entries.empty() || beat) {
        if (a.entries.empty()) a.plan = plan;
        // What is known to be at others and committed: never truncated there, so whoever is behind it has lost it.
        for (const auto& [other, o] : peers)
          if (Offset held = std::min(o.match, committed); held != 0) a.held.emplace_back(other, held);
      }
      beat = false, p.sent = now;
      if (!a.entries.empty()) p.next = a.entries.back().offset + 1;
      bool more = !a.entries.empty() && !p.probing && n + 1 < piecesInFlight;
      send(id, a);
      if (!more || phase == Phase::fenced) return;
    }
  }
  std::optional<std::pair<Id, Offset>> source(Id notFor, Id only) {
    std::vector<std::pair<Id, Offset>> can;
    for (const auto& [id, p] : peers)
      if (id != notFor && (only == 0 || id == only) && counts(p) && p.match >= base && p.match != 0) can.emplace_back(id, std::min(p.match, committed));
    if (can.empty() && best != notFor && best != 0 && (only == 0 || only == best)) can.emplace_back(best, std::min(bestLast, committed));
    if (can.empty()) return std::nullopt;
    return can[sourceTurn++ % can.size()];
  }
  void bringUp(Ms now, Id id, const Send& send, Id of = 0) {
    Peer& p = peers.at(id);
    if (p.fetching && now < p.fetched + terms.again) return;
    auto from = source(id, p.session != 0 ? p.sessionSource : of);
    if (!from && p.session != 0) p.session = 0, p.next = 1, from = source(id, 0);
    if (!from) return;
    p.fetching = true, p.fetchAfter = p.next - 1, p.fetched = now;
    send(from->first, Fetch{p.fetchAfter, from->second, {}});
  }
  void relay(Ms now, Id id, Id from, const Fetched& f, const Send& send) {
    Peer& p = peers.at(id);
    p.fetching = false;
    if (f.entries.empty() || f.entries.back().offset > committed) return;
    cleaned = std::max(cleaned, f.cleaned), forgotten = std::max(forgotten, f.forgotten);
    bool inSession = p.session != 0 && p.sessionForgotten == f.forgotten && p.sessionSource == from && f.after != 0;
    if (p.session != 0 && !inSession && f.after != 0) {
      p.session = 0, p.next = 1;
      return bringUp(now, id, send);
    }
    if ((f.after < f.forgotten || p.partial || p.stranded) && !inSession) {
      // It has not heard of tombstones that are gone: only anew. It forgets what it has, which must not be missed then.
      std::size_t others = 0;
      for (const auto& [o, q] : peers) others += o != id && counts(q) && q.match >= committed ? 1 : 0;
      if (p.last >= f.cleaned && (phase != Phase::serving || others < majority())) return;
      p.session = 0;
      // Of the same source: with another in turn that has forgotten less, what it has of old is common again, in a circle for ever.
      if (f.after != 0) {
        p.next = 1;
        return bringUp(now, id, send, from);
      }
      p.stranded = false;
      p.session = ++sessions, p.sessionForgotten = f.forgotten, p.sessionSource = from, p.match = 0;
    } else if (!inSession) {
      p.session = 0;
    }
    Append a = frame(p, f.after, f.afterToken);
    a.entries = f.entries, a.cleaned = f.cleaned, a.forgotten = f.forgotten, a.anew = p.session != 0, a.session = p.session;
    p.next = f.entries.back().offset + 1, p.sent = now, p.probing = true;
    send(id, a);
  }

  void tail(Ms now, Id from, const Tail& t, const Send& send) {
    if (t.token > token) return fence();
    if (t.token != token || t.round != round) return;
    Peer& p = peers.at(from);
    if (phase == Phase::seeking) {
      tails[from] = t;
      return choose(now, send);
    }
    if (roundOpen) tails[from] = t;
    bool fresh = !p.known || p.life != t.life;
    if (fresh) meet(from, t);
    cleaned = std::max(cleaned, t.cleaned), forgotten = std::max(forgotten, t.forgotten);
    if (!p.cleared && !roundOpen) openRound(now, send);
    if (roundOpen)
      if (enough()) {
        roundOpen = false;
        for (const auto& [id, o] : tails)
          if (peers.at(id).life == o.life) peers.at(id).cleared = true;
        advance(now, send);
      }
    if (fresh) pump(now, from, send, true);
  }
  void openRound(Ms now, const Send& send) {
    ++round, roundOpen = true, tails.clear(), asked = now;
    for (Id id : keepers) send(id, Seek{token, round});
  }

  void kept(Ms now, Id from, const Kept& k, const Send& send) {
    if (k.token > token) return fence();
    Peer& p = peers.at(from);
    if (!p.known || phase < Phase::rewriting || phase == Phase::fenced) return;
    if (k.unsought && k.life != p.life) {
      witnessed[from] = std::max(witnessed[from], std::min(p.match, committed));
      p = Peer{};
      if (terms.doubtRestarts) return openRound(now, send);
      p.sought = now;
      return send(from, Seek{token, round});
    }
    if (k.life != p.life || k.token != token) return;
    p.last = k.last, p.full = k.full, p.partial = k.partial;
    if (k.stranded && p.session == 0 && !p.stranded) p.stranded = true, p.match = 0, p.next = 1, p.probing = true;
    if (p.stranded) return p.fetching ? void() : bringUp(now, from, send);
    if (k.refused) {
      bool nearer = k.hint + 1 < p.next;
      p.next = std::max(p.match, std::min(k.hint, last())) + 1, p.probing = true;
      if (nearer && !k.full) pump(now, from, send);
      return;
    }
    p.holed = !k.holes.empty();
    if (p.session != 0 && !k.partial && k.upTo >= p.sessionForgotten) p.session = 0;
    p.match = std::max(p.match, std::min(k.upTo, last()));
    if (phase == Phase::serving && counts(p) && p.match >= committed) p.spoilt = false;
    if (!k.full) p.probing = false;
    p.next = k.full ? p.match + 1 : std::max(p.next, p.match + 1);
    if (k.plan.upTo != 0 && phase == Phase::serving && !p.holed && !p.partial) suggest(k.plan);
    advance(now, send);
    if (phase != Phase::fenced && !k.full) pump(now, from, send);
  }
  void suggest(const Plan& p) {
    Offset upTo = std::min(p.upTo, committed == 0 ? 0 : committed - 1);
    plan.token = token, plan.upTo = std::max(plan.upTo, upTo);
    plan.forget = std::max(plan.forget, std::min({p.forget, tombstoneEarly ? plan.upTo : least, plan.upTo}));
  }
  void advance(Ms now, const Send& send) {
    std::vector<Offset> at;
    for (const auto& [id, p] : peers) at.push_back(counts(p) ? p.match : 0);
    std::sort(at.begin(), at.end(), std::greater<>());
    Offset n = std::min(at[terms.breakMajority ? 0 : majority() - 1], last());
    // Only by one of its own token: one of before may be at a majority and still give way to a third writer's.
    if (n <= committed || tokenAt(n) != token) return;
    committed = n;
    if (phase == Phase::rewriting && committed >= last()) phase = Phase::serving;
    std::vector<Under> done;
    while (!under.empty() && under.front().last <= committed) done.push_back(std::move(under.front())), under.pop_front();
    trim();
    for (auto& u : done) u.done(Outcome::acknowledged, u.first);
    (void)now, (void)send;
  }

  void tick(Ms now, const Send& send) {
    switch (phase) {
      case Phase::fenced: return;
      case Phase::seeking:
        if (now < asked + terms.again) return;
        asked = now;
        for (Id id : keepers)
          if (!tails.count(id)) send(id, Seek{token, round});
        // Enough answers that are not good enough: all are asked again, as one may have been healed.
        if (tails.size() >= majority() && now >= progressed + 4 * terms.again) again(now);
        return;
      case Phase::fetching:
        if (now >= progressed + 8 * terms.again) return again(now);  // it has fallen silent, or has other words now
        if (now >= asked + terms.again) fetchTail(now, send);
        return;
      case Phase::rewriting:
      case Phase::serving: break;
    }
    if (roundOpen && now >= asked + terms.again) {
      asked = now;
      for (Id id : keepers)
        if (!tails.count(id)) send(id, Seek{token, round});
    }
    if (!roundOpen && now >= asked + 4 * terms.again)
      for (const auto& [id, p] : peers)
        if (p.known && !p.cleared) {  // brought up by now, perhaps
          openRound(now, send);
          break;
        }
    for (auto& [id, p] : peers) {
      if (phase == Phase::fenced) return;
      if (!p.known) {
        if (now >= p.sought + terms.again && !roundOpen) p.sought = now, send(id, Seek{token, round});
        continue;
      }
      bool behind = p.match < last() || p.probing || p.partial;
      if (p.fetching ? now < p.fetched + terms.again : now < p.sent + (behind && !p.full ? terms.again : terms.heartbeat)) continue;
      p.full = false;
      // A piece or its answer is lost: again from what it surely has; a session anew goes on from where it is.
      if (behind && !p.fetching && !p.probing) p.next = p.match + 1;
      if (behind && p.probing && p.next > last()) p.next = std::min(p.next, last() + 1);
      pump(now, id, send, true);
    }
  }
  void again(Ms now) {
    phase = Phase::seeking, ++round, roundOpen = true, tails.clear(), asked = -1e300, progressed = now;
    window.clear(), windowBytes = 0, committed = 0, base = 0, baseToken = 0, best = 0;
  }
};

Writer::Writer(Id self, std::vector<Id> keepers, KeeperTerms terms, LogTerms logTerms, Token token, Ms now)
    : inner_(std::make_shared<Inner>(self, std::move(keepers), terms, token, now)) {
  inner_->tombstoneEarly = logTerms.breaks.tombstoneEarly;
}

void Writer::tick(Ms now, const Send& send) { inner_->tick(now, send); }

void Writer::receive(Ms now, Id from, const Message& m, const Send& send) {
  auto in = inner_;  // a Done may end this writer
  if (in->phase == Phase::fenced || !in->peers.count(from)) return;
  if (auto* t = std::get_if<Tail>(&m)) {
    in->tail(now, from, *t, send);
  } else if (auto* k = std::get_if<Kept>(&m)) {
    in->kept(now, from, *k, send);
  } else if (auto* f = std::get_if<Fetched>(&m)) {
    if (in->phase == Phase::fetching) {
      if (from == in->best) in->fetchedTail(now, *f, send);
    } else if (in->phase > Phase::fetching) {
      for (auto& [id, p] : in->peers)
        if (p.known && p.fetching && p.fetchAfter == f->after && id != from) in->relay(now, id, from, *f, send);
    }
  }
}

bool Writer::put(Ms now, const std::vector<Put>& batch, Done done, const Send& send, Ms at) {
  auto in = inner_;
  if (in->phase != Phase::serving || in->under.size() >= in->terms.mostUnderWay || batch.empty()) return false;
  std::size_t bytes = 0, waiting = 0;
  for (const Put& p : batch) {
    if (p.key.empty() || p.key.size() > longestKey || p.value.size() > longestValue || (p.tombstone && !p.value.empty()) ||
        static_cast<std::size_t>(p.stream) >= streams)
      return false;
    bytes += p.key.size() + p.value.size() + 40;
  }
  for (Offset o = in->committed + 1; o <= in->last(); ++o) waiting += sizeOf(in->window[o - in->base - 1]);
  if (waiting != 0 && waiting + bytes > in->terms.mostWindow) return false;
  Offset first = in->last() + 1;
  for (const Put& p : batch) in->push({in->last() + 1, in->token, p.stream, p.key, p.tombstone, p.value, at >= 0 ? at : now});
  in->under.push_back({first, in->last(), std::move(done)});
  for (Id id : in->keepers)
    if (!in->peers.at(id).probing) in->pump(now, id, send);
  return true;
}

void Writer::passed(Ms, Offset least) { inner_->least = least; }
void Writer::stop() { inner_->fence(); }
Phase Writer::phase() const { return inner_->phase; }
Token Writer::token() const { return inner_->token; }
Offset Writer::committed() const { return inner_->committed; }
bool Writer::founded() const { return inner_->foundedAnew; }
Writer Writer::copy() const {
  Writer w(*this);
  w.inner_ = std::make_shared<Inner>(*inner_);
  return w;
}
std::string Writer::state() const {
  const Inner& in = *inner_;
  std::string s;
  auto add = [&](auto... v) { ((s += std::to_string(v) + ' '), ...); };
  add(in.token, static_cast<int>(in.phase), in.round, in.roundOpen, in.best, in.bestLast, in.base, in.committed, in.baseToken, in.cleaned,
      in.forgotten, in.plan.upTo, in.sessions, in.foundedAnew);
  for (const auto& [id, p] : in.peers)
    add(id, p.known, p.cleared, p.spoilt, p.holed, p.partial, p.full, p.probing, p.life, p.match, p.next, p.last, p.fetching, p.fetchAfter, p.session);
  for (const auto& [id, t] : in.tails) add(id, t.life, t.last, t.lastToken, t.committed, t.doubted, t.unproved, t.spoilt, t.seen.size());
  for (const Entry& e : in.window) add(e.offset, e.token, digest(e));
  for (const auto& u : in.under) add(u.first, u.last);
  return s;
}
std::map<Id, Offset> Writer::held() const {
  std::map<Id, Offset> out;
  for (const auto& [id, p] : inner_->peers) out[id] = p.match;
  return out;
}

}  // namespace dunlinwick::record
