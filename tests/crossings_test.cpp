// Races between the front and its caches: an event that occurs between the choice of an attempt and
// its write, or between two lines of a response. On loopback sockets, with a server that sends each
// byte when the test says so.
#include <algorithm>

#include "clients/clients.hpp"
#include "upstream_fixture.hpp"

using namespace kit;

namespace {

// The client has disconnected: what has not left this process is never sent, whether or not the
// settings allow cancelling, whatever it waits for; later requests are sent.
void NothingIsSentForADisconnectedClient() {
  for (WaitReason how : {kConnecting, kWriteBuffer, kLivenessCheck})
    for (bool cancel : {true, false}) {
      bool once = how == kLivenessCheck;
      QueuedAttemptFixture w(how, SettingsWith(cancel, Effect::kExclusive), {},
                             once ? kWrite : kVideo);
      w.fixture.exchange.OnClientDisconnected(w.request);
      w.EndWait();
      assert(!w.HasStarted() && !w.peer.Hears("never_mind 00000000000000a1"));
      assert(w.client.notified.empty() && w.fixture.exchange.counters.lost_unsent == 0);
      RecordingResponseSink next;
      w.fixture.exchange.OnRequest(MakeNumberedRequest(2), next);
      if (how != kWriteBuffer) {
        Until(w.fixture.loop, [&] { return w.peer.Hears(RequestPrefix(2)); });
        w.peer.Send(HitResponse(2));
        Until(w.fixture.loop, [&] { return !next.notified.empty(); });
      }
      assert(w.fixture.exchange.counters.malformed_responses == 0 && !w.HasStarted());
    }
}

// The deadline passes while the loop is suspended: in its next iteration the connection is
// established before any timer is run.
void OverdueAttemptsAreNotSent() {
  for (WaitReason how : {kConnecting, kLivenessCheck}) {
    QueuedAttemptFixture w(how, SettingsWith(false, Effect::kExclusive), {},
                           how == kLivenessCheck ? kWrite : kVideo);
    if (how == kLivenessCheck)
      w.peer.Send("call PONG - 0\r\n\r\n");
    w.fixture.loop.AdvanceClock(61000);
    w.fixture.RunIterations();
    if (how == kConnecting)
      w.peer = w.far.Next(w.fixture.loop);
    w.fixture.RunIterations();
    assert(!w.HasStarted() && w.client.notified.size() == 1);
  }
}

// A retry that its deduplication window no longer covers when the connection is established is not
// started; its client gets its response at once.
void RetriesStayWithinTheDeduplicationWindow() {
  DeploymentSettings s = SettingsWith(true, Effect::kIdempotentWithKey);
  s.request_classes[kWrite].deduplication_window = 500;
  s.request_classes[kWrite].max_deadline = 60000;
  for (bool late : {false, true}) {
    FarListener one, other;
    PoolFixture fixture(MakeEndpointList({{"s-1", one.at}, {"s-2", other.at}}), s);
    RecordingResponseSink client;
    fixture.exchange.OnRequest(MakeNumberedRequest(1, kWrite), client);
    Far first;
    FarListener *home = nullptr, *next = nullptr;
    Until(fixture.loop, [&] {
      for (FarListener* l : {&one, &other}) {
        int got = ::accept4(l->fd.Get(), nullptr, nullptr, SOCK_NONBLOCK);
        if (got >= 0) {
          first = Far(loop::Descriptor(got));
          home = l;
        }
      }
      return home != nullptr;
    });
    next = home == &one ? &other : &one;
    Until(fixture.loop, [&] { return first.Hears(RequestPrefix(1)); });
    first.Send("00000000000000a1 FAULT - 0\r\n\r\n");
    Until(fixture.loop, [&] { return fixture.exchange.counters.errors == 1; });
    // The retry waits for a connection that is not established yet: no iteration has run since.
    assert(fixture.exchange.counters.attempts == 2 && client.notified.empty());
    if (late)
      fixture.loop.AdvanceClock(501);
    fixture.RunIterations();
    Far second = next->Next(fixture.loop);
    if (!late)
      Until(fixture.loop, [&] { return second.Hears(RequestPrefix(1)); });
    if (late)
      Until(fixture.loop, [&] { return client.notified.size() == 1; });
    assert(second.Hears(RequestPrefix(1)) == !late);
  }
}

// Updates announced between the choice of an attempt and its write: a drain of the cache or of the
// source, a purge of the object or its group.
void UpdatesApplyToQueuedAttempts() {
  enum Update {
    kDrained,
    kSourceDrained,
    kPurged,
    kGroupPurged,
    kRecalled,
    kMaxAge
  };
  for (Update update : {kDrained, kSourceDrained, kPurged, kGroupPurged, kRecalled, kMaxAge}) {
    std::vector<exchange::ListedEndpoint> parents = MakeEndpointList({{"p-1", {}}, {"p-2", {}}});
    for (auto& one : parents) {
      one.entry.kind = kParentKind;
      one.entry.zone = 0;
      one.entry.weight = 30;
    }
    QueuedAttemptFixture w(kConnecting, SettingsWith(false), parents);
    assert(w.fixture.exchange.counters.attempts == 1);
    auto s1 = MakeEndpointList({{"s-1", w.far.at}});
    s1[0].entry.state = EndpointState::kDraining;
    if (update == kDrained)
      w.fixture.exchange.OnListUpdate(false, s1);
    if (update == kSourceDrained) {
      parents[0].entry.state = EndpointState::kDraining;
      parents[1].entry.state = EndpointState::kDraining;
      w.fixture.exchange.OnListUpdate(false, parents);
    }
    if (update == kPurged)
      w.fixture.exchange.OnPurge(false, "7f3a", 0, w.fixture.loop.now());
    if (update == kGroupPurged)
      w.fixture.exchange.OnPurge(true, "", 0, w.fixture.loop.now());
    if (update == kRecalled)
      w.fixture.exchange.OnRecall("", 0, kVideo, false, 0);
    if (update == kMaxAge)
      w.fixture.exchange.SetMaxCopyAge(5);
    w.EndWait();
    if (update == kDrained) {
      assert(!w.HasStarted() && w.client.notified.size() == 1);
      continue;
    }
    Until(w.fixture.loop, [&] { return w.peer.Hears("\r\n\r\n"); });
    std::string line = w.peer.got.substr(0, w.peer.got.find("\r\n"));
    if (update == kSourceDrained)
      assert(line.find("miss=p-") == line.npos);
    else
      assert(line.find(",within=") != line.npos);
    assert(w.peer.got.find(RequestPrefix(1), 10) == w.peer.got.npos);  // sent once
  }
}

// A purge of something else does not change queued attempts, and an attempt that was sent is never
// sent a second time for it.
void UnrelatedUpdatesChangeNothing() {
  for (bool gone : {false, true}) {
    QueuedAttemptFixture w(kConnecting, SettingsWith(false));
    if (gone)
      w.EndWait();
    w.fixture.exchange.OnPurge(false, gone ? "7f3a" : "0000", 9, w.fixture.loop.now());
    w.fixture.exchange.OnPurge(true, "", gone ? 0 : 9, w.fixture.loop.now());
    if (!gone)
      w.EndWait();
    Until(w.fixture.loop, [&] { return w.HasStarted(); });
    w.fixture.RunIterations();
    assert(w.peer.Read().find(RequestPrefix(1), 10) == std::string::npos &&
           w.fixture.exchange.counters.attempts == 1);
  }
}

// An endpoint is replaced at the same address while an attempt waits to be written there.
void NoQueuedAttemptReachesAReplacement() {
  for (WaitReason how : {kConnecting, kLivenessCheck}) {
    QueuedAttemptFixture w(how, SettingsWith(false, Effect::kExclusive), {},
                           how == kLivenessCheck ? kWrite : kVideo);
    auto fresh = MakeEndpointList({{"s-2", w.far.at}});
    fresh[0].entry.weight = 1e-9;
    w.fixture.exchange.OnListUpdate(false, fresh);
    if (how == kLivenessCheck)
      w.peer.Send("call PONG - 0\r\n\r\n");
    w.fixture.RunIterations();
    Far old = how == kLivenessCheck ? std::move(w.peer) : w.far.Next(w.fixture.loop);
    Until(w.fixture.loop, [&] {
      old.Read();
      return old.over;
    });
    assert(old.got.find("want ") == std::string::npos);
  }
}

// The response to the liveness check and the server's close arrive in one write: a request that may
// run only once is sent on another connection.
void NothingIsSentAfterALivenessResponseWithAClose() {
  QueuedAttemptFixture w(kLivenessCheck, SettingsWith(true, Effect::kExclusive), {}, kWrite);
  w.peer.Send("call PONG - 0\r\n\r\n");
  w.peer.fd.Reset();
  Far again = w.far.Next(w.fixture.loop);
  Until(w.fixture.loop, [&] { return again.Hears("there call\r\n"); });
  again.Send("call PONG - 0\r\n\r\n");
  Until(w.fixture.loop, [&] { return again.Hears(RequestPrefix(1)); });
  again.Send(HitResponse(1));
  Until(w.fixture.loop, [&] { return !w.client.notified.empty(); });
  assert(w.client.Is({"200 t"}) && w.fixture.exchange.counters.lost_after_send == 0);
}

// An exclusive request of which a byte may have been sent gets no second attempt: reset during the
// request, after the first byte of its response, in the middle of it. A late or duplicate response
// belongs to no request.
void ExclusiveRequestsRunOnce() {
  for (const char* said : {"", "0", "00000000000000a1 HIT - 2\r\no"}) {
    QueuedAttemptFixture w(kLivenessCheck, SettingsWith(true, Effect::kExclusive), {}, kWrite);
    w.peer.Send("call PONG - 0\r\n\r\n");
    Until(w.fixture.loop, [&] { return w.HasStarted(); });
    if (*said)
      w.peer.Send(said);
    w.peer.Reset();
    Until(w.fixture.loop, [&] { return !w.client.notified.empty(); });
    assert(w.client.Is({"502"}) && w.fixture.exchange.counters.attempts == 1);
    w.fixture.RunIterations();
    int got = ::accept4(w.far.fd.Get(), nullptr, nullptr, SOCK_NONBLOCK);
    assert(got < 0);  // no second connection was opened
  }
}

// A queued attempt was moved, with the number of its connection: a response to an earlier attempt
// of its request may still arrive there, so the request's next attempt uses another connection, and
// the duplicate belongs to no request.
void MovedAttemptsAreKeptApart() {
  DeploymentSettings s = SettingsWith(true, Effect::kExclusive);
  s.permissions.direct_to_origin = false;
  std::vector<exchange::ListedEndpoint> origin = MakeEndpointList({{"origin", {}}});
  QueuedAttemptFixture w(kLivenessCheck, s, origin, kWrite);
  w.peer.Reset();  // during the check: the attempt moves
  Far second = w.far.Next(w.fixture.loop);
  Until(w.fixture.loop, [&] { return second.Hears("there call\r\n"); });
  second.Send("call PONG - 0\r\n\r\n");
  Until(w.fixture.loop, [&] { return second.Hears(RequestPrefix(1)); });
  second.Send("00000000000000a1 NONE remark=not_there 0\r\n\r\n");
  Until(w.fixture.loop, [&] { return w.fixture.exchange.counters.misses == 1; });
  assert(w.fixture.exchange.counters.attempts == 2);
  second.Send("00000000000000a1 NONE remark=not_there 0\r\n\r\n");
  Far third = w.far.Next(w.fixture.loop);
  Until(w.fixture.loop, [&] { return third.Hears("there call\r\n"); });
  w.fixture.RunIterations();
  assert(w.fixture.exchange.counters.misses == 1);
}

// The response had arrived when the connection broke under the next request: it is read before the
// break is reported.
void ResponsesBeforeAResetAreRead() {
  FarListener far;
  PoolFixture fixture(MakeEndpointList({{"s-1", far.at}}));
  RecordingResponseSink one, two;
  fixture.exchange.OnRequest(MakeNumberedRequest(1), one);
  Far peer = far.Next(fixture.loop);
  Until(fixture.loop, [&] { return peer.Hears(RequestPrefix(1)); });
  peer.Send(HitResponse(1));
  peer.Reset();
  fixture.exchange.OnRequest(MakeNumberedRequest(2), two);  // written to the broken connection
  Until(fixture.loop, [&] { return !one.notified.empty(); });
  assert(one.Is({"200 t"}));
  Until(fixture.loop,
        [&] { return !two.notified.empty() || fixture.exchange.counters.attempts > 2; });
}

// A front without a free descriptor for a connection has a shortage of its own: the caches stay in
// use.
void AConnectionShortageDoesNotBlameTheCache() {
  FarListener far;
  settings::ConnectionSettings t = MakeConnectionSettings(20000);
  t.max_concurrent_attempts = 1;
  PoolFixture fixture(MakeEndpointList({{"s-1", far.at}}), kit::Settings(), t, 1);
  RecordingResponseSink first;
  fixture.exchange.OnRequest(MakeNumberedRequest(0), first);
  Far peer = far.Next(fixture.loop);
  Until(fixture.loop, [&] { return peer.Hears(RequestPrefix(0)); });
  std::vector<RecordingResponseSink> turned_away(4);
  for (int i = 0; i < 4; ++i) {
    fixture.exchange.OnRequest(MakeNumberedRequest(i + 1),
                               turned_away[static_cast<std::size_t>(i)]);
    assert(turned_away[static_cast<std::size_t>(i)].notified.size() == 1);
  }
  peer.Send(HitResponse(0));
  Until(fixture.loop, [&] { return !first.notified.empty(); });
  RecordingResponseSink last;
  fixture.exchange.OnRequest(MakeNumberedRequest(9), last);
  Until(fixture.loop, [&] { return peer.Hears(RequestPrefix(9)); });
  assert(fixture.exchange.counters.probes == 0);
}

// The client's idempotency key is forwarded unchanged with each attempt.
void IdempotencyKeysAreForwarded() {
  FarListener one, other;
  PoolFixture fixture(MakeEndpointList({{"s-1", one.at}, {"s-2", other.at}}),
                      SettingsWith(true, Effect::kIdempotentWithKey));
  loop::Address at = FreeAddress();
  clients::HttpServer clients(fixture.loop, fixture.exchange,
                              MakeConnectionSettings().request_classes, {false, true}, at, 50);
  Far client = Far::To(at);
  client.Send("PUT /ops/write/7f3a?part=0 HTTP/1.1\r\nX-Request-Id: " + kId +
              "\r\nX-Timeout-Ms: 60000\r\nX-Group: 17\r\nIdempotency-Key: "
              "5c.k-17\r\nContent-Length: 1\r\n\r\nx");
  Far peer;
  Until(fixture.loop, [&] {
    for (FarListener* l : {&one, &other})
      if (int got = ::accept4(l->fd.Get(), nullptr, nullptr, SOCK_NONBLOCK); got >= 0)
        peer = Far(loop::Descriptor(got));
    return static_cast<bool>(peer.fd);
  });
  Until(fixture.loop, [&] { return peer.Hears("\r\nx\r\n"); });
  assert(peer.got.find(",replay=5c.k-17 1\r\nx\r\n") != std::string::npos);
}

// Deadline, disconnect and response in one iteration, in each order: at most one final response,
// one end of the attempt, nothing sent afterwards.
void CoincidingEventsInEachOrder() {
  std::vector<int> order{0, 1, 2,
                         3};  // the deadline; the client disconnects; the response; its duplicate
  do {
    for (bool unsent : {false, true})
      for (bool cancel : {false, true}) {
        ExchangeFixture d(SettingsWith(cancel));
        d.caches.unsent = unsent;
        RecordingResponseSink client;
        RequestMetadata a = MakeNumberedRequest(1);
        a.ttl = 100;
        std::uint32_t request = d.exchange.OnRequest(a, client);
        AttemptKey key = d.caches.sent.at(0).key;
        bool left = false;
        for (int what : order) {
          std::size_t notified = client.notified.size();
          if (what == 0) {
            d.loop.AdvanceClock(200);
            d.loop.RunOnce(0);
          }
          if (what == 1) {
            d.exchange.OnClientDisconnected(request);
            left = true;
          }
          if (what >= 2) {
            d.exchange.OnAttemptResponseStarted(key, MakeResponseHead(AttemptResult::kFinished), 0);
            d.exchange.OnAttemptResponseComplete(key, MakeResponseHead(AttemptResult::kFinished));
          }
          assert(client.notified.size() <= 1 && (!left || client.notified.size() == notified));
        }
        assert(client.notified.size() == (order[0] == 1 ? 0u : 1u) && d.caches.sent.size() == 1 &&
               d.exchange.OpenRequestCount() == 0);
        auto& n = d.exchange.counters;
        assert(n.attempts_succeeded + n.timed_out + n.cancelled + n.superseded == 1);
      }
  } while (std::next_permutation(order.begin(), order.end()));
}

// A client whose request is in flight to one of two servers, with open connections to both. Every
// client's descriptor number is higher than theirs.
struct TwoServers {
  FarListener listeners[2];
  PoolFixture road{MakeEndpointList({{"s-1", listeners[0].at}, {"s-2", listeners[1].at}}),
                   SettingsWith(false)};
  loop::Address at = FreeAddress();
  clients::HttpServer clients{
      road.loop, road.exchange, MakeConnectionSettings().request_classes, {false, true}, at, 50};
  Far servers[2];
  Far client;
  Far* home = nullptr;   // has the request
  Far* other = nullptr;  // would get the next attempt

