#include "rig/drift_judge.hpp"

#include <algorithm>

namespace dunlinwick::rig {

using namespace drift;

void DriftJudge::fault(const std::string& text) {
  if (faults.size() < 20) faults.push_back(number(sim_.now()) + " ms: " + text);
}

// Fronts that are away are as so many datagrams lost.
Ms DriftJudge::bound() const {
  drift::Terms t = sim_.honest();
  double gone = goneMost_;
  double loss = 1 - (1 - sim_.terms().loss) * (1 - gone);
  return foundWithin(t) + lossAdds(t, loss);
}

void DriftJudge::disturbed(Id front) { watch_[front].disturbedAt = sim_.now(); }

void DriftJudge::step() {
  Ms now = sim_.now();
  drift::Terms t = sim_.honest();
  std::size_t n = sim_.ids().size(), here = 0;
  for (Id id : sim_.ids()) here += sim_.reachable(id);
  goneMost_ = std::max(goneMost_, 1 - static_cast<double>(here) / static_cast<double>(n));
  if (here < n / 2 + 2) thinAt_ = now;  // no quorum, or hardly
  for (Id x : sim_.ids()) {
    Watch& w = watch_[x];
    std::size_t votes = 0;
    for (Id y : sim_.ids()) votes += sim_.at(y).aside(x);
    if (votes * 2 > n) asideSince_.emplace(x, now);
    else asideSince_.erase(x);
    bool is = sim_.truthBad(x);
    std::uint64_t what = digest(sim_.memory(x)) ^ sim_.wantedVersion(x);
    if (!is) {
      if (w.badSince >= 0 && w.due && !w.done) ++ended;
      w.badSince = -1, w.due = false, kind_.erase(x);
      continue;
    }
    if (w.badSince < 0 || w.what != what) {
      if (w.badSince >= 0 && w.due && !w.done) ++ended;
      w.badSince = now, w.what = what, w.due = w.done = w.first = w.named = false;
    }
    if (now - w.badSince >= (t.steady - 1) * t.round - 60) w.lastRealBad = now;
    if (!sim_.reachable(x)) {
      w.disturbedAt = std::max(w.disturbedAt, now);
      continue;
    }
    auto k = kind_.find(x);
    Ms from = std::max({w.badSince, sim_.termEnds(x), w.disturbedAt, thinAt_});
    Ms within = bound() + (k != kind_.end() && k->second == Standing::unapproved ? t.recordLag : 0);
    if (now < from || w.done) continue;
    if (!w.due) w.due = true, ++owed;
    std::size_t know = 0, should = 0;
    for (Id y : sim_.ids()) {
      auto v = watch_.find(y);
      // Who was away is still coming back to the picture; who is astray goes by what only it holds.
      if (!sim_.reachable(y) || (v != watch_.end() && v->second.disturbedAt > from - silentFor(t))) continue;
      ++should;
      auto r = sim_.at(y).rows().find(x);
      bool says = r != sim_.at(y).rows().end() && bad(r->second.standing);
      know += says;
      if (says && !w.first) w.first = true, firstAfter.push_back(now - from);
      if (now - from >= within) {
        if (!says)
          fault("front " + std::to_string(x) + " has deviated since " + number(w.badSince) + ", front " + std::to_string(y) + " says " +
                word(r->second.standing) + " after " + number(now - from) + " of " + number(within) + " ms");
        else if (strict_ && k != kind_.end() && k->second != r->second.standing)
          fault("front " + std::to_string(x) + " is " + word(k->second) + ", front " + std::to_string(y) + " says " + word(r->second.standing));
      }
    }
    if (know == should && should != 0 && !w.named) w.named = true, foundAfter.push_back(now - from);
    if (now - from >= within) w.done = true, ++met;
  }
}

void DriftJudge::found(Id by, const Found& f) {
  if (!bad(f.standing)) return;
  const Watch& w = watch_[f.front];
  Ms now = sim_.now();
  // Away, its last word stands for silentFor.
  Ms gone = sim_.reachable(f.front) && now - w.disturbedAt > bound() ? 0 : silentFor(sim_.honest());
  if (now - w.lastRealBad > bound() + gone)
    fault("front " + std::to_string(by) + " says " + word(f.standing) + " of front " + std::to_string(f.front) + ", which is as approved");
}

void DriftJudge::takesUp(Id front, Token token, Token heard) {
  if (token < heard) fault("front " + std::to_string(front) + " takes up by token " + std::to_string(token) + ", having heard " + std::to_string(heard));
  drift::Terms t = sim_.honest();
  std::size_t size = 0, at = 0, down = 0;
  for (Id id : sim_.ids()) {
    if (sim_.zone(id) != sim_.zone(front)) continue;
    ++size;
    if (sim_.takingUp(id)) ++at;
    // Not the owner's to know at once.
    else if (id != front && sim_.downSince(id) >= 0 && sim_.now() - sim_.downSince(id) > silentFor(t) + 2 * t.round + bound()) ++down;
  }
  if (at > static_cast<std::size_t>(t.atOnce)) fault(std::to_string(at) + " fronts of zone " + std::to_string(sim_.zone(front)) + " take up at once");
  if (!sim_.ruleDiffers(front) && static_cast<double>(size - at - down) < t.leastServing * static_cast<double>(size))
    fault("zone " + std::to_string(sim_.zone(front)) + " is left with " + std::to_string(size - at - down) + " of " + std::to_string(size));
}

void DriftJudge::asks(Id by, const Repair& r) {
  ++asked;
  auto a = asideSince_.find(by);
  if (sim_.at(by).aside(by) || (a != asideSince_.end() && sim_.reachable(by) && sim_.now() - a->second > bound() && watch_[by].disturbedAt < a->second))
    fault("front " + std::to_string(by) + " is set aside and asks front " + std::to_string(r.front) + " to take up");
}

}  // namespace dunlinwick::rig
