// A connection on sockets: which messages were written when it ended.
#include "kit.hpp"

using namespace kit;

namespace {

void APartlyWrittenMessageIsDistinguished() {
  loop::Loop loop;
  FarListener server;
  struct Owner final : loop::Connection::Owner {
    std::optional<loop::DisconnectReason> reason;
    void OnBytesReceived() override {}
    void OnDisconnected(loop::DisconnectReason ended) override {
      reason = ended;
    }
  } owner;
  loop::Connection c(loop, owner, server.at, 1000);
  std::uint64_t first = c.Send("small"), second = c.Send(std::string(32 << 20, 'x')),
                third = c.Send("last");
  Far peer = server.Next(loop);
  Until(loop, [&] { return !c.IsUnsent(first); });
  loop.RunOnce(1);
  assert(c.IsUnsent(second) && c.IsUnsent(third) && !c.CancelSend(second) && c.CancelSend(third));
  peer.Reset();
  Until(loop, [&] { return owner.reason.has_value(); });
  assert(*owner.reason == loop::DisconnectReason::kReset && c.IsUnsent(second) &&
         !c.IsUnsent(first));
}

}  // namespace

int main() {
  struct Case {
    const char* name;
    void (*run)();
  };
  for (Case c :
       {Case{"a partly written message is distinguished", APartlyWrittenMessageIsDistinguished}}) {
    std::puts(c.name);
    std::fflush(stdout);
    c.run();
  }
}
