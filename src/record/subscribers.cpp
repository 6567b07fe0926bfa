#include "record/subscribers.hpp"

#include <xxhash.h>

#include <algorithm>
#include <random>

#include "record/wire.hpp"

namespace dunlinwick::record {

namespace {
constexpr std::size_t kMaxPositions = 65536;
std::size_t SizeOf(const Entry& e) {
  return e.key.size() + e.value.size() + 40;
}
}  // namespace

std::uint64_t Digest(const SubscriptionResponse& p) {
  std::string bytes;
  auto number = [&](std::uint64_t v) {
    for (int k = 0; k < 8; ++k)
      bytes.push_back(static_cast<char>(v >> (8 * k)));
  };
  number(p.sequence);
  number(p.after);
  number(p.up_to);
  number(p.committed);
  number(p.snapshot_end);
  number(p.tombstone_horizon);
  number(p.leader_silence_ms);
  number(p.start_over);
  for (const Entry& e : p.entries)
    number(Digest(e));
  return XXH64(bytes.data(), bytes.size(), 1);
}

std::string Encode(const SubscriberMessage& s) {
  proto::record::Message m;
  if (const auto* w = std::get_if<SubscriptionRequest>(&s)) {
    auto* to = m.mutable_want();
    to->set_subscriber(w->subscriber);
    to->set_life(w->incarnation);
    to->set_number(w->sequence);
    to->set_after(w->after);
    to->set_streams(w->stream_mask);
    to->set_clean(w->clean_horizon);
  } else if (const auto* p = std::get_if<SubscriptionResponse>(&s)) {
    auto* to = m.mutable_piece();
    to->set_number(p->sequence);
    to->set_after(p->after);
    to->set_up_to(p->up_to);
    to->set_committed(p->committed);
    to->set_snapshot(p->snapshot_end);
    to->set_forgotten(p->tombstone_horizon);
    to->set_age(p->leader_silence_ms);
    to->set_start_over(p->start_over);
    to->set_digest(p->digest);
    for (const Entry& e : p->entries)
      ToProto(e, to->add_entries());
  } else {
    auto* to = m.mutable_lease();
    for (const auto& [id, offset] : std::get<LeasedPositions>(s).positions) {
      auto* one = to->add_positions();
      one->set_subscriber(id);
      one->set_offset(offset);
    }
  }
  return m.SerializeAsString();
}

std::optional<SubscriberMessage> DecodeSubscriberMessage(std::span<const char> bytes) {
  proto::record::Message m;
  if (bytes.size() > (1u << 20) || !m.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return std::nullopt;
  if (m.has_want()) {
    const auto& w = m.want();
    if (w.subscriber() == 0 || w.number() == 0 || w.streams() == 0)
      return std::nullopt;
    return SubscriptionRequest{w.subscriber(), w.life(),    w.number(),
                               w.after(),      w.streams(), w.clean()};
  }
  if (m.has_piece()) {
    const auto& w = m.piece();
    SubscriptionResponse p;
    p.sequence = w.number();
    p.after = w.after();
    p.up_to = w.up_to();
    p.committed = w.committed();
    p.snapshot_end = w.snapshot();
    p.tombstone_horizon = w.forgotten();
    p.leader_silence_ms = w.age();
    p.start_over = w.start_over();
    p.digest = w.digest();
    for (const auto& one : w.entries()) {
      auto e = FromProto(one);
      if (!e)
        return std::nullopt;
      p.entries.push_back(std::move(*e));
    }
    return p;
  }
  if (m.has_lease()) {
    if (m.lease().positions_size() > static_cast<int>(kMaxPositions))
      return std::nullopt;
    LeasedPositions l;
    for (const auto& one : m.lease().positions())
      l.positions.emplace_back(one.subscriber(), one.offset());
    return l;
  }
  return std::nullopt;
}

// ---- a keeper's side

struct SubscriptionServer::Impl {
  struct Subscription {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    Offset position = 0;
    Offset snapshot_end = 0;
    Ms lease_ends_at = 0;
  };
  Log& log;
  SubscriberSettings settings;
  std::map<std::uint64_t, Subscription> subscriptions;

  void RemoveExpired(Ms now) {
    for (auto i = subscriptions.begin(); i != subscriptions.end();)
      i = i->second.lease_ends_at <= now ? subscriptions.erase(i) : std::next(i);
  }
  // From `after` to `limit`, the streams asked for: how far it came goes into the piece.
  void FillResponse(SubscriptionResponse& p, Offset limit, std::uint32_t mask) const {
    std::size_t used = 0;
    for (int reads = 0; reads < 8 && p.up_to < limit;
         ++reads) {  // a few, where most are of other streams
      Offset reached = p.up_to;
      std::vector<Entry> some = log.Read(p.up_to, limit, settings.batch_bytes, &reached);
      for (Entry& e : some) {
        if ((mask >> static_cast<unsigned>(e.stream) & 1) == 0)
          continue;
        if (!p.entries.empty() && used + SizeOf(e) > settings.batch_bytes) {
          p.up_to = e.offset - 1;
          return;
        }
        used += SizeOf(e);
        p.entries.push_back(std::move(e));
      }
      if (reached == p.up_to)
        return;  // a hole
      p.up_to = reached;
    }
  }
};

SubscriptionServer::SubscriptionServer(Log& log, SubscriberSettings terms, Ms)
    : impl_(std::make_shared<Impl>(Impl{log, terms, {}})) {}

std::optional<SubscriptionResponse> SubscriptionServer::HandleRequest(Ms now,
                                                                      const SubscriptionRequest& w,
                                                                      std::uint64_t age) {
  Impl& in = *impl_;
  if (!in.log.IsComplete())
    return std::nullopt;
  in.RemoveExpired(now);
  auto i = in.subscriptions.find(w.subscriber);
  if (i == in.subscriptions.end()) {
    if (in.subscriptions.size() >= in.settings.max_subscribers)
      return std::nullopt;
    i = in.subscriptions.emplace(w.subscriber, Impl::Subscription{}).first;
  } else if (w.incarnation < i->second.incarnation ||
             (w.incarnation == i->second.incarnation && w.sequence <= i->second.sequence)) {
    return std::nullopt;
  }
  Impl::Subscription& one = i->second;
  if (one.incarnation != w.incarnation)
    one = {};
  const LogMetadata& head = in.log.metadata();
  one.incarnation = w.incarnation;
  one.sequence = w.sequence;
  one.position = w.after;
  one.lease_ends_at = now + in.settings.lease;
  SubscriptionResponse p;
  p.sequence = w.sequence;
  p.after = p.up_to = w.after;
  p.committed = head.committed;
  p.tombstone_horizon = head.tombstone_horizon;
  p.leader_silence_ms = age;
  if (w.after == 0) {
    one.snapshot_end = head.committed;
  } else if (w.after < head.tombstone_horizon && w.clean_horizon < head.tombstone_horizon &&
             !in.settings.defects.resume_behind_horizon) {
    // Whatever became of its lease: it may hold what a tombstone that is no more took away. (One
    // that began after that was let go may well be below it still: a record's oldest live entries
    // are, and it never saw what was hidden.)
    p.start_over = true;
    one.position = 0;
    one.snapshot_end = 0;
  }
  if (!p.start_over) {
    bool joins = w.after < one.snapshot_end;
    if (joins)
      p.snapshot_end = one.snapshot_end;
    in.FillResponse(p, joins ? one.snapshot_end : head.committed, w.stream_mask);
    if (in.settings.defects.gap_after_snapshot && joins && p.up_to == one.snapshot_end)
      p.up_to = head.committed;
  }
  p.digest = Digest(p);
  return p;
}

LeasedPositions SubscriptionServer::ActivePositions(Ms now) const {
  LeasedPositions l;
  for (const auto& [id, one] : impl_->subscriptions)
    if (one.lease_ends_at > now)
      l.positions.emplace_back(id, one.position);
  return l;
}
Offset SubscriptionServer::MinPosition(Ms now) const {
  Offset least = impl_->log.metadata().committed;
  for (const auto& [id, offset] : ActivePositions(now).positions)
    least = std::min(least, offset);
  return least;
}

// ---- the subscriber's side

struct Subscriber::Impl {
  std::uint64_t self;
  std::uint64_t incarnation;
  std::vector<Id> replicas;
  SubscriberSettings settings;
  std::size_t replica_index = 0;  // of keepers: the one asked
  Offset position = 0;
  Offset committed = 0;
  Offset snapshot_end = 0;
  Offset clean_horizon = 0;
  std::uint64_t sequence = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t rejected_responses = 0;
  bool is_waiting = false;
  bool has_response = false;
  Ms due_at = 0;
  Ms asked_at = 0;
  Ms current_as_of = -1;

  void SelectNextReplica() {
    replica_index = replicas.empty() ? 0 : (replica_index + 1) % replicas.size();
  }
  bool IsCaughtUp() const {
    return has_response && position >= committed && position >= snapshot_end;
  }
  void SendRequest(Ms now, const Callbacks& out) {
    if (replicas.empty())
      return;
    SubscriptionRequest w;
    w.subscriber = self;
    w.incarnation = incarnation;
    w.sequence = ++sequence;
    w.after = position;
    w.clean_horizon = clean_horizon;
    is_waiting = true;
    asked_at = now;
    due_at = now + settings.retry_interval;
    out.send_request(replicas[replica_index], w);
  }
  bool IsValid(const SubscriptionResponse& p) const {
    if (p.after != position || p.up_to < p.after)
      return false;
    if (!settings.defects.skip_digest_check && Digest(p) != p.digest)
      return false;
    Offset before = p.after;
    for (const Entry& e : p.entries) {
      if (e.offset <= before || e.offset > p.up_to)
        return false;
      before = e.offset;
    }
    return true;
  }
};

Subscriber::Subscriber(std::uint64_t self, std::uint64_t life, std::vector<Id> keepers,
                       SubscriberSettings terms, Offset at, std::uint64_t seed, Ms now)
    : impl_(std::make_shared<Impl>()) {
  Impl& in = *impl_;
  in.self = self;
  in.incarnation = life;
  in.replicas = std::move(keepers);
  in.settings = terms;
  in.position = at;
  in.due_at = now;
  std::knuth_b chance(seed);
  if (!in.replicas.empty())
    in.replica_index = chance() % in.replicas.size();
}

void Subscriber::Tick(Ms now, const Callbacks& out) {
  Impl& in = *impl_;
  if (now < in.due_at)
    return;
  if (in.is_waiting)
    in.SelectNextReplica();
  in.SendRequest(now, out);
}

void Subscriber::Receive(Ms now, Id from, const SubscriptionResponse& p, const Callbacks& out) {
  Impl& in = *impl_;
  if (!in.is_waiting || p.sequence != in.sequence || in.replicas[in.replica_index] != from)
    return;  // late, or a second copy
  if (!in.IsValid(p)) {
    // Still waiting: the next one is asked, and not at once, since this one may garble all.
    ++in.rejected_responses;
    in.due_at = std::min(in.due_at, now + in.settings.poll_interval);
    return;
  }
  in.is_waiting = false;
  if (p.start_over) {
    in.position = in.snapshot_end = in.clean_horizon = 0;
    in.has_response = false;
    if (out.on_start_over)
      out.on_start_over();
    in.SendRequest(now, out);
    return;
  }
  in.has_response = true;
  if (in.position == 0) {
    in.snapshot_end = p.snapshot_end;
    in.clean_horizon = p.tombstone_horizon;
  }
  in.clean_horizon = std::min(in.clean_horizon, p.tombstone_horizon);
  in.committed = std::max(in.committed, p.committed);
  bool moved = p.up_to > in.position;
  in.position = p.up_to;
  for (const Entry& e : p.entries) {
    in.received_bytes += SizeOf(e);
    out.on_entry(e);
  }
  if (in.IsCaughtUp()) {
    if (p.committed >= in.committed)
      in.current_as_of =
          std::max(in.current_as_of, in.asked_at - static_cast<Ms>(p.leader_silence_ms));
    if (static_cast<Ms>(p.leader_silence_ms) > in.settings.max_leader_silence)
      in.SelectNextReplica();
    in.due_at = now + in.settings.poll_interval;
  } else if (moved) {
    in.SendRequest(now, out);
  } else {  // behind the others, or at a hole
    in.SelectNextReplica();
    in.due_at = now + in.settings.poll_interval;
  }
}

Offset Subscriber::Position() const {
  return impl_->position;
}
Offset Subscriber::Committed() const {
  return impl_->committed;
}
bool Subscriber::IsCaughtUp() const {
  return impl_->IsCaughtUp();
}
Ms Subscriber::CurrentAsOf() const {
  return impl_->current_as_of;
}
std::uint64_t Subscriber::ReceivedBytes() const {
  return impl_->received_bytes;
}
std::uint64_t Subscriber::RejectedResponses() const {
  return impl_->rejected_responses;
}

}  // namespace dunlinwick::record
