// The staged ground: what a stream and a datagram promise, each trouble of the network, and that it replays.
#include "stage/stage.hpp"

#include <cassert>
#include <cstdio>
#include <stdexcept>

#include "loop/listener.hpp"

using namespace dunlinwick;
using loop::Parting;
using stage::Net;
using stage::Process;

namespace {

const loop::Address there = stage::address(0x0a000002, 80);

// One end of a connection that notes what it sees.
struct Side final : loop::Connection::Owner {
  std::string got;
  std::vector<Parting> ends;
  std::unique_ptr<loop::Connection> connection;
  void came() override {
    got += connection->in.bytes();
    connection->in.consume(connection->in.size());
  }
  void ended(Parting how) override { ends.push_back(how); }
};

// Two processes, a listener at the second, one connection from the first.
struct Pair {
  Net net;
  Process &a, &b;
  Side near;
  std::vector<std::unique_ptr<Side>> far;
  std::unique_ptr<loop::Listener> listener;

  explicit Pair(std::uint64_t seed = 1, bool listens = true, loop::Ms latency = 5)
      : net(seed), a(net.start(0x0a000001, "a")), b(net.start(0x0a000002, "b")) {
    net.place(0x0a000002, 1);
    stage::Way w;
    w.latency = latency;
    net.join(0, 1, w), net.join(1, 0, w);
    if (listens)
      b.act([&] {
        listener = std::make_unique<loop::Listener>(b.loop(), there, [this](loop::Descriptor fd) {
          far.push_back(std::make_unique<Side>());
          far.back()->connection = std::make_unique<loop::Connection>(b.loop(), *far.back(), std::move(fd));
        });
      });
  }
  void open(loop::Ms within = 400) {
    a.act([&] { near.connection = std::make_unique<loop::Connection>(a.loop(), near, there, within); });
  }
  void pass(loop::Ms ms) { net.runUntil(net.now() + ms); }
  void say(Side& side, Process& of, std::string text) {
    of.act([&] { side.connection->send(std::move(text)); });
  }
};

std::string pattern(std::size_t n) {
  std::string text;
  for (std::size_t i = 0; i < n; ++i) text += static_cast<char>('a' + i * 7 % 26);
  return text;
}

void bytesComeWholeAndInOrder() {
  for (double choppy : {0.0, 0.9})
    for (std::size_t size : {std::size_t{1}, std::size_t{5000}, std::size_t{700000}}) {
      Pair p;
      p.net.setChoppy(choppy);
      p.open();
      p.say(p.near, p.a, pattern(size));
      p.say(p.near, p.a, "end");
      p.pass(60000);
      assert(p.far.size() == 1 && p.far[0]->got == pattern(size) + "end");
      p.say(*p.far[0], p.b, pattern(size));
      p.pass(60000);
      assert(p.near.got == pattern(size) && p.near.ends.empty());
    }
}

void aSlowReaderHoldsTheSenderUp() {
  Pair p;
  p.open();
  p.pass(50);
  p.b.act([&] { p.far[0]->connection->readUpTo(0); });
  p.say(p.near, p.a, pattern(1 << 20));
  p.pass(1000);
  assert(!p.near.connection->drainedOut() && p.far[0]->got.empty());
  p.b.act([&] { p.far[0]->connection->readUpTo(1 << 16); });
  p.pass(60000);
  assert(p.near.connection->drainedOut() && p.far[0]->got == pattern(1 << 20));
}

void endsAreToldAsTheyAre() {
  struct Case {
    const char* name;
    bool listens, opens;
    void (*what)(Pair&);
    std::vector<Parting> near;
  };
  for (const Case& c : std::vector<Case>{
           {"nobody listens", false, false, [](Pair&) {}, {Parting::refused}},
           {"the host is cut", true, false, [](Pair& p) { p.net.setCut(0x0a000002, true, true); }, {Parting::neverUp}},
           {"the host has vanished", true, false, [](Pair& p) { p.net.vanish(p.b); }, {Parting::neverUp}},
           {"closed", true, true, [](Pair& p) { p.b.act([&] { p.far[0]->connection->close(); }); }, {Parting::closed}},
           {"half closed", true, true, [](Pair& p) { p.b.act([&] { p.far[0]->connection->sayNoMore(); }); }, {Parting::closed}},
           {"killed", true, true, [](Pair& p) { p.net.kill(p.b); }, {Parting::reset}},
           {"vanished under it: silent", true, true, [](Pair& p) { p.net.vanish(p.b); }, {}},
           {"cut under it: silent", true, true, [](Pair& p) { p.net.setCut(0x0a000002, true, true); }, {}},
           {"vanished, and a new process there: a reset once something is said", true, true,
            [](Pair& p) {
              p.net.vanish(p.b);
              p.net.start(0x0a000002, "b2");
              p.say(p.near, p.a, "still there?");
            },
            {Parting::reset}}}) {
    Pair p(1, c.listens);
    if (!c.opens) c.what(p);
    p.open();
    p.pass(100);
    if (c.opens) c.what(p);
    p.pass(5000);
    if (p.near.ends != c.near) std::fprintf(stderr, "%s\n", c.name);
    assert(p.near.ends == c.near);
  }
}

void whatACutHeldUpComesAfterIt() {
  Pair p;
  p.open();
  p.pass(100);
  p.net.setCut(0x0a000001, false, true);  // one way
  p.say(p.near, p.a, "held");
  p.say(*p.far[0], p.b, "passes");
  p.pass(1000);
  assert(p.far[0]->got.empty() && p.near.got == "passes");
  p.a.act([&] { p.near.connection->close(); });
  p.net.setCut(0x0a000001, false, false);
  p.pass(1000);
  assert(p.far[0]->got == "held" && p.far[0]->ends == std::vector<Parting>{Parting::closed});
}

void descriptorsAndBacklogHaveLimits() {
  Net net(1);
  Process& a = net.start(0x0a000001, "a", 6);  // three for the standard streams
  a.act([&] {
    for (int fd : {3, 4, 5}) assert(a.openStream() == fd);
    assert(a.openStream() == -EMFILE);
    a.close(4);
    assert(a.openStream() == 4 && a.openDescriptors() == 3);
    assert(a.listen(stage::address(0x0a000002, 80)) == -EADDRNOTAVAIL);
  });
}

void datagramsComeWholeOrNot() {
  struct Case {
    double lost, doubled, shuffled;
  };
  for (const Case& c : {Case{0, 0, 0}, {0.3, 0, 0}, {0, 0.3, 0}, {0, 0, 0.5}}) {
    Net net(7);
    Process &a = net.start(0x0a000001, "a"), &b = net.start(0x0a000002, "b");
    stage::Way& w = net.way(0, 0);
    w.latency = 5, w.lost = c.lost, w.doubled = c.doubled, w.shuffled = c.shuffled;
    int from = a.openDatagrams(stage::address(0x0a000001, 0)), to = b.openDatagrams(there);
    assert(from >= 0 && to >= 0 && b.openDatagrams(there) == -EADDRINUSE);
    std::vector<int> got;
    int sent = 200;
    for (int i = 0; i < sent; ++i) {
      std::string text = std::to_string(i);
      assert(a.sendTo(from, text, there) == static_cast<ssize_t>(text.size()));
      net.runUntil(net.now() + 2);
      char into[16];
      loop::Address who{};
      for (ssize_t n; (n = b.receiveFrom(to, into, who)) > 0;) {
        got.push_back(std::stoi(std::string(into, static_cast<std::size_t>(n))));
        assert(stage::text(who) == "10.0.0.1:49152");
      }
    }
    bool ordered = std::is_sorted(got.begin(), got.end());
    std::size_t n = got.size(), all = static_cast<std::size_t>(sent) - 4;  // the last are on their way
    assert(c.lost > 0 ? n < 180 && n > 90 : c.doubled > 0 ? n > 220 : n + 30 > all);
    assert(c.shuffled > 0 ? !ordered : ordered);
  }
}

void aProcessThatNeverRestsIsFound() {
  Net net(1);
  Process& a = net.start(0x0a000001, "a");
  std::function<void()> again = [&] { a.loop().at(a.loop().now(), again); };
  a.act(again);
  bool found = false;
  try {
    net.runUntil(net.now() + 10);
  } catch (const stage::StageFault& fault) {
    found = std::string(fault.what()).find("a spins") == 0;
  }
  assert(found);
}

void standingStillDelaysWhatComes() {
  Pair p;
  p.open();
  p.pass(100);
  p.b.standStill(p.net.now() + 500);
  p.say(p.near, p.a, "x");
  p.pass(400);
  assert(p.far[0]->got.empty());
  p.pass(200);
  assert(p.far[0]->got == "x");
}

void theSameSeedReplays() {
  auto digest = [](std::uint64_t seed) {
    Pair p(seed);
    p.net.setChoppy(0.5);
    p.net.way(0, 1).lost = 0.1;
    p.open();
    for (int i = 0; i < 50; ++i) p.say(p.near, p.a, pattern(static_cast<std::size_t>(100 * i + 1))), p.pass(7);
    p.pass(1000);
    return p.net.digest();
  };
  assert(digest(1) == digest(1) && digest(2) == digest(2) && digest(1) != digest(2));
}

}  // namespace

int main() {
  bytesComeWholeAndInOrder();
  aSlowReaderHoldsTheSenderUp();
  endsAreToldAsTheyAre();
  whatACutHeldUpComesAfterIt();
  descriptorsAndBacklogHaveLimits();
  datagramsComeWholeOrNot();
  aProcessThatNeverRestsIsFound();
  standingStillDelaysWhatComes();
  theSameSeedReplays();
}
