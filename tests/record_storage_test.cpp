// The record's replicas on disks that fail: three in virtual time under one writer, with a disk
// that fails, by plan, at every call in turn, has no room, or ends with the process there.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <deque>
#include <map>

#include "record/replica.hpp"
#include "support/failing_disk.hpp"

using namespace dunlinwick::record;
using dunlinwick::tests::OpenedDisk;
using WriteFault = MemoryLogStorage::WriteFault;

namespace {

constexpr Id kReplicas = 3;
constexpr Id kWriterId = 9;  // a front that is no replica itself
constexpr Ms kFailingFor = 3000;
constexpr Ms kSettleTime = 60000;
// Opening and the promise to the first writer: a record whose disks are all empty is founded by all
// replicas, so until then one that fails holds it up; after that the others go on.
constexpr std::uint64_t kFoundingCalls = 2;

class Cluster {
 public:
  std::map<Id, MemoryLogStorage> disks;
  std::map<Id, int> open;
  std::map<Offset, std::size_t> acknowledged;  // offset; on how many disks it was then
  std::size_t twice_open = 0;
  std::vector<std::string> lines;

  Cluster() {
    for (Id id = 1; id <= kReplicas; ++id)
      disks[id];
  }
  void Start(Id id) {
    auto open_disk = [this, id]() -> std::unique_ptr<LogStorage> {
      return std::make_unique<OpenedDisk>(disks[id], open[id]);
    };
    auto say = [this](const std::string& line) {
      lines.push_back(line);
    };
    replicas_[id] =
        std::make_unique<ReplicaHost>(id, Ids(), ReplicaHostSettings{}, open_disk, id, now_, say);
  }
  void Stop(Id id) {
    replicas_[id].reset();
  }
  void StartAll() {
    for (Id id = 1; id <= kReplicas; ++id)
      Start(id);
    writer_ = std::make_unique<LeaderWriter>(kWriterId, Ids(), LogReplicaSettings{}, LogSettings{},
                                             1000, now_);
  }
  // One write is given each 100 ms while the writer serves.
  void Run(Ms until, const std::function<bool()>& holds = {}) {
    constexpr Ms kTick = 20;
    constexpr Ms kWriteEach = 100;
    while (now_ < until && !(holds && holds())) {
      now_ += 1;
      Deliver();
      if (std::fmod(now_, kTick) == 0)
        TickAll();
      if (std::fmod(now_, kWriteEach) == 0)
        Write();
      for (auto& [id, count] : open)
        twice_open += count > 1;
    }
  }
  Ms now() const {
    return now_;
  }
  LeaderWriter& writer() {
    return *writer_;
  }
  ReplicaHost& replica(Id id) {
    return *replicas_[id];
  }
  bool IsServing() const {
    return writer_->phase() == Phase::kServing && writer_->Committed() > 0;
  }
  // All hold the same up to what the writer has committed.
  bool IsWhole() {
    if (!IsServing())
      return false;
    for (Id id = 1; id <= kReplicas; ++id) {
      if (!replicas_[id] || !replicas_[id]->IsOpen())
        return false;
      const Log& log = *replicas_[id]->log();
      if (log.LastOffset() + 1 < writer_->Committed() || !log.Gaps(1).empty() || !log.IsComplete())
        return false;
      if (log.metadata().committed + 1 < writer_->Committed())
        return false;
    }
    return true;
  }
  // How many of the acknowledged are on fewer disks now than a majority.
  std::size_t Owed() {
    std::size_t missing = 0;
    for (const auto& [offset, copies] : acknowledged)
      missing += CopiesOf(offset) < kMajority;
    return missing;
  }
  std::size_t AcknowledgedTooEarly() const {
    std::size_t early = 0;
    for (const auto& [offset, copies] : acknowledged)
      early += copies < kMajority;
    return early;
  }

