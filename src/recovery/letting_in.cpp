#include "recovery/letting_in.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace dunlinwick::recovery {

namespace {
double SlowGrowthFactor(const Settings& t) {
  return 1 + (t.growth_factor - 1) / 4;
}
}  // namespace

Settings FitToCapacity(Settings settings, double initial_capacity, double usual_miss_ratio) {
  settings.initial_share = std::clamp(0.5 * initial_capacity * usual_miss_ratio, 0.001, 1.0);
  settings.min_share = std::min(settings.min_share, settings.initial_share);
  return settings;
}

Ms AdmissionRampDuration(const Settings& t) {
  return (std::ceil(std::log(1 / t.min_share) / std::log(SlowGrowthFactor(t))) + 2) *
         t.step_interval;
}

AdmissionRamp::AdmissionRamp(const Settings& settings)
    : settings_(settings), share_(settings.initial_share), last_halved_at_(-1e18) {}

void AdmissionRamp::Start(Ms now) {
  next_step_at_ = now + settings_.step_interval * (1 + static_cast<double>(settings_.zone) /
                                                           std::max(1, settings_.zones));
}

void AdmissionRamp::OnOverload(Ms now, bool halve) {
  overloaded_since_step_ = true;
  if (!halve || now - last_halved_at_ < settings_.step_interval)
    return;
  last_overload_share_ = share_;
  last_halved_at_ = now;
  share_ = std::max(settings_.min_share, share_ / 2);
}

bool AdmissionRamp::Step(Ms now) {
  if (now < next_step_at_)
    return false;
  next_step_at_ =
      std::max(next_step_at_ + settings_.step_interval, now + settings_.step_interval / 2);
  if (std::exchange(overloaded_since_step_, false) &&
      now - last_halved_at_ < 2 * settings_.step_interval)
    return false;
  double factor = last_overload_share_ > 0 && share_ > 0.75 * last_overload_share_
                      ? SlowGrowthFactor(settings_)
                      : settings_.growth_factor;
  if (share_ > last_overload_share_)
    last_overload_share_ = 0;  // it now serves more than at the last overload
  share_ = std::min(1.0, share_ * factor);
  return true;
}

std::vector<double> AdmissionRamp::ByRequestClass(bool certain_only) const {
  std::size_t class_count = settings_.priority_weights.size();
  auto work_of = [&](std::size_t i) {
    return i < settings_.class_work.size() ? settings_.class_work[i] : 1.0;
  };
  std::vector<std::size_t> order(class_count);
  std::iota(order.begin(), order.end(), std::size_t{0});
  // The weights are per unit of work. Ties go by class number, so that all fronts admit the same.
  std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) {
    return settings_.priority_weights[a] > settings_.priority_weights[b];
  });
  double total = 0;
  for (std::size_t i = 0; i < class_count; ++i)
    total += work_of(i);
  double remaining = share_ * total;
  std::vector<double> shares(class_count, 0.0);
  for (std::size_t i : order) {
    if (certain_only && !(i < settings_.certain_classes.size() && settings_.certain_classes[i]))
      continue;
    double admitted_work = std::min(remaining, work_of(i));
    shares[i] = work_of(i) > 0 ? admitted_work / work_of(i) : 1;
    remaining -= admitted_work;
  }
  return shares;
}

}  // namespace dunlinwick::recovery
