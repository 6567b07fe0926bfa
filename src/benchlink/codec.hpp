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
  bool empty() const { return rest_.empty(); }
  std::size_t left() const { return rest_.size(); }
  std::string_view take(std::size_t n);
  std::uint8_t u8() { return static_cast<std::uint8_t>(take(1)[0]); }
  std::uint16_t u16() { return static_cast<std::uint16_t>(number(2)); }
  std::uint32_t u32() { return static_cast<std::uint32_t>(number(4)); }
  std::uint64_t u64() { return number(8); }
  float f32() { return std::bit_cast<float>(u32()); }
  double f64() { return std::bit_cast<double>(u64()); }

 private:
  std::uint64_t number(int bytes);
  std::string_view rest_;
};

class Writer {
 public:
  std::string bytes;
  void u8(unsigned v) { number(v, 1); }
  void u16(unsigned v) { number(v, 2); }
  void u32(std::uint32_t v) { number(v, 4); }
  void u64(std::uint64_t v) { number(v, 8); }
  void f64(double v) { number(std::bit_cast<std::uint64_t>(v), 8); }
  void text(std::string_view s);

 private:
  void number(std::uint64_t v, int bytes);
};

struct Header {
  double clock = 0;
  std::uint32_t length = 0, records = 0, batch = 0;
};
inline constexpr std::size_t headerSize = 20;
Header readHeader(std::string_view bytes);

// Event codes that the host treats itself; every other known code is an Event for the module.
inline constexpr unsigned codeKill = 1, codeAttach = 2, codeOn = 12;
Event readEvent(unsigned code, Reader& in);
void writeAction(const Action& action, Writer& out);
void writeSource(unsigned front, Writer& out);
void writeBailOut(std::string_view reason, Writer& out);
void writeReplyHeader(std::uint32_t length, std::uint32_t batch, Writer& out);

}  // namespace dunlinwick::benchlink
