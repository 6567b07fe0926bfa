#include "owner/agent.hpp"

#include <algorithm>

namespace dunlinwick::owner {

namespace {
constexpr Ms repeatAfter = 150;  // a question or step without its answer is sent again
constexpr Ms giveUpAfter = 1200;  // a question whose answer never came is put anew: the group may have forgotten it
}  // namespace

Agent::Agent(Id self, std::vector<Id> group, std::vector<Job> jobs, Terms terms, std::uint64_t seed, std::uint64_t incarnation, Ms now)
    : self_(self), group_(std::move(group)), terms_(terms), random_(static_cast<unsigned>(seed ^ (seed >> 32))) {
  // Fronts ask at different times, so that not always the same comes first.
  std::uniform_real_distribution<double> offset(0, terms_.renewEvery);
  for (Job& j : jobs) {
    works_.emplace_back(std::move(j), terms_);
    works_.back().tryAt = now + offset(random_);
  }
  // Numbers differ from an earlier process's, whose answers may still come: the seed is the same for each, as configured.
  numbers_ = incarnation << 20;
}

bool Agent::mayAct(Ms now, const One& w) const {
  if (breaks.noLease) return w.holder.holds();
  if (breaks.noMargin) return w.holder.holds() && now < w.holder.until() + 2 * terms_.margin + 3 * terms_.drift * terms_.lease + terms_.lease / 2;
  return w.holder.mayAct(now);
}

void Agent::ask(Ms now, One& w, Deed deed, std::uint64_t step, const Out& out) {
  w.question = ++numbers_, w.asked = deed, w.askedAt = now, w.askAgainAt = now + repeatAfter;
  w.asking = leader_ != 0 ? leader_ : group_[next_++ % group_.size()];
  out.ask(w.asking, Ask{w.question, Command{deed, self_, w.holder.token(), step, w.job.work}});
}

void Agent::lose(Ms now, One& w, const std::string& why, const Out& out) {
  out.say("owner lost " + w.job.work + " token " + std::to_string(w.holder.token()) + ": " + why);
  w.holder.lost();
  w.step = 0, w.question = 0, w.recording = false, w.landed.clear();
  w.tryAt = now + terms_.renewEvery;
}

void Agent::tick(Ms now, const Out& out) {
  for (One& w : works_) {
    if (w.over) continue;
    if (w.holder.holds() && !mayAct(now, w)) lose(now, w, "its lease ran out before a renewal was heard", out);
    if (w.question != 0 && now >= w.askedAt + giveUpAfter) w.question = 0, leader_ = 0;
    if (w.question != 0 && now >= w.askAgainAt) {
      // The same question elsewhere: who leads may have changed. Its time still counts from when it was first put.
      w.askAgainAt = now + repeatAfter;
      if (leader_ == w.asking) leader_ = 0;
      w.asking = leader_ != 0 ? leader_ : group_[next_++ % group_.size()];
      out.ask(w.asking, Ask{w.question, Command{w.asked, self_, w.holder.token(), w.asked == Deed::take ? w.job.steps : w.step, w.job.work}});
    }
    if (!w.holder.holds()) {
      if (w.question == 0 && now >= w.tryAt && permitted_) ask(now, w, Deed::take, w.job.steps, out);
      // One that may not own yet still wants to know whether there is a group that answers: it asks for what it can't get, a renewal of
      // what it does not hold. Guards against waiting for each other: it is permitted once a leader is known.
      else if (w.question == 0 && now >= w.tryAt && leader_ == 0) ask(now, w, Deed::renew, 0, out), w.tryAt = now + terms_.renewEvery;
      continue;
    }
    if (w.question == 0) {
      // What was done at all places is recorded before a renewal; both prove that this front still owns it.
      if (w.recording) ask(now, w, Deed::record, w.step, out);
      else if (!w.job.standing && w.done >= w.job.steps && w.step == 0) ask(now, w, Deed::finish, w.done, out);
      else if (now >= w.renewAt && (permitted_ || !w.job.standing)) ask(now, w, Deed::renew, 0, out);
    }
    if (!w.job.standing && w.step == 0 && w.done < w.job.steps && now >= w.nextStepAt) {
      w.step = w.done + 1, w.sentAt = -1e9, w.landed.clear();
    }
    if (w.step != 0 && !w.recording && now >= w.sentAt + repeatAfter) {
      w.sentAt = now;
      for (Id p : w.job.places)
        if (!w.landed.count(p)) out.act(p, Do{w.job.work, w.holder.token(), w.step});
    }
  }
}

void Agent::answered(Ms now, Id from, const Answer& a, const Out& out) {
  auto at = std::find_if(works_.begin(), works_.end(), [&](const One& w) { return w.question != 0 && w.question == a.number; });
  if (!a.taken) {
    if (a.leader != 0 && a.leader != from) leader_ = a.leader;
    else if (leader_ == from) leader_ = 0;
    // Asked again at once there, a few milliseconds hence at the next tick.
    if (at != works_.end() && a.leader != 0 && a.leader != from) at->askAgainAt = std::min(at->askAgainAt, now);
    return;
  }
  leader_ = from;
  if (at == works_.end()) return;
  One& w = *at;
  Deed deed = w.asked;
  if (a.result.word == Word::unsure) {
    w.question = 0;  // may have been taken or not: what it asked for is asked anew
    leader_ = 0;
    return;
  }
  w.question = 0;
  if (deed == Deed::take) {
    if (a.result.word == Word::over) {
      w.over = true;
    } else if (a.result.word == Word::yes) {
      w.holder.granted(w.askedAt, a.result);
      w.done = breaks.fromTheStart ? 0 : a.result.done;
      w.step = 0, w.recording = false, w.landed.clear();
      w.renewAt = w.askedAt + terms_.renewEvery, w.nextStepAt = now;
      out.say("owner of " + w.job.work + " token " + std::to_string(a.result.token) + " from step " + std::to_string(w.done + 1));
    } else {
      w.tryAt = now + terms_.renewEvery / 2 * std::uniform_real_distribution<>(0.5, 1.5)(random_);
    }
    return;
  }
  if (!w.holder.holds()) return;  // an answer to what it asked as an owner that it is no more
  if (a.result.word != Word::yes) {
    if (a.result.word == Word::over) w.over = true;
    return lose(now, w, std::string("the group says ") + word(a.result.word), out);
  }
  if (deed == Deed::renew || deed == Deed::record) {
    Result r = a.result;
    r.token = w.holder.token();
    w.holder.granted(w.askedAt, r);
    w.renewAt = w.askedAt + terms_.renewEvery;
  }
  if (deed == Deed::record) w.done = w.step, w.step = 0, w.recording = false, w.nextStepAt = std::max(now, w.nextStepAt);
  if (deed == Deed::finish) {
    out.say("owner finished " + w.job.work + " token " + std::to_string(w.holder.token()));
    w.holder.lost(), w.over = true;
  }
}

void Agent::did(Ms now, Id from, const Did& d, const Out& out) {
  for (One& w : works_) {
    if (w.job.work != d.what.work || !w.holder.holds() || d.what.token != w.holder.token()) continue;
    if (d.landing == Landing::staleToken) {
      lose(now, w, "a place has seen token " + std::to_string(d.highest), out);
    } else if (d.what.step == w.step && (d.landing == Landing::done || d.landing == Landing::doneBefore)) {
      w.landed.insert(from);
      if (!w.recording && w.landed.size() == std::set<Id>(w.job.places.begin(), w.job.places.end()).size()) {
        w.recording = true, w.nextStepAt = now + w.job.each;
      }
    }
  }
}

std::vector<Agent::Held> Agent::held() const {
  std::vector<Held> all;
  for (const One& w : works_)
    if (w.holder.holds()) all.push_back({w.job.work, w.holder.token(), w.done, w.holder.until()});
  return all;
}
bool Agent::idle() const {
  return std::all_of(works_.begin(), works_.end(), [](const One& w) { return w.over; });
}

}  // namespace dunlinwick::owner
