// What each front of a harness is configured with: its peers and caches by the relay's faces.
#include <cstdio>

#include "rig/addresses.hpp"
#include "rig/harness.hpp"

namespace dunlinwick::fleet {

loop::Address Harness::at(std::size_t i, std::uint16_t port) {
  return Host(static_cast<unsigned>(10 + i), port);
}
loop::Address Harness::CacheAt(std::size_t z, int c) const {
  return Host(static_cast<unsigned>(kZoneHosts + z),
              static_cast<std::uint16_t>(fleet_.port + 300 + c));
}
loop::Address Harness::PlaceAt(std::size_t p) const {
  return Host(static_cast<unsigned>(kPlaceHosts + p),
              static_cast<std::uint16_t>(fleet_.port + 600));
}

std::string Harness::Configuration(std::size_t i) const {
  std::size_t n = fleet_.zone_of.size(), zones = fleet_.zones.size();
  auto face = static_cast<std::uint16_t>(fleet_.port + 1);
  auto whole = [](double v) {
    return std::to_string(static_cast<long long>(v));
  };
  auto server = [](const std::string& id, const loop::Address& a, const std::string& zone,
                   const char* kind, int cell, int weight) {
    return "{\"id\":\"" + id + "\",\"addr\":\"" + Text(a) + "\",\"zone\":\"" + zone +
           "\",\"kind\":\"" + kind + "\",\"cell\":" + std::to_string(cell) +
           ",\"state\":\"in_service\",\"weight\":" + std::to_string(weight) + ",\"started_ms\":0}";
  };
  std::string servers;
  for (std::size_t z = 0; z < zones; ++z)
    for (int c = 0; c < fleet_.caches_per_zone; ++c) {
      std::size_t index =
          z * static_cast<std::size_t>(fleet_.caches_per_zone) + static_cast<std::size_t>(c);
      servers +=
          server("cache-" + fleet_.zones[z] + "-" + std::to_string(c), Relay::face(i, index, face),
                 fleet_.zones[z], "box", static_cast<int>(z), 20) +
          ",";
    }
  servers += server("parent-1", Host(kHubHost, static_cast<std::uint16_t>(fleet_.port + 300)),
                    "hub", "parent", 90, 200) +
             ",";
  servers += server("origin", Host(kHubHost, static_cast<std::uint16_t>(fleet_.port + 301)), "hub",
                    "origin", 91, 1);
  std::vector<int> zone_replicas(zones);
  for (int z : fleet_.zone_of)
    ++zone_replicas[static_cast<std::size_t>(z)];
  std::string name = "front-" + std::to_string(i);
  char seed[32];
  std::snprintf(seed, sizeof seed, "%llx", static_cast<unsigned long long>(seed_ * 1000003 + i));
  std::string text_ =
      "{\"name\":\"" + name + "\",\"listen\":\"" +
      Text(at(i, static_cast<std::uint16_t>(fleet_.port + 200))) + "\",\"board\":\"" +
      Text(Host(kHubHost, static_cast<std::uint16_t>(fleet_.port + 200))) + "\",\"seed\":\"" +
      seed +
      "\",\"limits\":{\"cores\":1.0,\"memory_mb\":64,\"sockets\":512},\"known\":{\"rev\":1,"
      "\"notices\":[{\"rev\":1,\"pool\":"
      "{\"version\":0,\"full\":true,\"servers\":[" +
      servers + "]}}]},\"settings\":{\"azs\":[\"hub\"," +
      Joined(zones, [&](std::size_t z) { return "\"" + fleet_.zones[z] + "\""; }) +
      "],\"flavors\":[\"box\",\"parent\",\"origin\"],\"zone\":" +
      std::to_string(fleet_.zone_of[i] + 1) + ",\"balancers\":" + std::to_string(n) +
      ",\"discovery\":\"push\",\"weights\":\"nominal\",\"classes\":["
      "{\"name\":\"video-parts\",\"aim\":500,\"aimStretch\":2,\"giveUp\":5000,\"importance\":2,"
      "\"idempotency\":\"repeatable\"},"
      "{\"name\":\"order-handover\",\"aim\":700,\"giveUp\":3000,\"importance\":3,\"idempotency\":"
      "\"once\"}],"
      "\"familyInfo\":{\"crewByZone\":[0," +
      Joined(zones, [&](std::size_t z) { return std::to_string(zone_replicas[z]); }) +
      "],\"pipeKbPerS\":[0," + Joined(zones, [](std::size_t) { return std::string("120000"); }) +
      "],\"streamKbPerS\":8800,\"parentKind\":1,\"sourceKind\":2,\"lifetimeByClass\":[0,0],"
      "\"neverKept\":[false,true],"
      "\"direct\":true,\"lateral\":\"location\",\"purgeDone\":6000},\"limits\":{\"maxAttempts\":4,"
      "\"cancel\":true,"
      "\"mayDuplicate\":true,\"probing\":true,\"retryAfter\":true,\"maxRetryAfter\":500,"
      "\"connectTimeout\":400,"
      "\"connIdle\":30000,\"streamsPerConn\":100},\"report\":{\"names\":[\"load_share\","
      "\"concurrent\"],\"via\":\"probe\"}}," +
      PeersBlock(i) + "\"fleet\":{\"self\":" + std::to_string(MemberId(i)) +
      (fleet_.peers ? "" : ",\"listen\":\"" + Text(at(i, fleet_.port)) + "\"") + ",\"zones\":[" +
      Joined(zones,
             [&](std::size_t z) {
               return "{\"name\":\"" + fleet_.zones[z] + "\",\"region\":\"" + fleet_.regions[z] +
                      "\"}";
             }) +
      "],\"members\":[" +
      Joined(n,
             [&](std::size_t j) {
               return "{\"id\":" + std::to_string(MemberId(j)) +
                      (fleet_.peers
                           ? ""
                           : ",\"at\":\"" +
                                 Text(j == i ? at(i, fleet_.port) : Relay::face(i, j, face)) +
                                 "\"") +
                      ",\"zone\":\"" + fleet_.zones[static_cast<std::size_t>(fleet_.zone_of[j])] +
                      "\"}";
             }) +
      "],\"period_ms\":" + whole(fleet_.swim.period) +
      ",\"probe_timeout_ms\":" + whole(fleet_.swim.probe_timeout) +
      ",\"hold_back_ms\":" + whole(fleet_.verdict.recovery_interval) +
      ",\"lasting_ms\":" + whole(fleet_.verdict.degradation_delay) +
      (fleet_.verdict.quorum > 0 ? ",\"quorum\":" + std::to_string(fleet_.verdict.quorum) : "") +
      ",\"steer\":" + (fleet_.steer ? "true" : "false") + "}" + OwnerBlock(i) + LayerBlocks(i) +
      "}\n";
  auto own = tweaks_.find(i);
  if (own != tweaks_.end())
    if (std::size_t found = text_.find(own->second.first); found != std::string::npos)
      text_.replace(found, own->second.first.size(), own->second.second);
  return text_;
}

std::string Harness::PeersBlock(std::size_t i) const {
  if (!fleet_.peers)
    return "";
  auto face = static_cast<std::uint16_t>(fleet_.port + 1);
  return "\"peers\":{\"self\":" + std::to_string(i + 1) + ",\"listen\":\"" +
         Text(at(i, fleet_.port)) + "\",\"members\":[" +
         Joined(fleet_.zone_of.size(),
                [&](std::size_t j) {
                  return "{\"id\":" + std::to_string(j + 1) + ",\"at\":\"" +
                         Text(j == i ? at(i, fleet_.port) : Relay::face(i, j, face)) + "\"}";
                }) +
         "]},";
}

std::string Harness::OwnerBlock(std::size_t i) const {
  const OwnerFile& o = fleet_.owner;
  if (!o.on)
    return "";
  std::size_t n = fleet_.zone_of.size();
  auto places = static_cast<std::size_t>(o.places);
  auto face = static_cast<std::uint16_t>(fleet_.port + (fleet_.peers ? 1 : 601));
  auto whole = [](double v) {
    return std::to_string(static_cast<long long>(v));
  };
  auto entry = [](std::size_t id, const loop::Address& a) {
    return "{\"id\":" + std::to_string(id) + ",\"at\":\"" + Text(a) + "\"}";
  };
  return ",\"owner\":{\"self\":" + std::to_string(i + 1) +
         (fleet_.peers ? "" : ",\"listen\":\"" + Text(OwnerAt(i)) + "\"") + ",\"members\":[" +
         Joined(n,
                [&](std::size_t j) {
                  return fleet_.peers ? "{\"id\":" + std::to_string(j + 1) + "}"
                                      : entry(j + 1, j == i ? OwnerAt(i) : Relay::face(i, j, face));
                }) +
         "]" +
         (places == 0 ? ""
                      : ",\"places\":[" +
                            Joined(places,
                                   [&](std::size_t p) {
                                     return entry(kFirstPlace + p, Relay::face(i, n + p, face));
                                   }) +
                            "]") +
         ",\"group\":[" +
         Joined(static_cast<std::size_t>(o.group),
                [](std::size_t g) { return std::to_string(g + 1); }) +
         "]" +
         (o.lasting ? ",\"store\":\"" + programs_.folder + "/store-" + std::to_string(i) + "\""
                    : "") +
         ",\"lease_ms\":" + whole(o.lease) + ",\"margin_ms\":" + whole(o.margin) +
         ",\"renew_ms\":" + whole(o.renew_every) + ",\"election_ms\":" + whole(o.election) +
         ",\"works\":[" +
         (fleet_.layer ? std::string("{\"name\":\"record\",\"standing\":true}") +
                             (o.works.empty() ? "" : ",")
                       : "") +
         Joined(o.works.size(),
                [&](std::size_t w) {
                  // The first work is carried out at all places, the others at one each.
                  return "{\"name\":\"" + o.works[w].name +
                         "\",\"steps\":" + std::to_string(o.works[w].steps) +
                         ",\"each_ms\":" + whole(o.works[w].each) + ",\"places\":[" +
                         (w == 0 ? Joined(places,
                                          [](std::size_t p) {
                                            return std::to_string(kFirstPlace + p);
                                          })
                                 : std::to_string(kFirstPlace + w % places)) +
                         "]}";
                }) +
         "]}";
}

// Short terms, so that a test sees in seconds what service takes minutes for.
std::string Harness::LayerBlocks(std::size_t i) const {
  if (!fleet_.layer)
    return "";
  std::string folder = programs_.folder + "/", own = std::to_string(i);
  bool lasting = fleet_.owner.lasting;
  return ",\"record\":{\"keepers\":[" +
         Joined(static_cast<std::size_t>(fleet_.owner.group),
                [](std::size_t g) { return std::to_string(g + 1); }) +
         "]" + (lasting ? ",\"store\":\"" + folder + "record-" + own + "\"" : "") +
         ",\"lag_ms\":2000,\"tombstone_term_ms\":3000,\"lease_ms\":3000,"
         "\"ask_every_ms\":100,\"stale_after_ms\":2000},\"recovery\":{" +
         (lasting ? "\"store\":\"" + folder + "floors-" + own + "\"," : "") +
         "\"young_ms\":15000,\"step_ms\":200,\"grow\":1.6,"
         "\"neighbours_at_most_ms\":4000,\"group_at_most_ms\":15000,\"record_at_most_ms\":15000,"
         "\"rules_at_most_ms\":8000},"
         "\"rules\":{\"round_ms\":200,\"silent_ms\":3000,\"repair_within_ms\":2000,\"watch_ms\":"
         "500}";
}

}  // namespace dunlinwick::fleet
