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

volatile std::sig_atomic_t stop_requested = 0;
void HandleStopSignal(int) {
  stop_requested = 1;
}

// The address at which a running `fleet up` receives the requests of `fleet fault` and `fleet
// view`: one datagram for the request, one for the response.
loop::Address ControlAddress(int port) {
  loop::Address address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(127u << 24 | 3);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}
constexpr const char* kIdentifyRequest = "fleet?";
constexpr std::size_t kMaxFaultScriptBytes =
    60000;  // of a fault script, which is sent in one datagram

std::string Quoted(const std::string& text) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.String(text.c_str(), static_cast<rapidjson::SizeType>(text.size()));
  return buffer.GetString();
}

std::string ReportJson(const std::vector<fleet::Broken>& violations) {
  std::string json = "[";
  for (const fleet::Broken& violation : violations)
    json += (json.size() > 1 ? ", " : "") + std::string("{\"promise\": ") +
            Quoted(violation.promise) +
            ", \"at_ms\": " + std::to_string(static_cast<long long>(violation.at)) +
            ", \"what\": " + Quoted(violation.what) + "}";
  return json + "]";
}
void Print(const std::vector<fleet::Broken>& violations) {
  for (const fleet::Broken& violation : violations)
    std::printf("broken: %s at %.1f s: %s\n", violation.promise.c_str(), violation.at / 1000,
                violation.what.c_str());
}

std::string FieldText(const json::Value& view, const char* name) {
  std::string text;
  if (const json::Value* field = view.Find(name)) {
    for (const json::Value& item : field->items)
      text += (text.empty() ? "" : ",") + item.text;
    for (const auto& [zone, share] : field->members)
      text += (text.empty() ? "" : " ") + zone + "=" + share.text;
    if (field->kind == json::Kind::kNumber || field->kind == json::Kind::kBoolean)
      text = field->text;
  }
  return text;
}
std::string MemberCounts(const json::Value& view) {
  int alive = 1, suspect = 0, dead = 0;
  if (const json::Value* members = view.Find("members", json::Kind::kArray))
    for (const json::Value& member : members->items)
      (member.GetString("state") == "alive"  ? alive
       : member.GetString("state") == "dead" ? dead
                                             : suspect)++;
  return std::to_string(alive) + "/" + std::to_string(suspect) + "/" + std::to_string(dead);
}
void PrintRow(std::size_t front, const std::string& zone, const json::Value* view) {
  if (!view)
    std::printf("%5zu  %-10s %-60s\n", front, zone.c_str(), "no answer");
  else
    std::printf("%5zu  %-10s %-11s %5s  %-12s %s\n", front, zone.c_str(),
                MemberCounts(*view).c_str(), FieldText(*view, "epoch").c_str(),
                FieldText(*view, "out").empty() ? "none" : FieldText(*view, "out").c_str(),
                FieldText(*view, "shares").c_str());
}
const char* const kTableHeader = "front  zone       alive/susp/dead  epoch  out       shares\n";

struct UpCommand final : loop::Handler {
  std::string file;
  std::string faults;
  std::string folder;
  std::string program;
  std::string cache_program;
  int fronts = 0;
  double duration = 0;
  std::uint64_t seed = 1;
  bool json = false;
  bool quiet = false;

  loop::Loop* loop_ = nullptr;
  fleet::Harness* harness = nullptr;
  loop::Descriptor control;
  std::vector<std::pair<Ms, fleet::Cue>> scheduled;

  void ScheduleFaults(const fleet::Script& script) {
    for (const fleet::Cue& cue : fleet::Cues(script))
      if (cue.at < script.length)
        scheduled.emplace_back(loop_->now() + cue.at, cue);
    std::stable_sort(scheduled.begin(), scheduled.end(),
                     [](auto& a, auto& b) { return a.first < b.first; });
  }

