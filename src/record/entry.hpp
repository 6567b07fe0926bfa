// What the fleet's record holds: one ordered line of entries over all streams, appended only by the
// owner of the standing work "record" (docs/notes/owner.md), whose token is the fence. Sources:
// Kafka's compacted topics as published (latest per key, a head left whole, tombstones for a term);
// primary and backups behind an epoch as in Viewstamped Replication; the owner itself is elected by
// libraft.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace dunlinwick::record {

using Ms = double;
using Id = std::uint32_t;
using Token = std::uint64_t;
using Offset = std::uint64_t;  // from 1, without gaps as appended; never reused for anything that
                               // anybody was told of

enum class Stream : std::uint8_t {
  kRecalls = 0,
  kRules = 1,
  kTerms = 2
};  // on the wire and on disk: never renumbered
constexpr std::size_t kStreams = 3;
const char* ToString(Stream stream);

struct Entry {
  Offset offset = 0;
  Token token = 0;  // of the owner who wrote it, or wrote it anew on taking over
  Stream stream = Stream::kRecalls;
  std::string key;  // 1 to 200 bytes
  bool tombstone = false;
  std::string value;  // at most 60,000 bytes; "" of a tombstone
  Ms at = 0;  // the owner's Unix clock as it was written: for people and for lag and terms, never
              // for order
  bool operator==(const Entry&) const = default;
};
constexpr std::size_t kLongestKey = 200, kLongestValue = 60000;
std::uint64_t Digest(
    const Entry& e);  // xxHash64 over all fields in fixed order: what a flipped bit is found by

}  // namespace dunlinwick::record
