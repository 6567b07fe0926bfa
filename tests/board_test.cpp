// The notice board's side on sockets, beside a far side of plain bytes.
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

constexpr std::size_t bound = 1 << 20;  // of a line, with its end

std::string purge(std::uint64_t rev) {
  return "{\"rev\":" + std::to_string(rev) + ",\"flush\":{\"collection\":3,\"ms\":1}}\n";
}

std::string server(const std::string& name, const std::string& state = "in_service", const std::string& more = "") {
  return "{\"id\":\"" + name + "\",\"addr\":\"127.0.0.9:5050\",\"zone\":\"e-1\",\"kind\":\"box\",\"state\":\"" + state + "\"" +
         more + "}";
}

std::string servers(std::uint64_t rev, const std::string& all, bool full = false) {
  return "{\"rev\":" + std::to_string(rev) + ",\"pool\":{\"full\":" + (full ? "true" : "false") + ",\"servers\":[" + all + "]}}";
}

json::Value known(const std::string& notices, std::uint64_t rev) {
  return *json::read("{\"notices\":[" + notices + "],\"rev\":" + std::to_string(rev) + "}");
}

// A caches' side that notes what it is told of the list.
struct Noted final : exchange::CacheSide {
  std::vector<std::uint32_t> sent;
  std::map<std::string, ListEntry> listed;
  int calls = 0;
  std::uint64_t send(LegKey, const Ask&, const SendLeg& how, const std::vector<std::uint64_t>&) override {
    return sent.push_back(how.cache), sent.size();
  }
  void giveUp(LegKey, const Ask&, std::uint32_t) override {}
  bool takeBack(LegKey, const Ask&, std::uint32_t) override { return false; }
  void probe(std::uint32_t) override {}
  void list(const ListEntry& entry, const std::string& id, const loop::Address&) override {
    listed[id] = entry, ++calls;
  }
  void forget(std::uint32_t) override {}
};

// A board that has event 1 and follows, and what it logged.
struct Watch {
  std::vector<std::string> said;
  Desk d;
  log::Log log{[this] { return d.loop.now(); }, [this](std::string_view line) { said.emplace_back(line); }};
  log::Use use{log};
  FarListener far;
  board::Board b{d.loop, d.exchange, terms(), far.at};
  exchange::Counters& counters = d.exchange.counters;
  Far peer;

  explicit Watch(bool follows = true) {
    assert(b.begin(known(purge(1), 1)) && counters.purges == 1);
    if (!follows) return;
    b.follow();
    peer = next(far);
  }
  // The next connection there, once it has asked for what comes after `last`.
  Far next(FarListener& at, std::uint64_t last = 1) {
    Far f = at.next(d.loop);
    hasAsked(f, last);
    return f;
  }
  void hasAsked(Far& f, std::uint64_t last) {
    std::string wanted = "watch " + std::to_string(last) + "\n";
    until(d.loop, [&] { return f.hears(wanted); });
    assert(f.got == wanted);
  }
  void passed(std::uint64_t last) {
    until(d.loop, [&] { return b.last() >= last; });
    assert(b.last() == last && counters.purges == last);  // each once
  }
  // As the system takes it.
  void pour(Far& f, std::string_view text) {
    while (!text.empty()) {
      ssize_t n = ::send(f.fd.get(), text.data(), text.size(), MSG_NOSIGNAL);
      if (n < 0 && errno != EAGAIN) return;  // the near side has ended it
      if (n > 0) text.remove_prefix(static_cast<std::size_t>(n));
      else d.loop.turn(1);
    }
  }
  // A byte each tenth of a second, for so long; stops when the near side has ended it, and says when.
  int drip(Far& f, int tenths) {
    for (int i = 0; i < tenths; ++i) {
      f.say("x");
      for (int turns = 0; turns < 3; ++turns) d.loop.turn(1);
      d.loop.skip(100);
      d.loop.turn(1);
      f.read();
      if (f.over) return i;
    }
    return tenths;
  }
};

