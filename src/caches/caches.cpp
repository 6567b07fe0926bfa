#include "caches/caches.hpp"

#include <algorithm>

#include "log/log.hpp"

namespace dunlinwick::caches {

using exchange::Ask;
using exchange::AttemptKey;
using loop::DisconnectReason;

/// An attempt of which nothing is written yet.
struct Caches::QueuedAttempt {
  AttemptKey key;
  std::uint32_t cache = 0;
  std::string id;
  RequestLine request;
  Ms timeout = 0;
  bool proven = false;
  std::vector<std::uint64_t>
      avoid;      // connections on which an earlier answer to its request may still come
  int moves = 0;  // connections that ended under it
};

static const std::string kCallId = "call";  // no pull's id, and no probe's

// A connection to one machine. Answers come in any order; a late one, for what was given up, is
// dropped.
class Caches::Line final : public loop::Connection::Owner {
 public:
  Line(Caches& all, std::uint32_t cache, std::uint64_t number, const loop::Address& at)
      : all_(all),
        cache_(cache),
        number_(number),
        heard_at_(all.loop_.now()),
        used_at_(heard_at_),
        connection_(all.loop_, *this, at, all.terms_.connect_within) {}
  ~Line() {
    all_.loop_.Cancel(look_);
  }

  std::uint64_t number() const {
    return number_;
  }
  bool Idle() const {
    return open_.empty();
  }
  std::size_t open() const {
    return open_.size();
  }
  Ms UsedAt() const {
    return used_at_;
  }

  // The peer closes what has been idle for the stated time. A request could cross that close and be
  // taken for one that may have run; so it is not used in the last tenth of that time.
  bool Fit(const std::string& id) const {
    return !connection_.IsEnded() && !connection_.HasPeerClosed() && !stale_ && !Mute() &&
           !Dripping() && open_.count(id) == 0 &&
           open_.size() < static_cast<std::size_t>(all_.terms_.attempts_at_once) &&
           (!Idle() || all_.loop_.now() - used_at_ < 0.9 * all_.terms_.idle_for);
  }

  void Begin(QueuedAttempt attempt) {
    constexpr Ms kFresh =
        50;  // heard that lately it has not lain idle; far below what resets idle connections
    Ms now = all_.loop_.now();
    bool waits = attempt.proven && !(carried_ && now - heard_at_ < kFresh);
    open_[attempt.id] = {attempt.key, What::kAttempt, 0, now};
    if (waits) {
      held_.push_back(std::move(attempt));
      Call();
    } else {
      Write(std::move(attempt));
    }
    used_at_ = now;
    if (look_ == 0)
      LookAgain(0);
  }
  void Probe(const std::string& id) {
    Ms now = all_.loop_.now();
    open_[id] = {{}, What::kProbe, connection_.Send(ProbeLine(id)), now};
    used_at_ = now;
    // No time is stated for a probe; what a connection is given to come up does for a small answer
    // too.
    all_.loop_.RunAt(now + all_.terms_.connect_within,
                     [&all = all_, cache = cache_, number = number_, id] {
                       auto m = all.machines_.find(cache);
                       if (m == all.machines_.end())
                         return;
                       if (auto at = m->second.lines.find(number); at != m->second.lines.end())
                         at->second->ProbeOverdue(id);
                     });
  }

  bool Has(AttemptKey key, const std::string& id) const {
    auto at = open_.find(id);
    return at != open_.end() && at->second.what == What::kAttempt &&
           at->second.key.request == key.request && at->second.key.attempt == key.attempt;
  }
  void GiveUp(const std::string& id) {
    Ms sent_at = open_.at(id).sent_at;
    used_at_ = all_.loop_.now();
    Doubt(sent_at);
    if (TakeBack(id))
      return;
    open_.erase(id);
    connection_.Send(NeverMindLine(id));
  }
  // False, with nothing changed, where a byte of it may have left.
  bool TakeBack(const std::string& id) {
    auto at = open_.find(id);
    bool held = std::erase_if(held_, [&](const QueuedAttempt& one) { return one.id == id; }) > 0;
    if (!held && !connection_.CancelSend(at->second.mark))
      return false;
    open_.erase(at);
    return true;
  }

  void Sweep(Ms now) {
    if (Idle() && (stale_ || now - used_at_ >= 0.9 * all_.terms_.idle_for))
      all_.Drop(cache_, number_);
  }
  void end(DisconnectReason how) {
    connection_.Disconnect(how);
  }

