// The members' datagram, as fronts send it to each other over UDP: fixed fields, little-endian.
//
//   "DW" 1 | kind u8 | from u32 | to u32 | seq u32 | target u32 | news u8 | notes u8
//   news:  who u32 | incarnation u32 | state u8 | by u32      (13 bytes each, at most 32)
//   notes: origin u32 | seq u32 | bits u64                     (16 bytes each, at most 32)
//
// A view request is the three bytes "DW?"; its answer is JSON text (src/front/fleet.cpp). Bytes
// from a peer never throw: decode() answers nothing for anything that is not one message whole.
#pragma once
#include <optional>
#include <span>
#include <string>

#include "members/swim.hpp"

namespace dunlinwick::members {

constexpr std::size_t kMostInMessage =
    32;  // news, and notes, in one message; 949 bytes at most in all
std::string Encode(const Message& m);
std::optional<Message> Decode(std::span<const char> bytes);
bool IsViewRequest(std::span<const char> bytes);
inline constexpr char kViewRequest[] = "DW?";

}  // namespace dunlinwick::members
