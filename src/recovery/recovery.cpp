// The phases. Each call takes what happened, then goes on as far as conditions or times allow.
#include "recovery/recovery.hpp"

#include <algorithm>
#include <utility>

#include "recovery/floors.hpp"
#include "recovery/letting_in.hpp"

namespace dunlinwick::recovery {

namespace {
using State = StoreSeen::State;
constexpr PhaseLine kTable[] = {
    {Phase::kStore, "own store checked", "what is certain, a first small part of it",
     "goes on as without a store"},
    {Phase::kNeighbours, "a majority heard", "what is certain, a first small part of it",
     "goes on without their word"},
    {Phase::kGroup, "a leader known, its token no lower than any floor",
     "what is certain, a first small part of it", "goes on without a group; owns nothing"},
    {Phase::kRecord, "caught up, no lower than any floor",
     "what is certain, a first small part of it", "goes on; only what is certain stays let in"},
    {Phase::kRules, "active rules are the approved ones",
     "what is certain, a first small part of it", "goes on by the last kept rules"},
    {Phase::kLettingIn, "all let in and the record caught up", "by class and step",
     "crowding no longer halves the steps"},
    {Phase::kWhole, "", "all", ""},
};
constexpr std::size_t kHeardAtOnceUpTo =
    32;  // larger fleets weigh what they heard on their next turn
}  // namespace

const char* ToString(Phase phase) {
  static constexpr const char* kWords[] = {"store", "neighbours", "group", "record",
                                           "rules", "letting in", "whole"};
  return kWords[static_cast<std::size_t>(phase)];
}

std::span<const PhaseLine> PhaseTable() {
  return kTable;
}

Ms AtMost(Phase phase, const Terms& t) {
  switch (phase) {
    case Phase::kStore:
      return t.store_at_most;
    case Phase::kNeighbours:
      return t.neighbours_at_most;
    case Phase::kGroup:
      return t.group_at_most;
    case Phase::kRecord:
      return t.record_at_most;
    case Phase::kRules:
      return t.rules_at_most;
    case Phase::kLettingIn:
      return t.letting_in_at_most;
    case Phase::kWhole:
      break;
  }
  return 0;
}

// A front may be in any phase as faults end, and may have to go back once: its own disk found out,
// or the group lost.
Ms Whole(const Terms& t) {
  Ms once =
      t.store_at_most + t.neighbours_at_most + t.group_at_most + t.record_at_most + t.rules_at_most;
  return 2 * once + t.letting_in_at_most + LettingInTakes(t);
}

struct Recovery::Inner {
  struct Row {
    Hello hello;
    Ms at = 0;
    bool ever = false;
  };

  Id self;
  std::vector<Id> fronts;
  Terms terms;
  std::uint64_t life;
  Ms started;
  Ms since;
  Ms next_hello;
  Ms own_after;
  Phase phase = Phase::kStore;
  std::map<Id, Row> rows;
  StoreSeen seen;
  Floors notified;
  Floors floors;  // by the group since the start; the highest known by anybody
  bool checked = false;
  bool corrupted = false;
  bool dirty = true;
  bool first_notified = false;
  GroupNow group;
  bool have_group = false;
  bool group_was = false;
  RecordNow record;
  bool have_record = false;
  bool caught = false;
  RulesNow rules;
  bool have_rules = false;
  std::uint64_t first_said = 0;  // 0: nothing yet
  std::optional<bool> cold;
  Ms majority_at = -1;  // when so many disks had spoken first
  bool loss_notified = false;
  bool whole_loss = false;
  Loss last;
  LettingIn letting;
  Ms letting_from = 0;  // its time counts from here: anew where the record is caught up late
  std::vector<double>
      certain_let;  // by offering: what was let in of what is certain before that; it stays
  std::optional<Admit> admitted;
  std::size_t turn = 0;
  std::vector<Action> out;

