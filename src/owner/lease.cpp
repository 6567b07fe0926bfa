#include "owner/lease.hpp"

#include <algorithm>

#include "owner/bytes.hpp"

namespace dunlinwick::owner {

const char* ToString(Operation operation) {
  static const char* const kWords[] = {"take",    "renew",   "record", "finish",
                                       "abandon", "release", "expire", "found"};
  return kWords[static_cast<int>(operation)];
}
const char* ToString(CommandStatus status) {
  static const char* const kWords[] = {"yes",          "held by another", "stale token", "over",
                                       "unknown work", "too many works",  "unsure"};
  return kWords[static_cast<int>(status)];
}

bool IsValidTaskName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxTaskNameLength &&
         std::all_of(name.begin(), name.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
         });
}

std::string Encode(const Command& command) {
  Writer writer;
  writer.WriteNumber(static_cast<std::uint64_t>(command.operation), 1);
  writer.WriteNumber(command.front, 4);
  writer.WriteNumber(command.token, 8);
  writer.WriteNumber(command.step, 8);
  writer.WriteString(command.task);
  return std::move(writer.bytes);
}

std::optional<Command> Decode(std::span<const char> bytes) {
  Reader reader(bytes);
  Command command;
  std::uint64_t operation = reader.ReadNumber(1);
  command.front = static_cast<Id>(reader.ReadNumber(4));
  command.token = reader.ReadNumber(8);
  command.step = reader.ReadNumber(8);
  command.task = reader.ReadString(kMaxTaskNameLength);
  if (!reader.IsComplete() || operation > static_cast<std::uint64_t>(Operation::kBootstrap) ||
      !IsValidTaskName(command.task))
    return std::nullopt;
  command.operation = static_cast<Operation>(operation);
  return command;
}

Result LeaseTable::Apply(const Command& command) {
  if (command.operation == Operation::kBootstrap) {
    if (last_token_ == 0)
      last_token_ = bootstrap_token_ = command.token;  // no effect when a later leader proposes it
    return {CommandStatus::kOk, last_token_, 0, 0};
  }
  // Before the bootstrap no token may be granted.
  if (last_token_ == 0)
    return {CommandStatus::kUnknownOutcome, 0, 0, 0};
  auto entry = tasks_.find(command.task);
  if (entry == tasks_.end()) {
    if (command.operation != Operation::kAcquire)
      return {CommandStatus::kUnknownTask, 0, 0, 0};
    if (tasks_.size() >= kMaxTasks)
      return {CommandStatus::kTooManyTasks, 0, 0, 0};
    entry = tasks_.emplace(command.task, LeasedTask{}).first;
    entry->second.steps = command.step;
  }
  LeasedTask& task = entry->second;
  auto make_result = [&](CommandStatus status) {
    return Result{status, task.token, task.done_steps, task.holder};
  };
  if (command.operation == Operation::kAcquire) {
    if (task.finished || task.abandoned)
      return make_result(CommandStatus::kTaskEnded);
    // A request from the holder itself may come from a new process without the old one's state: it
    // waits for the expiry like any other front.
    if (task.holder != 0)
      return make_result(CommandStatus::kHeldByAnother);
    task.holder = command.front;
    task.token = ++last_token_;
    ++task.accepted_commands;
    return make_result(CommandStatus::kOk);
  }
  if (task.holder == 0 || command.token != task.token)
    return make_result(CommandStatus::kStaleToken);
  if (command.operation == Operation::kExpire) {
    if (command.step != task.accepted_commands)
      return make_result(CommandStatus::kHeldByAnother);
    task.holder = 0;
    return make_result(CommandStatus::kOk);
  }
  if (command.front != task.holder)
    return make_result(CommandStatus::kStaleToken);
  ++task.accepted_commands;
  switch (command.operation) {
    case Operation::kRecordStep:
      task.done_steps = std::max(task.done_steps, command.step);
      break;
    case Operation::kFinish:
      task.finished = true;
      task.holder = 0;
      break;
    case Operation::kAbandon:
      task.abandoned = true;
      task.holder = 0;
      break;
    case Operation::kRelease:
      task.holder = 0;
      break;
    case Operation::kAcquire:
    case Operation::kRenew:
    case Operation::kExpire:
    case Operation::kBootstrap:
      break;
  }
  return make_result(CommandStatus::kOk);
}

std::string LeaseTable::Snapshot() const {
  Writer writer;
  writer.WriteNumber(last_token_, 8);
  writer.WriteNumber(bootstrap_token_, 8);
  writer.WriteNumber(tasks_.size(), 1);
  for (const auto& [name, task] : tasks_) {
    writer.WriteString(name);
    writer.WriteNumber(task.holder, 4);
    writer.WriteNumber(task.token, 8);
    writer.WriteNumber(task.done_steps, 8);
    writer.WriteNumber(task.steps, 8);
    writer.WriteNumber(task.accepted_commands, 8);
    writer.WriteNumber((task.finished ? 1u : 0u) | (task.abandoned ? 2u : 0u), 1);
  }
  return std::move(writer.bytes);
}

bool LeaseTable::Restore(std::span<const char> bytes) {
  Reader reader(bytes);
  LeaseTable restored;
  restored.last_token_ = reader.ReadNumber(8);
  restored.bootstrap_token_ = reader.ReadNumber(8);
  std::uint64_t count = reader.ReadNumber(1);
  for (std::uint64_t i = 0; i < count && !reader.HasFailed(); ++i) {
    std::string name = reader.ReadString(kMaxTaskNameLength);
    LeasedTask task;
    task.holder = static_cast<Id>(reader.ReadNumber(4));
    task.token = reader.ReadNumber(8);
    task.done_steps = reader.ReadNumber(8);
    task.steps = reader.ReadNumber(8);
    task.accepted_commands = reader.ReadNumber(8);
    std::uint64_t flags = reader.ReadNumber(1);
    task.finished = flags & 1;
    task.abandoned = flags & 2;
    if (!IsValidTaskName(name) || task.token > restored.last_token_ ||
        !restored.tasks_.emplace(name, task).second)
      return false;
  }
  if (!reader.IsComplete() || count > kMaxTasks)
    return false;
  *this = std::move(restored);
  return true;
}

void LeaseExpiryTracker::StartLeading(Ms now, const LeaseTable& table) {
  confirmed_at_.clear();
  leading_since_ = now;
  for (const auto& [name, task] : table.Tasks())
    confirmed_at_[name] = now;
}

void LeaseExpiryTracker::HandleApplied(Ms now, const Command& command, const Result& result) {
  if (result.status == CommandStatus::kOk && command.operation != Operation::kExpire)
    confirmed_at_[command.task] = now;
}

std::vector<Command> LeaseExpiryTracker::ExpiredLeases(Ms now, const LeaseTable& table) const {
  std::vector<Command> expired;
  for (const auto& [name, task] : table.Tasks()) {
    auto entry = confirmed_at_.find(name);
    if (task.holder != 0 && entry != confirmed_at_.end() && now >= ExpiryFrom(entry->second))
      expired.push_back(
          {Operation::kExpire, task.holder, task.token, task.accepted_commands, name});
  }
  return expired;
}

}  // namespace dunlinwick::owner
