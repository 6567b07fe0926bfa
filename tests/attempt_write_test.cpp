// Tests of the time at which an attempt's first byte is written: the deadline sent to the server is
// the client's time left then, and no attempt starts for a client that has disconnected, whatever
// the attempt waited for. On loopback sockets; the loop's clock is advanced by the tests, and
// deadlines are read from the bytes on the wire.
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

/// The deadline in milliseconds in the request line of request `which`; -1 where there is no such
/// line.
long long SentDeadline(const std::string& bytes, int which) {
  std::size_t line = bytes.find(RequestPrefix(which));
  if (line == std::string::npos)
    return -1;
  std::size_t deadline = bytes.find(",max=", line);
  REQUIRE(deadline < bytes.find("\r\n", line));
  return std::stoll(bytes.substr(deadline + 5));
}

DeploymentSettings SettingsWithExpiry(Ms expiry, Effect effect = Effect::kExclusive) {
  DeploymentSettings settings = SettingsWith(false, effect);
  settings.request_classes[kVideo].max_deadline = expiry;
  settings.request_classes[kWrite].max_deadline = expiry;
  return settings;
}

/// Bounds on the time at which a request's client gives up, by the loop's clock.
struct Deadline {
  Ms earliest = 0;
  Ms latest = 0;
};

/// The deadline sent lies between the time left before and after the write, rounded up to whole
/// milliseconds.
void CheckSentDeadline(long long notified, const Deadline& deadline, Ms before, Ms after) {
  CHECK(notified >= 1);
  CHECK(static_cast<double>(notified) <= std::ceil(deadline.latest - before));
  CHECK(static_cast<double>(notified) >= std::floor(deadline.earliest - after));
}

/// Servers used alternately by a router that keeps every request and does not check whether the
/// client is still connected: the second attempt follows the first one's failure, some time after
/// it, or runs beside it.
enum class FurtherAttempt {
  kRetry,
  kRetryAfterBackoff,
  kHedged
};
constexpr Ms kBackoff = 50;
constexpr std::uint64_t kWakeUp = 1;

struct ScriptedRouter {
  FurtherAttempt further = FurtherAttempt::kRetry;
  bool proven = false;  // the further attempt waits for its connection's liveness check
  std::vector<std::uint32_t> servers;
  std::uint32_t request = 0;

  SendAttempt Attempt(std::size_t server) const {
    SendAttempt attempt;
    attempt.request = request;
    attempt.endpoint = servers.at(server);
    attempt.source = attempt.endpoint;
    attempt.requires_live_connection = proven && server == 1;
    return attempt;
  }
  std::vector<Action> Decide(Ms now, const Event& event) {
    if (auto* list = std::get_if<EndpointListUpdate>(&event))
      for (const ListEntry& entry : list->entries)
        servers.push_back(entry.id);
    if (auto* came = std::get_if<RequestArrived>(&event)) {
      request = came->request;
      if (further != FurtherAttempt::kHedged)
        return {Attempt(0)};
      return {Attempt(0), SetTimer{now + kBackoff, kWakeUp}};
    }
    auto* ended = std::get_if<AttemptEnded>(&event);
    if (ended && ended->attempt == 0 && further == FurtherAttempt::kRetry)
      return {Attempt(1)};
    if (ended && ended->attempt == 0 && further == FurtherAttempt::kRetryAfterBackoff)
      return {SetTimer{now + kBackoff, kWakeUp}};
    if (std::holds_alternative<TimerFired>(event))
      return {Attempt(1)};
    return {};
  }
};

/// What the further attempt waits for when its client disconnects.
enum class AttemptWait {
  kBackoff,
  kConnecting,
  kWriteBuffer,
  kLivenessCheck
};

struct TwoServers {
  FarListener first_listener;
  FarListener second_listener;
  std::shared_ptr<ScriptedRouter> script = std::make_shared<ScriptedRouter>();
  loop::Loop loop;
  exchange::Exchange exchange;
  caches::UpstreamConnectionPool caches;
  loop::Address front_address = FreeAddress();
  clients::HttpServer clients;
  Far client;
  Far first;
  Far second;
  Deadline deadline;

