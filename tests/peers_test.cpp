// The transport between fronts on a seeded virtual network: loss, duplication, reordering and
// delays; large messages beside probes; restarts during a large message; other versions, truncated
// and corrupted datagrams; memory bounds. Each property is a function of the injected defects, and
// each defect must make the property that it violates fail.
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

std::string Noise(std::knuth_b& r, std::size_t n) {
  std::string s(n, 0);
  for (std::size_t i = 0; i < n; i += 3)
    for (std::size_t k = i, v = r(); k < std::min(n, i + 3); ++k, v >>= 8)
      s[k] = static_cast<char>(v);
  return s;
}

struct NetworkFaults {
  double loss = 0;
  double duplicates = 0;
  Ms delay = 1;
  Ms jitter = 0;
};

// Fronts and the datagrams in flight between them.
struct Net {
  struct Flying {
    Ms at;
    std::uint64_t order;
    Id to;
    std::string bytes;
    bool operator<(const Flying& o) const {
      return std::pair(at, order) > std::pair(o.at, o.order);
    }
  };
  struct Came {
    Ms at;
    Id from;
    Id to;
    Channel channel;
    std::string message;
  };
  std::knuth_b random;
  NetworkFaults faults;
  Ms now = 1000;
  std::uint64_t order = 0;
  std::priority_queue<Flying> air;
  std::map<Id, std::unique_ptr<Peers>> fronts;
  std::vector<Came> came;
  Peers::InjectedDefects defects;
  Settings settings;
  std::function<void(Id from, Id to, std::string&)> on_wire;  // sees, and may change, what is sent
  std::size_t most_held = 0;

  explicit Net(std::uint64_t seed, Peers::InjectedDefects b = {})
      : random(static_cast<unsigned>(seed * 7919 + 1)), defects(b) {}
  Peers& Start(Id id, std::uint32_t incarnation) {
    fronts[id] = std::make_unique<Peers>(
        id, settings, incarnation, now,
        [this, id](Id to, std::string d) {
          if (on_wire)
            on_wire(id, to, d);
          std::uniform_real_distribution<double> unit(0, 1);
          if (unit(random) < faults.loss)
            return;
          int copies = 1 + (unit(random) < faults.duplicates);
          for (int i = 0; i < copies; ++i)
            air.push({now + faults.delay + faults.jitter * unit(random), ++order, to, d});
        },
        [this, id](Id from, Channel c, std::span<const char> m) {
          came.push_back({now, from, id, c, std::string(m.data(), m.size())});
        });
    fronts[id]->defects = defects;
    return *fronts[id];
  }
  // Each front ticks on every multiple of 20 ms.
  void Until(Ms end) {
    constexpr Ms kEach = 20;
    while (now < end) {
      Ms tick = (std::floor(now / kEach) + 1) * kEach;
      while (!air.empty() && air.top().at <= std::min(tick, end)) {
        Flying f = air.top();
        air.pop();
        now = std::max(now, f.at);
        if (auto to = fronts.find(f.to); to != fronts.end())
          to->second->Receive(now, f.bytes);
      }
      now = std::min(tick, end);
      if (now == tick)
        for (auto& [id, p] : fronts) {
          if (p->WakeAt() <= now)
            p->Tick(now);
          most_held = std::max(most_held, p->HeldBytes());
        }
    }
  }
  std::size_t Delivered(Id to, const std::string& message) const {
    return static_cast<std::size_t>(std::count_if(came.begin(), came.end(), [&](const Came& c) {
      return c.to == to && c.message == message;
    }));
  }
};

