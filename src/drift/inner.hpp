// The state behind Drift; internal to this package. Each table has at most one row per front, or
// the bound given at its declaration.
#pragma once
#include <deque>
#include <random>
#include <utility>

#include "drift/drift.hpp"

namespace dunlinwick::drift {

constexpr Ms kNever = -1e18;

struct Drift::Impl {
  Impl(Id id, std::map<Id, int> zones, FieldImpactMap field_impacts, DriftSettings drift_settings,
       std::uint64_t seed, Ms now, PersistedMinimums persisted);

  struct PreviousApproval {
    Version version = 0;
    std::uint64_t digest = 0;
  };
  // The approval that applies to a front.
  struct Target {
    Version version = 0;
    std::uint64_t digest = 0;
    Ms deadline = 0;  // on the monotonic clock
    std::shared_ptr<const CanonicalConfiguration> configuration;
    std::deque<PreviousApproval> previous;  // oldest first, the last 16
  };
  // The latest report of a front about itself, received from it or relayed.
  struct Observation {
    std::uint64_t sequence = 0;
    std::uint64_t active_digest = 0;
    std::uint64_t approved_digest = 0;
    std::uint64_t changed_sequence = 0;
    Version version = 0;
    Ms observed_at = kNever;
    Ms changed_at = 0;          // when its content was first observed here
    Ms version_since = kNever;  // since when it reports this version, which may be unknown here
    Ms received_at = kNever;    // last received from the front itself
    double failed_share = 0;
    double rejected_share = 0;
    int transmissions = 0;  // of this report by this front so far
    bool HasReport() const {
      return sequence != 0;
    }
  };
  struct Ballot {
    Token token = 0;
    std::vector<bool> votes;
    std::vector<bool> withdrawals;
  };
  struct Suspicion {
    DriftStatus status = DriftStatus::kDrifted;
    std::uint64_t changed_sequence = 0;
    Version target_version = 0;
    std::uint64_t window = 0;
    Ballot newest;
    Ballot before;  // of `window` and of the one before it; older votes are dropped
    std::vector<Difference> fields;
    bool Counts(std::size_t i) const;  // whether the vote of the i-th front counts
  };
  struct DetailRequest {
    std::uint64_t changed_sequence = 0;
    int attempts = 0;
    Ms sent_at = kNever;
  };
  struct OngoingRepair {
    Version version = 0;
    std::uint64_t changed_sequence = 0;
    Ms first_sent = 0;
    Ms last_sent = 0;
    Ms observe_until = kNever;
    bool has_baseline = false;
    double failed_share = 0;
    double rejected_share = 0;
  };
  struct RepairAttempts {
    Version version = 0;
    std::uint64_t changed_sequence = 0;
    int count = 0;
    Ms not_before = kNever;
  };
  struct EjectionState {
    Token token = 0;
    std::uint32_t count = 0;
    bool on = false;
    Ms since = 0;
  };

  // evidence.cpp
  void AdvanceSequencePast(std::uint64_t known);  // `known`: a sequence number of this front's
                                                  // reports that other fronts hold
  void MergeReport(Id front, std::uint64_t new_sequence, Version new_version,
                   std::uint64_t active_digest, std::uint64_t approved_digest,
                   std::uint64_t new_changed_sequence, Ms now);
  void MergeSuspicion(const ActiveReport::Suspicion& suspicion, Ms now);
  DriftStatus Evaluate(Id front, Ms now) const;
  void EvaluateFronts(Ms now);  // one round: assessments and votes
  void PublishStates(Ms now);   // front states, from assessments and votes
  DriftStatus CommonStatus(Id front, Suspicion** suspicion);
  std::size_t Quorum() const;
  void Prune(Id front);
  void UpdateOwnReport(Ms now, bool new_round);
  void UpdateServingPermission(Ms now);
  std::size_t Index(Id front) const;
  std::vector<Difference> OwnDifferences() const;
  // drift.cpp: what is sent
  ActiveReport MakeReport(bool full);
  void SendReports(Ms now);
  void RequestDetails(Ms now);
  void AnswerDetailRequest(Id to, const ActiveReport& request);
  void HandleDetails(Id from, const ActiveReport& report);
  // repair.cpp
  bool IsLeaseHolder() const;
  void UpdateRepairs(Ms now);
  void UpdateEjections(Ms now);
  bool ZoneCanSpare(int zone, Id front) const;
  void CheckShareRise(Id from, Ms now);
  std::vector<Action> HandleRepair(Ms now, Id from, const Repair& r);
  void ApplyPendingRepair(Ms now);
  CanonicalConfiguration GovernedSections()
      const;  // the active sections that the approval contains

  const Id self;
  const std::map<Id, int> zone_of;  // at most kMaxFronts
  std::vector<Id> ids;              // sorted; a front's vote is the bit at its index here
  const FieldImpactMap impacts;
  const DriftSettings settings;
  std::knuth_b random;
  Ms next_round = 0;
  std::uint64_t sequence = 0;
  std::uint64_t changed_sequence = 0;
  bool sequence_advanced = false;  // the next report counts as changed

  CanonicalConfiguration active_configuration;
  bool has_active_configuration = false;
  Version version = 0;
  std::optional<Approval> approval;
  std::deque<std::uint64_t>
      previous_digests;  // of the configurations approved for this front before, the last 16
  std::map<Id, Target> targets;
  std::map<Id, Observation> observations;
  std::map<Id, DriftStatus> assessments;
  std::map<Id, std::vector<Suspicion>> suspicions;  // at most 4 per front
  std::map<Id, DetailRequest> detail_requests;
  std::map<Id, FrontState> states;
  std::vector<Id> send_order;  // the next receivers, shuffled; each once before any twice
  std::size_t next_relayed_report = 0;
  std::size_t next_suspicion = 0;
  double failed_share = 0;
  double rejected_share = 0;
  bool serving_allowed = true;

  Token own_token = 0;
  Token highest_token = 0;
  Ms lease_since = kNever;
  Version stopped_at = 0;
  std::map<Id, OngoingRepair> ongoing_repairs;
  std::map<Id, RepairAttempts> repair_attempts;
  std::map<Id, std::deque<Ms>> drift_times;  // at most `ejection_drift_count` per front
  std::map<Id, EjectionState> ejections;
  std::optional<Repair>
      pending_repair;  // requested before the approval arrived; kept for repair_timeout / 2
  Ms pending_until = kNever;
  Id reply_to = 0;  // the lease holder that repairs this front; receives a report each round
  Ms reply_until = kNever;

  std::vector<Action> actions;
};

}  // namespace dunlinwick::drift
