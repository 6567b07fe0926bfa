// A connection pool between an Exchange that routes requests and servers that send each byte when
// the test says so; and an attempt that waits to be written, for a given reason.
#pragma once
#include "caches/caches.hpp"
#include "sides.hpp"

namespace kit {

constexpr int kVideo = 0;
constexpr int kWrite = 1;

struct PoolFixture {  // a connection pool on loopback sockets, with an Exchange that routes
                      // requests
  loop::Loop loop;
  exchange::Exchange exchange;
  caches::UpstreamConnectionPool caches;
  explicit PoolFixture(const std::vector<exchange::ListedEndpoint>& list,
                       const DeploymentSettings& s = kit::Settings(),
                       const settings::ConnectionSettings& t = MakeConnectionSettings(20000),
                       std::size_t most = 8)
      : exchange(loop, s, 1), caches(loop, exchange, t, most) {
    exchange.SetUpstreamTransport(caches);
    exchange.OnListUpdate(true, list);
  }
  void RunIterations(int count = 20) {
    for (int i = 0; i < count; ++i)
      loop.RunOnce(1);
  }
};

inline DeploymentSettings SettingsWith(bool cancel, Effect effect = Effect::kIdempotent) {
  DeploymentSettings s = kit::Settings();
  s.permissions.cancel = cancel;
  s.request_classes[kWrite].effect = effect;
  return s;
}

inline RequestMetadata MakeNumberedRequest(int which, int request_class = kVideo) {
  RequestMetadata a = MakeRequest("00000000000000a" + std::to_string(which));
  a.request_class_index = request_class;
  if (request_class == kWrite) {
    a.request_class = "write";
    a.body = "x";
  }
  return a;
}
inline std::string RequestPrefix(int which) {
  return "want 00000000000000a" + std::to_string(which) + ' ';
}
inline std::string HitResponse(int which) {
  return "00000000000000a" + std::to_string(which) +
         " HIT entity=t,issued=1,remark=local 2\r\nok\r\n";
}

// What the attempt waits for when an event occurs.
enum WaitReason {
  kConnecting,
  kWriteBuffer,
  kLivenessCheck
};

// A pool in which the attempt of request 1 waits, and the server that would get it.
struct QueuedAttemptFixture {
  FarListener far;
  PoolFixture fixture;
  RecordingResponseSink client;
  std::vector<RecordingResponseSink> others{40};
  std::uint32_t request = 0;
  Far peer;
  WaitReason wait;
  int asked = 1;

  QueuedAttemptFixture(WaitReason reason, DeploymentSettings s,
                       std::vector<exchange::ListedEndpoint> more = {}, int request_class = kVideo)
      : fixture(ListOf(far, more), s), wait(reason) {
    if (reason == kWriteBuffer)
      FillWriteBuffer();
    request = fixture.exchange.OnRequest(MakeNumberedRequest(1, request_class), client);
    if (reason == kLivenessCheck) {
      peer = far.Next(fixture.loop);
      Until(fixture.loop, [&] { return peer.Hears("there call\r\n"); });
    }
  }
  static std::vector<exchange::ListedEndpoint> ListOf(const FarListener& far,
                                                      std::vector<exchange::ListedEndpoint> more) {
    auto all = MakeEndpointList({{"s-1", far.at}});
    all.insert(all.end(), more.begin(), more.end());
    return all;
  }
  // Writes until the server, which reads nothing, accepts no more.
  void FillWriteBuffer() {
    RequestMetadata first = MakeNumberedRequest(0);
    fixture.exchange.OnRequest(first, others[0]);
    peer = far.Next(fixture.loop);
    Until(fixture.loop, [&] { return peer.Hears(RequestPrefix(0)); });
    // More than the kernel buffers for one connection, on both sides.
    for (int i = 1; i < 7; ++i) {  // seven share the connection with the one that waits
      RequestMetadata a = MakeRequest("00000000000000b" + std::to_string(i));
      a.request_class_index = kVideo;
      a.body.assign(4 << 20, 'x');
      fixture.exchange.OnRequest(a, others[static_cast<std::size_t>(i)]);
    }
    fixture.RunIterations(3);
  }
  // Ends the wait, so that the attempt is sent if it still may be.
  void EndWait() {
    if (wait == kLivenessCheck)
      peer.Send("call PONG - 0\r\n\r\n");
    if (wait == kConnecting)
      peer = far.Next(fixture.loop);
    if (wait == kWriteBuffer)
      Until(fixture.loop, [&] {
        if (peer.Read(1 << 20).size() > (1 << 21))
          peer.got.erase(0, peer.got.size() - 4096);
        return peer.got.ends_with("\r\n") && IsQuiet();
      });
    fixture.RunIterations();
  }
  // No more bytes arrived in some iterations.
  bool IsQuiet() {
    for (int i = 0; i < 20; ++i) {
      std::size_t before = peer.got.size();
      fixture.loop.RunOnce(1);
      if (peer.Read(1 << 20).size() != before)
        return false;
    }
    return true;
  }
  bool HasStarted() {
    return peer.Hears(RequestPrefix(1));
  }
};

}  // namespace kit
