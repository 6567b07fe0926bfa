// Evidence and verdicts: what each front says of itself, what this front holds of it, votes, and what a quorum or the owner holds.
#include <algorithm>
#include <cmath>

#include "drift/inner.hpp"

namespace dunlinwick::drift {

using Inner = Drift::Inner;

namespace {

// Rounds until news of one front has reached all: pushed to `fanout` others by each who has it, then the last few by chance.
double spread(const Terms& t) {
  double n = static_cast<double>(std::max<std::size_t>(2, t.fronts)), f = std::max(1, t.fanout);
  return std::ceil(std::log(n) / std::log(1 + f)) + std::ceil(std::log(n) / f) + 2;
}

constexpr std::size_t mostCasesOfOne = 4, leastSpan = 64;

void add(const std::string& from, std::vector<bool>& to) {
  for (std::size_t i = 0; i < to.size() && i / 8 < from.size(); ++i)
    if (static_cast<unsigned char>(from[i / 8]) >> (i % 8) & 1) to[i] = true;
}
void add(const Told::Ballot& from, Inner::Ballot& to) {
  to.token = std::max(to.token, from.token);
  add(from.voters, to.voters), add(from.withdrawn, to.withdrawn);
}

}  // namespace

// The change is in the next word (1), has stood for `steady` words, spreads; votes are given and spread in turn (1 more for the round's phase).
Ms foundWithin(const Terms& t) { return (2 * spread(t) + t.steady + 2) * t.round; }
// Of the datagrams of each of both spreads a share is lost: growth is 1 + fanout * (1 - loss) a round.
Ms lossAdds(const Terms& t, double loss) {
  double n = static_cast<double>(std::max<std::size_t>(2, t.fronts)), f = std::max(1, t.fanout), g = f * (1 - std::min(loss, 0.9));
  double more = std::log(n) / std::log(1 + g) - std::log(n) / std::log(1 + f) + std::log(n) / g - std::log(n) / f;
  return loss <= 0 ? 0 : (2 * std::ceil(more) + std::ceil(4 * loss)) * t.round;
}
std::uint64_t spanOf(std::uint64_t seq, std::uint64_t changed, std::size_t fronts) {
  return (seq - std::min(seq, changed)) / std::max(leastSpan, fronts);
}
// A word of each front each round; of n rows 32 ride along, so that the freshest of one is older the more there are.
Ms silentFor(const Terms& t) { return t.silent + t.round * static_cast<double>(t.fronts) / 8; }

std::size_t Inner::index(Id who) const {
  return static_cast<std::size_t>(std::lower_bound(ids.begin(), ids.end(), who) - ids.begin());
}

Form Inner::governed() const {
  if (!approval) return active;
  Form out;
  for (const auto& [name, section] : approval->form)
    if (auto it = active.find(name); it != active.end()) out.insert(*it);
  return out;
}

std::vector<Difference> Inner::ownFields() const {
  return approval ? differences(active, approval->form, classes) : std::vector<Difference>{};
}

void Inner::ownWord(Ms now, bool round) {
  if (round) ++seq;
  Seen& s = seen[self];
  std::uint64_t a = digest(governed()), p = approval ? digest(approval->form) : 0;
  // A change within a round begins with the next numbered word, so that no number says two things.
  if (!round && s.seq != 0) return;
  if (s.seq == 0 || outdone || a != s.active || p != s.approved || version != s.version) changed = seq;
  outdone = false;
  merge(self, seq, version, a, p, changed, now);
}

// Words are numbered from the clock as at the start. After a restart under a clock that was set back the others hold this front's
// earlier words for the newer ones, and would pass over all it says until the clock has come up to them. As a SWIM member does with its
// incarnation, it goes on above what is told of it; its next word is a new one, whatever it said before.
void Inner::outdo(std::uint64_t told) {
  constexpr std::uint64_t kHighest = ~std::uint64_t{0} - (std::uint64_t{1} << 40);  // room for words to come: beyond it a fault
  if (told <= seq || told > kHighest) return;
  seq = told + 1;
  outdone = true;
}

void Inner::merge(Id who, std::uint64_t newSeq, Version v, std::uint64_t a, std::uint64_t p, std::uint64_t ch, Ms now) {
  Seen& s = seen[who];
  if (newSeq <= s.seq && s.at != never) return;
  auto last = static_cast<std::uint64_t>(std::max(1, terms.steady) - 1);
  bool news = s.at == never || ch != s.changed, ripe = newSeq - ch >= last && s.seq - s.changed < last;
  if (news) s.changedAt = now;
  if (news || ripe) s.sends = 0;
  if (v != s.version || s.at == never) s.aboveSince = now;
  s.seq = newSeq, s.version = v, s.active = a, s.approved = p, s.changed = ch, s.at = now;
  if (news) prune(who);
}

void Inner::prune(Id who) {
  auto it = cases.find(who);
  if (it == cases.end()) return;
  auto s = seen.find(who);
  auto w = wanted.find(who);
  std::erase_if(it->second, [&](const Case& c) {
    return (s != seen.end() && s->second.at != never && c.changed < s->second.changed) || (w != wanted.end() && c.wanted < w->second.version);
  });
  if (it->second.empty()) cases.erase(it);
}

void Inner::mergeCase(const Told::Case& c, Ms now) {
  (void)now;
  if (zoneOf.count(c.who) == 0 || !bad(static_cast<Standing>(c.standing))) return;
  auto s = seen.find(c.who);
  if (s != seen.end() && s->second.at != never && c.changed < s->second.changed) return;
  if (auto w = wanted.find(c.who); w != wanted.end() && c.wanted < w->second.version) return;
  std::vector<Case>& all = cases[c.who];
  auto it = std::find_if(all.begin(), all.end(), [&](const Case& k) {
    return k.changed == c.changed && k.wanted == c.wanted && static_cast<std::uint8_t>(k.standing) == c.standing;
  });
  if (it == all.end()) {
    if (all.size() >= mostCasesOfOne) {  // the oldest goes
      auto old = std::min_element(all.begin(), all.end(), [](const Case& x, const Case& y) {
        return std::pair(x.changed, x.wanted) < std::pair(y.changed, y.wanted);
      });
      if (std::pair(old->changed, old->wanted) >= std::pair(c.changed, c.wanted)) return;
      all.erase(old);
    }
    Ballot none{0, std::vector<bool>(ids.size()), std::vector<bool>(ids.size())};
    all.push_back({static_cast<Standing>(c.standing), c.changed, c.wanted, c.span, none, none, {}});
    it = all.end() - 1;
  }
  // Of both, the votes of each span together, then the newest two spans: in any order, and heard twice, the same comes out.
  if (c.span > it->span) {
    Ballot none{0, std::vector<bool>(ids.size()), std::vector<bool>(ids.size())};
    it->before = c.span - it->span == 1 ? std::move(it->newest) : none;
    it->newest = none, it->span = c.span;
  }
  if (c.span == it->span) add(c.newest, it->newest), add(c.before, it->before);
  else if (it->span - c.span == 1) add(c.newest, it->before);
  if (it->fields.empty()) it->fields = c.fields;
}

// A withdrawal holds over the votes of its span and the one before; a vote of a later span over it.
bool Inner::Case::counts(std::size_t i) const {
  return !newest.withdrawn[i] && (newest.voters[i] || (before.voters[i] && !before.withdrawn[i]));
}

Standing Inner::evaluate(Id who, Ms now) const {
  auto w = wanted.find(who);
  auto s = seen.find(who);
  if (w == wanted.end() || w->second.version == 0 || s == seen.end() || s->second.at == never) return Standing::unknown;
  const Wanted& want = w->second;
  const Seen& is = s->second;
  if (who != self && now - is.at > silentFor(terms)) return Standing::unknown;
  if (is.version == want.version && is.approved != want.digest) return Standing::forked;
  if (is.active == want.digest) return Standing::inStep;
  // Ours may be the record that is behind; or it has only begun and has heard none yet.
  if (is.version > want.version) return now - is.aboveSince > terms.recordLag ? Standing::unapproved : Standing::converging;
  if (is.version == 0 && now - is.aboveSince <= terms.recordLag) return Standing::converging;
  if (is.version != 0 && is.version < want.version && !want.past.empty() && is.version > want.past.front().version) {
    bool was = std::any_of(want.past.begin(), want.past.end(), [&](const Past& p) { return p.version == is.version; });
    if (!was) return Standing::unapproved;
  }
  if (now < want.until) return Standing::converging;
  if (is.at <= want.until) return Standing::converging;  // no word since the term ended
  return Standing::drifted;
}

std::size_t Inner::quorum() const {
  if (terms.quorum != 0) return terms.quorum;
  std::size_t off = 0;
  for (const auto& [who, a] : asideOf) off += a.on;
  return (ids.size() - std::min(off, ids.size() - 1)) / 2 + 1;
}

// Forked and unapproved are each a drift as well: votes for them count for it, so that fronts which can't tell (they know too little of
// what was) and fronts which can do not split.
Standing Inner::common(Id who, Case** of) {
  auto it = cases.find(who);
  if (it == cases.end()) return Standing::unknown;
  auto s = seen.find(who);
  auto w = wanted.find(who);
  Standing best = Standing::unknown;
  std::pair<std::uint64_t, Version> newest{0, 0};
  for (const Case& c : it->second) newest = std::max(newest, {c.changed, c.wanted});
  std::vector<bool> any(ids.size());
  bool owner = false;
  for (Case& c : it->second) {
    if (std::pair(c.changed, c.wanted) != newest) continue;
    if (s != seen.end() && c.changed < s->second.changed) continue;
    if (w != wanted.end() && c.wanted < w->second.version) continue;
    std::size_t votes = 0;
    for (std::size_t i = 0; i < ids.size(); ++i) {
      if (!c.counts(i)) continue;
      auto a = asideOf.find(ids[i]);
      if (a != asideOf.end() && a->second.on) continue;
      any[i] = true, ++votes;
    }
    Token token = std::max(c.newest.token, c.before.token);
    bool byOwner = token != 0 && token == highest;
    owner |= byOwner;
    if (of != nullptr && (*of == nullptr || !c.fields.empty())) *of = &c;
    if ((votes >= quorum() || byOwner) && c.standing > best) best = c.standing;
  }
  if (best == Standing::unknown && static_cast<std::size_t>(std::count(any.begin(), any.end(), true)) >= quorum()) best = Standing::drifted;
  return best;
}

void Inner::judge(Ms now) {
  auto last = static_cast<std::uint64_t>(std::max(1, terms.steady) - 1);
  for (Id who : ids) {
    prune(who);
    Standing raw = evaluate(who, now);
    Standing& h = held[who];
    auto s = seen.find(who);
    bool steady = s != seen.end() && s->second.at != never && s->second.seq - s->second.changed >= last;
    if (raw != Standing::unknown && !steady) continue;  // said too seldom: what was held stays
    h = raw;
    if (auto c = cases.find(who); c != cases.end() && h != Standing::unknown && !bad(h))
      for (Case& k : c->second)
        if (k.counts(index(self))) k.newest.withdrawn[index(self)] = true;  // astray ourselves before, or another run of us was
    if (!bad(h) || !steady) continue;
    auto a = asideOf.find(self);
    if (a != asideOf.end() && a->second.on && who != self) continue;
    Told::Case vote{who, static_cast<std::uint8_t>(h), s->second.changed, wanted[who].version,
                    spanOf(s->second.seq, s->second.changed, ids.size()), {owning() ? mine : 0, {}, {}}, {}, {}};
    std::size_t i = index(self);
    vote.newest.voters.assign(i / 8 + 1, '\0');
    vote.newest.voters[i / 8] = static_cast<char>(1 << (i % 8));
    if (who == self) vote.fields = ownFields();
    if (vote.fields.size() > 4) vote.fields.resize(4);
    mergeCase(vote, now);
  }
}

void Inner::show(Ms now) {
  for (Id who : ids) {
    Row& r = rows[who];
    Standing h = held[who], old = r.standing, next = h;
    Case* of = nullptr;
    Standing c = common(who, &of);
    if (h == Standing::unknown) next = Standing::unknown;
    else if (bad(c)) next = c;
    else if (bad(h)) next = owning() ? h : old;  // not in common yet: what stood stays
    auto s = seen.find(who);
    if (s != seen.end() && s->second.at != never) r.seenAt = s->second.at, r.version = s->second.version;
    if (auto a = asideOf.find(who); a != asideOf.end()) r.aside = a->second.on;
    std::vector<Difference> fields;
    if (bad(next) && of != nullptr) fields = of->fields;
    if (bad(next) && who == self) fields = ownFields();
    bool opened = bad(next) && !fields.empty() && r.fields.empty();
    if (!bad(next)) r.fields.clear();
    if (bad(next) && !fields.empty()) r.fields = fields;
    if (next == old && !opened) continue;
    if (next != old) r.since = bad(next) && !bad(old) && s != seen.end() ? std::min(now, s->second.changedAt) : now;
    r.standing = next;
    if (bad(next) && old == Standing::inStep) {
      auto& e = episodes[who];
      e.push_back(now);
      while (e.size() > static_cast<std::size_t>(std::max(1, terms.often))) e.pop_front();
    }
    bool fine = std::none_of(r.fields.begin(), r.fields.end(), [](const Difference& d) { return d.breaks == Breaks::rule; });
    out.push_back(Found{who, next, r.fields, r.since, fine});
  }
}

// Whether this front itself may serve what its rule fields say.
void Inner::serves(Ms now) {
  if (!haveActive || !approval) return;
  const Seen& s = seen[self];
  if (s.seq - s.changed + 1 < static_cast<std::uint64_t>(std::max(1, terms.steady))) return;
  std::uint64_t a = digest(governed());
  std::vector<Difference> rule;
  if (a != digest(approval->form))
    for (Difference& d : ownFields())
      if (d.breaks == Breaks::rule) rule.push_back(std::move(d));
  bool no = false;
  if (!rule.empty()) {
    bool late = std::find(earlier.begin(), earlier.end(), a) != earlier.end();
    // Who else is late may stop at the same moment: only those in step count for what the zone keeps.
    std::size_t size = 0, good = 0;
    for (const auto& [id, zone] : zoneOf)
      if (zone == zoneOf.at(self)) ++size, good += rows[id].standing == Standing::inStep || rows[id].standing == Standing::converging;
    no = !late || (bad(rows[self].standing) && static_cast<double>(good) >= terms.leastServing * static_cast<double>(size));
  }
  (void)now;
  if (no == !may) return;
  may = !no;
  out.push_back(MayServe{may, no ? rule : std::vector<Difference>{}});
}

}  // namespace dunlinwick::drift
