#include "changes/ledger.hpp"

#include <algorithm>

namespace dunlinwick::changes {

const char* ToString(State state) {
  static const char* const kWords[] = {"staged", "applied", "kept", "undone", "dropped"};
  return kWords[static_cast<int>(state)];
}

const char* ToString(Why why) {
  static const char* const kWords[] = {
      "",
      "it is based on a generation that is no longer the confirmed one; read it again",
      "another change is applied and waits for its confirmation",
      "too many generations are alive; wait until pulls of the old ones have ended",
      "there is no such generation in that state",
      "a later coordinator has taken over",
      "the time to confirm in must be from 1 s to 10 min",
      "an operator asked for it",
      "nobody confirmed it in its time",
      "the watch saw it do harm"};
  return kWords[static_cast<int>(why)];
}

Ledger::Ledger(Bounds bounds, std::optional<Record> last) : bounds_(bounds) {
  if (last) {
    kept_ = serving_ = last->kept;
    last_ = last->last;
    fence_ = last->fence;
    alive_.push_back({kept_, last->content, true, 0});
  } else {
    alive_.push_back({0, "", true, 0});
  }
}

void Ledger::Keep(std::vector<Deed>& out) const {
  out.emplace_back(std::in_place_type<Record>, kept_, last_, fence_, *ContentOf(kept_));
}

std::string Ledger::Fingerprint() const {
  std::string out = std::to_string(kept_) + ' ' + std::to_string(serving_) + ' ' +
                    std::to_string(last_) + ' ' + std::to_string(fence_) + ' ' +
                    std::to_string(lease_ends_);
  for (const Alive& one : alive_)
    out.append(" ")
        .append(std::to_string(one.generation))
        .append(one.requests ? "p" : "-")
        .append(one.content)
        .append(std::to_string(one.ends_at));
  return out;
}

const std::string* Ledger::ContentOf(Generation generation) const {
  for (const Alive& one : alive_)
    if (one.generation == generation)
      return &one.content;
  return nullptr;
}

Ledger::Alive* Ledger::alive(Generation generation) {
  auto at = std::find_if(alive_.begin(), alive_.end(),
                         [&](const Alive& a) { return a.generation == generation; });
  return at == alive_.end() ? nullptr : &*at;
}

void Ledger::note(Generation generation, State state, Why why) {
  constexpr std::size_t kMost = 64;  // some days of changes
  if (history_.size() >= kMost)
    history_.erase(history_.begin());
  history_.push_back({generation, state, why});
}

Why Ledger::Heard(std::uint64_t fence) {
  if (fence < fence_)
    return Why::kFenced;
  fence_ = fence;
  return Why::kNone;
}

// Not needed once no pull holds it and it is neither kept nor serving.
void Ledger::Drop(Generation generation, std::vector<Deed>& out) {
  Alive* a = alive(generation);
  if (!a || a->requests || generation == kept_ || generation == serving_)
    return;
  std::erase_if(alive_, [&](const Alive& one) { return one.generation == generation; });
  out.emplace_back(Forget{generation});
}

void Ledger::UndoChange(Why why, std::vector<Deed>& out) {
  Generation bad = serving_;
  serving_ = kept_;
  lease_ends_ = 0;
  note(bad, State::kReverted, why);
  // Nothing needs to last: a front that starts now would serve the kept one anyway.
  out.emplace_back(Serve{kept_});
  out.emplace_back(Reverted{bad, why});
}

std::vector<Deed> Ledger::Handle(Ms now, const Happening& what) {
  std::vector<Deed> out;
  // First of all, whatever came: a lease that has ended binds before the word that came after it.
  if (lease_ends_ > 0 && now >= lease_ends_)
    UndoChange(Why::kLeaseEnded, out);

  // What was staged and never applied: its proposer is gone, or thought better of it.
  for (std::size_t i = alive_.size(); i-- > 0;)
    if (const Alive& one = alive_[i];
        !one.requests && one.generation != kept_ && now >= one.ends_at) {
      note(one.generation, State::kDropped, Why::kLeaseEnded);
      Drop(one.generation, out);
    }

  if (auto* p = std::get_if<Propose>(&what)) {
    std::uint64_t before = fence_;
    Why why = Heard(p->fence);
    if (why == Why::kNone && p->base != kept_)
      why = Why::kNotNext;
    // The same said again, its answer having been lost: one generation, not two.
    for (const Alive& one : alive_)
      if (why == Why::kNone && fence_ == before && !one.requests && one.generation != kept_ &&
          one.content == p->content) {
        out.emplace_back(Answer{p->ticket, one.generation, Why::kNone});
        return out;
      }
    if (why == Why::kNone &&
        !(p->within >= bounds_.shortest_lease && p->within <= bounds_.longest_lease))
      why = Why::kBadLease;
    if (why == Why::kNone && static_cast<int>(alive_.size()) >= bounds_.most_alive)
      why = Why::kTooMany;
    if (why == Why::kNone) {
      alive_.push_back({++last_, p->content, false, now + p->within});
      note(last_, State::kStaged);
      out.emplace_back(WakeAt{now + p->within});
    }
    // The number must last: one that comes twice could confirm another's content after a restart.
    if (why == Why::kNone || fence_ != before)
      Keep(out);
    out.emplace_back(Answer{p->ticket, why == Why::kNone ? last_ : 0, why});
  } else if (auto* a = std::get_if<Apply>(&what)) {
    std::uint64_t before = fence_;
    Why why = Heard(a->fence);
    Alive* one = alive(a->generation);
    if (why == Why::kNone && serving_ == a->generation && lease_ends_ > 0) {
      out.emplace_back(Answer{a->ticket, a->generation, Why::kNone});  // heard twice
      return out;
    }
    if (why == Why::kNone && (!one || a->generation == kept_ || one->requests))
      why = Why::kUnknown;
    if (why == Why::kNone && serving_ != kept_)
      why = Why::kBusy;
    if (why == Why::kNone && !(a->confirm_within >= bounds_.shortest_lease &&
                               a->confirm_within <= bounds_.longest_lease))
      why = Why::kBadLease;
    if (fence_ != before)
      Keep(out);
    if (why == Why::kNone) {
      serving_ = a->generation;
      one->requests = true;
      lease_ends_ = std::min(now + a->confirm_within, one->ends_at);
      note(serving_, State::kApplied);
      out.emplace_back(Serve{serving_});
      out.emplace_back(WakeAt{lease_ends_});
    }
    out.emplace_back(Answer{a->ticket, a->generation, why});
  } else if (auto* c = std::get_if<Confirm>(&what)) {
    std::uint64_t before = fence_;
    Why why = Heard(c->fence);
    if (why == Why::kNone && c->generation == kept_ && c->generation != 0) {
      if (fence_ != before)
        Keep(out);
      out.emplace_back(Answer{c->ticket, kept_, Why::kNone});  // heard twice
      return out;
    }
    if (why == Why::kNone && (c->generation != serving_ || lease_ends_ == 0))
      why = Why::kUnknown;
    Generation old = kept_;
    if (why == Why::kNone) {
      kept_ = serving_;
      lease_ends_ = 0;
      note(kept_, State::kKept);
    }
    if (why == Why::kNone || fence_ != before)
      Keep(out);
    if (why == Why::kNone) {
      Drop(old, out);
      // What was staged on the old one can't be applied any more.
      for (std::size_t i = alive_.size(); i-- > 0;)
        if (Generation g = alive_[i].generation; !alive_[i].requests && g != kept_) {
          note(g, State::kDropped, Why::kNotNext);
          Drop(g, out);
        }
    }
    out.emplace_back(Answer{c->ticket, c->generation, why});
  } else if (auto* u = std::get_if<Undo>(&what)) {
    std::uint64_t before = fence_;
    Why why = Heard(u->fence);
    if (fence_ != before)
      Keep(out);
    if (why == Why::kNone) {
      Alive* one = alive(u->generation);
      if (u->generation == serving_ && lease_ends_ > 0) {
        UndoChange(Why::kAsked, out);
      } else if (one && !one->requests && u->generation != kept_) {
        note(u->generation, State::kDropped, Why::kAsked);
        Drop(u->generation, out);
      } else {
        why = Why::kUnknown;
      }
    }
    out.emplace_back(Answer{u->ticket, u->generation, why});
  } else if (auto* alarm = std::get_if<Alarm>(&what)) {
    if (alarm->generation == serving_ && lease_ends_ > 0)
      UndoChange(Why::kAlarm, out);
  } else if (auto* r = std::get_if<Released>(&what)) {
    if (Alive* one = alive(r->generation); one && r->generation != serving_) {
      one->requests = false;
      if (r->generation != kept_)
        Drop(r->generation, out);
    }
  }
  return out;
}

}  // namespace dunlinwick::changes
