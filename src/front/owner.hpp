// The owner's part of a front: its node (src/owner/node.*) over one UDP socket on the loop's ground, and its store. Thin: what it
// decides is in src/owner/.
//
// It logs, one line each, for operators and the checker of histories:
//   owner of recall-sweep token 114085068801048577 from step 41 at 1764629612345
//   owner lost recall-sweep token 114085068801048577: its lease ran out before a renewal was heard at 1764629615345
//   owner group: leads term 3 at 1764629600345
// It answers a status request ("DO?") with its view as one JSON object. Bounds: 64 datagrams are read a turn at most.
#pragma once
#include <functional>
#include <memory>
#include <string>

#include "front/charter.hpp"
#include "loop/loop.hpp"

namespace dunlinwick::front {

// Whether this build has ownership (libraft); else a configuration with an owner block is refused.
bool ownerBuilt();

class Owner final : loop::Handler {
 public:
  // Throws std::runtime_error where the socket or the store can't be had.
  Owner(loop::Loop& loop, const OwnerTerms& terms, std::uint64_t seed);
  ~Owner();
  std::string status() const;  // JSON

 private:
  struct Inner;
  void ready(short events) override;
  void wake();

  loop::Loop& loop_;
  std::unique_ptr<Inner> inner_;
};

}  // namespace dunlinwick::front
