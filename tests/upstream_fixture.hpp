// A connection pool between an Exchange that routes requests and servers that send each byte when
// the test says so; and an attempt that waits to be written, for a given reason.
#pragma once
#include "caches/caches.hpp"
#include "sides.hpp"

namespace kit {

constexpr int kVideo = 0;
constexpr int kWrite = 1;

struct Road {  // a connection pool on loopback sockets, with an Exchange that routes requests
  loop::Loop loop;
  exchange::Exchange exchange;
  caches::UpstreamConnectionPool caches;
  explicit Road(const std::vector<exchange::ListedEndpoint>& list,
                const StoreSettings& s = kit::Settings(),
                const settings::RoadTerms& t = MakeTerms(20000), std::size_t most = 8)
      : exchange(loop, s, 1), caches(loop, exchange, t, most) {
    exchange.SetUpstreamTransport(caches);
    exchange.OnListUpdate(true, list);
  }
  void Turns(int count = 20) {
    for (int i = 0; i < count; ++i)
      loop.turn(1);
  }
};

inline StoreSettings SettingsWith(bool cancel, Effect effect = Effect::kIdempotent) {
  StoreSettings s = kit::Settings();
  s.may.cancel = cancel;
  s.request_classes[kWrite].effect = effect;
  return s;
}

inline RequestMetadata AskAs(int which, int request_class = kVideo) {
  RequestMetadata a = AskFor("00000000000000a" + std::to_string(which));
  a.request_class_index = request_class;
  if (request_class == kWrite) {
    a.request_class = "write";
    a.body = "x";
  }
  return a;
}
inline std::string WantOf(int which) {
  return "want 00000000000000a" + std::to_string(which) + ' ';
}
inline std::string Hit(int which) {
  return "00000000000000a" + std::to_string(which) +
         " HIT entity=t,issued=1,remark=local 2\r\nok\r\n";
}

// What the attempt waits for when an event occurs.
enum Wait {
  kDial,
  kQueue,
  kCheck
};

// A pool in which the attempt of request 1 waits, and the server that would get it.
struct Waiting {
  FarListener far;
  Road r;
  Asked client;
  std::vector<Asked> others{40};
  std::uint32_t request = 0;
  Far peer;
  Wait wait;
  int asked = 1;

  Waiting(Wait how, StoreSettings s, std::vector<exchange::ListedEndpoint> more = {},
          int request_class = kVideo)
      : r(ListOf(far, more), s), wait(how) {
    if (how == kQueue)
      Fill();
    request = r.exchange.OnRequest(AskAs(1, request_class), client);
    if (how == kCheck) {
      peer = far.Next(r.loop);
      Until(r.loop, [&] { return peer.Hears("there call\r\n"); });
    }
  }
  static std::vector<exchange::ListedEndpoint> ListOf(const FarListener& far,
                                                      std::vector<exchange::ListedEndpoint> more) {
    auto all = Machines({{"s-1", far.at}});
    all.insert(all.end(), more.begin(), more.end());
    return all;
  }
  // Writes until the server, which reads nothing, accepts no more.
  void Fill() {
    RequestMetadata first = AskAs(0);
    r.exchange.OnRequest(first, others[0]);
    peer = far.Next(r.loop);
    Until(r.loop, [&] { return peer.Hears(WantOf(0)); });
    // More than the kernel buffers for one connection, on both sides.
    for (int i = 1; i < 7; ++i) {  // seven share the connection with the one that waits
      RequestMetadata a = AskFor("00000000000000b" + std::to_string(i));
      a.request_class_index = kVideo;
      a.body.assign(4 << 20, 'x');
      r.exchange.OnRequest(a, others[static_cast<std::size_t>(i)]);
    }
    r.Turns(3);
  }
  // Ends the wait, so that the attempt is sent if it still may be.
  void LetGo() {
    if (wait == kCheck)
      peer.Send("call PONG - 0\r\n\r\n");
    if (wait == kDial)
      peer = far.Next(r.loop);
    if (wait == kQueue)
      Until(r.loop, [&] {
        if (peer.Read(1 << 20).size() > (1 << 21))
          peer.got.erase(0, peer.got.size() - 4096);
        return peer.got.ends_with("\r\n") && Quiet();
      });
    r.Turns();
  }
  // No more bytes arrived in some iterations.
  bool Quiet() {
    for (int i = 0; i < 20; ++i) {
      std::size_t before = peer.got.size();
      r.loop.turn(1);
      if (peer.Read(1 << 20).size() != before)
        return false;
    }
    return true;
  }
  bool Began() {
    return peer.Hears(WantOf(1));
  }
};

}  // namespace kit
