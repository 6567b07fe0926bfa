// The verdict by caches' health, the files of fleets and faults, staged runs by script, and the
// checker across processes: good histories pass, and each broken one is caught by the promise it
// breaks.
#include <cassert>
#include <cstdio>
#include <functional>

#include "failover/health.hpp"
#include "rig/staged.hpp"
#include "schema/schema.hpp"

using namespace dunlinwick;
using namespace dunlinwick::fleet;
using failover::Peer;
using failover::ZoneHealthObservation;

namespace {

// Fronts 0, 1 in zone 0, 2, 3 in zone 1 (one region), 4 in zone 2 (another).
failover::FailoverController Verdicts(failover::Id self) {
  failover::FailoverSettings t;
  t.recovery_interval = 1000;
  t.degradation_delay = 300;
  return failover::FailoverController(
      self, {{0, {0, 0}}, {1, {0, 0}}, {2, {1, 0}}, {3, {1, 0}}, {4, {2, 1}}}, {0, 0, 1}, t);
}
std::vector<Peer> Peers(failover::Id self, std::map<failover::Id, double> health,
                        std::vector<failover::Id> dead = {}) {
  std::vector<Peer> all;
  for (failover::Id id = 0; id < 5; ++id)
    if (id != self && !std::count(dead.begin(), dead.end(), id)) {
      ZoneHealthObservation o;
      o.health = health.count(id) ? health[id] : 1;
      all.push_back({id, false, true, o});
    }
  return all;
}

void HealthIsHeldInCommon() {
  bool changed = false;
  auto near = [](double a, double b) {
    return a > b - 1e-9 && a < b + 1e-9;
  };
  failover::FailoverController v = Verdicts(0);
  // One of two fronts of the zone in trouble of its own: the upper of the two counts.
  for (Ms t = 0; t < 3000; t += 100) {
    v.Evaluate(t, 0, Peers(0, {}), changed);
    assert(!changed);
  }
  // Both: down once it has lasted, to the next zone of the region, not before.
  v.Evaluate(3000, 0, Peers(0, {{1, 0}}), changed);
  assert(!changed);
  v.Evaluate(3299, 0, Peers(0, {{1, 0}}), changed);
  assert(!changed);
  v.Evaluate(3300, 0, Peers(0, {{1, 0}}), changed);
  assert(changed && v.decision().unavailable_zones == 1 &&
         near(v.decision().traffic_weights[1], 1) && near(v.decision().traffic_weights[0], 0));
  // Back in quarters, a hold apart: with 1.4 times its health at home.
  double shares[] = {0.35, 0.7, 1, 1};
  for (int q = 0; q < 4; ++q) {
    Ms from = 4000 + 1000 * q;
    for (Ms t = from; t < from + 1000; t += 50) {
      v.Evaluate(t, 1, Peers(0, {}), changed);
      assert(!changed || t == from);
    }
    v.Evaluate(from + 1000, 1, Peers(0, {}), changed);
    assert(changed && v.decision().health[0] == q + 1 &&
           near(v.decision().traffic_weights[0], shares[q]));
    assert(near(v.decision().traffic_weights[0] + v.decision().traffic_weights[1] +
                    v.decision().traffic_weights[2],
                1));
  }
  // Half of the caches: seven tenths stay.
  v.Evaluate(9000, 0.5, Peers(0, {{1, 0.5}}), changed);
  v.Evaluate(9300, 0.5, Peers(0, {{1, 0.5}}), changed);
  assert(changed && near(v.decision().traffic_weights[0], 0.7) &&
         near(v.decision().traffic_weights[1], 0.3) && v.decision().unavailable_zones == 0);
  // A front alone, or with one other, makes no verdict: its zone stays whatever it sees.
  failover::FailoverController alone = Verdicts(0);
  for (Ms t = 0; t < 5000; t += 100) {
    alone.Evaluate(t, 0, Peers(0, {{1, 0}}, {2, 3, 4}), changed);
    assert(!changed && near(alone.decision().traffic_weights[0], 1));
  }
  // Fronts of a zone dead to a quorum, but one that is heard says that its caches serve: the zone
  // stays.
  failover::FailoverController far = Verdicts(4);
  auto against = [&](bool one_lives) {
    std::vector<Peer> all =
        Peers(4, {}, one_lives ? std::vector<failover::Id>{} : std::vector<failover::Id>{2, 3});
    for (Peer& p : all)
      p.observation.unavailable_zones = 1u << 1;
    return all;
  };
  far.Evaluate(0, 1, against(true), changed);
  assert(!changed);
  far.Evaluate(100, 1, against(false), changed);
  assert(changed && far.decision().unavailable_zones == 2);
  // Most of the fleet's caches lost: panic, all zones alike.
  failover::FailoverController panic = Verdicts(0);
  std::map<failover::Id, double> none{{1, 0}, {2, 0}, {3, 0}};
  panic.Evaluate(0, 0, Peers(0, none), changed);
  panic.Evaluate(300, 0, Peers(0, none), changed);
  assert(changed && panic.decision().panic && near(panic.decision().traffic_weights[2], 1.0 / 3));
}

void OpinionsPackWhole() {
  for (double h : {failover::kUnknown, 0.0, 0.25, 0.5, 1.0}) {
    ZoneHealthObservation o{0x8001, h, 0x4002, 0xabcdef};
    ZoneHealthObservation back = failover::Unpack(failover::Pack(o));
    assert(back.unavailable_zones == o.unavailable_zones && back.decision == o.decision &&
           back.epoch == o.epoch);
    assert(h < 0 ? back.health < 0 : back.health > h - 0.003 && back.health < h + 0.003);
  }
  ZoneHealthObservation late;
  late.epoch = 0x7fffffff;  // more than the note has room for: it stays at its highest
  assert(failover::Unpack(failover::Pack(late)).epoch == 0xffffff);
}

void HealthFollowsListAndModule() {
  failover::ZoneCacheHealth h(1, 7, 8);
  assert(h.UsableShare() < 0);
  auto entry = [](std::uint32_t id, int zone, int kind, double weight) {
    ListEntry e;
    e.id = id;
    e.zone = zone;
    e.kind = kind;
    e.weight = weight;
    return e;
  };
  h.Update(EndpointListUpdate{ListUpdateKind::kSnapshot, {entry(9, 0, 7, 50)}});
  assert(h.UsableShare() < 0);  // no cache of its zone yet: no opinion
  h.Update(EndpointListUpdate{
      ListUpdateKind::kSnapshot,
      {entry(1, 1, 0, 30), entry(2, 1, 0, 10), entry(3, 2, 0, 90), entry(4, 1, 7, 90)}});
  assert(h.UsableShare() == 1);
  h.Update(ReportEndpointHealth{2, true});
  h.Update(ReportEndpointHealth{3, true});
  assert(h.UsableShare() == 0.75);
  ListEntry drains = entry(1, 1, 0, 30);
  drains.state = EndpointState::kDraining;
  h.Update(EndpointListUpdate{ListUpdateKind::kChanges, {drains}});
  assert(h.UsableShare() == 0);
  h.Update(ReportEndpointHealth{2, false});
  assert(h.UsableShare() == 1);
}

const char* const kFleetText =
    R"({"zones": [{"name": "a", "region": "n"}, {"name": "b", "region": "n"}, {"name": "c", "region": "s"}],
  "fronts": 9, "pulls_per_s": 1, "lasting_ms": 300})";

