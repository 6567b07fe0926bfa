#include "front/charter.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

namespace dunlinwick::front {

using json::Kind;
using json::Value;

static const Value& Need(const Value& in, const char* name, Kind kind) {
  const Value* v = in.Find(name, kind);
  if (!v)
    throw std::runtime_error(std::string("configuration lacks a usable ") + name);
  return *v;
}

static loop::Address Address(const std::string& text, const char* name) {
  auto at = loop::ReadAddress(text);
  if (!at)
    throw std::runtime_error(std::string(name) + " is no address: " + text);
  return *at;
}

// Refused whole, with the field and the reason.
static FleetTerms ReadFleet(const Value& f, const PeersTerms& peers,
                            const std::vector<std::string>& platform, int own_zone) {
  FleetTerms t;
  t.on = true;
  t.over_peers = peers.on && !f.Find("listen");
  auto fault = [](const std::string& where, const std::string& why) {
    return std::runtime_error("fleet." + where + ": " + why);
  };
  auto whole = [&](const Value& in, const char* name, double least, double most) {
    const Value* v = in.Find(name, Kind::kNumber);
    if (!v)
      throw fault(name, "wanted, a number");
    double n = v->AsNumber();
    if (!(n >= least && n <= most) || n != static_cast<double>(static_cast<long long>(n)))
      throw fault(name, "a whole number from " + std::to_string(static_cast<long long>(least)) +
                            " to " + std::to_string(static_cast<long long>(most)) + " wanted");
    return n;
  };
  auto ms = [&](const char* name, double& into, double least, double most) {
    if (f.Find(name))
      into = whole(f, name, least, most);
  };
  const Value* zones = f.Find("zones", Kind::kArray);
  if (!zones || zones->items.empty() || zones->items.size() > 16)
    throw fault("zones", "1 to 16 zones wanted");
  std::vector<std::string> regions;
  for (std::size_t i = 0; i < zones->items.size(); ++i) {
    const Value& z = zones->items[i];
    std::string where = "zones[" + std::to_string(i) + "]";
    std::string name(z.GetString("name")), region(z.GetString("region"));
    if (name.empty() || region.empty())
      throw fault(where, "a name and a region wanted");
    if (std::find(t.zones.begin(), t.zones.end(), name) != t.zones.end())
      throw fault(where, "named twice");
    auto r = std::find(regions.begin(), regions.end(), region);
    if (r == regions.end()) {
      regions.push_back(region);
      r = regions.end() - 1;
    }
    t.zones.push_back(name);
    t.zone_region.push_back(static_cast<int>(r - regions.begin()));
  }
  const Value* members = f.Find("members", Kind::kArray);
  if (!members || members->items.empty() || members->items.size() > 1000)
    throw fault("members", "1 to 1000 members wanted");
  t.self = static_cast<std::uint32_t>(whole(f, "self", 0, 1e9));
  bool self = false;
  for (std::size_t i = 0; i < members->items.size(); ++i) {
    const Value& m = members->items[i];
    std::string where = "members[" + std::to_string(i) + "]";
    FleetMember one;
    try {
      one.id = static_cast<std::uint32_t>(whole(m, "id", 0, 1e9));
    } catch (const std::runtime_error&) {
      throw fault(where + ".id", "a whole number wanted");
    }
    if (t.over_peers) {
      if (!peers.at.count(one.id))
        throw fault(where + ".id", "not among peers.members, over whose socket the fleet runs");
      if (m.Find("at"))
        throw fault(where + ".at",
                    "goes with a listen of the fleet's own; peers.members says where each is");
    } else {
      auto at = loop::ReadAddress(m.GetString("at"));
      if (!at)
        throw fault(where + ".at", "an address such as 127.0.0.10:7400 wanted");
      one.at = *at;
    }
    auto z = std::find(t.zones.begin(), t.zones.end(), m.GetString("zone"));
    if (z == t.zones.end())
      throw fault(where + ".zone", "not among zones");
    one.zone = static_cast<int>(z - t.zones.begin());
    for (const FleetMember& other : t.members)
      if (other.id == one.id)
        throw fault(where + ".id", "given twice");
    self |= one.id == t.self;
    t.members.push_back(one);
  }
  if (!self)
    throw fault("self", "not among members");
  if (t.over_peers && t.self != peers.self)
    throw fault("self", "another than peers.self, over whose socket the fleet runs");
  auto listen = loop::ReadAddress(f.GetString("listen"));
  if (!listen && !t.over_peers)
    throw fault("listen", "an address such as 127.0.0.10:7400 wanted");
  if (listen)
    t.listen = *listen;
  ms("period_ms", t.swim.period, 50, 60000);
  ms("probe_timeout_ms", t.swim.probe_timeout, 10, 60000);
  ms("hold_back_ms", t.verdict.hold_back, 0, 600000);
  if (!(t.swim.probe_timeout < t.swim.period))
    throw fault("probe_timeout_ms", "shorter than period_ms wanted");
  if (f.Find("quorum"))
    t.verdict.quorum = static_cast<int>(whole(f, "quorum", 1, 1000));
  if (t.verdict.quorum > static_cast<int>(t.members.size()))
    throw fault("quorum", "more than the members");
  if (2 * t.verdict.quorum <= static_cast<int>(t.members.size()) && t.verdict.quorum > 0)
    throw fault("quorum", "half the members or fewer: both sides of a partition would decide");
  ms("lasting_ms", t.verdict.lasting, 0, 600000);
  if (const Value* steer = f.Find("steer")) {
    if (steer->kind != Kind::kBoolean)
      throw fault("steer", "true or false wanted");
    t.steer = steer->text == "true";
  }
  t.platform_zones = platform.size();
  for (std::size_t z = 0; t.steer && z < t.zones.size(); ++z) {
    auto at = std::find(platform.begin(), platform.end(), t.zones[z]);
    if (at == platform.end())
      throw fault("zones[" + std::to_string(z) + "]", "steer wants it among settings.azs");
    t.platform_zone.push_back(static_cast<std::size_t>(at - platform.begin()));
  }
  for (const FleetMember& m : t.members)
    if (t.steer && m.id == t.self &&
        t.platform_zone[static_cast<std::size_t>(m.zone)] != static_cast<std::size_t>(own_zone))
      throw fault("self", "steer wants this front's zone to be settings.zone");
  return t;
}

static OwnerTerms ReadOwner(const Value& o, const PeersTerms& peers) {
  OwnerTerms t;
  t.on = true;
  t.over_peers = peers.on && !o.Find("listen");
  auto fault = [](const std::string& where, const std::string& why) {
    return std::runtime_error("owner." + where + ": " + why);
  };
  if (!PartsBuilt())
    throw std::runtime_error("owner: this build has no libraft; build with -DDUNLINWICK_OWNER=ON");
  auto whole = [&](const Value& in, const std::string& where, const char* name, double least,
                   double most) {
    const Value* v = in.Find(name, Kind::kNumber);
    double n = v ? v->AsNumber() : -1;
    if (!v || !(n >= least && n <= most) || n != static_cast<double>(static_cast<long long>(n)))
      throw fault(where + name, "a whole number from " +
                                    std::to_string(static_cast<long long>(least)) + " to " +
                                    std::to_string(static_cast<long long>(most)) + " wanted");
    return n;
  };
  auto maybe = [&](const char* name, double& into, double least, double most) {
    if (o.Find(name))
      into = whole(o, "", name, least, most);
  };
  t.self = static_cast<std::uint32_t>(whole(o, "", "self", 1, 1e9));
  if (t.over_peers && t.self != peers.self)
    throw fault("self", "another than peers.self, over whose socket the owner runs");
  auto listen = loop::ReadAddress(o.GetString("listen"));
  if (!listen && !t.over_peers)
    throw fault("listen", "an address such as 127.0.0.10:7600 wanted");
  if (listen)
    t.listen = *listen;
  std::vector<std::uint32_t> known;
  for (const char* list : {"members", "places"}) {
    const Value* all = o.Find(list, Kind::kArray);
    if (!all && std::string_view(list) == "places")
      continue;  // works that are carried out name them, and are refused without
    if (!all || all->items.empty() || all->items.size() > 1000)
      throw fault(list, "1 to 1000 wanted, each with id and at");
    for (std::size_t i = 0; i < all->items.size(); ++i) {
      std::string where = std::string(list) + "[" + std::to_string(i) + "].";
      auto id = static_cast<std::uint32_t>(whole(all->items[i], where, "id", 1, 1e9));
      if (std::find(known.begin(), known.end(), id) != known.end())
        throw fault(where + "id", "given twice");
      known.push_back(id);
      if (t.over_peers && list == std::string("members")) {
        if (!peers.at.count(id))
          throw fault(where + "id", "not among peers.members, over whose socket the owner runs");
        if (all->items[i].Find("at"))
          throw fault(where + "at",
                      "goes with a listen of the owner's own; peers.members says where each is");
        continue;
      }
      if (t.over_peers && peers.at.count(id))
        throw fault(where + "id", "is a peer's");
      auto at = loop::ReadAddress(all->items[i].GetString("at"));
      if (!at)
        throw fault(where + "at", "an address such as 127.0.0.10:7600 wanted");
      t.at.emplace(id, *at);
    }
  }
  auto among = [](const Value* list, double id) {
    return list && std::any_of(list->items.begin(), list->items.end(),
                               [&](const Value& v) { return v.GetNumber("id") == id; });
  };
  const Value *members = o.Find("members"), *places = o.Find("places"),
              *group = o.Find("group", Kind::kArray);
  if (!among(members, t.self))
    throw fault("self", "not among members");
  if (!group || (group->items.size() != 3 && group->items.size() != 5))
    throw fault("group", "3 or 5 of the members' ids wanted");
  for (const Value& g : group->items) {
    double id = g.kind == Kind::kNumber ? g.AsNumber() : 0;
    if (!among(members, id))
      throw fault("group", "holds what is not among members");
    if (std::find(t.group.begin(), t.group.end(), static_cast<std::uint32_t>(id)) != t.group.end())
      throw fault("group", "names one twice");
    t.group.push_back(static_cast<std::uint32_t>(id));
  }
  t.store = o.GetString("store");
  maybe("lease_ms", t.lease.lease, 500, 600000);
  maybe("margin_ms", t.lease.margin, 10, 60000);
  maybe("renew_ms", t.lease.renew_every, 50, 200000);
  maybe("election_ms", t.raft.election, 100, 60000);
  if (const Value* d = o.Find("drift")) {
    if (d->kind != Kind::kNumber || !(d->AsNumber() >= 0 && d->AsNumber() <= 0.2))
      throw fault("drift", "a share from 0 to 0.2 wanted");
    t.lease.drift = d->AsNumber();
  }
  t.raft.heartbeat = std::max(20.0, t.raft.election / 5);
  double acts = t.lease.lease * (1 - t.lease.drift) - t.lease.margin;
  if (!(3 * t.lease.renew_every <= acts))
    throw fault("renew_ms", "a third at most of the " +
                                std::to_string(static_cast<long long>(acts)) +
                                " ms that an owner may act for: two renewals may be lost");
  const Value* works = o.Find("works", Kind::kArray);
  if (!works || works->items.empty() || works->items.size() > owner::kMostWorks)
    throw fault("works", "1 to 64 works wanted");
  for (std::size_t i = 0; i < works->items.size(); ++i) {
    const Value& one = works->items[i];
    std::string where = "works[" + std::to_string(i) + "].";
    OwnerTerms::Work w;
    w.name = one.GetString("name");
    if (!owner::GoodName(w.name))
      throw fault(where + "name", "1 to 48 of a-z, 0-9 and dashes wanted");
    for (const auto& other : t.works)
      if (other.name == w.name)
        throw fault(where + "name", "given twice");
    if (const Value* standing = one.Find("standing")) {
      if (standing->kind != Kind::kBoolean)
        throw fault(where + "standing", "true or false wanted");
      w.standing = standing->text == "true";
    }
    if (w.standing) {
      if (one.Find("steps") || one.Find("each_ms") || one.Find("places"))
        throw fault(where + "standing", "goes without steps, each_ms and places");
      t.works.push_back(std::move(w));
      continue;
    }
    w.steps = static_cast<std::uint64_t>(whole(one, where, "steps", 1, 1e9));
    if (one.Find("each_ms"))
      w.each = whole(one, where, "each_ms", 0, 3600000);
    const Value* at = one.Find("places", Kind::kArray);
    if (!at || at->items.empty())
      throw fault(where + "places", "the ids of those who carry it out wanted");
    for (const Value& p : at->items) {
      double id = p.kind == Kind::kNumber ? p.AsNumber() : 0;
      if (!among(places, id))
        throw fault(where + "places", "holds what is not among places");
      w.places.push_back(static_cast<std::uint32_t>(id));
    }
    t.works.push_back(std::move(w));
  }
  return t;
}

Configuration ReadConfiguration(const std::string& path, const std::string& listen) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  if (!file || !(text << file.rdbuf()))
    throw std::runtime_error("configuration cannot be read: " + path);
  return ReadConfigurationText(text.str(), path, listen);
}

