// A connection on sockets: what of a message was written when it ended.
#include "kit.hpp"

using namespace kit;

namespace {

void AMessageHalfWrittenIsNotifiedApart() {
  loop::Loop loop;
  FarListener far;
  struct Owner final : loop::Connection::Owner {
    std::optional<loop::DisconnectReason> how;
    void OnBytesReceived() override {}
    void OnDisconnected(loop::DisconnectReason p) override {
      how = p;
    }
  } owner;
  loop::Connection c(loop, owner, far.at, 1000);
  std::uint64_t first = c.Send("small"), second = c.Send(std::string(32 << 20, 'x')),
                third = c.Send("last");
  Far peer = far.Next(loop);
  Until(loop, [&] { return !c.IsUnsent(first); });
  loop.RunOnce(1);
  assert(c.IsUnsent(second) && c.IsUnsent(third) && !c.CancelSend(second) && c.CancelSend(third));
  peer.Reset();
  Until(loop, [&] { return owner.how.has_value(); });
  assert(*owner.how == loop::DisconnectReason::kReset && c.IsUnsent(second) && !c.IsUnsent(first));
}

}  // namespace

int main() {
  struct Case {
    const char* name;
    void (*run)();
  };
  for (Case c :
       {Case{"a message half written is told apart", AMessageHalfWrittenIsNotifiedApart}}) {
    std::puts(c.name);
    std::fflush(stdout);
    c.run();
  }
}