  void OnReady(short) override {
    std::vector<char> buffer(kMaxFaultScriptBytes + 1);
    loop::Address from{};
    ssize_t received = loop_->environment().ReceiveFrom(control.Get(), buffer, from);
    if (received < 0)
      return;
    std::string text(buffer.data(), static_cast<std::size_t>(received)), response;
    if (text == kIdentifyRequest) {
      response = "{\"port\":" + std::to_string(harness->fleet().port) +
                 ",\"fronts\":" + std::to_string(harness->size()) + "}";
    } else {
      try {
        fleet::Script script = fleet::ReadFaultsText("faults", text);
        std::string error = fleet::Unfit(script, harness->fleet());
        if (!error.empty())
          throw std::runtime_error(error);
        ScheduleFaults(script);
        response = "taken: " + std::to_string(script.steps.size()) + " steps over " +
                   std::to_string(static_cast<int>(script.length / 1000)) + " s";
      } catch (const std::exception& refusal) {
        response = std::string("refused: ") + refusal.what();
      }
    }
    loop_->environment().SendTo(control.Get(), response, from);
  }

  int operator()() {
    fleet::FleetFile fleet_file = fleet::ReadFleetFile(file, fronts);
    fleet::Script script;
    if (!faults.empty()) {
      script = fleet::ReadFaults(faults);
      if (std::string error = fleet::Unfit(script, fleet_file); !error.empty())
        throw std::runtime_error(faults + ": " + error);
      if (duration <= 0)
        duration = script.length / 1000;
    }
    fs::path program_folder = fs::read_symlink("/proc/self/exe").parent_path();
    if (program.empty())
      program = program_folder / "dunlinwick";
    if (cache_program.empty())
      cache_program = program_folder / "dunlinwick_toy";
    std::string executor_program = program_folder / "dunlinwick_place";
    std::vector<std::string> required_programs{program, cache_program};
    if (fleet_file.owner.on)
      required_programs.push_back(executor_program);
    for (const std::string& required : required_programs)
      if (::access(required.c_str(), X_OK) != 0)
        throw std::runtime_error(
            required + ": no such program; build it, or give its path with --program or --toy");
    std::string temporary_folder;
    if (folder.empty()) {
      folder = temporary_folder =
          (fs::temp_directory_path() / ("dunlin-fleet-" + std::to_string(::getpid()))).string();
    }
    fs::create_directories(folder);
    struct sigaction action {};
    action.sa_handler = HandleStopSignal;
    ::sigaction(SIGINT, &action, nullptr);
    ::sigaction(SIGTERM, &action, nullptr);
    loop::Loop loop;
    int code = 0;
    {
      int fd = loop.environment().OpenDatagrams(ControlAddress(fleet_file.port));
      if (fd < 0)
        throw std::runtime_error(
            "cannot open 127.0.0.3:" + std::to_string(fleet_file.port) +
            "; if another fleet is running there, change the port in the fleet's file");
      control = loop::Descriptor(loop.environment(), fd);
      fleet::Harness fleet_harness(loop, fleet_file,
                                   {program, cache_program, executor_program, folder}, seed);
      loop_ = &loop;
      harness = &fleet_harness;
      loop.WatchDescriptor(control.Get(), *this, POLLIN);
      fleet_harness.Wait(3000);  // the members discover each other before faults and requests start
      fleet_harness.Ask(fleet_file.requests_per_s);
      ScheduleFaults(script);
      Ms started_at = loop.now(), ends_at = duration > 0 ? started_at + duration * 1000 : 1e300,
         next_table_at = started_at;
      while (!stop_requested && loop.now() < ends_at) {
        while (!scheduled.empty() && scheduled.front().first <= loop.now()) {
          if (!quiet && !json)
            std::printf("%7.1f s  %s\n", (loop.now() - started_at) / 1000,
                        fleet::Text(scheduled.front().second).c_str());
          fleet_harness.Does(scheduled.front().second);
          scheduled.erase(scheduled.begin());
        }
        if (!quiet && !json && loop.now() >= next_table_at) {
          PrintTable(fleet_harness, loop.now() - started_at);
          next_table_at = loop.now() + 1000;
        }
        loop.RunOnce(10);
      }
      fleet_harness.Ask(0);
      fleet_harness.Wait(2200);  // the last requests complete
      fleet::History history = fleet_harness.history();
      std::vector<fleet::Broken> violations = fleet::CheckHistory(fleet_file, history);
      fleet::Kept totals = fleet::MakeKept(fleet_file, history, 0, 1e300);
      if (json) {
        std::printf(
            "{\"fronts\": %zu, \"pulls\": %d, \"finished\": %d, \"share_near\": %.4f, "
            "\"exclusive_ran\": %zu, \"broken\": %s}\n",
            fleet_harness.size(), totals.asked, totals.finished, totals.Share(), history.ran.size(),
            ReportJson(violations).c_str());
      } else {
        PrintTable(fleet_harness, loop.now() - started_at);
        std::printf(
            "pulls: %d asked, %d finished, %.2f%% of them in their own zone; %zu exclusive ones "
            "ran\n",
            totals.asked, totals.finished, 100 * totals.Share(), history.ran.size());
        Print(violations);
        std::puts(violations.empty() ? "all promises kept" : "promises broken");
      }
      code = violations.empty() ? 0 : 3;
      loop.Unwatch(control.Get());
    }
    if (!temporary_folder.empty() && code == 0)
      fs::remove_all(temporary_folder);
    else if (!json)
      std::printf("logs and configurations: %s\n", folder.c_str());
    return code;
  }

