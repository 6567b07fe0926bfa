// The record's replication: exploration on small bounds; seeded schedules of faults; variants
// broken on purpose, each of which is to be caught; messages. `keepers_test N [first]`: N seeds by
// hand. `keepers_test explore N`: exploration up to N states a part.
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
  ExploreTerms terms;
};
std::vector<Part> Parts(std::size_t most) {
  ExploreTerms plain{.puts = 2, .most = most}, again = plain, crash = plain, old = plain,
                                               doubted = plain;
  again.puts = 3;
  again.ticks = 1;
  crash.crash = true;
  doubted.old_copy = doubted.doubt = true;
  old.crash = old.old_copy = old.doubt = true;
  old.ticks = 1;
  return {{"two writers", plain},
          {"and retransmission", again},
          {"a crash", crash},
          {"an old disk, restarts doubted", doubted},
          {"an old disk and a crash", old}};
}
bool ExploreAll(std::size_t most) {
  bool well = true;
  for (const Part& p : Parts(most)) {
    Explored e = Explore(p.terms);
    std::printf("explored, %s: %zu states%s, something acknowledged in %zu%s%s\n", p.name, e.states,
                e.whole ? ", all" : " (bounded)", e.acknowledged, e.found.empty() ? "" : ": ",
                e.found.c_str());
    well = well && e.found.empty() && e.acknowledged > 0;
  }
  return well;
}

std::string Caught(const char* name, std::size_t most,
                   const std::function<void(rig::RecordTerms&)>& breaks) {
  for (std::uint64_t seed = 1; seed <= most; ++seed) {
    auto t = rig::Drawn(seed);
    breaks(t);
    if (!rig::Run(seed, rig::Drawn(seed)).findings.empty())
      continue;  // what fails unbroken shows nothing of the break
    auto r = rig::Run(seed, t);
    for (const std::string& f : r.findings)
      if (f.rfind("does not come", 0) != 0) {
        std::printf("broken, %s: seed %llu: %s\n", name, static_cast<unsigned long long>(seed),
                    f.substr(0, 150).c_str());
        return f;
      }
  }
  return "";
}

}  // namespace

TEST_CASE("small bounds, explored") {
  CHECK(ExploreAll(kMostStates));
}

TEST_CASE("the exploration sees what is broken") {
  ExploreTerms t{.puts = 2, .most = 400000};
  t.first_majority = true;
  CHECK(Explore(t).found != "");
}

// Under sanitizers fewer are played, and the broken variants, which ask nothing of memory, in the
// Release build alone.
std::uint64_t SeedsToPlay() {
  const char* said = std::getenv("DUNLINWICK_SEEDS");
  return said ? std::strtoull(said, nullptr, 10) : 400;
}

TEST_CASE("400 seeds") {
  std::size_t acknowledged = 0, cleanings = 0, anew = 0, damages = 0, start_overs = 0, kills = 0;
  for (std::uint64_t seed = 1; seed <= SeedsToPlay(); ++seed) {
    auto r = rig::Run(seed, rig::Drawn(seed));
    INFO("seed " << seed << ": " << r.Text());
    CHECK(r.findings.empty());
    acknowledged += r.acknowledged;
    cleanings += r.cleanings;
    anew += r.anew;
    damages += r.damages;
    start_overs += r.start_overs;
    kills += r.kills;
  }
  std::printf(
      "400 seeds: acknowledged %zu, cleanings %zu, keepers begun anew %zu, damaged disks %zu, "
      "kills %zu, subscribers starting over %zu\n",
      acknowledged, cleanings, anew, damages, kills, start_overs);
  CHECK(acknowledged > 0);
  if (SeedsToPlay() < 400)
    return;
  // The schedules reach what they are for.
  CHECK(acknowledged > 10000);
  CHECK(cleanings > 1000);
  CHECK(anew > 5);
  CHECK(damages > 400);
  CHECK(start_overs > 0);  // rare since a subscriber tells what it began after (Want::clean)
}

TEST_CASE("broken variants are caught") {
  if (SeedsToPlay() < 400)
    return;
  CHECK(Caught("offset reused", 60, [](auto& t) { t.keeper.defect_reuse_offsets = true; }) != "");
  CHECK(Caught("own disk believed", 200, [](auto& t) { t.keeper.defect_trust_own_disk = true; }) !=
        "");
  CHECK(Caught("stale compactor not fenced", 400,
               [](auto& t) { t.keeper.defect_skip_plan_fencing = true; }) != "");
  CHECK(Caught("acknowledged before a majority", 200,
               [](auto& t) { t.keeper.defect_commit_without_majority = true; }) != "");
  CHECK(Caught("tail by length", 1500,
               [](auto& t) { t.keeper.defect_prefer_longest_tail = true; }) != "");
  CHECK(Caught("tombstone dropped early", 1500, [](auto& t) { t.tombstone_early = true; }) != "");
  CHECK(Caught("rejoin after long absence resumed", 1500,
               [](auto& t) { t.resumes_forgotten = true; }) != "");
  CHECK(Caught("all written anew", 1500,
               [](auto& t) { t.keeper.defect_rewrite_whole_tail = true; }) != "");
}

TEST_CASE("messages are read back, and nothing else is") {
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
  std::string whole = Encode(Message{t});
  for (int i = 0; i < 20000; ++i) {  // garbled: read as something in bounds, or not at all
    std::string bad = whole;
    for (int n = 0; n < 3; ++n)
      bad[chance() % bad.size()] = static_cast<char>(chance());
    if (auto m = Decode(bad))
      CHECK(Decode(Encode(*m)));
  }
}

int main(int count, char** words) {
  if (count > 2 && std::strcmp(words[1], "explore") == 0)
    return ExploreAll(std::strtoull(words[2], nullptr, 10)) ? 0 : 1;
  if (count > 1 && std::atoi(words[1]) > 0) {
    int bad = 0;
    std::uint64_t n = std::strtoull(words[1], nullptr, 10),
                  first = count > 2 ? std::strtoull(words[2], nullptr, 10) : 1;
    for (std::uint64_t seed = first; seed < first + n; ++seed) {
      auto r = rig::Run(seed, rig::Drawn(seed));
      if (n == 1 || !r.findings.empty())
        std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), r.Text().c_str());
      bad += r.findings.empty() ? 0 : 1;
    }
    std::printf("%llu seeds, %d with findings\n", static_cast<unsigned long long>(n), bad);
    return bad != 0;
  }
  return doctest::Context(count, words).run();
}
