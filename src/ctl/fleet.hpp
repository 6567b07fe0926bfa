// dunlinctl fleet: many fronts on loopback, what goes wrong between them, and what each of them holds.
#pragma once
#include <CLI/CLI.hpp>

namespace dunlinwick::ctl {
void addFleet(CLI::App& app, int& code);
}
