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
    case Kind::kPingRequest:
      return "ask-ping";
    case Kind::kNack:
      return "nack";
  }
  return "?";
}

namespace {
int Precedence(State state) {
  return static_cast<int>(state);
}  // at equal incarnations: alive < suspect < dead
// Relayed probes pending at once. Usually at most `indirect_probes` others send a member ping
// requests per period; the bound guards against a flood of requests from a faulty peer, and leaves
// some requests unanswered then.
constexpr std::size_t kMaxRelays = 256;
}  // namespace

Swim::Swim(Id self, std::vector<Id> others, std::uint32_t incarnation, Settings settings,
           std::uint64_t seed, Ms now)
    : self_(self),
      incarnation_(incarnation),
      settings_(settings),
      random_engine_(static_cast<unsigned>(seed ^ (seed >> 32))) {
  for (Id id : others)
    if (id != self) {
      Member m;
      m.id = id;
      m.since = now;
      members_[id] = m;
    }
  own_payload_.publisher = self;
  // Members start their rounds at different offsets within a period, so that probes are not
  // synchronized.
  std::uniform_real_distribution<double> offset(0, settings_.period);
  next_probe_at_ = now + offset(random_engine_);
  refresh_payload_at_ = now + settings_.payload_refresh_period;
}

std::size_t Swim::alive() const {
  return 1 + static_cast<std::size_t>(
                 std::count_if(members_.begin(), members_.end(),
                               [](const auto& m) { return m.second.state != State::kDead; }));
}

int Swim::MaxTransmissions() const {
  return settings_.retransmit_multiplier *
         std::max(1, static_cast<int>(std::ceil(std::log10(members_.size() + 2.0))));
}

Ms Swim::SuspicionTimeout(std::size_t confirmations) const {
  double fleet_size = static_cast<double>(members_.size() + 1);
  Ms min_timeout = settings_.alpha * std::max(1.0, std::log10(fleet_size)) * settings_.period,
     max_timeout = settings_.beta * min_timeout;
  // A fleet too small for that many independent suspicions expects as many as it can have, as
  // memberlist does.
  int expected = std::min(settings_.confirmations, static_cast<int>(members_.size()) - 2);
  if (expected <= 0)
    return min_timeout;
  double received =
      static_cast<double>(std::min<std::size_t>(confirmations, static_cast<std::size_t>(expected)));
  return std::max(min_timeout, max_timeout - (max_timeout - min_timeout) * std::log(received + 1) /
                                                 std::log(expected + 1.0));
}

std::vector<Change> Swim::TakeChanges() {
  return std::exchange(changes_, {});
}

void Swim::Publish(Ms now, std::uint64_t bits) {
  if (own_payload_.seq != 0 && own_payload_.bits == bits)
    return;
  own_payload_.bits = bits;
  ++own_payload_.seq;
  payload_transmissions_[self_] = 0;
  refresh_payload_at_ = now + settings_.payload_refresh_period;
}

Ms Swim::WakeAt() const {
  Ms earliest = std::min({next_probe_at_, refresh_payload_at_, reconnect_at_});
  if (!probe_.answered && !probe_.indirect_sent)
    earliest = std::min({earliest, probe_.timeout_at, probe_.retry_at});
  if (!probe_.answered && probe_.indirect_sent && !probe_.indirect_retried)
    earliest = std::min(earliest, probe_.retry_at);
  for (const auto& [id, m] : members_)
    if (m.state == State::kSuspect)
      earliest =
          std::min(earliest, m.final_probes_sent < settings_.final_probes ? m.next_final_probe_at
                                                                          : m.dead_at);
  for (const auto& [seq, relay] : relays_)
    earliest = std::min(
        earliest, relay.retried ? relay.expires_at : std::min(relay.expires_at, relay.retry_at));
  return earliest;
}

void Swim::QueueUpdate(const MemberUpdate& update, bool initial) {
  auto same = std::find_if(queue_.begin(), queue_.end(),
                           [&](const QueuedUpdate& q) { return q.update.member == update.member; });
  if (same != queue_.end())
    *same = QueuedUpdate{update, 0, initial};
  else
    queue_.push_back(QueuedUpdate{update, 0, initial});
}

