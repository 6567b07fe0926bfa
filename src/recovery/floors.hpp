// Combines the persisted minimums that all fronts report and detects a store that must not be
// trusted. Pure; memory is bounded by the number of fronts in the fleet.
#pragma once
#include <string>
#include <vector>

#include "recovery/recovery.hpp"

namespace dunlinwick::recovery {

struct Claim {  // what one front reports about its store
  StoreInspection::State store = StoreInspection::State::kNone;
  PersistedMinimums minimums;
  std::uint64_t own_incarnation_seen = 0;  // the highest incarnation it has seen of this front
};
inline bool IsUsable(StoreInspection::State s) {
  return s == StoreInspection::State::kGood || s == StoreInspection::State::kIncomplete;
}

// The highest values of all usable claims, this front's own among them. Where the usable stores are
// a majority of the fleet, a value that exceeds what a majority knows by more than the permitted
// lead is ignored. `incarnation` is this front's own, by its store or by most witnesses.
PersistedMinimums CombineMinimums(const std::vector<Claim>& others, const Claim& own,
                                  std::size_t fronts, const Settings& settings);
// Why this front's own store is not trusted; empty if nothing is known against it.
std::string RejectionReason(const std::vector<Claim>& others, const Claim& own, std::size_t fronts,
                            const Settings& settings);
// The incarnation that most of the fronts that have seen this front report as a minimum; 0 if none
// has.
std::uint64_t WitnessedIncarnation(const std::vector<Claim>& others);

}  // namespace dunlinwick::recovery
