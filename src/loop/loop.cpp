#include "loop/loop.hpp"

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <utility>

namespace dunlinwick::loop {

void Loop::watch(int fd, Handler& handler, short events, bool patient) {
  std::size_t at = static_cast<std::size_t>(fd);
  if (byFd_.size() <= at) byFd_.resize(at + 1);
  if (byFd_[at].handler != &handler) byFd_[at] = {&handler, events, patient, ++last_};
  byFd_[at].events = events;
  byFd_[at].patient = patient;
}

void Loop::forget(int fd) {
  if (fd >= 0 && static_cast<std::size_t>(fd) < byFd_.size()) byFd_[static_cast<std::size_t>(fd)] = {};
}

std::uint64_t Loop::at(Ms when, std::function<void()> what) {
  std::uint64_t timer = ++last_;
  timers_[{when, timer}] = std::move(what);
  timerAt_[timer] = when;
  return timer;
}

void Loop::runTimers() {
  // Only those due by now: one that is set anew for at once waits for the next turn, after the sockets.
  Ms due = now();
  std::uint64_t newest = last_;
  for (auto at = timers_.begin(); at != timers_.end() && at->first.first <= due;) {
    if (at->first.second > newest) {
      ++at;
      continue;
    }
    auto key = at->first;
    auto what = std::move(at->second);
    timers_.erase(at);
    timerAt_.erase(key.second);
    what();
    at = timers_.begin();
  }
}

bool Loop::gather(bool all, std::vector<pollfd>& polled, std::vector<std::uint64_t>& since) const {
  polled.clear();
  since.clear();
  bool complete = true;
  for (std::size_t fd = 0; fd < byFd_.size(); ++fd) {
    const Watch& watch = byFd_[fd];
    if (!watch.handler) continue;
    if (watch.patient && !all) {
      complete = false;
      continue;
    }
    polled.push_back({static_cast<int>(fd), watch.events, 0});
    since.push_back(watch.since);
  }
  return complete;
}

int Loop::lookAtAll(std::vector<pollfd>& polled, std::vector<std::uint64_t>& since) {
  gather(true, polled, since);
  lookedAtAll_ = now();
  return ground_.wait(polled, 0);
}

void Loop::turn(Ms longest) {
  // poll(2) costs by the descriptor. Most are of clients that wait for their answer, of whom only their
  // leaving can show; looked at in every turn, they took a third of a busy front's time.
  constexpr Ms patience = 5;
  Ms start = now();
  bool all = start - lookedAtAll_ >= patience, left = false;
  if (all) lookedAtAll_ = start;
  // Taken from the loop for the turn, in case a handler turns it again.
  std::vector<pollfd> polled = std::move(polled_);
  std::vector<std::uint64_t> since = std::move(since_);
  left = !gather(all, polled, since);
  if (!timers_.empty()) longest = std::min(longest, timers_.begin()->first.first - start);
  if (left) longest = std::min(longest, lookedAtAll_ + patience - start);
  int count = ground_.wait(polled, static_cast<int>(std::ceil(std::max(0.0, longest))));
  if (count < 0 && count != -EINTR) {
    // Without the rest a poll that keeps failing would spin. Waiting for time alone needs no memory for descriptors.
    constexpr Ms kRestAfterFailure = 5;
    ground_.wait({}, static_cast<int>(std::ceil(std::clamp(longest, 0.0, kRestAfterFailure))));
  }
  // The process may have stood still in the wait, with the patient ones left out of it: all are looked at before anything is done.
  bool timerIsDue = !timers_.empty() && timers_.begin()->first.first <= now();
  if (left && now() >= lookedAtAll_ + patience && (count > 0 || timerIsDue)) count = lookAtAll(polled, since);
  // The patient ones first: what shows there is a client that leaves, and whatever else came with it must not begin a thing for it
  // any more. Harm without: after a standstill of this process, an attempt begun as long after its client left.
  for (bool patient : {true, false})
    for (std::size_t i = 0; count > 0 && i < polled.size(); ++i) {
      const Watch& w = byFd_[static_cast<std::size_t>(polled[i].fd)];
      if (polled[i].revents == 0 || !w.handler || w.since != since[i] || (patient && !w.patient)) continue;
      w.handler->ready(std::exchange(polled[i].revents, 0));
    }
  runTimers();
  buried_.clear();
  polled_ = std::move(polled), since_ = std::move(since);
}

}  // namespace dunlinwick::loop
