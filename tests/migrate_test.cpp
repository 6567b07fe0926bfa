// The move of a configuration to the new shape: what is made of it, what the command does to files,
// and a front that serves by it on loopback. Arguments: an old configuration, dunlinctl,
// dunlinwick.
#include "migrate/migrate.hpp"

#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "front/charter.hpp"
#include "kit.hpp"

using namespace kit;
using migrate::Target;
namespace fs = std::filesystem;

namespace {

std::string example, ctl, node;
fs::path folder;

std::string Read(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  assert(file);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}
void Write(const fs::path& path, const std::string& text) {
  std::ofstream(path, std::ios::binary) << text;
  assert(Read(path) == text);
}
std::string With(std::string text, const std::string& from, const std::string& to) {
  assert(text.find(from) != text.npos);
  return text.replace(text.find(from), from.size(), to);
}
bool Names(const std::vector<migrate::Note>& notes, const std::string& field) {
  return std::any_of(notes.begin(), notes.end(),
                     [&](const migrate::Note& n) { return n.field == field; });
}
DeploymentSettings SettingsOf(const std::string& text) {
  return front::ParseConfiguration(text, "new", "").settings;
}

void TheNewShapeIsWhatTheModuleReads() {
  DeploymentSettings old = SettingsOf(example);
  assert(old.reports_cache_status && old.link_report_index < 0 && old.link_kb_per_ms > 0 &&
         old.permissions.concurrent_attempts && old.fills_from_siblings);
  migrate::Outcome done = migrate::Migrated(example, "f", {});
  DeploymentSettings s = SettingsOf(done.text);
  assert(!s.reports_cache_status && s.link_report_index == 2 && s.link_kb_per_ms == 0 &&
         !s.permissions.concurrent_attempts && !s.fills_from_siblings);
  for (const char* field :
       {"settings.limits.mayDuplicate", "settings.familyInfo.detail", "settings.familyInfo.lateral",
        "settings.familyInfo.pipeKbPerS", "settings.report.names", "settings.report.via"})
    assert(Names(done.changed, field));
  assert(done.left.size() == 2 && Names(done.left, "settings.familyInfo.pipeKbPerS") &&
         Names(done.left, "settings.classes.1.idempotency"));
  // All else as it was.
  assert(s.request_classes[1].effect == Effect::kExclusive && s.permissions.direct_to_origin &&
         s.permissions.probe && s.max_attempts == old.max_attempts &&
         s.purge_completion_time == old.purge_completion_time &&
         s.zone_replicas == old.zone_replicas && s.max_retry_after == old.max_retry_after);
}

void WhatIsMovedNeedsNoFurtherMove() {
  Target target;
  target.tickets["order-handover"] = 6000;
  migrate::Outcome once = migrate::Migrated(example, "f", target),
                   twice = migrate::Migrated(once.text, "f", target);
  assert(twice.changed.empty() && twice.left.empty() && twice.text == once.text);
  DeploymentSettings s = SettingsOf(once.text);
  assert(s.request_classes[1].effect == Effect::kIdempotentWithKey &&
         s.request_classes[1].deduplication_scope == DeduplicationScope::kEverywhere &&
         s.request_classes[1].deduplication_window == 6000);
}

void ChoicesAreTheOperators() {
  Target target;
  target.siblings = "any";
  target.direct = false;
  target.joins = true;
  target.probes = false;
  DeploymentSettings s = SettingsOf(migrate::Migrated(example, "f", target).text);
  assert(s.fills_from_siblings && !s.permissions.direct_to_origin && s.permissions.coalesce &&
         !s.permissions.probe);
  // Four values are the most in a report.
  migrate::Outcome full = migrate::Migrated(
      With(example, "[\"load_share\", \"concurrent\"]", "[\"depth\",\"tps\",\"x0\",\"err_ps\"]"),
      "f", {});
  assert(Names(full.left, "settings.report.names") && SettingsOf(full.text).link_report_index == 3);
}

void BadInputIsRefusedWithPlaceAndReason() {
  struct Case {
    std::string text;
    std::string said;
  };
  Target none;
  for (const Case& c :
       {Case{"", "f:1: "}, Case{"{\n\"name\": \"x\",\n}", "f:3: "}, Case{example + "x", "f:"},
        Case{"[]", "not a JSON object"}, Case{"{}", "listen"},
        Case{With(example, "\"pipeKbPerS\": [0, 120000]", "\"pipeKbPerS\": [0, \"wide\"]"),
             "familyInfo.pipeKbPerS is no number: wide"},
        Case{With(example, "\"repeatable\"", "\"twice\""),
             "classes.0.idempotency is none of repeatable, by_key, once: twice"},
        Case{With(example, "\"mayDuplicate\": true", "\"mayDuplicate\": \"yes\""),
             "limits.mayDuplicate is neither true nor false: yes"},
        Case{With(example, "\"maxAttempts\": 4", "\"maxAttempts\": 0"),
             "limits.maxAttempts is out of"},
        Case{With(example, "\"purgeDone\": 6000", "\"purgeDone\": 6000, \"detail\": \"so\\nso\""),
             "familyInfo.detail is none of all, hit, none: so_so"}}) {
    std::string said;
    try {
      migrate::Migrated(c.text, "f", none);
    } catch (const migrate::Refused& fault) {
      said = fault.what();
    }
    assert(said.find(c.said) != said.npos && said.find('\n') == said.npos);
  }
  for (const char* name : {"no-such", "video-parts"}) {  // not there; rerunnable already
    Target target;
    target.tickets[name] = 6000;
    bool refused = false;
    try {
      migrate::Migrated(example, "f", target);
    } catch (const migrate::Refused&) {
      refused = true;
    }
    assert(refused);
  }
}

// ---- the command

struct Said {
  int code;
  std::string out;
  std::string err;
};
Said Run(const std::string& arguments) {
  fs::path out = folder / "out.txt", err = folder / "err.txt";
  int status = std::system(("'" + ctl + "' config migrate " + arguments + " >'" + out.string() +
                            "' 2>'" + err.string() + "'")
                               .c_str());
  assert(WIFEXITED(status));
  Said said{WEXITSTATUS(status), Read(out), Read(err)};
  fs::remove(out);
  fs::remove(err);
  return said;
}
std::string Quoted(const fs::path& path) {
  return std::string("'").append(path.string()).append("'");
}
std::size_t Files() {
  return static_cast<std::size_t>(
      std::distance(fs::directory_iterator(folder), fs::directory_iterator()));
}

void TheCommandTouchesNothingButItsOutput() {
  fs::path old = folder / "old.json", fresh = folder / "new.json", twin = folder / "twin.json";
  Write(old, example);
  Said dry = Run(Quoted(old) + " --dry-run");
  assert(dry.code == 3 &&
         dry.out.find("left behind settings.classes.1.idempotency") != dry.out.npos &&
         Files() == 1);
  Said done = Run(Quoted(old) + " --out " + Quoted(fresh));
  assert(done.code == 3 && Read(old) == example && Files() == 2);
  assert(Read(fresh) == migrate::Migrated(example, "f", {}).text);
  // Neither its input, under whatever name, nor another file is overwritten.
  fs::create_hard_link(old, twin);
  std::string before = Read(fresh);
  for (const fs::path& taken : {old, twin, fresh}) {
    Said said = Run(Quoted(old) + " --out " + Quoted(taken));
    assert(said.code == 2 && std::count(said.err.begin(), said.err.end(), '\n') == 1 &&
           said.out.empty());
  }
  assert(Read(old) == example && Read(fresh) == before && Files() == 3);
  Said again = Run(Quoted(fresh) + " --ticketed order-handover=6000 --dry-run --json");
  assert(again.code == 0 && again.out.find("\"written\": null") != again.out.npos &&
         json::Parse(again.out));
  // Bad input: one line, 2, nothing written.
  fs::path bad = folder / "bad.json", none = folder / "none.json";
  Write(bad, "{\n  \"name\": 1,,\n}");
  for (const std::string& arguments :
       {Quoted(bad) + " --dry-run", Quoted(none) + " --dry-run", Quoted(old),
        Quoted(folder) + " --dry-run", Quoted(old) + " --dry-run --ticketed order-handover=soon",
        Quoted(old) + " --dry-run --ticketed x=6000",
        Quoted(old) + " --out '" + (folder / "no/such/place.json").string() + "'"}) {
    Said said = Run(arguments);
    assert(said.code == 2 && std::count(said.err.begin(), said.err.end(), '\n') == 1);
  }
  assert(Run(Quoted(bad) + " --dry-run").err.find("bad.json:2: ") != std::string::npos &&
         Files() == 4);
  assert(Run("--help").out.find("exit: 0 all carried over, 3 something") != std::string::npos);
}

// ---- a front that serves by it, among stand-ins on loopback

// A refusal that comes from behind the cache is its source's where answers tell only hits: the pull
// is asked of the same cache again, with another source. By the old shape the next cache is asked.
void AFrontServesByBothShapes() {
  for (bool moved : {false, true}) {
    loop::Loop loop;
    FarListener one, two, discovery;
    loop::Address at = FreeAddress();
    std::string text = moved ? migrate::Migrated(example, "f", {}).text : example;
    for (auto& [from, to] : {std::pair{std::string("127.0.0.1:8080"), kit::Text(at)},
                             {"127.0.0.1:4222", discovery.Text()},
                             {"127.0.0.1:5101", one.Text()},
                             {"127.0.0.1:5102", two.Text()}})
      text = With(text, from, to);
    fs::path file = folder / "front.json";
    Write(file, text);
    assert(std::system(("'" + node + "' check --config " + Quoted(file) + " >/dev/null").c_str()) ==
           0);
    pid_t child = ::fork();
    assert(child >= 0);
    if (child == 0) {
      ::execl(node.c_str(), node.c_str(), "serve", "--config", file.c_str(), nullptr);
      ::_exit(127);
    }
    Far watch = discovery.Next(loop);
    Far client = Far::To(at);
    client.Send(
        "GET /ops/video-parts/7f3a HTTP/1.1\r\nX-Request-Id: 00000000000000a1\r\nX-Timeout-Ms: "
        "60000\r\n"
        "X-Group: 1\r\n\r\n");
    // Whichever cache is the home gets the pull; the other hears nothing of it yet.
    std::vector<std::pair<int, Far>> heard;
    std::vector<FarListener*> stores{&one, &two};
    auto take = [&] {
      for (int i = 0; i < 2; ++i) {
        int got = ::accept4(stores[static_cast<std::size_t>(i)]->fd.Get(), nullptr, nullptr,
                            SOCK_NONBLOCK);
        if (got >= 0)
          heard.emplace_back(i, Far(loop::Descriptor(got)));
      }
    };
    auto wanted =
        [&](std::size_t n) -> std::pair<int, Far>* {  // the nth connection that carries the pull
      take();
      for (auto& one : heard)
        if (one.second.Hears("want 00000000000000a1") && n-- == 0)
          return &one;
      return nullptr;
    };
    Until(loop, [&] { return wanted(0) != nullptr; });
    int home = wanted(0)->first;
    assert(wanted(0)->second.got.find("miss=parent-1") != std::string::npos);
    std::this_thread::sleep_for(std::chrono::milliseconds(30));  // beyond the way to the cache
    wanted(0)->second.Send("00000000000000a1 SHED report=x1:0.4;concurrent:3 0\r\n\r\n");
    Until(loop, [&] { return wanted(1) != nullptr; });
    assert((wanted(1)->first == home) == moved);
    assert(!moved || wanted(1)->second.got.find("miss=origin") != std::string::npos);
    wanted(1)->second.Send(
        "00000000000000a1 HIT entity=t,issued=1,remark=local,report=x1:0.4 2\r\nok\r\n");
    Until(loop, [&] { return client.Hears("\r\n\r\nok"); });
    ::kill(child, SIGTERM);
    int status = -1;
    Until(loop, [&] { return ::waitpid(child, &status, WNOHANG) == child; });
    assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
    fs::remove(file);
  }
}

}  // namespace

int main(int argc, char** argv) {
  assert(argc == 4);
  example = Read(argv[1]);
  ctl = argv[2];
  node = argv[3];
  std::string name = (fs::temp_directory_path() / "migrate-XXXXXX").string();
  assert(::mkdtemp(name.data()));
  folder = name;
  struct Case {
    const char* name;
    void (*run)();
  };
  for (Case c :
       {Case{"the new shape is what the module reads", TheNewShapeIsWhatTheModuleReads},
        {"what is moved needs no further move", WhatIsMovedNeedsNoFurtherMove},
        {"choices are the operators'", ChoicesAreTheOperators},
        {"bad input is refused with place and reason", BadInputIsRefusedWithPlaceAndReason},
        {"a front serves by both shapes", AFrontServesByBothShapes},
        {"the command touches nothing but its output", TheCommandTouchesNothingButItsOutput}}) {
    std::puts(c.name);
    std::fflush(stdout);
    c.run();
  }
  fs::remove_all(folder);
}
