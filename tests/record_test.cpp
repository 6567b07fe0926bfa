// The log of a replica, its compaction and its subscribers: single steps, edge cases, a crash at
// each storage call, and seeded random runs compared with a plain list. Each injected defect
// (record::InjectedDefects) must be caught by the check that it violates.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <random>

#include "record/memory_log_storage.hpp"
#include "record/subscribers.hpp"
#include "store/record_lmdb.hpp"

using namespace dunlinwick::record;

namespace {

constexpr Ms kDay = 24 * 60 * 60 * 1000.0;

Entry MakeEntry(Offset offset, const std::string& key, const std::string& value, Ms at = 0,
                Token token = 1) {
  Entry e;
  e.offset = offset;
  e.token = token;
  e.key = key;
  e.value = value;
  e.written_at = at;
  e.tombstone = value.empty();
  return e;
}
LogSettings MakeSettings(std::size_t entries_per_step = 256) {
  LogSettings t;
  t.min_compaction_lag = 0;
  t.min_dead_ratio = 0;
  t.entries_per_step = entries_per_step;
  return t;
}
std::string Name(const char* what, std::uint64_t n) {
  return std::string(what).append(std::to_string(n));
}
std::vector<Entry> All(const Log& log) {
  return log.Read(0, log.LastOffset(), 1u << 30);
}
void Compact(Log& log, const CompactionPlan& plan) {
  log.AcceptPlan(plan);
  while (log.CompactStep()) {
  }
}
// What a plan leaves of a list, computed from the definition in log.hpp alone.
std::vector<Entry> ExpectedAfter(const std::vector<Entry>& list, const CompactionPlan& plan) {
  std::vector<Entry> out;
  for (const Entry& e : list) {
    bool later = std::any_of(list.begin(), list.end(), [&](const Entry& o) {
      return o.offset > e.offset && o.offset <= plan.up_to && o.stream == e.stream &&
             o.key == e.key;
    });
    if (e.offset <= plan.up_to &&
        (later || (e.tombstone && e.offset <= plan.remove_tombstones_up_to)))
      continue;
    out.push_back(e);
  }
  return out;
}
std::vector<Entry> Mixed(Offset n, std::uint64_t seed) {
  std::knuth_b chance(seed);
  std::vector<Entry> out;
  for (Offset o = 1; o <= n; ++o) {
    // Drawn in this order on every compiler: the order of a call's arguments is not fixed.
    std::string value = chance() % 4 == 0 ? "" : Name("v", o);
    std::string key = Name("k", chance() % 7);
    Entry e = MakeEntry(o, key, value, static_cast<double>(o));
    e.stream = static_cast<Stream>(chance() % kStreamCount);
    out.push_back(e);
  }
  return out;
}

}  // namespace

TEST_CASE(
    "compaction keeps the latest of each key, offsets, order and entries younger than the lag") {
  MemoryLogStorage disk;
  LogSettings t = MakeSettings(2);
  t.min_compaction_lag = 1000;
  Log log(1, t, disk, 77);
  std::vector<Entry> entries;
  for (Offset o = 1; o <= 20; ++o)
    entries.push_back(MakeEntry(o, Name("k", o % 3), Name("v", o), 100.0 * static_cast<double>(o)));
  CHECK(log.AppendEntries(0, entries));
  CHECK(!log.AppendEntries(0, {MakeEntry(22, "gap", "x")}));
  CHECK(!log.Latest(Stream::kRecalls, "k0"));
  log.Commit(20);
  CHECK(log.Latest(Stream::kRecalls, "k0")->offset == 18);
  auto plan = log.ProposePlan(2500, log.metadata().committed, 1);
  REQUIRE(plan);
  CHECK(plan->up_to == 15);
  log.AcceptPlan(*plan);
  std::uint64_t before = log.Digest(20);
  for (std::uint64_t calls = disk.WriteCount(); log.CompactStep(); calls = disk.WriteCount())
    CHECK(disk.WriteCount() <= calls + 1);
  CHECK(log.Digest(20) == before);
  std::vector<Entry> left(entries.begin() + 12, entries.end());
  CHECK(All(log) == left);
  CHECK(log.metadata().compacted_up_to == 15);
  Log again(1, t, disk, 78);
  CHECK(All(again) == left);
  CHECK(again.metadata().store_id == 77);
  CHECK(again.metadata().start_count == 2);
  CHECK_THROWS_AS(Log(2, t, disk, 79), StorageError);
}

TEST_CASE(
    "a plan leaves exactly what its definition says, whatever the budget and however often it was "
    "restarted") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    std::knuth_b chance(seed);
    auto list = Mixed(60, seed);
    MemoryLogStorage one, two;
    Log a(1, MakeSettings(1 + chance() % 9), one, 1), b(2, MakeSettings(1 + chance() % 9), two, 2);
    CHECK(a.AppendEntries(0, list));
    CHECK(b.AppendEntries(0, list));
    a.Commit(60);
    b.Commit(60);
    CompactionPlan early{1, 10 + chance() % 20, 0}, plan{1, 40 + chance() % 20, 0};
    early.remove_tombstones_up_to = chance() % (early.up_to + 1);
    plan.remove_tombstones_up_to =
        early.remove_tombstones_up_to + chance() % (plan.up_to - early.remove_tombstones_up_to + 1);
    Compact(a, early);
    CHECK(All(a) == ExpectedAfter(list, early));
    CHECK(a.metadata().compacted_up_to == early.up_to);
    a.AcceptPlan(plan);
    for (std::size_t k = chance() % 8; k > 0; --k)
      a.CompactStep();
    Log again(1, MakeSettings(3), one, 1);  // resumed after a restart
    Compact(again, plan);
    Compact(b, plan);
    CHECK(All(again) == ExpectedAfter(list, plan));
    CHECK(All(b) == ExpectedAfter(list, plan));
    Offset tombstone_horizon =
        std::max(again.metadata().tombstone_horizon, b.metadata().tombstone_horizon);
    CHECK(again.Digest(60, tombstone_horizon) == b.Digest(60, tombstone_horizon));
  }
}

