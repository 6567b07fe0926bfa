// Change log of a front: the life cycle of its configuration generations, which are proposed,
// staged, applied, and then confirmed or reverted. Pure: time and events in, ordered actions out. A
// PersistentState action must be durable before the next action is carried out.
//
// Guarantees, whatever is lost, delayed or killed:
// - Exactly one complete generation is active at any time. A request keeps the one it began with
//   (ensured by the request exchange; GenerationReleased reports that its last request has ended).
// - A generation that is not confirmed is reverted when its lease ends, by this front's own clock
//   and without any message. A front that starts activates the last confirmed one.
// - A proposal names the generation it is based on. It is refused if another one was confirmed
//   meanwhile.
// - Each coordinator's messages carry a fencing token. A message with a lower token than one
//   received before is refused, so that a coordinator that was declared dead can't interfere with
//   its successor.
//
// Sources: Junos' `commit confirmed` (an unconfirmed change reverts itself) and Knot DNS'
// transactions (begin, diff, commit, abort); fencing tokens as in Gray and Cheriton's leases and
// their later use.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dunlinwick::changes {

using Ms = double;
using Generation = std::uint64_t;  // numbered from 1 by each front; 0: the initial one, before any
                                   // change

enum class GenerationState {
  kStaged,
  kApplied,
  kConfirmed,
  kReverted,
  kDiscarded
};
const char* ToString(GenerationState state);

// Why a request was refused or a change reverted.
enum class Reason {
  kNone,
  kStaleBase,           // based on a generation that is not the confirmed one
  kChangePending,       // another one is applied and not yet confirmed or reverted
  kTooManyGenerations,  // the maximum number of generations is in use
  kUnknownGeneration,   // no such generation, or not in the required state
  kFenced,              // a later coordinator has taken over
  kInvalidLease,        // a confirmation timeout below the minimum or above the maximum
  kOperatorRequest,     // requested by an operator
  kLeaseExpired,        // not confirmed in time
  kMonitorAlarm         // raised by monitoring
};
const char* ToString(Reason reason);

// ---- events
struct Proposal {
  std::uint64_t fencing_token = 0;
  std::uint64_t request_id = 0;    // repeated in the response
  Generation base_generation = 0;  // the confirmed one, as the proposer knows it
  std::string content;             // already validated
  // Counted from receipt, by this front's clock: a generation that is not confirmed by then is
  // discarded or reverted, whenever it was applied. It bounds the effect of a late ApplyRequest.
  Ms lifetime = 0;
};
struct ApplyRequest {
  std::uint64_t fencing_token = 0;
  std::uint64_t request_id = 0;
  Generation generation = 0;
  Ms confirm_timeout = 0;
};
struct ConfirmRequest {
  std::uint64_t fencing_token = 0;
  std::uint64_t request_id = 0;
  Generation generation = 0;
};
struct RevertRequest {  // of an applied or staged generation
  std::uint64_t fencing_token = 0;
  std::uint64_t request_id = 0;
  Generation generation = 0;
};
struct MonitorAlarm {  // monitoring reports that the applied generation does harm
  Generation generation = 0;
};
struct Tick {};
struct GenerationReleased {  // the last request that began with it has ended
  Generation generation = 0;
};
using Event = std::variant<Proposal, ApplyRequest, ConfirmRequest, RevertRequest, MonitorAlarm,
                           Tick, GenerationReleased>;

// ---- actions
struct PersistentState {  // must outlive the process; replaces the previous state as a whole
  PersistentState() = default;
  PersistentState(Generation confirmed_generation, Generation last_generation, std::uint64_t token,
                  std::string confirmed_content)
      : confirmed(confirmed_generation),
        last_assigned(last_generation),
        fencing_token(token),
        content(std::move(confirmed_content)) {}
  Generation confirmed = 0;
  Generation last_assigned = 0;
  std::uint64_t fencing_token = 0;
  std::string content;  // of the confirmed generation
};
struct Activate {  // from the next iteration of the event loop on
  Generation generation = 0;
};
struct DiscardContent {  // the content is no longer needed
  Generation generation = 0;
};
struct Response {
  std::uint64_t request_id = 0;
  Generation generation = 0;
  Reason refusal = Reason::kNone;
};
struct ReportRevert {  // to be reported and logged
  Generation generation = 0;
  Reason reason = Reason::kNone;
};
struct SetTimer {
  Ms at = 0;
};
using Action =
    std::variant<PersistentState, Activate, DiscardContent, Response, ReportRevert, SetTimer>;

struct Limits {
  int max_generations = 4;        // generations whose content is held, including the confirmed one
  Ms max_lease = 10 * 60 * 1000;  // a change that takes longer to confirm is effectively permanent
  Ms min_lease = 1000;            // a shorter lease leaves no time for a confirmation to arrive
};

class ChangeLog {
 public:
  // `persisted`: the state that was persisted last, if any.
  explicit ChangeLog(Limits limits, std::optional<PersistentState> persisted = std::nullopt);
  std::vector<Action> Handle(Ms now, const Event& event);

  Generation ConfirmedGeneration() const {
    return confirmed_;
  }
  Generation ActiveGeneration() const {
    return active_;
  }
  Ms LeaseEndsAt() const {
    return lease_ends_at_;
  }  // of an active generation that is not confirmed; 0: there is none
  std::uint64_t FencingToken() const {
    return fencing_token_;
  }
  const std::string* ContentOf(Generation generation) const;
  struct HistoryEntry {
    Generation generation = 0;
    GenerationState state = GenerationState::kStaged;
    Reason reason = Reason::kNone;
  };
  std::string Fingerprint()
      const;  // all state that decides what it does next, for state exploration
  // The most recent state changes, oldest first; bounded.
  const std::vector<HistoryEntry>& history() const {
    return history_;
  }

 private:
  struct GenerationEntry {
    Generation generation = 0;
    std::string content;
    bool has_requests = false;  // requests that began with it may be in flight
    Ms expires_at = 0;          // if not confirmed
  };
  Reason CheckFencingToken(std::uint64_t fencing_token);
  GenerationEntry* FindGeneration(Generation generation);
  void AddHistory(Generation generation, GenerationState state, Reason reason = Reason::kNone);
  void RevertChange(Reason reason, std::vector<Action>& actions);
  void DiscardIfUnused(Generation generation, std::vector<Action>& actions);
  void Persist(std::vector<Action>& actions) const;

  Limits limits_;
  Generation confirmed_ = 0;
  Generation active_ = 0;
  Generation last_assigned_ = 0;
  std::uint64_t fencing_token_ = 0;
  Ms lease_ends_at_ = 0;
  std::vector<GenerationEntry> generations_;  // at most `max_generations`
  std::vector<HistoryEntry> history_;
};

}  // namespace dunlinwick::changes
