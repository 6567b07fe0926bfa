// Purges: what was purged when, and how old a copy may then be.
#pragma once
#include "logic_state/turn.hpp"

namespace dunlinwick::logic {

struct Purges : Part {
  const Ms kept = 2 * f.purge_done;                // a fill may lay down an old copy late
  std::unordered_map<std::uint64_t, Ms> purged{};  // object or group: when; emptied after `kept`
  // The fleet's recalls, of offerings too: emptied as they are lifted, and as many as its record
  // holds.
  std::unordered_map<std::uint64_t, Ms> recalled{};
  Ms no_older = 0;

  static std::uint64_t OfRequestClass(int request_class) {
    return Mixed(~static_cast<std::uint64_t>(request_class));
  }

  void Take(const Purged& e) {
    std::uint64_t key = e.request_class >= 0 ? OfRequestClass(e.request_class) : e.object;
    if (e.whole_group)
      key = ~static_cast<std::uint64_t>(e.group);
    if (e.lifted)
      return void(recalled.erase(key));
    if (e.standing)
      return void(recalled[key] = now - e.ago);
    Ms& known = purged.try_emplace(key, kLongAgo).first->second;
    known = std::max(known, PurgedAt(e));
    std::erase_if(purged, [&](auto& one) { return one.second < now - kept; });
  }

  // When a purge was, on this front's clock. One that is told was announced after the last moment
  // at which nothing was missing here; at a start those of the last `purgeDone` come. A stamp from
  // before that, or ahead of the telling, is of a clock that disagrees, and the purge counts as
  // when it was told. Guards against a purge that is dropped as done, or whose age admits older
  // copies, after a step of either clock, and against one that refuses every copy until this clock
  // has come up to its stamp. Harm: copies made between the purge and its telling are fetched once
  // more.
  Ms PurgedAt(const Purged& e) const {
    constexpr Ms kAnnouncingTakes = kSecond;
    if (!e.stamped)
      return now - e.ago;
    const NotificationTimes& notified = e.stamped->notified;
    Ms earliest = notified.up_to_date_at.value_or(notified.at - f.purge_done) - kAnnouncingTakes;
    return ToLocalClock(e.stamped->stamp, earliest, notified.at);
  }

  Ms at(const Request& p) const {
    Ms latest = kLongAgo;
    for (std::uint64_t key : {p.object, ~static_cast<std::uint64_t>(p.group)}) {
      auto found = purged.find(key);
      if (found != purged.end() && found->second > now - kept)
        latest = std::max(latest, found->second);
    }
    if (!recalled.empty())
      for (std::uint64_t key :
           {p.object, ~static_cast<std::uint64_t>(p.group), OfRequestClass(p.request_class)})
        if (auto r = recalled.find(key); r != recalled.end())
          latest = std::max(latest, r->second);
    return latest;
  }

  // The age asked for, 0 where the offering's own limit will do. After a purge: at most the time
  // since it, less one millisecond against rounding, and never 0, which would lift the cap. Where
  // recalls may have been missed: none older than that. Guards against a front cut off from the
  // record. Harm: kept copies are checked.
  Ms Oldest(const Request& p) const {
    Ms purge = at(p);
    if (purge == kLongAgo && no_older <= 0)
      return 0;
    Ms since = purge == kLongAgo ? no_older : std::max(now - purge - 1, 0.001);
    if (no_older > 0)
      since = std::min(since, no_older);
    return p.class_state->fresh_for > 0 ? std::min(since, p.class_state->fresh_for) : since;
  }
};

}  // namespace dunlinwick::logic
