// A keeper's record in memory over its disk: append, read by offset, the latest of each key, compaction in steps.
// Pure but for the disk it is given.
//
// Compaction, as decision logic:
// - Plan (made by the owner under its token, sent to all keepers, so that theirs stay alike): clean up to `upTo`, let go
//   of tombstones up to `forget`. Of each key the latest entry at or below `upTo` stays; nothing above it is touched. Entries
//   younger than `lag` stay whole (`upTo` is below them). `forget` <= upTo, and below every living subscriber's position,
//   and older than `tombstoneTerm`. A plan only ever moves forward; an older one is passed over.
// - Worth doing once dead bytes exceed `deadShare` of what would be cleaned.
// - Carried out in steps within a budget (entries a step); each step is one disk call; stoppable and resumable at each: the
//   head keeps how far (`cleaned`, `forgotten`), and a plan begun anew comes to the same end. Offsets never move.
// Bounds: `mostBytes` in memory, then append answers full. No entry is dropped but by a plan or by truncate().
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <optional>

#include "record/disk.hpp"

namespace dunlinwick::record {

struct LogTerms {
  std::size_t mostBytes = 8 << 20;
  Ms lag = 10 * 60 * 1000, tombstoneTerm = 24 * 60 * 60 * 1000.0;
  double deadShare = 0.5;
  std::size_t entriesAStep = 256;
};
struct Plan {
  Token token = 0;
  Offset upTo = 0, forget = 0;
  bool operator==(const Plan&) const = default;
};

class Log {
 public:
  // Reads the disk. `self` and `store`: a head of another keeper is refused (Failed: a swapped disk). Holes are kept as such.
  Log(Id self, LogTerms terms, Disk& disk, std::uint64_t newStore);
  ~Log();
  const Head& head() const;
  Offset last() const;          // 0: none
  Token lastToken() const;
  std::optional<Token> tokenAt(Offset offset) const;  // nothing: compacted, a hole, or beyond
  const Entry* at(Offset offset) const;
  const Entry* latest(Stream stream, const std::string& key) const;  // at or below committed; tombstones told as such
  // Entries above `after` and at or below `upTo`, in order, at most `bytes` of them but at least one.
  std::vector<Entry> read(Offset after, Offset upTo, std::size_t bytes) const;
  void append(Offset from, const std::vector<Entry>& entries);  // from: as Disk::append; only above committed
  void promise(Token token);
  void commit(Offset upTo);
  void witness(Id other, Offset upTo);
  std::vector<Offset> holes(std::size_t most) const;
  bool heal(const Entry& entry);  // false: not a hole
  // What is worth cleaning now, if anything; `passed`: the least position of living subscribers.
  std::optional<Plan> worth(Ms now, Offset passed, Token token) const;
  void take(const Plan& plan);  // of a token at least as high as any before; else passed over
  bool step();                  // one step of what was taken; false: nothing is left to do
  std::size_t bytes() const, deadBytes() const, size() const;
  // Of what is live at or below `upTo` (latest of each key, tombstones up to `forgotten` left out): the same at keepers that hold the same.
  std::uint64_t digest(Offset upTo) const;

 private:
  struct Inner;
  std::unique_ptr<Inner> inner_;
};

}  // namespace dunlinwick::record
