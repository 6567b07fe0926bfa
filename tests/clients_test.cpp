// The clients' side on sockets, with noted caches, beside a far side of plain bytes.
#include "clients/clients.hpp"

#include <fcntl.h>
#include <sys/resource.h>

#include "log/log.hpp"
#include "sides.hpp"

using namespace kit;

namespace {

struct Counter {  // clients on real sockets, with noted caches
  Desk d;
  loop::Address at = FreeAddress();
  clients::Clients clients;
  explicit Counter(std::size_t most = 50, StoreSettings s = kit::Settings())
      : d(s), clients(d.loop, d.exchange, MakeTerms().request_classes, {false, true}, at, most) {}
  Far Come() {
    Far f = Far::To(at);
    d.loop.RunOnce(1);
    return f;
  }
  void Hear(Far& f, std::string_view text) {
    Until(d.loop, [&] { return f.Hears(text); });
  }
  // Turns on until all have gone that a stop lets go.
  void leave() {
    Until(d.loop, [&] {
      clients.Leave();
      return clients.empty();
    });
  }
  AttemptKey attempt(std::size_t which) {
    Until(d.loop, [&] { return d.caches.sent.size() > which; });
    return d.caches.sent[which].key;
  }
  void Finish(AttemptKey key, const exchange::Word& word, std::string_view body = {}) {
    d.exchange.AnswerBegun(key, word, body.size());
    d.exchange.AnswerBytes(key, body);
    d.exchange.AnswerWhole(key, word);
  }
};

// Does something in the middle of a turn: after its poll, before its timers.
struct Meanwhile final : loop::Handler {
  loop::Loop& loop;
  std::function<void()> what;
  int ends[2];
  Meanwhile(loop::Loop& l, std::function<void()> w) : loop(l), what(std::move(w)) {
    assert(::pipe(ends) == 0 && ::write(ends[1], "x", 1) == 1);
    loop.WatchDescriptor(ends[0], *this, POLLIN);
    Until(loop, [&] { return !what; });
  }
  ~Meanwhile() {
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

// A client that takes slowly: when all its answer has left the front, most of it lies in the
// system's buffers.
struct Slow {
  Far far{loop::Descriptor(::socket(AF_INET, SOCK_STREAM, 0))};
  std::string body = std::string(200000, 'x');
  Slow(Counter& c) {
    int small = 1 << 12;
    ::setsockopt(far.fd.Get(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    assert(::connect(far.fd.Get(), reinterpret_cast<const sockaddr*>(&c.at), sizeof c.at) == 0);
    ::fcntl(far.fd.Get(), F_SETFL, O_NONBLOCK);
    far.Send(GetAs(1));
    c.Finish(c.attempt(0), Said(Ending::kFinished), body);
    for (int i = 0; i < 3; ++i)
      c.d.loop.RunOnce(0);
  }
  bool HasAll() {
    return far.Read(1000).ends_with("\r\n\r\n" + body);
  }
};

void ClientsAreAnswered() {
  Counter c;
  Far f = c.Come();
  for (char one : Get("If-None-Match: \"4be0\"\r\nX-Memory-Kb: 412.5\r\n")) {
    f.Send(std::string_view(&one, 1));
    c.d.loop.RunOnce(0);
  }
  c.Finish(c.attempt(0), Said(Ending::kFinished), "a\r\n\r\nb");
  c.Hear(f, "\r\n\r\na\r\n\r\nb");
  assert(f.Hears("HTTP/1.1 200 OK\r\n") && f.Hears("ETag: \"t1\"\r\n") &&
         f.Hears("Content-Length: 6\r\n"));
  f.got.clear();
  f.Send(Get("If-None-Match: \"t1\"\r\n"));  // the connection is kept
  exchange::Word valid = Said(Ending::kFinished);
  valid.unchanged = true;
  c.Finish(c.attempt(1), valid);
  c.Hear(f, "HTTP/1.1 304 Not Modified\r\nETag: \"t1\"\r\n\r\n");
  f.got.clear();
  std::string body(48000, 'p');
  f.Send("PUT /ops/write/7f3a?part=0 HTTP/1.1\r\nX-Request-Id: " + kId +
         "\r\nX-Timeout-Ms: 60000\r\nX-Group: 17\r\nConnection: close\r\nContent-Length: "
         "48000\r\n\r\n" +
         body);
  c.d.exchange.AttemptLost(c.attempt(2), loop::DisconnectReason::kReset, true);
  c.Hear(f, "HTTP/1.1 502 ");
  Until(c.d.loop, [&] {
    f.Read();
    return f.over;
  });
}

void BigAnswersWaitForSlowClients() {
  Counter c;
  Far f = Far::To(c.at);
  int small = 1 << 15;
  ::setsockopt(f.fd.Get(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  std::string body(exchange::kMostBytes, 'x');
  for (std::size_t i = 0; i < body.size(); ++i)
    body[i] = static_cast<char>(i * 7);
  f.Send(Get() + Get());  // the second waits until the first is out
  c.Finish(c.attempt(0), Said(Ending::kFinished), body);
  Until(c.d.loop, [&] { return f.Read(1000).size() > 100000; });
  Until(c.d.loop, [&] {
    f.Read();
    return c.d.caches.sent.size() == 2;
  });
  c.Finish(c.attempt(1), Said(Ending::kFinished), "end");
  c.Hear(f, "\r\n\r\nend");
  assert(f.got.find(body) != std::string::npos);
}

void BadRequestsAreRefusedAlone() {
  struct Case {
    std::string request;
    std::string status;
  };
  Counter c;
  Far good = c.Come();
  good.Send(Get());
  AttemptKey key = c.attempt(0);
  const std::string head = "GET /ops/video/7f3a HTTP/1.1\r\n";
  const std::string own = "X-Request-Id: 00000000000000aa\r\n";
  for (const Case& one :
       {Case{"\x16\x03\x01", "400"},
        {Get("", "/ops/video/0000"), "409"},  // the id of the open one
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
    Far f = c.Come();
    f.Send(one.request);
    c.Hear(f, "HTTP/1.1 " + one.status);
    assert(f.Hears("Connection: close\r\n"));
    Until(c.d.loop, [&] {
      f.Read();
      return f.over;
    });
  }
  assert(c.d.exchange.counters.bad_requests == 28 && c.d.caches.sent.size() == 1);
  c.Finish(key, Said(Ending::kFinished), "still here");
  c.Hear(good, "still here");
}

// Who says nothing, or half a request, is told so by a word or a close in 3 s, and others notice
// nothing; an idle client that has been served keeps its connection.
void WhoSaysNothingGoes() {
  Counter c;
  Far served = c.Come(), silent = c.Come(), half = c.Come();
  served.Send("GET /alive HTTP/1.1\r\n\r\n");
  c.Hear(served, "HTTP/1.1 200");
  half.Send("GET /alive HTTP/1.1\r\nA: ");
  for (int i = 0; i < 3; ++i)
    c.d.loop.RunOnce(1);
  c.d.loop.AdvanceClock(2600);
  c.Hear(half, "HTTP/1.1 408");
  Until(c.d.loop, [&] {
    silent.Read();
    return silent.over;
  });
  assert(silent.got.empty() && !(served.Read(), served.over));
}

// How a client leaves. The end of its way out alone counts as a leave too: what follows a
// half-close is never an answer.
enum class Leave {
  kClose,
  kReset,
  kHalfClose
};
constexpr Leave kLeaves[] = {Leave::kClose, Leave::kReset, Leave::kHalfClose};

void LeaveBy(Far& f, Leave how) {
  if (how == Leave::kClose)
    f.fd.Reset();
  if (how == Leave::kReset)
    f.Reset();
  if (how == Leave::kHalfClose)
    ::shutdown(f.fd.Get(), SHUT_WR);
}

void WhoClosesIsOwedNothing() {
  for (Leave how : kLeaves) {
    Counter c;
    Far f = c.Come();
    f.Send(Get());
    c.attempt(0);
    LeaveBy(f, how);
    Until(c.d.loop, [&] { return c.d.exchange.counters.left == 1; });
    assert(c.d.caches.given_up.size() == 1 && c.clients.empty());
    assert(how != Leave::kHalfClose || (f.Read().empty() && f.over));
  }
}

// The close was there before the request was looked at: nothing is owed, and an attempt would begin
// after its client left.
void ARequestThatCameWithItsCloseIsNotSentOn() {
  std::string big = "PUT /ops/write/7f3a?part=0 HTTP/1.1\r\nX-Request-Id: " + kId +
                    "\r\nX-Timeout-Ms: 60000\r\nX-Group: 17\r\nContent-Length: 48000\r\n\r\n" +
                    std::string(48000, 'p');
  for (const std::string& request : {Get(), big, GetAs(1) + GetAs(2)})
    for (bool accepted : {false, true})
      for (Leave how : kLeaves) {
        Counter c;
        Far f = accepted ? c.Come() : Far::To(c.at);
        f.Send(request);
        LeaveBy(f, how);
        Until(c.d.loop,
              [&] { return c.d.exchange.counters.client_connections == 1 && c.clients.empty(); });
        assert(c.d.caches.sent.empty());
      }
}

// Its client goes as the first is answered, in one turn: the next poll shows that, and the second
// is not sent on.
void ASecondRequestIsNotSentOnWhenItsClientHasLeft() {
  for (Leave how : kLeaves) {
    Counter c;
    Far f = c.Come();
    f.Send(GetAs(1) + GetAs(2));
    AttemptKey key = c.attempt(0);
    Meanwhile now(c.d.loop, [&] {
      LeaveBy(f, how);
      c.Finish(key, Said(Ending::kFinished), "ok");
    });
    Until(c.d.loop, [&] { return c.clients.empty(); });
    assert(c.d.caches.sent.size() == 1);
  }
}

// It comes behind the open one after the front has begun to wait for that alone, and the close with
// it.
void ARequestBehindAnOpenOneIsNotSentOnAfterItsClose() {
  for (Leave how : kLeaves) {
    Counter c;
    Far f = c.Come();
    f.Send(GetAs(1));
    AttemptKey key = c.attempt(0);
    Meanwhile now(c.d.loop, [&] {
      f.Send(GetAs(2));
      LeaveBy(f, how);
      c.Finish(key, Said(Ending::kFinished), "ok");
    });
    Until(c.d.loop, [&] { return c.clients.empty(); });
    assert(c.d.caches.sent.size() == 1);
  }
}

// A request on a resting connection comes after the poll of the turn that would end it: it is read
// before the close, and served. A close would be a reset, and take the last answer with it.
void ARequestThatComesBeforeTheSweepsCloseIsServed() {
  Counter c;
  Slow slow(c);
  c.d.loop.AdvanceClock(20000);
  Meanwhile now(c.d.loop, [&] { slow.far.Send(GetAs(2)); });
  c.Finish(c.attempt(1), Said(Ending::kFinished), "second");
  Until(c.d.loop, [&] { return slow.far.Read(1000).ends_with("\r\n\r\nsecond"); });
  assert(!IsReset(slow.far) &&
         slow.far.got.find("\r\n\r\n" + slow.body + "HTTP/1.1 200") != std::string::npos);
  assert(c.d.caches.sent.size() == 2 && !slow.far.over);
}

// It comes after the shutdown: the answer before it arrives whole, without a reset, and it is not
// sent on.
void ARequestThatCrossesTheSweepTakesNoAnswerWithIt() {
  Counter c;
  Slow slow(c);
  c.d.loop.AdvanceClock(20000);
  c.d.loop.RunOnce(0);  // the sweep is due
  slow.far.Send(GetAs(2));
  Until(c.d.loop, [&] { return slow.HasAll(); });
  Until(c.d.loop, [&] {
    slow.far.Read();
    return slow.far.over;
  });
  assert(!IsReset(slow.far) && c.d.caches.sent.size() == 1);
  slow.far.fd.Reset();
  Until(c.d.loop, [&] { return c.clients.empty(); });
}

// The same where room is made for a newcomer. Here the request was there first: it is read, and its
// client has no longer rested.
void ARequestThatComesAsRoomIsMadeIsServed() {
  Counter c(1);
  Slow slow(c);
  slow.far.Send(GetAs(2));
  Far other = Far::To(c.at);
  c.attempt(1);
  Until(c.d.loop, [&] { return slow.HasAll(); });
  c.Finish(c.attempt(1), Said(Ending::kFinished), "second");
  Until(c.d.loop, [&] { return slow.far.Hears("\r\n\r\nsecond"); });
}

// Many come at once, each with its request: nobody is put out before it was read.
void WhoComesWithARequestIsNotPutOutUnread() {
  Counter c(3);
  std::vector<Far> all;
  for (int i = 0; i < 8; ++i) {
    all.push_back(Far::To(c.at));
    all.back().Send(GetAs(i));
  }
  for (std::size_t i = 0; i < all.size(); ++i) {
    c.Finish(c.attempt(i), Said(Ending::kFinished), "ok");
    for (int turns = 0; turns < 5; ++turns)
      c.d.loop.RunOnce(0);
  }
  for (Far& f : all)
    c.Hear(f, "\r\n\r\nok");
}

// Refused ones that never close: they keep no live client out, and the longest goes where they
// become too many.
void WhoLingersTakesNoPlace() {
  Counter c(3);
  std::vector<Far> bad, good;
  for (int i = 0; i < 12; ++i) {
    bad.push_back(c.Come());
    bad.back().Send("\x16\x03\x01");
    c.Hear(bad.back(), "HTTP/1.1 400");
  }
  for (int i = 0; i < 3; ++i) {
    good.push_back(Far::To(c.at));
    good.back().Send(GetAs(i));
  }
  for (int turns = 0; turns < 50; ++turns)
    c.d.loop.RunOnce(0);
  assert(c.d.caches.sent.size() == 3);
  bad[0].Send("x");
  Until(c.d.loop, [&] { return IsReset(bad[0]); });  // closed outright
  c.d.loop.AdvanceClock(2000);
  for (Far& f : bad)
    Until(c.d.loop, [&] {
      f.Read();
      return f.over;
    });
}

// Each bad client gets a status or a close, one line of the log with none of its bytes, and is
// counted; an open request of another client notices nothing.
void BadClientsEndAlone() {
  enum {
    kStays,
    kCloses,
    kResets
  };
  struct Case {
    std::string bytes;
    std::string status;  // none: it is gone before one could come
    int then;
    std::uint64_t bad;
    std::size_t most;  // of its requests that may be sent on
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
        {Get("Odd: zebra\r\n"), "409", kStays, 1, 0},  // the id of the open one
        {"GET /alive HTTP/1.1\r\nzebra: " + std::string(60000, 'z'), "431", kStays, 1, 0},
        {std::string(1, 0) + "zebra\n\x1b[31m", "400", kStays, 1, 0}}) {
    std::vector<std::string> lines;
    log::Log to([] { return 0.0; }, [&](std::string_view line) { lines.emplace_back(line); });
    log::ScopedLog use(to);
    Counter c;
    Far good = c.Come(), f = c.Come();
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
      c.Hear(f, "HTTP/1.1 " + one.status);
      Until(c.d.loop, [&] {
        f.Read();
        return f.over;
      });
      c.d.loop.AdvanceClock(2000);  // though it never closes
    }
    c.Finish(key, Said(Ending::kFinished), "still here");
    c.Hear(good, "still here");
    good.fd.Reset();
    Until(c.d.loop, [&] { return c.clients.empty(); });
    assert(c.d.exchange.counters.bad_requests == one.bad && lines.size() == one.bad);
    assert(c.d.caches.sent.size() <= 1 + one.most);
    for (const std::string& line : lines)
      assert(line.find("zebra") == line.npos);
  }
}

// Its header never ends: refused, read on for a bounded time and discarded, then closed.
void AnEndlessHeaderIsBounded() {
  Counter c;
  Far f = c.Come();
  f.Send("GET /alive HTTP/1.1\r\n");
  std::string more = "A: " + std::string(2000, 'x') + "\r\n";
  Until(c.d.loop, [&] {
    ::send(f.fd.Get(), more.data(), more.size(), MSG_NOSIGNAL);
    return c.clients.empty();
  });
  assert(c.d.exchange.counters.bad_requests == 1 && c.d.caches.sent.empty());
}

// ---- a stop

void TheBacklogIsAnsweredInAStop() {
  enum {
    kWaiting,
    kPaused,
    kResting
  };
  for (int listener : {kWaiting, kPaused, kResting}) {
    Counter c(listener == kPaused ? 1 : 50);
    std::vector<Far> before, waits;
    for (int i = 0; listener == kPaused && i < 2; ++i) {
      before.push_back(c.Come());
      before.back().Send(GetAs(i));
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
      waits[static_cast<std::size_t>(i - 2)].Send(GetAs(i));
    std::size_t all = before.size() + waits.size();
    Until(c.d.loop, [&] {
      c.clients.Leave();
      return c.d.caches.sent.size() == all;
    });
    for (std::size_t i = 0; i < all; ++i)
      c.Finish(c.attempt(i), Said(Ending::kFinished), "ok");
    for (Far& f : waits) {
      c.Hear(f, "\r\n\r\nok");
      assert(f.Hears("Connection: close\r\n"));
      Until(c.d.loop, [&] {
        f.Read();
        return f.over;
      });
    }
    c.leave();
  }
}

// Bytes of it are in the system's buffers as the stop begins: looked at once more, and answered.
void ARequestThatCrossesTheStopIsAnswered() {
  Counter c;
  Far f = c.Come();
  for (int i = 0; i < 3; ++i)
    c.d.loop.RunOnce(0);
  f.Send(GetAs(1));
  Until(c.d.loop, [&] {
    c.clients.Leave();
    return c.d.caches.sent.size() == 1;
  });
  c.Finish(c.attempt(0), Said(Ending::kFinished), "ok");
  c.Hear(f, "\r\n\r\nok");
  assert(f.Hears("Connection: close\r\n"));
  c.leave();
}

// It comes after the poll of the turn that would shut the connection: it is read before that, and
// served.
void ARequestThatComesBeforeTheShutdownInAStopIsServed() {
  Counter c;
  Slow slow(c);
  c.clients.Leave();
  for (int i = 0; i < 3; ++i)
    c.d.loop.RunOnce(0);
  Meanwhile now(c.d.loop, [&] {
    slow.far.Send(GetAs(2));
    c.clients.Leave();
  });
  c.Finish(c.attempt(1), Said(Ending::kFinished), "second");
  Until(c.d.loop, [&] { return slow.far.Read(1000).ends_with("\r\n\r\nsecond"); });
  assert(slow.far.got.find("\r\n\r\n" + slow.body + "HTTP/1.1 200") != std::string::npos &&
         slow.far.Hears("Connection: close\r\n"));
  Until(c.d.loop, [&] {
    slow.far.Read();
    return slow.far.over;
  });
  assert(!IsReset(slow.far));
  c.leave();  // though it never closes
}

// It comes after the shutdown: the answer before it arrives whole, it is not sent on.
void ARequestThatCrossesTheShutdownInAStopTakesNoAnswerWithIt() {
  Counter c;
  Slow slow(c);
  c.clients.Leave();
  for (int i = 0; i < 3; ++i)
    c.d.loop.RunOnce(0);
  Meanwhile now(c.d.loop, [&] {
    c.clients.Leave();
    slow.far.Send(GetAs(2));
  });
  Until(c.d.loop, [&] { return slow.HasAll(); });
  Until(c.d.loop, [&] {
    slow.far.Read();
    return slow.far.over;
  });
  assert(!IsReset(slow.far) && c.d.caches.sent.size() == 1);
  c.leave();  // though it never closes
}

// Whole requests that were read behind an open one when the stop comes: each has its answer, and
// the last one announces the close.
void PipelinedRequestsAreAnsweredInAStop() {
  Counter c;
  Far f = c.Come();
  f.Send(GetAs(1) + GetAs(2) + GetAs(3) + GetAs(4).substr(0, 60));
  c.attempt(0);
  for (std::size_t i = 0; i < 3; ++i) {
    for (int turns = 0; turns < 3; ++turns) {
      c.clients.Leave();
      c.d.loop.RunOnce(0);
    }
    c.Finish(c.attempt(i), Said(Ending::kFinished), "body" + std::to_string(i));
    c.Hear(f, "\r\n\r\nbody" + std::to_string(i));
    assert(f.Hears("Connection: close\r\n") == (i == 2));
  }
  Until(c.d.loop, [&] {
    f.Read();
    return f.over;
  });
  c.leave();
  assert(c.d.caches.sent.size() == 3);
}

// Each whole request that was read has an answer, also behind one that is refused for what it asks;
// behind one whose end can't be told nothing is a request.
void WhatLiesBehindARefusedRequestIsAnswered() {
  Counter c;
  Far f = c.Come();
  f.Send(Get("", "/odd") + GetAs(1));
  AttemptKey key = c.attempt(0);
  c.Hear(f, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
  c.Finish(key, Said(Ending::kFinished), "ok");
  c.Hear(f, "\r\n\r\nok");
  f.Send(Get("", "/odd"));
  c.Hear(f, "Connection: close\r\n\r\n");
  Until(c.d.loop, [&] {
    f.Read();
    return f.over;
  });
  assert(c.d.exchange.counters.bad_requests == 2);
}

// All places are taken and a newcomer's request is on its way as another one comes: the newcomer is
// spared for a moment.
void ANewcomersRequestOnItsWayIsAwaited() {
  Counter c(2);
  Far busy = c.Come(), served = c.Come();
  busy.Send(GetAs(0));
  c.attempt(0);
  served.Send("GET /alive HTTP/1.1\r\n\r\n");
  c.Hear(served, "HTTP/1.1 200");
  Far newcomer = c.Come(), next = c.Come();
  Until(c.d.loop, [&] {
    served.Read();
    return served.over;
  });
  for (int turns = 0; turns < 5; ++turns)
    c.d.loop.RunOnce(0);
  newcomer.Send(GetAs(1));
  c.Finish(c.attempt(1), Said(Ending::kFinished), "ok");
  c.Hear(newcomer, "\r\n\r\nok");
  next.Send(GetAs(2));
  c.attempt(2);
}

// One that says nothing keeps its place no longer than that, also where nobody else rests.
void ASilentNewcomerMakesRoomInTheEnd() {
  Counter c(1);
  Far busy = c.Come();
  busy.Send(GetAs(0));
  c.attempt(0);
  Far silent = c.Come(), next = c.Come();
  next.Send(GetAs(1));
  c.attempt(1);
  Until(c.d.loop, [&] {
    silent.Read();
    return silent.over;
  });
  assert(silent.got.empty());
}

// Its connection has carried no request: it is closed outright, so that what crosses the close
// stays unread and takes no place.
void WhoNeverSpokeDoesNotLinger() {
  Counter c;
  Far silent = c.Come();
  c.d.loop.AdvanceClock(2600);
  Until(c.d.loop, [&] {
    silent.Read();
    return silent.over;
  });
  assert(c.clients.empty());
}

void HalfARequestIsRefusedInAStop() {
  Counter c;
  Far f = c.Come();
  f.Send(Get().substr(0, 40));
  for (int i = 0; i < 3; ++i)
    c.d.loop.RunOnce(0);
  Until(c.d.loop, [&] {
    c.clients.Leave();
    return f.Hears("\r\n\r\n");
  });
  assert(f.Hears("HTTP/1.1 503 ") && f.Hears("Connection: close\r\n"));
  f.Send(Get().substr(40));
  Until(c.d.loop, [&] {
    f.Read();
    return f.over;
  });
  c.leave();
  assert(c.d.caches.sent.empty() && c.d.exchange.counters.bad_requests == 0);
}

// Answers go out to a client that takes nothing until the system's buffers are full. In a stop that
// is waited for no longer than anybody wants the answer; no exit waits for a dead client.
void WhoTakesNothingHoldsNoStopUp() {
  Counter c;
  Far f(loop::Descriptor(::socket(AF_INET, SOCK_STREAM, 0)));
  int small = 1 << 12;
  ::setsockopt(f.fd.Get(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  assert(::connect(f.fd.Get(), reinterpret_cast<const sockaddr*>(&c.at), sizeof c.at) == 0);
  ::fcntl(f.fd.Get(), F_SETFL, O_NONBLOCK);
  std::string request = Get();
  request.replace(request.find("60000"), 5, "2500");
  std::string body(exchange::kMostBytes, 'x');
  auto sent_on = [&](std::size_t which) {
    for (int i = 0; i < 50 && c.d.caches.sent.size() <= which; ++i)
      c.d.loop.RunOnce(1);
    return c.d.caches.sent.size() > which;
  };
  std::size_t which = 0;
  for (f.Send(request); sent_on(which); ++which, f.Send(request)) {
    assert(which < 200);
    c.Finish(c.attempt(which), Said(Ending::kFinished), body);
  }
  for (int i = 0; i < 3; ++i) {
    c.clients.Leave();
    c.d.loop.RunOnce(0);
  }
  assert(!c.clients.empty());
  c.d.loop.AdvanceClock(3100);
  for (int i = 0; i < 3; ++i) {
    c.clients.Leave();
    c.d.loop.RunOnce(0);
  }
  assert(c.clients.empty());
}

void ABrokenStreamCanBeNotified() {
  StoreSettings s = kit::Settings();
  s.request_classes[0].streams = true;
  Counter c(50, s);
  Far f = c.Come();
  f.Send(Get());
  AttemptKey key = c.attempt(0);
  c.d.exchange.AnswerBegun(key, Said(Ending::kFinished), 10);
  c.d.exchange.AnswerBytes(key, "half");
  c.d.exchange.AttemptLost(key, loop::DisconnectReason::kReset, true);
  Until(c.d.loop, [&] {
    f.Read();
    return f.over;
  });
  assert(f.Hears("Content-Length: 10\r\n") && f.got.ends_with("\r\n\r\nhalf"));
}

void IdleClientsMakeRoom() {
  Counter c(3);
  Far one = c.Come(), two = c.Come();
  one.Send(GetAs(1));
  c.attempt(0);
  Far three = c.Come(), four = c.Come();  // two has been idle longest
  Until(c.d.loop, [&] {
    two.Read();
    return two.over;
  });
  four.Send(GetAs(2));
  c.attempt(1);
  assert(!(one.Read(), one.over));
  // With all places taken a newcomer waits, until one of them has its answer.
  three.Send(GetAs(3));
  c.attempt(2);
  Far five = c.Come(), six = c.Come();
  five.Send(GetAs(4));
  c.attempt(3);
  six.Send(GetAs(5));
  for (int i = 0; i < 20; ++i)
    c.d.loop.RunOnce(1);
  assert(c.d.caches.sent.size() == 4);
  c.Finish(c.attempt(0), Said(Ending::kFinished));
  c.attempt(4);
}

void NoDescriptorsIsNoSpin() {
  Counter c;
  Far f(loop::Descriptor(::socket(AF_INET, SOCK_STREAM, 0)));
  rlimit before{}, none{};
  ::getrlimit(RLIMIT_NOFILE, &before);
  none = before;
  none.rlim_cur = static_cast<rlim_t>(f.fd.Get());
  ::setrlimit(RLIMIT_NOFILE, &none);
  assert(::connect(f.fd.Get(), reinterpret_cast<const sockaddr*>(&c.at), sizeof c.at) == 0);
  ::fcntl(f.fd.Get(), F_SETFL, O_NONBLOCK);
  Until(c.d.loop, [&] { return c.d.exchange.counters.short_of_descriptors > 0; });
  ::setrlimit(RLIMIT_NOFILE, &before);
  f.Send(Get());
  c.attempt(0);  // served once there are some again
  assert(c.d.exchange.counters.short_of_descriptors < 20);
}

}  // namespace

int main(int count, char** words) {  // all, or the one named
  struct Case {
    const char* name;
    void (*run)();
  };
  for (Case c :
       {Case{"clients are answered", ClientsAreAnswered},
        {"big answers wait for slow clients", BigAnswersWaitForSlowClients},
        {"bad requests are refused alone", BadRequestsAreRefusedAlone},
        {"who says nothing goes", WhoSaysNothingGoes},
        {"who closes is owed nothing", WhoClosesIsOwedNothing},
        {"a request that came with its close is not sent on",
         ARequestThatCameWithItsCloseIsNotSentOn},
        {"a second request is not sent on when its client has left",
         ASecondRequestIsNotSentOnWhenItsClientHasLeft},
        {"a request behind an open one is not sent on after its close",
         ARequestBehindAnOpenOneIsNotSentOnAfterItsClose},
        {"a request that comes before the sweep's close is served",
         ARequestThatComesBeforeTheSweepsCloseIsServed},
        {"a request that crosses the sweep takes no answer with it",
         ARequestThatCrossesTheSweepTakesNoAnswerWithIt},
        {"a request that comes as room is made is served", ARequestThatComesAsRoomIsMadeIsServed},
        {"who comes with a request is not put out unread", WhoComesWithARequestIsNotPutOutUnread},
        {"who lingers takes no place", WhoLingersTakesNoPlace},
        {"bad clients end alone", BadClientsEndAlone},
        {"an endless header is bounded", AnEndlessHeaderIsBounded},
        {"the backlog is answered in a stop", TheBacklogIsAnsweredInAStop},
        {"a request that crosses the stop is answered", ARequestThatCrossesTheStopIsAnswered},
        {"a request that comes before the shutdown in a stop is served",
         ARequestThatComesBeforeTheShutdownInAStopIsServed},
        {"a request that crosses the shutdown in a stop takes no answer with it",
         ARequestThatCrossesTheShutdownInAStopTakesNoAnswerWithIt},
        {"pipelined requests are answered in a stop", PipelinedRequestsAreAnsweredInAStop},
        {"what lies behind a refused request is answered", WhatLiesBehindARefusedRequestIsAnswered},
        {"a newcomer's request on its way is awaited", ANewcomersRequestOnItsWayIsAwaited},
        {"a silent newcomer makes room in the end", ASilentNewcomerMakesRoomInTheEnd},
        {"who never spoke does not linger", WhoNeverSpokeDoesNotLinger},
        {"half a request is refused in a stop", HalfARequestIsRefusedInAStop},
        {"who takes nothing holds no stop up", WhoTakesNothingHoldsNoStopUp},
        {"a broken stream can be told", ABrokenStreamCanBeNotified},
        {"idle clients make room", IdleClientsMakeRoom},
        {"no descriptors is no spin", NoDescriptorsIsNoSpin}}) {
    if (count > 1 && std::string_view(words[1]) != c.name)
      continue;
    std::puts(c.name);
    std::fflush(stdout);
    c.run();
  }
}
