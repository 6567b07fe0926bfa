#include "board/watch_events.hpp"

#include <algorithm>
#include <cmath>

namespace dunlinwick::discovery {
namespace {

using json::Kind;
using json::Value;

// Larger numbers are rejected: in arithmetic with times or weights they would distort all other
// values permanently.
constexpr double kMaxUnixMs = 1e15,
                 kMaxWeight = 1e9;  // a Unix time in milliseconds; an endpoint's weight

// Index of a name that the settings do not list; larger than all indexes of listed names.
constexpr int kUnknownIndex = 65535;

int IndexOf(std::string_view name, const std::vector<std::string>& names) {
  auto found = std::find(names.begin(), names.end(), settings::SanitizedValue(name));
  return found == names.end() ? kUnknownIndex : static_cast<int>(found - names.begin());
}

bool ReadEntry(const Value& value, const settings::ConnectionSettings& terms,
               exchange::ListedEndpoint& out) {
  std::string_view state = value.GetString("state");
  auto address = loop::ReadAddress(value.GetString("addr"));
  out.id = value.GetString("id");
  // The id is sent on connections to caches as the value of a field.
  auto is_invalid = [](unsigned char c) {
    return c <= ' ' || c == ',' || c == 0x7f;
  };
  if (!address || out.id.empty() || std::any_of(out.id.begin(), out.id.end(), is_invalid))
    return false;
  out.address = *address;
  out.entry.zone = IndexOf(value.GetString("zone"), terms.zones);
  out.entry.kind = IndexOf(value.GetString("kind"), terms.kinds);
  out.entry.cell = static_cast<int>(std::clamp(value.GetNumber("cell").value_or(0), 0.0, 65535.0));
  out.entry.weight = value.GetNumber("weight").value_or(1);
  out.entry.started_at = value.GetNumber("started_ms").value_or(0);
  if (std::abs(out.entry.weight) > kMaxWeight ||
      std::abs(out.entry.started_at.UnixMs()) > kMaxUnixMs)
    return false;
  if (state == "in_service")
    out.entry.state = EndpointState::kReady;
  else if (state == "terminating")
    out.entry.state = EndpointState::kDraining;
  else if (state == "terminated")
    out.entry.state = EndpointState::kRemoved;
  else
    return false;
  return true;
}

}  // namespace

std::optional<WatchEvent> ReadWatchEvent(const Value& value,
                                         const settings::ConnectionSettings& terms) {
  WatchEvent event;
  double revision = value.GetNumber("rev").value_or(0);
  if (!(revision >= 1 && revision < 1e15) || revision != std::floor(revision))
    return std::nullopt;
  event.revision = static_cast<std::uint64_t>(revision);
  if (const Value* pool = value.Find("pool")) {
    const Value *servers = pool->Find("servers", Kind::kArray),
                *full = pool->Find("full", Kind::kBoolean);
    if (!servers)
      return std::nullopt;
    event.has_list = true;
    event.is_full_list = full && full->text == "true";
    for (const Value& item : servers->items) {
      event.entries.emplace_back();
      if (!ReadEntry(item, terms, event.entries.back()))
        return std::nullopt;
    }
  }
  if (const Value* flush = value.Find("flush")) {
    auto group = flush->GetNumber("collection"), purged_at = flush->GetNumber("ms");
    event.has_purge = true;
    event.object = flush->GetString("asset");
    event.whole_group = event.object.empty();
    if (!purged_at || std::abs(*purged_at) > kMaxUnixMs || (event.whole_group && !group))
      return std::nullopt;
    if (group && !(*group >= 0 && *group <= 65535))
      return std::nullopt;
    event.group = static_cast<int>(group.value_or(0));
    event.purged_at = *purged_at;
  }
  return event;
}

}  // namespace dunlinwick::discovery
