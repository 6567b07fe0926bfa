// The owner's part of a front: its node (src/owner/node.*) over one UDP socket on the loop's ground
// or the peers' one, and its store. Thin: what it decides is in src/owner/.
//
// It logs, one line each, for operators and the checker of histories:
//   owner of recall-sweep token 114085068801048577 from step 41 at 1764629612345
//   owner lost recall-sweep token 114085068801048577: its lease ran out before a renewal was heard
//   at 1764629615345 owner group: leads term 3 at 1764629600345 owner store not used, tried again:
//   FOLDER: REASON at 1764629600345 ; owner store used again at 1764629608345
// It answers a status request ("DO?") with its view as one JSON object. Bounds: 64 datagrams are
// read a turn at most.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "front/charter.hpp"
#include "front/part.hpp"
#include "loop/loop.hpp"

namespace dunlinwick::front {

// Over the peers' socket fronts are heard on its channel alone, and only places by datagrams of
// their own.
class Owner final : public Part {
 public:
  // Throws std::runtime_error where the socket can't be had. Without its store it starts too:
  // src/owner/membership.hpp.
  Owner(loop::Loop& loop, const OwnerTerms& terms, std::uint64_t seed, Carrier* peers = nullptr);
  ~Owner();
  // For the other parts of the fleet's layer. Token and whether this front may act under it now; 0
  // where it holds it not.
  std::pair<std::uint64_t, bool> Holds(const std::string& work) const;
  std::uint32_t OwnerOf(
      const std::string& work) const;  // as the group has it, in a member; 0: not known
  void Permit(bool may);               // to come to own anything
  struct Group {
    bool in_group = false;
    bool member = false;
    bool leader_known = false;
    bool founded = false;
    bool lost = false;
    std::uint64_t token = 0;
  };
  Group group() const;
  peers::Channel channel() const override {
    return peers::Channel::kOwner;
  }
  void Heard(peers::Id from, std::span<const char> message) override;
  void Raw(std::span<const char> datagram) override;
  void Wake() override;
  Ms WakeAt() const override;
  std::string view() const override;  // JSON

 private:
  struct Inner;
  void Took(std::span<const char> datagram, const loop::Address& from);

  loop::Loop& loop_;
  std::unique_ptr<Inner> inner_;
};

}  // namespace dunlinwick::front
