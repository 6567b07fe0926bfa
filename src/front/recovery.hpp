// The recovery component of a front: sends hello messages to the other fronts while any of them is
// recovering, and turns the decisions of its pure module (src/recovery/) into facts for the router
// and into log lines:
//   recovery store good token 1140... offset 41 incarnation 1764... at 1764629612345
//   recovery phase record by condition: REASON at ...  ("by time" when the phase's time ran out)
//   recovery loss whole restarted 9 kept running 0: nothing was lost at ...
//   recovery corrupted store of front 3: REASON at ...
//   recovery admits 0.10,0.05 certain only at ...
#pragma once
#include <memory>

#include "front/layer_terms.hpp"
#include "front/part.hpp"
#include "loop/loop.hpp"

namespace dunlinwick::front {

class RecoveryComponent final : public FleetComponent {
 public:
  struct State {  // of the other components, asked for each time the timer fires
    recovery::GroupState group;
    recovery::RecordState record;
    recovery::ConfigurationState rules;
    bool overloaded = false;
  };
  struct Callbacks {
    std::function<bool(peers::Id to, std::string message)> send;
    std::function<State()> state;
    // Admitted share by request class; 0 for a class that may not be served while only certain ones
    // are.
    std::function<void(std::vector<double> by_request_class, Ms retry_after)> admit;
    std::function<void(peers::Id from, std::uint64_t incarnation)> incarnation_received;
    // The incarnation of another front that this front's disk has witnessed; 0: none.
    std::function<std::uint64_t(peers::Id of)> witnessed_incarnation;
  };
  RecoveryComponent(loop::Loop& loop, const RecoverySettings& settings, peers::Id self,
                    std::vector<peers::Id> fronts, const recovery::StoreInspection& store,
                    std::uint64_t incarnation, Callbacks callbacks);
  peers::Channel channel() const override {
    return peers::Channel::kRecovery;
  }
  void HandleMessage(peers::Id from, std::span<const char> message) override;
  void HandleTimer() override;
  Ms NextTimerAt() const override;
  std::string StatusJson() const override;
  bool MayAcquireLeases() const;
  recovery::Phase phase() const;
  recovery::PersistedMinimums persisted_minimums() const;

 private:
  void Execute(const std::vector<recovery::Action>& actions);
  loop::Loop& loop_;
  Callbacks callbacks_;
  std::unique_ptr<recovery::Recovery> recovery_;
  bool certain_only_ = true;
  Ms admission_logged_at_ = -1e15;
  Ms next_timer_at_ = 0;
};

}  // namespace dunlinwick::front