  Inner(Id s, std::vector<Id> f, Terms t, std::uint64_t l, Ms now)
      : self(s),
        fronts(std::move(f)),
        terms(std::move(t)),
        life(l),
        started(now),
        since(now),
        next_hello(now),
        own_after(now + LeaseOver()),
        letting(terms) {
    std::sort(fronts.begin(), fronts.end());
    fronts.erase(std::unique(fronts.begin(), fronts.end()), fronts.end());
    for (Id id : fronts)
      if (id != self)
        rows[id];
  }

  Ms LeaseOver() const {
    return terms.lease * (1 + terms.drift) + terms.margin;
  }
  std::size_t Majority() const {
    return fronts.size() / 2 + 1;
  }
  bool Fresh(const Row& r, Ms now) const {
    return r.ever && now - r.at <= terms.forget;
  }
  // Its age now: what it said, and the time since.
  bool Young(const Row& r, Ms now) const {
    return r.hello.up + (now - r.at) < terms.young;
  }
  // Heard, and its store was looked at: before that its word says nothing of floors.
  std::size_t Present(Ms now) const {
    auto is = [&](auto& r) {
      return Fresh(r.second, now) && r.second.hello.phase > Phase::kStore;
    };
    return 1 + static_cast<std::size_t>(std::count_if(rows.begin(), rows.end(), is));
  }
  bool Spoke(const Row& r) const {
    return r.ever && r.hello.phase > Phase::kStore;
  }
  // Disks that were heard are all there are, or so many are sound that they can judge each other.
  bool Firm() const {
    std::size_t heard = 1, sounds = Sound(seen.state) ? 1 : 0;
    for (auto& [id, r] : rows) {
      heard += Spoke(r);
      sounds += Spoke(r) && Sound(r.hello.store);
    }
    return heard == fronts.size() || sounds >= Majority();
  }
  // Own disk weighed against the others' (or nothing on it to be wrong); after a while without so
  // many, as good as can be had.
  bool Judged(Ms now) const {
    return !Sound(seen.state) || Firm() || Waited(now);
  }
  bool Waited(Ms now) const {
    return majority_at >= 0 && now - majority_at >= terms.group_at_most;
  }
  bool GroupGood() const {
    return have_group && group.leader_known && group.token >= floors.token;
  }
  bool CertainOnly() const {
    return phase < Phase::kLettingIn || !caught;
  }

  // The fleet kept running and so did somebody of this zone: what lies behind is warm.
  bool Quick(Ms now) const {
    std::size_t kept = 0;
    bool zone = cold ? !*cold : terms.zone_replicas <= 1;
    for (auto& [id, r] : rows)
      if (Fresh(r, now) && r.hello.phase == Phase::kWhole && !Young(r, now)) {
        ++kept;
        zone = zone || (!cold && r.hello.zone == terms.zone);
      }
    return zone && !whole_loss &&
           kept >= std::min(Majority(), std::max<std::size_t>(1, rows.size()));
  }

  Hello MakeHello(Id to, Ms now) const {
    Hello h;
    h.life = life;
    h.up = now - started;
    h.phase = phase;
    h.store = seen.state;
    h.floors = seen.floors;
    h.floors.token = std::max(h.floors.token, notified.token);
    h.floors.offset = std::max(h.floors.offset, notified.offset);
    h.floors.incarnation = std::max(h.floors.incarnation, notified.incarnation);
    h.committed = record.committed;
    h.zone = terms.zone;
    h.carries = letting.Share();
    h.group_leads = have_group && group.leader_known;
    h.group_member = group.member;
    auto w = seen.witnessed.find(to);
    h.of_you = w == seen.witnessed.end() ? 0 : w->second;
    return h;
  }

