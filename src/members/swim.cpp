#include "members/swim.hpp"

#include <algorithm>
#include <tuple>
#include <cmath>
#include <utility>

namespace dunlinwick::members {

const char* word(State state) {
  switch (state) {
    case State::alive: return "alive";
    case State::suspect: return "suspect";
    case State::dead: return "dead";
  }
  return "?";
}

const char* word(Kind kind) {
  switch (kind) {
    case Kind::ping: return "ping";
    case Kind::ack: return "ack";
    case Kind::askPing: return "ask-ping";
    case Kind::nack: return "nack";
  }
  return "?";
}

namespace {
int rank(State s) { return static_cast<int>(s); }  // at one incarnation: alive < suspect < dead
// Relayed probes held at once. A member is asked by at most `indirect` others a period in the ordinary case; the
// bound guards against a storm of requests (a peer gone wrong), at the price of answering some with silence.
constexpr std::size_t mostRelays = 256;
}  // namespace

Swim::Swim(Id self, std::vector<Id> others, std::uint32_t incarnation, Terms terms, std::uint64_t seed, Ms now)
    : self_(self), incarnation_(incarnation), terms_(terms), random_(static_cast<unsigned>(seed ^ (seed >> 32))) {
  for (Id id : others)
    if (id != self) {
      Member m;
      m.id = id, m.since = now;
      members_[id] = m;
    }
  own_.origin = self;
  // Members start their rounds at different points of a period, so that probes do not come in waves.
  std::uniform_real_distribution<double> offset(0, terms_.period);
  nextProbeAt_ = now + offset(random_);
  noteAt_ = now + terms_.noteRefresh;
}

std::size_t Swim::alive() const {
  return 1 + static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [](const auto& m) {
           return m.second.state != State::dead;
         }));
}

int Swim::retransmits() const {
  return terms_.retransmit * std::max(1, static_cast<int>(std::ceil(std::log10(members_.size() + 2.0))));
}

Ms Swim::suspicionTimeout(std::size_t confirmations) const {
  double n = static_cast<double>(members_.size() + 1);
  Ms least = terms_.alpha * std::max(1.0, std::log10(n)) * terms_.period, most = terms_.beta * least;
  // In a fleet too small for so many independent suspicions, as many as there can be (memberlist does so too).
  int wanted = std::min(terms_.confirmations, static_cast<int>(members_.size()) - 2);
  if (wanted <= 0) return least;
  double c = static_cast<double>(std::min<std::size_t>(confirmations, static_cast<std::size_t>(wanted)));
  return std::max(least, most - (most - least) * std::log(c + 1) / std::log(wanted + 1.0));
}

std::vector<Change> Swim::changes() { return std::exchange(changes_, {}); }

void Swim::publish(Ms now, std::uint64_t bits) {
  if (own_.seq != 0 && own_.bits == bits) return;
  own_.bits = bits, ++own_.seq;
  noteSent_[self_] = 0;
  noteAt_ = now + terms_.noteRefresh;
}

Ms Swim::wakeAt() const {
  Ms at = std::min({nextProbeAt_, noteAt_, reconnectAt_});
  if (!probe_.answered && !probe_.askedOthers) at = std::min({at, probe_.timeoutAt, probe_.againAt});
  if (!probe_.answered && probe_.askedOthers && !probe_.askedAgain) at = std::min(at, probe_.againAt);
  for (const auto& [id, m] : members_)
    if (m.state == State::suspect) at = std::min(at, m.looks < terms_.looks ? m.lookAt : m.deadAt);
  for (const auto& [seq, r] : relays_) at = std::min(at, r.again ? r.until : std::min(r.until, r.againAt));
  return at;
}

void Swim::spread(const News& n, bool first) {
  auto same = std::find_if(queue_.begin(), queue_.end(), [&](const Queued& q) { return q.news.who == n.who; });
  if (same != queue_.end()) *same = Queued{n, 0, first};
  else queue_.push_back(Queued{n, 0, first});
}

