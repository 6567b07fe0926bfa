#include "rig/script.hpp"

#include <algorithm>
#include <array>

#include "schema/schema.hpp"

namespace dunlinwick::fleet {

namespace {

constexpr std::array<const char*, 10> kDeeds{"kill",          "restart", "stop",  "resume",
                                             "cut",           "cut_out", "links", "caches_down",
                                             "caches_silent", "heal"};

const char* const kFleetRules = R"({
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

std::string FaultRules() {
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
  for (const char* d : kDeeds)
    words += std::string(words.empty() ? "" : ", ") + "\"" + d + "\"";
  return text.replace(text.find("DEEDS"), 5, words);
}

using schema::FindMember;
template <class T>
void ReadMember(const rapidjson::Value& in, const char* name, T& into, double times = 1) {
  schema::ReadMember(&in, name, into, times);
}

bool OfFronts(Deed d) {
  return d <= Deed::kCutOut;
}
bool OfCaches(Deed d) {
  return d == Deed::kCachesDown || d == Deed::kCachesSilent;
}

}  // namespace

const char* ToString(Deed deed) {
  return kDeeds[static_cast<std::size_t>(deed)];
}

FleetFile ReadFleetFile(const std::string& path, int fronts) {
  return ReadFleetText(path, schema::ReadFile(path), fronts);
}

FleetFile ReadFleetText(const std::string& named, const std::string& text, int fronts) {
  schema::ValidatedFile settings(named, text, kFleetRules);
  const rapidjson::Value& root = settings.Root();
  FleetFile f;
  f.swim.period = 200;
  f.swim.probe_timeout = 60;
  f.verdict.recovery_interval = 1000;
  for (const rapidjson::Value& z : FindMember(root, "zones")->GetArray()) {
    std::string name;
    ReadMember(z, "name", name);
    if (std::find(f.zones.begin(), f.zones.end(), name) != f.zones.end())
      settings.Fail("/zones/" + std::to_string(f.zones.size()) + "/name",
                    "\"" + name + "\" is there twice");
    f.zones.push_back(name);
    ReadMember(z, "region", f.regions.emplace_back());
  }
  f.fronts = static_cast<int>(f.zones.size()) * 2;
  ReadMember(root, "fronts", f.fronts);
  ReadMember(root, "caches_per_zone", f.caches_per_zone);
  ReadMember(root, "port", f.port);
  ReadMember(root, "period_ms", f.swim.period);
  ReadMember(root, "probe_timeout_ms", f.swim.probe_timeout);
  ReadMember(root, "hold_back_ms", f.verdict.recovery_interval);
  ReadMember(root, "lasting_ms", f.verdict.degradation_delay);
  ReadMember(root, "quorum", f.verdict.quorum);
  ReadMember(root, "steer", f.steer);
  ReadMember(root, "peers", f.peers);
  ReadMember(root, "layer", f.layer);
  ReadMember(root, "pulls_per_s", f.requests_per_s);
  if (const rapidjson::Value* each = FindMember(root, "front_zones")) {
    if (fronts > 0)
      settings.Fail("/front_zones",
                    "names each front's zone; another number of fronts does not go with it");
    if (FindMember(root, "fronts"))
      settings.Fail("/fronts", "goes without front_zones, which names each front");
    for (const rapidjson::Value& z : each->GetArray()) {
      auto at = std::find(f.zones.begin(), f.zones.end(), z.GetString());
      if (at == f.zones.end())
        settings.Fail("/front_zones/" + std::to_string(f.zone_of.size()),
                      "\"" + std::string(z.GetString()) + "\" is not among zones");
      f.zone_of.push_back(static_cast<int>(at - f.zones.begin()));
    }
    f.fronts = static_cast<int>(f.zone_of.size());
  }
  if (fronts > 0)
    f.fronts = fronts;
  if (f.zone_of.empty())
    for (int i = 0; i < f.fronts; ++i)
      f.zone_of.push_back(i % static_cast<int>(f.zones.size()));
  if (const rapidjson::Value* o = FindMember(root, "owner")) {
    f.owner.on = true;
    ReadMember(*o, "group", f.owner.group);
    ReadMember(*o, "places", f.owner.places);
    ReadMember(*o, "lasting", f.owner.lasting);
    ReadMember(*o, "lease_ms", f.owner.lease);
    ReadMember(*o, "margin_ms", f.owner.margin);
    ReadMember(*o, "renew_ms", f.owner.renew_every);
    ReadMember(*o, "election_ms", f.owner.election);
    for (const rapidjson::Value& w : FindMember(*o, "works")->GetArray()) {
      OwnerFile::Work one;
      ReadMember(w, "name", one.name);
      ReadMember(w, "steps", one.steps);
      ReadMember(w, "each_ms", one.each);
      f.owner.works.push_back(one);
    }
    if (f.owner.group > f.fronts)
      settings.Fail("/owner/group", "is greater than the number of fronts");
  }
  if (f.layer) {
    if (!f.owner.on) {
      f.owner.on = true;
      f.owner.places = 0;
    }
    f.peers = true;
    if (f.owner.group > f.fronts)
      settings.Fail("/layer",
                    "requires at least three fronts, which hold the record's log replicas");
  }
  if (!(f.swim.probe_timeout < f.swim.period))
    settings.Fail("/probe_timeout_ms", "must be shorter than period_ms");
  if (f.verdict.quorum > f.fronts)
    settings.Fail("/quorum", "is greater than the number of fronts");
  if (f.verdict.quorum > 0 && 2 * f.verdict.quorum <= f.fronts)
    settings.Fail("/quorum",
                  "must be more than half the fronts: otherwise both sides of a partition decide");
  if (f.caches_per_zone * static_cast<int>(f.zones.size()) > 62)
    settings.Fail("/caches_per_zone", "62 caches in all at most");
  if (f.port > 64000)
    settings.Fail("/port", "64000 at most: the fleet takes some hundreds from there on");
  return f;
}

Script ReadFaults(const std::string& path) {
  return ReadFaultsText(path, schema::ReadFile(path));
}

Script ReadFaultsText(const std::string& named, const std::string& text) {
  schema::ValidatedFile settings(named, text, FaultRules().c_str());
  const rapidjson::Value& root = settings.Root();
  Script s;
  s.name = named;
  ReadMember(root, "name", s.name);
  ReadMember(root, "about", s.about);
  ReadMember(root, "length_s", s.length, 1000);
  const rapidjson::Value& steps = *FindMember(root, "steps");
  for (rapidjson::SizeType i = 0; i < steps.Size(); ++i) {
    const rapidjson::Value& one = steps[i];
    std::string at = "/steps/" + std::to_string(i), what;
    Step t;
    ReadMember(one, "do", what);
    t.deed = static_cast<Deed>(
        std::find_if(kDeeds.begin(), kDeeds.end(), [&](const char* d) { return what == d; }) -
        kDeeds.begin());
    ReadMember(one, "at_s", t.at, 1000);
    ReadMember(one, "for_s", t.lasts, 1000);
    ReadMember(one, "zone", t.zone);
    if (const rapidjson::Value* who = FindMember(one, "fronts"))
      for (const rapidjson::Value& f : who->GetArray())
        t.fronts.push_back(f.GetUint());
    ReadMember(one, "delay_ms", t.delay);
    ReadMember(one, "jitter_ms", t.jitter);
    ReadMember(one, "loss", t.loss);
    ReadMember(one, "duplicate", t.duplicate);
    ReadMember(one, "reorder", t.reorder);
    ReadMember(one, "kb_per_s", t.kb_per_s);
    bool shapes = t.delay || t.jitter || t.loss || t.duplicate || t.reorder || t.kb_per_s;
    if (OfFronts(t.deed) && t.fronts.empty())
      settings.Fail(at, "\"" + what + "\" needs fronts");
    if (!OfFronts(t.deed) && !t.fronts.empty())
      settings.Fail(at + "/fronts", "does not go with \"" + what + "\"");
    if (OfCaches(t.deed) == t.zone.empty())
      settings.Fail(at, OfCaches(t.deed) ? "\"" + what + "\" needs a zone"
                                         : "a zone does not go with \"" + what + "\"");
    if ((t.deed == Deed::kLinks) != shapes)
      settings.Fail(
          at,
          shapes
              ? "delay, loss and their like go with \"links\""
              : "\"links\" needs one of delay_ms, jitter_ms, loss, duplicate, reorder, kb_per_s");
    if (t.lasts > 0 &&
        (t.deed == Deed::kRestart || t.deed == Deed::kResume || t.deed == Deed::kHeal))
      settings.Fail(at + "/for_s", "\"" + what + "\" has no end");
    if (t.at >= s.length)
      settings.Fail(at + "/at_s", "is after the script's end");
    s.steps.push_back(t);
  }
  std::stable_sort(s.steps.begin(), s.steps.end(),
                   [](const Step& a, const Step& b) { return a.at < b.at; });
  return s;
}

std::string Unfit(const Script& script, const FleetFile& fleet) {
  for (const Step& s : script.steps) {
    for (std::size_t f : s.fronts)
      if (f >= fleet.zone_of.size())
        return std::string(ToString(s.deed)) + ": the fleet has no front " + std::to_string(f) +
               ", only 0 to " + std::to_string(fleet.zone_of.size() - 1);
    if (!s.zone.empty() &&
        std::find(fleet.zones.begin(), fleet.zones.end(), s.zone) == fleet.zones.end())
      return std::string(ToString(s.deed)) + ": the fleet has no zone \"" + s.zone + "\"";
  }
  return "";
}

std::vector<Cue> Cues(const Script& script) {
  std::vector<Cue> all;
  for (const Step& s : script.steps) {
    all.push_back({s.at, s, true});
    if (s.lasts > 0)
      all.push_back({s.at + s.lasts, s, false});
  }
  std::stable_sort(all.begin(), all.end(), [](const Cue& a, const Cue& b) { return a.at < b.at; });
  return all;
}

void Play(const Cue& cue, Target& target, const FleetFile& fleet) {
  const Step& s = cue.step;
  std::size_t zone = static_cast<std::size_t>(
      std::find(fleet.zones.begin(), fleet.zones.end(), s.zone) - fleet.zones.begin());
  switch (s.deed) {
    case Deed::kKill:
      for (std::size_t f : s.fronts)
        cue.on ? target.Kill(f) : target.Restart(f);
      break;
    case Deed::kRestart:
      for (std::size_t f : s.fronts)
        target.Restart(f);
      break;
    case Deed::kStop:
      for (std::size_t f : s.fronts)
        cue.on ? target.Stop(f) : target.Resume(f);
      break;
    case Deed::kResume:
      for (std::size_t f : s.fronts)
        target.Resume(f);
      break;
    case Deed::kCut:
    case Deed::kCutOut:
      target.Cut(s.fronts, s.deed == Deed::kCutOut, cue.on);
      break;
    case Deed::kLinks:
      target.Links(s, cue.on);
      break;
    case Deed::kCachesDown:
    case Deed::kCachesSilent:
      target.caches(zone, s.deed == Deed::kCachesSilent, cue.on);
      break;
    case Deed::kHeal:
      target.Heal();
      break;
  }
}

std::string Text(const Cue& cue) {
  std::string t = ToString(cue.step.deed);
  for (std::size_t i = 0; i < cue.step.fronts.size(); ++i)
    t += (i ? "," : " ") + std::to_string(cue.step.fronts[i]);
  if (!cue.step.zone.empty())
    t += " " + cue.step.zone;
  return cue.on ? t : t + " ends";
}

}  // namespace dunlinwick::fleet
