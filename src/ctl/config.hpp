// dunlinctl config: migrate.
#pragma once
#include <CLI/CLI.hpp>

namespace dunlinwick::ctl {
// Exit codes of migrate: 0 all carried over, 3 something could not be, 2 bad input or a file that
// can't be written (one line on standard error). Nothing is written but the file of --out, whole or
// not at all.
void AddConfig(CLI::App& app, int& code);
}  // namespace dunlinwick::ctl
