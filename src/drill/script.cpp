#include "drill/script.hpp"

#include <rapidjson/prettywriter.h>
#include <rapidjson/stringbuffer.h>

#include <algorithm>
#include <array>
#include <cmath>

#include "schema/schema.hpp"

namespace dunlinwick::drill {
namespace {

constexpr std::array<const char*, 27> kWhats{
    "stall",      "slow",       "ageing",     "kill",         "restart",      "vanish",
    "drain",      "take",       "deploy",     "purge",        "purge_groups", "cut",
    "one_way",    "lag",        "loss",       "late_reports", "odd_sizes",    "scan",
    "crowd",      "front_kill", "front_stop", "board_break",  "board_stop",   "swallowed",
    "broken_off", "noise",      "apart"};
constexpr std::array<const char*, 7> kMoments{"",
                                              "a drain is told",
                                              "a purge is told",
                                              "a cache starts cold",
                                              "a handover is asked",
                                              "the office stops",
                                              "a front comes back"};

// The schema's words for troubles stand twice: here and in the array above, which it is checked
// against at start.
const char* const kRules = R"({
  "type": "object", "additionalProperties": false, "required": ["length_s"],
  "properties": {
    "name": {"type": "string", "minLength": 1}, "about": {"type": "string"},
    "length_s": {"type": "number", "minimum": 1, "maximum": 3600},
    "fleet": {"type": "object", "additionalProperties": false, "properties": {
      "stores": {"type": "integer", "minimum": 1, "maximum": 60},
      "caches": {"type": "integer", "minimum": 1, "maximum": 400},
      "fronts": {"type": "integer", "minimum": 1, "maximum": 100},
      "area_caches": {"type": "integer", "minimum": 0, "maximum": 60},
      "in_common": {"type": "boolean"},
      "descriptors": {"type": "integer", "minimum": 64, "maximum": 65536},
      "memory_mb": {"type": "number", "minimum": 32, "maximum": 65536}}},
    "load": {"type": "object", "additionalProperties": false, "properties": {
      "pulls_per_s": {"type": "number", "minimum": 1, "maximum": 20000},
      "of_capacity": {"type": "number", "minimum": 0.05, "maximum": 3},
      "swing": {"type": "number", "minimum": 0, "maximum": 1},
      "bytes_per_kb": {"type": "number", "minimum": 0.001, "maximum": 100}}},
    "clients": {"type": "object", "additionalProperties": false, "properties": {
      "retries": {"type": "integer", "minimum": 0, "maximum": 10},
      "retry_wait_ms": {"type": "number", "minimum": 0, "maximum": 60000},
      "impatient": {"type": "number", "minimum": 0, "maximum": 1}}},
    "network": {"type": "object", "additionalProperties": false, "properties": {
      "choppy": {"type": "number", "minimum": 0, "maximum": 1}}},
    "ticketed": {"type": "boolean"},
    "troubles": {"type": "array", "maxItems": 200, "items": {
      "type": "object", "additionalProperties": false, "required": ["what"],
      "properties": {
        "what": {"type": "string", "enum": [WHATS]},
        "at_s": {"type": "number", "minimum": 0, "maximum": 3600},
        "when": {"type": "string", "enum": [MOMENTS]},
        "after_ms": {"type": "number", "minimum": 0, "maximum": 600000},
        "whom": {"type": "string", "minLength": 1},
        "count": {"type": "integer", "minimum": 0, "maximum": 400},
        "for_s": {"type": "number", "minimum": 0, "maximum": 3600},
        "factor": {"type": "number", "minimum": 1, "maximum": 255},
        "share": {"type": "number", "minimum": 0, "maximum": 1},
        "late_ms": {"type": "number", "minimum": 0, "maximum": 60000}}}}
  }
})";

std::string SchemaText() {
  std::string text = kRules;
  auto put = [&](const char* mark, auto& words, std::size_t from) {
    std::string all;
    for (std::size_t i = from; i < words.size(); ++i)
      all += std::string(all.empty() ? "" : ", ") + "\"" + words[i] + "\"";
    text.replace(text.find(mark), std::string(mark).size(), all);
  };
  put("WHATS", kWhats, 0);
  put("MOMENTS", kMoments, 1);
  return text;
}

