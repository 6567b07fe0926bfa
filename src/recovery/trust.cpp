// What is trusted from before, and why; and the bytes of a hello.
#include <cmath>

#include "recovery.pb.h"
#include "recovery/recovery.hpp"

namespace dunlinwick::recovery {

namespace {
// Each line has a test of its own in tests/recovery_test.cpp; it counts these.
constexpr Trust kLines[] = {
    {"token", "floor", "one used twice lets two owners past a fence; a higher one harms nobody"},
    {"offset", "floor", "a record that starts again below it would pass old recalls for new ones"},
    {"incarnation", "floor",
     "a lower one is refuted by what others remember, and this front is taken for dead"},
    {"rules", "if its digest fits",
     "half-written rules steer wrongly; those of a majority at the same version decide"},
    {"record", "its prefix, if whole",
     "what was committed stays committed; what follows a hole is fetched anew"},
    {"another's disk", "not at all",
     "its floors and prefix are of another life; one's own word would be below what it said "
     "before"},
    {"a disk above any majority", "not at all",
     "what no majority knows was never committed: bits flipped"},
    {"a disk behind its witnesses", "not at all",
     "others remember a later life of this front: an old copy was put back"},
    {"lease", "not at all: waited out", "its holder may still act, and clocks may have been set"},
    {"share of a quota", "its floor", "what others were given meanwhile is not known"},
    {"health", "not at all",
     "a machine that was ill may be well, and one that was well may be gone"},
    {"warmth", "not at all", "caches that lost power are empty"},
    {"list", "not at all", "drains and new machines are told anew by the board"},
    {"exclusive pull under way", "in doubt: never again", "it may have run"},
    {"ticketed pull under way", "by its ticket's rule alone",
     "the front that answered it is gone: nothing is resumed"},
};
}  // namespace

std::span<const Trust> Trusted() {
  return kLines;
}

std::string Encode(const Hello& h) {
  proto::recovery::Hello m;
  m.set_life(h.life);
  m.set_up(h.up);
  m.set_phase(static_cast<std::uint32_t>(h.phase));
  m.set_store(static_cast<std::uint32_t>(h.store));
  m.set_committed(h.committed);
  m.set_group_leads(h.group_leads);
  m.set_group_member(h.group_member);
  m.set_zone(h.zone);
  m.set_carries(h.carries);
  m.set_of_you(h.of_you);
  auto* f = m.mutable_floors();
  f->set_token(h.floors.token);
  f->set_offset(h.floors.offset);
  f->set_incarnation(h.floors.incarnation);
  f->set_rules_digest(h.floors.rules_digest);
  f->set_rules_version(h.floors.rules_version);
  return m.SerializeAsString();
}

std::optional<Hello> Decode(std::span<const char> bytes) {
  proto::recovery::Hello m;
  if (bytes.size() > kMostHelloBytes ||
      !m.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return {};
  if (m.phase() >= kPhases || m.store() > static_cast<std::uint32_t>(StoreSeen::State::kCorrupted))
    return {};
  if (!std::isfinite(m.up()) || m.up() < 0 || !(m.carries() >= 0 && m.carries() <= 1) ||
      m.zone() < 0)
    return {};
  Hello h;
  h.life = m.life();
  h.up = m.up();
  h.phase = static_cast<Phase>(m.phase());
  h.store = static_cast<StoreSeen::State>(m.store());
  h.committed = m.committed();
  h.group_leads = m.group_leads();
  h.group_member = m.group_member();
  h.zone = m.zone();
  h.carries = m.carries();
  h.of_you = m.of_you();
  const auto& f = m.floors();
  h.floors = {f.token(), f.offset(), f.incarnation(), f.rules_digest(), f.rules_version()};
  return h;
}

}  // namespace dunlinwick::recovery
