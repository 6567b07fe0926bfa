// The peers' socket of a front: one UDP socket for all parts of the fleet layer, their channels by
// src/peers/. Thin: budgets, pieces and bounds are decided there; here are the socket, the
// addresses, one timer, and who gets what:
//   "DP" ..  channels between fronts; of ids that the peers block does not name: counted and
//   dropped "DO" ..  a place's word to the owner part "DR" 1 ..  an operator's write to the record,
//   answered to where it came from "DW?", "DO?", "DP?", "DR?"  view requests, from anywhere:
//   answered with one JSON object of the members, the owner, this socket, the layer
// Bounds: 64 datagrams are read a turn at most; memory as src/peers/peers.hpp says.
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "front/charter.hpp"
#include "front/part.hpp"
#include "loop/datagram_reader.hpp"

namespace dunlinwick::front {

class Peers final : public Carrier {
 public:
  // Throws std::runtime_error where the socket can't be had.
  Peers(loop::Loop& loop, const PeersTerms& terms);
  ~Peers();
  void Carry(Part& part);  // one a channel; it outlives this
  using Reply = std::function<void(std::string)>;
  void operators(std::function<void(std::span<const char>, Reply)> asked,
                 std::function<std::string()> status);
  bool Sends(peers::Channel channel, peers::Id to,
             std::string message);  // false: lost here already
  void Send(peers::Channel channel, peers::Id to, std::string message) override;
  void SendRaw(const loop::Address& to, const std::string& datagram) override;
  std::string view() const;  // JSON

 private:
  void Took(std::span<const char> datagram, const loop::Address& from);
  void Wake();
  void Arm();
  Part* part(peers::Channel channel) const;

  loop::Loop& loop_;
  peers::Id self_;
  std::map<peers::Id, loop::Address> at_;
  loop::Descriptor socket_;
  peers::Peers peers_;
  std::vector<Part*> parts_;
  std::function<void(std::span<const char>, Reply)> asked_;
  std::function<std::string()> status_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::uint64_t timer_ = 0;
  std::uint64_t strangers_ = 0;
  std::uint64_t other_ = 0;
  std::uint64_t unsent_ = 0;
  std::optional<loop::DatagramReader> reader_;
};

}  // namespace dunlinwick::front
