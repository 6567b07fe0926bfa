// The channels between fronts on a seeded virtual network: loss, doubles, disorder and delays; large messages beside probes;
// restarts in the midst of one; other versions, every cut and garbled bytes; bounds. Each property is a function of what is broken
// on purpose, and each broken variant must fail at the property that it breaks.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>
#include <set>

#include "peers/peers.hpp"
#include "peers/wire.hpp"

using namespace dunlinwick::peers;

namespace {

std::string noise(std::knuth_b& r, std::size_t n) {
  std::string s(n, 0);
  for (std::size_t i = 0; i < n; i += 3)
    for (std::size_t k = i, v = r(); k < std::min(n, i + 3); ++k, v >>= 8) s[k] = static_cast<char>(v);
  return s;
}

struct Weather {
  double loss = 0, doubles = 0;
  Ms delay = 1, jitter = 0;
};

// Fronts and what is on its way between them.
struct Net {
  struct Flying {
    Ms at;
    std::uint64_t order;
    Id to;
    std::string bytes;
    bool operator<(const Flying& o) const { return std::pair(at, order) > std::pair(o.at, o.order); }
  };
  struct Came {
    Ms at;
    Id from, to;
    Channel channel;
    std::string message;
  };
  std::knuth_b random;
  Weather weather;
  Ms now = 1000;
  std::uint64_t order = 0;
  std::priority_queue<Flying> air;
  std::map<Id, std::unique_ptr<Peers>> fronts;
  std::vector<Came> came;
  Peers::Breaks breaks;
  Terms terms;
  std::function<void(Id from, Id to, std::string&)> onWire;  // sees, and may change, what is sent
  std::size_t mostHeld = 0;

