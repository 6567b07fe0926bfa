#include <xxhash.h>

#include <charconv>
#include <cmath>

#include "drift/drift.hpp"

namespace dunlinwick::drift {

namespace {

// Each text behind its length, so that no two forms share their bytes whatever stands in a name or
// value.
void Put(std::string& out, const std::string& text) {
  out += std::to_string(text.size());
  out += ':';
  out += text;
}

const std::string kAbsent = "(absent)";

Breaks BreaksOf(const Classes& classes, const std::string& section, const std::string& name) {
  if (auto it = classes.find(section + "." + name); it != classes.end())
    return it->second;
  // Of a list's row ("3.effect"): by the name behind the row's number, as a class names
  // "offerings.effect".
  if (auto dot = name.rfind('.'); dot != std::string::npos)
    if (auto it = classes.find(section + "." + name.substr(dot + 1)); it != classes.end())
      return it->second;
  if (auto it = classes.find(section + ".*"); it != classes.end())
    return it->second;
  return Breaks::kCapacity;
}

}  // namespace

const char* ToString(Breaks breaks) {
  static const char* const kWords[] = {"nothing", "capacity", "rule"};
  auto i = static_cast<std::size_t>(breaks);
  return i < 3 ? kWords[i] : "?";
}

const char* ToString(Standing standing) {
  static const char* const kWords[] = {"unknown", "inStep",     "converging",
                                       "drifted", "unapproved", "forked"};
  auto i = static_cast<std::size_t>(standing);
  return i < 6 ? kWords[i] : "?";
}

std::string Canonical(const Section& section) {
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
  std::string bytes = Canonical(section);
  return XXH64(bytes.data(), bytes.size(), 0);
}

std::uint64_t Digest(const Form& form) {
  std::string bytes;
  for (const auto& [name, section] : form) {
    Put(bytes, name);
    std::uint64_t d = Digest(section);
    for (int i = 0; i < 8; ++i)
      bytes.push_back(static_cast<char>(d >> (8 * i) & 0xff));
  }
  return XXH64(bytes.data(), bytes.size(), 0);
}

std::string Number(double value) {
  if (std::isnan(value))
    return "nan";
  if (value == 0)
    return "0";  // minus zero decides as zero does
  char text[64];
  auto r = std::to_chars(text, text + sizeof text, value);
  return std::string(text, r.ptr);
}

std::vector<Difference> Differences(const Form& active, const Form& approved,
                                    const Classes& classes) {
  std::vector<Difference> out;
  static const Section kNone;
  for (const auto& [name, wanted] : approved) {
    auto it = active.find(name);
    const Section& is = it == active.end() ? kNone : it->second;
    auto a = is.begin();
    auto w = wanted.begin();
    while (a != is.end() || w != wanted.end()) {
      bool left = w == wanted.end() || (a != is.end() && a->first <= w->first);
      bool right = a == is.end() || (w != wanted.end() && w->first <= a->first);
      const std::string& field = left ? a->first : w->first;
      if (!left || !right || a->second != w->second)
        out.push_back({{name, field},
                       left ? a->second : kAbsent,
                       right ? w->second : kAbsent,
                       BreaksOf(classes, name, field)});
      if (left)
        ++a;
      if (right)
        ++w;
    }
  }
  return out;
}

}  // namespace dunlinwick::drift
