#include "quota/quota.hpp"

#include <bit>
#include <cmath>
#include <cstring>
#include <numeric>

#include "owner/bytes.hpp"

namespace dunlinwick::quota {

namespace {

using owner::Reader;
using owner::Writer;

void Write(Writer& writer, const std::vector<double>& values) {
  writer.WriteNumber(values.size(), 1);
  for (double value : values)
    writer.WriteNumber(std::bit_cast<std::uint64_t>(value), 8);
}
bool Read(Reader& reader, std::vector<double>& values) {
  std::uint64_t count = reader.ReadNumber(1);
  if (count > kMaxLimits)
    return false;
  for (std::uint64_t i = 0; i < count; ++i) {
    double value = std::bit_cast<double>(reader.ReadNumber(8));
    if (!std::isfinite(value) || value < 0 || value > 1e12)
      return false;  // peers are not trusted to send valid numbers
    values.push_back(value);
  }
  return !reader.HasFailed();
}

}  // namespace

std::string Encode(const Poll& poll) {
  Writer writer;
  writer.WriteNumber(1, 1);
  writer.WriteNumber(poll.token, 8);
  writer.WriteNumber(poll.round, 8);
  return std::move(writer.bytes);
}
std::string Encode(const Report& report) {
  Writer writer;
  writer.WriteNumber(2, 1);
  writer.WriteNumber(report.token, 8);
  writer.WriteNumber(report.round, 8);
  writer.WriteNumber(report.active_token, 8);
  writer.WriteNumber(report.active_round, 8);
  writer.WriteNumber(report.overloaded, 4);
  writer.WriteNumber(report.epoch, 4);
  Write(writer, report.demands);
  Write(writer, report.shares);
  Write(writer, report.factors);
  return std::move(writer.bytes);
}
std::string Encode(const Grant& grant) {
  Writer writer;
  writer.WriteNumber(3, 1);
  writer.WriteNumber(grant.token, 8);
  writer.WriteNumber(grant.round, 8);
  writer.WriteNumber(grant.epoch, 4);
  Write(writer, grant.shares);
  Write(writer, grant.factors);
  return std::move(writer.bytes);
}
std::optional<Poll> DecodePoll(std::span<const char> bytes) {
  Reader reader(bytes);
  Poll poll;
  std::uint64_t kind = reader.ReadNumber(1);
  poll.token = reader.ReadNumber(8);
  poll.round = reader.ReadNumber(8);
  return reader.IsComplete() && kind == 1 ? std::optional(poll) : std::nullopt;
}
std::optional<Report> DecodeReport(std::span<const char> bytes) {
  Reader reader(bytes);
  Report report;
  std::uint64_t kind = reader.ReadNumber(1);
  report.token = reader.ReadNumber(8);
  report.round = reader.ReadNumber(8);
  report.active_token = reader.ReadNumber(8);
  report.active_round = reader.ReadNumber(8);
  report.overloaded = static_cast<std::uint32_t>(reader.ReadNumber(4));
  report.epoch = static_cast<std::uint32_t>(reader.ReadNumber(4));
  bool valid =
      Read(reader, report.demands) && Read(reader, report.shares) && Read(reader, report.factors);
  return valid && reader.IsComplete() && kind == 2 &&
                 report.demands.size() == report.shares.size() &&
                 report.demands.size() == report.factors.size()
             ? std::optional(report)
             : std::nullopt;
}
std::optional<Grant> DecodeGrant(std::span<const char> bytes) {
  Reader reader(bytes);
  Grant grant;
  std::uint64_t kind = reader.ReadNumber(1);
  grant.token = reader.ReadNumber(8);
  grant.round = reader.ReadNumber(8);
  grant.epoch = static_cast<std::uint32_t>(reader.ReadNumber(4));
  bool valid = Read(reader, grant.shares) && Read(reader, grant.factors);
  return valid && reader.IsComplete() && kind == 3 && grant.shares.size() == grant.factors.size()
             ? std::optional(grant)
             : std::nullopt;
}

// ---- the shares of one front

FrontShares::FrontShares(std::vector<Limit> limits, Settings settings, std::size_t fronts, Ms now)
    : limits_(std::move(limits)), settings_(settings), fronts_(static_cast<double>(fronts)) {
  for (const Limit& limit : limits_) {
    granted_.push_back(limit.min_fraction * limit.per_s / fronts_);
    factors_.push_back(1);
    buckets_.push_back({0, 0, 0, now, now});
  }
}

// After the lease has expired: the safe share, or the granted one if that is less.
double FrontShares::Share(Ms now, std::size_t i) const {
  return now < expires_at_ ? granted_[i] : std::min(granted_[i], limits_[i].per_s / fronts_);
}

void FrontShares::Refill(Ms now, std::size_t i) {
  TokenBucket& bucket = buckets_[i];
  double rate = Share(now, i);
  // If the share has dropped since the last refill, the lower rate applies to the whole interval:
  // the front gets less than it was entitled to, never more.
  bucket.left = std::min(bucket.left + rate * (now - bucket.refilled_at) / 1000,
                         std::max(rate * limits_[i].burst, 0.0));
  bucket.refilled_at = now;
  constexpr Ms kDemandWindow = 1000;
  if (now - bucket.counted_at >= kDemandWindow / 2) {
    double recent_demand = bucket.count * 1000 / (now - bucket.counted_at);
    double weight = 1 - std::exp(-(now - bucket.counted_at) / kDemandWindow);
    bucket.demand += weight * (recent_demand - bucket.demand);
    bucket.count = 0;
    bucket.counted_at = now;
  }
}
void FrontShares::RecordDemand(Ms now, std::size_t i, double amount) {
  Refill(now, i);
  buckets_[i].count += amount;
}
bool FrontShares::TryAcquire(Ms now, std::size_t i, double amount) {
  Refill(now, i);
  if (buckets_[i].left < amount)
    return false;
  buckets_[i].left -= amount;
  return true;
}

std::optional<Report> FrontShares::HandlePoll(Ms now, const Poll& poll) {
  if (poll.token < min_token_)
    return std::nullopt;  // from a previous allocator
  if (poll.token > min_token_)
    report_times_.clear();
  min_token_ = poll.token;
  report_times_[poll.round] = now;
  while (report_times_.size() > 8)
    report_times_.erase(report_times_.begin());
  Report report;
  report.token = poll.token;
  report.round = poll.round;
  report.active_token = active_token_;
  report.active_round = active_round_;
  report.overloaded = overloaded_;
  report.epoch = epoch_;
  for (std::size_t i = 0; i < limits_.size(); ++i) {
    Refill(now, i);
    report.demands.push_back(buckets_[i].demand);
    report.shares.push_back(Share(now, i));
    report.factors.push_back(factors_[i]);
  }
  return report;
}

bool FrontShares::HandleGrant(Ms now, const Grant& grant) {
  auto reported = report_times_.find(grant.round);
  if (grant.token != min_token_ || reported == report_times_.end() ||
      grant.shares.size() != limits_.size())
    return false;
  if (grant.token == active_token_ && grant.round <= active_round_)
    return false;  // late or a duplicate
  Ms expires_at =
      reported->second + settings_.lease * (1 - settings_.clock_drift) - settings_.margin;
  if (now >= expires_at)
    return false;
  for (std::size_t i = 0; i < limits_.size(); ++i)
    Refill(now, i);
  granted_ = grant.shares;
  factors_ = grant.factors;
  epoch_ = grant.epoch;
  active_token_ = grant.token;
  active_round_ = grant.round;
  reported_at_ = reported->second;
  expires_at_ = expires_at;
  return true;
}

// ---- the allocator

Allocator::Allocator(std::vector<Limit> limits, Settings settings, std::vector<Id> fronts,
                     Token token, Ms now)
    : limits_(std::move(limits)),
      settings_(settings),
      token_(token),
      previous_grants_expire_at_(now + settings.lease * (1 + settings.clock_drift) +
                                 settings.margin) {
  for (Id id : fronts)
    fronts_[id].last_shares.assign(limits_.size(), 0);
  factors_.assign(limits_.size(), 1);
  reduced_at_.assign(limits_.size(), -1e15);
  overloaded_at_ = reduced_at_;
}

Poll Allocator::StartRound(Ms) {
  ++round_;
  for (auto& [id, front] : fronts_)
    front.reported = false;
  return Poll{token_, round_};
}

void Allocator::HandleReport(Ms now, Id id, const Report& report) {
  auto found = fronts_.find(id);
  if (found == fronts_.end() || report.token != token_ || report.demands.size() != limits_.size() ||
      report.round > round_)
    return;
  Front& front = found->second;
  if (front.known && report.round <= front.report.round)
    return;  // late or a duplicate
  if (!front.known) {
    // What it holds of a previous allocator is reserved as if granted now: it holds it for less
    // long than that.
    front.known = true;
    front.grants.push_back(
        {0, now + settings_.lease * (1 + settings_.clock_drift) + settings_.margin, report.shares});
    // The latest reduction that any front knows stays in effect.
    if (report.epoch > epoch_) {
      epoch_ = report.epoch;
      factors_ = report.factors;
    }
  }
  if (report.active_token == token_) {
    front.acknowledged_round = std::max(front.acknowledged_round, report.active_round);
    // It uses that grant and never returns to an earlier one.
    std::erase_if(front.grants, [&](const OutstandingGrant& grant) {
      return grant.round < front.acknowledged_round;
    });
    // When that one expires, it has what it has now or the safe share. A restarted process, which
    // has no active grant, keeps the reservation of the old one until the old one's grants expire:
    // grants to the new process may still be in flight among them.
    front.last_shares = report.shares;
  }
  front.reported = report.round == round_;
  front.reported_at = now;
  front.report = report;
  for (std::size_t i = 0; i < limits_.size(); ++i)
    if (report.overloaded >> i & 1)
      overloaded_at_[i] = now;
}

double Allocator::ReservedFor(Ms now, const Front& front, std::size_t i) const {
  double min_share = limits_[i].min_fraction * SafeShare(i), max_share = min_share;
  double last_share = front.last_shares[i];
  for (const OutstandingGrant& grant : front.grants) {
    if (now < grant.expires_at)
      max_share = std::max(max_share, grant.shares[i]);
    else
      last_share = std::max(last_share, grant.shares[i]);
  }
  // If all its grants have expired, its share has dropped to the safe share, or to less if it had
  // less, and stays there if a later, smaller grant is lost in transit (found by a seeded run: 88).
  return std::max(max_share, front.known ? std::min(last_share, SafeShare(i)) : SafeShare(i));
}
double Allocator::Reserved(Ms now, std::size_t i) const {
  double sum = 0;
  for (const auto& [id, front] : fronts_)
    sum += ReservedFor(now, front, i);
  return sum;
}

void Allocator::UpdateFactors(Ms now) {
  for (std::size_t i = 0; i < limits_.size(); ++i) {
    int confirmations = 0, reports = 0;
    for (const auto& [id, front] : fronts_)
      if (front.reported) {
        ++reports;
        confirmations += front.report.overloaded >> i & 1;
      }
    bool confirmed = confirmations >= std::min<int>(settings_.min_confirmations,
                                                    static_cast<int>(fronts_.size())) &&
                     confirmations > 0;
    if (confirmed && now - reduced_at_[i] >= settings_.cooldown) {
      factors_[i] = std::max(settings_.min_factor, factors_[i] * settings_.reduction_factor);
      reduced_at_[i] = now;
      ++epoch_;
    } else if (factors_[i] < 1 &&
               now - std::max(overloaded_at_[i], reduced_at_[i]) >= settings_.cooldown) {
      factors_[i] = std::min(1.0, factors_[i] + settings_.recovery_step);
      if (factors_[i] >= 1)
        ++epoch_;  // the reduction has ended
    }
  }
}

std::vector<std::pair<Id, Grant>> Allocator::Allocate(Ms now) {
  UpdateFactors(now);
  std::vector<std::pair<Id, Grant>> out;
  for (auto& [id, front] : fronts_)
    if (front.reported)
      out.emplace_back(id, Grant{token_, front.report.round, epoch_, {}, factors_});
  for (std::size_t i = 0; i < limits_.size(); ++i) {
    double limit = limits_[i].per_s * factors_[i],
           min_share = limits_[i].min_fraction * SafeShare(i) * factors_[i];
    // Fronts that did not report keep what is reserved for them. The others share the rest by
    // max-min fairness: in order of increasing demand each gets its demand, at most an even part of
    // what is left; what remains after that is distributed evenly.
    double available = limit;
    std::vector<std::pair<double, std::size_t>> order;
    for (auto& [id, front] : fronts_)
      if (!front.reported)
        available -= ReservedFor(now, front, i);
    for (std::size_t k = 0; k < out.size(); ++k)
      order.emplace_back(fronts_[out[k].first].report.demands[i], k);
    std::sort(order.begin(), order.end());
    std::vector<double> targets(out.size());
    double left = std::max(available, 0.0);
    for (std::size_t k = 0; k < order.size(); ++k) {
      double even_part = left / static_cast<double>(order.size() - k);
      // A tenth more than its last demand, so that growing demand is met before the next round.
      double target = std::min(std::max(order[k].first * 1.1, min_share), even_part);
      targets[order[k].second] = target;
      left -= target;
    }
    for (double& target : targets)
      target += std::max(left, 0.0) / static_cast<double>(std::max<std::size_t>(out.size(), 1));
    // Shares are raised only out of what is not reserved. Before the previous allocator's grants
    // have expired nothing is known to be free, unless all fronts have reported.
    double free = HavePreviousGrantsExpired(now) ? limit - Reserved(now, i) : 0;
    bool all_known = std::all_of(fronts_.begin(), fronts_.end(),
                                 [](const auto& entry) { return entry.second.known; });
    if (!HavePreviousGrantsExpired(now) && all_known)
      free = limit - Reserved(now, i);
    for (std::size_t k = 0; k < out.size(); ++k) {
      Front& front = fronts_[out[k].first];
      double reserved = ReservedFor(now, front, i), share = targets[k];
      if (share > reserved) {
        double increase = std::clamp(free, 0.0, share - reserved);
        share = reserved + increase;
        free -= increase;
      }
      out[k].second.shares.push_back(share);
    }
  }
  Ms expires_at = now + settings_.lease * (1 + settings_.clock_drift) + settings_.margin;
  // An expired grant stays until a report names a later one: a report that was delayed may be older
  // than the grant (found by a seeded run: 106). Beyond the bound the two oldest are merged into
  // one with the larger share of both.
  constexpr std::size_t kMaxGrants = 32;
  for (auto& [id, grant] : out) {
    std::vector<OutstandingGrant>& grants = fronts_[id].grants;
    grants.push_back({grant.round, expires_at, grant.shares});
    if (grants.size() <= kMaxGrants)
      continue;
    for (std::size_t i = 0; i < limits_.size(); ++i)
      grants[1].shares[i] = std::max(grants[0].shares[i], grants[1].shares[i]);
    grants.erase(grants.begin());
  }
  return out;
}

std::vector<Allocator::FrontStatus> Allocator::FrontStatuses(Ms now, std::size_t i) const {
  std::vector<FrontStatus> statuses;
  for (const auto& [id, front] : fronts_)
    statuses.push_back({id, front.known ? front.report.demands[i] : 0, ReservedFor(now, front, i),
                        front.reported_at});
  return statuses;
}

}  // namespace dunlinwick::quota
