// Encodes and decodes ActiveReport and Repair (proto/drift.proto), with the bounds of drift.hpp. A
// message out of bounds is refused.
#include <algorithm>
#include <cmath>

#include "drift/wire.hpp"

namespace dunlinwick::drift {

namespace {

constexpr std::size_t kMaxValueLength = 64, kMaxDifferences = 4, kMaxRequestedSections = 8,
                      kMaxEjections = 32;

bool IsShare(double value) {
  return std::isfinite(value) && value >= 0 && value <= 1;
}

bool IsEmpty(const ActiveReport::Ballot& ballot) {
  return ballot.token == 0 && ballot.votes.empty() && ballot.withdrawals.empty();
}
void Put(const ActiveReport::Ballot& from, proto::drift::Ballot& to) {
  to.set_token(from.token);
  to.set_voters(from.votes);
  to.set_withdrawn(from.withdrawals);
}
bool IsWithinBounds(const proto::drift::Ballot& ballot) {
  return ballot.voters().size() <= kMaxFronts / 8 && ballot.withdrawn().size() <= kMaxFronts / 8;
}
ActiveReport::Ballot Read(const proto::drift::Ballot& ballot) {
  return {ballot.token(), ballot.voters(), ballot.withdrawn()};
}

}  // namespace

std::string Encode(const ActiveReport& report) {
  proto::drift::Message envelope;
  auto& message = *envelope.mutable_told();
  message.set_version(report.version);
  message.set_active(report.active_digest);
  message.set_approved(report.approved_digest);
  message.set_ask(report.request_details);
  message.set_abandoned(report.failed_share);
  message.set_declined(report.rejected_share);
  message.set_seq(report.sequence);
  message.set_changed(report.changed_sequence);
  message.set_token(report.token);
  message.set_stopped_at(report.stopped_at);
  for (const auto& [name, digest] : report.sections) {
    auto* section = message.add_sections();
    section->set_name(name);
    section->set_digest(digest);
  }
  for (const std::string& name : report.requested_sections)
    message.add_wants(name);
  Put(report.section_contents, *message.mutable_opened());
  for (const auto& relayed : report.relayed_reports) {
    auto* entry = message.add_others();
    entry->set_who(relayed.front);
    entry->set_seq(relayed.sequence);
    entry->set_version(relayed.version);
    entry->set_active(relayed.active_digest);
    entry->set_approved(relayed.approved_digest);
    entry->set_changed(relayed.changed_sequence);
  }
  for (const auto& suspicion : report.suspicions) {
    auto* entry = message.add_cases();
    entry->set_who(suspicion.front);
    entry->set_standing(suspicion.status);
    entry->set_changed(suspicion.changed_sequence);
    entry->set_wanted(suspicion.target_version);
    entry->set_span(suspicion.window);
    if (!IsEmpty(suspicion.newest))
      Put(suspicion.newest, *entry->mutable_newest());
    if (!IsEmpty(suspicion.before))
      Put(suspicion.before, *entry->mutable_before());
    for (std::size_t i = 0; i < std::min(suspicion.fields.size(), kMaxDifferences); ++i) {
      auto* field = entry->add_fields();
      field->set_section(suspicion.fields[i].field.section.substr(0, kMaxValueLength));
      field->set_name(suspicion.fields[i].field.name.substr(0, kMaxValueLength));
      field->set_active(suspicion.fields[i].active.substr(0, kMaxValueLength));
      field->set_approved(suspicion.fields[i].approved.substr(0, kMaxValueLength));
      field->set_breaks(static_cast<std::uint32_t>(suspicion.fields[i].impact));
    }
  }
  for (const auto& ejection : report.ejections) {
    auto* entry = message.add_asides();
    entry->set_who(ejection.front);
    entry->set_token(ejection.token);
    entry->set_count(ejection.count);
    entry->set_on(ejection.on);
  }
  return envelope.SerializeAsString();
}

std::optional<ActiveReport> DecodeActiveReport(std::span<const char> bytes) {
  proto::drift::Message envelope;
  if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      !envelope.has_told())
    return {};
  const auto& message = envelope.told();
  auto exceeds = [](int count, std::size_t limit) {
    return static_cast<std::size_t>(count) > limit;
  };
  if (exceeds(message.sections_size(), kMaxSections) ||
      exceeds(message.wants_size(), kMaxRequestedSections) ||
      exceeds(message.others_size(), kMaxRelayedReports) ||
      exceeds(message.cases_size(), kMaxSuspicions) ||
      exceeds(message.asides_size(), kMaxEjections))
    return {};
  if (!IsShare(message.abandoned()) || !IsShare(message.declined()) ||
      message.changed() > message.seq())
    return {};
  ActiveReport report;
  report.version = message.version();
  report.active_digest = message.active();
  report.approved_digest = message.approved();
  report.request_details = message.ask();
  report.failed_share = message.abandoned();
  report.rejected_share = message.declined();
  report.sequence = message.seq();
  report.changed_sequence = message.changed();
  report.token = message.token();
  report.stopped_at = message.stopped_at();
  for (const auto& section : message.sections()) {
    if (section.name().size() > kMaxTextLength)
      return {};
    report.sections[section.name()] = section.digest();
  }
  for (const auto& name : message.wants()) {
    if (name.size() > kMaxTextLength)
      return {};
    report.requested_sections.push_back(name);
  }
  auto section_contents = Read(message.opened());
  if (!section_contents)
    return {};
  report.section_contents = std::move(*section_contents);
  for (const auto& relayed : message.others()) {
    if (relayed.changed() > relayed.seq())
      return {};
    report.relayed_reports.push_back({relayed.who(), relayed.seq(), relayed.version(),
                                      relayed.active(), relayed.approved(), relayed.changed()});
  }
  for (const auto& suspicion : message.cases()) {
    if (suspicion.standing() > static_cast<std::uint32_t>(DriftStatus::kForked) ||
        !IsDeviating(static_cast<DriftStatus>(suspicion.standing())))
      return {};
    if (!IsWithinBounds(suspicion.newest()) || !IsWithinBounds(suspicion.before()) ||
        exceeds(suspicion.fields_size(), kMaxDifferences))
      return {};
    ActiveReport::Suspicion decoded{
        suspicion.who(),          static_cast<std::uint8_t>(suspicion.standing()),
        suspicion.changed(),      suspicion.wanted(),
        suspicion.span(),         Read(suspicion.newest()),
        Read(suspicion.before()), {}};
    for (const auto& field : suspicion.fields()) {
      if (field.breaks() > 2 || field.section().size() > kMaxValueLength ||
          field.name().size() > kMaxValueLength || field.active().size() > kMaxValueLength ||
          field.approved().size() > kMaxValueLength)
        return {};
      decoded.fields.push_back({{field.section(), field.name()},
                                field.active(),
                                field.approved(),
                                static_cast<FieldImpact>(field.breaks())});
    }
    report.suspicions.push_back(std::move(decoded));
  }
  for (const auto& ejection : message.asides())
    report.ejections.push_back({ejection.who(), ejection.token(), ejection.count(), ejection.on()});
  return report;
}

std::string Encode(const Repair& r) {
  proto::drift::Message envelope;
  auto& message = *envelope.mutable_repair();
  message.set_front(r.front);
  message.set_token(r.token);
  message.set_version(r.version);
  message.set_changed(r.changed_sequence);
  return envelope.SerializeAsString();
}

std::optional<Repair> DecodeRepair(std::span<const char> bytes) {
  proto::drift::Message envelope;
  if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      !envelope.has_repair())
    return {};
  return Repair{envelope.repair().front(), envelope.repair().token(), envelope.repair().version(),
                envelope.repair().changed()};
}

}  // namespace dunlinwick::drift
