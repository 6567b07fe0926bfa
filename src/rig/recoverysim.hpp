// A fleet losing its power and coming back, emulated on a virtual clock: each front's very Recovery
// machine, and small models of what it asks (the group's election and log, the record's positions,
// rules versions, a disk each with faults) and of what lies behind (zone caches that warm with what
// is filled, cold parents whose capacity grows with their warmth as coldTerms in src/logic.cpp has
// it, head office, a board that may be down). No sockets, no libraft. One seed is one schedule,
// replayed exactly.
#pragma once
#include <deque>
#include <memory>
#include <random>

#include "recovery/recovery.hpp"

namespace dunlinwick::rig {

using recovery::Id;
using recovery::Ms;

enum class Fault {
  kAll,
  kZone,
  kAllButOne,
  kStaggered,
  kAgain,
  kStores,
  kAllStores,
  kClocks,
  kDiscovery,
  kPartition,
  kAlone,
  kMixed
};
constexpr int kFaultKinds = 12;
const char* ToString(Fault f);

struct RecoveryBreaks {   // each a way to be wrong, for the judge to catch
  bool own_disk = false;  // own disk believed over the majority
  bool lease = false;     // a lease from before believed after the loss
  bool at_once = false;   // all pulls let in at once
  bool skip = false;      // a front whose store is good skips phases
  bool foreign = false;   // another's disk taken
  bool untold = false;    // loss not told
};
struct RecoverySimTerms {
  int fronts = 7;
  int zones = 3;
  int group = 3;
  recovery::Settings each;
  Ms tick = 50;
  Ms longest = 600000;
  double parent_from = 0.3;
  double usual_miss = 0.1;
  double spare = 2;  // capacity at start; of pulls with warm caches; of usual fills when warm
  Ms parent_lasts = 30000;
  double cache_holds = 1000;  // ms of a front's usual pulls, all filled, that warm its part of the
                              // zone's caches to 63%
  bool bytes = true;          // hellos go through their bytes
  RecoveryBreaks breaks;
};
RecoverySimTerms Usual(int fronts, int zones);

// What the judge reads: what happened, by the rig's own knowledge.
struct Seen {
  enum class What {
    kPower,
    kEntered,
    kAdmit,
    kLoss,
    kCorrupted,
    kGrant,
    kCommitted,
    kLevel,
    kLost
  } what;
  Ms at = 0;
  Id front = 0;
  recovery::Phase phase = recovery::Phase::kStore;
  bool by_time = false;
  bool certain_only = false;
  bool current = false;  // current: its record was truly caught up in this life
  bool bad = false;      // its disk is another's, old or flipped, and is still believed
  std::uint64_t number = 0;
  std::uint64_t floor = 0;
  std::uint64_t ceiling = 0;  // token or offset; known to a majority's disks; highest ever true
  Ms lease_over = 0;          // of a grant: when the last lease from before runs out
  double value = 0;           // level of the parents
  std::string why = {};
};
struct RecoveryRun {
  std::vector<Seen> seen;
  std::vector<std::string> faults;
  recovery::Settings terms;
  Ms faults_over = 0;
  Ms end = 0;
  bool all_whole = false;
  bool all_stores_lost = false;
  bool whole_loss = false;
  // For the bench: from the (last) return of power on.
  Ms first_safe = -1;
  Ms first_kept = -1;
  Ms goodput95 = -1;
  double peak_parents = 0;  // level: what is asked of them over what they bear
  double peak_office = 0;
  double usual_office = 0;
};

class RecoverySim {
 public:
  RecoverySim(RecoverySimTerms terms, std::uint64_t seed);
  ~RecoverySim();
  RecoveryRun Run(Fault fault);
  bool late_stopped = true;  // end as soon as all are whole; false: run on until goodput is back

 private:
  struct Front;
  struct Group;
  struct Flight {
    Ms at;
    Id from;
    Id to;
    std::string bytes;
    recovery::Hello hello;
  };
  void Up(Front& f);
  void Down(Front& f);
  void Spoil(Fault fault);
  void Act(Front& f, std::vector<recovery::Action> actions);
  void Give(Front& f, recovery::Event e);
  void GroupTurn();
  void FrontTurn(Front& f);
  void BehindTurn();
  bool reach(const Front& a, const Front& b) const;
  double Unit() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  Ms Between(Ms a, Ms b) {
    return a + (b - a) * Unit();
  }

  RecoverySimTerms terms_;
  std::knuth_b random_;
  Ms now_ = 0;
  std::vector<std::unique_ptr<Front>> fronts_;
  std::unique_ptr<Group> group_;
  std::deque<std::vector<Flight>> flights_;  // by tick
  std::vector<double> warm_;                 // by zone
  std::vector<Ms> zone_since_;               // start of its caches
  Ms parents_since_ = -1e9;
  double parents_warm_ = 1;
  std::deque<bool> crowded_;
  bool crowded_now_ = false;
  Ms discovery_down_until_ = -1;
  Ms power_back_ = -1;
  std::uint64_t known_token_ = 0;
  std::uint64_t known_offset_ = 0;  // by a majority's disks, when power went
  double worst_ = 0;
  RecoveryRun run_;
};

}  // namespace dunlinwick::rig
