#include "recovery/floors.hpp"

#include <algorithm>

namespace dunlinwick::recovery {

namespace {

// What a majority of the fleet knows at least: of the sound claims in falling order the one that
// makes up the majority. Nothing where too few disks are sound: then no disk can be judged by the
// others.
std::optional<std::uint64_t> MajorityKnows(const std::vector<Claim>& all, std::size_t fronts,
                                           std::uint64_t Floors::*field) {
  std::vector<std::uint64_t> said;
  for (const Claim& c : all)
    if (Sound(c.store))
      said.push_back(c.floors.*field);
  std::size_t most = fronts / 2 + 1;
  if (said.size() < most)
    return {};
  std::nth_element(said.begin(), said.begin() + static_cast<long>(most - 1), said.end(),
                   std::greater<>());
  return said[most - 1];
}

std::uint64_t Highest(const std::vector<Claim>& all, std::size_t fronts,
                      std::uint64_t Floors::*field, std::uint64_t ahead) {
  auto known = MajorityKnows(all, fronts, field);
  std::uint64_t best = 0;
  for (const Claim& c : all)
    if (Sound(c.store) &&
        (!known || c.floors.*field <= *known || c.floors.*field - *known <= ahead))
      best = std::max(best, c.floors.*field);
  return best;
}

std::vector<Claim> With(const std::vector<Claim>& others, const Claim& own) {
  std::vector<Claim> all = others;
  all.push_back(own);
  return all;
}

}  // namespace

// Of those who have seen this front, the higher half's lowest word: one bad disk alone can't raise
// it, nor can one old disk lower it.
std::uint64_t ByWitnesses(const std::vector<Claim>& others) {
  std::vector<std::uint64_t> said;
  for (const Claim& c : others)
    if (Sound(c.store) && c.of_us > 0)
      said.push_back(c.of_us);
  if (said.empty())
    return 0;
  std::sort(said.begin(), said.end());
  return said[(said.size() - 1) / 2];
}

Floors Together(const std::vector<Claim>& others, const Claim& own, std::size_t fronts,
                const Terms& terms) {
  std::vector<Claim> all = With(others, own);
  Floors f;
  f.token = Highest(all, fronts, &Floors::token, terms.ahead_tokens);
  f.offset = Highest(all, fronts, &Floors::offset, terms.ahead_offsets);
  f.incarnation = std::max(Sound(own.store) ? own.floors.incarnation : 0, ByWitnesses(others));
  f.rules_version = Highest(all, fronts, &Floors::rules_version, terms.ahead_tokens);
  // The digest that most say of that version; of two said equally often the lower, so that all
  // fronts choose alike.
  std::map<std::uint64_t, int> said;
  for (const Claim& c : all)
    if (Sound(c.store) && c.floors.rules_version == f.rules_version)
      ++said[c.floors.rules_digest];
  int most = 0;
  for (auto& [digest, times] : said)
    if (times > most) {
      most = times;
      f.rules_digest = digest;
    }
  return f;
}

std::string FoundOut(const std::vector<Claim>& others, const Claim& own, std::size_t fronts,
                     const Terms& terms) {
  if (!Sound(own.store))
    return {};
  std::uint64_t seen = ByWitnesses(others);
  if (own.floors.incarnation < seen)
    return "behind what others witness of it: incarnation " +
           std::to_string(own.floors.incarnation) + ", seen " + std::to_string(seen);
  std::vector<Claim> all = With(others, own);
  auto above = [&](std::uint64_t Floors::*field, std::uint64_t ahead) {
    auto known = MajorityKnows(all, fronts, field);
    return known && own.floors.*field > *known && own.floors.*field - *known > ahead;
  };
  if (above(&Floors::token, terms.ahead_tokens))
    return "token above what any majority knows";
  if (above(&Floors::offset, terms.ahead_offsets))
    return "offset above what any majority knows";
  if (above(&Floors::rules_version, terms.ahead_tokens))
    return "rules' version above what any majority knows";
  std::map<std::uint64_t, std::size_t> said;
  for (const Claim& c : all)
    if (Sound(c.store) && c.floors.rules_version == own.floors.rules_version)
      ++said[c.floors.rules_digest];
  for (auto& [digest, times] : said)
    if (times >= fronts / 2 + 1 && digest != own.floors.rules_digest)
      return "rules' digest is not a majority's at the same version";
  return {};
}

}  // namespace dunlinwick::recovery
