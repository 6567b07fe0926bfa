// The counters for an operator's eyes and tools: Prometheus' text exposition, by prometheus-cpp.
// Read where it is printed (SIGUSR1 and the end), never served: no listener, no thread, no
// registry. Counting itself stays a plain addition.
#pragma once
#include <string>

#include "exchange/counters.hpp"

namespace dunlinwick::front {

// Each counter as `dunlinwick_NAME_total`, with its help and type; ends with a line end.
std::string Exposition(const exchange::Counters& counters);

}  // namespace dunlinwick::front
