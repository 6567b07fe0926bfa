#include "rig/recovery_judge.hpp"

#include <cstdio>
#include <map>

namespace dunlinwick::rig {

using recovery::Phase;

std::vector<std::string> CheckHistory(const RecoveryRun& run) {
  std::map<std::string, std::string> broken;  // the first of each
  auto say = [&](const char* promise, const Seen& s, const std::string& what) {
    char at[64];
    std::snprintf(at, sizeof at, " at %.0f front %u: ", s.at, s.front);
    broken.emplace(promise, std::string(promise) + at + what);
  };
  struct Now {
    Phase phase = Phase::kStore;
    bool started = false;
    bool may_go_back = false;
    bool on = true;
    int losses = 0;
    std::string lost;
  };
  std::map<recovery::Id, Now> fronts;
  std::uint64_t last_token = 0;
  Ms over_from = -1;
  for (const Seen& s : run.seen) {
    Now& f = fronts[s.front];
    switch (s.what) {
      case Seen::What::kPower:
        f = Now{};
        f.started = s.value > 0;
        f.on = s.value > 0;
        break;
      case Seen::What::kCorrupted:
      case Seen::What::kLost:
        f.may_go_back = true;
        break;
      case Seen::What::kEntered: {
        bool next = static_cast<int>(s.phase) == static_cast<int>(f.phase) + 1;
        bool back = s.phase == Phase::kPeers && f.may_go_back;
        if (f.started && !next && !back)
          say("order", s, std::string("from ") + ToString(f.phase) + " to " + ToString(s.phase));
        if (back)
          f.may_go_back = false;
        f.phase = s.phase;
        // By time alone it may go on, serving what is certain; never on to letting everything in.
        if (f.started && s.bad && s.phase == Phase::kComplete)
          say("spoilt", s, "whole by a bad disk that it believes");
        break;
      }
      case Seen::What::kAdmit:
        if (f.started && !s.certain_only && !s.current)
          say("uncertain", s, "serves what is not certain before its record is caught up");
        break;
      case Seen::What::kGrant:
        if (s.at < s.lease_over)
          say("lease", s, "owns before the leases from before are over");
        if (s.number <= s.floor || (!run.all_stores_lost && s.number <= last_token))
          say("floor", s, "token " + std::to_string(s.number) + " is not above a floor");
        if (s.number > (std::uint64_t{1} << 39))
          say("spoilt", s, "a token from a flipped floor");
        last_token = s.number;
        break;
      case Seen::What::kCommitted:
        if (s.number <= s.floor)
          say("floor", s,
              "offset " + std::to_string(s.number) + " is not above " + std::to_string(s.floor));
        break;
      case Seen::What::kLevel:
        // Fronts see crowding late; a parent is pushed over where it lasts or goes far.
        if (s.value <= 1)
          over_from = -1;
        else if (over_from < 0)
          over_from = s.at;
        if (over_from >= 0 &&
            (s.at - over_from > 2000 || (s.value > 2 && s.at - over_from > 300))) {
          char level[32];
          std::snprintf(level, sizeof level, "parents' level %.2f", s.value);
          say("overload", s, level);
        }
        break;
      case Seen::What::kLoss:
        ++f.losses;
        f.lost = s.why;
        break;
    }
  }
  Seen end{.what = Seen::What::kPower, .at = run.end};
  if (!run.all_whole || run.end - run.faults_over > recovery::MaxRecoveryTime(run.terms))
    say("whole", end, "not every front was whole in time");
  if (run.whole_loss)
    for (auto& [id, f] : fronts) {
      if (id == 0)
        continue;
      end.front = id;
      if (f.started && f.losses == 0)
        say("told", end, "no loss told");
      if (f.started && run.all_stores_lost && f.lost.empty())
        say("told", end, "what was lost is not told");
    }
  std::vector<std::string> out;
  for (auto& [promise, line] : broken)
    out.push_back(line);
  return out;
}

}  // namespace dunlinwick::rig
