// dunlinctl owner: shows the lease holder of each of the fleet's tasks.
#pragma once
#include <CLI/CLI.hpp>

namespace dunlinwick::ctl {
void AddOwner(CLI::App& app, int& code);
}
