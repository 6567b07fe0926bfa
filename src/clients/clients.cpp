#include "clients/clients.hpp"

#include <algorithm>
#include <cmath>

#include "clients/ask_reader.hpp"
#include "clients/close_policy.hpp"
#include "clients/waiting_requests.hpp"
#include "log/log.hpp"

namespace dunlinwick::clients {

using exchange::Ask;
using loop::DisconnectReason;
using loop::Ms;

namespace {

constexpr Ms kSecond = 1000;
// For a request to come whole: a client is owed an end within 3 s, looked at four times a second.
// Harm: one on so slow a way that a request takes as long. Those that close as well are sent again,
// on a new connection.
constexpr Ms kSlowestRequest = 2.5 * kSecond;
// Bytes of a connection's input buffer: as much as the connection itself holds.
constexpr std::size_t kMostHeld = 1 << 16;

std::vector<Field> FieldsOf(const std::string& tag, bool bytes) {
  std::vector<Field> fields;
  if (bytes)
    fields.push_back({"Content-Type", "application/octet-stream"});
  if (!tag.empty())
    fields.push_back({"ETag", '"' + tag + '"'});
  return fields;
}

}  // namespace

class Clients::Client final : public loop::Connection::Owner, exchange::ResponseSink {
 public:
  Client(Clients& all, std::uint64_t number, loop::Descriptor fd)
      : all_(all),
        number_(number),
        descriptor_(fd.Get()),
        connection_(all.loop_, *this, std::move(fd)),
        since_(all.loop_.now()) {}

  Ms Since() const {
    return since_;
  }

  /// The one way in which the front ends this connection. False: it may not, by MayClose(), and
  /// stays.
  bool Close(CloseReason reason) {
    if (!MayClose(reason, State()))
      return false;
    const bool closes_idle = reason == CloseReason::kIdleTimeout ||
                             reason == CloseReason::kMakeRoom ||
                             reason == CloseReason::kServerStops;
    if (closes_idle) {
      // The poll of this turn may be older than a request: only what crosses the close itself stays
      // unanswered.
      ReadArrived();
      if (!MayClose(reason, State()))
        return false;
    }
    // Where nothing was answered no answer can be lost to a reset, and a request that crosses the
    // close stays unread.
    if ((closes_idle && served_) || reason == CloseReason::kLastAnswerSent)
      HalfClose();
    else
      Drop();
    return true;
  }

  /// Gives its place to others where a part of a request has waited for the rest. False: it stays.
  bool GiveWay() {
    return MayRefuseForRoom(State()) && RefuseHalfRequest(503);
  }

  /// Ends it where it has been idle, half read, or not been taking its answer for too long.
  void Sweep(Ms now) {
    if (open_ || connection_.IsEnded())
      return;
    if (half_closed_) {
      Close(CloseReason::kDrainOver);
      return;
    }
    if (Close(CloseReason::kAnswerNotTaken) || Close(CloseReason::kIdleTimeout))
      return;
    if (connection_.IsSendQueueEmpty() && connection_.in.size() > 0 &&
        now - since_ >= kSlowestRequest)
      RefuseHalfRequest(408);
  }
  /// In a stop: what is open gets its answer first, half a request its refusal, which is harmless
  /// to repeat.
  void Leave() {
    if (connection_.IsEnded())
      return;
    if (half_closed_) {
      Close(CloseReason::kDrainOverInStop);
      return;
    }
    ReadOn();
    // Guards the exit against who takes nothing any more: it would wait longer than a stop may
    // last.
    if (Close(CloseReason::kAnswerNotTakenInStop))
      return;
    if (open_ || closing_ || !connection_.IsSendQueueEmpty())
      return;
    if (connection_.in.size() == 0)
      Close(CloseReason::kServerStops);
    else
      RefuseHalfRequest(503);
  }

