#include "exchange/exchange.hpp"

#include <algorithm>
#include <limits>
#include <set>

#include "log/log.hpp"

namespace dunlinwick::exchange {

using loop::DisconnectReason;

AttemptResult ToAttemptResult(DisconnectReason reason, bool fully_written) {
  switch (reason) {
    case DisconnectReason::kRefused:
    case DisconnectReason::kConnectFailed:
    case DisconnectReason::kLocalShortage:
      return AttemptResult::kNotSent;
    case DisconnectReason::kClosed:
    case DisconnectReason::kReset:
    case DisconnectReason::kReceiveTimeout:
    case DisconnectReason::kMalformed:
    case DisconnectReason::kStalled:
    case DisconnectReason::kReplaced:
    case DisconnectReason::kReleased:
      // A partial request can't be executed, so an attempt that was not fully written has not run.
      // One that was fully written may have run.
      return fully_written ? AttemptResult::kDisconnected : AttemptResult::kNotSent;
  }
  return AttemptResult::kDisconnected;
}

// FNV-1a. The hash must be the same on all fronts, since routing decisions depend on it.
static std::uint64_t HashName(std::string_view name) {
  std::uint64_t hash = 0xcbf29ce484222325ull;
  for (char c : name)
    hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ull;
  return hash;
}

RequestRouter MakeRequestRouter(const DeploymentSettings& settings, std::uint64_t seed) {
  return [router = std::make_shared<Router>(settings, seed)](Ms now, const Event& event) {
    return router->Handle(now, event);
  };
}

Exchange::Exchange(loop::Loop& loop, const DeploymentSettings& settings,
                   RequestRouter request_router)
    : loop_(loop),
      request_router_(std::move(request_router)),
      request_classes_(settings.request_classes) {}

Exchange::Exchange(loop::Loop& loop, const DeploymentSettings& settings, std::uint64_t seed)
    : Exchange(loop, settings, MakeRequestRouter(settings, seed)) {}

// ---- events and actions

void Exchange::HandleEvent(Event event) {
  pending_events_.push_back(std::move(event));
  if (handling_events_)
    return;  // an event caused by an action is handled after that action
  handling_events_ = true;
  while (!pending_events_.empty() || !closed_requests_.empty()) {
    if (pending_events_.empty()) {
      std::uint32_t request_id = closed_requests_.back();
      closed_requests_.pop_back();
      CleanUpRequest(request_id);
      continue;
    }
    Event next = std::move(pending_events_.front());
    pending_events_.pop_front();
    for (const Action& action : request_router_(loop_.now(), next))
      std::visit([this](const auto& event_action) { Execute(event_action); }, action);
  }
  handling_events_ = false;
}

// For a request that has its final response or whose client has disconnected: cancels the attempts
// that are still queued, whether or not the settings allow cancelling, since no cache has received
// them. Without it attempts would be started for clients that have left, for as long as a
// connection takes to be established. Removes the request when its last attempt has ended.
void Exchange::CleanUpRequest(std::uint32_t request_id) {
  Request* request = FindRequest(request_id);
  if (!request || request->response_sink)
    return;
  CancelUnsent(request_id, [](const Attempt&) { return true; });
  if (pending_events_.empty() &&
      std::none_of(request->attempts.begin(), request->attempts.end(), IsInFlight)) {
    if (MayHaveHadEffect(*request))
      executed_ids_.Add(request->metadata.id, loop_.now());
    requests_.erase(request_id);
  }
}

bool Exchange::MayHaveHadEffect(const Request& request) const {
  const auto index = static_cast<std::size_t>(request.metadata.request_class_index);
  return request_classes_[index].effect != Effect::kIdempotent &&
         std::any_of(request.attempts.begin(), request.attempts.end(), [](const Attempt& attempt) {
           return attempt.in_flight || attempt.may_have_run;
         });
}

template <class Predicate>
void Exchange::CancelUnsent(std::uint32_t request_id, Predicate predicate) {
  Request* request = FindRequest(request_id);
  std::size_t count =
      request ? request->attempts.size() : 0;  // without the attempts that replace them
  for (std::size_t i = 0; request && i < count; ++i) {
    AttemptKey key{request_id, static_cast<int>(i)};
    if (request->attempts[i].in_flight && request->streamed_attempt != key.attempt &&
        predicate(request->attempts[i]) &&
        upstream_->CancelUnsent(key, request->metadata, request->attempts[i].cache)) {
      OnAttemptExpired(key);
      request =
          FindRequest(request_id);  // the request router was called, and may have ended the request
    }
  }
}

template <class Predicate>
void Exchange::CancelUnsentWhere(Predicate predicate) {
  std::vector<std::uint32_t> request_ids;
  for (auto& [request_id, request] : requests_)
    request_ids.push_back(request_id);
  for (std::uint32_t request_id : request_ids)
    if (Request* request = FindRequest(request_id))
      CancelUnsent(request_id,
                   [&, request](const Attempt& attempt) { return predicate(*request, attempt); });
}

ResponseSink* Exchange::CloseRequest(std::uint32_t request_id) {
  closed_requests_.push_back(request_id);
  return std::exchange(FindRequest(request_id)->response_sink, nullptr);
}

void Exchange::Execute(const SendAttempt& action) {
  Request* request = FindRequest(action.request);
  if (!request)
    return;
  AttemptKey key{action.request, static_cast<int>(request->attempts.size())};
  std::vector<std::uint64_t> avoid;
  // The attempts of a request share its id. On a connection that carried one of them, its response,
  // or a duplicate of it, would be taken for the response to this attempt.
  for (const Attempt& attempt : request->attempts)
    if (attempt.cache == action.endpoint && attempt.connection != 0)
      avoid.push_back(attempt.connection);
  Ms now = loop_.now();
  Attempt attempt(memory_);
  attempt.cache = action.endpoint;
  attempt.source = action.source;
  attempt.sent_at = now;
  attempt.not_after = action.start_deadline;
  attempt.deadline = action.timeout > 0 ? std::min(request->expires_at, now + action.timeout)
                                        : request->expires_at;
  request->attempts.push_back(std::move(attempt));
  ++counters.attempts;
  counters.fills += action.source != action.endpoint;
  if (!request->response_sink || request->streamed_attempt >= 0)
    return EndAttempt(key, AttemptResult::kStartDeadlinePassed);
  SendAttempt bounded_action = action;
  bounded_action.timeout = action.timeout > 0 ? std::min(action.timeout, request->expires_at - now)
                                              : request->expires_at - now;
  if (bounded_action.timeout <= 0)
    return EndAttempt(key, AttemptResult::kStartDeadlinePassed);
  request->attempts.back().timer = loop_.RunAt(now + bounded_action.timeout, [this, key] {
    if (!FindInFlightAttempt(key) || FindRequest(key.request)->streamed_attempt == key.attempt)
      return;
    upstream_->Cancel(key, FindRequest(key.request)->metadata, FindInFlightAttempt(key)->cache);
    EndAttempt(key, AttemptResult::kTimedOut);
  });
  // An attempt that has not been started by then ends at once: waiting longer can't help it.
  if (action.start_deadline > 0)
    request->attempts.back().not_after_timer =
        loop_.RunAt(std::max(now, action.start_deadline), [this, key] {
          CancelUnsent(key.request, [&](const Attempt& attempt) {
            return &attempt == FindInFlightAttempt(key);
          });
        });
  std::uint64_t connection = upstream_->Send(key, request->metadata, bounded_action, avoid);
  if (Attempt* sent = FindInFlightAttempt(key))
    sent->connection = connection;
}

void Exchange::Execute(const CancelAttempt& action) {
  AttemptKey key{action.request, action.attempt};
  Attempt* attempt = FindInFlightAttempt(key);
  if (!attempt || FindRequest(action.request)->streamed_attempt == action.attempt)
    return;
  upstream_->Cancel(key, FindRequest(action.request)->metadata, attempt->cache);
  EndAttempt(key, AttemptResult::kCancelled);
}

void Exchange::Execute(const RejectRequest& action) {
  Request* request = FindRequest(action.request);
  if (!request || !request->response_sink || request->streamed_attempt >= 0)
    return;
  ++counters.rejected;
  ++counters
        .refused[static_cast<std::size_t>(action.reason)][static_cast<std::size_t>(action.size)];
  CloseRequest(action.request)->OnRejected(action.retry_after);
}

void Exchange::Execute(const FailRequest& action) {
  Request* request = FindRequest(action.request);
  if (!request || !request->response_sink || request->streamed_attempt >= 0)
    return;
  ++counters.failed;
  CloseRequest(action.request)->OnFailed();
}

void Exchange::Execute(const SetTimer& action) {
  loop_.RunAt(action.fires_at, [this, handle = action.handle] { HandleEvent(TimerFired{handle}); });
}

void Exchange::Execute(const ProbeEndpoint& action) {
  ++counters.probes;
  upstream_->Probe(action.endpoint);
}

void Exchange::Execute(const WriteLogLine& action) {
  log::Write("%s", action.text.c_str());
}

// ---- requests

Exchange::Request* Exchange::FindRequest(std::uint32_t request_id) {
  auto it = requests_.find(request_id);
  return it == requests_.end() ? nullptr : &it->second;
}

// A request's body is held here, in the message that waits for its connection, and in what is being
// written of it.
static std::size_t BodyBytesHeld(const RequestMetadata& metadata) {
  constexpr std::size_t kCopies = 3;
  return kCopies * metadata.body.size();
}

std::size_t BytesNeededFor(const RequestMetadata& metadata) {
  return BodyBytesHeld(metadata) + kMaxObjectBytes;
}

bool Exchange::IsIdTaken(std::string_view id) const {
  auto takes_id = [&](const auto& entry) {
    const Request& request = entry.second;
    return request.metadata.id == id && (request.response_sink || MayHaveHadEffect(request));
  };
  return executed_ids_.Contains(id) || std::any_of(requests_.begin(), requests_.end(), takes_id);
}

std::uint32_t Exchange::OnRequest(RequestMetadata metadata, ResponseSink& response_sink) {
  // No request lasts longer than its class's maximum deadline; a later client deadline would only
  // keep it in memory for longer.
  metadata.ttl = std::min(
      metadata.ttl,
      request_classes_[static_cast<std::size_t>(metadata.request_class_index)].max_deadline);
  do
    ++last_request_;
  while (requests_.count(last_request_));
  std::uint32_t number = last_request_;
  RequestArrived event;
  event.request = number;
  event.request_class = metadata.request_class_index;
  event.object = HashName(metadata.object);
  event.part = metadata.part_index;
  event.group = metadata.group;
  event.time_left = metadata.ttl;
  event.size_kb = metadata.size_kb;
  Request& request = requests_.try_emplace(number, memory_).first->second;
  request.memory.Set(BodyBytesHeld(metadata));
  request.expires_at = loop_.now() + metadata.ttl;
  request.metadata = std::move(metadata);
  request.response_sink = &response_sink;
  ++counters.requests;
  HandleEvent(event);
  return number;
}

void Exchange::OnClientDisconnected(std::uint32_t request_id) {
  Request* request = FindRequest(request_id);
  if (!request || !request->response_sink)
    return;
  ++counters.client_disconnects;
  CloseRequest(request_id);
  // An attempt whose response is streamed to the client serves no one else and ends with it.
  if (int attempt = std::exchange(request->streamed_attempt, -1); attempt >= 0)
    Execute(CancelAttempt{request_id, attempt});
  HandleEvent(ClientLeft{request_id});
}

void Exchange::ShortenDeadline(std::uint32_t request_id, Ms deadline_at) {
  Request* request = FindRequest(request_id);
  if (!request || !request->response_sink || request->streamed_attempt >= 0 ||
      deadline_at >= request->expires_at)
    return;
  request->expires_at = deadline_at;
  HandleEvent(DeadlineShortened{request_id, std::max(0.0, deadline_at - loop_.now())});
}

// ---- attempts

Exchange::Attempt* Exchange::FindInFlightAttempt(AttemptKey key) {
  Request* request = FindRequest(key.request);
  if (!request || key.attempt < 0 || key.attempt >= static_cast<int>(request->attempts.size()))
    return nullptr;
  Attempt& attempt = request->attempts[static_cast<std::size_t>(key.attempt)];
  return attempt.in_flight ? &attempt : nullptr;
}

void Exchange::CountResult(AttemptResult result) {
  Counters::Count* counts[] = {
      &counters.attempts_succeeded, &counters.errors,      &counters.shed,
      &counters.timed_out,          &counters.lost_unsent, &counters.lost_after_send,
      &counters.cancelled,          &counters.superseded,  &counters.misses};
  ++*counts[static_cast<int>(result)];
}

// False where the result shows that the server has not executed the attempt.
static bool MayHaveRun(AttemptResult result) {
  switch (result) {
    case AttemptResult::kFinished:
    case AttemptResult::kError:
    case AttemptResult::kTimedOut:
    case AttemptResult::kDisconnected:
    case AttemptResult::kCancelled:
      return true;
    case AttemptResult::kOverloaded:
    case AttemptResult::kNotSent:
    case AttemptResult::kStartDeadlinePassed:
    case AttemptResult::kMiss:
      return false;
  }
  return true;
}

void Exchange::EndAttempt(AttemptKey key, AttemptResult result, const ResponseHead& head,
                          int lost_with_connection, bool local_cause) {
  Request* request = FindRequest(key.request);
  Attempt& attempt = request->attempts[static_cast<std::size_t>(key.attempt)];
  attempt.in_flight = false;
  attempt.may_have_run = MayHaveRun(result);
  attempt.body = {};
  attempt.memory.Set(0);
  loop_.Cancel(attempt.timer);
  loop_.Cancel(attempt.not_after_timer);
  CountResult(result);
  AttemptEnded event;
  event.request = key.request;
  event.endpoint = attempt.cache;
  event.attempt = key.attempt;
  event.result = result;
  event.duration = loop_.now() - attempt.sent_at;
  event.final = !request->response_sink;
  event.cache_status = head.cache_status;
  event.fill_wait = head.queue_delay;
  event.earlier_on_connection = lost_with_connection;
  event.is_local_fault = local_cause;
  event.load_report = head.report;
  if (!request->response_sink)
    closed_requests_.push_back(key.request);
  HandleEvent(std::move(event));
}

void Exchange::OnAttemptResponseStarted(AttemptKey key, const ResponseHead& head,
                                        std::size_t length) {
  Attempt* attempt = FindInFlightAttempt(key);
  if (!attempt)
    return;
  Request& request = *FindRequest(key.request);
  if (!request.response_sink || request.streamed_attempt >= 0)
    return;
  if (!memory_.HasRoomFor(length))
    return RefuseResponse(key.request);
  attempt->memory.Set(length);
  attempt->body.reserve(length);
  // An empty response is not streamed: its head alone would be a complete response, before the end
  // behind the body has shown that the stated length is right.
  if (!request_classes_[static_cast<std::size_t>(request.metadata.request_class_index)].streams ||
      length == 0 || head.result != AttemptResult::kFinished || head.not_modified ||
      head.entity_tag.empty() || !head.has_issue_time)
    return;
  request.streamed_attempt = key.attempt;
  request.response_sink->OnResponseStarted(head.entity_tag, length);
  HandleEvent(ResponseStarted{key.request, attempt->cache, key.attempt});
}

// There is no room for the response: the request ends at once. It has run, so only a request that
// may run again is rejected.
void Exchange::RefuseResponse(std::uint32_t request_id) {
  Request& request = *FindRequest(request_id);
  const RequestClass& request_class =
      request_classes_[static_cast<std::size_t>(request.metadata.request_class_index)];
  const bool may_run_again = request_class.effect == Effect::kIdempotent;
  ++counters.memory_shortages;
  ++(may_run_again ? counters.rejected : counters.failed);
  ResponseSink* response_sink = CloseRequest(request_id);
  if (may_run_again)
    response_sink->OnRejected(0);
  else
    response_sink->OnFailed();
  HandleEvent(ClientLeft{request_id});
}

void Exchange::OnAttemptResponseData(AttemptKey key, std::string_view data) {
  Attempt* attempt = FindInFlightAttempt(key);
  if (!attempt)
    return;
  Request& request = *FindRequest(key.request);
  if (!request.response_sink)
    return;
  if (request.streamed_attempt < 0)
    attempt->body.append(data);
  else if (request.streamed_attempt == key.attempt)
    request.response_sink->OnResponseData(data);
}

void Exchange::OnAttemptResponseComplete(AttemptKey key, const ResponseHead& head) {
  Attempt* attempt = FindInFlightAttempt(key);
  if (!attempt)
    return;
  Request& request = *FindRequest(key.request);
  // Responses that violate the protocol: a client's copy is confirmed although the client named
  // none, or a cacheable object comes without its entity tag or age, and so may be any content of
  // any age.
  bool is_cacheable =
      !request_classes_[static_cast<std::size_t>(request.metadata.request_class_index)].uncacheable;
  bool lacks_metadata = is_cacheable && (head.entity_tag.empty() || !head.has_issue_time);
  if (head.result == AttemptResult::kFinished && request.streamed_attempt < 0 &&
      (lacks_metadata || (head.not_modified && request.metadata.entity_tag.empty())))
    return EndAttempt(key, AttemptResult::kError);
  if (head.result == AttemptResult::kFinished && request.response_sink &&
      (request.streamed_attempt < 0 || request.streamed_attempt == key.attempt)) {
    ResponseSink* response_sink = CloseRequest(key.request);
    ++(head.not_modified ? counters.not_modified : counters.succeeded);
    if (head.not_modified)
      response_sink->OnNotModified(head.entity_tag);
    else if (request.streamed_attempt < 0)
      response_sink->OnResponse(head.entity_tag, std::move(attempt->body));
    else
      response_sink->OnResponseComplete();
  }
  EndAttempt(key, head.result, head);
}

void Exchange::OnAttemptDisconnected(AttemptKey key, DisconnectReason reason, bool fully_written,
                                     int lost_with_connection) {
  if (!FindInFlightAttempt(key))
    return;
  Request& request = *FindRequest(key.request);
  if (request.streamed_attempt == key.attempt && request.response_sink) {
    ++counters.aborted_responses;
    CloseRequest(key.request)->OnResponseAborted();
  }
  EndAttempt(key, ToAttemptResult(reason, fully_written), {}, lost_with_connection,
             reason == DisconnectReason::kLocalShortage);
}

Ms Exchange::TimeLeft(AttemptKey key) {
  const Request* request = FindRequest(key.request);
  if (!request)
    return std::numeric_limits<Ms>::infinity();
  const Attempt* attempt = FindInFlightAttempt(key);
  if (!attempt || !request->response_sink || request->streamed_attempt >= 0)
    return 0;
  Ms now = loop_.now();
  if (attempt->not_after > 0 && now >= attempt->not_after)
    return 0;
  // Where the process was suspended since it last polled its sockets, the client may have
  // disconnected unnoticed. 50 ms is half of the 0.1 s after which an attempt started for a client
  // that has left counts as lost.
  constexpr Ms kMaxUnpolled = 50;
  if (now - loop_.LastWaitEnded() > kMaxUnpolled && request->response_sink->HasClientDisconnected())
    return 0;
  return std::max(0.0, std::min(attempt->deadline, request->expires_at) - now);
}

void Exchange::OnAttemptExpired(AttemptKey key) {
  Attempt* attempt = FindInFlightAttempt(key);
  if (!attempt)
    return;
  attempt->connection = 0;  // nothing was sent there, so no response can arrive there
  attempt->sent_at = loop_.now();
  EndAttempt(key, AttemptResult::kStartDeadlinePassed, {}, 0, true);
}

void Exchange::OnAttemptMoved(AttemptKey key, std::uint64_t connection) {
  if (Attempt* attempt = FindInFlightAttempt(key))
    attempt->connection = connection;
}

void Exchange::OnProbeEnded(std::uint32_t cache, bool answered, Ms took,
                            std::vector<float> report) {
  counters.probes_answered += answered;
  HandleEvent(ProbeEnded{cache, answered, took, std::move(report)});
}

// ---- updates from the discovery service

Exchange::KnownEndpoint& Exchange::FindOrAddEndpoint(const std::string& endpoint_id) {
  auto it = endpoints_.find(endpoint_id);
  if (it != endpoints_.end())
    return it->second;
  std::uint64_t hash = HashName(endpoint_id);
  auto number = static_cast<std::uint32_t>(hash ^ hash >> 32);
  while (number == 0 || used_numbers_.count(number) > 0)
    ++number;
  used_numbers_.insert(number);
  KnownEndpoint& endpoint = endpoints_[endpoint_id];
  endpoint.number = number;
  return endpoint;
}

// New endpoints appear under new ids all day. An endpoint that was removed longer ago than any
// request lasts, and than the routing decisions remember it, has no attempt in flight and is named
// nowhere.
void Exchange::RemoveStaleEndpoints() {
  constexpr Ms kRetention = 180 * 1000;
  std::erase_if(endpoints_, [&](auto& entry) {
    bool is_stale =
        entry.second.removed_at > 0 && entry.second.removed_at < loop_.now() - kRetention;
    if (!is_stale)
      return false;
    upstream_->RemoveEndpoint(entry.second.number);
    used_numbers_.erase(entry.second.number);
    return true;
  });
}

void Exchange::OnListUpdate(bool is_complete, const std::vector<ListedEndpoint>& entries,
                            std::optional<Ms> up_to_date_at) {
  ++counters.list_updates;
  EndpointListUpdate update;
  update.kind = is_complete ? ListUpdateKind::kSnapshot : ListUpdateKind::kChanges;
  RemoveStaleEndpoints();
  if (is_complete)
    for (auto& [id, endpoint] : endpoints_)  // an endpoint that a complete list lacks has left
      if (endpoint.removed_at == 0)
        endpoint.removed_at = loop_.now();
  for (const ListedEndpoint& listed : entries) {
    KnownEndpoint& endpoint = FindOrAddEndpoint(listed.id);
    if (listed.entry.state != EndpointState::kRemoved)
      endpoint.removed_at = 0;
    else if (endpoint.removed_at == 0)
      endpoint.removed_at = loop_.now();
    // A start that was announced before keeps the time of its first announcement, whatever else
    // about the endpoint changes.
    if (listed.entry.started_at.IsSet() && listed.entry.started_at != endpoint.started_at) {
      endpoint.started_at = listed.entry.started_at;
      endpoint.notified = {.at = loop_.now(), .up_to_date_at = up_to_date_at};
    }
    update.entries.push_back(listed.entry);
    update.entries.back().id = endpoint.number;
    update.entries.back().notified = endpoint.notified;
    upstream_->UpdateEndpoint(update.entries.back(), listed.id, listed.address);
  }
  has_endpoint_list_ |= is_complete;
  // Queued attempts to, or with a fill from, an endpoint that may no longer be used are decided
  // again: a drain that is announced between the decision and the write applies to them too.
  std::vector<std::uint32_t> unavailable;
  for (const ListEntry& entry : update.entries)
    if (entry.state != EndpointState::kReady)
      unavailable.push_back(entry.id);
  if (is_complete)
    for (auto& [id, endpoint] : endpoints_)
      if (endpoint.removed_at > 0)
        unavailable.push_back(endpoint.number);
  auto is_unavailable = [&](std::uint32_t endpoint_number) {
    return std::find(unavailable.begin(), unavailable.end(), endpoint_number) != unavailable.end();
  };
  HandleEvent(std::move(update));
  if (!unavailable.empty())
    CancelUnsentWhere([&](const Request&, const Attempt& attempt) {
      return is_unavailable(attempt.cache) || is_unavailable(attempt.source);
    });
}

// A queued attempt names an age limit computed before the purge, so it is decided again.
void Exchange::CancelUnsentPurged(std::string_view object, int group, int request_class) {
  CancelUnsentWhere([&](const Request& request, const Attempt&) {
    return request_class >= 0 ? request.metadata.request_class_index == request_class
           : object.empty()   ? request.metadata.group == group
                              : request.metadata.object == object;
  });
}

void Exchange::OnRecall(std::string_view object, int group, int request_class, bool lifted,
                        Ms ago) {
  ++counters.purges;
  Purged purge;
  purge.is_group = object.empty() && request_class < 0;
  purge.object = object.empty() ? 0 : HashName(object);
  purge.group = group;
  purge.age = ago;
  purge.is_recall = true;
  purge.is_lifted = lifted;
  purge.request_class = request_class;
  HandleEvent(purge);
  if (!lifted)
    CancelUnsentPurged(object, group, request_class);
}

void Exchange::SetMaxCopyAge(Ms max_age) {
  HandleEvent(MaxCopyAge{max_age});
  if (max_age > 0)
    CancelUnsentWhere([](const Request&, const Attempt&) { return true; });
}

void Exchange::OnPurge(bool whole_group, std::string_view object, int group, WallTime purged_at,
                       std::optional<Ms> up_to_date_at) {
  ++counters.purges;
  Purged purge;
  purge.is_group = whole_group;
  purge.object = whole_group ? 0 : HashName(object);
  purge.group = group;
  purge.stamped = Purged::Stamped{.stamp = purged_at,
                                  .notified = {.at = loop_.now(), .up_to_date_at = up_to_date_at}};
  HandleEvent(purge);
  CancelUnsentPurged(whole_group ? std::string_view{} : object, group, -1);
}

}  // namespace dunlinwick::exchange
