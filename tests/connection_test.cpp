// A connection on sockets: what of a message was written when it ended.
#include "kit.hpp"

using namespace kit;

namespace {

void aMessageHalfWrittenIsToldApart() {
  loop::Loop loop;
  FarListener far;
  struct Owner final : loop::Connection::Owner {
    std::optional<loop::Parting> how;
    void came() override {}
    void ended(loop::Parting p) override { how = p; }
  } owner;
  loop::Connection c(loop, owner, far.at, 1000);
  std::uint64_t first = c.send("small"), second = c.send(std::string(32 << 20, 'x')), third = c.send("last");
  Far peer = far.next(loop);
  until(loop, [&] { return !c.unsent(first); });
  loop.turn(1);
  assert(c.unsent(second) && c.unsent(third) && !c.takeBack(second) && c.takeBack(third));
  peer.reset();
  until(loop, [&] { return owner.how.has_value(); });
  assert(*owner.how == loop::Parting::reset && c.unsent(second) && !c.unsent(first));
}

}  // namespace

int main() {
  struct Case {
    const char* name;
    void (*run)();
  };
  for (Case c : {Case{"a message half written is told apart", aMessageHalfWrittenIsToldApart}}) {
    std::puts(c.name);
    std::fflush(stdout);
    c.run();
  }
}
