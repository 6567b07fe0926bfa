#include "ctl/fleet.hpp"

#include <arpa/inet.h>
#include <rapidjson/document.h>
#include <rapidjson/prettywriter.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "rig/harness.hpp"
#include "rig/staged.hpp"
#include "schema/schema.hpp"

namespace dunlinwick::ctl {

namespace fs = std::filesystem;
using fleet::Ms;

namespace {

volatile std::sig_atomic_t asked = 0;
void NoteStop(int) {
  asked = 1;
}

// Where a running `fleet up` hears `fleet fault` and `fleet view`: one datagram in, one out.
loop::Address ControlAt(int port) {
  loop::Address a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(127u << 24 | 3);
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  return a;
}
constexpr const char* kWhoAsks = "fleet?";
constexpr std::size_t kLargestFile = 60000;  // of a script of faults, to be one datagram

std::string Quoted(const std::string& text) {
  rapidjson::StringBuffer b;
  rapidjson::Writer<rapidjson::StringBuffer> w(b);
  w.String(text.c_str(), static_cast<rapidjson::SizeType>(text.size()));
  return b.GetString();
}

std::string ReportJson(const std::vector<fleet::Broken>& broken) {
  std::string s = "[";
  for (const fleet::Broken& b : broken)
    s += (s.size() > 1 ? ", " : "") + std::string("{\"promise\": ") + Quoted(b.promise) +
         ", \"at_ms\": " + std::to_string(static_cast<long long>(b.at)) +
         ", \"what\": " + Quoted(b.what) + "}";
  return s + "]";
}
void Print(const std::vector<fleet::Broken>& broken) {
  for (const fleet::Broken& b : broken)
    std::printf("broken: %s at %.1f s: %s\n", b.promise.c_str(), b.at / 1000, b.what.c_str());
}

std::string One(const json::Value& view, const char* name) {
  std::string s;
  if (const json::Value* v = view.Find(name)) {
    for (const json::Value& z : v->items)
      s += (s.empty() ? "" : ",") + z.text;
    for (const auto& [zone, share] : v->members)
      s += (s.empty() ? "" : " ") + zone + "=" + share.text;
    if (v->kind == json::Kind::kNumber || v->kind == json::Kind::kBoolean)
      s = v->text;
  }
  return s;
}
std::string MemberWords(const json::Value& view) {
  int alive = 1, suspect = 0, dead = 0;
  if (const json::Value* ms = view.Find("members", json::Kind::kArray))
    for (const json::Value& m : ms->items)
      (m.GetString("state") == "alive" ? alive : m.GetString("state") == "dead" ? dead : suspect)++;
  return std::to_string(alive) + "/" + std::to_string(suspect) + "/" + std::to_string(dead);
}
void PrintRow(std::size_t i, const std::string& zone, const json::Value* v) {
  if (!v)
    std::printf("%5zu  %-10s %-60s\n", i, zone.c_str(), "no answer");
  else
    std::printf("%5zu  %-10s %-11s %5s  %-12s %s\n", i, zone.c_str(), MemberWords(*v).c_str(),
                One(*v, "epoch").c_str(), One(*v, "out").empty() ? "none" : One(*v, "out").c_str(),
                One(*v, "shares").c_str());
}
const char* const kHead = "front  zone       alive/susp/dead  epoch  out       shares\n";

struct Up final : loop::Handler {
  std::string file;
  std::string faults;
  std::string folder;
  std::string program;
  std::string toy;
  int fronts = 0;
  double lasts = 0;
  std::uint64_t seed = 1;
  bool json = false;
  bool quiet = false;

  loop::Loop* loop_ = nullptr;
  fleet::Harness* harness = nullptr;
  loop::Descriptor control;
  std::vector<std::pair<Ms, fleet::Cue>> due;

  void Take(const fleet::Script& s) {
    for (const fleet::Cue& c : fleet::Cues(s))
      if (c.at < s.length)
        due.emplace_back(loop_->now() + c.at, c);
    std::stable_sort(due.begin(), due.end(), [](auto& a, auto& b) { return a.first < b.first; });
  }

  void OnReady(short) override {
    std::vector<char> buffer(kLargestFile + 1);
    loop::Address from{};
    ssize_t got = loop_->environment().ReceiveFrom(control.Get(), buffer, from);
    if (got < 0)
      return;
    std::string text(buffer.data(), static_cast<std::size_t>(got)), answer;
    if (text == kWhoAsks) {
      answer = "{\"port\":" + std::to_string(harness->fleet().port) +
               ",\"fronts\":" + std::to_string(harness->size()) + "}";
    } else {
      try {
        fleet::Script s = fleet::ReadFaultsText("faults", text);
        std::string why = fleet::Unfit(s, harness->fleet());
        if (!why.empty())
          throw std::runtime_error(why);
        Take(s);
        answer = "taken: " + std::to_string(s.steps.size()) + " steps over " +
                 std::to_string(static_cast<int>(s.length / 1000)) + " s";
      } catch (const std::exception& fault) {
        answer = std::string("refused: ") + fault.what();
      }
    }
    loop_->environment().SendTo(control.Get(), answer, from);
  }

