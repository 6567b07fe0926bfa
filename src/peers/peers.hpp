// Datagram transport between fronts over one socket per front: typed channels, each with its own
// budget, so that bulk transfers never delay a probe or a lease. No I/O and no clock: time and
// bytes in, datagrams and messages out. The caller transports them: src/front/peers.* over UDP, the
// tests in virtual time.
//
// Datagram: 'D' 'P' | version u8 | channel u8 | from u32 | kind u8 | checksum u32 | body.
// Little-endian. The checksum is the low half of the xxHash64 of everything else. A datagram of an
// older or newer version is recognized by its version and never misread: it is counted
// (`other_version`) and dropped. The first eight bytes mean the same in every version.
// - A message of at most `kMaxDatagramPayload` bytes is one datagram (kind kComplete). It is sent
//   at once if the channel's budget allows, else queued on its channel. Small messages are not
//   acknowledged: their protocols tolerate loss, duplication and reordering.
// - A larger message (not on members and quota) is sent in fragments that carry its number, its
//   size and a digest (xxHash64) of the complete message. The receiver acknowledges with a bitmap
//   of the fragments that it has; the sender sends the missing ones, resumes after losses, and
//   gives up after `abandon_timeout` without a newly acknowledged fragment. The message is
//   delivered once, complete and with a verified digest, or not at all. Messages to a peer on a
//   channel are sent one at a time, in order, so that one number identifies what was delivered
//   before. At most `max_fragments_in_flight` fragments are unacknowledged, so that a socket's
//   buffer can hold a burst.
// - Service order in Tick(): by channel, in the order of the enumeration, members first. A channel
//   over its budget waits; the others do not wait for it. Within a channel peers are served
//   round-robin, and small messages before fragments.
// - A restart of the sender (a higher incarnation, carried by fragments) discards messages that
//   were partly received from the old process. After a restart of the receiver (carried by its
//   bitmaps) everything is sent again. A front's incarnation (its clock in ms) must be higher at
//   each start; where a clock was set back, it is accepted again after `abandon_timeout` of
//   silence.
// Bounds: per peer and channel `max_queued_bytes` of small messages (the oldest are dropped and
// counted); large messages waiting or being sent: `max_message_bytes` per peer and channel,
// `max_held_bytes` in total, more are rejected; partly received messages: one per peer and channel,
// `max_partial_messages` per peer, `max_message_bytes` each, `max_held_bytes` in total, discarded
// after `abandon_timeout` without a new fragment; `max_peers` peers. Malformed datagrams are
// counted (`malformed`) and dropped; nothing here throws. Sources: token buckets and the priority
// of classes as in RFC 2475; selective acknowledgement as in RFC 2018.
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
using Id = std::uint32_t;  // a front's number in the fleet; 0: none
constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kMaxDatagramPayload = 1200;  // a datagram is `kHeaderBytes` longer
constexpr std::size_t kHeaderBytes = 13;

// In order of service. The values are part of the wire format and never change.
enum class Channel : std::uint8_t {
  kMembers = 0,
  kOwner = 1,
  kQuota = 2,
  kRecovery = 3,
  kRules = 4,
  kRecord = 5
};
constexpr std::size_t kChannelCount = 6;
const char* ToString(Channel channel);
bool AllowsLargeMessages(Channel channel);

struct Budget {
  double bytes_per_s = 0;  // 0: no limit
  double burst = 0;        // bytes that may accumulate
};
struct Settings {
  // Bursts and fragments in flight stay well below a socket's receive buffer (Linux: 212,992 bytes,
  // about 90 of these datagrams): a burst that fills it would lose the probes behind it.
  std::array<Budget, kChannelCount> budgets{
      {{0, 0}, {0, 0}, {64e3, 32e3}, {128e3, 32e3}, {128e3, 32e3}, {2e6, 48e3}}};
  std::size_t max_queued_bytes = 1 << 20;
  std::size_t max_partial_messages = 4;
  std::size_t max_message_bytes = 4 << 20;
  std::size_t max_held_bytes = 16 << 20;
  std::size_t max_peers = 128;
  std::size_t max_fragments_in_flight = 40;  // of one large message
  Ms retransmit_timeout = 200;               // of an unacknowledged fragment
  Ms max_ack_delay = 30;                     // from a received fragment to its acknowledgement
  Ms abandon_timeout = 10000;
};
struct Counters {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  std::uint64_t malformed = 0;
  std::uint64_t other_version = 0;
  std::uint64_t dropped = 0;
  std::uint64_t delivered = 0;
  std::uint64_t abandoned = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t retransmitted = 0;  // fragments
};

// What the socket's owner reads of a datagram: sender and version. Nothing if it has another
// format.
struct DatagramHeader {
  std::uint8_t version = 0;
  Id from = 0;
};
std::optional<DatagramHeader> ReadHeader(std::span<const char> datagram);

class Peers {
 public:
  // Neither may call back into Tick() or Receive(); Deliver may call Send().
  using SendDatagram = std::function<void(Id to, std::string datagram)>;
  using Deliver = std::function<void(Id from, Channel channel, std::span<const char> message)>;
  Peers(Id self, Settings settings, std::uint64_t incarnation, Ms now, SendDatagram send_datagram,
        Deliver deliver);
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;
  // False: too large, addressed to 0 or to itself, or a limit on queued bytes or peers is reached;
  // nothing was sent.
  bool Send(Ms now, Id to, Channel channel, std::string message);
  void Receive(Ms now,
               std::span<const char> datagram);  // from anyone; `from` is what the datagram states
  void Tick(Ms now);                             // about every 20 ms while WakeAt() is due
  Ms WakeAt() const;                             // 1e300: nothing is pending
  const Counters& counters(Channel channel) const;
  std::uint64_t Malformed() const;                   // not attributable to a channel
  std::map<Id, std::uint8_t> OtherVersions() const;  // peers with another version; at most 64
  std::size_t HeldBytes() const;  // of messages that wait, are being sent or are partly received

  // Defects that a test injects; all false in service.
  struct InjectedDefects {
    bool bulk_first = false;         // serves the last channel first, and sends nothing at once
    bool no_digest = false;          // delivers without verifying the digest
    bool no_version = false;         // reads every version as its own
    bool no_checksum = false;        // accepts datagrams without verifying the checksum
    bool no_retransmission = false;  // sends each fragment once
    bool ignores_restarts = false;   // mixes fragments and bitmaps from before and after a restart
  };
  InjectedDefects defects;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwick::peers
