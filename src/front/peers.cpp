#include "front/peers.hpp"

#include <algorithm>
#include <cstring>
#include <stdexcept>

#include "log/log.hpp"

namespace dunlinwick::front {

namespace {
int opened(loop::Loop& loop, const PeersTerms& t) {
  int fd = loop.ground().openDatagrams(t.listen);
  if (fd < 0) throw std::runtime_error("peers.listen cannot be had: " + std::string(std::strerror(-fd)));
  return fd;
}
bool is(std::span<const char> d, const char* three) { return d.size() == 3 && std::memcmp(d.data(), three, 3) == 0; }
}  // namespace

// The incarnation is the clock in milliseconds: a front that starts again is newer than it was.
Peers::Peers(loop::Loop& loop, const PeersTerms& terms)
    : loop_(loop),
      self_(terms.self),
      at_(terms.at),
      socket_(loop.ground(), opened(loop, terms)),
      peers_(terms.self, {}, static_cast<std::uint64_t>(loop.now()), loop.now(),
             [this](peers::Id to, std::string datagram) { sendRaw(at_.at(to), datagram); },
             [this](peers::Id from, peers::Channel channel, std::span<const char> message) {
               if (Part* p = part(channel)) p->heard(from, message);
             }) {
  constexpr std::size_t kLongestDatagram = 65536;
  auto take = [this](std::span<const char> datagram, const loop::Address& from) { took(datagram, from); };
  reader_.emplace(loop_, socket_.get(), kLongestDatagram, std::move(take), [this] { arm(); });
  log::say("peers: front %u of %zu on one socket", self_, at_.size());
}

Peers::~Peers() { loop_.cancel(timer_); }

void Peers::carry(Part& part) {
  parts_.push_back(&part);
  arm();
}

Part* Peers::part(peers::Channel channel) const {
  for (Part* p : parts_)
    if (p->channel() == channel) return p;
  return nullptr;
}

void Peers::send(peers::Channel channel, peers::Id to, std::string message) { sends(channel, to, std::move(message)); }
bool Peers::sends(peers::Channel channel, peers::Id to, std::string message) {
  bool sent = at_.count(to) && peers_.send(loop_.now(), to, channel, std::move(message));
  unsent_ += !sent;
  return sent;
}

void Peers::operators(std::function<void(std::span<const char>, Reply)> asked, std::function<std::string()> status) {
  asked_ = std::move(asked), status_ = std::move(status);
}

void Peers::sendRaw(const loop::Address& to, const std::string& datagram) {
  if (loop_.ground().sendTo(socket_.get(), datagram, to) < 0) ++unsent_;
}

void Peers::arm() {
  Ms first = peers_.wakeAt();
  for (Part* p : parts_) first = std::min(first, p->wakeAt());
  loop_.cancel(timer_);
  if (first < 1e299) timer_ = loop_.at(first, [this] { wake(); });
}

void Peers::wake() {
  for (Part* p : parts_)
    if (p->wakeAt() <= loop_.now()) p->wake();
  if (peers_.wakeAt() <= loop_.now()) peers_.tick(loop_.now());
  arm();
}

void Peers::took(std::span<const char> d, const loop::Address& from) {
  if (is(d, "DP?")) return sendRaw(from, view());
  if (is(d, "DR?") && status_) return sendRaw(from, status_());
  if (asked_ && d.size() > 3 && d[0] == 'D' && d[1] == 'R' && d[2] == 1)
    return asked_(d.subspan(3), [this, alive = std::weak_ptr<bool>(alive_), from](std::string answer) {
      if (!alive.expired()) sendRaw(from, answer);
    });
  for (auto [question, channel] : {std::pair("DW?", peers::Channel::members), std::pair("DO?", peers::Channel::owner)})
    if (is(d, question)) {
      if (Part* p = part(channel)) sendRaw(from, p->view());
      return;
    }
  if (auto head = peers::head(d)) {
    if (head->from == self_ || !at_.count(head->from)) return void(++strangers_);
    return peers_.receive(loop_.now(), d);
  }
  Part* owner = part(peers::Channel::owner);
  if (owner && d.size() > 3 && d[0] == 'D' && d[1] == 'O') return owner->raw(d);
  ++other_;
}

std::string Peers::view() const {
  auto n = [](const char* name, std::uint64_t count) { return std::string(",\"") + name + "\":" + std::to_string(count); };
  std::string s = "{\"self\":" + std::to_string(self_) + ",\"version\":" + std::to_string(peers::version) + n("peers", at_.size()) +
                  n("held_bytes", peers_.held()) + n("strangers", strangers_) + n("junk", other_ + peers_.junk()) + n("unsent", unsent_) +
                  ",\"other_versions\":[";
  bool first = true;
  for (const auto& [id, v] : peers_.others()) {
    s += std::string(first ? "" : ",") + "{\"id\":" + std::to_string(id) + n("version", v) + "}";
    first = false;
  }
  s += "],\"channels\":[";
  for (std::size_t i = 0; i < peers::channels; ++i) {
    auto channel = static_cast<peers::Channel>(i);
    const peers::Counters& c = peers_.counters(channel);
    s += std::string(i ? "," : "") + "{\"channel\":\"" + peers::word(channel) + "\"" + n("sent", c.sent) + n("sent_bytes", c.sentBytes) +
         n("received", c.received) + n("delivered", c.delivered) + n("sent_again", c.sentAgain) + n("dropped", c.dropped) +
         n("given_up", c.givenUp) + n("junk", c.junk) + n("other_version", c.otherVersion) + "}";
  }
  return s + "]}";
}

}  // namespace dunlinwick::front
