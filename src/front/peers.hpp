// The peers' socket of a front: one UDP socket for all components of the fleet layer, each with its
// channel (src/peers/). Budgets, fragments and bounds are handled in src/peers/; here are the
// socket, the addresses, one timer, and the dispatch of datagrams:
//   "DP" ..  channels between fronts; from ids that the peers block does not name: counted and
//            dropped
//   "DO" ..  an executor's report to the owner component
//   "DR" 1 ..  an operator's write to the record, answered to the sender's address
//   "DW?", "DO?", "DP?", "DR?"  status requests, from anywhere: answered with one JSON object of
//            membership, the owner, this socket, the fleet layer
// Bounds: at most 64 datagrams are read per turn of the loop; memory as in src/peers/peers.hpp.
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "front/configuration.hpp"
#include "front/fleet_component.hpp"
#include "loop/datagram_reader.hpp"

namespace dunlinwick::front {

class PeerSocket final : public MessageSender {
 public:
  // Throws std::runtime_error when the socket cannot be opened.
  PeerSocket(loop::Loop& loop, const PeersSettings& settings);
  ~PeerSocket();
  void Register(FleetComponent& component);  // one per channel; it outlives this
  using Reply = std::function<void(std::string)>;
  void SetOperatorHandlers(std::function<void(std::span<const char>, Reply)> handle_request,
                           std::function<std::string()> status);
  // False: not sent, as the peer is unknown or a budget is exhausted.
  bool TrySend(peers::Channel channel, peers::Id to, std::string message);
  void Send(peers::Channel channel, peers::Id to, std::string message) override;
  void SendDatagram(const loop::Address& to, const std::string& datagram) override;
  std::string StatusJson() const;

 private:
  void HandleDatagram(std::span<const char> datagram, const loop::Address& from);
  void HandleTimer();
  void ArmTimer();
  FleetComponent* ComponentOn(peers::Channel channel) const;

  loop::Loop& loop_;
  peers::Id self_;
  std::map<peers::Id, loop::Address> addresses_;
  loop::Descriptor socket_;
  peers::Peers peers_;
  std::vector<FleetComponent*> components_;
  std::function<void(std::span<const char>, Reply)> handle_request_;
  std::function<std::string()> status_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::uint64_t timer_ = 0;
  std::uint64_t unknown_senders_ = 0;
  std::uint64_t malformed_ = 0;
  std::uint64_t unsent_ = 0;
  std::optional<loop::DatagramReader> reader_;
};

}  // namespace dunlinwick::front
