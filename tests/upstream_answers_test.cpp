// Races on a connection to a server: a connection established after its connect timeout, a response
// that trickles in, one under another request's id, extra bytes after a response.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "upstream_fixture.hpp"

using namespace kit;

namespace {

/// The POSIX environment, except that the first connection is established when the test allows it.
class DelayedConnectEnvironment final : public loop::Environment {
 public:
  void AllowConnect() {
    held_ = kNone;
  }
  Ms now() override {
    return system_.now();
  }
  int Wait(std::span<pollfd> watched, int ms) override {
    std::vector<pollfd> polled(watched.begin(), watched.end());
    for (pollfd& one : polled)
      if (one.fd == held_)
        one.fd = kIgnoredByPoll;
    int count = system_.Wait(polled, ms);
    for (std::size_t i = 0; i < polled.size(); ++i)
      watched[i].revents = polled[i].revents;
    return count;
  }
  int OpenStream() override {
    return system_.OpenStream();
  }
  int Connect(int fd, const loop::Address& to) override {
    if (!dialled_)
      held_ = fd;
    dialled_ = true;
    return system_.Connect(fd, to);
  }
  int SocketError(int fd) override {
    return system_.SocketError(fd);
  }
  int Listen(const loop::Address& at) override {
    return system_.Listen(at);
  }
  int Accept(int fd) override {
    return system_.Accept(fd);
  }
  ssize_t Receive(int fd, std::span<char> into) override {
    return system_.Receive(fd, into);
  }
  ssize_t Send(int fd, std::span<const iovec> parts) override {
    return system_.Send(fd, parts);
  }
  void ShutdownWrite(int fd) override {
    system_.ShutdownWrite(fd);
  }
  void Close(int fd) override {
    if (fd == held_)
      held_ = kNone;
    system_.Close(fd);
  }
  void Abort(int fd) override {
    if (fd == held_)
      held_ = kNone;
    system_.Abort(fd);
  }
  int OpenDatagrams(const loop::Address& at) override {
    return system_.OpenDatagrams(at);
  }
  ssize_t SendTo(int fd, std::span<const char> bytes, const loop::Address& to) override {
    return system_.SendTo(fd, bytes, to);
  }
  ssize_t ReceiveFrom(int fd, std::span<char> into, loop::Address& from) override {
    return system_.ReceiveFrom(fd, into, from);
  }
  std::size_t DescriptorLimit() override {
    return system_.DescriptorLimit();
  }

 private:
  static constexpr int kNone = -2;
  static constexpr int kIgnoredByPoll = -1;
  loop::Environment& system_ = loop::PosixEnvironment();
  bool dialled_ = false;
  int held_ = kNone;
};

std::string IdOf(int which) {
  return "00000000000000a" + std::to_string(which);
}
std::string AnswerTo(int which, const std::string& body) {
  return IdOf(which) + " HIT entity=t" + std::to_string(which) + ",issued=1,remark=local " +
         std::to_string(body.size()) + "\r\n" + body + "\r\n";
}

/// Two requests in flight on one connection, and a second server beside the one that has them.
struct TwoInFlight {
  FarListener listeners[2];
  PoolFixture road{MakeEndpointList({{"s-1", listeners[0].at}, {"s-2", listeners[1].at}})};
  RecordingResponseSink first;
  RecordingResponseSink second;
  Far server;

  TwoInFlight() {
    road.exchange.OnRequest(MakeNumberedRequest(1), first);
    road.exchange.OnRequest(MakeNumberedRequest(2), second);
    server = Next();
    Until(road.loop,
          [&] { return server.Hears(RequestPrefix(1)) && server.Hears(RequestPrefix(2)); });
  }
  /// The next connection to arrive, at whichever server.
  Far Next() {
    Far next;
    Until(road.loop, [&] {
      for (FarListener& listener : listeners) {
        int accepted = next.fd ? -1 : ::accept4(listener.fd.Get(), nullptr, nullptr, SOCK_NONBLOCK);
        if (accepted >= 0)
          next = Far(loop::Descriptor(accepted));
      }
      return static_cast<bool>(next.fd);
    });
    return next;
  }
};

/// A request of a class that streams, in flight on a connection to the only server.
struct StreamedResponse {
  FarListener listener;
  PoolFixture road;
  RecordingResponseSink client;
  Far server;

