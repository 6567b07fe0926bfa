// The wire format of a datagram between fronts: frames, fragments of large messages, and their
// acknowledgements. No I/O; nothing throws, and readers return nullopt for what is not complete and
// well-formed.
#pragma once
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "peers/peers.hpp"

namespace dunlinwick::peers {

enum class Kind : std::uint8_t {
  kComplete = 0,
  kFragment = 1,
  kAcknowledgement = 2
};

struct Frame {
  Channel channel = Channel::kMembers;
  Id from = 0;
  Kind kind = Kind::kComplete;
  std::span<const char> body;
};
// Reads the bytes as this version, whatever version they state; ReadHeader() returns that one.
std::optional<Frame> ReadFrame(std::span<const char> datagram, bool verify_checksum = true);
std::string Encode(Channel channel, Id from, Kind kind, std::span<const char> body);
void WriteChecksum(std::string& datagram);  // of at least `kHeaderBytes`

struct Fragment {
  std::uint64_t incarnation = 0;  // of the sender
  std::uint32_t message = 0;      // counted per sender's incarnation, receiver and channel; from 1
  std::uint32_t size = 0;         // of the complete message
  std::uint32_t index = 0;
  std::uint64_t digest = 0;  // of the complete message
  std::span<const char> bytes;
};
constexpr std::size_t kFragmentHeaderBytes = 28,
                      kFragmentBytes = kMaxDatagramPayload - kFragmentHeaderBytes;
constexpr std::size_t FragmentCount(std::size_t size) {
  return (size + kFragmentBytes - 1) / kFragmentBytes;
}
std::string Encode(Channel channel, Id from, const Fragment& fragment);
std::optional<Fragment> ReadFragment(
    std::span<const char> body);  // the number of its bytes fits its index and size

// The receiver's incarnation, then how often it has started, or started over, to receive a message
// on the channel.
using ReceiverEpoch = std::pair<std::uint64_t, std::uint32_t>;
struct Acknowledgement {
  std::uint64_t incarnation = 0;  // of the sender of the message
  std::uint32_t message = 0;
  // A bitmap with a higher epoch supersedes all earlier ones.
  ReceiverEpoch epoch;
  std::vector<bool> fragments;  // empty: the message has been delivered
};
std::string Encode(Channel channel, Id from, const Acknowledgement& acknowledgement);
std::optional<Acknowledgement> ReadAcknowledgement(std::span<const char> body);

std::uint64_t Digest(std::span<const char> bytes);

}  // namespace dunlinwick::peers
