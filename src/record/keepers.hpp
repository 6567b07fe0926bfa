// The record at several keepers, by its one owner: a keeper's side and the writer's. Pure: time and messages in, messages
// out. No consensus of its own: who may write is decided by the owner's group (libraft), its token is the fence; here is
// primary and backups behind that fence, with the model check in tests/keepers_test.cpp beside it.
//
// What it promises (and the checker in src/rig/record_judge.* looks at):
// - An entry is acknowledged once a majority of the configured keepers has it on disk under its writer's token.
// - Acknowledged entries are never lost, changed or put in another order, while a majority of keepers keeps its disk.
// - A new writer first has a majority promise its token (lower ones land nowhere from then on), takes the best tail among
//   them (highest token of the last entry, then highest offset), writes what is not known committed anew under its own
//   token, and takes writes only once that is at a majority.
// - A keeper's word counts in that majority only if its disk is not found to be old: others witness how far it was known to hold
//   (Head::seen, carried on appends), and one that is behind that, or whose store is another's, is `spoilt`: it counts again
//   once the writer has brought it up to what is committed. A founding with all stores empty is told aloud.
// - A compaction plan goes out under the token, so a late owner's plan lands nowhere.
// Bounds: `mostUnderWay` appends in flight, bytes a message; a keeper far behind is brought up in pieces of `pieceBytes`.
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
  Ms again = 200, heartbeat = 500;
  std::size_t pieceBytes = 48 << 10, mostUnderWay = 256;
};

// ---- messages (proto/record.proto on the wire, by encode()/decode())
struct Seek {  // writer to keeper: promise this token, tell your tail
  Token token = 0;
};
struct Tail {
  Token token = 0;     // promised; above the asker's: it is fenced off
  std::uint64_t store = 0, starts = 0;
  Offset last = 0, committed = 0, first = 1, cleaned = 0, forgotten = 0;
  Token lastToken = 0;
  std::vector<std::pair<Id, Offset>> seen;
  bool spoilt = false;  // by its own word: a hole, a swapped disk
  std::vector<Offset> holes;
};
struct Append {
  Token token = 0;
  Offset after = 0;      // the entries follow this one ...
  Token afterToken = 0;  // ... which has this token at the writer (0: not known, where it is compacted)
  Offset committed = 0;
  bool anew = false;     // a keeper that is spoilt or too far behind: drop all above `after` that differs
  std::vector<Entry> entries;
  std::vector<std::pair<Id, Offset>> held;  // by keeper: what it is known to hold (to be witnessed)
  Plan plan;             // upTo 0: none
};
struct Kept {
  Token token = 0;
  Offset upTo = 0;    // what it holds in common with the writer, on disk
  bool refused = false, full = false;
  Offset last = 0;    // of refused: its tail, for the writer to go back
  std::vector<Offset> holes;
};
struct Fetch {  // of a keeper, by the writer on taking over or by anybody to heal
  Offset after = 0, upTo = 0;
  std::vector<Offset> only;  // these alone, where not empty
};
struct Fetched {
  Offset after = 0, upTo = 0;  // whole between: what is not there was compacted
  std::vector<Entry> entries;
};
using Message = std::variant<Seek, Tail, Append, Kept, Fetch, Fetched>;
std::string encode(const Message& m);
std::optional<Message> decode(std::span<const char> bytes);  // nothing for anything that is not one whole

using Send = std::function<void(Id to, const Message&)>;

class Keeper {
 public:
  Keeper(Id self, std::vector<Id> keepers, KeeperTerms terms, Log& log);
  void receive(Ms now, Id from, const Message& m, const Send& send);
  void tick(Ms now, const Send& send);  // steps of a compaction, healing of holes from the others
  bool failed() const;                  // its disk failed: it takes no part until the next start
  Log& log();

 private:
  struct Inner;
  std::shared_ptr<Inner> inner_;
};

enum class Phase : std::uint8_t { seeking, fetching, rewriting, serving, fenced };
const char* word(Phase phase);

// The owner's side, made anew with each token it is granted; its front may be a keeper itself (messages to itself).
class Writer {
 public:
  enum class Outcome : std::uint8_t { acknowledged, lost, unsure };  // lost: surely not in the record; unsure: may be
  using Done = std::function<void(Outcome, Offset first)>;
  struct Put {
    Stream stream = Stream::recalls;
    std::string key;
    bool tombstone = false;
    std::string value;
  };
  Writer(Id self, std::vector<Id> keepers, KeeperTerms terms, LogTerms logTerms, Token token, Ms now);
  void tick(Ms now, const Send& send);
  void receive(Ms now, Id from, const Message& m, const Send& send);
  // All of a batch get offsets in a row and are acknowledged together. False: not serving, or too much under way.
  bool put(Ms now, const std::vector<Put>& batch, Done done, const Send& send);
  void passed(Ms now, Offset least);  // the least position of living subscribers (src/record/subscribers.hpp)
  void stop();                        // ownership is over: what is under way is told as unsure
  Phase phase() const;
  Token token() const;
  Offset committed() const;
  std::map<Id, Offset> held() const;

 private:
  struct Inner;
  std::shared_ptr<Inner> inner_;
};

}  // namespace dunlinwick::record
