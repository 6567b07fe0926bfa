// Shares of fleet-wide limits: single steps of a front and of the allocator; the wire format; and
// seeded runs of many fronts with drifting clocks under partitions of one front, a minority and
// half of the fleet, loss of the allocator, slow and lossy links, restarts without state, and
// bursts. At every step of every run the sum of what fronts may spend must stay within the limit;
// what they spent is compared with the stated bound over every window, and with a fixed split of
// limit / fronts.
#include <cassert>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <queue>
#include <random>

#include "quota/quota.hpp"

using namespace dunlinwick::quota;

namespace {

constexpr double kSlack = 1e-6;

void DecodesCompleteMessagesOnly() {
  Report r;
  r.token = 5;
  r.round = 7;
  r.active_token = 5;
  r.active_round = 6;
  r.overloaded = 3;
  r.epoch = 2;
  r.demands = {1, 2.5};
  r.shares = {3, 4};
  r.factors = {1, 0.5};
  Grant g{5, 7, 2, {1.5, 2}, {1, 0.6}};
  std::string all[] = {Encode(Poll{5, 7}), Encode(r), Encode(g)};
  assert(DecodePoll(all[0])->round == 7 && DecodeReport(all[1])->demands[1] == 2.5 &&
         DecodeGrant(all[2])->shares[0] == 1.5);
  for (const std::string& one : all)
    for (std::size_t cut = 0; cut < one.size(); ++cut) {
      std::span<const char> part(one.data(), cut);
      assert(!DecodePoll(part) && !DecodeReport(part) && !DecodeGrant(part));
    }
  r.demands[0] = std::nan("");
  assert(!DecodeReport(Encode(r)));
  r.demands[0] = -1;
  assert(!DecodeReport(Encode(r)));
  g.shares.assign(kMaxLimits + 1, 1);
  g.factors = g.shares;
  assert(!DecodeGrant(Encode(g)));
}

void FrontKeepsItsGrantUntilTheLeaseExpires() {
  std::vector<Limit> limits{{"office", 100, 0.5, 0.05}};
  Settings t;
  FrontShares s(limits, t, 10, 0);
  assert(std::abs(s.Share(0, 0) - 0.5) <
         kSlack);  // min_fraction of the safe share, a tenth of the limit
  auto r = s.HandlePoll(1000, {7, 1});
  assert(r && r->shares[0] == s.Share(1000, 0));
  assert(!s.HandleGrant(
      1010, Grant{6, 1, 0, {40}, {1}}));  // from another allocator than the one that polled
  assert(!s.HandleGrant(1010, Grant{7, 2, 0, {40}, {1}}));  // answers no report
  assert(s.HandleGrant(1010, Grant{7, 1, 0, {40}, {1}}) && s.Share(1010, 0) == 40);
  assert(!s.HandleGrant(1011, Grant{7, 1, 0, {50}, {1}}));  // a duplicate
  assert(!s.HandlePoll(1100, {6, 9}));                      // a previous allocator
  Ms end = 1000 + t.lease * (1 - t.clock_drift) - t.margin;
  assert(s.Share(end - 1, 0) == 40 && s.Share(end, 0) == 10 && s.IsLeaseExpired(end));
  FrontShares small(limits, t, 10, 0);
  small.HandlePoll(1000, {7, 1});
  small.HandleGrant(1010, Grant{7, 1, 0, {3}, {1}});
  assert(small.Share(end, 0) == 3);  // it had less than the safe share and keeps that
  // Its token bucket: no more than the share's burst accumulates.
  FrontShares b(limits, t, 10, 0);
  b.HandlePoll(0, {7, 1});
  b.HandleGrant(1, Grant{7, 1, 0, {40}, {1}});
  int had = 0;
  for (int i = 0; i < 100; ++i)
    had += b.TryAcquire(2000, 0);
  assert(had == 20);
}

void AllocatorRaisesOnlyFromUnreserved() {
  std::vector<Limit> limits{{"office", 100, 0.5, 0.05}};
  Settings t;
  auto report = [](Token token, std::uint64_t round, Token using_token, std::uint64_t using_round,
                   double want, double have) {
    Report r;
    r.token = token;
    r.round = round;
    r.active_token = using_token;
    r.active_round = using_round;
    r.demands = {want};
    r.shares = {have};
    r.factors = {1};
    return r;
  };
  Allocator a(limits, t, {1, 2, 3, 4}, 9, 0);
  Poll p = a.StartRound(0);
  // Fronts 1 and 2 have reported; what 3 and 4 hold of a previous allocator is unknown: no share is
  // raised.
  a.HandleReport(1, 1, report(9, p.round, 8, 4, 90, 60));
  a.HandleReport(1, 2, report(9, p.round, 8, 4, 5, 20));
  auto g = a.Allocate(2);
  assert(g.size() == 2 && g[0].second.shares[0] <= 60 && g[1].second.shares[0] <= 20);
  // All grants of the previous allocator have expired: 3 and 4 hold at most the safe share, and the
  // rest is distributed by demand.
  Ms later = t.lease * 2;
  double last = 0;
  for (int round = 0; round < 4; ++round) {
    p = a.StartRound(later + 300 * round);
    double had1 = round == 0 ? 25 : g[0].second.shares[0],
           had2 = round == 0 ? 20 : g[1].second.shares[0];
    a.HandleReport(later + 300 * round, 1,
                   report(9, p.round, round ? 9 : 8, round ? p.round - 1 : 4, 90, had1));
    a.HandleReport(later + 300 * round, 2,
                   report(9, p.round, round ? 9 : 8, round ? p.round - 1 : 4, 5, had2));
    g = a.Allocate(later + 300 * round + 50);
    assert(a.Reserved(later + 300 * round + 50, 0) <= 100 + kSlack);
    last = g[0].second.shares[0];
  }
  assert(last > 35 &&
         last <= 50 + kSlack);  // 100 minus the safe shares of 3 and 4, minus the demand of 2
}

void ReductionsAreCommonToAllFronts() {
  std::vector<Limit> limits{{"office", 100, 0.5, 0.05}};
  Settings t;
  Allocator a(limits, t, {1, 2, 3, 4, 5}, 9, 0);
  Ms now = 10000;
  auto round = [&](int bad) {
    Poll p = a.StartRound(now);
    for (Id id = 1; id <= 5; ++id) {
      Report r;
      r.token = 9;
      r.round = p.round;
      r.demands = {50};
      r.shares = {1};
      r.factors = {1};
      r.overloaded = static_cast<int>(id) <= bad;
      a.HandleReport(now, id, r);
    }
    auto g = a.Allocate(now + 10);
    now += t.round_period;
    return g;
  };
  round(1);
  assert(a.Factor(0) == 1 && a.Epoch() == 0);  // one front's report reduces nothing
  auto g = round(2);
  assert(std::abs(a.Factor(0) - t.reduction_factor) < kSlack && a.Epoch() == 1 && g.size() == 5);
  for (auto& [id, one] : g)
    assert(one.factors[0] == a.Factor(0) && one.epoch == 1);  // the same at all fronts
  round(5);
  assert(a.Epoch() == 1);  // not again within the cooldown
  for (int i = 0; i < 6; ++i)
    round(5);
  assert(a.Epoch() >= 2 && a.Factor(0) < t.reduction_factor);
  for (int i = 0; i < 200 && a.Factor(0) < 1; ++i)
    round(0);
  assert(a.Factor(0) == 1);
  for (int i = 0; i < 200; ++i)
    round(5);
  assert(a.Factor(0) >= t.min_factor - kSlack);
}

// ---- seeded runs

struct Run {
  double excess = 0;
  double over_bound = 0;  // maxima: sum of shares above the limit; spending above the stated bound
  double used = 0;
  double used_fixed = 0;
  double calm_used = 0;
  double calm_fixed = 0;
  double calm_asked = 0;  // requests
  double oldest = 0;
  int allocators = 0;
};

struct Sim {
  struct Front {
    std::unique_ptr<FrontShares> shares;
    std::unique_ptr<FrontShares> fixed;  // the fixed split of limit / fronts, for comparison
    bool up = true;
    bool paused = false;
    double rate = 0;
    double offset = 0;
    double want = 0;
    double due = 0;
    Ms clock(Ms t) const {
      return t * (1 + rate) + offset;
    }
  };
  struct Flight {
    Ms at;
    std::uint64_t order;
    Id from;
    Id to;
    std::string bytes;
    bool operator>(const Flight& o) const {
      return at != o.at ? at > o.at : order > o.order;
    }
  };
  std::vector<Limit> limits{{"office", 300, 0.5, 0.05}};
  Settings settings;
  Settings allocator_settings;  // the same, unless a test injects a defect
  std::knuth_b random;
  std::vector<Front> fronts;
  std::priority_queue<Flight, std::vector<Flight>, std::greater<>> flights;
  std::vector<std::vector<int>> cuts;
  Ms now = 0;
  Ms extra = 0;
  double loss = 0;
  std::uint64_t order = 0;
  std::uint64_t token = 100;
  int at = -1;  // the front that runs the allocator
  std::unique_ptr<Allocator> allocator;
  Ms poll_at = 0;
  Ms allocate_at = 1e300;
  Ms owns_until = 0;
  Ms lost_at = -1;
  Run run;
  std::vector<std::pair<Ms, double>> spent;  // within the longest window
  bool calm = false;

