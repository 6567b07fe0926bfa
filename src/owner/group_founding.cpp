// Bootstrap of the group, as group.hpp describes it: hellos, detection of a member that has lost
// its state, then initialization and start of libraft.
#include "owner/group_inner.hpp"

namespace dunlinwick::owner {

namespace {
constexpr unsigned kSnapshotThreshold = 256, kSnapshotTrailing = 32;
}

void Group::Impl::WriteIncarnations(Writer& writer,
                                    const std::map<Id, std::uint64_t>& incarnations) {
  writer.WriteNumber(incarnations.size(), 1);
  for (auto [id, member_incarnation] : incarnations) {
    writer.WriteNumber(id, 4);
    writer.WriteNumber(member_incarnation, 8);
  }
}

bool Group::Impl::ReadIncarnations(Reader& reader, std::map<Id, std::uint64_t>& incarnations) {
  std::uint64_t count = reader.ReadNumber(1);
  for (std::uint64_t i = 0; i < count && !reader.HasFailed(); ++i) {
    Id id = static_cast<Id>(reader.ReadNumber(4));
    incarnations[id] = reader.ReadNumber(8);
  }
  return !reader.HasFailed();
}

void Group::Impl::SendHello() {
  Writer writer;
  writer.WriteNumber(static_cast<std::uint64_t>(Kind::kHello), 1);
  writer.WriteNumber(member_state == MemberState::kMember, 1);
  writer.WriteNumber(incarnation, 8);
  WriteIncarnations(writer, member_state == MemberState::kMember ? bootstrap_members
                                                                 : bootstrapping_incarnations);
  WriteIncarnations(writer, bootstrapping_incarnations);
  for (Id member : members)
    if (member != self)
      send(member, writer.bytes);
}

void Group::Impl::HandleHello(Id from, Reader& reader) {
  bool is_member = reader.ReadNumber(1) != 0;
  std::uint64_t member_incarnation = reader.ReadNumber(8);
  std::map<Id, std::uint64_t> sender_members, seen_by_sender;
  if (!ReadIncarnations(reader, sender_members) || !ReadIncarnations(reader, seen_by_sender) ||
      !reader.IsComplete())
    return;
  if (member_state == MemberState::kMember && !is_member) {
    bootstrapping_incarnations[from] = member_incarnation;
    return SendHello();  // a member that starts late learns of the existing group at once
  }
  if (member_state != MemberState::kBootstrapping)
    return;
  if (is_member) {
    if (auto own_entry = sender_members.find(self);
        own_entry != sender_members.end() && own_entry->second == incarnation)
      return CompleteBootstrap(sender_members);
    // Accepted only from a member that has received this process's hello: a delayed old hello may
    // come from a group that no longer exists.
    if (auto own_entry = seen_by_sender.find(self);
        own_entry == seen_by_sender.end() || own_entry->second != incarnation)
      return;
    member_state = MemberState::kLost;
    failure_reason = "the group began without this process: its earlier votes and log are lost";
    return;
  }
  bootstrapping_incarnations[from] = member_incarnation;
  seen_by_member[from] = sender_members;
  bool agreed_by_everyone = bootstrapping_incarnations.size() == members.size();
  for (Id member : members)
    agreed_by_everyone = agreed_by_everyone &&
                         (member == self || seen_by_member[member] == bootstrapping_incarnations);
  if (agreed_by_everyone)
    CompleteBootstrap(bootstrapping_incarnations);
}

void Group::Impl::CompleteBootstrap(const std::map<Id, std::uint64_t>& members_with_incarnations) {
  bootstrap_members = members_with_incarnations;
  Writer writer;
  WriteIncarnations(writer, bootstrap_members);
  if (Persist([&] { store.SaveBootstrap(writer.bytes); }) != 0)
    return;
  BootstrapAndStart();
  SendHello();
}

void Group::Impl::BootstrapAndStart() {
  Init();
  raft_configuration configuration;
  raft_configuration_init(&configuration);
  for (Id member : members)
    if (raft_configuration_add(&configuration, RaftId(member), AddressOf(member).c_str(),
                               RAFT_VOTER) != 0)
      Fail("cannot add the members to the Raft configuration");
  int error = raft_bootstrap(&node, &configuration);
  raft_configuration_close(&configuration);
  if (error != 0)
    return Fail(std::string("cannot bootstrap the group: ") + raft_errmsg(&node));
  Start();
}

void Group::Impl::Init() {
  if (initialized)
    return;
  if (raft_init(&node, &io, &fsm, RaftId(self), AddressOf(self).c_str()) != 0)
    throw std::runtime_error("cannot initialize Raft");
  initialized = true;
  raft_set_election_timeout(&node, static_cast<unsigned>(settings.election_timeout));
  raft_set_heartbeat_timeout(&node, static_cast<unsigned>(settings.heartbeat_interval));
  raft_set_install_snapshot_timeout(&node, static_cast<unsigned>(2 * settings.election_timeout));
  raft_set_snapshot_threshold(&node, kSnapshotThreshold);
  raft_set_snapshot_trailing(&node, kSnapshotTrailing);
  // Without pre-vote: in libraft 0.15 a member that requests a pre-vote at a lower term is refused
  // and does not learn the higher term. Of two remaining members, the one with the longer log then
  // stays at its term for ever and the other cannot win (found by the test's schedule "clocks past
  // the bound", seed 200178). Drawback: a member that was partitioned raises its term and may force
  // an election when it reconnects.
  raft_set_pre_vote(&node, false);
}

void Group::Impl::Start() {
  Init();
  if (raft_start(&node) != 0) {
    Fail(std::string("cannot start Raft: ") + raft_errmsg(&node));
    return;
  }
  started = true;
  member_state = MemberState::kMember;
}

}  // namespace dunlinwick::owner
