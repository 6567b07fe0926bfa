// The group of fronts that agrees on the table of works: consensus by Debian's libraft (Raft,
// without pre-vote: group_founding.cpp says why), its I/O given by this class, so that the same
// code runs on a front's loop and on the stage. No clock, descriptor or randomness of its own.
//
// Founding. Raft must not forget a vote. A member whose store holds nothing either is of a group
// that has never been, or has lost what it promised; it can't tell by itself. So it says hello
// until every configured member has said, in the same incarnation, that it too begins and whom it
// saw beginning; then all found the group. Where one that belongs to a group does not count its
// present incarnation among the founders, its state is lost: it takes no part any more, and says
// so. So a group in memory bears the loss of a minority, for good; after a majority is lost it
// grants nothing. Tokens of a group founded anew begin with the founding's clock (milliseconds <<
// 20), above all before as long as clocks did not step back by more than the time between; else the
// fences refuse them, which is told.
//
// Bounds: 3 or 5 members; a snapshot each 256 entries, 32 kept; a message is 60,000 bytes at most;
// 256 proposals at once.
#pragma once
#include <functional>
#include <memory>

#include "owner/lease.hpp"
#include "owner/store.hpp"

namespace dunlinwick::owner {

struct RaftSettings {
  Ms election_timeout = 500;
  Ms heartbeat_interval = 100;  // Raft's; an election takes one to two of the first
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
  // `members`: all of the group, self among them. `incarnation`: of this process, newer at each
  // start: best the clock in milliseconds. Throws std::runtime_error where the store can't be read.
  Group(Id self, std::vector<Id> members, RaftSettings settings, LeaseSettings lease, Store& store,
        std::uint64_t incarnation, std::uint64_t seed, Ms now, Send send);
  ~Group();
  Group(const Group&) = delete;
  Group& operator=(const Group&) = delete;

  void Tick(Ms now);  // every GroupTerms::tick or so
  void Receive(Ms now, Id from, std::span<const char> bytes);
  // At the leader: `done` is called once, now or in a later call into the group, with the result
  // once a majority has it; unsure where that can't be known, as when leadership was lost. False,
  // and never called, elsewhere or with too many under way.
  bool Propose(Ms now, const Command& command, Completion done);

  MemberState member_state() const;
  bool IsLeader() const;
  Id Leader() const;  // 0: not known
  std::uint64_t Term() const;
  const LeaseTable& table() const;
  Ms LeaseEnd(const std::string& task)
      const;  // at the leader: by when it has surely run out; 1e300 where nobody holds it
  std::string FailureReason() const;  // of lost and failed
  /// Whether it may have promised anything to the others: it is or was a member of a group that is
  /// founded.
  bool HasParticipated() const;
  void ReuseTokens();  // for a test that breaks it on purpose: tokens begin at 1 with each founding

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};
const char* ToString(Group::MemberState member_state);

}  // namespace dunlinwick::owner
