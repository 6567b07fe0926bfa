// The counters in Prometheus' text exposition format, by prometheus-cpp. They are printed on
// SIGUSR1 and at the process's end, never served: no listener, no thread, no registry. Counting
// itself is a plain addition.
#pragma once
#include <string>

#include "exchange/counters.hpp"

namespace dunlinwick::front {

// Each counter as `dunlinwick_NAME_total`, with its help and type; ends with a newline.
std::string Exposition(const exchange::Counters& counters);

}  // namespace dunlinwick::front
