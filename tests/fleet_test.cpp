// Processes of the front on loopback with toy caches and a fault relay on every link: kill -9, SIGSTOP and SIGCONT, restart
// under the same address, a front cut off alone, a minority, one-way cuts, a lossy, slow, narrow net, a zone's caches lost
// and silent. Clients ask all the while, and the checker across processes judges what was seen at the end of each part.
// Each step waits, within a bound, for what the fronts' views must come to; the times it took are printed as figures,
// never asserted. Arguments: the front's program, the toys', and a part (all where none is named); then `peers` for one socket a
// front, or, with the part `rolling`, the program of another version that the fleet begins with (by hand).
#include <unistd.h>

#include <cassert>
#include <cstdio>
#include <filesystem>
#include <functional>

#include "rig/harness.hpp"

using namespace dunlinwick;
using fleet::Cue;
using fleet::Deed;
using fleet::Ms;

namespace {

std::string state(const json::Value& view, std::size_t id) {
  if (const json::Value* ms = view.find("members", json::Kind::list))
    for (const json::Value& m : ms->items)
      if (m.number("id") == static_cast<double>(id)) return std::string(m.word("state"));
  return "?";
}
std::string out(const json::Value& view) {
  std::string s;
  if (const json::Value* o = view.find("out", json::Kind::list))
    for (const json::Value& z : o->items) s += z.text;
  return s;
}

bool onPeers = false;

struct Scene {
  const char* name;
  loop::Loop loop;
  std::string folder;
  std::unique_ptr<fleet::Harness> h;
  Ms from = 0;

  // Five fronts: zones a and b (region north) with two each, zone c (south) with one.
  Scene(const char* what, char** programs) : name(what) {
    folder = (std::filesystem::temp_directory_path() / ("fleet-test-" + std::to_string(::getpid()) + what)).string();
    std::filesystem::create_directories(folder);
    int port = 10000 + (::getpid() % 50) * 1000;  // two runs at once do not meet
    fleet::FleetFile f = fleet::readFleetText("test", R"({"zones": [{"name": "a", "region": "north"}, {"name": "b", "region": "north"},
      {"name": "c", "region": "south"}], "front_zones": ["a", "a", "b", "b", "c"], "lasting_ms": 300, "pulls_per_s": 20,
      "port": )" + std::to_string(port) + (onPeers ? ", \"peers\": true}" : "}"));
    h = std::make_unique<fleet::Harness>(loop, f, fleet::Programs{programs[1], programs[2], "", folder}, 7);
    until("all see each other", [&] { return calm(); });
    h->ask(f.pullsPerS);
    h->wait(1000);
    from = loop.now();
  }
  ~Scene() {
    h.reset();
    std::filesystem::remove_all(folder);
  }

  // Whether every front that is up, but those named, answers, holds `about` as `what`, and zones `zones` out.
  bool all(int about, const std::string& what, const std::string& zones, const std::vector<std::size_t>& but = {}) {
    for (std::size_t i = 0; i < h->size(); ++i) {
      if (!h->up(i) || std::count(but.begin(), but.end(), i)) continue;
      auto v = h->view(i);
      if (!v) return false;
      if (about >= 0 && static_cast<int>(i) != about && state(*v, h->memberId(static_cast<std::size_t>(about))) != what) return false;
      if (out(*v) != zones) return false;
    }
    return true;
  }
  bool calm() {
    for (int a = 0; a < static_cast<int>(h->size()); ++a)
      if (!all(a, "alive", "")) return false;
    return true;
  }
  bool home() {  // all traffic of all fronts in their own zones
    for (std::size_t i = 0; i < h->size(); ++i) {
      auto v = h->view(i);
      const json::Value* shares = v ? v->find("shares") : nullptr;
      if (!shares || shares->number(h->fleet().zones[static_cast<std::size_t>(h->fleet().zoneOf[i])]).value_or(0) < 0.999) return false;
    }
    return true;
  }
  // Waits until `holds`, 40 s at most; prints how long it took.
  void until(const char* what, const std::function<bool()>& holds) {
    double begun = loop.now();
    while (!holds()) {
      if (loop.now() - begun > 40000) {
        for (std::size_t i = 0; i < h->size(); ++i)
          if (auto v = h->view(i)) std::printf("front %zu holds %s out\n", i, out(*v).c_str());
        std::fflush(stdout);
      }
      assert(loop.now() - begun < 40000 && "the fleet did not come to it in time");
      h->wait(100);
    }
    std::printf("%-10s %-52s %6.0f ms\n", name, what, loop.now() - begun);
  }
  void does(Deed deed, std::vector<std::size_t> fronts, const std::string& zone = "", bool on = true) {
    fleet::Step s;
    s.deed = deed, s.fronts = std::move(fronts), s.zone = zone;
    h->does(Cue{0, s, on});
  }
  fleet::Kept keptSince(Ms since) { return fleet::kept(h->fleet(), h->history(), since, loop.now() - 600); }
  // The end of a part: the last pulls come in, and nothing that was promised was broken.
  void judged() {
    h->ask(0);
    h->wait(2300);
    fleet::History history = h->history();
    auto broken = fleet::judge(h->fleet(), history);
    for (const fleet::Broken& b : broken) std::printf("broken: %s at %.1f s: %s\n", b.promise.c_str(), b.at / 1000, b.what.c_str());
    assert(broken.empty());
    fleet::Kept k = fleet::kept(h->fleet(), history, from, loop.now());
    std::printf("%-10s %d pulls, %d finished, %.1f%% in their own zone; %zu exclusive ones ran, none twice\n", name, k.asked,
                k.finished, 100 * k.share(), history.ran.size());
    assert(k.asked > 100 && k.finished > k.asked / 2 && history.ran.size() > 10);
  }
};

