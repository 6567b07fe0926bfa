// The owner's group on disks that fail: three nodes in virtual time, over stores that fail at every
// call in turn, or where the process is killed at that call; then the front's owner component with
// a real folder that cannot be opened.
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
using tests::StoreDisk;
using tests::WriteFault;

namespace {

constexpr const char* kTask = "record";
constexpr owner::Id kGroupSize = 3;

// Three members that compete for the lease of one standing task. A message takes a millisecond;
// each node ticks every 20 ms.
class Cluster {
 public:
  std::map<owner::Id, StoreDisk> disks;

  Cluster() {
    for (owner::Id id = 1; id <= kGroupSize; ++id)
      disks[id];
  }
  ~Cluster() {
    for (auto& [id, process] : processes_)
      Stop(id);
  }
  void Start(owner::Id id) {
    Process& process = processes_[id];
    owner::NodeSettings terms;
    terms.self = id;
    terms.group = {1, 2, 3};
    owner::TaskSpec job;
    job.name = kTask;
    job.standing = true;
    terms.tasks = {job};
    owner::Node::Callbacks ways;
    ways.send = [this, id](owner::Id to, std::string bytes) {
      wire_.push_back({now_ + 1, id, to, std::move(bytes)});
    };
    ways.log_line = [this](const std::string& line) {
      NoteGrant(line);
    };
    process.node = std::make_unique<owner::Node>(terms, nullptr, static_cast<std::uint64_t>(now_),
                                                 id, now_, ways);
    auto open_store = [this, id]() -> std::unique_ptr<owner::Store> {
      return std::make_unique<tests::FailingStore>(disks[id]);
    };
    process.membership = std::make_unique<owner::Membership>(
        *process.node, open_store, [this](const std::string& line) { lines.push_back(line); });
    process.membership->Tick(now_);
  }
  void Stop(owner::Id id) {
    processes_[id].membership.reset();
    processes_[id].node.reset();
  }
  void StartAll() {
    for (owner::Id id = 1; id <= kGroupSize; ++id)
      Start(id);
  }
  void Run(Ms until, const std::function<bool()>& holds = {}) {
    constexpr Ms kTick = 20;
    while (now_ < until && !(holds && holds())) {
      now_ += 1;
      Deliver();
      if (std::fmod(now_, kTick) == 0)
        TickAll();
      CheckHolders();
    }
  }
  Ms now() const {
    return now_;
  }
  bool Runs(owner::Id id) {
    return processes_[id].node != nullptr;
  }
  owner::Node& Node(owner::Id id) {
    return *processes_[id].node;
  }
  bool HasStore(owner::Id id) {
    return processes_[id].membership->HasStore();
  }
  // Which member may act under the task's lease now; 0: none.
  owner::Id holder() {
    for (auto& [id, process] : processes_)
      if (process.node && ActsAt(*process.node))
        return id;
    return 0;
  }
  // All run as members with equal tables, and one holds the lease.
  bool IsComplete() {
    std::set<std::string> tables;
    for (owner::Id id = 1; id <= kGroupSize; ++id) {
      if (!Runs(id))
        return false;
      Group* group = Node(id).group();
      if (!group || group->member_state() != Group::MemberState::kMember)
        return false;
      tables.insert(group->table().Snapshot());
    }
    return tables.size() == 1 && holder() != 0;
  }
  std::size_t VotesChanged() const {
    std::size_t sum = 0;
    for (const auto& [id, disk] : disks)
      sum += disk.votes_changed;
    return sum;
  }
  std::size_t two_holders = 0;
  std::size_t repeated_tokens = 0;
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
  bool ActsAt(owner::Node& node) {
    for (const auto& held : node.agent().HeldLeases())
      if (now_ < held.valid_until)
        return true;
    return false;
  }
  void NoteGrant(const std::string& line) {
    unsigned long long token = 0;
    if (std::sscanf(line.c_str(), "owner of record token %llu", &token) != 1)
      return;
    if (token <= highest_token_)
      ++repeated_tokens;
    highest_token_ = std::max<std::uint64_t>(highest_token_, token);
  }
  void Deliver() {
    while (!wire_.empty() && wire_.front().at <= now_) {
      Message message = std::move(wire_.front());
      wire_.pop_front();
      if (Runs(message.to))
        Node(message.to).Receive(now_, message.bytes);
    }
  }
  void TickAll() {
    for (auto& [id, process] : processes_) {
      if (!process.node)
        continue;
      process.node->Tick(now_);
      process.membership->Tick(now_);
    }
  }
  void CheckHolders() {
    int acting = 0;
    for (auto& [id, process] : processes_)
      acting += process.node && ActsAt(*process.node);
    if (acting > 1)
      ++two_holders;
  }

