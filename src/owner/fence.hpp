// The fence, at whoever carries an action out: a token below the highest it has seen is refused,
// and so is a step that was done. Pure. What it keeps must last as long as what its actions change;
// where it is lost, so is the promise. Bounds: as many works as there are (mostWorks); more are
// refused.
#pragma once
#include "owner/lease.hpp"

namespace dunlinwick::owner {

enum class Landing : std::uint8_t {
  kDone,
  kDoneBefore,
  kStaleToken,
  kOutOfTurn,
  kFull
};
inline const char* MakeWord(Landing l) {
  static const char* const kWords[] = {"done", "done before", "stale token", "out of turn", "full"};
  return kWords[static_cast<int>(l)];
}

class Fence {
 public:
  // Steps are numbered from 1 and land in order; a step that was done says so, so that an owner
  // whose answer was lost goes on.
  Landing Take(const std::string& work, Token token, std::uint64_t step) {
    auto at = seen_.find(work);
    if (at == seen_.end()) {
      if (seen_.size() >= kMostWorks)
        return Landing::kFull;
      at = seen_.emplace(work, Seen{}).first;
    }
    Seen& s = at->second;
    if (token < s.token)
      return Landing::kStaleToken;
    s.token = token;
    if (step <= s.step)
      return Landing::kDoneBefore;
    if (step != s.step + 1)
      return Landing::kOutOfTurn;
    s.step = step;
    return Landing::kDone;
  }
  Token Highest(const std::string& work) const {
    auto at = seen_.find(work);
    return at == seen_.end() ? 0 : at->second.token;
  }

 private:
  struct Seen {
    Token token = 0;
    std::uint64_t step = 0;
  };
  std::map<std::string, Seen> seen_;
};

}  // namespace dunlinwick::owner
