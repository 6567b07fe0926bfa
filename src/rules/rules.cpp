#include "rules/rules.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace dunlinwick::rules {
namespace {

constexpr std::array<const char*, 15> kKindNames{
    "asked",       "answered", "left",       "leg_came", "leg_ended",
    "leg_dropped", "ran",      "listed",     "purged",   "pushed_over",
    "cold_push",   "front_up", "front_down", "parted",   "unseen"};

std::string FormatMs(Ms ms) {
  return std::to_string(static_cast<long long>(ms + 0.5)) + " ms";
}

}  // namespace

const char* ToString(ObservationKind kind) {
  return kKindNames[static_cast<std::size_t>(kind)];
}

const char* ToString(Invariant invariant) {
  static const char* const kNames[] = {
      "one final answer, in time",   "no effect twice", "drains kept",
      "cold machines not pushed",    "purges kept",     "refusals not held back",
      "a front alone keeps its zone"};
  return kNames[static_cast<int>(invariant)];
}

std::string FormatTraceLine(const Observation& observation) {
  char numbers[160];
  std::snprintf(numbers, sizeof numbers, "\t%d\t%d\t%d\t%.3f\t%.3f\t%d", observation.request_class,
                observation.group, observation.status, observation.value, observation.limit,
                observation.flag ? 1 : 0);
  char time[40];
  std::snprintf(time, sizeof time, "%.3f\t", observation.at);
  std::string text = std::string(time) + ToString(observation.kind);
  for (const std::string* column : {&observation.request, &observation.object, &observation.actor,
                                    &observation.subject, &observation.state, &observation.tag})
    text.append("\t").append(column->empty() ? "-" : *column);
  return text + numbers;
}

std::optional<Observation> ParseTraceLine(std::string_view text) {
  std::vector<std::string> columns;
  while (true) {
    std::size_t end = text.find('\t');
    columns.emplace_back(text.substr(0, end));
    if (end == text.npos)
      break;
    text.remove_prefix(end + 1);
  }
  if (columns.size() != 14)
    return std::nullopt;
  auto parse = [](const std::string& column, auto& value) {
    auto [end, error] = std::from_chars(column.data(), column.data() + column.size(), value);
    return error == std::errc{} && end == column.data() + column.size();
  };
  Observation observation;
  auto kind = std::find(kKindNames.begin(), kKindNames.end(), columns[1]);
  int flag = 0;
  if (kind == kKindNames.end() || !parse(columns[0], observation.at) ||
      !parse(columns[8], observation.request_class) || !parse(columns[9], observation.group) ||
      !parse(columns[10], observation.status) || !parse(columns[11], observation.value) ||
      !parse(columns[12], observation.limit) || !parse(columns[13], flag))
    return std::nullopt;
  observation.kind = static_cast<ObservationKind>(kind - kKindNames.begin());
  observation.flag = flag != 0;
  int index = 2;
  for (std::string* column : {&observation.request, &observation.object, &observation.actor,
                              &observation.subject, &observation.state, &observation.tag}) {
    *column = columns[static_cast<std::size_t>(index++)];
    if (*column == "-")
      column->clear();
  }
  return observation;
}

Checker::Checker(Limits limits) : limits_(std::move(limits)) {}

void Checker::ReportViolation(Invariant invariant, const Observation& observation,
                              const std::string& actor, std::string description) {
  constexpr std::uint64_t kMaxViolations = 100;
  if (++counts_[static_cast<int>(invariant)] <= kMaxViolations)
    violations_.push_back(
        {invariant, observation.at, observation.request, actor, std::move(description)});
}

// Reports final responses that were due by `time` and are missing; drops requests that ended long
// ago.
void Checker::AdvanceTo(Ms time) {
  while (!deadlines_.empty() && deadlines_.begin()->first < time) {
    std::string id = deadlines_.begin()->second;
    Ms deadline = deadlines_.begin()->first;
    deadlines_.erase(deadlines_.begin());
    auto found = requests_.find(id);
    if (found == requests_.end())
      continue;
    Request& request = found->second;
    Front& front = fronts_[request.front];
    if (!request.answered && !request.client_disconnected && front.up &&
        front.front_life == request.front_life && deadline > responses_unobserved_until_) {
      Observation observation;
      observation.at = deadline;
      observation.request = id;
      ReportViolation(Invariant::kFinalResponse, observation, request.front,
                      "no final response within the " +
                          FormatMs(request.deadline - request.sent_at) + " of its client; " +
                          std::to_string(request.attempts.size()) + " attempts reached endpoints");
    }
  }
  constexpr Ms kRetention = 20000;
  while (!expiries_.empty() && expiries_.front().first < time - kRetention) {
    requests_.erase(expiries_.front().second);
    expiries_.pop_front();
  }
}

