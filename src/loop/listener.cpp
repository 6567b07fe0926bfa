#include "loop/listener.hpp"

#include <cerrno>
#include <system_error>

namespace dunlinwick::loop {

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
    taken_(Descriptor(loop_.ground(), fd));
    return true;
  }
  if (fd == -EINTR || fd == -ECONNABORTED) return true;
  if (fd == -EAGAIN || fd == -EWOULDBLOCK) return false;
  // Out of descriptors: the backlog stays readable, so polling on would spin. A moment later one may be free.
  constexpr Ms moment = 50;
  ++shortOfDescriptors;
  loop_.forget(fd_.get());
  loop_.cancel(again_);
  again_ = loop_.at(loop_.now() + moment, [this] {
    if (!paused_) resume();
  });
  return false;
}

void Listener::ready(short) {
  while (fd_ && !paused_ && acceptOne()) {
  }
}

}  // namespace dunlinwick::loop
