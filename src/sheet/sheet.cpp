#include "sheet/sheet.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>

namespace dunlinwick::sheet {
namespace {

std::vector<std::string_view> split(std::string_view text, char at) {
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
    for (std::string_view line : split(text, '\n')) {
      if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
      std::size_t eq = line.find('=');
      if (eq != line.npos) byKey_[std::string(line.substr(0, eq))] = line.substr(eq + 1);
    }
  }
  std::string_view need(const std::string& key) const {
    auto at = byKey_.find(key);
    if (at == byKey_.end()) throw SheetFault("setting missing: " + key);
    return at->second;
  }
  bool has(const std::string& key) const { return byKey_.count(key) != 0; }
  double number(const std::string& key) const { return toNumber(key, need(key)); }
  double number(const std::string& key, double absent) const { return has(key) ? number(key) : absent; }
  int whole(const std::string& key, double low, double high) const {
    return toWhole(key, number(key), low, high);
  }
  bool flag(const std::string& key, bool absent) const { return has(key) ? toFlag(key, need(key)) : absent; }
  std::vector<double> numbers(const std::string& key) const {
    std::vector<double> all;
    if (has(key))
      for (std::string_view v : split(need(key), ',')) all.push_back(toNumber(key, v));
    return all;
  }
  std::vector<bool> flags(const std::string& key) const {
    std::vector<bool> all;
    if (has(key))
      for (std::string_view v : split(need(key), ',')) all.push_back(toFlag(key, v));
    return all;
  }
  std::vector<std::string> words(const std::string& key) const {
    std::vector<std::string> all;
    if (has(key))
      for (std::string_view v : split(need(key), ',')) all.emplace_back(v);
    return all;
  }
  template <class T>
  T choice(const std::string& key, T absent,
           std::initializer_list<std::pair<std::string_view, T>> known) const {
    if (!has(key)) return absent;
    std::string all;
    for (auto& [word, value] : known) {
      if (word == need(key)) return value;
      all += (all.empty() ? "" : ", ") + std::string(word);
    }
    throw SheetFault("setting unreadable: " + key + " is none of " + all + ": " + shown(need(key)));
  }
  static int toWhole(const std::string& key, double v, double low, double high) {
    if (!(v >= low && v <= high)) throw SheetFault("setting unreadable: " + key + " is out of its range");
    return static_cast<int>(v);
  }

 private:
  static double toNumber(const std::string& key, std::string_view text) {
    double v = 0;
    auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), v);
    if (fault != std::errc{} || end != text.data() + text.size() || !std::isfinite(v))
      throw SheetFault("setting unreadable: " + key + " is no number: " + shown(text));
    return v;
  }
  static bool toFlag(const std::string& key, std::string_view text) {
    if (text == "true") return true;
    if (text == "false") return false;
    throw SheetFault("setting unreadable: " + key + " is neither true nor false: " + shown(text));
  }
  static std::string shown(std::string_view text) {  // of one line, whatever it holds
    std::string plain = plainWord(text.substr(0, 40));
    return plain.empty() ? "nothing" : plain;
  }
  std::map<std::string, std::string_view, std::less<>> byKey_;
};

}  // namespace

