// The caches' side on sockets, with an exchange that decides, beside a far side of plain bytes.
#include "caches/caches.hpp"

#include <poll.h>

#include "sides.hpp"

using namespace kit;

namespace {

struct Road {  // caches on real sockets, an exchange that decides
  loop::Loop loop;
  exchange::Exchange exchange;
  caches::Caches caches;
  Asked client;
  explicit Road(const std::vector<exchange::Listed>& list, const sheet::RoadTerms& t = terms(),
                std::size_t most = 8)
      : exchange(loop, kit::sheet(), 1), caches(loop, exchange, t, most) {
    exchange.meet(caches);
    exchange.listCame(true, list);
  }
};

struct Find final : exchange::CacheSide {  // the number under which the exchange knows it
  std::uint32_t number = 0;
  std::uint64_t send(LegKey, const Ask&, const SendLeg& how, const std::vector<std::uint64_t>&) override {
    number = how.cache;
    return 1;
  }
  void giveUp(LegKey, const Ask&, std::uint32_t) override {}
  bool takeBack(LegKey, const Ask&, std::uint32_t) override { return false; }
  void probe(std::uint32_t) override {}
  void list(const ListEntry& e, const std::string&, const loop::Address&) override { number = e.cache; }
  void forget(std::uint32_t) override {}
  std::uint32_t numberIn(Road& r, const std::vector<exchange::Listed>& list) {
    r.exchange.meet(*this);
    r.exchange.listCame(true, list);
    r.exchange.meet(r.caches);
    return number;
  }
};

void answersComeInAnyOrderAndPieces() {
  FarListener far;
  Road r(machines({{"s-1", far.at}}));
  Asked one, two;
  Ask held = askFor();
  held.tag = "t1";
  r.exchange.pullCame(held, one);
  r.exchange.pullCame(askFor("00000000000000aa"), two);
  Far peer = far.next(r.loop);
  until(r.loop, [&] { return peer.hears("want 00000000000000aa "); });
  assert(peer.got.find("want " + id + " profile=video,thing=7f3a,nth=0,max=") == 0);
  std::string body(3000, 'b');
  body[7] = '\r', body[8] = '\n';
  std::string all =
      "00000000000000ff HIT - 3\r\nold\r\n00000000000000aa HIT entity=t2,issued=1,remark=local 3000\r\n" +
      body + "\r\n" + id + " VALID entity=t1,issued=1,remark=local 0\r\n\r\n";
  for (char c : all) {
    peer.say(std::string_view(&c, 1));
    r.loop.turn(0);
  }
  until(r.loop, [&] { return !one.told.empty(); });
  assert(one.is({"304 t1"}) && two.is({"200 t2"}) && two.body == body);
  assert(r.exchange.counters.lateAnswers == 1);
}

// Two legs of a pull share its id: the second must not take the first one's answer for its own.
void legsOfOnePullAreKeptApart() {
  FarListener far;
  Road r(machines({{"s-1", far.at}}));
  Find find;
  std::uint32_t cache = find.numberIn(r, machines({{"s-1", far.at}}));
  SendLeg how;
  how.cache = how.source = cache, how.patience = 60000;
  std::uint64_t first = r.caches.send({1, 0}, askFor(), how, {});
  std::uint64_t second = r.caches.send({1, 1}, askFor(), how, {});  // while the first is out
  assert(first != second);
  r.caches.giveUp({1, 0}, askFor(), cache);
  assert(r.caches.send({1, 2}, askFor(), how, {first, second}) > second);  // its answer may be on the way
  Far one = far.next(r.loop), two = far.next(r.loop), three = far.next(r.loop);
  until(r.loop, [&] { return two.hears("want ") && three.hears("want "); });
  // Given up before it was up: it never left, and there is nothing to call off.
  assert(!one.hears("want ") && !one.hears("never_mind"));
  r.caches.giveUp({1, 1}, askFor(), cache);
  until(r.loop, [&] { return two.hears("never_mind " + id + "\r\n"); });
}

void endsOfConnectionsEndTheirLegs() {
  enum Way { refused, neverUp, closed, reset, malformed, impossible, replaced };
  for (Way way : {refused, neverUp, closed, reset, malformed, impossible, replaced}) {
    FarListener far(way == neverUp ? 0 : 16), silent;
    loop::Address at = way == refused ? freeAddress() : far.at;
    std::vector<Far> fill;  // takes the backlog, so that nobody else comes up
    if (way == neverUp) fill.push_back(Far::to(far.at));
    Road r(machines({{"s-1", at}}), terms(way == neverUp ? 60 : 1000));
    r.exchange.pullCame(askFor(), r.client);
    auto& n = r.exchange.counters;
    Far peer;
    if (way > neverUp) {
      peer = far.next(r.loop);
      until(r.loop, [&] { return peer.hears("want "); });
    }
    if (way == closed) peer.fd.reset();
    if (way == reset) peer.reset();
    if (way == malformed) peer.say("what is this\r\n");
    if (way == impossible) peer.say(id + " HIT - 240001\r\n");
    if (way == replaced) {
      auto list = machines({{"s-1", silent.at}});
      list[0].entry.startedAt = 17;
      r.exchange.listCame(false, list);
    }
    until(r.loop, [&] { return n.neverRan + n.broken > 0; });
    assert(n.neverRan == (way <= neverUp ? 1u : 0u) && n.broken == (way > neverUp ? 1u : 0u));
    assert(n.badLines == (way == malformed || way == impossible ? 1u : 0u));
    // With its only cache failed the pull is declined at once, not held.
    assert(r.client.told.size() == 1 && r.client.told[0].substr(0, 3) == "503");
  }
}

// What stops short ends its connection soon, though it stays open and the pulls have minutes: the one whose
// answer it was moves on to another cache, one that only fell with it is asked there again, and the machine
// stays in use. Before a line is whole, too. The copy of an answer is nobody's.
void whatStopsShortHoldsUpNobody() {
  for (const char* part : {" HIT entity=t,issued=1,remark=local 9\r\nhalf", " HIT entity=t,iss"}) {
    FarListener one, other;
    Road r(machines({{"s-1", one.at}, {"s-2", other.at}}));
    std::vector<Asked> clients(9);
    for (std::size_t i = 0; i < 9; ++i)  // of one object, so of one home
      r.exchange.pullCame(askFor("00000000000000a" + std::to_string(i)), clients[i]);
    bool atOne = false;
    until(r.loop, [&] {
      pollfd p[2] = {{one.fd.get(), POLLIN, 0}, {other.fd.get(), POLLIN, 0}};
      ::poll(p, 2, 0);
      atOne = p[0].revents != 0;
      return p[0].revents != 0 || p[1].revents != 0;
    });
    FarListener &home = atOne ? one : other, &away = atOne ? other : one;
    Far peer = home.next(r.loop);
    until(r.loop, [&] { return peer.hears("want 00000000000000a0"); });
    peer.say("00000000000000a0" + std::string(part));
    Far again = home.next(r.loop), moved = away.next(r.loop);
    until(r.loop, [&] { return again.hears("want 00000000000000a1") && moved.hears("want "); });
    assert(r.exchange.counters.stalled == 1 && (peer.read(), peer.over));
    const std::string answer = "00000000000000a1 HIT entity=t,issued=1,remark=local 2\r\nok\r\n";
    again.say(answer + answer);
    until(r.loop, [&] { return !clients[1].told.empty() && r.exchange.counters.lateAnswers == 1; });
  }
}

// A connection that carries nothing more, though it stays open: called, it does not answer, and what is open
// on it is asked again on another, minutes before its time is up. One that answers the call is waited for.
void connectionsThatCarryNothingEnd() {
  for (bool carries : {false, true}) {
    FarListener far;
    sheet::RoadTerms t = terms();
    t.mayProbe = true;
    Road r(machines({{"s-1", far.at}}), t);
    std::vector<Asked> clients(3);
    for (std::size_t i = 0; i < 3; ++i)
      r.exchange.pullCame(askFor("00000000000000a" + std::to_string(i)), clients[i]);
    Far peer = far.next(r.loop);
    until(r.loop, [&] { return peer.hears("there call\r\n"); });
    if (carries) {
      for (int i = 0; i < 3; ++i) {
        peer.got.clear();
        peer.say("call PONG - 0\r\n\r\n");
        until(r.loop, [&] { return peer.hears("there call\r\n"); });
      }
    } else {
      Far again = far.next(r.loop);
      until(r.loop, [&] { return again.hears("want 00000000000000a1 "); });
    }
    assert(r.exchange.counters.silent == (carries ? 0u : 1u) && (peer.read(), peer.over) == !carries);
  }
}

// What may run once waits until its connection has shown that it carries: one that breaks under the call, as
// idle or new ones may, has taken nothing with it, and the next one is tried, a few times. Given up while it
// waits, it never left.
void exclusiveLegsGoWhereItCarries() {
  FarListener far;
  Road r(machines({{"s-1", far.at}}));
  LegKey key{1, 0};
  SendLeg how;
  Find find;
  how.cache = how.source = find.numberIn(r, machines({{"s-1", far.at}}));
  how.patience = 60000, how.proven = true;
  for (int broken : {0, 2}) {
    r.caches.send(key, askFor(), how, {});
    for (int i = 0; i < broken; ++i) {
      Far peer = far.next(r.loop);
      until(r.loop, [&] { return peer.hears("there call\r\n"); });
      assert(peer.got.find("want") == std::string::npos);
      peer.reset();
    }
    Far peer = far.next(r.loop);
    until(r.loop, [&] { return peer.hears("there call\r\n"); });
    peer.say("call PONG - 0\r\n\r\n");
    until(r.loop, [&] { return peer.hears("want " + id); });
    peer.reset();
    for (int i = 0; i < 20; ++i) r.loop.turn(1);
  }
  assert(r.exchange.counters.cacheConnections == 4);
  r.caches.send(key, askFor(), how, {});
  Far peer = far.next(r.loop);
  until(r.loop, [&] { return peer.hears("there call\r\n"); });
  r.caches.giveUp(key, askFor(), how.cache);
  peer.say("call PONG - 0\r\n\r\n");
  for (int i = 0; i < 20; ++i) r.loop.turn(1);
  assert(!peer.hears("want") && !peer.hears("never_mind"));
}

// Few legs share a connection while there are descriptors for more; then all share what there is.
void legsAreSpreadOverConnections() {
  FarListener far;
  Road r(machines({{"s-1", far.at}}), terms(), 2);
  std::vector<Asked> clients(20);
  for (std::size_t i = 0; i < 20; ++i) {
    r.exchange.pullCame(askFor("00000000000000" + std::to_string(10 + i)), clients[i]);
    if (r.exchange.counters.legs <= 8) assert(r.exchange.counters.cacheConnections == 1);
  }
  assert(r.exchange.counters.cacheConnections == 2 && r.exchange.counters.legs > 16);
  assert(r.exchange.counters.neverRan == 0);
}

void aSilentMachineHoldsUpNobody() {
  FarListener mute, good;
  Road r(machines({{"s-1", mute.at}, {"s-2", good.at}}));
  std::vector<Asked> clients(40);
  for (std::size_t i = 0; i < clients.size(); ++i) {
    Ask a = askFor("00000000000000" + std::to_string(10 + i));
    a.object = "object" + std::to_string(i);
    r.exchange.pullCame(a, clients[i]);
  }
  Far peer = good.next(r.loop);
  until(r.loop, [&] { return peer.hears("\r\n\r\n"); });
  std::string asked = peer.got.substr(5, 16);
  peer.say(asked + " HIT entity=t,issued=1,remark=local 2\r\nok\r\n");
  until(r.loop, [&] { return r.exchange.counters.finished == 1; });
}

// A connection that the peer may be about to close as idle is not used again: a request crossing the close
// would count as one that may have run.
void idleConnectionsAreLeftInTime() {
  FarListener far;
  Road r(machines({{"s-1", far.at}}), terms(400, 50));
  r.exchange.pullCame(askFor(), r.client);
  Far first = far.next(r.loop);
  until(r.loop, [&] { return first.hears("want "); });
  first.say(id + " HIT entity=t,issued=1,remark=local 0\r\n\r\n");
  until(r.loop, [&] { return !r.client.told.empty(); });
  Ms end = r.loop.now() + 60;
  until(r.loop, [&] { return r.loop.now() > end; });
  r.exchange.pullCame(askFor("00000000000000aa"), r.client);
  Far second = far.next(r.loop);
  until(r.loop, [&] { return second.hears("want 00000000000000aa"); });
}

void probesEndOneWayOrAnother() {
  for (const char* word : {"PONG", "SICK", "", "close"}) {
    FarListener far;
    Road r(machines({{"s-1", far.at}}), terms(*word ? 10000 : 100));
    auto& n = r.exchange.counters;
    // Two broken legs set the cache aside; the module probes it after a moment.
    for (int i = 0; i < 2; ++i) {
      Asked client;
      r.exchange.pullCame(askFor("00000000000000a" + std::to_string(i)), client);
      Far peer = far.next(r.loop);
      until(r.loop, [&] { return peer.hears("want "); });
      peer.reset();
      until(r.loop, [&] { return !client.told.empty(); });
    }
    Far peer = far.next(r.loop);
    until(r.loop, [&] { return peer.hears("busy ") && peer.got.find("\r\n") != std::string::npos; });
    std::string tag = peer.got.substr(5, peer.got.find("\r\n") - 5), say = word;
    if (say == "close") peer.fd.reset();
    else if (!say.empty()) peer.say(tag + ' ' + say + " report=util:0.5 0\r\n\r\n");
    std::uint64_t before = n.probes;
    until(r.loop, [&] { return n.probesAnswered + n.probes > before; });  // the next one follows from its end
    assert((n.probesAnswered > 0) == (say == "PONG"));
  }
}

// A new machine at the address of one that is still listed: what is meant for the old one does not reach it.
void nothingReachesAnotherUnderAnOldId() {
  FarListener far;
  Road r(machines({{"s-1", far.at}}));
  r.exchange.pullCame(askFor(), r.client);
  Far old = far.next(r.loop);
  until(r.loop, [&] { return old.hears("want "); });
  auto fresh = machines({{"s-2", far.at}});
  fresh[0].entry.standing = Standing::draining;  // takes nothing itself yet
  r.exchange.listCame(false, fresh);
  assert(!(old.read(), old.over));
  fresh[0].entry.standing = Standing::ready;
  fresh[0].entry.weight = 1e-9;  // nobody's home
  r.exchange.listCame(false, fresh);
  until(r.loop, [&] { return old.read(), old.over; });
  std::uint64_t before = r.exchange.counters.neverRan;
  Asked other;
  r.exchange.pullCame(askFor("00000000000000aa"), other);
  assert(r.exchange.counters.neverRan > before);  // at once, with nothing written
}

void connectionsToCachesAreBudgeted() {
  FarListener far;
  sheet::RoadTerms one = terms();
  one.legsAtOnce = 1;
  Road r(machines({{"s-1", far.at}}), one, 2);
  std::vector<Asked> clients(3);
  for (int i = 0; i < 3; ++i)
    r.exchange.pullCame(askFor("00000000000000a" + std::to_string(i)), clients[static_cast<std::size_t>(i)]);
  assert(r.exchange.counters.cacheConnections == 2 && r.exchange.counters.neverRan == 1);
  assert(clients[2].told.size() == 1 && clients[1].told.empty());
}

}  // namespace

int main() {
  struct Case {
    const char* name;
    void (*run)();
  };
  for (Case c : {Case{"answers come in any order and pieces", answersComeInAnyOrderAndPieces},
                 {"legs of one pull are kept apart", legsOfOnePullAreKeptApart},
                 {"ends of connections end their legs", endsOfConnectionsEndTheirLegs},
                 {"what stops short holds up nobody", whatStopsShortHoldsUpNobody},
                 {"connections that carry nothing end", connectionsThatCarryNothingEnd},
                 {"exclusive legs go where it carries", exclusiveLegsGoWhereItCarries},
                 {"legs are spread over connections", legsAreSpreadOverConnections},
                 {"a silent machine holds up nobody", aSilentMachineHoldsUpNobody},
                 {"idle connections are left in time", idleConnectionsAreLeftInTime},
                 {"probes end one way or another", probesEndOneWayOrAnother},
                 {"nothing reaches another under an old id", nothingReachesAnotherUnderAnOldId},
                 {"connections to caches are budgeted", connectionsToCachesAreBudgeted}}) {
    std::puts(c.name);
    std::fflush(stdout);
    c.run();
  }
}
