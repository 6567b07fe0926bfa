// Timestamps of other hosts' clocks that are off by an hour and by ten seconds, ahead and behind,
// at this front's start and later. Each goes from the lines of the discovery service to the
// requests that a cache receives.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <optional>
#include <set>

#include "board/board.hpp"
#include "caches/lines.hpp"
#include "drift/drift.hpp"
#include "front/record.hpp"
#include "generations/generations.hpp"
#include "json/json.hpp"
#include "record/log.hpp"
#include "record/memory_disk.hpp"
#include "sides.hpp"

using namespace kit;

namespace {

constexpr Ms kSecond = 1000;
constexpr Ms kHour = 3600 * kSecond;
constexpr Ms kSkews[] = {kHour, -kHour, 10 * kSecond,
                         -10 * kSecond};  // the other host's clock relative to this front's
constexpr Ms kPurgeDone = 6 * kSecond;    // of kit::sheet()
constexpr Ms kSlowStart = 15 * kSecond;   // of the same settings

std::string TimestampText(Ms at) {
  return std::to_string(static_cast<long long>(at));
}

std::string PurgeEvent(std::uint64_t rev, Ms timestamp) {
  return "{\"rev\":" + std::to_string(rev) +
         ",\"flush\":{\"asset\":\"7f3a\",\"ms\":" + TimestampText(timestamp) + "}}";
}

std::string ServerEvent(std::uint64_t rev, const std::string& id, Ms started, bool full = false,
                        const char* state = "in_service") {
  return "{\"rev\":" + std::to_string(rev) + ",\"pool\":{\"full\":" + (full ? "true" : "false") +
         ",\"servers\":[{\"id\":\"" + id +
         "\",\"addr\":\"127.0.0.9:5050\",\"zone\":\"e-1\",\"kind\":\"box\",\"weight\":6,\"state\":"
         "\"" +
         state + "\",\"started_ms\":" + TimestampText(started) + "}]}}";
}

// A front's discovery client on a socket, with five listed servers that started long ago, and a
// client that sends requests.
struct DiscoveryFixture {
  ExchangeFixture desk{kit::Settings(), 5};
  FarListener listener;
  discovery::DiscoveryClient discovery{desk.loop, desk.exchange, MakeConnectionSettings(),
                                       listener.at};
  Far peer;
  std::uint64_t last = 1;
  int asked = 0;

  Ms Now() const {
    return desk.loop.now();
  }