  void OnBytesReceived() override {
    NoteRead();
    const bool is_held_back = open_ || !connection_.IsSendQueueEmpty() || !waiting_.IsEmpty();
    if (is_held_back && !closing_) {
      NoteWaiting();
      LimitOpenRequest();
    }
    ReadOn();
    if (connection_.in.size() >= kMostHeld && !unread_since_)
      unread_since_ = all_.loop_.now();
  }
  void OnDrained() override {
    since_ = all_.loop_.now();
    if (closing_)
      Close(CloseReason::kLastAnswerSent);
    else
      ReadOn();
  }
  void OnDisconnected(DisconnectReason) override {
    if (open_)
      all_.exchange_.OnClientLeft(request_);
    else if (!closing_ && !last_empty_)
      NoteBad("it left within a request");
    Close(CloseReason::kClientLeft);
  }

  bool HasLeft() override {
    if (connection_.IsEnded())
      return true;
    pollfd leaving{descriptor_, POLLRDHUP, 0};
    return all_.loop_.environment().Wait({&leaving, 1}, 0) > 0;
  }

  // ---- answers
  void Finished(const std::string& tag, std::string body) override {
    answer(200, std::move(body), FieldsOf(tag, true));
  }
  void Unchanged(const std::string& tag) override {
    answer(304, {}, FieldsOf(tag, false));
  }
  void Declined(Ms retry_after) override {
    // Whole milliseconds, up: the client is to stay away for at least the time named.
    std::vector<Field> fields;
    if (retry_after > 0)
      fields.push_back({"Retry-After-Ms", std::to_string(std::lround(std::ceil(retry_after)))});
    answer(503, {}, fields);
  }
  void Abandoned() override {
    answer(502, {}, {});
  }
  void Begun(const std::string& tag, std::size_t length) override {
    answer_keeps_ = Stays();
    connection_.Send(AnswerHead(200, length, answer_keeps_, FieldsOf(tag, true)));
  }
  void More(std::string_view bytes) override {
    connection_.Send(std::string(bytes));
  }
  void Completed() override {
    Done();
  }
  // Fewer bytes than the head promised, then the end: the client can tell.
  void BrokeOff() override {
    open_ = false;
    connection_.SetRarelyPolled(false);
    closing_ = true;
    since_ = all_.loop_.now();
    Close(CloseReason::kLastAnswerSent);
  }

