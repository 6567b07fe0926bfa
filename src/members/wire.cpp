#include "members/wire.hpp"

#include <cstring>

namespace dunlinwick::members {

namespace {
constexpr char kMagic0 = 'D', kMagic1 = 'W', kVersion = 1;
constexpr std::size_t kHeaderSize = 3 + 1 + 4 * 4 + 2, kUpdateSize = 13, kPayloadSize = 16;

void Put(std::string& out, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i)
    out.push_back(static_cast<char>(value >> (8 * i) & 0xff));
}
struct Reader {
  std::span<const char> bytes;
  std::size_t position = 0;
  std::uint64_t Get(int width) {
    std::uint64_t value = 0;
    for (int i = 0; i < width; ++i)
      value |= std::uint64_t{static_cast<unsigned char>(bytes[position++])} << (8 * i);
    return value;
  }
};
}  // namespace

std::string Encode(const Message& m) {
  std::string out;
  out.reserve(kHeaderSize + kMaxPerMessage * (kUpdateSize + kPayloadSize));
  out += kMagic0;
  out += kMagic1;
  out += kVersion;
  std::size_t updates = std::min(m.updates.size(), kMaxPerMessage),
              payloads = std::min(m.payloads.size(), kMaxPerMessage);
  Put(out, static_cast<std::uint64_t>(m.kind), 1);
  Put(out, m.from, 4);
  Put(out, m.to, 4);
  Put(out, m.seq, 4);
  Put(out, m.target, 4);
  Put(out, updates, 1);
  Put(out, payloads, 1);
  for (std::size_t i = 0; i < updates; ++i) {
    const MemberUpdate& update = m.updates[i];
    Put(out, update.member, 4);
    Put(out, update.incarnation, 4);
    Put(out, static_cast<std::uint64_t>(update.state), 1);
    Put(out, update.reporter, 4);
  }
  for (std::size_t i = 0; i < payloads; ++i) {
    const Payload& payload = m.payloads[i];
    Put(out, payload.publisher, 4);
    Put(out, payload.seq, 4);
    Put(out, payload.bits, 8);
  }
  return out;
}

bool IsViewRequest(std::span<const char> bytes) {
  return bytes.size() == 3 && std::memcmp(bytes.data(), kViewRequest, 3) == 0;
}

std::optional<Message> Decode(std::span<const char> bytes) {
  if (bytes.size() < kHeaderSize || bytes[0] != kMagic0 || bytes[1] != kMagic1 ||
      bytes[2] != kVersion)
    return std::nullopt;
  Reader reader{bytes, 3};
  Message m;
  std::uint64_t kind = reader.Get(1);
  if (kind > static_cast<std::uint64_t>(Kind::kNack))
    return std::nullopt;
  m.kind = static_cast<Kind>(kind);
  m.from = static_cast<Id>(reader.Get(4));
  m.to = static_cast<Id>(reader.Get(4));
  m.seq = static_cast<std::uint32_t>(reader.Get(4));
  m.target = static_cast<Id>(reader.Get(4));
  std::size_t updates = reader.Get(1), payloads = reader.Get(1);
  if (updates > kMaxPerMessage || payloads > kMaxPerMessage ||
      bytes.size() != kHeaderSize + updates * kUpdateSize + payloads * kPayloadSize)
    return std::nullopt;
  for (std::size_t i = 0; i < updates; ++i) {
    MemberUpdate update;
    update.member = static_cast<Id>(reader.Get(4));
    update.incarnation = static_cast<std::uint32_t>(reader.Get(4));
    std::uint64_t state = reader.Get(1);
    if (state > static_cast<std::uint64_t>(State::kDead))
      return std::nullopt;
    update.state = static_cast<State>(state);
    update.reporter = static_cast<Id>(reader.Get(4));
    m.updates.push_back(update);
  }
  for (std::size_t i = 0; i < payloads; ++i) {
    Payload payload;
    payload.publisher = static_cast<Id>(reader.Get(4));
    payload.seq = static_cast<std::uint32_t>(reader.Get(4));
    payload.bits = reader.Get(8);
    m.payloads.push_back(payload);
  }
  return m;
}

}  // namespace dunlinwick::members