// Three fronts on a lossy network: everything delivered was sent with these bytes, and each large
// message is delivered once.
bool LargeMessagesArriveOnce(std::uint64_t seed, Peers::InjectedDefects b,
                             std::uint64_t* large = nullptr) {
  Net net(seed, b);
  net.faults = {0.3, 0.1, 5, 60};
  for (Id id : {1u, 2u, 3u})
    net.Start(id, 100 + id);
  std::set<std::string> small;
  std::vector<std::pair<Id, std::string>> big;
  for (int i = 0; i < 40; ++i) {
    net.Until(net.now + 37);
    Id from = 1 + net.random() % 3, to = 1 + (from + net.random() % 2) % 3;
    if (i % 3 == 0) {
      constexpr Channel kLarge[] = {Channel::kOwner, Channel::kRecovery, Channel::kRules,
                                    Channel::kRecord};
      Channel c = kLarge[net.random() % 4];
      std::string m =
          Noise(net.random, 1201 + net.random() % (c == Channel::kRecord ? 90000 : 9000));
      if (net.fronts[from]->Send(net.now, to, c, m))
        big.emplace_back(to, m);
    } else {
      std::string m = Noise(net.random, 12 + net.random() % 1189);
      small.insert(m);
      net.fronts[from]->Send(net.now, to, static_cast<Channel>(net.random() % kChannelCount), m);
    }
  }
  net.Until(net.now + 30000);
  for (const auto& [to, m] : big)
    if (net.Delivered(to, m) != 1)
      return false;
  for (const Net::Came& c : net.came)
    if (!small.count(c.message) &&
        std::none_of(big.begin(), big.end(), [&](auto& o) { return o.second == c.message; }))
      return false;
  for (auto& [id, p] : net.fronts)
    if (p->HeldBytes() != 0 || p->WakeAt() < 1e299)
      return false;  // no memory is held and nothing is pending
  if (large)
    *large += big.size();
  return net.came.size() > 20;
}

// Sends probes during a 4 MB message. Measures how many calls of Tick() a probe waited to be sent,
// and how long the message took.
struct ProbeDelays {
  int most_ticks = 0;
  int probes = 0;
  Ms took = -1;
  Ms worst = 0;
  double piece_bytes_per_s = 0;
};
ProbeDelays ProbesDuringBulk(std::uint64_t seed, Peers::InjectedDefects b, double loss) {
  Net net(seed, b);
  net.faults = {loss, 0, 2, 4};
  Peers& one = net.Start(1, 10);
  net.Start(2, 11);
  std::map<std::string, int> waits;  // of probes not sent yet
  ProbeDelays r;
  net.on_wire = [&](Id, Id, std::string& d) {
    auto f = ReadFrame(d);
    if (!f || f->channel != Channel::kMembers)
      return;
    std::string m(f->body.data(), f->body.size());
    auto at = waits.find(m);
    if (at == waits.end())
      return;
    r.most_ticks = std::max(r.most_ticks, at->second);
    waits.erase(at);
  };
  std::string bulk = Noise(net.random, 4 << 20);
  Ms begun = net.now;
  if (!one.Send(net.now, 2, Channel::kRecord, bulk))
    return r;
  for (int i = 0; i < 3000 && r.took < 0; ++i) {
    net.Until(net.now + 7);
    std::string probe = "probe " + std::to_string(i);
    waits[probe] = 0;
    ++r.probes;
    one.Send(net.now, 2, Channel::kMembers, probe);
    for (auto& [m, ticks] : waits)
      ++ticks;  // a probe that Send() did not send waits for at least one tick
    if (net.Delivered(2, bulk) > 0)
      r.took = net.now - begun;
  }
  for (auto& [m, ticks] : waits)
    r.most_ticks = std::max(r.most_ticks, ticks);
  for (const Net::Came& c : net.came)
    if (c.message == bulk)
      r.took = c.at - begun;
  return r;
}

// One fragment arrives with changed bytes and a valid checksum: the digest of the message keeps it
// from being delivered with these bytes.
bool ChangedFragmentIsRejected(Peers::InjectedDefects b) {
  Net net(3, b);
  Peers& one = net.Start(1, 10);
  net.Start(2, 11);
  int changed = 0;
  net.on_wire = [&](Id from, Id, std::string& d) {
    auto f = ReadFrame(d);
    auto p = f && f->kind == Kind::kFragment ? ReadFragment(f->body) : std::nullopt;
    if (from != 1 || !p || p->index != 2 || changed > 0)
      return;
    std::string bytes(p->bytes.data(), p->bytes.size());
    bytes[7] = static_cast<char>(bytes[7] ^ 1);
    p->bytes = bytes;
    d = Encode(f->channel, f->from, *p);
    ++changed;
  };
  std::string m = Noise(net.random, 20000);
  one.Send(net.now, 2, Channel::kRules, m);
  net.Until(net.now + 5000);
  return changed == 1 && net.came.size() == 1 &&
         net.Delivered(2, m) == 1;  // rejected once, then received intact
}

