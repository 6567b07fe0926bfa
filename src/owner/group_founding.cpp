// Founding (group.hpp says how): hellos, who is a founder, who has lost its state; then libraft set
// up and started.
#include "owner/group_inner.hpp"

namespace dunlinwick::owner {

namespace {
constexpr unsigned kSnapshotEach = 256, kTrailing = 32;
}

void Group::Inner::WriteSet(Writer& w, const std::map<Id, std::uint64_t>& set) {
  w.number(set.size(), 1);
  for (auto [id, inc] : set) {
    w.number(id, 4);
    w.number(inc, 8);
  }
}

bool Group::Inner::ReadSet(Reader& r, std::map<Id, std::uint64_t>& set) {
  std::uint64_t n = r.number(1);
  for (std::uint64_t i = 0; i < n && !r.Bad(); ++i) {
    Id id = static_cast<Id>(r.number(4));
    set[id] = r.number(8);
  }
  return !r.Bad();
}

void Group::Inner::SayHello() {
  Writer w;
  w.number(static_cast<std::uint64_t>(Kind::kHello), 1);
  w.number(standing == Standing::kMember, 1);
  w.number(incarnation, 8);
  WriteSet(w, standing == Standing::kMember ? founders : beginning);
  WriteSet(w, beginning);
  for (Id m : members)
    if (m != self)
      send(m, w.bytes);
}

void Group::Inner::HearHello(Id from, Reader& r) {
  bool formed = r.number(1) != 0;
  std::uint64_t inc = r.number(8);
  std::map<Id, std::uint64_t> set, heard;
  if (!ReadSet(r, set) || !ReadSet(r, heard) || !r.Whole())
    return;
  if (standing == Standing::kMember && !formed) {
    beginning[from] = inc;
    return SayHello();  // who begins late hears at once what became of the group
  }
  if (standing != Standing::kBegins)
    return;
  if (formed) {
    if (auto me = set.find(self); me != set.end() && me->second == incarnation)
      return Found(set);
    // Only from one that has heard this very process: an old word, late on its way, may be of a
    // group that is no more.
    if (auto me = heard.find(self); me == heard.end() || me->second != incarnation)
      return;
    standing = Standing::kLost;
    why = "the group began without this process: what it had promised is lost";
    return;
  }
  beginning[from] = inc;
  seen_by[from] = set;
  bool all = beginning.size() == members.size();
  for (Id m : members)
    all = all && (m == self || seen_by[m] == beginning);
  if (all)
    Found(beginning);
}

void Group::Inner::Found(const std::map<Id, std::uint64_t>& set) {
  founders = set;
  Writer w;
  WriteSet(w, founders);
  if (Kept([&] { store.Found(w.bytes); }) != 0)
    return;
  BootstrapAndStart();
  SayHello();
}

void Group::Inner::BootstrapAndStart() {
  Init();
  raft_configuration conf;
  raft_configuration_init(&conf);
  for (Id m : members)
    if (raft_configuration_add(&conf, RaftId(m), AddressOf(m).c_str(), RAFT_VOTER) != 0)
      Fail("members can't be configured");
  int fault = raft_bootstrap(&node, &conf);
  raft_configuration_close(&conf);
  if (fault != 0)
    return Fail(std::string("the group can't be founded: ") + raft_errmsg(&node));
  Start();
}

void Group::Inner::Init() {
  if (inited)
    return;
  if (raft_init(&node, &io, &fsm, RaftId(self), AddressOf(self).c_str()) != 0)
    throw std::runtime_error("consensus can't be set up");
  inited = true;
  raft_set_election_timeout(&node, static_cast<unsigned>(terms.election));
  raft_set_heartbeat_timeout(&node, static_cast<unsigned>(terms.heartbeat));
  raft_set_install_snapshot_timeout(&node, static_cast<unsigned>(2 * terms.election));
  raft_set_snapshot_threshold(&node, kSnapshotEach);
  raft_set_snapshot_trailing(&node, kTrailing);
  // Without pre-vote: in 0.15 one who asks for it at a lower term is refused and does not learn the
  // higher one. Of two members that are left, the one with the longer log then stays at its term
  // for ever and the other can't win (found by a schedule: clocks past the bound, seed 200178).
  // Harm: a member that was cut off raises its term and may force an election.
  raft_set_pre_vote(&node, false);
}

void Group::Inner::Start() {
  Init();
  if (raft_start(&node) != 0) {
    Fail(std::string("consensus can't start: ") + raft_errmsg(&node));
    return;
  }
  started = true;
  standing = Standing::kMember;
}

}  // namespace dunlinwick::owner
