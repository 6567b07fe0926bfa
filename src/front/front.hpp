// One front: its parts wired together, from start to stop.
#pragma once
#include "board/board.hpp"
#include "caches/caches.hpp"
#include "clients/clients.hpp"
#include "front/charter.hpp"
#include "front/fleet.hpp"
#include "front/parts.hpp"

#include <memory>

namespace dunlinwick::front {

class Front {
 public:
  Front(loop::Loop& loop, const Configuration& configuration);
  Front(loop::Loop& loop, const Configuration& configuration, exchange::Decider decides);
  Front(loop::Loop& loop, const Configuration& configuration, Deciding deciding);
  // Turns to the notice board that a new configuration names. The rest of it holds for the life of
  // a process: what differs there is passed over. Throws std::runtime_error, with nothing changed,
  // where it is unusable.
  void Follow(const Configuration& configuration);
  void Stop();  // takes what still arrives, answers all it has taken, then ends the loop
  std::string counters() const;

 private:
  void LeaveWhenDone();
  // The module, with what the fleet's opinion needs of its words noted on the way.
  exchange::Decider Noting(exchange::Decider decides);

  loop::Loop& loop_;
  failover::Health health_;
  exchange::Exchange exchange_;
  caches::Caches caches_;
  discovery::DiscoveryClient discovery_;
  clients::Clients clients_;
  std::unique_ptr<Fleet> fleet_;  // with a fleet block that has a socket of its own
  std::unique_ptr<Parts> parts_;  // with an owner or a peers block
  bool stopping_ = false;
};

// Serves by the configuration at `path` until SIGTERM or SIGINT; SIGHUP reads it again, SIGUSR1
// prints the counters. `listen` as with readCharter(). Returns the exit code.
int Serve(const std::string& path, const std::string& listen);

}  // namespace dunlinwick::front
