#include "front/active.hpp"

namespace dunlinwick::drift {

namespace {

// A field that is added to one of these structs but not below would drift unseen. The size check
// (x86-64, libstdc++) leads whoever changes a struct here: add the field below, then update the
// size and the count. tests/drift_test.cpp changes each field in turn.
#if defined(__x86_64__) && defined(__GLIBCXX__) && !defined(_GLIBCXX_DEBUG)
static_assert(sizeof(RequestClass) == 72,
              "RequestClass changed: add its new field below (10 fields)");
static_assert(sizeof(Permits) == 5, "permissions changed: add the new field below (5 fields)");
static_assert(sizeof(ColdTerms) == 24,
              "slow start settings changed: add the new field below (3 fields)");
static_assert(sizeof(StoreSettings) == 176,
              "deployment settings changed: add the new field below (21 fields)");
static_assert(sizeof(settings::RoadTerms) == 120,
              "connection settings changed: add the new field below (8 fields)");
static_assert(sizeof(owner::Terms) == 32 && sizeof(owner::GroupTerms) == 24,
              "owner settings changed: add the new field below");
static_assert(sizeof(members::Settings) == 96 && sizeof(failover::Terms) == 56,
              "fleet settings changed: add the new field below");
#endif

std::string Text(bool v) {
  return v ? "true" : "false";
}
std::string Text(double v) {
  return Number(v);
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
std::string Text(Span v) {
  return v == Span::kEverywhere ? "everywhere" : v == Span::kZone ? "zone" : "cell";
}
std::string Text(Weighing v) {
  return v == Weighing::kNone      ? "none"
         : v == Weighing::kNominal ? "nominal"
         : v == Weighing::kRough   ? "rough"
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
          {"span", Text(request_class.span)},
          {"memory", Text(request_class.memory)},
          {"agreed", Text(request_class.agreed)},
          {"agreed_stretch", Text(request_class.agreed_stretch)},
          {"expiry", Text(request_class.expiry)},
          {"payoff", Text(request_class.payoff)},
          {"streams", Text(request_class.streams)},
          {"fresh_for", Text(request_class.fresh_for)},
          {"never_kept", Text(request_class.never_kept)}};
}

void AddSlowStart(Section& s, const std::string& name, const ColdTerms& c) {
  s[name + ".from"] = Text(c.from);
  s[name + ".multiple"] = Text(c.multiple);
  s[name + ".lasts"] = Text(c.lasts);
}

}  // namespace

Form ActiveConfiguration(const StoreSettings& settings,
                         const settings::RoadTerms& connection_settings,
                         const front::FleetSettings& fleet, const front::OwnerSettings& owner,
                         const std::string& build) {
  Form form;
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
      request_classes[std::string(index).append(".row")] = Canonical(row);
    } else {
      rest += Canonical(row) + ";";
    }
  }
  if (!rest.empty())
    request_classes["rest.row"] = Bounded(rest);

  form["sheet"] = {{"zone", Text(settings.zone)},
                   {"fronts", Text(settings.fronts)},
                   {"crew", Text(settings.zone_replicas)},
                   {"parent_kind", Text(settings.parent_kind)},
                   {"origin_kind", Text(settings.origin_kind)},
                   {"asks_for_list", Text(settings.asks_for_list)},
                   {"weighing", Text(settings.weighing)},
                   {"longest_retry_after", Text(settings.longest_retry_after)},
                   {"most_legs", Text(settings.most_attempts)},
                   {"places", Text(settings.places)},
                   {"lateral", Text(settings.lateral)},
                   {"stream_kb_per_ms", Text(settings.stream_kb_per_ms)},
                   {"link_kb_per_ms", Text(settings.link_kb_per_ms)},
                   {"link_report", Text(settings.link_report)},
                   {"remarks", Text(settings.remarks)},
                   {"purge_done", Text(settings.purge_done)}};
  form["permits"] = {{"probe", Text(settings.may.probe)},
                     {"cancel", Text(settings.may.cancel)},
                     {"two_legs_at_once", Text(settings.may.two_attempts_at_once)},
                     {"join", Text(settings.may.join)},
                     {"direct", Text(settings.may.direct)}};
  Section& slow_start = form["cold"];
  AddSlowStart(slow_start, "store", settings.cold_store);
  AddSlowStart(slow_start, "parent", settings.cold_parent);
  slow_start["window"] = Text(settings.cold_window);

  form["road"] = {{"offerings", Bounded(JoinList(connection_settings.request_classes))},
                  {"zones", Bounded(JoinList(connection_settings.zones))},
                  {"kinds", Bounded(JoinList(connection_settings.kinds))},
                  {"reported", Bounded(JoinList(connection_settings.reported))},
                  {"connect_within", Text(connection_settings.connect_within)},
                  {"idle_for", Text(connection_settings.idle_for)},
                  {"legs_at_once", Text(connection_settings.attempts_at_once)},
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
                     {"verdict.hold_back", Text(failover.hold_back)},
                     {"verdict.lasting", Text(failover.lasting)},
                     {"verdict.overprovision", Text(failover.overprovision)},
                     {"verdict.panic", Text(failover.panic)},
                     {"verdict.alive_share", Text(failover.alive_share)},
                     {"verdict.together", Text(failover.together)}};
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
                     {"lease", Text(owner.lease.lease)},
                     {"margin", Text(owner.lease.margin)},
                     {"drift", Text(owner.lease.drift)},
                     {"renew_every", Text(owner.lease.renew_every)},
                     {"election", Text(owner.raft.election)},
                     {"heartbeat", Text(owner.raft.heartbeat)},
                     {"tick", Text(owner.raft.tick)},
                     {"lasting", Text(!owner.store.empty())}};
  }
  return form;
}

Classes FieldImpacts() {
  Classes impacts;
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
    impacts[rule] = Breaks::kRule;
  for (const char* none : {"build.version", "road.reported", "owner.tick"})
    impacts[none] = Breaks::kNothing;
  return impacts;
}

}  // namespace dunlinwick::drift
