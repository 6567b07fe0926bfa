#include "board/notices.hpp"

#include <algorithm>
#include <cmath>

namespace dunlinwick::discovery {
namespace {

using json::Kind;
using json::Value;

// Beyond these a number is a fault: in arithmetic with times or levels it would put out all others,
// for good.
constexpr double kLatest = 1e15, kHeaviest = 1e9;  // a Unix millisecond; a machine's weight

// Of a place that the settings do not name; beyond all of theirs.
constexpr int kUnnamed = 65535;

int PlaceOf(std::string_view name, const std::vector<std::string>& names) {
  auto at = std::find(names.begin(), names.end(), settings::SanitizedValue(name));
  return at == names.end() ? kUnnamed : static_cast<int>(at - names.begin());
}

bool ReadEntry(const Value& v, const settings::ConnectionSettings& terms,
               exchange::ListedEndpoint& out) {
  std::string_view state = v.word("state");
  auto at = loop::ReadAddress(v.word("addr"));
  out.id = v.word("id");
  // The id goes on the caches' lines as a field's value.
  auto spoils = [](unsigned char c) {
    return c <= ' ' || c == ',' || c == 0x7f;
  };
  if (!at || out.id.empty() || std::any_of(out.id.begin(), out.id.end(), spoils))
    return false;
  out.address = *at;
  out.entry.zone = PlaceOf(v.word("zone"), terms.zones);
  out.entry.kind = PlaceOf(v.word("kind"), terms.kinds);
  out.entry.cell = static_cast<int>(std::clamp(v.number("cell").value_or(0), 0.0, 65535.0));
  out.entry.weight = v.number("weight").value_or(1);
  out.entry.started_at = v.number("started_ms").value_or(0);
  if (std::abs(out.entry.weight) > kHeaviest || std::abs(out.entry.started_at.UnixMs()) > kLatest)
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

std::optional<Notice> ReadNotice(const Value& v, const settings::ConnectionSettings& terms) {
  Notice n;
  double rev = v.number("rev").value_or(0);
  if (!(rev >= 1 && rev < 1e15) || rev != std::floor(rev))
    return std::nullopt;
  n.rev = static_cast<std::uint64_t>(rev);
  if (const Value* pool = v.Find("pool")) {
    const Value *servers = pool->Find("servers", Kind::kList),
                *full = pool->Find("full", Kind::kBoolean);
    if (!servers)
      return std::nullopt;
    n.list = true;
    n.whole = full && full->text == "true";
    for (const Value& one : servers->items) {
      n.entries.emplace_back();
      if (!ReadEntry(one, terms, n.entries.back()))
        return std::nullopt;
    }
  }
  if (const Value* flush = v.Find("flush")) {
    auto group = flush->number("collection"), at = flush->number("ms");
    n.purge = true;
    n.object = flush->word("asset");
    n.whole_group = n.object.empty();
    if (!at || std::abs(*at) > kLatest || (n.whole_group && !group))
      return std::nullopt;
    if (group && !(*group >= 0 && *group <= 65535))
      return std::nullopt;
    n.group = static_cast<int>(group.value_or(0));
    n.at = *at;
  }
  return n;
}

}  // namespace dunlinwick::discovery
