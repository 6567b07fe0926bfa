// The failover decision: the health of each zone, decided from the observations of many fronts, and
// the traffic weights that follow for a front. Pure: observations, membership and the time go in;
// a decision with its epoch and traffic weights comes out.
//
// - Each front publishes an observation (as the piggybacked payload of src/members/): the zones
// most
//   of whose fronts it considers dead, and the share of its own zone's caches that it can use
//   (src/failover/health.hpp).
// - A zone is unavailable where a quorum of fronts considers its fronts dead and no front of it
// that
//   is still received reports that its caches serve; or where most of its fronts report that none
//   of its caches serves. The quorum is a share of the configured fleet, not of the fronts that are
//   left, and a front that does not reach a quorum decides nothing: a minority partition, or a
//   front alone, keeps its zone.
// - Otherwise a zone's health is the upper median of what its fronts report, in quarters: a single
//   front with local trouble changes nothing. Where most of its fronts are not received, the zone
//   counts as healthy.
// - A zone's health falls at once where its fronts are dead, and after `degradation_delay` because
//   of its caches; it rises by a quarter each `recovery_interval` (hysteresis): a flapping zone
//   does not move traffic back and forth, and caches that return with no content do not get all
//   requests at once.
// - An epoch numbers the decisions: it rises with each change here, to the number that a peer
//   reports for the same unavailable zones if one does, and a peer's higher number is also adopted
//   later, so fronts that agree also agree on the number. Fronts with the same observations reach
//   the same decision; those that disagree converge once the observations have spread (the bound of
//   membership).
// - Traffic weights follow Envoy's priority levels: the own zone first, then the other zones of the
//   region, then the other regions, each level taking min(1, overprovisioning_factor * its mean
//   health) of what is left, distributed within a level by health. Where the mean health of all
//   zones falls below `panic_threshold`, health is disregarded and traffic is spread evenly.
// Bounds: at most 16 zones (one bit each in the payload); fronts as configured.
#pragma once
#include <cstdint>
#include <map>
#include <vector>

namespace dunlinwick::failover {

using Ms = double;
using Id = std::uint32_t;
constexpr std::size_t kMaxZones = 16;
constexpr int kHealthSteps = 4;  // of a zone's health
constexpr double kUnknown = -1;

struct Location {
  int zone = 0;
  int region = 0;
};

struct FailoverSettings {
  int quorum = 0;               // 0: a majority of the configured fronts
  Ms recovery_interval = 3000;  // a zone recovers by a quarter after so long without trouble
  Ms degradation_delay = 500;   // trouble of the caches counts once it has lasted so long
  double overprovisioning_factor = 1.4;  // Envoy's default
  double panic_threshold = 0.5;          // Envoy's default
  double min_alive_share =
      0.5;  // a front considers a zone dead where fewer than this share of its fronts are alive
  // So many simultaneous suspects of one zone already count as dead: chance does not produce so
  // many in one zone, and in a large fleet the separate reports of each death take most of a
  // minute. Guards against traffic leaving a large zone only front by front. Harm: heavy packet
  // loss around one large zone has the same effect if a quorum observes it.
  int correlated_suspect_count = 5;
};

// What a front publishes: its observation, and its current decision with the epoch.
struct ZoneHealthObservation {
  std::uint64_t unavailable_zones = 0;  // zones most of whose fronts it considers dead
  double health = kUnknown;    // the share of its own zone's caches that it can use; negative where
                               // that is unknown
  std::uint64_t decision = 0;  // the zones that are unavailable by its current decision
  std::uint32_t epoch = 0;
};
// 24 bits of epoch, 8 of health, 16 of unavailable zones, 16 of the decision.
std::uint64_t Pack(const ZoneHealthObservation& observation);
ZoneHealthObservation Unpack(std::uint64_t bits);

// A front that this one does not consider dead.
struct Peer {
  Id id = 0;
  bool is_suspect = false;
  bool has_observation = false;
  ZoneHealthObservation observation;
};

struct FailoverDecision {
  std::uint64_t unavailable_zones = 0;  // those of health 0
  std::vector<int> health;              // by zone, 0 to kHealthSteps
  std::uint32_t epoch = 0;
  bool panic = false;
  std::vector<double> traffic_weights;  // by zone, summing to 1
};

class FailoverController {
 public:
  // `fronts`: the location of each configured front; `zone_region`: the region of each zone.
  FailoverController(Id self, std::map<Id, Location> fronts, std::vector<int> zone_region,
                     FailoverSettings settings);

  // Forms this front's observation from the other fronts that are not dead and from `health` (the
  // share of its zone's caches that it can use, negative where unknown), and decides. `changed`:
  // whether the decision changed. Returns what to publish.
  ZoneHealthObservation Evaluate(Ms now, double health, const std::vector<Peer>& alive_peers,
                                 bool& changed);
  const FailoverDecision& decision() const {
    return decision_;
  }
  int Quorum() const {
    return quorum_;
  }

 private:
  bool Decide(Ms now, const ZoneHealthObservation& own,
              const std::map<Id, ZoneHealthObservation>& observations, std::size_t alive);
  std::vector<double> ComputeTrafficWeights(const std::vector<int>& health, bool& panic) const;
  int ZoneHealth(std::size_t zone, const std::vector<double>& shares) const;

  Id self_;
  std::map<Id, Location> fronts_;
  std::vector<int> zone_region_;
  FailoverSettings settings_;
  int quorum_;
  FailoverDecision decision_;
  std::vector<int> configured_count_;  // of fronts by zone
  std::vector<Ms> better_since_;
  std::vector<Ms> worse_since_;  // by zone: since when its observed health is above (better) or
                                 // below (worse) its decided health; negative: it is not
};

}  // namespace dunlinwick::failover