void Checker::HandleObservation(const Observation& observation) {
  AdvanceTo(observation.at);
  switch (observation.kind) {
    case ObservationKind::kRequestSent: {
      Request request;
      request.object = observation.object;
      request.front = observation.actor;
      request.request_class = observation.request_class;
      request.group = observation.group;
      request.sent_at = request.idle_since = observation.at;
      request.deadline = observation.at + observation.value;
      // Sent to a front that had been killed before its client could notice: no front received it.
      request.front_life =
          fronts_[observation.actor].up ? fronts_[observation.actor].front_life : -1;
      deadlines_.insert({request.deadline + limits_.slack, observation.request});
      expiries_.push_back({request.deadline, observation.request});
      requests_[observation.request] = std::move(request);
      return;
    }
    case ObservationKind::kResponseReceived:
      return HandleResponse(observation);
    case ObservationKind::kClientDisconnected:
      if (auto found = requests_.find(observation.request); found != requests_.end())
        found->second.client_disconnected = true;
      return;
    case ObservationKind::kAttemptReceived:
      return HandleAttemptReceived(observation);
    case ObservationKind::kAttemptEnded:
    case ObservationKind::kAttemptDropped:
      return HandleAttemptEnded(observation);
    case ObservationKind::kExecuted: {
      auto found = requests_.find(observation.request);
      if (found == requests_.end() ||
          limits_.request_classes[static_cast<std::size_t>(found->second.request_class)].effect !=
              Effect::kExclusive)
        return;
      auto [existing, inserted] =
          executed_effects_.insert({observation.object, observation.request});
      if (!inserted)
        ReportViolation(Invariant::kSingleEffect, observation, found->second.front,
                        "the effect of " + observation.object +
                            " was executed again; it had been executed for request " +
                            existing->second);
      return;
    }
    case ObservationKind::kEndpointUpdated: {
      auto& leaving = fronts_[observation.actor].leaving_endpoints;
      if (observation.state == "ready")
        leaving.erase(observation.subject);
      else
        leaving.insert({observation.subject, observation.at});  // the first announcement counts
      return;
    }
    case ObservationKind::kPurgeAnnounced: {
      auto& purges = fronts_[observation.actor].purges;
      purges.push_back({observation.flag, observation.object, observation.group, observation.value,
                        observation.at});
      // Once a purge is done everywhere and the requests that overlapped with it have ended, no
      // copy older than it is left.
      while (purges.front().announced_at < observation.at - limits_.purge_done - 20000)
        purges.pop_front();
      return;
    }
    case ObservationKind::kSlowStartExceeded:
      return ReportViolation(Invariant::kSlowStart, observation, observation.actor,
                             "is in slow start and was sent " + FormatMs(observation.value) +
                                 " of work in one window, where its limit is " +
                                 FormatMs(observation.limit));
    case ObservationKind::kSlowStartLoad:
      margins_.slow_start_share = std::max(margins_.slow_start_share, observation.value);
      return;
    case ObservationKind::kFrontUp: {
      Front& front = fronts_[observation.actor];
      front.up = true;
      front.leaving_endpoints.clear();
      front.purges.clear();
      return;
    }
    case ObservationKind::kFrontDown: {
      Front& front = fronts_[observation.actor];
      front.up = false;
      ++front.front_life;
      return;
    }
    case ObservationKind::kPartitioned: {
      Front& front = fronts_[observation.actor];
      front.partitioned_zone = observation.flag ? observation.group : -1;
      front.partitioned_at = observation.at;
      return;
    }
    case ObservationKind::kUnobserved:
      unobserved_until_ = std::max(unobserved_until_, observation.value);
      if (observation.flag)
        responses_unobserved_until_ = std::max(responses_unobserved_until_, observation.value);
      return;
  }
}

