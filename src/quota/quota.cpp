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

void Write(Writer& w, const std::vector<double>& all) {
  w.WriteNumber(all.size(), 1);
  for (double v : all)
    w.WriteNumber(std::bit_cast<std::uint64_t>(v), 8);
}
bool Read(Reader& r, std::vector<double>& all) {
  std::uint64_t n = r.ReadNumber(1);
  if (n > kMostLimits)
    return false;
  for (std::uint64_t i = 0; i < n; ++i) {
    double v = std::bit_cast<double>(r.ReadNumber(8));
    if (!std::isfinite(v) || v < 0 || v > 1e12)
      return false;  // a peer's word
    all.push_back(v);
  }
  return !r.HasFailed();
}

}  // namespace

std::string Encode(const Poll& p) {
  Writer w;
  w.WriteNumber(1, 1);
  w.WriteNumber(p.token, 8);
  w.WriteNumber(p.round, 8);
  return std::move(w.bytes);
}
std::string Encode(const Report& r) {
  Writer w;
  w.WriteNumber(2, 1);
  w.WriteNumber(r.token, 8);
  w.WriteNumber(r.round, 8);
  w.WriteNumber(r.using_token, 8);
  w.WriteNumber(r.using_round, 8);
  w.WriteNumber(r.bad, 4);
  w.WriteNumber(r.epoch, 4);
  Write(w, r.want);
  Write(w, r.have);
  Write(w, r.factor);
  return std::move(w.bytes);
}
std::string Encode(const Grant& g) {
  Writer w;
  w.WriteNumber(3, 1);
  w.WriteNumber(g.token, 8);
  w.WriteNumber(g.round, 8);
  w.WriteNumber(g.epoch, 4);
  Write(w, g.share);
  Write(w, g.factor);
  return std::move(w.bytes);
}
std::optional<Poll> DecodePoll(std::span<const char> bytes) {
  Reader r(bytes);
  Poll p;
  std::uint64_t kind = r.ReadNumber(1);
  p.token = r.ReadNumber(8);
  p.round = r.ReadNumber(8);
  return r.IsComplete() && kind == 1 ? std::optional(p) : std::nullopt;
}
std::optional<Report> DecodeReport(std::span<const char> bytes) {
  Reader r(bytes);
  Report one;
  std::uint64_t kind = r.ReadNumber(1);
  one.token = r.ReadNumber(8);
  one.round = r.ReadNumber(8);
  one.using_token = r.ReadNumber(8);
  one.using_round = r.ReadNumber(8);
  one.bad = static_cast<std::uint32_t>(r.ReadNumber(4));
  one.epoch = static_cast<std::uint32_t>(r.ReadNumber(4));
  bool good = Read(r, one.want) && Read(r, one.have) && Read(r, one.factor);
  return good && r.IsComplete() && kind == 2 && one.want.size() == one.have.size() &&
                 one.want.size() == one.factor.size()
             ? std::optional(one)
             : std::nullopt;
}
std::optional<Grant> DecodeGrant(std::span<const char> bytes) {
  Reader r(bytes);
  Grant g;
  std::uint64_t kind = r.ReadNumber(1);
  g.token = r.ReadNumber(8);
  g.round = r.ReadNumber(8);
  g.epoch = static_cast<std::uint32_t>(r.ReadNumber(4));
  bool good = Read(r, g.share) && Read(r, g.factor);
  return good && r.IsComplete() && kind == 3 && g.share.size() == g.factor.size() ? std::optional(g)
                                                                                  : std::nullopt;
}

// ---- a front's side

Shares::Shares(std::vector<Limit> limits, Terms terms, std::size_t fronts, Ms now)
    : limits_(std::move(limits)), terms_(terms), fronts_(static_cast<double>(fronts)) {
  for (const Limit& l : limits_) {
    granted_.push_back(l.floor * l.per_s / fronts_);
    factor_.push_back(1);
    buckets_.push_back({0, 0, 0, now, now});
  }
}

// Past the lease: the safe share, or less where it had less.
double Shares::Share(Ms now, std::size_t i) const {
  return now < until_ ? granted_[i] : std::min(granted_[i], limits_[i].per_s / fronts_);
}

