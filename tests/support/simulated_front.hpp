/// A whole front on the simulated network, in virtual time, between fake servers and clients that
/// record when each response arrived. For tests of the front's guarantees on the wire.
#pragma once
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "front/front.hpp"
#include "stage/stage.hpp"

namespace dunlinwick::testing {

using loop::Ms;

constexpr std::uint32_t kClientHost = 0x0a000001;
constexpr std::uint32_t kFrontHost = 0x0a000002;
constexpr std::uint32_t kServerHost = 0x0a000003;
constexpr std::uint32_t kDiscoveryHost = 0x0a000004;
constexpr std::uint16_t kFirstServerPort = 7001;
constexpr int kServers = 3;
constexpr Ms kTooLate = 500;  ///< a response this long after its deadline counts as lost
constexpr Ms kLongestDeadline = 3000;
constexpr Ms kKillAfter = kLongestDeadline + 700;  ///< after the signal to stop

enum class ServerMode {
  kAnswer,
  kAnswerFirst,  ///< answers the first attempt after `FakeServers::kFirstAnswerAfter`, no other
  kHang,
  kRefuse,
  kReset
};
enum class DiscoveryMode {
  kMute,
  kRefuse
};

/// An attempt as a server received it.
struct ReceivedAttempt {
  std::string id;
  Ms received_at = 0;
  Ms deadline = 0;  ///< as the front sent it in `max`
};

/// Servers, each on its own port, that all behave the same.
class FakeServers {
 public:
  static constexpr Ms kFirstAnswerAfter = 1000;

  FakeServers(stage::Network& net, ServerMode mode)
      : process_(net.Start(kServerHost, "servers")), mode_(mode) {
    if (mode == ServerMode::kRefuse)
      return;
    process_.Execute([&] {
      for (int i = 0; i < kServers; ++i) {
        const auto port = static_cast<std::uint16_t>(kFirstServerPort + i);
        listeners_.push_back(std::make_unique<loop::Listener>(
            process_.loop(), stage::MakeAddress(kServerHost, port), [this](loop::Descriptor fd) {
              peers_.push_back(std::make_unique<Peer>(*this, std::move(fd)));
            }));
      }
    });
  }
  ~FakeServers() {
    process_.Execute([&] {
      peers_.clear();
      listeners_.clear();
    });
  }
  const std::vector<ReceivedAttempt>& Attempts() const {
    return attempts_;
  }

 private:
  struct Peer final : loop::Connection::Owner {
    FakeServers& servers;
    loop::Connection connection;
    Peer(FakeServers& owner, loop::Descriptor fd)
        : servers(owner), connection(owner.process_.loop(), *this, std::move(fd)) {}
    void OnBytesReceived() override {
      std::string_view bytes = connection.in.bytes();
      std::size_t end = bytes.find("\r\n");
      while (end != bytes.npos) {
        Answer(bytes.substr(0, end));
        bytes.remove_prefix(end + 2);
        end = bytes.find("\r\n");
      }
      connection.in.Consume(connection.in.size() - bytes.size());
    }
    void Answer(std::string_view line) {
      constexpr std::string_view kRequest = "want ";
      if (!line.starts_with(kRequest))
        return;
      line.remove_prefix(kRequest.size());
      const std::string id(line.substr(0, line.find(' ')));
      loop::Loop& loop = servers.process_.loop();
      servers.attempts_.push_back({id, loop.now(), DeadlineIn(line)});
      const std::string answer = id + " HIT entity=t,issued=1,remark=local 2\r\nok\r\n";
      if (servers.mode_ == ServerMode::kAnswer)
        connection.Send(answer);
      if (servers.mode_ == ServerMode::kAnswerFirst && servers.attempts_.size() == 1)
        AnswerLater(answer, kFirstAnswerAfter);
      if (servers.mode_ == ServerMode::kReset)
        connection.Disconnect(loop::DisconnectReason::kReleased);
    }
    void AnswerLater(const std::string& answer, Ms after) {
      loop::Loop& loop = servers.process_.loop();
      answer_timers.push_back(
          loop.RunAt(loop.now() + after, [this, answer] { connection.Send(answer); }));
    }
    static Ms DeadlineIn(std::string_view line) {
      constexpr std::string_view kField = "max=";
      return std::atof(std::string(line.substr(line.find(kField) + kField.size())).c_str());
    }
    void OnDisconnected(loop::DisconnectReason) override {
      for (std::uint64_t timer : answer_timers)
        servers.process_.loop().Cancel(timer);
      connection.Close();
    }
    std::vector<std::uint64_t> answer_timers;
  };
  stage::Process& process_;
  ServerMode mode_;
  std::vector<ReceivedAttempt> attempts_;
  std::vector<std::unique_ptr<loop::Listener>> listeners_;
  std::vector<std::unique_ptr<Peer>> peers_;
};

/// One client connection, which stays open until the test closes it.
struct Client final : loop::Connection::Owner {
  std::string received;
  Ms sent_at = 0;
  Ms deadline = 0;  ///< from `sent_at`
  Ms answered_at = 0;
  std::vector<Ms> answers_at;  ///< when the head of each response arrived
  bool ended_by_front = false;
  stage::Process* process = nullptr;
  std::unique_ptr<loop::Connection> connection;