  StreamedResponse() : road(MakeEndpointList({{"s-1", listener.at}}), StreamingSettings()) {
    road.exchange.OnRequest(MakeNumberedRequest(1), client);
    server = listener.Next(road.loop);
    Until(road.loop, [&] { return server.Hears(RequestPrefix(1)); });
  }
  static DeploymentSettings StreamingSettings() {
    DeploymentSettings settings = kit::Settings();
    settings.request_classes[kVideo].streams = true;
    return settings;
  }
  std::string HeadWithLength(std::size_t length) const {
    return IdOf(1) + " HIT entity=t1,issued=1,remark=local " + std::to_string(length) + "\r\n";
  }
};

}  // namespace

TEST_CASE(
    "a connection established after its connect timeout carries nothing, and its request is sent "
    "elsewhere once") {
  constexpr Ms kConnectWithin = 400;
  FarListener listeners[2];
  DelayedConnectEnvironment environment;
  loop::Loop loop(environment);
  auto list = MakeEndpointList({{"s-1", listeners[0].at}, {"s-2", listeners[1].at}});
  exchange::Exchange exchange(loop, SettingsWith(false), 1);
  caches::UpstreamConnectionPool caches(loop, exchange, MakeConnectionSettings(kConnectWithin), 8);
  exchange.SetUpstreamTransport(caches);
  exchange.OnListUpdate(true, list);
  RecordingResponseSink client;
  exchange.OnRequest(MakeNumberedRequest(1), client);
  FarListener* other = nullptr;
  Far dialled;  // established in the kernel, and not yet in the front
  Until(loop, [&] {
    for (int i = 0; i < 2 && !other; ++i) {
      int accepted = ::accept4(listeners[i].fd.Get(), nullptr, nullptr, SOCK_NONBLOCK);
      if (accepted < 0)
        continue;
      dialled = Far(loop::Descriptor(accepted));
      other = &listeners[1 - i];
    }
    return other != nullptr;
  });
  loop.AdvanceClock(kConnectWithin + 1);
  Until(loop, [&] { return exchange.counters.lost_unsent == 1; });
  environment.AllowConnect();
  Far server = other->Next(loop);
  Until(loop, [&] { return server.Hears(RequestPrefix(1)); });
  Until(loop, [&] {
    dialled.Read();
    return dialled.over;
  });
  CHECK(dialled.got.empty());
  CHECK(server.got.find(RequestPrefix(1), server.got.find(RequestPrefix(1)) + 1) ==
        std::string::npos);
  server.Send(HitResponse(1));
  Until(loop, [&] { return !client.notified.empty(); });
  CHECK(client.Is({"200 t"}));
}

// The connection and its timeout in one iteration, after a pause: it was established in time, and
// the queued attempt is sent, once.
TEST_CASE("a connection established in the iteration of its connect timeout is used") {
  constexpr Ms kConnectWithin = 400;
  FarListener listener;
  PoolFixture road(MakeEndpointList({{"s-1", listener.at}}), SettingsWith(false),
                   MakeConnectionSettings(kConnectWithin));
  RecordingResponseSink client;
  road.exchange.OnRequest(MakeNumberedRequest(1), client);
  road.loop.AdvanceClock(kConnectWithin + 1);
  road.RunIterations();
  Far server = listener.Next(road.loop);
  Until(road.loop, [&] { return server.Hears(RequestPrefix(1)); });
  CHECK(road.exchange.counters.lost_unsent == 0);
  CHECK(road.exchange.counters.attempts == 1);
  server.Send(HitResponse(1));
  Until(road.loop, [&] { return !client.notified.empty(); });
  CHECK(client.Is({"200 t"}));
}

// Every byte shows that the connection is alive, so it never counts as silent. The client of its
// request gets its response by its deadline, and later requests do not wait behind it, neither
// while it is awaited nor once it is cancelled.
TEST_CASE("an endlessly trickling response delays only its own request") {
  constexpr Ms kExpiry = 5000;
  constexpr Ms kStep = 50;
  struct Case {
    std::string answer;
    Ms second_comes;
  };
  const std::string body = AnswerTo(1, std::string(1000, 'x'));
  const std::string line = IdOf(1) + " HIT entity=" + std::string(2000, 'e');
  for (const Case& c :
       {Case{body, 1000}, {body, kExpiry + 100}, {line, 1000}, {line, kExpiry + 100}}) {
    CAPTURE(c.answer.substr(0, 30));
    CAPTURE(c.second_comes);
    FarListener listener;
    PoolFixture road(MakeEndpointList({{"s-1", listener.at}}));
    RecordingResponseSink first;
    road.exchange.OnRequest(MakeNumberedRequest(1), first);
    Far server = listener.Next(road.loop);
    Until(road.loop, [&] { return server.Hears(RequestPrefix(1)); });
    std::size_t sent = 60;  // in the body, or still in the response line
    server.Send(c.answer.substr(0, sent));
    auto trickle = [&] {
      bool is_over = (server.Read(), server.over);
      if (!is_over && sent < c.answer.size())
        server.Send(c.answer.substr(sent++, 1));
      road.loop.AdvanceClock(kStep);
      road.RunIterations(2);
    };
    Ms passed = 0;
    for (; passed < c.second_comes; passed += kStep)
      trickle();
    RecordingResponseSink second;
    road.exchange.OnRequest(MakeNumberedRequest(2), second);
    Far again;
    for (int i = 0; i < 20 && !again.fd; ++i) {
      trickle();
      passed += kStep;
      int accepted = ::accept4(listener.fd.Get(), nullptr, nullptr, SOCK_NONBLOCK);
      if (accepted >= 0)
        again = Far(loop::Descriptor(accepted));
    }
    REQUIRE(again.fd);
    Until(road.loop, [&] { return again.Hears(RequestPrefix(2)); });
    again.Send(HitResponse(2));
    Until(road.loop, [&] { return !second.notified.empty(); });
    CHECK(second.Is({"200 t"}));
    CHECK_FALSE(server.Hears(RequestPrefix(2)));
    for (; passed <= kExpiry; passed += kStep)
      trickle();
    CHECK(first.notified.size() == 1);
    CHECK(first.notified[0].substr(0, 3) != "200");
  }
}

