// The moment an attempt's first byte is written: the deadline its server is told is what the client
// has left then, and nothing is begun for a client that has left, whatever the attempt waited for.
// On loopback sockets; the loop's clock is skipped, and the figures are read on the wire.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <cmath>
#include <memory>

#include "caches/lines.hpp"
#include "clients/clients.hpp"
#include "upstream_fixture.hpp"

using namespace kit;

namespace {

const std::string kCheckAnswer = "call PONG - 0\r\n\r\n";

/// The deadline in milliseconds that the request line of `which` names; -1 where there is no such
/// line.
long long NotifiedDeadline(const std::string& bytes, int which) {
  std::size_t line = bytes.find(WantOf(which));
  if (line == std::string::npos)
    return -1;
  std::size_t deadline = bytes.find(",max=", line);
  REQUIRE(deadline < bytes.find("\r\n", line));
  return std::stoll(bytes.substr(deadline + 5));
}

StoreSettings SettingsWithExpiry(Ms expiry, Effect effect = Effect::kExclusive) {
  StoreSettings settings = SettingsWith(false, effect);
  settings.request_classes[kVideo].expiry = expiry;
  settings.request_classes[kWrite].expiry = expiry;
  return settings;
}

/// Bounds on the moment at which a request's client gives up, by the loop's clock.
struct Deadline {
  Ms earliest = 0;
  Ms latest = 0;
};

/// What was told lies between the time left before and after the write, rounded up to whole
/// milliseconds.
void CheckNotified(long long notified, const Deadline& deadline, Ms before, Ms after) {
  CHECK(notified >= 1);
  CHECK(static_cast<double>(notified) <= std::ceil(deadline.latest - before));
  CHECK(static_cast<double>(notified) >= std::floor(deadline.earliest - after));
}

/// Servers that are asked in turn by a router that forgets nothing and asks nobody whether the
/// client is still there: the second attempt comes after the first one's failure, some time after
/// it, or beside it.
enum class Further {
  kRetry,
  kRetryAfterBackoff,
  kHedged
};
constexpr Ms kBackoff = 50;
constexpr std::uint64_t kWakeUp = 1;

struct Script {
  Further further = Further::kRetry;
  bool proven = false;  // the further attempt waits for its connection's check
  std::vector<std::uint32_t> servers;
  std::uint32_t request = 0;

  SendAttempt Attempt(std::size_t server) const {
    SendAttempt attempt;
    attempt.request = request;
    attempt.cache = servers.at(server);
    attempt.source = attempt.cache;
    attempt.proven = proven && server == 1;
    return attempt;
  }
  std::vector<Action> Decide(Ms now, const Event& event) {
    if (auto* list = std::get_if<ListNews>(&event))
      for (const ListEntry& entry : list->entries)
        servers.push_back(entry.cache);
    if (auto* came = std::get_if<RequestCame>(&event)) {
      request = came->request;
      if (further != Further::kHedged)
        return {Attempt(0)};
      return {Attempt(0), WakeMe{now + kBackoff, kWakeUp}};
    }
    auto* ended = std::get_if<AttemptEnded>(&event);
    if (ended && ended->attempt == 0 && further == Further::kRetry)
      return {Attempt(1)};
    if (ended && ended->attempt == 0 && further == Further::kRetryAfterBackoff)
      return {WakeMe{now + kBackoff, kWakeUp}};
    if (std::holds_alternative<WakeUp>(event))
      return {Attempt(1)};
    return {};
  }
};

/// What the further attempt waits for when its client leaves.
enum class Pause {
  kBackoff,
  kDial,
  kQueue,
  kCheck
};

struct TwoServers {
  FarListener first_listener;
  FarListener second_listener;
  std::shared_ptr<Script> script = std::make_shared<Script>();
  loop::Loop loop;
  exchange::Exchange exchange;
  caches::Caches caches;
  loop::Address front_address = FreeAddress();
  clients::Clients clients;
  Far client;
  Far first;
  Far second;
  Deadline deadline;

