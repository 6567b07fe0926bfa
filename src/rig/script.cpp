#include "rig/script.hpp"

#include <algorithm>
#include <array>

#include "schema/schema.hpp"

namespace dunlinwick::fleet {

namespace {

constexpr std::array<const char*, 10> deeds{"kill",  "restart",     "stop",          "resume", "cut",
                                            "cut_out", "links", "caches_down", "caches_silent", "heal"};

const char* const fleetRules = R"({
  "type": "object", "additionalProperties": false, "required": ["zones"],
  "properties": {
    "about": {"type": "string"},
    "zones": {"type": "array", "minItems": 1, "maxItems": 16, "items": {"type": "object", "additionalProperties": false,
      "required": ["name", "region"], "properties": {
        "name": {"type": "string", "pattern": "^[a-z0-9-]{1,32}$"}, "region": {"type": "string", "pattern": "^[a-z0-9-]{1,32}$"}}}},
    "fronts": {"type": "integer", "minimum": 2, "maximum": 64},
    "front_zones": {"type": "array", "minItems": 2, "maxItems": 64, "items": {"type": "string"}},
    "caches_per_zone": {"type": "integer", "minimum": 1, "maximum": 4},
    "port": {"type": "integer", "minimum": 1024, "maximum": 60000},
    "period_ms": {"type": "integer", "minimum": 50, "maximum": 60000},
    "probe_timeout_ms": {"type": "integer", "minimum": 10, "maximum": 60000},
    "hold_back_ms": {"type": "integer", "minimum": 0, "maximum": 600000},
    "lasting_ms": {"type": "integer", "minimum": 0, "maximum": 600000},
    "quorum": {"type": "integer", "minimum": 1, "maximum": 64},
    "steer": {"type": "boolean"},
    "peers": {"type": "boolean"},
    "layer": {"type": "boolean"},
    "pulls_per_s": {"type": "number", "minimum": 0, "maximum": 200},
    "owner": {"type": "object", "additionalProperties": false, "required": ["works"], "properties": {
      "group": {"type": "integer", "enum": [3, 5]},
      "places": {"type": "integer", "minimum": 1, "maximum": 8},
      "lasting": {"type": "boolean"},
      "lease_ms": {"type": "integer", "minimum": 500, "maximum": 600000},
      "margin_ms": {"type": "integer", "minimum": 10, "maximum": 60000},
      "renew_ms": {"type": "integer", "minimum": 50, "maximum": 200000},
      "election_ms": {"type": "integer", "minimum": 100, "maximum": 60000},
      "works": {"type": "array", "minItems": 1, "maxItems": 64, "items": {"type": "object", "additionalProperties": false,
        "required": ["name"], "properties": {
          "name": {"type": "string", "pattern": "^[a-z0-9-]{1,48}$"},
          "steps": {"type": "integer", "minimum": 1, "maximum": 1000000},
          "each_ms": {"type": "integer", "minimum": 0, "maximum": 3600000}}}}}}
  }
})";

std::string faultRules() {
  std::string text = R"({
  "type": "object", "additionalProperties": false, "required": ["length_s", "steps"],
  "properties": {
    "name": {"type": "string"}, "about": {"type": "string"},
    "length_s": {"type": "number", "minimum": 0.1, "maximum": 3600},
    "steps": {"type": "array", "maxItems": 200, "items": {"type": "object", "additionalProperties": false,
      "required": ["at_s", "do"], "properties": {
        "at_s": {"type": "number", "minimum": 0, "maximum": 3600},
        "for_s": {"type": "number", "minimum": 0, "maximum": 3600},
        "do": {"type": "string", "enum": [DEEDS]},
        "fronts": {"type": "array", "minItems": 1, "maxItems": 64, "items": {"type": "integer", "minimum": 0, "maximum": 63}},
        "zone": {"type": "string"},
        "delay_ms": {"type": "number", "minimum": 0, "maximum": 10000},
        "jitter_ms": {"type": "number", "minimum": 0, "maximum": 10000},
        "loss": {"type": "number", "minimum": 0, "maximum": 1},
        "duplicate": {"type": "number", "minimum": 0, "maximum": 1},
        "reorder": {"type": "number", "minimum": 0, "maximum": 1},
        "kb_per_s": {"type": "number", "minimum": 0, "maximum": 1000000}}}}
  }
})";
  std::string words;
  for (const char* d : deeds) words += std::string(words.empty() ? "" : ", ") + "\"" + d + "\"";
  return text.replace(text.find("DEEDS"), 5, words);
}

using schema::member;
template <class T>
void take(const rapidjson::Value& in, const char* name, T& into, double times = 1) {
  schema::take(&in, name, into, times);
}

bool ofFronts(Deed d) { return d <= Deed::cutOut; }
bool ofCaches(Deed d) { return d == Deed::cachesDown || d == Deed::cachesSilent; }

}  // namespace