  std::map<owner::Id, Process> processes_;
  std::deque<Message> wire_;
  Ms now_ = 1e6;
  std::uint64_t highest_token_ = 0;
};

constexpr Ms kLeaseTime = 5000;   // longer than a lease lasts by the leader's clock
constexpr Ms kFailingFor = 4000;  // a disk without space
constexpr Ms kSettleTime = 60000;

// The number of calls to member 1's disk in a run without failures: each of them is made to fail
// below.
std::uint64_t CallsWithoutFailures() {
  Cluster cluster;
  cluster.StartAll();
  cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsComplete(); });
  REQUIRE(cluster.IsComplete());
  cluster.Run(cluster.now() + 3000);
  return cluster.disks[1].calls;
}

}  // namespace

TEST_CASE(
    "a member whose disk fails for a while from any call on participates again once there is "
    "space") {
  std::uint64_t calls = CallsWithoutFailures();
  REQUIRE(calls >= 8);
  std::size_t failures = 0;
  for (WriteFault write_fault : {WriteFault::kFailBefore, WriteFault::kFailAfter})
    for (std::uint64_t call = 1; call <= calls; ++call) {
      CAPTURE(call);
      Cluster cluster;
      Ms fails_until = -1;
      cluster.disks[1].write_fault = [&](std::uint64_t number) {
        if (number == call)
          fails_until = cluster.now() + kFailingFor;
        bool fails = cluster.now() < fails_until;
        failures += fails;
        return fails ? write_fault : WriteFault::kNone;
      };
      cluster.StartAll();
      cluster.Run(cluster.now() + kSettleTime, [&] { return fails_until >= 0; });
      REQUIRE(fails_until >= 0);
      cluster.Run(fails_until);
      cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsComplete(); });
      CHECK(cluster.IsComplete());
      CHECK(cluster.VotesChanged() == 0);
      CHECK(cluster.two_holders == 0);
      CHECK(cluster.repeated_tokens == 0);
      CHECK(cluster.disks[1].most_open == 1);
    }
  CHECK(failures >= 2 * calls);
}

TEST_CASE(
    "a member killed within any call, whether the write was stored or not, participates again") {
  std::uint64_t calls = CallsWithoutFailures();
  for (WriteFault write_fault : {WriteFault::kFailBefore, WriteFault::kFailAfter})
    for (std::uint64_t call = 1; call <= calls; ++call) {
      CAPTURE(call);
      Cluster cluster;
      bool killed = false;
      cluster.disks[1].write_fault = [&](std::uint64_t number) {
        killed = killed || number == call;
        return number == call ? write_fault : WriteFault::kNone;
      };
      cluster.StartAll();
      cluster.Run(cluster.now() + kSettleTime, [&] { return killed; });
      REQUIRE(killed);
      cluster.Stop(1);
      cluster.Run(cluster.now() + 300);
      cluster.Start(1);
      cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsComplete(); });
      // A founder that is killed before its own disk holds the founding cannot prove that it
      // promised nothing: it is lost to the group, and reports so.
      Group* group = cluster.Node(1).group();
      bool is_lost = group && group->member_state() == Group::MemberState::kLost;
      CHECK((cluster.IsComplete() || is_lost));
      if (is_lost)
        CHECK(cluster.disks[1].calls <= 4);
      CHECK(cluster.holder() != 0);
      CHECK(cluster.VotesChanged() == 0);
      CHECK(cluster.two_holders == 0);
      CHECK(cluster.repeated_tokens == 0);
    }
}

TEST_CASE(
    "all members killed between the founding and the log's first entry found the group at their "
    "next start") {
  Cluster cluster;
  std::set<owner::Id> founded;
  for (owner::Id id = 1; id <= kGroupSize; ++id)
    cluster.disks[id].write_fault = [&, id](std::uint64_t) {
      // Every call after the founding fails until the kill.
      if (!cluster.disks[id].kept.load().bootstrap.empty())
        founded.insert(id);
      return founded.count(id) != 0 ? WriteFault::kFailBefore : WriteFault::kNone;
    };
  cluster.StartAll();
  cluster.Run(cluster.now() + kSettleTime, [&] { return founded.size() == kGroupSize; });
  REQUIRE(founded.size() == kGroupSize);
  for (owner::Id id = 1; id <= kGroupSize; ++id) {
    cluster.Stop(id);
    cluster.disks[id].write_fault = {};
    CHECK(cluster.disks[id].kept.load().entries.empty());
  }
  cluster.StartAll();
  cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsComplete(); });
  CHECK(cluster.IsComplete());
}

