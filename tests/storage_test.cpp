// Folders that last, on real files: a file-size limit makes writes fail in a child process, files
// cut short by a full disk, and stores that an older version wrote. Floors on a disk that fails, by
// plan, at every call in turn.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>

#include "record/replica.hpp"
#include "store/lasting_floors.hpp"
#include "store/lmdb.hpp"
#include "store/record_lmdb.hpp"

using namespace dunlinwick;
namespace fs = std::filesystem;
using store::FloorDisk;
using store::KeptFloors;

namespace {

class Folder {
 public:
  Folder() : path_((fs::temp_directory_path() / "storage_test.XXXXXX").string()) {
    REQUIRE(::mkdtemp(path_.data()) != nullptr);
  }
  ~Folder() {
    fs::remove_all(path_);
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  std::string at(const std::string& name) const {
    return path_ + "/" + name;
  }

 private:
  std::string path_;
};

// From here on a write past `bytes` of any file fails with EFBIG, as on a disk that is full;
// nothing else does.
void LimitFiles(rlim_t bytes) {
  ::signal(SIGXFSZ, SIG_IGN);
  rlimit limit{};
  ::getrlimit(RLIMIT_FSIZE, &limit);
  limit.rlim_cur = bytes == RLIM_INFINITY ? limit.rlim_max : bytes;
  ::setrlimit(RLIMIT_FSIZE, &limit);
}

// Runs `body` in a child of its own, so that the limit is only there. It returns the line of the
// first check that failed, or 0.
int InChild(const std::function<int()>& body) {
  std::fflush(nullptr);
  pid_t child = ::fork();
  REQUIRE(child >= 0);
  if (child == 0) {
    int line = -1;
    try {
      line = body();
    } catch (const std::exception& fault) {
      std::fprintf(stderr, "threw: %s\n", fault.what());
    }
    std::fprintf(stderr, "child: check at line %d (0: all held)\n", line);
    ::_exit(line == 0 ? 0 : 1);
  }
  int status = 0;
  REQUIRE(::waitpid(child, &status, 0) == child);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}
#define HOLDS(what) \
  if (!(what))      \
  return __LINE__

constexpr rlim_t kSmallLimit = 64 << 10;
constexpr rlim_t kReplicaLimit = 256 << 10;
// Values of one page are refused whole (no room); of several pages a write is cut short, which LMDB
// tells as an I/O error.
constexpr std::size_t kValueOfOnePage = 2000;
constexpr std::size_t kValueOfPages = 10000;
constexpr int kMostTries = 10000;

bool Fails(const std::function<void()>& call) {
  try {
    call();
    return false;
  } catch (const std::runtime_error&) {
    return true;
  }
}

// A replica of one, with its writer, in virtual time.
struct Alone {
  std::deque<std::pair<record::Id, record::Message>> wire;
  record::Ms now = 1e6;
  std::unique_ptr<record::Replica> replica;
  std::unique_ptr<record::Writer> writer;
  std::set<record::Offset> acknowledged;
  std::uint64_t written = 0;

  std::vector<std::string> lines;
  std::size_t value_bytes;

