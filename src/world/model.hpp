// A model of what the fronts serve: store caches, area caches, the head office, each store's link.
// Pure: it is told the time, asked for things, and calls back; no sockets, no clock, one seed. What
// it promises is taken from the users' brief; where that names a range, a number is drawn from it
// once at the start (`Terms`).
//
// Work is counted in transfers: a machine of capacity c carries c answers at once at the pace at
// which one client is sent one, its sending time each; more share it evenly. A fill runs at up to
// `fillPace` times that pace.
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
using RandomEngine = boost::random::mt19937_64;

double Between(RandomEngine& random_engine, double low, double high);

// The name of a popular thing, the same in every run; `store` -1: wanted everywhere. Other names
// beginning with f are of things of odd size.
std::string ThingName(int request_class, int store, std::size_t rank);
std::string HexName(std::uint64_t number);

enum class Effect {
  kIdempotent,
  kIdempotentWithKey,
  kExclusive
};
enum class Grade {
  kStore,
  kArea,
  kOffice
};

struct RequestClassTerms {
  std::string name;
  Effect effect = Effect::kIdempotent;
  double share = 0;        // of the pulls
  Ms sending = 0;          // mean, at full pace
  double size_spread = 0;  // sigma of the sizes' logarithm
  double size_scale =
      1;  // so that what is asked for has the mean above, whatever sizes popular things drew
  Ms agreed = 0;
  Ms expiry = 0;
  double agreed_stretch = 0;
  double payoff = 1;
  double late_worth = 0;
  Ms fresh_for = 0;  // 0: until purged
  bool never_kept = false;
  Ms memory = 0;  // ticketed: how long its repeats are known
  double least_parts = 1;
  double most_parts = 1;
  Ms least_gap = 0;
  Ms most_gap = 0;  // between parts
  double zipf = 1;
  double local = 0;  // popularity; share of pulls for objects wanted at one store only
  int objects = 0;   // that are popular at all
};

// What holds for the whole run; ranges are drawn by whoever fills it.
struct Terms {
  std::vector<RequestClassTerms> request_classes;
  double flow_kb_per_ms = 8;  // at which one client is sent an answer
  double fill_pace = 3;
  Ms office_answers = 40;
  double office_multiple = 2.5;  // of its capacity, for `officeWindow`: then it stops
  Ms office_window = 3000;
  int office_stops = 2;  // at most
  Ms fill_timeout = 2500;
  Ms purge_done = 6000;
  Ms cold_window = 1000;
  double cold_store_from = 0.29;
  double cold_store_multiple = 2;
  double cold_area_from = 0.079;
  double cold_area_multiple = 2;
  Ms cold_store_lasts = 17000;
  Ms cold_area_lasts = 22000;
  double error_rate = 0.0002;
  Ms report_every = 500;
  Ms report_late = 150;
};

struct Make {
  std::string id;
  Grade grade = Grade::kStore;
  int store = -1;       // whose link its fills share; -1: none
  double capacity = 6;  // transfers
  int slots = 30;
  int queue = 40;
  int fills = 30;
  double keep_kb = 1e6;
  Ms way = 5;         // to it from a store, one way
  Ms started_at = 0;  // 0: long ago, warm
};

struct ClientRequest {
  std::string id;
  std::string thing;
  std::string source;
  std::string mine;
  int request_class = 0;
  int part = 0;
  int rank = 0;
  Ms most = 0;
  Ms within = 0;
  bool join = false;
  bool held_only = false;
  bool passing = false;
  bool renew = false;
};

enum class Word {
  kHit,
  kValid,
  kNone,
  kShed,
  kFault,
  kLate
};
enum class Note {
  kNone,
  kLocal,
  kPulled,
  kPulledFar,
  kRode,
  kExpired,
  kTurnedAway,
  kCutOff,
  kNotThere,
  kNoPlace,
  kFarFault
};

struct Reply {
  Word word = Word::kFault;
  Note note = Note::kNone;
  Ms delay = 0;
  std::string tag;
  Ms issued = 0;
  double size_kb = 0;  // of the answer, 0 without bytes
};

struct Load {
  double util = 0;
  double inflight = 0;
  double hits = 0;
  double link = 0;
};

// What the world does that the rules ask about.
class Witness {
 public:
  virtual void Ran(Ms, const std::string& /*id*/, const std::string& /*thing*/) {}
  // A machine that had started cold was sent `work` in a window in which it could bear `limit`.
  virtual void PushedOver(Ms, const std::string& /*machine*/, double /*work*/, double /*limit*/) {}
  virtual void ColdPush(const std::string& /*machine*/, double /*share of what it bears*/) {}

