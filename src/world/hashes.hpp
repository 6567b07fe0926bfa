// Numbers out of names, the same everywhere; for the model's files.
#pragma once
#include <cstdint>
#include <string>

namespace dunlinwick::world {

inline std::uint64_t Mixed(std::uint64_t h) {
  h ^= h >> 33;
  h *= 0xff51afd7ed558ccdull;
  h ^= h >> 33;
  h *= 0xc4ceb9fe1a85ec53ull;
  return h ^ h >> 33;
}
inline std::uint64_t Hashed(const std::string& text, std::uint64_t salt = 0) {
  std::uint64_t h = 0xcbf29ce484222325ull + salt;
  for (char c : text)
    h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ull;
  return Mixed(h);
}
inline double Unit(std::uint64_t h) {
  return (static_cast<double>(h >> 11) + 0.5) / 9007199254740992.0;
}

}  // namespace dunlinwick::world
