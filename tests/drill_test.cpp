// Drills: scripts that are refused and why, what the checker calls a breach, that a run replays, that every broken
// front is caught, that a failing script is cut down.
#include <cassert>
#include <cstdio>
#include <cstring>

#include "drill/hunt.hpp"
#include "mutants.hpp"
#include "schema/schema.hpp"

using namespace dunlinwick;
using drill::Script;
using rules::Deed;
using rules::Fact;
using rules::Rule;

namespace {

void scriptsAreRefusedWithLineAndReason() {
  struct Case {
    const char *text, *says;
  };
  for (const Case& c : std::vector<Case>{
           {"{\n \"length_s\": 10,\n \"lenght_s\": 3\n}", "s.json:3: unknown field \"lenght_s\"; did you mean \"length_s\"?"},
           {"{\n \"length_s\": 10,,\n}", "s.json:2: Missing a name for object member."},
           {"{}", "s.json:1: lacks \"length_s\""},
           {"{\"length_s\": \"long\"}", "s.json:1: /length_s: must be a number, not \"long\""},
           {"{\"length_s\": 0.5}", "s.json:1: /length_s: 0.5 is below 1, the least"},
           {"{\"length_s\": 9999}", "s.json:1: /length_s: 9999 is above 3600, the most"},
           {"{\"length_s\": 1, \"length_s\": 2}", "s.json:1: has \"length_s\" twice"},
           {"// two\n// lines\n{\"length_s\": 10, \"fleet\":\n {\"stores\": 5, \"caches\": 3, \"fronts\": 5}}",
            "s.json:4: /fleet/caches: each store needs a cache: fewer caches than stores"},
           {"{\"length_s\": 10, \"fleet\": {\"stores\": 5, \"fronts\": 3}}",
            "s.json:1: /fleet/fronts: each store needs a front: fewer fronts than stores"},
           {"{\"length_s\": 10, \"troubles\": [\n{\"what\": \"stal\", \"at_s\": 1}]}", "did you mean \"stall\"?"},
           {"{\"length_s\": 10, \"troubles\": [\n{\"what\": \"stall\"}]}", "s.json:2: /troubles/0: needs either at_s or when"},
           {"{\"length_s\": 10, \"troubles\": [{\"what\": \"stall\", \"at_s\": 1, \"when\": \"a drain is told\"}]}",
            "needs either at_s or when"},
           {"{\"length_s\": 10, \"troubles\": [{\"what\": \"stall\", \"at_s\": 1, \"after_ms\": 5}]}",
            "/troubles/0/after_ms: goes with when, not with at_s"},
           {"{\"length_s\": 10, \"troubles\": [{\"what\": \"stall\", \"at_s\": 1, \"whom\": \"cahce\"}]}",
            "did you mean \"cache\"?"},
           {"{\"length_s\": 10, \"troubles\": [{\"what\": \"stall\", \"at_s\": 11}]}",
            "/troubles/0/at_s: is after the drill's end"},
           {"{\"length_s\": 10, \"troubles\": [{\"what\": \"kill\", \"whom\": \"office\", \"at_s\": 1}]}",
            "there is one head office; it can stall, slow down or be cut, not \"kill\""},
           {"{\"length_s\": 10, \"troubles\": [{\"what\": \"front_kill\", \"whom\": \"cache\", \"at_s\": 1}]}",
            "\"front_kill\" does not go with whom \"cache\""},
           {"{\"length_s\": 10, \"troubles\": [{\"what\": \"drain\", \"whom\": \"front\", \"at_s\": 1}]}",
            "\"drain\" does not go with whom \"front\""},
           {"{\"length_s\": 10, \"fleet\": {\"area_caches\": 0}, \"troubles\": [{\"what\": \"drain\", \"whom\": \"area\", \"at_s\": 1}]}",
            "the fleet has no area caches"}}) {
    std::string said = "taken";
    try {
      drill::readScriptText("s.json", c.text);
    } catch (const schema::Refused& fault) {
      said = fault.what();
    }
    if (said.find(c.says) == said.npos) std::fprintf(stderr, "%s\n  says: %s\n  not:  %s\n", c.text, said.c_str(), c.says);
    assert(said.find(c.says) != said.npos);
  }
  // What is written is read as the same.
  Script s = drill::readScriptText("s.json", "{\"length_s\": 10, /* a */ \"troubles\": [{\"what\": \"cut\", \"whom\": \"front-2\", \"at_s\": 1.5},]}");
  assert(s.name == "s" && s.troubles.size() == 1 && s.troubles[0].whom == "front-2" && s.troubles[0].at == 1500);
  assert(drill::written(drill::readScriptText("x.json", drill::written(s))) == drill::written(s));
}

// ---- the checker, by facts alone

rules::Limits limits() {
  rules::Limits l;
  l.offerings = {{"video", rules::Effect::rerunnable, rules::Span::cell, 0},
                 {"order", rules::Effect::exclusive, rules::Span::cell, 0},
                 {"stamp", rules::Effect::ticketed, rules::Span::zone, 5000}};
  l.places = {{"c1", {1, 1}}, {"c2", {1, 1}}, {"p", {0, 0}}};
  return l;
}
Fact fact(rules::Ms at, Deed deed, const std::string& pull = "a") {
  Fact f;
  f.at = at, f.deed = deed, f.pull = pull, f.thing = "t", f.who = "f";
  return f;
}
Fact asked(rules::Ms at, int offering = 0, rules::Ms ttl = 1000) {
  Fact f = fact(at, Deed::asked);
  f.offering = offering, f.number = ttl;
  return f;
}
Fact came(rules::Ms at, const std::string& machine, const std::string& source = "") {
  Fact f = fact(at, Deed::legCame);
  f.who = machine, f.other = source;
  return f;
}
Fact ended(rules::Ms at, const std::string& machine, const std::string& word, const std::string& tag = "", rules::Ms issued = 0) {
  Fact f = fact(at, Deed::legEnded);
  f.who = machine, f.word = word, f.tag = tag, f.number = issued;
  return f;
}
Fact answer(rules::Ms at, int status, const std::string& tag = "") {
  Fact f = fact(at, Deed::answered);
  f.status = status, f.tag = tag, f.flag = true;
  return f;
}
Fact listed(rules::Ms at, const std::string& machine, const std::string& word) {
  Fact f = fact(at, Deed::listed, "");
  f.other = machine, f.word = word;
  return f;
}
Fact purged(rules::Ms at, rules::Ms when, bool group = false) {
  Fact f = fact(at, Deed::purged, "");
  f.number = when, f.flag = group;
  return f;
}
Fact ran(rules::Ms at, const std::string& pull) { return fact(at, Deed::ran, pull); }

void theCheckerTellsBreachesFromGoodRuns() {
  struct Case {
    const char* name;
    std::vector<Fact> facts;
    std::vector<Rule> broken;
  };
  Fact down = fact(300, Deed::frontDown, ""), left = fact(500, Deed::left), second = asked(600, 1);
  second.pull = "b";
  Fact dropped = fact(50, Deed::legDropped);
  dropped.who = "c1";
  std::vector<Case> cases{
      {"finished", {asked(0), came(5, "c1"), ended(50, "c1", "hit", "x"), answer(60, 200, "x")}, {}},
      {"no answer", {asked(0), came(5, "c1")}, {Rule::answer}},
      {"no answer, but the front died", {asked(0), came(5, "c1"), down}, {}},
      {"no answer, but the client left", {asked(0), came(5, "c1"), left}, {}},
      {"two answers", {asked(0), came(5, "c1"), ended(50, "c1", "hit", "x"), answer(60, 200, "x"), answer(61, 200, "x")}, {Rule::answer}},
      {"in the slack", {asked(0), came(5, "c1"), answer(1040, 502)}, {}},
      {"made up", {asked(0), came(5, "c1"), ended(50, "c1", "hit", "x"), answer(60, 200, "y")}, {Rule::answer}},
      {"a leg for nobody", {came(5, "c1")}, {Rule::answer}},
      {"exclusive, moved on from what never ran",
       {asked(0, 1), came(5, "c1"), ended(9, "c1", "shed"), came(12, "c2"), ended(20, "c2", "hit", "x"), answer(25, 200, "x")}, {}},
      {"exclusive, again after a break", {asked(0, 1), came(5, "c1"), dropped, came(60, "c2"), answer(70, 502)}, {Rule::effect}},
      {"exclusive, again beside one that is out", {asked(0, 1), came(5, "c1"), came(6, "c2"), answer(70, 502)}, {Rule::effect}},
      {"exclusive, declined after a break", {asked(0, 1), came(5, "c1"), dropped, answer(60, 503)}, {Rule::effect}},
      {"exclusive, abandoned after a break", {asked(0, 1), came(5, "c1"), dropped, answer(60, 502)}, {}},
      {"an effect ran twice", {asked(0, 1), ran(10, "a"), answer(20, 502), second, ran(610, "b")}, {Rule::effect, Rule::answer}},
      {"ticketed, again in its group", {asked(0, 2), came(5, "c1"), dropped, came(60, "c2"), answer(70, 502)}, {}},
      {"ticketed, again outside", {asked(0, 2), came(5, "c1"), dropped, came(60, "p"), answer(70, 502)}, {Rule::effect}},
      {"ticketed, after its memory", {asked(0, 2, 9000), came(5, "c1"), dropped, came(5100, "c2"), answer(5200, 502)}, {Rule::effect}},
      {"a drain in its grace", {listed(0, "c1", "draining"), asked(400), came(540, "c1"), answer(600, 502)}, {}},
      {"a drain past it", {listed(0, "c1", "draining"), asked(400), came(560, "c1"), answer(600, 502)}, {Rule::drain}},
      {"as a source", {listed(0, "p", "gone"), asked(400), came(560, "c1", "p"), answer(600, 502)}, {Rule::drain}},
      {"ready again", {listed(0, "c1", "draining"), listed(100, "c1", "ready"), asked(400), came(900, "c1"), answer(950, 502)}, {}},
      {"told twice: the first word counts",
       {listed(0, "c1", "draining"), listed(400, "c1", "gone"), asked(401), came(700, "c1"), answer(750, 502)}, {Rule::drain}},
      {"a copy older than a purge, long told",
       {purged(0, -10), asked(600), came(605, "c1"), ended(650, "c1", "hit", "x", -20), answer(660, 200, "x")}, {Rule::purge}},
      {"of its group", {purged(0, -10, true), asked(600), came(605, "c1"), ended(650, "c1", "hit", "x", -20), answer(660, 200, "x")}, {Rule::purge}},
      {"a copy newer than it", {purged(0, -10), asked(600), came(605, "c1"), ended(650, "c1", "hit", "x", -5), answer(660, 200, "x")}, {}},
      {"just told", {purged(100, -10), asked(600), came(605, "c1"), ended(650, "c1", "hit", "x", -20), answer(660, 200, "x")}, {}},
      {"declined at once", {asked(0), answer(10, 503)}, {}},
      {"declined after its leg's end", {asked(0), came(5, "c1"), ended(900, "c1", "shed"), answer(910, 503)}, {}},
      {"held back", {asked(0), answer(700, 503)}, {Rule::held}},
      {"held back after its leg's end", {asked(0), came(5, "c1"), ended(100, "c1", "shed"), answer(800, 503)}, {Rule::held}},
  };
  for (const Case& c : cases) {
    rules::Checker checker(limits());
    checker.take([] {
      Fact f = fact(-1, Deed::frontUp, "");
      return f;
    }());
    for (const Fact& f : c.facts) {
      auto again = rules::readLine(rules::line(f));  // as a trace keeps it
      assert(again && rules::line(*again) == rules::line(f));
      checker.take(*again);
    }
    checker.finish(60000);
    std::vector<Rule> got;
    for (const rules::Breach& b : checker.breaches()) got.push_back(b.rule);
    if (got != c.broken) std::fprintf(stderr, "%s: %zu breaches\n", c.name, got.size());
    assert(got == c.broken);
  }
  for (const char* bad : {"", "x", "1.0\tasked", "1.0\tasket\t-\t-\t-\t-\t-\t-\t0\t0\t0\t0\t0\t0"}) assert(!rules::readLine(bad));
}

// ---- runs

const char* const rough = R"({"length_s": 8, "troubles": [
  {"what": "stall", "whom": "office", "at_s": 2, "for_s": 2},
  {"what": "restart", "whom": "cache", "count": 2, "when": "the office stops", "after_ms": 100, "for_s": 1},
  {"what": "front_kill", "count": 2, "at_s": 4, "for_s": 1},
  {"what": "purge", "count": 10, "at_s": 3},
  {"what": "broken_off", "whom": "cache", "count": 0, "at_s": 5, "for_s": 2, "share": 0.05},
  {"what": "drain", "whom": "cache", "when": "a purge is told", "after_ms": 10, "for_s": 1}]})";

