#include "rig/staged.hpp"

#include <algorithm>

namespace dunlinwick::fleet {

namespace {

class Staged final : public Target {
 public:
  Staged(Sim& sim, const FleetFile& fleet) : sim_(sim), fleet_(fleet), lost_(fleet.zones.size()) {}
  void Kill(std::size_t f) override {
    sim_.Kill(static_cast<Id>(f));
  }
  void Restart(std::size_t f) override {
    sim_.Restart(static_cast<Id>(f));
    Hold(f);
  }
  void Stop(std::size_t f) override {
    sim_.Pause(static_cast<Id>(f));
  }
  void Resume(std::size_t f) override {
    sim_.Resume(static_cast<Id>(f));
  }
  void Cut(const std::vector<std::size_t>& group, bool out_only, bool on) override {
    sim_.CutAround(std::vector<Id>(group.begin(), group.end()), out_only, on ? 1 : -1);
  }
  void Links(const Step& s, bool on) override {
    sim_.Everywhere([&](Link& l) {
      int cuts = l.cuts;
      l = Link{};
      l.cuts = cuts;
      if (!on)
        return;
      l.delay += s.delay;
      l.jitter += s.jitter;
      l.loss = s.loss;
      l.duplicate = s.duplicate;
      l.reorder = s.reorder;
      l.kb_per_s = s.kb_per_s;
    });
  }
  void caches(std::size_t zone, bool, bool on) override {
    lost_[zone] += on ? 1 : -1;
    for (std::size_t f = 0; f < fleet_.zone_of.size(); ++f)
      Hold(f);
  }
  void Heal() override {
    sim_.HealAll();
    std::fill(lost_.begin(), lost_.end(), 0);
    for (std::size_t f = 0; f < fleet_.zone_of.size(); ++f)
      Hold(f);
  }

 private:
  void Hold(std::size_t f) {
    sim_.caches(static_cast<Id>(f), lost_[static_cast<std::size_t>(fleet_.zone_of[f])] > 0 ? 0 : 1);
  }
  Sim& sim_;
  const FleetFile& fleet_;
  std::vector<int> lost_;
};

}  // namespace

SimTerms MakeSimTerms(const FleetFile& fleet, std::uint64_t seed) {
  SimTerms t;
  t.members = fleet.swim;
  t.failover = fleet.verdict;
  t.seed = seed;
  std::vector<std::string> regions;
  for (const std::string& r : fleet.regions) {
    auto at = std::find(regions.begin(), regions.end(), r);
    if (at == regions.end()) {
      regions.push_back(r);
      at = regions.end() - 1;
    }
    t.zone_region.push_back(static_cast<int>(at - regions.begin()));
  }
  for (int z : fleet.zone_of)
    t.places.push_back({z, t.zone_region[static_cast<std::size_t>(z)]});
  return t;
}

History PlayStaged(const FleetFile& fleet, const Script& script, std::uint64_t seed) {
  Sim sim(MakeSimTerms(fleet, seed));
  Staged target(sim, fleet);
  constexpr Ms kSettles = 3000;  // members meet first, as processes do before the first cue
  sim.RunUntil(kSettles);
  History h;
  for (const Cue& c : Cues(script)) {
    if (c.at >= script.length)
      break;
    sim.RunUntil(kSettles + c.at);
    h.cues.push_back({sim.now(), c});
    Play(c, target, fleet);
  }
  sim.RunUntil(kSettles + script.length);
  h.until = sim.now();
  for (const Judged& j : sim.judged())
    h.verdicts.push_back({j.at, j.by, j.out, j.epoch});
  for (Id f = 0; f < sim.size(); ++f)
    if (sim.Up(f))
      h.epochs_at_end.emplace_back(f, sim.verdicts(f).decision().epoch);
  return h;
}

}  // namespace dunlinwick::fleet
