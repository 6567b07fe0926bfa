#include "front/layer.hpp"

#include <algorithm>
#include <set>

#include "front/active.hpp"
#include "front/record.hpp"
#include "front/recovery.hpp"
#include "front/rules.hpp"
#include "front/turning.hpp"
#include "generations/generations.hpp"
#include "log/log.hpp"
#include "store/lasting_floors.hpp"

namespace dunlinwick::front {

namespace {
constexpr const char* kRecordTask = "record";
}

struct FleetLayer::Impl {
  loop::Loop& loop;
  FrontConfiguration configuration;
  Dependencies dependencies;
  std::unique_ptr<store::DurableMinimums> minimums_store;  // none if no folder is configured
  store::PersistedMinimums minimums;                       // current ones, to be persisted
  std::unique_ptr<RecordComponent> record;
  std::unique_ptr<RulesComponent> rules;
  std::unique_ptr<RecoveryComponent> recovery;
  bool ejected = false;
  bool may_serve = true;
  AdmissionRamp admitted;
  // A front whose drift can break a rule takes no requests: each is rejected at once.
  void ApplyAdmission() {
    if (may_serve)
      dependencies.exchange->SetAdmissionRamp(admitted.share_by_class, admitted.retry_after);
    else
      dependencies.exchange->SetAdmissionRamp(
          std::vector<double>(configuration.settings.request_classes.size(), 0.0),
          std::max(admitted.retry_after, configuration.rules.policy.repair_timeout));
  }
  std::uint64_t overload_count =
      0;  // of the caches: full responses and time-outs, as counted at the last update
  struct RequestWindow {
    Ms begins_at = 0;
    std::uint64_t requests = 0;
    std::uint64_t abandoned = 0;
    std::uint64_t declined = 0;
    drift::RequestShares shares;
  } window;
  std::map<std::string, Recall> active_recalls;  // as many as the record holds

  Impl(loop::Loop& l, const FrontConfiguration& c, Dependencies d)
      : loop(l), configuration(c), dependencies(std::move(d)) {}

  std::uint32_t Self() const {
    return configuration.peers.self;
  }
  drift::CanonicalConfiguration ActiveConfiguration() const {
    DeploymentSettings settings =
        dependencies.generations ? dependencies.generations->settings() : configuration.settings;
    return drift::ActiveConfiguration(settings, configuration.connection_settings,
                                      configuration.fleet, configuration.owner, DUNLINWICK_VERSION);
  }

  recovery::StoreInspection CheckStore() {
    recovery::StoreInspection seen;
    using State = recovery::StoreInspection::State;
    if (configuration.recovery.store.empty()) {
      seen.state = State::kNone;
    } else {
      // A store that cannot be opened or read counts as corrupted: the front starts without it,
      // trusts nothing in it, logs so, and tries again.
      store::PersistedMinimums found;
      auto open_disk =
          [folder = configuration.recovery.store]() -> std::unique_ptr<store::MinimumsStorage> {
        return std::make_unique<store::LmdbMinimumsStorage>(folder);
      };
      auto log_line = [this](const std::string& line) {
        log::Write("%s at %.0f", line.c_str(), loop.now());
      };
      minimums_store = std::make_unique<store::DurableMinimums>(open_disk, log_line);
      switch (minimums_store->Load(loop.now(), Self(), found)) {
        case store::MinimumsStorage::ReadResult::kEmpty:
          seen.state = State::kEmpty;
          break;
        case store::MinimumsStorage::ReadResult::kCorrupted:
          seen.state = State::kCorrupted;
          break;
        case store::MinimumsStorage::ReadResult::kValid:
          seen.state = found.front_id == Self() ? State::kGood : State::kForeign;
          break;
      }
      seen.owner_id = found.front_id;
      seen.minimums = {found.token, found.offset, found.incarnation, found.rules_digest,
                       found.rules_version};
      seen.witnessed_incarnations = found.witnessed_incarnations;
      if (seen.state == State::kGood)
        minimums = found;
    }
    if (record && record->HasReplica()) {
      record::LogMetadata head = record->head();
      if (record->Corrupted() &&
          (seen.state == State::kGood || seen.state == State::kNone || seen.state == State::kEmpty))
        seen.state = State::kIncomplete;
      seen.minimums.token = std::max(seen.minimums.token, head.promised_token);
      seen.minimums.offset = std::max(seen.minimums.offset, head.committed);
    }
    minimums.front_id = Self();
    minimums.incarnation =
        std::max(minimums.incarnation + 1, static_cast<std::uint64_t>(loop.now()));
    Persist();
    return seen;
  }
  // Persists the minimums before this front sends anything, and as they rise. If the disk fails the
  // front serves on, and writes them once it can.
  void Persist() {
    if (minimums_store)
      minimums_store->Persist(loop.now(), minimums);
  }
  void RaiseMinimums() {
    if (dependencies.owner)
      minimums.token = std::max(minimums.token, dependencies.owner->group_state().token);
    if (record) {
      minimums.token = std::max(minimums.token, record->head().promised_token);
      minimums.offset = std::max(minimums.offset, record->Committed());
    }
    if (rules && rules->HasApproval()) {
      minimums.rules_digest = rules->Digest();
      minimums.rules_version = rules->version();
    }
    for (const auto& [id, incarnation] : received_incarnations) {
      auto& seen = minimums.witnessed_incarnations[id];
      seen = std::max(seen, incarnation);
    }
    Persist();
  }
  // The highest incarnation of another front that this one has witnessed. Only the persisted value
  // is reported, if this front persists any.
  std::uint64_t Witnessed(std::uint32_t front) const {
    const store::PersistedMinimums& reported =
        minimums_store ? minimums_store->persisted() : minimums;
    auto witnessed = reported.witnessed_incarnations.find(front);
    return witnessed == reported.witnessed_incarnations.end() ? 0 : witnessed->second;
  }
  std::string PersistenceStatus() const {
    if (!minimums_store)
      return "\"none\"";
    return minimums_store->IsPersisted() ? "\"kept\"" : "\"not kept\"";
  }
  std::map<std::uint32_t, std::uint64_t>
      received_incarnations;  // that other fronts reported of themselves: one per front