void theSameSeedReplaysWhateverTheJobs() {
  Script s = drill::readScriptText("rough", rough);
  drill::HuntOptions options;
  options.seeds = 3, options.vary = 0.3, options.shrinkRuns = 0;
  drill::Hunted one = drill::hunt(s, options);
  options.jobs = 3;
  drill::Hunted three = drill::hunt(s, options);
  assert(one.digest == three.digest && one.failing.empty() && three.failing.empty());
  drill::Options o;
  o.seed = 1;
  std::uint64_t first = drill::play(s, o).digest;
  assert(drill::play(s, o).digest == first);
  o.seed = 2;
  assert(drill::play(s, o).digest != first);
}

void aBrokenFrontIsCaughtAndItsScriptCutDown() {
  const mutants::Mutant* ignores = nullptr;
  for (const mutants::Mutant& m : mutants::all())
    if (m.name == "ignores-drains") ignores = &m;
  assert(ignores);
  Script s = drill::readScriptText("noisy", R"({"length_s": 10, "troubles": [
    {"what": "purge", "at_s": 1, "count": 5}, {"what": "drain", "whom": "cache", "count": 2, "at_s": 2, "for_s": 4},
    {"what": "late_reports", "at_s": 3, "for_s": 2}, {"what": "front_kill", "at_s": 6, "for_s": 1}]})");
  drill::HuntOptions options;
  options.seeds = 1, options.breaker = ignores->breaker, options.shrinkRuns = 25;
  drill::Hunted h = drill::hunt(s, options);
  assert(h.failing.size() == 1 && h.shrunk.size() == 1 && h.shrunk[0].rule == Rule::drain);
  const Script& small = h.shrunk[0].script;
  assert(small.troubles.size() == 1 && small.troubles[0].what == drill::What::drain && small.length <= 6000);
  // It still fails as a file, and the unbroken front passes it.
  Script again = drill::readScriptText("small", drill::written(small));
  drill::Options o;
  o.seed = h.shrunk[0].seed;
  assert(drill::play(again, o).kept());
  o.breaker = ignores->breaker;
  assert(!drill::play(again, o).kept());
}

void everyBrokenFrontIsCaughtByItsRule() {
  int byRule[rules::howMany] = {};
  for (const mutants::Mutant& m : mutants::all()) {
    mutants::Verdict v = mutants::judge(m, 3);
    if (!v.byItsRule || !v.unbrokenKept) std::fprintf(stderr, "%s\n", m.name.c_str());
    assert(v.byItsRule && v.unbrokenKept);
    ++byRule[static_cast<int>(m.breaks)];
  }
  for (int count : byRule) assert(count >= 2);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc > 1 && std::strcmp(argv[1], "mutants") == 0) {
    everyBrokenFrontIsCaughtByItsRule();
    return 0;
  }
  scriptsAreRefusedWithLineAndReason();
  theCheckerTellsBreachesFromGoodRuns();
  theSameSeedReplaysWhateverTheJobs();
  aBrokenFrontIsCaughtAndItsScriptCutDown();
}
