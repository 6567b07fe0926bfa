// Codec for the simulator's binary protocol: packed big-endian frames. Reading never goes past the
// end of a frame: it throws FrameError instead.
#pragma once
#include <bit>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "logic.hpp"

namespace dunlinwick::benchlink {

struct FrameError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Reader {
 public:
  explicit Reader(std::string_view bytes) : rest_(bytes) {}
  bool empty() const {
    return rest_.empty();
  }
  std::size_t Left() const {
    return rest_.size();
  }
  std::string_view ReadBytes(std::size_t n);
  std::uint8_t U8() {
    return static_cast<std::uint8_t>(ReadBytes(1)[0]);
  }
  std::uint16_t U16() {
    return static_cast<std::uint16_t>(ReadInteger(2));
  }
  std::uint32_t U32() {
    return static_cast<std::uint32_t>(ReadInteger(4));
  }
  std::uint64_t U64() {
    return ReadInteger(8);
  }
  float F32() {
    return std::bit_cast<float>(U32());
  }
  double F64() {
    return std::bit_cast<double>(U64());
  }

 private:
  std::uint64_t ReadInteger(int bytes);
  std::string_view rest_;
};

class Writer {
 public:
  std::string bytes;
  void U8(unsigned v) {
    WriteInteger(v, 1);
  }
  void U16(unsigned v) {
    WriteInteger(v, 2);
  }
  void U32(std::uint32_t v) {
    WriteInteger(v, 4);
  }
  void U64(std::uint64_t v) {
    WriteInteger(v, 8);
  }
  void F64(double v) {
    WriteInteger(std::bit_cast<std::uint64_t>(v), 8);
  }
  void WriteString(std::string_view s);

 private:
  void WriteInteger(std::uint64_t v, int bytes);
};

struct Header {
  double clock = 0;
  std::uint32_t length = 0;
  std::uint32_t records = 0;
  std::uint32_t batch = 0;
};
inline constexpr std::size_t kHeaderSize = 20;
Header ReadHeader(std::string_view bytes);

// Event codes that the host handles itself; every other known code is an Event for a router.
inline constexpr unsigned kCodeKill = 1, kCodeAttach = 2, kCodeOn = 12;
Event ReadEvent(unsigned code, Reader& in);
void WriteAction(const Action& action, Writer& out);
void WriteFrontSelector(unsigned front, Writer& out);
void WriteFrontError(std::string_view reason, Writer& out);
void WriteReplyHeader(std::uint32_t length, std::uint32_t batch, Writer& out);

}  // namespace dunlinwick::benchlink
