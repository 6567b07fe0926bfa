#include "peers/wire.hpp"

#include <xxhash.h>

namespace dunlinwick::peers {

namespace {

constexpr std::size_t kChecksumOffset = 9;
constexpr std::size_t kMaxFragments = 65536 / 8;  // in a bitmap

void Put(std::string& out, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i)
    out += static_cast<char>(value >> 8 * i);
}
std::uint64_t Get(std::span<const char> bytes, std::size_t offset, int width) {
  std::uint64_t value = 0;
  for (int i = 0; i < width; ++i)
    value |= std::uint64_t{static_cast<unsigned char>(bytes[offset + static_cast<std::size_t>(i)])}
             << 8 * i;
  return value;
}

// Of everything but the checksum itself.
std::uint32_t Checksum(std::span<const char> datagram) {
  std::uint64_t seed = XXH64(datagram.data(), kChecksumOffset, 0);
  return static_cast<std::uint32_t>(
      XXH64(datagram.data() + kHeaderBytes, datagram.size() - kHeaderBytes, seed));
}

}  // namespace

std::uint64_t Digest(std::span<const char> bytes) {
  return XXH64(bytes.data(), bytes.size(), 0);
}

std::optional<DatagramHeader> ReadHeader(std::span<const char> datagram) {
  if (datagram.size() < 8 || datagram[0] != 'D' || datagram[1] != 'P')
    return std::nullopt;
  return DatagramHeader{static_cast<std::uint8_t>(datagram[2]),
                        static_cast<Id>(Get(datagram, 4, 4))};
}

std::optional<Frame> ReadFrame(std::span<const char> datagram, bool verify_checksum) {
  if (datagram.size() < kHeaderBytes || datagram.size() > kHeaderBytes + kMaxDatagramPayload ||
      !ReadHeader(datagram))
    return std::nullopt;
  Frame frame;
  auto channel = static_cast<std::uint8_t>(datagram[3]),
       kind = static_cast<std::uint8_t>(datagram[8]);
  frame.from = static_cast<Id>(Get(datagram, 4, 4));
  if (channel >= kChannelCount || kind > 2 || frame.from == 0)
    return std::nullopt;
  if (verify_checksum && Get(datagram, kChecksumOffset, 4) != Checksum(datagram))
    return std::nullopt;
  frame.channel = static_cast<Channel>(channel);
  frame.kind = static_cast<Kind>(kind);
  frame.body = datagram.subspan(kHeaderBytes);
  return frame;
}

std::string Encode(Channel channel, Id from, Kind kind, std::span<const char> body) {
  std::string datagram;
  datagram.reserve(kHeaderBytes + body.size());
  datagram += "DP";
  Put(datagram, kVersion, 1);
  Put(datagram, static_cast<std::uint8_t>(channel), 1);
  Put(datagram, from, 4);
  Put(datagram, static_cast<std::uint8_t>(kind), 1);
  Put(datagram, 0, 4);
  datagram.append(body.data(), body.size());
  WriteChecksum(datagram);
  return datagram;
}

void WriteChecksum(std::string& datagram) {
  std::uint32_t checksum = Checksum(datagram);
  for (std::size_t i = 0; i < 4; ++i)
    datagram[kChecksumOffset + i] = static_cast<char>(checksum >> 8 * i);
}

std::string Encode(Channel channel, Id from, const Fragment& fragment) {
  std::string body;
  body.reserve(kMaxDatagramPayload);
  Put(body, fragment.incarnation, 8);
  Put(body, fragment.message, 4);
  Put(body, fragment.size, 4);
  Put(body, fragment.index, 4);
  Put(body, fragment.digest, 8);
  body.append(fragment.bytes.data(), fragment.bytes.size());
  return Encode(channel, from, Kind::kFragment, body);
}

std::optional<Fragment> ReadFragment(std::span<const char> body) {
  if (body.size() <= kFragmentHeaderBytes)
    return std::nullopt;
  Fragment fragment;
  fragment.incarnation = Get(body, 0, 8);
  fragment.message = static_cast<std::uint32_t>(Get(body, 8, 4));
  fragment.size = static_cast<std::uint32_t>(Get(body, 12, 4));
  fragment.index = static_cast<std::uint32_t>(Get(body, 16, 4));
  fragment.digest = Get(body, 20, 8);
  fragment.bytes = body.subspan(kFragmentHeaderBytes);
  std::size_t offset = std::size_t{fragment.index} * kFragmentBytes;
  if (fragment.message == 0 || offset >= fragment.size ||
      FragmentCount(fragment.size) > kMaxFragments)
    return std::nullopt;
  if (fragment.bytes.size() != std::min(kFragmentBytes, fragment.size - offset))
    return std::nullopt;
  return fragment;
}

std::string Encode(Channel channel, Id from, const Acknowledgement& acknowledgement) {
  std::string body;
  Put(body, acknowledgement.incarnation, 8);
  Put(body, acknowledgement.message, 4);
  Put(body, acknowledgement.epoch.first, 8);
  Put(body, acknowledgement.epoch.second, 4);
  Put(body, acknowledgement.fragments.size(), 2);
  for (std::size_t i = 0; i < acknowledgement.fragments.size(); i += 8) {
    unsigned bits = 0;
    for (std::size_t k = 0; k < 8 && i + k < acknowledgement.fragments.size(); ++k)
      bits |= unsigned{acknowledgement.fragments[i + k]} << k;
    Put(body, bits, 1);
  }
  return Encode(channel, from, Kind::kAcknowledgement, body);
}

std::optional<Acknowledgement> ReadAcknowledgement(std::span<const char> body) {
  constexpr std::size_t kFixedBytes = 26;
  if (body.size() < kFixedBytes)
    return std::nullopt;
  Acknowledgement acknowledgement;
  acknowledgement.incarnation = Get(body, 0, 8);
  acknowledgement.message = static_cast<std::uint32_t>(Get(body, 8, 4));
  acknowledgement.epoch = {Get(body, 12, 8), static_cast<std::uint32_t>(Get(body, 20, 4))};
  std::size_t count = Get(body, 24, 2);
  if (count > kMaxFragments || body.size() != kFixedBytes + (count + 7) / 8)
    return std::nullopt;
  acknowledgement.fragments.resize(count);
  for (std::size_t i = 0; i < count; ++i)
    acknowledgement.fragments[i] =
        static_cast<unsigned char>(body[kFixedBytes + i / 8]) >> i % 8 & 1;
  return acknowledgement;
}

}  // namespace dunlinwick::peers