  Sim(std::size_t n, std::uint64_t seed, Settings front_settings = {}, Settings allocators = {})
      : settings(front_settings),
        allocator_settings(allocators),
        random(static_cast<unsigned>(seed * 2654435761u + 3)),
        cuts(n, std::vector<int>(n)) {
    for (std::size_t i = 0; i < n; ++i) {
      Front f;
      f.rate = (2 * Unit() - 1) * settings.clock_drift * 0.95;
      f.offset = 1e6 * Unit();
      fronts.push_back(std::move(f));
    }
    for (std::size_t i = 0; i < n; ++i)
      Start(i);
    Appoint();
  }
  double Unit() {
    return std::uniform_real_distribution<double>(0, 1)(random);
  }
  void Start(std::size_t i) {
    Front& f = fronts[i];
    f.shares = std::make_unique<FrontShares>(limits, settings, fronts.size(), f.clock(now));
    std::vector<Limit> split = limits;
    split[0].min_fraction = 1;
    f.fixed = std::make_unique<FrontShares>(split, settings, fronts.size(), f.clock(now));
    f.up = true;
    f.paused = false;
  }
  // Grants the lease of the task as src/owner/ does: only after the previous holder has certainly
  // stopped, and only to a front that reaches a majority.
  void Appoint() {
    std::vector<std::size_t> can;
    for (std::size_t i = 0; i < fronts.size(); ++i) {
      std::size_t met = 0;
      for (std::size_t j = 0; j < fronts.size(); ++j)
        met += i == j || (Up(j) && !cuts[i][j] && !cuts[j][i]);
      if (Up(i) && 2 * met > fronts.size())
        can.push_back(i);
    }
    if (can.empty())
      return;
    at = static_cast<int>(can[static_cast<std::size_t>(Unit() * static_cast<double>(can.size()))]);
    std::vector<Id> ids;
    for (std::size_t i = 0; i < fronts.size(); ++i)
      ids.push_back(static_cast<Id>(i));
    allocator = std::make_unique<Allocator>(limits, allocator_settings, ids, ++token,
                                            fronts[static_cast<std::size_t>(at)].clock(now));
    poll_at = now;
    allocate_at = 1e300;
    lost_at = -1;
    ++run.allocators;
  }
  bool Up(std::size_t i) const {
    return fronts[i].up && !fronts[i].paused;
  }
  bool Quorate(std::size_t i) const {
    std::size_t met = 0;
    for (std::size_t j = 0; j < fronts.size(); ++j)
      met += i == j || (Up(j) && !cuts[i][j] && !cuts[j][i]);
    return Up(i) && 2 * met > fronts.size();
  }
  void Send(Id from, Id to, std::string bytes) {
    if (cuts[from][to] || Unit() < loss)
      return;
    flights.push({now + 0.5 + Unit() + extra * Unit(), order++, from, to, bytes});
    if (Unit() < 0.03)
      flights.push({now + 0.5 + (extra + 50) * Unit(), order++, from, to, std::move(bytes)});
  }
  void Step() {
    constexpr Ms kEach = 5;
    now += kEach;
    while (!flights.empty() && flights.top().at <= now) {
      Flight one = flights.top();
      flights.pop();
      if (!Up(one.to))
        continue;
      Front& f = fronts[one.to];
      if (auto p = DecodePoll(one.bytes)) {
        if (auto r = f.shares->HandlePoll(f.clock(now), *p))
          Send(one.to, one.from, Encode(*r));
      } else if (auto g = DecodeGrant(one.bytes)) {
        f.shares->HandleGrant(f.clock(now), *g);
      } else if (auto r = DecodeReport(one.bytes);
                 r && at == static_cast<int>(one.to) && allocator) {
        allocator->HandleReport(f.clock(now), one.from, *r);
      }
    }
    // The allocator runs while its lease is renewed: it stops one lease after it last reached a
    // majority, and the next may start half a lease after that.
    if (at >= 0) {
      auto a = static_cast<std::size_t>(at);
      if (Quorate(a))
        owns_until = now + settings.lease;
      if (now >= owns_until && lost_at < 0)
        lost_at = now;
      if (now >= owns_until) {
        at = -1;
        allocator.reset();
      }
    } else if (now >= lost_at + settings.lease / 2) {
      Appoint();
    }
    if (at >= 0 && Up(static_cast<std::size_t>(at)) && allocator) {
      Front& f = fronts[static_cast<std::size_t>(at)];
      Ms clock = f.clock(now);
      if (now >= poll_at) {
        Poll p = allocator->StartRound(clock);
        poll_at = now + settings.round_period;
        allocate_at = now + settings.round_period / 2;
        for (std::size_t i = 0; i < fronts.size(); ++i)
          if (static_cast<int>(i) != at)
            Send(static_cast<Id>(at), static_cast<Id>(i), Encode(p));
        if (auto r = f.shares->HandlePoll(clock, p))
          allocator->HandleReport(clock, static_cast<Id>(at), *r);
      }
      if (now >= allocate_at) {
        allocate_at = 1e300;
        for (auto& [id, g] : allocator->Allocate(clock)) {
          if (static_cast<int>(id) == at)
            f.shares->HandleGrant(clock, g);
          else
            Send(static_cast<Id>(at), id, Encode(g));
        }
      }
    }
    double sum = 0, got = 0;
    for (Front& f : fronts) {
      if (!f.up)
        continue;
      Ms clock = f.clock(now);
      sum += f.shares->Share(clock, 0);  // a paused front may spend it as soon as it resumes
      if (!f.shares->IsLeaseExpired(clock))
        run.oldest = std::max(run.oldest, f.shares->ShareAge(clock));
      if (f.paused)
        continue;
      for (f.due += f.want * kEach / 1000; f.due >= 1; f.due -= 1) {
        f.shares->RecordDemand(clock, 0);
        f.fixed->RecordDemand(clock, 0);
        bool has = f.shares->TryAcquire(clock, 0), fixed = f.fixed->TryAcquire(clock, 0);
        got += has;
        run.used += has;
        run.used_fixed += fixed;
        if (calm) {
          run.calm_asked += 1;
          run.calm_used += has;
          run.calm_fixed += fixed;
        }
      }
    }
    run.excess = std::max(run.excess, sum - limits[0].per_s);
    spent.emplace_back(now, got);
    // Over the windows of 0.5, 1 and 3 s that end now.
    while (!spent.empty() && spent.front().first < now - 3000)
      spent.erase(spent.begin());
    for (double w : {0.5, 1.0, 3.0}) {
      double all = 0;
      for (auto it = spent.rbegin(); it != spent.rend() && it->first > now - w * 1000; ++it)
        all += it->second;
      // Each front may have one request in progress between two steps.
      run.over_bound =
          std::max(run.over_bound, all - MaxSpent(limits[0], w) * (1 + settings.clock_drift) -
                                       static_cast<double>(fronts.size()));
    }
  }
  void Until(Ms t) {
    while (now < t)
      Step();
  }
  void Cut(std::vector<std::size_t> group, bool on) {
    for (std::size_t a : group)
      for (std::size_t b = 0; b < fronts.size(); ++b)
        if (!std::count(group.begin(), group.end(), b)) {
          cuts[a][b] += on ? 1 : -1;
          cuts[b][a] += on ? 1 : -1;
        }
  }
};

Run RunWithFaults(std::uint64_t seed, Settings fronts = {}, Settings allocators = {}) {
  Sim s(9, seed, fronts, allocators);
  for (auto& f : s.fronts)
    f.want = 120 * s.Unit();  // 540 on average, with a limit of 300
  s.Until(6000);
  std::vector<std::pair<Ms, std::function<void()>>> undo;
  auto until = [&](Ms t) {
    while (true) {
      auto next = std::min_element(undo.begin(), undo.end(),
                                   [](auto& a, auto& b) { return a.first < b.first; });
      if (next == undo.end() || next->first > t)
        break;
      s.Until(next->first);
      auto what = next->second;
      undo.erase(next);
      what();
    }
    s.Until(t);
  };
  for (int i = 0; i < 10; ++i) {
    until(s.now + 300 + 2500 * s.Unit());
    Ms lasts = 500 + 8000 * s.Unit();
    std::size_t who = static_cast<std::size_t>(s.Unit() * 9);
    if (s.at >= 0 && s.Unit() < 0.4)
      who = static_cast<std::size_t>(s.at);
    switch (static_cast<int>(s.Unit() * 8)) {
      case 0:
        s.Cut({who}, true);
        undo.emplace_back(s.now + lasts, [&s, who] { s.Cut({who}, false); });
        break;
      case 1: {
        std::vector<std::size_t> group{who, (who + 1) % 9, (who + 2) % 9};
        s.Cut(group, true);
        undo.emplace_back(s.now + lasts, [&s, group] { s.Cut(group, false); });
        break;
      }
      case 2: {
        std::vector<std::size_t> half{0, 2, 4, 6};
        s.Cut(half, true);
        undo.emplace_back(s.now + lasts, [&s, half] { s.Cut(half, false); });
        break;
      }
      case 3:
        if (s.Up(who)) {
          s.fronts[who].paused = true;
          undo.emplace_back(s.now + lasts, [&s, who] { s.fronts[who].paused = false; });
        }
        break;
      case 4:
        s.fronts[who].up = false;
        if (s.at == static_cast<int>(who)) {
          s.at = -1;
          s.lost_at = s.now + s.settings.lease;
        }
        undo.emplace_back(s.now + lasts, [&s, who] { s.Start(who); });
        break;
      case 5:
        s.extra = 2500 * s.Unit();
        undo.emplace_back(s.now + lasts, [&s] { s.extra = 0; });
        break;
      case 6:
        s.loss = 0.4 * s.Unit();
        undo.emplace_back(s.now + lasts, [&s] { s.loss = 0; });
        break;
      case 7: {  // a burst in one zone
        std::vector<double> was;
        for (auto& f : s.fronts)
          was.push_back(f.want);
        for (std::size_t k = 0; k < 3; ++k)
          s.fronts[(who + k) % 9].want = 300 * s.Unit();
        undo.emplace_back(s.now + lasts, [&s, was] {
          for (std::size_t k = 0; k < 9; ++k)
            s.fronts[k].want = was[k];
        });
        break;
      }
    }
  }
  until(s.now + 9000);
  return s.run;
}

// No faults, but uneven demand: one front of each three has nearly all of it.
Run RunWithUnevenDemand(std::uint64_t seed) {
  Sim s(9, seed);
  for (std::size_t i = 0; i < 9; ++i)
    s.fronts[i].want = i % 3 == 0 ? 150 : 3;
  s.Until(10000);
  s.calm = true;
  s.Until(30000);
  return s.run;
}

// Time from the heal of a partition until every front has at least nine tenths of its share before
// it. `lost`: the allocator is in the smaller partition, so that another one has taken over.
Ms TimeUntilFair(std::uint64_t seed, bool lost) {
  Sim s(9, seed);
  for (std::size_t i = 0; i < 9; ++i)
    s.fronts[i].want = i % 3 == 0 ? 150 : 3;
  s.Until(9000);
  std::vector<std::size_t> group;
  for (std::size_t i = 0; group.size() < 3; ++i)
    if (static_cast<int>(i) != s.at)
      group.push_back(i);
  if (lost)
    group[0] = static_cast<std::size_t>(s.at);
  std::vector<double> before;
  for (auto& f : s.fronts)
    before.push_back(f.shares->Share(f.clock(s.now), 0));
  s.Cut(group, true);
  s.Until(s.now + 8000);
  s.Cut(group, false);
  Ms healed = s.now;
  // What fronts with little demand hold beyond it is distributed evenly and varies: only the share
  // up to the demand must be restored.
  auto fair = [&] {
    for (std::size_t i = 0; i < 9; ++i)
      if (s.fronts[i].shares->Share(s.fronts[i].clock(s.now), 0) <
          0.9 * std::min(before[i], s.fronts[i].want))
        return false;
    return true;
  };
  while (!fair() && s.now < healed + 60000)
    s.Step();
  assert(s.run.excess <= kSlack);
  return s.now - healed;
}

// Time from when two fronts first observe that the protected resource is overloaded until all
// fronts know the reduction.
Ms TimeUntilReduced(std::uint64_t seed) {
  Sim s(9, seed);
  for (auto& f : s.fronts)
    f.want = 30;
  s.Until(9000 + 37.0 * static_cast<double>(seed));
  Ms from = s.now;
  s.fronts[2].shares->SetOverloaded(0, true);
  s.fronts[7].shares->SetOverloaded(0, true);
  auto known = [&] {
    return std::all_of(s.fronts.begin(), s.fronts.end(),
                       [](auto& f) { return f.shares->Epoch() == 1 && f.shares->Factor(0) < 1; });
  };
  while (!known() && s.now < from + 60000)
    s.Step();
  return s.now - from;
}

}  // namespace

