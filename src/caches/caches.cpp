#include "caches/caches.hpp"

#include <algorithm>

#include "log/log.hpp"

namespace dunlinwick::caches {

using exchange::AttemptKey;
using exchange::RequestMetadata;
using loop::DisconnectReason;

/// An attempt of which no byte has been written yet.
struct UpstreamConnectionPool::QueuedAttempt {
  AttemptKey key;
  std::uint32_t cache = 0;
  std::string id;
  UpstreamRequest request;
  Ms timeout = 0;
  bool needs_live_connection = false;
  std::vector<std::uint64_t> avoid;  // connections on which a response to an earlier attempt of its
                                     // request may still arrive
  int moves = 0;                     // connections that ended while it was queued on them
};

constexpr std::string_view kBodyEnd = "\r\n";  // follows the stated number of bytes

static const std::string kLivenessCheckId =
    "call";  // differs from the id of every request and probe

// A connection to one endpoint. Responses arrive in any order; a late response to a cancelled
// attempt is discarded.
class UpstreamConnectionPool::UpstreamConnection final : public loop::Connection::Owner {
 public:
  UpstreamConnection(UpstreamConnectionPool& pool, std::uint32_t cache, std::uint64_t number,
                     const loop::Address& address)
      : pool_(pool),
        cache_(cache),
        number_(number),
        last_received_at_(pool.loop_.now()),
        last_used_at_(last_received_at_),
        connection_(pool.loop_, *this, address, pool.connection_settings_.connect_timeout) {}
  ~UpstreamConnection() {
    pool_.loop_.Cancel(check_timer_);
  }

  std::uint64_t number() const {
    return number_;
  }
  bool IsIdle() const {
    return in_flight_.empty();
  }
  std::size_t in_flight_count() const {
    return in_flight_.size();
  }
  Ms LastUsedAt() const {
    return last_used_at_;
  }

  // The server closes a connection that was idle for the agreed time. A request could cross that
  // close and would then count as one that may have run, so the connection is not used in the last
  // tenth of that time.
  bool CanCarry(const std::string& id) const {
    return !connection_.IsEnded() && !connection_.HasPeerClosed() && !presumed_dead_ &&
           !IsSilent() && !IsTrickling() && in_flight_.count(id) == 0 &&
           in_flight_.size() <
               static_cast<std::size_t>(pool_.connection_settings_.max_concurrent_attempts) &&
           (!IsIdle() ||
            pool_.loop_.now() - last_used_at_ < 0.9 * pool_.connection_settings_.idle_timeout);
  }

  void Start(QueuedAttempt attempt) {
    constexpr Ms kRecentlyReceived =
        50;  // a connection with input this recent was not idle; far shorter than the idle time
             // after which connections are reset
    Ms now = pool_.loop_.now();
    bool needs_check = attempt.needs_live_connection &&
                       !(has_received_ && now - last_received_at_ < kRecentlyReceived);
    in_flight_[attempt.id] = {attempt.key, MessageKind::kAttempt, 0, now};
    if (needs_check) {
      queued_.push_back(std::move(attempt));
      CheckLiveness();
    } else {
      Write(std::move(attempt));
    }
    last_used_at_ = now;
    if (check_timer_ == 0)
      ScheduleCheck(0);
  }
  void Probe(const std::string& id) {
    Ms now = pool_.loop_.now();
    in_flight_[id] = {{}, MessageKind::kProbe, connection_.Send(FormatProbe(id)), now};
    last_used_at_ = now;
    // A probe has no timeout of its own; the connect timeout is long enough for its short response
    // too.
    pool_.loop_.RunAt(now + pool_.connection_settings_.connect_timeout,
                      [&pool = pool_, cache = cache_, number = number_, id] {
                        auto endpoint = pool.endpoints_.find(cache);
                        if (endpoint == pool.endpoints_.end())
                          return;
                        if (auto it = endpoint->second.connections.find(number);
                            it != endpoint->second.connections.end())
                          it->second->OnProbeTimeout(id);
                      });
  }

