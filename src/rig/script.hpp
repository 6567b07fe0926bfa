// A fleet and what goes wrong in it, on cue: the files that `dunlinctl fleet` reads. One script of
// faults drives real processes with the relay (src/rig/harness.hpp) and the staged members
// (src/rig/sim.hpp) alike.
//
// JSON with comments; refused whole with file, line, field and reason. Times in the files are
// seconds.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "failover/verdict.hpp"
#include "members/swim.hpp"

namespace dunlinwick::fleet {

using Ms = double;

// One owner at a time for the fleet's work, with stand-ins that carry it out behind fences.
struct OwnerFile {
  bool on = false;
  int group = 3;
  int places = 2;
  bool lasting = true;  // members keep what they must not forget on disk
  double lease = 2000;
  double margin = 150;
  double renew_every = 500;
  double election = 300;
  struct Work {
    std::string name;
    int steps = 100;
    double each = 50;
  };
  std::vector<Work> works;
};

struct FleetFile {
  std::vector<std::string> zones;
  std::vector<std::string> regions;  // by zone
  int fronts = 0;                    // spread over the zones in turn, unless `zoneOf` names each
  std::vector<int> zone_of;
  int caches_per_zone = 2;
  std::uint16_t port = 7400;
  members::Settings swim;
  failover::FailoverSettings verdict;
  bool steer = true;
  double requests_per_s = 20;  // asked of each front
  OwnerFile owner;
  // The fleet's layer: record (kept by the owner's group, who writes owns the standing work of that
  // name), rules, recovery. Over one socket a front.
  bool layer = false;
  bool peers = false;  // members and owner over one socket a front; members' ids are then those of
                       // the owner's fronts, from 1
};
// `fronts`: in place of the file's number, 0 for that. Throws schema::ValidationError.
FleetFile ReadFleetFile(const std::string& path, int fronts = 0);
FleetFile ReadFleetText(const std::string& named, const std::string& text, int fronts = 0);

enum class Deed {
  kKill,
  kRestart,
  kStop,
  kResume,
  kCut,
  kCutOut,
  kLinks,
  kCachesDown,
  kCachesSilent,
  kHeal
};
const char* ToString(Deed deed);

struct Step {
  Ms at = 0;
  Ms lasts = 0;  // 0: until a later step undoes it
  Deed deed = Deed::kKill;
  std::vector<std::size_t> fronts;
  std::string zone;
  double delay = 0;
  double jitter = 0;
  double loss = 0;
  double duplicate = 0;
  double reorder = 0;
  double kb_per_s = 0;
};
struct Script {
  std::string name;
  std::string about;
  Ms length = 0;
  std::vector<Step> steps;  // by time
};
Script ReadFaults(const std::string& path);
Script ReadFaultsText(const std::string& named, const std::string& text);
// What can't go with this fleet (a front or zone that it does not have); empty where all goes.
std::string Unfit(const Script& script, const FleetFile& fleet);

// Whatever a script is played on. `on`: begins, else ends (cuts, links, silent and lost caches,
// stops).
class Target {
 public:
  virtual ~Target() = default;
  virtual void Kill(std::size_t front) = 0;
  virtual void Restart(std::size_t front) = 0;
  virtual void Stop(std::size_t front) = 0;
  virtual void Resume(std::size_t front) = 0;
  virtual void Cut(const std::vector<std::size_t>& group, bool out_only, bool on) = 0;
  virtual void Links(const Step& how, bool on) = 0;
  virtual void caches(std::size_t zone, bool silent, bool on) = 0;
  virtual void Heal() = 0;
};
// One deed as a script's times yield it: what to do at `at`.
struct Cue {
  Ms at = 0;
  Step step;
  bool on = true;
};
std::vector<Cue> Cues(const Script& script);  // by time; an `on` of a step before its own end
void Play(const Cue& cue, Target& target, const FleetFile& fleet);
std::string Text(const Cue& cue);  // "stop 0", "cut 1,2 ends": for logs and the checker

}  // namespace dunlinwick::fleet