TEST_CASE("a crash at each storage call, before and after its effect, and with no space") {
  auto list = Mixed(40, 9);
  auto drive = [&](Log& log) {
    auto up_to = [&](Offset n) {
      while (log.LastOffset() < n) {
        auto from = list.begin() + static_cast<std::ptrdiff_t>(log.LastOffset());
        bool ok = log.AppendEntries(0, {from, from + 5});
        CHECK(ok);
      }
      log.Commit(n);
    };
    log.Promise(3);
    up_to(20);
    Compact(log, {3, 15, 10});
    up_to(40);
    Compact(log, {3, 33, 12});
    Compact(log, {3, 39, 30});
  };
  MemoryLogStorage calm;
  Log expected(1, MakeSettings(4), calm, 1);
  drive(expected);
  CHECK(All(expected) == ExpectedAfter(list, {3, 39, 30}));
  std::uint64_t calls = calm.WriteCount();
  CHECK(calls >= 25);
  for (std::uint64_t at = 1; at <= calls; ++at)
    for (auto fault :
         {MemoryLogStorage::WriteFault::kFailBefore, MemoryLogStorage::WriteFault::kFailAfter,
          MemoryLogStorage::WriteFault::kFull}) {
      CAPTURE(at);
      CAPTURE(static_cast<int>(fault));
      MemoryLogStorage disk;
      disk.write_fault = [&](std::uint64_t call) {
        return call == at ? fault : MemoryLogStorage::WriteFault::kNone;
      };
      std::unique_ptr<Log> log;
      int faults = 0;
      for (bool done = false; !done;) {
        try {
          if (!log)
            log = std::make_unique<Log>(1, MakeSettings(4), disk, 1);
          drive(*log);
          done = true;
        } catch (const StorageFullError&) {
          ++faults;
          if (log) {
            CHECK(!log->has_failed());
            Log other(1, MakeSettings(4), disk, 1);  // memory and disk must agree
            CHECK(All(other) == All(*log));
          }
        } catch (const StorageError&) {
          ++faults;
          if (log) {
            CHECK(log->has_failed());
            CHECK_THROWS_AS(log->AppendEntries(0, {MakeEntry(log->LastOffset() + 1, "x", "y")}),
                            StorageError);
          }
          log.reset();
        }
      }
      CHECK(faults == 1);
      CHECK(All(*log) == All(expected));
      CHECK(log->metadata().compacted_up_to == expected.metadata().compacted_up_to);
      CHECK(log->metadata().promised_token == 3);
      CHECK(log->Digest(40, expected.metadata().tombstone_horizon) ==
            expected.Digest(40, log->metadata().tombstone_horizon));
      CHECK(log->Gaps(9).empty());
    }
}

TEST_CASE(
    "tombstones: retention, the slowest subscriber, and one in the same batch as a new value") {
  MemoryLogStorage disk;
  LogSettings t = MakeSettings();
  t.tombstone_retention = kDay;
  Log log(1, t, disk, 1);
  CHECK(log.AppendEntries(
      0, {MakeEntry(1, "a", "old", 1), MakeEntry(2, "a", "", 2), MakeEntry(3, "b", "old", 3),
          MakeEntry(4, "b", "", 3), MakeEntry(5, "b", "new", 3), MakeEntry(6, "c", "x", 4),
          MakeEntry(7, "d", "x", 5)}));
  log.Commit(7);
  auto plan = log.ProposePlan(1000, 7, 1);
  REQUIRE(plan);
  CHECK(plan->remove_tombstones_up_to == 0);  // its retention has not elapsed
  Compact(log, *plan);
  CHECK(log.Find(2)->tombstone);
  CHECK(!log.Find(4));
  CHECK(log.Latest(Stream::kRecalls, "b")->value == "new");
  CHECK(!log.ProposePlan(2 * kDay, 1, 1));  // one active subscriber has not passed it
  plan = log.ProposePlan(2 * kDay, 2, 1);
  REQUIRE(plan);
  CHECK(plan->remove_tombstones_up_to == 2);
  Compact(log, *plan);
  CHECK(!log.Find(2));
  CHECK(log.metadata().tombstone_horizon == 2);
  CHECK(!log.Latest(Stream::kRecalls, "a"));
  CHECK(log.metadata().first == 5);
  // A plan with a lower token, or a lower offset, is ignored.
  log.AcceptPlan({9, 3, 0});
  log.AcceptPlan({8, 6, 6});
  CHECK(!log.CompactStep());
}

TEST_CASE("clocks that show 1970 or are far in the future do not stop compaction") {
  MemoryLogStorage disk;
  LogSettings t = MakeSettings();
  t.min_compaction_lag = 1000;
  t.tombstone_retention = kDay;
  Log log(1, t, disk, 1);
  const Ms now = 56 * 365 * kDay, ahead = now + 36500 * kDay;
  // One clock writes 1970, another 2100, then the right time.
  CHECK(log.AppendEntries(
      0, {MakeEntry(1, "a", "1", 5), MakeEntry(2, "a", "2", 6), MakeEntry(3, "b", "", 7),
          MakeEntry(4, "c", "1", ahead), MakeEntry(5, "c", "", ahead), MakeEntry(6, "d", "1", now),
          MakeEntry(7, "d", "2", now)}));
  log.Commit(7);
  auto plan = log.ProposePlan(now, 7, 1);
  REQUIRE(plan);
  CHECK(plan->up_to ==
        5);  // the entry of 2100 does not stop it; the young entries are not compacted
  CHECK(plan->remove_tombstones_up_to ==
        3);  // the one of 2100 stays until its retention elapses: safe, and small
  Compact(log, *plan);
  CHECK(All(log).size() == 4);
  // The local clock shows 1970: entries of other times are old; no tombstone of a later time is
  // removed.
  plan = log.ProposePlan(0, 7, 1);
  CHECK(!plan.has_value());
}

TEST_CASE("a write of the same key during a compaction, and truncation above it") {
  MemoryLogStorage disk;
  Log log(1, MakeSettings(2), disk, 1);
  auto list = Mixed(30, 5);
  CHECK(log.AppendEntries(0, list));
  log.Commit(25);
  log.AcceptPlan({1, 24, 10});
  for (Offset o = 31; o <= 40; ++o) {
    log.CompactStep();
    list.push_back(MakeEntry(o, list[o - 31].key, Name("n", o), 1));
    CHECK(log.AppendEntries(0, {list.back()}));
  }
  CHECK(!log.AppendEntries(25, {}));  // committed
  CHECK(!log.AppendEntries(20, {}));
  CHECK(log.AppendEntries(35, {MakeEntry(35, "z", "z", 1, 7)}));
  list.resize(34);
  list.push_back(MakeEntry(35, "z", "z", 1, 7));
  while (log.CompactStep()) {
  }
  CHECK(All(log) == ExpectedAfter(list, {1, 24, 10}));
  CHECK(log.LastToken() == 7);
  CHECK(log.metadata().compacted_up_to == 24);
  // The index is the one that a restart would build.
  Log again(1, MakeSettings(2), disk, 1);
  log.Commit(35);
  again.Commit(35);
  CHECK(log.Digest(35) == again.Digest(35));
  CHECK(log.bytes() == again.bytes());
  CHECK(log.DeadBytes() == again.DeadBytes());
}

