#include "front/peers.hpp"

#include <algorithm>
#include <cstring>
#include <stdexcept>

#include "log/log.hpp"

namespace dunlinwick::front {

namespace {
int OpenSocket(loop::Loop& loop, const PeersSettings& settings) {
  int fd = loop.environment().OpenDatagrams(settings.listen);
  if (fd < 0)
    throw std::runtime_error("cannot open the socket of peers.listen: " +
                             std::string(std::strerror(-fd)));
  return fd;
}
bool IsRequest(std::span<const char> datagram, const char* request) {
  return datagram.size() == 3 && std::memcmp(datagram.data(), request, 3) == 0;
}
}  // namespace

// The incarnation is the clock in milliseconds, so that a restarted front has a higher one.
PeerSocket::PeerSocket(loop::Loop& loop, const PeersSettings& settings)
    : loop_(loop),
      self_(settings.self),
      addresses_(settings.addresses),
      socket_(loop.environment(), OpenSocket(loop, settings)),
      peers_(
          settings.self, {}, static_cast<std::uint64_t>(loop.now()), loop.now(),
          [this](peers::Id to, std::string datagram) { SendDatagram(addresses_.at(to), datagram); },
          [this](peers::Id from, peers::Channel channel, std::span<const char> message) {
            if (FleetComponent* component = ComponentOn(channel))
              component->HandleMessage(from, message);
          }) {
  constexpr std::size_t kLongestDatagram = 65536;
  auto receive = [this](std::span<const char> datagram, const loop::Address& from) {
    HandleDatagram(datagram, from);
  };
  reader_.emplace(loop_, socket_.Get(), kLongestDatagram, std::move(receive),
                  [this] { ArmTimer(); });
  log::Write("peers: front %u of %zu on one socket", self_, addresses_.size());
}

PeerSocket::~PeerSocket() {
  loop_.Cancel(timer_);
}

void PeerSocket::Register(FleetComponent& component) {
  components_.push_back(&component);
  ArmTimer();
}

FleetComponent* PeerSocket::ComponentOn(peers::Channel channel) const {
  for (FleetComponent* component : components_)
    if (component->channel() == channel)
      return component;
  return nullptr;
}

void PeerSocket::Send(peers::Channel channel, peers::Id to, std::string message) {
  TrySend(channel, to, std::move(message));
}
bool PeerSocket::TrySend(peers::Channel channel, peers::Id to, std::string message) {
  bool sent = addresses_.count(to) && peers_.Send(loop_.now(), to, channel, std::move(message));
  unsent_ += !sent;
  return sent;
}

void PeerSocket::SetOperatorHandlers(
    std::function<void(std::span<const char>, Reply)> handle_request,
    std::function<std::string()> status) {
  handle_request_ = std::move(handle_request);
  status_ = std::move(status);
}

void PeerSocket::SendDatagram(const loop::Address& to, const std::string& datagram) {
  if (loop_.environment().SendTo(socket_.Get(), datagram, to) < 0)
    ++unsent_;
}

void PeerSocket::ArmTimer() {
  Ms earliest = peers_.WakeAt();
  for (FleetComponent* component : components_)
    earliest = std::min(earliest, component->NextTimerAt());
  loop_.Cancel(timer_);
  if (earliest < 1e299)
    timer_ = loop_.RunAt(earliest, [this] { HandleTimer(); });
}

void PeerSocket::HandleTimer() {
  for (FleetComponent* component : components_)
    if (component->NextTimerAt() <= loop_.now())
      component->HandleTimer();
  if (peers_.WakeAt() <= loop_.now())
    peers_.Tick(loop_.now());
  ArmTimer();
}

void PeerSocket::HandleDatagram(std::span<const char> datagram, const loop::Address& from) {
  if (IsRequest(datagram, "DP?"))
    return SendDatagram(from, StatusJson());
  if (IsRequest(datagram, "DR?") && status_)
    return SendDatagram(from, status_());
  if (handle_request_ && datagram.size() > 3 && datagram[0] == 'D' && datagram[1] == 'R' &&
      datagram[2] == 1)
    return handle_request_(datagram.subspan(3),
                           [this, alive = std::weak_ptr<bool>(alive_), from](std::string answer) {
                             if (!alive.expired())
                               SendDatagram(from, answer);
                           });
  for (auto [request, channel] :
       {std::pair("DW?", peers::Channel::kMembers), std::pair("DO?", peers::Channel::kOwner)})
    if (IsRequest(datagram, request)) {
      if (FleetComponent* component = ComponentOn(channel))
        SendDatagram(from, component->StatusJson());
      return;
    }
  if (auto head = peers::ReadHeader(datagram)) {
    if (head->from == self_ || !addresses_.count(head->from))
      return void(++unknown_senders_);
    return peers_.Receive(loop_.now(), datagram);
  }
  FleetComponent* owner = ComponentOn(peers::Channel::kOwner);
  if (owner && datagram.size() > 3 && datagram[0] == 'D' && datagram[1] == 'O')
    return owner->HandleRawDatagram(datagram);
  ++malformed_;
}

std::string PeerSocket::StatusJson() const {
  auto field = [](const char* name, std::uint64_t count) {
    return std::string(",\"") + name + "\":" + std::to_string(count);
  };
  std::string json =
      "{\"self\":" + std::to_string(self_) + ",\"version\":" + std::to_string(peers::kVersion) +
      field("peers", addresses_.size()) + field("held_bytes", peers_.HeldBytes()) +
      field("strangers", unknown_senders_) + field("junk", malformed_ + peers_.Malformed()) +
      field("unsent", unsent_) + ",\"other_versions\":[";
  bool first = true;
  for (const auto& [id, version] : peers_.OtherVersions()) {
    json += std::string(first ? "" : ",") + "{\"id\":" + std::to_string(id) +
            field("version", version) + "}";
    first = false;
  }
  json += "],\"channels\":[";
  for (std::size_t i = 0; i < peers::kChannelCount; ++i) {
    auto channel = static_cast<peers::Channel>(i);
    const peers::Counters& c = peers_.counters(channel);
    json += std::string(i ? "," : "") + "{\"channel\":\"" + peers::ToString(channel) + "\"" +
            field("sent", c.sent) + field("sent_bytes", c.sent_bytes) +
            field("received", c.received) + field("delivered", c.delivered) +
            field("sent_again", c.retransmitted) + field("dropped", c.dropped) +
            field("given_up", c.abandoned) + field("junk", c.malformed) +
            field("other_version", c.other_version) + "}";
  }
  return json + "]}";
}

}  // namespace dunlinwick::front
