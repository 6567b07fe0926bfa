// Handles the events of Drift, runs one round, and builds the reports that are sent to other
// fronts.
#include <algorithm>
#include <cmath>

#include "drift/inner.hpp"

namespace dunlinwick::drift {

using Impl = Drift::Impl;

namespace {

std::string EncodeBits(const std::vector<bool>& from) {
  std::string to;
  for (std::size_t i = 0; i < from.size(); ++i) {
    if (!from[i])
      continue;
    to.resize(i / 8 + 1, '\0');
    to[i / 8] = static_cast<char>(static_cast<unsigned char>(to[i / 8]) | 1u << (i % 8));
  }
  return to;
}
ActiveReport::Ballot EncodeBits(const Impl::Ballot& from) {
  return {from.token, EncodeBits(from.votes), EncodeBits(from.withdrawals)};
}

}  // namespace

Impl::Impl(Id id, std::map<Id, int> zones, FieldImpactMap field_impacts,
           DriftSettings drift_settings, std::uint64_t seed, Ms now, PersistedMinimums persisted)
    : self(id),
      zone_of(std::move(zones)),
      impacts(std::move(field_impacts)),
      settings(drift_settings),
      random(static_cast<std::uint32_t>(seed ^ seed >> 32)),
      sequence(std::uint64_t{persisted.incarnation} << 32),
      highest_token(persisted.token) {
  for (const auto& [front, zone] : zone_of) {
    if (ids.size() < kMaxFronts)
      ids.push_back(front);
    states[front];
    assessments[front];
  }
  next_round = now + std::uniform_real_distribution<double>(0, settings.round)(random);
}

ActiveReport Impl::MakeReport(bool full) {
  ActiveReport report;
  const Observation& observation = observations[self];
  report.version = observation.version;
  report.active_digest = observation.active_digest;
  report.approved_digest = observation.approved_digest;
  report.sequence = observation.sequence;
  report.changed_sequence = observation.changed_sequence;
  report.failed_share = failed_share;
  report.rejected_share = rejected_share;
  report.token = highest_token;
  report.stopped_at = stopped_at;
  if (!full)
    return report;
  // New reports first, those sent least often before the others; then the rest in rotation, so that
  // every front's report is refreshed.
  int limit = 4 * static_cast<int>(std::ceil(std::log10(static_cast<double>(ids.size()) + 1)));
  std::vector<Id> selected;
  for (Id id : ids)
    if (id != self && observations[id].observed_at != kNever &&
        observations[id].transmissions < limit)
      selected.push_back(id);
  std::stable_sort(selected.begin(), selected.end(), [&](Id ejection, Id b) {
    return observations[ejection].transmissions < observations[b].transmissions;
  });
  if (selected.size() > kMaxRelayedReports)
    selected.resize(kMaxRelayedReports);
  for (std::size_t i = 0; i < ids.size() && selected.size() < kMaxRelayedReports; ++i) {
    Id id = ids[(next_relayed_report + i) % ids.size()];
    if (id == self || observations[id].observed_at == kNever ||
        std::find(selected.begin(), selected.end(), id) != selected.end())
      continue;
    selected.push_back(id);
    if (selected.size() == kMaxRelayedReports)
      next_relayed_report = (next_relayed_report + i + 1) % ids.size();
  }
  for (Id id : selected) {
    Observation& relayed = observations[id];
    ++relayed.transmissions;
    report.relayed_reports.push_back({id, relayed.sequence, relayed.version, relayed.active_digest,
                                      relayed.approved_digest, relayed.changed_sequence});
  }
  std::vector<std::pair<Id, const Suspicion*>> all_suspicions;
  for (const auto& [front, list] : suspicions)
    for (const Suspicion& suspicion : list)
      all_suspicions.push_back({front, &suspicion});
  for (std::size_t i = 0; i < all_suspicions.size() && report.suspicions.size() < kMaxSuspicions;
       ++i) {
    const auto& [front, suspicion] = all_suspicions[(next_suspicion + i) % all_suspicions.size()];
    report.suspicions.push_back({front, static_cast<std::uint8_t>(suspicion->status),
                                 suspicion->changed_sequence, suspicion->target_version,
                                 suspicion->window, EncodeBits(suspicion->newest),
                                 EncodeBits(suspicion->before), suspicion->fields});
  }
  if (!all_suspicions.empty())
    next_suspicion = (next_suspicion + report.suspicions.size()) % all_suspicions.size();
  for (const auto& [front, ejection] : ejections)
    if (ejection.token != 0 && report.ejections.size() < 32)
      report.ejections.push_back({front, ejection.token, ejection.count, ejection.on});
  return report;
}

void Impl::SendReports(Ms now) {
  for (int k = 0; k < settings.fanout && ids.size() > 1; ++k) {
    if (send_order.empty()) {
      for (Id id : ids)
        if (id != self)
          send_order.push_back(id);
      std::shuffle(send_order.begin(), send_order.end(), random);
    }
    Id to = send_order.back();
    send_order.pop_back();
    actions.push_back(SendActiveReport{to, MakeReport(true)});
  }
  if (reply_to != 0 && reply_to != self && now < reply_until)
    actions.push_back(SendActiveReport{reply_to, MakeReport(false)});
}

// Details are requested by the lease holder, and by the three fronts that follow the suspect in the
// order of ids; all others get the fields with their votes.
void Impl::RequestDetails(Ms now) {
  std::size_t count = ids.size(), own_index = Index(self);
  for (Id front : ids) {
    if (front == self || !IsDeviating(assessments[front]))
      continue;
    std::size_t distance = (own_index + count - Index(front)) % count;
    if (!IsLeaseHolder() && distance > 3)
      continue;
    auto found = suspicions.find(front);
    bool has_fields =
        found != suspicions.end() &&
        std::any_of(found->second.begin(), found->second.end(),
                    [](const Suspicion& suspicion) { return !suspicion.fields.empty(); });
    const auto& target = targets[front];
    if (has_fields || target.configuration == nullptr)
      continue;
    DetailRequest& request = detail_requests[front];
    if (request.changed_sequence != observations[front].changed_sequence)
      request = {observations[front].changed_sequence, 0, kNever};
    if (request.attempts >= 10 || now - request.sent_at < 2 * settings.round)
      continue;
    ++request.attempts;
    request.sent_at = now;
    ActiveReport report = MakeReport(false);
    report.request_details = true;
    actions.push_back(SendActiveReport{front, std::move(report)});
  }
}

void Impl::AnswerDetailRequest(Id to, const ActiveReport& request) {
  ActiveReport report = MakeReport(false);
  if (request.requested_sections.empty()) {
    for (const auto& [name, section] : active_configuration)
      if (report.sections.size() < 32)
        report.sections[name] = Digest(section);
  } else {
    for (const std::string& name : request.requested_sections)
      if (auto found = active_configuration.find(name); found != active_configuration.end())
        report.section_contents.insert(*found);
  }
  actions.push_back(SendActiveReport{to, std::move(report)});
}

void Impl::HandleDetails(Id from, const ActiveReport& report) {
  const Target& target = targets[from];
  if (target.configuration == nullptr || !IsDeviating(assessments[from]))
    return;
  std::vector<Difference> fields;
  if (!report.sections.empty()) {
    ActiveReport request = MakeReport(false);
    request.request_details = true;
    for (const auto& [name, section] : *target.configuration) {
      auto found = report.sections.find(name);
      if (found == report.sections.end())
        fields.push_back({{name, "*"},
                          "(absent)",
                          "(approved)",
                          FindDifferences({}, {{name, section}}, impacts).empty()
                              ? FieldImpact::kNone
                              : FieldImpact::kCapacity});
      else if (found->second != Digest(section) && request.requested_sections.size() < 8)
        request.requested_sections.push_back(name);
    }
    if (!request.requested_sections.empty())
      actions.push_back(SendActiveReport{from, std::move(request)});
  } else if (!report.section_contents.empty()) {
    CanonicalConfiguration approved;
    for (const auto& [name, section] : report.section_contents)
      if (auto found = target.configuration->find(name); found != target.configuration->end())
        approved.insert(*found);
    fields = FindDifferences(report.section_contents, approved, impacts);
  }
  if (fields.empty())
    return;
  // Fields that can break an invariant first, since not all fit.
  std::stable_sort(fields.begin(), fields.end(),
                   [](const Difference& a, const Difference& b) { return a.impact > b.impact; });
  if (fields.size() > 4)
    fields.resize(4);
  if (auto suspected = suspicions.find(from); suspected != suspicions.end())
    for (Suspicion& suspicion : suspected->second)
      if (suspicion.fields.empty() &&
          suspicion.changed_sequence == observations[from].changed_sequence)
        suspicion.fields = fields;
}

Drift::Drift(Id self, std::map<Id, int> zone_of, FieldImpactMap impacts, DriftSettings settings,
             std::uint64_t seed, Ms now, PersistedMinimums persisted)
    : impl_(std::make_shared<Impl>(self, std::move(zone_of), std::move(impacts), settings, seed,
                                   now, persisted)) {}
Drift::~Drift() = default;

std::vector<Action> Drift::Handle(Ms now, const Event& event) {
  Impl& impl = *impl_;
  impl.actions.clear();
  if (auto* e = std::get_if<ActiveConfigurationChanged>(&event)) {
    impl.active_configuration = e->configuration;
    impl.has_active_configuration = true;
  } else if (auto* e = std::get_if<ApprovalUpdated>(&event)) {
    if (e->version < impl.version)
      return {};
    if (impl.approval && e->version != impl.version) {
      impl.previous_digests.push_back(Digest(impl.approval->configuration));
      if (impl.previous_digests.size() > 16)
        impl.previous_digests.pop_front();
    }
    impl.version = e->version;
    impl.approval = e->approval;
    impl.ApplyPendingRepair(now);
  } else if (auto* e = std::get_if<FrontApprovalUpdated>(&event)) {
    if (impl.zone_of.count(e->front) == 0)
      return {};
    Impl::Target& target = impl.targets[e->front];
    if (e->version < target.version)
      return {};
    if (e->version == target.version) {  // repeated: its deadline is not extended
      target.digest = e->digest;
      if (e->configuration)
        target.configuration = e->configuration;
      return {};
    }
    if (target.version != 0) {
      target.previous.push_back({target.version, target.digest});
      if (target.previous.size() > 16)
        target.previous.pop_front();
    }
    double remaining = e->apply_deadline - e->unix_now;
    if (!std::isfinite(remaining))
      remaining = 0;
    target.version = e->version;
    target.digest = e->digest;
    target.configuration = e->configuration;
    target.deadline = now + std::clamp(remaining, impl.settings.min_convergence_time,
                                       std::max(impl.settings.min_convergence_time,
                                                impl.settings.max_convergence_time));
    impl.Prune(e->front);
  } else if (auto* e = std::get_if<ReportReceived>(&event)) {
    if (impl.zone_of.count(e->from) == 0 || e->from == impl.self)
      return {};
    const ActiveReport& report = e->report;
    impl.highest_token = std::max(impl.highest_token, report.token);
    impl.stopped_at = std::max(impl.stopped_at, report.stopped_at);
    if (report.sequence != 0)
      impl.MergeReport(e->from, report.sequence, report.version, report.active_digest,
                       report.approved_digest, report.changed_sequence, now);
    Impl::Observation& observation = impl.observations[e->from];
    observation.received_at = now;
    observation.failed_share = report.failed_share;
    observation.rejected_share = report.rejected_share;
    for (const auto& relayed : report.relayed_reports)
      if (relayed.front == impl.self)
        impl.AdvanceSequencePast(relayed.sequence);
    for (const auto& relayed : report.relayed_reports)
      if (relayed.front != impl.self && relayed.sequence != 0 &&
          impl.zone_of.count(relayed.front) != 0)
        impl.MergeReport(relayed.front, relayed.sequence, relayed.version, relayed.active_digest,
                         relayed.approved_digest, relayed.changed_sequence, now);
    for (const auto& suspicion : report.suspicions)
      impl.MergeSuspicion(suspicion, now);
    for (const auto& ejection : report.ejections) {
      if (impl.zone_of.count(ejection.front) == 0)
        continue;
      auto& known = impl.ejections[ejection.front];
      if (std::pair(ejection.token, ejection.count) <= std::pair(known.token, known.count))
        continue;
      bool has_changed = ejection.on != known.on;
      known = {ejection.token, ejection.count, ejection.on, now};
      if (has_changed)
        impl.actions.push_back(
            SetEjected{ejection.front, ejection.on,
                       "by the lease holder with token " + std::to_string(ejection.token)});
    }
    impl.CheckShareRise(e->from, now);
    if (report.request_details)
      impl.AnswerDetailRequest(e->from, report);
    if (!report.sections.empty() || !report.section_contents.empty())
      impl.HandleDetails(e->from, report);
  } else if (auto* e = std::get_if<LeaseUpdated>(&event)) {
    if (e->token != 0 && e->token != impl.own_token)
      impl.lease_since = now;
    impl.own_token = e->token;
    impl.highest_token = std::max(impl.highest_token, e->token);
  } else if (auto* e = std::get_if<RequestShares>(&event)) {
    impl.failed_share = std::clamp(e->failed_share, 0.0, 1.0);
    impl.rejected_share = std::clamp(e->rejected_share, 0.0, 1.0);
    Impl::Observation& observation = impl.observations[impl.self];
    observation.failed_share = impl.failed_share;
    observation.rejected_share = impl.rejected_share;
    impl.CheckShareRise(impl.self, now);
  } else if (std::holds_alternative<Tick>(event)) {
    if (now < impl.next_round || !impl.has_active_configuration)
      return {};
    impl.next_round = now - impl.next_round > impl.settings.round
                          ? now + impl.settings.round
                          : impl.next_round + impl.settings.round;
    impl.ApplyPendingRepair(now);
    impl.UpdateOwnReport(now, true);
    impl.EvaluateFronts(now);
    impl.PublishStates(now);
    impl.UpdateServingPermission(now);
    impl.UpdateEjections(now);
    impl.UpdateRepairs(now);
    impl.RequestDetails(now);
    impl.SendReports(now);
  }
  return std::exchange(impl.actions, {});
}

std::vector<Action> Drift::HandleRepair(Ms now, Id from, const Repair& r) {
  return impl_->HandleRepair(now, from, r);
}

const std::map<Id, Drift::FrontState>& Drift::FrontStates() const {
  return impl_->states;
}
bool Drift::ejected(Id front) const {
  auto ejection = impl_->ejections.find(front);
  return ejection != impl_->ejections.end() && ejection->second.on;
}
bool Drift::may_serve() const {
  return impl_->serving_allowed;
}
bool Drift::stopped() const {
  Version newest = 0;
  for (const auto& [front, target] : impl_->targets)
    newest = std::max(newest, target.version);
  return impl_->stopped_at != 0 && newest <= impl_->stopped_at;
}
Token Drift::token() const {
  return impl_->highest_token;
}
Ms Drift::WakeAt() const {
  return impl_->next_round;
}

}  // namespace dunlinwick::drift