  explicit Net(std::uint64_t seed, Peers::Breaks b = {}) : random(static_cast<unsigned>(seed * 7919 + 1)), breaks(b) {}
  Peers& start(Id id, std::uint32_t incarnation) {
    fronts[id] = std::make_unique<Peers>(
        id, terms, incarnation, now,
        [this, id](Id to, std::string d) {
          if (onWire) onWire(id, to, d);
          std::uniform_real_distribution<double> unit(0, 1);
          if (unit(random) < weather.loss) return;
          int copies = 1 + (unit(random) < weather.doubles);
          for (int i = 0; i < copies; ++i) air.push({now + weather.delay + weather.jitter * unit(random), ++order, to, d});
        },
        [this, id](Id from, Channel c, std::span<const char> m) { came.push_back({now, from, id, c, std::string(m.data(), m.size())}); });
    fronts[id]->breaks = breaks;
    return *fronts[id];
  }
  // Each front ticks on every multiple of 20 ms.
  void until(Ms end) {
    constexpr Ms each = 20;
    while (now < end) {
      Ms tick = (std::floor(now / each) + 1) * each;
      while (!air.empty() && air.top().at <= std::min(tick, end)) {
        Flying f = air.top();
        air.pop();
        now = std::max(now, f.at);
        if (auto to = fronts.find(f.to); to != fronts.end()) to->second->receive(now, f.bytes);
      }
      now = std::min(tick, end);
      if (now == tick)
        for (auto& [id, p] : fronts) {
          if (p->wakeAt() <= now) p->tick(now);
          mostHeld = std::max(mostHeld, p->held());
        }
    }
  }
  std::size_t delivered(Id to, const std::string& message) const {
    return static_cast<std::size_t>(std::count_if(came.begin(), came.end(), [&](const Came& c) { return c.to == to && c.message == message; }));
  }
};

// Three fronts in bad weather: what is delivered was sent, just so; each large message is delivered once.
bool allArrives(std::uint64_t seed, Peers::Breaks b, std::uint64_t* large = nullptr) {
  Net net(seed, b);
  net.weather = {0.3, 0.1, 5, 60};
  for (Id id : {1u, 2u, 3u}) net.start(id, 100 + id);
  std::set<std::string> small;
  std::vector<std::pair<Id, std::string>> big;
  for (int i = 0; i < 40; ++i) {
    net.until(net.now + 37);
    Id from = 1 + net.random() % 3, to = 1 + (from + net.random() % 2) % 3;
    if (i % 3 == 0) {
      constexpr Channel large[] = {Channel::owner, Channel::recovery, Channel::rules, Channel::record};
      Channel c = large[net.random() % 4];
      std::string m = noise(net.random, 1201 + net.random() % (c == Channel::record ? 90000 : 9000));
      if (net.fronts[from]->send(net.now, to, c, m)) big.emplace_back(to, m);
    } else {
      std::string m = noise(net.random, 12 + net.random() % 1189);
      small.insert(m);
      net.fronts[from]->send(net.now, to, static_cast<Channel>(net.random() % channels), m);
    }
  }
  net.until(net.now + 30000);
  for (const auto& [to, m] : big)
    if (net.delivered(to, m) != 1) return false;
  for (const Net::Came& c : net.came)
    if (!small.count(c.message) && std::none_of(big.begin(), big.end(), [&](auto& o) { return o.second == c.message; })) return false;
  for (auto& [id, p] : net.fronts)
    if (p->held() != 0 || p->wakeAt() < 1e299) return false;  // nothing is left behind
  if (large) *large += big.size();
  return net.came.size() > 20;
}

// A 4 MB message goes while probes do: the calls of tick() after which a probe had not gone yet. And how long the message took.
struct Beside {
  int mostTicks = 0, probes = 0;
  Ms took = -1, worst = 0;
  double pieceBytesPerS = 0;
};
Beside probesBesideBulk(std::uint64_t seed, Peers::Breaks b, double loss) {
  Net net(seed, b);
  net.weather = {loss, 0, 2, 4};
  Peers& one = net.start(1, 10);
  net.start(2, 11);
  std::map<std::string, int> waits;  // of probes that have not gone
  Beside r;
  net.onWire = [&](Id, Id, std::string& d) {
    auto f = frame(d);
    if (!f || f->channel != Channel::members) return;
    std::string m(f->body.data(), f->body.size());
    auto at = waits.find(m);
    if (at == waits.end()) return;
    r.mostTicks = std::max(r.mostTicks, at->second);
    waits.erase(at);
  };
  std::string bulk = noise(net.random, 4 << 20);
  Ms begun = net.now;
  if (!one.send(net.now, 2, Channel::record, bulk)) return r;
  for (int i = 0; i < 3000 && r.took < 0; ++i) {
    net.until(net.now + 7);
    std::string probe = "probe " + std::to_string(i);
    waits[probe] = 0, ++r.probes;
    one.send(net.now, 2, Channel::members, probe);
    for (auto& [m, ticks] : waits) ++ticks;  // had it not gone in the call, it waits for a tick at least
    if (net.delivered(2, bulk) > 0) r.took = net.now - begun;
  }
  for (auto& [m, ticks] : waits) r.mostTicks = std::max(r.mostTicks, ticks);
  for (const Net::Came& c : net.came)
    if (c.message == bulk) r.took = c.at - begun;
  return r;
}

// Pieces of which one came changed, with a check that fits it: the whole is not delivered so.
bool neverWrongBytes(Peers::Breaks b) {
  Net net(3, b);
  Peers& one = net.start(1, 10);
  net.start(2, 11);
  int changed = 0;
  net.onWire = [&](Id from, Id, std::string& d) {
    auto f = frame(d);
    auto p = f && f->kind == Kind::piece ? piece(f->body) : std::nullopt;
    if (from != 1 || !p || p->index != 2 || changed > 0) return;
    std::string bytes(p->bytes.data(), p->bytes.size());
    bytes[7] = static_cast<char>(bytes[7] ^ 1), p->bytes = bytes;
    d = encode(f->channel, f->from, *p), ++changed;
  };
  std::string m = noise(net.random, 20000);
  one.send(net.now, 2, Channel::rules, m);
  net.until(net.now + 5000);
  return changed == 1 && net.came.size() == 1 && net.delivered(2, m) == 1;  // refused once, then had whole
}

// What a version 2 would send, with marks of its own behind the first eight bytes or like ours: nothing of it is delivered.
bool versionsApart(Peers::Breaks b) {
  Net net(4, b);
  Peers& two = net.start(2, 11);
  for (std::uint8_t v : {std::uint8_t{0}, std::uint8_t{2}, std::uint8_t{255}}) {
    for (std::size_t n : {std::size_t{0}, std::size_t{50}, std::size_t{1200}}) {
      std::string body = noise(net.random, n);
      std::string d = encode(Channel::rules, 1, Kind::whole, body);
      // Ours but for the version, sealed by our own rule (the check is over the version too).
      d[2] = static_cast<char>(v);
      seal(d);
      two.receive(net.now, d);
    }
  }
  return net.came.empty() && two.counters(Channel::rules).otherVersion == 9 && two.others().at(1) == 255;
}

// Every cut and 20,000 garbled datagrams of all kinds: counted, nothing delivered.
bool junkIsDropped(Peers::Breaks b) {
  Net net(5, b);
  Peers& two = net.start(2, 11);
  std::vector<std::string> good{encode(Channel::members, 1, Kind::whole, noise(net.random, 300)),
                                encode(Channel::record, 1, Piece{10, 1, 3000, 1, 77, noise(net.random, pieceBytes)}),
                                encode(Channel::record, 1, Had{11, 1, {5, 5}, std::vector<bool>(40, true)}),
                                encode(Channel::rules, 1, Piece{10, 1, 1201, 1, 77, noise(net.random, 1201 - pieceBytes)})};
  std::uint64_t given = 0;
  for (const std::string& d : good)
    for (std::size_t cut = 0; cut < d.size(); ++cut) two.receive(net.now, {d.data(), cut}), ++given;
  for (int i = 0; i < 20000; ++i) {
    std::string d = good[net.random() % good.size()];
    int flips = 1 + static_cast<int>(net.random() % 8);
    for (int k = 0; k < flips; ++k) d[net.random() % d.size()] ^= static_cast<char>(1 + net.random() % 255);
    if (net.random() % 4 == 0) d += noise(net.random, net.random() % 40);
    if (std::find(good.begin(), good.end(), d) != good.end()) continue;
    two.receive(net.now, d), ++given;
  }
  for (int i = 0; i < 2000; ++i) two.receive(net.now, noise(net.random, net.random() % 1500)), ++given;
  std::uint64_t counted = two.junk();
  for (std::size_t c = 0; c < channels; ++c) counted += two.counters(static_cast<Channel>(c)).junk + two.counters(static_cast<Channel>(c)).otherVersion;
  return net.came.empty() && counted == given && two.held() == 0 && two.others().size() <= 64;
}

// The sender, then (on every other seed) the receiver, starts again in the midst of a large message; the sender had sent others before. And a sender whose
// new life has the old one's numbers. No message is a mixture, and what the living sent arrives.
bool restartsAreTold(std::uint64_t seed, Peers::Breaks b) {
  Net net(seed, b);
  net.weather = {0.1, 0.05, 3, 30};
  net.start(1, 10), net.start(2, 11);
  for (int i = 0; i < 5; ++i) net.fronts[1]->send(net.now, 2, Channel::record, noise(net.random, 5000));
  net.until(net.now + 3000);
  if (net.came.size() != 5) return false;
  std::string first = noise(net.random, 900000), second = noise(net.random, 900000), third = noise(net.random, 900000);
  net.fronts[1]->send(net.now, 2, Channel::record, first);
  net.until(net.now + 100 + static_cast<double>(net.random() % 200));
  net.start(1, 12).send(net.now, 2, Channel::record, second);  // what of the first is on its way still comes
  net.until(net.now + 100 + static_cast<double>(net.random() % 200));
  if (seed % 2 == 0) net.start(2, 13);  // the other half of the seeds: the sender alone
  net.until(net.now + 8000);
  if (net.delivered(2, first) != 0 || net.delivered(2, second) != 1 || net.came.size() != 6) return false;
  net.fronts[1]->send(net.now, 2, Channel::record, third);
  net.until(net.now + 8000);
  return net.delivered(2, third) == 1 && net.came.size() == 7;
}

}  // namespace

