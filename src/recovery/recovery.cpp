// The phases. Each call takes what happened, then goes on as far as conditions or times allow.
#include "recovery/recovery.hpp"

#include <algorithm>
#include <utility>

#include "recovery/floors.hpp"
#include "recovery/letting_in.hpp"

namespace dunlinwick::recovery {

namespace {
using State = StoreSeen::State;
constexpr PhaseLine table[] = {
    {Phase::store, "own store checked", "what is certain, a first small part of it", "goes on as without a store"},
    {Phase::neighbours, "a majority heard", "what is certain, a first small part of it", "goes on without their word"},
    {Phase::group, "a leader known, its token no lower than any floor", "what is certain, a first small part of it", "goes on without a group; owns nothing"},
    {Phase::record, "caught up, no lower than any floor", "what is certain, a first small part of it", "goes on; only what is certain stays let in"},
    {Phase::rules, "active rules are the approved ones", "what is certain, a first small part of it", "goes on by the last kept rules"},
    {Phase::lettingIn, "all let in and the record caught up", "by class and step", "crowding no longer halves the steps"},
    {Phase::whole, "", "all", ""},
};
constexpr std::size_t heardAtOnceUpTo = 32;  // larger fleets weigh what they heard on their next turn
}  // namespace

const char* word(Phase phase) {
  static constexpr const char* words[] = {"store", "neighbours", "group", "record", "rules", "letting in", "whole"};
  return words[static_cast<std::size_t>(phase)];
}

std::span<const PhaseLine> phaseTable() { return table; }

Ms atMost(Phase phase, const Terms& t) {
  switch (phase) {
    case Phase::store: return t.storeAtMost;
    case Phase::neighbours: return t.neighboursAtMost;
    case Phase::group: return t.groupAtMost;
    case Phase::record: return t.recordAtMost;
    case Phase::rules: return t.rulesAtMost;
    case Phase::lettingIn: return t.lettingInAtMost;
    case Phase::whole: break;
  }
  return 0;
}

// A front may be in any phase as faults end, and may have to go back once: its own disk found out, or the group lost.
Ms whole(const Terms& t) {
  Ms once = t.storeAtMost + t.neighboursAtMost + t.groupAtMost + t.recordAtMost + t.rulesAtMost;
  return 2 * once + t.lettingInAtMost + lettingInTakes(t);
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
  Ms started, since, nextHello, ownAfter;
  Phase phase = Phase::store;
  std::map<Id, Row> rows;
  StoreSeen seen;
  Floors told, floors;  // by the group since the start; the highest known by anybody
  bool checked = false, spoilt = false, dirty = true, firstTold = false;
  GroupNow group;
  bool haveGroup = false, groupWas = false;
  RecordNow record;
  bool haveRecord = false, caught = false;
  RulesNow rules;
  bool haveRules = false;
  std::uint64_t firstSaid = 0;  // 0: nothing yet
  std::optional<bool> cold;
  Ms majorityAt = -1;  // when so many disks had spoken first
  bool lossTold = false, wholeLoss = false;
  Loss last;
  LettingIn letting;
  Ms lettingFrom = 0;              // its time counts from here: anew where the record is caught up late
  std::vector<double> certainLet;  // by offering: what was let in of what is certain before that; it stays
  std::optional<Admit> admitted;
  std::size_t turn = 0;
  std::vector<Action> out;

  Inner(Id s, std::vector<Id> f, Terms t, std::uint64_t l, Ms now)
      : self(s), fronts(std::move(f)), terms(std::move(t)), life(l), started(now), since(now), nextHello(now),
        ownAfter(now + leaseOver()), letting(terms) {
    std::sort(fronts.begin(), fronts.end());
    fronts.erase(std::unique(fronts.begin(), fronts.end()), fronts.end());
    for (Id id : fronts)
      if (id != self) rows[id];
  }

  Ms leaseOver() const { return terms.lease * (1 + terms.drift) + terms.margin; }
  std::size_t majority() const { return fronts.size() / 2 + 1; }
  bool fresh(const Row& r, Ms now) const { return r.ever && now - r.at <= terms.forget; }
  // Its age now: what it said, and the time since.
  bool young(const Row& r, Ms now) const { return r.hello.up + (now - r.at) < terms.young; }
  // Heard, and its store was looked at: before that its word says nothing of floors.
  std::size_t present(Ms now) const {
    auto is = [&](auto& r) { return fresh(r.second, now) && r.second.hello.phase > Phase::store; };
    return 1 + static_cast<std::size_t>(std::count_if(rows.begin(), rows.end(), is));
  }
  bool spoke(const Row& r) const { return r.ever && r.hello.phase > Phase::store; }
  // Disks that were heard are all there are, or so many are sound that they can judge each other.
  bool firm() const {
    std::size_t heard = 1, sounds = sound(seen.state) ? 1 : 0;
    for (auto& [id, r] : rows) heard += spoke(r), sounds += spoke(r) && sound(r.hello.store);
    return heard == fronts.size() || sounds >= majority();
  }
  // Own disk weighed against the others' (or nothing on it to be wrong); after a while without so many, as good as can be had.
  bool judged(Ms now) const { return !sound(seen.state) || firm() || waited(now); }
  bool waited(Ms now) const { return majorityAt >= 0 && now - majorityAt >= terms.groupAtMost; }
  bool groupGood() const { return haveGroup && group.leaderKnown && group.token >= floors.token; }
  bool certainOnly() const { return phase < Phase::lettingIn || !caught; }

  // The fleet kept running and so did somebody of this zone: what lies behind is warm.
  bool quick(Ms now) const {
    std::size_t kept = 0;
    bool zone = cold ? !*cold : terms.crew <= 1;
    for (auto& [id, r] : rows)
      if (fresh(r, now) && r.hello.phase == Phase::whole && !young(r, now)) ++kept, zone = zone || (!cold && r.hello.zone == terms.zone);
    return zone && !wholeLoss && kept >= std::min(majority(), std::max<std::size_t>(1, rows.size()));
  }

  Hello hello(Id to, Ms now) const {
    Hello h;
    h.life = life, h.up = now - started, h.phase = phase, h.store = seen.state;
    h.floors = seen.floors;
    h.floors.token = std::max(h.floors.token, told.token), h.floors.offset = std::max(h.floors.offset, told.offset);
    h.floors.incarnation = std::max(h.floors.incarnation, told.incarnation);
    h.committed = record.committed, h.zone = terms.zone, h.carries = letting.share();
    h.groupLeads = haveGroup && group.leaderKnown, h.groupMember = group.member;
    auto w = seen.witnessed.find(to);
    h.ofYou = w == seen.witnessed.end() ? 0 : w->second;
    return h;
  }

  void speak(Ms now) {
    if (now < nextHello) return;
    nextHello = now + terms.helloEvery;
    std::vector<Id> to;
    for (auto& [id, r] : rows)
      if (phase != Phase::whole || (fresh(r, now) && r.hello.phase != Phase::whole)) to.push_back(id);
    std::size_t most = firstTold ? std::max<std::size_t>(16, (rows.size() + 3) / 4) : to.size();
    firstTold = true;
    if (to.size() > most) std::rotate(to.begin(), to.begin() + static_cast<long>(turn % to.size()), to.end()), to.resize(most);
    turn += most;
    for (Id id : to) out.push_back(Say{id, hello(id, now)});
  }

  void enter(Ms now, Phase p, std::string why, bool byTime = false) {
    phase = p, since = now;
    if (p == Phase::lettingIn) {
      lettingFrom = now;
      if (!quick(now)) letting.again();  // one that kept running had let in all; what lies behind may be cold now
      letting.begin(now);
    }
    out.push_back(Entered{p, std::move(why), byTime});
  }

  void back(Ms now, const std::string& why) {
    caught = haveRecord = haveRules = false;  // what was told of a record and rules before is not gone by
    if (phase > Phase::neighbours) enter(now, Phase::neighbours, why);
  }

  void distrust(Ms now, State as, Id whose, const std::string& why) {
    seen.state = as, seen.floors = {}, seen.witnessed.clear();
    spoilt = dirty = true;
    out.push_back(Spoilt{whose, why});
    back(now, "own store not trusted: " + why);
  }

  void weigh(Ms now) {
    dirty = false;
    std::vector<Claim> others;
    for (auto& [id, r] : rows)
      if (r.ever) others.push_back({r.hello.store, r.hello.floors, r.hello.ofYou});
    auto before = others;  // what they have seen of earlier lives
    if (firstSaid > 0)
      for (Claim& c : before)
        if (c.ofUs >= firstSaid && c.ofUs <= told.incarnation) c.ofUs = 0;
    auto own = [&] { return Claim{seen.state, seen.floors, 0}; };
    if (!spoilt)
      if (std::string why = foundOut(before, own(), fronts.size(), terms); !why.empty()) distrust(now, State::spoilt, self, why);
    Floors f = together(others, own(), fronts.size(), terms);
    f.token = std::max(f.token, told.token), f.offset = std::max(f.offset, told.offset), f.incarnation = std::max(f.incarnation, told.incarnation);
    floors = f, dirty = false;
    auto spoken = 1 + static_cast<std::size_t>(std::count_if(rows.begin(), rows.end(), [&](auto& r) { return spoke(r.second); }));
    if (majorityAt < 0 && spoken >= majority()) majorityAt = now;
  }

  // Told once a majority is heard, and again only where it turns out to be more or less than that.
  void loss(Ms now) {
    if (phase < Phase::group || present(now) < majority()) return;
    Loss l;
    bool anySound = sound(seen.state);
    (now - started < terms.young ? l.back : l.kept) += 1;
    for (auto& [id, r] : rows) {
      anySound = anySound || (r.ever && sound(r.hello.store));
      if (fresh(r, now)) (young(r, now) ? l.back : l.kept) += 1;
    }
    wholeLoss = wholeLoss || static_cast<std::size_t>(l.back) >= majority();
    l.whole = wholeLoss;
    if (l.whole && !anySound) l.lost = "no front heard has a sound store: rules, record and tokens from before are gone";
    else if (l.whole && haveGroup && group.founded) l.lost = "the group's log is gone: founded anew above the floors of the stores that are left";
    if (lossTold && l.whole == last.whole && l.lost == last.lost) return;
    lossTold = true, last = l;
    out.push_back(l);
  }

  bool over(Ms now) const { return now - (phase == Phase::lettingIn ? lettingFrom : since) >= atMost(phase, terms); }

  bool advance(Ms now) {
    switch (phase) {
      case Phase::store:
        if (checked) return enter(now, Phase::neighbours, "store checked"), true;
        if (over(now)) return enter(now, Phase::neighbours, "store not readable in time", true), true;
        return false;
      case Phase::neighbours: {
        std::size_t n = present(now);
        bool enough = n >= majority() && (n == fronts.size() || (firm() && (quick(now) || now - since >= 4 * terms.helloEvery)));
        if (!enough && !over(now)) return false;
        bool byTime = n < majority();
        enter(now, Phase::group, std::to_string(n) + " of " + std::to_string(fronts.size()) + " fronts are there", byTime);
        if (quick(now)) letting.all();
        return true;
      }
      case Phase::group:
        if (groupGood()) return groupWas = true, enter(now, Phase::record, group.founded ? "founded anew" : "leader known"), true;
        if (over(now)) return enter(now, Phase::record, "no leader whose token is above the floors", true), true;
        return false;
      case Phase::record:
        if (caught) return enter(now, Phase::rules, record.on ? "record caught up" : "no record"), true;
        if (over(now)) return enter(now, Phase::rules, "record not caught up", true), true;
        return false;
      case Phase::rules:
        if (haveRules && (!rules.on || rules.inStep)) return enter(now, Phase::lettingIn, rules.on ? "rules approved" : "no approval"), true;
        if (over(now)) return enter(now, Phase::lettingIn, "rules not known to be approved", true), true;
        return false;
      case Phase::lettingIn:
        if (caught && quick(now)) letting.all();
        if (!caught || letting.share() < 1) return false;
        return enter(now, Phase::whole, quick(now) ? "the fleet kept running" : "all let in", over(now)), true;
      case Phase::whole: return false;
    }
    return false;
  }

  void admit() {
    Admit a;
    a.certainOnly = certainOnly(), a.comeBack = a.certainOnly || phase != Phase::whole ? terms.comeBack : 0;
    if (phase != Phase::whole) a.byOffering = letting.byOffering(a.certainOnly);
    for (std::size_t i = 0; i < std::min(a.byOffering.size(), certainLet.size()); ++i) a.byOffering[i] = std::max(a.byOffering[i], certainLet[i]);
    if (admitted && admitted->byOffering == a.byOffering && admitted->certainOnly == a.certainOnly) return;
    admitted = a, out.push_back(a);
  }

  void on(Ms now, const StoreChecked& e) {
    if (checked) return;
    checked = dirty = true, seen = e.seen;
    bool another = seen.whose != 0 && seen.whose != self;
    if (seen.state == State::none || seen.state == State::empty) seen.floors = {}, seen.witnessed.clear();
    else if (another || seen.state == State::foreign) distrust(now, State::foreign, seen.whose, "another front's");
    else if (!sound(seen.state)) distrust(now, seen.state, self, "older than it says");
    std::erase_if(seen.witnessed, [&](auto& w) { return !rows.contains(w.first); });
  }

  void on(Ms now, const Heard& e) {
    auto r = rows.find(e.from);
    if (r == rows.end()) return;
    bool firstOfLife = !r->second.ever || r->second.hello.life != e.hello.life;
    r->second = {e.hello, now, true}, dirty = true;
    if (firstOfLife && phase != Phase::store) out.push_back(Say{e.from, hello(e.from, now)});
  }

  void on(Ms now, const GroupNow& e) {
    // A group founded anew knows nothing of leases from before: they are waited out from here.
    if (e.founded && !(haveGroup && group.founded)) ownAfter = std::max(ownAfter, now + leaseOver());
    group = e, haveGroup = true;
    if (e.leaderKnown && e.token >= floors.token) told.token = std::max(told.token, e.token), groupWas = true, dirty = true;
    if (e.lost && std::exchange(groupWas, false)) lossTold = wholeLoss = false, last = {}, back(now, "the group's majority is gone");
  }

  void on(Ms, const RecordNow& e) { record = e, haveRecord = true; }
  void on(Ms, const RulesNow& e) { rules = e, haveRules = true; }
  void on(Ms now, const Behind& e) {
    if (e.cold) cold = e.cold;
    if (e.crowded && phase != Phase::whole) letting.crowded(now, phase != Phase::lettingIn || !over(now));
  }
  void on(Ms, const Said& e) {
    if (firstSaid == 0) firstSaid = e.incarnation;
    told.incarnation = std::max(told.incarnation, e.incarnation), dirty = true;
  }
  void on(Ms, const Tick&) {}

  std::vector<Action> handle(Ms now, const Event& event) {
    std::visit([&](auto& e) { on(now, e); }, event);
    bool later = std::holds_alternative<Heard>(event) && fronts.size() > heardAtOnceUpTo;
    if (!later) {
      if (dirty) weigh(now);
      if (haveRecord && (!record.on || (record.caughtUp && groupGood() && judged(now) && record.committed >= floors.offset))) {
        if (!caught && phase == Phase::lettingIn && !quick(now)) {
          // What was let in so far asked nothing of parents and caches: how much they bear is not known by it.
          certainLet = letting.byOffering(true);
          letting.again(), letting.begin(now), lettingFrom = now;
        }
        caught = true;
        if (record.on && record.committed > told.offset) told.offset = record.committed, floors.offset = std::max(floors.offset, told.offset);
      }
      loss(now);
      while (advance(now)) loss(now);
      if (phase == Phase::lettingIn && letting.step(now)) while (advance(now)) {}
      admit();
      speak(now);
    }
    return std::exchange(out, {});
  }
};

Recovery::Recovery(Id self, std::vector<Id> fronts, Terms terms, std::uint64_t life, Ms now)
    : inner_(std::make_shared<Inner>(self, std::move(fronts), std::move(terms), life, now)) {}
Recovery::~Recovery() = default;
std::vector<Action> Recovery::handle(Ms now, const Event& event) { return inner_->handle(now, event); }
Phase Recovery::phase() const { return inner_->phase; }
Ms Recovery::since() const { return inner_->since; }
Floors Recovery::floors() const { return inner_->floors; }
bool Recovery::certainOnly() const { return inner_->certainOnly(); }
double Recovery::carries() const { return inner_->letting.share(); }

bool Recovery::mayFound(Ms now) const {
  const Inner& i = *inner_;
  return i.phase >= Phase::group && i.majorityAt >= 0 && (i.firm() || i.waited(now));
}

bool Recovery::mayOwn(Ms now) const { return now >= inner_->ownAfter && inner_->phase > Phase::group && inner_->groupGood(); }

Ms Recovery::wakeAt() const {
  const Inner& i = *inner_;
  Ms at = i.nextHello, end = i.since + recovery::atMost(i.phase, i.terms);
  if (i.phase < Phase::lettingIn && end > i.nextHello - i.terms.helloEvery) at = std::min(at, end);
  if (i.phase == Phase::lettingIn) at = std::min(at, i.letting.next());
  return at;
}

}  // namespace dunlinwick::recovery
