// dunlinctl drill: run, list, check, show, mutants, hunt.
#pragma once
#include <CLI/CLI.hpp>

namespace dunlinwick::ctl {
// Exit codes: 0 rules kept, 3 a rule broken, 1 bad input. What can't be used throws, with one line.
void AddDrill(CLI::App& app, int& code);
}  // namespace dunlinwick::ctl