  void UpdateLeasePermission() {
    if (dependencies.owner)
      dependencies.owner->PermitLeases(!ejected && (!recovery || recovery->MayAcquireLeases()));
  }

  RecoveryComponent::State UpdateState() {
    RecoveryComponent::State state;
    if (dependencies.owner) {
      OwnerComponent::GroupState group = dependencies.owner->group_state();
      state.group = {group.member, group.leader_known, group.founded, group.lost, group.token};
      // A front outside the group has no log of it that could be behind: a leader that answered
      // this process is the current one, confirmed by its majority.
      if (!group.in_group && recovery)
        state.group.token = recovery->persisted_minimums().token;
    } else {
      state.group = {false, true, true, false, 0};  // no group is configured: none to wait for
    }
    if (record)
      state.record = {record->Position(), record->Committed(), record->CaughtUp(),
                      record->CurrentAt(), true};
    if (rules)
      state.rules = {rules->HasApproval(), rules->MatchesApproval(), rules->version(),
                     rules->Digest()};
    const exchange::Counters& counters = dependencies.exchange->counters;
    std::uint64_t overloads = counters.shed + counters.timed_out;
    state.overloaded = overloads > overload_count;
    overload_count = overloads;
    UpdateLeasePermission();
    RaiseMinimums();
    return state;
  }

  drift::RequestShares UpdateRequestShares() {
    constexpr Ms kWindow = 1000;
    const exchange::Counters& counters = dependencies.exchange->counters;
    // Requests that this front rejects because it may not serve, or because admission is still
    // ramping up, say nothing about the rules. If they counted, the repair that corrects the front
    // would be taken for the cause, and repairs would be stopped because of the front that they had
    // just corrected.
    if (!may_serve || !admitted.share_by_class.empty()) {
      window.begins_at = loop.now() - kWindow;
      window.requests = counters.requests;
      window.abandoned = counters.failed;
      window.declined = counters.rejected;
    }
    if (loop.now() >= window.begins_at + kWindow) {
      double arrived = static_cast<double>(counters.requests - window.requests);
      window.shares =
          arrived > 0
              ? drift::RequestShares{static_cast<double>(counters.failed - window.abandoned) /
                                         arrived,
                                     static_cast<double>(counters.rejected - window.declined) /
                                         arrived}
              : drift::RequestShares{};
      window.begins_at = loop.now();
      window.requests = counters.requests;
      window.abandoned = counters.failed;
      window.declined = counters.rejected;
    }
    return window.shares;
  }

