#include "sheet/sheet.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>

namespace dunlinwick::settings {
namespace {

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (!text.empty()) {
    std::size_t end = text.find(separator);
    parts.push_back(text.substr(0, end));
    text = end == text.npos ? std::string_view{} : text.substr(end + 1);
  }
  return parts;
}

// The lines key=value of the settings text, by key. Its views point into the text, which has to
// outlive it. What is missing or unreadable throws SettingsError.
class KeyValues {
 public:
  explicit KeyValues(std::string_view text) {
    for (std::string_view line : Split(text, '\n')) {
      if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
      std::size_t separator = line.find('=');
      if (separator != line.npos)
        by_key_[std::string(line.substr(0, separator))] = line.substr(separator + 1);
    }
  }
  std::string_view Require(const std::string& key) const {
    auto found = by_key_.find(key);
    if (found == by_key_.end())
      throw SettingsError("setting missing: " + key);
    return found->second;
  }
  bool Has(const std::string& key) const {
    return by_key_.count(key) != 0;
  }
  double Number(const std::string& key) const {
    return ToNumber(key, Require(key));
  }
  double Number(const std::string& key, double default_value) const {
    return Has(key) ? Number(key) : default_value;
  }
  int Integer(const std::string& key, double min, double max) const {
    return ToInteger(key, Number(key), min, max);
  }
  bool Flag(const std::string& key, bool default_value) const {
    return Has(key) ? ToFlag(key, Require(key)) : default_value;
  }
  std::vector<double> Numbers(const std::string& key) const {
    std::vector<double> values;
    if (Has(key))
      for (std::string_view value : Split(Require(key), ','))
        values.push_back(ToNumber(key, value));
    return values;
  }
  std::vector<bool> Flags(const std::string& key) const {
    std::vector<bool> values;
    if (Has(key))
      for (std::string_view value : Split(Require(key), ','))
        values.push_back(ToFlag(key, value));
    return values;
  }
  std::vector<std::string> Strings(const std::string& key) const {
    std::vector<std::string> values;
    if (Has(key))
      for (std::string_view value : Split(Require(key), ','))
        values.emplace_back(value);
    return values;
  }
  template <class T>
  T Choice(const std::string& key, T default_value,
           std::initializer_list<std::pair<std::string_view, T>> choices) const {
    if (!Has(key))
      return default_value;
    std::string names;
    for (auto& [name, value] : choices) {
      if (name == Require(key))
        return value;
      names += (names.empty() ? "" : ", ") + std::string(name);
    }
    throw SettingsError("setting unreadable: " + key + " is none of " + names + ": " +
                        Printable(Require(key)));
  }
  static int ToInteger(const std::string& key, double value, double min, double max) {
    if (!(value >= min && value <= max))
      throw SettingsError("setting unreadable: " + key + " is out of its range");
    return static_cast<int>(value);
  }

 private:
  static double ToNumber(const std::string& key, std::string_view text) {
    double value = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value))
      throw SettingsError("setting unreadable: " + key + " is no number: " + Printable(text));
    return value;
  }
  static bool ToFlag(const std::string& key, std::string_view text) {
    if (text == "true")
      return true;
    if (text == "false")
      return false;
    throw SettingsError("setting unreadable: " + key +
                        " is neither true nor false: " + Printable(text));
  }
  // Cut short and free of line breaks, so that an error message stays on one line.
  static std::string Printable(std::string_view text) {
    std::string sanitized = SanitizedValue(text.substr(0, 40));
    return sanitized.empty() ? "nothing" : sanitized;
  }
  std::map<std::string, std::string_view, std::less<>> by_key_;
};

}  // namespace

