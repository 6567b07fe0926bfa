#include "failover/verdict.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <stdexcept>

namespace dunlinwick::failover {

// The piggybacked payload has room for 16 zones beside the epoch; the bound is checked where the
// fleet's configuration is read.
std::uint64_t Pack(const ZoneHealthObservation& observation) {
  std::uint64_t health =
      observation.health < 0
          ? 255
          : static_cast<std::uint64_t>(std::lround(std::min(observation.health, 1.0) * 254));
  return (std::uint64_t{std::min(observation.epoch, 0xffffffu)} << 40) | health << 32 |
         ((observation.unavailable_zones & 0xffff) << 16) | (observation.decision & 0xffff);
}
ZoneHealthObservation Unpack(std::uint64_t bits) {
  std::uint64_t health = bits >> 32 & 0xff;
  return ZoneHealthObservation{(bits >> 16) & 0xffff,
                               health == 255 ? kUnknown : static_cast<double>(health) / 254,
                               bits & 0xffff, static_cast<std::uint32_t>(bits >> 40)};
}

FailoverController::FailoverController(Id self, std::map<Id, Location> fronts,
                                       std::vector<int> zone_region, FailoverSettings settings)
    : self_(self),
      fronts_(std::move(fronts)),
      zone_region_(std::move(zone_region)),
      settings_(settings) {
  if (zone_region_.empty() || zone_region_.size() > kMaxZones)
    throw std::invalid_argument("1 to 16 zones");
  if (!fronts_.count(self_))
    throw std::invalid_argument("this front is not a member of the fleet");
  for (const auto& [id, location] : fronts_)
    if (location.zone < 0 || static_cast<std::size_t>(location.zone) >= zone_region_.size())
      throw std::invalid_argument("a front is in a zone that is not configured");
  int count = static_cast<int>(fronts_.size());
  quorum_ = settings_.quorum > 0 ? std::min(settings_.quorum, count) : count / 2 + 1;
  configured_count_.assign(zone_region_.size(), 0);
  for (const auto& [id, location] : fronts_)
    ++configured_count_[static_cast<std::size_t>(location.zone)];
  better_since_.assign(zone_region_.size(), -1);
  worse_since_ = better_since_;
  decision_.health.assign(zone_region_.size(), kHealthSteps);
  decision_.traffic_weights = ComputeTrafficWeights(decision_.health, decision_.panic);
}

ZoneHealthObservation FailoverController::Evaluate(Ms now, double health,
                                                   const std::vector<Peer>& alive_peers,
                                                   bool& changed) {
  std::vector<int> alive(zone_region_.size()), suspects(zone_region_.size());
  auto zone_of = [&](Id id) {
    return static_cast<std::size_t>(fronts_.at(id).zone);
  };
  ++alive[zone_of(self_)];
  for (const Peer& peer : alive_peers)
    if (peer.id != self_ && fronts_.count(peer.id)) {
      ++alive[zone_of(peer.id)];
      suspects[zone_of(peer.id)] += peer.is_suspect;
    }
  std::vector<bool> correlated_loss(zone_region_.size());
  ZoneHealthObservation own;
  own.health = health;
  for (std::size_t zone = 0; zone < alive.size(); ++zone) {
    correlated_loss[zone] = suspects[zone] >= settings_.correlated_suspect_count;
    int alive_count = correlated_loss[zone] ? alive[zone] - suspects[zone] : alive[zone];
    if (configured_count_[zone] > 0 &&
        alive_count < settings_.min_alive_share * configured_count_[zone])
      own.unavailable_zones |= std::uint64_t{1} << zone;
  }
  std::map<Id, ZoneHealthObservation> observations;
  for (const Peer& peer : alive_peers) {
    if (peer.id == self_ || !fronts_.count(peer.id) || !peer.has_observation)
      continue;
    observations[peer.id] = peer.observation;
    if (peer.is_suspect && correlated_loss[zone_of(peer.id)])
      observations[peer.id].health = kUnknown;  // sent before the front was lost
  }
  changed = Decide(now, own, observations, alive_peers.size() + 1);
  own.decision = decision_.unavailable_zones;
  own.epoch = decision_.epoch;
  return own;
}

std::vector<double> FailoverController::ComputeTrafficWeights(const std::vector<int>& health,
                                                              bool& panic) const {
  std::size_t zones = zone_region_.size();
  int own_zone = fronts_.at(self_).zone,
      own_region = zone_region_[static_cast<std::size_t>(own_zone)];
  std::vector<double> weights(zones, 0);
  int sum = std::accumulate(health.begin(), health.end(), 0);
  panic = sum < settings_.panic_threshold * kHealthSteps * static_cast<double>(zones);
  if (panic) {  // Envoy's panic mode: health is disregarded, all zones get the same weight
    std::fill(weights.begin(), weights.end(), 1.0 / static_cast<double>(zones));
    return weights;
  }
  // Priority levels: 0 the own zone, 1 the rest of the region, 2 the other regions.
  auto level = [&](std::size_t zone) {
    return static_cast<int>(zone) == own_zone ? 0 : zone_region_[zone] == own_region ? 1 : 2;
  };
  double remaining = 1;
  for (int priority = 0; priority < 3 && remaining > 0; ++priority) {
    int capacity = 0, healthy = 0;
    for (std::size_t zone = 0; zone < zones; ++zone)
      if (level(zone) == priority) {
        capacity += kHealthSteps;
        healthy += health[zone];
      }
    if (healthy == 0)
      continue;
    double taken = std::min(
        remaining, settings_.overprovisioning_factor * healthy / static_cast<double>(capacity));
    for (std::size_t zone = 0; zone < zones; ++zone)
      if (level(zone) == priority)
        weights[zone] = taken * health[zone] / healthy;
    remaining -= taken;
  }
  // Traffic beyond the capacity of all levels is spread in proportion to the rest.
  for (double& weight : weights)
    weight /= 1 - remaining;
  return weights;
}

// The upper median of what the zone's fronts report, in steps; full health where most of them are
// not received. A share above 0 is never rounded down to 0.
int FailoverController::ZoneHealth(std::size_t zone, const std::vector<double>& shares) const {
  if (2 * static_cast<int>(shares.size()) <= configured_count_[zone])
    return kHealthSteps;
  std::vector<double> sorted = shares;
  std::sort(sorted.begin(), sorted.end());
  return static_cast<int>(std::ceil(sorted[sorted.size() / 2] * kHealthSteps - 1e-9));
}

bool FailoverController::Decide(Ms now, const ZoneHealthObservation& own,
                                const std::map<Id, ZoneHealthObservation>& observations,
                                std::size_t alive) {
  std::size_t zones = zone_region_.size();
  std::vector<int> votes_against(zones, 0);
  std::vector<std::vector<double>> shares(zones);
  std::uint32_t highest_epoch = 0;
  auto count_observation = [&](Id id, const ZoneHealthObservation& observation) {
    for (std::size_t zone = 0; zone < zones; ++zone)
      votes_against[zone] += observation.unavailable_zones >> zone & 1;
    if (observation.health >= 0)
      shares[static_cast<std::size_t>(fronts_.at(id).zone)].push_back(observation.health);
  };
  count_observation(self_, own);
  for (const auto& [id, observation] : observations) {
    if (id == self_ || !fronts_.count(id))
      continue;
    count_observation(id, observation);
    highest_epoch = std::max(highest_epoch, observation.epoch);
  }
  bool has_quorum = static_cast<int>(alive) >= quorum_;
  std::vector<int> health = decision_.health;
  for (std::size_t zone = 0; zone < zones; ++zone) {
    constexpr double kServing = 0.5;
    bool reported_serving = std::any_of(shares[zone].begin(), shares[zone].end(),
                                        [](double h) { return h >= kServing; });
    bool is_dead = has_quorum && votes_against[zone] >= quorum_ && !reported_serving;
    int target = is_dead ? 0 : has_quorum ? ZoneHealth(zone, shares[zone]) : kHealthSteps;
    if (target >= health[zone])
      worse_since_[zone] = -1;
    if (target <= health[zone])
      better_since_[zone] = -1;
    if (target < health[zone]) {
      if (worse_since_[zone] < 0)
        worse_since_[zone] = now;
      if (is_dead || now - worse_since_[zone] >= settings_.degradation_delay) {
        health[zone] = target;
        worse_since_[zone] = -1;
      }
    }
    if (target > health[zone]) {
      if (better_since_[zone] < 0)
        better_since_[zone] = now;
      if (now - better_since_[zone] >= settings_.recovery_interval) {
        ++health[zone];
        better_since_[zone] = now;
      }
    }
  }
  if (health != decision_.health) {
    decision_.health = health;
    decision_.unavailable_zones = 0;
    for (std::size_t zone = 0; zone < zones; ++zone)
      if (health[zone] == 0)
        decision_.unavailable_zones |= std::uint64_t{1} << zone;
    // A front that reaches a decision after a peer adopts the peer's epoch; the first one takes the
    // next number.
    std::uint32_t peer_epoch = 0;
    for (const auto& [id, observation] : observations)
      if (observation.decision == decision_.unavailable_zones &&
          observation.epoch > decision_.epoch)
        peer_epoch = std::max(peer_epoch, observation.epoch);
    decision_.epoch = peer_epoch > 0 ? peer_epoch : std::max(decision_.epoch, highest_epoch) + 1;
    decision_.traffic_weights = ComputeTrafficWeights(health, decision_.panic);
    return true;
  }
  // Fronts that agree also agree on the number: the highest epoch of the same decision is adopted.
  for (const auto& [id, observation] : observations)
    if (observation.decision == decision_.unavailable_zones && observation.epoch > decision_.epoch)
      decision_.epoch = observation.epoch;
  return false;
}

}  // namespace dunlinwick::failover
