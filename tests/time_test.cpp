// Stamps of other machines' clocks, off by an hour and by ten seconds, ahead and behind, as this
// front starts and later on. Each is played through the notice board's lines up to what a cache is
// asked for.
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
                         -10 * kSecond};  // the other machine's clock against this front's
constexpr Ms kPurgeDone = 6 * kSecond;    // of kit::sheet()
constexpr Ms kSlowStart = 15 * kSecond;   // likewise

std::string Stamp(Ms at) {
  return std::to_string(static_cast<long long>(at));
}

std::string PurgeNotice(std::uint64_t rev, Ms stamp) {
  return "{\"rev\":" + std::to_string(rev) +
         ",\"flush\":{\"asset\":\"7f3a\",\"ms\":" + Stamp(stamp) + "}}";
}

std::string ServerNotice(std::uint64_t rev, const std::string& id, Ms started, bool full = false,
                         const char* state = "in_service") {
  return "{\"rev\":" + std::to_string(rev) + ",\"pool\":{\"full\":" + (full ? "true" : "false") +
         ",\"servers\":[{\"id\":\"" + id +
         "\",\"addr\":\"127.0.0.9:5050\",\"zone\":\"e-1\",\"kind\":\"box\",\"weight\":6,\"state\":"
         "\"" +
         state + "\",\"started_ms\":" + Stamp(started) + "}]}}";
}

// A front's discovery on a socket, with five servers listed that started long ago, and a client
// that asks.
struct Discovery {
  ExchangeFixture desk{kit::Settings(), 5};
  FarListener listener;
  discovery::Discovery discovery{desk.loop, desk.exchange, MakeConnectionSettings(), listener.at};
  Far peer;
  std::uint64_t last = 1;
  int asked = 0;

  Ms Now() const {
    return desk.loop.now();
  }

  void Begin(const std::string& watch_events = "") {
    auto known = json::Read("{\"notices\":[" + watch_events + "],\"rev\":1}");
    REQUIRE(known);
    REQUIRE(discovery.begin(*known));
  }
  void Follow() {
    discovery.Follow();
    peer = listener.Next(desk.loop);
    BeUpToDate();
  }
  // Seconds pass, in each of which the board says that there is nothing new.
  void Wait(int seconds) {
    for (int i = 0; i < seconds; ++i) {
      desk.loop.Skip(kSecond);
      BeUpToDate();
    }
  }
  // An event of neither kind, and behind it the line that says it is the last.
  void BeUpToDate() {
    std::string rev = std::to_string(last + 1);
    Announce("{\"rev\":" + rev + "}\n" + rev);
  }
  // A notice that the board announces now.
  void Announce(const std::string& notice) {
    peer.Send(notice + "\n");
    ++last;
    Until(desk.loop, [&] { return discovery.Last() == last; });
  }
  // A request for a new object, or for the one that is purged; what a cache is then asked for.
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
      desk.exchange.OnAttemptResponseComplete({request, 0},
                                              MakeResponseHead(Ending::kFinished, Remark::kHit));
    }
    return attempt;
  }
};

// What a cache may be asked for after a purge that happened at `purged` on this front's clock,
// whatever its stamp said: no copy that is older, but one that was made since this front heard of
// it.
void CheckPurgeBinds(Discovery& d, Ms purged, Ms heard) {
  d.desk.loop.Skip(500);
  Ms since_heard = d.Now() - heard;
  SendAttempt attempt = d.Request("7f3a");
  REQUIRE(attempt.cache != 0);
  CHECK(attempt.oldest > 0);
  CHECK(attempt.oldest <= d.Now() - purged);
  CHECK(attempt.oldest >= since_heard - 2);
  // It ends: copies are as good as ever some time after all caches have dropped the older ones.
  d.desk.loop.Skip(3 * kPurgeDone);
  CHECK(d.Request("7f3a").oldest == 0);
}

// How many of a row of requests for different objects go to the server that was last listed.
int SentTo(Discovery& d, std::uint32_t server) {
  int count = 0;
  for (int i = 0; i < 400; ++i) {
    d.desk.loop.Skip(1);
    count += d.Request("object-" + std::to_string(d.asked)).cache == server;
  }
  return count;
}

