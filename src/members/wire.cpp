#include "members/wire.hpp"

#include <cstring>

namespace dunlinwick::members {

namespace {
constexpr char kMagic0 = 'D', kMagic1 = 'W', kVersion = 1;
constexpr std::size_t kHead = 3 + 1 + 4 * 4 + 2, kNewsSize = 13, kNoteSize = 16;

void Put(std::string& s, std::uint64_t v, int bytes) {
  for (int i = 0; i < bytes; ++i)
    s.push_back(static_cast<char>(v >> (8 * i) & 0xff));
}
struct Reader {
  std::span<const char> b;
  std::size_t at = 0;
  std::uint64_t Get(int bytes) {
    std::uint64_t v = 0;
    for (int i = 0; i < bytes; ++i)
      v |= std::uint64_t{static_cast<unsigned char>(b[at++])} << (8 * i);
    return v;
  }
};
}  // namespace

std::string Encode(const Message& m) {
  std::string s;
  s.reserve(kHead + kMostInMessage * (kNewsSize + kNoteSize));
  s += kMagic0;
  s += kMagic1;
  s += kVersion;
  std::size_t news = std::min(m.news.size(), kMostInMessage),
              notes = std::min(m.notes.size(), kMostInMessage);
  Put(s, static_cast<std::uint64_t>(m.kind), 1);
  Put(s, m.from, 4);
  Put(s, m.to, 4);
  Put(s, m.seq, 4);
  Put(s, m.target, 4);
  Put(s, news, 1);
  Put(s, notes, 1);
  for (std::size_t i = 0; i < news; ++i) {
    const News& n = m.news[i];
    Put(s, n.who, 4);
    Put(s, n.incarnation, 4);
    Put(s, static_cast<std::uint64_t>(n.state), 1);
    Put(s, n.by, 4);
  }
  for (std::size_t i = 0; i < notes; ++i) {
    const Note& n = m.notes[i];
    Put(s, n.origin, 4);
    Put(s, n.seq, 4);
    Put(s, n.bits, 8);
  }
  return s;
}

bool IsViewRequest(std::span<const char> bytes) {
  return bytes.size() == 3 && std::memcmp(bytes.data(), kViewRequest, 3) == 0;
}

std::optional<Message> Decode(std::span<const char> bytes) {
  if (bytes.size() < kHead || bytes[0] != kMagic0 || bytes[1] != kMagic1 || bytes[2] != kVersion)
    return std::nullopt;
  Reader r{bytes, 3};
  Message m;
  std::uint64_t kind = r.Get(1);
  if (kind > static_cast<std::uint64_t>(Kind::kNack))
    return std::nullopt;
  m.kind = static_cast<Kind>(kind);
  m.from = static_cast<Id>(r.Get(4));
  m.to = static_cast<Id>(r.Get(4));
  m.seq = static_cast<std::uint32_t>(r.Get(4));
  m.target = static_cast<Id>(r.Get(4));
  std::size_t news = r.Get(1), notes = r.Get(1);
  if (news > kMostInMessage || notes > kMostInMessage ||
      bytes.size() != kHead + news * kNewsSize + notes * kNoteSize)
    return std::nullopt;
  for (std::size_t i = 0; i < news; ++i) {
    News n;
    n.who = static_cast<Id>(r.Get(4));
    n.incarnation = static_cast<std::uint32_t>(r.Get(4));
    std::uint64_t state = r.Get(1);
    if (state > static_cast<std::uint64_t>(State::kDead))
      return std::nullopt;
    n.state = static_cast<State>(state);
    n.by = static_cast<Id>(r.Get(4));
    m.news.push_back(n);
  }
  for (std::size_t i = 0; i < notes; ++i) {
    Note n;
    n.origin = static_cast<Id>(r.Get(4));
    n.seq = static_cast<std::uint32_t>(r.Get(4));
    n.bits = r.Get(8);
    m.notes.push_back(n);
  }
  return m;
}

}  // namespace dunlinwick::members
