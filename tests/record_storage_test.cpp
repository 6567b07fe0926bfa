// The record's replicas on disks that fail: three in virtual time under one writer, with a disk that fails,
// by plan, at every call in turn, has no room, or ends with the process there.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <deque>
#include <map>

#include "record/replica.hpp"
#include "support/failing_disk.hpp"

using namespace dunlinwick::record;
using dunlinwick::tests::OpenedDisk;
using Fate = MemoryDisk::Fate;

namespace {

constexpr Id replicas = 3;
constexpr Id writerId = 9;  // a front that is no replica itself
constexpr Ms failingFor = 3000;
constexpr Ms settleTime = 60000;
// Opening and the promise to the first writer: a record whose disks are all empty is founded by all replicas,
// so until then one that fails holds it up; after that the others go on.
constexpr std::uint64_t foundingCalls = 2;

class Cluster {
 public:
  std::map<Id, MemoryDisk> disks;
  std::map<Id, int> open;
  std::map<Offset, std::size_t> acknowledged;  // offset; on how many disks it was then
  std::size_t twiceOpen = 0;
  std::vector<std::string> lines;

  Cluster() {
    for (Id id = 1; id <= replicas; ++id) disks[id];
  }
  void start(Id id) {
    auto openDisk = [this, id]() -> std::unique_ptr<Disk> {
      return std::make_unique<OpenedDisk>(disks[id], open[id]);
    };
    auto say = [this](const std::string& line) { lines.push_back(line); };
    replicas_[id] = std::make_unique<Replica>(id, ids(), ReplicaTerms{}, openDisk, id, now_, say);
  }
  void stop(Id id) { replicas_[id].reset(); }
  void startAll() {
    for (Id id = 1; id <= replicas; ++id) start(id);
    writer_ = std::make_unique<Writer>(writerId, ids(), KeeperTerms{}, LogTerms{}, 1000, now_);
  }
  // One write is given each 100 ms while the writer serves.
  void run(Ms until, const std::function<bool()>& holds = {}) {
    constexpr Ms tick = 20;
    constexpr Ms writeEach = 100;
    while (now_ < until && !(holds && holds())) {
      now_ += 1;
      deliver();
      if (std::fmod(now_, tick) == 0) tickAll();
      if (std::fmod(now_, writeEach) == 0) write();
      for (auto& [id, count] : open) twiceOpen += count > 1;
    }
  }
  Ms now() const { return now_; }
  Writer& writer() { return *writer_; }
  Replica& replica(Id id) { return *replicas_[id]; }
  bool isServing() const { return writer_->phase() == Phase::serving && writer_->committed() > 0; }
  // All hold the same up to what the writer has committed.
  bool isWhole() {
    if (!isServing()) return false;
    for (Id id = 1; id <= replicas; ++id) {
      if (!replicas_[id] || !replicas_[id]->isOpen()) return false;
      const Log& log = *replicas_[id]->log();
      if (log.last() + 1 < writer_->committed() || !log.holes(1).empty() || !log.whole()) return false;
      if (log.head().committed + 1 < writer_->committed()) return false;
    }
    return true;
  }
  // How many of the acknowledged are on fewer disks now than a majority.
  std::size_t owed() {
    std::size_t missing = 0;
    for (const auto& [offset, copies] : acknowledged) missing += copiesOf(offset) < majority;
    return missing;
  }
  std::size_t acknowledgedTooEarly() const {
    std::size_t early = 0;
    for (const auto& [offset, copies] : acknowledged) early += copies < majority;
    return early;
  }

 private:
  static constexpr std::size_t majority = 2;
  struct Sent {
    Ms at = 0;
    Id from = 0;
    Id to = 0;
    Message message;
  };
  static std::vector<Id> ids() { return {1, 2, 3}; }
  Send sendFrom(Id from) {
    return [this, from](Id to, const Message& message) { wire_.push_back({now_ + 1, from, to, message}); };
  }
  std::size_t copiesOf(Offset offset) {
    std::size_t copies = 0;
    for (auto& [id, disk] : disks) copies += disk.has(offset);
    return copies;
  }
  void deliver() {
    while (!wire_.empty() && wire_.front().at <= now_) {
      Sent sent = std::move(wire_.front());
      wire_.pop_front();
      if (sent.to == writerId) writer_->receive(now_, sent.from, sent.message, sendFrom(writerId));
      else if (replicas_[sent.to])
        replicas_[sent.to]->receive(now_, sent.from, sent.message, sendFrom(sent.to));
    }
  }
  void tickAll() {
    writer_->tick(now_, sendFrom(writerId));
    for (auto& [id, replica] : replicas_)
      if (replica) replica->tick(now_, sendFrom(id));
  }
  void write() {
    if (writer_->phase() != Phase::serving) return;
    Writer::Put put;
    put.key = "object/" + std::to_string(++written_);
    auto done = [this](Writer::Outcome outcome, Offset first) {
      if (outcome == Writer::Outcome::acknowledged) acknowledged[first] = copiesOf(first);
    };
    writer_->put(now_, {put}, done, sendFrom(writerId));
  }

  std::map<Id, std::unique_ptr<Replica>> replicas_;
  std::unique_ptr<Writer> writer_;
  std::deque<Sent> wire_;
  std::uint64_t written_ = 0;
  Ms now_ = 1e6;
};

std::uint64_t callsOfAQuietRun() {
  Cluster cluster;
  cluster.startAll();
  cluster.run(cluster.now() + settleTime, [&] { return cluster.isWhole(); });
  REQUIRE(cluster.isWhole());
  cluster.run(cluster.now() + 1000);
  return cluster.disks[1].calls();
}

}  // namespace