TEST_CASE("bytes: what is written is read, and nothing else is") {
  CHECK(rc::check("pieces and bitmaps come back as they went", [](std::uint64_t incarnation, std::uint64_t life, const std::vector<bool>& bits, std::uint64_t dig) {
    Had h{incarnation, 9, {life, 8}, bits};
    std::string kept = encode(Channel::rules, 7, h);
    auto f = frame(kept);
    RC_ASSERT(f && f->kind == Kind::had && f->from == 7u && f->channel == Channel::rules);
    auto back = had(f->body);
    RC_ASSERT(back && back->pieces == bits && back->life == h.life && back->incarnation == incarnation && back->message == 9u);
    std::string bytes(pieceBytes, 'x');
    kept = encode(Channel::record, 7, Piece{incarnation, 3, 5000, 2, dig, bytes});
    f = frame(kept);
    auto p = f ? piece(f->body) : std::nullopt;
    RC_ASSERT(p && p->digest == dig && p->index == 2u && p->size == 5000u && std::string(p->bytes.data(), p->bytes.size()) == bytes);
  }));
  CHECK(rc::check("whatever bytes: no throw, and only a right check passes", [](const std::string& any) {
    RC_ASSERT(!frame("DP" + any) || any.size() >= header - 2);
    piece(any), had(any), head(any);
  }));
}

