// Reads one datagram socket for its owner, a bounded number of datagrams per iteration of the loop.
// Runs on the loop's thread; the owner keeps the socket open, and the loop alive, for the reader's
// lifetime.
#pragma once
#include <cstdint>
#include <functional>
#include <span>

#include "loop/loop.hpp"

namespace dunlinwick::loop {

class DatagramReader final : Handler {
 public:
  /// Called with each datagram. It may send, and must not destroy the reader.
  using Receive = std::function<void(std::span<const char> datagram, const Address& from)>;

  /// `max_size`: bytes of a datagram; longer ones are truncated. `after_batch`, if set, is called
  /// after the last datagram of an iteration.
  DatagramReader(Loop& loop, int socket, std::size_t max_size, Receive receive,
                 std::function<void()> after_batch = nullptr);
  ~DatagramReader();
  DatagramReader(const DatagramReader&) = delete;
  DatagramReader& operator=(const DatagramReader&) = delete;

 private:
  void OnReady(short events) override;
  void Watch();
  /// Stops polling briefly: the kernel is out of buffers, so polling would spin.
  void WaitForBuffers();

  Loop& loop_;
  int socket_;
  std::size_t max_size_;
  Receive receive_;
  std::function<void()> after_batch_;
  std::uint64_t wait_timer_ = 0;
};

}  // namespace dunlinwick::loop