void Swim::SetState(Ms now, Member& m, State state, std::uint32_t incarnation, Id reporter) {
  bool changed = m.state != state || m.incarnation != incarnation;
  bool initial = m.incarnation == 0 && m.state == State::kAlive && state == State::kAlive;
  if (changed) {
    m.state = state;
    m.incarnation = incarnation;
    m.since = now;
    m.suspected_by.clear();
  }
  bool confirmed = false;
  if (state == State::kSuspect) {
    if (std::find(m.suspected_by.begin(), m.suspected_by.end(), reporter) == m.suspected_by.end() &&
        m.suspected_by.size() <= static_cast<std::size_t>(settings_.confirmations)) {
      m.suspected_by.push_back(reporter);
      confirmed = !changed;
    }
    // Each independent suspicion shortens the timeout (Lifeguard) and never extends it. The final
    // probes are sent before it ends; a suspect that this member learns of late still gets all of
    // them.
    m.dead_at = m.since + SuspicionTimeout(m.suspected_by.size() - 1);
    if (changed)
      m.final_probes_sent = 0;
    if (m.final_probes_sent == 0)
      m.next_final_probe_at =
          std::max(now, m.dead_at - (settings_.final_probes + 1) * settings_.probe_timeout);
    // The end is delayed until the remaining final probes are sent, one probe timeout after each,
    // however early the confirmations came.
    m.dead_at =
        std::max(m.dead_at, m.next_final_probe_at + (settings_.final_probes - m.final_probes_sent) *
                                                        settings_.probe_timeout);
  }
  // Further independent suspicions are passed on as well: if only the first were, members that
  // received it early would never collect the confirmations that shorten the timeout.
  if (changed || confirmed)
    QueueUpdate(MemberUpdate{m.id, incarnation, state, reporter}, initial);
  if (changed)
    changes_.push_back(Change{m.id, state, incarnation, false});
}

void Swim::Refute() {
  QueueUpdate(MemberUpdate{self_, incarnation_, State::kAlive, self_});
  AdjustHealth(+1);  // Lifeguard: being suspected hints that this member is the slow one
}

void Swim::ApplyUpdate(Ms now, const MemberUpdate& update) {
  if (update.member == self_) {
    if (update.state != State::kAlive && update.incarnation >= incarnation_) {
      incarnation_ = update.incarnation + 1;
      Refute();
    }
    return;
  }
  auto found = members_.find(update.member);
  if (found == members_.end())
    return;  // not configured
  Member& m = found->second;
  bool newer =
      update.incarnation > m.incarnation ||
      (update.incarnation == m.incarnation && Precedence(update.state) > Precedence(m.state));
  bool confirms = update.state == State::kSuspect && m.state == State::kSuspect &&
                  update.incarnation == m.incarnation;
  if (newer || confirms)
    SetState(now, m, update.state, update.incarnation, update.reporter);
}

void Swim::ApplyPayload(const Payload& payload) {
  if (payload.publisher == self_)
    return;
  auto found = members_.find(payload.publisher);
  if (found == members_.end())
    return;
  Member& m = found->second;
  if (m.has_payload && payload.seq <= m.payload.seq)
    return;
  m.payload = payload;
  m.has_payload = true;
  payload_transmissions_[payload.publisher] = 0;
  changes_.push_back(Change{m.id, m.state, m.incarnation, true});
}

Message Swim::MakeMessage(Kind kind, Id to, std::uint32_t seq, Id target) {
  Message m;
  m.kind = kind;
  m.from = self_;
  m.to = to;
  m.seq = seq;
  m.target = target;
  // Every message carries the sender and its incarnation, so that a member that returns or refutes
  // is recognized at once.
  m.updates.push_back(MemberUpdate{self_, incarnation_, State::kAlive, self_});
  // The buddy system (Lifeguard): whoever probes a suspected member informs it of the suspicion. A
  // dead member is informed too, so that it refutes at once after a partition.
  if (auto recipient = members_.find(to);
      recipient != members_.end() && recipient->second.state != State::kAlive)
    m.updates.push_back(
        MemberUpdate{to, recipient->second.incarnation, recipient->second.state, self_});
  std::vector<std::size_t> indices(queue_.size());
  for (std::size_t i = 0; i < indices.size(); ++i)
    indices[i] = i;
  // Refutations first, then suspicions and deaths, then initial updates; within each the least sent
  // first. When there are more updates than messages can carry, an update that saves an alive
  // member must wait neither behind accusations nor behind the initial updates of hundreds of
  // members that have just started.
  std::sort(indices.begin(), indices.end(), [&](std::size_t a, std::size_t b) {
    auto order = [&](std::size_t i) {
      int urgency = queue_[i].initial ? 2 : queue_[i].update.state != State::kAlive;
      return std::tuple(urgency, queue_[i].sent, queue_[i].update.member);
    };
    return order(a) < order(b);
  });
  for (std::size_t i : indices) {
    if (m.updates.size() >= settings_.max_updates_per_message)
      break;
    if (queue_[i].update.member == self_ && queue_[i].update.state == State::kAlive)
      continue;  // included above
    m.updates.push_back(queue_[i].update);
    ++queue_[i].sent;
  }
  int max_transmissions = MaxTransmissions();
  std::erase_if(queue_, [&](const QueuedUpdate& q) { return q.sent >= max_transmissions; });
  // Payloads, the least sent first.
  std::vector<std::pair<int, Id>> candidates;
  for (auto& [publisher, sent] : payload_transmissions_)
    if (sent < max_transmissions)
      candidates.emplace_back(sent, publisher);
  std::sort(candidates.begin(), candidates.end());
  for (auto [sent, publisher] : candidates) {
    if (m.payloads.size() >= settings_.max_payloads_per_message)
      break;
    const Payload* payload = publisher == self_ ? &own_payload_ : nullptr;
    if (!payload) {
      auto found = members_.find(publisher);
      if (found == members_.end() || !found->second.has_payload)
        continue;
      payload = &found->second.payload;
    }
    if (payload->seq == 0)
      continue;
    m.payloads.push_back(*payload);
    ++payload_transmissions_[publisher];
  }
  return m;
}

