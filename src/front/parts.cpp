#include "front/parts.hpp"

#include <iterator>
#include <utility>

#include "front/layer.hpp"
#include "front/owner.hpp"
#include "front/peers.hpp"
#include "generations/generations.hpp"

namespace dunlinwick::front {

bool HasFleetComponents() {
  return true;
}

namespace {
struct Components final : FleetComponents {
  std::unique_ptr<PeerSocket> peers;  // destroyed last: the others send through it
  std::unique_ptr<MembershipComponent> membership;
  std::unique_ptr<OwnerComponent> owner;
  std::unique_ptr<FleetLayer> layer;
};
}  // namespace

RequestRouting MakeRequestRouting(const FrontConfiguration& configuration) {
  if (!configuration.rules.enabled)
    return {exchange::MakeRequestRouter(configuration.settings, configuration.seed), nullptr,
            nullptr};
  RequestRouting routing;
  routing.generations =
      std::make_shared<generations::Generations>(configuration.settings, configuration.seed);
  routing.pending_settings = std::make_shared<std::optional<DeploymentSettings>>();
  routing.router = [generations = routing.generations, pending = routing.pending_settings](
                       Ms now, const Event& event) {
    std::vector<Action> actions;
    if (std::optional<DeploymentSettings> settings = std::exchange(*pending, std::nullopt);
        settings && generations->StartGeneration(now, *settings, actions) == 0)
      actions.push_back(WriteLogLine{
          "rules: configuration not applied, the maximum number of generations is in use; "
          "the drift stays and is repaired later"});
    std::vector<Action> rest = generations->Handle(now, event);
    actions.insert(actions.end(), std::make_move_iterator(rest.begin()),
                   std::make_move_iterator(rest.end()));
    return actions;
  };
  return routing;
}

std::unique_ptr<FleetComponents> MakeFleetComponents(
    loop::Loop& loop, const FrontConfiguration& configuration, failover::ZoneCacheHealth& health,
    MembershipComponent::TrafficWeightsCallback set_traffic_weights, exchange::Exchange& exchange,
    const RequestRouting& routing) {
  if (!configuration.peers.enabled && !configuration.owner.enabled)
    return nullptr;
  auto components = std::make_unique<Components>();
  if (configuration.peers.enabled)
    components->peers = std::make_unique<PeerSocket>(loop, configuration.peers);
  if (configuration.fleet.enabled && configuration.fleet.over_peers) {
    components->membership = std::make_unique<MembershipComponent>(
        loop, configuration.fleet, configuration.seed, health, std::move(set_traffic_weights),
        components->peers.get());
    components->peers->Register(*components->membership);
  }
  if (configuration.owner.enabled) {
    components->owner = std::make_unique<OwnerComponent>(
        loop, configuration.owner, configuration.seed,
        configuration.owner.over_peers ? components->peers.get() : nullptr);
    if (configuration.owner.over_peers)
      components->peers->Register(*components->owner);
  }
  if (configuration.record.enabled || configuration.recovery.enabled ||
      configuration.rules.enabled) {
    FleetLayer::Dependencies dependencies;
    dependencies.send = [socket = components->peers.get()](peers::Id to, peers::Channel channel,
                                                           std::string message) {
      return socket->TrySend(channel, to, std::move(message));
    };
    dependencies.exchange = &exchange;
    dependencies.generations = routing.generations.get();
    // Between two turns of the loop: the settings are stored as pending, and the next event (the
    // exchange's, sent only for this) makes the generations switch to them.
    dependencies.apply_settings =
        [&exchange, pending = routing.pending_settings](const DeploymentSettings& settings) {
          *pending = settings;
          exchange.ApplySettings(settings);
        };
    dependencies.owner = components->owner.get();
    components->layer = std::make_unique<FleetLayer>(loop, configuration, std::move(dependencies));
    for (FleetComponent* component : components->layer->components())
      components->peers->Register(*component);
    components->peers->SetOperatorHandlers(
        [layer = components->layer.get()](std::span<const char> bytes, PeerSocket::Reply reply) {
          layer->HandleOperatorRequest(bytes, std::move(reply));
        },
        [layer = components->layer.get()] { return layer->status(); });
  }
  return components;
}

}  // namespace dunlinwick::front
