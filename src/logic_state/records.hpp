// What a front keeps in memory while it decides: plain records, no decisions. Only src/logic/ uses
// them.
#pragma once
#include <algorithm>
#include <array>
#include <cmath>
#include <deque>

#include "logic.hpp"

namespace dunlinwick::logic {

constexpr Ms kLongAgo = -1e15;

enum class Role {
  kStore,
  kParent,
  kOrigin,
  kForeign
};

constexpr int kSizeSteps = 16;  // each of them larger by the root of two

// One offering's figures, with what has been learnt of it.
struct ClassState : RequestClass {
  Ms mean_sending = 0;
  Ms omega = 0;
  double admitted_share = 1;              // of its requests, lately
  std::array<double, kSizeSteps> owed{};  // admissions, by size step
  double& OwedTo(Ms sending) {
    const double step = 2 * std::log2(std::max(sending, 1.0) / std::max(mean_sending, 1.0));
    return owed[static_cast<std::size_t>(
        std::clamp(step + kSizeSteps / 2.0, 0.0, kSizeSteps - 1.0))];
  }
  int sendings_seen = 0;  // of this offering's pulls; counts up to where its mean is steady
};

// Transfers that a machine or link carries at full pace: what goes by its size, what it seems to
// do, and what it has shown.
struct Room {
  double nominal = 0;
  double fits = 0;
  double proven = 0;
  Ms learnt_at = 0;
};

// Legs of ours that are out, and on average over the last seconds.
struct Tally {
  double out = 0;
  double mean = 0;
  Ms at = kLongAgo;
};

// A machine of the list. One that is gone is forgotten with the first list news a minute after its
// last good answer, when no pull points to it.
struct Machine : ListEntry {
  Role role = Role::kForeign;
  Tally attempts;  // of ours that are out there, or name it as their source
  Room room;
  Ms slow_start_from = 0;                   // on this front's clock; 0: started long ago
  std::deque<std::pair<Ms, double>> spent;  // cold budget: emptied as the window passes
  Ms turn_until = kLongAgo;
  double turn = 1;  // drawn from 0 to 1, for a window of the budget
  int strikes = 0;
  int answers = 0;
  bool ejected = false;
  bool trial_out = false;
  bool may_be_new = false;
  Ms ejected_until = 0;
  Ms pause = 0;
  Ms full_until = 0;
  Ms last_good = kLongAgo;  // when the latest leg was sent that it answered, or filled as a source
  double pace = 1;          // how much its fills are stretched
  double held_pace = 1;     // the same for what it held itself, where it was asked for no more
  Ms pace_at = kLongAgo;
  Ms held_at = kLongAgo;
  double share = 1;  // of the objects at home there that are still asked of it
  Ms share_at = kLongAgo;
  Ms cut_at = kLongAgo;
  bool IsCache() const {
    return role == Role::kStore || role == Role::kForeign;
  }
};

// What is known of one part of one object; the oldest is dropped when the table is full, or by its
// age.
struct Memory {
  std::uint64_t key = 0;
  Ms used_at = kLongAgo;
  Ms last_request = kLongAgo;
  double count = 0;            // pulls, ageing
  Machine* last_at = nullptr;  // the cache that finished it last
  int pins = 0;                // pulls under way that point here
};

struct Attempt {
  Machine* at = nullptr;
  Machine* source = nullptr;  // nullptr: no fill
  Ms sent_at = 0;
  double load = 1;
  double fill = 0;  // on the cache's own link and the location's, in transfers at full pace
  bool out = true;
  bool never_ran = false;
  bool erred = false;
  bool held = false;  // the source was asked only for what it holds
};

struct Request : RequestCame {
  ClassState* class_state = nullptr;
  Ms expires_at = 0;
  Ms agreed_at = 0;
  Ms sending = 0;
  Ms gap = 0;
  Memory* memory = nullptr;  // of the part
  Machine* last_at = nullptr;
  int rank = 1;
  bool ended = false;
  bool streaming = false;
  bool sibling_lacked = false;
  bool known_miss = false;
  bool spared = false;
  bool held_only = false;
  bool is_owed = false;  // an admission, whatever its size
  double claimed = 0;    // of what its size step was owed
  std::vector<Attempt> attempts;
  std::vector<Machine*> failed;  // caches and sources that failed this pull
  SizeBand Band() const {
    return sending > 2 * class_state->mean_sending   ? SizeBand::kLarge
           : sending < class_state->mean_sending / 2 ? SizeBand::kSmall
                                                     : SizeBand::kUsual;
  }
  bool HasFailed(const Machine* m) const {
    return std::count(failed.begin(), failed.end(), m) > 0;
  }
  bool AttemptOut() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& l) { return l.out; });
  }
  bool PointsTo(const Machine* m) const {
    auto there = [&](const Attempt& l) {
      return l.at == m || l.source == m;
    };
    return last_at == m || HasFailed(m) || std::any_of(attempts.begin(), attempts.end(), there);
  }
  Ms KnownSending() const {
    return class_state->sendings_seen ? sending : 0;
  }  // 0: no size was ever told
};

}  // namespace dunlinwick::logic
