// Reads the configuration's blocks record, recovery and rules. A block with an invalid field is
// rejected as a whole, with the field and the reason.
#include <algorithm>
#include <stdexcept>

#include "front/charter.hpp"

namespace dunlinwick::front {

using json::Kind;
using json::Value;

namespace {

// Reads one block's fields by name, and rejects fields that were not asked for.
class BlockReader {
 public:
  BlockReader(const char* name, const Value& object) : name_(name), object_(object) {
    if (object.kind != Kind::kObject)
      throw std::runtime_error(std::string(name) + ": must be an object");
  }
  std::runtime_error MakeError(const std::string& where, const std::string& why) const {
    return std::runtime_error(std::string(name_) + "." + where + ": " + why);
  }
  const Value* Find(const char* field) {
    known_.push_back(field);
    return object_.Find(field);
  }
  template <class T>
  void ReadNumber(const char* field, T& into, double min, double max, bool integer = true) {
    const Value* v = Find(field);
    if (!v)
      return;
    double n = v->kind == Kind::kNumber ? v->AsNumber() : min - 1;
    if (!(n >= min && n <= max) ||
        (integer && n != static_cast<double>(static_cast<long long>(n)))) {
      char text[128];
      std::snprintf(text, sizeof text, "must be %s in [%g, %g]",
                    integer ? "an integer" : "a number", min, max);
      throw MakeError(field, text);
    }
    into = static_cast<T>(n);
  }
  void ReadFlag(const char* field, bool& into) {
    const Value* v = Find(field);
    if (!v)
      return;
    if (v->kind != Kind::kBoolean)
      throw MakeError(field, "must be true or false");
    into = v->text == "true";
  }
  void RejectUnknownFields() const {
    for (const auto& [field, value] : object_.members)
      if (std::find(known_.begin(), known_.end(), field) == known_.end())
        throw MakeError(field, "is not a field of this block");
  }

