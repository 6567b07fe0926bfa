// Tests of the upstream connection pool on loopback sockets, with an Exchange that routes requests
// and servers that exchange plain bytes.
#include "caches/caches.hpp"

#include <poll.h>

#include "sides.hpp"

using namespace kit;

namespace {

struct PoolFixture {  // a connection pool on loopback sockets, with an Exchange that routes
                      // requests
  loop::Loop loop;
  exchange::Exchange exchange;
  caches::UpstreamConnectionPool caches;
  RecordingResponseSink client;
  explicit PoolFixture(const std::vector<exchange::ListedEndpoint>& list,
                       const settings::ConnectionSettings& t = MakeConnectionSettings(),
                       std::size_t most = 8)
      : exchange(loop, kit::Settings(), 1), caches(loop, exchange, t, most) {
    exchange.SetUpstreamTransport(caches);
    exchange.OnListUpdate(true, list);
  }
};

struct EndpointNumberFinder final
    : exchange::UpstreamTransport {  // the number under which the Exchange knows the endpoint
  std::uint32_t number = 0;
  std::uint64_t Send(AttemptKey, const RequestMetadata&, const SendAttempt& how,
                     const std::vector<std::uint64_t>&) override {
    number = how.endpoint;
    return 1;
  }
  void Cancel(AttemptKey, const RequestMetadata&, std::uint32_t) override {}
  bool CancelUnsent(AttemptKey, const RequestMetadata&, std::uint32_t) override {
    return false;
  }
  void Probe(std::uint32_t) override {}
  void UpdateEndpoint(const ListEntry& e, const std::string&, const loop::Address&) override {
    number = e.id;
  }
  void RemoveEndpoint(std::uint32_t) override {}
  std::uint32_t NumberIn(PoolFixture& fixture, const std::vector<exchange::ListedEndpoint>& list) {
    fixture.exchange.SetUpstreamTransport(*this);
    fixture.exchange.OnListUpdate(true, list);
    fixture.exchange.SetUpstreamTransport(fixture.caches);
    return number;
  }
};

void ResponsesArriveInAnyOrderAndPieces() {
  FarListener far;
  PoolFixture fixture(MakeEndpointList({{"s-1", far.at}}));
  RecordingResponseSink one, two;
  RequestMetadata held = MakeRequest();
  held.entity_tag = "t1";
  fixture.exchange.OnRequest(held, one);
  fixture.exchange.OnRequest(MakeRequest("00000000000000aa"), two);
  Far peer = far.Next(fixture.loop);
  Until(fixture.loop, [&] { return peer.Hears("want 00000000000000aa "); });
  assert(peer.got.find("want " + kId + " profile=video,thing=7f3a,nth=0,max=") == 0);
  std::string body(3000, 'b');
  body[7] = '\r';
  body[8] = '\n';
  std::string all =
      "00000000000000ff HIT - 3\r\nold\r\n00000000000000aa HIT entity=t2,issued=1,remark=local "
      "3000\r\n" +
      body + "\r\n" + kId + " VALID entity=t1,issued=1,remark=local 0\r\n\r\n";
  for (char c : all) {
    peer.Send(std::string_view(&c, 1));
    fixture.loop.RunOnce(0);
  }
  Until(fixture.loop, [&] { return !one.notified.empty(); });
  assert(one.Is({"304 t1"}) && two.Is({"200 t2"}) && two.body == body);
  assert(fixture.exchange.counters.late_responses == 1);
}

// Two attempts of a request share its id: the second must not take the first one's response for its
// own.
void AttemptsOfOneRequestAreKeptApart() {
  FarListener far;
  PoolFixture fixture(MakeEndpointList({{"s-1", far.at}}));
  EndpointNumberFinder find;
  std::uint32_t cache = find.NumberIn(fixture, MakeEndpointList({{"s-1", far.at}}));
  SendAttempt how;
  how.endpoint = how.source = cache;
  how.timeout = 60000;
  std::uint64_t first = fixture.caches.Send({1, 0}, MakeRequest(), how, {});
  std::uint64_t second =
      fixture.caches.Send({1, 1}, MakeRequest(), how, {});  // while the first is in flight
  assert(first != second);
  fixture.caches.Cancel({1, 0}, MakeRequest(), cache);
  assert(fixture.caches.Send({1, 2}, MakeRequest(), how, {first, second}) >
         second);  // its response may be in transit
  Far one = far.Next(fixture.loop), two = far.Next(fixture.loop), three = far.Next(fixture.loop);
  Until(fixture.loop, [&] { return two.Hears("want ") && three.Hears("want "); });
  // Cancelled before the connection was established: it was never sent, so no cancel message is
  // due.
  assert(!one.Hears("want ") && !one.Hears("never_mind"));
  fixture.caches.Cancel({1, 1}, MakeRequest(), cache);
  Until(fixture.loop, [&] { return two.Hears("never_mind " + kId + "\r\n"); });
}

void EndsOfConnectionsEndTheirAttempts() {
  enum Way {
    kRefused,
    kNeverUp,
    kClosed,
    kReset,
    kMalformed,
    kImpossible,
    kReplaced
  };
  for (Way way : {kRefused, kNeverUp, kClosed, kReset, kMalformed, kImpossible, kReplaced}) {
    FarListener far(way == kNeverUp ? 0 : 16), silent;
    loop::Address at = way == kRefused ? FreeAddress() : far.at;
    std::vector<Far> fill;  // fills the backlog, so that no other connection is established
    if (way == kNeverUp)
      fill.push_back(Far::To(far.at));
    PoolFixture fixture(MakeEndpointList({{"s-1", at}}),
                        MakeConnectionSettings(way == kNeverUp ? 60 : 1000));
    fixture.exchange.OnRequest(MakeRequest(), fixture.client);
    auto& n = fixture.exchange.counters;
    Far peer;
    if (way > kNeverUp) {
      peer = far.Next(fixture.loop);
      Until(fixture.loop, [&] { return peer.Hears("want "); });
    }
    if (way == kClosed)
      peer.fd.Reset();
    if (way == kReset)
      peer.Reset();
    if (way == kMalformed)
      peer.Send("what is this\r\n");
    if (way == kImpossible)
      peer.Send(kId + " HIT - 240001\r\n");
    if (way == kReplaced) {
      auto list = MakeEndpointList({{"s-1", silent.at}});
      list[0].entry.started_at = 17;
      fixture.exchange.OnListUpdate(false, list);
    }
    Until(fixture.loop, [&] { return n.lost_unsent + n.lost_after_send > 0; });
    assert(n.lost_unsent == (way <= kNeverUp ? 1u : 0u) &&
           n.lost_after_send == (way > kNeverUp ? 1u : 0u));
    assert(n.malformed_responses == (way == kMalformed || way == kImpossible ? 1u : 0u));
    // With its only cache failed the request is rejected at once, not held.
    assert(fixture.client.notified.size() == 1 && fixture.client.notified[0].substr(0, 3) == "503");
  }
}

// A truncated response ends its connection soon, though the connection stays open and the requests
// have minutes: the request whose response it was is sent to another cache, one that was only lost
// with the connection is sent to the same cache again, and the cache stays in use. Also where the
// response line is incomplete. The duplicate of a response belongs to no request.
void TruncatedResponsesDelayNoOthers() {
  for (const char* part : {" HIT entity=t,issued=1,remark=local 9\r\nhalf", " HIT entity=t,iss"}) {
    FarListener one, other;
    PoolFixture fixture(MakeEndpointList({{"s-1", one.at}, {"s-2", other.at}}));
    std::vector<RecordingResponseSink> clients(9);
    for (std::size_t i = 0; i < 9; ++i)  // of one object, and so with one home cache
      fixture.exchange.OnRequest(MakeRequest("00000000000000a" + std::to_string(i)), clients[i]);
    bool at_one = false;
    Until(fixture.loop, [&] {
      pollfd p[2] = {{one.fd.Get(), POLLIN, 0}, {other.fd.Get(), POLLIN, 0}};
      ::poll(p, 2, 0);
      at_one = p[0].revents != 0;
      return p[0].revents != 0 || p[1].revents != 0;
    });
    FarListener &home = at_one ? one : other, &away = at_one ? other : one;
    Far peer = home.Next(fixture.loop);
    Until(fixture.loop, [&] { return peer.Hears("want 00000000000000a0"); });
    peer.Send("00000000000000a0" + std::string(part));
    Far again = home.Next(fixture.loop), moved = away.Next(fixture.loop);
    Until(fixture.loop,
          [&] { return again.Hears("want 00000000000000a1") && moved.Hears("want "); });
    assert(fixture.exchange.counters.stalled_connections == 1 && (peer.Read(), peer.over));
    const std::string answer = "00000000000000a1 HIT entity=t,issued=1,remark=local 2\r\nok\r\n";
    again.Send(answer + answer);
    Until(fixture.loop, [&] {
      return !clients[1].notified.empty() && fixture.exchange.counters.late_responses == 1;
    });
  }
}

// A connection that stays open but carries nothing more does not answer a liveness check; what is
// in flight on it is sent again on another connection, minutes before its deadline. One that
// answers the check is kept.
void DeadConnectionsAreClosed() {
  for (bool carries : {false, true}) {
    FarListener far;
    settings::ConnectionSettings t = MakeConnectionSettings();
    t.may_probe = true;
    PoolFixture fixture(MakeEndpointList({{"s-1", far.at}}), t);
    std::vector<RecordingResponseSink> clients(3);
    for (std::size_t i = 0; i < 3; ++i)
      fixture.exchange.OnRequest(MakeRequest("00000000000000a" + std::to_string(i)), clients[i]);
    Far peer = far.Next(fixture.loop);
    Until(fixture.loop, [&] { return peer.Hears("there call\r\n"); });
    if (carries) {
      for (int i = 0; i < 3; ++i) {
        peer.got.clear();
        peer.Send("call PONG - 0\r\n\r\n");
        Until(fixture.loop, [&] { return peer.Hears("there call\r\n"); });
      }
    } else {
      Far again = far.Next(fixture.loop);
      Until(fixture.loop, [&] { return again.Hears("want 00000000000000a1 "); });
    }
    assert(fixture.exchange.counters.silent_connections == (carries ? 0u : 1u) &&
           (peer.Read(), peer.over) == !carries);
  }
}

// An attempt that may run only once waits until its connection has answered a liveness check: if it
// breaks during the check, as an idle or new connection may, nothing was sent on it, and the next
// one is tried, a few times. If it is cancelled while it waits, it was never sent.
void ExclusiveAttemptsWaitForALiveConnection() {
  FarListener far;
  PoolFixture fixture(MakeEndpointList({{"s-1", far.at}}));
  AttemptKey key{1, 0};
  SendAttempt how;
  EndpointNumberFinder find;
  how.endpoint = how.source = find.NumberIn(fixture, MakeEndpointList({{"s-1", far.at}}));
  how.timeout = 60000;
  how.requires_live_connection = true;
  for (int broken : {0, 2}) {
    fixture.caches.Send(key, MakeRequest(), how, {});
    for (int i = 0; i < broken; ++i) {
      Far peer = far.Next(fixture.loop);
      Until(fixture.loop, [&] { return peer.Hears("there call\r\n"); });
      assert(peer.got.find("want") == std::string::npos);
      peer.Reset();
    }
    Far peer = far.Next(fixture.loop);
    Until(fixture.loop, [&] { return peer.Hears("there call\r\n"); });
    peer.Send("call PONG - 0\r\n\r\n");
    Until(fixture.loop, [&] { return peer.Hears("want " + kId); });
    peer.Reset();
    for (int i = 0; i < 20; ++i)
      fixture.loop.RunOnce(1);
  }
  assert(fixture.exchange.counters.cache_connections == 4);
  fixture.caches.Send(key, MakeRequest(), how, {});
  Far peer = far.Next(fixture.loop);
  Until(fixture.loop, [&] { return peer.Hears("there call\r\n"); });
  fixture.caches.Cancel(key, MakeRequest(), how.endpoint);
  peer.Send("call PONG - 0\r\n\r\n");
  for (int i = 0; i < 20; ++i)
    fixture.loop.RunOnce(1);
  assert(!peer.Hears("want") && !peer.Hears("never_mind"));
}

// Few attempts share a connection while there are descriptors for more; then all share the
// connections there are.
void AttemptsAreSpreadOverConnections() {
  FarListener far;
  PoolFixture fixture(MakeEndpointList({{"s-1", far.at}}), MakeConnectionSettings(), 2);
  std::vector<RecordingResponseSink> clients(20);
  for (std::size_t i = 0; i < 20; ++i) {
    fixture.exchange.OnRequest(MakeRequest("00000000000000" + std::to_string(10 + i)), clients[i]);
    if (fixture.exchange.counters.attempts <= 8)
      assert(fixture.exchange.counters.cache_connections == 1);
  }
  assert(fixture.exchange.counters.cache_connections == 2 &&
         fixture.exchange.counters.attempts > 16);
  assert(fixture.exchange.counters.lost_unsent == 0);
}

void ASilentServerDelaysNoOthers() {
  FarListener mute, good;
  PoolFixture fixture(MakeEndpointList({{"s-1", mute.at}, {"s-2", good.at}}));
  std::vector<RecordingResponseSink> clients(40);
  for (std::size_t i = 0; i < clients.size(); ++i) {
    RequestMetadata a = MakeRequest("00000000000000" + std::to_string(10 + i));
    a.object = "object" + std::to_string(i);
    fixture.exchange.OnRequest(a, clients[i]);
  }
  Far peer = good.Next(fixture.loop);
  Until(fixture.loop, [&] { return peer.Hears("\r\n\r\n"); });
  std::string asked = peer.got.substr(5, 16);
  peer.Send(asked + " HIT entity=t,issued=1,remark=local 2\r\nok\r\n");
  Until(fixture.loop, [&] { return fixture.exchange.counters.succeeded == 1; });
}

// A connection that the server may be about to close as idle is not used again: a request that
// crosses the close would count as one that may have run.
void IdleConnectionsAreNotReusedNearTheirTimeout() {
  FarListener far;
  PoolFixture fixture(MakeEndpointList({{"s-1", far.at}}), MakeConnectionSettings(400, 50));
  fixture.exchange.OnRequest(MakeRequest(), fixture.client);
  Far first = far.Next(fixture.loop);
  Until(fixture.loop, [&] { return first.Hears("want "); });
  first.Send(kId + " HIT entity=t,issued=1,remark=local 0\r\n\r\n");
  Until(fixture.loop, [&] { return !fixture.client.notified.empty(); });
  Ms end = fixture.loop.now() + 60;
  Until(fixture.loop, [&] { return fixture.loop.now() > end; });
  fixture.exchange.OnRequest(MakeRequest("00000000000000aa"), fixture.client);
  Far second = far.Next(fixture.loop);
  Until(fixture.loop, [&] { return second.Hears("want 00000000000000aa"); });
}

void EveryProbeEnds() {
  for (const char* word : {"PONG", "SICK", "", "close"}) {
    FarListener far;
    PoolFixture fixture(MakeEndpointList({{"s-1", far.at}}),
                        MakeConnectionSettings(*word ? 10000 : 100));
    auto& n = fixture.exchange.counters;
    // Two broken attempts eject the cache; the router probes it after a moment.
    for (int i = 0; i < 2; ++i) {
      RecordingResponseSink client;
      fixture.exchange.OnRequest(MakeRequest("00000000000000a" + std::to_string(i)), client);
      Far peer = far.Next(fixture.loop);
      Until(fixture.loop, [&] { return peer.Hears("want "); });
      peer.Reset();
      Until(fixture.loop, [&] { return !client.notified.empty(); });
    }
    Far peer = far.Next(fixture.loop);
    Until(fixture.loop,
          [&] { return peer.Hears("busy ") && peer.got.find("\r\n") != std::string::npos; });
    std::string tag = peer.got.substr(5, peer.got.find("\r\n") - 5), say = word;
    if (say == "close")
      peer.fd.Reset();
    else if (!say.empty())
      peer.Send(tag + ' ' + say + " report=util:0.5 0\r\n\r\n");
    std::uint64_t before = n.probes;
    Until(fixture.loop, [&] {
      return n.probes_answered + n.probes > before;
    });  // the next one follows when this one ends
    assert((n.probes_answered > 0) == (say == "PONG"));
  }
}

// A new endpoint at the address of one that is still listed: attempts for the old one do not reach
// it.
void NothingReachesANewEndpointAtAnOldAddress() {
  FarListener far;
  PoolFixture fixture(MakeEndpointList({{"s-1", far.at}}));
  fixture.exchange.OnRequest(MakeRequest(), fixture.client);
  Far old = far.Next(fixture.loop);
  Until(fixture.loop, [&] { return old.Hears("want "); });
  auto fresh = MakeEndpointList({{"s-2", far.at}});
  fresh[0].entry.state = EndpointState::kDraining;  // does not take requests yet
  fixture.exchange.OnListUpdate(false, fresh);
  assert(!(old.Read(), old.over));
  fresh[0].entry.state = EndpointState::kReady;
  fresh[0].entry.weight = 1e-9;  // the home cache of no object
  fixture.exchange.OnListUpdate(false, fresh);
  Until(fixture.loop, [&] {
    old.Read();
    return old.over;
  });
  std::uint64_t before = fixture.exchange.counters.lost_unsent;
  RecordingResponseSink other;
  fixture.exchange.OnRequest(MakeRequest("00000000000000aa"), other);
  assert(fixture.exchange.counters.lost_unsent > before);  // at once, with nothing written
}

void UpstreamConnectionsAreLimited() {
  FarListener far;
  settings::ConnectionSettings one = MakeConnectionSettings();
  one.max_concurrent_attempts = 1;
  PoolFixture fixture(MakeEndpointList({{"s-1", far.at}}), one, 2);
  std::vector<RecordingResponseSink> clients(3);
  for (int i = 0; i < 3; ++i)
    fixture.exchange.OnRequest(MakeRequest("00000000000000a" + std::to_string(i)),
                               clients[static_cast<std::size_t>(i)]);
  assert(fixture.exchange.counters.cache_connections == 2 &&
         fixture.exchange.counters.lost_unsent == 1);
  assert(clients[2].notified.size() == 1 && clients[1].notified.empty());
}

}  // namespace

int main() {
  struct Case {
    const char* name;
    void (*run)();
  };
  for (Case c :
       {Case{"responses arrive in any order and pieces", ResponsesArriveInAnyOrderAndPieces},
        {"attempts of one request are kept apart", AttemptsOfOneRequestAreKeptApart},
        {"ends of connections end their attempts", EndsOfConnectionsEndTheirAttempts},
        {"truncated responses delay no others", TruncatedResponsesDelayNoOthers},
        {"dead connections are closed", DeadConnectionsAreClosed},
        {"exclusive attempts wait for a live connection", ExclusiveAttemptsWaitForALiveConnection},
        {"attempts are spread over connections", AttemptsAreSpreadOverConnections},
        {"a silent server delays no others", ASilentServerDelaysNoOthers},
        {"idle connections are not reused near their timeout",
         IdleConnectionsAreNotReusedNearTheirTimeout},
        {"every probe ends", EveryProbeEnds},
        {"nothing reaches a new endpoint at an old address",
         NothingReachesANewEndpointAtAnOldAddress},
        {"upstream connections are limited", UpstreamConnectionsAreLimited}}) {
    std::puts(c.name);
    std::fflush(stdout);
    c.run();
  }
}
