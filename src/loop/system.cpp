// The machine's own ground: poll(2), TCP and UDP over IPv4.
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <limits>

#include "loop/ground.hpp"

namespace dunlinwick::loop {
namespace {

template <class Clock>
Ms ms() {
  return std::chrono::duration<double, std::milli>(Clock::now().time_since_epoch()).count();
}

template <class T>
T orError(T result) {
  return result < 0 ? static_cast<T>(-errno) : result;
}

void sendAtOnce(int fd) {
  int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

const sockaddr* plain(const Address& at) { return reinterpret_cast<const sockaddr*>(&at); }

class System final : public Ground {
 public:
  Ms now() override { return ms<std::chrono::steady_clock>() + offset_; }
  int wait(std::span<pollfd> watched, int ms) override {
    return orError(::poll(watched.data(), watched.size(), ms));
  }
  int openStream() override {
    int fd = orError(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (fd >= 0) sendAtOnce(fd);
    return fd;
  }
  int connect(int fd, const Address& to) override { return orError(::connect(fd, plain(to), sizeof to)); }
  int fault(int fd) override {
    int fault = 0;
    socklen_t size = sizeof fault;
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &fault, &size);
    return fault;
  }
  int listen(const Address& at) override {
    Descriptor fd(*this, orError(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)));
    int on = 1;
    if (!fd) return fd.get();
    if (::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
        ::bind(fd.get(), plain(at), sizeof at) != 0 || ::listen(fd.get(), SOMAXCONN) != 0)
      return -errno;
    return fd.release();
  }
  int accept(int fd) override {
    int got = orError(::accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (got >= 0) sendAtOnce(got);
    return got;
  }
  ssize_t receive(int fd, std::span<char> into) override {
    return orError(::recv(fd, into.data(), into.size(), 0));
  }
  ssize_t send(int fd, std::span<const iovec> parts) override {
    msghdr head{};
    head.msg_iov = const_cast<iovec*>(parts.data());
    head.msg_iovlen = parts.size();
    return orError(::sendmsg(fd, &head, MSG_NOSIGNAL));
  }
  void sayNoMore(int fd) override { ::shutdown(fd, SHUT_WR); }
  void close(int fd) override { ::close(fd); }
  void abort(int fd) override {
    linger now{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::close(fd);
  }
  int openDatagrams(const Address& at) override {
    Descriptor fd(*this, orError(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)));
    if (!fd) return fd.get();
    if (::bind(fd.get(), plain(at), sizeof at) != 0) return -errno;
    return fd.release();
  }
  ssize_t sendTo(int fd, std::span<const char> bytes, const Address& to) override {
    return orError(::sendto(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL, plain(to), sizeof to));
  }
  ssize_t receiveFrom(int fd, std::span<char> into, Address& from) override {
    socklen_t size = sizeof from;
    return orError(
        ::recvfrom(fd, into.data(), into.size(), 0, reinterpret_cast<sockaddr*>(&from), &size));
  }
  std::size_t descriptorLimit() override {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
      return std::numeric_limits<std::size_t>::max();
    return limit.rlim_cur;
  }

 private:
  Ms offset_ = ms<std::chrono::system_clock>() - ms<std::chrono::steady_clock>();
};

}  // namespace

Ground& system() {
  static System one;
  return one;
}

}  // namespace dunlinwick::loop
