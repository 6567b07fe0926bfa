// A build without the fleet layer's heavier parts: their blocks are refused where the configuration
// is read, so nothing of them is ever made.
#include <stdexcept>

#include "front/parts.hpp"

namespace dunlinwick::front {

bool PartsBuilt() {
  return false;
}
PeersTerms ReadPeers(const json::Value&) {
  throw std::runtime_error(
      "peers: this build has no peers' socket; build with -DDUNLINWICK_OWNER=ON");
}
void ReadLayer(const json::Value& all, Configuration&) {
  for (const char* block : {"record", "recovery", "rules"})
    if (all.Find(block))
      throw std::runtime_error(std::string(block) +
                               ": this build has no fleet layer; build with -DDUNLINWICK_OWNER=ON");
}
std::unique_ptr<Parts> MakeParts(loop::Loop&, const Configuration&, failover::Health&, Fleet::Steer,
                                 exchange::Exchange&, const Deciding&) {
  return nullptr;
}
Deciding DecidingFor(const Configuration& c) {
  return {exchange::MakeRequestRouter(c.settings, c.seed), nullptr, nullptr};
}

}  // namespace dunlinwick::front
