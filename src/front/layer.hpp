// The fleet's layer in a front beyond members and owner: record, rules, recovery, made and wired
// together. It is all that knows of several parts at once: the record's words reach the module
// (recalls) and the rules; the rules turn the module's generation; recovery hears what the others
// say and tells what is let in and who may own. A build without it (front/layer_none.cpp) refuses
// the blocks where the configuration is read.
#pragma once
#include <memory>
#include <vector>

#include "exchange/exchange.hpp"
#include "front/charter.hpp"
#include "front/owner.hpp"
#include "front/part.hpp"

namespace dunlinwick::generations {
class Generations;
}

namespace dunlinwick::front {

class Layer {
 public:
  struct Ways {
    std::function<bool(peers::Id to, peers::Channel channel, std::string message)> send;
    exchange::Exchange* exchange = nullptr;
    generations::Generations* generations =
        nullptr;  // null: the rules can't be turned while it serves
    std::function<void(const DeploymentSettings&)>
        turn;  // to a new generation, from the next event on
    Owner* owner = nullptr;
  };
  Layer(loop::Loop& loop, const Configuration& configuration, Ways ways);
  ~Layer();
  std::vector<Part*> parts();
  std::string status() const;  // JSON: record, recovery, rules
  // An operator's datagram "DR" 1 | ...; reply may come later.
  void Asked(std::span<const char> bytes, std::function<void(std::string)> reply);

 private:
  struct Inner;
  std::unique_ptr<Inner> inner_;
};

}  // namespace dunlinwick::front
