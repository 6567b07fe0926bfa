#include "members/swim.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace dunlinwick::members {

const char* ToString(State state) {
  switch (state) {
    case State::kAlive:
      return "alive";
    case State::kSuspect:
      return "suspect";
    case State::kDead:
      return "dead";
  }
  return "?";
}

const char* ToString(Kind kind) {
  switch (kind) {
    case Kind::kPing:
      return "ping";
    case Kind::kAck:
      return "ack";
    case Kind::kAskPing:
      return "ask-ping";
    case Kind::kNack:
      return "nack";
  }
  return "?";
}

namespace {
int Rank(State s) {
  return static_cast<int>(s);
}  // at one incarnation: alive < suspect < dead
// Relayed probes held at once. A member is asked by at most `indirect` others a period in the
// ordinary case; the bound guards against a storm of requests (a peer gone wrong), at the price of
// answering some with silence.
constexpr std::size_t kMostRelays = 256;
}  // namespace

Swim::Swim(Id self, std::vector<Id> others, std::uint32_t incarnation, Terms terms,
           std::uint64_t seed, Ms now)
    : self_(self),
      incarnation_(incarnation),
      terms_(terms),
      random_(static_cast<unsigned>(seed ^ (seed >> 32))) {
  for (Id id : others)
    if (id != self) {
      Member m;
      m.id = id;
      m.since = now;
      members_[id] = m;
    }
  own_.origin = self;
  // Members start their rounds at different points of a period, so that probes do not come in
  // waves.
  std::uniform_real_distribution<double> offset(0, terms_.period);
  next_probe_at_ = now + offset(random_);
  note_at_ = now + terms_.note_refresh;
}

std::size_t Swim::alive() const {
  return 1 + static_cast<std::size_t>(
                 std::count_if(members_.begin(), members_.end(),
                               [](const auto& m) { return m.second.state != State::kDead; }));
}

int Swim::Retransmits() const {
  return terms_.retransmit *
         std::max(1, static_cast<int>(std::ceil(std::log10(members_.size() + 2.0))));
}

Ms Swim::SuspicionTimeout(std::size_t confirmations) const {
  double n = static_cast<double>(members_.size() + 1);
  Ms least = terms_.alpha * std::max(1.0, std::log10(n)) * terms_.period,
     most = terms_.beta * least;
  // In a fleet too small for so many independent suspicions, as many as there can be (memberlist
  // does so too).
  int wanted = std::min(terms_.confirmations, static_cast<int>(members_.size()) - 2);
  if (wanted <= 0)
    return least;
  double c =
      static_cast<double>(std::min<std::size_t>(confirmations, static_cast<std::size_t>(wanted)));
  return std::max(least, most - (most - least) * std::log(c + 1) / std::log(wanted + 1.0));
}

std::vector<Change> Swim::Changes() {
  return std::exchange(changes_, {});
}

void Swim::Publish(Ms now, std::uint64_t bits) {
  if (own_.seq != 0 && own_.bits == bits)
    return;
  own_.bits = bits;
  ++own_.seq;
  note_sent_[self_] = 0;
  note_at_ = now + terms_.note_refresh;
}

Ms Swim::WakeAt() const {
  Ms at = std::min({next_probe_at_, note_at_, reconnect_at_});
  if (!probe_.answered && !probe_.asked_others)
    at = std::min({at, probe_.timeout_at, probe_.again_at});
  if (!probe_.answered && probe_.asked_others && !probe_.asked_again)
    at = std::min(at, probe_.again_at);
  for (const auto& [id, m] : members_)
    if (m.state == State::kSuspect)
      at = std::min(at, m.looks < terms_.looks ? m.look_at : m.dead_at);
  for (const auto& [seq, r] : relays_)
    at = std::min(at, r.again ? r.until : std::min(r.until, r.again_at));
  return at;
}

void Swim::Spread(const News& n, bool first) {
  auto same = std::find_if(queue_.begin(), queue_.end(),
                           [&](const Queued& q) { return q.news.who == n.who; });
  if (same != queue_.end())
    *same = Queued{n, 0, first};
  else
    queue_.push_back(Queued{n, 0, first});
}

