#include "generations/generations.hpp"

#include <algorithm>

namespace dunlinwick::generations {

namespace {
// A router's wake-up carries its kind in the top byte and an id in the low half; between them there
// is room for whose it is.
constexpr int kWhose = 32;
constexpr std::uint64_t kWhoseMask = 0xffffffull << kWhose;
std::uint64_t Marked(std::uint64_t handle, Number number) {
  return handle | (number << kWhose & kWhoseMask);
}
}  // namespace

Generations::Generations(const DeploymentSettings& settings, std::uint64_t seed)
    : seed_(seed), purge_kept_(2 * settings.purge_completion_time) {
  lives_.push_back({++last_, settings, std::make_unique<Router>(settings, seed), 0});
}

Generations::Life* Generations::life(Number number) {
  auto at =
      std::find_if(lives_.begin(), lives_.end(), [&](const Life& l) { return l.number == number; });
  return at == lives_.end() ? nullptr : &*at;
}

void Generations::Tell(Life& l, Ms now, const Event& event, std::vector<Action>& out) {
  bool newest = l.number == last_;
  for (Action& a : l.router->Handle(now, event)) {
    if (auto* wake = std::get_if<SetTimer>(&a))
      wake->handle = Marked(wake->handle, l.number);
    // One voice to machines, the log and the fleet. Harm: an older generation hears a probe's end
    // only when the newest asks for one.
    bool common = std::holds_alternative<ProbeEndpoint>(a) ||
                  std::holds_alternative<WriteLogLine>(a) ||
                  std::holds_alternative<ReportEndpointHealth>(a) ||
                  std::holds_alternative<WatchEndpointList>(a);
    if (common && !newest)
      continue;
    auto request = [&](std::uint32_t id, bool attempt) {
      auto at = open_.find(id);
      if (at == open_.end())
        return;
      attempt ? void(++at->second.attempts_out) : void(at->second.ended = true);
    };
    if (auto* send = std::get_if<SendAttempt>(&a))
      request(send->request, true);
    if (auto* no = std::get_if<RejectRequest>(&a))
      request(no->request, false);
    if (auto* gone = std::get_if<FailRequest>(&a))
      request(gone->request, false);
    out.push_back(std::move(a));
  }
}

// A pull that is over leaves its generation, and one that has none left and is not the newest goes.
void Generations::Settle(std::uint32_t request) {
  auto at = open_.find(request);
  if (at == open_.end() || !at->second.ended || at->second.attempts_out > 0)
    return;
  if (Life* l = life(at->second.number))
    --l->requests;
  open_.erase(at);
  std::erase_if(lives_, [&](const Life& l) { return l.number != last_ && l.requests == 0; });
}

// Board's purges run out; recalls stay until they are lifted.
void Generations::Lapse(Ms now) {
  std::erase_if(purges_,
                [&](const Bound& b) { return !b.purge.is_recall && b.at < now - purge_kept_; });
}

void Generations::note(Ms now, const Event& event) {
  if (auto* news = std::get_if<EndpointListUpdate>(&event)) {
    if (news->kind == ListUpdateKind::kFailed)
      return;
    if (news->kind != ListUpdateKind::kChanges)
      list_.clear();
    listed_ |= news->kind != ListUpdateKind::kChanges;
    for (const ListEntry& e : news->entries)
      if (e.state == EndpointState::kRemoved)
        list_.erase(e.id);
      else
        list_[e.id] = e;
  }
  if (auto* purge = std::get_if<Purged>(&event)) {
    Lapse(now);
    if (purge->is_recall)
      std::erase_if(purges_, [&](const Bound& b) {
        const Purged& q = b.purge;
        return q.is_recall && q.is_group == purge->is_group && q.object == purge->object &&
               q.group == purge->group && q.request_class == purge->request_class;
      });
    if (!purge->is_lifted)
      purges_.push_back({now - purge->age, *purge});
  }
  if (std::holds_alternative<ZoneTrafficWeights>(event) ||
      std::holds_alternative<MaxCopyAge>(event) || std::holds_alternative<AdmissionRamp>(event))
    facts_.insert_or_assign(event.index(), event);
}

std::vector<Action> Generations::Handle(Ms now, const Event& event) {
  std::vector<Action> out;
  note(now, event);
  auto of_request = [&](std::uint32_t request) {
    auto at = open_.find(request);
    if (at == open_.end())
      return;
    if (Life* l = life(at->second.number))
      Tell(*l, now, event, out);
    Settle(request);
  };
  if (auto* came = std::get_if<RequestArrived>(&event)) {
    if (open_.count(came->request))
      return out;
    open_[came->request] = {last_, 0, false};
    ++lives_.back().requests;
    of_request(came->request);
  } else if (auto* begun = std::get_if<AttemptStarted>(&event)) {
    of_request(begun->request);
  } else if (auto* ended = std::get_if<AttemptEnded>(&event)) {
    if (auto at = open_.find(ended->request); at != open_.end()) {
      --at->second.attempts_out;
      at->second.ended |= ended->final;
    }
    of_request(ended->request);
  } else if (auto* left = std::get_if<ClientLeft>(&event)) {
    if (auto at = open_.find(left->request); at != open_.end())
      at->second.ended = true;
    of_request(left->request);
  } else if (auto* shortened = std::get_if<DeadlineShortened>(&event)) {
    of_request(shortened->request);
  } else if (auto* woke = std::get_if<TimerFired>(&event)) {
    Number number = (woke->handle & kWhoseMask) >> kWhose;
    auto who_is = std::find_if(lives_.begin(), lives_.end(), [&](const Life& l) {
      return (l.number & kWhoseMask >> kWhose) == number;
    });
    if (who_is == lives_.end())
      return out;
    TimerFired inner{woke->handle & ~kWhoseMask};
    Tell(*who_is, now, inner, out);
    Settle(static_cast<std::uint32_t>(inner.handle));
  } else {
    for (Life& l : lives_)
      Tell(l, now, event, out);
  }
  return out;
}

Number Generations::turn(Ms now, const DeploymentSettings& settings, std::vector<Action>& out) {
  Lapse(now);
  if (lives_.size() >= kMostAlive || purges_.size() > kMostPurges)
    return 0;
  if (settings.request_classes.size() != lives_.front().settings.request_classes.size())
    return 0;
  ++last_;
  lives_.push_back({last_, settings, std::make_unique<Router>(settings, seed_ + last_), 0});
  purge_kept_ = std::max(purge_kept_, 2 * settings.purge_completion_time);
  Life& l = lives_.back();
  EndpointListUpdate all;
  all.kind = ListUpdateKind::kSnapshot;
  for (const auto& [id, e] : list_)
    all.entries.push_back(e);
  if (listed_)
    Tell(l, now, all, out);
  for (const Bound& b : purges_) {
    Purged p = b.purge;
    p.age = now - b.at;
    Tell(l, now, p, out);
  }
  for (const auto& [kind, fact] : facts_)
    Tell(l, now, fact, out);
  std::erase_if(lives_, [&](const Life& one) { return one.number != last_ && one.requests == 0; });
  return last_;
}

std::vector<Generations::Row> Generations::alive() const {
  std::vector<Row> rows;
  for (const Life& l : lives_)
    rows.push_back({l.number, l.requests});
  return rows;
}

}  // namespace dunlinwick::generations
