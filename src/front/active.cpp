#include "front/active.hpp"

namespace dunlinwick::drift {

namespace {

// A field that is added to one of these and not below would be a rule nobody sees drift: whoever
// changes a struct is sent here by its size (x86-64, libstdc++), adds the field below, then counts
// anew. tests/drift_test.cpp changes each field in turn.
#if defined(__x86_64__) && defined(__GLIBCXX__) && !defined(_GLIBCXX_DEBUG)
static_assert(sizeof(Offering) == 72, "Offering changed: tell its new field below (10 fields)");
static_assert(sizeof(Permits) == 5, "Permits changed: tell its new field below (5 fields)");
static_assert(sizeof(ColdTerms) == 24, "ColdTerms changed: tell its new field below (3 fields)");
static_assert(sizeof(StoreSheet) == 176,
              "StoreSheet changed: tell its new field below (21 fields)");
static_assert(sizeof(sheet::RoadTerms) == 120,
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
  return v == Effect::kRerunnable ? "rerunnable"
         : v == Effect::kTicketed ? "ticketed"
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

Section Offering(const Offering& o) {
  return {{"effect", Text(o.effect)},
          {"span", Text(o.span)},
          {"memory", Text(o.memory)},
          {"agreed", Text(o.agreed)},
          {"agreed_stretch", Text(o.agreed_stretch)},
          {"expiry", Text(o.expiry)},
          {"payoff", Text(o.payoff)},
          {"streams", Text(o.streams)},
          {"fresh_for", Text(o.fresh_for)},
          {"never_kept", Text(o.never_kept)}};
}

void Cold(Section& s, const std::string& name, const ColdTerms& c) {
  s[name + ".from"] = Text(c.from);
  s[name + ".multiple"] = Text(c.multiple);
  s[name + ".lasts"] = Text(c.lasts);
}

}  // namespace

Form ActiveForm(const StoreSheet& sheet, const sheet::RoadTerms& road,
                const front::FleetTerms& fleet, const front::OwnerTerms& owner,
                const std::string& build) {
  Form form;
  form["build"] = {{"version", build}};

  Section& offerings = form["offerings"];
  bool wide = sheet.offerings.size() > 25;  // 10 fields each
  offerings["count"] = Text(sheet.offerings.size());
  std::string rest;
  for (std::size_t i = 0; i < sheet.offerings.size(); ++i) {
    Section row = Offering(sheet.offerings[i]);
    std::string at = std::to_string(i);
    if (!wide) {
      for (auto& [name, value] : row)
        offerings[std::string(at).append(".").append(name)] = value;
    } else if (i < 250) {
      offerings[std::string(at).append(".row")] = Canonical(row);
    } else {
      rest += Canonical(row) + ";";
    }
  }
  if (!rest.empty())
    offerings["rest.row"] = Bounded(rest);

  form["sheet"] = {{"zone", Text(sheet.zone)},
                   {"fronts", Text(sheet.fronts)},
                   {"crew", Text(sheet.crew)},
                   {"parent_kind", Text(sheet.parent_kind)},
                   {"origin_kind", Text(sheet.origin_kind)},
                   {"asks_for_list", Text(sheet.asks_for_list)},
                   {"weighing", Text(sheet.weighing)},
                   {"longest_retry_after", Text(sheet.longest_retry_after)},
                   {"most_legs", Text(sheet.most_legs)},
                   {"places", Text(sheet.places)},
                   {"lateral", Text(sheet.lateral)},
                   {"stream_kb_per_ms", Text(sheet.stream_kb_per_ms)},
                   {"link_kb_per_ms", Text(sheet.link_kb_per_ms)},
                   {"link_report", Text(sheet.link_report)},
                   {"remarks", Text(sheet.remarks)},
                   {"purge_done", Text(sheet.purge_done)}};
  form["permits"] = {{"probe", Text(sheet.may.probe)},
                     {"cancel", Text(sheet.may.cancel)},
                     {"two_legs_at_once", Text(sheet.may.two_legs_at_once)},
                     {"join", Text(sheet.may.join)},
                     {"direct", Text(sheet.may.direct)}};
  Section& c = form["cold"];
  Cold(c, "store", sheet.cold_store);
  Cold(c, "parent", sheet.cold_parent);
  c["window"] = Text(sheet.cold_window);

  form["road"] = {
      {"offerings", Bounded(List(road.offerings))},  {"zones", Bounded(List(road.zones))},
      {"kinds", Bounded(List(road.kinds))},          {"reported", Bounded(List(road.reported))},
      {"connect_within", Text(road.connect_within)}, {"idle_for", Text(road.idle_for)},
      {"legs_at_once", Text(road.legs_at_once)},     {"may_probe", Text(road.may_probe)}};

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