  void OnBytesReceived() override {
    heard_at_ = used_at_ = all_.loop_.now();
    carried_ = true;
    bytes_since_look_ += connection_.in.size() - unread_;
    while (!connection_.IsEnded() && ReadOne()) {
    }
    unread_ = connection_.in.size();
    if (look_ == 0 && InPart())
      LookAgain(0);
  }

  void OnDisconnected(DisconnectReason how) override {
    exchange::Counters& counters = all_.exchange_.counters;
    counters.bad_lines += how == DisconnectReason::kMalformed;
    counters.stalled += how == DisconnectReason::kStalled;
    counters.silent += how == DisconnectReason::kReceiveTimeout;
    if (how == DisconnectReason::kMalformed || how == DisconnectReason::kStalled ||
        how == DisconnectReason::kReceiveTimeout)
      log::Write("%s: %s; its connection ends, %zu open", all_.machines_[cache_].id.c_str(),
                 loop::ToString(how), open_.size());
    struct Lost {
      Open open;
      bool whole;
    };
    std::vector<Lost> lost;
    for (auto& [id, open] : open_)
      lost.push_back({open, open.mark != 0 && !connection_.IsUnsent(open.mark)});
    // The one whose answer was being read is told first: the others only fell with it.
    if (Open* culprit = reading_ ? Theirs() : nullptr)
      std::stable_partition(lost.begin(), lost.end(),
                            [&](const Lost& one) { return one.open.mark == culprit->mark; });
    // What waited here moves to another connection of its machine, unless that is not to be had: it
    // never left.
    constexpr int kMost = 3;
    auto held = std::move(held_);
    bool there = how != DisconnectReason::kRefused && how != DisconnectReason::kConnectFailed &&
                 how != DisconnectReason::kLocalShortage && how != DisconnectReason::kReplaced;
    std::erase_if(held, [&](const QueuedAttempt& one) { return !there || one.moves >= kMost; });
    std::erase_if(lost, [&](const Lost& one) {
      return std::any_of(held.begin(), held.end(), [&](const QueuedAttempt& h) {
        return one.open.what == What::kAttempt && h.key.request == one.open.key.request &&
               h.key.attempt == one.open.key.attempt;
      });
    });
    open_.clear();
    Caches& all = all_;
    std::uint32_t cache = cache_;
    all.Drop(cache, number_);  // this object lives until the turn is over
    int fell = 0;
    for (QueuedAttempt& one : held) {
      ++one.moves;
      AttemptKey key = one.key;
      if (std::uint64_t via = all.place(std::move(one)))
        all.exchange_.Moved(key, via);
    }
    for (auto& [open, whole] : lost)
      if (open.what == What::kProbe)
        all.exchange_.OnProbeEnded(cache, false, all.loop_.now() - open.sent_at, {});
      else if (open.what == What::kAttempt)
        all.exchange_.AttemptLost(open.key, how, whole, fell++);
  }

 private:
  enum class What {
    kAttempt,
    kProbe,
    kCall
  };  // a call asks of the connection alone whether it carries
  struct Open {
    AttemptKey key;
    What what = What::kAttempt;
    std::uint64_t mark = 0;
    Ms sent_at = 0;
  };

