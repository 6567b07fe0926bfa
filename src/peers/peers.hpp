// One socket a front: typed channels between fronts, each with its own budget, so that bulk never
// delays a probe or a lease. Pure: time and bytes in, datagrams and messages out; the caller
// carries them (src/front/peers.* on sockets, rigs in virtual time).
//
// Datagram: 'D' 'P' | version u8 | channel u8 | from u32 | kind u8 | check u32 | body.
// Little-endian. The check is the low half of the xxHash64 of all the rest. An older or newer front
// is told apart by the version and never misread: it is counted (`otherVersion`) and dropped; the
// first eight bytes mean the same in every version.
// - A message that fits `mostInDatagram` goes as one datagram (kind whole), at once while its
// channel's budget bears it,
//   else in the channel's queue. Small messages are not acknowledged: their protocols bear loss,
//   doubles and disorder.
// - A larger one (not on members and quota) goes in pieces with an id, a size and a digest
// (xxHash64) of the whole; the
//   receiver names what it has (bitmap), the sender sends what lacks, resumes after losses, and
//   gives up once nothing new was named for `giveUp`. It is delivered once, whole, digest checked,
//   or not at all. One at a time for each peer and channel, in the order sent, so that what was had
//   before is known by one number; at most `mostInFlight` pieces are unanswered, so that a socket's
//   buffer bears a burst.
// - Order of service in tick(): by channel, members first, as in the enumeration; a channel over
// its budget waits, the
//   others do not wait for it. Within a channel peers are served in turn, and small messages before
//   pieces.
// - A sender's new life (higher incarnation, carried by pieces) drops what was half done with the
// old one; a receiver's new
//   life (carried by its bitmaps) is sent everything again. A front's incarnation (its clock in ms)
//   must be higher at each start; where a clock was set back, it is heard again after `giveUp` of
//   silence.
// Bounds: queue a peer and channel `mostQueued` bytes of small messages (oldest dropped, counted);
// large ones that wait or are under way: `mostMessage` bytes a peer and channel, `mostHeld` in all,
// more are refused; half-received messages: one a peer and channel, `mostPartial` a peer,
// `mostMessage` bytes each, `mostHeld` in all, dropped after `giveUp` without a new piece;
// `mostPeers` peers. Junk is counted (`junk`) and dropped; nothing here throws. Sources: token
// buckets and the order of classes as in RFC 2475; selective acknowledgement as in RFC 2018.
#pragma once
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace dunlinwick::peers {

using Ms = double;
using Id = std::uint32_t;  // a front's number in the fleet; 0 is nobody
constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kMostInDatagram = 1200;  // of a message; a datagram is `header` longer
constexpr std::size_t kHeader = 13;

// In order of service. Values are on the wire: never renumbered.
enum class Channel : std::uint8_t {
  kMembers = 0,
  kOwner = 1,
  kQuota = 2,
  kRecovery = 3,
  kRules = 4,
  kRecord = 5
};
constexpr std::size_t kChannels = 6;
const char* ToString(Channel channel);
bool BearsLarge(Channel channel);

struct Budget {
  double bytes_per_s = 0;  // 0: no limit
  double burst = 0;        // bytes that may be saved up
};
struct Terms {
  // Bursts and pieces in flight stay well below a socket's receive buffer (Linux: 212,992 bytes,
  // some 90 of our datagrams): a burst that fills it would cost the probes behind it.
  std::array<Budget, kChannels> budgets{
      {{0, 0}, {0, 0}, {64e3, 32e3}, {128e3, 32e3}, {128e3, 32e3}, {2e6, 48e3}}};
  std::size_t most_queued = 1 << 20;
  std::size_t most_partial = 4;
  std::size_t most_message = 4 << 20;
  std::size_t most_held = 16 << 20;
  std::size_t most_peers = 128;
  std::size_t most_in_flight = 40;  // pieces, of one large message
  Ms again = 200;                   // pieces that were not named as had are sent again
  Ms answer_within = 30;            // what came is named no later than this
  Ms give_up = 10000;
};
struct Counters {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  std::uint64_t junk = 0;
  std::uint64_t other_version = 0;
  std::uint64_t dropped = 0;
  std::uint64_t delivered = 0;
  std::uint64_t given_up = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t sent_again = 0;  // pieces that were sent more than once
};

// Whoever carries datagrams for fronts looks at this much: who says it, in what version. Nothing:
// not of ours.
struct Head {
  std::uint8_t version = 0;
  Id from = 0;
};
std::optional<Head> ReadHead(std::span<const char> datagram);

class Peers {
 public:
  // Neither may call back into tick() or receive(); Deliver may call send().
  using Wire = std::function<void(Id to, std::string datagram)>;
  using Deliver = std::function<void(Id from, Channel channel, std::span<const char> message)>;
  Peers(Id self, Terms terms, std::uint64_t incarnation, Ms now, Wire wire, Deliver deliver);
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;
  // False: too large, to nobody or oneself, or `to` has as much queued as may be; nothing was sent.
  bool Send(Ms now, Id to, Channel channel, std::string message);
  void Receive(Ms now,
               std::span<const char> datagram);  // of anybody; `from` is the datagram's word
  void Tick(Ms now);                             // every 20 ms or so while wakeAt() says so
  Ms WakeAt() const;                             // 1e300: nothing is under way
  const Counters& counters(Channel channel) const;
  std::uint64_t Junk() const;                 // what could not be told to be of any channel
  std::map<Id, std::uint8_t> Others() const;  // peers heard of with another version; at most 64
  std::size_t Held() const;  // bytes of messages that wait, are under way or half received

  // What a test breaks on purpose; all false in service.
  struct Breaks {
    bool bulk_first = false;  // serves the last channel first, and nothing at once
    bool no_digest = false;   // delivers whatever pieces made
    bool no_version = false;  // reads every version as its own
    bool no_check = false;    // takes datagrams as they come
    bool no_resume = false;   // sends each piece once
    bool old_life = false;  // mixes what an earlier life of a peer sent or had with the present one
  };
  Breaks breaks;

 private:
  struct Inner;
  std::unique_ptr<Inner> inner_;
};

}  // namespace dunlinwick::peers
