// A drill's script: what stands there, how much is asked for, and what goes wrong when. Read from JSON with
// comments (docs/operators/drills.md), written back by the search that cuts a failing one down.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "world/model.hpp"

namespace dunlinwick::drill {

using world::Ms;

enum class What {
  stall,        // a machine does nothing for a while; its connections stay open
  slow,         // runs `factor` times slower for a while
  ageing,       // gets slower and slower, up to `factor` times, until a cold restart at its end
  kill,         // dies for good; the list says so late
  restart,      // dies and comes back cold and empty after `for`, under its id
  vanish,       // its machine is gone without a word for `for`; then comes back cold
  drain,        // told to drain; leaves after `for` and comes back under a new id at its address, cold
  take,         // leaves with notice after `for`, and stays away
  deploy,       // one after another, within `for`, are replaced as by drain
  purge,        // `count` popular objects are purged at once
  purgeGroups,  // a share of the groups
  cut,          // the network of a machine, a front or the board is cut for `for`: silent, open
  oneWay,       // what it sends is lost for `for`; what it is sent arrives
  lag,          // its network takes `ms` longer
  loss,         // a share of what its store's network carries is lost and sent again
  lateReports,  // load reports come `ms` later
  oddSizes,     // a share of the pulls is for objects of `factor` times the usual size
  scan,         // a share of the pulls is for objects wanted only once
  crowd,        // `factor` times the usual traffic
  frontKill,    // fronts die and come back after `for` with the list of that time
  frontStop,    // fronts are asked to stop, and start anew once they have
  boardBreak,   // the notice board breaks off in the middle of an event
  boardStop,    // it stays open and says nothing for `for`
  swallowed,    // a share of the answers never comes
  brokenOff,    // a share of the answers breaks off
  noise,        // a share of the answers can't be read
  apart         // fronts and the others of the fleet don't hear each other for `for`; they still reach all caches
};

// What a trouble may wait for in place of a time.
enum class Moment { none, drainTold, purgeTold, coldStart, handoverAsked, officeStopped, frontBack };

struct Trouble {
  What what = What::stall;
  Ms at = 0;
  Moment when = Moment::none;  // then `at` counts from that
  std::string whom = "cache";  // cache, area, office, front, board, or the id of one
  int count = 1;               // of them; 0: all
  Ms lasts = 5000;
  double factor = 4, share = 0.1;
  Ms late = 1000;
};

struct Script {
  std::string name, about;
  Ms length = 60000;
  int stores = 3, caches = 14, fronts = 4, areas = 2;
  bool inCommon = false;  // the fronts have a fleet: membership, a verdict in common, pulls steered by it
  double pullsPerS = 240;
  double load = 0;  // of the caches' capacity that pulls take on average; 0: as the ranges say
  double bytesPerKb = 0.1;
  int retries = 1;
  Ms retryWait = 100;
  double swing = 0.2, impatient = 0.002;
  bool ticketed = false;  // one offering more, whose repeats the caches of a store drop
  double choppy = 0.02;   // share of reads and writes that take a part only
  std::size_t descriptors = 1024;
  double memoryMb = 192;
  std::vector<Trouble> troubles;
};

// Throws schema::Refused. `name`: what the drill is called, if the text says nothing.
Script readScript(const std::string& path);
Script readScriptText(const std::string& file, const std::string& text);
std::string written(const Script& script);  // as a file that readScript() takes

const char* word(What what);
const char* word(Moment moment);

}  // namespace dunlinwick::drill
