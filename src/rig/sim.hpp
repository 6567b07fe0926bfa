// Many members of a fleet in one process, on a virtual clock and an in-memory network whose links
// fail on cue: the staged counterpart of `dunlinctl fleet up`. It runs the same pure modules as a
// front (src/members/, src/failover/), not the front's sockets; one seed replays a run exactly.
//
// Faults, each on a directed link or a member: cut (both ways or one), delay with jitter, loss,
// duplication, kill, pause (datagrams wait in the buffer, as with SIGSTOP) and restart with a new
// incarnation. Bounds: members as configured (at most a few thousand); datagrams in flight are
// dropped past 1e6.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "failover/verdict.hpp"
#include "members/swim.hpp"

namespace dunlinwick::fleet {

using Ms = double;
using members::Id;

struct Link {
  int cuts = 0;  // partitions that it lies across; they may overlap
  Ms delay = 0.2;
  Ms jitter = 0.1;  // one way, ms: loopback-like unless told otherwise
  double loss = 0;
  double duplicate = 0;
  double reorder = 0;
  double kb_per_s = 0;  // 0: no limit
  Ms busy_until = 0;
};

struct SimTerms {
  members::Settings members;
  failover::FailoverSettings failover;
  std::vector<failover::Location> places;  // by member id 0..n-1
  std::vector<int> zone_region;
  std::uint64_t seed = 1;
};

// What a run saw: members' verdicts of each other as they changed, and the fleet's verdicts.
struct Seen {
  Ms at = 0;
  Id by = 0;
  Id about = 0;
  members::State state = members::State::kAlive;
};
struct Judged {
  Ms at = 0;
  Id by = 0;
  std::uint64_t out = 0;
  std::uint32_t epoch = 0;
};

class Sim {
 public:
  explicit Sim(SimTerms terms);
  std::size_t size() const {
    return nodes_.size();
  }
  Ms now() const {
    return now_;
  }

  void RunUntil(Ms until);
  Link& link(Id from, Id to) {
    return links_[from * nodes_.size() + to];
  }
  // From (and to) the rest, once more; by -1 once less.
  void CutAround(const std::vector<Id>& group, bool one_way_out = false, int by = 1);
  void HealAll();
  void Everywhere(const std::function<void(Link&)>& change);
  void Kill(Id id);
  void Pause(Id id);
  void Resume(Id id);
  void Restart(Id id);
  // The share of its zone's caches that a member can use from now on, as its module would hold it.
  void caches(Id id, double share) {
    nodes_[id].health = share;
  }

  bool Up(Id id) const {
    return nodes_[id].up && !nodes_[id].paused;
  }
  const members::Swim& swim(Id id) const {
    return *nodes_[id].swim;
  }
  const failover::FailoverController& verdicts(Id id) const {
    return *nodes_[id].verdicts;
  }
  // Whether every member that is up takes `about` as `state` (or, for alive, as alive or suspect).
  bool AllSee(Id about, members::State state) const;
  bool AllJudge(
      std::uint64_t out) const;  // every member that is up keeps that verdict, at one epoch

  const std::vector<Seen>& seen() const {
    return seen_;
  }
  const std::vector<Judged>& judged() const {
    return judged_;
  }
  std::uint64_t Messages() const {
    return messages_;
  }
  std::uint64_t bytes() const {
    return bytes_;
  }

 private:
  struct Node {
    std::unique_ptr<members::Swim> swim;
    std::unique_ptr<failover::FailoverController> verdicts;
    bool up = true;
    bool paused = false;
    double health = 1;
    std::vector<members::Message> waiting;  // while paused
    std::uint32_t incarnation = 1;
    Ms wake = 0;
  };
  struct Flight {
    Ms at;
    std::uint64_t order;
    members::Message m;
    bool operator>(const Flight& o) const {
      return std::tie(at, order) > std::tie(o.at, o.order);
    }
  };

  void Start(Id id);
  void Send(const std::vector<members::Message>& out);
  void Deliver(members::Message m);
  // After a member heard or ticked: its changes; its opinion and verdict where something changed,
  // or `always`.
  void Settle(Id id, bool always);

  SimTerms terms_;
  std::vector<Node> nodes_;
  std::vector<Link> links_;
  std::priority_queue<Flight, std::vector<Flight>, std::greater<>> flights_;
  std::knuth_b random_;
  Ms now_ = 0;
  Ms last_sweep_ = 0;
  std::uint64_t order_ = 0;
  std::uint64_t messages_ = 0;
  std::uint64_t bytes_ = 0;
  std::vector<Seen> seen_;
  std::vector<Judged> judged_;
};

// Bytes of a message on the wire (src/members/wire.hpp) with UDP and IP headers, for the figures.
std::size_t WireSize(const members::Message& m);

}  // namespace dunlinwick::fleet
