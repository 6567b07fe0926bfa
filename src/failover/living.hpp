// From membership to the verdict: the members that are not dead, with what each has said in its note.
#pragma once
#include "failover/verdict.hpp"
#include "members/swim.hpp"

namespace dunlinwick::failover {

inline std::vector<Peer> living(const members::Swim& swim) {
  std::vector<Peer> all;
  for (const auto& [id, m] : swim.members())
    if (m.state != members::State::dead)
      all.push_back({id, m.state == members::State::suspect, m.noted, m.noted ? unpack(m.note.bits) : Opinion{}});
  return all;
}

}  // namespace dunlinwick::failover
