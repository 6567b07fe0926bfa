#include "rig/judge.hpp"

#include <algorithm>
#include <cmath>

namespace dunlinwick::fleet {

namespace {

constexpr Ms kGrace =
    2000;  // news already on its way, and opinions heard before a cut, may still be acted on

// What a fleet's fronts could reach at a time, by what was done to it.
struct Reach {
  explicit Reach(const FleetFile& f)
      : fleet(f),
        dead(f.zone_of.size()),
        stopped(f.zone_of.size()),
        cuts(f.zone_of.size() * f.zone_of.size()),
        lost(f.zones.size()) {}
  void Take(const Cue& c) {
    const Step& s = c.step;
    std::size_t n = fleet.zone_of.size();
    for (std::size_t f : s.fronts) {
      if (s.deed == Deed::kKill)
        dead[f] = c.on;
      if (s.deed == Deed::kRestart)
        dead[f] = stopped[f] = false;
      if (s.deed == Deed::kStop)
        stopped[f] = c.on;
      if (s.deed == Deed::kResume)
        stopped[f] = false;
    }
    if (s.deed == Deed::kCut || s.deed == Deed::kCutOut) {
      std::vector<bool> in(n);
      for (std::size_t f : s.fronts)
        in[f] = true;
      for (std::size_t a = 0; a < n; ++a)
        for (std::size_t b = 0; b < n; ++b)
          if ((in[a] && !in[b]) || (s.deed == Deed::kCut && !in[a] && in[b]))
            cuts[a * n + b] += c.on ? 1 : -1;
    }
    if (s.deed == Deed::kLinks)
      rough = c.on;
    if (s.deed == Deed::kCachesDown || s.deed == Deed::kCachesSilent)
      for (std::size_t z = 0; z < fleet.zones.size(); ++z)
        if (fleet.zones[z] == s.zone)
          lost[z] += c.on ? 1 : -1;
    if (s.deed == Deed::kHeal) {
      std::fill(cuts.begin(), cuts.end(), 0);
      rough = false;
      std::fill(lost.begin(), lost.end(), 0);
    }
  }
  bool Up(std::size_t f) const {
    return !dead[f] && !stopped[f];
  }
  bool Meet(std::size_t a, std::size_t b) const {
    std::size_t n = fleet.zone_of.size();
    return Up(a) && Up(b) && cuts[a * n + b] == 0 && cuts[b * n + a] == 0;
  }
  // Fronts that meet `f` both ways, itself counted.
  std::size_t Met(std::size_t f) const {
    std::size_t all = 0;
    for (std::size_t o = 0; o < fleet.zone_of.size(); ++o)
      all += o == f || Meet(f, o);
    return all;
  }
  bool Quorate(std::size_t f) const {
    return static_cast<int>(Met(f)) >= Quorum(fleet);
  }
  static int Quorum(const FleetFile& f) {
    return f.verdict.quorum > 0 ? f.verdict.quorum : static_cast<int>(f.zone_of.size()) / 2 + 1;
  }
  const FleetFile& fleet;
  std::vector<bool> dead;
  std::vector<bool> stopped;
  std::vector<int> cuts;
  std::vector<int> lost;
  bool rough = false;
};

std::string ZonesOf(const FleetFile& f, std::uint64_t out) {
  std::string s;
  for (std::size_t z = 0; z < f.zones.size(); ++z)
    if (out >> z & 1)
      s += (s.empty() ? "" : ",") + f.zones[z];
  return s.empty() ? "none" : s;
}
std::string MakeMs(Ms t) {
  return std::to_string(std::lround(t)) + " ms";
}

// A stretch of time in which nothing was done to the fleet, and what held in it.
struct Stretch {
  Ms from;
  Ms until;
  Reach reach;
};

class Judge {
 public:
  Judge(const FleetFile& f, const History& h) : f_(f), h_(h) {
    Reach now(f);
    Ms from = h.from;
    for (const CueDone& c : h.cues) {
      stretches_.push_back({from, c.at, now});
      now.Take(c.cue);
      from = c.at;
    }
    stretches_.push_back({from, h.until, now});
  }

  std::vector<Broken> Run() {
    for (std::size_t f = 0; f < f_.zone_of.size(); ++f)
      OfFront(f);
    Left();
    Agreement();
    requests();
    std::stable_sort(found_.begin(), found_.end(),
                     [](const Broken& a, const Broken& b) { return a.at < b.at; });
    return std::move(found_);
  }

