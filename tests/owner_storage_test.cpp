// The owners' group on disks that fail: three nodes in virtual time over stores that fail, by plan, at every
// call in turn, or end with the process there; then the front's owner part on a real folder that can't be
// opened.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <unistd.h>

#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>

#include "front/owner.hpp"
#include "owner/membership.hpp"
#include "support/failing_store.hpp"

using namespace dunlinwick;
using owner::Group;
using owner::Ms;
using tests::Fate;
using tests::StoreDisk;

namespace {

constexpr const char* work = "record";
constexpr owner::Id groupSize = 3;

// Three members, all of which try for one standing work. A message takes a millisecond; every node ticks each
// 20 ms.
class Cluster {
 public:
  std::map<owner::Id, StoreDisk> disks;

  Cluster() {
    for (owner::Id id = 1; id <= groupSize; ++id) disks[id];
  }
  ~Cluster() {
    for (auto& [id, process] : processes_) stop(id);
  }
  void start(owner::Id id) {
    Process& process = processes_[id];
    owner::NodeTerms terms;
    terms.self = id;
    terms.group = {1, 2, 3};
    owner::Job job;
    job.work = work;
    job.standing = true;
    terms.jobs = {job};
    owner::Node::Ways ways;
    ways.send = [this, id](owner::Id to, std::string bytes) {
      wire_.push_back({now_ + 1, id, to, std::move(bytes)});
    };
    ways.say = [this](const std::string& line) { noteGrant(line); };
    process.node =
        std::make_unique<owner::Node>(terms, nullptr, static_cast<std::uint64_t>(now_), id, now_, ways);
    auto openStore = [this, id]() -> std::unique_ptr<owner::Store> {
      return std::make_unique<tests::FailingStore>(disks[id]);
    };
    process.membership = std::make_unique<owner::Membership>(
        *process.node, openStore, [this](const std::string& line) { lines.push_back(line); });
    process.membership->tick(now_);
  }
  void stop(owner::Id id) {
    processes_[id].membership.reset();
    processes_[id].node.reset();
  }
  void startAll() {
    for (owner::Id id = 1; id <= groupSize; ++id) start(id);
  }
  void run(Ms until, const std::function<bool()>& holds = {}) {
    constexpr Ms tick = 20;
    while (now_ < until && !(holds && holds())) {
      now_ += 1;
      deliver();
      if (std::fmod(now_, tick) == 0) tickAll();
      look();
    }
  }
  Ms now() const { return now_; }
  bool runs(owner::Id id) { return processes_[id].node != nullptr; }
  owner::Node& node(owner::Id id) { return *processes_[id].node; }
  bool hasStore(owner::Id id) { return processes_[id].membership->hasStore(); }
  // Who may act under the work just now; 0: nobody.
  owner::Id holder() {
    for (auto& [id, process] : processes_)
      if (process.node && actsAt(*process.node)) return id;
    return 0;
  }
  bool isWhole() {
    std::set<std::string> tables;
    for (owner::Id id = 1; id <= groupSize; ++id) {
      if (!runs(id)) return false;
      Group* group = node(id).group();
      if (!group || group->standing() != Group::Standing::member) return false;
      tables.insert(group->table().snapshot());
    }
    return tables.size() == 1 && holder() != 0;
  }
  std::size_t votesChanged() const {
    std::size_t sum = 0;
    for (const auto& [id, disk] : disks) sum += disk.votesChanged;
    return sum;
  }
  std::size_t twoActed = 0;
  std::size_t tokensRepeated = 0;
  std::vector<std::string> lines;

 private:
  struct Message {
    Ms at = 0;
    owner::Id from = 0;
    owner::Id to = 0;
    std::string bytes;
  };
  struct Process {
    std::unique_ptr<owner::Node> node;
    std::unique_ptr<owner::Membership> membership;
  };
  bool actsAt(owner::Node& node) {
    for (const auto& held : node.agent().held())
      if (now_ < held.until) return true;
    return false;
  }
  void noteGrant(const std::string& line) {
    unsigned long long token = 0;
    if (std::sscanf(line.c_str(), "owner of record token %llu", &token) != 1) return;
    if (token <= highestToken_) ++tokensRepeated;
    highestToken_ = std::max<std::uint64_t>(highestToken_, token);
  }
  void deliver() {
    while (!wire_.empty() && wire_.front().at <= now_) {
      Message message = std::move(wire_.front());
      wire_.pop_front();
      if (runs(message.to)) node(message.to).receive(now_, message.bytes);
    }
  }
  void tickAll() {
    for (auto& [id, process] : processes_) {
      if (!process.node) continue;
      process.node->tick(now_);
      process.membership->tick(now_);
    }
  }
  void look() {
    int acting = 0;
    for (auto& [id, process] : processes_) acting += process.node && actsAt(*process.node);
    if (acting > 1) ++twoActed;
  }

