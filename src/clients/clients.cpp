#include "clients/clients.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "clients/close_policy.hpp"
#include "log/log.hpp"

namespace dunlinwick::clients {

using exchange::Ask;
using loop::Ms;
using loop::Parting;

namespace {

constexpr Ms second = 1000;
// For a request to come whole: a client is owed an end within 3 s, looked at four times a second. Harm: one on so slow a way that
// a request takes as long. Those that close as well are sent again, on a new connection.
constexpr Ms slowestRequest = 2.5 * second;

// Digits and a fraction at most: no sign, no exponent, no words.
std::optional<double> number(std::string_view text, double low, double high) {
  double v = 0;
  if (text.find_first_not_of("0123456789.") != text.npos) return std::nullopt;
  auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), v);
  if (text.empty() || fault != std::errc{} || end != text.data() + text.size() || !(v >= low && v <= high))
    return std::nullopt;
  return v;
}

bool isId(std::string_view text) {
  return text.size() == 16 && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
         });
}

// One strong tag, bare, of bytes that fit a field on the caches' lines; else none is passed on, which only
// costs the bytes of an answer.
std::string_view bareTag(std::string_view text) {
  if (text.size() < 3 || text.front() != '"' || text.back() != '"') return {};
  text = text.substr(1, text.size() - 2);
  bool fits = std::all_of(text.begin(), text.end(),
                          [](char c) { return c > ' ' && c < 127 && c != '"' && c != ','; });
  return fits ? text : std::string_view{};
}

std::vector<Field> fieldsOf(const std::string& tag, bool bytes) {
  std::vector<Field> fields;
  if (bytes) fields.push_back({"Content-Type", "application/octet-stream"});
  if (!tag.empty()) fields.push_back({"ETag", '"' + tag + '"'});
  return fields;
}

}  // namespace

class Clients::Client final : public loop::Connection::Owner, exchange::Asker {
 public:
  Client(Clients& all, std::uint64_t number, loop::Descriptor fd)
      : all_(all), number_(number), descriptor_(fd.get()), connection_(all.loop_, *this, std::move(fd)), since_(all.loop_.now()) {}

  Ms since() const { return since_; }

  /// The one way in which the front ends this connection. False: it may not, by MayClose(), and stays.
  bool Close(CloseReason reason) {
    if (!MayClose(reason, State())) return false;
    const bool closes_idle = reason == CloseReason::kIdleTimeout || reason == CloseReason::kMakeRoom || reason == CloseReason::kServerStops;
    if (closes_idle) {
      // The poll of this turn may be older than a request: only what crosses the close itself stays unanswered.
      ReadArrived();
      if (!MayClose(reason, State())) return false;
    }
    // Where nothing was answered no answer can be lost to a reset, and a request that crosses the close stays unread.
    if ((closes_idle && served_) || reason == CloseReason::kLastAnswerSent) HalfClose();
    else Drop();
    return true;
  }

  /// Gives its place to others where a part of a request has waited for the rest. False: it stays.
  bool GiveWay() { return MayRefuseForRoom(State()) && RefuseHalfRequest(503); }

  /// Ends it where it has been idle, half read, or not been taking its answer for too long.
  void sweep(Ms now) {
    if (open_ || connection_.isOver()) return;
    if (half_closed_) {
      Close(CloseReason::kDrainOver);
      return;
    }
    if (Close(CloseReason::kAnswerNotTaken) || Close(CloseReason::kIdleTimeout)) return;
    if (connection_.drainedOut() && connection_.in.size() > 0 && now - since_ >= slowestRequest) RefuseHalfRequest(408);
  }
  /// In a stop: what is open gets its answer first, half a request its refusal, which is harmless to repeat.
  void leave() {
    if (connection_.isOver()) return;
    if (half_closed_) {
      Close(CloseReason::kDrainOverInStop);
      return;
    }
    readOn();
    // Guards the exit against who takes nothing any more: it would wait longer than a stop may last.
    if (Close(CloseReason::kAnswerNotTakenInStop)) return;
    if (open_ || closing_ || !connection_.drainedOut()) return;
    if (connection_.in.size() == 0) Close(CloseReason::kServerStops);
    else RefuseHalfRequest(503);
  }