TEST_CASE(
    "a lease holder without a majority that can write gives up in time, and the lease is held "
    "again "
    "once there is space") {
  Cluster cluster;
  cluster.StartAll();
  cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsComplete(); });
  REQUIRE(cluster.IsComplete());
  owner::Id holder = cluster.holder();
  bool full = true;
  for (owner::Id id = 1; id <= kGroupSize; ++id)
    cluster.disks[id].write_fault = [&](std::uint64_t) {
      return full ? WriteFault::kFailBefore : WriteFault::kNone;
    };
  cluster.Run(cluster.now() + kLeaseTime);
  CHECK(cluster.holder() == 0);
  CHECK(cluster.Node(holder).agent().HeldLeases().empty());
  for (owner::Id id = 1; id <= kGroupSize; ++id)
    CHECK_FALSE(cluster.HasStore(id));
  full = false;
  cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsComplete(); });
  CHECK(cluster.IsComplete());
  CHECK(cluster.two_holders == 0);
  CHECK(cluster.repeated_tokens == 0);
  CHECK(cluster.VotesChanged() == 0);
}

TEST_CASE("a store that comes back empty is not taken for the one that had promised") {
  Cluster cluster;
  cluster.StartAll();
  cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsComplete(); });
  REQUIRE(cluster.IsComplete());
  bool failed = false;
  cluster.disks[1].write_fault = [&](std::uint64_t) {
    if (failed)
      return WriteFault::kNone;
    failed = true;
    return WriteFault::kFailBefore;
  };
  cluster.Run(cluster.now() + kSettleTime, [&] { return failed; });
  cluster.disks[1].kept = owner::MemoryStore();
  auto is_lost = [&] {
    Group* group = cluster.Node(1).group();
    return group && group->member_state() == Group::MemberState::kLost;
  };
  cluster.Run(cluster.now() + kSettleTime, is_lost);
  CHECK(is_lost());
  CHECK(cluster.holder() != 0);
}

namespace {

// The owner components of three fronts on loopback, each with its folder.
struct Fronts {
  loop::Loop loop;
  std::string folder;
  std::map<owner::Id, std::unique_ptr<front::OwnerComponent>> components;
  int port = 20000 + ::getpid() % 20000;

  Fronts() {
    folder = (std::filesystem::temp_directory_path() / "owner_storage.XXXXXX").string();
    REQUIRE(::mkdtemp(folder.data()) != nullptr);
  }
  ~Fronts() {
    components.clear();
    std::filesystem::remove_all(folder);
  }
  std::string Store(owner::Id id) const {
    return folder + "/" + std::to_string(id);
  }
  loop::Address AddressOf(owner::Id id) const {
    return *loop::ReadAddress("127.0.0." + std::to_string(40 + id) + ":" + std::to_string(port));
  }
  void Start(owner::Id id) {
    front::OwnerSettings settings;
    settings.enabled = true;
    settings.self = id;
    settings.listen = AddressOf(id);
    settings.store = Store(id);
    settings.group = {1, 2, 3};
    for (owner::Id other = 1; other <= kGroupSize; ++other)
      settings.addresses[other] = AddressOf(other);
    front::OwnerSettings::LeasedTask standing;
    standing.name = kTask;
    standing.standing = true;
    settings.tasks = {standing};
    settings.lease.duration = 900;
    settings.lease.margin = 60;
    settings.lease.renew_interval = 200;
    settings.raft.election_timeout = 200;
    settings.raft.heartbeat_interval = 50;
    components[id] = std::make_unique<front::OwnerComponent>(loop, settings, id);
  }
  bool Until(const std::function<bool()>& holds) {
    constexpr Ms kTimeout = 30000;
    for (Ms end = loop.now() + kTimeout; loop.now() < end && !holds();)
      loop.RunOnce(20);
    return holds();
  }
  bool Shows(owner::Id id, const std::string& text) {
    return components[id]->StatusJson().find(text) != std::string::npos;
  }
  bool IsLeaseHeld() {
    for (auto& [id, component] : components)
      if (component->HeldLease(kTask).second)
        return true;
    return false;
  }
};

}  // namespace

TEST_CASE(
    "a front whose owner store cannot be opened starts without it, reports so, and uses it once it "
    "can") {
  Fronts fronts;
  for (owner::Id id = 1; id <= kGroupSize; ++id)
    fronts.Start(id);
  REQUIRE(fronts.Until([&] { return fronts.IsLeaseHeld(); }));
  fronts.components.erase(1);
  std::string moved_store = fronts.folder + "/aside";
  std::filesystem::rename(fronts.Store(1), moved_store);
  std::ofstream(fronts.Store(1)) << "not a folder";
  fronts.Start(1);
  CHECK(fronts.Shows(1, "\"group\":\"none\",\"store\":\"not used\""));
  CHECK(fronts.Until(
      [&] { return fronts.components[1]->group_state().leader_known && fronts.IsLeaseHeld(); }));
  CHECK_FALSE(fronts.components[1]->group_state().lost);
  CHECK_FALSE(fronts.components[1]->group_state().in_group);
  std::filesystem::remove(fronts.Store(1));
  std::filesystem::rename(moved_store, fronts.Store(1));
  CHECK(fronts.Until([&] { return fronts.Shows(1, "\"group\":\"member\""); }));
  CHECK_FALSE(fronts.Shows(1, "\"store\":\"not used\""));
}
