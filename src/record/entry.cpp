#include "record/entry.hpp"

#include <xxhash.h>

#include <bit>

namespace dunlinwick::record {

const char* ToString(Stream stream) {
  static const char* const kNames[] = {"recalls", "rules", "terms"};
  auto index = static_cast<std::size_t>(stream);
  return index < kStreamCount ? kNames[index] : "unknown";
}

std::uint64_t Digest(const Entry& e) {
  // The lengths are hashed too, so that no byte can move from the key to the value. Little-endian
  // on every platform.
  std::string header;
  auto add_number = [&](std::uint64_t value) {
    for (int byte = 0; byte < 8; ++byte)
      header.push_back(static_cast<char>(value >> (8 * byte)));
  };
  header.reserve(64 + e.key.size());
  add_number(e.offset);
  add_number(e.token);
  add_number(std::bit_cast<std::uint64_t>(e.written_at));
  header.push_back(static_cast<char>(e.stream));
  header.push_back(e.tombstone ? 1 : 0);
  add_number(e.key.size());
  add_number(e.value.size());
  header += e.key;
  return XXH64(e.value.data(), e.value.size(), XXH64(header.data(), header.size(), 0));
}

}  // namespace dunlinwick::record
