#include "front/parts.hpp"

#include "front/owner.hpp"
#include "front/peers.hpp"

namespace dunlinwick::front {

bool partsBuilt() { return true; }

namespace {
struct All final : Parts {
  std::unique_ptr<Peers> peers;  // ends last: parts send through it
  std::unique_ptr<Fleet> fleet;
  std::unique_ptr<Owner> owner;
};
}  // namespace

std::unique_ptr<Parts> makeParts(loop::Loop& loop, const Charter& c, failover::Health& health, Fleet::Steer steer) {
  if (!c.peers.on && !c.owner.on) return nullptr;
  auto all = std::make_unique<All>();
  if (c.peers.on) all->peers = std::make_unique<Peers>(loop, c.peers);
  if (c.fleet.on && c.fleet.overPeers) {
    all->fleet = std::make_unique<Fleet>(loop, c.fleet, c.seed, health, std::move(steer), all->peers.get());
    all->peers->carry(*all->fleet);
  }
  if (c.owner.on) {
    all->owner = std::make_unique<Owner>(loop, c.owner, c.seed, c.owner.overPeers ? all->peers.get() : nullptr);
    if (c.owner.overPeers) all->peers->carry(*all->owner);
  }
  return all;
}

}  // namespace dunlinwick::front
