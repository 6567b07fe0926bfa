#include "front/apply_configuration.hpp"

#include <charconv>
#include <cmath>
#include <functional>

namespace dunlinwick::front {

namespace {

bool Parse(const std::string& text, double& into) {
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), into);
  return error == std::errc{} && end == text.data() + text.size() && std::isfinite(into) &&
         into >= 0;
}
bool Parse(const std::string& text, int& into) {
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), into);
  return error == std::errc{} && end == text.data() + text.size();
}
bool Parse(const std::string& text, bool& into) {
  into = text == "true";
  return text == "true" || text == "false";
}
bool Parse(const std::string& text, Effect& into) {
  into = text == "rerunnable" ? Effect::kIdempotent
         : text == "ticketed" ? Effect::kIdempotentWithKey
                              : Effect::kExclusive;
  return text == "rerunnable" || text == "ticketed" || text == "exclusive";
}
bool Parse(const std::string& text, DeduplicationScope& into) {
  into = text == "everywhere" ? DeduplicationScope::kEverywhere
         : text == "zone"     ? DeduplicationScope::kZone
                              : DeduplicationScope::kCell;
  return text == "everywhere" || text == "zone" || text == "cell";
}
bool Parse(const std::string& text, WeightSource& into) {
  static const std::map<std::string, WeightSource> names{{"none", WeightSource::kNone},
                                                         {"nominal", WeightSource::kNominal},
                                                         {"rough", WeightSource::kRough},
                                                         {"live", WeightSource::kLive}};
  auto at = names.find(text);
  if (at != names.end())
    into = at->second;
  return at != names.end();
}

using FieldSetter = std::function<bool(const std::string&)>;
template <class T>
FieldSetter SetterOf(T& field) {
  return [&field](const std::string& text) {
    return Parse(text, field);
  };
}
void AddSlowStart(std::map<std::string, FieldSetter>& setters, const std::string& name,
                  SlowStartSettings& c) {
  setters["cold." + name + ".from"] = SetterOf(c.initial_weight);
  setters["cold." + name + ".multiple"] = SetterOf(c.overload_factor);
  setters["cold." + name + ".lasts"] = SetterOf(c.duration);
}

std::map<std::string, FieldSetter> FieldSetters(DeploymentSettings& settings) {
  std::map<std::string, FieldSetter> setters;
  for (std::size_t i = 0; i < settings.request_classes.size(); ++i) {
    RequestClass& request_class = settings.request_classes[i];
    std::string prefix = "offerings." + std::to_string(i) + ".";
    setters[prefix + "effect"] = SetterOf(request_class.effect);
    setters[prefix + "span"] = SetterOf(request_class.deduplication_scope);
    setters[prefix + "memory"] = SetterOf(request_class.deduplication_window);
    setters[prefix + "agreed"] = SetterOf(request_class.latency_objective);
    setters[prefix + "agreed_stretch"] =
        SetterOf(request_class.latency_objective_per_transfer_time);
    setters[prefix + "expiry"] = SetterOf(request_class.max_deadline);
    setters[prefix + "payoff"] = SetterOf(request_class.priority_weight);
    // `streams` and `never_kept` hold for the life of the process: the exchange and the clients'
    // side use them too.
    setters[prefix + "fresh_for"] = SetterOf(request_class.freshness_lifetime);
  }
  setters["permits.probe"] = SetterOf(settings.permissions.probe);
  setters["permits.cancel"] = SetterOf(settings.permissions.cancel);
  setters["permits.two_legs_at_once"] = SetterOf(settings.permissions.concurrent_attempts);
  setters["permits.join"] = SetterOf(settings.permissions.coalesce);
  setters["permits.direct"] = SetterOf(settings.permissions.direct_to_origin);
  AddSlowStart(setters, "store", settings.cache_slow_start);
  AddSlowStart(setters, "parent", settings.parent_slow_start);
  setters["cold.window"] = SetterOf(settings.slow_start_window);
  setters["sheet.fronts"] = SetterOf(settings.fronts);
  setters["sheet.crew"] = SetterOf(settings.fronts_in_zone);
  setters["sheet.weighing"] = SetterOf(settings.weight_source);
  setters["sheet.longest_retry_after"] = SetterOf(settings.max_retry_after);
  setters["sheet.most_legs"] = SetterOf(settings.max_attempts);
  setters["sheet.places"] = SetterOf(settings.max_open_requests);
  setters["sheet.lateral"] = SetterOf(settings.fills_from_siblings);
  setters["sheet.stream_kb_per_ms"] = SetterOf(settings.stream_kb_per_ms);
  setters["sheet.link_kb_per_ms"] = SetterOf(settings.link_kb_per_ms);
  setters["sheet.link_report"] = SetterOf(settings.link_report_index);
  setters["sheet.remarks"] = SetterOf(settings.reports_cache_status);
  setters["sheet.purge_done"] = SetterOf(settings.purge_completion_time);
  return setters;
}

}  // namespace

std::string ApplyConfiguration(const drift::CanonicalConfiguration& approved,
                               const drift::CanonicalConfiguration& active,
                               DeploymentSettings& settings) {
  DeploymentSettings next = settings;
  auto setters = FieldSetters(next);
  for (const auto& [section, rows] : approved) {
    auto active_section = active.find(section);
    for (const auto& [name, value] : rows) {
      if (active_section != active.end())
        if (auto current = active_section->second.find(name);
            current != active_section->second.end() && current->second == value)
          continue;
      auto setter = setters.find(section + "." + name);
      if (setter == setters.end())
        return section + "." + name + " cannot change while the process runs";
      if (!setter->second(value))
        return section + "." + name + " cannot be " + value.substr(0, 64);
    }
  }
  // A request keeps the generation it began with, so a request class whose effect changes does so
  // only for requests that begin later.
  settings = std::move(next);
  return "";
}

}  // namespace dunlinwick::front