 private:
  static constexpr std::size_t kMajority = 2;
  struct Sent {
    Ms at = 0;
    Id from = 0;
    Id to = 0;
    Message message;
  };
  static std::vector<Id> Ids() {
    return {1, 2, 3};
  }
  SendMessage SendFrom(Id from) {
    return [this, from](Id to, const Message& message) {
      wire_.push_back({now_ + 1, from, to, message});
    };
  }
  std::size_t CopiesOf(Offset offset) {
    std::size_t copies = 0;
    for (auto& [id, disk] : disks)
      copies += disk.Has(offset);
    return copies;
  }
  void Deliver() {
    while (!wire_.empty() && wire_.front().at <= now_) {
      Sent sent = std::move(wire_.front());
      wire_.pop_front();
      if (sent.to == kWriterId)
        writer_->Receive(now_, sent.from, sent.message, SendFrom(kWriterId));
      else if (replicas_[sent.to])
        replicas_[sent.to]->Receive(now_, sent.from, sent.message, SendFrom(sent.to));
    }
  }
  void TickAll() {
    writer_->Tick(now_, SendFrom(kWriterId));
    for (auto& [id, replica] : replicas_)
      if (replica)
        replica->Tick(now_, SendFrom(id));
  }
  void Write() {
    if (writer_->phase() != Phase::kServing)
      return;
    LeaderWriter::Put put;
    put.key = "object/" + std::to_string(++written_);
    auto done = [this](LeaderWriter::Outcome outcome, Offset first) {
      if (outcome == LeaderWriter::Outcome::kAcknowledged)
        acknowledged[first] = CopiesOf(first);
    };
    writer_->Write(now_, {put}, done, SendFrom(kWriterId));
  }

  std::map<Id, std::unique_ptr<ReplicaHost>> replicas_;
  std::unique_ptr<LeaderWriter> writer_;
  std::deque<Sent> wire_;
  std::uint64_t written_ = 0;
  Ms now_ = 1e6;
};

std::uint64_t CallsOfAQuietRun() {
  Cluster cluster;
  cluster.StartAll();
  cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsWhole(); });
  REQUIRE(cluster.IsWhole());
  cluster.Run(cluster.now() + 1000);
  return cluster.disks[1].WriteCount();
}

}  // namespace

TEST_CASE(
    "a replica whose disk fails at any call for a while owes nothing it acknowledged and comes "
    "back by "
    "itself") {
  std::uint64_t calls = CallsOfAQuietRun();
  REQUIRE(calls >= 10);
  for (WriteFault fault : {WriteFault::kFailBefore, WriteFault::kFailAfter, WriteFault::kFull})
    for (std::uint64_t call = 1; call <= calls; ++call) {
      CAPTURE(static_cast<int>(fault));
      CAPTURE(call);
      Cluster cluster;
      Ms fails_until = -1;
      cluster.disks[1].write_fault = [&](std::uint64_t number) {
        if (number == call)
          fails_until = cluster.now() + kFailingFor;
        return cluster.now() < fails_until ? fault : WriteFault::kNone;
      };
      cluster.StartAll();
      cluster.Run(cluster.now() + kSettleTime, [&] { return fails_until >= 0; });
      REQUIRE(fails_until >= 0);
      cluster.Run(fails_until);
      bool is_needed = call <= kFoundingCalls;
      CHECK(cluster.IsServing() == !is_needed);
      CHECK((cluster.acknowledged.size() > 0) == !is_needed);
      cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsWhole(); });
      CHECK(cluster.IsWhole());
      CHECK(cluster.replica(1).IsOpen());
      CHECK(cluster.Owed() == 0);
      CHECK(cluster.AcknowledgedTooEarly() == 0);
      CHECK(cluster.twice_open == 0);
    }
}

