// A keeper's log and its compaction, and subscribers: steps, hard cases, each disk call as a crash
// point, and seeded random runs against a plain list. Broken variants (record::Breaks) are each
// caught by the check they break.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <random>

#include "record/memory_disk.hpp"
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
  e.at = at;
  e.tombstone = value.empty();
  return e;
}
LogTerms MakeTerms(std::size_t entries_a_step = 256) {
  LogTerms t;
  t.lag = 0;
  t.dead_share = 0;
  t.entries_a_step = entries_a_step;
  return t;
}
std::string Name(const char* what, std::uint64_t n) {
  return std::string(what).append(std::to_string(n));
}
std::vector<Entry> All(const Log& log) {
  return log.Read(0, log.Last(), 1u << 30);
}
void Compact(Log& log, const Plan& plan) {
  log.Take(plan);
  while (log.Step()) {
  }
}
// Of a list: what a plan leaves, by the words of log.hpp alone.
std::vector<Entry> Left(const std::vector<Entry>& list, const Plan& plan) {
  std::vector<Entry> out;
  for (const Entry& e : list) {
    bool later = std::any_of(list.begin(), list.end(), [&](const Entry& o) {
      return o.offset > e.offset && o.offset <= plan.up_to && o.stream == e.stream &&
             o.key == e.key;
    });
    if (e.offset <= plan.up_to && (later || (e.tombstone && e.offset <= plan.forget)))
      continue;
    out.push_back(e);
  }
  return out;
}
std::vector<Entry> Mixed(Offset n, std::uint64_t seed) {
  std::knuth_b chance(seed);
  std::vector<Entry> out;
  for (Offset o = 1; o <= n; ++o) {
    Entry e = MakeEntry(o, Name("k", chance() % 7), chance() % 4 == 0 ? "" : Name("v", o),
                        static_cast<double>(o));
    e.stream = static_cast<Stream>(chance() % kStreams);
    out.push_back(e);
  }
  return out;
}

}  // namespace

TEST_CASE("latest of each key, offsets and order stay; the head younger than lag stays whole") {
  MemoryDisk disk;
  LogTerms t = MakeTerms(2);
  t.lag = 1000;
  Log log(1, t, disk, 77);
  std::vector<Entry> entries;
  for (Offset o = 1; o <= 20; ++o)
    entries.push_back(MakeEntry(o, Name("k", o % 3), Name("v", o), 100.0 * static_cast<double>(o)));
  CHECK(log.append(0, entries));
  CHECK(!log.append(0, {MakeEntry(22, "gap", "x")}));
  CHECK(!log.Latest(Stream::kRecalls, "k0"));
  log.Commit(20);
  CHECK(log.Latest(Stream::kRecalls, "k0")->offset == 18);
  auto plan = log.Worth(2500, log.head().committed, 1);
  REQUIRE(plan);
  CHECK(plan->up_to == 15);
  log.Take(*plan);
  std::uint64_t before = log.Digest(20);
  for (std::uint64_t calls = disk.Calls(); log.Step(); calls = disk.Calls())
    CHECK(disk.Calls() <= calls + 1);
  CHECK(log.Digest(20) == before);
  std::vector<Entry> left(entries.begin() + 12, entries.end());
  CHECK(All(log) == left);
  CHECK(log.head().cleaned == 15);
  Log again(1, t, disk, 78);
  CHECK(All(again) == left);
  CHECK(again.head().store == 77);
  CHECK(again.head().starts == 2);
  CHECK_THROWS_AS(Log(2, t, disk, 79), Failed);
}

TEST_CASE(
    "a plan leaves exactly what its words say, whatever the budget and however often it was "
    "begun") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    std::knuth_b chance(seed);
    auto list = Mixed(60, seed);
    MemoryDisk one, two;
    Log a(1, MakeTerms(1 + chance() % 9), one, 1), b(2, MakeTerms(1 + chance() % 9), two, 2);
    CHECK(a.append(0, list));
    CHECK(b.append(0, list));
    a.Commit(60);
    b.Commit(60);
    Plan early{1, 10 + chance() % 20, 0}, plan{1, 40 + chance() % 20, 0};
    early.forget = chance() % (early.up_to + 1);
    plan.forget = early.forget + chance() % (plan.up_to - early.forget + 1);
    Compact(a, early);
    CHECK(All(a) == Left(list, early));
    CHECK(a.head().cleaned == early.up_to);
    a.Take(plan);
    for (std::size_t k = chance() % 8; k > 0; --k)
      a.Step();
    Log again(1, MakeTerms(3), one, 1);  // begun anew after a start
    Compact(again, plan);
    Compact(b, plan);
    CHECK(All(again) == Left(list, plan));
    CHECK(All(b) == Left(list, plan));
    Offset forgotten = std::max(again.head().forgotten, b.head().forgotten);
    CHECK(again.Digest(60, forgotten) == b.Digest(60, forgotten));
  }
}

