// Exchange connects the HTTP server for clients with the transport to the caches: it holds the
// requests and attempts in flight, passes events to the request router, and executes the router's
// actions. The two sides don't know each other; both know the interfaces declared here.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "exchange/counters.hpp"
#include "exchange/memory_budget.hpp"
#include "exchange/recent_request_ids.hpp"
#include "logic.hpp"
#include "loop/connection.hpp"

namespace dunlinwick::exchange {

constexpr std::size_t kMaxObjectBytes = 240000, kMaxRequestBodyBytes = 48000;

// A client's request. Id, names, entity tag and body are forwarded unchanged.
struct RequestMetadata {
  std::string id;
  std::string request_class;
  std::string object;
  std::string part;
  std::string entity_tag;
  std::string body;
  std::string idempotency_key;  // under which servers recognise a retry of the request; empty: none
  int request_class_index = 0;
  int part_index = 0;
  int group = 0;
  Ms ttl = 0;
  double size_kb = 0;
};

/// The memory that must be free for a request to be taken: for its body and the largest response.
std::size_t BytesNeededFor(const RequestMetadata& metadata);

// The client's end of a request. Receives at most one final response.
class ResponseSink {
 public:
  /// Checks whether the client has closed its connection though no event has reported it yet. False
  /// where that can't be seen.
  virtual bool HasClientDisconnected() {
    return false;
  }
  virtual void OnResponse(const std::string& entity_tag, std::string body) = 0;
  virtual void OnNotModified(const std::string& entity_tag) = 0;
  virtual void OnRejected(Ms retry_after) = 0;
  virtual void OnFailed() = 0;
  // For a streamed response, in place of OnResponse(): the length of the body, its bytes, and
  // whether it completes or is aborted.
  virtual void OnResponseStarted(const std::string& entity_tag, std::size_t length) = 0;
  virtual void OnResponseData(std::string_view data) = 0;
  virtual void OnResponseComplete() = 0;
  virtual void OnResponseAborted() = 0;

 protected:
  ~ResponseSink() = default;
};

struct AttemptKey {
  std::uint32_t request = 0;
  int attempt = 0;
};

// A cache's response to an attempt, without the body.
struct ResponseHead {
  AttemptResult result = AttemptResult::kFinished;
  bool not_modified = false;  // the client's cached copy is current
  CacheStatus cache_status = CacheStatus::kNone;
  Ms queue_delay = 0;
  std::string entity_tag;
  bool has_issue_time = false;  // the response states when the origin issued its copy
  std::vector<float> report;
};

// Sends attempts to the caches, parents and the origin. May report on an attempt to the Exchange
// from within Send().
class UpstreamTransport {
 public:
  // Returns the connection's number, 0 if there is none. `avoid`: connections on which a response
  // to an earlier attempt of this request may still arrive.
  virtual std::uint64_t Send(AttemptKey key, const RequestMetadata& metadata,
                             const SendAttempt& action,
                             const std::vector<std::uint64_t>& avoid) = 0;
  virtual void Cancel(AttemptKey key, const RequestMetadata& metadata, std::uint32_t cache) = 0;
  // Cancels an attempt of which no byte has left this process. False: some of it may have left, and
  // the attempt stays in flight.
  virtual bool CancelUnsent(AttemptKey key, const RequestMetadata& metadata,
                            std::uint32_t cache) = 0;
  virtual void Probe(std::uint32_t cache) = 0;
  virtual void UpdateEndpoint(const ListEntry& entry, const std::string& id,
                              const loop::Address& address) = 0;
  virtual void RemoveEndpoint(
      std::uint32_t cache) = 0;  // the endpoint was removed from the list some time ago

