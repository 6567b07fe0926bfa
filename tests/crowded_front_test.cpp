/// A real front beside hundreds of connections that take memory and time: clients that write
/// slowly, stop half way, send heads of very many short fields, or do not read.
///
/// Guards against a front that passes its memory limit, or that answers other clients late, while
/// others hold as many connections as the protocol allows: a third of the descriptors.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "support/front_process.hpp"

using namespace dunlinwick::testing;

namespace {

constexpr std::size_t kServers = 3;
constexpr std::size_t kMaxBodyBytes = 48000;
constexpr std::size_t kMaxObjectBytes = 240000;
constexpr int kLongTimeoutMs = 3000;
constexpr Ms kCrowdTime = 4000;
constexpr Ms kRoundTime = 10;
/// Of a client that does not read: what the front sends stays with the front.
constexpr int kUnreadBufferBytes = 4096;

/// What one client of a crowd sends: `bytes` in pieces, a piece a round.
struct Script {
  std::string bytes;
  std::size_t piece = 1 << 20;
  std::size_t whole_pieces = 0;  ///< bytes at the start that are sent at once
  bool repeats = false;          ///< begins again on the same connection
  bool reads = true;
  std::size_t starts_in_round = 0;
};

struct CrowdClient {
  std::size_t round = 0;
  std::unique_ptr<RawClient> client;
  Script script;
  std::size_t sent = 0;
};

std::string ManyFields(std::size_t bytes) {
  std::string fields;
  while (fields.size() + 4 <= bytes)
    fields += "a:\r\n";
  return fields;
}
std::string PartialWrite(std::size_t body_bytes, const std::string& fields = "") {
  return RequestHead("PUT /ops/order/7f3a", NewRequestId(), kLongTimeoutMs) + fields +
         "Content-Length: " + std::to_string(kMaxBodyBytes) + "\r\n\r\n" +
         std::string(body_bytes, 'o');
}

/// Sends a piece of the script. A client whose connection ended opens a new one and begins again.
void Turn(CrowdClient& crowd, std::uint16_t port) {
  if (crowd.round++ < crowd.script.starts_in_round)
    return;
  if (!crowd.client || !crowd.client->IsConnected()) {
    crowd.client = std::make_unique<RawClient>(port, crowd.script.reads ? 0 : kUnreadBufferBytes);
    crowd.sent = 0;
  }
  if (crowd.script.reads && !crowd.client->Receive())
    crowd.client->Close();
  if (crowd.client->Received().size() > kMaxObjectBytes)
    crowd.client->Forget();
  if (crowd.sent >= crowd.script.bytes.size() && crowd.script.repeats)
    crowd.sent = 0;
  const std::size_t piece =
      crowd.sent < crowd.script.whole_pieces ? crowd.script.whole_pieces : crowd.script.piece;
  if (crowd.sent < crowd.script.bytes.size())
    crowd.sent +=
        crowd.client->Send(std::string_view(crowd.script.bytes).substr(crowd.sent, piece));
}

struct Figures {
  long peak_kb = 0;
  Bystander::Result kept;
  Bystander::Result fresh;
};

/// Plays a crowd that holds a third of the descriptors beside two bystanders.
Figures Play(const char* form, FrontLimits limits, const ServerThread::Behaviour& behaviour,
             const std::function<Script(std::size_t client)>& script) {
  ServerThread servers(kServers, behaviour);
  FrontProcess front(servers, kServers, limits);
  Bystander kept(front.Port(), true);
  Bystander fresh(front.Port(), false);
  std::vector<CrowdClient> crowd(static_cast<std::size_t>(limits.descriptors) / 3);
  for (std::size_t i = 0; i < crowd.size(); ++i)
    crowd[i].script = script(i);
  const Ms end = Now() + kCrowdTime;
  while (Now() < end) {
    for (CrowdClient& client : crowd)
      Turn(client, front.Port());
    SleepFor(kRoundTime);
  }
  Figures figures;
  figures.kept = kept.Stop();
  figures.fresh = fresh.Stop();
  figures.peak_kb = front.PeakMemoryKb();
  std::printf(
      "%s: peak %ld KB of %d MB; bystanders: kept connection %d requests, %d served, %d refused, "
      "%d lost, latest %.0f ms; new connections %d, %d, %d, %d, %.0f ms\n",
      form, figures.peak_kb, limits.memory_mb, figures.kept.requests, figures.kept.served,
      figures.kept.refused, figures.kept.lost, figures.kept.latest, figures.fresh.requests,
      figures.fresh.served, figures.fresh.refused, figures.fresh.lost, figures.fresh.latest);
  CHECK(front.IsRunning());
  CHECK(figures.kept.lost == 0);
  CHECK(figures.fresh.lost == 0);
  CHECK(figures.kept.requests + figures.fresh.requests > 0);
  if (kMeasuresMemory)
    CHECK(figures.peak_kb < limits.memory_mb * 1024L);
  return figures;
}

ServerAnswer AnswerSoon(const ReceivedAttempt&) {
  return {.after = 5};
}
ServerAnswer AnswerLargest(const ReceivedAttempt&) {
  return {.after = 5, .body_bytes = kMaxObjectBytes};
}
ServerAnswer AnswerLargestTogether(const ReceivedAttempt&) {
  return {.after = 500, .body_bytes = kMaxObjectBytes};
}
/// The bystanders' requests are answered, the crowd's writes are not.
ServerAnswer Hang(const ReceivedAttempt&) {
  return {.after = -1};
}

constexpr FrontLimits kSmall{.memory_mb = 32, .descriptors = 1024};

}  // namespace

