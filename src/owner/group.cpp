#include "owner/group.hpp"

#include <algorithm>
#include <stdexcept>

#include "owner/group_inner.hpp"

namespace dunlinwick::owner {

namespace {
constexpr std::size_t kMostProposals = 256;
}

const char* MakeWord(Group::Standing s) {
  static const char* const kWords[] = {"begins", "member", "lost", "failed"};
  return kWords[static_cast<int>(s)];
}

Group::Inner::Inner(Id s, std::vector<Id> m, GroupTerms t, Terms lease, Store& st,
                    std::uint64_t inc, std::uint64_t seed, Ms n, Send out)
    : self(s),
      members(std::move(m)),
      terms(t),
      store(st),
      incarnation(inc),
      send(std::move(out)),
      random(static_cast<unsigned>(seed ^ (seed >> 32))),
      now(n),
      ticked_at(n),
      keeper(lease),
      hello_at(n) {
  beginning[self] = incarnation;
  FillIo();
  FillFsm();
  StoredState state = store.load();
  if (!state.founding.empty()) {
    Reader r(state.founding);
    if (!ReadSet(r, founders) || !r.Whole())
      throw std::runtime_error("the owner's store holds no founding that can be read");
    // The founding is on disk before the log's first entry, which is the same at all members;
    // without that it could never vote.
    bool is_half_founded = state.entries.empty() && !state.snapshot;
    if (is_half_founded)
      BootstrapAndStart();
    else
      Start();
  }
}

Group::Inner::~Inner() {
  if (inited) {
    raft_close(&node, [](raft*) {});
    Settle();
  }
}

void Group::Inner::Fail(const std::string& reason) {
  if (standing == Standing::kFailed)
    return;
  standing = Standing::kFailed;
  why = reason;
}
void Group::Inner::Settle() {
  while (!later.empty()) {
    auto next = std::move(later.front());
    later.pop_front();
    next();
  }
  bool leads_now = Leads();
  if (leads_now && !led) {
    led = true;
    keeper.Leads(now, table);
    // Also what commits the entries of earlier terms: Raft lets a leader do so only by one of its
    // own.
    constexpr int kShift = 20;  // a million grants a millisecond, and 64 bits for centuries
    Propose(Command{Deed::kFound, self, reuse_tokens ? 1 : incarnation << kShift, 0, "group"},
            [](const Result&) {});
  }
  led = leads_now;
  if (started && standing == Standing::kMember && node.state == RAFT_UNAVAILABLE)
    Fail(std::string("consensus gave up: ") + raft_errmsg(&node));
}

void Group::Inner::Tick(Ms at) {
  now = at;
  if (standing == Standing::kBegins && now >= hello_at) {
    constexpr Ms kEach = 200;
    hello_at = now + kEach;
    SayHello();
  }
  if (started && standing == Standing::kMember && tick_cb && now - ticked_at >= terms.tick) {
    ticked_at = now;
    tick_cb(&io);
  }
  Settle();
  if (Leads())
    for (const Command& c : keeper.Due(now, table))
      Propose(c, [](const Result&) {});
  Settle();
}

bool Group::Inner::Propose(const Command& c, Done done) {
  if (!Leads() || proposals.size() >= kMostProposals)
    return false;
  if (c.deed == Deed::kTake && !keeper.MayGrant(now, table)) {
    done(Result{Word::kHeld, 0, 0, 0});
    return true;
  }
  // An expiry that is under way is not proposed again.
  if (c.deed == Deed::kExpire)
    for (const auto& [req, p] : proposals)
      if (p->command.deed == Deed::kExpire && p->command.work == c.work &&
          p->command.token == c.token)
        return false;
  auto p = std::make_unique<Proposal>(Proposal{this, c, std::move(done), {}});
  std::string bytes = Encode(c);
  raft_buffer buf{Copied(bytes), bytes.size()};
  struct raft_apply* req = &p->request;
  req->data = p.get();
  proposals[req] = std::move(p);
  int fault = raft_apply(&node, req, &buf, 1, [](struct raft_apply* r, int status, void* result) {
    auto* one = static_cast<Proposal*>(r->data);
    Inner& in = *one->inner;
    Result answer =
        status == 0 && result ? *static_cast<Result*>(result) : Result{Word::kUnsure, 0, 0, 0};
    auto keep = std::move(in.proposals[r]);
    in.proposals.erase(r);
    keep->done(answer);
  });
  if (fault != 0) {
    raft_free(buf.base);
    proposals.erase(req);
    return false;
  }
  return true;
}

Group::Group(Id self, std::vector<Id> members, GroupTerms terms, Terms lease, Store& store,
             std::uint64_t incarnation, std::uint64_t seed, Ms now, Send send)
    : inner_(std::make_unique<Inner>(self, std::move(members), terms, lease, store, incarnation,
                                     seed, now, std::move(send))) {}
Group::~Group() = default;

void Group::Tick(Ms now) {
  inner_->Tick(now);
}
void Group::Receive(Ms now, Id from, std::span<const char> bytes) {
  Inner& in = *inner_;
  in.now = now;
  if (from == in.self || !std::count(in.members.begin(), in.members.end(), from))
    return;
  Reader r(bytes);
  std::uint64_t kind = r.number(1);
  if (kind == static_cast<std::uint64_t>(Inner::Kind::kHello))
    in.HearHello(from, r);
  else if (kind == static_cast<std::uint64_t>(Inner::Kind::kRaft))
    in.HearRaft(from, r);
  in.Settle();
}
bool Group::Propose(Ms now, const Command& command, Done done) {
  inner_->now = now;
  bool taken = inner_->Propose(command, std::move(done));
  inner_->Settle();
  return taken;
}
Group::Standing Group::standing() const {
  return inner_->standing;
}
bool Group::Leads() const {
  return inner_->Leads();
}
Id Group::Leader() const {
  if (!inner_->started || inner_->standing != Standing::kMember)
    return 0;
  raft_id id = 0;
  const char* address = nullptr;
  raft_leader(&inner_->node, &id, &address);
  return static_cast<Id>(id);
}
std::uint64_t Group::Term() const {
  return inner_->started ? inner_->node.current_term : 0;
}
const Table& Group::table() const {
  return inner_->table;
}
Ms Group::LeaseEnds(const std::string& work) const {
  auto at = inner_->table.Works().find(work);
  return at != inner_->table.Works().end() && at->second.owner != 0 ? inner_->keeper.Ends(work)
                                                                    : 1e300;
}
void Group::BreakTokens() {
  inner_->reuse_tokens = true;
}
std::string Group::Why() const {
  return inner_->why;
}
bool Group::TookPart() const {
  return inner_->inited;
}

}  // namespace dunlinwick::owner