  int operator()() {
    fleet::FleetFile f = fleet::ReadFleetFile(file, fronts);
    fleet::Script script;
    if (!faults.empty()) {
      script = fleet::ReadFaults(faults);
      if (std::string why = fleet::Unfit(script, f); !why.empty())
        throw std::runtime_error(faults + ": " + why);
      if (lasts <= 0)
        lasts = script.length / 1000;
    }
    fs::path here = fs::read_symlink("/proc/self/exe").parent_path();
    if (program.empty())
      program = here / "dunlinwick";
    if (toy.empty())
      toy = here / "dunlinwick_toy";
    std::string place = here / "dunlinwick_place";
    std::vector<std::string> needed{program, toy};
    if (f.owner.on)
      needed.push_back(place);
    for (const std::string& p : needed)
      if (::access(p.c_str(), X_OK) != 0)
        throw std::runtime_error(
            p + ": no program there; build it, or name it with --program or --toy");
    std::string scratch;
    if (folder.empty()) {
      folder = scratch =
          (fs::temp_directory_path() / ("dunlin-fleet-" + std::to_string(::getpid()))).string();
    }
    fs::create_directories(folder);
    struct sigaction action {};
    action.sa_handler = NoteStop;
    ::sigaction(SIGINT, &action, nullptr);
    ::sigaction(SIGTERM, &action, nullptr);
    loop::Loop loop;
    int code = 0;
    {
      int fd = loop.environment().OpenDatagrams(ControlAt(f.port));
      if (fd < 0)
        throw std::runtime_error(
            "127.0.0.3:" + std::to_string(f.port) +
            " is taken: is another fleet up there? Give the file another port");
      control = loop::Descriptor(loop.environment(), fd);
      fleet::Harness h(loop, f, {program, toy, place, folder}, seed);
      loop_ = &loop;
      harness = &h;
      loop.WatchDescriptor(control.Get(), *this, POLLIN);
      h.Wait(3000);  // the members meet before anything is done or asked
      h.Ask(f.requests_per_s);
      Take(script);
      Ms from = loop.now(), until = lasts > 0 ? from + lasts * 1000 : 1e300, table_at = from;
      while (!asked && loop.now() < until) {
        while (!due.empty() && due.front().first <= loop.now()) {
          if (!quiet && !json)
            std::printf("%7.1f s  %s\n", (loop.now() - from) / 1000,
                        fleet::Text(due.front().second).c_str());
          h.Does(due.front().second);
          due.erase(due.begin());
        }
        if (!quiet && !json && loop.now() >= table_at) {
          table(h, loop.now() - from);
          table_at = loop.now() + 1000;
        }
        loop.RunOnce(10);
      }
      h.Ask(0);
      h.Wait(2200);  // the last pulls come to their end
      fleet::History history = h.history();
      std::vector<fleet::Broken> broken = fleet::CheckHistory(f, history);
      fleet::Kept k = fleet::MakeKept(f, history, 0, 1e300);
      if (json) {
        std::printf(
            "{\"fronts\": %zu, \"pulls\": %d, \"finished\": %d, \"share_near\": %.4f, "
            "\"exclusive_ran\": %zu, \"broken\": %s}\n",
            h.size(), k.asked, k.finished, k.Share(), history.ran.size(),
            ReportJson(broken).c_str());
      } else {
        table(h, loop.now() - from);
        std::printf(
            "pulls: %d asked, %d finished, %.2f%% of them in their own zone; %zu exclusive ones "
            "ran\n",
            k.asked, k.finished, 100 * k.Share(), history.ran.size());
        Print(broken);
        std::puts(broken.empty() ? "all promises kept" : "promises broken");
      }
      code = broken.empty() ? 0 : 3;
      loop.Unwatch(control.Get());
    }
    if (!scratch.empty() && code == 0)
      fs::remove_all(scratch);
    else if (!json)
      std::printf("logs and configurations: %s\n", folder.c_str());
    return code;
  }

