// Recovery of a front after a power loss: which persisted state it trusts, what it asks the other
// fronts, and in which order service returns. Pure: events and time in; actions and facts for the
// router out (AdmissionRamp, RecallsKnown in logic.hpp). The router decides on each request.
//
// Phases, in order. Each has a condition that ends it, a longest duration, and a consequence of
// running out of time (the table in recovery.cpp; docs/operators/power-loss.md states the same in
// words, and a test compares them):
//   store      own store checked (digests, owner, gaps)                            -> neighbours
//   neighbours hellos received: which fronts kept running, which restarted; persisted minimums
//              collected                                                           -> group
//   group      a leader elected, or the group re-formed where all stores are lost  -> record
//   record     caught up with what a majority reports as committed, and not below the offset that a
//              majority has witnessed                                              -> rules
//   rules      the active configuration is the approved one                        -> letting in
//   letting in requests admitted by zone and request class, in steps that cold parents and caches
//              can serve for all fronts together; record caught up                 -> whole
//   whole      everything is admitted
// A front that starts into a fleet that kept running passes through quickly. A fleet that lost all
// power starts slowly, since caches are cold and no front knows the state of the others. A front
// goes back only when it loses its own store or the group its majority: it restarts at `neighbours`
// and keeps serving requests whose responses are certain to be current.
//
// Recovery trust policy (the entries of `TrustRules()`, each with its reason and test): tokens,
// offsets and incarnations count as persisted minimums; the last persisted configuration counts if
// its digest matches, the record up to its first gap. Health, slow start, lists, leases and quota
// shares are not trusted (a share is its minimum; each earlier lease is waited out). Requests in
// flight at the loss are in doubt: exclusive ones never run again, those with an idempotency key
// only by the deduplication rule of the key. The front that responded is gone, so nothing is
// resumed.
//
// Sources: FoundationDB's recovery (an epoch ends before the next begins; a majority, not one disk,
// decides what survives); the restart rules of Chubby and Raft. Bounds: one entry for each front of
// the fleet. In each interval a front sends hellos to all others in a fleet of up to 17 fronts, and
// to a quarter of them in a larger one, so that each receives one per second; the first hello after
// a start goes to all. No hellos are sent once all fronts that were heard have completed recovery.
// An entry no longer counts as present after `presence_timeout`; its minimums last as long as this
// process.
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

