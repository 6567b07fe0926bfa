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

// Creates a new file, complete or not at all: it is written under a temporary name beside `path`
// and then linked to `path`, which fails if that exists. So neither the input nor any other file is
// ever overwritten.
void WriteNewFile(const std::string& path, const std::string& text) {
  auto fail = [&](const std::string& error) {
    throw migrate::MigrationError(path + ": cannot be written: " + error);
  };
  std::string temporary_path = path + ".XXXXXX";
  int fd = ::mkstemp(temporary_path.data());
  if (fd < 0)
    fail(std::strerror(errno));
  std::string error;
  for (std::size_t written = 0; written < text.size() && error.empty();) {
    ssize_t count = ::write(fd, text.data() + written, text.size() - written);
    if (count < 0 && errno == EINTR)
      continue;
    if (count < 0)
      error = std::strerror(errno);
    else
      written += static_cast<std::size_t>(count);
  }
  if (error.empty() && (::fchmod(fd, 0644) != 0 || ::fsync(fd) != 0))
    error = std::strerror(errno);
  ::close(fd);
  if (error.empty() && ::link(temporary_path.c_str(), path.c_str()) != 0)
    error = errno == EEXIST ? "the file exists; choose another name or remove it first"
                            : std::strerror(errno);
  ::unlink(temporary_path.c_str());
  if (!error.empty())
    fail(error);
}

void Print(const std::vector<migrate::FieldNote>& notes, const char* heading) {
  for (const migrate::FieldNote& note : notes)
    std::printf("%s %s: %s\n", heading, note.field.c_str(), note.description.c_str());
}

struct MigrateCommand {
  std::string file;
  std::string output;
  std::string direct = "keep";
  std::string joins = "keep";
  std::string probes = "keep";
  std::vector<std::string> ticketed;
  migrate::MigrationOptions target;
  bool dry_run = false;
  bool json = false;

  static std::optional<bool> ParseChoice(const std::string& choice) {
    return choice == "keep" ? std::nullopt : std::optional<bool>(choice == "yes");
  }

  void ReadTickets() {
    for (const std::string& option : ticketed) {
      std::size_t separator = option.rfind('=');
      char* end = nullptr;
      double ms = separator == option.npos ? 0 : std::strtod(option.c_str() + separator + 1, &end);
      if (separator == option.npos || separator == 0 || !end || *end || !(ms > 0) || ms > 1e9)
        throw migrate::MigrationError("--ticketed " + option +
                                      ": must be an offering's name, =, and milliseconds above 0");
      target.deduplication_windows[option.substr(0, separator)] = ms;
    }
  }

  std::string ReportJson(const migrate::MigrationResult& outcome) const {
    rapidjson::StringBuffer buffer;
    rapidjson::PrettyWriter<rapidjson::StringBuffer> writer(buffer);
    auto text = [&](const char* key, const std::string& value) {
      writer.Key(key);
      writer.String(value.c_str(), static_cast<rapidjson::SizeType>(value.size()));
    };
    auto write_notes = [&](const char* key, const std::vector<migrate::FieldNote>& notes) {
      writer.Key(key);
      writer.StartArray();
      for (const migrate::FieldNote& note : notes) {
        writer.StartObject();
        text("field", note.field);
        text("what", note.description);
        writer.EndObject();
      }
      writer.EndArray();
    };
    writer.StartObject();
    text("file", file);
    writer.Key("written");
    dry_run ? writer.Null() : writer.String(output.c_str());
    write_notes("changed", outcome.changed);
    write_notes("left", outcome.not_migrated);
    writer.EndObject();
    return buffer.GetString();
  }

  int operator()() {
    try {
      ReadTickets();
      target.direct = ParseChoice(direct);
      target.joins = ParseChoice(joins);
      target.probes = ParseChoice(probes);
      if (output.empty() && !dry_run)
        throw migrate::MigrationError("--out NEW or --dry-run is needed: nothing was written");
      std::error_code error_code;
      if (!output.empty() && fs::equivalent(file, output, error_code))
        throw migrate::MigrationError(output + ": is the input file, which is never overwritten");
      migrate::MigrationResult outcome =
          migrate::MigrateConfiguration(schema::ReadFile(file), file, target);
      if (!dry_run)
        WriteNewFile(output, outcome.text);
      if (json) {
        std::puts(ReportJson(outcome).c_str());
      } else {
        Print(outcome.changed, "changed");
        Print(outcome.not_migrated, "left behind");
        if (outcome.changed.empty())
          std::puts("nothing to change: the file is of the new shape");
        std::printf("%s\n", dry_run ? "nothing was written" : ("written: " + output).c_str());
      }
      return outcome.not_migrated.empty() ? 0 : 3;
    } catch (const std::exception& error) {
      std::fprintf(stderr, "dunlinctl: %s\n", error.what());
      return 2;
    }
  }
};

}  // namespace

void AddConfig(CLI::App& app, int& code) {
  CLI::App* config =
      app.add_subcommand("config", "a front's configuration: move it to the new shape");
  config->require_subcommand(1);
  CLI::App* migrate = config->add_subcommand(
      "migrate", "write the counterpart of a configuration for the new shape");
  auto migration = std::make_shared<MigrateCommand>();
  migrate->footer(
      "exit: 0 all carried over, 3 something was left behind (it is listed), 2 bad input, nothing "
      "written");
  migrate
      ->add_option("file", migration->file, "the configuration of the old shape; it is only read")
      ->required();
  migrate->add_option("--out", migration->output,
                      "where the new one goes; a file that is there is not overwritten");
  migrate->add_flag("--dry-run", migration->dry_run, "change nothing, only list");
  migrate->add_flag("--json", migration->json, "the list as JSON");
  migrate->add_option("--siblings", migration->target.siblings, "which caches may fill another")
      ->check(CLI::IsMember({"none", "location", "any"}))
      ->capture_default_str();
  migrate->add_option("--ticketed", migration->ticketed,
                      "OFFERING=MS: its repeats are dropped everywhere for so long");
  for (auto [name, choice, description] :
       {std::tuple{"--direct", &migration->direct, "pulls may go past the caches"},
        std::tuple{"--joins", &migration->joins, "pulls may join a fill under way"},
        std::tuple{"--probes", &migration->probes, "caches may be probed"}})
    migrate->add_option(name, *choice, description)
        ->check(CLI::IsMember({"keep", "yes", "no"}))
        ->capture_default_str();
  migrate->callback([migration, &code] { code = (*migration)(); });
}

}  // namespace dunlinwick::ctl
