// Keeps the instances of one process and passes each its own events. Instances share nothing.
#pragma once
#include <map>
#include <string>
#include <string_view>

#include "benchlink/codec.hpp"

namespace dunlinwick::benchlink {

class Host {
 public:
  // The reply's bytes, header and records, to one batch. Throws WireFault on a malformed body.
  std::string answer(const Header& header, std::string_view body);

 private:
  std::map<unsigned, Router> fronts_;
};

}  // namespace dunlinwick::benchlink
