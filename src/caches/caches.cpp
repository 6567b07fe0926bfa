#include "caches/caches.hpp"

#include <algorithm>

#include "log/log.hpp"

namespace dunlinwick::caches {

using exchange::Ask;
using exchange::LegKey;
using loop::Parting;

/// An attempt of which nothing is written yet.
struct Caches::QueuedAttempt {
  LegKey key;
  std::uint32_t cache = 0;
  std::string id;
  RequestLine request;
  Ms timeout = 0;
  bool proven = false;
  std::vector<std::uint64_t> avoid;  // connections on which an earlier answer to its request may still come
  int moves = 0;                     // connections that ended under it
};

static const std::string callId = "call";  // no pull's id, and no probe's

// A connection to one machine. Answers come in any order; a late one, for what was given up, is dropped.
class Caches::Line final : public loop::Connection::Owner {
 public:
  Line(Caches& all, std::uint32_t cache, std::uint64_t number, const loop::Address& at)
      : all_(all),
        cache_(cache),
        number_(number),
        heardAt_(all.loop_.now()),
        usedAt_(heardAt_),
        connection_(all.loop_, *this, at, all.terms_.connectWithin) {}
  ~Line() { all_.loop_.cancel(look_); }

  std::uint64_t number() const { return number_; }
  bool idle() const { return open_.empty(); }
  std::size_t open() const { return open_.size(); }
  Ms usedAt() const { return usedAt_; }

  // The peer closes what has been idle for the stated time. A request could cross that close and be taken for
  // one that may have run; so it is not used in the last tenth of that time.
  bool fit(const std::string& id) const {
    return !connection_.isOver() && !connection_.peerDone() && !stale_ && !mute() && !dripping() && open_.count(id) == 0 &&
           open_.size() < static_cast<std::size_t>(all_.terms_.legsAtOnce) &&
           (!idle() || all_.loop_.now() - usedAt_ < 0.9 * all_.terms_.idleFor);
  }

  void leg(QueuedAttempt attempt) {
    constexpr Ms fresh =
        50;  // heard that lately it has not lain idle; far below what resets idle connections
    Ms now = all_.loop_.now();
    bool waits = attempt.proven && !(carried_ && now - heardAt_ < fresh);
    open_[attempt.id] = {attempt.key, What::leg, 0, now};
    if (waits) {
      held_.push_back(std::move(attempt));
      call();
    } else {
      write(std::move(attempt));
    }
    usedAt_ = now;
    if (look_ == 0) lookAgain(0);
  }
  void probe(const std::string& id) {
    Ms now = all_.loop_.now();
    open_[id] = {{}, What::probe, connection_.send(probeLine(id)), now};
    usedAt_ = now;
    // No time is stated for a probe; what a connection is given to come up does for a small answer too.
    all_.loop_.at(now + all_.terms_.connectWithin, [&all = all_, cache = cache_, number = number_, id] {
      auto m = all.machines_.find(cache);
      if (m == all.machines_.end()) return;
      if (auto at = m->second.lines.find(number); at != m->second.lines.end()) at->second->probeOverdue(id);
    });
  }

  bool has(LegKey key, const std::string& id) const {
    auto at = open_.find(id);
    return at != open_.end() && at->second.what == What::leg && at->second.key.pull == key.pull &&
           at->second.key.leg == key.leg;
  }
  void giveUp(const std::string& id) {
    Ms sentAt = open_.at(id).sentAt;
    usedAt_ = all_.loop_.now();
    doubt(sentAt);
    if (takeBack(id)) return;
    open_.erase(id);
    connection_.send(neverMindLine(id));
  }
  // False, with nothing changed, where a byte of it may have left.
  bool takeBack(const std::string& id) {
    auto at = open_.find(id);
    bool held = std::erase_if(held_, [&](const QueuedAttempt& one) { return one.id == id; }) > 0;
    if (!held && !connection_.takeBack(at->second.mark)) return false;
    return open_.erase(at), true;
  }

  void sweep(Ms now) {
    if (idle() && (stale_ || now - usedAt_ >= 0.9 * all_.terms_.idleFor)) all_.drop(cache_, number_);
  }
  void end(Parting how) { connection_.endAs(how); }

