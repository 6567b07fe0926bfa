#include "rig/driftsim.hpp"

#include <algorithm>

#include "rig/drift_judge.hpp"

namespace dunlinwick::rig {

using namespace drift;

const char* ToString(DriftFlaw flaw) {
  static const char* const kWords[] = {
      "none",          "digest of the file",     "whole zone at once", "one front alone",
      "no hysteresis", "stale owner not fenced", "converging for ever"};
  return kWords[static_cast<std::size_t>(flaw)];
}

struct DriftSim::Front {
  Id id = 0;
  int zone = 0;
  std::unique_ptr<Drift> machine;
  std::uint64_t life = 0;
  std::uint32_t incarnation = 1;
  CanonicalConfiguration memory;
  CanonicalConfiguration file;
  bool paused = false;
  bool taking = false;
  bool drifted = false;  // astray: what it takes for approved is not the record's
  Ms down_since = -1;
  Ms unix_at_zero = 1.7e12;
  Token floor = 0;
  Token heard = 0;
  Token last_repair = 0;
  Version notified = 0;
  std::uint64_t memory_of = 0;
};

FieldImpactMap DriftSim::classes() {
  return {{"offerings.effect", FieldImpact::kInvariant},
          {"offerings.memory", FieldImpact::kInvariant},
          {"build.*", FieldImpact::kNone}};
}

DriftSim::DriftSim(DriftSimTerms terms, std::uint64_t seed)
    : t_(std::move(terms)),
      random_(static_cast<std::uint32_t>(seed * 2654435761u + 17)),
      judge_(std::make_unique<DriftJudge>(*this)) {
  t_.terms.fronts = t_.fronts;
  honest_ = t_.terms;
  if (t_.flaw == DriftFlaw::kWholeZone) {
    t_.terms.max_concurrent_repairs = 1000;
    t_.terms.min_serving_share = 0;
  }
  if (t_.flaw == DriftFlaw::kOneFrontAlone)
    t_.terms.quorum = 1;
  if (t_.flaw == DriftFlaw::kNoHysteresis)
    t_.terms.stable_rounds = 1;
  if (t_.flaw == DriftFlaw::kConvergingForever)
    t_.terms.max_convergence_time = 1e15;
  for (std::size_t i = 0; i < t_.fronts; ++i) {
    Id id = static_cast<Id>(i + 1);
    ids_.push_back(id);
    auto f = std::make_unique<Front>();
    f->id = id;
    f->zone = static_cast<int>(i) % t_.zones;
    fronts_[id] = std::move(f);
  }
}
DriftSim::~DriftSim() = default;

Ms DriftSim::Chance(Ms least, Ms most) {
  return std::uniform_real_distribution<double>(least, most)(random_);
}
void DriftSim::Later(Ms in, std::function<void()> what) {
  queue_.push({now_ + in, ++order_, std::move(what)});
}

void DriftSim::Start(Id id) {
  Front& f = *fronts_.at(id);
  std::map<Id, int> zones;
  for (const auto& [k, v] : fronts_)
    zones[k] = v->zone;
  ++f.life;
  f.machine = std::make_unique<Drift>(id, zones, classes(), t_.terms, random_(), now_,
                                      Drift::PersistedMinimums{f.incarnation++, f.floor});
  f.notified = 0;
  f.drifted = false;
  event(id, ActiveConfigurationChanged{t_.flaw == DriftFlaw::kFileNotMemory ? f.file : f.memory});
  Later(Chance(5, 300), [this, id] { TellRecord(id); });
  std::uint64_t life = f.life;
  Later(Chance(0, 20), [this, id, life] {
    if (fronts_.at(id)->life == life)
      TickFront(id);
  });
}

void DriftSim::TickFront(Id id) {
  Front& f = *fronts_.at(id);
  if (!f.paused && !f.taking)
    event(id, Tick{});
  std::uint64_t life = f.life;
  Ms in = std::max(10.0, f.machine->WakeAt() - now_);
  if (f.paused || f.taking)
    in = 20;
  Later(in, [this, id, life] {
    if (fronts_.at(id)->life == life)
      TickFront(id);
  });
}

void DriftSim::RunUntil(Ms until) {
  if (now_ == 0 && order_ == 0) {
    for (Id id : ids_) {
      if (fronts_.at(id)->memory.empty())
        fronts_.at(id)->memory = fronts_.at(id)->file = Wanted(id);
      Start(id);
    }
    if (t_.owners)
      Give(ids_[random_() % ids_.size()]);
    auto judging = [this](auto self) -> void {
      judge_->step();
      Later(50, [this, self] { self(self); });
    };
    judging(judging);
    // The record is asked again each second by whoever lacks something; another owner comes a lease
    // after one was lost.
    auto caring = [this](auto self, Ms lost_since) -> void {
      for (Id id : ids_) {
        Front& f = *fronts_.at(id);
        if (f.notified < offset_)
          Later(Chance(10, 400), [this, id] { TellRecord(id); });
      }
      if (t_.owners && auto_owner) {
        bool there = owner_ != 0 && !fronts_.at(owner_)->paused && side_.count(owner_) == 0 &&
                     !at(owner_).ejected(owner_) && !fronts_.at(owner_)->drifted;
        if (there)
          lost_since = -1;
        else if (lost_since < 0)
          lost_since = now_;
        if (lost_since >= 0 && now_ - lost_since >= 3000) {
          std::vector<Id> can;
          for (Id id : ids_) {
            bool ejected = false;
            for (Id by : ids_)
              ejected |= Reachable(by) && at(by).ejected(id);
            if (Reachable(id) && !ejected && !fronts_.at(id)->drifted)
              can.push_back(id);
          }
          if (!can.empty()) {
            Give(can[random_() % can.size()]);
            lost_since = -1;
          }
        }
      }
      Later(1000, [this, self, lost_since] { self(self, lost_since); });
    };
    caring(caring, -1);
  }
  while (!queue_.empty() && queue_.top().at <= until) {
    Happens h = queue_.top();
    queue_.pop();
    now_ = h.at;
    h.what();
  }
  now_ = until;
}

void DriftSim::event(Id id, const Event& e) {
  Front& f = *fronts_.at(id);
  Carry(id, f.machine->Handle(now_, e));
}

void DriftSim::Carry(Id from, std::vector<Action> actions) {
  Front& f = *fronts_.at(from);
  f.floor = std::max(f.floor, f.machine->token());
  for (Action& a : actions) {
    if (auto* t = std::get_if<SendActiveReport>(&a))
      Deliver(from, t->to, std::move(t->report));
    if (auto* r = std::get_if<Repair>(&a)) {
      judge_->Asks(from, *r);
      DeliverRepair(from, r->front, *r);
    }
    if (auto* x = std::get_if<StatusChanged>(&a))
      judge_->RecordFinding(from, *x);
    if (auto* u = std::get_if<ApplyApproval>(&a)) {
      if (f.taking)
        continue;
      f.taking = true;
      f.down_since = now_;
      ++take_ups_;
      judge_->TakesUp(from, t_.flaw == DriftFlaw::kStaleNotFenced ? f.last_repair : u->token,
                      f.heard);
      std::uint64_t life = f.life, of = f.memory_of;
      Later(Chance(300, 1500), [this, from, life, of, form = u->configuration] {
        Front& g = *fronts_.at(from);
        if (g.life != life || !g.taking)
          return;
        g.taking = false;
        if (!g.paused)
          g.down_since = -1;
        if (g.memory_of == of)
          g.memory = g.file = form;  // else a hand was quicker
        if (g.paused)
          return;
        event(from,
              ActiveConfigurationChanged{t_.flaw == DriftFlaw::kFileNotMemory ? g.file : g.memory});
        if (on_take_up)
          on_take_up(from, g.memory);
      });
    }
  }
}

bool DriftSim::Linked(Id a, Id b) const {
  return side_.count(a) == side_.count(b);
}

void DriftSim::Deliver(Id from, Id to, ActiveReport notified) {
  ++datagrams_;
  if (t_.via_bytes) {
    std::string b = Encode(notified);
    bytes_ += b.size();
    auto back = DecodeActiveReport(b);
    if (!back) {
      judge_->faults.push_back("a word that can't be read back");
      return;
    }
    notified = std::move(*back);
  }
  if (Chance(0, 1) < t_.loss)
    return;
  Later(Chance(t_.delay_least, t_.delay_most), [this, from, to, notified = std::move(notified)] {
    Front& g = *fronts_.at(to);
    if (!Linked(from, to) || g.paused || g.taking)
      return;
    g.heard = std::max(g.heard, notified.token);
    event(to, ReportReceived{from, notified});
  });
}

void DriftSim::DeliverRepair(Id from, Id to, Repair r) {
  ++datagrams_;
  if (from != to && Chance(0, 1) < t_.loss)
    return;
  Later(from == to               ? 0
        : Chance(0, 1) < t_.late ? Chance(2000, 8000)
                                 : Chance(t_.delay_least, t_.delay_most),
        [this, from, to, r] {
          Front& g = *fronts_.at(to);
          if (!Linked(from, to) || g.paused || g.taking)
            return;
          Repair as = r;
          g.last_repair = r.token;
          if (t_.flaw == DriftFlaw::kStaleNotFenced)
            as.token = std::max(as.token, g.machine->token());
          Carry(to, g.machine->HandleRepair(now_, from, as));
          g.heard = std::max(g.heard, r.token);
        });
}

std::string DriftSim::KeyOf(Id id) const {
  for (const std::string& key : {"front/" + std::to_string(id), "zone/" + std::to_string(Zone(id))})
    if (record_.count(key) != 0)
      return key;
  return "fleet";
}

CanonicalConfiguration DriftSim::Wanted(Id id) const {
  auto it = record_.find(KeyOf(id));
  return it == record_.end() ? CanonicalConfiguration{} : it->second.approval.configuration;
}
Version DriftSim::WantedVersion(Id id) const {
  auto it = record_.find(KeyOf(id));
  return it == record_.end() ? 0 : it->second.version;
}
Ms DriftSim::TermEnds(Id id) const {
  auto it = record_.find(KeyOf(id));
  if (it == record_.end())
    return 0;
  drift::DriftSettings h = Honest();
  bool wrong = std::any_of(ids_.begin(), ids_.end(),
                           [&](Id x) { return fronts_.at(x)->unix_at_zero != 1.7e12; });
  Ms term = wrong ? h.max_convergence_time
                  : std::clamp(it->second.approval.apply_deadline - 1.7e12 - it->second.at,
                               h.min_convergence_time, h.max_convergence_time);
  return it->second.at + term + t_.record_most + 1400;
}

Version DriftSim::Approve(const std::string& key, CanonicalConfiguration form, Ms hold_for) {
  offset_ += 10;
  record_[key] = {offset_,
                  {"ops", "", record_.count(key) != 0 ? record_[key].version : 0,
                   1.7e12 + now_ + hold_for, std::move(form)},
                  now_};
  if (order_ != 0)
    for (Id id : ids_)
      Later(Chance(20, t_.record_most), [this, id] { TellRecord(id); });
  return offset_;
}

void DriftSim::TellRecord(Id id) {
  Front& f = *fronts_.at(id);
  if (f.paused || f.taking || side_.count(id) != 0 || f.notified >= offset_)
    return;
  f.notified = offset_;
  auto own = record_.find(KeyOf(id));
  for (Id of : ids_) {
    auto it = record_.find(KeyOf(of));
    if (it == record_.end())
      continue;
    event(id,
          FrontApprovalUpdated{
              of, it->second.version, Digest(it->second.approval.configuration),
              it->second.approval.apply_deadline, f.unix_at_zero + now_,
              std::make_shared<const CanonicalConfiguration>(it->second.approval.configuration)});
  }
  if (own != record_.end()) {
    event(id, ApprovalUpdated{own->second.version, own->second.approval});
    if (f.drifted)
      judge_->kind(id, DriftStatus::kDrifted);  // its record is right again; its memory may not be
    f.drifted = false;
  }
}

void DriftSim::ByHand(Id id, CanonicalConfiguration form, bool file) {
  Front& f = *fronts_.at(id);
  f.memory = std::move(form);
  ++f.memory_of;
  if (file)
    f.file = f.memory;
  if (!f.paused && f.machine)
    event(id, ActiveConfigurationChanged{t_.flaw == DriftFlaw::kFileNotMemory ? f.file : f.memory});
}
void DriftSim::Blip(Id id, Ms lasts) {
  CanonicalConfiguration was = memory(id), other = was;
  other["sheet"]["blip"] = "1";
  ByHand(id, other);
  std::uint64_t of = fronts_.at(id)->memory_of;
  Later(lasts, [this, id, was, of] {
    if (fronts_.at(id)->memory_of == of)
      ByHand(id, was);
  });
}
void DriftSim::Claim(Id id, Version version, CanonicalConfiguration form) {
  Front& f = *fronts_.at(id);
  f.drifted = true;
  judge_->kind(id, DriftStatus::kUnapproved);
  event(id, ApprovalUpdated{version, Approval{"nobody", "", 0, 0, form}});
  ByHand(id, std::move(form), true);
}
void DriftSim::Fork(Id id, CanonicalConfiguration form) {
  Front& f = *fronts_.at(id);
  if (f.drifted)
    return;
  f.drifted = true;
  judge_->kind(id, DriftStatus::kForked);
  event(id, ApprovalUpdated{WantedVersion(id), Approval{"ops", "", 0, 0, form}});
  // What it has for the others is as wrong.
  for (Id of : ids_)
    event(id, FrontApprovalUpdated{of, WantedVersion(of), Digest(form), 0, 0,
                                   std::make_shared<const CanonicalConfiguration>(form)});
  ByHand(id, std::move(form), true);
}
void DriftSim::Cut(const std::set<Id>& side, bool on) {
  for (Id id : side)
    judge_->Disturbed(id);
  side_ = on ? side : std::set<Id>{};
}
void DriftSim::Pause(Id id, bool on) {
  Front& f = *fronts_.at(id);
  judge_->Disturbed(id);
  f.paused = on;
  if (on && f.down_since < 0)
    f.down_since = now_;
  if (!on && !f.taking) {
    f.down_since = -1;
    event(id, ActiveConfigurationChanged{t_.flaw == DriftFlaw::kFileNotMemory ? f.file : f.memory});
  }
}
void DriftSim::Restart(Id id, bool keeps_form) {
  Front& f = *fronts_.at(id);
  judge_->Disturbed(id);
  judge_->StrictKinds(false);
  f.taking = f.paused = false;
  f.down_since = -1;
  if (!keeps_form)
    f.memory = f.file;
  if (owner_ == id)
    owner_ = 0;
  ++f.memory_of;
  Start(id);
}
void DriftSim::SetClock(Id id, Ms unix_at_zero) {
  fronts_.at(id)->unix_at_zero = unix_at_zero;
}
void DriftSim::Give(Id id) {
  if (owner_ != 0 && owner_ != id && Reachable(owner_))
    event(owner_, LeaseUpdated{0});
  owner_ = id;
  ++token_;
  fronts_.at(id)->heard = std::max(fronts_.at(id)->heard, token_);
  event(id, LeaseUpdated{token_});
}
void DriftSim::OwnerDies() {
  if (owner_ != 0)
    Pause(owner_, true);
}
void DriftSim::requests(Id id, double a, double d) {
  event(id, RequestShares{a, d});
}

int DriftSim::Zone(Id id) const {
  return fronts_.at(id)->zone;
}
const Drift& DriftSim::at(Id id) const {
  return *fronts_.at(id)->machine;
}
const CanonicalConfiguration& DriftSim::memory(Id id) const {
  return fronts_.at(id)->memory;
}
bool DriftSim::Up(Id id) const {
  return !fronts_.at(id)->paused && !fronts_.at(id)->taking;
}
bool DriftSim::Reachable(Id id) const {
  return Up(id) && side_.count(id) == 0;
}
bool DriftSim::TakingUp(Id id) const {
  return fronts_.at(id)->taking;
}
Ms DriftSim::DownSince(Id id) const {
  return fronts_.at(id)->down_since;
}
bool DriftSim::TruthBad(Id id) const {
  const Front& f = *fronts_.at(id);
  return f.drifted || !FindDifferences(f.memory, Wanted(id), {}).empty();
}
std::size_t DriftSim::Drifted() const {
  std::size_t n = 0;
  for (const auto& [id, f] : fronts_)
    n += f->drifted;
  return n;
}
bool DriftSim::RuleDiffers(Id id) const {
  for (const Difference& d : FindDifferences(memory(id), Wanted(id), classes()))
    if (d.impact == FieldImpact::kInvariant)
      return true;
  return false;
}

}  // namespace dunlinwick::rig