void killed(char** programs) {
  Scene s("killed", programs);
  s.h->wait(4000);
  fleet::Kept k = s.keptSince(s.from);
  std::printf("%-10s calm: %.2f%% of %d in their own zone\n", s.name, 100 * k.share(), k.finished);
  s.does(Deed::kill, {4});  // zone c has front 4 alone
  s.until("kill -9: front 4 dead to all, zone c out", [&] { return s.all(4, "dead", "c"); });
  s.does(Deed::restart, {4});
  s.until("restart: front 4 back, zone c back", [&] { return s.calm(); });
  s.does(Deed::stop, {0});
  s.until("SIGSTOP: front 0 dead to the others", [&] { return s.all(0, "dead", ""); });
  s.does(Deed::resume, {0});
  s.until("SIGCONT: front 0 refutes, alive to all", [&] { return s.calm(); });
  s.judged();
}

// A fleet of one version restarted one by one into another, with the same configuration; and one goes back.
void rolling(char** programs, const std::string& to) {
  Scene s("rolling", programs);
  std::string from = programs[1];
  for (std::size_t i = 0; i < s.h->size(); ++i) {
    s.h->runs(i, to);
    s.does(Deed::restart, {i});
    s.until(("restart: front " + std::to_string(i) + " by the other version, all see each other").c_str(), [&] { return s.calm(); });
  }
  s.h->runs(2, from);
  s.does(Deed::restart, {2});
  s.until("restart: front 2 by the first version again", [&] { return s.calm(); });
  s.does(Deed::kill, {4});
  s.until("kill -9: front 4 dead to all, zone c out", [&] { return s.all(4, "dead", "c"); });
  s.does(Deed::restart, {4});
  s.until("restart: front 4 back, zone c back", [&] { return s.calm(); });
  s.judged();
}

