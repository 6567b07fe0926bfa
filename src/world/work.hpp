// A server and a pending request; internal to the model.
#pragma once
#include "world/pipe.hpp"

namespace dunlinwick::world {

struct Model::Server {
  ServerSettings settings;
  std::uint64_t incarnation = 0;
  std::unique_ptr<TransferScheduler> scheduler;
  double slowdown = 1;
  Ms stalled_until = 0;
  int in_progress = 0;
  int active_fills = 0;
  std::map<std::uint64_t, std::shared_ptr<PendingRequest>>
      open_requests;                                  // by ticket; until replied to or cancelled
  std::deque<std::shared_ptr<PendingRequest>> queue;  // at most max_queue
  std::unordered_map<Key, Copy> copies;  // at most cache_kb; never iterated, for determinism
  std::set<std::tuple<int, Ms, Key>>
      eviction_order;  // rank, last use, key: the first is evicted first
  double used_kb = 0;
  std::map<Key, std::vector<std::shared_ptr<PendingRequest>>>
      pending_fetches;                            // of a parent; each until its fetch completes
  std::deque<std::pair<Ms, double>> recent_work;  // of the last window
  double recent_work_sum = 0;
  double hits = 0;
  double lookups = 0;
  std::deque<std::pair<Ms, Load>> load_samples;  // of the last 8 seconds
  bool IsCache() const {
    return settings.tier == Tier::kCache;
  }
};

// A request, from its arrival to its reply.
struct Model::PendingRequest {
  ClientRequest client_request;
  std::weak_ptr<Server> server;
  std::weak_ptr<Server> source;
  ReplyCallback on_reply;
  std::uint64_t ticket = 0;
  Key key = 0;
  Ms arrived_at = 0;
  Ms fill_started_at = 0;
  Ms delay = 0;
  Ms issued = 0;
  CacheStatus cache_status = CacheStatus::kNone;
  double size_kb = 0;
  double spent = 0;
  bool finished = false;
  bool started = false;
  bool filling = false;
  bool source_answered = false;
  bool is_parent_fetch = false;  // by a parent, for the requests that wait there
  int remaining_transfers = 0;   // of the parallel ones: the server's, the source's, the link's
  struct Transfer {
    std::weak_ptr<Server> server;
    int link = -1;
    std::uint64_t id = 0;
  };
  std::vector<Transfer> transfers;
};

}  // namespace dunlinwick::world
