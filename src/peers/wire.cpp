#include "peers/wire.hpp"

#include <xxhash.h>

namespace dunlinwick::peers {

namespace {

constexpr std::size_t checkAt = 9;
constexpr std::size_t mostPieces = 65536 / 8;  // that a bitmap in one datagram may name

void put(std::string& s, std::uint64_t v, int bytes) {
  for (int i = 0; i < bytes; ++i) s += static_cast<char>(v >> 8 * i);
}
std::uint64_t get(std::span<const char> b, std::size_t at, int bytes) {
  std::uint64_t v = 0;
  for (int i = 0; i < bytes; ++i) v |= std::uint64_t{static_cast<unsigned char>(b[at + static_cast<std::size_t>(i)])} << 8 * i;
  return v;
}

// Of all but the check itself.
std::uint32_t check(std::span<const char> d) {
  std::uint64_t seed = XXH64(d.data(), checkAt, 0);
  return static_cast<std::uint32_t>(XXH64(d.data() + header, d.size() - header, seed));
}

}  // namespace

std::uint64_t digest(std::span<const char> bytes) { return XXH64(bytes.data(), bytes.size(), 0); }

std::optional<Head> head(std::span<const char> d) {
  if (d.size() < 8 || d[0] != 'D' || d[1] != 'P') return std::nullopt;
  return Head{static_cast<std::uint8_t>(d[2]), static_cast<Id>(get(d, 4, 4))};
}

std::optional<Frame> frame(std::span<const char> d, bool checked) {
  if (d.size() < header || d.size() > header + mostInDatagram || !head(d)) return std::nullopt;
  Frame f;
  auto channel = static_cast<std::uint8_t>(d[3]), kind = static_cast<std::uint8_t>(d[8]);
  f.from = static_cast<Id>(get(d, 4, 4));
  if (channel >= channels || kind > 2 || f.from == 0) return std::nullopt;
  if (checked && get(d, checkAt, 4) != check(d)) return std::nullopt;
  f.channel = static_cast<Channel>(channel), f.kind = static_cast<Kind>(kind), f.body = d.subspan(header);
  return f;
}

std::string encode(Channel channel, Id from, Kind kind, std::span<const char> body) {
  std::string s;
  s.reserve(header + body.size());
  s += "DP", put(s, version, 1), put(s, static_cast<std::uint8_t>(channel), 1), put(s, from, 4);
  put(s, static_cast<std::uint8_t>(kind), 1), put(s, 0, 4);
  s.append(body.data(), body.size());
  seal(s);
  return s;
}

void seal(std::string& s) {
  std::uint32_t c = check(s);
  for (std::size_t i = 0; i < 4; ++i) s[checkAt + i] = static_cast<char>(c >> 8 * i);
}

std::string encode(Channel channel, Id from, const Piece& p) {
  std::string b;
  b.reserve(mostInDatagram);
  put(b, p.incarnation, 8), put(b, p.message, 4), put(b, p.size, 4), put(b, p.index, 4), put(b, p.digest, 8);
  b.append(p.bytes.data(), p.bytes.size());
  return encode(channel, from, Kind::piece, b);
}

std::optional<Piece> piece(std::span<const char> b) {
  if (b.size() <= pieceHead) return std::nullopt;
  Piece p;
  p.incarnation = get(b, 0, 8), p.message = static_cast<std::uint32_t>(get(b, 8, 4));
  p.size = static_cast<std::uint32_t>(get(b, 12, 4)), p.index = static_cast<std::uint32_t>(get(b, 16, 4));
  p.digest = get(b, 20, 8), p.bytes = b.subspan(pieceHead);
  std::size_t from = std::size_t{p.index} * pieceBytes;
  if (p.message == 0 || from >= p.size || pieces(p.size) > mostPieces) return std::nullopt;
  if (p.bytes.size() != std::min(pieceBytes, p.size - from)) return std::nullopt;
  return p;
}

std::string encode(Channel channel, Id from, const Had& h) {
  std::string b;
  put(b, h.incarnation, 8), put(b, h.message, 4), put(b, h.life.first, 8), put(b, h.life.second, 4), put(b, h.pieces.size(), 2);
  for (std::size_t i = 0; i < h.pieces.size(); i += 8) {
    unsigned bits = 0;
    for (std::size_t k = 0; k < 8 && i + k < h.pieces.size(); ++k) bits |= unsigned{h.pieces[i + k]} << k;
    put(b, bits, 1);
  }
  return encode(channel, from, Kind::had, b);
}

std::optional<Had> had(std::span<const char> b) {
  constexpr std::size_t fixed = 26;
  if (b.size() < fixed) return std::nullopt;
  Had h;
  h.incarnation = get(b, 0, 8), h.message = static_cast<std::uint32_t>(get(b, 8, 4));
  h.life = {get(b, 12, 8), static_cast<std::uint32_t>(get(b, 20, 4))};
  std::size_t n = get(b, 24, 2);
  if (n > mostPieces || b.size() != fixed + (n + 7) / 8) return std::nullopt;
  h.pieces.resize(n);
  for (std::size_t i = 0; i < n; ++i) h.pieces[i] = static_cast<unsigned char>(b[fixed + i / 8]) >> i % 8 & 1;
  return h;
}

}  // namespace dunlinwick::peers
