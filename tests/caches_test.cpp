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
  explicit Road(const std::vector<exchange::Listed>& list,
                const settings::RoadTerms& t = MakeTerms(), std::size_t most = 8)
      : exchange(loop, kit::Settings(), 1), caches(loop, exchange, t, most) {
    exchange.Meet(caches);
    exchange.ListCame(true, list);
  }
};

struct Find final : exchange::CacheSide {  // the number under which the exchange knows it
  std::uint32_t number = 0;
  std::uint64_t Send(AttemptKey, const Ask&, const SendAttempt& how,
                     const std::vector<std::uint64_t>&) override {
    number = how.cache;
    return 1;
  }
  void GiveUp(AttemptKey, const Ask&, std::uint32_t) override {}
  bool TakeBack(AttemptKey, const Ask&, std::uint32_t) override {
    return false;
  }
  void Probe(std::uint32_t) override {}
  void list(const ListEntry& e, const std::string&, const loop::Address&) override {
    number = e.cache;
  }
  void Forget(std::uint32_t) override {}
  std::uint32_t NumberIn(Road& r, const std::vector<exchange::Listed>& list) {
    r.exchange.Meet(*this);
    r.exchange.ListCame(true, list);
    r.exchange.Meet(r.caches);
    return number;
  }
};

void AnswersComeInAnyOrderAndPieces() {
  FarListener far;
  Road r(Machines({{"s-1", far.at}}));
  Asked one, two;
  Ask held = AskFor();
  held.tag = "t1";
  r.exchange.OnRequest(held, one);
  r.exchange.OnRequest(AskFor("00000000000000aa"), two);
  Far peer = far.Next(r.loop);
  Until(r.loop, [&] { return peer.Hears("want 00000000000000aa "); });
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
    r.loop.RunOnce(0);
  }
  Until(r.loop, [&] { return !one.notified.empty(); });
  assert(one.Is({"304 t1"}) && two.Is({"200 t2"}) && two.body == body);
  assert(r.exchange.counters.late_answers == 1);
}

// Two legs of a pull share its id: the second must not take the first one's answer for its own.
void AttemptsOfOneRequestAreKeptApart() {
  FarListener far;
  Road r(Machines({{"s-1", far.at}}));
  Find find;
  std::uint32_t cache = find.NumberIn(r, Machines({{"s-1", far.at}}));
  SendAttempt how;
  how.cache = how.source = cache;
  how.timeout = 60000;
  std::uint64_t first = r.caches.Send({1, 0}, AskFor(), how, {});
  std::uint64_t second = r.caches.Send({1, 1}, AskFor(), how, {});  // while the first is out
  assert(first != second);
  r.caches.GiveUp({1, 0}, AskFor(), cache);
  assert(r.caches.Send({1, 2}, AskFor(), how, {first, second}) >
         second);  // its answer may be on the way
  Far one = far.Next(r.loop), two = far.Next(r.loop), three = far.Next(r.loop);
  Until(r.loop, [&] { return two.Hears("want ") && three.Hears("want "); });
  // Given up before it was up: it never left, and there is nothing to call off.
  assert(!one.Hears("want ") && !one.Hears("never_mind"));
  r.caches.GiveUp({1, 1}, AskFor(), cache);
  Until(r.loop, [&] { return two.Hears("never_mind " + kId + "\r\n"); });
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
    std::vector<Far> fill;  // takes the backlog, so that nobody else comes up
    if (way == kNeverUp)
      fill.push_back(Far::To(far.at));
    Road r(Machines({{"s-1", at}}), MakeTerms(way == kNeverUp ? 60 : 1000));
    r.exchange.OnRequest(AskFor(), r.client);
    auto& n = r.exchange.counters;
    Far peer;
    if (way > kNeverUp) {
      peer = far.Next(r.loop);
      Until(r.loop, [&] { return peer.Hears("want "); });
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
      auto list = Machines({{"s-1", silent.at}});
      list[0].entry.started_at = 17;
      r.exchange.ListCame(false, list);
    }
    Until(r.loop, [&] { return n.never_ran + n.broken > 0; });
    assert(n.never_ran == (way <= kNeverUp ? 1u : 0u) && n.broken == (way > kNeverUp ? 1u : 0u));
    assert(n.bad_lines == (way == kMalformed || way == kImpossible ? 1u : 0u));
    // With its only cache failed the pull is declined at once, not held.
    assert(r.client.notified.size() == 1 && r.client.notified[0].substr(0, 3) == "503");
  }
}