 private:
  ConnectionState State() const {
    const Ms now = all_.loop_.now();
    return {.request_open = open_,
            .bytes_unanswered = connection_.in.size() > 0,
            .output_pending = !connection_.IsSendQueueEmpty(),
            .last_answer_said = closing_,
            .half_closed = half_closed_,
            .served = served_,
            .quiet_for = now - since_,
            .overdue_for = now - wanted_until_};
  }
  /// Says no more, and reads on for a while. No request that is read from now on is sent on.
  void HalfClose() {
    closing_ = true;
    DropInput();
    if (std::exchange(half_closed_, true))
      return;
    since_ = all_.loop_.now();
    connection_.ShutdownWrite();
    all_.Lingers(number_);
  }
  /// Ends it at once.
  void Drop() {
    connection_.Close();
    all_.Gone(number_);
  }
  void DropInput() {
    connection_.in.Release();
    waiting_.Clear();
  }
  /// Notes when the bytes that were read just now came. They may have waited in the system: for
  /// this connection to be accepted, for room in the buffer, for a process that stood still.
  void NoteRead() {
    const Ms now = all_.loop_.now();
    last_arrival_ = now - all_.loop_.environment().SinceLastArrival(descriptor_);
    // Of what came while nothing was read the system tells the last byte only: the earliest moment
    // stands in for the others.
    if (unread_since_)
      last_arrival_ = std::min(last_arrival_, *unread_since_);
    if (connection_.HasReadAll())
      unread_since_.reset();
  }
  /// The whole requests in the buffer wait from now on.
  void NoteWaiting() {
    waiting_.Update(connection_.in.bytes().substr(current_size_), last_arrival_);
  }
  /// Answers go out in the order of the requests: an open one that lasts longer than the time of
  /// one behind it would make that one's answer late, which counts as lost.
  void LimitOpenRequest() {
    const Ms earliest = waiting_.EarliestDeadline();
    if (!open_ || earliest >= wanted_until_)
      return;
    wanted_until_ = earliest;
    all_.exchange_.ShortenDeadline(request_, earliest);
  }
  /// Takes into the buffer what has arrived by now, and has it looked at after the next poll, which
  /// shows a client that has left.
  void ReadArrived() {
    constexpr std::size_t kChunk = 1 << 14;
    const std::size_t before = connection_.in.size();
    while (connection_.in.size() < kMostHeld) {
      std::span<char> room = connection_.in.Prepare(kChunk);
      ssize_t got = all_.loop_.environment().Receive(descriptor_, room.first(kChunk));
      if (got <= 0)
        break;  // an end or a fault shows in the next poll as well
      connection_.in.Commit(static_cast<std::size_t>(got));
    }
    if (connection_.in.size() == before)
      return;
    NoteRead();
    NoteWaiting();
    ReadOnAfterNextPoll();
  }
  void ReadOnAfterNextPoll() {
    all_.AfterNextPoll([&all = all_, number = number_] {
      auto found = all.open_.find(number);
      if (found != all.open_.end())
        found->second->ReadOn();
    });
  }
  /// False: the rest of it has arrived by now, and it is served. A 503 is harmless to repeat, and
  /// no fault of the client.
  bool RefuseHalfRequest(int status) {
    ReadArrived();
    const Reading reading = ReadRequest(connection_.in.bytes(), exchange::kMostWritten);
    if (reading.whole)
      return false;
    if (status == 503) {
      keep_alive_ = false;
      DropInput();
      answer(status, {}, {});
    } else {
      Refuse(status);
    }
    return true;
  }
  /// A whole request lies behind the one that is being answered: it is owed an answer too.
  bool HasNextRequest() {
    ReadArrived();
    return ReadRequest(connection_.in.bytes().substr(current_size_), exchange::kMostWritten).whole;
  }
  /// The connection is kept after the answer to the present request.
  bool Stays() {
    return keep_alive_ && (!all_.leaving_ || HasNextRequest());
  }
  void Done() {
    open_ = false;
    connection_.SetRarelyPolled(false);
    since_ = all_.loop_.now();
    if (!answer_keeps_)
      closing_ = true;
    if (!Close(CloseReason::kLastAnswerSent) && !closing_)
      all_.Spare();
    // What waits in the buffer is read not from within an answer, but after the next poll, which
    // shows whether the client is still there: it was watched patiently. Harm without: a request is
    // sent on for somebody seen to have left.
    if (!closing_ && !reading_ && connection_.in.size() > 0)
      ReadOnAfterNextPoll();
  }
  void answer(int status, std::string body, const std::vector<Field>& fields) {
    answer_keeps_ = Stays();
    connection_.Send(AnswerHead(status, body.size(), answer_keeps_, fields), !body.empty());
    if (!body.empty())
      connection_.Send(std::move(body));
    Done();
  }
  void NoteBad(const std::string& what) {
    ++all_.exchange_.counters.bad_requests;
    log::Write("client %llu: %s", static_cast<unsigned long long>(number_), what.c_str());
  }
  void Refuse(int status) {
    NoteBad("request refused with " + std::to_string(status));
    // Where the request was read to its end, another one behind it is answered as well.
    if (current_size_ == 0 || !keep_alive_ || !HasNextRequest()) {
      keep_alive_ = false;
      current_size_ = 0;
      DropInput();
    }
    answer(status, {},
           status == 405 ? std::vector<Field>{{"Allow", "GET, PUT"}} : std::vector<Field>{});
  }

  void ReadOn() {
    if (reading_)
      return;
    reading_ = true;
    // One request at a time, and none while the last answer is still going out: that bounds what is
    // held.
    while (!open_ && !closing_ && connection_.IsSendQueueEmpty() && connection_.in.size() > 0 &&
           ReadOne()) {
    }
    if (closing_)
      DropInput();  // lingers: what still comes is not looked at
    reading_ = false;
  }

