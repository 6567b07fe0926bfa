#include "loop/loop.hpp"

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <utility>

namespace dunlinwick::loop {

void Loop::WatchDescriptor(int fd, Handler& handler, short events, bool rarely_polled) {
  std::size_t index = static_cast<std::size_t>(fd);
  if (watches_.size() <= index)
    watches_.resize(index + 1);
  if (watches_[index].handler != &handler)
    watches_[index] = {&handler, events, rarely_polled, ++last_id_};
  watches_[index].events = events;
  watches_[index].rarely_polled = rarely_polled;
}

void Loop::Unwatch(int fd) {
  if (fd >= 0 && static_cast<std::size_t>(fd) < watches_.size())
    watches_[static_cast<std::size_t>(fd)] = {};
}

std::uint64_t Loop::RunAt(Ms when, std::function<void()> callback) {
  std::uint64_t timer = ++last_id_;
  timers_[{when, timer}] = std::move(callback);
  timer_times_[timer] = when;
  return timer;
}

void Loop::RunTimers() {
  // Only timers that exist by now: one that a callback sets without a delay runs in the next
  // iteration, after the sockets.
  Ms due = now();
  std::uint64_t newest = last_id_;
  for (auto timer = timers_.begin(); timer != timers_.end() && timer->first.first <= due;) {
    if (timer->first.second > newest) {
      ++timer;
      continue;
    }
    auto key = timer->first;
    auto callback = std::move(timer->second);
    timers_.erase(timer);
    timer_times_.erase(key.second);
    callback();
    timer = timers_.begin();
  }
}

bool Loop::CollectPolled(bool poll_all, std::vector<pollfd>& polled,
                         std::vector<std::uint64_t>& generations) const {
  polled.clear();
  generations.clear();
  bool complete = true;
  for (std::size_t fd = 0; fd < watches_.size(); ++fd) {
    const Watch& watch = watches_[fd];
    if (!watch.handler)
      continue;
    if (watch.rarely_polled && !poll_all) {
      complete = false;
      continue;
    }
    polled.push_back({static_cast<int>(fd), watch.events, 0});
    generations.push_back(watch.generation);
  }
  return complete;
}

int Loop::PollAll(std::vector<pollfd>& polled, std::vector<std::uint64_t>& generations) {
  CollectPolled(true, polled, generations);
  last_full_poll_ = now();
  return environment_.Wait(polled, 0);
}

void Loop::RunOnce(Ms max_wait) {
  // The cost of poll(2) grows with the number of descriptors. Most of them belong to clients that
  // wait for their answer, on which only a disconnect can be seen; polled in every iteration, they
  // took a third of a busy front's time.
  constexpr Ms kFullPollInterval = 5;
  Ms start = now();
  bool poll_all = start - last_full_poll_ >= kFullPollInterval, some_omitted = false;
  if (poll_all)
    last_full_poll_ = start;
  // Moved out of the members, in case a handler runs the loop recursively.
  std::vector<pollfd> polled = std::move(polled_);
  std::vector<std::uint64_t> generations = std::move(generations_);
  some_omitted = !CollectPolled(poll_all, polled, generations);
  if (!timers_.empty())
    max_wait = std::min(max_wait, timers_.begin()->first.first - start);
  if (some_omitted)
    max_wait = std::min(max_wait, last_full_poll_ + kFullPollInterval - start);
  int count = environment_.Wait(polled, static_cast<int>(std::ceil(std::max(0.0, max_wait))));
  if (count < 0 && count != -EINTR) {
    // Without the pause a poll(2) that keeps failing would spin. Waiting for time alone needs no
    // memory for descriptors.
    constexpr Ms kPauseAfterFailure = 5;
    environment_.Wait({},
                      static_cast<int>(std::ceil(std::clamp(max_wait, 0.0, kPauseAfterFailure))));
  }
  // The process may have been suspended during the wait, which left out the rarely polled
  // descriptors: all are polled before anything is done.
  bool timer_is_due = !timers_.empty() && timers_.begin()->first.first <= now();
  if (some_omitted && now() >= last_full_poll_ + kFullPollInterval && (count > 0 || timer_is_due))
    count = PollAll(polled, generations);
  last_wait_ended_ = now();
  // The rarely polled descriptors first: an event there is a client's disconnect, and events that
  // arrived with it must not start any work for that client. Otherwise, after the process was
  // suspended, an attempt could start long after its client left.
  for (bool rarely_polled : {true, false})
    for (std::size_t i = 0; count > 0 && i < polled.size(); ++i) {
      const Watch& watch = watches_[static_cast<std::size_t>(polled[i].fd)];
      if (polled[i].revents == 0 || !watch.handler || watch.generation != generations[i] ||
          (rarely_polled && !watch.rarely_polled))
        continue;
      watch.handler->OnReady(std::exchange(polled[i].revents, 0));
    }
  RunTimers();
  deferred_deletes_.clear();
  polled_ = std::move(polled);
  generations_ = std::move(generations);
}

}  // namespace dunlinwick::loop