  // Guards against a connection that carries nothing more though it stays open: an answer that
  // stops short, a line that never ends, answers that don't come. In two looks without a byte an
  // answer in part is given up; where none has begun the other side is called, which answers such a
  // call at once, and has as long again. In looks, so that a standstill of this process with bytes
  // waiting is not taken for the peer's. Harm: a machine that pauses for longer loses what is open
  // here.
  void LookAgain(int quiet) {
    constexpr Ms kLook =
        75;  // two are beyond a busy machine's standstills (40 ms); four, below an agreed time
    look_ = all_.loop_.RunAt(all_.loop_.now() + kLook, [this, quiet, heard = heard_at_] {
      look_ = 0;
      if (connection_.IsEnded() || (!InPart() && open_.empty()))
        return;
      int now = heard == heard_at_ && connection_.IsSendQueueEmpty() ? quiet + 1 : 0;
      bool called = open_.count(kCallId) != 0;
      NoteDrip();
      if (Dripping() && !(reading_ && Theirs()))
        return connection_.Disconnect(DisconnectReason::kStalled);
      if (now >= 2 && (InPart() || now >= 4)) {
        if (InPart())
          return connection_.Disconnect(DisconnectReason::kStalled);
        if (called)
          return connection_.Disconnect(DisconnectReason::kReceiveTimeout);
      }
      if (now >= 2 && !called && all_.terms_.may_probe && WaitedFor() >= 2 * kLook) {
        Call();
        now = 2;
      }
      LookAgain(now);
    });
  }
  // Guards against an answer that drips in: each byte shows that the connection carries, so no
  // silence ends it, and what comes behind it waits for as long. One that is awaited has until its
  // attempt's timeout, and nothing new goes behind it; one that nobody awaits, or whose first line
  // does not end, ends the connection. Harm: so does a link of under 13 KB/s.
  void NoteDrip() {
    constexpr std::size_t kLeastBytes =
        1024;  // in a look: at this rate the largest answer takes 18 s
    drip_looks_ = InPart() && bytes_since_look_ < kLeastBytes ? drip_looks_ + 1 : 0;
    bytes_since_look_ = 0;
  }
  bool Dripping() const {
    constexpr int kMost =
        4;  // looks within one line or body, as for a connection that says nothing
    return drip_looks_ >= kMost;
  }
  void Call() {
    if (open_.count(kCallId) != 0)
      return;
    open_[kCallId] = {{}, What::kCall, connection_.Send(CallLine(kCallId)), all_.loop_.now()};
    ++all_.exchange_.counters.calls;
  }
  void CalledBack() {
    // The answer and the peer's close came together: what waits goes over another connection, when
    // this one's end is told. Harm without: what may run once is written where nobody reads it, and
    // can't be asked again.
    if (connection_.HasPeerClosed())
      return;
    for (QueuedAttempt& one : std::exchange(held_, {}))
      if (open_.count(one.id) != 0)
        Write(std::move(one));
  }

  // The only way by which an attempt begins. Whether it still may, and the deadline the server is
  // told, are worked out as its first byte is written, however long it waited for the connection to
  // come up, for the check, or behind other bytes. Harm without: an attempt begun long after nobody
  // wants it any more, or a server that works on past the client's deadline.
  void Write(QueuedAttempt attempt) {
    std::string id = attempt.id;
    std::uint64_t mark =
        connection_.SendComposed([this, attempt = std::move(attempt)] { return Compose(attempt); });
    if (auto at = open_.find(id); at != open_.end())
      at->second.mark = mark;
  }
  std::optional<std::string> Compose(const QueuedAttempt& attempt) {
    Ms left = std::min(all_.exchange_.TimeLeft(attempt.key), attempt.timeout);
    if (left > 0)
      return attempt.request.WithTimeLeft(left);
    all_.Lapse(attempt.key);
    open_.erase(attempt.id);
    return std::nullopt;
  }

  // How long the oldest that is open here has been.
  Ms WaitedFor() const {
    Ms longest = 0;
    for (auto& [id, open] : open_)
      longest = std::max(longest, all_.loop_.now() - open.sent_at);
    return longest;
  }
  bool InPart() const {
    return reading_ || connection_.in.size() > 0;
  }

  // Nothing heard since long before the oldest that is open was sent: nothing new goes here
  // meanwhile. Harm: one connection more beside a slow answer.
  bool Mute() const {
    Ms oldest = all_.loop_.now() - all_.terms_.connect_within;
    return std::any_of(open_.begin(), open_.end(), [&](auto& one) {
      return one.second.sent_at < oldest && heard_at_ <= one.second.sent_at;
    });
  }
  // Nothing heard since long before what was given up now was sent: the other side may have
  // vanished without a word. Nothing new goes here; a new connection shows whether it is there.
  void Doubt(Ms sent_at) {
    if (heard_at_ < sent_at && all_.loop_.now() - sent_at > all_.terms_.connect_within)
      stale_ = true;
  }
  void ProbeOverdue(const std::string& id) {
    auto at = open_.find(id);
    if (at == open_.end())
      return;
    Ms sent_at = at->second.sent_at;
    open_.erase(at);
    Doubt(sent_at - 1);
    all_.exchange_.OnProbeEnded(cache_, false, all_.loop_.now() - sent_at, {});
  }

