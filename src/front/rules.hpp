// The rules component of a front: reports the configuration that this front decides by in memory,
// receives the others' reports, finds drift, and carries out repairs by applying the approved
// configuration between two turns of the loop (src/generations/ for the router's deployment
// settings). The decisions are made in src/drift/. Approvals come from the record (stream rules;
// keys "fleet", "zone/NAME", "front/ID": the narrowest one applies).
//
// It logs, one line each:
//   rules approved 42 for fleet by NAME digest 0123456789abcdef at ...
//   rules found 3 drifted sheet.agreed.0 500 for 700 since ... at ...  (active, approved)
//   rules repair 3 version 42 token 1140... at ...
//   rules taken up 42 at ...
//   rules not taken up 42: REASON at ...
//   rules ejected 3: REASON at ...
//   rules stopped: REASON at ...
#pragma once
#include <memory>

#include "front/layer_terms.hpp"
#include "front/part.hpp"
#include "loop/loop.hpp"

namespace dunlinwick::front {

class RulesComponent final : public FleetComponent {
 public:
  struct Callbacks {
    std::function<bool(peers::Id to, std::string message)> send;
    std::function<drift::CanonicalConfiguration()> active_configuration;  // as in memory now
    // Applies a configuration: "" once it is active, else why it cannot be applied.
    std::function<std::string(const drift::CanonicalConfiguration&)> apply;
    std::function<std::pair<drift::Token, bool>()> lease;  // of the record's task
    std::function<drift::RequestShares()> requests;
    std::function<void(bool ejected)> set_ejected;   // this front
    std::function<void(bool serves)> set_may_serve;  // false: its drift can break a rule
  };
  struct Fronts {
    std::map<peers::Id, int> zone_of;
    std::vector<std::string> zones;
  };
  RulesComponent(loop::Loop& loop, const RulesSettings& settings, peers::Id self, Fronts fronts,
                 drift::FieldImpactMap impacts, std::uint64_t seed, Callbacks callbacks);
  ~RulesComponent() override;
  peers::Channel channel() const override {
    return peers::Channel::kRules;
  }
  void HandleMessage(peers::Id from, std::span<const char> message) override;
  void HandleTimer() override;
  Ms NextTimerAt() const override;
  std::string StatusJson() const override;
  // An entry of the record's rules stream, in order.
  void HandleEntry(std::uint64_t offset, const std::string& key, bool tombstone,
                   const std::string& value);
  void Reset();  // the record starts over: all approvals are void
  // Why an approval may not be written, or "". The lease holder asks before it writes, so the
  // record holds no refused approval.
  std::string RefusalReason(const std::string& key, const std::string& value) const;
  bool HasApproval() const;  // a configuration is approved for this front
  bool MatchesApproval() const;
  drift::Version version() const;
  std::uint64_t Digest() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwick::front
