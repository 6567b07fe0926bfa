// What a drill is played on: the staged ground, or loopback sockets with real processes of the
// front.
#pragma once
#include <functional>
#include <memory>
#include <ostream>
#include <string>

#include "drill/run.hpp"
#include "stage/stage.hpp"

namespace dunlinwick::drill {

// One process of the world's: a machine, a board, the clients of a store.
class Player {
 public:
  virtual ~Player() = default;
  virtual loop::Loop& loop() = 0;
  virtual void act(const std::function<void()>& what) = 0;  // from outside its own turns
  virtual void StandStill(Ms until) = 0;
};

// A front that runs. Its end of life kills it outright.
class Served {
 public:
  virtual ~Served() = default;
  virtual void Stop() = 0;   // asks it to
  virtual bool Ended() = 0;  // it has
};

class Scene {
 public:
  virtual ~Scene() = default;
  virtual Ms now() = 0;
  virtual void at(Ms when, std::function<void()> what) = 0;
  virtual void RunUntil(Ms time) = 0;
  // Hosts are numbers below 2^24; the first eight bits are the scene's.
  virtual loop::Address address(std::uint32_t host, std::uint16_t port) = 0;
  virtual Player& Start(std::uint32_t host, const std::string& name) = 0;
  virtual void Kill(
      Player& player) = 0;  // what it has open is reset; the reference becomes invalid
  virtual void Vanish(Player& player) = 0;
  virtual std::unique_ptr<Served> Serve(std::uint32_t host, const std::string& name,
                                        const std::string& configuration, std::size_t descriptors,
                                        std::unique_ptr<Break> broken) = 0;
  virtual stage::Network* net() = 0;  // null where the network is the system's own
};

std::unique_ptr<Scene> MakeStaged(std::uint64_t seed, std::ostream* logs);
// `program`: the front's; `folder`: for configurations and logs. Throws std::runtime_error.
std::unique_ptr<Scene> OnSockets(const std::string& program, const std::string& folder);

// The first trouble of the script that sockets can't play; "" if there is none.
std::string NotOnSockets(const Script& script);

}  // namespace dunlinwick::drill
