// A change pushed to many fronts, by a coordinator that may die at any step. Pure, like the ledger
// it speaks to.
//
//   stage everywhere -> apply wave by wave, all leases ending at one time -> watch -> confirm
//   everywhere
//
// Anything that goes wrong before the first confirm undoes it everywhere. What can be promised, and
// is explored exhaustively in the tests:
// - No front serves the change unconfirmed beyond its lease, whatever is lost or killed.
// - A coordinator that dies before its first confirm leaves every front on the old generation once
// leases end.
// - Once it has begun to confirm, all fronts that its words reach before the lease ends keep the
// change. A front that
//   they do not reach goes back by itself, since it can't tell this from the case before: no
//   protocol in which fronts do not talk to each other can give both (Gray's two generals).
//   `resume` with the same content and a higher fence brings those to the change; the coordinator's
//   answer names them.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "changes/ledger.hpp"

namespace dunlinwick::changes {

enum class Phase {
  kStaging,
  kApplying,
  kWatching,
  kConfirming,
  kUndoing,
  kDone,
  kFailed
};
const char* ToString(Phase phase);

struct PushTerms {
  Ms lease = 30000;
  Ms watch_for = 3000;  // between the last wave and the first confirm, and between waves
  Ms again = 500;       // a word without an answer is said again
  Ms stage_within = 5000;
  std::vector<double> waves{
      1};  // shares of the fronts, rising, the last 1; below one front counts as one
};

struct Say {
  std::size_t front = 0;
  Happening what;
};

class Push {
 public:
  // `bases`: by front, the generation that it keeps now.
  Push(PushTerms terms, std::uint64_t fence, std::string content, std::vector<Generation> bases,
       Ms now);
  // What is to be said now. Call again at wakeAt() and after each answer.
  std::vector<Say> tick(Ms now);
  std::vector<Say> Answered(Ms now, std::size_t front, const Answer& answer);
  std::vector<Say> Unreachable(Ms now, std::size_t front, const std::string& why);
  std::vector<Say> Abort(Ms now, const std::string& why);

  Phase phase() const {
    return phase_;
  }
  bool Over() const {
    return phase_ == Phase::kDone || phase_ == Phase::kFailed;
  }
  const std::string& why() const {
    return why_;
  }
  std::vector<std::size_t> Behind()
      const;  // once done: fronts that are not known to keep the change
  std::string Fingerprint() const;

 private:
  enum class Step {
    kNone,
    kStaged,
    kApplied,
    kKept,
    kReverted
  };
  struct Front {
    Generation base = 0;
    Generation generation = 0;
    Step step = Step::kNone;
    Ms said_at = -1e18;
  };
  enum class Kind {
    kPropose,
    kApply,
    kConfirm,
    kUndo,
    kNone
  };
  static std::uint64_t Ticket(std::size_t front, Kind kind) {
    return front * 8 + static_cast<std::uint64_t>(kind);
  }
  std::size_t WaveEnd() const;
  bool all(Step step, std::size_t up_to) const;
  void Move(Ms now);

  PushTerms terms_;
  std::uint64_t fence_;
  std::string content_;
  std::string why_;
  std::vector<Front> fronts_;
  Phase phase_ = Phase::kStaging;
  std::size_t wave_ = 0;
  Ms started_at_;
  Ms since_;
  Ms lease_ends_ = 0;
};

}  // namespace dunlinwick::changes
