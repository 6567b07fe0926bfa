// Chance, and the facts of a thing, which follow from its name.
#include <algorithm>
#include <cmath>
#include <cstdio>

#include "world/hashes.hpp"
#include "world/model.hpp"

namespace dunlinwick::world {

double Between(RandomEngine& random_engine, double low, double high) {
  if (!(high > low))
    return low;
  return boost::random::uniform_real_distribution<double>(low, high)(random_engine);
}

std::string HexName(std::uint64_t v) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(v));
  if (text[0] == 'f')
    text[0] = 'e';  // f says that a thing is of odd size
  return text;
}

std::string ThingName(int request_class, int store, std::size_t rank) {
  std::uint64_t h = static_cast<std::uint64_t>(request_class + 1) * 0x9e3779b97f4a7c15ull +
                    rank * 0xbf58476d1ce4e5b9ull;
  return HexName(Mixed(h + static_cast<std::uint64_t>(store + 1) * 0x94d049bb133111ebull));
}

double Model::SizeKb(int request_class, const std::string& thing) const {
  const RequestClassTerms& o = terms_.request_classes[static_cast<std::size_t>(request_class)];
  double mean = o.sending * terms_.flow_kb_per_ms * o.size_scale;
  // By Box and Muller, from the thing's name.
  double u = Unit(Hashed(thing, 1)), v = Unit(Hashed(thing, 2));
  double normal = std::sqrt(-2 * std::log(u)) * std::cos(2 * 3.14159265358979323846 * v);
  double size = mean * std::exp(o.size_spread * normal - o.size_spread * o.size_spread / 2);
  // A thing of odd size says so in its name: f, then its factor.
  if (thing.size() == 16 && thing[0] == 'f')
    size = mean / o.size_scale * std::stoi(thing.substr(1, 2), nullptr, 16);
  return std::clamp(size, mean / 50, mean * 255);
}

int Model::group(const std::string& thing) {
  return static_cast<int>(Hashed(thing, 3) % 256);
}

}  // namespace dunlinwick::world