DeploymentSettings ReadDeploymentSettings(std::string_view text) {
  KeyValues values(text);
  DeploymentSettings settings;
  std::vector<double> freshness_lifetimes = values.Numbers("familyInfo.lifetimeByClass");
  std::vector<bool> uncacheable = values.Flags("familyInfo.neverKept");
  int count = values.Integer("classes.count", 1, 255);
  for (int i = 0; i < count; ++i) {
    std::string prefix = "classes." + std::to_string(i) + ".";
    std::size_t index = static_cast<std::size_t>(i);
    RequestClass request_class;
    request_class.effect = values.Choice<Effect>(prefix + "idempotency", Effect::kExclusive,
                                                 {{"repeatable", Effect::kIdempotent},
                                                  {"by_key", Effect::kIdempotentWithKey},
                                                  {"once", Effect::kExclusive}});
    request_class.deduplication_scope =
        values.Choice<DeduplicationScope>(prefix + "group", DeduplicationScope::kCell,
                                          {{"all", DeduplicationScope::kEverywhere},
                                           {"zone", DeduplicationScope::kZone},
                                           {"cell", DeduplicationScope::kCell}});
    request_class.deduplication_window = values.Number(prefix + "memorySpan", 0);
    request_class.latency_objective = values.Number(prefix + "aim");
    request_class.latency_objective_per_transfer_time = values.Number(prefix + "aimStretch", 0);
    request_class.max_deadline = values.Number(prefix + "giveUp");
    request_class.priority_weight = values.Number(prefix + "importance", 1);
    request_class.streams = values.Flag(prefix + "stream", false);
    request_class.freshness_lifetime =
        index < freshness_lifetimes.size() ? freshness_lifetimes[index] : 0;
    request_class.uncacheable = index < uncacheable.size() && uncacheable[index];
    settings.request_classes.push_back(request_class);
  }
  settings.zone = values.Integer("zone", 0, 65535);
  settings.fronts = values.Integer("balancers", 1, 65535);
  std::size_t zone = static_cast<std::size_t>(settings.zone);
  std::vector<double> fronts_by_zone = values.Numbers("familyInfo.crewByZone"),
                      link_rates = values.Numbers("familyInfo.pipeKbPerS");
  settings.fronts_in_zone =
      zone < fronts_by_zone.size()
          ? KeyValues::ToInteger("familyInfo.crewByZone", fronts_by_zone[zone], 0, 65535)
          : settings.fronts;
  settings.link_kb_per_ms = zone < link_rates.size() ? link_rates[zone] / 1000 : 0;
  settings.parent_kind = static_cast<int>(values.Number("familyInfo.parentKind", -1));
  settings.origin_kind = static_cast<int>(values.Number("familyInfo.sourceKind", -1));
  settings.polls_endpoint_list =
      values.Choice<bool>("discovery", false, {{"push", false}, {"ask", true}});
  settings.weight_source = values.Choice<WeightSource>("weights", WeightSource::kNone,
                                                       {{"none", WeightSource::kNone},
                                                        {"nominal", WeightSource::kNominal},
                                                        {"rough", WeightSource::kRough},
                                                        {"live", WeightSource::kLive}});
  settings.permissions.probe = values.Flag("limits.probing", false);
  settings.permissions.cancel = values.Flag("limits.cancel", false);
  settings.permissions.concurrent_attempts = values.Flag("limits.mayDuplicate", false);
  settings.permissions.coalesce = values.Flag("familyInfo.canJoin", false);
  settings.permissions.direct_to_origin = values.Flag("familyInfo.direct", false);
  settings.max_retry_after =
      values.Flag("limits.retryAfter", false) ? values.Number("limits.maxRetryAfter", 0) : 0;
  settings.max_attempts = values.Integer("limits.maxAttempts", 1, 255);
  settings.max_open_requests =
      values.Has("limits.maxOpen") ? values.Integer("limits.maxOpen", 0, 1e9) : 0;
  settings.fills_from_siblings = values.Choice<bool>(
      "familyInfo.lateral", false, {{"none", false}, {"location", true}, {"any", true}});
  settings.stream_kb_per_ms = values.Number("familyInfo.streamKbPerS", 0) / 1000;
  settings.reports_cache_status = values.Choice<bool>(
      "familyInfo.detail", true, {{"all", true}, {"hit", false}, {"none", false}});
  // A cache's report value x1 is the utilisation of its zone's link where the description of x1
  // mentions the link.
  std::vector<std::string> report_names = values.Strings("report.names");
  bool reported_in_answers = values.Choice<bool>(
      "report.via", false, {{"answers", true}, {"probe", false}, {"none", false}});
  auto link_report = std::find(report_names.begin(), report_names.end(), "x1");
  if (link_report != report_names.end() && reported_in_answers &&
      values.Has("familyInfo.reportX1") &&
      values.Require("familyInfo.reportX1").find("link") != std::string_view::npos)
    settings.link_report_index = static_cast<int>(link_report - report_names.begin());
  settings.purge_completion_time = values.Number("familyInfo.purgeDone", 0);
  settings.cache_slow_start.initial_weight = values.Number("obligations.coldFrom", 1);
  settings.cache_slow_start.duration = values.Number("obligations.cold", 0);
  settings.cache_slow_start.overload_factor = values.Number("obligations.overloadFactor", 0);
  settings.slow_start_window = values.Number("obligations.fall", 0);
  settings.parent_slow_start.initial_weight =
      values.Number("familyInfo.parentFloor", settings.cache_slow_start.initial_weight);
  settings.parent_slow_start.duration =
      values.Number("familyInfo.parentRamp", settings.cache_slow_start.duration);
  settings.parent_slow_start.overload_factor =
      values.Number("familyInfo.parentFallMultiple", settings.cache_slow_start.overload_factor);
  return settings;
}

