// The canonical form of a configuration, its digests, and differences between two configurations.
#include <xxhash.h>

#include <charconv>
#include <cmath>

#include "drift/drift.hpp"

namespace dunlinwick::drift {

namespace {

// Writes each text after its length, so that no two configurations have the same bytes, whatever
// their names and values contain.
void Put(std::string& out, const std::string& text) {
  out += std::to_string(text.size());
  out += ':';
  out += text;
}

const std::string kAbsent = "(absent)";

FieldImpact ImpactOf(const FieldImpactMap& impacts, const std::string& section,
                     const std::string& name) {
  if (auto found = impacts.find(section + "." + name); found != impacts.end())
    return found->second;
  // A field of a list ("3.effect") has the impact of the name after its index, listed as
  // "offerings.effect".
  if (auto dot = name.rfind('.'); dot != std::string::npos)
    if (auto found = impacts.find(section + "." + name.substr(dot + 1)); found != impacts.end())
      return found->second;
  if (auto found = impacts.find(section + ".*"); found != impacts.end())
    return found->second;
  return FieldImpact::kCapacity;
}

}  // namespace

const char* ToString(FieldImpact impact) {
  static const char* const kNames[] = {"nothing", "capacity", "rule"};
  auto index = static_cast<std::size_t>(impact);
  return index < 3 ? kNames[index] : "?";
}

const char* ToString(DriftStatus status) {
  static const char* const kNames[] = {"unknown", "inStep",     "converging",
                                       "drifted", "unapproved", "forked"};
  auto index = static_cast<std::size_t>(status);
  return index < 6 ? kNames[index] : "?";
}

std::string EncodeCanonical(const Section& section) {
  std::string out;
  for (const auto& [name, value] : section) {
    Put(out, name);
    out += '=';
    Put(out, value);
    out += '\n';
  }
  return out;
}

std::uint64_t Digest(const Section& section) {
  std::string bytes = EncodeCanonical(section);
  return XXH64(bytes.data(), bytes.size(), 0);
}

std::uint64_t Digest(const CanonicalConfiguration& configuration) {
  std::string bytes;
  for (const auto& [name, section] : configuration) {
    Put(bytes, name);
    std::uint64_t d = Digest(section);
    for (int i = 0; i < 8; ++i)
      bytes.push_back(static_cast<char>(d >> (8 * i) & 0xff));
  }
  return XXH64(bytes.data(), bytes.size(), 0);
}

std::string FormatNumber(double value) {
  if (std::isnan(value))
    return "nan";
  if (value == 0)
    return "0";  // minus zero has the same effect as zero
  char text[64];
  auto result = std::to_chars(text, text + sizeof text, value);
  return std::string(text, result.ptr);
}

std::vector<Difference> FindDifferences(const CanonicalConfiguration& active,
                                        const CanonicalConfiguration& approved,
                                        const FieldImpactMap& impacts) {
  std::vector<Difference> out;
  static const Section kEmpty;
  for (const auto& [name, expected] : approved) {
    auto found = active.find(name);
    const Section& actual = found == active.end() ? kEmpty : found->second;
    auto active_field = actual.begin();
    auto expected_field = expected.begin();
    while (active_field != actual.end() || expected_field != expected.end()) {
      bool in_active =
          expected_field == expected.end() ||
          (active_field != actual.end() && active_field->first <= expected_field->first);
      bool in_approved =
          active_field == actual.end() ||
          (expected_field != expected.end() && expected_field->first <= active_field->first);
      const std::string& field = in_active ? active_field->first : expected_field->first;
      if (!in_active || !in_approved || active_field->second != expected_field->second)
        out.push_back({{name, field},
                       in_active ? active_field->second : kAbsent,
                       in_approved ? expected_field->second : kAbsent,
                       ImpactOf(impacts, name, field)});
      if (in_active)
        ++active_field;
      if (in_approved)
        ++expected_field;
    }
  }
  return out;
}

}  // namespace dunlinwick::drift
