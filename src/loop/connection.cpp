#include "loop/connection.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <cerrno>
#include <charconv>

namespace dunlinwick::loop {

const char* ToString(DisconnectReason reason) {
  static const char* const kTexts[] = {"refused",   "connect failed", "local resource shortage",
                                       "closed",    "reset",          "receive timeout",
                                       "malformed", "stalled",        "replaced",
                                       "released"};
  return kTexts[static_cast<int>(reason)];
}

std::optional<Address> ReadAddress(std::string_view text) {
  std::size_t colon = text.rfind(':');
  if (colon == text.npos)
    return std::nullopt;
  std::string host(text.substr(0, colon));
  std::string_view port = text.substr(colon + 1);
  std::uint16_t port_number = 0;
  auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), port_number);
  Address address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port_number);
  if (error != std::errc{} || end != port.data() + port.size() || port_number == 0)
    return std::nullopt;
  if (::inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1)
    return std::nullopt;
  return address;
}

namespace {

// Errors of connect(2) that have their cause on this host and tell nothing about the peer.
// ETIMEDOUT and EHOSTUNREACH, in contrast, are reported by the network about the peer.
bool IsLocalShortage(int error) {
  switch (error) {
    case EADDRNOTAVAIL:  // no local port left
    case EADDRINUSE:
    case EAGAIN:
    case ENOBUFS:
    case ENOMEM:
    case ENETUNREACH:  // no route from this host
    case ENETDOWN:
    case EACCES:  // a firewall rule or policy of this host
    case EPERM:
      return true;
    default:
      return false;
  }
}

bool IsOutOfBuffers(ssize_t result) {
  return result == -ENOBUFS || result == -ENOMEM;
}

}  // namespace

Connection::Connection(Loop& loop, Owner& owner, Descriptor accepted)
    : loop_(loop), owner_(owner), descriptor_(std::move(accepted)), connected_(true) {
  UpdateWatch();
}

Connection::Connection(Loop& loop, Owner& owner, const Address& to, Ms timeout)
    : loop_(loop), owner_(owner) {
  descriptor_ = Descriptor(loop.environment(), loop.environment().OpenStream());
  if (!descriptor_) {
    Disconnect(DisconnectReason::kLocalShortage);
    return;
  }
  timer_ = loop_.RunAt(loop_.now() + timeout, [this] { Finish(DisconnectReason::kConnectFailed); });
  int result = loop.environment().Connect(descriptor_.Get(), to);
  if (result == 0)
    connected_ = true;
  else if (result == -ECONNREFUSED)
    Disconnect(DisconnectReason::kRefused);
  else if (IsLocalShortage(-result))
    Disconnect(DisconnectReason::kLocalShortage);
  // After EINTR the connection attempt continues, as after EINPROGRESS.
  else if (result != -EINPROGRESS && result != -EINTR)
    Disconnect(DisconnectReason::kConnectFailed);
  if (connected_)
    loop_.Cancel(timer_);
  UpdateWatch();
}

Connection::~Connection() {
  Close();
}

void Connection::Close() {
  loop_.Cancel(timer_);
  loop_.Cancel(disconnect_timer_);
  loop_.Cancel(buffer_wait_timer_);
  loop_.Unwatch(descriptor_.Get());
  descriptor_.Reset();
  ended_ = true;
}

void Connection::Disconnect(DisconnectReason reason) {
  if (IsEnded())
    return;
  loop_.Unwatch(descriptor_.Get());
  disconnect_timer_ = loop_.RunAt(loop_.now(), [this, reason] { Finish(reason); });
}

void Connection::Finish(DisconnectReason reason) {
  if (ended_)
    return;
  Close();
  owner_.OnDisconnected(reason);
}

