// Forms and differences to and from their messages, within the bounds of drift.hpp; for this
// package's own use.
#pragma once
#include "drift.pb.h"
#include "drift/drift.hpp"

namespace dunlinwick::drift {

constexpr std::size_t kMostSections = 32, kMostFields = 256, kMostText = 4096;

inline bool Within(const Form& form) {
  if (form.size() > kMostSections)
    return false;
  for (const auto& [name, section] : form) {
    if (name.size() > kMostText || section.size() > kMostFields)
      return false;
    for (const auto& [field, value] : section)
      if (field.size() > kMostText || value.size() > kMostText)
        return false;
  }
  return true;
}

template <class Rows>
void Put(const Form& form, Rows& rows) {
  for (const auto& [name, section] : form) {
    auto* s = rows.Add();
    s->set_name(name);
    for (const auto& [field, value] : section) {
      auto* f = s->add_fields();
      f->set_name(field);
      f->set_value(value);
    }
  }
}

template <class Rows>
std::optional<Form> Read(const Rows& rows) {
  Form form;
  if (static_cast<std::size_t>(rows.size()) > kMostSections)
    return {};
  for (const auto& s : rows) {
    if (static_cast<std::size_t>(s.fields_size()) > kMostFields)
      return {};
    Section section;
    for (const auto& f : s.fields())
      section[f.name()] = f.value();
    if (!form.emplace(s.name(), std::move(section)).second)
      return {};  // twice the same: not ours
  }
  if (!Within(form))
    return {};
  return form;
}

}  // namespace dunlinwick::drift
