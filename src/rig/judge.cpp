#include "rig/judge.hpp"

#include <algorithm>
#include <cmath>

namespace dunlinwick::fleet {

namespace {

constexpr Ms grace = 2000;  // news already on its way, and opinions heard before a cut, may still be acted on

// What a fleet's fronts could reach at a time, by what was done to it.
struct Reach {
  explicit Reach(const FleetFile& f) : fleet(f), dead(f.zoneOf.size()), stopped(f.zoneOf.size()),
        cuts(f.zoneOf.size() * f.zoneOf.size()), lost(f.zones.size()) {}
  void take(const Cue& c) {
    const Step& s = c.step;
    std::size_t n = fleet.zoneOf.size();
    for (std::size_t f : s.fronts) {
      if (s.deed == Deed::kill) dead[f] = c.on;
      if (s.deed == Deed::restart) dead[f] = stopped[f] = false;
      if (s.deed == Deed::stop) stopped[f] = c.on;
      if (s.deed == Deed::resume) stopped[f] = false;
    }
    if (s.deed == Deed::cut || s.deed == Deed::cutOut) {
      std::vector<bool> in(n);
      for (std::size_t f : s.fronts) in[f] = true;
      for (std::size_t a = 0; a < n; ++a)
        for (std::size_t b = 0; b < n; ++b)
          if ((in[a] && !in[b]) || (s.deed == Deed::cut && !in[a] && in[b])) cuts[a * n + b] += c.on ? 1 : -1;
    }
    if (s.deed == Deed::links) rough = c.on;
    if (s.deed == Deed::cachesDown || s.deed == Deed::cachesSilent)
      for (std::size_t z = 0; z < fleet.zones.size(); ++z)
        if (fleet.zones[z] == s.zone) lost[z] += c.on ? 1 : -1;
    if (s.deed == Deed::heal) {
      std::fill(cuts.begin(), cuts.end(), 0), rough = false;
      std::fill(lost.begin(), lost.end(), 0);
    }
  }
  bool up(std::size_t f) const { return !dead[f] && !stopped[f]; }
  bool meet(std::size_t a, std::size_t b) const {
    std::size_t n = fleet.zoneOf.size();
    return up(a) && up(b) && cuts[a * n + b] == 0 && cuts[b * n + a] == 0;
  }
  // Fronts that meet `f` both ways, itself counted.
  std::size_t met(std::size_t f) const {
    std::size_t all = 0;
    for (std::size_t o = 0; o < fleet.zoneOf.size(); ++o) all += o == f || meet(f, o);
    return all;
  }
  bool quorate(std::size_t f) const { return static_cast<int>(met(f)) >= quorum(fleet); }
  static int quorum(const FleetFile& f) {
    return f.verdict.quorum > 0 ? f.verdict.quorum : static_cast<int>(f.zoneOf.size()) / 2 + 1;
  }
  const FleetFile& fleet;
  std::vector<bool> dead, stopped;
  std::vector<int> cuts, lost;
  bool rough = false;
};

std::string zonesOf(const FleetFile& f, std::uint64_t out) {
  std::string s;
  for (std::size_t z = 0; z < f.zones.size(); ++z)
    if (out >> z & 1) s += (s.empty() ? "" : ",") + f.zones[z];
  return s.empty() ? "none" : s;
}
std::string ms(Ms t) { return std::to_string(std::lround(t)) + " ms"; }

// A stretch of time in which nothing was done to the fleet, and what held in it.
struct Stretch {
  Ms from, until;
  Reach reach;
};

class Judge {
 public:
  Judge(const FleetFile& f, const History& h) : f_(f), h_(h) {
    Reach now(f);
    Ms from = h.from;
    for (const CueDone& c : h.cues) {
      stretches_.push_back({from, c.at, now});
      now.take(c.cue);
      from = c.at;
    }
    stretches_.push_back({from, h.until, now});
  }

  std::vector<Broken> run() {
    for (std::size_t f = 0; f < f_.zoneOf.size(); ++f) ofFront(f);
    left();
    agreement();
    pulls();
    std::stable_sort(found_.begin(), found_.end(), [](const Broken& a, const Broken& b) { return a.at < b.at; });
    return std::move(found_);
  }

