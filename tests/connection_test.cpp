// A connection on sockets: which messages were written when it ended, and when it is read.
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

// Guards against a connection that is not read any more once its buffer was full, though it was
// emptied since.
void ReadingResumesOnceAFullBufferIsEmptied() {
  constexpr std::size_t kReadLimit = 1 << 14;
  for (bool discards : {false, true}) {
    loop::Loop loop;
    FarListener server;
    struct Owner final : loop::Connection::Owner {
      void OnBytesReceived() override {}
      void OnDisconnected(loop::DisconnectReason) override {}
    } owner;
    loop::Connection c(loop, owner, server.at, 1000);
    c.SetReadLimit(kReadLimit);
    Far peer = server.Next(loop);
    peer.Send(std::string(2 * kReadLimit, 'x') + "last");
    Until(loop, [&] { return c.in.size() >= kReadLimit; });
    for (int iterations = 0; iterations < 20; ++iterations)
      loop.RunOnce(1);
    assert(!c.in.bytes().ends_with("last"));
    Until(loop, [&] {
      if (discards)
        c.DiscardInput();
      else
        c.ConsumeInput(c.in.size());
      loop.RunOnce(1);
      return c.in.bytes().ends_with("last");
    });
  }
}

}  // namespace

int main() {
  struct Case {
    const char* name;
    void (*run)();
  };
  for (Case c :
       {Case{"a partly written message is distinguished", APartlyWrittenMessageIsDistinguished},
        {"reading resumes once a full buffer is emptied",
         ReadingResumesOnceAFullBufferIsEmptied}}) {
    std::puts(c.name);
    std::fflush(stdout);
    c.run();
  }
}