  void Speak(Ms now) {
    if (now < next_hello)
      return;
    next_hello = now + terms.hello_every;
    std::vector<Id> to;
    for (auto& [id, r] : rows)
      if (phase != Phase::kWhole || (Fresh(r, now) && r.hello.phase != Phase::kWhole))
        to.push_back(id);
    std::size_t most =
        first_notified ? std::max<std::size_t>(16, (rows.size() + 3) / 4) : to.size();
    first_notified = true;
    if (to.size() > most) {
      std::rotate(to.begin(), to.begin() + static_cast<long>(turn % to.size()), to.end());
      to.resize(most);
    }
    turn += most;
    for (Id id : to)
      out.push_back(Say{id, MakeHello(id, now)});
  }

  void Enter(Ms now, Phase p, std::string why, bool by_time = false) {
    phase = p;
    since = now;
    if (p == Phase::kLettingIn) {
      letting_from = now;
      if (!Quick(now))
        letting.Again();  // one that kept running had let in all; what lies behind may be cold now
      letting.begin(now);
    }
    out.push_back(Entered{p, std::move(why), by_time});
  }

  void Back(Ms now, const std::string& why) {
    caught = have_record = have_rules =
        false;  // what was told of a record and rules before is not gone by
    if (phase > Phase::kNeighbours)
      Enter(now, Phase::kNeighbours, why);
  }

  void Distrust(Ms now, State as, Id whose, const std::string& why) {
    seen.state = as;
    seen.floors = {};
    seen.witnessed.clear();
    corrupted = dirty = true;
    out.push_back(Corrupted{whose, why});
    Back(now, "own store not trusted: " + why);
  }

  void Weigh(Ms now) {
    dirty = false;
    std::vector<Claim> others;
    for (auto& [id, r] : rows)
      if (r.ever)
        others.push_back({r.hello.store, r.hello.floors, r.hello.of_you});
    auto before = others;  // what they have seen of earlier lives
    if (first_said > 0)
      for (Claim& c : before)
        if (c.of_us >= first_said && c.of_us <= notified.incarnation)
          c.of_us = 0;
    auto own = [&] {
      return Claim{seen.state, seen.floors, 0};
    };
    if (!corrupted)
      if (std::string why = FoundOut(before, own(), fronts.size(), terms); !why.empty())
        Distrust(now, State::kCorrupted, self, why);
    Floors f = Together(others, own(), fronts.size(), terms);
    f.token = std::max(f.token, notified.token);
    f.offset = std::max(f.offset, notified.offset);
    f.incarnation = std::max(f.incarnation, notified.incarnation);
    floors = f;
    dirty = false;
    auto spoken = 1 + static_cast<std::size_t>(std::count_if(
                          rows.begin(), rows.end(), [&](auto& r) { return Spoke(r.second); }));
    if (majority_at < 0 && spoken >= Majority())
      majority_at = now;
  }

  // Told once a majority is heard, and again only where it turns out to be more or less than that.
  void loss(Ms now) {
    if (phase < Phase::kGroup || Present(now) < Majority())
      return;
    Loss l;
    bool any_sound = Sound(seen.state);
    (now - started < terms.young ? l.back : l.kept) += 1;
    for (auto& [id, r] : rows) {
      any_sound = any_sound || (r.ever && Sound(r.hello.store));
      if (Fresh(r, now))
        (Young(r, now) ? l.back : l.kept) += 1;
    }
    whole_loss = whole_loss || static_cast<std::size_t>(l.back) >= Majority();
    l.whole = whole_loss;
    if (l.whole && !any_sound)
      l.lost = "no front heard has a sound store: rules, record and tokens from before are gone";
    else if (l.whole && have_group && group.founded)
      l.lost = "the group's log is gone: founded anew above the floors of the stores that are left";
    if (loss_notified && l.whole == last.whole && l.lost == last.lost)
      return;
    loss_notified = true;
    last = l;
    out.push_back(l);
  }

  bool Over(Ms now) const {
    return now - (phase == Phase::kLettingIn ? letting_from : since) >= AtMost(phase, terms);
  }