  void OnBytesReceived() override {
    received += connection->in.bytes();
    connection->in.Consume(connection->in.size());
    while (answers_at.size() < CountAnswers())
      answers_at.push_back(process->loop().now());
    if (answered_at == 0 && !answers_at.empty())
      answered_at = answers_at.front();
  }
  /// A request's time counts from when its last byte is written to an accepted connection. A
  /// connect that finds the listener's queue full is repeated a second later.
  void OnDrained() override {
    if (answers_at.empty())
      sent_at = std::max(sent_at, process->loop().now());
  }
  void OnDisconnected(loop::DisconnectReason) override {
    ended_by_front = true;
  }
  std::size_t CountAnswers() const {
    std::size_t count = 0;
    for (std::size_t at = received.find("HTTP/1.1 "); at != std::string::npos;
         at = received.find("HTTP/1.1 ", at + 1))
      ++count;
    return count;
  }
};

inline std::string ConfigurationText(std::size_t sockets) {
  std::string servers;
  for (int i = 0; i < kServers; ++i) {
    servers += std::string(i > 0 ? "," : "") + R"({"id":"s-)" + std::to_string(i) +
               R"(","addr":")" +
               stage::FormatAddress(stage::MakeAddress(
                   kServerHost, static_cast<std::uint16_t>(kFirstServerPort + i))) +
               R"(","zone":"e-1","kind":"box","state":"in_service","weight":9})";
  }
  return R"({"name":"n0","listen":"10.0.0.2:80","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":32,"sockets":)" +
         std::to_string(sockets) +
         R"(},"board":"10.0.0.4:5050","known":{"rev":1,"notices":[{"rev":1,"pool":{"full":true,"servers":[)" +
         servers +
         R"(]}}]},"settings":{"zone":1,"azs":["hub","e-1"],"flavors":["box","parent","origin"],"balancers":1,)"
         R"("classes":[{"name":"video","aim":500,"giveUp":3000,"idempotency":"repeatable"},)"
         R"({"name":"order","aim":700,"giveUp":3000,"idempotency":"once"}],)"
         R"("familyInfo":{"neverKept":[false,true],"streamKbPerS":8800,"parentKind":1,"sourceKind":2},)"
         R"("limits":{"maxAttempts":4,"connectTimeout":400,"connIdle":30000,"streamsPerConn":100,"cancel":true}}})";
}

