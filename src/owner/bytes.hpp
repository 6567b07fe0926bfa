// Fixed-width little-endian numbers and short texts, for the owner's messages and records. A reader
// that runs short or meets an over-long text turns bad and yields zeroes from then on; it never
// throws.
#pragma once
#include <cstdint>
#include <span>
#include <string>

namespace dunlinwick::owner {

struct Writer {
  std::string bytes;
  void number(std::uint64_t v, int width) {
    for (int i = 0; i < width; ++i)
      bytes.push_back(static_cast<char>(v >> (8 * i) & 0xff));
  }
  void Text(const std::string& t) {
    number(t.size(), 4);
    bytes += t;
  }
};

class Reader {
 public:
  explicit Reader(std::span<const char> b) : b_(b) {}
  std::uint64_t number(int width) {
    if (bad_ || b_.size() - at_ < static_cast<std::size_t>(width)) {
      bad_ = true;
      return 0;
    }
    std::uint64_t v = 0;
    for (int i = 0; i < width; ++i)
      v |= std::uint64_t{static_cast<unsigned char>(b_[at_++])} << (8 * i);
    return v;
  }
  std::string Text(std::size_t most) {
    std::uint64_t n = number(4);
    if (bad_ || n > most || b_.size() - at_ < n) {
      bad_ = true;
      return std::string();
    }
    std::string t(b_.data() + at_, n);
    at_ += n;
    return t;
  }
  bool Bad() const {
    return bad_;
  }
  bool Whole() const {
    return !bad_ && at_ == b_.size();
  }  // all read, and good

 private:
  std::span<const char> b_;
  std::size_t at_ = 0;
  bool bad_ = false;
};

}  // namespace dunlinwick::owner
