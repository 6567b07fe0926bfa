#include "front/peers.hpp"

#include <algorithm>
#include <cstring>
#include <stdexcept>

#include "log/log.hpp"

namespace dunlinwick::front {

namespace {
int Opened(loop::Loop& loop, const PeersTerms& t) {
  int fd = loop.environment().OpenDatagrams(t.listen);
  if (fd < 0)
    throw std::runtime_error("peers.listen cannot be had: " + std::string(std::strerror(-fd)));
  return fd;
}
bool Is(std::span<const char> d, const char* three) {
  return d.size() == 3 && std::memcmp(d.data(), three, 3) == 0;
}
}  // namespace

// The incarnation is the clock in milliseconds: a front that starts again is newer than it was.
Peers::Peers(loop::Loop& loop, const PeersTerms& terms)
    : loop_(loop),
      self_(terms.self),
      at_(terms.at),
      socket_(loop.environment(), Opened(loop, terms)),
      peers_(
          terms.self, {}, static_cast<std::uint64_t>(loop.now()), loop.now(),
          [this](peers::Id to, std::string datagram) { SendRaw(at_.at(to), datagram); },
          [this](peers::Id from, peers::Channel channel, std::span<const char> message) {
            if (Part* p = part(channel))
              p->Heard(from, message);
          }) {
  constexpr std::size_t kLongestDatagram = 65536;
  auto take = [this](std::span<const char> datagram, const loop::Address& from) {
    Took(datagram, from);
  };
  reader_.emplace(loop_, socket_.Get(), kLongestDatagram, std::move(take), [this] { Arm(); });
  log::Write("peers: front %u of %zu on one socket", self_, at_.size());
}

Peers::~Peers() {
  loop_.Cancel(timer_);
}

void Peers::Carry(Part& part) {
  parts_.push_back(&part);
  Arm();
}

Part* Peers::part(peers::Channel channel) const {
  for (Part* p : parts_)
    if (p->channel() == channel)
      return p;
  return nullptr;
}

void Peers::Send(peers::Channel channel, peers::Id to, std::string message) {
  Sends(channel, to, std::move(message));
}
bool Peers::Sends(peers::Channel channel, peers::Id to, std::string message) {
  bool sent = at_.count(to) && peers_.Send(loop_.now(), to, channel, std::move(message));
  unsent_ += !sent;
  return sent;
}

void Peers::operators(std::function<void(std::span<const char>, Reply)> asked,
                      std::function<std::string()> status) {
  asked_ = std::move(asked);
  status_ = std::move(status);
}

void Peers::SendRaw(const loop::Address& to, const std::string& datagram) {
  if (loop_.environment().SendTo(socket_.Get(), datagram, to) < 0)
    ++unsent_;
}

void Peers::Arm() {
  Ms first = peers_.WakeAt();
  for (Part* p : parts_)
    first = std::min(first, p->WakeAt());
  loop_.Cancel(timer_);
  if (first < 1e299)
    timer_ = loop_.RunAt(first, [this] { Wake(); });
}

void Peers::Wake() {
  for (Part* p : parts_)
    if (p->WakeAt() <= loop_.now())
      p->Wake();
  if (peers_.WakeAt() <= loop_.now())
    peers_.Tick(loop_.now());
  Arm();
}

void Peers::Took(std::span<const char> d, const loop::Address& from) {
  if (Is(d, "DP?"))
    return SendRaw(from, view());
  if (Is(d, "DR?") && status_)
    return SendRaw(from, status_());
  if (asked_ && d.size() > 3 && d[0] == 'D' && d[1] == 'R' && d[2] == 1)
    return asked_(d.subspan(3),
                  [this, alive = std::weak_ptr<bool>(alive_), from](std::string answer) {
                    if (!alive.expired())
                      SendRaw(from, answer);
                  });
  for (auto [question, channel] :
       {std::pair("DW?", peers::Channel::kMembers), std::pair("DO?", peers::Channel::kOwner)})
    if (Is(d, question)) {
      if (Part* p = part(channel))
        SendRaw(from, p->view());
      return;
    }
  if (auto head = peers::ReadHead(d)) {
    if (head->from == self_ || !at_.count(head->from))
      return void(++strangers_);
    return peers_.Receive(loop_.now(), d);
  }
  Part* owner = part(peers::Channel::kOwner);
  if (owner && d.size() > 3 && d[0] == 'D' && d[1] == 'O')
    return owner->Raw(d);
  ++other_;
}

std::string Peers::view() const {
  auto n = [](const char* name, std::uint64_t count) {
    return std::string(",\"") + name + "\":" + std::to_string(count);
  };
  std::string s =
      "{\"self\":" + std::to_string(self_) + ",\"version\":" + std::to_string(peers::kVersion) +
      n("peers", at_.size()) + n("held_bytes", peers_.Held()) + n("strangers", strangers_) +
      n("junk", other_ + peers_.Junk()) + n("unsent", unsent_) + ",\"other_versions\":[";
  bool first = true;
  for (const auto& [id, v] : peers_.Others()) {
    s += std::string(first ? "" : ",") + "{\"id\":" + std::to_string(id) + n("version", v) + "}";
    first = false;
  }
  s += "],\"channels\":[";
  for (std::size_t i = 0; i < peers::kChannels; ++i) {
    auto channel = static_cast<peers::Channel>(i);
    const peers::Counters& c = peers_.counters(channel);
    s += std::string(i ? "," : "") + "{\"channel\":\"" + peers::ToString(channel) + "\"" +
         n("sent", c.sent) + n("sent_bytes", c.sent_bytes) + n("received", c.received) +
         n("delivered", c.delivered) + n("sent_again", c.sent_again) + n("dropped", c.dropped) +
         n("given_up", c.given_up) + n("junk", c.junk) + n("other_version", c.other_version) + "}";
  }
  return s + "]}";
}

}  // namespace dunlinwick::front