  bool ReadOne() {
    std::string_view bytes = connection_.in.bytes();
    if (!reading_) {
      std::size_t end = bytes.substr(0, kLongestLine).find("\r\n");
      if (end == bytes.npos) {
        if (bytes.size() >= kLongestLine)
          connection_.Disconnect(DisconnectReason::kMalformed);
        return false;
      }
      auto answer = ReadAnswer(bytes.substr(0, end), all_.terms_.reported);
      if (!answer) {
        connection_.Disconnect(DisconnectReason::kMalformed);
        return false;
      }
      connection_.in.Consume(end + 2);
      drip_looks_ = 0;
      answer_ = std::move(*answer);
      left_ = answer_.length;
      reading_ = true;
      if (Open* open = Theirs(); open && open->what == What::kAttempt)
        all_.exchange_.AnswerBegun(open->key, answer_.word, answer_.length);
      return true;
    }
    if (left_ > 0) {
      std::string_view part = bytes.substr(0, left_);
      if (part.empty())
        return false;
      if (Open* open = Theirs(); open && open->what == What::kAttempt)
        all_.exchange_.AnswerBytes(open->key, part);
      left_ -= part.size();
      connection_.in.Consume(part.size());
      return true;
    }
    if (bytes.size() < 2)
      return false;
    if (bytes.substr(0, 2) != "\r\n") {
      connection_.Disconnect(DisconnectReason::kMalformed);
      return false;
    }
    connection_.in.Consume(2);
    reading_ = false;
    drip_looks_ = 0;
    Answered();
    return true;
  }

  // What the answer that is being read belongs to; null if it was given up.
  Open* Theirs() {
    auto at = open_.find(answer_.id);
    return at == open_.end() || (at->second.what != What::kAttempt) != answer_.probe ? nullptr
                                                                                     : &at->second;
  }

  void Answered() {
    Open* found = Theirs();
    if (!found) {
      ++all_.exchange_.counters.late_answers;
      return;
    }
    Open open = *found;
    open_.erase(answer_.id);
    if (open.what == What::kCall)
      return CalledBack();
    if (open.what == What::kProbe)
      all_.exchange_.OnProbeEnded(cache_, answer_.well, all_.loop_.now() - open.sent_at,
                                  answer_.word.report);
    else
      all_.exchange_.AnswerWhole(open.key, answer_.word);
  }

