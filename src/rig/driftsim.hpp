// Many fronts with their Drift machines in virtual time: a model record that tells approvals with delays, owners in turn with
// tokens, cuts, loss, pauses, restarts, changes by hand, blips, versions nobody approved, contents nobody else has. Seeded; emulated,
// no sockets. What is true (memories, the record, who was told which token) is kept here and never shown to the machines.
#pragma once
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "drift/drift.hpp"

namespace dunlinwick::rig {

using drift::Form;
using drift::Id;
using drift::Ms;
using drift::Token;
using drift::Version;

class DriftJudge;

// Ways to break it, each to be caught by the judge.
enum class DriftFlaw { none, fileNotMemory, wholeZone, oneFrontAlone, noHysteresis, staleNotFenced, convergingForever };
const char* word(DriftFlaw flaw);

struct DriftSimTerms {
  std::size_t fronts = 9;
  int zones = 3;
  drift::Terms terms;            // `fronts` is set by the rig
  double loss = 0;
  double late = 0.1;             // of the repairs asked for: 2 to 8 s on their way
  Ms delayLeast = 5, delayMost = 60, recordMost = 1500;
  bool owners = true;            // one at a time, from the start on
  DriftFlaw flaw = DriftFlaw::none;
  bool viaBytes = false;         // each word through encode and decode
};

class DriftSim {
 public:
  DriftSim(DriftSimTerms terms, std::uint64_t seed);
  ~DriftSim();
  void runUntil(Ms at);
  Ms now() const { return now_; }

  // ---- what happens; each takes effect now
  Version approve(const std::string& key, Form form, Ms holdFor);  // key as in drift.hpp; replaces the newest of the key
  Form wanted(Id front) const;
  Version wantedVersion(Id front) const;
  void byHand(Id front, Form form, bool file = false);  // SIGHUP: memory changes; `file` is only for flaws: the file is what it was
  void blip(Id front, Ms lasts);                        // another form, so briefly that it is no drift
  void claim(Id front, Version version, Form form);     // a version that nobody approved, taken as approved and active
  void fork(Id front, Form form);                       // the newest version, other content
  void cut(const std::set<Id>& side, bool on);          // from the others, and from the record where it is the smaller side
  void pause(Id front, bool on);
  void restart(Id front, bool keepsForm = true);
  void setClock(Id front, Ms unixAtZero);               // its wall clock: unixAtZero + now
  void give(Id front);                                  // a new owner with a new token; the one before is told where it can be reached
  void ownerDies();                                     // without notice
  void pulls(Id front, double abandoned, double declined);
  std::function<void(Id front, const Form& form)> onTakeUp;
  bool autoOwner = true;                                // another owner by itself after a lease without one

  // ---- what is so
  const std::vector<Id>& ids() const { return ids_; }
  int zone(Id front) const;
  const drift::Drift& at(Id front) const;
  const Form& memory(Id front) const;
  Id owner() const { return owner_; }
  Token token() const { return token_; }
  bool up(Id front) const;       // neither paused nor out of service
  bool reachable(Id front) const;  // up, and on the larger side
  bool truthBad(Id front) const;   // memory or what it takes for approved is not what the record wants
  bool takingUp(Id front) const;
  Ms downSince(Id front) const;  // -1: it is up
  Ms termEnds(Id front) const;   // by when all hold its approval to be due, whatever their clocks say
  std::size_t astray() const;    // fronts whose record is wrong
  bool ruleDiffers(Id front) const;
  static drift::Classes classes();
  std::uint64_t datagrams() const { return datagrams_; }
  std::uint64_t bytes() const { return bytes_; }
  std::uint64_t repairs() const { return takeUps_; }
  const DriftSimTerms& terms() const { return t_; }
  const drift::Terms& honest() const { return honest_; }   // the terms a front should go by, whatever flaw it has
  DriftJudge& judge() { return *judge_; }

 private:
  struct Front;
  struct Happens {
    Ms at;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Happens& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  void later(Ms in, std::function<void()> what);
  void carry(Id from, std::vector<drift::Action> actions);
  void event(Id front, const drift::Event& e);
  void deliver(Id from, Id to, drift::Told told);
  void deliverRepair(Id from, Id to, drift::Repair r);
  void tellRecord(Id front);
  void start(Id front);
  void tick(Id front);
  std::string keyOf(Id front) const;
  bool linked(Id a, Id b) const;
  Ms chance(Ms least, Ms most);

  DriftSimTerms t_;
  drift::Terms honest_;
  std::knuth_b random_;
  Ms now_ = 0;
  std::uint64_t order_ = 0, datagrams_ = 0, bytes_ = 0, takeUps_ = 0;
  std::priority_queue<Happens> queue_;
  std::vector<Id> ids_;
  std::map<Id, std::unique_ptr<Front>> fronts_;
  struct Entry { Version version; drift::Approval approval; Ms at; };
  std::map<std::string, Entry> record_;
  Version offset_ = 0;
  std::set<Id> side_;
  Id owner_ = 0;
  Token token_ = 0;
  std::unique_ptr<DriftJudge> judge_;
};

}  // namespace dunlinwick::rig
