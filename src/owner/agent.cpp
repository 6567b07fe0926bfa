#include "owner/agent.hpp"

#include <algorithm>

namespace dunlinwick::owner {

namespace {
constexpr Ms kRepeatAfter = 150;  // a question or step without its answer is sent again
constexpr Ms kGiveUpAfter =
    1200;  // a question whose answer never came is put anew: the group may have forgotten it
}  // namespace

Agent::Agent(Id self, std::vector<Id> group, std::vector<Job> jobs, Terms terms, std::uint64_t seed,
             std::uint64_t incarnation, Ms now)
    : self_(self),
      group_(std::move(group)),
      terms_(terms),
      random_(static_cast<unsigned>(seed ^ (seed >> 32))) {
  // Fronts ask at different times, so that not always the same comes first.
  std::uniform_real_distribution<double> offset(0, terms_.renew_every);
  for (Job& j : jobs) {
    works_.emplace_back(std::move(j), terms_);
    works_.back().try_at = now + offset(random_);
  }
  // Numbers differ from an earlier process's, whose answers may still come: the seed is the same
  // for each, as configured.
  numbers_ = incarnation << 20;
}

bool Agent::MayAct(Ms now, const One& w) const {
  if (breaks.no_lease)
    return w.holder.Holds();
  if (breaks.no_margin)
    return w.holder.Holds() && now < w.holder.Until() + 2 * terms_.margin +
                                         3 * terms_.drift * terms_.lease + terms_.lease / 2;
  return w.holder.MayAct(now);
}

void Agent::SendQuestion(Ms now, One& w, Deed deed, std::uint64_t step, const Out& out) {
  w.question = ++numbers_;
  w.asked = deed;
  w.asked_at = now;
  w.ask_again_at = now + kRepeatAfter;
  w.asking = leader_ != 0 ? leader_ : group_[next_++ % group_.size()];
  out.ask(w.asking, Ask{w.question, Command{deed, self_, w.holder.token(), step, w.job.work}});
}

void Agent::Lose(Ms now, One& w, const std::string& why, const Out& out) {
  out.say("owner lost " + w.job.work + " token " + std::to_string(w.holder.token()) + ": " + why);
  w.holder.Lost();
  w.step = 0;
  w.question = 0;
  w.recording = false;
  w.landed.clear();
  w.try_at = now + terms_.renew_every;
}

void Agent::Tick(Ms now, const Out& out) {
  for (One& w : works_) {
    if (w.over)
      continue;
    if (w.holder.Holds() && !MayAct(now, w))
      Lose(now, w, "its lease ran out before a renewal was heard", out);
    if (w.question != 0 && now >= w.asked_at + kGiveUpAfter) {
      w.question = 0;
      leader_ = 0;
    }
    if (w.question != 0 && now >= w.ask_again_at) {
      // The same question elsewhere: who leads may have changed. Its time still counts from when it
      // was first put.
      w.ask_again_at = now + kRepeatAfter;
      if (leader_ == w.asking)
        leader_ = 0;
      w.asking = leader_ != 0 ? leader_ : group_[next_++ % group_.size()];
      out.ask(w.asking,
              Ask{w.question, Command{w.asked, self_, w.holder.token(),
                                      w.asked == Deed::kTake ? w.job.steps : w.step, w.job.work}});
    }
    if (!w.holder.Holds()) {
      if (w.question == 0 && now >= w.try_at && permitted_)
        SendQuestion(now, w, Deed::kTake, w.job.steps, out);
      // One that may not own yet still wants to know whether there is a group that answers: it asks
      // for what it can't get, a renewal of what it does not hold. Guards against waiting for each
      // other: it is permitted once a leader is known.
      else if (w.question == 0 && now >= w.try_at && leader_ == 0) {
        SendQuestion(now, w, Deed::kRenew, 0, out);
        w.try_at = now + terms_.renew_every;
      }
      continue;
    }
    if (w.question == 0) {
      // What was done at all places is recorded before a renewal; both prove that this front still
      // owns it.
      if (w.recording)
        SendQuestion(now, w, Deed::kRecord, w.step, out);
      else if (!w.job.standing && w.done >= w.job.steps && w.step == 0)
        SendQuestion(now, w, Deed::kFinish, w.done, out);
      else if (now >= w.renew_at && (permitted_ || !w.job.standing))
        SendQuestion(now, w, Deed::kRenew, 0, out);
    }
    if (!w.job.standing && w.step == 0 && w.done < w.job.steps && now >= w.next_step_at) {
      w.step = w.done + 1;
      w.sent_at = -1e9;
      w.landed.clear();
    }
    if (w.step != 0 && !w.recording && now >= w.sent_at + kRepeatAfter) {
      w.sent_at = now;
      for (Id p : w.job.places)
        if (!w.landed.count(p))
          out.act(p, Do{w.job.work, w.holder.token(), w.step});
    }
  }
}

void Agent::Answered(Ms now, Id from, const Answer& a, const Out& out) {
  auto at = std::find_if(works_.begin(), works_.end(),
                         [&](const One& w) { return w.question != 0 && w.question == a.number; });
  if (!a.taken) {
    if (a.leader != 0 && a.leader != from)
      leader_ = a.leader;
    else if (leader_ == from)
      leader_ = 0;
    // Asked again at once there, a few milliseconds hence at the next tick.
    if (at != works_.end() && a.leader != 0 && a.leader != from)
      at->ask_again_at = std::min(at->ask_again_at, now);
    return;
  }
  leader_ = from;
  if (at == works_.end())
    return;
  One& w = *at;
  Deed deed = w.asked;
  if (a.result.word == Word::kUnsure) {
    w.question = 0;  // may have been taken or not: what it asked for is asked anew
    leader_ = 0;
    return;
  }
  w.question = 0;
  if (deed == Deed::kTake) {
    if (a.result.word == Word::kOver) {
      w.over = true;
    } else if (a.result.word == Word::kYes) {
      w.holder.Granted(w.asked_at, a.result);
      w.done = breaks.from_the_start ? 0 : a.result.done;
      w.step = 0;
      w.recording = false;
      w.landed.clear();
      w.renew_at = w.asked_at + terms_.renew_every;
      w.next_step_at = now;
      out.say("owner of " + w.job.work + " token " + std::to_string(a.result.token) +
              " from step " + std::to_string(w.done + 1));
    } else {
      w.try_at = now + terms_.renew_every / 2 * std::uniform_real_distribution<>(0.5, 1.5)(random_);
    }
    return;
  }
  if (!w.holder.Holds())
    return;  // an answer to what it asked as an owner that it is no more
  if (a.result.word != Word::kYes) {
    if (a.result.word == Word::kOver)
      w.over = true;
    return Lose(now, w, std::string("the group says ") + MakeWord(a.result.word), out);
  }
  if (deed == Deed::kRenew || deed == Deed::kRecord) {
    Result r = a.result;
    r.token = w.holder.token();
    w.holder.Granted(w.asked_at, r);
    w.renew_at = w.asked_at + terms_.renew_every;
  }
  if (deed == Deed::kRecord) {
    w.done = w.step;
    w.step = 0;
    w.recording = false;
    w.next_step_at = std::max(now, w.next_step_at);
  }
  if (deed == Deed::kFinish) {
    out.say("owner finished " + w.job.work + " token " + std::to_string(w.holder.token()));
    w.holder.Lost();
    w.over = true;
  }
}

void Agent::HandleResult(Ms now, Id from, const Did& d, const Out& out) {
  for (One& w : works_) {
    if (w.job.work != d.what.work || !w.holder.Holds() || d.what.token != w.holder.token())
      continue;
    if (d.landing == Landing::kStaleToken) {
      Lose(now, w, "a place has seen token " + std::to_string(d.highest), out);
    } else if (d.what.step == w.step &&
               (d.landing == Landing::kDone || d.landing == Landing::kDoneBefore)) {
      w.landed.insert(from);
      if (!w.recording &&
          w.landed.size() == std::set<Id>(w.job.places.begin(), w.job.places.end()).size()) {
        w.recording = true;
        w.next_step_at = now + w.job.each;
      }
    }
  }
}

std::vector<Agent::Held> Agent::held() const {
  std::vector<Held> all;
  for (const One& w : works_)
    if (w.holder.Holds())
      all.push_back({w.job.work, w.holder.token(), w.done, w.holder.Until()});
  return all;
}
bool Agent::Idle() const {
  return std::all_of(works_.begin(), works_.end(), [](const One& w) { return w.over; });
}

}  // namespace dunlinwick::owner