  Alone(const std::string& folder, std::size_t bytes) : value_bytes(bytes) {
    auto open_disk = [folder]() -> std::unique_ptr<record::Disk> {
      return std::make_unique<store::RecordLmdb>(folder);
    };
    replica = std::make_unique<record::Replica>(
        1, std::vector<record::Id>{1}, record::ReplicaTerms{}, open_disk, 5, now,
        [this](const std::string& line) { lines.push_back(line); });
    writer = std::make_unique<record::Writer>(1, std::vector<record::Id>{1}, record::KeeperTerms{},
                                              record::LogTerms{}, 1000, now);
  }
  record::Send Send() {
    return [this](record::Id to, const record::Message& message) {
      wire.emplace_back(to, message);
    };
  }
  void Step() {
    constexpr record::Ms kTick = 20;
    now += kTick;
    writer->Tick(now, Send());
    replica->Tick(now, Send());
    if (writer->phase() == record::Phase::kServing) {
      record::Writer::Put put;
      put.key = "object/" + std::to_string(++written);
      put.value = std::string(value_bytes, 'v');
      writer->Write(
          now, {put},
          [this](record::Writer::Outcome outcome, record::Offset first) {
            if (outcome == record::Writer::Outcome::kAcknowledged)
              acknowledged.insert(first);
          },
          Send());
    }
    while (!wire.empty()) {
      record::Message message = std::move(wire.front().second);
      wire.pop_front();
      bool is_answer = std::holds_alternative<record::Tail>(message) ||
                       std::holds_alternative<record::Kept>(message) ||
                       std::holds_alternative<record::Fetched>(message);
      if (is_answer)
        writer->Receive(now, 1, message, Send());
      else
        replica->Receive(now, 1, message, Send());
    }
  }
};

}  // namespace

TEST_CASE(
    "an owner's store on a file that can't grow keeps what it took, takes nothing more, and goes "
    "on once "
    "there is room") {
  Folder folder;
  int result = InChild([&] {
    std::vector<std::string> taken;
    auto open = [&] {
      return std::make_unique<store::LmdbStore>(folder.at("owner"));
    };
    auto entry = [](std::size_t n) {
      return owner::LogEntry{1, 1, std::string(900, 'a') + std::to_string(n)};
    };
    auto disk = open();
    LimitFiles(kSmallLimit);
    while (taken.size() < kMostTries && !Fails([&] { disk->Append({entry(taken.size())}); }))
      taken.push_back(entry(taken.size()).bytes);
    HOLDS(taken.size() > 5);
    HOLDS(taken.size() < kMostTries);
    auto holds_all = [&](owner::StoredState state) {
      if (state.entries.size() != taken.size())
        return false;
      for (std::size_t i = 0; i < taken.size(); ++i)
        if (state.entries[i].bytes != taken[i])
          return false;
      return true;
    };
    HOLDS(holds_all(disk->load()));
    LimitFiles(RLIM_INFINITY);
    disk.reset();
    disk = open();
    HOLDS(holds_all(disk->load()));
    disk->Append({entry(taken.size())});
    taken.push_back(entry(taken.size()).bytes);
    disk->Truncate(taken.size());
    taken.pop_back();
    disk.reset();
    HOLDS(holds_all(open()->load()));
    return 0;
  });
  CHECK(result == 0);
}

TEST_CASE(
    "a replica on a file that can't grow acknowledges no more, and by itself again once there is "
    "room; "
    "nothing acknowledged is lost") {
  for (std::size_t valueBytes : {kValueOfOnePage, kValueOfPages}) {
    CAPTURE(valueBytes);
    Folder folder;
    int result = InChild([&] {
      std::set<record::Offset> acknowledged;
      {
        Alone alone(folder.at("record"), valueBytes);
        constexpr int kSteps = 400;
        for (int i = 0; i < 10; ++i)
          alone.Step();
        HOLDS(!alone.acknowledged.empty());
        LimitFiles(kReplicaLimit);
        for (int i = 0; i < kSteps; ++i)
          alone.Step();
        std::size_t before = alone.acknowledged.size();
        for (int i = 0; i < kSteps; ++i)
          alone.Step();
        HOLDS(alone.acknowledged.size() == before);
        LimitFiles(RLIM_INFINITY);
        for (int i = 0; i < kMostTries && alone.acknowledged.size() < before + 20; ++i)
          alone.Step();
        HOLDS(alone.acknowledged.size() >= before + 20);
        HOLDS(alone.replica->IsOpen());
        HOLDS(alone.lines.empty() == (valueBytes == kValueOfOnePage));
        HOLDS(alone.lines.empty() || alone.lines.back() == "record store used again");
        acknowledged = alone.acknowledged;
      }
      store::RecordLmdb disk(folder.at("record"));
      record::Log log(1, {}, disk, 5);
      for (record::Offset offset : acknowledged)
        HOLDS(log.at(offset) != nullptr);
      HOLDS(log.Holes(1).empty());
      return 0;
    });
    CHECK(result == 0);
  }
}

TEST_CASE(
    "floors on a file that can't grow say so, keep what was written, and are kept again once there "
    "is room") {
  Folder folder;
  int result = InChild([&] {
    auto open_disk = [&]() -> std::unique_ptr<FloorDisk> {
      return std::make_unique<store::FloorStore>(folder.at("floors"));
    };
    std::vector<std::string> lines;
    store::LastingFloors floors(open_disk, [&](const std::string& line) { lines.push_back(line); });
    KeptFloors found;
    HOLDS(floors.Start(0, 3, found) == FloorDisk::Found::kEmpty);
    KeptFloors wanted;
    wanted.whose = 3;
    constexpr rlim_t kTight = 20 << 10;
    LimitFiles(kTight);
    store::Ms now = 0;
    KeptFloors last;
    constexpr std::uint32_t kMostWitnessed = 1000;
    for (std::uint32_t id = 1; id <= kMostWitnessed; ++id) {
      wanted.witnessed[id] = 1764629600000 + id;
      floors.Keep(now += 20, wanted);
      if (!floors.IsKept())
        break;
      last = wanted;
    }
    HOLDS(!floors.IsKept());
    HOLDS(lines.size() == 1);
    HOLDS(floors.Lasting() == last);
    LimitFiles(RLIM_INFINITY);
    for (int i = 0; i < kMostTries && !floors.IsKept(); ++i)
      floors.Keep(now += 20, wanted);
    HOLDS(floors.IsKept());
    HOLDS(floors.Lasting() == wanted);
    HOLDS(lines.back() == "recovery floors kept again");
    return 0;
  });
  CHECK(result == 0);
}

TEST_CASE("a folder that is begun on a full disk can be used once there is room") {
  for (const char* kind : {"owner", "record", "floors"})
    for (rlim_t limit : {rlim_t{0}, rlim_t{1000}, rlim_t{4096}, rlim_t{6000}, rlim_t{8192}}) {
      CAPTURE(kind);
      CAPTURE(limit);
      Folder folder;
      int result = InChild([&] {
        auto use = [&] {
          std::string at = folder.at(kind);
          if (kind == std::string("owner"))
            store::LmdbStore(at).SetTerm(4);
          if (kind == std::string("record"))
            store::RecordLmdb(at).Write(record::Head{});
          if (kind == std::string("floors"))
            store::FloorStore(at).Write(KeptFloors{});
        };
        LimitFiles(limit);
        HOLDS(Fails(use));
        HOLDS(Fails(use));
        LimitFiles(RLIM_INFINITY);
        HOLDS(!Fails(use));
        if (kind == std::string("owner"))
          HOLDS(store::LmdbStore(folder.at(kind)).load().term == 4);
        return 0;
      });
      CHECK(result == 0);
    }
}

TEST_CASE("a file that a full disk cut short within LMDB's two head pages is begun anew") {
  for (const char* kind : {"owner", "record", "floors"})
    for (std::uintmax_t bytes : {1, 1000, 4096, 8191}) {
      CAPTURE(kind);
      CAPTURE(bytes);
      Folder folder;
      fs::create_directory(folder.at(kind));
      fs::copy_file(std::string(DATA) + "/stores-cd3eb2b/" + kind + "/data.mdb",
                    folder.at(kind) + "/data.mdb");
      fs::resize_file(folder.at(kind) + "/data.mdb", bytes);
      if (kind == std::string("owner"))
        CHECK(store::LmdbStore(folder.at(kind)).load().term == 0);
      if (kind == std::string("record"))
        CHECK_FALSE(store::RecordLmdb(folder.at(kind)).head());
      KeptFloors found;
      if (kind == std::string("floors"))
        CHECK(store::FloorStore(folder.at(kind)).Read(found) == FloorDisk::Found::kEmpty);
    }
}

TEST_CASE("stores that the version cd3eb2b wrote are read, and written on") {
  Folder folder;
  for (const char* kind : {"owner", "record", "floors"}) {
    fs::create_directory(folder.at(kind));
    fs::copy_file(std::string(DATA) + "/stores-cd3eb2b/" + kind + "/data.mdb",
                  folder.at(kind) + "/data.mdb");
  }
  for (int opening = 0; opening < 2; ++opening) {
    store::LmdbStore owned(folder.at("owner"));
    owner::StoredState state = owned.load();
    CHECK(state.term == 7);
    CHECK(state.vote == 2);
    CHECK(state.bootstrap.size() == 13);
    CHECK(state.first == 3);
    REQUIRE(state.entries.size() == static_cast<std::size_t>(2 + opening));
    CHECK(state.entries[0].bytes == "second");
    CHECK(state.entries[1].bytes == "third");
    CHECK(state.entries[1].term == 7);
    REQUIRE(state.snapshot);
    CHECK(state.snapshot->index == 3);
    CHECK(state.snapshot->data == "table");
    owned.Append({{8, 1, "new"}});
  }
  for (int opening = 0; opening < 2; ++opening) {
    store::RecordLmdb disk(folder.at("record"), 1 << 20);
    record::Log log(2, {}, disk, 1);
    CHECK(log.head().store == 4242);
    CHECK(log.head().starts == static_cast<std::uint64_t>(2 + opening));
    CHECK(log.head().promised == 12);
    CHECK(log.head().committed == 5);
    CHECK(log.Holes(1).empty());
    REQUIRE(log.size() == static_cast<std::size_t>(6 + opening));
    CHECK(log.at(4)->value == "value 4");
    CHECK(log.at(5)->tombstone);
    CHECK(log.TokenAt(6) == 11);
    record::Entry more = *log.at(6);
    more.offset = log.Last() + 1;
    CHECK(log.append(0, {more}));
  }
  KeptFloors expected;
  expected.whose = 3;
  expected.token = 1140001;
  expected.offset = 41;
  expected.incarnation = 1764629612345;
  expected.rules_digest = 0xfeedbeef;
  expected.rules_version = 9;
  expected.witnessed = {{1, 1764629600001}, {2, 1764629600002}};
  for (int opening = 0; opening < 2; ++opening) {
    store::FloorStore floors(folder.at("floors"));
    KeptFloors found;
    REQUIRE(floors.Read(found) == FloorDisk::Found::kGood);
    CHECK(found == expected);
    expected.offset = 42;
    floors.Write(expected);
  }
}

namespace {

enum class Fate {
  kWorks,
  kFailsBefore,
  kFailsAfter
};

// What is on a floor disk; it outlives its openings.
struct PlannedFloors {
  std::optional<KeptFloors> kept;
  std::uint64_t calls = 0;
  std::function<Fate(std::uint64_t call)> fate;
  int open = 0;
  int most_open = 0;