  bool HasAttempt(AttemptKey key, const std::string& id) const {
    auto it = in_flight_.find(id);
    return it != in_flight_.end() && it->second.kind == MessageKind::kAttempt &&
           it->second.key.request == key.request && it->second.key.attempt == key.attempt;
  }
  void Cancel(const std::string& id) {
    Ms sent_at = in_flight_.at(id).sent_at;
    last_used_at_ = pool_.loop_.now();
    PresumeDeadIfSilentSince(sent_at);
    if (CancelUnsent(id))
      return;
    in_flight_.erase(id);
    connection_.Send(FormatCancel(id));
  }
  // False, with nothing changed, where a byte of the attempt may have been sent.
  bool CancelUnsent(const std::string& id) {
    auto it = in_flight_.find(id);
    bool was_queued =
        std::erase_if(queued_, [&](const QueuedAttempt& attempt) { return attempt.id == id; }) > 0;
    if (!was_queued && !connection_.CancelSend(it->second.send_mark))
      return false;
    in_flight_.erase(it);
    return true;
  }

  void CloseIfIdle(Ms now) {
    if (IsIdle() &&
        (presumed_dead_ || now - last_used_at_ >= 0.9 * pool_.connection_settings_.idle_timeout))
      pool_.RemoveConnection(cache_, number_);
  }
  void Disconnect(DisconnectReason reason) {
    connection_.Disconnect(reason);
  }

  void OnBytesReceived() override {
    last_received_at_ = last_used_at_ = pool_.loop_.now();
    has_received_ = true;
    bytes_since_check_ += connection_.in.size() - buffered_bytes_;
    while (!connection_.IsEnded() && ReadNext()) {
    }
    buffered_bytes_ = connection_.in.size();
    if (check_timer_ == 0 && HasPartialResponse())
      ScheduleCheck(0);
  }

  void OnDisconnected(DisconnectReason reason) override {
    exchange::Counters& counters = pool_.exchange_.counters;
    counters.malformed_responses += reason == DisconnectReason::kMalformed;
    counters.stalled_connections += reason == DisconnectReason::kStalled;
    counters.silent_connections += reason == DisconnectReason::kReceiveTimeout;
    if (reason == DisconnectReason::kMalformed || reason == DisconnectReason::kStalled ||
        reason == DisconnectReason::kReceiveTimeout)
      log::Write("%s: connection closed (%s) with %zu messages in flight",
                 pool_.endpoints_[cache_].id.c_str(), loop::ToString(reason), in_flight_.size());
    struct LostMessage {
      InFlightMessage message;
      bool fully_written;
    };
    std::vector<LostMessage> lost;
    for (auto& [id, message] : in_flight_)
      lost.push_back({message, message.send_mark != 0 && !connection_.IsUnsent(message.send_mark)});
    // The attempt whose response was being read is reported first: the others were only lost with
    // the connection.
    if (InFlightMessage* current = reading_response_ ? FindCurrentMessage() : nullptr)
      std::stable_partition(lost.begin(), lost.end(), [&](const LostMessage& lost_message) {
        return lost_message.message.send_mark == current->send_mark;
      });
    // Attempts that were still queued here move to another connection to the endpoint, since no
    // byte of them was sent, unless the endpoint can't be reached.
    constexpr int kMaxMoves = 3;
    auto queued = std::move(queued_);
    bool is_reachable =
        reason != DisconnectReason::kRefused && reason != DisconnectReason::kConnectFailed &&
        reason != DisconnectReason::kLocalShortage && reason != DisconnectReason::kReplaced;
    std::erase_if(queued, [&](const QueuedAttempt& attempt) {
      return !is_reachable || attempt.moves >= kMaxMoves;
    });
    std::erase_if(lost, [&](const LostMessage& lost_message) {
      return std::any_of(queued.begin(), queued.end(), [&](const QueuedAttempt& attempt) {
        return lost_message.message.kind == MessageKind::kAttempt &&
               attempt.key.request == lost_message.message.key.request &&
               attempt.key.attempt == lost_message.message.key.attempt;
      });
    });
    in_flight_.clear();
    UpstreamConnectionPool& pool = pool_;
    std::uint32_t cache = cache_;
    pool.RemoveConnection(
        cache, number_);  // this object lives until the end of the event loop's iteration
    int lost_count = 0;
    for (QueuedAttempt& attempt : queued) {
      ++attempt.moves;
      AttemptKey key = attempt.key;
      if (std::uint64_t connection_number = pool.Enqueue(std::move(attempt)))
        pool.exchange_.OnAttemptMoved(key, connection_number);
    }
    for (auto& [message, fully_written] : lost)
      if (message.kind == MessageKind::kProbe)
        pool.exchange_.OnProbeEnded(cache, false, pool.loop_.now() - message.sent_at, {});
      else if (message.kind == MessageKind::kAttempt)
        pool.exchange_.OnAttemptDisconnected(message.key, reason, fully_written, lost_count++);
  }

