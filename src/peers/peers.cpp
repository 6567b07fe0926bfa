#include "peers/peers.hpp"

#include <algorithm>
#include <deque>
#include <vector>

#include "peers/wire.hpp"

namespace dunlinwick::peers {

namespace {
constexpr Ms kTickInterval = 20, kNever = 1e300;
constexpr std::size_t kFragmentsPerAcknowledgement = 32;
constexpr std::size_t kMaxOtherVersions = 64;
constexpr std::size_t IndexOf(Channel channel) {
  return static_cast<std::size_t>(channel);
}
}  // namespace

const char* ToString(Channel channel) {
  constexpr const char* kNames[kChannelCount] = {"members",  "owner", "quota",
                                                 "recovery", "rules", "record"};
  return kNames[IndexOf(channel)];
}
// Messages of members and quota fit a datagram and are useless when late.
bool AllowsLargeMessages(Channel channel) {
  return channel != Channel::kMembers && channel != Channel::kQuota;
}

struct Peers::Impl {
  // To one peer on one channel.
  struct Outgoing {
    std::deque<std::string> small;  // datagrams
    std::size_t small_bytes = 0;
    std::deque<std::string> large;  // the first is being sent
    std::size_t large_bytes = 0;
    enum class FragmentState : std::uint8_t {
      kMissing,
      kInFlight,
      kAcknowledged
    };
    std::vector<FragmentState> states;
    std::deque<std::uint32_t> missing;                 // to be sent, in order
    std::deque<std::pair<Ms, std::uint32_t>> sent_at;  // removed after `retransmit_timeout`
    std::size_t in_flight = 0;
    std::size_t acknowledged = 0;
    std::size_t most_acknowledged = 0;
    std::uint32_t message = 0;
    std::uint64_t digest = 0;
    ReceiverEpoch receiver_epoch;
    Ms progress_at = 0;
    bool HasSendable(const Settings& settings) const {
      return !small.empty() || (!missing.empty() && in_flight < settings.max_fragments_in_flight);
    }
  };
  // From one peer on one channel.
  struct Incoming {
    std::uint32_t message = 0;  // the latest that was started; those before it are finished
    bool active = false;
    bool delivered = false;
    std::string bytes;
    std::vector<bool> received;
    std::size_t count = 0;
    std::size_t unacknowledged = 0;
    std::uint64_t digest = 0;
    std::uint32_t size = 0;
    std::uint32_t starts = 0;
    Ms progress_at = 0;
    Ms acknowledged_at = -1e9;
  };
  struct Peer {
    std::uint64_t incarnation = 0;  // 0: no fragment received yet
    Ms received_at = 0;             // from this incarnation
    std::array<Outgoing, kChannelCount> outgoing;
    std::array<Incoming, kChannelCount> incoming;
  };
  struct TokenBucket {
    double tokens = 0;
    Ms refilled_at = 0;
  };

  Id self;
  Settings settings;
  std::uint64_t incarnation;
  SendDatagram send_datagram;
  Deliver deliver;
  const InjectedDefects& defects;
  std::map<Id, Peer> peers;  // at most max_peers
  std::array<TokenBucket, kChannelCount> buckets;
  std::array<Id, kChannelCount> last_served{};
  std::array<Counters, kChannelCount> counters{};
  std::map<Id, std::uint8_t> other_versions;
  std::uint64_t malformed = 0;
  std::size_t outgoing_large_bytes = 0;
  std::size_t incoming_bytes = 0;
  std::size_t outgoing_small_bytes = 0;
  Ms last_tick_at;

  Impl(Id id, Settings s, std::uint64_t own_incarnation, Ms now, SendDatagram send, Deliver d,
       const InjectedDefects& injected)
      : self(id),
        settings(s),
        incarnation(own_incarnation),
        send_datagram(std::move(send)),
        deliver(std::move(d)),
        defects(injected),
        last_tick_at(now) {
    for (std::size_t channel = 0; channel < kChannelCount; ++channel)
      buckets[channel] = {settings.budgets[channel].burst, now};
  }