Configuration ReadConfigurationText(const std::string& text, const std::string& named,
                                    const std::string& listen) {
  auto all = json::Parse(text);
  if (!all || all->kind != Kind::kObject)
    throw std::runtime_error("configuration is no JSON object: " + named);
  Configuration c;
  c.name = all->GetString("name");
  c.listen = Address(listen.empty() ? Need(*all, "listen", Kind::kString).text : listen, "listen");
  c.discovery_text = Need(*all, "board", Kind::kString).text;
  c.discovery = Address(c.discovery_text, "board");
  const std::string& seed = Need(*all, "seed", Kind::kString).text;
  auto [end, fault] = std::from_chars(seed.data(), seed.data() + seed.size(), c.seed, 16);
  if (fault != std::errc{} || end != seed.data() + seed.size())
    throw std::runtime_error("seed is no hexadecimal number: " + seed);
  const Value& limits = Need(*all, "limits", Kind::kObject);
  c.memory_mb = Need(limits, "memory_mb", Kind::kNumber).AsNumber();
  double sockets = Need(limits, "sockets", Kind::kNumber).AsNumber();
  if (!(c.memory_mb >= 32 && sockets >= kLeastDescriptors && sockets <= 1e6))
    throw std::runtime_error("limits are too small to serve: 32 MB and 64 sockets are the least");
  c.descriptors = static_cast<std::size_t>(sockets);
  c.known = Need(*all, "known", Kind::kObject);
  std::string settings = settings::Dotted(Need(*all, "settings", Kind::kObject));
  c.settings = settings::ReadSettings(settings);
  c.terms = settings::ReadRoadTerms(settings);
  // The protocol: clients hold at most a third of the descriptor limit, and one request on each.
  int third = static_cast<int>(c.descriptors / 3);
  c.settings.places = c.settings.places > 0 ? std::min(c.settings.places, third) : third;
  // A list of that name is the platform's own word for the fronts' addresses, and none of ours:
  // taken for the block, it kept every front of the bench from starting.
  if (const Value* peers = all->Find("peers"); peers && peers->kind != Kind::kArray) {
    if (peers->kind != Kind::kObject)
      throw std::runtime_error("peers: an object wanted");
    c.peers = ReadPeers(*peers);
  }
  if (const Value* fleet = all->Find("fleet")) {
    if (fleet->kind != Kind::kObject)
      throw std::runtime_error("fleet: an object wanted");
    c.fleet = ReadFleet(*fleet, c.peers, c.terms.zones, c.settings.zone);
  }
  if (const Value* owner = all->Find("owner")) {
    if (owner->kind != Kind::kObject)
      throw std::runtime_error("owner: an object wanted");
    c.owner = ReadOwner(*owner, c.peers);
  }
  ReadLayer(*all, c);
  return c;
}

}  // namespace dunlinwick::front
