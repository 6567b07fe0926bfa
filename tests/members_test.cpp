// Membership, the verdict in common and their wire: single steps, an exhaustive check of how news is merged, and
// seeded runs of many members on the staged network with the letter's faults.
#include <algorithm>
#include <cassert>
#include <cstdio>
#include <cstring>
#include <cstdlib>
#include <functional>

#include "rig/sim.hpp"
#include "members/wire.hpp"

using namespace dunlinwick;
using members::State;
using fleet::Ms;

namespace {

void wire() {
  members::Message m;
  m.kind = members::Kind::askPing, m.from = 3, m.to = 9, m.seq = 77, m.target = 4;
  m.news = {{4, 12, State::suspect, 3}, {3, 100, State::alive, 3}};
  m.notes = {{3, 5, 0xfeedface12345678}};
  std::string bytes = members::encode(m);
  auto back = members::decode(bytes);
  assert(back && back->kind == m.kind && back->from == 3 && back->to == 9 && back->seq == 77 && back->target == 4);
  assert(back->news.size() == 2 && back->news[0].state == State::suspect && back->news[0].incarnation == 12);
  assert(back->notes.size() == 1 && back->notes[0].bits == 0xfeedface12345678);
  // Whatever a peer sends: short, long, a wrong kind or state, counts past the bound. None throws.
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) assert(!members::decode({bytes.data(), cut}));
  std::string longer = bytes + "x";
  assert(!members::decode(longer));
  std::string kind = bytes;
  kind[3] = 9;
  assert(!members::decode(kind));
  std::string state = bytes;
  state[22 + 8] = 7;
  assert(!members::decode(state));
  std::string many = bytes;
  many[20] = 33;
  assert(!members::decode(many));
  assert(members::isViewRequest(std::string_view(members::viewRequest)) && !members::isViewRequest(bytes));
}

// A model check of the merge: for every order in which one member hears the same pieces of news about another
// (all incarnations 0..2, all states), it ends in the same state. So members that hear the same, in any order,
// agree (SWIM's convergence rests on it).
void mergeIsOrderFree() {
  std::vector<members::News> all;
  for (std::uint32_t inc = 0; inc < 3; ++inc)
    for (State s : {State::alive, State::suspect, State::dead}) all.push_back({1, inc, s, 2});
  std::size_t checked = 0;
  // Every subset of up to four pieces, in every order.
  for (unsigned mask = 1; mask < (1u << all.size()); ++mask) {
    if (__builtin_popcount(mask) > 4) continue;
    std::vector<int> picked;
    for (std::size_t i = 0; i < all.size(); ++i)
      if (mask >> i & 1) picked.push_back(static_cast<int>(i));
    std::sort(picked.begin(), picked.end());
    bool first = true;
    State end{};
    std::uint32_t endInc = 0;
    do {
      members::Swim s(0, {1, 2}, 5, {}, 1, 0);
      std::vector<members::Message> out;
      for (int i : picked) {
        members::Message m;
        m.kind = members::Kind::ack, m.from = 2, m.to = 0, m.seq = 999, m.target = 2;
        m.news = {all[static_cast<std::size_t>(i)]};
        s.receive(0, m, out);
      }
      const members::Member& one = s.members().at(1);
      if (first) end = one.state, endInc = one.incarnation, first = false;
      assert(one.state == end && one.incarnation == endInc);
      ++checked;
    } while (std::next_permutation(picked.begin(), picked.end()));
  }
  std::printf("merge: %zu orders of news checked\n", checked);
}

// A member that hears it is suspected or dead refutes with a higher incarnation, and the others take that.
void refutes() {
  members::Swim s(0, {1}, 5, {}, 1, 0);
  members::Message m;
  m.kind = members::Kind::ping, m.from = 1, m.to = 0, m.seq = 1, m.target = 0;
  m.news = {{0, 5, State::dead, 1}};
  std::vector<members::Message> out;
  s.receive(0, m, out);
  assert(s.incarnation() == 6 && s.health() == 1);
  assert(out.size() == 1 && out[0].kind == members::Kind::ack && out[0].news[0].incarnation == 6);
  members::Swim other(1, {0}, 1, {}, 2, 0);
  std::vector<members::Message> none;
  other.receive(0, members::Message{members::Kind::ack, 0, 1, 9, 0, {{0, 4, State::dead, 1}}, {}}, none);
  assert(other.members().at(0).state == State::dead);
  other.receive(0, out[0], none);
  assert(other.members().at(0).state == State::alive && other.members().at(0).incarnation == 6);
  // News of an id that is not configured is passed over, and so is a message from one.
  other.receive(0, members::Message{members::Kind::ping, 7, 1, 1, 1, {{7, 1, State::alive, 7}}, {}}, none);
  assert(other.members().count(7) == 0 && none.empty());
}

// Three zones in two regions: zone 0 (fronts 0, 1), zone 1 (2, 3), zone 2 (4), region of zone 2 apart.
fleet::SimTerms five(std::uint64_t seed) {
  fleet::SimTerms t;
  t.places = {{0, 0}, {0, 0}, {1, 0}, {1, 0}, {2, 1}};
  t.zoneRegion = {0, 0, 1};
  t.seed = seed;
  return t;
}

bool until(fleet::Sim& sim, Ms within, const std::function<bool()>& holds) {
  Ms end = sim.now() + within;
  while (sim.now() < end) {
    if (holds()) return true;
    sim.runUntil(sim.now() + 100);
  }
  return holds();
}

void calm(std::uint64_t seed) {
  fleet::Sim sim(five(seed));
  sim.runUntil(30000);
  for (members::Id a = 0; a < 5; ++a)
    for (members::Id b = 0; b < 5; ++b)
      if (a != b) assert(sim.swim(a).members().at(b).state == State::alive);
  assert(sim.allJudge(0) && sim.judged().empty());
  assert(sim.verdicts(0).verdict().shares[0] == 1.0);
}

