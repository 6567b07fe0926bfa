/// Ports for the processes of one test, so that tests can run in parallel.
#pragma once
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>

#include "loop/environment.hpp"

namespace dunlinwick::testing {

/// A block of ports of the loopback addresses that no other process has claimed. Released when this
/// object is destroyed or its process ends.
class PortBlock {
 public:
  static constexpr int kPorts = 1000;

  PortBlock() {
    constexpr int kBlocks = 50;
    constexpr int kFirstPort = 10000;
    for (int i = 0; i < kBlocks; ++i) {
      first_ = kFirstPort + (::getpid() + i) % kBlocks * kPorts;
      if (Claim())
        return;
    }
    throw std::runtime_error("no block of ports is free");
  }
  int First() const {
    return first_;
  }

 private:
  /// The claim is a socket bound to a loopback address that nothing else uses: the kernel closes it
  /// with the process, however that ends.
  bool Claim() {
    constexpr std::uint32_t kHost = 0x7f00fffe;
    claim_ = loop::Descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(kHost);
    at.sin_port = htons(static_cast<std::uint16_t>(first_));
    return ::bind(claim_.Get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
  }

  int first_ = 0;
  loop::Descriptor claim_;
};

}  // namespace dunlinwick::testing