  TwoServers(Further further, Pause pause, Ms expiry = 60000)
      : exchange(loop, SettingsWithExpiry(expiry),
                 [s = script](Ms now, const Event& event) { return s->Decide(now, event); }),
        caches(loop, exchange, MakeTerms(20000), 8),
        clients(loop, exchange, MakeTerms().request_classes, {false, true}, front_address, 50) {
    script->further = further;
    script->proven = pause == Pause::kCheck;
    exchange.Meet(caches);
    exchange.ListCame(true, Machines({{"s-1", first_listener.at}, {"s-2", second_listener.at}}));
    if (pause == Pause::kQueue)
      FillSecond();
    Ms before = loop.now();
    client = Far::To(front_address);
    client.Send(GetAs(1));
    first = first_listener.Next(loop);
    Until(loop, [&] { return first.Hears(WantLine()); });
    deadline = {before + expiry, loop.now() + expiry};
  }

  static std::string WantLine() {
    return "want 00000000000000f1 ";
  }
  void Turns(int count = 20) {
    for (int i = 0; i < count; ++i)
      loop.RunOnce(1);
  }
  /// Until the second server, which reads nothing, takes no more; what it is asked for is not of
  /// any client.
  void FillSecond() {
    SendAttempt how;
    how.cache = script->servers.at(1);
    how.source = how.cache;
    how.timeout = 60000;
    for (int i = 0; i < 7; ++i) {
      Ask big = AskFor("00000000000000b" + std::to_string(i));
      big.body.assign(4 << 20, 'x');
      caches.Send({1000000u + static_cast<std::uint32_t>(i), 0}, big, how, {});
    }
    second = second_listener.Next(loop);
    Turns(3);
  }
  /// Until the further attempt waits as said.
  void ReachPause(Pause pause) {
    if (script->further != Further::kHedged) {
      first.Send("00000000000000f1 FAULT - 0\r\n\r\n");
      Until(loop, [&] { return exchange.counters.errors == 1; });
    }
    if (pause == Pause::kBackoff)
      return;
    if (script->further != Further::kRetry)
      loop.AdvanceClock(kBackoff + 1);
    Until(loop, [&] { return exchange.counters.attempts == 2; });
    if (pause != Pause::kCheck)
      return;
    second = second_listener.Next(loop);
    Until(loop, [&] { return second.Hears("there call\r\n"); });
  }
  /// Lets what waits go.
  void Release(Pause pause) {
    if (pause == Pause::kCheck)
      second.Send(kCheckAnswer);
    if (pause == Pause::kDial)
      second = second_listener.Next(loop);
    if (pause == Pause::kQueue)
      Drain();
    Turns();
  }
  void Drain() {
    int quiet_turns = 0;
    while (quiet_turns < 20) {
      std::size_t before = second.got.size();
      loop.RunOnce(1);
      quiet_turns = second.Read(1 << 20).size() == before ? quiet_turns + 1 : 0;
      if (second.got.size() > (1 << 21))
        second.got.erase(0, second.got.size() - 4096);
    }
  }
};

struct Crossing {
  Further further;
  Pause pause;
};
const std::vector<Crossing> kCrossings{{Further::kRetry, Pause::kDial},
                                       {Further::kRetry, Pause::kQueue},
                                       {Further::kRetry, Pause::kCheck},
                                       {Further::kRetryAfterBackoff, Pause::kBackoff},
                                       {Further::kRetryAfterBackoff, Pause::kDial},
                                       {Further::kHedged, Pause::kBackoff},
                                       {Further::kHedged, Pause::kDial},
                                       {Further::kHedged, Pause::kQueue},
                                       {Further::kHedged, Pause::kCheck}};

}  // namespace

TEST_CASE(
    "the deadline told is what the client has left at the write, whatever the first attempt waited "
    "for") {
  struct Case {
    Ms expiry;
    Ms waited;
  };
  for (Wait wait : {kDial, kQueue, kCheck})
    for (Case c : {Case{5000, 1229}, {2500, 1021}, {5000, 0}}) {
      CAPTURE(static_cast<int>(wait));
      CAPTURE(c.waited);
      Ms before = loop::PosixEnvironment().now();
      Waiting waiting(wait, SettingsWithExpiry(c.expiry), {}, wait == kCheck ? kWrite : kVideo);
      Deadline deadline{before + c.expiry, waiting.r.loop.now() + c.expiry};
      waiting.r.loop.AdvanceClock(c.waited);
      Ms skipped = waiting.r.loop.now();
      waiting.LetGo();
      Until(waiting.r.loop, [&] { return waiting.Began(); });
      CheckNotified(NotifiedDeadline(waiting.peer.got, 1), deadline, skipped, waiting.r.loop.now());
    }
}