// Datagrams of other versions, with a valid checksum: none is delivered.
bool OtherVersionsAreDropped(Peers::InjectedDefects b) {
  Net net(4, b);
  Peers& two = net.Start(2, 11);
  for (std::uint8_t v : {std::uint8_t{0}, std::uint8_t{2}, std::uint8_t{255}}) {
    for (std::size_t n : {std::size_t{0}, std::size_t{50}, std::size_t{1200}}) {
      std::string body = Noise(net.random, n);
      std::string d = Encode(Channel::kRules, 1, Kind::kComplete, body);
      // Differs from this version's datagram only in the version; the checksum covers it too.
      d[2] = static_cast<char>(v);
      WriteChecksum(d);
      two.Receive(net.now, d);
    }
  }
  return net.came.empty() && two.counters(Channel::kRules).other_version == 9 &&
         two.OtherVersions().at(1) == 255;
}

// Every truncation and 20,000 corrupted datagrams of all kinds: counted, nothing delivered.
bool MalformedIsDropped(Peers::InjectedDefects b) {
  Net net(5, b);
  Peers& two = net.Start(2, 11);
  std::vector<std::string> good{
      Encode(Channel::kMembers, 1, Kind::kComplete, Noise(net.random, 300)),
      Encode(Channel::kRecord, 1, Fragment{10, 1, 3000, 1, 77, Noise(net.random, kFragmentBytes)}),
      Encode(Channel::kRecord, 1, Acknowledgement{11, 1, {5, 5}, std::vector<bool>(40, true)}),
      Encode(Channel::kRules, 1,
             Fragment{10, 1, 1201, 1, 77, Noise(net.random, 1201 - kFragmentBytes)})};
  std::uint64_t given = 0;
  for (const std::string& d : good)
    for (std::size_t cut = 0; cut < d.size(); ++cut) {
      two.Receive(net.now, {d.data(), cut});
      ++given;
    }
  for (int i = 0; i < 20000; ++i) {
    std::string d = good[net.random() % good.size()];
    int flips = 1 + static_cast<int>(net.random() % 8);
    for (int k = 0; k < flips; ++k)
      d[net.random() % d.size()] ^= static_cast<char>(1 + net.random() % 255);
    if (net.random() % 4 == 0)
      d += Noise(net.random, net.random() % 40);
    if (std::find(good.begin(), good.end(), d) != good.end())
      continue;
    two.Receive(net.now, d);
    ++given;
  }
  for (int i = 0; i < 2000; ++i) {
    two.Receive(net.now, Noise(net.random, net.random() % 1500));
    ++given;
  }
  std::uint64_t counted = two.Malformed();
  for (std::size_t c = 0; c < kChannelCount; ++c)
    counted += two.counters(static_cast<Channel>(c)).malformed +
               two.counters(static_cast<Channel>(c)).other_version;
  return net.came.empty() && counted == given && two.HeldBytes() == 0 &&
         two.OtherVersions().size() <= 64;
}

// The sender, then (on every other seed) the receiver, restarts during a large message; the sender
// had sent others before, so its new process reuses message numbers. No delivered message mixes
// bytes of two, and what the running processes sent arrives.
bool RestartsMixNoMessages(std::uint64_t seed, Peers::InjectedDefects b) {
  Net net(seed, b);
  net.faults = {0.1, 0.05, 3, 30};
  net.Start(1, 10);
  net.Start(2, 11);
  for (int i = 0; i < 5; ++i)
    net.fronts[1]->Send(net.now, 2, Channel::kRecord, Noise(net.random, 5000));
  net.Until(net.now + 3000);
  if (net.came.size() != 5)
    return false;
  std::string first = Noise(net.random, 900000), second = Noise(net.random, 900000),
              third = Noise(net.random, 900000);
  net.fronts[1]->Send(net.now, 2, Channel::kRecord, first);
  net.Until(net.now + 100 + static_cast<double>(net.random() % 200));
  net.Start(1, 12).Send(net.now, 2, Channel::kRecord,
                        second);  // fragments of the first still arrive
  net.Until(net.now + 100 + static_cast<double>(net.random() % 200));
  if (seed % 2 == 0)
    net.Start(2, 13);  // the other half of the seeds: the sender alone
  net.Until(net.now + 8000);
  if (net.Delivered(2, first) != 0 || net.Delivered(2, second) != 1 || net.came.size() != 6)
    return false;
  net.fronts[1]->Send(net.now, 2, Channel::kRecord, third);
  net.Until(net.now + 8000);
  return net.Delivered(2, third) == 1 && net.came.size() == 7;
}

}  // namespace

