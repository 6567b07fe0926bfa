// The upstream side between an exchange that decides and far sides that say each byte when they are told to; and an attempt that
// waits to be written, for whatever reason.
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
  explicit Road(const std::vector<exchange::Listed>& list, const StoreSheet& s = kit::sheet(),
                const sheet::RoadTerms& t = terms(20000), std::size_t most = 8)
      : exchange(loop, s, 1), caches(loop, exchange, t, most) {
    exchange.meet(caches);
    exchange.listCame(true, list);
  }
  void turns(int count = 20) {
    for (int i = 0; i < count; ++i) loop.turn(1);
  }
};

inline StoreSheet sheetWith(bool cancel, Effect effect = Effect::rerunnable) {
  StoreSheet s = kit::sheet();
  s.may.cancel = cancel;
  s.offerings[kWrite].effect = effect;
  return s;
}

inline Ask askAs(int which, int offering = kVideo) {
  Ask a = askFor("00000000000000a" + std::to_string(which));
  a.offeringAt = offering;
  if (offering == kWrite) a.offering = "write", a.body = "x";
  return a;
}
inline std::string wantOf(int which) { return "want 00000000000000a" + std::to_string(which) + ' '; }
inline std::string hit(int which) { return "00000000000000a" + std::to_string(which) + " HIT entity=t,issued=1,remark=local 2\r\nok\r\n"; }

// What the attempt waits for when something happens.
enum Wait { dial, queue, check };

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

  Waiting(Wait how, StoreSheet s, std::vector<exchange::Listed> more = {}, int offering = kVideo) : r(listOf(far, more), s), wait(how) {
    if (how == queue) fill();
    request = r.exchange.pullCame(askAs(1, offering), client);
    if (how == check) {
      peer = far.next(r.loop);
      until(r.loop, [&] { return peer.hears("there call\r\n"); });
    }
  }
  static std::vector<exchange::Listed> listOf(const FarListener& far, std::vector<exchange::Listed> more) {
    auto all = machines({{"s-1", far.at}});
    all.insert(all.end(), more.begin(), more.end());
    return all;
  }
  // Writes until the far side, which reads nothing, takes no more.
  void fill() {
    Ask first = askAs(0);
    r.exchange.pullCame(first, others[0]);
    peer = far.next(r.loop);
    until(r.loop, [&] { return peer.hears(wantOf(0)); });
    // More than the system holds for one connection, on both sides.
    for (int i = 1; i < 7; ++i) {  // seven share the connection with the one that waits
      Ask a = askFor("00000000000000b" + std::to_string(i));
      a.offeringAt = kVideo, a.body.assign(4 << 20, 'x');
      r.exchange.pullCame(a, others[static_cast<std::size_t>(i)]);
    }
    r.turns(3);
  }
  // Lets what waits go, as far as it still goes.
  void letGo() {
    if (wait == check) peer.say("call PONG - 0\r\n\r\n");
    if (wait == dial) peer = far.next(r.loop);
    if (wait == queue)
      until(r.loop, [&] {
        if (peer.read(1 << 20).size() > (1 << 21)) peer.got.erase(0, peer.got.size() - 4096);
        return peer.got.ends_with("\r\n") && quiet();
      });
    r.turns();
  }
  // Nothing more came in some turns.
  bool quiet() {
    for (int i = 0; i < 20; ++i) {
      std::size_t before = peer.got.size();
      r.loop.turn(1);
      if (peer.read(1 << 20).size() != before) return false;
    }
    return true;
  }
  bool began() { return peer.hears(wantOf(1)); }
};

}  // namespace kit