void Swim::Set(Ms now, Member& m, State state, std::uint32_t incarnation, Id by) {
  bool moved = m.state != state || m.incarnation != incarnation;
  bool first = m.incarnation == 0 && m.state == State::kAlive && state == State::kAlive;
  if (moved) {
    m.state = state;
    m.incarnation = incarnation;
    m.since = now;
    m.suspected_by.clear();
  }
  bool confirmed = false;
  if (state == State::kSuspect) {
    if (std::find(m.suspected_by.begin(), m.suspected_by.end(), by) == m.suspected_by.end() &&
        m.suspected_by.size() <= static_cast<std::size_t>(terms_.confirmations)) {
      m.suspected_by.push_back(by);
      confirmed = !moved;
    }
    // Each independent suspicion brings the end nearer (Lifeguard), never later than it was. The
    // last looks come before the end; one heard of late still gets them all.
    m.dead_at = m.since + SuspicionTimeout(m.suspected_by.size() - 1);
    if (moved)
      m.looks = 0;
    if (m.looks == 0)
      m.look_at = std::max(now, m.dead_at - (terms_.looks + 1) * terms_.probe_timeout);
    // The end waits for the looks that are left, a timeout after each, however early the
    // confirmations came.
    m.dead_at = std::max(m.dead_at, m.look_at + (terms_.looks - m.looks) * terms_.probe_timeout);
  }
  // A further independent suspicion is passed on too: where only the first is, those who hear of it
  // early never come to the confirmations that shorten the wait.
  if (moved || confirmed)
    Spread(News{m.id, incarnation, state, by}, first);
  if (moved)
    changes_.push_back(Change{m.id, state, incarnation, false});
}

void Swim::Refute() {
  Spread(News{self_, incarnation_, State::kAlive, self_});
  Better(+1);  // Lifeguard: being suspected hints that this member is the slow one
}

void Swim::Hear(Ms now, const News& n) {
  if (n.who == self_) {
    if (n.state != State::kAlive && n.incarnation >= incarnation_) {
      incarnation_ = n.incarnation + 1;
      Refute();
    }
    return;
  }
  auto found = members_.find(n.who);
  if (found == members_.end())
    return;  // not configured: passed over
  Member& m = found->second;
  bool newer = n.incarnation > m.incarnation ||
               (n.incarnation == m.incarnation && Rank(n.state) > Rank(m.state));
  bool confirms =
      n.state == State::kSuspect && m.state == State::kSuspect && n.incarnation == m.incarnation;
  if (newer || confirms)
    Set(now, m, n.state, n.incarnation, n.by);
}

void Swim::HearNote(const Note& n) {
  if (n.origin == self_)
    return;
  auto found = members_.find(n.origin);
  if (found == members_.end())
    return;
  Member& m = found->second;
  if (m.noted && n.seq <= m.note.seq)
    return;
  m.note = n;
  m.noted = true;
  note_sent_[n.origin] = 0;
  changes_.push_back(Change{m.id, m.state, m.incarnation, true});
}

Message Swim::Make(Kind kind, Id to, std::uint32_t seq, Id target) {
  Message m;
  m.kind = kind;
  m.from = self_;
  m.to = to;
  m.seq = seq;
  m.target = target;
  // Always who sends and at which incarnation: a member that comes back, or refutes, is heard at
  // once.
  m.news.push_back(News{self_, incarnation_, State::kAlive, self_});
  // The buddy system (Lifeguard): a member that is suspected hears it from whoever probes it; one
  // taken for dead too, so that after a partition it refutes at once.
  if (auto about = members_.find(to);
      about != members_.end() && about->second.state != State::kAlive)
    m.news.push_back(News{to, about->second.incarnation, about->second.state, self_});
  std::vector<std::size_t> picks(queue_.size());
  for (std::size_t i = 0; i < picks.size(); ++i)
    picks[i] = i;
  // Refutations first, then suspicions and deaths, then who is new; the least sent first. When
  // there is more news than messages carry, what saves a living member must not wait behind what
  // accuses others, and neither behind the first words of hundreds that have just started.
  std::sort(picks.begin(), picks.end(), [&](std::size_t a, std::size_t b) {
    auto order = [&](std::size_t i) {
      int urgency = queue_[i].first ? 2 : queue_[i].news.state != State::kAlive;
      return std::tuple(urgency, queue_[i].sent, queue_[i].news.who);
    };
    return order(a) < order(b);
  });
  for (std::size_t i : picks) {
    if (m.news.size() >= terms_.news_per_message)
      break;
    if (queue_[i].news.who == self_ && queue_[i].news.state == State::kAlive)
      continue;  // said already
    m.news.push_back(queue_[i].news);
    ++queue_[i].sent;
  }
  int most = Retransmits();
  std::erase_if(queue_, [&](const Queued& q) { return q.sent >= most; });
  // Notes, the least sent first.
  std::vector<std::pair<int, Id>> notes;
  for (auto& [origin, sent] : note_sent_)
    if (sent < most)
      notes.emplace_back(sent, origin);
  std::sort(notes.begin(), notes.end());
  for (auto [sent, origin] : notes) {
    if (m.notes.size() >= terms_.notes_per_message)
      break;
    const Note* n = origin == self_ ? &own_ : nullptr;
    if (!n) {
      auto found = members_.find(origin);
      if (found == members_.end() || !found->second.noted)
        continue;
      n = &found->second.note;
    }
    if (n->seq == 0)
      continue;
    m.notes.push_back(*n);
    ++note_sent_[origin];
  }
  return m;
}

