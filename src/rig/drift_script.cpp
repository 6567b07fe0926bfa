#include "rig/drift_script.hpp"

#include <algorithm>

namespace dunlinwick::rig {

CanonicalConfiguration DriftForm(int limit, int memory) {
  return {{"sheet", {{"limit", std::to_string(limit)}, {"legs", "2"}}},
          {"offerings", {{"effect", "ticketed"}, {"memory", std::to_string(memory)}}},
          {"road", {{"idle", "5000"}}}};
}

DriftRun PlayDrift(std::uint64_t seed, DriftFlaw flaw) {
  std::knuth_b random(static_cast<std::uint32_t>(seed * 7919 + 3));
  auto up_to = [&](std::uint64_t n) {
    return std::uniform_int_distribution<std::uint64_t>(0, n - 1)(random);
  };
  DriftSimTerms t;
  static const std::size_t kSizes[] = {5, 9, 12};
  static const double kLosses[] = {0, 0.1, 0.3};
  t.fronts = kSizes[up_to(3)];
  t.zones = t.fronts == 5 ? 2 : 3;
  t.loss = kLosses[up_to(3)];
  t.owners = up_to(3) != 0;
  t.flaw = flaw;
  t.via_bytes = seed % 8 == 0;
  t.terms.max_convergence_time = 40000;
  DriftSim sim(t, seed);
  bool clocks = flaw == DriftFlaw::kConvergingForever || up_to(4) == 0;
  for (Id id : sim.Ids())
    if (clocks && (flaw == DriftFlaw::kConvergingForever || up_to(3) == 0))
      sim.SetClock(id, up_to(4) != 0 ? 0 : 1.7e12 - 3.6e6);  // 1970; set back an hour
  int limit = 100;
  std::vector<CanonicalConfiguration> approved{DriftForm(limit)};
  sim.Approve("fleet", approved.back(), 5000);
  sim.RunUntil(25000);
  auto any = [&] {
    return sim.Ids()[up_to(sim.Ids().size())];
  };
  // A majority whose record is right is what all this stands on.
  auto few_drifted = [&] {
    return sim.Drifted() + 1 <= (sim.Ids().size() - 1) / 2;
  };
  Id usual = any();
  for (int step = 0; step < 10; ++step) {
    Id x = any();
    auto now = [&] {
      return sim.now();
    };
    switch (up_to(12)) {
      case 0:
      case 1: {  // a change by hand
        CanonicalConfiguration f = sim.Wanted(x);
        f["sheet"]["legs"] = std::to_string(3 + up_to(5));
        if (up_to(3) == 0)
          f["offerings"]["memory"] = "30000";
        sim.ByHand(x, f);
        break;
      }
      case 2: {  // several of a zone at once
        for (Id id : sim.Ids())
          if (sim.Zone(id) == sim.Zone(x)) {
            CanonicalConfiguration f = sim.Wanted(id);
            f["road"]["idle"] = "1";
            sim.ByHand(id, f);
          }
        break;
      }
      case 3:
        approved.push_back(DriftForm(++limit));
        sim.Approve("fleet", approved.back(), 5000 + 1000.0 * static_cast<double>(up_to(20)));
        break;
      case 4:  // approved, and undone while some have it
        sim.Approve("fleet", DriftForm(++limit), 20000);
        sim.RunUntil(now() + 2000 + 1000.0 * static_cast<double>(up_to(8)));
        sim.Approve("fleet", approved.back(), 15000);
        break;
      case 5:
        if (x != sim.owner() && few_drifted())
          sim.Claim(x, sim.WantedVersion(x) + 3, DriftForm(7));
        break;
      case 6:
        if (x != sim.owner() && few_drifted())
          sim.Fork(x, DriftForm(9));
        break;
      case 7:
        if (!sim.TruthBad(x) && sim.Up(x))
          sim.Blip(x, 100 + 50.0 * static_cast<double>(up_to(7)));
        break;
      case 8: {  // a minority cut off, one of it drifting meanwhile
        std::set<Id> side;
        std::size_t many = 1 + up_to((sim.Ids().size() - 1) / 2);
        while (side.size() < many)
          side.insert(any());
        sim.Cut(side, true);
        sim.RunUntil(now() + 1000);
        CanonicalConfiguration f = sim.Wanted(*side.begin());
        f["sheet"]["legs"] = "9";
        sim.ByHand(*side.begin(), f);
        sim.RunUntil(now() + 4000 + 1000.0 * static_cast<double>(up_to(12)));
        sim.Cut(side, false);
        break;
      }
      case 9: {  // an owner that stops without notice, and comes back late, while there is much to
                 // repair
        Id was = sim.owner();
        for (Id id : {any(), any(), any()})
          if (id != was) {
            CanonicalConfiguration f = sim.Wanted(id);
            f["sheet"]["legs"] = "8";
            sim.ByHand(id, f);
          }
        sim.RunUntil(now() + 2000 + 1000.0 * static_cast<double>(up_to(9)));
        sim.OwnerDies();
        sim.RunUntil(now() + 4000 + 1000.0 * static_cast<double>(up_to(12)));
        if (was != 0)
          sim.Pause(was, false);
        break;
      }
      case 10:
        sim.Restart(x, up_to(2) == 0);
        break;
      case 11: {  // always the same one
        CanonicalConfiguration f = sim.Wanted(usual);
        f["sheet"]["legs"] = std::to_string(20 + up_to(100));
        if (sim.Up(usual))
          sim.ByHand(usual, f);
        break;
      }
    }
    sim.RunUntil(now() + 3000 + 1000.0 * static_cast<double>(up_to(15)));
  }
  sim.RunUntil(sim.now() + 60000);
  DriftJudge& j = sim.CheckHistory();
  return {j.faults, j.found_after, j.owed, j.met, j.ended, sim.Repairs(), t.loss, t.fronts};
}

}  // namespace dunlinwick::rig
