// dunlinctl owner: who owns which of the fleet's work.
#pragma once
#include <CLI/CLI.hpp>

namespace dunlinwick::ctl {
void AddOwner(CLI::App& app, int& code);
}
