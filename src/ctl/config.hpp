// dunlinctl config: migrate.
#pragma once
#include <CLI/CLI.hpp>

namespace dunlinwick::ctl {
// Exit codes of migrate: 0 every field was migrated, 3 some were not, 2 bad input or a file that
// cannot be written (one line on standard error). Only the file of --out is written, complete or
// not at all.
void AddConfig(CLI::App& app, int& code);
}  // namespace dunlinwick::ctl
