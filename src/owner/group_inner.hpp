// The implementation of Group, shared by its source files: group.cpp (time and proposals),
// group_founding.cpp (bootstrap), group_io.cpp (libraft's I/O and state machine interfaces) and
// group_messages.cpp (libraft's messages as datagrams). No other file includes it.
#pragma once
extern "C" {  // raft.h has no linkage specification of its own
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

  // Bootstrap: the incarnation of each member from which a hello was received, and the incarnations
  // that each of them has seen.
  std::map<Id, std::uint64_t> bootstrapping_incarnations;
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
  std::deque<std::function<void()>> deferred;  // run before each call returns
  struct Proposal {
    Impl* impl;
    Command command;
    Completion done;
    struct raft_apply request {};
  };
  std::map<struct raft_apply*, std::unique_ptr<Proposal>>
      proposals;  // removed once their outcome is known or unknowable

  Result last_result;
  bool reuse_tokens = false;

  Impl(Id self, std::vector<Id> members, RaftSettings settings, LeaseSettings lease, Store& store,
       std::uint64_t incarnation, std::uint64_t seed, Ms now, Send send);
  ~Impl();
  static Impl& Of(raft_io* io_handle) {
    return *static_cast<Impl*>(io_handle->impl);
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

  // ---- time and proposals
  void Tick(Ms time);
  bool Propose(const Command& command, Completion done);

  // ---- bootstrap
  static void WriteIncarnations(Writer& writer, const std::map<Id, std::uint64_t>& incarnations);
  static bool ReadIncarnations(Reader& reader, std::map<Id, std::uint64_t>& incarnations);
  void SendHello();
  void HandleHello(Id from, Reader& reader);
  void CompleteBootstrap(const std::map<Id, std::uint64_t>& members_with_incarnations);
  void BootstrapAndStart();
  void Init();
  void Start();

  // ---- libraft's I/O
  void SetUpIo();
  void SetUpFsm();
  static int load(raft_io* io_handle, raft_term* term, raft_id* vote, raft_snapshot** snapshot,
                  raft_index* first, raft_entry* entries[], size_t* count);
  static void FillEntries(const std::vector<LogEntry>& from, raft_entry*& into);
  static void FillSnapshot(const StoredSnapshot& from, raft_snapshot& into);
  static int Bootstrap(raft_io* io_handle, const raft_configuration* configuration);
  static int Append(raft_io* io_handle, raft_io_append* request, const raft_entry entries[],
                    unsigned count, raft_io_append_cb callback);
  static int PutSnapshot(raft_io* io_handle, unsigned trailing, raft_io_snapshot_put* request,
                         const raft_snapshot* snapshot, raft_io_snapshot_put_cb callback);
  static int GetSnapshot(raft_io* io_handle, raft_io_snapshot_get* request,
                         raft_io_snapshot_get_cb callback);
  static int SendMessage(raft_io* io_handle, raft_io_send* request, const raft_message* message,
                         raft_io_send_cb callback);
  void HandleRaftMessage(Id from, Reader& reader);

  // ---- conversions between libraft's types and this project's
  static raft_id RaftId(Id id) {
    return id;
  }
  static std::string AddressOf(Id id) {
    return "m" + std::to_string(id);
  }
  static void* AllocateCopy(const std::string& bytes);  // allocated by raft_malloc
  static std::string BytesOf(const raft_buffer& buffer) {
    return std::string(static_cast<const char*>(buffer.base), buffer.len);
  }
  static std::string EncodeConfiguration(const raft_configuration& configuration);
  static bool DecodeConfiguration(Reader& reader, raft_configuration& configuration);
};

}  // namespace dunlinwick::owner
