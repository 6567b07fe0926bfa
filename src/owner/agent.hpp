// A front's side of ownership: asks the group for works that it may do, does them step by step
// under the lease, records each step, and stops in time. Pure: time and messages in, messages and
// lines for the log out.
//
// A step is sent to all places where the work is carried out; when all have done it (or say that it
// was done before) it is recorded with the group, and only then the next begins. So a new owner
// resumes from what was recorded: the step under way may be sent again, and the fences make that
// one effect. A place that names a higher token ends the ownership at once. Bounds: works as
// configured (mostWorks); one question and one step under way a work.
#pragma once
#include <functional>
#include <random>
#include <set>

#include "owner/fence.hpp"

namespace dunlinwick::owner {

struct TaskSpec {
  std::string name;
  std::uint64_t steps = 1;
  Ms step_interval = 50;      // from one step to the next, at least
  std::vector<Id> executors;  // who carries it out
  // A work without an end or steps of its own: to hold it is the work (the record's writing, say).
  // Nothing is recorded for it; its token is the fence of whatever its owner does, and the next
  // owner begins by what the fenced ones kept.
  bool standing = false;
};

struct LeaseRequest {
  std::uint64_t request_id = 0;  // of the question, by its asker
  Command command;
};
struct LeaseResponse {
  std::uint64_t request_id = 0;
  Result result;
  Id leader = 0;         // whom to ask instead, where the one asked does not lead
  bool handled = false;  // the one asked leads, and this is the group's answer
};
struct StepRequest {
  std::string task;
  Token token = 0;
  std::uint64_t step = 0;
};
struct StepResponse {
  StepRequest request;
  FencingResult result = FencingResult::kDone;
  Token highest_token = 0;
};

class Agent {
 public:
  struct Callbacks {
    std::function<void(Id to, const LeaseRequest&)> send_lease_request;
    std::function<void(Id to, const StepRequest&)> send_step_request;
    std::function<void(const std::string& line)> log_line;
  };
  // What a test breaks on purpose; all false in service.
  struct InjectedFaults {
    bool no_margin = false;        // acts until the lease's very end and beyond, by its own clock
    bool from_first_step = false;  // resumes from before the last recorded step
    bool no_lease = false;         // acts for ever once it was granted
  };
  Agent(Id self, std::vector<Id> group, std::vector<TaskSpec> tasks, LeaseSettings settings,
        std::uint64_t seed, std::uint64_t incarnation, Ms now);
  void Tick(Ms now, const Callbacks& callbacks);  // every 20 ms or so
  // Whether this front may come to own anything (it may at first). What it holds it keeps till it
  // is lost; a standing work is no longer renewed. For a front that is still coming back from a
  // power loss, or that was set aside.
  void PermitLeases(bool may) {
    permitted_ = may;
  }
  void HandleLeaseResponse(Ms now, Id from, const LeaseResponse& response,
                           const Callbacks& callbacks);
  void HandleStepResponse(Ms now, Id from, const StepResponse& response,
                          const Callbacks& callbacks);
  InjectedFaults injected_faults;

  struct HeldLeaseStatus {
    std::string task;
    Token token = 0;
    std::uint64_t done_steps = 0;
    Ms valid_until = 0;
  };
  std::vector<HeldLeaseStatus> HeldLeases() const;
  bool KnowsLeader() const {
    return leader_ != 0;
  }
  bool IsIdle() const;  // nothing is left to do, as far as it knows

 private:
  struct TaskState {
    TaskSpec spec;
    HeldLease lease;
    std::uint64_t done_steps = 0;  // recorded
    std::uint64_t step = 0;        // under way; 0: none
    std::set<Id> executed_by;      // places that have it
    bool ended = false;
    bool recording = false;
    Ms next_step_at = 0;
    Ms sent_at = 0;
    Ms renew_at = 0;
    Ms acquire_at = 0;
    std::uint64_t request_id = 0;  // under way; 0: none
    Operation operation = Operation::kAcquire;
    Ms requested_at = 0;
    Ms resend_at = 0;
    Id requested_from = 0;
    explicit TaskState(TaskSpec task_spec, LeaseSettings settings)
        : spec(std::move(task_spec)), lease(settings) {}
  };
  void SendLeaseRequest(Ms now, TaskState& task, Operation operation, std::uint64_t step,
                        const Callbacks& callbacks);
  void LoseLease(Ms now, TaskState& task, const std::string& reason, const Callbacks& callbacks);
  bool MayAct(Ms now, const TaskState& task) const;

  Id self_;
  std::vector<Id> group_;
  LeaseSettings settings_;
  std::knuth_b random_;
  std::vector<TaskState> tasks_;
  Id leader_ = 0;
  std::size_t next_member_ = 0;
  std::uint64_t last_request_id_ = 0;
  bool permitted_ = true;
};

}  // namespace dunlinwick::owner
