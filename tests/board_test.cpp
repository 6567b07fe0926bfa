// The client of the discovery service on sockets, against a fake service that sends plain bytes.
#include <poll.h>
#include <sys/resource.h>

#include <map>
#include <optional>

#include "board/board.hpp"
#include "json/json.hpp"
#include "log/log.hpp"
#include "sides.hpp"

using namespace kit;

namespace {

constexpr std::size_t kBound = 1 << 20;  // of a line, including the line break

std::string Purge(std::uint64_t rev) {
  return "{\"rev\":" + std::to_string(rev) + ",\"flush\":{\"collection\":3,\"ms\":1}}\n";
}

std::string Server(const std::string& name, const std::string& state = "in_service",
                   const std::string& more = "") {
  return "{\"id\":\"" + name +
         "\",\"addr\":\"127.0.0.9:5050\",\"zone\":\"e-1\",\"kind\":\"box\",\"state\":\"" + state +
         "\"" + more + "}";
}

std::string Servers(std::uint64_t rev, const std::string& all, bool full = false) {
  return "{\"rev\":" + std::to_string(rev) + ",\"pool\":{\"full\":" + (full ? "true" : "false") +
         ",\"servers\":[" + all + "]}}";
}

json::Value Known(const std::string& watch_events, std::uint64_t rev) {
  return *json::Parse("{\"notices\":[" + watch_events + "],\"rev\":" + std::to_string(rev) + "}");
}

// A fake for the caches that records the announced endpoint list.
struct RecordingCaches final : exchange::UpstreamTransport {
  std::vector<std::uint32_t> sent;
  std::map<std::string, ListEntry> listed;
  int calls = 0;
  std::uint64_t Send(AttemptKey, const RequestMetadata&, const SendAttempt& how,
                     const std::vector<std::uint64_t>&) override {
    sent.push_back(how.endpoint);
    return sent.size();
  }
  void Cancel(AttemptKey, const RequestMetadata&, std::uint32_t) override {}
  bool CancelUnsent(AttemptKey, const RequestMetadata&, std::uint32_t) override {
    return false;
  }
  void Probe(std::uint32_t) override {}
  void UpdateEndpoint(const ListEntry& entry, const std::string& id,
                      const loop::Address&) override {
    listed[id] = entry;
    ++calls;
  }
  void RemoveEndpoint(std::uint32_t) override {}
};

// A client that has event 1 and watches the service, and its log lines.
struct Watch {
  std::vector<std::string> log_lines;
  ExchangeFixture d;
  log::Log log{[this] { return d.loop.now(); },
               [this](std::string_view line) {
                 log_lines.emplace_back(line);
               }};
  log::ScopedLog use{log};
  FarListener far;
  discovery::DiscoveryClient b{d.loop, d.exchange, MakeConnectionSettings(), far.at};
  exchange::Counters& counters = d.exchange.counters;
  Far peer;