  void Begin(const std::string& watch_events = "") {
    auto known = json::Parse("{\"notices\":[" + watch_events + "],\"rev\":1}");
    REQUIRE(known);
    REQUIRE(discovery.ApplyInitialEvents(*known));
  }
  void Follow() {
    discovery.StartWatch();
    peer = listener.Next(desk.loop);
    BeUpToDate();
  }
  // Waits; in each second the service sends that there is no new event.
  void Wait(int seconds) {
    for (int i = 0; i < seconds; ++i) {
      desk.loop.AdvanceClock(kSecond);
      BeUpToDate();
    }
  }
  // An event of neither kind, followed by the line that states it is the last.
  void BeUpToDate() {
    std::string rev = std::to_string(last + 1);
    Announce("{\"rev\":" + rev + "}\n" + rev);
  }
  // An event that the service announces now.
  void Announce(const std::string& event) {
    peer.Send(event + "\n");
    ++last;
    Until(desk.loop, [&] { return discovery.LastRevision() == last; });
  }
  // Sends a request for a new object, or for the purged one; returns the attempt at a cache.
  SendAttempt Request(const std::string& object) {
    RequestMetadata ask = MakeRequest("request-" + std::to_string(++asked));
    ask.object = object;
    ask.ttl = 4 * kSecond;
    RecordingResponseSink client;
    std::size_t before = desk.caches.sent.size();
    std::uint32_t request = desk.exchange.OnRequest(ask, client);
    SendAttempt attempt;
    if (desk.caches.sent.size() > before) {
      attempt = desk.caches.sent.back().action;
      desk.exchange.OnAttemptResponseComplete(
          {request, 0}, MakeResponseHead(AttemptResult::kFinished, CacheStatus::kHit));
    }
    return attempt;
  }
};

// Checks which copies attempts accept after a purge at `purged` on this front's clock, whatever its
// timestamp: none that is older, but one that was made after this front was notified.
void CheckPurgeBinds(DiscoveryFixture& d, Ms purged, Ms notified_at) {
  d.desk.loop.AdvanceClock(500);
  Ms since_notified = d.Now() - notified_at;
  SendAttempt attempt = d.Request("7f3a");
  REQUIRE(attempt.endpoint != 0);
  CHECK(attempt.max_age > 0);
  CHECK(attempt.max_age <= d.Now() - purged);
  CHECK(attempt.max_age >= since_notified - 2);
  // The purge expires: any copy is accepted some time after all caches have dropped older ones.
  d.desk.loop.AdvanceClock(3 * kPurgeDone);
  CHECK(d.Request("7f3a").max_age == 0);
}

// How many of a series of requests for different objects go to the server that was last listed.
int SentTo(DiscoveryFixture& d, std::uint32_t server) {
  int count = 0;
  for (int i = 0; i < 400; ++i) {
    d.desk.loop.AdvanceClock(1);
    count += d.Request("object-" + std::to_string(d.asked)).endpoint == server;
  }
  return count;
}

// The exchange's number for a server: the only one that gets requests after the others are removed.
std::uint32_t NumberOf(const std::string& id) {
  DiscoveryFixture d;
  d.Begin(ServerEvent(1, id, 0, true));
  for (int i = 0;; ++i) {
    REQUIRE(i < 100);
    if (std::uint32_t cache = d.Request("object-" + std::to_string(i)).endpoint; cache != 0)
      return cache;
  }
}

// The number of requests that a server gets once its slow start is over.
int SentToWarm(const std::string& id) {
  DiscoveryFixture d;
  d.Begin();
  d.Follow();
  d.Announce(ServerEvent(d.last + 1, id, 0));
  d.desk.loop.AdvanceClock(kSlowStart + 2 * kSecond);
  return SentTo(d, NumberOf(id));
}

// A server whose start was just announced gets the share of slow start, and afterwards the full
// one.
void CheckSlowStart(DiscoveryFixture& d, const std::string& id, int warm) {
  std::uint32_t server = NumberOf(id);
  REQUIRE(warm > 40);
  CHECK(SentTo(d, server) <= warm / 2);
  d.desk.loop.AdvanceClock(kSlowStart + 2 * kSecond);
  CHECK(SentTo(d, server) >= warm * 8 / 10);
}

}  // namespace

TEST_CASE("a purge announced in a change takes effect whatever its timestamp, and expires") {
  for (Ms skew : kSkews)
    for (Ms age : {50.0, 400.0}) {
      CAPTURE(skew);
      CAPTURE(age);
      DiscoveryFixture d;
      d.Begin();
      d.Follow();
      Ms purged = d.Now() - age;
      d.Announce(PurgeEvent(d.last + 1, purged + skew));
      CheckPurgeBinds(d, purged, d.Now());
    }
}

TEST_CASE("a purge announced at the start takes effect whatever its timestamp, and expires") {
  for (Ms skew : kSkews)
    for (Ms age : {50.0, 5500.0}) {
      CAPTURE(skew);
      CAPTURE(age);
      DiscoveryFixture d;
      Ms purged = d.Now() - age;
      d.Begin(PurgeEvent(1, purged + skew));
      CheckPurgeBinds(d, purged, d.Now());
    }
}

TEST_CASE(
    "a purge announced after the service's clock was stepped back takes effect, though an earlier "
    "one "
    "has a later timestamp") {
  DiscoveryFixture d;
  d.Begin();
  d.Follow();
  d.Announce(PurgeEvent(d.last + 1, d.Now() + kHour));
  d.Wait(2);
  Ms purged = d.Now();
  d.Announce(PurgeEvent(d.last + 1, purged));
  CheckPurgeBinds(d, purged, d.Now());
}

TEST_CASE(
    "if clocks agree a purge counts from its timestamp, at the start, in a change and after a "
    "silence") {
  for (bool at_start : {true, false})
    for (Ms age : {20.0, 250.0, 900.0}) {
      CAPTURE(at_start);
      CAPTURE(age);
      DiscoveryFixture d;
      Ms purged = std::floor(d.Now()) - age;
      if (at_start)
        d.Begin(PurgeEvent(1, purged));
      else
        d.Begin();
      if (!at_start)
        d.Follow();
      if (!at_start)
        purged = std::floor(d.Now()) - age;
      if (!at_start)
        d.Announce(PurgeEvent(d.last + 1, purged));
      d.desk.loop.AdvanceClock(300);
      Ms before = d.Now();
      SendAttempt attempt = d.Request("7f3a");
      CHECK(attempt.max_age >= before - purged - 1);
      CHECK(attempt.max_age <= d.Now() - purged - 1);
    }
  DiscoveryFixture d;
  d.Begin();
  d.Follow();
  d.desk.loop.AdvanceClock(1200);  // the service is silent for a while, then sends its events
  Ms purged = std::floor(d.Now()) - 1100;
  d.Announce(PurgeEvent(d.last + 1, purged));
  Ms before = d.Now();
  SendAttempt attempt = d.Request("7f3a");
  CHECK(attempt.max_age >= before - purged - 1);
}

