// A number as the protocols write it, 0 where there is none; for the files of the cast.
#pragma once
#include <charconv>
#include <string_view>

namespace dunlinwick::drill {

inline double Number(std::string_view text) {
  double v = 0;
  std::from_chars(text.data(), text.data() + text.size(), v);
  return v;
}

}  // namespace dunlinwick::drill