  void HandleRecall(const Recall& recall) {
    int request_class = -1;
    if (!recall.request_class.empty()) {
      const auto& names = configuration.connection_settings.request_classes;
      auto name = std::find(names.begin(), names.end(), recall.request_class);
      if (name == names.end())
        return;  // this front has no such class
      request_class = static_cast<int>(name - names.begin());
    }
    std::string key = !recall.object.empty() ? "o" + recall.object
                      : request_class >= 0   ? "f" + std::to_string(request_class)
                                             : "g" + std::to_string(recall.group);
    if (recall.lifted)
      active_recalls.erase(key);
    else
      active_recalls[key] = recall;
    dependencies.exchange->OnRecall(recall.object, recall.group, request_class, recall.lifted,
                                    recall.age);
  }
};

FleetLayer::FleetLayer(loop::Loop& loop, const FrontConfiguration& configuration,
                       Dependencies dependencies)
    : impl_(std::make_unique<Impl>(loop, configuration, std::move(dependencies))) {
  Impl& impl = *impl_;
  std::map<peers::Id, int> zone_of;
  std::vector<peers::Id> fronts;
  for (const auto& [id, address] : configuration.peers.addresses)
    fronts.push_back(id);
  for (const FleetMember& member : configuration.fleet.members)
    zone_of[member.id] = member.zone;
  for (peers::Id id : fronts)
    zone_of.try_emplace(id, 0);
  auto lease = [&impl]() -> std::pair<std::uint64_t, bool> {
    return impl.dependencies.owner ? impl.dependencies.owner->HeldLease(kRecordTask)
                                   : std::pair<std::uint64_t, bool>{0, false};
  };
  if (configuration.rules.enabled) {
    RulesComponent::Callbacks callbacks;
    callbacks.send = [&impl](peers::Id to, std::string message) {
      return impl.dependencies.send(to, peers::Channel::kRules, std::move(message));
    };
    callbacks.active_configuration = [&impl] {
      return impl.ActiveConfiguration();
    };
    callbacks.apply = [&impl](const drift::CanonicalConfiguration& form) -> std::string {
      if (!impl.dependencies.generations)
        return "this front cannot change its settings while it serves";
      DeploymentSettings settings = impl.dependencies.generations->settings();
      std::string why = ApplyConfiguration(form, impl.ActiveConfiguration(), settings);
      if (why.empty())
        impl.dependencies.apply_settings(settings);
      return why;
    };
    callbacks.lease = lease;
    callbacks.requests = [&impl] {
      return impl.UpdateRequestShares();
    };
    callbacks.set_ejected = [&impl](bool ejected) {
      impl.ejected = ejected;
      impl.UpdateLeasePermission();
    };
    callbacks.set_may_serve = [&impl](bool may_serve) {
      impl.may_serve = may_serve;
      impl.ApplyAdmission();
    };
    RulesSettings settings = configuration.rules;
    settings.policy.fronts = fronts.size();
    impl.rules = std::make_unique<RulesComponent>(
        loop, settings, impl.Self(),
        RulesComponent::Fronts{zone_of, configuration.fleet.zones.empty()
                                            ? std::vector<std::string>{"all"}
                                            : configuration.fleet.zones},
        drift::FieldImpacts(), configuration.seed, std::move(callbacks));
  }
  if (configuration.record.enabled) {
    RecordComponent::Callbacks callbacks;
    callbacks.send = [&impl](peers::Id to, std::string message) {
      return impl.dependencies.send(to, peers::Channel::kRecord, std::move(message));
    };
    callbacks.recall = [&impl](const Recall& recall) {
      impl.HandleRecall(recall);
    };
    callbacks.reset_recalls = [&impl] {
      // The recalls in force are delivered again from the beginning; one that is not delivered
      // again was lifted meanwhile.
      auto before = std::move(impl.active_recalls);
      impl.active_recalls.clear();
      for (auto& [key, recall] : before) {
        Recall lifted = recall;
        lifted.lifted = true;
        impl.HandleRecall(lifted);
      }
      if (impl.rules)
        impl.rules->Reset();
    };
    callbacks.entry = [&impl](const record::Entry& entry) {
      if (entry.stream == record::Stream::kRules && impl.rules)
        impl.rules->HandleEntry(entry.offset, entry.key, entry.tombstone, entry.value);
    };
    callbacks.limit_copy_age = [&impl](Ms max_age) {
      impl.dependencies.exchange->SetMaxCopyAge(max_age);
    };
    callbacks.refusal_reason = [&impl](record::Stream stream, const std::string& key,
                                       bool tombstone, const std::string& value) -> std::string {
      if (stream != record::Stream::kRules)
        return "";
      if (!impl.rules)
        return "this front has no rules block";
      return tombstone ? "" : impl.rules->RefusalReason(key, value);
    };
    callbacks.lease = lease;
    callbacks.lease_holder = [&impl]() -> peers::Id {
      return impl.dependencies.owner ? impl.dependencies.owner->LeaseHolder(kRecordTask) : 0;
    };
    impl.record = std::make_unique<RecordComponent>(loop, configuration.record, impl.Self(),
                                                    configuration.seed, std::move(callbacks));
  }
  if (configuration.recovery.enabled) {
    RecoveryComponent::Callbacks callbacks;
    callbacks.send = [&impl](peers::Id to, std::string message) {
      return impl.dependencies.send(to, peers::Channel::kRecovery, std::move(message));
    };
    callbacks.state = [&impl] {
      return impl.UpdateState();
    };
    callbacks.admit = [&impl](std::vector<double> by_request_class, Ms retry_after) {
      impl.admitted = {std::move(by_request_class), retry_after};
      impl.ApplyAdmission();
    };
    callbacks.incarnation_received = [&impl](peers::Id from, std::uint64_t incarnation) {
      impl.received_incarnations[from] = std::max(impl.received_incarnations[from], incarnation);
    };
    callbacks.witnessed_incarnation = [&impl](peers::Id of) {
      return impl.Witnessed(of);
    };
    RecoverySettings settings = configuration.recovery;
    std::set<int> zones;
    for (const auto& [id, zone] : zone_of)
      zones.insert(zone);
    settings.policy.zones = static_cast<int>(std::max<std::size_t>(1, zones.size()));
    settings.policy.zone = zone_of[impl.Self()];
    settings.policy.zone_replicas =
        static_cast<int>(std::count_if(zone_of.begin(), zone_of.end(), [&](auto& front) {
          return front.second == zone_of[impl.Self()];
        }));
    settings.policy.lease_duration =
        configuration.owner.enabled ? configuration.owner.lease.duration : 0;
    settings.policy.lease_margin = configuration.owner.lease.margin;
    settings.policy.clock_drift = configuration.owner.lease.clock_drift;
    for (const RequestClass& request_class : configuration.settings.request_classes) {
      settings.policy.priority_weights.push_back(request_class.priority_weight);
      settings.policy.certain_classes.push_back(request_class.uncacheable);
    }
    recovery::StoreInspection store = impl.CheckStore();
    impl.recovery =
        std::make_unique<RecoveryComponent>(loop, settings, impl.Self(), fronts, store,
                                            impl.minimums.incarnation, std::move(callbacks));
    impl.UpdateLeasePermission();
  }
}

FleetLayer::~FleetLayer() = default;

std::vector<FleetComponent*> FleetLayer::components() {
  std::vector<FleetComponent*> present;
  for (FleetComponent* component : std::initializer_list<FleetComponent*>{
           impl_->recovery.get(), impl_->rules.get(), impl_->record.get()})
    if (component)
      present.push_back(component);
  return present;
}

std::string FleetLayer::status() const {
  auto component_status = [](const FleetComponent* component) {
    return component ? component->StatusJson() : std::string("null");
  };
  std::string json = "{\"self\":" + std::to_string(impl_->Self()) +
                     ",\"recovery\":" + component_status(impl_->recovery.get()) +
                     ",\"floors\":" + impl_->PersistenceStatus() +
                     ",\"record\":" + component_status(impl_->record.get()) +
                     ",\"rules\":" + component_status(impl_->rules.get()) +
                     ",\"recalls\":" + std::to_string(impl_->active_recalls.size()) +
                     ",\"generations\":[";
  if (impl_->dependencies.generations) {
    bool first = true;
    for (const auto& generation : impl_->dependencies.generations->LiveGenerations()) {
      json += std::string(first ? "" : ",") + "{\"number\":" + std::to_string(generation.number) +
              ",\"pulls\":" + std::to_string(generation.requests) + "}";
      first = false;
    }
  }
  return json + "]}";
}

void FleetLayer::HandleOperatorRequest(std::span<const char> bytes,
                                       std::function<void(std::string)> reply) {
  if (impl_->record)
    impl_->record->HandleOperatorRequest(bytes, std::move(reply));
}

}  // namespace dunlinwick::front