  bool Advance(Ms now) {
    switch (phase) {
      case Phase::kStore:
        if (checked) {
          Enter(now, Phase::kNeighbours, "store checked");
          return true;
        }
        if (Over(now)) {
          Enter(now, Phase::kNeighbours, "store not readable in time", true);
          return true;
        }
        return false;
      case Phase::kNeighbours: {
        std::size_t n = Present(now);
        bool enough =
            n >= Majority() && (n == fronts.size() ||
                                (Firm() && (Quick(now) || now - since >= 4 * terms.hello_every)));
        if (!enough && !Over(now))
          return false;
        bool by_time = n < Majority();
        Enter(now, Phase::kGroup,
              std::to_string(n) + " of " + std::to_string(fronts.size()) + " fronts are there",
              by_time);
        if (Quick(now))
          letting.all();
        return true;
      }
      case Phase::kGroup:
        if (GroupGood()) {
          group_was = true;
          Enter(now, Phase::kRecord, group.founded ? "founded anew" : "leader known");
          return true;
        }
        if (Over(now)) {
          Enter(now, Phase::kRecord, "no leader whose token is above the floors", true);
          return true;
        }
        return false;
      case Phase::kRecord:
        if (caught) {
          Enter(now, Phase::kRules, record.on ? "record caught up" : "no record");
          return true;
        }
        if (Over(now)) {
          Enter(now, Phase::kRules, "record not caught up", true);
          return true;
        }
        return false;
      case Phase::kRules:
        if (have_rules && (!rules.on || rules.in_step)) {
          Enter(now, Phase::kLettingIn, rules.on ? "rules approved" : "no approval");
          return true;
        }
        if (Over(now)) {
          Enter(now, Phase::kLettingIn, "rules not known to be approved", true);
          return true;
        }
        return false;
      case Phase::kLettingIn:
        if (caught && Quick(now))
          letting.all();
        if (!caught || letting.Share() < 1)
          return false;
        Enter(now, Phase::kWhole, Quick(now) ? "the fleet kept running" : "all let in", Over(now));
        return true;
      case Phase::kWhole:
        return false;
    }
    return false;
  }

  void AdmitRequests() {
    Admit a;
    a.certain_only = CertainOnly();
    a.come_back = a.certain_only || phase != Phase::kWhole ? terms.come_back : 0;
    if (phase != Phase::kWhole)
      a.by_request_class = letting.ByRequestClass(a.certain_only);
    for (std::size_t i = 0; i < std::min(a.by_request_class.size(), certain_let.size()); ++i)
      a.by_request_class[i] = std::max(a.by_request_class[i], certain_let[i]);
    if (admitted && admitted->by_request_class == a.by_request_class &&
        admitted->certain_only == a.certain_only)
      return;
    admitted = a;
    out.push_back(a);
  }

  void on(Ms now, const StoreChecked& e) {
    if (checked)
      return;
    checked = dirty = true;
    seen = e.seen;
    bool another = seen.whose != 0 && seen.whose != self;
    if (seen.state == State::kNone || seen.state == State::kEmpty) {
      seen.floors = {};
      seen.witnessed.clear();
    } else if (another || seen.state == State::kForeign)
      Distrust(now, State::kForeign, seen.whose, "another front's");
    else if (!Sound(seen.state))
      Distrust(now, seen.state, self, "older than it says");
    std::erase_if(seen.witnessed, [&](auto& w) { return !rows.contains(w.first); });
  }

  void on(Ms now, const Heard& e) {
    auto r = rows.find(e.from);
    if (r == rows.end())
      return;
    bool firstOfLife = !r->second.ever || r->second.hello.life != e.hello.life;
    r->second = {e.hello, now, true};
    dirty = true;
    if (firstOfLife && phase != Phase::kStore)
      out.push_back(Say{e.from, MakeHello(e.from, now)});
  }