  void came() override { readOn(); }
  void drained() override {
    since_ = all_.loop_.now();
    if (closing_) Close(CloseReason::kLastAnswerSent);
    else readOn();
  }
  void ended(Parting) override {
    if (open_) all_.exchange_.clientLeft(pull_);
    else if (!closing_ && !lastEmpty_) noteBad("it left within a request");
    Close(CloseReason::kClientLeft);
  }

  // ---- answers
  void finished(const std::string& tag, std::string body) override {
    answer(200, std::move(body), fieldsOf(tag, true));
  }
  void unchanged(const std::string& tag) override { answer(304, {}, fieldsOf(tag, false)); }
  void declined(Ms retryAfter) override {
    // Whole milliseconds, up: the client is to stay away for at least the time named.
    std::vector<Field> fields;
    if (retryAfter > 0)
      fields.push_back({"Retry-After-Ms", std::to_string(std::lround(std::ceil(retryAfter)))});
    answer(503, {}, fields);
  }
  void abandoned() override { answer(502, {}, {}); }
  void begun(const std::string& tag, std::size_t length) override {
    answer_keeps_ = stays();
    connection_.send(answerHead(200, length, answer_keeps_, fieldsOf(tag, true)));
  }
  void more(std::string_view bytes) override { connection_.send(std::string(bytes)); }
  void completed() override { done(); }
  // Fewer bytes than the head promised, then the end: the client can tell.
  void brokeOff() override {
    open_ = false;
    connection_.bePatient(false);
    closing_ = true;
    since_ = all_.loop_.now();
    Close(CloseReason::kLastAnswerSent);
  }

 private:
  ConnectionState State() const {
    const Ms now = all_.loop_.now();
    return {.request_open = open_,
            .bytes_unanswered = connection_.in.size() > 0,
            .output_pending = !connection_.drainedOut(),
            .last_answer_said = closing_,
            .half_closed = half_closed_,
            .served = served_,
            .quiet_for = now - since_,
            .overdue_for = now - wantedUntil_};
  }
  /// Says no more, and reads on for a while. No request that is read from now on is sent on.
  void HalfClose() {
    closing_ = true;
    connection_.in.release();
    if (std::exchange(half_closed_, true)) return;
    since_ = all_.loop_.now();
    connection_.sayNoMore();
    all_.lingers(number_);
  }
  /// Ends it at once.
  void Drop() {
    connection_.close();
    all_.gone(number_);
  }
  /// Takes into the buffer what has arrived by now, and has it looked at after the next poll, which shows a client that has left.
  void ReadArrived() {
    constexpr std::size_t kMostHeld = 1 << 16;  // as much as the connection itself holds
    constexpr std::size_t kChunk = 1 << 14;
    const std::size_t before = connection_.in.size();
    while (connection_.in.size() < kMostHeld) {
      std::span<char> room = connection_.in.room(kChunk);
      ssize_t got = all_.loop_.ground().receive(descriptor_, room.first(kChunk));
      if (got <= 0) break;  // an end or a fault shows in the next poll as well
      connection_.in.wrote(static_cast<std::size_t>(got));
    }
    if (connection_.in.size() > before) ReadOnAfterNextPoll();
  }
  void ReadOnAfterNextPoll() {
    all_.afterNextPoll([&all = all_, number = number_] {
      auto found = all.open_.find(number);
      if (found != all.open_.end()) found->second->readOn();
    });
  }
  /// False: the rest of it has arrived by now, and it is served. A 503 is harmless to repeat, and no fault of the client.
  bool RefuseHalfRequest(int status) {
    ReadArrived();
    const Reading reading = readRequest(connection_.in.bytes(), exchange::mostWritten);
    if (reading.whole) return false;
    if (status == 503) {
      keepAlive_ = false;
      connection_.in.release();
      answer(status, {}, {});
    } else {
      refuse(status);
    }
    return true;
  }
  /// A whole request lies behind the one that is being answered: it is owed an answer too.
  bool HasNextRequest() {
    ReadArrived();
    return readRequest(connection_.in.bytes().substr(current_size_), exchange::mostWritten).whole;
  }
  /// The connection is kept after the answer to the present request.
  bool stays() { return keepAlive_ && (!all_.leaving_ || HasNextRequest()); }
  void done() {
    open_ = false;
    connection_.bePatient(false);
    since_ = all_.loop_.now();
    if (!answer_keeps_) closing_ = true;
    if (!Close(CloseReason::kLastAnswerSent) && !closing_) all_.spare();
    // What waits in the buffer is read not from within an answer, but after the next poll, which shows whether the client is
    // still there: it was watched patiently. Harm without: a request is sent on for somebody seen to have left.
    if (!closing_ && !reading_ && connection_.in.size() > 0) ReadOnAfterNextPoll();
  }
  void answer(int status, std::string body, const std::vector<Field>& fields) {
    answer_keeps_ = stays();
    connection_.send(answerHead(status, body.size(), answer_keeps_, fields), !body.empty());
    if (!body.empty()) connection_.send(std::move(body));
    done();
  }
  void noteBad(const std::string& what) {
    ++all_.exchange_.counters.badRequests;
    log::say("client %llu: %s", static_cast<unsigned long long>(number_), what.c_str());
  }
  void refuse(int status) {
    noteBad("request refused with " + std::to_string(status));
    // Where the request was read to its end, another one behind it is answered as well.
    if (current_size_ == 0 || !keepAlive_ || !HasNextRequest()) {
      keepAlive_ = false;
      current_size_ = 0;
      connection_.in.release();
    }
    answer(status, {}, status == 405 ? std::vector<Field>{{"Allow", "GET, PUT"}} : std::vector<Field>{});
  }

