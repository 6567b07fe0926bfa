// Reads one datagram socket for its owner, a bounded number of datagrams a turn of the loop. Runs
// on the loop's thread; the owner keeps the socket open, and the loop alive, for as long as the
// reader lives.
#pragma once
#include <cstdint>
#include <functional>
#include <span>

#include "loop/loop.hpp"

namespace dunlinwick::loop {

class DatagramReader final : Handler {
 public:
  /// Given each datagram. It may send, and must not destroy the reader.
  using Receive = std::function<void(std::span<const char> datagram, const Address& from)>;

  /// `longest`: bytes of a datagram; more are cut off. `after_turn`, where given, is called after
  /// the last datagram of a turn.
  DatagramReader(Loop& loop, int socket, std::size_t longest, Receive receive,
                 std::function<void()> after_turn = nullptr);
  ~DatagramReader();
  DatagramReader(const DatagramReader&) = delete;
  DatagramReader& operator=(const DatagramReader&) = delete;

 private:
  void Ready(short events) override;
  void Watch();
  /// Watches nothing for a moment: this machine is out of buffers, so that polling on would spin.
  void WaitForBuffers();

  Loop& loop_;
  int socket_;
  std::size_t longest_;
  Receive receive_;
  std::function<void()> after_turn_;
  std::uint64_t wait_timer_ = 0;
};

}  // namespace dunlinwick::loop
