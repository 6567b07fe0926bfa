// Processes of the front on loopback with toy caches and a fault relay on every link: kill -9,
// SIGSTOP and SIGCONT, restart under the same address, a front cut off alone, a minority, one-way
// cuts, a lossy, slow, narrow net, a zone's caches lost and silent. Clients ask all the while, and
// the checker across processes judges what was seen at the end of each part. Each step waits,
// within a bound, for what the fronts' views must come to; the times it took are printed as
// figures, never asserted. Arguments: the front's program, the toys', and a part (all where none is
// named); then `peers` for one socket a front, or, with the part `rolling`, the program of another
// version that the fleet begins with (by hand).
#include <unistd.h>

#include <cassert>
#include <cstdio>
#include <filesystem>
#include <functional>

#include "rig/harness.hpp"
#include "support/port_block.hpp"

using namespace dunlinwick;
using fleet::Cue;
using fleet::Deed;
using fleet::Ms;

namespace {

std::string State(const json::Value& view, std::size_t id) {
  if (const json::Value* ms = view.Find("members", json::Kind::kArray))
    for (const json::Value& m : ms->items)
      if (m.GetNumber("id") == static_cast<double>(id))
        return std::string(m.GetString("state"));
  return "?";
}
std::string Out(const json::Value& view) {
  std::string s;
  if (const json::Value* o = view.Find("out", json::Kind::kArray))
    for (const json::Value& z : o->items)
      s += z.text;
  return s;
}

bool on_peers = false;

struct Scene {
  const char* name;
  loop::Loop loop;
  std::string folder;
  testing::PortBlock ports;
  std::unique_ptr<fleet::Harness> h;
  Ms from = 0;

  // Five fronts: zones a and b (region north) with two each, zone c (south) with one.
  Scene(const char* what, char** programs) : name(what) {
    folder = (std::filesystem::temp_directory_path() /
              ("fleet-test-" + std::to_string(::getpid()) + what))
                 .string();
    std::filesystem::create_directories(folder);
    fleet::FleetFile f = fleet::ReadFleetText(
        "test", R"({"zones": [{"name": "a", "region": "north"}, {"name": "b", "region": "north"},
      {"name": "c", "region": "south"}], "front_zones": ["a", "a", "b", "b", "c"], "lasting_ms": 300, "pulls_per_s": 20,
      "port": )" + std::to_string(ports.First()) +
                    (on_peers ? ", \"peers\": true}" : "}"));
    h = std::make_unique<fleet::Harness>(loop, f,
                                         fleet::Programs{programs[1], programs[2], "", folder}, 7);
    Until("all see each other", [&] { return Calm(); });
    h->Ask(f.requests_per_s);
    h->Wait(1000);
    from = loop.now();
  }
  ~Scene() {
    h.reset();
    std::filesystem::remove_all(folder);
  }

  // Whether every front that is up, but those named, answers, holds `about` as `what`, and zones
  // `zones` out.
  bool all(int about, const std::string& what, const std::string& zones,
           const std::vector<std::size_t>& but = {}) {
    for (std::size_t i = 0; i < h->size(); ++i) {
      if (!h->Up(i) || std::count(but.begin(), but.end(), i))
        continue;
      auto v = h->view(i);
      if (!v)
        return false;
      if (about >= 0 && static_cast<int>(i) != about &&
          State(*v, h->MemberId(static_cast<std::size_t>(about))) != what)
        return false;
      if (Out(*v) != zones)
        return false;
    }
    return true;
  }
  bool Calm() {
    for (int a = 0; a < static_cast<int>(h->size()); ++a)
      if (!all(a, "alive", ""))
        return false;
    return true;
  }
  bool Home() {  // all traffic of all fronts in their own zones
    for (std::size_t i = 0; i < h->size(); ++i) {
      auto v = h->view(i);
      const json::Value* shares = v ? v->Find("shares") : nullptr;
      if (!shares ||
          shares->GetNumber(h->fleet().zones[static_cast<std::size_t>(h->fleet().zone_of[i])])
                  .value_or(0) < 0.999)
        return false;
    }
    return true;
  }
  // Waits until `holds`, 40 s at most; prints how long it took.
  void Until(const char* what, const std::function<bool()>& holds) {
    double begun = loop.now();
    while (!holds()) {
      if (loop.now() - begun > 40000) {
        for (std::size_t i = 0; i < h->size(); ++i)
          if (auto v = h->view(i))
            std::printf("front %zu holds %s out\n", i, Out(*v).c_str());
        std::fflush(stdout);
      }
      assert(loop.now() - begun < 40000 && "the fleet did not come to it in time");
      h->Wait(100);
    }
    std::printf("%-10s %-52s %6.0f ms\n", name, what, loop.now() - begun);
  }
  void Does(Deed deed, std::vector<std::size_t> fronts, const std::string& zone = "",
            bool on = true) {
    fleet::Step s;
    s.deed = deed;
    s.fronts = std::move(fronts);
    s.zone = zone;
    h->Does(Cue{0, s, on});
  }
  fleet::Kept KeptSince(Ms since) {
    return fleet::MakeKept(h->fleet(), h->history(), since, loop.now() - 600);
  }
  // The end of a part: the last pulls come in, and nothing that was promised was broken.
  void Judged() {
    h->Ask(0);
    h->Wait(2300);
    fleet::History history = h->history();
    auto broken = fleet::CheckHistory(h->fleet(), history);
    for (const fleet::Broken& b : broken)
      std::printf("broken: %s at %.1f s: %s\n", b.promise.c_str(), b.at / 1000, b.what.c_str());
    assert(broken.empty());
    fleet::Kept k = fleet::MakeKept(h->fleet(), history, from, loop.now());
    std::printf(
        "%-10s %d pulls, %d finished, %.1f%% in their own zone; %zu exclusive ones ran, none "
        "twice\n",
        name, k.asked, k.finished, 100 * k.Share(), history.ran.size());
    assert(k.asked > 100 && k.finished > k.asked / 2 && history.ran.size() > 10);
  }
};

