// The fleet layer's parts that only a full build has: the peers' socket with what runs over it, and
// the owner. A build without them (src/front/parts_none.cpp, the operators') refuses their blocks
// where the configuration is read.
#pragma once
#include <memory>

#include "exchange/exchange.hpp"
#include "front/charter.hpp"
#include "front/fleet.hpp"

namespace dunlinwick::generations {
class Generations;
}

namespace dunlinwick::front {

class Parts {
 public:
  virtual ~Parts() = default;
};
// Nothing where the configuration asks for none. The members are among them where they run over the
// peers' socket. Throws std::runtime_error where a socket can't be had. What decides on pulls: the
// module, or, with a rules block, its generations, which the rules may turn to another sheet.
struct Deciding {
  exchange::Decider decides;
  std::shared_ptr<generations::Generations> generations;
  std::shared_ptr<std::optional<DeploymentSettings>> next;  // to be turned to with the next event
};
Deciding DecidingFor(const Configuration& configuration);
std::unique_ptr<Parts> MakeParts(loop::Loop& loop, const Configuration& configuration,
                                 failover::Health& health, Fleet::Steer steer,
                                 exchange::Exchange& exchange, const Deciding& deciding);

}  // namespace dunlinwick::front
