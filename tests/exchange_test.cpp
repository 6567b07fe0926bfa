// The exchange between noted sides: one answer a pull, whatever its legs come to.
#include <algorithm>
#include <unordered_map>

#include "sides.hpp"

using namespace kit;

namespace {

void everyPullGetsOneAnswer() {
  struct Case {
    Ending ending;
    std::vector<std::string> told;
    std::size_t legs;
  };
  for (const Case& c :
       {Case{Ending::finished, {"200 t1"}, 1}, {Ending::error, {}, 2}, {Ending::full, {}, 2}}) {
    Desk d;
    Asked client;
    d.exchange.pullCame(askFor(), client);
    assert(d.caches.sent.size() == 1 && client.told.empty());
    LegKey key = d.caches.sent[0].key;
    d.exchange.answerBegun(key, said(c.ending), 3);
    d.exchange.answerBytes(key, "a\r");
    d.exchange.answerBytes(key, "b");
    d.exchange.answerWhole(key, said(c.ending));
    assert(client.is(c.told) && d.caches.sent.size() == c.legs);
    assert(c.told.empty() || client.body == "a\rb");
    d.exchange.answerWhole(key, said(Ending::finished));  // late, or twice
    d.exchange.legLost(key, loop::Parting::reset, true);
    assert(client.is(c.told) && d.exchange.openPulls() == (c.told.empty() ? 1u : 0u));
  }
}

// An exclusive pull whose leg was written whole and broke may have run: it is abandoned. Not written whole,
// or never up: it goes out again.
void exclusivePullsGoByWhatIsProven() {
  for (bool whole : {false, true}) {
    Desk d;
    Asked client;
    Ask a = askFor();
    a.offering = "write", a.offeringAt = 1, a.body = "x";
    d.exchange.pullCame(a, client);
    d.exchange.legLost(d.caches.sent[0].key, loop::Parting::reset, whole);
    assert(client.is(whole ? std::vector<std::string>{"502"} : std::vector<std::string>{}) == true);
    assert(d.caches.sent.size() == (whole ? 1u : 2u));
  }
}

// A cache that calls the client's copy the one, where the client has told of none, is in error.
// Nor is an object passed on without the tag and the age that belong to it; a write's answer has neither.
void noCopyIsConfirmedThatNobodyHas() {
  struct Case {
    const char *held, *tag;
    bool dated, valid, writes, fits;
  };
  for (const Case& c : {Case{"", "t1", true, true, false, false},
                        {"t1", "t1", true, true, false, true},
                        {"", "", true, false, false, false},
                        {"", "t1", false, false, false, false},
                        {"", "t1", true, false, false, true},
                        {"", "", false, false, true, true}}) {
    Desk d;
    Asked client;
    Ask a = askFor();
    a.tag = c.held;
    if (c.writes) a.offering = "write", a.offeringAt = 1;
    d.exchange.pullCame(a, client);
    exchange::Word word = said(Ending::finished);
    word.unchanged = c.valid, word.tag = c.tag, word.dated = c.dated;
    d.exchange.answerWhole(d.caches.sent[0].key, word);
    assert(client.told.size() == (c.fits ? 1u : 0u) && d.caches.sent.size() == (c.fits ? 1u : 2u));
  }
}

void whoLeavesIsOwedNothing() {
  Desk d;
  Asked client;
  std::uint32_t pull = d.exchange.pullCame(askFor(), client);
  d.exchange.clientLeft(pull);
  assert(d.caches.givenUp.size() == 1 && d.exchange.openPulls() == 0);
  d.exchange.answerWhole(d.caches.sent[0].key, said(Ending::finished));
  assert(client.told.empty());
}

void overduePullsAreAnswered() {
  Desk d;
  Asked client;
  Ask a = askFor();
  a.ttl = 30;
  d.exchange.pullCame(a, client);
  until(d.loop, [&] { return !client.told.empty(); });
  assert(client.told[0].substr(0, 3) == "503" && d.caches.givenUp.size() == 1 && d.exchange.openPulls() == 0);
}

void streamsArePassedOnAsTheyCome() {
  StoreSheet s = kit::sheet();
  s.offerings[0].streams = true;
  for (int end = 0; end < 3; ++end) {
    Desk d(s);
    Asked client;
    std::uint32_t pull = d.exchange.pullCame(askFor(), client);
    LegKey key = d.caches.sent[0].key;
    d.exchange.answerBegun(key, said(Ending::finished), 4);
    d.exchange.answerBytes(key, "ab");
    assert(client.is({"begun t1"}) && client.body == "ab");
    if (end == 0) d.exchange.answerWhole(key, said(Ending::finished));
    if (end == 1) d.exchange.legLost(key, loop::Parting::reset, true);
    if (end == 2) d.exchange.clientLeft(pull);
    assert(client.told.size() == (end == 2 ? 1u : 2u) && d.exchange.openPulls() == 0);
    assert(end == 2 || client.told[1] == (end == 0 ? "completed" : "broke"));
    assert(d.caches.givenUp.size() == (end == 2 ? 1u : 0u));
  }
}

// A machine keeps its number while it is listed; some minutes after it has left, told so or lacking from a
// whole list, nothing of it is kept.
void machinesThatLeftAreForgotten() {
  for (bool told : {true, false}) {
    Desk d(kit::sheet(), 2);
    auto two = machines({{"s-0", {}}, {"s-1", {}}});
    if (told) two[1].entry.standing = Standing::gone;
    else two.pop_back();
    d.exchange.listCame(!told, two);
    d.loop.skip(100000);
    two.resize(1);
    d.exchange.listCame(false, two);
    assert(d.caches.forgotten.empty());
    d.loop.skip(100000);
    d.exchange.listCame(false, two);
    assert(d.caches.forgotten.size() == (told ? 1u : 2u));  // the origin was not on the second list either
  }
}

// The numbers as they are to come out at all replicas: the id's hash, and past those that are taken, looked for one by one.
struct NumberedInTurn {
  std::map<std::string, std::uint32_t> numbers;
  static std::uint32_t hashOf(std::string_view name) {
    std::uint64_t h = 0xcbf29ce484222325ull;
    for (char c : name) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ull;
    return static_cast<std::uint32_t>(h ^ h >> 32);
  }
  bool taken(std::uint32_t number) const {
    return std::any_of(numbers.begin(), numbers.end(), [&](auto& one) { return one.second == number; });
  }
  std::uint32_t add(const std::string& name) {
    auto known = numbers.find(name);
    if (known != numbers.end()) return known->second;
    std::uint32_t number = hashOf(name);
    while (number == 0 || taken(number)) ++number;
    return numbers[name] = number;
  }
};

// Pairs of ids with the same hash.
std::vector<std::pair<std::string, std::string>> collidingIds(std::size_t pairs) {
  std::vector<std::pair<std::string, std::string>> found;
  std::unordered_map<std::uint32_t, std::string> byHash;
  for (int i = 0; found.size() < pairs; ++i) {
    std::string name = "node-" + std::to_string(i);
    auto [first, isNew] = byHash.emplace(NumberedInTurn::hashOf(name), name);
    if (!isNew) found.emplace_back(first->second, name);
  }
  return found;
}

void listAll(Desk& d, const std::vector<std::string>& names, Standing standing = Standing::ready) {
  std::vector<std::pair<std::string, loop::Address>> all;
  for (const std::string& name : names) all.push_back({name, {}});
  auto entries = machines(all);
  for (exchange::Listed& one : entries) one.entry.standing = standing;
  d.exchange.listCame(false, entries);
}

// Replicas that read the same list come to the same numbers, also where the hashes of ids collide.
void numbersAreGivenInTurn() {
  auto pairs = collidingIds(6);
  std::vector<std::string> names;
  for (auto& [first, second] : pairs) {
    names.push_back(first);
    names.push_back("s-" + std::to_string(names.size()));
    names.push_back(second);
  }
  for (int i = 0; i < 500; ++i) names.push_back("e-" + std::to_string(i));
  for (bool backwards : {false, true}) {
    if (backwards) std::reverse(names.begin(), names.end());
    Desk d;
    NumberedInTurn expected;
    for (auto& [name, number] : d.caches.numbers) expected.add(name);
    assert(d.caches.numbers == expected.numbers);
    for (const std::string& name : names) expected.add(name);
    listAll(d, names);
    listAll(d, names);  // once more: nothing changes
    assert(d.caches.numbers == expected.numbers);
    for (auto& [first, second] : pairs)
      assert(d.caches.numbers[backwards ? first : second] == NumberedInTurn::hashOf(first) + 1);
  }
}

// The number of a server that left long ago is free for another one; that of a server that is listed stays taken.
void numbersOfThoseLongGoneAreFree() {
  constexpr Ms longAfter = 200000;
  auto [first, second] = collidingIds(1).front();
  std::uint32_t number = NumberedInTurn::hashOf(first);
  Desk d;
  listAll(d, {first, second});
  assert(d.caches.numbers[first] == number && d.caches.numbers[second] == number + 1);
  listAll(d, {first}, Standing::gone);
  listAll(d, {second}, Standing::gone);
  listAll(d, {second});  // it is back before it is forgotten
  d.loop.skip(longAfter);
  listAll(d, {second});
  assert(d.caches.forgotten == std::vector<std::uint32_t>{number} && d.caches.numbers[second] == number + 1);
  listAll(d, {second}, Standing::gone);
  d.loop.skip(longAfter);
  listAll(d, {second});  // forgotten and new in one
  assert(d.caches.forgotten.size() == 2 && d.caches.numbers[second] == number);
  listAll(d, {first});
  assert(d.caches.numbers[first] == number + 1);
}

}  // namespace

int main() {
  struct Case {
    const char* name;
    void (*run)();
  };
  for (Case c : {Case{"every pull gets one answer", everyPullGetsOneAnswer},
                 {"exclusive pulls go by what is proven", exclusivePullsGoByWhatIsProven},
                 {"no copy is confirmed that nobody has", noCopyIsConfirmedThatNobodyHas},
                 {"who leaves is owed nothing", whoLeavesIsOwedNothing},
                 {"overdue pulls are answered", overduePullsAreAnswered},
                 {"streams are passed on as they come", streamsArePassedOnAsTheyCome},
                 {"machines that left are forgotten", machinesThatLeftAreForgotten},
                 {"numbers are given in turn", numbersAreGivenInTurn},
                 {"numbers of those long gone are free", numbersOfThoseLongGoneAreFree}}) {
    std::puts(c.name);
    std::fflush(stdout);
    c.run();
  }
}
