// The owner component of a front: its node (src/owner/node.*), which takes leases of the fleet's
// tasks, over a UDP socket of its own or the peers' socket, and its store. The decisions are made
// in src/owner/.
//
// It logs, one line each, for operators and the checker of event logs:
//   owner of recall-sweep token 114085068801048577 from step 41 at 1764629612345
//   owner lost recall-sweep token 114085068801048577: REASON at 1764629615345
//   owner group: leads term 3 at 1764629600345
//   owner store not used, tried again: FOLDER: REASON at 1764629600345
//   owner store used again at 1764629608345
// It answers a status request ("DO?") with its status as one JSON object. Bounds: at most 64
// datagrams are read per turn of the loop.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "front/configuration.hpp"
#include "front/fleet_component.hpp"
#include "loop/loop.hpp"

namespace dunlinwick::front {

// Over the peers' socket a front is received on its channel only; executors alone send datagrams of
// their own.
class OwnerComponent final : public FleetComponent {
 public:
  // Throws std::runtime_error when the socket cannot be opened. Without its store it starts all the
  // same: src/owner/membership.hpp.
  OwnerComponent(loop::Loop& loop, const OwnerSettings& settings, std::uint64_t seed,
                 MessageSender* peers = nullptr);
  ~OwnerComponent();
  // For the other components: the lease's fencing token and whether this front may act under it
  // now; token 0 when this front does not hold the lease.
  std::pair<std::uint64_t, bool> HeldLease(const std::string& task) const;
  // The lease holder as this group member knows it; 0: unknown.
  std::uint32_t LeaseHolder(const std::string& task) const;
  void PermitLeases(bool permitted);  // whether this front may acquire leases
  struct GroupState {
    bool in_group = false;
    bool member = false;
    bool leader_known = false;
    bool founded = false;
    bool lost = false;
    std::uint64_t token = 0;
  };
  GroupState group_state() const;
  peers::Channel channel() const override {
    return peers::Channel::kOwner;
  }
  void HandleMessage(peers::Id from, std::span<const char> message) override;
  void HandleRawDatagram(std::span<const char> datagram) override;
  void HandleTimer() override;
  Ms NextTimerAt() const override;
  std::string StatusJson() const override;

 private:
  struct Impl;
  void HandleDatagram(std::span<const char> datagram, const loop::Address& from);

  loop::Loop& loop_;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwick::front