// What stops short ends its connection soon, though it stays open and the pulls have minutes: the
// one whose answer it was moves on to another cache, one that only fell with it is asked there
// again, and the machine stays in use. Before a line is whole, too. The copy of an answer is
// nobody's.
void WhatStopsShortHoldsUpNobody() {
  for (const char* part : {" HIT entity=t,issued=1,remark=local 9\r\nhalf", " HIT entity=t,iss"}) {
    FarListener one, other;
    Road r(Machines({{"s-1", one.at}, {"s-2", other.at}}));
    std::vector<Asked> clients(9);
    for (std::size_t i = 0; i < 9; ++i)  // of one object, so of one home
      r.exchange.OnRequest(AskFor("00000000000000a" + std::to_string(i)), clients[i]);
    bool at_one = false;
    Until(r.loop, [&] {
      pollfd p[2] = {{one.fd.Get(), POLLIN, 0}, {other.fd.Get(), POLLIN, 0}};
      ::poll(p, 2, 0);
      at_one = p[0].revents != 0;
      return p[0].revents != 0 || p[1].revents != 0;
    });
    FarListener &home = at_one ? one : other, &away = at_one ? other : one;
    Far peer = home.Next(r.loop);
    Until(r.loop, [&] { return peer.Hears("want 00000000000000a0"); });
    peer.Send("00000000000000a0" + std::string(part));
    Far again = home.Next(r.loop), moved = away.Next(r.loop);
    Until(r.loop, [&] { return again.Hears("want 00000000000000a1") && moved.Hears("want "); });
    assert(r.exchange.counters.stalled == 1 && (peer.Read(), peer.over));
    const std::string answer = "00000000000000a1 HIT entity=t,issued=1,remark=local 2\r\nok\r\n";
    again.Send(answer + answer);
    Until(r.loop,
          [&] { return !clients[1].notified.empty() && r.exchange.counters.late_answers == 1; });
  }
}

// A connection that carries nothing more, though it stays open: called, it does not answer, and
// what is open on it is asked again on another, minutes before its time is up. One that answers the
// call is waited for.
void ConnectionsThatCarryNothingEnd() {
  for (bool carries : {false, true}) {
    FarListener far;
    settings::RoadTerms t = MakeTerms();
    t.may_probe = true;
    Road r(Machines({{"s-1", far.at}}), t);
    std::vector<Asked> clients(3);
    for (std::size_t i = 0; i < 3; ++i)
      r.exchange.OnRequest(AskFor("00000000000000a" + std::to_string(i)), clients[i]);
    Far peer = far.Next(r.loop);
    Until(r.loop, [&] { return peer.Hears("there call\r\n"); });
    if (carries) {
      for (int i = 0; i < 3; ++i) {
        peer.got.clear();
        peer.Send("call PONG - 0\r\n\r\n");
        Until(r.loop, [&] { return peer.Hears("there call\r\n"); });
      }
    } else {
      Far again = far.Next(r.loop);
      Until(r.loop, [&] { return again.Hears("want 00000000000000a1 "); });
    }
    assert(r.exchange.counters.silent == (carries ? 0u : 1u) &&
           (peer.Read(), peer.over) == !carries);
  }
}

