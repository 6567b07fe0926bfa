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
  virtual void Ready(short events) = 0;

 protected:
  ~Handler() = default;
};

class Loop {
 public:
  explicit Loop(Environment& environment = MakeSystem()) : environment_(environment) {}
  Environment& environment() const {
    return environment_;
  }
  Ms now() const {
    return environment_.now() + skipped_;
  }
  void Skip(Ms by) {
    skipped_ += by;
  }  // for tests: so much time has passed

  // Again: changes the events. A patient one is looked at every few milliseconds only.
  void WatchDescriptor(int fd, Handler& handler, short events, bool patient = false);
  void Forget(int fd);

  std::uint64_t at(Ms when, std::function<void()> what);
  void Cancel(std::uint64_t timer) {
    if (auto found = timer_at_.find(timer); found != timer_at_.end()) {
      timers_.erase({found->second, timer});
      timer_at_.erase(found);
    }
  }

  // Keeps what may still be on the call stack until the turn is over.
  void Bury(std::shared_ptr<void> what) {
    buried_.push_back(std::move(what));
  }

  /// When the last wait for descriptors returned: what has happened to them since is not seen yet.
  Ms LastWaitEnded() const {
    return last_wait_ended_;
  }
  void turn(Ms longest);  // waits for events or timers, at most that long, and handles them
  void Run() {
    while (!stopped_)
      turn(1000);
  }
  void Stop() {
    stopped_ = true;
  }
  bool Stopped() const {
    return stopped_;
  }

 private:
  struct Watch {
    Handler* handler = nullptr;
    short events = 0;
    bool patient = false;
    std::uint64_t since = 0;  // tells a descriptor from an earlier one of the same number
  };
  void RunTimers();
  /// What is watched, as poll(2) takes it; the patient ones only where `all`. False: some were left
  /// out.
  bool Gather(bool all, std::vector<pollfd>& polled, std::vector<std::uint64_t>& since) const;
  int LookAtAll(std::vector<pollfd>& polled, std::vector<std::uint64_t>& since);

  Environment& environment_;
  Ms skipped_ = 0;
  Ms looked_at_all_ = 0;
  Ms last_wait_ended_ = 0;
  bool stopped_ = false;
  std::uint64_t last_ = 0;
  std::vector<Watch> by_fd_;
  std::vector<pollfd> polled_;  // of the present turn, as its watches were then
  std::vector<std::uint64_t> since_;
  std::map<std::pair<Ms, std::uint64_t>, std::function<void()>>
      timers_;                                 // emptied as they fall due
  std::map<std::uint64_t, Ms> timer_at_;       // the same
  std::vector<std::shared_ptr<void>> buried_;  // emptied every turn
};

}  // namespace dunlinwick::loop
