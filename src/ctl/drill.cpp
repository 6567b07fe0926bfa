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

// Writes a temporary file and renames it, so that no reader sees a partly written file.
void WriteFileAtomically(const fs::path& path, const std::string& text) {
  fs::path temporary_path = path;
  temporary_path += ".part";
  std::ofstream file(temporary_path, std::ios::binary);
  file << text;
  file.close();
  if (!file)
    throw std::runtime_error(temporary_path.string() + " cannot be written");
  fs::rename(temporary_path, path);
}

struct RunCommand {
  std::string file;
  std::string output_folder;
  std::string environment = "stage";
  std::string program;
  std::uint64_t seed = 1;
  bool json = false;
  bool logs = false;
  bool quiet = false;

  int operator()() const {
    drill::Script script = drill::ReadScript(file);
    drill::Options options;
    options.seed = seed;
    std::ofstream trace, front_logs;
    if (!output_folder.empty()) {
      fs::create_directories(output_folder);
      trace.open(fs::path(output_folder) / "trace.part");
      if (!trace)
        throw std::runtime_error(output_folder + " cannot be written to");
      options.trace = &trace;
      if (logs) {
        front_logs.open(fs::path(output_folder) / "fronts.log");
        options.logs = &front_logs;
      }
    }
    std::string temporary_folder;
    if (environment == "sockets") {
      if (std::string unsupported = drill::NotOnSockets(script); !unsupported.empty())
        throw std::runtime_error(file + ": \"" + unsupported +
                                 "\" is a network fault, which only runs with --on stage");
      options.program =
          program.empty()
              ? (fs::read_symlink("/proc/self/exe").parent_path() / "dunlinwick").string()
              : program;
      options.folder = output_folder;
      if (output_folder.empty()) {
        std::string name = (fs::temp_directory_path() / "dunlinctl-XXXXXX").string();
        if (!::mkdtemp(name.data()))
          throw std::runtime_error("cannot create a temporary folder for the fronts' files");
        options.folder = temporary_folder = name;
      }
    }
    bool is_terminal = ::isatty(STDERR_FILENO) && !quiet;
    if (is_terminal)
      options.progress = [](double done) {
        std::fprintf(stderr, "\r%3.0f %%", 100 * done);
      };
    drill::Outcome outcome = drill::Play(script, options);
    if (is_terminal)
      std::fprintf(stderr, "\r     \r");
    if (!temporary_folder.empty())
      fs::remove_all(temporary_folder);
    if (!output_folder.empty()) {
      trace.close();
      fs::rename(fs::path(output_folder) / "trace.part", fs::path(output_folder) / "trace");
      WriteFileAtomically(fs::path(output_folder) / "report.json", drill::Report(outcome));
      WriteFileAtomically(fs::path(output_folder) / "drill.json", drill::Written(script));
    }
    std::fputs((json ? drill::Report(outcome) : drill::Table(outcome)).c_str(), stdout);
    return outcome.Kept() ? 0 : 3;
  }
};

struct MutantsCommand {
  std::uint64_t seeds = 10;
  std::uint64_t unbroken = 0;
  int jobs = 1;
  bool json = false;

  int operator()() const {
    bool all_passed = true;
    std::string output;
    for (const mutants::Mutant& mutant : mutants::All()) {
      if (::isatty(STDERR_FILENO))
        std::fprintf(stderr, "\r\x1b[K%s", mutant.name.c_str());
      mutants::Verdict verdict = mutants::Judge(mutant, seeds);
      bool detected = verdict.by_its_rule && verdict.unbroken_kept;
      all_passed &= detected;
      if (json) {
        output += output.empty() ? "[\n" : ",\n";
        output += " {\"name\": \"" + mutant.name + "\", \"breaks\": \"" +
                  rules::ToString(mutant.breaks) +
                  "\", \"caught\": " + (verdict.by_its_rule ? "true" : "false") +
                  ", \"unbroken_kept\": " + (verdict.unbroken_kept ? "true" : "false") +
                  ", \"seed\": " + std::to_string(verdict.seed) + "}";
        continue;
      }
      output += (detected              ? "caught  "
                 : verdict.by_its_rule ? "UNSOUND "
                 : verdict.caught      ? "OTHER   "
                                       : "MISSED  ") +
                mutant.name + " (" + mutant.what + ")\n";
      if (verdict.by_its_rule)
        output += "        " + std::string(rules::ToString(mutant.breaks)) + ", seed " +
                  std::to_string(verdict.seed) + ": " + verdict.first.description + "\n";
      if (verdict.by_its_rule && !verdict.unbroken_kept)
        output += "        but the unbroken front breaks a rule there too\n";
    }
    if (::isatty(STDERR_FILENO))
      std::fprintf(stderr, "\r\x1b[K");
    std::set<std::string> played_drills;
    for (const mutants::Mutant& mutant : mutants::All()) {
      if (unbroken == 0 || !played_drills.insert(mutant.drill).second)
        continue;
      drill::HuntOptions options;
      options.seeds = unbroken;
      options.jobs = jobs;
      options.shrink_runs = 0;
      drill::Hunted result = drill::Hunt(drill::ReadScriptText(mutant.name, mutant.drill), options);
      all_passed &= result.failing.empty();
      if (!json)
        output += "the unbroken front in the drill of " + mutant.name + ": " +
                  std::to_string(result.played) + " seeds, " +
                  std::to_string(result.failing.size()) + " break a rule\n";
      for (const drill::Found& found : result.failing)
        if (!json)
          output += "        seed " + std::to_string(found.seed) + ": " +
                    found.breaches.front().description + "\n";
    }
    std::fputs((json ? output + "\n]\n" : output).c_str(), stdout);
    return all_passed ? 0 : 3;
  }
};

