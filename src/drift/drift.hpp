// Rules in step: whether what a front decides by in memory is what was approved, found by evidence
// in common, and what follows. Pure: events and time in, actions out.
//
// Active rules are told by the parts that use them, section by section, in a canonical form (names
// sorted, numbers in shortest exact form), not by the file a front was started with. Desired is the
// approved version in the record (stream rules). A digest a section, and one of all, rides with the
// members' news (32 bits of it on each datagram, the whole on Channel::rules); a difference is
// opened section by section down to the field.
//
// Verdicts: inStep; converging (within the approval's term); drifted (field, since when);
// unapproved (its version was never approved); forked (the same version, other content); unknown
// (last seen so long ago). A verdict needs the same word of the front itself in `steady` rounds
// (hysteresis: its words are numbered a round, and say since which number they are the same), and
// is in common: a majority of the fronts whose word counts hold it (their votes ride along as
// bitmaps, one for each of the last two spans of its words), or the owner under its token. Bound on
// how long a drift stays unseen: foundWithin(), as a function of the terms and the number of
// fronts.
//
// What follows: fields are classed by what they can break (a rule; capacity; nothing). Repair by
// the owner under its token: at most `atOnce` fronts of a zone, never where its zone would fall
// below `leastServing`, stopped where abandoned or declined pulls rise after it (by `alarm` above
// before). A front that drifts `often` times within `within` is set aside: it owns nothing, its
// word in verdicts does not count, its share is the floor; it serves on unless the drift can break
// a rule. Sources: Kubernetes' reconciling loops (desired and observed generation apart; act on
// what is). Bounds: one row a front, the last 16 changes.
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

