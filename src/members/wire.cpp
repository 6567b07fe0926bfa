#include "members/wire.hpp"

#include <cstring>

namespace dunlinwick::members {

namespace {
constexpr char magic0 = 'D', magic1 = 'W', version = 1;
constexpr std::size_t head = 3 + 1 + 4 * 4 + 2, newsSize = 13, noteSize = 16;

void put(std::string& s, std::uint64_t v, int bytes) {
  for (int i = 0; i < bytes; ++i) s.push_back(static_cast<char>(v >> (8 * i) & 0xff));
}
struct Reader {
  std::span<const char> b;
  std::size_t at = 0;
  std::uint64_t get(int bytes) {
    std::uint64_t v = 0;
    for (int i = 0; i < bytes; ++i) v |= std::uint64_t{static_cast<unsigned char>(b[at++])} << (8 * i);
    return v;
  }
};
}  // namespace

std::string encode(const Message& m) {
  std::string s;
  s.reserve(head + mostInMessage * (newsSize + noteSize));
  s += magic0, s += magic1, s += version;
  std::size_t news = std::min(m.news.size(), mostInMessage), notes = std::min(m.notes.size(), mostInMessage);
  put(s, static_cast<std::uint64_t>(m.kind), 1);
  put(s, m.from, 4), put(s, m.to, 4), put(s, m.seq, 4), put(s, m.target, 4);
  put(s, news, 1), put(s, notes, 1);
  for (std::size_t i = 0; i < news; ++i) {
    const News& n = m.news[i];
    put(s, n.who, 4), put(s, n.incarnation, 4), put(s, static_cast<std::uint64_t>(n.state), 1), put(s, n.by, 4);
  }
  for (std::size_t i = 0; i < notes; ++i) {
    const Note& n = m.notes[i];
    put(s, n.origin, 4), put(s, n.seq, 4), put(s, n.bits, 8);
  }
  return s;
}

bool isViewRequest(std::span<const char> bytes) {
  return bytes.size() == 3 && std::memcmp(bytes.data(), viewRequest, 3) == 0;
}

std::optional<Message> decode(std::span<const char> bytes) {
  if (bytes.size() < head || bytes[0] != magic0 || bytes[1] != magic1 || bytes[2] != version) return std::nullopt;
  Reader r{bytes, 3};
  Message m;
  std::uint64_t kind = r.get(1);
  if (kind > static_cast<std::uint64_t>(Kind::nack)) return std::nullopt;
  m.kind = static_cast<Kind>(kind);
  m.from = static_cast<Id>(r.get(4)), m.to = static_cast<Id>(r.get(4));
  m.seq = static_cast<std::uint32_t>(r.get(4)), m.target = static_cast<Id>(r.get(4));
  std::size_t news = r.get(1), notes = r.get(1);
  if (news > mostInMessage || notes > mostInMessage || bytes.size() != head + news * newsSize + notes * noteSize)
    return std::nullopt;
  for (std::size_t i = 0; i < news; ++i) {
    News n;
    n.who = static_cast<Id>(r.get(4)), n.incarnation = static_cast<std::uint32_t>(r.get(4));
    std::uint64_t state = r.get(1);
    if (state > static_cast<std::uint64_t>(State::dead)) return std::nullopt;
    n.state = static_cast<State>(state), n.by = static_cast<Id>(r.get(4));
    m.news.push_back(n);
  }
  for (std::size_t i = 0; i < notes; ++i) {
    Note n;
    n.origin = static_cast<Id>(r.get(4)), n.seq = static_cast<std::uint32_t>(r.get(4));
    n.bits = r.get(8);
    m.notes.push_back(n);
  }
  return m;
}

}  // namespace dunlinwick::members
