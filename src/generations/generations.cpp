#include "generations/generations.hpp"

#include <algorithm>

namespace dunlinwick::generations {

namespace {
// A router's wake-up carries its kind in the top byte and an id in the low half; between them there is room for whose it is.
constexpr int whose = 32;
constexpr std::uint64_t whoseMask = 0xffffffull << whose;
std::uint64_t marked(std::uint64_t handle, Number number) { return handle | (number << whose & whoseMask); }
}  // namespace

Generations::Generations(const StoreSheet& sheet, std::uint64_t seed) : seed_(seed), purgeKept_(2 * sheet.purgeDone) {
  lives_.push_back({++last_, sheet, std::make_unique<Router>(sheet, seed), 0});
}

Generations::Life* Generations::life(Number number) {
  auto at = std::find_if(lives_.begin(), lives_.end(), [&](const Life& l) { return l.number == number; });
  return at == lives_.end() ? nullptr : &*at;
}

void Generations::tell(Life& l, Ms now, const Event& event, std::vector<Action>& out) {
  bool newest = l.number == last_;
  for (Action& a : l.router->handle(now, event)) {
    if (auto* wake = std::get_if<WakeMe>(&a)) wake->handle = marked(wake->handle, l.number);
    // One voice to machines, the log and the fleet. Harm: an older generation hears a probe's end only when the newest asks for one.
    bool common = std::holds_alternative<ProbeCache>(a) || std::holds_alternative<WriteLine>(a) ||
                  std::holds_alternative<TellHealth>(a) || std::holds_alternative<FollowList>(a);
    if (common && !newest) continue;
    auto pull = [&](std::uint32_t id, bool leg) {
      auto at = open_.find(id);
      if (at == open_.end()) return;
      leg ? void(++at->second.legsOut) : void(at->second.ended = true);
    };
    if (auto* send = std::get_if<SendLeg>(&a)) pull(send->pull, true);
    if (auto* no = std::get_if<DeclinePull>(&a)) pull(no->pull, false);
    if (auto* gone = std::get_if<AbandonPull>(&a)) pull(gone->pull, false);
    out.push_back(std::move(a));
  }
}

// A pull that is over leaves its generation, and one that has none left and is not the newest goes.
void Generations::settle(std::uint32_t pull) {
  auto at = open_.find(pull);
  if (at == open_.end() || !at->second.ended || at->second.legsOut > 0) return;
  if (Life* l = life(at->second.number)) --l->pulls;
  open_.erase(at);
  std::erase_if(lives_, [&](const Life& l) { return l.number != last_ && l.pulls == 0; });
}

// Board's purges run out; recalls stay until they are lifted.
void Generations::lapse(Ms now) {
  std::erase_if(purges_, [&](const Bound& b) { return !b.purge.standing && b.at < now - purgeKept_; });
}

void Generations::note(Ms now, const Event& event) {
  if (auto* news = std::get_if<ListNews>(&event)) {
    if (news->listing == Listing::failed) return;
    if (news->listing != Listing::changes) list_.clear();
    listed_ |= news->listing != Listing::changes;
    for (const ListEntry& e : news->entries)
      if (e.standing == Standing::gone) list_.erase(e.cache);
      else list_[e.cache] = e;
  }
  if (auto* purge = std::get_if<Purged>(&event)) {
    lapse(now);
    if (purge->standing) std::erase_if(purges_, [&](const Bound& b) {
      const Purged& q = b.purge;
      return q.standing && q.wholeGroup == purge->wholeGroup && q.object == purge->object && q.group == purge->group && q.offering == purge->offering;
    });
    if (!purge->lifted) purges_.push_back({now - purge->ago, *purge});
  }
  if (std::holds_alternative<ZoneShares>(event) || std::holds_alternative<NoOlder>(event) || std::holds_alternative<LetIn>(event)) facts_.insert_or_assign(event.index(), event);
}

std::vector<Action> Generations::handle(Ms now, const Event& event) {
  std::vector<Action> out;
  note(now, event);
  auto ofPull = [&](std::uint32_t pull) {
    auto at = open_.find(pull);
    if (at == open_.end()) return;
    if (Life* l = life(at->second.number)) tell(*l, now, event, out);
    settle(pull);
  };
  if (auto* came = std::get_if<PullCame>(&event)) {
    if (open_.count(came->pull)) return out;
    open_[came->pull] = {last_, 0, false};
    ++lives_.back().pulls;
    ofPull(came->pull);
  } else if (auto* begun = std::get_if<LegStarted>(&event)) {
    ofPull(begun->pull);
  } else if (auto* ended = std::get_if<LegEnded>(&event)) {
    if (auto at = open_.find(ended->pull); at != open_.end()) {
      --at->second.legsOut;
      at->second.ended |= ended->final;
    }
    ofPull(ended->pull);
  } else if (auto* left = std::get_if<ClientLeft>(&event)) {
    if (auto at = open_.find(left->pull); at != open_.end()) at->second.ended = true;
    ofPull(left->pull);
  } else if (auto* woke = std::get_if<WakeUp>(&event)) {
    Number number = (woke->handle & whoseMask) >> whose;
    auto whoIs = std::find_if(lives_.begin(), lives_.end(), [&](const Life& l) { return (l.number & whoseMask >> whose) == number; });
    if (whoIs == lives_.end()) return out;
    WakeUp inner{woke->handle & ~whoseMask};
    tell(*whoIs, now, inner, out);
    settle(static_cast<std::uint32_t>(inner.handle));
  } else {
    for (Life& l : lives_) tell(l, now, event, out);
  }
  return out;
}

Number Generations::turn(Ms now, const StoreSheet& sheet, std::vector<Action>& out) {
  lapse(now);
  if (lives_.size() >= mostAlive || purges_.size() > mostPurges) return 0;
  if (sheet.offerings.size() != lives_.front().sheet.offerings.size()) return 0;
  ++last_;
  lives_.push_back({last_, sheet, std::make_unique<Router>(sheet, seed_ + last_), 0});
  purgeKept_ = std::max(purgeKept_, 2 * sheet.purgeDone);
  Life& l = lives_.back();
  ListNews all;
  all.listing = Listing::whole;
  for (const auto& [id, e] : list_) all.entries.push_back(e);
  if (listed_) tell(l, now, all, out);
  for (const Bound& b : purges_) {
    Purged p = b.purge;
    p.ago = now - b.at;
    tell(l, now, p, out);
  }
  for (const auto& [kind, fact] : facts_) tell(l, now, fact, out);
  std::erase_if(lives_, [&](const Life& one) { return one.number != last_ && one.pulls == 0; });
  return last_;
}

std::vector<Generations::Row> Generations::alive() const {
  std::vector<Row> rows;
  for (const Life& l : lives_) rows.push_back({l.number, l.pulls});
  return rows;
}

}  // namespace dunlinwick::generations
