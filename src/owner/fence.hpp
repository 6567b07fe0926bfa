// The fence, at whoever carries an action out: a token below the highest it has seen is refused,
// and so is a step that was done. Pure. What it keeps must last as long as what its actions change;
// where it is lost, so is the promise. Bounds: as many works as there are (mostWorks); more are
// refused.
#pragma once
#include "owner/lease.hpp"

namespace dunlinwick::owner {

enum class FencingResult : std::uint8_t {
  kDone,
  kAlreadyDone,
  kStaleToken,
  kOutOfOrder,
  kFull
};
inline const char* ToString(FencingResult result) {
  static const char* const kWords[] = {"done", "done before", "stale token", "out of turn", "full"};
  return kWords[static_cast<int>(result)];
}

class FencingTokenCheck {
 public:
  // Steps are numbered from 1 and land in order; a step that was done says so, so that an owner
  // whose answer was lost goes on.
  FencingResult Check(const std::string& task, Token token, std::uint64_t step) {
    auto entry = tasks_.find(task);
    if (entry == tasks_.end()) {
      if (tasks_.size() >= kMaxTasks)
        return FencingResult::kFull;
      entry = tasks_.emplace(task, TaskState{}).first;
    }
    TaskState& state = entry->second;
    if (token < state.token)
      return FencingResult::kStaleToken;
    state.token = token;
    if (step <= state.step)
      return FencingResult::kAlreadyDone;
    if (step != state.step + 1)
      return FencingResult::kOutOfOrder;
    state.step = step;
    return FencingResult::kDone;
  }
  Token HighestToken(const std::string& task) const {
    auto entry = tasks_.find(task);
    return entry == tasks_.end() ? 0 : entry->second.token;
  }

 private:
  struct TaskState {
    Token token = 0;
    std::uint64_t step = 0;
  };
  std::map<std::string, TaskState> tasks_;
};

}  // namespace dunlinwick::owner
