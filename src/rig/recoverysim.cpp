#include "rig/recoverysim.hpp"

#include <algorithm>
#include <cmath>

namespace dunlinwick::rig {

using namespace recovery;
using State = StoreInspection::State;

const char* ToString(Fault f) {
  static constexpr const char* kWords[] = {"all at once",
                                           "one zone",
                                           "all but one",
                                           "staggered 60 s",
                                           "power lost again twice",
                                           "stores at fault",
                                           "all stores lost",
                                           "clocks set back",
                                           "board down",
                                           "partition during the return",
                                           "one front alone",
                                           "mixed"};
  return kWords[static_cast<int>(f)];
}

RecoverySimTerms Usual(int fronts, int zones) {
  RecoverySimTerms t;
  t.fronts = fronts;
  t.zones = zones;
  t.group = fronts < 5 ? 3 : 5;
  t.each.zones = zones;
  t.each.zone_replicas = fronts / zones;
  // Kept objects of three payoffs, and one class that is never kept.
  t.each.priority_weights = {3, 1, 2, 1.5};
  t.each.class_work = {0.2, 0.4, 0.3, 0.1};
  t.each.certain_classes = {false, false, false, true};
  t.each = FitToCapacity(t.each, t.parent_from, t.usual_miss);
  return t;
}

namespace {
constexpr Ms kWeek = 7 * 86400e3;
constexpr std::uint64_t kApproved = 7, kApprovedDigest = 0x5eed;

struct Disk {
  bool there = true;
  State claims = State::kGood;  // what its own check can find
  Id whose = 0;
  PersistedMinimums floors;
  std::map<Id, std::uint64_t> witnessed;
  std::uint64_t position = 0;  // whole prefix of the record
  bool log = false;            // a group member's: its log is there
  std::uint64_t log_token = 0;
  std::uint64_t log_offset = 0;
  bool bad = false;  // the rig's own knowledge: another's, old or flipped, though its digests fit
};
struct Lease {
  Ms at;
  Ms over;
};
}  // namespace

struct RecoverySim::Front {
  Id id = 0;
  int zone = 0;
  bool on = false;
  int side = 0;
  Disk disk;
  std::unique_ptr<Recovery> rec;
  Ms clock_set = 0;
  Ms start = 0;
  Ms saved_at = 0;
  Ms notified_at = 0;
  Ms check_at = 0;
  Ms fetched_at = -1;
  Ms ask_at = 0;
  std::uint64_t position = 0;
  std::uint64_t version = 0;
  std::uint64_t incarnation = 0;
  bool was_member = false;
  bool current = false;
  bool believed = false;
  AdmissionUpdate admit;
  bool any_admit = false;
};

struct RecoverySim::Group {
  Front* leader = nullptr;
  Ms elect_at = -1;
  Ms since = 0;
  Ms founded_at = -1;
  Ms write_at = 0;
  bool founded = false;
  bool open = false;  // open: the leader's log stands (not before founding)
  std::uint64_t token = 0;
  std::uint64_t offset = 0;
  std::vector<Lease> leases;
  Ms waited = -1;
};

RecoverySim::RecoverySim(RecoverySimTerms terms, std::uint64_t seed)
    : terms_(std::move(terms)),
      random_(static_cast<unsigned>(seed * 2654435761u + 17)),
      group_(std::make_unique<Group>()),
      warm_(static_cast<std::size_t>(terms_.zones), 1.0),
      zone_since_(warm_.size(), -1e9) {
  run_.terms = terms_.each;
  flights_.resize(8);
  for (int i = 0; i < terms_.fronts; ++i) {
    auto f = std::make_unique<Front>();
    f->id = static_cast<Id>(i + 1);
    f->zone = i % terms_.zones;
    f->disk.whose = f->id;
    f->incarnation = 1000 + static_cast<std::uint64_t>(Unit() * 100);
    f->disk.floors = {500, 90000, f->incarnation, kApprovedDigest, kApproved};
    f->disk.position = 90000;
    f->disk.log = i < terms_.group;
    f->disk.log_token = 500;
    f->disk.log_offset = 90000;
    fronts_.push_back(std::move(f));
  }
  for (auto& f : fronts_)
    for (auto& o : fronts_)
      if (o != f)
        f->disk.witnessed[o->id] = o->incarnation;
  group_->token = 500;
  group_->offset = 90000;
  group_->open = true;
}
RecoverySim::~RecoverySim() = default;

bool RecoverySim::reach(const Front& a, const Front& b) const {
  return a.on && b.on && a.side == b.side;
}

void RecoverySim::Up(Front& f) {
  f.on = true;
  f.start = now_;
  f.rec = nullptr;
  Settings t = terms_.each;
  t.zone = f.zone;
  t.zone_replicas = terms_.fronts / terms_.zones + (f.zone < terms_.fronts % terms_.zones);
  std::vector<Id> ids;
  for (auto& o : fronts_)
    ids.push_back(o->id);
  f.rec = std::make_unique<Recovery>(f.id, ids, t,
                                     static_cast<std::uint64_t>(1e9 + now_ - f.clock_set), now_);
  f.position = 0;
  f.version = 0;
  f.incarnation = 0;
  f.current = false;
  f.believed = f.disk.there && f.disk.bad;
  f.check_at = now_ + Between(50, 1500);
  f.fetched_at = -1;
  f.notified_at = now_;
  f.was_member = false;
  f.any_admit = false;
  run_.seen.push_back({.what = Seen::What::kPower, .at = now_, .front = f.id, .value = 1});
  Act(f, f.rec->Handle(now_, Tick{}));
}

void RecoverySim::Down(Front& f) {
  f.on = false;
  f.rec = nullptr;
  if (group_->leader == &f)
    group_->leader = nullptr;
  run_.seen.push_back({.what = Seen::What::kPower, .at = now_, .front = f.id, .value = 0});
}

void RecoverySim::Give(Front& f, Event e) {
  // Broken: the front asks nobody about its own disk.
  if (auto* h = std::get_if<HelloReceived>(&e); h && terms_.breaks.own_disk) {
    h->hello.minimums = {};
    h->hello.store = State::kNone;
    h->hello.receiver_incarnation = 0;
  }
  if (auto* s = std::get_if<StoreChecked>(&e)) {
    if (terms_.breaks.foreign) {
      if (s->inspection.state == State::kForeign)
        s->inspection.state = State::kGood;
      s->inspection.owner_id = f.id;
    }
    if (terms_.breaks.skip && s->inspection.state == State::kGood) {
      run_.seen.push_back({.what = Seen::What::kEntered,
                           .at = now_,
                           .front = f.id,
                           .phase = Phase::kComplete,
                           .bad = f.believed});
      run_.seen.push_back({.what = Seen::What::kAdmit,
                           .at = now_,
                           .front = f.id,
                           .certain_only = false,
                           .current = f.current});
    }
  }
  Act(f, f.rec->Handle(now_, e));
}

void RecoverySim::Act(Front& f, std::vector<Action> actions) {
  bool said = false;
  for (Action& a : actions) {
    if (auto* s = std::get_if<SendHello>(&a)) {
      if (Unit() < 0.01)
        continue;
      std::size_t later = 1 + static_cast<std::size_t>(Unit() * 3);
      Flight one{now_, f.id, s->to, {}, {}};
      if (terms_.bytes)
        one.bytes = Encode(s->hello);
      else
        one.hello = s->hello;
      flights_[later].push_back(std::move(one));
    } else if (auto* e = std::get_if<PhaseEntered>(&a)) {
      run_.seen.push_back({.what = Seen::What::kEntered,
                           .at = now_,
                           .front = f.id,
                           .phase = e->phase,
                           .by_time = e->by_time,
                           .bad = f.believed,
                           .why = e->reason});
      if (e->phase == Phase::kGroup) {  // a new life's incarnation: above all that is known of it
        f.incarnation =
            std::max({f.incarnation,
                      static_cast<std::uint64_t>(std::max(0.0, 1000 + (now_ - f.clock_set) / 1000)),
                      f.rec->minimums().incarnation + 1});
        if (f.disk.there)
          f.disk.floors.incarnation = f.incarnation;
        said = true;
      }
    } else if (auto* m = std::get_if<AdmissionUpdate>(&a)) {
      f.admit = *m;
      f.any_admit = true;
      run_.seen.push_back({.what = Seen::What::kAdmit,
                           .at = now_,
                           .front = f.id,
                           .certain_only = m->certain_only,
                           .current = f.current});
      if (run_.first_safe < 0 && power_back_ >= 0)
        run_.first_safe = now_ - power_back_;
      if (run_.first_kept < 0 && power_back_ >= 0 && !m->certain_only)
        run_.first_kept = now_ - power_back_;
    } else if (auto* l = std::get_if<LossReport>(&a)) {
      if (!terms_.breaks.untold)
        run_.seen.push_back({.what = Seen::What::kLoss,
                             .at = now_,
                             .front = f.id,
                             .value = l->whole_fleet ? 1.0 : 0.0,
                             .why = l->lost_state});
    } else if (auto* s2 = std::get_if<StoreRejected>(&a)) {
      run_.seen.push_back(
          {.what = Seen::What::kCorrupted, .at = now_, .front = f.id, .why = s2->reason});
      f.believed = false;
      f.position = 0;
      f.version = 0;
      f.disk.bad = false;
      f.disk.log = f.disk.log && !f.disk.bad;
      f.disk.whose = f.id;
      f.disk.floors = {0, 0, f.incarnation, 0, 0};
      f.disk.position = 0;
      f.disk.claims = State::kEmpty;
      f.disk.witnessed.clear();
      f.current = false;
    }
  }
  if (said)
    Give(f, IncarnationAnnounced{f.incarnation});
}

// Who leads, what is committed, who owns. A member whose log is gone doesn't vote for itself.
void RecoverySim::GroupTurn() {
  Group& g = *group_;
  std::size_t n = static_cast<std::size_t>(terms_.group), most = n / 2 + 1;
  auto connected = [&](Front& of) {
    std::vector<Front*> out;
    for (std::size_t i = 0; i < n; ++i)
      if (reach(of, *fronts_[i]))
        out.push_back(fronts_[i].get());
    return out;
  };
  if (g.leader && connected(*g.leader).size() < most) {
    g.leader = nullptr;
    g.elect_at = -1;
  }
  if (!g.leader) {
    std::vector<Front*> there;
    for (std::size_t i = 0; i < n && there.size() < most; ++i)
      if (fronts_[i]->on)
        there = connected(*fronts_[i]);
    if (there.size() < most) {
      g.elect_at = g.waited = -1;
      return;
    }
    if (g.elect_at < 0) {
      g.elect_at = now_ + Between(300, 2500);
      g.waited = now_;
    }
    if (now_ < g.elect_at)
      return;
    std::size_t logs = 0;
    Front* best = nullptr;
    for (Front* f : there)
      if (f->disk.there && f->disk.log) {
        ++logs;
        if (!best || f->disk.log_offset > best->disk.log_offset)
          best = f;
      }
    if (logs >= most) {
      g.leader = best;
      g.open = true;
      g.token = best->disk.log_token;
      g.offset = best->disk.log_offset;
    } else {  // founded anew: only once all members are there or ten seconds brought no more, and a
              // majority of disks was asked
      if (there.size() < n && now_ - g.waited < 10000)
        return;
      Front* by = nullptr;
      for (Front* f : there)
        if (f->rec->MayReformGroup(now_))
          by = f;
      if (!by)
        return;
      g.leader = by;
      g.open = g.founded = true;
      g.founded_at = now_;
      g.token = g.offset = 0;
      for (Front* f : there)
        if (f->disk.log) {
          g.token = std::max(g.token, f->disk.log_token);
          g.offset = std::max(g.offset, f->disk.log_offset);
        }
      g.token = std::max(g.token, by->rec->minimums().token) + 1;
      g.offset = std::max(g.offset, by->rec->minimums().offset) + 1;
      run_.seen.push_back({.what = Seen::What::kCommitted,
                           .at = now_,
                           .front = by->id,
                           .number = g.offset,
                           .floor = known_offset_});
    }
    g.since = now_;
    g.write_at = now_;
  }
  // A floor learnt late: what the group hands out goes above it.
  if (g.leader->rec->MayReformGroup(now_)) {
    PersistedMinimums f = g.leader->rec->minimums();
    if (f.token > g.token)
      g.token = f.token + 1;
    if (f.offset > g.offset)
      g.offset = f.offset + 1;
  }
  if (now_ >= g.write_at) {
    g.write_at = now_ + 200;
    g.offset += 1 + static_cast<std::uint64_t>(Unit() * 3);
    run_.seen.push_back({.what = Seen::What::kCommitted,
                         .at = now_,
                         .front = g.leader->id,
                         .number = g.offset,
                         .floor = known_offset_});
  }
  // A lease for whoever asks first. What the leader's own clock saw of earlier ones it goes by;
  // what came before its start, by mayOwn.
  for (auto& f : fronts_) {
    if (!f->on || !reach(*f, *g.leader) || now_ < f->ask_at)
      continue;
    f->ask_at = now_ + Between(1000, 3000);
    bool may = f->rec->MayAcquireLeases(now_) && g.leader->rec->MayAcquireLeases(now_);
    if (terms_.breaks.lease)
      may = true;
    Ms over = 0, seen = 0;
    for (const Lease& l : g.leases) {
      over = std::max(over, l.over);
      if (l.at >= g.leader->start && l.at >= g.founded_at)
        seen = std::max(seen, l.over);
    }
    if (!may || now_ < seen)
      continue;
    ++g.token;
    run_.seen.push_back({.what = Seen::What::kGrant,
                         .at = now_,
                         .front = f->id,
                         .number = g.token,
                         .floor = known_token_,
                         .lease_over = over});
    g.leases = {{now_, now_ + terms_.each.lease_duration}};
    break;
  }
  for (Front* f : connected(*g.leader))
    if (f->disk.there) {
      f->disk.log = true;
      f->disk.log_token = g.token;
      f->disk.log_offset = g.offset;
    }
}

void RecoverySim::FrontTurn(Front& f) {
  Group& g = *group_;
  if (f.check_at > 0 && now_ >= f.check_at) {
    f.check_at = 0;
    StoreInspection s;
    if (!f.disk.there || f.disk.claims == State::kEmpty) {
      s.state = State::kEmpty;
      f.disk.there = true;
      f.disk.claims = State::kEmpty;
      f.disk.whose = f.id;
    } else {
      s.state = f.disk.claims;
      s.owner_id = f.disk.whose;
      s.minimums = f.disk.floors;
      s.witnessed_incarnations = f.disk.witnessed;
      f.position = f.disk.position;
      f.version = f.disk.floors.configuration_version;
    }
    Give(f, StoreChecked{s});
  }
  bool linked = g.leader && reach(f, *g.leader);
  if (linked && f.position < g.offset) {
    // compacted: what is missing comes in a second or so
    std::uint64_t by = std::max<std::uint64_t>(10, (g.offset - f.position) / 8);
    f.position = std::min(g.offset, f.position + by);
  }
  if (linked && f.position >= g.offset && !f.believed)
    f.current = true;
  // A bad disk that is still believed: what was caught up on its prefix is not current.
  bool discovery = now_ >= discovery_down_until_ && f.side == 0;
  if (f.version != kApproved || f.disk.floors.configuration_digest != kApprovedDigest) {
    if (f.fetched_at < 0 && discovery)
      f.fetched_at = now_ + Between(300, 2500);
    if (f.fetched_at >= 0 && now_ >= f.fetched_at) {
      f.version = kApproved;
      f.fetched_at = -1;
      if (f.disk.there) {
        f.disk.floors.configuration_version = kApproved;
        f.disk.floors.configuration_digest = kApprovedDigest;
      }
    }
  }
  if (now_ >= f.notified_at) {
    f.notified_at = now_ + 200;
    std::size_t members = 0;
    for (int i = 0; i < terms_.group; ++i)
      members += reach(f, *fronts_[static_cast<std::size_t>(i)]);
    bool lost = f.was_member && members < static_cast<std::size_t>(terms_.group / 2 + 1);
    if (linked)
      f.was_member = true;
    if (lost)
      f.was_member = f.current = false;
    if (lost)
      run_.seen.push_back({.what = Seen::What::kLost, .at = now_, .front = f.id});
    Give(f, GroupState{f.id <= static_cast<Id>(terms_.group), linked, linked && g.founded, lost,
                       linked ? g.token : 0});
    Give(f, RecordState{f.position, linked ? g.offset : 0, linked && f.position >= g.offset, now_,
                        true});
    Ms since = std::max(parents_since_, zone_since_[static_cast<std::size_t>(f.zone)]);
    std::optional<bool> cold;  // the list tells starts
    if (discovery)
      cold = now_ - since < terms_.parent_lasts;
    Give(f, UpstreamState{crowded_now_, cold});
    Give(f,
         ConfigurationState{true, discovery && f.version == kApproved, f.version, kApprovedDigest});
  } else {
    Act(f, f.rec->Handle(now_, Tick{}));
  }
  // Floors and witness go to the disk twice a second, once this front's own word is sure.
  if (now_ >= f.saved_at && f.disk.there && f.rec->phase() > Phase::kPeers && !f.believed) {
    f.saved_at = now_ + 500;
    if (linked && f.rec->phase() > Phase::kRecord) {
      f.disk.claims = State::kGood;
      f.disk.floors.token = std::max(f.disk.floors.token, g.token);
      f.disk.floors.offset = std::max(f.disk.floors.offset, g.offset);
      f.disk.position = f.position;
      f.disk.floors.incarnation = std::max(f.disk.floors.incarnation, f.incarnation);
    }
    for (auto& o : fronts_)
      if (o->id != f.id && reach(f, *o) && o->rec->phase() > Phase::kPeers) {
        std::uint64_t& w = f.disk.witnessed[o->id];
        w = std::max(w, o->incarnation);
      }
  }
}

void RecoverySim::BehindTurn() {
  double fronts = static_cast<double>(terms_.fronts), fills = 0, useful = 0;
  std::vector<double> by_zone(warm_.size(), 0.0);
  double straight = 0;
  for (auto& f : fronts_) {
    if (!f->on)
      continue;
    double kept = 1, never = 0.1;
    if (terms_.breaks.at_once && f->rec->phase() >= Phase::kAdmissionRamp &&
        !f->rec->IsCertainOnly())
      kept = 0.9;
    else if (f->any_admit && f->admit.by_request_class.empty())
      kept = 0.9;
    else {
      kept = never = 0;
      for (std::size_t i = 0; i < f->admit.by_request_class.size(); ++i)
        (terms_.each.certain_classes[i] ? never : kept) +=
            f->admit.by_request_class[i] * terms_.each.class_work[i];
    }
    by_zone[static_cast<std::size_t>(f->zone)] += kept;
    straight += never;
  }
  std::vector<double> fills_of(warm_.size());
  for (std::size_t z = 0; z < warm_.size(); ++z) {
    double miss = terms_.usual_miss + (1 - terms_.usual_miss) * (1 - warm_[z]);
    fills_of[z] = by_zone[z] * miss;
    fills += fills_of[z];
  }
  double warmth =
      std::min(1.0, terms_.parent_from +
                        (1 - terms_.parent_from) * (now_ - parents_since_) / terms_.parent_lasts);
  double capacity = terms_.spare * terms_.usual_miss * 0.9 * fronts * warmth,
         level = fills / capacity;
  double done =
      level <= 1 ? 1 : 1 / (level * level);  // pushed over, most fills come too late to be of use
  for (std::size_t z = 0; z < warm_.size(); ++z) {
    double zone_replicas = fronts / static_cast<double>(warm_.size());
    warm_[z] += (1 - warm_[z]) * std::min(1.0, fills_of[z] * done / zone_replicas * terms_.tick /
                                                   terms_.cache_holds);
    useful += by_zone[z] - fills_of[z] + fills_of[z] * done;
  }
  double office = straight + fills * std::min(1.0, level > 1 ? 1 / level : 1) *
                                 (0.3 + 0.7 * (1 - parents_warm_));
  parents_warm_ += (1 - parents_warm_) *
                   std::min(1.0, fills * done / fronts * terms_.tick / (2 * terms_.cache_holds));
  if (power_back_ < 0)
    run_.usual_office = office;
  else {
    if (now_ >= power_back_)
      run_.peak_parents = std::max(run_.peak_parents, level);
    run_.peak_office = std::max(run_.peak_office, office);
    if (run_.goodput95 < 0 && useful + straight >= 0.95 * fronts)
      run_.goodput95 = now_ - power_back_;
  }
  if (level > 1 || worst_ > 1)
    run_.seen.push_back({.what = Seen::What::kLevel, .at = now_, .value = level});
  worst_ = level;
  crowded_.push_back(level > 0.8);
  if (crowded_.size() > 3) {  // seen by the fronts 0.1 to 0.15 s later
    crowded_now_ = crowded_.front();
    crowded_.pop_front();
  }
}

// A minority of the disks go bad, each in its own way; the rest are sound.
void RecoverySim::Spoil(Fault) {
  std::size_t n = fronts_.size(),
              bad = static_cast<std::size_t>(Unit() * static_cast<double>((n - 1) / 2 + 1));
  std::vector<std::size_t> order(n);
  for (std::size_t i = 0; i < n; ++i)
    order[i] = i;
  for (std::size_t i = n - 1; i > 0; --i)
    std::swap(order[i], order[static_cast<std::size_t>(Unit() * static_cast<double>(i + 1))]);
  auto say = [&](Front& f, const char* what) {
    run_.faults.push_back("store of " + std::to_string(f.id) + " " + what);
  };
  for (std::size_t k = 0; k < bad; ++k) {
    Front& f = *fronts_[order[k]];
    switch (static_cast<int>(Unit() * 6)) {
      case 0:
        f.disk.there = f.disk.log = false;
        say(f, "lost");
        break;
      case 1:
        f.disk.claims = State::kIncomplete;
        f.disk.position /= 2;
        f.disk.log = false;
        say(f, "torn");
        break;
      case 2:  // flipped where the digest shows it
        f.disk.claims = State::kIncomplete;
        f.disk.floors = {0, 0, f.disk.floors.incarnation, 0, 0};
        f.disk.position = 0;
        f.disk.log = false;
        say(f, "flipped, found by its digest");
        break;
      case 3:
        f.disk.floors.token += std::uint64_t{1} << 40;
        f.disk.bad = true;
        f.disk.log = false;
        say(f, "flipped in its floor");
        break;
      case 4:
        f.disk.floors = {f.disk.floors.token - 400, f.disk.floors.offset - 80000,
                         f.disk.floors.incarnation - 500, kApprovedDigest, kApproved};
        f.disk.position -= 80000;
        f.disk.bad = true;
        f.disk.log = false;
        for (auto& [id, w] : f.disk.witnessed)
          w -= 500;
        say(f, "from a week ago");
        break;
      case 5:
        if (k + 1 < bad) {
          Front& o = *fronts_[order[++k]];
          std::swap(f.disk, o.disk);
          f.disk.bad = o.disk.bad = true;
          f.disk.log = o.disk.log = false;
          say(f, "swapped with the next's");
          say(o, "swapped");
        }
        break;
    }
  }
}

RecoveryRun RecoverySim::Run(Fault fault) {
  std::size_t n = fronts_.size();
  // A fleet in service for long: each Recovery goes through its phases before what is judged
  // begins.
  for (auto& f : fronts_)
    Up(*f);
  Ms begin = -1;
  struct Deed {
    Ms at;
    int what;  // 0 off, 1 on, 2 cut, 3 heal, 4 spoil
    std::size_t front;
  };
  std::vector<Deed> deeds;
  auto plan = [&] {
    run_.seen.clear();
    run_.faults.clear();
    Ms t = now_ + Between(0, 3000);
    auto off = [&](std::size_t i, Ms at) {
      deeds.push_back({at, 0, i});
    };
    auto on = [&](std::size_t i, Ms at) {
      deeds.push_back({at, 1, i});
      run_.faults_over = std::max(run_.faults_over, at);
    };
    Ms gap = Between(500, 8000),
       jitter = fault == Fault::kStaggered || (fault == Fault::kMixed && Unit() < 0.5)
                    ? 60000
                    : Between(0, 2000);
    bool whole = true;
    int zone = static_cast<int>(Unit() * terms_.zones);
    std::size_t spared = static_cast<std::size_t>(Unit() * static_cast<double>(n));
    if (fault == Fault::kAlone) {
      off(spared, t);
      on(spared, t + gap);
      whole = false;
    } else {
      for (std::size_t i = 0; i < n; ++i) {
        if (fault == Fault::kZone && fronts_[i]->zone != zone)
          continue;
        if (fault == Fault::kAllButOne && i == spared)
          continue;
        off(i, t);
        // Adverse: those of the group last.
        double place = Unit();
        if (fault == Fault::kStaggered)
          place = static_cast<double>(n - i - 1) / static_cast<double>(n) +
                  0.1 * Unit() / static_cast<double>(n);
        on(i, t + gap + place * jitter);
      }
      whole = fault != Fault::kZone;
    }
    if (fault == Fault::kAgain || (fault == Fault::kMixed && Unit() < 0.3)) {
      Ms at = run_.faults_over;
      for (int k = 0; k < 2; ++k) {
        at += Between(500, 30000);
        Ms back = at + Between(500, 5000);
        for (std::size_t i = 0; i < n; ++i) {
          off(i, at);
          on(i, back + Between(0, 2000));
        }
        at = run_.faults_over;
      }
    }
    if (fault == Fault::kStores || fault == Fault::kMixed ||
        (Unit() < 0.3 && fault != Fault::kAlone && fault != Fault::kZone &&
         fault != Fault::kAllButOne))
      deeds.push_back({t + 100, 4, 0});
    if (fault == Fault::kAllStores) {
      deeds.push_back({t + 100, 5, 0});
      run_.all_stores_lost = true;
    }
    if (fault == Fault::kClocks || (fault == Fault::kMixed && Unit() < 0.3))
      deeds.push_back({t + 100, 6, 0});
    if (fault == Fault::kDiscovery || (fault == Fault::kMixed && Unit() < 0.3)) {
      discovery_down_until_ = t + gap + Between(10000, 60000);
      run_.faults_over = std::max(run_.faults_over, discovery_down_until_);
      run_.faults.push_back("board down");
    }
    if (fault == Fault::kPartition || (fault == Fault::kMixed && Unit() < 0.3)) {
      Ms from = t + gap + Between(0, 5000), to = from + Between(5000, 60000);
      deeds.push_back({from, 2, 0});
      deeds.push_back({to, 3, 0});
      run_.faults_over = std::max(run_.faults_over, to);
    }
    run_.whole_loss = whole;
    power_back_ = t + gap;
    std::stable_sort(deeds.begin(), deeds.end(),
                     [](const Deed& a, const Deed& b) { return a.at < b.at; });
  };
  std::size_t next = 0;
  while (now_ < terms_.longest) {
    now_ += terms_.tick;
    bool all_whole = std::all_of(fronts_.begin(), fronts_.end(), [](auto& f) {
      return f->on && f->rec->phase() == Phase::kComplete;
    });
    if (begin < 0 && all_whole) {
      // In service for over a minute: nobody is young any more.
      begin = std::max(now_, terms_.each.restart_window + 1000);
    }
    if (begin >= 0 && now_ >= begin && deeds.empty()) {
      power_back_ = -1;
      plan();
    }
    for (; next < deeds.size() && deeds[next].at <= now_; ++next) {
      Deed d = deeds[next];
      Front& f = *fronts_[d.front];
      if (d.what == 0 && f.on) {
        // What a majority's disks know as the power goes.
        std::vector<std::uint64_t> tokens, offsets;
        for (auto& o : fronts_) {
          bool ok = o->disk.there && !o->disk.bad &&
                    (o->disk.claims == State::kGood || o->disk.claims == State::kIncomplete);
          tokens.push_back(ok ? o->disk.floors.token : 0);
          offsets.push_back(ok ? o->disk.floors.offset : 0);
        }
        std::sort(tokens.rbegin(), tokens.rend());
        std::sort(offsets.rbegin(), offsets.rend());
        known_token_ = tokens[n / 2];
        known_offset_ = offsets[n / 2];
        Down(f);
        if (run_.whole_loss) {
          parents_since_ = power_back_;
          parents_warm_ = 0;
          for (double& w : warm_)
            w = 0;
          for (Ms& s : zone_since_)
            s = power_back_;
        } else if (fault == Fault::kZone) {
          warm_[static_cast<std::size_t>(f.zone)] = 0;
          zone_since_[static_cast<std::size_t>(f.zone)] = power_back_;
        }
      }
      if (d.what == 1 && !f.on)
        Up(f);
      if (d.what == 2)
        for (auto& o : fronts_)
          o->side = Unit() < 0.4 ? 1 : 0;
      if (d.what == 3)
        for (auto& o : fronts_)
          o->side = 0;
      if (d.what == 4)
        Spoil(fault);
      if (d.what == 5)
        for (auto& o : fronts_) {
          o->disk = Disk{};
          o->disk.there = false;
          o->disk.whose = o->id;
        }
      if (d.what == 6)
        for (auto& o : fronts_)
          o->clock_set = Between(0, kWeek);
      if (d.what >= 4) {  // what the sound disks that are left know
        std::vector<std::uint64_t> tokens, offsets;
        for (auto& o : fronts_) {
          bool ok = o->disk.there && !o->disk.bad;
          tokens.push_back(ok ? o->disk.floors.token : 0);
          offsets.push_back(ok ? o->disk.floors.offset : 0);
        }
        std::sort(tokens.rbegin(), tokens.rend());
        std::sort(offsets.rbegin(), offsets.rend());
        known_token_ = tokens[n / 2];
        known_offset_ = offsets[n / 2];
      }
    }
    std::vector<Flight> arrived = std::move(flights_.front());
    flights_.pop_front();
    flights_.emplace_back();
    for (Flight& x : arrived) {
      Front &to = *fronts_[x.to - 1], &from = *fronts_[x.from - 1];
      if (!to.on || to.side != from.side)
        continue;
      if (!terms_.bytes)
        Give(to, HelloReceived{x.from, x.hello});
      else if (auto h = Decode(x.bytes))
        Give(to, HelloReceived{x.from, *h});
    }
    GroupTurn();
    for (auto& f : fronts_)
      if (f->on)
        FrontTurn(*f);
    BehindTurn();
    bool done = !deeds.empty() && next >= deeds.size() && now_ > run_.faults_over && all_whole;
    if (done) {
      if (!run_.all_whole) {
        run_.all_whole = true;
        run_.end = now_;
      }
      if (late_stopped || run_.goodput95 >= 0)
        break;
    }
    if (!deeds.empty() && next >= deeds.size() &&
        now_ > run_.faults_over + recovery::MaxRecoveryTime(terms_.each) + 60000)
      break;
  }
  if (!run_.all_whole)
    run_.end = now_;
  return std::move(run_);
}

}  // namespace dunlinwick::rig