// The number by which the exchange knows a server: the only one that is asked after the others are
// gone.
std::uint32_t NumberOf(const std::string& id) {
  Discovery d;
  d.Begin(ServerNotice(1, id, 0, true));
  for (int i = 0;; ++i) {
    REQUIRE(i < 100);
    if (std::uint32_t cache = d.Request("object-" + std::to_string(i)).cache; cache != 0)
      return cache;
  }
}

// Requests that a server gets once its slow start is over.
int SentToWarm(const std::string& id) {
  Discovery d;
  d.Begin();
  d.Follow();
  d.Announce(ServerNotice(d.last + 1, id, 0));
  d.desk.loop.Skip(kSlowStart + 2 * kSecond);
  return SentTo(d, NumberOf(id));
}

// A server whose start was just told gets what a cold one carries, and after the slow start what a
// warm one gets.
void CheckSlowStart(Discovery& d, const std::string& id, int warm) {
  std::uint32_t server = NumberOf(id);
  REQUIRE(warm > 40);
  CHECK(SentTo(d, server) <= warm / 2);
  d.desk.loop.Skip(kSlowStart + 2 * kSecond);
  CHECK(SentTo(d, server) >= warm * 8 / 10);
}

}  // namespace

TEST_CASE("a purge told in a change binds whatever its stamp says, and ends") {
  for (Ms skew : kSkews)
    for (Ms age : {50.0, 400.0}) {
      CAPTURE(skew);
      CAPTURE(age);
      Discovery d;
      d.Begin();
      d.Follow();
      Ms purged = d.Now() - age;
      d.Announce(PurgeNotice(d.last + 1, purged + skew));
      CheckPurgeBinds(d, purged, d.Now());
    }
}

TEST_CASE("a purge told at the start binds whatever its stamp says, and ends") {
  for (Ms skew : kSkews)
    for (Ms age : {50.0, 5500.0}) {
      CAPTURE(skew);
      CAPTURE(age);
      Discovery d;
      Ms purged = d.Now() - age;
      d.Begin(PurgeNotice(1, purged + skew));
      CheckPurgeBinds(d, purged, d.Now());
    }
}

TEST_CASE(
    "a purge told after the board's clock was stepped back binds, though one before it carries a "
    "later stamp") {
  Discovery d;
  d.Begin();
  d.Follow();
  d.Announce(PurgeNotice(d.last + 1, d.Now() + kHour));
  d.Wait(2);
  Ms purged = d.Now();
  d.Announce(PurgeNotice(d.last + 1, purged));
  CheckPurgeBinds(d, purged, d.Now());
}

TEST_CASE(
    "where clocks agree a purge counts from its stamp, at the start, in a change and after a "
    "silence") {
  for (bool at_start : {true, false})
    for (Ms age : {20.0, 250.0, 900.0}) {
      CAPTURE(at_start);
      CAPTURE(age);
      Discovery d;
      Ms purged = std::floor(d.Now()) - age;
      if (at_start)
        d.Begin(PurgeNotice(1, purged));
      else
        d.Begin();
      if (!at_start)
        d.Follow();
      if (!at_start)
        purged = std::floor(d.Now()) - age;
      if (!at_start)
        d.Announce(PurgeNotice(d.last + 1, purged));
      d.desk.loop.Skip(300);
      Ms before = d.Now();
      SendAttempt attempt = d.Request("7f3a");
      CHECK(attempt.oldest >= before - purged - 1);
      CHECK(attempt.oldest <= d.Now() - purged - 1);
    }
  Discovery d;
  d.Begin();
  d.Follow();
  d.desk.loop.Skip(1200);  // the board says nothing for a while, and then what it has
  Ms purged = std::floor(d.Now()) - 1100;
  d.Announce(PurgeNotice(d.last + 1, purged));
  Ms before = d.Now();
  SendAttempt attempt = d.Request("7f3a");
  CHECK(attempt.oldest >= before - purged - 1);
}

