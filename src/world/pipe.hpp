// Where work is done: machines' sending and stores' links; for the model's files.
#pragma once
#include <algorithm>

#include "world/model.hpp"

namespace dunlinwick::world {

// Carries jobs at once, evenly, each at `most` times full pace at the most. One virtual clock
// serves all jobs, since all run at one pace: a job is done when that clock has moved on by its
// work.
struct Model::Pipe {
  Pipe(Model& model, double c, double most) : model_(model), capacity(c), most_(most) {}
  ~Pipe() {
    *alive_ = false;
  }

  std::uint64_t Add(Ms now, double work, std::function<void(Ms)> done) {
    Move(now);
    std::uint64_t id = ++model_.last_;
    jobs_[{clock_ + work, id}] = std::move(done);
    plan();
    return id;
  }
  // Returns what was left of its work; -1 if it was not there.
  double Remove(Ms now, std::uint64_t id) {
    Move(now);
    for (auto at = jobs_.begin(); at != jobs_.end(); ++at)
      if (at->first.second == id) {
        double left = at->first.first - clock_;
        jobs_.erase(at);
        plan();
        return left;
      }
    return -1;
  }
  void Change(Ms now, double c) {
    if (c == capacity)
      return;
    Move(now);
    capacity = c;
    plan();
  }
  void Stop(Ms now, bool stopped) {
    Move(now);
    stopped_ = stopped;
    plan();
  }
  std::size_t Count() const {
    return jobs_.size();
  }
  double level() const {
    return capacity > 0 ? static_cast<double>(jobs_.size()) / capacity : 0;
  }

 private:
  double Pace() const {
    if (stopped_ || jobs_.empty())
      return 0;
    double n = static_cast<double>(jobs_.size());
    double crowding = slows ? 1 + 0.15 * std::max(0.0, n / capacity - 1) : 1;
    return std::min(most_, capacity / n / crowding);
  }
  void Move(Ms now) {
    clock_ += Pace() * std::max(0.0, now - at_);
    at_ = std::max(at_, now);
  }
  void plan() {
    ++plan_;
    double p = Pace();
    if (jobs_.empty() || p <= 0)
      return;
    Ms due = at_ + std::max(0.0, jobs_.begin()->first.first - clock_) / p;
    model_.at_(due, [this, alive = alive_, plan = plan_, due] {
      if (*alive && plan == plan_)
        Finish(due);
    });
  }
  void Finish(Ms now) {
    // Unix milliseconds in a double step by 0.0002: what is left below that would never be worked
    // off.
    constexpr double kRounding = 0.002;
    Move(now);
    std::vector<std::function<void(Ms)>> done;
    while (!jobs_.empty() && jobs_.begin()->first.first <= clock_ + kRounding) {
      done.push_back(std::move(jobs_.begin()->second));
      jobs_.erase(jobs_.begin());
    }
    plan();
    auto alive = alive_;
    for (auto& one : done)
      one(now);  // may end this pipe
  }

  Model& model_;

 public:
  double capacity;
  bool slows = false;  // when crowded

 private:
  double most_;
  double clock_ = 0;
  Ms at_ = 0;
  bool stopped_ = false;
  std::uint64_t plan_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::map<std::pair<double, std::uint64_t>, std::function<void(Ms)>>
      jobs_;  // by the clock at their end
};

}  // namespace dunlinwick::world