void theBoardIsFollowedWithoutGapOrRepeat() {
  Desk d;
  FarListener far;
  board::Board b(d.loop, d.exchange, terms(), far.at);
  assert(!b.begin(*json::read("{\"notices\":[{}],\"rev\":1}")) && !b.begin(*json::read("{\"rev\":1}")));
  assert(b.begin(*json::read("{\"notices\":[{\"rev\":1,\"flush\":{\"asset\":\"a\",\"ms\":1}}],\"rev\":1}")));
  b.follow();
  auto notice = [](int rev) {
    return "{\"rev\":" + std::to_string(rev) + ",\"flush\":{\"collection\":3,\"ms\":1}}\n";
  };
  auto& purges = d.exchange.counters.purges;
  std::uint64_t last = 1;
  // What makes the front ask anew: a gap, junk, a number beyond its own, a close, and silence.
  for (const std::string& odd : {notice(9), std::string("junk\n"), std::string("99\n"), std::string("close"),
                                 std::string("silence")}) {
    Far peer = far.next(d.loop);
    until(d.loop, [&] { return peer.hears("watch " + std::to_string(last) + "\n"); });
    std::uint64_t seen = purges;
    peer.say(notice(static_cast<int>(last)) + "1\n" +
             notice(static_cast<int>(last) + 1));  // one was told before
    until(d.loop, [&] { return b.last() == last + 1; });
    assert(purges == seen + 1);
    ++last;
    if (odd == "close") peer.fd.reset();
    else if (odd != "silence") peer.say(odd);
    std::uint64_t connections = d.exchange.counters.boardConnections;
    until(d.loop, [&] { return d.exchange.counters.boardConnections > connections; });
    assert(purges == seen + 1 && b.last() == last);
  }
}

// ---- silence

void halfALineDrippingInIsSilence() {
  Watch w;
  for (std::uint64_t rev = 2; rev < 8; ++rev) {  // a line each second keeps it, also one in two pieces
    std::string line = purge(rev);
    w.peer.say(line.substr(0, 9));
    for (int turns = 0; turns < 3; ++turns) w.d.loop.turn(1);
    w.d.loop.skip(800);
    w.peer.say(line.substr(9));
    w.passed(rev);
  }
  assert(w.counters.boardConnections == 1);
  assert(w.drip(w.peer, 60) < 60);
  w.next(w.far, 7);
}

void aLongFirstLineComesThroughInTheEnd() {
  Watch w;
  std::string line = purge(2);
  line.insert(line.size() - 1, std::string(52, ' '));
  int connections = 1;
  for (bool whole = false; !whole; ++connections) {  // it takes five seconds to come, each time
    assert(connections < 6);
    std::size_t piece = (line.size() + 49) / 50;
    for (std::size_t at = 0; at < line.size() && !w.peer.over; at += piece) {
      w.peer.say(line.substr(at, piece));
      for (int turns = 0; turns < 3; ++turns) w.d.loop.turn(1);
      w.d.loop.skip(100);
      w.d.loop.turn(1);
      w.peer.read();
    }
    whole = !w.peer.over;
    if (!whole) w.peer = w.next(w.far);
  }
  w.passed(2);
  // After a whole line silence is what it was before.
  assert(w.drip(w.peer, 30) < 30);
  w.peer = w.next(w.far, 2);
}

void noLineIsWaitedForLongerThanNewsTakesToBind() {
  Watch w;
  for (int i = 0; i < 6; ++i) {
    assert(w.drip(w.peer, 90) < 90);
    w.peer = w.next(w.far);
  }
}

// ---- lines and reads

void anEventSplitAtAnyByteCountsOnce() {
  Watch w;
  std::uint64_t rev = 1;
  for (const char* end : {"\n", "\r\n"}) {
    std::string line = purge(++rev);
    line.replace(line.size() - 1, 1, end);
    for (std::size_t cut = 1; cut < line.size(); ++cut) {
      w.peer.say(line.substr(0, cut));
      for (int turns = 0; turns < 3; ++turns) w.d.loop.turn(1);
      assert(w.b.last() == rev - 1);
      w.peer.say(line.substr(cut));
      w.passed(rev);
      line = purge(++rev);
      line.replace(line.size() - 1, 1, end);
    }
    --rev;
  }
  std::string line = purge(++rev);
  for (char c : line) {  // each byte on its own
    assert(w.b.last() == rev - 1);
    w.peer.say({&c, 1});
    for (int turns = 0; turns < 3; ++turns) w.d.loop.turn(1);
  }
  w.passed(rev);
  assert(w.counters.boardConnections == 1 && w.counters.badNotices == 0);
}