void Swim::EndProbe(Ms now) {
  if (probe_.answered)
    return;
  probe_.answered = true;
  // Lifeguard: local health degrades by one for each nack that did not arrive, or by one for the
  // failed probe if there was no helper. If all helpers report that they did not reach the target
  // either, then the target is slow and not this member.
  AdjustHealth(probe_.helpers.empty() ? +1 : probe_.nacks_pending);
  auto found = members_.find(probe_.target);
  // For a member that is already suspect this is an independent confirmation.
  if (found != members_.end() && found->second.state != State::kDead)
    SetState(now, found->second, State::kSuspect, found->second.incarnation, self_);
}

void Swim::SendPingRequests(std::vector<Message>& out) {
  for (Id helper : probe_.helpers)
    out.push_back(MakeMessage(Kind::kPingRequest, helper, probe_.seq, probe_.target));
}

// The probe carries the suspicion to the suspect, so that its answer refutes.
void Swim::SendFinalProbe(Ms now, Member& m, std::vector<Message>& out) {
  ++m.final_probes_sent;
  m.next_final_probe_at = now + settings_.probe_timeout;
  m.dead_at = std::max(m.dead_at, m.next_final_probe_at);
  out.push_back(MakeMessage(Kind::kPing, m.id, ++seq_, m.id));
}

void Swim::StartProbe(Ms now, std::vector<Message>& out) {
  Ms scale = health_ + 1;
  next_probe_at_ = now + settings_.period * scale;
  // Round-robin over a shuffled order (SWIM's time-bounded completeness), without dead members.
  for (int pass = 0; pass < 2; ++pass) {
    while (next_in_order_ < probe_order_.size()) {
      Id id = probe_order_[next_in_order_++];
      auto found = members_.find(id);
      if (found == members_.end() || found->second.state == State::kDead)
        continue;
      probe_ = Probe{};
      probe_.target = id;
      probe_.seq = ++seq_;
      probe_.answered = false;
      probe_.tries = 1;
      probe_.timeout_at = now + settings_.probe_timeout * scale;
      probe_.retry_at = now + settings_.probe_timeout * scale / settings_.probe_tries;
      out.push_back(MakeMessage(Kind::kPing, id, probe_.seq, id));
      return;
    }
    probe_order_.clear();
    next_in_order_ = 0;
    for (const auto& [id, m] : members_)
      if (m.state != State::kDead)
        probe_order_.push_back(id);
    std::shuffle(probe_order_.begin(), probe_order_.end(), random_engine_);
  }
}