  static void table(fleet::Harness& h, Ms at) {
    std::printf("-- %.1f s\n%s", at / 1000, kHead);
    for (std::size_t i = 0; i < h.size(); ++i) {
      auto v = h.Up(i) ? h.view(i) : std::nullopt;
      PrintRow(i, h.fleet().zones[static_cast<std::size_t>(h.fleet().zone_of[i])],
               v ? &*v : nullptr);
    }
    std::fflush(stdout);
  }
};

// Asks a running `fleet up`; throws where none answers.
std::string Control(loop::Loop& loop, int port, const std::string& what) {
  loop::Address mine = ControlAt(0);
  mine.sin_addr.s_addr = htonl(127u << 24 | 1);
  loop::Descriptor fd(loop.environment(), loop.environment().OpenDatagrams(mine));
  loop.environment().SendTo(fd.Get(), what, ControlAt(port));
  constexpr Ms kWithin = 3000;
  std::vector<char> buffer(65536);
  for (Ms end = loop.now() + kWithin; loop.now() < end; loop.RunOnce(5)) {
    loop::Address from{};
    ssize_t got = loop.environment().ReceiveFrom(fd.Get(), buffer, from);
    if (got > 0)
      return std::string(buffer.data(), static_cast<std::size_t>(got));
  }
  throw std::runtime_error("no fleet answers at 127.0.0.3:" + std::to_string(port) +
                           "; start one with dunlinctl fleet up, or name its port with --port");
}

}  // namespace

std::vector<std::string> OwnersUp(int port) {
  loop::Loop loop;
  auto who = json::Parse(Control(loop, port, kWhoAsks));
  std::vector<std::string> all;
  auto n = static_cast<std::size_t>(who ? who->GetNumber("fronts").value_or(0) : 0);
  for (std::size_t i = 0; i < n; ++i)
    all.push_back("127.0.0." + std::to_string(10 + i) + ":" + std::to_string(port + 600));
  return all;
}

namespace {

struct FaultRun {
  std::string file;
  std::string on = "up";
  std::string fleet_file;
  int port = 7400;
  int fronts = 0;
  std::uint64_t seed = 1;
  std::uint64_t seeds = 1;
  bool json = false;

