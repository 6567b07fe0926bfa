#include "changes/push.hpp"

#include <algorithm>
#include <cmath>

namespace dunlinwick::changes {

const char* ToString(Phase phase) {
  static const char* const kWords[] = {"staging", "applying", "watching", "confirming",
                                       "undoing", "done",     "failed"};
  return kWords[static_cast<int>(phase)];
}

Push::Push(PushTerms terms, std::uint64_t fence, std::string content, std::vector<Generation> bases,
           Ms now)
    : terms_(std::move(terms)),
      fence_(fence),
      content_(std::move(content)),
      started_at_(now),
      since_(now) {
  for (Generation base : bases)
    fronts_.push_back({base, 0, Step::kNone, -1e18});
}

std::size_t Push::WaveEnd() const {
  auto n = static_cast<double>(fronts_.size());
  auto end = static_cast<std::size_t>(std::ceil(terms_.waves[wave_] * n));
  return std::clamp<std::size_t>(end, 1, fronts_.size());
}

bool Push::all(Step step, std::size_t up_to) const {
  return std::all_of(fronts_.begin(), fronts_.begin() + static_cast<long>(up_to),
                     [&](const Front& f) { return f.step >= step; });
}

void Push::Move(Ms now) {
  if (phase_ == Phase::kStaging && all(Step::kStaged, fronts_.size())) {
    phase_ = Phase::kApplying;
    since_ = now;
    lease_ends_ = now + terms_.lease;  // one end for all, by this clock; each is told what is left
  }
  if (phase_ == Phase::kStaging && now > started_at_ + terms_.stage_within) {
    phase_ = Phase::kUndoing;
    since_ = now;
    why_ = "not every front staged it in time";
  }
  if (phase_ == Phase::kApplying && all(Step::kApplied, WaveEnd())) {
    phase_ = Phase::kWatching;
    since_ = now;
  }
  if (phase_ == Phase::kWatching && now >= since_ + terms_.watch_for) {
    bool last = wave_ + 1 >= terms_.waves.size() || WaveEnd() == fronts_.size();
    phase_ = last ? Phase::kConfirming : Phase::kApplying;
    since_ = now;
    if (!last)
      ++wave_;
  }
  // Too late to confirm: a word sent now would come to fronts that have gone back.
  if ((phase_ == Phase::kApplying || phase_ == Phase::kWatching) &&
      now + terms_.again >= lease_ends_) {
    phase_ = Phase::kUndoing;
    since_ = now;
    why_ = "the lease would end before all could be confirmed";
  }
  if (phase_ == Phase::kConfirming && (all(Step::kKept, fronts_.size()) || now >= lease_ends_)) {
    phase_ = Phase::kDone;
    if (!Behind().empty())
      why_ = "not every front is known to have kept it before its lease ended";
  }
  // Undone words are said for as long as a lease could last; after that nothing is left to undo.
  if (phase_ == Phase::kUndoing &&
      (all(Step::kReverted, fronts_.size()) || now >= since_ + terms_.lease))
    phase_ = Phase::kFailed;
}

std::vector<Say> Push::tick(Ms now) {
  Move(now);
  std::vector<Say> out;
  auto due = [&](Front& f) {
    if (now < f.said_at + terms_.again)
      return false;
    f.said_at = now;
    return true;
  };
  for (std::size_t i = 0; i < fronts_.size(); ++i) {
    Front& f = fronts_[i];
    if (phase_ == Phase::kStaging && f.step == Step::kNone && due(f)) {
      out.push_back({i, Propose{fence_, Ticket(i, Kind::kPropose), f.base, content_,
                                started_at_ + terms_.stage_within + terms_.lease - now}});
    } else if (phase_ == Phase::kApplying && i < WaveEnd() && f.step == Step::kStaged && due(f)) {
      out.push_back({i, Apply{fence_, Ticket(i, Kind::kApply), f.generation, lease_ends_ - now}});
    } else if (phase_ == Phase::kConfirming && f.step == Step::kApplied && due(f)) {
      out.push_back({i, Confirm{fence_, Ticket(i, Kind::kConfirm), f.generation}});
    } else if (phase_ == Phase::kUndoing && f.step != Step::kReverted) {
      if (f.generation == 0)
        f.step = Step::kReverted;  // it never said that it holds it
      else if (due(f))
        out.push_back({i, Undo{fence_, Ticket(i, Kind::kUndo), f.generation}});
    }
  }
  return out;
}

std::vector<Say> Push::Answered(Ms now, std::size_t front, const Answer& a) {
  // Words are said again, so answers come twice and late: one to an Apply must not pass for one to
  // a Confirm. (Found by exploring all states: a front taken for one that keeps the change had only
  // applied it.)
  static constexpr Kind kAwaited[] = {Kind::kPropose, Kind::kApply, Kind::kApply, Kind::kConfirm,
                                      Kind::kUndo,    Kind::kNone,  Kind::kNone};
  if (front >= fronts_.size() || a.ticket != Ticket(front, kAwaited[static_cast<int>(phase_)]))
    return tick(now);
  Front& f = fronts_[front];
  f.said_at = -1e18;
  if (phase_ == Phase::kUndoing) {
    f.step = Step::kReverted;  // gone, or never there
  } else if (a.refused != Why::kNone) {
    if (phase_ == Phase::kStaging || phase_ == Phase::kApplying) {
      phase_ = Phase::kUndoing;
      since_ = now;
      why_ = "front " + std::to_string(front + 1) + " refused it: " + ToString(a.refused);
    } else if (phase_ == Phase::kConfirming) {
      f.step = Step::kReverted;  // it went back by itself: it is behind
    }
  } else if (phase_ == Phase::kStaging && f.step == Step::kNone) {
    f.generation = a.generation;
    f.step = Step::kStaged;
  } else if (phase_ == Phase::kApplying && f.step == Step::kStaged &&
             a.generation == f.generation) {
    f.step = Step::kApplied;
  } else if (phase_ == Phase::kConfirming && f.step == Step::kApplied &&
             a.generation == f.generation) {
    f.step = Step::kKept;
  }
  return tick(now);
}

std::vector<Say> Push::Abort(Ms now, const std::string& why) {
  if (phase_ == Phase::kStaging || phase_ == Phase::kApplying || phase_ == Phase::kWatching) {
    phase_ = Phase::kUndoing;
    since_ = now;
    why_ = why;
  }
  return tick(now);
}

std::vector<Say> Push::Unreachable(Ms now, std::size_t front, const std::string& why) {
  return Abort(now, "front " + std::to_string(front + 1) + " can't be reached: " + why);
}

std::vector<std::size_t> Push::Behind() const {
  std::vector<std::size_t> all;
  for (std::size_t i = 0; i < fronts_.size(); ++i)
    if (fronts_[i].step != Step::kKept)
      all.push_back(i);
  return all;
}

std::string Push::Fingerprint() const {
  std::string out = std::to_string(static_cast<int>(phase_)) + ' ' + std::to_string(wave_) + ' ' +
                    std::to_string(since_) + ' ' + std::to_string(lease_ends_);
  for (const Front& f : fronts_)
    out += ' ' + std::to_string(f.base) + ',' + std::to_string(f.generation) + ',' +
           std::to_string(static_cast<int>(f.step)) + ',' + std::to_string(f.said_at);
  return out;
}

}  // namespace dunlinwick::changes
