// The clients' side on sockets, with noted caches, beside a far side of plain bytes.
#include "clients/clients.hpp"

#include <fcntl.h>
#include <sys/resource.h>

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
        {get("Content-Length: 1\r\n") + "x", "400"},
        {"PUT /ops/write/7f3a HTTP/1.1\r\nContent-Length: 48001\r\n\r\n" + std::string(48001, 'x'), "413"},
        {head + "A: " + std::string(9000, 'x'), "431"}}) {
    Far f = c.come();
    f.say(one.request);
    c.hear(f, "HTTP/1.1 " + one.status);
    assert(f.hears("Connection: close\r\n"));
    until(c.d.loop, [&] { return f.read(), f.over; });
  }
  assert(c.d.exchange.counters.badRequests == 24 && c.d.caches.sent.size() == 1);
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

void whoClosesIsOwedNothing() {
  for (bool resets : {false, true}) {
    Counter c;
    Far f = c.come();
    f.say(get());
    c.leg(0);
    if (resets) f.reset();
    else f.fd.reset();
    until(c.d.loop, [&] { return c.d.exchange.counters.left == 1; });
    assert(c.d.caches.givenUp.size() == 1 && c.clients.empty());
  }
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

int main() {
  struct Case {
    const char* name;
    void (*run)();
  };
  for (Case c : {Case{"clients are answered", clientsAreAnswered},
                 {"big answers wait for slow clients", bigAnswersWaitForSlowClients},
                 {"bad requests are refused alone", badRequestsAreRefusedAlone},
                 {"who says nothing goes", whoSaysNothingGoes},
                 {"who closes is owed nothing", whoClosesIsOwedNothing},
                 {"a broken stream can be told", aBrokenStreamCanBeTold},
                 {"idle clients make room", idleClientsMakeRoom},
                 {"no descriptors is no spin", noDescriptorsIsNoSpin}}) {
    std::puts(c.name);
    std::fflush(stdout);
    c.run();
  }
}
