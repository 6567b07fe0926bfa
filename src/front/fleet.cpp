#include "front/fleet.hpp"

#include <cerrno>
#include <cstdio>
#include <stdexcept>

#include "failover/living.hpp"
#include "members/wire.hpp"
#include "log/log.hpp"

namespace dunlinwick::front {

namespace {

std::vector<members::Id> others(const FleetTerms& t) {
  std::vector<members::Id> ids;
  for (const FleetMember& m : t.members)
    if (m.id != t.self) ids.push_back(m.id);
  return ids;
}

std::map<failover::Id, failover::Place> places(const FleetTerms& t) {
  std::map<failover::Id, failover::Place> all;
  for (const FleetMember& m : t.members) all[m.id] = {m.zone, t.zoneRegion[static_cast<std::size_t>(m.zone)]};
  return all;
}

int opened(loop::Loop& loop, const FleetTerms& t) {
  int fd = loop.ground().openDatagrams(t.listen);
  if (fd < 0) throw std::runtime_error("fleet.listen cannot be had: " + std::to_string(-fd));
  return fd;
}

}  // namespace

// The start's incarnation is the clock in seconds: a front restarted under the same id is newer than it was.
Fleet::Fleet(loop::Loop& loop, const FleetTerms& terms, std::uint64_t seed, failover::Health& health, Steer steer,
             Carrier* peers)
    : loop_(loop),
      terms_(terms),
      peers_(peers),
      socket_(peers ? loop::Descriptor() : loop::Descriptor(loop.ground(), opened(loop, terms))),
      swim_(terms.self, others(terms), static_cast<std::uint32_t>(loop.now() / 1000), terms.swim, seed, loop.now()),
      verdicts_(terms.self, places(terms), terms.zoneRegion, terms.verdict),
      health_(health),
      steer_(std::move(steer)) {
  if (!peers_) {
    constexpr std::size_t kLongestDatagram = 1024;
    auto take = [this](std::span<const char> datagram, const loop::Address& from) { took(datagram, from); };
    auto after_turn = [this] {
      settle();
      arm();
    };
    reader_.emplace(loop_, socket_.get(), kLongestDatagram, std::move(take), std::move(after_turn));
  }
  log::say("fleet member %u of %zu, zone %s, quorum %d", terms_.self, terms_.members.size(),
           terms_.zones[static_cast<std::size_t>(places(terms_).at(terms_.self).zone)].c_str(), verdicts_.quorum());
  settle();
  arm();
}

Fleet::~Fleet() { loop_.cancel(timer_); }

Ms Fleet::wakeAt() const {
  // Looked at least this often, so that the hysteresis of the verdict ends on time without messages.
  constexpr loop::Ms longest = 100;
  return std::min(swim_.wakeAt(), lookedAt_ + longest);
}

void Fleet::arm() {
  lookedAt_ = loop_.now();
  if (peers_) return;  // it asks wakeAt()
  loop_.cancel(timer_);
  timer_ = loop_.at(wakeAt(), [this] { wake(); });
}

void Fleet::wake() {
  std::vector<members::Message> out;
  swim_.tick(loop_.now(), out);
  send(out);
  settle();
  arm();
}

void Fleet::send(const std::vector<members::Message>& out) {
  for (const members::Message& m : out)
    for (const FleetMember& to : terms_.members)
      if (to.id == m.to) {
        std::string bytes = members::encode(m);
        ++sent_;
        if (peers_) peers_->send(peers::Channel::members, to.id, std::move(bytes));
        else loop_.ground().sendTo(socket_.get(), bytes, to.at);  // lost where the system can't take it: as on a wire
      }
}

void Fleet::took(std::span<const char> datagram, const loop::Address& from) {
  if (members::isViewRequest(datagram)) {
    std::string text = view();
    loop_.ground().sendTo(socket_.get(), text, from);
    return;
  }
  auto m = members::decode(datagram);
  if (!m) {
    ++refused_;  // a peer's bytes never throw, nor reach the log
    return;
  }
  take(*m);
}

void Fleet::take(const members::Message& m) {
  ++received_;
  std::vector<members::Message> out;
  swim_.receive(loop_.now(), m, out);
  send(out);
}

void Fleet::heard(peers::Id from, std::span<const char> bytes) {
  auto m = members::decode(bytes);
  if (!m || m->from != from) return void(++refused_);
  take(*m);
  settle();
  arm();
}

void Fleet::settle() {
  for (const members::Change& c : swim_.changes())
    if (!c.noteOnly) log::say("fleet member %u %s incarnation %u", c.who, members::word(c.state), c.incarnation);
  bool changed = false;
  failover::Opinion told = verdicts_.look(loop_.now(), health_.share(), failover::living(swim_), changed);
  if (changed) {
    const failover::Verdict& v = verdicts_.verdict();
    std::string out, shares;
    for (std::size_t z = 0; z < terms_.zones.size(); ++z) {
      if (v.out >> z & 1) out += (out.empty() ? "" : ",") + terms_.zones[z];
      char share[64];
      std::snprintf(share, sizeof share, "%s%s=%.2f", z ? "," : "", terms_.zones[z].c_str(), v.shares[z]);
      shares += share;
    }
    log::say("fleet verdict epoch %u out %s shares %s%s at %.0f", v.epoch, out.empty() ? "none" : out.c_str(),
             shares.c_str(), v.panic ? " panic" : "", loop_.now());
    if (terms_.steer) {
      std::vector<double> byPlatform(terms_.platformZones, 0);
      for (std::size_t z = 0; z < terms_.zones.size(); ++z) byPlatform[terms_.platformZone[z]] += v.shares[z];
      steer_(std::move(byPlatform));
    }
  }
  swim_.publish(loop_.now(), failover::pack(told));
}

std::string Fleet::view() const {
  const failover::Verdict& v = verdicts_.verdict();
  auto quarter = [](double x) {
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", x);
    return std::string(text);
  };
  std::string s = "{\"self\":" + std::to_string(terms_.self) + ",\"zone\":\"" +
                  terms_.zones[static_cast<std::size_t>(places(terms_).at(terms_.self).zone)] + "\",\"incarnation\":" +
                  std::to_string(swim_.incarnation()) + ",\"health\":" + std::to_string(swim_.health()) +
                  ",\"epoch\":" + std::to_string(v.epoch) + ",\"panic\":" + (v.panic ? "true" : "false") +
                  ",\"steers\":" + (terms_.steer ? "true" : "false") + ",\"caches\":" + quarter(health_.share()) +
                  ",\"sent\":" + std::to_string(sent_) + ",\"received\":" + std::to_string(received_) +
                  ",\"refused\":" + std::to_string(refused_) + ",\"out\":[";
  bool first = true;
  for (std::size_t z = 0; z < terms_.zones.size(); ++z)
    if (v.out >> z & 1) s += (first ? "\"" : ",\"") + terms_.zones[z] + "\"", first = false;
  s += "],\"zone_health\":{";
  for (std::size_t z = 0; z < terms_.zones.size(); ++z)
    s += (z ? ",\"" : "\"") + terms_.zones[z] + "\":" + quarter(v.health[z] / static_cast<double>(failover::steps));
  s += "},\"shares\":{";
  for (std::size_t z = 0; z < terms_.zones.size(); ++z) {
    s += (z ? ",\"" : "\"") + terms_.zones[z] + "\":" + quarter(v.shares[z]);
  }
  s += "},\"members\":[";
  first = true;
  for (const auto& [id, m] : swim_.members()) {
    std::string zone;
    for (const FleetMember& f : terms_.members)
      if (f.id == id) zone = terms_.zones[static_cast<std::size_t>(f.zone)];
    s += std::string(first ? "" : ",") + "{\"id\":" + std::to_string(id) + ",\"state\":\"" + members::word(m.state) +
         "\",\"incarnation\":" + std::to_string(m.incarnation) + ",\"zone\":\"" + zone + "\"}";
    first = false;
  }
  return s + "]}";
}

}  // namespace dunlinwick::front