 protected:
  ~UpstreamTransport() = default;
};

struct ListedEndpoint {
  ListEntry entry;
  std::string id;
  loop::Address address{};
};

// Maps the end of a connection to the result of an attempt on it. This is the only place that
// decides it.
AttemptResult ToAttemptResult(loop::DisconnectReason reason, bool fully_written);

// Decides how requests are routed: the Router, or a wrapper that a test puts around it.
using RequestRouter = std::function<std::vector<Action>(Ms now, const Event& event)>;
RequestRouter MakeRequestRouter(const DeploymentSettings& settings, std::uint64_t seed);

class Exchange {
 public:
  Exchange(loop::Loop& loop, const DeploymentSettings& settings, RequestRouter request_router);
  Exchange(loop::Loop& loop, const DeploymentSettings& settings, std::uint64_t seed);
  void SetUpstreamTransport(UpstreamTransport& upstream) {
    upstream_ = &upstream;
  }
  Counters counters;
  /// What is held for clients: here, and on their connections.
  MemoryBudget& memory() {
    return memory_;
  }
  bool IsReady() const {
    return has_endpoint_list_;
  }
  std::size_t OpenRequestCount() const {
    return requests_.size();
  }

  // Called by the HTTP server.
  std::uint32_t OnRequest(RequestMetadata metadata,
                          ResponseSink& response_sink);  // may respond from within the call
  void OnClientDisconnected(std::uint32_t request_id);
  /// Shortens the request's deadline to `deadline_at`, if that is earlier than the present
  /// one. A response that is already being streamed continues.
  void ShortenDeadline(std::uint32_t request_id, Ms deadline_at);
  /// Whether a request with that id has no final response yet, or may have been executed and must
  /// not be executed again.
  bool IsIdTaken(std::string_view id) const;

  // Called by the transport. It reports the last byte of a body only once the length of the body is
  // known to be right, since a streamed response is forwarded as it is reported.
  void OnAttemptResponseStarted(AttemptKey key, const ResponseHead& head, std::size_t length);
  void OnAttemptResponseData(AttemptKey key, std::string_view data);
  void OnAttemptResponseComplete(AttemptKey key, const ResponseHead& head);
  // `lost_with_connection`: number of attempts reported before this one that were lost with the
  // same connection.
  void OnAttemptDisconnected(AttemptKey key, loop::DisconnectReason reason, bool fully_written,
                             int lost_with_connection = 0);
  void OnProbeEnded(std::uint32_t cache, bool answered, Ms took, std::vector<float> report);
  /// Returns the time left until the attempt's timeout or its client's deadline, whichever comes
  /// first. Called for every attempt just before its first byte is written. 0: the attempt must not
  /// be started, because the client has disconnected or has a response, the time is up, or a server
  /// would no longer recognise a retry as one. Infinite for a request that this Exchange does not
  /// know.
  Ms TimeLeft(AttemptKey key);
  void OnAttemptExpired(AttemptKey key);  // the attempt was not started: no byte of it was sent
  void OnAttemptMoved(AttemptKey key,
                      std::uint64_t connection);  // the connection on which it was queued ended,
                                                  // and it is queued on another

  // Called by the client of the discovery service.
  // `up_to_date_at`: the last time, on this front's clock, at which the discovery service had no
  // update that had not been passed on here, so that this update was announced later. Not set for
  // the updates of the start.
  void OnListUpdate(bool is_complete, const std::vector<ListedEndpoint>& entries,
                    std::optional<Ms> up_to_date_at = std::nullopt);
  void OnPurge(bool whole_group, std::string_view object, int group, WallTime purged_at,
               std::optional<Ms> up_to_date_at = std::nullopt);

  // Called on a change of the fleet's failover decision.
  void OnZoneTrafficWeights(std::vector<double> by_zone) {
    HandleEvent(ZoneTrafficWeights{std::move(by_zone)});
  }
  // Called by the fleet's record and its recovery.
  void OnRecall(std::string_view object, int group, int request_class, bool lifted, Ms ago);
  void SetMaxCopyAge(Ms max_age);
  // Replaces the settings: new requests use the new request classes, and the request router is
  // called at once. Which classes are never cached, and which are streamed, must not change during
  // the life of a process, since that would change the kind of a request in flight.
  void ApplySettings(const DeploymentSettings& settings) {
    request_classes_ = settings.request_classes;
    HandleEvent(PeerMessageReceived{});
  }
  void SetAdmissionRamp(std::vector<double> by_request_class, Ms retry_after) {
    HandleEvent(AdmissionRamp{std::move(by_request_class), retry_after});
  }

