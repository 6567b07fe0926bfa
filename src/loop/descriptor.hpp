// Owns a file descriptor.
#pragma once
#include <unistd.h>

#include <utility>

namespace dunlinwick::loop {

class Descriptor {
 public:
  Descriptor() = default;
  explicit Descriptor(int fd) : fd_(fd) {}
  Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Descriptor& operator=(Descriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Descriptor() { reset(); }
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  void reset() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }

 private:
  int fd_ = -1;
};

}  // namespace dunlinwick::loop