 private:
  void broken(const char* promise, Ms at, std::string what) { found_.push_back({promise, at - h_.from, std::move(what)}); }
  std::string who(std::size_t f) const { return "front " + std::to_string(f) + " (zone " + f_.zones[static_cast<std::size_t>(f_.zoneOf[f])] + ")"; }
  // The verdict that a front kept at a time.
  std::uint64_t keptAt(std::size_t front, Ms at) const {
    std::uint64_t out = 0;
    for (const VerdictSeen& v : h_.verdicts)
      if (v.front == front && v.at <= at) out = v.out;
    // A new life begins with no zone out.
    for (const CueDone& c : h_.cues)
      if (c.at <= at && restarts(c.cue, front)) {
        bool since = std::any_of(h_.verdicts.begin(), h_.verdicts.end(), [&](const VerdictSeen& v) { return v.front == front && v.at > c.at && v.at <= at; });
        if (!since) out = 0;
      }
    return out;
  }
  static bool restarts(const Cue& c, std::size_t front) {
    bool named = std::count(c.step.fronts.begin(), c.step.fronts.end(), front) > 0;
    return named && ((c.step.deed == Deed::restart && c.on) || (c.step.deed == Deed::kill && !c.on));
  }
  bool doneBetween(Ms from, Ms until) const {
    return std::any_of(h_.cues.begin(), h_.cues.end(), [&](const CueDone& c) { return c.at >= from && c.at <= until; });
  }

  void ofFront(std::size_t f) {
    const VerdictSeen* last = nullptr;
    std::vector<Ms> cameBack(f_.zones.size(), -1), wentOut(f_.zones.size(), -1);
    std::uint64_t out = 0;
    for (const VerdictSeen& v : h_.verdicts) {
      if (v.front != f) continue;
      bool newLife = last && std::any_of(h_.cues.begin(), h_.cues.end(), [&](const CueDone& c) {
                       return c.at > last->at && c.at <= v.at && restarts(c.cue, f);
                     });
      if (newLife) out = 0, last = nullptr, std::fill(cameBack.begin(), cameBack.end(), -1), wentOut = cameBack;
      if (last && v.epoch <= last->epoch)
        broken("epochs", v.at, who(f) + " went from epoch " + std::to_string(last->epoch) + " to " + std::to_string(v.epoch));
      std::uint64_t more = v.out & ~out;
      if (more && shortOfQuorumSince(f, v.at) >= grace)
        broken("alone", v.at, who(f) + " left " + zonesOf(f_, more) + " while short of a quorum for " + ms(shortOfQuorumSince(f, v.at)));
      for (std::size_t z = 0; z < f_.zones.size(); ++z) {
        bool was = out >> z & 1, is = v.out >> z & 1;
        if (!was && is) {
          if (cameBack[z] >= 0 && v.at - cameBack[z] < f_.verdict.holdBack && !doneBetween(cameBack[z] - settleWithin(f_), v.at))
            broken("flapping", v.at, who(f) + " left " + f_.zones[z] + " again after " + ms(v.at - cameBack[z]));
          wentOut[z] = v.at;
        }
        if (was && !is) {
          if (v.at - wentOut[z] < 0.95 * f_.verdict.holdBack)
            broken("flapping", v.at, who(f) + " took " + f_.zones[z] + " back after " + ms(v.at - wentOut[z]));
          cameBack[z] = v.at;
        }
      }
      out = v.out, last = &v;
    }
  }

  Ms shortOfQuorumSince(std::size_t f, Ms at) const {
    Ms since = at;
    for (auto s = stretches_.rbegin(); s != stretches_.rend(); ++s) {
      if (s->from > at) continue;
      if (s->reach.quorate(f) || !s->reach.up(f)) break;
      since = s->from;
    }
    return at - since;
  }

  // Zones lost for as long as the bound, while a front was in reach of a quorum all that time.
  void left() {
    for (std::size_t z = 0; z < f_.zones.size(); ++z)
      for (std::size_t f = 0; f < f_.zoneOf.size(); ++f)
        for (bool caches : {false, true}) {
          Ms since = -1, within = caches ? cachesWithin(f_) : leaveWithin(f_);
          if (caches && f_.pullsPerS <= 0) continue;
          for (const Stretch& s : stretches_) {
            bool lost = caches ? s.reach.lost[z] > 0 && mostUp(s.reach, z, f) : frontsLost(s.reach, z, f);
            bool counts = lost && s.reach.up(f) && s.reach.quorate(f) && !s.reach.rough;
            if (!counts) since = -1;
            else if (since < 0) since = s.from;
            if (counts && s.until - since > within && s.from - since <= within && !(keptAt(f, since + within) >> z & 1))
              broken("left", since + within, who(f) + " has not left " + f_.zones[z] + ", whose " + (caches ? "caches" : "fronts") +
                                                 " are lost since " + ms(within));
          }
        }
  }
  // All fronts of z are out of this front's reach.
  bool frontsLost(const Reach& r, std::size_t z, std::size_t f) const {
    bool any = false;
    for (std::size_t o = 0; o < f_.zoneOf.size(); ++o)
      if (static_cast<std::size_t>(f_.zoneOf[o]) == z) {
        any = true;
        if (o == f || r.meet(f, o)) return false;
        // Reached one way, or by way of another: not lost to the quorum as a whole.
        for (std::size_t p = 0; p < f_.zoneOf.size(); ++p)
          if (r.meet(f, p) && r.meet(p, o)) return false;
      }
    return any;
  }
  // Most fronts of z are up and in this front's reach: they can say what they see of their caches.
  bool mostUp(const Reach& r, std::size_t z, std::size_t f) const {
    int all = 0, up = 0;
    for (std::size_t o = 0; o < f_.zoneOf.size(); ++o)
      if (static_cast<std::size_t>(f_.zoneOf[o]) == z) ++all, up += o == f || r.meet(f, o);
    return 2 * up > all;
  }