TEST_CASE("each disk call as a crash point, before and after its effect, and with no room") {
  auto list = Mixed(40, 9);
  auto drive = [&](Log& log) {
    auto up_to = [&](Offset n) {
      while (log.Last() < n) {
        auto from = list.begin() + static_cast<std::ptrdiff_t>(log.Last());
        bool ok = log.append(0, {from, from + 5});
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
  MemoryDisk calm;
  Log whole(1, MakeTerms(4), calm, 1);
  drive(whole);
  CHECK(All(whole) == Left(list, {3, 39, 30}));
  std::uint64_t calls = calm.Calls();
  CHECK(calls >= 25);
  for (std::uint64_t at = 1; at <= calls; ++at)
    for (auto fate :
         {MemoryDisk::Fate::kFailsBefore, MemoryDisk::Fate::kFailsAfter, MemoryDisk::Fate::kFull}) {
      CAPTURE(at);
      CAPTURE(static_cast<int>(fate));
      MemoryDisk disk;
      disk.fate = [&](std::uint64_t call) {
        return call == at ? fate : MemoryDisk::Fate::kWell;
      };
      std::unique_ptr<Log> log;
      int faults = 0;
      for (bool done = false; !done;) {
        try {
          if (!log)
            log = std::make_unique<Log>(1, MakeTerms(4), disk, 1);
          drive(*log);
          done = true;
        } catch (const Full&) {
          ++faults;
          if (log) {
            CHECK(!log->has_failed());
            Log other(1, MakeTerms(4), disk, 1);  // what is in memory is what is on disk
            CHECK(All(other) == All(*log));
          }
        } catch (const Failed&) {
          ++faults;
          if (log) {
            CHECK(log->has_failed());
            CHECK_THROWS_AS(log->append(0, {MakeEntry(log->Last() + 1, "x", "y")}), Failed);
          }
          log.reset();
        }
      }
      CHECK(faults == 1);
      CHECK(All(*log) == All(whole));
      CHECK(log->head().cleaned == whole.head().cleaned);
      CHECK(log->head().promised == 3);
      CHECK(log->Digest(40, whole.head().forgotten) == whole.Digest(40, log->head().forgotten));
      CHECK(log->Holes(9).empty());
    }
}

TEST_CASE("tombstones: a term, the slowest subscriber, and one in the same batch as a new value") {
  MemoryDisk disk;
  LogTerms t = MakeTerms();
  t.tombstone_term = kDay;
  Log log(1, t, disk, 1);
  CHECK(log.append(
      0, {MakeEntry(1, "a", "old", 1), MakeEntry(2, "a", "", 2), MakeEntry(3, "b", "old", 3),
          MakeEntry(4, "b", "", 3), MakeEntry(5, "b", "new", 3), MakeEntry(6, "c", "x", 4),
          MakeEntry(7, "d", "x", 5)}));
  log.Commit(7);
  auto plan = log.Worth(1000, 7, 1);
  REQUIRE(plan);
  CHECK(plan->forget == 0);  // its term has not run
  Compact(log, *plan);
  CHECK(log.at(2)->tombstone);
  CHECK(!log.at(4));
  CHECK(log.Latest(Stream::kRecalls, "b")->value == "new");
  CHECK(!log.Worth(2 * kDay, 1, 1));  // one living subscriber has not passed it
  plan = log.Worth(2 * kDay, 2, 1);
  REQUIRE(plan);
  CHECK(plan->forget == 2);
  Compact(log, *plan);
  CHECK(!log.at(2));
  CHECK(log.head().forgotten == 2);
  CHECK(!log.Latest(Stream::kRecalls, "a"));
  CHECK(log.head().first == 5);
  // A plan of a lower token, or further back, is passed over.
  log.Take({9, 3, 0});
  log.Take({8, 6, 6});
  CHECK(!log.Step());
}

TEST_CASE("clocks at 1970, and a century ahead") {
  MemoryDisk disk;
  LogTerms t = MakeTerms();
  t.lag = 1000;
  t.tombstone_term = kDay;
  Log log(1, t, disk, 1);
  const Ms now = 56 * 365 * kDay, ahead = now + 36500 * kDay;
  // A stopped clock wrote at 1970; another at 2100; then right again.
  CHECK(
      log.append(0, {MakeEntry(1, "a", "1", 5), MakeEntry(2, "a", "2", 6), MakeEntry(3, "b", "", 7),
                     MakeEntry(4, "c", "1", ahead), MakeEntry(5, "c", "", ahead),
                     MakeEntry(6, "d", "1", now), MakeEntry(7, "d", "2", now)}));
  log.Commit(7);
  auto plan = log.Worth(now, 7, 1);
  REQUIRE(plan);
  CHECK(plan->up_to == 5);   // one century does not stop it; the young stay whole
  CHECK(plan->forget == 3);  // the one ahead stays until its term has run: safe, and small
  Compact(log, *plan);
  CHECK(All(log).size() == 4);
  // Now itself at 1970: what is of other times is old; no tombstone of a later time goes.
  plan = log.Worth(0, 7, 1);
  CHECK(!plan.has_value());
}

TEST_CASE("a write of the same key while a compaction is under way, and truncation above it") {
  MemoryDisk disk;
  Log log(1, MakeTerms(2), disk, 1);
  auto list = Mixed(30, 5);
  CHECK(log.append(0, list));
  log.Commit(25);
  log.Take({1, 24, 10});
  for (Offset o = 31; o <= 40; ++o) {
    log.Step();
    list.push_back(MakeEntry(o, list[o - 31].key, Name("n", o), 1));
    CHECK(log.append(0, {list.back()}));
  }
  CHECK(!log.append(25, {}));  // committed
  CHECK(!log.append(20, {}));
  CHECK(log.append(35, {MakeEntry(35, "z", "z", 1, 7)}));
  list.resize(34);
  list.push_back(MakeEntry(35, "z", "z", 1, 7));
  while (log.Step()) {
  }
  CHECK(All(log) == Left(list, {1, 24, 10}));
  CHECK(log.LastToken() == 7);
  CHECK(log.head().cleaned == 24);
  // The index is as a fresh start would build it.
  Log again(1, MakeTerms(2), disk, 1);
  log.Commit(35);
  again.Commit(35);
  CHECK(log.Digest(35) == again.Digest(35));
  CHECK(log.bytes() == again.bytes());
  CHECK(log.DeadBytes() == again.DeadBytes());
}

TEST_CASE(
    "flipped and lost entries are holes; they heal, or are closed; nothing comes back to life") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    auto list = Mixed(40, seed);
    MemoryDisk one, two;
    std::knuth_b chance(seed);
    {
      Log a(1, MakeTerms(), one, 1), b(2, MakeTerms(), two, 2);
      CHECK(a.append(0, list));
      CHECK(b.append(0, list));
      a.Commit(40);
      b.Commit(40);
      Compact(a, {1, 20, 10});
    }
    std::set<Offset> bad;
    for (int k = 0; k < 4; ++k) {
      Offset o = 1 + chance() % 40;
      if (!one.Has(o) || !bad.insert(o).second)
        continue;
      one.Flip(o);
    }
    if (one.Has(40)) {
      one.Lose(40);
      bad.insert(40);
    }
    Log a(1, MakeTerms(), one, 1), b(2, MakeTerms(), two, 2);
    auto holes = a.Holes(100);
    CHECK(std::set<Offset>(holes.begin(), holes.end()) == bad);
    CHECK(a.Last() == 40);
    Offset reached = 0;
    a.Read(0, 40, 1u << 20, &reached);
    CHECK(reached == *bad.begin() - 1);
    Plan plan{1, 39, 30};
    a.Take(plan);
    while (a.Step())
      CHECK(a.head().cleaned < *bad.begin());
    CHECK(a.head().forgotten <= 10);
    if (chance() % 2)
      Compact(b, plan);
    CHECK(!a.Heal(MakeEntry(41, "k", "v")));
    Source source{b.head().cleaned, b.head().forgotten};
    for (Offset h : holes) {
      if (const Entry* e = b.at(h)) {
        CHECK(a.Heal(*e));
      } else if (!a.Close(h, source)) {
        CHECK(h <= source.forgotten);  // it may have been a tombstone, and what it hid may be here
        CHECK(a.Anew(All(b), source));
        a.Commit(40);
        break;
      }
    }
    CHECK(!a.Close(40, {40, 0}));
    Compact(a, plan);
    Compact(b, plan);
    CHECK(All(a) == Left(list, plan));
    Offset f = std::max(a.head().forgotten, b.head().forgotten);
    CHECK(a.Digest(40, f) == b.Digest(40, f));
    Log again(1, MakeTerms(), one, 1);
    CHECK(again.Holes(9).empty());
    CHECK(All(again) == All(a));
  }
}

TEST_CASE(
    "one lost where it looks compacted is found by the count; nothing is read over it, and only a "
    "log begun anew mends it") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    auto list = Mixed(40, seed);
    MemoryDisk disk;
    std::knuth_b chance(seed);
    {
      Log log(1, MakeTerms(3), disk, 1);
      CHECK(log.append(0, list));
      log.Commit(40);
      Compact(log, {1, 30, 10});
    }
    Log well(1, MakeTerms(), disk, 1);
    CHECK(!well.Lost());
    auto entries = All(well);
    Source source{well.head().cleaned, well.head().forgotten};
    std::vector<Offset> can;
    for (const Entry& e : entries)
      if (e.offset <= 30)
        can.push_back(e.offset);
    std::size_t n = 1 + chance() % 2;
    for (std::size_t k = 0; k < n; ++k)
      disk.Lose(can[(chance() % (can.size() / 2)) * 2 + k]);
    bool flips = chance() % 2 != 0;
    if (flips)
      disk.Flip(35);
    for (int start = 0; start < 3; ++start) {
      Log log(1, MakeTerms(), disk, 1);
      CHECK(log.Lost());
      auto holes = log.Holes(9);
      REQUIRE(holes.size() == (flips && start == 0 ? 2 : 1));
      for (Offset after = 0; after < 30; ++after)
        CHECK(log.Read(after, 40, 1u << 20).empty());
      CHECK(!log.Heal(list[holes.front() - 1]));
      CHECK(!log.Close(holes.front(), {40, 0}));
      if (start == 0)
        CHECK(log.append(0, {MakeEntry(41, "x", "y")}));
      if (start == 0 && flips)
        CHECK(log.append(31, {list.begin() + 30, list.end()}) == false);
      if (start == 0 && flips)
        CHECK(log.Holes(9).size() == 2);
      flips = false;
      disk.Heal(list[34]);
    }
    Log log(1, MakeTerms(), disk, 1);
    CHECK(log.Anew(entries, source));
    CHECK(!log.Lost());
    Log again(1, MakeTerms(), disk, 1);
    CHECK(!again.Lost());
    CHECK(again.Holes(9).empty());
    CHECK(All(again) == entries);
  }
}

