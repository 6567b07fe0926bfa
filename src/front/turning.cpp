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
bool read(const std::string& text, Span& into) {
  into = text == "everywhere" ? Span::kEverywhere : text == "zone" ? Span::kZone : Span::kCell;
  return text == "everywhere" || text == "zone" || text == "cell";
}
bool read(const std::string& text, Weighing& into) {
  static const std::map<std::string, Weighing> words{{"none", Weighing::kNone},
                                                     {"nominal", Weighing::kNominal},
                                                     {"rough", Weighing::kRough},
                                                     {"live", Weighing::kLive}};
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
void Cold(std::map<std::string, Set>& all, const std::string& name, ColdTerms& c) {
  all["cold." + name + ".from"] = Into(c.from);
  all["cold." + name + ".multiple"] = Into(c.multiple);
  all["cold." + name + ".lasts"] = Into(c.lasts);
}

std::map<std::string, Set> Fields(StoreSettings& s) {
  std::map<std::string, Set> all;
  for (std::size_t i = 0; i < s.request_classes.size(); ++i) {
    RequestClass& o = s.request_classes[i];
    std::string at = "offerings." + std::to_string(i) + ".";
    all[at + "effect"] = Into(o.effect);
    all[at + "span"] = Into(o.span);
    all[at + "memory"] = Into(o.memory);
    all[at + "agreed"] = Into(o.agreed);
    all[at + "agreed_stretch"] = Into(o.agreed_stretch);
    all[at + "expiry"] = Into(o.expiry);
    all[at + "payoff"] = Into(o.payoff);
    all[at + "fresh_for"] = Into(o.fresh_for);  // streams, never_kept: of the process, since the
                                                // exchange and the clients go by them
  }
  all["permits.probe"] = Into(s.may.probe);
  all["permits.cancel"] = Into(s.may.cancel);
  all["permits.two_legs_at_once"] = Into(s.may.two_attempts_at_once);
  all["permits.join"] = Into(s.may.join);
  all["permits.direct"] = Into(s.may.direct);
  Cold(all, "store", s.cold_store);
  Cold(all, "parent", s.cold_parent);
  all["cold.window"] = Into(s.cold_window);
  all["sheet.fronts"] = Into(s.fronts);
  all["sheet.crew"] = Into(s.zone_replicas);
  all["sheet.weighing"] = Into(s.weighing);
  all["sheet.longest_retry_after"] = Into(s.longest_retry_after);
  all["sheet.most_legs"] = Into(s.most_attempts);
  all["sheet.places"] = Into(s.places);
  all["sheet.lateral"] = Into(s.lateral);
  all["sheet.stream_kb_per_ms"] = Into(s.stream_kb_per_ms);
  all["sheet.link_kb_per_ms"] = Into(s.link_kb_per_ms);
  all["sheet.link_report"] = Into(s.link_report);
  all["sheet.remarks"] = Into(s.remarks);
  all["sheet.purge_done"] = Into(s.purge_done);
  return all;
}

}  // namespace

std::string TakeUp(const drift::Form& approved, const drift::Form& active,
                   StoreSettings& settings) {
  StoreSettings next = settings;
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
