// The record's replication: state-space exploration within small bounds; seeded schedules of
// faults; injected defects, each of which must be caught; messages. `keepers_test N [first]` runs N
// seeds; `keepers_test explore N` explores up to N states per case.
#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <random>

#include "keepers_explore.hpp"
#include "rig/recordsim.hpp"

using namespace dunlinwick;
using namespace dunlinwick::record;

namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr std::size_t kMostStates = 4000;
#else
constexpr std::size_t kMostStates = 40000;
#endif

struct Part {
  const char* name;
  ExploreSettings settings;
};
std::vector<Part> Parts(std::size_t max_states) {
  ExploreSettings plain{.puts = 2, .max_states = max_states}, retries = plain, crash = plain,
                                                              rollback = plain, distrusting = plain;
  retries.puts = 3;
  retries.ticks = 1;
  crash.crash = true;
  distrusting.roll_back_disk = distrusting.distrust_restarted = true;
  rollback.crash = rollback.roll_back_disk = rollback.distrust_restarted = true;
  rollback.ticks = 1;
  return {{"two writers", plain},
          {"two writers and retransmission", retries},
          {"a crash", crash},
          {"a disk rolled back, restarted replicas distrusted", distrusting},
          {"a disk rolled back and a crash", rollback}};
}
bool ExploreAll(std::size_t max_states) {
  bool passed = true;
  for (const Part& p : Parts(max_states)) {
    ExploreResult e = Explore(p.settings);
    std::printf("explored, %s: %zu states%s, an entry acknowledged in %zu%s%s\n", p.name, e.states,
                e.complete ? ", all" : " (bounded)", e.acknowledged_states,
                e.finding.empty() ? "" : ": ", e.finding.c_str());
    passed = passed && e.finding.empty() && e.acknowledged_states > 0;
  }
  return passed;
}

std::string Caught(const char* name, std::size_t most,
                   const std::function<void(rig::RecordTerms&)>& inject) {
  for (std::uint64_t seed = 1; seed <= most; ++seed) {
    auto t = rig::Drawn(seed);
    inject(t);
    if (!rig::Run(seed, rig::Drawn(seed)).findings.empty())
      continue;  // a seed that fails without the defect does not show that it is caught
    auto r = rig::Run(seed, t);
    for (const std::string& f : r.findings)
      if (f.rfind("does not come", 0) != 0) {
        std::printf("injected defect, %s: seed %llu: %s\n", name,
                    static_cast<unsigned long long>(seed), f.substr(0, 150).c_str());
        return f;
      }
  }
  return "";
}

}  // namespace

TEST_CASE("exploration within small bounds finds no violation") {
  CHECK(ExploreAll(kMostStates));
}

TEST_CASE("the exploration detects an injected defect") {
  ExploreSettings t{.puts = 2, .max_states = 400000};
  t.commit_without_majority = true;
  CHECK(Explore(t).finding != "");
}

// Under sanitizers fewer seeds run. The injected defects, which do not test memory safety, run in
// the Release build only.
std::uint64_t SeedsToRun() {
  const char* value = std::getenv("DUNLINWICK_SEEDS");
  return value ? std::strtoull(value, nullptr, 10) : 400;
}

TEST_CASE("400 seeded schedules of faults without a finding") {
  std::size_t acknowledged = 0, cleanings = 0, resets = 0, damages = 0, start_overs = 0, kills = 0;
  for (std::uint64_t seed = 1; seed <= SeedsToRun(); ++seed) {
    auto r = rig::Run(seed, rig::Drawn(seed));
    INFO("seed " << seed << ": " << r.Text());
    CHECK(r.findings.empty());
    acknowledged += r.acknowledged;
    cleanings += r.cleanings;
    resets += r.anew;
    damages += r.damages;
    start_overs += r.start_overs;
    kills += r.kills;
  }
  std::printf(
      "400 seeds: acknowledged %zu, compactions %zu, replicas reset %zu, damaged disks %zu, "
      "kills %zu, subscribers starting over %zu\n",
      acknowledged, cleanings, resets, damages, kills, start_overs);
  CHECK(acknowledged > 0);
  if (SeedsToRun() < 400)
    return;
  // The schedules reach the situations that they are meant to test.
  CHECK(acknowledged > 10000);
  CHECK(cleanings > 1000);
  CHECK(resets > 5);
  CHECK(damages > 400);
  CHECK(start_overs > 0);  // rare, since requests carry SubscriptionRequest::clean_horizon
}

