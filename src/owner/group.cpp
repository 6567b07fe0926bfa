#include "owner/group.hpp"

#include <algorithm>
#include <stdexcept>

#include "owner/group_inner.hpp"

namespace dunlinwick::owner {

namespace {
constexpr std::size_t mostProposals = 256;
}

const char* word(Group::Standing s) {
  static const char* const words[] = {"begins", "member", "lost", "failed"};
  return words[static_cast<int>(s)];
}

Group::Inner::Inner(Id s, std::vector<Id> m, GroupTerms t, Terms lease, Store& st, std::uint64_t inc, std::uint64_t seed, Ms n, Send out)
    : self(s), members(std::move(m)), terms(t), store(st), incarnation(inc), send(std::move(out)),
      random(static_cast<unsigned>(seed ^ (seed >> 32))), now(n), tickedAt(n), keeper(lease), helloAt(n) {
  beginning[self] = incarnation;
  fillIo();
  fillFsm();
  StoredState state = store.load();
  if (!state.founding.empty()) {
    Reader r(state.founding);
    if (!readSet(r, founders) || !r.whole()) throw std::runtime_error("the owner's store holds no founding that can be read");
    // The founding is on disk before the log's first entry, which is the same at all members; without that it could never vote.
    bool isHalfFounded = state.entries.empty() && !state.snapshot;
    if (isHalfFounded) bootstrapAndStart();
    else start();
  }
}

Group::Inner::~Inner() {
  if (inited) {
    raft_close(&node, [](raft*) {});
    settle();
  }
}

void Group::Inner::fail(const std::string& reason) {
  if (standing == Standing::failed) return;
  standing = Standing::failed, why = reason;
}
void Group::Inner::settle() {
  while (!later.empty()) {
    auto next = std::move(later.front());
    later.pop_front();
    next();
  }
  bool leadsNow = leads();
  if (leadsNow && !led) {
    led = true;
    keeper.leads(now, table);
    // Also what commits the entries of earlier terms: Raft lets a leader do so only by one of its own.
    constexpr int shift = 20;  // a million grants a millisecond, and 64 bits for centuries
    propose(Command{Deed::found, self, reuseTokens ? 1 : incarnation << shift, 0, "group"}, [](const Result&) {});
  }
  led = leadsNow;
  if (started && standing == Standing::member && node.state == RAFT_UNAVAILABLE) fail(std::string("consensus gave up: ") + raft_errmsg(&node));
}

void Group::Inner::tick(Ms at) {
  now = at;
  if (standing == Standing::begins && now >= helloAt) {
    constexpr Ms each = 200;
    helloAt = now + each;
    sayHello();
  }
  if (started && standing == Standing::member && tickCb && now - tickedAt >= terms.tick) {
    tickedAt = now;
    tickCb(&io);
  }
  settle();
  if (leads())
    for (const Command& c : keeper.due(now, table)) propose(c, [](const Result&) {});
  settle();
}

bool Group::Inner::propose(const Command& c, Done done) {
  if (!leads() || proposals.size() >= mostProposals) return false;
  if (c.deed == Deed::take && !keeper.mayGrant(now, table)) {
    done(Result{Word::held, 0, 0, 0});
    return true;
  }
  // An expiry that is under way is not proposed again.
  if (c.deed == Deed::expire)
    for (const auto& [req, p] : proposals)
      if (p->command.deed == Deed::expire && p->command.work == c.work && p->command.token == c.token) return false;
  auto p = std::make_unique<Proposal>(Proposal{this, c, std::move(done), {}});
  std::string bytes = encode(c);
  raft_buffer buf{copied(bytes), bytes.size()};
  struct raft_apply* req = &p->request;
  req->data = p.get();
  proposals[req] = std::move(p);
  int fault = raft_apply(&node, req, &buf, 1, [](struct raft_apply* r, int status, void* result) {
    auto* one = static_cast<Proposal*>(r->data);
    Inner& in = *one->inner;
    Result answer = status == 0 && result ? *static_cast<Result*>(result) : Result{Word::unsure, 0, 0, 0};
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

Group::Group(Id self, std::vector<Id> members, GroupTerms terms, Terms lease, Store& store, std::uint64_t incarnation, std::uint64_t seed,
             Ms now, Send send)
    : inner_(std::make_unique<Inner>(self, std::move(members), terms, lease, store, incarnation, seed, now, std::move(send))) {}
Group::~Group() = default;

void Group::tick(Ms now) { inner_->tick(now); }
void Group::receive(Ms now, Id from, std::span<const char> bytes) {
  Inner& in = *inner_;
  in.now = now;
  if (from == in.self || !std::count(in.members.begin(), in.members.end(), from)) return;
  Reader r(bytes);
  std::uint64_t kind = r.number(1);
  if (kind == static_cast<std::uint64_t>(Inner::Kind::hello)) in.hearHello(from, r);
  else if (kind == static_cast<std::uint64_t>(Inner::Kind::raft)) in.hearRaft(from, r);
  in.settle();
}
bool Group::propose(Ms now, const Command& command, Done done) {
  inner_->now = now;
  bool taken = inner_->propose(command, std::move(done));
  inner_->settle();
  return taken;
}
Group::Standing Group::standing() const { return inner_->standing; }
bool Group::leads() const { return inner_->leads(); }
Id Group::leader() const {
  if (!inner_->started || inner_->standing != Standing::member) return 0;
  raft_id id = 0;
  const char* address = nullptr;
  raft_leader(&inner_->node, &id, &address);
  return static_cast<Id>(id);
}
std::uint64_t Group::term() const { return inner_->started ? inner_->node.current_term : 0; }
const Table& Group::table() const { return inner_->table; }
Ms Group::leaseEnds(const std::string& work) const {
  auto at = inner_->table.works().find(work);
  return at != inner_->table.works().end() && at->second.owner != 0 ? inner_->keeper.ends(work) : 1e300;
}
void Group::breakTokens() { inner_->reuseTokens = true; }
std::string Group::why() const { return inner_->why; }
bool Group::tookPart() const { return inner_->inited; }

}  // namespace dunlinwick::owner