TEST_CASE("a server announced in a change has a slow start that ends, whatever its timestamp") {
  int warm = SentToWarm("s-new");
  for (Ms skew : kSkews) {
    CAPTURE(skew);
    DiscoveryFixture d;
    d.Begin();
    d.Follow();
    d.Announce(ServerEvent(d.last + 1, "s-new", d.Now() - 300 + skew));
    CheckSlowStart(d, "s-new", warm);
  }
}

TEST_CASE(
    "a server listed at the start with a timestamp in the future has a slow start that ends") {
  int warm = SentToWarm("s-new");
  for (Ms skew : {kHour, 10 * kSecond}) {
    CAPTURE(skew);
    DiscoveryFixture d;
    d.Begin(ServerEvent(1, "s-new", d.Now() - 300 + skew));
    CheckSlowStart(d, "s-new", warm);
  }
}

TEST_CASE("a server that restarts after its clock was stepped has a slow start again") {
  int warm = SentToWarm("s-new");
  for (Ms skew : kSkews) {
    CAPTURE(skew);
    DiscoveryFixture d;
    d.Begin();
    d.Follow();
    d.Announce(ServerEvent(d.last + 1, "s-new", d.Now() - 300 + skew));
    d.Wait(40);
    d.Announce(ServerEvent(d.last + 1, "s-new", d.Now() - 300));
    CheckSlowStart(d, "s-new", warm);
  }
}

TEST_CASE("other updates of a server do not restart its slow start") {
  int warm = SentToWarm("s-new");
  for (Ms skew : {0.0, kHour, -kHour, 10 * kSecond, -10 * kSecond}) {
    CAPTURE(skew);
    DiscoveryFixture d;
    d.Begin();
    d.Follow();
    Ms timestamp = d.Now() - 300 + skew;
    d.Announce(ServerEvent(d.last + 1, "s-new", timestamp));
    d.Wait(17);
    d.Announce(ServerEvent(d.last + 1, "s-new", timestamp));
    CHECK(SentTo(d, NumberOf("s-new")) >= warm * 8 / 10);
  }
}

TEST_CASE(
    "a new generation takes purges and server starts from their announcement, not their "
    "timestamp") {
  auto known = [](const std::string& watch_events, std::uint64_t rev) {
    auto value =
        json::Parse("{\"notices\":[" + watch_events + "],\"rev\":" + std::to_string(rev) + "}");
    REQUIRE(value);
    return *value;
  };
  for (Ms skew : kSkews) {
    CAPTURE(skew);
    int warm = SentToWarm("s-new");
    loop::Loop loop;
    generations::Generations generations(kit::Settings(), 1);
    exchange::Exchange exchange(loop, kit::Settings(), [&](Ms now, const Event& event) {
      return generations.Handle(now, event);
    });
    RecordingTransport caches;
    exchange.SetUpstreamTransport(caches);
    exchange.OnListUpdate(
        true,
        MakeEndpointList(
            {{"origin", {}}, {"s-0", {}}, {"s-1", {}}, {"s-2", {}}, {"s-3", {}}, {"s-4", {}}}));
    discovery::DiscoveryClient discovery(loop, exchange, MakeConnectionSettings(), FreeAddress());
    REQUIRE(discovery.ApplyInitialEvents(known("", 1)));
    Ms purged = loop.now();
    std::string events =
        PurgeEvent(2, purged + skew) + "," + ServerEvent(3, "s-new", purged + skew);
    REQUIRE(discovery.SwitchTo(FreeAddress(), known(events, 3)));  // announced after the start
    loop.AdvanceClock(500);
    std::vector<Action> out;
    REQUIRE(generations.StartGeneration(loop.now(), kit::Settings(), out) != 0);
    auto request = [&](const std::string& object) {
      static int asked = 0;
      RequestMetadata ask = MakeRequest("request-" + std::to_string(++asked));
      ask.object = object;
      ask.ttl = 4 * kSecond;
      RecordingResponseSink client;
      std::size_t before = caches.sent.size();
      std::uint32_t number = exchange.OnRequest(ask, client);
      REQUIRE(caches.sent.size() > before);
      SendAttempt attempt = caches.sent.back().action;
      exchange.OnAttemptResponseComplete(
          {number, 0}, MakeResponseHead(AttemptResult::kFinished, CacheStatus::kHit));
      return attempt;
    };
    SendAttempt attempt = request("7f3a");
    CHECK(attempt.max_age >= 498);
    CHECK(attempt.max_age <= loop.now() - purged);
    auto sent = [&] {
      std::uint32_t server = NumberOf("s-new");
      int count = 0;
      for (int i = 0; i < 400; ++i) {
        loop.AdvanceClock(1);
        count += request("object-" + std::to_string(i)).endpoint == server;
      }
      return count;
    };
    CHECK(sent() <= warm / 2);
    loop.AdvanceClock(kSlowStart + 2 * kSecond);
    CHECK(sent() >= warm * 8 / 10);
  }
}

