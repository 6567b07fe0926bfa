#include "loop/listener.hpp"

#include <cerrno>
#include <system_error>

namespace dunlinwick::loop {

namespace {

// Everything else that accept(2) fails with concerns the one connection it was about to hand over.
bool IsShortage(int error) { return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM; }

}  // namespace

Listener::Listener(Loop& loop, const Address& at, std::function<void(Descriptor)> taken)
    : loop_(loop), taken_(std::move(taken)) {
  int fd = loop.ground().listen(at);
  if (fd < 0) throw std::system_error(-fd, std::generic_category(), "cannot listen");
  fd_ = Descriptor(loop.ground(), fd);
  resume();
}

void Listener::pause() {
  paused_ = true;
  loop_.forget(fd_.get());
}

void Listener::resume() {
  paused_ = false;
  if (fd_) loop_.watch(fd_.get(), *this, POLLIN);
}

bool Listener::drain() {
  unsigned long before = shortOfDescriptors;
  while (fd_ && acceptOne()) {
  }
  return shortOfDescriptors == before;
}

void Listener::close() {
  loop_.cancel(again_);
  loop_.forget(fd_.get());
  fd_.reset();
}

bool Listener::acceptOne() {
  int fd = loop_.ground().accept(fd_.get());
  if (fd >= 0) {
    failed_in_row_ = 0;
    taken_(Descriptor(loop_.ground(), fd));
    return true;
  }
  if (fd == -EAGAIN || fd == -EWOULDBLOCK) return false;
  if (IsShortage(-fd)) {
    ++shortOfDescriptors;
    Rest();
    return false;
  }
  // The next one may be well. Far more in a row than peers that give up in one moment are a fault that lasts.
  constexpr int kMostInRow = 64;
  if (++failed_in_row_ < kMostInRow) return true;
  failed_in_row_ = 0;
  Rest();
  return false;
}

void Listener::Rest() {
  // A moment later a descriptor may be free.
  constexpr Ms moment = 50;
  loop_.forget(fd_.get());
  loop_.cancel(again_);
  again_ = loop_.at(loop_.now() + moment, [this] {
    if (!paused_) resume();
  });
}

void Listener::ready(short) {
  while (fd_ && !paused_ && acceptOne()) {
  }
}

}  // namespace dunlinwick::loop
