// The copies that a server caches: lookup, storing with eviction, and purges.
#include "world/hashes.hpp"
#include "world/work.hpp"

namespace dunlinwick::world {

bool Model::IsPurged(const Copy& copy, const Server& server, Ms now) const {
  for (const Purge& purge : purges_) {
    if (copy.issued >= purge.time ||
        (purge.whole_group ? copy.group != purge.group : copy.object_hash != purge.object_hash))
      continue;
    // Each server completes a purge at a time of its own, within purge_completion_time.
    Ms completed_at =
        purge.time + settings_.purge_completion_time *
                         UnitFromHash(HashString(
                             server.settings.id,
                             static_cast<std::uint64_t>(purge.time * 16) + server.incarnation));
    if (now >= completed_at)
      return true;
  }
  return false;
}

Model::Copy* Model::FindCopy(Server& server, Key key, Ms now, Ms max_age) {
  auto found = server.copies.find(key);
  if (found == server.copies.end())
    return nullptr;
  Copy& copy = found->second;
  if (IsPurged(copy, server, now)) {
    server.eviction_order.erase({copy.rank, copy.last_used, key});
    server.used_kb -= copy.size_kb;
    server.copies.erase(found);
    return nullptr;
  }
  if (max_age > 0 && now - copy.issued > max_age)
    return nullptr;
  return &copy;
}

void Model::StoreCopy(Server& server, Key key, Copy copy, Ms now) {
  copy.last_used = now;
  if (auto found = server.copies.find(key); found != server.copies.end()) {
    server.eviction_order.erase({found->second.rank, found->second.last_used, key});
    server.used_kb -= found->second.size_kb;
    server.copies.erase(found);
  }
  while (server.used_kb + copy.size_kb > server.settings.cache_kb &&
         !server.eviction_order.empty()) {
    auto [rank, last_used, victim] = *server.eviction_order.begin();
    if (rank > copy.rank)
      return;  // nothing is evicted for a copy of lower rank
    server.used_kb -= server.copies[victim].size_kb;
    server.copies.erase(victim);
    server.eviction_order.erase(server.eviction_order.begin());
  }
  if (server.used_kb + copy.size_kb > server.settings.cache_kb)
    return;
  server.used_kb += copy.size_kb;
  server.eviction_order.insert({copy.rank, copy.last_used, key});
  server.copies[key] = copy;
}

void Model::ApplyPurge(Ms now, bool whole_group, const std::string& object, int group) {
  purges_.push_back({whole_group, HashString(object), group, now});
  // A purge past its completion time is applied on all servers and deleted, so that the list stays
  // short.
  while (!purges_.empty() && purges_.front().time < now - settings_.purge_completion_time - 1) {
    for (auto& [id, server] : servers_) {
      std::vector<Key> purged_keys;
      for (auto& [rank, last_used, key] : server->eviction_order)
        if (IsPurged(server->copies[key], *server, now))
          purged_keys.push_back(key);
      for (Key key : purged_keys)
        FindCopy(*server, key, now, 0);
    }
    Ms oldest_active = now - settings_.purge_completion_time - 1;
    std::erase_if(purges_, [&](const Purge& purge) { return purge.time < oldest_active; });
  }
}

}  // namespace dunlinwick::world