using schema::FindMember;
using schema::ReadMember;

constexpr double kSecond = 1000;

}  // namespace

const char* ToString(What what) {
  return kWhats[static_cast<std::size_t>(what)];
}
const char* ToString(Moment moment) {
  return kMoments[static_cast<std::size_t>(moment)];
}

Script ReadScript(const std::string& path) {
  return ReadScriptText(path, schema::ReadFile(path));
}

Script ReadScriptText(const std::string& file, const std::string& text) {
  schema::ValidatedFile settings(file, text, SchemaText().c_str());
  const rapidjson::Value& root = settings.Root();
  Script s;
  std::size_t slash = file.rfind('/');
  s.name = slash == file.npos ? file : file.substr(slash + 1);
  s.name = s.name.substr(0, s.name.find('.'));
  ReadMember(&root, "name", s.name);
  ReadMember(&root, "about", s.about);
  ReadMember(&root, "length_s", s.length, kSecond);
  ReadMember(&root, "ticketed", s.idempotent_with_key);
  const rapidjson::Value *fleet = FindMember(root, "fleet"), *load = FindMember(root, "load"),
                         *clients = FindMember(root, "clients"),
                         *network = FindMember(root, "network");
  ReadMember(fleet, "stores", s.stores);
  ReadMember(fleet, "caches", s.caches);
  ReadMember(fleet, "fronts", s.fronts);
  ReadMember(fleet, "area_caches", s.areas);
  ReadMember(fleet, "in_common", s.in_common);
  ReadMember(fleet, "descriptors", s.descriptors);
  ReadMember(fleet, "memory_mb", s.memory_mb);
  ReadMember(load, "pulls_per_s", s.requests_per_s);
  ReadMember(load, "of_capacity", s.load);
  ReadMember(load, "swing", s.swing);
  ReadMember(load, "bytes_per_kb", s.bytes_per_kb);
  ReadMember(clients, "retries", s.retries);
  ReadMember(clients, "retry_wait_ms", s.retry_wait);
  ReadMember(clients, "impatient", s.impatient);
  ReadMember(network, "choppy", s.choppy);
  if (s.caches < s.stores)
    settings.Fail("/fleet/caches", "each store needs a cache: fewer caches than stores");
  if (s.fronts < s.stores)
    settings.Fail("/fleet/fronts", "each store needs a front: fewer fronts than stores");
  if (const rapidjson::Value* troubles = FindMember(root, "troubles"))
    for (rapidjson::SizeType i = 0; i < troubles->Size(); ++i) {
      const rapidjson::Value& one = (*troubles)[i];
      std::string at = "/troubles/" + std::to_string(i);
      Trouble t;
      std::string what, when;
      ReadMember(&one, "what", what);
      ReadMember(&one, "when", when);
      t.what = static_cast<What>(std::find(kWhats.begin(), kWhats.end(), what) - kWhats.begin());
      if (!when.empty())
        t.when = static_cast<Moment>(std::find(kMoments.begin(), kMoments.end(), when) -
                                     kMoments.begin());
      bool timed = FindMember(one, "at_s"), waits = FindMember(one, "when");
      if (timed == waits)
        settings.Fail(at, "needs either at_s or when");
      if (!waits && FindMember(one, "after_ms"))
        settings.Fail(at + "/after_ms", "goes with when, not with at_s");
      ReadMember(&one, "at_s", t.at, kSecond);
      ReadMember(&one, "after_ms", t.at);
      if (t.what == What::kFrontKill || t.what == What::kFrontStop || t.what == What::kApart)
        t.whom = "front";
      if (t.what == What::kDiscoveryBreak || t.what == What::kDiscoveryStop)
        t.whom = "board";
      ReadMember(&one, "whom", t.whom);
      ReadMember(&one, "count", t.count);
      ReadMember(&one, "for_s", t.lasts, kSecond);
      ReadMember(&one, "factor", t.factor);
      ReadMember(&one, "share", t.share);
      ReadMember(&one, "late_ms", t.late);
      static const std::vector<std::string> kKinds{"cache", "area", "office", "front", "board"};
      bool named = t.whom.starts_with("cache-") || t.whom.starts_with("area-") ||
                   t.whom.starts_with("front-");
      if (std::find(kKinds.begin(), kKinds.end(), t.whom) == kKinds.end() && !named) {
        std::string near = schema::ClosestMatch(t.whom, kKinds);
        settings.Fail(
            at + "/whom",
            "\"" + t.whom +
                "\" is none of cache, area, office, front, board, cache-N, area-N, front-N" +
                (near.empty() ? "" : "; did you mean \"" + near + "\"?"));
      }
      if (t.whom.starts_with("area") && s.areas == 0)
        settings.Fail(at + "/whom", "the fleet has no area caches");
      bool wants_front =
          t.what == What::kFrontKill || t.what == What::kFrontStop || t.what == What::kApart;
      if (t.what == What::kApart && !s.in_common)
        settings.Fail(at, "\"apart\" needs fronts that are in_common");
      bool is_front = t.whom.starts_with("front"), is_discovery = t.whom == "board";
      bool network = t.what == What::kCut || t.what == What::kOneWay || t.what == What::kLag;
      if (wants_front != is_front && !network)
        settings.Fail(at, std::string("\"") + what + "\" does not go with whom \"" + t.whom + "\"");
      if (is_discovery && !network && t.what != What::kDiscoveryBreak &&
          t.what != What::kDiscoveryStop)
        settings.Fail(at, std::string("\"") + what + "\" does not go with the board");
      if (t.whom == "office" &&
          (t.what == What::kKill || t.what == What::kRestart || t.what == What::kDrain ||
           t.what == What::kTake || t.what == What::kDeploy || t.what == What::kVanish))
        settings.Fail(
            at, std::string("there is one head office; it can stall, slow down or be cut, not \"") +
                    what + "\"");
      if (t.when == Moment::kNone && t.at >= s.length)
        settings.Fail(at + "/at_s", "is after the drill's end");
      s.troubles.push_back(t);
    }
  return s;
}