TEST_CASE("all before a hole at the end is let go") {
  MemoryDisk disk;
  {
    Log log(1, MakeTerms(), disk, 1);
    CHECK(log.append(0, {MakeEntry(1, "a", ""), MakeEntry(2, "b", "x")}));
    log.Commit(2);
  }
  disk.Flip(2);
  Log log(1, MakeTerms(), disk, 1);
  Compact(log, {1, 1, 1});
  CHECK(log.size() == 0);
  CHECK(log.head().first == 2);
  CHECK(log.Last() == 2);
  CHECK(log.Holes(3) == std::vector<Offset>{2});
  CHECK(log.Heal(MakeEntry(2, "b", "x")));
  CHECK(Log(1, MakeTerms(), disk, 1).Latest(Stream::kRecalls, "b")->value == "x");
}

TEST_CASE("old disk, swapped disk, no room in memory or on disk, entries out of bounds") {
  MemoryDisk disk;
  LogTerms t = MakeTerms();
  t.most_bytes = 40 * 300;
  Log log(1, t, disk, 5);
  CHECK(log.append(0, Mixed(20, 3)));
  log.Commit(20);
  auto older = disk.copy();
  CHECK(log.append(0, {MakeEntry(21, "a", "b"), MakeEntry(22, "a", "c")}));
  log.Commit(22);
  bool full = false;
  while (!full) {
    Offset n = log.Last();
    std::size_t bytes = log.bytes();
    try {
      bool ok = log.append(0, {MakeEntry(n + 1, "a", "d")});
      CHECK(ok);
    } catch (const Full&) {
      full = true;
      CHECK(log.Last() == n);
      CHECK(log.bytes() == bytes);
    }
  }
  log.Commit(log.Last());
  Compact(log, {1, log.Last() - 1, 0});
  CHECK(log.append(0, {MakeEntry(log.Last() + 1, "a", "e")}));  // compaction has made room
  disk.PutBack(older);
  Log again(1, t, disk, 6);
  CHECK(again.Last() == 20);
  CHECK(again.head().store == 5);
  CHECK_THROWS_AS(Log(2, t, disk, 6), Failed);
  CHECK(!again.append(0, {MakeEntry(21, "", "x")}));
  CHECK(!again.append(0, {MakeEntry(21, std::string(kLongestKey + 1, 'k'), "x")}));
  CHECK(!again.append(0, {MakeEntry(21, "k", std::string(kLongestValue + 1, 'v'))}));
  CHECK(!again.append(0, {MakeEntry(20, "k", "x")}));
  CHECK(again.Last() == 20);
  again.witness(3, 9);
  again.witness(2, 4);
  again.witness(3, 7);
  again.Keep();
  Log third(1, t, disk, 6);
  CHECK(third.head().seen == std::vector<std::pair<Id, Offset>>{{2, 4}, {3, 9}});
  MemoryDisk small;
  small.most_bytes = 100;
  Log little(1, MakeTerms(), small, 1);
  CHECK(little.append(0, {MakeEntry(1, "k", std::string(60, 'v'))}));
  CHECK_THROWS_AS(little.append(0, {MakeEntry(2, "k", std::string(60, 'v'))}), Full);
  little.Promise(4);
  CHECK(little.head().promised == 4);
}