void Checker::HandleAttemptReceived(const Observation& observation) {
  auto found = requests_.find(observation.request);
  if (found == requests_.end())
    return ReportViolation(Invariant::kFinalResponse, observation, observation.actor,
                           "an attempt arrived for a request that no client sent");
  Request& request = found->second;
  const RequestClassPolicy& policy =
      limits_.request_classes[static_cast<std::size_t>(request.request_class)];
  Front& front = fronts_[request.front];
  // Drains: the endpoint of the attempt, and the source of its fill.
  for (const std::string* endpoint : {&observation.actor, &observation.subject}) {
    auto announced = front.leaving_endpoints.find(*endpoint);
    if (endpoint->empty() || announced == front.leaving_endpoints.end() ||
        observation.at < unobserved_until_)
      continue;
    margins_.attempt_after_drain =
        std::max(margins_.attempt_after_drain, observation.at - announced->second);
    if (observation.at > announced->second + limits_.drain_grace + limits_.slack)
      ReportViolation(Invariant::kDrain, observation, request.front,
                      (endpoint == &observation.actor ? "an attempt went to "
                                                      : "an attempt named as its source ") +
                          *endpoint + " " + FormatMs(observation.at - announced->second) +
                          " after the front was notified that it leaves");
  }
  // A failover decision of the fleet from before the partition may still be on its way, and is
  // reverted only after its hold time.
  constexpr Ms kDecisionDelay = 2000;
  if (front.partitioned_zone >= 0 && observation.at > front.partitioned_at + kDecisionDelay) {
    auto location =
        limits_.endpoint_locations.find(observation.actor.substr(0, observation.actor.find('+')));
    if (location != limits_.endpoint_locations.end() && location->second.first > 0 &&
        location->second.first != front.partitioned_zone)
      ReportViolation(Invariant::kZoneLocality, observation, request.front,
                      "partitioned from its fleet for " +
                          FormatMs(observation.at - front.partitioned_at) +
                          ", it sent an attempt to " + observation.actor + " of another zone");
  }
  bool may_have_executed = std::any_of(
      request.attempts.begin(), request.attempts.end(),
      [](const Attempt& attempt) { return attempt.outcome != AttemptOutcome::kNotExecuted; });
  if (policy.effect == Effect::kExclusive && may_have_executed)
    ReportViolation(Invariant::kSingleEffect, observation, request.front,
                    "an exclusive request got another attempt, at " + observation.actor +
                        ", although one at " + request.attempts.front().endpoint +
                        " may have been executed");
  if (policy.effect == Effect::kExclusive && request.rejected)
    ReportViolation(
        Invariant::kSingleEffect, observation, request.front,
        "an exclusive request got an attempt, at " + observation.actor + ", after it was rejected");
  if (policy.effect == Effect::kIdempotentWithKey && may_have_executed) {
    // A replacement, cache-3+1, has the location of cache-3.
    auto location_of = [&](const std::string& endpoint) {
      return limits_.endpoint_locations[endpoint.substr(0, endpoint.find('+'))];
    };
    auto location = location_of(observation.actor);
    for (const Attempt& attempt : request.attempts) {
      auto other = location_of(attempt.endpoint);
      bool same_scope =
          policy.deduplication_scope == DeduplicationScope::kEverywhere ||
          (policy.deduplication_scope == DeduplicationScope::kZone ? location.first == other.first
                                                                   : location == other);
      if (attempt.outcome != AttemptOutcome::kNotExecuted && !same_scope)
        ReportViolation(Invariant::kSingleEffect, observation, request.front,
                        "a request with an idempotency key that may have been executed at " +
                            attempt.endpoint + " went to " + observation.actor +
                            ", outside its deduplication scope");
      else if (attempt.outcome != AttemptOutcome::kNotExecuted && policy.deduplication_window > 0 &&
               observation.at > attempt.received_at + policy.deduplication_window + limits_.slack)
        ReportViolation(
            Invariant::kSingleEffect, observation, request.front,
            "a request with an idempotency key was sent again after its deduplication window");
    }
  }
  request.attempts.push_back(
      {observation.actor, observation.subject, observation.at, AttemptOutcome::kInFlight, {}, 0});
}