/// A front between fake servers and clients.
class Deployment {
 public:
  explicit Deployment(ServerMode mode, DiscoveryMode discovery = DiscoveryMode::kMute,
                      std::size_t sockets = 256, exchange::RequestRouter router = nullptr)
      : servers(net, mode),
        clients_(net.Start(kClientHost, "clients")),
        discovery_(net.Start(kDiscoveryHost, "discovery")),
        front_process(net.Start(kFrontHost, "front", sockets)) {
    if (discovery == DiscoveryMode::kMute) {
      discovery_.Execute([&] {
        discovery_listener_ = std::make_unique<loop::Listener>(
            discovery_.loop(), stage::MakeAddress(kDiscoveryHost, 5050),
            [this](loop::Descriptor fd) { watches_.push_back(std::move(fd)); });
      });
    }
    front_process.Execute([&] {
      const front::FrontConfiguration configuration =
          front::ParseConfiguration(ConfigurationText(sockets), "test", "");
      front = router ? std::make_unique<front::Front>(front_process.loop(), configuration, router)
                     : std::make_unique<front::Front>(front_process.loop(), configuration);
    });
  }
  ~Deployment() {
    front_process.Execute([&] { front.reset(); });
    clients_.Execute([&] { all.clear(); });
    discovery_.Execute([&] {
      watches_.clear();
      discovery_listener_.reset();
    });
  }
  void RunFor(Ms time) {
    net.RunUntil(net.now() + time);
  }
  Client& Connect() {
    all.push_back(std::make_unique<Client>());
    Client& client = *all.back();
    client.process = &clients_;
    clients_.Execute([&] {
      client.connection = std::make_unique<loop::Connection>(
          clients_.loop(), client, stage::MakeAddress(kFrontHost, 80), Ms{60000});
    });
    return client;
  }
  void Send(Client& client, const std::string& bytes) {
    clients_.Execute([&] { client.connection->Send(bytes); });
  }
  void Close(Client& client) {
    clients_.Execute([&] { client.connection->Close(); });
  }
  /// `headers`: additional headers, each with its line end.
  std::string NextRequest(Ms deadline, const std::string& headers = "") {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", ++requests_);
    last_id = id;
    return "GET /ops/video/" + std::to_string(requests_ % 50) + " HTTP/1.1\r\nX-Request-Id: " + id +
           "\r\nX-Timeout-Ms: " + std::to_string(static_cast<int>(deadline)) +
           "\r\nX-Group: 17\r\n" + headers + "\r\n";
  }
  std::string NextWrite(Ms deadline, std::size_t body_bytes) {
    std::string request =
        NextRequest(deadline, "Content-Length: " + std::to_string(body_bytes) + "\r\n");
    request.replace(0, std::string_view("GET /ops/video").size(), "PUT /ops/order");
    return request + std::string(body_bytes, 'o');
  }
  Client& Request(Client& client, Ms deadline, const std::string& headers = "") {
    client.sent_at = net.now();
    client.deadline = deadline;
    Send(client, NextRequest(deadline, headers));
    return client;
  }
  Client& Request(Ms deadline, const std::string& headers = "") {
    return Request(Connect(), deadline, headers);
  }
  /// Each request has one response, at most `kTooLate` after its deadline.
  void CheckAnswers(std::size_t expected) const {
    std::size_t requests = 0;
    for (const auto& client : all) {
      if (client->deadline == 0)
        continue;
      ++requests;
      INFO("deadline " << client->deadline << " ms, received: " << client->received);
      CHECK(client->CountAnswers() == 1);
      CHECK(client->answered_at - client->sent_at <= client->deadline + kTooLate);
    }
    CHECK(requests == expected);
  }

  stage::Network net{1912};
  FakeServers servers;

 private:
  stage::Process& clients_;
  stage::Process& discovery_;
  std::unique_ptr<loop::Listener> discovery_listener_;
  std::vector<loop::Descriptor> watches_;
  unsigned requests_ = 0;

 public:
  std::string last_id;  ///< of the last request
  stage::Process& front_process;
  std::unique_ptr<front::Front> front;
  std::vector<std::unique_ptr<Client>> all;
};

}  // namespace dunlinwick::testing