TEST_CASE(
    "brought up from a compacted log: gaps only where the source was cleaned, anew behind what it "
    "forgot") {
  auto list = Mixed(50, 21);
  MemoryDisk one, two;
  Log a(1, MakeTerms(), one, 1), b(2, MakeTerms(), two, 2);
  CHECK(a.append(0, list));
  a.Commit(50);
  CHECK(b.append(0, {list.begin(), list.begin() + 8}));
  b.Commit(8);
  Compact(a, {1, 45, 40});
  Source source{a.head().cleaned, a.head().forgotten};
  REQUIRE(source.forgotten > 8);
  auto rest = a.Read(8, 50, 1u << 20);
  CHECK(!b.append(0, rest));          // gaps that no source explains
  CHECK(!b.append(0, rest, source));  // a tombstone above what is here is no more
  auto whole = All(a);
  std::size_t half = whole.size() / 2;
  CHECK(b.Anew({whole.begin(), whole.begin() + static_cast<std::ptrdiff_t>(half)}, source));
  CHECK(!b.Whole());
  CHECK(b.head().committed == 0);
  Log again(2, MakeTerms(), two, 9);
  std::vector<Entry> rest2(whole.begin() + static_cast<std::ptrdiff_t>(half), whole.end());
  if (again.Last() < source.forgotten)
    CHECK(!again.append(0, rest2, {source.cleaned, source.forgotten - 1}));
  CHECK(again.append(0, rest2, source));
  again.Commit(50);
  CHECK(again.Whole());
  CHECK(again.head().store == 2);
  CHECK(again.Digest(50) == a.Digest(50));
  CHECK(again.Holes(9).empty());
}