  explicit Watch(bool watches = true) {
    assert(b.ApplyInitialEvents(Known(Purge(1), 1)) && counters.purges == 1);
    if (!watches)
      return;
    b.StartWatch();
    peer = Next(far);
  }
  // The next connection to the service, once it has requested the events after `last`.
  Far Next(FarListener& at, std::uint64_t last = 1) {
    Far f = at.Next(d.loop);
    ExpectWatch(f, last);
    return f;
  }
  void ExpectWatch(Far& f, std::uint64_t last) {
    std::string wanted = "watch " + std::to_string(last) + "\n";
    Until(d.loop, [&] { return f.Hears(wanted); });
    assert(f.got == wanted);
  }
  void ExpectDelivered(std::uint64_t last) {
    Until(d.loop, [&] { return b.LastRevision() >= last; });
    assert(b.LastRevision() == last && counters.purges == last);  // each once
  }
  // Sends as fast as the kernel accepts it.
  void SendAll(Far& f, std::string_view text) {
    while (!text.empty()) {
      ssize_t n = ::send(f.fd.Get(), text.data(), text.size(), MSG_NOSIGNAL);
      if (n < 0 && errno != EAGAIN)
        return;  // the client has closed it
      if (n > 0)
        text.remove_prefix(static_cast<std::size_t>(n));
      else
        d.loop.RunOnce(1);
    }
  }
  // Waits for the given time, or until the client closes the connection. Returns whether it is
  // open.
  bool StaysOpen(Far& f, Ms time) {
    constexpr Ms kStep = 50;
    for (Ms end = d.loop.now() + time; d.loop.now() < end && !f.over;) {
      d.loop.AdvanceClock(std::min(kStep, end - d.loop.now()));
      for (int iterations = 0; iterations < 3; ++iterations)
        d.loop.RunOnce(1);
      f.Read();
    }
    return !f.over;
  }
  // Sends a byte every tenth of a second for the given time; stops when the client closes the
  // connection, and returns when that was.
  int SendSlowly(Far& f, int tenths) {
    for (int i = 0; i < tenths; ++i) {
      f.Send("x");
      for (int iterations = 0; iterations < 3; ++iterations)
        d.loop.RunOnce(1);
      d.loop.AdvanceClock(100);
      d.loop.RunOnce(1);
      f.Read();
      if (f.over)
        return i;
    }
    return tenths;
  }
};

void TheServiceIsWatchedWithoutGapOrRepeat() {
  ExchangeFixture d;
  FarListener far;
  discovery::DiscoveryClient b(d.loop, d.exchange, MakeConnectionSettings(), far.at);
  assert(!b.ApplyInitialEvents(*json::Parse("{\"notices\":[{}],\"rev\":1}")) &&
         !b.ApplyInitialEvents(*json::Parse("{\"rev\":1}")));
  assert(b.ApplyInitialEvents(
      *json::Parse("{\"notices\":[{\"rev\":1,\"flush\":{\"asset\":\"a\",\"ms\":1}}],\"rev\":1}")));
  b.StartWatch();
  auto event = [](int rev) {
    return "{\"rev\":" + std::to_string(rev) + ",\"flush\":{\"collection\":3,\"ms\":1}}\n";
  };
  auto& purges = d.exchange.counters.purges;
  std::uint64_t last = 1;
  // What makes the client reconnect: a gap, invalid input, a revision beyond its own, a close, and
  // silence.
  for (const std::string& invalid_input : {event(9), std::string("junk\n"), std::string("99\n"),
                                           std::string("close"), std::string("silence")}) {
    Far peer = far.Next(d.loop);
    Until(d.loop, [&] { return peer.Hears("watch " + std::to_string(last) + "\n"); });
    std::uint64_t seen = purges;
    peer.Send(event(static_cast<int>(last)) + "1\n" +
              event(static_cast<int>(last) + 1));  // one is a duplicate
    Until(d.loop, [&] { return b.LastRevision() == last + 1; });
    assert(purges == seen + 1);
    ++last;
    if (invalid_input == "close")
      peer.fd.Reset();
    else if (invalid_input != "silence")
      peer.Send(invalid_input);
    std::uint64_t connections = d.exchange.counters.discovery_connections;
    Until(d.loop, [&] { return d.exchange.counters.discovery_connections > connections; });
    assert(purges == seen + 1 && b.LastRevision() == last);
  }
}

// ---- silence

void APartialLineCountsAsSilence() {
  Watch w;
  for (std::uint64_t rev = 2; rev < 8;
       ++rev) {  // a line each second keeps it open, also one in two pieces
    std::string line = Purge(rev);
    w.peer.Send(line.substr(0, 9));
    for (int iterations = 0; iterations < 3; ++iterations)
      w.d.loop.RunOnce(1);
    w.d.loop.AdvanceClock(800);
    w.peer.Send(line.substr(9));
    w.ExpectDelivered(rev);
  }
  assert(w.counters.discovery_connections == 1);
  assert(w.SendSlowly(w.peer, 60) < 60);
  w.Next(w.far, 7);
}

void ALongFirstLineIsReceivedEventually() {
  Watch w;
  std::string line = Purge(2);
  line.insert(line.size() - 1, std::string(52, ' '));
  int connections = 1;
  for (bool whole = false; !whole; ++connections) {  // it takes five seconds to arrive, each time
    assert(connections < 6);
    std::size_t piece = (line.size() + 49) / 50;
    for (std::size_t at = 0; at < line.size() && !w.peer.over; at += piece) {
      w.peer.Send(line.substr(at, piece));
      for (int iterations = 0; iterations < 3; ++iterations)
        w.d.loop.RunOnce(1);
      w.d.loop.AdvanceClock(100);
      w.d.loop.RunOnce(1);
      w.peer.Read();
    }
    whole = !w.peer.over;
    if (!whole)
      w.peer = w.Next(w.far);
  }
  w.ExpectDelivered(2);
  // After a complete line the limit for silence is the initial one again.
  assert(w.SendSlowly(w.peer, 30) < 30);
  w.peer = w.Next(w.far, 2);
}

void NoLineIsAwaitedLongerThanAnEventTakesToBecomeEffective() {
  Watch w;
  for (int i = 0; i < 6; ++i) {
    assert(w.SendSlowly(w.peer, 90) < 90);
    w.peer = w.Next(w.far);
  }
}

// Guards against a watch that is given up before a crowded service answers it, on every connection:
// after a new configuration nothing was received, and purged copies were served.
void AServiceThatAnswersLateIsHeardOnTheFirstConnection() {
  constexpr Ms kCallTimeout = 2000;  // by then the service has answered a call or refused it
  for (bool switched : {false, true}) {
    Watch w;
    FarListener other;
    Far peer = std::move(w.peer);
    if (switched) {
      peer.Send("1\n");
      w.StaysOpen(peer, 100);
      assert(w.b.SwitchTo(other.at, Known("", 1)));
      peer = w.Next(other);
    }
    std::uint64_t connections = w.counters.discovery_connections;
    assert(w.StaysOpen(peer, kCallTimeout));
    peer.Send(Purge(2));
    w.ExpectDelivered(2);
    assert(w.counters.discovery_connections == connections && w.counters.unanswered_watches == 0);
  }
}

// The same failure where the connection before had brought lines, and was closed by the service.
void ALateAnswerIsHeardAfterAWatchThatBroke() {
  constexpr Ms kCallTimeout = 2000;
  Watch w;
  w.peer.Send(Purge(2));
  w.ExpectDelivered(2);
  w.peer.fd.Reset();
  Far again = w.Next(w.far, 2);
  assert(w.StaysOpen(again, kCallTimeout));
  again.Send(Purge(3));
  w.ExpectDelivered(3);
}

// The same failure with answers that are later than the first limit: heard before the time at which
// an event counts as announced has passed twice, and with few calls.
void AServiceThatAnswersVeryLateIsHeardEventually() {
  constexpr Ms kAnswerAfter = 4500;
  constexpr Ms kAnnounced = 7000;
  Watch w;
  Ms began = w.d.loop.now();
  while (!w.StaysOpen(w.peer, kAnswerAfter)) {
    assert(w.counters.discovery_connections < 4);
    w.peer = w.Next(w.far);
  }
  w.peer.Send(Purge(2));
  w.ExpectDelivered(2);
  assert(w.d.loop.now() - began < 2 * kAnnounced);
  assert(w.counters.unanswered_watches == w.counters.discovery_connections - 1);
}

// A watch that was answered and falls silent is given up as soon as before, however long its first
// line took: each time it is the next connection that brings the news.
void AnAnsweredWatchThatFallsSilentIsGivenUpSoon() {
  constexpr Ms kHeartbeat = 1000;
  Watch w;
  assert(w.StaysOpen(w.peer, 2 * kHeartbeat));
  w.peer.Send("1\n");
  assert(w.StaysOpen(w.peer, kHeartbeat) && !w.StaysOpen(w.peer, kHeartbeat));
  w.Next(w.far);
  assert(w.counters.unanswered_watches == 0);
}

// ---- lines and reads

void AnEventSplitAtAnyByteCountsOnce() {
  Watch w;
  std::uint64_t rev = 1;
  for (const char* end : {"\n", "\r\n"}) {
    std::string line = Purge(++rev);
    line.replace(line.size() - 1, 1, end);
    for (std::size_t cut = 1; cut < line.size(); ++cut) {
      w.peer.Send(line.substr(0, cut));
      for (int iterations = 0; iterations < 3; ++iterations)
        w.d.loop.RunOnce(1);
      assert(w.b.LastRevision() == rev - 1);
      w.peer.Send(line.substr(cut));
      w.ExpectDelivered(rev);
      line = Purge(++rev);
      line.replace(line.size() - 1, 1, end);
    }
    --rev;
  }
  std::string line = Purge(++rev);
  for (char c : line) {  // each byte on its own
    assert(w.b.LastRevision() == rev - 1);
    w.peer.Send({&c, 1});
    for (int iterations = 0; iterations < 3; ++iterations)
      w.d.loop.RunOnce(1);
  }
  w.ExpectDelivered(rev);
  assert(w.counters.discovery_connections == 1 && w.counters.bad_watch_events == 0);
}

void AGapInOneReadEndsTheConnection() {
  for (const std::string& invalid_input :
       {Purge(5), std::string("junk\n"), std::string("\n"), std::string("9\n")}) {
    Watch w;
    w.peer.Send(Purge(2) + Purge(3) + invalid_input + Purge(4) +
                Purge(5));  // the rest after it is not read
    w.ExpectDelivered(3);
    Far again = w.Next(w.far, 3);
    assert(w.counters.bad_watch_events == 1 && w.counters.discovery_connections == 2 &&
           w.log_lines.size() == 1);
    w.peer.Send(Purge(4));  // the old connection sends more
    again.Send("3\n" + Purge(4) + Purge(5));
    w.ExpectDelivered(5);
    assert(w.counters.bad_watch_events == 1 && w.counters.discovery_connections == 2);
  }
}

void ALineIsBoundedHoweverTheReadsAreSplit() {
  for (std::size_t over : {0, 1, 2, 9000})
    for (std::size_t before : {0, 1, 5000}) {
      Watch w;
      std::string line = Purge(2);
      line.insert(line.size() - 1, std::string(kBound + over - line.size(), ' '));
      assert(line.size() == kBound + over);
      std::string first = before > 0 ? std::string(before, '0') + "\n"
                                     : std::string();  // splits the reads differently
      w.SendAll(w.peer, first + line);
      if (over == 0) {
        w.ExpectDelivered(2);
        assert(w.counters.bad_watch_events == 0);
      } else {
        w.Next(w.far);
        assert(w.counters.bad_watch_events == 1 && w.b.LastRevision() == 1 &&
               w.counters.purges == 1);
      }
    }
}

void TheLastEventBeforeACloseCounts() {
  for (bool resets : {false, true}) {
    Watch w;
    w.peer.Send(Purge(2) + Purge(3) + Purge(4).substr(0, 20));
    if (resets)
      w.peer.Reset();
    else
      w.peer.fd.Reset();
    w.ExpectDelivered(3);
    Far again = w.Next(w.far, 3);  // the partial line was ignored and is sent again
    again.Send(Purge(4));
    w.ExpectDelivered(4);
  }
}

// ---- another address

void SwitchedDuringTheBackoff() {
  Watch w;
  FarListener other;
  w.peer.fd.Reset();
  Until(w.d.loop, [&] { return !w.log_lines.empty(); });  // ended, and waiting for the backoff
  assert(w.b.SwitchTo(other.at, Known("", 1)));
  Far there = w.Next(other);
  assert(w.counters.discovery_connections == 2);
  for (int i = 0; i < 8; ++i) {
    w.d.loop.AdvanceClock(50);
    w.d.loop.RunOnce(1);
  }
  assert(w.counters.discovery_connections == 2);  // the pending reconnect opens no second one
  there.Send(Purge(2));
  w.ExpectDelivered(2);
}

void SwitchedWhileConnecting() {
  Watch w;
  FarListener other, hung(0);
  std::vector<loop::Descriptor>
      fill;  // fills its backlog: no more connections are established there
  for (int i = 0; i < 4; ++i) {
    fill.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    ::connect(fill.back().Get(), reinterpret_cast<const sockaddr*>(&hung.at), sizeof hung.at);
  }
  assert(w.b.SwitchTo(hung.at, Known("", 1)));
  for (int i = 0; i < 5; ++i)
    w.d.loop.RunOnce(1);
  assert(w.b.SwitchTo(other.at, Known("", 1)));
  Far there = w.Next(other);
  for (int i = 0; i < 5; ++i) {
    w.d.loop.AdvanceClock(100);
    w.d.loop.RunOnce(1);
  }  // the old connect timeout is over
  assert(w.counters.discovery_connections == 3 && w.log_lines.empty());
  there.Send(Purge(2));
  w.ExpectDelivered(2);
}

void SwitchedTwiceAndToTheSameAddress() {
  Watch w;
  FarListener second, third;
  assert(w.b.SwitchTo(second.at, Known("", 1)) && w.b.SwitchTo(third.at, Known("", 1)));
  Far there = w.Next(third);
  Far left = second.Next(w.d.loop);
  left.Send(Purge(2) + Purge(3));
  Until(w.d.loop, [&] {
    left.Read();
    return left.over;
  });
  assert(w.b.LastRevision() == 1);
  there.Send(Purge(2));
  w.ExpectDelivered(2);
  assert(w.b.SwitchTo(third.at, Known("", 2)));
  Far again = w.Next(third, 2);
  there.Send(Purge(3));
  again.Send(Purge(3));
  w.ExpectDelivered(3);
  assert(w.counters.discovery_connections == 4 && w.log_lines.empty());
}

void SwitchedWithEventsThatHaveAGap() {
  Watch w;
  FarListener other;
  // 2 and 3 are consecutive; 5 is not, since 4 is missing; 1 was delivered before.
  assert(w.b.SwitchTo(other.at,
                      Known(Purge(1) + "," + Purge(2) + "," + Purge(3) + "," + Purge(5), 5)));
  assert(w.b.LastRevision() == 3 && w.counters.purges == 3);
  Far there = w.Next(other, 3);
  there.Send(Purge(4) + Purge(5));
  w.ExpectDelivered(5);
  assert(w.b.SwitchTo(w.far.at, Known(Purge(1) + "," + Purge(2), 2)));  // all are older
  there = w.Next(w.far, 5);
  there.Send("2\n" + Purge(2) + Purge(6));
  w.ExpectDelivered(6);
  assert(w.counters.discovery_connections == 3 && w.counters.bad_watch_events == 0);
}

void SwitchingWithMalformedEventsChangesNothing() {
  Watch w;
  FarListener other;
  for (const std::string& bad :
       {std::string("{}"), std::string("[]"), std::string("{\"rev\":2}"),
        std::string("{\"rev\":2,\"notices\":{}}"), std::string("{\"notices\":[]}"),
        std::string("{\"rev\":-1,\"notices\":[]}"), std::string("{\"rev\":1e300,\"notices\":[]}"),
        std::string("{\"rev\":\"2\",\"notices\":[]}"),
        "{\"rev\":3,\"notices\":[" + Purge(2) + ",{\"rev\":3,\"pool\":1}]}",
        // Beyond the stated last revision: it is unclear from which one to watch.
        "{\"rev\":2,\"notices\":[" + Purge(2) + "," + Purge(3) + "]}"}) {
    assert(!w.b.SwitchTo(other.at, *json::Parse(bad)));
    ExchangeFixture fresh;
    discovery::DiscoveryClient unborn(fresh.loop, fresh.exchange, MakeConnectionSettings(),
                                      other.at);
    assert(!unborn.ApplyInitialEvents(*json::Parse(bad)) && fresh.exchange.counters.purges == 0);
  }
  assert(w.b.LastRevision() == 1 && w.counters.purges == 1);
  w.peer.Send(Purge(2));  // the old service is still watched
  w.ExpectDelivered(2);
  assert(w.counters.discovery_connections == 1 && w.log_lines.empty());
  pollfd asked{other.fd.Get(), POLLIN, 0};
  assert(::poll(&asked, 1, 0) == 0);
}

// Runs in an iteration of the loop before or after the client's connection.
struct LoopHook final : loop::Handler {
  loop::Loop& loop;
  loop::Descriptor near;
  loop::Descriptor far;
  std::function<void()> what;
  explicit LoopHook(loop::Loop& l) : loop(l) {
    int ends[2];
    assert(::pipe(ends) == 0);
    near = loop::Descriptor(ends[0]);
    far = loop::Descriptor(ends[1]);
    loop.WatchDescriptor(near.Get(), *this, POLLIN);
  }
  void Arm(std::function<void()> w) {
    what = std::move(w);
    assert(::write(far.Get(), "x", 1) == 1);
  }
  void OnReady(short) override {
    loop.Unwatch(near.Get());
    what();
  }
};

void SwitchedWithAnUnreadEventOrDuringTheFailingWrite() {
  for (bool before : {false, true})
    for (const std::string& last : {Purge(2), Purge(2).substr(0, 20), Purge(2) + "junk\n",
                                    Purge(2) + Purge(9), Purge(2) + "close"}) {
      Watch w(false);
      FarListener other;
      std::optional<LoopHook> hook;
      if (before)
        hook.emplace(w.d.loop);  // descriptors are handled in their order
      w.b.StartWatch();
      w.peer = w.Next(w.far);
      if (!before)
        hook.emplace(w.d.loop);
      bool closes = last.ends_with("close");
      w.peer.Send(closes ? last.substr(0, last.size() - 5) : last);
      if (closes)
        w.peer.fd.Reset();
      bool moved = false;
      hook->Arm([&] {
        std::uint64_t had = w.b.LastRevision();
        assert(w.b.SwitchTo(other.at, Known("", 1)) && w.b.LastRevision() == had);
        moved = true;
      });
      Until(w.d.loop, [&] { return moved; });
      std::uint64_t had = w.b.LastRevision();
      Far there = w.Next(other, had);
      there.Send(Purge(2) + Purge(3));  // delivered once, whether the old one's was read or not
      w.ExpectDelivered(3);
      for (int i = 0; i < 5; ++i) {
        w.d.loop.AdvanceClock(100);
        w.d.loop.RunOnce(1);
      }
      assert(w.counters.discovery_connections == 2);
    }
}

// ---- faulty services

void AServiceWithAnOlderRevisionRepeatsNothing() {
  Watch w;
  RecordingCaches noted;
  w.d.exchange.SetUpstreamTransport(noted);
  w.peer.Send(Servers(2, Server("s-a") + "," + Server("s-b"), true) + "\n" +
              Servers(3, Server("s-a", "terminating")) + "\n");
  Until(w.d.loop, [&] { return w.b.LastRevision() == 3; });
  std::uint64_t lists = w.counters.list_updates;
  w.peer.fd.Reset();
  Far again = w.Next(w.far, 3);
  again.Send("0\n1\n" + Purge(1) + Servers(2, Server("s-a"), true) + "\n2\n" +
             Servers(3, Server("s-a")) + "\n" + Purge(4));
  Until(w.d.loop, [&] { return w.b.LastRevision() == 4; });
  assert(w.counters.list_updates == lists && w.counters.purges == 2 &&
         w.counters.discovery_connections == 2);
  assert(noted.calls == 3 && noted.listed["s-a"].state == EndpointState::kDraining);
  std::vector<RecordingResponseSink> asked(20);
  for (int i = 0; i < 20; ++i) {
    RequestMetadata ask = MakeRequest("00000000000000" + std::to_string(10 + i));
    ask.object = "o" + std::to_string(i);
    w.d.exchange.OnRequest(ask, asked[static_cast<std::size_t>(i)]);
  }
  assert(!noted.sent.empty());
  for (std::uint32_t cache : noted.sent)
    assert(cache == noted.listed["s-b"].id);
}

// Whatever ends its connections, the client does not reconnect at full speed.
void AServiceThatClosesEachConnectionIsContactedWithBackoff() {
  for (const char* word :
       {"", "0\n", "1\n", "1\njunk\n", "9\n", "{\"rev\":9}\n", "0\n1\n{\"rev\":1}\n\n"}) {
    Watch w;
    Ms start = w.d.loop.now(), last = start;
    std::uint64_t before = w.counters.discovery_connections;
    std::size_t stalls = 0;  // of this host: a connection may have stayed open for long
    for (int i = 0; i < 300; ++i) {
      if (w.peer.fd) {
        w.peer.Send(word);
        w.peer.fd.Reset();
      }
      int accepted = ::accept4(w.far.fd.Get(), nullptr, nullptr, SOCK_NONBLOCK);
      if (accepted >= 0)
        w.peer = Far(loop::Descriptor(accepted));
      w.d.loop.RunOnce(1);
      w.d.loop.AdvanceClock(10);
      stalls += w.d.loop.now() - last > 200;
      last = w.d.loop.now();
    }
    // 20, 40, 80, 160, 320 and then 500 ms.
    double most = 7.0 * static_cast<double>(1 + stalls) + (last - start) / 500;
    std::uint64_t asked = w.counters.discovery_connections - before;
    assert(asked >= 3 && static_cast<double>(asked) <= most);
    assert(w.log_lines.size() <= 1 + stalls);
  }
}

void ALackOfDescriptorsDoesNotSpin() {
  Watch w(false);
  rlimit before{}, none{};
  ::getrlimit(RLIMIT_NOFILE, &before);
  none = before;
  loop::Descriptor free(::dup(0));
  none.rlim_cur = static_cast<rlim_t>(free.Get());
  free.Reset();
  ::setrlimit(RLIMIT_NOFILE, &none);
  Ms start = w.d.loop.now();
  w.b.StartWatch();
  for (int i = 0; i < 300; ++i) {
    w.d.loop.RunOnce(1);
    w.d.loop.AdvanceClock(10);
  }
  double most = 7 + (w.d.loop.now() - start) / 500;
  ::setrlimit(RLIMIT_NOFILE, &before);
  assert(w.counters.discovery_connections >= 3 &&
         static_cast<double>(w.counters.discovery_connections) <= most);
  assert(w.log_lines.size() == 1 &&
         w.log_lines[0].find("local resource shortage") != std::string::npos);
  Far peer = w.Next(w.far);
  peer.Send(Purge(2));
  w.ExpectDelivered(2);
}

// ---- bad lists

void ABadLineEndsTheWatchAndNothingElse() {
  auto entry = [](const std::string& more) {
    return Servers(2, Server("s-new") + "," + more, true);
  };
  auto field = [&](const std::string& more) {
    return entry(Server("s-EVIL", "in_service", more));
  };
  auto flush = [](const std::string& what) {
    return "{\"rev\":2,\"flush\":{" + what + "}}";
  };
  const std::vector<std::string> bad = {
      "EVIL",
      "",
      "{\"rev\":2",
      "{\"rev\":2} EVIL",
      "{\"rev\":NaN}",
      "{\"rev\":Infinity}",
      "{\"rev\":1e999}",
      "{\"rev\":1e300}",
      "{\"rev\":-1}",
      "{\"rev\":1.5}",
      "{\"rev\":\"2\"}",
      "{\"rev\":2,\"rev\":2}",
      "{}",
      "[2]",
      "\"2\"",
      "-1",
      "1e0",
      "18446744073709551616",
      std::string(40, '[') + std::string(40, ']'),
      std::string(100000, '['),
      "{\"rev\":2,\"EVIL\":" + std::string(500, '[') + std::string(500, ']') + "}",
      std::string("\xef\xbb\xbf{\"rev\":2}"),
      std::string("{\"rev\":2}\0EVIL", 14),
      "\x1b[31mEVIL\xff\xfe",
      "{\"rev\":2,\"EVIL\":\"\xff\"}",
      "{\"rev\":2,\"pool\":{}}",
      "{\"rev\":2,\"pool\":[]}",
      "{\"rev\":2,\"pool\":{\"servers\":{}}}",
      entry("7"),
      entry("{}"),
      entry("null"),
      entry(Server("")),
      entry(Server("s EVIL")),
      entry(Server("s,EVIL")),
      entry(Server("s\\r\\nEVIL")),
      entry(Server("s\\u0000EVIL")),
      entry(Server("s\\tEVIL")),
      entry(Server("s-EVIL", "EVIL")),
      entry("{\"id\":\"s-EVIL\",\"addr\":\"127.0.0.1\",\"state\":\"in_service\"}"),
      entry("{\"id\":\"s-EVIL\",\"addr\":\"127.0.0.1:0\",\"state\":\"in_service\"}"),
      entry("{\"id\":\"s-EVIL\",\"addr\":\"127.0.0.1:65536\",\"state\":\"in_service\"}"),
      entry("{\"id\":\"s-EVIL\",\"addr\":\"EVIL:80\",\"state\":\"in_service\"}"),
      field(",\"weight\":1e300"),
      field(",\"weight\":-1e300"),
      field(",\"weight\":1e999"),
      field(",\"started_ms\":1e300"),
      field(",\"started_ms\":-1e300"),
      flush(""),
      flush("\"asset\":\"EVIL\""),
      flush("\"asset\":\"EVIL\",\"ms\":\"1\""),
      flush("\"ms\":1"),
      flush("\"collection\":-1,\"ms\":1"),
      flush("\"collection\":65536,\"ms\":1"),
      flush("\"collection\":1e300,\"ms\":1"),
      flush("\"asset\":\"EVIL\",\"collection\":1e300,\"ms\":1"),
      flush("\"asset\":\"EVIL\",\"ms\":1e300"),
      flush("\"collection\":1,\"ms\":-1e300")};
  for (const std::string& line : bad) {
    Watch w;
    RecordingCaches noted;
    w.d.exchange.SetUpstreamTransport(noted);
    std::uint64_t lists = w.counters.list_updates;
    w.SendAll(w.peer, line + "\n" + Purge(2));
    Far again = w.Next(w.far);
    assert(w.counters.bad_watch_events == 1 && w.counters.discovery_connections == 2);
    assert(w.log_lines == std::vector<std::string>{
                              "discovery service: connection ended (malformed) after event 1"});
    assert(w.b.LastRevision() == 1 && w.counters.purges == 1 && w.counters.list_updates == lists &&
           noted.calls == 0);
    RecordingResponseSink asked;
    w.d.exchange.OnRequest(MakeRequest(), asked);  // the endpoints listed before still serve
    assert(noted.sent.size() == 1);
    again.Send(Purge(2));
    w.ExpectDelivered(2);
  }
}

// Unusual but valid entries are accepted.
void UnusualEntriesAreAccepted() {
  Watch w;
  RecordingCaches noted;
  w.d.exchange.SetUpstreamTransport(noted);
  w.peer.Send(
      Servers(2,
              "{\"id\":\"s-bare\",\"addr\":\"127.0.0.1:1\",\"state\":\"in_service\"}," +
                  Server("s-light", "in_service", ",\"weight\":-4,\"cell\":-1e300") + "," +
                  Server("s-nil", "in_service", ",\"weight\":0,\"cell\":1e300,\"started_ms\":-1") +
                  "," +
                  Server("s-words", "in_service",
                         ",\"weight\":\"x\",\"cell\":[],\"EVIL\":{\"EVIL\":null}") +
                  "," + Server("s-twice") + "," + Server("s-twice", "terminating"),
              true) +
      "\n" + Servers(3, "") + "\n");
  Until(w.d.loop, [&] { return w.b.LastRevision() == 3; });
  assert(w.counters.bad_watch_events == 0 && w.log_lines.empty() && noted.calls == 6 &&
         noted.listed.size() == 5);
  assert(noted.listed["s-twice"].state == EndpointState::kDraining);  // the last entry counts
  std::vector<RecordingResponseSink> asked(40);
  for (int i = 0; i < 40; ++i) {
    RequestMetadata ask = MakeRequest("00000000000000" + std::to_string(10 + i));
    ask.object = "o" + std::to_string(i);
    w.d.exchange.OnRequest(ask, asked[static_cast<std::size_t>(i)]);
  }
  assert(!noted.sent.empty());
  for (std::uint32_t cache : noted.sent)
    assert(cache != noted.listed["s-twice"].id);
  w.d.loop.AdvanceClock(100);
  w.d.loop.RunOnce(0);
}

// More endpoints than a line holds: it is rejected at the bound, and nothing of it is kept.
void AListBeyondTheBoundEndsTheWatch() {
  Watch w;
  std::string all;
  for (int i = 0; i < 100000; ++i) {
    if (i > 0)
      all += ',';
    all += Server("s-" + std::to_string(i));
  }
  std::uint64_t lists = w.counters.list_updates;
  w.SendAll(w.peer, Servers(2, all, true) + "\n");
  w.Next(w.far);
  assert(w.counters.bad_watch_events == 1 && w.counters.list_updates == lists &&
         w.b.LastRevision() == 1);
  assert(w.log_lines ==
         std::vector<std::string>{"discovery service: connection ended (malformed) after event 1"});
}

}  // namespace