void Swim::EndProbe(Ms now) {
  if (probe_.answered)
    return;
  probe_.answered = true;
  // Lifeguard: each nack that never came, or the failed probe where nobody could be asked. Where
  // all helpers answer that they did not reach it either, it is the target, not this member, that
  // is slow.
  Better(probe_.helpers.empty() ? +1 : probe_.nacks_due);
  auto found = members_.find(probe_.target);
  // Of one that is suspect already this is an independent confirmation.
  if (found != members_.end() && found->second.state != State::kDead)
    Set(now, found->second, State::kSuspect, found->second.incarnation, self_);
}

void Swim::Ask(std::vector<Message>& out) {
  for (Id h : probe_.helpers)
    out.push_back(Make(Kind::kAskPing, h, probe_.seq, probe_.target));
}

// The probe tells the suspect what is held of it, so that its answer refutes.
void Swim::LookFor(Ms now, Member& m, std::vector<Message>& out) {
  ++m.looks;
  m.look_at = now + terms_.probe_timeout;
  m.dead_at = std::max(m.dead_at, m.look_at);
  out.push_back(Make(Kind::kPing, m.id, ++seq_, m.id));
}

void Swim::StartProbe(Ms now, std::vector<Message>& out) {
  Ms scale = health_ + 1;
  next_probe_at_ = now + terms_.period * scale;
  // Round-robin over a shuffled order (SWIM's time-bounded completeness); the dead are left out.
  for (int pass = 0; pass < 2; ++pass) {
    while (next_ < order_.size()) {
      Id id = order_[next_++];
      auto found = members_.find(id);
      if (found == members_.end() || found->second.state == State::kDead)
        continue;
      probe_ = Probe{};
      probe_.target = id;
      probe_.seq = ++seq_;
      probe_.answered = false;
      probe_.tries = 1;
      probe_.timeout_at = now + terms_.probe_timeout * scale;
      probe_.again_at = now + terms_.probe_timeout * scale / terms_.tries;
      out.push_back(Make(Kind::kPing, id, probe_.seq, id));
      return;
    }
    order_.clear();
    next_ = 0;
    for (const auto& [id, m] : members_)
      if (m.state != State::kDead)
        order_.push_back(id);
    std::shuffle(order_.begin(), order_.end(), random_);
  }
}

