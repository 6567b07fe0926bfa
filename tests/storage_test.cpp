// Durable storage on real files: writes that fail because of a file-size limit (in a child
// process), files cut short by a full disk, and files written by an older version. Persisted
// minimums on a disk that fails at each of its calls in turn.
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
using store::MinimumsStorage;
using store::PersistedMinimums;

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

// From here on a write beyond `bytes` of any file fails with EFBIG, as on a full disk; nothing else
// fails.
void LimitFiles(rlim_t bytes) {
  ::signal(SIGXFSZ, SIG_IGN);
  rlimit limit{};
  ::getrlimit(RLIMIT_FSIZE, &limit);
  limit.rlim_cur = bytes == RLIM_INFINITY ? limit.rlim_max : bytes;
  ::setrlimit(RLIMIT_FSIZE, &limit);
}

// Runs `body` in a child process, so that the limit applies only there. `body` returns the line of
// the first check that failed, or 0.
int InChild(const std::function<int()>& body) {
  std::fflush(nullptr);
  pid_t child = ::fork();
  REQUIRE(child >= 0);
  if (child == 0) {
    int line = -1;
    try {
      line = body();
    } catch (const std::exception& error) {
      std::fprintf(stderr, "exception: %s\n", error.what());
    }
    std::fprintf(stderr, "child: failed check at line %d (0: none)\n", line);
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
// A value of one page is rejected as a whole (no space); a value of several pages is cut short,
// which LMDB reports as an I/O error.
constexpr std::size_t kValueOfOnePage = 2000;
constexpr std::size_t kValueOfPages = 10000;
constexpr int kMaxAttempts = 10000;

bool Fails(const std::function<void()>& call) {
  try {
    call();
    return false;
  } catch (const std::runtime_error&) {
    return true;
  }
}

// A single log replica with its leader writer, in virtual time.
struct SingleReplica {
  std::deque<std::pair<record::Id, record::Message>> wire;
  record::Ms now = 1e6;
  std::unique_ptr<record::ReplicaHost> replica;
  std::unique_ptr<record::LeaderWriter> writer;
  std::set<record::Offset> acknowledged;
  std::uint64_t written = 0;

  std::vector<std::string> lines;
  std::size_t value_bytes;

  SingleReplica(const std::string& folder, std::size_t bytes) : value_bytes(bytes) {
    auto open_storage = [folder]() -> std::unique_ptr<record::LogStorage> {
      return std::make_unique<store::LmdbLogStorage>(folder);
    };
    replica = std::make_unique<record::ReplicaHost>(
        1, std::vector<record::Id>{1}, record::ReplicaHostSettings{}, open_storage, 5, now,
        [this](const std::string& line) { lines.push_back(line); });
    writer = std::make_unique<record::LeaderWriter>(1, std::vector<record::Id>{1},
                                                    record::LogReplicaSettings{},
                                                    record::LogSettings{}, 1000, now);
  }
  record::SendMessage Send() {
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
      record::LeaderWriter::Put put;
      put.key = "object/" + std::to_string(++written);
      put.value = std::string(value_bytes, 'v');
      writer->Write(
          now, {put},
          [this](record::LeaderWriter::Outcome outcome, record::Offset first) {
            if (outcome == record::LeaderWriter::Outcome::kAcknowledged)
              acknowledged.insert(first);
          },
          Send());
    }
    while (!wire.empty()) {
      record::Message message = std::move(wire.front().second);
      wire.pop_front();
      bool is_response = std::holds_alternative<record::PrepareResponse>(message) ||
                         std::holds_alternative<record::AppendResponse>(message) ||
                         std::holds_alternative<record::FetchResponse>(message);
      if (is_response)
        writer->Receive(now, 1, message, Send());
      else
        replica->Receive(now, 1, message, Send());
    }
  }
};

}  // namespace

