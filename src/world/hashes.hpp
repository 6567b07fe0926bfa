// Hashes of ids, the same on every platform; internal to the model.
#pragma once
#include <cstdint>
#include <string>

namespace dunlinwick::world {

inline std::uint64_t MixBits(std::uint64_t hash) {
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdull;
  hash ^= hash >> 33;
  hash *= 0xc4ceb9fe1a85ec53ull;
  return hash ^ hash >> 33;
}
inline std::uint64_t HashString(const std::string& text, std::uint64_t salt = 0) {
  std::uint64_t hash = 0xcbf29ce484222325ull + salt;
  for (char character : text)
    hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3ull;
  return MixBits(hash);
}
inline double UnitFromHash(std::uint64_t hash) {
  return (static_cast<double>(hash >> 11) + 0.5) / 9007199254740992.0;
}

}  // namespace dunlinwick::world
