// Late joiners and followers of the record: a subscriber reads the compacted record in offset order
// from any keeper, first what is at or below the offset S that was committed when it began (its
// snapshot), then the tail; it holds a lease so that tombstones wait for it. Pure: time and
// messages in, messages and facts out.
//
// What it promises: no gap (at each position the subscriber has, of each key, the latest at or
// below it, or a later one is on its way), no double and no older value after a newer one, whatever
// is lost, late, doubled, compacted, resumed at another keeper or written meanwhile. Each piece
// carries a digest and is asked again where it does not fit. One that was away past its lease and
// is behind `forgotten` (and began before that was forgotten: Want::clean) is told to start over
// (its state is void: a recalled object would come back to life), never silently resumed. A slow
// one has one piece under way, so that nothing piles up for it; what it holds back is tombstones,
// for as long as its lease runs. A keeper's start forgets its leases: the worst that comes of it is
// a start-over. Bounds: `mostSubscribers` leases at the writer's front; one piece (pieceBytes)
// under way a subscriber.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <variant>

#include "record/log.hpp"

namespace dunlinwick::record {

struct SubscriberTerms {
  Ms lease = 30000;
  Ms ask_every = 200;
  Ms again = 400;
  std::size_t piece_bytes = 32 << 10;
  std::size_t most_subscribers = 1024;
  Ms stale_news =
      1500;  // a keeper that has not heard a writer for so long is left for the next one
  Breaks breaks = {};
};

struct Want {  // subscriber to keeper
  std::uint64_t subscriber = 0;
  std::uint64_t life = 0;
  std::uint64_t number = 0;
  Offset after = 0;           // has all up to and with it; 0: begins
  std::uint32_t streams = 7;  // a bit a stream
  // The least `forgotten` of the keepers it read from since it began: no value that those
  // tombstones hid is in it.
  Offset clean = 0;
};
struct Piece {
  std::uint64_t number = 0;  // of the question
  Offset after = 0;
  Offset up_to = 0;
  Offset committed = 0;
  Offset snapshot = 0;   // snapshot: S, while a join reads up to it
  Offset forgotten = 0;  // of the keeper, as it answers
  std::uint64_t age =
      0;  // ms since the keeper last heard a writer: what it does not know may be so old
  bool start_over = false;
  std::vector<Entry> entries;
  std::uint64_t digest = 0;  // over all of the above
};
std::uint64_t Digest(const Piece& p);  // what Piece::digest must be
struct Lease {  // keeper to the writer's front, gathered: positions of its living subscribers
  std::vector<std::pair<std::uint64_t, Offset>> positions;
};
using Saying = std::variant<Want, Piece, Lease>;
std::string Encode(const Saying& s);
// Nothing for anything that is not one of them, or is out of bounds. A piece's digest is looked at
// by the subscriber.
std::optional<Saying> DecodeSaying(std::span<const char> bytes);

// A keeper's side: answers from its own log; what it holds of leases is told to the writer by
// Lease. A subscriber's entry is emptied once its lease has run; an entry of a life is taken over
// by a later life only.
class Server {
 public:
  Server(Log& log, SubscriberTerms terms, Ms now);
  // Nothing: full of subscribers, a late copy of an earlier question, or this keeper is itself
  // being brought up (Log::whole()). `age`: ms since this keeper last heard a writer.
  std::optional<Piece> Wants(Ms now, const Want& want, std::uint64_t age = 0);
  Lease Living(Ms now) const;
  Offset Passed(Ms now)
      const;  // least position of the living; the log's committed offset where there is none

 private:
  struct Inner;
  std::shared_ptr<Inner> inner_;
};

// The subscriber's side.
class Subscriber {
 public:
  struct Out {
    std::function<void(Id keeper, const Want&)> ask;
    std::function<void(const Entry&)> entry;  // in offset order, each once
    std::function<void()> start_over;         // all that was told before is void
  };
  // `at`: resumes from what was kept (0: from nothing).
  Subscriber(std::uint64_t self, std::uint64_t life, std::vector<Id> keepers, SubscriberTerms terms,
             Offset at, std::uint64_t seed, Ms now);
  void Tick(Ms now, const Out& out);
  void Receive(Ms now, Id from, const Piece& piece, const Out& out);
  Offset Position() const;
  Offset Committed() const;  // the highest told by a keeper
  bool CaughtUp() const;     // position >= the highest told as committed, and past the snapshot
  // As of when it was last shown caught up with a keeper not behind the highest told: when the
  // question was asked, less the age of that keeper's own news of the writer; < 0: never. So a
  // front whose keeper is cut off as well knows that it may have missed something.
  Ms GoodAt() const;
  std::uint64_t bytes() const;  // of keys and values told, and 40 for each entry
  std::uint64_t Refused()
      const;  // pieces that did not fit: digest, order, or another place than asked for

 private:
  struct Inner;
  std::shared_ptr<Inner> inner_;
};

}  // namespace dunlinwick::record