TEST_CASE("wire format: what was encoded is read back, and nothing else") {
  CHECK(
      rc::check("fragments and acknowledgements survive a round trip",
                [](std::uint64_t incarnation, std::uint64_t life, const std::vector<bool>& bits,
                   std::uint64_t dig) {
                  Acknowledgement h{incarnation, 9, {life, 8}, bits};
                  std::string kept = Encode(Channel::kRules, 7, h);
                  auto f = ReadFrame(kept);
                  RC_ASSERT(f && f->kind == Kind::kAcknowledgement && f->from == 7u &&
                            f->channel == Channel::kRules);
                  auto back = ReadAcknowledgement(f->body);
                  RC_ASSERT(back && back->fragments == bits && back->epoch == h.epoch &&
                            back->incarnation == incarnation && back->message == 9u);
                  std::string bytes(kFragmentBytes, 'x');
                  kept = Encode(Channel::kRecord, 7, Fragment{incarnation, 3, 5000, 2, dig, bytes});
                  f = ReadFrame(kept);
                  auto p = f ? ReadFragment(f->body) : std::nullopt;
                  RC_ASSERT(p && p->digest == dig && p->index == 2u && p->size == 5000u &&
                            std::string(p->bytes.data(), p->bytes.size()) == bytes);
                }));
  CHECK(rc::check("arbitrary bytes: no exception, and only a valid checksum passes",
                  [](const std::string& any) {
                    RC_ASSERT(!ReadFrame("DP" + any) || any.size() >= kHeaderBytes - 2);
                    ReadFragment(any), ReadAcknowledgement(any), ReadHeader(any);
                  }));
}

TEST_CASE(
    "30% loss, duplicates, reordering, delays: large messages arrive once, intact, on 300 seeds") {
  std::uint64_t large = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    INFO("seed ", seed);
    REQUIRE(LargeMessagesArriveOnce(seed, {}, &large));
  }
  MESSAGE(large, " large messages on 300 seeds");
  Peers::InjectedDefects b;
  b.no_retransmission = true;
  CHECK_FALSE(LargeMessagesArriveOnce(1, b));
}

TEST_CASE("probes during a 4 MB message: none waits for a tick") {
  for (double loss : {0.0, 0.01, 0.3}) {
    ProbeDelays r = ProbesDuringBulk(1, {}, loss);
    MESSAGE("loss ", loss, ": ", r.probes, " probes, ", r.most_ticks,
            " ticks waited at most; 4 MB took ", r.took, " ms");
    CHECK(r.most_ticks == 0);
    CHECK(r.probes > 100);
    CHECK(r.took > 1500);  // its budget is 2 MB/s
  }
  Peers::InjectedDefects b;
  b.bulk_first = true;
  ProbeDelays r = ProbesDuringBulk(1, b, 0);
  MESSAGE("injected defect, bulk first: ", r.most_ticks, " ticks waited");
  CHECK(r.most_ticks > 0);
}

TEST_CASE("a channel stays within its budget, and the others do not wait for it") {
  CHECK(rc::check("bytes sent in every window", [](std::uint16_t seed) {
    Net net(seed);
    net.settings.budgets[static_cast<std::size_t>(Channel::kQuota)] = {20000, 5000};
    Peers& one = net.Start(1, 10);
    std::vector<std::pair<Ms, std::size_t>> sent;
    net.on_wire = [&](Id, Id, std::string& d) {
      sent.emplace_back(net.now, d.size());
    };
    for (int i = 0; i < 200; ++i) {
      one.Send(net.now, 2 + net.random() % 3, Channel::kQuota,
               Noise(net.random, net.random() % 900));
      net.Until(net.now + static_cast<double>(net.random() % 30));
    }
    for (std::size_t a = 0; a < sent.size(); ++a) {
      double bytes = 0;
      for (std::size_t z = a; z < sent.size(); ++z) {
        bytes += static_cast<double>(sent[z].second);
        RC_ASSERT(bytes <= 5000 + 20000 * (sent[z].first - sent[a].first) / 1000 + 1300);
      }
    }
    // A message on the members channel is still sent at once.
    std::size_t before = sent.size();
    one.Send(net.now, 2, Channel::kMembers, "probe");
    RC_ASSERT(sent.size() == before + 1 || one.HeldBytes() == 0);
  }));
}

