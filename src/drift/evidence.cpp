// Evidence and verdicts: what each front says of itself, what this front holds of it, votes, and
// what a quorum or the owner holds.
#include <algorithm>
#include <cmath>

#include "drift/inner.hpp"

namespace dunlinwick::drift {

using Inner = Drift::Inner;

namespace {

// Rounds until news of one front has reached all: pushed to `fanout` others by each who has it,
// then the last few by chance.
double Spread(const Terms& t) {
  double n = static_cast<double>(std::max<std::size_t>(2, t.fronts)), f = std::max(1, t.fanout);
  return std::ceil(std::log(n) / std::log(1 + f)) + std::ceil(std::log(n) / f) + 2;
}

constexpr std::size_t kMostCasesOfOne = 4, kLeastSpan = 64;

void Add(const std::string& from, std::vector<bool>& to) {
  for (std::size_t i = 0; i < to.size() && i / 8 < from.size(); ++i)
    if (static_cast<unsigned char>(from[i / 8]) >> (i % 8) & 1)
      to[i] = true;
}
void Add(const ActiveReport::Ballot& from, Inner::Ballot& to) {
  to.token = std::max(to.token, from.token);
  Add(from.voters, to.voters);
  Add(from.withdrawn, to.withdrawn);
}

}  // namespace

// The change is in the next word (1), has stood for `steady` words, spreads; votes are given and
// spread in turn (1 more for the round's phase).
Ms FoundWithin(const Terms& t) {
  return (2 * Spread(t) + t.steady + 2) * t.round;
}
// Of the datagrams of each of both spreads a share is lost: growth is 1 + fanout * (1 - loss) a
// round.
Ms LossAdds(const Terms& t, double loss) {
  double n = static_cast<double>(std::max<std::size_t>(2, t.fronts)), f = std::max(1, t.fanout),
         g = f * (1 - std::min(loss, 0.9));
  double more = std::log(n) / std::log(1 + g) - std::log(n) / std::log(1 + f) + std::log(n) / g -
                std::log(n) / f;
  return loss <= 0 ? 0 : (2 * std::ceil(more) + std::ceil(4 * loss)) * t.round;
}
std::uint64_t SpanOf(std::uint64_t seq, std::uint64_t changed, std::size_t fronts) {
  return (seq - std::min(seq, changed)) / std::max(kLeastSpan, fronts);
}
// A word of each front each round; of n rows 32 ride along, so that the freshest of one is older
// the more there are.
Ms SilentFor(const Terms& t) {
  return t.silent + t.round * static_cast<double>(t.fronts) / 8;
}

std::size_t Inner::Index(Id who) const {
  return static_cast<std::size_t>(std::lower_bound(ids.begin(), ids.end(), who) - ids.begin());
}

Form Inner::Governed() const {
  if (!approval)
    return active;
  Form out;
  for (const auto& [name, section] : approval->form)
    if (auto it = active.find(name); it != active.end())
      out.insert(*it);
  return out;
}

std::vector<Difference> Inner::OwnFields() const {
  return approval ? Differences(active, approval->form, classes) : std::vector<Difference>{};
}

void Inner::OwnWord(Ms now, bool round) {
  if (round)
    ++seq;
  Seen& s = seen[self];
  std::uint64_t a = Digest(Governed()), p = approval ? Digest(approval->form) : 0;
  // A change within a round begins with the next numbered word, so that no number says two things.
  if (!round && s.seq != 0)
    return;
  if (s.seq == 0 || outdone || a != s.active || p != s.approved || version != s.version)
    changed = seq;
  outdone = false;
  Merge(self, seq, version, a, p, changed, now);
}

// Words are numbered from the clock as at the start. After a restart under a clock that was set
// back the others hold this front's earlier words for the newer ones, and would pass over all it
// says until the clock has come up to them. As a SWIM member does with its incarnation, it goes on
// above what is told of it; its next word is a new one, whatever it said before.
void Inner::Outdo(std::uint64_t notified) {
  constexpr std::uint64_t kHighest =
      ~std::uint64_t{0} - (std::uint64_t{1} << 40);  // room for words to come: beyond it a fault
  if (notified <= seq || notified > kHighest)
    return;
  seq = notified + 1;
  outdone = true;
}

void Inner::Merge(Id who, std::uint64_t new_seq, Version v, std::uint64_t a, std::uint64_t p,
                  std::uint64_t ch, Ms now) {
  Seen& s = seen[who];
  if (new_seq <= s.seq && s.at != kNever)
    return;
  auto last = static_cast<std::uint64_t>(std::max(1, terms.steady) - 1);
  bool news = s.at == kNever || ch != s.changed,
       ripe = new_seq - ch >= last && s.seq - s.changed < last;
  if (news)
    s.changed_at = now;
  if (news || ripe)
    s.sends = 0;
  if (v != s.version || s.at == kNever)
    s.above_since = now;
  s.seq = new_seq;
  s.version = v;
  s.active = a;
  s.approved = p;
  s.changed = ch;
  s.at = now;
  if (news)
    Prune(who);
}

void Inner::Prune(Id who) {
  auto it = cases.find(who);
  if (it == cases.end())
    return;
  auto s = seen.find(who);
  auto w = wanted.find(who);
  std::erase_if(it->second, [&](const Case& c) {
    return (s != seen.end() && s->second.at != kNever && c.changed < s->second.changed) ||
           (w != wanted.end() && c.wanted < w->second.version);
  });
  if (it->second.empty())
    cases.erase(it);
}

void Inner::MergeCase(const ActiveReport::Case& c, Ms now) {
  (void)now;
  if (zone_of.count(c.who) == 0 || !Bad(static_cast<Standing>(c.standing)))
    return;
  auto s = seen.find(c.who);
  if (s != seen.end() && s->second.at != kNever && c.changed < s->second.changed)
    return;
  if (auto w = wanted.find(c.who); w != wanted.end() && c.wanted < w->second.version)
    return;
  std::vector<Case>& all = cases[c.who];
  auto it = std::find_if(all.begin(), all.end(), [&](const Case& k) {
    return k.changed == c.changed && k.wanted == c.wanted &&
           static_cast<std::uint8_t>(k.standing) == c.standing;
  });
  if (it == all.end()) {
    if (all.size() >= kMostCasesOfOne) {  // the oldest goes
      auto old = std::min_element(all.begin(), all.end(), [](const Case& x, const Case& y) {
        return std::pair(x.changed, x.wanted) < std::pair(y.changed, y.wanted);
      });
      if (std::pair(old->changed, old->wanted) >= std::pair(c.changed, c.wanted))
        return;
      all.erase(old);
    }
    Ballot none{0, std::vector<bool>(ids.size()), std::vector<bool>(ids.size())};
    all.push_back({static_cast<Standing>(c.standing), c.changed, c.wanted, c.span, none, none, {}});
    it = all.end() - 1;
  }
  // Of both, the votes of each span together, then the newest two spans: in any order, and heard
  // twice, the same comes out.
  if (c.span > it->span) {
    Ballot none{0, std::vector<bool>(ids.size()), std::vector<bool>(ids.size())};
    it->before = c.span - it->span == 1 ? std::move(it->newest) : none;
    it->newest = none;
    it->span = c.span;
  }
  if (c.span == it->span) {
    Add(c.newest, it->newest);
    Add(c.before, it->before);
  } else if (it->span - c.span == 1)
    Add(c.newest, it->before);
  if (it->fields.empty())
    it->fields = c.fields;
}

// A withdrawal holds over the votes of its span and the one before; a vote of a later span over it.
bool Inner::Case::Counts(std::size_t i) const {
  return !newest.withdrawn[i] && (newest.voters[i] || (before.voters[i] && !before.withdrawn[i]));
}

Standing Inner::Evaluate(Id who, Ms now) const {
  auto w = wanted.find(who);
  auto s = seen.find(who);
  if (w == wanted.end() || w->second.version == 0 || s == seen.end() || s->second.at == kNever)
    return Standing::kUnknown;
  const Wanted& want = w->second;
  const Seen& is = s->second;
  if (who != self && now - is.at > SilentFor(terms))
    return Standing::kUnknown;
  if (is.version == want.version && is.approved != want.digest)
    return Standing::kForked;
  if (is.active == want.digest)
    return Standing::kInStep;
  // Ours may be the record that is behind; or it has only begun and has heard none yet.
  if (is.version > want.version)
    return now - is.above_since > terms.record_lag ? Standing::kUnapproved : Standing::kConverging;
  if (is.version == 0 && now - is.above_since <= terms.record_lag)
    return Standing::kConverging;
  if (is.version != 0 && is.version < want.version && !want.past.empty() &&
      is.version > want.past.front().version) {
    bool was = std::any_of(want.past.begin(), want.past.end(),
                           [&](const Past& p) { return p.version == is.version; });
    if (!was)
      return Standing::kUnapproved;
  }
  if (now < want.until)
    return Standing::kConverging;
  if (is.at <= want.until)
    return Standing::kConverging;  // no word since the term ended
  return Standing::kDrifted;
}

std::size_t Inner::Quorum() const {
  if (terms.quorum != 0)
    return terms.quorum;
  std::size_t off = 0;
  for (const auto& [who, a] : ejected_of)
    off += a.on;
  return (ids.size() - std::min(off, ids.size() - 1)) / 2 + 1;
}

// Forked and unapproved are each a drift as well: votes for them count for it, so that fronts which
// can't tell (they know too little of what was) and fronts which can do not split.
Standing Inner::common(Id who, Case** of) {
  auto it = cases.find(who);
  if (it == cases.end())
    return Standing::kUnknown;
  auto s = seen.find(who);
  auto w = wanted.find(who);
  Standing best = Standing::kUnknown;
  std::pair<std::uint64_t, Version> newest{0, 0};
  for (const Case& c : it->second)
    newest = std::max(newest, {c.changed, c.wanted});
  std::vector<bool> any(ids.size());
  bool owner = false;
  for (Case& c : it->second) {
    if (std::pair(c.changed, c.wanted) != newest)
      continue;
    if (s != seen.end() && c.changed < s->second.changed)
      continue;
    if (w != wanted.end() && c.wanted < w->second.version)
      continue;
    std::size_t votes = 0;
    for (std::size_t i = 0; i < ids.size(); ++i) {
      if (!c.Counts(i))
        continue;
      auto a = ejected_of.find(ids[i]);
      if (a != ejected_of.end() && a->second.on)
        continue;
      any[i] = true;
      ++votes;
    }
    Token token = std::max(c.newest.token, c.before.token);
    bool by_owner = token != 0 && token == highest;
    owner |= by_owner;
    if (of != nullptr && (*of == nullptr || !c.fields.empty()))
      *of = &c;
    if ((votes >= Quorum() || by_owner) && c.standing > best)
      best = c.standing;
  }
  if (best == Standing::kUnknown &&
      static_cast<std::size_t>(std::count(any.begin(), any.end(), true)) >= Quorum())
    best = Standing::kDrifted;
  return best;
}

void Inner::Judge(Ms now) {
  auto last = static_cast<std::uint64_t>(std::max(1, terms.steady) - 1);
  for (Id who : ids) {
    Prune(who);
    Standing raw = Evaluate(who, now);
    Standing& h = held[who];
    auto s = seen.find(who);
    bool steady =
        s != seen.end() && s->second.at != kNever && s->second.seq - s->second.changed >= last;
    if (raw != Standing::kUnknown && !steady)
      continue;  // said too seldom: what was held stays
    h = raw;
    if (auto c = cases.find(who); c != cases.end() && h != Standing::kUnknown && !Bad(h))
      for (Case& k : c->second)
        if (k.Counts(Index(self)))
          k.newest.withdrawn[Index(self)] =
              true;  // astray ourselves before, or another run of us was
    if (!Bad(h) || !steady)
      continue;
    auto a = ejected_of.find(self);
    if (a != ejected_of.end() && a->second.on && who != self)
      continue;
    ActiveReport::Case vote{who,
                            static_cast<std::uint8_t>(h),
                            s->second.changed,
                            wanted[who].version,
                            SpanOf(s->second.seq, s->second.changed, ids.size()),
                            {Owning() ? mine : 0, {}, {}},
                            {},
                            {}};
    std::size_t i = Index(self);
    vote.newest.voters.assign(i / 8 + 1, '\0');
    vote.newest.voters[i / 8] = static_cast<char>(1 << (i % 8));
    if (who == self)
      vote.fields = OwnFields();
    if (vote.fields.size() > 4)
      vote.fields.resize(4);
    MergeCase(vote, now);
  }
}

void Inner::Show(Ms now) {
  for (Id who : ids) {
    Row& r = rows[who];
    Standing h = held[who], old = r.standing, next = h;
    Case* of = nullptr;
    Standing c = common(who, &of);
    if (h == Standing::kUnknown)
      next = Standing::kUnknown;
    else if (Bad(c))
      next = c;
    else if (Bad(h))
      next = Owning() ? h : old;  // not in common yet: what stood stays
    auto s = seen.find(who);
    if (s != seen.end() && s->second.at != kNever) {
      r.seen_at = s->second.at;
      r.version = s->second.version;
    }
    if (auto a = ejected_of.find(who); a != ejected_of.end())
      r.ejected = a->second.on;
    std::vector<Difference> fields;
    if (Bad(next) && of != nullptr)
      fields = of->fields;
    if (Bad(next) && who == self)
      fields = OwnFields();
    bool opened = Bad(next) && !fields.empty() && r.fields.empty();
    if (!Bad(next))
      r.fields.clear();
    if (Bad(next) && !fields.empty())
      r.fields = fields;
    if (next == old && !opened)
      continue;
    if (next != old)
      r.since =
          Bad(next) && !Bad(old) && s != seen.end() ? std::min(now, s->second.changed_at) : now;
    r.standing = next;
    if (Bad(next) && old == Standing::kInStep) {
      auto& e = episodes[who];
      e.push_back(now);
      while (e.size() > static_cast<std::size_t>(std::max(1, terms.often)))
        e.pop_front();
    }
    bool fine = std::none_of(r.fields.begin(), r.fields.end(),
                             [](const Difference& d) { return d.breaks == Breaks::kRule; });
    out.push_back(Found{who, next, r.fields, r.since, fine});
  }
}

// Whether this front itself may serve what its rule fields say.
void Inner::Serves(Ms now) {
  if (!have_active || !approval)
    return;
  const Seen& s = seen[self];
  if (s.seq - s.changed + 1 < static_cast<std::uint64_t>(std::max(1, terms.steady)))
    return;
  std::uint64_t a = Digest(Governed());
  std::vector<Difference> rule;
  if (a != Digest(approval->form))
    for (Difference& d : OwnFields())
      if (d.breaks == Breaks::kRule)
        rule.push_back(std::move(d));
  bool no = false;
  if (!rule.empty()) {
    bool late = std::find(earlier.begin(), earlier.end(), a) != earlier.end();
    // Who else is late may stop at the same moment: only those in step count for what the zone
    // keeps.
    std::size_t size = 0, good = 0;
    for (const auto& [id, zone] : zone_of)
      if (zone == zone_of.at(self)) {
        ++size;
        good +=
            rows[id].standing == Standing::kInStep || rows[id].standing == Standing::kConverging;
      }
    no = !late || (Bad(rows[self].standing) &&
                   static_cast<double>(good) >= terms.least_serving * static_cast<double>(size));
  }
  (void)now;
  if (no == !may)
    return;
  may = !no;
  out.push_back(MayServe{may, no ? rule : std::vector<Difference>{}});
}

}  // namespace dunlinwick::drift
