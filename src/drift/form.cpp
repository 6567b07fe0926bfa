#include <xxhash.h>

#include <charconv>
#include <cmath>

#include "drift/drift.hpp"

namespace dunlinwick::drift {

namespace {

// Each text behind its length, so that no two forms share their bytes whatever stands in a name or value.
void put(std::string& out, const std::string& text) { out += std::to_string(text.size()), out += ':', out += text; }

const std::string absent = "(absent)";

Breaks breaksOf(const Classes& classes, const std::string& section, const std::string& name) {
  if (auto it = classes.find(section + "." + name); it != classes.end()) return it->second;
  // Of a list's row ("3.effect"): by the name behind the row's number, as a class names "offerings.effect".
  if (auto dot = name.rfind('.'); dot != std::string::npos)
    if (auto it = classes.find(section + "." + name.substr(dot + 1)); it != classes.end()) return it->second;
  if (auto it = classes.find(section + ".*"); it != classes.end()) return it->second;
  return Breaks::capacity;
}

}  // namespace

const char* word(Breaks breaks) {
  static const char* const words[] = {"nothing", "capacity", "rule"};
  auto i = static_cast<std::size_t>(breaks);
  return i < 3 ? words[i] : "?";
}

const char* word(Standing standing) {
  static const char* const words[] = {"unknown", "inStep", "converging", "drifted", "unapproved", "forked"};
  auto i = static_cast<std::size_t>(standing);
  return i < 6 ? words[i] : "?";
}

std::string canonical(const Section& section) {
  std::string out;
  for (const auto& [name, value] : section) put(out, name), out += '=', put(out, value), out += '\n';
  return out;
}

std::uint64_t digest(const Section& section) {
  std::string bytes = canonical(section);
  return XXH64(bytes.data(), bytes.size(), 0);
}

std::uint64_t digest(const Form& form) {
  std::string bytes;
  for (const auto& [name, section] : form) {
    put(bytes, name);
    std::uint64_t d = digest(section);
    for (int i = 0; i < 8; ++i) bytes.push_back(static_cast<char>(d >> (8 * i) & 0xff));
  }
  return XXH64(bytes.data(), bytes.size(), 0);
}

std::string number(double value) {
  if (std::isnan(value)) return "nan";
  if (value == 0) return "0";  // minus zero decides as zero does
  char text[64];
  auto r = std::to_chars(text, text + sizeof text, value);
  return std::string(text, r.ptr);
}

std::vector<Difference> differences(const Form& active, const Form& approved, const Classes& classes) {
  std::vector<Difference> out;
  static const Section none;
  for (const auto& [name, wanted] : approved) {
    auto it = active.find(name);
    const Section& is = it == active.end() ? none : it->second;
    auto a = is.begin();
    auto w = wanted.begin();
    while (a != is.end() || w != wanted.end()) {
      bool left = w == wanted.end() || (a != is.end() && a->first <= w->first);
      bool right = a == is.end() || (w != wanted.end() && w->first <= a->first);
      const std::string& field = left ? a->first : w->first;
      if (!left || !right || a->second != w->second)
        out.push_back({{name, field}, left ? a->second : absent, right ? w->second : absent, breaksOf(classes, name, field)});
      if (left) ++a;
      if (right) ++w;
    }
  }
  return out;
}

}  // namespace dunlinwick::drift