TEST_CASE("injected defects are caught") {
  if (SeedsToRun() < 400)
    return;
  CHECK(Caught("offset reused", 60, [](auto& t) { t.keeper.defect_reuse_offsets = true; }) != "");
  CHECK(Caught("own disk trusted", 200, [](auto& t) { t.keeper.defect_trust_own_disk = true; }) !=
        "");
  CHECK(Caught("compaction plan not fenced", 400,
               [](auto& t) { t.keeper.defect_skip_plan_fencing = true; }) != "");
  CHECK(Caught("acknowledged before a majority", 200,
               [](auto& t) { t.keeper.defect_commit_without_majority = true; }) != "");
  CHECK(Caught("tail chosen by length", 1500,
               [](auto& t) { t.keeper.defect_prefer_longest_tail = true; }) != "");
  CHECK(Caught("tombstone dropped early", 1500, [](auto& t) { t.tombstone_early = true; }) != "");
  CHECK(Caught("resumed after a long absence", 1500, [](auto& t) { t.resumes_forgotten = true; }) !=
        "");
  CHECK(Caught("whole tail rewritten", 1500,
               [](auto& t) { t.keeper.defect_rewrite_whole_tail = true; }) != "");
}

TEST_CASE("messages are decoded as encoded, and nothing else is accepted") {
  PrepareResponse t{.token = 7,
                    .store_id = 9,
                    .start_count = 3,
                    .round = 2,
                    .incarnation = 1ull << 63,
                    .unconfirmed = true,
                    .unconfirmed_on_disk = true,
                    .last = 12,
                    .committed = 11,
                    .first = 2,
                    .compacted_up_to = 5,
                    .tombstone_horizon = 4,
                    .last_token = 6,
                    .witnessed = {{0, 1}, {2, 8}},
                    .corrupted = true,
                    .gaps = {3, 4}};
  AppendRequest a;
  a.token = 4;
  a.incarnation = 8;
  a.after = 3;
  a.after_token = 2;
  a.committed = 3;
  a.from_snapshot = true;
  a.snapshot_session = 5;
  a.confirms = true;
  a.corrupted = true;
  a.compacted_up_to = 2;
  a.tombstone_horizon = 1;
  a.min_subscriber_position = 3;
  a.match_offsets = {{1, 3}};
  a.plan = {4, 2, 1};
  a.entries = {
      {4, 2, Stream::kSettings, std::string("k\0y", 3), false, std::string(60000, 'v'), 1.5},
      {5, 2, Stream::kRules, "x", true, "", 0}};
  AppendResponse k;
  k.token = 4;
  k.incarnation = 8;
  k.up_to = 5;
  k.refused = k.full = k.unknown_incarnation = k.incomplete = true;
  k.last = 9;
  k.resume_after = 2;
  k.gaps = {1};
  k.plan = {1, 2, 1};
  FetchResponse f{.after = 1,
                  .up_to = 5,
                  .after_token = 2,
                  .committed = 6,
                  .compacted_up_to = 4,
                  .tombstone_horizon = 3,
                  .entries = a.entries,
                  .offsets = {}};
  for (const Message& m : {Message{PrepareRequest{3, 4}}, Message{t}, Message{a}, Message{k},
                           Message{FetchRequest{1, 2, {3}}}, Message{f}}) {
    std::string bytes = Encode(m);
    auto back = Decode(bytes);
    REQUIRE(back);
    CHECK(back->index() == m.index());
    CHECK(Encode(*back) == bytes);
  }
  a.entries[0].key = "";
  CHECK(!Decode(Encode(Message{a})));
  a.entries[0].key = std::string(201, 'k');
  CHECK(!Decode(Encode(Message{a})));
  a.entries[0].key = "k";
  a.entries[0].offset = 3;
  CHECK(!Decode(Encode(Message{a})));
  a.entries[0].offset = 6;
  CHECK(!Decode(Encode(Message{a})));
  CHECK(!Decode({}));
  std::knuth_b chance(5);
  std::string encoded = Encode(Message{t});
  for (int i = 0; i < 20000;
       ++i) {  // corrupted: decoded as something within the bounds, or not at all
    std::string bad = encoded;
    for (int n = 0; n < 3; ++n)
      bad[chance() % bad.size()] = static_cast<char>(chance());
    if (auto m = Decode(bad))
      CHECK(Decode(Encode(*m)));
  }
}

int main(int count, char** arguments) {
  if (count > 2 && std::strcmp(arguments[1], "explore") == 0)
    return ExploreAll(std::strtoull(arguments[2], nullptr, 10)) ? 0 : 1;
  if (count > 1 && std::atoi(arguments[1]) > 0) {
    int bad = 0;
    std::uint64_t n = std::strtoull(arguments[1], nullptr, 10),
                  first = count > 2 ? std::strtoull(arguments[2], nullptr, 10) : 1;
    for (std::uint64_t seed = first; seed < first + n; ++seed) {
      auto r = rig::Run(seed, rig::Drawn(seed));
      if (n == 1 || !r.findings.empty())
        std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), r.Text().c_str());
      bad += r.findings.empty() ? 0 : 1;
    }
    std::printf("%llu seeds, %d with findings\n", static_cast<unsigned long long>(n), bad);
    return bad != 0;
  }
  return doctest::Context(count, arguments).run();
}
