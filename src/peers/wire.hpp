// The bytes of a datagram between fronts: frames, pieces of large messages, and what of them was
// had. Pure; nothing throws, and what is not whole is nothing.
#pragma once
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "peers/peers.hpp"

namespace dunlinwick::peers {

enum class Kind : std::uint8_t {
  kWhole = 0,
  kPiece = 1,
  kHad = 2
};

struct Frame {
  Channel channel = Channel::kMembers;
  Id from = 0;
  Kind kind = Kind::kWhole;
  std::span<const char> body;
};
// Of this version, whatever the bytes' version says: head() tells that.
std::optional<Frame> ReadFrame(std::span<const char> datagram, bool checked = true);
std::string Encode(Channel channel, Id from, Kind kind, std::span<const char> body);
void Seal(std::string& datagram);  // writes its check anew; at least `header` long

struct Piece {
  std::uint64_t incarnation = 0;  // of the sender
  std::uint32_t message = 0;      // numbers of a sender's life, by receiver and channel; from 1
  std::uint32_t size = 0;         // of the whole
  std::uint32_t index = 0;
  std::uint64_t digest = 0;  // of the whole
  std::span<const char> bytes;
};
constexpr std::size_t kPieceHead = 28, kPieceBytes = kMostInDatagram - kPieceHead;
constexpr std::size_t Pieces(std::size_t size) {
  return (size + kPieceBytes - 1) / kPieceBytes;
}
std::string Encode(Channel channel, Id from, const Piece& piece);
std::optional<Piece> ReadPiece(std::span<const char> body);  // its bytes fit its index and size

using Life = std::pair<std::uint64_t, std::uint32_t>;
struct Had {
  std::uint64_t incarnation = 0;  // of the sender of the message
  std::uint32_t message = 0;
  // Of the receiver: its own incarnation, then how often it began anew. A bitmap with a higher one
  // stands in for all before it.
  Life life;
  std::vector<bool> pieces;  // empty: it has been delivered
};
std::string Encode(Channel channel, Id from, const Had& had);
std::optional<Had> ReadHad(std::span<const char> body);

std::uint64_t Digest(std::span<const char> bytes);

}  // namespace dunlinwick::peers