  void came() override {
    heardAt_ = usedAt_ = all_.loop_.now();
    carried_ = true;
    bytesSinceLook_ += connection_.in.size() - unread_;
    while (!connection_.isOver() && readOne()) {
    }
    unread_ = connection_.in.size();
    if (look_ == 0 && inPart()) lookAgain(0);
  }

  void ended(Parting how) override {
    exchange::Counters& counters = all_.exchange_.counters;
    counters.badLines += how == Parting::malformed;
    counters.stalled += how == Parting::stalled;
    counters.silent += how == Parting::silent;
    if (how == Parting::malformed || how == Parting::stalled || how == Parting::silent)
      log::say("%s: %s; its connection ends, %zu open", all_.machines_[cache_].id.c_str(), loop::word(how),
               open_.size());
    struct Lost {
      Open open;
      bool whole;
    };
    std::vector<Lost> lost;
    for (auto& [id, open] : open_) lost.push_back({open, open.mark != 0 && !connection_.unsent(open.mark)});
    // The one whose answer was being read is told first: the others only fell with it.
    if (Open* culprit = reading_ ? theirs() : nullptr)
      std::stable_partition(lost.begin(), lost.end(),
                            [&](const Lost& one) { return one.open.mark == culprit->mark; });
    // What waited here moves to another connection of its machine, unless that is not to be had: it never
    // left.
    constexpr int most = 3;
    auto held = std::move(held_);
    bool there = how != Parting::refused && how != Parting::neverUp && how != Parting::noDescriptor &&
                 how != Parting::replaced;
    std::erase_if(held, [&](const QueuedAttempt& one) { return !there || one.moves >= most; });
    std::erase_if(lost, [&](const Lost& one) {
      return std::any_of(held.begin(), held.end(), [&](const QueuedAttempt& h) {
        return one.open.what == What::leg && h.key.pull == one.open.key.pull && h.key.leg == one.open.key.leg;
      });
    });
    open_.clear();
    Caches& all = all_;
    std::uint32_t cache = cache_;
    all.drop(cache, number_);  // this object lives until the turn is over
    int fell = 0;
    for (QueuedAttempt& one : held) {
      ++one.moves;
      LegKey key = one.key;
      if (std::uint64_t via = all.place(std::move(one))) all.exchange_.moved(key, via);
    }
    for (auto& [open, whole] : lost)
      if (open.what == What::probe) all.exchange_.probeEnded(cache, false, all.loop_.now() - open.sentAt, {});
      else if (open.what == What::leg) all.exchange_.legLost(open.key, how, whole, fell++);
  }

 private:
  enum class What { leg, probe, call };  // a call asks of the connection alone whether it carries
  struct Open {
    LegKey key;
    What what = What::leg;
    std::uint64_t mark = 0;
    Ms sentAt = 0;
  };

  // Guards against a connection that carries nothing more though it stays open: an answer that stops short, a
  // line that never ends, answers that don't come. In two looks without a byte an answer in part is given up;
  // where none has begun the other side is called, which answers such a call at once, and has as long again.
  // In looks, so that a standstill of this process with bytes waiting is not taken for the peer's. Harm: a
  // machine that pauses for longer loses what is open here.
  void lookAgain(int quiet) {
    constexpr Ms look =
        75;  // two are beyond a busy machine's standstills (40 ms); four, below an agreed time
    look_ = all_.loop_.at(all_.loop_.now() + look, [this, quiet, heard = heardAt_] {
      look_ = 0;
      if (connection_.isOver() || (!inPart() && open_.empty())) return;
      int now = heard == heardAt_ && connection_.drainedOut() ? quiet + 1 : 0;
      bool called = open_.count(callId) != 0;
      noteDrip();
      if (dripping() && !(reading_ && theirs())) return connection_.endAs(Parting::stalled);
      if (now >= 2 && (inPart() || now >= 4)) {
        if (inPart()) return connection_.endAs(Parting::stalled);
        if (called) return connection_.endAs(Parting::silent);
      }
      if (now >= 2 && !called && all_.terms_.mayProbe && waitedFor() >= 2 * look) call(), now = 2;
      lookAgain(now);
    });
  }
  // Guards against an answer that drips in: each byte shows that the connection carries, so no silence ends it, and what comes
  // behind it waits for as long. One that is awaited has until its attempt's timeout, and nothing new goes behind it; one that
  // nobody awaits, or whose first line does not end, ends the connection. Harm: so does a link of under 13 KB/s.
  void noteDrip() {
    constexpr std::size_t leastBytes = 1024;  // in a look: at this rate the largest answer takes 18 s
    dripLooks_ = inPart() && bytesSinceLook_ < leastBytes ? dripLooks_ + 1 : 0;
    bytesSinceLook_ = 0;
  }
  bool dripping() const {
    constexpr int most = 4;  // looks within one line or body, as for a connection that says nothing
    return dripLooks_ >= most;
  }
  void call() {
    if (open_.count(callId) != 0) return;
    open_[callId] = {{}, What::call, connection_.send(callLine(callId)), all_.loop_.now()};
    ++all_.exchange_.counters.calls;
  }
  void calledBack() {
    // The answer and the peer's close came together: what waits goes over another connection, when this one's end is told. Harm
    // without: what may run once is written where nobody reads it, and can't be asked again.
    if (connection_.peerDone()) return;
    for (QueuedAttempt& one : std::exchange(held_, {}))
      if (open_.count(one.id) != 0) write(std::move(one));
  }

