#include "ctl/drill.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>

#include "drill/hunt.hpp"
#include "drill/run.hpp"
#include "drill/scene.hpp"
#include "mutants.hpp"
#include "schema/schema.hpp"

namespace dunlinwick::ctl {

namespace fs = std::filesystem;

namespace {

// Written beside and moved into place, so that nothing is seen half written.
void WriteWhole(const fs::path& path, const std::string& text) {
  fs::path part = path;
  part += ".part";
  std::ofstream file(part, std::ios::binary);
  file << text;
  file.close();
  if (!file)
    throw std::runtime_error(part.string() + " cannot be written");
  fs::rename(part, path);
}

struct Run {
  std::string file;
  std::string out;
  std::string on = "stage";
  std::string program;
  std::uint64_t seed = 1;
  bool json = false;
  bool logs = false;
  bool quiet = false;

  int operator()() const {
    drill::Script script = drill::ReadScript(file);
    drill::Options options;
    options.seed = seed;
    std::ofstream trace, said;
    if (!out.empty()) {
      fs::create_directories(out);
      trace.open(fs::path(out) / "trace.part");
      if (!trace)
        throw std::runtime_error(out + " cannot be written to");
      options.trace = &trace;
      if (logs) {
        said.open(fs::path(out) / "fronts.log");
        options.logs = &said;
      }
    }
    std::string scratch;
    if (on == "sockets") {
      if (std::string what = drill::NotOnSockets(script); !what.empty())
        throw std::runtime_error(file + ": \"" + what +
                                 "\" is of the network and plays on the stage only");
      options.program =
          program.empty()
              ? (fs::read_symlink("/proc/self/exe").parent_path() / "dunlinwick").string()
              : program;
      options.folder = out;
      if (out.empty()) {
        std::string name = (fs::temp_directory_path() / "dunlinctl-XXXXXX").string();
        if (!::mkdtemp(name.data()))
          throw std::runtime_error("no folder for the fronts' files");
        options.folder = scratch = name;
      }
    }
    bool terminal = ::isatty(STDERR_FILENO) && !quiet;
    if (terminal)
      options.progress = [](double done) {
        std::fprintf(stderr, "\r%3.0f %%", 100 * done);
      };
    drill::Outcome o = drill::Play(script, options);
    if (terminal)
      std::fprintf(stderr, "\r     \r");
    if (!scratch.empty())
      fs::remove_all(scratch);
    if (!out.empty()) {
      trace.close();
      fs::rename(fs::path(out) / "trace.part", fs::path(out) / "trace");
      WriteWhole(fs::path(out) / "report.json", drill::Report(o));
      WriteWhole(fs::path(out) / "drill.json", drill::Written(script));
    }
    std::fputs((json ? drill::Report(o) : drill::Table(o)).c_str(), stdout);
    return o.Kept() ? 0 : 3;
  }
};

struct Mutants {
  std::uint64_t seeds = 10;
  std::uint64_t unbroken = 0;
  int jobs = 1;
  bool json = false;

