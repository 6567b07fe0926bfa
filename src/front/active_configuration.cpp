#include "front/active_configuration.hpp"

namespace dunlinwick::drift {

namespace {

// A field that is added to one of these structs but not below would drift unseen. The size check
// (x86-64, libstdc++) leads whoever changes a struct here: add the field below, then update the
// size and the count. tests/drift_test.cpp changes each field in turn.
#if defined(__x86_64__) && defined(__GLIBCXX__) && !defined(_GLIBCXX_DEBUG)
static_assert(sizeof(RequestClass) == 72,
              "RequestClass changed: add its new field below (10 fields)");
static_assert(sizeof(Permissions) == 5, "permissions changed: add the new field below (5 fields)");
static_assert(sizeof(SlowStartSettings) == 24,
              "slow start settings changed: add the new field below (3 fields)");
static_assert(sizeof(DeploymentSettings) == 176,
              "deployment settings changed: add the new field below (21 fields)");
static_assert(sizeof(settings::ConnectionSettings) == 120,
              "connection settings changed: add the new field below (8 fields)");
static_assert(sizeof(owner::LeaseSettings) == 32 && sizeof(owner::RaftSettings) == 24,
              "owner settings changed: add the new field below");
static_assert(sizeof(members::Settings) == 96 && sizeof(failover::FailoverSettings) == 56,
              "fleet settings changed: add the new field below");
#endif

std::string Text(bool v) {
  return v ? "true" : "false";
}
std::string Text(double v) {
  return FormatNumber(v);
}
std::string Text(int v) {
  return std::to_string(v);
}
std::string Text(std::size_t v) {
  return std::to_string(v);
}
std::string Text(Effect v) {
  return v == Effect::kIdempotent          ? "rerunnable"
         : v == Effect::kIdempotentWithKey ? "ticketed"
                                           : "exclusive";
}
std::string Text(DeduplicationScope v) {
  return v == DeduplicationScope::kEverywhere ? "everywhere"
         : v == DeduplicationScope::kZone     ? "zone"
                                              : "cell";
}
std::string Text(WeightSource v) {
  return v == WeightSource::kNone      ? "none"
         : v == WeightSource::kNominal ? "nominal"
         : v == WeightSource::kRough   ? "rough"
                                       : "live";
}
std::string Text(const std::string& v) {
  return v;
}

template <class Values>
std::string JoinList(const Values& values) {
  std::string out;
  for (const auto& v : values) {
    std::string item = Text(v);
    if (!out.empty())
      out += ',';
    out += std::to_string(item.size());
    out += ':';
    out += item;
  }
  return out;
}
// A long list is replaced by its length and digest.
std::string Bounded(std::string value) {
  if (value.size() <= 512)
    return value;
  Section digested{{"", value}};
  return std::to_string(value.size()) + " bytes, digest " + std::to_string(Digest(digested));
}

Section RequestClassSection(const RequestClass& request_class) {
  return {{"effect", Text(request_class.effect)},
          {"span", Text(request_class.deduplication_scope)},
          {"memory", Text(request_class.deduplication_window)},
          {"agreed", Text(request_class.latency_objective)},
          {"agreed_stretch", Text(request_class.latency_objective_per_transfer_time)},
          {"expiry", Text(request_class.max_deadline)},
          {"payoff", Text(request_class.priority_weight)},
          {"streams", Text(request_class.streams)},
          {"fresh_for", Text(request_class.freshness_lifetime)},
          {"never_kept", Text(request_class.uncacheable)}};
}

void AddSlowStart(Section& s, const std::string& name, const SlowStartSettings& c) {
  s[name + ".from"] = Text(c.initial_weight);
  s[name + ".multiple"] = Text(c.overload_factor);
  s[name + ".lasts"] = Text(c.duration);
}

}  // namespace

CanonicalConfiguration ActiveConfiguration(const DeploymentSettings& settings,
                                           const settings::ConnectionSettings& connection_settings,
                                           const front::FleetSettings& fleet,
                                           const front::OwnerSettings& owner,
                                           const std::string& build) {
  CanonicalConfiguration form;
  form["build"] = {{"version", build}};

  Section& request_classes = form["offerings"];
  bool one_field_per_class = settings.request_classes.size() > 25;  // 10 fields each
  request_classes["count"] = Text(settings.request_classes.size());
  std::string rest;
  for (std::size_t i = 0; i < settings.request_classes.size(); ++i) {
    Section row = RequestClassSection(settings.request_classes[i]);
    std::string index = std::to_string(i);
    if (!one_field_per_class) {
      for (auto& [name, value] : row)
        request_classes[std::string(index).append(".").append(name)] = value;
    } else if (i < 250) {
      request_classes[std::string(index).append(".row")] = EncodeCanonical(row);
    } else {
      rest += EncodeCanonical(row) + ";";
    }
  }
  if (!rest.empty())
    request_classes["rest.row"] = Bounded(rest);

  form["sheet"] = {{"zone", Text(settings.zone)},
                   {"fronts", Text(settings.fronts)},
                   {"crew", Text(settings.fronts_in_zone)},
                   {"parent_kind", Text(settings.parent_kind)},
                   {"origin_kind", Text(settings.origin_kind)},
                   {"asks_for_list", Text(settings.polls_endpoint_list)},
                   {"weighing", Text(settings.weight_source)},
                   {"longest_retry_after", Text(settings.max_retry_after)},
                   {"most_legs", Text(settings.max_attempts)},
                   {"places", Text(settings.max_open_requests)},
                   {"lateral", Text(settings.fills_from_siblings)},
                   {"stream_kb_per_ms", Text(settings.stream_kb_per_ms)},
                   {"link_kb_per_ms", Text(settings.link_kb_per_ms)},
                   {"link_report", Text(settings.link_report_index)},
                   {"remarks", Text(settings.reports_cache_status)},
                   {"purge_done", Text(settings.purge_completion_time)}};
  form["permits"] = {{"probe", Text(settings.permissions.probe)},
                     {"cancel", Text(settings.permissions.cancel)},
                     {"two_legs_at_once", Text(settings.permissions.concurrent_attempts)},
                     {"join", Text(settings.permissions.coalesce)},
                     {"direct", Text(settings.permissions.direct_to_origin)}};
  Section& slow_start = form["cold"];
  AddSlowStart(slow_start, "store", settings.cache_slow_start);
  AddSlowStart(slow_start, "parent", settings.parent_slow_start);
  slow_start["window"] = Text(settings.slow_start_window);

  form["road"] = {{"offerings", Bounded(JoinList(connection_settings.request_classes))},
                  {"zones", Bounded(JoinList(connection_settings.zones))},
                  {"kinds", Bounded(JoinList(connection_settings.kinds))},
                  {"reported", Bounded(JoinList(connection_settings.report_names))},
                  {"connect_within", Text(connection_settings.connect_timeout)},
                  {"idle_for", Text(connection_settings.idle_timeout)},
                  {"legs_at_once", Text(connection_settings.max_concurrent_attempts)},
                  {"may_probe", Text(connection_settings.may_probe)}};

  if (fleet.enabled) {
    std::string members;
    for (const auto& m : fleet.members)
      members.append(std::to_string(m.id)).append("/").append(std::to_string(m.zone)).append(",");
    const auto& swim = fleet.swim;
    const auto& failover = fleet.failover_settings;
    form["fleet"] = {{"members", Bounded(members)},
                     {"zones", Bounded(JoinList(fleet.zones))},
                     {"zone_region", Bounded(JoinList(fleet.zone_region))},
                     {"steer", Text(fleet.steer)},
                     {"platform_zones", Text(fleet.platform_zone_count)},
                     {"platform_zone", Bounded(JoinList(fleet.platform_zones))},
                     {"swim.period", Text(swim.period)},
                     {"swim.probe_timeout", Text(swim.probe_timeout)},
                     {"swim.indirect", Text(swim.indirect_probes)},
                     {"swim.indirect_most", Text(swim.max_indirect_probes)},
                     {"swim.tries", Text(swim.probe_tries)},
                     {"swim.looks", Text(swim.final_probes)},
                     {"swim.alpha", Text(swim.alpha)},
                     {"swim.beta", Text(swim.beta)},
                     {"swim.confirmations", Text(swim.confirmations)},
                     {"swim.health_most", Text(swim.max_health)},
                     {"swim.retransmit", Text(swim.retransmit_multiplier)},
                     {"swim.news_per_message", Text(swim.max_updates_per_message)},
                     {"swim.notes_per_message", Text(swim.max_payloads_per_message)},
                     {"swim.note_refresh", Text(swim.payload_refresh_period)},
                     {"swim.reconnect", Text(swim.reconnect_period)},
                     {"verdict.quorum", Text(failover.quorum)},
                     {"verdict.hold_back", Text(failover.recovery_interval)},
                     {"verdict.lasting", Text(failover.degradation_delay)},
                     {"verdict.overprovision", Text(failover.overprovisioning_factor)},
                     {"verdict.panic", Text(failover.panic_threshold)},
                     {"verdict.alive_share", Text(failover.min_alive_share)},
                     {"verdict.together", Text(failover.correlated_suspect_count)}};
  }
  if (owner.enabled) {
    std::string group, tasks;
    for (auto id : owner.group)
      group.append(std::to_string(id)).append(",");
    for (const auto& task : owner.tasks) {
      tasks.append(task.name)
          .append("/")
          .append(std::to_string(task.steps))
          .append("/")
          .append(Text(task.step_time));
      for (auto executor : task.executors)
        tasks.append("/").append(std::to_string(executor));
      tasks += ",";
    }
    form["owner"] = {{"group", Bounded(group)},
                     {"works", Bounded(tasks)},
                     {"lease", Text(owner.lease.duration)},
                     {"margin", Text(owner.lease.margin)},
                     {"drift", Text(owner.lease.clock_drift)},
                     {"renew_every", Text(owner.lease.renew_interval)},
                     {"election", Text(owner.raft.election_timeout)},
                     {"heartbeat", Text(owner.raft.heartbeat_interval)},
                     {"tick", Text(owner.raft.tick_interval)},
                     {"lasting", Text(!owner.store.empty())}};
  }
  return form;
}

FieldImpactMap FieldImpacts() {
  FieldImpactMap impacts;
  for (const char* rule : {"offerings.effect",    "offerings.span",
                           "offerings.memory",    "offerings.expiry",
                           "offerings.fresh_for", "offerings.never_kept",
                           "offerings.row",       "offerings.count",
                           "offerings.agreed",    "offerings.agreed_stretch",
                           "permits.*",           "cold.*",
                           "sheet.purge_done",    "sheet.longest_retry_after",
                           "sheet.most_legs",     "sheet.parent_kind",
                           "sheet.origin_kind",   "sheet.zone",
                           "sheet.fronts",        "sheet.crew",
                           "owner.lease",         "owner.margin",
                           "owner.drift",         "owner.group",
                           "road.offerings",      "road.zones",
                           "road.kinds"})
    impacts[rule] = FieldImpact::kInvariant;
  for (const char* none : {"build.version", "road.reported", "owner.tick"})
    impacts[none] = FieldImpact::kNone;
  return impacts;
}

}  // namespace dunlinwick::drift
