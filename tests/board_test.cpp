// The notice board's side on sockets, beside a far side of plain bytes.
#include "board/board.hpp"

#include "json/json.hpp"
#include "sides.hpp"

using namespace kit;

namespace {

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

}  // namespace

int main() {
  struct Case {
    const char* name;
    void (*run)();
  };
  for (Case c : {Case{"the board is followed without gap or repeat", theBoardIsFollowedWithoutGapOrRepeat}}) {
    std::puts(c.name);
    std::fflush(stdout);
    c.run();
  }
}
