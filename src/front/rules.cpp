#include "front/rules.hpp"

#include <algorithm>

#include "log/log.hpp"

namespace dunlinwick::front {

using drift::CanonicalConfiguration;

struct RulesComponent::Impl {
  loop::Loop& loop;
  RulesSettings settings;
  peers::Id self;
  Fronts fronts;
  Callbacks callbacks;
  drift::Drift drift;
  struct Approved {
    drift::Version version = 0;
    drift::Approval approval;
    std::shared_ptr<const CanonicalConfiguration> form;
    std::uint64_t digest = 0;
  };
  std::map<std::string, Approved> approved;  // by key: as many as the record's stream holds
  drift::Version own_version = 0;            // of the approval for this front
  Ms next_timer_at = 0;

  Impl(loop::Loop& l, const RulesSettings& s, peers::Id id, Fronts f, drift::FieldImpactMap impacts,
       std::uint64_t seed, Callbacks c)
      : loop(l),
        settings(s),
        self(id),
        fronts(std::move(f)),
        callbacks(std::move(c)),
        drift(id, fronts.zone_of, std::move(impacts), s.policy, seed, l.now(),
              {static_cast<std::uint32_t>(l.now() / 1000), 0}) {}

  const Approved* ForFront(peers::Id id) const {
    auto zone = fronts.zone_of.find(id);
    std::string zone_key = zone == fronts.zone_of.end()
                               ? ""
                               : "zone/" + fronts.zones[static_cast<std::size_t>(zone->second)];
    for (const std::string& key : {"front/" + std::to_string(id), zone_key, std::string("fleet")})
      if (auto approval = approved.find(key); approval != approved.end())
        return &approval->second;
    return nullptr;
  }

  // The active values of the fields that the approval names: a field without an approved value
  // cannot drift.
  CanonicalConfiguration ActiveOfApproved() const {
    CanonicalConfiguration form = callbacks.active_configuration();
    const Approved* approval = ForFront(self);
    if (!approval)
      return form;
    for (auto& [name, section] : form)
      if (auto approved_section = approval->form->find(name);
          approved_section != approval->form->end())
        std::erase_if(section, [&](const auto& field) {
          return !approved_section->second.count(field.first);
        });
    return form;
  }

  void UpdateApprovals() {
    const Approved* approval = ForFront(self);
    own_version = approval ? approval->version : 0;
    Execute(drift.Handle(
        loop.now(), drift::ApprovalUpdated{
                        own_version, approval ? std::optional(approval->approval) : std::nullopt}));
    for (const auto& [id, zone] : fronts.zone_of)
      if (const Approved* of_front = ForFront(id))
        Execute(drift.Handle(
            loop.now(), drift::FrontApprovalUpdated{id, of_front->version, of_front->digest,
                                                    of_front->approval.apply_deadline, loop.now(),
                                                    of_front->form}));
    Execute(drift.Handle(loop.now(), drift::ActiveConfigurationChanged{ActiveOfApproved()}));
  }

