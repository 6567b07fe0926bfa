// The components of the fleet layer that only a full build has: the peers' socket with the
// components that run over it, and the owner. A build without them (src/front/parts_none.cpp, the
// default) rejects their blocks when it reads the configuration.
#pragma once
#include <memory>

#include "exchange/exchange.hpp"
#include "front/charter.hpp"
#include "front/fleet.hpp"

namespace dunlinwick::generations {
class Generations;
}

namespace dunlinwick::front {

class FleetComponents {
 public:
  virtual ~FleetComponents() = default;
};
// What routes requests: the router alone or, with a rules block, its generations, which an approved
// configuration can switch to other deployment settings.
struct RequestRouting {
  exchange::RequestRouter router;
  std::shared_ptr<generations::Generations> generations;
  std::shared_ptr<std::optional<DeploymentSettings>>
      pending_settings;  // applied with the next event
};
RequestRouting MakeRequestRouting(const FrontConfiguration& configuration);
// Null when the configuration asks for no component. Membership is among them when it runs over the
// peers' socket. Throws std::runtime_error when a socket cannot be opened.
std::unique_ptr<FleetComponents> MakeFleetComponents(
    loop::Loop& loop, const FrontConfiguration& configuration, failover::ZoneCacheHealth& health,
    MembershipComponent::TrafficWeightsCallback set_traffic_weights, exchange::Exchange& exchange,
    const RequestRouting& routing);

}  // namespace dunlinwick::front
