// What a loop stands on: a clock, descriptors and the wait for them. The system's own (poll(2), TCP
// and UDP) is one ground; the staged one (src/stage/) has a virtual clock and an in-memory network.
// Nothing above reads a clock or touches a descriptor but through here, so that the same code
// serves on both.
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

// Calls answer as the system's do, with a negative errno in place of -1. Descriptors never block.
class Environment {
 public:
  virtual Ms now() = 0;  // Unix time in milliseconds as at the start; it never goes back
  // As poll(2); waits no longer than `ms`. A staged ground does not wait: it notes what was asked
  // for.
  virtual int Wait(std::span<pollfd> watched, int ms) = 0;
  virtual int OpenStream() = 0;
  virtual int Connect(int fd,
                      const Address& to) = 0;  // -EINPROGRESS: writable once it is up or failed
  virtual int Fault(int fd) = 0;               // why it failed (SO_ERROR), 0 if it did not
  virtual int Listen(const Address& at) = 0;
  virtual int Accept(int fd) = 0;
  virtual ssize_t receive(int fd, std::span<char> into) = 0;  // 0: the other side says no more
  /// How long ago the last bytes came to a stream, read or not. 0 where that can't be told.
  virtual Ms SinceLastArrival(int) {
    return 0;
  }
  virtual ssize_t Send(int fd, std::span<const iovec> parts) = 0;
  virtual void SayNoMore(int fd) = 0;
  virtual void Close(int fd) = 0;
  virtual void Abort(int fd) = 0;  // close, with a reset to the other side
  // Datagrams come whole or never, perhaps late, twice or out of order. `at` port 0: any.
  virtual int OpenDatagrams(const Address& at) = 0;
  virtual ssize_t SendTo(int fd, std::span<const char> bytes, const Address& to) = 0;
  virtual ssize_t ReceiveFrom(int fd, std::span<char> into, Address& from) = 0;
  virtual std::size_t DescriptorLimit() = 0;  // that a process may hold

 protected:
  ~Environment() = default;
};

Environment& MakeSystem();  // the machine's own

// Owns a descriptor of a ground.
class Descriptor {
 public:
  Descriptor() = default;
  explicit Descriptor(int fd) : Descriptor(MakeSystem(), fd) {}
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
  }  // the caller's from here on
  void Abort() {
    if (fd_ >= 0)
      environment_->Abort(std::exchange(fd_, -1));
  }

 private:
  Environment* environment_ = nullptr;
  int fd_ = -1;
};

}  // namespace dunlinwick::loop
