// Consequences of a status: the lease holder's repairs and rollouts within each zone's limits, the
// alarm and ejections; and, at each front, carrying out a repair.
#include <algorithm>

#include "drift/inner.hpp"

namespace dunlinwick::drift {

using Impl = Drift::Impl;

bool Impl::IsLeaseHolder() const {
  if (own_token == 0 || own_token < highest_token)
    return false;
  auto ejection = ejections.find(self);
  return ejection == ejections.end() || !ejection->second.on;
}

// Whether `zone` can do without `front` during a repair. A front counts as serving if its status is
// known, it is not under repair and no field that can break an invariant stops it.
bool Impl::ZoneCanSpare(int zone, Id front) const {
  std::size_t zone_size = 0, serving_count = 0;
  bool was_serving = false;
  for (const auto& [id, front_zone] : zone_of) {
    if (front_zone != zone)
      continue;
    ++zone_size;
    auto state = states.find(id);
    auto repair = ongoing_repairs.find(id);
    bool is_serving = state != states.end() && state->second.status != DriftStatus::kUnknown &&
                      (repair == ongoing_repairs.end() || repair->second.observe_until != kNever);
    if (is_serving && IsDeviating(state->second.status))
      is_serving =
          std::none_of(state->second.fields.begin(), state->second.fields.end(),
                       [](const Difference& d) { return d.impact == FieldImpact::kInvariant; });
    if (id == front)
      was_serving = is_serving;
    else
      serving_count += is_serving;
  }
  return !was_serving || static_cast<double>(serving_count) >=
                             settings.min_serving_share * static_cast<double>(zone_size);
}

void Impl::CheckShareRise(Id from, Ms now) {
  auto repair = ongoing_repairs.find(from);
  if (repair == ongoing_repairs.end())
    return;
  const Observation& observation = observations[from];
  if (!repair->second
           .has_baseline) {  // the first report after the repair request predates the change
    repair->second.has_baseline = true;
    repair->second.failed_share = observation.failed_share;
    repair->second.rejected_share = observation.rejected_share;
    return;
  }
  double rise = std::max(observation.failed_share - repair->second.failed_share,
                         observation.rejected_share - repair->second.rejected_share);
  if (rise <= settings.alarm_threshold || stopped_at >= repair->second.version)
    return;
  Version repaired_version = repair->second.version;
  stopped_at = repaired_version;
  for (const auto& [front, target] : targets)
    stopped_at = std::max(stopped_at, target.version);
  actions.push_back(RepairsStopped{"the share of failed or rejected requests rose by " +
                                   FormatNumber(rise) + " at front " + std::to_string(from) +
                                   " after it was asked to apply version " +
                                   std::to_string(repaired_version)});
  (void)now;
}

void Impl::UpdateRepairs(Ms now) {
  if (!IsLeaseHolder()) {
    ongoing_repairs.clear();
    return;
  }
  // Continue or finish the ongoing repairs.
  for (auto it = ongoing_repairs.begin(); it != ongoing_repairs.end();) {
    OngoingRepair& repair = it->second;
    const FrontState& state = states[it->first];
    const Observation& observation = observations[it->first];
    bool is_applied = observation.observed_at > repair.first_sent &&
                      observation.version >= repair.version &&
                      assessments[it->first] == DriftStatus::kInSync;
    if (repair.observe_until == kNever && is_applied)
      repair.observe_until = now + settings.observation_period;
    bool is_observed = repair.observe_until != kNever && now >= repair.observe_until;
    bool has_timed_out =
        repair.observe_until == kNever && now >= repair.first_sent + settings.repair_timeout;
    // Its slot is held until the front reports again or is taken for gone, since it may still be
    // out of service; and at least for as long as a late repair request may still arrive (twice
    // repair_timeout) and wait at the front for the approval.
    bool has_reported = (observation.observed_at > repair.first_sent + settings.repair_timeout ||
                         state.status == DriftStatus::kUnknown) &&
                        now >= repair.last_sent + 2.5 * settings.repair_timeout;
    if (has_timed_out && has_reported) {
      RepairAttempts& attempts = repair_attempts[it->first];
      ++attempts.count;
      attempts.not_before = now + settings.repair_timeout * attempts.count;
    }
    if (is_observed || (has_timed_out && has_reported)) {
      it = ongoing_repairs.erase(it);
      continue;
    }
    if (repair.observe_until == kNever && now - repair.last_sent >= 2 * settings.round &&
        now - repair.first_sent < settings.repair_timeout / 2) {
      repair.last_sent = now;
      actions.push_back(Repair{it->first, own_token, repair.version, repair.changed_sequence});
    }
    ++it;
  }
  Version newest = 0;
  for (const auto& [front, target] : targets)
    newest = std::max(newest, target.version);
  if (stopped_at != 0 && newest <= stopped_at)
    return;
  if (now - lease_since < 2.5 * settings.repair_timeout)
    return;  // the previous lease holder may have repairs ongoing
  std::map<int, int> repairs_of_zone;
  for (const auto& [front, repair] : ongoing_repairs)
    ++repairs_of_zone[zone_of.at(front)];
  for (bool repairing_drift : {true, false})  // drifted fronts first, then the rollout
    for (Id front : ids) {
      const FrontState& state = states[front];
      // Unapproved and forked: the front's copy of the record is wrong, not its memory. An operator
      // has to make it read the record again from scratch.
      if (state.status != (repairing_drift ? DriftStatus::kDrifted : DriftStatus::kConverging))
        continue;
      if (ongoing_repairs.count(front) != 0)
        continue;
      auto target = targets.find(front);
      if (target == targets.end() || target->second.version == 0)
        continue;
      const Observation& observation = observations[front];
      if (observation.active_digest == target->second.digest)
        continue;
      // A version that is unknown here: this front's copy of the record is behind and must not undo
      // a newer approval.
      if (!repairing_drift && observation.version > target->second.version)
        continue;
      RepairAttempts& attempts = repair_attempts[front];
      if (attempts.version != target->second.version ||
          attempts.changed_sequence != observation.changed_sequence)
        attempts = {target->second.version, observation.changed_sequence, 0, kNever};
      if (attempts.count >= 3 || now < attempts.not_before)
        continue;
      int zone = zone_of.at(front);
      if (repairs_of_zone[zone] >= settings.max_concurrent_repairs || !ZoneCanSpare(zone, front))
        continue;
      ++repairs_of_zone[zone];
      ongoing_repairs[front] = {
          target->second.version, observation.changed_sequence, now, now, kNever, false, 0, 0};
      actions.push_back(
          Repair{front, own_token, target->second.version, observation.changed_sequence});
    }
}

void Impl::UpdateEjections(Ms now) {
  if (!IsLeaseHolder())
    return;
  std::size_t ejected_count = 0;
  for (const auto& [front, ejection] : ejections)
    ejected_count += ejection.on;
  for (Id front : ids) {
    EjectionState& ejection = ejections[front];
    auto times = drift_times.find(front);
    if (!ejection.on) {
      bool drifts_often =
          times != drift_times.end() &&
          times->second.size() >= static_cast<std::size_t>(settings.ejection_drift_count) &&
          now - times->second.front() <= settings.ejection_window;
      // At most a quarter of the fronts: more at once is not the fault of single fronts.
      if (!drifts_often || ejected_count >= std::max<std::size_t>(1, ids.size() / 4))
        continue;
      ejection = {own_token, ejection.count + 1, true, now};
      ++ejected_count;
      actions.push_back(SetEjected{
          front, true, "drifted " + std::to_string(settings.ejection_drift_count) + " times"});
    } else if (states[front].status == DriftStatus::kInSync &&
               now - std::max(ejection.since, states[front].since) >= settings.ejection_window) {
      ejection = {own_token, ejection.count + 1, false, now};
      --ejected_count;
      if (times != drift_times.end())
        times->second.clear();
      actions.push_back(SetEjected{
          front, false, "in step for " + FormatNumber(settings.ejection_window / 1000) + " s"});
    }
  }
}

std::vector<Action> Impl::HandleRepair(Ms now, Id from, const Repair& r) {
  actions.clear();
  if (r.front != self || r.token == 0 || r.token < highest_token)
    return {};  // from a previous lease holder
  highest_token = r.token;
  reply_to = from;
  reply_until = now + settings.repair_timeout + settings.observation_period;
  // Reports the request shares before the change, as the baseline for the alarm.
  if (from != self && observations[self].sequence != 0)
    actions.push_back(SendActiveReport{from, MakeReport(false)});
  if (r.version < version)
    return std::exchange(actions, {});  // that version is no longer approved
  if (r.changed_sequence != changed_sequence)
    return std::exchange(
        actions,
        {});  // late, or the content changed since: the lease holder learns of it and sends another
  pending_repair = r;
  pending_until = now + settings.repair_timeout / 2;
  ApplyPendingRepair(now);
  return std::exchange(actions, {});
}

void Impl::ApplyPendingRepair(Ms now) {
  if (!pending_repair)
    return;
  if (now > pending_until || pending_repair->version < version ||
      pending_repair->token < highest_token) {
    pending_repair.reset();
    return;
  }
  if (pending_repair->version != version || !approval)
    return;  // the approval has not arrived yet
  Token token = pending_repair->token;
  pending_repair.reset();
  if (has_active_configuration && Digest(GovernedSections()) == Digest(approval->configuration))
    return;
  actions.push_back(ApplyApproval{version, approval->configuration, token});
}

}  // namespace dunlinwick::drift