TEST_CASE(
    "corrupted and lost entries are gaps; they are repaired or closed; no deleted key reappears") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    auto list = Mixed(40, seed);
    MemoryLogStorage one, two;
    std::knuth_b chance(seed);
    {
      Log a(1, MakeSettings(), one, 1), b(2, MakeSettings(), two, 2);
      CHECK(a.AppendEntries(0, list));
      CHECK(b.AppendEntries(0, list));
      a.Commit(40);
      b.Commit(40);
      Compact(a, {1, 20, 10});
    }
    std::set<Offset> bad;
    for (int k = 0; k < 4; ++k) {
      Offset o = 1 + chance() % 40;
      if (!one.Has(o) || !bad.insert(o).second)
        continue;
      one.CorruptEntry(o);
    }
    if (one.Has(40)) {
      one.LoseEntry(40);
      bad.insert(40);
    }
    Log a(1, MakeSettings(), one, 1), b(2, MakeSettings(), two, 2);
    auto gaps = a.Gaps(100);
    CHECK(std::set<Offset>(gaps.begin(), gaps.end()) == bad);
    CHECK(a.LastOffset() == 40);
    Offset reached = 0;
    a.Read(0, 40, 1u << 20, &reached);
    CHECK(reached == *bad.begin() - 1);
    CompactionPlan plan{1, 39, 30};
    a.AcceptPlan(plan);
    while (a.CompactStep())
      CHECK(a.metadata().compacted_up_to < *bad.begin());
    CHECK(a.metadata().tombstone_horizon <= 10);
    if (chance() % 2)
      Compact(b, plan);
    CHECK(!a.RepairGap(MakeEntry(41, "k", "v")));
    CompactionProgress source{b.metadata().compacted_up_to, b.metadata().tombstone_horizon};
    for (Offset h : gaps) {
      if (const Entry* e = b.Find(h)) {
        CHECK(a.RepairGap(*e));
      } else if (!a.CloseCompactedGap(h, source)) {
        CHECK(h <= source.tombstone_horizon);  // it may have been a tombstone, and the entry it hid
                                               // may be here
        CHECK(a.ResetFromSnapshot(All(b), source));
        a.Commit(40);
        break;
      }
    }
    CHECK(!a.CloseCompactedGap(40, {40, 0}));
    Compact(a, plan);
    Compact(b, plan);
    CHECK(All(a) == ExpectedAfter(list, plan));
    Offset f = std::max(a.metadata().tombstone_horizon, b.metadata().tombstone_horizon);
    CHECK(a.Digest(40, f) == b.Digest(40, f));
    Log again(1, MakeSettings(), one, 1);
    CHECK(again.Gaps(9).empty());
    CHECK(All(again) == All(a));
  }
}

TEST_CASE(
    "an entry lost where it looks compacted is detected by the count; nothing is read past it, and "
    "only a reset from a snapshot repairs it") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    auto list = Mixed(40, seed);
    MemoryLogStorage disk;
    std::knuth_b chance(seed);
    {
      Log log(1, MakeSettings(3), disk, 1);
      CHECK(log.AppendEntries(0, list));
      log.Commit(40);
      Compact(log, {1, 30, 10});
    }
    Log well(1, MakeSettings(), disk, 1);
    CHECK(!well.HasUnlocatedLoss());
    auto entries = All(well);
    CompactionProgress source{well.metadata().compacted_up_to, well.metadata().tombstone_horizon};
    std::vector<Offset> can;
    for (const Entry& e : entries)
      if (e.offset <= 30)
        can.push_back(e.offset);
    std::size_t n = 1 + chance() % 2;
    for (std::size_t k = 0; k < n; ++k)
      disk.LoseEntry(can[(chance() % (can.size() / 2)) * 2 + k]);
    bool flips = chance() % 2 != 0;
    if (flips)
      disk.CorruptEntry(35);
    for (int start = 0; start < 3; ++start) {
      Log log(1, MakeSettings(), disk, 1);
      CHECK(log.HasUnlocatedLoss());
      auto gaps = log.Gaps(9);
      REQUIRE(gaps.size() == (flips && start == 0 ? 2 : 1));
      for (Offset after = 0; after < 30; ++after)
        CHECK(log.Read(after, 40, 1u << 20).empty());
      CHECK(!log.RepairGap(list[gaps.front() - 1]));
      CHECK(!log.CloseCompactedGap(gaps.front(), {40, 0}));
      if (start == 0)
        CHECK(log.AppendEntries(0, {MakeEntry(41, "x", "y")}));
      if (start == 0 && flips)
        CHECK(log.AppendEntries(31, {list.begin() + 30, list.end()}) == false);
      if (start == 0 && flips)
        CHECK(log.Gaps(9).size() == 2);
      flips = false;
      disk.RestoreEntry(list[34]);
    }
    Log log(1, MakeSettings(), disk, 1);
    CHECK(log.ResetFromSnapshot(entries, source));
    CHECK(!log.HasUnlocatedLoss());
    Log again(1, MakeSettings(), disk, 1);
    CHECK(!again.HasUnlocatedLoss());
    CHECK(again.Gaps(9).empty());
    CHECK(All(again) == entries);
  }
}

TEST_CASE("everything before a gap at the end is compacted") {
  MemoryLogStorage disk;
  {
    Log log(1, MakeSettings(), disk, 1);
    CHECK(log.AppendEntries(0, {MakeEntry(1, "a", ""), MakeEntry(2, "b", "x")}));
    log.Commit(2);
  }
  disk.CorruptEntry(2);
  Log log(1, MakeSettings(), disk, 1);
  Compact(log, {1, 1, 1});
  CHECK(log.size() == 0);
  CHECK(log.metadata().first == 2);
  CHECK(log.LastOffset() == 2);
  CHECK(log.Gaps(3) == std::vector<Offset>{2});
  CHECK(log.RepairGap(MakeEntry(2, "b", "x")));
  CHECK(Log(1, MakeSettings(), disk, 1).Latest(Stream::kRecalls, "b")->value == "x");
}

