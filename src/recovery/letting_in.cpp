#include "recovery/letting_in.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace dunlinwick::recovery {

namespace {
double Slow(const Terms& t) {
  return 1 + (t.grow - 1) / 4;
}
}  // namespace

Terms Fit(Terms terms, double from, double usual_miss) {
  terms.first = std::clamp(0.5 * from * usual_miss, 0.001, 1.0);
  terms.least = std::min(terms.least, terms.first);
  return terms;
}

Ms LettingInTakes(const Terms& t) {
  return (std::ceil(std::log(1 / t.least) / std::log(Slow(t))) + 2) * t.step_every;
}

LettingIn::LettingIn(const Terms& terms) : terms_(terms), share_(terms.first), halved_at_(-1e18) {}

void LettingIn::begin(Ms now) {
  next_ =
      now + terms_.step_every * (1 + static_cast<double>(terms_.zone) / std::max(1, terms_.zones));
}

void LettingIn::Crowded(Ms now, bool halve) {
  held_ = true;
  if (!halve || now - halved_at_ < terms_.step_every)
    return;
  edge_ = share_;
  halved_at_ = now;
  share_ = std::max(terms_.least, share_ / 2);
}

bool LettingIn::Step(Ms now) {
  if (now < next_)
    return false;
  next_ = std::max(next_ + terms_.step_every, now + terms_.step_every / 2);
  if (std::exchange(held_, false) && now - halved_at_ < 2 * terms_.step_every)
    return false;
  double by = edge_ > 0 && share_ > 0.75 * edge_ ? Slow(terms_) : terms_.grow;
  if (share_ > edge_)
    edge_ = 0;  // it bears more than it did
  share_ = std::min(1.0, share_ * by);
  return true;
}

std::vector<double> LettingIn::ByRequestClass(bool certain_only) const {
  std::size_t n = terms_.payoff.size();
  auto work = [&](std::size_t i) {
    return i < terms_.work.size() ? terms_.work[i] : 1.0;
  };
  std::vector<std::size_t> order(n);
  std::iota(order.begin(), order.end(), std::size_t{0});
  // Payoff is told for the work it takes; ties by number, so that all fronts let in the same.
  std::stable_sort(order.begin(), order.end(),
                   [&](auto a, auto b) { return terms_.payoff[a] > terms_.payoff[b]; });
  double total = 0;
  for (std::size_t i = 0; i < n; ++i)
    total += work(i);
  double left = share_ * total;
  std::vector<double> out(n, 0.0);
  for (std::size_t i : order) {
    if (certain_only && !(i < terms_.certain.size() && terms_.certain[i]))
      continue;
    double take = std::min(left, work(i));
    out[i] = work(i) > 0 ? take / work(i) : 1;
    left -= take;
  }
  return out;
}

}  // namespace dunlinwick::recovery
