/// A whole front on the simulated network, in virtual time: whatever servers, the discovery service
/// and other clients do, each request gets one final response in time, also one that arrives late
/// while the front stops.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "support/simulated_front.hpp"

using namespace dunlinwick;
using namespace dunlinwick::testing;

namespace {

/// What 400 misbehaving clients send, in rotation; the last kind sends nothing.
std::vector<std::string> BadBytes(Deployment& deployment) {
  std::string pipelined;
  for (int i = 0; i < 20; ++i)
    pipelined += deployment.NextRequest(1000);
  return {std::string("\x16\x03\x01", 3),
          "GET /ops/video/1 HTTP/1.1\r\nX-Request-Id: ",
          "PUT /ops/video/1 HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: "
          "chunked\r\n\r\n0\r\n\r\n",
          "GET /alive HTTP/1.1\r\nA: " + std::string(20000, 'x'),
          pipelined,
          ""};
}

}  // namespace

TEST_CASE(
    "each request is answered in time while servers, the discovery service and other clients "
    "misbehave") {
  for (ServerMode servers :
       {ServerMode::kAnswer, ServerMode::kHang, ServerMode::kRefuse, ServerMode::kReset}) {
    for (DiscoveryMode discovery : {DiscoveryMode::kMute, DiscoveryMode::kRefuse}) {
      CAPTURE(static_cast<int>(servers));
      CAPTURE(static_cast<int>(discovery));
      Deployment deployment(servers, discovery);
      std::size_t good = 0;
      for (int i = 0; i < 20; ++i, ++good) {
        deployment.Request(i % 2 == 0 ? 1000 : 3000);
        deployment.RunFor(50);
      }
      const std::vector<std::string> bad = BadBytes(deployment);
      for (std::size_t i = 0; i < 400; ++i) {
        Client& client = deployment.Connect();
        if (const std::string& bytes = bad[i % bad.size()]; !bytes.empty())
          deployment.Send(client, bytes);
      }
      for (int i = 0; i < 60; ++i, ++good) {
        deployment.Request(i % 2 == 0 ? 1000 : 3000);
        deployment.RunFor(50);
      }
      deployment.RunFor(5000);
      deployment.CheckAnswers(good);
    }
  }
}

// With memory for few connections the front left requests unread behind those that servers did not
// answer, until the first of those ended: requests with little time were answered too late.
TEST_CASE("requests with little time are answered beside as many open ones as clients may have") {
  constexpr std::size_t kSockets = 1024;
  constexpr std::size_t kClientConnections = kSockets / 3;
  constexpr Ms kLittleTime = 200;
  auto leaves_long_requests_open = [](Ms, const Event& event) -> std::vector<Action> {
    const auto* arrived = std::get_if<RequestArrived>(&event);
    if (!arrived || arrived->time_left > kLittleTime)
      return {};
    return {RejectRequest{.request = arrived->request}};
  };
  Deployment deployment(ServerMode::kHang, DiscoveryMode::kMute, kSockets,
                        leaves_long_requests_open);
  for (std::size_t i = 1; i < kClientConnections; ++i) {
    deployment.Send(deployment.Connect(), deployment.NextRequest(kLongestDeadline));
    // More at one instant would overflow the simulated listener's queue.
    if (i % 40 == 0)
      deployment.RunFor(20);
  }
  deployment.Request(kLittleTime);
  deployment.RunFor(kLongestDeadline);
  deployment.CheckAnswers(1);
}

TEST_CASE("each request is answered in time beside clients that exhaust the descriptors") {
  for (const char* bytes :
       {"", "GET /ops/video/1 HTTP/1.1\r\nX-Request-Id: ", "GET /alive HTTP/1.1\r\n\r\n", "\x16"}) {
    for (std::size_t sockets : {64, 256}) {
      CAPTURE(bytes);
      CAPTURE(sockets);
      Deployment deployment(ServerMode::kHang, DiscoveryMode::kRefuse, sockets);
      const int connections = sockets == 64 ? 100 : 400;
      for (int i = 0; i < connections; ++i) {
        Client& client = deployment.Connect();
        if (*bytes != 0)
          deployment.Send(client, bytes);
        // All connect within 0.4 s. At one instant they would overflow the simulated listener's
        // queue of 128, and their repeated attempts come 1 s later.
        if (i % 40 == 39)
          deployment.RunFor(40);
      }
      for (int i = 0; i < 30; ++i) {
        deployment.Request(i % 2 == 0 ? 1000 : 3000);
        deployment.RunFor(200);
      }
      deployment.RunFor(4000);
      deployment.CheckAnswers(30);
    }
  }
}

TEST_CASE("requests that arrive during a stop are answered before the process may be killed") {
  for (ServerMode servers : {ServerMode::kAnswer, ServerMode::kHang, ServerMode::kRefuse}) {
    for (Ms standstill : {0.0, 300.0}) {
      CAPTURE(static_cast<int>(servers));
      CAPTURE(standstill);
      Deployment deployment(servers);
      std::vector<Client*> open;
      for (int i = 0; i < 8; ++i)
        open.push_back(&deployment.Connect());
      deployment.RunFor(100);
      const Ms stopped_at = deployment.net.now();
      deployment.front_process.Execute([&] { deployment.front->Stop(); });
      std::size_t requests = 0;
      for (Ms after : {0.0, 200.0, 400.0, 550.0, 600.0, 640.0, 670.0, 695.0}) {
        deployment.net.RunUntil(stopped_at + after);
        if (after == 550 && standstill > 0)
          deployment.front_process.PauseUntil(deployment.net.now() + standstill);
        deployment.Request(*open[requests / 2], kLongestDeadline);
        deployment.Request(kLongestDeadline);
        requests += 2;
      }
      deployment.net.RunUntil(stopped_at + kKillAfter);
      deployment.CheckAnswers(requests);
      deployment.RunFor(300);
      CHECK(deployment.front_process.loop().IsStopped());
    }
  }
}

TEST_CASE(
    "requests that wait in the backlog at a stop are answered before the process may be killed") {
  Deployment deployment(ServerMode::kHang, DiscoveryMode::kMute, 64);
  std::vector<Client*> first;
  for (int i = 0; i < 28; ++i)
    first.push_back(&deployment.Request(kLongestDeadline));
  deployment.RunFor(100);
  std::size_t requests = first.size();
  const Ms stopped_at = deployment.net.now();
  deployment.front_process.Execute([&] { deployment.front->Stop(); });
  for (int i = 0; i < 8; ++i, ++requests)
    deployment.Request(kLongestDeadline);
  deployment.net.RunUntil(stopped_at + kKillAfter);
  deployment.CheckAnswers(requests);
}
