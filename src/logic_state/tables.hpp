// The tables of the policy's records, with lookup and sorting. No decisions: src/logic/ decides
// what a table holds and when an entry is erased.
#pragma once
#include <cmath>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "logic_state/records.hpp"

namespace dunlinwick::logic {

// The finisher of splitmix64. Independent of the seed, so that all fronts compute the same hash.
inline std::uint64_t MixHash(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ull;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
  return x ^ (x >> 31);
}
// From 0 to below 1.
inline double UnitFraction(std::uint64_t hash) {
  return static_cast<double>(hash >> 11) * 0x1p-53;
}
// Above 0 and below 1.
inline double OpenUnitFraction(std::uint64_t hash) {
  return (static_cast<double>(hash >> 11) + 0.5) * 0x1p-53;
}

// Requests by their number. An entry is erased when the request has ended and none of its attempts
// is in flight.
struct Requests : std::map<std::uint32_t, Request> {
  Request* Find(std::uint32_t id) {
    auto found = find(id);
    return found == end() ? nullptr : &found->second;
  }
  bool AnyRefersTo(const Endpoint* endpoint) const {
    return std::any_of(begin(), end(),
                       [&](auto& entry) { return entry.second.RefersTo(endpoint); });
  }
  // The number of attempts in flight to `endpoint`, or filled from it, that satisfy `predicate`.
  template <class Predicate>
  int CountInFlight(const Endpoint* endpoint, Predicate predicate) const {
    int sum = 0;
    for (auto& [id, request] : *this)
      for (const Attempt& attempt : request.attempts)
        sum += attempt.in_flight && (attempt.endpoint == endpoint || attempt.source == endpoint) &&
               predicate(request, attempt);
    return sum;
  }
  void EraseIfDone(Request& request) {
    if (!request.ended || request.HasAttemptInFlight())
      return;
    --request.history->open_requests;
    erase(request.request);
  }
};

// The endpoints by number, and by role without those that were removed; each group is in the order
// of the numbers.
struct EndpointTable {
  std::map<std::uint32_t, Endpoint> by_number;
  std::vector<Endpoint*> caches, parents, origins;      // `caches`: of the own zone
  std::map<int, std::vector<Endpoint*>> remote_caches;  // by zone
  Endpoint* Find(std::uint32_t id) {
    auto found = by_number.find(id);
    return found == by_number.end() ? nullptr : &found->second;
  }
  void RebuildGroups() {
    caches.clear();
    parents.clear();
    origins.clear();
    remote_caches.clear();
    for (auto& [id, endpoint] : by_number) {
      if (endpoint.state == EndpointState::kRemoved)
        continue;
      if (endpoint.role == Role::kLocalCache)
        caches.push_back(&endpoint);
      if (endpoint.role == Role::kParent)
        parents.push_back(&endpoint);
      if (endpoint.role == Role::kOrigin)
        origins.push_back(&endpoint);
      if (endpoint.role == Role::kRemoteZoneCache)
        remote_caches[endpoint.zone].push_back(&endpoint);
    }
  }
};

// Endpoints by ascending score; equal scores by number.
inline std::vector<Endpoint*> SortedByScore(std::vector<std::pair<double, Endpoint*>> scored) {
  std::sort(scored.begin(), scored.end(), [](auto& a, auto& b) {
    return a.first != b.first ? a.first < b.first : a.second->id < b.second->id;
  });
  std::vector<Endpoint*> order;
  for (auto& [score, endpoint] : scored)
    order.push_back(endpoint);
  return order;
}

// The histories of parts, in the order of their last use.
struct HistoryTable {
  std::list<PartHistory> by_use;  // least recently used first
  std::unordered_map<std::uint64_t, std::list<PartHistory>::iterator> by_key;
  PartHistory* Touch(std::uint64_t key, Ms now) {
    auto found = by_key.find(key);
    if (found == by_key.end())
      return nullptr;
    by_use.splice(by_use.end(), by_use, found->second);
    found->second->used_at = now;
    return &*found->second;
  }
  PartHistory* Add(std::uint64_t key, Ms now) {
    by_use.push_back({key, now});
    by_key[key] = std::prev(by_use.end());
    return &by_use.back();
  }
  // Whether the oldest may be erased: no request refers to it.
  bool IsOldestUnused() const {
    return !by_use.empty() && by_use.front().open_requests == 0;
  }
  void Unlink(const Endpoint* endpoint) {
    for (PartHistory& history : by_use)
      if (history.last_cache == endpoint)
        history.last_cache = nullptr;
  }
  void EraseOldest() {
    by_key.erase(by_use.front().key);
    by_use.pop_front();
  }
};

inline std::string LogLineOf(const char* change, const Endpoint& endpoint) {
  static const char* const kRoles[] = {"cache ", "parent ", "origin ", "remote cache "};
  return kRoles[static_cast<int>(endpoint.role)] + std::to_string(endpoint.id) + " " + change +
         ": consecutive failures " + std::to_string(endpoint.consecutive_failures) +
         ", attempts in flight " + std::to_string(std::lround(endpoint.in_flight.current));
}

}  // namespace dunlinwick::logic
