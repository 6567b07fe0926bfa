#include "failover/verdict.hpp"

#include <algorithm>
#include <bit>
#include <stdexcept>

namespace dunlinwick::failover {

// 16 zones fit a note beside the epoch; the bound is checked where the fleet is read.
std::uint64_t pack(const Opinion& o) {
  return (std::uint64_t{o.epoch} << 32) | ((o.out & 0xffff) << 16) | (o.verdict & 0xffff);
}
Opinion unpack(std::uint64_t bits) {
  return Opinion{(bits >> 16) & 0xffff, bits & 0xffff, static_cast<std::uint32_t>(bits >> 32)};
}

Verdicts::Verdicts(Id self, std::map<Id, Place> fronts, std::vector<int> zoneRegion, Terms terms)
    : self_(self), fronts_(std::move(fronts)), zoneRegion_(std::move(zoneRegion)), terms_(terms) {
  if (zoneRegion_.empty() || zoneRegion_.size() > 16) throw std::invalid_argument("1 to 16 zones");
  if (!fronts_.count(self_)) throw std::invalid_argument("this front is not among the fleet's");
  for (const auto& [id, p] : fronts_)
    if (p.zone < 0 || static_cast<std::size_t>(p.zone) >= zoneRegion_.size())
      throw std::invalid_argument("a front stands in a zone that is not configured");
  int n = static_cast<int>(fronts_.size());
  quorum_ = terms_.quorum > 0 ? std::min(terms_.quorum, n) : n / 2 + 1;
  quorumGoneSince_.assign(zoneRegion_.size(), -1);
  bool panic = false;
  verdict_.shares = sharesFor(0, panic);
}

std::string Verdicts::zonesText(std::uint64_t set) const {
  std::string text;
  for (std::size_t z = 0; z < zoneRegion_.size(); ++z)
    if (set >> z & 1) text += (text.empty() ? "" : ",") + std::to_string(z);
  return text.empty() ? "none" : text;
}

std::uint64_t Verdicts::opinion(const std::vector<Id>& alive) const {
  std::vector<int> all(zoneRegion_.size()), up(zoneRegion_.size());
  for (const auto& [id, p] : fronts_) ++all[static_cast<std::size_t>(p.zone)];
  for (Id id : alive)
    if (auto f = fronts_.find(id); f != fronts_.end()) ++up[static_cast<std::size_t>(f->second.zone)];
  std::uint64_t out = 0;
  for (std::size_t z = 0; z < all.size(); ++z)
    if (all[z] > 0 && up[z] < terms_.aliveShare * all[z]) out |= std::uint64_t{1} << z;
  return out;
}

std::vector<double> Verdicts::sharesFor(std::uint64_t out, bool& panic) const {
  std::size_t zones = zoneRegion_.size();
  int ownZone = fronts_.at(self_).zone, ownRegion = zoneRegion_[static_cast<std::size_t>(ownZone)];
  std::vector<double> shares(zones, 0);
  int upZones = static_cast<int>(zones) - std::popcount(out);
  panic = upZones < terms_.panic * static_cast<double>(zones);
  if (panic || upZones == 0) {  // Envoy's panic: health is set aside, all zones take alike
    std::fill(shares.begin(), shares.end(), 1.0 / static_cast<double>(zones));
    return shares;
  }
  // Levels: 0 the own zone, 1 the rest of the region, 2 the other regions.
  auto level = [&](std::size_t z) {
    return static_cast<int>(z) == ownZone ? 0 : zoneRegion_[z] == ownRegion ? 1 : 2;
  };
  double left = 1;
  std::vector<double> taken(3, 0);
  for (int l = 0; l < 3 && left > 0; ++l) {
    int all = 0, up = 0;
    for (std::size_t z = 0; z < zones; ++z)
      if (level(z) == l) ++all, up += !(out >> z & 1);
    if (all == 0) continue;
    taken[static_cast<std::size_t>(l)] =
        std::min(left, std::min(1.0, terms_.overprovision * up / static_cast<double>(all)));
    left -= taken[static_cast<std::size_t>(l)];
  }
  double sum = taken[0] + taken[1] + taken[2];
  for (int l = 0; l < 3; ++l) {
    int up = 0;
    for (std::size_t z = 0; z < zones; ++z) up += level(z) == l && !(out >> z & 1);
    for (std::size_t z = 0; z < zones; ++z)
      if (level(z) == l && !(out >> z & 1)) shares[z] = taken[static_cast<std::size_t>(l)] / sum / up;
  }
  return shares;
}

bool Verdicts::decide(Ms now, std::uint64_t own, const std::map<Id, Opinion>& heard) {
  std::vector<int> against(zoneRegion_.size(), 0);
  std::uint32_t highest = 0;
  for (std::size_t z = 0; z < against.size(); ++z) against[z] += own >> z & 1;
  for (const auto& [id, o] : heard) {
    if (id == self_ || !fronts_.count(id)) continue;
    for (std::size_t z = 0; z < against.size(); ++z) against[z] += o.out >> z & 1;
    highest = std::max(highest, o.epoch);
  }
  std::uint64_t out = 0;
  for (std::size_t z = 0; z < against.size(); ++z) {
    bool was = verdict_.out >> z & 1;
    if (against[z] >= quorum_) {
      quorumGoneSince_[z] = -1;
      out |= std::uint64_t{1} << z;
    } else if (was) {
      // Hysteresis: back only once no quorum has held it out for holdBack.
      if (quorumGoneSince_[z] < 0) quorumGoneSince_[z] = now;
      if (now - quorumGoneSince_[z] < terms_.holdBack) out |= std::uint64_t{1} << z;
    }
  }
  if (out != verdict_.out) {
    verdict_.out = out;
    verdict_.epoch = std::max(verdict_.epoch, highest) + 1;
    verdict_.shares = sharesFor(out, verdict_.panic);
    return true;
  }
  // Fronts that agree agree on the number too: the highest epoch of the same verdict is taken over.
  for (const auto& [id, o] : heard)
    if (o.verdict == verdict_.out && o.epoch > verdict_.epoch) verdict_.epoch = o.epoch;
  return false;
}

}  // namespace dunlinwick::failover
