#include "loop/datagram_reader.hpp"

#include <poll.h>

#include <cerrno>
#include <utility>
#include <vector>

namespace dunlinwick::loop {

DatagramReader::DatagramReader(Loop& loop, int socket, std::size_t max_size, Receive receive,
                               std::function<void()> after_batch)
    : loop_(loop),
      socket_(socket),
      max_size_(max_size),
      receive_(std::move(receive)),
      after_batch_(std::move(after_batch)) {
  Watch();
}

DatagramReader::~DatagramReader() {
  loop_.Cancel(wait_timer_);
  loop_.Unwatch(socket_);
}

void DatagramReader::Watch() {
  loop_.WatchDescriptor(socket_, *this, POLLIN);
}

void DatagramReader::OnReady(short) {
  // Enough to read a burst, and few enough not to starve the other sockets.
  constexpr int kMaxBatch = 64;
  std::vector<char> buffer(max_size_);
  for (int i = 0; i < kMaxBatch; ++i) {
    Address from{};
    ssize_t size = loop_.environment().ReceiveFrom(socket_, buffer, from);
    if (size == -ENOBUFS || size == -ENOMEM) {
      WaitForBuffers();
      break;
    }
    // The remaining datagrams are read in the next iteration, also after EINTR or after an ICMP
    // error for a datagram sent earlier.
    if (size < 0)
      break;
    receive_({buffer.data(), static_cast<std::size_t>(size)}, from);
  }
  if (after_batch_)
    after_batch_();
}

void DatagramReader::WaitForBuffers() {
  // Short compared with any heartbeat, long compared with an iteration of the loop.
  constexpr Ms kBufferWait = 5;
  loop_.Unwatch(socket_);
  wait_timer_ = loop_.RunAt(loop_.now() + kBufferWait, [this] { Watch(); });
}

}  // namespace dunlinwick::loop
