// Many fronts with their Drift machines in virtual time: a model record that tells approvals with
// delays, owners in turn with tokens, cuts, loss, pauses, restarts, changes by hand, blips,
// versions nobody approved, contents nobody else has. Seeded; emulated, no sockets. What is true
// (memories, the record, who was told which token) is kept here and never shown to the machines.
#pragma once
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "drift/drift.hpp"

namespace dunlinwick::rig {

using drift::CanonicalConfiguration;
using drift::Id;
using drift::Ms;
using drift::Token;
using drift::Version;

class DriftJudge;

// Ways to break it, each to be caught by the judge.
enum class DriftFlaw {
  kNone,
  kFileNotMemory,
  kWholeZone,
  kOneFrontAlone,
  kNoHysteresis,
  kStaleNotFenced,
  kConvergingForever
};
const char* ToString(DriftFlaw flaw);

struct DriftSimTerms {
  std::size_t fronts = 9;
  int zones = 3;
  drift::DriftSettings terms;  // `fronts` is set by the rig
  double loss = 0;
  double late = 0.1;  // of the repairs asked for: 2 to 8 s on their way
  Ms delay_least = 5;
  Ms delay_most = 60;
  Ms record_most = 1500;
  bool owners = true;  // one at a time, from the start on
  DriftFlaw flaw = DriftFlaw::kNone;
  bool via_bytes = false;  // each word through encode and decode
};

class DriftSim {
 public:
  DriftSim(DriftSimTerms terms, std::uint64_t seed);
  ~DriftSim();
  void RunUntil(Ms at);
  Ms now() const {
    return now_;
  }

  // ---- what happens; each takes effect now
  Version Approve(const std::string& key, CanonicalConfiguration form,
                  Ms hold_for);  // key as in drift.hpp; replaces the newest of the key
  CanonicalConfiguration Wanted(Id front) const;
  Version WantedVersion(Id front) const;
  void ByHand(Id front, CanonicalConfiguration form,
              bool file = false);  // SIGHUP: memory changes; `file` is only
                                   // for flaws: the file is what it was
  void Blip(Id front, Ms lasts);   // another form, so briefly that it is no drift
  void Claim(
      Id front, Version version,
      CanonicalConfiguration form);  // a version that nobody approved, taken as approved and active
  void Fork(Id front, CanonicalConfiguration form);  // the newest version, other content
  void Cut(const std::set<Id>& side,
           bool on);  // from the others, and from the record where it is the smaller side
  void Pause(Id front, bool on);
  void Restart(Id front, bool keeps_form = true);
  void SetClock(Id front, Ms unix_at_zero);  // its wall clock: unixAtZero + now
  void Give(
      Id front);     // a new owner with a new token; the one before is told where it can be reached
  void OwnerDies();  // without notice
  void requests(Id front, double abandoned, double declined);
  std::function<void(Id front, const CanonicalConfiguration& form)> on_take_up;
  bool auto_owner = true;  // another owner by itself after a lease without one

  // ---- what is so
  const std::vector<Id>& Ids() const {
    return ids_;
  }
  int Zone(Id front) const;
  const drift::Drift& at(Id front) const;
  const CanonicalConfiguration& memory(Id front) const;
  Id owner() const {
    return owner_;
  }
  Token token() const {
    return token_;
  }
  bool Up(Id front) const;         // neither paused nor out of service
  bool Reachable(Id front) const;  // up, and on the larger side
  bool TruthBad(
      Id front) const;  // memory or what it takes for approved is not what the record wants
  bool TakingUp(Id front) const;
  Ms DownSince(Id front) const;  // -1: it is up
  Ms TermEnds(
      Id front) const;  // by when all hold its approval to be due, whatever their clocks say
  std::size_t Drifted() const;  // fronts whose record is wrong
  bool RuleDiffers(Id front) const;
  static drift::FieldImpactMap classes();
  std::uint64_t Datagrams() const {
    return datagrams_;
  }
  std::uint64_t bytes() const {
    return bytes_;
  }
  std::uint64_t Repairs() const {
    return take_ups_;
  }
  const DriftSimTerms& terms() const {
    return t_;
  }
  const drift::DriftSettings& Honest() const {
    return honest_;
  }  // the terms a front should go by, whatever flaw it has
  DriftJudge& CheckHistory() {
    return *judge_;
  }

 private:
  struct Front;
  struct Happens {
    Ms at;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Happens& o) const {
      return at != o.at ? at > o.at : order > o.order;
    }
  };
  void Later(Ms in, std::function<void()> what);
  void Carry(Id from, std::vector<drift::Action> actions);
  void event(Id front, const drift::Event& e);
  void Deliver(Id from, Id to, drift::ActiveReport notified);
  void DeliverRepair(Id from, Id to, drift::Repair r);
  void TellRecord(Id front);
  void Start(Id front);
  void TickFront(Id front);
  std::string KeyOf(Id front) const;
  bool Linked(Id a, Id b) const;
  Ms Chance(Ms least, Ms most);

  DriftSimTerms t_;
  drift::DriftSettings honest_;
  std::knuth_b random_;
  Ms now_ = 0;
  std::uint64_t order_ = 0;
  std::uint64_t datagrams_ = 0;
  std::uint64_t bytes_ = 0;
  std::uint64_t take_ups_ = 0;
  std::priority_queue<Happens> queue_;
  std::vector<Id> ids_;
  std::map<Id, std::unique_ptr<Front>> fronts_;
  struct Entry {
    Version version;
    drift::Approval approval;
    Ms at;
  };
  std::map<std::string, Entry> record_;
  Version offset_ = 0;
  std::set<Id> side_;
  Id owner_ = 0;
  Token token_ = 0;
  std::unique_ptr<DriftJudge> judge_;
};

}  // namespace dunlinwick::rig
