#include "owner/node.hpp"

#include <algorithm>
#include <utility>

#include "owner/bytes.hpp"

namespace dunlinwick::owner {

namespace {

Writer head(Kind kind, Id from) {
  Writer w;
  w.bytes = "DO";
  w.number(1, 1), w.number(static_cast<std::uint64_t>(kind), 1), w.number(from, 4);
  return w;
}
void write(Writer& w, const Result& r) {
  w.number(static_cast<std::uint64_t>(r.word), 1), w.number(r.token, 8), w.number(r.done, 8), w.number(r.owner, 4);
}
bool read(Reader& r, Result& into) {
  std::uint64_t word = r.number(1);
  into.token = r.number(8), into.done = r.number(8), into.owner = static_cast<Id>(r.number(4));
  if (word > static_cast<std::uint64_t>(Word::unsure)) return false;
  into.word = static_cast<Word>(word);
  return !r.bad();
}
void write(Writer& w, const Do& d) { w.text(d.work), w.number(d.token, 8), w.number(d.step, 8); }
void read(Reader& r, Do& d) { d.work = r.text(longestName), d.token = r.number(8), d.step = r.number(8); }

}  // namespace

std::string encodeDo(Id from, const Do& d) {
  Writer w = head(Kind::act, from);
  write(w, d);
  return std::move(w.bytes);
}
std::string encodeDid(Id from, const Did& d) {
  Writer w = head(Kind::did, from);
  write(w, d.what);
  w.number(static_cast<std::uint64_t>(d.landing), 1), w.number(d.highest, 8);
  return std::move(w.bytes);
}

std::optional<Frame> frame(std::span<const char> bytes) {
  if (bytes.size() < 8 || bytes[0] != 'D' || bytes[1] != 'O' || bytes[2] != 1) return std::nullopt;
  Reader r(bytes.subspan(3, 5));
  std::uint64_t kind = r.number(1);
  if (kind > static_cast<std::uint64_t>(Kind::did)) return std::nullopt;
  return Frame{static_cast<Kind>(kind), static_cast<Id>(r.number(4)), bytes.subspan(8)};
}
std::optional<Do> decodeDo(std::span<const char> body) {
  Reader r(body);
  Do d;
  read(r, d);
  if (!r.whole() || !goodName(d.work)) return std::nullopt;
  return d;
}

Node::Node(NodeTerms terms, Store* store, std::uint64_t incarnation, std::uint64_t seed, Ms now, Ways ways)
    : terms_(std::move(terms)),
      ways_(std::move(ways)),
      incarnation_(incarnation),
      seed_(seed),
      agent_(terms_.self, terms_.group, terms_.jobs, terms_.lease, seed, incarnation, now) {
  if (store) join(*store, now);
}

void Node::join(Store& store, Ms now) {
  group_ = std::make_unique<Group>(terms_.self, terms_.group, terms_.raft, terms_.lease, store, incarnation_, seed_ * 31 + 7, now,
                                   [this](Id to, std::string bytes) {
                                     Writer w = head(Kind::group, terms_.self);
                                     ways_.send(to, w.bytes + bytes);
                                   });
}

void Node::leave(Ms now) {
  if (!group_) return;
  // What it promised stands in its store alone. A store that is empty when it comes back must not pass for this incarnation's, which
  // the others know as a founder: it would forget its votes.
  if (group_->tookPart()) incarnation_ = std::max(incarnation_ + 1, static_cast<std::uint64_t>(now));
  group_.reset();
}

Agent::Out Node::out(Ms) {
  return {[this](Id to, const Ask& a) {
            Writer w = head(Kind::ask, terms_.self);
            w.number(a.number, 8);
            w.text(encode(a.command));
            if (to == terms_.self) toSelf_.push_back(std::move(w.bytes));
            else ways_.send(to, std::move(w.bytes));
          },
          [this](Id to, const Do& d) { ways_.send(to, encodeDo(terms_.self, d)); }, ways_.say};
}

void Node::answer(Ms, Id to, const Answer& a) {
  Writer w = head(Kind::answer, terms_.self);
  w.number(a.number, 8);
  write(w, a.result);
  w.number(a.leader, 4), w.number(a.taken, 1);
  if (to == terms_.self) toSelf_.push_back(std::move(w.bytes));
  else ways_.send(to, std::move(w.bytes));
}

void Node::asked(Ms now, Id from, const Ask& a) {
  if (a.command.front != from || a.command.deed == Deed::expire || a.command.deed == Deed::found) return void(++refused_);  // only the leader ends leases
  if (grantsAlone) {
    Command c = a.command;
    alone_.apply(Command{Deed::found, 0, 1, 0, "group"});
    if (c.deed == Deed::take && alone_.works().count(c.work) && alone_.works().at(c.work).owner != 0) {
      const Work& held = alone_.works().at(c.work);
      Command free{Deed::expire, 0, held.token, held.heard, c.work};
      alone_.apply(free);
    }
    return answer(now, from, {a.number, alone_.apply(c), 0, true});
  }
  if (!group_) return answer(now, from, {a.number, {}, 0, false});
  if (!group_->leads()) return answer(now, from, {a.number, {}, group_->leader(), false});
  std::string command = encode(a.command);
  for (const Given& g : given_)
    if (g.from == from && g.number == a.number && g.command == command) return answer(now, from, {a.number, g.result, 0, true});
  if (!underWay_.insert({from, a.number}).second) return;  // answered once the group has it
  std::weak_ptr<bool> alive = alive_;
  bool taken = group_->propose(now, a.command, [this, alive, now, from, number = a.number, command](const Result& r) {
    if (alive.expired()) return;
    underWay_.erase({from, number});
    constexpr std::size_t mostGiven = 256;
    if (r.word != Word::unsure) given_.push_back({from, number, command, r});
    if (given_.size() > mostGiven) given_.pop_front();
    answer(now, from, {number, r, 0, true});
  });
  if (!taken) {
    underWay_.erase({from, a.number});
    answer(now, from, {a.number, {}, 0, false});
  }
}

void Node::receive(Ms now, std::span<const char> bytes) {
  auto f = frame(bytes);
  if (!f) return void(++refused_);
  Reader r(f->body);
  switch (f->kind) {
    case Kind::group:
      if (group_) group_->receive(now, f->from, f->body);
      break;
    case Kind::ask: {
      Ask a;
      a.number = r.number(8);
      auto c = decode(r.text(200));
      if (!r.whole() || !c) ++refused_;
      else a.command = *c, asked(now, f->from, a);
      break;
    }
    case Kind::answer: {
      Answer a;
      a.number = r.number(8);
      bool good = read(r, a.result);
      a.leader = static_cast<Id>(r.number(4)), a.taken = r.number(1) != 0;
      if (!good || !r.whole()) ++refused_;
      else agent_.answered(now, f->from, a, out(now));
      break;
    }
    case Kind::did: {
      Did d;
      read(r, d.what);
      std::uint64_t landing = r.number(1);
      d.highest = r.number(8);
      if (!r.whole() || landing > static_cast<std::uint64_t>(Landing::full)) ++refused_;
      else d.landing = static_cast<Landing>(landing), agent_.did(now, f->from, d, out(now));
      break;
    }
    case Kind::act:
      ++refused_;  // fronts carry nothing out
      break;
  }
  while (!toSelf_.empty())
    for (const std::string& one : std::exchange(toSelf_, {})) receive(now, one);
  note();
}

void Node::tick(Ms now) {
  if (group_) group_->tick(now);
  agent_.tick(now, out(now));
  while (!toSelf_.empty())
    for (const std::string& one : std::exchange(toSelf_, {})) receive(now, one);
  note();
}

void Node::note() {
  if (!group_) return;
  if (group_->standing() != told_) {
    told_ = group_->standing();
    ways_.say(std::string("owner group: ") + word(told_) + (group_->why().empty() ? "" : ": " + group_->why()));
  }
  if (group_->leads() != led_) {
    led_ = group_->leads();
    ways_.say(std::string("owner group: ") + (led_ ? "leads" : "leads no more") + " term " + std::to_string(group_->term()));
  }
}

}  // namespace dunlinwick::owner