void Killed(char** programs) {
  Scene s("killed", programs);
  s.h->Wait(4000);
  fleet::Kept k = s.KeptSince(s.from);
  std::printf("%-10s calm: %.2f%% of %d in their own zone\n", s.name, 100 * k.Share(), k.finished);
  s.Does(Deed::kKill, {4});  // zone c has front 4 alone
  s.Until("kill -9: front 4 dead to all, zone c out", [&] { return s.all(4, "dead", "c"); });
  s.Does(Deed::kRestart, {4});
  s.Until("restart: front 4 back, zone c back", [&] { return s.Calm(); });
  s.Does(Deed::kStop, {0});
  s.Until("SIGSTOP: front 0 dead to the others", [&] { return s.all(0, "dead", ""); });
  s.Does(Deed::kResume, {0});
  s.Until("SIGCONT: front 0 refutes, alive to all", [&] { return s.Calm(); });
  s.Judged();
}

// A fleet of one version restarted one by one into another, with the same configuration; and one
// goes back.
void Rolling(char** programs, const std::string& to) {
  Scene s("rolling", programs);
  std::string from = programs[1];
  for (std::size_t i = 0; i < s.h->size(); ++i) {
    s.h->Runs(i, to);
    s.Does(Deed::kRestart, {i});
    s.Until(("restart: front " + std::to_string(i) + " by the other version, all see each other")
                .c_str(),
            [&] { return s.Calm(); });
  }
  s.h->Runs(2, from);
  s.Does(Deed::kRestart, {2});
  s.Until("restart: front 2 by the first version again", [&] { return s.Calm(); });
  s.Does(Deed::kKill, {4});
  s.Until("kill -9: front 4 dead to all, zone c out", [&] { return s.all(4, "dead", "c"); });
  s.Does(Deed::kRestart, {4});
  s.Until("restart: front 4 back, zone c back", [&] { return s.Calm(); });
  s.Judged();
}

