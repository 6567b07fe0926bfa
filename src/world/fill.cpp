// A request at its source, which is another cache of the zone, a parent or the origin, and the
// transfer back.
#include <algorithm>

#include "world/hashes.hpp"
#include "world/work.hpp"

namespace dunlinwick::world {

void Model::StartFill(std::shared_ptr<PendingRequest> pending, Ms now) {
  auto server = pending->server.lock();
  if (server->active_fills >= server->settings.max_fills)
    return Finish(pending, now, ReplyStatus::kError, CacheStatus::kNoFillSlot);
  ++server->active_fills;
  pending->filling = true;
  pending->fill_started_at = now;
  auto found = servers_.find(pending->client_request.source);
  Ms latency = found == servers_.end() ? 5
               : found->second->settings.tier == Tier::kCache
                   ? 0.3
                   : found->second->settings.one_way_latency;
  if (found != servers_.end())
    pending->source = found->second;
  Defer(now + latency, pending, &Model::HandleAtSource);
  Defer(now + settings_.fill_timeout, pending, &Model::OnFillTimeout);
}

// The source has not answered within the fill timeout.
void Model::OnFillTimeout(std::shared_ptr<PendingRequest> pending, Ms now) {
  if (!pending->source_answered)
    Finish(pending, now, ReplyStatus::kError, CacheStatus::kSourceFailed);
}

void Model::HandleAtSource(std::shared_ptr<PendingRequest> pending, Ms now) {
  const RequestClassSettings& request_class =
      settings_.request_classes[static_cast<std::size_t>(pending->client_request.request_class)];
  auto server = pending->server.lock();
  auto source = pending->filling ? pending->source.lock() : server;
  // A process that has ended refuses; a stalled one keeps its clients waiting.
  if (!source || !servers_.count(source->settings.id) || servers_[source->settings.id] != source)
    return Finish(pending, now, ReplyStatus::kError, CacheStatus::kSourceFailed);
  if (source->stalled_until > now)
    return Defer(source->stalled_until, pending, &Model::HandleAtSource);
  if (request_class.uncacheable) {
    if (source->settings.tier != Tier::kOrigin)
      return Finish(pending, now, ReplyStatus::kError, CacheStatus::kNone);
    pending->source_answered = true;
    observer_.OnExecuted(now, pending->client_request.id, pending->client_request.object);
    Ms latency = pending->filling ? source->settings.one_way_latency : 0;
    std::uint64_t ignored = source->scheduler->Add(
        now, request_class.mean_transfer_time * UniformBetween(random_engine_, 0.5, 1.5),
        [this, pending, latency](Ms finished_at) {
          auto respond = [this, pending](Ms time) {
            if (!pending->finished)
              Finish(pending, time, ReplyStatus::kHit,
                     pending->filling ? CacheStatus::kFilledByOrigin : CacheStatus::kHit, time,
                     0.1);
          };
          if (latency > 0)
            schedule_(finished_at + latency,
                      [respond, time = finished_at + latency] { respond(time); });
          else
            respond(finished_at);
        });
    (void)ignored;  // once started at the origin it runs to its end, even if cancelled
    return;
  }
  if (pending->filling)
    RecordSlowStartWork(*source, MeanTransferTime(pending->client_request.request_class), now);
  if (!servers_.count(source->settings.id))
    return;  // this request overloaded it, and it was removed
  Ms max_age = pending->client_request.max_copy_age > 0 ? pending->client_request.max_copy_age
                                                        : request_class.max_age;
  if (source->settings.tier == Tier::kOrigin)
    return HandleAtOrigin(source, pending, now);
  if (pending->filling)
    if (Copy* copy = FindCopy(*source, pending->key, now, max_age)) {
      source->eviction_order.erase({copy->rank, copy->last_used, pending->key});
      copy->last_used = now;
      source->eviction_order.insert({copy->rank, copy->last_used, pending->key});
      return ReceiveFromSource(pending, now, copy->issued, CacheStatus::kFilled);
    }
  if (source->settings.tier == Tier::kCache || pending->client_request.cache_only)
    return Finish(pending, now, ReplyStatus::kMiss, CacheStatus::kSourceMiss);
  if (static_cast<int>(source->pending_fetches.size()) >= source->settings.max_fills)
    return Finish(pending, now, ReplyStatus::kError, CacheStatus::kSourceRefused);
  auto& waiters = source->pending_fetches[pending->key];
  waiters.push_back(pending);
  if (waiters.size() > 1)
    return;  // one fetch serves all that wait
  auto fetch = std::make_shared<PendingRequest>();
  fetch->client_request = pending->client_request;
  fetch->key = pending->key;
  fetch->size_kb = pending->size_kb;
  fetch->server = source;
  fetch->filling = true;
  fetch->is_parent_fetch = true;
  auto origin = std::find_if(servers_.begin(), servers_.end(), [](auto& entry) {
    return entry.second->settings.tier == Tier::kOrigin;
  });
  if (origin == servers_.end())
    return CompleteParentFetch(fetch, now, 0);
  fetch->source = origin->second;
  Defer(now + 5, fetch, &Model::HandleAtSource);
}

// A parent's fetch is complete, or has failed (`issued` 0).
void Model::CompleteParentFetch(std::shared_ptr<PendingRequest> fetch, Ms now, Ms issued) {
  auto parent = fetch->server.lock();
  fetch->finished = true;
  if (!parent)
    return;
  auto found = parent->pending_fetches.find(fetch->key);
  if (found == parent->pending_fetches.end())
    return;
  auto waiters = std::move(found->second);
  parent->pending_fetches.erase(found);
  if (issued > 0) {
    Copy copy{fetch->size_kb,
              issued,
              now,
              1,
              GroupOf(fetch->client_request.object),
              HashString(fetch->client_request.object)};
    StoreCopy(*parent, fetch->key, copy, now);
  }
  for (auto& pending : waiters)
    if (!pending->finished) {
      if (issued > 0)
        ReceiveFromSource(pending, now, issued, CacheStatus::kFilledByOrigin);
      else
        Finish(pending, now, ReplyStatus::kError, CacheStatus::kOriginFailed);
    }
}

void Model::HandleAtOrigin(std::shared_ptr<Server> origin, std::shared_ptr<PendingRequest> pending,
                           Ms now) {
  // Overloaded for a whole window, the origin stalls for some seconds.
  origin->recent_work.push_back({now, pending->size_kb / settings_.stream_kb_per_ms});
  origin->recent_work_sum += origin->recent_work.back().second;
  while (origin->recent_work.front().first <= now - settings_.origin_overload_window) {
    origin->recent_work_sum -= origin->recent_work.front().second;
    origin->recent_work.pop_front();
  }
  if (origin->recent_work_sum > settings_.origin_overload_multiple * origin->scheduler->capacity *
                                    settings_.origin_overload_window &&
      origin_stalls_ < settings_.max_origin_stalls) {
    ++origin_stalls_;
    origin->recent_work.clear();
    origin->recent_work_sum = 0;
    Stall(now, origin->settings.id, now + UniformBetween(random_engine_, 2000, 5000));
  }
  Ms response_time = settings_.origin_response_time * UniformBetween(random_engine_, 0.7, 1.3);
  usage.origin_kb += pending->size_kb;
  pending->issued = now;
  if (pending->is_parent_fetch) {  // received complete, then forwarded: a parent stores it
    std::weak_ptr<Server> weak_origin = origin;
    schedule_(now + response_time, [this, pending, weak_origin, now, response_time] {
      auto origin = weak_origin.lock();
      if (!origin || pending->finished)
        return;
      origin->scheduler->Add(now + response_time, pending->size_kb / settings_.stream_kb_per_ms,
                             [this, pending](Ms finished_at) {
                               if (!pending->finished)
                                 CompleteParentFetch(pending, finished_at + 0, pending->issued);
                             });
    });
    return;
  }
  schedule_(now + response_time, [this, pending, now, response_time] {
    if (!pending->finished)
      ReceiveFromSource(pending, now + response_time, pending->issued,
                        pending->filling ? CacheStatus::kFilledByOrigin : CacheStatus::kHit);
  });
}

// The source has its first byte ready. From here the server's, the source's and the link's
// transfers run in parallel, and the slowest one decides.
void Model::ReceiveFromSource(std::shared_ptr<PendingRequest> pending, Ms now, Ms issued,
                              CacheStatus cache_status) {
  auto server = pending->server.lock();
  auto source = pending->filling ? pending->source.lock() : nullptr;
  if (!server)
    return;
  if (pending->filling && !source)
    return Finish(pending, now, ReplyStatus::kError, CacheStatus::kSourceFailed);
  pending->source_answered = true;
  pending->issued = issued;
  pending->cache_status = cache_status;
  Ms latency = !source                                 ? 0
               : source->settings.tier == Tier::kCache ? 0.3
                                                       : source->settings.one_way_latency;
  pending->delay = now + latency - pending->fill_started_at;
  double duration = pending->size_kb / settings_.stream_kb_per_ms;
  auto on_transfer_done = [this, pending](Ms finished_at) {
    if (--pending->remaining_transfers > 0 || pending->finished)
      return;
    auto server = pending->server.lock();
    if (!server)
      return;
    if (pending->filling && pending->client_request.rank > 0 &&
        !pending->client_request.pass_through) {
      Copy copy{pending->size_kb,
                pending->issued,
                finished_at,
                pending->client_request.rank,
                GroupOf(pending->client_request.object),
                HashString(pending->client_request.object)};
      StoreCopy(*server, pending->key, copy, finished_at);
    }
    Finish(pending, finished_at, ReplyStatus::kHit, pending->cache_status, pending->issued,
           pending->size_kb);
  };
  Ms arrival = now + latency;
  schedule_(arrival, [this, pending, on_transfer_done, duration, arrival] {
    auto server = pending->server.lock();
    auto source = pending->filling ? pending->source.lock() : nullptr;
    if (pending->finished || !server)
      return;
    bool link = server->settings.zone >= 0 && (!source || source->settings.tier != Tier::kCache);
    pending->remaining_transfers = 1 + (source ? 1 : 0) + link;
    pending->transfers.push_back(
        {pending->server, -1, server->scheduler->Add(arrival, duration, on_transfer_done)});
    if (source)
      pending->transfers.push_back(
          {pending->source, -1, source->scheduler->Add(arrival, duration, on_transfer_done)});
    if (link) {
      usage.link_kb += pending->size_kb;
      auto& scheduler = links_[static_cast<std::size_t>(server->settings.zone)];
      pending->transfers.push_back(
          {{}, server->settings.zone, scheduler->Add(arrival, duration, on_transfer_done)});
    }
  });
}

}  // namespace dunlinwick::world