void Connection::UpdateWatch() {
  if (IsEnded() || write_failed_ || buffer_wait_timer_ != 0)
    return;
  // POLLRDHUP reports a peer that closes while nothing is read from it.
  short events = POLLRDHUP;
  if (connected_ && in.size() < read_limit_)
    events |= POLLIN;
  if (!connected_ || !send_queue_.empty())
    events |= POLLOUT;
  loop_.WatchDescriptor(descriptor_.Get(), *this, events, rarely_polled_ && send_queue_.empty());
}

void Connection::SetRarelyPolled(bool rarely_polled) {
  rarely_polled_ = rarely_polled;
  UpdateWatch();
}

void Connection::SetReadLimit(std::size_t limit) {
  read_limit_ = limit;
  UpdateWatch();
}

void Connection::ConsumeInput(std::size_t size) {
  in.Consume(size);
  UpdateWatch();
}

void Connection::DiscardInput() {
  in.Release();
  UpdateWatch();
}

std::uint64_t Connection::Send(std::string message, bool more) {
  return Enqueue({.bytes = std::move(message)}, more);
}

std::uint64_t Connection::SendComposed(Composer compose) {
  return Enqueue({.bytes = {}, .compose = std::move(compose)}, false);
}

std::uint64_t Connection::Enqueue(Message message, bool more) {
  // If messages are queued already, the socket is full: this one is written after them.
  bool is_queued = !send_queue_.empty() && !corked_;
  message.sequence = ++last_sequence_;
  send_queue_.push_back(std::move(message));
  corked_ = more && !is_queued;
  if (corked_)
    return last_sequence_;
  if (connected_ && !IsEnded() && !is_queued)
    Flush();
  UpdateWatch();
  return last_sequence_;
}

bool Connection::IsUnsent(std::uint64_t sequence) const {
  // Sequence numbers only grow, so all from the first queued one on are unsent.
  return !send_queue_.empty() && sequence >= send_queue_.front().sequence;
}

bool Connection::CancelSend(std::uint64_t sequence) {
  for (auto message = send_queue_.begin(); message != send_queue_.end(); ++message)
    if (message->sequence == sequence &&
        (message != send_queue_.begin() || head_bytes_sent_ == 0)) {
      send_queue_.erase(message);
      return true;
    }
  return false;
}

void Connection::ShutdownWrite() {
  if (!ended_ && !write_shut_)
    loop_.environment().ShutdownWrite(descriptor_.Get());
  write_shut_ = true;
}

// False: the first message yields no bytes and is not to be written.
bool Connection::ComposeFirst() {
  Message& first = send_queue_.front();
  if (!first.compose)
    return true;
  std::optional<std::string> bytes = first.compose();
  if (bytes)
    first.bytes = std::move(*bytes);
  return bytes.has_value();
}

void Connection::Flush() {
  while (!IsEnded() && !write_failed_ && !send_queue_.empty()) {
    if (!ComposeFirst()) {
      send_queue_.pop_front();
      continue;
    }
    iovec buffers[16];
    int count = 0;
    for (Message& m : send_queue_) {
      if (m.compose && count > 0)
        break;  // it is composed once everything before it is written
      std::size_t skip = count == 0 ? head_bytes_sent_ : 0;
      buffers[count++] = {m.bytes.data() + skip, m.bytes.size() - skip};
      if (count == 16)
        break;
    }
    ssize_t written =
        loop_.environment().Send(descriptor_.Get(), {buffers, static_cast<std::size_t>(count)});
    if (written == -EINTR)
      continue;
    if (written == -EAGAIN || written == -EWOULDBLOCK)
      return;
    if (IsOutOfBuffers(written))
      return WaitForBuffers();
    if (written < 0)
      return ReadRemaining();
    head_bytes_sent_ += static_cast<std::size_t>(written);
    if (written > 0)
      send_queue_.front().compose = nullptr;
    while (!send_queue_.empty() && !send_queue_.front().compose &&
           head_bytes_sent_ >= send_queue_.front().bytes.size()) {
      head_bytes_sent_ -= send_queue_.front().bytes.size();
      send_queue_.pop_front();
    }
  }
}

