// The record at several keepers, by its one owner: a keeper's side and the writer's. Pure: time and
// messages in, messages out. No consensus of its own: who may write is decided by the owner's group
// (libraft), its token is the fence; here is primary and backups behind that fence, with the model
// check in tests/keepers_test.cpp beside it.
//
// What it promises (and the checker in src/rig/record_judge.* looks at):
// - An entry is acknowledged once a majority of the configured keepers has it on disk, and all
// before it.
// - Acknowledged entries are never lost, changed or put in another order, while a majority of
// keepers keeps its disk; with
//   `doubtRestarts` also where the disks of a minority come back older than they were, witnessed or
//   not (below).
// - A new writer first has a majority promise its token (lower ones land nowhere from then on),
// takes the best tail among
//   them (highest token of the last entry, then highest offset), and brings a majority up to it. Of
//   what is not known committed the last entry alone goes out anew under its own token: it stands
//   for all before it. (All anew, one after the other, would lose acknowledged entries: a keeper
//   that had taken the first of them only would have the highest token and the shorter tail.) It
//   takes writes only once that is at a majority.
// - A keeper counts only if its disk is not found to be old: others witness how far it was known to
// hold of what is committed
//   (Head::seen, carried on heartbeats). One behind that, one empty while others are not, one with
//   holes or half brought up is `spoilt`: it counts again once the writer has brought it up. All
//   empty: founded anew, which takes every keeper and is told aloud. The mark is on its own disk
//   (Head::seen of Id 0: odd once proved), or one half brought up would soon pass for a whole one.
//   With every keeper's answer in, nobody is left out but for holes: a majority of them is whole.
// - One that lost its disk has lost its promise too: it counts for a writer only after a further
// round of a majority's promises.
// - What no witness has seen yet (the last heartbeat's worth) an old disk can still undo unseen,
// its promise too. `doubtRestarts`
//   guards against it at a price: a keeper started anew is doubted, and a majority among whom u are
//   doubted must be larger by min(u, the minority): of three, all three, until a writer has proved
//   the one that restarted. Off by default: with one keeper gone and one restarted, the record
//   would stand still.
// - A word of a keeper's earlier life is not taken: appends and answers carry the life that
// answered the writer's Seek.
// - A compaction plan goes out under the token, so a late owner's plan lands nowhere.
// - A keeper behind what was forgotten is brought up anew, by pieces of another's compacted log; it
// forgets its own first,
//   so only once what is compacted is held by a majority without it, or it surely holds less.
// Bounds: `mostUnderWay` batches and `mostWindow` bytes in flight at the writer; `pieceBytes` a
// message, but one entry at least. Sources: Raft (log matching; entries of before count only with
// one of the own term), Viewstamped Replication Revisited (views, recovery by others' word),
// Alagappan et al., Protocol-Aware Recovery (a broken disk takes no part in the choice).
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <variant>

#include "record/log.hpp"