TEST_CASE(
    "a replica whose disk fails at any call for a while owes nothing it acknowledged and comes back by "
    "itself") {
  std::uint64_t calls = callsOfAQuietRun();
  REQUIRE(calls >= 10);
  for (Fate fate : {Fate::failsBefore, Fate::failsAfter, Fate::full})
    for (std::uint64_t call = 1; call <= calls; ++call) {
      CAPTURE(static_cast<int>(fate));
      CAPTURE(call);
      Cluster cluster;
      Ms failsUntil = -1;
      cluster.disks[1].fate = [&](std::uint64_t number) {
        if (number == call) failsUntil = cluster.now() + failingFor;
        return cluster.now() < failsUntil ? fate : Fate::well;
      };
      cluster.startAll();
      cluster.run(cluster.now() + settleTime, [&] { return failsUntil >= 0; });
      REQUIRE(failsUntil >= 0);
      cluster.run(failsUntil);
      bool isNeeded = call <= foundingCalls;
      CHECK(cluster.isServing() == !isNeeded);
      CHECK((cluster.acknowledged.size() > 0) == !isNeeded);
      cluster.run(cluster.now() + settleTime, [&] { return cluster.isWhole(); });
      CHECK(cluster.isWhole());
      CHECK(cluster.replica(1).isOpen());
      CHECK(cluster.owed() == 0);
      CHECK(cluster.acknowledgedTooEarly() == 0);
      CHECK(cluster.twiceOpen == 0);
    }
}

TEST_CASE("a replica killed within any call, whether the write landed or not, owes nothing it acknowledged") {
  std::uint64_t calls = callsOfAQuietRun();
  for (Fate fate : {Fate::failsBefore, Fate::failsAfter})
    for (std::uint64_t call = 1; call <= calls; ++call) {
      CAPTURE(static_cast<int>(fate));
      CAPTURE(call);
      Cluster cluster;
      bool killed = false;
      cluster.disks[1].fate = [&](std::uint64_t number) {
        killed = killed || number == call;
        return number == call ? fate : Fate::well;
      };
      cluster.startAll();
      cluster.run(cluster.now() + settleTime, [&] { return killed; });
      REQUIRE(killed);
      cluster.stop(1);
      cluster.run(cluster.now() + 300);
      cluster.start(1);
      cluster.run(cluster.now() + settleTime, [&] { return cluster.isWhole(); });
      CHECK(cluster.isWhole());
      CHECK(cluster.owed() == 0);
      CHECK(cluster.acknowledgedTooEarly() == 0);
    }
}

TEST_CASE("with a majority of disks failing nothing is acknowledged, and all is again once there is space") {
  for (Fate fate : {Fate::failsBefore, Fate::failsAfter, Fate::full})
    for (Id failing : {Id{2}, Id{3}}) {
      CAPTURE(static_cast<int>(fate));
      CAPTURE(failing);
      Cluster cluster;
      cluster.startAll();
      cluster.run(cluster.now() + settleTime, [&] { return cluster.isWhole(); });
      REQUIRE(cluster.isWhole());
      bool fails = true;
      for (Id id = 1; id <= failing; ++id)
        cluster.disks[id].fate = [&](std::uint64_t) { return fails ? fate : Fate::well; };
      // What came to a disk before is acknowledged still; then nothing.
      cluster.run(cluster.now() + 500);
      std::size_t before = cluster.acknowledged.size();
      cluster.run(cluster.now() + failingFor);
      CHECK(cluster.acknowledged.size() == before);
      fails = false;
      cluster.run(cluster.now() + settleTime,
                  [&] { return cluster.isWhole() && cluster.acknowledged.size() > before; });
      CHECK(cluster.isWhole());
      CHECK(cluster.acknowledged.size() > before);
      CHECK(cluster.owed() == 0);
      CHECK(cluster.acknowledgedTooEarly() == 0);
    }
}

TEST_CASE("a replica that has no room, or is closed, does not pass for current to a subscriber") {
  for (Fate fate : {Fate::failsBefore, Fate::full}) {
    CAPTURE(static_cast<int>(fate));
    Cluster cluster;
    cluster.startAll();
    cluster.run(cluster.now() + settleTime, [&] { return cluster.isWhole(); });
    cluster.disks[1].fate = [&](std::uint64_t) { return fate; };
    cluster.run(cluster.now() + failingFor);
    Want want;
    want.subscriber = 77;
    want.number = 1;
    std::optional<Piece> piece = cluster.replica(1).wants(cluster.now(), want);
    CHECK(piece.has_value() == (fate == Fate::full));
    if (piece) {
      CHECK(piece->committed < cluster.writer().committed());
      CHECK(piece->age > SubscriberTerms{}.staleNews);
    }
    std::optional<Piece> other = cluster.replica(2).wants(cluster.now(), want);
    REQUIRE(other);
    CHECK(other->age <= SubscriberTerms{}.staleNews);
  }
}

TEST_CASE("a replica whose store can't be opened says so once, and is one as soon as it can be") {
  Cluster cluster;
  cluster.startAll();
  cluster.run(cluster.now() + settleTime, [&] { return cluster.isWhole(); });
  REQUIRE(cluster.isWhole());
  cluster.stop(1);
  bool down = true;
  cluster.disks[1].fate = [&](std::uint64_t) { return down ? Fate::failsBefore : Fate::well; };
  cluster.start(1);
  cluster.run(cluster.now() + failingFor);
  CHECK(cluster.isServing());
  CHECK_FALSE(cluster.replica(1).isOpen());
  REQUIRE(cluster.lines.size() == 1);
  CHECK(cluster.lines[0].starts_with("record store not used: "));
  down = false;
  cluster.run(cluster.now() + settleTime, [&] { return cluster.isWhole(); });
  CHECK(cluster.isWhole());
  CHECK(cluster.lines.back() == "record store used again");
}
