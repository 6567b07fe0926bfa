#include "rig/history.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace dunlinwick::owner {

namespace {
std::string Who(const Happened& h) {
  return "front " + std::to_string(h.front) + " token " + std::to_string(h.token);
}
}  // namespace

std::vector<Breach> CheckHistory(const std::vector<Happened>& history,
                                 const std::vector<Begun>& works, bool clocks_kept, bool whole) {
  std::vector<Breach> found;
  auto broken = [&](const char* promise, const Happened& h, std::string what) {
    found.push_back({promise, h.at, h.work + ": " + std::move(what)});
  };
  std::map<Token, const Happened*> given;
  struct Seen {
    Token highest = 0;
    std::set<std::uint64_t> steps;
  };
  std::map<std::pair<std::string, Id>, Seen> places;
  struct State {
    Token granted = 0;
    Ms granted_at = 0;
    std::uint64_t recorded = 0;
    std::map<Token, std::uint64_t> recorded_at_grant;
    bool over = false;
  };
  std::map<std::string, State> state;
  for (const Happened& h : history) {
    if (h.what == Happened::What::kForgot) {
      for (auto& [work, s] : state)
        s.recorded = 0;
      continue;
    }
    State& s = state[h.work];
    switch (h.what) {
      case Happened::What::kForgot:
        break;
      case Happened::What::kGranted: {
        auto [at, fresh] = given.emplace(h.token, &h);
        if (!fresh && (at->second->front != h.front || at->second->life != h.life ||
                       at->second->work != h.work))
          broken("token", h,
                 Who(h) + " was given before, to " + Who(*at->second) + " for " + at->second->work);
        if (h.token > s.granted) {
          s.granted = h.token;
          s.granted_at = h.at;
        }
        s.recorded_at_grant.emplace(h.token, s.recorded);
        break;
      }
      case Happened::What::kSent: {
        if (clocks_kept && h.token < s.granted && h.at > s.granted_at)
          broken("lease", h,
                 Who(h) + " sent step " + std::to_string(h.step) + " " +
                     std::to_string(std::lround(h.at - s.granted_at)) + " ms after token " +
                     std::to_string(s.granted) + " was granted");
        auto at = s.recorded_at_grant.find(h.token);
        if (at != s.recorded_at_grant.end() && h.step <= at->second)
          broken("resume", h,
                 Who(h) + " sent step " + std::to_string(h.step) + " though " +
                     std::to_string(at->second) + " was recorded before its grant");
        break;
      }
      case Happened::What::kLanded: {
        Seen& p = places[{h.work, h.place}];
        std::string where = " at place " + std::to_string(h.place);
        if (h.landing == FencingResult::kDone) {
          if (h.token < p.highest)
            broken("fence", h,
                   Who(h) + " landed step " + std::to_string(h.step) + where +
                       ", which has seen token " + std::to_string(p.highest));
          if (!p.steps.insert(h.step).second)
            broken("fence", h,
                   Who(h) + " landed step " + std::to_string(h.step) + where + " a second time");
          if (h.step > 1 && !p.steps.count(h.step - 1))
            broken("fence", h,
                   Who(h) + " landed step " + std::to_string(h.step) + where +
                       " before the one in front of it");
        }
        if (h.landing == FencingResult::kDone || h.landing == FencingResult::kAlreadyDone)
          p.highest = std::max(p.highest, h.token);
        break;
      }
      case Happened::What::kRecorded:
        s.recorded = std::max(s.recorded, h.step);
        break;
      case Happened::What::kFinished:
      case Happened::What::kAbandoned:
        s.over = true;
        break;
    }
  }
  for (const Begun& w : works) {
    Happened end;
    end.work = w.work;
    end.at = history.empty() ? 0 : history.back().at;
    bool abandoned = std::any_of(history.begin(), history.end(), [&](const Happened& h) {
      return h.work == w.work && h.what == Happened::What::kAbandoned;
    });
    if (whole && !state[w.work].over)
      broken("finished", end, "was begun, and neither finished nor told as abandoned");
    if (state[w.work].over && !abandoned)
      for (Id p : w.places)
        if (places[{w.work, p}].steps.size() != w.steps)
          broken("finished", end,
                 "is told as finished, but " + std::to_string(places[{w.work, p}].steps.size()) +
                     " of " + std::to_string(w.steps) + " steps landed at place " +
                     std::to_string(p));
  }
  return found;
}

std::vector<Ms> Handovers(const std::vector<Happened>& history) {
  std::map<std::string, std::pair<Token, Ms>> last;
  std::vector<Ms> all;
  for (const Happened& h : history) {
    if (h.what != Happened::What::kLanded ||
        (h.landing != FencingResult::kDone && h.landing != FencingResult::kAlreadyDone))
      continue;
    auto at = last.find(h.work);
    if (at != last.end() && h.token > at->second.first)
      all.push_back(h.at - at->second.second);
    if (at == last.end() || h.token >= at->second.first)
      last[h.work] = {h.token, h.at};
  }
  std::sort(all.begin(), all.end());
  return all;
}

}  // namespace dunlinwick::owner
