// Crossings on the caches' side: an event that falls between the choice of an attempt and its
// writing, or between two lines of what a cache says. On loopback sockets, beside a far side that
// says each byte when it is told to.
#include <algorithm>

#include "clients/clients.hpp"
#include "upstream_fixture.hpp"

using namespace kit;

namespace {

// The client has left: what has not left this process never does, whether or not the settings allow
// cancelling, whatever it waits for; what comes after it goes on.
void WhoLeftIsNotAskedFor() {
  for (Wait how : {kDial, kQueue, kCheck})
    for (bool cancel : {true, false}) {
      bool once = how == kCheck;
      Waiting w(how, SettingsWith(cancel, Effect::kExclusive), {}, once ? kWrite : kVideo);
      w.r.exchange.OnClientLeft(w.request);
      w.LetGo();
      assert(!w.Began() && !w.peer.Hears("never_mind 00000000000000a1"));
      assert(w.client.notified.empty() && w.r.exchange.counters.never_ran == 0);
      Asked next;
      w.r.exchange.OnRequest(AskAs(2), next);
      if (how != kQueue) {
        Until(w.r.loop, [&] { return w.peer.Hears(WantOf(2)); });
        w.peer.Send(Hit(2));
        Until(w.r.loop, [&] { return !next.notified.empty(); });
      }
      assert(w.r.exchange.counters.bad_lines == 0 && !w.Began());
    }
}

// The deadline passes while the loop stands still: in its next turn the connection is up before any
// timer is looked at.
void OverdueAttemptsDoNotGo() {
  for (Wait how : {kDial, kCheck}) {
    Waiting w(how, SettingsWith(false, Effect::kExclusive), {}, how == kCheck ? kWrite : kVideo);
    if (how == kCheck)
      w.peer.Send("call PONG - 0\r\n\r\n");
    w.r.loop.AdvanceClock(61000);
    w.r.Turns();
    if (how == kDial)
      w.peer = w.far.Next(w.r.loop);
    w.r.Turns();
    assert(!w.Began() && w.client.notified.size() == 1);
  }
}

// A repeat that its window no longer covers when the connection is up is not begun; its client is
// told at once.
void RepeatsStayWithinTheirWindow() {
  StoreSettings s = SettingsWith(true, Effect::kIdempotentWithKey);
  s.request_classes[kWrite].memory = 500;
  s.request_classes[kWrite].expiry = 60000;
  for (bool late : {false, true}) {
    FarListener one, other;
    Road r(Machines({{"s-1", one.at}, {"s-2", other.at}}), s);
    Asked client;
    r.exchange.OnRequest(AskAs(1, kWrite), client);
    Far first;
    FarListener *home = nullptr, *next = nullptr;
    Until(r.loop, [&] {
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
    Until(r.loop, [&] { return first.Hears(WantOf(1)); });
    first.Send("00000000000000a1 FAULT - 0\r\n\r\n");
    Until(r.loop, [&] { return r.exchange.counters.errors == 1; });
    // The repeat is on its way to a connection that is not up yet: no turn has passed since.
    assert(r.exchange.counters.attempts == 2 && client.notified.empty());
    if (late)
      r.loop.AdvanceClock(501);
    r.Turns();
    Far second = next->Next(r.loop);
    if (!late)
      Until(r.loop, [&] { return second.Hears(WantOf(1)); });
    if (late)
      Until(r.loop, [&] { return client.notified.size() == 1; });
    assert(second.Hears(WantOf(1)) == !late);
  }
}

// Told between the choice and the writing: a drain of the cache or of the source, a purge of the
// object or its group.
void NewsBindsWhatStillWaits() {
  enum News {
    kDrained,
    kSourceDrained,
    kPurged,
    kGroupPurged,
    kRecalled,
    kNoOlder
  };
  for (News news : {kDrained, kSourceDrained, kPurged, kGroupPurged, kRecalled, kNoOlder}) {
    std::vector<exchange::Listed> parents = Machines({{"p-1", {}}, {"p-2", {}}});
    for (auto& one : parents) {
      one.entry.kind = kParentKind;
      one.entry.zone = 0;
      one.entry.weight = 30;
    }
    Waiting w(kDial, SettingsWith(false), parents);
    assert(w.r.exchange.counters.attempts == 1);
    auto s1 = Machines({{"s-1", w.far.at}});
    s1[0].entry.standing = Standing::kDraining;
    if (news == kDrained)
      w.r.exchange.ListCame(false, s1);
    if (news == kSourceDrained) {
      parents[0].entry.standing = Standing::kDraining;
      parents[1].entry.standing = Standing::kDraining;
      w.r.exchange.ListCame(false, parents);
    }
    if (news == kPurged)
      w.r.exchange.PurgeCame(false, "7f3a", 0, w.r.loop.now());
    if (news == kGroupPurged)
      w.r.exchange.PurgeCame(true, "", 0, w.r.loop.now());
    if (news == kRecalled)
      w.r.exchange.RecallCame("", 0, kVideo, false, 0);
    if (news == kNoOlder)
      w.r.exchange.LimitAge(5);
    w.LetGo();
    if (news == kDrained) {
      assert(!w.Began() && w.client.notified.size() == 1);
      continue;
    }
    Until(w.r.loop, [&] { return w.peer.Hears("\r\n\r\n"); });
    std::string line = w.peer.got.substr(0, w.peer.got.find("\r\n"));
    if (news == kSourceDrained)
      assert(line.find("miss=p-") == line.npos);
    else
      assert(line.find(",within=") != line.npos);
    assert(w.peer.got.find(WantOf(1), 10) == w.peer.got.npos);  // once
  }
}

// A purge of something else leaves what waits alone, and what has gone out is never sent a second
// time for it.
void NewsOfOthersChangesNothing() {
  for (bool gone : {false, true}) {
    Waiting w(kDial, SettingsWith(false));
    if (gone)
      w.LetGo();
    w.r.exchange.PurgeCame(false, gone ? "7f3a" : "0000", 9, w.r.loop.now());
    w.r.exchange.PurgeCame(true, "", gone ? 0 : 9, w.r.loop.now());
    if (!gone)
      w.LetGo();
    Until(w.r.loop, [&] { return w.Began(); });
    w.r.Turns();
    assert(w.peer.Read().find(WantOf(1), 10) == std::string::npos &&
           w.r.exchange.counters.attempts == 1);
  }
}

// A machine replaced at the same address while an attempt waits to be written there.
void NothingWaitingReachesAReplacement() {
  for (Wait how : {kDial, kCheck}) {
    Waiting w(how, SettingsWith(false, Effect::kExclusive), {}, how == kCheck ? kWrite : kVideo);
    auto fresh = Machines({{"s-2", w.far.at}});
    fresh[0].entry.weight = 1e-9;
    w.r.exchange.ListCame(false, fresh);
    if (how == kCheck)
      w.peer.Send("call PONG - 0\r\n\r\n");
    w.r.Turns();
    Far old = how == kCheck ? std::move(w.peer) : w.far.Next(w.r.loop);
    Until(w.r.loop, [&] {
      old.Read();
      return old.over;
    });
    assert(old.got.find("want ") == std::string::npos);
  }
}

// The answer to the check and the peer's close in one write: what may run once goes over another
// connection.
void ACheckAnsweredWithACloseCarriesNothing() {
  Waiting w(kCheck, SettingsWith(true, Effect::kExclusive), {}, kWrite);
  w.peer.Send("call PONG - 0\r\n\r\n");
  w.peer.fd.Reset();
  Far again = w.far.Next(w.r.loop);
  Until(w.r.loop, [&] { return again.Hears("there call\r\n"); });
  again.Send("call PONG - 0\r\n\r\n");
  Until(w.r.loop, [&] { return again.Hears(WantOf(1)); });
  again.Send(Hit(1));
  Until(w.r.loop, [&] { return !w.client.notified.empty(); });
  assert(w.client.Is({"200 t"}) && w.r.exchange.counters.broken == 0);
}

// Exclusive: a byte may have gone out, so there is no second attempt: reset under the request,
// after the first byte of its answer, in the middle of it; and an answer that comes late or twice
// is nobody's.
void WhatMayRunOnceRunsOnce() {
  for (const char* said : {"", "0", "00000000000000a1 HIT - 2\r\no"}) {
    Waiting w(kCheck, SettingsWith(true, Effect::kExclusive), {}, kWrite);
    w.peer.Send("call PONG - 0\r\n\r\n");
    Until(w.r.loop, [&] { return w.Began(); });
    if (*said)
      w.peer.Send(said);
    w.peer.Reset();
    Until(w.r.loop, [&] { return !w.client.notified.empty(); });
    assert(w.client.Is({"502"}) && w.r.exchange.counters.attempts == 1);
    w.r.Turns();
    int got = ::accept4(w.far.fd.Get(), nullptr, nullptr, SOCK_NONBLOCK);
    assert(got < 0);  // nobody came to ask again
  }
}

// An attempt that waited was moved, with its connection's number: an earlier answer to its request
// may still come there, so the next attempt of the request goes elsewhere, and the duplicate is
// nobody's.
void MovedAttemptsAreKeptApart() {
  StoreSettings s = SettingsWith(true, Effect::kExclusive);
  s.may.direct = false;
  std::vector<exchange::Listed> origin = Machines({{"origin", {}}});
  Waiting w(kCheck, s, origin, kWrite);
  w.peer.Reset();  // under the check: it moves
  Far second = w.far.Next(w.r.loop);
  Until(w.r.loop, [&] { return second.Hears("there call\r\n"); });
  second.Send("call PONG - 0\r\n\r\n");
  Until(w.r.loop, [&] { return second.Hears(WantOf(1)); });
  second.Send("00000000000000a1 NONE remark=not_there 0\r\n\r\n");
  Until(w.r.loop, [&] { return w.r.exchange.counters.misses == 1; });
  assert(w.r.exchange.counters.attempts == 2);
  second.Send("00000000000000a1 NONE remark=not_there 0\r\n\r\n");
  Far third = w.far.Next(w.r.loop);
  Until(w.r.loop, [&] { return third.Hears("there call\r\n"); });
  w.r.Turns();
  assert(w.r.exchange.counters.misses == 1);
}

// The answer had come when the connection broke under the next request: it is read before the break
// is told.
void AnswersBeforeABreakAreRead() {
  FarListener far;
  Road r(Machines({{"s-1", far.at}}));
  Asked one, two;
  r.exchange.OnRequest(AskAs(1), one);
  Far peer = far.Next(r.loop);
  Until(r.loop, [&] { return peer.Hears(WantOf(1)); });
  peer.Send(Hit(1));
  peer.Reset();
  r.exchange.OnRequest(AskAs(2), two);  // written into the break
  Until(r.loop, [&] { return !one.notified.empty(); });
  assert(one.Is({"200 t"}));
  Until(r.loop, [&] { return !two.notified.empty() || r.exchange.counters.attempts > 2; });
}

// No descriptor for a connection is this front's own want: the caches stay in use.
void WantOfDescriptorsIsNoSignOfTheCache() {
  FarListener far;
  settings::RoadTerms t = MakeTerms(20000);
  t.attempts_at_once = 1;
  Road r(Machines({{"s-1", far.at}}), kit::Settings(), t, 1);
  Asked first;
  r.exchange.OnRequest(AskAs(0), first);
  Far peer = far.Next(r.loop);
  Until(r.loop, [&] { return peer.Hears(WantOf(0)); });
  std::vector<Asked> turned_away(4);
  for (int i = 0; i < 4; ++i) {
    r.exchange.OnRequest(AskAs(i + 1), turned_away[static_cast<std::size_t>(i)]);
    assert(turned_away[static_cast<std::size_t>(i)].notified.size() == 1);
  }
  peer.Send(Hit(0));
  Until(r.loop, [&] { return !first.notified.empty(); });
  Asked last;
  r.exchange.OnRequest(AskAs(9), last);
  Until(r.loop, [&] { return peer.Hears(WantOf(9)); });
  assert(r.exchange.counters.probes == 0);
}

// The client's idempotency key goes on with each attempt, as the client worded it.
void KeysGoOnWithEachAttempt() {
  FarListener one, other;
  Road r(Machines({{"s-1", one.at}, {"s-2", other.at}}),
         SettingsWith(true, Effect::kIdempotentWithKey));
  loop::Address at = FreeAddress();
  clients::Clients clients(r.loop, r.exchange, MakeTerms().request_classes, {false, true}, at, 50);
  Far client = Far::To(at);
  client.Send("PUT /ops/write/7f3a?part=0 HTTP/1.1\r\nX-Request-Id: " + kId +
              "\r\nX-Timeout-Ms: 60000\r\nX-Group: 17\r\nIdempotency-Key: "
              "5c.k-17\r\nContent-Length: 1\r\n\r\nx");
  Far peer;
  Until(r.loop, [&] {
    for (FarListener* l : {&one, &other})
      if (int got = ::accept4(l->fd.Get(), nullptr, nullptr, SOCK_NONBLOCK); got >= 0)
        peer = Far(loop::Descriptor(got));
    return static_cast<bool>(peer.fd);
  });
  Until(r.loop, [&] { return peer.Hears("\r\nx\r\n"); });
  assert(peer.got.find(",replay=5c.k-17 1\r\nx\r\n") != std::string::npos);
}

// Deadline, leaving and answer in one turn, in each order: one final answer at most, one end of the
// attempt, nothing sent after.
void OneTurnInEachOrder() {
  std::vector<int> order{0, 1, 2, 3};  // the deadline; the client leaves; the answer; its duplicate
  do {
    for (bool waiting : {false, true})
      for (bool cancel : {false, true}) {
        Desk d(SettingsWith(cancel));
        d.caches.waiting = waiting;
        Asked client;
        Ask a = AskAs(1);
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
            d.exchange.OnClientLeft(request);
            left = true;
          }
          if (what >= 2) {
            d.exchange.AnswerBegun(key, Said(Ending::kFinished), 0);
            d.exchange.AnswerWhole(key, Said(Ending::kFinished));
          }
          assert(client.notified.size() <= 1 && (!left || client.notified.size() == notified));
        }
        assert(client.notified.size() == (order[0] == 1 ? 0u : 1u) && d.caches.sent.size() == 1 &&
               d.exchange.OpenRequests() == 0);
        auto& n = d.exchange.counters;
        assert(n.attempts_finished + n.timed_out + n.cancelled + n.superseded == 1);
      }
  } while (std::next_permutation(order.begin(), order.end()));
}

// A client whose request is out at one of two servers, with connections up to both. Every client's
// descriptor lies above theirs.
struct TwoServers {
  FarListener listeners[2];
  Road road{Machines({{"s-1", listeners[0].at}, {"s-2", listeners[1].at}}), SettingsWith(false)};
  loop::Address at = FreeAddress();
  clients::Clients clients{road.loop, road.exchange, MakeTerms().request_classes, {false, true}, at,
                           50};
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
  // One request, answered by the server that its object leads to.
  void Answer(const std::string& id, const std::string& object) {
    Ask ask = AskFor(id);
    ask.object = object;
    Asked answered;
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

// The cache's refusal and the client's close in one turn, the cache's descriptor the lower: no
// further attempt begins.
void WhoLeavesIsHeardFirst() {
  TwoServers t;
  auto attempts = t.road.exchange.counters.attempts;
  t.home->Send(kId + " SHED - 0\r\n\r\n");
  t.client.fd.Reset();
  t.road.loop.AdvanceClock(10);  // as after a standstill: all are looked at
  Until(t.road.loop, [&] { return t.road.exchange.counters.full == 1; });
  assert(t.road.exchange.counters.attempts == attempts && t.road.exchange.counters.left == 1);
}

// Symptom: an attempt began for a client that had left 0.3 s before. The process stood still in the
// middle of a turn: the poll before it showed no leaving, and nobody was looked at again before the
// write. Where the last wait is so long ago, the client's connection is looked at once more.
void WhoLeavesInAStandstillWithinATurnIsNotAskedFor() {
  struct Standstill final : loop::Handler {
    int ends[2];
    std::function<void()> what;
    Standstill() {
      assert(::pipe(ends) == 0);
    }
    ~Standstill() {
      ::close(ends[0]);
      ::close(ends[1]);
    }
    void OnReady(short) override {
      if (what)
        std::exchange(what, nullptr)();
    }
  };
  Standstill standstill;  // its descriptor is the lowest, so it is handled first
  TwoServers t;
  standstill.what = [&] {
    t.client.fd.Reset();
    t.road.loop.AdvanceClock(300);
  };
  t.road.loop.WatchDescriptor(standstill.ends[0], standstill, POLLIN);
  t.home->Send(kId + " SHED - 0\r\n\r\n");
  assert(::write(standstill.ends[1], "x", 1) == 1);
  Until(t.road.loop, [&] { return t.road.exchange.counters.left == 1; });
  t.road.loop.Unwatch(standstill.ends[0]);
  t.road.Turns();
  assert(t.road.exchange.counters.full == 1);
  assert(!t.other->Hears("want " + kId));
}

// A ground of two descriptors and a clock that goes on by a millisecond a wait: 1 is always
// readable, 2 ends at a set time.
struct Bare final : loop::Environment {
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

// A connection that is looked at patiently: its close is seen within some milliseconds, however
// busy the others are, and before what the others bring in that turn. In virtual time.
void APatientCloseIsSeenSoonAndFirst() {
  struct Note final : loop::Handler {
    std::vector<int>& order;
    int which;
    Note(std::vector<int>& o, int w) : order(o), which(w) {}
    void OnReady(short) override {
      order.push_back(which);
    }
  };
  for (int phase = 0; phase < 10; ++phase) {
    Bare environment;
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

// With an argument: only the cases whose names hold it.
int main(int argc, char** argv) {
  struct Case {
    const char* name;
    void (*run)();
  };
  for (Case c :
       {Case{"who left is not asked for", WhoLeftIsNotAskedFor},
        {"overdue attempts do not go", OverdueAttemptsDoNotGo},
        {"repeats stay within their window", RepeatsStayWithinTheirWindow},
        {"news binds what still waits", NewsBindsWhatStillWaits},
        {"news of others changes nothing", NewsOfOthersChangesNothing},
        {"nothing waiting reaches a replacement", NothingWaitingReachesAReplacement},
        {"a check answered with a close carries nothing", ACheckAnsweredWithACloseCarriesNothing},
        {"what may run once runs once", WhatMayRunOnceRunsOnce},
        {"moved attempts are kept apart", MovedAttemptsAreKeptApart},
        {"answers before a break are read", AnswersBeforeABreakAreRead},
        {"want of descriptors is no sign of the cache", WantOfDescriptorsIsNoSignOfTheCache},
        {"keys go on with each attempt", KeysGoOnWithEachAttempt},
        {"one turn in each order", OneTurnInEachOrder},
        {"who leaves is heard first", WhoLeavesIsHeardFirst},
        {"who leaves in a standstill within a turn is not asked for",
         WhoLeavesInAStandstillWithinATurnIsNotAskedFor},
        {"a patient close is seen soon and first", APatientCloseIsSeenSoonAndFirst}}) {
    if (argc > 1 && std::string(c.name).find(argv[1]) == std::string::npos)
      continue;
    std::puts(c.name);
    std::fflush(stdout);
    c.run();
  }
}
