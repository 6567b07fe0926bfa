// The staged ground: what a stream and a datagram promise, each trouble of the network, and that it
// replays.
#include "stage/stage.hpp"

#include <cassert>
#include <cstdio>
#include <stdexcept>

#include "loop/listener.hpp"

using namespace dunlinwick;
using loop::DisconnectReason;
using stage::Net;
using stage::Process;

namespace {

const loop::Address kThere = stage::AddressOf(0x0a000002, 80);

// One end of a connection that notes what it sees.
struct Side final : loop::Connection::Owner {
  std::string got;
  std::vector<DisconnectReason> ends;
  std::unique_ptr<loop::Connection> connection;
  void OnBytesReceived() override {
    got += connection->in.bytes();
    connection->in.Consume(connection->in.size());
  }
  void OnDisconnected(DisconnectReason how) override {
    ends.push_back(how);
  }
};

// Two processes, a listener at the second, one connection from the first.
struct Pair {
  Net net;
  Process &a, &b;
  Side near;
  std::vector<std::unique_ptr<Side>> far;
  std::unique_ptr<loop::Listener> listener;

  explicit Pair(std::uint64_t seed = 1, bool listens = true, loop::Ms latency = 5)
      : net(seed), a(net.Start(0x0a000001, "a")), b(net.Start(0x0a000002, "b")) {
    net.place(0x0a000002, 1);
    stage::Way w;
    w.latency = latency;
    net.Join(0, 1, w);
    net.Join(1, 0, w);
    if (listens)
      b.Act([&] {
        listener = std::make_unique<loop::Listener>(b.loop(), kThere, [this](loop::Descriptor fd) {
          far.push_back(std::make_unique<Side>());
          far.back()->connection =
              std::make_unique<loop::Connection>(b.loop(), *far.back(), std::move(fd));
        });
      });
  }
  void Open(loop::Ms within = 400) {
    a.Act([&] {
      near.connection = std::make_unique<loop::Connection>(a.loop(), near, kThere, within);
    });
  }
  void Pass(loop::Ms ms) {
    net.RunUntil(net.now() + ms);
  }
  void Send(Side& side, Process& of, std::string text) {
    of.Act([&] { side.connection->Send(std::move(text)); });
  }
};

std::string Pattern(std::size_t n) {
  std::string text;
  for (std::size_t i = 0; i < n; ++i)
    text += static_cast<char>('a' + i * 7 % 26);
  return text;
}

void BytesComeWholeAndInOrder() {
  for (double choppy : {0.0, 0.9})
    for (std::size_t size : {std::size_t{1}, std::size_t{5000}, std::size_t{700000}}) {
      Pair p;
      p.net.SetChoppy(choppy);
      p.Open();
      p.Send(p.near, p.a, Pattern(size));
      p.Send(p.near, p.a, "end");
      p.Pass(60000);
      assert(p.far.size() == 1 && p.far[0]->got == Pattern(size) + "end");
      p.Send(*p.far[0], p.b, Pattern(size));
      p.Pass(60000);
      assert(p.near.got == Pattern(size) && p.near.ends.empty());
    }
}

void ASlowReaderHoldsTheSenderUp() {
  Pair p;
  p.Open();
  p.Pass(50);
  p.b.Act([&] { p.far[0]->connection->SetReadLimit(0); });
  p.Send(p.near, p.a, Pattern(1 << 20));
  p.Pass(1000);
  assert(!p.near.connection->IsSendQueueEmpty() && p.far[0]->got.empty());
  p.b.Act([&] { p.far[0]->connection->SetReadLimit(1 << 16); });
  p.Pass(60000);
  assert(p.near.connection->IsSendQueueEmpty() && p.far[0]->got == Pattern(1 << 20));
}

void EndsAreNotifiedAsTheyAre() {
  struct Case {
    const char* name;
    bool listens;
    bool opens;
    void (*what)(Pair&);
    std::vector<DisconnectReason> near;
  };
  for (const Case& c : std::vector<Case>{
           {"nobody listens", false, false, [](Pair&) {}, {DisconnectReason::kRefused}},
           {"the host is cut",
            true,
            false,
            [](Pair& p) { p.net.SetCut(0x0a000002, true, true); },
            {DisconnectReason::kConnectFailed}},
           {"the host has vanished",
            true,
            false,
            [](Pair& p) { p.net.Vanish(p.b); },
            {DisconnectReason::kConnectFailed}},
           {"closed",
            true,
            true,
            [](Pair& p) { p.b.Act([&] { p.far[0]->connection->Close(); }); },
            {DisconnectReason::kClosed}},
           {"half closed",
            true,
            true,
            [](Pair& p) { p.b.Act([&] { p.far[0]->connection->ShutdownWrite(); }); },
            {DisconnectReason::kClosed}},
           {"killed", true, true, [](Pair& p) { p.net.Kill(p.b); }, {DisconnectReason::kReset}},
           {"vanished under it: silent", true, true, [](Pair& p) { p.net.Vanish(p.b); }, {}},
           {"cut under it: silent",
            true,
            true,
            [](Pair& p) { p.net.SetCut(0x0a000002, true, true); },
            {}},
           {"vanished, and a new process there: a reset once something is said",
            true,
            true,
            [](Pair& p) {
              p.net.Vanish(p.b);
              p.net.Start(0x0a000002, "b2");
              p.Send(p.near, p.a, "still there?");
            },
            {DisconnectReason::kReset}}}) {
    Pair p(1, c.listens);
    if (!c.opens)
      c.what(p);
    p.Open();
    p.Pass(100);
    if (c.opens)
      c.what(p);
    p.Pass(5000);
    if (p.near.ends != c.near)
      std::fprintf(stderr, "%s\n", c.name);
    assert(p.near.ends == c.near);
  }
}

void WhatACutHeldUpComesAfterIt() {
  Pair p;
  p.Open();
  p.Pass(100);
  p.net.SetCut(0x0a000001, false, true);  // one way
  p.Send(p.near, p.a, "held");
  p.Send(*p.far[0], p.b, "passes");
  p.Pass(1000);
  assert(p.far[0]->got.empty() && p.near.got == "passes");
  p.a.Act([&] { p.near.connection->Close(); });
  p.net.SetCut(0x0a000001, false, false);
  p.Pass(1000);
  assert(p.far[0]->got == "held" &&
         p.far[0]->ends == std::vector<DisconnectReason>{DisconnectReason::kClosed});
}

void DescriptorsAndBacklogHaveLimits() {
  Net net(1);
  Process& a = net.Start(0x0a000001, "a", 6);  // three for the standard streams
  a.Act([&] {
    for (int fd : {3, 4, 5})
      assert(a.OpenStream() == fd);
    assert(a.OpenStream() == -EMFILE);
    a.Close(4);
    assert(a.OpenStream() == 4 && a.OpenDescriptors() == 3);
    assert(a.Listen(stage::AddressOf(0x0a000002, 80)) == -EADDRNOTAVAIL);
  });
}

void DatagramsComeWholeOrNot() {
  struct Case {
    double lost;
    double doubled;
    double shuffled;
  };
  for (const Case& c : {Case{0, 0, 0}, {0.3, 0, 0}, {0, 0.3, 0}, {0, 0, 0.5}}) {
    Net net(7);
    Process &a = net.Start(0x0a000001, "a"), &b = net.Start(0x0a000002, "b");
    stage::Way& w = net.way(0, 0);
    w.latency = 5;
    w.lost = c.lost;
    w.doubled = c.doubled;
    w.shuffled = c.shuffled;
    int from = a.OpenDatagrams(stage::AddressOf(0x0a000001, 0)), to = b.OpenDatagrams(kThere);
    assert(from >= 0 && to >= 0 && b.OpenDatagrams(kThere) == -EADDRINUSE);
    std::vector<int> got;
    int sent = 200;
    for (int i = 0; i < sent; ++i) {
      std::string text = std::to_string(i);
      assert(a.SendTo(from, text, kThere) == static_cast<ssize_t>(text.size()));
      net.RunUntil(net.now() + 2);
      char into[16];
      loop::Address who{};
      for (ssize_t n; (n = b.ReceiveFrom(to, into, who)) > 0;) {
        got.push_back(std::stoi(std::string(into, static_cast<std::size_t>(n))));
        assert(stage::Text(who) == "10.0.0.1:49152");
      }
    }
    bool ordered = std::is_sorted(got.begin(), got.end());
    std::size_t n = got.size(),
                all = static_cast<std::size_t>(sent) - 4;  // the last are on their way
    assert(c.lost > 0 ? n < 180 && n > 90 : c.doubled > 0 ? n > 220 : n + 30 > all);
    assert(c.shuffled > 0 ? !ordered : ordered);
  }
}

void AProcessThatNeverRestsIsFound() {
  Net net(1);
  Process& a = net.Start(0x0a000001, "a");
  std::function<void()> again = [&] {
    a.loop().RunAt(a.loop().now(), again);
  };
  a.Act(again);
  bool found = false;
  try {
    net.RunUntil(net.now() + 10);
  } catch (const stage::StageFault& fault) {
    found = std::string(fault.what()).find("a spins") == 0;
  }
  assert(found);
}

void StandingStillDelaysWhatComes() {
  Pair p;
  p.Open();
  p.Pass(100);
  p.b.StandStill(p.net.now() + 500);
  p.Send(p.near, p.a, "x");
  p.Pass(400);
  assert(p.far[0]->got.empty());
  p.Pass(200);
  assert(p.far[0]->got == "x");
}

void TheSameSeedReplays() {
  auto digest = [](std::uint64_t seed) {
    Pair p(seed);
    p.net.SetChoppy(0.5);
    p.net.way(0, 1).lost = 0.1;
    p.Open();
    for (int i = 0; i < 50; ++i) {
      p.Send(p.near, p.a, Pattern(static_cast<std::size_t>(100 * i + 1)));
      p.Pass(7);
    }
    p.Pass(1000);
    return p.net.Digest();
  };
  assert(digest(1) == digest(1) && digest(2) == digest(2) && digest(1) != digest(2));
}

}  // namespace

int main() {
  BytesComeWholeAndInOrder();
  ASlowReaderHoldsTheSenderUp();
  EndsAreNotifiedAsTheyAre();
  WhatACutHeldUpComesAfterIt();
  DescriptorsAndBacklogHaveLimits();
  DatagramsComeWholeOrNot();
  AProcessThatNeverRestsIsFound();
  StandingStillDelaysWhatComes();
  TheSameSeedReplays();
}
