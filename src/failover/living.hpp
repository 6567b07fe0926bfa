// From membership to the failover decision: the members that are not dead, each with the
// observation that its piggybacked payload carries.
#pragma once
#include "failover/verdict.hpp"
#include "members/swim.hpp"

namespace dunlinwick::failover {

inline std::vector<Peer> AliveMembers(const members::Swim& swim) {
  std::vector<Peer> peers;
  for (const auto& [id, m] : swim.Members())
    if (m.state != members::State::kDead)
      peers.push_back({id, m.state == members::State::kSuspect, m.has_payload,
                       m.has_payload ? Unpack(m.payload.bits) : ZoneHealthObservation{}});
  return peers;
}

}  // namespace dunlinwick::failover
