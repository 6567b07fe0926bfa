// Size fairness: in overload, the large requests of a class are not all rejected before the others
// of that class.
#pragma once
#include "logic/load.hpp"

namespace dunlinwick::logic {

struct SizeFairness : PolicyContext {
  const Load& load;

  // Each arrival credits its size bucket with this part of the admitted share of its class. A
  // credit of one admission exempts a request from rejection by utilisation and by the price of
  // open requests.
  void RecordArrival(Request& request) const {
    constexpr double kMinShare = 0.6;
    double& credit = request.class_state->CreditOf(request.transfer_time);
    credit += kMinShare * request.class_state->admitted_share;
    request.has_credit = credit >= 1 && settings.reports_cache_status && AreEndpointsHealthy();
    request.claimed_credit = std::min(credit, 1.0);
    credit -= request.claimed_credit;
  }
  static void RecordRejection(Request& request) {
    request.class_state->CreditOf(request.transfer_time) +=
        std::exchange(request.claimed_credit, 0);
    request.class_state->admitted_share -= kStep * request.class_state->admitted_share;
  }
  static void RecordAnswer(Request& request) {
    request.class_state->admitted_share += kStep * (1 - request.class_state->admitted_share);
  }

 private:
  static constexpr double kStep = 0.02;  // averages over the last fifty requests
  // While endpoints fail, hang or start, or did so lately, large requests sent to them are wasted.
  // Where answers carry no cache status, the health is too uncertain, and no request is exempt.
  bool AreEndpointsHealthy() const {
    constexpr Ms kRecent = 10 * kSecond;
    return std::all_of(
        load.endpoints.caches.begin(), load.endpoints.caches.end(), [&](const Endpoint* cache) {
          return cache->state == EndpointState::kReady && !cache->ejected &&
                 cache->consecutive_failures == 0 && now - cache->ejected_until > kRecent &&
                 !load.endpoints.ActiveSlowStart(*cache);
        });
  }
};

}  // namespace dunlinwick::logic