void FilesAreRefusedWithLineAndReason() {
  auto refused = [](const std::function<void()>& read, const char* why) {
    try {
      read();
    } catch (const schema::ValidationError& fault) {
      std::string said = fault.what();
      if (said.find(why) == said.npos)
        std::fprintf(stderr, "said: %s\nwanted: %s\n", said.c_str(), why);
      assert(said.find(why) != said.npos && said.starts_with("file:"));
      return;
    }
    std::fprintf(stderr, "not refused: %s\n", why);
    assert(false);
  };
  auto fleet_file = [](const char* text, int fronts = 0) {
    return [text, fronts] {
      ReadFleetText("file", text, fronts);
    };
  };
  refused(fleet_file("{}"), "zones");
  refused(fleet_file(R"({"zones": [{"name": "a", "region": "n"}, {"name": "a", "region": "n"}]})"),
          "there twice");
  refused(fleet_file("{\"zones\": [{\"name\": \"a\", \"region\": \"n\"}],\n \"fronts\": 1}"),
          "file:2: /fronts");
  refused(fleet_file(R"({"zones": [{"name": "a", "region": "n"}], "fronts": 4, "quorum": 2})"),
          "both sides of a partition");
  refused(fleet_file(R"({"zones": [{"name": "a", "region": "n"}], "front_zones": ["a", "x"]})"),
          "not among zones");
  refused(fleet_file(R"({"zones": [{"name": "a", "region": "n"}], "front_zones": ["a", "a"]})", 3),
          "another number");
  refused(fleet_file(R"({"zones": [{"name": "a", "region": "n"}], "probe_timeout_ms": 500})"),
          "shorter than period_ms");
  refused(fleet_file(R"({"zones": [{"name": "a", "region": "n"}], "fronst": 5})"), "fronst");
  auto faults = [](const char* text) {
    return [text] {
      ReadFaultsText("file", text);
    };
  };
  refused(faults(R"({"length_s": 5, "steps": [{"at_s": 1, "do": "kil", "fronts": [1]}]})"),
          "/steps/0/do");
  refused(faults("{\"length_s\": 5, \"steps\": [\n {\"at_s\": 1, \"do\": \"kill\"}]}"),
          "file:2: /steps/0: \"kill\" needs fronts");
  refused(faults(R"({"length_s": 5, "steps": [{"at_s": 6, "do": "heal"}]})"),
          "after the script's end");
  refused(faults(R"({"length_s": 5, "steps": [{"at_s": 1, "do": "links"}]})"), "needs one of");
  refused(
      faults(R"({"length_s": 5, "steps": [{"at_s": 1, "do": "cut", "fronts": [1], "loss": 0.5}]})"),
      "go with \"links\"");
  refused(faults(R"({"length_s": 5, "steps": [{"at_s": 1, "do": "caches_down"}]})"),
          "needs a zone");
  refused(
      faults(
          R"({"length_s": 5, "steps": [{"at_s": 1, "do": "restart", "fronts": [1], "for_s": 2}]})"),
      "has no end");
  FleetFile f = ReadFleetText("file", kFleetText);
  assert(f.fronts == 9 && f.zone_of[5] == 2);
  assert(
      Unfit(ReadFaultsText(
                "file", R"({"length_s": 5, "steps": [{"at_s": 1, "do": "kill", "fronts": [9]}]})"),
            f)
          .find("no front 9") != std::string::npos);
  assert(!Unfit(ReadFaultsText(
                    "file",
                    R"({"length_s": 5, "steps": [{"at_s": 1, "do": "caches_down", "zone": "x"}]})"),
                f)
              .empty());
}