TEST_CASE("old disk, swapped disk, no space in memory or on disk, entries out of bounds") {
  MemoryLogStorage disk;
  LogSettings t = MakeSettings();
  t.max_bytes = 40 * 300;
  Log log(1, t, disk, 5);
  CHECK(log.AppendEntries(0, Mixed(20, 3)));
  log.Commit(20);
  auto older = disk.contents();
  CHECK(log.AppendEntries(0, {MakeEntry(21, "a", "b"), MakeEntry(22, "a", "c")}));
  log.Commit(22);
  bool full = false;
  while (!full) {
    Offset n = log.LastOffset();
    std::size_t bytes = log.bytes();
    try {
      bool ok = log.AppendEntries(0, {MakeEntry(n + 1, "a", "d")});
      CHECK(ok);
    } catch (const StorageFullError&) {
      full = true;
      CHECK(log.LastOffset() == n);
      CHECK(log.bytes() == bytes);
    }
  }
  log.Commit(log.LastOffset());
  Compact(log, {1, log.LastOffset() - 1, 0});
  CHECK(log.AppendEntries(
      0, {MakeEntry(log.LastOffset() + 1, "a", "e")}));  // compaction has freed space
  disk.RestoreContents(older);
  Log again(1, t, disk, 6);
  CHECK(again.LastOffset() == 20);
  CHECK(again.metadata().store_id == 5);
  CHECK_THROWS_AS(Log(2, t, disk, 6), StorageError);
  CHECK(!again.AppendEntries(0, {MakeEntry(21, "", "x")}));
  CHECK(!again.AppendEntries(0, {MakeEntry(21, std::string(kMaxKeyBytes + 1, 'k'), "x")}));
  CHECK(!again.AppendEntries(0, {MakeEntry(21, "k", std::string(kMaxValueBytes + 1, 'v'))}));
  CHECK(!again.AppendEntries(0, {MakeEntry(20, "k", "x")}));
  CHECK(again.LastOffset() == 20);
  again.RecordWitnessed(3, 9);
  again.RecordWitnessed(2, 4);
  again.RecordWitnessed(3, 7);
  again.PersistMetadata();
  Log third(1, t, disk, 6);
  CHECK(third.metadata().witnessed == std::vector<std::pair<Id, Offset>>{{2, 4}, {3, 9}});
  MemoryLogStorage small;
  small.max_bytes = 100;
  Log little(1, MakeSettings(), small, 1);
  CHECK(little.AppendEntries(0, {MakeEntry(1, "k", std::string(60, 'v'))}));
  CHECK_THROWS_AS(little.AppendEntries(0, {MakeEntry(2, "k", std::string(60, 'v'))}),
                  StorageFullError);
  little.Promise(4);
  CHECK(little.metadata().promised_token == 4);
}

TEST_CASE(
    "brought up to date from a compacted log: offsets are missing only where the source was "
    "compacted; below its tombstone horizon only a reset is possible") {
  auto list = Mixed(50, 21);
  MemoryLogStorage one, two;
  Log a(1, MakeSettings(), one, 1), b(2, MakeSettings(), two, 2);
  CHECK(a.AppendEntries(0, list));
  a.Commit(50);
  CHECK(b.AppendEntries(0, {list.begin(), list.begin() + 8}));
  b.Commit(8);
  Compact(a, {1, 45, 40});
  CompactionProgress source{a.metadata().compacted_up_to, a.metadata().tombstone_horizon};
  REQUIRE(source.tombstone_horizon > 8);
  auto rest = a.Read(8, 50, 1u << 20);
  CHECK(!b.AppendEntries(0, rest));          // missing offsets that no compaction explains
  CHECK(!b.AppendEntries(0, rest, source));  // a tombstone above the end of this log was removed
  auto encoded = All(a);
  std::size_t half = encoded.size() / 2;
  CHECK(b.ResetFromSnapshot({encoded.begin(), encoded.begin() + static_cast<std::ptrdiff_t>(half)},
                            source));
  CHECK(!b.IsComplete());
  CHECK(b.metadata().committed == 0);
  Log again(2, MakeSettings(), two, 9);
  std::vector<Entry> rest2(encoded.begin() + static_cast<std::ptrdiff_t>(half), encoded.end());
  if (again.LastOffset() < source.tombstone_horizon)
    CHECK(!again.AppendEntries(0, rest2, {source.compacted_up_to, source.tombstone_horizon - 1}));
  CHECK(again.AppendEntries(0, rest2, source));
  again.Commit(50);
  CHECK(again.IsComplete());
  CHECK(again.metadata().store_id == 2);
  CHECK(again.Digest(50) == a.Digest(50));
  CHECK(again.Gaps(9).empty());
}

TEST_CASE("one key written a million times; a million keys") {
  LogSettings t = MakeSettings(4096);
  t.max_bytes = std::size_t{1} << 30;
  for (bool many : {false, true}) {
    MemoryLogStorage disk;
    Log log(1, t, disk, 1);
    const Offset n = 1000000;
    std::size_t most = 0;
    std::vector<Entry> batch;
    for (Offset o = 1; o <= n; ++o) {
      batch.push_back(MakeEntry(o, many ? Name("k", o) : "one", "v", 0));
      if (batch.size() < 1000 && o != n)
        continue;
      REQUIRE(log.AppendEntries(0, batch));
      batch.clear();
      log.Commit(o);
      if (auto plan = log.ProposePlan(1e6, log.metadata().committed, 1))
        log.AcceptPlan(*plan);
      while (log.CompactStep()) {
      }
      most = std::max(most, log.bytes());
    }
    CHECK(log.LastOffset() == n);
    CHECK(log.size() == (many ? n : 2));  // a plan never covers the last entry
    if (!many)
      CHECK(most < 1000 * 1000);
    CHECK(log.Latest(Stream::kRecalls, many ? "k77" : "one")->offset == (many ? 77 : n));
  }
}