TEST_CASE("one key written a million times; a million keys") {
  LogTerms t = MakeTerms(4096);
  t.most_bytes = std::size_t{1} << 30;
  for (bool many : {false, true}) {
    MemoryDisk disk;
    Log log(1, t, disk, 1);
    const Offset n = 1000000;
    std::size_t most = 0;
    std::vector<Entry> batch;
    for (Offset o = 1; o <= n; ++o) {
      batch.push_back(MakeEntry(o, many ? Name("k", o) : "one", "v", 0));
      if (batch.size() < 1000 && o != n)
        continue;
      REQUIRE(log.append(0, batch));
      batch.clear();
      log.Commit(o);
      if (auto plan = log.Worth(1e6, log.head().committed, 1))
        log.Take(*plan);
      while (log.Step()) {
      }
      most = std::max(most, log.bytes());
    }
    CHECK(log.Last() == n);
    CHECK(log.size() == (many ? n : 2));  // the last is never above what a plan cleans
    if (!many)
      CHECK(most < 1000 * 1000);
    CHECK(log.Latest(Stream::kRecalls, many ? "k77" : "one")->offset == (many ? 77 : n));
  }
}

TEST_CASE("the store on LMDB: as memory, through starts; flipped bytes; a full map; an old file") {
  namespace fs = std::filesystem;
  std::string folder = (fs::temp_directory_path() / "record_test.XXXXXX").string();
  REQUIRE(::mkdtemp(folder.data()) != nullptr);
  auto open = [&](const char* what, std::size_t bytes = 1 << 20) {
    return std::make_unique<dunlinwick::store::RecordLmdb>(folder + "/" + what, bytes);
  };
  auto list = Mixed(40, 4);
  MemoryDisk memory;
  Log reference(1, MakeTerms(4), memory, 8);
  {
    auto disk = open("a");
    CHECK(!disk->head());
    Log log(1, MakeTerms(4), *disk, 8);
    for (Log* l : {&log, &reference}) {
      CHECK(l->append(0, list));
      l->witness(2, 12);
      l->Promise(5);
      l->Commit(30);
      CHECK(l->append(35, {MakeEntry(35, "t", "u", 3, 2)}));
      l->Commit(35);
      Compact(*l, {1, 29, 20});
    }
    CHECK(log.head() == reference.head());
  }
  auto disk = open("a");
  CHECK(disk->head() == reference.head());
  std::vector<Entry> read;
  disk->Each([&](Offset o, const Entry* e) {
    REQUIRE(e);
    CHECK(e->offset == o);
    read.push_back(*e);
  });
  CHECK(read == All(reference));
  CHECK_THROWS_AS(Log(2, MakeTerms(), *disk, 8), Failed);
  disk.reset();
  // One byte of one value on the page: a hole at the next start, healed from another.
  const Entry* victim =
      reference.at(30) && !reference.at(30)->tombstone ? reference.at(30) : reference.at(35);
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
    Log log(1, MakeTerms(), *disk, 8);
    REQUIRE(log.Holes(9) == std::vector<Offset>{victim->offset});
    CHECK(log.Heal(*victim));
    Log again(1, MakeTerms(), *disk, 8);
    CHECK(All(again) == All(reference));
  }
  auto small = open("b", 256 << 10);
  Log log(1, MakeTerms(), *small, 1);
  bool full = false;
  for (Offset o = 1; o < 2000 && !full; ++o)
    try {
      bool ok = log.append(0, {MakeEntry(o, Name("k", o % 5), std::string(1000, 'v'))});
      CHECK(ok);
    } catch (const Full&) {
      full = true;
    }
  REQUIRE(full);
  CHECK(log.Last() > 100);
  std::size_t pages = small->PageBytes();
  log.Commit(log.Last());
  Compact(log, {1, log.Last() - 1, 0});
  CHECK(small->PageBytes() < pages / 4);
  CHECK(log.append(0, {MakeEntry(log.Last() + 1, "k", std::string(1000, 'v'))}));
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

// Two keepers fed the same list, compacted, restarted, damaged and set back at different times;
// subscribers that read from either, with messages lost, doubled, garbled and late. After every
// event each subscriber is held against the list.
class Play {
 public:
  explicit Play(Breaks breaks) {
    log_.breaks = sub_.breaks = breaks;
    log_.lag = 50;
    log_.tombstone_term = 200;
    log_.dead_share = 0.1;
    log_.entries_a_step = 3;
    log_.breaks = breaks;
    sub_.lease = 400;
    sub_.ask_every = 20;
    sub_.again = 100;
    sub_.piece_bytes = 150;
    sub_.most_subscribers = 8;
    for (int k = 0; k < 2; ++k)
      Start(k);
    for (unsigned s = 0; s < 3; ++s)
      Join(s, false);
  }
  std::string Run(const std::vector<Op>& ops) {
    for (std::size_t n = 0; n < ops.size() && wrong_.empty(); ++n)
      Act(ops[n]);
    if (wrong_.empty())
      Settle();
    return wrong_;
  }
  std::uint64_t StartOvers() const {
    return start_overs_;
  }
  std::uint64_t Refused() const {
    return refused_;
  }