  std::map<owner::Id, Process> processes_;
  std::deque<Message> wire_;
  Ms now_ = 1e6;
  std::uint64_t highestToken_ = 0;
};

constexpr Ms leaseTime = 5000;   // above what a lease lasts by the leader's clock
constexpr Ms failingFor = 4000;  // a disk without space
constexpr Ms settleTime = 60000;

// How many calls member 1's disk sees while all is well: each of them is made to fail below.
std::uint64_t callsOfAQuietRun() {
  Cluster cluster;
  cluster.startAll();
  cluster.run(cluster.now() + settleTime, [&] { return cluster.isWhole(); });
  REQUIRE(cluster.isWhole());
  cluster.run(cluster.now() + 3000);
  return cluster.disks[1].calls;
}

}  // namespace

TEST_CASE("a member whose disk fails at any call for a while takes part again once there is space") {
  std::uint64_t calls = callsOfAQuietRun();
  REQUIRE(calls >= 8);
  std::size_t failures = 0;
  for (Fate fate : {Fate::failsBefore, Fate::failsAfter})
    for (std::uint64_t call = 1; call <= calls; ++call) {
      CAPTURE(call);
      Cluster cluster;
      Ms failsUntil = -1;
      cluster.disks[1].fate = [&](std::uint64_t number) {
        if (number == call) failsUntil = cluster.now() + failingFor;
        bool fails = cluster.now() < failsUntil;
        failures += fails;
        return fails ? fate : Fate::works;
      };
      cluster.startAll();
      cluster.run(cluster.now() + settleTime, [&] { return failsUntil >= 0; });
      REQUIRE(failsUntil >= 0);
      cluster.run(failsUntil);
      cluster.run(cluster.now() + settleTime, [&] { return cluster.isWhole(); });
      CHECK(cluster.isWhole());
      CHECK(cluster.votesChanged() == 0);
      CHECK(cluster.twoActed == 0);
      CHECK(cluster.tokensRepeated == 0);
      CHECK(cluster.disks[1].mostOpen == 1);
    }
  CHECK(failures >= 2 * calls);
}

TEST_CASE("a member killed within any call, whether the write landed or not, takes part again") {
  std::uint64_t calls = callsOfAQuietRun();
  for (Fate fate : {Fate::failsBefore, Fate::failsAfter})
    for (std::uint64_t call = 1; call <= calls; ++call) {
      CAPTURE(call);
      Cluster cluster;
      bool killed = false;
      cluster.disks[1].fate = [&](std::uint64_t number) {
        killed = killed || number == call;
        return number == call ? fate : Fate::works;
      };
      cluster.startAll();
      cluster.run(cluster.now() + settleTime, [&] { return killed; });
      REQUIRE(killed);
      cluster.stop(1);
      cluster.run(cluster.now() + 300);
      cluster.start(1);
      cluster.run(cluster.now() + settleTime, [&] { return cluster.isWhole(); });
      // A founder that is killed before its own disk has the founding can't show that it promised nothing: it
      // is lost, and says so.
      Group* group = cluster.node(1).group();
      bool isLost = group && group->standing() == Group::Standing::lost;
      CHECK((cluster.isWhole() || isLost));
      if (isLost) CHECK(cluster.disks[1].calls <= 4);
      CHECK(cluster.holder() != 0);
      CHECK(cluster.votesChanged() == 0);
      CHECK(cluster.twoActed == 0);
      CHECK(cluster.tokensRepeated == 0);
    }
}

TEST_CASE(
    "all members killed between the founding and the log's first entry found the group at their next start") {
  Cluster cluster;
  std::set<owner::Id> founded;
  for (owner::Id id = 1; id <= groupSize; ++id)
    cluster.disks[id].fate = [&, id](std::uint64_t) {
      // All that follows the founding fails until the kill.
      if (!cluster.disks[id].kept.load().founding.empty()) founded.insert(id);
      return founded.count(id) != 0 ? Fate::failsBefore : Fate::works;
    };
  cluster.startAll();
  cluster.run(cluster.now() + settleTime, [&] { return founded.size() == groupSize; });
  REQUIRE(founded.size() == groupSize);
  for (owner::Id id = 1; id <= groupSize; ++id) {
    cluster.stop(id);
    cluster.disks[id].fate = {};
    CHECK(cluster.disks[id].kept.load().entries.empty());
  }
  cluster.startAll();
  cluster.run(cluster.now() + settleTime, [&] { return cluster.isWhole(); });
  CHECK(cluster.isWhole());
}