void Swim::Tick(Ms now, std::vector<Message>& out) {
  if (!probe_.answered && !probe_.indirect_sent && now >= probe_.timeout_at) {
    probe_.indirect_sent = true;
    std::vector<Id> helpers;
    for (const auto& [id, m] : members_)
      if (m.state == State::kAlive && id != probe_.target)
        helpers.push_back(id);
    std::shuffle(helpers.begin(), helpers.end(), random_engine_);
    int max_helpers = std::min(settings_.indirect_probes + health_,
                               std::max(settings_.indirect_probes, settings_.max_indirect_probes));
    helpers.resize(std::min<std::size_t>(helpers.size(), static_cast<std::size_t>(max_helpers)));
    probe_.helpers = helpers;
    probe_.nacks_pending = static_cast<int>(helpers.size());
    probe_.retry_at = now + settings_.probe_timeout * (health_ + 1) / 2;
    SendPingRequests(out);
  } else if (!probe_.answered && !probe_.indirect_sent && probe_.tries < settings_.probe_tries &&
             now >= probe_.retry_at) {
    ++probe_.tries;
    Ms interval = settings_.probe_timeout * (health_ + 1) / settings_.probe_tries;
    probe_.retry_at = probe_.tries < settings_.probe_tries ? now + interval : probe_.timeout_at;
    out.push_back(MakeMessage(Kind::kPing, probe_.target, probe_.seq, probe_.target));
  } else if (!probe_.answered && probe_.indirect_sent && !probe_.indirect_retried &&
             now >= probe_.retry_at) {
    probe_.indirect_retried = true;
    if (settings_.probe_tries > 1)
      SendPingRequests(out);
  }
  if (now >= next_probe_at_) {
    EndProbe(now);
    StartProbe(now, out);
  }
  for (auto& [id, m] : members_)
    if (m.state == State::kSuspect && m.final_probes_sent < settings_.final_probes) {
      if (now >= m.next_final_probe_at)
        SendFinalProbe(now, m, out);
    } else if (m.state == State::kSuspect && now >= m.dead_at) {
      SetState(now, m, State::kDead, m.incarnation, self_);
    }
  if (now >= reconnect_at_) {
    // Sent besides the regular probes, and a missing answer changes no state: an answer brings the
    // member back by the update that it carries.
    reconnect_at_ = now + settings_.reconnect_period;
    std::vector<Id> dead;
    for (const auto& [id, m] : members_)
      if (m.state == State::kDead)
        dead.push_back(id);
    if (!dead.empty()) {
      Id id = dead[std::uniform_int_distribution<std::size_t>(0, dead.size() - 1)(random_engine_)];
      out.push_back(MakeMessage(Kind::kPing, id, ++seq_, id));
    }
  }
  for (auto it = relays_.begin(); it != relays_.end();) {
    if (!it->second.retried && now >= it->second.retry_at && now < it->second.expires_at) {
      it->second.retried = true;
      out.push_back(MakeMessage(Kind::kPing, it->second.target, it->first, it->second.target));
    }
    if (now < it->second.expires_at) {
      ++it;
      continue;
    }
    out.push_back(MakeMessage(Kind::kNack, it->second.requester, it->second.requester_seq,
                              it->second.target));
    it = relays_.erase(it);
  }
  if (now >= refresh_payload_at_) {
    refresh_payload_at_ = now + settings_.payload_refresh_period;
    if (own_payload_.seq != 0) {
      ++own_payload_.seq;
      payload_transmissions_[self_] = 0;
    }
  }
}

void Swim::Receive(Ms now, const Message& m, std::vector<Message>& out) {
  if (m.to != self_ || m.from == self_ || !members_.count(m.from))
    return;
  for (const MemberUpdate& update : m.updates)
    ApplyUpdate(now, update);
  for (const Payload& payload : m.payloads)
    ApplyPayload(payload);
  switch (m.kind) {
    case Kind::kPing:
      out.push_back(MakeMessage(Kind::kAck, m.from, m.seq, self_));
      break;
    case Kind::kAck:
      if (!probe_.answered && m.seq == probe_.seq && m.target == probe_.target) {
        probe_.answered = true;
        AdjustHealth(-1);
      } else if (auto found = relays_.find(m.seq);
                 found != relays_.end() && m.target == found->second.target) {
        out.push_back(MakeMessage(Kind::kAck, found->second.requester, found->second.requester_seq,
                                  found->second.target));
        relays_.erase(found);
      }
      break;
    case Kind::kPingRequest:
      if (relays_.size() < kMaxRelays && members_.count(m.target)) {
        // The relayed probe ends a little before the requester's period does, so that its nack
        // arrives in time. A repeated request for the same probe does not start another one.
        constexpr double kRelayTimeoutFactor = 0.8;
        for (const auto& [seq, relay] : relays_)
          if (relay.requester == m.from && relay.requester_seq == m.seq)
            return;
        Ms relay_timeout = kRelayTimeoutFactor * settings_.probe_timeout * (health_ + 1);
        relays_[++seq_] = Relay{m.from,
                                m.target,
                                m.seq,
                                now + relay_timeout,
                                now + relay_timeout / 2,
                                settings_.probe_tries <= 1};
        out.push_back(MakeMessage(Kind::kPing, m.target, seq_, m.target));
      }
      break;
    case Kind::kNack:
      if (!probe_.answered && m.seq == probe_.seq && m.target == probe_.target &&
          probe_.nacks_pending > 0)
        --probe_.nacks_pending;
      break;
  }
}

}  // namespace dunlinwick::members