 private:
  enum class MessageKind {
    kAttempt,
    kProbe,
    kLivenessCheck
  };  // a liveness check asks only whether the connection still carries data
  struct InFlightMessage {
    AttemptKey key;
    MessageKind kind = MessageKind::kAttempt;
    std::uint64_t send_mark = 0;
    Ms sent_at = 0;
  };

  // Detects a connection that stays open but carries nothing more: a response that stops in the
  // middle, a line that never ends, responses that don't come. After two checks without a byte a
  // partial response ends the connection. Where no response has begun, a liveness check is sent,
  // which the server answers at once; it has another two checks' time. Time is counted in checks,
  // so that a pause of this process with input waiting is not taken for silence of the server.
  // Cost: a server that pauses for longer loses what is in flight on the connection.
  void ScheduleCheck(int silent_checks) {
    constexpr Ms kCheckInterval = 75;  // two are longer than the pauses of a busy server (40 ms);
                                       // four are shorter than a latency objective
    check_timer_ = pool_.loop_.RunAt(
        pool_.loop_.now() + kCheckInterval, [this, silent_checks, received_at = last_received_at_] {
          check_timer_ = 0;
          if (connection_.IsEnded() || (!HasPartialResponse() && in_flight_.empty()))
            return;
          int silent_now = received_at == last_received_at_ && connection_.IsSendQueueEmpty()
                               ? silent_checks + 1
                               : 0;
          bool check_pending = in_flight_.count(kLivenessCheckId) != 0;
          UpdateTrickle();
          if (IsTrickling() && !(reading_response_ && FindCurrentMessage()))
            return connection_.Disconnect(DisconnectReason::kStalled);
          if (silent_now >= 2 && (HasPartialResponse() || silent_now >= 4)) {
            if (HasPartialResponse())
              return connection_.Disconnect(DisconnectReason::kStalled);
            if (check_pending)
              return connection_.Disconnect(DisconnectReason::kReceiveTimeout);
          }
          if (silent_now >= 2 && !check_pending && pool_.connection_settings_.may_probe &&
              LongestWait() >= 2 * kCheckInterval) {
            CheckLiveness();
            silent_now = 2;
          }
          ScheduleCheck(silent_now);
        });
  }
  // Detects a response that trickles in: each byte shows that the connection is alive, so it never
  // counts as silent, and the responses behind it are delayed. If the response is awaited, it has
  // until its attempt's timeout, and nothing new is sent on the connection. If nobody awaits it, or
  // its first line does not end, the connection is closed. Cost: so is one over a link slower than
  // 13 KB/s.
  void UpdateTrickle() {
    constexpr std::size_t kMinBytes =
        1024;  // per check: at this rate the largest response takes 18 s
    trickle_checks_ =
        HasPartialResponse() && bytes_since_check_ < kMinBytes ? trickle_checks_ + 1 : 0;
    bytes_since_check_ = 0;
  }
  bool IsTrickling() const {
    constexpr int kMaxTrickleChecks =
        4;  // checks within one line or body, as for a silent connection
    return trickle_checks_ >= kMaxTrickleChecks;
  }
  void CheckLiveness() {
    if (in_flight_.count(kLivenessCheckId) != 0)
      return;
    in_flight_[kLivenessCheckId] = {{},
                                    MessageKind::kLivenessCheck,
                                    connection_.Send(FormatLivenessCheck(kLivenessCheckId)),
                                    pool_.loop_.now()};
    ++pool_.exchange_.counters.liveness_checks;
  }
  void OnLivenessConfirmed() {
    // The response and the server's close arrived together: what is queued moves to another
    // connection when the end of this one is reported. Otherwise a request that may run only once
    // would be written where nobody reads it, and could not be sent again.
    if (connection_.HasPeerClosed())
      return;
    for (QueuedAttempt& attempt : std::exchange(queued_, {}))
      if (in_flight_.count(attempt.id) != 0)
        Write(std::move(attempt));
  }

