// What a front decides by, as it stands in its memory: read from the structs that are in use, never
// from the file a front was started with. One section a struct; a list's rows are "0.effect",
// "1.effect"... A list too long for a section of 256 fields is told row by row as one field each
// (its digest and length), so that nothing is left out.
//
// Addresses, seeds and names of one front's own (its listening sockets, its store's folder) are no
// rules and are not told.
#pragma once
#include "drift/drift.hpp"
#include "front/charter.hpp"

namespace dunlinwick::drift {

// Sections: build, sheet, offerings, permits, cold, road, fleet, owner.
Form ActiveForm(const DeploymentSettings& settings, const settings::ConnectionSettings& road,
                const front::FleetTerms& fleet, const front::OwnerTerms& owner,
                const std::string& build);

// What a field can break. Rules: effect, span, memory, agreed time's and expiry's terms, what a
// front may do, cold terms, purge terms, what leases and clocks are trusted with. Nothing: names
// and the build. All else: capacity.
Classes ActiveClasses();

}  // namespace dunlinwick::drift
