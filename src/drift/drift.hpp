// Detects and repairs configuration drift: compares what each front decides by in memory with the
// approved configuration, establishes by common evidence which front deviates, and says what
// follows. Pure logic: events and the time go in, actions come out.
//
// The components that use a configuration report it section by section, in canonical form (names
// sorted, numbers in their shortest exact form); the file that a front was started with is not
// consulted. The desired configuration is the approved version in the record (stream rules). One
// digest per section, and one of all sections, is sent with the membership messages (32 bits of it
// on each datagram, the whole digest on Channel::rules). A difference is resolved section by
// section down to the field.
//
// Statuses: inStep; converging (within the time that the approval allows); drifted (which field,
// since when); unapproved (its version was never approved); forked (the same version, other
// content); unknown (not seen for too long). A status needs the same report by the front itself in
// `stable_rounds` consecutive rounds (hysteresis: reports are numbered, one a round, and carry the
// number since which their content is the same). It is common evidence once a majority of the
// fronts whose votes count hold it (votes travel as bitmaps, one for each of the two latest voting
// windows), or the lease holder does, under its fencing token. DetectionBound() states how long a
// drift can go undetected, as a function of the settings and the number of fronts.
//
// Consequences: fields are classed by what a wrong value can break (an invariant; capacity;
// nothing). The lease holder repairs under its fencing token: at most `max_concurrent_repairs`
// fronts of a zone at once, never where the zone would fall below `min_serving_share`, and it stops
// when the share of failed or rejected requests rises by more than `alarm_threshold` after a
// repair. A front that drifts `ejection_drift_count` times within `ejection_window` is ejected: it
// does not hold the lease, its votes do not count and its traffic share is the minimum. It goes on
// serving unless its drift can break an invariant.
//
// The pattern is that of Kubernetes' reconciliation loops (desired and observed generation are kept
// apart; act on what is observed). Bounds: one row per front, the last 16 changes.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace dunlinwick::drift {

using Ms = double;
using Id = std::uint32_t;
using Token = std::uint64_t;
using Version = std::uint64_t;  // the record's offset of the approval; 0: none

// What a wrong value of a field can break.
enum class FieldImpact : std::uint8_t {
  kNone,
  kCapacity,
  kInvariant
};
const char* ToString(FieldImpact impact);

// ---- canonical form
using Section = std::map<std::string, std::string>;  // field name to its value as text
using CanonicalConfiguration =
    std::map<std::string, Section>;  // by section name; at most 32 sections of 256 fields
std::string EncodeCanonical(const Section& section);
std::uint64_t Digest(const Section& section);  // xxHash64 of the canonical form
std::uint64_t Digest(const CanonicalConfiguration& configuration);
std::string FormatNumber(double value);  // shortest exact decimal

struct FieldPath {
  std::string section;
  std::string name;
};
struct Difference {
  FieldPath field;
  std::string active;
  std::string approved;
  FieldImpact impact = FieldImpact::kNone;
};
// Impact by "section.name" or "section.*"; a field that is not listed affects capacity.
using FieldImpactMap = std::map<std::string, FieldImpact>;
// A section that `approved` does not contain is not compared, nor part of a front's digest (it
// belongs to a newer program); a section that `active` lacks is compared.
std::vector<Difference> FindDifferences(const CanonicalConfiguration& active,
                                        const CanonicalConfiguration& approved,
                                        const FieldImpactMap& impacts);

// ---- an approval, as stored in the record under the key "fleet", "zone/NAME" or "front/ID"; the
// most specific key of a front applies to it
struct Approval {
  std::string approver;
  std::string second_approver;   // required where the settings ask for one
  Version replaced_version = 0;  // compare and set: the version that it was prepared against
  Ms apply_deadline = 0;  // Unix time by which it must be active; a front without it is converging
                          // until then
  CanonicalConfiguration configuration;
};
std::string Encode(const Approval& a);
std::optional<Approval> DecodeApproval(std::span<const char> bytes);
// The reason why it can't be accepted over version `current`, or "" if it can.
std::string ValidateApproval(const Approval& a, Version current, bool requires_second_approver);