TEST_CASE("a server told of in a change starts slowly whatever its stamp says, and not for ever") {
  int warm = SentToWarm("s-new");
  for (Ms skew : kSkews) {
    CAPTURE(skew);
    Discovery d;
    d.Begin();
    d.Follow();
    d.Announce(ServerNotice(d.last + 1, "s-new", d.Now() - 300 + skew));
    CheckSlowStart(d, "s-new", warm);
  }
}

TEST_CASE(
    "a server listed at the start with a stamp ahead of now starts slowly, and not for ever") {
  int warm = SentToWarm("s-new");
  for (Ms skew : {kHour, 10 * kSecond}) {
    CAPTURE(skew);
    Discovery d;
    d.Begin(ServerNotice(1, "s-new", d.Now() - 300 + skew));
    CheckSlowStart(d, "s-new", warm);
  }
}

TEST_CASE("a server that restarts after its clock was stepped starts slowly again") {
  int warm = SentToWarm("s-new");
  for (Ms skew : kSkews) {
    CAPTURE(skew);
    Discovery d;
    d.Begin();
    d.Follow();
    d.Announce(ServerNotice(d.last + 1, "s-new", d.Now() - 300 + skew));
    d.Wait(40);
    d.Announce(ServerNotice(d.last + 1, "s-new", d.Now() - 300));
    CheckSlowStart(d, "s-new", warm);
  }
}

TEST_CASE("what else is told of a server does not begin its slow start anew") {
  int warm = SentToWarm("s-new");
  for (Ms skew : {0.0, kHour, -kHour, 10 * kSecond, -10 * kSecond}) {
    CAPTURE(skew);
    Discovery d;
    d.Begin();
    d.Follow();
    Ms stamp = d.Now() - 300 + skew;
    d.Announce(ServerNotice(d.last + 1, "s-new", stamp));
    d.Wait(17);
    d.Announce(ServerNotice(d.last + 1, "s-new", stamp));
    CHECK(SentTo(d, NumberOf("s-new")) >= warm * 8 / 10);
  }
}

TEST_CASE(
    "rules that are turned over know purges and starts by when they were told, not by their "
    "stamps") {
  auto known = [](const std::string& watch_events, std::uint64_t rev) {
    auto value =
        json::Read("{\"notices\":[" + watch_events + "],\"rev\":" + std::to_string(rev) + "}");
    REQUIRE(value);
    return *value;
  };
  for (Ms skew : kSkews) {
    CAPTURE(skew);
    int warm = SentToWarm("s-new");
    loop::Loop loop;
    generations::Generations rules(kit::Settings(), 1);
    exchange::Exchange exchange(loop, kit::Settings(), [&](Ms now, const Event& event) {
      return rules.Handle(now, event);
    });
    RecordingTransport caches;
    exchange.SetUpstreamTransport(caches);
    exchange.OnListUpdate(
        true,
        MakeEndpointList(
            {{"origin", {}}, {"s-0", {}}, {"s-1", {}}, {"s-2", {}}, {"s-3", {}}, {"s-4", {}}}));
    discovery::Discovery discovery(loop, exchange, MakeConnectionSettings(), FreeAddress());
    REQUIRE(discovery.begin(known("", 1)));
    Ms purged = loop.now();
    std::string news =
        PurgeNotice(2, purged + skew) + "," + ServerNotice(3, "s-new", purged + skew);
    REQUIRE(discovery.MoveTo(FreeAddress(), known(news, 3)));  // announced after the start
    loop.Skip(500);
    std::vector<Action> out;
    REQUIRE(rules.turn(loop.now(), kit::Settings(), out) != 0);
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
      exchange.OnAttemptResponseComplete({number, 0},
                                         MakeResponseHead(Ending::kFinished, Remark::kHit));
      return attempt;
    };
    SendAttempt attempt = request("7f3a");
    CHECK(attempt.oldest >= 498);
    CHECK(attempt.oldest <= loop.now() - purged);
    auto sent = [&] {
      std::uint32_t server = NumberOf("s-new");
      int count = 0;
      for (int i = 0; i < 400; ++i) {
        loop.Skip(1);
        count += request("object-" + std::to_string(i)).cache == server;
      }
      return count;
    };
    CHECK(sent() <= warm / 2);
    loop.Skip(kSlowStart + 2 * kSecond);
    CHECK(sent() >= warm * 8 / 10);
  }
}