  static void PrintTable(fleet::Harness& harness, Ms elapsed) {
    std::printf("-- %.1f s\n%s", elapsed / 1000, kTableHeader);
    for (std::size_t i = 0; i < harness.size(); ++i) {
      auto view = harness.Up(i) ? harness.view(i) : std::nullopt;
      PrintRow(i, harness.fleet().zones[static_cast<std::size_t>(harness.fleet().zone_of[i])],
               view ? &*view : nullptr);
    }
    std::fflush(stdout);
  }
};

// Sends a request to a running `fleet up` and returns the response; throws if there is none.
std::string SendControlRequest(loop::Loop& loop, int port, const std::string& request) {
  loop::Address local_address = ControlAddress(0);
  local_address.sin_addr.s_addr = htonl(127u << 24 | 1);
  loop::Descriptor fd(loop.environment(), loop.environment().OpenDatagrams(local_address));
  loop.environment().SendTo(fd.Get(), request, ControlAddress(port));
  constexpr Ms kResponseTimeout = 3000;
  std::vector<char> buffer(65536);
  for (Ms end = loop.now() + kResponseTimeout; loop.now() < end; loop.RunOnce(5)) {
    loop::Address from{};
    ssize_t received = loop.environment().ReceiveFrom(fd.Get(), buffer, from);
    if (received > 0)
      return std::string(buffer.data(), static_cast<std::size_t>(received));
  }
  throw std::runtime_error("no fleet answers at 127.0.0.3:" + std::to_string(port) +
                           "; start one with dunlinctl fleet up, or give its port with --port");
}

}  // namespace

std::vector<std::string> LeaseStatusAddresses(int port) {
  loop::Loop loop;
  auto identity = json::Parse(SendControlRequest(loop, port, kIdentifyRequest));
  std::vector<std::string> addresses;
  auto front_count =
      static_cast<std::size_t>(identity ? identity->GetNumber("fronts").value_or(0) : 0);
  for (std::size_t i = 0; i < front_count; ++i)
    addresses.push_back("127.0.0." + std::to_string(10 + i) + ":" + std::to_string(port + 600));
  return addresses;
}

namespace {

struct FaultCommand {
  std::string file;
  std::string environment = "up";
  std::string fleet_file;
  int port = 7400;
  int fronts = 0;
  std::uint64_t seed = 1;
  std::uint64_t seeds = 1;
  bool json = false;