void Swim::set(Ms now, Member& m, State state, std::uint32_t incarnation, Id by) {
  bool moved = m.state != state || m.incarnation != incarnation;
  bool first = m.incarnation == 0 && m.state == State::alive && state == State::alive;
  if (moved) {
    m.state = state, m.incarnation = incarnation, m.since = now;
    m.suspectedBy.clear();
  }
  bool confirmed = false;
  if (state == State::suspect) {
    if (std::find(m.suspectedBy.begin(), m.suspectedBy.end(), by) == m.suspectedBy.end() &&
        m.suspectedBy.size() <= static_cast<std::size_t>(terms_.confirmations)) {
      m.suspectedBy.push_back(by);
      confirmed = !moved;
    }
    // Each independent suspicion brings the end nearer (Lifeguard), never later than it was. The last looks come
    // before the end; one heard of late still gets them all.
    m.deadAt = m.since + suspicionTimeout(m.suspectedBy.size() - 1);
    if (moved) m.looks = 0;
    if (m.looks == 0) m.lookAt = std::max(now, m.deadAt - (terms_.looks + 1) * terms_.probeTimeout);
    // The end waits for the looks that are left, a timeout after each, however early the confirmations came.
    m.deadAt = std::max(m.deadAt, m.lookAt + (terms_.looks - m.looks) * terms_.probeTimeout);
  }
  // A further independent suspicion is passed on too: where only the first is, those who hear of it early never
  // come to the confirmations that shorten the wait.
  if (moved || confirmed) spread(News{m.id, incarnation, state, by}, first);
  if (moved) changes_.push_back(Change{m.id, state, incarnation, false});
}

void Swim::refute() {
  spread(News{self_, incarnation_, State::alive, self_});
  better(+1);  // Lifeguard: being suspected hints that this member is the slow one
}

void Swim::hear(Ms now, const News& n) {
  if (n.who == self_) {
    if (n.state != State::alive && n.incarnation >= incarnation_) {
      incarnation_ = n.incarnation + 1;
      refute();
    }
    return;
  }
  auto found = members_.find(n.who);
  if (found == members_.end()) return;  // not configured: passed over
  Member& m = found->second;
  bool newer = n.incarnation > m.incarnation ||
               (n.incarnation == m.incarnation && rank(n.state) > rank(m.state));
  bool confirms = n.state == State::suspect && m.state == State::suspect && n.incarnation == m.incarnation;
  if (newer || confirms) set(now, m, n.state, n.incarnation, n.by);
}

void Swim::hearNote(const Note& n) {
  if (n.origin == self_) return;
  auto found = members_.find(n.origin);
  if (found == members_.end()) return;
  Member& m = found->second;
  if (m.noted && n.seq <= m.note.seq) return;
  m.note = n, m.noted = true;
  noteSent_[n.origin] = 0;
  changes_.push_back(Change{m.id, m.state, m.incarnation, true});
}

Message Swim::make(Kind kind, Id to, std::uint32_t seq, Id target) {
  Message m;
  m.kind = kind, m.from = self_, m.to = to, m.seq = seq, m.target = target;
  // Always who sends and at which incarnation: a member that comes back, or refutes, is heard at once.
  m.news.push_back(News{self_, incarnation_, State::alive, self_});
  // The buddy system (Lifeguard): a member that is suspected hears it from whoever probes it; one taken for dead
  // too, so that after a partition it refutes at once.
  if (auto about = members_.find(to); about != members_.end() && about->second.state != State::alive)
    m.news.push_back(News{to, about->second.incarnation, about->second.state, self_});
  std::vector<std::size_t> picks(queue_.size());
  for (std::size_t i = 0; i < picks.size(); ++i) picks[i] = i;
  // Refutations first, then suspicions and deaths, then who is new; the least sent first. When there is more news
  // than messages carry, what saves a living member must not wait behind what accuses others, and neither behind
  // the first words of hundreds that have just started.
  std::sort(picks.begin(), picks.end(), [&](std::size_t a, std::size_t b) {
    auto order = [&](std::size_t i) {
      int urgency = queue_[i].first ? 2 : queue_[i].news.state != State::alive;
      return std::tuple(urgency, queue_[i].sent, queue_[i].news.who);
    };
    return order(a) < order(b);
  });
  for (std::size_t i : picks) {
    if (m.news.size() >= terms_.newsPerMessage) break;
    if (queue_[i].news.who == self_ && queue_[i].news.state == State::alive) continue;  // said already
    m.news.push_back(queue_[i].news);
    ++queue_[i].sent;
  }
  int most = retransmits();
  std::erase_if(queue_, [&](const Queued& q) { return q.sent >= most; });
  // Notes, the least sent first.
  std::vector<std::pair<int, Id>> notes;
  for (auto& [origin, sent] : noteSent_)
    if (sent < most) notes.emplace_back(sent, origin);
  std::sort(notes.begin(), notes.end());
  for (auto [sent, origin] : notes) {
    if (m.notes.size() >= terms_.notesPerMessage) break;
    const Note* n = origin == self_ ? &own_ : nullptr;
    if (!n) {
      auto found = members_.find(origin);
      if (found == members_.end() || !found->second.noted) continue;
      n = &found->second.note;
    }
    if (n->seq == 0) continue;
    m.notes.push_back(*n);
    ++noteSent_[origin];
  }
  return m;
}