TEST_CASE("an attempt that moves to another connection tells what is left then") {
  Ms before = loop::PosixEnvironment().now();
  Waiting waiting(kCheck, SettingsWithExpiry(5000), {}, kWrite);
  Deadline deadline{before + 5000, waiting.r.loop.now() + 5000};
  for (Ms waited : {700, 600}) {
    waiting.peer.Reset();
    waiting.peer = waiting.far.Next(waiting.r.loop);
    Until(waiting.r.loop, [&] { return waiting.peer.Hears("there call\r\n"); });
    waiting.r.loop.AdvanceClock(waited);
  }
  Ms skipped = waiting.r.loop.now();
  waiting.LetGo();
  Until(waiting.r.loop, [&] { return waiting.Began(); });
  CheckNotified(NotifiedDeadline(waiting.peer.got, 1), deadline, skipped, waiting.r.loop.now());
}

TEST_CASE(
    "with a few milliseconds left the deadline told is never 0, and with nothing left nothing is "
    "written") {
  constexpr Ms kExpiry = 5000;
  for (Wait wait : {kDial, kCheck})
    for (Ms left : {40.0, 3.0, 0.4, -1.0}) {
      CAPTURE(static_cast<int>(wait));
      CAPTURE(left);
      Ms before = loop::PosixEnvironment().now();
      Waiting waiting(wait, SettingsWithExpiry(kExpiry), {}, wait == kCheck ? kWrite : kVideo);
      Deadline deadline{before + kExpiry, waiting.r.loop.now() + kExpiry};
      if (wait == kCheck)
        waiting.peer.Send(kCheckAnswer);  // read in the turn in which time is up
      waiting.r.loop.AdvanceClock(deadline.latest - left - waiting.r.loop.now());
      Ms skipped = waiting.r.loop.now();
      waiting.r.Turns();
      if (wait == kDial)
        waiting.peer = waiting.far.Next(waiting.r.loop);
      waiting.r.Turns();
      long long notified = waiting.Began() ? NotifiedDeadline(waiting.peer.got, 1) : -1;
      if (left < 0)
        CHECK(notified == -1);
      if (notified != -1)
        CheckNotified(notified, deadline, skipped, waiting.r.loop.now());
      Until(waiting.r.loop, [&] {
        return !waiting.client.notified.empty();
      });  // and its client is answered once its time is up
      CHECK(waiting.client.notified.size() == 1);
    }
}

TEST_CASE("the line names whole milliseconds, rounded up, and at least 1") {
  struct Case {
    Ms left;
    std::string notified;
  };
  for (const Case& c : {Case{0.0004, "1"},
                        {0.4, "1"},
                        {1, "1"},
                        {2.3, "3"},
                        {999.99, "1000"},
                        {5000, "5000"},
                        {5000.0002, "5000"}}) {
    std::string bytes = caches::RequestLine(AskFor(), SendAttempt{}, "").WithTimeLeft(c.left);
    CHECK(bytes ==
          "want " + kId + " profile=video,thing=7f3a,nth=0,max=" + c.notified + " 0\r\n\r\n");
  }
}

TEST_CASE("a further attempt tells what the client has left at its own write") {
  for (const Crossing& crossing : kCrossings) {
    if (crossing.pause == Pause::kBackoff)
      continue;
    CAPTURE(static_cast<int>(crossing.further));
    CAPTURE(static_cast<int>(crossing.pause));
    TwoServers servers(crossing.further, crossing.pause, 5000);
    servers.loop.AdvanceClock(800);
    servers.ReachPause(crossing.pause);
    servers.loop.AdvanceClock(1229);
    Ms skipped = servers.loop.now();
    servers.Release(crossing.pause);
    Until(servers.loop, [&] { return servers.second.Hears(TwoServers::WantLine()); });
    std::string line = servers.second.got.substr(servers.second.got.find(TwoServers::WantLine()));
    long long notified = std::stoll(line.substr(line.find(",max=") + 5));
    CheckNotified(notified, servers.deadline, skipped, servers.loop.now());
  }
}