int main(int argc, char** argv) {
  std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 60;  // more by hand
  DecodesCompleteMessagesOnly();
  FrontKeepsItsGrantUntilTheLeaseExpires();
  AllocatorRaisesOnlyFromUnreserved();
  ReductionsAreCommonToAllFronts();
  Run worst;
  double used = 0, fixed = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    Run r = RunWithFaults(seed);
    if (r.excess > kSlack || r.over_bound > 0)
      std::fprintf(stderr,
                   "seed %llu: shares above the limit by %.4f, spending above the bound by %.2f\n",
                   static_cast<unsigned long long>(seed), r.excess, r.over_bound);
    assert(r.excess <= kSlack && r.over_bound <= 0);
    worst.oldest = std::max(worst.oldest, r.oldest);
    worst.allocators += r.allocators;
    used += r.used;
    fixed += r.used_fixed;
  }
  assert(worst.oldest <= MaxShareAge(Settings{}) + kSlack);
  // The runs detect injected defects: an allocator that reserves a grant for too short a time, one
  // whose reservations ignore clock drift, and fronts that keep their shares beyond the lease.
  Settings brief, no_drift, wide, keeps;
  brief.lease = 300;
  no_drift.margin = 0;
  no_drift.clock_drift = 0;
  wide.clock_drift = 0.05;
  wide.margin = 0;
  keeps.lease = 9000;
  no_drift.lease = 2200;
  struct InjectedDefect {
    const char* name;
    Settings fronts;
    Settings allocators;
  };
  for (const InjectedDefect& b :
       {InjectedDefect{"reserves for a moment", {}, brief},
        InjectedDefect{"reserves for less than the lease", wide, no_drift},
        InjectedDefect{"keeps shares beyond the lease", keeps, {}}}) {
    bool caught = false;
    for (std::uint64_t seed = 1; seed <= 40 && !caught; ++seed)
      caught = RunWithFaults(seed, b.fronts, b.allocators).excess > 1;
    if (!caught)
      std::fprintf(stderr, "injected defect not detected: %s\n", b.name);
    assert(caught);
  }
  Run calm = RunWithUnevenDemand(1);
  double share = calm.calm_used / (300 * 20), split = calm.calm_fixed / (300 * 20);
  std::printf(
      "%llu runs with faults, %d allocators: shares never above the limit, oldest share %.0f ms; "
      "admitted %.0f, with a fixed split %.0f\n",
      static_cast<unsigned long long>(seeds), worst.allocators, worst.oldest, used, fixed);
  std::printf(
      "uneven demand above the limit: %.1f%% of the limit used, with a fixed split %.1f%%\n",
      100 * share, 100 * split);
  assert(share > split);
  Ms max_fair_delay = 0, max_fair_delay_without_allocator = 0, max_reduction_delay = 0;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    max_fair_delay = std::max(max_fair_delay, TimeUntilFair(seed, false));
    max_fair_delay_without_allocator =
        std::max(max_fair_delay_without_allocator, TimeUntilFair(seed, true));
    max_reduction_delay = std::max(max_reduction_delay, TimeUntilReduced(seed));
  }
  std::printf(
      "fair after a healed partition: within %.0f ms, with the allocator partitioned %.0f (bound "
      "%.0f); a reduction known to all: %.0f (bound %.0f)\n",
      max_fair_delay, max_fair_delay_without_allocator, MaxFairnessDelay(Settings{}),
      max_reduction_delay, MaxReductionDelay(Settings{}));
  assert(max_fair_delay <= MaxFairnessDelay(Settings{}) &&
         max_fair_delay_without_allocator <= MaxFairnessDelay(Settings{}) &&
         max_reduction_delay <= MaxReductionDelay(Settings{}));
  std::puts("quota_test: all passed");
}
