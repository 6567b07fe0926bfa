// dunlinctl owner: who owns which of the fleet's work.
#pragma once
#include <CLI/CLI.hpp>

namespace dunlinwick::ctl {
void addOwner(CLI::App& app, int& code);
}
