// Crossings on the caches' side: an event that falls between the choice of an attempt and its writing, or between two lines of
// what a cache says. On loopback sockets, beside a far side that says each byte when it is told to.
#include <algorithm>

#include "clients/clients.hpp"
#include "upstream_fixture.hpp"

using namespace kit;

namespace {

constexpr int video = kVideo, write = kWrite;

// The client has left: what has not left this process never does, whether or not the settings allow cancelling, whatever it waits
// for; what comes after it goes on.
void whoLeftIsNotAskedFor() {
  for (Wait how : {dial, queue, check})
    for (bool cancel : {true, false}) {
      bool once = how == check;
      Waiting w(how, sheetWith(cancel, Effect::exclusive), {}, once ? write : video);
      w.r.exchange.clientLeft(w.request);
      w.letGo();
      assert(!w.began() && !w.peer.hears("never_mind 00000000000000a1"));
      assert(w.client.told.empty() && w.r.exchange.counters.neverRan == 0);
      Asked next;
      w.r.exchange.pullCame(askAs(2), next);
      if (how != queue) {
        until(w.r.loop, [&] { return w.peer.hears(wantOf(2)); });
        w.peer.say(hit(2));
        until(w.r.loop, [&] { return !next.told.empty(); });
      }
      assert(w.r.exchange.counters.badLines == 0 && !w.began());
    }
}

// The deadline passes while the loop stands still: in its next turn the connection is up before any timer is looked at.
void overdueAttemptsDoNotGo() {
  for (Wait how : {dial, check}) {
    Waiting w(how, sheetWith(false, Effect::exclusive), {}, how == check ? write : video);
    if (how == check) w.peer.say("call PONG - 0\r\n\r\n");
    w.r.loop.skip(61000);
    w.r.turns();
    if (how == dial) w.peer = w.far.next(w.r.loop);
    w.r.turns();
    assert(!w.began() && w.client.told.size() == 1);
  }
}

// A repeat that its window no longer covers when the connection is up is not begun; its client is told at once.
void repeatsStayWithinTheirWindow() {
  StoreSheet s = sheetWith(true, Effect::ticketed);
  s.offerings[write].memory = 500, s.offerings[write].expiry = 60000;
  for (bool late : {false, true}) {
    FarListener one, other;
    Road r(machines({{"s-1", one.at}, {"s-2", other.at}}), s);
    Asked client;
    r.exchange.pullCame(askAs(1, write), client);
    Far first;
    FarListener *home = nullptr, *next = nullptr;
    until(r.loop, [&] {
      for (FarListener* l : {&one, &other}) {
        int got = ::accept4(l->fd.get(), nullptr, nullptr, SOCK_NONBLOCK);
        if (got >= 0) first = Far(loop::Descriptor(got)), home = l;
      }
      return home != nullptr;
    });
    next = home == &one ? &other : &one;
    until(r.loop, [&] { return first.hears(wantOf(1)); });
    first.say("00000000000000a1 FAULT - 0\r\n\r\n");
    until(r.loop, [&] { return r.exchange.counters.errors == 1; });
    // The repeat is on its way to a connection that is not up yet: no turn has passed since.
    assert(r.exchange.counters.legs == 2 && client.told.empty());
    if (late) r.loop.skip(501);
    r.turns();
    Far second = next->next(r.loop);
    if (!late) until(r.loop, [&] { return second.hears(wantOf(1)); });
    if (late) until(r.loop, [&] { return client.told.size() == 1; });
    assert(second.hears(wantOf(1)) == !late);
  }
}

// Told between the choice and the writing: a drain of the cache or of the source, a purge of the object or its group.
void newsBindsWhatStillWaits() {
  enum News { drained, sourceDrained, purged, groupPurged, recalled, noOlder };
  for (News news : {drained, sourceDrained, purged, groupPurged, recalled, noOlder}) {
    std::vector<exchange::Listed> parents = machines({{"p-1", {}}, {"p-2", {}}});
    for (auto& one : parents) one.entry.kind = parentKind, one.entry.zone = 0, one.entry.weight = 30;
    Waiting w(dial, sheetWith(false), parents);
    assert(w.r.exchange.counters.legs == 1);
    auto s1 = machines({{"s-1", w.far.at}});
    s1[0].entry.standing = Standing::draining;
    if (news == drained) w.r.exchange.listCame(false, s1);
    if (news == sourceDrained) {
      parents[0].entry.standing = Standing::draining, parents[1].entry.standing = Standing::draining;
      w.r.exchange.listCame(false, parents);
    }
    if (news == purged) w.r.exchange.purgeCame(false, "7f3a", 0, w.r.loop.now());
    if (news == groupPurged) w.r.exchange.purgeCame(true, "", 0, w.r.loop.now());
    if (news == recalled) w.r.exchange.recallCame("", 0, video, false, 0);
    if (news == noOlder) w.r.exchange.noOlder(5);
    w.letGo();
    if (news == drained) {
      assert(!w.began() && w.client.told.size() == 1);
      continue;
    }
    until(w.r.loop, [&] { return w.peer.hears("\r\n\r\n"); });
    std::string line = w.peer.got.substr(0, w.peer.got.find("\r\n"));
    if (news == sourceDrained) assert(line.find("miss=p-") == line.npos);
    else assert(line.find(",within=") != line.npos);
    assert(w.peer.got.find(wantOf(1), 10) == w.peer.got.npos);  // once
  }
}

// A purge of something else leaves what waits alone, and what has gone out is never sent a second time for it.
void newsOfOthersChangesNothing() {
  for (bool gone : {false, true}) {
    Waiting w(dial, sheetWith(false));
    if (gone) w.letGo();
    w.r.exchange.purgeCame(false, gone ? "7f3a" : "0000", 9, w.r.loop.now());
    w.r.exchange.purgeCame(true, "", gone ? 0 : 9, w.r.loop.now());
    if (!gone) w.letGo();
    until(w.r.loop, [&] { return w.began(); });
    w.r.turns();
    assert(w.peer.read().find(wantOf(1), 10) == std::string::npos && w.r.exchange.counters.legs == 1);
  }
}

// A machine replaced at the same address while an attempt waits to be written there.
void nothingWaitingReachesAReplacement() {
  for (Wait how : {dial, check}) {
    Waiting w(how, sheetWith(false, Effect::exclusive), {}, how == check ? write : video);
    auto fresh = machines({{"s-2", w.far.at}});
    fresh[0].entry.weight = 1e-9;
    w.r.exchange.listCame(false, fresh);
    if (how == check) w.peer.say("call PONG - 0\r\n\r\n");
    w.r.turns();
    Far old = how == check ? std::move(w.peer) : w.far.next(w.r.loop);
    until(w.r.loop, [&] { return old.read(), old.over; });
    assert(old.got.find("want ") == std::string::npos);
  }
}

// The answer to the check and the peer's close in one write: what may run once goes over another connection.
void aCheckAnsweredWithACloseCarriesNothing() {
  Waiting w(check, sheetWith(true, Effect::exclusive), {}, write);
  w.peer.say("call PONG - 0\r\n\r\n");
  w.peer.fd.reset();
  Far again = w.far.next(w.r.loop);
  until(w.r.loop, [&] { return again.hears("there call\r\n"); });
  again.say("call PONG - 0\r\n\r\n");
  until(w.r.loop, [&] { return again.hears(wantOf(1)); });
  again.say(hit(1));
  until(w.r.loop, [&] { return !w.client.told.empty(); });
  assert(w.client.is({"200 t"}) && w.r.exchange.counters.broken == 0);
}

// Exclusive: a byte may have gone out, so there is no second attempt: reset under the request, after the first byte of its answer,
// in the middle of it; and an answer that comes late or twice is nobody's.
void whatMayRunOnceRunsOnce() {
  for (const char* said : {"", "0", "00000000000000a1 HIT - 2\r\no"}) {
    Waiting w(check, sheetWith(true, Effect::exclusive), {}, write);
    w.peer.say("call PONG - 0\r\n\r\n");
    until(w.r.loop, [&] { return w.began(); });
    if (*said) w.peer.say(said);
    w.peer.reset();
    until(w.r.loop, [&] { return !w.client.told.empty(); });
    assert(w.client.is({"502"}) && w.r.exchange.counters.legs == 1);
    w.r.turns();
    int got = ::accept4(w.far.fd.get(), nullptr, nullptr, SOCK_NONBLOCK);
    assert(got < 0);  // nobody came to ask again
  }
}

// An attempt that waited was moved, with its connection's number: an earlier answer to its request may still come there, so the
// next attempt of the request goes elsewhere, and the duplicate is nobody's.
void movedAttemptsAreKeptApart() {
  StoreSheet s = sheetWith(true, Effect::exclusive);
  s.may.direct = false;
  std::vector<exchange::Listed> origin = machines({{"origin", {}}});
  Waiting w(check, s, origin, write);
  w.peer.reset();  // under the check: it moves
  Far second = w.far.next(w.r.loop);
  until(w.r.loop, [&] { return second.hears("there call\r\n"); });
  second.say("call PONG - 0\r\n\r\n");
  until(w.r.loop, [&] { return second.hears(wantOf(1)); });
  second.say("00000000000000a1 NONE remark=not_there 0\r\n\r\n");
  until(w.r.loop, [&] { return w.r.exchange.counters.misses == 1; });
  assert(w.r.exchange.counters.legs == 2);
  second.say("00000000000000a1 NONE remark=not_there 0\r\n\r\n");
  Far third = w.far.next(w.r.loop);
  until(w.r.loop, [&] { return third.hears("there call\r\n"); });
  w.r.turns();
  assert(w.r.exchange.counters.misses == 1);
}

// The answer had come when the connection broke under the next request: it is read before the break is told.
void answersBeforeABreakAreRead() {
  FarListener far;
  Road r(machines({{"s-1", far.at}}));
  Asked one, two;
  r.exchange.pullCame(askAs(1), one);
  Far peer = far.next(r.loop);
  until(r.loop, [&] { return peer.hears(wantOf(1)); });
  peer.say(hit(1));
  peer.reset();
  r.exchange.pullCame(askAs(2), two);  // written into the break
  until(r.loop, [&] { return !one.told.empty(); });
  assert(one.is({"200 t"}));
  until(r.loop, [&] { return !two.told.empty() || r.exchange.counters.legs > 2; });
}

// No descriptor for a connection is this front's own want: the caches stay in use.
void wantOfDescriptorsIsNoSignOfTheCache() {
  FarListener far;
  sheet::RoadTerms t = terms(20000);
  t.legsAtOnce = 1;
  Road r(machines({{"s-1", far.at}}), kit::sheet(), t, 1);
  Asked first;
  r.exchange.pullCame(askAs(0), first);
  Far peer = far.next(r.loop);
  until(r.loop, [&] { return peer.hears(wantOf(0)); });
  std::vector<Asked> turnedAway(4);
  for (int i = 0; i < 4; ++i) {
    r.exchange.pullCame(askAs(i + 1), turnedAway[static_cast<std::size_t>(i)]);
    assert(turnedAway[static_cast<std::size_t>(i)].told.size() == 1);
  }
  peer.say(hit(0));
  until(r.loop, [&] { return !first.told.empty(); });
  Asked last;
  r.exchange.pullCame(askAs(9), last);
  until(r.loop, [&] { return peer.hears(wantOf(9)); });
  assert(r.exchange.counters.probes == 0);
}

// The client's idempotency key goes on with each attempt, as the client worded it.
void keysGoOnWithEachAttempt() {
  FarListener one, other;
  Road r(machines({{"s-1", one.at}, {"s-2", other.at}}), sheetWith(true, Effect::ticketed));
  loop::Address at = freeAddress();
  clients::Clients clients(r.loop, r.exchange, terms().offerings, {false, true}, at, 50);
  Far client = Far::to(at);
  client.say("PUT /ops/write/7f3a?part=0 HTTP/1.1\r\nX-Request-Id: " + id +
             "\r\nX-Timeout-Ms: 60000\r\nX-Group: 17\r\nIdempotency-Key: 5c.k-17\r\nContent-Length: 1\r\n\r\nx");
  Far peer;
  until(r.loop, [&] {
    for (FarListener* l : {&one, &other})
      if (int got = ::accept4(l->fd.get(), nullptr, nullptr, SOCK_NONBLOCK); got >= 0) peer = Far(loop::Descriptor(got));
    return static_cast<bool>(peer.fd);
  });
  until(r.loop, [&] { return peer.hears("\r\nx\r\n"); });
  assert(peer.got.find(",replay=5c.k-17 1\r\nx\r\n") != std::string::npos);
}

// Deadline, leaving and answer in one turn, in each order: one final answer at most, one end of the attempt, nothing sent after.
void oneTurnInEachOrder() {
  std::vector<int> order{0, 1, 2, 3};  // the deadline; the client leaves; the answer; its duplicate
  do {
    for (bool waiting : {false, true})
      for (bool cancel : {false, true}) {
        Desk d(sheetWith(cancel));
        d.caches.waiting = waiting;
        Asked client;
        Ask a = askAs(1);
        a.ttl = 100;
        std::uint32_t request = d.exchange.pullCame(a, client);
        LegKey key = d.caches.sent.at(0).key;
        bool left = false;
        for (int what : order) {
          std::size_t told = client.told.size();
          if (what == 0) d.loop.skip(200), d.loop.turn(0);
          if (what == 1) d.exchange.clientLeft(request), left = true;
          if (what >= 2) d.exchange.answerBegun(key, said(Ending::finished), 0), d.exchange.answerWhole(key, said(Ending::finished));
          assert(client.told.size() <= 1 && (!left || client.told.size() == told));
        }
        assert(client.told.size() == (order[0] == 1 ? 0u : 1u) && d.caches.sent.size() == 1 && d.exchange.openPulls() == 0);
        auto& n = d.exchange.counters;
        assert(n.legsFinished + n.timedOut + n.cancelled + n.moot == 1);
      }
  } while (std::next_permutation(order.begin(), order.end()));
}

// The cache's refusal and the client's close in one turn, the cache's descriptor the lower: no further attempt begins.
void whoLeavesIsHeardFirst() {
  FarListener one, other;
  Road r(machines({{"s-1", one.at}, {"s-2", other.at}}), sheetWith(false));
  loop::Address at = freeAddress();
  clients::Clients clients(r.loop, r.exchange, terms().offerings, {false, true}, at, 50);
  // The connections to both caches come first, so that every client's descriptor lies above theirs.
  std::vector<Asked> before(2);
  Far peer[2];
  for (int i = 0; i < 40 && !(peer[0].fd && peer[1].fd); ++i) {
    Ask a = askFor("00000000000000" + std::to_string(10 + i));
    a.object = "object" + std::to_string(i);
    Asked answered;
    r.exchange.pullCame(a, answered);
    until(r.loop, [&] {
      FarListener* all[] = {&one, &other};
      for (int k = 0; k < 2; ++k) {
        int got = peer[k].fd ? -1 : ::accept4(all[k]->fd.get(), nullptr, nullptr, SOCK_NONBLOCK);
        if (got >= 0) peer[k] = Far(loop::Descriptor(got));
        if (peer[k].fd && peer[k].hears(a.id)) peer[k].say(a.id + " HIT entity=t,issued=1,remark=local 0\r\n\r\n"), peer[k].got.clear();
      }
      return !answered.told.empty();
    });
  }
  assert(peer[0].fd && peer[1].fd);
  Far client = Far::to(at);
  client.say(get());
  Far* home = nullptr;
  until(r.loop, [&] {
    for (Far& one : peer)
      if (one.hears("want " + id)) home = &one;
    return home != nullptr;
  });
  auto attempts = r.exchange.counters.legs;
  home->say(id + " SHED - 0\r\n\r\n");
  client.fd.reset();
  r.loop.skip(10);  // as after a standstill: all are looked at
  until(r.loop, [&] { return r.exchange.counters.full == 1; });
  assert(r.exchange.counters.legs == attempts && r.exchange.counters.left == 1);
}

// A ground of two descriptors and a clock that goes on by a millisecond a wait: 1 is always readable, 2 ends at a set time.
struct Bare final : loop::Ground {
  Ms clock = 1000, endsAt = 1e18;
  Ms now() override { return clock; }
  int wait(std::span<pollfd> watched, int) override {
    clock += 1;
    int count = 0;
    for (pollfd& p : watched) {
      p.revents = p.fd == 1 ? POLLIN : clock >= endsAt ? POLLRDHUP : 0;
      count += p.revents != 0;
    }
    return count;
  }
  int openStream() override { return -1; }
  int connect(int, const loop::Address&) override { return -1; }
  int fault(int) override { return 0; }
  int listen(const loop::Address&) override { return -1; }
  int accept(int) override { return -1; }
  ssize_t receive(int, std::span<char>) override { return -1; }
  ssize_t send(int, std::span<const iovec>) override { return -1; }
  void sayNoMore(int) override {}
  void close(int) override {}
  void abort(int) override {}
  int openDatagrams(const loop::Address&) override { return -1; }
  ssize_t sendTo(int, std::span<const char>, const loop::Address&) override { return -1; }
  ssize_t receiveFrom(int, std::span<char>, loop::Address&) override { return -1; }
  std::size_t descriptorLimit() override { return 64; }
};

// A connection that is looked at patiently: its close is seen within some milliseconds, however busy the others are, and before
// what the others bring in that turn. In virtual time.
void aPatientCloseIsSeenSoonAndFirst() {
  struct Note final : loop::Handler {
    std::vector<int>& order;
    int which;
    Note(std::vector<int>& o, int w) : order(o), which(w) {}
    void ready(short) override { order.push_back(which); }
  };
  for (int phase = 0; phase < 10; ++phase) {
    Bare ground;
    loop::Loop loop(ground);
    std::vector<int> order;
    Note busy(order, 1), resting(order, 2);
    loop.watch(1, busy, POLLIN);
    loop.watch(2, resting, POLLRDHUP, true);
    for (int i = 0; i < 20; ++i) loop.turn(1000);
    assert(std::count(order.begin(), order.end(), 1) == 20);
    ground.endsAt = ground.clock + phase;
    while (std::count(order.begin(), order.end(), 2) == 0) {
      order.clear();
      loop.turn(1000);
      assert(ground.clock <= ground.endsAt + 7);
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
  for (Case c : {Case{"who left is not asked for", whoLeftIsNotAskedFor},
                 {"overdue attempts do not go", overdueAttemptsDoNotGo},
                 {"repeats stay within their window", repeatsStayWithinTheirWindow},
                 {"news binds what still waits", newsBindsWhatStillWaits},
                 {"news of others changes nothing", newsOfOthersChangesNothing},
                 {"nothing waiting reaches a replacement", nothingWaitingReachesAReplacement},
                 {"a check answered with a close carries nothing", aCheckAnsweredWithACloseCarriesNothing},
                 {"what may run once runs once", whatMayRunOnceRunsOnce},
                 {"moved attempts are kept apart", movedAttemptsAreKeptApart},
                 {"answers before a break are read", answersBeforeABreakAreRead},
                 {"want of descriptors is no sign of the cache", wantOfDescriptorsIsNoSignOfTheCache},
                 {"keys go on with each attempt", keysGoOnWithEachAttempt},
                 {"one turn in each order", oneTurnInEachOrder},
                 {"who leaves is heard first", whoLeavesIsHeardFirst},
                 {"a patient close is seen soon and first", aPatientCloseIsSeenSoonAndFirst}}) {
    if (argc > 1 && std::string(c.name).find(argv[1]) == std::string::npos) continue;
    std::puts(c.name);
    std::fflush(stdout);
    c.run();
  }
}