 private:
  struct Keeper {
    MemoryDisk disk;
    MemoryDisk::Copy old;
    std::unique_ptr<Log> log;
    std::unique_ptr<Server> server;
    bool fed = true;
  };
  struct Follower {
    std::unique_ptr<Subscriber> sub;
    std::map<std::string, std::pair<Offset, std::string>> state;
    Offset last = 0;
    Ms away_until = 0;
  };
  struct Letter {
    unsigned who;
    Id keeper;
    std::string bytes;
  };
  void Wrong(const std::string& what) {
    if (wrong_.empty())
      wrong_ = what;
  }
  void Start(int k) {
    Keeper& kp = keepers_[k];
    kp.disk.fate = nullptr;
    kp.server.reset();
    kp.log.reset();
    kp.log = std::make_unique<Log>(k + 1, log_, kp.disk, 10 + k);
    kp.server = std::make_unique<Server>(*kp.log, sub_, now_);
    for (auto& one : asked_)
      one.second.until = 0;  // what it held of leases is gone
  }
  void Guarded(int k, const std::function<void()>& what) {
    try {
      what();
    } catch (const Failed&) {
      Start(k);
    }
  }
  void Feed(int k) {
    Keeper& kp = keepers_[k];
    if (!kp.fed)
      return;
    Guarded(k, [&] {
      Offset from = kp.log->Last();
      if (from < list_.size())
        kp.log->append(0, {list_.begin() + static_cast<std::ptrdiff_t>(from), list_.end()});
      kp.log->Commit(list_.size());
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
    ++lives_;
    f.sub = std::make_unique<Subscriber>(s + 1, lives_, std::vector<Id>{1, 2}, sub_, f.last, lives_,
                                         now_);
    asked_[s].until = 0;
  }
  Subscriber::Out out(unsigned s) {
    Subscriber::Out o;
    o.ask = [this, s](Id keeper, const Want& w) {
      if (letters_.size() < 50)
        letters_.push_back({s, keeper, Encode(w)});
    };
    o.entry = [this, s](const Entry& e) {
      Follower& f = followers_[s];
      if (e.offset <= f.last)
        Wrong("an older one after a newer one, or a double");
      if (e.offset > list_.size() || !(list_[e.offset - 1] == e))
        return Wrong("an entry that was never written so");
      f.last = e.offset;
      if (e.tombstone)
        f.state.erase(e.key);
      else
        f.state[e.key] = {e.offset, e.value};
    };
    o.start_over = [this, s] {
      followers_[s].state.clear();
      followers_[s].last = 0;
      ++start_overs_;
    };
    return o;
  }
  // Of each key the latest at or below the position, or a later one is on its way; exactly the
  // latest, once it is caught up.
  void Judge(unsigned s) {
    Follower& f = followers_[s];
    Offset p = f.sub->Position();
    if (f.last > p)
      return Wrong("position behind what was told");
    f.last = p;
    bool exact = f.sub->CaughtUp() && p >= list_.size();
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
        return Wrong(key + (i == f.state.end() ? " lacks" : " is of the past") + " at " +
                     std::to_string(p));
    }
    for (const auto& [key, one] : f.state)
      if (then.count(key) == 0)
        Wrong(key + " was never there");
  }
  void Deliver(std::size_t n, unsigned fate) {
    if (letters_.empty())
      return;
    auto at = letters_.begin() + static_cast<std::ptrdiff_t>(n % letters_.size());
    Letter l = *at;
    if (fate % 8 != 1)
      letters_.erase(at);  // 1: a second copy stays
    if (fate % 8 == 0)
      return;  // lost
    auto said = DecodeSaying(l.bytes);
    if (!said)
      return Wrong("a message of our own can't be read");
    if (const auto* w = std::get_if<Want>(&*said)) {
      asked_[l.who] = {w->after, now_ + sub_.lease};
      if (auto p = keepers_[l.keeper - 1].server->Wants(now_, *w))
        letters_.push_back({l.who, l.keeper, Encode(*p)});
      else
        asked_[l.who].until = 0;
    } else if (auto* p = std::get_if<Piece>(&*said)) {
      if (fate % 8 == 2 && !p->entries.empty())
        p->entries[0].value += "~";
      if (fate % 8 == 3)
        p->up_to += 1;
      if (fate % 16 == 4)
        p->start_over = !p->start_over;
      Follower& f = followers_[l.who];
      std::uint64_t before = f.sub->Refused();
      f.sub->Receive(now_, l.keeper, *p, out(l.who));
      refused_ += f.sub->Refused() - before;
      Judge(l.who);
    }
  }
  void plan(unsigned to) {
    Offset passed = std::min(keepers_[0].server->Passed(now_), keepers_[1].server->Passed(now_));
    auto p = keepers_[0].log->Worth(now_, passed, 1);
    if (!p)
      return;
    for (const auto& [who, one] : asked_)
      if (one.until > now_ && one.after < p->forget)
        Wrong("a tombstone goes that a living subscriber has not passed");
    for (const Entry& e : list_)
      if (e.tombstone && e.offset <= p->forget && now_ - e.at < log_.tombstone_term &&
          keepers_[0].log->at(e.offset))
        Wrong("a tombstone goes before its term");
    for (int k = 0; k < 2; ++k)
      if (to % 4 != static_cast<unsigned>(k))
        keepers_[k].log->Take(*p);
  }
  void Mend(int k) {
    Keeper& kp = keepers_[k];
    Log &log = *kp.log, &other = *keepers_[1 - k].log;
    Guarded(k, [&] {
      for (Offset h : log.Holes(100)) {
        Source source{other.head().cleaned, other.head().forgotten};
        auto others = other.Holes(1);
        if (!other.Whole() || other.head().committed < h || !others.empty())
          return;
        if (const Entry* e = other.at(h))
          log.Heal(*e);
        else if (!log.Close(h, source))
          return void((log.Anew(All(other), source), log.Commit(other.head().committed)));
      }
    });
  }
  // A few keys go while one subscriber is away past its lease, and so do their tombstones.
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
        Guarded(k, [&] {
          while (keepers_[k].log->Step()) {
          }
        });
    }
  }
  void Act(const Op& op) {
    int k = static_cast<int>(op.a % 2);
    unsigned s = op.a % 3;
    Keeper& kp = keepers_[k];
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
        Guarded(k, [&] {
          for (unsigned n = 0; n <= op.b % 4; ++n)
            kp.log->Step();
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
        kp.disk.fate = [n = 1 + op.b % 4, after = op.b % 8 >= 4, seen = 0u](std::uint64_t) mutable {
          return ++seen == n
                     ? (after ? MemoryDisk::Fate::kFailsAfter : MemoryDisk::Fate::kFailsBefore)
                     : MemoryDisk::Fate::kWell;
        };
        break;
      case 17:
        if (op.b % 4 == 0)
          Join(s, false);
        else if (op.b % 4 == 1)
          Join(s, true);
        else
          followers_[s].away_until = now_ + 3000;  // past its lease
        break;
      case 18:
        if (k == 1) {
          if (op.b % 3 == 0)
            kp.fed = !kp.fed;
          else if (op.b % 3 == 1 || !kp.old.head)
            kp.old = kp.disk.copy();
          else {
            kp.disk.PutBack(kp.old);
            Start(1);
          }
        } else if (keepers_[1].log->Holes(1).empty() && kp.log->Last() > 0) {
          kp.disk.Flip(1 + op.b % kp.log->Last());
          Start(0);
        }
        break;
      case 19:
        Mend(k);
        if (op.b % 8 == 0)
          Sweep(s, op.a % 24);
        break;
    }
  }
  void Settle() {
    for (int round = 0; round < 200 && wrong_.empty(); ++round) {
      for (int k = 0; k < 2; ++k) {
        keepers_[k].fed = true;
        Feed(k);
        Mend(k);
      }
      if (round % 100 == 3)
        plan(3);
      for (int k = 0; k < 2; ++k)
        Guarded(k, [&] { keepers_[k].log->Step(); });
      now_ += 25;
      for (unsigned s = 0; s < 3; ++s)
        followers_[s].sub->Tick(now_, out(s));
      while (!letters_.empty() && wrong_.empty())
        Deliver(0, 7);
    }
    for (unsigned s = 0; s < 3 && wrong_.empty(); ++s) {
      if (!followers_[s].sub->CaughtUp() || followers_[s].sub->Position() != list_.size())
        Wrong("not caught up in the end");
      Judge(s);
    }
    for (int k = 0; k < 2; ++k)
      if (keepers_[k].log->Holes(1).size() > 0)
        Wrong("a hole that nobody mended");
    const Log &a = *keepers_[0].log, &b = *keepers_[1].log;
    Offset forgotten = std::max(a.head().forgotten, b.head().forgotten);
    if (wrong_.empty() && a.Digest(list_.size(), forgotten) != b.Digest(list_.size(), forgotten))
      Wrong("keepers are not alike in the end");
  }

  struct Asked {
    Offset after = 0;
    Ms until = 0;
  };
  LogTerms log_;
  SubscriberTerms sub_;
  Ms now_ = 0;  // 1970
  std::vector<Entry> list_;
  Keeper keepers_[2];
  std::map<unsigned, Asked> asked_;
  Follower followers_[3];
  std::vector<Letter> letters_;
  std::uint64_t lives_ = 0;
  std::uint64_t start_overs_ = 0;
  std::uint64_t refused_ = 0;
  std::string wrong_;
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
// How many of these seeds find something wrong; the first is told.
int Found(Breaks breaks, std::uint64_t seeds, int enough = 1 << 20,
          std::uint64_t* start_overs = nullptr, std::uint64_t* refused = nullptr) {
  int n = 0;
  for (std::uint64_t seed = 1; seed <= seeds && n < enough; ++seed) {
    Play play(breaks);
    std::string what = play.Run(Drawn(seed, 600));
    if (start_overs)
      *start_overs += play.StartOvers();
    if (refused)
      *refused += play.Refused();
    if (!what.empty() && ++n == 1)
      MESSAGE("seed ", seed, ": ", what);
  }
  return n;
}

}  // namespace

