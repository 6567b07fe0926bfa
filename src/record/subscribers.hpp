// Subscribers of the record. A subscriber reads the compacted record in offset order from any
// replica: first everything at or below the offset S that was committed when it began (its
// snapshot), then the tail. It holds a lease, so that tombstones are kept until it has read them.
// Driven only by time and messages; it outputs messages and entries.
//
// Guarantees: no gap (at each position the subscriber has, of each key, the latest entry at or
// below it, or a later one is on its way), no duplicate and no older value after a newer one,
// whatever is lost, delayed, duplicated, compacted, resumed at another replica or written
// meanwhile. Each response carries a digest and is requested again if it does not match. A
// subscriber that was away longer than its lease and is behind the tombstone horizon (and began
// before those tombstones were removed: SubscriptionRequest::clean_horizon) is told to start over,
// never silently resumed: its state is void, because a recalled object would reappear. A slow
// subscriber asks for one position at a time, so nothing queues up for it; what it holds back is
// the removal of tombstones, for as long as its lease runs. Where no response comes it asks the
// next replica after `retry_interval` and takes whichever response comes first. A restart of a
// replica drops its leases; at worst that causes a start-over. Bounds: `max_subscribers` leases at
// a replica; one response
// (`batch_bytes`) per request, 16 requests without a response remembered by a subscriber.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <variant>

#include "record/log.hpp"

namespace dunlinwick::record {

struct SubscriberSettings {
  Ms lease = 30000;
  Ms poll_interval = 200;
  Ms retry_interval = 400;
  std::size_t batch_bytes = 32 << 10;
  std::size_t max_subscribers = 1024;
  // A replica that has not heard from a leader writer for longer is left for the next one.
  Ms max_leader_silence = 1500;
  InjectedDefects defects = {};
};

// Subscriber to replica.
struct SubscriptionRequest {
  std::uint64_t subscriber = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  Offset after = 0;               // everything up to it has been read; 0: begins
  std::uint32_t stream_mask = 7;  // one bit per stream
  // The lowest tombstone horizon of the replicas that it has read from since it began: its state
  // holds no value that those tombstones hid.
  Offset clean_horizon = 0;
};
struct SubscriptionResponse {
  std::uint64_t sequence = 0;  // of the request
  Offset after = 0;
  Offset up_to = 0;
  Offset committed = 0;
  Offset snapshot_end = 0;       // S, while the subscriber is reading up to it
  Offset tombstone_horizon = 0;  // of the replica at the time of the response
  // Milliseconds since the replica last heard from a leader writer: what it does not know may be
  // that old.
  std::uint64_t leader_silence_ms = 0;
  bool start_over = false;
  std::vector<Entry> entries;
  std::uint64_t digest = 0;  // over all of the above
};
// The value that SubscriptionResponse::digest must have.
std::uint64_t Digest(const SubscriptionResponse& p);
// Replica to the leader writer's front: the positions of the replica's active subscribers.
struct LeasedPositions {
  std::vector<std::pair<std::uint64_t, Offset>> positions;
};
using SubscriberMessage = std::variant<SubscriptionRequest, SubscriptionResponse, LeasedPositions>;
std::string Encode(const SubscriberMessage& s);
// Unset for anything that is not one of these messages or exceeds a bound. The subscriber itself
// verifies a response's digest.
std::optional<SubscriberMessage> DecodeSubscriberMessage(std::span<const char> bytes);

// A replica's side: answers from its own log; the leases that it holds are reported to the leader
// writer as LeasedPositions. A subscription is removed once its lease has expired; only a later
// incarnation of the subscriber replaces an earlier one.
class SubscriptionServer {
 public:
  SubscriptionServer(Log& log, SubscriberSettings settings, Ms now);
  // Unset: too many subscribers, a delayed copy of an earlier request, or this replica is itself
  // incomplete (Log::IsComplete()). `leader_silence_ms`: since this replica last heard from a
  // leader writer.
  std::optional<SubscriptionResponse> HandleRequest(Ms now, const SubscriptionRequest& request,
                                                    std::uint64_t leader_silence_ms = 0);
  LeasedPositions ActivePositions(Ms now) const;
  // The lowest position of active subscribers; the log's committed offset if there are none.
  Offset MinPosition(Ms now) const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

// The subscriber's side.
class Subscriber {
 public:
  struct Callbacks {
    std::function<void(Id replica, const SubscriptionRequest&)> send_request;
    std::function<void(const Entry&)> on_entry;  // in offset order, each once
    std::function<void()> on_start_over;         // everything delivered before is void
  };
  // `position`: resumes after this offset (0: reads from the start).
  Subscriber(std::uint64_t self, std::uint64_t incarnation, std::vector<Id> replicas,
             SubscriberSettings settings, Offset position, std::uint64_t seed, Ms now);
  void Tick(Ms now, const Callbacks& callbacks);
  void Receive(Ms now, Id from, const SubscriptionResponse& response, const Callbacks& callbacks);
  Offset Position() const;
  Offset Committed() const;  // the highest that a replica reported
  bool IsCaughtUp() const;   // position >= Committed(), and past the snapshot
  // As of when it was last known to be caught up with a replica that is not behind the highest
  // reported offset: when the request was sent, less that replica's own leader silence; < 0: never.
  // A front whose replica is cut off as well thus knows that it may have missed something.
  Ms CurrentAsOf() const;
  std::uint64_t ReceivedBytes() const;  // of keys and values, and 40 for each entry
  // Responses that were rejected: digest, order, or another position than requested.
  std::uint64_t RejectedResponses() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace dunlinwick::record
