// Limits that hold for the whole fleet, and common reductions of them: one front, the allocator
// (the lease holder of the leased task `quota`, src/owner/), distributes shares of each limit
// according to demand. No I/O and no clock: events and time in, messages out. No front asks another
// one about a request: it spends its own share.
//
// The invariant: what all fronts may spend together never exceeds the limit. The allocator reserves
// for each front the most that it may hold: every grant that has not certainly expired or been
// replaced (reports name the active one) and, where none is left, the safe share, limit / fronts.
// It raises a share only out of what is not reserved. A front uses a grant from when it *sent* the
// report that the grant answers, for lease * (1 - clock_drift) - margin; the allocator reserves it
// from when it *sent* the grant, for lease * (1 + clock_drift) + margin (as in src/owner/lease.hpp:
// no two clocks are compared).
// - Partitioned, or without an allocator: at the end of its lease a front's share drops to
//   min(its last share, limit / fronts).
// - Restarted without state: it has `min_fraction` of limit / fronts, which the allocator always
//   reserves for every front.
// - A new allocator raises no share before every grant of the previous one has expired; it renews
//   what fronts report to hold. Fronts accept no grant with a lower token than that of the last
//   poll that they answered.
//
// Bounds (functions below; docs/operators/limits.md): over any window of W s the fleet spends at
// most limit * (W + burst); a share is never older than the lease; after a healed partition shares
// are fair within MaxFairnessDelay(). At most 8 limits, fronts as configured, one report and one
// grant per front and round.
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
constexpr std::size_t kMaxLimits = 8;

struct Limit {
  std::string name;
  double per_s = 0;
  double burst = 0.5;          // seconds' worth of a share that may accumulate
  double min_fraction = 0.05;  // of limit / fronts, that each front always has
};
struct Settings {
  Ms lease = 3000;
  Ms margin = 200;
  double clock_drift = 0.01;
  Ms round_period = 300;
  // If `min_confirmations` fronts report in one round that what a limit protects is overloaded or
  // failing, the limit is reduced for all, at most once per `cooldown`. It recovers by
  // `recovery_step` per round once no front has reported so for `cooldown`.
  int min_confirmations = 2;
  Ms cooldown = 1500;
  double reduction_factor = 0.6;
  double min_factor = 0.1;
  double recovery_step = 0.05;
};

struct Poll {
  Token token = 0;
  std::uint64_t round = 0;
};
struct Report {
  Token token = 0;  // of the poll that it answers
  std::uint64_t round = 0;
  Token active_token = 0;  // of the active grant; 0: none
  std::uint64_t active_round = 0;
  std::uint32_t overloaded =
      0;  // a bit per limit: this front observes that what it protects is overloaded or failing
  std::uint32_t epoch = 0;  // of the reduction that it knows
  std::vector<double> demands;
  std::vector<double> shares;
  std::vector<double> factors;  // all three by limit; demands and shares per second
};
struct Grant {
  Token token = 0;
  std::uint64_t round = 0;
  std::uint32_t epoch = 0;
  std::vector<double> shares;
  std::vector<double> factors;  // by limit
};
std::string Encode(const Poll& poll);
std::string Encode(const Report& report);
std::string Encode(const Grant& grant);
std::optional<Poll> DecodePoll(std::span<const char> bytes);
std::optional<Report> DecodeReport(std::span<const char> bytes);
std::optional<Grant> DecodeGrant(std::span<const char> bytes);

// The shares of one front.
class FrontShares {
 public:
  FrontShares(std::vector<Limit> limits, Settings settings, std::size_t fronts, Ms now);
  // Counts demand, whether it is granted or not.
  void RecordDemand(Ms now, std::size_t limit, double amount = 1);
  bool TryAcquire(Ms now, std::size_t limit, double amount = 1);  // spends if that much is left
  void SetOverloaded(std::size_t limit, bool overloaded) {
    overloaded ? overloaded_ |= 1u << limit : overloaded_ &= ~(1u << limit);
  }
  std::optional<Report> HandlePoll(Ms now, const Poll& poll);
  bool HandleGrant(Ms now,
                   const Grant& grant);  // false: stale, or answers no report of this process
  double Share(Ms now, std::size_t limit) const;  // per second
  double Factor(std::size_t limit) const {
    return factors_[limit];
  }
  std::uint32_t Epoch() const {
    return epoch_;
  }
  Ms ShareAge(Ms now) const {
    return reported_at_ < 0 ? -1 : now - reported_at_;
  }  // of the active grant; below 0: none yet
  bool IsLeaseExpired(Ms now) const {
    return now >= expires_at_;
  }  // it has the safe share or less
  const std::vector<Limit>& limits() const {
    return limits_;
  }