  int operator()() {
    std::string text = schema::ReadFile(file);
    fleet::Script script = fleet::ReadFaultsText(file, text);
    if (on == "up") {
      if (text.size() > kLargestFile)
        throw std::runtime_error(file + ": over 60000 bytes; give it to fleet up with --faults");
      loop::Loop loop;
      std::string answer = Control(loop, port, text);
      std::puts(answer.c_str());
      return answer.starts_with("taken") ? 0 : 1;
    }
    if (fleet_file.empty())
      throw std::runtime_error("--on stage needs --fleet FILE");
    fleet::FleetFile f = fleet::ReadFleetFile(fleet_file, fronts);
    if (std::string why = fleet::Unfit(script, f); !why.empty())
      throw std::runtime_error(file + ": " + why);
    f.requests_per_s = f.requests_per_s > 0
                           ? f.requests_per_s
                           : 1;  // what is held of caches needs no pulls on the stage
    std::uint64_t bad = 0;
    std::size_t verdicts = 0;
    std::vector<fleet::Broken> first;
    std::uint64_t first_seed = 0;
    for (std::uint64_t s = seed; s < seed + seeds; ++s) {
      fleet::History h = fleet::PlayStaged(f, script, s);
      verdicts += h.verdicts.size();
      std::vector<fleet::Broken> broken = fleet::CheckHistory(f, h);
      if (seeds == 1 && !json)
        for (const fleet::VerdictSeen& v : h.verdicts) {
          std::string out;
          for (std::size_t z = 0; z < f.zones.size(); ++z)
            if (v.out >> z & 1)
              out += (out.empty() ? "" : ",") + f.zones[z];
          std::printf("%7.2f s  front %zu epoch %u out %s\n", v.at / 1000, v.front, v.epoch,
                      out.empty() ? "none" : out.c_str());
        }
      if (!broken.empty() && ++bad == 1) {
        first = broken;
        first_seed = s;
      }
    }
    if (json) {
      std::printf(
          "{\"seeds\": %llu, \"with_breaches\": %llu, \"verdicts\": %zu, \"first_seed\": %llu, "
          "\"broken\": %s}\n",
          static_cast<unsigned long long>(seeds), static_cast<unsigned long long>(bad), verdicts,
          static_cast<unsigned long long>(first_seed), ReportJson(first).c_str());
    } else {
      std::printf("staged, %llu seeds, %zu verdicts: %llu with promises broken\n",
                  static_cast<unsigned long long>(seeds), verdicts,
                  static_cast<unsigned long long>(bad));
      if (bad) {
        std::printf("the first, seed %llu:\n", static_cast<unsigned long long>(first_seed));
        Print(first);
      }
    }
    return bad ? 3 : 0;
  }
};

struct View {
  int port = 7400;
  bool json = false;
  int operator()() const {
    loop::Loop loop;
    auto who = json::Parse(Control(loop, port, kWhoAsks));
    if (!who)
      throw std::runtime_error("what answers at 127.0.0.3:" + std::to_string(port) +
                               " is no fleet");
    auto n = static_cast<std::size_t>(who->GetNumber("fronts").value_or(0));
    loop::Address mine = ControlAt(0);
    mine.sin_addr.s_addr = htonl(127u << 24 | 1);
    loop::Descriptor fd(loop.environment(), loop.environment().OpenDatagrams(mine));
    if (!json)
      std::fputs(kHead, stdout);
    std::string all = "[";
    std::size_t silent = 0;
    for (std::size_t i = 0; i < n; ++i) {
      loop::Address front = fleet::Harness::at(i, static_cast<std::uint16_t>(port));
      std::string raw;
      auto v = fleet::AskView(loop, fd, front, &raw);
      silent += !v;
      if (json)
        all += (i ? ",\n " : "\n ") +
               (v ? raw : "{\"self\":" + std::to_string(i) + ",\"silent\":true}");
      else
        PrintRow(i, v ? std::string(v->GetString("zone")) : "", v ? &*v : nullptr);
    }
    if (json)
      std::printf("%s\n]\n", all.c_str());
    return silent ? 4 : 0;
  }
};

}  // namespace

void AddFleet(CLI::App& app, int& code) {
  CLI::App* fleet = app.add_subcommand(
      "fleet", "many fronts on loopback: what goes wrong between them, what each holds");
  fleet->require_subcommand(1);
  auto up = std::make_shared<Up>();
  CLI::App* c = fleet->add_subcommand(
      "up", "start fronts, toy caches and a fault relay; show a live table until Ctrl-C or --for");
  c->footer(
      "exit: 0 all promises kept, 3 one was broken (it is told with its evidence), 1 bad input, "
      "nothing started");
  c->add_option("file", up->file, "the fleet, JSON with comments (docs/operators/fleet.md)")
      ->required();
  c->add_option("--fronts", up->fronts, "in place of the file's number")->check(CLI::Range(2, 64));
  c->add_option("--faults", up->faults,
                "a script of faults to play from the start; ends with it unless --for is given");
  c->add_option("--for", up->lasts, "seconds; without it and --faults until Ctrl-C")
      ->check(CLI::Range(0.1, 86400.0));
  c->add_option("--seed", up->seed, "of the relay's and the clients' chance")
      ->capture_default_str();
  c->add_option(
      "--folder", up->folder,
      "where configurations and logs stay; else a scratch folder, kept where a promise broke");
  c->add_option("--program", up->program, "the front's program; else the one beside this");
  c->add_option("--toy", up->toy, "the toy caches' program; else the one beside this");
  c->add_flag("--json", up->json, "one JSON report at the end, no table");
  c->add_flag("--quiet", up->quiet, "no live table");
  c->callback([up, &code] { code = (*up)(); });
  auto fault = std::make_shared<FaultRun>();
  c = fleet->add_subcommand(
      "fault", "play a script of faults on the fleet that is up, or on staged members");
  c->footer(
      "exit: 0 taken (stage: all promises kept), 3 a promise was broken on the stage, 1 bad input "
      "or no fleet up");
  c->add_option("file", fault->file, "the script, JSON with comments (docs/operators/fleet.md)")
      ->required();
  c->add_option("--on", fault->on,
                "up: the processes of fleet up; stage: virtual time, members only")
      ->check(CLI::IsMember({"up", "stage"}))
      ->capture_default_str();
  c->add_option("--port", fault->port, "the fleet's port")->capture_default_str();
  c->add_option("--fleet", fault->fleet_file, "with --on stage: the fleet's file");
  c->add_option("--fronts", fault->fronts, "with --on stage: in place of the file's number")
      ->check(CLI::Range(2, 64));
  c->add_option("--seed", fault->seed, "with --on stage: the first seed")->capture_default_str();
  c->add_option("--seeds", fault->seeds, "with --on stage: how many")
      ->capture_default_str()
      ->check(CLI::Range(1, 1000000));
  c->add_flag("--json", fault->json, "with --on stage: the report as JSON");
  c->callback([fault, &code] { code = (*fault)(); });
  auto view = std::make_shared<View>();
  c = fleet->add_subcommand(
      "view", "what each front of the fleet that is up holds: members, zones, verdict, epoch");
  c->footer("exit: 0 every front answered, 4 some did not, 1 no fleet up");
  c->add_option("--port", view->port, "the fleet's port")->capture_default_str();
  c->add_flag("--json", view->json, "every front's whole view as a JSON list");
  c->callback([view, &code] { code = (*view)(); });
}

}  // namespace dunlinwick::ctl
