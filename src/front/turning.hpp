// An approved form turned into the sheet of the module's next generation. Only what a generation
// can carry is taken up while a front serves: sections offerings (by row), permits, cold, sheet.
// All else (the road, members, owner, the build) holds for the life of a process, and is refused
// with its name.
#pragma once
#include <string>

#include "drift/drift.hpp"
#include "logic.hpp"

namespace dunlinwick::front {

// "" and `sheet` changed, or the field and why it can't be taken up, with `sheet` as it was. Fields
// that stand as approved already are passed over, whatever their section: `active` tells them.
std::string TakeUp(const drift::Form& approved, const drift::Form& active,
                   DeploymentSettings& settings);

}  // namespace dunlinwick::front