// Scripts on the staged members, by the checker; the same seed the same history.
void StagedScriptsKeepThePromises(std::uint64_t seeds) {
  const char* scripts[] = {
      R"({"length_s": 40, "steps": [{"at_s": 2, "do": "kill", "fronts": [2, 5, 8], "for_s": 20}]})",
      R"({"length_s": 50, "steps": [{"at_s": 2, "do": "cut", "fronts": [1, 4, 7, 0], "for_s": 25}]})",
      R"({"length_s": 40, "steps": [{"at_s": 2, "do": "stop", "fronts": [0], "for_s": 5}, {"at_s": 12, "do": "cut_out", "fronts": [3], "for_s": 8}]})",
      R"({"length_s": 60, "steps": [{"at_s": 2, "do": "links", "loss": 0.3, "delay_ms": 10, "jitter_ms": 30, "duplicate": 0.1, "reorder": 0.2, "for_s": 20}]})",
      R"({"length_s": 40, "steps": [{"at_s": 2, "do": "caches_down", "zone": "a", "for_s": 15}, {"at_s": 5, "do": "cut", "fronts": [0], "for_s": 10}]})",
      R"({"length_s": 40, "steps": [{"at_s": 2, "do": "links", "kb_per_s": 1, "for_s": 10}, {"at_s": 4, "do": "kill", "fronts": [1], "for_s": 10}]})"};
  FleetFile f = ReadFleetText("file", kFleetText);
  std::size_t verdicts_seen = 0;
  for (const char* text : scripts) {
    Script s = ReadFaultsText("file", text);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      History h = PlayStaged(f, s, seed);
      auto broken = CheckHistory(f, h);
      for (const Broken& b : broken)
        std::fprintf(stderr, "seed %llu: %s at %.1f s: %s\n%s\n",
                     static_cast<unsigned long long>(seed), b.promise.c_str(), b.at / 1000,
                     b.what.c_str(), text);
      assert(broken.empty());
      verdicts_seen += h.verdicts.size();
      if (seed == 1) {
        History again = PlayStaged(f, s, seed);
        assert(again.verdicts.size() == h.verdicts.size());
        for (std::size_t i = 0; i < h.verdicts.size(); ++i)
          assert(again.verdicts[i].at == h.verdicts[i].at &&
                 again.verdicts[i].out == h.verdicts[i].out &&
                 again.verdicts[i].epoch == h.verdicts[i].epoch);
      }
    }
  }
  assert(verdicts_seen > 20);  // they were not all idle
  std::printf("staged: %zu verdicts in %llu runs, all promises kept\n", verdicts_seen,
              static_cast<unsigned long long>(6 * seeds));
}

