// A model of what the fronts serve: store caches, area caches, the head office, each store's link. Pure: it is
// told the time, asked for things, and calls back; no sockets, no clock, one seed. What it promises is taken from
// the users' brief; where that names a range, a number is drawn from it once at the start (`Terms`).
//
// Work is counted in transfers: a machine of capacity c carries c answers at once at the pace at which one client
// is sent one, its sending time each; more share it evenly. A fill runs at up to `fillPace` times that pace.
#pragma once
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace dunlinwick::world {

using Ms = double;
using Dice = boost::random::mt19937_64;

double between(Dice& dice, double low, double high);

// The name of a popular thing, the same in every run; `store` -1: wanted everywhere. Other names beginning with f
// are of things of odd size.
std::string thingName(int offering, int store, std::size_t rank);
std::string hexName(std::uint64_t number);

enum class Effect { rerunnable, ticketed, exclusive };
enum class Grade { store, area, office };

struct OfferingTerms {
  std::string name;
  Effect effect = Effect::rerunnable;
  double share = 0;         // of the pulls
  Ms sending = 0;           // mean, at full pace
  double sizeSpread = 0;    // sigma of the sizes' logarithm
  double sizeScale = 1;     // so that what is asked for has the mean above, whatever sizes popular things drew
  Ms agreed = 0, expiry = 0;
  double agreedStretch = 0, payoff = 1, lateWorth = 0;
  Ms freshFor = 0;          // 0: until purged
  bool neverKept = false;
  Ms memory = 0;            // ticketed: how long its repeats are known
  double leastParts = 1, mostParts = 1;
  Ms leastGap = 0, mostGap = 0;  // between parts
  double zipf = 1, local = 0;    // popularity; share of pulls for objects wanted at one store only
  int objects = 0;               // that are popular at all
};

// What holds for the whole run; ranges are drawn by whoever fills it.
struct Terms {
  std::vector<OfferingTerms> offerings;
  double flowKbPerMs = 8;  // at which one client is sent an answer
  double fillPace = 3;
  Ms officeAnswers = 40;
  double officeMultiple = 2.5;  // of its capacity, for `officeWindow`: then it stops
  Ms officeWindow = 3000;
  int officeStops = 2;  // at most
  Ms fillTimeout = 2500;
  Ms purgeDone = 6000;
  Ms coldWindow = 1000;
  double coldStoreFrom = 0.29, coldStoreMultiple = 2, coldAreaFrom = 0.079, coldAreaMultiple = 2;
  Ms coldStoreLasts = 17000, coldAreaLasts = 22000;
  double errorRate = 0.0002;
  Ms reportEvery = 500, reportLate = 150;
};

struct Make {
  std::string id;
  Grade grade = Grade::store;
  int store = -1;         // whose link its fills share; -1: none
  double capacity = 6;    // transfers
  int slots = 30, queue = 40, fills = 30;
  double keepKb = 1e6;
  Ms way = 5;             // to it from a store, one way
  Ms startedAt = 0;       // 0: long ago, warm
};

struct Wish {
  std::string id, thing, source, mine;
  int offering = 0, part = 0, rank = 0;
  Ms most = 0, within = 0;
  bool join = false, heldOnly = false, passing = false, renew = false;
};

enum class Word { hit, valid, none, shed, fault, late };
enum class Note { none, local, pulled, pulledFar, rode, expired, turnedAway, cutOff, notThere, noPlace, farFault };

struct Reply {
  Word word = Word::fault;
  Note note = Note::none;
  Ms delay = 0;
  std::string tag;
  Ms issued = 0;
  double sizeKb = 0;  // of the answer, 0 without bytes
};

struct Load {
  double util = 0, inflight = 0, hits = 0, link = 0;
};

// What the world does that the rules ask about.
class Witness {
 public:
  virtual void ran(Ms, const std::string& /*id*/, const std::string& /*thing*/) {}
  // A machine that had started cold was sent `work` in a window in which it could bear `limit`.
  virtual void pushedOver(Ms, const std::string& /*machine*/, double /*work*/, double /*limit*/) {}
  virtual void coldPush(const std::string& /*machine*/, double /*share of what it bears*/) {}

 protected:
  ~Witness() = default;
};

class Model {
 public:
  using At = std::function<void(Ms, std::function<void()>)>;
  using Answered = std::function<void(const Reply&)>;
  struct Bytes {
    double office = 0, links = 0;  // KB that left the office; that came in over the stores' links
    double asked = 0, wasted = 0;  // transfer-ms of work done for pulls, and for what nobody took
  };

  Model(Terms terms, std::uint64_t seed, Ms start, At at, Witness& witness);
  ~Model();
  const Terms& terms() const { return terms_; }
  Bytes bytes;

  void setLink(int store, double capacity);  // transfers
  void add(const Make& make);                // a new process: empty, cold if it started late
  void remove(Ms now, const std::string& machine);   // with all that it had open; nobody is called back
  bool has(const std::string& machine) const { return machines_.count(machine) != 0; }

  // Returns a ticket for giveUp(); `answered` is called later, once, unless the wish is given up.
  std::uint64_t want(Ms now, const std::string& machine, Wish wish, Answered answered);
  void giveUp(Ms now, const std::string& machine, std::uint64_t ticket);
  Load load(Ms now, const std::string& machine);  // as the machine would report it
  void purge(Ms now, bool wholeGroup, const std::string& thing, int group);

  // Fronts are told from now on that it started: what came before does not count against them.
  void startTold(const std::string& machine);

  // ---- troubles
  void stall(Ms now, const std::string& machine, Ms until);      // does nothing till then
  void slow(Ms now, const std::string& machine, double factor);  // of its pace; 1: as it should
  void lateReports(Ms by) { reportsLater_ = by; }

  // ---- facts of a thing, which follow from its name
  double sizeKb(int offering, const std::string& thing) const;
  static int group(const std::string& thing);

 private:
  struct Pipe;
  struct Machine;
  struct Work;
  struct Copy {
    double sizeKb = 0;
    Ms issued = 0, usedAt = 0;
    int rank = 0, group = 0;
    std::uint64_t object = 0;
  };
  struct Purge {
    bool wholeGroup = false;
    std::uint64_t object = 0;
    int group = 0;
    Ms at = 0;
  };
  using Key = std::uint64_t;

  Copy* holds(Machine& m, Key key, Ms now, Ms oldest);
  void keep(Machine& m, Key key, Copy copy, Ms now);
  void take(std::shared_ptr<Work> work, Ms now);
  void start(std::shared_ptr<Work> work, Ms now);
  void fill(std::shared_ptr<Work> work, Ms now);
  void arrive(std::shared_ptr<Work> work, Ms now);  // at the source
  void come(std::shared_ptr<Work> work, Ms now, Ms issued, Note note);
  void send(std::shared_ptr<Work> work, Ms now, double sizeKb);
  void giveUpFill(std::shared_ptr<Work> work, Ms now);
  void fromOffice(std::shared_ptr<Machine> office, std::shared_ptr<Work> work, Ms now);
  void fetched(std::shared_ptr<Work> far, Ms now, Ms issued);
  static std::string tagOf(const Work& work);
  void end(std::shared_ptr<Work> work, Ms now, Word word, Note note, Ms issued = 0, double sizeKb = 0);
  void leave(Machine& m, std::shared_ptr<Work> work, Ms now);
  void book(Machine& m, double work, Ms now);
  void later(Ms when, std::shared_ptr<Work> work, void (Model::*what)(std::shared_ptr<Work>, Ms));
  bool dropped(const Copy& copy, const Machine& m, Ms now) const;
  void sample(const std::string& machine, std::uint64_t life);
  double capacityOf(Machine& m, Ms now) const;
  double meanSending(int offering) const;

  Terms terms_;
  Dice dice_;
  Ms start_;
  At at_;
  Witness& witness_;
  Ms reportsLater_ = 0;
  int officeStops_ = 0;
  std::uint64_t last_ = 0;
  std::map<std::string, std::shared_ptr<Machine>> machines_;  // emptied by remove()
  std::vector<std::unique_ptr<Pipe>> links_;                  // by store
  std::deque<Purge> purges_;                                  // emptied once done everywhere
};

}  // namespace dunlinwick::world
