// From membership to the verdict: the members that are not dead, with what each has said in its
// note.
#pragma once
#include "failover/verdict.hpp"
#include "members/swim.hpp"

namespace dunlinwick::failover {

inline std::vector<Peer> Living(const members::Swim& swim) {
  std::vector<Peer> all;
  for (const auto& [id, m] : swim.Members())
    if (m.state != members::State::kDead)
      all.push_back({id, m.state == members::State::kSuspect, m.has_payload,
                     m.has_payload ? Unpack(m.payload.bits) : Opinion{}});
  return all;
}

}  // namespace dunlinwick::failover
