#include "front/fleet.hpp"

#include <cerrno>
#include <cstdio>
#include <stdexcept>

#include "failover/living.hpp"
#include "log/log.hpp"
#include "members/wire.hpp"

namespace dunlinwick::front {

namespace {

std::vector<members::Id> Others(const FleetSettings& settings) {
  std::vector<members::Id> ids;
  for (const FleetMember& member : settings.members)
    if (member.id != settings.self)
      ids.push_back(member.id);
  return ids;
}

// Each member's zone and region.
std::map<failover::Id, failover::Location> Locations(const FleetSettings& settings) {
  std::map<failover::Id, failover::Location> locations;
  for (const FleetMember& member : settings.members)
    locations[member.id] = {member.zone,
                            settings.zone_region[static_cast<std::size_t>(member.zone)]};
  return locations;
}

int OpenSocket(loop::Loop& loop, const FleetSettings& settings) {
  int fd = loop.environment().OpenDatagrams(settings.listen);
  if (fd < 0)
    throw std::runtime_error("cannot open the socket of fleet.listen: errno " +
                             std::to_string(-fd));
  return fd;
}

}  // namespace

// The first incarnation is the clock in seconds, so that a front restarted under the same id has a
// higher one.
MembershipComponent::MembershipComponent(loop::Loop& loop, const FleetSettings& settings,
                                         std::uint64_t seed, failover::ZoneCacheHealth& health,
                                         TrafficWeightsCallback set_traffic_weights,
                                         MessageSender* peers)
    : loop_(loop),
      settings_(settings),
      peers_(peers),
      socket_(peers ? loop::Descriptor()
                    : loop::Descriptor(loop.environment(), OpenSocket(loop, settings))),
      swim_(settings.self, Others(settings), static_cast<std::uint32_t>(loop.now() / 1000),
            settings.swim, seed, loop.now()),
      failover_(settings.self, Locations(settings), settings.zone_region,
                settings.failover_settings),
      health_(health),
      set_traffic_weights_(std::move(set_traffic_weights)) {
  if (!peers_) {
    constexpr std::size_t kLongestDatagram = 1024;
    auto receive = [this](std::span<const char> datagram, const loop::Address& from) {
      HandleDatagram(datagram, from);
    };
    auto after_turn = [this] {
      Evaluate();
      ArmTimer();
    };
    reader_.emplace(loop_, socket_.Get(), kLongestDatagram, std::move(receive),
                    std::move(after_turn));
  }
  log::Write("fleet member %u of %zu, zone %s, quorum %d", settings_.self, settings_.members.size(),
             settings_.zones[static_cast<std::size_t>(Locations(settings_).at(settings_.self).zone)]
                 .c_str(),
             failover_.Quorum());
  Evaluate();
  ArmTimer();
}

MembershipComponent::~MembershipComponent() {
  loop_.Cancel(timer_);
}

Ms MembershipComponent::NextTimerAt() const {
  // Evaluated at least this often, so that the hysteresis of the failover decision ends on time
  // without messages.
  constexpr loop::Ms kMaxInterval = 100;
  return std::min(swim_.WakeAt(), evaluated_at_ + kMaxInterval);
}

void MembershipComponent::ArmTimer() {
  evaluated_at_ = loop_.now();
  if (peers_)
    return;  // the peers' socket calls NextTimerAt()
  loop_.Cancel(timer_);
  timer_ = loop_.RunAt(NextTimerAt(), [this] { HandleTimer(); });
}

void MembershipComponent::HandleTimer() {
  std::vector<members::Message> messages;
  swim_.Tick(loop_.now(), messages);
  Send(messages);
  Evaluate();
  ArmTimer();
}

void MembershipComponent::Send(const std::vector<members::Message>& messages) {
  for (const members::Message& message : messages)
    for (const FleetMember& to : settings_.members)
      if (to.id == message.to) {
        std::string bytes = members::Encode(message);
        ++sent_;
        if (peers_)
          peers_->Send(peers::Channel::kMembers, to.id, std::move(bytes));
        else
          loop_.environment().SendTo(
              socket_.Get(), bytes,
              to.address);  // lost if the system refuses it, as on the network
      }
}

void MembershipComponent::HandleDatagram(std::span<const char> datagram,
                                         const loop::Address& from) {
  if (members::IsViewRequest(datagram)) {
    std::string status = StatusJson();
    loop_.environment().SendTo(socket_.Get(), status, from);
    return;
  }
  auto message = members::Decode(datagram);
  if (!message) {
    ++malformed_;  // a peer's bytes never throw and never reach the log
    return;
  }
  Receive(*message);
}

void MembershipComponent::Receive(const members::Message& message) {
  ++received_;
  std::vector<members::Message> messages;
  swim_.Receive(loop_.now(), message, messages);
  Send(messages);
}

void MembershipComponent::HandleMessage(peers::Id from, std::span<const char> bytes) {
  auto message = members::Decode(bytes);
  if (!message || message->from != from)
    return void(++malformed_);
  Receive(*message);
  Evaluate();
  ArmTimer();
}

void MembershipComponent::Evaluate() {
  for (const members::Change& change : swim_.TakeChanges())
    if (!change.payload_only)
      log::Write("fleet member %u %s incarnation %u", change.member,
                 members::ToString(change.state), change.incarnation);
  bool changed = false;
  failover::ZoneHealthObservation observation = failover_.Evaluate(
      loop_.now(), health_.UsableShare(), failover::AliveMembers(swim_), changed);
  if (changed) {
    const failover::FailoverDecision& decision = failover_.decision();
    std::string zones_out, weights;
    for (std::size_t z = 0; z < settings_.zones.size(); ++z) {
      if (decision.unavailable_zones >> z & 1)
        zones_out += (zones_out.empty() ? "" : ",") + settings_.zones[z];
      char weight[64];
      std::snprintf(weight, sizeof weight, "%s%s=%.2f", z ? "," : "", settings_.zones[z].c_str(),
                    decision.traffic_weights[z]);
      weights += weight;
    }
    log::Write("fleet verdict epoch %u out %s shares %s%s at %.0f", decision.epoch,
               zones_out.empty() ? "none" : zones_out.c_str(), weights.c_str(),
               decision.panic ? " panic" : "", loop_.now());
    if (settings_.steer) {
      std::vector<double> by_platform(settings_.platform_zone_count, 0);
      for (std::size_t z = 0; z < settings_.zones.size(); ++z)
        by_platform[settings_.platform_zones[z]] += decision.traffic_weights[z];
      set_traffic_weights_(std::move(by_platform));
    }
  }
  swim_.Publish(loop_.now(), failover::Pack(observation));
}

std::string MembershipComponent::StatusJson() const {
  const failover::FailoverDecision& decision = failover_.decision();
  auto two_decimals = [](double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", value);
    return std::string(text);
  };
  std::string json =
      "{\"self\":" + std::to_string(settings_.self) + ",\"zone\":\"" +
      settings_.zones[static_cast<std::size_t>(Locations(settings_).at(settings_.self).zone)] +
      "\",\"incarnation\":" + std::to_string(swim_.Incarnation()) +
      ",\"health\":" + std::to_string(swim_.health()) +
      ",\"epoch\":" + std::to_string(decision.epoch) +
      ",\"panic\":" + (decision.panic ? "true" : "false") +
      ",\"steers\":" + (settings_.steer ? "true" : "false") +
      ",\"caches\":" + two_decimals(health_.UsableShare()) + ",\"sent\":" + std::to_string(sent_) +
      ",\"received\":" + std::to_string(received_) + ",\"refused\":" + std::to_string(malformed_) +
      ",\"out\":[";
  bool first = true;
  for (std::size_t z = 0; z < settings_.zones.size(); ++z)
    if (decision.unavailable_zones >> z & 1) {
      json += (first ? "\"" : ",\"") + settings_.zones[z] + "\"";
      first = false;
    }
  json += "],\"zone_health\":{";
  for (std::size_t z = 0; z < settings_.zones.size(); ++z)
    json += (z ? ",\"" : "\"") + settings_.zones[z] +
            "\":" + two_decimals(decision.health[z] / static_cast<double>(failover::kHealthSteps));
  json += "},\"shares\":{";
  for (std::size_t z = 0; z < settings_.zones.size(); ++z) {
    json +=
        (z ? ",\"" : "\"") + settings_.zones[z] + "\":" + two_decimals(decision.traffic_weights[z]);
  }
  json += "},\"members\":[";
  first = true;
  for (const auto& [id, member] : swim_.Members()) {
    std::string zone;
    for (const FleetMember& configured : settings_.members)
      if (configured.id == id)
        zone = settings_.zones[static_cast<std::size_t>(configured.zone)];
    json += std::string(first ? "" : ",") + "{\"id\":" + std::to_string(id) + ",\"state\":\"" +
            members::ToString(member.state) +
            "\",\"incarnation\":" + std::to_string(member.incarnation) + ",\"zone\":\"" + zone +
            "\"}";
    first = false;
  }
  return json + "]}";
}

}  // namespace dunlinwick::front
