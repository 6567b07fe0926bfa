// Checks invariants on what was observed on the wire: that every request gets one final response in
// time, that no effect is repeated, that drains, slow start and purges are respected, that no
// rejection is delayed, and that a front that is partitioned from its fleet keeps its zone. The
// observations are what clients sent and received, what reached endpoints, what endpoints answered
// and what the discovery service announced. Nothing that a front reports about itself is used.
// Pure: observations go in, in the order of their times; violations come out.
//
// Each time limit is extended by `slack`, for the way between a front and the observer.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace dunlinwick::rules {

using Ms = double;

enum class ObservationKind {
  kRequestSent,  // request, object, actor: the front; request class, group; value: how long the
                 // client waits
  kResponseReceived,    // request, actor: the front; status, tag; flag: its body is complete and is
                        // that of the tag
  kClientDisconnected,  // request: its client left before the deadline
  kAttemptReceived,     // request, actor: the endpoint; subject: the source or ""
  kAttemptEnded,        // request, actor: the endpoint; state, tag, value: when the copy was issued
  kAttemptDropped,  // request, actor: the endpoint; the front cancelled it, or its connection ended
  kExecuted,        // request, object, actor: the endpoint
  kEndpointUpdated,    // actor: the front that was notified; subject: the endpoint; state: ready,
                       // draining or gone
  kPurgeAnnounced,     // actor: the front that was notified; object or group (flag: a whole group);
                       // value: when it was purged
  kSlowStartExceeded,  // actor: the endpoint; value: work in the window; limit
  kSlowStartLoad,      // value: share of the limit
  kFrontUp,            // actor
  kFrontDown,          // actor: killed; responses to the requests that it held are no longer due
  kPartitioned,  // actor: the front; group: its zone; flag: whether it is now partitioned from a
                 // quorum of its fleet
  kUnobserved    // value: until when attempts may be on their way to where nobody observes them;
                 // flag: responses too, because the network loses or delays what fronts send
};
const char* ToString(ObservationKind kind);

// The meaning of the fields is given at each ObservationKind.
struct Observation {
  Ms at = 0;
  ObservationKind kind = ObservationKind::kRequestSent;
  std::string request;
  std::string object;
  std::string actor;
  std::string subject;
  std::string state;
  std::string tag;
  int request_class = 0;
  int group = 0;
  int status = 0;
  double value = 0;
  double limit = 0;
  bool flag = false;
};
// One line of a trace, without its line end.
std::string FormatTraceLine(const Observation& observation);
std::optional<Observation> ParseTraceLine(
    std::string_view line);  // nothing if it is not a line of a trace

enum class Invariant {
  kFinalResponse,
  kSingleEffect,
  kDrain,
  kSlowStart,
  kPurge,
  kPromptRejection,
  kZoneLocality
};
constexpr int kInvariantCount = 7;
const char* ToString(Invariant invariant);

struct Violation {
  Invariant invariant = Invariant::kFinalResponse;
  Ms at = 0;
  std::string request;
  std::string actor;
  std::string description;  // in plain words, with what was observed
};

enum class Effect {
  kIdempotent,
  kIdempotentWithKey,
  kExclusive
};
enum class DeduplicationScope {
  kEverywhere,
  kZone,
  kCell
};
struct RequestClassPolicy {
  std::string name;
  Effect effect = Effect::kIdempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::kCell;
  Ms deduplication_window = 0;
};

struct Limits {
  std::vector<RequestClassPolicy> request_classes;
  Ms drain_grace = 500;
  Ms purge_grace = 500;
  Ms purge_done = 6000;
  Ms slack = 50;
  Ms max_rejection_delay = 600;  // from the end of a request's last attempt to its rejection
  std::map<std::string, std::pair<int, int>>
      endpoint_locations;  // zone and cell, for request classes with an idempotency key
};

// How close the run came to each limit.
struct ClosestMargins {
  Ms response_margin = 1e9;     // time left to the client's deadline, at the latest response
  Ms attempt_after_drain = 0;   // an attempt to a leaving endpoint, after the front was notified
  double slow_start_share = 0;  // of the work that an endpoint in slow start may get in a window
  Ms attempt_after_purge = 0;   // an attempt answered from an older copy, after the front was
                                // notified of the purge
  Ms rejection_delay = 0;       // a rejection after the end of the request's last attempt
};

class Checker {
 public:
  explicit Checker(Limits limits);
  void HandleObservation(const Observation& observation);
  void Finish(Ms at);  // reports what was due by then
  const std::vector<Violation>& Violations() const {
    return violations_;
  }
  std::uint64_t Count(Invariant invariant) const {
    return counts_[static_cast<int>(invariant)];
  }
  bool AllHold() const {
    return violations_.empty();
  }
  const ClosestMargins& margins() const {
    return margins_;
  }

 private:
  enum class AttemptOutcome {
    kInFlight,
    kNotExecuted,
    kPossiblyExecuted
  };
  struct Attempt {
    std::string endpoint;
    std::string source;
    Ms received_at = 0;
    AttemptOutcome outcome = AttemptOutcome::kInFlight;
    std::string tag;
    Ms issued = 0;
  };
  struct Request {
    std::string object;
    std::string front;
    int request_class = 0;
    int group = 0;
    int front_life = 0;  // Front::front_life when the request was sent; -1: the front was down
    Ms sent_at = 0;
    Ms deadline = 0;
    Ms idle_since = 0;
    bool answered = false;
    bool rejected = false;
    bool client_disconnected = false;
    std::vector<Attempt> attempts;
  };
  struct Purge {
    bool whole_group = false;
    std::string object;
    int group = 0;
    Ms purged_at = 0;
    Ms announced_at = 0;
  };
  struct Front {
    int front_life = 0;  // how often it was killed
    bool up = false;
    int partitioned_zone = -1;  // its zone, while it is partitioned from a quorum of its fleet
    Ms partitioned_at = 0;
    std::map<std::string, Ms>
        leaving_endpoints;     // since when; an endpoint is removed when it is ready again
    std::deque<Purge> purges;  // removed some time after they are done everywhere
  };
  void ReportViolation(Invariant invariant, const Observation& observation,
                       const std::string& actor, std::string description);
  void AdvanceTo(Ms time);
  void HandleAttemptReceived(const Observation& observation);
  void HandleAttemptEnded(const Observation& observation);
  void HandleResponse(const Observation& observation);

  Limits limits_;
  Ms unobserved_until_ = 0;
  Ms responses_unobserved_until_ = 0;
  std::map<std::string, Request> requests_;  // removed some time after their deadline
  std::multimap<Ms, std::string> deadlines_;
  std::deque<std::pair<Ms, std::string>> expiries_;
  std::map<std::string, Front> fronts_;
  std::map<std::string, std::string>
      executed_effects_;  // exclusive object to its request; bounded by the length of the run
  std::vector<Violation> violations_;  // the first hundred of each invariant
  std::uint64_t counts_[kInvariantCount] = {};
  ClosestMargins margins_;
};

}  // namespace dunlinwick::rules