  // The only way in which an attempt starts. Whether it may still start, and the deadline that the
  // server is given, are determined when its first byte is written, however long it waited for the
  // connection to be established, for the liveness check, or behind other bytes. Otherwise an
  // attempt could start long after its client has left, or a server could keep working past the
  // client's deadline.
  void Write(QueuedAttempt attempt) {
    std::string id = attempt.id;
    std::uint64_t send_mark =
        connection_.SendComposed([this, attempt = std::move(attempt)] { return Compose(attempt); });
    if (auto it = in_flight_.find(id); it != in_flight_.end())
      it->second.send_mark = send_mark;
  }
  std::optional<std::string> Compose(const QueuedAttempt& attempt) {
    Ms left = std::min(pool_.exchange_.TimeLeft(attempt.key), attempt.timeout);
    if (left > 0)
      return attempt.request.WithTimeLeft(left);
    pool_.ReportExpired(attempt.key);
    in_flight_.erase(attempt.id);
    return std::nullopt;
  }

  // How long the oldest message in flight has been waiting.
  Ms LongestWait() const {
    Ms longest = 0;
    for (auto& [id, message] : in_flight_)
      longest = std::max(longest, pool_.loop_.now() - message.sent_at);
    return longest;
  }
  bool HasPartialResponse() const {
    return reading_response_ || connection_.in.size() > 0;
  }

  // Nothing has been received since long before the oldest message in flight was sent: nothing new
  // is sent on the connection for now. Cost: one more connection beside a slow response.
  bool IsSilent() const {
    Ms oldest = pool_.loop_.now() - pool_.connection_settings_.connect_timeout;
    return std::any_of(in_flight_.begin(), in_flight_.end(), [&](auto& entry) {
      return entry.second.sent_at < oldest && last_received_at_ <= entry.second.sent_at;
    });
  }
  // Nothing has been received since long before the message that was just cancelled was sent: the
  // server may have vanished without closing the connection. Nothing new is sent on it; a new
  // connection shows whether the server is reachable.
  void PresumeDeadIfSilentSince(Ms sent_at) {
    if (last_received_at_ < sent_at &&
        pool_.loop_.now() - sent_at > pool_.connection_settings_.connect_timeout)
      presumed_dead_ = true;
  }
  void OnProbeTimeout(const std::string& id) {
    auto it = in_flight_.find(id);
    if (it == in_flight_.end())
      return;
    Ms sent_at = it->second.sent_at;
    in_flight_.erase(it);
    PresumeDeadIfSilentSince(sent_at - 1);
    pool_.exchange_.OnProbeEnded(cache_, false, pool_.loop_.now() - sent_at, {});
  }

  // Reads the next part of a response from the buffer. False: more bytes are needed, or the
  // connection is about to end.
  bool ReadNext() {
    if (!reading_response_)
      return ReadResponseLine();
    if (EndsAtWrongLength(connection_.in.bytes())) {
      connection_.Disconnect(DisconnectReason::kMalformed);
      return false;
    }
    return body_left_ > 0 ? ReadBody() : ReadBodyEnd();
  }
  bool ReadResponseLine() {
    std::string_view bytes = connection_.in.bytes();
    std::size_t end = bytes.substr(0, kMaxLineBytes).find("\r\n");
    if (end == bytes.npos) {
      if (bytes.size() >= kMaxLineBytes)
        connection_.Disconnect(DisconnectReason::kMalformed);
      return false;
    }
    auto response =
        ParseResponseLine(bytes.substr(0, end), pool_.connection_settings_.report_names);
    if (!response) {
      connection_.Disconnect(DisconnectReason::kMalformed);
      return false;
    }
    connection_.in.Consume(end + 2);
    trickle_checks_ = 0;
    response_ = std::move(*response);
    body_left_ = response_.body_length;
    reading_response_ = true;
    if (InFlightMessage* attempt = FindCurrentAttempt())
      pool_.exchange_.OnAttemptResponseStarted(attempt->key, response_.head, response_.body_length);
    return true;
  }
  bool ReadBody() {
    std::string_view bytes = connection_.in.bytes();
    std::string_view chunk = bytes.substr(0, ForwardableLength(bytes));
    if (chunk.empty())
      return false;
    if (InFlightMessage* attempt = FindCurrentAttempt())
      pool_.exchange_.OnAttemptResponseData(attempt->key, chunk);
    body_left_ -= chunk.size();
    connection_.in.Consume(chunk.size());
    return true;
  }
  bool ReadBodyEnd() {
    if (connection_.in.size() < kBodyEnd.size())
      return false;
    connection_.in.Consume(kBodyEnd.size());
    reading_response_ = false;
    trickle_checks_ = 0;
    OnResponseRead();
    return true;
  }

