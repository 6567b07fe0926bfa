// A request at the server at which it arrived: admission, reply from a cached copy, completion and
// cancellation.
#include <algorithm>
#include <cmath>
#include <cstdio>

#include "world/hashes.hpp"
#include "world/work.hpp"

namespace dunlinwick::world {

void Model::Defer(Ms time, std::shared_ptr<PendingRequest> pending,
                  void (Model::*handler)(std::shared_ptr<PendingRequest>, Ms)) {
  schedule_(time, [this, time, pending, handler] {
    if (!pending->finished)
      (this->*handler)(pending, time);
  });
}

std::uint64_t Model::Submit(Ms now, const std::string& server_id, ClientRequest client_request,
                            ReplyCallback on_reply) {
  auto found = servers_.find(server_id);
  if (found == servers_.end())
    return 0;
  auto pending = std::make_shared<PendingRequest>();
  pending->key =
      HashString(client_request.object, static_cast<std::uint64_t>(client_request.part) + 16);
  pending->client_request = std::move(client_request);
  pending->server = found->second;
  pending->on_reply = std::move(on_reply);
  pending->ticket = ++last_id_;
  pending->arrived_at = now;
  found->second->open_requests[pending->ticket] = pending;
  std::uint64_t ticket = pending->ticket;
  RecordSlowStartWork(*found->second, MeanTransferTime(pending->client_request.request_class), now);
  if (auto server = pending->server.lock();
      server && servers_.count(server_id)) {  // it may just have been overloaded and removed
    // The callback is never called from within Submit().
    constexpr Ms kReadTime = 0.1;
    if (server->stalled_until > now)
      Defer(server->stalled_until, pending, &Model::Admit);
    else
      Defer(now + kReadTime, pending, &Model::Admit);
  }
  return ticket;
}

void Model::Admit(std::shared_ptr<PendingRequest> pending, Ms now) {
  auto server = pending->server.lock();
  if (!server)
    return;
  if (server->in_progress >= server->settings.max_concurrent) {
    if (static_cast<int>(server->queue.size()) >= server->settings.max_queue)
      return Finish(pending, now, ReplyStatus::kOverloaded, CacheStatus::kNone);
    server->queue.push_back(pending);
    return;
  }
  Start(pending, now);
}

void Model::Start(std::shared_ptr<PendingRequest> pending, Ms now) {
  auto server = pending->server.lock();
  const RequestClassSettings& request_class =
      settings_.request_classes[static_cast<std::size_t>(pending->client_request.request_class)];
  ++server->in_progress;
  pending->started = true;
  if (now - pending->arrived_at > pending->client_request.timeout)
    return Finish(pending, now, ReplyStatus::kDeadlineExceeded, CacheStatus::kNone);
  if (UniformBetween(random_engine_, 0, 1) < settings_.error_rate)
    return Finish(pending, now, ReplyStatus::kError, CacheStatus::kNone);
  if (request_class.uncacheable) {
    if (server->settings.tier == Tier::kOrigin)
      return HandleAtSource(pending, now);
    if (pending->client_request.source.empty())
      return Finish(pending, now, ReplyStatus::kMiss, CacheStatus::kNone);
    return StartFill(pending, now);
  }
  pending->size_kb = SizeKb(pending->client_request.request_class, pending->client_request.object);
  Ms max_age = pending->client_request.max_copy_age > 0 ? pending->client_request.max_copy_age
                                                        : request_class.max_age;
  if (server->settings.tier != Tier::kOrigin) {
    ++server->lookups;
    if (Copy* copy = FindCopy(*server, pending->key, now, max_age)) {
      ++server->hits;
      server->eviction_order.erase({copy->rank, copy->last_used, pending->key});
      copy->last_used = now;
      if (pending->client_request.rank > 0)
        copy->rank = pending->client_request.rank;
      server->eviction_order.insert({copy->rank, copy->last_used, pending->key});
      pending->cache_status = CacheStatus::kHit;
      pending->issued = copy->issued;
      return SendCopy(pending, now, pending->size_kb);
    }
    if (pending->client_request.source.empty() && server->settings.tier == Tier::kCache)
      return Finish(pending, now, ReplyStatus::kMiss, CacheStatus::kNone);
  }
  if (server->settings.tier == Tier::kCache)
    return StartFill(pending, now);
  pending->fill_started_at = now;
  HandleAtSource(pending, now);  // requested directly: the server is its own source
}

void Model::SendCopy(std::shared_ptr<PendingRequest> pending, Ms now, double size_kb) {
  auto server = pending->server.lock();
  bool not_modified = !pending->client_request.known_tag.empty() &&
                      pending->client_request.known_tag == TagOf(*pending);
  double duration = (not_modified ? 0.05 : 1) * size_kb / settings_.stream_kb_per_ms;
  pending->transfers.push_back(
      {pending->server, -1,
       server->scheduler->Add(now, duration, [this, pending, size_kb](Ms finished_at) {
         if (!pending->finished)
           Finish(pending, finished_at, ReplyStatus::kHit, pending->cache_status, pending->issued,
                  size_kb);
       })});
}

std::string Model::TagOf(const PendingRequest& pending) {
  char text[40];
  std::snprintf(text, sizeof text, "%016llx-%llx", static_cast<unsigned long long>(pending.key),
                static_cast<unsigned long long>(pending.issued));
  return text;
}

void Model::Finish(std::shared_ptr<PendingRequest> pending, Ms now, ReplyStatus status,
                   CacheStatus cache_status, Ms issued, double size_kb) {
  if (pending->finished)
    return;
  pending->finished = true;
  auto server = pending->server.lock();
  pending->issued = issued;
  Reply reply;
  reply.status = status;
  reply.cache_status = cache_status;
  reply.delay = pending->filling ? pending->delay : 0;
  if (status == ReplyStatus::kHit) {
    reply.tag = TagOf(*pending);
    reply.issued = std::floor(issued);
    usage.requested_work += pending->size_kb / settings_.stream_kb_per_ms;
    reply.size_kb = size_kb;
    if (pending->client_request.known_tag == reply.tag) {
      reply.status = ReplyStatus::kNotModified;
      reply.size_kb = 0;
    }
  }
  ReplyCallback on_reply = std::move(pending->on_reply);
  if (server)
    ReleaseCapacity(*server, pending, now);
  if (on_reply)
    on_reply(reply);
}

void Model::ReleaseCapacity(Server& server, std::shared_ptr<PendingRequest> pending, Ms now) {
  server.open_requests.erase(pending->ticket);
  for (auto& transfer : pending->transfers)
    if (transfer.link >= 0)
      links_[static_cast<std::size_t>(transfer.link)]->Remove(now, transfer.id);
    else if (auto transfer_server = transfer.server.lock())
      transfer_server->scheduler->Remove(now, transfer.id);
  pending->transfers.clear();
  if (pending->filling && !pending->is_parent_fetch)
    --server.active_fills;
  if (!pending->started) {
    std::erase(server.queue, pending);
    return;
  }
  if (pending->is_parent_fetch)
    return;
  --server.in_progress;
  while (server.in_progress < server.settings.max_concurrent && !server.queue.empty()) {
    auto next = server.queue.front();
    server.queue.pop_front();
    if (next->finished)
      continue;
    Start(next, now);
  }
}

void Model::Cancel(Ms now, const std::string& server_id, std::uint64_t ticket) {
  auto server = servers_.find(server_id);
  if (server == servers_.end())
    return;
  auto found = server->second->open_requests.find(ticket);
  if (found == server->second->open_requests.end())
    return;
  auto pending = found->second;
  if (pending->finished)
    return;
  pending->finished = true;
  usage.wasted_work +=
      std::min(now - pending->arrived_at, pending->size_kb / settings_.stream_kb_per_ms);
  ReleaseCapacity(*server->second, pending, now);
}

}  // namespace dunlinwick::world
