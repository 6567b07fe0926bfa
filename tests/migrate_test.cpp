// Migration of a configuration to the new format: the resulting text, the files that the command
// reads and writes, and a front that serves with the result on loopback. Arguments: an old
// configuration, dunlinctl, dunlinwick.
#include "migrate/migrate.hpp"

#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "front/configuration.hpp"
#include "kit.hpp"

using namespace kit;
using migrate::MigrationOptions;
namespace fs = std::filesystem;

namespace {

std::string example, dunlinctl_path, dunlinwick_path;
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
std::string Replace(std::string text, const std::string& from, const std::string& to) {
  assert(text.find(from) != text.npos);
  return text.replace(text.find(from), from.size(), to);
}
bool HasNote(const std::vector<migrate::FieldNote>& notes, const std::string& field) {
  return std::any_of(notes.begin(), notes.end(),
                     [&](const migrate::FieldNote& n) { return n.field == field; });
}
DeploymentSettings SettingsOf(const std::string& text) {
  return front::ParseConfiguration(text, "new", "").settings;
}

void TestMigratedSettings() {
  DeploymentSettings old = SettingsOf(example);
  assert(old.reports_cache_status && old.link_report_index < 0 && old.link_kb_per_ms > 0 &&
         old.permissions.concurrent_attempts && old.fills_from_siblings);
  migrate::MigrationResult done = migrate::MigrateConfiguration(example, "f", {});
  DeploymentSettings s = SettingsOf(done.text);
  assert(!s.reports_cache_status && s.link_report_index == 2 && s.link_kb_per_ms == 0 &&
         !s.permissions.concurrent_attempts && !s.fills_from_siblings);
  for (const char* field :
       {"settings.limits.mayDuplicate", "settings.familyInfo.detail", "settings.familyInfo.lateral",
        "settings.familyInfo.pipeKbPerS", "settings.report.names", "settings.report.via"})
    assert(HasNote(done.changed, field));
  assert(done.not_migrated.size() == 2 &&
         HasNote(done.not_migrated, "settings.familyInfo.pipeKbPerS") &&
         HasNote(done.not_migrated, "settings.classes.1.idempotency"));
  // Everything else is unchanged.
  assert(s.request_classes[1].effect == Effect::kExclusive && s.permissions.direct_to_origin &&
         s.permissions.probe && s.max_attempts == old.max_attempts &&
         s.purge_completion_time == old.purge_completion_time &&
         s.fronts_in_zone == old.fronts_in_zone && s.max_retry_after == old.max_retry_after);
}

void TestMigrationIsIdempotent() {
  MigrationOptions options;
  options.deduplication_windows["order-handover"] = 6000;
  migrate::MigrationResult once = migrate::MigrateConfiguration(example, "f", options),
                           twice = migrate::MigrateConfiguration(once.text, "f", options);
  assert(twice.changed.empty() && twice.not_migrated.empty() && twice.text == once.text);
  DeploymentSettings s = SettingsOf(once.text);
  assert(s.request_classes[1].effect == Effect::kIdempotentWithKey &&
         s.request_classes[1].deduplication_scope == DeduplicationScope::kEverywhere &&
         s.request_classes[1].deduplication_window == 6000);
}

void TestOptionalFields() {
  MigrationOptions options;
  options.siblings = "any";
  options.direct = false;
  options.joins = true;
  options.probes = false;
  DeploymentSettings s = SettingsOf(migrate::MigrateConfiguration(example, "f", options).text);
  assert(s.fills_from_siblings && !s.permissions.direct_to_origin && s.permissions.coalesce &&
         !s.permissions.probe);
  // A report has at most four values.
  migrate::MigrationResult full = migrate::MigrateConfiguration(
      Replace(example, "[\"load_share\", \"concurrent\"]", "[\"depth\",\"tps\",\"x0\",\"err_ps\"]"),
      "f", {});
  assert(HasNote(full.not_migrated, "settings.report.names") &&
         SettingsOf(full.text).link_report_index == 3);
}

void TestInvalidInput() {
  struct Case {
    std::string text;
    std::string message;
  };
  MigrationOptions none;
  for (const Case& c :
       {Case{"", "f:1: "}, Case{"{\n\"name\": \"x\",\n}", "f:3: "}, Case{example + "x", "f:"},
        Case{"[]", "not a JSON object"}, Case{"{}", "listen"},
        Case{Replace(example, "\"pipeKbPerS\": [0, 120000]", "\"pipeKbPerS\": [0, \"wide\"]"),
             "familyInfo.pipeKbPerS is no number: wide"},
        Case{Replace(example, "\"repeatable\"", "\"twice\""),
             "classes.0.idempotency is none of repeatable, by_key, once: twice"},
        Case{Replace(example, "\"mayDuplicate\": true", "\"mayDuplicate\": \"yes\""),
             "limits.mayDuplicate is neither true nor false: yes"},
        Case{Replace(example, "\"maxAttempts\": 4", "\"maxAttempts\": 0"),
             "limits.maxAttempts is out of"},
        Case{
            Replace(example, "\"purgeDone\": 6000", "\"purgeDone\": 6000, \"detail\": \"so\\nso\""),
            "familyInfo.detail is none of all, hit, none: so_so"}}) {
    std::string message;
    try {
      migrate::MigrateConfiguration(c.text, "f", none);
    } catch (const migrate::MigrationError& error) {
      message = error.what();
    }
    assert(message.find(c.message) != message.npos && message.find('\n') == message.npos);
  }
  for (const char* name : {"no-such", "video-parts"}) {  // unknown; already repeatable
    MigrationOptions options;
    options.deduplication_windows[name] = 6000;
    bool refused = false;
    try {
      migrate::MigrateConfiguration(example, "f", options);
    } catch (const migrate::MigrationError&) {
      refused = true;
    }
    assert(refused);
  }
}

// ---- the command

struct CommandResult {
  int code;
  std::string out;
  std::string err;
};
CommandResult Run(const std::string& arguments) {
  fs::path out = folder / "out.txt", err = folder / "err.txt";
  int status = std::system(("'" + dunlinctl_path + "' config migrate " + arguments + " >'" +
                            out.string() + "' 2>'" + err.string() + "'")
                               .c_str());
  assert(WIFEXITED(status));
  CommandResult result{WEXITSTATUS(status), Read(out), Read(err)};
  fs::remove(out);
  fs::remove(err);
  return result;
}
std::string Quoted(const fs::path& path) {
  return std::string("'").append(path.string()).append("'");
}
std::size_t FileCount() {
  return static_cast<std::size_t>(
      std::distance(fs::directory_iterator(folder), fs::directory_iterator()));
}

void TestCommandFiles() {
  fs::path old = folder / "old.json", fresh = folder / "new.json", twin = folder / "twin.json";
  Write(old, example);
  CommandResult dry = Run(Quoted(old) + " --dry-run");
  assert(dry.code == 3 &&
         dry.out.find("left behind settings.classes.1.idempotency") != dry.out.npos &&
         FileCount() == 1);
  CommandResult done = Run(Quoted(old) + " --out " + Quoted(fresh));
  assert(done.code == 3 && Read(old) == example && FileCount() == 2);
  assert(Read(fresh) == migrate::MigrateConfiguration(example, "f", {}).text);
  // Neither its input, under any name, nor another existing file is overwritten.
  fs::create_hard_link(old, twin);
  std::string before = Read(fresh);
  for (const fs::path& taken : {old, twin, fresh}) {
    CommandResult result = Run(Quoted(old) + " --out " + Quoted(taken));
    assert(result.code == 2 && std::count(result.err.begin(), result.err.end(), '\n') == 1 &&
           result.out.empty());
  }
  assert(Read(old) == example && Read(fresh) == before && FileCount() == 3);
  CommandResult again = Run(Quoted(fresh) + " --ticketed order-handover=6000 --dry-run --json");
  assert(again.code == 0 && again.out.find("\"written\": null") != again.out.npos &&
         json::Parse(again.out));
  // Invalid input: a single line on stderr, exit code 2, nothing written.
  fs::path bad = folder / "bad.json", none = folder / "none.json";
  Write(bad, "{\n  \"name\": 1,,\n}");
  for (const std::string& arguments :
       {Quoted(bad) + " --dry-run", Quoted(none) + " --dry-run", Quoted(old),
        Quoted(folder) + " --dry-run", Quoted(old) + " --dry-run --ticketed order-handover=soon",
        Quoted(old) + " --dry-run --ticketed x=6000",
        Quoted(old) + " --out '" + (folder / "no/such/place.json").string() + "'"}) {
    CommandResult result = Run(arguments);
    assert(result.code == 2 && std::count(result.err.begin(), result.err.end(), '\n') == 1);
  }
  assert(Run(Quoted(bad) + " --dry-run").err.find("bad.json:2: ") != std::string::npos &&
         FileCount() == 4);
  assert(Run("--help").out.find("exit: 0 all carried over, 3 something") != std::string::npos);
}

// ---- a front that serves with the configuration, with fake servers on loopback

// In the new format, responses state only cache hits, so that a rejection from behind the cache
// counts as its source's: the request is sent to the same cache again, with another source. In the
// old format it is sent to the next cache.
void TestFrontServesBothFormats() {
  for (bool migrated : {false, true}) {
    loop::Loop loop;
    FarListener one, two, discovery;
    loop::Address at = FreeAddress();
    std::string text = migrated ? migrate::MigrateConfiguration(example, "f", {}).text : example;
    for (auto& [from, to] : {std::pair{std::string("127.0.0.1:8080"), kit::Text(at)},
                             {"127.0.0.1:4222", discovery.Text()},
                             {"127.0.0.1:5101", one.Text()},
                             {"127.0.0.1:5102", two.Text()}})
      text = Replace(text, from, to);
    fs::path file = folder / "front.json";
    Write(file, text);
    assert(std::system(("'" + dunlinwick_path + "' check --config " + Quoted(file) + " >/dev/null")
                           .c_str()) == 0);
    pid_t child = ::fork();
    assert(child >= 0);
    if (child == 0) {
      ::execl(dunlinwick_path.c_str(), dunlinwick_path.c_str(), "serve", "--config", file.c_str(),
              nullptr);
      ::_exit(127);
    }
    Far watch = discovery.Next(loop);
    Far client = Far::To(at);
    client.Send(
        "GET /ops/video-parts/7f3a HTTP/1.1\r\nX-Request-Id: 00000000000000a1\r\nX-Timeout-Ms: "
        "60000\r\n"
        "X-Group: 1\r\n\r\n");
    // The preferred cache of the object gets the request; the other one receives nothing yet.
    std::vector<std::pair<int, Far>> connections;
    std::vector<FarListener*> caches{&one, &two};
    auto accept_connections = [&] {
      for (int i = 0; i < 2; ++i) {
        int got = ::accept4(caches[static_cast<std::size_t>(i)]->fd.Get(), nullptr, nullptr,
                            SOCK_NONBLOCK);
        if (got >= 0)
          connections.emplace_back(i, Far(loop::Descriptor(got)));
      }
    };
    auto nth_request =
        [&](std::size_t n) -> std::pair<int, Far>* {  // the nth connection that carries the request
      accept_connections();
      for (auto& one : connections)
        if (one.second.Hears("want 00000000000000a1") && n-- == 0)
          return &one;
      return nullptr;
    };
    Until(loop, [&] { return nth_request(0) != nullptr; });
    int home = nth_request(0)->first;
    assert(nth_request(0)->second.got.find("miss=parent-1") != std::string::npos);
    std::this_thread::sleep_for(
        std::chrono::milliseconds(30));  // longer than the transit time to the cache
    nth_request(0)->second.Send("00000000000000a1 SHED report=x1:0.4;concurrent:3 0\r\n\r\n");
    Until(loop, [&] { return nth_request(1) != nullptr; });
    assert((nth_request(1)->first == home) == migrated);
    assert(!migrated || nth_request(1)->second.got.find("miss=origin") != std::string::npos);
    nth_request(1)->second.Send(
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
  dunlinctl_path = argv[2];
  dunlinwick_path = argv[3];
  std::string name = (fs::temp_directory_path() / "migrate-XXXXXX").string();
  assert(::mkdtemp(name.data()));
  folder = name;
  struct Case {
    const char* name;
    void (*run)();
  };
  for (Case c : {Case{"migrated settings are what the router reads", TestMigratedSettings},
                 {"a migrated configuration needs no further migration", TestMigrationIsIdempotent},
                 {"optional fields are set by the operator", TestOptionalFields},
                 {"invalid input is refused with position and reason", TestInvalidInput},
                 {"a front serves with both formats", TestFrontServesBothFormats},
                 {"the command writes nothing but its output file", TestCommandFiles}}) {
    std::puts(c.name);
    std::fflush(stdout);
    c.run();
  }
  fs::remove_all(folder);
}
