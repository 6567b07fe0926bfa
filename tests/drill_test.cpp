// Drills: scripts that are refused and why, what the checker calls a breach, that a run replays,
// that every broken front is caught, that a failing script is cut down.
#include <cassert>
#include <cstdio>
#include <cstring>

#include "drill/hunt.hpp"
#include "mutants.hpp"
#include "schema/schema.hpp"

using namespace dunlinwick;
using drill::Script;
using rules::Invariant;
using rules::Observation;
using rules::ObservationKind;

namespace {

void ScriptsAreRefusedWithLineAndReason() {
  struct Case {
    const char *text, *says;
  };
  for (const Case& c : std::vector<Case>{
           {"{\n \"length_s\": 10,\n \"lenght_s\": 3\n}",
            "s.json:3: unknown field \"lenght_s\"; did you mean \"length_s\"?"},
           {"{\n \"length_s\": 10,,\n}", "s.json:2: Missing a name for object member."},
           {"{}", "s.json:1: lacks \"length_s\""},
           {"{\"length_s\": \"long\"}", "s.json:1: /length_s: must be a number, not \"long\""},
           {"{\"length_s\": 0.5}", "s.json:1: /length_s: 0.5 is below 1, the minimum"},
           {"{\"length_s\": 9999}", "s.json:1: /length_s: 9999 is above 3600, the maximum"},
           {"{\"length_s\": 1, \"length_s\": 2}", "s.json:1: has \"length_s\" twice"},
           {"// two\n// lines\n{\"length_s\": 10, \"fleet\":\n {\"stores\": 5, \"caches\": 3, "
            "\"fronts\": 5}}",
            "s.json:4: /fleet/caches: each store needs a cache: fewer caches than stores"},
           {"{\"length_s\": 10, \"fleet\": {\"stores\": 5, \"fronts\": 3}}",
            "s.json:1: /fleet/fronts: each store needs a front: fewer fronts than stores"},
           {"{\"length_s\": 10, \"troubles\": [\n{\"what\": \"stal\", \"at_s\": 1}]}",
            "did you mean \"stall\"?"},
           {"{\"length_s\": 10, \"troubles\": [\n{\"what\": \"stall\"}]}",
            "s.json:2: /troubles/0: needs either at_s or when"},
           {"{\"length_s\": 10, \"troubles\": [{\"what\": \"stall\", \"at_s\": 1, \"when\": \"a "
            "drain is told\"}]}",
            "needs either at_s or when"},
           {"{\"length_s\": 10, \"troubles\": [{\"what\": \"stall\", \"at_s\": 1, \"after_ms\": "
            "5}]}",
            "/troubles/0/after_ms: goes with when, not with at_s"},
           {"{\"length_s\": 10, \"troubles\": [{\"what\": \"stall\", \"at_s\": 1, \"whom\": "
            "\"cahce\"}]}",
            "did you mean \"cache\"?"},
           {"{\"length_s\": 10, \"troubles\": [{\"what\": \"stall\", \"at_s\": 11}]}",
            "/troubles/0/at_s: is after the drill's end"},
           {"{\"length_s\": 10, \"troubles\": [{\"what\": \"kill\", \"whom\": \"office\", "
            "\"at_s\": 1}]}",
            "there is one head office; it can stall, slow down or be cut, not \"kill\""},
           {"{\"length_s\": 10, \"troubles\": [{\"what\": \"front_kill\", \"whom\": \"cache\", "
            "\"at_s\": 1}]}",
            "\"front_kill\" does not go with whom \"cache\""},
           {"{\"length_s\": 10, \"troubles\": [{\"what\": \"drain\", \"whom\": \"front\", "
            "\"at_s\": 1}]}",
            "\"drain\" does not go with whom \"front\""},
           {"{\"length_s\": 10, \"fleet\": {\"area_caches\": 0}, \"troubles\": [{\"what\": "
            "\"drain\", \"whom\": \"area\", \"at_s\": 1}]}",
            "the fleet has no area caches"}}) {
    std::string said = "taken";
    try {
      drill::ReadScriptText("s.json", c.text);
    } catch (const schema::ValidationError& fault) {
      said = fault.what();
    }
    if (said.find(c.says) == said.npos)
      std::fprintf(stderr, "%s\n  says: %s\n  not:  %s\n", c.text, said.c_str(), c.says);
    assert(said.find(c.says) != said.npos);
  }
  // What is written is read as the same.
  Script s = drill::ReadScriptText("s.json",
                                   "{\"length_s\": 10, /* a */ \"troubles\": [{\"what\": \"cut\", "
                                   "\"whom\": \"front-2\", \"at_s\": 1.5},]}");
  assert(s.name == "s" && s.troubles.size() == 1 && s.troubles[0].whom == "front-2" &&
         s.troubles[0].at == 1500);
  assert(drill::Written(drill::ReadScriptText("x.json", drill::Written(s))) == drill::Written(s));
}

// ---- the checker, by facts alone

rules::Limits Limits() {
  rules::Limits l;
  l.request_classes = {
      {"video", rules::Effect::kIdempotent, rules::DeduplicationScope::kCell, 0},
      {"order", rules::Effect::kExclusive, rules::DeduplicationScope::kCell, 0},
      {"stamp", rules::Effect::kIdempotentWithKey, rules::DeduplicationScope::kZone, 5000}};
  l.endpoint_locations = {{"c1", {1, 1}}, {"c2", {1, 1}}, {"p", {0, 0}}};
  return l;
}
Observation MakeFact(rules::Ms at, ObservationKind deed, const std::string& request = "a") {
  Observation f;
  f.at = at;
  f.kind = deed;
  f.request = request;
  f.object = "t";
  f.actor = "f";
  return f;
}
Observation Asked(rules::Ms at, int request_class = 0, rules::Ms ttl = 1000) {
  Observation f = MakeFact(at, ObservationKind::kRequestSent);
  f.request_class = request_class;
  f.value = ttl;
  return f;
}
Observation Came(rules::Ms at, const std::string& machine, const std::string& source = "") {
  Observation f = MakeFact(at, ObservationKind::kAttemptReceived);
  f.actor = machine;
  f.subject = source;
  return f;
}
Observation Ended(rules::Ms at, const std::string& machine, const std::string& word,
                  const std::string& tag = "", rules::Ms issued = 0) {
  Observation f = MakeFact(at, ObservationKind::kAttemptEnded);
  f.actor = machine;
  f.state = word;
  f.tag = tag;
  f.value = issued;
  return f;
}
Observation Answer(rules::Ms at, int status, const std::string& tag = "") {
  Observation f = MakeFact(at, ObservationKind::kResponseReceived);
  f.status = status;
  f.tag = tag;
  f.flag = true;
  return f;
}
Observation Listed(rules::Ms at, const std::string& machine, const std::string& word) {
  Observation f = MakeFact(at, ObservationKind::kEndpointUpdated, "");
  f.subject = machine;
  f.state = word;
  return f;
}
Observation Purged(rules::Ms at, rules::Ms when, bool group = false) {
  Observation f = MakeFact(at, ObservationKind::kPurgeAnnounced, "");
  f.value = when;
  f.flag = group;
  return f;
}
Observation Ran(rules::Ms at, const std::string& request) {
  return MakeFact(at, ObservationKind::kExecuted, request);
}

void TheCheckerTellsBreachesFromGoodRuns() {
  struct Case {
    const char* name;
    std::vector<Observation> facts;
    std::vector<Invariant> broken;
  };
  Observation down = MakeFact(300, ObservationKind::kFrontDown, ""),
              left = MakeFact(500, ObservationKind::kClientDisconnected), second = Asked(600, 1);
  second.request = "b";
  Observation dropped = MakeFact(50, ObservationKind::kAttemptDropped);
  dropped.actor = "c1";
  std::vector<Case> cases{
      {"finished",
       {Asked(0), Came(5, "c1"), Ended(50, "c1", "hit", "x"), Answer(60, 200, "x")},
       {}},
      {"no answer", {Asked(0), Came(5, "c1")}, {Invariant::kFinalResponse}},
      {"no answer, but the front died", {Asked(0), Came(5, "c1"), down}, {}},
      {"no answer, but the client left", {Asked(0), Came(5, "c1"), left}, {}},
      {"two answers",
       {Asked(0), Came(5, "c1"), Ended(50, "c1", "hit", "x"), Answer(60, 200, "x"),
        Answer(61, 200, "x")},
       {Invariant::kFinalResponse}},
      {"in the slack", {Asked(0), Came(5, "c1"), Answer(1040, 502)}, {}},
      {"made up",
       {Asked(0), Came(5, "c1"), Ended(50, "c1", "hit", "x"), Answer(60, 200, "y")},
       {Invariant::kFinalResponse}},
      {"a leg for nobody", {Came(5, "c1")}, {Invariant::kFinalResponse}},
      {"exclusive, moved on from what never ran",
       {Asked(0, 1), Came(5, "c1"), Ended(9, "c1", "shed"), Came(12, "c2"),
        Ended(20, "c2", "hit", "x"), Answer(25, 200, "x")},
       {}},
      {"exclusive, again after a break",
       {Asked(0, 1), Came(5, "c1"), dropped, Came(60, "c2"), Answer(70, 502)},
       {Invariant::kSingleEffect}},
      {"exclusive, again beside one that is out",
       {Asked(0, 1), Came(5, "c1"), Came(6, "c2"), Answer(70, 502)},
       {Invariant::kSingleEffect}},
      {"exclusive, declined after a break",
       {Asked(0, 1), Came(5, "c1"), dropped, Answer(60, 503)},
       {Invariant::kSingleEffect}},
      {"exclusive, abandoned after a break",
       {Asked(0, 1), Came(5, "c1"), dropped, Answer(60, 502)},
       {}},
      {"an effect ran twice",
       {Asked(0, 1), Ran(10, "a"), Answer(20, 502), second, Ran(610, "b")},
       {Invariant::kSingleEffect, Invariant::kFinalResponse}},
      {"ticketed, again in its group",
       {Asked(0, 2), Came(5, "c1"), dropped, Came(60, "c2"), Answer(70, 502)},
       {}},
      {"ticketed, again outside",
       {Asked(0, 2), Came(5, "c1"), dropped, Came(60, "p"), Answer(70, 502)},
       {Invariant::kSingleEffect}},
      {"ticketed, after its memory",
       {Asked(0, 2, 9000), Came(5, "c1"), dropped, Came(5100, "c2"), Answer(5200, 502)},
       {Invariant::kSingleEffect}},
      {"a drain in its grace",
       {Listed(0, "c1", "draining"), Asked(400), Came(540, "c1"), Answer(600, 502)},
       {}},
      {"a drain past it",
       {Listed(0, "c1", "draining"), Asked(400), Came(560, "c1"), Answer(600, 502)},
       {Invariant::kDrain}},
      {"as a source",
       {Listed(0, "p", "gone"), Asked(400), Came(560, "c1", "p"), Answer(600, 502)},
       {Invariant::kDrain}},
      {"ready again",
       {Listed(0, "c1", "draining"), Listed(100, "c1", "ready"), Asked(400), Came(900, "c1"),
        Answer(950, 502)},
       {}},
      {"told twice: the first word counts",
       {Listed(0, "c1", "draining"), Listed(400, "c1", "gone"), Asked(401), Came(700, "c1"),
        Answer(750, 502)},
       {Invariant::kDrain}},
      {"a copy older than a purge, long told",
       {Purged(0, -10), Asked(600), Came(605, "c1"), Ended(650, "c1", "hit", "x", -20),
        Answer(660, 200, "x")},
       {Invariant::kPurge}},
      {"of its group",
       {Purged(0, -10, true), Asked(600), Came(605, "c1"), Ended(650, "c1", "hit", "x", -20),
        Answer(660, 200, "x")},
       {Invariant::kPurge}},
      {"a copy newer than it",
       {Purged(0, -10), Asked(600), Came(605, "c1"), Ended(650, "c1", "hit", "x", -5),
        Answer(660, 200, "x")},
       {}},
      {"just told",
       {Purged(100, -10), Asked(600), Came(605, "c1"), Ended(650, "c1", "hit", "x", -20),
        Answer(660, 200, "x")},
       {}},
      {"declined at once", {Asked(0), Answer(10, 503)}, {}},
      {"declined after its leg's end",
       {Asked(0), Came(5, "c1"), Ended(900, "c1", "shed"), Answer(910, 503)},
       {}},
      {"held back", {Asked(0), Answer(700, 503)}, {Invariant::kPromptRejection}},
      {"held back after its leg's end",
       {Asked(0), Came(5, "c1"), Ended(100, "c1", "shed"), Answer(800, 503)},
       {Invariant::kPromptRejection}},
  };
  for (const Case& c : cases) {
    rules::Checker checker(Limits());
    checker.HandleObservation([] {
      Observation f = MakeFact(-1, ObservationKind::kFrontUp, "");
      return f;
    }());
    for (const Observation& f : c.facts) {
      auto again = rules::ParseTraceLine(rules::FormatTraceLine(f));  // as a trace keeps it
      assert(again && rules::FormatTraceLine(*again) == rules::FormatTraceLine(f));
      checker.HandleObservation(*again);
    }
    checker.Finish(60000);
    std::vector<Invariant> got;
    for (const rules::Violation& b : checker.Violations())
      got.push_back(b.invariant);
    if (got != c.broken)
      std::fprintf(stderr, "%s: %zu breaches\n", c.name, got.size());
    assert(got == c.broken);
  }
  for (const char* bad : {"", "x", "1.0\tasked", "1.0\tasket\t-\t-\t-\t-\t-\t-\t0\t0\t0\t0\t0\t0"})
    assert(!rules::ParseTraceLine(bad));
}

// ---- runs

const char* const kRough = R"({"length_s": 8, "troubles": [
  {"what": "stall", "whom": "office", "at_s": 2, "for_s": 2},
  {"what": "restart", "whom": "cache", "count": 2, "when": "the office stops", "after_ms": 100, "for_s": 1},
  {"what": "front_kill", "count": 2, "at_s": 4, "for_s": 1},
  {"what": "purge", "count": 10, "at_s": 3},
  {"what": "broken_off", "whom": "cache", "count": 0, "at_s": 5, "for_s": 2, "share": 0.05},
  {"what": "drain", "whom": "cache", "when": "a purge is told", "after_ms": 10, "for_s": 1}]})";

