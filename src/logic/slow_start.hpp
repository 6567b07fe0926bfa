// Slow start: the budgets of endpoints that started lately, bounded by what all fronts together may
// send to them.
#pragma once
#include "logic/load.hpp"

namespace dunlinwick::logic {

struct SlowStart : PolicyContext {
  const Load& load;

  // The transfers that an endpoint of its kind carries after its slow start, estimated on the low
  // side.
  double FullCapacity(const Endpoint& endpoint) const {
    if (load.endpoints.has_weights)
      return endpoint.weight;
    double lowest = 0;
    for (const Endpoint* other :
         endpoint.role == Role::kParent ? load.endpoints.parents : load.endpoints.caches)
      if (other->kind == endpoint.kind && !load.endpoints.ActiveSlowStart(*other))
        lowest = lowest > 0 ? std::min(lowest, other->capacity.demonstrated)
                            : other->capacity.demonstrated;
    return lowest > 0 ? lowest : endpoint.capacity.demonstrated;
  }

  // The deployment limits the work that all fronts together send to an endpoint in any window.
  // Where the limit is worth N mean requests, it tolerates 2 sqrt(N) + 2 more for chance. This
  // front uses half of its even share, since requests come in bursts. A share may be under one
  // request. So a random number, drawn once a window so that no budget is saved up, decides on
  // requests beyond it: with probability share / mean work, the sum may go up to the mean work of
  // one request; a larger request is admitted with probability (share - spent) / its work, if its
  // work is at most `largest`. Cost: the largest requests go to endpoints outside of slow start.
  bool CanAfford(Endpoint& endpoint, Ms work) const {
    const SlowStartSettings* slow_start = load.endpoints.ActiveSlowStart(endpoint);
    if (!slow_start || slow_start->overload_factor <= 0 || settings.slow_start_window <= 0)
      return true;
    DropExpired(endpoint);
    double allowed = slow_start->overload_factor * FullCapacity(endpoint) *
                     load.endpoints.RampWeight(endpoint) * settings.slow_start_window,
           spent = 0;
    int sharers = load.SharersOf(endpoint);
    double share = 0.5 * allowed / sharers * KnownShareOfWindow(endpoint);
    if (now >= endpoint.budget_draw_until) {
      endpoint.budget_draw = Uniform();
      endpoint.budget_draw_until = now + settings.slow_start_window;
    }
    for (auto& [sent_at, sent_work] : endpoint.slow_start_spent)
      spent += sent_work;
    if (spent + work <= std::max(share, endpoint.budget_draw * mean_work < share ? mean_work : 0))
      return true;
    double limit = allowed + 2 * std::sqrt(allowed * mean_work) + 2 * mean_work;
    // Fronts may all send their largest request within one window: the limit then has to cover as
    // many of them as the draw admits at the same time.
    constexpr int kMaxCoinciding = 8;
    double largest = std::min(limit / 2, (limit - allowed / 2) / std::min(sharers, kMaxCoinciding));
    return work <= largest && endpoint.budget_draw * work < share - spent;
  }

  // The part of the window that this process has seen. What a previous process sent before it was
  // killed is not known: the share grows from nothing to the whole within a window, so that all
  // previous processes and this one stay within two shares, however often the front restarts. Cost:
  // for a window after a restart, less goes to endpoints in slow start.
  double KnownShareOfWindow(const Endpoint& endpoint) const {
    bool previous_process_may_have_sent = endpoint.slow_start_from < first_request_at;
    return previous_process_may_have_sent
               ? std::clamp((now - first_request_at) / settings.slow_start_window, 0.0, 1.0)
               : 1;
  }

  // Its own work, and not less than the mean of its class, since the deployment may count requests
  // by that mean.
  static Ms WorkOf(const Request& request) {
    return std::max(request.transfer_time, request.class_state->mean_transfer_time);
  }
  // Charged to endpoints outside of slow start too: what was sent before the notification of a
  // restart reached the new process.
  void Charge(Endpoint& endpoint, Ms work) const {
    DropExpired(endpoint);
    endpoint.slow_start_spent.emplace_back(now, work);
  }
  void DropExpired(Endpoint& endpoint) const {
    while (!endpoint.slow_start_spent.empty() &&
           endpoint.slow_start_spent.front().first < now - settings.slow_start_window)
      endpoint.slow_start_spent.pop_front();
  }

  // The mean work of this front's requests. It is averaged over many, since an object's parts come
  // one after another.
  double mean_work = 0;
  double requests_seen = 0;
  Ms first_request_at = kLongAgo;  // of this process
  void RecordArrival(Ms work) {
    if (requests_seen == 0)
      first_request_at = now;
    mean_work += (work - mean_work) /
                 (requests_seen = std::min(requests_seen + 1, 500.0));  // some thirty objects
  }
};

}  // namespace dunlinwick::logic
