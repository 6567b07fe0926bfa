// A part of the fleet layer in a front: members, owner, quota, recovery, rules, record. One small interface for all, so
// that the front wires them alike and a build without them has none. A part carries its pure module's actions out:
// messages to peers, facts to the module, lines to the log.
#pragma once
#include <functional>
#include <span>
#include <string>

#include "logic.hpp"
#include "peers/peers.hpp"

namespace dunlinwick::front {

class Part {
 public:
  virtual ~Part() = default;
  virtual peers::Channel channel() const = 0;
  virtual void heard(peers::Id from, std::span<const char> message) = 0;  // never throws
  virtual void wake() = 0;             // time passed
  virtual Ms wakeAt() const = 0;
  virtual std::string view() const = 0;  // one JSON object, for status commands
  virtual bool stopping() { return true; }  // the front ends; true: nothing is left to do
};

}  // namespace dunlinwick::front