void TheSameSeedReplaysWhateverTheJobs() {
  Script s = drill::ReadScriptText("rough", kRough);
  drill::HuntOptions options;
  options.seeds = 3;
  options.vary = 0.3;
  options.shrink_runs = 0;
  drill::Hunted one = drill::Hunt(s, options);
  options.jobs = 3;
  drill::Hunted three = drill::Hunt(s, options);
  assert(one.digest == three.digest && one.failing.empty() && three.failing.empty());
  drill::Options o;
  o.seed = 1;
  std::uint64_t first = drill::Play(s, o).digest;
  assert(drill::Play(s, o).digest == first);
  o.seed = 2;
  assert(drill::Play(s, o).digest != first);
}

void ABrokenFrontIsCaughtAndItsScriptCutDown() {
  const mutants::Mutant* ignores = nullptr;
  for (const mutants::Mutant& m : mutants::All())
    if (m.name == "ignores-drains")
      ignores = &m;
  assert(ignores);
  Script s = drill::ReadScriptText("noisy", R"({"length_s": 10, "troubles": [
    {"what": "purge", "at_s": 1, "count": 5}, {"what": "drain", "whom": "cache", "count": 2, "at_s": 2, "for_s": 4},
    {"what": "late_reports", "at_s": 3, "for_s": 2}, {"what": "front_kill", "at_s": 6, "for_s": 1}]})");
  drill::HuntOptions options;
  options.seeds = 1;
  options.breaker = ignores->breaker;
  options.shrink_runs = 25;
  drill::Hunted h = drill::Hunt(s, options);
  assert(h.failing.size() == 1 && h.shrunk.size() == 1 && h.shrunk[0].rule == Invariant::kDrain);
  const Script& small = h.shrunk[0].script;
  assert(small.troubles.size() == 1 && small.troubles[0].what == drill::What::kDrain &&
         small.length <= 6000);
  // It still fails as a file, and the unbroken front passes it.
  Script again = drill::ReadScriptText("small", drill::Written(small));
  drill::Options o;
  o.seed = h.shrunk[0].seed;
  assert(drill::Play(again, o).Kept());
  o.breaker = ignores->breaker;
  assert(!drill::Play(again, o).Kept());
}

void EveryBrokenFrontIsCaughtByItsRule() {
  int by_rule[rules::kInvariantCount] = {};
  for (const mutants::Mutant& m : mutants::All()) {
    mutants::Verdict v = mutants::Judge(m, 3);
    if (!v.by_its_rule || !v.unbroken_kept)
      std::fprintf(stderr, "%s\n", m.name.c_str());
    assert(v.by_its_rule && v.unbroken_kept);
    ++by_rule[static_cast<int>(m.breaks)];
  }
  for (int count : by_rule)
    assert(count >= 2);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc > 1 && std::strcmp(argv[1], "mutants") == 0) {
    EveryBrokenFrontIsCaughtByItsRule();
    return 0;
  }
  ScriptsAreRefusedWithLineAndReason();
  TheCheckerTellsBreachesFromGoodRuns();
  TheSameSeedReplaysWhateverTheJobs();
  ABrokenFrontIsCaughtAndItsScriptCutDown();
}