void Shares::Refill(Ms now, std::size_t i) {
  Bucket& b = buckets_[i];
  double rate = Share(now, i);
  // Over a fall of the share the lower rate counts for the whole stretch: less than was its due,
  // never more.
  b.left = std::min(b.left + rate * (now - b.at) / 1000, std::max(rate * limits_[i].burst, 0.0));
  b.at = now;
  constexpr Ms kWindow = 1000;  // of the measure of demand
  if (now - b.counted_at >= kWindow / 2) {
    double rate_now = b.count * 1000 / (now - b.counted_at);
    double part = 1 - std::exp(-(now - b.counted_at) / kWindow);
    b.rate += part * (rate_now - b.rate);
    b.count = 0;
    b.counted_at = now;
  }
}
void Shares::Wanted(Ms now, std::size_t i, double n) {
  Refill(now, i);
  buckets_[i].count += n;
}
bool Shares::Take(Ms now, std::size_t i, double n) {
  Refill(now, i);
  if (buckets_[i].left < n)
    return false;
  buckets_[i].left -= n;
  return true;
}

std::optional<Report> Shares::Polled(Ms now, const Poll& p) {
  if (p.token < least_token_)
    return std::nullopt;  // an allocator that was
  if (p.token > least_token_)
    asked_.clear();
  least_token_ = p.token;
  asked_[p.round] = now;
  while (asked_.size() > 8)
    asked_.erase(asked_.begin());
  Report r;
  r.token = p.token;
  r.round = p.round;
  r.using_token = using_token_;
  r.using_round = using_round_;
  r.bad = bad_;
  r.epoch = epoch_;
  for (std::size_t i = 0; i < limits_.size(); ++i) {
    Refill(now, i);
    r.want.push_back(buckets_[i].rate);
    r.have.push_back(Share(now, i));
    r.factor.push_back(factor_[i]);
  }
  return r;
}

bool Shares::Granted(Ms now, const Grant& g) {
  auto at = asked_.find(g.round);
  if (g.token != least_token_ || at == asked_.end() || g.share.size() != limits_.size())
    return false;
  if (g.token == using_token_ && g.round <= using_round_)
    return false;  // late, or a second copy
  Ms until = at->second + terms_.lease * (1 - terms_.drift) - terms_.margin;
  if (now >= until)
    return false;
  for (std::size_t i = 0; i < limits_.size(); ++i)
    Refill(now, i);
  granted_ = g.share;
  factor_ = g.factor;
  epoch_ = g.epoch;
  using_token_ = g.token;
  using_round_ = g.round;
  asked_at_ = at->second;
  until_ = until;
  return true;
}

// ---- the allocator's side

Allocator::Allocator(std::vector<Limit> limits, Terms terms, std::vector<Id> fronts, Token token,
                     Ms now)
    : limits_(std::move(limits)),
      terms_(terms),
      token_(token),
      settled_at_(now + terms.lease * (1 + terms.drift) + terms.margin) {
  for (Id id : fronts)
    fronts_[id].last.assign(limits_.size(), 0);
  factor_.assign(limits_.size(), 1);
  cut_at_.assign(limits_.size(), -1e15);
  bad_at_ = cut_at_;
}

Poll Allocator::TakePoll(Ms) {
  ++round_;
  for (auto& [id, f] : fronts_)
    f.heard = false;
  return Poll{token_, round_};
}

void Allocator::Heard(Ms now, Id id, const Report& r) {
  auto at = fronts_.find(id);
  if (at == fronts_.end() || r.token != token_ || r.want.size() != limits_.size() ||
      r.round > round_)
    return;
  Front& f = at->second;
  if (f.known && r.round <= f.report.round)
    return;  // late, or a second copy
  if (!f.known) {
    // What it holds of an earlier allocator is booked as if granted now: it has it for less long
    // than that.
    f.known = true;
    f.given.push_back({0, now + terms_.lease * (1 + terms_.drift) + terms_.margin, r.have});
    // The latest verdict that any front knows goes on.
    if (r.epoch > epoch_) {
      epoch_ = r.epoch;
      factor_ = r.factor;
    }
  }
  if (r.using_token == token_) {
    f.ack = std::max(f.ack, r.using_round);
    // It uses that grant and goes back to none before it.
    std::erase_if(f.given, [&](const Given& g) { return g.round < f.ack; });
    // Once that runs out, it has what it has now, or the safe share. A new process, which uses
    // none, is booked as the old one until the old one's grants run out: those to the new one may
    // be on their way among them.
    f.last = r.have;
  }
  f.heard = r.round == round_;
  f.heard_at = now;
  f.report = r;
  for (std::size_t i = 0; i < limits_.size(); ++i)
    if (r.bad >> i & 1)
      bad_at_[i] = now;
}

double Allocator::BookedFor(Ms now, const Front& f, std::size_t i) const {
  double least = limits_[i].floor * Safe(i), most = least;
  double last = f.last[i];
  for (const Given& g : f.given) {
    if (now < g.until)
      most = std::max(most, g.share[i]);
    else
      last = std::max(last, g.share[i]);
  }
  // Where all in use have run out it has fallen to the safe share, or to less where it had less;
  // and it stays there if a later, smaller grant is lost on its way (found by a seeded run: 88).
  return std::max(most, f.known ? std::min(last, Safe(i)) : Safe(i));
}
double Allocator::Booked(Ms now, std::size_t i) const {
  double sum = 0;
  for (const auto& [id, f] : fronts_)
    sum += BookedFor(now, f, i);
  return sum;
}

