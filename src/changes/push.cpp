#include "changes/push.hpp"

#include <algorithm>
#include <cmath>

namespace dunlinwick::changes {

const char* word(Phase phase) {
  static const char* const words[] = {"staging", "applying", "watching", "confirming", "undoing", "done", "failed"};
  return words[static_cast<int>(phase)];
}

Push::Push(PushTerms terms, std::uint64_t fence, std::string content, std::vector<Generation> bases, Ms now)
    : terms_(std::move(terms)), fence_(fence), content_(std::move(content)), startedAt_(now), since_(now) {
  for (Generation base : bases) fronts_.push_back({base, 0, Step::none, -1e18});
}

std::size_t Push::waveEnd() const {
  auto n = static_cast<double>(fronts_.size());
  auto end = static_cast<std::size_t>(std::ceil(terms_.waves[wave_] * n));
  return std::clamp<std::size_t>(end, 1, fronts_.size());
}

bool Push::all(Step step, std::size_t upTo) const {
  return std::all_of(fronts_.begin(), fronts_.begin() + static_cast<long>(upTo),
                     [&](const Front& f) { return f.step >= step; });
}

void Push::move(Ms now) {
  if (phase_ == Phase::staging && all(Step::staged, fronts_.size())) {
    phase_ = Phase::applying, since_ = now;
    leaseEnds_ = now + terms_.lease;  // one end for all, by this clock; each is told what is left
  }
  if (phase_ == Phase::staging && now > startedAt_ + terms_.stageWithin)
    phase_ = Phase::undoing, since_ = now, why_ = "not every front staged it in time";
  if (phase_ == Phase::applying && all(Step::applied, waveEnd())) phase_ = Phase::watching, since_ = now;
  if (phase_ == Phase::watching && now >= since_ + terms_.watchFor) {
    bool last = wave_ + 1 >= terms_.waves.size() || waveEnd() == fronts_.size();
    phase_ = last ? Phase::confirming : Phase::applying, since_ = now;
    if (!last) ++wave_;
  }
  // Too late to confirm: a word sent now would come to fronts that have gone back.
  if ((phase_ == Phase::applying || phase_ == Phase::watching) && now + terms_.again >= leaseEnds_)
    phase_ = Phase::undoing, since_ = now, why_ = "the lease would end before all could be confirmed";
  if (phase_ == Phase::confirming && (all(Step::kept, fronts_.size()) || now >= leaseEnds_)) {
    phase_ = Phase::done;
    if (!behind().empty()) why_ = "not every front is known to have kept it before its lease ended";
  }
  // Undone words are said for as long as a lease could last; after that nothing is left to undo.
  if (phase_ == Phase::undoing && (all(Step::undone, fronts_.size()) || now >= since_ + terms_.lease)) phase_ = Phase::failed;
}

std::vector<Say> Push::tick(Ms now) {
  move(now);
  std::vector<Say> out;
  auto due = [&](Front& f) {
    if (now < f.saidAt + terms_.again) return false;
    f.saidAt = now;
    return true;
  };
  for (std::size_t i = 0; i < fronts_.size(); ++i) {
    Front& f = fronts_[i];
    if (phase_ == Phase::staging && f.step == Step::none && due(f)) {
      out.push_back({i, Propose{fence_, ticket(i, Kind::propose), f.base, content_, startedAt_ + terms_.stageWithin + terms_.lease - now}});
    } else if (phase_ == Phase::applying && i < waveEnd() && f.step == Step::staged && due(f)) {
      out.push_back({i, Apply{fence_, ticket(i, Kind::apply), f.generation, leaseEnds_ - now}});
    } else if (phase_ == Phase::confirming && f.step == Step::applied && due(f)) {
      out.push_back({i, Confirm{fence_, ticket(i, Kind::confirm), f.generation}});
    } else if (phase_ == Phase::undoing && f.step != Step::undone) {
      if (f.generation == 0) f.step = Step::undone;  // it never said that it holds it
      else if (due(f)) out.push_back({i, Undo{fence_, ticket(i, Kind::undo), f.generation}});
    }
  }
  return out;
}

std::vector<Say> Push::answered(Ms now, std::size_t front, const Answer& a) {
  // Words are said again, so answers come twice and late: one to an Apply must not pass for one to a Confirm. (Found
  // by exploring all states: a front taken for one that keeps the change had only applied it.)
  static constexpr Kind awaited[] = {Kind::propose, Kind::apply, Kind::apply, Kind::confirm, Kind::undo, Kind::none, Kind::none};
  if (front >= fronts_.size() || a.ticket != ticket(front, awaited[static_cast<int>(phase_)])) return tick(now);
  Front& f = fronts_[front];
  f.saidAt = -1e18;
  if (phase_ == Phase::undoing) {
    f.step = Step::undone;  // gone, or never there
  } else if (a.refused != Why::none) {
    if (phase_ == Phase::staging || phase_ == Phase::applying) {
      phase_ = Phase::undoing, since_ = now;
      why_ = "front " + std::to_string(front + 1) + " refused it: " + word(a.refused);
    } else if (phase_ == Phase::confirming) {
      f.step = Step::undone;  // it went back by itself: it is behind
    }
  } else if (phase_ == Phase::staging && f.step == Step::none) {
    f.generation = a.generation, f.step = Step::staged;
  } else if (phase_ == Phase::applying && f.step == Step::staged && a.generation == f.generation) {
    f.step = Step::applied;
  } else if (phase_ == Phase::confirming && f.step == Step::applied && a.generation == f.generation) {
    f.step = Step::kept;
  }
  return tick(now);
}

std::vector<Say> Push::abort(Ms now, const std::string& why) {
  if (phase_ == Phase::staging || phase_ == Phase::applying || phase_ == Phase::watching)
    phase_ = Phase::undoing, since_ = now, why_ = why;
  return tick(now);
}

std::vector<Say> Push::unreachable(Ms now, std::size_t front, const std::string& why) {
  return abort(now, "front " + std::to_string(front + 1) + " can't be reached: " + why);
}

std::vector<std::size_t> Push::behind() const {
  std::vector<std::size_t> all;
  for (std::size_t i = 0; i < fronts_.size(); ++i)
    if (fronts_[i].step != Step::kept) all.push_back(i);
  return all;
}

std::string Push::fingerprint() const {
  std::string out = std::to_string(static_cast<int>(phase_)) + ' ' + std::to_string(wave_) + ' ' +
                    std::to_string(since_) + ' ' + std::to_string(leaseEnds_);
  for (const Front& f : fronts_)
    out += ' ' + std::to_string(f.base) + ',' + std::to_string(f.generation) + ',' +
           std::to_string(static_cast<int>(f.step)) + ',' + std::to_string(f.saidAt);
  return out;
}

}  // namespace dunlinwick::changes