TEST_CASE("if clocks agree a slow start counts from its timestamp") {
  int warm = SentToWarm("s-new");
  DiscoveryFixture d;
  d.Begin(ServerEvent(
      1, "s-new",
      d.Now() - kSlowStart - kSecond));  // listed at the start, its slow start over by then
  CHECK(SentTo(d, NumberOf("s-new")) >= warm * 8 / 10);
  DiscoveryFixture late;
  late.Begin();
  late.Follow();
  late.Announce(ServerEvent(late.last + 1, "s-new",
                            late.Now() - 4 * kSecond));  // it took four seconds to be listed
  late.desk.loop.AdvanceClock(kSlowStart - 4 * kSecond);
  CHECK(SentTo(late, NumberOf("s-new")) >= warm * 8 / 10);
}

TEST_CASE("the time at which the origin issued a copy is passed on and has no other effect") {
  std::set<std::string> tags;
  for (Ms skew : {0.0, kHour, -kHour, 10 * kSecond, -10 * kSecond}) {
    auto answer = caches::ParseResponseLine(
        "9b1f HIT entity=t1,issued=" + TimestampText(1.76e12 + skew) + ",remark=local 5", {});
    REQUIRE(answer);
    CHECK(answer->head.result == AttemptResult::kFinished);
    CHECK(answer->head.has_issue_time);
    CHECK(answer->head.cache_status == CacheStatus::kHit);
    tags.insert(answer->head.entity_tag);
  }
  CHECK(tags.size() == 1);
}

TEST_CASE(
    "an approval's term stays within its bounds whatever clock it was given by, and starts once") {
  using namespace drift;
  for (Ms skew : {0.0, kHour, -kHour, 10 * kSecond, -10 * kSecond}) {
    CAPTURE(skew);
    DriftSettings terms;
    terms.fronts = 2;
    Drift front(1, {{1, 0}, {2, 0}}, {}, terms, 1, 0, {});
    auto form = std::make_shared<const CanonicalConfiguration>(
        CanonicalConfiguration{{"sheet", {{"most_legs", "3"}}}});
    front.Handle(0, ActiveConfigurationChanged{*form});
    front.Handle(0, LeaseUpdated{1});  // the lease holder's decision needs no other fronts
    Ms given = 1.76e12;
    front.Handle(
        0, FrontApprovalUpdated{2, 10, Digest(*form), given + skew + 5 * kSecond, given, form});
    drift::ActiveReport lacks;
    lacks.version = 9;
    lacks.active_digest = 1;
    lacks.approved_digest = 1;
    std::optional<Ms> found;
    for (Ms now = 100; now <= terms.max_convergence_time + 20 * kSecond && !found; now += 100) {
      lacks.sequence = static_cast<std::uint64_t>(now);
      lacks.changed_sequence = 1;
      front.Handle(now, ReportReceived{2, lacks});
      if (now == 2000)
        front.Handle(now, FrontApprovalUpdated{2, 10, Digest(*form), given + skew + 5 * kSecond,
                                               given - kHour, form});
      front.Handle(now, Tick{});
      auto row = front.FrontStates().find(2);
      if (row->second.status == drift::DriftStatus::kConverging ||
          row->second.status == drift::DriftStatus::kUnknown)
        continue;
      found = now;
    }
    REQUIRE(found);
    CHECK(*found >= terms.min_convergence_time);
    CHECK(*found <= terms.max_convergence_time + 10 * kSecond);
  }
}

