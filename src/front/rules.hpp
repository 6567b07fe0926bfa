// The rules' part of a front: tells what it decides by in memory, hears what others do, finds
// drift, and carries repairs out by turning to the approved form between two turns of the loop
// (src/generations/ for the module's sheet). Thin: what it decides is in src/drift/. Approvals come
// from the record (stream rules; keys "fleet", "zone/NAME", "front/ID": the narrowest holds).
//
// It logs, one line each:
//   rules approved 42 for fleet by NAME digest 0123456789abcdef at ...
//   rules found 3 drifted sheet.agreed.0 500 for 700 since ... at ...     (active, approved)
//   rules repair 3 version 42 token 1140... at ... ; rules taken up 42 at ... ; rules can't take up
//   42: why at ... rules set aside 3: why at ... ; rules stopped: why at ...
#pragma once
#include <memory>

#include "front/layer_terms.hpp"
#include "front/part.hpp"
#include "loop/loop.hpp"

namespace dunlinwick::front {

class Rules final : public Part {
 public:
  struct Ways {
    std::function<bool(peers::Id to, std::string message)> send;
    std::function<drift::Form()> active;  // as decided by in memory, just now
    std::function<std::string(const drift::Form&)>
        take_up;  // "" once it is active, else why it can't be
    std::function<std::pair<drift::Token, bool>()> owns;  // of the record's work
    std::function<drift::Requests()> requests;
    std::function<void(bool ejected)> ejected;  // of this front
    std::function<void(bool serves)> serves;    // false: its drift can break a rule
  };
  struct Fronts {
    std::map<peers::Id, int> zone_of;
    std::vector<std::string> zones;
  };
  Rules(loop::Loop& loop, const RulesTerms& terms, peers::Id self, Fronts fronts,
        drift::Classes classes, std::uint64_t seed, Ways ways);
  ~Rules() override;
  peers::Channel channel() const override {
    return peers::Channel::kRules;
  }
  void Heard(peers::Id from, std::span<const char> message) override;
  void Wake() override;
  Ms WakeAt() const override;
  std::string view() const override;
  void notified(std::uint64_t offset, const std::string& key, bool tombstone,
                const std::string& value);  // by the record, in order
  void StartOver();                         // what the record told is void
  // Whether an approval may be written: "" or why not. The owner asks before it writes, so the
  // record holds none that was refused.
  std::string Refuses(const std::string& key, const std::string& value) const;
  bool enabled() const;  // something is approved for this front
  bool InStep() const;
  drift::Version version() const;
  std::uint64_t Digest() const;

 private:
  struct Inner;
  std::unique_ptr<Inner> inner_;
};

}  // namespace dunlinwick::front
