#include "loop/loop.hpp"

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <utility>

namespace dunlinwick::loop {

void Loop::WatchDescriptor(int fd, Handler& handler, short events, bool patient) {
  std::size_t at = static_cast<std::size_t>(fd);
  if (by_fd_.size() <= at)
    by_fd_.resize(at + 1);
  if (by_fd_[at].handler != &handler)
    by_fd_[at] = {&handler, events, patient, ++last_};
  by_fd_[at].events = events;
  by_fd_[at].patient = patient;
}

void Loop::Forget(int fd) {
  if (fd >= 0 && static_cast<std::size_t>(fd) < by_fd_.size())
    by_fd_[static_cast<std::size_t>(fd)] = {};
}

std::uint64_t Loop::at(Ms when, std::function<void()> what) {
  std::uint64_t timer = ++last_;
  timers_[{when, timer}] = std::move(what);
  timer_at_[timer] = when;
  return timer;
}

void Loop::RunTimers() {
  // Only those due by now: one that is set anew for at once waits for the next turn, after the
  // sockets.
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
    timer_at_.erase(key.second);
    what();
    at = timers_.begin();
  }
}

bool Loop::Gather(bool all, std::vector<pollfd>& polled, std::vector<std::uint64_t>& since) const {
  polled.clear();
  since.clear();
  bool complete = true;
  for (std::size_t fd = 0; fd < by_fd_.size(); ++fd) {
    const Watch& watch = by_fd_[fd];
    if (!watch.handler)
      continue;
    if (watch.patient && !all) {
      complete = false;
      continue;
    }
    polled.push_back({static_cast<int>(fd), watch.events, 0});
    since.push_back(watch.since);
  }
  return complete;
}

int Loop::LookAtAll(std::vector<pollfd>& polled, std::vector<std::uint64_t>& since) {
  Gather(true, polled, since);
  looked_at_all_ = now();
  return environment_.Wait(polled, 0);
}

void Loop::turn(Ms longest) {
  // poll(2) costs by the descriptor. Most are of clients that wait for their answer, of whom only
  // their leaving can show; looked at in every turn, they took a third of a busy front's time.
  constexpr Ms kTimeout = 5;
  Ms start = now();
  bool all = start - looked_at_all_ >= kTimeout, left = false;
  if (all)
    looked_at_all_ = start;
  // Taken from the loop for the turn, in case a handler turns it again.
  std::vector<pollfd> polled = std::move(polled_);
  std::vector<std::uint64_t> since = std::move(since_);
  left = !Gather(all, polled, since);
  if (!timers_.empty())
    longest = std::min(longest, timers_.begin()->first.first - start);
  if (left)
    longest = std::min(longest, looked_at_all_ + kTimeout - start);
  int count = environment_.Wait(polled, static_cast<int>(std::ceil(std::max(0.0, longest))));
  if (count < 0 && count != -EINTR) {
    // Without the rest a poll that keeps failing would spin. Waiting for time alone needs no memory
    // for descriptors.
    constexpr Ms kRestAfterFailure = 5;
    environment_.Wait({}, static_cast<int>(std::ceil(std::clamp(longest, 0.0, kRestAfterFailure))));
  }
  // The process may have stood still in the wait, with the patient ones left out of it: all are
  // looked at before anything is done.
  bool timer_is_due = !timers_.empty() && timers_.begin()->first.first <= now();
  if (left && now() >= looked_at_all_ + kTimeout && (count > 0 || timer_is_due))
    count = LookAtAll(polled, since);
  last_wait_ended_ = now();
  // The patient ones first: what shows there is a client that leaves, and whatever else came with
  // it must not begin a thing for it any more. Harm without: after a standstill of this process, an
  // attempt begun as long after its client left.
  for (bool patient : {true, false})
    for (std::size_t i = 0; count > 0 && i < polled.size(); ++i) {
      const Watch& w = by_fd_[static_cast<std::size_t>(polled[i].fd)];
      if (polled[i].revents == 0 || !w.handler || w.since != since[i] || (patient && !w.patient))
        continue;
      w.handler->Ready(std::exchange(polled[i].revents, 0));
    }
  RunTimers();
  buried_.clear();
  polled_ = std::move(polled);
  since_ = std::move(since);
}

}  // namespace dunlinwick::loop