TEST_CASE("changed fragments, other versions and malformed datagrams are not delivered") {
  CHECK(ChangedFragmentIsRejected({}));
  CHECK(OtherVersionsAreDropped({}));
  CHECK(MalformedIsDropped({}));
  Peers::InjectedDefects digest, version, check;
  digest.no_digest = true;
  version.no_version = true;
  check.no_checksum = true;
  CHECK_FALSE(ChangedFragmentIsRejected(digest));
  CHECK_FALSE(OtherVersionsAreDropped(version));
  CHECK_FALSE(MalformedIsDropped(check));
}

TEST_CASE("restarts during a large message, on 100 seeds") {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    INFO("seed ", seed);
    REQUIRE(RestartsMixNoMessages(seed, {}));
  }
  Peers::InjectedDefects b;
  b.ignores_restarts = true;
  bool caught = false;
  for (std::uint64_t seed = 1; seed <= 10; ++seed)
    caught |= !RestartsMixNoMessages(seed, b);
  CHECK(caught);
}

TEST_CASE("a restart with the same incarnation and message numbers mixes no messages") {
  Net net(8);
  net.Start(1, 10);
  net.Start(2, 11);
  std::string first = Noise(net.random, 300000), second = Noise(net.random, 300000);
  net.fronts[1]->Send(net.now, 2, Channel::kRecord, first);
  net.Until(net.now + 60);
  net.Start(1, 10).Send(net.now, 2, Channel::kRecord, second);
  net.Until(net.now + 5000);
  CHECK(net.came.size() == 1);
  CHECK(net.Delivered(2, second) == 1);
}

TEST_CASE("memory: queues, partly received messages and peers are bounded") {
  Net net(6);
  Peers& one = net.Start(1, 10);
  // To a peer that never answers: large messages up to max_message_bytes are accepted, small ones
  // up to max_queued_bytes, beyond which the oldest are dropped.
  int taken = 0;
  for (int i = 0; i < 20; ++i)
    taken += one.Send(net.now, 2, Channel::kRecord, Noise(net.random, 1 << 20));
  CHECK(taken == 4);
  CHECK_FALSE(one.Send(net.now, 3, Channel::kRecord, std::string((4 << 20) + 1, 'x')));
  CHECK_FALSE(one.Send(net.now, 3, Channel::kMembers, std::string(1201, 'x')));
  CHECK_FALSE(one.Send(net.now, 0, Channel::kMembers, "x"));
  CHECK_FALSE(one.Send(net.now, 1, Channel::kMembers, "x"));
  for (int i = 0; i < 3000; ++i)
    one.Send(net.now, 2, Channel::kQuota, std::string(1000, 'x'));
  CHECK(one.counters(Channel::kQuota).dropped > 1000);
  CHECK(one.HeldBytes() <= (4u << 20) + (1u << 20));
  net.Until(net.now + 60000);  // everything is abandoned
  CHECK(one.HeldBytes() == 0);
  CHECK(one.counters(Channel::kRecord).abandoned == 4);
  // Partial messages from 1000 peers: at most max_held_bytes in total, from max_peers peers.
  for (Id from = 2; from < 1002; ++from)
    for (std::size_t c = 0; c < kChannelCount; ++c)
      one.Receive(net.now, Encode(static_cast<Channel>(c), from,
                                  Fragment{1, 1, 4 << 20, 0, 9, std::string(kFragmentBytes, 'x')}));
  CHECK(one.HeldBytes() <= 16u << 20);
  CHECK(one.counters(Channel::kRecord).dropped > 800);
  CHECK(one.counters(Channel::kMembers).malformed == 1000);  // which accepts no fragments
  net.Until(net.now + 11000);
  CHECK(one.HeldBytes() == 0);
  // 20 peers send 1 MB each to one front at once: what exceeds its bound is dropped, sent again and
  // delivered in time.
  Net many(7);
  many.Start(1, 10);
  std::vector<std::string> all;
  for (Id id = 2; id < 22; ++id) {
    all.push_back(Noise(many.random, 1 << 20));
    many.Start(id, 10).Send(many.now, 1, Channel::kRecord, all.back());
  }
  many.Until(many.now + 20000);
  for (const std::string& m : all)
    CHECK(many.Delivered(1, m) == 1);
  CHECK(many.most_held <= 16u << 20);
}
