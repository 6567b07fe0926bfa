// Where a fleet on loopback stands, for the files of the harness: addresses (src/rig/harness.hpp
// lists them), and as text.
#pragma once
#include <arpa/inet.h>

#include <functional>
#include <string>

#include "loop/loop.hpp"

namespace dunlinwick::fleet {

constexpr unsigned kHubHost = 199, kZoneHosts = 200, kPlaceHosts = 180;
constexpr std::size_t kFirstPlace = 1000;

inline std::string Text(const loop::Address& a) {
  char ip[INET_ADDRSTRLEN];
  ::inet_ntop(AF_INET, &a.sin_addr, ip, sizeof ip);
  return std::string(ip) + ":" + std::to_string(ntohs(a.sin_port));
}
inline loop::Address Host(unsigned last, std::uint16_t port) {
  loop::Address a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(127u << 24 | last);
  a.sin_port = htons(port);
  return a;
}

inline std::string Joined(std::size_t n, const std::function<std::string(std::size_t)>& one) {
  std::string all;
  for (std::size_t i = 0; i < n; ++i)
    all += (i ? "," : "") + one(i);
  return all;
}

}  // namespace dunlinwick::fleet
