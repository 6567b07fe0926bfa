// The verdict in common: how well each zone is, decided from the opinions of many fronts, and where
// a front's traffic goes for it. Pure: opinions, membership and time in; a verdict with its epoch
// and shares out.
//
// - Each front publishes an opinion (as a note of src/members/): the zones most of whose fronts it
// takes for dead, and
//   which share of its own zone's caches it can use (src/failover/health.hpp).
// - A zone is out where a quorum of fronts holds its fronts dead and no front of it that is heard
// says that its caches
//   serve; or where most of its fronts say that none of its caches serves. The quorum is counted of
//   the configured fleet, not of who is left, and a front that does not hear a quorum makes no
//   verdict: a minority cut off, or a front alone, keeps its zone.
// - Short of out, a zone's health is the upper median of what its fronts say, in quarters: one
// front with trouble of
//   its own moves nothing. Where most of its fronts are not heard it counts as well.
// - Down goes a zone at once where its fronts are dead, and once it has lasted `lasting` by its
// caches; up it comes a
//   quarter each `holdBack` (hysteresis): a zone that flickers does not take traffic back and
//   forth, and caches that return cold are not asked for all at once.
// - An epoch numbers verdicts: it rises with each change here, to the number that a peer tells of
// the same zones out
//   where one does, and is taken over later too, so fronts that agree also agree on the number.
//   Fronts that see the same opinions make the same verdict; those that disagree converge once the
//   opinions have spread (the members' bound).
// - Shares follow Envoy's priority levels: the own zone first, then the other zones of the region,
// then the other
//   regions, each level taking min(1, overprovision * its mean health) of what is left, in a level
//   by health; where the mean health of all zones falls below `panic`, the verdict is set aside and
//   traffic spreads over all alike.
// Bounds: at most 16 zones (a bit each in the note); fronts as configured.
#pragma once
#include <cstdint>
#include <map>
#include <vector>

namespace dunlinwick::failover {

using Ms = double;
using Id = std::uint32_t;
constexpr std::size_t kMostZones = 16;
constexpr int kSteps = 4;  // of a zone's health
constexpr double kUnknown = -1;

struct Place {
  int zone = 0;
  int region = 0;
};

struct Terms {
  int quorum = 0;       // 0: a majority of the configured fronts
  Ms hold_back = 3000;  // a zone comes back by a quarter after so long without a reason against it
  Ms lasting = 500;     // caches' trouble counts once it has lasted so long
  double overprovision = 1.4;  // Envoy's default
  double panic = 0.5;          // Envoy's default
  double alive_share =
      0.5;  // a front holds a zone out where fewer than this share of its fronts are alive
  // So many suspects of one zone at once count as gone already: chance does not make so many of one
  // place, and at size the news of each death by itself takes most of a minute. Guards against a
  // large zone that is left one by one. Harm: a storm of loss around one large zone, if a quorum
  // sees it so.
  int together = 5;
};

// What a front tells the others: its opinion, and the verdict it keeps with its epoch.
struct Opinion {
  std::uint64_t out = 0;     // zones most of whose fronts it takes for dead
  double health = kUnknown;  // the share of its own zone's caches that it can use; below 0 where it
                             // does not know
  std::uint64_t verdict = 0;
  std::uint32_t epoch = 0;
};
std::uint64_t Pack(
    const Opinion& o);  // 24 bits of epoch, 8 of health, 16 of opinion, 16 of verdict
Opinion Unpack(std::uint64_t bits);

// A front that this one does not take for dead.
struct Peer {
  Id id = 0;
  bool suspect = false;
  bool heard = false;  // it has said something
  Opinion said;
};

struct Verdict {
  std::uint64_t out = 0;    // zones out: those of no health
  std::vector<int> health;  // by zone, 0 to `steps`
  std::uint32_t epoch = 0;
  bool panic = false;
  std::vector<double> shares;  // by zone, summing to 1
};

class Verdicts {
 public:
  // `fronts`: where each configured front stands; `zoneRegion`: the region of each zone.
  Verdicts(Id self, std::map<Id, Place> fronts, std::vector<int> zone_region, Terms terms);

  // Looks at the other fronts that are not dead, forms this front's opinion (`health`: the share of
  // its zone's caches that it can use, below 0 where it does not know) and decides. `changed`:
  // whether the verdict did. Returns what to tell the others.
  Opinion Look(Ms now, double health, const std::vector<Peer>& living, bool& changed);
  const Verdict& verdict() const {
    return verdict_;
  }
  int Quorum() const {
    return quorum_;
  }

 private:
  bool Decide(Ms now, const Opinion& own, const std::map<Id, Opinion>& heard, std::size_t alive);
  std::vector<double> SharesFor(const std::vector<int>& health, bool& panic) const;
  int HealthOf(std::size_t zone, const std::vector<double>& said) const;

  Id self_;
  std::map<Id, Place> fronts_;
  std::vector<int> zone_region_;
  Terms terms_;
  int quorum_;
  Verdict verdict_;
  std::vector<int> configured_;  // fronts by zone
  std::vector<Ms> better_since_;
  std::vector<Ms>
      worse_since_;  // by zone: since when its health seems other than it stands; < 0: it does not
};

}  // namespace dunlinwick::failover