 private:
  void ReportViolation(const char* promise, Ms at, std::string what) {
    found_.push_back({promise, at - h_.from, std::move(what)});
  }
  std::string Who(std::size_t f) const {
    return "front " + std::to_string(f) + " (zone " +
           f_.zones[static_cast<std::size_t>(f_.zone_of[f])] + ")";
  }
  // The verdict that a front kept at a time.
  std::uint64_t KeptAt(std::size_t front, Ms at) const {
    std::uint64_t out = 0;
    for (const VerdictSeen& v : h_.verdicts)
      if (v.front == front && v.at <= at)
        out = v.out;
    // A new life begins with no zone out.
    for (const CueDone& c : h_.cues)
      if (c.at <= at && Restarts(c.cue, front)) {
        bool since = std::any_of(h_.verdicts.begin(), h_.verdicts.end(), [&](const VerdictSeen& v) {
          return v.front == front && v.at > c.at && v.at <= at;
        });
        if (!since)
          out = 0;
      }
    return out;
  }
  static bool Restarts(const Cue& c, std::size_t front) {
    bool named = std::count(c.step.fronts.begin(), c.step.fronts.end(), front) > 0;
    return named &&
           ((c.step.deed == Deed::kRestart && c.on) || (c.step.deed == Deed::kKill && !c.on));
  }
  bool DoneBetween(Ms from, Ms until) const {
    return std::any_of(h_.cues.begin(), h_.cues.end(),
                       [&](const CueDone& c) { return c.at >= from && c.at <= until; });
  }

  void OfFront(std::size_t f) {
    const VerdictSeen* last = nullptr;
    std::vector<Ms> came_back(f_.zones.size(), -1), went_out(f_.zones.size(), -1);
    std::uint64_t out = 0;
    for (const VerdictSeen& v : h_.verdicts) {
      if (v.front != f)
        continue;
      bool new_life = last && std::any_of(h_.cues.begin(), h_.cues.end(), [&](const CueDone& c) {
                        return c.at > last->at && c.at <= v.at && Restarts(c.cue, f);
                      });
      if (new_life) {
        out = 0;
        last = nullptr;
        std::fill(came_back.begin(), came_back.end(), -1);
        went_out = came_back;
      }
      if (last && v.epoch <= last->epoch)
        ReportViolation("epochs", v.at,
                        Who(f) + " went from epoch " + std::to_string(last->epoch) + " to " +
                            std::to_string(v.epoch));
      std::uint64_t more = v.out & ~out;
      if (more && ShortOfQuorumSince(f, v.at) >= kGrace)
        ReportViolation("alone", v.at,
                        Who(f) + " left " + ZonesOf(f_, more) + " while short of a quorum for " +
                            MakeMs(ShortOfQuorumSince(f, v.at)));
      for (std::size_t z = 0; z < f_.zones.size(); ++z) {
        bool was = out >> z & 1, is = v.out >> z & 1;
        if (!was && is) {
          if (came_back[z] >= 0 && v.at - came_back[z] < f_.verdict.recovery_interval &&
              !DoneBetween(came_back[z] - SettleWithin(f_), v.at))
            ReportViolation(
                "flapping", v.at,
                Who(f) + " left " + f_.zones[z] + " again after " + MakeMs(v.at - came_back[z]));
          went_out[z] = v.at;
        }
        if (was && !is) {
          if (v.at - went_out[z] < 0.95 * f_.verdict.recovery_interval)
            ReportViolation(
                "flapping", v.at,
                Who(f) + " took " + f_.zones[z] + " back after " + MakeMs(v.at - went_out[z]));
          came_back[z] = v.at;
        }
      }
      out = v.out;
      last = &v;
    }
  }

  Ms ShortOfQuorumSince(std::size_t f, Ms at) const {
    Ms since = at;
    for (auto s = stretches_.rbegin(); s != stretches_.rend(); ++s) {
      if (s->from > at)
        continue;
      if (s->reach.Quorate(f) || !s->reach.Up(f))
        break;
      since = s->from;
    }
    return at - since;
  }

  // Zones lost for as long as the bound, while a front was in reach of a quorum all that time.
  void Left() {
    for (std::size_t z = 0; z < f_.zones.size(); ++z)
      for (std::size_t f = 0; f < f_.zone_of.size(); ++f)
        for (bool caches : {false, true}) {
          Ms since = -1, within = caches ? CachesWithin(f_) : LeaveWithin(f_);
          if (caches && f_.requests_per_s <= 0)
            continue;
          for (const Stretch& s : stretches_) {
            bool lost =
                caches ? s.reach.lost[z] > 0 && MostUp(s.reach, z, f) : FrontsLost(s.reach, z, f);
            bool counts = lost && s.reach.Up(f) && s.reach.Quorate(f) && !s.reach.rough;
            if (!counts)
              since = -1;
            else if (since < 0)
              since = s.from;
            if (counts && s.until - since > within && s.from - since <= within &&
                !(KeptAt(f, since + within) >> z & 1))
              ReportViolation("left", since + within,
                              Who(f) + " has not left " + f_.zones[z] + ", whose " +
                                  (caches ? "caches" : "fronts") + " are lost since " +
                                  MakeMs(within));
          }
        }
  }
  // All fronts of z are out of this front's reach.
  bool FrontsLost(const Reach& r, std::size_t z, std::size_t f) const {
    bool any = false;
    for (std::size_t o = 0; o < f_.zone_of.size(); ++o)
      if (static_cast<std::size_t>(f_.zone_of[o]) == z) {
        any = true;
        if (o == f || r.Meet(f, o))
          return false;
        // Reached one way, or by way of another: not lost to the quorum as a whole.
        for (std::size_t p = 0; p < f_.zone_of.size(); ++p)
          if (r.Meet(f, p) && r.Meet(p, o))
            return false;
      }
    return any;
  }
  // Most fronts of z are up and in this front's reach: they can say what they see of their caches.
  bool MostUp(const Reach& r, std::size_t z, std::size_t f) const {
    int all = 0, up = 0;
    for (std::size_t o = 0; o < f_.zone_of.size(); ++o)
      if (static_cast<std::size_t>(f_.zone_of[o]) == z) {
        ++all;
        up += o == f || r.Meet(f, o);
      }
    return 2 * up > all;
  }

