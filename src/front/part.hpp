// A part of the fleet layer in a front: members, owner, quota, recovery, rules, record. One small
// interface for all, so that the front wires them alike and a build without them has none. A part
// carries its pure module's actions out: messages to peers, facts to the module, lines to the log.
// It stands either on the peers' socket (src/front/peers.hpp), which hands it what comes and wakes
// it, or, members and owner where their block says `listen`, on a socket of its own.
#pragma once
#include <functional>
#include <span>
#include <string>

#include "loop/ground.hpp"
#include "peers/peers.hpp"

namespace dunlinwick::front {

using loop::Ms;

class Part {
 public:
  virtual ~Part() = default;
  virtual peers::Channel channel() const = 0;
  virtual void Heard(peers::Id from, std::span<const char> message) = 0;  // never throws
  virtual void Raw(std::span<const char>) {
  }  // a datagram of the part's own, from no front (owner: what a place did); never throws
  virtual void Wake() = 0;  // time passed
  virtual Ms WakeAt() const = 0;
  virtual std::string view() const = 0;  // one JSON object, for status commands
  virtual bool Stopping() {
    return true;
  }  // the front ends; true: nothing is left to do
};

// What a part on the peers' socket sends through. Lost where the system or a budget can't take it:
// as on a wire.
class Carrier {
 public:
  virtual void Send(peers::Channel channel, peers::Id to, std::string message) = 0;
  virtual void SendRaw(const loop::Address& to, const std::string& datagram) = 0;

 protected:
  ~Carrier() = default;
};

}  // namespace dunlinwick::front
