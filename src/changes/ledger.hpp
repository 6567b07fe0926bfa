// The life of a front's configurations: proposed, staged, applied, confirmed or undone. Pure: time
// and events in, actions out, in order; an action that records must last before the next one is
// carried out.
//
// What it promises, whatever is lost, late or killed:
// - One generation serves at any time, whole. A pull keeps the one it began with (the exchange's
// part; `release`
//   tells when its last pull has ended).
// - A generation that nobody confirms is undone when its lease ends, by this front's own clock,
// with no word from
//   anywhere. A front that starts serves the last confirmed one.
// - A proposal names the generation it is based on. Another that was confirmed meanwhile refuses
// it.
// - Each coordinator's word carries a fence; a word with a lower fence than was heard before is
// refused, so that a
//   coordinator that was taken for dead can't speak over its successor.
//
// After Junos' `commit confirmed` (a change that nobody confirms undoes itself) and Knot DNS'
// transactions (begin, diff, commit, abort); fences as in Gray and Cheriton's leases and their
// later use.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dunlinwick::changes {

using Ms = double;
using Generation = std::uint64_t;  // counted from 1 by each front; 0: the one of the start, without
                                   // an operators' file

enum class State {
  kStaged,
  kApplied,
  kKept,
  kReverted,
  kDropped
};
const char* ToString(State state);

// Why something was refused or undone.
enum class Why {
  kNone,
  kNotNext,     // it is based on a generation that is not the one confirmed
  kBusy,        // another is applied and not yet confirmed or undone
  kTooMany,     // as many are alive as may be
  kUnknown,     // no such generation, or not in that state
  kFenced,      // a later coordinator has spoken
  kBadLease,    // a time to confirm in that is not above 0, or too long
  kAsked,       // by an operator
  kLeaseEnded,  // nobody confirmed it in time
  kAlarm        // the watch
};
const char* ToString(Why why);

// ---- what happened
struct Propose {
  std::uint64_t fence = 0;
  std::uint64_t ticket = 0;  // the answer carries the ticket
  Generation base = 0;       // the one that is confirmed, as the proposer knows it
  std::string content;       // checked already
  // From when it is heard, by this front's clock: what is not confirmed by then is dropped or
  // undone, whenever it was applied. It bounds what an Apply that comes late can do.
  Ms within = 0;
};
struct Apply {
  std::uint64_t fence = 0;
  std::uint64_t ticket = 0;
  Generation generation = 0;
  Ms confirm_within = 0;
};
struct Confirm {
  std::uint64_t fence = 0;
  std::uint64_t ticket = 0;
  Generation generation = 0;
};
struct Undo {  // of what is applied or staged
  std::uint64_t fence = 0;
  std::uint64_t ticket = 0;
  Generation generation = 0;
};
struct Alarm {  // the watch says that the applied one does harm
  Generation generation = 0;
};
struct Tick {};
struct Released {  // the last pull that began with it has ended
  Generation generation = 0;
};
using Happening = std::variant<Propose, Apply, Confirm, Undo, Alarm, Tick, Released>;

// ---- what is to be done
struct Record {  // what must outlive the process: the whole of it, in place of what was there
  Record() = default;
  Record(Generation k, Generation l, std::uint64_t f, std::string c)
      : kept(k), last(l), fence(f), content(std::move(c)) {}
  Generation kept = 0;
  Generation last = 0;
  std::uint64_t fence = 0;
  std::string content;  // of the kept one
};
struct Serve {  // from the next turn on
  Generation generation = 0;
};
struct Forget {  // its content is not needed any more
  Generation generation = 0;
};
struct Answer {
  std::uint64_t ticket = 0;
  Generation generation = 0;
  Why refused = Why::kNone;
};
struct Reverted {  // to be told, and logged
  Generation generation = 0;
  Why why = Why::kNone;
};
struct WakeAt {
  Ms at = 0;
};
using Deed = std::variant<Record, Serve, Forget, Answer, Reverted, WakeAt>;

struct Bounds {
  int most_alive = 4;                 // generations whose content is held, the kept one included
  Ms longest_lease = 10 * 60 * 1000;  // an operator's coffee; beyond it a change is a standing one
  Ms shortest_lease = 1000;           // below it no confirmation could come back
};

class Ledger {
 public:
  // `last`: what was recorded last, or nothing.
  explicit Ledger(Bounds bounds, std::optional<Record> last = std::nullopt);
  std::vector<Deed> Handle(Ms now, const Happening& what);

  Generation Kept() const {
    return kept_;
  }
  Generation Serving() const {
    return serving_;
  }
  Ms LeaseEnds() const {
    return lease_ends_;
  }  // of what serves unconfirmed; 0: none does
  std::uint64_t Fence() const {
    return fence_;
  }
  const std::string* ContentOf(Generation generation) const;
  struct Entry {
    Generation generation = 0;
    State state = State::kStaged;
    Why why = Why::kNone;
  };
  std::string Fingerprint() const;  // all that decides what it does next, for those who explore it
  // The last ones, as they went; bounded.
  const std::vector<Entry>& history() const {
    return history_;
  }

 private:
  struct Alive {
    Generation generation = 0;
    std::string content;
    bool requests = false;  // some that began with it may be open
    Ms ends_at = 0;         // of what is not confirmed
  };
  Why Heard(std::uint64_t fence);
  Alive* alive(Generation generation);
  void note(Generation generation, State state, Why why = Why::kNone);
  void UndoChange(Why why, std::vector<Deed>& out);
  void Drop(Generation generation, std::vector<Deed>& out);
  void Keep(std::vector<Deed>& out) const;

  Bounds bounds_;
  Generation kept_ = 0;
  Generation serving_ = 0;
  Generation last_ = 0;
  std::uint64_t fence_ = 0;
  Ms lease_ends_ = 0;
  std::vector<Alive> alive_;  // at most `mostAlive`
  std::vector<Entry> history_;
};

}  // namespace dunlinwick::changes
