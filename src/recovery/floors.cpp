#include "recovery/floors.hpp"

#include <algorithm>

namespace dunlinwick::recovery {

namespace {

// The value that a majority of the fleet knows at least: of the usable claims in descending order
// the one that completes the majority. Nothing if too few stores are usable: then no store can be
// judged by the others.
std::optional<std::uint64_t> MajorityMinimum(const std::vector<Claim>& all, std::size_t fronts,
                                             std::uint64_t PersistedMinimums::*field) {
  std::vector<std::uint64_t> values;
  for (const Claim& c : all)
    if (IsUsable(c.store))
      values.push_back(c.minimums.*field);
  std::size_t majority = fronts / 2 + 1;
  if (values.size() < majority)
    return {};
  std::nth_element(values.begin(), values.begin() + static_cast<long>(majority - 1), values.end(),
                   std::greater<>());
  return values[majority - 1];
}

std::uint64_t HighestPlausible(const std::vector<Claim>& all, std::size_t fronts,
                               std::uint64_t PersistedMinimums::*field, std::uint64_t max_lead) {
  auto majority_minimum = MajorityMinimum(all, fronts, field);
  std::uint64_t highest = 0;
  for (const Claim& c : all)
    if (IsUsable(c.store) && (!majority_minimum || c.minimums.*field <= *majority_minimum ||
                              c.minimums.*field - *majority_minimum <= max_lead))
      highest = std::max(highest, c.minimums.*field);
  return highest;
}

std::vector<Claim> AllClaims(const std::vector<Claim>& others, const Claim& own) {
  std::vector<Claim> all = others;
  all.push_back(own);
  return all;
}

}  // namespace

// The lower median of the incarnations that were seen of this front: one corrupted store alone
// can't raise it, nor can one stale store lower it.
std::uint64_t WitnessedIncarnation(const std::vector<Claim>& others) {
  std::vector<std::uint64_t> values;
  for (const Claim& c : others)
    if (IsUsable(c.store) && c.own_incarnation_seen > 0)
      values.push_back(c.own_incarnation_seen);
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  return values[(values.size() - 1) / 2];
}

PersistedMinimums CombineMinimums(const std::vector<Claim>& others, const Claim& own,
                                  std::size_t fronts, const Settings& settings) {
  std::vector<Claim> all = AllClaims(others, own);
  PersistedMinimums combined;
  combined.token =
      HighestPlausible(all, fronts, &PersistedMinimums::token, settings.max_token_lead);
  combined.offset =
      HighestPlausible(all, fronts, &PersistedMinimums::offset, settings.max_offset_lead);
  combined.incarnation =
      std::max(IsUsable(own.store) ? own.minimums.incarnation : 0, WitnessedIncarnation(others));
  combined.configuration_version = HighestPlausible(
      all, fronts, &PersistedMinimums::configuration_version, settings.max_token_lead);
  // The digest that most report for that version; the lower of two equally frequent ones, so that
  // all fronts choose the same.
  std::map<std::uint64_t, int> values;
  for (const Claim& c : all)
    if (IsUsable(c.store) && c.minimums.configuration_version == combined.configuration_version)
      ++values[c.minimums.configuration_digest];
  int most = 0;
  for (auto& [digest, times] : values)
    if (times > most) {
      most = times;
      combined.configuration_digest = digest;
    }
  return combined;
}

std::string RejectionReason(const std::vector<Claim>& others, const Claim& own, std::size_t fronts,
                            const Settings& settings) {
  if (!IsUsable(own.store))
    return {};
  std::uint64_t witnessed_incarnation = WitnessedIncarnation(others);
  if (own.minimums.incarnation < witnessed_incarnation)
    return "behind its witnesses: incarnation " + std::to_string(own.minimums.incarnation) +
           ", witnessed " + std::to_string(witnessed_incarnation);
  std::vector<Claim> all = AllClaims(others, own);
  auto above = [&](std::uint64_t PersistedMinimums::*field, std::uint64_t max_lead) {
    auto majority_minimum = MajorityMinimum(all, fronts, field);
    return majority_minimum && own.minimums.*field > *majority_minimum &&
           own.minimums.*field - *majority_minimum > max_lead;
  };
  if (above(&PersistedMinimums::token, settings.max_token_lead))
    return "token above what any majority knows";
  if (above(&PersistedMinimums::offset, settings.max_offset_lead))
    return "offset above what any majority knows";
  if (above(&PersistedMinimums::configuration_version, settings.max_token_lead))
    return "configuration version above what any majority knows";
  std::map<std::uint64_t, std::size_t> values;
  for (const Claim& c : all)
    if (IsUsable(c.store) && c.minimums.configuration_version == own.minimums.configuration_version)
      ++values[c.minimums.configuration_digest];
  for (auto& [digest, times] : values)
    if (times >= fronts / 2 + 1 && digest != own.minimums.configuration_digest)
      return "configuration digest differs from a majority's at the same version";
  return {};
}

}  // namespace dunlinwick::recovery