void Allocator::Judge(Ms now) {
  for (std::size_t i = 0; i < limits_.size(); ++i) {
    int say = 0, heard = 0;
    for (const auto& [id, f] : fronts_)
      if (f.heard) {
        ++heard;
        say += f.report.bad >> i & 1;
      }
    bool common = say >= std::min<int>(terms_.confirm, static_cast<int>(fronts_.size())) && say > 0;
    if (common && now - cut_at_[i] >= terms_.rest) {
      factor_[i] = std::max(terms_.least, factor_[i] * terms_.cut);
      cut_at_[i] = now;
      ++epoch_;
    } else if (factor_[i] < 1 && now - std::max(bad_at_[i], cut_at_[i]) >= terms_.rest) {
      factor_[i] = std::min(1.0, factor_[i] + terms_.grow);
      if (factor_[i] >= 1)
        ++epoch_;  // the verdict is over
    }
  }
}

std::vector<std::pair<Id, Grant>> Allocator::Allocate(Ms now) {
  Judge(now);
  std::vector<std::pair<Id, Grant>> out;
  for (auto& [id, f] : fronts_)
    if (f.heard)
      out.emplace_back(id, Grant{token_, f.report.round, epoch_, {}, factor_});
  for (std::size_t i = 0; i < limits_.size(); ++i) {
    double limit = limits_[i].per_s * factor_[i], least = limits_[i].floor * Safe(i) * factor_[i];
    // Those not heard keep what is booked for them; the others share the rest by demand: the least
    // asking first, each as much as it wants while an even part is more (max-min), then what is
    // left over evenly.
    double rest = limit;
    std::vector<std::pair<double, std::size_t>> order;
    for (auto& [id, f] : fronts_)
      if (!f.heard)
        rest -= BookedFor(now, f, i);
    for (std::size_t k = 0; k < out.size(); ++k)
      order.emplace_back(fronts_[out[k].first].report.want[i], k);
    std::sort(order.begin(), order.end());
    std::vector<double> target(out.size());
    double left = std::max(rest, 0.0);
    for (std::size_t k = 0; k < order.size(); ++k) {
      double even = left / static_cast<double>(order.size() - k);
      // A tenth over what it asked for last: demand that grows is met before the next round.
      double t = std::min(std::max(order[k].first * 1.1, least), even);
      target[order[k].second] = t;
      left -= t;
    }
    for (double& t : target)
      t += std::max(left, 0.0) / static_cast<double>(std::max<std::size_t>(out.size(), 1));
    // Raised only out of what nobody may hold. Before the old allocator's grants have run out
    // nothing is known to be free.
    double free = Settled(now) ? limit - Booked(now, i) : 0;
    bool all_known = std::all_of(fronts_.begin(), fronts_.end(),
                                 [](const auto& one) { return one.second.known; });
    if (!Settled(now) && all_known)
      free = limit - Booked(now, i);
    for (std::size_t k = 0; k < out.size(); ++k) {
      Front& f = fronts_[out[k].first];
      double has = BookedFor(now, f, i), gets = target[k];
      if (gets > has) {
        double more = std::clamp(free, 0.0, gets - has);
        gets = has + more;
        free -= more;
      }
      out[k].second.share.push_back(gets);
    }
  }
  Ms until = now + terms_.lease * (1 + terms_.drift) + terms_.margin;
  // One that ran out stays until a report names a later one: a report that was long on its way may
  // be older than it (found by a seeded run: 106). Past the bound the two oldest become one that is
  // as much as either.
  constexpr std::size_t kMostGiven = 32;
  for (auto& [id, g] : out) {
    std::vector<Given>& all = fronts_[id].given;
    all.push_back({g.round, until, g.share});
    if (all.size() <= kMostGiven)
      continue;
    for (std::size_t i = 0; i < limits_.size(); ++i)
      all[1].share[i] = std::max(all[0].share[i], all[1].share[i]);
    all.erase(all.begin());
  }
  return out;
}

std::vector<Allocator::Row> Allocator::Rows(Ms now, std::size_t i) const {
  std::vector<Row> all;
  for (const auto& [id, f] : fronts_)
    all.push_back({id, f.known ? f.report.want[i] : 0, BookedFor(now, f, i), f.heard_at});
  return all;
}

}  // namespace dunlinwick::quota
