// Many processes of the front on loopback, each with its own configuration and a fault relay (src/fleet/relay.hpp)
// on every link between them. The harness starts and ends each process by its id; what it does to them:
// kill -9, SIGSTOP, SIGCONT, restart under the same address. Tools and tests only: it forks.
//
// Front i: members at 127.0.0.(10 + i):port, clients at 127.0.0.(10 + i):(port + 200); its peers through the
// relay's faces. Bounds: 64 fronts; a view is awaited 300 ms at most.
#pragma once
#include <sys/types.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/relay.hpp"
#include "json/json.hpp"
#include "loop/loop.hpp"

namespace dunlinwick::fleet {

struct Plan {
  std::vector<std::string> zones, regions;  // by zone
  std::vector<int> zoneOf;                  // by front
  std::string program, folder, front;       // the front's program, a folder for files, a configuration's text
  std::uint16_t port = 7400;
  double periodMs = 200, probeTimeoutMs = 60, holdBackMs = 1000;
  std::uint64_t seed = 1;
};

class Harness {
 public:
  Harness(loop::Loop& loop, Plan plan);  // starts every front
  ~Harness();                            // ends every front it started
  std::size_t size() const { return pids_.size(); }
  Relay& relay() { return *relay_; }
  void kill(std::size_t i);
  void pause(std::size_t i);
  void resume(std::size_t i);
  void restart(std::size_t i);
  std::optional<json::Value> view(std::size_t i);  // nothing from a front that does not answer
  void wait(double ms);                            // lets the relay work
  std::string configuration(std::size_t i) const;
  static loop::Address at(std::size_t i, std::uint16_t port);

 private:
  void start(std::size_t i);

  loop::Loop& loop_;
  Plan plan_;
  std::unique_ptr<Relay> relay_;
  std::vector<pid_t> pids_;
  loop::Descriptor asker_;
};

}  // namespace dunlinwick::fleet
