// One loop on a ground: descriptors, timers and the one clock of what runs on it.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "loop/ground.hpp"

namespace dunlinwick::loop {

class Handler {
 public:
  virtual void ready(short events) = 0;

 protected:
  ~Handler() = default;
};

class Loop {
 public:
  explicit Loop(Ground& ground = system()) : ground_(ground) {}
  Ground& ground() const { return ground_; }
  Ms now() const { return ground_.now() + skipped_; }
  void skip(Ms by) { skipped_ += by; }  // for tests: so much time has passed

  // Again: changes the events. A patient one is looked at every few milliseconds only.
  void watch(int fd, Handler& handler, short events, bool patient = false);
  void forget(int fd);

  std::uint64_t at(Ms when, std::function<void()> what);
  void cancel(std::uint64_t timer) {
    if (auto found = timerAt_.find(timer); found != timerAt_.end()) {
      timers_.erase({found->second, timer});
      timerAt_.erase(found);
    }
  }

  // Keeps what may still be on the call stack until the turn is over.
  void bury(std::shared_ptr<void> what) { buried_.push_back(std::move(what)); }

  void turn(Ms longest);  // waits for events or timers, at most that long, and handles them
  void run() {
    while (!stopped_) turn(1000);
  }
  void stop() { stopped_ = true; }
  bool stopped() const { return stopped_; }

 private:
  struct Watch {
    Handler* handler = nullptr;
    short events = 0;
    bool patient = false;
    std::uint64_t since = 0;  // tells a descriptor from an earlier one of the same number
  };
  void runTimers();
  /// What is watched, as poll(2) takes it; the patient ones only where `all`. False: some were left out.
  bool gather(bool all, std::vector<pollfd>& polled, std::vector<std::uint64_t>& since) const;
  int lookAtAll(std::vector<pollfd>& polled, std::vector<std::uint64_t>& since);

  Ground& ground_;
  Ms skipped_ = 0, lookedAtAll_ = 0;
  bool stopped_ = false;
  std::uint64_t last_ = 0;
  std::vector<Watch> byFd_;
  std::vector<pollfd> polled_;          // of the present turn, as its watches were then
  std::vector<std::uint64_t> since_;
  std::map<std::pair<Ms, std::uint64_t>, std::function<void()>> timers_;  // emptied as they fall due
  std::map<std::uint64_t, Ms> timerAt_;                                   // the same
  std::vector<std::shared_ptr<void>> buried_;                             // emptied every turn
};

}  // namespace dunlinwick::loop