TEST_CASE("loss of 30%, doubles, disorder, delays: large ones once and whole, on 300 seeds") {
  std::uint64_t large = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    INFO("seed ", seed);
    REQUIRE(allArrives(seed, {}, &large));
  }
  MESSAGE(large, " large messages on 300 seeds");
  Peers::Breaks b;
  b.noResume = true;
  CHECK_FALSE(allArrives(1, b));
}

TEST_CASE("4 MB beside probes: none waits for a tick") {
  for (double loss : {0.0, 0.01, 0.3}) {
    Beside r = probesBesideBulk(1, {}, loss);
    MESSAGE("loss ", loss, ": ", r.probes, " probes, ", r.mostTicks, " ticks waited at most; 4 MB in ", r.took, " ms");
    CHECK(r.mostTicks == 0);
    CHECK(r.probes > 100);
    CHECK(r.took > 1500);  // by its budget of 2 MB/s
  }
  Peers::Breaks b;
  b.bulkFirst = true;
  Beside r = probesBesideBulk(1, b, 0);
  MESSAGE("broken, bulk first: ", r.mostTicks, " ticks waited");
  CHECK(r.mostTicks > 0);
}

TEST_CASE("a channel over its budget keeps to it, and others do not wait") {
  CHECK(rc::check("bytes over every window", [](std::uint16_t seed) {
    Net net(seed);
    net.terms.budgets[static_cast<std::size_t>(Channel::quota)] = {20000, 5000};
    Peers& one = net.start(1, 10);
    std::vector<std::pair<Ms, std::size_t>> sent;
    net.onWire = [&](Id, Id, std::string& d) { sent.emplace_back(net.now, d.size()); };
    for (int i = 0; i < 200; ++i) {
      one.send(net.now, 2 + net.random() % 3, Channel::quota, noise(net.random, net.random() % 900));
      net.until(net.now + static_cast<double>(net.random() % 30));
    }
    for (std::size_t a = 0; a < sent.size(); ++a) {
      double bytes = 0;
      for (std::size_t z = a; z < sent.size(); ++z) {
        bytes += static_cast<double>(sent[z].second);
        RC_ASSERT(bytes <= 5000 + 20000 * (sent[z].first - sent[a].first) / 1000 + 1300);
      }
    }
    // One that fits the members' channel goes at once all the same.
    std::size_t before = sent.size();
    one.send(net.now, 2, Channel::members, "probe");
    RC_ASSERT(sent.size() == before + 1 || one.held() == 0);
  }));
}