// After a failed write nothing more can be written, but bytes that the peer sent before may still
// be in the kernel's receive buffer: they are read in the next iteration of the loop, then the end
// is reported. Otherwise an answer that had arrived would count as lost.
void Connection::ReadRemaining() {
  write_failed_ = true;
  peer_closed_ = true;
  loop_.Unwatch(descriptor_.Get());
  timer_ = loop_.RunAt(loop_.now(), [this] {
    constexpr int kMaxReads = 64;  // reads: 1 MB, beyond any answer
    for (int i = 0; i < kMaxReads && !IsEnded() && in.size() < read_limit_; ++i) {
      ssize_t received = ReceiveChunk();
      if (received == -EINTR)
        continue;
      if (received <= 0)
        break;
      owner_.OnBytesReceived();
    }
    if (!IsEnded())
      Finish(DisconnectReason::kReset);
  });
}

// Returns what Environment::Receive() returns.
ssize_t Connection::ReceiveChunk() {
  std::span<char> chunk = loop_.read_buffer();
  ssize_t received = loop_.environment().Receive(descriptor_.Get(), chunk);
  if (received > 0)
    in.Append(chunk.first(static_cast<std::size_t>(received)));
  return received;
}

bool Connection::ReceiveAvailable(std::size_t limit) {
  const std::size_t before = in.size();
  while (in.size() < limit && ReceiveChunk() > 0) {
  }
  return in.size() > before;
}

std::size_t Connection::QueuedBytes() const {
  std::size_t bytes = 0;
  for (const Message& message : send_queue_)
    bytes += message.bytes.size();
  return bytes;
}

void Connection::ReadOnce() {
  // One read per iteration, so that a fast sender does not delay the other connections.
  ssize_t received = ReceiveChunk();
  if (received > 0) {
    has_read_all_ = static_cast<std::size_t>(received) < loop_.read_buffer().size();
    owner_.OnBytesReceived();
    UpdateWatch();
  } else if (received == 0) {
    Finish(DisconnectReason::kClosed);
  } else if (IsOutOfBuffers(received)) {
    WaitForBuffers();
  } else if (received != -EAGAIN && received != -EWOULDBLOCK && received != -EINTR) {
    Finish(DisconnectReason::kReset);
  }
}

void Connection::WaitForBuffers() {
  // Short compared with any deadline, long compared with an iteration of the loop.
  constexpr Ms kBufferWait = 5;
  if (IsEnded() || buffer_wait_timer_ != 0)
    return;
  loop_.Unwatch(descriptor_.Get());
  buffer_wait_timer_ = loop_.RunAt(loop_.now() + kBufferWait, [this] {
    buffer_wait_timer_ = 0;
    UpdateWatch();
  });
}

void Connection::OnReady(short events) {
  if (!connected_) {
    int error = loop_.environment().SocketError(descriptor_.Get());
    if (error == ECONNREFUSED)
      return Finish(DisconnectReason::kRefused);
    if (error != 0 || (events & (POLLERR | POLLHUP)))
      return Finish(DisconnectReason::kConnectFailed);
    if (!(events & POLLOUT))
      return;
    connected_ = true;
    loop_.Cancel(timer_);
    Flush();
    if (!IsEnded() && send_queue_.empty())
      owner_.OnDrained();
    return UpdateWatch();
  }
  peer_closed_ |= (events & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  // Answers that arrived before a failure are read first.
  if ((events & POLLIN) && in.size() < read_limit_)
    ReadOnce();
  else if (events & (POLLERR | POLLHUP))
    return Finish(DisconnectReason::kReset);
  else if (events & POLLRDHUP)
    return Finish(DisconnectReason::kClosed);
  if (IsEnded() || write_failed_ || !(events & POLLOUT) || send_queue_.empty())
    return;
  Flush();
  if (!IsEnded() && send_queue_.empty())
    owner_.OnDrained();
  UpdateWatch();
}

}  // namespace dunlinwick::loop
