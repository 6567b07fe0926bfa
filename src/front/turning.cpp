#include "front/turning.hpp"

#include <charconv>
#include <cmath>
#include <functional>

namespace dunlinwick::front {

namespace {

bool read(const std::string& text, double& into) {
  auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), into);
  return fault == std::errc{} && end == text.data() + text.size() && std::isfinite(into) && into >= 0;
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
  into = text == "rerunnable" ? Effect::rerunnable : text == "ticketed" ? Effect::ticketed : Effect::exclusive;
  return text == "rerunnable" || text == "ticketed" || text == "exclusive";
}
bool read(const std::string& text, Span& into) {
  into = text == "everywhere" ? Span::everywhere : text == "zone" ? Span::zone : Span::cell;
  return text == "everywhere" || text == "zone" || text == "cell";
}
bool read(const std::string& text, Weighing& into) {
  static const std::map<std::string, Weighing> words{{"none", Weighing::none}, {"nominal", Weighing::nominal}, {"rough", Weighing::rough}, {"live", Weighing::live}};
  auto at = words.find(text);
  if (at != words.end()) into = at->second;
  return at != words.end();
}

using Set = std::function<bool(const std::string&)>;
template <class T>
Set into(T& field) {
  return [&field](const std::string& text) { return read(text, field); };
}
void cold(std::map<std::string, Set>& all, const std::string& name, ColdTerms& c) {
  all["cold." + name + ".from"] = into(c.from), all["cold." + name + ".multiple"] = into(c.multiple), all["cold." + name + ".lasts"] = into(c.lasts);
}

std::map<std::string, Set> fields(StoreSheet& s) {
  std::map<std::string, Set> all;
  for (std::size_t i = 0; i < s.offerings.size(); ++i) {
    Offering& o = s.offerings[i];
    std::string at = "offerings." + std::to_string(i) + ".";
    all[at + "effect"] = into(o.effect), all[at + "span"] = into(o.span), all[at + "memory"] = into(o.memory), all[at + "agreed"] = into(o.agreed);
    all[at + "agreed_stretch"] = into(o.agreedStretch), all[at + "expiry"] = into(o.expiry), all[at + "payoff"] = into(o.payoff);
    all[at + "fresh_for"] = into(o.freshFor);  // streams, never_kept: of the process, since the exchange and the clients go by them
  }
  all["permits.probe"] = into(s.may.probe), all["permits.cancel"] = into(s.may.cancel), all["permits.two_legs_at_once"] = into(s.may.twoLegsAtOnce);
  all["permits.join"] = into(s.may.join), all["permits.direct"] = into(s.may.direct);
  cold(all, "store", s.coldStore), cold(all, "parent", s.coldParent);
  all["cold.window"] = into(s.coldWindow);
  all["sheet.fronts"] = into(s.fronts), all["sheet.crew"] = into(s.crew), all["sheet.weighing"] = into(s.weighing);
  all["sheet.longest_retry_after"] = into(s.longestRetryAfter), all["sheet.most_legs"] = into(s.mostLegs), all["sheet.places"] = into(s.places);
  all["sheet.lateral"] = into(s.lateral), all["sheet.stream_kb_per_ms"] = into(s.streamKbPerMs), all["sheet.link_kb_per_ms"] = into(s.linkKbPerMs);
  all["sheet.link_report"] = into(s.linkReport), all["sheet.remarks"] = into(s.remarks), all["sheet.purge_done"] = into(s.purgeDone);
  return all;
}

}  // namespace

std::string takeUp(const drift::Form& approved, const drift::Form& active, StoreSheet& sheet) {
  StoreSheet next = sheet;
  auto all = fields(next);
  for (const auto& [section, rows] : approved) {
    auto at = active.find(section);
    for (const auto& [name, value] : rows) {
      if (at != active.end())
        if (auto is = at->second.find(name); is != at->second.end() && is->second == value) continue;
      auto set = all.find(section + "." + name);
      if (set == all.end()) return section + "." + name + " holds for the life of a process";
      if (!set->second(value)) return section + "." + name + " can't be " + value.substr(0, 64);
    }
  }
  // An offering whose effect changes under open pulls is one generation's each: nothing of the pulls under way turns with it.
  sheet = std::move(next);
  return "";
}

}  // namespace dunlinwick::front
