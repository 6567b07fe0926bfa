// The state that the routing policy keeps in memory: plain records without decisions. Only
// src/logic/ uses them.
#pragma once
#include <algorithm>
#include <array>
#include <cmath>
#include <deque>

#include "logic.hpp"

namespace dunlinwick::logic {

constexpr Ms kLongAgo = -1e15;

enum class Role {
  kLocalCache,
  kParent,
  kOrigin,
  kRemoteZoneCache
};

// Logarithmic buckets of transfer times, relative to the mean of the class. Each bound is sqrt(2)
// times the one before.
constexpr int kSizeBuckets = 16;

// The settings of one request class, with what has been learnt of it.
struct ClassState : RequestClass {
  Ms mean_transfer_time = 0;
  Ms idle_window = 0;  // a part requested again within this time is expected to be a cache hit
  double admitted_share = 1;                            // moving average over its recent requests
  std::array<double, kSizeBuckets> admission_credit{};  // by size bucket
  double& CreditOf(Ms transfer_time) {
    const double step =
        2 * std::log2(std::max(transfer_time, 1.0) / std::max(mean_transfer_time, 1.0));
    return admission_credit[static_cast<std::size_t>(
        std::clamp(step + kSizeBuckets / 2.0, 0.0, kSizeBuckets - 1.0))];
  }
  int transfers_seen = 0;  // counted up to the weight of the moving average of their times
};

// How many transfers an endpoint or link carries at full speed.
struct CapacityEstimate {
  double nominal = 0;       // from its weight or a default; raised when answers show more
  double present = 0;       // as its latest answers suggest
  double demonstrated = 0;  // the highest load that it has carried, approached slowly from below
  Ms updated_at = 0;
};

// Attempts of this front in flight, now and on average over the last seconds.
struct InFlightCounter {
  double current = 0;
  double mean = 0;
  Ms updated_at = kLongAgo;
};

// An entry of the endpoint list. One that was removed is erased by a list update once no request
// refers to it and nothing that was sent to it in the last minute was answered.
struct Endpoint : ListEntry {
  Role role = Role::kRemoteZoneCache;
  InFlightCounter in_flight;  // attempts of this front sent to it, or filled from it
  CapacityEstimate capacity;
  Ms slow_start_from = 0;  // on this front's clock; 0: started long ago
  std::deque<std::pair<Ms, double>>
      slow_start_spent;  // work sent, by time; erased as the window passes
  Ms budget_draw_until = kLongAgo;
  double budget_draw = 1;  // drawn from 0 to 1, for one window of the slow start budget
  int consecutive_failures = 0;
  int consecutive_probe_successes = 0;
  bool ejected = false;
  bool half_open_attempt_in_flight = false;  // one that tests an ejected endpoint
  bool may_have_restarted = false;
  Ms ejected_until = 0;
  Ms backoff = 0;
  Ms overloaded_until = 0;
  // When the latest of the attempts was sent that it answered (also with a miss or as overloaded),
  // or filled as a source.
  Ms last_answered_sent_at = kLongAgo;
  // Slowdown: the duration of its fills over that of an uncontended transfer.
  double fill_stretch = 1;
  double cached_fill_stretch = 1;  // the same for fills with only_if_cached
  Ms fill_stretch_at = kLongAgo;
  Ms cached_fill_stretch_at = kLongAgo;
  double object_share = 1;  // of the objects that hash to it, those still requested from it
  Ms object_share_at = kLongAgo;
  Ms object_share_cut_at = kLongAgo;
  bool IsCache() const {
    return role == Role::kLocalCache || role == Role::kRemoteZoneCache;
  }
};

// The request history of one part of one object. The oldest is erased when the table is full, or
// when it has aged out.
struct PartHistory {
  std::uint64_t key = 0;
  Ms used_at = kLongAgo;
  Ms last_request_at = kLongAgo;
  double request_count = 0;        // decays exponentially
  Endpoint* last_cache = nullptr;  // the cache that served it last
  int open_requests = 0;           // that refer to this history
};

struct Attempt {
  Endpoint* endpoint = nullptr;
  Endpoint* source = nullptr;  // nullptr: no fill
  Ms sent_at = 0;
  double load = 1;
  double fill_load = 0;  // on the link, in transfers at full speed
  bool in_flight = true;
  bool never_ran = false;
  bool returned_error = false;
  bool only_if_cached = false;  // the source must not fetch the object itself
};

struct Request : RequestArrived {
  ClassState* class_state = nullptr;
  Ms deadline = 0;
  Ms objective_at = 0;   // when its latency objective ends
  Ms transfer_time = 0;  // of its own size, uncontended
  Ms idle_time = 0;      // since the previous request for the same part; 0: unknown
  PartHistory* history = nullptr;
  Endpoint* last_cache = nullptr;  // as its part's history had it when the request arrived
  int retention_rank = 1;
  bool ended = false;
  bool streaming = false;
  bool sibling_missed = false;
  bool known_miss = false;
  // The latest attempt was sent with only_if_cached, and is in flight or its source lacked the
  // object: no more attempts are sent.
  bool missed_only_if_cached = false;
  bool only_if_cached = false;  // no source could fetch the object in time
  bool has_credit = false;      // of its size bucket, for an admission whatever its size
  double claimed_credit = 0;    // taken from its size bucket; given back if it is rejected
  std::vector<Attempt> attempts;
  std::vector<Endpoint*> excluded;  // caches and sources that this request does not try again
  SizeBand Band() const {
    return transfer_time > 2 * class_state->mean_transfer_time   ? SizeBand::kLarge
           : transfer_time < class_state->mean_transfer_time / 2 ? SizeBand::kSmall
                                                                 : SizeBand::kUsual;
  }
  bool IsExcluded(const Endpoint* endpoint) const {
    return std::count(excluded.begin(), excluded.end(), endpoint) > 0;
  }
  bool HasAttemptInFlight() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const Attempt& attempt) { return attempt.in_flight; });
  }
  bool RefersTo(const Endpoint* endpoint) const {
    auto uses = [&](const Attempt& attempt) {
      return attempt.endpoint == endpoint || attempt.source == endpoint;
    };
    return last_cache == endpoint || IsExcluded(endpoint) ||
           std::any_of(attempts.begin(), attempts.end(), uses);
  }
  // 0 while no size has been reported in its class.
  Ms KnownTransferTime() const {
    return class_state->transfers_seen ? transfer_time : 0;
  }
};

}  // namespace dunlinwick::logic
