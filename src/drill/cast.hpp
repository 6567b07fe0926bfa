// The far sides of a front, on its own loop's ground: machines that speak the caches' line protocol
// out of the model, the notice board, and clients. They run on the staged ground and on sockets
// alike, and tell the checker what they see. Whatever the model answers later is sent by way of
// `Act`, which lets the process go on.
#pragma once
#include <functional>
#include <memory>

#include "loop/listener.hpp"
#include "rules/rules.hpp"
#include "world/model.hpp"

namespace dunlinwick::drill {

using loop::Address;
using loop::Ms;
using Tell = std::function<void(rules::Observation)>;
using Act = std::function<void(const std::function<void()>&)>;

// An answer's bytes: the tag over and over, so that a client can tell whether they are the tag's
// own.
std::string BodyOf(const std::string& tag, double size_kb, double bytes_per_kb);

// What goes wrong with a machine's answers.
struct Corrupted {
  double swallowed = 0;
  double broken_off = 0;
  double noise = 0;  // shares
};

class MachineSpeaker {
 public:
  struct Setup {
    std::string id;
    Address at{};
    std::vector<std::string> request_classes;
    double bytes_per_kb = 0.25;
    std::uint64_t seed = 1;
  };
  MachineSpeaker(loop::Loop& loop, Act act, world::Model& model, Tell tell, Setup setup);
  ~MachineSpeaker();
  Corrupted corrupted;

 private:
  class Caller;
  loop::Loop& loop_;
  Act act_;
  world::Model& model_;
  Tell tell_;
  Setup setup_;
  world::RandomEngine random_engine_;
  std::uint64_t last_ = 0;
  std::map<std::uint64_t, std::shared_ptr<Caller>> callers_;  // emptied as they end
  loop::Listener listener_;
};

// Publishes numbered events; every watcher is told those it lacks, in order.
class DiscoverySpeaker {
 public:
  // Each front has one of its own, so that it is known who was told. `told`: an event was written
  // to it.
  using Notified = std::function<void(std::uint64_t event)>;
  // `first`: the number of the first event to come; those before it are known to whoever starts.
  DiscoverySpeaker(loop::Loop& loop, const Address& at, std::uint64_t first, Notified notified);
  ~DiscoverySpeaker();
  std::uint64_t Publish(std::string json);  // without its "rev"; returns the number
  std::uint64_t Last() const {
    return first_ + events_.size() - 1;
  }
  void BreakOff();          // ends all watches in the middle of a line
  void StopUntil(Ms when);  // stays open and says nothing

 private:
  class Watcher;
  void SayNumber();
  loop::Loop& loop_;
  Notified notified_;
  std::uint64_t first_;
  std::uint64_t last_ = 0;
  std::uint64_t timer_ = 0;
  Ms silent_until_ = 0;
  std::vector<std::string> events_;  // by the run's length
  std::map<std::uint64_t, std::shared_ptr<Watcher>> watchers_;
  loop::Listener listener_;
};

// ---- clients

struct ClientTerms {
  double requests_per_s = 60;
  int retries = 1;
  Ms wait = 100;          // before a retry; 0: at once
  double honour = 0.6;    // of those who are told when to come back
  double shortest = 0.5;  // a try is given up after this much to all of the offering's expiry
  double impatient = 0.002;
  double swing = 0.2;
  Ms notice = 2000;  // for which clients go on coming to a dead front
  double bytes_per_kb = 0.25;
};

// What clients asked for and got, by the brief's definition of service.
struct Takings {
  struct Sum {
    double asked = 0;
    double got = 0;
    std::uint64_t requests = 0;
  };
  std::vector<Sum> by_request_class;
  std::vector<Sum> by_ten_seconds;
  std::uint64_t tries = 0;
  std::uint64_t finished = 0;
  std::uint64_t unchanged = 0;
  std::uint64_t declined = 0;
  std::uint64_t abandoned = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t refused = 0;
  std::uint64_t left = 0;
  std::uint64_t late = 0;
  std::uint64_t late_failures = 0;
  std::vector<double> took;  // of the finished, first bucket under 1 ms, each next a fifth longer
  double Service() const;    // of the whole run
  double WorstTen() const;   // of the worst ten seconds
  std::pair<int, double> WorstRequestClass() const;
};

class Clients {
 public:
  struct FrontAt {
    std::string name;
    Address at{};
  };
  Clients(loop::Loop& loop, const world::Model& model, Tell tell, Takings& takings,
          ClientTerms terms, int store, std::vector<FrontAt> fronts, std::uint64_t seed, Ms start,
          Ms end);
  ~Clients();
  std::size_t Open() const;
  // A planned stop is known to clients: no new connections from then, no requests on open ones from
  // then.
  void Stopping(const std::string& front, Ms new_until, Ms until);
  std::string AnyPopular();  // a thing that is often asked for
  // ---- troubles
  double crowd = 1;  // times the usual rate
  double once = 0;   // share of pulls for objects wanted only once
  double odd = 0;
  double odd_factor = 10;                             // share of pulls for objects of odd size
  std::function<void(const std::string& what)> seen;  // "handover asked"

 private:
  class Line;
  struct Want;
  void Arrive(int request_class);
  void Schedule(int request_class);
  void Ask(std::shared_ptr<Want> want);
  void Over(std::shared_ptr<Want> want, bool finished, bool may_try_again, Ms retry_after);
  std::string Thing(int request_class);
  std::string Popular(int request_class, bool local, std::size_t rank) const;
  int PickFront();

  loop::Loop& loop_;
  const world::Model& model_;
  Tell tell_;
  Takings& takings_;
  ClientTerms terms_;
  int store_;
  std::vector<FrontAt> fronts_;
  std::vector<Ms> failing_since_;
  std::vector<Ms> avoided_until_;         // by front
  std::vector<std::pair<Ms, Ms>> stops_;  // the same
  world::RandomEngine random_engine_;
  Ms start_;
  Ms end_;
  std::uint64_t last_ = 0;
  std::vector<std::vector<double>> popularity_;           // by offering: the sums of Zipf's shares
  std::map<std::uint64_t, std::shared_ptr<Line>> lines_;  // emptied as they end
  std::map<std::string, std::string> copies_;  // thing and part to tag: a client's own; at most 500
};

}  // namespace dunlinwick::drill
