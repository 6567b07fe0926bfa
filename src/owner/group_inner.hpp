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

struct Group::Inner {
  static constexpr std::size_t kMostBytes = 60000;
  enum class Kind : std::uint8_t {
    kHello,
    kRaft
  };

  Id self;
  std::vector<Id> members;
  GroupTerms terms;
  Store& store;
  std::uint64_t incarnation;
  Send send;
  std::knuth_b random;
  Ms now;
  Ms ticked_at;

  Standing standing = Standing::kBegins;
  std::string why;
  Table table;
  Keeper keeper;
  bool led = false;

  // Founding: the incarnation of each member as it was heard to begin, and what each has seen.
  std::map<Id, std::uint64_t> beginning;
  std::map<Id, std::map<Id, std::uint64_t>> seen_by;
  std::map<Id, std::uint64_t> founders;
  Ms hello_at;

  raft_io io{};
  raft_fsm fsm{};
  raft node{};
  bool inited = false;
  bool started = false;
  raft_io_tick_cb tick_cb = nullptr;
  raft_io_recv_cb recv_cb = nullptr;
  std::deque<std::function<void()>> later;  // emptied before each call returns
  struct Proposal {
    Inner* inner;
    Command command;
    Done done;
    struct raft_apply request {};
  };
  std::map<struct raft_apply*, std::unique_ptr<Proposal>>
      proposals;  // emptied as they are answered, or lost

  Result last_result;
  bool reuse_tokens = false;

  Inner(Id self, std::vector<Id> members, GroupTerms terms, Terms lease, Store& store,
        std::uint64_t incarnation, std::uint64_t seed, Ms now, Send send);
  ~Inner();
  static Inner& Of(raft_io* i) {
    return *static_cast<Inner*>(i->impl);
  }
  bool Leads() const {
    return started && standing == Standing::kMember && node.state == RAFT_LEADER;
  }

  template <class F>
  int Kept(F write) {
    try {
      write();
      return 0;
    } catch (const std::exception& fault) {
      Fail(fault.what());
      return RAFT_IOERR;
    }
  }
  void Fail(const std::string& reason);
  void Settle();

  // ---- time, proposals
  void Tick(Ms at);
  bool Propose(const Command& c, Done done);

  // ---- founding
  static void WriteSet(Writer& w, const std::map<Id, std::uint64_t>& set);
  static bool ReadSet(Reader& r, std::map<Id, std::uint64_t>& set);
  void SayHello();
  void HearHello(Id from, Reader& r);
  void Found(const std::map<Id, std::uint64_t>& set);
  void BootstrapAndStart();
  void Init();
  void Start();

  // ---- libraft's I/O
  void FillIo();
  void FillFsm();
  static int load(raft_io* i, raft_term* term, raft_id* vote, raft_snapshot** snapshot,
                  raft_index* first, raft_entry* entries[], size_t* n);
  static void FillEntries(const std::vector<LogEntry>& from, raft_entry*& into);
  static void Fill(const StoredSnapshot& from, raft_snapshot& into);
  static int Bootstrap(raft_io* i, const raft_configuration* conf);
  static int Append(raft_io* i, raft_io_append* req, const raft_entry entries[], unsigned n,
                    raft_io_append_cb cb);
  static int PutSnapshot(raft_io* i, unsigned keep, raft_io_snapshot_put* req,
                         const raft_snapshot* s, raft_io_snapshot_put_cb cb);
  static int GetSnapshot(raft_io* i, raft_io_snapshot_get* req, raft_io_snapshot_get_cb cb);
  static int SendMessage(raft_io* i, raft_io_send* req, const raft_message* m, raft_io_send_cb cb);
  void HearRaft(Id from, Reader& r);

  // ---- the library's memory and types, and ours
  static raft_id RaftId(Id id) {
    return id;
  }
  static std::string AddressOf(Id id) {
    return "m" + std::to_string(id);
  }
  static void* Copied(const std::string& bytes);  // by raft_malloc
  static std::string TextOf(const raft_buffer& b) {
    return std::string(static_cast<const char*>(b.base), b.len);
  }
  static std::string Encoded(const raft_configuration& conf);
  static bool Decoded(Reader& r, raft_configuration& conf);
};

}  // namespace dunlinwick::owner
