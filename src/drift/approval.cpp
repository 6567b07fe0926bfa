#include <cmath>

#include "drift/wire.hpp"

namespace dunlinwick::drift {

std::string Encode(const Approval& a) {
  proto::drift::Approval m;
  m.set_by(a.by);
  m.set_second(a.second);
  m.set_replaces(a.replaces);
  m.set_hold_by(a.hold_by);
  Put(a.form, *m.mutable_form());
  return m.SerializeAsString();
}

std::optional<Approval> DecodeApproval(std::span<const char> bytes) {
  proto::drift::Approval m;
  if (!m.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return {};
  if (!std::isfinite(m.hold_by()) || m.by().empty() || m.by().size() > kMostText ||
      m.second().size() > kMostText)
    return {};
  auto form = Read(m.form());
  if (!form)
    return {};
  return Approval{m.by(), m.second(), m.replaces(), m.hold_by(), std::move(*form)};
}

std::string Refused(const Approval& a, Version current, bool wants_second) {
  if (a.by.empty())
    return "by: nobody approves it";
  if (wants_second && a.second.empty())
    return "second: a second approver is wanted";
  if (wants_second && a.second == a.by)
    return "second: " + a.by + " can't be both approvers";
  if (a.replaces != current)
    return "replaces: made over version " + std::to_string(a.replaces) + ", the record stands at " +
           std::to_string(current);
  if (!std::isfinite(a.hold_by) || a.hold_by < 0)
    return "holdBy: no time";
  if (a.form.empty())
    return "form: empty";
  if (!Within(a.form))
    return "form: more than 32 sections, 256 fields a section or 4096 bytes a value";
  return "";
}

}  // namespace dunlinwick::drift