 private:
  struct TokenBucket {
    double left = 0;
    double demand = 0;
    double count = 0;  // demand: a rate, averaged over the last seconds; count: since counted_at
    Ms refilled_at = 0;
    Ms counted_at = 0;
  };
  void Refill(Ms now, std::size_t limit);
  std::vector<Limit> limits_;
  Settings settings_;
  double fronts_;
  std::vector<double> granted_;
  std::vector<double> factors_;
  std::vector<TokenBucket> buckets_;
  std::uint32_t overloaded_ = 0;
  std::uint32_t epoch_ = 0;
  Token min_token_ = 0;
  Token active_token_ = 0;
  std::uint64_t active_round_ = 0;
  std::map<std::uint64_t, Ms>
      report_times_;  // by round, under min_token_: when the report was sent; the last 8
  Ms reported_at_ = -1;
  Ms expires_at_ = -1;
};

// The allocator, for one lease of the task: a new one is constructed with each token.
class Allocator {
 public:
  Allocator(std::vector<Limit> limits, Settings settings, std::vector<Id> fronts, Token token,
            Ms now);
  Poll StartRound(Ms now);  // the reports of earlier rounds are kept
  void HandleReport(Ms now, Id front, const Report& report);
  std::vector<std::pair<Id, Grant>> Allocate(
      Ms now);  // to the fronts that reported in this round; call it half a round after the poll
  double Reserved(Ms now, std::size_t limit) const;  // for all fronts
  double Factor(std::size_t limit) const {
    return factors_[limit];
  }
  std::uint32_t Epoch() const {
    return epoch_;
  }
  bool HavePreviousGrantsExpired(Ms now) const {
    return now >= previous_grants_expire_at_;
  }
  struct FrontStatus {
    Id front = 0;
    double demand = 0;
    double reserved = 0;
    Ms reported_at = -1;
  };
  std::vector<FrontStatus> FrontStatuses(Ms now, std::size_t limit) const;

 private:
  struct OutstandingGrant {
    std::uint64_t round = 0;
    Ms expires_at = 0;
    std::vector<double> shares;
  };
  struct Front {
    bool known = false;
    bool reported = false;  // in this round
    Ms reported_at = -1;
    std::uint64_t acknowledged_round = 0;
    std::vector<OutstandingGrant> grants;  // from the one known to be active on; at most 32
    std::vector<double> last_shares;       // in its last report under this token
    Report report;
  };
  double SafeShare(std::size_t limit) const {
    return limits_[limit].per_s / static_cast<double>(fronts_.size());
  }
  double ReservedFor(Ms now, const Front& front, std::size_t limit) const;
  void UpdateFactors(Ms now);
  std::vector<Limit> limits_;
  Settings settings_;
  Token token_;
  Ms previous_grants_expire_at_;
  std::uint64_t round_ = 0;
  std::map<Id, Front> fronts_;
  std::vector<double> factors_;
  std::vector<Ms> reduced_at_;
  std::vector<Ms> overloaded_at_;
  std::uint32_t epoch_ = 0;
};

// ---- the stated bounds
inline double MaxSpent(const Limit& limit, double window_s) {
  return limit.per_s * (window_s + limit.burst);
}
inline Ms MaxShareAge(const Settings& settings) {
  return settings.lease;
}
// After a healed partition or with a new allocator: the previous grants expire, then demand is
// reported, shares are released, and granted to others.
inline Ms MaxFairnessDelay(const Settings& settings) {
  return settings.lease * (1 + settings.clock_drift) + settings.margin + 6 * settings.round_period;
}
// From the observation to the reduced limit, at fronts that exchange messages with the allocator.
inline Ms MaxReductionDelay(const Settings& settings) {
  return 3 * settings.round_period;
}

}  // namespace dunlinwick::quota