TEST_CASE(
    "LMDB storage: same as memory across restarts; corrupted bytes; a full map; an old file") {
  namespace fs = std::filesystem;
  std::string folder = (fs::temp_directory_path() / "record_test.XXXXXX").string();
  REQUIRE(::mkdtemp(folder.data()) != nullptr);
  auto open = [&](const char* what, std::size_t bytes = 1 << 20) {
    return std::make_unique<dunlinwick::store::LmdbLogStorage>(folder + "/" + what, bytes);
  };
  auto list = Mixed(40, 4);
  MemoryLogStorage memory;
  Log reference(1, MakeSettings(4), memory, 8);
  {
    auto disk = open("a");
    CHECK(!disk->metadata());
    Log log(1, MakeSettings(4), *disk, 8);
    for (Log* l : {&log, &reference}) {
      CHECK(l->AppendEntries(0, list));
      l->RecordWitnessed(2, 12);
      l->Promise(5);
      l->Commit(30);
      CHECK(l->AppendEntries(35, {MakeEntry(35, "t", "u", 3, 2)}));
      l->Commit(35);
      Compact(*l, {1, 29, 20});
    }
    CHECK(log.metadata() == reference.metadata());
  }
  auto disk = open("a");
  CHECK(disk->metadata() == reference.metadata());
  std::vector<Entry> read;
  disk->ForEachEntry([&](Offset o, const Entry* e) {
    REQUIRE(e);
    CHECK(e->offset == o);
    read.push_back(*e);
  });
  CHECK(read == All(reference));
  CHECK_THROWS_AS(Log(2, MakeSettings(), *disk, 8), StorageError);
  disk.reset();
  // One corrupted byte of a value on the page: a gap at the next start, repaired from another log.
  const Entry* victim = reference.Find(30) && !reference.Find(30)->tombstone ? reference.Find(30)
                                                                             : reference.Find(35);
  {
    std::string path = folder + "/a/data.mdb";
    std::FILE* f = std::fopen(path.c_str(), "r+b");
    std::string bytes(fs::file_size(path), 0);
    REQUIRE(std::fread(bytes.data(), 1, bytes.size(), f) == bytes.size());
    std::size_t flipped = 0;
    std::string look =
        std::string(1, '\x22').append(1, static_cast<char>(victim->key.size())).append(victim->key);
    if (victim->tombstone)
      look.append("\x28\x01");
    else
      look.append(1, '\x32')
          .append(1, static_cast<char>(victim->value.size()))
          .append(victim->value);
    for (std::size_t at = 0; (at = bytes.find(look, at)) != std::string::npos; ++at) {
      std::fseek(f, static_cast<long>(at + look.size() - 1), SEEK_SET);
      std::fputc(bytes[at + look.size() - 1] ^ 4, f);
      ++flipped;
    }
    std::fclose(f);
    CHECK(flipped > 0);
  }
  disk = open("a");
  {
    Log log(1, MakeSettings(), *disk, 8);
    REQUIRE(log.Gaps(9) == std::vector<Offset>{victim->offset});
    CHECK(log.RepairGap(*victim));
    Log again(1, MakeSettings(), *disk, 8);
    CHECK(All(again) == All(reference));
  }
  auto small = open("b", 256 << 10);
  Log log(1, MakeSettings(), *small, 1);
  bool full = false;
  for (Offset o = 1; o < 2000 && !full; ++o)
    try {
      bool ok = log.AppendEntries(0, {MakeEntry(o, Name("k", o % 5), std::string(1000, 'v'))});
      CHECK(ok);
    } catch (const StorageFullError&) {
      full = true;
    }
  REQUIRE(full);
  CHECK(log.LastOffset() > 100);
  std::size_t pages = small->PageBytes();
  log.Commit(log.LastOffset());
  Compact(log, {1, log.LastOffset() - 1, 0});
  CHECK(small->PageBytes() < pages / 4);
  CHECK(log.AppendEntries(0, {MakeEntry(log.LastOffset() + 1, "k", std::string(1000, 'v'))}));
  small.reset();
  disk.reset();
  fs::remove_all(folder);
}

// ---- random runs against a plain list

namespace {

struct Op {
  unsigned kind = 0;
  unsigned a = 0;
  unsigned b = 0;
};

// Two replicas that receive the same list and are compacted, restarted, damaged and rolled back at
// different times; subscribers that read from either, with messages lost, duplicated, corrupted and
// delayed. After every event each subscriber is compared with the list.
class Play {
 public:
  explicit Play(InjectedDefects defects) {
    log_.defects = sub_.defects = defects;
    log_.min_compaction_lag = 50;
    log_.tombstone_retention = 200;
    log_.min_dead_ratio = 0.1;
    log_.entries_per_step = 3;
    log_.defects = defects;
    sub_.lease = 400;
    sub_.poll_interval = 20;
    sub_.retry_interval = 100;
    sub_.batch_bytes = 150;
    sub_.max_subscribers = 8;
    for (int k = 0; k < 2; ++k)
      Start(k);
    for (unsigned s = 0; s < 3; ++s)
      Join(s, false);
  }
  std::string Run(const std::vector<Op>& ops) {
    for (std::size_t n = 0; n < ops.size() && finding_.empty(); ++n)
      Act(ops[n]);
    if (finding_.empty())
      Settle();
    return finding_;
  }
  std::uint64_t StartOvers() const {
    return start_overs_;
  }
  std::uint64_t Rejected() const {
    return rejected_;
  }