 protected:
  ~Witness() = default;
};

class Model {
 public:
  using At = std::function<void(Ms, std::function<void()>)>;
  using Answered = std::function<void(const Reply&)>;
  struct Bytes {
    double office = 0;
    double links = 0;  // KB that left the office; that came in over the stores' links
    double asked = 0;
    double wasted = 0;  // transfer-ms of work done for pulls, and for what nobody took
  };

  Model(Terms terms, std::uint64_t seed, Ms start, At at, Witness& witness);
  ~Model();
  const Terms& terms() const {
    return terms_;
  }
  Bytes bytes;

  void SetLink(int store, double capacity);  // transfers
  void Add(const Make& make);                // a new process: empty, cold if it started late
  void Remove(Ms now,
              const std::string& machine);  // with all that it had open; nobody is called back
  bool Has(const std::string& machine) const {
    return machines_.count(machine) != 0;
  }

  // Returns a ticket for giveUp(); `answered` is called later, once, unless the wish is given up.
  std::uint64_t Want(Ms now, const std::string& machine, ClientRequest client_request,
                     Answered answered);
  void GiveUp(Ms now, const std::string& machine, std::uint64_t ticket);
  Load load(Ms now, const std::string& machine);  // as the machine would report it
  void ApplyPurge(Ms now, bool whole_group, const std::string& thing, int group);

  // Fronts are told from now on that it started: what came before does not count against them.
  void StartNotified(const std::string& machine);

  // ---- troubles
  void Stall(Ms now, const std::string& machine, Ms until);      // does nothing till then
  void Slow(Ms now, const std::string& machine, double factor);  // of its pace; 1: as it should
  void LateReports(Ms by) {
    reports_later_ = by;
  }

  // ---- facts of a thing, which follow from its name
  double SizeKb(int request_class, const std::string& thing) const;
  static int group(const std::string& thing);

 private:
  struct Pipe;
  struct Machine;
  struct Work;
  struct Copy {
    double size_kb = 0;
    Ms issued = 0;
    Ms used_at = 0;
    int rank = 0;
    int group = 0;
    std::uint64_t object = 0;
  };
  struct Purge {
    bool whole_group = false;
    std::uint64_t object = 0;
    int group = 0;
    Ms at = 0;
  };
  using Key = std::uint64_t;

  Copy* Holds(Machine& m, Key key, Ms now, Ms oldest);
  void Keep(Machine& m, Key key, Copy copy, Ms now);
  void Take(std::shared_ptr<Work> work, Ms now);
  void Start(std::shared_ptr<Work> work, Ms now);
  void Fill(std::shared_ptr<Work> work, Ms now);
  void Arrive(std::shared_ptr<Work> work, Ms now);  // at the source
  void Come(std::shared_ptr<Work> work, Ms now, Ms issued, Note note);
  void Send(std::shared_ptr<Work> work, Ms now, double size_kb);
  void GiveUpFill(std::shared_ptr<Work> work, Ms now);
  void FromOffice(std::shared_ptr<Machine> office, std::shared_ptr<Work> work, Ms now);
  void Fetched(std::shared_ptr<Work> far, Ms now, Ms issued);
  static std::string TagOf(const Work& work);
  void end(std::shared_ptr<Work> work, Ms now, Word word, Note note, Ms issued = 0,
           double size_kb = 0);
  void Leave(Machine& m, std::shared_ptr<Work> work, Ms now);
  void Book(Machine& m, double work, Ms now);
  void Later(Ms when, std::shared_ptr<Work> work, void (Model::*what)(std::shared_ptr<Work>, Ms));
  bool Dropped(const Copy& copy, const Machine& m, Ms now) const;
  void Sample(const std::string& machine, std::uint64_t life);
  double CapacityOf(Machine& m, Ms now) const;
  double MeanSending(int request_class) const;

  Terms terms_;
  RandomEngine random_engine_;
  Ms start_;
  At at_;
  Witness& witness_;
  Ms reports_later_ = 0;
  int office_stops_ = 0;
  std::uint64_t last_ = 0;
  std::map<std::string, std::shared_ptr<Machine>> machines_;  // emptied by remove()
  std::vector<std::unique_ptr<Pipe>> links_;                  // by store
  std::deque<Purge> purges_;                                  // emptied once done everywhere
};

}  // namespace dunlinwick::world