  void Call(const std::function<void()>& change) {
    ++calls;
    Fate now = fate ? fate(calls) : Fate::kWorks;
    if (now == Fate::kFailsBefore)
      throw std::runtime_error("no space left on device");
    change();
    if (now == Fate::kFailsAfter)
      throw std::runtime_error("input/output error");
  }
};

class PlannedFloorDisk final : public FloorDisk {
 public:
  explicit PlannedFloorDisk(PlannedFloors& disk) : disk_(disk) {
    disk_.Call([] {});
    disk_.most_open = std::max(disk_.most_open, ++disk_.open);
  }
  ~PlannedFloorDisk() override {
    --disk_.open;
  }
  Found Read(KeptFloors& into) override {
    disk_.Call([&] { into = disk_.kept.value_or(KeptFloors{}); });
    return disk_.kept ? Found::kGood : Found::kEmpty;
  }
  void Write(const KeptFloors& floors) override {
    disk_.Call([&] { disk_.kept = floors; });
  }

 private:
  PlannedFloors& disk_;
};

KeptFloors FloorsAt(std::uint64_t offset) {
  KeptFloors floors;
  floors.whose = 3;
  floors.offset = offset;
  floors.token = 2 * offset;
  floors.incarnation = 100;
  floors.witnessed = {{1, offset}};
  return floors;
}

constexpr std::uint64_t kLifeBegins = 100;

}  // namespace

TEST_CASE(
    "floors on a disk that fails at any call for a while are told only once they last, never fall, "
    "and are "
    "kept again") {
  constexpr store::Ms kFailingFor = 3000;
  constexpr std::uint64_t kCalls = 12;
  for (bool isKilled : {false, true})
    for (Fate fate : {Fate::kFailsBefore, Fate::kFailsAfter})
      for (std::uint64_t call = 1; call <= kCalls; ++call) {
        CAPTURE(isKilled);
        CAPTURE(static_cast<int>(fate));
        CAPTURE(call);
        PlannedFloors disk;
        disk.kept = FloorsAt(50);
        store::Ms now = 0;
        store::Ms fails_until = -1;
        disk.fate = [&](std::uint64_t number) {
          if (number == call)
            fails_until = now + kFailingFor;
          return now < fails_until ? fate : Fate::kWorks;
        };
        std::size_t lines = 0;
        auto open_disk = [&]() -> std::unique_ptr<FloorDisk> {
          return std::make_unique<PlannedFloorDisk>(disk);
        };
        auto say = [&](const std::string&) {
          ++lines;
        };
        auto floors = std::make_unique<store::LastingFloors>(open_disk, say);
        KeptFloors found;
        floors->Start(now, 3, found);
        std::uint64_t offset = std::max<std::uint64_t>(found.offset, 1);
        std::uint64_t lowest = 50;
        for (; now < 30000; now += 100) {
          if (isKilled && fails_until > 0 && now >= fails_until) {
            // The process ends while the disk fails; the next one begins once it works.
            floors = std::make_unique<store::LastingFloors>(open_disk, say);
            floors->Start(now, 3, found);
            offset = std::max(offset, found.offset);
            isKilled = false;
          }
          if (offset < kLifeBegins)
            ++offset;
          floors->Keep(now, FloorsAt(offset));
          CHECK(disk.kept->offset >= lowest);
          lowest = std::max(lowest, disk.kept->offset);
          if (floors->IsKept())
            CHECK(floors->Lasting() == *disk.kept);
          std::uint64_t notified =
              floors->Lasting().witnessed.count(1) ? floors->Lasting().witnessed.at(1) : 0;
          CHECK(notified <= disk.kept->witnessed.at(1));
        }
        REQUIRE(fails_until > 0);
        CHECK(floors->IsKept());
        CHECK(*disk.kept == FloorsAt(kLifeBegins));
        CHECK(disk.most_open == 1);
        CHECK(lines <= 3);
      }
}

TEST_CASE("another front's floors are not told as this one's, nor do they raise it") {
  PlannedFloors disk;
  disk.kept = FloorsAt(500);
  disk.kept->whose = 8;
  bool down = false;
  disk.fate = [&](std::uint64_t) {
    return down ? Fate::kFailsBefore : Fate::kWorks;
  };
  store::LastingFloors floors(
      [&]() -> std::unique_ptr<FloorDisk> { return std::make_unique<PlannedFloorDisk>(disk); },
      [](const std::string&) {});
  KeptFloors found;
  CHECK(floors.Start(0, 3, found) == FloorDisk::Found::kGood);
  CHECK(found.whose == 8);
  down = true;
  floors.Keep(0, FloorsAt(7));
  CHECK(floors.Lasting().witnessed.empty());
  down = false;
  constexpr store::Ms kLater = 60000;
  floors.Keep(kLater, FloorsAt(7));
  CHECK(*disk.kept == FloorsAt(7));
}