void cutOff(char** programs) {
  Scene s("cut off", programs);
  s.does(Deed::cut, {1});
  s.until("front 1 cut off alone: dead to the others", [&] { return s.all(1, "dead", "", {1}); });
  // Alone it holds all others dead, but alone it is no quorum: it keeps its zone, and its pulls stay there.
  s.until("front 1 alone takes the others for dead", [&] {
    auto v = s.h->view(1);
    return v && state(*v, s.h->memberId(0)) == "dead" && state(*v, s.h->memberId(4)) == "dead";
  });
  auto lone = s.h->view(1);
  assert(lone && out(*lone).empty());
  s.does(Deed::cut, {1}, "", false);
  s.until("healed: all alive again", [&] { return s.calm(); });

  s.does(Deed::cut, {2, 3});  // a minority: all of zone b
  s.until("minority: the others leave zone b together", [&] { return s.all(-1, "", "b", {2, 3}); });
  s.h->wait(3000);
  for (std::size_t f : {2u, 3u}) {
    auto v = s.h->view(f);
    assert(v && out(*v).empty());  // it keeps its zone
  }
  s.does(Deed::cut, {2, 3}, "", false);
  s.until("healed: zone b back at all", [&] { return s.calm(); });

  s.does(Deed::cutOut, {3});  // front 3 hears all, is heard by none
  s.until("one-way cut: front 3 dead to the others", [&] { return s.all(3, "dead", "", {3}); });
  s.does(Deed::cutOut, {3}, "", false);
  s.until("healed: all alive again", [&] { return s.calm(); });
  s.judged();
}

void rough(char** programs) {
  Scene s("rough", programs);
  fleet::Step bad;
  bad.deed = Deed::links, bad.loss = 0.3, bad.delay = 10, bad.jitter = 20, bad.duplicate = 0.05, bad.reorder = 0.1;
  s.h->does(Cue{0, bad, true});
  s.h->wait(6000);
  s.h->does(Cue{0, bad, false});
  s.until("after 6 s of 30% loss, delay, doubles, disorder: calm", [&] { return s.calm(); });
  fleet::Step narrow;
  narrow.deed = Deed::links, narrow.kbPerS = 2;
  s.h->does(Cue{0, narrow, true});
  s.h->wait(4000);
  s.h->does(Cue{0, narrow, false});
  s.until("after 4 s of 2 KB/s on each link: calm", [&] { return s.calm(); });
  assert(s.h->relay().dropped() > 50);
  s.judged();
}

void caches(char** programs) {
  Scene s("caches", programs);
  s.does(Deed::cachesDown, {}, "a");
  s.until("caches of a killed: zone a out at all", [&] { return s.all(-1, "", "a"); });
  Ms left = s.loop.now();
  s.h->wait(3000);
  fleet::Kept k = s.keptSince(left + 300);
  std::printf("%-10s while out: %d of %d finished, %.1f%% near\n", s.name, k.finished, k.asked, 100 * k.share());
  assert(k.finished > 0.95 * k.asked);  // pulls of zone a's fronts are served next door
  assert(k.share() < 0.9);
  s.does(Deed::cachesDown, {}, "a", false);
  s.until("caches of a back: all traffic home", [&] { return s.all(-1, "", "") && s.home(); });
  s.does(Deed::cachesSilent, {}, "b");
  s.until("caches of b silent: zone b out at all", [&] { return s.all(-1, "", "b"); });
  s.does(Deed::cachesSilent, {}, "b", false);
  s.until("caches of b heard again: all traffic home", [&] { return s.all(-1, "", "") && s.home(); });
  s.judged();
}

}  // namespace

int main(int argc, char** argv) {
  assert(argc >= 3 && argc <= 5);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::string part = argc >= 4 ? argv[3] : "", more = argc == 5 ? argv[4] : "";
  onPeers = more == "peers";
  if (part == "rolling") rolling(argv, more);
  if (part.empty() || part == "killed") killed(argv);
  if (part.empty() || part == "cut") cutOff(argv);
  if (part.empty() || part == "rough") rough(argv);
  if (part.empty() || part == "caches") caches(argv);
  std::puts("fleet_test: all passed");
}