  TwoServers() {
    for (int i = 0; i < 40 && !(servers[0].fd && servers[1].fd); ++i)
      Answer("00000000000000" + std::to_string(10 + i), "object" + std::to_string(i));
    assert(servers[0].fd && servers[1].fd);
    client = Far::To(at);
    client.Send(Get());
    Until(road.loop, [&] {
      for (Far& one : servers)
        if (one.Hears("want " + kId))
          home = &one;
      return home != nullptr;
    });
    other = home == &servers[0] ? &servers[1] : &servers[0];
  }
  // One request, answered by the home server of its object.
  void Answer(const std::string& id, const std::string& object) {
    RequestMetadata ask = MakeRequest(id);
    ask.object = object;
    RecordingResponseSink answered;
    road.exchange.OnRequest(ask, answered);
    Until(road.loop, [&] {
      for (int k = 0; k < 2; ++k) {
        int got =
            servers[k].fd ? -1 : ::accept4(listeners[k].fd.Get(), nullptr, nullptr, SOCK_NONBLOCK);
        if (got >= 0)
          servers[k] = Far(loop::Descriptor(got));
        if (servers[k].fd && servers[k].Hears(id)) {
          servers[k].Send(id + " HIT entity=t,issued=1,remark=local 0\r\n\r\n");
          servers[k].got.clear();
        }
      }
      return !answered.notified.empty();
    });
  }
};

// The cache's rejection and the client's close arrive in one iteration, on a cache descriptor with
// the lower number: no further attempt starts.
void ClientDisconnectsAreHandledFirst() {
  TwoServers t;
  auto attempts = t.road.exchange.counters.attempts;
  t.home->Send(kId + " SHED - 0\r\n\r\n");
  t.client.fd.Reset();
  t.road.loop.AdvanceClock(10);  // as after a pause: all descriptors are polled
  Until(t.road.loop, [&] { return t.road.exchange.counters.shed == 1; });
  assert(t.road.exchange.counters.attempts == attempts &&
         t.road.exchange.counters.client_disconnects == 1);
}

// Guards against an attempt that starts for a client that disconnected 0.3 s before. The process
// was suspended in the middle of an iteration: the poll before it showed no disconnect, and the
// client was not polled again before the write. If the last poll was that long ago, the client's
// connection is checked once more.
void NoAttemptStartsAfterADisconnectDuringAPause() {
  struct Pause final : loop::Handler {
    int ends[2];
    std::function<void()> what;
    Pause() {
      assert(::pipe(ends) == 0);
    }
    ~Pause() {
      ::close(ends[0]);
      ::close(ends[1]);
    }
    void OnReady(short) override {
      if (what)
        std::exchange(what, nullptr)();
    }
  };
  Pause pause;  // its descriptor has the lowest number, so it is handled first
  TwoServers t;
  pause.what = [&] {
    t.client.fd.Reset();
    t.road.loop.AdvanceClock(300);
  };
  t.road.loop.WatchDescriptor(pause.ends[0], pause, POLLIN);
  t.home->Send(kId + " SHED - 0\r\n\r\n");
  assert(::write(pause.ends[1], "x", 1) == 1);
  Until(t.road.loop, [&] { return t.road.exchange.counters.client_disconnects == 1; });
  t.road.loop.Unwatch(pause.ends[0]);
  t.road.RunIterations();
  assert(t.road.exchange.counters.shed == 1);
  assert(!t.other->Hears("want " + kId));
}

// An environment with two descriptors and a clock that advances by a millisecond per wait: 1 is
// always readable, 2 is closed at a set time.
struct FakeEnvironment final : loop::Environment {
  Ms clock = 1000;
  Ms ends_at = 1e18;
  Ms now() override {
    return clock;
  }
  int Wait(std::span<pollfd> watched, int) override {
    clock += 1;
    int count = 0;
    for (pollfd& p : watched) {
      p.revents = p.fd == 1 ? POLLIN : clock >= ends_at ? POLLRDHUP : 0;
      count += p.revents != 0;
    }
    return count;
  }
  int OpenStream() override {
    return -1;
  }
  int Connect(int, const loop::Address&) override {
    return -1;
  }
  int SocketError(int) override {
    return 0;
  }
  int Listen(const loop::Address&) override {
    return -1;
  }
  int Accept(int) override {
    return -1;
  }
  ssize_t Receive(int, std::span<char>) override {
    return -1;
  }
  ssize_t Send(int, std::span<const iovec>) override {
    return -1;
  }
  void ShutdownWrite(int) override {}
  void Close(int) override {}
  void Abort(int) override {}
  int OpenDatagrams(const loop::Address&) override {
    return -1;
  }
  ssize_t SendTo(int, std::span<const char>, const loop::Address&) override {
    return -1;
  }
  ssize_t ReceiveFrom(int, std::span<char>, loop::Address&) override {
    return -1;
  }
  std::size_t DescriptorLimit() override {
    return 64;
  }
};

// The close of a lazily polled connection is seen within some milliseconds, however busy the others
// are, and before the events of the others in that iteration. In virtual time.
void ALazilyPolledCloseIsSeenSoonAndFirst() {
  struct Note final : loop::Handler {
    std::vector<int>& order;
    int which;
    Note(std::vector<int>& o, int w) : order(o), which(w) {}
    void OnReady(short) override {
      order.push_back(which);
    }
  };
  for (int phase = 0; phase < 10; ++phase) {
    FakeEnvironment environment;
    loop::Loop loop(environment);
    std::vector<int> order;
    Note busy(order, 1), resting(order, 2);
    loop.WatchDescriptor(1, busy, POLLIN);
    loop.WatchDescriptor(2, resting, POLLRDHUP, true);
    for (int i = 0; i < 20; ++i)
      loop.RunOnce(1000);
    assert(std::count(order.begin(), order.end(), 1) == 20);
    environment.ends_at = environment.clock + phase;
    while (std::count(order.begin(), order.end(), 2) == 0) {
      order.clear();
      loop.RunOnce(1000);
      assert(environment.clock <= environment.ends_at + 7);
    }
    assert((order == std::vector<int>{2, 1}));
  }
}

}  // namespace