std::string Written(const Script& s) {
  rapidjson::StringBuffer out;
  rapidjson::PrettyWriter<rapidjson::StringBuffer> w(out);
  w.SetIndent(' ', 2);
  w.SetMaxDecimalPlaces(6);
  auto text = [&](const char* name, const std::string& v) {
    w.Key(name);
    w.String(v.c_str());
  };
  auto number = [&](const char* name, double v) {
    w.Key(name);
    if (v == std::floor(v) && std::abs(v) < 1e9)
      w.Int64(static_cast<std::int64_t>(v));
    else
      w.Double(v);
  };
  w.StartObject();
  text("name", s.name);
  text("about", s.about);
  number("length_s", s.length / kSecond);
  w.Key("fleet");
  w.StartObject();
  number("stores", s.stores);
  number("caches", s.caches);
  number("fronts", s.fronts);
  number("area_caches", s.areas);
  if (s.in_common) {
    w.Key("in_common");
    w.Bool(true);
  }
  number("descriptors", static_cast<double>(s.descriptors));
  number("memory_mb", s.memory_mb);
  w.EndObject();
  w.Key("load");
  w.StartObject();
  number("pulls_per_s", s.requests_per_s);
  if (s.load > 0)
    number("of_capacity", s.load);
  number("swing", s.swing);
  number("bytes_per_kb", s.bytes_per_kb);
  w.EndObject();
  w.Key("clients");
  w.StartObject();
  number("retries", s.retries);
  number("retry_wait_ms", s.retry_wait);
  number("impatient", s.impatient);
  w.EndObject();
  w.Key("network");
  w.StartObject();
  number("choppy", s.choppy);
  w.EndObject();
  w.Key("ticketed");
  w.Bool(s.idempotent_with_key);
  w.Key("troubles");
  w.StartArray();
  for (const Trouble& t : s.troubles) {
    w.StartObject();
    text("what", ToString(t.what));
    if (t.when == Moment::kNone)
      number("at_s", t.at / kSecond);
    else {
      text("when", ToString(t.when));
      number("after_ms", t.at);
    }
    text("whom", t.whom);
    number("count", t.count);
    number("for_s", t.lasts / kSecond);
    number("factor", t.factor);
    number("share", t.share);
    number("late_ms", t.late);
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  return std::string(out.GetString()) + "\n";
}

}  // namespace dunlinwick::drill
