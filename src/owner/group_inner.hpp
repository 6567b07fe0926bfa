// What is inside a Group, for its files: group.cpp (time, proposals), group_founding.cpp,
// group_io.cpp (what libraft asks of its I/O and of the state machine), group_messages.cpp (its
// datagrams). Nothing else includes it.
#pragma once
extern "C" {  // the library's header does not say so itself
#include <raft.h>
}

#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "owner/bytes.hpp"
#include "owner/group.hpp"

namespace dunlinwick::owner {

struct Group::Impl {
  static constexpr std::size_t kMaxMessageBytes = 60000;
  enum class Kind : std::uint8_t {
    kHello,
    kRaft
  };

  Id self;
  std::vector<Id> members;
  RaftSettings settings;
  Store& store;
  std::uint64_t incarnation;
  Send send;
  std::knuth_b random;
  Ms now;
  Ms last_tick_at;

  MemberState member_state = MemberState::kBootstrapping;
  std::string failure_reason;
  LeaseTable table;
  LeaseExpiryTracker expiry_tracker;
  bool was_leader = false;

  // Founding: the incarnation of each member as it was heard to begin, and what each has seen.
  std::map<Id, std::uint64_t> bootstrapping;
  std::map<Id, std::map<Id, std::uint64_t>> seen_by_member;
  std::map<Id, std::uint64_t> bootstrap_members;
  Ms next_hello_at;

  raft_io io{};
  raft_fsm fsm{};
  raft node{};
  bool initialized = false;
  bool started = false;
  raft_io_tick_cb tick_cb = nullptr;
  raft_io_recv_cb recv_cb = nullptr;
  std::deque<std::function<void()>> deferred;  // emptied before each call returns
  struct Proposal {
    Impl* impl;
    Command command;
    Completion done;
    struct raft_apply request {};
  };
  std::map<struct raft_apply*, std::unique_ptr<Proposal>>
      proposals;  // emptied as they are answered, or lost

  Result last_result;
  bool reuse_tokens = false;

  Impl(Id self, std::vector<Id> members, RaftSettings settings, LeaseSettings lease, Store& store,
       std::uint64_t incarnation, std::uint64_t seed, Ms now, Send send);
  ~Impl();
  static Impl& Of(raft_io* i) {
    return *static_cast<Impl*>(i->impl);
  }
  bool IsLeader() const {
    return started && member_state == MemberState::kMember && node.state == RAFT_LEADER;
  }

  template <class F>
  int Persist(F write) {
    try {
      write();
      return 0;
    } catch (const std::exception& error) {
      Fail(error.what());
      return RAFT_IOERR;
    }
  }
  void Fail(const std::string& reason);
  void RunDeferred();

  // ---- time, proposals
  void Tick(Ms at);
  bool Propose(const Command& c, Completion done);

  // ---- founding
  static void WriteSet(Writer& w, const std::map<Id, std::uint64_t>& set);
  static bool ReadSet(Reader& r, std::map<Id, std::uint64_t>& set);
  void SendHello();
  void HandleHello(Id from, Reader& r);
  void CompleteBootstrap(const std::map<Id, std::uint64_t>& set);
  void BootstrapAndStart();
  void Init();
  void Start();

  // ---- libraft's I/O
  void SetUpIo();
  void SetUpFsm();
  static int load(raft_io* i, raft_term* term, raft_id* vote, raft_snapshot** snapshot,
                  raft_index* first, raft_entry* entries[], size_t* n);
  static void FillEntries(const std::vector<LogEntry>& from, raft_entry*& into);
  static void FillSnapshot(const StoredSnapshot& from, raft_snapshot& into);
  static int Bootstrap(raft_io* i, const raft_configuration* conf);
  static int Append(raft_io* i, raft_io_append* req, const raft_entry entries[], unsigned n,
                    raft_io_append_cb cb);
  static int PutSnapshot(raft_io* i, unsigned keep, raft_io_snapshot_put* req,
                         const raft_snapshot* s, raft_io_snapshot_put_cb cb);
  static int GetSnapshot(raft_io* i, raft_io_snapshot_get* req, raft_io_snapshot_get_cb cb);
  static int SendMessage(raft_io* i, raft_io_send* req, const raft_message* m, raft_io_send_cb cb);
  void HandleRaftMessage(Id from, Reader& r);

  // ---- the library's memory and types, and ours
  static raft_id RaftId(Id id) {
    return id;
  }
  static std::string AddressOf(Id id) {
    return "m" + std::to_string(id);
  }
  static void* AllocateCopy(const std::string& bytes);  // by raft_malloc
  static std::string BytesOf(const raft_buffer& b) {
    return std::string(static_cast<const char*>(b.base), b.len);
  }
  static std::string EncodeConfiguration(const raft_configuration& conf);
  static bool DecodeConfiguration(Reader& r, raft_configuration& conf);
};

}  // namespace dunlinwick::owner
