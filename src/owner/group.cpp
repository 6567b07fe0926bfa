#include "owner/group.hpp"

#include <algorithm>
#include <stdexcept>

#include "owner/group_inner.hpp"

namespace dunlinwick::owner {

namespace {
constexpr std::size_t kMaxProposals = 256;
}

const char* ToString(Group::MemberState s) {
  static const char* const kWords[] = {"begins", "member", "lost", "failed"};
  return kWords[static_cast<int>(s)];
}

Group::Impl::Impl(Id s, std::vector<Id> m, RaftSettings t, LeaseSettings lease, Store& st,
                  std::uint64_t inc, std::uint64_t seed, Ms n, Send out)
    : self(s),
      members(std::move(m)),
      settings(t),
      store(st),
      incarnation(inc),
      send(std::move(out)),
      random(static_cast<unsigned>(seed ^ (seed >> 32))),
      now(n),
      last_tick_at(n),
      expiry_tracker(lease),
      next_hello_at(n) {
  bootstrapping[self] = incarnation;
  SetUpIo();
  SetUpFsm();
  StoredState state = store.load();
  if (!state.bootstrap.empty()) {
    Reader r(state.bootstrap);
    if (!ReadSet(r, bootstrap_members) || !r.IsComplete())
      throw std::runtime_error("the owner's store holds no founding that can be read");
    // The founding is on disk before the log's first entry, which is the same at all members;
    // without that it could never vote.
    bool is_partly_bootstrapped = state.entries.empty() && !state.snapshot;
    if (is_partly_bootstrapped)
      BootstrapAndStart();
    else
      Start();
  }
}

Group::Impl::~Impl() {
  if (initialized) {
    raft_close(&node, [](raft*) {});
    RunDeferred();
  }
}

void Group::Impl::Fail(const std::string& reason) {
  if (member_state == MemberState::kFailed)
    return;
  member_state = MemberState::kFailed;
  failure_reason = reason;
}
void Group::Impl::RunDeferred() {
  while (!deferred.empty()) {
    auto next = std::move(deferred.front());
    deferred.pop_front();
    next();
  }
  bool is_leader = IsLeader();
  if (is_leader && !was_leader) {
    was_leader = true;
    expiry_tracker.StartLeading(now, table);
    // Also what commits the entries of earlier terms: Raft lets a leader do so only by one of its
    // own.
    constexpr int kShift = 20;  // a million grants a millisecond, and 64 bits for centuries
    Propose(
        Command{Operation::kBootstrap, self, reuse_tokens ? 1 : incarnation << kShift, 0, "group"},
        [](const Result&) {});
  }
  was_leader = is_leader;
  if (started && member_state == MemberState::kMember && node.state == RAFT_UNAVAILABLE)
    Fail(std::string("consensus gave up: ") + raft_errmsg(&node));
}

void Group::Impl::Tick(Ms at) {
  now = at;
  if (member_state == MemberState::kBootstrapping && now >= next_hello_at) {
    constexpr Ms kHelloInterval = 200;
    next_hello_at = now + kHelloInterval;
    SendHello();
  }
  if (started && member_state == MemberState::kMember && tick_cb &&
      now - last_tick_at >= settings.tick_interval) {
    last_tick_at = now;
    tick_cb(&io);
  }
  RunDeferred();
  if (IsLeader())
    for (const Command& c : expiry_tracker.ExpiredLeases(now, table))
      Propose(c, [](const Result&) {});
  RunDeferred();
}

bool Group::Impl::Propose(const Command& c, Completion done) {
  if (!IsLeader() || proposals.size() >= kMaxProposals)
    return false;
  if (c.operation == Operation::kAcquire && !expiry_tracker.MayGrant(now, table)) {
    done(Result{CommandStatus::kHeldByAnother, 0, 0, 0});
    return true;
  }
  // An expiry that is under way is not proposed again.
  if (c.operation == Operation::kExpire)
    for (const auto& [req, p] : proposals)
      if (p->command.operation == Operation::kExpire && p->command.task == c.task &&
          p->command.token == c.token)
        return false;
  auto p = std::make_unique<Proposal>(Proposal{this, c, std::move(done), {}});
  std::string bytes = Encode(c);
  raft_buffer buf{AllocateCopy(bytes), bytes.size()};
  struct raft_apply* req = &p->request;
  req->data = p.get();
  proposals[req] = std::move(p);
  int error = raft_apply(&node, req, &buf, 1, [](struct raft_apply* r, int status, void* result) {
    auto* one = static_cast<Proposal*>(r->data);
    Impl& impl = *one->impl;
    Result answer = status == 0 && result ? *static_cast<Result*>(result)
                                          : Result{CommandStatus::kUnknownOutcome, 0, 0, 0};
    auto keep = std::move(impl.proposals[r]);
    impl.proposals.erase(r);
    keep->done(answer);
  });
  if (error != 0) {
    raft_free(buf.base);
    proposals.erase(req);
    return false;
  }
  return true;
}

Group::Group(Id self, std::vector<Id> members, RaftSettings settings, LeaseSettings lease,
             Store& store, std::uint64_t incarnation, std::uint64_t seed, Ms now, Send send)
    : impl_(std::make_unique<Impl>(self, std::move(members), settings, lease, store, incarnation,
                                   seed, now, std::move(send))) {}
Group::~Group() = default;

void Group::Tick(Ms now) {
  impl_->Tick(now);
}
void Group::Receive(Ms now, Id from, std::span<const char> bytes) {
  Impl& impl = *impl_;
  impl.now = now;
  if (from == impl.self || !std::count(impl.members.begin(), impl.members.end(), from))
    return;
  Reader r(bytes);
  std::uint64_t kind = r.ReadNumber(1);
  if (kind == static_cast<std::uint64_t>(Impl::Kind::kHello))
    impl.HandleHello(from, r);
  else if (kind == static_cast<std::uint64_t>(Impl::Kind::kRaft))
    impl.HandleRaftMessage(from, r);
  impl.RunDeferred();
}
bool Group::Propose(Ms now, const Command& command, Completion done) {
  impl_->now = now;
  bool taken = impl_->Propose(command, std::move(done));
  impl_->RunDeferred();
  return taken;
}
Group::MemberState Group::member_state() const {
  return impl_->member_state;
}
bool Group::IsLeader() const {
  return impl_->IsLeader();
}
Id Group::Leader() const {
  if (!impl_->started || impl_->member_state != MemberState::kMember)
    return 0;
  raft_id id = 0;
  const char* address = nullptr;
  raft_leader(&impl_->node, &id, &address);
  return static_cast<Id>(id);
}
std::uint64_t Group::Term() const {
  return impl_->started ? impl_->node.current_term : 0;
}
const LeaseTable& Group::table() const {
  return impl_->table;
}
Ms Group::LeaseEnd(const std::string& task) const {
  auto at = impl_->table.Tasks().find(task);
  return at != impl_->table.Tasks().end() && at->second.holder != 0
             ? impl_->expiry_tracker.LeaseEnd(task)
             : 1e300;
}
void Group::ReuseTokens() {
  impl_->reuse_tokens = true;
}
std::string Group::FailureReason() const {
  return impl_->failure_reason;
}
bool Group::HasParticipated() const {
  return impl_->initialized;
}

}  // namespace dunlinwick::owner
