// Tables of the module's records, and how they are found and sorted. No decisions: what a table
// holds, and when something is dropped from it, is for src/logic/ to say.
#pragma once
#include <cmath>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "logic_state/records.hpp"

namespace dunlinwick::logic {

inline std::uint64_t Mixed(
    std::uint64_t x) {  // splitmix64's finisher: the same at all fronts, whatever their seeds
  x += 0x9e3779b97f4a7c15ull;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
  return x ^ (x >> 31);
}
inline double Fraction(std::uint64_t hash) {
  return static_cast<double>(hash >> 11) * 0x1p-53;
}  // from 0 to below 1
inline double Inside(std::uint64_t hash) {
  return (static_cast<double>(hash >> 11) + 0.5) * 0x1p-53;
}  // above 0 too

// Pulls under way by their number: one goes when it has ended and its last leg is in.
struct Requests : std::map<std::uint32_t, Request> {
  Request* Known(std::uint32_t id) {
    auto at = find(id);
    return at == end() ? nullptr : &at->second;
  }
  bool PointTo(const Machine* m) const {
    return std::any_of(begin(), end(), [&](auto& one) { return one.second.PointsTo(m); });
  }
  // How many legs are out there, or fed from there, of which `which` holds.
  template <class Which>
  int AttemptsOut(const Machine* m, Which which) const {
    int sum = 0;
    for (auto& [id, p] : *this)
      for (const Attempt& attempt : p.attempts)
        sum += attempt.out && (attempt.at == m || attempt.source == m) && which(p, attempt);
    return sum;
  }
  void Forget(Request& p) {
    if (!p.ended || p.AttemptOut())
      return;
    --p.memory->pins;
    erase(p.request);
  }
};

// The list of machines, and the same by role without those that are gone, each group by its
// machines' numbers.
struct Machines {
  std::map<std::uint32_t, Machine> machines;
  std::vector<Machine*> stores, parents, origins;
  std::map<int, std::vector<Machine*>> away;  // other zones' caches
  Machine* Known(std::uint32_t id) {
    auto at = machines.find(id);
    return at == machines.end() ? nullptr : &at->second;
  }
  void Regroup() {
    stores.clear();
    parents.clear();
    origins.clear();
    away.clear();
    for (auto& [id, m] : machines) {
      if (m.standing == Standing::kGone)
        continue;
      if (m.role == Role::kStore)
        stores.push_back(&m);
      if (m.role == Role::kParent)
        parents.push_back(&m);
      if (m.role == Role::kOrigin)
        origins.push_back(&m);
      if (m.role == Role::kForeign)
        away[m.zone].push_back(&m);
    }
  }
};

// Machines by their scores, the least first; equals by their numbers.
inline std::vector<Machine*> Sorted(std::vector<std::pair<double, Machine*>> scored) {
  std::sort(scored.begin(), scored.end(), [](auto& a, auto& b) {
    return a.first != b.first ? a.first < b.first : a.second->cache < b.second->cache;
  });
  std::vector<Machine*> order;
  for (auto& [score, m] : scored)
    order.push_back(m);
  return order;
}

// Memories in the order of their last use.
struct Remembered {
  std::list<Memory> all;  // oldest first
  std::unordered_map<std::uint64_t, std::list<Memory>::iterator> at;
  Memory* Use(std::uint64_t key, Ms now) {
    auto found = at.find(key);
    if (found == at.end())
      return nullptr;
    all.splice(all.end(), all, found->second);
    found->second->used_at = now;
    return &*found->second;
  }
  Memory* Add(std::uint64_t key, Ms now) {
    all.push_back({key, now});
    at[key] = std::prev(all.end());
    return &all.back();
  }
  bool Loose() const {
    return !all.empty() && all.front().pins == 0;
  }  // no pull points to the oldest
  void Unlink(const Machine* m) {
    for (Memory& x : all)
      if (x.last_at == m)
        x.last_at = nullptr;
  }
  void DropOldest() {
    at.erase(all.front().key);
    all.pop_front();
  }
};

inline std::string LineOf(const char* what, const Machine& m) {
  static const char* const kRoles[] = {"cache ", "parent ", "origin ", "machine "};
  return kRoles[static_cast<int>(m.role)] + std::to_string(m.cache) + " " + what + ": strikes " +
         std::to_string(m.strikes) + ", legs " + std::to_string(std::lround(m.attempts.out));
}

}  // namespace dunlinwick::logic
