#include "changes/push.hpp"

#include <algorithm>
#include <cmath>

namespace dunlinwick::changes {

const char* ToString(Phase phase) {
  static const char* const kNames[] = {"staging", "applying", "watching", "confirming",
                                       "undoing", "done",     "failed"};
  return kNames[static_cast<int>(phase)];
}

Rollout::Rollout(RolloutSettings settings, std::uint64_t fencing_token, std::string content,
                 std::vector<Generation> base_generations, Ms now)
    : settings_(std::move(settings)),
      fencing_token_(fencing_token),
      content_(std::move(content)),
      started_at_(now),
      phase_since_(now) {
  for (Generation base_generation : base_generations)
    fronts_.push_back({base_generation, 0, Step::kNone, -1e18});
}

std::size_t Rollout::WaveEnd() const {
  auto n = static_cast<double>(fronts_.size());
  auto end = static_cast<std::size_t>(std::ceil(settings_.waves[wave_] * n));
  return std::clamp<std::size_t>(end, 1, fronts_.size());
}

bool Rollout::AllReached(Step step, std::size_t up_to) const {
  return std::all_of(fronts_.begin(), fronts_.begin() + static_cast<long>(up_to),
                     [&](const Front& f) { return f.step >= step; });
}

void Rollout::UpdatePhase(Ms now) {
  if (phase_ == Phase::kStaging && AllReached(Step::kStaged, fronts_.size())) {
    phase_ = Phase::kApplying;
    phase_since_ = now;
    lease_ends_at_ =
        now +
        settings_.lease;  // the same end for all, by this clock; each is sent the remaining time
  }
  if (phase_ == Phase::kStaging && now > started_at_ + settings_.staging_timeout) {
    phase_ = Phase::kReverting;
    phase_since_ = now;
    reason_ = "not every front staged the change in time";
  }
  if (phase_ == Phase::kApplying && AllReached(Step::kApplied, WaveEnd())) {
    phase_ = Phase::kObserving;
    phase_since_ = now;
  }
  if (phase_ == Phase::kObserving && now >= phase_since_ + settings_.observation_time) {
    bool last = wave_ + 1 >= settings_.waves.size() || WaveEnd() == fronts_.size();
    phase_ = last ? Phase::kConfirming : Phase::kApplying;
    phase_since_ = now;
    if (!last)
      ++wave_;
  }
  // Too late to confirm: a message sent now would reach fronts that have already reverted.
  if ((phase_ == Phase::kApplying || phase_ == Phase::kObserving) &&
      now + settings_.retry_interval >= lease_ends_at_) {
    phase_ = Phase::kReverting;
    phase_since_ = now;
    reason_ = "the lease would end before all could be confirmed";
  }
  if (phase_ == Phase::kConfirming &&
      (AllReached(Step::kConfirmed, fronts_.size()) || now >= lease_ends_at_)) {
    phase_ = Phase::kCompleted;
    if (!UnconfirmedFronts().empty())
      reason_ = "not every front is known to have confirmed the change before its lease ended";
  }
  // Revert requests are sent for as long as a lease can last; after that nothing is left to revert.
  if (phase_ == Phase::kReverting &&
      (AllReached(Step::kReverted, fronts_.size()) || now >= phase_since_ + settings_.lease))
    phase_ = Phase::kFailed;
}

std::vector<Message> Rollout::Advance(Ms now) {
  UpdatePhase(now);
  std::vector<Message> messages;
  auto due = [&](Front& f) {
    if (now < f.sent_at + settings_.retry_interval)
      return false;
    f.sent_at = now;
    return true;
  };
  for (std::size_t i = 0; i < fronts_.size(); ++i) {
    Front& f = fronts_[i];
    if (phase_ == Phase::kStaging && f.step == Step::kNone && due(f)) {
      messages.push_back(
          {i, Proposal{fencing_token_, RequestId(i, RequestKind::kPropose), f.base_generation,
                       content_, started_at_ + settings_.staging_timeout + settings_.lease - now}});
    } else if (phase_ == Phase::kApplying && i < WaveEnd() && f.step == Step::kStaged && due(f)) {
      messages.push_back({i, ApplyRequest{fencing_token_, RequestId(i, RequestKind::kApply),
                                          f.generation, lease_ends_at_ - now}});
    } else if (phase_ == Phase::kConfirming && f.step == Step::kApplied && due(f)) {
      messages.push_back(
          {i, ConfirmRequest{fencing_token_, RequestId(i, RequestKind::kConfirm), f.generation}});
    } else if (phase_ == Phase::kReverting && f.step != Step::kReverted) {
      if (f.generation == 0)
        f.step = Step::kReverted;  // it never reported that it staged the change
      else if (due(f))
        messages.push_back(
            {i, RevertRequest{fencing_token_, RequestId(i, RequestKind::kRevert), f.generation}});
    }
  }
  return messages;
}

std::vector<Message> Rollout::HandleResponse(Ms now, std::size_t front, const Response& a) {
  // Messages are repeated, so responses arrive twice and late: a response to an ApplyRequest must
  // not be taken for one to a ConfirmRequest. Otherwise a front that only applied the change would
  // be counted as having confirmed it.
  static constexpr RequestKind kAwaitedKinds[] = {
      RequestKind::kPropose, RequestKind::kApply, RequestKind::kApply, RequestKind::kConfirm,
      RequestKind::kRevert,  RequestKind::kNone,  RequestKind::kNone};
  if (front >= fronts_.size() ||
      a.request_id != RequestId(front, kAwaitedKinds[static_cast<int>(phase_)]))
    return Advance(now);
  Front& f = fronts_[front];
  f.sent_at = -1e18;
  if (phase_ == Phase::kReverting) {
    f.step = Step::kReverted;  // reverted, or never staged
  } else if (a.refusal != Reason::kNone) {
    if (phase_ == Phase::kStaging || phase_ == Phase::kApplying) {
      phase_ = Phase::kReverting;
      phase_since_ = now;
      reason_ =
          "front " + std::to_string(front + 1) + " refused the change: " + ToString(a.refusal);
    } else if (phase_ == Phase::kConfirming) {
      f.step = Step::kReverted;  // it reverted by itself: it is unconfirmed
    }
  } else if (phase_ == Phase::kStaging && f.step == Step::kNone) {
    f.generation = a.generation;
    f.step = Step::kStaged;
  } else if (phase_ == Phase::kApplying && f.step == Step::kStaged &&
             a.generation == f.generation) {
    f.step = Step::kApplied;
  } else if (phase_ == Phase::kConfirming && f.step == Step::kApplied &&
             a.generation == f.generation) {
    f.step = Step::kConfirmed;
  }
  return Advance(now);
}

std::vector<Message> Rollout::Abort(Ms now, const std::string& reason) {
  if (phase_ == Phase::kStaging || phase_ == Phase::kApplying || phase_ == Phase::kObserving) {
    phase_ = Phase::kReverting;
    phase_since_ = now;
    reason_ = reason;
  }
  return Advance(now);
}

std::vector<Message> Rollout::HandleUnreachable(Ms now, std::size_t front,
                                                const std::string& reason) {
  return Abort(now, "front " + std::to_string(front + 1) + " is unreachable: " + reason);
}

std::vector<std::size_t> Rollout::UnconfirmedFronts() const {
  std::vector<std::size_t> all;
  for (std::size_t i = 0; i < fronts_.size(); ++i)
    if (fronts_[i].step != Step::kConfirmed)
      all.push_back(i);
  return all;
}

std::string Rollout::Fingerprint() const {
  std::string fingerprint = std::to_string(static_cast<int>(phase_)) + ' ' + std::to_string(wave_) +
                            ' ' + std::to_string(phase_since_) + ' ' +
                            std::to_string(lease_ends_at_);
  for (const Front& f : fronts_)
    fingerprint += ' ' + std::to_string(f.base_generation) + ',' + std::to_string(f.generation) +
                   ',' + std::to_string(static_cast<int>(f.step)) + ',' + std::to_string(f.sent_at);
  return fingerprint;
}

}  // namespace dunlinwick::changes
