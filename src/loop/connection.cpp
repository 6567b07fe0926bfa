#include "loop/connection.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <cerrno>
#include <charconv>

namespace dunlinwick::loop {

const char* word(Parting how) {
  static const char* const words[] = {"refused", "never up",  "no descriptor", "closed",   "reset",
                                      "silent",  "malformed", "stalled",       "replaced", "let go"};
  return words[static_cast<int>(how)];
}

std::optional<Address> readAddress(std::string_view text) {
  std::size_t colon = text.rfind(':');
  if (colon == text.npos) return std::nullopt;
  std::string host(text.substr(0, colon));
  std::string_view port = text.substr(colon + 1);
  std::uint16_t number = 0;
  auto [end, fault] = std::from_chars(port.data(), port.data() + port.size(), number);
  Address a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(number);
  if (fault != std::errc{} || end != port.data() + port.size() || number == 0) return std::nullopt;
  if (::inet_pton(AF_INET, host.c_str(), &a.sin_addr) != 1) return std::nullopt;
  return a;
}

namespace {

// Errors of connect(2) that this machine gives on its own: they tell nothing of the other side. ETIMEDOUT and EHOSTUNREACH are
// the network's word on the other side.
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

bool IsOutOfBuffers(ssize_t result) { return result == -ENOBUFS || result == -ENOMEM; }

}  // namespace

Connection::Connection(Loop& loop, Owner& owner, Descriptor accepted)
    : loop_(loop), owner_(owner), fd_(std::move(accepted)), up_(true) {
  rewatch();
}

Connection::Connection(Loop& loop, Owner& owner, const Address& to, Ms within) : loop_(loop), owner_(owner) {
  fd_ = Descriptor(loop.ground(), loop.ground().openStream());
  if (!fd_) {
    endAs(Parting::noDescriptor);
    return;
  }
  limit_ = loop_.at(loop_.now() + within, [this] { finish(Parting::neverUp); });
  int result = loop.ground().connect(fd_.get(), to);
  if (result == 0) up_ = true;
  else if (result == -ECONNREFUSED) endAs(Parting::refused);
  else if (IsLocalShortage(-result)) endAs(Parting::noDescriptor);
  // Interrupted, it proceeds as one in progress does.
  else if (result != -EINPROGRESS && result != -EINTR) endAs(Parting::neverUp);
  if (up_) loop_.cancel(limit_);
  rewatch();
}

Connection::~Connection() { close(); }

void Connection::close() {
  loop_.cancel(limit_);
  loop_.cancel(report_);
  loop_.cancel(buffer_wait_timer_);
  loop_.forget(fd_.get());
  fd_.reset();
  over_ = true;
}

void Connection::endAs(Parting how) {
  if (isOver()) return;
  loop_.forget(fd_.get());
  report_ = loop_.at(loop_.now(), [this, how] { finish(how); });
}

void Connection::finish(Parting how) {
  if (over_) return;
  close();
  owner_.ended(how);
}

void Connection::rewatch() {
  if (isOver() || broken_ || buffer_wait_timer_ != 0) return;
  // POLLRDHUP shows a peer that left while nothing is read from it.
  short events = POLLRDHUP;
  if (up_ && in.size() < most_) events |= POLLIN;
  if (!up_ || !out_.empty()) events |= POLLOUT;
  loop_.watch(fd_.get(), *this, events, patient_ && out_.empty());
}

void Connection::bePatient(bool patient) {
  patient_ = patient;
  rewatch();
}

void Connection::readUpTo(std::size_t most) {
  most_ = most;
  rewatch();
}

std::uint64_t Connection::send(std::string message, bool more) {
  return enqueue({.bytes = std::move(message)}, more);
}

std::uint64_t Connection::sendComposed(Composer compose) {
  return enqueue({.bytes = {}, .compose = std::move(compose)}, false);
}

std::uint64_t Connection::enqueue(Message message, bool more) {
  // Where messages wait already, the socket is full: what is sent now goes out after them.
  bool waits = !out_.empty() && !held_;
  message.mark = ++marks_;
  out_.push_back(std::move(message));
  held_ = more && !waits;
  if (held_) return marks_;
  if (up_ && !isOver() && !waits) flush();
  rewatch();
  return marks_;
}

bool Connection::unsent(std::uint64_t mark) const {
  // Marks only grow, so all from the first waiting one on are unsent.
  return !out_.empty() && mark >= out_.front().mark;
}

bool Connection::takeBack(std::uint64_t mark) {
  for (auto at = out_.begin(); at != out_.end(); ++at)
    if (at->mark == mark && (at != out_.begin() || outDone_ == 0)) {
      out_.erase(at);
      return true;
    }
  return false;
}

void Connection::sayNoMore() {
  if (!over_ && !shut_) loop_.ground().sayNoMore(fd_.get());
  shut_ = true;
}

// False: the first message has no bytes, and is not to be written.
bool Connection::composeFirst() {
  Message& first = out_.front();
  if (!first.compose) return true;
  std::optional<std::string> bytes = first.compose();
  if (bytes) first.bytes = std::move(*bytes);
  return bytes.has_value();
}

void Connection::flush() {
  while (!isOver() && !broken_ && !out_.empty()) {
    if (!composeFirst()) {
      out_.pop_front();
      continue;
    }
    iovec parts[16];
    int count = 0;
    for (Message& m : out_) {
      if (m.compose && count > 0) break;  // its own moment is when everything before it is written
      std::size_t skip = count == 0 ? outDone_ : 0;
      parts[count++] = {m.bytes.data() + skip, m.bytes.size() - skip};
      if (count == 16) break;
    }
    ssize_t put = loop_.ground().send(fd_.get(), {parts, static_cast<std::size_t>(count)});
    if (put == -EINTR) continue;
    if (put == -EAGAIN || put == -EWOULDBLOCK) return;
    if (IsOutOfBuffers(put)) return WaitForBuffers();
    if (put < 0) return lastWords();
    outDone_ += static_cast<std::size_t>(put);
    if (put > 0) out_.front().compose = nullptr;
    while (!out_.empty() && !out_.front().compose && outDone_ >= out_.front().bytes.size()) {
      outDone_ -= out_.front().bytes.size();
      out_.pop_front();
    }
  }
}

// Nothing can be written any more, but what the other side said before it broke off still lies in the system's buffers: it is
// read in the next turn, then the end is reported. Harm without: an answer that had come counts as lost.
void Connection::lastWords() {
  broken_ = true;
  peerDone_ = true;
  loop_.forget(fd_.get());
  limit_ = loop_.at(loop_.now(), [this] {
    constexpr int most = 64;  // reads: 1 MB, beyond any answer
    for (int i = 0; i < most && !isOver() && in.size() < most_; ++i) {
      std::span<char> room = in.room(1 << 14);
      ssize_t got = loop_.ground().receive(fd_.get(), room);
      if (got == -EINTR) continue;
      if (got <= 0) break;
      in.wrote(static_cast<std::size_t>(got));
      owner_.came();
    }
    if (!isOver()) finish(Parting::reset);
  });
}

void Connection::fetch() {
  // One read a turn, so that a fast sender does not hold up the others.
  constexpr std::size_t chunk = 1 << 14;
  std::span<char> room = in.room(chunk);
  ssize_t got = loop_.ground().receive(fd_.get(), room);
  if (got > 0) {
    in.wrote(static_cast<std::size_t>(got));
    owner_.came();
    rewatch();
  } else if (got == 0) {
    finish(Parting::closed);
  } else if (IsOutOfBuffers(got)) {
    WaitForBuffers();
  } else if (got != -EAGAIN && got != -EWOULDBLOCK && got != -EINTR) {
    finish(Parting::reset);
  }
}

void Connection::WaitForBuffers() {
  // Short beside any deadline, long beside a turn of the loop.
  constexpr Ms kWait = 5;
  if (isOver() || buffer_wait_timer_ != 0) return;
  loop_.forget(fd_.get());
  buffer_wait_timer_ = loop_.at(loop_.now() + kWait, [this] {
    buffer_wait_timer_ = 0;
    rewatch();
  });
}

void Connection::ready(short events) {
  if (!up_) {
    int fault = loop_.ground().fault(fd_.get());
    if (fault == ECONNREFUSED) return finish(Parting::refused);
    if (fault != 0 || (events & (POLLERR | POLLHUP))) return finish(Parting::neverUp);
    if (!(events & POLLOUT)) return;
    up_ = true;
    loop_.cancel(limit_);
    flush();
    if (!isOver() && out_.empty()) owner_.drained();
    return rewatch();
  }
  peerDone_ |= (events & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  // Answers that came before a break are read first.
  if ((events & POLLIN) && in.size() < most_) fetch();
  else if (events & (POLLERR | POLLHUP)) return finish(Parting::reset);
  else if (events & POLLRDHUP) return finish(Parting::closed);
  if (isOver() || broken_ || !(events & POLLOUT) || out_.empty()) return;
  flush();
  if (!isOver() && out_.empty()) owner_.drained();
  rewatch();
}

}  // namespace dunlinwick::loop
