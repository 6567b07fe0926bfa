// Helpers of the tests: a small store, a front that is told things and asked what it did, and the
// far side of connections.
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

constexpr int kStoreKind = 0, kParentKind = 1, kOriginKind = 2;

inline DeploymentSettings Settings() {
  DeploymentSettings s;
  RequestClass video, write;
  video.latency_objective = 500;
  video.latency_objective_per_transfer_time = 2;
  video.max_deadline = 5000;
  video.priority_weight = 2;
  write.effect = Effect::kExclusive;
  write.latency_objective = 700;
  write.max_deadline = 3000;
  write.priority_weight = 3;
  write.uncacheable = true;
  s.request_classes = {video, write};
  s.zone = 1;
  s.fronts = 2;
  s.fronts_in_zone = 1;
  s.parent_kind = kParentKind;
  s.origin_kind = kOriginKind;
  s.weight_source = WeightSource::kNominal;
  s.permissions = {true, true, true, false, true};
  s.max_attempts = 8;
  s.fills_from_siblings = true;
  s.stream_kb_per_ms = 10;
  s.link_kb_per_ms = 150;
  s.purge_completion_time = 6000;
  s.cache_slow_start = {0.3, 2, 15000};
  s.parent_slow_start = {0.1, 2, 20000};
  s.slow_start_window = 1000;
  return s;
}

inline ListEntry MakeEntry(std::uint32_t id, int kind, int zone,
                           EndpointState standing = EndpointState::kReady, Ms started_at = 0) {
  ListEntry e;
  e.id = id;
  e.kind = kind;
  e.zone = zone;
  e.state = standing;
  e.started_at = started_at;
  e.weight = kind == kStoreKind ? 6 : 30;
  return e;
}

// Caches 11 to 14, parents 21 and 22, origin 31.
inline EndpointListUpdate List() {
  EndpointListUpdate news{ListUpdateKind::kSnapshot, {}};
  for (std::uint32_t id : {11, 12, 13, 14})
    news.entries.push_back(MakeEntry(id, kStoreKind, 1));
  for (std::uint32_t id : {21, 22})
    news.entries.push_back(MakeEntry(id, kParentKind, 0));
  news.entries.push_back(MakeEntry(31, kOriginKind, 0));
  return news;
}

struct Front {
  Router router;
  Ms now = 1e6;
  std::uint32_t last_request = 0;
  std::vector<Action> did;  // by the last event

  explicit Front(DeploymentSettings s = Settings(), std::uint64_t seed = 1,
                 EndpointListUpdate news = List())
      : router(s, seed) {
    Tell(news);
  }
  void Tell(const Event& e) {
    did = router.Handle(now, e);
  }
  template <class A>
  std::vector<A> all() const {
    std::vector<A> found;
    for (const Action& a : did)
      if (auto* one = std::get_if<A>(&a))
        found.push_back(*one);
    return found;
  }
  // The leg that a new pull leads to; cache 0 when it leads to none.
  SendAttempt Request(std::uint64_t object, int request_class = 0, double size_kb = 1000,
                      Ms ttl = 4000, int part = 0) {
    RequestArrived p;
    p.request = ++last_request;
    p.request_class = request_class;
    p.object = object;
    p.time_left = ttl;
    p.size_kb = size_kb;
    p.part = part;
    p.group = 7;
    Tell(p);
    return attempt();
  }
  SendAttempt attempt() const {
    return all<SendAttempt>().empty() ? SendAttempt{} : all<SendAttempt>().front();
  }
  bool Declined() const {
    return !all<RejectRequest>().empty();
  }
  bool Abandoned() const {
    return !all<FailRequest>().empty();
  }
  void end(const SendAttempt& a, AttemptResult ending, CacheStatus remark = CacheStatus::kNone,
           int attempt = 0, Ms took = 105) {
    AttemptEnded e;
    e.request = a.request;
    e.endpoint = a.endpoint;
    e.attempt = attempt;
    e.result = ending;
    e.cache_status = remark;
    e.duration = took;
    e.final = ending == AttemptResult::kFinished;
    Tell(e);
  }
  void Finish(const SendAttempt& a, CacheStatus remark = CacheStatus::kHit) {
    end(a, AttemptResult::kFinished, remark);
  }
};

// ---- sockets

// Turns the loop until something holds; that it does within some seconds is asserted, when is not.
template <class Condition>
void Until(loop::Loop& loop, Condition holds) {
  Ms end = loop.now() + 20000;
  bool held = holds();
  for (; !held && loop.now() < end; held = holds())
    loop.RunOnce(1);
  assert(held);
}

// The far end of a connection. Nothing blocks.
struct Far {
  loop::Descriptor fd;
  std::string got;
  bool over = false;  // the near side ended it

  explicit Far(loop::Descriptor d = {}) : fd(std::move(d)) {}
  static Far To(const loop::Address& at) {
    Far f(loop::Descriptor(::socket(AF_INET, SOCK_STREAM, 0)));
    assert(::connect(f.fd.Get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
    ::fcntl(f.fd.Get(), F_SETFL, O_NONBLOCK);
    return f;
  }
  void Send(std::string_view text) {
    assert(::send(fd.Get(), text.data(), text.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(text.size()));
  }
  const std::string& Read(std::size_t most = 1 << 16) {
    std::string chunk(most, 0);
    ssize_t n = ::recv(fd.Get(), chunk.data(), chunk.size(), 0);
    if (n > 0)
      got.append(chunk, 0, static_cast<std::size_t>(n));
    over |= n == 0 || (n < 0 && errno != EAGAIN);
    return got;
  }
  bool Hears(std::string_view text) {
    return Read().find(text) != std::string::npos;
  }
  void Reset() {  // ends with a reset, not a close
    linger now{1, 0};
    ::setsockopt(fd.Get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    fd.Reset();
  }
};

inline std::string Text(const loop::Address& at) {
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
    assert(::bind(fd.Get(), reinterpret_cast<sockaddr*>(&at), size) == 0);
    assert(::listen(fd.Get(), backlog) == 0);
    assert(::getsockname(fd.Get(), reinterpret_cast<sockaddr*>(&at), &size) == 0);
  }
  Far Next(loop::Loop& loop) {
    int got = -1;
    Until(loop, [&] { return (got = ::accept4(fd.Get(), nullptr, nullptr, SOCK_NONBLOCK)) >= 0; });
    return Far(loop::Descriptor(got));
  }
  std::string Text() const {
    return kit::Text(at);
  }
};

// An address of loopback at which nobody listens just now, of a host that no other process uses.
inline loop::Address FreeAddress() {
  return FarListener(1, 0x7f400001 + 4 * static_cast<in_addr_t>(::getpid() & 0xffff)).at;
}
}  // namespace kit