void aGapInTheMiddleOfOneReadEndsIt() {
  for (const std::string& odd : {purge(5), std::string("junk\n"), std::string("\n"), std::string("9\n")}) {
    Watch w;
    w.peer.say(purge(2) + purge(3) + odd + purge(4) + purge(5));  // what stands behind it isn't read
    w.passed(3);
    Far again = w.next(w.far, 3);
    assert(w.counters.badNotices == 1 && w.counters.boardConnections == 2 && w.said.size() == 1);
    w.peer.say(purge(4));  // the old connection says more
    again.say("3\n" + purge(4) + purge(5));
    w.passed(5);
    assert(w.counters.badNotices == 1 && w.counters.boardConnections == 2);
  }
}

void aLineHasItsBoundHoweverItIsCut() {
  for (std::size_t over : {0, 1, 2, 9000})
    for (std::size_t before : {0, 1, 5000}) {
      Watch w;
      std::string line = purge(2);
      line.insert(line.size() - 1, std::string(bound + over - line.size(), ' '));
      assert(line.size() == bound + over);
      std::string first = before > 0 ? std::string(before, '0') + "\n" : std::string();  // another cut for the reads
      w.pour(w.peer, first + line);
      if (over == 0) {
        w.passed(2);
        assert(w.counters.badNotices == 0);
      } else {
        w.next(w.far);
        assert(w.counters.badNotices == 1 && w.b.last() == 1 && w.counters.purges == 1);
      }
    }
}

void theLastEventBeforeACloseCounts() {
  for (bool resets : {false, true}) {
    Watch w;
    w.peer.say(purge(2) + purge(3) + purge(4).substr(0, 20));
    if (resets) w.peer.reset();
    else w.peer.fd.reset();
    w.passed(3);
    Far again = w.next(w.far, 3);  // half a line was none, and comes again
    again.say(purge(4));
    w.passed(4);
  }
}

// ---- another address

void movedWhileItWaitsToAskAgain() {
  Watch w;
  FarListener other;
  w.peer.fd.reset();
  until(w.d.loop, [&] { return !w.said.empty(); });  // ended, and to be asked anew some time later
  assert(w.b.moveTo(other.at, known("", 1)));
  Far there = w.next(other);
  assert(w.counters.boardConnections == 2);
  for (int i = 0; i < 8; ++i) w.d.loop.skip(50), w.d.loop.turn(1);
  assert(w.counters.boardConnections == 2);  // what waited is no second one
  there.say(purge(2));
  w.passed(2);
}

void movedWhileItIsBeingDialled() {
  Watch w;
  FarListener other, hung(0);
  std::vector<loop::Descriptor> fill;  // its backlog: nothing more comes up there
  for (int i = 0; i < 4; ++i) {
    fill.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    ::connect(fill.back().get(), reinterpret_cast<const sockaddr*>(&hung.at), sizeof hung.at);
  }
  assert(w.b.moveTo(hung.at, known("", 1)));
  for (int i = 0; i < 5; ++i) w.d.loop.turn(1);
  assert(w.b.moveTo(other.at, known("", 1)));
  Far there = w.next(other);
  for (int i = 0; i < 5; ++i) w.d.loop.skip(100), w.d.loop.turn(1);  // the old dial's time is over
  assert(w.counters.boardConnections == 3 && w.said.empty());
  there.say(purge(2));
  w.passed(2);
}

void movedTwiceInARowAndToWhereItIs() {
  Watch w;
  FarListener second, third;
  assert(w.b.moveTo(second.at, known("", 1)) && w.b.moveTo(third.at, known("", 1)));
  Far there = w.next(third);
  Far left = second.next(w.d.loop);
  left.say(purge(2) + purge(3));
  until(w.d.loop, [&] { return left.read(), left.over; });
  assert(w.b.last() == 1);
  there.say(purge(2));
  w.passed(2);
  assert(w.b.moveTo(third.at, known("", 2)));
  Far again = w.next(third, 2);
  there.say(purge(3));
  again.say(purge(3));
  w.passed(3);
  assert(w.counters.boardConnections == 4 && w.said.empty());
}

