#include "drill/hunt.hpp"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <mutex>
#include <thread>

namespace dunlinwick::drill {

Script Varied(const Script& script, std::uint64_t seed, double by) {
  if (by <= 0)
    return script;
  world::RandomEngine random_engine(seed * 11 + 7);
  Script s = script;
  auto moved = [&](double v) {
    return v * world::UniformBetween(random_engine, 1 - by, 1 + by);
  };
  for (Trouble& t : s.troubles) {
    t.at = std::min(moved(t.at), s.length - 1);
    t.lasts = moved(t.lasts);
    t.factor = std::max(1.0, moved(t.factor));
    t.share = std::min(1.0, moved(t.share));
    t.late = moved(t.late);
    if (t.count > 0)
      t.count = std::max(1, static_cast<int>(std::lround(moved(t.count))));
  }
  return s;
}

static bool Breaks(const Script& script, std::uint64_t seed, rules::Invariant rule,
                   const Breaker& breaker, Ms* when) {
  Options options;
  options.seed = seed;
  options.breaker = breaker;
  Outcome o = Play(script, options);
  for (const rules::Violation& b : o.breaches)
    if (b.invariant == rule) {
      if (when)
        *when = b.at;
      return true;
    }
  return false;
}

Script Shrink(const Script& script, std::uint64_t seed, rules::Invariant rule,
              const Breaker& breaker, int most, int& runs) {
  Script best = script;
  Ms when = script.length;
  runs = 0;
  // Kept where it still breaks the rule.
  auto attempt = [&](const Script& smaller) {
    if (runs >= most)
      return false;
    ++runs;
    Ms at = 0;
    if (!Breaks(smaller, seed, rule, breaker, &at))
      return false;
    best = smaller;
    when = at;
    return true;
  };
  if (!attempt(script))
    return script;
  bool better = true;
  while (better && runs < most) {
    better = false;
    // Nothing after the breach matters; a second is left for what it hangs on.
    Script s = best;
    s.length = std::max(1000.0, std::min(s.length, std::ceil((when + 1000) / 1000) * 1000));
    std::erase_if(s.troubles,
                  [&](const Trouble& t) { return t.when == Moment::kNone && t.at >= s.length; });
    if (s.length < best.length)
      better |= attempt(s);
    for (std::size_t i = best.troubles.size(); i-- > 0;) {
      s = best;
      s.troubles.erase(s.troubles.begin() + static_cast<long>(i));
      better |= attempt(s);
    }
    for (std::size_t i = 0; i < best.troubles.size(); ++i) {
      if (best.troubles[i].count > 1) {
        s = best;
        s.troubles[i].count /= 2;
        better |= attempt(s);
      }
      if (best.troubles[i].lasts > 500) {
        s = best;
        s.troubles[i].lasts = std::floor(s.troubles[i].lasts / 2);
        better |= attempt(s);
      }
    }
    auto smaller = [&](auto change) {
      s = best;
      change(s);
      if (Written(s) != Written(best))
        better |= attempt(s);
    };
    smaller([](Script& one) { one.idempotent_with_key = false; });
    smaller([](Script& one) { one.choppy = 0; });
    smaller([](Script& one) {
      one.requests_per_s = std::max(20.0, std::floor(one.requests_per_s / 2));
    });
    smaller([](Script& one) {
      int stores = std::max(1, one.stores / 2);
      one.caches = std::max(stores, one.caches * stores / one.stores);
      one.fronts = std::max(stores, one.fronts * stores / one.stores);
      one.stores = stores;
    });
  }
  return best;
}

Hunted Hunt(const Script& script, const HuntOptions& options) {
  std::vector<Found> all(options.seeds);
  std::atomic<std::uint64_t> next{0};
  std::mutex lock;
  std::uint64_t done = 0;
  std::exception_ptr fault;
  auto work = [&] {
    for (std::uint64_t i = next++; i < options.seeds; i = next++) {
      try {
        Found& f = all[i];
        f.seed = options.first + i;
        f.script = Varied(script, f.seed, options.vary);
        Options one;
        one.seed = f.seed;
        one.breaker = options.breaker;
        Outcome o = Play(f.script, one);
        f.service = o.takings.Service();
        f.digest = o.digest;
        f.breaches = o.breaches;
      } catch (...) {
        std::lock_guard hold(lock);
        if (!fault)
          fault = std::current_exception();
        next = options.seeds;
      }
      std::lock_guard hold(lock);
      ++done;
      if (options.progress)
        options.progress(done);
    }
  };
  std::vector<std::thread> workers;
  for (int j = 0; j < std::max(1, options.jobs); ++j)
    workers.emplace_back(work);
  for (std::thread& t : workers)
    t.join();
  if (fault)
    std::rethrow_exception(fault);

  Hunted h;
  h.played = options.seeds;
  for (Found& f : all) {
    h.digest = (h.digest ^ f.digest) * 0x100000001b3ull;
    (f.breaches.empty() ? h.worst : h.failing).push_back(std::move(f));
  }
  std::stable_sort(h.worst.begin(), h.worst.end(),
                   [](const Found& a, const Found& b) { return a.service < b.service; });
  if (h.worst.size() > static_cast<std::size_t>(options.worst))
    h.worst.resize(static_cast<std::size_t>(options.worst));
  for (const Found& f : h.failing) {
    if (options.shrink_runs <= 0 ||
        h.shrunk.size() >= static_cast<std::size_t>(options.shrink_most))
      break;
    Hunted::Shrunk s;
    s.seed = f.seed;
    s.rule = f.breaches.front().invariant;
    s.script = Shrink(f.script, f.seed, s.rule, options.breaker, options.shrink_runs, s.runs);
    s.script.name = script.name + "-" + std::to_string(f.seed);
    s.script.about = std::string("Cut down from ") + script.name + ": breaks '" +
                     rules::ToString(s.rule) + "' with seed " + std::to_string(f.seed) + ".";
    h.shrunk.push_back(std::move(s));
  }
  return h;
}

}  // namespace dunlinwick::drill
