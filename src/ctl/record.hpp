// dunlinctl record: writes recalls and approved rules to the fleet's record, and shows the state of
// each front's replica of it.
#pragma once
#include <CLI/CLI.hpp>

namespace dunlinwick::ctl {
void AddRecord(CLI::App& app, int& code);
}
