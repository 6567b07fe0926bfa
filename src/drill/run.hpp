// Plays a script: real fronts on the staged ground among the world's machines, boards and clients,
// with the checker looking on. All of it follows from script and seed.
#pragma once
#include <functional>
#include <memory>
#include <ostream>

#include "drill/cast.hpp"
#include "drill/script.hpp"
#include "exchange/exchange.hpp"
#include "rules/rules.hpp"

namespace dunlinwick::drill {

// A front broken on purpose, at one seam. Made anew for each front that starts.
class Break {
 public:
  virtual ~Break() = default;
  virtual exchange::RequestRouter around(exchange::RequestRouter module,
                                         const DeploymentSettings&) {
    return module;
  }
  virtual std::string Sent(std::string bytes) {
    return bytes;
  }  // what the process gives its network
  virtual bool Sends() const {
    return false;
  }  // sent() is wanted
};
using Breaker = std::function<std::unique_ptr<Break>()>;

struct Options {
  std::uint64_t seed = 1;
  Breaker breaker;                            // none: fronts as they are
  std::function<void(double done)> progress;  // 0 to 1, each virtual second
  std::ostream* trace = nullptr;              // facts, a line each
  std::ostream* logs = nullptr;               // what fronts say
  bool stop_at_breach = false;
  // On loopback sockets, in real time: the front's program, and a folder for its configurations and
  // logs.
  std::string program;
  std::string folder;
};

struct Outcome {
  std::string drill;
  std::uint64_t seed = 0;
  std::uint64_t digest = 0;
  std::uint64_t events = 0;
  Ms played = 0;
  double took_s = 0;  // real time; in no digest
  std::vector<rules::Violation> breaches;
  std::uint64_t counts[rules::kInvariantCount] = {};
  rules::ClosestMargins nearest;
  Takings takings;
  std::vector<std::string> request_classes;
  world::Model::Usage bytes;
  double asked_kb = 0;  // as many as clients were answered with
  std::uint64_t attempts = 0;
  bool Kept() const {
    return breaches.empty();
  }
  // Points by the brief's weights and penalties: 1 at most. Not the operators' score, which sets it
  // between a floor and a top of its own.
  double Points() const;
  double Wasted() const {
    return bytes.requested_work > 0 ? bytes.wasted_work / bytes.requested_work : 0;
  }
  std::vector<std::string> happened;  // troubles as they came, with their times
};

Outcome Play(const Script& script, const Options& options);

// What the checker needs to know of a script's site.
rules::Limits LimitsFor(const Script& script, std::uint64_t seed);

std::string Table(const Outcome& outcome);   // for people
std::string Report(const Outcome& outcome);  // JSON
std::string Hex(std::uint64_t digest);

}  // namespace dunlinwick::drill
