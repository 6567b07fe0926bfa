#include "front/active.hpp"

namespace dunlinwick::drift {

namespace {

// A field that is added to one of these and not below would be a rule nobody sees drift: whoever changes a struct is sent here by
// its size (x86-64, libstdc++), adds the field below, then counts anew. tests/drift_test.cpp changes each field in turn.
#if defined(__x86_64__) && defined(__GLIBCXX__) && !defined(_GLIBCXX_DEBUG)
static_assert(sizeof(Offering) == 72, "Offering changed: tell its new field below (10 fields)");
static_assert(sizeof(Permits) == 5, "Permits changed: tell its new field below (5 fields)");
static_assert(sizeof(ColdTerms) == 24, "ColdTerms changed: tell its new field below (3 fields)");
static_assert(sizeof(StoreSheet) == 176, "StoreSheet changed: tell its new field below (21 fields)");
static_assert(sizeof(sheet::RoadTerms) == 120, "RoadTerms changed: tell its new field below (8 fields)");
static_assert(sizeof(owner::Terms) == 32 && sizeof(owner::GroupTerms) == 24, "owner terms changed: tell the new field below");
static_assert(sizeof(members::Terms) == 96 && sizeof(failover::Terms) == 56, "fleet terms changed: tell the new field below");
#endif

std::string text(bool v) { return v ? "true" : "false"; }
std::string text(double v) { return number(v); }
std::string text(int v) { return std::to_string(v); }
std::string text(std::size_t v) { return std::to_string(v); }
std::string text(Effect v) { return v == Effect::rerunnable ? "rerunnable" : v == Effect::ticketed ? "ticketed" : "exclusive"; }
std::string text(Span v) { return v == Span::everywhere ? "everywhere" : v == Span::zone ? "zone" : "cell"; }
std::string text(Weighing v) {
  return v == Weighing::none ? "none" : v == Weighing::nominal ? "nominal" : v == Weighing::rough ? "rough" : "live";
}
std::string text(const std::string& v) { return v; }

template <class V>
std::string list(const V& values) {
  std::string out;
  for (const auto& v : values) {
    std::string one = text(v);
    if (!out.empty()) out += ',';
    out += std::to_string(one.size()), out += ':', out += one;
  }
  return out;
}
// Long lists: what stands for them has bounds, what they say is in the digest.
std::string bounded(std::string value) {
  if (value.size() <= 512) return value;
  Section whole{{"", value}};
  return std::to_string(value.size()) + " bytes, digest " + std::to_string(digest(whole));
}

Section offering(const Offering& o) {
  return {{"effect", text(o.effect)}, {"span", text(o.span)}, {"memory", text(o.memory)}, {"agreed", text(o.agreed)},
          {"agreed_stretch", text(o.agreedStretch)}, {"expiry", text(o.expiry)}, {"payoff", text(o.payoff)}, {"streams", text(o.streams)},
          {"fresh_for", text(o.freshFor)}, {"never_kept", text(o.neverKept)}};
}

void cold(Section& s, const std::string& name, const ColdTerms& c) {
  s[name + ".from"] = text(c.from), s[name + ".multiple"] = text(c.multiple), s[name + ".lasts"] = text(c.lasts);
}

}  // namespace

Form activeForm(const StoreSheet& sheet, const sheet::RoadTerms& road, const front::FleetTerms& fleet, const front::OwnerTerms& owner,
                const std::string& build) {
  Form form;
  form["build"] = {{"version", build}};

  Section& offerings = form["offerings"];
  bool wide = sheet.offerings.size() > 25;  // 10 fields each
  offerings["count"] = text(sheet.offerings.size());
  std::string rest;
  for (std::size_t i = 0; i < sheet.offerings.size(); ++i) {
    Section row = offering(sheet.offerings[i]);
    std::string at = std::to_string(i);
    if (!wide) {
      for (auto& [name, value] : row) offerings[std::string(at).append(".").append(name)] = value;
    } else if (i < 250) {
      offerings[std::string(at).append(".row")] = canonical(row);
    } else {
      rest += canonical(row) + ";";
    }
  }
  if (!rest.empty()) offerings["rest.row"] = bounded(rest);

  form["sheet"] = {{"zone", text(sheet.zone)}, {"fronts", text(sheet.fronts)}, {"crew", text(sheet.crew)},
                   {"parent_kind", text(sheet.parentKind)}, {"origin_kind", text(sheet.originKind)}, {"asks_for_list", text(sheet.asksForList)},
                   {"weighing", text(sheet.weighing)}, {"longest_retry_after", text(sheet.longestRetryAfter)}, {"most_legs", text(sheet.mostLegs)},
                   {"places", text(sheet.places)}, {"lateral", text(sheet.lateral)}, {"stream_kb_per_ms", text(sheet.streamKbPerMs)},
                   {"link_kb_per_ms", text(sheet.linkKbPerMs)}, {"link_report", text(sheet.linkReport)}, {"remarks", text(sheet.remarks)},
                   {"purge_done", text(sheet.purgeDone)}};
  form["permits"] = {{"probe", text(sheet.may.probe)}, {"cancel", text(sheet.may.cancel)}, {"two_legs_at_once", text(sheet.may.twoLegsAtOnce)},
                     {"join", text(sheet.may.join)}, {"direct", text(sheet.may.direct)}};
  Section& c = form["cold"];
  cold(c, "store", sheet.coldStore), cold(c, "parent", sheet.coldParent);
  c["window"] = text(sheet.coldWindow);

  form["road"] = {{"offerings", bounded(list(road.offerings))}, {"zones", bounded(list(road.zones))}, {"kinds", bounded(list(road.kinds))},
                  {"reported", bounded(list(road.reported))}, {"connect_within", text(road.connectWithin)}, {"idle_for", text(road.idleFor)},
                  {"legs_at_once", text(road.legsAtOnce)}, {"may_probe", text(road.mayProbe)}};

  if (fleet.on) {
    std::string members;
    for (const auto& m : fleet.members) members.append(std::to_string(m.id)).append("/").append(std::to_string(m.zone)).append(",");
    const auto& s = fleet.swim;
    const auto& v = fleet.verdict;
    form["fleet"] = {{"members", bounded(members)}, {"zones", bounded(list(fleet.zones))}, {"zone_region", bounded(list(fleet.zoneRegion))},
                     {"steer", text(fleet.steer)}, {"platform_zones", text(fleet.platformZones)}, {"platform_zone", bounded(list(fleet.platformZone))},
                     {"swim.period", text(s.period)}, {"swim.probe_timeout", text(s.probeTimeout)}, {"swim.indirect", text(s.indirect)},
                     {"swim.indirect_most", text(s.indirectMost)}, {"swim.tries", text(s.tries)}, {"swim.looks", text(s.looks)},
                     {"swim.alpha", text(s.alpha)}, {"swim.beta", text(s.beta)}, {"swim.confirmations", text(s.confirmations)},
                     {"swim.health_most", text(s.healthMost)}, {"swim.retransmit", text(s.retransmit)},
                     {"swim.news_per_message", text(s.newsPerMessage)}, {"swim.notes_per_message", text(s.notesPerMessage)},
                     {"swim.note_refresh", text(s.noteRefresh)}, {"swim.reconnect", text(s.reconnect)}, {"verdict.quorum", text(v.quorum)},
                     {"verdict.hold_back", text(v.holdBack)}, {"verdict.lasting", text(v.lasting)}, {"verdict.overprovision", text(v.overprovision)},
                     {"verdict.panic", text(v.panic)}, {"verdict.alive_share", text(v.aliveShare)}, {"verdict.together", text(v.together)}};
  }
  if (owner.on) {
    std::string group, works;
    for (auto id : owner.group) group.append(std::to_string(id)).append(",");
    for (const auto& w : owner.works) {
      works.append(w.name).append("/").append(std::to_string(w.steps)).append("/").append(text(w.each));
      for (auto p : w.places) works.append("/").append(std::to_string(p));
      works += ",";
    }
    form["owner"] = {{"group", bounded(group)}, {"works", bounded(works)}, {"lease", text(owner.lease.lease)}, {"margin", text(owner.lease.margin)},
                     {"drift", text(owner.lease.drift)}, {"renew_every", text(owner.lease.renewEvery)}, {"election", text(owner.raft.election)},
                     {"heartbeat", text(owner.raft.heartbeat)}, {"tick", text(owner.raft.tick)}, {"lasting", text(!owner.store.empty())}};
  }
  return form;
}

Classes activeClasses() {
  Classes c;
  for (const char* rule : {"offerings.effect", "offerings.span", "offerings.memory", "offerings.expiry", "offerings.fresh_for", "offerings.never_kept",
                           "offerings.row", "offerings.count", "offerings.agreed", "offerings.agreed_stretch", "permits.*", "cold.*",
                           "sheet.purge_done", "sheet.longest_retry_after", "sheet.most_legs", "sheet.parent_kind", "sheet.origin_kind",
                           "sheet.zone", "sheet.fronts", "sheet.crew", "owner.lease", "owner.margin", "owner.drift", "owner.group", "road.offerings",
                           "road.zones", "road.kinds"})
    c[rule] = Breaks::rule;
  for (const char* none : {"build.version", "road.reported", "owner.tick"}) c[none] = Breaks::nothing;
  return c;
}

}  // namespace dunlinwick::drift
