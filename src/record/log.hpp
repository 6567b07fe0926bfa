// A keeper's record in memory over its disk: append, read by offset, the latest of each key,
// compaction in steps. Pure but for the disk it is given.
//
// Compaction, as decision logic:
// - Plan (made by the owner under its token, sent to all keepers, so that theirs stay alike): clean
// up to `upTo`, let go
//   of tombstones up to `forget`. Of each key the latest entry at or below `upTo` stays; nothing
//   above it is touched. Entries younger than `lag` stay whole (`upTo` is below them). `forget` <=
//   upTo, and below every living subscriber's position, and older than `tombstoneTerm`. A plan only
//   ever moves forward; an older one is passed over.
// - Worth doing once dead bytes exceed `deadShare` of what would be cleaned.
// - Carried out in steps within a budget (entries a step); each step is one disk call; stoppable
// and resumable at each: the
//   head keeps how far (`cleaned`, `forgotten`), and a plan begun anew comes to the same end.
//   Offsets never move. A step walks entries in offset order and drops the one before it of the
//   same key: so what is left after a step is what a plan up to there would have left, and
//   tombstones go last, once nothing is below them that they hide.
// Bounds: `mostBytes` in memory, then append answers full. No entry is dropped but by a plan or by
// truncate().
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <optional>

#include "record/disk.hpp"

namespace dunlinwick::record {

// Broken on purpose in tests, to show that the checks see; all false in service.
struct Breaks {
  bool tombstone_early = false;     // let go whatever its term and whoever has not passed it
  bool gap_after_snapshot = false;  // the tail begins at what is committed as the snapshot ends
  bool resumed_forgotten = false;   // one behind `forgotten` is not told to start over
  bool digest_unchecked = false;    // of a piece
};
struct LogTerms {
  std::size_t most_bytes = 8 << 20;
  Ms lag = 10 * 60 * 1000;
  Ms tombstone_term = 24 * 60 * 60 * 1000.0;
  double dead_share = 0.5;
  std::size_t entries_a_step = 256;
  Breaks breaks = {};
};
struct Plan {
  Token token = 0;
  Offset up_to = 0;
  Offset forget = 0;
  bool operator==(const Plan&) const = default;
};
// How far the log was compacted that entries came from: gaps up to `cleaned` are no holes.
struct Source {
  Offset cleaned = 0;
  Offset forgotten = 0;
};

class Log {
 public:
  // Reads the disk, counts its start. `self`, `newStore` (of a new disk): a head of another keeper
  // is refused (Failed: a swapped disk). Holes are kept as such: what does not fit its digest, and
  // what is missing above `cleaned`. At or below it what is missing looks as if compacted; told by
  // the count alone (Head::entries), it is one hole at the lowest gap, neither healed nor closed.
  Log(Id self, LogTerms terms, Disk& disk, std::uint64_t new_store);
  ~Log();
  const Head& head() const;
  bool Lost() const;  // an entry at or below `cleaned` is gone, and which one nobody can tell: only
                      // anew() mends it
  bool has_failed() const;  // a call of the disk failed: each further writing call throws Failed
  Offset Last() const;      // 0: none; never goes back by compaction
  Token LastToken() const;  // 0: none, or a hole
  std::optional<Token> TokenAt(Offset offset) const;  // nothing: compacted, a hole, or beyond
  const Entry* at(Offset offset) const;
  const Entry* Latest(Stream stream, const std::string& key)
      const;  // at or below committed; tombstones told as such
  // Entries above `after` and at or below `upTo`, in order, at most `bytes` of them (keys, values,
  // 40 each) but at least one; never past a hole. `reached`: all up to it is told (upTo where
  // nothing cut it short; `after` where a hole is next).
  std::vector<Entry> Read(Offset after, Offset up_to, std::size_t bytes,
                          Offset* reached = nullptr) const;
  // Whether what is served is a whole state: nothing above what is committed was compacted (a
  // keeper being brought up is not).
  bool Whole() const;
  // The calls below write to the disk before memory; Full: nothing has changed. Failed: see
  // failed(). from: as Disk::append; only above committed and cleaned. False, and nothing is
  // changed: not in a row with what is here (gaps only up to `source.cleaned`), against the bounds
  // of Entry, or below what was forgotten here or at the source, where the two have not forgotten
  // the same (a value could be here whose tombstone is gone there; then only anew() brings it up).
  bool append(Offset from, const std::vector<Entry>& entries, Source source = {});
  // Begins anew from another's log: all here goes, committed included; the entries are its first
  // ones, append() with the same source brings the rest.
  bool Anew(const std::vector<Entry>& entries, Source source);
  void Promise(Token token);
  void Commit(Offset up_to);             // at most to last(); never back
  void witness(Id other, Offset up_to);  // on disk with the next writing call, or keep()
  void Keep();                           // writes the head, if it has changed
  std::vector<Offset> Holes(std::size_t most) const;
  bool Heal(const Entry& entry);  // false: not a hole
  // Another keeper that is whole() has nothing there: it was compacted. Only the first hole, only
  // what is committed here, and only above what the other forgot: a tombstone may have been there,
  // and what it hid may still be here (then only anew() mends it). False else.
  bool Close(Offset hole, Source source);
  // What is worth cleaning now, if anything; `passed`: the least position of living subscribers. An
  // entry is young if its time is within `lag` of `now`, on either side: one of a clock gone wrong
  // does not stop compaction for ever.
  std::optional<Plan> Worth(Ms now, Offset passed, Token token) const;
  void Take(const Plan& plan);  // of a token at least as high as any before; else passed over. In
                                // memory only
  // One step of what was taken; false: nothing is left to do now. Not past what is committed here,
  // not the last entry, and not while there is a hole in what would be cleaned (what is healed must
  // not come back to life).
  bool Step();
  std::size_t bytes() const, DeadBytes() const,
      size() const;  // in memory; dead: superseded by what is here
  // Of what is live at or below `upTo` (latest of each key, tombstones up to `forgotten` left out,
  // or up to own forgotten, if that is higher): the same at keepers that hold the same, whatever
  // they compacted, for upTo >= cleaned of both.
  std::uint64_t Digest(Offset up_to, Offset forgotten = 0) const;

 private:
  struct Inner;
  std::unique_ptr<Inner> inner_;
};

}  // namespace dunlinwick::record
