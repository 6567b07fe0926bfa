// Back from a power loss: what a front trusts from before, what it asks others, and in which order service returns.
// Pure: events and time in, actions and facts out. Facts go to the module's sheet (LetIn, RecallsKnown in logic.hpp); it
// decides on each pull.
//
// Phases, in order; each with what lets the front on, how long at most, and what happens then (table in recovery.cpp,
// docs/operators/power-loss.md says the same in words, a test holds them together):
//   store     own store checked (digests, whose it is, holes)             -> neighbours
//   neighbours heard: who kept running, who came back; floors gathered    -> group
//   group     elected, or founded anew where all stores are gone          -> record
//   record    caught up to what a majority tells as committed             -> rules
//   rules     active rules are the approved ones                          -> letting in
//   lettingIn pulls let in by zone and class, by steps that cold parents and caches bear over all fronts -> whole
//   whole     all is let in
// A front that starts into a fleet that kept running passes through quickly; a fleet that lost all power starts slowly, since caches
// are cold and nobody knows the rest. A front never goes back but by a loss of its own or of the majority: then from `neighbours`,
// while what is certain is served on.
//
// What is trusted (the lines of `trusted()`, each with its reason and test): tokens, offsets, incarnations as floors; the last kept
// rules if their digest fits; the record's prefix; nothing of health, warmth, lists, leases, shares (a share is its floor; each
// lease from before is waited out). Pulls under way at the loss are in doubt: exclusive ones never run again, ticketed ones by
// their ticket's rule alone: the front that answered is gone, so nothing is resumed.
//
// Sources: FoundationDB's recovery (an epoch ends before the next begins; a majority, not one disk, decides what survives);
// Chubby's and Raft's restart rules. Bounds: one row a front of the fleet.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace dunlinwick::recovery {

using Ms = double;
using Id = std::uint32_t;

enum class Phase : std::uint8_t { store, neighbours, group, record, rules, lettingIn, whole };
constexpr std::size_t phases = 7;
const char* word(Phase phase);

struct Trust {  // one line of the table
  const char* what;
  const char* how;   // "floor", "if its digest fits", "not at all", ...
  const char* reason;
};
std::span<const Trust> trusted();

// What a front kept: floors, never the present.
struct Floors {
  std::uint64_t token = 0, offset = 0, incarnation = 0;
  std::uint64_t rulesDigest = 0, rulesVersion = 0;
};
struct StoreSeen {
  enum class State : std::uint8_t { none, empty, good, holed, foreign, older } state = State::none;  // none: set up without one
  Floors floors;
};

// What fronts tell each other while any of them is not whole (Channel::recovery).
struct Hello {
  std::uint64_t life = 0;       // of this process: its start's clock
  Ms up = 0;                    // for how long
  Phase phase = Phase::store;
  StoreSeen::State store = StoreSeen::State::none;
  Floors floors;                // the highest it has on disk, or heard of
  std::uint64_t committed = 0;  // of the record, as it knows
  bool groupLeads = false, groupMember = false;
  int zone = 0;
  double carries = 0;           // the share of its usual pulls that it lets in
};
std::string encode(const Hello& h);
std::optional<Hello> decode(std::span<const char> bytes);

struct Terms {
  int fronts = 1, zones = 1, zone = 0;
  Ms helloEvery = 250, forget = 3000;  // a neighbour not heard for so long is not counted
  Ms lease = 3000, margin = 200;
  double drift = 0.01;                 // leases from before are waited out: lease * (1 + drift) + margin
  // A loss is of the whole where a majority of the fleet has been up for less than `young`.
  Ms young = 60000;
  Ms neighboursAtMost = 5000, groupAtMost = 30000, recordAtMost = 30000, rulesAtMost = 10000;
  // Letting in: from `first` of the usual by steps of `grow`, each `stepEvery`, while nothing behind is crowded; back by half where
  // it is. Derived at start from the sheet's cold terms and capacities.
  double first = 0.1, grow = 1.3, least = 0.02;
  Ms stepEvery = 500;
  std::vector<double> payoff;  // by offering: classes are let in in order of payoff for their work
  std::vector<bool> certain;   // by offering: may be served whatever the record says (never kept, or fresh for less than a recall's term)
};

// ---- what happened
struct StoreChecked { StoreSeen seen; };
struct Heard { Id from = 0; Hello hello; };
struct GroupNow { bool member = false, leaderKnown = false, founded = false, lost = false; std::uint64_t token = 0; };
struct RecordNow { std::uint64_t position = 0, committed = 0; bool caughtUp = false; Ms goodAt = -1; bool on = false; };
struct RulesNow { bool on = false, inStep = false; std::uint64_t version = 0, digest = 0; };
struct Behind { bool crowded = false; };  // what lies behind (parents, head office, cold caches) shows that it is full
struct Tick {};
using Event = std::variant<StoreChecked, Heard, GroupNow, RecordNow, RulesNow, Behind, Tick>;

// ---- what is to be done
struct Say { Id to = 0; Hello hello; };
struct Entered { Phase phase = Phase::store; std::string why; bool byTime = false; };  // for the log; byTime: its time was over
struct Admit {                      // fact for the module
  std::vector<double> byOffering;   // share of pulls let in; empty: all
  bool certainOnly = false;         // what can't be sure to be current is declined
};
struct Loss { bool whole = false; int back = 0, kept = 0; std::string lost; };  // told once it is known, aloud
struct Spoilt { Id whose = 0; std::string why; };                              // a disk found to be old or another's
using Action = std::variant<Say, Entered, Admit, Loss, Spoilt>;

class Recovery {
 public:
  Recovery(Id self, std::vector<Id> fronts, Terms terms, std::uint64_t life, Ms now);
  ~Recovery();
  std::vector<Action> handle(Ms now, const Event& event);
  Phase phase() const;
  Ms since() const;           // of the phase
  Floors floors() const;      // the highest known by anybody: what this front's own word must be above
  bool mayOwn(Ms now) const;  // every lease from before has surely run out, and the phase is past `group`
  double carries() const;
  Ms wakeAt() const;

 private:
  struct Inner;
  std::shared_ptr<Inner> inner_;
};

}  // namespace dunlinwick::recovery
