// The peers' socket of a front: one UDP socket for all parts of the fleet layer, their channels by src/peers/. Thin: budgets, pieces
// and bounds are decided there; here are the socket, the addresses, one timer, and who gets what:
//   "DP" ..  channels between fronts; of ids that the peers block does not name: counted and dropped
//   "DO" ..  a place's word to the owner part
//   "DW?", "DO?", "DP?"  view requests, from anywhere: answered with one JSON object of the members, the owner, this socket
// Bounds: 64 datagrams are read a turn at most; memory as src/peers/peers.hpp says.
#pragma once
#include <map>
#include <memory>
#include <vector>

#include "front/charter.hpp"
#include "front/part.hpp"
#include "loop/loop.hpp"

namespace dunlinwick::front {

class Peers final : public Carrier, loop::Handler {
 public:
  // Throws std::runtime_error where the socket can't be had.
  Peers(loop::Loop& loop, const PeersTerms& terms);
  ~Peers();
  void carry(Part& part);  // one a channel; it outlives this
  void send(peers::Channel channel, peers::Id to, std::string message) override;
  void sendRaw(const loop::Address& to, const std::string& datagram) override;
  std::string view() const;  // JSON

 private:
  void ready(short events) override;
  void took(std::span<const char> datagram, const loop::Address& from);
  void wake();
  void arm();
  Part* part(peers::Channel channel) const;

  loop::Loop& loop_;
  peers::Id self_;
  std::map<peers::Id, loop::Address> at_;
  loop::Descriptor socket_;
  peers::Peers peers_;
  std::vector<Part*> parts_;
  std::uint64_t timer_ = 0, strangers_ = 0, other_ = 0, unsent_ = 0;
};

}  // namespace dunlinwick::front
