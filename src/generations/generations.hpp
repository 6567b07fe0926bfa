// Changes a front's deployment settings while it serves: each approved version is one immutable
// generation with its own Router. Like Router, which it stands in for, it is a pure state machine:
// events and time go in, actions come out.
//
// Guarantees:
// - A request stays with the generation that it started in, to its last attempt: its events go to
//   that generation only. A change of settings causes no retry, cancellation or answer of a request
//   in flight.
// - A new generation serves every request that arrives after StartGeneration(). It starts with the
//   state that the fleet and the discovery service have announced (the endpoint list, purges and
//   recalls still in force, traffic weights, admission ramp), but with no learnt state: the
//   statistics of objects and classes, capacities and latencies are learnt from scratch.
// - Events about shared state (list, purges, traffic weights, probe results) go to every live
//   generation. Only the newest one sends probes, log lines and health reports, so that endpoints
//   are not probed twice.
// - A generation that is not the newest is removed by the event that ends its last request.
// Bounds: at most kMaxGenerations; StartGeneration() is rejected beyond. The purges in force are
// kept for new generations, at most kMaxPurges; beyond that no generation is started until some
// have expired, and none is ever dropped. Each generation sends an endpoint in slow start at most
// half of the front's share; older generations send only the rest of their requests, so the total
// stays near the share during a change, and within it with two live generations.
#pragma once
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "logic.hpp"

namespace dunlinwick::generations {

using GenerationNumber = std::uint64_t;  // from 1, increasing; never reused
constexpr std::size_t kMaxGenerations = 4, kMaxPurges = 20000;

class Generations {
 public:
  Generations(const DeploymentSettings& settings, std::uint64_t seed);
  std::vector<Action> Handle(Ms now, const Event& event);
  // Starts the next generation and returns its number. 0, with nothing changed, if too many are
  // live, if it has other request classes than the first (a request refers to its class by index),
  // or if too many purges are in force.
  GenerationNumber StartGeneration(Ms now, const DeploymentSettings& settings,
                                   std::vector<Action>& out);
  GenerationNumber Newest() const {
    return generations_.back().number;
  }
  const DeploymentSettings& settings() const {
    return generations_.back().settings;
  }
  struct Row {
    GenerationNumber number = 0;
    std::size_t requests = 0;
  };
  std::vector<Row> LiveGenerations() const;

 private:
  struct Generation {
    GenerationNumber number = 0;
    DeploymentSettings settings;
    std::unique_ptr<Router> router;
    std::size_t requests = 0;  // open requests
  };
  struct OpenRequest {  // until the final answer is sent and the last attempt has ended
    GenerationNumber number = 0;
    int attempts_out = 0;
    bool ended = false;
  };
  Generation* FindGeneration(GenerationNumber number);
  void Deliver(Generation& generation, Ms now, const Event& event, std::vector<Action>& out);
  void RemoveExpiredPurges(Ms now);
  void RecordState(Ms now, const Event& event);
  void CloseIfDone(std::uint32_t request);

  std::uint64_t seed_;
  GenerationNumber newest_ = 0;
  std::vector<Generation> generations_;  // oldest first; at most kMaxGenerations
  // Entries are removed when requests end.
  std::map<std::uint32_t, OpenRequest> open_requests_;
  // Announced state, which a new generation receives first.
  std::map<std::uint32_t, ListEntry> list_;  // without removed endpoints
  bool has_list_ = false;
  struct ActivePurge {
    Ms at = 0;
    Purged purge;
  };
  std::deque<ActivePurge> purges_;  // in order of arrival; removed after twice purgeDone
  Ms purge_retention_;
  std::map<std::size_t, Event> fleet_state_;  // the last event of each kind, by variant index
};

}  // namespace dunlinwick::generations