// Responses are told apart by their id only: the first one with a request's id is that request's,
// any other belongs to none, and the request that got no response gets its own, or a rejection at
// its deadline.
TEST_CASE(
    "a response under the id of another open request is taken once, and the other request waits "
    "for its own") {
  for (bool own_answer_comes : {true, false}) {
    TwoInFlight open;
    open.server.Send(AnswerTo(2, "two") + AnswerTo(2, "one"));
    Until(open.road.loop, [&] { return open.road.exchange.counters.late_responses == 1; });
    CHECK(open.second.Is({"200 t2"}));
    CHECK(open.second.body == "two");
    CHECK(open.first.notified.empty());
    if (own_answer_comes)
      open.server.Send(AnswerTo(1, "own"));
    else
      open.road.loop.AdvanceClock(60001);
    Until(open.road.loop, [&] { return !open.first.notified.empty(); });
    CHECK(open.first.notified.size() == 1);
    if (own_answer_comes)
      CHECK(open.first.body == "own");
    else
      CHECK(open.first.notified[0].substr(0, 3) == "503");
    CHECK(open.second.notified.size() == 1);
    CHECK(open.road.exchange.counters.malformed_responses == 0);
  }
}

TEST_CASE("extra bytes after a response close the connection and reach no request") {
  for (const std::string spare : {"\r\n", "spare\r\n", "spare", "two spare words\r\n"}) {
    CAPTURE(spare);
    TwoInFlight open;
    open.server.Send(AnswerTo(1, "one") + spare);
    Until(open.road.loop, [&] { return !open.first.notified.empty(); });
    CHECK(open.first.Is({"200 t1"}));
    CHECK(open.first.body == "one");
    Far again = open.Next();  // the other request is sent again
    Until(open.road.loop, [&] { return again.Hears(RequestPrefix(2)); });
    CHECK((open.server.Read(), open.server.over));
    again.Send(AnswerTo(2, "two"));
    Until(open.road.loop, [&] { return !open.second.notified.empty(); });
    CHECK(open.second.Is({"200 t2"}));
    CHECK(open.second.body == "two");
  }
}

// Guards against a streamed response whose stated length is wrong and that its client takes for a
// complete one: bytes were missing, or belonged to the response to another request.
TEST_CASE("a streamed response with a wrong length is never forwarded as a complete one") {
  constexpr std::size_t kBodyBytes = 300;
  const std::string body(kBodyBytes, 'x');
  const std::string behind = AnswerTo(2, "two");
  for (std::size_t stated : {std::size_t{1}, kBodyBytes - 40, kBodyBytes - 1, kBodyBytes + 1,
                             kBodyBytes + 2, kBodyBytes + 3, kBodyBytes + 50})
    for (std::size_t piece : {std::size_t{1}, std::size_t{7}, std::size_t{1000}}) {
      CAPTURE(stated);
      CAPTURE(piece);
      StreamedResponse streamed;
      const std::string answer = streamed.HeadWithLength(stated) + body + "\r\n" + behind;
      const std::vector<std::string> aborted{"begun t1", "broke"};
      for (std::size_t at = 0; at < answer.size() && !streamed.client.Is(aborted); at += piece) {
        streamed.server.Send(answer.substr(at, piece));
        streamed.road.RunIterations(2);
        CHECK(streamed.client.body.size() < stated);
      }
      Until(streamed.road.loop, [&] { return streamed.client.notified.size() == 2; });
      CHECK(streamed.client.Is(aborted));
      CHECK(streamed.client.body.size() < stated);
      CHECK(streamed.road.exchange.counters.malformed_responses == 1);
    }
}

