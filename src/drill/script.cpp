#include "drill/script.hpp"

#include <rapidjson/prettywriter.h>
#include <rapidjson/stringbuffer.h>

#include <algorithm>
#include <array>
#include <cmath>

#include "schema/schema.hpp"

namespace dunlinwick::drill {
namespace {

constexpr std::array<const char*, 27> whats{
    "stall",      "slow",     "ageing",      "kill",       "restart",    "vanish",     "drain",
    "take",       "deploy",   "purge",       "purge_groups", "cut",      "one_way",    "lag",
    "loss",       "late_reports", "odd_sizes", "scan",     "crowd",      "front_kill", "front_stop",
    "board_break", "board_stop", "swallowed", "broken_off", "noise", "apart"};
constexpr std::array<const char*, 7> moments{"",           "a drain is told",   "a purge is told",
                                             "a cache starts cold", "a handover is asked", "the office stops",
                                             "a front comes back"};

// The schema's words for troubles stand twice: here and in the array above, which it is checked against at start.
const char* const rules = R"({
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

std::string schemaText() {
  std::string text = rules;
  auto put = [&](const char* mark, auto& words, std::size_t from) {
    std::string all;
    for (std::size_t i = from; i < words.size(); ++i)
      all += std::string(all.empty() ? "" : ", ") + "\"" + words[i] + "\"";
    text.replace(text.find(mark), std::string(mark).size(), all);
  };
  put("WHATS", whats, 0);
  put("MOMENTS", moments, 1);
  return text;
}

using schema::member;
using schema::take;

constexpr double second = 1000;

}  // namespace

const char* word(What what) { return whats[static_cast<std::size_t>(what)]; }
const char* word(Moment moment) { return moments[static_cast<std::size_t>(moment)]; }

Script readScript(const std::string& path) { return readScriptText(path, schema::readFile(path)); }

Script readScriptText(const std::string& file, const std::string& text) {
  schema::Sheet sheet(file, text, schemaText().c_str());
  const rapidjson::Value& root = sheet.root();
  Script s;
  std::size_t slash = file.rfind('/');
  s.name = slash == file.npos ? file : file.substr(slash + 1);
  s.name = s.name.substr(0, s.name.find('.'));
  take(&root, "name", s.name);
  take(&root, "about", s.about);
  take(&root, "length_s", s.length, second);
  take(&root, "ticketed", s.ticketed);
  const rapidjson::Value *fleet = member(root, "fleet"), *load = member(root, "load"),
                         *clients = member(root, "clients"), *network = member(root, "network");
  take(fleet, "stores", s.stores), take(fleet, "caches", s.caches), take(fleet, "fronts", s.fronts);
  take(fleet, "area_caches", s.areas), take(fleet, "in_common", s.inCommon), take(fleet, "descriptors", s.descriptors);
  take(fleet, "memory_mb", s.memoryMb);
  take(load, "pulls_per_s", s.pullsPerS), take(load, "of_capacity", s.load), take(load, "swing", s.swing);
  take(load, "bytes_per_kb", s.bytesPerKb);
  take(clients, "retries", s.retries), take(clients, "retry_wait_ms", s.retryWait);
  take(clients, "impatient", s.impatient);
  take(network, "choppy", s.choppy);
  if (s.caches < s.stores) sheet.refuse("/fleet/caches", "each store needs a cache: fewer caches than stores");
  if (s.fronts < s.stores) sheet.refuse("/fleet/fronts", "each store needs a front: fewer fronts than stores");
  if (const rapidjson::Value* troubles = member(root, "troubles"))
    for (rapidjson::SizeType i = 0; i < troubles->Size(); ++i) {
      const rapidjson::Value& one = (*troubles)[i];
      std::string at = "/troubles/" + std::to_string(i);
      Trouble t;
      std::string what, when;
      take(&one, "what", what), take(&one, "when", when);
      t.what = static_cast<What>(std::find(whats.begin(), whats.end(), what) - whats.begin());
      if (!when.empty()) t.when = static_cast<Moment>(std::find(moments.begin(), moments.end(), when) - moments.begin());
      bool timed = member(one, "at_s"), waits = member(one, "when");
      if (timed == waits) sheet.refuse(at, "needs either at_s or when");
      if (!waits && member(one, "after_ms")) sheet.refuse(at + "/after_ms", "goes with when, not with at_s");
      take(&one, "at_s", t.at, second), take(&one, "after_ms", t.at);
      if (t.what == What::frontKill || t.what == What::frontStop || t.what == What::apart) t.whom = "front";
      if (t.what == What::boardBreak || t.what == What::boardStop) t.whom = "board";
      take(&one, "whom", t.whom), take(&one, "count", t.count), take(&one, "for_s", t.lasts, second);
      take(&one, "factor", t.factor), take(&one, "share", t.share), take(&one, "late_ms", t.late);
      static const std::vector<std::string> kinds{"cache", "area", "office", "front", "board"};
      bool named = t.whom.starts_with("cache-") || t.whom.starts_with("area-") || t.whom.starts_with("front-");
      if (std::find(kinds.begin(), kinds.end(), t.whom) == kinds.end() && !named) {
        std::string near = schema::nearest(t.whom, kinds);
        sheet.refuse(at + "/whom", "\"" + t.whom + "\" is none of cache, area, office, front, board, cache-N, area-N, front-N" +
                                       (near.empty() ? "" : "; did you mean \"" + near + "\"?"));
      }
      if (t.whom.starts_with("area") && s.areas == 0) sheet.refuse(at + "/whom", "the fleet has no area caches");
      bool wantsFront = t.what == What::frontKill || t.what == What::frontStop || t.what == What::apart;
      if (t.what == What::apart && !s.inCommon) sheet.refuse(at, "\"apart\" needs fronts that are in_common");
      bool isFront = t.whom.starts_with("front"), isBoard = t.whom == "board";
      bool network = t.what == What::cut || t.what == What::oneWay || t.what == What::lag;
      if (wantsFront != isFront && !network)
        sheet.refuse(at, std::string("\"") + what + "\" does not go with whom \"" + t.whom + "\"");
      if (isBoard && !network && t.what != What::boardBreak && t.what != What::boardStop)
        sheet.refuse(at, std::string("\"") + what + "\" does not go with the board");
      if (t.whom == "office" && (t.what == What::kill || t.what == What::restart || t.what == What::drain ||
                                 t.what == What::take || t.what == What::deploy || t.what == What::vanish))
        sheet.refuse(at, std::string("there is one head office; it can stall, slow down or be cut, not \"") + what + "\"");
      if (t.when == Moment::none && t.at >= s.length) sheet.refuse(at + "/at_s", "is after the drill's end");
      s.troubles.push_back(t);
    }
  return s;
}

std::string written(const Script& s) {
  rapidjson::StringBuffer out;
  rapidjson::PrettyWriter<rapidjson::StringBuffer> w(out);
  w.SetIndent(' ', 2);
  w.SetMaxDecimalPlaces(6);
  auto text = [&](const char* name, const std::string& v) { w.Key(name), w.String(v.c_str()); };
  auto number = [&](const char* name, double v) {
    w.Key(name);
    if (v == std::floor(v) && std::abs(v) < 1e9) w.Int64(static_cast<std::int64_t>(v));
    else w.Double(v);
  };
  w.StartObject();
  text("name", s.name), text("about", s.about);
  number("length_s", s.length / second);
  w.Key("fleet"), w.StartObject();
  number("stores", s.stores), number("caches", s.caches), number("fronts", s.fronts), number("area_caches", s.areas);
  if (s.inCommon) w.Key("in_common"), w.Bool(true);
  number("descriptors", static_cast<double>(s.descriptors)), number("memory_mb", s.memoryMb);
  w.EndObject();
  w.Key("load"), w.StartObject();
  number("pulls_per_s", s.pullsPerS);
  if (s.load > 0) number("of_capacity", s.load);
  number("swing", s.swing), number("bytes_per_kb", s.bytesPerKb);
  w.EndObject();
  w.Key("clients"), w.StartObject();
  number("retries", s.retries), number("retry_wait_ms", s.retryWait), number("impatient", s.impatient);
  w.EndObject();
  w.Key("network"), w.StartObject(), number("choppy", s.choppy), w.EndObject();
  w.Key("ticketed"), w.Bool(s.ticketed);
  w.Key("troubles"), w.StartArray();
  for (const Trouble& t : s.troubles) {
    w.StartObject();
    text("what", word(t.what));
    if (t.when == Moment::none) number("at_s", t.at / second);
    else text("when", word(t.when)), number("after_ms", t.at);
    text("whom", t.whom), number("count", t.count), number("for_s", t.lasts / second);
    number("factor", t.factor), number("share", t.share), number("late_ms", t.late);
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  return std::string(out.GetString()) + "\n";
}

}  // namespace dunlinwick::drill
