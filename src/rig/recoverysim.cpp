#include "rig/recoverysim.hpp"

#include <algorithm>
#include <cmath>

namespace dunlinwick::rig {

using namespace recovery;
using State = StoreSeen::State;

const char* word(Fault f) {
  static constexpr const char* words[] = {"all at once", "one zone", "all but one", "staggered 60 s", "power lost again twice", "stores at fault",
                                          "all stores lost", "clocks set back", "board down", "partition during the return",
                                          "one front alone", "mixed"};
  return words[static_cast<int>(f)];
}

RecoverySimTerms usual(int fronts, int zones) {
  RecoverySimTerms t;
  t.fronts = fronts, t.zones = zones;
  t.group = fronts < 5 ? 3 : 5;
  t.each.zones = zones, t.each.crew = fronts / zones;
  // Kept objects of three payoffs, and one class that is never kept.
  t.each.payoff = {3, 1, 2, 1.5}, t.each.work = {0.2, 0.4, 0.3, 0.1}, t.each.certain = {false, false, false, true};
  t.each = fit(t.each, t.parentFrom, t.usualMiss);
  return t;
}

namespace {
constexpr Ms week = 7 * 86400e3;
constexpr std::uint64_t approved = 7, approvedDigest = 0x5eed;

struct Disk {
  bool there = true;
  State claims = State::good;  // what its own check can find
  Id whose = 0;
  Floors floors;
  std::map<Id, std::uint64_t> witnessed;
  std::uint64_t position = 0;  // whole prefix of the record
  bool log = false;            // a group member's: its log is there
  std::uint64_t logToken = 0, logOffset = 0;
  bool bad = false;            // the rig's own knowledge: another's, old or flipped, though its digests fit
};
struct Lease {
  Ms at, over;
};
}  // namespace

struct RecoverySim::Front {
  Id id = 0;
  int zone = 0;
  bool on = false;
  int side = 0;
  Disk disk;
  std::unique_ptr<Recovery> rec;
  Ms clockSet = 0, start = 0, savedAt = 0, toldAt = 0, checkAt = 0, fetchedAt = -1, askAt = 0;
  std::uint64_t position = 0, version = 0, incarnation = 0;
  bool wasMember = false, current = false, believed = false;
  Admit admit;
  bool anyAdmit = false;
};

struct RecoverySim::Group {
  Front* leader = nullptr;
  Ms electAt = -1, since = 0, foundedAt = -1, writeAt = 0;
  bool founded = false, open = false;  // open: the leader's log stands (not before founding)
  std::uint64_t token = 0, offset = 0;
  std::vector<Lease> leases;
  Ms waited = -1;
};

RecoverySim::RecoverySim(RecoverySimTerms terms, std::uint64_t seed)
    : terms_(std::move(terms)), random_(static_cast<unsigned>(seed * 2654435761u + 17)), group_(std::make_unique<Group>()),
      warm_(static_cast<std::size_t>(terms_.zones), 1.0), zoneSince_(warm_.size(), -1e9) {
  run_.terms = terms_.each;
  flights_.resize(8);
  for (int i = 0; i < terms_.fronts; ++i) {
    auto f = std::make_unique<Front>();
    f->id = static_cast<Id>(i + 1), f->zone = i % terms_.zones;
    f->disk.whose = f->id;
    f->incarnation = 1000 + static_cast<std::uint64_t>(unit() * 100);
    f->disk.floors = {500, 90000, f->incarnation, approvedDigest, approved};
    f->disk.position = 90000;
    f->disk.log = i < terms_.group, f->disk.logToken = 500, f->disk.logOffset = 90000;
    fronts_.push_back(std::move(f));
  }
  for (auto& f : fronts_)
    for (auto& o : fronts_)
      if (o != f) f->disk.witnessed[o->id] = o->incarnation;
  group_->token = 500, group_->offset = 90000, group_->open = true;
}
RecoverySim::~RecoverySim() = default;

bool RecoverySim::reach(const Front& a, const Front& b) const { return a.on && b.on && a.side == b.side; }

void RecoverySim::up(Front& f) {
  f.on = true, f.start = now_, f.rec = nullptr;
  Terms t = terms_.each;
  t.zone = f.zone, t.crew = terms_.fronts / terms_.zones + (f.zone < terms_.fronts % terms_.zones);
  std::vector<Id> ids;
  for (auto& o : fronts_) ids.push_back(o->id);
  f.rec = std::make_unique<Recovery>(f.id, ids, t, static_cast<std::uint64_t>(1e9 + now_ - f.clockSet), now_);
  f.position = 0, f.version = 0, f.incarnation = 0, f.current = false, f.believed = f.disk.there && f.disk.bad;
  f.checkAt = now_ + between(50, 1500), f.fetchedAt = -1, f.toldAt = now_, f.wasMember = false, f.anyAdmit = false;
  run_.seen.push_back({.what = Seen::What::power, .at = now_, .front = f.id, .value = 1});
  act(f, f.rec->handle(now_, Tick{}));
}

void RecoverySim::down(Front& f) {
  f.on = false, f.rec = nullptr;
  if (group_->leader == &f) group_->leader = nullptr;
  run_.seen.push_back({.what = Seen::What::power, .at = now_, .front = f.id, .value = 0});
}

void RecoverySim::give(Front& f, Event e) {
  // Broken: the front asks nobody about its own disk.
  if (auto* h = std::get_if<Heard>(&e); h && terms_.breaks.ownDisk) h->hello.floors = {}, h->hello.store = State::none, h->hello.ofYou = 0;
  if (auto* s = std::get_if<StoreChecked>(&e)) {
    if (terms_.breaks.foreign) {
      if (s->seen.state == State::foreign) s->seen.state = State::good;
      s->seen.whose = f.id;
    }
    if (terms_.breaks.skip && s->seen.state == State::good) {
      run_.seen.push_back({.what = Seen::What::entered, .at = now_, .front = f.id, .phase = Phase::whole, .bad = f.believed});
      run_.seen.push_back({.what = Seen::What::admit, .at = now_, .front = f.id, .certainOnly = false, .current = f.current});
    }
  }
  act(f, f.rec->handle(now_, e));
}

void RecoverySim::act(Front& f, std::vector<Action> actions) {
  bool said = false;
  for (Action& a : actions) {
    if (auto* s = std::get_if<Say>(&a)) {
      if (unit() < 0.01) continue;
      std::size_t later = 1 + static_cast<std::size_t>(unit() * 3);
      Flight one{now_, f.id, s->to, {}, {}};
      if (terms_.bytes) one.bytes = encode(s->hello);
      else one.hello = s->hello;
      flights_[later].push_back(std::move(one));
    } else if (auto* e = std::get_if<Entered>(&a)) {
      run_.seen.push_back({.what = Seen::What::entered, .at = now_, .front = f.id, .phase = e->phase, .byTime = e->byTime, .bad = f.believed,
                           .why = e->why});
      if (e->phase == Phase::group) {  // a new life's incarnation: above all that is known of it
        f.incarnation = std::max({f.incarnation, static_cast<std::uint64_t>(std::max(0.0, 1000 + (now_ - f.clockSet) / 1000)),
                                  f.rec->floors().incarnation + 1});
        if (f.disk.there) f.disk.floors.incarnation = f.incarnation;
        said = true;
      }
    } else if (auto* m = std::get_if<Admit>(&a)) {
      f.admit = *m, f.anyAdmit = true;
      run_.seen.push_back({.what = Seen::What::admit, .at = now_, .front = f.id, .certainOnly = m->certainOnly, .current = f.current});
      if (run_.firstSafe < 0 && powerBack_ >= 0) run_.firstSafe = now_ - powerBack_;
      if (run_.firstKept < 0 && powerBack_ >= 0 && !m->certainOnly) run_.firstKept = now_ - powerBack_;
    } else if (auto* l = std::get_if<Loss>(&a)) {
      if (!terms_.breaks.untold)
        run_.seen.push_back({.what = Seen::What::loss, .at = now_, .front = f.id, .value = l->whole ? 1.0 : 0.0, .why = l->lost});
    } else if (auto* s2 = std::get_if<Spoilt>(&a)) {
      run_.seen.push_back({.what = Seen::What::spoilt, .at = now_, .front = f.id, .why = s2->why});
      f.believed = false, f.position = 0, f.version = 0;
      f.disk.bad = false, f.disk.log = f.disk.log && !f.disk.bad, f.disk.whose = f.id;
      f.disk.floors = {0, 0, f.incarnation, 0, 0}, f.disk.position = 0, f.disk.claims = State::empty, f.disk.witnessed.clear();
      f.current = false;
    }
  }
  if (said) give(f, Said{f.incarnation});
}

// Who leads, what is committed, who owns. A member whose log is gone doesn't vote for itself.
void RecoverySim::groupTurn() {
  Group& g = *group_;
  std::size_t n = static_cast<std::size_t>(terms_.group), most = n / 2 + 1;
  auto connected = [&](Front& of) {
    std::vector<Front*> out;
    for (std::size_t i = 0; i < n; ++i)
      if (reach(of, *fronts_[i])) out.push_back(fronts_[i].get());
    return out;
  };
  if (g.leader && connected(*g.leader).size() < most) g.leader = nullptr, g.electAt = -1;
  if (!g.leader) {
    std::vector<Front*> there;
    for (std::size_t i = 0; i < n && there.size() < most; ++i)
      if (fronts_[i]->on) there = connected(*fronts_[i]);
    if (there.size() < most) {
      g.electAt = g.waited = -1;
      return;
    }
    if (g.electAt < 0) g.electAt = now_ + between(300, 2500), g.waited = now_;
    if (now_ < g.electAt) return;
    std::size_t logs = 0;
    Front* best = nullptr;
    for (Front* f : there)
      if (f->disk.there && f->disk.log) {
        ++logs;
        if (!best || f->disk.logOffset > best->disk.logOffset) best = f;
      }
    if (logs >= most) {
      g.leader = best, g.open = true;
      g.token = best->disk.logToken, g.offset = best->disk.logOffset;
    } else {  // founded anew: only once all members are there or ten seconds brought no more, and a majority of disks was asked
      if (there.size() < n && now_ - g.waited < 10000) return;
      Front* by = nullptr;
      for (Front* f : there)
        if (f->rec->mayFound(now_)) by = f;
      if (!by) return;
      g.leader = by, g.open = g.founded = true, g.foundedAt = now_;
      g.token = g.offset = 0;
      for (Front* f : there)
        if (f->disk.log) g.token = std::max(g.token, f->disk.logToken), g.offset = std::max(g.offset, f->disk.logOffset);
      g.token = std::max(g.token, by->rec->floors().token) + 1, g.offset = std::max(g.offset, by->rec->floors().offset) + 1;
      run_.seen.push_back({.what = Seen::What::committed, .at = now_, .front = by->id, .number = g.offset, .floor = knownOffset_});
    }
    g.since = now_, g.writeAt = now_;
  }
  // A floor learnt late: what the group hands out goes above it.
  if (g.leader->rec->mayFound(now_)) {
    Floors f = g.leader->rec->floors();
    if (f.token > g.token) g.token = f.token + 1;
    if (f.offset > g.offset) g.offset = f.offset + 1;
  }
  if (now_ >= g.writeAt) {
    g.writeAt = now_ + 200, g.offset += 1 + static_cast<std::uint64_t>(unit() * 3);
    run_.seen.push_back({.what = Seen::What::committed, .at = now_, .front = g.leader->id, .number = g.offset, .floor = knownOffset_});
  }
  // A lease for whoever asks first. What the leader's own clock saw of earlier ones it goes by; what came before its start, by mayOwn.
  for (auto& f : fronts_) {
    if (!f->on || !reach(*f, *g.leader) || now_ < f->askAt) continue;
    f->askAt = now_ + between(1000, 3000);
    bool may = f->rec->mayOwn(now_) && g.leader->rec->mayOwn(now_);
    if (terms_.breaks.lease) may = true;
    Ms over = 0, seen = 0;
    for (const Lease& l : g.leases) {
      over = std::max(over, l.over);
      if (l.at >= g.leader->start && l.at >= g.foundedAt) seen = std::max(seen, l.over);
    }
    if (!may || now_ < seen) continue;
    ++g.token;
    run_.seen.push_back({.what = Seen::What::grant, .at = now_, .front = f->id, .number = g.token, .floor = knownToken_, .leaseOver = over});
    g.leases = {{now_, now_ + terms_.each.lease}};
    break;
  }
  for (Front* f : connected(*g.leader))
    if (f->disk.there) f->disk.log = true, f->disk.logToken = g.token, f->disk.logOffset = g.offset;
}

void RecoverySim::frontTurn(Front& f) {
  Group& g = *group_;
  if (f.checkAt > 0 && now_ >= f.checkAt) {
    f.checkAt = 0;
    StoreSeen s;
    if (!f.disk.there || f.disk.claims == State::empty) {
      s.state = State::empty, f.disk.there = true, f.disk.claims = State::empty, f.disk.whose = f.id;
    } else {
      s.state = f.disk.claims, s.whose = f.disk.whose, s.floors = f.disk.floors, s.witnessed = f.disk.witnessed;
      f.position = f.disk.position, f.version = f.disk.floors.rulesVersion;
    }
    give(f, StoreChecked{s});
  }
  bool linked = g.leader && reach(f, *g.leader);
  if (linked && f.position < g.offset) {
    std::uint64_t by = std::max<std::uint64_t>(10, (g.offset - f.position) / 8);  // compacted: what is missing comes in a second or so
    f.position = std::min(g.offset, f.position + by);
  }
  if (linked && f.position >= g.offset && !f.believed) f.current = true;
  // A bad disk that is still believed: what was caught up on its prefix is not current.
  bool board = now_ >= boardDownUntil_ && f.side == 0;
  if (f.version != approved || f.disk.floors.rulesDigest != approvedDigest) {
    if (f.fetchedAt < 0 && board) f.fetchedAt = now_ + between(300, 2500);
    if (f.fetchedAt >= 0 && now_ >= f.fetchedAt) {
      f.version = approved, f.fetchedAt = -1;
      if (f.disk.there) f.disk.floors.rulesVersion = approved, f.disk.floors.rulesDigest = approvedDigest;
    }
  }
  if (now_ >= f.toldAt) {
    f.toldAt = now_ + 200;
    std::size_t members = 0;
    for (int i = 0; i < terms_.group; ++i) members += reach(f, *fronts_[static_cast<std::size_t>(i)]);
    bool lost = f.wasMember && members < static_cast<std::size_t>(terms_.group / 2 + 1);
    if (linked) f.wasMember = true;
    if (lost) f.wasMember = f.current = false;
    if (lost) run_.seen.push_back({.what = Seen::What::lost, .at = now_, .front = f.id});
    give(f, GroupNow{f.id <= static_cast<Id>(terms_.group), linked, linked && g.founded, lost, linked ? g.token : 0});
    give(f, RecordNow{f.position, linked ? g.offset : 0, linked && f.position >= g.offset, now_, true});
    Ms since = std::max(parentsSince_, zoneSince_[static_cast<std::size_t>(f.zone)]);
    std::optional<bool> cold;  // the list tells starts
    if (board) cold = now_ - since < terms_.parentLasts;
    give(f, Behind{crowdedNow_, cold});
    give(f, RulesNow{true, board && f.version == approved, f.version, approvedDigest});
  } else {
    act(f, f.rec->handle(now_, Tick{}));
  }
  // Floors and witness go to the disk twice a second, once this front's own word is sure.
  if (now_ >= f.savedAt && f.disk.there && f.rec->phase() > Phase::neighbours && !f.believed) {
    f.savedAt = now_ + 500;
    if (linked && f.rec->phase() > Phase::record) {
      f.disk.claims = State::good, f.disk.floors.token = std::max(f.disk.floors.token, g.token);
      f.disk.floors.offset = std::max(f.disk.floors.offset, g.offset), f.disk.position = f.position;
      f.disk.floors.incarnation = std::max(f.disk.floors.incarnation, f.incarnation);
    }
    for (auto& o : fronts_)
      if (o->id != f.id && reach(f, *o) && o->rec->phase() > Phase::neighbours) {
        std::uint64_t& w = f.disk.witnessed[o->id];
        w = std::max(w, o->incarnation);
      }
  }
}

void RecoverySim::behindTurn() {
  double fronts = static_cast<double>(terms_.fronts), fills = 0, useful = 0;
  std::vector<double> byZone(warm_.size(), 0.0);
  double straight = 0;
  for (auto& f : fronts_) {
    if (!f->on) continue;
    double kept = 1, never = 0.1;
    if (terms_.breaks.atOnce && f->rec->phase() >= Phase::lettingIn && !f->rec->certainOnly()) kept = 0.9;
    else if (f->anyAdmit && f->admit.byOffering.empty()) kept = 0.9;
    else {
      kept = never = 0;
      for (std::size_t i = 0; i < f->admit.byOffering.size(); ++i)
        (terms_.each.certain[i] ? never : kept) += f->admit.byOffering[i] * terms_.each.work[i];
    }
    byZone[static_cast<std::size_t>(f->zone)] += kept, straight += never;
  }
  std::vector<double> fillsOf(warm_.size());
  for (std::size_t z = 0; z < warm_.size(); ++z) {
    double miss = terms_.usualMiss + (1 - terms_.usualMiss) * (1 - warm_[z]);
    fillsOf[z] = byZone[z] * miss, fills += fillsOf[z];
  }
  double warmth = std::min(1.0, terms_.parentFrom + (1 - terms_.parentFrom) * (now_ - parentsSince_) / terms_.parentLasts);
  double capacity = terms_.spare * terms_.usualMiss * 0.9 * fronts * warmth, level = fills / capacity;
  double done = level <= 1 ? 1 : 1 / (level * level);  // pushed over, most fills come too late to be of use
  for (std::size_t z = 0; z < warm_.size(); ++z) {
    double crew = fronts / static_cast<double>(warm_.size());
    warm_[z] += (1 - warm_[z]) * std::min(1.0, fillsOf[z] * done / crew * terms_.tick / terms_.cacheHolds);
    useful += byZone[z] - fillsOf[z] + fillsOf[z] * done;
  }
  double office = straight + fills * std::min(1.0, level > 1 ? 1 / level : 1) * (0.3 + 0.7 * (1 - parentsWarm_));
  parentsWarm_ += (1 - parentsWarm_) * std::min(1.0, fills * done / fronts * terms_.tick / (2 * terms_.cacheHolds));
  if (powerBack_ < 0) run_.usualOffice = office;
  else {
    if (now_ >= powerBack_) run_.peakParents = std::max(run_.peakParents, level);
    run_.peakOffice = std::max(run_.peakOffice, office);
    if (run_.goodput95 < 0 && useful + straight >= 0.95 * fronts) run_.goodput95 = now_ - powerBack_;
  }
  if (level > 1 || worst_ > 1) run_.seen.push_back({.what = Seen::What::level, .at = now_, .value = level});
  worst_ = level;
  crowded_.push_back(level > 0.8);
  if (crowded_.size() > 3) {  // seen by the fronts 0.1 to 0.15 s later
    crowdedNow_ = crowded_.front();
    crowded_.pop_front();
  }
}

// A minority of the disks go bad, each in its own way; the rest are sound.
void RecoverySim::spoil(Fault) {
  std::size_t n = fronts_.size(), bad = static_cast<std::size_t>(unit() * static_cast<double>((n - 1) / 2 + 1));
  std::vector<std::size_t> order(n);
  for (std::size_t i = 0; i < n; ++i) order[i] = i;
  for (std::size_t i = n - 1; i > 0; --i) std::swap(order[i], order[static_cast<std::size_t>(unit() * static_cast<double>(i + 1))]);
  auto say = [&](Front& f, const char* what) { run_.faults.push_back("store of " + std::to_string(f.id) + " " + what); };
  for (std::size_t k = 0; k < bad; ++k) {
    Front& f = *fronts_[order[k]];
    switch (static_cast<int>(unit() * 6)) {
      case 0: f.disk.there = f.disk.log = false, say(f, "lost"); break;
      case 1: f.disk.claims = State::holed, f.disk.position /= 2, f.disk.log = false, say(f, "torn"); break;
      case 2:  // flipped where the digest shows it
        f.disk.claims = State::holed, f.disk.floors = {0, 0, f.disk.floors.incarnation, 0, 0}, f.disk.position = 0, f.disk.log = false;
        say(f, "flipped, found by its digest");
        break;
      case 3: f.disk.floors.token += std::uint64_t{1} << 40, f.disk.bad = true, f.disk.log = false, say(f, "flipped in its floor"); break;
      case 4:
        f.disk.floors = {f.disk.floors.token - 400, f.disk.floors.offset - 80000, f.disk.floors.incarnation - 500, approvedDigest, approved};
        f.disk.position -= 80000, f.disk.bad = true, f.disk.log = false;
        for (auto& [id, w] : f.disk.witnessed) w -= 500;
        say(f, "from a week ago");
        break;
      case 5:
        if (k + 1 < bad) {
          Front& o = *fronts_[order[++k]];
          std::swap(f.disk, o.disk);
          f.disk.bad = o.disk.bad = true, f.disk.log = o.disk.log = false;
          say(f, "swapped with the next's"), say(o, "swapped");
        }
        break;
    }
  }
}

RecoveryRun RecoverySim::run(Fault fault) {
  std::size_t n = fronts_.size();
  // A fleet in service for long: each Recovery goes through its phases before what is judged begins.
  for (auto& f : fronts_) up(*f);
  Ms begin = -1;
  struct Deed {
    Ms at;
    int what;  // 0 off, 1 on, 2 cut, 3 heal, 4 spoil
    std::size_t front;
  };
  std::vector<Deed> deeds;
  auto plan = [&] {
    run_.seen.clear(), run_.faults.clear();
    Ms t = now_ + between(0, 3000);
    auto off = [&](std::size_t i, Ms at) { deeds.push_back({at, 0, i}); };
    auto on = [&](std::size_t i, Ms at) { deeds.push_back({at, 1, i}), run_.faultsOver = std::max(run_.faultsOver, at); };
    Ms gap = between(500, 8000), jitter = fault == Fault::staggered || (fault == Fault::mixed && unit() < 0.5) ? 60000 : between(0, 2000);
    bool whole = true;
    int zone = static_cast<int>(unit() * terms_.zones);
    std::size_t spared = static_cast<std::size_t>(unit() * static_cast<double>(n));
    if (fault == Fault::alone) {
      off(spared, t), on(spared, t + gap), whole = false;
    } else {
      for (std::size_t i = 0; i < n; ++i) {
        if (fault == Fault::zone && fronts_[i]->zone != zone) continue;
        if (fault == Fault::allButOne && i == spared) continue;
        off(i, t);
        // Adverse: those of the group last.
        double place = unit();
        if (fault == Fault::staggered) place = static_cast<double>(n - i - 1) / static_cast<double>(n) + 0.1 * unit() / static_cast<double>(n);
        on(i, t + gap + place * jitter);
      }
      whole = fault != Fault::zone;
    }
    if (fault == Fault::again || (fault == Fault::mixed && unit() < 0.3)) {
      Ms at = run_.faultsOver;
      for (int k = 0; k < 2; ++k) {
        at += between(500, 30000);
        Ms back = at + between(500, 5000);
        for (std::size_t i = 0; i < n; ++i) off(i, at), on(i, back + between(0, 2000));
        at = run_.faultsOver;
      }
    }
    if (fault == Fault::stores || fault == Fault::mixed || (unit() < 0.3 && fault != Fault::alone && fault != Fault::zone && fault != Fault::allButOne))
      deeds.push_back({t + 100, 4, 0});
    if (fault == Fault::allStores) deeds.push_back({t + 100, 5, 0}), run_.allStoresLost = true;
    if (fault == Fault::clocks || (fault == Fault::mixed && unit() < 0.3)) deeds.push_back({t + 100, 6, 0});
    if (fault == Fault::board || (fault == Fault::mixed && unit() < 0.3)) {
      boardDownUntil_ = t + gap + between(10000, 60000);
      run_.faultsOver = std::max(run_.faultsOver, boardDownUntil_);
      run_.faults.push_back("board down");
    }
    if (fault == Fault::partition || (fault == Fault::mixed && unit() < 0.3)) {
      Ms from = t + gap + between(0, 5000), to = from + between(5000, 60000);
      deeds.push_back({from, 2, 0}), deeds.push_back({to, 3, 0});
      run_.faultsOver = std::max(run_.faultsOver, to);
    }
    run_.wholeLoss = whole;
    powerBack_ = t + gap;
    std::stable_sort(deeds.begin(), deeds.end(), [](const Deed& a, const Deed& b) { return a.at < b.at; });
  };
  std::size_t next = 0;
  while (now_ < terms_.longest) {
    now_ += terms_.tick;
    bool allWhole = std::all_of(fronts_.begin(), fronts_.end(), [](auto& f) { return f->on && f->rec->phase() == Phase::whole; });
    if (begin < 0 && allWhole) {
      // In service for over a minute: nobody is young any more.
      begin = std::max(now_, terms_.each.young + 1000);
    }
    if (begin >= 0 && now_ >= begin && deeds.empty()) powerBack_ = -1, plan();
    for (; next < deeds.size() && deeds[next].at <= now_; ++next) {
      Deed d = deeds[next];
      Front& f = *fronts_[d.front];
      if (d.what == 0 && f.on) {
        // What a majority's disks know as the power goes.
        std::vector<std::uint64_t> tokens, offsets;
        for (auto& o : fronts_) {
          bool ok = o->disk.there && !o->disk.bad && (o->disk.claims == State::good || o->disk.claims == State::holed);
          tokens.push_back(ok ? o->disk.floors.token : 0), offsets.push_back(ok ? o->disk.floors.offset : 0);
        }
        std::sort(tokens.rbegin(), tokens.rend()), std::sort(offsets.rbegin(), offsets.rend());
        knownToken_ = tokens[n / 2], knownOffset_ = offsets[n / 2];
        down(f);
        if (run_.wholeLoss) {
          parentsSince_ = powerBack_, parentsWarm_ = 0;
          for (double& w : warm_) w = 0;
          for (Ms& s : zoneSince_) s = powerBack_;
        } else if (fault == Fault::zone) {
          warm_[static_cast<std::size_t>(f.zone)] = 0, zoneSince_[static_cast<std::size_t>(f.zone)] = powerBack_;
        }
      }
      if (d.what == 1 && !f.on) up(f);
      if (d.what == 2)
        for (auto& o : fronts_) o->side = unit() < 0.4 ? 1 : 0;
      if (d.what == 3)
        for (auto& o : fronts_) o->side = 0;
      if (d.what == 4) spoil(fault);
      if (d.what == 5)
        for (auto& o : fronts_) o->disk = Disk{}, o->disk.there = false, o->disk.whose = o->id;
      if (d.what == 6)
        for (auto& o : fronts_) o->clockSet = between(0, week);
      if (d.what >= 4) {  // what the sound disks that are left know
        std::vector<std::uint64_t> tokens, offsets;
        for (auto& o : fronts_) {
          bool ok = o->disk.there && !o->disk.bad;
          tokens.push_back(ok ? o->disk.floors.token : 0), offsets.push_back(ok ? o->disk.floors.offset : 0);
        }
        std::sort(tokens.rbegin(), tokens.rend()), std::sort(offsets.rbegin(), offsets.rend());
        knownToken_ = tokens[n / 2], knownOffset_ = offsets[n / 2];
      }
    }
    std::vector<Flight> arrived = std::move(flights_.front());
    flights_.pop_front(), flights_.emplace_back();
    for (Flight& x : arrived) {
      Front &to = *fronts_[x.to - 1], &from = *fronts_[x.from - 1];
      if (!to.on || to.side != from.side) continue;
      if (!terms_.bytes) give(to, Heard{x.from, x.hello});
      else if (auto h = decode(x.bytes)) give(to, Heard{x.from, *h});
    }
    groupTurn();
    for (auto& f : fronts_)
      if (f->on) frontTurn(*f);
    behindTurn();
    bool done = !deeds.empty() && next >= deeds.size() && now_ > run_.faultsOver && allWhole;
    if (done) {
      if (!run_.allWhole) run_.allWhole = true, run_.end = now_;
      if (lateStopped || run_.goodput95 >= 0) break;
    }
    if (!deeds.empty() && next >= deeds.size() && now_ > run_.faultsOver + recovery::whole(terms_.each) + 60000) break;
  }
  if (!run_.allWhole) run_.end = now_;
  return std::move(run_);
}

}  // namespace dunlinwick::rig
