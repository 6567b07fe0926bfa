// The fleet's part of a front: membership and the verdict in common, over one UDP socket on the
// loop's ground or the peers' one. Thin: what it decides is in src/members/ and src/failover/; here
// are the socket, the timer and the log.
//
// It logs each change it sees, one line each, for operators and for the checker across processes:
//   fleet member 3 dead incarnation 1764629600
//   fleet verdict epoch 2 out b shares a=1.00,b=0.00,c=0.00 at 1764629612345
// Where its terms say `steer`, each new verdict's shares go to the module, by the platform's zones.
// It answers a view request ("DW?") from anywhere on loopback with its view as one JSON object.
// Bounds: one datagram in, at most a few out, a turn; 64 datagrams are read a turn at most.
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

class Fleet final : public Part {
 public:
  // Throws std::runtime_error where the socket can't be had.
  // `steer`: called with each new verdict's shares by the platform's zones, where the terms steer.
  using Steer = std::function<void(std::vector<double>)>;
  Fleet(loop::Loop& loop, const FleetTerms& terms, std::uint64_t seed, failover::Health& health,
        Steer steer,
        Carrier* peers = nullptr);  // with it, no socket and no timer of its own
  ~Fleet();
  peers::Channel channel() const override {
    return peers::Channel::kMembers;
  }
  void Heard(peers::Id from, std::span<const char> message) override;
  void Wake() override;
  Ms WakeAt() const override;
  std::string view() const override;  // JSON
  const failover::Verdict& verdict() const {
    return verdicts_.verdict();
  }

 private:
  void Took(std::span<const char> datagram, const loop::Address& from);
  void Take(const members::Message& message);
  void Send(const std::vector<members::Message>& out);
  void Settle();
  void Arm();

  loop::Loop& loop_;
  FleetTerms terms_;
  Carrier* peers_;
  loop::Descriptor socket_;  // over peers: none
  members::Swim swim_;
  failover::Verdicts verdicts_;
  failover::Health& health_;
  Steer steer_;
  std::uint64_t timer_ = 0;
  Ms looked_at_ = 0;
  std::uint64_t sent_ = 0;
  std::uint64_t received_ = 0;
  std::uint64_t refused_ = 0;
  std::optional<loop::DatagramReader> reader_;  // of the socket
};

}  // namespace dunlinwick::front
