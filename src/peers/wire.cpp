#include "peers/wire.hpp"

#include <xxhash.h>

namespace dunlinwick::peers {

namespace {

constexpr std::size_t kCheckAt = 9;
constexpr std::size_t kMostPieces = 65536 / 8;  // that a bitmap in one datagram may name

void Put(std::string& s, std::uint64_t v, int bytes) {
  for (int i = 0; i < bytes; ++i)
    s += static_cast<char>(v >> 8 * i);
}
std::uint64_t Get(std::span<const char> b, std::size_t at, int bytes) {
  std::uint64_t v = 0;
  for (int i = 0; i < bytes; ++i)
    v |= std::uint64_t{static_cast<unsigned char>(b[at + static_cast<std::size_t>(i)])} << 8 * i;
  return v;
}

// Of all but the check itself.
std::uint32_t Check(std::span<const char> d) {
  std::uint64_t seed = XXH64(d.data(), kCheckAt, 0);
  return static_cast<std::uint32_t>(XXH64(d.data() + kHeader, d.size() - kHeader, seed));
}

}  // namespace

std::uint64_t Digest(std::span<const char> bytes) {
  return XXH64(bytes.data(), bytes.size(), 0);
}

std::optional<Head> ReadHead(std::span<const char> d) {
  if (d.size() < 8 || d[0] != 'D' || d[1] != 'P')
    return std::nullopt;
  return Head{static_cast<std::uint8_t>(d[2]), static_cast<Id>(Get(d, 4, 4))};
}

std::optional<Frame> ReadFrame(std::span<const char> d, bool checked) {
  if (d.size() < kHeader || d.size() > kHeader + kMostInDatagram || !ReadHead(d))
    return std::nullopt;
  Frame f;
  auto channel = static_cast<std::uint8_t>(d[3]), kind = static_cast<std::uint8_t>(d[8]);
  f.from = static_cast<Id>(Get(d, 4, 4));
  if (channel >= kChannels || kind > 2 || f.from == 0)
    return std::nullopt;
  if (checked && Get(d, kCheckAt, 4) != Check(d))
    return std::nullopt;
  f.channel = static_cast<Channel>(channel);
  f.kind = static_cast<Kind>(kind);
  f.body = d.subspan(kHeader);
  return f;
}

std::string Encode(Channel channel, Id from, Kind kind, std::span<const char> body) {
  std::string s;
  s.reserve(kHeader + body.size());
  s += "DP";
  Put(s, kVersion, 1);
  Put(s, static_cast<std::uint8_t>(channel), 1);
  Put(s, from, 4);
  Put(s, static_cast<std::uint8_t>(kind), 1);
  Put(s, 0, 4);
  s.append(body.data(), body.size());
  Seal(s);
  return s;
}

void Seal(std::string& s) {
  std::uint32_t c = Check(s);
  for (std::size_t i = 0; i < 4; ++i)
    s[kCheckAt + i] = static_cast<char>(c >> 8 * i);
}

std::string Encode(Channel channel, Id from, const Piece& p) {
  std::string b;
  b.reserve(kMostInDatagram);
  Put(b, p.incarnation, 8);
  Put(b, p.message, 4);
  Put(b, p.size, 4);
  Put(b, p.index, 4);
  Put(b, p.digest, 8);
  b.append(p.bytes.data(), p.bytes.size());
  return Encode(channel, from, Kind::kPiece, b);
}

std::optional<Piece> ReadPiece(std::span<const char> b) {
  if (b.size() <= kPieceHead)
    return std::nullopt;
  Piece p;
  p.incarnation = Get(b, 0, 8);
  p.message = static_cast<std::uint32_t>(Get(b, 8, 4));
  p.size = static_cast<std::uint32_t>(Get(b, 12, 4));
  p.index = static_cast<std::uint32_t>(Get(b, 16, 4));
  p.digest = Get(b, 20, 8);
  p.bytes = b.subspan(kPieceHead);
  std::size_t from = std::size_t{p.index} * kPieceBytes;
  if (p.message == 0 || from >= p.size || Pieces(p.size) > kMostPieces)
    return std::nullopt;
  if (p.bytes.size() != std::min(kPieceBytes, p.size - from))
    return std::nullopt;
  return p;
}

std::string Encode(Channel channel, Id from, const Had& h) {
  std::string b;
  Put(b, h.incarnation, 8);
  Put(b, h.message, 4);
  Put(b, h.life.first, 8);
  Put(b, h.life.second, 4);
  Put(b, h.pieces.size(), 2);
  for (std::size_t i = 0; i < h.pieces.size(); i += 8) {
    unsigned bits = 0;
    for (std::size_t k = 0; k < 8 && i + k < h.pieces.size(); ++k)
      bits |= unsigned{h.pieces[i + k]} << k;
    Put(b, bits, 1);
  }
  return Encode(channel, from, Kind::kHad, b);
}

std::optional<Had> ReadHad(std::span<const char> b) {
  constexpr std::size_t kFixed = 26;
  if (b.size() < kFixed)
    return std::nullopt;
  Had h;
  h.incarnation = Get(b, 0, 8);
  h.message = static_cast<std::uint32_t>(Get(b, 8, 4));
  h.life = {Get(b, 12, 8), static_cast<std::uint32_t>(Get(b, 20, 4))};
  std::size_t n = Get(b, 24, 2);
  if (n > kMostPieces || b.size() != kFixed + (n + 7) / 8)
    return std::nullopt;
  h.pieces.resize(n);
  for (std::size_t i = 0; i < n; ++i)
    h.pieces[i] = static_cast<unsigned char>(b[kFixed + i / 8]) >> i % 8 & 1;
  return h;
}

}  // namespace dunlinwick::peers