const char* word(Deed deed) { return deeds[static_cast<std::size_t>(deed)]; }

FleetFile readFleetFile(const std::string& path, int fronts) {
  return readFleetText(path, schema::readFile(path), fronts);
}

FleetFile readFleetText(const std::string& named, const std::string& text, int fronts) {
  schema::Sheet sheet(named, text, fleetRules);
  const rapidjson::Value& root = sheet.root();
  FleetFile f;
  f.swim.period = 200, f.swim.probeTimeout = 60, f.verdict.holdBack = 1000;
  for (const rapidjson::Value& z : member(root, "zones")->GetArray()) {
    std::string name;
    take(z, "name", name);
    if (std::find(f.zones.begin(), f.zones.end(), name) != f.zones.end())
      sheet.refuse("/zones/" + std::to_string(f.zones.size()) + "/name", "\"" + name + "\" is there twice");
    f.zones.push_back(name);
    take(z, "region", f.regions.emplace_back());
  }
  f.fronts = static_cast<int>(f.zones.size()) * 2;
  take(root, "fronts", f.fronts), take(root, "caches_per_zone", f.cachesPerZone), take(root, "port", f.port);
  take(root, "period_ms", f.swim.period), take(root, "probe_timeout_ms", f.swim.probeTimeout);
  take(root, "hold_back_ms", f.verdict.holdBack), take(root, "lasting_ms", f.verdict.lasting);
  take(root, "quorum", f.verdict.quorum), take(root, "steer", f.steer), take(root, "peers", f.peers), take(root, "layer", f.layer), take(root, "pulls_per_s", f.pullsPerS);
  if (const rapidjson::Value* each = member(root, "front_zones")) {
    if (fronts > 0) sheet.refuse("/front_zones", "names each front's zone; another number of fronts does not go with it");
    if (member(root, "fronts")) sheet.refuse("/fronts", "goes without front_zones, which names each front");
    for (const rapidjson::Value& z : each->GetArray()) {
      auto at = std::find(f.zones.begin(), f.zones.end(), z.GetString());
      if (at == f.zones.end())
        sheet.refuse("/front_zones/" + std::to_string(f.zoneOf.size()), "\"" + std::string(z.GetString()) + "\" is not among zones");
      f.zoneOf.push_back(static_cast<int>(at - f.zones.begin()));
    }
    f.fronts = static_cast<int>(f.zoneOf.size());
  }
  if (fronts > 0) f.fronts = fronts;
  if (f.zoneOf.empty())
    for (int i = 0; i < f.fronts; ++i) f.zoneOf.push_back(i % static_cast<int>(f.zones.size()));
  if (const rapidjson::Value* o = member(root, "owner")) {
    f.owner.on = true;
    take(*o, "group", f.owner.group), take(*o, "places", f.owner.places), take(*o, "lasting", f.owner.lasting);
    take(*o, "lease_ms", f.owner.lease), take(*o, "margin_ms", f.owner.margin), take(*o, "renew_ms", f.owner.renewEvery);
    take(*o, "election_ms", f.owner.election);
    for (const rapidjson::Value& w : member(*o, "works")->GetArray()) {
      OwnerFile::Work one;
      take(w, "name", one.name), take(w, "steps", one.steps), take(w, "each_ms", one.each);
      f.owner.works.push_back(one);
    }
    if (f.owner.group > f.fronts) sheet.refuse("/owner/group", "is more than the fronts");
  }
  if (f.layer) {
    if (!f.owner.on) f.owner.on = true, f.owner.places = 0;
    f.peers = true;
    if (f.owner.group > f.fronts) sheet.refuse("/layer", "wants three fronts at least: they keep the record");
  }
  if (!(f.swim.probeTimeout < f.swim.period)) sheet.refuse("/probe_timeout_ms", "must be shorter than period_ms");
  if (f.verdict.quorum > f.fronts) sheet.refuse("/quorum", "is more than the fronts");
  if (f.verdict.quorum > 0 && 2 * f.verdict.quorum <= f.fronts)
    sheet.refuse("/quorum", "is half the fronts or fewer: both sides of a partition would decide");
  if (f.cachesPerZone * static_cast<int>(f.zones.size()) > 62) sheet.refuse("/caches_per_zone", "62 caches in all at most");
  if (f.port > 64000) sheet.refuse("/port", "64000 at most: the fleet takes some hundreds from there on");
  return f;
}

Script readFaults(const std::string& path) { return readFaultsText(path, schema::readFile(path)); }

