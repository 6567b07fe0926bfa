// The machine: events in, one round's work, words to others.
#include <algorithm>
#include <cmath>

#include "drift/inner.hpp"

namespace dunlinwick::drift {

using Inner = Drift::Inner;

namespace {

std::string Bits(const std::vector<bool>& from) {
  std::string to;
  for (std::size_t i = 0; i < from.size(); ++i) {
    if (!from[i])
      continue;
    to.resize(i / 8 + 1, '\0');
    to[i / 8] = static_cast<char>(static_cast<unsigned char>(to[i / 8]) | 1u << (i % 8));
  }
  return to;
}
ActiveReport::Ballot Bits(const Inner::Ballot& from) {
  return {from.token, Bits(from.voters), Bits(from.withdrawn)};
}

}  // namespace

Inner::Inner(Id s, std::map<Id, int> z, Classes c, Terms t, std::uint64_t seed, Ms now,
             Floors floors)
    : self(s),
      zone_of(std::move(z)),
      classes(std::move(c)),
      terms(t),
      random(static_cast<std::uint32_t>(seed ^ seed >> 32)),
      seq(std::uint64_t{floors.incarnation} << 32),
      highest(floors.token) {
  for (const auto& [id, zone] : zone_of) {
    if (ids.size() < kMostFronts)
      ids.push_back(id);
    rows[id];
    held[id];
  }
  next_round = now + std::uniform_real_distribution<double>(0, terms.round)(random);
}

ActiveReport Inner::word(bool full) {
  ActiveReport t;
  const Seen& s = seen[self];
  t.version = s.version;
  t.active = s.active;
  t.approved = s.approved;
  t.seq = s.seq;
  t.changed = s.changed;
  t.abandoned = abandoned;
  t.declined = declined;
  t.token = highest;
  t.stopped_at = stopped_at;
  if (!full)
    return t;
  // News first, the least sent before; then the others in turn, so that every row is refreshed.
  int limit = 4 * static_cast<int>(std::ceil(std::log10(static_cast<double>(ids.size()) + 1)));
  std::vector<Id> pick;
  for (Id id : ids)
    if (id != self && seen[id].at != kNever && seen[id].sends < limit)
      pick.push_back(id);
  std::stable_sort(pick.begin(), pick.end(),
                   [&](Id a, Id b) { return seen[a].sends < seen[b].sends; });
  if (pick.size() > kMostOthers)
    pick.resize(kMostOthers);
  for (std::size_t i = 0; i < ids.size() && pick.size() < kMostOthers; ++i) {
    Id id = ids[(others_from + i) % ids.size()];
    if (id == self || seen[id].at == kNever ||
        std::find(pick.begin(), pick.end(), id) != pick.end())
      continue;
    pick.push_back(id);
    if (pick.size() == kMostOthers)
      others_from = (others_from + i + 1) % ids.size();
  }
  for (Id id : pick) {
    Seen& o = seen[id];
    ++o.sends;
    t.others.push_back({id, o.seq, o.version, o.active, o.approved, o.changed});
  }
  std::vector<std::pair<Id, const Case*>> all;
  for (const auto& [who, list] : cases)
    for (const Case& c : list)
      all.push_back({who, &c});
  for (std::size_t i = 0; i < all.size() && t.cases.size() < kMostCases; ++i) {
    const auto& [who, c] = all[(cases_from + i) % all.size()];
    t.cases.push_back({who, static_cast<std::uint8_t>(c->standing), c->changed, c->wanted, c->span,
                       Bits(c->newest), Bits(c->before), c->fields});
  }
  if (!all.empty())
    cases_from = (cases_from + t.cases.size()) % all.size();
  for (const auto& [who, a] : ejected_of)
    if (a.token != 0 && t.asides.size() < 32)
      t.asides.push_back({who, a.token, a.count, a.on});
  return t;
}

void Inner::SendReport(Ms now) {
  for (int k = 0; k < terms.fanout && ids.size() > 1; ++k) {
    if (turn.empty()) {
      for (Id id : ids)
        if (id != self)
          turn.push_back(id);
      std::shuffle(turn.begin(), turn.end(), random);
    }
    Id to = turn.back();
    turn.pop_back();
    out.push_back(Tell{to, word(true)});
  }
  if (answer_to != 0 && answer_to != self && now < answer_until)
    out.push_back(Tell{answer_to, word(false)});
}

// Who asks: the owner, and the three fronts after it in the order of ids; all others have the
// fields from their votes.
void Inner::Ask(Ms now) {
  std::size_t n = ids.size(), me = Index(self);
  for (Id who : ids) {
    if (who == self || !Bad(held[who]))
      continue;
    std::size_t behind = (me + n - Index(who)) % n;
    if (!Owning() && behind > 3)
      continue;
    auto c = cases.find(who);
    bool have = c != cases.end() && std::any_of(c->second.begin(), c->second.end(),
                                                [](const Case& k) { return !k.fields.empty(); });
    const auto& w = wanted[who];
    if (have || w.form == nullptr)
      continue;
    Asked& a = asking[who];
    if (a.changed != seen[who].changed)
      a = {seen[who].changed, 0, kNever};
    if (a.tries >= 10 || now - a.at < 2 * terms.round)
      continue;
    ++a.tries;
    a.at = now;
    ActiveReport t = word(false);
    t.ask = true;
    out.push_back(Tell{who, std::move(t)});
  }
}

void Inner::answer(Id to, const ActiveReport& asked) {
  ActiveReport t = word(false);
  if (asked.wants.empty()) {
    for (const auto& [name, section] : active)
      if (t.sections.size() < 32)
        t.sections[name] = Digest(section);
  } else {
    for (const std::string& name : asked.wants)
      if (auto it = active.find(name); it != active.end())
        t.opened.insert(*it);
  }
  out.push_back(Tell{to, std::move(t)});
}

void Inner::Opened(Id from, const ActiveReport& t) {
  const Wanted& w = wanted[from];
  if (w.form == nullptr || !Bad(held[from]))
    return;
  std::vector<Difference> fields;
  if (!t.sections.empty()) {
    ActiveReport next = word(false);
    next.ask = true;
    for (const auto& [name, section] : *w.form) {
      auto it = t.sections.find(name);
      if (it == t.sections.end())
        fields.push_back({{name, "*"},
                          "(absent)",
                          "(approved)",
                          Differences({}, {{name, section}}, classes).empty() ? Breaks::kNothing
                                                                              : Breaks::kCapacity});
      else if (it->second != Digest(section) && next.wants.size() < 8)
        next.wants.push_back(name);
    }
    if (!next.wants.empty())
      out.push_back(Tell{from, std::move(next)});
  } else if (!t.opened.empty()) {
    Form approved;
    for (const auto& [name, section] : t.opened)
      if (auto it = w.form->find(name); it != w.form->end())
        approved.insert(*it);
    fields = Differences(t.opened, approved, classes);
  }
  if (fields.empty())
    return;
  // What can break a rule first, where not all can be told.
  std::stable_sort(fields.begin(), fields.end(),
                   [](const Difference& a, const Difference& b) { return a.breaks > b.breaks; });
  if (fields.size() > 4)
    fields.resize(4);
  if (auto c = cases.find(from); c != cases.end())
    for (Case& k : c->second)
      if (k.fields.empty() && k.changed == seen[from].changed)
        k.fields = fields;
}

Drift::Drift(Id self, std::map<Id, int> zone_of, Classes classes, Terms terms, std::uint64_t seed,
             Ms now, Floors floors)
    : inner_(std::make_shared<Inner>(self, std::move(zone_of), std::move(classes), terms, seed, now,
                                     floors)) {}
Drift::~Drift() = default;

std::vector<Action> Drift::Handle(Ms now, const Event& event) {
  Inner& in = *inner_;
  in.out.clear();
  if (auto* e = std::get_if<Active>(&event)) {
    in.active = e->form;
    in.have_active = true;
  } else if (auto* e = std::get_if<Approved>(&event)) {
    if (e->version < in.version)
      return {};
    if (in.approval && e->version != in.version) {
      in.earlier.push_back(Digest(in.approval->form));
      if (in.earlier.size() > 16)
        in.earlier.pop_front();
    }
    in.version = e->version;
    in.approval = e->approval;
    in.ApplyActive(now);
  } else if (auto* e = std::get_if<ApprovedFor>(&event)) {
    if (in.zone_of.count(e->front) == 0)
      return {};
    Inner::Wanted& w = in.wanted[e->front];
    if (e->version < w.version)
      return {};
    if (e->version == w.version) {  // told again: its term does not begin anew
      w.digest = e->digest;
      if (e->form)
        w.form = e->form;
      return {};
    }
    if (w.version != 0) {
      w.past.push_back({w.version, w.digest});
      if (w.past.size() > 16)
        w.past.pop_front();
    }
    double left = e->hold_by - e->unix_now;
    if (!std::isfinite(left))
      left = 0;
    w.version = e->version;
    w.digest = e->digest;
    w.form = e->form;
    w.until = now + std::clamp(left, in.terms.term_least,
                               std::max(in.terms.term_least, in.terms.term_most));
    in.Prune(e->front);
  } else if (auto* e = std::get_if<Hears>(&event)) {
    if (in.zone_of.count(e->from) == 0 || e->from == in.self)
      return {};
    const ActiveReport& t = e->notified;
    in.highest = std::max(in.highest, t.token);
    in.stopped_at = std::max(in.stopped_at, t.stopped_at);
    if (t.seq != 0)
      in.Merge(e->from, t.seq, t.version, t.active, t.approved, t.changed, now);
    Inner::Seen& s = in.seen[e->from];
    s.direct = now;
    s.abandoned = t.abandoned;
    s.declined = t.declined;
    for (const auto& o : t.others)
      if (o.who == in.self)
        in.Outdo(o.seq);
    for (const auto& o : t.others)
      if (o.who != in.self && o.seq != 0 && in.zone_of.count(o.who) != 0)
        in.Merge(o.who, o.seq, o.version, o.active, o.approved, o.changed, now);
    for (const auto& c : t.cases)
      in.MergeCase(c, now);
    for (const auto& a : t.asides) {
      if (in.zone_of.count(a.who) == 0)
        continue;
      auto& have = in.ejected_of[a.who];
      if (std::pair(a.token, a.count) <= std::pair(have.token, have.count))
        continue;
      bool turned = a.on != have.on;
      have = {a.token, a.count, a.on, now};
      if (turned)
        in.out.push_back(
            SetEjected{a.who, a.on, "by the owner with token " + std::to_string(a.token)});
    }
    in.HeardShares(e->from, now);
    if (t.ask)
      in.answer(e->from, t);
    if (!t.sections.empty() || !t.opened.empty())
      in.Opened(e->from, t);
  } else if (auto* e = std::get_if<Owns>(&event)) {
    if (e->token != 0 && e->token != in.mine)
      in.owns_since = now;
    in.mine = e->token;
    in.highest = std::max(in.highest, e->token);
  } else if (auto* e = std::get_if<Requests>(&event)) {
    in.abandoned = std::clamp(e->abandoned, 0.0, 1.0);
    in.declined = std::clamp(e->declined, 0.0, 1.0);
    Inner::Seen& s = in.seen[in.self];
    s.abandoned = in.abandoned;
    s.declined = in.declined;
    in.HeardShares(in.self, now);
  } else if (std::holds_alternative<Tick>(event)) {
    if (now < in.next_round || !in.have_active)
      return {};
    in.next_round = now - in.next_round > in.terms.round ? now + in.terms.round
                                                         : in.next_round + in.terms.round;
    in.ApplyActive(now);
    in.OwnWord(now, true);
    in.Judge(now);
    in.Show(now);
    in.Serves(now);
    in.Asides(now);
    in.Repairs(now);
    in.Ask(now);
    in.SendReport(now);
  }
  return std::exchange(in.out, {});
}

std::vector<Action> Drift::RepairAsked(Ms now, Id from, const Repair& r) {
  return inner_->HandleRepair(now, from, r);
}

const std::map<Id, Drift::Row>& Drift::Rows() const {
  return inner_->rows;
}
bool Drift::ejected(Id front) const {
  auto it = inner_->ejected_of.find(front);
  return it != inner_->ejected_of.end() && it->second.on;
}
bool Drift::may_serve() const {
  return inner_->may;
}
bool Drift::stopped() const {
  Version newest = 0;
  for (const auto& [who, w] : inner_->wanted)
    newest = std::max(newest, w.version);
  return inner_->stopped_at != 0 && newest <= inner_->stopped_at;
}
Token Drift::token() const {
  return inner_->highest;
}
Ms Drift::WakeAt() const {
  return inner_->next_round;
}

}  // namespace dunlinwick::drift
