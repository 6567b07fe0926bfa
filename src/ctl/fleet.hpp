// dunlinctl fleet: runs many fronts on loopback, injects faults between them, and shows the state
// of each.
#pragma once
#include <CLI/CLI.hpp>

namespace dunlinwick::ctl {
void AddFleet(CLI::App& app, int& code);
// The addresses at which the fronts of the fleet running at this port report their lease status;
// throws if no fleet responds.
std::vector<std::string> LeaseStatusAddresses(int port);
}  // namespace dunlinwick::ctl
