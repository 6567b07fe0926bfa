// Tests of the HTTP server on loopback sockets, with a recording transport in place of the caches
// and clients that exchange plain bytes.
#include "clients/clients.hpp"

#include <fcntl.h>
#include <sys/resource.h>

#include "log/log.hpp"
#include "sides.hpp"

using namespace kit;

namespace {

struct ServerFixture {  // an HTTP server on loopback sockets, with a recording transport
  ExchangeFixture d;
  loop::Address at = FreeAddress();
  clients::HttpServer clients;
  explicit ServerFixture(std::size_t most = 50, DeploymentSettings s = kit::Settings())
      : d(s),
        clients(d.loop, d.exchange, MakeConnectionSettings().request_classes, {false, true}, at,
                most) {}
  Far Connect() {
    Far f = Far::To(at);
    d.loop.RunOnce(1);
    return f;
  }
  void WaitFor(Far& f, std::string_view text) {
    Until(d.loop, [&] { return f.Hears(text); });
  }
  // Runs the loop until all connections are closed that a shutdown closes.
  void RunShutdown() {
    Until(d.loop, [&] {
      clients.ContinueShutdown();
      return clients.empty();
    });
  }
  AttemptKey attempt(std::size_t which) {
    Until(d.loop, [&] { return d.caches.sent.size() > which; });
    return d.caches.sent[which].key;
  }
  void Finish(AttemptKey key, const exchange::ResponseHead& word, std::string_view body = {}) {
    d.exchange.OnAttemptResponseStarted(key, word, body.size());
    d.exchange.OnAttemptResponseData(key, body);
    d.exchange.OnAttemptResponseComplete(key, word);
  }
};

// Runs a function in the middle of a loop iteration: after its poll, before its timers.
struct MidIteration final : loop::Handler {
  loop::Loop& loop;
  std::function<void()> what;
  int ends[2];
  MidIteration(loop::Loop& l, std::function<void()> w) : loop(l), what(std::move(w)) {
    assert(::pipe(ends) == 0 && ::write(ends[1], "x", 1) == 1);
    loop.WatchDescriptor(ends[0], *this, POLLIN);
    Until(loop, [&] { return !what; });
  }
  ~MidIteration() {
    loop.Unwatch(ends[0]);
    ::close(ends[0]);
    ::close(ends[1]);
  }
  void OnReady(short) override {
    if (what)
      std::exchange(what, nullptr)();
  }
};

bool IsReset(Far& f) {
  pollfd one{f.fd.Get(), 0, 0};
  ::poll(&one, 1, 0);
  return one.revents & POLLERR;
}

// A client that reads slowly: when its whole response has left the front, most of it is still in
// the kernel's buffers.
struct SlowClient {
  Far far{loop::Descriptor(::socket(AF_INET, SOCK_STREAM, 0))};
  std::string body = std::string(200000, 'x');
  SlowClient(ServerFixture& c) {
    int small = 1 << 12;
    ::setsockopt(far.fd.Get(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    assert(::connect(far.fd.Get(), reinterpret_cast<const sockaddr*>(&c.at), sizeof c.at) == 0);
    ::fcntl(far.fd.Get(), F_SETFL, O_NONBLOCK);
    far.Send(GetWithId(1));
    c.Finish(c.attempt(0), MakeResponseHead(AttemptResult::kFinished), body);
    for (int i = 0; i < 3; ++i)
      c.d.loop.RunOnce(0);
  }
  bool HasAll() {
    return far.Read(1000).ends_with("\r\n\r\n" + body);
  }
};

void ClientsGetResponses() {
  ServerFixture c;
  Far f = c.Connect();
  for (char one : Get("If-None-Match: \"4be0\"\r\nX-Memory-Kb: 412.5\r\n")) {
    f.Send(std::string_view(&one, 1));
    c.d.loop.RunOnce(0);
  }
  c.Finish(c.attempt(0), MakeResponseHead(AttemptResult::kFinished), "a\r\n\r\nb");
  c.WaitFor(f, "\r\n\r\na\r\n\r\nb");
  assert(f.Hears("HTTP/1.1 200 OK\r\n") && f.Hears("ETag: \"t1\"\r\n") &&
         f.Hears("Content-Length: 6\r\n"));
  f.got.clear();
  f.Send(Get("If-None-Match: \"t1\"\r\n"));  // the connection is kept
  exchange::ResponseHead valid = MakeResponseHead(AttemptResult::kFinished);
  valid.not_modified = true;
  c.Finish(c.attempt(1), valid);
  c.WaitFor(f, "HTTP/1.1 304 Not Modified\r\nETag: \"t1\"\r\n\r\n");
  f.got.clear();
  std::string body(48000, 'p');
  f.Send("PUT /ops/write/7f3a?part=0 HTTP/1.1\r\nX-Request-Id: " + kId +
         "\r\nX-Timeout-Ms: 60000\r\nX-Group: 17\r\nConnection: close\r\nContent-Length: "
         "48000\r\n\r\n" +
         body);
  c.d.exchange.OnAttemptDisconnected(c.attempt(2), loop::DisconnectReason::kReset, true);
  c.WaitFor(f, "HTTP/1.1 502 ");
  Until(c.d.loop, [&] {
    f.Read();
    return f.over;
  });
}

void LargeResponsesWaitForSlowClients() {
  ServerFixture c;
  Far f = Far::To(c.at);
  int small = 1 << 15;
  ::setsockopt(f.fd.Get(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  std::string body(exchange::kMaxObjectBytes, 'x');
  for (std::size_t i = 0; i < body.size(); ++i)
    body[i] = static_cast<char>(i * 7);
  f.Send(Get() + Get());  // the second waits until the first is written
  c.Finish(c.attempt(0), MakeResponseHead(AttemptResult::kFinished), body);
  Until(c.d.loop, [&] { return f.Read(1000).size() > 100000; });
  Until(c.d.loop, [&] {
    f.Read();
    return c.d.caches.sent.size() == 2;
  });
  c.Finish(c.attempt(1), MakeResponseHead(AttemptResult::kFinished), "end");
  c.WaitFor(f, "\r\n\r\nend");
  assert(f.got.find(body) != std::string::npos);
}

void BadRequestsAreRejectedIndividually() {
  struct Case {
    std::string request;
    std::string status;
  };
  ServerFixture c;
  Far good = c.Connect();
  good.Send(Get());
  AttemptKey key = c.attempt(0);
  const std::string head = "GET /ops/video/7f3a HTTP/1.1\r\n";
  const std::string own = "X-Request-Id: 00000000000000aa\r\n";
  for (const Case& one :
       {Case{"\x16\x03\x01", "400"},
        {Get("", "/ops/video/0000"), "409"},  // the id of the open request
        {head + own + own + "X-Timeout-Ms: 9\r\nX-Group: 1\r\n\r\n", "400"},
        {head + own + "X-Timeout-Ms: 1e3\r\nX-Group: 1\r\n\r\n", "400"},
        {head + own + "X-Timeout-Ms: -0\r\nX-Group: 1\r\n\r\n", "400"},
        {head + own + "X-Timeout-Ms: 9\r\nX-Group: 1.5\r\n\r\n", "400"},
        {head + own + "X-Timeout-Ms: 9\r\nX-Group: nan\r\n\r\n", "400"},
        {Get("", "/odd"), "404"},
        {Get("", "/ops/video"), "404"},
        {Get("", "/ops/odd/7f3a"), "404"},
        {Get("", "/ops/video/7f,a"), "404"},
        {Get("", "/ops/video/" + std::string(200, 'a')), "404"},
        {Get("", "/ops/video/7f3a?part=x"), "400"},
        {Get("", "/ops/video/7f3a?part=1&b=2"), "400"},
        {Get("", "/ops/write/7f3a"), "405"},
        {"POST /alive HTTP/1.1\r\n\r\n", "405"},
        {head + "\r\n", "400"},
        {head + "X-Request-Id: 9b1f\r\nX-Timeout-Ms: 1\r\nX-Group: 1\r\n\r\n", "400"},
        {head + "X-Request-Id: " + kId + "\r\nX-Timeout-Ms: soon\r\nX-Group: 1\r\n\r\n", "400"},
        {head + "X-Request-Id: " + kId + "\r\nX-Timeout-Ms: 9\r\nX-Group: 256\r\n\r\n", "400"},
        {Get("X-Memory-Kb: big\r\n"), "400"},
        {Get("Idempotency-Key: a,miss=b\r\n"), "400"},
        {Get("Idempotency-Key:\r\n"), "400"},
        {Get("Idempotency-Key: " + std::string(129, 'k') + "\r\n"), "400"},
        {Get("Idempotency-Key: a\r\nIdempotency-Key: b\r\n"), "400"},
        {Get("Content-Length: 1\r\n") + "x", "400"},
        {"PUT /ops/write/7f3a HTTP/1.1\r\nContent-Length: 48001\r\n\r\n" + std::string(48001, 'x'),
         "413"},
        {head + "A: " + std::string(9000, 'x'), "431"}}) {
    Far f = c.Connect();
    f.Send(one.request);
    c.WaitFor(f, "HTTP/1.1 " + one.status);
    assert(f.Hears("Connection: close\r\n"));
    Until(c.d.loop, [&] {
      f.Read();
      return f.over;
    });
  }
  assert(c.d.exchange.counters.bad_requests == 28 && c.d.caches.sent.size() == 1);
  c.Finish(key, MakeResponseHead(AttemptResult::kFinished), "still here");
  c.WaitFor(good, "still here");
}

// A client that sends nothing, or a partial request, gets a status or a close within 3 s, and no
// other client is affected; an idle client that has been served keeps its connection.
void SilentClientsAreDisconnected() {
  ServerFixture c;
  Far served = c.Connect(), silent = c.Connect(), half = c.Connect();
  served.Send("GET /alive HTTP/1.1\r\n\r\n");
  c.WaitFor(served, "HTTP/1.1 200");
  half.Send("GET /alive HTTP/1.1\r\nA: ");
  for (int i = 0; i < 3; ++i)
    c.d.loop.RunOnce(1);
  c.d.loop.AdvanceClock(2600);
  c.WaitFor(half, "HTTP/1.1 408");
  Until(c.d.loop, [&] {
    silent.Read();
    return silent.over;
  });
  assert(silent.got.empty() && !(served.Read(), served.over));
}

// How a client disconnects. Closing its sending direction alone counts as a disconnect too: no
// response is sent on a half-closed connection.
enum class DisconnectKind {
  kClose,
  kReset,
  kHalfClose
};
constexpr DisconnectKind kDisconnectKinds[] = {DisconnectKind::kClose, DisconnectKind::kReset,
                                               DisconnectKind::kHalfClose};

void Disconnect(Far& f, DisconnectKind how) {
  if (how == DisconnectKind::kClose)
    f.fd.Reset();
  if (how == DisconnectKind::kReset)
    f.Reset();
  if (how == DisconnectKind::kHalfClose)
    ::shutdown(f.fd.Get(), SHUT_WR);
}

void ClosingClientsGetNoResponse() {
  for (DisconnectKind how : kDisconnectKinds) {
    ServerFixture c;
    Far f = c.Connect();
    f.Send(Get());
    c.attempt(0);
    Disconnect(f, how);
    Until(c.d.loop, [&] { return c.d.exchange.counters.client_disconnects == 1; });
    assert(c.d.caches.cancelled.size() == 1 && c.clients.empty());
    assert(how != DisconnectKind::kHalfClose || (f.Read().empty() && f.over));
  }
}

// The close arrived before the request was processed: no response is due, and an attempt would
// start after its client disconnected.
void ARequestThatArrivesWithItsCloseIsNotForwarded() {
  std::string big = "PUT /ops/write/7f3a?part=0 HTTP/1.1\r\nX-Request-Id: " + kId +
                    "\r\nX-Timeout-Ms: 60000\r\nX-Group: 17\r\nContent-Length: 48000\r\n\r\n" +
                    std::string(48000, 'p');
  for (const std::string& request : {Get(), big, GetWithId(1) + GetWithId(2)})
    for (bool accepted : {false, true})
      for (DisconnectKind how : kDisconnectKinds) {
        ServerFixture c;
        Far f = accepted ? c.Connect() : Far::To(c.at);
        f.Send(request);
        Disconnect(f, how);
        Until(c.d.loop,
              [&] { return c.d.exchange.counters.client_connections == 1 && c.clients.empty(); });
        assert(c.d.caches.sent.empty());
      }
}

// The client closes as the first request is answered, in one iteration: the next poll shows that,
// and the second request is not forwarded.
void ASecondRequestIsNotForwardedAfterItsClientDisconnected() {
  for (DisconnectKind how : kDisconnectKinds) {
    ServerFixture c;
    Far f = c.Connect();
    f.Send(GetWithId(1) + GetWithId(2));
    AttemptKey key = c.attempt(0);
    MidIteration now(c.d.loop, [&] {
      Disconnect(f, how);
      c.Finish(key, MakeResponseHead(AttemptResult::kFinished), "ok");
    });
    Until(c.d.loop, [&] { return c.clients.empty(); });
    assert(c.d.caches.sent.size() == 1);
  }
}

// It arrives behind the open request, together with the close, after the front has begun to poll
// the connection lazily.
void APipelinedRequestIsNotForwardedAfterItsClose() {
  for (DisconnectKind how : kDisconnectKinds) {
    ServerFixture c;
    Far f = c.Connect();
    f.Send(GetWithId(1));
    AttemptKey key = c.attempt(0);
    MidIteration now(c.d.loop, [&] {
      f.Send(GetWithId(2));
      Disconnect(f, how);
      c.Finish(key, MakeResponseHead(AttemptResult::kFinished), "ok");
    });
    Until(c.d.loop, [&] { return c.clients.empty(); });
    assert(c.d.caches.sent.size() == 1);
  }
}

// A request on an idle connection arrives after the poll of the iteration that would close it: it
// is read before the close, and served. Closing would be a reset and discard the last response.
void ARequestThatArrivesBeforeTheIdleCloseIsServed() {
  ServerFixture c;
  SlowClient slow(c);
  c.d.loop.AdvanceClock(20000);
  MidIteration now(c.d.loop, [&] { slow.far.Send(GetWithId(2)); });
  c.Finish(c.attempt(1), MakeResponseHead(AttemptResult::kFinished), "second");
  Until(c.d.loop, [&] { return slow.far.Read(1000).ends_with("\r\n\r\nsecond"); });
  assert(!IsReset(slow.far) &&
         slow.far.got.find("\r\n\r\n" + slow.body + "HTTP/1.1 200") != std::string::npos);
  assert(c.d.caches.sent.size() == 2 && !slow.far.over);
}

// It arrives after the half-close: the response before it arrives whole, without a reset, and it is
// not forwarded.
void ARequestThatCrossesTheIdleCloseLosesNoResponse() {
  ServerFixture c;
  SlowClient slow(c);
  c.d.loop.AdvanceClock(20000);
  c.d.loop.RunOnce(0);  // the timeout check is due
  slow.far.Send(GetWithId(2));
  Until(c.d.loop, [&] { return slow.HasAll(); });
  Until(c.d.loop, [&] {
    slow.far.Read();
    return slow.far.over;
  });
  assert(!IsReset(slow.far) && c.d.caches.sent.size() == 1);
  slow.far.fd.Reset();
  Until(c.d.loop, [&] { return c.clients.empty(); });
}

// The same where a slot is freed for a new connection. Here the request arrived first: it is read,
// and its connection is not idle any more.
void ARequestThatArrivesBeforeASlotIsFreedIsServed() {
  ServerFixture c(1);
  SlowClient slow(c);
  slow.far.Send(GetWithId(2));
  Far other = Far::To(c.at);
  c.attempt(1);
  Until(c.d.loop, [&] { return slow.HasAll(); });
  c.Finish(c.attempt(1), MakeResponseHead(AttemptResult::kFinished), "second");
  Until(c.d.loop, [&] { return slow.far.Hears("\r\n\r\nsecond"); });
}

// Many connect at once, each with a request: none is closed before its request was read.
void NewConnectionsAreNotClosedUnread() {
  ServerFixture c(3);
  std::vector<Far> all;
  for (int i = 0; i < 8; ++i) {
    all.push_back(Far::To(c.at));
    all.back().Send(GetWithId(i));
  }
  for (std::size_t i = 0; i < all.size(); ++i) {
    c.Finish(c.attempt(i), MakeResponseHead(AttemptResult::kFinished), "ok");
    for (int turns = 0; turns < 5; ++turns)
      c.d.loop.RunOnce(0);
  }
  for (Far& f : all)
    c.WaitFor(f, "\r\n\r\nok");
}

// Connections of rejected clients that never close: they keep no live client out, and the one that
// has lingered longest is closed when there are too many.
void LingeringConnectionsTakeNoSlot() {
  ServerFixture c(3);
  std::vector<Far> bad, good;
  for (int i = 0; i < 12; ++i) {
    bad.push_back(c.Connect());
    bad.back().Send("\x16\x03\x01");
    c.WaitFor(bad.back(), "HTTP/1.1 400");
  }
  for (int i = 0; i < 3; ++i) {
    good.push_back(Far::To(c.at));
    good.back().Send(GetWithId(i));
  }
  for (int turns = 0; turns < 50; ++turns)
    c.d.loop.RunOnce(0);
  assert(c.d.caches.sent.size() == 3);
  bad[0].Send("x");
  Until(c.d.loop, [&] { return IsReset(bad[0]); });  // closed at once
  c.d.loop.AdvanceClock(2000);
  for (Far& f : bad)
    Until(c.d.loop, [&] {
      f.Read();
      return f.over;
    });
}

// Each bad client gets a status or a close, one line in the log with none of its bytes, and is
// counted; an open request of another client is not affected.
void BadClientsAffectNoOthers() {
  enum {
    kStays,
    kCloses,
    kResets
  };
  struct Case {
    std::string bytes;
    std::string status;  // empty: the client is gone before a status could arrive
    int then;
    std::uint64_t bad;
    std::size_t most;  // how many of its requests may be forwarded
  };
  std::string many;
  for (int i = 100; i < 500; ++i) {
    std::string one = Get("Odd: zebra\r\n");
    many += one.replace(one.find(kId), kId.size(), "0000000000000" + std::to_string(i));
  }
  std::string both =
      "PUT /ops/write/7f3a?part=0 HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: "
      "chunked\r\n\r\nzebra";
  for (const Case& one :
       {Case{"GET /ops/zebra", "", kCloses, 1, 0},
        {"GET /ops/zebra", "", kResets, 1, 0},
        {"PUT /ops/write/7f3a HTTP/1.1\r\nContent-Length: 100\r\n\r\nzebra", "", kCloses, 1, 0},
        {many, "", kCloses, 0, 1},
        {many, "", kResets, 0, 1},
        {both, "400", kStays, 1, 0},
        {Get("Odd: zebra\r\n"), "409", kStays, 1, 0},  // the id of the open request
        {"GET /alive HTTP/1.1\r\nzebra: " + std::string(60000, 'z'), "431", kStays, 1, 0},
        {std::string(1, 0) + "zebra\n\x1b[31m", "400", kStays, 1, 0}}) {
    std::vector<std::string> lines;
    log::Log to([] { return 0.0; }, [&](std::string_view line) { lines.emplace_back(line); });
    log::ScopedLog use(to);
    ServerFixture c;
    Far good = c.Connect(), f = c.Connect();
    good.Send(Get());
    AttemptKey key = c.attempt(0);
    f.Send(one.bytes);
    if (one.then != kStays || one.bytes.size() > 10000)
      c.d.loop.RunOnce(1);
    if (one.then == kCloses)
      f.fd.Reset();
    if (one.then == kResets)
      f.Reset();
    if (one.then == kStays) {
      c.WaitFor(f, "HTTP/1.1 " + one.status);
      Until(c.d.loop, [&] {
        f.Read();
        return f.over;
      });
      c.d.loop.AdvanceClock(2000);  // though the client never closes
    }
    c.Finish(key, MakeResponseHead(AttemptResult::kFinished), "still here");
    c.WaitFor(good, "still here");
    good.fd.Reset();
    Until(c.d.loop, [&] { return c.clients.empty(); });
    assert(c.d.exchange.counters.bad_requests == one.bad && lines.size() == one.bad);
    assert(c.d.caches.sent.size() <= 1 + one.most);
    for (const std::string& line : lines)
      assert(line.find("zebra") == line.npos);
  }
}

// A request whose header never ends: it is rejected, its input is read and discarded for a limited
// time, then the connection is closed.
void AnEndlessHeaderIsLimited() {
  ServerFixture c;
  Far f = c.Connect();
  f.Send("GET /alive HTTP/1.1\r\n");
  std::string more = "A: " + std::string(2000, 'x') + "\r\n";
  Until(c.d.loop, [&] {
    ::send(f.fd.Get(), more.data(), more.size(), MSG_NOSIGNAL);
    return c.clients.empty();
  });
  assert(c.d.exchange.counters.bad_requests == 1 && c.d.caches.sent.empty());
}

// ---- shutdown

void TheBacklogIsServedDuringShutdown() {
  enum {
    kWaiting,
    kPaused,
    kResting
  };
  for (int listener : {kWaiting, kPaused, kResting}) {
    ServerFixture c(listener == kPaused ? 1 : 50);
    std::vector<Far> before, waits;
    for (int i = 0; listener == kPaused && i < 2; ++i) {
      before.push_back(c.Connect());
      before.back().Send(GetWithId(i));
      c.attempt(static_cast<std::size_t>(i));
    }
    for (int i = 2; i < 5; ++i)
      waits.push_back(Far::To(c.at));
    if (listener == kResting) {
      rlimit full{}, none{};
      ::getrlimit(RLIMIT_NOFILE, &full);
      none = full;
      none.rlim_cur = static_cast<rlim_t>(waits.back().fd.Get() + 1);
      ::setrlimit(RLIMIT_NOFILE, &none);
      c.d.loop.RunOnce(0);
      ::setrlimit(RLIMIT_NOFILE, &full);
    }
    for (int i = 2; i < 5; ++i)
      waits[static_cast<std::size_t>(i - 2)].Send(GetWithId(i));
    std::size_t all = before.size() + waits.size();
    Until(c.d.loop, [&] {
      c.clients.ContinueShutdown();
      return c.d.caches.sent.size() == all;
    });
    for (std::size_t i = 0; i < all; ++i)
      c.Finish(c.attempt(i), MakeResponseHead(AttemptResult::kFinished), "ok");
    for (Far& f : waits) {
      c.WaitFor(f, "\r\n\r\nok");
      assert(f.Hears("Connection: close\r\n"));
      Until(c.d.loop, [&] {
        f.Read();
        return f.over;
      });
    }
    c.RunShutdown();
  }
}

// Bytes of the request are in the kernel's buffers when the shutdown starts: they are read once
// more, and answered.
void ARequestThatCrossesTheShutdownIsServed() {
  ServerFixture c;
  Far f = c.Connect();
  for (int i = 0; i < 3; ++i)
    c.d.loop.RunOnce(0);
  f.Send(GetWithId(1));
  Until(c.d.loop, [&] {
    c.clients.ContinueShutdown();
    return c.d.caches.sent.size() == 1;
  });
  c.Finish(c.attempt(0), MakeResponseHead(AttemptResult::kFinished), "ok");
  c.WaitFor(f, "\r\n\r\nok");
  assert(f.Hears("Connection: close\r\n"));
  c.RunShutdown();
}

// The request arrives after the poll of the iteration that would half-close the connection: it is
// read before that, and served.
void ARequestThatArrivesBeforeTheHalfCloseInShutdownIsServed() {
  ServerFixture c;
  SlowClient slow(c);
  c.clients.ContinueShutdown();
  for (int i = 0; i < 3; ++i)
    c.d.loop.RunOnce(0);
  MidIteration now(c.d.loop, [&] {
    slow.far.Send(GetWithId(2));
    c.clients.ContinueShutdown();
  });
  c.Finish(c.attempt(1), MakeResponseHead(AttemptResult::kFinished), "second");
  Until(c.d.loop, [&] { return slow.far.Read(1000).ends_with("\r\n\r\nsecond"); });
  assert(slow.far.got.find("\r\n\r\n" + slow.body + "HTTP/1.1 200") != std::string::npos &&
         slow.far.Hears("Connection: close\r\n"));
  Until(c.d.loop, [&] {
    slow.far.Read();
    return slow.far.over;
  });
  assert(!IsReset(slow.far));
  c.RunShutdown();  // though the client never closes
}

// The request arrives after the half-close: the response before it arrives whole, and the request
// is not forwarded.
void ARequestThatCrossesTheHalfCloseInShutdownLosesNoResponse() {
  ServerFixture c;
  SlowClient slow(c);
  c.clients.ContinueShutdown();
  for (int i = 0; i < 3; ++i)
    c.d.loop.RunOnce(0);
  MidIteration now(c.d.loop, [&] {
    c.clients.ContinueShutdown();
    slow.far.Send(GetWithId(2));
  });
  Until(c.d.loop, [&] { return slow.HasAll(); });
  Until(c.d.loop, [&] {
    slow.far.Read();
    return slow.far.over;
  });
  assert(!IsReset(slow.far) && c.d.caches.sent.size() == 1);
  c.RunShutdown();  // though the client never closes
}

// Complete requests that were read behind an open one when the shutdown starts: each gets its
// response, and the last response announces the close.
void PipelinedRequestsAreServedDuringShutdown() {
  ServerFixture c;
  Far f = c.Connect();
  f.Send(GetWithId(1) + GetWithId(2) + GetWithId(3) + GetWithId(4).substr(0, 60));
  c.attempt(0);
  for (std::size_t i = 0; i < 3; ++i) {
    for (int turns = 0; turns < 3; ++turns) {
      c.clients.ContinueShutdown();
      c.d.loop.RunOnce(0);
    }
    c.Finish(c.attempt(i), MakeResponseHead(AttemptResult::kFinished), "body" + std::to_string(i));
    c.WaitFor(f, "\r\n\r\nbody" + std::to_string(i));
    assert(f.Hears("Connection: close\r\n") == (i == 2));
  }
  Until(c.d.loop, [&] {
    f.Read();
    return f.over;
  });
  c.RunShutdown();
  assert(c.d.caches.sent.size() == 3);
}

// Each complete request that was read gets a response, also behind one that is rejected for its
// content; behind one whose end can't be determined nothing counts as a request.
void RequestsBehindARejectedOneAreServed() {
  ServerFixture c;
  Far f = c.Connect();
  f.Send(Get("", "/odd") + GetWithId(1));
  AttemptKey key = c.attempt(0);
  c.WaitFor(f, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
  c.Finish(key, MakeResponseHead(AttemptResult::kFinished), "ok");
  c.WaitFor(f, "\r\n\r\nok");
  f.Send(Get("", "/odd"));
  c.WaitFor(f, "Connection: close\r\n\r\n");
  Until(c.d.loop, [&] {
    f.Read();
    return f.over;
  });
  assert(c.d.exchange.counters.bad_requests == 2);
}

// All slots are taken and the request of a new connection is in transit when another client
// connects: the new connection is kept for a moment.
void ANewConnectionHasTimeForItsRequest() {
  ServerFixture c(2);
  Far busy = c.Connect(), served = c.Connect();
  busy.Send(GetWithId(0));
  c.attempt(0);
  served.Send("GET /alive HTTP/1.1\r\n\r\n");
  c.WaitFor(served, "HTTP/1.1 200");
  Far newcomer = c.Connect(), next = c.Connect();
  Until(c.d.loop, [&] {
    served.Read();
    return served.over;
  });
  for (int turns = 0; turns < 5; ++turns)
    c.d.loop.RunOnce(0);
  newcomer.Send(GetWithId(1));
  c.Finish(c.attempt(1), MakeResponseHead(AttemptResult::kFinished), "ok");
  c.WaitFor(newcomer, "\r\n\r\nok");
  next.Send(GetWithId(2));
  c.attempt(2);
}

// A connection without a request keeps its slot no longer than that, also where no other connection
// is idle.
void ASilentNewConnectionIsClosedForItsSlot() {
  ServerFixture c(1);
  Far busy = c.Connect();
  busy.Send(GetWithId(0));
  c.attempt(0);
  Far silent = c.Connect(), next = c.Connect();
  next.Send(GetWithId(1));
  c.attempt(1);
  Until(c.d.loop, [&] {
    silent.Read();
    return silent.over;
  });
  assert(silent.got.empty());
}

// The connection has carried no request: it is closed in both directions, so that a request that
// crosses the close stays unread, and the connection does not linger.
void ConnectionsWithoutARequestDoNotLinger() {
  ServerFixture c;
  Far silent = c.Connect();
  c.d.loop.AdvanceClock(2600);
  Until(c.d.loop, [&] {
    silent.Read();
    return silent.over;
  });
  assert(c.clients.empty());
}

void APartialRequestIsRejectedDuringShutdown() {
  ServerFixture c;
  Far f = c.Connect();
  f.Send(Get().substr(0, 40));
  for (int i = 0; i < 3; ++i)
    c.d.loop.RunOnce(0);
  Until(c.d.loop, [&] {
    c.clients.ContinueShutdown();
    return f.Hears("\r\n\r\n");
  });
  assert(f.Hears("HTTP/1.1 503 ") && f.Hears("Connection: close\r\n"));
  f.Send(Get().substr(40));
  Until(c.d.loop, [&] {
    f.Read();
    return f.over;
  });
  c.RunShutdown();
  assert(c.d.caches.sent.empty() && c.d.exchange.counters.bad_requests == 0);
}

// Responses are written to a client that does not read until the kernel's buffers are full. A
// shutdown waits for it no longer than the response is wanted, and never for a dead client.
void ClientsThatDoNotReadDoNotDelayShutdown() {
  ServerFixture c;
  Far f(loop::Descriptor(::socket(AF_INET, SOCK_STREAM, 0)));
  int small = 1 << 12;
  ::setsockopt(f.fd.Get(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  assert(::connect(f.fd.Get(), reinterpret_cast<const sockaddr*>(&c.at), sizeof c.at) == 0);
  ::fcntl(f.fd.Get(), F_SETFL, O_NONBLOCK);
  std::string request = Get();
  request.replace(request.find("60000"), 5, "2500");
  std::string body(exchange::kMaxObjectBytes, 'x');
  auto sent_on = [&](std::size_t which) {
    for (int i = 0; i < 50 && c.d.caches.sent.size() <= which; ++i)
      c.d.loop.RunOnce(1);
    return c.d.caches.sent.size() > which;
  };
  std::size_t which = 0;
  for (f.Send(request); sent_on(which); ++which, f.Send(request)) {
    assert(which < 200);
    c.Finish(c.attempt(which), MakeResponseHead(AttemptResult::kFinished), body);
  }
  for (int i = 0; i < 3; ++i) {
    c.clients.ContinueShutdown();
    c.d.loop.RunOnce(0);
  }
  assert(!c.clients.empty());
  c.d.loop.AdvanceClock(3100);
  for (int i = 0; i < 3; ++i) {
    c.clients.ContinueShutdown();
    c.d.loop.RunOnce(0);
  }
  assert(c.clients.empty());
}

void AnAbortedStreamIsDetectable() {
  DeploymentSettings s = kit::Settings();
  s.request_classes[0].streams = true;
  ServerFixture c(50, s);
  Far f = c.Connect();
  f.Send(Get());
  AttemptKey key = c.attempt(0);
  c.d.exchange.OnAttemptResponseStarted(key, MakeResponseHead(AttemptResult::kFinished), 10);
  c.d.exchange.OnAttemptResponseData(key, "half");
  c.d.exchange.OnAttemptDisconnected(key, loop::DisconnectReason::kReset, true);
  Until(c.d.loop, [&] {
    f.Read();
    return f.over;
  });
  assert(f.Hears("Content-Length: 10\r\n") && f.got.ends_with("\r\n\r\nhalf"));
}

void IdleConnectionsAreClosedForTheirSlots() {
  ServerFixture c(3);
  Far one = c.Connect(), two = c.Connect();
  one.Send(GetWithId(1));
  c.attempt(0);
  Far three = c.Connect(), four = c.Connect();  // two has been idle longest
  Until(c.d.loop, [&] {
    two.Read();
    return two.over;
  });
  four.Send(GetWithId(2));
  c.attempt(1);
  assert(!(one.Read(), one.over));
  // With all slots taken a new connection waits until one of them has its response.
  three.Send(GetWithId(3));
  c.attempt(2);
  Far five = c.Connect(), six = c.Connect();
  five.Send(GetWithId(4));
  c.attempt(3);
  six.Send(GetWithId(5));
  for (int i = 0; i < 20; ++i)
    c.d.loop.RunOnce(1);
  assert(c.d.caches.sent.size() == 4);
  c.Finish(c.attempt(0), MakeResponseHead(AttemptResult::kFinished));
  c.attempt(4);
}

void DescriptorExhaustionDoesNotSpin() {
  ServerFixture c;
  Far f(loop::Descriptor(::socket(AF_INET, SOCK_STREAM, 0)));
  rlimit before{}, none{};
  ::getrlimit(RLIMIT_NOFILE, &before);
  none = before;
  none.rlim_cur = static_cast<rlim_t>(f.fd.Get());
  ::setrlimit(RLIMIT_NOFILE, &none);
  assert(::connect(f.fd.Get(), reinterpret_cast<const sockaddr*>(&c.at), sizeof c.at) == 0);
  ::fcntl(f.fd.Get(), F_SETFL, O_NONBLOCK);
  Until(c.d.loop, [&] { return c.d.exchange.counters.descriptor_shortages > 0; });
  ::setrlimit(RLIMIT_NOFILE, &before);
  f.Send(Get());
  c.attempt(0);  // served once there are descriptors again
  assert(c.d.exchange.counters.descriptor_shortages < 20);
}

}  // namespace

int main(int count, char** words) {  // runs all cases, or the named one
  struct Case {
    const char* name;
    void (*run)();
  };
  for (Case c :
       {Case{"clients get responses", ClientsGetResponses},
        {"large responses wait for slow clients", LargeResponsesWaitForSlowClients},
        {"bad requests are rejected individually", BadRequestsAreRejectedIndividually},
        {"silent clients are disconnected", SilentClientsAreDisconnected},
        {"closing clients get no response", ClosingClientsGetNoResponse},
        {"a request that arrives with its close is not forwarded",
         ARequestThatArrivesWithItsCloseIsNotForwarded},
        {"a second request is not forwarded after its client disconnected",
         ASecondRequestIsNotForwardedAfterItsClientDisconnected},
        {"a pipelined request is not forwarded after its close",
         APipelinedRequestIsNotForwardedAfterItsClose},
        {"a request that arrives before the idle close is served",
         ARequestThatArrivesBeforeTheIdleCloseIsServed},
        {"a request that crosses the idle close loses no response",
         ARequestThatCrossesTheIdleCloseLosesNoResponse},
        {"a request that arrives before a slot is freed is served",
         ARequestThatArrivesBeforeASlotIsFreedIsServed},
        {"new connections are not closed unread", NewConnectionsAreNotClosedUnread},
        {"lingering connections take no slot", LingeringConnectionsTakeNoSlot},
        {"bad clients affect no others", BadClientsAffectNoOthers},
        {"an endless header is limited", AnEndlessHeaderIsLimited},
        {"the backlog is served during shutdown", TheBacklogIsServedDuringShutdown},
        {"a request that crosses the shutdown is served", ARequestThatCrossesTheShutdownIsServed},
        {"a request that arrives before the half-close in shutdown is served",
         ARequestThatArrivesBeforeTheHalfCloseInShutdownIsServed},
        {"a request that crosses the half-close in shutdown loses no response",
         ARequestThatCrossesTheHalfCloseInShutdownLosesNoResponse},
        {"pipelined requests are served during shutdown", PipelinedRequestsAreServedDuringShutdown},
        {"requests behind a rejected one are served", RequestsBehindARejectedOneAreServed},
        {"a new connection has time for its request", ANewConnectionHasTimeForItsRequest},
        {"a silent new connection is closed for its slot", ASilentNewConnectionIsClosedForItsSlot},
        {"connections without a request do not linger", ConnectionsWithoutARequestDoNotLinger},
        {"a partial request is rejected during shutdown", APartialRequestIsRejectedDuringShutdown},
        {"clients that do not read do not delay shutdown", ClientsThatDoNotReadDoNotDelayShutdown},
        {"an aborted stream is detectable", AnAbortedStreamIsDetectable},
        {"idle connections are closed for their slots", IdleConnectionsAreClosedForTheirSlots},
        {"descriptor exhaustion does not spin", DescriptorExhaustionDoesNotSpin}}) {
    if (count > 1 && std::string_view(words[1]) != c.name)
      continue;
    std::puts(c.name);
    std::fflush(stdout);
    c.run();
  }
}