TEST_CASE(
    "a replica killed within any call, whether the write landed or not, owes nothing it "
    "acknowledged") {
  std::uint64_t calls = CallsOfAQuietRun();
  for (WriteFault fault : {WriteFault::kFailBefore, WriteFault::kFailAfter})
    for (std::uint64_t call = 1; call <= calls; ++call) {
      CAPTURE(static_cast<int>(fault));
      CAPTURE(call);
      Cluster cluster;
      bool killed = false;
      cluster.disks[1].write_fault = [&](std::uint64_t number) {
        killed = killed || number == call;
        return number == call ? fault : WriteFault::kNone;
      };
      cluster.StartAll();
      cluster.Run(cluster.now() + kSettleTime, [&] { return killed; });
      REQUIRE(killed);
      cluster.Stop(1);
      cluster.Run(cluster.now() + 300);
      cluster.Start(1);
      cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsWhole(); });
      CHECK(cluster.IsWhole());
      CHECK(cluster.Owed() == 0);
      CHECK(cluster.AcknowledgedTooEarly() == 0);
    }
}

TEST_CASE(
    "with a majority of disks failing nothing is acknowledged, and all is again once there is "
    "space") {
  for (WriteFault fault : {WriteFault::kFailBefore, WriteFault::kFailAfter, WriteFault::kFull})
    for (Id failing : {Id{2}, Id{3}}) {
      CAPTURE(static_cast<int>(fault));
      CAPTURE(failing);
      Cluster cluster;
      cluster.StartAll();
      cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsWhole(); });
      REQUIRE(cluster.IsWhole());
      bool fails = true;
      for (Id id = 1; id <= failing; ++id)
        cluster.disks[id].write_fault = [&](std::uint64_t) {
          return fails ? fault : WriteFault::kNone;
        };
      // What came to a disk before is acknowledged still; then nothing.
      cluster.Run(cluster.now() + 500);
      std::size_t before = cluster.acknowledged.size();
      cluster.Run(cluster.now() + kFailingFor);
      CHECK(cluster.acknowledged.size() == before);
      fails = false;
      cluster.Run(cluster.now() + kSettleTime,
                  [&] { return cluster.IsWhole() && cluster.acknowledged.size() > before; });
      CHECK(cluster.IsWhole());
      CHECK(cluster.acknowledged.size() > before);
      CHECK(cluster.Owed() == 0);
      CHECK(cluster.AcknowledgedTooEarly() == 0);
    }
}

TEST_CASE("a replica that has no room, or is closed, does not pass for current to a subscriber") {
  for (WriteFault fault : {WriteFault::kFailBefore, WriteFault::kFull}) {
    CAPTURE(static_cast<int>(fault));
    Cluster cluster;
    cluster.StartAll();
    cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsWhole(); });
    cluster.disks[1].write_fault = [&](std::uint64_t) {
      return fault;
    };
    cluster.Run(cluster.now() + kFailingFor);
    SubscriptionRequest want;
    want.subscriber = 77;
    want.sequence = 1;
    std::optional<SubscriptionResponse> piece =
        cluster.replica(1).HandleSubscription(cluster.now(), want);
    CHECK(piece.has_value() == (fault == WriteFault::kFull));
    if (piece) {
      CHECK(piece->committed < cluster.writer().Committed());
      CHECK(piece->leader_silence_ms > SubscriberSettings{}.max_leader_silence);
    }
    std::optional<SubscriptionResponse> other =
        cluster.replica(2).HandleSubscription(cluster.now(), want);
    REQUIRE(other);
    CHECK(other->leader_silence_ms <= SubscriberSettings{}.max_leader_silence);
  }
}

TEST_CASE("a replica whose store can't be opened says so once, and is one as soon as it can be") {
  Cluster cluster;
  cluster.StartAll();
  cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsWhole(); });
  REQUIRE(cluster.IsWhole());
  cluster.Stop(1);
  bool down = true;
  cluster.disks[1].write_fault = [&](std::uint64_t) {
    return down ? WriteFault::kFailBefore : WriteFault::kNone;
  };
  cluster.Start(1);
  cluster.Run(cluster.now() + kFailingFor);
  CHECK(cluster.IsServing());
  CHECK_FALSE(cluster.replica(1).IsOpen());
  REQUIRE(cluster.lines.size() == 1);
  CHECK(cluster.lines[0].starts_with("record store not used: "));
  down = false;
  cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsWhole(); });
  CHECK(cluster.IsWhole());
  CHECK(cluster.lines.back() == "record store used again");
}