TEST_CASE("an attempt's own timeout bounds the deadline told") {
  FarListener listener;
  Script script;
  loop::Loop loop;
  exchange::Exchange exchange(loop, SettingsWithExpiry(5000),
                              [&script](Ms now, const Event& event) {
                                std::vector<Action> actions = script.Decide(now, event);
                                for (Action& action : actions)
                                  if (auto* attempt = std::get_if<SendAttempt>(&action))
                                    attempt->timeout = 1500;
                                return actions;
                              });
  caches::Caches caches(loop, exchange, MakeTerms(20000), 8);
  exchange.Meet(caches);
  exchange.ListCame(true, Machines({{"s-1", listener.at}}));
  Asked client;
  Ms before = loop.now();
  exchange.OnRequest(AskAs(1), client);
  Deadline timeout{before + 1500, loop.now() + 1500};
  loop.AdvanceClock(700);
  Ms skipped = loop.now();
  Far server = listener.Next(loop);
  Until(loop, [&] { return server.Hears(WantOf(1)); });
  CheckNotified(NotifiedDeadline(server.got, 1), timeout, skipped, loop.now());
}

// The client's close lies unread when what the attempt waited for comes: both are found in one
// turn, long after.
TEST_CASE("no further attempt begins for a client that closed, whatever it waits for") {
  for (const Crossing& crossing : kCrossings) {
    CAPTURE(static_cast<int>(crossing.further));
    CAPTURE(static_cast<int>(crossing.pause));
    TwoServers servers(crossing.further, crossing.pause);
    servers.ReachPause(crossing.pause);
    std::size_t attempts = servers.exchange.counters.attempts;
    servers.client.fd.Reset();
    if (crossing.pause == Pause::kCheck)
      servers.second.Send(kCheckAnswer);
    servers.loop.AdvanceClock(200);
    Until(servers.loop, [&] { return servers.exchange.counters.left == 1; });
    if (crossing.pause == Pause::kQueue)
      servers.Drain();
    servers.Turns();
    if (!servers.second
             .fd) {  // a connection that was on its way may have come up, and carries nothing
      int accepted = ::accept4(servers.second_listener.fd.Get(), nullptr, nullptr, SOCK_NONBLOCK);
      CHECK((accepted < 0 || crossing.pause == Pause::kDial));
      if (accepted >= 0)
        servers.second = Far(loop::Descriptor(accepted));
    }
    if (servers.second.fd)
      CHECK_FALSE(servers.second.Hears(TwoServers::WantLine()));
    CHECK_FALSE(servers.second.got.find("never_mind") != std::string::npos);
    CHECK(servers.exchange.counters.never_ran == 0);
    // A router that still asks for one in a backoff is told that it came to nothing; no other ever
    // is.
    CHECK(servers.exchange.counters.attempts <=
          attempts + (crossing.pause == Pause::kBackoff ? 1 : 0));
  }
}

// Nothing waits: the connection is up and has just carried, so an attempt goes out within the call
// that chose it.
TEST_CASE("on a connection that is up no further attempt begins for a client that closed") {
  for (Further further : {Further::kRetry, Further::kRetryAfterBackoff, Further::kHedged}) {
    CAPTURE(static_cast<int>(further));
    TwoServers servers(further, Pause::kDial);
    SendAttempt how;
    how.cache = servers.script->servers.at(1);
    how.source = how.cache;
    how.timeout = 60000;
    servers.caches.Send({1000000, 0}, AskFor(), how, {});
    servers.second = servers.second_listener.Next(servers.loop);
    Until(servers.loop, [&] { return servers.second.Hears(kId); });
    servers.second.Send(kId + " HIT entity=t,issued=1,remark=local 0\r\n\r\n");
    servers.Turns();
    if (further == Further::kRetry)
      servers.first.Send("00000000000000f1 FAULT - 0\r\n\r\n");
    if (further == Further::kRetryAfterBackoff)
      servers.ReachPause(Pause::kBackoff);
    servers.client.fd.Reset();
    servers.loop.AdvanceClock(200);  // the backoff ends, the client's close and the first server's
                                     // answer are there: one turn
    Until(servers.loop, [&] { return servers.exchange.counters.left == 1; });
    servers.Turns();
    CHECK_FALSE(servers.second.Hears(TwoServers::WantLine()));
  }
}
