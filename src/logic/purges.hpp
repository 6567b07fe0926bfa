// Purges and recalls: when which object was purged, and how old a copy of it may therefore be.
#pragma once
#include "logic_state/policy_context.hpp"

namespace dunlinwick::logic {

struct Purges : PolicyContext {
  // Twice the completion time, since a fill may store an old copy late.
  const Ms retention = 2 * settings.purge_completion_time;
  // By object or group: when it was purged. Erased after `retention`.
  std::unordered_map<std::uint64_t, Ms> purged_at{};
  // The fleet's recalls, also of request classes. Erased when they are lifted; there are at most as
  // many as the fleet's record holds.
  std::unordered_map<std::uint64_t, Ms> recalled_at{};
  Ms max_copy_age = 0;

  static std::uint64_t KeyOfRequestClass(int request_class) {
    return MixHash(~static_cast<std::uint64_t>(request_class));
  }

  void Record(const Purged& purge) {
    std::uint64_t key =
        purge.request_class >= 0 ? KeyOfRequestClass(purge.request_class) : purge.object;
    if (purge.is_group)
      key = ~static_cast<std::uint64_t>(purge.group);
    if (purge.is_lifted)
      return void(recalled_at.erase(key));
    if (purge.is_recall)
      return void(recalled_at[key] = now - purge.age);
    Ms& latest = purged_at.try_emplace(key, kLongAgo).first->second;
    latest = std::max(latest, TimeOf(purge));
    std::erase_if(purged_at, [&](auto& entry) { return entry.second < now - retention; });
  }

  // When a purge happened, on this front's clock. The purge must lie between the last moment at
  // which the front was up to date, less the delay of announcements, and the notification; at its
  // start the front gets the purges of the last `purge_completion_time`. If the stamp does not, the
  // clocks disagree, and the time of the notification is used. Otherwise, after a step of either
  // clock, a stamp that is too early would let the purge expire at once or admit stale copies, and
  // one in the future would reject every copy until this clock has reached it. Cost: copies made
  // between the purge and its notification are fetched once more.
  Ms TimeOf(const Purged& purge) const {
    constexpr Ms kAnnouncementDelay = kSecond;
    if (!purge.stamped)
      return now - purge.age;
    const NotificationTimes& notified = purge.stamped->notified;
    Ms earliest = notified.up_to_date_at.value_or(notified.at - settings.purge_completion_time) -
                  kAnnouncementDelay;
    return ToLocalClock(purge.stamped->stamp, earliest, notified.at);
  }

  // The latest purge or recall that covers the request's object; kLongAgo if there is none.
  Ms LatestFor(const Request& request) const {
    Ms latest = kLongAgo;
    for (std::uint64_t key : {request.object, ~static_cast<std::uint64_t>(request.group)}) {
      auto found = purged_at.find(key);
      if (found != purged_at.end() && found->second > now - retention)
        latest = std::max(latest, found->second);
    }
    if (!recalled_at.empty())
      for (std::uint64_t key : {request.object, ~static_cast<std::uint64_t>(request.group),
                                KeyOfRequestClass(request.request_class)})
        if (auto recall = recalled_at.find(key); recall != recalled_at.end())
          latest = std::max(latest, recall->second);
    return latest;
  }

  // The maximum age of a copy, to be sent with an attempt; 0 where the freshness lifetime of the
  // class suffices. After a purge: the time since it, less one millisecond against rounding, and
  // never 0, which would lift the limit. Where recalls may have been missed: at most
  // `max_copy_age`, which guards against a front that is cut off from the fleet's record. Cost:
  // stored copies are revalidated.
  Ms MaxAge(const Request& request) const {
    Ms purge = LatestFor(request);
    if (purge == kLongAgo && max_copy_age <= 0)
      return 0;
    Ms max_age = purge == kLongAgo ? max_copy_age : std::max(now - purge - 1, 0.001);
    if (max_copy_age > 0)
      max_age = std::min(max_age, max_copy_age);
    return request.class_state->freshness_lifetime > 0
               ? std::min(max_age, request.class_state->freshness_lifetime)
               : max_age;
  }
};

}  // namespace dunlinwick::logic