  int operator()() const {
    bool all = true;
    std::string out;
    for (const mutants::Mutant& m : mutants::All()) {
      if (::isatty(STDERR_FILENO))
        std::fprintf(stderr, "\r\x1b[K%s", m.name.c_str());
      mutants::Verdict v = mutants::Judge(m, seeds);
      bool good = v.by_its_rule && v.unbroken_kept;
      all &= good;
      if (json) {
        out += out.empty() ? "[\n" : ",\n";
        out += " {\"name\": \"" + m.name + "\", \"breaks\": \"" + rules::ToString(m.breaks) +
               "\", \"caught\": " + (v.by_its_rule ? "true" : "false") +
               ", \"unbroken_kept\": " + (v.unbroken_kept ? "true" : "false") +
               ", \"seed\": " + std::to_string(v.seed) + "}";
        continue;
      }
      out += (good            ? "caught  "
              : v.by_its_rule ? "UNSOUND "
              : v.caught      ? "OTHER   "
                              : "MISSED  ") +
             m.name + " (" + m.what + ")\n";
      if (v.by_its_rule)
        out += "        " + std::string(rules::ToString(m.breaks)) + ", seed " +
               std::to_string(v.seed) + ": " + v.first.description + "\n";
      if (v.by_its_rule && !v.unbroken_kept)
        out += "        but the unbroken front breaks a rule there too\n";
    }
    if (::isatty(STDERR_FILENO))
      std::fprintf(stderr, "\r\x1b[K");
    std::set<std::string> scripts;
    for (const mutants::Mutant& m : mutants::All()) {
      if (unbroken == 0 || !scripts.insert(m.drill).second)
        continue;
      drill::HuntOptions options;
      options.seeds = unbroken;
      options.jobs = jobs;
      options.shrink_runs = 0;
      drill::Hunted h = drill::Hunt(drill::ReadScriptText(m.name, m.drill), options);
      all &= h.failing.empty();
      if (!json)
        out += "the unbroken front in the drill of " + m.name + ": " + std::to_string(h.played) +
               " seeds, " + std::to_string(h.failing.size()) + " break a rule\n";
      for (const drill::Found& f : h.failing)
        if (!json)
          out += "        seed " + std::to_string(f.seed) + ": " + f.breaches.front().description +
                 "\n";
    }
    std::fputs((json ? out + "\n]\n" : out).c_str(), stdout);
    return all ? 0 : 3;
  }
};

struct List {
  std::string folder = "drills";
  int operator()() const {
    if (!fs::is_directory(folder))
      throw std::runtime_error(folder + " is no folder; name the one that holds the drills");
    std::vector<fs::path> files;
    for (const auto& one : fs::directory_iterator(folder))
      if (one.path().extension() == ".json")
        files.push_back(one.path());
    std::sort(files.begin(), files.end());
    int code = 0;
    for (const fs::path& file : files)
      try {
        drill::Script s = drill::ReadScript(file.string());
        std::printf("%-28s %4.0f s  %3d caches %3d fronts  %s\n", s.name.c_str(), s.length / 1000,
                    s.caches, s.fronts, s.about.c_str());
      } catch (const schema::Refused& fault) {
        std::printf("%s\n", fault.what());
        code = 1;
      }
    return code;
  }
};

struct Check {
  std::string file;
  bool show = false;
  int operator()() const {
    drill::Script s = drill::ReadScript(file);
    if (show)
      std::fputs(drill::Written(s).c_str(), stdout);
    else
      std::printf(
          "%s: good: %.0f s, %d stores, %d caches, %d area caches, %d fronts, %zu troubles\n",
          file.c_str(), s.length / 1000, s.stores, s.caches, s.areas, s.fronts, s.troubles.size());
    return 0;
  }
};

struct Hunt {
  std::string file;
  std::string out;
  drill::HuntOptions options;
  bool json = false;
  int operator()() {
    drill::Script script = drill::ReadScript(file);
    bool terminal = ::isatty(STDERR_FILENO);
    if (terminal)
      options.progress = [this](std::uint64_t done) {
        std::fprintf(stderr, "\r%llu of %llu", static_cast<unsigned long long>(done),
                     static_cast<unsigned long long>(options.seeds));
      };
    if (!out.empty())
      fs::create_directories(out);
    drill::Hunted h = drill::Hunt(script, options);
    if (terminal)
      std::fprintf(stderr, "\r\x1b[K");
    auto n = [](std::uint64_t v) {
      return static_cast<unsigned long long>(v);
    };
    if (json) {
      std::printf("{\"played\": %llu, \"failing\": [", n(h.played));
      for (std::size_t i = 0; i < h.failing.size(); ++i)
        std::printf("%s{\"seed\": %llu, \"rule\": \"%s\"}", i ? ", " : "", n(h.failing[i].seed),
                    rules::ToString(h.failing[i].breaches.front().invariant));
      std::printf("], \"worst\": [");
      for (std::size_t i = 0; i < h.worst.size(); ++i)
        std::printf("%s{\"seed\": %llu, \"service\": %.4f}", i ? ", " : "", n(h.worst[i].seed),
                    h.worst[i].service);
      std::printf("], \"digest\": \"%s\"}\n", drill::Hex(h.digest).c_str());
    } else {
      std::printf("%s: %llu seeds played, %zu break a rule\n", script.name.c_str(), n(h.played),
                  h.failing.size());
      for (const drill::Found& f : h.failing) {
        const rules::Violation& b = f.breaches.front();
        std::printf("  seed %llu at %.3f s: %s: %s: %s\n", n(f.seed), b.at / 1000,
                    rules::ToString(b.invariant), b.actor.c_str(), b.description.c_str());
      }
      for (const drill::Found& f : h.worst)
        std::printf("  seed %llu: service %.3f\n", n(f.seed), f.service);
      std::printf("digest %s\n", drill::Hex(h.digest).c_str());
    }
    for (const auto& s : h.shrunk) {
      std::string name = s.script.name + ".json";
      if (!json)
        std::printf("cut down in %d runs to %zu troubles, %.0f s: %s\n", s.runs,
                    s.script.troubles.size(), s.script.length / 1000,
                    out.empty() ? "(name a folder with --out to keep it)" : name.c_str());
      if (!out.empty())
        WriteWhole(fs::path(out) / name, drill::Written(s.script));
    }
    return h.failing.empty() ? 0 : 3;
  }
};

}  // namespace

void AddDrill(CLI::App& app, int& code) {
  CLI::App* drill = app.add_subcommand(
      "drill", "rehearse failures on the fronts' own code, from a script and a seed");
  drill->require_subcommand(1);
  auto run = std::make_shared<Run>();
  CLI::App* one = drill->add_subcommand(
      "run", "play a script; exit 0: rules kept, 3: one broken, 1: bad input");
  one->add_option("script", run->file, "the drill, JSON with comments")->required();
  one->add_option("--seed", run->seed, "all chance follows from it")->capture_default_str();
  one->add_option("--report", run->out, "a folder for report.json, drill.json and the trace");
  one->add_option("--on", run->on,
                  "stage: virtual time; sockets: loopback, real processes, real time")
      ->check(CLI::IsMember({"stage", "sockets"}))
      ->capture_default_str();
  one->add_option("--program", run->program,
                  "with --on sockets: the front's program; else the one beside this");
  one->add_flag("--json", run->json, "the report as JSON in place of the table");
  one->add_flag("--logs", run->logs, "with --report: what the fronts say, in fronts.log");
  one->add_flag("--quiet", run->quiet, "no progress");
  one->callback([run, &code] { code = (*run)(); });
  auto list = std::make_shared<List>();
  one = drill->add_subcommand("list", "the drills of a folder, a line each");
  one->add_option("folder", list->folder)->capture_default_str();
  one->callback([list, &code] { code = (*list)(); });
  for (bool show : {false, true}) {
    auto check = std::make_shared<Check>();
    check->show = show;
    one = show ? drill->add_subcommand("show", "a script with all that it leaves out filled in")
               : drill->add_subcommand("check",
                                       "whether a script can be played, and if not, where and why");
    one->add_option("script", check->file)->required();
    one->callback([check, &code] { code = (*check)(); });
  }
  auto hunt = std::make_shared<Hunt>();
  one = drill->add_subcommand(
      "hunt", "play many seeds; what breaks a rule is cut down; exit 3: something did");
  one->add_option("script", hunt->file)->required();
  one->add_option("--seeds", hunt->options.seeds, "how many")->capture_default_str();
  one->add_option("--first", hunt->options.first, "the first of them")->capture_default_str();
  one->add_option("--jobs", hunt->options.jobs, "at once; the results do not depend on it")
      ->capture_default_str()
      ->check(CLI::Range(1, 256));
  one->add_option(
         "--vary", hunt->options.vary,
         "times, lengths, counts, shares and factors of the troubles move by up to this share")
      ->capture_default_str()
      ->check(CLI::Range(0.0, 0.9));
  one->add_option("--shrink", hunt->options.shrink_most, "failing scripts to cut down")
      ->capture_default_str();
  one->add_option("--out", hunt->out, "a folder for what was cut down");
  one->add_flag("--json", hunt->json);
  one->callback([hunt, &code] { code = (*hunt)(); });
  auto broken = std::make_shared<Mutants>();
  one = drill->add_subcommand(
      "mutants",
      "every front broken on purpose, and by which rule it was caught; exit 0: all were");
  one->add_option("--seeds", broken->seeds, "runs until one counts as missed")
      ->capture_default_str();
  one->add_option("--unbroken", broken->unbroken,
                  "play the unbroken front on so many seeds of each of their drills, too")
      ->capture_default_str();
  one->add_option("--jobs", broken->jobs, "at once, for --unbroken")
      ->capture_default_str()
      ->check(CLI::Range(1, 256));
  one->add_flag("--json", broken->json, "as JSON in place of lines");
  one->callback([broken, &code] { code = (*broken)(); });
}

}  // namespace dunlinwick::ctl
