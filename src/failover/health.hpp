// The share of its own zone's caches that a front can use: by weight, of those that are listed as
// ready, the ones that are not ejected. Pure: endpoint list updates and health reports of the logic
// go in. It is this front's observation, not the failover decision. Bounds: the endpoints that are
// listed; one that leaves the list is dropped with that update.
#pragma once
#include <map>
#include <set>

#include "logic.hpp"

namespace dunlinwick::failover {

class ZoneCacheHealth {
 public:
  // Endpoints of `parent_kind` and `origin_kind` are no caches; all other kinds are.
  ZoneCacheHealth(int zone, int parent_kind, int origin_kind)
      : zone_(zone), parent_kind_(parent_kind), origin_kind_(origin_kind) {}
  void Update(const EndpointListUpdate& update) {
    if (update.kind == ListUpdateKind::kFailed)
      return;
    if (update.kind != ListUpdateKind::kChanges)
      caches_.clear();
    for (const ListEntry& entry : update.entries) {
      bool is_zone_cache =
          entry.zone == zone_ && entry.kind != parent_kind_ && entry.kind != origin_kind_;
      if (!is_zone_cache || entry.state != EndpointState::kReady)
        caches_.erase(entry.id);
      else
        caches_[entry.id] = entry.weight > 0 ? entry.weight : 1;
    }
    has_listed_cache_ = has_listed_cache_ || !caches_.empty();
  }
  void Update(const ReportEndpointHealth& report) {
    constexpr std::size_t kMaxEjected = 1024;
    if (!report.ejected)
      return void(ejected_.erase(report.endpoint));
    if (ejected_.size() >= kMaxEjected)
      std::erase_if(ejected_, [&](std::uint32_t id) { return !caches_.count(id); });
    ejected_.insert(report.endpoint);
  }
  // 0 to 1; negative before the first cache of the zone was listed: unknown.
  double UsableShare() const {
    if (!has_listed_cache_)
      return -1;
    double total = 0, usable = 0;
    for (const auto& [id, weight] : caches_) {
      total += weight;
      usable += ejected_.count(id) ? 0 : weight;
    }
    return total > 0 ? usable / total : 0;
  }

 private:
  int zone_;
  int parent_kind_;
  int origin_kind_;
  bool has_listed_cache_ = false;
  std::map<std::uint32_t, double> caches_;  // weights
  // Outlives the list's entries: a cache that drains and becomes ready again is still ejected.
  // An entry is removed when the logic reports the cache as readmitted; when the bound is reached,
  // those that are not listed are removed.
  std::set<std::uint32_t> ejected_;
};

}  // namespace dunlinwick::failover
