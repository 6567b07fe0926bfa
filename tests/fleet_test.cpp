// Five processes of the front on loopback with a fault relay on every link between them: kill -9, SIGSTOP and
// SIGCONT, restart under the same address, a front cut off alone, a one-way cut, loss with delay and duplication.
// Each step waits, within a bound, for what the fronts' views must come to; the times it took are printed as
// figures, never asserted. Arguments: the front's program and a configuration to start from.
#include <unistd.h>

#include <cassert>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>

#include "fleet/harness.hpp"

using namespace dunlinwick;

namespace {

std::string state(const json::Value& view, int id) {
  if (const json::Value* ms = view.find("members", json::Kind::list))
    for (const json::Value& m : ms->items)
      if (m.number("id") == id) return std::string(m.word("state"));
  return "?";
}
std::string out(const json::Value& view) {
  std::string s;
  if (const json::Value* o = view.find("out", json::Kind::list))
    for (const json::Value& z : o->items) s += z.text;
  return s;
}

struct Fleet {
  loop::Loop& loop;
  fleet::Harness& h;
  std::vector<bool> up = std::vector<bool>(5, true);

  // Whether every front that is up answers and says that `about` is `what`, and that zones `zones` are out.
  bool all(int about, const std::string& what, const std::string& zones) {
    for (std::size_t i = 0; i < h.size(); ++i) {
      if (!up[i]) continue;
      auto v = h.view(i);
      if (!v) return false;
      if (about >= 0 && static_cast<int>(i) != about && state(*v, about) != what) return false;
      if (out(*v) != zones) return false;
    }
    return true;
  }
  bool calm() {
    for (int a = 0; a < 5; ++a)
      if (!all(a, "alive", "")) return false;
    return true;
  }
  // Waits until `holds`, 40 s at most; prints how long it took.
  void until(const char* what, const std::function<bool()>& holds) {
    double from = loop.now();
    while (!holds()) {
      assert(loop.now() - from < 40000 && "the fleet did not come to it in time");
      h.wait(100);
    }
    std::printf("%-44s %6.0f ms\n", what, loop.now() - from);
  }
};

}  // namespace

int main(int argc, char** argv) {
  assert(argc == 3);
  std::ifstream file(argv[2]);
  std::stringstream text;
  text << file.rdbuf();
  std::string folder = (std::filesystem::temp_directory_path() / ("fleet-test-" + std::to_string(::getpid()))).string();
  std::filesystem::create_directories(folder);
  fleet::Plan plan;
  plan.zones = {"a", "b", "c"}, plan.regions = {"north", "north", "south"};
  plan.zoneOf = {0, 0, 1, 1, 2};
  plan.program = argv[1], plan.folder = folder, plan.front = text.str();
  plan.port = static_cast<std::uint16_t>(20000 + (::getpid() % 400) * 100);  // two runs at once do not meet
  loop::Loop loop;
  {
    fleet::Harness h(loop, plan);
    Fleet f{loop, h};
    f.until("all five see each other", [&] { return f.calm(); });

    h.kill(4), f.up[4] = false;  // zone c had front 4 alone
    f.until("kill -9: front 4 dead to all, zone c out", [&] { return f.all(4, "dead", "c"); });
    h.restart(4), f.up[4] = true;
    f.until("restart: front 4 back, zone c back", [&] { return f.calm(); });

    h.pause(0);
    f.up[0] = false;
    f.until("SIGSTOP: front 0 dead to the others", [&] { return f.all(0, "dead", ""); });
    h.resume(0), f.up[0] = true;
    f.until("SIGCONT: front 0 refutes, alive to all", [&] { return f.calm(); });

    h.relay().cutAround({1}, false);
    f.until("front 1 cut off alone: dead to the others", [&] {
      f.up[1] = false;
      bool others = f.all(1, "dead", "");
      f.up[1] = true;
      return others;
    });
    // Alone it holds all others dead, but alone it is no quorum: it keeps its zone.
    f.until("front 1 alone takes the others for dead", [&] {
      auto v = h.view(1);
      return v && state(*v, 0) == "dead" && state(*v, 4) == "dead";
    });
    auto lone = h.view(1);
    assert(lone && out(*lone).empty());
    h.relay().healAll();
    f.until("healed: all alive again", [&] { return f.calm(); });

    h.relay().cutAround({3}, true);  // front 3 hears all, is heard by none
    f.until("one-way cut: front 3 dead to the others", [&] {
      f.up[3] = false;
      bool others = f.all(3, "dead", "");
      f.up[3] = true;
      return others;
    });
    h.relay().healAll();
    f.until("healed: all alive again", [&] { return f.calm(); });

    h.relay().everywhere(fleet::Fault{false, 10, 20, 0.3, 0.05});
    h.wait(5000);
    h.relay().healAll();
    f.until("after 5 s of 30% loss: all alive", [&] { return f.calm(); });
    std::printf("relay: %llu passed, %llu dropped\n", static_cast<unsigned long long>(h.relay().passed()),
                static_cast<unsigned long long>(h.relay().dropped()));
  }
  std::filesystem::remove_all(folder);
  std::puts("fleet_test: all passed");
}