  void readOn() {
    if (reading_) return;
    reading_ = true;
    // One request at a time, and none while the last answer is still going out: that bounds what is held.
    while (!open_ && !closing_ && connection_.drainedOut() && connection_.in.size() > 0 && readOne()) {
    }
    if (closing_) connection_.in.release();  // lingers: what still comes is not looked at
    reading_ = false;
  }

  bool readOne() {
    if (lastEmpty_ && served_) since_ = all_.loop_.now();  // the first counts from the connection's start
    Reading reading = readRequest(connection_.in.bytes(), exchange::mostWritten);
    if (reading.fault != 0) return refuse(reading.fault), false;
    lastEmpty_ = reading.whole;
    if (!reading.whole) {
      if (reading.wantsContinue && !std::exchange(continued_, true))
        connection_.send("HTTP/1.1 100 Continue\r\n\r\n");
      return false;
    }
    continued_ = false;
    served_ = true;
    keepAlive_ = reading.request.keepAlive;
    current_size_ = reading.request.size;
    take(reading.request);
    current_size_ = 0;
    if (!closing_) connection_.in.consume(reading.request.size);
    return true;
  }

  // What `r` points at may move as soon as an answer is given.
  void take(const Request& r) {
    if (r.path == "/alive") {
      if (r.method != "GET") return refuse(405);
      return answer(all_.exchange_.ready() && !all_.winding_ ? 200 : 503, {}, {});
    }
    Ask ask;
    if (int status = readAsk(r, ask); status != 0) return refuse(status);
    // Its client left with its last words: no answer is owed, and an attempt begun long after it left breaks a rule.
    if (connection_.peerDone()) return HalfClose();
    // What is taken late in a stop must have its answer before the process may be killed.
    ask.ttl -= all_.LateInStop();
    if (ask.ttl < 0) return answer(503, {}, {});
    open_ = true;
    wantedUntil_ = all_.loop_.now() + ask.ttl;
    connection_.bePatient(true);
    std::uint32_t pull = all_.exchange_.pullCame(std::move(ask), *this);
    pull_ = pull;
  }