  TwoServers(FurtherAttempt further, AttemptWait pause, Ms expiry = 60000)
      : exchange(loop, SettingsWithExpiry(expiry),
                 [s = script](Ms now, const Event& event) { return s->Decide(now, event); }),
        caches(loop, exchange, MakeConnectionSettings(20000), 8),
        clients(loop, exchange, MakeConnectionSettings().request_classes, {false, true},
                front_address, 50) {
    script->further = further;
    script->proven = pause == AttemptWait::kLivenessCheck;
    exchange.SetUpstreamTransport(caches);
    exchange.OnListUpdate(
        true, MakeEndpointList({{"s-1", first_listener.at}, {"s-2", second_listener.at}}));
    if (pause == AttemptWait::kWriteBuffer)
      FillSecond();
    Ms before = loop.now();
    client = Far::To(front_address);
    client.Send(GetWithId(1));
    first = first_listener.Next(loop);
    Until(loop, [&] { return first.Hears(WantLine()); });
    deadline = {before + expiry, loop.now() + expiry};
  }

  static std::string WantLine() {
    return "want 00000000000000f1 ";
  }
  void RunIterations(int count = 20) {
    for (int i = 0; i < count; ++i)
      loop.RunOnce(1);
  }
  /// Fills the connection to the second server, which reads nothing, until it accepts no more
  /// bytes; these requests belong to no client.
  void FillSecond() {
    SendAttempt how;
    how.endpoint = script->servers.at(1);
    how.source = how.endpoint;
    how.timeout = 60000;
    for (int i = 0; i < 7; ++i) {
      RequestMetadata big = MakeRequest("00000000000000b" + std::to_string(i));
      big.body.assign(4 << 20, 'x');
      caches.Send({1000000u + static_cast<std::uint32_t>(i), 0}, big, how, {});
    }
    second = second_listener.Next(loop);
    RunIterations(3);
  }
  /// Runs until the further attempt waits for `pause`.
  void ReachWait(AttemptWait pause) {
    if (script->further != FurtherAttempt::kHedged) {
      first.Send("00000000000000f1 FAULT - 0\r\n\r\n");
      Until(loop, [&] { return exchange.counters.errors == 1; });
    }
    if (pause == AttemptWait::kBackoff)
      return;
    if (script->further != FurtherAttempt::kRetry)
      loop.AdvanceClock(kBackoff + 1);
    Until(loop, [&] { return exchange.counters.attempts == 2; });
    if (pause != AttemptWait::kLivenessCheck)
      return;
    second = second_listener.Next(loop);
    Until(loop, [&] { return second.Hears("there call\r\n"); });
  }
  /// Ends that wait.
  void Release(AttemptWait pause) {
    if (pause == AttemptWait::kLivenessCheck)
      second.Send(kCheckAnswer);
    if (pause == AttemptWait::kConnecting)
      second = second_listener.Next(loop);
    if (pause == AttemptWait::kWriteBuffer)
      Drain();
    RunIterations();
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

struct RaceCase {
  FurtherAttempt further;
  AttemptWait pause;
};
const std::vector<RaceCase> kRaceCases{
    {FurtherAttempt::kRetry, AttemptWait::kConnecting},
    {FurtherAttempt::kRetry, AttemptWait::kWriteBuffer},
    {FurtherAttempt::kRetry, AttemptWait::kLivenessCheck},
    {FurtherAttempt::kRetryAfterBackoff, AttemptWait::kBackoff},
    {FurtherAttempt::kRetryAfterBackoff, AttemptWait::kConnecting},
    {FurtherAttempt::kHedged, AttemptWait::kBackoff},
    {FurtherAttempt::kHedged, AttemptWait::kConnecting},
    {FurtherAttempt::kHedged, AttemptWait::kWriteBuffer},
    {FurtherAttempt::kHedged, AttemptWait::kLivenessCheck}};

}  // namespace

TEST_CASE(
    "the deadline sent is the client's time left at the write, whatever the first attempt waited "
    "for") {
  struct Case {
    Ms expiry;
    Ms waited;
  };
  for (WaitReason wait : {kConnecting, kWriteBuffer, kLivenessCheck})
    for (Case c : {Case{5000, 1229}, {2500, 1021}, {5000, 0}}) {
      CAPTURE(static_cast<int>(wait));
      CAPTURE(c.waited);
      Ms before = loop::PosixEnvironment().now();
      QueuedAttemptFixture waiting(wait, SettingsWithExpiry(c.expiry), {},
                                   wait == kLivenessCheck ? kWrite : kVideo);
      Deadline deadline{before + c.expiry, waiting.fixture.loop.now() + c.expiry};
      waiting.fixture.loop.AdvanceClock(c.waited);
      Ms skipped = waiting.fixture.loop.now();
      waiting.EndWait();
      Until(waiting.fixture.loop, [&] { return waiting.HasStarted(); });
      CheckSentDeadline(SentDeadline(waiting.peer.got, 1), deadline, skipped,
                        waiting.fixture.loop.now());
    }
}

TEST_CASE("an attempt that moves to another connection forwards the time left then") {
  Ms before = loop::PosixEnvironment().now();
  QueuedAttemptFixture waiting(kLivenessCheck, SettingsWithExpiry(5000), {}, kWrite);
  Deadline deadline{before + 5000, waiting.fixture.loop.now() + 5000};
  for (Ms waited : {700, 600}) {
    waiting.peer.Reset();
    waiting.peer = waiting.far.Next(waiting.fixture.loop);
    Until(waiting.fixture.loop, [&] { return waiting.peer.Hears("there call\r\n"); });
    waiting.fixture.loop.AdvanceClock(waited);
  }
  Ms skipped = waiting.fixture.loop.now();
  waiting.EndWait();
  Until(waiting.fixture.loop, [&] { return waiting.HasStarted(); });
  CheckSentDeadline(SentDeadline(waiting.peer.got, 1), deadline, skipped,
                    waiting.fixture.loop.now());
}

TEST_CASE(
    "with a few milliseconds left the deadline sent is never 0, and with no time left nothing is "
    "written") {
  constexpr Ms kExpiry = 5000;
  for (WaitReason wait : {kConnecting, kLivenessCheck})
    for (Ms left : {40.0, 3.0, 0.4, -1.0}) {
      CAPTURE(static_cast<int>(wait));
      CAPTURE(left);
      Ms before = loop::PosixEnvironment().now();
      QueuedAttemptFixture waiting(wait, SettingsWithExpiry(kExpiry), {},
                                   wait == kLivenessCheck ? kWrite : kVideo);
      Deadline deadline{before + kExpiry, waiting.fixture.loop.now() + kExpiry};
      if (wait == kLivenessCheck)
        waiting.peer.Send(kCheckAnswer);  // read in the iteration in which the time is up
      waiting.fixture.loop.AdvanceClock(deadline.latest - left - waiting.fixture.loop.now());
      Ms skipped = waiting.fixture.loop.now();
      waiting.fixture.RunIterations();
      if (wait == kConnecting)
        waiting.peer = waiting.far.Next(waiting.fixture.loop);
      waiting.fixture.RunIterations();
      long long notified = waiting.HasStarted() ? SentDeadline(waiting.peer.got, 1) : -1;
      if (left < 0)
        CHECK(notified == -1);
      if (notified != -1)
        CheckSentDeadline(notified, deadline, skipped, waiting.fixture.loop.now());
      Until(waiting.fixture.loop, [&] {
        return !waiting.client.notified.empty();
      });  // and its client gets its response when its time is up
      CHECK(waiting.client.notified.size() == 1);
    }
}

TEST_CASE("the request line states whole milliseconds, rounded up, and at least 1") {
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
    std::string bytes =
        caches::UpstreamRequest(MakeRequest(), SendAttempt{}, "").WithTimeLeft(c.left);
    CHECK(bytes ==
          "want " + kId + " profile=video,thing=7f3a,nth=0,max=" + c.notified + " 0\r\n\r\n");
  }
}

