// A drill's script: what stands there, how much is asked for, and what goes wrong when. Read from
// JSON with comments (docs/operators/drills.md), written back by the search that cuts a failing one
// down.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "world/model.hpp"

namespace dunlinwick::drill {

using world::Ms;

enum class What {
  kStall,    // a machine does nothing for a while; its connections stay open
  kSlow,     // runs `factor` times slower for a while
  kAgeing,   // gets slower and slower, up to `factor` times, until a cold restart at its end
  kKill,     // dies for good; the list says so late
  kRestart,  // dies and comes back cold and empty after `for`, under its id
  kVanish,   // its machine is gone without a word for `for`; then comes back cold
  kDrain,    // told to drain; leaves after `for` and comes back under a new id at its address, cold
  kTake,     // leaves with notice after `for`, and stays away
  kDeploy,   // one after another, within `for`, are replaced as by drain
  kPurge,    // `count` popular objects are purged at once
  kPurgeGroups,     // a share of the groups
  kCut,             // the network of a machine, a front or the board is cut for `for`: silent, open
  kOneWay,          // what it sends is lost for `for`; what it is sent arrives
  kLag,             // its network takes `ms` longer
  kLoss,            // a share of what its store's network carries is lost and sent again
  kLateReports,     // load reports come `ms` later
  kOddSizes,        // a share of the pulls is for objects of `factor` times the usual size
  kScan,            // a share of the pulls is for objects wanted only once
  kCrowd,           // `factor` times the usual traffic
  kFrontKill,       // fronts die and come back after `for` with the list of that time
  kFrontStop,       // fronts are asked to stop, and start anew once they have
  kDiscoveryBreak,  // the notice board breaks off in the middle of an event
  kDiscoveryStop,   // it stays open and says nothing for `for`
  kSwallowed,       // a share of the answers never comes
  kBrokenOff,       // a share of the answers breaks off
  kNoise,           // a share of the answers can't be read
  kApart  // fronts and the others of the fleet don't hear each other for `for`; they still reach
          // all caches
};

// What a trouble may wait for in place of a time.
enum class Moment {
  kNone,
  kDrainNotified,
  kPurgeNotified,
  kColdStart,
  kHandoverAsked,
  kOfficeStopped,
  kFrontBack
};

struct Trouble {
  What what = What::kStall;
  Ms at = 0;
  Moment when = Moment::kNone;  // then `at` counts from that
  std::string whom = "cache";   // cache, area, office, front, board, or the id of one
  int count = 1;                // of them; 0: all
  Ms lasts = 5000;
  double factor = 4;
  double share = 0.1;
  Ms late = 1000;
};

struct Script {
  std::string name;
  std::string about;
  Ms length = 60000;
  int stores = 3;
  int caches = 14;
  int fronts = 4;
  int areas = 2;
  bool in_common =
      false;  // the fronts have a fleet: membership, a verdict in common, pulls steered by it
  double requests_per_s = 240;
  double load = 0;  // of the caches' capacity that pulls take on average; 0: as the ranges say
  double bytes_per_kb = 0.1;
  int retries = 1;
  Ms retry_wait = 100;
  double swing = 0.2;
  double impatient = 0.002;
  bool idempotent_with_key = false;  // one offering more, whose repeats the caches of a store drop
  double choppy = 0.02;              // share of reads and writes that take a part only
  std::size_t descriptors = 1024;
  double memory_mb = 192;
  std::vector<Trouble> troubles;
};

// Throws schema::ValidationError. `name`: what the drill is called, if the text says nothing.
Script ReadScript(const std::string& path);
Script ReadScriptText(const std::string& file, const std::string& text);
std::string Written(const Script& script);  // as a file that readScript() takes

const char* ToString(What what);
const char* ToString(Moment moment);

}  // namespace dunlinwick::drill
