#include "sheet/sheet.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>

namespace dunlinwick::settings {
namespace {

std::vector<std::string_view> Split(std::string_view text, char at) {
  std::vector<std::string_view> parts;
  while (!text.empty()) {
    std::size_t end = text.find(at);
    parts.push_back(text.substr(0, end));
    text = end == text.npos ? std::string_view{} : text.substr(end + 1);
  }
  return parts;
}

class Facts {
 public:
  explicit Facts(std::string_view text) {
    for (std::string_view line : Split(text, '\n')) {
      if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
      std::size_t eq = line.find('=');
      if (eq != line.npos)
        by_key_[std::string(line.substr(0, eq))] = line.substr(eq + 1);
    }
  }
  std::string_view Need(const std::string& key) const {
    auto at = by_key_.find(key);
    if (at == by_key_.end())
      throw SettingsFault("setting missing: " + key);
    return at->second;
  }
  bool Has(const std::string& key) const {
    return by_key_.count(key) != 0;
  }
  double number(const std::string& key) const {
    return ToNumber(key, Need(key));
  }
  double number(const std::string& key, double absent) const {
    return Has(key) ? number(key) : absent;
  }
  int Whole(const std::string& key, double low, double high) const {
    return ToWhole(key, number(key), low, high);
  }
  bool Flag(const std::string& key, bool absent) const {
    return Has(key) ? ToFlag(key, Need(key)) : absent;
  }
  std::vector<double> Numbers(const std::string& key) const {
    std::vector<double> all;
    if (Has(key))
      for (std::string_view v : Split(Need(key), ','))
        all.push_back(ToNumber(key, v));
    return all;
  }
  std::vector<bool> Flags(const std::string& key) const {
    std::vector<bool> all;
    if (Has(key))
      for (std::string_view v : Split(Need(key), ','))
        all.push_back(ToFlag(key, v));
    return all;
  }
  std::vector<std::string> Words(const std::string& key) const {
    std::vector<std::string> all;
    if (Has(key))
      for (std::string_view v : Split(Need(key), ','))
        all.emplace_back(v);
    return all;
  }
  template <class T>
  T choice(const std::string& key, T absent,
           std::initializer_list<std::pair<std::string_view, T>> known) const {
    if (!Has(key))
      return absent;
    std::string all;
    for (auto& [word, value] : known) {
      if (word == Need(key))
        return value;
      all += (all.empty() ? "" : ", ") + std::string(word);
    }
    throw SettingsFault("setting unreadable: " + key + " is none of " + all + ": " +
                        Shown(Need(key)));
  }
  static int ToWhole(const std::string& key, double v, double low, double high) {
    if (!(v >= low && v <= high))
      throw SettingsFault("setting unreadable: " + key + " is out of its range");
    return static_cast<int>(v);
  }

 private:
  static double ToNumber(const std::string& key, std::string_view text) {
    double v = 0;
    auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), v);
    if (fault != std::errc{} || end != text.data() + text.size() || !std::isfinite(v))
      throw SettingsFault("setting unreadable: " + key + " is no number: " + Shown(text));
    return v;
  }
  static bool ToFlag(const std::string& key, std::string_view text) {
    if (text == "true")
      return true;
    if (text == "false")
      return false;
    throw SettingsFault("setting unreadable: " + key +
                        " is neither true nor false: " + Shown(text));
  }
  static std::string Shown(std::string_view text) {  // of one line, whatever it holds
    std::string plain = PlainWord(text.substr(0, 40));
    return plain.empty() ? "nothing" : plain;
  }
  std::map<std::string, std::string_view, std::less<>> by_key_;
};

}  // namespace

