#include "changes/ledger.hpp"

#include <algorithm>

namespace dunlinwick::changes {

const char* ToString(GenerationState state) {
  static const char* const kNames[] = {"staged", "applied", "kept", "undone", "dropped"};
  return kNames[static_cast<int>(state)];
}

const char* ToString(Reason reason) {
  static const char* const kNames[] = {
      "",
      "it is based on a generation that is no longer the confirmed one; fetch the current one",
      "another change is applied and awaits confirmation",
      "too many generations are in use; wait until requests of the old ones have ended",
      "no such generation exists in the required state",
      "a later coordinator has taken over",
      "the confirmation timeout must be from 1 s to 10 min",
      "requested by an operator",
      "not confirmed before its lease ended",
      "monitoring raised an alarm"};
  return kNames[static_cast<int>(reason)];
}

ChangeLog::ChangeLog(Limits limits, std::optional<PersistentState> persisted) : limits_(limits) {
  if (persisted) {
    confirmed_ = active_ = persisted->confirmed;
    last_assigned_ = persisted->last_assigned;
    fencing_token_ = persisted->fencing_token;
    generations_.push_back({confirmed_, persisted->content, true, 0});
  } else {
    generations_.push_back({0, "", true, 0});
  }
}

void ChangeLog::Persist(std::vector<Action>& actions) const {
  actions.emplace_back(std::in_place_type<PersistentState>, confirmed_, last_assigned_,
                       fencing_token_, *ContentOf(confirmed_));
}

std::string ChangeLog::Fingerprint() const {
  std::string fingerprint = std::to_string(confirmed_) + ' ' + std::to_string(active_) + ' ' +
                            std::to_string(last_assigned_) + ' ' + std::to_string(fencing_token_) +
                            ' ' + std::to_string(lease_ends_at_);
  for (const GenerationEntry& entry : generations_)
    fingerprint.append(" ")
        .append(std::to_string(entry.generation))
        .append(entry.has_requests ? "p" : "-")
        .append(entry.content)
        .append(std::to_string(entry.expires_at));
  return fingerprint;
}

const std::string* ChangeLog::ContentOf(Generation generation) const {
  for (const GenerationEntry& entry : generations_)
    if (entry.generation == generation)
      return &entry.content;
  return nullptr;
}

ChangeLog::GenerationEntry* ChangeLog::FindGeneration(Generation generation) {
  auto found = std::find_if(generations_.begin(), generations_.end(),
                            [&](const GenerationEntry& a) { return a.generation == generation; });
  return found == generations_.end() ? nullptr : &*found;
}

void ChangeLog::AddHistory(Generation generation, GenerationState state, Reason reason) {
  constexpr std::size_t kMaxEntries = 64;  // enough for some days of changes
  if (history_.size() >= kMaxEntries)
    history_.erase(history_.begin());
  history_.push_back({generation, state, reason});
}

Reason ChangeLog::CheckFencingToken(std::uint64_t fencing_token) {
  if (fencing_token < fencing_token_)
    return Reason::kFenced;
  fencing_token_ = fencing_token;
  return Reason::kNone;
}

// A generation is unused once no request holds it and it is neither confirmed nor active.
void ChangeLog::DiscardIfUnused(Generation generation, std::vector<Action>& actions) {
  GenerationEntry* dropped = FindGeneration(generation);
  if (!dropped || dropped->has_requests || generation == confirmed_ || generation == active_)
    return;
  std::erase_if(generations_,
                [&](const GenerationEntry& entry) { return entry.generation == generation; });
  actions.emplace_back(DiscardContent{generation});
}

void ChangeLog::RevertChange(Reason reason, std::vector<Action>& actions) {
  Generation reverted = active_;
  active_ = confirmed_;
  lease_ends_at_ = 0;
  AddHistory(reverted, GenerationState::kReverted, reason);
  // Nothing needs to be persisted: a front that starts now activates the confirmed one anyway.
  actions.emplace_back(Activate{confirmed_});
  actions.emplace_back(ReportRevert{reverted, reason});
}

std::vector<Action> ChangeLog::Handle(Ms now, const Event& event) {
  std::vector<Action> actions;
  // Checked before any event: a lease that has ended takes effect before a message received later.
  if (lease_ends_at_ > 0 && now >= lease_ends_at_)
    RevertChange(Reason::kLeaseExpired, actions);

  // Staged but never applied: the proposer is gone or has given the change up.
  for (std::size_t i = generations_.size(); i-- > 0;)
    if (const GenerationEntry& entry = generations_[i];
        !entry.has_requests && entry.generation != confirmed_ && now >= entry.expires_at) {
      AddHistory(entry.generation, GenerationState::kDiscarded, Reason::kLeaseExpired);
      DiscardIfUnused(entry.generation, actions);
    }

  if (auto* proposal = std::get_if<Proposal>(&event)) {
    std::uint64_t previous_token = fencing_token_;
    Reason reason = CheckFencingToken(proposal->fencing_token);
    if (reason == Reason::kNone && proposal->base_generation != confirmed_)
      reason = Reason::kStaleBase;
    // A repeated proposal whose response was lost: one generation, not two.
    for (const GenerationEntry& entry : generations_)
      if (reason == Reason::kNone && fencing_token_ == previous_token && !entry.has_requests &&
          entry.generation != confirmed_ && entry.content == proposal->content) {
        actions.emplace_back(Response{proposal->request_id, entry.generation, Reason::kNone});
        return actions;
      }
    if (reason == Reason::kNone &&
        !(proposal->lifetime >= limits_.min_lease && proposal->lifetime <= limits_.max_lease))
      reason = Reason::kInvalidLease;
    if (reason == Reason::kNone && static_cast<int>(generations_.size()) >= limits_.max_generations)
      reason = Reason::kTooManyGenerations;
    if (reason == Reason::kNone) {
      generations_.push_back(
          {++last_assigned_, proposal->content, false, now + proposal->lifetime});
      AddHistory(last_assigned_, GenerationState::kStaged);
      actions.emplace_back(SetTimer{now + proposal->lifetime});
    }
    // The number must be persisted: if it were assigned twice, a confirmation could apply to other
    // content after a restart.
    if (reason == Reason::kNone || fencing_token_ != previous_token)
      Persist(actions);
    actions.emplace_back(
        Response{proposal->request_id, reason == Reason::kNone ? last_assigned_ : 0, reason});
  } else if (auto* apply = std::get_if<ApplyRequest>(&event)) {
    std::uint64_t previous_token = fencing_token_;
    Reason reason = CheckFencingToken(apply->fencing_token);
    GenerationEntry* entry = FindGeneration(apply->generation);
    if (reason == Reason::kNone && active_ == apply->generation && lease_ends_at_ > 0) {
      actions.emplace_back(
          Response{apply->request_id, apply->generation, Reason::kNone});  // repeated request
      return actions;
    }
    if (reason == Reason::kNone &&
        (!entry || apply->generation == confirmed_ || entry->has_requests))
      reason = Reason::kUnknownGeneration;
    if (reason == Reason::kNone && active_ != confirmed_)
      reason = Reason::kChangePending;
    if (reason == Reason::kNone && !(apply->confirm_timeout >= limits_.min_lease &&
                                     apply->confirm_timeout <= limits_.max_lease))
      reason = Reason::kInvalidLease;
    if (fencing_token_ != previous_token)
      Persist(actions);
    if (reason == Reason::kNone) {
      active_ = apply->generation;
      entry->has_requests = true;
      lease_ends_at_ = std::min(now + apply->confirm_timeout, entry->expires_at);
      AddHistory(active_, GenerationState::kApplied);
      actions.emplace_back(Activate{active_});
      actions.emplace_back(SetTimer{lease_ends_at_});
    }
    actions.emplace_back(Response{apply->request_id, apply->generation, reason});
  } else if (auto* confirm = std::get_if<ConfirmRequest>(&event)) {
    std::uint64_t previous_token = fencing_token_;
    Reason reason = CheckFencingToken(confirm->fencing_token);
    if (reason == Reason::kNone && confirm->generation == confirmed_ && confirm->generation != 0) {
      if (fencing_token_ != previous_token)
        Persist(actions);
      actions.emplace_back(
          Response{confirm->request_id, confirmed_, Reason::kNone});  // repeated request
      return actions;
    }
    if (reason == Reason::kNone && (confirm->generation != active_ || lease_ends_at_ == 0))
      reason = Reason::kUnknownGeneration;
    Generation old = confirmed_;
    if (reason == Reason::kNone) {
      confirmed_ = active_;
      lease_ends_at_ = 0;
      AddHistory(confirmed_, GenerationState::kConfirmed);
    }
    if (reason == Reason::kNone || fencing_token_ != previous_token)
      Persist(actions);
    if (reason == Reason::kNone) {
      DiscardIfUnused(old, actions);
      // Generations staged on the old one can no longer be applied.
      for (std::size_t i = generations_.size(); i-- > 0;)
        if (Generation g = generations_[i].generation;
            !generations_[i].has_requests && g != confirmed_) {
          AddHistory(g, GenerationState::kDiscarded, Reason::kStaleBase);
          DiscardIfUnused(g, actions);
        }
    }
    actions.emplace_back(Response{confirm->request_id, confirm->generation, reason});
  } else if (auto* revert = std::get_if<RevertRequest>(&event)) {
    std::uint64_t previous_token = fencing_token_;
    Reason reason = CheckFencingToken(revert->fencing_token);
    if (fencing_token_ != previous_token)
      Persist(actions);
    if (reason == Reason::kNone) {
      GenerationEntry* entry = FindGeneration(revert->generation);
      if (revert->generation == active_ && lease_ends_at_ > 0) {
        RevertChange(Reason::kOperatorRequest, actions);
      } else if (entry && !entry->has_requests && revert->generation != confirmed_) {
        AddHistory(revert->generation, GenerationState::kDiscarded, Reason::kOperatorRequest);
        DiscardIfUnused(revert->generation, actions);
      } else {
        reason = Reason::kUnknownGeneration;
      }
    }
    actions.emplace_back(Response{revert->request_id, revert->generation, reason});
  } else if (auto* alarm = std::get_if<MonitorAlarm>(&event)) {
    if (alarm->generation == active_ && lease_ends_at_ > 0)
      RevertChange(Reason::kMonitorAlarm, actions);
  } else if (auto* released = std::get_if<GenerationReleased>(&event)) {
    if (GenerationEntry* entry = FindGeneration(released->generation);
        entry && released->generation != active_) {
      entry->has_requests = false;
      if (released->generation != confirmed_)
        DiscardIfUnused(released->generation, actions);
    }
  }
  return actions;
}

}  // namespace dunlinwick::changes
