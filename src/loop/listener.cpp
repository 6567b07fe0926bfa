#include "loop/listener.hpp"

#include <cerrno>
#include <system_error>

namespace dunlinwick::loop {

namespace {

// Everything else that accept(2) fails with concerns the one connection it was about to hand over.
bool IsShortage(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

}  // namespace

Listener::Listener(Loop& loop, const Address& at, std::function<void(Descriptor)> taken)
    : loop_(loop), taken_(std::move(taken)) {
  int fd = loop.environment().Listen(at);
  if (fd < 0)
    throw std::system_error(-fd, std::generic_category(), "cannot listen");
  fd_ = Descriptor(loop.environment(), fd);
  Resume();
}

void Listener::Pause() {
  paused_ = true;
  loop_.Forget(fd_.Get());
}

void Listener::Resume() {
  paused_ = false;
  if (fd_)
    loop_.WatchDescriptor(fd_.Get(), *this, POLLIN);
}

bool Listener::Drain() {
  unsigned long before = short_of_descriptors;
  while (fd_ && AcceptOne()) {
  }
  return short_of_descriptors == before;
}

void Listener::Close() {
  loop_.Cancel(again_);
  loop_.Forget(fd_.Get());
  fd_.Reset();
}

bool Listener::AcceptOne() {
  int fd = loop_.environment().Accept(fd_.Get());
  if (fd >= 0) {
    failed_in_row_ = 0;
    taken_(Descriptor(loop_.environment(), fd));
    return true;
  }
  if (fd == -EAGAIN || fd == -EWOULDBLOCK)
    return false;
  if (IsShortage(-fd)) {
    ++short_of_descriptors;
    Rest();
    return false;
  }
  // The next one may be well. Far more in a row than peers that give up in one moment are a fault
  // that lasts.
  constexpr int kMostInRow = 64;
  if (++failed_in_row_ < kMostInRow)
    return true;
  failed_in_row_ = 0;
  Rest();
  return false;
}

void Listener::Rest() {
  // A moment later a descriptor may be free.
  constexpr Ms kMoment = 50;
  loop_.Forget(fd_.Get());
  loop_.Cancel(again_);
  again_ = loop_.at(loop_.now() + kMoment, [this] {
    if (!paused_)
      Resume();
  });
}

void Listener::Ready(short) {
  while (fd_ && !paused_ && AcceptOne()) {
  }
}

}  // namespace dunlinwick::loop