struct ListCommand {
  std::string folder = "drills";
  int operator()() const {
    if (!fs::is_directory(folder))
      throw std::runtime_error(folder +
                               " is not a folder; give the folder that contains the drills");
    std::vector<fs::path> files;
    for (const auto& entry : fs::directory_iterator(folder))
      if (entry.path().extension() == ".json")
        files.push_back(entry.path());
    std::sort(files.begin(), files.end());
    int code = 0;
    for (const fs::path& file : files)
      try {
        drill::Script script = drill::ReadScript(file.string());
        std::printf("%-28s %4.0f s  %3d caches %3d fronts  %s\n", script.name.c_str(),
                    script.length / 1000, script.caches, script.fronts, script.about.c_str());
      } catch (const schema::ValidationError& error) {
        std::printf("%s\n", error.what());
        code = 1;
      }
    return code;
  }
};

struct CheckCommand {
  std::string file;
  bool show = false;
  int operator()() const {
    drill::Script script = drill::ReadScript(file);
    if (show)
      std::fputs(drill::Written(script).c_str(), stdout);
    else
      std::printf(
          "%s: good: %.0f s, %d stores, %d caches, %d area caches, %d fronts, %zu troubles\n",
          file.c_str(), script.length / 1000, script.stores, script.caches, script.areas,
          script.fronts, script.troubles.size());
    return 0;
  }
};

struct HuntCommand {
  std::string file;
  std::string output_folder;
  drill::HuntOptions options;
  bool json = false;
  int operator()() {
    drill::Script script = drill::ReadScript(file);
    bool is_terminal = ::isatty(STDERR_FILENO);
    if (is_terminal)
      options.progress = [this](std::uint64_t done) {
        std::fprintf(stderr, "\r%llu of %llu", static_cast<unsigned long long>(done),
                     static_cast<unsigned long long>(options.seeds));
      };
    if (!output_folder.empty())
      fs::create_directories(output_folder);
    drill::Hunted result = drill::Hunt(script, options);
    if (is_terminal)
      std::fprintf(stderr, "\r\x1b[K");
    auto printable = [](std::uint64_t v) {
      return static_cast<unsigned long long>(v);
    };
    if (json) {
      std::printf("{\"played\": %llu, \"failing\": [", printable(result.played));
      for (std::size_t i = 0; i < result.failing.size(); ++i)
        std::printf("%s{\"seed\": %llu, \"rule\": \"%s\"}", i ? ", " : "",
                    printable(result.failing[i].seed),
                    rules::ToString(result.failing[i].breaches.front().invariant));
      std::printf("], \"worst\": [");
      for (std::size_t i = 0; i < result.worst.size(); ++i)
        std::printf("%s{\"seed\": %llu, \"service\": %.4f}", i ? ", " : "",
                    printable(result.worst[i].seed), result.worst[i].service);
      std::printf("], \"digest\": \"%s\"}\n", drill::Hex(result.digest).c_str());
    } else {
      std::printf("%s: %llu seeds played, %zu break a rule\n", script.name.c_str(),
                  printable(result.played), result.failing.size());
      for (const drill::Found& found : result.failing) {
        const rules::Violation& breach = found.breaches.front();
        std::printf("  seed %llu at %.3f s: %s: %s: %s\n", printable(found.seed), breach.at / 1000,
                    rules::ToString(breach.invariant), breach.actor.c_str(),
                    breach.description.c_str());
      }
      for (const drill::Found& found : result.worst)
        std::printf("  seed %llu: service %.3f\n", printable(found.seed), found.service);
      std::printf("digest %s\n", drill::Hex(result.digest).c_str());
    }
    for (const auto& shrunk : result.shrunk) {
      std::string name = shrunk.script.name + ".json";
      if (!json)
        std::printf("cut down in %d runs to %zu troubles, %.0f s: %s\n", shrunk.runs,
                    shrunk.script.troubles.size(), shrunk.script.length / 1000,
                    output_folder.empty() ? "(name a folder with --out to keep it)" : name.c_str());
      if (!output_folder.empty())
        WriteFileAtomically(fs::path(output_folder) / name, drill::Written(shrunk.script));
    }
    return result.failing.empty() ? 0 : 3;
  }
};

}  // namespace

