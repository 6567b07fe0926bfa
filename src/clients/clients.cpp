#include "clients/clients.hpp"

#include <algorithm>
#include <cmath>

#include "clients/close_policy.hpp"
#include "clients/pipelined_requests.hpp"
#include "clients/request_metadata_reader.hpp"
#include "log/log.hpp"

namespace dunlinwick::clients {

using exchange::RequestMetadata;
using loop::DisconnectReason;
using loop::Ms;

namespace {

constexpr Ms kSecond = 1000;
// Time for a request to arrive completely: a client must see an end within 3 s, and timeouts are
// checked four times a second. Cost: a client on so slow a link that a request takes as long is
// rejected. Requests whose connection closes before are sent again, on a new connection.
constexpr Ms kMaxRequestReadTime = 2.5 * kSecond;
// Requests of one connection that are processed in one iteration of the loop.
constexpr int kMaxRequestsPerTurn = 16;
// Maximum bytes in a connection's input buffer: as much as the connection itself buffers.
constexpr std::size_t kMaxInputBytes = 1 << 16;

std::vector<HeaderField> ResponseHeaders(const std::string& entity_tag, bool has_body) {
  std::vector<HeaderField> fields;
  if (has_body)
    fields.push_back({"Content-Type", "application/octet-stream"});
  if (!entity_tag.empty())
    fields.push_back({"ETag", '"' + entity_tag + '"'});
  return fields;
}

}  // namespace

class HttpServer::ClientConnection final : public loop::Connection::Owner, exchange::ResponseSink {
 public:
  ClientConnection(HttpServer& server, std::uint64_t number, loop::Descriptor fd)
      : server_(server),
        number_(number),
        descriptor_(fd.Get()),
        connection_(server.loop_, *this, std::move(fd)),
        memory_(server.exchange_.memory()),
        last_activity_at_(server.loop_.now()) {}

  Ms LastActivityAt() const {
    return last_activity_at_;
  }

  /// The only way in which the front closes this connection. False: MayClose() forbids it, and the
  /// connection stays open.
  bool Close(CloseReason reason) {
    if (!MayClose(reason, GetState()))
      return false;
    const bool closes_idle = reason == CloseReason::kIdleTimeout ||
                             reason == CloseReason::kSlotNeeded || reason == CloseReason::kShutdown;
    if (closes_idle) {
      // A request may have arrived after the poll of this iteration: only one that crosses the
      // close itself stays unanswered.
      ReceiveAvailable();
      if (!MayClose(reason, GetState()))
        return false;
    }
    // Where nothing was answered no response can be lost to a reset, and a request that crosses the
    // close stays unread.
    if ((closes_idle && has_served_) || reason == CloseReason::kFinalResponseSent)
      HalfClose();
    else
      CloseNow();
    return true;
  }

  /// Rejects a partial request to free its connection slot or its memory. False: the connection
  /// stays open.
  bool RejectPartialToFree(SlotOrMemory needed) {
    return MayRejectPartialRequest(needed, GetState()) && RejectPartialRequest(503);
  }
  /// Gives up what this client makes the front hold, where no response is lost by it.
  void FreeMemory() {
    if (RejectPartialToFree(SlotOrMemory::kMemory) || Close(CloseReason::kMemoryNeeded))
      ++server_.exchange_.counters.memory_shortages;
  }

  /// Closes the connection where it has been idle, has held a partial request, or has not read its
  /// response for too long.
  void CheckTimeouts(Ms now) {
    if (request_open_ || connection_.IsEnded())
      return;
    if (half_closed_) {
      Close(CloseReason::kLingerTimeout);
      return;
    }
    if (Close(CloseReason::kWriteStalled) || Close(CloseReason::kIdleTimeout))
      return;
    if (connection_.IsSendQueueEmpty() && connection_.in.size() > 0 &&
        now - last_activity_at_ >= kMaxRequestReadTime)
      RejectPartialRequest(408);
  }
  /// During shutdown: open requests get their response first; a partial request is rejected with
  /// 503, so that it is safe to repeat.
  void ContinueShutdown() {
    if (connection_.IsEnded())
      return;
    if (half_closed_) {
      Close(CloseReason::kLingerTimeoutInShutdown);
      return;
    }
    ProcessInput();
    // Bounds the shutdown where a client does not read its response: waiting for it would exceed
    // the time limit of a shutdown.
    if (Close(CloseReason::kWriteStalledInShutdown))
      return;
    if (request_open_ || closing_ || !connection_.IsSendQueueEmpty())
      return;
    if (connection_.in.size() == 0)
      Close(CloseReason::kShutdown);
    else
      RejectPartialRequest(503);
  }

