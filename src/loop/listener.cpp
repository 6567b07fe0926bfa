#include "loop/listener.hpp"

#include <cerrno>
#include <system_error>

namespace dunlinwick::loop {

namespace {

// All other errors of accept(2) concern the one connection that it was about to return.
bool IsShortage(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

}  // namespace

Listener::Listener(Loop& loop, const Address& address, std::function<void(Descriptor)> on_accepted)
    : loop_(loop), on_accepted_(std::move(on_accepted)) {
  int fd = loop.environment().Listen(address);
  if (fd < 0)
    throw std::system_error(-fd, std::generic_category(), "cannot listen");
  descriptor_ = Descriptor(loop.environment(), fd);
  Resume();
}

void Listener::Pause() {
  paused_ = true;
  loop_.Unwatch(descriptor_.Get());
}

void Listener::Resume() {
  paused_ = false;
  if (descriptor_)
    loop_.WatchDescriptor(descriptor_.Get(), *this, POLLIN);
}

bool Listener::Drain() {
  unsigned long before = short_of_descriptors;
  while (descriptor_ && AcceptOne()) {
  }
  return short_of_descriptors == before;
}

void Listener::Close() {
  loop_.Cancel(resume_timer_);
  loop_.Unwatch(descriptor_.Get());
  descriptor_.Reset();
}

bool Listener::AcceptOne() {
  int fd = loop_.environment().Accept(descriptor_.Get());
  if (fd >= 0) {
    consecutive_failures_ = 0;
    on_accepted_(Descriptor(loop_.environment(), fd));
    return true;
  }
  if (fd == -EAGAIN || fd == -EWOULDBLOCK)
    return false;
  if (IsShortage(-fd)) {
    ++short_of_descriptors;
    PauseAfterFailure();
    return false;
  }
  // The next connection may be fine. More consecutive failures than peers would give up at one time
  // mean that the fault persists.
  constexpr int kMaxConsecutiveFailures = 64;
  if (++consecutive_failures_ < kMaxConsecutiveFailures)
    return true;
  consecutive_failures_ = 0;
  PauseAfterFailure();
  return false;
}

void Listener::PauseAfterFailure() {
  // By then a descriptor may be free.
  constexpr Ms kPauseDuration = 50;
  loop_.Unwatch(descriptor_.Get());
  loop_.Cancel(resume_timer_);
  resume_timer_ = loop_.RunAt(loop_.now() + kPauseDuration, [this] {
    if (!paused_)
      Resume();
  });
}

void Listener::OnReady(short) {
  while (descriptor_ && !paused_ && AcceptOne()) {
  }
}

}  // namespace dunlinwick::loop
