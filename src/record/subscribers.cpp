#include "record/subscribers.hpp"

#include <xxhash.h>

#include <algorithm>
#include <deque>
#include <random>

#include "record/wire.hpp"

namespace dunlinwick::record {

namespace {
constexpr std::size_t kMaxPositions = 65536;
// 6 s of retries: far below the lease that keeps the tombstones a late response relies on.
constexpr std::size_t kMaxUnansweredRequests = 16;
std::size_t EncodedSize(const Entry& e) {
  return e.key.size() + e.value.size() + 40;
}
}  // namespace

std::uint64_t Digest(const SubscriptionResponse& response) {
  std::string bytes;
  auto add_number = [&](std::uint64_t value) {
    for (int byte = 0; byte < 8; ++byte)
      bytes.push_back(static_cast<char>(value >> (8 * byte)));
  };
  add_number(response.sequence);
  add_number(response.after);
  add_number(response.up_to);
  add_number(response.committed);
  add_number(response.snapshot_end);
  add_number(response.tombstone_horizon);
  add_number(response.leader_silence_ms);
  add_number(response.start_over);
  for (const Entry& e : response.entries)
    add_number(Digest(e));
  return XXH64(bytes.data(), bytes.size(), 1);
}

// On the wire (proto/record.proto) a SubscriptionRequest is the message Want, a
// SubscriptionResponse Piece and LeasedPositions Lease.
std::string Encode(const SubscriberMessage& message) {
  proto::record::Message encoded;
  if (const auto* request = std::get_if<SubscriptionRequest>(&message)) {
    auto* out = encoded.mutable_want();
    out->set_subscriber(request->subscriber);
    out->set_life(request->incarnation);
    out->set_number(request->sequence);
    out->set_after(request->after);
    out->set_streams(request->stream_mask);
    out->set_clean(request->clean_horizon);
  } else if (const auto* response = std::get_if<SubscriptionResponse>(&message)) {
    auto* out = encoded.mutable_piece();
    out->set_number(response->sequence);
    out->set_after(response->after);
    out->set_up_to(response->up_to);
    out->set_committed(response->committed);
    out->set_snapshot(response->snapshot_end);
    out->set_forgotten(response->tombstone_horizon);
    out->set_age(response->leader_silence_ms);
    out->set_start_over(response->start_over);
    out->set_digest(response->digest);
    for (const Entry& e : response->entries)
      ToProto(e, out->add_entries());
  } else {
    auto* out = encoded.mutable_lease();
    for (const auto& [id, offset] : std::get<LeasedPositions>(message).positions) {
      auto* position = out->add_positions();
      position->set_subscriber(id);
      position->set_offset(offset);
    }
  }
  return encoded.SerializeAsString();
}

std::optional<SubscriberMessage> DecodeSubscriberMessage(std::span<const char> bytes) {
  proto::record::Message message;
  if (bytes.size() > (1u << 20) ||
      !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return std::nullopt;
  if (message.has_want()) {
    const auto& w = message.want();
    if (w.subscriber() == 0 || w.number() == 0 || w.streams() == 0)
      return std::nullopt;
    return SubscriptionRequest{w.subscriber(), w.life(),    w.number(),
                               w.after(),      w.streams(), w.clean()};
  }
  if (message.has_piece()) {
    const auto& w = message.piece();
    SubscriptionResponse response;
    response.sequence = w.number();
    response.after = w.after();
    response.up_to = w.up_to();
    response.committed = w.committed();
    response.snapshot_end = w.snapshot();
    response.tombstone_horizon = w.forgotten();
    response.leader_silence_ms = w.age();
    response.start_over = w.start_over();
    response.digest = w.digest();
    for (const auto& entry : w.entries()) {
      auto e = FromProto(entry);
      if (!e)
        return std::nullopt;
      response.entries.push_back(std::move(*e));
    }
    return response;
  }
  if (message.has_lease()) {
    if (message.lease().positions_size() > static_cast<int>(kMaxPositions))
      return std::nullopt;
    LeasedPositions leased;
    for (const auto& position : message.lease().positions())
      leased.positions.emplace_back(position.subscriber(), position.offset());
    return leased;
  }
  return std::nullopt;
}

// ---- a replica's side

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
  // Adds the entries of the requested streams up to `limit`; the response's `up_to` tells how far
  // it got.
  void FillResponse(SubscriptionResponse& response, Offset limit, std::uint32_t stream_mask) const {
    std::size_t used = 0;
    for (int reads = 0; reads < 8 && response.up_to < limit;
         ++reads) {  // a few, where most are of other streams
      Offset reached = response.up_to;
      std::vector<Entry> batch = log.Read(response.up_to, limit, settings.batch_bytes, &reached);
      for (Entry& e : batch) {
        if ((stream_mask >> static_cast<unsigned>(e.stream) & 1) == 0)
          continue;
        if (!response.entries.empty() && used + EncodedSize(e) > settings.batch_bytes) {
          response.up_to = e.offset - 1;
          return;
        }
        used += EncodedSize(e);
        response.entries.push_back(std::move(e));
      }
      if (reached == response.up_to)
        return;  // a gap
      response.up_to = reached;
    }
  }
};

SubscriptionServer::SubscriptionServer(Log& log, SubscriberSettings settings, Ms)
    : impl_(std::make_shared<Impl>(Impl{log, settings, {}})) {}

std::optional<SubscriptionResponse> SubscriptionServer::HandleRequest(
    Ms now, const SubscriptionRequest& request, std::uint64_t leader_silence_ms) {
  Impl& impl = *impl_;
  if (!impl.log.IsComplete())
    return std::nullopt;
  impl.RemoveExpired(now);
  auto i = impl.subscriptions.find(request.subscriber);
  if (i == impl.subscriptions.end()) {
    if (impl.subscriptions.size() >= impl.settings.max_subscribers)
      return std::nullopt;
    i = impl.subscriptions.emplace(request.subscriber, Impl::Subscription{}).first;
  } else if (request.incarnation < i->second.incarnation ||
             (request.incarnation == i->second.incarnation &&
              request.sequence <= i->second.sequence)) {
    return std::nullopt;
  }
  Impl::Subscription& subscription = i->second;
  if (subscription.incarnation != request.incarnation)
    subscription = {};
  const LogMetadata& metadata = impl.log.metadata();
  subscription.incarnation = request.incarnation;
  subscription.sequence = request.sequence;
  subscription.position = request.after;
  subscription.lease_ends_at = now + impl.settings.lease;
  SubscriptionResponse response;
  response.sequence = request.sequence;
  response.after = response.up_to = request.after;
  response.committed = metadata.committed;
  response.tombstone_horizon = metadata.tombstone_horizon;
  response.leader_silence_ms = leader_silence_ms;
  if (request.after == 0) {
    subscription.snapshot_end = metadata.committed;
  } else if (request.after < metadata.tombstone_horizon &&
             request.clean_horizon < metadata.tombstone_horizon &&
             !impl.settings.defects.resume_behind_horizon) {
    // Whatever became of its lease, it may hold a value that a removed tombstone deleted. (A
    // subscriber that began after the tombstone was removed may well be below the horizon: the
    // record's oldest live entries are, and it never saw the hidden value.)
    response.start_over = true;
    subscription.position = 0;
    subscription.snapshot_end = 0;
  }
  if (!response.start_over) {
    bool reads_snapshot = request.after < subscription.snapshot_end;
    if (reads_snapshot)
      response.snapshot_end = subscription.snapshot_end;
    impl.FillResponse(response, reads_snapshot ? subscription.snapshot_end : metadata.committed,
                      request.stream_mask);
    if (impl.settings.defects.gap_after_snapshot && reads_snapshot &&
        response.up_to == subscription.snapshot_end)
      response.up_to = metadata.committed;
  }
  response.digest = Digest(response);
  return response;
}

LeasedPositions SubscriptionServer::ActivePositions(Ms now) const {
  LeasedPositions leased;
  for (const auto& [id, subscription] : impl_->subscriptions)
    if (subscription.lease_ends_at > now)
      leased.positions.emplace_back(id, subscription.position);
  return leased;
}
Offset SubscriptionServer::MinPosition(Ms now) const {
  Offset lowest = impl_->log.metadata().committed;
  for (const auto& [id, offset] : ActivePositions(now).positions)
    lowest = std::min(lowest, offset);
  return lowest;
}

// ---- the subscriber's side

struct Subscriber::Impl {
  std::uint64_t self;
  std::uint64_t incarnation;
  std::vector<Id> replicas;
  SubscriberSettings settings;
  std::size_t replica_index = 0;  // the replica that requests are sent to
  Offset position = 0;
  Offset committed = 0;
  Offset snapshot_end = 0;
  Offset clean_horizon = 0;
  std::uint64_t sequence = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t rejected_responses = 0;
  struct SentRequest {
    std::uint64_t sequence = 0;
    Id replica = 0;
    Ms sent_at = 0;
  };
  std::deque<SentRequest>
      unanswered_requests;  // for the same position; emptied by a valid response
  bool has_response = false;
  Ms due_at = 0;
  Ms current_as_of = -1;