  void OnBytesReceived() override {
    RecordArrival();
    const bool is_held_back =
        request_open_ || !connection_.IsSendQueueEmpty() || !pipelined_.IsEmpty();
    if (is_held_back && !closing_) {
      RecordPipelinedRequests();
      ShortenOpenRequestDeadline();
    }
    ProcessInput();
    LimitInput();
    ChargeMemory();
    server_.MakeRoomFor(0);
  }
  void OnDrained() override {
    last_activity_at_ = server_.loop_.now();
    ChargeMemory();
    if (closing_)
      Close(CloseReason::kFinalResponseSent);
    else
      ProcessInput();
  }
  void OnDisconnected(DisconnectReason) override {
    if (request_open_)
      server_.exchange_.OnClientDisconnected(request_id_);
    else if (!closing_ && !at_request_boundary_)
      LogBadRequest("disconnected in the middle of a request");
    Close(CloseReason::kClientDisconnected);
  }

  bool HasClientDisconnected() override {
    if (connection_.IsEnded())
      return true;
    pollfd hangup_poll{descriptor_, POLLRDHUP, 0};
    return server_.loop_.environment().Wait({&hangup_poll, 1}, 0) > 0;
  }

  // ---- responses
  void OnResponse(const std::string& entity_tag, std::string body) override {
    SendResponse(200, std::move(body), ResponseHeaders(entity_tag, true));
  }
  void OnNotModified(const std::string& entity_tag) override {
    SendResponse(304, {}, ResponseHeaders(entity_tag, false));
  }
  void OnRejected(Ms retry_after) override {
    // Rounded up to whole milliseconds: the client must stay away for at least this time.
    std::vector<HeaderField> fields;
    if (retry_after > 0)
      fields.push_back({"Retry-After-Ms", std::to_string(std::lround(std::ceil(retry_after)))});
    SendResponse(503, {}, fields);
  }
  void OnFailed() override {
    SendResponse(502, {}, {});
  }
  void OnResponseStarted(const std::string& entity_tag, std::size_t length) override {
    response_keeps_connection_ = KeepsConnection();
    connection_.Send(FormatResponseHead(200, length, response_keeps_connection_,
                                        ResponseHeaders(entity_tag, true)));
  }
  void OnResponseData(std::string_view data) override {
    connection_.Send(std::string(data));
    ChargeMemory();
  }
  void OnResponseComplete() override {
    FinishResponse();
  }
  // Closes after fewer bytes than Content-Length announced, so that the client detects the
  // truncation.
  void OnResponseAborted() override {
    request_open_ = false;
    connection_.SetRarelyPolled(false);
    closing_ = true;
    last_activity_at_ = server_.loop_.now();
    Close(CloseReason::kFinalResponseSent);
  }

