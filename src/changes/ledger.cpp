#include "changes/ledger.hpp"

#include <algorithm>

namespace dunlinwick::changes {

const char* word(State state) {
  static const char* const words[] = {"staged", "applied", "kept", "undone", "dropped"};
  return words[static_cast<int>(state)];
}

const char* word(Why why) {
  static const char* const words[] = {"",
                                      "it is based on a generation that is no longer the confirmed one; read it again",
                                      "another change is applied and waits for its confirmation",
                                      "too many generations are alive; wait until pulls of the old ones have ended",
                                      "there is no such generation in that state",
                                      "a later coordinator has taken over",
                                      "the time to confirm in must be from 1 s to 10 min",
                                      "an operator asked for it",
                                      "nobody confirmed it in its time",
                                      "the watch saw it do harm"};
  return words[static_cast<int>(why)];
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

void Ledger::keep(std::vector<Deed>& out) const {
  out.emplace_back(std::in_place_type<Record>, kept_, last_, fence_, *contentOf(kept_));
}

std::string Ledger::fingerprint() const {
  std::string out = std::to_string(kept_) + ' ' + std::to_string(serving_) + ' ' + std::to_string(last_) + ' ' +
                    std::to_string(fence_) + ' ' + std::to_string(leaseEnds_);
  for (const Alive& one : alive_)
    out.append(" ").append(std::to_string(one.generation)).append(one.pulls ? "p" : "-").append(one.content).append(
        std::to_string(one.endsAt));
  return out;
}

const std::string* Ledger::contentOf(Generation generation) const {
  for (const Alive& one : alive_)
    if (one.generation == generation) return &one.content;
  return nullptr;
}

Ledger::Alive* Ledger::alive(Generation generation) {
  auto at = std::find_if(alive_.begin(), alive_.end(), [&](const Alive& a) { return a.generation == generation; });
  return at == alive_.end() ? nullptr : &*at;
}

void Ledger::note(Generation generation, State state, Why why) {
  constexpr std::size_t most = 64;  // some days of changes
  if (history_.size() >= most) history_.erase(history_.begin());
  history_.push_back({generation, state, why});
}

Why Ledger::heard(std::uint64_t fence) {
  if (fence < fence_) return Why::fenced;
  fence_ = fence;
  return Why::none;
}

// Not needed once no pull holds it and it is neither kept nor serving.
void Ledger::drop(Generation generation, std::vector<Deed>& out) {
  Alive* a = alive(generation);
  if (!a || a->pulls || generation == kept_ || generation == serving_) return;
  std::erase_if(alive_, [&](const Alive& one) { return one.generation == generation; });
  out.emplace_back(Forget{generation});
}

void Ledger::undo(Why why, std::vector<Deed>& out) {
  Generation bad = serving_;
  serving_ = kept_;
  leaseEnds_ = 0;
  note(bad, State::undone, why);
  // Nothing needs to last: a front that starts now would serve the kept one anyway.
  out.emplace_back(Serve{kept_});
  out.emplace_back(Undone{bad, why});
}

std::vector<Deed> Ledger::handle(Ms now, const Happening& what) {
  std::vector<Deed> out;
  // First of all, whatever came: a lease that has ended binds before the word that came after it.
  if (leaseEnds_ > 0 && now >= leaseEnds_) undo(Why::leaseEnded, out);

  // What was staged and never applied: its proposer is gone, or thought better of it.
  for (std::size_t i = alive_.size(); i-- > 0;)
    if (const Alive& one = alive_[i]; !one.pulls && one.generation != kept_ && now >= one.endsAt) {
      note(one.generation, State::dropped, Why::leaseEnded);
      drop(one.generation, out);
    }

  if (auto* p = std::get_if<Propose>(&what)) {
    std::uint64_t before = fence_;
    Why why = heard(p->fence);
    if (why == Why::none && p->base != kept_) why = Why::notNext;
    // The same said again, its answer having been lost: one generation, not two.
    for (const Alive& one : alive_)
      if (why == Why::none && fence_ == before && !one.pulls && one.generation != kept_ && one.content == p->content) {
        out.emplace_back(Answer{p->ticket, one.generation, Why::none});
        return out;
      }
    if (why == Why::none && !(p->within >= bounds_.shortestLease && p->within <= bounds_.longestLease)) why = Why::badLease;
    if (why == Why::none && static_cast<int>(alive_.size()) >= bounds_.mostAlive) why = Why::tooMany;
    if (why == Why::none) {
      alive_.push_back({++last_, p->content, false, now + p->within});
      note(last_, State::staged);
      out.emplace_back(WakeAt{now + p->within});
    }
    // The number must last: one that comes twice could confirm another's content after a restart.
    if (why == Why::none || fence_ != before) keep(out);
    out.emplace_back(Answer{p->ticket, why == Why::none ? last_ : 0, why});
  } else if (auto* a = std::get_if<Apply>(&what)) {
    std::uint64_t before = fence_;
    Why why = heard(a->fence);
    Alive* one = alive(a->generation);
    if (why == Why::none && serving_ == a->generation && leaseEnds_ > 0) {
      out.emplace_back(Answer{a->ticket, a->generation, Why::none});  // heard twice
      return out;
    }
    if (why == Why::none && (!one || a->generation == kept_ || one->pulls)) why = Why::unknown;
    if (why == Why::none && serving_ != kept_) why = Why::busy;
    if (why == Why::none && !(a->confirmWithin >= bounds_.shortestLease && a->confirmWithin <= bounds_.longestLease))
      why = Why::badLease;
    if (fence_ != before) keep(out);
    if (why == Why::none) {
      serving_ = a->generation;
      one->pulls = true;
      leaseEnds_ = std::min(now + a->confirmWithin, one->endsAt);
      note(serving_, State::applied);
      out.emplace_back(Serve{serving_});
      out.emplace_back(WakeAt{leaseEnds_});
    }
    out.emplace_back(Answer{a->ticket, a->generation, why});
  } else if (auto* c = std::get_if<Confirm>(&what)) {
    std::uint64_t before = fence_;
    Why why = heard(c->fence);
    if (why == Why::none && c->generation == kept_ && c->generation != 0) {
      if (fence_ != before) keep(out);
      out.emplace_back(Answer{c->ticket, kept_, Why::none});  // heard twice
      return out;
    }
    if (why == Why::none && (c->generation != serving_ || leaseEnds_ == 0)) why = Why::unknown;
    Generation old = kept_;
    if (why == Why::none) {
      kept_ = serving_;
      leaseEnds_ = 0;
      note(kept_, State::kept);
    }
    if (why == Why::none || fence_ != before) keep(out);
    if (why == Why::none) {
      drop(old, out);
      // What was staged on the old one can't be applied any more.
      for (std::size_t i = alive_.size(); i-- > 0;)
        if (Generation g = alive_[i].generation; !alive_[i].pulls && g != kept_) {
          note(g, State::dropped, Why::notNext);
          drop(g, out);
        }
    }
    out.emplace_back(Answer{c->ticket, c->generation, why});
  } else if (auto* u = std::get_if<Undo>(&what)) {
    std::uint64_t before = fence_;
    Why why = heard(u->fence);
    if (fence_ != before) keep(out);
    if (why == Why::none) {
      Alive* one = alive(u->generation);
      if (u->generation == serving_ && leaseEnds_ > 0) {
        undo(Why::asked, out);
      } else if (one && !one->pulls && u->generation != kept_) {
        note(u->generation, State::dropped, Why::asked);
        drop(u->generation, out);
      } else {
        why = Why::unknown;
      }
    }
    out.emplace_back(Answer{u->ticket, u->generation, why});
  } else if (auto* alarm = std::get_if<Alarm>(&what)) {
    if (alarm->generation == serving_ && leaseEnds_ > 0) undo(Why::alarm, out);
  } else if (auto* r = std::get_if<Released>(&what)) {
    if (Alive* one = alive(r->generation); one && r->generation != serving_) {
      one->pulls = false;
      if (r->generation != kept_) drop(r->generation, out);
    }
  }
  return out;
}

}  // namespace dunlinwick::changes
