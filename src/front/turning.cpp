#include "front/turning.hpp"

#include <charconv>
#include <cmath>
#include <functional>

namespace dunlinwick::front {

namespace {

bool read(const std::string& text, double& into) {
  auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), into);
  return fault == std::errc{} && end == text.data() + text.size() && std::isfinite(into) &&
         into >= 0;
}
bool read(const std::string& text, int& into) {
  auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), into);
  return fault == std::errc{} && end == text.data() + text.size();
}
bool read(const std::string& text, bool& into) {
  into = text == "true";
  return text == "true" || text == "false";
}
bool read(const std::string& text, Effect& into) {
  into = text == "rerunnable" ? Effect::kIdempotent
         : text == "ticketed" ? Effect::kIdempotentWithKey
                              : Effect::kExclusive;
  return text == "rerunnable" || text == "ticketed" || text == "exclusive";
}
bool read(const std::string& text, DeduplicationScope& into) {
  into = text == "everywhere" ? DeduplicationScope::kEverywhere
         : text == "zone"     ? DeduplicationScope::kZone
                              : DeduplicationScope::kCell;
  return text == "everywhere" || text == "zone" || text == "cell";
}
bool read(const std::string& text, WeightSource& into) {
  static const std::map<std::string, WeightSource> words{{"none", WeightSource::kNone},
                                                         {"nominal", WeightSource::kNominal},
                                                         {"rough", WeightSource::kRough},
                                                         {"live", WeightSource::kLive}};
  auto at = words.find(text);
  if (at != words.end())
    into = at->second;
  return at != words.end();
}

using Set = std::function<bool(const std::string&)>;
template <class T>
Set Into(T& field) {
  return [&field](const std::string& text) {
    return read(text, field);
  };
}
void Cold(std::map<std::string, Set>& all, const std::string& name, SlowStartSettings& c) {
  all["cold." + name + ".from"] = Into(c.initial_weight);
  all["cold." + name + ".multiple"] = Into(c.overload_factor);
  all["cold." + name + ".lasts"] = Into(c.duration);
}

std::map<std::string, Set> Fields(DeploymentSettings& s) {
  std::map<std::string, Set> all;
  for (std::size_t i = 0; i < s.request_classes.size(); ++i) {
    RequestClass& o = s.request_classes[i];
    std::string at = "offerings." + std::to_string(i) + ".";
    all[at + "effect"] = Into(o.effect);
    all[at + "span"] = Into(o.deduplication_scope);
    all[at + "memory"] = Into(o.deduplication_window);
    all[at + "agreed"] = Into(o.latency_objective);
    all[at + "agreed_stretch"] = Into(o.latency_objective_stretch);
    all[at + "expiry"] = Into(o.max_deadline);
    all[at + "payoff"] = Into(o.priority_weight);
    all[at + "fresh_for"] =
        Into(o.freshness_lifetime);  // streams, never_kept: of the process, since the
                                     // exchange and the clients go by them
  }
  all["permits.probe"] = Into(s.permissions.probe);
  all["permits.cancel"] = Into(s.permissions.cancel);
  all["permits.two_legs_at_once"] = Into(s.permissions.concurrent_attempts);
  all["permits.join"] = Into(s.permissions.coalesce);
  all["permits.direct"] = Into(s.permissions.direct_to_origin);
  Cold(all, "store", s.cache_slow_start);
  Cold(all, "parent", s.parent_slow_start);
  all["cold.window"] = Into(s.slow_start_window);
  all["sheet.fronts"] = Into(s.fronts);
  all["sheet.crew"] = Into(s.zone_replicas);
  all["sheet.weighing"] = Into(s.weight_source);
  all["sheet.longest_retry_after"] = Into(s.max_retry_after);
  all["sheet.most_legs"] = Into(s.max_attempts);
  all["sheet.places"] = Into(s.max_open_requests);
  all["sheet.lateral"] = Into(s.fills_from_siblings);
  all["sheet.stream_kb_per_ms"] = Into(s.stream_kb_per_ms);
  all["sheet.link_kb_per_ms"] = Into(s.link_kb_per_ms);
  all["sheet.link_report"] = Into(s.link_report_index);
  all["sheet.remarks"] = Into(s.reports_cache_status);
  all["sheet.purge_done"] = Into(s.purge_completion_time);
  return all;
}

}  // namespace

std::string TakeUp(const drift::Form& approved, const drift::Form& active,
                   DeploymentSettings& settings) {
  DeploymentSettings next = settings;
  auto all = Fields(next);
  for (const auto& [section, rows] : approved) {
    auto at = active.find(section);
    for (const auto& [name, value] : rows) {
      if (at != active.end())
        if (auto is = at->second.find(name); is != at->second.end() && is->second == value)
          continue;
      auto set = all.find(section + "." + name);
      if (set == all.end())
        return section + "." + name + " holds for the life of a process";
      if (!set->second(value))
        return section + "." + name + " can't be " + value.substr(0, 64);
    }
  }
  // An offering whose effect changes under open pulls is one generation's each: nothing of the
  // pulls under way turns with it.
  settings = std::move(next);
  return "";
}

}  // namespace dunlinwick::front
