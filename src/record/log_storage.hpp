// Durable storage of a log replica. Each writing call is durable when it returns, or throws
// StorageError; after that the replica takes no further part until it is restarted, because the
// failed write may or may not have reached the disk. Implemented by LMDB (src/store/record_lmdb.*)
// in production, and in memory with injected faults in tests: any call may fail before or after it
// took effect, the contents may be replaced by an older copy, entries may be corrupted.
#pragma once
#include <functional>
#include <optional>
#include <stdexcept>

#include "record/entry.hpp"

namespace dunlinwick::record {

struct StorageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};
// No space: nothing was written, and the replica goes on without accepting entries.
struct StorageFullError : StorageError {
  using StorageError::StorageError;
};

// Everything that is stored besides the entries. `store_id` is drawn when the storage is created
// and reveals a swapped disk; `start_count` counts the starts on this storage.
struct LogMetadata {
  std::uint64_t store_id = 0;
  std::uint64_t start_count = 0;
  Id replica_id = 0;             // the owner of the disk: reveals a disk swapped between two fronts
  Token promised_token = 0;      // no message with a lower token is accepted
  Offset committed = 0;          // known to be stored by a majority
  Offset first = 1;              // below it everything was compacted, or nothing was ever stored
  Offset compacted_up_to = 0;    // at or below it only the latest entry of each key is left
  Offset tombstone_horizon = 0;  // the highest offset of a removed tombstone
  // The number of entries on disk. Fewer found at a start means that some were lost, also at or
  // below `compacted_up_to`. Unset: not counted yet.
  std::optional<std::uint64_t> entry_count;
  // By other replica: the highest offset that it was known to hold.
  std::vector<std::pair<Id, Offset>> witnessed;
  bool operator==(const LogMetadata&) const = default;
};

class LogStorage {
 public:
  virtual ~LogStorage() = default;
  virtual bool IsDurable() const = 0;
  virtual std::optional<LogMetadata> metadata() = 0;  // unset for new storage
  // Visits the entries in offset order; a null entry is one whose digest does not match.
  virtual void ForEachEntry(const std::function<void(Offset, const Entry*)>& visit) = 0;
  virtual void WriteMetadata(const LogMetadata& metadata) = 0;
  // Atomically removes all entries at or above `from` (0: none), adds `entries` and writes the
  // metadata.
  virtual void AppendEntries(Offset from, const std::vector<Entry>& entries,
                             const LogMetadata& metadata) = 0;
  // One step of a compaction.
  virtual void RemoveEntries(const std::vector<Offset>& removed, const LogMetadata& metadata) = 0;
  virtual void RestoreEntry(const Entry& entry) = 0;  // puts back an entry that was a gap
};

}  // namespace dunlinwick::record
