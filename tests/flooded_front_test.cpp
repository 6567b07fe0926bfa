/// A real front beside one client that sends at full speed on one connection: small requests,
/// unsound ones, ever new names, ids and objects.
///
/// Guards against a front that serves such a client alone while others wait, and against memory
/// that grows with every new name.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "support/front_process.hpp"

using namespace dunlinwick::testing;

namespace {

constexpr std::size_t kServers = 3;
constexpr Ms kFloodTime = 5000;
constexpr std::size_t kBatchBytes = 1 << 16;
/// What a process may grow by in the second half of a flood: an allocator's slack, not a table that
/// has no bound.
constexpr long kMaxGrowthKb = 4096;

/// Keeps a connection's kernel buffer full with what `next` returns, and reads all answers. A
/// connection that the front ends is opened again.
class Flood {
 public:
  Flood(std::uint16_t port, std::function<std::string()> next)
      : port_(port), next_(std::move(next)), thread_([this] { Run(); }) {}
  ~Flood() {
    stopping_ = true;
    thread_.join();
  }
  std::size_t BytesSent() const {
    return bytes_sent_;
  }

 private:
  void Run() {
    std::unique_ptr<RawClient> client;
    std::string unsent;
    while (!stopping_) {
      if (!client || !client->Receive()) {
        client = std::make_unique<RawClient>(port_);
        unsent.clear();
      }
      client->Forget();
      while (unsent.size() < kBatchBytes)
        unsent += next_();
      const std::size_t sent = client->Send(unsent);
      bytes_sent_ += sent;
      unsent.erase(0, sent);
      if (sent == 0)
        SleepFor(0.2);
    }
  }
  std::uint16_t port_;
  std::function<std::string()> next_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::size_t> bytes_sent_{0};
  std::thread thread_;
};

void Play(const char* form, const std::function<std::string()>& next) {
  constexpr FrontLimits kSmall{.memory_mb = 32, .descriptors = 1024};
  ServerThread servers(kServers, [](const ReceivedAttempt&) { return ServerAnswer{.after = 1}; });
  FrontProcess front(servers, kServers, kSmall);
  Bystander kept(front.Port(), true);
  Bystander fresh(front.Port(), false);
  std::size_t bytes_sent = 0;
  long half_way_kb = 0;
  {
    Flood flood(front.Port(), next);
    SleepFor(kFloodTime / 2);
    half_way_kb = front.MemoryKb();
    SleepFor(kFloodTime / 2);
    bytes_sent = flood.BytesSent();
  }
  const long end_kb = front.MemoryKb();
  const Bystander::Result kept_result = kept.Stop();
  const Bystander::Result fresh_result = fresh.Stop();
  std::printf(
      "%s: %zu KB sent; memory %ld KB half way, %ld KB at the end, peak %ld KB of %d MB; "
      "bystanders: kept connection %d requests, %d served, %d refused, %d lost, latest %.0f ms; "
      "new connections %d, %d, %d, %d, %.0f ms\n",
      form, bytes_sent / 1024, half_way_kb, end_kb, front.PeakMemoryKb(), kSmall.memory_mb,
      kept_result.requests, kept_result.served, kept_result.refused, kept_result.lost,
      kept_result.latest, fresh_result.requests, fresh_result.served, fresh_result.refused,
      fresh_result.lost, fresh_result.latest);
  CHECK(front.IsRunning());
  CHECK(bytes_sent > kBatchBytes);
  CHECK(kept_result.lost == 0);
  CHECK(fresh_result.lost == 0);
  CHECK(kept_result.requests > 0);
  CHECK(fresh_result.requests > 0);
  if (kMeasuresMemory) {
    CHECK(front.PeakMemoryKb() < kSmall.memory_mb * 1024L);
    CHECK(end_kb - half_way_kb < kMaxGrowthKb);
  }
}

}  // namespace

TEST_CASE("sound requests that are answered at once") {
  Play("liveness requests", [] { return std::string("GET /alive HTTP/1.1\r\n\r\n"); });
}

TEST_CASE("requests that are rejected one by one") {
  Play("unknown paths", [] { return std::string("GET /x HTTP/1.1\r\n\r\n"); });
  Play("unknown classes under new names", [] {
    return RequestHead("GET /ops/c" + NewRequestId() + "/7f3a", NewRequestId(), 1000) + "\r\n";
  });
  Play("ids that are none",
       [] { return RequestHead("GET /ops/video/7f3a", "none", 1000) + "\r\n"; });
}

TEST_CASE("what can't be read") {
  Play("no HTTP", [] { return std::string("no request at all\r\n\r\n"); });
  Play("empty lines", [] { return std::string("\r\n\r\n\r\n\r\n"); });
}

TEST_CASE("requests under ever new ids and objects") {
  Play("new objects", [] { return ReadRequest("o" + NewRequestId(), 1000); });
  Play("new objects with no time left", [] { return ReadRequest("o" + NewRequestId(), 0); });
  Play("small writes", [] { return WriteRequest(1, 1000); });
}