TEST_CASE(
    "a recall read at a start never counts as older than it is, with a writer's clock an hour "
    "off") {
  constexpr Ms kNow = 1.76e12;
  for (Ms skew : {0.0, kHour, -kHour, 10 * kSecond, -10 * kSecond, -kNow})
    for (Ms age : {kSecond, 10 * 60 * kSecond, 5 * kHour}) {
      CAPTURE(skew);
      CAPTURE(age);
      Ms read = front::RecallAge(WallTime(kNow - age + skew), kNow, false);
      CHECK(read >= 0);
      CHECK(read <= age);
      CHECK(front::RecallAge(WallTime(kNow - age + skew), kNow, true) == 0);
    }
  CHECK(front::RecallAge(WallTime(kNow - 5 * kHour), kNow, false) >=
        3 * kHour);  // an old one does not count as new
}

TEST_CASE("a tombstone is removed eventually, with a writer's clock an hour off") {
  constexpr Ms kWritten = 1.76e12;
  for (Ms skew : {0.0, kHour, -kHour, 10 * kSecond, -10 * kSecond}) {
    CAPTURE(skew);
    record::MemoryLogStorage disk;
    record::LogSettings terms;
    record::Log log(1, terms, disk, 7);
    std::vector<record::Entry> entries;
    for (record::Offset offset = 1; offset <= 3; ++offset) {
      record::Entry entry;
      entry.offset = offset;
      entry.token = 1;
      entry.stream = record::Stream::kRecalls;
      entry.key = offset == 3 ? "group/2" : "group/1";
      entry.tombstone = offset == 2;
      entry.written_at = kWritten + skew;
      entries.push_back(entry);
    }
    REQUIRE(log.AppendEntries(0, entries));
    log.Commit(3);
    auto plan = log.ProposePlan(kWritten + terms.tombstone_retention + 2 * kHour, 3, 1);
    REQUIRE(plan);
    CHECK(plan->remove_tombstones_up_to == 2);
    auto lagging = log.ProposePlan(kWritten + terms.tombstone_retention + 2 * kHour, 1,
                                   1);  // a subscriber has not passed it
    CHECK((!lagging || lagging->remove_tombstones_up_to == 0));
  }
}

// A front that was stopped, and restarted with a clock that was set back: its messages are numbered
// by that clock.
TEST_CASE("messages of a front restarted with a clock that was set back are accepted again") {
  using namespace drift;
  for (Ms back : {kHour, 10 * kSecond}) {
    CAPTURE(back);
    DriftSettings terms;
    terms.fronts = 3;
    std::map<Id, int> zones{{1, 0}, {2, 0}, {3, 0}};
    constexpr std::uint32_t kStarted = 1764576000;
    auto form = std::make_shared<const CanonicalConfiguration>(
        CanonicalConfiguration{{"sheet", {{"most_legs", "3"}}}});
    std::map<Id, Drift> fronts;
    auto start = [&](Id id, Ms now, std::uint32_t incarnation) {
      fronts.erase(id);
      Drift& front =
          fronts.emplace(id, Drift(id, zones, {}, terms, id, now, {incarnation, 0})).first->second;
      front.Handle(now, ActiveConfigurationChanged{*form});
      front.Handle(now, ApprovalUpdated{10, Approval{"ann", "", 0, 0, *form}});
      for (const auto& [other, zone] : zones)
        front.Handle(now, FrontApprovalUpdated{other, 10, Digest(*form), 0, 0, form});
    };
    auto run = [&](Ms from, Ms to) {
      for (Ms now = from; now <= to; now += 100)
        for (const auto& [id, zone] : zones) {
          if (fronts.count(id) == 0)
            continue;
          for (const drift::Action& action : fronts.at(id).Handle(now, Tick{})) {
            const auto* message = std::get_if<SendActiveReport>(&action);
            if (message && fronts.count(message->to))
              fronts.at(message->to).Handle(now, ReportReceived{id, message->report});
          }
        }
    };
    for (const auto& [id, zone] : zones)
      start(id, 0, kStarted);
    run(100, 20000);
    REQUIRE(fronts.at(2).FrontStates().at(1).status == drift::DriftStatus::kInSync);
    fronts.erase(1);
    run(20100, 40000);
    REQUIRE(fronts.at(2).FrontStates().at(1).status == drift::DriftStatus::kUnknown);
    start(1, 40000, kStarted - static_cast<std::uint32_t>(back / kSecond));
    run(40100, 60000);
    CHECK(fronts.at(2).FrontStates().at(1).status == drift::DriftStatus::kInSync);
    CHECK(fronts.at(3).FrontStates().at(1).status == drift::DriftStatus::kInSync);
  }
}
