// The lease client of a front: requests leases of tasks from the group, executes the tasks step by
// step while it holds the lease, records each step, and stops before the lease expires. Performs no
// I/O and reads no clock: times and messages are arguments, messages and log lines leave through
// callbacks.
//
// A step is sent to all executors of the task. Once all have executed it (or report that it was
// executed before) it is recorded with the group, and only then does the next one start. A new
// holder therefore resumes from the last recorded step: the step in progress may be sent again, and
// the executors' fencing token checks let it take effect once. A response that names a higher token
// ends the lease at once. Bounds: the configured tasks (kMaxTasks); one request and one step in
// flight per task.
#pragma once
#include <functional>
#include <random>
#include <set>

#include "owner/fence.hpp"

namespace dunlinwick::owner {

struct TaskSpec {
  std::string name;
  std::uint64_t steps = 1;
  Ms step_interval = 50;      // minimum time from one step to the next
  std::vector<Id> executors;  // the processes that execute the steps
  // A task without steps or end, for which only the lease matters (writing the record, for
  // example). Nothing is recorded for it. Whatever its holder does carries the fencing token, and
  // the next holder starts from the state that the processes checking the token have stored.
  bool standing = false;
};

struct LeaseRequest {
  std::uint64_t request_id = 0;  // chosen by the requesting front
  Command command;
};
struct LeaseResponse {
  std::uint64_t request_id = 0;
  Result result;
  Id leader = 0;         // the member to ask instead, if the responding one is not the leader
  bool handled = false;  // the responding member is the leader, and this is the group's response
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
  // Faults that tests inject; all false in production.
  struct InjectedFaults {
    bool no_margin = false;        // acts until the lease expires by its own clock, and beyond
    bool from_first_step = false;  // resumes from before the last recorded step
    bool no_lease = false;         // acts without a time limit once granted
  };
  Agent(Id self, std::vector<Id> group, std::vector<TaskSpec> tasks, LeaseSettings settings,
        std::uint64_t seed, std::uint64_t incarnation, Ms now);
  void Tick(Ms now, const Callbacks& callbacks);  // called about every 20 ms
  // Whether this front may acquire leases (initially true). Without the permission it keeps the
  // leases of tasks with steps until it loses them, and no longer renews those of standing tasks.
  // Used for a front that is recovering from a power loss or was taken out of service.
  void PermitLeases(bool permitted) {
    permitted_ = permitted;
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
  bool IsIdle() const;  // as far as this front knows, every task has ended

 private:
  struct TaskState {
    TaskSpec spec;
    HeldLease lease;
    std::uint64_t done_steps = 0;  // recorded
    std::uint64_t step = 0;        // in progress; 0: none
    std::set<Id> executed_by;      // executors of the step in progress
    bool ended = false;
    bool recording = false;
    Ms next_step_at = 0;
    Ms sent_at = 0;
    Ms renew_at = 0;
    Ms acquire_at = 0;
    std::uint64_t request_id = 0;  // in flight; 0: none
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
