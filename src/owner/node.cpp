#include "owner/node.hpp"

#include <algorithm>
#include <utility>

#include "owner/bytes.hpp"

namespace dunlinwick::owner {

namespace {

Writer Head(Kind kind, Id from) {
  Writer w;
  w.bytes = "DO";
  w.number(1, 1);
  w.number(static_cast<std::uint64_t>(kind), 1);
  w.number(from, 4);
  return w;
}
void Write(Writer& w, const Result& r) {
  w.number(static_cast<std::uint64_t>(r.word), 1);
  w.number(r.token, 8);
  w.number(r.done, 8);
  w.number(r.owner, 4);
}
bool Read(Reader& r, Result& into) {
  std::uint64_t word = r.number(1);
  into.token = r.number(8);
  into.done = r.number(8);
  into.owner = static_cast<Id>(r.number(4));
  if (word > static_cast<std::uint64_t>(Word::kUnsure))
    return false;
  into.word = static_cast<Word>(word);
  return !r.Bad();
}
void Write(Writer& w, const Do& d) {
  w.Text(d.work);
  w.number(d.token, 8);
  w.number(d.step, 8);
}
void Read(Reader& r, Do& d) {
  d.work = r.Text(kLongestName);
  d.token = r.number(8);
  d.step = r.number(8);
}

}  // namespace

std::string EncodeDo(Id from, const Do& d) {
  Writer w = Head(Kind::kAct, from);
  Write(w, d);
  return std::move(w.bytes);
}
std::string EncodeDid(Id from, const Did& d) {
  Writer w = Head(Kind::kDid, from);
  Write(w, d.what);
  w.number(static_cast<std::uint64_t>(d.landing), 1);
  w.number(d.highest, 8);
  return std::move(w.bytes);
}

std::optional<Frame> ReadFrame(std::span<const char> bytes) {
  if (bytes.size() < 8 || bytes[0] != 'D' || bytes[1] != 'O' || bytes[2] != 1)
    return std::nullopt;
  Reader r(bytes.subspan(3, 5));
  std::uint64_t kind = r.number(1);
  if (kind > static_cast<std::uint64_t>(Kind::kDid))
    return std::nullopt;
  return Frame{static_cast<Kind>(kind), static_cast<Id>(r.number(4)), bytes.subspan(8)};
}
std::optional<Do> DecodeDo(std::span<const char> body) {
  Reader r(body);
  Do d;
  Read(r, d);
  if (!r.Whole() || !GoodName(d.work))
    return std::nullopt;
  return d;
}

Node::Node(NodeTerms terms, Store* store, std::uint64_t incarnation, std::uint64_t seed, Ms now,
           Ways ways)
    : terms_(std::move(terms)),
      ways_(std::move(ways)),
      incarnation_(incarnation),
      seed_(seed),
      agent_(terms_.self, terms_.group, terms_.jobs, terms_.lease, seed, incarnation, now) {
  if (store)
    Join(*store, now);
}

void Node::Join(Store& store, Ms now) {
  group_ =
      std::make_unique<Group>(terms_.self, terms_.group, terms_.raft, terms_.lease, store,
                              incarnation_, seed_ * 31 + 7, now, [this](Id to, std::string bytes) {
                                Writer w = Head(Kind::kGroup, terms_.self);
                                ways_.send(to, w.bytes + bytes);
                              });
}

void Node::Leave(Ms now) {
  if (!group_)
    return;
  // What it promised stands in its store alone. A store that is empty when it comes back must not
  // pass for this incarnation's, which the others know as a founder: it would forget its votes.
  if (group_->TookPart())
    incarnation_ = std::max(incarnation_ + 1, static_cast<std::uint64_t>(now));
  group_.reset();
}

Agent::Out Node::out(Ms) {
  return {[this](Id to, const Ask& a) {
            Writer w = Head(Kind::kAsk, terms_.self);
            w.number(a.number, 8);
            w.Text(Encode(a.command));
            if (to == terms_.self)
              to_self_.push_back(std::move(w.bytes));
            else
              ways_.send(to, std::move(w.bytes));
          },
          [this](Id to, const Do& d) { ways_.send(to, EncodeDo(terms_.self, d)); }, ways_.say};
}

void Node::answer(Ms, Id to, const Answer& a) {
  Writer w = Head(Kind::kAnswer, terms_.self);
  w.number(a.number, 8);
  Write(w, a.result);
  w.number(a.leader, 4);
  w.number(a.taken, 1);
  if (to == terms_.self)
    to_self_.push_back(std::move(w.bytes));
  else
    ways_.send(to, std::move(w.bytes));
}

void Node::Asked(Ms now, Id from, const Ask& a) {
  if (a.command.front != from || a.command.deed == Deed::kExpire || a.command.deed == Deed::kFound)
    return void(++refused_);  // only the leader ends leases
  if (grants_alone) {
    Command c = a.command;
    alone_.Apply(Command{Deed::kFound, 0, 1, 0, "group"});
    if (c.deed == Deed::kTake && alone_.Works().count(c.work) &&
        alone_.Works().at(c.work).owner != 0) {
      const Work& held = alone_.Works().at(c.work);
      Command free{Deed::kExpire, 0, held.token, held.heard, c.work};
      alone_.Apply(free);
    }
    return answer(now, from, {a.number, alone_.Apply(c), 0, true});
  }
  if (!group_)
    return answer(now, from, {a.number, {}, 0, false});
  if (!group_->Leads())
    return answer(now, from, {a.number, {}, group_->Leader(), false});
  std::string command = Encode(a.command);
  for (const Given& g : given_)
    if (g.from == from && g.number == a.number && g.command == command)
      return answer(now, from, {a.number, g.result, 0, true});
  if (!under_way_.insert({from, a.number}).second)
    return;  // answered once the group has it
  std::weak_ptr<bool> alive = alive_;
  bool taken = group_->Propose(
      now, a.command, [this, alive, now, from, number = a.number, command](const Result& r) {
        if (alive.expired())
          return;
        under_way_.erase({from, number});
        constexpr std::size_t kMostGiven = 256;
        if (r.word != Word::kUnsure)
          given_.push_back({from, number, command, r});
        if (given_.size() > kMostGiven)
          given_.pop_front();
        answer(now, from, {number, r, 0, true});
      });
  if (!taken) {
    under_way_.erase({from, a.number});
    answer(now, from, {a.number, {}, 0, false});
  }
}

void Node::Receive(Ms now, std::span<const char> bytes) {
  auto f = ReadFrame(bytes);
  if (!f)
    return void(++refused_);
  Reader r(f->body);
  switch (f->kind) {
    case Kind::kGroup:
      if (group_)
        group_->Receive(now, f->from, f->body);
      break;
    case Kind::kAsk: {
      Ask a;
      a.number = r.number(8);
      auto c = Decode(r.Text(200));
      if (!r.Whole() || !c)
        ++refused_;
      else {
        a.command = *c;
        Asked(now, f->from, a);
      }
      break;
    }
    case Kind::kAnswer: {
      Answer a;
      a.number = r.number(8);
      bool good = Read(r, a.result);
      a.leader = static_cast<Id>(r.number(4));
      a.taken = r.number(1) != 0;
      if (!good || !r.Whole())
        ++refused_;
      else
        agent_.Answered(now, f->from, a, out(now));
      break;
    }
    case Kind::kDid: {
      Did d;
      Read(r, d.what);
      std::uint64_t landing = r.number(1);
      d.highest = r.number(8);
      if (!r.Whole() || landing > static_cast<std::uint64_t>(Landing::kFull))
        ++refused_;
      else {
        d.landing = static_cast<Landing>(landing);
        agent_.HandleResult(now, f->from, d, out(now));
      }
      break;
    }
    case Kind::kAct:
      ++refused_;  // fronts carry nothing out
      break;
  }
  while (!to_self_.empty())
    for (const std::string& one : std::exchange(to_self_, {}))
      Receive(now, one);
  note();
}

void Node::Tick(Ms now) {
  if (group_)
    group_->Tick(now);
  agent_.Tick(now, out(now));
  while (!to_self_.empty())
    for (const std::string& one : std::exchange(to_self_, {}))
      Receive(now, one);
  note();
}

void Node::note() {
  if (!group_)
    return;
  if (group_->standing() != notified_) {
    notified_ = group_->standing();
    ways_.say(std::string("owner group: ") + MakeWord(notified_) +
              (group_->Why().empty() ? "" : ": " + group_->Why()));
  }
  if (group_->Leads() != led_) {
    led_ = group_->Leads();
    ways_.say(std::string("owner group: ") + (led_ ? "leads" : "leads no more") + " term " +
              std::to_string(group_->Term()));
  }
}

}  // namespace dunlinwick::owner
