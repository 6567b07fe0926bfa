#include "front/turning.hpp"

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
bool Parse(const std::string& text, Span& into) {
  into = text == "everywhere" ? Span::kEverywhere : text == "zone" ? Span::kZone : Span::kCell;
  return text == "everywhere" || text == "zone" || text == "cell";
}
bool Parse(const std::string& text, Weighing& into) {
  static const std::map<std::string, Weighing> names{{"none", Weighing::kNone},
                                                     {"nominal", Weighing::kNominal},
                                                     {"rough", Weighing::kRough},
                                                     {"live", Weighing::kLive}};
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
                  ColdTerms& c) {
  setters["cold." + name + ".from"] = SetterOf(c.from);
  setters["cold." + name + ".multiple"] = SetterOf(c.multiple);
  setters["cold." + name + ".lasts"] = SetterOf(c.lasts);
}

std::map<std::string, FieldSetter> FieldSetters(StoreSettings& settings) {
  std::map<std::string, FieldSetter> setters;
  for (std::size_t i = 0; i < settings.request_classes.size(); ++i) {
    RequestClass& request_class = settings.request_classes[i];
    std::string prefix = "offerings." + std::to_string(i) + ".";
    setters[prefix + "effect"] = SetterOf(request_class.effect);
    setters[prefix + "span"] = SetterOf(request_class.span);
    setters[prefix + "memory"] = SetterOf(request_class.memory);
    setters[prefix + "agreed"] = SetterOf(request_class.agreed);
    setters[prefix + "agreed_stretch"] = SetterOf(request_class.agreed_stretch);
    setters[prefix + "expiry"] = SetterOf(request_class.expiry);
    setters[prefix + "payoff"] = SetterOf(request_class.payoff);
    // `streams` and `never_kept` hold for the life of the process: the exchange and the clients'
    // side use them too.
    setters[prefix + "fresh_for"] = SetterOf(request_class.fresh_for);
  }
  setters["permits.probe"] = SetterOf(settings.may.probe);
  setters["permits.cancel"] = SetterOf(settings.may.cancel);
  setters["permits.two_legs_at_once"] = SetterOf(settings.may.two_attempts_at_once);
  setters["permits.join"] = SetterOf(settings.may.join);
  setters["permits.direct"] = SetterOf(settings.may.direct);
  AddSlowStart(setters, "store", settings.cold_store);
  AddSlowStart(setters, "parent", settings.cold_parent);
  setters["cold.window"] = SetterOf(settings.cold_window);
  setters["sheet.fronts"] = SetterOf(settings.fronts);
  setters["sheet.crew"] = SetterOf(settings.zone_replicas);
  setters["sheet.weighing"] = SetterOf(settings.weighing);
  setters["sheet.longest_retry_after"] = SetterOf(settings.longest_retry_after);
  setters["sheet.most_legs"] = SetterOf(settings.most_attempts);
  setters["sheet.places"] = SetterOf(settings.places);
  setters["sheet.lateral"] = SetterOf(settings.lateral);
  setters["sheet.stream_kb_per_ms"] = SetterOf(settings.stream_kb_per_ms);
  setters["sheet.link_kb_per_ms"] = SetterOf(settings.link_kb_per_ms);
  setters["sheet.link_report"] = SetterOf(settings.link_report);
  setters["sheet.remarks"] = SetterOf(settings.remarks);
  setters["sheet.purge_done"] = SetterOf(settings.purge_done);
  return setters;
}

}  // namespace

std::string ApplyConfiguration(const drift::CanonicalConfiguration& approved,
                               const drift::CanonicalConfiguration& active,
                               StoreSettings& settings) {
  StoreSettings next = settings;
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
