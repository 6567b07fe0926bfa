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
  loop::Address at = freeAddress();
  clients::Clients clients;
  explicit Counter(std::size_t most = 50, StoreSheet s = kit::sheet())
      : d(s), clients(d.loop, d.exchange, terms().offerings, {false, true}, at, most) {}
  Far come() {
    Far f = Far::to(at);
    d.loop.turn(1);
    return f;
  }
  void hear(Far& f, std::string_view text) {
    until(d.loop, [&] { return f.hears(text); });
  }
  // Turns on until all have gone that a stop lets go.
  void leave() {
    until(d.loop, [&] { return clients.leave(), clients.empty(); });
  }
  LegKey leg(std::size_t which) {
    until(d.loop, [&] { return d.caches.sent.size() > which; });
    return d.caches.sent[which].key;
  }
  void finish(LegKey key, const exchange::Word& word, std::string_view body = {}) {
    d.exchange.answerBegun(key, word, body.size());
    d.exchange.answerBytes(key, body);
    d.exchange.answerWhole(key, word);
  }
};

// Does something in the middle of a turn: after its poll, before its timers.
struct Meanwhile final : loop::Handler {
  loop::Loop& loop;
  std::function<void()> what;
  int ends[2];
  Meanwhile(loop::Loop& l, std::function<void()> w) : loop(l), what(std::move(w)) {
    assert(::pipe(ends) == 0 && ::write(ends[1], "x", 1) == 1);
    loop.watch(ends[0], *this, POLLIN);
    until(loop, [&] { return !what; });
  }
  ~Meanwhile() {
    loop.forget(ends[0]);
    ::close(ends[0]), ::close(ends[1]);
  }
  void ready(short) override {
    if (what) std::exchange(what, nullptr)();
  }
};

bool isReset(Far& f) {
  pollfd one{f.fd.get(), 0, 0};
  ::poll(&one, 1, 0);
  return one.revents & POLLERR;
}