// ---- what fronts report (Channel::rules): each round to `fanout` fronts, with reports of other
// fronts relayed
struct ActiveReport {
  Version version = 0;  // the version that the sender takes for approved
  std::uint64_t active_digest = 0;
  std::uint64_t approved_digest = 0;   // each over all sections
  std::uint64_t sequence = 0;          // of the sender's reports, one a round
  std::uint64_t changed_sequence = 0;  // the first report with the same content as this one
  std::map<std::string, std::uint64_t> sections;  // active digests; only on request
  bool request_details = false;  // the receiver is to send the details of its configuration:
  std::vector<std::string>
      requested_sections;  // these sections, at most 8; empty: the digests of all sections
  CanonicalConfiguration section_contents;  // of the sections that were requested
  double failed_share = 0;
  double rejected_share = 0;  // shares of the sender's recent requests, for the alarm
  Token token = 0;            // the highest that the sender knows
  Version stopped_at = 0;     // repairs are stopped until an approval above this version
  struct RelayedReport {
    Id front = 0;
    std::uint64_t sequence = 0;
    Version version = 0;
    std::uint64_t active_digest = 0;
    std::uint64_t approved_digest = 0;
    std::uint64_t changed_sequence = 0;
  };
  std::vector<RelayedReport> relayed_reports;  // at most 32
  // Votes of one voting window against what a front reports since `changed_sequence`, measured by
  // the approval `target_version`.
  struct Ballot {
    Token token = 0;  // of a lease holder that votes so; 0: none
    std::string votes;
    std::string
        withdrawals;  // one bit per front, in the order of ids; bits missing at the end are 0
  };
  struct Suspicion {
    Id front = 0;
    std::uint8_t status = 0;
    std::uint64_t changed_sequence = 0;
    Version target_version = 0;
    std::uint64_t window = 0;  // the newest voting window in which a vote was received
    Ballot newest;
    Ballot before;                   // votes of that window; votes of the window before it
    std::vector<Difference> fields;  // at most 4, values cut at 64 bytes
  };
  std::vector<Suspicion> suspicions;  // at most 8
  struct Ejected {
    Id front = 0;
    Token token = 0;
    std::uint32_t count = 0;
    bool on = false;
  };
  std::vector<Ejected> ejections;  // at most 32; the highest token applies, then the highest count
};
constexpr std::size_t kMaxRelayedReports = 32, kMaxSuspicions = 8, kMaxFronts = 512;
// The voting window, counted from 0, of report `sequence` of a front, among the reports since
// `changed_sequence`. A window is 64 reports, or one per front where there are more fronts. A front
// that holds another for deviating votes again each round; a suspicion counts the votes of its two
// newest windows only, and a front that finds the suspect in step again withdraws its vote.
//
// If votes were only ever added, fronts that had deviated themselves, one after another, would add
// up to a majority that never existed at any one time. A withdrawal prevents that as soon as it has
// spread (for some rounds until then the votes still add up). The expiry, after one to two windows
// (32 to 64 s at a round of 500 ms and up to 64 fronts), covers fronts that can't withdraw because
// they stopped or are partitioned. Votes and withdrawals are bits that are only ever added within a
// window, so they merge in any order. A lease holder's token expires but is not withdrawn.
//
// Limits: a majority is never seen where votes gather more slowly than they expire. Spreading takes
// about 10 reports for 5 to 64 fronts, but a datagram carries 8 suspicions, so with many suspects
// at once each has to wait; hence longer windows where there are more fronts. A front that withdrew
// because it had itself deviated is counted again, against the same report, only from the next
// window on: up to 32 s late. A status held by common evidence stays while its holder itself finds
// the front deviating, whether or not votes have expired.
std::uint64_t VotingWindow(std::uint64_t sequence, std::uint64_t changed_sequence,
                           std::size_t fronts);
std::string Encode(const ActiveReport& report);
std::optional<ActiveReport> DecodeActiveReport(std::span<const char> bytes);

enum class DriftStatus : std::uint8_t {
  kUnknown,
  kInSync,
  kConverging,
  kDrifted,
  kUnapproved,
  kForked
};
const char* ToString(DriftStatus status);
inline bool IsDeviating(DriftStatus s) {
  return s >= DriftStatus::kDrifted;
}

struct DriftSettings {
  std::size_t fronts = 1;
  Ms round = 500;  // one report per round, to `fanout` fronts
  int fanout = 2;
  int stable_rounds = 2;
  std::size_t quorum = 0;     // 0: a majority of the fronts that are not ejected
  Ms silence_timeout = 5000;  // no report received, from any front, for so long (plus what the
                              // number of fronts adds, SilenceTimeout()): unknown
  Ms max_record_lag = 5000;   // how far behind a front's copy of the record may be: a version above
                              // its own is taken for new for so long
  Ms min_convergence_time = 3000;
  Ms max_convergence_time =
      10 * 60 * 1000;  // on the monotonic clock: limits the effect of a wrong wall clock
  int max_concurrent_repairs = 1;  // per zone
  double min_serving_share = 0.5;  // of a zone's fronts that must be in step or serving meanwhile
  Ms repair_timeout = 5000;
  Ms observation_period = 3000;
  double alarm_threshold = 0.05;
  int ejection_drift_count = 3;
  Ms ejection_window = 10 * 60 * 1000;
};
// The longest time from a change in a front's memory (past the approval's deadline) until every
// front names it by common evidence, if no message is lost; each lost round adds one round. For a
// version that was never approved and is above the newest one, max_record_lag is added.
Ms DetectionBound(const DriftSettings& settings);
Ms LossAllowance(const DriftSettings& settings,
                 double loss);  // what a share of lost datagrams adds to DetectionBound()