  // Whether `bytes`, which begin with what is left of the body, show that its stated length is
  // wrong.
  bool EndsAtWrongLength(std::string_view bytes) const {
    return bytes.size() >= body_left_ + kBodyEnd.size() &&
           bytes.substr(body_left_, kBodyEnd.size()) != kBodyEnd;
  }
  // How much of the body in `bytes` may be forwarded. Its last byte is held back until the end
  // behind it has arrived: only that shows that the stated length is right, and a client that has
  // all bytes of a streamed response could not tell that they are the wrong ones.
  std::size_t ForwardableLength(std::string_view bytes) const {
    if (bytes.size() >= body_left_ + kBodyEnd.size())
      return body_left_;
    return std::min(bytes.size(), body_left_ - 1);
  }

  // The message to which the response that is being read belongs; null if it was cancelled.
  InFlightMessage* FindCurrentMessage() {
    auto it = in_flight_.find(response_.id);
    return it == in_flight_.end() ||
                   (it->second.kind != MessageKind::kAttempt) != response_.is_probe
               ? nullptr
               : &it->second;
  }

  // The same, if it is an attempt.
  InFlightMessage* FindCurrentAttempt() {
    InFlightMessage* message = FindCurrentMessage();
    return message && message->kind == MessageKind::kAttempt ? message : nullptr;
  }

  void OnResponseRead() {
    InFlightMessage* found = FindCurrentMessage();
    if (!found) {
      ++pool_.exchange_.counters.late_responses;
      return;
    }
    InFlightMessage message = *found;
    in_flight_.erase(response_.id);
    if (message.kind == MessageKind::kLivenessCheck)
      return OnLivenessConfirmed();
    if (message.kind == MessageKind::kProbe)
      pool_.exchange_.OnProbeEnded(cache_, response_.is_healthy,
                                   pool_.loop_.now() - message.sent_at, response_.head.report);
    else
      pool_.exchange_.OnAttemptResponseComplete(message.key, response_.head);
  }