  Caches& all_;
  std::uint32_t cache_;
  std::uint64_t number_;
  bool stale_ = false;
  bool reading_ = false;
  bool carried_ = false;
  Ms heard_at_;
  Ms used_at_;
  std::uint64_t look_ = 0;  // timer, while something is open or has come in part
  Answer answer_;           // the one being read, and how many of its bytes are still to come
  std::size_t left_ = 0;
  std::size_t unread_ = 0;            // bytes in the buffer after the last reading
  std::size_t bytes_since_look_ = 0;  // that came
  int drip_looks_ = 0;  // consecutive looks in which the same line or body grew by little
  std::vector<QueuedAttempt> held_;   // emptied by the call's answer, giving up and the end
  std::map<std::string, Open> open_;  // emptied by answers, giving up, overdue probes and the end
  loop::Connection connection_;
};

Caches::Caches(loop::Loop& loop, exchange::Exchange& exchange, settings::RoadTerms terms,
               std::size_t most)
    : loop_(loop), exchange_(exchange), terms_(std::move(terms)), most_(most) {
  Sweep();
}

Caches::~Caches() {
  loop_.Cancel(sweep_);
}

void Caches::Drop(std::uint32_t cache, std::uint64_t line) {
  auto m = machines_.find(cache);
  if (m == machines_.end())
    return;
  auto& lines = m->second.lines;
  auto at = lines.find(line);
  if (at == lines.end())
    return;
  loop_.DeferDelete(std::move(at->second));
  lines.erase(at);
  --count_;
}

bool Caches::DropIdle() {
  std::uint32_t cache = 0;
  Line* longest = nullptr;
  for (auto& [id, m] : machines_)
    for (auto& [number, line] : m.lines)
      if (line->Idle() && (!longest || line->UsedAt() < longest->UsedAt())) {
        cache = id;
        longest = line.get();
      }
  if (longest)
    Drop(cache, longest->number());
  return longest != nullptr;
}

Caches::Line* Caches::LineFor(Machine& m, std::uint32_t cache, const std::string& id,
                              const std::vector<std::uint64_t>& avoid) {
  // What is open on a connection that carries nothing more is lost with it: so many at most, while
  // there are descriptors for more. On a busy day a cache has a hundred out from one front, which
  // ten connections carry.
  constexpr std::size_t kFew = 8;
  Line* least = nullptr;
  for (auto& [number, line] : m.lines) {
    if (!line->Fit(id) || std::find(avoid.begin(), avoid.end(), number) != avoid.end())
      continue;
    if (line->open() < kFew)
      return line.get();
    if (!least || line->open() < least->open())
      least = line.get();
  }
  if (count_ >= most_ && (least || !DropIdle()))
    return least;
  ++count_;
  ++exchange_.counters.cache_connections;
  std::uint64_t number = ++last_;
  return (m.lines[number] = std::make_shared<Line>(*this, cache, number, m.at)).get();
}

std::uint64_t Caches::Send(AttemptKey key, const Ask& ask, const SendAttempt& how,
                           const std::vector<std::uint64_t>& avoid) {
  auto at = machines_.find(how.cache), source = machines_.find(how.source);
  if (at == machines_.end() || source == machines_.end()) {
    exchange_.AttemptLost(key, DisconnectReason::kLocalShortage, false);
    return 0;
  }
  RequestLine request(ask, how, how.source == how.cache ? "" : source->second.id);
  return place({.key = key,
                .cache = how.cache,
                .id = ask.id,
                .request = std::move(request),
                .timeout = how.timeout,
                .proven = how.proven,
                .avoid = avoid});
}

// Told in a turn of its own, since it may come up within any call.
void Caches::Lapse(AttemptKey key) {
  loop_.RunAt(loop_.now(), [this, key] { exchange_.Lapsed(key); });
}

std::uint64_t Caches::place(QueuedAttempt attempt) {
  auto at = machines_.find(attempt.cache);
  bool none = at == machines_.end() || at->second.supplanted;
  Line* line = none ? nullptr : LineFor(at->second, attempt.cache, attempt.id, attempt.avoid);
  if (line) {
    line->Begin(std::move(attempt));
    return line->number();
  }
  exchange_.AttemptLost(
      attempt.key, none ? DisconnectReason::kReplaced : DisconnectReason::kLocalShortage, false);
  return 0;
}

Caches::Line* Caches::LineOf(AttemptKey key, const Ask& ask, std::uint32_t cache) {
  auto at = machines_.find(cache);
  if (at == machines_.end())
    return nullptr;
  for (auto& [number, line] : at->second.lines)
    if (line->Has(key, ask.id))
      return line.get();
  return nullptr;
}

void Caches::GiveUp(AttemptKey key, const Ask& ask, std::uint32_t cache) {
  if (Line* line = LineOf(key, ask, cache))
    line->GiveUp(ask.id);
}

bool Caches::TakeBack(AttemptKey key, const Ask& ask, std::uint32_t cache) {
  Line* line = LineOf(key, ask, cache);
  return line && line->TakeBack(ask.id);
}

void Caches::Probe(std::uint32_t cache) {
  auto at = machines_.find(cache);
  std::string id = "probe-" + std::to_string(++last_);
  bool none = at == machines_.end() || at->second.supplanted;
  if (Line* line = none ? nullptr : LineFor(at->second, cache, id, {}))
    line->Probe(id);
  else
    exchange_.OnProbeEnded(cache, false, 0, {});
}

void Caches::list(const ListEntry& entry, const std::string& id, const loop::Address& at) {
  Machine& m = machines_[entry.cache];
  bool another =
      !m.id.empty() && (m.started_at != entry.started_at || m.at.sin_port != at.sin_port ||
                        m.at.sin_addr.s_addr != at.sin_addr.s_addr);
  m.id = id;
  m.at = at;
  m.started_at = entry.started_at;
  m.supplanted &= entry.standing != Standing::kReady;
  // Its connections lead to the process that was there before, which may have vanished without a
  // word. So do those of another machine whose address this one has been given: nothing more goes
  // there in its name.
  for (auto& [other, one] : machines_) {
    bool there = one.at.sin_port == at.sin_port && one.at.sin_addr.s_addr == at.sin_addr.s_addr;
    bool taken = other != entry.cache && there && entry.standing == Standing::kReady;
    one.supplanted |= taken;
    if (other == entry.cache ? another : taken)
      for (auto& [number, line] : one.lines)
        line->end(DisconnectReason::kReplaced);
  }
}

void Caches::Forget(std::uint32_t cache) {
  auto at = machines_.find(cache);
  if (at == machines_.end())
    return;
  std::vector<std::shared_ptr<Line>> lines;
  for (auto& [number, line] : at->second.lines)
    lines.push_back(line);
  for (auto& line : lines)
    Drop(cache, line->number());
  machines_.erase(at);
}

void Caches::Sweep() {
  constexpr Ms kOften = 1000;  // idle connections may stay a moment longer
  std::vector<std::shared_ptr<Line>> all;
  for (auto& [id, m] : machines_)
    for (auto& [number, line] : m.lines)
      all.push_back(line);
  for (auto& line : all)
    line->Sweep(loop_.now());
  sweep_ = loop_.RunAt(loop_.now() + kOften, [this] { Sweep(); });
}

}  // namespace dunlinwick::caches
