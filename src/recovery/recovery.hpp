// Back from a power loss: what a front trusts from before, what it asks others, and in which order
// service returns. Pure: events and time in, actions and facts out. Facts go to the module's sheet
// (LetIn, RecallsKnown in logic.hpp); it decides on each pull.
//
// Phases, in order; each with what lets the front on, how long at most, and what happens then
// (table in recovery.cpp, docs/operators/power-loss.md says the same in words, a test holds them
// together):
//   store     own store checked (digests, whose it is, holes)             -> neighbours
//   neighbours heard: who kept running, who came back; floors gathered    -> group
//   group     elected, or founded anew where all stores are gone          -> record
//   record    caught up to what a majority tells as committed, and no lower than the offset a
//   majority witnessed -> rules rules     active rules are the approved ones -> letting in
//   lettingIn pulls let in by zone and class, by steps that cold parents and caches bear over all
//   fronts;
//             record caught up                                                  -> whole
//   whole     all is let in
// A front that starts into a fleet that kept running passes through quickly; a fleet that lost all
// power starts slowly, since caches are cold and nobody knows the rest. A front never goes back but
// by a loss of its own or of the majority: then from `neighbours`, while what is certain is served
// on.
//
// What is trusted (the lines of `trusted()`, each with its reason and test): tokens, offsets,
// incarnations as floors; the last kept rules if their digest fits; the record's prefix; nothing of
// health, warmth, lists, leases, shares (a share is its floor; each lease from before is waited
// out). Pulls under way at the loss are in doubt: exclusive ones never run again, ticketed ones by
// their ticket's rule alone: the front that answered is gone, so nothing is resumed.
//
// Sources: FoundationDB's recovery (an epoch ends before the next begins; a majority, not one disk,
// decides what survives); Chubby's and Raft's restart rules. Bounds: one row a front of the fleet.
// A turn says hello to all up to 17 fronts, else to a quarter of them, so that each is told once a
// second; the first of a life to all. Nobody speaks once all that are heard are whole. A row is
// forgotten as a presence after `forget`; its floors last as long as this process.
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

enum class Phase : std::uint8_t {
  kStore,
  kNeighbours,
  kGroup,
  kRecord,
  kRules,
  kLettingIn,
  kWhole
};
constexpr std::size_t kPhases = 7;
const char* ToString(Phase phase);

struct Trust {  // one line of the table
  const char* what;
  const char* how;  // "floor", "if its digest fits", "not at all", ...
  const char* reason;
};
std::span<const Trust> Trusted();

// What a front kept: floors, never the present.
struct Floors {
  std::uint64_t token = 0;
  std::uint64_t offset = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t rules_digest = 0;
  std::uint64_t rules_version = 0;
};
struct StoreSeen {
  // none: set up without one; spoilt: found out by what the others say
  enum class State : std::uint8_t {
    kNone,
    kEmpty,
    kGood,
    kHoled,
    kForeign,
    kOlder,
    kCorrupted
  } state = State::kNone;
  Floors floors;
  Id whose = 0;  // by its own word; another's than ours: foreign, whatever `state` says
  // incarnations of other fronts that this disk has seen: each front's witness of the rest
  std::map<Id, std::uint64_t> witnessed;
};

// What fronts tell each other while any of them is not whole (Channel::recovery).
struct Hello {
  std::uint64_t life = 0;  // of this process: its start's clock
  Ms up = 0;               // for how long
  Phase phase = Phase::kStore;
  StoreSeen::State store = StoreSeen::State::kNone;
  // on its own trusted disk, or told by the group since; never hearsay, which one bad disk could
  // spread
  Floors floors;
  std::uint64_t committed = 0;  // of the record, as it knows
  bool group_leads = false;
  bool group_member = false;
  int zone = 0;
  double carries = 0;  // the share of its usual pulls that it lets in
  std::uint64_t of_you =
      0;  // the incarnation that the sender's disk has seen of the front it speaks to; 0: none
};
constexpr std::size_t kMostHelloBytes = 256;
std::string Encode(const Hello& h);
std::optional<Hello> Decode(std::span<const char> bytes);  // nothing where longer, unreadable, or a
                                                           // field is outside its range

