#include "loop/connection.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <cerrno>
#include <charconv>

namespace dunlinwick::loop {

const char* ToString(DisconnectReason how) {
  static const char* const kWords[] = {"refused",  "never up", "no descriptor", "closed",
                                       "reset",    "silent",   "malformed",     "stalled",
                                       "replaced", "let go"};
  return kWords[static_cast<int>(how)];
}

std::optional<Address> ReadAddress(std::string_view text) {
  std::size_t colon = text.rfind(':');
  if (colon == text.npos)
    return std::nullopt;
  std::string host(text.substr(0, colon));
  std::string_view port = text.substr(colon + 1);
  std::uint16_t number = 0;
  auto [end, fault] = std::from_chars(port.data(), port.data() + port.size(), number);
  Address a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(number);
  if (fault != std::errc{} || end != port.data() + port.size() || number == 0)
    return std::nullopt;
  if (::inet_pton(AF_INET, host.c_str(), &a.sin_addr) != 1)
    return std::nullopt;
  return a;
}

namespace {

// Errors of connect(2) that this machine gives on its own: they tell nothing of the other side.
// ETIMEDOUT and EHOSTUNREACH are the network's word on the other side.
bool IsLocalShortage(int error) {
  switch (error) {
    case EADDRNOTAVAIL:  // no local port left
    case EADDRINUSE:
    case EAGAIN:
    case ENOBUFS:
    case ENOMEM:
    case ENETUNREACH:  // no route from here
    case ENETDOWN:
    case EACCES:  // a rule of this machine
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
    : loop_(loop), owner_(owner), fd_(std::move(accepted)), up_(true) {
  Rewatch();
}

Connection::Connection(Loop& loop, Owner& owner, const Address& to, Ms within)
    : loop_(loop), owner_(owner) {
  fd_ = Descriptor(loop.environment(), loop.environment().OpenStream());
  if (!fd_) {
    EndAs(DisconnectReason::kNoDescriptor);
    return;
  }
  limit_ = loop_.at(loop_.now() + within, [this] { Finish(DisconnectReason::kNeverUp); });
  int result = loop.environment().Connect(fd_.Get(), to);
  if (result == 0)
    up_ = true;
  else if (result == -ECONNREFUSED)
    EndAs(DisconnectReason::kRefused);
  else if (IsLocalShortage(-result))
    EndAs(DisconnectReason::kNoDescriptor);
  // Interrupted, it proceeds as one in progress does.
  else if (result != -EINPROGRESS && result != -EINTR)
    EndAs(DisconnectReason::kNeverUp);
  if (up_)
    loop_.Cancel(limit_);
  Rewatch();
}

Connection::~Connection() {
  Close();
}

void Connection::Close() {
  loop_.Cancel(limit_);
  loop_.Cancel(report_);
  loop_.Cancel(buffer_wait_timer_);
  loop_.Forget(fd_.Get());
  fd_.Reset();
  over_ = true;
}

void Connection::EndAs(DisconnectReason how) {
  if (IsOver())
    return;
  loop_.Forget(fd_.Get());
  report_ = loop_.at(loop_.now(), [this, how] { Finish(how); });
}

void Connection::Finish(DisconnectReason how) {
  if (over_)
    return;
  Close();
  owner_.Ended(how);
}

void Connection::Rewatch() {
  if (IsOver() || broken_ || buffer_wait_timer_ != 0)
    return;
  // POLLRDHUP shows a peer that left while nothing is read from it.
  short events = POLLRDHUP;
  if (up_ && in.size() < most_)
    events |= POLLIN;
  if (!up_ || !out_.empty())
    events |= POLLOUT;
  loop_.WatchDescriptor(fd_.Get(), *this, events, patient_ && out_.empty());
}

void Connection::BePatient(bool patient) {
  patient_ = patient;
  Rewatch();
}

void Connection::ReadUpTo(std::size_t most) {
  most_ = most;
  Rewatch();
}

std::uint64_t Connection::Send(std::string message, bool more) {
  return Enqueue({.bytes = std::move(message)}, more);
}

std::uint64_t Connection::SendComposed(Composer compose) {
  return Enqueue({.bytes = {}, .compose = std::move(compose)}, false);
}

std::uint64_t Connection::Enqueue(Message message, bool more) {
  // Where messages wait already, the socket is full: what is sent now goes out after them.
  bool waits = !out_.empty() && !held_;
  message.mark = ++marks_;
  out_.push_back(std::move(message));
  held_ = more && !waits;
  if (held_)
    return marks_;
  if (up_ && !IsOver() && !waits)
    Flush();
  Rewatch();
  return marks_;
}

bool Connection::Unsent(std::uint64_t mark) const {
  // Marks only grow, so all from the first waiting one on are unsent.
  return !out_.empty() && mark >= out_.front().mark;
}

bool Connection::TakeBack(std::uint64_t mark) {
  for (auto at = out_.begin(); at != out_.end(); ++at)
    if (at->mark == mark && (at != out_.begin() || out_done_ == 0)) {
      out_.erase(at);
      return true;
    }
  return false;
}

void Connection::SayNoMore() {
  if (!over_ && !shut_)
    loop_.environment().SayNoMore(fd_.Get());
  shut_ = true;
}

// False: the first message has no bytes, and is not to be written.
bool Connection::ComposeFirst() {
  Message& first = out_.front();
  if (!first.compose)
    return true;
  std::optional<std::string> bytes = first.compose();
  if (bytes)
    first.bytes = std::move(*bytes);
  return bytes.has_value();
}

void Connection::Flush() {
  while (!IsOver() && !broken_ && !out_.empty()) {
    if (!ComposeFirst()) {
      out_.pop_front();
      continue;
    }
    iovec parts[16];
    int count = 0;
    for (Message& m : out_) {
      if (m.compose && count > 0)
        break;  // its own moment is when everything before it is written
      std::size_t skip = count == 0 ? out_done_ : 0;
      parts[count++] = {m.bytes.data() + skip, m.bytes.size() - skip};
      if (count == 16)
        break;
    }
    ssize_t put = loop_.environment().Send(fd_.Get(), {parts, static_cast<std::size_t>(count)});
    if (put == -EINTR)
      continue;
    if (put == -EAGAIN || put == -EWOULDBLOCK)
      return;
    if (IsOutOfBuffers(put))
      return WaitForBuffers();
    if (put < 0)
      return LastWords();
    out_done_ += static_cast<std::size_t>(put);
    if (put > 0)
      out_.front().compose = nullptr;
    while (!out_.empty() && !out_.front().compose && out_done_ >= out_.front().bytes.size()) {
      out_done_ -= out_.front().bytes.size();
      out_.pop_front();
    }
  }
}

// Nothing can be written any more, but what the other side said before it broke off still lies in
// the system's buffers: it is read in the next turn, then the end is reported. Harm without: an
// answer that had come counts as lost.
void Connection::LastWords() {
  broken_ = true;
  peer_done_ = true;
  loop_.Forget(fd_.Get());
  limit_ = loop_.at(loop_.now(), [this] {
    constexpr int kMost = 64;  // reads: 1 MB, beyond any answer
    for (int i = 0; i < kMost && !IsOver() && in.size() < most_; ++i) {
      std::span<char> room = in.room(1 << 14);
      ssize_t got = loop_.environment().receive(fd_.Get(), room);
      if (got == -EINTR)
        continue;
      if (got <= 0)
        break;
      in.Wrote(static_cast<std::size_t>(got));
      owner_.Came();
    }
    if (!IsOver())
      Finish(DisconnectReason::kReset);
  });
}

void Connection::Fetch() {
  // One read a turn, so that a fast sender does not hold up the others.
  constexpr std::size_t kChunk = 1 << 14;
  std::span<char> room = in.room(kChunk);
  ssize_t got = loop_.environment().receive(fd_.Get(), room);
  if (got > 0) {
    has_read_all_ = static_cast<std::size_t>(got) < room.size();
    in.Wrote(static_cast<std::size_t>(got));
    owner_.Came();
    Rewatch();
  } else if (got == 0) {
    Finish(DisconnectReason::kClosed);
  } else if (IsOutOfBuffers(got)) {
    WaitForBuffers();
  } else if (got != -EAGAIN && got != -EWOULDBLOCK && got != -EINTR) {
    Finish(DisconnectReason::kReset);
  }
}

void Connection::WaitForBuffers() {
  // Short beside any deadline, long beside a turn of the loop.
  constexpr Ms kWait = 5;
  if (IsOver() || buffer_wait_timer_ != 0)
    return;
  loop_.Forget(fd_.Get());
  buffer_wait_timer_ = loop_.at(loop_.now() + kWait, [this] {
    buffer_wait_timer_ = 0;
    Rewatch();
  });
}

void Connection::Ready(short events) {
  if (!up_) {
    int fault = loop_.environment().Fault(fd_.Get());
    if (fault == ECONNREFUSED)
      return Finish(DisconnectReason::kRefused);
    if (fault != 0 || (events & (POLLERR | POLLHUP)))
      return Finish(DisconnectReason::kNeverUp);
    if (!(events & POLLOUT))
      return;
    up_ = true;
    loop_.Cancel(limit_);
    Flush();
    if (!IsOver() && out_.empty())
      owner_.Drained();
    return Rewatch();
  }
  peer_done_ |= (events & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  // Answers that came before a break are read first.
  if ((events & POLLIN) && in.size() < most_)
    Fetch();
  else if (events & (POLLERR | POLLHUP))
    return Finish(DisconnectReason::kReset);
  else if (events & POLLRDHUP)
    return Finish(DisconnectReason::kClosed);
  if (IsOver() || broken_ || !(events & POLLOUT) || out_.empty())
    return;
  Flush();
  if (!IsOver() && out_.empty())
    owner_.Drained();
  Rewatch();
}

}  // namespace dunlinwick::loop
