#include "failover/verdict.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <stdexcept>

namespace dunlinwick::failover {

// 16 zones fit a note beside the epoch; the bound is checked where the fleet is read.
std::uint64_t Pack(const Opinion& o) {
  std::uint64_t health =
      o.health < 0 ? 255 : static_cast<std::uint64_t>(std::lround(std::min(o.health, 1.0) * 254));
  return (std::uint64_t{std::min(o.epoch, 0xffffffu)} << 40) | health << 32 |
         ((o.out & 0xffff) << 16) | (o.verdict & 0xffff);
}
Opinion Unpack(std::uint64_t bits) {
  std::uint64_t health = bits >> 32 & 0xff;
  return Opinion{(bits >> 16) & 0xffff,
                 health == 255 ? kUnknown : static_cast<double>(health) / 254, bits & 0xffff,
                 static_cast<std::uint32_t>(bits >> 40)};
}

Verdicts::Verdicts(Id self, std::map<Id, Place> fronts, std::vector<int> zone_region, Terms terms)
    : self_(self), fronts_(std::move(fronts)), zone_region_(std::move(zone_region)), terms_(terms) {
  if (zone_region_.empty() || zone_region_.size() > kMostZones)
    throw std::invalid_argument("1 to 16 zones");
  if (!fronts_.count(self_))
    throw std::invalid_argument("this front is not a member of the fleet");
  for (const auto& [id, p] : fronts_)
    if (p.zone < 0 || static_cast<std::size_t>(p.zone) >= zone_region_.size())
      throw std::invalid_argument("a front stands in a zone that is not configured");
  int n = static_cast<int>(fronts_.size());
  quorum_ = terms_.quorum > 0 ? std::min(terms_.quorum, n) : n / 2 + 1;
  configured_.assign(zone_region_.size(), 0);
  for (const auto& [id, p] : fronts_)
    ++configured_[static_cast<std::size_t>(p.zone)];
  better_since_.assign(zone_region_.size(), -1);
  worse_since_ = better_since_;
  verdict_.health.assign(zone_region_.size(), kSteps);
  verdict_.shares = SharesFor(verdict_.health, verdict_.panic);
}

Opinion Verdicts::Look(Ms now, double health, const std::vector<Peer>& living, bool& changed) {
  std::vector<int> up(zone_region_.size()), suspects(zone_region_.size());
  auto zone_of = [&](Id id) {
    return static_cast<std::size_t>(fronts_.at(id).zone);
  };
  ++up[zone_of(self_)];
  for (const Peer& p : living)
    if (p.id != self_ && fronts_.count(p.id)) {
      ++up[zone_of(p.id)];
      suspects[zone_of(p.id)] += p.suspect;
    }
  std::vector<bool> together(zone_region_.size());
  Opinion own;
  own.health = health;
  for (std::size_t z = 0; z < up.size(); ++z) {
    together[z] = suspects[z] >= terms_.together;
    int there = together[z] ? up[z] - suspects[z] : up[z];
    if (configured_[z] > 0 && there < terms_.alive_share * configured_[z])
      own.out |= std::uint64_t{1} << z;
  }
  std::map<Id, Opinion> heard;
  for (const Peer& p : living) {
    if (p.id == self_ || !fronts_.count(p.id) || !p.heard)
      continue;
    heard[p.id] = p.said;
    if (p.suspect && together[zone_of(p.id)])
      heard[p.id].health = kUnknown;  // said before it went
  }
  changed = Decide(now, own, heard, living.size() + 1);
  own.verdict = verdict_.out;
  own.epoch = verdict_.epoch;
  return own;
}

std::vector<double> Verdicts::SharesFor(const std::vector<int>& health, bool& panic) const {
  std::size_t zones = zone_region_.size();
  int own_zone = fronts_.at(self_).zone,
      ownRegion = zone_region_[static_cast<std::size_t>(own_zone)];
  std::vector<double> shares(zones, 0);
  int sum = std::accumulate(health.begin(), health.end(), 0);
  panic = sum < terms_.panic * kSteps * static_cast<double>(zones);
  if (panic) {  // Envoy's panic: health is set aside, all zones take alike
    std::fill(shares.begin(), shares.end(), 1.0 / static_cast<double>(zones));
    return shares;
  }
  // Levels: 0 the own zone, 1 the rest of the region, 2 the other regions.
  auto level = [&](std::size_t z) {
    return static_cast<int>(z) == own_zone ? 0 : zone_region_[z] == ownRegion ? 1 : 2;
  };
  double left = 1;
  for (int l = 0; l < 3 && left > 0; ++l) {
    int all = 0, up = 0;
    for (std::size_t z = 0; z < zones; ++z)
      if (level(z) == l) {
        all += kSteps;
        up += health[z];
      }
    if (up == 0)
      continue;
    double takes = std::min(left, terms_.overprovision * up / static_cast<double>(all));
    for (std::size_t z = 0; z < zones; ++z)
      if (level(z) == l)
        shares[z] = takes * health[z] / up;
    left -= takes;
  }
  // What no level has room for by its health is spread as the rest is.
  for (double& one : shares)
    one /= 1 - left;
  return shares;
}

// The upper median of what the zone's fronts say, in steps; well where most of them are not heard.
// Something that serves is never rounded down to nothing.
int Verdicts::HealthOf(std::size_t zone, const std::vector<double>& said) const {
  if (2 * static_cast<int>(said.size()) <= configured_[zone])
    return kSteps;
  std::vector<double> sorted = said;
  std::sort(sorted.begin(), sorted.end());
  return static_cast<int>(std::ceil(sorted[sorted.size() / 2] * kSteps - 1e-9));
}

bool Verdicts::Decide(Ms now, const Opinion& own, const std::map<Id, Opinion>& heard,
                      std::size_t alive) {
  std::size_t zones = zone_region_.size();
  std::vector<int> against(zones, 0);
  std::vector<std::vector<double>> said(zones);
  std::uint32_t highest = 0;
  auto take = [&](Id id, const Opinion& o) {
    for (std::size_t z = 0; z < zones; ++z)
      against[z] += o.out >> z & 1;
    if (o.health >= 0)
      said[static_cast<std::size_t>(fronts_.at(id).zone)].push_back(o.health);
  };
  take(self_, own);
  for (const auto& [id, o] : heard) {
    if (id == self_ || !fronts_.count(id))
      continue;
    take(id, o);
    highest = std::max(highest, o.epoch);
  }
  bool quorate = static_cast<int>(alive) >= quorum_;
  std::vector<int> health = verdict_.health;
  for (std::size_t z = 0; z < zones; ++z) {
    constexpr double serves = 0.5;
    bool said_well =
        std::any_of(said[z].begin(), said[z].end(), [](double h) { return h >= serves; });
    bool dead = quorate && against[z] >= quorum_ && !said_well;
    int seems = dead ? 0 : quorate ? HealthOf(z, said[z]) : kSteps;
    if (seems >= health[z])
      worse_since_[z] = -1;
    if (seems <= health[z])
      better_since_[z] = -1;
    if (seems < health[z]) {
      if (worse_since_[z] < 0)
        worse_since_[z] = now;
      if (dead || now - worse_since_[z] >= terms_.lasting) {
        health[z] = seems;
        worse_since_[z] = -1;
      }
    }
    if (seems > health[z]) {
      if (better_since_[z] < 0)
        better_since_[z] = now;
      if (now - better_since_[z] >= terms_.hold_back) {
        ++health[z];
        better_since_[z] = now;
      }
    }
  }
  if (health != verdict_.health) {
    verdict_.health = health;
    verdict_.out = 0;
    for (std::size_t z = 0; z < zones; ++z)
      if (health[z] == 0)
        verdict_.out |= std::uint64_t{1} << z;
    // Who comes to it after another takes the other's number; who comes first takes the next.
    std::uint32_t taken = 0;
    for (const auto& [id, o] : heard)
      if (o.verdict == verdict_.out && o.epoch > verdict_.epoch)
        taken = std::max(taken, o.epoch);
    verdict_.epoch = taken > 0 ? taken : std::max(verdict_.epoch, highest) + 1;
    verdict_.shares = SharesFor(health, verdict_.panic);
    return true;
  }
  // Fronts that agree agree on the number too: the highest epoch of the same verdict is taken over.
  for (const auto& [id, o] : heard)
    if (o.verdict == verdict_.out && o.epoch > verdict_.epoch)
      verdict_.epoch = o.epoch;
  return false;
}

}  // namespace dunlinwick::failover
