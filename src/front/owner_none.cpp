// A build without libraft: an owner block is refused where the configuration is read, so nothing of this is ever made.
#include <stdexcept>

#include "front/owner.hpp"

namespace dunlinwick::front {

bool ownerBuilt() { return false; }
struct Owner::Inner {};
Owner::Owner(loop::Loop& loop, const OwnerTerms&, std::uint64_t) : loop_(loop) { throw std::runtime_error("owner: this build has none"); }
Owner::~Owner() = default;
std::string Owner::status() const { return "{}"; }
void Owner::ready(short) {}
void Owner::wake() {}

}  // namespace dunlinwick::front
