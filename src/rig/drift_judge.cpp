#include "rig/drift_judge.hpp"

#include <algorithm>

namespace dunlinwick::rig {

using namespace drift;

void DriftJudge::fault(const std::string& text) {
  if (faults.size() < 20)
    faults.push_back(FormatNumber(sim_.now()) + " ms: " + text);
}

// Fronts that are away are as so many datagrams lost.
Ms DriftJudge::bound() const {
  drift::DriftSettings t = sim_.Honest();
  double gone = gone_most_;
  double loss = 1 - (1 - sim_.terms().loss) * (1 - gone);
  return DetectionBound(t) + LossAllowance(t, loss);
}

void DriftJudge::Disturbed(Id front) {
  watch_[front].disturbed_at = sim_.now();
}

void DriftJudge::step() {
  Ms now = sim_.now();
  drift::DriftSettings t = sim_.Honest();
  std::size_t n = sim_.Ids().size(), here = 0;
  for (Id id : sim_.Ids())
    here += sim_.Reachable(id);
  gone_most_ = std::max(gone_most_, 1 - static_cast<double>(here) / static_cast<double>(n));
  if (here < n / 2 + 2)
    thin_at_ = now;  // no quorum, or hardly
  for (Id x : sim_.Ids()) {
    Watch& w = watch_[x];
    std::size_t votes = 0;
    for (Id y : sim_.Ids())
      votes += sim_.at(y).ejected(x);
    if (votes * 2 > n)
      ejected_since_.emplace(x, now);
    else
      ejected_since_.erase(x);
    bool is = sim_.TruthBad(x);
    std::uint64_t what = Digest(sim_.memory(x)) ^ sim_.WantedVersion(x);
    if (!is) {
      if (w.bad_since >= 0 && w.due && !w.done)
        ++ended;
      w.bad_since = -1;
      w.due = false;
      kind_.erase(x);
      continue;
    }
    if (w.bad_since < 0 || w.what != what) {
      if (w.bad_since >= 0 && w.due && !w.done)
        ++ended;
      w.bad_since = now;
      w.what = what;
      w.due = w.done = w.first = w.named = false;
    }
    if (now - w.bad_since >= (t.stable_rounds - 1) * t.round - 60)
      w.last_real_bad = now;
    if (!sim_.Reachable(x)) {
      w.disturbed_at = std::max(w.disturbed_at, now);
      continue;
    }
    auto k = kind_.find(x);
    Ms from = std::max({w.bad_since, sim_.TermEnds(x), w.disturbed_at, thin_at_});
    Ms within = bound() +
                (k != kind_.end() && k->second == DriftStatus::kUnapproved ? t.max_record_lag : 0);
    if (now < from || w.done)
      continue;
    if (!w.due) {
      w.due = true;
      ++owed;
    }
    std::size_t know = 0, should = 0;
    for (Id y : sim_.Ids()) {
      auto v = watch_.find(y);
      // Who was away is still coming back to the picture; who is astray goes by what only it holds.
      if (!sim_.Reachable(y) ||
          (v != watch_.end() && v->second.disturbed_at > from - SilenceTimeout(t)))
        continue;
      ++should;
      auto r = sim_.at(y).FrontStates().find(x);
      bool says = r != sim_.at(y).FrontStates().end() && IsDeviating(r->second.status);
      know += says;
      if (says && !w.first) {
        w.first = true;
        first_after.push_back(now - from);
      }
      if (now - from >= within) {
        if (!says)
          fault("front " + std::to_string(x) + " has deviated since " + FormatNumber(w.bad_since) +
                ", front " + std::to_string(y) + " says " + ToString(r->second.status) + " after " +
                FormatNumber(now - from) + " of " + FormatNumber(within) + " ms");
        else if (strict_ && k != kind_.end() && k->second != r->second.status)
          fault("front " + std::to_string(x) + " is " + ToString(k->second) + ", front " +
                std::to_string(y) + " says " + ToString(r->second.status));
      }
    }
    if (know == should && should != 0 && !w.named) {
      w.named = true;
      found_after.push_back(now - from);
    }
    if (now - from >= within) {
      w.done = true;
      ++met;
    }
  }
}

void DriftJudge::RecordFinding(Id by, const StatusChanged& f) {
  if (!IsDeviating(f.status))
    return;
  const Watch& w = watch_[f.front];
  Ms now = sim_.now();
  // Away, its last word stands for silentFor.
  Ms gone =
      sim_.Reachable(f.front) && now - w.disturbed_at > bound() ? 0 : SilenceTimeout(sim_.Honest());
  if (now - w.last_real_bad > bound() + gone)
    fault("front " + std::to_string(by) + " says " + ToString(f.status) + " of front " +
          std::to_string(f.front) + ", which is as approved");
}

void DriftJudge::TakesUp(Id front, Token token, Token heard) {
  if (token < heard)
    fault("front " + std::to_string(front) + " takes up by token " + std::to_string(token) +
          ", having heard " + std::to_string(heard));
  drift::DriftSettings t = sim_.Honest();
  std::size_t size = 0, at = 0, down = 0;
  for (Id id : sim_.Ids()) {
    if (sim_.Zone(id) != sim_.Zone(front))
      continue;
    ++size;
    if (sim_.TakingUp(id))
      ++at;
    // Not the owner's to know at once.
    else if (id != front && sim_.DownSince(id) >= 0 &&
             sim_.now() - sim_.DownSince(id) > SilenceTimeout(t) + 2 * t.round + bound())
      ++down;
  }
  if (at > static_cast<std::size_t>(t.max_concurrent_repairs))
    fault(std::to_string(at) + " fronts of zone " + std::to_string(sim_.Zone(front)) +
          " take up at once");
  if (!sim_.RuleDiffers(front) &&
      static_cast<double>(size - at - down) < t.min_serving_share * static_cast<double>(size))
    fault("zone " + std::to_string(sim_.Zone(front)) + " is left with " +
          std::to_string(size - at - down) + " of " + std::to_string(size));
}

void DriftJudge::Asks(Id by, const Repair& r) {
  ++asked;
  auto a = ejected_since_.find(by);
  if (sim_.at(by).ejected(by) ||
      (a != ejected_since_.end() && sim_.Reachable(by) && sim_.now() - a->second > bound() &&
       watch_[by].disturbed_at < a->second))
    fault("front " + std::to_string(by) + " is set aside and asks front " +
          std::to_string(r.front) + " to take up");
}

}  // namespace dunlinwick::rig