TEST_CASE(
    "a lease group's store on a file that cannot grow keeps what it stored, rejects more, and "
    "continues once there is space") {
  Folder folder;
  int result = InChild([&] {
    std::vector<std::string> taken;
    auto open = [&] {
      return std::make_unique<store::LmdbOwnerStore>(folder.at("owner"));
    };
    auto entry = [](std::size_t n) {
      return owner::LogEntry{1, 1, std::string(900, 'a') + std::to_string(n)};
    };
    auto disk = open();
    LimitFiles(kSmallLimit);
    while (taken.size() < kMaxAttempts && !Fails([&] { disk->Append({entry(taken.size())}); }))
      taken.push_back(entry(taken.size()).bytes);
    HOLDS(taken.size() > 5);
    HOLDS(taken.size() < kMaxAttempts);
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
    "a log replica on a file that cannot grow acknowledges nothing, resumes by itself once there "
    "is "
    "space, and loses nothing acknowledged") {
  for (std::size_t value_bytes : {kValueOfOnePage, kValueOfPages}) {
    CAPTURE(value_bytes);
    Folder folder;
    int result = InChild([&] {
      std::set<record::Offset> acknowledged;
      {
        SingleReplica single(folder.at("record"), value_bytes);
        constexpr int kSteps = 400;
        for (int i = 0; i < 10; ++i)
          single.Step();
        HOLDS(!single.acknowledged.empty());
        LimitFiles(kReplicaLimit);
        for (int i = 0; i < kSteps; ++i)
          single.Step();
        std::size_t before = single.acknowledged.size();
        for (int i = 0; i < kSteps; ++i)
          single.Step();
        HOLDS(single.acknowledged.size() == before);
        LimitFiles(RLIM_INFINITY);
        for (int i = 0; i < kMaxAttempts && single.acknowledged.size() < before + 20; ++i)
          single.Step();
        HOLDS(single.acknowledged.size() >= before + 20);
        HOLDS(single.replica->IsOpen());
        HOLDS(single.lines.empty() == (value_bytes == kValueOfOnePage));
        HOLDS(single.lines.empty() || single.lines.back() == "record store used again");
        acknowledged = single.acknowledged;
      }
      store::LmdbLogStorage disk(folder.at("record"));
      record::Log log(1, {}, disk, 5);
      for (record::Offset offset : acknowledged)
        HOLDS(log.Find(offset) != nullptr);
      HOLDS(log.Gaps(1).empty());
      return 0;
    });
    CHECK(result == 0);
  }
}

TEST_CASE(
    "minimums on a file that cannot grow: the failure is logged, what was written is kept, and "
    "writing resumes once there is space") {
  Folder folder;
  int result = InChild([&] {
    auto open_storage = [&]() -> std::unique_ptr<MinimumsStorage> {
      return std::make_unique<store::LmdbMinimumsStorage>(folder.at("floors"));
    };
    std::vector<std::string> lines;
    store::DurableMinimums minimums(open_storage,
                                    [&](const std::string& line) { lines.push_back(line); });
    PersistedMinimums found;
    HOLDS(minimums.Load(0, 3, found) == MinimumsStorage::ReadResult::kEmpty);
    PersistedMinimums wanted;
    wanted.front_id = 3;
    constexpr rlim_t kTight = 20 << 10;
    LimitFiles(kTight);
    store::Ms now = 0;
    PersistedMinimums last;
    constexpr std::uint32_t kMaxWitnessed = 1000;
    for (std::uint32_t id = 1; id <= kMaxWitnessed; ++id) {
      wanted.witnessed_incarnations[id] = 1764629600000 + id;
      minimums.Persist(now += 20, wanted);
      if (!minimums.IsPersisted())
        break;
      last = wanted;
    }
    HOLDS(!minimums.IsPersisted());
    HOLDS(lines.size() == 1);
    HOLDS(minimums.persisted() == last);
    LimitFiles(RLIM_INFINITY);
    for (int i = 0; i < kMaxAttempts && !minimums.IsPersisted(); ++i)
      minimums.Persist(now += 20, wanted);
    HOLDS(minimums.IsPersisted());
    HOLDS(minimums.persisted() == wanted);
    HOLDS(lines.back() == "recovery minimums persisted again");
    return 0;
  });
  CHECK(result == 0);
}

TEST_CASE("a folder that is created on a full disk can be used once there is space") {
  for (const char* kind : {"owner", "record", "floors"})
    for (rlim_t limit : {rlim_t{0}, rlim_t{1000}, rlim_t{4096}, rlim_t{6000}, rlim_t{8192}}) {
      CAPTURE(kind);
      CAPTURE(limit);
      Folder folder;
      int result = InChild([&] {
        auto use = [&] {
          std::string at = folder.at(kind);
          if (kind == std::string("owner"))
            store::LmdbOwnerStore(at).SetTerm(4);
          if (kind == std::string("record"))
            store::LmdbLogStorage(at).WriteMetadata(record::LogMetadata{});
          if (kind == std::string("floors"))
            store::LmdbMinimumsStorage(at).Write(PersistedMinimums{});
        };
        LimitFiles(limit);
        HOLDS(Fails(use));
        HOLDS(Fails(use));
        LimitFiles(RLIM_INFINITY);
        HOLDS(!Fails(use));
        if (kind == std::string("owner"))
          HOLDS(store::LmdbOwnerStore(folder.at(kind)).load().term == 4);
        return 0;
      });
      CHECK(result == 0);
    }
}

TEST_CASE("a file that a full disk cut short within LMDB's two meta pages is created again") {
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
        CHECK(store::LmdbOwnerStore(folder.at(kind)).load().term == 0);
      if (kind == std::string("record"))
        CHECK_FALSE(store::LmdbLogStorage(folder.at(kind)).metadata());
      PersistedMinimums found;
      if (kind == std::string("floors"))
        CHECK(store::LmdbMinimumsStorage(folder.at(kind)).Read(found) ==
              MinimumsStorage::ReadResult::kEmpty);
    }
}

TEST_CASE("files that version cd3eb2b wrote can be read and written") {
  Folder folder;
  for (const char* kind : {"owner", "record", "floors"}) {
    fs::create_directory(folder.at(kind));
    fs::copy_file(std::string(DATA) + "/stores-cd3eb2b/" + kind + "/data.mdb",
                  folder.at(kind) + "/data.mdb");
  }
  for (int opening = 0; opening < 2; ++opening) {
    store::LmdbOwnerStore owned(folder.at("owner"));
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
    store::LmdbLogStorage disk(folder.at("record"), 1 << 20);
    record::Log log(2, {}, disk, 1);
    CHECK(log.metadata().store_id == 4242);
    CHECK(log.metadata().start_count == static_cast<std::uint64_t>(2 + opening));
    CHECK(log.metadata().promised_token == 12);
    CHECK(log.metadata().committed == 5);
    CHECK(log.Gaps(1).empty());
    REQUIRE(log.size() == static_cast<std::size_t>(6 + opening));
    CHECK(log.Find(4)->value == "value 4");
    CHECK(log.Find(5)->tombstone);
    CHECK(log.TokenAt(6) == 11);
    record::Entry more = *log.Find(6);
    more.offset = log.LastOffset() + 1;
    CHECK(log.AppendEntries(0, {more}));
  }
  PersistedMinimums expected;
  expected.front_id = 3;
  expected.token = 1140001;
  expected.offset = 41;
  expected.incarnation = 1764629612345;
  expected.rules_digest = 0xfeedbeef;
  expected.rules_version = 9;
  expected.witnessed_incarnations = {{1, 1764629600001}, {2, 1764629600002}};
  for (int opening = 0; opening < 2; ++opening) {
    store::LmdbMinimumsStorage minimums(folder.at("floors"));
    PersistedMinimums found;
    REQUIRE(minimums.Read(found) == MinimumsStorage::ReadResult::kValid);
    CHECK(found == expected);
    expected.offset = 42;
    minimums.Write(expected);
  }
}

namespace {

enum class WriteFault {
  kNone,
  kFailBefore,
  kFailAfter
};

// The stored minimums, with injected faults; they outlive the objects that open them.
struct StoredMinimums {
  std::optional<PersistedMinimums> kept;
  std::uint64_t calls = 0;
  std::function<WriteFault(std::uint64_t call)> write_fault;
  int open = 0;
  int max_open = 0;

  void Call(const std::function<void()>& change) {
    ++calls;
    WriteFault now = write_fault ? write_fault(calls) : WriteFault::kNone;
    if (now == WriteFault::kFailBefore)
      throw std::runtime_error("no space left on device");
    change();
    if (now == WriteFault::kFailAfter)
      throw std::runtime_error("input/output error");
  }
};

class FailingMinimumsStorage final : public MinimumsStorage {
 public:
  explicit FailingMinimumsStorage(StoredMinimums& disk) : disk_(disk) {
    disk_.Call([] {});
    disk_.max_open = std::max(disk_.max_open, ++disk_.open);
  }
  ~FailingMinimumsStorage() override {
    --disk_.open;
  }
  ReadResult Read(PersistedMinimums& into) override {
    disk_.Call([&] { into = disk_.kept.value_or(PersistedMinimums{}); });
    return disk_.kept ? ReadResult::kValid : ReadResult::kEmpty;
  }
  void Write(const PersistedMinimums& minimums) override {
    disk_.Call([&] { disk_.kept = minimums; });
  }

 private:
  StoredMinimums& disk_;
};

PersistedMinimums MinimumsAt(std::uint64_t offset) {
  PersistedMinimums minimums;
  minimums.front_id = 3;
  minimums.offset = offset;
  minimums.token = 2 * offset;
  minimums.incarnation = 100;
  minimums.witnessed_incarnations = {{1, offset}};
  return minimums;
}

constexpr std::uint64_t kFinalOffset = 100;

}  // namespace

TEST_CASE(
    "minimums on a disk that fails for a while at any call are reported only once durable, never "
    "decrease, and are persisted again") {
  constexpr store::Ms kFailingFor = 3000;
  constexpr std::uint64_t kCalls = 12;
  for (bool is_killed : {false, true})
    for (WriteFault write_fault : {WriteFault::kFailBefore, WriteFault::kFailAfter})
      for (std::uint64_t call = 1; call <= kCalls; ++call) {
        CAPTURE(is_killed);
        CAPTURE(static_cast<int>(write_fault));
        CAPTURE(call);
        StoredMinimums disk;
        disk.kept = MinimumsAt(50);
        store::Ms now = 0;
        store::Ms fails_until = -1;
        disk.write_fault = [&](std::uint64_t number) {
          if (number == call)
            fails_until = now + kFailingFor;
          return now < fails_until ? write_fault : WriteFault::kNone;
        };
        std::size_t lines = 0;
        auto open_storage = [&]() -> std::unique_ptr<MinimumsStorage> {
          return std::make_unique<FailingMinimumsStorage>(disk);
        };
        auto log_line = [&](const std::string&) {
          ++lines;
        };
        auto minimums = std::make_unique<store::DurableMinimums>(open_storage, log_line);
        PersistedMinimums found;
        minimums->Load(now, 3, found);
        std::uint64_t offset = std::max<std::uint64_t>(found.offset, 1);
        std::uint64_t lowest = 50;
        for (; now < 30000; now += 100) {
          if (is_killed && fails_until > 0 && now >= fails_until) {
            // The process ends while the disk fails; the next one starts once it works.
            minimums = std::make_unique<store::DurableMinimums>(open_storage, log_line);
            minimums->Load(now, 3, found);
            offset = std::max(offset, found.offset);
            is_killed = false;
          }
          if (offset < kFinalOffset)
            ++offset;
          minimums->Persist(now, MinimumsAt(offset));
          CHECK(disk.kept->offset >= lowest);
          lowest = std::max(lowest, disk.kept->offset);
          if (minimums->IsPersisted())
            CHECK(minimums->persisted() == *disk.kept);
          std::uint64_t reported = minimums->persisted().witnessed_incarnations.count(1)
                                       ? minimums->persisted().witnessed_incarnations.at(1)
                                       : 0;
          CHECK(reported <= disk.kept->witnessed_incarnations.at(1));
        }
        REQUIRE(fails_until > 0);
        CHECK(minimums->IsPersisted());
        CHECK(*disk.kept == MinimumsAt(kFinalOffset));
        CHECK(disk.max_open == 1);
        CHECK(lines <= 3);
      }
}

TEST_CASE("another front's minimums are neither reported as this front's nor raise them") {
  StoredMinimums disk;
  disk.kept = MinimumsAt(500);
  disk.kept->front_id = 8;
  bool down = false;
  disk.write_fault = [&](std::uint64_t) {
    return down ? WriteFault::kFailBefore : WriteFault::kNone;
  };
  store::DurableMinimums minimums(
      [&]() -> std::unique_ptr<MinimumsStorage> {
        return std::make_unique<FailingMinimumsStorage>(disk);
      },
      [](const std::string&) {});
  PersistedMinimums found;
  CHECK(minimums.Load(0, 3, found) == MinimumsStorage::ReadResult::kValid);
  CHECK(found.front_id == 8);
  down = true;
  minimums.Persist(0, MinimumsAt(7));
  CHECK(minimums.persisted().witnessed_incarnations.empty());
  down = false;
  constexpr store::Ms kLater = 60000;
  minimums.Persist(kLater, MinimumsAt(7));
  CHECK(*disk.kept == MinimumsAt(7));
}
