// dunlinctl drill: run, list, check, show, mutants, hunt.
#pragma once
#include <CLI/CLI.hpp>

namespace dunlinwick::ctl {
// Exit codes: 0 no invariant was violated, 3 one was, 1 bad input. Unusable input throws an
// exception with a message of one line.
void AddDrill(CLI::App& app, int& code);
}  // namespace dunlinwick::ctl