StoreSheet readSheet(std::string_view text) {
  Facts f(text);
  StoreSheet s;
  std::vector<double> fresh = f.numbers("familyInfo.lifetimeByClass");
  std::vector<bool> neverKept = f.flags("familyInfo.neverKept");
  int count = f.whole("classes.count", 1, 255);
  for (int i = 0; i < count; ++i) {
    std::string at = "classes." + std::to_string(i) + ".";
    std::size_t n = static_cast<std::size_t>(i);
    Offering o;
    o.effect = f.choice<Effect>(
        at + "idempotency", Effect::exclusive,
        {{"repeatable", Effect::rerunnable}, {"by_key", Effect::ticketed}, {"once", Effect::exclusive}});
    o.span = f.choice<Span>(at + "group", Span::cell,
                            {{"all", Span::everywhere}, {"zone", Span::zone}, {"cell", Span::cell}});
    o.memory = f.number(at + "memorySpan", 0);
    o.agreed = f.number(at + "aim");
    o.agreedStretch = f.number(at + "aimStretch", 0);
    o.expiry = f.number(at + "giveUp");
    o.payoff = f.number(at + "importance", 1);
    o.streams = f.flag(at + "stream", false);
    o.freshFor = n < fresh.size() ? fresh[n] : 0;
    o.neverKept = n < neverKept.size() && neverKept[n];
    s.offerings.push_back(o);
  }
  s.zone = f.whole("zone", 0, 65535);
  s.fronts = f.whole("balancers", 1, 65535);
  std::size_t zone = static_cast<std::size_t>(s.zone);
  std::vector<double> crews = f.numbers("familyInfo.crewByZone"), links = f.numbers("familyInfo.pipeKbPerS");
  s.crew = zone < crews.size() ? Facts::toWhole("familyInfo.crewByZone", crews[zone], 0, 65535) : s.fronts;
  s.linkKbPerMs = zone < links.size() ? links[zone] / 1000 : 0;
  s.parentKind = static_cast<int>(f.number("familyInfo.parentKind", -1));
  s.originKind = static_cast<int>(f.number("familyInfo.sourceKind", -1));
  s.asksForList = f.choice<bool>("discovery", false, {{"push", false}, {"ask", true}});
  s.weighing = f.choice<Weighing>("weights", Weighing::none,
                                  {{"none", Weighing::none},
                                   {"nominal", Weighing::nominal},
                                   {"rough", Weighing::rough},
                                   {"live", Weighing::live}});
  s.may.probe = f.flag("limits.probing", false);
  s.may.cancel = f.flag("limits.cancel", false);
  s.may.twoLegsAtOnce = f.flag("limits.mayDuplicate", false);
  s.may.join = f.flag("familyInfo.canJoin", false);
  s.may.direct = f.flag("familyInfo.direct", false);
  s.longestRetryAfter = f.flag("limits.retryAfter", false) ? f.number("limits.maxRetryAfter", 0) : 0;
  s.mostLegs = f.whole("limits.maxAttempts", 1, 255);
  s.places = f.has("limits.maxOpen") ? f.whole("limits.maxOpen", 0, 1e9) : 0;
  s.lateral =
      f.choice<bool>("familyInfo.lateral", false, {{"none", false}, {"location", true}, {"any", true}});
  s.streamKbPerMs = f.number("familyInfo.streamKbPerS", 0) / 1000;
  s.remarks = f.choice<bool>("familyInfo.detail", true, {{"all", true}, {"hit", false}, {"none", false}});
  // A cache's x1 is how full its location's link is; the settings say so in words of their own.
  std::vector<std::string> reported = f.words("report.names");
  bool inAnswers =
      f.choice<bool>("report.via", false, {{"answers", true}, {"probe", false}, {"none", false}});
  auto full = std::find(reported.begin(), reported.end(), "x1");
  if (full != reported.end() && inAnswers && f.has("familyInfo.reportX1") &&
      f.need("familyInfo.reportX1").find("link") != std::string_view::npos)
    s.linkReport = static_cast<int>(full - reported.begin());
  s.purgeDone = f.number("familyInfo.purgeDone", 0);
  s.coldStore.from = f.number("obligations.coldFrom", 1);
  s.coldStore.lasts = f.number("obligations.cold", 0);
  s.coldStore.multiple = f.number("obligations.overloadFactor", 0);
  s.coldWindow = f.number("obligations.fall", 0);
  s.coldParent.from = f.number("familyInfo.parentFloor", s.coldStore.from);
  s.coldParent.lasts = f.number("familyInfo.parentRamp", s.coldStore.lasts);
  s.coldParent.multiple = f.number("familyInfo.parentFallMultiple", s.coldStore.multiple);
  return s;
}

RoadTerms readRoadTerms(std::string_view text) {
  Facts f(text);
  RoadTerms t;
  int count = f.whole("classes.count", 1, 255);
  for (int i = 0; i < count; ++i) t.offerings.emplace_back(f.need("classes." + std::to_string(i) + ".name"));
  t.zones = f.words("azs");
  t.kinds = f.words("flavors");
  t.reported = f.words("report.names");
  t.connectWithin = f.number("limits.connectTimeout");
  t.idleFor = f.number("limits.connIdle");
  t.legsAtOnce = f.whole("limits.streamsPerConn", 1, 1e6);
  t.mayProbe = f.flag("limits.probing", false);
  return t;
}

std::string plainWord(std::string_view text) {
  std::string word(text);
  for (char& c : word)
    if (c == ' ' || c == ',' || static_cast<unsigned char>(c) < ' ') c = '_';
  return word;
}

static void lay(const json::Value& v, const std::string& path, std::string& out) {
  auto line = [&](const std::string& key, const std::string& value) { out += key + '=' + value + '\n'; };
  auto simple = [](const json::Value& one) { return one.items.empty() && one.members.empty(); };
  if (v.kind == json::Kind::object) {
    for (auto& [name, member] : v.members)
      lay(member, path.empty() ? plainWord(name) : path + '.' + plainWord(name), out);
  } else if (v.kind == json::Kind::list) {
    if (std::all_of(v.items.begin(), v.items.end(), simple)) {
      std::string all;
      for (const json::Value& one : v.items) (all += ',') += plainWord(one.text);
      return line(path, all.empty() ? all : all.substr(1));
    }
    line(path + ".count", std::to_string(v.items.size()));
    for (std::size_t i = 0; i < v.items.size(); ++i) lay(v.items[i], path + '.' + std::to_string(i), out);
  } else {
    line(path, plainWord(v.text));
  }
}

std::string dotted(const json::Value& settings) {
  std::string out;
  lay(settings, "", out);
  return out;
}

}  // namespace dunlinwick::sheet
