// Tests of the Exchange between a recording response sink and a recording transport: every request
// gets one final response, whatever the results of its attempts.
#include <algorithm>
#include <unordered_map>

#include "sides.hpp"

using namespace kit;

namespace {

void EveryRequestGetsOneResponse() {
  struct Case {
    AttemptResult ending;
    std::vector<std::string> notified;
    std::size_t attempts;
  };
  for (const Case& c : {Case{AttemptResult::kFinished, {"200 t1"}, 1},
                        {AttemptResult::kError, {}, 2},
                        {AttemptResult::kOverloaded, {}, 2}}) {
    ExchangeFixture d;
    RecordingResponseSink client;
    d.exchange.OnRequest(MakeRequest(), client);
    assert(d.caches.sent.size() == 1 && client.notified.empty());
    AttemptKey key = d.caches.sent[0].key;
    d.exchange.OnAttemptResponseStarted(key, MakeResponseHead(c.ending), 3);
    d.exchange.OnAttemptResponseData(key, "a\r");
    d.exchange.OnAttemptResponseData(key, "b");
    d.exchange.OnAttemptResponseComplete(key, MakeResponseHead(c.ending));
    assert(client.Is(c.notified) && d.caches.sent.size() == c.attempts);
    assert(c.notified.empty() || client.body == "a\rb");
    d.exchange.OnAttemptResponseComplete(
        key, MakeResponseHead(AttemptResult::kFinished));  // late, or a duplicate
    d.exchange.OnAttemptDisconnected(key, loop::DisconnectReason::kReset, true);
    assert(client.Is(c.notified) &&
           d.exchange.OpenRequestCount() == (c.notified.empty() ? 1u : 0u));
  }
}

// An exclusive request whose attempt was fully written when the connection broke may have run, so
// it fails. If it was not fully written, or never connected, it is sent again.
void ExclusiveRequestsAreRepeatedOnlyIfUnsent() {
  for (bool whole : {false, true}) {
    ExchangeFixture d;
    RecordingResponseSink client;
    RequestMetadata a = MakeRequest();
    a.request_class = "write";
    a.request_class_index = 1;
    a.body = "x";
    d.exchange.OnRequest(a, client);
    d.exchange.OnAttemptDisconnected(d.caches.sent[0].key, loop::DisconnectReason::kReset, whole);
    assert(client.Is(whole ? std::vector<std::string>{"502"} : std::vector<std::string>{}) == true);
    assert(d.caches.sent.size() == (whole ? 1u : 2u));
  }
}

// A cache that confirms the client's copy although the client named none is in error. An object is
// not passed on without its entity tag and age either; the response to a write has neither.
void InvalidCacheResponsesAreErrors() {
  struct Case {
    const char *held, *tag;
    bool dated;
    bool valid;
    bool writes;
    bool fits;
  };
  for (const Case& c : {Case{"", "t1", true, true, false, false},
                        {"t1", "t1", true, true, false, true},
                        {"", "", true, false, false, false},
                        {"", "t1", false, false, false, false},
                        {"", "t1", true, false, false, true},
                        {"", "", false, false, true, true}}) {
    ExchangeFixture d;
    RecordingResponseSink client;
    RequestMetadata a = MakeRequest();
    a.entity_tag = c.held;
    if (c.writes) {
      a.request_class = "write";
      a.request_class_index = 1;
    }
    d.exchange.OnRequest(a, client);
    exchange::ResponseHead word = MakeResponseHead(AttemptResult::kFinished);
    word.not_modified = c.valid;
    word.entity_tag = c.tag;
    word.has_issue_time = c.dated;
    d.exchange.OnAttemptResponseComplete(d.caches.sent[0].key, word);
    assert(client.notified.size() == (c.fits ? 1u : 0u) &&
           d.caches.sent.size() == (c.fits ? 1u : 2u));
  }
}

void DisconnectedClientsGetNoResponse() {
  ExchangeFixture d;
  RecordingResponseSink client;
  std::uint32_t request = d.exchange.OnRequest(MakeRequest(), client);
  d.exchange.OnClientDisconnected(request);
  assert(d.caches.cancelled.size() == 1 && d.exchange.OpenRequestCount() == 0);
  d.exchange.OnAttemptResponseComplete(d.caches.sent[0].key,
                                       MakeResponseHead(AttemptResult::kFinished));
  assert(client.notified.empty());
}

void OverdueRequestsAreRejected() {
  ExchangeFixture d;
  RecordingResponseSink client;
  RequestMetadata a = MakeRequest();
  a.ttl = 30;
  d.exchange.OnRequest(a, client);
  Until(d.loop, [&] { return !client.notified.empty(); });
  assert(client.notified[0].substr(0, 3) == "503" && d.caches.cancelled.size() == 1 &&
         d.exchange.OpenRequestCount() == 0);
}

void StreamsAreForwardedAsTheyArrive() {
  DeploymentSettings s = kit::Settings();
  s.request_classes[0].streams = true;
  for (int end = 0; end < 3; ++end) {
    ExchangeFixture d(s);
    RecordingResponseSink client;
    std::uint32_t request = d.exchange.OnRequest(MakeRequest(), client);
    AttemptKey key = d.caches.sent[0].key;
    d.exchange.OnAttemptResponseStarted(key, MakeResponseHead(AttemptResult::kFinished), 4);
    d.exchange.OnAttemptResponseData(key, "ab");
    assert(client.Is({"begun t1"}) && client.body == "ab");
    if (end == 0)
      d.exchange.OnAttemptResponseComplete(key, MakeResponseHead(AttemptResult::kFinished));
    if (end == 1)
      d.exchange.OnAttemptDisconnected(key, loop::DisconnectReason::kReset, true);
    if (end == 2)
      d.exchange.OnClientDisconnected(request);
    assert(client.notified.size() == (end == 2 ? 1u : 2u) && d.exchange.OpenRequestCount() == 0);
    assert(end == 2 || client.notified[1] == (end == 0 ? "completed" : "broke"));
    assert(d.caches.cancelled.size() == (end == 2 ? 1u : 0u));
  }
}

// An endpoint keeps its number while it is listed. Some minutes after it was listed as gone, or was
// missing from a complete list, nothing of it is kept.
void RemovedEndpointsAreForgotten() {
  for (bool notified : {true, false}) {
    ExchangeFixture d(kit::Settings(), 2);
    auto two = MakeEndpointList({{"s-0", {}}, {"s-1", {}}});
    if (notified)
      two[1].entry.state = EndpointState::kRemoved;
    else
      two.pop_back();
    d.exchange.OnListUpdate(!notified, two);
    d.loop.AdvanceClock(100000);
    two.resize(1);
    d.exchange.OnListUpdate(false, two);
    assert(d.caches.removed.empty());
    d.loop.AdvanceClock(100000);
    d.exchange.OnListUpdate(false, two);
    assert(d.caches.removed.size() ==
           (notified ? 1u : 2u));  // the origin was not on the second list either
  }
}

// The numbers that all replicas must compute: the hash of the id or, if that is taken, the next
// free number.
struct ExpectedNumbers {
  std::map<std::string, std::uint32_t> numbers;
  static std::uint32_t HashOf(std::string_view name) {
    std::uint64_t h = 0xcbf29ce484222325ull;
    for (char c : name)
      h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ull;
    return static_cast<std::uint32_t>(h ^ h >> 32);
  }
  bool Taken(std::uint32_t number) const {
    return std::any_of(numbers.begin(), numbers.end(),
                       [&](auto& one) { return one.second == number; });
  }
  std::uint32_t Add(const std::string& name) {
    auto known = numbers.find(name);
    if (known != numbers.end())
      return known->second;
    std::uint32_t number = HashOf(name);
    while (number == 0 || Taken(number))
      ++number;
    return numbers[name] = number;
  }
};

// Pairs of ids with the same hash.
std::vector<std::pair<std::string, std::string>> CollidingIds(std::size_t pairs) {
  std::vector<std::pair<std::string, std::string>> found;
  std::unordered_map<std::uint32_t, std::string> by_hash;
  for (int i = 0; found.size() < pairs; ++i) {
    std::string name = "node-" + std::to_string(i);
    auto [first, isNew] = by_hash.emplace(ExpectedNumbers::HashOf(name), name);
    if (!isNew)
      found.emplace_back(first->second, name);
  }
  return found;
}

void ListAll(ExchangeFixture& d, const std::vector<std::string>& names,
             EndpointState standing = EndpointState::kReady) {
  std::vector<std::pair<std::string, loop::Address>> all;
  for (const std::string& name : names)
    all.push_back({name, {}});
  auto entries = MakeEndpointList(all);
  for (exchange::ListedEndpoint& one : entries)
    one.entry.state = standing;
  d.exchange.OnListUpdate(false, entries);
}

// Replicas that read the same list compute the same numbers, also where hashes of ids collide.
void NumbersAreAssignedInOrder() {
  auto pairs = CollidingIds(6);
  std::vector<std::string> names;
  for (auto& [first, second] : pairs) {
    names.push_back(first);
    names.push_back("s-" + std::to_string(names.size()));
    names.push_back(second);
  }
  for (int i = 0; i < 500; ++i)
    names.push_back("e-" + std::to_string(i));
  for (bool backwards : {false, true}) {
    if (backwards)
      std::reverse(names.begin(), names.end());
    ExchangeFixture d;
    ExpectedNumbers expected;
    for (auto& [name, number] : d.caches.numbers)
      expected.Add(name);
    assert(d.caches.numbers == expected.numbers);
    for (const std::string& name : names)
      expected.Add(name);
    ListAll(d, names);
    ListAll(d, names);  // listed again: nothing changes
    assert(d.caches.numbers == expected.numbers);
    for (auto& [first, second] : pairs)
      assert(d.caches.numbers[backwards ? first : second] == ExpectedNumbers::HashOf(first) + 1);
  }
}

// The number of an endpoint that was removed long ago can be used for another one; the number of a
// listed endpoint stays taken.
void NumbersOfForgottenEndpointsAreReused() {
  constexpr Ms kLongAfter = 200000;
  auto [first, second] = CollidingIds(1).front();
  std::uint32_t number = ExpectedNumbers::HashOf(first);
  ExchangeFixture d;
  ListAll(d, {first, second});
  assert(d.caches.numbers[first] == number && d.caches.numbers[second] == number + 1);
  ListAll(d, {first}, EndpointState::kRemoved);
  ListAll(d, {second}, EndpointState::kRemoved);
  ListAll(d, {second});  // it is listed again before it is forgotten
  d.loop.AdvanceClock(kLongAfter);
  ListAll(d, {second});
  assert(d.caches.removed == std::vector<std::uint32_t>{number} &&
         d.caches.numbers[second] == number + 1);
  ListAll(d, {second}, EndpointState::kRemoved);
  d.loop.AdvanceClock(kLongAfter);
  ListAll(d, {second});  // forgotten and added in one call
  assert(d.caches.removed.size() == 2 && d.caches.numbers[second] == number);
  ListAll(d, {first});
  assert(d.caches.numbers[first] == number + 1);
}

// The oldest ids are forgotten, by number and by time, so that ever new ids do not fill the memory.
void ExecutedIdsAreBounded() {
  constexpr int kAdded = 100000;
  exchange::RecentRequestIds ids;
  for (int i = 0; i < kAdded; ++i)
    ids.Add(std::to_string(i), 0);
  assert(ids.size() < kAdded / 2 && ids.size() >= 10000);
  assert(ids.Contains(std::to_string(kAdded - 1)) && !ids.Contains("0"));
  constexpr Ms kHour = 3600 * 1000;
  ids.Add("last", kHour);
  assert(ids.size() == 1 && ids.Contains("last"));
}

// A response that has no room is not stored. Its request is rejected, or failed where it may not be
// executed again; all that was charged is given back.
void ResponsesWithoutRoomEndTheirRequests() {
  for (Effect effect : {Effect::kIdempotent, Effect::kExclusive}) {
    loop::Loop loop;
    RecordingTransport caches;
    DeploymentSettings settings = kit::Settings();
    settings.request_classes[0].effect = effect;
    exchange::Exchange exchange(loop, settings, 1);
    exchange.SetUpstreamTransport(caches);
    exchange.OnListUpdate(true, MakeEndpointList({{"origin", {}}, {"s-1", {}}}));
    exchange.memory().SetLimit(1000);
    RecordingResponseSink client;
    RequestMetadata request = MakeRequest();
    request.body = "body";
    exchange.OnRequest(request, client);
    assert(caches.sent.size() == 1 && exchange.memory().used_bytes() > 0);
    const AttemptKey key = caches.sent[0].key;
    const exchange::ResponseHead head = MakeResponseHead(AttemptResult::kFinished);
    exchange.OnAttemptResponseStarted(key, head, 1001);
    const std::string expected = effect == Effect::kExclusive ? "502" : "503";
    assert(client.Is({expected}) && exchange.counters.memory_shortages == 1);
    exchange.OnAttemptResponseData(key, std::string(1001, 'b'));
    exchange.OnAttemptResponseComplete(key, head);
    assert(client.Is({expected}) && exchange.memory().used_bytes() == 0);
  }
}

}  // namespace

int main() {
  struct Case {
    const char* name;
    void (*run)();
  };
  for (Case c :
       {Case{"every request gets one response", EveryRequestGetsOneResponse},
        {"exclusive requests are repeated only if unsent",
         ExclusiveRequestsAreRepeatedOnlyIfUnsent},
        {"invalid cache responses are errors", InvalidCacheResponsesAreErrors},
        {"disconnected clients get no response", DisconnectedClientsGetNoResponse},
        {"overdue requests are rejected", OverdueRequestsAreRejected},
        {"streams are forwarded as they arrive", StreamsAreForwardedAsTheyArrive},
        {"executed ids are bounded", ExecutedIdsAreBounded},
        {"responses without room end their requests", ResponsesWithoutRoomEndTheirRequests},
        {"removed endpoints are forgotten", RemovedEndpointsAreForgotten},
        {"numbers are assigned in order", NumbersAreAssignedInOrder},
        {"numbers of forgotten endpoints are reused", NumbersOfForgottenEndpointsAreReused}}) {
    std::puts(c.name);
    std::fflush(stdout);
    c.run();
  }
}