 private:
  ConnectionState GetState() const {
    const Ms now = server_.loop_.now();
    return {.request_open = request_open_,
            .has_unprocessed_input = connection_.in.size() > 0,
            .output_pending = !connection_.IsSendQueueEmpty(),
            .close_announced = closing_,
            .half_closed = half_closed_,
            .has_served = has_served_,
            .since_last_activity = now - last_activity_at_,
            .overdue_for = now - deadline_at_};
  }
  /// Shuts down the sending direction and keeps reading for a while. Requests read from now on are
  /// not forwarded.
  void HalfClose() {
    closing_ = true;
    DiscardInput();
    if (std::exchange(half_closed_, true))
      return;
    last_activity_at_ = server_.loop_.now();
    connection_.ShutdownWrite();
    server_.OnLingering(number_);
  }
  /// Closes the connection in both directions at once.
  void CloseNow() {
    connection_.Close();
    server_.RemoveConnection(number_);
  }
  void DiscardInput() {
    connection_.DiscardInput();
    pipelined_.Clear();
  }
  /// Stops reading at the limit. While too much is held for all clients, nothing is read behind a
  /// request that is being answered.
  void LimitInput() {
    const bool is_held_back = request_open_ || !connection_.IsSendQueueEmpty();
    const std::size_t limit =
        is_held_back && server_.exchange_.memory().IsExceeded() ? 1 : kMaxInputBytes;
    connection_.SetReadLimit(limit);
    if (connection_.in.size() >= limit && !input_blocked_since_)
      input_blocked_since_ = server_.loop_.now();
  }
  void ChargeMemory() {
    memory_.Set(connection_.IsEnded() ? 0 : connection_.in.capacity() + connection_.QueuedBytes());
  }
  /// Records when the bytes that were just read arrived. They may have waited in the kernel: for
  /// this connection to be accepted, for space in the buffer, or while the process was suspended.
  void RecordArrival() {
    const Ms now = server_.loop_.now();
    last_arrival_at_ = now - server_.loop_.environment().SinceLastArrival(descriptor_);
    // If bytes arrived while nothing was read, the kernel reports the arrival of the last byte
    // only; the earliest possible time is used for all of them.
    if (input_blocked_since_)
      last_arrival_at_ = std::min(last_arrival_at_, *input_blocked_since_);
    if (connection_.HasReadAll())
      input_blocked_since_.reset();
  }
  /// Records the complete requests in the buffer, which wait from now on.
  void RecordPipelinedRequests() {
    pipelined_.Update(connection_.in.bytes().substr(current_request_size_), last_arrival_at_);
  }
  /// Responses are sent in the order of the requests. An open request that lasts beyond the
  /// deadline of a pipelined one would make that one's response late, which counts as lost.
  void ShortenOpenRequestDeadline() {
    const Ms earliest = pipelined_.EarliestDeadline();
    if (!request_open_ || earliest >= deadline_at_)
      return;
    deadline_at_ = earliest;
    server_.exchange_.ShortenDeadline(request_id_, earliest);
  }
  /// Reads what has arrived into the buffer, to be processed after the next poll, which shows
  /// whether the client has disconnected.
  void ReceiveAvailable() {
    if (!connection_.ReceiveAvailable(kMaxInputBytes))
      return;
    RecordArrival();
    RecordPipelinedRequests();
    ProcessInputAfterNextPoll();
  }
  void ProcessInputAfterNextPoll() {
    if (std::exchange(processing_scheduled_, true))
      return;
    server_.AfterNextPoll([&server = server_, number = number_] {
      auto it = server.connections_.find(number);
      if (it == server.connections_.end())
        return;
      it->second->processing_scheduled_ = false;
      it->second->ProcessInput();
    });
  }
  /// False: the remainder has arrived by now, and the request is served. A 503 is safe to repeat,
  /// and not logged as a client error.
  bool RejectPartialRequest(int status) {
    ReceiveAvailable();
    const ParseResult parsed = ParseRequest(connection_.in.bytes(), exchange::kMaxRequestBodyBytes);
    if (parsed.is_complete)
      return false;
    if (status == 503) {
      keep_alive_ = false;
      DiscardInput();
      SendResponse(status, {}, {});
    } else {
      RejectRequest(status);
    }
    return true;
  }
  /// A complete request follows the one that is being answered: it must be answered too.
  bool HasNextRequest() {
    ReceiveAvailable();
    return ParseRequest(connection_.in.bytes().substr(current_request_size_),
                        exchange::kMaxRequestBodyBytes)
        .is_complete;
  }
  /// Whether the connection stays open after the response to the present request.
  bool KeepsConnection() {
    return keep_alive_ && (!server_.shutting_down_ || HasNextRequest());
  }
  void FinishResponse() {
    request_open_ = false;
    connection_.SetRarelyPolled(false);
    last_activity_at_ = server_.loop_.now();
    if (!response_keeps_connection_)
      closing_ = true;
    if (!Close(CloseReason::kFinalResponseSent) && !closing_)
      server_.OnConnectionIdle();
    // Buffered input is processed not from within a response, but after the next poll, which shows
    // whether the client is still connected: while a request is open, its connection is polled only
    // every few milliseconds. Otherwise a request would be forwarded for a client known to have
    // disconnected.
    if (!closing_ && !processing_input_ && connection_.in.size() > 0)
      ProcessInputAfterNextPoll();
  }
  void SendResponse(int status, std::string body, const std::vector<HeaderField>& fields) {
    response_keeps_connection_ = KeepsConnection();
    connection_.Send(FormatResponseHead(status, body.size(), response_keeps_connection_, fields),
                     !body.empty());
    if (!body.empty())
      connection_.Send(std::move(body));
    ChargeMemory();
    FinishResponse();
  }
  void LogBadRequest(const std::string& message) {
    ++server_.exchange_.counters.bad_requests;
    log::Write("client %llu: %s", static_cast<unsigned long long>(number_), message.c_str());
  }
  void RejectRequest(int status) {
    LogBadRequest("request rejected with status " + std::to_string(status));
    // Where the request was parsed to its end, the next one in the buffer is answered as well.
    if (current_request_size_ == 0 || !keep_alive_ || !HasNextRequest()) {
      keep_alive_ = false;
      current_request_size_ = 0;
      DiscardInput();
    }
    SendResponse(status, {},
                 status == 405 ? std::vector<HeaderField>{{"Allow", "GET, PUT"}}
                               : std::vector<HeaderField>{});
  }

