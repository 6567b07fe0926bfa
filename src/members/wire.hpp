// The membership datagram that fronts send to each other over UDP: fixed-width little-endian
// fields.
//
//   "DW" 1 | kind u8 | from u32 | to u32 | seq u32 | target u32 | updates u8 | payloads u8
//   update:  member u32 | incarnation u32 | state u8 | reporter u32  (13 bytes each, at most 32)
//   payload: publisher u32 | seq u32 | bits u64                      (16 bytes each, at most 32)
//
// A view request is the three bytes "DW?"; its answer is JSON text (src/front/fleet.cpp). Bytes
// from a peer never cause an exception: Decode() returns nullopt for anything that is not exactly
// one complete message.
#pragma once
#include <optional>
#include <span>
#include <string>

#include "members/swim.hpp"

namespace dunlinwick::members {

constexpr std::size_t kMaxPerMessage =
    32;  // updates in one message, and payloads; 949 bytes at most in total
std::string Encode(const Message& m);
std::optional<Message> Decode(std::span<const char> bytes);
bool IsViewRequest(std::span<const char> bytes);
inline constexpr char kViewRequest[] = "DW?";

}  // namespace dunlinwick::members