  void SelectNextReplica() {
    replica_index = replicas.empty() ? 0 : (replica_index + 1) % replicas.size();
  }
  bool IsCaughtUp() const {
    return has_response && position >= committed && position >= snapshot_end;
  }
  void SendRequest(Ms now, const Callbacks& callbacks) {
    if (replicas.empty())
      return;
    SubscriptionRequest request;
    request.subscriber = self;
    request.incarnation = incarnation;
    request.sequence = ++sequence;
    request.after = position;
    request.clean_horizon = clean_horizon;
    unanswered_requests.push_back({sequence, replicas[replica_index], now});
    if (unanswered_requests.size() > kMaxUnansweredRequests)
      unanswered_requests.pop_front();
    due_at = now + settings.retry_interval;
    callbacks.send_request(replicas[replica_index], request);
  }
  std::optional<SentRequest> FindRequest(std::uint64_t request_sequence, Id replica) const {
    for (const SentRequest& request : unanswered_requests)
      if (request.sequence == request_sequence && request.replica == replica)
        return request;
    return std::nullopt;
  }
  void SelectReplica(Id replica) {
    auto found = std::find(replicas.begin(), replicas.end(), replica);
    replica_index = static_cast<std::size_t>(found - replicas.begin());
  }
  bool IsValid(const SubscriptionResponse& response) const {
    if (response.after != position || response.up_to < response.after)
      return false;
    if (!settings.defects.skip_digest_check && Digest(response) != response.digest)
      return false;
    Offset previous = response.after;
    for (const Entry& e : response.entries) {
      if (e.offset <= previous || e.offset > response.up_to)
        return false;
      previous = e.offset;
    }
    return true;
  }
};

Subscriber::Subscriber(std::uint64_t self, std::uint64_t incarnation, std::vector<Id> replicas,
                       SubscriberSettings settings, Offset position, std::uint64_t seed, Ms now)
    : impl_(std::make_shared<Impl>()) {
  Impl& impl = *impl_;
  impl.self = self;
  impl.incarnation = incarnation;
  impl.replicas = std::move(replicas);
  impl.settings = settings;
  impl.position = position;
  impl.due_at = now;
  std::knuth_b random_engine(seed);
  if (!impl.replicas.empty())
    impl.replica_index = random_engine() % impl.replicas.size();
}

void Subscriber::Tick(Ms now, const Callbacks& callbacks) {
  Impl& impl = *impl_;
  if (now < impl.due_at)
    return;
  if (!impl.unanswered_requests.empty())
    impl.SelectNextReplica();
  impl.SendRequest(now, callbacks);
}

void Subscriber::Receive(Ms now, Id from, const SubscriptionResponse& response,
                         const Callbacks& callbacks) {
  Impl& impl = *impl_;
  // A response that comes after the next replica was asked is taken too: otherwise nothing would be
  // received from replicas that all take longer than the retry interval.
  const std::optional<Impl::SentRequest> request = impl.FindRequest(response.sequence, from);
  if (!request)
    return;  // a duplicate, or the request has been answered by another replica
  if (!impl.IsValid(response)) {
    // Keeps waiting and asks the next replica, but not immediately: this one may corrupt every
    // response.
    ++impl.rejected_responses;
    impl.due_at = std::min(impl.due_at, now + impl.settings.poll_interval);
    return;
  }
  impl.unanswered_requests.clear();
  impl.SelectReplica(from);
  if (response.start_over) {
    impl.position = impl.snapshot_end = impl.clean_horizon = 0;
    impl.has_response = false;
    if (callbacks.on_start_over)
      callbacks.on_start_over();
    impl.SendRequest(now, callbacks);
    return;
  }
  impl.has_response = true;
  if (impl.position == 0) {
    impl.snapshot_end = response.snapshot_end;
    impl.clean_horizon = response.tombstone_horizon;
  }
  impl.clean_horizon = std::min(impl.clean_horizon, response.tombstone_horizon);
  impl.committed = std::max(impl.committed, response.committed);
  bool moved = response.up_to > impl.position;
  impl.position = response.up_to;
  for (const Entry& e : response.entries) {
    impl.received_bytes += EncodedSize(e);
    callbacks.on_entry(e);
  }
  if (impl.IsCaughtUp()) {
    if (response.committed >= impl.committed)
      impl.current_as_of = std::max(impl.current_as_of,
                                    request->sent_at - static_cast<Ms>(response.leader_silence_ms));
    if (static_cast<Ms>(response.leader_silence_ms) > impl.settings.max_leader_silence)
      impl.SelectNextReplica();
    impl.due_at = now + impl.settings.poll_interval;
  } else if (moved) {
    impl.SendRequest(now, callbacks);
  } else {  // behind the other replicas, or at a gap
    impl.SelectNextReplica();
    impl.due_at = now + impl.settings.poll_interval;
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