// With an argument: only the cases whose names contain it.
int main(int argc, char** argv) {
  struct Case {
    const char* name;
    void (*run)();
  };
  for (Case c :
       {Case{"nothing is sent for a disconnected client", NothingIsSentForADisconnectedClient},
        {"overdue attempts are not sent", OverdueAttemptsAreNotSent},
        {"retries stay within the deduplication window", RetriesStayWithinTheDeduplicationWindow},
        {"updates apply to queued attempts", UpdatesApplyToQueuedAttempts},
        {"unrelated updates change nothing", UnrelatedUpdatesChangeNothing},
        {"no queued attempt reaches a replacement", NoQueuedAttemptReachesAReplacement},
        {"nothing is sent after a liveness response with a close",
         NothingIsSentAfterALivenessResponseWithAClose},
        {"exclusive requests run once", ExclusiveRequestsRunOnce},
        {"moved attempts are kept apart", MovedAttemptsAreKeptApart},
        {"responses before a reset are read", ResponsesBeforeAResetAreRead},
        {"a connection shortage does not blame the cache", AConnectionShortageDoesNotBlameTheCache},
        {"idempotency keys are forwarded", IdempotencyKeysAreForwarded},
        {"coinciding events in each order", CoincidingEventsInEachOrder},
        {"client disconnects are handled first", ClientDisconnectsAreHandledFirst},
        {"no attempt starts after a disconnect during a pause",
         NoAttemptStartsAfterADisconnectDuringAPause},
        {"a lazily polled close is seen soon and first", ALazilyPolledCloseIsSeenSoonAndFirst}}) {
    if (argc > 1 && std::string(c.name).find(argv[1]) == std::string::npos)
      continue;
    std::puts(c.name);
    std::fflush(stdout);
    c.run();
  }
}