 private:
  struct Attempt {
    explicit Attempt(MemoryBudget& budget) : memory(budget) {}
    std::uint32_t cache = 0;
    std::uint64_t connection = 0;
    std::uint32_t source = 0;
    Ms sent_at = 0;
    Ms not_after = 0;
    Ms deadline = 0;  // the attempt's timeout, or its client's deadline if that comes first
    bool in_flight = true;
    bool may_have_run = false;  // known once it has ended
    std::uint64_t timer = 0;
    std::uint64_t not_after_timer = 0;  // fires at `not_after`
    std::string body;
    MemoryCharge memory;  // of `body`, from when its length is known
  };
  struct Request {
    explicit Request(MemoryBudget& budget) : memory(budget) {}
    RequestMetadata metadata;
    ResponseSink* response_sink =
        nullptr;  // null once the final response is given or the client has disconnected
    Ms expires_at = 0;
    int streamed_attempt =
        -1;  // index of the attempt whose response is streamed to the client; -1: none
    std::vector<Attempt> attempts;
    MemoryCharge memory;  // of the request's body
  };

  static bool IsInFlight(const Attempt& attempt) {
    return attempt.in_flight;
  }
  void HandleEvent(Event event);
  ResponseSink* CloseRequest(std::uint32_t request_id);  // no response is due from here on
  void Execute(const SendAttempt& action);
  void Execute(const CancelAttempt& action);
  void Execute(const RejectRequest& action);
  void Execute(const FailRequest& action);
  void Execute(const SetTimer& action);
  void Execute(const ProbeEndpoint& action);
  void Execute(const WatchEndpointList&) {}  // the list is always watched
  void Execute(const WriteLogLine& action);
  void Execute(const ReportEndpointHealth&) {}  // handled by the wrapper in src/front/front.cpp
  Request* FindRequest(std::uint32_t request_id);
  Attempt* FindInFlightAttempt(AttemptKey key);
  void EndAttempt(AttemptKey key, AttemptResult result, const ResponseHead& head = {},
                  int lost_with_connection = 0, bool local_cause = false);
  // Ends those attempts of a request that are still queued in this process and satisfy `predicate`.
  template <class Predicate>
  void CancelUnsent(std::uint32_t request_id, Predicate predicate);
  template <class Predicate>
  void CancelUnsentWhere(Predicate predicate);
  void CancelUnsentPurged(std::string_view object, int group, int request_class);
  void CleanUpRequest(std::uint32_t request_id);
  /// Whether the request must not be executed again, and may have been executed.
  bool MayHaveHadEffect(const Request& request) const;
  void RefuseResponse(std::uint32_t request_id);
  void CountResult(AttemptResult result);
  struct KnownEndpoint {
    std::uint32_t number = 0;
    Ms removed_at = 0;           // 0: still in the list
    WallTime started_at;         // as last listed; 0: never started late
    NotificationTimes notified;  // when this start was first announced
  };
  KnownEndpoint& FindOrAddEndpoint(const std::string& endpoint_id);
  void RemoveStaleEndpoints();

  loop::Loop& loop_;
  MemoryBudget memory_;  // before what is charged to it
  RequestRouter request_router_;
  std::vector<RequestClass> request_classes_;
  UpstreamTransport* upstream_ = nullptr;
  bool has_endpoint_list_ = false;
  bool handling_events_ = false;
  std::uint32_t last_request_ = 0;
  std::deque<Event> pending_events_;  // emptied before the outermost call returns
  std::vector<std::uint32_t>
      closed_requests_;  // requests that may now be removed; emptied likewise
  std::map<std::uint32_t, Request>
      requests_;  // removed when a request has its response and its last attempt has ended
  RecentRequestIds executed_ids_;                   // of requests that were removed
  std::map<std::string, KnownEndpoint> endpoints_;  // by endpoint id; removed on a list update some
                                                    // time after the endpoint has left the list
  std::unordered_set<std::uint32_t>
      used_numbers_;  // the numbers in `endpoints_`, removed with them
};

}  // namespace dunlinwick::exchange
