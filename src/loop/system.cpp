// The POSIX environment: poll(2), TCP and UDP over IPv4.
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstddef>
#include <limits>

#include "loop/environment.hpp"

namespace dunlinwick::loop {
namespace {

template <class Clock>
Ms Milliseconds() {
  return std::chrono::duration<double, std::milli>(Clock::now().time_since_epoch()).count();
}

template <class T>
T ResultOrErrno(T result) {
  return result < 0 ? static_cast<T>(-errno) : result;
}

void DisableSendDelay(int fd) {
  int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

const sockaddr* AsSockaddr(const Address& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

class SystemCallEnvironment final : public Environment {
 public:
  Ms now() override {
    return Milliseconds<std::chrono::steady_clock>() + offset_;
  }
  int Wait(std::span<pollfd> watched, int ms) override {
    return ResultOrErrno(::poll(watched.data(), watched.size(), ms));
  }
  int OpenStream() override {
    int fd = ResultOrErrno(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (fd >= 0)
      DisableSendDelay(fd);
    return fd;
  }
  int Connect(int fd, const Address& to) override {
    return ResultOrErrno(::connect(fd, AsSockaddr(to), sizeof to));
  }
  int SocketError(int fd) override {
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    return error;
  }
  int Listen(const Address& address) override {
    Descriptor fd(*this,
                  ResultOrErrno(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)));
    int on = 1;
    if (!fd)
      return fd.Get();
    if (::setsockopt(fd.Get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
        ::bind(fd.Get(), AsSockaddr(address), sizeof address) != 0 ||
        ::listen(fd.Get(), SOMAXCONN) != 0)
      return -errno;
    return fd.Release();
  }
  int Accept(int fd) override {
    int accepted = ResultOrErrno(::accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (accepted >= 0)
      DisableSendDelay(accepted);
    return accepted;
  }
  ssize_t Receive(int fd, std::span<char> into) override {
    return ResultOrErrno(::recv(fd, into.data(), into.size(), 0));
  }
  Ms SinceLastArrival(int fd) override {
    tcp_info info{};
    socklen_t size = sizeof info;
    constexpr std::size_t kNeeded =
        offsetof(tcp_info, tcpi_last_data_recv) + sizeof(info.tcpi_last_data_recv);
    if (::getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || size < kNeeded)
      return 0;
    return info.tcpi_last_data_recv;
  }
  ssize_t Send(int fd, std::span<const iovec> parts) override {
    msghdr message{};
    message.msg_iov = const_cast<iovec*>(parts.data());
    message.msg_iovlen = parts.size();
    return ResultOrErrno(::sendmsg(fd, &message, MSG_NOSIGNAL));
  }
  void ShutdownWrite(int fd) override {
    ::shutdown(fd, SHUT_WR);
  }
  void Close(int fd) override {
    ::close(fd);
  }
  void Abort(int fd) override {
    linger reset{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    ::close(fd);
  }
  int OpenDatagrams(const Address& address) override {
    Descriptor fd(*this,
                  ResultOrErrno(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)));
    if (!fd)
      return fd.Get();
    if (::bind(fd.Get(), AsSockaddr(address), sizeof address) != 0)
      return -errno;
    return fd.Release();
  }
  ssize_t SendTo(int fd, std::span<const char> bytes, const Address& to) override {
    return ResultOrErrno(
        ::sendto(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL, AsSockaddr(to), sizeof to));
  }
  ssize_t ReceiveFrom(int fd, std::span<char> into, Address& from) override {
    socklen_t size = sizeof from;
    return ResultOrErrno(
        ::recvfrom(fd, into.data(), into.size(), 0, reinterpret_cast<sockaddr*>(&from), &size));
  }
  std::size_t DescriptorLimit() override {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
      return std::numeric_limits<std::size_t>::max();
    return limit.rlim_cur;
  }

 private:
  Ms offset_ =
      Milliseconds<std::chrono::system_clock>() - Milliseconds<std::chrono::steady_clock>();
};

}  // namespace

Environment& PosixEnvironment() {
  static SystemCallEnvironment environment;
  return environment;
}

}  // namespace dunlinwick::loop
