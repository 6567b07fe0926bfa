// Holds a run of the recovery rig to its promises. Pure.
#pragma once
#include "rig/recoverysim.hpp"

namespace dunlinwick::rig {
// One line for each broken promise, its name first: order, uncertain, lease, floor, spoilt,
// overload, whole, told. Empty: all kept.
std::vector<std::string> CheckHistory(const RecoveryRun& run);
}  // namespace dunlinwick::rig
