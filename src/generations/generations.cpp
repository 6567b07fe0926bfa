#include "generations/generations.hpp"

#include <algorithm>

namespace dunlinwick::generations {

namespace {
// A router's timer handle has its kind in the top byte and an id in the low half; the bits between
// them hold the generation's number.
constexpr int kGenerationShift = 32;
constexpr std::uint64_t kGenerationMask = 0xffffffull << kGenerationShift;
std::uint64_t TagHandle(std::uint64_t handle, GenerationNumber number) {
  return handle | (number << kGenerationShift & kGenerationMask);
}
}  // namespace

Generations::Generations(const DeploymentSettings& settings, std::uint64_t seed)
    : seed_(seed), purge_retention_(2 * settings.purge_completion_time) {
  generations_.push_back({++newest_, settings, std::make_unique<Router>(settings, seed), 0});
}

Generations::Generation* Generations::FindGeneration(GenerationNumber number) {
  auto found =
      std::find_if(generations_.begin(), generations_.end(),
                   [&](const Generation& generation) { return generation.number == number; });
  return found == generations_.end() ? nullptr : &*found;
}

void Generations::Deliver(Generation& generation, Ms now, const Event& event,
                          std::vector<Action>& out) {
  bool newest = generation.number == newest_;
  for (Action& action : generation.router->Handle(now, event)) {
    if (auto* timer = std::get_if<SetTimer>(&action))
      timer->handle = TagHandle(timer->handle, generation.number);
    // Only the newest generation sends probes, log lines and health reports. The drawback: an older
    // generation receives a probe result only when the newest one sends a probe.
    bool newest_only = std::holds_alternative<ProbeEndpoint>(action) ||
                       std::holds_alternative<WriteLogLine>(action) ||
                       std::holds_alternative<ReportEndpointHealth>(action) ||
                       std::holds_alternative<WatchEndpointList>(action);
    if (newest_only && !newest)
      continue;
    auto count_request = [&](std::uint32_t id, bool attempt) {
      auto found = open_requests_.find(id);
      if (found == open_requests_.end())
        return;
      attempt ? void(++found->second.attempts_out) : void(found->second.ended = true);
    };
    if (auto* send = std::get_if<SendAttempt>(&action))
      count_request(send->request, true);
    if (auto* rejected = std::get_if<RejectRequest>(&action))
      count_request(rejected->request, false);
    if (auto* failed = std::get_if<FailRequest>(&action))
      count_request(failed->request, false);
    out.push_back(std::move(action));
  }
}

// Removes a request that has ended, and each generation that has no requests left and is not the
// newest.
void Generations::CloseIfDone(std::uint32_t request) {
  auto found = open_requests_.find(request);
  if (found == open_requests_.end() || !found->second.ended || found->second.attempts_out > 0)
    return;
  if (Generation* generation = FindGeneration(found->second.number))
    --generation->requests;
  open_requests_.erase(found);
  std::erase_if(generations_, [&](const Generation& generation) {
    return generation.number != newest_ && generation.requests == 0;
  });
}

// Purges from the discovery service expire; recalls stay until they are lifted.
void Generations::RemoveExpiredPurges(Ms now) {
  std::erase_if(purges_, [&](const ActivePurge& active) {
    return !active.purge.is_recall && active.at < now - purge_retention_;
  });
}

void Generations::RecordState(Ms now, const Event& event) {
  if (auto* update = std::get_if<EndpointListUpdate>(&event)) {
    if (update->kind == ListUpdateKind::kFailed)
      return;
    if (update->kind != ListUpdateKind::kChanges)
      list_.clear();
    has_list_ |= update->kind != ListUpdateKind::kChanges;
    for (const ListEntry& entry : update->entries)
      if (entry.state == EndpointState::kRemoved)
        list_.erase(entry.id);
      else
        list_[entry.id] = entry;
  }
  if (auto* purge = std::get_if<Purged>(&event)) {
    RemoveExpiredPurges(now);
    if (purge->is_recall)
      std::erase_if(purges_, [&](const ActivePurge& active) {
        const Purged& kept = active.purge;
        return kept.is_recall && kept.is_group == purge->is_group && kept.object == purge->object &&
               kept.group == purge->group && kept.request_class == purge->request_class;
      });
    if (!purge->is_lifted)
      purges_.push_back({now - purge->age, *purge});
  }
  if (std::holds_alternative<ZoneTrafficWeights>(event) ||
      std::holds_alternative<MaxCopyAge>(event) || std::holds_alternative<AdmissionRamp>(event))
    fleet_state_.insert_or_assign(event.index(), event);
}

std::vector<Action> Generations::Handle(Ms now, const Event& event) {
  std::vector<Action> out;
  RecordState(now, event);
  auto deliver_to_owner = [&](std::uint32_t request) {
    auto found = open_requests_.find(request);
    if (found == open_requests_.end())
      return;
    if (Generation* generation = FindGeneration(found->second.number))
      Deliver(*generation, now, event, out);
    CloseIfDone(request);
  };
  if (auto* arrived = std::get_if<RequestArrived>(&event)) {
    if (open_requests_.count(arrived->request))
      return out;
    open_requests_[arrived->request] = {newest_, 0, false};
    ++generations_.back().requests;
    deliver_to_owner(arrived->request);
  } else if (auto* started = std::get_if<ResponseStarted>(&event)) {
    deliver_to_owner(started->request);
  } else if (auto* ended = std::get_if<AttemptEnded>(&event)) {
    if (auto found = open_requests_.find(ended->request); found != open_requests_.end()) {
      --found->second.attempts_out;
      found->second.ended |= ended->final;
    }
    deliver_to_owner(ended->request);
  } else if (auto* left = std::get_if<ClientLeft>(&event)) {
    if (auto found = open_requests_.find(left->request); found != open_requests_.end())
      found->second.ended = true;
    deliver_to_owner(left->request);
  } else if (auto* shortened = std::get_if<DeadlineShortened>(&event)) {
    deliver_to_owner(shortened->request);
  } else if (auto* fired = std::get_if<TimerFired>(&event)) {
    GenerationNumber number = (fired->handle & kGenerationMask) >> kGenerationShift;
    auto generation =
        std::find_if(generations_.begin(), generations_.end(), [&](const Generation& candidate) {
          return (candidate.number & kGenerationMask >> kGenerationShift) == number;
        });
    if (generation == generations_.end())
      return out;
    TimerFired original{fired->handle & ~kGenerationMask};
    Deliver(*generation, now, original, out);
    CloseIfDone(static_cast<std::uint32_t>(original.handle));
  } else {
    for (Generation& generation : generations_)
      Deliver(generation, now, event, out);
  }
  return out;
}

GenerationNumber Generations::StartGeneration(Ms now, const DeploymentSettings& settings,
                                              std::vector<Action>& out) {
  RemoveExpiredPurges(now);
  if (generations_.size() >= kMaxGenerations || purges_.size() > kMaxPurges)
    return 0;
  if (settings.request_classes.size() != generations_.front().settings.request_classes.size())
    return 0;
  ++newest_;
  generations_.push_back(
      {newest_, settings, std::make_unique<Router>(settings, seed_ + newest_), 0});
  purge_retention_ = std::max(purge_retention_, 2 * settings.purge_completion_time);
  Generation& generation = generations_.back();
  EndpointListUpdate full_list;
  full_list.kind = ListUpdateKind::kSnapshot;
  for (const auto& [id, entry] : list_)
    full_list.entries.push_back(entry);
  if (has_list_)
    Deliver(generation, now, full_list, out);
  for (const ActivePurge& active : purges_) {
    Purged purge = active.purge;
    purge.age = now - active.at;
    Deliver(generation, now, purge, out);
  }
  for (const auto& [kind, state] : fleet_state_)
    Deliver(generation, now, state, out);
  std::erase_if(generations_, [&](const Generation& generation) {
    return generation.number != newest_ && generation.requests == 0;
  });
  return newest_;
}

std::vector<Generations::Row> Generations::LiveGenerations() const {
  std::vector<Row> rows;
  for (const Generation& generation : generations_)
    rows.push_back({generation.number, generation.requests});
  return rows;
}

}  // namespace dunlinwick::generations
