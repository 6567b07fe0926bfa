// What the parts of the module share: the event under way, the settings' figures, and the pulls. No decisions.
#pragma once
#include <cmath>
#include <random>

#include "logic_state/tables.hpp"

namespace dunlinwick::logic {

constexpr Ms second = 1000;

enum Wake : std::uint64_t { wakePull = 1, wakeMachine = 2, wakeList = 3 };  // the upper byte of a WakeMe's handle

// The sheet as the parts use it; what they make of it they derive themselves, at start.
struct Figures {
  int zone, crew, fronts, places, parentKind, originKind, mostLegs, linkReport;
  Permits may;
  bool asksForList, lateral, remarks;
  Weighing weighing;
  Ms retryLimit, purgeDone, coldWindow;
  double streamKbPerMs, linkRoom;  // transfers that the link carries, 0: not told
  ColdTerms coldStore, coldParent;
  explicit Figures(const StoreSheet& s)
      : zone(s.zone), crew(std::max(1, s.crew)), fronts(std::max(1, s.fronts)), places(s.places), parentKind(s.parentKind),
        originKind(s.originKind), mostLegs(s.mostLegs), linkReport(s.linkReport), may(s.may), asksForList(s.asksForList),
        lateral(s.lateral), remarks(s.remarks), weighing(s.weighing), retryLimit(s.longestRetryAfter),
        purgeDone(s.purgeDone), coldWindow(s.coldWindow), streamKbPerMs(s.streamKbPerMs),
        linkRoom(s.linkKbPerMs > 0 && s.streamKbPerMs > 0 ? s.linkKbPerMs / s.streamKbPerMs : 0),
        coldStore(s.coldStore), coldParent(s.coldParent) {}
};

inline Role roleOf(const ListEntry& e, const Figures& f) {
  if (e.kind == f.originKind) return Role::origin;
  if (e.kind == f.parentKind) return Role::parent;
  return e.zone == f.zone ? Role::store : Role::foreign;
}

// A value of an answer's report by its place; not a number where there is none.
inline double reported(const std::vector<float>& report, int place) {
  bool there = place >= 0 && place < static_cast<int>(report.size());
  return there ? static_cast<double>(report[static_cast<std::size_t>(place)]) : std::nan("");
}

struct Turn {
  Ms now = 0;
  std::vector<Action>* todo = nullptr;  // what is to be done, in order
  std::knuth_b chance;
};

// What every part stands on.
struct Part {
  Turn& turn;
  const Figures& f;
  Pulls& pulls;
  const Ms& now = turn.now;
  void act(Action a) const { turn.todo->push_back(std::move(a)); }
  double drawn(double from = 0, double to = 1) const {
    return std::uniform_real_distribution<>(from, to)(turn.chance);
  }
};

}  // namespace dunlinwick::logic