  // The status with which the request is refused, or 0.
  int readAsk(const Request& r, Ask& ask) const {
    if (!r.path.starts_with("/ops/")) return 404;
    std::string_view names = r.path.substr(5);
    std::size_t slash = names.find('/');
    if (slash == names.npos) return 404;
    ask.offering = names.substr(0, slash);
    ask.object = names.substr(slash + 1);
    auto at = std::find(all_.offerings_.begin(), all_.offerings_.end(), ask.offering);
    constexpr std::size_t longestName = 128;  // it goes on the caches' lines, whose length is bounded
    if (at == all_.offerings_.end() || !isToken(ask.object) || ask.object.size() > longestName) return 404;
    ask.offeringAt = static_cast<int>(at - all_.offerings_.begin());
    bool writes = all_.written_[static_cast<std::size_t>(ask.offeringAt)];
    if (r.method != (writes ? "PUT" : "GET")) return 405;
    if (!writes && !r.body.empty()) return 400;
    ask.body = r.body;
    ask.id = r.header("X-Request-Id");
    if (!isId(ask.id) || r.repeats({"Host", "X-Request-Id", "X-Timeout-Ms", "X-Group", "X-Memory-Kb", "Idempotency-Key"}))
      return 400;
    std::string_view query = r.query;
    if (!query.empty()) {
      if (!query.starts_with("part=")) return 400;
      ask.part = query.substr(5);
      auto part = number(ask.part, 0, 1e9);
      if (!part || ask.part.find_first_not_of("0123456789") != ask.part.npos) return 400;
      ask.partNumber = static_cast<int>(*part);
    }
    auto ttl = number(r.header("X-Timeout-Ms"), 0, 1e7), group = number(r.header("X-Group"), 0, 255);
    if (!ttl || !group || *group != std::floor(*group)) return 400;
    ask.ttl = *ttl;
    ask.group = static_cast<int>(*group);
    if (r.has("X-Memory-Kb")) {
      auto size = number(r.header("X-Memory-Kb"), 0, 1e9);
      if (!size) return 400;
      ask.sizeKb = *size;
    }
    ask.tag = bareTag(r.header("If-None-Match"));
    // It goes on as it is: caches know a repeat by it, so one that does not fit a line can't be let go either.
    ask.key = r.header("Idempotency-Key");
    if (r.has("Idempotency-Key") && (!isToken(ask.key) || ask.key.size() > longestName)) return 400;
    // Ids are new with every request. Two open ones under one id could get each other's answer, or run twice.
    if (all_.exchange_.isOpen(ask.id)) return 409;
    return 0;
  }

  Clients& all_;
  std::uint64_t number_;
  int descriptor_;  // the connection's, which owns it
  loop::Connection connection_;
  bool open_ = false;     // a pull is owed its answer
  bool closing_ = false;  // said all: what goes out is the last
  bool half_closed_ = false;  // that is out, and the way out is shut
  bool answer_keeps_ = true;  // the last answer did not announce the close
  bool keepAlive_ = true, reading_ = false, continued_ = false, lastEmpty_ = true;
  bool served_ = false;  // a whole request has come
  std::size_t current_size_ = 0;  // of the request at the buffer's front while it is being taken
  std::uint32_t pull_ = 0;
  Ms since_;  // the last request's or answer's end
  Ms wantedUntil_ = 0;  // the last request's deadline
};

Clients::Clients(loop::Loop& loop, exchange::Exchange& exchange, const std::vector<std::string>& offerings,
                 std::vector<bool> written, const loop::Address& at, std::size_t most, std::size_t mostLingering)
    : loop_(loop),
      exchange_(exchange),
      offerings_(offerings),
      written_(std::move(written)),
      most_(most),
      mostLingering_(std::max<std::size_t>(1, mostLingering)),
      listener_(loop, at, [this](loop::Descriptor fd) { taken(std::move(fd)); }) {
  sweep();
}

Clients::~Clients() {
  loop_.cancel(sweep_);
  loop_.cancel(room_timer_);
}

