// The owners' group on disks that fail: three nodes in virtual time over stores that fail, by plan,
// at every call in turn, or end with the process there; then the front's owner part on a real
// folder that can't be opened.
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

constexpr const char* kWork = "record";
constexpr owner::Id kGroupSize = 3;

// Three members, all of which try for one standing work. A message takes a millisecond; every node
// ticks each 20 ms.
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
    owner::NodeTerms terms;
    terms.self = id;
    terms.group = {1, 2, 3};
    owner::Job job;
    job.work = kWork;
    job.standing = true;
    terms.jobs = {job};
    owner::Node::Ways ways;
    ways.send = [this, id](owner::Id to, std::string bytes) {
      wire_.push_back({now_ + 1, id, to, std::move(bytes)});
    };
    ways.say = [this](const std::string& line) {
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
      Look();
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
  // Who may act under the work just now; 0: nobody.
  owner::Id holder() {
    for (auto& [id, process] : processes_)
      if (process.node && ActsAt(*process.node))
        return id;
    return 0;
  }
  bool IsWhole() {
    std::set<std::string> tables;
    for (owner::Id id = 1; id <= kGroupSize; ++id) {
      if (!Runs(id))
        return false;
      Group* group = Node(id).group();
      if (!group || group->standing() != Group::Standing::kMember)
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
  std::size_t two_acted = 0;
  std::size_t tokens_repeated = 0;
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
    for (const auto& held : node.agent().held())
      if (now_ < held.until)
        return true;
    return false;
  }
  void NoteGrant(const std::string& line) {
    unsigned long long token = 0;
    if (std::sscanf(line.c_str(), "owner of record token %llu", &token) != 1)
      return;
    if (token <= highest_token_)
      ++tokens_repeated;
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
  void Look() {
    int acting = 0;
    for (auto& [id, process] : processes_)
      acting += process.node && ActsAt(*process.node);
    if (acting > 1)
      ++two_acted;
  }

  std::map<owner::Id, Process> processes_;
  std::deque<Message> wire_;
  Ms now_ = 1e6;
  std::uint64_t highest_token_ = 0;
};

constexpr Ms kLeaseTime = 5000;   // above what a lease lasts by the leader's clock
constexpr Ms kFailingFor = 4000;  // a disk without space
constexpr Ms kSettleTime = 60000;

// How many calls member 1's disk sees while all is well: each of them is made to fail below.
std::uint64_t CallsOfAQuietRun() {
  Cluster cluster;
  cluster.StartAll();
  cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsWhole(); });
  REQUIRE(cluster.IsWhole());
  cluster.Run(cluster.now() + 3000);
  return cluster.disks[1].calls;
}

}  // namespace

TEST_CASE(
    "a member whose disk fails at any call for a while takes part again once there is space") {
  std::uint64_t calls = CallsOfAQuietRun();
  REQUIRE(calls >= 8);
  std::size_t failures = 0;
  for (Fate fate : {Fate::kFailsBefore, Fate::kFailsAfter})
    for (std::uint64_t call = 1; call <= calls; ++call) {
      CAPTURE(call);
      Cluster cluster;
      Ms fails_until = -1;
      cluster.disks[1].fate = [&](std::uint64_t number) {
        if (number == call)
          fails_until = cluster.now() + kFailingFor;
        bool fails = cluster.now() < fails_until;
        failures += fails;
        return fails ? fate : Fate::kWorks;
      };
      cluster.StartAll();
      cluster.Run(cluster.now() + kSettleTime, [&] { return fails_until >= 0; });
      REQUIRE(fails_until >= 0);
      cluster.Run(fails_until);
      cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsWhole(); });
      CHECK(cluster.IsWhole());
      CHECK(cluster.VotesChanged() == 0);
      CHECK(cluster.two_acted == 0);
      CHECK(cluster.tokens_repeated == 0);
      CHECK(cluster.disks[1].most_open == 1);
    }
  CHECK(failures >= 2 * calls);
}

TEST_CASE("a member killed within any call, whether the write landed or not, takes part again") {
  std::uint64_t calls = CallsOfAQuietRun();
  for (Fate fate : {Fate::kFailsBefore, Fate::kFailsAfter})
    for (std::uint64_t call = 1; call <= calls; ++call) {
      CAPTURE(call);
      Cluster cluster;
      bool killed = false;
      cluster.disks[1].fate = [&](std::uint64_t number) {
        killed = killed || number == call;
        return number == call ? fate : Fate::kWorks;
      };
      cluster.StartAll();
      cluster.Run(cluster.now() + kSettleTime, [&] { return killed; });
      REQUIRE(killed);
      cluster.Stop(1);
      cluster.Run(cluster.now() + 300);
      cluster.Start(1);
      cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsWhole(); });
      // A founder that is killed before its own disk has the founding can't show that it promised
      // nothing: it is lost, and says so.
      Group* group = cluster.Node(1).group();
      bool is_lost = group && group->standing() == Group::Standing::kLost;
      CHECK((cluster.IsWhole() || is_lost));
      if (is_lost)
        CHECK(cluster.disks[1].calls <= 4);
      CHECK(cluster.holder() != 0);
      CHECK(cluster.VotesChanged() == 0);
      CHECK(cluster.two_acted == 0);
      CHECK(cluster.tokens_repeated == 0);
    }
}

