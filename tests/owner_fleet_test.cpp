// Ownership by five processes of the front, three of them the group, with two stand-ins that carry work out behind fences and a fault
// relay on every link: an owner paused past its lease, an owner cut from the group that still reaches the places, the leader
// killed in a handover, a member that comes back without its store, one-way cuts and links slow near the lease. The checker of
// histories judges each part. Times are printed as figures, never asserted. Arguments: the programs, and a part; then `peers` for one socket
// a front, or, with the part `rolling`, the front's program of another version.
#include <unistd.h>

#include <cassert>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>

#include "rig/harness.hpp"
#include "rig/history.hpp"

using namespace dunlinwick;
using owner::Happened;
using owner::Ms;

namespace {

bool onPeers = false;

struct Scene {
  const char* name;
  loop::Loop loop;
  std::string folder;
  std::unique_ptr<fleet::Harness> h;
  std::uint64_t steps;

  Scene(const char* what, char** programs, std::uint64_t n) : name(what), steps(n) {
    folder = (std::filesystem::temp_directory_path() / ("owner-test-" + std::to_string(::getpid()) + what)).string();
    std::filesystem::create_directories(folder);
    int port = 10000 + (::getpid() % 50) * 1000;  // two runs at once do not meet
    fleet::FleetFile f = fleet::readFleetText("test", R"({"zones": [{"name": "a", "region": "north"}], "fronts": 5, "pulls_per_s": 0, "port": )" +
        std::to_string(port) + (onPeers ? ", \"peers\": true" : "") + R"(, "owner": {"works": [{"name": "sweep", "steps": )" + std::to_string(steps) + R"(, "each_ms": 40}, {"name": "push", "steps": )" +
        std::to_string(steps) + R"(, "each_ms": 40}]}})");
    h = std::make_unique<fleet::Harness>(loop, f, fleet::Programs{programs[1], programs[2], programs[3], folder}, 7);
    until("founded, and both works owned", [&] { return owns("sweep") >= 0 && owns("push") >= 0; });
  }
  ~Scene() {
    h.reset();
    std::filesystem::remove_all(folder);
  }

  std::vector<Happened> history() {
    std::vector<Happened> all;
    for (std::size_t i = 0; i < h->size(); ++i) {
      std::ifstream log(folder + "/front-" + std::to_string(i) + ".log");
      std::uint64_t life = 0;
      for (std::string line; std::getline(log, line);) {
        life += line.starts_with("owner: front ");
        Happened one;
        char work[64];
        unsigned long long token = 0, step = 0;
        one.front = static_cast<owner::Id>(i + 1), one.life = life;
        if (std::sscanf(line.c_str(), "owner of %63s token %llu from step %llu", work, &token, &step) == 3) one.what = Happened::What::granted;
        else if (std::sscanf(line.c_str(), "owner finished %63s token %llu", work, &token) == 2) one.what = Happened::What::finished;
        else continue;
        one.work = work, one.token = token, one.step = step, one.at = std::atof(line.c_str() + line.rfind(" at ") + 4);
        all.push_back(one);
      }
    }
    for (int p = 0; p < 2; ++p)
      for (const char* ending : {".out", ".log"}) {
        std::ifstream log(folder + "/place-" + std::to_string(p) + ending);
        for (std::string line; std::getline(log, line);) {
          Happened one;
          one.what = Happened::What::landed, one.place = static_cast<owner::Id>(1000 + p);
          char how[16], work[64];
          unsigned long long token = 0, step = 0, highest = 0;
          unsigned front = 0;
          if (std::sscanf(line.c_str(), "%15s %63s token %llu step %llu front %u highest %llu at %lf", how, work, &token, &step, &front, &highest, &one.at) != 7) continue;
          one.work = work, one.token = token, one.step = step, one.front = front;
          one.landing = std::string(how) == "landed" ? owner::Landing::done : std::string(how) == "known" ? owner::Landing::doneBefore : owner::Landing::staleToken;
          all.push_back(one);
        }
      }
    std::stable_sort(all.begin(), all.end(), [](const Happened& a, const Happened& b) { return a.at < b.at; });
    return all;
  }

