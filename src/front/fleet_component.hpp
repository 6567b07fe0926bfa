// A component of the fleet layer in a front: membership, owner (leases of the fleet's work), quota,
// recovery, rules, record. All share one small interface, so that the front wires them alike and a
// build without them has none. A component carries out the actions of its pure module: messages to
// peers, facts for the router, log lines. It runs over the peers' socket (src/front/peers.hpp),
// which delivers its messages and runs its timer; membership and owner run on a socket of their own
// when their configuration block has a `listen`.
#pragma once
#include <functional>
#include <span>
#include <string>

#include "loop/environment.hpp"
#include "peers/peers.hpp"

namespace dunlinwick::front {

using loop::Ms;

class FleetComponent {
 public:
  virtual ~FleetComponent() = default;
  virtual peers::Channel channel() const = 0;
  virtual void HandleMessage(peers::Id from, std::span<const char> message) = 0;  // never throws
  // A datagram in the component's own format, not from a front (owner: an executor's report); never
  // throws.
  virtual void HandleRawDatagram(std::span<const char>) {}
  virtual void HandleTimer() = 0;
  virtual Ms NextTimerAt() const = 0;
  virtual std::string StatusJson() const = 0;  // one JSON object, for status commands
  // Whether nothing is left to do when the front stops.
  virtual bool IsDrained() {
    return true;
  }
};

// How a component on the peers' socket sends. A message is lost, as on the network, when the system
// or a budget refuses it.
class MessageSender {
 public:
  virtual void Send(peers::Channel channel, peers::Id to, std::string message) = 0;
  virtual void SendDatagram(const loop::Address& to, const std::string& datagram) = 0;

 protected:
  ~MessageSender() = default;
};

}  // namespace dunlinwick::front
