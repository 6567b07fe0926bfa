#include "owner/agent.hpp"

#include <algorithm>

namespace dunlinwick::owner {

namespace {
constexpr Ms kResendInterval = 150;  // of a request or step without a response
// After this time a new request replaces the old one, which the group may have lost.
constexpr Ms kRequestTimeout = 1200;
}  // namespace

Agent::Agent(Id self, std::vector<Id> group, std::vector<TaskSpec> tasks, LeaseSettings settings,
             std::uint64_t seed, std::uint64_t incarnation, Ms now)
    : self_(self),
      group_(std::move(group)),
      settings_(settings),
      random_(static_cast<unsigned>(seed ^ (seed >> 32))) {
  // Fronts send requests at different times, so that not always the same front is first.
  std::uniform_real_distribution<double> offset(0, settings_.renew_interval);
  for (TaskSpec& spec : tasks) {
    tasks_.emplace_back(std::move(spec), settings_);
    tasks_.back().acquire_at = now + offset(random_);
  }
  // Request ids differ from those of an earlier process, whose responses may still arrive. The seed
  // cannot provide this: it is configured and equal for every process of this front.
  last_request_id_ = incarnation << 20;
}

bool Agent::MayAct(Ms now, const TaskState& task) const {
  if (injected_faults.no_lease)
    return task.lease.IsHeld();
  if (injected_faults.no_margin)
    return task.lease.IsHeld() && now < task.lease.ValidUntil() + 2 * settings_.margin +
                                            3 * settings_.clock_drift * settings_.duration +
                                            settings_.duration / 2;
  return task.lease.MayAct(now);
}

void Agent::SendLeaseRequest(Ms now, TaskState& task, Operation operation, std::uint64_t step,
                             const Callbacks& callbacks) {
  task.request_id = ++last_request_id_;
  task.operation = operation;
  task.requested_at = now;
  task.resend_at = now + kResendInterval;
  task.requested_from = leader_ != 0 ? leader_ : group_[next_member_++ % group_.size()];
  callbacks.send_lease_request(
      task.requested_from,
      LeaseRequest{task.request_id,
                   Command{operation, self_, task.lease.token(), step, task.spec.name}});
}

void Agent::LoseLease(Ms now, TaskState& task, const std::string& reason,
                      const Callbacks& callbacks) {
  callbacks.log_line("owner lost " + task.spec.name + " token " +
                     std::to_string(task.lease.token()) + ": " + reason);
  task.lease.Clear();
  task.step = 0;
  task.request_id = 0;
  task.recording = false;
  task.executed_by.clear();
  task.acquire_at = now + settings_.renew_interval;
}

void Agent::Tick(Ms now, const Callbacks& callbacks) {
  for (TaskState& task : tasks_) {
    if (task.ended)
      continue;
    if (task.lease.IsHeld() && !MayAct(now, task))
      LoseLease(now, task, "the lease expired before a renewal was confirmed", callbacks);
    if (task.request_id != 0 && now >= task.requested_at + kRequestTimeout) {
      task.request_id = 0;
      leader_ = 0;
    }
    if (task.request_id != 0 && now >= task.resend_at) {
      // Sends the same request to another member, as the leader may have changed. A lease that it
      // grants still counts from the first time it was sent.
      task.resend_at = now + kResendInterval;
      if (leader_ == task.requested_from)
        leader_ = 0;
      task.requested_from = leader_ != 0 ? leader_ : group_[next_member_++ % group_.size()];
      callbacks.send_lease_request(
          task.requested_from,
          LeaseRequest{task.request_id,
                       Command{task.operation, self_, task.lease.token(),
                               task.operation == Operation::kAcquire ? task.spec.steps : task.step,
                               task.spec.name}});
    }
    if (!task.lease.IsHeld()) {
      if (task.request_id == 0 && now >= task.acquire_at && permitted_)
        SendLeaseRequest(now, task, Operation::kAcquire, task.spec.steps, callbacks);
      // A front without permission to acquire leases still has to find out whether the group
      // responds, so it sends a renewal that must fail, of a lease that it does not hold. Prevents
      // a deadlock: the permission is given only once a leader is known.
      else if (task.request_id == 0 && now >= task.acquire_at && leader_ == 0) {
        SendLeaseRequest(now, task, Operation::kRenew, 0, callbacks);
        task.acquire_at = now + settings_.renew_interval;
      }
      continue;
    }
    if (task.request_id == 0) {
      // A step that all executors have executed is recorded before a renewal is sent; either
      // command renews the lease.
      if (task.recording)
        SendLeaseRequest(now, task, Operation::kRecordStep, task.step, callbacks);
      else if (!task.spec.standing && task.done_steps >= task.spec.steps && task.step == 0)
        SendLeaseRequest(now, task, Operation::kFinish, task.done_steps, callbacks);
      else if (now >= task.renew_at && (permitted_ || !task.spec.standing))
        SendLeaseRequest(now, task, Operation::kRenew, 0, callbacks);
    }
    if (!task.spec.standing && task.step == 0 && task.done_steps < task.spec.steps &&
        now >= task.next_step_at) {
      task.step = task.done_steps + 1;
      task.sent_at = -1e9;
      task.executed_by.clear();
    }
    if (task.step != 0 && !task.recording && now >= task.sent_at + kResendInterval) {
      task.sent_at = now;
      for (Id executor : task.spec.executors)
        if (!task.executed_by.count(executor))
          callbacks.send_step_request(executor,
                                      StepRequest{task.spec.name, task.lease.token(), task.step});
    }
  }
}

void Agent::HandleLeaseResponse(Ms now, Id from, const LeaseResponse& response,
                                const Callbacks& callbacks) {
  auto entry = std::find_if(tasks_.begin(), tasks_.end(), [&](const TaskState& task) {
    return task.request_id != 0 && task.request_id == response.request_id;
  });
  if (!response.handled) {
    if (response.leader != 0 && response.leader != from)
      leader_ = response.leader;
    else if (leader_ == from)
      leader_ = 0;
    // Resent to that leader at the next tick, a few milliseconds later.
    if (entry != tasks_.end() && response.leader != 0 && response.leader != from)
      entry->resend_at = std::min(entry->resend_at, now);
    return;
  }
  leader_ = from;
  if (entry == tasks_.end())
    return;
  TaskState& task = *entry;
  Operation operation = task.operation;
  if (response.result.status == CommandStatus::kUnknownOutcome) {
    task.request_id = 0;  // the command may or may not have been applied; a new request follows
    leader_ = 0;
    return;
  }
  task.request_id = 0;
  if (operation == Operation::kAcquire) {
    if (response.result.status == CommandStatus::kTaskEnded) {
      task.ended = true;
    } else if (response.result.status == CommandStatus::kOk) {
      task.lease.Grant(task.requested_at, response.result);
      task.done_steps = injected_faults.from_first_step ? 0 : response.result.done_steps;
      task.step = 0;
      task.recording = false;
      task.executed_by.clear();
      task.renew_at = task.requested_at + settings_.renew_interval;
      task.next_step_at = now;
      callbacks.log_line("owner of " + task.spec.name + " token " +
                         std::to_string(response.result.token) + " from step " +
                         std::to_string(task.done_steps + 1));
    } else {
      task.acquire_at =
          now + settings_.renew_interval / 2 * std::uniform_real_distribution<>(0.5, 1.5)(random_);
    }
    return;
  }
  if (!task.lease.IsHeld())
    return;  // the response to a request sent while it held a lease that it has lost
  if (response.result.status != CommandStatus::kOk) {
    if (response.result.status == CommandStatus::kTaskEnded)
      task.ended = true;
    return LoseLease(now, task,
                     std::string("the group responded: ") + ToString(response.result.status),
                     callbacks);
  }
  if (operation == Operation::kRenew || operation == Operation::kRecordStep) {
    Result renewed = response.result;
    renewed.token = task.lease.token();
    task.lease.Grant(task.requested_at, renewed);
    task.renew_at = task.requested_at + settings_.renew_interval;
  }
  if (operation == Operation::kRecordStep) {
    task.done_steps = task.step;
    task.step = 0;
    task.recording = false;
    task.next_step_at = std::max(now, task.next_step_at);
  }
  if (operation == Operation::kFinish) {
    callbacks.log_line("owner finished " + task.spec.name + " token " +
                       std::to_string(task.lease.token()));
    task.lease.Clear();
    task.ended = true;
  }
}

void Agent::HandleStepResponse(Ms now, Id from, const StepResponse& response,
                               const Callbacks& callbacks) {
  for (TaskState& task : tasks_) {
    if (task.spec.name != response.request.task || !task.lease.IsHeld() ||
        response.request.token != task.lease.token())
      continue;
    if (response.result == FencingResult::kStaleToken) {
      LoseLease(now, task, "an executor has seen token " + std::to_string(response.highest_token),
                callbacks);
    } else if (response.request.step == task.step &&
               (response.result == FencingResult::kDone ||
                response.result == FencingResult::kAlreadyDone)) {
      task.executed_by.insert(from);
      if (!task.recording &&
          task.executed_by.size() ==
              std::set<Id>(task.spec.executors.begin(), task.spec.executors.end()).size()) {
        task.recording = true;
        task.next_step_at = now + task.spec.step_interval;
      }
    }
  }
}

std::vector<Agent::HeldLeaseStatus> Agent::HeldLeases() const {
  std::vector<HeldLeaseStatus> leases;
  for (const TaskState& task : tasks_)
    if (task.lease.IsHeld())
      leases.push_back(
          {task.spec.name, task.lease.token(), task.done_steps, task.lease.ValidUntil()});
  return leases;
}
bool Agent::IsIdle() const {
  return std::all_of(tasks_.begin(), tasks_.end(),
                     [](const TaskState& task) { return task.ended; });
}

}  // namespace dunlinwick::owner
