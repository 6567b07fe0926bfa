// Schedules the transfers of a server or of a zone's link; internal to the model.
#pragma once
#include <algorithm>

#include "world/model.hpp"

namespace dunlinwick::world {

// Processor sharing: all transfers run at once at the same rate, at most `max_rate` times the full
// rate of a stream. So one virtual clock serves all: a transfer is done when that clock has
// advanced by its work.
struct Model::TransferScheduler {
  TransferScheduler(Model& model, double initial_capacity, double max_rate)
      : model_(model), capacity(initial_capacity), max_rate_(max_rate) {}
  ~TransferScheduler() {
    *alive_ = false;
  }

  std::uint64_t Add(Ms now, double work, std::function<void(Ms)> on_done) {
    Advance(now);
    std::uint64_t id = ++model_.last_id_;
    transfers_[{virtual_time_ + work, id}] = std::move(on_done);
    ScheduleNext();
    return id;
  }
  // Returns the work that was left, or -1 if there is no such transfer.
  double Remove(Ms now, std::uint64_t id) {
    Advance(now);
    for (auto transfer = transfers_.begin(); transfer != transfers_.end(); ++transfer)
      if (transfer->first.second == id) {
        double left = transfer->first.first - virtual_time_;
        transfers_.erase(transfer);
        ScheduleNext();
        return left;
      }
    return -1;
  }
  void SetCapacity(Ms now, double new_capacity) {
    if (new_capacity == capacity)
      return;
    Advance(now);
    capacity = new_capacity;
    ScheduleNext();
  }
  void SetStopped(Ms now, bool stopped) {
    Advance(now);
    stopped_ = stopped;
    ScheduleNext();
  }
  std::size_t TransferCount() const {
    return transfers_.size();
  }
  double Utilization() const {
    return capacity > 0 ? static_cast<double>(transfers_.size()) / capacity : 0;
  }

 private:
  double Rate() const {
    if (stopped_ || transfers_.empty())
      return 0;
    double count = static_cast<double>(transfers_.size());
    double contention = slows_under_load ? 1 + 0.15 * std::max(0.0, count / capacity - 1) : 1;
    return std::min(max_rate_, capacity / count / contention);
  }
  void Advance(Ms now) {
    virtual_time_ += Rate() * std::max(0.0, now - updated_at_);
    updated_at_ = std::max(updated_at_, now);
  }
  void ScheduleNext() {
    ++generation_;
    double rate = Rate();
    if (transfers_.empty() || rate <= 0)
      return;
    Ms due = updated_at_ + std::max(0.0, transfers_.begin()->first.first - virtual_time_) / rate;
    model_.schedule_(due, [this, alive = alive_, generation = generation_, due] {
      if (*alive && generation == generation_)
        Finish(due);
    });
  }
  void Finish(Ms now) {
    // A double holds Unix milliseconds in steps of about 0.0002: work below that would never be
    // finished.
    constexpr double kRounding = 0.002;
    Advance(now);
    std::vector<std::function<void(Ms)>> on_done;
    while (!transfers_.empty() && transfers_.begin()->first.first <= virtual_time_ + kRounding) {
      on_done.push_back(std::move(transfers_.begin()->second));
      transfers_.erase(transfers_.begin());
    }
    ScheduleNext();
    auto alive = alive_;
    for (auto& callback : on_done)
      callback(now);  // may destroy this scheduler
  }

  Model& model_;

 public:
  double capacity;
  bool slows_under_load = false;  // beyond its capacity

 private:
  double max_rate_;
  double virtual_time_ = 0;
  Ms updated_at_ = 0;
  bool stopped_ = false;
  std::uint64_t generation_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::map<std::pair<double, std::uint64_t>, std::function<void(Ms)>>
      transfers_;  // by the virtual time at which they are done, and id
};

}  // namespace dunlinwick::world
