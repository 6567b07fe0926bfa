// A checker of histories of ownership: from what was granted, sent, landed and recorded, judges
//   token    one token is given to one front's one life, once;
//   fence    nothing lands with a token below one that the same place has seen, and no step lands
//   twice at a place or out of turn; lease    no owner sends an action after a higher token of the
//   same work was granted (judged while clocks keep the bound); resume   an owner never begins
//   before the last recorded step; finished every work that was begun is finished, with each step
//   landed at each place, or told as abandoned.
// Pure; each breach with its evidence. Times are the observer's own.
#pragma once
#include <string>
#include <vector>

#include "owner/fence.hpp"

namespace dunlinwick::owner {

struct Happened {
  // forgot: the whole group lost its store; what it had recorded is gone, and only the fences still
  // know.
  enum class What : std::uint8_t {
    kGranted,
    kSent,
    kLanded,
    kRecorded,
    kFinished,
    kAbandoned,
    kForgot
  };
  What what = What::kGranted;
  Ms at = 0;
  std::string work;
  Token token = 0;
  std::uint64_t step = 0;  // of granted: the one it begins with
  Id front = 0;            // of landed: whose
  std::uint64_t life = 0;  // of granted: of the front's process
  Id place = 0;            // of landed
  FencingResult landing = FencingResult::kDone;
};
struct Begun {
  std::string work;
  std::uint64_t steps = 0;
  std::vector<Id> places;
};
struct Breach {
  std::string promise;
  Ms at = 0;
  std::string what;
};
// `clocksKept`: no clock went past the stated bound. `whole`: the run went on long enough after its
// last fault to finish.
std::vector<Breach> CheckHistory(const std::vector<Happened>& history,
                                 const std::vector<Begun>& works, bool clocks_kept, bool whole);
// Handovers: from the last action of one token that landed to the first of the next, by work.
std::vector<Ms> Handovers(const std::vector<Happened>& history);

}  // namespace dunlinwick::owner