void movedWithEventsThatLackSome() {
  Watch w;
  FarListener other;
  // 2 and 3 follow on; 5 does not, since 4 is lacking; 1 was passed on before.
  assert(w.b.moveTo(other.at, known(purge(1) + "," + purge(2) + "," + purge(3) + "," + purge(5), 5)));
  assert(w.b.last() == 3 && w.counters.purges == 3);
  Far there = w.next(other, 3);
  there.say(purge(4) + purge(5));
  w.passed(5);
  assert(w.b.moveTo(w.far.at, known(purge(1) + "," + purge(2), 2)));  // all of them older
  there = w.next(w.far, 5);
  there.say("2\n" + purge(2) + purge(6));
  w.passed(6);
  assert(w.counters.boardConnections == 3 && w.counters.badNotices == 0);
}

void movedWithEventsThatCannotBeReadChangesNothing() {
  Watch w;
  FarListener other;
  for (const std::string& bad :
       {std::string("{}"), std::string("[]"), std::string("{\"rev\":2}"), std::string("{\"rev\":2,\"notices\":{}}"),
        std::string("{\"notices\":[]}"), std::string("{\"rev\":-1,\"notices\":[]}"),
        std::string("{\"rev\":1e300,\"notices\":[]}"), std::string("{\"rev\":\"2\",\"notices\":[]}"),
        "{\"rev\":3,\"notices\":[" + purge(2) + ",{\"rev\":3,\"pool\":1}]}",
        // Beyond what is said to be the last: from which one would the board be asked?
        "{\"rev\":2,\"notices\":[" + purge(2) + "," + purge(3) + "]}"}) {
    assert(!w.b.moveTo(other.at, *json::read(bad)));
    Desk fresh;
    board::Board unborn(fresh.loop, fresh.exchange, terms(), other.at);
    assert(!unborn.begin(*json::read(bad)) && fresh.exchange.counters.purges == 0);
  }
  assert(w.b.last() == 1 && w.counters.purges == 1);
  w.peer.say(purge(2));  // the old board is still followed
  w.passed(2);
  assert(w.counters.boardConnections == 1 && w.said.empty());
  pollfd asked{other.fd.get(), POLLIN, 0};
  assert(::poll(&asked, 1, 0) == 0);
}

// Runs in a turn after, or before, the board's connection.
struct InTurn final : loop::Handler {
  loop::Loop& loop;
  loop::Descriptor near, far;
  std::function<void()> what;
  explicit InTurn(loop::Loop& l) : loop(l) {
    int ends[2];
    assert(::pipe(ends) == 0);
    near = loop::Descriptor(ends[0]), far = loop::Descriptor(ends[1]);
    loop.watch(near.get(), *this, POLLIN);
  }
  void arm(std::function<void()> w) {
    what = std::move(w);
    assert(::write(far.get(), "x", 1) == 1);
  }
  void ready(short) override {
    loop.forget(near.get());
    what();
  }
};

void movedWithAnEventUnreadOrInTheEndingWrite() {
  for (bool before : {false, true})
    for (const std::string& last :
         {purge(2), purge(2).substr(0, 20), purge(2) + "junk\n", purge(2) + purge(9), purge(2) + "close"}) {
      Watch w(false);
      FarListener other;
      std::optional<InTurn> hook;
      if (before) hook.emplace(w.d.loop);  // descriptors are looked at in their order
      w.b.follow();
      w.peer = w.next(w.far);
      if (!before) hook.emplace(w.d.loop);
      bool closes = last.ends_with("close");
      w.peer.say(closes ? last.substr(0, last.size() - 5) : last);
      if (closes) w.peer.fd.reset();
      bool moved = false;
      hook->arm([&] {
        std::uint64_t had = w.b.last();
        assert(w.b.moveTo(other.at, known("", 1)) && w.b.last() == had);
        moved = true;
      });
      until(w.d.loop, [&] { return moved; });
      std::uint64_t had = w.b.last();
      Far there = w.next(other, had);
      there.say(purge(2) + purge(3));  // once, whether the old one's was read or not
      w.passed(3);
      for (int i = 0; i < 5; ++i) w.d.loop.skip(100), w.d.loop.turn(1);
      assert(w.counters.boardConnections == 2);
    }
}

