// The fencing token check, made by an executor before it executes a step: a step is refused when
// its token is below the highest that the executor has seen for the task, or when it was executed
// before. Performs no I/O. Its state must last as long as the effects of the steps; once it is
// lost, a step under an old token can take effect again. Bounds: kMaxTasks tasks; steps of further
// tasks are refused.
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
  // Steps are numbered from 1 and are executed in order. A step that was executed before gets
  // kAlreadyDone, so that a lease holder whose response was lost continues with the next one.
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
