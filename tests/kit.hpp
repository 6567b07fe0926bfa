// Helpers of the tests: a small store, a front that is told things and asked what it did, and the far side of
// connections.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cassert>
#include <cstdio>
#include <set>

#include "logic.hpp"
#include "loop/connection.hpp"

namespace kit {
using namespace dunlinwick;

constexpr int storeKind = 0, parentKind = 1, originKind = 2;

inline StoreSheet sheet() {
  StoreSheet s;
  Offering video, write;
  video.agreed = 500, video.agreedStretch = 2, video.expiry = 5000, video.payoff = 2;
  write.effect = Effect::exclusive, write.agreed = 700, write.expiry = 3000, write.payoff = 3;
  write.neverKept = true;
  s.offerings = {video, write};
  s.zone = 1, s.fronts = 2, s.crew = 1;
  s.parentKind = parentKind, s.originKind = originKind;
  s.weighing = Weighing::nominal;
  s.may = {true, true, true, false, true};
  s.mostLegs = 8, s.lateral = true;
  s.streamKbPerMs = 10, s.linkKbPerMs = 150, s.purgeDone = 6000;
  s.coldStore = {0.3, 2, 15000}, s.coldParent = {0.1, 2, 20000}, s.coldWindow = 1000;
  return s;
}

inline ListEntry entry(std::uint32_t id, int kind, int zone, Standing standing = Standing::ready,
                       Ms startedAt = 0) {
  ListEntry e;
  e.cache = id, e.kind = kind, e.zone = zone, e.standing = standing, e.startedAt = startedAt;
  e.weight = kind == storeKind ? 6 : 30;
  return e;
}

// Caches 11 to 14, parents 21 and 22, origin 31.
inline ListNews list() {
  ListNews news{Listing::whole, {}};
  for (std::uint32_t id : {11, 12, 13, 14}) news.entries.push_back(entry(id, storeKind, 1));
  for (std::uint32_t id : {21, 22}) news.entries.push_back(entry(id, parentKind, 0));
  news.entries.push_back(entry(31, originKind, 0));
  return news;
}

struct Front {
  Router router;
  Ms now = 1e6;
  std::uint32_t lastPull = 0;
  std::vector<Action> did;  // by the last event

  explicit Front(StoreSheet s = sheet(), std::uint64_t seed = 1, ListNews news = list()) : router(s, seed) {
    tell(news);
  }
  void tell(const Event& e) { did = router.handle(now, e); }
  template <class A>
  std::vector<A> all() const {
    std::vector<A> found;
    for (const Action& a : did)
      if (auto* one = std::get_if<A>(&a)) found.push_back(*one);
    return found;
  }
  // The leg that a new pull leads to; cache 0 when it leads to none.
  SendLeg pull(std::uint64_t object, int offering = 0, double sizeKb = 1000, Ms ttl = 4000, int part = 0) {
    PullCame p;
    p.pull = ++lastPull, p.offering = offering, p.object = object, p.ttl = ttl, p.sizeKb = sizeKb,
    p.part = part;
    p.group = 7;
    tell(p);
    return leg();
  }
  SendLeg leg() const { return all<SendLeg>().empty() ? SendLeg{} : all<SendLeg>().front(); }
  bool declined() const { return !all<DeclinePull>().empty(); }
  bool abandoned() const { return !all<AbandonPull>().empty(); }
  void end(const SendLeg& a, Ending ending, Remark remark = Remark::none, int leg = 0, Ms took = 105) {
    LegEnded e;
    e.pull = a.pull, e.cache = a.cache, e.leg = leg, e.ending = ending, e.remark = remark, e.took = took;
    e.final = ending == Ending::finished;
    tell(e);
  }
  void finish(const SendLeg& a, Remark remark = Remark::hit) { end(a, Ending::finished, remark); }
};

// ---- sockets

// Turns the loop until something holds; that it does within some seconds is asserted, when is not.
template <class Condition>
void until(loop::Loop& loop, Condition holds) {
  Ms end = loop.now() + 20000;
  bool held = holds();
  for (; !held && loop.now() < end; held = holds()) loop.turn(1);
  assert(held);
}

// The far end of a connection. Nothing blocks.
struct Far {
  loop::Descriptor fd;
  std::string got;
  bool over = false;  // the near side ended it

  explicit Far(loop::Descriptor d = {}) : fd(std::move(d)) {}
  static Far to(const loop::Address& at) {
    Far f(loop::Descriptor(::socket(AF_INET, SOCK_STREAM, 0)));
    assert(::connect(f.fd.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
    ::fcntl(f.fd.get(), F_SETFL, O_NONBLOCK);
    return f;
  }
  void say(std::string_view text) {
    assert(::send(fd.get(), text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
  }
  const std::string& read(std::size_t most = 1 << 16) {
    std::string chunk(most, 0);
    ssize_t n = ::recv(fd.get(), chunk.data(), chunk.size(), 0);
    if (n > 0) got.append(chunk, 0, static_cast<std::size_t>(n));
    over |= n == 0 || (n < 0 && errno != EAGAIN);
    return got;
  }
  bool hears(std::string_view text) { return read().find(text) != std::string::npos; }
  void reset() {  // ends with a reset, not a close
    linger now{1, 0};
    ::setsockopt(fd.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    fd.reset();
  }
};

inline std::string text(const loop::Address& at) {
  char host[INET_ADDRSTRLEN];
  ::inet_ntop(AF_INET, &at.sin_addr, host, sizeof host);
  return std::string(host) + ':' + std::to_string(ntohs(at.sin_port));
}

struct FarListener {
  loop::Descriptor fd{::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)};
  loop::Address at{};

  explicit FarListener(int backlog = 16, in_addr_t host = INADDR_LOOPBACK) {
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(host);
    socklen_t size = sizeof at;
    assert(::bind(fd.get(), reinterpret_cast<sockaddr*>(&at), size) == 0);
    assert(::listen(fd.get(), backlog) == 0);
    assert(::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&at), &size) == 0);
  }
  Far next(loop::Loop& loop) {
    int got = -1;
    until(loop, [&] { return (got = ::accept4(fd.get(), nullptr, nullptr, SOCK_NONBLOCK)) >= 0; });
    return Far(loop::Descriptor(got));
  }
  std::string text() const { return kit::text(at); }
};

// An address of loopback at which nobody listens just now, of a host that no other process uses.
inline loop::Address freeAddress() {
  return FarListener(1, 0x7f400001 + 4 * static_cast<in_addr_t>(::getpid() & 0xffff)).at;
}
}  // namespace kit