TEST_CASE(
    "a lease holder that no majority can write for gives up in time, and the work is owned again once there "
    "is space") {
  Cluster cluster;
  cluster.startAll();
  cluster.run(cluster.now() + settleTime, [&] { return cluster.isWhole(); });
  REQUIRE(cluster.isWhole());
  owner::Id holder = cluster.holder();
  bool full = true;
  for (owner::Id id = 1; id <= groupSize; ++id)
    cluster.disks[id].fate = [&](std::uint64_t) { return full ? Fate::failsBefore : Fate::works; };
  cluster.run(cluster.now() + leaseTime);
  CHECK(cluster.holder() == 0);
  CHECK(cluster.node(holder).agent().held().empty());
  for (owner::Id id = 1; id <= groupSize; ++id) CHECK_FALSE(cluster.hasStore(id));
  full = false;
  cluster.run(cluster.now() + settleTime, [&] { return cluster.isWhole(); });
  CHECK(cluster.isWhole());
  CHECK(cluster.twoActed == 0);
  CHECK(cluster.tokensRepeated == 0);
  CHECK(cluster.votesChanged() == 0);
}

TEST_CASE("a store that comes back empty does not pass for the one that had promised") {
  Cluster cluster;
  cluster.startAll();
  cluster.run(cluster.now() + settleTime, [&] { return cluster.isWhole(); });
  REQUIRE(cluster.isWhole());
  bool failed = false;
  cluster.disks[1].fate = [&](std::uint64_t) {
    if (failed) return Fate::works;
    failed = true;
    return Fate::failsBefore;
  };
  cluster.run(cluster.now() + settleTime, [&] { return failed; });
  cluster.disks[1].kept = owner::MemoryStore();
  auto isLost = [&] {
    Group* group = cluster.node(1).group();
    return group && group->standing() == Group::Standing::lost;
  };
  cluster.run(cluster.now() + settleTime, isLost);
  CHECK(isLost());
  CHECK(cluster.holder() != 0);
}

namespace {

// Three owner parts of a front on loopback, each with its folder.
struct Fronts {
  loop::Loop loop;
  std::string folder;
  std::map<owner::Id, std::unique_ptr<front::Owner>> parts;
  int port = 20000 + ::getpid() % 20000;

  Fronts() {
    folder = (std::filesystem::temp_directory_path() / "owner_storage.XXXXXX").string();
    REQUIRE(::mkdtemp(folder.data()) != nullptr);
  }
  ~Fronts() {
    parts.clear();
    std::filesystem::remove_all(folder);
  }
  std::string store(owner::Id id) const { return folder + "/" + std::to_string(id); }
  loop::Address at(owner::Id id) const {
    return *loop::readAddress("127.0.0." + std::to_string(40 + id) + ":" + std::to_string(port));
  }
  void start(owner::Id id) {
    front::OwnerTerms terms;
    terms.on = true;
    terms.self = id;
    terms.listen = at(id);
    terms.store = store(id);
    terms.group = {1, 2, 3};
    for (owner::Id other = 1; other <= groupSize; ++other) terms.at[other] = at(other);
    front::OwnerTerms::Work standing;
    standing.name = work;
    standing.standing = true;
    terms.works = {standing};
    terms.lease.lease = 900;
    terms.lease.margin = 60;
    terms.lease.renewEvery = 200;
    terms.raft.election = 200;
    terms.raft.heartbeat = 50;
    parts[id] = std::make_unique<front::Owner>(loop, terms, id);
  }
  bool until(const std::function<bool()>& holds) {
    constexpr Ms atMost = 30000;
    for (Ms end = loop.now() + atMost; loop.now() < end && !holds();) loop.turn(20);
    return holds();
  }
  bool shows(owner::Id id, const std::string& text) {
    return parts[id]->view().find(text) != std::string::npos;
  }
  bool isOwned() {
    for (auto& [id, part] : parts)
      if (part->holds(work).second) return true;
    return false;
  }
};

}  // namespace

TEST_CASE("a front whose owner's store can't be opened starts without it, says so, and uses it once it can") {
  Fronts fronts;
  for (owner::Id id = 1; id <= groupSize; ++id) fronts.start(id);
  REQUIRE(fronts.until([&] { return fronts.isOwned(); }));
  fronts.parts.erase(1);
  std::string aside = fronts.folder + "/aside";
  std::filesystem::rename(fronts.store(1), aside);
  std::ofstream(fronts.store(1)) << "not a folder";
  fronts.start(1);
  CHECK(fronts.shows(1, "\"group\":\"none\",\"store\":\"not used\""));
  CHECK(fronts.until([&] { return fronts.parts[1]->group().leaderKnown && fronts.isOwned(); }));
  CHECK_FALSE(fronts.parts[1]->group().lost);
  CHECK_FALSE(fronts.parts[1]->group().inGroup);
  std::filesystem::remove(fronts.store(1));
  std::filesystem::rename(aside, fronts.store(1));
  CHECK(fronts.until([&] { return fronts.shows(1, "\"group\":\"member\""); }));
  CHECK_FALSE(fronts.shows(1, "\"store\":\"not used\""));
}