  Peer* PeerFor(Id id) {
    auto found = peers.find(id);
    if (found != peers.end())
      return &found->second;
    return peers.size() < settings.max_peers ? &peers[id] : nullptr;
  }

  // ---- sending

  // Whether the channel may send now. It may overdraw its budget by one datagram, which it repays
  // before the next.
  bool HasBudget(Ms now, std::size_t channel) {
    const Budget& budget = settings.budgets[channel];
    if (budget.bytes_per_s <= 0)
      return true;
    TokenBucket& bucket = buckets[channel];
    if (now > bucket.refilled_at) {
      bucket.tokens = std::min(
          budget.burst, bucket.tokens + budget.bytes_per_s * (now - bucket.refilled_at) / 1000);
      bucket.refilled_at = now;
    }
    return bucket.tokens > 0;
  }
  void Transmit(Id to, std::size_t channel, std::string datagram) {
    buckets[channel].tokens -= static_cast<double>(datagram.size());
    ++counters[channel].sent;
    counters[channel].sent_bytes += datagram.size();
    send_datagram(to, std::move(datagram));
  }

  // Starts sending the first queued large message.
  void StartMessage(Ms now, Outgoing& out) {
    out.states.clear();
    out.missing.clear();
    out.sent_at.clear();
    out.in_flight = out.acknowledged = out.most_acknowledged = 0;
    out.receiver_epoch = {};
    if (out.large.empty())
      return;
    ++out.message;
    out.progress_at = now;
    out.digest = Digest(out.large.front());
    out.states.assign(FragmentCount(out.large.front().size()), Outgoing::FragmentState::kMissing);
    for (std::uint32_t i = 0; i < out.states.size(); ++i)
      out.missing.push_back(i);
  }
  void FinishMessage(Ms now, Outgoing& out) {
    out.large_bytes -= out.large.front().size();
    outgoing_large_bytes -= out.large.front().size();
    out.large.pop_front();
    StartMessage(now, out);
  }
  void ExpireFragments(Ms now, Outgoing& out, std::size_t channel) {
    while (!out.sent_at.empty() && out.sent_at.front().first + settings.retransmit_timeout <= now) {
      std::uint32_t i = out.sent_at.front().second;
      out.sent_at.pop_front();
      if (out.states[i] != Outgoing::FragmentState::kInFlight)
        continue;
      --out.in_flight;
      if (defects.no_retransmission)
        continue;
      out.states[i] = Outgoing::FragmentState::kMissing;
      out.missing.push_back(i);
      ++counters[channel].retransmitted;
    }
    if (!out.large.empty() && now - out.progress_at > settings.abandon_timeout) {
      ++counters[channel].abandoned;
      FinishMessage(now, out);
    }
  }
  void SendNext(Ms now, Id to, Outgoing& out, std::size_t channel) {
    if (!out.small.empty()) {
      std::string datagram = std::move(out.small.front());
      out.small.pop_front();
      out.small_bytes -= datagram.size();
      outgoing_small_bytes -= datagram.size();
      return Transmit(to, channel, std::move(datagram));
    }
    std::uint32_t i = out.missing.front();
    out.missing.pop_front();
    if (out.states[i] != Outgoing::FragmentState::kMissing)
      return;  // acknowledged while it was queued
    out.states[i] = Outgoing::FragmentState::kInFlight;
    out.sent_at.emplace_back(now, i);
    ++out.in_flight;
    const std::string& message = out.large.front();
    std::span<const char> bytes(message.data() + i * kFragmentBytes,
                                std::min(kFragmentBytes, message.size() - i * kFragmentBytes));
    Transmit(to, channel,
             Encode(static_cast<Channel>(channel), self,
                    Fragment{incarnation, out.message, static_cast<std::uint32_t>(message.size()),
                             i, out.digest, bytes}));
  }
  // Serves peers round-robin, one datagram each, while the budget allows.
  void ServeChannel(Ms now, std::size_t channel) {
    while (HasBudget(now, channel)) {
      auto has_sendable = [&](auto& entry) {
        return entry.second.outgoing[channel].HasSendable(settings);
      };
      auto next = std::find_if(peers.upper_bound(last_served[channel]), peers.end(), has_sendable);
      if (next == peers.end())
        next = std::find_if(peers.begin(), peers.end(), has_sendable);
      if (next == peers.end())
        return;
      last_served[channel] = next->first;
      SendNext(now, next->first, next->second.outgoing[channel], channel);
    }
  }