  // The front that says it holds a work, -1 where none does.
  int owns(const std::string& work) {
    for (std::size_t i = 0; i < h->size(); ++i) {
      if (!h->up(i)) continue;
      auto v = h->ownerStatus(i);
      if (!v) continue;
      for (const json::Value& held : v->find("holds")->items)
        if (held.word("work") == work && held.number("acts_for_ms").value_or(-1) > 0) return static_cast<int>(i);
    }
    return -1;
  }
  int leader() {
    for (std::size_t i = 0; i < 3; ++i)
      if (h->up(i))
        if (auto v = h->ownerStatus(i); v && v->find("leads") && v->find("leads")->text == "true") return static_cast<int>(i);
    return -1;
  }
  bool over() {
    for (std::size_t i = 0; i < 3; ++i) {
      if (!h->up(i)) continue;
      auto v = h->ownerStatus(i);
      if (!v || !v->find("works")) continue;
      int finished = 0;
      for (const json::Value& w : v->find("works")->items) finished += w.word("state") == "finished";
      if (finished == 2) return true;
    }
    return false;
  }
  std::string log(std::size_t i) {
    std::ifstream in(folder + "/front-" + std::to_string(i) + ".log");
    return std::string(std::istreambuf_iterator<char>(in), {});
  }
  void until(const char* what, const std::function<bool()>& holds, bool figure = true) {
    double begun = loop.now();
    while (!holds()) {
      if (loop.now() - begun > 60000)
        for (std::size_t i = 0; i < h->size(); ++i) std::fprintf(stderr, "front %zu:\n%s\n", i, log(i).c_str());
      assert(loop.now() - begun < 60000 && "the owner's fleet did not come to it in time");
      h->wait(50);
    }
    if (figure) std::printf("%-7s %-60s %6.0f ms\n", name, what, loop.now() - begun);
  }
  // The end of a part: both works are finished, and no promise was broken.
  void judged() {
    until("all finished", [&] { return over(); });
    h->wait(300);
    auto all = history();
    std::vector<owner::Begun> works{{"sweep", steps, {1000, 1001}}, {"push", steps, {1001}}};
    auto broken = owner::judge(all, works, true, true);
    for (const owner::Breach& b : broken) std::fprintf(stderr, "broken: %s: %s\n", b.promise.c_str(), b.what.c_str());
    assert(broken.empty());
    auto landed = std::count_if(all.begin(), all.end(), [](const Happened& one) { return one.what == Happened::What::landed && one.landing == owner::Landing::done; });
    auto grants = std::count_if(all.begin(), all.end(), [](const Happened& one) { return one.what == Happened::What::granted; });
    assert(landed == static_cast<long>(3 * steps));
    std::printf("%-7s %ld steps landed under %ld grants, each once; handovers", name, static_cast<long>(landed), static_cast<long>(grants));
    for (Ms t : owner::handovers(all)) std::printf(" %.0f", t);
    std::puts(" ms");
  }
};

void paused(char** programs) {
  Scene s("paused", programs, 200);
  s.h->wait(1000);
  auto was = static_cast<std::size_t>(s.owns("sweep"));
  s.h->stop(was);
  s.until("SIGSTOP of the owner: another owns it", [&] { return s.owns("sweep") >= 0; });
  s.h->wait(500);
  s.h->resume(was);  // it must do nothing that lands: the checker looks for it
  s.until("SIGCONT: it says that it lost it", [&] { return s.log(was).find("owner lost sweep") != std::string::npos; });
  s.judged();
}

// A fleet of one version restarted one by one into another, with the same configuration and stores.
void rolling(char** programs, const std::string& to) {
  Scene s("rolling", programs, 250);
  for (std::size_t i = 0; i < s.h->size(); ++i) {
    s.h->runs(i, to);
    s.h->restart(i);
    s.until(("front " + std::to_string(i) + " by the other version: both works are owned or over").c_str(),
            [&] { return s.over() || (s.owns("sweep") >= 0 && s.owns("push") >= 0); });
    s.h->wait(500);
  }
  s.judged();
}

void cut(char** programs) {
  Scene s("cut", programs, 250);
  auto was = static_cast<std::size_t>(s.owns("sweep"));
  s.h->cutOwner({was}, false, true);
  s.until("cut from the group, not the places: it stops by itself", [&] { return s.log(was).find("owner lost sweep") != std::string::npos; });
  s.until("another owns it", [&] { return s.owns("sweep") >= 0; });
  s.h->cutOwner({was}, false, false);
  int holds = -1;
  s.until("push is owned", [&] { return (holds = s.owns("push")) >= 0; }, false);
  auto now = static_cast<std::size_t>(holds);
  std::size_t before = s.log(now).size();
  s.h->cutOwner({now}, true, true);  // it hears, and is not heard
  s.until("one-way cut: it stops by itself", [&] { return s.log(now).find("owner lost push", before) != std::string::npos; });
  s.h->cutOwner({now}, true, false);
  s.judged();
}

void leader(char** programs) {
  Scene s("leader", programs, 250);
  int was = s.owns("sweep"), leads = s.leader();
  assert(was >= 0 && leads >= 0);
  s.h->kill(static_cast<std::size_t>(was));
  s.h->wait(1000);
  if (leads == was) leads = s.leader();
  if (leads >= 0 && s.h->up(static_cast<std::size_t>(leads))) s.h->kill(static_cast<std::size_t>(leads));  // in the midst of the handover
  // Of the group at least one is down: it comes back with its store, and two of three go on.
  s.h->wait(1000);
  if (leads >= 0) s.h->restart(static_cast<std::size_t>(leads));
  s.until("owner and leader killed: another owns it", [&] { return s.owns("sweep") >= 0; });
  s.h->restart(static_cast<std::size_t>(was));
  s.judged();
}

void lost(char** programs) {
  Scene s("lost", programs, 200);
  int leads = s.leader();
  auto who = static_cast<std::size_t>(leads == 0 ? 1 : 0);
  s.h->kill(who);
  s.h->loseStore(who);
  s.h->restart(who);
  s.until("a member without its store says that it is lost", [&] { return s.log(who).find("owner group: lost: the group began without this process") != std::string::npos; });
  auto v = s.h->ownerStatus(who);
  assert(v && v->word("group") == "lost");
  s.judged();  // the other two go on, and the lost one still does work: it asks them
}

void slow(char** programs) {
  Scene s("slow", programs, 120);
  fleet::Fault f;
  f.delay = 200, f.jitter = 900, f.loss = 0.05, f.duplicate = 0.05;
  s.h->ownerRelay().everywhere(f);
  s.h->wait(8000);  // delays up to half the lease and more
  s.h->ownerRelay().everywhere({});
  s.judged();
}

}  // namespace

int main(int argc, char** argv) {
  assert(argc >= 4 && argc <= 6);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::string part = argc >= 5 ? argv[4] : "", more = argc == 6 ? argv[5] : "";
  onPeers = more == "peers";
  if (part == "rolling") rolling(argv, more);
  if (part.empty() || part == "paused") paused(argv);
  if (part.empty() || part == "cut") cut(argv);
  if (part.empty() || part == "leader") leader(argv);
  if (part.empty() || part == "lost") lost(argv);
  if (part.empty() || part == "slow") slow(argv);
  std::puts("owner_fleet_test: all passed");
}
