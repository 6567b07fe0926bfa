// What a keeper must not forget. Each call lasts when it returns, or throws Failed, after which the
// keeper takes no further part until its next start (a write that may or may not have landed is in
// doubt). LMDB (src/store/record_lmdb.*) on machines; memory, with faults given by the test, in
// rigs: every call may fail before or after it took effect, the store may be replaced by an older
// copy, entries may be flipped.
#pragma once
#include <functional>
#include <optional>
#include <stdexcept>

#include "record/entry.hpp"

namespace dunlinwick::record {

struct Failed : std::runtime_error {
  using std::runtime_error::runtime_error;
};
struct Full : Failed {  // no room: nothing was written, the keeper goes on without taking entries
  using Failed::Failed;
};

// All but the entries. `store`: drawn at founding, told apart from a swapped disk; `starts`: of
// this store, counted.
struct Head {
  std::uint64_t store = 0;
  std::uint64_t starts = 0;
  Id keeper = 0;         // whose it is: a disk swapped between two fronts is found by it
  Token promised = 0;    // no word of a lower token is taken
  Offset committed = 0;  // known to be at a majority
  Offset first = 1;      // nothing below it was ever here, or all of it was compacted
  Offset cleaned = 0;    // compacted up to here: of each key only the latest at or below it is left
  Offset forgotten = 0;  // the highest tombstone that was let go
  std::optional<std::uint64_t> entries;  // how many are on disk: fewer at a start are lost, below
                                         // `cleaned` too (nothing: not counted yet)
  std::vector<std::pair<Id, Offset>>
      seen;  // by other keeper: the highest offset that it was known to hold (witness)
  bool operator==(const Head&) const = default;
};

class Disk {
 public:
  virtual ~Disk() = default;
  virtual bool Lasts() const = 0;
  virtual std::optional<Head> head() = 0;  // nothing: a new one
  // In offset order; one whose digest does not fit is told as a hole (offset, nothing).
  virtual void Each(const std::function<void(Offset, const Entry*)>& see) = 0;
  virtual void Write(const Head& head) = 0;
  // In one step: drops all at and above `from` (0: none), then adds, with the head.
  virtual void append(Offset from, const std::vector<Entry>& entries, const Head& head) = 0;
  virtual void Drop(const std::vector<Offset>& gone, const Head& head) = 0;  // of a compaction step
  virtual void Heal(const Entry& entry) = 0;  // puts one back that was a hole
};

}  // namespace dunlinwick::record
