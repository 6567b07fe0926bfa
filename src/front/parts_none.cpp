// A build without the fleet layer's heavier components: their blocks are rejected when the
// configuration is read, so none of them is ever created.
#include <stdexcept>

#include "front/parts.hpp"

namespace dunlinwick::front {

bool HasFleetComponents() {
  return false;
}
PeersSettings ReadPeersSettings(const json::Value&) {
  throw std::runtime_error(
      "peers: this build has no peers' socket; build with -DDUNLINWICK_OWNER=ON");
}
void ReadFleetLayerSettings(const json::Value& root, FrontConfiguration&) {
  for (const char* block : {"record", "recovery", "rules"})
    if (root.Find(block))
      throw std::runtime_error(std::string(block) +
                               ": this build has no fleet layer; build with -DDUNLINWICK_OWNER=ON");
}
std::unique_ptr<FleetComponents> MakeFleetComponents(loop::Loop&, const FrontConfiguration&,
                                                     failover::ZoneCacheHealth&,
                                                     MembershipComponent::TrafficWeightsCallback,
                                                     exchange::Exchange&, const RequestRouting&) {
  return nullptr;
}
RequestRouting MakeRequestRouting(const FrontConfiguration& configuration) {
  return {exchange::MakeRequestRouter(configuration.settings, configuration.seed), nullptr,
          nullptr};
}

}  // namespace dunlinwick::front
