// Replication of the record: the log replicas' side and the side of the single leader writer.
// Driven only by time and messages; it outputs messages. It has no consensus of its own: the lease
// group (src/owner, on libraft) decides who may write, and the lease's token fences off earlier
// writers. What is here is primary and backups behind that token; tests/keepers_test.cpp explores
// its states.
//
// Guarantees (verified by the checker in src/rig/record_judge.*):
// - An entry is acknowledged once a majority of the configured replicas has it, and all before it,
//   on disk.
// - Acknowledged entries are never lost, changed or reordered while a majority of the replicas
//   keeps its disks; with `distrust_restarted` also where the disks of a minority come back in an
//   older state, whether other replicas witnessed the newer one or not (see below).
// - A new leader writer first has a majority promise its token; from then on messages with a lower
//   token are rejected. It takes the best tail among that majority (the highest token of the last
//   entry, then the highest offset) and brings a majority up to it. Of the entries not known to be
//   committed, it rewrites only the last under its own token; that one stands for all before it.
//   (Rewriting all of them, one after the other, would lose acknowledged entries: a replica that
//   had taken only the first of them would have the highest token and the shorter tail.) It accepts
//   writes only once that entry is at a majority.
// - A replica counts only if its disk is not found to be old. Other replicas witness how far it was
//   known to hold what is committed (LogMetadata::witnessed, carried on heartbeats). A replica
//   behind that, one that is empty while others are not, and one with gaps or an unfinished reset
//   are `corrupted`: they count again once the leader writer has brought them up to date. If all
//   are empty the record is bootstrapped, which requires every replica and is logged as a warning.
//   The confirmation is stored on the replica's own disk (LogMetadata::witnessed of Id 0: odd once
//   confirmed); otherwise a replica reset half way would soon pass for a complete one. Once every
//   replica has answered, none is left out except for gaps: a majority of them is complete.
// - A replica that lost its disk has lost its promise too: it counts for a leader writer only after
//   a further round of promises by a majority.
// - What no replica has witnessed yet (the last heartbeat interval) an old disk can still undo
//   undetected, its promise too. `distrust_restarted` prevents that at a price: a restarted replica
//   is unconfirmed, and a majority with u unconfirmed replicas must be larger by min(u, the
//   minority): of three, all three, until a leader writer has confirmed the one that restarted. Off
//   by default: with one replica down and one restarted, the record would stop.
// - A message of an earlier incarnation of a replica is ignored: append requests and responses
//   carry the incarnation that answered the leader writer's PrepareRequest.
// - A compaction plan is sent under the token, so a former lease holder's plan is rejected.
// - A replica behind the tombstone horizon is reset from a snapshot, by batches of another
//   replica's compacted log. It discards its own log first, so that happens only once what is
//   compacted is held by a majority without it, or it certainly holds less.
// Bounds: `max_pending_writes` batches and `max_window_bytes` in flight at the leader writer;
// `batch_bytes` per message, but at least one entry. Sources: Raft (log matching; earlier entries
// count as committed only with one of the current term), Viewstamped Replication Revisited (views,
// recovery from other replicas), Alagappan et al., Protocol-Aware Recovery (a damaged disk takes no
// part in the choice).
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <variant>

#include "record/log.hpp"