  void ProcessInput() {
    if (processing_input_)
      return;
    processing_input_ = true;
    // One request at a time, and none while the last response is still being written: this bounds
    // the memory in use.
    auto may_process = [this] {
      return !request_open_ && !closing_ && connection_.IsSendQueueEmpty() &&
             connection_.in.size() > 0;
    };
    int processed = 0;
    while (processed < kMaxRequestsPerTurn && may_process() && ProcessNextRequest())
      ++processed;
    if (closing_)
      DiscardInput();  // lingering: further input is not processed
    // What is left waits for the next iteration, so that requests that are answered at once do not
    // keep the other connections waiting.
    if (processed == kMaxRequestsPerTurn && may_process()) {
      RecordPipelinedRequests();
      ProcessInputAfterNextPoll();
    }
    processing_input_ = false;
    LimitInput();
    ChargeMemory();
  }

  bool ProcessNextRequest() {
    if (at_request_boundary_ && has_served_)
      last_activity_at_ = server_.loop_.now();  // for the first request the time counts from when
                                                // the connection was accepted
    ParseResult parsed = ParseRequest(connection_.in.bytes(), exchange::kMaxRequestBodyBytes);
    if (parsed.error_status != 0) {
      RejectRequest(parsed.error_status);
      return false;
    }
    at_request_boundary_ = parsed.is_complete;
    if (!parsed.is_complete) {
      if (parsed.expects_continue && !std::exchange(continue_sent_, true))
        connection_.Send("HTTP/1.1 100 Continue\r\n\r\n");
      return false;
    }
    continue_sent_ = false;
    has_served_ = true;
    keep_alive_ = parsed.request.keep_alive;
    current_request_size_ = parsed.request.size;
    const Ms arrived_at = pipelined_.IsEmpty() ? last_arrival_at_ : pipelined_.First().arrived_at;
    if (!pipelined_.IsEmpty())
      pipelined_.RemoveFirst();
    HandleRequest(parsed.request, arrived_at);
    current_request_size_ = 0;
    if (!closing_)
      connection_.ConsumeInput(parsed.request.size);
    if (request_open_ && connection_.in.size() > 0) {
      RecordPipelinedRequests();
      ShortenOpenRequestDeadline();
    }
    return true;
  }

  // The views in `request` may become invalid as soon as a response is sent.
  void HandleRequest(const Request& request, Ms arrived_at) {
    if (request.path == "/alive") {
      if (request.method != "GET")
        return RejectRequest(405);
      return SendResponse(server_.exchange_.IsReady() && !server_.shutdown_announced_ ? 200 : 503,
                          {}, {});
    }
    RequestMetadata metadata;
    if (int status = ReadRequestMetadata(request, server_.request_classes_, metadata); status != 0)
      return RejectRequest(status);
    // Every request has a new id. Two open requests with one id could get each other's response, or
    // run twice, also when the client of the first one has left.
    if (server_.exchange_.IsIdTaken(metadata.id))
      return RejectRequest(409);
    // The client closed the connection right after this request: no response is due, and an attempt
    // started long after the client left violates an invariant.
    if (connection_.HasPeerClosed())
      return HalfClose();
    // A request that is accepted late in a shutdown must have its response before the process may
    // be killed.
    const Ms waited = server_.loop_.now() - arrived_at;
    metadata.ttl -= waited + server_.TimePastShutdownGrace(arrived_at);
    if (metadata.ttl < 0)
      return SendResponse(503, {}, {});
    if (!server_.MakeRoomFor(exchange::BytesNeededFor(metadata))) {
      ++server_.exchange_.counters.memory_shortages;
      return SendResponse(503, {}, {});
    }
    request_open_ = true;
    deadline_at_ = server_.loop_.now() + metadata.ttl;
    connection_.SetRarelyPolled(true);
    std::uint32_t request_id = server_.exchange_.OnRequest(std::move(metadata), *this);
    request_id_ = request_id;
  }

