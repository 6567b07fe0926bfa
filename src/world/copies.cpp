// Copies: what a machine holds, keeps and lets go, and purges.
#include "world/hashes.hpp"
#include "world/work.hpp"

namespace dunlinwick::world {

bool Model::Dropped(const Copy& copy, const Machine& m, Ms now) const {
  for (const Purge& p : purges_) {
    if (copy.issued >= p.at || (p.whole_group ? copy.group != p.group : copy.object != p.object))
      continue;
    // Each machine is done with a purge at its own time, within what is stated.
    Ms done = p.at + terms_.purge_done *
                         Unit(Hashed(m.make.id, static_cast<std::uint64_t>(p.at * 16) + m.life));
    if (now >= done)
      return true;
  }
  return false;
}

Model::Copy* Model::Holds(Machine& m, Key key, Ms now, Ms oldest) {
  auto at = m.copies.find(key);
  if (at == m.copies.end())
    return nullptr;
  Copy& c = at->second;
  if (Dropped(c, m, now)) {
    m.order.erase({c.rank, c.used_at, key});
    m.kept_kb -= c.size_kb;
    m.copies.erase(at);
    return nullptr;
  }
  if (oldest > 0 && now - c.issued > oldest)
    return nullptr;
  return &c;
}

void Model::Keep(Machine& m, Key key, Copy copy, Ms now) {
  copy.used_at = now;
  if (auto at = m.copies.find(key); at != m.copies.end()) {
    m.order.erase({at->second.rank, at->second.used_at, key});
    m.kept_kb -= at->second.size_kb;
    m.copies.erase(at);
  }
  while (m.kept_kb + copy.size_kb > m.make.keep_kb && !m.order.empty()) {
    auto [rank, used, which] = *m.order.begin();
    if (rank > copy.rank)
      return;  // nothing goes for a copy of lower rank
    m.kept_kb -= m.copies[which].size_kb;
    m.copies.erase(which);
    m.order.erase(m.order.begin());
  }
  if (m.kept_kb + copy.size_kb > m.make.keep_kb)
    return;
  m.kept_kb += copy.size_kb;
  m.order.insert({copy.rank, copy.used_at, key});
  m.copies[key] = copy;
}

void Model::ApplyPurge(Ms now, bool whole_group, const std::string& thing, int group) {
  purges_.push_back({whole_group, Hashed(thing), group, now});
  // What is past its time is dropped for good everywhere, so that the list stays short.
  while (!purges_.empty() && purges_.front().at < now - terms_.purge_done - 1) {
    for (auto& [id, m] : machines_) {
      std::vector<Key> old;
      for (auto& [rank, used, key] : m->order)
        if (Dropped(m->copies[key], *m, now))
          old.push_back(key);
      for (Key key : old)
        Holds(*m, key, now, 0);
    }
    Ms done = now - terms_.purge_done - 1;
    std::erase_if(purges_, [&](const Purge& p) { return p.at < done; });
  }
}

}  // namespace dunlinwick::world
