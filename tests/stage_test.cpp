// Tests of the simulated network: the guarantees of streams and datagrams, each network fault, and
// that a run with the same seed repeats exactly.
#include "stage/stage.hpp"

#include <cassert>
#include <cstdio>
#include <stdexcept>

#include "loop/listener.hpp"

using namespace dunlinwick;
using loop::DisconnectReason;
using stage::Network;
using stage::Process;

namespace {

const loop::Address kThere = stage::MakeAddress(0x0a000002, 80);

// One end of a connection; records the bytes and the disconnects.
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

// Two processes: a listener at the second, one connection from the first.
struct Pair {
  Network net;
  Process &a, &b;
  Side near;
  std::vector<std::unique_ptr<Side>> far;
  std::unique_ptr<loop::Listener> listener;

  explicit Pair(std::uint64_t seed = 1, bool listens = true, loop::Ms latency = 5)
      : net(seed), a(net.Start(0x0a000001, "a")), b(net.Start(0x0a000002, "b")) {
    net.SetSite(0x0a000002, 1);
    stage::Link w;
    w.latency = latency;
    net.SetLink(0, 1, w);
    net.SetLink(1, 0, w);
    if (listens)
      b.Execute([&] {
        listener = std::make_unique<loop::Listener>(b.loop(), kThere, [this](loop::Descriptor fd) {
          far.push_back(std::make_unique<Side>());
          far.back()->connection =
              std::make_unique<loop::Connection>(b.loop(), *far.back(), std::move(fd));
        });
      });
  }
  void Open(loop::Ms within = 400) {
    a.Execute([&] {
      near.connection = std::make_unique<loop::Connection>(a.loop(), near, kThere, within);
    });
  }
  void Pass(loop::Ms ms) {
    net.RunUntil(net.now() + ms);
  }
  void Send(Side& side, Process& of, std::string text) {
    of.Execute([&] { side.connection->Send(std::move(text)); });
  }
};

std::string Pattern(std::size_t n) {
  std::string text;
  for (std::size_t i = 0; i < n; ++i)
    text += static_cast<char>('a' + i * 7 % 26);
  return text;
}

void BytesArriveCompleteAndInOrder() {
  for (double choppy : {0.0, 0.9})
    for (std::size_t size : {std::size_t{1}, std::size_t{5000}, std::size_t{700000}}) {
      Pair p;
      p.net.SetPartialIoShare(choppy);
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

void ASlowReaderBlocksTheSender() {
  Pair p;
  p.Open();
  p.Pass(50);
  p.b.Execute([&] { p.far[0]->connection->SetReadLimit(0); });
  p.Send(p.near, p.a, Pattern(1 << 20));
  p.Pass(1000);
  assert(!p.near.connection->IsSendQueueEmpty() && p.far[0]->got.empty());
  p.b.Execute([&] { p.far[0]->connection->SetReadLimit(1 << 16); });
  p.Pass(60000);
  assert(p.near.connection->IsSendQueueEmpty() && p.far[0]->got == Pattern(1 << 20));
}

void DisconnectReasonsAreReported() {
  struct Case {
    const char* name;
    bool listens;
    bool opens;
    void (*what)(Pair&);
    std::vector<DisconnectReason> near;
  };
  for (const Case& c : std::vector<Case>{
           {"nobody listens", false, false, [](Pair&) {}, {DisconnectReason::kRefused}},
           {"the host is blocked",
            true,
            false,
            [](Pair& p) { p.net.SetHostBlocked(0x0a000002, true, true); },
            {DisconnectReason::kConnectFailed}},
           {"the host was killed silently",
            true,
            false,
            [](Pair& p) { p.net.KillSilently(p.b); },
            {DisconnectReason::kConnectFailed}},
           {"closed",
            true,
            true,
            [](Pair& p) { p.b.Execute([&] { p.far[0]->connection->Close(); }); },
            {DisconnectReason::kClosed}},
           {"half closed",
            true,
            true,
            [](Pair& p) { p.b.Execute([&] { p.far[0]->connection->ShutdownWrite(); }); },
            {DisconnectReason::kClosed}},
           {"killed", true, true, [](Pair& p) { p.net.Kill(p.b); }, {DisconnectReason::kReset}},
           {"killed silently while connected: no disconnect",
            true,
            true,
            [](Pair& p) { p.net.KillSilently(p.b); },
            {}},
           {"blocked while connected: no disconnect",
            true,
            true,
            [](Pair& p) { p.net.SetHostBlocked(0x0a000002, true, true); },
            {}},
           {"killed silently, then restarted: a reset once something is sent",
            true,
            true,
            [](Pair& p) {
              p.net.KillSilently(p.b);
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

void BlockedBytesArriveAfterTheBlockEnds() {
  Pair p;
  p.Open();
  p.Pass(100);
  p.net.SetHostBlocked(0x0a000001, false, true);  // one direction only
  p.Send(p.near, p.a, "held");
  p.Send(*p.far[0], p.b, "passes");
  p.Pass(1000);
  assert(p.far[0]->got.empty() && p.near.got == "passes");
  p.a.Execute([&] { p.near.connection->Close(); });
  p.net.SetHostBlocked(0x0a000001, false, false);
  p.Pass(1000);
  assert(p.far[0]->got == "held" &&
         p.far[0]->ends == std::vector<DisconnectReason>{DisconnectReason::kClosed});
}

void DescriptorsAreLimited() {
  Network net(1);
  Process& a = net.Start(0x0a000001, "a", 6);  // three are reserved for the standard streams
  a.Execute([&] {
    for (int fd : {3, 4, 5})
      assert(a.OpenStream() == fd);
    assert(a.OpenStream() == -EMFILE);
    a.Close(4);
    assert(a.OpenStream() == 4 && a.OpenDescriptors() == 3);
    assert(a.Listen(stage::MakeAddress(0x0a000002, 80)) == -EADDRNOTAVAIL);
  });
}

void DatagramsArriveCompleteOrNotAtAll() {
  struct Case {
    double lost;
    double doubled;
    double shuffled;
  };
  for (const Case& c : {Case{0, 0, 0}, {0.3, 0, 0}, {0, 0.3, 0}, {0, 0, 0.5}}) {
    Network net(7);
    Process &a = net.Start(0x0a000001, "a"), &b = net.Start(0x0a000002, "b");
    stage::Link& w = net.LinkBetween(0, 0);
    w.latency = 5;
    w.loss_share = c.lost;
    w.duplicate_share = c.doubled;
    w.reorder_share = c.shuffled;
    int from = a.OpenDatagrams(stage::MakeAddress(0x0a000001, 0)), to = b.OpenDatagrams(kThere);
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
        assert(stage::FormatAddress(who) == "10.0.0.1:49152");
      }
    }
    bool ordered = std::is_sorted(got.begin(), got.end());
    std::size_t n = got.size(),
                all = static_cast<std::size_t>(sent) - 4;  // the last ones are still in transit
    assert(c.lost > 0 ? n < 180 && n > 90 : c.doubled > 0 ? n > 220 : n + 30 > all);
    assert(c.shuffled > 0 ? !ordered : ordered);
  }
}

void AProcessThatNeverBecomesIdleIsReported() {
  Network net(1);
  Process& a = net.Start(0x0a000001, "a");
  std::function<void()> again = [&] {
    a.loop().RunAt(a.loop().now(), again);
  };
  a.Execute(again);
  bool found = false;
  try {
    net.RunUntil(net.now() + 10);
  } catch (const stage::SimulationError& fault) {
    found = std::string(fault.what()).find("a does not become idle") == 0;
  }
  assert(found);
}

void APausedProcessHandlesArrivalsLater() {
  Pair p;
  p.Open();
  p.Pass(100);
  p.b.PauseUntil(p.net.now() + 500);
  p.Send(p.near, p.a, "x");
  p.Pass(400);
  assert(p.far[0]->got.empty());
  p.Pass(200);
  assert(p.far[0]->got == "x");
}

void TheSameSeedRepeatsTheRun() {
  auto digest = [](std::uint64_t seed) {
    Pair p(seed);
    p.net.SetPartialIoShare(0.5);
    p.net.LinkBetween(0, 1).loss_share = 0.1;
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
  BytesArriveCompleteAndInOrder();
  ASlowReaderBlocksTheSender();
  DisconnectReasonsAreReported();
  BlockedBytesArriveAfterTheBlockEnds();
  DescriptorsAreLimited();
  DatagramsArriveCompleteOrNotAtAll();
  AProcessThatNeverBecomesIdleIsReported();
  APausedProcessHandlesArrivalsLater();
  TheSameSeedRepeatsTheRun();
}
