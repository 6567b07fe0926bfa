// The verdict in common: which zones are out, decided from the opinions of many fronts, and where a front's
// traffic goes for it. Pure: opinions, membership and time in; a verdict with its epoch and shares out.
//
// - Each front forms an opinion (a bit a zone: out or not) from what it sees, and publishes it (as a note of
//   src/members/). A zone is out once `quorum` fronts that are alive in this front's view hold it out; the quorum
//   is counted of the configured fleet, not of who is left, so that a minority cut off, or a front alone, can never
//   make a verdict: it keeps its zone.
// - Out goes at once; back needs the quorum gone for `holdBack` (hysteresis), so a zone that flickers does not take
//   traffic back and forth.
// - An epoch numbers verdicts: it rises with each change here, and where a peer tells a higher epoch of the same
//   verdict, it is taken over, so fronts that agree also agree on the number. Fronts that see the same opinions
//   make the same verdict; those that disagree converge once the opinions have spread (the members' bound).
// - Shares follow Envoy's priority levels: the own zone first, then the other zones of the region, then the other
//   regions, each level taking min(1, overprovision * its health) of what is left; where the health of all zones
//   together falls below `panic`, the verdict is set aside and traffic spreads over all zones.
// Bounds: at most 64 zones (a bit each); fronts as configured.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dunlinwick::failover {

using Ms = double;
using Id = std::uint32_t;
constexpr std::size_t mostZones = 64;

struct Place {
  int zone = 0, region = 0;
};

struct Terms {
  int quorum = 0;        // 0: a majority of the configured fronts
  Ms holdBack = 3000;    // a zone comes back after so long without a quorum against it
  double overprovision = 1.4;  // Envoy's default
  double panic = 0.5;          // Envoy's default
  double aliveShare = 0.5;     // a front holds a zone out where fewer than this share of its fronts are alive
};

// What a front tells the others: its opinion, and the verdict it keeps with its epoch.
struct Opinion {
  std::uint64_t out = 0;  // zones that it holds out
  std::uint64_t verdict = 0;
  std::uint32_t epoch = 0;
};
std::uint64_t pack(const Opinion& o);  // 32 bits of epoch, 16 of opinion, 16 of verdict: at most 16 zones
Opinion unpack(std::uint64_t bits);

struct Verdict {
  std::uint64_t out = 0;  // zones out
  std::uint32_t epoch = 0;
  bool panic = false;
  std::vector<double> shares;  // by zone, summing to 1
};

class Verdicts {
 public:
  // `fronts`: where each configured front stands; `zoneRegion`: the region of each zone.
  Verdicts(Id self, std::map<Id, Place> fronts, std::vector<int> zoneRegion, Terms terms);

  // This front's opinion, from which fronts it takes for alive (self included).
  std::uint64_t opinion(const std::vector<Id>& alive) const;
  // `heard`: the latest opinion of each other front that is alive in this front's view; `own`: this one's.
  // Returns whether the verdict changed.
  bool decide(Ms now, std::uint64_t own, const std::map<Id, Opinion>& heard);
  const Verdict& verdict() const { return verdict_; }
  Opinion told(std::uint64_t own) const { return Opinion{own, verdict_.out, verdict_.epoch}; }
  int quorum() const { return quorum_; }
  std::string zonesText(std::uint64_t set) const;  // "1,3" or "none"

 private:
  std::vector<double> sharesFor(std::uint64_t out, bool& panic) const;

  Id self_;
  std::map<Id, Place> fronts_;
  std::vector<int> zoneRegion_;
  Terms terms_;
  int quorum_;
  Verdict verdict_;
  std::vector<Ms> quorumGoneSince_;  // by zone: since when no quorum holds it out; < 0 while one does
};

}  // namespace dunlinwick::failover