namespace dunlinwick::drift {

using Ms = double;
using Id = std::uint32_t;
using Token = std::uint64_t;
using Version = std::uint64_t;  // the record's offset of the approval; 0: none

enum class Breaks : std::uint8_t {
  kNothing,
  kCapacity,
  kRule
};
const char* ToString(Breaks breaks);

// ---- canonical form
using Section = std::map<std::string, std::string>;  // field to value, as text
using Form =
    std::map<std::string, Section>;  // section to fields; at most 32 sections of 256 fields
std::string Canonical(const Section& section);
std::uint64_t Digest(const Section& section);  // xxHash64 of the canonical form
std::uint64_t Digest(const Form& form);
std::string Number(double value);  // shortest exact decimal

struct Field {
  std::string section;
  std::string name;
};
struct Difference {
  Field field;
  std::string active;
  std::string approved;
  Breaks breaks = Breaks::kNothing;
};
// Classes by "section.name" or "section.*"; what is not named breaks capacity.
using Classes = std::map<std::string, Breaks>;
// A section that `approved` does not name is not judged, nor in a front's digest (a newer
// program's); one that `active` lacks is.
std::vector<Difference> Differences(const Form& active, const Form& approved,
                                    const Classes& classes);

// ---- the approval, as it stands in the record (key: "fleet", "zone/NAME" or "front/ID": the
// narrowest holds)
struct Approval {
  std::string by;
  std::string second;    // who approved; the second approver, where the settings ask for one
  Version replaces = 0;  // compare and set: the version it was made over
  Ms hold_by = 0;  // Unix time by when it must hold; until then a front that lacks it is converging
  Form form;
};
std::string Encode(const Approval& a);
std::optional<Approval> DecodeApproval(std::span<const char> bytes);
// Why it can't be taken over `current`, or "" where it can.
std::string Refused(const Approval& a, Version current, bool wants_second);

// ---- what fronts tell (Channel::rules)
struct ActiveReport {   // each round to `fanout` fronts, all of it; news of others rides along
  Version version = 0;  // that it believes approved
  std::uint64_t active = 0;
  std::uint64_t approved = 0;  // digests of all
  std::uint64_t seq = 0;
  std::uint64_t changed = 0;  // of its words, one a round; the first that said the same
  std::map<std::string, std::uint64_t> sections;  // of what is active; only where asked
  bool ask = false;                // the receiver is to open its difference to the sender:
  std::vector<std::string> wants;  // these sections, at most 8; empty: the digests of all
  Form opened;                     // of the sections that were asked for
  double abandoned = 0;
  double declined = 0;     // shares of its pulls, lately: for the alarm
  Token token = 0;         // the highest heard
  Version stopped_at = 0;  // repairs are stopped until an approval above this
  struct Other {
    Id who = 0;
    std::uint64_t seq = 0;
    Version version = 0;
    std::uint64_t active = 0;
    std::uint64_t approved = 0;
    std::uint64_t changed = 0;
  };
  std::vector<Other> others;  // at most 32
  // Votes against a front: of what it says since `changed`, against the approval `wanted`; given in
  // a span of its words (spanOf).
  struct Ballot {
    Token token = 0;  // of an owner that holds it so; 0: none
    std::string voters;
    std::string
        withdrawn;  // a bit a front each, in the order of ids; what is left out at the end: 0
  };
  struct Case {
    Id who = 0;
    std::uint8_t standing = 0;
    std::uint64_t changed = 0;
    Version wanted = 0;
    std::uint64_t span = 0;  // the newest in which a vote was heard of
    Ballot newest;
    Ballot before;                   // given in that span; in the one before it
    std::vector<Difference> fields;  // at most 4, values cut at 64 bytes
  };
  std::vector<Case> cases;  // at most 8
  struct Ejected {
    Id who = 0;
    Token token = 0;
    std::uint32_t count = 0;
    bool on = false;
  };
  std::vector<Ejected> asides;  // at most 32; the highest token, then count, holds
};
constexpr std::size_t kMostOthers = 32, kMostCases = 8, kMostFronts = 512;
// The span, from 0, that word `seq` of a front falls in, of those since `changed`: of 64 words, or
// of one a front where there are more. Who holds a front astray votes anew each round; a case
// counts the votes of its newest two spans only, and who finds the front in step again withdraws.
// Without it votes were only ever added: fronts that were astray themselves, one after another,
// added up to a majority that never was one at any time. The withdrawal mends that as soon as it
// has spread (some rounds: until then they still add up); the lapse, after one to two spans (32 to
// 64 s at a round of 500 ms and up to 64 fronts), is for who can't withdraw, being stopped or cut
// off. Votes and withdrawals are bits that are only added within a span, so they merge in any
// order. An owner's token lapses, but is not withdrawn. It could harm where votes gather more
// slowly than that: then no majority is ever seen. A spread is about 10 words for 5 to 64 fronts,
// but a datagram has 8 cases, so that with many fronts accused at once each waits its turn; hence
// longer spans where there are more fronts. And who withdrew, being astray itself for once, counts
// again only from the next span on, against the same word: up to 32 s late. A verdict that is in
// common stays while its holder finds the front astray itself, votes lapsed or not.
std::uint64_t SpanOf(std::uint64_t seq, std::uint64_t changed, std::size_t fronts);
std::string Encode(const ActiveReport& t);
std::optional<ActiveReport> DecodeNotified(std::span<const char> bytes);

enum class Standing : std::uint8_t {
  kUnknown,
  kInStep,
  kConverging,
  kDrifted,
  kUnapproved,
  kForked
};
const char* ToString(Standing standing);
inline bool Bad(Standing s) {
  return s >= Standing::kDrifted;
}

struct Terms {
  std::size_t fronts = 1;
  Ms round = 500;  // one word a round to `fanout` others
  int fanout = 2;
  int steady = 2;
  std::size_t quorum = 0;  // 0: a majority of the fronts that are not set aside
  Ms silent = 5000;  // not heard, by anybody, for so long (and what size adds, silentFor): unknown
  Ms record_lag = 5000;  // how far the record may be behind at one front: a version above its own
                         // counts as news for so long
  Ms term_least = 3000;
  Ms term_most =
      10 * 60 * 1000;  // of converging, on the monotone clock: a wrong wall clock is held within
  int at_once = 1;     // repairs a zone at once
  double least_serving = 0.5;  // of a zone's fronts that must be in step or serving meanwhile
  Ms repair_within = 5000;
  Ms watch_for = 3000;
  double alarm = 0.05;
  int often = 3;
  Ms within = 10 * 60 * 1000;
};
// From a change in a front's memory (past the approval's term) until every verdict in common names
// it, with no message lost; each lost round adds one round. A version that was never approved and
// is above the newest one: recordLag more.
Ms FoundWithin(const Terms& terms);
Ms LossAdds(const Terms& terms, double loss);  // for a share of datagrams lost, to all of it
Ms SilentFor(const Terms& terms);

// ---- events and actions
struct Active {
  Form form;
};  // this front's own, each time it may have changed
struct Approved {
  Version version = 0;
  std::optional<Approval> approval;
};                    // from the record, narrowest for this front
struct ApprovedFor {  // for each front, this one too: what is wanted of it, as the record here
                      // stands
  Id front = 0;
  Version version = 0;
  std::uint64_t digest = 0;  // of the approval's form
  Ms hold_by = 0;
  Ms unix_now = 0;  // Unix time, and what this front's wall clock says, right or wrong
  std::shared_ptr<const Form> form;  // null: differences of that front are not opened here
};
struct Hears {
  Id from = 0;
  ActiveReport notified;
};
struct Owns {
  Token token = 0;
};  // 0: not this front
struct Requests {
  double abandoned = 0;
  double declined = 0;
};
struct Tick {};
using Event = std::variant<Active, Approved, ApprovedFor, Hears, Owns, Requests, Tick>;

struct Tell {
  Id to = 0;
  ActiveReport notified;
};
// The owner's word (may be to itself): take up the approved form now, in place of what the front
// says since `changed`: a late one, about what the front no longer says, is refused by it.
struct Repair {
  Id front = 0;
  Token token = 0;
  Version version = 0;
  std::uint64_t changed = 0;
};
std::string Encode(const Repair& r);
std::optional<Repair> DecodeRepair(std::span<const char> bytes);
struct TakeUp {
  Version version = 0;
  Form form;
  Token token = 0;
};  // at the front itself: what was approved, to be made active
struct Found {
  Id front = 0;
  Standing standing = Standing::kUnknown;
  std::vector<Difference> fields;
  Ms since = 0;
  bool may_serve = true;
};
// At the front itself: it may not serve what these fields say (each breaks a rule); or, with `may`,
// it may again.
struct MayServe {
  bool may = true;
  std::vector<Difference> fields;
};
struct SetEjected {
  Id front = 0;
  bool on = false;
  std::string why;
};
struct Stopped {
  std::string why;
};  // repairs are stopped until an operator approves again
using Action = std::variant<Tell, Repair, TakeUp, Found, MayServe, SetEjected, Stopped>;

// Taking up is by the owner's word only, an approval's rollout as well as a repair, so that a zone
// never goes at once. A zone of one front is therefore left to staff wherever leastServing is above
// 0. A new owner waits out what one before it may have under way (2.5 times repairWithin: a word
// late by twice that, and its wait). A repair that fails is tried 3 times, further apart each time,
// then left until something changes. Rule fields: a front whose memory differs in one of them from
// its approval, and is no form approved earlier, stops by its own evidence (both forms are at
// hand); where it is merely late, only once that is in common and its zone keeps leastServing.
class Drift {
 public:
  struct Floors {
    std::uint32_t incarnation = 1;
    Token token = 0;
  };  // kept through a crash by the caller
  Drift(Id self, std::map<Id, int> zone_of, Classes classes, Terms terms, std::uint64_t seed,
        Ms now, Floors floors);
  ~Drift();
  std::vector<Action> Handle(Ms now, const Event& event);
  std::vector<Action> RepairAsked(Ms now, Id from,
                                  const Repair& r);  // fenced by the highest token heard
  struct Row {
    Standing standing = Standing::kUnknown;
    Ms since = 0;
    Ms seen_at = -1;
    Version version = 0;
    std::vector<Difference> fields;
    bool ejected = false;
  };
  const std::map<Id, Row>& Rows() const;
  bool ejected(Id front) const;
  bool may_serve() const;
  bool stopped() const;
  Token token()
      const;  // the highest heard: to be kept before what was returned with it is carried out
  Ms WakeAt() const;

  struct Inner;  // this package's own (inner.hpp)

 private:
  std::shared_ptr<Inner> inner_;
};

}  // namespace dunlinwick::drift
