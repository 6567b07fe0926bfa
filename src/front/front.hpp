// One front: its components wired together, from start to stop.
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
  Front(loop::Loop& loop, const FrontConfiguration& configuration);
  Front(loop::Loop& loop, const FrontConfiguration& configuration, exchange::RequestRouter router);
  Front(loop::Loop& loop, const FrontConfiguration& configuration, RequestRouting routing);
  // Switches to the discovery service that a reloaded configuration names. All other settings hold
  // for the life of the process: differences in them are ignored. Throws std::runtime_error, with
  // nothing changed, when the configuration is unusable.
  void Reload(const FrontConfiguration& configuration);
  // Keeps accepting what still arrives for a short while, answers every request taken, then ends
  // the loop.
  void Stop();
  std::string counters() const;

 private:
  void StopWhenIdle();
  // Wraps the router: endpoint list updates that it receives and endpoint health that it reports
  // are also passed to `health_`, on which the fleet's failover decision is based.
  exchange::RequestRouter ObserveHealth(exchange::RequestRouter router);

  loop::Loop& loop_;
  failover::ZoneCacheHealth health_;
  exchange::Exchange exchange_;
  caches::UpstreamConnectionPool caches_;
  discovery::DiscoveryClient discovery_;
  clients::HttpServer clients_;
  std::unique_ptr<MembershipComponent> membership_;  // with a fleet block that has its own socket
  std::unique_ptr<FleetComponents> components_;      // with an owner or a peers block
  bool stopping_ = false;
};

// Serves by the configuration at `path` until SIGTERM or SIGINT; SIGHUP reloads it, SIGUSR1 prints
// the counters. `listen` as with ReadConfiguration(). Returns the exit code.
int Serve(const std::string& path, const std::string& listen);

}  // namespace dunlinwick::front