void AddDrill(CLI::App& app, int& code) {
  CLI::App* drill = app.add_subcommand(
      "drill", "rehearse failures on the fronts' own code, from a script and a seed");
  drill->require_subcommand(1);
  auto run = std::make_shared<RunCommand>();
  CLI::App* command = drill->add_subcommand(
      "run", "play a script; exit 0: rules kept, 3: one broken, 1: bad input");
  command->add_option("script", run->file, "the drill, JSON with comments")->required();
  command->add_option("--seed", run->seed, "all chance follows from it")->capture_default_str();
  command->add_option("--report", run->output_folder,
                      "a folder for report.json, drill.json and the trace");
  command
      ->add_option("--on", run->environment,
                   "stage: virtual time; sockets: loopback, real processes, real time")
      ->check(CLI::IsMember({"stage", "sockets"}))
      ->capture_default_str();
  command->add_option("--program", run->program,
                      "with --on sockets: the front's program; else the one beside this");
  command->add_flag("--json", run->json, "the report as JSON in place of the table");
  command->add_flag("--logs", run->logs, "with --report: what the fronts say, in fronts.log");
  command->add_flag("--quiet", run->quiet, "no progress");
  command->callback([run, &code] { code = (*run)(); });
  auto list = std::make_shared<ListCommand>();
  command = drill->add_subcommand("list", "the drills of a folder, a line each");
  command->add_option("folder", list->folder)->capture_default_str();
  command->callback([list, &code] { code = (*list)(); });
  for (bool show : {false, true}) {
    auto check = std::make_shared<CheckCommand>();
    check->show = show;
    command = show ? drill->add_subcommand("show", "a script with all that it leaves out filled in")
                   : drill->add_subcommand(
                         "check", "whether a script can be played, and if not, where and why");
    command->add_option("script", check->file)->required();
    command->callback([check, &code] { code = (*check)(); });
  }
  auto hunt = std::make_shared<HuntCommand>();
  command = drill->add_subcommand(
      "hunt", "play many seeds; what breaks a rule is cut down; exit 3: something did");
  command->add_option("script", hunt->file)->required();
  command->add_option("--seeds", hunt->options.seeds, "how many")->capture_default_str();
  command->add_option("--first", hunt->options.first, "the first of them")->capture_default_str();
  command->add_option("--jobs", hunt->options.jobs, "at once; the results do not depend on it")
      ->capture_default_str()
      ->check(CLI::Range(1, 256));
  command
      ->add_option(
          "--vary", hunt->options.vary,
          "times, lengths, counts, shares and factors of the troubles move by up to this share")
      ->capture_default_str()
      ->check(CLI::Range(0.0, 0.9));
  command->add_option("--shrink", hunt->options.shrink_most, "failing scripts to cut down")
      ->capture_default_str();
  command->add_option("--out", hunt->output_folder, "a folder for what was cut down");
  command->add_flag("--json", hunt->json);
  command->callback([hunt, &code] { code = (*hunt)(); });
  auto mutants = std::make_shared<MutantsCommand>();
  command = drill->add_subcommand(
      "mutants",
      "every front broken on purpose, and by which rule it was caught; exit 0: all were");
  command->add_option("--seeds", mutants->seeds, "runs until one counts as missed")
      ->capture_default_str();
  command
      ->add_option("--unbroken", mutants->unbroken,
                   "play the unbroken front on so many seeds of each of their drills, too")
      ->capture_default_str();
  command->add_option("--jobs", mutants->jobs, "at once, for --unbroken")
      ->capture_default_str()
      ->check(CLI::Range(1, 256));
  command->add_flag("--json", mutants->json, "as JSON in place of lines");
  command->callback([mutants, &code] { code = (*mutants)(); });
}

}  // namespace dunlinwick::ctl
