#include "ctl/drill.hpp"

#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>

#include "drill/run.hpp"
#include "mutants.hpp"
#include "schema/schema.hpp"

namespace dunlinwick::ctl {

namespace fs = std::filesystem;

namespace {

// Written beside and moved into place, so that nothing is seen half written.
void writeWhole(const fs::path& path, const std::string& text) {
  fs::path part = path;
  part += ".part";
  std::ofstream file(part, std::ios::binary);
  file << text;
  file.close();
  if (!file) throw std::runtime_error(part.string() + " cannot be written");
  fs::rename(part, path);
}

struct Run {
  std::string file, out;
  std::uint64_t seed = 1;
  bool json = false, logs = false, quiet = false;

  int operator()() const {
    drill::Script script = drill::readScript(file);
    drill::Options options;
    options.seed = seed;
    std::ofstream trace, said;
    if (!out.empty()) {
      fs::create_directories(out);
      trace.open(fs::path(out) / "trace.part");
      if (!trace) throw std::runtime_error(out + " cannot be written to");
      options.trace = &trace;
      if (logs) said.open(fs::path(out) / "fronts.log"), options.logs = &said;
    }
    bool terminal = ::isatty(STDERR_FILENO) && !quiet;
    if (terminal)
      options.progress = [](double done) { std::fprintf(stderr, "\r%3.0f %%", 100 * done); };
    drill::Outcome o = drill::play(script, options);
    if (terminal) std::fprintf(stderr, "\r     \r");
    if (!out.empty()) {
      trace.close();
      fs::rename(fs::path(out) / "trace.part", fs::path(out) / "trace");
      writeWhole(fs::path(out) / "report.json", drill::report(o));
      writeWhole(fs::path(out) / "drill.json", drill::written(script));
    }
    std::fputs((json ? drill::report(o) : drill::table(o)).c_str(), stdout);
    return o.kept() ? 0 : 3;
  }
};

struct Mutants {
  std::uint64_t seeds = 10;
  bool json = false;

  int operator()() const {
    bool all = true;
    std::string out;
    for (const mutants::Mutant& m : mutants::all()) {
      if (::isatty(STDERR_FILENO)) std::fprintf(stderr, "\r\x1b[K%s", m.name.c_str());
      mutants::Verdict v = mutants::judge(m, seeds);
      bool good = v.byItsRule && v.unbrokenKept;
      all &= good;
      if (json) {
        out += out.empty() ? "[\n" : ",\n";
        out += " {\"name\": \"" + m.name + "\", \"breaks\": \"" + rules::word(m.breaks) + "\", \"caught\": " +
               (v.byItsRule ? "true" : "false") + ", \"unbroken_kept\": " + (v.unbrokenKept ? "true" : "false") +
               ", \"seed\": " + std::to_string(v.seed) + "}";
        continue;
      }
      out += (good ? "caught  " : v.byItsRule ? "UNSOUND " : v.caught ? "OTHER   " : "MISSED  ") + m.name + " (" + m.what +
             ")\n";
      if (v.byItsRule)
        out += "        " + std::string(rules::word(m.breaks)) + ", seed " + std::to_string(v.seed) + ": " + v.first.what + "\n";
      if (v.byItsRule && !v.unbrokenKept) out += "        but the unbroken front breaks a rule there too\n";
    }
    if (::isatty(STDERR_FILENO)) std::fprintf(stderr, "\r\x1b[K");
    std::fputs((json ? out + "\n]\n" : out).c_str(), stdout);
    return all ? 0 : 3;
  }
};

}  // namespace

void addDrill(CLI::App& app, int& code) {
  CLI::App* drill = app.add_subcommand("drill", "rehearse failures on the fronts' own code, from a script and a seed");
  drill->require_subcommand(1);
  auto run = std::make_shared<Run>();
  CLI::App* one = drill->add_subcommand("run", "play a script; exit 0: rules kept, 3: one broken, 1: bad input");
  one->add_option("script", run->file, "the drill, JSON with comments")->required();
  one->add_option("--seed", run->seed, "all chance follows from it")->capture_default_str();
  one->add_option("--report", run->out, "a folder for report.json, drill.json and the trace");
  one->add_flag("--json", run->json, "the report as JSON in place of the table");
  one->add_flag("--logs", run->logs, "with --report: what the fronts say, in fronts.log");
  one->add_flag("--quiet", run->quiet, "no progress");
  one->callback([run, &code] { code = (*run)(); });
  auto broken = std::make_shared<Mutants>();
  one = drill->add_subcommand("mutants", "every front broken on purpose, and by which rule it was caught; exit 0: all were");
  one->add_option("--seeds", broken->seeds, "runs until one counts as missed")->capture_default_str();
  one->add_flag("--json", broken->json, "as JSON in place of lines");
  one->callback([broken, &code] { code = (*broken)(); });
}

}  // namespace dunlinwick::ctl
