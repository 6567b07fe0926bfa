// The record's log replicas on failing disks: three replicas in virtual time under one leader
// writer, while one disk fails, has no space, or crashes with its process, at each of its calls in
// turn.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <deque>
#include <map>

#include "record/replica_host.hpp"
#include "support/failing_disk.hpp"

using namespace dunlinwick::record;
using dunlinwick::tests::OpenedStorage;
using WriteFault = MemoryLogStorage::WriteFault;

namespace {

constexpr Id kReplicas = 3;
constexpr Id kWriterId = 9;  // a front without a log replica
constexpr Ms kFailingFor = 3000;
constexpr Ms kSettleTime = 60000;
// Opening, and the promise to the first leader writer. A record whose disks are all empty is
// bootstrapped by all replicas, so until then a failing one blocks it; afterwards the others go on.
constexpr std::uint64_t kBootstrapCalls = 2;

class Cluster {
 public:
  std::map<Id, MemoryLogStorage> disks;
  std::map<Id, int> open;
  std::map<Offset, std::size_t> acknowledged;  // offset; the number of disks that had it then
  std::size_t opened_twice = 0;
  std::vector<std::string> lines;

  Cluster() {
    for (Id id = 1; id <= kReplicas; ++id)
      disks[id];
  }
  void Start(Id id) {
    auto open_storage = [this, id]() -> std::unique_ptr<LogStorage> {
      return std::make_unique<OpenedStorage>(disks[id], open[id]);
    };
    auto log_line = [this](const std::string& line) {
      lines.push_back(line);
    };
    replicas_[id] = std::make_unique<ReplicaHost>(id, Ids(), ReplicaHostSettings{}, open_storage,
                                                  id, now_, log_line);
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
  // One write each 100 ms while the leader writer is serving.
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
        opened_twice += count > 1;
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
  // All replicas hold everything that the leader writer has committed.
  bool IsComplete() {
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
  // The number of acknowledged entries that are on fewer disks than a majority.
  std::size_t LostAcknowledged() {
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
    auto callback = [this](LeaderWriter::Outcome outcome, Offset first) {
      if (outcome == LeaderWriter::Outcome::kAcknowledged)
        acknowledged[first] = CopiesOf(first);
    };
    writer_->Write(now_, {put}, callback, SendFrom(kWriterId));
  }

  std::map<Id, std::unique_ptr<ReplicaHost>> replicas_;
  std::unique_ptr<LeaderWriter> writer_;
  std::deque<Sent> wire_;
  std::uint64_t written_ = 0;
  Ms now_ = 1e6;
};

std::uint64_t WriteCallsWithoutFaults() {
  Cluster cluster;
  cluster.StartAll();
  cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsComplete(); });
  REQUIRE(cluster.IsComplete());
  cluster.Run(cluster.now() + 1000);
  return cluster.disks[1].WriteCount();
}

}  // namespace

TEST_CASE(
    "a replica whose disk fails for a while at any call loses nothing acknowledged and recovers by "
    "itself") {
  std::uint64_t calls = WriteCallsWithoutFaults();
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
      bool is_needed = call <= kBootstrapCalls;
      CHECK(cluster.IsServing() == !is_needed);
      CHECK((cluster.acknowledged.size() > 0) == !is_needed);
      cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsComplete(); });
      CHECK(cluster.IsComplete());
      CHECK(cluster.replica(1).IsOpen());
      CHECK(cluster.LostAcknowledged() == 0);
      CHECK(cluster.AcknowledgedTooEarly() == 0);
      CHECK(cluster.opened_twice == 0);
    }
}

TEST_CASE(
    "a replica killed during any call, whether the write took effect or not, loses nothing "
    "acknowledged") {
  std::uint64_t calls = WriteCallsWithoutFaults();
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
      cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsComplete(); });
      CHECK(cluster.IsComplete());
      CHECK(cluster.LostAcknowledged() == 0);
      CHECK(cluster.AcknowledgedTooEarly() == 0);
    }
}

TEST_CASE(
    "while a majority of disks fails nothing is acknowledged, and writes resume once there is "
    "space") {
  for (WriteFault fault : {WriteFault::kFailBefore, WriteFault::kFailAfter, WriteFault::kFull})
    for (Id failing : {Id{2}, Id{3}}) {
      CAPTURE(static_cast<int>(fault));
      CAPTURE(failing);
      Cluster cluster;
      cluster.StartAll();
      cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsComplete(); });
      REQUIRE(cluster.IsComplete());
      bool fails = true;
      for (Id id = 1; id <= failing; ++id)
        cluster.disks[id].write_fault = [&](std::uint64_t) {
          return fails ? fault : WriteFault::kNone;
        };
      // Entries that reached a disk before are still acknowledged; then nothing.
      cluster.Run(cluster.now() + 500);
      std::size_t before = cluster.acknowledged.size();
      cluster.Run(cluster.now() + kFailingFor);
      CHECK(cluster.acknowledged.size() == before);
      fails = false;
      cluster.Run(cluster.now() + kSettleTime,
                  [&] { return cluster.IsComplete() && cluster.acknowledged.size() > before; });
      CHECK(cluster.IsComplete());
      CHECK(cluster.acknowledged.size() > before);
      CHECK(cluster.LostAcknowledged() == 0);
      CHECK(cluster.AcknowledgedTooEarly() == 0);
    }
}

TEST_CASE("a replica that has no space, or is closed, is not taken for current by a subscriber") {
  for (WriteFault fault : {WriteFault::kFailBefore, WriteFault::kFull}) {
    CAPTURE(static_cast<int>(fault));
    Cluster cluster;
    cluster.StartAll();
    cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsComplete(); });
    cluster.disks[1].write_fault = [&](std::uint64_t) {
      return fault;
    };
    cluster.Run(cluster.now() + kFailingFor);
    SubscriptionRequest request;
    request.subscriber = 77;
    request.sequence = 1;
    std::optional<SubscriptionResponse> response =
        cluster.replica(1).HandleSubscription(cluster.now(), request);
    CHECK(response.has_value() == (fault == WriteFault::kFull));
    if (response) {
      CHECK(response->committed < cluster.writer().Committed());
      CHECK(response->leader_silence_ms > SubscriberSettings{}.max_leader_silence);
    }
    std::optional<SubscriptionResponse> other =
        cluster.replica(2).HandleSubscription(cluster.now(), request);
    REQUIRE(other);
    CHECK(other->leader_silence_ms <= SubscriberSettings{}.max_leader_silence);
  }
}

TEST_CASE(
    "a replica whose store cannot be opened logs that once, and works once it can be opened") {
  Cluster cluster;
  cluster.StartAll();
  cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsComplete(); });
  REQUIRE(cluster.IsComplete());
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
  cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsComplete(); });
  CHECK(cluster.IsComplete());
  CHECK(cluster.lines.back() == "record store used again");
}