 private:
  struct TestReplica {
    MemoryLogStorage disk;
    MemoryLogStorage::Contents old;
    std::unique_ptr<Log> log;
    std::unique_ptr<SubscriptionServer> server;
    bool is_fed = true;
  };
  struct Follower {
    std::unique_ptr<Subscriber> sub;
    std::map<std::string, std::pair<Offset, std::string>> state;
    Offset last = 0;
    Ms away_until = 0;
  };
  struct Packet {
    unsigned subscriber;
    Id replica;
    std::string bytes;
  };
  void ReportFinding(const std::string& what) {
    if (finding_.empty())
      finding_ = what;
  }
  void Start(int k) {
    TestReplica& replica = replicas_[k];
    replica.disk.write_fault = nullptr;
    replica.server.reset();
    replica.log.reset();
    replica.log = std::make_unique<Log>(k + 1, log_, replica.disk, 10 + k);
    replica.server = std::make_unique<SubscriptionServer>(*replica.log, sub_, now_);
    for (auto& one : asked_)
      one.second.until = 0;  // its leases are gone
  }
  void RestartOnFailure(int k, const std::function<void()>& operation) {
    try {
      operation();
    } catch (const StorageError&) {
      Start(k);
    }
  }
  void Feed(int k) {
    TestReplica& replica = replicas_[k];
    if (!replica.is_fed)
      return;
    RestartOnFailure(k, [&] {
      Offset from = replica.log->LastOffset();
      if (from < list_.size())
        replica.log->AppendEntries(
            0, {list_.begin() + static_cast<std::ptrdiff_t>(from), list_.end()});
      replica.log->Commit(list_.size());
    });
  }
  void Write(const std::string& key, const std::string& value) {
    list_.push_back(MakeEntry(list_.size() + 1, key, value, now_));
  }
  void Join(unsigned s, bool resumes) {
    Follower& f = followers_[s];
    if (!resumes) {
      f.state.clear();
      f.last = 0;
    }
    ++incarnations_;
    f.sub = std::make_unique<Subscriber>(s + 1, incarnations_, std::vector<Id>{1, 2}, sub_, f.last,
                                         incarnations_, now_);
    asked_[s].until = 0;
  }
  Subscriber::Callbacks out(unsigned s) {
    Subscriber::Callbacks o;
    o.send_request = [this, s](Id replica, const SubscriptionRequest& w) {
      if (packets_.size() < 50)
        packets_.push_back({s, replica, Encode(w)});
    };
    o.on_entry = [this, s](const Entry& e) {
      Follower& f = followers_[s];
      if (e.offset <= f.last)
        ReportFinding("an older entry after a newer one, or a duplicate");
      if (e.offset > list_.size() || !(list_[e.offset - 1] == e))
        return ReportFinding("an entry that differs from what was written");
      f.last = e.offset;
      if (e.tombstone)
        f.state.erase(e.key);
      else
        f.state[e.key] = {e.offset, e.value};
    };
    o.on_start_over = [this, s] {
      followers_[s].state.clear();
      followers_[s].last = 0;
      ++start_overs_;
    };
    return o;
  }
  // Of each key the subscriber has the latest entry at or below its position, or a later one is on
  // its way; once it is caught up, exactly the latest.
  void CheckState(unsigned s) {
    Follower& f = followers_[s];
    Offset p = f.sub->Position();
    if (f.last > p)
      return ReportFinding("position behind what was delivered");
    f.last = p;
    bool exact = f.sub->IsCaughtUp() && p >= list_.size();
    std::map<std::string, const Entry*> then;
    std::set<std::string> later;
    for (const Entry& e : list_) {
      if (e.offset <= p)
        then[e.key] = &e;
      else
        later.insert(e.key);
    }
    for (const auto& [key, e] : then) {
      auto i = f.state.find(key);
      bool same =
          e->tombstone ? i == f.state.end() : i != f.state.end() && i->second.first == e->offset;
      if (!same && (exact || later.count(key) == 0))
        return ReportFinding(key + (i == f.state.end() ? " is missing" : " is outdated") + " at " +
                             std::to_string(p));
    }
    for (const auto& [key, one] : f.state)
      if (then.count(key) == 0)
        ReportFinding(key + " was never there");
  }
  void Deliver(std::size_t n, unsigned fault) {
    if (packets_.empty())
      return;
    auto at = packets_.begin() + static_cast<std::ptrdiff_t>(n % packets_.size());
    Packet packet = *at;
    if (fault % 8 != 1)
      packets_.erase(at);  // 1: a duplicate stays
    if (fault % 8 == 0)
      return;  // lost
    auto message = DecodeSubscriberMessage(packet.bytes);
    if (!message)
      return ReportFinding("a message that we encoded cannot be decoded");
    if (const auto* w = std::get_if<SubscriptionRequest>(&*message)) {
      asked_[packet.subscriber] = {w->after, now_ + sub_.lease};
      if (auto p = replicas_[packet.replica - 1].server->HandleRequest(now_, *w))
        packets_.push_back({packet.subscriber, packet.replica, Encode(*p)});
      else
        asked_[packet.subscriber].until = 0;
    } else if (auto* p = std::get_if<SubscriptionResponse>(&*message)) {
      if (fault % 8 == 2 && !p->entries.empty())
        p->entries[0].value += "~";
      if (fault % 8 == 3)
        p->up_to += 1;
      if (fault % 16 == 4)
        p->start_over = !p->start_over;
      Follower& f = followers_[packet.subscriber];
      std::uint64_t before = f.sub->RejectedResponses();
      f.sub->Receive(now_, packet.replica, *p, out(packet.subscriber));
      rejected_ += f.sub->RejectedResponses() - before;
      CheckState(packet.subscriber);
    }
  }
  void plan(unsigned to) {
    Offset passed =
        std::min(replicas_[0].server->MinPosition(now_), replicas_[1].server->MinPosition(now_));
    auto p = replicas_[0].log->ProposePlan(now_, passed, 1);
    if (!p)
      return;
    for (const auto& [who, one] : asked_)
      if (one.until > now_ && one.after < p->remove_tombstones_up_to)
        ReportFinding("a tombstone is removed that an active subscriber has not passed");
    for (const Entry& e : list_)
      if (e.tombstone && e.offset <= p->remove_tombstones_up_to &&
          now_ - e.written_at < log_.tombstone_retention && replicas_[0].log->Find(e.offset))
        ReportFinding("a tombstone is removed before its retention elapses");
    for (int k = 0; k < 2; ++k)
      if (to % 4 != static_cast<unsigned>(k))
        replicas_[k].log->AcceptPlan(*p);
  }
  void Repair(int k) {
    TestReplica& replica = replicas_[k];
    Log &log = *replica.log, &other = *replicas_[1 - k].log;
    RestartOnFailure(k, [&] {
      for (Offset h : log.Gaps(100)) {
        CompactionProgress source{other.metadata().compacted_up_to,
                                  other.metadata().tombstone_horizon};
        auto others = other.Gaps(1);
        if (!other.IsComplete() || other.metadata().committed < h || !others.empty())
          return;
        if (const Entry* e = other.Find(h))
          log.RepairGap(*e);
        else if (!log.CloseCompactedGap(h, source))
          return void(
              (log.ResetFromSnapshot(All(other), source), log.Commit(other.metadata().committed)));
      }
    });
  }
  // A few keys are deleted, and their tombstones removed, while one subscriber is away longer than
  // its lease.
  void Sweep(unsigned s, unsigned from) {
    for (unsigned n = 0; n < 8; ++n)
      Write(Name("k", (from + n) % 24), "");
    followers_[s].away_until = now_ + 1000;
    for (int turn = 0; turn < 2; ++turn) {
      now_ += 500;
      Write(Name("z", list_.size()), "z");
      for (int k = 0; k < 2; ++k)
        Feed(k);
      plan(3);
      for (int k = 0; k < 2; ++k)
        RestartOnFailure(k, [&] {
          while (replicas_[k].log->CompactStep()) {
          }
        });
    }
  }
  void Act(const Op& op) {
    int k = static_cast<int>(op.a % 2);
    unsigned s = op.a % 3;
    TestReplica& replica = replicas_[k];
    switch (op.kind % 20) {
      case 0:
      case 1:
        for (unsigned n = 0; n <= op.b % 3; ++n)
          Write(Name("k", (op.a + n) % 24), (op.b + n) % 3 == 0 ? "" : Name("v", list_.size() + 1));
        Feed(0);
        Feed(1);
        break;
      case 2:
        Write(Name("k", op.a % 24), "");
        Write(Name("k", op.a % 24), Name("v", list_.size() + 1));
        Feed(0);
        Feed(1);
        break;
      case 3:
        plan(op.a);
        break;
      case 4:
      case 5:
        RestartOnFailure(k, [&] {
          for (unsigned n = 0; n <= op.b % 4; ++n)
            replica.log->CompactStep();
        });
        break;
      case 6:
        now_ += op.b % 8 == 0 ? 10.0 * (op.a % 512) : op.a % 64;
        break;
      case 7:
      case 8:
      case 9:
        if (now_ >= followers_[s].away_until)
          followers_[s].sub->Tick(now_, out(s));
        break;
      case 10:
      case 11:
      case 12:
      case 13:
      case 14:
        Deliver(op.a, op.b);
        break;
      case 15:
        Start(k);
        break;
      case 16:
        replica.disk.write_fault = [n = 1 + op.b % 4, after = op.b % 8 >= 4,
                                    seen = 0u](std::uint64_t) mutable {
          return ++seen == n ? (after ? MemoryLogStorage::WriteFault::kFailAfter
                                      : MemoryLogStorage::WriteFault::kFailBefore)
                             : MemoryLogStorage::WriteFault::kNone;
        };
        break;
      case 17:
        if (op.b % 4 == 0)
          Join(s, false);
        else if (op.b % 4 == 1)
          Join(s, true);
        else
          followers_[s].away_until = now_ + 3000;  // longer than its lease
        break;
      case 18:
        if (k == 1) {
          if (op.b % 3 == 0)
            replica.is_fed = !replica.is_fed;
          else if (op.b % 3 == 1 || !replica.old.metadata)
            replica.old = replica.disk.contents();
          else {
            replica.disk.RestoreContents(replica.old);
            Start(1);
          }
        } else if (replicas_[1].log->Gaps(1).empty() && replica.log->LastOffset() > 0) {
          replica.disk.CorruptEntry(1 + op.b % replica.log->LastOffset());
          Start(0);
        }
        break;
      case 19:
        Repair(k);
        if (op.b % 8 == 0)
          Sweep(s, op.a % 24);
        break;
    }
  }
  void Settle() {
    for (int round = 0; round < 200 && finding_.empty(); ++round) {
      for (int k = 0; k < 2; ++k) {
        replicas_[k].is_fed = true;
        Feed(k);
        Repair(k);
      }
      if (round % 100 == 3)
        plan(3);
      for (int k = 0; k < 2; ++k)
        RestartOnFailure(k, [&] { replicas_[k].log->CompactStep(); });
      now_ += 25;
      for (unsigned s = 0; s < 3; ++s)
        followers_[s].sub->Tick(now_, out(s));
      while (!packets_.empty() && finding_.empty())
        Deliver(0, 7);
    }
    for (unsigned s = 0; s < 3 && finding_.empty(); ++s) {
      if (!followers_[s].sub->IsCaughtUp() || followers_[s].sub->Position() != list_.size())
        ReportFinding("not caught up at the end");
      CheckState(s);
    }
    for (int k = 0; k < 2; ++k)
      if (replicas_[k].log->Gaps(1).size() > 0)
        ReportFinding("a gap that was not repaired");
    const Log &a = *replicas_[0].log, &b = *replicas_[1].log;
    Offset tombstone_horizon =
        std::max(a.metadata().tombstone_horizon, b.metadata().tombstone_horizon);
    if (finding_.empty() &&
        a.Digest(list_.size(), tombstone_horizon) != b.Digest(list_.size(), tombstone_horizon))
      ReportFinding("replicas differ at the end");
  }