TEST_CASE(
    "all members killed between the founding and the log's first entry found the group at their "
    "next start") {
  Cluster cluster;
  std::set<owner::Id> founded;
  for (owner::Id id = 1; id <= kGroupSize; ++id)
    cluster.disks[id].fate = [&, id](std::uint64_t) {
      // All that follows the founding fails until the kill.
      if (!cluster.disks[id].kept.load().founding.empty())
        founded.insert(id);
      return founded.count(id) != 0 ? Fate::kFailsBefore : Fate::kWorks;
    };
  cluster.StartAll();
  cluster.Run(cluster.now() + kSettleTime, [&] { return founded.size() == kGroupSize; });
  REQUIRE(founded.size() == kGroupSize);
  for (owner::Id id = 1; id <= kGroupSize; ++id) {
    cluster.Stop(id);
    cluster.disks[id].fate = {};
    CHECK(cluster.disks[id].kept.load().entries.empty());
  }
  cluster.StartAll();
  cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsWhole(); });
  CHECK(cluster.IsWhole());
}

TEST_CASE(
    "a lease holder that no majority can write for gives up in time, and the work is owned again "
    "once there "
    "is space") {
  Cluster cluster;
  cluster.StartAll();
  cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsWhole(); });
  REQUIRE(cluster.IsWhole());
  owner::Id holder = cluster.holder();
  bool full = true;
  for (owner::Id id = 1; id <= kGroupSize; ++id)
    cluster.disks[id].fate = [&](std::uint64_t) {
      return full ? Fate::kFailsBefore : Fate::kWorks;
    };
  cluster.Run(cluster.now() + kLeaseTime);
  CHECK(cluster.holder() == 0);
  CHECK(cluster.Node(holder).agent().held().empty());
  for (owner::Id id = 1; id <= kGroupSize; ++id)
    CHECK_FALSE(cluster.HasStore(id));
  full = false;
  cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsWhole(); });
  CHECK(cluster.IsWhole());
  CHECK(cluster.two_acted == 0);
  CHECK(cluster.tokens_repeated == 0);
  CHECK(cluster.VotesChanged() == 0);
}

TEST_CASE("a store that comes back empty does not pass for the one that had promised") {
  Cluster cluster;
  cluster.StartAll();
  cluster.Run(cluster.now() + kSettleTime, [&] { return cluster.IsWhole(); });
  REQUIRE(cluster.IsWhole());
  bool failed = false;
  cluster.disks[1].fate = [&](std::uint64_t) {
    if (failed)
      return Fate::kWorks;
    failed = true;
    return Fate::kFailsBefore;
  };
  cluster.Run(cluster.now() + kSettleTime, [&] { return failed; });
  cluster.disks[1].kept = owner::MemoryStore();
  auto is_lost = [&] {
    Group* group = cluster.Node(1).group();
    return group && group->standing() == Group::Standing::kLost;
  };
  cluster.Run(cluster.now() + kSettleTime, is_lost);
  CHECK(is_lost());
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
  std::string Store(owner::Id id) const {
    return folder + "/" + std::to_string(id);
  }
  loop::Address at(owner::Id id) const {
    return *loop::ReadAddress("127.0.0." + std::to_string(40 + id) + ":" + std::to_string(port));
  }
  void Start(owner::Id id) {
    front::OwnerTerms terms;
    terms.on = true;
    terms.self = id;
    terms.listen = at(id);
    terms.store = Store(id);
    terms.group = {1, 2, 3};
    for (owner::Id other = 1; other <= kGroupSize; ++other)
      terms.at[other] = at(other);
    front::OwnerTerms::Work standing;
    standing.name = kWork;
    standing.standing = true;
    terms.works = {standing};
    terms.lease.lease = 900;
    terms.lease.margin = 60;
    terms.lease.renew_every = 200;
    terms.raft.election = 200;
    terms.raft.heartbeat = 50;
    parts[id] = std::make_unique<front::Owner>(loop, terms, id);
  }
  bool Until(const std::function<bool()>& holds) {
    constexpr Ms kAtMost = 30000;
    for (Ms end = loop.now() + kAtMost; loop.now() < end && !holds();)
      loop.RunOnce(20);
    return holds();
  }
  bool Shows(owner::Id id, const std::string& text) {
    return parts[id]->view().find(text) != std::string::npos;
  }
  bool IsOwned() {
    for (auto& [id, part] : parts)
      if (part->Holds(kWork).second)
        return true;
    return false;
  }
};

}  // namespace

TEST_CASE(
    "a front whose owner's store can't be opened starts without it, says so, and uses it once it "
    "can") {
  Fronts fronts;
  for (owner::Id id = 1; id <= kGroupSize; ++id)
    fronts.Start(id);
  REQUIRE(fronts.Until([&] { return fronts.IsOwned(); }));
  fronts.parts.erase(1);
  std::string ejected = fronts.folder + "/aside";
  std::filesystem::rename(fronts.Store(1), ejected);
  std::ofstream(fronts.Store(1)) << "not a folder";
  fronts.Start(1);
  CHECK(fronts.Shows(1, "\"group\":\"none\",\"store\":\"not used\""));
  CHECK(fronts.Until([&] { return fronts.parts[1]->group().leader_known && fronts.IsOwned(); }));
  CHECK_FALSE(fronts.parts[1]->group().lost);
  CHECK_FALSE(fronts.parts[1]->group().in_group);
  std::filesystem::remove(fronts.Store(1));
  std::filesystem::rename(ejected, fronts.Store(1));
  CHECK(fronts.Until([&] { return fronts.Shows(1, "\"group\":\"member\""); }));
  CHECK_FALSE(fronts.Shows(1, "\"store\":\"not used\""));
}
