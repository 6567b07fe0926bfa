// Leases of the fleet's tasks: the lease table, replicated by a small group of fronts, and the two
// clocks that time a lease. Performs no I/O and reads no clock: commands and times are arguments.
// The same commands in the same order give the same table; Raft provides the order
// (src/owner/group.*).
//
// Guarantees, checked under random fault schedules by tests/owner_test.cpp:
// - A fencing token is granted once: it grows with every grant, across all tasks, and never
// decreases (it is part of the table).
// - A lease expires by two clocks that are never compared with each other. Its holder counts from
// when it *sent the request* and stops acting after duration * (1 - clock_drift) - margin. The
// group's leader counts from when it *applied* the grant or renewal, or became leader, and grants
// the lease to no other front before duration * (1 + clock_drift) + margin. A request is applied
// after it was sent, so the holder stops first as long as no clock's rate is off by more than
// `clock_drift` and no clock steps by more than `margin` within one lease. Beyond that bound the
// fencing token check protects the tasks (src/owner/fence.hpp): the clocks prevent two holders from
// acting at once, the check prevents the steps of a late holder from taking effect.
// Bounds: 64 tasks; task names of at most 48 letters, digits and dashes; a command has at most
// 100 bytes.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace dunlinwick::owner {

using Ms = double;
using Id = std::uint32_t;  // number of a front in the fleet; 0: none
using Token = std::uint64_t;
constexpr std::size_t kMaxTasks = 64, kMaxTaskNameLength = 48;

struct LeaseSettings {
  Ms duration = 3000;
  Ms margin = 200;
  double clock_drift = 0.01;
  Ms renew_interval = 800;  // below a third of the duration
};

// kBootstrap is the first command of a group, proposed by its leader; every token that is granted
// is above the command's token.
enum class Operation : std::uint8_t {
  kAcquire,
  kRenew,
  kRecordStep,
  kFinish,
  kAbandon,
  kRelease,
  kExpire,
  kBootstrap
};
const char* ToString(Operation operation);

struct Command {
  Operation operation = Operation::kAcquire;
  Id front = 0;     // the requesting front
  Token token = 0;  // of the lease that the front holds; of kExpire: of the expired lease
  // Of kRecordStep: the last step that is done. Of kAcquire: the number of steps, if the task is
  // new. Of kExpire: LeasedTask::accepted_commands when the lease expired.
  std::uint64_t step = 0;
  std::string task;
};
std::string Encode(const Command& command);
// Returns nullopt unless the bytes are exactly one valid command.
std::optional<Command> Decode(std::span<const char> bytes);
bool IsValidTaskName(const std::string& name);

struct LeasedTask {
  Id holder = 0;    // 0: none
  Token token = 0;  // of the last grant
  std::uint64_t done_steps = 0;
  std::uint64_t steps = 0;
  bool finished = false;
  bool abandoned = false;
  // Number of the holder's commands applied so far. An expiry proposed before the last of them has
  // no effect: a renewal that was in flight when the lease expired keeps the lease (found by
  // the test's schedule "five members", seed 100765).
  std::uint64_t accepted_commands = 0;
};

enum class CommandStatus : std::uint8_t {
  kOk,
  kHeldByAnother,
  kStaleToken,
  kTaskEnded,
  kUnknownTask,
  kTooManyTasks,
  kUnknownOutcome
};
const char* ToString(CommandStatus status);
struct Result {
  CommandStatus status = CommandStatus::kOk;
  Token token = 0;
  std::uint64_t done_steps = 0;
  Id holder = 0;
};

class LeaseTable {
 public:
  Result Apply(const Command& command);
  const std::map<std::string, LeasedTask>& Tasks() const {
    return tasks_;
  }
  Token LastToken() const {
    return last_token_;
  }
  // Whether no lease was granted since the bootstrap.
  bool HasNoGrants() const {
    return last_token_ == bootstrap_token_;
  }
  std::string Snapshot() const;
  // Returns false, and changes nothing, unless the bytes are exactly one valid snapshot.
  bool Restore(std::span<const char> bytes);

 private:
  std::map<std::string, LeasedTask> tasks_;
  Token last_token_ = 0;
  Token bootstrap_token_ = 0;  // of the kBootstrap command
};

// The leader's clock: which leases have certainly expired.
class LeaseExpiryTracker {
 public:
  explicit LeaseExpiryTracker(LeaseSettings settings) : settings_(settings) {}
  // To be called on becoming leader: every lease may have been renewed just before.
  void StartLeading(Ms now, const LeaseTable& table);
  void HandleApplied(Ms now, const Command& command, const Result& result);
  // The kExpire commands to propose.
  std::vector<Command> ExpiredLeases(Ms now, const LeaseTable& table) const;
  // A group without grants may replace one whose stores were lost and whose leases may still be
  // valid. Prevents two holders after a second bootstrap; delays the first grant by one lease
  // duration.
  bool MayGrant(Ms now, const LeaseTable& table) const {
    return !table.HasNoGrants() || now >= ExpiryFrom(leading_since_);
  }
  // The time by which the lease has certainly expired; 1e300 if unknown.
  Ms LeaseEnd(const std::string& task) const {
    auto entry = confirmed_at_.find(task);
    return entry == confirmed_at_.end() ? 1e300 : ExpiryFrom(entry->second);
  }

 private:
  Ms ExpiryFrom(Ms from) const {
    return from + settings_.duration * (1 + settings_.clock_drift) + settings_.margin;
  }
  LeaseSettings settings_;
  std::map<std::string, Ms> confirmed_at_;  // by task; at most kMaxTasks entries
  Ms leading_since_ = 0;
};

// The holder's clock: the lease of one task at one front.
class HeldLease {
 public:
  explicit HeldLease(LeaseSettings settings) : settings_(settings) {}
  // A grant or renewal whose request was sent at `requested_at` by the holder's own clock.
  void Grant(Ms requested_at, const Result& result) {
    token_ = result.token;
    valid_until_ =
        requested_at + settings_.duration * (1 - settings_.clock_drift) - settings_.margin;
  }
  void Clear() {
    token_ = 0;
    valid_until_ = -1;
  }
  bool IsHeld() const {
    return token_ != 0;
  }
  bool MayAct(Ms now) const {
    return token_ != 0 && now < valid_until_;
  }
  Ms ValidUntil() const {
    return valid_until_;
  }
  Token token() const {
    return token_;
  }

 private:
  LeaseSettings settings_;
  Token token_ = 0;
  Ms valid_until_ = -1;
};

}  // namespace dunlinwick::owner
