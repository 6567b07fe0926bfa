// The upstream side between an exchange that decides and far sides that say each byte when they are
// told to; and an attempt that waits to be written, for whatever reason.
#pragma once
#include "caches/caches.hpp"
#include "sides.hpp"

namespace kit {

constexpr int kVideo = 0;
constexpr int kWrite = 1;

struct Road {  // caches on real sockets, an exchange that decides
  loop::Loop loop;
  exchange::Exchange exchange;
  caches::Caches caches;
  explicit Road(const std::vector<exchange::Listed>& list, const StoreSettings& s = kit::Settings(),
                const settings::RoadTerms& t = MakeTerms(20000), std::size_t most = 8)
      : exchange(loop, s, 1), caches(loop, exchange, t, most) {
    exchange.Meet(caches);
    exchange.ListCame(true, list);
  }
  void Turns(int count = 20) {
    for (int i = 0; i < count; ++i)
      loop.RunOnce(1);
  }
};

inline StoreSettings SettingsWith(bool cancel, Effect effect = Effect::kIdempotent) {
  StoreSettings s = kit::Settings();
  s.may.cancel = cancel;
  s.request_classes[kWrite].effect = effect;
  return s;
}

inline Ask AskAs(int which, int request_class = kVideo) {
  Ask a = AskFor("00000000000000a" + std::to_string(which));
  a.request_class_at = request_class;
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

// What the attempt waits for when something happens.
enum Wait {
  kDial,
  kQueue,
  kCheck
};

// A road whose attempt of request 1 waits; the far side that would get it.
struct Waiting {
  FarListener far;
  Road r;
  Asked client;
  std::vector<Asked> others{40};
  std::uint32_t request = 0;
  Far peer;
  Wait wait;
  int asked = 1;

  Waiting(Wait how, StoreSettings s, std::vector<exchange::Listed> more = {},
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
  static std::vector<exchange::Listed> ListOf(const FarListener& far,
                                              std::vector<exchange::Listed> more) {
    auto all = Machines({{"s-1", far.at}});
    all.insert(all.end(), more.begin(), more.end());
    return all;
  }
  // Writes until the far side, which reads nothing, takes no more.
  void Fill() {
    Ask first = AskAs(0);
    r.exchange.OnRequest(first, others[0]);
    peer = far.Next(r.loop);
    Until(r.loop, [&] { return peer.Hears(WantOf(0)); });
    // More than the system holds for one connection, on both sides.
    for (int i = 1; i < 7; ++i) {  // seven share the connection with the one that waits
      Ask a = AskFor("00000000000000b" + std::to_string(i));
      a.request_class_at = kVideo;
      a.body.assign(4 << 20, 'x');
      r.exchange.OnRequest(a, others[static_cast<std::size_t>(i)]);
    }
    r.Turns(3);
  }
  // Lets what waits go, as far as it still goes.
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
  // Nothing more came in some turns.
  bool Quiet() {
    for (int i = 0; i < 20; ++i) {
      std::size_t before = peer.got.size();
      r.loop.RunOnce(1);
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
