#include "rig/driftsim.hpp"

#include <algorithm>

#include "rig/drift_judge.hpp"

namespace dunlinwick::rig {

using namespace drift;

const char* word(DriftFlaw flaw) {
  static const char* const words[] = {"none", "digest of the file", "whole zone at once", "one front alone", "no hysteresis", "stale owner not fenced",
                                      "converging for ever"};
  return words[static_cast<std::size_t>(flaw)];
}

struct DriftSim::Front {
  Id id = 0;
  int zone = 0;
  std::unique_ptr<Drift> machine;
  std::uint64_t life = 0;
  std::uint32_t incarnation = 1;
  Form memory, file;
  bool paused = false, taking = false, astray = false;  // astray: what it takes for approved is not the record's
  Ms downSince = -1, unixAtZero = 1.7e12;
  Token floor = 0, heard = 0, lastRepair = 0;
  Version told = 0;
  std::uint64_t memoryOf = 0;
};

Classes DriftSim::classes() { return {{"offerings.effect", Breaks::rule}, {"offerings.memory", Breaks::rule}, {"build.*", Breaks::nothing}}; }

DriftSim::DriftSim(DriftSimTerms terms, std::uint64_t seed)
    : t_(std::move(terms)), random_(static_cast<std::uint32_t>(seed * 2654435761u + 17)), judge_(std::make_unique<DriftJudge>(*this)) {
  t_.terms.fronts = t_.fronts;
  honest_ = t_.terms;
  if (t_.flaw == DriftFlaw::wholeZone) t_.terms.atOnce = 1000, t_.terms.leastServing = 0;
  if (t_.flaw == DriftFlaw::oneFrontAlone) t_.terms.quorum = 1;
  if (t_.flaw == DriftFlaw::noHysteresis) t_.terms.steady = 1;
  if (t_.flaw == DriftFlaw::convergingForever) t_.terms.termMost = 1e15;
  for (std::size_t i = 0; i < t_.fronts; ++i) {
    Id id = static_cast<Id>(i + 1);
    ids_.push_back(id);
    auto f = std::make_unique<Front>();
    f->id = id, f->zone = static_cast<int>(i) % t_.zones;
    fronts_[id] = std::move(f);
  }
}
DriftSim::~DriftSim() = default;

Ms DriftSim::chance(Ms least, Ms most) { return std::uniform_real_distribution<double>(least, most)(random_); }
void DriftSim::later(Ms in, std::function<void()> what) { queue_.push({now_ + in, ++order_, std::move(what)}); }

void DriftSim::start(Id id) {
  Front& f = *fronts_.at(id);
  std::map<Id, int> zones;
  for (const auto& [k, v] : fronts_) zones[k] = v->zone;
  ++f.life;
  f.machine = std::make_unique<Drift>(id, zones, classes(), t_.terms, random_(), now_, Drift::Floors{f.incarnation++, f.floor});
  f.told = 0, f.astray = false;
  event(id, Active{t_.flaw == DriftFlaw::fileNotMemory ? f.file : f.memory});
  later(chance(5, 300), [this, id] { tellRecord(id); });
  std::uint64_t life = f.life;
  later(chance(0, 20), [this, id, life] { if (fronts_.at(id)->life == life) tick(id); });
}

void DriftSim::tick(Id id) {
  Front& f = *fronts_.at(id);
  if (!f.paused && !f.taking) event(id, Tick{});
  std::uint64_t life = f.life;
  Ms in = std::max(10.0, f.machine->wakeAt() - now_);
  if (f.paused || f.taking) in = 20;
  later(in, [this, id, life] { if (fronts_.at(id)->life == life) tick(id); });
}

void DriftSim::runUntil(Ms until) {
  if (now_ == 0 && order_ == 0) {
    for (Id id : ids_) {
      if (fronts_.at(id)->memory.empty()) fronts_.at(id)->memory = fronts_.at(id)->file = wanted(id);
      start(id);
    }
    if (t_.owners) give(ids_[random_() % ids_.size()]);
    auto judging = [this](auto self) -> void {
      judge_->step();
      later(50, [this, self] { self(self); });
    };
    judging(judging);
    // The record is asked again each second by whoever lacks something; another owner comes a lease after one was lost.
    auto caring = [this](auto self, Ms lostSince) -> void {
      for (Id id : ids_) {
        Front& f = *fronts_.at(id);
        if (f.told < offset_) later(chance(10, 400), [this, id] { tellRecord(id); });
      }
      if (t_.owners && autoOwner) {
        bool there = owner_ != 0 && !fronts_.at(owner_)->paused && side_.count(owner_) == 0 && !at(owner_).aside(owner_) && !fronts_.at(owner_)->astray;
        if (there) lostSince = -1;
        else if (lostSince < 0) lostSince = now_;
        if (lostSince >= 0 && now_ - lostSince >= 3000) {
          std::vector<Id> can;
          for (Id id : ids_) {
            bool aside = false;
            for (Id by : ids_) aside |= reachable(by) && at(by).aside(id);
            if (reachable(id) && !aside && !fronts_.at(id)->astray) can.push_back(id);
          }
          if (!can.empty()) give(can[random_() % can.size()]), lostSince = -1;
        }
      }
      later(1000, [this, self, lostSince] { self(self, lostSince); });
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
  carry(id, f.machine->handle(now_, e));
}

void DriftSim::carry(Id from, std::vector<Action> actions) {
  Front& f = *fronts_.at(from);
  f.floor = std::max(f.floor, f.machine->token());
  for (Action& a : actions) {
    if (auto* t = std::get_if<Tell>(&a)) deliver(from, t->to, std::move(t->told));
    if (auto* r = std::get_if<Repair>(&a)) judge_->asks(from, *r), deliverRepair(from, r->front, *r);
    if (auto* x = std::get_if<Found>(&a)) judge_->found(from, *x);
    if (auto* u = std::get_if<TakeUp>(&a)) {
      if (f.taking) continue;
      f.taking = true, f.downSince = now_, ++takeUps_;
      judge_->takesUp(from, t_.flaw == DriftFlaw::staleNotFenced ? f.lastRepair : u->token, f.heard);
      std::uint64_t life = f.life, of = f.memoryOf;
      later(chance(300, 1500), [this, from, life, of, form = u->form] {
        Front& g = *fronts_.at(from);
        if (g.life != life || !g.taking) return;
        g.taking = false;
        if (!g.paused) g.downSince = -1;
        if (g.memoryOf == of) g.memory = g.file = form;  // else a hand was quicker
        if (g.paused) return;
        event(from, Active{t_.flaw == DriftFlaw::fileNotMemory ? g.file : g.memory});
        if (onTakeUp) onTakeUp(from, g.memory);
      });
    }
  }
}

bool DriftSim::linked(Id a, Id b) const { return side_.count(a) == side_.count(b); }

void DriftSim::deliver(Id from, Id to, Told told) {
  ++datagrams_;
  if (t_.viaBytes) {
    std::string b = encode(told);
    bytes_ += b.size();
    auto back = decodeTold(b);
    if (!back) {
      judge_->faults.push_back("a word that can't be read back");
      return;
    }
    told = std::move(*back);
  }
  if (chance(0, 1) < t_.loss) return;
  later(chance(t_.delayLeast, t_.delayMost), [this, from, to, told = std::move(told)] {
    Front& g = *fronts_.at(to);
    if (!linked(from, to) || g.paused || g.taking) return;
    g.heard = std::max(g.heard, told.token);
    event(to, Hears{from, told});
  });
}

void DriftSim::deliverRepair(Id from, Id to, Repair r) {
  ++datagrams_;
  if (from != to && chance(0, 1) < t_.loss) return;
  later(from == to ? 0 : chance(0, 1) < t_.late ? chance(2000, 8000) : chance(t_.delayLeast, t_.delayMost), [this, from, to, r] {
    Front& g = *fronts_.at(to);
    if (!linked(from, to) || g.paused || g.taking) return;
    Repair as = r;
    g.lastRepair = r.token;
    if (t_.flaw == DriftFlaw::staleNotFenced) as.token = std::max(as.token, g.machine->token());
    carry(to, g.machine->repairAsked(now_, from, as));
    g.heard = std::max(g.heard, r.token);
  });
}

std::string DriftSim::keyOf(Id id) const {
  for (const std::string& key : {"front/" + std::to_string(id), "zone/" + std::to_string(zone(id))})
    if (record_.count(key) != 0) return key;
  return "fleet";
}

Form DriftSim::wanted(Id id) const {
  auto it = record_.find(keyOf(id));
  return it == record_.end() ? Form{} : it->second.approval.form;
}
Version DriftSim::wantedVersion(Id id) const {
  auto it = record_.find(keyOf(id));
  return it == record_.end() ? 0 : it->second.version;
}
Ms DriftSim::termEnds(Id id) const {
  auto it = record_.find(keyOf(id));
  if (it == record_.end()) return 0;
  drift::Terms h = honest();
  bool wrong = std::any_of(ids_.begin(), ids_.end(), [&](Id x) { return fronts_.at(x)->unixAtZero != 1.7e12; });
  Ms term = wrong ? h.termMost : std::clamp(it->second.approval.holdBy - 1.7e12 - it->second.at, h.termLeast, h.termMost);
  return it->second.at + term + t_.recordMost + 1400;
}

Version DriftSim::approve(const std::string& key, Form form, Ms holdFor) {
  offset_ += 10;
  record_[key] = {offset_, {"ops", "", record_.count(key) != 0 ? record_[key].version : 0, 1.7e12 + now_ + holdFor, std::move(form)}, now_};
  if (order_ != 0)
    for (Id id : ids_) later(chance(20, t_.recordMost), [this, id] { tellRecord(id); });
  return offset_;
}

void DriftSim::tellRecord(Id id) {
  Front& f = *fronts_.at(id);
  if (f.paused || f.taking || side_.count(id) != 0 || f.told >= offset_) return;
  f.told = offset_;
  auto own = record_.find(keyOf(id));
  for (Id of : ids_) {
    auto it = record_.find(keyOf(of));
    if (it == record_.end()) continue;
    event(id, ApprovedFor{of, it->second.version, digest(it->second.approval.form), it->second.approval.holdBy, f.unixAtZero + now_,
                          std::make_shared<const Form>(it->second.approval.form)});
  }
  if (own != record_.end()) {
    event(id, Approved{own->second.version, own->second.approval});
    if (f.astray) judge_->kind(id, Standing::drifted);  // its record is right again; its memory may not be
    f.astray = false;
  }
}

void DriftSim::byHand(Id id, Form form, bool file) {
  Front& f = *fronts_.at(id);
  f.memory = std::move(form), ++f.memoryOf;
  if (file) f.file = f.memory;
  if (!f.paused && f.machine) event(id, Active{t_.flaw == DriftFlaw::fileNotMemory ? f.file : f.memory});
}
void DriftSim::blip(Id id, Ms lasts) {
  Form was = memory(id), other = was;
  other["sheet"]["blip"] = "1";
  byHand(id, other);
  std::uint64_t of = fronts_.at(id)->memoryOf;
  later(lasts, [this, id, was, of] { if (fronts_.at(id)->memoryOf == of) byHand(id, was); });
}
void DriftSim::claim(Id id, Version version, Form form) {
  Front& f = *fronts_.at(id);
  f.astray = true, judge_->kind(id, Standing::unapproved);
  event(id, Approved{version, Approval{"nobody", "", 0, 0, form}});
  byHand(id, std::move(form), true);
}
void DriftSim::fork(Id id, Form form) {
  Front& f = *fronts_.at(id);
  if (f.astray) return;
  f.astray = true, judge_->kind(id, Standing::forked);
  event(id, Approved{wantedVersion(id), Approval{"ops", "", 0, 0, form}});
  // What it has for the others is as wrong.
  for (Id of : ids_) event(id, ApprovedFor{of, wantedVersion(of), digest(form), 0, 0, std::make_shared<const Form>(form)});
  byHand(id, std::move(form), true);
}
void DriftSim::cut(const std::set<Id>& side, bool on) {
  for (Id id : side) judge_->disturbed(id);
  side_ = on ? side : std::set<Id>{};
}
void DriftSim::pause(Id id, bool on) {
  Front& f = *fronts_.at(id);
  judge_->disturbed(id);
  f.paused = on;
  if (on && f.downSince < 0) f.downSince = now_;
  if (!on && !f.taking) f.downSince = -1, event(id, Active{t_.flaw == DriftFlaw::fileNotMemory ? f.file : f.memory});
}
void DriftSim::restart(Id id, bool keepsForm) {
  Front& f = *fronts_.at(id);
  judge_->disturbed(id), judge_->strictKinds(false);
  f.taking = f.paused = false, f.downSince = -1;
  if (!keepsForm) f.memory = f.file;
  if (owner_ == id) owner_ = 0;
  ++f.memoryOf;
  start(id);
}
void DriftSim::setClock(Id id, Ms unixAtZero) { fronts_.at(id)->unixAtZero = unixAtZero; }
void DriftSim::give(Id id) {
  if (owner_ != 0 && owner_ != id && reachable(owner_)) event(owner_, Owns{0});
  owner_ = id, ++token_;
  fronts_.at(id)->heard = std::max(fronts_.at(id)->heard, token_);
  event(id, Owns{token_});
}
void DriftSim::ownerDies() {
  if (owner_ != 0) pause(owner_, true);
}
void DriftSim::pulls(Id id, double a, double d) { event(id, Pulls{a, d}); }

int DriftSim::zone(Id id) const { return fronts_.at(id)->zone; }
const Drift& DriftSim::at(Id id) const { return *fronts_.at(id)->machine; }
const Form& DriftSim::memory(Id id) const { return fronts_.at(id)->memory; }
bool DriftSim::up(Id id) const { return !fronts_.at(id)->paused && !fronts_.at(id)->taking; }
bool DriftSim::reachable(Id id) const { return up(id) && side_.count(id) == 0; }
bool DriftSim::takingUp(Id id) const { return fronts_.at(id)->taking; }
Ms DriftSim::downSince(Id id) const { return fronts_.at(id)->downSince; }
bool DriftSim::truthBad(Id id) const {
  const Front& f = *fronts_.at(id);
  return f.astray || !differences(f.memory, wanted(id), {}).empty();
}
std::size_t DriftSim::astray() const {
  std::size_t n = 0;
  for (const auto& [id, f] : fronts_) n += f->astray;
  return n;
}
bool DriftSim::ruleDiffers(Id id) const {
  for (const Difference& d : differences(memory(id), wanted(id), classes()))
    if (d.breaks == Breaks::rule) return true;
  return false;
}

}  // namespace dunlinwick::rig
