// Evidence and statuses: what each front reports of itself, this front's assessment of it, votes,
// and what a quorum or the lease holder holds.
#include <algorithm>
#include <cmath>

#include "drift/inner.hpp"

namespace dunlinwick::drift {

using Impl = Drift::Impl;

namespace {

// Rounds until a report of one front has reached all others: each front that has it sends it to
// `fanout` fronts a round, and the last few are reached by chance.
double SpreadRounds(const DriftSettings& settings) {
  double fronts = static_cast<double>(std::max<std::size_t>(2, settings.fronts)),
         fanout = std::max(1, settings.fanout);
  return std::ceil(std::log(fronts) / std::log(1 + fanout)) + std::ceil(std::log(fronts) / fanout) +
         2;
}

constexpr std::size_t kMaxSuspicionsPerFront = 4, kMinVotingWindow = 64;

void Add(const std::string& from, std::vector<bool>& to) {
  for (std::size_t i = 0; i < to.size() && i / 8 < from.size(); ++i)
    if (static_cast<unsigned char>(from[i / 8]) >> (i % 8) & 1)
      to[i] = true;
}
void Add(const ActiveReport::Ballot& from, Impl::Ballot& to) {
  to.token = std::max(to.token, from.token);
  Add(from.votes, to.votes);
  Add(from.withdrawals, to.withdrawals);
}

}  // namespace

// The change is in the next report (1 round), has to last for `stable_rounds` reports and spreads;
// then votes are cast and spread as well (1 more round for the phase of the rounds).
Ms DetectionBound(const DriftSettings& settings) {
  return (2 * SpreadRounds(settings) + settings.stable_rounds + 2) * settings.round;
}
// A share of the datagrams of both spreads is lost: the number of fronts reached grows by the
// factor 1 + fanout * (1 - loss) a round.
Ms LossAllowance(const DriftSettings& settings, double loss) {
  double fronts = static_cast<double>(std::max<std::size_t>(2, settings.fronts)),
         fanout = std::max(1, settings.fanout),
         effective_fanout = fanout * (1 - std::min(loss, 0.9));
  double added_rounds = std::log(fronts) / std::log(1 + effective_fanout) -
                        std::log(fronts) / std::log(1 + fanout) +
                        std::log(fronts) / effective_fanout - std::log(fronts) / fanout;
  return loss <= 0 ? 0 : (2 * std::ceil(added_rounds) + std::ceil(4 * loss)) * settings.round;
}
std::uint64_t VotingWindow(std::uint64_t sequence, std::uint64_t changed_sequence,
                           std::size_t fronts) {
  return (sequence - std::min(sequence, changed_sequence)) / std::max(kMinVotingWindow, fronts);
}
// Each front reports once a round and relays 32 reports of the others, so that the latest report
// known of a front is older the more fronts there are.
Ms SilenceTimeout(const DriftSettings& settings) {
  return settings.silence_timeout + settings.round * static_cast<double>(settings.fronts) / 8;
}

std::size_t Impl::Index(Id front) const {
  return static_cast<std::size_t>(std::lower_bound(ids.begin(), ids.end(), front) - ids.begin());
}

CanonicalConfiguration Impl::GovernedSections() const {
  if (!approval)
    return active_configuration;
  CanonicalConfiguration out;
  for (const auto& [name, section] : approval->configuration)
    if (auto it = active_configuration.find(name); it != active_configuration.end())
      out.insert(*it);
  return out;
}

std::vector<Difference> Impl::OwnDifferences() const {
  return approval ? FindDifferences(active_configuration, approval->configuration, impacts)
                  : std::vector<Difference>{};
}

void Impl::UpdateOwnReport(Ms now, bool new_round) {
  if (new_round)
    ++sequence;
  Observation& observation = observations[self];
  std::uint64_t active_digest = Digest(GovernedSections()),
                approved_digest = approval ? Digest(approval->configuration) : 0;
  // A change within a round is reported from the next number on, so that no number stands for two
  // contents.
  if (!new_round && observation.sequence != 0)
    return;
  if (observation.sequence == 0 || sequence_advanced ||
      active_digest != observation.active_digest ||
      approved_digest != observation.approved_digest || version != observation.version)
    changed_sequence = sequence;
  sequence_advanced = false;
  MergeReport(self, sequence, version, active_digest, approved_digest, changed_sequence, now);
}

// Reports are numbered from the clock's reading at the start. After a restart with the clock set
// back, the other fronts would take this front's earlier reports for the newer ones and ignore its
// reports until the clock has caught up. As a SWIM member does with its incarnation, this front
// continues above the highest number that is reported of it; its next report counts as changed,
// whatever it reported before.
void Impl::AdvanceSequencePast(std::uint64_t known) {
  constexpr std::uint64_t kMaxSequence =
      ~std::uint64_t{0} -
      (std::uint64_t{1} << 40);  // leaves room for later reports; a number above it is an error
  if (known <= sequence || known > kMaxSequence)
    return;
  sequence = known + 1;
  sequence_advanced = true;
}

void Impl::MergeReport(Id front, std::uint64_t new_sequence, Version new_version,
                       std::uint64_t active_digest, std::uint64_t approved_digest,
                       std::uint64_t new_changed_sequence, Ms now) {
  Observation& observation = observations[front];
  if (new_sequence <= observation.sequence && observation.observed_at != kNever)
    return;
  auto min_age = static_cast<std::uint64_t>(std::max(1, settings.stable_rounds) - 1);
  bool content_changed = observation.observed_at == kNever ||
                         new_changed_sequence != observation.changed_sequence,
       became_stable = new_sequence - new_changed_sequence >= min_age &&
                       observation.sequence - observation.changed_sequence < min_age;
  if (content_changed)
    observation.changed_at = now;
  if (content_changed || became_stable)
    observation.transmissions = 0;
  if (new_version != observation.version || observation.observed_at == kNever)
    observation.version_since = now;
  observation.sequence = new_sequence;
  observation.version = new_version;
  observation.active_digest = active_digest;
  observation.approved_digest = approved_digest;
  observation.changed_sequence = new_changed_sequence;
  observation.observed_at = now;
  if (content_changed)
    Prune(front);
}

void Impl::Prune(Id front) {
  auto found = suspicions.find(front);
  if (found == suspicions.end())
    return;
  auto observation = observations.find(front);
  auto target = targets.find(front);
  std::erase_if(found->second, [&](const Suspicion& suspicion) {
    return (observation != observations.end() && observation->second.observed_at != kNever &&
            suspicion.changed_sequence < observation->second.changed_sequence) ||
           (target != targets.end() && suspicion.target_version < target->second.version);
  });
  if (found->second.empty())
    suspicions.erase(found);
}

void Impl::MergeSuspicion(const ActiveReport::Suspicion& suspicion, Ms now) {
  (void)now;
  if (zone_of.count(suspicion.front) == 0 ||
      !IsDeviating(static_cast<DriftStatus>(suspicion.status)))
    return;
  auto observation = observations.find(suspicion.front);
  if (observation != observations.end() && observation->second.observed_at != kNever &&
      suspicion.changed_sequence < observation->second.changed_sequence)
    return;
  if (auto target = targets.find(suspicion.front);
      target != targets.end() && suspicion.target_version < target->second.version)
    return;
  std::vector<Suspicion>& list = suspicions[suspicion.front];
  auto existing = std::find_if(list.begin(), list.end(), [&](const Suspicion& other) {
    return other.changed_sequence == suspicion.changed_sequence &&
           other.target_version == suspicion.target_version &&
           static_cast<std::uint8_t>(other.status) == suspicion.status;
  });
  if (existing == list.end()) {
    if (list.size() >= kMaxSuspicionsPerFront) {  // replaces the oldest
      auto oldest =
          std::min_element(list.begin(), list.end(), [](const Suspicion& x, const Suspicion& y) {
            return std::pair(x.changed_sequence, x.target_version) <
                   std::pair(y.changed_sequence, y.target_version);
          });
      if (std::pair(oldest->changed_sequence, oldest->target_version) >=
          std::pair(suspicion.changed_sequence, suspicion.target_version))
        return;
      list.erase(oldest);
    }
    Ballot none{0, std::vector<bool>(ids.size()), std::vector<bool>(ids.size())};
    list.push_back({static_cast<DriftStatus>(suspicion.status),
                    suspicion.changed_sequence,
                    suspicion.target_version,
                    suspicion.window,
                    none,
                    none,
                    {}});
    existing = list.end() - 1;
  }
  // Takes the union of both sides' votes for each window and keeps the two newest windows. The
  // result is the same in any order of arrival, and for duplicates.
  if (suspicion.window > existing->window) {
    Ballot none{0, std::vector<bool>(ids.size()), std::vector<bool>(ids.size())};
    existing->before =
        suspicion.window - existing->window == 1 ? std::move(existing->newest) : none;
    existing->newest = none;
    existing->window = suspicion.window;
  }
  if (suspicion.window == existing->window) {
    Add(suspicion.newest, existing->newest);
    Add(suspicion.before, existing->before);
  } else if (existing->window - suspicion.window == 1)
    Add(suspicion.newest, existing->before);
  if (existing->fields.empty())
    existing->fields = suspicion.fields;
}

// A withdrawal overrides the votes of its window and of the one before; a vote of a later window
// overrides the withdrawal.
bool Impl::Suspicion::Counts(std::size_t i) const {
  return !newest.withdrawals[i] && (newest.votes[i] || (before.votes[i] && !before.withdrawals[i]));
}

DriftStatus Impl::Evaluate(Id front, Ms now) const {
  auto target_row = targets.find(front);
  auto observation_row = observations.find(front);
  if (target_row == targets.end() || target_row->second.version == 0 ||
      observation_row == observations.end() || observation_row->second.observed_at == kNever)
    return DriftStatus::kUnknown;
  const Target& target = target_row->second;
  const Observation& observation = observation_row->second;
  if (front != self && now - observation.observed_at > SilenceTimeout(settings))
    return DriftStatus::kUnknown;
  if (observation.version == target.version && observation.approved_digest != target.digest)
    return DriftStatus::kForked;
  if (observation.active_digest == target.digest)
    return DriftStatus::kInSync;
  // This front's copy of the record may be the one that is behind; or the other front has just
  // started and has received no approval yet.
  if (observation.version > target.version)
    return now - observation.version_since > settings.max_record_lag ? DriftStatus::kUnapproved
                                                                     : DriftStatus::kConverging;
  if (observation.version == 0 && now - observation.version_since <= settings.max_record_lag)
    return DriftStatus::kConverging;
  if (observation.version != 0 && observation.version < target.version &&
      !target.previous.empty() && observation.version > target.previous.front().version) {
    bool was_approved = std::any_of(
        target.previous.begin(), target.previous.end(),
        [&](const PreviousApproval& previous) { return previous.version == observation.version; });
    if (!was_approved)
      return DriftStatus::kUnapproved;
  }
  if (now < target.deadline)
    return DriftStatus::kConverging;
  if (observation.observed_at <= target.deadline)
    return DriftStatus::kConverging;  // no report since the deadline
  return DriftStatus::kDrifted;
}

std::size_t Impl::Quorum() const {
  if (settings.quorum != 0)
    return settings.quorum;
  std::size_t ejected_count = 0;
  for (const auto& [front, ejection] : ejections)
    ejected_count += ejection.on;
  return (ids.size() - std::min(ejected_count, ids.size() - 1)) / 2 + 1;
}

// Forked and unapproved imply drifted: votes for them count for drifted too, so that the vote is
// not split between fronts that can tell them apart and fronts that know too little of earlier
// approvals.
DriftStatus Impl::CommonStatus(Id front, Suspicion** suspicion) {
  auto found = suspicions.find(front);
  if (found == suspicions.end())
    return DriftStatus::kUnknown;
  auto observation = observations.find(front);
  auto target = targets.find(front);
  DriftStatus best = DriftStatus::kUnknown;
  std::pair<std::uint64_t, Version> newest{0, 0};
  for (const Suspicion& candidate : found->second)
    newest = std::max(newest, {candidate.changed_sequence, candidate.target_version});
  std::vector<bool> has_vote(ids.size());
  bool has_lease_holder_vote = false;
  for (Suspicion& candidate : found->second) {
    if (std::pair(candidate.changed_sequence, candidate.target_version) != newest)
      continue;
    if (observation != observations.end() &&
        candidate.changed_sequence < observation->second.changed_sequence)
      continue;
    if (target != targets.end() && candidate.target_version < target->second.version)
      continue;
    std::size_t votes = 0;
    for (std::size_t i = 0; i < ids.size(); ++i) {
      if (!candidate.Counts(i))
        continue;
      auto ejection = ejections.find(ids[i]);
      if (ejection != ejections.end() && ejection->second.on)
        continue;
      has_vote[i] = true;
      ++votes;
    }
    Token token = std::max(candidate.newest.token, candidate.before.token);
    bool by_lease_holder = token != 0 && token == highest_token;
    has_lease_holder_vote |= by_lease_holder;
    if (suspicion != nullptr && (*suspicion == nullptr || !candidate.fields.empty()))
      *suspicion = &candidate;
    if ((votes >= Quorum() || by_lease_holder) && candidate.status > best)
      best = candidate.status;
  }
  if (best == DriftStatus::kUnknown &&
      static_cast<std::size_t>(std::count(has_vote.begin(), has_vote.end(), true)) >= Quorum())
    best = DriftStatus::kDrifted;
  return best;
}

void Impl::EvaluateFronts(Ms now) {
  auto min_age = static_cast<std::uint64_t>(std::max(1, settings.stable_rounds) - 1);
  for (Id front : ids) {
    Prune(front);
    DriftStatus status = Evaluate(front, now);
    DriftStatus& assessment = assessments[front];
    auto observation = observations.find(front);
    bool is_stable = observation != observations.end() &&
                     observation->second.observed_at != kNever &&
                     observation->second.sequence - observation->second.changed_sequence >= min_age;
    if (status != DriftStatus::kUnknown && !is_stable)
      continue;  // not reported in enough consecutive rounds: the assessment stays
    assessment = status;
    if (auto found = suspicions.find(front); found != suspicions.end() &&
                                             assessment != DriftStatus::kUnknown &&
                                             !IsDeviating(assessment))
      for (Suspicion& suspicion : found->second)
        if (suspicion.Counts(Index(self)))
          suspicion.newest.withdrawals[Index(self)] =
              true;  // this front, or an earlier run of it, was itself deviating when it voted
    if (!IsDeviating(assessment) || !is_stable)
      continue;
    auto ejection = ejections.find(self);
    if (ejection != ejections.end() && ejection->second.on && front != self)
      continue;
    ActiveReport::Suspicion vote{front,
                                 static_cast<std::uint8_t>(assessment),
                                 observation->second.changed_sequence,
                                 targets[front].version,
                                 VotingWindow(observation->second.sequence,
                                              observation->second.changed_sequence, ids.size()),
                                 {IsLeaseHolder() ? own_token : 0, {}, {}},
                                 {},
                                 {}};
    std::size_t own_index = Index(self);
    vote.newest.votes.assign(own_index / 8 + 1, '\0');
    vote.newest.votes[own_index / 8] = static_cast<char>(1 << (own_index % 8));
    if (front == self)
      vote.fields = OwnDifferences();
    if (vote.fields.size() > 4)
      vote.fields.resize(4);
    MergeSuspicion(vote, now);
  }
}

void Impl::PublishStates(Ms now) {
  for (Id front : ids) {
    FrontState& state = states[front];
    DriftStatus assessment = assessments[front], old_status = state.status, new_status = assessment;
    Suspicion* suspicion = nullptr;
    DriftStatus common_status = CommonStatus(front, &suspicion);
    if (assessment == DriftStatus::kUnknown)
      new_status = DriftStatus::kUnknown;
    else if (IsDeviating(common_status))
      new_status = common_status;
    else if (IsDeviating(assessment))
      new_status =
          IsLeaseHolder() ? assessment : old_status;  // not yet common evidence: the status stays
    auto observation = observations.find(front);
    if (observation != observations.end() && observation->second.observed_at != kNever) {
      state.last_seen = observation->second.observed_at;
      state.version = observation->second.version;
    }
    if (auto ejection = ejections.find(front); ejection != ejections.end())
      state.ejected = ejection->second.on;
    std::vector<Difference> fields;
    if (IsDeviating(new_status) && suspicion != nullptr)
      fields = suspicion->fields;
    if (IsDeviating(new_status) && front == self)
      fields = OwnDifferences();
    bool fields_resolved = IsDeviating(new_status) && !fields.empty() && state.fields.empty();
    if (!IsDeviating(new_status))
      state.fields.clear();
    if (IsDeviating(new_status) && !fields.empty())
      state.fields = fields;
    if (new_status == old_status && !fields_resolved)
      continue;
    if (new_status != old_status)
      state.since =
          IsDeviating(new_status) && !IsDeviating(old_status) && observation != observations.end()
              ? std::min(now, observation->second.changed_at)
              : now;
    state.status = new_status;
    if (IsDeviating(new_status) && old_status == DriftStatus::kInSync) {
      auto& times = drift_times[front];
      times.push_back(now);
      while (times.size() > static_cast<std::size_t>(std::max(1, settings.ejection_drift_count)))
        times.pop_front();
    }
    bool may_serve =
        std::none_of(state.fields.begin(), state.fields.end(),
                     [](const Difference& d) { return d.impact == FieldImpact::kInvariant; });
    actions.push_back(StatusChanged{front, new_status, state.fields, state.since, may_serve});
  }
}

// Whether this front may serve with the active values of the fields that can break an invariant.
void Impl::UpdateServingPermission(Ms now) {
  if (!has_active_configuration || !approval)
    return;
  const Observation& observation = observations[self];
  if (observation.sequence - observation.changed_sequence + 1 <
      static_cast<std::uint64_t>(std::max(1, settings.stable_rounds)))
    return;
  std::uint64_t digest = Digest(GovernedSections());
  std::vector<Difference> invariant_fields;
  if (digest != Digest(approval->configuration))
    for (Difference& d : OwnDifferences())
      if (d.impact == FieldImpact::kInvariant)
        invariant_fields.push_back(std::move(d));
  bool must_stop = false;
  if (!invariant_fields.empty()) {
    bool is_late = std::find(previous_digests.begin(), previous_digests.end(), digest) !=
                   previous_digests.end();
    // Other late fronts may stop at the same moment, so only those in step or converging count for
    // the share that the zone keeps.
    std::size_t zone_size = 0, in_sync_count = 0;
    for (const auto& [id, zone] : zone_of)
      if (zone == zone_of.at(self)) {
        ++zone_size;
        in_sync_count += states[id].status == DriftStatus::kInSync ||
                         states[id].status == DriftStatus::kConverging;
      }
    must_stop = !is_late || (IsDeviating(states[self].status) &&
                             static_cast<double>(in_sync_count) >=
                                 settings.min_serving_share * static_cast<double>(zone_size));
  }
  (void)now;
  if (must_stop == !serving_allowed)
    return;
  serving_allowed = !must_stop;
  actions.push_back(
      ServingPermission{serving_allowed, must_stop ? invariant_fields : std::vector<Difference>{}});
}

}  // namespace dunlinwick::drift