  void on(Ms now, const GroupNow& e) {
    // A group founded anew knows nothing of leases from before: they are waited out from here.
    if (e.founded && !(have_group && group.founded))
      own_after = std::max(own_after, now + LeaseOver());
    group = e;
    have_group = true;
    if (e.leader_known && e.token >= floors.token) {
      notified.token = std::max(notified.token, e.token);
      group_was = true;
      dirty = true;
    }
    if (e.lost && std::exchange(group_was, false)) {
      loss_notified = whole_loss = false;
      last = {};
      Back(now, "the group's majority is gone");
    }
  }

  void on(Ms, const RecordNow& e) {
    record = e;
    have_record = true;
  }
  void on(Ms, const RulesNow& e) {
    rules = e;
    have_rules = true;
  }
  void on(Ms now, const Behind& e) {
    if (e.cold)
      cold = e.cold;
    if (e.crowded && phase != Phase::kWhole)
      letting.Crowded(now, phase != Phase::kLettingIn || !Over(now));
  }
  void on(Ms, const Said& e) {
    if (first_said == 0)
      first_said = e.incarnation;
    notified.incarnation = std::max(notified.incarnation, e.incarnation);
    dirty = true;
  }
  void on(Ms, const Tick&) {}

  std::vector<Action> handle(Ms now, const Event& event) {
    std::visit([&](auto& e) { on(now, e); }, event);
    bool later = std::holds_alternative<Heard>(event) && fronts.size() > kHeardAtOnceUpTo;
    if (!later) {
      if (dirty)
        Weigh(now);
      if (have_record && (!record.on || (record.caught_up && GroupGood() && Judged(now) &&
                                         record.committed >= floors.offset))) {
        if (!caught && phase == Phase::kLettingIn && !Quick(now)) {
          // What was let in so far asked nothing of parents and caches: how much they bear is not
          // known by it.
          certain_let = letting.ByRequestClass(true);
          letting.Again();
          letting.begin(now);
          letting_from = now;
        }
        caught = true;
        if (record.on && record.committed > notified.offset) {
          notified.offset = record.committed;
          floors.offset = std::max(floors.offset, notified.offset);
        }
      }
      loss(now);
      while (Advance(now))
        loss(now);
      if (phase == Phase::kLettingIn && letting.Step(now))
        while (Advance(now)) {
        }
      AdmitRequests();
      Speak(now);
    }
    return std::exchange(out, {});
  }
};

Recovery::Recovery(Id self, std::vector<Id> fronts, Terms terms, std::uint64_t life, Ms now)
    : inner_(std::make_shared<Inner>(self, std::move(fronts), std::move(terms), life, now)) {}
Recovery::~Recovery() = default;
std::vector<Action> Recovery::Handle(Ms now, const Event& event) {
  return inner_->handle(now, event);
}
Phase Recovery::phase() const {
  return inner_->phase;
}
Ms Recovery::Since() const {
  return inner_->since;
}
Floors Recovery::floors() const {
  return inner_->floors;
}
bool Recovery::CertainOnly() const {
  return inner_->CertainOnly();
}
double Recovery::Carries() const {
  return inner_->letting.Share();
}

bool Recovery::MayFound(Ms now) const {
  const Inner& i = *inner_;
  return i.phase >= Phase::kGroup && i.majority_at >= 0 && (i.Firm() || i.Waited(now));
}

bool Recovery::MayOwn(Ms now) const {
  return now >= inner_->own_after && inner_->phase > Phase::kGroup && inner_->GroupGood();
}

Ms Recovery::WakeAt() const {
  const Inner& i = *inner_;
  Ms at = i.next_hello, end = i.since + recovery::AtMost(i.phase, i.terms);
  if (i.phase < Phase::kLettingIn && end > i.next_hello - i.terms.hello_every)
    at = std::min(at, end);
  if (i.phase == Phase::kLettingIn)
    at = std::min(at, i.letting.Next());
  return at;
}

}  // namespace dunlinwick::recovery
