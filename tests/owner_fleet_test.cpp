// Leases with five front processes, three of them the group, two fake executors that check fencing
// tokens, and a fault relay on every link: a lease holder paused past its lease, a holder
// partitioned from the group that still reaches the executors, the leader killed during a handover,
// a member that comes back without its store, one-way partitions, and links with delays close to
// the lease duration. The invariant checker of event logs verifies each part. Times are printed,
// never asserted. Arguments: the programs and a part; then `peers` for one socket per front or,
// with the part `rolling`, the front's program of another version.
#include <unistd.h>

#include <cassert>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>

#include "rig/harness.hpp"
#include "rig/history.hpp"
#include "support/port_block.hpp"

using namespace dunlinwick;
using owner::Happened;
using owner::Ms;

namespace {

bool on_peers = false;

struct Fleet {
  const char* name;
  loop::Loop loop;
  std::string folder;
  testing::PortBlock ports;
  std::unique_ptr<fleet::Harness> h;
  std::uint64_t steps;

  Fleet(const char* what, char** programs, std::uint64_t n) : name(what), steps(n) {
    folder = (std::filesystem::temp_directory_path() /
              ("owner-test-" + std::to_string(::getpid()) + what))
                 .string();
    std::filesystem::create_directories(folder);
    fleet::FleetFile f = fleet::ReadFleetText(
        "test",
        R"({"zones": [{"name": "a", "region": "north"}], "fronts": 5, "pulls_per_s": 0, "port": )" +
            std::to_string(ports.First()) + (on_peers ? ", \"peers\": true" : "") +
            R"(, "owner": {"works": [{"name": "sweep", "steps": )" + std::to_string(steps) +
            R"(, "each_ms": 40}, {"name": "push", "steps": )" + std::to_string(steps) +
            R"(, "each_ms": 40}]}})");
    h = std::make_unique<fleet::Harness>(
        loop, f, fleet::Programs{programs[1], programs[2], programs[3], folder}, 7);
    WaitUntil("bootstrapped, and both tasks have a holder",
              [&] { return HolderOf("sweep") >= 0 && HolderOf("push") >= 0; });
  }
  ~Fleet() {
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
        one.front = static_cast<owner::Id>(i + 1);
        one.life = life;
        if (std::sscanf(line.c_str(), "owner of %63s token %llu from step %llu", work, &token,
                        &step) == 3)
          one.what = Happened::What::kGranted;
        else if (std::sscanf(line.c_str(), "owner finished %63s token %llu", work, &token) == 2)
          one.what = Happened::What::kFinished;
        else
          continue;
        one.work = work;
        one.token = token;
        one.step = step;
        one.at = std::atof(line.c_str() + line.rfind(" at ") + 4);
        all.push_back(one);
      }
    }
    for (int p = 0; p < 2; ++p)
      for (const char* ending : {".out", ".log"}) {
        std::ifstream log(folder + "/place-" + std::to_string(p) + ending);
        for (std::string line; std::getline(log, line);) {
          Happened one;
          one.what = Happened::What::kLanded;
          one.place = static_cast<owner::Id>(1000 + p);
          char how[16], work[64];
          unsigned long long token = 0, step = 0, highest = 0;
          unsigned front = 0;
          if (std::sscanf(line.c_str(),
                          "%15s %63s token %llu step %llu front %u highest %llu at %lf", how, work,
                          &token, &step, &front, &highest, &one.at) != 7)
            continue;
          one.work = work;
          one.token = token;
          one.step = step;
          one.front = front;
          one.landing = std::string(how) == "landed"  ? owner::FencingResult::kDone
                        : std::string(how) == "known" ? owner::FencingResult::kAlreadyDone
                                                      : owner::FencingResult::kStaleToken;
          all.push_back(one);
        }
      }
    std::stable_sort(all.begin(), all.end(),
                     [](const Happened& a, const Happened& b) { return a.at < b.at; });
    return all;
  }

  // The front that reports that it holds the task's lease; -1: none.
  int HolderOf(const std::string& work) {
    for (std::size_t i = 0; i < h->size(); ++i) {
      if (!h->Up(i))
        continue;
      auto v = h->OwnerStatus(i);
      if (!v)
        continue;
      for (const json::Value& held : v->Find("holds")->items)
        if (held.GetString("work") == work && held.GetNumber("acts_for_ms").value_or(-1) > 0)
          return static_cast<int>(i);
    }
    return -1;
  }
  int Leader() {
    for (std::size_t i = 0; i < 3; ++i)
      if (h->Up(i))
        if (auto v = h->OwnerStatus(i); v && v->Find("leads") && v->Find("leads")->text == "true")
          return static_cast<int>(i);
    return -1;
  }
  bool AllTasksEnded() {
    for (std::size_t i = 0; i < 3; ++i) {
      if (!h->Up(i))
        continue;
      auto v = h->OwnerStatus(i);
      if (!v || !v->Find("works"))
        continue;
      int finished = 0;
      for (const json::Value& w : v->Find("works")->items)
        finished += w.GetString("state") == "finished";
      if (finished == 2)
        return true;
    }
    return false;
  }
  std::string log(std::size_t i) {
    std::ifstream in(folder + "/front-" + std::to_string(i) + ".log");
    return std::string(std::istreambuf_iterator<char>(in), {});
  }
  void WaitUntil(const char* what, const std::function<bool()>& holds, bool figure = true) {
    double begun = loop.now();
    while (!holds()) {
      if (loop.now() - begun > 60000)
        for (std::size_t i = 0; i < h->size(); ++i)
          std::fprintf(stderr, "front %zu:\n%s\n", i, log(i).c_str());
      assert(loop.now() - begun < 60000 && "the fleet did not reach the expected state in time");
      h->Wait(50);
    }
    if (figure)
      std::printf("%-7s %-60s %6.0f ms\n", name, what, loop.now() - begun);
  }
  // The end of a part: both tasks are finished, and no invariant was violated.
  void CheckInvariants() {
    WaitUntil("all finished", [&] { return AllTasksEnded(); });
    h->Wait(300);
    auto all = history();
    std::vector<owner::Begun> works{{"sweep", steps, {1000, 1001}}, {"push", steps, {1001}}};
    auto broken = owner::CheckHistory(all, works, true, true);
    for (const owner::Breach& b : broken)
      std::fprintf(stderr, "violation: %s: %s\n", b.promise.c_str(), b.what.c_str());
    assert(broken.empty());
    auto landed = std::count_if(all.begin(), all.end(), [](const Happened& one) {
      return one.what == Happened::What::kLanded && one.landing == owner::FencingResult::kDone;
    });
    auto grants = std::count_if(all.begin(), all.end(), [](const Happened& one) {
      return one.what == Happened::What::kGranted;
    });
    assert(landed == static_cast<long>(3 * steps));
    std::printf("%-7s %ld steps executed under %ld grants, each once; handovers", name,
                static_cast<long>(landed), static_cast<long>(grants));
    for (Ms t : owner::Handovers(all))
      std::printf(" %.0f", t);
    std::puts(" ms");
  }
};