// ---- boards that go wrong

void aBoardBehindOursRepeatsNothing() {
  Watch w;
  Noted noted;
  w.d.exchange.meet(noted);
  w.peer.say(servers(2, server("s-a") + "," + server("s-b"), true) + "\n" + servers(3, server("s-a", "terminating")) + "\n");
  until(w.d.loop, [&] { return w.b.last() == 3; });
  std::uint64_t lists = w.counters.listNews;
  w.peer.fd.reset();
  Far again = w.next(w.far, 3);
  again.say("0\n1\n" + purge(1) + servers(2, server("s-a"), true) + "\n2\n" + servers(3, server("s-a")) + "\n" + purge(4));
  until(w.d.loop, [&] { return w.b.last() == 4; });
  assert(w.counters.listNews == lists && w.counters.purges == 2 && w.counters.boardConnections == 2);
  assert(noted.calls == 3 && noted.listed["s-a"].standing == Standing::draining);
  std::vector<Asked> asked(20);
  for (int i = 0; i < 20; ++i) {
    Ask ask = askFor("00000000000000" + std::to_string(10 + i));
    ask.object = "o" + std::to_string(i);
    w.d.exchange.pullCame(ask, asked[static_cast<std::size_t>(i)]);
  }
  assert(!noted.sent.empty());
  for (std::uint32_t cache : noted.sent) assert(cache == noted.listed["s-b"].cache);
}

// However its connections end, a board is not asked at full speed.
void aBoardThatEndsEachConnectionIsAskedEverMoreSeldom() {
  for (const char* word : {"", "0\n", "1\n", "1\njunk\n", "9\n", "{\"rev\":9}\n", "0\n1\n{\"rev\":1}\n\n"}) {
    Watch w;
    Ms start = w.d.loop.now(), last = start;
    std::uint64_t before = w.counters.boardConnections;
    std::size_t stalls = 0;  // of this machine: a connection may have stood for long
    for (int i = 0; i < 300; ++i) {
      if (w.peer.fd) w.peer.say(word), w.peer.fd.reset();
      int got = ::accept4(w.far.fd.get(), nullptr, nullptr, SOCK_NONBLOCK);
      if (got >= 0) w.peer = Far(loop::Descriptor(got));
      w.d.loop.turn(1);
      w.d.loop.skip(10);
      stalls += w.d.loop.now() - last > 200;
      last = w.d.loop.now();
    }
    // 20, 40, 80, 160, 320 and then 500 ms.
    double most = 7.0 * static_cast<double>(1 + stalls) + (last - start) / 500;
    std::uint64_t asked = w.counters.boardConnections - before;
    assert(asked >= 3 && static_cast<double>(asked) <= most);
    assert(w.said.size() <= 1 + stalls);
  }
}

void noDescriptorForTheBoardIsNoSpin() {
  Watch w(false);
  rlimit before{}, none{};
  ::getrlimit(RLIMIT_NOFILE, &before);
  none = before;
  loop::Descriptor free(::dup(0));
  none.rlim_cur = static_cast<rlim_t>(free.get());
  free.reset();
  ::setrlimit(RLIMIT_NOFILE, &none);
  Ms start = w.d.loop.now();
  w.b.follow();
  for (int i = 0; i < 300; ++i) w.d.loop.turn(1), w.d.loop.skip(10);
  double most = 7 + (w.d.loop.now() - start) / 500;
  ::setrlimit(RLIMIT_NOFILE, &before);
  assert(w.counters.boardConnections >= 3 && static_cast<double>(w.counters.boardConnections) <= most);
  assert(w.said.size() == 1 && w.said[0].find("no descriptor") != std::string::npos);
  Far peer = w.next(w.far);
  peer.say(purge(2));
  w.passed(2);
}

// ---- bad lists