  struct Asked {
    Offset after = 0;
    Ms until = 0;
  };
  LogSettings log_;
  SubscriberSettings sub_;
  Ms now_ = 0;  // 1970
  std::vector<Entry> list_;
  TestReplica replicas_[2];
  std::map<unsigned, Asked> asked_;
  Follower followers_[3];
  std::vector<Packet> packets_;
  std::uint64_t incarnations_ = 0;
  std::uint64_t start_overs_ = 0;
  std::uint64_t rejected_ = 0;
  std::string finding_;
};

std::vector<Op> Drawn(std::uint64_t seed, std::size_t n) {
  std::knuth_b chance(seed);
  std::vector<Op> ops(n);
  for (Op& o : ops) {
    o.kind = chance() >> 4;
    o.a = chance() >> 4;
    o.b = chance() >> 4;
  }
  return ops;
}
// The number of seeds with a finding; the first one is reported.
int Found(InjectedDefects defects, std::uint64_t seeds, int enough = 1 << 20,
          std::uint64_t* start_overs = nullptr, std::uint64_t* refused = nullptr) {
  int n = 0;
  for (std::uint64_t seed = 1; seed <= seeds && n < enough; ++seed) {
    Play play(defects);
    std::string what = play.Run(Drawn(seed, 600));
    if (start_overs)
      *start_overs += play.StartOvers();
    if (refused)
      *refused += play.Rejected();
    if (!what.empty() && ++n == 1)
      MESSAGE("seed ", seed, ": ", what);
  }
  return n;
}

}  // namespace

TEST_CASE(
    "random runs: the subscriber's guarantees at every position, from two replicas, through every "
    "fault") {
  std::uint64_t start_overs = 0, refused = 0;
  CHECK(Found({}, 500, 1 << 20, &start_overs, &refused) == 0);
  CHECK(start_overs > 50);
  CHECK(refused > 1000);
  bool holds = rc::check("agrees with a plain list", [] {
    auto raw = *rc::gen::scale(
        6,
        rc::gen::arbitrary<std::vector<std::tuple<std::uint8_t, std::uint16_t, std::uint16_t>>>());
    std::vector<Op> ops;
    for (auto [kind, a, b] : raw)
      ops.push_back({kind, a, b});
    std::string what = Play({}).Run(ops);
    if (!what.empty())
      RC_FAIL(what);
  });
  CHECK(holds);
}

TEST_CASE("injected defects are caught") {
  InjectedDefects early, gap, resumed, unchecked;
  early.drop_tombstones_early = gap.gap_after_snapshot = resumed.resume_behind_horizon =
      unchecked.skip_digest_check = true;
  CHECK(Found(early, 200, 1) > 0);
  CHECK(Found(gap, 200, 1) > 0);
  CHECK(Found(resumed, 400, 1) > 0);
  CHECK(Found(unchecked, 200, 1) > 0);
}