  void HandleAcknowledgement(Ms now, Outgoing& out, std::size_t channel,
                             const Acknowledgement& acknowledgement) {
    if (acknowledgement.incarnation != incarnation || out.large.empty() ||
        acknowledgement.message != out.message)
      return;  // of a finished message
    if (acknowledgement.fragments.empty())
      return FinishMessage(now, out);
    if (acknowledgement.fragments.size() != out.states.size())
      return void(++counters[channel].malformed);
    if (acknowledgement.epoch < out.receiver_epoch && !defects.ignores_restarts)
      return;  // reordered
    if (acknowledgement.epoch > out.receiver_epoch && !defects.ignores_restarts) {
      if (out.receiver_epoch != ReceiverEpoch{}) {  // the receiver lost what it had acknowledged
        if (acknowledgement.epoch.first != out.receiver_epoch.first)
          out.most_acknowledged = 0;
        out.missing.clear();
        out.sent_at.clear();
        out.in_flight = out.acknowledged = 0;
        std::fill(out.states.begin(), out.states.end(), Outgoing::FragmentState::kMissing);
        for (std::uint32_t i = 0; i < out.states.size(); ++i)
          out.missing.push_back(i);
      }
      out.receiver_epoch = acknowledgement.epoch;
    }
    for (std::size_t i = 0; i < out.states.size(); ++i) {
      if (!acknowledgement.fragments[i] || out.states[i] == Outgoing::FragmentState::kAcknowledged)
        continue;
      if (out.states[i] == Outgoing::FragmentState::kInFlight)
        --out.in_flight;
      out.states[i] = Outgoing::FragmentState::kAcknowledged;
      ++out.acknowledged;
    }
    if (out.acknowledged > out.most_acknowledged) {
      out.most_acknowledged = out.acknowledged;
      out.progress_at = now;
    }
  }

  // ---- receiving