  bool ReadOne() {
    if (last_empty_ && served_)
      since_ = all_.loop_.now();  // the first counts from the connection's start
    Reading reading = ReadRequest(connection_.in.bytes(), exchange::kMostWritten);
    if (reading.fault != 0) {
      Refuse(reading.fault);
      return false;
    }
    last_empty_ = reading.whole;
    if (!reading.whole) {
      if (reading.wants_continue && !std::exchange(continued_, true))
        connection_.Send("HTTP/1.1 100 Continue\r\n\r\n");
      return false;
    }
    continued_ = false;
    served_ = true;
    keep_alive_ = reading.request.keep_alive;
    current_size_ = reading.request.size;
    const Ms arrived_at = waiting_.IsEmpty() ? last_arrival_ : waiting_.First().arrived_at;
    if (!waiting_.IsEmpty())
      waiting_.RemoveFirst();
    Take(reading.request, arrived_at);
    current_size_ = 0;
    if (!closing_)
      connection_.in.Consume(reading.request.size);
    if (open_ && connection_.in.size() > 0) {
      NoteWaiting();
      LimitOpenRequest();
    }
    return true;
  }

  // What `r` points at may move as soon as an answer is given.
  void Take(const Request& r, Ms arrived_at) {
    if (r.path == "/alive") {
      if (r.method != "GET")
        return Refuse(405);
      return answer(all_.exchange_.Ready() && !all_.winding_ ? 200 : 503, {}, {});
    }
    Ask ask;
    if (int status = ReadAsk(r, all_.request_classes_, ask); status != 0)
      return Refuse(status);
    // Ids are new with every request. Two open ones under one id could get each other's answer, or
    // run twice.
    if (all_.exchange_.IsOpen(ask.id))
      return Refuse(409);
    // Its client left with its last words: no answer is owed, and an attempt begun long after it
    // left breaks a rule.
    if (connection_.HasPeerClosed())
      return HalfClose();
    // What is taken late in a stop must have its answer before the process may be killed.
    const Ms waited = all_.loop_.now() - arrived_at;
    ask.ttl -= waited + all_.LateInStop(arrived_at);
    if (ask.ttl < 0)
      return answer(503, {}, {});
    open_ = true;
    wanted_until_ = all_.loop_.now() + ask.ttl;
    connection_.SetRarelyPolled(true);
    std::uint32_t request = all_.exchange_.OnRequest(std::move(ask), *this);
    request_ = request;
  }