// A fleet whose quorum is one, as a front broken on purpose: the checker, which goes by a majority,
// catches it on the same stage.
void ALoneDeciderIsCaught() {
  FleetFile f = ReadFleetText("file", kFleetText), broken = f;
  broken.verdict.quorum = 1;
  Script s = ReadFaultsText(
      "file",
      R"({"length_s": 40, "steps": [{"at_s": 2, "do": "cut", "fronts": [0], "for_s": 30}]})");
  assert(CheckHistory(f, PlayStaged(f, s, 1)).empty());
  auto found = CheckHistory(f, PlayStaged(broken, s, 1));
  assert(!found.empty() && found[0].promise == "alone");
}

void EachBrokenHistoryIsCaught() {
  FleetFile f = ReadFleetText("file", kFleetText);
  Script s = ReadFaultsText(
      "file",
      R"({"length_s": 60, "steps": [{"at_s": 2, "do": "kill", "fronts": [2, 5, 8], "for_s": 30}]})");
  History good = PlayStaged(f, s, 3);
  auto request = [&](Ms at) {
    RequestSeen p;
    p.id = "p";
    p.front = 1;
    p.at = at;
    p.ttl = 1500;
    p.answers = 1;
    p.status = 200;
    p.answered_at = at + 20;
    p.ended = true;
    p.place = "b";
    return p;
  };
  good.requests = {request(4000)};
  good.ran = {{"x", 1}};
  assert(CheckHistory(f, good).empty());
  struct Case {
    const char* promise;
    std::function<void(History&)> harm;
  };
  auto first_out = [](History& h) {
    return std::find_if(h.verdicts.begin(), h.verdicts.end(),
                        [](const VerdictSeen& v) { return v.out == 4; });
  };
  for (const Case& c :
       {Case{"left",
             [&](History& h) {
               std::erase_if(h.verdicts, [](const VerdictSeen& v) { return v.front == 3; });
             }},
        Case{"epochs",
             [&](History& h) {
               auto v = first_out(h);
               h.verdicts.push_back({h.until - 100, v->front, 0, v->epoch});
             }},
        Case{"flapping",
             [&](History& h) {
               auto v = *first_out(h);
               h.verdicts.insert(first_out(h) + 1, {v.at + 50, v.front, 0, v.epoch + 1});
               for (VerdictSeen& other : h.verdicts)
                 if (other.front == v.front && other.at > v.at + 50)
                   other.epoch += 100;
             }},
        Case{"agreement",
             [&](History& h) {
               h.verdicts.push_back({h.until - 100, 4, 1, 1000});
             }},
        Case{"agreement",
             [&](History& h) {
               h.epochs_at_end[0].second += 1;
             }},
        Case{"alone",
             [&](History& h) {
               Step cut;
               cut.deed = Deed::kCut;
               cut.fronts = {0};
               h.cues.push_back({h.until - 9000, Cue{0, cut, true}});
               h.verdicts.push_back({h.until - 4000, 0, 1, 1000});
             }},
        Case{"answers",
             [&](History& h) {
               h.requests[0].answers = 2;
             }},
        Case{"answers",
             [&](History& h) {
               h.requests[0].answers = 0;
             }},
        Case{"answers",
             [&](History& h) {
               h.requests[0].answered_at += 3000;
             }},
        Case{"effects", [&](History& h) {
               h.ran["x"] = 2;
             }}}) {
    History h = good;
    c.harm(h);
    auto found = CheckHistory(f, h);
    bool caught = std::any_of(found.begin(), found.end(),
                              [&](const Broken& b) { return b.promise == c.promise; });
    if (!caught)
      std::fprintf(stderr, "missed: %s\n", c.promise);
    assert(caught);
  }
  // What a killed front owes is not held against it.
  History h = good;
  h.requests[0].front = 2;
  h.requests[0].at = good.cues[0].at - 100;
  h.requests[0].answers = 0;
  assert(CheckHistory(f, h).empty());
}

}  // namespace

int main(int argc, char** argv) {
  std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 4;  // more by hand
  HealthIsHeldInCommon();
  OpinionsPackWhole();
  HealthFollowsListAndModule();
  FilesAreRefusedWithLineAndReason();
  StagedScriptsKeepThePromises(seeds);
  ALoneDeciderIsCaught();
  EachBrokenHistoryIsCaught();
  std::puts("judge_test: all passed");
}
