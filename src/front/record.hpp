// The record component of a front: a log replica, when this front is one of the replicas (log on
// disk, subscribers' server); the writer, while this front holds the lease of the standing task
// "record"; and this front's own subscription, through which recalls reach the router and approved
// configurations the rules component. The decisions are made in src/record/.
//
// It logs, one line each, for operators and the checker:
//   record writer token 114085068801048577 serving from 41 at 1764629612345
//   record writer stopped token 114085068801048577 at ...
//   record put 42 acknowledged 1 token 114085068801048577 at ...  (first offset, number of entries)
//   record read 42 recalls object/7f token 1140... at ...         (by its own subscription, in
//   order) record starts over at ... record caught up to 42 at ... record behind since ... at ...
//   record keeper failed: ... at ...  (its log replica)
//   record store not used: ... at ...
//   record store used again at ...
// Operators' writes arrive as datagrams "DR" 1 | proto PutBatch and are answered with proto
// PutAnswer; a front that is not the record's lease holder answers so, with the holder's id if it
// knows it. Bounds: 32 operators' writes in flight.
#pragma once
#include <deque>
#include <memory>
#include <set>

#include "front/fleet_component.hpp"
#include "front/layer_terms.hpp"
#include "loop/loop.hpp"
#include "wall_time.hpp"

namespace dunlinwick::front {

// What is recalled: copies fetched before the recall are no longer current. Exactly one of
// `object`, `group` and `request_class` is set.
struct Recall {
  std::string object;
  int group = -1;
  std::string request_class;
  // A tombstone lifts the recall: no older copy can exist any more, or it was a mistake.
  bool lifted = false;
  Ms age = 0;  // time since it was given; 0: counts as given now
};
// Reads the keys "object/NAME", "group/7" and "offering/NAME"; nothing for any other key.
std::optional<Recall> ReadRecall(const record::Entry& entry);

/// The least time since a recall was given that the record's writer stamped with `written`; 0 when
/// that is unknown. `fresh`: this front had read all entries before it, so it reads the recall as
/// it is given.
Ms RecallAge(WallTime written, Ms now, bool fresh);

class RecordComponent final : public FleetComponent {
 public:
  struct Callbacks {
    std::function<bool(peers::Id to, std::string message)> send;
    std::function<void(const Recall&)> recall;
    std::function<void()> reset_recalls;  // the subscription starts over: all recalls are void
    std::function<void(const record::Entry&)> entry;  // of the other streams
    // Why an operator's write is refused, or "".
    std::function<std::string(record::Stream, const std::string& key, bool tombstone,
                              const std::string& value)>
        refusal_reason;
    std::function<void(Ms)> limit_copy_age;  // of copies requested from now on; 0: no limit
    std::function<std::pair<record::Token, bool>()>
        lease;  // its token and whether it may be used now; token 0: another front holds it
    std::function<peers::Id()> lease_holder;  // 0: unknown
  };
  // A store that cannot be opened is tried again: src/record/replica_host.hpp.
  RecordComponent(loop::Loop& loop, const RecordSettings& settings, peers::Id self,
                  std::uint64_t seed, Callbacks callbacks);
  ~RecordComponent() override;
  peers::Channel channel() const override {
    return peers::Channel::kRecord;
  }
  void HandleMessage(peers::Id from, std::span<const char> message) override;
  void HandleTimer() override;
  Ms NextTimerAt() const override;
  std::string StatusJson() const override;
  // An operator's datagram, without its head. `reply` may be called later, at most once.
  using Reply = std::function<void(std::string)>;
  void HandleOperatorRequest(std::span<const char> bytes, Reply reply);

  bool CaughtUp() const;
  record::Offset Position() const, Committed() const;
  Ms CurrentAt() const;     // when the subscription was last confirmed as current; < 0: never
  bool HasReplica() const;  // this front is a log replica, and its store is open
  bool Corrupted() const;   // its store has gaps, or is not open
  record::LogMetadata head() const;  // of its store, as it was when last opened
  bool Writes() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwick::front