  Clients& all_;
  std::uint64_t number_;
  int descriptor_;  // the connection's, which owns it
  loop::Connection connection_;
  bool open_ = false;         // a pull is owed its answer
  bool closing_ = false;      // said all: what goes out is the last
  bool half_closed_ = false;  // that is out, and the way out is shut
  bool answer_keeps_ = true;  // the last answer did not announce the close
  bool keep_alive_ = true;
  bool reading_ = false;
  bool continued_ = false;
  bool last_empty_ = true;
  bool served_ = false;           // a whole request has come
  std::size_t current_size_ = 0;  // of the request at the buffer's front while it is being taken
  std::uint32_t request_ = 0;
  WaitingRequests waiting_{exchange::kMostWritten};
  Ms last_arrival_ = 0;             // of the bytes that were read last
  std::optional<Ms> unread_since_;  // since when bytes may have waited for room in the buffer
  Ms since_;                        // the last request's or answer's end
  Ms wanted_until_ = 0;             // the last request's deadline
};

Clients::Clients(loop::Loop& loop, exchange::Exchange& exchange,
                 const std::vector<std::string>& request_classes, std::vector<bool> written,
                 const loop::Address& at, std::size_t most, std::size_t most_lingering)
    : loop_(loop),
      exchange_(exchange),
      request_classes_{request_classes, std::move(written)},
      most_(most),
      most_lingering_(std::max<std::size_t>(1, most_lingering)),
      listener_(loop, at, [this](loop::Descriptor fd) { Taken(std::move(fd)); }) {
  Sweep();
}

Clients::~Clients() {
  loop_.Cancel(sweep_);
  loop_.Cancel(room_timer_);
}

Ms Clients::LateInStop(Ms arrived_at) const {
  constexpr Ms kTakenInFull =
      650;  // of the 0.7 s in which requests still come; the rest is left for the answer to go out
  return winding_ ? std::max(0.0, arrived_at - winding_since_ - kTakenInFull) : 0;
}

// A timer set by a timer runs in the next turn, after its poll.
void Clients::AfterNextPoll(std::function<void()> what) {
  loop_.RunAt(loop_.now(),
              [&loop = loop_, what = std::move(what)] { loop.RunAt(loop.now(), what); });
}

void Clients::Taken(loop::Descriptor fd) {
  ++exchange_.counters.client_connections;
  std::uint64_t number = ++last_;
  open_[number] = std::make_shared<Client>(*this, number, std::move(fd));
  if (leaving_ || Live() <= most_)
    return;
  // Beyond the limit the longest idle one makes room; if none is, new ones wait in the backlog
  // until one is. Who is idle shows after the next poll: those just accepted have a request in
  // their buffer that nobody has looked at.
  listener_.Pause();
  if (!std::exchange(making_room_, true))
    AfterNextPoll([this] { MakeRoom(); });
}

void Clients::MakeRoom() {
  making_room_ = false;
  if (leaving_)
    return;
  if (Live() <= most_ || DropIdle())
    return listener_.Resume();
  // Who was spared for now, since its request may be on its way, is asked again.
  if (room_timer_ != 0)
    return;
  room_timer_ = loop_.RunAt(loop_.now() + kNewcomerGrace, [this] {
    room_timer_ = 0;
    if (!making_room_)
      MakeRoom();
  });
}

bool Clients::DropIdle() {
  std::vector<std::shared_ptr<Client>> longest_first;
  for (auto& [number, client] : open_)
    longest_first.push_back(client);
  std::sort(longest_first.begin(), longest_first.end(),
            [](auto& a, auto& b) { return a->Since() < b->Since(); });
  return std::any_of(longest_first.begin(), longest_first.end(),
                     [](auto& client) { return client->Close(CloseReason::kMakeRoom); }) ||
         std::any_of(longest_first.begin(), longest_first.end(),
                     [](auto& client) { return client->GiveWay(); });
}

// One has nothing open any more: where new ones wait, it may make room.
void Clients::Spare() {
  if (!leaving_ && !making_room_ && Live() > most_)
    listener_.Resume();
}

// Those that linger take no place of a live one, and have a bound of their own: the longest makes
// room.
void Clients::Lingers(std::uint64_t number) {
  lingering_.push_back(number);
  if (lingering_.size() > most_lingering_)
    open_.at(lingering_.front())->Close(CloseReason::kTooManyDraining);
  if (!leaving_ && !making_room_)
    listener_.Resume();
}

void Clients::Gone(std::uint64_t number) {
  auto at = open_.find(number);
  if (at == open_.end())
    return;
  loop_.DeferDelete(std::move(at->second));
  open_.erase(at);
  bool was_live = std::erase(lingering_, number) == 0;
  if (was_live && !leaving_ && !making_room_)
    listener_.Resume();
}

void Clients::Sweep() {
  Ms now = loop_.now();
  std::vector<std::shared_ptr<Client>> all;
  for (auto& [number, client] : open_)
    all.push_back(client);
  for (auto& client : all)
    client->Sweep(now);
  // The process is out of descriptors before the places are: one is given back for those who wait.
  if (auto times = std::exchange(listener_.short_of_descriptors, 0); times > 0) {
    exchange_.counters.short_of_descriptors += times;
    if (!lingering_.empty())
      open_.at(lingering_.front())->Close(CloseReason::kTooManyDraining);
    else
      DropIdle();
  }
  sweep_ = loop_.RunAt(now + kSecond / 4, [this] { Sweep(); });
}

void Clients::Leave() {
  leaving_ = true;
  // All who wait are accepted first, also beyond the limit. Harm without: the listener's close
  // resets them.
  if (listener_.Drain())
    listener_.Close();
  // Only those that were here at the last call: a poll since then has shown what had come from
  // them, and it was read.
  std::vector<std::shared_ptr<Client>> all;
  for (auto& [number, client] : open_)
    if (number <= known_)
      all.push_back(client);
  known_ = last_;
  for (auto& client : all)
    client->Leave();
}

}  // namespace dunlinwick::clients
