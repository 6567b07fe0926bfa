#include "loop/listener.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>

namespace dunlinwick::loop {

Listener::Listener(Loop& loop, const Address& at, std::function<void(Descriptor)> taken)
    : loop_(loop),
      fd_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      taken_(std::move(taken)) {
  int on = 1;
  if (!fd_ || ::setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      ::bind(fd_.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
      ::listen(fd_.get(), SOMAXCONN) != 0)
    throw std::system_error(errno, std::generic_category(), "cannot listen");
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

void Listener::close() {
  loop_.cancel(again_);
  loop_.forget(fd_.get());
  fd_.reset();
}

bool Listener::acceptOne() {
  int fd = ::accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd >= 0) {
    taken_(Descriptor(fd));
    return true;
  }
  if (errno == EINTR || errno == ECONNABORTED) return true;
  if (errno == EAGAIN || errno == EWOULDBLOCK) return false;
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