void Swim::endProbe(Ms now) {
  if (probe_.answered) return;
  probe_.answered = true;
  // Lifeguard: each nack that never came, or the failed probe where nobody could be asked. Where all helpers answer
  // that they did not reach it either, it is the target, not this member, that is slow.
  better(probe_.helpers.empty() ? +1 : probe_.nacksDue);
  auto found = members_.find(probe_.target);
  // Of one that is suspect already this is an independent confirmation.
  if (found != members_.end() && found->second.state != State::dead)
    set(now, found->second, State::suspect, found->second.incarnation, self_);
}

void Swim::ask(std::vector<Message>& out) {
  for (Id h : probe_.helpers) out.push_back(make(Kind::askPing, h, probe_.seq, probe_.target));
}

// The probe tells the suspect what is held of it, so that its answer refutes.
void Swim::lookFor(Ms now, Member& m, std::vector<Message>& out) {
  ++m.looks;
  m.lookAt = now + terms_.probeTimeout;
  m.deadAt = std::max(m.deadAt, m.lookAt);
  out.push_back(make(Kind::ping, m.id, ++seq_, m.id));
}

void Swim::startProbe(Ms now, std::vector<Message>& out) {
  Ms scale = health_ + 1;
  nextProbeAt_ = now + terms_.period * scale;
  // Round-robin over a shuffled order (SWIM's time-bounded completeness); the dead are left out.
  for (int pass = 0; pass < 2; ++pass) {
    while (next_ < order_.size()) {
      Id id = order_[next_++];
      auto found = members_.find(id);
      if (found == members_.end() || found->second.state == State::dead) continue;
      probe_ = Probe{};
      probe_.target = id, probe_.seq = ++seq_, probe_.answered = false, probe_.tries = 1;
      probe_.timeoutAt = now + terms_.probeTimeout * scale;
      probe_.againAt = now + terms_.probeTimeout * scale / terms_.tries;
      out.push_back(make(Kind::ping, id, probe_.seq, id));
      return;
    }
    order_.clear(), next_ = 0;
    for (const auto& [id, m] : members_)
      if (m.state != State::dead) order_.push_back(id);
    std::shuffle(order_.begin(), order_.end(), random_);
  }
}