  HttpServer& server_;
  std::uint64_t number_;
  int descriptor_;  // owned by `connection_`
  loop::Connection connection_;
  exchange::MemoryCharge memory_;  // of the input buffer and of the responses to be sent
  bool request_open_ = false;      // a request has no final response yet
  bool closing_ =
      false;  // the response that is being written, or was written last, is the last one
  bool half_closed_ =
      false;  // the last response is written, and the sending direction is shut down
  bool response_keeps_connection_ = true;  // the last response did not announce the close
  bool keep_alive_ = true;
  bool processing_input_ = false;
  bool processing_scheduled_ = false;  // after the next poll
  bool continue_sent_ = false;
  bool at_request_boundary_ = true;
  bool has_served_ = false;  // a complete request has arrived
  std::size_t current_request_size_ =
      0;  // of the request at the front of the buffer while it is being handled
  std::uint32_t request_id_ = 0;
  PipelinedRequests pipelined_{exchange::kMaxRequestBodyBytes};
  Ms last_arrival_at_ = 0;  // of the bytes that were read last
  std::optional<Ms>
      input_blocked_since_;  // since when bytes may have waited for space in the buffer
  Ms last_activity_at_;      // when the last request arrived or the last response ended
  Ms deadline_at_ = 0;       // the last request's deadline
};

HttpServer::HttpServer(loop::Loop& loop, exchange::Exchange& exchange,
                       const std::vector<std::string>& request_classes, std::vector<bool> writes,
                       const loop::Address& listen_address, std::size_t max_connections,
                       std::size_t max_lingering)
    : loop_(loop),
      exchange_(exchange),
      request_classes_{request_classes, std::move(writes)},
      max_connections_(max_connections),
      max_lingering_(std::max<std::size_t>(1, max_lingering)),
      listener_(loop, listen_address, [this](loop::Descriptor fd) { OnAccepted(std::move(fd)); }) {
  CheckTimeouts();
}

HttpServer::~HttpServer() {
  loop_.Cancel(timeout_timer_);
  loop_.Cancel(slot_timer_);
}

Ms HttpServer::TimePastShutdownGrace(Ms arrived_at) const {
  constexpr Ms kFullDeadlineWindow =
      650;  // of the 0.7 s in which requests still arrive; the rest is left to send the response
  return shutdown_announced_
             ? std::max(0.0, arrived_at - shutdown_announced_at_ - kFullDeadlineWindow)
             : 0;
}

// A timer set by a timer fires in the next iteration, after its poll.
void HttpServer::AfterNextPoll(std::function<void()> callback) {
  loop_.RunAt(loop_.now(), [&loop = loop_, callback = std::move(callback)] {
    loop.RunAt(loop.now(), callback);
  });
}

void HttpServer::OnAccepted(loop::Descriptor fd) {
  ++exchange_.counters.client_connections;
  std::uint64_t number = ++last_number_;
  connections_[number] = std::make_shared<ClientConnection>(*this, number, std::move(fd));
  if (shutting_down_ || LiveCount() <= max_connections_)
    return;
  // Above the limit the connection that has been idle longest is closed; if none is idle, new ones
  // wait in the backlog until one is. Which are idle is known after the next poll only: those just
  // accepted have a request in their buffer that has not been processed.
  listener_.Pause();
  if (!std::exchange(slot_check_pending_, true))
    AfterNextPoll([this] { FreeConnectionSlot(); });
}

void HttpServer::FreeConnectionSlot() {
  slot_check_pending_ = false;
  if (shutting_down_)
    return;
  if (LiveCount() <= max_connections_ || CloseLongestIdle())
    return listener_.Resume();
  // Connections that were kept because their request may be in transit are checked again.
  if (slot_timer_ != 0)
    return;
  slot_timer_ = loop_.RunAt(loop_.now() + kNewConnectionGrace, [this] {
    slot_timer_ = 0;
    if (!slot_check_pending_)
      FreeConnectionSlot();
  });
}

std::vector<std::shared_ptr<HttpServer::ClientConnection>> HttpServer::LongestIdleFirst() const {
  std::vector<std::shared_ptr<ClientConnection>> longest_idle_first;
  for (auto& [number, client] : connections_)
    longest_idle_first.push_back(client);
  std::sort(longest_idle_first.begin(), longest_idle_first.end(),
            [](auto& a, auto& b) { return a->LastActivityAt() < b->LastActivityAt(); });
  return longest_idle_first;
}

bool HttpServer::MakeRoomFor(std::size_t bytes) {
  const exchange::MemoryBudget& memory = exchange_.memory();
  if (memory.HasRoomFor(bytes))
    return true;
  for (const auto& client : LongestIdleFirst()) {
    client->FreeMemory();
    if (memory.HasRoomFor(bytes))
      return true;
  }
  return false;
}

bool HttpServer::CloseLongestIdle() {
  const auto longest_idle_first = LongestIdleFirst();
  return std::any_of(longest_idle_first.begin(), longest_idle_first.end(),
                     [](auto& client) { return client->Close(CloseReason::kSlotNeeded); }) ||
         std::any_of(longest_idle_first.begin(), longest_idle_first.end(),
                     [](auto& client) { return client->RejectPartialToFree(SlotOrMemory::kSlot); });
}

// A connection has no open request any more: where new ones wait, it may be closed to free its
// slot.
void HttpServer::OnConnectionIdle() {
  if (!shutting_down_ && !slot_check_pending_ && LiveCount() > max_connections_)
    listener_.Resume();
}

// Lingering connections don't count towards the connection limit and have a limit of their own:
// above it the one that has lingered longest is closed.
void HttpServer::OnLingering(std::uint64_t number) {
  lingering_.push_back(number);
  if (lingering_.size() > max_lingering_)
    connections_.at(lingering_.front())->Close(CloseReason::kTooManyLingering);
  if (!shutting_down_ && !slot_check_pending_)
    listener_.Resume();
}

void HttpServer::RemoveConnection(std::uint64_t number) {
  auto it = connections_.find(number);
  if (it == connections_.end())
    return;
  loop_.DeferDelete(std::move(it->second));
  connections_.erase(it);
  bool was_live = std::erase(lingering_, number) == 0;
  if (was_live && !shutting_down_ && !slot_check_pending_)
    listener_.Resume();
}

void HttpServer::CheckTimeouts() {
  Ms now = loop_.now();
  std::vector<std::shared_ptr<ClientConnection>> connections;
  for (auto& [number, client] : connections_)
    connections.push_back(client);
  for (auto& client : connections)
    client->CheckTimeouts(now);
  // The process can run out of descriptors before it reaches the connection limit: one is freed for
  // the connections in the backlog.
  if (auto shortages = std::exchange(listener_.short_of_descriptors, 0); shortages > 0) {
    exchange_.counters.descriptor_shortages += shortages;
    if (!lingering_.empty())
      connections_.at(lingering_.front())->Close(CloseReason::kTooManyLingering);
    else
      CloseLongestIdle();
  }
  timeout_timer_ = loop_.RunAt(now + kSecond / 4, [this] { CheckTimeouts(); });
}

void HttpServer::ContinueShutdown() {
  shutting_down_ = true;
  // First all connections in the backlog are accepted, also beyond the limit: closing the listener
  // would reset them.
  if (listener_.Drain())
    listener_.Close();
  // Only those that existed at the last call: a poll since then has shown what had arrived from
  // them, and it was read.
  std::vector<std::shared_ptr<ClientConnection>> connections;
  for (auto& [number, client] : connections_)
    if (number <= last_polled_number_)
      connections.push_back(client);
  last_polled_number_ = last_number_;
  for (auto& client : connections)
    client->ContinueShutdown();
}

}  // namespace dunlinwick::clients