Script readFaultsText(const std::string& named, const std::string& text) {
  schema::Sheet sheet(named, text, faultRules().c_str());
  const rapidjson::Value& root = sheet.root();
  Script s;
  s.name = named;
  take(root, "name", s.name), take(root, "about", s.about), take(root, "length_s", s.length, 1000);
  const rapidjson::Value& steps = *member(root, "steps");
  for (rapidjson::SizeType i = 0; i < steps.Size(); ++i) {
    const rapidjson::Value& one = steps[i];
    std::string at = "/steps/" + std::to_string(i), what;
    Step t;
    take(one, "do", what);
    t.deed = static_cast<Deed>(std::find_if(deeds.begin(), deeds.end(), [&](const char* d) { return what == d; }) - deeds.begin());
    take(one, "at_s", t.at, 1000), take(one, "for_s", t.lasts, 1000), take(one, "zone", t.zone);
    if (const rapidjson::Value* who = member(one, "fronts"))
      for (const rapidjson::Value& f : who->GetArray()) t.fronts.push_back(f.GetUint());
    take(one, "delay_ms", t.delay), take(one, "jitter_ms", t.jitter), take(one, "loss", t.loss);
    take(one, "duplicate", t.duplicate), take(one, "reorder", t.reorder), take(one, "kb_per_s", t.kbPerS);
    bool shapes = t.delay || t.jitter || t.loss || t.duplicate || t.reorder || t.kbPerS;
    if (ofFronts(t.deed) && t.fronts.empty()) sheet.refuse(at, "\"" + what + "\" needs fronts");
    if (!ofFronts(t.deed) && !t.fronts.empty()) sheet.refuse(at + "/fronts", "does not go with \"" + what + "\"");
    if (ofCaches(t.deed) == t.zone.empty())
      sheet.refuse(at, ofCaches(t.deed) ? "\"" + what + "\" needs a zone" : "a zone does not go with \"" + what + "\"");
    if ((t.deed == Deed::links) != shapes)
      sheet.refuse(at, shapes ? "delay, loss and their like go with \"links\"" : "\"links\" needs one of delay_ms, jitter_ms, loss, duplicate, reorder, kb_per_s");
    if (t.lasts > 0 && (t.deed == Deed::restart || t.deed == Deed::resume || t.deed == Deed::heal))
      sheet.refuse(at + "/for_s", "\"" + what + "\" has no end");
    if (t.at >= s.length) sheet.refuse(at + "/at_s", "is after the script's end");
    s.steps.push_back(t);
  }
  std::stable_sort(s.steps.begin(), s.steps.end(), [](const Step& a, const Step& b) { return a.at < b.at; });
  return s;
}

std::string unfit(const Script& script, const FleetFile& fleet) {
  for (const Step& s : script.steps) {
    for (std::size_t f : s.fronts)
      if (f >= fleet.zoneOf.size())
        return std::string(word(s.deed)) + ": the fleet has no front " + std::to_string(f) + ", only 0 to " + std::to_string(fleet.zoneOf.size() - 1);
    if (!s.zone.empty() && std::find(fleet.zones.begin(), fleet.zones.end(), s.zone) == fleet.zones.end())
      return std::string(word(s.deed)) + ": the fleet has no zone \"" + s.zone + "\"";
  }
  return "";
}

std::vector<Cue> cues(const Script& script) {
  std::vector<Cue> all;
  for (const Step& s : script.steps) {
    all.push_back({s.at, s, true});
    if (s.lasts > 0) all.push_back({s.at + s.lasts, s, false});
  }
  std::stable_sort(all.begin(), all.end(), [](const Cue& a, const Cue& b) { return a.at < b.at; });
  return all;
}

void play(const Cue& cue, Target& target, const FleetFile& fleet) {
  const Step& s = cue.step;
  std::size_t zone = static_cast<std::size_t>(std::find(fleet.zones.begin(), fleet.zones.end(), s.zone) - fleet.zones.begin());
  switch (s.deed) {
    case Deed::kill:
      for (std::size_t f : s.fronts) cue.on ? target.kill(f) : target.restart(f);
      break;
    case Deed::restart:
      for (std::size_t f : s.fronts) target.restart(f);
      break;
    case Deed::stop:
      for (std::size_t f : s.fronts) cue.on ? target.stop(f) : target.resume(f);
      break;
    case Deed::resume:
      for (std::size_t f : s.fronts) target.resume(f);
      break;
    case Deed::cut:
    case Deed::cutOut:
      target.cut(s.fronts, s.deed == Deed::cutOut, cue.on);
      break;
    case Deed::links:
      target.links(s, cue.on);
      break;
    case Deed::cachesDown:
    case Deed::cachesSilent:
      target.caches(zone, s.deed == Deed::cachesSilent, cue.on);
      break;
    case Deed::heal:
      target.heal();
      break;
  }
}

std::string text(const Cue& cue) {
  std::string t = word(cue.step.deed);
  for (std::size_t i = 0; i < cue.step.fronts.size(); ++i) t += (i ? "," : " ") + std::to_string(cue.step.fronts[i]);
  if (!cue.step.zone.empty()) t += " " + cue.step.zone;
  return cue.on ? t : t + " ends";
}

}  // namespace dunlinwick::fleet