void Swim::tick(Ms now, std::vector<Message>& out) {
  if (!probe_.answered && !probe_.askedOthers && now >= probe_.timeoutAt) {
    probe_.askedOthers = true;
    std::vector<Id> helpers;
    for (const auto& [id, m] : members_)
      if (m.state == State::alive && id != probe_.target) helpers.push_back(id);
    std::shuffle(helpers.begin(), helpers.end(), random_);
    int most = std::min(terms_.indirect + health_, std::max(terms_.indirect, terms_.indirectMost));
    helpers.resize(std::min<std::size_t>(helpers.size(), static_cast<std::size_t>(most)));
    probe_.helpers = helpers, probe_.nacksDue = static_cast<int>(helpers.size());
    probe_.againAt = now + terms_.probeTimeout * (health_ + 1) / 2;
    ask(out);
  } else if (!probe_.answered && !probe_.askedOthers && probe_.tries < terms_.tries && now >= probe_.againAt) {
    ++probe_.tries;
    Ms step = terms_.probeTimeout * (health_ + 1) / terms_.tries;
    probe_.againAt = probe_.tries < terms_.tries ? now + step : probe_.timeoutAt;
    out.push_back(make(Kind::ping, probe_.target, probe_.seq, probe_.target));
  } else if (!probe_.answered && probe_.askedOthers && !probe_.askedAgain && now >= probe_.againAt) {
    probe_.askedAgain = true;
    if (terms_.tries > 1) ask(out);
  }
  if (now >= nextProbeAt_) {
    endProbe(now);
    startProbe(now, out);
  }
  for (auto& [id, m] : members_)
    if (m.state == State::suspect && m.looks < terms_.looks) {
      if (now >= m.lookAt) lookFor(now, m, out);
    } else if (m.state == State::suspect && now >= m.deadAt) {
      set(now, m, State::dead, m.incarnation, self_);
    }
  if (now >= reconnectAt_) {
    // Beside the probes, and without a verdict of its own: an answer brings the member back by its news alone.
    reconnectAt_ = now + terms_.reconnect;
    std::vector<Id> dead;
    for (const auto& [id, m] : members_)
      if (m.state == State::dead) dead.push_back(id);
    if (!dead.empty()) {
      Id id = dead[std::uniform_int_distribution<std::size_t>(0, dead.size() - 1)(random_)];
      out.push_back(make(Kind::ping, id, ++seq_, id));
    }
  }
  for (auto it = relays_.begin(); it != relays_.end();) {
    if (!it->second.again && now >= it->second.againAt && now < it->second.until) {
      it->second.again = true;
      out.push_back(make(Kind::ping, it->second.target, it->first, it->second.target));
    }
    if (now < it->second.until) {
      ++it;
      continue;
    }
    out.push_back(make(Kind::nack, it->second.asker, it->second.askerSeq, it->second.target));
    it = relays_.erase(it);
  }
  if (now >= noteAt_) {
    noteAt_ = now + terms_.noteRefresh;
    if (own_.seq != 0) ++own_.seq, noteSent_[self_] = 0;
  }
}

void Swim::receive(Ms now, const Message& m, std::vector<Message>& out) {
  if (m.to != self_ || m.from == self_ || !members_.count(m.from)) return;
  for (const News& n : m.news) hear(now, n);
  for (const Note& n : m.notes) hearNote(n);
  switch (m.kind) {
    case Kind::ping:
      out.push_back(make(Kind::ack, m.from, m.seq, self_));
      break;
    case Kind::ack:
      if (!probe_.answered && m.seq == probe_.seq && m.target == probe_.target) {
        probe_.answered = true;
        better(-1);
      } else if (auto r = relays_.find(m.seq); r != relays_.end() && m.target == r->second.target) {
        out.push_back(make(Kind::ack, r->second.asker, r->second.askerSeq, r->second.target));
        relays_.erase(r);
      }
      break;
    case Kind::askPing:
      if (relays_.size() < mostRelays && members_.count(m.target)) {
        // The relay's own probe ends a little before the asker's period would, so its nack is in time. Asked again
        // for the same probe, it goes on with the one under way.
        constexpr double share = 0.8;
        for (const auto& [seq, r] : relays_)
          if (r.asker == m.from && r.askerSeq == m.seq) return;
        Ms lasts = share * terms_.probeTimeout * (health_ + 1);
        relays_[++seq_] = Relay{m.from, m.target, m.seq, now + lasts, now + lasts / 2, terms_.tries <= 1};
        out.push_back(make(Kind::ping, m.target, seq_, m.target));
      }
      break;
    case Kind::nack:
      if (!probe_.answered && m.seq == probe_.seq && m.target == probe_.target && probe_.nacksDue > 0)
        --probe_.nacksDue;
      break;
  }
}

}  // namespace dunlinwick::members