Ms SilenceTimeout(const DriftSettings& settings);

// ---- events and actions
struct ActiveConfigurationChanged {
  CanonicalConfiguration configuration;
};  // of this front; sent each time it may have changed
struct ApprovalUpdated {
  Version version = 0;
  std::optional<Approval> approval;
};  // from the record, the most specific one for this front
// For each front, this one included: the approval that applies to it, by this front's copy of the
// record.
struct FrontApprovalUpdated {
  Id front = 0;
  Version version = 0;
  std::uint64_t digest = 0;  // of the approved configuration
  Ms apply_deadline = 0;
  Ms unix_now = 0;  // Unix time; unix_now is this front's wall clock, right or wrong
  std::shared_ptr<const CanonicalConfiguration>
      configuration;  // null: differences of that front are not resolved to fields here
};
struct ReportReceived {
  Id from = 0;
  ActiveReport report;
};
struct LeaseUpdated {
  Token token = 0;
};  // 0: another front, or none, holds the lease
struct RequestShares {
  double failed_share = 0;
  double rejected_share = 0;
};
struct Tick {};
using Event = std::variant<ActiveConfigurationChanged, ApprovalUpdated, FrontApprovalUpdated,
                           ReportReceived, LeaseUpdated, RequestShares, Tick>;

struct SendActiveReport {
  Id to = 0;
  ActiveReport report;
};
// From the lease holder (possibly to itself): apply the approved configuration now, in place of
// what the front reports since `changed_sequence`. The front refuses one that arrives late, about
// what it no longer reports.
struct Repair {
  Id front = 0;
  Token token = 0;
  Version version = 0;
  std::uint64_t changed_sequence = 0;
};
std::string Encode(const Repair& r);
std::optional<Repair> DecodeRepair(std::span<const char> bytes);
struct ApplyApproval {
  Version version = 0;
  CanonicalConfiguration configuration;
  Token token = 0;
};  // at the front itself: make the approved configuration the active one
struct StatusChanged {
  Id front = 0;
  DriftStatus status = DriftStatus::kUnknown;
  std::vector<Difference> fields;
  Ms since = 0;
  bool may_serve = true;
};
// At the front itself: it may not serve with these fields (each can break an invariant); or, with
// `serving_allowed`, it may serve again.
struct ServingPermission {
  bool serving_allowed = true;
  std::vector<Difference> fields;
};
struct SetEjected {
  Id front = 0;
  bool on = false;
  std::string reason;
};
struct RepairsStopped {
  std::string reason;
};  // until an operator approves again
using Action = std::variant<SendActiveReport, Repair, ApplyApproval, StatusChanged,
                            ServingPermission, SetEjected, RepairsStopped>;

// A configuration is applied only at the lease holder's request, in the rollout of an approval as
// well as in a repair, so that a zone never changes all at once. A zone of one front is therefore
// left to the operators wherever min_serving_share is above 0. A new lease holder first waits for
// what its predecessor may have ongoing (2.5 times repair_timeout: a request that is late by twice
// that, and its waiting time). A failed repair is attempted 3 times, at growing intervals, then not
// until something changes.
//
// Fields that can break an invariant: a front whose active value of such a field differs from its
// approval, and whose configuration is not one that was approved earlier, stops serving by its own
// evidence (it has both configurations). A front that is merely late stops only once that is common
// evidence and its zone keeps min_serving_share.
class Drift {
 public:
  struct PersistedMinimums {
    std::uint32_t incarnation = 1;
    Token token = 0;
  };  // kept across crashes by the caller
  Drift(Id self, std::map<Id, int> zone_of, FieldImpactMap impacts, DriftSettings settings,
        std::uint64_t seed, Ms now, PersistedMinimums persisted);
  ~Drift();
  std::vector<Action> Handle(Ms now, const Event& event);
  std::vector<Action> HandleRepair(
      Ms now, Id from, const Repair& r);  // checked against the highest fencing token known
  struct FrontState {
    DriftStatus status = DriftStatus::kUnknown;
    Ms since = 0;
    Ms last_seen = -1;
    Version version = 0;
    std::vector<Difference> fields;
    bool ejected = false;
  };
  const std::map<Id, FrontState>& FrontStates() const;
  bool ejected(Id front) const;
  bool may_serve() const;
  bool stopped() const;
  Token token() const;  // the highest known: persist it before carrying out the actions that were
                        // returned with it
  Ms WakeAt() const;

  struct Impl;  // internal to this package (inner.hpp)

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace dunlinwick::drift
