// One socket a front: typed channels between fronts, each with its own budget, so that bulk never delays a probe or a
// lease. Pure: time and bytes in, datagrams and messages out; the caller carries them (src/front/peers.* on sockets,
// rigs in virtual time).
//
// Datagram: 'D' 'P' | version u8 | channel u8 | from u32 | kind u8 | body. Little-endian. An older or newer front is told
// apart by the version and never misread: it is counted (`otherVersion`) and dropped.
// - A message that fits `mostInDatagram` goes as one datagram (kind whole), at once while its channel's budget bears it, else in
//   the channel's queue. Small messages are not acknowledged: their protocols bear loss, doubles and disorder.
// - A larger one (Channel::record, rules only) goes in pieces with an id, a count and a digest (xxHash64) of the whole;
//   the receiver names what it has (bitmap), the sender sends what lacks, resumes after losses, and gives up after
//   `giveUp`. It is delivered once, whole, digest checked, or not at all.
// - Order of service in tick(): by channel, members first, as in the enumeration; a channel over its budget waits, the
//   others do not wait for it.
// - A peer's new life (higher incarnation, carried by pieces) drops what was half done with the old one.
// Bounds: queue a channel `mostQueued` bytes (oldest whole message dropped, counted); half-received messages: `mostPartial`
// a peer, `mostMessage` bytes each, dropped after `giveUp`. Junk is counted (`junk`) and dropped; nothing here throws.
#pragma once
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>

namespace dunlinwick::peers {

using Ms = double;
using Id = std::uint32_t;  // a front's number in the fleet; 0 is nobody
constexpr std::uint8_t version = 1;
constexpr std::size_t mostInDatagram = 1200;

// In order of service. Values are on the wire: never renumbered.
enum class Channel : std::uint8_t { members = 0, owner = 1, quota = 2, recovery = 3, rules = 4, record = 5 };
constexpr std::size_t channels = 6;
const char* word(Channel channel);

struct Budget {
  double bytesPerS = 0;  // 0: no limit
  double burst = 0;      // bytes that may be saved up
};
struct Terms {
  std::array<Budget, channels> budgets{{{0, 0}, {0, 0}, {64e3, 64e3}, {128e3, 128e3}, {128e3, 128e3}, {2e6, 512e3}}};
  std::size_t mostQueued = 1 << 20, mostPartial = 4, mostMessage = 4 << 20;
  Ms again = 200;       // pieces that were not named as had are sent again
  Ms giveUp = 10000;
};
struct Counters {
  std::uint64_t sent = 0, received = 0, junk = 0, otherVersion = 0, dropped = 0, delivered = 0, givenUp = 0;
};

class Peers {
 public:
  using Wire = std::function<void(Id to, std::string datagram)>;
  using Deliver = std::function<void(Id from, Channel channel, std::span<const char> message)>;
  Peers(Id self, Terms terms, std::uint32_t incarnation, Ms now, Wire wire, Deliver deliver);
  ~Peers();
  // False: too large, or `to` has as much queued as may be; nothing was sent. Large ones are for channels rules and record.
  bool send(Ms now, Id to, Channel channel, std::string message);
  void receive(Ms now, std::span<const char> datagram);  // of anybody; `from` is the datagram's word
  void tick(Ms now);                                     // every 20 ms or so while wanted() says so
  Ms wakeAt() const;
  const Counters& counters(Channel channel) const;
  std::uint64_t junk() const;
  std::map<Id, std::uint8_t> others() const;  // peers heard of with another version; at most 64

 private:
  struct Inner;
  std::unique_ptr<Inner> inner_;
};

}  // namespace dunlinwick::peers