void Paused(char** programs) {
  Fleet s("paused", programs, 200);
  s.h->Wait(1000);
  auto was = static_cast<std::size_t>(s.HolderOf("sweep"));
  s.h->Stop(was);
  s.WaitUntil("SIGSTOP of the holder: another front holds the lease",
              [&] { return s.HolderOf("sweep") >= 0; });
  s.h->Wait(500);
  s.h->Resume(was);  // none of its steps may be executed now, which the checker verifies
  s.WaitUntil("SIGCONT: it logs that it lost the lease",
              [&] { return s.log(was).find("owner lost sweep") != std::string::npos; });
  s.CheckInvariants();
}

// The fronts of one version are restarted one by one as another, with the same configuration and
// stores.
void Rolling(char** programs, const std::string& to) {
  Fleet s("rolling", programs, 250);
  for (std::size_t i = 0; i < s.h->size(); ++i) {
    s.h->Runs(i, to);
    s.h->Restart(i);
    s.WaitUntil(
        ("front " + std::to_string(i) + " by the other version: both tasks are held or ended")
            .c_str(),
        [&] { return s.AllTasksEnded() || (s.HolderOf("sweep") >= 0 && s.HolderOf("push") >= 0); });
    s.h->Wait(500);
  }
  s.CheckInvariants();
}