TEST_CASE("a further attempt forwards the time left at its own write") {
  for (const RaceCase& race : kRaceCases) {
    if (race.pause == AttemptWait::kBackoff)
      continue;
    CAPTURE(static_cast<int>(race.further));
    CAPTURE(static_cast<int>(race.pause));
    TwoServers servers(race.further, race.pause, 5000);
    servers.loop.AdvanceClock(800);
    servers.ReachWait(race.pause);
    servers.loop.AdvanceClock(1229);
    Ms skipped = servers.loop.now();
    servers.Release(race.pause);
    Until(servers.loop, [&] { return servers.second.Hears(TwoServers::WantLine()); });
    std::string line = servers.second.got.substr(servers.second.got.find(TwoServers::WantLine()));
    long long notified = std::stoll(line.substr(line.find(",max=") + 5));
    CheckSentDeadline(notified, servers.deadline, skipped, servers.loop.now());
  }
}

TEST_CASE("an attempt's own timeout bounds the deadline sent") {
  FarListener listener;
  ScriptedRouter script;
  loop::Loop loop;
  exchange::Exchange exchange(loop, SettingsWithExpiry(5000),
                              [&script](Ms now, const Event& event) {
                                std::vector<Action> actions = script.Decide(now, event);
                                for (Action& action : actions)
                                  if (auto* attempt = std::get_if<SendAttempt>(&action))
                                    attempt->timeout = 1500;
                                return actions;
                              });
  caches::UpstreamConnectionPool caches(loop, exchange, MakeConnectionSettings(20000), 8);
  exchange.SetUpstreamTransport(caches);
  exchange.OnListUpdate(true, MakeEndpointList({{"s-1", listener.at}}));
  RecordingResponseSink client;
  Ms before = loop.now();
  exchange.OnRequest(MakeNumberedRequest(1), client);
  Deadline timeout{before + 1500, loop.now() + 1500};
  loop.AdvanceClock(700);
  Ms skipped = loop.now();
  Far server = listener.Next(loop);
  Until(loop, [&] { return server.Hears(RequestPrefix(1)); });
  CheckSentDeadline(SentDeadline(server.got, 1), timeout, skipped, loop.now());
}