namespace dunlinwick::record {

struct LogReplicaSettings {
  Ms retry_interval = 200;
  Ms heartbeat_interval = 500;
  std::size_t batch_bytes = 48 << 10;
  std::size_t max_pending_writes = 256;
  std::size_t max_window_bytes = 1 << 20;
  bool distrust_restarted = false;
  // Defects that tests inject for the checker to detect; all false in production.
  bool defect_reuse_offsets = false;            // an offset is assigned twice
  bool defect_trust_own_disk = false;           // its own tail is used whatever a majority has
  bool defect_skip_plan_fencing = false;        // plans are not fenced by the token
  bool defect_commit_without_majority = false;  // acknowledged once one replica has it
  bool defect_prefer_longest_tail = false;      // the tail is chosen by length
  bool defect_rewrite_whole_tail = false;       // everything not known to be committed is rewritten
};

// ---- messages (proto/record.proto on the wire, by Encode() and Decode())

// Leader writer to replica: promise this token and report the end of the log.
struct PrepareRequest {
  Token token = 0;
  std::uint64_t round = 0;
};
struct PrepareResponse {
  Token token = 0;  // promised; higher than the requester's: the requester is fenced off
  std::uint64_t store_id = 0;
  std::uint64_t start_count = 0;
  std::uint64_t round = 0;
  std::uint64_t incarnation = 0;  // drawn at each start; not ordered
  bool unconfirmed = false;       // not confirmed by a leader writer since its start
  // By its disk: new, or found to be old or with gaps, and not brought up to date by a serving
  // leader writer since.
  bool unconfirmed_on_disk = false;
  Offset last = 0;
  Offset committed = 0;
  Offset first = 1;
  Offset compacted_up_to = 0;
  Offset tombstone_horizon = 0;
  Token last_token = 0;
  std::vector<std::pair<Id, Offset>> witnessed;
  bool corrupted = false;  // by its own report: a gap, a swapped disk
  std::vector<Offset> gaps;
};
struct AppendRequest {
  Token token = 0;
  std::uint64_t incarnation = 0;  // of the replica that it is meant for
  Offset after = 0;               // the entries follow this one ...
  // ... which has this token at the leader writer (0: unknown, because it is compacted there).
  Token after_token = 0;
  Offset committed = 0;
  bool from_snapshot = false;  // a batch of a compacted log; with `after` 0 it replaces the log
  // Of `from_snapshot`: each session begins once, so that a delayed duplicate discards nothing.
  std::uint64_t snapshot_session = 0;
  bool confirms = false;   // the replica is no longer unconfirmed
  bool corrupted = false;  // found to be old: the replica stores that before it accepts anything
  Offset compacted_up_to = 0;          // missing offsets up to here are compacted
  Offset tombstone_horizon = 0;        // as known of the record
  Offset min_subscriber_position = 0;  // the lowest position of active subscribers
  std::vector<Entry> entries;
  // By replica: what it is known to hold (to be witnessed).
  std::vector<std::pair<Id, Offset>> match_offsets;
  CompactionPlan plan;  // `up_to` 0: none
};
struct AppendResponse {
  Token token = 0;  // promised
  std::uint64_t incarnation = 0;
  Offset up_to = 0;  // what it holds in common with the leader writer, on disk
  bool refused = false;
  bool full = false;
  bool unknown_incarnation = false;  // this leader writer has not prepared this incarnation
  bool incomplete = false;           // being reset from a snapshot
  bool needs_reset = false;          // has a gap that the others may have compacted away
  Offset last = 0;
  Offset resume_after = 0;  // of a refusal: the offset after which to try next
  std::vector<Offset> gaps;
  CompactionPlan plan;  // the compaction that the replica finds worthwhile
};
// To a replica, from the leader writer when it takes over, or from another replica to repair gaps.
struct FetchRequest {
  Offset after = 0;
  Offset up_to = 0;
  std::vector<Offset> offsets;  // if not empty, only these
};
struct FetchResponse {
  Offset after = 0;
  Offset up_to = 0;       // complete in between: what is missing was compacted
  Token after_token = 0;  // 0: unknown
  Offset committed = 0;
  Offset compacted_up_to = 0;
  Offset tombstone_horizon = 0;
  std::vector<Entry> entries;
  std::vector<Offset> offsets;  // which of the requested single offsets this answers
};
using Message = std::variant<PrepareRequest, PrepareResponse, AppendRequest, AppendResponse,
                             FetchRequest, FetchResponse>;
std::string Encode(const Message& m);
// Unset for anything that is not exactly one valid message.
std::optional<Message> Decode(std::span<const char> bytes);

// Must only queue the message; it must not call back into the sender.
using SendMessage = std::function<void(Id to, const Message&)>;

class LogReplica {
 public:
  // `incarnation`: differs at each start, whatever the disk (0: the disk's start count, which an
  // old copy of the disk repeats).
  LogReplica(Id self, std::vector<Id> replicas, LogReplicaSettings settings, Log& log,
             std::uint64_t incarnation = 0);
  void Receive(Ms now, Id from, const Message& m, const SendMessage& send);
  // Runs steps of a compaction and repairs gaps from the other replicas.
  void Tick(Ms now, const SendMessage& send, Ms unix_now = -1);
  bool has_failed() const;  // its disk failed: it takes no part until the next start
  Log& log();
  bool IsUnconfirmed() const;
  // For a state-space exploration, which saves and restores states.
  void SetUnconfirmed(bool unconfirmed);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

enum class Phase : std::uint8_t {
  kPreparing,
  kFetching,
  kRewriting,
  kServing,
  kFenced
};
const char* ToString(Phase phase);

// The lease holder's side, created for each token that it is granted; its front may be a replica
// too (it then sends messages to itself).
class LeaderWriter {
 public:
  // kNotWritten: certainly not in the record; kUnknown: possibly in it.
  enum class Outcome : std::uint8_t {
    kAcknowledged,
    kNotWritten,
    kUnknown
  };
  using WriteCallback = std::function<void(Outcome, Offset first)>;
  struct Put {
    Stream stream = Stream::kRecalls;
    std::string key;
    bool tombstone = false;
    std::string value;
  };
  LeaderWriter(Id self, std::vector<Id> replicas, LogReplicaSettings settings,
               LogSettings log_settings, Token token, Ms now);
  void Tick(Ms now, const SendMessage& send);
  void Receive(Ms now, Id from, const Message& m, const SendMessage& send);
  // The entries of a batch get consecutive offsets and are acknowledged together. Returns false if
  // the writer is not serving or too much is in flight. Where `written_at` is not given, entries
  // are stamped with `now`, which must then be Unix time.
  bool Write(Ms now, const std::vector<Put>& batch, WriteCallback callback, const SendMessage& send,
             Ms written_at = -1);
  // The lowest position of active subscribers (src/record/subscribers.hpp). Until it is called no
  // tombstone is removed.
  void SetMinSubscriberPosition(Ms now, Offset position);
  void Stop();  // the lease has ended: the outcome of pending writes is reported as unknown
  Phase phase() const;
  Token token() const;
  Offset Committed() const;
  bool IsBootstrapped() const;  // all replicas were empty; to be logged as a warning
  std::map<Id, Offset> MatchOffsets() const;
  // For a state-space exploration: a copy in the same state, and a text that distinguishes states
  // (without times).
  LeaderWriter Clone() const;
  std::string StateText() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace dunlinwick::record