TEST_CASE("heads that arrive a byte at a time") {
  Play("slow heads", kSmall, AnswerSoon, [](std::size_t) {
    return Script{.bytes = ReadRequest("7f3a", kLongTimeoutMs), .piece = 1, .repeats = true};
  });
}

TEST_CASE("writes that stop half way") {
  for (std::size_t body_bytes : {kMaxBodyBytes / 2, kMaxBodyBytes - 1}) {
    Play(("halves of " + std::to_string(body_bytes) + " bytes").c_str(), kSmall, AnswerSoon,
         [&](std::size_t) { return Script{.bytes = PartialWrite(body_bytes)}; });
  }
}

TEST_CASE("writes that stop half way, more of them than fit into the memory") {
  constexpr FrontLimits kManyDescriptors{.memory_mb = 32, .descriptors = 2048};
  Play("halves beyond the memory", kManyDescriptors, AnswerSoon,
       [](std::size_t) { return Script{.bytes = PartialWrite(kMaxBodyBytes - 1)}; });
}

TEST_CASE("writes that arrive slowly behind heads of many short fields") {
  Play("slow bodies behind many fields", kSmall, AnswerSoon, [](std::size_t) {
    const std::string bytes = PartialWrite(kMaxBodyBytes - 1, ManyFields(7800));
    return Script{.bytes = bytes, .piece = 100, .whole_pieces = 8000};
  });
}

TEST_CASE("heads of short fields that never end") {
  Play("endless fields", kSmall, AnswerSoon, [](std::size_t) {
    return Script{.bytes = RequestHead("GET /ops/video/7f3a", NewRequestId(), kLongTimeoutMs) +
                           ManyFields(1 << 16),
                  .piece = 400};
  });
}

TEST_CASE("whole requests of many short fields") {
  Play("whole heads of many fields", kSmall, AnswerSoon, [](std::size_t) {
    return Script{.bytes = RequestHead("GET /ops/video/7f3a", NewRequestId(), kLongTimeoutMs) +
                           ManyFields(7800) + "\r\n",
                  .repeats = true};
  });
}

TEST_CASE("largest writes while servers hang, with more behind each") {
  Play("largest writes, servers hang", kSmall, Hang, [](std::size_t) {
    return Script{.bytes = WriteRequest(kMaxBodyBytes, kLongTimeoutMs) +
                           WriteRequest(kMaxBodyBytes, kLongTimeoutMs)};
  });
}

TEST_CASE("largest responses that nobody reads") {
  Play("unread responses", kSmall, AnswerLargest, [](std::size_t client) {
    return Script{.bytes = ReadRequest("u" + std::to_string(client), kLongTimeoutMs),
                  .reads = false,
                  .starts_in_round = client / 2};
  });
}

TEST_CASE("largest responses to all clients at once") {
  Play("largest responses at once", kSmall, AnswerLargestTogether, [](std::size_t client) {
    return Script{.bytes = ReadRequest("u" + std::to_string(client), kLongTimeoutMs),
                  .repeats = true};
  });
}