  UpstreamConnectionPool& pool_;
  std::uint32_t cache_;
  std::uint64_t number_;
  bool presumed_dead_ = false;
  bool reading_response_ = false;
  bool has_received_ = false;
  Ms last_received_at_;
  Ms last_used_at_;
  std::uint64_t check_timer_ =
      0;                       // set while a message is in flight or a partial response has arrived
  UpstreamResponse response_;  // the response that is being read
  std::size_t body_left_ = 0;
  std::size_t buffered_bytes_ = 0;     // bytes in the buffer after the last read
  std::size_t bytes_since_check_ = 0;  // received since the last check
  int trickle_checks_ = 0;  // consecutive checks in which the same line or body grew by few bytes
  std::vector<QueuedAttempt>
      queued_;  // emptied by the response to the liveness check, by cancelling, and at the end
  std::map<std::string, InFlightMessage>
      in_flight_;  // emptied by responses, cancelling, probe timeouts, and at the end
  loop::Connection connection_;
};

UpstreamConnectionPool::UpstreamConnectionPool(loop::Loop& loop, exchange::Exchange& exchange,
                                               settings::ConnectionSettings connection_settings,
                                               std::size_t max_connections)
    : loop_(loop),
      exchange_(exchange),
      connection_settings_(std::move(connection_settings)),
      max_connections_(max_connections) {
  CloseIdleConnections();
}

UpstreamConnectionPool::~UpstreamConnectionPool() {
  loop_.Cancel(idle_timer_);
}

void UpstreamConnectionPool::RemoveConnection(std::uint32_t cache,
                                              std::uint64_t connection_number) {
  auto endpoint = endpoints_.find(cache);
  if (endpoint == endpoints_.end())
    return;
  auto& connections = endpoint->second.connections;
  auto it = connections.find(connection_number);
  if (it == connections.end())
    return;
  loop_.DeferDelete(std::move(it->second));
  connections.erase(it);
  --connection_count_;
}

bool UpstreamConnectionPool::CloseLongestIdle() {
  std::uint32_t cache = 0;
  UpstreamConnection* longest_idle = nullptr;
  for (auto& [id, endpoint] : endpoints_)
    for (auto& [number, connection] : endpoint.connections)
      if (connection->IsIdle() &&
          (!longest_idle || connection->LastUsedAt() < longest_idle->LastUsedAt())) {
        cache = id;
        longest_idle = connection.get();
      }
  if (longest_idle)
    RemoveConnection(cache, longest_idle->number());
  return longest_idle != nullptr;
}

UpstreamConnectionPool::UpstreamConnection* UpstreamConnectionPool::SelectConnection(
    PooledEndpoint& endpoint, std::uint32_t cache, const std::string& id,
    const std::vector<std::uint64_t>& avoid) {
  // What is in flight on a connection that carries nothing more is lost with it: so at most this
  // many, while there are descriptors for more connections. On a busy day a cache has a hundred
  // attempts in flight from one front, which ten connections carry.
  constexpr std::size_t kPreferredInFlight = 8;
  UpstreamConnection* least_loaded = nullptr;
  for (auto& [number, connection] : endpoint.connections) {
    if (!connection->CanCarry(id) || std::find(avoid.begin(), avoid.end(), number) != avoid.end())
      continue;
    if (connection->in_flight_count() < kPreferredInFlight)
      return connection.get();
    if (!least_loaded || connection->in_flight_count() < least_loaded->in_flight_count())
      least_loaded = connection.get();
  }
  if (connection_count_ >= max_connections_ && (least_loaded || !CloseLongestIdle()))
    return least_loaded;
  ++connection_count_;
  ++exchange_.counters.cache_connections;
  std::uint64_t number = ++last_number_;
  return (endpoint.connections[number] =
              std::make_shared<UpstreamConnection>(*this, cache, number, endpoint.address))
      .get();
}

std::uint64_t UpstreamConnectionPool::Send(AttemptKey key, const RequestMetadata& metadata,
                                           const SendAttempt& action,
                                           const std::vector<std::uint64_t>& avoid) {
  auto it = endpoints_.find(action.endpoint), source = endpoints_.find(action.source);
  if (it == endpoints_.end() || source == endpoints_.end()) {
    exchange_.OnAttemptDisconnected(key, DisconnectReason::kLocalShortage, false);
    return 0;
  }
  UpstreamRequest request(metadata, action,
                          action.source == action.endpoint ? "" : source->second.id);
  return Enqueue({.key = key,
                  .cache = action.endpoint,
                  .id = metadata.id,
                  .request = std::move(request),
                  .timeout = action.timeout,
                  .needs_live_connection = action.requires_live_connection,
                  .avoid = avoid});
}

// Reported in an iteration of its own, since it can occur within any call.
void UpstreamConnectionPool::ReportExpired(AttemptKey key) {
  loop_.RunAt(loop_.now(), [this, key] { exchange_.OnAttemptExpired(key); });
}

std::uint64_t UpstreamConnectionPool::Enqueue(QueuedAttempt attempt) {
  auto it = endpoints_.find(attempt.cache);
  bool unavailable = it == endpoints_.end() || it->second.address_reassigned;
  UpstreamConnection* connection =
      unavailable ? nullptr
                  : SelectConnection(it->second, attempt.cache, attempt.id, attempt.avoid);
  if (connection) {
    connection->Start(std::move(attempt));
    return connection->number();
  }
  exchange_.OnAttemptDisconnected(
      attempt.key, unavailable ? DisconnectReason::kReplaced : DisconnectReason::kLocalShortage,
      false);
  return 0;
}

UpstreamConnectionPool::UpstreamConnection* UpstreamConnectionPool::FindConnection(
    AttemptKey key, const RequestMetadata& metadata, std::uint32_t cache) {
  auto it = endpoints_.find(cache);
  if (it == endpoints_.end())
    return nullptr;
  for (auto& [number, connection] : it->second.connections)
    if (connection->HasAttempt(key, metadata.id))
      return connection.get();
  return nullptr;
}

void UpstreamConnectionPool::Cancel(AttemptKey key, const RequestMetadata& metadata,
                                    std::uint32_t cache) {
  if (UpstreamConnection* connection = FindConnection(key, metadata, cache))
    connection->Cancel(metadata.id);
}

bool UpstreamConnectionPool::CancelUnsent(AttemptKey key, const RequestMetadata& metadata,
                                          std::uint32_t cache) {
  UpstreamConnection* connection = FindConnection(key, metadata, cache);
  return connection && connection->CancelUnsent(metadata.id);
}

void UpstreamConnectionPool::Probe(std::uint32_t cache) {
  auto it = endpoints_.find(cache);
  std::string id = "probe-" + std::to_string(++last_number_);
  bool unavailable = it == endpoints_.end() || it->second.address_reassigned;
  if (UpstreamConnection* connection =
          unavailable ? nullptr : SelectConnection(it->second, cache, id, {}))
    connection->Probe(id);
  else
    exchange_.OnProbeEnded(cache, false, 0, {});
}

void UpstreamConnectionPool::UpdateEndpoint(const ListEntry& entry, const std::string& id,
                                            const loop::Address& address) {
  PooledEndpoint& endpoint = endpoints_[entry.id];
  bool is_restarted =
      !endpoint.id.empty() &&
      (endpoint.started_at != entry.started_at || endpoint.address.sin_port != address.sin_port ||
       endpoint.address.sin_addr.s_addr != address.sin_addr.s_addr);
  endpoint.id = id;
  endpoint.address = address;
  endpoint.started_at = entry.started_at;
  endpoint.address_reassigned &= entry.state != EndpointState::kReady;
  // The endpoint's connections lead to its previous process, which may have vanished without
  // closing them. So do those of another endpoint whose former address this one has been given:
  // nothing more is sent there in its name.
  for (auto& [other_number, other] : endpoints_) {
    bool same_address = other.address.sin_port == address.sin_port &&
                        other.address.sin_addr.s_addr == address.sin_addr.s_addr;
    bool takes_address =
        other_number != entry.id && same_address && entry.state == EndpointState::kReady;
    other.address_reassigned |= takes_address;
    if (other_number == entry.id ? is_restarted : takes_address)
      for (auto& [number, connection] : other.connections)
        connection->Disconnect(DisconnectReason::kReplaced);
  }
}

void UpstreamConnectionPool::RemoveEndpoint(std::uint32_t cache) {
  auto it = endpoints_.find(cache);
  if (it == endpoints_.end())
    return;
  std::vector<std::shared_ptr<UpstreamConnection>> connections;
  for (auto& [number, connection] : it->second.connections)
    connections.push_back(connection);
  for (auto& connection : connections)
    RemoveConnection(cache, connection->number());
  endpoints_.erase(it);
}

void UpstreamConnectionPool::CloseIdleConnections() {
  constexpr Ms kIdleCheckInterval = 1000;  // idle connections may stay open slightly longer
  std::vector<std::shared_ptr<UpstreamConnection>> connections;
  for (auto& [id, endpoint] : endpoints_)
    for (auto& [number, connection] : endpoint.connections)
      connections.push_back(connection);
  for (auto& connection : connections)
    connection->CloseIfIdle(loop_.now());
  idle_timer_ = loop_.RunAt(loop_.now() + kIdleCheckInterval, [this] { CloseIdleConnections(); });
}

}  // namespace dunlinwick::caches