 private:
  const char* name_;
  const Value& object_;
  std::vector<std::string> known_;
};

}  // namespace

static RecordSettings ReadRecordSettings(const Value& object,
                                         const std::vector<std::uint32_t>& peers,
                                         bool has_record_task) {
  RecordSettings settings;
  settings.enabled = true;
  BlockReader block("record", object);
  if (!has_record_task)
    throw block.MakeError(
        "keepers",
        "requires an owner block with a standing task named record, whose lease holder writes");
  const Value* keepers = block.Find("keepers");
  if (!keepers || keepers->kind != Kind::kArray ||
      (keepers->items.size() != 3 && keepers->items.size() != 5))
    throw block.MakeError("keepers", "must list the ids of 3 or 5 peers");
  for (const Value& item : keepers->items) {
    auto id = item.kind == Kind::kNumber ? static_cast<std::uint32_t>(item.AsNumber()) : 0;
    if (std::find(peers.begin(), peers.end(), id) == peers.end())
      throw block.MakeError("keepers", "has an id that is not in peers.members");
    if (std::find(settings.keepers.begin(), settings.keepers.end(), id) != settings.keepers.end())
      throw block.MakeError("keepers", "has a duplicate id");
    settings.keepers.push_back(id);
  }
  if (const Value* store = block.Find("store")) {
    if (store->kind != Kind::kString || store->text.empty())
      throw block.MakeError("store", "must be the path of a folder");
    settings.store = store->text;
  }
  double mb = static_cast<double>(settings.log.max_bytes) / (1 << 20);
  block.ReadNumber("most_mb", mb, 1, 1024, false);
  settings.log.max_bytes = static_cast<std::size_t>(mb * (1 << 20));
  block.ReadNumber("lag_ms", settings.log.min_compaction_lag, 0, 1e10);
  block.ReadNumber("tombstone_term_ms", settings.log.tombstone_retention, 0, 1e11);
  block.ReadNumber("dead_share", settings.log.min_dead_ratio, 0.01, 0.99, false);
  block.ReadNumber("lease_ms", settings.subscriber.lease, 1000, 1e9);
  block.ReadNumber("ask_every_ms", settings.subscriber.poll_interval, 20, 10000);
  block.ReadNumber("stale_after_ms", settings.stale_after, 100, 600000);
  if (settings.stale_after < 2 * settings.subscriber.poll_interval)
    throw block.MakeError("stale_after_ms",
                          "must be at least twice ask_every_ms, so that one answer may be lost");
  block.RejectUnknownFields();
  return settings;
}

static RecoverySettings ReadRecoverySettings(const Value& object) {
  RecoverySettings settings;
  settings.enabled = true;
  BlockReader block("recovery", object);
  if (const Value* store = block.Find("store")) {
    if (store->kind != Kind::kString || store->text.empty())
      throw block.MakeError("store", "must be the path of a folder");
    settings.store = store->text;
  }
  block.ReadNumber("hello_every_ms", settings.policy.hello_interval, 50, 10000);
  block.ReadNumber("forget_ms", settings.policy.presence_timeout, 500, 600000);
  block.ReadNumber("young_ms", settings.policy.restart_window, 1000, 3600000);
  block.ReadNumber("neighbours_at_most_ms", settings.policy.peers_timeout, 100, 600000);
  block.ReadNumber("group_at_most_ms", settings.policy.group_timeout, 100, 3600000);
  block.ReadNumber("record_at_most_ms", settings.policy.record_timeout, 100, 3600000);
  block.ReadNumber("rules_at_most_ms", settings.policy.configuration_timeout, 100, 3600000);
  block.ReadNumber("first", settings.policy.initial_share, 0.001, 1, false);
  block.ReadNumber("grow", settings.policy.growth_factor, 1.01, 4, false);
  block.ReadNumber("least", settings.policy.min_share, 0.0001, 1, false);
  block.ReadNumber("step_ms", settings.policy.step_interval, 20, 60000);
  if (settings.policy.min_share > settings.policy.initial_share)
    throw block.MakeError("least", "must be at most first");
  block.RejectUnknownFields();
  return settings;
}

static RulesSettings ReadRulesSettings(const Value& object) {
  RulesSettings settings;
  settings.enabled = true;
  BlockReader block("rules", object);
  block.ReadFlag("second_approver", settings.requires_second_approver);
  block.ReadNumber("round_ms", settings.policy.round, 50, 60000);
  block.ReadNumber("fanout", settings.policy.fanout, 1, 8);
  block.ReadNumber("steady", settings.policy.stable_rounds, 1, 20);
  block.ReadNumber("silent_ms", settings.policy.silence_timeout, 500, 3600000);
  block.ReadNumber("at_once", settings.policy.max_concurrent_repairs, 1, 100);
  block.ReadNumber("least_serving", settings.policy.min_serving_share, 0, 1, false);
  block.ReadNumber("repair_within_ms", settings.policy.repair_timeout, 100, 3600000);
  block.ReadNumber("watch_ms", settings.policy.observation_period, 0, 3600000);
  block.ReadNumber("alarm", settings.policy.alarm_threshold, 0.001, 1, false);
  block.ReadNumber("often", settings.policy.ejection_drift_count, 1, 1000);
  block.ReadNumber("within_ms", settings.policy.ejection_window, 1000, 1e9);
  block.RejectUnknownFields();
  return settings;
}

void ReadFleetLayerSettings(const Value& root, FrontConfiguration& configuration) {
  const Value *record = root.Find("record"), *recovery = root.Find("recovery"),
              *rules = root.Find("rules");
  if (!record && !recovery && !rules)
    return;
  auto require = [](bool condition, const char* why) {
    if (!condition)
      throw std::runtime_error(why);
  };
  require(configuration.peers.enabled,
          "record, recovery and rules require a peers block: they run over its socket");
  std::vector<std::uint32_t> ids;
  for (const auto& [id, address] : configuration.peers.addresses)
    ids.push_back(id);
  bool has_record_task = std::any_of(
      configuration.owner.tasks.begin(), configuration.owner.tasks.end(),
      [](const OwnerSettings::LeasedTask& task) { return task.standing && task.name == "record"; });
  if (record)
    configuration.record = ReadRecordSettings(*record, ids, has_record_task);
  if (recovery)
    configuration.recovery = ReadRecoverySettings(*recovery);
  if (rules) {
    require(record, "rules: requires a record block, through which approvals arrive");
    configuration.rules = ReadRulesSettings(*rules);
  }
}

}  // namespace dunlinwick::front
