// Applies an approved configuration: makes the deployment settings of the router's next generation
// from it. While a front serves, only what a generation holds can change: the sections offerings
// (request classes, by index), permits, cold (slow start) and sheet (deployment settings). All
// other sections (road, fleet, owner, build) hold for the life of a process; a change in one is
// rejected with the field's name.
#pragma once
#include <string>

#include "drift/drift.hpp"
#include "logic.hpp"

namespace dunlinwick::front {

// Returns "" with `settings` changed, or the field and why it cannot be applied, with `settings` as
// they were. Fields whose active value equals the approved one are skipped, whatever their section.
std::string ApplyConfiguration(const drift::CanonicalConfiguration& approved,
                               const drift::CanonicalConfiguration& active,
                               DeploymentSettings& settings);

}  // namespace dunlinwick::front
