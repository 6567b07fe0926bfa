#include "front/parts.hpp"

#include <iterator>
#include <utility>

#include "front/layer.hpp"
#include "front/owner.hpp"
#include "front/peers.hpp"
#include "generations/generations.hpp"

namespace dunlinwick::front {

bool PartsBuilt() {
  return true;
}

namespace {
struct All final : Parts {
  std::unique_ptr<Peers> peers;  // ends last: parts send through it
  std::unique_ptr<Fleet> fleet;
  std::unique_ptr<Owner> owner;
  std::unique_ptr<Layer> layer;
};
}  // namespace

Deciding DecidingFor(const Configuration& c) {
  if (!c.rules.on)
    return {exchange::ModuleFor(c.settings, c.seed), nullptr, nullptr};
  Deciding d;
  d.generations = std::make_shared<generations::Generations>(c.settings, c.seed);
  d.next = std::make_shared<std::optional<StoreSettings>>();
  d.decides = [all = d.generations, next = d.next](Ms now, const Event& event) {
    std::vector<Action> todo;
    if (std::optional<StoreSettings> settings = std::exchange(*next, std::nullopt);
        settings && all->StartGeneration(now, *settings, todo) == 0)
      todo.push_back(
          WriteLine{"rules: not turned, as many generations serve as may; the drift stays and is "
                    "repaired again"});
    std::vector<Action> rest = all->Handle(now, event);
    todo.insert(todo.end(), std::make_move_iterator(rest.begin()),
                std::make_move_iterator(rest.end()));
    return todo;
  };
  return d;
}

std::unique_ptr<Parts> MakeParts(loop::Loop& loop, const Configuration& c, failover::Health& health,
                                 Fleet::Steer steer, exchange::Exchange& exchange,
                                 const Deciding& deciding) {
  if (!c.peers.on && !c.owner.on)
    return nullptr;
  auto all = std::make_unique<All>();
  if (c.peers.on)
    all->peers = std::make_unique<Peers>(loop, c.peers);
  if (c.fleet.on && c.fleet.over_peers) {
    all->fleet =
        std::make_unique<Fleet>(loop, c.fleet, c.seed, health, std::move(steer), all->peers.get());
    all->peers->Carry(*all->fleet);
  }
  if (c.owner.on) {
    all->owner = std::make_unique<Owner>(loop, c.owner, c.seed,
                                         c.owner.over_peers ? all->peers.get() : nullptr);
    if (c.owner.over_peers)
      all->peers->Carry(*all->owner);
  }
  if (c.record.on || c.recovery.on || c.rules.on) {
    Layer::Ways ways;
    ways.send = [peers = all->peers.get()](peers::Id to, peers::Channel channel, std::string m) {
      return peers->Sends(channel, to, std::move(m));
    };
    ways.exchange = &exchange;
    ways.generations = deciding.generations.get();
    // Between two turns of the loop: the sheet is laid ready, and the next event (this one has no
    // other meaning) turns to it.
    ways.turn = [&exchange, next = deciding.next](const StoreSettings& settings) {
      *next = settings;
      exchange.Turned(settings);
    };
    ways.owner = all->owner.get();
    all->layer = std::make_unique<Layer>(loop, c, std::move(ways));
    for (Part* p : all->layer->parts())
      all->peers->Carry(*p);
    all->peers->operators(
        [layer = all->layer.get()](std::span<const char> bytes, Peers::Reply reply) {
          layer->Asked(bytes, std::move(reply));
        },
        [layer = all->layer.get()] { return layer->status(); });
  }
  return all;
}

}  // namespace dunlinwick::front