void CutOff(char** programs) {
  Scene s("cut off", programs);
  s.Does(Deed::kCut, {1});
  s.Until("front 1 cut off alone: dead to the others", [&] { return s.all(1, "dead", "", {1}); });
  // Alone it holds all others dead, but alone it is no quorum: it keeps its zone, and its pulls
  // stay there.
  s.Until("front 1 alone takes the others for dead", [&] {
    auto v = s.h->view(1);
    return v && State(*v, s.h->MemberId(0)) == "dead" && State(*v, s.h->MemberId(4)) == "dead";
  });
  auto lone = s.h->view(1);
  assert(lone && Out(*lone).empty());
  s.Does(Deed::kCut, {1}, "", false);
  s.Until("healed: all alive again", [&] { return s.Calm(); });

  s.Does(Deed::kCut, {2, 3});  // a minority: all of zone b
  s.Until("minority: the others leave zone b together", [&] { return s.all(-1, "", "b", {2, 3}); });
  s.h->Wait(3000);
  for (std::size_t f : {2u, 3u}) {
    auto v = s.h->view(f);
    assert(v && Out(*v).empty());  // it keeps its zone
  }
  s.Does(Deed::kCut, {2, 3}, "", false);
  s.Until("healed: zone b back at all", [&] { return s.Calm(); });

  s.Does(Deed::kCutOut, {3});  // front 3 hears all, is heard by none
  s.Until("one-way cut: front 3 dead to the others", [&] { return s.all(3, "dead", "", {3}); });
  s.Does(Deed::kCutOut, {3}, "", false);
  s.Until("healed: all alive again", [&] { return s.Calm(); });
  s.Judged();
}

void Rough(char** programs) {
  Scene s("rough", programs);
  fleet::Step bad;
  bad.deed = Deed::kLinks;
  bad.loss = 0.3;
  bad.delay = 10;
  bad.jitter = 20;
  bad.duplicate = 0.05;
  bad.reorder = 0.1;
  s.h->Does(Cue{0, bad, true});
  s.h->Wait(6000);
  s.h->Does(Cue{0, bad, false});
  s.Until("after 6 s of 30% loss, delay, doubles, disorder: calm", [&] { return s.Calm(); });
  fleet::Step narrow;
  narrow.deed = Deed::kLinks;
  narrow.kb_per_s = 2;
  s.h->Does(Cue{0, narrow, true});
  s.h->Wait(4000);
  s.h->Does(Cue{0, narrow, false});
  s.Until("after 4 s of 2 KB/s on each link: calm", [&] { return s.Calm(); });
  assert(s.h->relay().Dropped() > 50);
  s.Judged();
}

void Caches(char** programs) {
  Scene s("caches", programs);
  s.Does(Deed::kCachesDown, {}, "a");
  s.Until("caches of a killed: zone a out at all", [&] { return s.all(-1, "", "a"); });
  Ms left = s.loop.now();
  s.h->Wait(3000);
  fleet::Kept k = s.KeptSince(left + 300);
  std::printf("%-10s while out: %d of %d finished, %.1f%% near\n", s.name, k.finished, k.asked,
              100 * k.Share());
  assert(k.finished > 0.95 * k.asked);  // pulls of zone a's fronts are served next door
  assert(k.Share() < 0.9);
  s.Does(Deed::kCachesDown, {}, "a", false);
  s.Until("caches of a back: all traffic home", [&] { return s.all(-1, "", "") && s.Home(); });
  s.Does(Deed::kCachesSilent, {}, "b");
  s.Until("caches of b silent: zone b out at all", [&] { return s.all(-1, "", "b"); });
  s.Does(Deed::kCachesSilent, {}, "b", false);
  s.Until("caches of b heard again: all traffic home",
          [&] { return s.all(-1, "", "") && s.Home(); });
  s.Judged();
}

}  // namespace

int main(int argc, char** argv) {
  assert(argc >= 3 && argc <= 5);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::string part = argc >= 4 ? argv[3] : "", more = argc == 5 ? argv[4] : "";
  on_peers = more == "peers";
  if (part == "rolling")
    Rolling(argv, more);
  if (part.empty() || part == "killed")
    Killed(argv);
  if (part.empty() || part == "cut")
    CutOff(argv);
  if (part.empty() || part == "rough")
    Rough(argv);
  if (part.empty() || part == "caches")
    Caches(argv);
  std::puts("fleet_test: all passed");
}
