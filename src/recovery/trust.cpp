// The recovery trust policy with its reasons, and the encoding of hello messages.
#include <cmath>

#include "recovery.pb.h"
#include "recovery/recovery.hpp"

namespace dunlinwick::recovery {

namespace {
// Each entry has a test of its own in tests/recovery_test.cpp, which checks their number.
constexpr TrustRule kTrustRules[] = {
    {"token", "minimum",
     "a token used twice lets two lease holders pass a fencing token check; a higher one is "
     "harmless"},
    {"offset", "minimum", "a record that restarts below it would present old recalls as new ones"},
    {"incarnation", "minimum",
     "the other fronts refute a lower one from memory and declare this front dead"},
    {"configuration", "if its digest matches",
     "a partly written configuration misdirects requests; the one that a majority has at the same "
     "version decides"},
    {"record", "its prefix, if complete",
     "what was committed stays committed; what follows a gap is fetched again"},
    {"another front's store", "not at all",
     "its minimums and prefix belong to another front; this front's next incarnation would be "
     "below its last"},
    {"a store above any majority", "not at all",
     "what no majority knows was never committed: the data is corrupted"},
    {"a store behind its witnesses", "not at all",
     "other fronts remember a later incarnation of this front: an old copy was restored"},
    {"lease", "not at all: waited out", "its holder may still act, and clocks may have been set"},
    {"share of a quota", "its minimum", "what others were granted meanwhile is not known"},
    {"health", "not at all",
     "an endpoint that was unhealthy may be healthy, and one that was healthy may be gone"},
    {"slow start", "not at all", "caches that lost power are empty"},
    {"list", "not at all", "the discovery service reports drains and new endpoints again"},
    {"exclusive request in flight", "in doubt: never again", "it may have been executed"},
    {"request with an idempotency key in flight", "by the deduplication rule of its key alone",
     "the front that responded to it is gone: nothing is resumed"},
};
}  // namespace

std::span<const TrustRule> TrustRules() {
  return kTrustRules;
}

std::string Encode(const Hello& h) {
  proto::recovery::Hello m;
  m.set_life(h.start_id);
  m.set_up(h.uptime);
  m.set_phase(static_cast<std::uint32_t>(h.phase));
  m.set_store(static_cast<std::uint32_t>(h.store));
  m.set_committed(h.committed);
  m.set_group_leads(h.group_has_leader);
  m.set_group_member(h.group_member);
  m.set_zone(h.zone);
  m.set_carries(h.admitted_share);
  m.set_of_you(h.receiver_incarnation);
  auto* f = m.mutable_floors();
  f->set_token(h.minimums.token);
  f->set_offset(h.minimums.offset);
  f->set_incarnation(h.minimums.incarnation);
  f->set_rules_digest(h.minimums.configuration_digest);
  f->set_rules_version(h.minimums.configuration_version);
  return m.SerializeAsString();
}

std::optional<Hello> Decode(std::span<const char> bytes) {
  proto::recovery::Hello m;
  if (bytes.size() > kMaxHelloBytes ||
      !m.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return {};
  if (m.phase() >= kPhaseCount ||
      m.store() > static_cast<std::uint32_t>(StoreInspection::State::kCorrupted))
    return {};
  if (!std::isfinite(m.up()) || m.up() < 0 || !(m.carries() >= 0 && m.carries() <= 1) ||
      m.zone() < 0)
    return {};
  Hello h;
  h.start_id = m.life();
  h.uptime = m.up();
  h.phase = static_cast<Phase>(m.phase());
  h.store = static_cast<StoreInspection::State>(m.store());
  h.committed = m.committed();
  h.group_has_leader = m.group_leads();
  h.group_member = m.group_member();
  h.zone = m.zone();
  h.admitted_share = m.carries();
  h.receiver_incarnation = m.of_you();
  const auto& f = m.floors();
  h.minimums = {f.token(), f.offset(), f.incarnation(), f.rules_digest(), f.rules_version()};
  return h;
}

}  // namespace dunlinwick::recovery
