// The interface of the routing policy: the events that a front reports to it, the actions that it
// returns, and the deployment settings that it reads at start. Times are in milliseconds, with
// fractions, on a monotonic clock.
//
// A front is one router process; the fleet is all of them. The own zone is the zone that the front
// runs in. A cell is a group of caches within a zone that recognise each other's idempotency keys.
// A part is a piece of an object that clients request by itself; a group is a set of objects that
// are purged together.
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "wall_time.hpp"

namespace dunlinwick {

// Whether a request may be executed again. Idempotent requests may; those with an idempotency key
// may where the repeat is recognised by its key; exclusive ones must not be executed twice.
enum class Effect {
  kIdempotent,
  kIdempotentWithKey,
  kExclusive
};
// Which caches recognise a repeat of a request with an idempotency key, and drop it.
enum class DeduplicationScope {
  kEverywhere,
  kZone,
  kCell
};
// Where the weights of the endpoint list come from: there are none, they are nominal, rough, or
// change with each list.
enum class WeightSource {
  kNone,
  kNominal,
  kRough,
  kLive
};

struct RequestClass {
  Effect effect = Effect::kIdempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::kEverywhere;
  Ms deduplication_window = 0;  // how long a repeat with the same idempotency key is recognised
  Ms latency_objective = 0;
  double latency_objective_per_transfer_time =
      0;  // the objective is longer by this multiple of the request's own transfer time
  Ms max_deadline = 0;
  double priority_weight = 1;  // the value of a request that is answered in time
  bool streams = false;
  Ms freshness_lifetime = 0;  // 0: until purged
  bool uncacheable = false;
};

// What the platform permits a front to do.
struct Permissions {
  bool probe = false;
  bool cancel = false;
  bool concurrent_attempts = false;
  bool coalesce = false;          // a request may wait for a fill under way instead of its own
  bool direct_to_origin = false;  // uncacheable requests may bypass the caches
};

// How an endpoint ramps up after its start, and how much work all fronts together may send it
// within any window of `slow_start_window`. The work of a request is its uncontended transfer time
// in milliseconds.
struct SlowStartSettings {
  double initial_weight = 1;  // share of its full capacity at its start
  double overload_factor =
      0;  // the work allowed, as a multiple of its present capacity; 0: no limit
  Ms duration = 0;
};

// The description of the deployment that the router reads at start. It keeps values derived from
// it, not the struct itself.
struct DeploymentSettings {
  std::vector<RequestClass> request_classes;
  int zone = 0;
  int fronts = 1;          // in all zones
  int fronts_in_zone = 1;  // that serve this zone
  int parent_kind = -1;
  int origin_kind = -1;
  bool polls_endpoint_list = false;  // list changes come only when requested
  WeightSource weight_source = WeightSource::kNone;
  Permissions permissions;
  Ms max_retry_after = 0;  // 0: a rejection must not carry a retry time
  int max_attempts = 1;
  int max_open_requests = 0;         // of clients, at once, at this front; 0: unknown
  bool fills_from_siblings = false;  // a cache may be filled from another one of its zone
  double stream_kb_per_ms = 0;       // rate of one transfer at full speed
  double link_kb_per_ms =
      0;  // of the link from this zone to the parents and the origin; 0: unknown
  int link_report_index = -1;  // position of the link's utilisation in the load reports of
                               // answers; -1: not reported
  bool reports_cache_status =
      true;  // answers carry a CacheStatus; otherwise they distinguish hits from misses at most
  Ms purge_completion_time = 0;
  SlowStartSettings cache_slow_start;
  SlowStartSettings parent_slow_start;
  Ms slow_start_window = 0;
};

// ---- Events

enum class ListUpdateKind {
  kChanges,
  kSnapshot,   // the full list
  kLastKnown,  // the full list as it was last known, possibly outdated
  kFailed
};
enum class EndpointState {
  kDraining,
  kRemoved,
  kReady
};
struct ListEntry {
  std::uint32_t id = 0;
  int zone = 0;
  int kind = 0;
  int cell = 0;
  EndpointState state = EndpointState::kReady;
  double weight = 1;
  WallTime started_at;  // unset: long ago
  /// When this front was first notified of that start. None: `started_at` is by this front's own
  /// clock, as in the simulator.
  std::optional<NotificationTimes> notified;
};
struct EndpointListUpdate {
  ListUpdateKind kind = ListUpdateKind::kChanges;
  std::vector<ListEntry> entries;
};
struct RequestArrived {
  std::uint32_t request = 0;
  int request_class = 0;
  std::uint64_t object = 0;
  int part = 0;
  int group = 0;
  Ms time_left = 0;    // until the client's deadline
  double size_kb = 0;  // 0: unknown
};
enum class AttemptResult {
  kFinished,
  kError,
  kOverloaded,  // rejected, since its queue is full
  kTimedOut,
  kNotSent,       // no connection, or it broke before the request was sent whole
  kDisconnected,  // the connection broke after the request was sent
  kCancelled,
  kStartDeadlinePassed,  // not executed: its start deadline had passed before the endpoint began it
  kMiss
};
// How a cache served an attempt, or why its fill failed.
enum class CacheStatus {
  kNone,
  kHit,
  kFilled,
  kFilledByOrigin,
  kCoalesced,  // it waited for a fill that was under way
  kExpired,    // a copy was present, but had expired
  kSourceRefused,
  kSourceFailed,
  kSourceMiss,
  kNoFillSlot,
  kOriginFailed
};
// The first byte of an attempt's answer went on to the client: the answer can no longer come from
// another attempt.
struct ResponseStarted {
  std::uint32_t request = 0;
  std::uint32_t endpoint = 0;
  int attempt = 0;
};
struct AttemptEnded {
  std::uint32_t request = 0;
  std::uint32_t endpoint = 0;
  int attempt = 0;
  AttemptResult result = AttemptResult::kFinished;
  Ms duration = 0;
  bool final = false;  // the client has received this result as its answer
  CacheStatus cache_status = CacheStatus::kNone;
  Ms fill_wait = 0;               // until the first byte of a fill, or until the fill failed
  int earlier_on_connection = 0;  // attempts reported before this one that ended with the same
                                  // connection
  bool is_local_fault = false;  // this front lacked a resource, such as a descriptor; no sign of a
                                // fault of the endpoint
  std::vector<float> load_report;
};
struct ClientLeft {
  std::uint32_t request = 0;
};
// The client's deadline became earlier. On a pipelined connection answers go out in the order of
// the requests, so a request must end before the earliest deadline of those behind it.
struct DeadlineShortened {
  std::uint32_t request = 0;
  Ms time_left = 0;  // from now on
};
struct TimerFired {
  std::uint64_t handle = 0;
};
struct ProbeEnded {
  std::uint32_t endpoint = 0;
  bool succeeded = false;
  Ms duration = 0;
  std::vector<float> load_report;
};
struct Purged {
  bool is_group = false;
  std::uint64_t object = 0;
  int group = 0;
  Ms age = 0;
  // A recall is kept in the log that the fleet shares (src/record/). It stays in force until it is
  // lifted, since endpoints learn of it only through the `max_age` of attempts. It covers a whole
  // request class where `request_class` is not below 0. The simulator's platform sends none.
  bool is_recall = false;
  bool is_lifted = false;
  int request_class = -1;
  /// Where the notification carries the time of the purge by another host's clock, and not its age:
  /// in place of `age`.
  struct Stamped {
    WallTime stamp;
    NotificationTimes notified;
  };
  std::optional<Stamped> stamped;
};
struct PeerMessageReceived {
  std::uint32_t peer = 0;
  std::string text;
};
// The failover decision in force: the share of this front's requests that goes to the caches of
// each zone, by zone. Empty, as at start: all go to the own zone. Comes only where a front belongs
// to a fleet (src/failover/).
struct ZoneTrafficWeights {
  std::vector<double> weights;
};
// Copies older than `age` ms may have been recalled without this front's knowledge: none of them
// may be served. 0, as at start: no limit. Comes only where a front follows the fleet's record
// (src/record/).
struct MaxCopyAge {
  Ms age = 0;
};
// The share of new requests that is admitted, by request class. Empty, as at start: all. Comes only
// while a fleet recovers from a loss (src/recovery/).
struct AdmissionRamp {
  std::vector<double> share_by_class;
  Ms retry_after = 0;  // sent with the rejection of the others
};
using Event = std::variant<EndpointListUpdate, RequestArrived, ResponseStarted, AttemptEnded,
                           ClientLeft, DeadlineShortened, TimerFired, ProbeEnded, Purged,
                           PeerMessageReceived, ZoneTrafficWeights, MaxCopyAge, AdmissionRamp>;

// ---- Actions

struct SendAttempt {
  std::uint32_t request = 0;
  std::uint32_t endpoint = 0;
  std::uint32_t source = 0;               // equal to `endpoint`: no fill
  bool coalesce = false;                  // may wait for a fill of the object that is under way
  bool revalidate = false;                // the cache may renew an expired copy from the source
  bool only_if_cached = false;            // the source must not fetch the object itself
  int retention_rank = 0;                 // 1 to 3; the cache evicts low ranks first
  Ms max_age = 0;                         // of a copy served; 0: as the request class allows
  Ms timeout = 0;                         // 0: until the client leaves
  bool requires_live_connection = false;  // only over a connection that has just proved to work
  // A time, not a duration. If the endpoint has not begun the attempt by then, it must not, since
  // the repeat would no longer be recognised. 0: no limit.
  Ms start_deadline = 0;
};
struct CancelAttempt {
  std::uint32_t request = 0;
  int attempt = 0;
};
enum class RejectionReason {
  kDeadline,      // its deadline has passed
  kAdmission,     // the fleet recovers from a loss, and admits only a share
  kOpenRequests,  // this front's open requests near their limit, and it is worth little for the
                  // time it would take
  kNoEndpoint,    // no endpoint is available
  kSlowStart,     // the available endpoints are in slow start, and their budgets are spent
  kUtilisation,   // the endpoints' utilisation is higher than it tolerates
  kLink,          // the link's utilisation is higher than it tolerates, and it needs a fill
  kNoSource,      // no source can fill it
  kAttempts       // no further attempt is allowed, or would help
};
constexpr std::size_t kRejectionReasons = 9;
// The size of a request relative to the mean of its class.
enum class SizeBand {
  kSmall,  // up to half of it
  kUsual,
  kLarge  // over twice as much
};
constexpr std::size_t kSizeBands = 3;
// The request was provably not executed, or may safely be repeated: the client may try again.
struct RejectRequest {
  std::uint32_t request = 0;
  Ms retry_after = 0;
  RejectionReason reason = RejectionReason::kDeadline;
  SizeBand size = SizeBand::kUsual;
};
// The request may have been executed: the client must not take it for rejected.
struct FailRequest {
  std::uint32_t request = 0;
};
struct SetTimer {
  Ms fires_at = 0;
  std::uint64_t handle = 0;
};
struct ProbeEndpoint {
  std::uint32_t endpoint = 0;
};
struct WatchEndpointList {};
struct WriteLogLine {
  std::string text;
};
// An endpoint was ejected or returned to service: this front's observation, for the fleet's zone
// health.
struct ReportEndpointHealth {
  std::uint32_t endpoint = 0;
  bool ejected = false;
};
using Action = std::variant<SendAttempt, CancelAttempt, RejectRequest, FailRequest, SetTimer,
                            ProbeEndpoint, WatchEndpointList, WriteLogLine, ReportEndpointHealth>;

class Router {
 public:
  Router(const DeploymentSettings& settings, std::uint64_t seed);
  ~Router();
  Router(Router&&) noexcept;
  // The single entry point: takes an event that happened at `now`, and returns the actions to carry
  // out, in order.
  std::vector<Action> Handle(Ms now, const Event& event);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwick
