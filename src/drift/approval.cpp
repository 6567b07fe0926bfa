// Encodes, decodes and validates approvals.
#include <cmath>

#include "drift/wire.hpp"

namespace dunlinwick::drift {

std::string Encode(const Approval& a) {
  proto::drift::Approval message;
  message.set_by(a.approver);
  message.set_second(a.second_approver);
  message.set_replaces(a.replaced_version);
  message.set_hold_by(a.apply_deadline);
  Put(a.configuration, *message.mutable_form());
  return message.SerializeAsString();
}

std::optional<Approval> DecodeApproval(std::span<const char> bytes) {
  proto::drift::Approval message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return {};
  if (!std::isfinite(message.hold_by()) || message.by().empty() ||
      message.by().size() > kMaxTextLength || message.second().size() > kMaxTextLength)
    return {};
  auto configuration = Read(message.form());
  if (!configuration)
    return {};
  return Approval{message.by(), message.second(), message.replaces(), message.hold_by(),
                  std::move(*configuration)};
}

std::string ValidateApproval(const Approval& a, Version current, bool requires_second_approver) {
  if (a.approver.empty())
    return "by: no approver is given";
  if (requires_second_approver && a.second_approver.empty())
    return "second: a second approver is required";
  if (requires_second_approver && a.second_approver == a.approver)
    return "second: " + a.approver + " cannot be both approvers";
  if (a.replaced_version != current)
    return "replaces: prepared against version " + std::to_string(a.replaced_version) +
           ", the record stands at " + std::to_string(current);
  if (!std::isfinite(a.apply_deadline) || a.apply_deadline < 0)
    return "holdBy: not a valid time";
  if (a.configuration.empty())
    return "form: contains no section";
  if (!IsWithinLimits(a.configuration))
    return "form: more than 32 sections, 256 fields per section or 4096 bytes per value";
  return "";
}

}  // namespace dunlinwick::drift
