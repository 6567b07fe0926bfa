// Binary encoding of the lease code's messages and stored entries: fixed-width little-endian
// numbers and length-prefixed strings. A Reader that runs out of bytes or meets a string above its
// limit fails and returns zeroes from then on; it never throws.
#pragma once
#include <cstdint>
#include <span>
#include <string>

namespace dunlinwick::owner {

struct Writer {
  std::string bytes;
  void WriteNumber(std::uint64_t value, int width) {
    for (int i = 0; i < width; ++i)
      bytes.push_back(static_cast<char>(value >> (8 * i) & 0xff));
  }
  void WriteString(const std::string& text) {
    WriteNumber(text.size(), 4);
    bytes += text;
  }
};

class Reader {
 public:
  explicit Reader(std::span<const char> bytes) : bytes_(bytes) {}
  std::uint64_t ReadNumber(int width) {
    if (failed_ || bytes_.size() - position_ < static_cast<std::size_t>(width)) {
      failed_ = true;
      return 0;
    }
    std::uint64_t value = 0;
    for (int i = 0; i < width; ++i)
      value |= std::uint64_t{static_cast<unsigned char>(bytes_[position_++])} << (8 * i);
    return value;
  }
  std::string ReadString(std::size_t max_length) {
    std::uint64_t length = ReadNumber(4);
    if (failed_ || length > max_length || bytes_.size() - position_ < length) {
      failed_ = true;
      return std::string();
    }
    std::string text(bytes_.data() + position_, length);
    position_ += length;
    return text;
  }
  bool HasFailed() const {
    return failed_;
  }
  // Whether every byte was read, without a failure.
  bool IsComplete() const {
    return !failed_ && position_ == bytes_.size();
  }

 private:
  std::span<const char> bytes_;
  std::size_t position_ = 0;
  bool failed_ = false;
};

}  // namespace dunlinwick::owner
