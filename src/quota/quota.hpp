// Limits that hold for the whole fleet, and verdicts on what they guard: shares of a limit are
// handed out by one front, the allocator (who owns the standing work `quota`, src/owner/), and
// follow demand. Pure: events and time in, messages out. No front asks anybody for a pull: it
// spends its share.
//
// The invariant: what fronts may spend together never exceeds the limit. The allocator books for
// each front the most that it may hold: every grant of its own that has not surely run out or been
// replaced (reports name the one in use), and, where none is left, the safe share. It raises a
// share only out of what is not booked. A front uses a grant from when it *sent* the report that
// the grant answers, for lease * (1 - drift) - margin; the allocator books it from when it *sent*
// the grant, for lease * (1 + drift) + margin (as src/owner/lease.hpp: no two clocks are compared).
// - Cut off, or without an allocator: a front's share falls, at the end of its lease, to min(its
// last, limit / fronts).
// - Restarted without memory: it has `floor` of limit / fronts, which the allocator books for every
// front always.
// - A new allocator raises nothing before every grant of the old one has run out; it renews what
// fronts report to hold.
//   Fronts take no grant under a lower token than that of the last poll they answered.
//
// Stated bounds (functions below; docs/operators/limits.md): over any window of W s the fleet
// spends at most limit * (W + burst); a share is never older than the lease; after a heal shares
// are fair within fairWithin(). Bounds: 8 limits, fronts as configured; one report and one grant a
// front a round.
#pragma once
#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace dunlinwick::quota {

using Ms = double;
using Id = std::uint32_t;
using Token = std::uint64_t;
constexpr std::size_t kMostLimits = 8;

struct Limit {
  std::string name;
  double per_s = 0;
  double burst = 0.5;   // seconds' worth of a share that may be saved up
  double floor = 0.05;  // of limit / fronts, that each front always has
};
struct Terms {
  Ms lease = 3000;
  Ms margin = 200;
  double drift = 0.01;
  Ms every = 300;  // a round
  // Verdicts: so many fronts that call what a limit guards crowded or failing, in one round, cut it
  // for all; at most once `rest`; it grows back by `grow` a round once nobody has said so for
  // `rest`.
  int confirm = 2;
  Ms rest = 1500;
  double cut = 0.6;
  double least = 0.1;
  double grow = 0.05;
};

struct Poll {
  Token token = 0;
  std::uint64_t round = 0;
};
struct Report {
  Token token = 0;  // of the poll that it answers
  std::uint64_t round = 0;
  Token using_token = 0;  // of the grant in use; 0: none
  std::uint64_t using_round = 0;
  std::uint32_t bad =
      0;  // a bit a limit: what it guards is crowded or failing, by what this front sees
  std::uint32_t epoch = 0;  // of the verdict it knows
  std::vector<double> want;
  std::vector<double> have;
  std::vector<double> factor;  // by limit: a second
};
struct Grant {
  Token token = 0;
  std::uint64_t round = 0;
  std::uint32_t epoch = 0;
  std::vector<double> share;
  std::vector<double> factor;  // by limit
};
std::string Encode(const Poll& p);
std::string Encode(const Report& r);
std::string Encode(const Grant& g);
std::optional<Poll> DecodePoll(std::span<const char> bytes);
std::optional<Report> DecodeReport(std::span<const char> bytes);
std::optional<Grant> DecodeGrant(std::span<const char> bytes);

// A front's side.
class Shares {
 public:
  Shares(std::vector<Limit> limits, Terms terms, std::size_t fronts, Ms now);
  // Asked for, whether it was had or not: demand.
  void Wanted(Ms now, std::size_t limit, double n = 1);
  bool Take(Ms now, std::size_t limit, double n = 1);  // spends where there is so much
  void Bad(std::size_t limit, bool is) {
    is ? bad_ |= 1u << limit : bad_ &= ~(1u << limit);
  }
  std::optional<Report> Polled(Ms now, const Poll& p);
  bool Granted(Ms now, const Grant& g);  // false: old, or not an answer to a report of this life
  double Share(Ms now, std::size_t limit) const;  // a second
  double Factor(std::size_t limit) const {
    return factor_[limit];
  }
  std::uint32_t Epoch() const {
    return epoch_;
  }
  Ms Age(Ms now) const {
    return asked_at_ < 0 ? -1 : now - asked_at_;
  }  // of the share in use; below 0: none yet
  bool Fallen(Ms now) const {
    return now >= until_;
  }  // it lives on the safe share, or the floor
  const std::vector<Limit>& limits() const {
    return limits_;
  }

