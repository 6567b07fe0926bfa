// What a front can use of its own zone's caches, as its module holds it: the share, by weight, of
// those listed as ready that are not set aside. Pure: list news and the module's words in. It is
// this front's opinion, not a verdict. Bounds: machines as listed; one that left is forgotten with
// the news of it.
#pragma once
#include <map>
#include <set>

#include "logic.hpp"

namespace dunlinwick::failover {

class Health {
 public:
  // `isCache`: whether a kind is a cache, neither parent nor origin.
  Health(int zone, int parent_kind, int origin_kind)
      : zone_(zone), parent_kind_(parent_kind), origin_kind_(origin_kind) {}
  void Take(const EndpointListUpdate& news) {
    if (news.kind == ListUpdateKind::kFailed)
      return;
    if (news.kind != ListUpdateKind::kChanges)
      caches_.clear();
    for (const ListEntry& e : news.entries) {
      bool counts = e.zone == zone_ && e.kind != parent_kind_ && e.kind != origin_kind_;
      if (!counts || e.state != EndpointState::kReady)
        caches_.erase(e.id);
      else
        caches_[e.id] = e.weight > 0 ? e.weight : 1;
    }
    notified_ = notified_ || !caches_.empty();
  }
  void Take(const ReportEndpointHealth& notified) {
    constexpr std::size_t kMost = 1024;
    if (!notified.ejected)
      return void(ejected_.erase(notified.endpoint));
    if (ejected_.size() >= kMost)
      std::erase_if(ejected_, [&](std::uint32_t id) { return !caches_.count(id); });
    ejected_.insert(notified.endpoint);
  }
  // 0 to 1; below 0 before the first cache of the zone was listed: no opinion.
  double Share() const {
    if (!notified_)
      return -1;
    double all = 0, up = 0;
    for (const auto& [id, weight] : caches_) {
      all += weight;
      up += ejected_.count(id) ? 0 : weight;
    }
    return all > 0 ? up / all : 0;
  }

 private:
  int zone_;
  int parent_kind_;
  int origin_kind_;
  bool notified_ = false;
  std::map<std::uint32_t, double> caches_;  // weights
  // The module's words outlive the list's: a cache that drains and is ready again is still aside.
  // Emptied by the module's word that it is back, and past the bound of those that are not listed.
  std::set<std::uint32_t> ejected_;
};

}  // namespace dunlinwick::failover
