// The platform interface of an event loop: a clock, descriptors and the wait for them. There are
// two implementations: the POSIX environment (poll(2), TCP and UDP), and the simulated network
// (src/stage/), with a virtual clock and in-memory connections. All other code reads the clock and
// uses descriptors through this interface only, so that the same code runs on both.
#pragma once
#include <netinet/in.h>
#include <poll.h>
#include <sys/uio.h>

#include <cstddef>
#include <span>
#include <utility>

namespace dunlinwick::loop {

using Ms = double;
using Address = sockaddr_in;

// Calls return what the system calls return, with a negative errno in place of -1. Descriptors
// never block.
class Environment {
 public:
  virtual Ms now() = 0;  // Unix time in milliseconds as of the start, then monotonic
  // As poll(2); waits no longer than `ms`. The simulated network does not wait: it records what was
  // asked for.
  virtual int Wait(std::span<pollfd> watched, int ms) = 0;
  virtual int OpenStream() = 0;
  virtual int Connect(int fd,
                      const Address& to) = 0;  // -EINPROGRESS: writable once established or failed
  virtual int SocketError(int fd) = 0;         // SO_ERROR: why it failed, or 0
  virtual int Listen(const Address& address) = 0;
  virtual int Accept(int fd) = 0;
  virtual ssize_t Receive(int fd,
                          std::span<char> into) = 0;  // 0: the peer sends no more
  /// How long ago the last bytes arrived on a stream, read or not. 0 if that is unknown.
  virtual Ms SinceLastArrival(int) {
    return 0;
  }
  virtual ssize_t Send(int fd, std::span<const iovec> parts) = 0;
  virtual void ShutdownWrite(int fd) = 0;
  virtual void Close(int fd) = 0;
  virtual void Abort(int fd) = 0;  // closes, and resets the connection at the peer
  // Datagrams arrive whole or never, perhaps late, twice or out of order. Port 0 of `address`: any
  // port.
  virtual int OpenDatagrams(const Address& address) = 0;
  virtual ssize_t SendTo(int fd, std::span<const char> bytes, const Address& to) = 0;
  virtual ssize_t ReceiveFrom(int fd, std::span<char> into, Address& from) = 0;
  virtual std::size_t DescriptorLimit() = 0;  // how many descriptors a process may hold

 protected:
  ~Environment() = default;
};

Environment& PosixEnvironment();  // of this host; lives as long as the process

// Owns a descriptor of an environment.
class Descriptor {
 public:
  Descriptor() = default;
  explicit Descriptor(int fd) : Descriptor(PosixEnvironment(), fd) {}
  Descriptor(Environment& environment, int fd) : environment_(&environment), fd_(fd) {}
  Descriptor(Descriptor&& other) noexcept
      : environment_(other.environment_), fd_(std::exchange(other.fd_, -1)) {}
  Descriptor& operator=(Descriptor&& other) noexcept {
    std::swap(environment_, other.environment_);
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Descriptor() {
    Reset();
  }
  int Get() const {
    return fd_;
  }
  explicit operator bool() const {
    return fd_ >= 0;
  }
  void Reset() {
    if (fd_ >= 0)
      environment_->Close(std::exchange(fd_, -1));
  }
  int Release() {
    return std::exchange(fd_, -1);
  }  // the caller owns it from then on
  void Abort() {
    if (fd_ >= 0)
      environment_->Abort(std::exchange(fd_, -1));
  }

 private:
  Environment* environment_ = nullptr;
  int fd_ = -1;
};

}  // namespace dunlinwick::loop
