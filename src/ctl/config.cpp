#include "ctl/config.hpp"

#include <rapidjson/prettywriter.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>

#include "migrate/migrate.hpp"
#include "schema/schema.hpp"

namespace dunlinwick::ctl {

namespace fs = std::filesystem;

namespace {

// A new file or none: it is made whole beside its place and linked there, which fails where a name
// is taken. So neither the input nor anything else is ever overwritten.
void WriteNew(const std::string& path, const std::string& text) {
  auto fail = [&](const std::string& why) {
    throw migrate::MigrationError(path + ": cannot be written: " + why);
  };
  std::string part = path + ".XXXXXX";
  int fd = ::mkstemp(part.data());
  if (fd < 0)
    fail(std::strerror(errno));
  std::string why;
  for (std::size_t at = 0; at < text.size() && why.empty();) {
    ssize_t n = ::write(fd, text.data() + at, text.size() - at);
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0)
      why = std::strerror(errno);
    else
      at += static_cast<std::size_t>(n);
  }
  if (why.empty() && (::fchmod(fd, 0644) != 0 || ::fsync(fd) != 0))
    why = std::strerror(errno);
  ::close(fd);
  if (why.empty() && ::link(part.c_str(), path.c_str()) != 0)
    why = errno == EEXIST ? "it is there already; give another name or take it away first"
                          : std::strerror(errno);
  ::unlink(part.c_str());
  if (!why.empty())
    fail(why);
}

void Print(const std::vector<migrate::FieldNote>& notes, const char* head) {
  for (const migrate::FieldNote& n : notes)
    std::printf("%s %s: %s\n", head, n.field.c_str(), n.description.c_str());
}

struct Migrate {
  std::string file;
  std::string out;
  std::string direct = "keep";
  std::string joins = "keep";
  std::string probes = "keep";
  std::vector<std::string> tickets;
  migrate::MigrationOptions target;
  bool dry_run = false;
  bool json = false;

  static std::optional<bool> choice(const std::string& word) {
    return word == "keep" ? std::nullopt : std::optional<bool>(word == "yes");
  }

  void ReadTickets() {
    for (const std::string& one : tickets) {
      std::size_t eq = one.rfind('=');
      char* end = nullptr;
      double ms = eq == one.npos ? 0 : std::strtod(one.c_str() + eq + 1, &end);
      if (eq == one.npos || eq == 0 || !end || *end || !(ms > 0) || ms > 1e9)
        throw migrate::MigrationError("--ticketed " + one +
                                      ": must be an offering's name, =, and milliseconds above 0");
      target.deduplication_windows[one.substr(0, eq)] = ms;
    }
  }

  std::string report(const migrate::MigrationResult& done) const {
    rapidjson::StringBuffer bytes;
    rapidjson::PrettyWriter<rapidjson::StringBuffer> writer(bytes);
    auto text = [&](const char* key, const std::string& value) {
      writer.Key(key);
      writer.String(value.c_str(), static_cast<rapidjson::SizeType>(value.size()));
    };
    auto all = [&](const char* key, const std::vector<migrate::FieldNote>& notes) {
      writer.Key(key);
      writer.StartArray();
      for (const migrate::FieldNote& n : notes) {
        writer.StartObject();
        text("field", n.field);
        text("what", n.description);
        writer.EndObject();
      }
      writer.EndArray();
    };
    writer.StartObject();
    text("file", file);
    writer.Key("written");
    dry_run ? writer.Null() : writer.String(out.c_str());
    all("changed", done.changed);
    all("left", done.not_migrated);
    writer.EndObject();
    return bytes.GetString();
  }

  int operator()() {
    try {
      ReadTickets();
      target.direct = choice(direct);
      target.joins = choice(joins);
      target.probes = choice(probes);
      if (out.empty() && !dry_run)
        throw migrate::MigrationError("--out NEW or --dry-run is needed: nothing was written");
      std::error_code none;
      if (!out.empty() && fs::equivalent(file, out, none))
        throw migrate::MigrationError(out + ": is the file that is read; it is never overwritten");
      migrate::MigrationResult done =
          migrate::MigrateConfiguration(schema::ReadFile(file), file, target);
      if (!dry_run)
        WriteNew(out, done.text);
      if (json) {
        std::puts(report(done).c_str());
      } else {
        Print(done.changed, "changed");
        Print(done.not_migrated, "left behind");
        if (done.changed.empty())
          std::puts("nothing to change: the file is of the new shape");
        std::printf("%s\n", dry_run ? "nothing was written" : ("written: " + out).c_str());
      }
      return done.not_migrated.empty() ? 0 : 3;
    } catch (const std::exception& fault) {
      std::fprintf(stderr, "dunlinctl: %s\n", fault.what());
      return 2;
    }
  }
};

}  // namespace

void AddConfig(CLI::App& app, int& code) {
  CLI::App* config =
      app.add_subcommand("config", "a front's configuration: move it to the new shape");
  config->require_subcommand(1);
  CLI::App* move = config->add_subcommand(
      "migrate", "write the counterpart of a configuration for the new shape");
  auto how = std::make_shared<Migrate>();
  move->footer(
      "exit: 0 all carried over, 3 something was left behind (it is listed), 2 bad input, nothing "
      "written");
  move->add_option("file", how->file, "the configuration of the old shape; it is only read")
      ->required();
  move->add_option("--out", how->out,
                   "where the new one goes; a file that is there is not overwritten");
  move->add_flag("--dry-run", how->dry_run, "change nothing, only list");
  move->add_flag("--json", how->json, "the list as JSON");
  move->add_option("--siblings", how->target.siblings, "which caches may fill another")
      ->check(CLI::IsMember({"none", "location", "any"}))
      ->capture_default_str();
  move->add_option("--ticketed", how->tickets,
                   "OFFERING=MS: its repeats are dropped everywhere for so long");
  for (auto [name, to, about] :
       {std::tuple{"--direct", &how->direct, "pulls may go past the caches"},
        std::tuple{"--joins", &how->joins, "pulls may join a fill under way"},
        std::tuple{"--probes", &how->probes, "caches may be probed"}})
    move->add_option(name, *to, about)
        ->check(CLI::IsMember({"keep", "yes", "no"}))
        ->capture_default_str();
  move->callback([how, &code] { code = (*how)(); });
}

}  // namespace dunlinwick::ctl