void Checker::HandleAttemptEnded(const Observation& observation) {
  auto found = requests_.find(observation.request);
  if (found == requests_.end())
    return;
  Request& request = found->second;
  request.idle_since = observation.at;
  for (auto attempt = request.attempts.rbegin(); attempt != request.attempts.rend(); ++attempt) {
    if (attempt->endpoint != observation.actor || attempt->outcome != AttemptOutcome::kInFlight)
      continue;
    bool not_executed =
        observation.kind == ObservationKind::kAttemptEnded &&
        (observation.state == "none" || observation.state == "shed" || observation.state == "late");
    attempt->outcome =
        not_executed ? AttemptOutcome::kNotExecuted : AttemptOutcome::kPossiblyExecuted;
    attempt->tag = observation.tag;
    attempt->issued = observation.value;
    return;
  }
}

void Checker::HandleResponse(const Observation& observation) {
  auto found = requests_.find(observation.request);
  if (found == requests_.end())
    return ReportViolation(Invariant::kFinalResponse, observation, observation.actor,
                           "a response arrived for a request that has ended");
  Request& request = found->second;
  const RequestClassPolicy& policy =
      limits_.request_classes[static_cast<std::size_t>(request.request_class)];
  if (request.answered)
    return ReportViolation(Invariant::kFinalResponse, observation, request.front,
                           "a second response arrived");
  request.answered = true;
  margins_.response_margin = std::min(margins_.response_margin, request.deadline - observation.at);
  if (observation.at > request.deadline + limits_.slack &&
      observation.at > responses_unobserved_until_)
    ReportViolation(Invariant::kFinalResponse, observation, request.front,
                    "the response arrived " + FormatMs(observation.at - request.deadline) +
                        " after its client's deadline");
  bool is_served = observation.status == 200 || observation.status == 304;
  if (is_served) {
    const Attempt* from = nullptr;
    for (const Attempt& attempt : request.attempts)
      if (!attempt.tag.empty() && attempt.tag == observation.tag)
        from = &attempt;
    if (!from || !observation.flag) {
      ReportViolation(Invariant::kFinalResponse, observation, request.front,
                      "answered with a body that no endpoint produced for it");
      return;
    }
    for (const Purge& purge : fronts_[request.front].purges) {
      if (from->issued >= purge.purged_at ||
          (purge.whole_group ? purge.group != request.group : purge.object != request.object))
        continue;
      // Any of the attempts that were answered with that tag could be the one that was sent late;
      // the first is taken.
      Ms first_received = from->received_at;
      for (const Attempt& attempt : request.attempts)
        if (attempt.tag == observation.tag)
          first_received = std::min(first_received, attempt.received_at);
      margins_.attempt_after_purge =
          std::max(margins_.attempt_after_purge, first_received - purge.announced_at);
      if (first_received > purge.announced_at + limits_.purge_grace + limits_.slack)
        ReportViolation(Invariant::kPurge, observation, request.front,
                        "answered from a copy " + FormatMs(purge.purged_at - from->issued) +
                            " older than a purge of its " +
                            (purge.whole_group ? "group" : "object") + "; the attempt was sent " +
                            FormatMs(first_received - purge.announced_at) +
                            " after the front was notified");
    }
    return;
  }
  request.rejected = observation.status == 429 || observation.status == 503;
  if (!request.rejected)
    return;
  bool has_attempt_in_flight = false;
  for (const Attempt& attempt : request.attempts) {
    has_attempt_in_flight |= attempt.outcome == AttemptOutcome::kInFlight;
    if (policy.effect == Effect::kExclusive && attempt.outcome != AttemptOutcome::kNotExecuted)
      ReportViolation(Invariant::kSingleEffect, observation, request.front,
                      "an exclusive request was rejected although its attempt at " +
                          attempt.endpoint + " may have been executed");
  }
  // Where endpoints have vanished, attempts may be in flight that nobody observes.
  if (has_attempt_in_flight || observation.at < unobserved_until_)
    return;
  Ms delay = observation.at - request.idle_since;
  margins_.rejection_delay = std::max(margins_.rejection_delay, delay);
  if (delay > limits_.max_rejection_delay)
    ReportViolation(Invariant::kPromptRejection, observation, request.front,
                    "rejected " + FormatMs(delay) + " after it arrived or its last attempt ended");
}

void Checker::Finish(Ms at) {
  AdvanceTo(at);
}

}  // namespace dunlinwick::rules