  int operator()() {
    std::string text = schema::ReadFile(file);
    fleet::Script script = fleet::ReadFaultsText(file, text);
    if (environment == "up") {
      if (text.size() > kMaxFaultScriptBytes)
        throw std::runtime_error(file +
                                 ": above 60000 bytes; pass it to fleet up with --faults instead");
      loop::Loop loop;
      std::string response = SendControlRequest(loop, port, text);
      std::puts(response.c_str());
      return response.starts_with("taken") ? 0 : 1;
    }
    if (fleet_file.empty())
      throw std::runtime_error("--on stage needs --fleet FILE");
    fleet::FleetFile fleet_description = fleet::ReadFleetFile(fleet_file, fronts);
    if (std::string error = fleet::Unfit(script, fleet_description); !error.empty())
      throw std::runtime_error(file + ": " + error);
    fleet_description.requests_per_s =
        fleet_description.requests_per_s > 0
            ? fleet_description.requests_per_s
            : 1;  // the simulation checks the invariants on caches without real requests
    std::uint64_t failed_seeds = 0;
    std::size_t verdicts = 0;
    std::vector<fleet::Broken> first_violations;
    std::uint64_t first_failed_seed = 0;
    for (std::uint64_t current_seed = seed; current_seed < seed + seeds; ++current_seed) {
      fleet::History history = fleet::PlayStaged(fleet_description, script, current_seed);
      verdicts += history.verdicts.size();
      std::vector<fleet::Broken> violations = fleet::CheckHistory(fleet_description, history);
      if (seeds == 1 && !json)
        for (const fleet::VerdictSeen& verdict : history.verdicts) {
          std::string out;
          for (std::size_t zone = 0; zone < fleet_description.zones.size(); ++zone)
            if (verdict.out >> zone & 1)
              out += (out.empty() ? "" : ",") + fleet_description.zones[zone];
          std::printf("%7.2f s  front %zu epoch %u out %s\n", verdict.at / 1000, verdict.front,
                      verdict.epoch, out.empty() ? "none" : out.c_str());
        }
      if (!violations.empty() && ++failed_seeds == 1) {
        first_violations = violations;
        first_failed_seed = current_seed;
      }
    }
    if (json) {
      std::printf(
          "{\"seeds\": %llu, \"with_breaches\": %llu, \"verdicts\": %zu, \"first_seed\": %llu, "
          "\"broken\": %s}\n",
          static_cast<unsigned long long>(seeds), static_cast<unsigned long long>(failed_seeds),
          verdicts, static_cast<unsigned long long>(first_failed_seed),
          ReportJson(first_violations).c_str());
    } else {
      std::printf("staged, %llu seeds, %zu verdicts: %llu with promises broken\n",
                  static_cast<unsigned long long>(seeds), verdicts,
                  static_cast<unsigned long long>(failed_seeds));
      if (failed_seeds) {
        std::printf("the first, seed %llu:\n", static_cast<unsigned long long>(first_failed_seed));
        Print(first_violations);
      }
    }
    return failed_seeds ? 3 : 0;
  }
};

struct ViewCommand {
  int port = 7400;
  bool json = false;
  int operator()() const {
    loop::Loop loop;
    auto identity = json::Parse(SendControlRequest(loop, port, kIdentifyRequest));
    if (!identity)
      throw std::runtime_error("the process at 127.0.0.3:" + std::to_string(port) +
                               " is not a running fleet");
    auto front_count = static_cast<std::size_t>(identity->GetNumber("fronts").value_or(0));
    loop::Address local_address = ControlAddress(0);
    local_address.sin_addr.s_addr = htonl(127u << 24 | 1);
    loop::Descriptor fd(loop.environment(), loop.environment().OpenDatagrams(local_address));
    if (!json)
      std::fputs(kTableHeader, stdout);
    std::string json_list = "[";
    std::size_t unanswered = 0;
    for (std::size_t i = 0; i < front_count; ++i) {
      loop::Address front = fleet::Harness::at(i, static_cast<std::uint16_t>(port));
      std::string raw;
      auto view = fleet::AskView(loop, fd, front, &raw);
      unanswered += !view;
      if (json)
        json_list += (i ? ",\n " : "\n ") +
                     (view ? raw : "{\"self\":" + std::to_string(i) + ",\"silent\":true}");
      else
        PrintRow(i, view ? std::string(view->GetString("zone")) : "", view ? &*view : nullptr);
    }
    if (json)
      std::printf("%s\n]\n", json_list.c_str());
    return unanswered ? 4 : 0;
  }
};

}  // namespace

