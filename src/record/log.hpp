// A replica's log in memory over its storage: append, read by offset, the latest entry of each key,
// compaction in steps. Without side effects except on the storage.
//
// Compaction:
// - A CompactionPlan is made by the leader writer under its token and sent to all replicas, so that
//   their logs stay alike. It compacts entries up to `up_to` and removes tombstones up to
//   `remove_tombstones_up_to`. Of each key the latest entry at or below `up_to` stays; no entry
//   above it is touched. Entries younger than `min_compaction_lag` are not compacted (`up_to` is
//   below them). `remove_tombstones_up_to` is at most `up_to`, below the position of every active
//   subscriber, and older than `tombstone_retention`. Plans only move forward; an older one is
//   ignored.
// - A compaction is worthwhile once the dead bytes exceed `min_dead_ratio` of the bytes that it
//   would cover.
// - It is carried out in steps of at most `entries_per_step` entries; each step is one storage
//   call. It can be stopped and resumed after any step: the metadata holds its progress
//   (`compacted_up_to`, `tombstone_horizon`), and a plan that is started again reaches the same
//   state. Offsets never change. A step walks the entries in offset order and removes the previous
//   entry of the same key, so what is left after a step is what a plan up to that offset would have
//   left. Tombstones are removed last, once nothing that they hide is left below them.
// Bounds: `max_bytes` in memory; beyond that an append throws StorageFullError. Entries are removed
// only by a plan or by truncation.
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <optional>

#include "record/log_storage.hpp"

namespace dunlinwick::record {

// Defects that tests inject to show that the checks detect them; all false in production.
struct InjectedDefects {
  bool drop_tombstones_early = false;  // regardless of retention and subscribers' positions
  bool gap_after_snapshot = false;     // the tail begins at what is committed as the snapshot ends
  bool resume_behind_horizon = false;  // a subscriber behind the horizon is not told to start over
  bool skip_digest_check = false;      // of a SubscriptionResponse
};
struct LogSettings {
  std::size_t max_bytes = 8 << 20;
  Ms min_compaction_lag = 10 * 60 * 1000;
  Ms tombstone_retention = 24 * 60 * 60 * 1000.0;
  double min_dead_ratio = 0.5;
  std::size_t entries_per_step = 256;
  InjectedDefects defects = {};
};
struct CompactionPlan {
  Token token = 0;
  Offset up_to = 0;
  Offset remove_tombstones_up_to = 0;
  bool operator==(const CompactionPlan&) const = default;
};
// How far the log that entries were read from was compacted: missing offsets up to
// `compacted_up_to` are not gaps.
struct CompactionProgress {
  Offset compacted_up_to = 0;
  Offset tombstone_horizon = 0;
};

class Log {
 public:
  // Reads the storage and increments its start count. `new_store_id` identifies storage that is
  // new. Metadata of another replica throws StorageError (a swapped disk). Entries whose digest
  // does not match, and entries missing above `compacted_up_to`, are recorded as gaps. At or below
  // `compacted_up_to` a missing entry looks like a compacted one. A loss there shows only in the
  // count (LogMetadata::entry_count); it is recorded as a gap at the lowest missing offset, which
  // can be neither repaired nor closed.
  Log(Id self, LogSettings settings, LogStorage& storage, std::uint64_t new_store_id);
  ~Log();
  const LogMetadata& metadata() const;
  // An entry at or below `compacted_up_to` was lost and cannot be identified: only
  // ResetFromSnapshot() repairs that.
  bool HasUnlocatedLoss() const;
  // A storage call failed: each further writing call throws StorageError.
  bool has_failed() const;
  Offset LastOffset() const;  // 0: empty; compaction never lowers it
  Token LastToken() const;    // 0: empty, or the last entry is a gap
  // Unset: compacted, a gap, or beyond the end.
  std::optional<Token> TokenAt(Offset offset) const;
  const Entry* Find(Offset offset) const;
  // The latest entry of the key at or below the committed offset; may be a tombstone.
  const Entry* Latest(Stream stream, const std::string& key) const;
  // Entries above `after` and at or below `up_to`, in order, at most `bytes` of them (keys, values,
  // 40 each) but at least one; never past a gap. `reached`: the offset up to which the result is
  // complete (`up_to` unless something cut it short; `after` where a gap is next).
  std::vector<Entry> Read(Offset after, Offset up_to, std::size_t bytes,
                          Offset* reached = nullptr) const;
  // Whether the log holds a complete state: nothing above the committed offset was compacted. False
  // while a replica is being reset from a snapshot.
  bool IsComplete() const;
  // The calls below write to the storage before memory. StorageFullError: nothing has changed. Any
  // other StorageError: see has_failed(). `from`: as in LogStorage::AppendEntries; only above
  // `committed` and `compacted_up_to`. Returns false, and changes nothing, if the entries are not
  // contiguous with the log (offsets may be missing only up to `source.compacted_up_to`), exceed
  // the bounds of Entry, or lie below the tombstone horizon here or at the source while the two
  // horizons differ: a value could still be here whose tombstone is gone at the source, so only
  // ResetFromSnapshot() can bring this log up to date.
  bool AppendEntries(Offset from, const std::vector<Entry>& entries,
                     CompactionProgress source = {});
  // Replaces the whole log, committed entries included, by the beginning of another replica's log;
  // AppendEntries() with the same source adds the rest.
  bool ResetFromSnapshot(const std::vector<Entry>& entries, CompactionProgress source);
  void Promise(Token token);
  void Commit(Offset up_to);  // at most LastOffset(); never moves back
  // Written to disk with the next writing call, or by PersistMetadata().
  void RecordWitnessed(Id other, Offset up_to);
  void PersistMetadata();  // writes the metadata if it has changed
  std::vector<Offset> Gaps(std::size_t max_count) const;
  bool RepairGap(const Entry& entry);  // false: there is no gap at its offset
  // Closes a gap at which another, complete replica has nothing, because the entry was compacted
  // there. Only the first gap, only at or below the committed offset, and only above the other
  // replica's tombstone horizon: below it a tombstone may have been there, and what it hid may
  // still be here (then only ResetFromSnapshot() helps). Returns false otherwise.
  bool CloseCompactedGap(Offset gap, CompactionProgress source);
  // The compaction that is worthwhile now, if any. `min_position`: the lowest position of active
  // subscribers. An entry is young if its time is within `min_compaction_lag` of `now` on either
  // side, so that an entry with a time far in the future does not block compaction for ever.
  std::optional<CompactionPlan> ProposePlan(Ms now, Offset min_position, Token token) const;
  // Ignores a plan with a token lower than one accepted before. Kept in memory only.
  void AcceptPlan(const CompactionPlan& plan);
  // Runs one step of the accepted plan; returns false if nothing is left to do now. Does not go
  // past the committed offset, keeps the last entry, and does not run while there is a gap in the
  // range (a repaired entry must not reappear after its tombstone is gone).
  bool CompactStep();
  // In memory; dead bytes are those of entries superseded by a later one here.
  std::size_t bytes() const, DeadBytes() const, size() const;
  // Over the live entries at or below `up_to`: the latest of each key, without the tombstones up to
  // the higher of `tombstone_horizon` and the log's own. Replicas that hold the same entries get
  // the same digest however far each is compacted, for `up_to` >= `compacted_up_to` of both.
  std::uint64_t Digest(Offset up_to, Offset tombstone_horizon = 0) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwick::record