  // The only way by which an attempt begins. Whether it still may, and the deadline the server is told, are worked out as its
  // first byte is written, however long it waited for the connection to come up, for the check, or behind other bytes. Harm
  // without: an attempt begun long after nobody wants it any more, or a server that works on past the client's deadline.
  void write(QueuedAttempt attempt) {
    std::string id = attempt.id;
    std::uint64_t mark = connection_.sendComposed([this, attempt = std::move(attempt)] { return compose(attempt); });
    if (auto at = open_.find(id); at != open_.end()) at->second.mark = mark;
  }
  std::optional<std::string> compose(const QueuedAttempt& attempt) {
    Ms left = std::min(all_.exchange_.timeLeft(attempt.key), attempt.timeout);
    if (left > 0) return attempt.request.withTimeLeft(left);
    all_.lapse(attempt.key);
    open_.erase(attempt.id);
    return std::nullopt;
  }

  // How long the oldest that is open here has been.
  Ms waitedFor() const {
    Ms longest = 0;
    for (auto& [id, open] : open_) longest = std::max(longest, all_.loop_.now() - open.sentAt);
    return longest;
  }
  bool inPart() const { return reading_ || connection_.in.size() > 0; }

  // Nothing heard since long before the oldest that is open was sent: nothing new goes here meanwhile. Harm:
  // one connection more beside a slow answer.
  bool mute() const {
    Ms oldest = all_.loop_.now() - all_.terms_.connectWithin;
    return std::any_of(open_.begin(), open_.end(), [&](auto& one) {
      return one.second.sentAt < oldest && heardAt_ <= one.second.sentAt;
    });
  }
  // Nothing heard since long before what was given up now was sent: the other side may have vanished without
  // a word. Nothing new goes here; a new connection shows whether it is there.
  void doubt(Ms sentAt) {
    if (heardAt_ < sentAt && all_.loop_.now() - sentAt > all_.terms_.connectWithin) stale_ = true;
  }
  void probeOverdue(const std::string& id) {
    auto at = open_.find(id);
    if (at == open_.end()) return;
    Ms sentAt = at->second.sentAt;
    open_.erase(at);
    doubt(sentAt - 1);
    all_.exchange_.probeEnded(cache_, false, all_.loop_.now() - sentAt, {});
  }

