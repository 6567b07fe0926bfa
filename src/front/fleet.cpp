#include "front/fleet.hpp"

#include <cerrno>
#include <cstdio>
#include <stdexcept>

#include "failover/living.hpp"
#include "log/log.hpp"
#include "members/wire.hpp"

namespace dunlinwick::front {

namespace {

std::vector<members::Id> Others(const FleetTerms& t) {
  std::vector<members::Id> ids;
  for (const FleetMember& m : t.members)
    if (m.id != t.self)
      ids.push_back(m.id);
  return ids;
}

std::map<failover::Id, failover::Place> Places(const FleetTerms& t) {
  std::map<failover::Id, failover::Place> all;
  for (const FleetMember& m : t.members)
    all[m.id] = {m.zone, t.zone_region[static_cast<std::size_t>(m.zone)]};
  return all;
}

int Opened(loop::Loop& loop, const FleetTerms& t) {
  int fd = loop.environment().OpenDatagrams(t.listen);
  if (fd < 0)
    throw std::runtime_error("fleet.listen cannot be had: " + std::to_string(-fd));
  return fd;
}

}  // namespace

// The start's incarnation is the clock in seconds: a front restarted under the same id is newer
// than it was.
Fleet::Fleet(loop::Loop& loop, const FleetTerms& terms, std::uint64_t seed,
             failover::Health& health, Steer steer, Carrier* peers)
    : loop_(loop),
      terms_(terms),
      peers_(peers),
      socket_(peers ? loop::Descriptor()
                    : loop::Descriptor(loop.environment(), Opened(loop, terms))),
      swim_(terms.self, Others(terms), static_cast<std::uint32_t>(loop.now() / 1000), terms.swim,
            seed, loop.now()),
      verdicts_(terms.self, Places(terms), terms.zone_region, terms.verdict),
      health_(health),
      steer_(std::move(steer)) {
  if (!peers_) {
    constexpr std::size_t kLongestDatagram = 1024;
    auto take = [this](std::span<const char> datagram, const loop::Address& from) {
      Took(datagram, from);
    };
    auto after_turn = [this] {
      Settle();
      Arm();
    };
    reader_.emplace(loop_, socket_.Get(), kLongestDatagram, std::move(take), std::move(after_turn));
  }
  log::Write("fleet member %u of %zu, zone %s, quorum %d", terms_.self, terms_.members.size(),
             terms_.zones[static_cast<std::size_t>(Places(terms_).at(terms_.self).zone)].c_str(),
             verdicts_.Quorum());
  Settle();
  Arm();
}

Fleet::~Fleet() {
  loop_.Cancel(timer_);
}

Ms Fleet::WakeAt() const {
  // Looked at least this often, so that the hysteresis of the verdict ends on time without
  // messages.
  constexpr loop::Ms kLongest = 100;
  return std::min(swim_.WakeAt(), looked_at_ + kLongest);
}

void Fleet::Arm() {
  looked_at_ = loop_.now();
  if (peers_)
    return;  // it asks wakeAt()
  loop_.Cancel(timer_);
  timer_ = loop_.RunAt(WakeAt(), [this] { Wake(); });
}

void Fleet::Wake() {
  std::vector<members::Message> out;
  swim_.Tick(loop_.now(), out);
  Send(out);
  Settle();
  Arm();
}

void Fleet::Send(const std::vector<members::Message>& out) {
  for (const members::Message& m : out)
    for (const FleetMember& to : terms_.members)
      if (to.id == m.to) {
        std::string bytes = members::Encode(m);
        ++sent_;
        if (peers_)
          peers_->Send(peers::Channel::kMembers, to.id, std::move(bytes));
        else
          loop_.environment().SendTo(socket_.Get(), bytes,
                                     to.at);  // lost where the system can't take it: as on a wire
      }
}

void Fleet::Took(std::span<const char> datagram, const loop::Address& from) {
  if (members::IsViewRequest(datagram)) {
    std::string text = view();
    loop_.environment().SendTo(socket_.Get(), text, from);
    return;
  }
  auto m = members::Decode(datagram);
  if (!m) {
    ++refused_;  // a peer's bytes never throw, nor reach the log
    return;
  }
  Take(*m);
}

void Fleet::Take(const members::Message& m) {
  ++received_;
  std::vector<members::Message> out;
  swim_.Receive(loop_.now(), m, out);
  Send(out);
}

void Fleet::Heard(peers::Id from, std::span<const char> bytes) {
  auto m = members::Decode(bytes);
  if (!m || m->from != from)
    return void(++refused_);
  Take(*m);
  Settle();
  Arm();
}

void Fleet::Settle() {
  for (const members::Change& c : swim_.Changes())
    if (!c.note_only)
      log::Write("fleet member %u %s incarnation %u", c.who, members::ToString(c.state),
                 c.incarnation);
  bool changed = false;
  failover::Opinion notified =
      verdicts_.Look(loop_.now(), health_.Share(), failover::Living(swim_), changed);
  if (changed) {
    const failover::Verdict& v = verdicts_.verdict();
    std::string out, shares;
    for (std::size_t z = 0; z < terms_.zones.size(); ++z) {
      if (v.out >> z & 1)
        out += (out.empty() ? "" : ",") + terms_.zones[z];
      char share[64];
      std::snprintf(share, sizeof share, "%s%s=%.2f", z ? "," : "", terms_.zones[z].c_str(),
                    v.shares[z]);
      shares += share;
    }
    log::Write("fleet verdict epoch %u out %s shares %s%s at %.0f", v.epoch,
               out.empty() ? "none" : out.c_str(), shares.c_str(), v.panic ? " panic" : "",
               loop_.now());
    if (terms_.steer) {
      std::vector<double> by_platform(terms_.platform_zones, 0);
      for (std::size_t z = 0; z < terms_.zones.size(); ++z)
        by_platform[terms_.platform_zone[z]] += v.shares[z];
      steer_(std::move(by_platform));
    }
  }
  swim_.Publish(loop_.now(), failover::Pack(notified));
}

std::string Fleet::view() const {
  const failover::Verdict& v = verdicts_.verdict();
  auto quarter = [](double x) {
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", x);
    return std::string(text);
  };
  std::string s = "{\"self\":" + std::to_string(terms_.self) + ",\"zone\":\"" +
                  terms_.zones[static_cast<std::size_t>(Places(terms_).at(terms_.self).zone)] +
                  "\",\"incarnation\":" + std::to_string(swim_.Incarnation()) +
                  ",\"health\":" + std::to_string(swim_.health()) +
                  ",\"epoch\":" + std::to_string(v.epoch) +
                  ",\"panic\":" + (v.panic ? "true" : "false") +
                  ",\"steers\":" + (terms_.steer ? "true" : "false") +
                  ",\"caches\":" + quarter(health_.Share()) + ",\"sent\":" + std::to_string(sent_) +
                  ",\"received\":" + std::to_string(received_) +
                  ",\"refused\":" + std::to_string(refused_) + ",\"out\":[";
  bool first = true;
  for (std::size_t z = 0; z < terms_.zones.size(); ++z)
    if (v.out >> z & 1) {
      s += (first ? "\"" : ",\"") + terms_.zones[z] + "\"";
      first = false;
    }
  s += "],\"zone_health\":{";
  for (std::size_t z = 0; z < terms_.zones.size(); ++z)
    s += (z ? ",\"" : "\"") + terms_.zones[z] +
         "\":" + quarter(v.health[z] / static_cast<double>(failover::kSteps));
  s += "},\"shares\":{";
  for (std::size_t z = 0; z < terms_.zones.size(); ++z) {
    s += (z ? ",\"" : "\"") + terms_.zones[z] + "\":" + quarter(v.shares[z]);
  }
  s += "},\"members\":[";
  first = true;
  for (const auto& [id, m] : swim_.Members()) {
    std::string zone;
    for (const FleetMember& f : terms_.members)
      if (f.id == id)
        zone = terms_.zones[static_cast<std::size_t>(f.zone)];
    s += std::string(first ? "" : ",") + "{\"id\":" + std::to_string(id) + ",\"state\":\"" +
         members::ToString(m.state) + "\",\"incarnation\":" + std::to_string(m.incarnation) +
         ",\"zone\":\"" + zone + "\"}";
    first = false;
  }
  return s + "]}";
}

}  // namespace dunlinwick::front
