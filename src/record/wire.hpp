// Conversion of entries to and from Protobuf, for messages between fronts and for storage.
#pragma once
#include <cmath>
#include <optional>

#include "record.pb.h"
#include "record/entry.hpp"

namespace dunlinwick::record {

inline void ToProto(const Entry& e, proto::record::Entry* w) {
  w->set_offset(e.offset);
  w->set_token(e.token);
  w->set_stream(static_cast<std::uint32_t>(e.stream));
  w->set_key(e.key);
  w->set_tombstone(e.tombstone);
  w->set_value(e.value);
  w->set_at(e.written_at);
}
// Unset if the message violates a bound of Entry.
inline std::optional<Entry> FromProto(const proto::record::Entry& w) {
  if (w.stream() >= kStreamCount || w.key().empty() || w.key().size() > kMaxKeyBytes ||
      w.value().size() > kMaxValueBytes || w.offset() == 0 || !std::isfinite(w.at()) ||
      (w.tombstone() && !w.value().empty()))
    return std::nullopt;
  return Entry{w.offset(), w.token(), static_cast<Stream>(w.stream()), w.key(), w.tombstone(),
               w.value(),  w.at()};
}

}  // namespace dunlinwick::record
