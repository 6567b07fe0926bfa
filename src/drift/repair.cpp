// What follows: the owner's repairs and rollouts within a zone's limits, the alarm, fronts set
// aside; and, at a front, being repaired.
#include <algorithm>

#include "drift/inner.hpp"

namespace dunlinwick::drift {

using Inner = Drift::Inner;

bool Inner::Owning() const {
  if (mine == 0 || mine < highest)
    return false;
  auto a = ejected_of.find(self);
  return a == ejected_of.end() || !a->second.on;
}

// Whether `zone` may do without `who` meanwhile. What serves: heard lately, not under way, not
// stopped by a rule.
bool Inner::ZoneBears(int zone, Id who) const {
  std::size_t size = 0, left = 0;
  bool served = false;
  for (const auto& [id, z] : zone_of) {
    if (z != zone)
      continue;
    ++size;
    auto r = rows.find(id);
    auto u = underway.find(id);
    bool serves = r != rows.end() && r->second.standing != Standing::kUnknown &&
                  (u == underway.end() || u->second.watch_until != kNever);
    if (serves && Bad(r->second.standing))
      serves = std::none_of(r->second.fields.begin(), r->second.fields.end(),
                            [](const Difference& d) { return d.breaks == Breaks::kRule; });
    if (id == who)
      served = serves;
    else
      left += serves;
  }
  return !served || static_cast<double>(left) >= terms.least_serving * static_cast<double>(size);
}

void Inner::HeardShares(Id from, Ms now) {
  auto u = underway.find(from);
  if (u == underway.end())
    return;
  const Seen& s = seen[from];
  if (!u->second.based) {  // its first word since it was asked comes from before it took up
    u->second.based = true;
    u->second.abandoned = s.abandoned;
    u->second.declined = s.declined;
    return;
  }
  double rise = std::max(s.abandoned - u->second.abandoned, s.declined - u->second.declined);
  if (rise <= terms.alarm || stopped_at >= u->second.version)
    return;
  Version taken = u->second.version;
  stopped_at = taken;
  for (const auto& [who, w] : wanted)
    stopped_at = std::max(stopped_at, w.version);
  out.push_back(Stopped{"abandoned or declined pulls rose by " + Number(rise) + " at front " +
                        std::to_string(from) + " after it was to take up version " +
                        std::to_string(taken)});
  (void)now;
}

void Inner::Repairs(Ms now) {
  if (!Owning()) {
    underway.clear();
    return;
  }
  // What goes on and what is over.
  for (auto it = underway.begin(); it != underway.end();) {
    Underway& u = it->second;
    const Row& r = rows[it->first];
    const Seen& s = seen[it->first];
    bool taken = s.at > u.sent_at && s.version >= u.version && held[it->first] == Standing::kInStep;
    if (u.watch_until == kNever && taken)
      u.watch_until = now + terms.watch_for;
    bool watched = u.watch_until != kNever && now >= u.watch_until;
    bool late = u.watch_until == kNever && now >= u.sent_at + terms.repair_within;
    // Its place is kept until it is heard again, or taken for gone: it may be out of service yet.
    // And no shorter than a late word of it may yet come (twice repairWithin) and wait there for
    // the approval.
    bool heard = (s.at > u.sent_at + terms.repair_within || r.standing == Standing::kUnknown) &&
                 now >= u.last_sent + 2.5 * terms.repair_within;
    if (late && heard) {
      Tries& t = tries[it->first];
      ++t.count;
      t.not_before = now + terms.repair_within * t.count;
    }
    if (watched || (late && heard)) {
      it = underway.erase(it);
      continue;
    }
    if (u.watch_until == kNever && now - u.last_sent >= 2 * terms.round &&
        now - u.sent_at < terms.repair_within / 2) {
      u.last_sent = now;
      out.push_back(Repair{it->first, mine, u.version, u.changed});
    }
    ++it;
  }
  Version newest = 0;
  for (const auto& [who, w] : wanted)
    newest = std::max(newest, w.version);
  if (stopped_at != 0 && newest <= stopped_at)
    return;
  if (now - owns_since < 2.5 * terms.repair_within)
    return;  // what an owner before may have under way
  std::map<int, int> busy;
  for (const auto& [who, u] : underway)
    ++busy[zone_of.at(who)];
  for (bool drifts : {true, false})  // drifts first, then the rollout
    for (Id who : ids) {
      const Row& r = rows[who];
      // Unapproved and forked: its record is wrong, not its memory. Staff have it learn the record
      // anew.
      if (r.standing != (drifts ? Standing::kDrifted : Standing::kConverging))
        continue;
      if (underway.count(who) != 0)
        continue;
      auto w = wanted.find(who);
      if (w == wanted.end() || w->second.version == 0)
        continue;
      const Seen& s = seen[who];
      if (s.active == w->second.digest)
        continue;
      // A version that is news here: our record is behind, and is not to undo what is newer.
      if (!drifts && s.version > w->second.version)
        continue;
      Tries& t = tries[who];
      if (t.version != w->second.version || t.changed != s.changed)
        t = {w->second.version, s.changed, 0, kNever};
      if (t.count >= 3 || now < t.not_before)
        continue;
      int zone = zone_of.at(who);
      if (busy[zone] >= terms.at_once || !ZoneBears(zone, who))
        continue;
      ++busy[zone];
      underway[who] = {w->second.version, s.changed, now, now, kNever, false, 0, 0};
      out.push_back(Repair{who, mine, w->second.version, s.changed});
    }
}

void Inner::Asides(Ms now) {
  if (!Owning())
    return;
  std::size_t off = 0;
  for (const auto& [who, a] : ejected_of)
    off += a.on;
  for (Id who : ids) {
    EjectedState& a = ejected_of[who];
    auto e = episodes.find(who);
    if (!a.on) {
      bool often = e != episodes.end() &&
                   e->second.size() >= static_cast<std::size_t>(terms.often) &&
                   now - e->second.front() <= terms.within;
      // At most a quarter of the fronts: more at once is no front's fault.
      if (!often || off >= std::max<std::size_t>(1, ids.size() / 4))
        continue;
      a = {mine, a.count + 1, true, now};
      ++off;
      out.push_back(SetEjected{who, true, "drifted " + std::to_string(terms.often) + " times"});
    } else if (rows[who].standing == Standing::kInStep &&
               now - std::max(a.since, rows[who].since) >= terms.within) {
      a = {mine, a.count + 1, false, now};
      --off;
      if (e != episodes.end())
        e->second.clear();
      out.push_back(SetEjected{who, false, "in step for " + Number(terms.within / 1000) + " s"});
    }
  }
}

std::vector<Action> Inner::HandleRepair(Ms now, Id from, const Repair& r) {
  out.clear();
  if (r.front != self || r.token == 0 || r.token < highest)
    return {};  // an owner that was
  highest = r.token;
  answer_to = from;
  answer_until = now + terms.repair_within + terms.watch_for;
  // What its shares are before anything is taken up.
  if (from != self && seen[self].seq != 0)
    out.push_back(Tell{from, word(false)});
  if (r.version < version)
    return std::exchange(out, {});  // what it would have taken up is approved no more
  if (r.changed != changed)
    return std::exchange(
        out, {});  // late, or of what was changed since: the owner hears of it, and asks anew
  pending = r;
  pending_until = now + terms.repair_within / 2;
  ApplyActive(now);
  return std::exchange(out, {});
}

void Inner::ApplyActive(Ms now) {
  if (!pending)
    return;
  if (now > pending_until || pending->version < version || pending->token < highest) {
    pending.reset();
    return;
  }
  if (pending->version != version || !approval)
    return;  // not heard of yet
  Token token = pending->token;
  pending.reset();
  if (have_active && Digest(Governed()) == Digest(approval->form))
    return;
  out.push_back(TakeUp{version, approval->form, token});
}

}  // namespace dunlinwick::drift
