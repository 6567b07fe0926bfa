#include "loop/datagram_reader.hpp"

#include <poll.h>

#include <cerrno>
#include <utility>
#include <vector>

namespace dunlinwick::loop {

DatagramReader::DatagramReader(Loop& loop, int socket, std::size_t longest, Receive receive,
                               std::function<void()> after_turn)
    : loop_(loop),
      socket_(socket),
      longest_(longest),
      receive_(std::move(receive)),
      after_turn_(std::move(after_turn)) {
  Watch();
}

DatagramReader::~DatagramReader() {
  loop_.Cancel(wait_timer_);
  loop_.Forget(socket_);
}

void DatagramReader::Watch() {
  loop_.WatchDescriptor(socket_, *this, POLLIN);
}

void DatagramReader::Ready(short) {
  // So many that a burst is read, so few that the other sockets have their turn.
  constexpr int kMostInTurn = 64;
  std::vector<char> buffer(longest_);
  for (int i = 0; i < kMostInTurn; ++i) {
    Address from{};
    ssize_t size = loop_.environment().ReceiveFrom(socket_, buffer, from);
    if (size == -ENOBUFS || size == -ENOMEM) {
      WaitForBuffers();
      break;
    }
    // What is left is read in the next turn: also after an interruption, or a word on a datagram
    // sent earlier.
    if (size < 0)
      break;
    receive_({buffer.data(), static_cast<std::size_t>(size)}, from);
  }
  if (after_turn_)
    after_turn_();
}

void DatagramReader::WaitForBuffers() {
  // Short beside any heartbeat, long beside a turn of the loop.
  constexpr Ms kWait = 5;
  loop_.Forget(socket_);
  wait_timer_ = loop_.at(loop_.now() + kWait, [this] { Watch(); });
}

}  // namespace dunlinwick::loop
