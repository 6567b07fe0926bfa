// The group of fronts that replicates the lease table, by Debian's libraft (Raft without pre-vote:
// group_founding.cpp gives the reason). This class provides libraft's I/O, so that the same code
// runs on a front's loop and in the simulation. It has no clock, descriptor or entropy source of
// its own.
//
// Bootstrap. A Raft member must not lose its votes. A member with an empty store either belongs to
// a group that was never bootstrapped or has lost its state, and cannot tell which. It therefore
// sends hellos until every configured member has stated, in one and the same incarnation, that it
// is bootstrapping too and which members it has seen doing so; then all of them bootstrap the
// group. If a member of an existing group does not list this process's incarnation among the
// bootstrap members, this process's state is lost: it no longer participates, and reports so. A
// group with in-memory stores thus survives the permanent loss of a minority, and grants nothing
// once a majority is lost. The tokens of a group that is bootstrapped again start at the time of
// the bootstrap, in milliseconds times 2^20. They are above all earlier ones as long as clocks did
// not step back by more than the time between the two; otherwise the executors refuse the tokens
// and the holder logs it.
//
// Bounds: 3 or 5 members; a snapshot every 256 entries, which keeps the last 32 entries; messages
// of at most 60,000 bytes; 256 proposals in flight.
#pragma once
#include <functional>
#include <memory>

#include "owner/lease.hpp"
#include "owner/store.hpp"

namespace dunlinwick::owner {

struct RaftSettings {
  Ms election_timeout = 500;  // an election takes one to two times as long
  Ms heartbeat_interval = 100;
  Ms tick_interval = 20;
};

class Group {
 public:
  using Send = std::function<void(Id to, std::string bytes)>;
  using Completion = std::function<void(const Result&)>;
  enum class MemberState : std::uint8_t {
    kBootstrapping,
    kMember,
    kLost,
    kFailed
  };
  // `members`: all members of the group, including `self`. `incarnation`: of this process, higher
  // at each start; ideally the time in milliseconds. Throws std::runtime_error if the store cannot
  // be read.
  Group(Id self, std::vector<Id> members, RaftSettings settings, LeaseSettings lease, Store& store,
        std::uint64_t incarnation, std::uint64_t seed, Ms now, Send send);
  ~Group();
  Group(const Group&) = delete;
  Group& operator=(const Group&) = delete;

  void Tick(Ms now);  // called about every RaftSettings::tick_interval
  void Receive(Ms now, Id from, std::span<const char> bytes);
  // At the leader: `done` is called once, during this call or a later one, with the result once a
  // majority has stored the command, or with kUnknownOutcome if that cannot be known, as after a
  // loss of leadership. Returns false, and never calls `done`, at other members or with too many
  // proposals in flight.
  bool Propose(Ms now, const Command& command, Completion done);

  MemberState member_state() const;
  bool IsLeader() const;
  Id Leader() const;  // 0: unknown
  std::uint64_t Term() const;
  const LeaseTable& table() const;
  // At the leader: when the lease has certainly expired; 1e300 if it is not held.
  Ms LeaseEnd(const std::string& task) const;
  std::string FailureReason() const;  // of kLost and kFailed
  /// Whether it may have voted or acknowledged entries: it is or was a member of a group that was
  /// bootstrapped.
  bool HasParticipated() const;
  void ReuseTokens();  // a fault that tests inject: tokens start at 1 with each bootstrap

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};
const char* ToString(Group::MemberState member_state);

}  // namespace dunlinwick::owner
