// SWIM membership, the fleet's common failover decision and the membership datagram: single steps,
// an exhaustive check of how updates are merged, and seeded runs of a fleet on a simulated network
// with killed, paused and partitioned members, loss, delay and duplication.
#include <algorithm>
#include <cassert>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>

#include "members/wire.hpp"
#include "rig/sim.hpp"

using namespace dunlinwick;
using fleet::Ms;
using members::State;

namespace {

void WireFormat() {
  members::Message m;
  m.kind = members::Kind::kPingRequest;
  m.from = 3;
  m.to = 9;
  m.seq = 77;
  m.target = 4;
  m.updates = {{4, 12, State::kSuspect, 3}, {3, 100, State::kAlive, 3}};
  m.payloads = {{3, 5, 0xfeedface12345678}};
  std::string bytes = members::Encode(m);
  auto back = members::Decode(bytes);
  assert(back && back->kind == m.kind && back->from == 3 && back->to == 9 && back->seq == 77 &&
         back->target == 4);
  assert(back->updates.size() == 2 && back->updates[0].state == State::kSuspect &&
         back->updates[0].incarnation == 12);
  assert(back->payloads.size() == 1 && back->payloads[0].bits == 0xfeedface12345678);
  // Invalid datagrams are rejected without an exception: truncated, too long, an unknown kind or
  // state, a count above the limit.
  for (std::size_t cut = 0; cut < bytes.size(); ++cut)
    assert(!members::Decode({bytes.data(), cut}));
  std::string longer = bytes + "x";
  assert(!members::Decode(longer));
  std::string kind = bytes;
  kind[3] = 9;
  assert(!members::Decode(kind));
  std::string state = bytes;
  state[22 + 8] = 7;
  assert(!members::Decode(state));
  std::string many = bytes;
  many[20] = 33;
  assert(!members::Decode(many));
  assert(members::IsViewRequest(std::string_view(members::kViewRequest)) &&
         !members::IsViewRequest(bytes));
}

// A model check of the merge: for every order in which a member receives the same updates about
// another (all incarnations 0..2, all states), it ends in the same state. So members that receive
// the same updates in any order agree; SWIM's convergence rests on it.
void MergeIsOrderIndependent() {
  std::vector<members::MemberUpdate> all;
  for (std::uint32_t inc = 0; inc < 3; ++inc)
    for (State s : {State::kAlive, State::kSuspect, State::kDead})
      all.push_back({1, inc, s, 2});
  std::size_t checked = 0;
  // Every subset of up to four updates, in every order.
  for (unsigned mask = 1; mask < (1u << all.size()); ++mask) {
    if (__builtin_popcount(mask) > 4)
      continue;
    std::vector<int> picked;
    for (std::size_t i = 0; i < all.size(); ++i)
      if (mask >> i & 1)
        picked.push_back(static_cast<int>(i));
    std::sort(picked.begin(), picked.end());
    bool first = true;
    State end{};
    std::uint32_t end_inc = 0;
    do {
      members::Swim s(0, {1, 2}, 5, {}, 1, 0);
      std::vector<members::Message> out;
      for (int i : picked) {
        members::Message m;
        m.kind = members::Kind::kAck;
        m.from = 2;
        m.to = 0;
        m.seq = 999;
        m.target = 2;
        m.updates = {all[static_cast<std::size_t>(i)]};
        s.Receive(0, m, out);
      }
      const members::Member& one = s.Members().at(1);
      if (first) {
        end = one.state;
        end_inc = one.incarnation;
        first = false;
      }
      assert(one.state == end && one.incarnation == end_inc);
      ++checked;
    } while (std::next_permutation(picked.begin(), picked.end()));
  }
  std::printf("merge: %zu orders of updates checked\n", checked);
}

// A member that learns that it is held suspect or dead refutes with a higher incarnation, and the
// others adopt that.
void RefutesSuspicion() {
  members::Swim s(0, {1}, 5, {}, 1, 0);
  members::Message m;
  m.kind = members::Kind::kPing;
  m.from = 1;
  m.to = 0;
  m.seq = 1;
  m.target = 0;
  m.updates = {{0, 5, State::kDead, 1}};
  std::vector<members::Message> out;
  s.Receive(0, m, out);
  assert(s.Incarnation() == 6 && s.health() == 1);
  assert(out.size() == 1 && out[0].kind == members::Kind::kAck &&
         out[0].updates[0].incarnation == 6);
  members::Swim other(1, {0}, 1, {}, 2, 0);
  std::vector<members::Message> none;
  other.Receive(0, members::Message{members::Kind::kAck, 0, 1, 9, 0, {{0, 4, State::kDead, 1}}, {}},
                none);
  assert(other.Members().at(0).state == State::kDead);
  other.Receive(0, out[0], none);
  assert(other.Members().at(0).state == State::kAlive && other.Members().at(0).incarnation == 6);
  // An update about an id that is not configured is ignored, and so is a message from one.
  other.Receive(
      0, members::Message{members::Kind::kPing, 7, 1, 1, 1, {{7, 1, State::kAlive, 7}}, {}}, none);
  assert(other.Members().count(7) == 0 && none.empty());
}

// Three zones in two regions: zone 0 (fronts 0, 1) and zone 1 (2, 3) in region 0, zone 2 (4) in
// region 1.
fleet::SimTerms FiveFronts(std::uint64_t seed) {
  fleet::SimTerms t;
  t.places = {{0, 0}, {0, 0}, {1, 0}, {1, 0}, {2, 1}};
  t.zone_region = {0, 0, 1};
  t.seed = seed;
  return t;
}

bool Until(fleet::Sim& sim, Ms within, const std::function<bool()>& holds) {
  Ms end = sim.now() + within;
  while (sim.now() < end) {
    if (holds())
      return true;
    sim.RunUntil(sim.now() + 100);
  }
  return holds();
}

void NoFaults(std::uint64_t seed) {
  fleet::Sim sim(FiveFronts(seed));
  sim.RunUntil(30000);
  for (members::Id a = 0; a < 5; ++a)
    for (members::Id b = 0; b < 5; ++b)
      if (a != b)
        assert(sim.swim(a).Members().at(b).state == State::kAlive);
  assert(sim.AllJudge(0) && sim.judged().empty());
  assert(sim.verdicts(0).decision().traffic_weights[0] == 1.0);
}

// A killed front: all others declare it dead, and all move traffic out of its zone, where it was
// the only front, in the same epoch.
void Killed(std::uint64_t seed) {
  fleet::Sim sim(FiveFronts(seed));
  sim.RunUntil(3000);
  sim.Kill(4);
  assert(Until(sim, 30000, [&] { return sim.AllSee(4, State::kDead); }));
  assert(Until(sim, 5000, [&] { return sim.AllJudge(1u << 2); }));
  const failover::FailoverDecision& v = sim.verdicts(0).decision();
  assert(v.traffic_weights[0] == 1.0 && !v.panic);
  // A new process under the same id is accepted, and its zone gets traffic again after the
  // hysteresis.
  sim.Restart(4);
  assert(Until(sim, 30000, [&] { return sim.AllSee(4, State::kAlive) && sim.AllJudge(0); }));
  assert(sim.swim(0).Members().at(4).incarnation >= 1000);
  for (members::Id id = 0; id < 5; ++id) {
    int changes =
        static_cast<int>(std::count_if(sim.judged().begin(), sim.judged().end(),
                                       [&](const fleet::Judged& j) { return j.by == id; }));
    assert(changes <= 2);  // out and back once, no flapping
  }
}

// SIGSTOP for 5 s: the front is declared dead, and after SIGCONT it refutes and all hold it alive.
void Paused(std::uint64_t seed) {
  fleet::Sim sim(FiveFronts(seed));
  sim.RunUntil(3000);
  std::uint32_t before = sim.swim(1).Incarnation();
  sim.Pause(1);
  sim.RunUntil(sim.now() + 5000);
  sim.Resume(1);
  assert(Until(sim, 30000, [&] { return sim.AllSee(1, State::kAlive); }));
  sim.RunUntil(sim.now() + 20000);
  assert(sim.AllSee(1, State::kAlive) && sim.swim(1).Incarnation() >= before);
  assert(sim.AllJudge(0));  // zone 0 kept its other front, so it kept its traffic
}

// A single front is partitioned from all others: it holds all other zones failed, but alone it has
// no quorum and keeps its own zone. The others declare it dead; its zone still has front 0, so no
// front moves traffic out of it.
void SingleFrontPartitioned(std::uint64_t seed) {
  fleet::Sim sim(FiveFronts(seed));
  sim.RunUntil(3000);
  sim.CutAround({1});
  // All its probes fail, so Lifeguard stretches its timeouts up to nine times: it takes longer to
  // declare all others dead.
  assert(
      Until(sim, 120000, [&] { return sim.swim(1).alive() == 1 && sim.AllSee(1, State::kDead); }));
  assert(sim.verdicts(1).decision().unavailable_zones == 0 &&
         sim.verdicts(1).decision().traffic_weights[0] == 1.0);
  assert(sim.verdicts(0).decision().unavailable_zones == 0);
  sim.HealAll();
  assert(Until(sim, 30000, [&] {
    for (members::Id a = 0; a < 5; ++a)
      if (!sim.AllSee(a, State::kAlive))
        return false;
    return sim.AllJudge(0);
  }));
}

// A minority (zone 1, fronts 2 and 3) is partitioned: it keeps its zone; the majority moves its
// traffic out of zone 1, all fronts together.
void MinorityPartitioned(std::uint64_t seed) {
  fleet::Sim sim(FiveFronts(seed));
  sim.RunUntil(3000);
  sim.CutAround({2, 3});
  sim.RunUntil(sim.now() + 30000);
  for (members::Id id : {0u, 1u, 4u})
    assert(sim.verdicts(id).decision().unavailable_zones == 1u << 1);
  for (members::Id id : {2u, 3u}) {
    assert(sim.verdicts(id).decision().unavailable_zones == 0);
    assert(sim.verdicts(id).decision().traffic_weights[1] == 1.0);
  }
  sim.HealAll();
  assert(Until(sim, 30000, [&] { return sim.AllJudge(0); }));
}

// A one-way partition: front 4 receives everything, but nothing that it sends arrives. It can't
// answer, so the others declare it dead.
void OneWayPartition(std::uint64_t seed) {
  fleet::Sim sim(FiveFronts(seed));
  sim.RunUntil(3000);
  sim.CutAround({4}, true);
  assert(Until(sim, 30000, [&] { return sim.AllSee(4, State::kDead); }));
  sim.HealAll();
  assert(Until(sim, 30000, [&] { return sim.AllSee(4, State::kAlive) && sim.AllJudge(0); }));
}

// Loss, delay and duplication on every link: after they end, all members hold all others alive
// again.
void Lossy(std::uint64_t seed) {
  fleet::Sim sim(FiveFronts(seed));
  sim.Everywhere([](fleet::Link& l) {
    l.loss = 0.3;
    l.delay = 20;
    l.jitter = 40;
    l.duplicate = 0.05;
  });
  sim.RunUntil(60000);
  sim.Everywhere([](fleet::Link& l) { l = fleet::Link{}; });
  assert(Until(sim, 60000, [&] {
    for (members::Id a = 0; a < 5; ++a)
      if (!sim.AllSee(a, State::kAlive))
        return false;
    return sim.AllJudge(0);
  }));
}

// The same seed gives the same run.
void SameSeedSameRun() {
  auto run = [] {
    fleet::Sim sim(FiveFronts(11));
    sim.Everywhere([](fleet::Link& l) { l.loss = 0.1; });
    sim.RunUntil(2000);
    sim.Kill(2);
    sim.RunUntil(20000);
    std::string trace;
    for (const fleet::Seen& s : sim.seen())
      trace += std::to_string(s.at) + members::ToString(s.state) + std::to_string(s.by) +
               std::to_string(s.about);
    return trace + std::to_string(sim.Messages());
  };
  assert(run() == run());
}

}  // namespace

int main(int argc, char** argv) {
  std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 8;  // more by hand
  WireFormat();
  MergeIsOrderIndependent();
  RefutesSuspicion();
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    NoFaults(seed);
    Killed(seed);
    Paused(seed);
    SingleFrontPartitioned(seed);
    MinorityPartitioned(seed);
    OneWayPartition(seed);
    Lossy(seed);
  }
  SameSeedSameRun();
  std::puts("members_test: all passed");
}
