// What is learnt from the traffic about objects and request classes: request rates, idle windows,
// retention ranks and sizes.
#pragma once
#include "logic/purges.hpp"

namespace dunlinwick::logic {

struct TrafficStatistics : PolicyContext {
  // The time constant with which request counts decay.
  static constexpr Ms kCountDecay = 30 * kSecond;
  // Where no freshness lifetime limits the idle window.
  static constexpr Ms kMaxIdleWindow = 4 * kCountDecay;
  const Purges& purges;
  std::vector<ClassState> class_states{};
  HistoryTable histories{};

  void Initialize(const std::vector<RequestClass>& request_classes) {
    // Until the first requests are seen: a transfer time on the long side, and an idle window of a
    // few seconds.
    for (const RequestClass& request_class : request_classes)
      class_states.push_back({request_class, request_class.max_deadline / 16, 5 * kSecond});
  }

  PartHistory* FindOrAdd(std::uint64_t object, int part) {
    constexpr std::size_t kMaxHistories = 1 << 16;  // the parts requested from a busy front within
                                                    // some minutes
    std::uint64_t key = MixHash(object) + static_cast<std::uint64_t>(part);
    if (PartHistory* found = histories.Touch(key, now))
      return found;
    // A history that was not used for four decay times has next to no count left. It is dropped
    // even where a long freshness lifetime permits a longer idle window.
    auto is_obsolete = [&](Ms used_at) {
      return histories.by_use.size() >= kMaxHistories || used_at < now - kMaxIdleWindow;
    };
    while (histories.IsOldestUnused() && is_obsolete(histories.by_use.front().used_at))
      histories.EraseOldest();
    return histories.Add(key, now);
  }

  // Counts a request on its arrival. Its transfer time follows from its size if that is known, and
  // is the mean of its class otherwise.
  void RecordArrival(Request& request) {
    ClassState& class_state = *request.class_state;
    PartHistory& history = *(request.history = FindOrAdd(request.object, request.part));
    ++history.open_requests;
    request.idle_time = history.last_request_at > kLongAgo ? now - history.last_request_at : 0;
    history.request_count =
        history.request_count *
            (history.last_request_at > kLongAgo ? std::exp(-request.idle_time / kCountDecay) : 0) +
        1;
    history.last_request_at = now;
    request.last_cache = history.last_cache;
    request.transfer_time = class_state.mean_transfer_time;
    if (request.size_kb > 0 && settings.stream_kb_per_ms > 0) {
      request.transfer_time = request.size_kb / settings.stream_kb_per_ms;
      // An object's parts come one after another and have one size: five hundred are some thirty
      // objects. Cost: the mean follows a change of the traffic within minutes only.
      constexpr int kMeanWeight = 500;
      class_state.transfers_seen = std::min(class_state.transfers_seen + 1, kMeanWeight);
      class_state.mean_transfer_time +=
          (request.transfer_time - class_state.mean_transfer_time) / class_state.transfers_seen;
    }
    request.retention_rank = RetentionRankOf(request);
  }

  // The idle window settles where as many answers miss below it as hit above it: the idle time up
  // to which most answers are hits. Nothing is learnt from a cache that started lately, from purged
  // objects, or from another cache than the part's last one; and the window stays within the
  // freshness lifetime. Otherwise the misses that follow a deployment would shorten it at all
  // fronts.
  void LearnIdleWindow(const Request& request, const Attempt& attempt, bool hit) const {
    constexpr double kStep = 0.02;  // fifty answers change it by a factor of e
    ClassState& class_state = *request.class_state;
    if (attempt.endpoint != request.last_cache || request.idle_time <= 0 ||
        purges.LatestFor(request) > kLongAgo)
      return;
    if (attempt.endpoint->slow_start_from > 0 &&
        now - attempt.endpoint->slow_start_from <
            settings.cache_slow_start.duration + request.idle_time)
      return;
    if (hit && request.idle_time > class_state.idle_window)
      class_state.idle_window *= 1 + kStep;
    if (!hit && request.idle_time < class_state.idle_window)
      class_state.idle_window *= 1 - kStep;
    Ms max_window =
        class_state.freshness_lifetime > 0 ? class_state.freshness_lifetime : kMaxIdleWindow;
    class_state.idle_window = std::clamp(class_state.idle_window, kSecond / 2, max_window);
  }

  // Three ranks, even thirds of the probability that the part is requested again within the idle
  // window of its class.
  int RetentionRankOf(const Request& request) const {
    // This request itself is no evidence of requests to other fronts.
    double request_rate =
        ((request.history->request_count - 1) * settings.fronts_in_zone + 1) / kCountDecay;
    double hit_probability = 1 - std::exp(-request_rate * request.class_state->idle_window);
    return hit_probability > 2.0 / 3 ? 3 : hit_probability > 1.0 / 3 ? 2 : 1;
  }
};

}  // namespace dunlinwick::logic
