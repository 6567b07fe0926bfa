// Frames of the simulator's wire: big-endian, packed. Reading never goes past the frame's end.
#pragma once
#include <bit>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "logic.hpp"

namespace dunlinwick::benchlink {

struct WireFault : std::runtime_error {
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
  std::string_view Take(std::size_t n);
  std::uint8_t U8() {
    return static_cast<std::uint8_t>(Take(1)[0]);
  }
  std::uint16_t U16() {
    return static_cast<std::uint16_t>(number(2));
  }
  std::uint32_t U32() {
    return static_cast<std::uint32_t>(number(4));
  }
  std::uint64_t U64() {
    return number(8);
  }
  float F32() {
    return std::bit_cast<float>(U32());
  }
  double F64() {
    return std::bit_cast<double>(U64());
  }

 private:
  std::uint64_t number(int bytes);
  std::string_view rest_;
};

class Writer {
 public:
  std::string bytes;
  void U8(unsigned v) {
    number(v, 1);
  }
  void U16(unsigned v) {
    number(v, 2);
  }
  void U32(std::uint32_t v) {
    number(v, 4);
  }
  void U64(std::uint64_t v) {
    number(v, 8);
  }
  void F64(double v) {
    number(std::bit_cast<std::uint64_t>(v), 8);
  }
  void Text(std::string_view s);

 private:
  void number(std::uint64_t v, int bytes);
};

struct Header {
  double clock = 0;
  std::uint32_t length = 0;
  std::uint32_t records = 0;
  std::uint32_t batch = 0;
};
inline constexpr std::size_t kHeaderSize = 20;
Header ReadHeader(std::string_view bytes);

// Event codes that the host treats itself; every other known code is an Event for the module.
inline constexpr unsigned kCodeKill = 1, kCodeAttach = 2, kCodeOn = 12;
Event ReadEvent(unsigned code, Reader& in);
void WriteAction(const Action& action, Writer& out);
void WriteSource(unsigned front, Writer& out);
void WriteBailOut(std::string_view reason, Writer& out);
void WriteReplyHeader(std::uint32_t length, std::uint32_t batch, Writer& out);

}  // namespace dunlinwick::benchlink
