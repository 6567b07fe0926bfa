// Holds the routers of the simulated fronts of one process and passes each its events. Routers
// share no state.
#pragma once
#include <map>
#include <string>
#include <string_view>

#include "benchlink/codec.hpp"

namespace dunlinwick::benchlink {

class Host {
 public:
  // Returns the bytes of the reply to one batch, header and records. Throws FrameError on a
  // malformed body.
  std::string HandleBatch(const Header& header, std::string_view body);

 private:
  std::map<unsigned, Router> fronts_;  // by the simulator's id
};

}  // namespace dunlinwick::benchlink