// What may run once waits until its connection has shown that it carries: one that breaks under the
// call, as idle or new ones may, has taken nothing with it, and the next one is tried, a few times.
// Given up while it waits, it never left.
void ExclusiveAttemptsGoWhereItCarries() {
  FarListener far;
  Road r(Machines({{"s-1", far.at}}));
  AttemptKey key{1, 0};
  SendAttempt how;
  Find find;
  how.cache = how.source = find.NumberIn(r, Machines({{"s-1", far.at}}));
  how.timeout = 60000;
  how.proven = true;
  for (int broken : {0, 2}) {
    r.caches.Send(key, AskFor(), how, {});
    for (int i = 0; i < broken; ++i) {
      Far peer = far.Next(r.loop);
      Until(r.loop, [&] { return peer.Hears("there call\r\n"); });
      assert(peer.got.find("want") == std::string::npos);
      peer.Reset();
    }
    Far peer = far.Next(r.loop);
    Until(r.loop, [&] { return peer.Hears("there call\r\n"); });
    peer.Send("call PONG - 0\r\n\r\n");
    Until(r.loop, [&] { return peer.Hears("want " + kId); });
    peer.Reset();
    for (int i = 0; i < 20; ++i)
      r.loop.RunOnce(1);
  }
  assert(r.exchange.counters.cache_connections == 4);
  r.caches.Send(key, AskFor(), how, {});
  Far peer = far.Next(r.loop);
  Until(r.loop, [&] { return peer.Hears("there call\r\n"); });
  r.caches.GiveUp(key, AskFor(), how.cache);
  peer.Send("call PONG - 0\r\n\r\n");
  for (int i = 0; i < 20; ++i)
    r.loop.RunOnce(1);
  assert(!peer.Hears("want") && !peer.Hears("never_mind"));
}

// Few legs share a connection while there are descriptors for more; then all share what there is.
void AttemptsAreSpreadOverConnections() {
  FarListener far;
  Road r(Machines({{"s-1", far.at}}), MakeTerms(), 2);
  std::vector<Asked> clients(20);
  for (std::size_t i = 0; i < 20; ++i) {
    r.exchange.OnRequest(AskFor("00000000000000" + std::to_string(10 + i)), clients[i]);
    if (r.exchange.counters.attempts <= 8)
      assert(r.exchange.counters.cache_connections == 1);
  }
  assert(r.exchange.counters.cache_connections == 2 && r.exchange.counters.attempts > 16);
  assert(r.exchange.counters.never_ran == 0);
}

void ASilentMachineHoldsUpNobody() {
  FarListener mute, good;
  Road r(Machines({{"s-1", mute.at}, {"s-2", good.at}}));
  std::vector<Asked> clients(40);
  for (std::size_t i = 0; i < clients.size(); ++i) {
    Ask a = AskFor("00000000000000" + std::to_string(10 + i));
    a.object = "object" + std::to_string(i);
    r.exchange.OnRequest(a, clients[i]);
  }
  Far peer = good.Next(r.loop);
  Until(r.loop, [&] { return peer.Hears("\r\n\r\n"); });
  std::string asked = peer.got.substr(5, 16);
  peer.Send(asked + " HIT entity=t,issued=1,remark=local 2\r\nok\r\n");
  Until(r.loop, [&] { return r.exchange.counters.finished == 1; });
}

// A connection that the peer may be about to close as idle is not used again: a request crossing
// the close would count as one that may have run.
void IdleConnectionsAreLeftInTime() {
  FarListener far;
  Road r(Machines({{"s-1", far.at}}), MakeTerms(400, 50));
  r.exchange.OnRequest(AskFor(), r.client);
  Far first = far.Next(r.loop);
  Until(r.loop, [&] { return first.Hears("want "); });
  first.Send(kId + " HIT entity=t,issued=1,remark=local 0\r\n\r\n");
  Until(r.loop, [&] { return !r.client.notified.empty(); });
  Ms end = r.loop.now() + 60;
  Until(r.loop, [&] { return r.loop.now() > end; });
  r.exchange.OnRequest(AskFor("00000000000000aa"), r.client);
  Far second = far.Next(r.loop);
  Until(r.loop, [&] { return second.Hears("want 00000000000000aa"); });
}

