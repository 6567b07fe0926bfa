#include "rig/staged.hpp"

#include <algorithm>

namespace dunlinwick::fleet {

namespace {

class Staged final : public Target {
 public:
  Staged(Sim& sim, const FleetFile& fleet) : sim_(sim), fleet_(fleet), lost_(fleet.zones.size()) {}
  void kill(std::size_t f) override { sim_.kill(static_cast<Id>(f)); }
  void restart(std::size_t f) override { sim_.restart(static_cast<Id>(f)), hold(f); }
  void stop(std::size_t f) override { sim_.pause(static_cast<Id>(f)); }
  void resume(std::size_t f) override { sim_.resume(static_cast<Id>(f)); }
  void cut(const std::vector<std::size_t>& group, bool outOnly, bool on) override {
    sim_.cutAround(std::vector<Id>(group.begin(), group.end()), outOnly, on ? 1 : -1);
  }
  void links(const Step& s, bool on) override {
    sim_.everywhere([&](Link& l) {
      int cuts = l.cuts;
      l = Link{}, l.cuts = cuts;
      if (!on) return;
      l.delay += s.delay, l.jitter += s.jitter, l.loss = s.loss, l.duplicate = s.duplicate, l.reorder = s.reorder;
      l.kbPerS = s.kbPerS;
    });
  }
  void caches(std::size_t zone, bool, bool on) override {
    lost_[zone] += on ? 1 : -1;
    for (std::size_t f = 0; f < fleet_.zoneOf.size(); ++f) hold(f);
  }
  void heal() override {
    sim_.healAll();
    std::fill(lost_.begin(), lost_.end(), 0);
    for (std::size_t f = 0; f < fleet_.zoneOf.size(); ++f) hold(f);
  }

 private:
  void hold(std::size_t f) { sim_.caches(static_cast<Id>(f), lost_[static_cast<std::size_t>(fleet_.zoneOf[f])] > 0 ? 0 : 1); }
  Sim& sim_;
  const FleetFile& fleet_;
  std::vector<int> lost_;
};

}  // namespace

SimTerms simTerms(const FleetFile& fleet, std::uint64_t seed) {
  SimTerms t;
  t.members = fleet.swim, t.failover = fleet.verdict, t.seed = seed;
  std::vector<std::string> regions;
  for (const std::string& r : fleet.regions) {
    auto at = std::find(regions.begin(), regions.end(), r);
    if (at == regions.end()) regions.push_back(r), at = regions.end() - 1;
    t.zoneRegion.push_back(static_cast<int>(at - regions.begin()));
  }
  for (int z : fleet.zoneOf) t.places.push_back({z, t.zoneRegion[static_cast<std::size_t>(z)]});
  return t;
}

History playStaged(const FleetFile& fleet, const Script& script, std::uint64_t seed) {
  Sim sim(simTerms(fleet, seed));
  Staged target(sim, fleet);
  constexpr Ms settles = 3000;  // members meet first, as processes do before the first cue
  sim.runUntil(settles);
  History h;
  for (const Cue& c : cues(script)) {
    if (c.at >= script.length) break;
    sim.runUntil(settles + c.at);
    h.cues.push_back({sim.now(), c});
    play(c, target, fleet);
  }
  sim.runUntil(settles + script.length);
  h.until = sim.now();
  for (const Judged& j : sim.judged()) h.verdicts.push_back({j.at, j.by, j.out, j.epoch});
  for (Id f = 0; f < sim.size(); ++f)
    if (sim.up(f)) h.epochsAtEnd.emplace_back(f, sim.verdicts(f).verdict().epoch);
  return h;
}

}  // namespace dunlinwick::fleet