 private:
  struct Bucket {
    double left = 0;
    double rate = 0;
    double count = 0;  // rate: of demand, over the last seconds
    Ms at = 0;
    Ms counted_at = 0;
  };
  void Refill(Ms now, std::size_t limit);
  std::vector<Limit> limits_;
  Terms terms_;
  double fronts_;
  std::vector<double> granted_;
  std::vector<double> factor_;
  std::vector<Bucket> buckets_;
  std::uint32_t bad_ = 0;
  std::uint32_t epoch_ = 0;
  Token least_token_ = 0;
  Token using_token_ = 0;
  std::uint64_t using_round_ = 0;
  std::map<std::uint64_t, Ms>
      asked_;  // by round, under leastToken_: when its report was sent; the last 8
  Ms asked_at_ = -1;
  Ms until_ = -1;
};

// The allocator's side, for one ownership: made anew with each token.
class Allocator {
 public:
  Allocator(std::vector<Limit> limits, Terms terms, std::vector<Id> fronts, Token token, Ms now);
  Poll TakePoll(Ms now);  // begins a round; what the last one brought is kept
  void Heard(Ms now, Id front, const Report& r);
  std::vector<std::pair<Id, Grant>> Allocate(
      Ms now);  // of those heard in this round; call it half a round after the poll
  double Booked(Ms now, std::size_t limit) const;  // over all fronts
  double Factor(std::size_t limit) const {
    return factor_[limit];
  }
  std::uint32_t Epoch() const {
    return epoch_;
  }
  bool Settled(Ms now) const {
    return now >= settled_at_;
  }
  struct Row {
    Id front = 0;
    double want = 0;
    double booked = 0;
    Ms heard_at = -1;
  };
  std::vector<Row> Rows(Ms now, std::size_t limit) const;

 private:
  struct Given {
    std::uint64_t round = 0;
    Ms until = 0;
    std::vector<double> share;
  };
  struct Front {
    bool known = false;
    bool heard = false;
    Ms heard_at = -1;
    std::uint64_t ack = 0;
    std::vector<Given> given;  // since the one that it is known to use; at most 32
    std::vector<double> last;  // what it had when it last reported one
    Report report;
  };
  double Safe(std::size_t limit) const {
    return limits_[limit].per_s / static_cast<double>(fronts_.size());
  }
  double BookedFor(Ms now, const Front& f, std::size_t limit) const;
  void Judge(Ms now);
  std::vector<Limit> limits_;
  Terms terms_;
  Token token_;
  Ms settled_at_;
  std::uint64_t round_ = 0;
  std::map<Id, Front> fronts_;
  std::vector<double> factor_;
  std::vector<Ms> cut_at_;
  std::vector<Ms> bad_at_;
  std::uint32_t epoch_ = 0;
};

// ---- the stated bounds
inline double SpentAtMost(const Limit& l, double window_s) {
  return l.per_s * (window_s + l.burst);
}
inline Ms ShareAgeAtMost(const Terms& t) {
  return t.lease;
}
// After a heal, or a new allocator: its wait, then demand is heard, room is freed, and handed on.
inline Ms FairWithin(const Terms& t) {
  return t.lease * (1 + t.drift) + t.margin + 6 * t.every;
}
// Of a limit that is cut by verdict: at fronts that are heard, and at those that are not.
inline Ms VerdictWithin(const Terms& t) {
  return 3 * t.every;
}

}  // namespace dunlinwick::quota
