// Fronts that own work, their group and the places where work is carried out, on a virtual clock
// and an in-memory network: the very nodes that a front runs (src/owner/node.*), libraft included.
// One seed is one schedule of faults, replayed exactly.
//
// Faults: pause (datagrams wait, as with SIGSTOP), kill and restart with or without what was
// stored, cuts both ways and one, delay near the lease, loss, doubling, clocks that run off and
// step, within the stated bound or past it.
#pragma once
#include <memory>
#include <queue>
#include <random>

#include "owner/node.hpp"
#include "rig/history.hpp"

namespace dunlinwick::fleet {

struct OwnerBreaks {  // each a way to be wrong, for the checker to catch
  bool no_fence = false;
  bool no_margin = false;
  bool reuse_tokens = false;
  bool grant_alone = false;
  bool from_the_start = false;
  bool no_lease = false;
};
struct OwnerTerms {
  std::size_t fronts = 5;
  std::size_t group = 3;
  std::size_t places = 2;
  std::size_t works = 2;
  std::uint64_t steps = 120;
  owner::Ms each = 100;
  owner::LeaseSettings lease;
  owner::RaftSettings raft;
  bool past_bound = false;  // clocks may run off and step past the bound: the fence must do
  bool lose_all = false;    // all members may lose what they stored, at once: a group founded anew
  int faults = 6;
  bool quiet = false;  // no faults but those a test makes
  OwnerBreaks breaks;
};
struct OwnerRun {
  std::vector<owner::Happened> history;
  std::vector<owner::Begun> works;
  std::vector<std::string> lines;   // what the fronts said, with times
  std::vector<std::string> faults;  // what was done
  std::uint64_t datagrams = 0;
  owner::Ms length = 0;
  bool clocks_kept = true;
  bool whole = true;
};

class OwnerSim {
 public:
  OwnerSim(OwnerTerms terms, std::uint64_t seed);
  ~OwnerSim();
  void RunUntil(owner::Ms t);
  owner::Ms now() const {
    return now_;
  }
  void Pause(owner::Id front, bool on);
  void Kill(owner::Id front);
  void Restart(owner::Id front, bool lost);
  void Cut(const std::vector<owner::Id>& group, bool out_only, bool on, bool places);
  void Slow(owner::Ms delay) {
    extra_ = delay;
  }
  void clock(owner::Id front, double rate, owner::Ms step);
  owner::Id holder(const std::string& work) const;  // who acts just now; 0: nobody
  bool AllOver() const;
  OwnerRun Run();  // the schedule of its seed, to its end
  OwnerRun result(bool whole);

 private:
  struct Front;
  struct Place;
  struct Flight {
    owner::Ms at;
    std::uint64_t order;
    owner::Id to;
    std::string bytes;
    bool operator>(const Flight& o) const {
      return at != o.at ? at > o.at : order > o.order;
    }
  };
  void Start(Front& f);
  void Send(owner::Id from, owner::Id to, std::string bytes);
  void Deliver(Flight one);
  double Unit() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  OwnerTerms terms_;
  std::uint64_t seed_;
  std::knuth_b random_;
  owner::Ms now_ = 0;
  owner::Ms extra_ = 0;
  double loss_ = 0;
  double doubled_ = 0;
  std::uint64_t order_ = 0;
  std::uint64_t datagrams_ = 0;
  std::vector<std::unique_ptr<Front>> fronts_;
  std::vector<std::unique_ptr<Place>> places_;
  std::priority_queue<Flight, std::vector<Flight>, std::greater<>> flights_;
  std::map<std::pair<owner::Id, owner::Id>, int> cuts_;
  OwnerRun run_;
};

}  // namespace dunlinwick::fleet
