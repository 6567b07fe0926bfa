// The fleet layer of a front beyond membership and owner: creates the components record, rules and
// recovery and connects them. It alone knows several components at once: entries of the record
// reach the router (recalls) and the rules; the rules switch the router's generation; recovery
// receives the others' state and decides what share of requests is admitted and whether this front
// may acquire leases. A build without it (front/fleet_components_none.cpp) rejects the blocks when
// it reads the configuration.
#pragma once
#include <memory>
#include <vector>

#include "exchange/exchange.hpp"
#include "front/configuration.hpp"
#include "front/fleet_component.hpp"
#include "front/owner.hpp"

namespace dunlinwick::generations {
class Generations;
}

namespace dunlinwick::front {

class FleetLayer {
 public:
  struct Dependencies {
    std::function<bool(peers::Id to, peers::Channel channel, std::string message)> send;
    exchange::Exchange* exchange = nullptr;
    generations::Generations* generations =
        nullptr;  // null: the settings cannot change while the front serves
    std::function<void(const DeploymentSettings&)>
        apply_settings;  // to a new generation, from the next event on
    OwnerComponent* owner = nullptr;
  };
  FleetLayer(loop::Loop& loop, const FrontConfiguration& configuration, Dependencies dependencies);
  ~FleetLayer();
  std::vector<FleetComponent*> components();
  std::string status() const;  // JSON: record, recovery, rules
  // An operator's datagram "DR" 1 | ..., without its head; `reply` may be called later.
  void HandleOperatorRequest(std::span<const char> bytes, std::function<void(std::string)> reply);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwick::front
