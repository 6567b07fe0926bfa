#include "front/active.hpp"

namespace dunlinwick::drift {

namespace {

// A field that is added to one of these and not below would be a rule nobody sees drift: whoever
// changes a struct is sent here by its size (x86-64, libstdc++), adds the field below, then counts
// anew. tests/drift_test.cpp changes each field in turn.
#if defined(__x86_64__) && defined(__GLIBCXX__) && !defined(_GLIBCXX_DEBUG)
static_assert(sizeof(RequestClass) == 72, "Offering changed: tell its new field below (10 fields)");
static_assert(sizeof(Permissions) == 5, "Permits changed: tell its new field below (5 fields)");
static_assert(sizeof(SlowStartSettings) == 24,
              "ColdTerms changed: tell its new field below (3 fields)");
static_assert(sizeof(DeploymentSettings) == 176,
              "StoreSheet changed: tell its new field below (21 fields)");
static_assert(sizeof(settings::ConnectionSettings) == 120,
              "RoadTerms changed: tell its new field below (8 fields)");
static_assert(sizeof(owner::Terms) == 32 && sizeof(owner::GroupTerms) == 24,
              "owner terms changed: tell the new field below");
static_assert(sizeof(members::Terms) == 96 && sizeof(failover::Terms) == 56,
              "fleet terms changed: tell the new field below");
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

template <class V>
std::string List(const V& values) {
  std::string out;
  for (const auto& v : values) {
    std::string one = Text(v);
    if (!out.empty())
      out += ',';
    out += std::to_string(one.size());
    out += ':';
    out += one;
  }
  return out;
}
// Long lists: what stands for them has bounds, what they say is in the digest.
std::string Bounded(std::string value) {
  if (value.size() <= 512)
    return value;
  Section whole{{"", value}};
  return std::to_string(value.size()) + " bytes, digest " + std::to_string(Digest(whole));
}

Section RequestClass(const RequestClass& o) {
  return {{"effect", Text(o.effect)},
          {"span", Text(o.deduplication_scope)},
          {"memory", Text(o.deduplication_window)},
          {"agreed", Text(o.latency_objective)},
          {"agreed_stretch", Text(o.latency_objective_stretch)},
          {"expiry", Text(o.max_deadline)},
          {"payoff", Text(o.priority_weight)},
          {"streams", Text(o.streams)},
          {"fresh_for", Text(o.freshness_lifetime)},
          {"never_kept", Text(o.uncacheable)}};
}

void Cold(Section& s, const std::string& name, const SlowStartSettings& c) {
  s[name + ".from"] = Text(c.initial_weight);
  s[name + ".multiple"] = Text(c.overload_factor);
  s[name + ".lasts"] = Text(c.duration);
}

}  // namespace

Form ActiveForm(const DeploymentSettings& settings, const settings::ConnectionSettings& road,
                const front::FleetTerms& fleet, const front::OwnerTerms& owner,
                const std::string& build) {
  Form form;
  form["build"] = {{"version", build}};

  Section& request_classes = form["offerings"];
  bool wide = settings.request_classes.size() > 25;  // 10 fields each
  request_classes["count"] = Text(settings.request_classes.size());
  std::string rest;
  for (std::size_t i = 0; i < settings.request_classes.size(); ++i) {
    Section row = RequestClass(settings.request_classes[i]);
    std::string at = std::to_string(i);
    if (!wide) {
      for (auto& [name, value] : row)
        request_classes[std::string(at).append(".").append(name)] = value;
    } else if (i < 250) {
      request_classes[std::string(at).append(".row")] = Canonical(row);
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
  Section& c = form["cold"];
  Cold(c, "store", settings.cache_slow_start);
  Cold(c, "parent", settings.parent_slow_start);
  c["window"] = Text(settings.slow_start_window);

  form["road"] = {{"offerings", Bounded(List(road.request_classes))},
                  {"zones", Bounded(List(road.zones))},
                  {"kinds", Bounded(List(road.kinds))},
                  {"reported", Bounded(List(road.report_names))},
                  {"connect_within", Text(road.connect_timeout)},
                  {"idle_for", Text(road.idle_timeout)},
                  {"legs_at_once", Text(road.max_concurrent_attempts)},
                  {"may_probe", Text(road.may_probe)}};

  if (fleet.on) {
    std::string members;
    for (const auto& m : fleet.members)
      members.append(std::to_string(m.id)).append("/").append(std::to_string(m.zone)).append(",");
    const auto& s = fleet.swim;
    const auto& v = fleet.verdict;
    form["fleet"] = {{"members", Bounded(members)},
                     {"zones", Bounded(List(fleet.zones))},
                     {"zone_region", Bounded(List(fleet.zone_region))},
                     {"steer", Text(fleet.steer)},
                     {"platform_zones", Text(fleet.platform_zones)},
                     {"platform_zone", Bounded(List(fleet.platform_zone))},
                     {"swim.period", Text(s.period)},
                     {"swim.probe_timeout", Text(s.probe_timeout)},
                     {"swim.indirect", Text(s.indirect)},
                     {"swim.indirect_most", Text(s.indirect_most)},
                     {"swim.tries", Text(s.tries)},
                     {"swim.looks", Text(s.looks)},
                     {"swim.alpha", Text(s.alpha)},
                     {"swim.beta", Text(s.beta)},
                     {"swim.confirmations", Text(s.confirmations)},
                     {"swim.health_most", Text(s.health_most)},
                     {"swim.retransmit", Text(s.retransmit)},
                     {"swim.news_per_message", Text(s.news_per_message)},
                     {"swim.notes_per_message", Text(s.notes_per_message)},
                     {"swim.note_refresh", Text(s.note_refresh)},
                     {"swim.reconnect", Text(s.reconnect)},
                     {"verdict.quorum", Text(v.quorum)},
                     {"verdict.hold_back", Text(v.hold_back)},
                     {"verdict.lasting", Text(v.lasting)},
                     {"verdict.overprovision", Text(v.overprovision)},
                     {"verdict.panic", Text(v.panic)},
                     {"verdict.alive_share", Text(v.alive_share)},
                     {"verdict.together", Text(v.together)}};
  }
  if (owner.on) {
    std::string group, works;
    for (auto id : owner.group)
      group.append(std::to_string(id)).append(",");
    for (const auto& w : owner.works) {
      works.append(w.name)
          .append("/")
          .append(std::to_string(w.steps))
          .append("/")
          .append(Text(w.each));
      for (auto p : w.places)
        works.append("/").append(std::to_string(p));
      works += ",";
    }
    form["owner"] = {{"group", Bounded(group)},
                     {"works", Bounded(works)},
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

Classes ActiveClasses() {
  Classes c;
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
    c[rule] = Breaks::kRule;
  for (const char* none : {"build.version", "road.reported", "owner.tick"})
    c[none] = Breaks::kNothing;
  return c;
}

}  // namespace dunlinwick::drift