  void Discard(Incoming& in) {
    if (in.active)
      incoming_bytes -= in.bytes.size();
    in.active = false;
    in.bytes = std::string();
    in.received.clear();
    in.count = 0;
  }
  void SendAcknowledgement(Ms now, Id to, Incoming& in, std::size_t channel) {
    in.unacknowledged = 0;
    in.acknowledged_at = now;
    Acknowledgement acknowledgement{
        peers.at(to).incarnation, in.message, {incarnation, in.starts}, {}};
    if (!in.delivered)
      acknowledgement.fragments =
          in.active ? in.received : std::vector<bool>(FragmentCount(in.size));
    Transmit(to, channel, Encode(static_cast<Channel>(channel), self, acknowledgement));
  }
  void AcknowledgeIfDue(Ms now, Id to, Incoming& in, std::size_t channel) {
    if (++in.unacknowledged >= kFragmentsPerAcknowledgement ||
        now - in.acknowledged_at >= settings.max_ack_delay)
      SendAcknowledgement(now, to, in, channel);
  }
  bool StartReceiving(Peer& from, Incoming& in, const Fragment& fragment, std::size_t channel) {
    std::size_t active = 0;
    for (Incoming& other : from.incoming)
      active += other.active && &other != &in;
    if (in.active)
      ++counters[channel].dropped;
    Discard(in);
    if (fragment.size > settings.max_message_bytes ||
        incoming_bytes + fragment.size > settings.max_held_bytes ||
        active >= settings.max_partial_messages)
      return false;
    in.message = fragment.message;
    in.digest = fragment.digest;
    in.size = fragment.size;
    in.delivered = false;
    in.active = true;
    ++in.starts;
    in.bytes.assign(fragment.size, 0);
    in.received.assign(FragmentCount(fragment.size), false);
    incoming_bytes += fragment.size;
    return true;
  }
  void HandleFragment(Ms now, Id id, std::size_t channel, const Fragment& fragment) {
    Counters& counter = counters[channel];
    Peer* from = PeerFor(id);
    if (!from)
      return void(++counter.dropped);
    // A lower incarnation after a long silence is a restart too, with a clock that was set back.
    bool silent = now - from->received_at > settings.abandon_timeout;
    if ((fragment.incarnation > from->incarnation ||
         (fragment.incarnation < from->incarnation && silent)) &&
        (!defects.ignores_restarts || from->incarnation == 0)) {
      for (Incoming& in : from->incoming) {
        if (in.active)
          ++counter.dropped;
        Discard(in);
        in.message = 0;
        in.delivered = false;
        in.unacknowledged = 0;
      }
      from->incarnation = fragment.incarnation;
    }
    if (fragment.incarnation < from->incarnation && !defects.ignores_restarts)
      return void(++counter.dropped);
    from->received_at = now;
    Incoming& in = from->incoming[channel];
    if (fragment.message < in.message)
      return void(++counter.dropped);
    bool same =
        fragment.message == in.message && fragment.digest == in.digest && fragment.size == in.size;
    if (same && in.delivered)
      return AcknowledgeIfDue(now, id, in, channel);
    if ((!same || !in.active) && !StartReceiving(*from, in, fragment, channel))
      return void(++counter.dropped);
    if (!in.received[fragment.index]) {
      in.received[fragment.index] = true;
      ++in.count;
      in.progress_at = now;
      std::copy(fragment.bytes.begin(), fragment.bytes.end(),
                in.bytes.begin() + static_cast<std::ptrdiff_t>(fragment.index * kFragmentBytes));
    }
    if (in.count < in.received.size())
      return AcknowledgeIfDue(now, id, in, channel);
    if (!defects.no_digest && Digest(in.bytes) != in.digest) {
      ++counter.malformed;
      Discard(in);
      ++in.starts;
      return SendAcknowledgement(now, id, in, channel);  // an empty bitmap: send everything again
    }
    std::string message = std::move(in.bytes);
    incoming_bytes -= message.size();
    in.active = false;
    in.delivered = true;
    in.received.clear();
    in.bytes = std::string();
    SendAcknowledgement(now, id, in, channel);
    ++counter.delivered;
    deliver(id, static_cast<Channel>(channel), message);
  }
};

Peers::Peers(Id self, Settings settings, std::uint64_t incarnation, Ms now,
             SendDatagram send_datagram, Deliver deliver)
    : impl_(std::make_unique<Impl>(self, settings, incarnation, now, std::move(send_datagram),
                                   std::move(deliver), defects)) {}
Peers::~Peers() = default;

bool Peers::Send(Ms now, Id to, Channel channel, std::string message) {
  Impl& impl = *impl_;
  std::size_t index = IndexOf(channel);
  if (to == 0 || to == impl.self || message.size() > impl.settings.max_message_bytes)
    return false;
  if (message.size() > kMaxDatagramPayload && !AllowsLargeMessages(channel))
    return false;
  Impl::Peer* peer = impl.PeerFor(to);
  if (!peer)
    return false;
  Impl::Outgoing& out = peer->outgoing[index];
  if (message.size() > kMaxDatagramPayload) {
    if (out.large_bytes + message.size() > impl.settings.max_message_bytes ||
        impl.outgoing_large_bytes + message.size() > impl.settings.max_held_bytes)
      return false;
    out.large_bytes += message.size();
    impl.outgoing_large_bytes += message.size();
    out.large.push_back(std::move(message));
    if (out.large.size() == 1)
      impl.StartMessage(now, out);
  } else {
    out.small.push_back(Encode(channel, impl.self, Kind::kComplete, message));
    out.small_bytes += out.small.back().size();
    impl.outgoing_small_bytes += out.small.back().size();
    while (out.small_bytes > impl.settings.max_queued_bytes) {
      ++impl.counters[index].dropped;
      out.small_bytes -= out.small.front().size();
      impl.outgoing_small_bytes -= out.small.front().size();
      out.small.pop_front();
    }
  }
  if (!defects.bulk_first)
    impl.ServeChannel(now, index);
  return true;
}

void Peers::Receive(Ms now, std::span<const char> datagram) {
  Impl& impl = *impl_;
  auto header = ReadHeader(datagram);
  if (!header || header->from == 0 || header->from == impl.self)
    return void(++impl.malformed);
  auto stated_channel = static_cast<unsigned char>(datagram[3]);
  if (header->version != kVersion && !defects.no_version) {
    ++impl.counters[stated_channel < kChannelCount ? stated_channel : 0].other_version;
    if (impl.other_versions.size() < kMaxOtherVersions || impl.other_versions.count(header->from))
      impl.other_versions[header->from] = header->version;
    return;
  }
  auto frame = ReadFrame(datagram, !defects.no_checksum);
  if (!frame)
    return void(++(stated_channel < kChannelCount ? impl.counters[stated_channel].malformed
                                                  : impl.malformed));
  impl.other_versions.erase(frame->from);
  std::size_t index = IndexOf(frame->channel);
  Counters& counter = impl.counters[index];
  if (frame->kind != Kind::kComplete && !AllowsLargeMessages(frame->channel))
    return void(++counter.malformed);
  if (frame->kind == Kind::kComplete) {
    ++counter.received;
    ++counter.delivered;
    return impl.deliver(frame->from, frame->channel, frame->body);
  }
  if (frame->kind == Kind::kFragment) {
    auto fragment = ReadFragment(frame->body);
    if (!fragment)
      return void(++counter.malformed);
    ++counter.received;
    return impl.HandleFragment(now, frame->from, index, *fragment);
  }
  auto acknowledgement = ReadAcknowledgement(frame->body);
  if (!acknowledgement)
    return void(++counter.malformed);
  ++counter.received;
  auto found = impl.peers.find(frame->from);
  if (found == impl.peers.end())
    return;
  impl.HandleAcknowledgement(now, found->second.outgoing[index], index, *acknowledgement);
  impl.ServeChannel(now, index);  // acknowledged fragments make room for more in flight
}

void Peers::Tick(Ms now) {
  Impl& impl = *impl_;
  impl.last_tick_at = std::max(impl.last_tick_at, now);
  for (std::size_t i = 0; i < kChannelCount; ++i) {
    std::size_t channel = defects.bulk_first ? kChannelCount - 1 - i : i;
    for (auto& [id, peer] : impl.peers) {
      impl.ExpireFragments(now, peer.outgoing[channel], channel);
      Impl::Incoming& in = peer.incoming[channel];
      if (in.active && now - in.progress_at > impl.settings.abandon_timeout) {
        ++impl.counters[channel].dropped;
        impl.Discard(in);
        in.unacknowledged = 0;
      }
      if (in.unacknowledged > 0 && now - in.acknowledged_at >= impl.settings.max_ack_delay)
        impl.SendAcknowledgement(now, id, in, channel);
    }
    impl.ServeChannel(now, channel);
  }
}

Ms Peers::WakeAt() const {
  const Impl& impl = *impl_;
  Ms earliest = kNever;
  for (const auto& [id, peer] : impl.peers)
    for (std::size_t channel = 0; channel < kChannelCount; ++channel) {
      if (!peer.outgoing[channel].small.empty() || !peer.outgoing[channel].large.empty() ||
          peer.incoming[channel].unacknowledged > 0)
        return impl.last_tick_at +
               kTickInterval;  // not from the last event: frequent events would postpone it forever
      if (peer.incoming[channel].active)
        earliest = std::min(earliest, peer.incoming[channel].progress_at +
                                          impl.settings.abandon_timeout + kTickInterval);
    }
  return earliest;
}

const Counters& Peers::counters(Channel channel) const {
  return impl_->counters[IndexOf(channel)];
}
std::uint64_t Peers::Malformed() const {
  return impl_->malformed;
}
std::map<Id, std::uint8_t> Peers::OtherVersions() const {
  return impl_->other_versions;
}
std::size_t Peers::HeldBytes() const {
  return impl_->outgoing_small_bytes + impl_->outgoing_large_bytes + impl_->incoming_bytes;
}

}  // namespace dunlinwick::peers
