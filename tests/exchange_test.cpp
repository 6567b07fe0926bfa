// The exchange between noted sides: one answer a pull, whatever its legs come to.
#include <algorithm>
#include <unordered_map>

#include "sides.hpp"

using namespace kit;

namespace {

void EveryRequestGetsOneAnswer() {
  struct Case {
    Ending ending;
    std::vector<std::string> notified;
    std::size_t attempts;
  };
  for (const Case& c :
       {Case{Ending::kFinished, {"200 t1"}, 1}, {Ending::kError, {}, 2}, {Ending::kFull, {}, 2}}) {
    Desk d;
    Asked client;
    d.exchange.OnRequest(AskFor(), client);
    assert(d.caches.sent.size() == 1 && client.notified.empty());
    AttemptKey key = d.caches.sent[0].key;
    d.exchange.AnswerBegun(key, Said(c.ending), 3);
    d.exchange.AnswerBytes(key, "a\r");
    d.exchange.AnswerBytes(key, "b");
    d.exchange.AnswerWhole(key, Said(c.ending));
    assert(client.Is(c.notified) && d.caches.sent.size() == c.attempts);
    assert(c.notified.empty() || client.body == "a\rb");
    d.exchange.AnswerWhole(key, Said(Ending::kFinished));  // late, or twice
    d.exchange.AttemptLost(key, loop::DisconnectReason::kReset, true);
    assert(client.Is(c.notified) && d.exchange.OpenRequests() == (c.notified.empty() ? 1u : 0u));
  }
}

// An exclusive pull whose leg was written whole and broke may have run: it is abandoned. Not
// written whole, or never up: it goes out again.
void ExclusiveRequestsGoByWhatIsProven() {
  for (bool whole : {false, true}) {
    Desk d;
    Asked client;
    Ask a = AskFor();
    a.request_class = "write";
    a.request_class_at = 1;
    a.body = "x";
    d.exchange.OnRequest(a, client);
    d.exchange.AttemptLost(d.caches.sent[0].key, loop::DisconnectReason::kReset, whole);
    assert(client.Is(whole ? std::vector<std::string>{"502"} : std::vector<std::string>{}) == true);
    assert(d.caches.sent.size() == (whole ? 1u : 2u));
  }
}

// A cache that calls the client's copy the one, where the client has told of none, is in error.
// Nor is an object passed on without the tag and the age that belong to it; a write's answer has
// neither.
void NoCopyIsConfirmedThatNobodyHas() {
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
    Desk d;
    Asked client;
    Ask a = AskFor();
    a.tag = c.held;
    if (c.writes) {
      a.request_class = "write";
      a.request_class_at = 1;
    }
    d.exchange.OnRequest(a, client);
    exchange::Word word = Said(Ending::kFinished);
    word.unchanged = c.valid;
    word.tag = c.tag;
    word.dated = c.dated;
    d.exchange.AnswerWhole(d.caches.sent[0].key, word);
    assert(client.notified.size() == (c.fits ? 1u : 0u) &&
           d.caches.sent.size() == (c.fits ? 1u : 2u));
  }
}

void WhoLeavesIsOwedNothing() {
  Desk d;
  Asked client;
  std::uint32_t request = d.exchange.OnRequest(AskFor(), client);
  d.exchange.OnClientLeft(request);
  assert(d.caches.given_up.size() == 1 && d.exchange.OpenRequests() == 0);
  d.exchange.AnswerWhole(d.caches.sent[0].key, Said(Ending::kFinished));
  assert(client.notified.empty());
}

void OverdueRequestsAreAnswered() {
  Desk d;
  Asked client;
  Ask a = AskFor();
  a.ttl = 30;
  d.exchange.OnRequest(a, client);
  Until(d.loop, [&] { return !client.notified.empty(); });
  assert(client.notified[0].substr(0, 3) == "503" && d.caches.given_up.size() == 1 &&
         d.exchange.OpenRequests() == 0);
}

void StreamsArePassedOnAsTheyCome() {
  StoreSettings s = kit::Settings();
  s.request_classes[0].streams = true;
  for (int end = 0; end < 3; ++end) {
    Desk d(s);
    Asked client;
    std::uint32_t request = d.exchange.OnRequest(AskFor(), client);
    AttemptKey key = d.caches.sent[0].key;
    d.exchange.AnswerBegun(key, Said(Ending::kFinished), 4);
    d.exchange.AnswerBytes(key, "ab");
    assert(client.Is({"begun t1"}) && client.body == "ab");
    if (end == 0)
      d.exchange.AnswerWhole(key, Said(Ending::kFinished));
    if (end == 1)
      d.exchange.AttemptLost(key, loop::DisconnectReason::kReset, true);
    if (end == 2)
      d.exchange.OnClientLeft(request);
    assert(client.notified.size() == (end == 2 ? 1u : 2u) && d.exchange.OpenRequests() == 0);
    assert(end == 2 || client.notified[1] == (end == 0 ? "completed" : "broke"));
    assert(d.caches.given_up.size() == (end == 2 ? 1u : 0u));
  }
}