  void agreement() {
    const Stretch& last = stretches_.back();
    if (last.until - last.from < settleWithin(f_) || last.reach.rough) return;
    for (std::size_t a = 0; a < f_.zoneOf.size(); ++a)
      for (std::size_t b = a + 1; b < f_.zoneOf.size(); ++b) {
        if (!last.reach.meet(a, b) || !last.reach.quorate(a) || !last.reach.quorate(b)) continue;
        std::uint64_t x = keptAt(a, last.until), y = keptAt(b, last.until);
        if (x != y)
          broken("agreement", last.until, who(a) + " holds " + zonesOf(f_, x) + " out, " + who(b) + " " + zonesOf(f_, y));
        auto epoch = [&](std::size_t f) {
          for (const auto& [front, e] : h_.epochsAtEnd)
            if (front == f) return static_cast<long>(e);
          return -1L;
        };
        if (x == y && epoch(a) >= 0 && epoch(b) >= 0 && epoch(a) != epoch(b))
          broken("agreement", last.until, who(a) + " is at epoch " + std::to_string(epoch(a)) + ", " + who(b) + " at " + std::to_string(epoch(b)));
      }
  }

  void pulls() {
    constexpr Ms slack = 500;
    for (const PullSeen& p : h_.pulls) {
      if (p.answers > 1) broken("answers", p.at, p.id + " at " + who(p.front) + " got " + std::to_string(p.answers) + " final answers");
      bool disturbed = false;
      for (const Stretch& s : stretches_)
        disturbed |= s.until >= p.at - slack && s.from <= p.at + p.ttl + slack && !s.reach.up(p.front);
      for (const CueDone& c : h_.cues)
        disturbed |= restarts(c.cue, p.front) && c.at >= p.at - 2 * slack && c.at <= p.at + p.ttl + slack;
      // A front that has just started is not there yet.
      disturbed |= std::any_of(h_.cues.begin(), h_.cues.end(), [&](const CueDone& c) { return restarts(c.cue, p.front) && p.at >= c.at && p.at - c.at < 2000; });
      if (p.ended && p.answers == 0 && !disturbed) broken("answers", p.at, p.id + " at " + who(p.front) + " got no final answer in its time");
      if (p.answers == 1 && p.answeredAt > p.at + p.ttl + slack && !disturbed)
        broken("answers", p.at, p.id + " at " + who(p.front) + " was answered " + ms(p.answeredAt - p.at - p.ttl) + " after its time");
    }
    for (const auto& [id, times] : h_.ran)
      if (times > 1) broken("effects", h_.until, id + " ran " + std::to_string(times) + " times");
  }

  const FleetFile& f_;
  const History& h_;
  std::vector<Stretch> stretches_;
  std::vector<Broken> found_;
};

}  // namespace

Ms leaveWithin(const FleetFile& f) {
  double n = static_cast<double>(f.zoneOf.size()), least = f.swim.alpha * std::max(1.0, std::log10(n)) * f.swim.period;
  // The longest suspicion; two probes at a front whose health is at its worst; ten periods for the news, and as many for
  // the round in which the lost are probed. Probing is by chance: no run of 2,400 came near it (docs/notes/failover.md).
  return f.swim.beta * least + 2 * (f.swim.healthMost + 1) * f.swim.period + 20 * f.swim.period;
}
Ms cachesWithin(const FleetFile& f) { return 8000 + f.verdict.lasting + 10 * f.swim.period; }
Ms settleWithin(const FleetFile& f) {
  return std::max(leaveWithin(f), cachesWithin(f)) + failover::steps * f.verdict.holdBack + 10 * f.swim.period + f.swim.noteRefresh;
}

std::vector<Broken> judge(const FleetFile& fleet, const History& history) { return Judge(fleet, history).run(); }

Kept kept(const FleetFile& fleet, const History& history, Ms from, Ms until) {
  Kept k;
  for (const PullSeen& p : history.pulls) {
    if (p.at < from || p.at >= until || p.exclusive) continue;
    ++k.asked;
    if (p.status != 200) continue;
    ++k.finished;
    k.near += p.place == fleet.zones[static_cast<std::size_t>(fleet.zoneOf[p.front])];
  }
  return k;
}

}  // namespace dunlinwick::fleet
