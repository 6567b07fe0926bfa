// What the components of the routing policy share: the event being handled, the settings, and the
// open requests. No decisions.
#pragma once
#include <cmath>
#include <random>

#include "logic_state/tables.hpp"

namespace dunlinwick::logic {

constexpr Ms kSecond = 1000;

// The upper byte of a timer's handle.
enum TimerKind : std::uint64_t {
  kRequestTimer = 1,
  kEndpointTimer = 2,
  kListTimer = 3
};

// The deployment settings as the components use them; what follows from them each component derives
// itself, at start.
struct PolicySettings {
  int zone;
  int fronts_in_zone;
  int fronts;
  int max_open_requests;
  int parent_kind;
  int origin_kind;
  int max_attempts;
  int link_report_index;
  Permissions permissions;
  bool polls_endpoint_list;
  bool fills_from_siblings;
  bool reports_cache_status;
  WeightSource weight_source;
  Ms max_retry_after;
  Ms purge_completion_time;
  Ms slow_start_window;
  double stream_kb_per_ms;
  double link_capacity;  // in transfers at full speed; 0: unknown
  SlowStartSettings cache_slow_start;
  SlowStartSettings parent_slow_start;
  explicit PolicySettings(const DeploymentSettings& deployment)
      : zone(deployment.zone),
        fronts_in_zone(std::max(1, deployment.fronts_in_zone)),
        fronts(std::max(1, deployment.fronts)),
        max_open_requests(deployment.max_open_requests),
        parent_kind(deployment.parent_kind),
        origin_kind(deployment.origin_kind),
        max_attempts(deployment.max_attempts),
        link_report_index(deployment.link_report_index),
        permissions(deployment.permissions),
        polls_endpoint_list(deployment.polls_endpoint_list),
        fills_from_siblings(deployment.fills_from_siblings),
        reports_cache_status(deployment.reports_cache_status),
        weight_source(deployment.weight_source),
        max_retry_after(deployment.max_retry_after),
        purge_completion_time(deployment.purge_completion_time),
        slow_start_window(deployment.slow_start_window),
        stream_kb_per_ms(deployment.stream_kb_per_ms),
        link_capacity(deployment.link_kb_per_ms > 0 && deployment.stream_kb_per_ms > 0
                          ? deployment.link_kb_per_ms / deployment.stream_kb_per_ms
                          : 0),
        cache_slow_start(deployment.cache_slow_start),
        parent_slow_start(deployment.parent_slow_start) {}
};

inline Role RoleOf(const ListEntry& entry, const PolicySettings& settings) {
  if (entry.kind == settings.origin_kind)
    return Role::kOrigin;
  if (entry.kind == settings.parent_kind)
    return Role::kParent;
  return entry.zone == settings.zone ? Role::kLocalCache : Role::kRemoteZoneCache;
}

// The value at `index` of an answer's load report; NaN where there is none.
inline double ReportedValue(const std::vector<float>& load_report, int index) {
  bool exists = index >= 0 && index < static_cast<int>(load_report.size());
  return exists ? static_cast<double>(load_report[static_cast<std::size_t>(index)]) : std::nan("");
}

struct EventContext {
  Ms now = 0;
  std::vector<Action>* actions = nullptr;  // to carry out, in order
  std::knuth_b random_engine;
};

// The base of each component of the policy.
struct PolicyContext {
  EventContext& event;
  const PolicySettings& settings;
  Requests& requests;
  const Ms& now = event.now;
  void Emit(Action action) const {
    event.actions->push_back(std::move(action));
  }
  double Uniform(double from = 0, double to = 1) const {
    return std::uniform_real_distribution<>(from, to)(event.random_engine);
  }
};

}  // namespace dunlinwick::logic