void AddFleet(CLI::App& app, int& code) {
  CLI::App* fleet = app.add_subcommand(
      "fleet", "many fronts on loopback: what goes wrong between them, what each holds");
  fleet->require_subcommand(1);
  auto up = std::make_shared<UpCommand>();
  CLI::App* command = fleet->add_subcommand(
      "up", "start fronts, toy caches and a fault relay; show a live table until Ctrl-C or --for");
  command->footer(
      "exit: 0 all promises kept, 3 one was broken (it is told with its evidence), 1 bad input, "
      "nothing started");
  command->add_option("file", up->file, "the fleet, JSON with comments (docs/operators/fleet.md)")
      ->required();
  command->add_option("--fronts", up->fronts, "in place of the file's number")
      ->check(CLI::Range(2, 64));
  command->add_option(
      "--faults", up->faults,
      "a script of faults to play from the start; ends with it unless --for is given");
  command->add_option("--for", up->duration, "seconds; without it and --faults until Ctrl-C")
      ->check(CLI::Range(0.1, 86400.0));
  command->add_option("--seed", up->seed, "of the relay's and the clients' chance")
      ->capture_default_str();
  command->add_option(
      "--folder", up->folder,
      "where configurations and logs stay; else a scratch folder, kept where a promise broke");
  command->add_option("--program", up->program, "the front's program; else the one beside this");
  command->add_option("--toy", up->cache_program,
                      "the toy caches' program; else the one beside this");
  command->add_flag("--json", up->json, "one JSON report at the end, no table");
  command->add_flag("--quiet", up->quiet, "no live table");
  command->callback([up, &code] { code = (*up)(); });
  auto fault = std::make_shared<FaultCommand>();
  command = fleet->add_subcommand(
      "fault", "play a script of faults on the fleet that is up, or on staged members");
  command->footer(
      "exit: 0 taken (stage: all promises kept), 3 a promise was broken on the stage, 1 bad input "
      "or no fleet up");
  command
      ->add_option("file", fault->file, "the script, JSON with comments (docs/operators/fleet.md)")
      ->required();
  command
      ->add_option("--on", fault->environment,
                   "up: the processes of fleet up; stage: virtual time, members only")
      ->check(CLI::IsMember({"up", "stage"}))
      ->capture_default_str();
  command->add_option("--port", fault->port, "the fleet's port")->capture_default_str();
  command->add_option("--fleet", fault->fleet_file, "with --on stage: the fleet's file");
  command->add_option("--fronts", fault->fronts, "with --on stage: in place of the file's number")
      ->check(CLI::Range(2, 64));
  command->add_option("--seed", fault->seed, "with --on stage: the first seed")
      ->capture_default_str();
  command->add_option("--seeds", fault->seeds, "with --on stage: how many")
      ->capture_default_str()
      ->check(CLI::Range(1, 1000000));
  command->add_flag("--json", fault->json, "with --on stage: the report as JSON");
  command->callback([fault, &code] { code = (*fault)(); });
  auto view = std::make_shared<ViewCommand>();
  command = fleet->add_subcommand(
      "view", "what each front of the fleet that is up holds: members, zones, verdict, epoch");
  command->footer("exit: 0 every front answered, 4 some did not, 1 no fleet up");
  command->add_option("--port", view->port, "the fleet's port")->capture_default_str();
  command->add_flag("--json", view->json, "every front's whole view as a JSON list");
  command->callback([view, &code] { code = (*view)(); });
}

}  // namespace dunlinwick::ctl