int main(int argc, char** argv) {
  const char* only = argc > 1 ? argv[1] : nullptr;  // runs the cases whose names contain this
  struct Case {
    const char* name;
    void (*run)();
  };
  for (Case c :
       {Case{"the service is watched without gap or repeat", TheServiceIsWatchedWithoutGapOrRepeat},
        {"a partial line that arrives byte by byte counts as silence", APartialLineCountsAsSilence},
        {"a long first line is received eventually", ALongFirstLineIsReceivedEventually},
        {"no line is awaited longer than an event takes to become effective",
         NoLineIsAwaitedLongerThanAnEventTakesToBecomeEffective},
        {"a service that answers late is heard on the first connection",
         AServiceThatAnswersLateIsHeardOnTheFirstConnection},
        {"a late answer is heard after a watch that broke", ALateAnswerIsHeardAfterAWatchThatBroke},
        {"a service that answers very late is heard eventually",
         AServiceThatAnswersVeryLateIsHeardEventually},
        {"an answered watch that falls silent is given up soon",
         AnAnsweredWatchThatFallsSilentIsGivenUpSoon},
        {"an event split at any byte counts once", AnEventSplitAtAnyByteCountsOnce},
        {"a gap in the middle of one read ends the connection", AGapInOneReadEndsTheConnection},
        {"a line is bounded however the reads are split", ALineIsBoundedHoweverTheReadsAreSplit},
        {"the last event before a close counts", TheLastEventBeforeACloseCounts},
        {"switched to another address during the backoff", SwitchedDuringTheBackoff},
        {"switched to another address while connecting", SwitchedWhileConnecting},
        {"switched twice, and to the same address", SwitchedTwiceAndToTheSameAddress},
        {"switched with events that have a gap", SwitchedWithEventsThatHaveAGap},
        {"switching with malformed events changes nothing",
         SwitchingWithMalformedEventsChangesNothing},
        {"switched with an unread event, or during the write that fails",
         SwitchedWithAnUnreadEventOrDuringTheFailingWrite},
        {"a service with an older revision repeats nothing",
         AServiceWithAnOlderRevisionRepeatsNothing},
        {"a service that closes each connection is contacted with a growing backoff",
         AServiceThatClosesEachConnectionIsContactedWithBackoff},
        {"a lack of descriptors for the connection does not spin", ALackOfDescriptorsDoesNotSpin},
        {"a bad line ends the watch and nothing else", ABadLineEndsTheWatchAndNothingElse},
        {"unusual entries are accepted", UnusualEntriesAreAccepted},
        {"a list beyond the bound ends the watch", AListBeyondTheBoundEndsTheWatch}}) {
    if (only && std::string_view(c.name).find(only) == std::string_view::npos)
      continue;
    std::puts(c.name);
    std::fflush(stdout);
    c.run();
  }
}