void ProbesEndOneWayOrAnother() {
  for (const char* word : {"PONG", "SICK", "", "close"}) {
    FarListener far;
    Road r(Machines({{"s-1", far.at}}), MakeTerms(*word ? 10000 : 100));
    auto& n = r.exchange.counters;
    // Two broken legs set the cache aside; the module probes it after a moment.
    for (int i = 0; i < 2; ++i) {
      Asked client;
      r.exchange.OnRequest(AskFor("00000000000000a" + std::to_string(i)), client);
      Far peer = far.Next(r.loop);
      Until(r.loop, [&] { return peer.Hears("want "); });
      peer.Reset();
      Until(r.loop, [&] { return !client.notified.empty(); });
    }
    Far peer = far.Next(r.loop);
    Until(r.loop,
          [&] { return peer.Hears("busy ") && peer.got.find("\r\n") != std::string::npos; });
    std::string tag = peer.got.substr(5, peer.got.find("\r\n") - 5), say = word;
    if (say == "close")
      peer.fd.Reset();
    else if (!say.empty())
      peer.Send(tag + ' ' + say + " report=util:0.5 0\r\n\r\n");
    std::uint64_t before = n.probes;
    Until(r.loop, [&] {
      return n.probes_answered + n.probes > before;
    });  // the next one follows from its end
    assert((n.probes_answered > 0) == (say == "PONG"));
  }
}

// A new machine at the address of one that is still listed: what is meant for the old one does not
// reach it.
void NothingReachesAnotherUnderAnOldId() {
  FarListener far;
  Road r(Machines({{"s-1", far.at}}));
  r.exchange.OnRequest(AskFor(), r.client);
  Far old = far.Next(r.loop);
  Until(r.loop, [&] { return old.Hears("want "); });
  auto fresh = Machines({{"s-2", far.at}});
  fresh[0].entry.standing = Standing::kDraining;  // takes nothing itself yet
  r.exchange.ListCame(false, fresh);
  assert(!(old.Read(), old.over));
  fresh[0].entry.standing = Standing::kReady;
  fresh[0].entry.weight = 1e-9;  // nobody's home
  r.exchange.ListCame(false, fresh);
  Until(r.loop, [&] {
    old.Read();
    return old.over;
  });
  std::uint64_t before = r.exchange.counters.never_ran;
  Asked other;
  r.exchange.OnRequest(AskFor("00000000000000aa"), other);
  assert(r.exchange.counters.never_ran > before);  // at once, with nothing written
}

void ConnectionsToCachesAreBudgeted() {
  FarListener far;
  settings::RoadTerms one = MakeTerms();
  one.attempts_at_once = 1;
  Road r(Machines({{"s-1", far.at}}), one, 2);
  std::vector<Asked> clients(3);
  for (int i = 0; i < 3; ++i)
    r.exchange.OnRequest(AskFor("00000000000000a" + std::to_string(i)),
                         clients[static_cast<std::size_t>(i)]);
  assert(r.exchange.counters.cache_connections == 2 && r.exchange.counters.never_ran == 1);
  assert(clients[2].notified.size() == 1 && clients[1].notified.empty());
}

}  // namespace

int main() {
  struct Case {
    const char* name;
    void (*run)();
  };
  for (Case c : {Case{"answers come in any order and pieces", AnswersComeInAnyOrderAndPieces},
                 {"legs of one pull are kept apart", AttemptsOfOneRequestAreKeptApart},
                 {"ends of connections end their legs", EndsOfConnectionsEndTheirAttempts},
                 {"what stops short holds up nobody", WhatStopsShortHoldsUpNobody},
                 {"connections that carry nothing end", ConnectionsThatCarryNothingEnd},
                 {"exclusive legs go where it carries", ExclusiveAttemptsGoWhereItCarries},
                 {"legs are spread over connections", AttemptsAreSpreadOverConnections},
                 {"a silent machine holds up nobody", ASilentMachineHoldsUpNobody},
                 {"idle connections are left in time", IdleConnectionsAreLeftInTime},
                 {"probes end one way or another", ProbesEndOneWayOrAnother},
                 {"nothing reaches another under an old id", NothingReachesAnotherUnderAnOldId},
                 {"connections to caches are budgeted", ConnectionsToCachesAreBudgeted}}) {
    std::puts(c.name);
    std::fflush(stdout);
    c.run();
  }
}
