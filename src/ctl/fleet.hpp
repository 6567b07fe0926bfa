// dunlinctl fleet: many fronts on loopback, what goes wrong between them, and what each of them
// holds.
#pragma once
#include <CLI/CLI.hpp>

namespace dunlinwick::ctl {
void AddFleet(CLI::App& app, int& code);
// The owners' addresses of the fleet that is up at this port; throws where none answers.
std::vector<std::string> OwnersUp(int port);
}  // namespace dunlinwick::ctl