void aBadLineEndsTheWatchAndNothingElse() {
  auto entry = [](const std::string& more) { return servers(2, server("s-new") + "," + more, true); };
  auto field = [&](const std::string& more) { return entry(server("s-EVIL", "in_service", more)); };
  auto flush = [](const std::string& what) { return "{\"rev\":2,\"flush\":{" + what + "}}"; };
  const std::vector<std::string> bad = {
      "EVIL", "", "{\"rev\":2", "{\"rev\":2} EVIL", "{\"rev\":NaN}", "{\"rev\":Infinity}", "{\"rev\":1e999}",
      "{\"rev\":1e300}", "{\"rev\":-1}", "{\"rev\":1.5}", "{\"rev\":\"2\"}", "{\"rev\":2,\"rev\":2}", "{}", "[2]", "\"2\"", "-1",
      "1e0", "18446744073709551616", std::string(40, '[') + std::string(40, ']'), std::string(100000, '['),
      "{\"rev\":2,\"EVIL\":" + std::string(500, '[') + std::string(500, ']') + "}", std::string("\xef\xbb\xbf{\"rev\":2}"),
      std::string("{\"rev\":2}\0EVIL", 14), "\x1b[31mEVIL\xff\xfe", "{\"rev\":2,\"EVIL\":\"\xff\"}",
      "{\"rev\":2,\"pool\":{}}", "{\"rev\":2,\"pool\":[]}",
      "{\"rev\":2,\"pool\":{\"servers\":{}}}", entry("7"), entry("{}"), entry("null"),
      entry(server("")), entry(server("s EVIL")), entry(server("s,EVIL")), entry(server("s\\r\\nEVIL")),
      entry(server("s\\u0000EVIL")), entry(server("s\\tEVIL")), entry(server("s-EVIL", "EVIL")),
      entry("{\"id\":\"s-EVIL\",\"addr\":\"127.0.0.1\",\"state\":\"in_service\"}"),
      entry("{\"id\":\"s-EVIL\",\"addr\":\"127.0.0.1:0\",\"state\":\"in_service\"}"),
      entry("{\"id\":\"s-EVIL\",\"addr\":\"127.0.0.1:65536\",\"state\":\"in_service\"}"),
      entry("{\"id\":\"s-EVIL\",\"addr\":\"EVIL:80\",\"state\":\"in_service\"}"), field(",\"weight\":1e300"),
      field(",\"weight\":-1e300"), field(",\"weight\":1e999"), field(",\"started_ms\":1e300"), field(",\"started_ms\":-1e300"),
      flush(""), flush("\"asset\":\"EVIL\""), flush("\"asset\":\"EVIL\",\"ms\":\"1\""), flush("\"ms\":1"),
      flush("\"collection\":-1,\"ms\":1"), flush("\"collection\":65536,\"ms\":1"), flush("\"collection\":1e300,\"ms\":1"),
      flush("\"asset\":\"EVIL\",\"collection\":1e300,\"ms\":1"), flush("\"asset\":\"EVIL\",\"ms\":1e300"),
      flush("\"collection\":1,\"ms\":-1e300")};
  for (const std::string& line : bad) {
    Watch w;
    Noted noted;
    w.d.exchange.meet(noted);
    std::uint64_t lists = w.counters.listNews;
    w.pour(w.peer, line + "\n" + purge(2));
    Far again = w.next(w.far);
    assert(w.counters.badNotices == 1 && w.counters.boardConnections == 2);
    assert(w.said == std::vector<std::string>{"notice board: connection malformed after event 1"});
    assert(w.b.last() == 1 && w.counters.purges == 1 && w.counters.listNews == lists && noted.calls == 0);
    Asked asked;
    w.d.exchange.pullCame(askFor(), asked);  // what stood still serves
    assert(noted.sent.size() == 1);
    again.say(purge(2));
    w.passed(2);
  }
}

