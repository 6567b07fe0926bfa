// dunlinctl record: recalls and approved rules put in the fleet's record, and what each front holds
// of it.
#pragma once
#include <CLI/CLI.hpp>

namespace dunlinwick::ctl {
void AddRecord(CLI::App& app, int& code);
}