// A client that takes slowly: when all its answer has left the front, most of it lies in the system's buffers.
struct Slow {
  Far far{loop::Descriptor(::socket(AF_INET, SOCK_STREAM, 0))};
  std::string body = std::string(200000, 'x');
  Slow(Counter& c) {
    int small = 1 << 12;
    ::setsockopt(far.fd.get(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    assert(::connect(far.fd.get(), reinterpret_cast<const sockaddr*>(&c.at), sizeof c.at) == 0);
    ::fcntl(far.fd.get(), F_SETFL, O_NONBLOCK);
    far.say(getAs(1));
    c.finish(c.leg(0), said(Ending::finished), body);
    for (int i = 0; i < 3; ++i) c.d.loop.turn(0);
  }
  bool hasAll() { return far.read(1000).ends_with("\r\n\r\n" + body); }
};

void clientsAreAnswered() {
  Counter c;
  Far f = c.come();
  for (char one : get("If-None-Match: \"4be0\"\r\nX-Memory-Kb: 412.5\r\n")) {
    f.say(std::string_view(&one, 1));
    c.d.loop.turn(0);
  }
  c.finish(c.leg(0), said(Ending::finished), "a\r\n\r\nb");
  c.hear(f, "\r\n\r\na\r\n\r\nb");
  assert(f.hears("HTTP/1.1 200 OK\r\n") && f.hears("ETag: \"t1\"\r\n") && f.hears("Content-Length: 6\r\n"));
  f.got.clear();
  f.say(get("If-None-Match: \"t1\"\r\n"));  // the connection is kept
  exchange::Word valid = said(Ending::finished);
  valid.unchanged = true;
  c.finish(c.leg(1), valid);
  c.hear(f, "HTTP/1.1 304 Not Modified\r\nETag: \"t1\"\r\n\r\n");
  f.got.clear();
  std::string body(48000, 'p');
  f.say("PUT /ops/write/7f3a?part=0 HTTP/1.1\r\nX-Request-Id: " + id +
        "\r\nX-Timeout-Ms: 60000\r\nX-Group: 17\r\nConnection: close\r\nContent-Length: 48000\r\n\r\n" +
        body);
  c.d.exchange.legLost(c.leg(2), loop::Parting::reset, true);
  c.hear(f, "HTTP/1.1 502 ");
  until(c.d.loop, [&] { return f.read(), f.over; });
}

void bigAnswersWaitForSlowClients() {
  Counter c;
  Far f = Far::to(c.at);
  int small = 1 << 15;
  ::setsockopt(f.fd.get(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  std::string body(exchange::mostBytes, 'x');
  for (std::size_t i = 0; i < body.size(); ++i) body[i] = static_cast<char>(i * 7);
  f.say(get() + get());  // the second waits until the first is out
  c.finish(c.leg(0), said(Ending::finished), body);
  until(c.d.loop, [&] { return f.read(1000).size() > 100000; });
  until(c.d.loop, [&] { return f.read(), c.d.caches.sent.size() == 2; });
  c.finish(c.leg(1), said(Ending::finished), "end");
  c.hear(f, "\r\n\r\nend");
  assert(f.got.find(body) != std::string::npos);
}

void badRequestsAreRefusedAlone() {
  struct Case {
    std::string request, status;
  };
  Counter c;
  Far good = c.come();
  good.say(get());
  LegKey key = c.leg(0);
  const std::string head = "GET /ops/video/7f3a HTTP/1.1\r\n";
  const std::string own = "X-Request-Id: 00000000000000aa\r\n";
  for (const Case& one :
       {Case{"\x16\x03\x01", "400"},
        {get("", "/ops/video/0000"), "409"},  // the id of the open one
        {head + own + own + "X-Timeout-Ms: 9\r\nX-Group: 1\r\n\r\n", "400"},
        {head + own + "X-Timeout-Ms: 1e3\r\nX-Group: 1\r\n\r\n", "400"},
        {head + own + "X-Timeout-Ms: -0\r\nX-Group: 1\r\n\r\n", "400"},
        {head + own + "X-Timeout-Ms: 9\r\nX-Group: 1.5\r\n\r\n", "400"},
        {head + own + "X-Timeout-Ms: 9\r\nX-Group: nan\r\n\r\n", "400"},
        {get("", "/odd"), "404"},
        {get("", "/ops/video"), "404"},
        {get("", "/ops/odd/7f3a"), "404"},
        {get("", "/ops/video/7f,a"), "404"},
        {get("", "/ops/video/" + std::string(200, 'a')), "404"},
        {get("", "/ops/video/7f3a?part=x"), "400"},
        {get("", "/ops/video/7f3a?part=1&b=2"), "400"},
        {get("", "/ops/write/7f3a"), "405"},
        {"POST /alive HTTP/1.1\r\n\r\n", "405"},
        {head + "\r\n", "400"},
        {head + "X-Request-Id: 9b1f\r\nX-Timeout-Ms: 1\r\nX-Group: 1\r\n\r\n", "400"},
        {head + "X-Request-Id: " + id + "\r\nX-Timeout-Ms: soon\r\nX-Group: 1\r\n\r\n", "400"},
        {head + "X-Request-Id: " + id + "\r\nX-Timeout-Ms: 9\r\nX-Group: 256\r\n\r\n", "400"},
        {get("X-Memory-Kb: big\r\n"), "400"},
        {get("Idempotency-Key: a,miss=b\r\n"), "400"},
        {get("Idempotency-Key:\r\n"), "400"},
        {get("Idempotency-Key: " + std::string(129, 'k') + "\r\n"), "400"},
        {get("Idempotency-Key: a\r\nIdempotency-Key: b\r\n"), "400"},
        {get("Content-Length: 1\r\n") + "x", "400"},
        {"PUT /ops/write/7f3a HTTP/1.1\r\nContent-Length: 48001\r\n\r\n" + std::string(48001, 'x'), "413"},
        {head + "A: " + std::string(9000, 'x'), "431"}}) {
    Far f = c.come();
    f.say(one.request);
    c.hear(f, "HTTP/1.1 " + one.status);
    assert(f.hears("Connection: close\r\n"));
    until(c.d.loop, [&] { return f.read(), f.over; });
  }
  assert(c.d.exchange.counters.badRequests == 28 && c.d.caches.sent.size() == 1);
  c.finish(key, said(Ending::finished), "still here");
  c.hear(good, "still here");
}

// Who says nothing, or half a request, is told so by a word or a close in 3 s, and others notice nothing; an
// idle client that has been served keeps its connection.
void whoSaysNothingGoes() {
  Counter c;
  Far served = c.come(), silent = c.come(), half = c.come();
  served.say("GET /alive HTTP/1.1\r\n\r\n");
  c.hear(served, "HTTP/1.1 200");
  half.say("GET /alive HTTP/1.1\r\nA: ");
  for (int i = 0; i < 3; ++i) c.d.loop.turn(1);
  c.d.loop.skip(2600);
  c.hear(half, "HTTP/1.1 408");
  until(c.d.loop, [&] { return silent.read(), silent.over; });
  assert(silent.got.empty() && !(served.read(), served.over));
}

// How a client leaves. The end of its way out alone counts as a leave too: what follows a half-close is never an answer.
enum class Leave { kClose, kReset, kHalfClose };
constexpr Leave kLeaves[] = {Leave::kClose, Leave::kReset, Leave::kHalfClose};

void leaveBy(Far& f, Leave how) {
  if (how == Leave::kClose) f.fd.reset();
  if (how == Leave::kReset) f.reset();
  if (how == Leave::kHalfClose) ::shutdown(f.fd.get(), SHUT_WR);
}

void whoClosesIsOwedNothing() {
  for (Leave how : kLeaves) {
    Counter c;
    Far f = c.come();
    f.say(get());
    c.leg(0);
    leaveBy(f, how);
    until(c.d.loop, [&] { return c.d.exchange.counters.left == 1; });
    assert(c.d.caches.givenUp.size() == 1 && c.clients.empty());
    assert(how != Leave::kHalfClose || (f.read().empty() && f.over));
  }
}

// The close was there before the request was looked at: nothing is owed, and an attempt would begin after its client left.
void aRequestThatCameWithItsCloseIsNotSentOn() {
  std::string big = "PUT /ops/write/7f3a?part=0 HTTP/1.1\r\nX-Request-Id: " + id +
                    "\r\nX-Timeout-Ms: 60000\r\nX-Group: 17\r\nContent-Length: 48000\r\n\r\n" + std::string(48000, 'p');
  for (const std::string& request : {get(), big, getAs(1) + getAs(2)})
    for (bool accepted : {false, true})
      for (Leave how : kLeaves) {
        Counter c;
        Far f = accepted ? c.come() : Far::to(c.at);
        f.say(request);
        leaveBy(f, how);
        until(c.d.loop, [&] { return c.d.exchange.counters.clientConnections == 1 && c.clients.empty(); });
        assert(c.d.caches.sent.empty());
      }
}

// Its client goes as the first is answered, in one turn: the next poll shows that, and the second is not sent on.
void aSecondRequestIsNotSentOnWhenItsClientHasLeft() {
  for (Leave how : kLeaves) {
    Counter c;
    Far f = c.come();
    f.say(getAs(1) + getAs(2));
    LegKey key = c.leg(0);
    Meanwhile now(c.d.loop, [&] {
      leaveBy(f, how);
      c.finish(key, said(Ending::finished), "ok");
    });
    until(c.d.loop, [&] { return c.clients.empty(); });
    assert(c.d.caches.sent.size() == 1);
  }
}

// It comes behind the open one after the front has begun to wait for that alone, and the close with it.
void aRequestBehindAnOpenOneIsNotSentOnAfterItsClose() {
  for (Leave how : kLeaves) {
    Counter c;
    Far f = c.come();
    f.say(getAs(1));
    LegKey key = c.leg(0);
    Meanwhile now(c.d.loop, [&] {
      f.say(getAs(2));
      leaveBy(f, how);
      c.finish(key, said(Ending::finished), "ok");
    });
    until(c.d.loop, [&] { return c.clients.empty(); });
    assert(c.d.caches.sent.size() == 1);
  }
}

// A request on a resting connection comes after the poll of the turn that would end it: it is read before the close, and served.
// A close would be a reset, and take the last answer with it.
void aRequestThatComesBeforeTheSweepsCloseIsServed() {
  Counter c;
  Slow slow(c);
  c.d.loop.skip(20000);
  Meanwhile now(c.d.loop, [&] { slow.far.say(getAs(2)); });
  c.finish(c.leg(1), said(Ending::finished), "second");
  until(c.d.loop, [&] { return slow.far.read(1000).ends_with("\r\n\r\nsecond"); });
  assert(!isReset(slow.far) && slow.far.got.find("\r\n\r\n" + slow.body + "HTTP/1.1 200") != std::string::npos);
  assert(c.d.caches.sent.size() == 2 && !slow.far.over);
}

// It comes after the shutdown: the answer before it arrives whole, without a reset, and it is not sent on.
void aRequestThatCrossesTheSweepTakesNoAnswerWithIt() {
  Counter c;
  Slow slow(c);
  c.d.loop.skip(20000);
  c.d.loop.turn(0);  // the sweep is due
  slow.far.say(getAs(2));
  until(c.d.loop, [&] { return slow.hasAll(); });
  until(c.d.loop, [&] { return slow.far.read(), slow.far.over; });
  assert(!isReset(slow.far) && c.d.caches.sent.size() == 1);
  slow.far.fd.reset();
  until(c.d.loop, [&] { return c.clients.empty(); });
}

// The same where room is made for a newcomer. Here the request was there first: it is read, and its client has no longer rested.
void aRequestThatComesAsRoomIsMadeIsServed() {
  Counter c(1);
  Slow slow(c);
  slow.far.say(getAs(2));
  Far other = Far::to(c.at);
  c.leg(1);
  until(c.d.loop, [&] { return slow.hasAll(); });
  c.finish(c.leg(1), said(Ending::finished), "second");
  until(c.d.loop, [&] { return slow.far.hears("\r\n\r\nsecond"); });
}

// Many come at once, each with its request: nobody is put out before it was read.
void whoComesWithARequestIsNotPutOutUnread() {
  Counter c(3);
  std::vector<Far> all;
  for (int i = 0; i < 8; ++i) {
    all.push_back(Far::to(c.at));
    all.back().say(getAs(i));
  }
  for (std::size_t i = 0; i < all.size(); ++i) {
    c.finish(c.leg(i), said(Ending::finished), "ok");
    for (int turns = 0; turns < 5; ++turns) c.d.loop.turn(0);
  }
  for (Far& f : all) c.hear(f, "\r\n\r\nok");
}

// Refused ones that never close: they keep no live client out, and the longest goes where they become too many.
void whoLingersTakesNoPlace() {
  Counter c(3);
  std::vector<Far> bad, good;
  for (int i = 0; i < 12; ++i) {
    bad.push_back(c.come());
    bad.back().say("\x16\x03\x01");
    c.hear(bad.back(), "HTTP/1.1 400");
  }
  for (int i = 0; i < 3; ++i) {
    good.push_back(Far::to(c.at));
    good.back().say(getAs(i));
  }
  for (int turns = 0; turns < 50; ++turns) c.d.loop.turn(0);
  assert(c.d.caches.sent.size() == 3);
  bad[0].say("x");
  until(c.d.loop, [&] { return isReset(bad[0]); });  // closed outright
  c.d.loop.skip(2000);
  for (Far& f : bad) until(c.d.loop, [&] { return f.read(), f.over; });
}

// Each bad client gets a status or a close, one line of the log with none of its bytes, and is counted; an open request of another
// client notices nothing.
void badClientsEndAlone() {
  enum { stays, closes, resets };
  struct Case {
    std::string bytes, status;  // none: it is gone before one could come
    int then;
    std::uint64_t bad;
    std::size_t most;  // of its requests that may be sent on
  };
  std::string many;
  for (int i = 100; i < 500; ++i) {
    std::string one = get("Odd: zebra\r\n");
    many += one.replace(one.find(id), id.size(), "0000000000000" + std::to_string(i));
  }
  std::string both = "PUT /ops/write/7f3a?part=0 HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nzebra";
  for (const Case& one : {Case{"GET /ops/zebra", "", closes, 1, 0},
                          {"GET /ops/zebra", "", resets, 1, 0},
                          {"PUT /ops/write/7f3a HTTP/1.1\r\nContent-Length: 100\r\n\r\nzebra", "", closes, 1, 0},
                          {many, "", closes, 0, 1},
                          {many, "", resets, 0, 1},
                          {both, "400", stays, 1, 0},
                          {get("Odd: zebra\r\n"), "409", stays, 1, 0},  // the id of the open one
                          {"GET /alive HTTP/1.1\r\nzebra: " + std::string(60000, 'z'), "431", stays, 1, 0},
                          {std::string(1, 0) + "zebra\n\x1b[31m", "400", stays, 1, 0}}) {
    std::vector<std::string> lines;
    log::Log to([] { return 0.0; }, [&](std::string_view line) { lines.emplace_back(line); });
    log::Use use(to);
    Counter c;
    Far good = c.come(), f = c.come();
    good.say(get());
    LegKey key = c.leg(0);
    f.say(one.bytes);
    if (one.then != stays || one.bytes.size() > 10000) c.d.loop.turn(1);
    if (one.then == closes) f.fd.reset();
    if (one.then == resets) f.reset();
    if (one.then == stays) {
      c.hear(f, "HTTP/1.1 " + one.status);
      until(c.d.loop, [&] { return f.read(), f.over; });
      c.d.loop.skip(2000);  // though it never closes
    }
    c.finish(key, said(Ending::finished), "still here");
    c.hear(good, "still here");
    good.fd.reset();
    until(c.d.loop, [&] { return c.clients.empty(); });
    assert(c.d.exchange.counters.badRequests == one.bad && lines.size() == one.bad);
    assert(c.d.caches.sent.size() <= 1 + one.most);
    for (const std::string& line : lines) assert(line.find("zebra") == line.npos);
  }
}

// Its header never ends: refused, read on for a bounded time and discarded, then closed.
void anEndlessHeaderIsBounded() {
  Counter c;
  Far f = c.come();
  f.say("GET /alive HTTP/1.1\r\n");
  std::string more = "A: " + std::string(2000, 'x') + "\r\n";
  until(c.d.loop, [&] {
    ::send(f.fd.get(), more.data(), more.size(), MSG_NOSIGNAL);
    return c.clients.empty();
  });
  assert(c.d.exchange.counters.badRequests == 1 && c.d.caches.sent.empty());
}

// ---- a stop

void theBacklogIsAnsweredInAStop() {
  enum { waiting, paused, resting };
  for (int listener : {waiting, paused, resting}) {
    Counter c(listener == paused ? 1 : 50);
    std::vector<Far> before, waits;
    for (int i = 0; listener == paused && i < 2; ++i) {
      before.push_back(c.come());
      before.back().say(getAs(i));
      c.leg(static_cast<std::size_t>(i));
    }
    for (int i = 2; i < 5; ++i) waits.push_back(Far::to(c.at));
    if (listener == resting) {
      rlimit full{}, none{};
      ::getrlimit(RLIMIT_NOFILE, &full);
      none = full;
      none.rlim_cur = static_cast<rlim_t>(waits.back().fd.get() + 1);
      ::setrlimit(RLIMIT_NOFILE, &none);
      c.d.loop.turn(0);
      ::setrlimit(RLIMIT_NOFILE, &full);
    }
    for (int i = 2; i < 5; ++i) waits[static_cast<std::size_t>(i - 2)].say(getAs(i));
    std::size_t all = before.size() + waits.size();
    until(c.d.loop, [&] { return c.clients.leave(), c.d.caches.sent.size() == all; });
    for (std::size_t i = 0; i < all; ++i) c.finish(c.leg(i), said(Ending::finished), "ok");
    for (Far& f : waits) {
      c.hear(f, "\r\n\r\nok");
      assert(f.hears("Connection: close\r\n"));
      until(c.d.loop, [&] { return f.read(), f.over; });
    }
    c.leave();
  }
}

// Bytes of it are in the system's buffers as the stop begins: looked at once more, and answered.
void aRequestThatCrossesTheStopIsAnswered() {
  Counter c;
  Far f = c.come();
  for (int i = 0; i < 3; ++i) c.d.loop.turn(0);
  f.say(getAs(1));
  until(c.d.loop, [&] { return c.clients.leave(), c.d.caches.sent.size() == 1; });
  c.finish(c.leg(0), said(Ending::finished), "ok");
  c.hear(f, "\r\n\r\nok");
  assert(f.hears("Connection: close\r\n"));
  c.leave();
}

// It comes after the poll of the turn that would shut the connection: it is read before that, and served.
void aRequestThatComesBeforeTheShutdownInAStopIsServed() {
  Counter c;
  Slow slow(c);
  c.clients.leave();
  for (int i = 0; i < 3; ++i) c.d.loop.turn(0);
  Meanwhile now(c.d.loop, [&] {
    slow.far.say(getAs(2));
    c.clients.leave();
  });
  c.finish(c.leg(1), said(Ending::finished), "second");
  until(c.d.loop, [&] { return slow.far.read(1000).ends_with("\r\n\r\nsecond"); });
  assert(slow.far.got.find("\r\n\r\n" + slow.body + "HTTP/1.1 200") != std::string::npos && slow.far.hears("Connection: close\r\n"));
  until(c.d.loop, [&] { return slow.far.read(), slow.far.over; });
  assert(!isReset(slow.far));
  c.leave();  // though it never closes
}

// It comes after the shutdown: the answer before it arrives whole, it is not sent on.
void aRequestThatCrossesTheShutdownInAStopTakesNoAnswerWithIt() {
  Counter c;
  Slow slow(c);
  c.clients.leave();
  for (int i = 0; i < 3; ++i) c.d.loop.turn(0);
  Meanwhile now(c.d.loop, [&] {
    c.clients.leave();
    slow.far.say(getAs(2));
  });
  until(c.d.loop, [&] { return slow.hasAll(); });
  until(c.d.loop, [&] { return slow.far.read(), slow.far.over; });
  assert(!isReset(slow.far) && c.d.caches.sent.size() == 1);
  c.leave();  // though it never closes
}

// Whole requests that were read behind an open one when the stop comes: each has its answer, and the last one announces the close.
void pipelinedRequestsAreAnsweredInAStop() {
  Counter c;
  Far f = c.come();
  f.say(getAs(1) + getAs(2) + getAs(3) + getAs(4).substr(0, 60));
  c.leg(0);
  for (std::size_t i = 0; i < 3; ++i) {
    for (int turns = 0; turns < 3; ++turns) c.clients.leave(), c.d.loop.turn(0);
    c.finish(c.leg(i), said(Ending::finished), "body" + std::to_string(i));
    c.hear(f, "\r\n\r\nbody" + std::to_string(i));
    assert(f.hears("Connection: close\r\n") == (i == 2));
  }
  until(c.d.loop, [&] { return f.read(), f.over; });
  c.leave();
  assert(c.d.caches.sent.size() == 3);
}

// Each whole request that was read has an answer, also behind one that is refused for what it asks; behind one whose end can't be
// told nothing is a request.
void whatLiesBehindARefusedRequestIsAnswered() {
  Counter c;
  Far f = c.come();
  f.say(get("", "/odd") + getAs(1));
  LegKey key = c.leg(0);
  c.hear(f, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
  c.finish(key, said(Ending::finished), "ok");
  c.hear(f, "\r\n\r\nok");
  f.say(get("", "/odd"));
  c.hear(f, "Connection: close\r\n\r\n");
  until(c.d.loop, [&] { return f.read(), f.over; });
  assert(c.d.exchange.counters.badRequests == 2);
}

// All places are taken and a newcomer's request is on its way as another one comes: the newcomer is spared for a moment.
void aNewcomersRequestOnItsWayIsAwaited() {
  Counter c(2);
  Far busy = c.come(), served = c.come();
  busy.say(getAs(0));
  c.leg(0);
  served.say("GET /alive HTTP/1.1\r\n\r\n");
  c.hear(served, "HTTP/1.1 200");
  Far newcomer = c.come(), next = c.come();
  until(c.d.loop, [&] { return served.read(), served.over; });
  for (int turns = 0; turns < 5; ++turns) c.d.loop.turn(0);
  newcomer.say(getAs(1));
  c.finish(c.leg(1), said(Ending::finished), "ok");
  c.hear(newcomer, "\r\n\r\nok");
  next.say(getAs(2));
  c.leg(2);
}

// One that says nothing keeps its place no longer than that, also where nobody else rests.
void aSilentNewcomerMakesRoomInTheEnd() {
  Counter c(1);
  Far busy = c.come();
  busy.say(getAs(0));
  c.leg(0);
  Far silent = c.come(), next = c.come();
  next.say(getAs(1));
  c.leg(1);
  until(c.d.loop, [&] { return silent.read(), silent.over; });
  assert(silent.got.empty());
}

// Its connection has carried no request: it is closed outright, so that what crosses the close stays unread and takes no place.
void whoNeverSpokeDoesNotLinger() {
  Counter c;
  Far silent = c.come();
  c.d.loop.skip(2600);
  until(c.d.loop, [&] { return silent.read(), silent.over; });
  assert(c.clients.empty());
}

void halfARequestIsRefusedInAStop() {
  Counter c;
  Far f = c.come();
  f.say(get().substr(0, 40));
  for (int i = 0; i < 3; ++i) c.d.loop.turn(0);
  until(c.d.loop, [&] { return c.clients.leave(), f.hears("\r\n\r\n"); });
  assert(f.hears("HTTP/1.1 503 ") && f.hears("Connection: close\r\n"));
  f.say(get().substr(40));
  until(c.d.loop, [&] { return f.read(), f.over; });
  c.leave();
  assert(c.d.caches.sent.empty() && c.d.exchange.counters.badRequests == 0);
}

// Answers go out to a client that takes nothing until the system's buffers are full. In a stop that is waited for no longer than
// anybody wants the answer; no exit waits for a dead client.
void whoTakesNothingHoldsNoStopUp() {
  Counter c;
  Far f(loop::Descriptor(::socket(AF_INET, SOCK_STREAM, 0)));
  int small = 1 << 12;
  ::setsockopt(f.fd.get(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  assert(::connect(f.fd.get(), reinterpret_cast<const sockaddr*>(&c.at), sizeof c.at) == 0);
  ::fcntl(f.fd.get(), F_SETFL, O_NONBLOCK);
  std::string request = get();
  request.replace(request.find("60000"), 5, "2500");
  std::string body(exchange::mostBytes, 'x');
  auto sentOn = [&](std::size_t which) {
    for (int i = 0; i < 50 && c.d.caches.sent.size() <= which; ++i) c.d.loop.turn(1);
    return c.d.caches.sent.size() > which;
  };
  std::size_t which = 0;
  for (f.say(request); sentOn(which); ++which, f.say(request)) {
    assert(which < 200);
    c.finish(c.leg(which), said(Ending::finished), body);
  }
  for (int i = 0; i < 3; ++i) c.clients.leave(), c.d.loop.turn(0);
  assert(!c.clients.empty());
  c.d.loop.skip(3100);
  for (int i = 0; i < 3; ++i) c.clients.leave(), c.d.loop.turn(0);
  assert(c.clients.empty());
}

void aBrokenStreamCanBeTold() {
  StoreSheet s = kit::sheet();
  s.offerings[0].streams = true;
  Counter c(50, s);
  Far f = c.come();
  f.say(get());
  LegKey key = c.leg(0);
  c.d.exchange.answerBegun(key, said(Ending::finished), 10);
  c.d.exchange.answerBytes(key, "half");
  c.d.exchange.legLost(key, loop::Parting::reset, true);
  until(c.d.loop, [&] { return f.read(), f.over; });
  assert(f.hears("Content-Length: 10\r\n") && f.got.ends_with("\r\n\r\nhalf"));
}

void idleClientsMakeRoom() {
  Counter c(3);
  Far one = c.come(), two = c.come();
  one.say(getAs(1));
  c.leg(0);
  Far three = c.come(), four = c.come();  // two has been idle longest
  until(c.d.loop, [&] { return two.read(), two.over; });
  four.say(getAs(2));
  c.leg(1);
  assert(!(one.read(), one.over));
  // With all places taken a newcomer waits, until one of them has its answer.
  three.say(getAs(3));
  c.leg(2);
  Far five = c.come(), six = c.come();
  five.say(getAs(4));
  c.leg(3);
  six.say(getAs(5));
  for (int i = 0; i < 20; ++i) c.d.loop.turn(1);
  assert(c.d.caches.sent.size() == 4);
  c.finish(c.leg(0), said(Ending::finished));
  c.leg(4);
}

void noDescriptorsIsNoSpin() {
  Counter c;
  Far f(loop::Descriptor(::socket(AF_INET, SOCK_STREAM, 0)));
  rlimit before{}, none{};
  ::getrlimit(RLIMIT_NOFILE, &before);
  none = before;
  none.rlim_cur = static_cast<rlim_t>(f.fd.get());
  ::setrlimit(RLIMIT_NOFILE, &none);
  assert(::connect(f.fd.get(), reinterpret_cast<const sockaddr*>(&c.at), sizeof c.at) == 0);
  ::fcntl(f.fd.get(), F_SETFL, O_NONBLOCK);
  until(c.d.loop, [&] { return c.d.exchange.counters.shortOfDescriptors > 0; });
  ::setrlimit(RLIMIT_NOFILE, &before);
  f.say(get());
  c.leg(0);  // served once there are some again
  assert(c.d.exchange.counters.shortOfDescriptors < 20);
}

}  // namespace

int main(int count, char** words) {  // all, or the one named
  struct Case {
    const char* name;
    void (*run)();
  };
  for (Case c : {Case{"clients are answered", clientsAreAnswered},
                 {"big answers wait for slow clients", bigAnswersWaitForSlowClients},
                 {"bad requests are refused alone", badRequestsAreRefusedAlone},
                 {"who says nothing goes", whoSaysNothingGoes},
                 {"who closes is owed nothing", whoClosesIsOwedNothing},
                 {"a request that came with its close is not sent on", aRequestThatCameWithItsCloseIsNotSentOn},
                 {"a second request is not sent on when its client has left", aSecondRequestIsNotSentOnWhenItsClientHasLeft},
                 {"a request behind an open one is not sent on after its close", aRequestBehindAnOpenOneIsNotSentOnAfterItsClose},
                 {"a request that comes before the sweep's close is served", aRequestThatComesBeforeTheSweepsCloseIsServed},
                 {"a request that crosses the sweep takes no answer with it", aRequestThatCrossesTheSweepTakesNoAnswerWithIt},
                 {"a request that comes as room is made is served", aRequestThatComesAsRoomIsMadeIsServed},
                 {"who comes with a request is not put out unread", whoComesWithARequestIsNotPutOutUnread},
                 {"who lingers takes no place", whoLingersTakesNoPlace},
                 {"bad clients end alone", badClientsEndAlone},
                 {"an endless header is bounded", anEndlessHeaderIsBounded},
                 {"the backlog is answered in a stop", theBacklogIsAnsweredInAStop},
                 {"a request that crosses the stop is answered", aRequestThatCrossesTheStopIsAnswered},
                 {"a request that comes before the shutdown in a stop is served", aRequestThatComesBeforeTheShutdownInAStopIsServed},
                 {"a request that crosses the shutdown in a stop takes no answer with it",
                  aRequestThatCrossesTheShutdownInAStopTakesNoAnswerWithIt},
                 {"pipelined requests are answered in a stop", pipelinedRequestsAreAnsweredInAStop},
                 {"what lies behind a refused request is answered", whatLiesBehindARefusedRequestIsAnswered},
                 {"a newcomer's request on its way is awaited", aNewcomersRequestOnItsWayIsAwaited},
                 {"a silent newcomer makes room in the end", aSilentNewcomerMakesRoomInTheEnd},
                 {"who never spoke does not linger", whoNeverSpokeDoesNotLinger},
                 {"half a request is refused in a stop", halfARequestIsRefusedInAStop},
                 {"who takes nothing holds no stop up", whoTakesNothingHoldsNoStopUp},
                 {"a broken stream can be told", aBrokenStreamCanBeTold},
                 {"idle clients make room", idleClientsMakeRoom},
                 {"no descriptors is no spin", noDescriptorsIsNoSpin}}) {
    if (count > 1 && std::string_view(words[1]) != c.name) continue;
    std::puts(c.name);
    std::fflush(stdout);
    c.run();
  }
}
