#include "rig/drift_script.hpp"

#include <algorithm>

namespace dunlinwick::rig {

Form driftForm(int limit, int memory) {
  return {{"sheet", {{"limit", std::to_string(limit)}, {"legs", "2"}}},
          {"offerings", {{"effect", "ticketed"}, {"memory", std::to_string(memory)}}},
          {"road", {{"idle", "5000"}}}};
}

DriftRun driftRun(std::uint64_t seed, DriftFlaw flaw) {
  std::knuth_b random(static_cast<std::uint32_t>(seed * 7919 + 3));
  auto upTo = [&](std::uint64_t n) { return std::uniform_int_distribution<std::uint64_t>(0, n - 1)(random); };
  DriftSimTerms t;
  static const std::size_t sizes[] = {5, 9, 12};
  static const double losses[] = {0, 0.1, 0.3};
  t.fronts = sizes[upTo(3)], t.zones = t.fronts == 5 ? 2 : 3;
  t.loss = losses[upTo(3)], t.owners = upTo(3) != 0, t.flaw = flaw, t.viaBytes = seed % 8 == 0;
  t.terms.termMost = 40000;
  DriftSim sim(t, seed);
  bool clocks = flaw == DriftFlaw::convergingForever || upTo(4) == 0;
  for (Id id : sim.ids())
    if (clocks && (flaw == DriftFlaw::convergingForever || upTo(3) == 0)) sim.setClock(id, upTo(4) != 0 ? 0 : 1.7e12 - 3.6e6);  // 1970; set back an hour
  int limit = 100;
  std::vector<Form> approved{driftForm(limit)};
  sim.approve("fleet", approved.back(), 5000);
  sim.runUntil(25000);
  auto any = [&] { return sim.ids()[upTo(sim.ids().size())]; };
  // A majority whose record is right is what all this stands on.
  auto fewAstray = [&] { return sim.astray() + 1 <= (sim.ids().size() - 1) / 2; };
  Id usual = any();
  for (int step = 0; step < 10; ++step) {
    Id x = any();
    auto now = [&] { return sim.now(); };
    switch (upTo(12)) {
      case 0: case 1: {  // a change by hand
        Form f = sim.wanted(x);
        f["sheet"]["legs"] = std::to_string(3 + upTo(5));
        if (upTo(3) == 0) f["offerings"]["memory"] = "30000";
        sim.byHand(x, f);
        break;
      }
      case 2: {  // several of a zone at once
        for (Id id : sim.ids())
          if (sim.zone(id) == sim.zone(x)) {
            Form f = sim.wanted(id);
            f["road"]["idle"] = "1";
            sim.byHand(id, f);
          }
        break;
      }
      case 3:
        approved.push_back(driftForm(++limit));
        sim.approve("fleet", approved.back(), 5000 + 1000.0 * static_cast<double>(upTo(20)));
        break;
      case 4:  // approved, and undone while some have it
        sim.approve("fleet", driftForm(++limit), 20000);
        sim.runUntil(now() + 2000 + 1000.0 * static_cast<double>(upTo(8)));
        sim.approve("fleet", approved.back(), 15000);
        break;
      case 5:
        if (x != sim.owner() && fewAstray()) sim.claim(x, sim.wantedVersion(x) + 3, driftForm(7));
        break;
      case 6:
        if (x != sim.owner() && fewAstray()) sim.fork(x, driftForm(9));
        break;
      case 7:
        if (!sim.truthBad(x) && sim.up(x)) sim.blip(x, 100 + 50.0 * static_cast<double>(upTo(7)));
        break;
      case 8: {  // a minority cut off, one of it drifting meanwhile
        std::set<Id> side;
        std::size_t many = 1 + upTo((sim.ids().size() - 1) / 2);
        while (side.size() < many) side.insert(any());
        sim.cut(side, true);
        sim.runUntil(now() + 1000);
        Form f = sim.wanted(*side.begin());
        f["sheet"]["legs"] = "9";
        sim.byHand(*side.begin(), f);
        sim.runUntil(now() + 4000 + 1000.0 * static_cast<double>(upTo(12)));
        sim.cut(side, false);
        break;
      }
      case 9: {  // an owner that stops without notice, and comes back late, while there is much to repair
        Id was = sim.owner();
        for (Id id : {any(), any(), any()})
          if (id != was) {
            Form f = sim.wanted(id);
            f["sheet"]["legs"] = "8";
            sim.byHand(id, f);
          }
        sim.runUntil(now() + 2000 + 1000.0 * static_cast<double>(upTo(9)));
        sim.ownerDies();
        sim.runUntil(now() + 4000 + 1000.0 * static_cast<double>(upTo(12)));
        if (was != 0) sim.pause(was, false);
        break;
      }
      case 10:
        sim.restart(x, upTo(2) == 0);
        break;
      case 11: {  // always the same one
        Form f = sim.wanted(usual);
        f["sheet"]["legs"] = std::to_string(20 + upTo(100));
        if (sim.up(usual)) sim.byHand(usual, f);
        break;
      }
    }
    sim.runUntil(now() + 3000 + 1000.0 * static_cast<double>(upTo(15)));
  }
  sim.runUntil(sim.now() + 60000);
  DriftJudge& j = sim.judge();
  return {j.faults, j.foundAfter, j.owed, j.met, j.ended, sim.repairs(), t.loss, t.fronts};
}

}  // namespace dunlinwick::rig