// Guards against a subscriber that never receives anything where every replica takes longer than
// its retry interval: each response was dropped, since the next replica had been asked by then.
TEST_CASE("subscribers: replicas that all respond later than the retry interval are read") {
  constexpr Ms kResponseTime = 900;
  constexpr Ms kTick = 20;
  constexpr int kReplicas = 3;
  MemoryLogStorage disk;
  Log log(1, MakeSettings(), disk, 1);
  auto list = Mixed(40, 31);
  CHECK(log.AppendEntries(0, list));
  log.Commit(40);
  SubscriberSettings settings;
  settings.batch_bytes = 200;
  REQUIRE(settings.retry_interval < kResponseTime);
  std::vector<SubscriptionServer> servers;
  std::vector<Id> replicas;
  for (Id id = 1; id <= kReplicas; ++id) {
    servers.emplace_back(log, settings, 0);
    replicas.push_back(id);
  }
  struct Delayed {
    Ms due_at = 0;
    Id from = 0;
    SubscriptionResponse response;
  };
  std::deque<Delayed> on_the_way;
  std::vector<Entry> received;
  Ms now = 0;
  Subscriber::Callbacks callbacks{[&](Id to, const SubscriptionRequest& request) {
                                    auto response = servers[to - 1].HandleRequest(now, request);
                                    if (response)
                                      on_the_way.push_back({now + kResponseTime, to, *response});
                                  },
                                  [&](const Entry& entry) { received.push_back(entry); },
                                  [] {
                                  }};
  Subscriber subscriber(9, 1, replicas, settings, 0, 5, 0);
  for (; now < 60000 && !subscriber.IsCaughtUp(); now += kTick) {
    subscriber.Tick(now, callbacks);
    while (!on_the_way.empty() && on_the_way.front().due_at <= now) {
      Delayed next = std::move(on_the_way.front());
      on_the_way.pop_front();
      subscriber.Receive(now, next.from, next.response, callbacks);
    }
  }
  CHECK(subscriber.IsCaughtUp());
  CHECK(received == All(log));
  CHECK(subscriber.CurrentAsOf() <= now - kResponseTime);
}

TEST_CASE(
    "subscribers: snapshot, then tail, during writes and compaction; slow, absent and too many "
    "subscribers; unexpected messages") {
  MemoryLogStorage disk;
  Log log(1, MakeSettings(), disk, 1);
  auto list = Mixed(60, 31);
  CHECK(log.AppendEntries(0, {list.begin(), list.begin() + 40}));
  log.Commit(40);
  SubscriberSettings t;
  t.batch_bytes = 200;
  t.max_subscribers = 2;
  t.lease = 1000;
  SubscriptionServer server(log, t, 0);
  std::vector<SubscriptionRequest> asked;
  std::vector<Entry> got;
  int over = 0;
  Subscriber::Callbacks out{[&](Id, const SubscriptionRequest& w) { asked.push_back(w); },
                            [&](const Entry& e) { got.push_back(e); },
                            [&] {
                              ++over;
                              got.clear();
                            }};
  Subscriber sub(9, 1, {1}, t, 0, 5, 0);
  sub.Tick(0, out);
  REQUIRE(asked.size() == 1);
  auto piece = server.HandleRequest(0, asked[0]);
  REQUIRE(piece);
  CHECK(piece->snapshot_end == 40);
  std::size_t bytes = 0;
  for (const Entry& e : piece->entries)
    bytes += e.key.size() + e.value.size() + 40;
  CHECK(bytes <= t.batch_bytes);
  CHECK(server.MinPosition(1) == 0);
  CHECK(!server.HandleRequest(1, asked[0]));  // a duplicate
  sub.Receive(1, 2, *piece, out);             // from a replica that was not asked
  CHECK(got.empty());
  for (int n = 0; n < 5; ++n)
    sub.Tick(1, out);
  CHECK(asked.size() == 1);  // one request in flight, however often Tick() is called
  sub.Receive(1, 1, *piece, out);
  sub.Receive(1, 1, *piece, out);
  CHECK(got.size() == piece->entries.size());
  CHECK(asked.size() == 2);
  CHECK(server.HandleRequest(2, SubscriptionRequest{7, 1, 1, 0, 7, 0}));
  CHECK(!server.HandleRequest(2, SubscriptionRequest{8, 1, 1, 0, 7, 0}));  // full
  CHECK(server.HandleRequest(1500,
                             SubscriptionRequest{8, 1, 1, 40, 7, 0}));  // both leases have expired
  CHECK(server.ActivePositions(1500).positions.size() == 1);
  CHECK(!server.HandleRequest(1501,
                              SubscriptionRequest{8, 0, 9, 0, 7, 0}));  // of an earlier incarnation
  // More is written and compacted before the subscriber continues: the tail follows the snapshot.
  CHECK(log.AppendEntries(0, {list.begin() + 40, list.end()}));
  log.Commit(60);
  Compact(log, {1, 30, 0});
  CHECK(!sub.IsCaughtUp());
  for (int n = 0; n < 60 && !sub.IsCaughtUp(); ++n)
    if (auto p = server.HandleRequest(2000, asked.back())) {
      if (p->after < 40)
        CHECK(p->up_to <= 40);
      sub.Receive(2000, 1, *p, out);
    }
  REQUIRE(sub.IsCaughtUp());
  CHECK(sub.Position() == 60);
  CHECK(sub.CurrentAsOf() == 2000);
  // Away while tombstones are removed: told to start over, never resumed; a subscriber that begins
  // after that is not.
  Compact(log, {1, 59, 59});
  REQUIRE(log.metadata().tombstone_horizon > 5);
  Subscriber old(10, 1, {1}, t, 5, 5, 3000);
  old.Tick(3000, out);
  for (int n = 0; n < 60 && !old.IsCaughtUp(); ++n)
    if (auto p = server.HandleRequest(3000, asked.back()))
      old.Receive(3000, 1, *p, out);
  CHECK(over == 1);
  CHECK(old.IsCaughtUp());
  CHECK(got == All(log));
  // One stream only.
  auto one = server.HandleRequest(9000, SubscriptionRequest{30, 1, 1, 0, 2, 0});
  REQUIRE(one);
  for (const Entry& e : one->entries)
    CHECK(e.stream == Stream::kRules);
  // Arbitrary bytes: decoded completely, or not at all.
  std::knuth_b chance(3);
  std::string encoded = Encode(*one);
  CHECK(DecodeSubscriberMessage(encoded));
  CHECK(std::get<LeasedPositions>(*DecodeSubscriberMessage(Encode(LeasedPositions{{{4, 5}}})))
            .positions.size() == 1);
  for (int n = 0; n < 20000; ++n) {
    std::string bad = encoded;
    for (int k = 0; k < 3; ++k)
      bad[chance() % bad.size()] = static_cast<char>(chance());
    if (n % 3 == 0)
      bad.resize(chance() % bad.size());
    auto message = DecodeSubscriberMessage(bad);
    if (!message || !std::holds_alternative<SubscriptionResponse>(*message))
      continue;
    SubscriptionResponse p = std::get<SubscriptionResponse>(*message);
    if (Encode(p) != encoded)
      CHECK(Digest(p) != p.digest);
  }
}