  void Agreement() {
    const Stretch& last = stretches_.back();
    if (last.until - last.from < SettleWithin(f_) || last.reach.rough)
      return;
    for (std::size_t a = 0; a < f_.zone_of.size(); ++a)
      for (std::size_t b = a + 1; b < f_.zone_of.size(); ++b) {
        if (!last.reach.Meet(a, b) || !last.reach.Quorate(a) || !last.reach.Quorate(b))
          continue;
        std::uint64_t x = KeptAt(a, last.until), y = KeptAt(b, last.until);
        if (x != y)
          ReportViolation(
              "agreement", last.until,
              Who(a) + " holds " + ZonesOf(f_, x) + " out, " + Who(b) + " " + ZonesOf(f_, y));
        auto epoch = [&](std::size_t f) {
          for (const auto& [front, e] : h_.epochs_at_end)
            if (front == f)
              return static_cast<long>(e);
          return -1L;
        };
        if (x == y && epoch(a) >= 0 && epoch(b) >= 0 && epoch(a) != epoch(b))
          ReportViolation("agreement", last.until,
                          Who(a) + " is at epoch " + std::to_string(epoch(a)) + ", " + Who(b) +
                              " at " + std::to_string(epoch(b)));
      }
  }

  void requests() {
    constexpr Ms kSlack = 500;
    for (const RequestSeen& p : h_.requests) {
      if (p.answers > 1)
        ReportViolation(
            "answers", p.at,
            p.id + " at " + Who(p.front) + " got " + std::to_string(p.answers) + " final answers");
      bool disturbed = false;
      for (const Stretch& s : stretches_)
        disturbed |=
            s.until >= p.at - kSlack && s.from <= p.at + p.ttl + kSlack && !s.reach.Up(p.front);
      for (const CueDone& c : h_.cues)
        disturbed |=
            Restarts(c.cue, p.front) && c.at >= p.at - 2 * kSlack && c.at <= p.at + p.ttl + kSlack;
      // A front that has just started is not there yet.
      disturbed |= std::any_of(h_.cues.begin(), h_.cues.end(), [&](const CueDone& c) {
        return Restarts(c.cue, p.front) && p.at >= c.at && p.at - c.at < 2000;
      });
      if (p.ended && p.answers == 0 && !disturbed)
        ReportViolation("answers", p.at,
                        p.id + " at " + Who(p.front) + " got no final answer in its time");
      if (p.answers == 1 && p.answered_at > p.at + p.ttl + kSlack && !disturbed)
        ReportViolation("answers", p.at,
                        p.id + " at " + Who(p.front) + " was answered " +
                            MakeMs(p.answered_at - p.at - p.ttl) + " after its time");
    }
    for (const auto& [id, times] : h_.ran)
      if (times > 1)
        ReportViolation("effects", h_.until, id + " ran " + std::to_string(times) + " times");
  }

  const FleetFile& f_;
  const History& h_;
  std::vector<Stretch> stretches_;
  std::vector<Broken> found_;
};

}  // namespace

Ms LeaveWithin(const FleetFile& f) {
  double n = static_cast<double>(f.zone_of.size()),
         least = f.swim.alpha * std::max(1.0, std::log10(n)) * f.swim.period;
  // The longest suspicion; two probes at a front whose health is at its worst; ten periods for the
  // news, and as many for the round in which the lost are probed. Probing is by chance: no run of
  // 2,400 came near it (docs/notes/failover.md).
  return f.swim.beta * least + 2 * (f.swim.max_health + 1) * f.swim.period + 20 * f.swim.period;
}
Ms CachesWithin(const FleetFile& f) {
  return 8000 + f.verdict.degradation_delay + 10 * f.swim.period;
}
Ms SettleWithin(const FleetFile& f) {
  return std::max(LeaveWithin(f), CachesWithin(f)) +
         failover::kHealthSteps * f.verdict.recovery_interval + 10 * f.swim.period +
         f.swim.payload_refresh_period;
}

std::vector<Broken> CheckHistory(const FleetFile& fleet, const History& history) {
  return Judge(fleet, history).Run();
}

Kept MakeKept(const FleetFile& fleet, const History& history, Ms from, Ms until) {
  Kept k;
  for (const RequestSeen& p : history.requests) {
    if (p.at < from || p.at >= until || p.exclusive)
      continue;
    ++k.asked;
    if (p.status != 200)
      continue;
    ++k.finished;
    k.near += p.place == fleet.zones[static_cast<std::size_t>(fleet.zone_of[p.front])];
  }
  return k;
}

}  // namespace dunlinwick::fleet