// A killed front: all others take it for dead; its zone (it alone) is left by all together, at one epoch.
void killed(std::uint64_t seed) {
  fleet::Sim sim(five(seed));
  sim.runUntil(3000);
  sim.kill(4);
  assert(until(sim, 30000, [&] { return sim.allSee(4, State::dead); }));
  assert(until(sim, 5000, [&] { return sim.allJudge(1u << 2); }));
  const failover::Verdict& v = sim.verdicts(0).verdict();
  assert(v.shares[0] == 1.0 && !v.panic);
  // Back under the same id, as a new process: taken again, and the zone comes back after the hysteresis.
  sim.restart(4);
  assert(until(sim, 30000, [&] { return sim.allSee(4, State::alive) && sim.allJudge(0); }));
  assert(sim.swim(0).members().at(4).incarnation >= 1000);
  for (members::Id id = 0; id < 5; ++id) {
    int changes = static_cast<int>(std::count_if(sim.judged().begin(), sim.judged().end(),
                                                 [&](const fleet::Judged& j) { return j.by == id; }));
    assert(changes <= 2);  // out and back, never flapping
  }
}

// SIGSTOP for 5 s: taken for dead, and on SIGCONT it refutes and is alive to all again.
void paused(std::uint64_t seed) {
  fleet::Sim sim(five(seed));
  sim.runUntil(3000);
  std::uint32_t before = sim.swim(1).incarnation();
  sim.pause(1);
  sim.runUntil(sim.now() + 5000);
  sim.resume(1);
  assert(until(sim, 30000, [&] { return sim.allSee(1, State::alive); }));
  sim.runUntil(sim.now() + 20000);
  assert(sim.allSee(1, State::alive) && sim.swim(1).incarnation() >= before);
  assert(sim.allJudge(0));  // zone 0 kept its other front: it never went out
}

// One front cut off alone: it holds all other zones out, but alone it is no quorum and keeps its own zone. The
// others take it for dead; its zone still has front 0, so nobody leaves it.
void alone(std::uint64_t seed) {
  fleet::Sim sim(five(seed));
  sim.runUntil(3000);
  sim.cutAround({1});
  // Alone, its probes fail and Lifeguard slows it down up to nine times: it takes longer to give up on all.
  assert(until(sim, 120000, [&] { return sim.swim(1).alive() == 1 && sim.allSee(1, State::dead); }));
  assert(sim.verdicts(1).verdict().out == 0 && sim.verdicts(1).verdict().shares[0] == 1.0);
  assert(sim.verdicts(0).verdict().out == 0);
  sim.healAll();
  assert(until(sim, 30000, [&] {
    for (members::Id a = 0; a < 5; ++a)
      if (!sim.allSee(a, State::alive)) return false;
    return sim.allJudge(0);
  }));
}

// A minority (zone 1, fronts 2 and 3) cut off: it keeps its zone; the majority leaves zone 1 together.
void minority(std::uint64_t seed) {
  fleet::Sim sim(five(seed));
  sim.runUntil(3000);
  sim.cutAround({2, 3});
  sim.runUntil(sim.now() + 30000);
  for (members::Id id : {0u, 1u, 4u}) assert(sim.verdicts(id).verdict().out == 1u << 1);
  for (members::Id id : {2u, 3u}) {
    assert(sim.verdicts(id).verdict().out == 0);
    assert(sim.verdicts(id).verdict().shares[1] == 1.0);
  }
  sim.healAll();
  assert(until(sim, 30000, [&] { return sim.allJudge(0); }));
}

// A one-way cut: front 4 hears all but is heard by none. It can't answer, so the others take it for dead.
void oneWay(std::uint64_t seed) {
  fleet::Sim sim(five(seed));
  sim.runUntil(3000);
  sim.cutAround({4}, true);
  assert(until(sim, 30000, [&] { return sim.allSee(4, State::dead); }));
  sim.healAll();
  assert(until(sim, 30000, [&] { return sim.allSee(4, State::alive) && sim.allJudge(0); }));
}

// Loss, delay and duplication on every link: after they end, all members agree again on all alive.
void lossy(std::uint64_t seed) {
  fleet::Sim sim(five(seed));
  sim.everywhere([](fleet::Link& l) { l.loss = 0.3, l.delay = 20, l.jitter = 40, l.duplicate = 0.05; });
  sim.runUntil(60000);
  sim.everywhere([](fleet::Link& l) { l = fleet::Link{}; });
  assert(until(sim, 60000, [&] {
    for (members::Id a = 0; a < 5; ++a)
      if (!sim.allSee(a, State::alive)) return false;
    return sim.allJudge(0);
  }));
}

// The same seed, the same run.
void replays() {
  auto run = [] {
    fleet::Sim sim(five(11));
    sim.everywhere([](fleet::Link& l) { l.loss = 0.1; });
    sim.runUntil(2000);
    sim.kill(2);
    sim.runUntil(20000);
    std::string trace;
    for (const fleet::Seen& s : sim.seen())
      trace += std::to_string(s.at) + members::word(s.state) + std::to_string(s.by) + std::to_string(s.about);
    return trace + std::to_string(sim.messages());
  };
  assert(run() == run());
}

}  // namespace

int main(int argc, char** argv) {
  std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 8;  // more by hand
  wire();
  mergeIsOrderFree();
  refutes();
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    calm(seed), killed(seed), paused(seed), alone(seed), minority(seed), oneWay(seed), lossy(seed);
  }
  replays();
  std::puts("members_test: all passed");
}
