// Judges runs of DriftSim by what is true, never by what the machines believe, but for what they
// say:
// - found: a deviation that lasts past its term is named by every front that could hear, within
// foundWithin + what loss adds;
// - no false one: no verdict against a front that has not deviated for `steady` - 1 rounds at a
// stretch in that time;
// - kinds: unapproved and forked are told apart where nobody restarted;
// - repairs: at most atOnce a zone, never below leastServing; none by a token below one that the
// front had heard; none by one set aside.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "rig/driftsim.hpp"

namespace dunlinwick::rig {

class DriftJudge {
 public:
  explicit DriftJudge(const DriftSim& sim) : sim_(sim) {}
  void step();  // every 50 ms of virtual time
  void RecordFinding(Id by, const drift::StatusChanged& f);
  void TakesUp(Id front, Token token, Token heard);
  void Asks(Id by, const drift::Repair& r);
  void kind(Id front, drift::DriftStatus standing) {
    kind_[front] = standing;
  }                          // what the deviation is made as
  void Disturbed(Id front);  // it changed its place in the world: paused, cut, restarted
  Ms bound() const;          // foundWithin + what was lost adds
  void StrictKinds(bool on) {
    strict_ = on;
  }

  std::vector<std::string> faults;  // at most 20
  std::vector<Ms> found_after;      // of each deviation, until the last front named it
  std::vector<Ms> first_after;      // until the first one did
  std::uint64_t asked = 0;          // repairs asked for
  std::uint64_t owed = 0;
  std::uint64_t met = 0;
  std::uint64_t ended = 0;  // deviations to be found; found; repaired before

 private:
  void fault(const std::string& text);
  struct Watch {
    Ms bad_since = -1;
    Ms disturbed_at = 0;
    Ms last_real_bad = -1e18;
    std::uint64_t what = 0;
    bool due = false;
    bool done = false;
    bool first = false;
    bool named = false;
  };
  const DriftSim& sim_;
  std::map<Id, Watch> watch_;
  std::map<Id, drift::DriftStatus> kind_;
  std::map<Id, Ms> ejected_since_;
  double gone_most_ = 0;  // the most fronts that were away at once, as a share
  Ms thin_at_ = 0;
  bool strict_ = true;
};

}  // namespace dunlinwick::rig