// A machine keeps its number while it is listed; some minutes after it has left, told so or lacking
// from a whole list, nothing of it is kept.
void MachinesThatLeftAreForgotten() {
  for (bool notified : {true, false}) {
    Desk d(kit::Settings(), 2);
    auto two = Machines({{"s-0", {}}, {"s-1", {}}});
    if (notified)
      two[1].entry.standing = Standing::kGone;
    else
      two.pop_back();
    d.exchange.ListCame(!notified, two);
    d.loop.AdvanceClock(100000);
    two.resize(1);
    d.exchange.ListCame(false, two);
    assert(d.caches.forgotten.empty());
    d.loop.AdvanceClock(100000);
    d.exchange.ListCame(false, two);
    assert(d.caches.forgotten.size() ==
           (notified ? 1u : 2u));  // the origin was not on the second list either
  }
}

// The numbers as they are to come out at all replicas: the id's hash, and past those that are
// taken, looked for one by one.
struct NumberedInTurn {
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
    auto [first, isNew] = by_hash.emplace(NumberedInTurn::HashOf(name), name);
    if (!isNew)
      found.emplace_back(first->second, name);
  }
  return found;
}

void ListAll(Desk& d, const std::vector<std::string>& names, Standing standing = Standing::kReady) {
  std::vector<std::pair<std::string, loop::Address>> all;
  for (const std::string& name : names)
    all.push_back({name, {}});
  auto entries = Machines(all);
  for (exchange::Listed& one : entries)
    one.entry.standing = standing;
  d.exchange.ListCame(false, entries);
}

// Replicas that read the same list come to the same numbers, also where the hashes of ids collide.
void NumbersAreGivenInTurn() {
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
    Desk d;
    NumberedInTurn expected;
    for (auto& [name, number] : d.caches.numbers)
      expected.Add(name);
    assert(d.caches.numbers == expected.numbers);
    for (const std::string& name : names)
      expected.Add(name);
    ListAll(d, names);
    ListAll(d, names);  // once more: nothing changes
    assert(d.caches.numbers == expected.numbers);
    for (auto& [first, second] : pairs)
      assert(d.caches.numbers[backwards ? first : second] == NumberedInTurn::HashOf(first) + 1);
  }
}

// The number of a server that left long ago is free for another one; that of a server that is
// listed stays taken.
void NumbersOfThoseLongGoneAreFree() {
  constexpr Ms kLongAfter = 200000;
  auto [first, second] = CollidingIds(1).front();
  std::uint32_t number = NumberedInTurn::HashOf(first);
  Desk d;
  ListAll(d, {first, second});
  assert(d.caches.numbers[first] == number && d.caches.numbers[second] == number + 1);
  ListAll(d, {first}, Standing::kGone);
  ListAll(d, {second}, Standing::kGone);
  ListAll(d, {second});  // it is back before it is forgotten
  d.loop.AdvanceClock(kLongAfter);
  ListAll(d, {second});
  assert(d.caches.forgotten == std::vector<std::uint32_t>{number} &&
         d.caches.numbers[second] == number + 1);
  ListAll(d, {second}, Standing::kGone);
  d.loop.AdvanceClock(kLongAfter);
  ListAll(d, {second});  // forgotten and new in one
  assert(d.caches.forgotten.size() == 2 && d.caches.numbers[second] == number);
  ListAll(d, {first});
  assert(d.caches.numbers[first] == number + 1);
}

}  // namespace

int main() {
  struct Case {
    const char* name;
    void (*run)();
  };
  for (Case c : {Case{"every pull gets one answer", EveryRequestGetsOneAnswer},
                 {"exclusive pulls go by what is proven", ExclusiveRequestsGoByWhatIsProven},
                 {"no copy is confirmed that nobody has", NoCopyIsConfirmedThatNobodyHas},
                 {"who leaves is owed nothing", WhoLeavesIsOwedNothing},
                 {"overdue pulls are answered", OverdueRequestsAreAnswered},
                 {"streams are passed on as they come", StreamsArePassedOnAsTheyCome},
                 {"machines that left are forgotten", MachinesThatLeftAreForgotten},
                 {"numbers are given in turn", NumbersAreGivenInTurn},
                 {"numbers of those long gone are free", NumbersOfThoseLongGoneAreFree}}) {
    std::puts(c.name);
    std::fflush(stdout);
    c.run();
  }
}
