// Servers and links: their set, their present capacity, the load reported, and their faults.
#include "world/model.hpp"

#include <algorithm>

#include "world/work.hpp"

namespace dunlinwick::world {

Model::Model(ModelSettings settings, std::uint64_t seed, Ms start, ScheduleFunction schedule,
             ModelObserver& observer)
    : settings_(std::move(settings)),
      random_engine_(seed),
      start_(start),
      schedule_(std::move(schedule)),
      observer_(observer) {}

Model::~Model() = default;

double Model::MeanTransferTime(int request_class) const {
  return settings_.request_classes[static_cast<std::size_t>(request_class)].mean_transfer_time;
}

void Model::SetLink(int zone, double capacity) {
  auto index = static_cast<std::size_t>(zone);
  if (links_.size() <= index)
    links_.resize(index + 1);
  links_[index] =
      std::make_unique<TransferScheduler>(*this, capacity, settings_.fill_rate_multiple);
}

void Model::AddServer(const ServerSettings& server_settings) {
  auto server = std::make_shared<Server>();
  server->settings = server_settings;
  server->incarnation = ++last_id_;
  server->scheduler = std::make_unique<TransferScheduler>(
      *this, server_settings.capacity,
      server_settings.tier == Tier::kCache ? 1 : settings_.fill_rate_multiple);
  server->scheduler->slows_under_load = server_settings.tier == Tier::kOrigin;
  servers_[server_settings.id] = server;
  SampleLoad(server_settings.id, server->incarnation);
}

void Model::RemoveServer(Ms now, const std::string& server_id) {
  auto found = servers_.find(server_id);
  if (found == servers_.end())
    return;
  auto server = found->second;
  for (auto& [ticket, pending] : server->open_requests)
    pending->finished = true;
  auto open_requests = server->open_requests;
  servers_.erase(found);
  // Its fills end at their sources too.
  for (auto& [ticket, pending] : open_requests)
    for (auto& transfer : pending->transfers)
      if (transfer.link >= 0)
        links_[static_cast<std::size_t>(transfer.link)]->Remove(now, transfer.id);
      else if (auto source = transfer.server.lock())
        source->scheduler->Remove(now, transfer.id);
}

double Model::CapacityOf(Server& server, Ms now) const {
  double capacity = server.settings.capacity;
  if (server.settings.started_at > 0) {
    double initial_share =
        server.IsCache() ? settings_.cache_slow_start_from : settings_.parent_slow_start_from;
    Ms duration = server.IsCache() ? settings_.cache_slow_start_duration
                                   : settings_.parent_slow_start_duration;
    double progress = std::clamp((now - server.settings.started_at) / duration, 0.0, 1.0);
    if (server.settings.tier != Tier::kOrigin)
      capacity *= initial_share + (1 - initial_share) * progress;
  }
  return capacity;
}

// At each report interval: updates the capacity, which grows in slow start, and records the load.
void Model::SampleLoad(const std::string& server_id, std::uint64_t incarnation) {
  auto found = servers_.find(server_id);
  if (found == servers_.end() || found->second->incarnation != incarnation)
    return;
  Server& server = *found->second;
  Ms now = server.load_samples.empty()
               ? std::max(start_, server.settings.started_at)
               : server.load_samples.back().first + settings_.report_interval;
  server.scheduler->SetCapacity(now, CapacityOf(server, now) / server.slowdown);
  Load load;
  load.utilization = std::min(1.0, server.scheduler->Utilization());
  load.in_flight = server.in_progress + static_cast<double>(server.queue.size());
  load.hit_ratio = server.lookups > 0 ? server.hits / server.lookups : 0;
  if (server.settings.tier == Tier::kParent)
    load.link_utilization = static_cast<double>(server.pending_fetches.size());
  else if (server.settings.zone >= 0)
    load.link_utilization =
        std::min(1.0, links_[static_cast<std::size_t>(server.settings.zone)]->Utilization());
  server.hits *= 0.8;
  server.lookups *= 0.8;
  server.load_samples.push_back({now, load});
  while (server.load_samples.size() > 1 && server.load_samples.front().first < now - 8000)
    server.load_samples.pop_front();
  schedule_(now + settings_.report_interval,
            [this, server_id, incarnation] { SampleLoad(server_id, incarnation); });
}

Load Model::ReportedLoad(Ms now, const std::string& server_id) {
  auto found = servers_.find(server_id);
  if (found == servers_.end())
    return {};
  Load load;
  for (auto& [time, sample] : found->second->load_samples)
    if (time <= now - settings_.report_delay - extra_report_delay_)
      load = sample;
  return load;
}

// The slow start limit: all that arrives at a server counts, also what it rejects, each request at
// the mean of its request class.
void Model::RecordSlowStartWork(Server& server, double work, Ms now) {
  if (server.settings.started_at <= 0 || server.settings.tier == Tier::kOrigin)
    return;
  Ms duration =
      server.IsCache() ? settings_.cache_slow_start_duration : settings_.parent_slow_start_duration;
  if (now > server.settings.started_at + duration)
    return;
  server.recent_work.push_back({now, work});
  server.recent_work_sum += work;
  while (server.recent_work.front().first <= now - settings_.slow_start_window) {
    server.recent_work_sum -= server.recent_work.front().second;
    server.recent_work.pop_front();
  }
  double limit = (server.IsCache() ? settings_.cache_slow_start_multiple
                                   : settings_.parent_slow_start_multiple) *
                 CapacityOf(server, now) * settings_.slow_start_window;
  observer_.OnSlowStartLoad(server.settings.id, server.recent_work_sum / limit);
  // One attempt alone overloads no server: the last one of the window does not count, which leaves
  // slack for chance.
  if (server.recent_work_sum - work > limit)
    observer_.OnOverloaded(now, server.settings.id, server.recent_work_sum, limit);
}

void Model::OnStartReported(const std::string& server_id) {
  if (auto found = servers_.find(server_id);
      found != servers_.end() && found->second->settings.tier != Tier::kOrigin) {
    found->second->recent_work.clear();
    found->second->recent_work_sum = 0;
  }
}

// ---- faults

void Model::Stall(Ms now, const std::string& server_id, Ms until) {
  auto found = servers_.find(server_id);
  if (found == servers_.end())
    return;
  auto server = found->second;
  server->stalled_until = std::max(server->stalled_until, until);
  server->scheduler->SetStopped(now, true);
  std::weak_ptr<Server> weak_server = server;
  schedule_(server->stalled_until, [weak_server, until] {
    if (auto stalled = weak_server.lock(); stalled && stalled->stalled_until <= until)
      stalled->scheduler->SetStopped(until, false);
  });
}

void Model::SetSlowdown(Ms now, const std::string& server_id, double factor) {
  auto found = servers_.find(server_id);
  if (found == servers_.end())
    return;
  found->second->slowdown = factor;
  found->second->scheduler->SetCapacity(now, CapacityOf(*found->second, now) / factor);
}

}  // namespace dunlinwick::world