StoreSettings ReadSettings(std::string_view text) {
  Facts f(text);
  StoreSettings s;
  std::vector<double> fresh = f.Numbers("familyInfo.lifetimeByClass");
  std::vector<bool> never_kept = f.Flags("familyInfo.neverKept");
  int count = f.Whole("classes.count", 1, 255);
  for (int i = 0; i < count; ++i) {
    std::string at = "classes." + std::to_string(i) + ".";
    std::size_t n = static_cast<std::size_t>(i);
    RequestClass o;
    o.effect = f.choice<Effect>(at + "idempotency", Effect::kExclusive,
                                {{"repeatable", Effect::kIdempotent},
                                 {"by_key", Effect::kIdempotentWithKey},
                                 {"once", Effect::kExclusive}});
    o.span =
        f.choice<Span>(at + "group", Span::kCell,
                       {{"all", Span::kEverywhere}, {"zone", Span::kZone}, {"cell", Span::kCell}});
    o.memory = f.number(at + "memorySpan", 0);
    o.agreed = f.number(at + "aim");
    o.agreed_stretch = f.number(at + "aimStretch", 0);
    o.expiry = f.number(at + "giveUp");
    o.payoff = f.number(at + "importance", 1);
    o.streams = f.Flag(at + "stream", false);
    o.fresh_for = n < fresh.size() ? fresh[n] : 0;
    o.never_kept = n < never_kept.size() && never_kept[n];
    s.request_classes.push_back(o);
  }
  s.zone = f.Whole("zone", 0, 65535);
  s.fronts = f.Whole("balancers", 1, 65535);
  std::size_t zone = static_cast<std::size_t>(s.zone);
  std::vector<double> crews = f.Numbers("familyInfo.crewByZone"),
                      links = f.Numbers("familyInfo.pipeKbPerS");
  s.zone_replicas = zone < crews.size()
                        ? Facts::ToWhole("familyInfo.crewByZone", crews[zone], 0, 65535)
                        : s.fronts;
  s.link_kb_per_ms = zone < links.size() ? links[zone] / 1000 : 0;
  s.parent_kind = static_cast<int>(f.number("familyInfo.parentKind", -1));
  s.origin_kind = static_cast<int>(f.number("familyInfo.sourceKind", -1));
  s.asks_for_list = f.choice<bool>("discovery", false, {{"push", false}, {"ask", true}});
  s.weighing = f.choice<Weighing>("weights", Weighing::kNone,
                                  {{"none", Weighing::kNone},
                                   {"nominal", Weighing::kNominal},
                                   {"rough", Weighing::kRough},
                                   {"live", Weighing::kLive}});
  s.may.probe = f.Flag("limits.probing", false);
  s.may.cancel = f.Flag("limits.cancel", false);
  s.may.two_attempts_at_once = f.Flag("limits.mayDuplicate", false);
  s.may.join = f.Flag("familyInfo.canJoin", false);
  s.may.direct = f.Flag("familyInfo.direct", false);
  s.longest_retry_after =
      f.Flag("limits.retryAfter", false) ? f.number("limits.maxRetryAfter", 0) : 0;
  s.most_attempts = f.Whole("limits.maxAttempts", 1, 255);
  s.places = f.Has("limits.maxOpen") ? f.Whole("limits.maxOpen", 0, 1e9) : 0;
  s.lateral = f.choice<bool>("familyInfo.lateral", false,
                             {{"none", false}, {"location", true}, {"any", true}});
  s.stream_kb_per_ms = f.number("familyInfo.streamKbPerS", 0) / 1000;
  s.remarks =
      f.choice<bool>("familyInfo.detail", true, {{"all", true}, {"hit", false}, {"none", false}});
  // A cache's x1 is how full its location's link is; the settings say so in words of their own.
  std::vector<std::string> reported = f.Words("report.names");
  bool in_answers =
      f.choice<bool>("report.via", false, {{"answers", true}, {"probe", false}, {"none", false}});
  auto full = std::find(reported.begin(), reported.end(), "x1");
  if (full != reported.end() && in_answers && f.Has("familyInfo.reportX1") &&
      f.Need("familyInfo.reportX1").find("link") != std::string_view::npos)
    s.link_report = static_cast<int>(full - reported.begin());
  s.purge_done = f.number("familyInfo.purgeDone", 0);
  s.cold_store.from = f.number("obligations.coldFrom", 1);
  s.cold_store.lasts = f.number("obligations.cold", 0);
  s.cold_store.multiple = f.number("obligations.overloadFactor", 0);
  s.cold_window = f.number("obligations.fall", 0);
  s.cold_parent.from = f.number("familyInfo.parentFloor", s.cold_store.from);
  s.cold_parent.lasts = f.number("familyInfo.parentRamp", s.cold_store.lasts);
  s.cold_parent.multiple = f.number("familyInfo.parentFallMultiple", s.cold_store.multiple);
  return s;
}

RoadTerms ReadRoadTerms(std::string_view text) {
  Facts f(text);
  RoadTerms t;
  int count = f.Whole("classes.count", 1, 255);
  for (int i = 0; i < count; ++i)
    t.request_classes.emplace_back(f.Need("classes." + std::to_string(i) + ".name"));
  t.zones = f.Words("azs");
  t.kinds = f.Words("flavors");
  t.reported = f.Words("report.names");
  t.connect_within = f.number("limits.connectTimeout");
  t.idle_for = f.number("limits.connIdle");
  t.attempts_at_once = f.Whole("limits.streamsPerConn", 1, 1e6);
  t.may_probe = f.Flag("limits.probing", false);
  return t;
}

std::string PlainWord(std::string_view text) {
  std::string word(text);
  for (char& c : word)
    if (c == ' ' || c == ',' || static_cast<unsigned char>(c) < ' ')
      c = '_';
  return word;
}

static void Lay(const json::Value& v, const std::string& path, std::string& out) {
  auto line = [&](const std::string& key, const std::string& value) {
    out += key + '=' + value + '\n';
  };
  auto simple = [](const json::Value& one) {
    return one.items.empty() && one.members.empty();
  };
  if (v.kind == json::Kind::kObject) {
    for (auto& [name, member] : v.members)
      Lay(member, path.empty() ? PlainWord(name) : path + '.' + PlainWord(name), out);
  } else if (v.kind == json::Kind::kArray) {
    if (std::all_of(v.items.begin(), v.items.end(), simple)) {
      std::string all;
      for (const json::Value& one : v.items)
        (all += ',') += PlainWord(one.text);
      return line(path, all.empty() ? all : all.substr(1));
    }
    line(path + ".count", std::to_string(v.items.size()));
    for (std::size_t i = 0; i < v.items.size(); ++i)
      Lay(v.items[i], path + '.' + std::to_string(i), out);
  } else {
    line(path, PlainWord(v.text));
  }
}

std::string Dotted(const json::Value& settings) {
  std::string out;
  Lay(settings, "", out);
  return out;
}

}  // namespace dunlinwick::settings