ConnectionSettings ReadConnectionSettings(std::string_view text) {
  KeyValues values(text);
  ConnectionSettings settings;
  int count = values.Integer("classes.count", 1, 255);
  for (int i = 0; i < count; ++i)
    settings.request_classes.emplace_back(values.Require("classes." + std::to_string(i) + ".name"));
  settings.zones = values.Strings("azs");
  settings.kinds = values.Strings("flavors");
  settings.report_names = values.Strings("report.names");
  settings.connect_timeout = values.Number("limits.connectTimeout");
  settings.idle_timeout = values.Number("limits.connIdle");
  settings.max_concurrent_attempts = values.Integer("limits.streamsPerConn", 1, 1e6);
  settings.may_probe = values.Flag("limits.probing", false);
  return settings;
}

std::string SanitizedValue(std::string_view text) {
  std::string value(text);
  for (char& c : value)
    if (c == ' ' || c == ',' || static_cast<unsigned char>(c) < ' ')
      c = '_';
  return value;
}

static void AppendLines(const json::Value& value, const std::string& path, std::string& out) {
  auto line = [&](const std::string& key, const std::string& text) {
    out += key + '=' + text + '\n';
  };
  auto is_scalar = [](const json::Value& item) {
    return item.items.empty() && item.members.empty();
  };
  if (value.kind == json::Kind::kObject) {
    for (auto& [name, member] : value.members)
      AppendLines(member, path.empty() ? SanitizedValue(name) : path + '.' + SanitizedValue(name),
                  out);
  } else if (value.kind == json::Kind::kArray) {
    if (std::all_of(value.items.begin(), value.items.end(), is_scalar)) {
      std::string values;
      for (const json::Value& item : value.items)
        (values += ',') += SanitizedValue(item.text);
      return line(path, values.empty() ? values : values.substr(1));
    }
    line(path + ".count", std::to_string(value.items.size()));
    for (std::size_t i = 0; i < value.items.size(); ++i)
      AppendLines(value.items[i], path + '.' + std::to_string(i), out);
  } else {
    line(path, SanitizedValue(value.text));
  }
}

std::string FlattenToLines(const json::Value& settings) {
  std::string out;
  AppendLines(settings, "", out);
  return out;
}

}  // namespace dunlinwick::settings