  bool readOne() {
    std::string_view bytes = connection_.in.bytes();
    if (!reading_) {
      std::size_t end = bytes.substr(0, longestLine).find("\r\n");
      if (end == bytes.npos) {
        if (bytes.size() >= longestLine) connection_.endAs(Parting::malformed);
        return false;
      }
      auto answer = readAnswer(bytes.substr(0, end), all_.terms_.reported);
      if (!answer) return connection_.endAs(Parting::malformed), false;
      connection_.in.consume(end + 2);
      dripLooks_ = 0;
      answer_ = std::move(*answer);
      left_ = answer_.length;
      reading_ = true;
      if (Open* open = theirs(); open && open->what == What::leg)
        all_.exchange_.answerBegun(open->key, answer_.word, answer_.length);
      return true;
    }
    if (left_ > 0) {
      std::string_view part = bytes.substr(0, left_);
      if (part.empty()) return false;
      if (Open* open = theirs(); open && open->what == What::leg) all_.exchange_.answerBytes(open->key, part);
      left_ -= part.size();
      connection_.in.consume(part.size());
      return true;
    }
    if (bytes.size() < 2) return false;
    if (bytes.substr(0, 2) != "\r\n") return connection_.endAs(Parting::malformed), false;
    connection_.in.consume(2);
    reading_ = false;
    dripLooks_ = 0;
    answered();
    return true;
  }

  // What the answer that is being read belongs to; null if it was given up.
  Open* theirs() {
    auto at = open_.find(answer_.id);
    return at == open_.end() || (at->second.what != What::leg) != answer_.probe ? nullptr : &at->second;
  }

  void answered() {
    Open* found = theirs();
    if (!found) {
      ++all_.exchange_.counters.lateAnswers;
      return;
    }
    Open open = *found;
    open_.erase(answer_.id);
    if (open.what == What::call) return calledBack();
    if (open.what == What::probe)
      all_.exchange_.probeEnded(cache_, answer_.well, all_.loop_.now() - open.sentAt, answer_.word.report);
    else all_.exchange_.answerWhole(open.key, answer_.word);
  }