Ms Clients::LateInStop() const {
  constexpr Ms kTakenInFull = 650;  // of the 0.7 s in which requests still come; the rest is left for the answer to go out
  return winding_ ? std::max(0.0, loop_.now() - winding_since_ - kTakenInFull) : 0;
}

// A timer set by a timer runs in the next turn, after its poll.
void Clients::afterNextPoll(std::function<void()> what) {
  loop_.at(loop_.now(), [&loop = loop_, what = std::move(what)] { loop.at(loop.now(), what); });
}

void Clients::taken(loop::Descriptor fd) {
  ++exchange_.counters.clientConnections;
  std::uint64_t number = ++last_;
  open_[number] = std::make_shared<Client>(*this, number, std::move(fd));
  if (leaving_ || live() <= most_) return;
  // Beyond the limit the longest idle one makes room; if none is, new ones wait in the backlog until one is. Who is idle shows
  // after the next poll: those just accepted have a request in their buffer that nobody has looked at.
  listener_.pause();
  if (!std::exchange(makingRoom_, true)) afterNextPoll([this] { makeRoom(); });
}

void Clients::makeRoom() {
  makingRoom_ = false;
  if (leaving_) return;
  if (live() <= most_ || dropIdle()) return listener_.resume();
  // Who was spared for now, since its request may be on its way, is asked again.
  if (room_timer_ != 0) return;
  room_timer_ = loop_.at(loop_.now() + kNewcomerGrace, [this] {
    room_timer_ = 0;
    if (!makingRoom_) makeRoom();
  });
}

bool Clients::dropIdle() {
  std::vector<std::shared_ptr<Client>> longest_first;
  for (auto& [number, client] : open_) longest_first.push_back(client);
  std::sort(longest_first.begin(), longest_first.end(), [](auto& a, auto& b) { return a->since() < b->since(); });
  return std::any_of(longest_first.begin(), longest_first.end(), [](auto& client) { return client->Close(CloseReason::kMakeRoom); }) ||
         std::any_of(longest_first.begin(), longest_first.end(), [](auto& client) { return client->GiveWay(); });
}

// One has nothing open any more: where new ones wait, it may make room.
void Clients::spare() {
  if (!leaving_ && !makingRoom_ && live() > most_) listener_.resume();
}

// Those that linger take no place of a live one, and have a bound of their own: the longest makes room.
void Clients::lingers(std::uint64_t number) {
  lingering_.push_back(number);
  if (lingering_.size() > mostLingering_) open_.at(lingering_.front())->Close(CloseReason::kTooManyDraining);
  if (!leaving_ && !makingRoom_) listener_.resume();
}

void Clients::gone(std::uint64_t number) {
  auto at = open_.find(number);
  if (at == open_.end()) return;
  loop_.bury(std::move(at->second));
  open_.erase(at);
  bool wasLive = std::erase(lingering_, number) == 0;
  if (wasLive && !leaving_ && !makingRoom_) listener_.resume();
}

void Clients::sweep() {
  Ms now = loop_.now();
  std::vector<std::shared_ptr<Client>> all;
  for (auto& [number, client] : open_) all.push_back(client);
  for (auto& client : all) client->sweep(now);
  // The process is out of descriptors before the places are: one is given back for those who wait.
  if (auto times = std::exchange(listener_.shortOfDescriptors, 0); times > 0) {
    exchange_.counters.shortOfDescriptors += times;
    if (!lingering_.empty()) open_.at(lingering_.front())->Close(CloseReason::kTooManyDraining);
    else dropIdle();
  }
  sweep_ = loop_.at(now + second / 4, [this] { sweep(); });
}

void Clients::leave() {
  leaving_ = true;
  // All who wait are accepted first, also beyond the limit. Harm without: the listener's close resets them.
  if (listener_.drain()) listener_.close();
  // Only those that were here at the last call: a poll since then has shown what had come from them, and it was read.
  std::vector<std::shared_ptr<Client>> all;
  for (auto& [number, client] : open_)
    if (number <= known_) all.push_back(client);
  known_ = last_;
  for (auto& client : all) client->leave();
}

}  // namespace dunlinwick::clients
