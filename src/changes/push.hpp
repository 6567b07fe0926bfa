// Rollout of a change to many fronts by a coordinator that may die at any step. Pure, like the
// change log that it sends requests to.
//
//   stage everywhere -> apply wave by wave, with all leases ending at the same time -> observe ->
//   confirm everywhere
//
// Any failure before the first confirmation reverts the change everywhere. Guarantees, which the
// tests check by exhaustive exploration:
// - No front keeps an unconfirmed change active beyond its lease, whatever is lost or killed.
// - A coordinator that dies before its first confirmation leaves every front on the old generation
//   once the leases have ended.
// - Once it has begun to confirm, all fronts that its messages reach before the lease ends keep the
//   change. A front that they do not reach reverts by itself, since it can't tell this case from
//   the previous one: no protocol in which fronts do not talk to each other can give both (Gray's
//   two generals). A new rollout with the same content and a higher fencing token brings those
//   fronts to the change; UnconfirmedFronts() names them.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "changes/ledger.hpp"

namespace dunlinwick::changes {

enum class Phase {
  kStaging,
  kApplying,
  kObserving,
  kConfirming,
  kReverting,
  kCompleted,
  kFailed
};
const char* ToString(Phase phase);

struct RolloutSettings {
  Ms lease = 30000;
  Ms observation_time = 3000;  // after each wave, before the next wave or the first confirmation
  Ms retry_interval = 500;     // until a message without a response is sent again
  Ms staging_timeout = 5000;
  std::vector<double> waves{
      1};  // shares of the fronts, ascending, the last 1; at least one front each
};

struct Message {
  std::size_t front = 0;
  Event event;
};

class Rollout {
 public:
  // `base_generations`: by front, the generation that is confirmed now.
  Rollout(RolloutSettings settings, std::uint64_t fencing_token, std::string content,
          std::vector<Generation> base_generations, Ms now);
  // Returns the messages to send now. Called at intervals; HandleResponse() includes the call.
  std::vector<Message> Advance(Ms now);
  std::vector<Message> HandleResponse(Ms now, std::size_t front, const Response& answer);
  std::vector<Message> HandleUnreachable(Ms now, std::size_t front, const std::string& reason);
  std::vector<Message> Abort(Ms now, const std::string& reason);

  Phase phase() const {
    return phase_;
  }
  bool IsFinished() const {
    return phase_ == Phase::kCompleted || phase_ == Phase::kFailed;
  }
  const std::string& reason() const {
    return reason_;
  }
  std::vector<std::size_t> UnconfirmedFronts()
      const;  // once completed: fronts not known to have confirmed the change
  std::string Fingerprint() const;

 private:
  enum class Step {
    kNone,
    kStaged,
    kApplied,
    kConfirmed,
    kReverted
  };
  struct Front {
    Generation base_generation = 0;
    Generation generation = 0;
    Step step = Step::kNone;
    Ms sent_at = -1e18;
  };
  enum class RequestKind {
    kPropose,
    kApply,
    kConfirm,
    kRevert,
    kNone
  };
  static std::uint64_t RequestId(std::size_t front, RequestKind kind) {
    return front * 8 + static_cast<std::uint64_t>(kind);
  }
  std::size_t WaveEnd() const;
  bool AllReached(Step step, std::size_t up_to) const;
  void UpdatePhase(Ms now);

  RolloutSettings settings_;
  std::uint64_t fencing_token_;
  std::string content_;
  std::string reason_;
  std::vector<Front> fronts_;
  Phase phase_ = Phase::kStaging;
  std::size_t wave_ = 0;
  Ms started_at_;
  Ms phase_since_;
  Ms lease_ends_at_ = 0;
};

}  // namespace dunlinwick::changes
