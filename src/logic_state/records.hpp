// What a front keeps in memory while it decides: plain records, no decisions. Only src/logic/ uses them.
#pragma once
#include <algorithm>
#include <deque>

#include "logic.hpp"

namespace dunlinwick::logic {

constexpr Ms longAgo = -1e15;

enum class Role { store, parent, origin, foreign };

// One offering's figures, with what has been learnt of it.
struct Ware : Offering {
  Ms meanSending = 0, omega = 0;
  int sendingsSeen = 0;  // of this offering's pulls; counts up to where its mean is steady
};

// Transfers that a machine or link carries at full pace: what goes by its size, what it seems to do, and what
// it has shown.
struct Room {
  double nominal = 0, fits = 0, proven = 0;
  Ms learntAt = 0;
};

// Legs of ours that are out, and on average over the last seconds.
struct Tally {
  double out = 0, mean = 0;
  Ms at = longAgo;
};

// A machine of the list. One that is gone is forgotten with the first list news a minute after its last good
// answer, when no pull points to it.
struct Machine : ListEntry {
  Role role = Role::foreign;
  Tally legs;  // of ours that are out there, or name it as their source
  Room room;
  Ms slow_start_from = 0;  // on this front's clock; 0: started long ago
  std::deque<std::pair<Ms, double>> spent;  // cold budget: emptied as the window passes
  Ms turnUntil = longAgo;
  double turn = 1;  // drawn from 0 to 1, for a window of the budget
  int strikes = 0, answers = 0;
  bool aside = false, trialOut = false, mayBeNew = false;
  Ms asideUntil = 0, pause = 0, fullUntil = 0;
  Ms lastGood = longAgo;  // when the latest leg was sent that it answered, or filled as a source
  double pace = 1;        // how much its fills are stretched
  double heldPace = 1;    // the same for what it held itself, where it was asked for no more
  Ms paceAt = longAgo, heldAt = longAgo;
  double share = 1;  // of the objects at home there that are still asked of it
  Ms shareAt = longAgo, cutAt = longAgo;
  bool isCache() const { return role == Role::store || role == Role::foreign; }
};

// What is known of one part of one object; the oldest is dropped when the table is full, or by its age.
struct Memory {
  std::uint64_t key = 0;
  Ms usedAt = longAgo;
  Ms lastPull = longAgo;
  double count = 0;           // pulls, ageing
  Machine* lastAt = nullptr;  // the cache that finished it last
  int pins = 0;               // pulls under way that point here
};

struct Leg {
  Machine* at = nullptr;
  Machine* source = nullptr;  // nullptr: no fill
  Ms sentAt = 0;
  double load = 1, fill = 0;  // on the cache's own link and the location's, in transfers at full pace
  bool out = true, neverRan = false, erred = false;
  bool held = false;  // the source was asked only for what it holds
};

struct Pull : PullCame {
  Ware* ware = nullptr;
  Ms expiresAt = 0, agreedAt = 0, sending = 0, gap = 0;
  Memory* memory = nullptr;  // of the part
  Machine* lastAt = nullptr;
  int rank = 1;
  bool ended = false, streaming = false, siblingLacked = false, knownMiss = false, spared = false,
       heldOnly = false;
  std::vector<Leg> legs;
  std::vector<Machine*> failed;  // caches and sources that failed this pull
  bool hasFailed(const Machine* m) const { return std::count(failed.begin(), failed.end(), m) > 0; }
  bool legOut() const {
    return std::any_of(legs.begin(), legs.end(), [](const Leg& l) { return l.out; });
  }
  bool pointsTo(const Machine* m) const {
    auto there = [&](const Leg& l) { return l.at == m || l.source == m; };
    return lastAt == m || hasFailed(m) || std::any_of(legs.begin(), legs.end(), there);
  }
  Ms knownSending() const { return ware->sendingsSeen ? sending : 0; }  // 0: no size was ever told
};

}  // namespace dunlinwick::logic
