#include "owner/group.hpp"

#include <algorithm>
#include <stdexcept>

#include "owner/group_inner.hpp"

namespace dunlinwick::owner {

namespace {
constexpr std::size_t kMaxProposals = 256;
}

const char* ToString(Group::MemberState state) {
  static const char* const kWords[] = {"begins", "member", "lost", "failed"};
  return kWords[static_cast<int>(state)];
}

Group::Impl::Impl(Id own_id, std::vector<Id> all_members, RaftSettings raft_settings,
                  LeaseSettings lease, Store& raft_store, std::uint64_t process_incarnation,
                  std::uint64_t seed, Ms start_time, Send send_message)
    : self(own_id),
      members(std::move(all_members)),
      settings(raft_settings),
      store(raft_store),
      incarnation(process_incarnation),
      send(std::move(send_message)),
      random(static_cast<unsigned>(seed ^ (seed >> 32))),
      now(start_time),
      last_tick_at(start_time),
      expiry_tracker(lease),
      next_hello_at(start_time) {
  bootstrapping_incarnations[self] = incarnation;
  SetUpIo();
  SetUpFsm();
  StoredState state = store.load();
  if (!state.bootstrap.empty()) {
    Reader reader(state.bootstrap);
    if (!ReadIncarnations(reader, bootstrap_members) || !reader.IsComplete())
      throw std::runtime_error("the owner store's bootstrap entry is unreadable");
    // The bootstrap is stored before the log's first entry, which is the same at all members. A
    // member that stopped between the two writes the entry now; without it, it could never vote.
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
    // This command also commits the entries of earlier terms: a Raft leader may commit those only
    // together with an entry of its own term.
    constexpr int kShift = 20;  // a million grants per millisecond; 64 bits last for centuries
    Propose(
        Command{Operation::kBootstrap, self, reuse_tokens ? 1 : incarnation << kShift, 0, "group"},
        [](const Result&) {});
  }
  was_leader = is_leader;
  if (started && member_state == MemberState::kMember && node.state == RAFT_UNAVAILABLE)
    Fail(std::string("Raft became unavailable: ") + raft_errmsg(&node));
}

void Group::Impl::Tick(Ms time) {
  now = time;
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
    for (const Command& command : expiry_tracker.ExpiredLeases(now, table))
      Propose(command, [](const Result&) {});
  RunDeferred();
}

bool Group::Impl::Propose(const Command& command, Completion done) {
  if (!IsLeader() || proposals.size() >= kMaxProposals)
    return false;
  if (command.operation == Operation::kAcquire && !expiry_tracker.MayGrant(now, table)) {
    done(Result{CommandStatus::kHeldByAnother, 0, 0, 0});
    return true;
  }
  // An expiry in flight is not proposed again.
  if (command.operation == Operation::kExpire)
    for (const auto& [apply_request, proposal] : proposals)
      if (proposal->command.operation == Operation::kExpire &&
          proposal->command.task == command.task && proposal->command.token == command.token)
        return false;
  auto proposal = std::make_unique<Proposal>(Proposal{this, command, std::move(done), {}});
  std::string bytes = Encode(command);
  raft_buffer buffer{AllocateCopy(bytes), bytes.size()};
  struct raft_apply* apply_request = &proposal->request;
  apply_request->data = proposal.get();
  proposals[apply_request] = std::move(proposal);
  int error = raft_apply(
      &node, apply_request, &buffer, 1, [](struct raft_apply* request, int status, void* result) {
        auto* completed = static_cast<Proposal*>(request->data);
        Impl& impl = *completed->impl;
        Result outcome = status == 0 && result ? *static_cast<Result*>(result)
                                               : Result{CommandStatus::kUnknownOutcome, 0, 0, 0};
        auto owned = std::move(impl.proposals[request]);
        impl.proposals.erase(request);
        owned->done(outcome);
      });
  if (error != 0) {
    raft_free(buffer.base);
    proposals.erase(apply_request);
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
  Reader reader(bytes);
  std::uint64_t kind = reader.ReadNumber(1);
  if (kind == static_cast<std::uint64_t>(Impl::Kind::kHello))
    impl.HandleHello(from, reader);
  else if (kind == static_cast<std::uint64_t>(Impl::Kind::kRaft))
    impl.HandleRaftMessage(from, reader);
  impl.RunDeferred();
}
bool Group::Propose(Ms now, const Command& command, Completion done) {
  impl_->now = now;
  bool accepted = impl_->Propose(command, std::move(done));
  impl_->RunDeferred();
  return accepted;
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
  auto entry = impl_->table.Tasks().find(task);
  return entry != impl_->table.Tasks().end() && entry->second.holder != 0
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