TEST_CASE(
    "random runs: the subscriber's promise at every position, from two keepers, through every "
    "fault") {
  std::uint64_t start_overs = 0, refused = 0;
  CHECK(Found({}, 500, 1 << 20, &start_overs, &refused) == 0);
  CHECK(start_overs > 50);
  CHECK(refused > 1000);
  bool holds = rc::check("a plain list is the judge", [] {
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

TEST_CASE("broken variants are caught") {
  Breaks early, gap, resumed, unchecked;
  early.tombstone_early = gap.gap_after_snapshot = resumed.resumed_forgotten =
      unchecked.digest_unchecked = true;
  CHECK(Found(early, 200, 1) > 0);
  CHECK(Found(gap, 200, 1) > 0);
  CHECK(Found(resumed, 400, 1) > 0);
  CHECK(Found(unchecked, 200, 1) > 0);
}

TEST_CASE(
    "subscribers: snapshot then tail while both go on; the slow, the away, the many, and messages "
    "of others") {
  MemoryDisk disk;
  Log log(1, MakeTerms(), disk, 1);
  auto list = Mixed(60, 31);
  CHECK(log.append(0, {list.begin(), list.begin() + 40}));
  log.Commit(40);
  SubscriberTerms t;
  t.piece_bytes = 200;
  t.most_subscribers = 2;
  t.lease = 1000;
  Server server(log, t, 0);
  std::vector<Want> asked;
  std::vector<Entry> got;
  int over = 0;
  Subscriber::Out out{[&](Id, const Want& w) { asked.push_back(w); },
                      [&](const Entry& e) { got.push_back(e); },
                      [&] {
                        ++over;
                        got.clear();
                      }};
  Subscriber sub(9, 1, {1}, t, 0, 5, 0);
  sub.Tick(0, out);
  REQUIRE(asked.size() == 1);
  auto piece = server.Wants(0, asked[0]);
  REQUIRE(piece);
  CHECK(piece->snapshot == 40);
  std::size_t bytes = 0;
  for (const Entry& e : piece->entries)
    bytes += e.key.size() + e.value.size() + 40;
  CHECK(bytes <= t.piece_bytes);
  CHECK(server.Passed(1) == 0);
  CHECK(!server.Wants(1, asked[0]));  // a second copy
  sub.Receive(1, 2, *piece, out);     // from one that was not asked
  CHECK(got.empty());
  for (int n = 0; n < 5; ++n)
    sub.Tick(1, out);
  CHECK(asked.size() == 1);  // one question under way, however often it is ticked
  sub.Receive(1, 1, *piece, out);
  sub.Receive(1, 1, *piece, out);
  CHECK(got.size() == piece->entries.size());
  CHECK(asked.size() == 2);
  CHECK(server.Wants(2, Want{7, 1, 1, 0, 7, 0}));
  CHECK(!server.Wants(2, Want{8, 1, 1, 0, 7, 0}));     // full
  CHECK(server.Wants(1500, Want{8, 1, 1, 40, 7, 0}));  // both leases have run
  CHECK(server.Living(1500).positions.size() == 1);
  CHECK(!server.Wants(1501, Want{8, 0, 9, 0, 7, 0}));  // of an earlier life
  // More is written, and compacted, before it goes on: the tail follows the snapshot.
  CHECK(log.append(0, {list.begin() + 40, list.end()}));
  log.Commit(60);
  Compact(log, {1, 30, 0});
  CHECK(!sub.CaughtUp());
  for (int n = 0; n < 60 && !sub.CaughtUp(); ++n)
    if (auto p = server.Wants(2000, asked.back())) {
      if (p->after < 40)
        CHECK(p->up_to <= 40);
      sub.Receive(2000, 1, *p, out);
    }
  REQUIRE(sub.CaughtUp());
  CHECK(sub.Position() == 60);
  CHECK(sub.GoodAt() == 2000);
  // Away while all goes: started over, never resumed; and one that begins after that is not.
  Compact(log, {1, 59, 59});
  REQUIRE(log.head().forgotten > 5);
  Subscriber old(10, 1, {1}, t, 5, 5, 3000);
  old.Tick(3000, out);
  for (int n = 0; n < 60 && !old.CaughtUp(); ++n)
    if (auto p = server.Wants(3000, asked.back()))
      old.Receive(3000, 1, *p, out);
  CHECK(over == 1);
  CHECK(old.CaughtUp());
  CHECK(got == All(log));
  // One stream only.
  auto one = server.Wants(9000, Want{30, 1, 1, 0, 2, 0});
  REQUIRE(one);
  for (const Entry& e : one->entries)
    CHECK(e.stream == Stream::kRules);
  // Bytes of anybody: read whole, or not at all.
  std::knuth_b chance(3);
  std::string whole = Encode(*one);
  CHECK(DecodeSaying(whole));
  CHECK(std::get<Lease>(*DecodeSaying(Encode(Lease{{{4, 5}}}))).positions.size() == 1);
  for (int n = 0; n < 20000; ++n) {
    std::string bad = whole;
    for (int k = 0; k < 3; ++k)
      bad[chance() % bad.size()] = static_cast<char>(chance());
    if (n % 3 == 0)
      bad.resize(chance() % bad.size());
    auto said = DecodeSaying(bad);
    if (!said || !std::holds_alternative<Piece>(*said))
      continue;
    Piece p = std::get<Piece>(*said);
    if (Encode(p) != whole)
      CHECK(Digest(p) != p.digest);
  }
}
