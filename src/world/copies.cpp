// Copies: what a machine holds, keeps and lets go, and purges.
#include "world/hashes.hpp"
#include "world/work.hpp"

namespace dunlinwick::world {

bool Model::dropped(const Copy& copy, const Machine& m, Ms now) const {
  for (const Purge& p : purges_) {
    if (copy.issued >= p.at || (p.wholeGroup ? copy.group != p.group : copy.object != p.object)) continue;
    // Each machine is done with a purge at its own time, within what is stated.
    Ms done = p.at + terms_.purgeDone * unit(hashed(m.make.id, static_cast<std::uint64_t>(p.at * 16) + m.life));
    if (now >= done) return true;
  }
  return false;
}

Model::Copy* Model::holds(Machine& m, Key key, Ms now, Ms oldest) {
  auto at = m.copies.find(key);
  if (at == m.copies.end()) return nullptr;
  Copy& c = at->second;
  if (dropped(c, m, now)) {
    m.order.erase({c.rank, c.usedAt, key});
    m.keptKb -= c.sizeKb;
    m.copies.erase(at);
    return nullptr;
  }
  if (oldest > 0 && now - c.issued > oldest) return nullptr;
  return &c;
}

void Model::keep(Machine& m, Key key, Copy copy, Ms now) {
  copy.usedAt = now;
  if (auto at = m.copies.find(key); at != m.copies.end()) {
    m.order.erase({at->second.rank, at->second.usedAt, key});
    m.keptKb -= at->second.sizeKb;
    m.copies.erase(at);
  }
  while (m.keptKb + copy.sizeKb > m.make.keepKb && !m.order.empty()) {
    auto [rank, used, which] = *m.order.begin();
    if (rank > copy.rank) return;  // nothing goes for a copy of lower rank
    m.keptKb -= m.copies[which].sizeKb;
    m.copies.erase(which);
    m.order.erase(m.order.begin());
  }
  if (m.keptKb + copy.sizeKb > m.make.keepKb) return;
  m.keptKb += copy.sizeKb;
  m.order.insert({copy.rank, copy.usedAt, key});
  m.copies[key] = copy;
}

void Model::purge(Ms now, bool wholeGroup, const std::string& thing, int group) {
  purges_.push_back({wholeGroup, hashed(thing), group, now});
  // What is past its time is dropped for good everywhere, so that the list stays short.
  while (!purges_.empty() && purges_.front().at < now - terms_.purgeDone - 1) {
    for (auto& [id, m] : machines_) {
      std::vector<Key> old;
      for (auto& [rank, used, key] : m->order)
        if (dropped(m->copies[key], *m, now)) old.push_back(key);
      for (Key key : old) holds(*m, key, now, 0);
    }
    Ms done = now - terms_.purgeDone - 1;
    std::erase_if(purges_, [&](const Purge& p) { return p.at < done; });
  }
}

}  // namespace dunlinwick::world