  void Execute(const std::vector<drift::Action>& actions) {
    for (const drift::Action& a : actions) {
      Ms now = loop.now();
      if (auto* report = std::get_if<drift::SendActiveReport>(&a)) {
        callbacks.send(report->to, drift::Encode(report->report));
      } else if (auto* repair = std::get_if<drift::Repair>(&a)) {
        log::Write("rules repair %u version %llu token %llu at %.0f", repair->front,
                   static_cast<unsigned long long>(repair->version),
                   static_cast<unsigned long long>(repair->token), now);
        if (repair->front == self)
          Execute(drift.HandleRepair(now, self, *repair));
        else
          callbacks.send(repair->front, drift::Encode(*repair));
      } else if (auto* apply = std::get_if<drift::ApplyApproval>(&a)) {
        std::string why = callbacks.apply(apply->configuration);
        if (why.empty())
          log::Write("rules taken up %llu at %.0f", static_cast<unsigned long long>(apply->version),
                     now);
        else
          log::Write("rules not taken up %llu: %s at %.0f",
                     static_cast<unsigned long long>(apply->version), why.c_str(), now);
        Execute(drift.Handle(now, drift::ActiveConfigurationChanged{ActiveOfApproved()}));
      } else if (auto* found = std::get_if<drift::StatusChanged>(&a)) {
        std::string fields;
        for (const drift::Difference& d : found->fields)
          fields +=
              " " + d.field.section + "." + d.field.name + " " + d.active + " for " + d.approved;
        log::Write("rules found %u %s%s since %.0f at %.0f", found->front,
                   drift::ToString(found->status), fields.c_str(), found->since, now);
      } else if (auto* may = std::get_if<drift::ServingPermission>(&a)) {
        log::Write("rules: this front %s at %.0f",
                   may->serving_allowed ? "may serve" : "may not serve: its drift can break a rule",
                   now);
        callbacks.set_may_serve(may->serving_allowed);
      } else if (auto* ejected = std::get_if<drift::SetEjected>(&a)) {
        log::Write("rules %s %u: %s at %.0f", ejected->on ? "ejected" : "readmitted",
                   ejected->front, ejected->reason.c_str(), now);
        if (ejected->front == self)
          callbacks.set_ejected(ejected->on);
      } else if (auto* stopped = std::get_if<drift::RepairsStopped>(&a)) {
        log::Write("rules stopped: %s at %.0f", stopped->reason.c_str(), now);
      }
    }
  }
};

RulesComponent::RulesComponent(loop::Loop& loop, const RulesSettings& settings, peers::Id self,
                               Fronts fronts, drift::FieldImpactMap impacts, std::uint64_t seed,
                               Callbacks callbacks)
    : impl_(std::make_unique<Impl>(loop, settings, self, std::move(fronts), std::move(impacts),
                                   seed, std::move(callbacks))) {}
RulesComponent::~RulesComponent() = default;

void RulesComponent::HandleMessage(peers::Id from, std::span<const char> message) {
  Ms now = impl_->loop.now();
  if (auto report = drift::DecodeActiveReport(message))
    impl_->Execute(impl_->drift.Handle(now, drift::ReportReceived{from, *report}));
  else if (auto repair = drift::DecodeRepair(message))
    impl_->Execute(impl_->drift.HandleRepair(now, from, *repair));
}

void RulesComponent::HandleEntry(std::uint64_t offset, const std::string& key, bool tombstone,
                                 const std::string& value) {
  Impl& impl = *impl_;
  if (tombstone) {
    impl.approved.erase(key);
  } else if (auto approval = drift::DecodeApproval(value)) {
    auto form = std::make_shared<const CanonicalConfiguration>(approval->configuration);
    std::uint64_t digest = drift::Digest(*form);
    log::Write("rules approved %llu for %s by %s digest %016llx at %.0f",
               static_cast<unsigned long long>(offset), key.c_str(), approval->approver.c_str(),
               static_cast<unsigned long long>(digest), impl.loop.now());
    impl.approved[key] = {offset, std::move(*approval), std::move(form), digest};
  }
  impl.UpdateApprovals();
}

void RulesComponent::Reset() {
  impl_->approved.clear();
  impl_->UpdateApprovals();
}

std::string RulesComponent::RefusalReason(const std::string& key, const std::string& value) const {
  bool known = key == "fleet";
  for (const std::string& z : impl_->fronts.zones)
    known |= key == "zone/" + z;
  for (const auto& [id, zone] : impl_->fronts.zone_of)
    known |= key == "front/" + std::to_string(id);
  if (!known)
    return "the key must be fleet, zone/NAME or front/ID, with a zone or front of this fleet";
  auto approval = drift::DecodeApproval(value);
  if (!approval)
    return "the value is not an approval";
  auto current = impl_->approved.find(key);
  return drift::ValidateApproval(*approval,
                                 current == impl_->approved.end() ? 0 : current->second.version,
                                 impl_->settings.requires_second_approver);
}

void RulesComponent::HandleTimer() {
  Impl& impl = *impl_;
  Ms now = impl.loop.now();
  auto [token, usable] = impl.callbacks.lease();
  impl.Execute(impl.drift.Handle(now, drift::LeaseUpdated{usable ? token : 0}));
  impl.Execute(impl.drift.Handle(now, impl.callbacks.requests()));
  impl.Execute(impl.drift.Handle(now, drift::ActiveConfigurationChanged{impl.ActiveOfApproved()}));
  impl.Execute(impl.drift.Handle(now, drift::Tick{}));
  constexpr Ms kMaxInterval = 200, kMinInterval = 20;
  impl.next_timer_at =
      std::max(now + kMinInterval, std::min(impl.drift.WakeAt(), now + kMaxInterval));
}
Ms RulesComponent::NextTimerAt() const {
  return impl_->next_timer_at;
}

bool RulesComponent::HasApproval() const {
  return impl_->own_version != 0;
}
bool RulesComponent::MatchesApproval() const {
  const Impl::Approved* approval = impl_->ForFront(impl_->self);
  return !approval ||
         drift::FindDifferences(impl_->ActiveOfApproved(), *approval->form, {}).empty();
}
drift::Version RulesComponent::version() const {
  return impl_->own_version;
}
std::uint64_t RulesComponent::Digest() const {
  const Impl::Approved* approval = impl_->ForFront(impl_->self);
  return approval ? approval->digest : 0;
}

std::string RulesComponent::StatusJson() const {
  const Impl& impl = *impl_;
  std::string json = "{\"version\":" + std::to_string(impl.own_version) +
                     ",\"in_step\":" + (MatchesApproval() ? "true" : "false") +
                     ",\"may_serve\":" + (impl.drift.may_serve() ? "true" : "false") +
                     ",\"stopped\":" + (impl.drift.stopped() ? "true" : "false") + ",\"fronts\":[";
  bool first = true;
  for (const auto& [id, row] : impl.drift.FrontStates()) {
    json += std::string(first ? "" : ",") + "{\"id\":" + std::to_string(id) + ",\"standing\":\"" +
            drift::ToString(row.status) + "\",\"since_ms\":" +
            (row.since > 0 ? std::to_string(static_cast<long long>(impl.loop.now() - row.since))
                           : "null") +
            ",\"version\":" + std::to_string(row.version) +
            ",\"aside\":" + (row.ejected ? "true" : "false") +
            ",\"fields\":" + std::to_string(row.fields.size()) + "}";
    first = false;
  }
  json += "],\"approved\":{";
  first = true;
  for (const auto& [key, approval] : impl.approved) {
    json += std::string(first ? "" : ",") + "\"" + key + "\":" + std::to_string(approval.version);
    first = false;
  }
  return json + "}}";
}

}  // namespace dunlinwick::front