// Borne as they are: nothing in them is beyond use.
void oddEntriesAreBorne() {
  Watch w;
  Noted noted;
  w.d.exchange.meet(noted);
  w.peer.say(servers(2, "{\"id\":\"s-bare\",\"addr\":\"127.0.0.1:1\",\"state\":\"in_service\"}," +
                            server("s-light", "in_service", ",\"weight\":-4,\"cell\":-1e300") + "," +
                            server("s-nil", "in_service", ",\"weight\":0,\"cell\":1e300,\"started_ms\":-1") + "," +
                            server("s-words", "in_service", ",\"weight\":\"x\",\"cell\":[],\"EVIL\":{\"EVIL\":null}") + "," +
                            server("s-twice") + "," + server("s-twice", "terminating"), true) + "\n" + servers(3, "") + "\n");
  until(w.d.loop, [&] { return w.b.last() == 3; });
  assert(w.counters.badNotices == 0 && w.said.empty() && noted.calls == 6 && noted.listed.size() == 5);
  assert(noted.listed["s-twice"].standing == Standing::draining);  // the last word counts
  std::vector<Asked> asked(40);
  for (int i = 0; i < 40; ++i) {
    Ask ask = askFor("00000000000000" + std::to_string(10 + i));
    ask.object = "o" + std::to_string(i);
    w.d.exchange.pullCame(ask, asked[static_cast<std::size_t>(i)]);
  }
  assert(!noted.sent.empty());
  for (std::uint32_t cache : noted.sent) assert(cache != noted.listed["s-twice"].cache);
  w.d.loop.skip(100);
  w.d.loop.turn(0);
}

// More machines than a line holds: it ends at its bound, and nothing is kept of it.
void aListBeyondTheBoundEndsTheWatch() {
  Watch w;
  std::string all;
  for (int i = 0; i < 100000; ++i) {
    if (i > 0) all += ',';
    all += server("s-" + std::to_string(i));
  }
  std::uint64_t lists = w.counters.listNews;
  w.pour(w.peer, servers(2, all, true) + "\n");
  w.next(w.far);
  assert(w.counters.badNotices == 1 && w.counters.listNews == lists && w.b.last() == 1);
  assert(w.said == std::vector<std::string>{"notice board: connection malformed after event 1"});
}

}  // namespace

int main(int argc, char** argv) {
  const char* only = argc > 1 ? argv[1] : nullptr;  // the cases whose names hold this
  struct Case {
    const char* name;
    void (*run)();
  };
  for (Case c : {Case{"the board is followed without gap or repeat", theBoardIsFollowedWithoutGapOrRepeat},
                 {"half a line dripping in is silence", halfALineDrippingInIsSilence},
                 {"a long first line comes through in the end", aLongFirstLineComesThroughInTheEnd},
                 {"no line is waited for longer than news takes to bind", noLineIsWaitedForLongerThanNewsTakesToBind},
                 {"an event split at any byte counts once", anEventSplitAtAnyByteCountsOnce},
                 {"a gap in the middle of one read ends it", aGapInTheMiddleOfOneReadEndsIt},
                 {"a line has its bound, however it is cut", aLineHasItsBoundHoweverItIsCut},
                 {"the last event before a close counts", theLastEventBeforeACloseCounts},
                 {"moved while it waits to ask again", movedWhileItWaitsToAskAgain},
                 {"moved while it is being dialled", movedWhileItIsBeingDialled},
                 {"moved twice in a row, and to where it is", movedTwiceInARowAndToWhereItIs},
                 {"moved with events that lack some", movedWithEventsThatLackSome},
                 {"moved with events that can't be read changes nothing", movedWithEventsThatCannotBeReadChangesNothing},
                 {"moved with an event unread, or in the write that ends it", movedWithAnEventUnreadOrInTheEndingWrite},
                 {"a board behind ours repeats nothing", aBoardBehindOursRepeatsNothing},
                 {"a board that ends each connection is asked ever more seldom",
                  aBoardThatEndsEachConnectionIsAskedEverMoreSeldom},
                 {"no descriptor for the board is no spin", noDescriptorForTheBoardIsNoSpin},
                 {"a bad line ends the watch and nothing else", aBadLineEndsTheWatchAndNothingElse},
                 {"odd entries are borne", oddEntriesAreBorne},
                 {"a list beyond the bound ends the watch", aListBeyondTheBoundEndsTheWatch}}) {
    if (only && std::string_view(c.name).find(only) == std::string_view::npos) continue;
    std::puts(c.name);
    std::fflush(stdout);
    c.run();
  }
}