struct Terms {
  int zones = 1;
  int zone = 0;
  // fronts of this zone; above 1 and with no word of the list, a front passes quickly only beside
  // one of it that kept running
  int zone_replicas = 1;
  Ms hello_every = 250;
  Ms forget = 3000;  // a neighbour not heard for so long is not counted
  Ms lease = 3000;
  Ms margin = 200;
  double drift = 0.01;  // leases from before are waited out: lease * (1 + drift) + margin
  // A loss is of the whole where a majority of the fleet has been up for less than `young`.
  Ms young = 60000;
  Ms store_at_most = 5000;
  Ms neighbours_at_most = 5000;
  Ms group_at_most = 30000;
  Ms record_at_most = 30000;
  Ms rules_at_most = 10000;
  // How far a sound disk may be ahead of what a majority knows: more is a spoilt one.
  std::uint64_t ahead_tokens = 1000;
  std::uint64_t ahead_offsets = 100000;
  // Letting in: from `first` of the usual by steps of `grow`, each `stepEvery`, while nothing
  // behind is crowded; back by half where it is, once a step at most. Above three quarters of where
  // it was last crowded it grows by a quarter of a step. `fit` derives them at start from the
  // sheet's cold terms. After `lettingInAtMost` crowding no longer halves: it is the module's, as
  // on any day.
  double first = 0.1;
  double grow = 1.3;
  double least = 0.02;
  Ms step_every = 500;
  Ms letting_in_at_most = 120000;
  Ms come_back = 2000;         // told to what is declined meanwhile
  std::vector<double> payoff;  // by offering: classes are let in in order of payoff for their work
  std::vector<double> work;    // by offering: its part of the usual work; empty: alike
  // by offering: may be served whatever the record says (never kept, or fresh for less than a
  // recall's term)
  std::vector<bool> certain;
};

// First step for parents that start at `from` of their capacity, where caches usually miss
// `usualMiss` of the work and now all of it: half of what they bear if every front comes at once.
Terms Fit(Terms terms, double from, double usual_miss);
// Once faults are over (power, links, board and group there; nothing behind crowded for good):
// every front is whole within this.
Ms Whole(const Terms& terms);
Ms AtMost(Phase phase, const Terms& terms);  // 0: without end
struct PhaseLine {  // the table of phases; docs/operators/power-loss.md says the same and a test
                    // compares them
  Phase phase;
  const char* on;      // what lets the front on
  const char* served;  // meanwhile
  const char* then;    // when its time is over
};
std::span<const PhaseLine> PhaseTable();

// ---- what happened
struct StoreChecked {
  StoreSeen seen;
};
struct Heard {
  Id from = 0;
  Hello hello;
};
// `token`: the last one granted, as a majority of the group has it; below floors().token the group
// is not gone by (it must found higher). `lost`: its majority is gone, not merely its leader.
struct GroupNow {
  bool member = false;
  bool leader_known = false;
  bool founded = false;
  bool lost = false;
  std::uint64_t token = 0;
};
struct RecordNow {
  std::uint64_t position = 0;
  std::uint64_t committed = 0;
  bool caught_up = false;
  Ms good_at = -1;
  bool on = false;
};
struct RulesNow {
  bool on = false;
  bool in_step = false;
  std::uint64_t version = 0;
  std::uint64_t digest = 0;
};
// What lies behind (parents, head office, cold caches) shows that it is full; `cold`: whether most
// of this zone's caches, or of the parents, started lately, as the list tells; absent where the
// board has not told since the start.
struct Behind {
  bool crowded = false;
  std::optional<bool> cold;
};
// The incarnation that this front says now. What others witness between its first and its last is
// of this life, and nothing against the disk.
struct Said {
  std::uint64_t incarnation = 0;
};
struct Tick {};
using Event = std::variant<StoreChecked, Heard, GroupNow, RecordNow, RulesNow, Behind, Said, Tick>;

// ---- what is to be done
struct Say {
  Id to = 0;
  Hello hello;
};
struct Entered {
  Phase phase = Phase::kStore;
  std::string why;
  bool by_time = false;
};                                       // for the log; byTime: its time was over
struct Admit {                           // fact for the module
  std::vector<double> by_request_class;  // share of pulls let in; empty: all
  bool certain_only = false;             // what can't be sure to be current is declined
  Ms come_back = 0;                      // with this time to come back
};
struct Loss {
  bool whole = false;
  int back = 0;
  int kept = 0;
  std::string lost;
};  // told once it is known, aloud
struct Corrupted {
  Id whose = 0;
  std::string why;
};  // a disk found to be old or another's
using Action = std::variant<Say, Entered, Admit, Loss, Corrupted>;

class Recovery {
 public:
  Recovery(Id self, std::vector<Id> fronts, Terms terms, std::uint64_t life, Ms now);
  ~Recovery();
  std::vector<Action> Handle(Ms now, const Event& event);
  Phase phase() const;
  Ms Since() const;  // of the phase
  // The highest known by any disk not found spoilt: what this front's own word must be above. Where
  // a majority's disks are sound, a claim further above what a majority knows than a sound disk can
  // be is left out.
  Floors floors() const;
  bool CertainOnly() const;
  bool MayOwn(
      Ms now) const;  // every lease from before has surely run out, and the phase is past `group`
  // Whether a group without its log may be founded anew, or its token and offset raised, from above
  // floors(): the disks of a majority of the fleet were heard, sound enough to judge each other by,
  // or all were, or as long as the group may take has passed since.
  bool MayFound(Ms now) const;
  double Carries() const;
  Ms WakeAt() const;

 private:
  struct Inner;
  std::shared_ptr<Inner> inner_;
};

}  // namespace dunlinwick::recovery
