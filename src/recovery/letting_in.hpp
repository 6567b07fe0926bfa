// Which share of its usual work a front admits, and which request classes first. Pure. Each front
// takes its steps independently; the total over all fronts is bounded because each starts at a
// share of what cold parents can serve to the whole fleet, and all fronts learn of an overload.
#pragma once
#include <vector>

#include "recovery/recovery.hpp"

namespace dunlinwick::recovery {

class AdmissionRamp {
 public:
  explicit AdmissionRamp(const Settings& settings);
  void Start(Ms now);  // from the current share; zones step one after the other within an interval
  void AdmitAll() {
    share_ = 1;
  }
  void Restart() {
    share_ = std::min(share_, settings_.initial_share);
    last_overload_share_ = 0;
  }
  void OnOverload(Ms now, bool halve);
  bool Step(Ms now);  // true if a step was taken
  double Share() const {
    return share_;
  }
  Ms NextStepAt() const {
    return next_step_at_;
  }
  // The admitted share of each request class: those with the highest priority weight first until
  // `share` of the usual work is admitted. With `certain_only`, the other classes get 0.
  std::vector<double> ByRequestClass(bool certain_only) const;

 private:
  const Settings& settings_;
  double share_;
  double last_overload_share_ = 0;  // the share at the last overload
  Ms next_step_at_ = 0;
  Ms last_halved_at_;
  bool overloaded_since_step_ = false;
};
// From the minimum share to everything, by slow steps alone and without an overload.
Ms AdmissionRampDuration(const Settings& settings);

}  // namespace dunlinwick::recovery
