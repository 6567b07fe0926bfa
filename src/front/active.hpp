// The active configuration in canonical form: what a front decides by, read from the structs in
// use, never from the file it was started with. One section for each struct; a list's fields are
// "0.effect", "1.effect"... A list too long for a section of 256 fields is given as one field per
// row (bounded by length and digest), so that nothing is left out.
//
// Values of a single front (its addresses, seed and name, its store's folder) are not rules and are
// left out.
#pragma once
#include "drift/drift.hpp"
#include "front/charter.hpp"

namespace dunlinwick::drift {

// Sections: build, sheet, offerings, permits, cold, road, fleet, owner.
CanonicalConfiguration ActiveConfiguration(const DeploymentSettings& settings,
                                           const settings::ConnectionSettings& connection_settings,
                                           const front::FleetSettings& fleet,
                                           const front::OwnerSettings& owner,
                                           const std::string& build);

// What a wrong value of each field can break. Rules: effect, deduplication scope and window,
// latency objective and maximum deadline, permissions, slow start, purges, lease and clock
// assumptions. Nothing: names and the build. All other fields: capacity.
FieldImpactMap FieldImpacts();

}  // namespace dunlinwick::drift
