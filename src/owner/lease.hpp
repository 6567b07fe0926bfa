// Who owns each piece of the fleet's work: the table that a small group of fronts agrees on, and
// the two clocks that a lease stands on. Pure: commands and time in, results out. The same commands
// in the same order make the same table; the order is consensus' part (src/owner/group.*).
//
// What it promises, and what the schedules in tests/owner_test.cpp look at:
// - A token is given once: it grows with every grant, over all works, and never falls (it is part
// of the table).
// - A lease runs out by two clocks, neither of which is compared with the other. Its owner counts
// from when it *asked*
//   and stops acting at lease * (1 - drift) - margin; the group's leader counts from when it
//   *applied* the grant or renewal, or came to lead, and gives it to nobody else before lease * (1
//   + drift) + margin. What was asked is applied later, so the owner stops first, as long as no
//   clock runs off by more than `drift`, or steps by more than `margin` within one lease. Past that
//   bound the fence holds (src/owner/fence.hpp): clocks keep two from acting at once, the fence
//   keeps what the late one does from landing.
// Bounds: 64 works, names of 48 letters, digits and dashes at most; a command is 100 bytes at most.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace dunlinwick::owner {

using Ms = double;
using Id = std::uint32_t;  // a front's number in the fleet; 0 is nobody
using Token = std::uint64_t;
constexpr std::size_t kMaxTasks = 64, kMaxTaskNameLength = 48;

struct LeaseSettings {
  Ms duration = 3000;
  Ms margin = 200;
  double clock_drift = 0.01;
  Ms renew_interval = 800;  // the owner asks again this often; under a third of the lease
};

// found: the first command of a group, by its leader; its token is what all others are above.
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
  Id front = 0;     // who asks
  Token token = 0;  // that it holds; of expire: the one that has run out
  // Of record: done up to and with it; of take: how many there are, where the work is new; of
  // expire: the owner's words as they were counted when its lease had run out.
  std::uint64_t step = 0;
  std::string task;
};
std::string Encode(const Command& command);
std::optional<Command> Decode(
    std::span<const char> bytes);  // nothing for anything that is not one whole
bool IsValidTaskName(const std::string& name);

struct LeasedTask {
  Id holder = 0;    // 0: nobody
  Token token = 0;  // of the last grant
  std::uint64_t done_steps = 0;
  std::uint64_t steps = 0;
  bool finished = false;
  bool abandoned = false;
  // The owner's words that were taken so far. An expiry that was proposed before the last of them
  // is void: a renewal that was under way when the lease ran out keeps it (found by a schedule:
  // five members, seed 100765).
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
  bool HasNoGrants() const {
    return last_token_ == bootstrap_token_;
  }  // founded, or not even that, and nothing granted yet
  std::string Snapshot() const;
  bool Restore(std::span<const char>
                   bytes);  // false, and nothing changed, where they are not one snapshot whole

 private:
  std::map<std::string, LeasedTask> tasks_;
  Token last_token_ = 0;
  Token bootstrap_token_ = 0;  // base_: that the group was founded with
};

// The leader's clock: which leases have run out for certain.
class LeaseExpiryTracker {
 public:
  explicit LeaseExpiryTracker(LeaseSettings settings) : settings_(settings) {}
  void StartLeading(
      Ms now,
      const LeaseTable& table);  // it has just come to lead: every lease may be as young as now
  void HandleApplied(Ms now, const Command& command, const Result& result);
  std::vector<Command> ExpiredLeases(Ms now,
                                     const LeaseTable& table) const;  // expirations to propose
  // A group that has granted nothing yet may follow one whose stores were lost: its leases may
  // still run. Guards against two owners after a founding anew; costs a lease at the first.
  bool MayGrant(Ms now, const LeaseTable& table) const {
    return !table.HasNoGrants() || now >= ExpiryFrom(leading_since_);
  }
  Ms LeaseEnd(const std::string& task)
      const {  // by when its lease has surely run out; 1e300 where it is not known
    auto entry = confirmed_at_.find(task);
    return entry == confirmed_at_.end() ? 1e300 : ExpiryFrom(entry->second);
  }

 private:
  Ms ExpiryFrom(Ms from) const {
    return from + settings_.duration * (1 + settings_.clock_drift) + settings_.margin;
  }
  LeaseSettings settings_;
  std::map<std::string, Ms> confirmed_at_;  // by work; at most as many as works
  Ms leading_since_ = 0;
};

// An owner's clock, for one work at one front.
class HeldLease {
 public:
  explicit HeldLease(LeaseSettings settings) : settings_(settings) {}
  // A grant or renewal that was asked for at `askedAt`, by its own clock.
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
