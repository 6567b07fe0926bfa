/// A real front while another process takes the address of a server: before, as and after discovery
/// announces it, with the old connections reset or silent.
///
/// Guards against a new process that is taken for the old one: requests executed twice, sent over
/// connections to the process that has gone, or left without an answer.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "support/front_process.hpp"

using namespace dunlinwick::testing;

namespace {

constexpr std::size_t kServers = 3;
constexpr int kTimeoutMs = 1000;
constexpr Ms kReplacedAt = 700;
constexpr Ms kPlayTime = 2500;
constexpr Ms kRequestInterval = 4;
/// Bytes that were on their way when the event arrived.
constexpr Ms kAnnounceTime = 150;

struct SentRequest {
  std::string id;
  bool is_write = false;
  Ms sent_at = 0;
  Ms took = 0;
  int status = 0;
  std::unique_ptr<RawClient> client;
};

/// Opens a connection for each request, in turn a read and a write, and looks at all of them.
class Load {
 public:
  explicit Load(std::uint16_t port) : port_(port) {}

  void RunUntil(Ms end) {
    while (Now() < end) {
      if (Now() >= next_at_) {
        Send();
        next_at_ = Now() + kRequestInterval;
      }
      Collect();
      SleepFor(1);
    }
  }
  void Finish() {
    const Ms end = Now() + kTimeoutMs + 2 * kTooLate;
    while (Now() < end) {
      Collect();
      SleepFor(1);
    }
  }
  int CountLost() const {
    return static_cast<int>(std::count_if(requests_.begin(), requests_.end(), [](const auto& r) {
      return r.status == 0 || r.took > kTimeoutMs + kTooLate;
    }));
  }
  int CountServed() const {
    return static_cast<int>(std::count_if(requests_.begin(), requests_.end(),
                                          [](const auto& r) { return r.status == 200; }));
  }
  const std::vector<SentRequest>& Requests() const {
    return requests_;
  }

 private:
  void Send() {
    SentRequest request{.id = NewRequestId(),
                        .is_write = requests_.size() % 2 == 1,
                        .sent_at = Now(),
                        .client = std::make_unique<RawClient>(port_)};
    request.client->Send(request.is_write ? WriteRequest(100, kTimeoutMs, request.id)
                                          : ReadRequest("o" + request.id, kTimeoutMs, request.id));
    requests_.push_back(std::move(request));
  }
  void Collect() {
    for (SentRequest& request : requests_) {
      if (!request.client)
        continue;
      const bool is_open = request.client->Receive();
      request.status = request.client->AwaitStatus(0);
      if (request.status != 0 || !is_open) {
        request.took = Now() - request.sent_at;
        request.client.reset();
      }
    }
  }
  std::uint16_t port_;
  Ms next_at_ = 0;
  std::vector<SentRequest> requests_;
};

struct Form {
  const char* name;
  Ms announced_after;  ///< from the replacement; negative: before it
  ProcessEnd end;
  bool same_id;  ///< the new process keeps the id, with a new start
};

void Play(const Form& form) {
  constexpr Ms kServerTime = 100;
  const std::string new_name = "n-0";
  auto is_of_replaced_server = [&](const ReceivedAttempt& attempt) {
    return attempt.server == "s-0" || attempt.server == new_name;
  };
  ServerThread servers(kServers,
                       [](const ReceivedAttempt&) { return ServerAnswer{.after = kServerTime}; });
  DiscoveryThread discovery(1);
  FrontProcess front(servers, kServers, {}, discovery.Address());
  Load load(front.Port());
  auto announce = [&] {
    const std::string address = servers.AddressOf(0);
    const std::string old_entry = FrontProcess::ListedServer("s-0", address, "terminated");
    std::string new_entry = FrontProcess::ListedServer(form.same_id ? "s-0" : new_name, address);
    if (form.same_id)
      new_entry.insert(1, R"("started_ms":)" + std::to_string(UnixMs()) + ",");
    discovery.Announce(R"("pool":{"version":2,"full":false,"servers":[)" +
                       (form.same_id ? "" : old_entry + ",") + new_entry + "]}");
  };
  const Ms begin = Now();
  const Ms replaced_at = begin + kReplacedAt;
  const Ms announced_at = replaced_at + form.announced_after;
  if (form.announced_after < 0) {
    load.RunUntil(announced_at);
    announce();
  }
  load.RunUntil(replaced_at);
  servers.Replace(0, new_name, form.end);
  if (form.announced_after >= 0) {
    load.RunUntil(announced_at);
    announce();
  }
  load.RunUntil(begin + kPlayTime);
  load.Finish();

  std::map<std::string, int> executed;
  int over_old_connections = 0;
  int to_the_new = 0;
  for (const ReceivedAttempt& attempt : servers.Attempts()) {
    executed[attempt.id] += !attempt.was_gone;
    over_old_connections += attempt.connected_at < announced_at &&
                            attempt.at > announced_at + kAnnounceTime &&
                            is_of_replaced_server(attempt);
    to_the_new += attempt.server == new_name;
  }
  int writes = 0, twice = 0;
  for (const SentRequest& request : load.Requests()) {
    writes += request.is_write;
    twice += request.is_write && executed[request.id] > 1;
  }
  std::printf(
      "%s: %zu requests, %d served, %d lost; %d of %d writes executed twice; %d attempts "
      "to the new process, %d over connections older than its announcement\n",
      form.name, load.Requests().size(), load.CountServed(), load.CountLost(), twice, writes,
      to_the_new, over_old_connections);
  CHECK(front.IsRunning());
  CHECK(load.CountServed() > 0);
  CHECK(to_the_new > 0);
  CHECK(load.CountLost() == 0);
  CHECK(twice == 0);
  CHECK(over_old_connections == 0);
}

}  // namespace

TEST_CASE("a new process under a new id at the address of one that has gone") {
  Play({"announced before, reset", -300, ProcessEnd::kReset, false});
  Play({"announced before, silent", -300, ProcessEnd::kSilent, false});
  Play({"announced as it comes, reset", 0, ProcessEnd::kReset, false});
  Play({"announced as it comes, silent", 0, ProcessEnd::kSilent, false});
  Play({"announced after, reset", 600, ProcessEnd::kReset, false});
  Play({"announced after, silent", 600, ProcessEnd::kSilent, false});
}

TEST_CASE("a new process under the id of the one that has gone, with a new start") {
  Play({"same id, announced before, silent", -300, ProcessEnd::kSilent, true});
  Play({"same id, announced as it comes, reset", 0, ProcessEnd::kReset, true});
  Play({"same id, announced after, silent", 600, ProcessEnd::kSilent, true});
}