namespace dunlinwick::record {

struct KeeperTerms {
  Ms again = 200;
  Ms heartbeat = 500;
  std::size_t piece_bytes = 48 << 10;
  std::size_t most_under_way = 256;
  std::size_t most_window = 1 << 20;
  bool doubt_restarts = false;
  // Broken on purpose, for the checker to catch; all false in service.
  bool break_reuse = false;     // an offset is taken that was given already
  bool break_own_disk = false;  // its own tail is believed, whatever a majority has
  bool break_fence = false;     // plans are not fenced by the token
  bool break_majority = false;  // acknowledged as one keeper has it
  bool break_longest = false;   // the tail is chosen by length
  bool break_rewrite = false;   // all that is not known committed is written anew
};

// ---- messages (proto/record.proto on the wire, by encode()/decode())
struct Seek {  // writer to keeper: promise this token, tell your tail
  Token token = 0;
  std::uint64_t round = 0;
};
struct Tail {
  Token token = 0;  // promised; above the asker's: it is fenced off
  std::uint64_t store = 0;
  std::uint64_t starts = 0;
  std::uint64_t round = 0;
  std::uint64_t life = 0;  // life: drawn anew at each start; of no order
  bool doubted = false;    // not proved by a writer since its start
  bool unproved = false;   // by its disk: new, or found old or holed, and not brought up by a
                           // serving writer since
  Offset last = 0;
  Offset committed = 0;
  Offset first = 1;
  Offset cleaned = 0;
  Offset forgotten = 0;
  Token last_token = 0;
  std::vector<std::pair<Id, Offset>> seen;
  bool corrupted = false;  // by its own word: a hole, a swapped disk
  std::vector<Offset> holes;
};
struct Append {
  Token token = 0;
  std::uint64_t life = 0;  // of the keeper that is meant
  Offset after = 0;        // the entries follow this one ...
  Token after_token =
      0;  // ... which has this token at the writer (0: not known, where it is compacted)
  Offset committed = 0;
  bool anew = false;  // a piece of a compacted log; after 0: all that is here goes first
  std::uint64_t session =
      0;                   // of anew: each is begun once, so that a late double throws nothing away
  bool proves = false;     // doubted no more
  bool corrupted = false;  // found to be old: it is to mark that before it takes anything
  Offset cleaned = 0;
  Offset forgotten = 0;  // gaps up to the first are compacted; the second is known of the record
  Offset passed = 0;     // the least position of living subscribers
  std::vector<Entry> entries;
  std::vector<std::pair<Id, Offset>> held;  // by keeper: what it is known to hold (to be witnessed)
  Plan plan;                                // upTo 0: none
};
struct Kept {
  Token token = 0;  // promised
  std::uint64_t life = 0;
  Offset up_to = 0;  // what it holds in common with the writer, on disk
  bool refused = false;
  bool full = false;
  bool unsought = false;  // of a life that this writer has not heard of
  bool partial = false;   // being brought up anew
  bool stranded = false;  // a hole that others may have forgotten: it is to be brought up anew
  Offset last = 0;
  Offset hint = 0;  // its tail; of refused: from where on to try
  std::vector<Offset> holes;
  Plan plan;  // what it finds worth cleaning
};
struct Fetch {  // of a keeper, by the writer on taking over or by anybody to heal
  Offset after = 0;
  Offset up_to = 0;
  std::vector<Offset> only;  // these alone, where not empty
};
struct Fetched {
  Offset after = 0;
  Offset up_to = 0;       // whole between: what is not there was compacted
  Token after_token = 0;  // 0: not known
  Offset committed = 0;
  Offset cleaned = 0;
  Offset forgotten = 0;
  std::vector<Entry> entries;
  std::vector<Offset> only;  // of these it tells, where it was asked for some alone
};
using Message = std::variant<Seek, Tail, Append, Kept, Fetch, Fetched>;
std::string Encode(const Message& m);
std::optional<Message> Decode(
    std::span<const char> bytes);  // nothing for anything that is not one whole

// Only queues: it must not call back into who sends.
using Send = std::function<void(Id to, const Message&)>;

class Keeper {
 public:
  // `life`: another at each start, of any of its disks (0: the disk's count of starts, which an old
  // copy repeats).
  Keeper(Id self, std::vector<Id> keepers, KeeperTerms terms, Log& log, std::uint64_t life = 0);
  void Receive(Ms now, Id from, const Message& m, const Send& send);
  void Tick(Ms now, const Send& send,
            Ms unix_now = -1);  // steps of a compaction, healing of holes from the others
  bool has_failed() const;      // its disk failed: it takes no part until the next start
  Log& log();
  bool Doubted() const;
  void SetDoubted(
      bool doubted);  // for an exploration that takes states apart and puts them together

 private:
  struct Inner;
  std::shared_ptr<Inner> inner_;
};

enum class Phase : std::uint8_t {
  kSeeking,
  kFetching,
  kRewriting,
  kServing,
  kFenced
};
const char* ToString(Phase phase);

// The owner's side, made anew with each token it is granted; its front may be a keeper itself
// (messages to itself).
class Writer {
 public:
  enum class Outcome : std::uint8_t {
    kAcknowledged,
    kLost,
    kUnsure
  };  // lost: surely not in the record; unsure: may be
  using Done = std::function<void(Outcome, Offset first)>;
  struct Put {
    Stream stream = Stream::kRecalls;
    std::string key;
    bool tombstone = false;
    std::string value;
  };
  Writer(Id self, std::vector<Id> keepers, KeeperTerms terms, LogTerms log_terms, Token token,
         Ms now);
  void Tick(Ms now, const Send& send);
  void Receive(Ms now, Id from, const Message& m, const Send& send);
  // All of a batch get offsets in a row and are acknowledged together. False: not serving, or too
  // much under way. `now` of put() is the owner's Unix clock where `at` is given none.
  bool Write(Ms now, const std::vector<Put>& batch, Done done, const Send& send, Ms at = -1);
  // Where not called, nothing is forgotten.
  void Passed(
      Ms now,
      Offset least);  // the least position of living subscribers (src/record/subscribers.hpp)
  void Stop();        // ownership is over: what is under way is told as unsure
  Phase phase() const;
  Token token() const;
  Offset Committed() const;
  bool Founded() const;  // all keepers were empty: to be told aloud
  std::map<Id, Offset> Held() const;
  Writer copy() const;        // for an exploration: another one in the same state ...
  std::string state() const;  // ... told apart by it; times are left out

 private:
  struct Inner;
  std::shared_ptr<Inner> inner_;
};

}  // namespace dunlinwick::record
