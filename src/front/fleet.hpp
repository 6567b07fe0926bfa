// The membership component of a front: membership among fronts and their common failover decision,
// over a UDP socket of its own or the peers' socket. The decisions are made in src/members/ and
// src/failover/; here are the socket, the timer and the log.
//
// It logs each change, one line each, for operators and for the invariant checker across processes:
//   fleet member 3 dead incarnation 1764629600
//   fleet verdict epoch 2 out b shares a=1.00,b=0.00,c=0.00 at 1764629612345
// With `steer` in its settings, each new decision's traffic weights go to the router, by the
// platform's zones. On a socket of its own it answers a status request ("DW?") with its status as
// one JSON object.
// Bounds: one datagram received leads to a few sent at most; at most 64 datagrams are read per turn
// of the loop.
#pragma once
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "failover/health.hpp"
#include "failover/verdict.hpp"
#include "front/charter.hpp"
#include "front/part.hpp"
#include "loop/datagram_reader.hpp"
#include "members/swim.hpp"

namespace dunlinwick::front {

class MembershipComponent final : public FleetComponent {
 public:
  // Called with each new failover decision's traffic weights by the platform's zones, when the
  // settings steer traffic.
  using TrafficWeightsCallback = std::function<void(std::vector<double>)>;
  // Throws std::runtime_error when the socket cannot be opened. With `peers` it opens no socket and
  // no timer of its own.
  MembershipComponent(loop::Loop& loop, const FleetSettings& settings, std::uint64_t seed,
                      failover::ZoneCacheHealth& health, TrafficWeightsCallback set_traffic_weights,
                      MessageSender* peers = nullptr);
  ~MembershipComponent();
  peers::Channel channel() const override {
    return peers::Channel::kMembers;
  }
  void HandleMessage(peers::Id from, std::span<const char> message) override;
  void HandleTimer() override;
  Ms NextTimerAt() const override;
  std::string StatusJson() const override;
  const failover::FailoverDecision& failover_decision() const {
    return failover_.decision();
  }

 private:
  void HandleDatagram(std::span<const char> datagram, const loop::Address& from);
  void Receive(const members::Message& message);
  void Send(const std::vector<members::Message>& messages);
  // Logs membership changes, evaluates the failover decision and publishes this front's zone health
  // observation.
  void Evaluate();
  void ArmTimer();

  loop::Loop& loop_;
  FleetSettings settings_;
  MessageSender* peers_;
  loop::Descriptor socket_;  // over the peers' socket: none
  members::Swim swim_;
  failover::FailoverController failover_;
  failover::ZoneCacheHealth& health_;
  TrafficWeightsCallback set_traffic_weights_;
  std::uint64_t timer_ = 0;
  Ms evaluated_at_ = 0;
  std::uint64_t sent_ = 0;
  std::uint64_t received_ = 0;
  std::uint64_t malformed_ = 0;
  std::optional<loop::DatagramReader> reader_;  // of the socket
};

}  // namespace dunlinwick::front