  Caches& all_;
  std::uint32_t cache_;
  std::uint64_t number_;
  bool stale_ = false, reading_ = false, carried_ = false;
  Ms heardAt_, usedAt_;
  std::uint64_t look_ = 0;  // timer, while something is open or has come in part
  Answer answer_;           // the one being read, and how many of its bytes are still to come
  std::size_t left_ = 0;
  std::size_t unread_ = 0;          // bytes in the buffer after the last reading
  std::size_t bytesSinceLook_ = 0;  // that came
  int dripLooks_ = 0;               // consecutive looks in which the same line or body grew by little
  std::vector<QueuedAttempt> held_;   // emptied by the call's answer, giving up and the end
  std::map<std::string, Open> open_;  // emptied by answers, giving up, overdue probes and the end
  loop::Connection connection_;
};

Caches::Caches(loop::Loop& loop, exchange::Exchange& exchange, sheet::RoadTerms terms, std::size_t most)
    : loop_(loop), exchange_(exchange), terms_(std::move(terms)), most_(most) {
  sweep();
}

Caches::~Caches() { loop_.cancel(sweep_); }

void Caches::drop(std::uint32_t cache, std::uint64_t line) {
  auto m = machines_.find(cache);
  if (m == machines_.end()) return;
  auto& lines = m->second.lines;
  auto at = lines.find(line);
  if (at == lines.end()) return;
  loop_.bury(std::move(at->second));
  lines.erase(at);
  --count_;
}

bool Caches::dropIdle() {
  std::uint32_t cache = 0;
  Line* longest = nullptr;
  for (auto& [id, m] : machines_)
    for (auto& [number, line] : m.lines)
      if (line->idle() && (!longest || line->usedAt() < longest->usedAt())) cache = id, longest = line.get();
  if (longest) drop(cache, longest->number());
  return longest != nullptr;
}

Caches::Line* Caches::lineFor(Machine& m, std::uint32_t cache, const std::string& id,
                              const std::vector<std::uint64_t>& avoid) {
  // What is open on a connection that carries nothing more is lost with it: so many at most, while there are
  // descriptors for more. On a busy day a cache has a hundred out from one front, which ten connections
  // carry.
  constexpr std::size_t few = 8;
  Line* least = nullptr;
  for (auto& [number, line] : m.lines) {
    if (!line->fit(id) || std::find(avoid.begin(), avoid.end(), number) != avoid.end()) continue;
    if (line->open() < few) return line.get();
    if (!least || line->open() < least->open()) least = line.get();
  }
  if (count_ >= most_ && (least || !dropIdle())) return least;
  ++count_;
  ++exchange_.counters.cacheConnections;
  std::uint64_t number = ++last_;
  return (m.lines[number] = std::make_shared<Line>(*this, cache, number, m.at)).get();
}

std::uint64_t Caches::send(LegKey key, const Ask& ask, const SendLeg& how,
                           const std::vector<std::uint64_t>& avoid) {
  auto at = machines_.find(how.cache), source = machines_.find(how.source);
  if (at == machines_.end() || source == machines_.end()) {
    exchange_.legLost(key, Parting::noDescriptor, false);
    return 0;
  }
  RequestLine request(ask, how, how.source == how.cache ? "" : source->second.id);
  return place({.key = key,
                .cache = how.cache,
                .id = ask.id,
                .request = std::move(request),
                .timeout = how.patience,
                .proven = how.proven,
                .avoid = avoid});
}

// Told in a turn of its own, since it may come up within any call.
void Caches::lapse(LegKey key) {
  loop_.at(loop_.now(), [this, key] { exchange_.lapsed(key); });
}

std::uint64_t Caches::place(QueuedAttempt attempt) {
  auto at = machines_.find(attempt.cache);
  bool none = at == machines_.end() || at->second.supplanted;
  Line* line = none ? nullptr : lineFor(at->second, attempt.cache, attempt.id, attempt.avoid);
  if (line) {
    line->leg(std::move(attempt));
    return line->number();
  }
  exchange_.legLost(attempt.key, none ? Parting::replaced : Parting::noDescriptor, false);
  return 0;
}

Caches::Line* Caches::lineOf(LegKey key, const Ask& ask, std::uint32_t cache) {
  auto at = machines_.find(cache);
  if (at == machines_.end()) return nullptr;
  for (auto& [number, line] : at->second.lines)
    if (line->has(key, ask.id)) return line.get();
  return nullptr;
}

void Caches::giveUp(LegKey key, const Ask& ask, std::uint32_t cache) {
  if (Line* line = lineOf(key, ask, cache)) line->giveUp(ask.id);
}

bool Caches::takeBack(LegKey key, const Ask& ask, std::uint32_t cache) {
  Line* line = lineOf(key, ask, cache);
  return line && line->takeBack(ask.id);
}

void Caches::probe(std::uint32_t cache) {
  auto at = machines_.find(cache);
  std::string id = "probe-" + std::to_string(++last_);
  bool none = at == machines_.end() || at->second.supplanted;
  if (Line* line = none ? nullptr : lineFor(at->second, cache, id, {})) line->probe(id);
  else exchange_.probeEnded(cache, false, 0, {});
}

void Caches::list(const ListEntry& entry, const std::string& id, const loop::Address& at) {
  Machine& m = machines_[entry.cache];
  bool another = !m.id.empty() && (m.startedAt != entry.startedAt || m.at.sin_port != at.sin_port ||
                                   m.at.sin_addr.s_addr != at.sin_addr.s_addr);
  m.id = id;
  m.at = at;
  m.startedAt = entry.startedAt;
  m.supplanted &= entry.standing != Standing::ready;
  // Its connections lead to the process that was there before, which may have vanished without a word. So do
  // those of another machine whose address this one has been given: nothing more goes there in its name.
  for (auto& [other, one] : machines_) {
    bool there = one.at.sin_port == at.sin_port && one.at.sin_addr.s_addr == at.sin_addr.s_addr;
    bool taken = other != entry.cache && there && entry.standing == Standing::ready;
    one.supplanted |= taken;
    if (other == entry.cache ? another : taken)
      for (auto& [number, line] : one.lines) line->end(Parting::replaced);
  }
}

void Caches::forget(std::uint32_t cache) {
  auto at = machines_.find(cache);
  if (at == machines_.end()) return;
  std::vector<std::shared_ptr<Line>> lines;
  for (auto& [number, line] : at->second.lines) lines.push_back(line);
  for (auto& line : lines) drop(cache, line->number());
  machines_.erase(at);
}

void Caches::sweep() {
  constexpr Ms often = 1000;  // idle connections may stay a moment longer
  std::vector<std::shared_ptr<Line>> all;
  for (auto& [id, m] : machines_)
    for (auto& [number, line] : m.lines) all.push_back(line);
  for (auto& line : all) line->sweep(loop_.now());
  sweep_ = loop_.at(loop_.now() + often, [this] { sweep(); });
}

}  // namespace dunlinwick::caches
