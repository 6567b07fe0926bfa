// The state behind Drift; for this package's own files. Every table is by front (one row) or
// bounded as said at it.
#pragma once
#include <deque>
#include <random>
#include <utility>

#include "drift/drift.hpp"

namespace dunlinwick::drift {

constexpr Ms kNever = -1e18;

struct Drift::Inner {
  Inner(Id s, std::map<Id, int> z, Classes c, Terms t, std::uint64_t seed, Ms now, Floors floors);

  struct Past {
    Version version = 0;
    std::uint64_t digest = 0;
  };
  struct Wanted {
    Version version = 0;
    std::uint64_t digest = 0;
    Ms until = 0;  // on the monotone clock
    std::shared_ptr<const Form> form;
    std::deque<Past> past;  // oldest first, the last 16
  };
  struct Seen {  // what a front said of itself, the newest heard of anybody
    std::uint64_t seq = 0;
    std::uint64_t active = 0;
    std::uint64_t approved = 0;
    std::uint64_t changed = 0;
    Version version = 0;
    Ms at = kNever;
    Ms changed_at = 0;        // heard; since when it says the same
    Ms above_since = kNever;  // says a version that is news here, or none, since
    Ms direct = kNever;       // heard of itself
    double abandoned = 0;
    double declined = 0;
    int sends = 0;  // of this news, so far
    bool Settled() const {
      return seq != 0;
    }
  };
  struct Ballot {
    Token token = 0;
    std::vector<bool> voters;
    std::vector<bool> withdrawn;
  };
  struct Case {
    Standing standing = Standing::kDrifted;
    std::uint64_t changed = 0;
    Version wanted = 0;
    std::uint64_t span = 0;
    Ballot newest;
    Ballot before;  // of that span and the one before it: older ones are gone
    std::vector<Difference> fields;
    bool Counts(std::size_t i) const;  // the vote of the i-th front
  };
  struct Asked {
    std::uint64_t changed = 0;
    int tries = 0;
    Ms at = kNever;
  };
  struct Underway {
    Version version = 0;
    std::uint64_t changed = 0;
    Ms sent_at = 0;
    Ms last_sent = 0;
    Ms watch_until = kNever;
    bool based = false;
    double abandoned = 0;
    double declined = 0;
  };
  struct Tries {
    Version version = 0;
    std::uint64_t changed = 0;
    int count = 0;
    Ms not_before = kNever;
  };
  struct EjectedState {
    Token token = 0;
    std::uint32_t count = 0;
    bool on = false;
    Ms since = 0;
  };

  // evidence.cpp
  void Outdo(std::uint64_t notified);  // a number that others have of this front's words
  void Merge(Id who, std::uint64_t seq, Version version, std::uint64_t active,
             std::uint64_t approved, std::uint64_t changed, Ms now);
  void MergeCase(const ActiveReport::Case& c, Ms now);
  Standing Evaluate(Id who, Ms now) const;
  void Judge(Ms now);  // one round: opinions, votes, rows
  void Show(Ms now);   // rows by opinions and votes
  Standing common(Id who, Case** of);
  std::size_t Quorum() const;
  void Prune(Id who);
  void OwnWord(Ms now, bool round);
  void Serves(Ms now);
  std::size_t Index(Id who) const;
  std::vector<Difference> OwnFields() const;
  // told.cpp's counterpart: what goes out
  ActiveReport word(bool full);
  void SendReport(Ms now);
  void Ask(Ms now);
  void answer(Id to, const ActiveReport& asked);
  void Opened(Id from, const ActiveReport& t);
  // repair.cpp
  bool Owning() const;
  void Repairs(Ms now);
  void Asides(Ms now);
  bool ZoneBears(int zone, Id who) const;
  void HeardShares(Id from, Ms now);
  std::vector<Action> HandleRepair(Ms now, Id from, const Repair& r);
  void ApplyActive(Ms now);
  Form Governed() const;  // of what is active, the sections that the approval names

  const Id self;
  const std::map<Id, int> zone_of;  // at most mostFronts
  std::vector<Id> ids;              // in order; a voter's bit is its place here
  const Classes classes;
  const Terms terms;
  std::knuth_b random;
  Ms next_round = 0;
  std::uint64_t seq = 0;
  std::uint64_t changed = 0;
  bool outdone = false;  // the next word is a new one

  Form active;
  bool have_active = false;
  Version version = 0;
  std::optional<Approval> approval;
  std::deque<std::uint64_t>
      earlier;  // digests of forms approved for this front before, the last 16
  std::map<Id, Wanted> wanted;
  std::map<Id, Seen> seen;
  std::map<Id, Standing> held;
  std::map<Id, std::vector<Case>> cases;  // at most 4 a front
  std::map<Id, Asked> asking;
  std::map<Id, Row> rows;
  std::vector<Id> turn;  // whom to tell next, shuffled; each once before any twice
  std::size_t others_from = 0;
  std::size_t cases_from = 0;
  double abandoned = 0;
  double declined = 0;
  bool may = true;

  Token mine = 0;
  Token highest = 0;
  Ms owns_since = kNever;
  Version stopped_at = 0;
  std::map<Id, Underway> underway;
  std::map<Id, Tries> tries;
  std::map<Id, std::deque<Ms>> episodes;  // at most `often` a front
  std::map<Id, EjectedState> ejected_of;
  std::optional<Repair> pending;  // asked for before the approval was heard, for repairWithin / 2
  Ms pending_until = kNever;
  Id answer_to = 0;  // an owner that repairs this front is told each round
  Ms answer_until = kNever;

  std::vector<Action> out;
};

}  // namespace dunlinwick::drift
