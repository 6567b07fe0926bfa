#include "rig/sim.hpp"

#include "failover/living.hpp"
#include "members/wire.hpp"

#include <algorithm>
#include <utility>

namespace dunlinwick::fleet {

std::size_t WireSize(const members::Message& m) {
  constexpr std::size_t kUdpAndIp = 28;
  return kUdpAndIp + Encode(m).size();
}

namespace {
// Datagrams in flight at once; past it new ones are lost, as a full socket buffer would lose them.
constexpr std::size_t kMostInFlight = 1000000;
}  // namespace

Sim::Sim(SimTerms terms) : terms_(std::move(terms)), random_(static_cast<unsigned>(terms_.seed)) {
  std::size_t n = terms_.places.size();
  nodes_.resize(n);
  links_.assign(n * n, Link{});
  for (Id id = 0; id < n; ++id)
    Start(id);
}

void Sim::Start(Id id) {
  std::vector<Id> others;
  std::map<Id, failover::Location> places;
  for (Id o = 0; o < nodes_.size(); ++o) {
    places[o] = terms_.places[o];
    if (o != id)
      others.push_back(o);
  }
  Node& node = nodes_[id];
  node.up = true;
  node.paused = false;
  node.waiting.clear();
  std::uint32_t incarnation = node.incarnation++;
  node.swim =
      std::make_unique<members::Swim>(id, others, incarnation, terms_.members,
                                      terms_.seed * 1000003 + id * 7919 + incarnation, now_);
  node.verdicts = std::make_unique<failover::FailoverController>(id, places, terms_.zone_region,
                                                                 terms_.failover);
  Settle(id, true);
}

void Sim::Kill(Id id) {
  nodes_[id].up = false;
}
void Sim::Pause(Id id) {
  nodes_[id].paused = true;
}
void Sim::Resume(Id id) {
  Node& node = nodes_[id];
  node.paused = false;
  for (members::Message& m : std::exchange(node.waiting, {}))
    Deliver(std::move(m));
}
void Sim::Restart(Id id) {
  // A new process under the same id: it knows nothing, and takes a newer incarnation, as from the
  // clock.
  nodes_[id].incarnation += 1000;
  Start(id);
}

void Sim::CutAround(const std::vector<Id>& group, bool one_way_out, int by) {
  std::vector<bool> in(nodes_.size(), false);
  for (Id id : group)
    in[id] = true;
  for (Id a = 0; a < nodes_.size(); ++a)
    for (Id b = 0; b < nodes_.size(); ++b)
      if ((in[a] && !in[b]) || (!one_way_out && !in[a] && in[b]))
        link(a, b).cuts += by;
}
void Sim::HealAll() {
  for (Link& l : links_)
    l.cuts = 0;
}
void Sim::Everywhere(const std::function<void(Link&)>& change) {
  for (Link& l : links_)
    change(l);
}

void Sim::Send(const std::vector<members::Message>& out) {
  std::uniform_real_distribution<double> unit(0, 1);
  for (const members::Message& m : out) {
    ++messages_;
    bytes_ += WireSize(m);
    Link& l = link(m.from, m.to);
    constexpr Ms kLongestQueue = 1000, kLate = 20;  // as the relay's
    Ms waits = 0;
    if (l.kb_per_s > 0) {
      Ms sending = static_cast<double>(WireSize(m)) / l.kb_per_s;
      waits = std::max(l.busy_until - now_, 0.0) + sending;
      if (waits > kLongestQueue)
        continue;
      l.busy_until = now_ + waits;
    }
    if (l.cuts > 0 || unit(random_) < l.loss)
      continue;
    int copies = 1 + (unit(random_) < l.duplicate);
    for (int c = 0; c < copies && flights_.size() < kMostInFlight; ++c) {
      Ms after =
          waits + l.delay + l.jitter * unit(random_) + (unit(random_) < l.reorder ? kLate : 0);
      flights_.push(Flight{now_ + after, order_++, m});
    }
  }
}

void Sim::Deliver(members::Message m) {
  Node& node = nodes_[m.to];
  if (!node.up)
    return;
  if (node.paused) {
    // The socket's buffer holds what comes while the process stands; past its room the rest is
    // lost.
    constexpr std::size_t kBuffered = 256;
    if (node.waiting.size() < kBuffered)
      node.waiting.push_back(std::move(m));
    return;
  }
  std::vector<members::Message> out;
  node.swim->Receive(now_, m, out);
  Send(out);
  Settle(m.to, false);
}

void Sim::Settle(Id id, bool always) {
  Node& node = nodes_[id];
  node.wake = node.swim->WakeAt();
  std::vector<members::Change> changes = node.swim->TakeChanges();
  for (const members::Change& c : changes)
    if (!c.payload_only)
      seen_.push_back(Seen{now_, id, c.member, c.state});
  if (changes.empty() && !always)
    return;
  bool changed = false;
  failover::ZoneHealthObservation notified =
      node.verdicts->Evaluate(now_, node.health, failover::AliveMembers(*node.swim), changed);
  if (changed)
    judged_.push_back(Judged{now_, id, node.verdicts->decision().unavailable_zones,
                             node.verdicts->decision().epoch});
  node.swim->Publish(now_, failover::Pack(notified));
}

void Sim::RunUntil(Ms until) {
  // Every member is looked at least this often, so that hysteresis and suspicions end on time
  // without messages.
  constexpr Ms kLongest = 50;
  while (now_ < until) {
    Ms next = std::min(until, last_sweep_ + kLongest);
    for (const Node& node : nodes_)
      if (node.up && !node.paused)
        next = std::min(next, node.wake);
    if (!flights_.empty())
      next = std::min(next, flights_.top().at);
    now_ = std::max(now_, next);
    while (!flights_.empty() && flights_.top().at <= now_) {
      members::Message m = flights_.top().m;
      flights_.pop();
      Deliver(std::move(m));
    }
    bool sweep = now_ >= last_sweep_ + kLongest;
    if (sweep)
      last_sweep_ = now_;
    for (Id id = 0; id < nodes_.size(); ++id) {
      Node& node = nodes_[id];
      if (!node.up || node.paused || (!sweep && node.wake > now_))
        continue;
      std::vector<members::Message> out;
      if (node.wake <= now_)
        node.swim->Tick(now_, out);
      Send(out);
      Settle(id, sweep);
    }
  }
}

bool Sim::AllSee(Id about, members::State state) const {
  for (Id id = 0; id < nodes_.size(); ++id) {
    if (id == about || !Up(id))
      continue;
    members::State s = nodes_[id].swim->Members().at(about).state;
    bool fits = state == members::State::kAlive ? s != members::State::kDead : s == state;
    if (!fits)
      return false;
  }
  return true;
}

bool Sim::AllJudge(std::uint64_t out) const {
  std::uint32_t epoch = 0;
  bool first = true;
  for (Id id = 0; id < nodes_.size(); ++id) {
    if (!Up(id))
      continue;
    const failover::FailoverDecision& v = nodes_[id].verdicts->decision();
    if (v.unavailable_zones != out || (!first && v.epoch != epoch))
      return false;
    epoch = v.epoch;
    first = false;
  }
  return true;
}

}  // namespace dunlinwick::fleet
