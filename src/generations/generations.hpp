// The rules that a front decides by, turned over while it serves: each approved sheet is one
// immutable generation with a module (Router) of its own. Pure: events and time in, actions out,
// like the module itself, for which it stands.
//
// What it promises:
// - A pull keeps the generation it began with, to its last leg: its events go there alone. Nothing
// in flight is sent again,
//   cancelled or answered because of a change.
// - A new generation serves every pull that comes after turn(), from the next event on; it begins
// with all that the fleet and
//   the platform have said (the list, purges and recalls that still bind, shares, admission), but
//   with nothing learnt: memories, rooms and paces are learnt anew.
// - What is told of the world (list, purges, shares, probes' ends) is told to every generation that
// lives. Probes, lines for
//   the log and words on health are the newest's alone, so that machines are not asked twice.
// - One without open pulls that is not the newest is forgotten with the event that ended its last.
// Bounds: `mostAlive` generations; turn() is refused beyond. Purges kept for a newcomer: those that
// bind, at most `mostPurges`; beyond that no newcomer is made until some have lapsed (none is ever
// left out). A cold machine is sent half of the front's share by each generation at most; older
// ones send only what is left of their pulls, so a turn-over stays near its share, and with two
// that live within it.
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "logic.hpp"

namespace dunlinwick::generations {

using Number = std::uint64_t;  // from 1, rising; never used again
constexpr std::size_t kMostAlive = 4, kMostPurges = 20000;

class Generations {
 public:
  Generations(const DeploymentSettings& settings, std::uint64_t seed);
  std::vector<Action> Handle(Ms now, const Event& event);
  // The next generation, from now on. 0, with nothing changed: too many live, or it has other
  // offerings than the first (a pull names its offering by place), or too many purges bind.
  Number turn(Ms now, const DeploymentSettings& settings, std::vector<Action>& out);
  Number Newest() const {
    return lives_.back().number;
  }
  const DeploymentSettings& settings() const {
    return lives_.back().settings;
  }
  struct Row {
    Number number = 0;
    std::size_t requests = 0;
  };
  std::vector<Row> alive() const;

 private:
  struct Life {
    Number number = 0;
    DeploymentSettings settings;
    std::unique_ptr<Router> router;
    std::size_t requests = 0;  // open ones
  };
  struct Open {  // a pull: until its final answer is out and its last leg is in
    Number number = 0;
    int attempts_out = 0;
    bool ended = false;
  };
  Life* life(Number number);
  void Tell(Life& life, Ms now, const Event& event, std::vector<Action>& out);
  void Lapse(Ms now);
  void note(Ms now, const Event& event);
  void Settle(std::uint32_t request);

  std::uint64_t seed_;
  Number last_ = 0;
  std::vector<Life> lives_;             // oldest first; at most mostAlive
  std::map<std::uint32_t, Open> open_;  // emptied as pulls end
  // What a newcomer is told first.
  std::map<std::uint32_t, ListEntry> list_;  // without those that are gone
  bool listed_ = false;
  struct Bound {
    Ms at = 0;
    Purged purge;
  };
  std::deque<Bound> purges_;  // as they came; those that are past twice purgeDone go
  Ms purge_kept_;
  std::map<std::size_t, Event> facts_;  // of the fleet, the last of each kind
};

}  // namespace dunlinwick::generations