void Cut(char** programs) {
  Fleet s("cut", programs, 250);
  auto was = static_cast<std::size_t>(s.HolderOf("sweep"));
  s.h->CutOwner({was}, false, true);
  s.WaitUntil("partitioned from the group, not the executors: it stops by itself",
              [&] { return s.log(was).find("owner lost sweep") != std::string::npos; });
  s.WaitUntil("another front holds the lease", [&] { return s.HolderOf("sweep") >= 0; });
  s.h->CutOwner({was}, false, false);
  int holds = -1;
  s.WaitUntil(
      "push has a holder", [&] { return (holds = s.HolderOf("push")) >= 0; }, false);
  auto now = static_cast<std::size_t>(holds);
  std::size_t before = s.log(now).size();
  s.h->CutOwner({now}, true, true);  // it receives, and its messages are lost
  s.WaitUntil("one-way partition: it stops by itself",
              [&] { return s.log(now).find("owner lost push", before) != std::string::npos; });
  s.h->CutOwner({now}, true, false);
  s.CheckInvariants();
}

void Leader(char** programs) {
  Fleet s("leader", programs, 250);
  int was = s.HolderOf("sweep"), leads = s.Leader();
  assert(was >= 0 && leads >= 0);
  s.h->Kill(static_cast<std::size_t>(was));
  s.h->Wait(1000);
  if (leads == was)
    leads = s.Leader();
  if (leads >= 0 && s.h->Up(static_cast<std::size_t>(leads)))
    s.h->Kill(static_cast<std::size_t>(leads));  // during the handover
  // At least one group member is down: it comes back with its store, and two of three continue.
  s.h->Wait(1000);
  if (leads >= 0)
    s.h->Restart(static_cast<std::size_t>(leads));
  s.WaitUntil("holder and leader killed: another front holds the lease",
              [&] { return s.HolderOf("sweep") >= 0; });
  s.h->Restart(static_cast<std::size_t>(was));
  s.CheckInvariants();
}

void Lost(char** programs) {
  Fleet s("lost", programs, 200);
  int leads = s.Leader();
  auto who = static_cast<std::size_t>(leads == 0 ? 1 : 0);
  s.h->Kill(who);
  s.h->LoseStore(who);
  s.h->Restart(who);
  s.WaitUntil("a member without its store reports that it is lost", [&] {
    return s.log(who).find("owner group: lost: the group began without this process") !=
           std::string::npos;
  });
  auto v = s.h->OwnerStatus(who);
  assert(v && v->GetString("group") == "lost");
  s.CheckInvariants();  // the other two continue, and the lost one still executes tasks by leases
                        // that they grant
}

void Slow(char** programs) {
  Fleet s("slow", programs, 120);
  fleet::Fault f;
  f.delay = 200;
  f.jitter = 900;
  f.loss = 0.05;
  f.duplicate = 0.05;
  s.h->OwnerRelay().Everywhere(f);
  s.h->Wait(8000);  // delays of half the lease duration and more
  s.h->OwnerRelay().Everywhere({});
  s.CheckInvariants();
}

}  // namespace

int main(int argc, char** argv) {
  assert(argc >= 4 && argc <= 6);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::string part = argc >= 5 ? argv[4] : "", more = argc == 6 ? argv[5] : "";
  on_peers = more == "peers";
  if (part == "rolling")
    Rolling(argv, more);
  if (part.empty() || part == "paused")
    Paused(argv);
  if (part.empty() || part == "cut")
    Cut(argv);
  if (part.empty() || part == "leader")
    Leader(argv);
  if (part.empty() || part == "lost")
    Lost(argv);
  if (part.empty() || part == "slow")
    Slow(argv);
  std::puts("owner_fleet_test: all passed");
}
