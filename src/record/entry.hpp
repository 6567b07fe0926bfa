// An entry of the record, the fleet's replicated change log: one totally ordered log over all
// streams. Only the holder of the lease on the task "record" appends to it; the lease's token is
// the fencing token. Sources: Kafka's log compaction (the latest entry of each key, a recent part
// that is not compacted, tombstones retained for a time); primary and backups behind an epoch as in
// Viewstamped Replication. The lease holder itself is elected by libraft.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace dunlinwick::record {

using Ms = double;
using Id = std::uint32_t;
using Token = std::uint64_t;
using Offset = std::uint64_t;  // from 1, appended without gaps; an offset that was announced to
                               // anybody is never reused

enum class Stream : std::uint8_t {
  kRecalls = 0,
  kRules = 1,
  kSettings = 2
};  // on the wire and on disk: never renumbered
constexpr std::size_t kStreamCount = 3;
const char* ToString(Stream stream);

struct Entry {
  Offset offset = 0;
  Token token = 0;  // of the leader writer that appended it, or rewrote it when it took over
  Stream stream = Stream::kRecalls;
  std::string key;  // 1 to 200 bytes
  bool tombstone = false;
  std::string value;  // at most 60,000 bytes; empty for a tombstone
  Ms written_at = 0;  // the leader writer's Unix time: for operators, lag and retention, never for
                      // ordering
  bool operator==(const Entry&) const = default;
};
constexpr std::size_t kMaxKeyBytes = 200, kMaxValueBytes = 60000;
// xxHash64 over all fields in a fixed order; detects corrupted bytes.
std::uint64_t Digest(const Entry& e);

}  // namespace dunlinwick::record