namespace dunlinwick::recovery {

using Ms = double;
using Id = std::uint32_t;

enum class Phase : std::uint8_t {
  kStore,
  kPeers,
  kGroup,
  kRecord,
  kConfiguration,
  kAdmissionRamp,
  kComplete
};
constexpr std::size_t kPhaseCount = 7;
const char* ToString(Phase phase);

struct TrustRule {  // one entry of the recovery trust policy
  const char* subject;
  const char* treatment;  // "minimum", "if its digest matches", "not at all", ...
  const char* reason;
};
std::span<const TrustRule> TrustRules();

// What a front has persisted: lower bounds, never the present state.
struct PersistedMinimums {
  std::uint64_t token = 0;
  std::uint64_t offset = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t configuration_digest = 0;
  std::uint64_t configuration_version = 0;
};
struct StoreInspection {
  // kNone: configured without a store; kCorrupted: detected by what the other fronts report
  enum class State : std::uint8_t {
    kNone,
    kEmpty,
    kGood,
    kIncomplete,
    kForeign,
    kStale,
    kCorrupted
  } state = State::kNone;
  PersistedMinimums minimums;
  // The front that the store names as its owner. Any other than this one: foreign, whatever `state`
  // says.
  Id owner_id = 0;
  // Incarnations of other fronts that this store has seen: each front is a witness of the others.
  std::map<Id, std::uint64_t> witnessed_incarnations;
};

// What fronts send each other while any of them is recovering (Channel::recovery).
struct Hello {
  std::uint64_t start_id = 0;  // of this process: the clock at its start
  Ms uptime = 0;
  Phase phase = Phase::kStore;
  StoreInspection::State store = StoreInspection::State::kNone;
  // From the sender's own trusted store, or reported by the group since its start. Never what other
  // fronts claim, which one corrupted store could spread.
  PersistedMinimums minimums;
  std::uint64_t committed = 0;  // offset of the record, as far as the sender knows
  bool group_has_leader = false;
  bool group_member = false;
  int zone = 0;
  double admitted_share = 0;  // of the sender's usual requests
  // The incarnation that the sender's store has seen of the receiving front; 0: none.
  std::uint64_t receiver_incarnation = 0;
};
constexpr std::size_t kMaxHelloBytes = 256;
std::string Encode(const Hello& h);
// Nothing if the bytes are too long or malformed, or a field is outside of its range.
std::optional<Hello> Decode(std::span<const char> bytes);

struct Settings {
  int zones = 1;
  int zone = 0;
  // Fronts of this zone. If above 1 and the endpoint list has not been received, a front skips the
  // ramp only beside another front of its zone that kept running.
  int zone_replicas = 1;
  Ms hello_interval = 250;
  Ms presence_timeout = 3000;  // a front that was not heard for so long does not count as present
  Ms lease_duration = 3000;
  Ms lease_margin = 200;
  // Earlier leases are waited out: lease_duration * (1 + clock_drift) + lease_margin.
  double clock_drift = 0.01;
  // The whole fleet counts as lost if a majority of it has been up for less than this.
  Ms restart_window = 60000;
  Ms store_timeout = 5000;
  Ms peers_timeout = 5000;
  Ms group_timeout = 30000;
  Ms record_timeout = 30000;
  Ms configuration_timeout = 10000;
  // How far an intact store may be ahead of what a majority knows; one further ahead is corrupted.
  std::uint64_t max_token_lead = 1000;
  std::uint64_t max_offset_lead = 100000;
  // Admission ramp: starts at `initial_share` of the usual requests and grows by `growth_factor`
  // every `step_interval` while nothing upstream is overloaded. On an overload the share is halved,
  // at most once per interval. Above three quarters of the share at the last overload it grows by a
  // quarter of the usual step. `FitToCapacity` derives the initial share from the slow start
  // settings of the deployment. After `ramp_timeout` an overload no longer halves the share: from
  // then on the router handles it, as in normal operation.
  double initial_share = 0.1;
  double growth_factor = 1.3;
  double min_share = 0.02;
  Ms step_interval = 500;
  Ms ramp_timeout = 120000;
  Ms retry_after = 2000;  // sent with requests that are rejected meanwhile
  // By request class: classes are admitted in descending order of their weight per unit of work.
  std::vector<double> priority_weights;
  std::vector<double> class_work;  // by request class: its share of the usual work; empty: equal
  // By request class: may be served whatever the state of the record (never cached, or fresh for
  // less than the term of a recall).
  std::vector<bool> certain_classes;
};

// Sets the initial share for parents that start at `initial_capacity` of their full capacity, where
// caches usually miss `usual_miss_ratio` of the work and now miss all of it: half of what the
// parents can serve if all fronts return at once.
Settings FitToCapacity(Settings settings, double initial_capacity, double usual_miss_ratio);
// The time within which every front completes recovery once faults are over (power, links,
// discovery service and group available, nothing upstream permanently overloaded).
Ms MaxRecoveryTime(const Settings& settings);
Ms PhaseTimeout(Phase phase, const Settings& settings);  // 0: unlimited
// The table of phases; docs/operators/power-loss.md states the same, and a test compares them.
struct PhaseDescription {
  Phase phase;
  const char* end_condition;
  const char* served;      // during the phase
  const char* on_timeout;  // what happens when its time has run out
};
std::span<const PhaseDescription> PhaseTable();

// ---- events
struct StoreChecked {
  StoreInspection inspection;
};
struct HelloReceived {
  Id from = 0;
  Hello hello;
};
// `token`: the last one granted, as known to a majority of the group; if it is below
// minimums().token, the group is not relied on until it has re-formed with a higher one.
// `majority_lost`: the majority is gone, not only its leader.
struct GroupState {
  bool member = false;
  bool leader_known = false;
  bool reformed = false;
  bool majority_lost = false;
  std::uint64_t token = 0;
};
struct RecordState {
  std::uint64_t position = 0;
  std::uint64_t committed = 0;
  bool caught_up = false;
  Ms current_as_of = -1;
  bool enabled = false;
};
struct ConfigurationState {
  bool enabled = false;
  bool in_sync = false;
  std::uint64_t version = 0;
  std::uint64_t digest = 0;
};
// State of what serves this front's requests: parents, origin, caches. `cold`: whether most of this
// zone's caches, or most parents, started recently according to the endpoint list; absent while the
// discovery service has not reported since the start.
struct UpstreamState {
  bool overloaded = false;
  std::optional<bool> cold;
};
// The incarnation that this front announces now. Witnessed incarnations between the first and the
// last announced one belong to this process and are no evidence against its store.
struct IncarnationAnnounced {
  std::uint64_t incarnation = 0;
};
struct Tick {};
using Event = std::variant<StoreChecked, HelloReceived, GroupState, RecordState, ConfigurationState,
                           UpstreamState, IncarnationAnnounced, Tick>;

// ---- actions
struct SendHello {
  Id to = 0;
  Hello hello;
};
struct PhaseEntered {  // for the log
  Phase phase = Phase::kStore;
  std::string reason;
  bool by_time = false;  // the time of the phase before ran out
};
struct AdmissionUpdate {                 // fact for the router
  std::vector<double> by_request_class;  // share of requests admitted; empty: all
  bool certain_only = false;             // reject whatever is not certain to be current
  Ms retry_after = 0;                    // sent with the rejections
};
struct LossReport {  // reported once it is known; logged as a warning
  bool whole_fleet = false;
  int restarted = 0;
  int kept_running = 0;
  std::string lost_state;
};
struct StoreRejected {  // a store found to be stale, corrupted or another front's
  Id owner_id = 0;
  std::string reason;
};
using Action = std::variant<SendHello, PhaseEntered, AdmissionUpdate, LossReport, StoreRejected>;

class Recovery {
 public:
  Recovery(Id self, std::vector<Id> fronts, Settings settings, std::uint64_t start_id, Ms now);
  ~Recovery();
  std::vector<Action> Handle(Ms now, const Event& event);
  Phase phase() const;
  Ms PhaseSince() const;
  // The highest values known to any store that was not rejected: what this front announces must be
  // above them. Where the stores of a majority are usable, a claim further above what a majority
  // knows than an intact store can be is ignored.
  PersistedMinimums minimums() const;
  bool IsCertainOnly() const;
  // Every earlier lease has certainly expired, and the phase is past `group`.
  bool MayAcquireLeases(Ms now) const;
  // Whether a group without its log may be re-formed, or its token and offset raised, from above
  // minimums(): a majority of the fleet's stores were reported and are usable enough to judge each
  // other by, or all were reported, or the time limit of the group phase has passed since a
  // majority reported.
  bool MayReformGroup(Ms now) const;
  double AdmittedShare() const;
  Ms NextTimerAt() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace dunlinwick::recovery