TEST_CASE("where clocks agree a slow start goes by its stamp") {
  int warm = SentToWarm("s-new");
  Discovery d;
  d.Begin(ServerNotice(1, "s-new",
                       d.Now() - kSlowStart - kSecond));  // listed at the start, warm by then
  CHECK(SentTo(d, NumberOf("s-new")) >= warm * 8 / 10);
  Discovery late;
  late.Begin();
  late.Follow();
  late.Announce(ServerNotice(late.last + 1, "s-new",
                             late.Now() - 4 * kSecond));  // it took four seconds to be listed
  late.desk.loop.Skip(kSlowStart - 4 * kSecond);
  CHECK(SentTo(late, NumberOf("s-new")) >= warm * 8 / 10);
}

TEST_CASE("when the origin gave out a copy, by its clock, is told on and changes nothing else") {
  std::set<std::string> tags;
  for (Ms skew : {0.0, kHour, -kHour, 10 * kSecond, -10 * kSecond}) {
    auto answer = caches::ParseResponseLine(
        "9b1f HIT entity=t1,issued=" + Stamp(1.76e12 + skew) + ",remark=local 5", {});
    REQUIRE(answer);
    CHECK(answer->head.result == Ending::kFinished);
    CHECK(answer->head.has_issue_time);
    CHECK(answer->head.cache_status == Remark::kHit);
    tags.insert(answer->head.entity_tag);
  }
  CHECK(tags.size() == 1);
}

TEST_CASE(
    "an approval's term is held within its bounds by whatever clock it was given, and begins "
    "once") {
  using namespace drift;
  for (Ms skew : {0.0, kHour, -kHour, 10 * kSecond, -10 * kSecond}) {
    CAPTURE(skew);
    DriftSettings terms;
    terms.fronts = 2;
    Drift front(1, {{1, 0}, {2, 0}}, {}, terms, 1, 0, {});
    auto form = std::make_shared<const CanonicalConfiguration>(
        CanonicalConfiguration{{"sheet", {{"most_legs", "3"}}}});
    front.Handle(0, ActiveConfigurationChanged{*form});
    front.Handle(0, LeaseUpdated{1});  // the owner's verdict needs no others
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
    "a recall read at a start is never taken for older than it is, by a writer's clock an hour "
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

TEST_CASE("a tombstone is let go in the end, by a writer's clock an hour off") {
  constexpr Ms kWritten = 1.76e12;
  for (Ms skew : {0.0, kHour, -kHour, 10 * kSecond, -10 * kSecond}) {
    CAPTURE(skew);
    record::MemoryDisk disk;
    record::LogTerms terms;
    record::Log log(1, terms, disk, 7);
    std::vector<record::Entry> entries;
    for (record::Offset offset = 1; offset <= 3; ++offset) {
      record::Entry entry;
      entry.offset = offset;
      entry.token = 1;
      entry.stream = record::Stream::kRecalls;
      entry.key = offset == 3 ? "group/2" : "group/1";
      entry.tombstone = offset == 2;
      entry.at = kWritten + skew;
      entries.push_back(entry);
    }
    REQUIRE(log.append(0, entries));
    log.Commit(3);
    auto plan = log.Worth(kWritten + terms.tombstone_term + 2 * kHour, 3, 1);
    REQUIRE(plan);
    CHECK(plan->forget == 2);
    auto lagging = log.Worth(kWritten + terms.tombstone_term + 2 * kHour, 1,
                             1);  // a subscriber has not passed it
    CHECK((!lagging || lagging->forget == 0));
  }
}

// A front that was stopped, and started again under a clock that was set back: its words are
// numbered by that clock.
TEST_CASE("a front restarted under a clock that was set back is heard again") {
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
            const auto* tell = std::get_if<SendActiveReport>(&action);
            if (tell && fronts.count(tell->to))
              fronts.at(tell->to).Handle(now, ReportReceived{id, tell->report});
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