TEST_CASE("digest, version, junk") {
  CHECK(neverWrongBytes({}));
  CHECK(versionsApart({}));
  CHECK(junkIsDropped({}));
  Peers::Breaks digest, version, check;
  digest.noDigest = true, version.noVersion = true, check.noCheck = true;
  CHECK_FALSE(neverWrongBytes(digest));
  CHECK_FALSE(versionsApart(version));
  CHECK_FALSE(junkIsDropped(check));
}

TEST_CASE("restarts in the midst of a large message, on 100 seeds") {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    INFO("seed ", seed);
    REQUIRE(restartsAreTold(seed, {}));
  }
  Peers::Breaks b;
  b.oldLife = true;
  bool caught = false;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) caught |= !restartsAreTold(seed, b);
  CHECK(caught);
}

TEST_CASE("a new life with the old one's incarnation and numbers is no mixture") {
  Net net(8);
  net.start(1, 10), net.start(2, 11);
  std::string first = noise(net.random, 300000), second = noise(net.random, 300000);
  net.fronts[1]->send(net.now, 2, Channel::record, first);
  net.until(net.now + 60);
  net.start(1, 10).send(net.now, 2, Channel::record, second);
  net.until(net.now + 5000);
  CHECK(net.came.size() == 1);
  CHECK(net.delivered(2, second) == 1);
}

TEST_CASE("memory: queues, half-received messages and peers are bounded") {
  Net net(6);
  Peers& one = net.start(1, 10);
  // To a peer that never answers: large ones up to mostMessage, small ones up to mostQueued, then the oldest go.
  int taken = 0;
  for (int i = 0; i < 20; ++i) taken += one.send(net.now, 2, Channel::record, noise(net.random, 1 << 20));
  CHECK(taken == 4);
  CHECK_FALSE(one.send(net.now, 3, Channel::record, std::string((4 << 20) + 1, 'x')));
  CHECK_FALSE(one.send(net.now, 3, Channel::members, std::string(1201, 'x')));
  CHECK_FALSE(one.send(net.now, 0, Channel::members, "x"));
  CHECK_FALSE(one.send(net.now, 1, Channel::members, "x"));
  for (int i = 0; i < 3000; ++i) one.send(net.now, 2, Channel::quota, std::string(1000, 'x'));
  CHECK(one.counters(Channel::quota).dropped > 1000);
  CHECK(one.held() <= (4u << 20) + (1u << 20));
  net.until(net.now + 60000);  // all is given up
  CHECK(one.held() == 0);
  CHECK(one.counters(Channel::record).givenUp == 4);
  // Half messages from ever more peers: in all mostHeld, of mostPeers peers.
  for (Id from = 2; from < 1002; ++from)
    for (std::size_t c = 0; c < channels; ++c)
      one.receive(net.now, encode(static_cast<Channel>(c), from, Piece{1, 1, 4 << 20, 0, 9, std::string(pieceBytes, 'x')}));
  CHECK(one.held() <= 16u << 20);
  CHECK(one.counters(Channel::record).dropped > 800);
  CHECK(one.counters(Channel::members).junk == 1000);  // that one takes no pieces
  net.until(net.now + 11000);
  CHECK(one.held() == 0);
  // 20 peers at once to one, each 1 MB: what does not fit is refused, sent again, and comes in time.
  Net many(7);
  many.start(1, 10);
  std::vector<std::string> all;
  for (Id id = 2; id < 22; ++id) {
    all.push_back(noise(many.random, 1 << 20));
    many.start(id, 10).send(many.now, 1, Channel::record, all.back());
  }
  many.until(many.now + 20000);
  for (const std::string& m : all) CHECK(many.delivered(1, m) == 1);
  CHECK(many.mostHeld <= 16u << 20);
}