// The same failure where the connection ends, or falls silent, before the end of the body.
TEST_CASE("a streamed response that stops before its end is never forwarded as a complete one") {
  constexpr std::size_t kBodyBytes = 300;
  constexpr Ms kSilence = 100;
  for (const std::string behind : {"", "\r"})
    for (bool closes : {true, false}) {
      CAPTURE(behind);
      CAPTURE(closes);
      StreamedResponse streamed;
      streamed.server.Send(streamed.HeadWithLength(kBodyBytes) + std::string(kBodyBytes, 'x') +
                           behind);
      Until(streamed.road.loop, [&] { return streamed.client.body.size() == kBodyBytes - 1; });
      if (closes)
        streamed.server.fd.Reset();
      Until(streamed.road.loop, [&] {
        streamed.road.loop.AdvanceClock(closes ? 0 : kSilence);
        return streamed.client.notified.size() == 2;
      });
      CHECK(streamed.client.Is({"begun t1", "broke"}));
      CHECK(streamed.client.body.size() == kBodyBytes - 1);
    }
}

// The same failure with the stated length 0: the head alone is a complete response.
TEST_CASE("a streamed response of no bytes begins only once its end has arrived") {
  for (bool right : {true, false}) {
    CAPTURE(right);
    StreamedResponse streamed;
    streamed.server.Send(streamed.HeadWithLength(0));
    streamed.road.RunIterations();
    CHECK(streamed.client.notified.empty());
    streamed.server.Send(right ? "\r\n" : "xx\r\n");
    if (right) {
      Until(streamed.road.loop, [&] { return !streamed.client.notified.empty(); });
      CHECK(streamed.client.Is({"200 t1"}));
      CHECK(streamed.client.body.empty());
    } else {
      Until(streamed.road.loop,
            [&] { return streamed.road.exchange.counters.malformed_responses == 1; });
      for (const std::string& notified : streamed.client.notified) {
        CAPTURE(notified);
        CHECK(notified.substr(0, 3) != "200");
        CHECK(notified.substr(0, 5) != "begun");
      }
    }
  }
}

TEST_CASE("a streamed response is forwarded as it arrives, however its bytes are split") {
  const std::string body = "0123456789";
  for (std::size_t piece = 1; piece <= body.size() + 2; ++piece) {
    CAPTURE(piece);
    StreamedResponse streamed;
    streamed.server.Send(streamed.HeadWithLength(body.size()));
    Until(streamed.road.loop, [&] { return streamed.client.Is({"begun t1"}); });
    const std::string rest = body + "\r\n";
    for (std::size_t at = 0; at < rest.size(); at += piece) {
      streamed.server.Send(rest.substr(at, piece));
      const std::size_t sent = std::min(at + piece, rest.size());
      const std::size_t due = sent == rest.size() ? body.size() : std::min(sent, body.size() - 1);
      Until(streamed.road.loop, [&] { return streamed.client.body.size() == due; });
      CHECK(streamed.client.body == body.substr(0, due));
    }
    Until(streamed.road.loop, [&] { return streamed.client.notified.size() == 2; });
    CHECK(streamed.client.Is({"begun t1", "completed"}));
    CHECK(streamed.client.body == body);
  }
}

TEST_CASE("a response longer than its stated length reaches no request") {
  TwoInFlight open;
  std::string answer = AnswerTo(1, "one");
  answer.insert(answer.size() - 2, "more");
  open.server.Send(answer);
  Far again[2] = {
      open.Next(),
      open.Next()};  // the request whose response it was moves on, the other is sent again
  bool asked[2] = {false, false};
  Until(open.road.loop, [&] {
    for (int which : {1, 2})
      for (Far& server : again)
        asked[which - 1] |= server.Hears(RequestPrefix(which));
    return asked[0] && asked[1];
  });
  CHECK(open.first.notified.empty());
  CHECK(open.road.exchange.counters.malformed_responses == 1);
  for (int which : {1, 2})
    for (Far& server : again)
      if (server.Hears(RequestPrefix(which)))
        server.Send(AnswerTo(which, which == 1 ? "one" : "two"));
  Until(open.road.loop,
        [&] { return !open.first.notified.empty() && !open.second.notified.empty(); });
  CHECK(open.first.Is({"200 t1"}));
  CHECK(open.first.body == "one");
  CHECK(open.second.Is({"200 t2"}));
  CHECK(open.second.body == "two");
}
