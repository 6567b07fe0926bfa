#include "record/entry.hpp"

#include <xxhash.h>

#include <bit>

namespace dunlinwick::record {

const char* ToString(Stream stream) {
  static const char* const kWords[] = {"recalls", "rules", "terms"};
  auto n = static_cast<std::size_t>(stream);
  return n < kStreams ? kWords[n] : "unknown";
}

std::uint64_t Digest(const Entry& e) {
  // Lengths go in, so that no byte can move from the key to the value; little end first, whatever
  // the machine.
  std::string head;
  auto number = [&](std::uint64_t v) {
    for (int k = 0; k < 8; ++k)
      head.push_back(static_cast<char>(v >> (8 * k)));
  };
  head.reserve(64 + e.key.size());
  number(e.offset);
  number(e.token);
  number(std::bit_cast<std::uint64_t>(e.at));
  head.push_back(static_cast<char>(e.stream));
  head.push_back(e.tombstone ? 1 : 0);
  number(e.key.size());
  number(e.value.size());
  head += e.key;
  return XXH64(e.value.data(), e.value.size(), XXH64(head.data(), head.size(), 0));
}

}  // namespace dunlinwick::record
