// Random numbers, and the properties of an object, which follow from its id.
#include <algorithm>
#include <cmath>
#include <cstdio>

#include "world/hashes.hpp"
#include "world/model.hpp"

namespace dunlinwick::world {

double UniformBetween(RandomEngine& random_engine, double low, double high) {
  if (!(high > low))
    return low;
  return boost::random::uniform_real_distribution<double>(low, high)(random_engine);
}

std::string ObjectIdFromNumber(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  if (text[0] == 'f')
    text[0] = 'e';  // f marks objects of unusual size
  return text;
}

std::string PopularObjectId(int request_class, int zone, std::size_t rank) {
  std::uint64_t hash = static_cast<std::uint64_t>(request_class + 1) * 0x9e3779b97f4a7c15ull +
                       rank * 0xbf58476d1ce4e5b9ull;
  return ObjectIdFromNumber(
      MixBits(hash + static_cast<std::uint64_t>(zone + 1) * 0x94d049bb133111ebull));
}

double Model::SizeKb(int request_class, const std::string& object) const {
  const RequestClassSettings& class_settings =
      settings_.request_classes[static_cast<std::size_t>(request_class)];
  double mean =
      class_settings.mean_transfer_time * settings_.stream_kb_per_ms * class_settings.size_scale;
  // Box-Muller transform; both uniform numbers follow from the object's id.
  double u = UnitFromHash(HashString(object, 1)), v = UnitFromHash(HashString(object, 2));
  double normal = std::sqrt(-2 * std::log(u)) * std::cos(2 * 3.14159265358979323846 * v);
  double size = mean * std::exp(class_settings.size_log_sigma * normal -
                                class_settings.size_log_sigma * class_settings.size_log_sigma / 2);
  // The id of an object of unusual size states it: f, then the factor as two hexadecimal digits.
  if (object.size() == 16 && object[0] == 'f')
    size = mean / class_settings.size_scale * std::stoi(object.substr(1, 2), nullptr, 16);
  return std::clamp(size, mean / 50, mean * 255);
}

int Model::GroupOf(const std::string& object) {
  return static_cast<int>(HashString(object, 3) % 256);
}

}  // namespace dunlinwick::world
