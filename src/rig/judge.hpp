// The checker across processes: from what was done to a fleet, what its fronts decided and what
// clients saw, judges the rules that can be seen there and the failover's own promises. Pure. It
// reads the same history from processes (their logs) and from the staged members.
//
// Promises, each with the bound it is judged by:
//   alone     a front that has been short of a quorum for `grace` leaves no zone;
//   left      a zone all of whose fronts are dead, stopped or cut off is left by every front of the
//   quorum that remains
//             within leaveWithin(); one all of whose caches are lost, within cachesWithin();
//   flapping  a zone that came back stays back `holdBack`, unless something was done to the fleet
//   in between, and one
//             that was left stays left `holdBack`;
//   epochs    never fall within one life of a front;
//   agreement once nothing was done for settleWithin(), fronts that reach each other keep one
//   verdict of one epoch; answers   each pull gets one final answer in its time, but for pulls at a
//   front that was killed, stopped or restarted
//             under them; none gets two;
//   effects   no exclusive pull ran twice.
// Of the five rules, drains, cold starts and purges are not seen here: the toy fleet's board is
// still (drills judge them).
#pragma once
#include <map>
#include <string>
#include <vector>

#include "rig/script.hpp"

namespace dunlinwick::fleet {

struct CueDone {
  Ms at = 0;
  Cue cue;
};
struct VerdictSeen {
  Ms at = 0;
  std::size_t front = 0;
  std::uint64_t out = 0;  // a bit a zone
  std::uint32_t epoch = 0;
};
struct RequestSeen {
  std::string id;
  std::size_t front = 0;
  bool exclusive = false;
  Ms at = 0;
  Ms ttl = 0;
  int answers = 0;  // final ones
  int status = 0;   // of the first; 0: none
  Ms answered_at = 0;
  std::string place;   // whose caches served it, where the answer says
  bool ended = false;  // its connection is over, or its time and half a second are
};
struct History {
  Ms from = 0;
  Ms until = 0;
  std::vector<CueDone> cues;
  std::vector<VerdictSeen> verdicts;                                 // by time
  std::vector<std::pair<std::size_t, std::uint32_t>> epochs_at_end;  // of fronts that are up
  std::vector<RequestSeen> requests;
  std::map<std::string, int> ran;  // exclusive pulls by id: how often one reached where it runs
};
struct Broken {
  std::string promise;
  Ms at = 0;
  std::string what;  // with the evidence
};

// The stated bounds, from a fleet's terms.
Ms LeaveWithin(const FleetFile& fleet);   // the longest suspicion, a round of probes, the news' way
Ms CachesWithin(const FleetFile& fleet);  // where pulls are asked for: strikes at each cache,
                                          // `lasting`, the news' way
Ms SettleWithin(const FleetFile& fleet);  // both, and the way back in quarters

std::vector<Broken> CheckHistory(const FleetFile& fleet, const History& history);

// What pulls came to between two times: for the tables.
struct Kept {
  int asked = 0;
  int finished = 0;
  int near = 0;  // near: of those finished, by the front's own zone
  double Share() const {
    return finished > 0 ? static_cast<double>(near) / finished : 1;
  }
};
Kept MakeKept(const FleetFile& fleet, const History& history, Ms from, Ms until);

}  // namespace dunlinwick::fleet
