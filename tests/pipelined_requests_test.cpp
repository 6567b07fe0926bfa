/// Requests that wait in the front before it processes them, on the simulated network.
///
/// Guards against a front that counts a request's deadline from when it takes the request up
/// instead of from its arrival, and that ignores the deadlines of requests pipelined behind an open
/// one. Two requests in one write, with 4000 and 2000 ms, the first answered by its server after 1
/// s and the second never: the second was forwarded a second after its client had sent it with
/// `max=2000`, and its final response was a second late. On the wire its `max` exceeded the time
/// left by as long as it had waited (1,013 ms on sockets, 1,002 ms here).
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "support/simulated_front.hpp"

using namespace dunlinwick::testing;

namespace {

/// By how much any time limit may be exceeded on sockets.
constexpr Ms kSlack = 50;
/// By how much the forwarded deadline may exceed the client's time left.
constexpr Ms kPassedOnSlack = 150;

struct SentRequest {
  std::string id;
  Ms sent_at = 0;
  Ms deadline = 0;
};

/// Requests that one client sends without waiting for the responses.
class Pipeline {
 public:
  explicit Pipeline(Deployment& deployment)
      : deployment_(deployment), client_(deployment.Connect()) {}

  /// Adds a request to the next write.
  void Add(Ms deadline, const std::string& headers = "") {
    unsent_ += deployment_.NextRequest(deadline, headers);
    requests_.push_back({deployment_.last_id, deployment_.net.now(), deadline});
  }
  void AddWrite(Ms deadline, std::size_t body_bytes) {
    unsent_ += deployment_.NextWrite(deadline, body_bytes);
    requests_.push_back({deployment_.last_id, deployment_.net.now(), deadline});
  }
  void Write() {
    deployment_.Send(client_, unsent_);
    unsent_.clear();
  }
  void CheckAnswersInTime() const {
    INFO("received: " << client_.received);
    REQUIRE(client_.answers_at.size() == requests_.size());
    for (std::size_t i = 0; i < requests_.size(); ++i) {
      CAPTURE(i);
      CHECK(client_.answers_at[i] - requests_[i].sent_at <= requests_[i].deadline + kSlack);
    }
  }
  /// For every attempt that servers received for these requests.
  void CheckDeadlinesPassedOn() const {
    for (const ReceivedAttempt& attempt : deployment_.servers.Attempts()) {
      auto request = std::find_if(requests_.begin(), requests_.end(),
                                  [&](const SentRequest& r) { return r.id == attempt.id; });
      REQUIRE(request != requests_.end());
      const Ms left = request->sent_at + request->deadline - attempt.received_at;
      INFO("request " << request - requests_.begin() << ", " << left << " ms left");
      CHECK(attempt.deadline <= left + kPassedOnSlack);
    }
  }
  const std::string& Received() const {
    return client_.received;
  }

 private:
  Deployment& deployment_;
  Client& client_;
  std::string unsent_;
  std::vector<SentRequest> requests_;
};

}  // namespace

TEST_CASE("a pipelined request is answered within its own deadline") {
  Deployment deployment(ServerMode::kAnswerFirst);
  Pipeline pipeline(deployment);
  pipeline.Add(4000);
  pipeline.Add(2000);
  pipeline.Write();
  deployment.RunFor(5000);
  CHECK(pipeline.Received().starts_with("HTTP/1.1 200"));
  pipeline.CheckAnswersInTime();
  pipeline.CheckDeadlinesPassedOn();
}

TEST_CASE("a request pipelined behind one without a response is answered within its own deadline") {
  for (const std::vector<Ms>& deadlines :
       {std::vector<Ms>{3000, 1000}, {3000, 2500, 400}, {2000, 2000, 2000}, {1000, 3000}}) {
    for (Ms between : {0.0, 120.0}) {
      CAPTURE(deadlines.size());
      CAPTURE(between);
      Deployment deployment(ServerMode::kHang);
      Pipeline pipeline(deployment);
      for (Ms deadline : deadlines) {
        pipeline.Add(deadline);
        if (between > 0) {
          pipeline.Write();
          deployment.RunFor(between);
        }
      }
      pipeline.Write();
      deployment.RunFor(5000);
      pipeline.CheckAnswersInTime();
      pipeline.CheckDeadlinesPassedOn();
    }
  }
}

TEST_CASE("requests beyond the size of the input buffer are answered within their own deadlines") {
  // A request head is rejected from 8 KiB on; a connection buffers 64 KiB.
  const std::string padding = "X-Padding: " + std::string(7000, 'x') + "\r\n";
  constexpr int kRequests = 14;
  Deployment deployment(ServerMode::kAnswerFirst);
  Pipeline pipeline(deployment);
  for (int i = 0; i < kRequests; ++i)
    pipeline.Add(2000, padding);
  pipeline.Write();
  deployment.RunFor(5000);
  pipeline.CheckAnswersInTime();
  pipeline.CheckDeadlinesPassedOn();
}

// Guards against a connection that is not read any more: a write that was rejected at once left the
// full input buffer, and the rest of the next one waited unread for 2.5 s, beyond its deadline.
TEST_CASE("a write behind a full input buffer is read once a rejected one has left it") {
  constexpr std::size_t kWriteBytes = 47000;  // two of these exceed the 64 KiB that are buffered
  Deployment deployment(ServerMode::kHang);
  Pipeline pipeline(deployment);
  pipeline.Add(3000);
  pipeline.AddWrite(1000, kWriteBytes);
  pipeline.AddWrite(1500, kWriteBytes);
  pipeline.Write();
  deployment.RunFor(7000);
  pipeline.CheckAnswersInTime();
  pipeline.CheckDeadlinesPassedOn();
}

TEST_CASE("a request that arrived while the process was suspended forwards the time left") {
  constexpr Ms kStandstill = 400;
  Deployment deployment(ServerMode::kAnswer);
  Client& idle = deployment.Connect();
  deployment.RunFor(100);
  deployment.front_process.PauseUntil(deployment.net.now() + kStandstill);
  Pipeline pipeline(deployment);
  pipeline.Add(2000);
  pipeline.Write();
  deployment.Request(idle, 2000);
  deployment.RunFor(3000);
  REQUIRE(deployment.servers.Attempts().size() == 2);
  for (const ReceivedAttempt& attempt : deployment.servers.Attempts()) {
    CHECK(attempt.received_at - idle.sent_at >= kStandstill);
    CHECK(attempt.deadline <= idle.sent_at + 2000 - attempt.received_at + kPassedOnSlack);
  }
}