void Swim::Tick(Ms now, std::vector<Message>& out) {
  if (!probe_.answered && !probe_.asked_others && now >= probe_.timeout_at) {
    probe_.asked_others = true;
    std::vector<Id> helpers;
    for (const auto& [id, m] : members_)
      if (m.state == State::kAlive && id != probe_.target)
        helpers.push_back(id);
    std::shuffle(helpers.begin(), helpers.end(), random_);
    int most = std::min(terms_.indirect + health_, std::max(terms_.indirect, terms_.indirect_most));
    helpers.resize(std::min<std::size_t>(helpers.size(), static_cast<std::size_t>(most)));
    probe_.helpers = helpers;
    probe_.nacks_due = static_cast<int>(helpers.size());
    probe_.again_at = now + terms_.probe_timeout * (health_ + 1) / 2;
    Ask(out);
  } else if (!probe_.answered && !probe_.asked_others && probe_.tries < terms_.tries &&
             now >= probe_.again_at) {
    ++probe_.tries;
    Ms step = terms_.probe_timeout * (health_ + 1) / terms_.tries;
    probe_.again_at = probe_.tries < terms_.tries ? now + step : probe_.timeout_at;
    out.push_back(Make(Kind::kPing, probe_.target, probe_.seq, probe_.target));
  } else if (!probe_.answered && probe_.asked_others && !probe_.asked_again &&
             now >= probe_.again_at) {
    probe_.asked_again = true;
    if (terms_.tries > 1)
      Ask(out);
  }
  if (now >= next_probe_at_) {
    EndProbe(now);
    StartProbe(now, out);
  }
  for (auto& [id, m] : members_)
    if (m.state == State::kSuspect && m.looks < terms_.looks) {
      if (now >= m.look_at)
        LookFor(now, m, out);
    } else if (m.state == State::kSuspect && now >= m.dead_at) {
      Set(now, m, State::kDead, m.incarnation, self_);
    }
  if (now >= reconnect_at_) {
    // Beside the probes, and without a verdict of its own: an answer brings the member back by its
    // news alone.
    reconnect_at_ = now + terms_.reconnect;
    std::vector<Id> dead;
    for (const auto& [id, m] : members_)
      if (m.state == State::kDead)
        dead.push_back(id);
    if (!dead.empty()) {
      Id id = dead[std::uniform_int_distribution<std::size_t>(0, dead.size() - 1)(random_)];
      out.push_back(Make(Kind::kPing, id, ++seq_, id));
    }
  }
  for (auto it = relays_.begin(); it != relays_.end();) {
    if (!it->second.again && now >= it->second.again_at && now < it->second.until) {
      it->second.again = true;
      out.push_back(Make(Kind::kPing, it->second.target, it->first, it->second.target));
    }
    if (now < it->second.until) {
      ++it;
      continue;
    }
    out.push_back(Make(Kind::kNack, it->second.response_sink, it->second.response_sink_seq,
                       it->second.target));
    it = relays_.erase(it);
  }
  if (now >= note_at_) {
    note_at_ = now + terms_.note_refresh;
    if (own_.seq != 0) {
      ++own_.seq;
      note_sent_[self_] = 0;
    }
  }
}

void Swim::Receive(Ms now, const Message& m, std::vector<Message>& out) {
  if (m.to != self_ || m.from == self_ || !members_.count(m.from))
    return;
  for (const News& n : m.news)
    Hear(now, n);
  for (const Note& n : m.notes)
    HearNote(n);
  switch (m.kind) {
    case Kind::kPing:
      out.push_back(Make(Kind::kAck, m.from, m.seq, self_));
      break;
    case Kind::kAck:
      if (!probe_.answered && m.seq == probe_.seq && m.target == probe_.target) {
        probe_.answered = true;
        Better(-1);
      } else if (auto r = relays_.find(m.seq); r != relays_.end() && m.target == r->second.target) {
        out.push_back(Make(Kind::kAck, r->second.response_sink, r->second.response_sink_seq,
                           r->second.target));
        relays_.erase(r);
      }
      break;
    case Kind::kAskPing:
      if (relays_.size() < kMostRelays && members_.count(m.target)) {
        // The relay's own probe ends a little before the asker's period would, so its nack is in
        // time. Asked again for the same probe, it goes on with the one under way.
        constexpr double kShare = 0.8;
        for (const auto& [seq, r] : relays_)
          if (r.response_sink == m.from && r.response_sink_seq == m.seq)
            return;
        Ms lasts = kShare * terms_.probe_timeout * (health_ + 1);
        relays_[++seq_] =
            Relay{m.from, m.target, m.seq, now + lasts, now + lasts / 2, terms_.tries <= 1};
        out.push_back(Make(Kind::kPing, m.target, seq_, m.target));
      }
      break;
    case Kind::kNack:
      if (!probe_.answered && m.seq == probe_.seq && m.target == probe_.target &&
          probe_.nacks_due > 0)
        --probe_.nacks_due;
      break;
  }
}

}  // namespace dunlinwick::members
