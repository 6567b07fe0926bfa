// Converts configurations to and from their Protobuf messages, with the bounds of drift.hpp.
// Internal to this package. A Suspicion is the message Case of proto/drift.proto.
#pragma once
#include "drift.pb.h"
#include "drift/drift.hpp"

namespace dunlinwick::drift {

constexpr std::size_t kMaxSections = 32, kMaxFields = 256, kMaxTextLength = 4096;

inline bool IsWithinLimits(const CanonicalConfiguration& configuration) {
  if (configuration.size() > kMaxSections)
    return false;
  for (const auto& [name, section] : configuration) {
    if (name.size() > kMaxTextLength || section.size() > kMaxFields)
      return false;
    for (const auto& [field, value] : section)
      if (field.size() > kMaxTextLength || value.size() > kMaxTextLength)
        return false;
  }
  return true;
}

template <class RepeatedSections>
void Put(const CanonicalConfiguration& configuration, RepeatedSections& rows) {
  for (const auto& [name, section] : configuration) {
    auto* section_message = rows.Add();
    section_message->set_name(name);
    for (const auto& [field, value] : section) {
      auto* field_message = section_message->add_fields();
      field_message->set_name(field);
      field_message->set_value(value);
    }
  }
}

template <class RepeatedSections>
std::optional<CanonicalConfiguration> Read(const RepeatedSections& rows) {
  CanonicalConfiguration configuration;
  if (static_cast<std::size_t>(rows.size()) > kMaxSections)
    return {};
  for (const auto& section_message : rows) {
    if (static_cast<std::size_t>(section_message.fields_size()) > kMaxFields)
      return {};
    Section section;
    for (const auto& field : section_message.fields())
      section[field.name()] = field.value();
    if (!configuration.emplace(section_message.name(), std::move(section)).second)
      return {};  // a duplicate section: not written by this program
  }
  if (!IsWithinLimits(configuration))
    return {};
  return configuration;
}

}  // namespace dunlinwick::drift