// The client's close is unread when what the attempt waited for occurs: both are found in one
// iteration, long after.
TEST_CASE("no further attempt starts for a disconnected client, whatever the attempt waits for") {
  for (const RaceCase& race : kRaceCases) {
    CAPTURE(static_cast<int>(race.further));
    CAPTURE(static_cast<int>(race.pause));
    TwoServers servers(race.further, race.pause);
    servers.ReachWait(race.pause);
    std::size_t attempts = servers.exchange.counters.attempts;
    servers.client.fd.Reset();
    if (race.pause == AttemptWait::kLivenessCheck)
      servers.second.Send(kCheckAnswer);
    servers.loop.AdvanceClock(200);
    Until(servers.loop, [&] { return servers.exchange.counters.client_disconnects == 1; });
    if (race.pause == AttemptWait::kWriteBuffer)
      servers.Drain();
    servers.RunIterations();
    if (!servers.second
             .fd) {  // a connection that was being opened may be established, and carries nothing
      int accepted = ::accept4(servers.second_listener.fd.Get(), nullptr, nullptr, SOCK_NONBLOCK);
      CHECK((accepted < 0 || race.pause == AttemptWait::kConnecting));
      if (accepted >= 0)
        servers.second = Far(loop::Descriptor(accepted));
    }
    if (servers.second.fd)
      CHECK_FALSE(servers.second.Hears(TwoServers::WantLine()));
    CHECK_FALSE(servers.second.got.find("never_mind") != std::string::npos);
    CHECK(servers.exchange.counters.lost_unsent == 0);
    // A router that still requests an attempt after a backoff is told that it was superseded; no
    // other router requests one.
    CHECK(servers.exchange.counters.attempts <=
          attempts + (race.pause == AttemptWait::kBackoff ? 1 : 0));
  }
}

// Nothing is pending: the connection is open and has just received data, so an attempt is sent
// within the call that chose it.
TEST_CASE("on an open connection no further attempt starts for a disconnected client") {
  for (FurtherAttempt further :
       {FurtherAttempt::kRetry, FurtherAttempt::kRetryAfterBackoff, FurtherAttempt::kHedged}) {
    CAPTURE(static_cast<int>(further));
    TwoServers servers(further, AttemptWait::kConnecting);
    SendAttempt how;
    how.endpoint = servers.script->servers.at(1);
    how.source = how.endpoint;
    how.timeout = 60000;
    servers.caches.Send({1000000, 0}, MakeRequest(), how, {});
    servers.second = servers.second_listener.Next(servers.loop);
    Until(servers.loop, [&] { return servers.second.Hears(kId); });
    servers.second.Send(kId + " HIT entity=t,issued=1,remark=local 0\r\n\r\n");
    servers.RunIterations();
    if (further == FurtherAttempt::kRetry)
      servers.first.Send("00000000000000f1 FAULT - 0\r\n\r\n");
    if (further == FurtherAttempt::kRetryAfterBackoff)
      servers.ReachWait(AttemptWait::kBackoff);
    servers.client.fd.Reset();
    servers.loop.AdvanceClock(200);  // the backoff ends, the client's close and the first server's
                                     // response have arrived: one iteration
    Until(servers.loop, [&] { return servers.exchange.counters.client_disconnects == 1; });
    servers.RunIterations();
    CHECK_FALSE(servers.second.Hears(TwoServers::WantLine()));
  }
}
