// An event loop on one environment: descriptors, timers, and the clock of everything that runs on
// it. Single-threaded; handlers outlive their watch.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <vector>

#include "loop/environment.hpp"

namespace dunlinwick::loop {

class Handler {
 public:
  virtual void OnReady(short events) = 0;

 protected:
  ~Handler() = default;
};

class Loop {
 public:
  explicit Loop(Environment& environment = PosixEnvironment()) : environment_(environment) {}
  Environment& environment() const {
    return environment_;
  }
  Ms now() const {
    return environment_.now() + clock_offset_;
  }
  // For tests, as if this time had passed.
  void AdvanceClock(Ms by) {
    clock_offset_ += by;
  }

  // Called again for a descriptor, it changes the events. A rarely polled descriptor is polled
  // every few milliseconds only.
  void WatchDescriptor(int fd, Handler& handler, short events, bool rarely_polled = false);
  void Unwatch(int fd);

  std::uint64_t RunAt(Ms when, std::function<void()> callback);
  void Cancel(std::uint64_t timer) {
    if (auto found = timer_times_.find(timer); found != timer_times_.end()) {
      timers_.erase({found->second, timer});
      timer_times_.erase(found);
    }
  }

  // Keeps an object that may still be on the call stack until the iteration ends.
  void DeferDelete(std::shared_ptr<void> object) {
    deferred_deletes_.push_back(std::move(object));
  }

  /// Where the bytes of one read are received before their connection stores them. Overwritten by
  /// the next read.
  std::span<char> read_buffer() {
    return read_buffer_;
  }
  /// When the last wait for descriptors returned: later events on them are not seen yet.
  Ms LastWaitEnded() const {
    return last_wait_ended_;
  }
  void RunOnce(Ms max_wait);  // waits for events or timers for at most `max_wait` and handles them
  void Run() {
    while (!stopped_)
      RunOnce(1000);
  }
  void Stop() {
    stopped_ = true;
  }
  bool IsStopped() const {
    return stopped_;
  }

 private:
  struct Watch {
    Handler* handler = nullptr;
    short events = 0;
    bool rarely_polled = false;
    // Distinguishes a descriptor from an earlier one of the same number.
    std::uint64_t generation = 0;
  };
  void RunTimers();
  /// Fills the array for poll(2) with the watched descriptors; with the rarely polled ones only if
  /// `poll_all`. False: some were omitted.
  bool CollectPolled(bool poll_all, std::vector<pollfd>& polled,
                     std::vector<std::uint64_t>& generations) const;
  int PollAll(std::vector<pollfd>& polled, std::vector<std::uint64_t>& generations);

  static constexpr std::size_t kReadBufferBytes = 1 << 14;

  Environment& environment_;
  std::vector<char> read_buffer_ = std::vector<char>(kReadBufferBytes);
  Ms clock_offset_ = 0;
  Ms last_full_poll_ = 0;
  Ms last_wait_ended_ = 0;
  bool stopped_ = false;
  std::uint64_t last_id_ = 0;
  std::vector<Watch> watches_;
  std::vector<pollfd> polled_;  // of the current iteration, as its watches were at its start
  std::vector<std::uint64_t> generations_;
  // By time and id; removed when due.
  std::map<std::pair<Ms, std::uint64_t>, std::function<void()>> timers_;
  std::map<std::uint64_t, Ms> timer_times_;              // of the same timers, by id
  std::vector<std::shared_ptr<void>> deferred_deletes_;  // emptied in each iteration
};

}  // namespace dunlinwick::loop
