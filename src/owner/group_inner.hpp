// What is inside a Group, for its files: group.cpp (time, proposals), group_founding.cpp, group_io.cpp (what libraft asks of its
// I/O and of the state machine), group_messages.cpp (its datagrams). Nothing else includes it.
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
  static constexpr std::size_t mostBytes = 60000;
  enum class Kind : std::uint8_t { hello, raft };

  Id self;
  std::vector<Id> members;
  GroupTerms terms;
  Store& store;
  std::uint64_t incarnation;
  Send send;
  std::knuth_b random;
  Ms now, tickedAt;

  Standing standing = Standing::begins;
  std::string why;
  Table table;
  Keeper keeper;
  bool led = false;

  // Founding: the incarnation of each member as it was heard to begin, and what each has seen.
  std::map<Id, std::uint64_t> beginning;
  std::map<Id, std::map<Id, std::uint64_t>> seenBy;
  std::map<Id, std::uint64_t> founders;
  Ms helloAt;

  raft_io io{};
  raft_fsm fsm{};
  raft node{};
  bool inited = false, started = false;
  raft_io_tick_cb tickCb = nullptr;
  raft_io_recv_cb recvCb = nullptr;
  std::deque<std::function<void()>> later;  // emptied before each call returns
  struct Proposal {
    Inner* inner;
    Command command;
    Done done;
    struct raft_apply request{};
  };
  std::map<struct raft_apply*, std::unique_ptr<Proposal>> proposals;  // emptied as they are answered, or lost

  Result lastResult;
  bool reuseTokens = false;

  Inner(Id self, std::vector<Id> members, GroupTerms terms, Terms lease, Store& store, std::uint64_t incarnation, std::uint64_t seed,
        Ms now, Send send);
  ~Inner();
  static Inner& of(raft_io* i) { return *static_cast<Inner*>(i->impl); }
  bool leads() const { return started && standing == Standing::member && node.state == RAFT_LEADER; }

  template <class F>
  int kept(F write) {
    try {
      write();
      return 0;
    } catch (const std::exception& fault) {
      fail(fault.what());
      return RAFT_IOERR;
    }
  }
  void fail(const std::string& reason);
  void settle();

  // ---- time, proposals
  void tick(Ms at);
  bool propose(const Command& c, Done done);

  // ---- founding
  static void writeSet(Writer& w, const std::map<Id, std::uint64_t>& set);
  static bool readSet(Reader& r, std::map<Id, std::uint64_t>& set);
  void sayHello();
  void hearHello(Id from, Reader& r);
  void found(const std::map<Id, std::uint64_t>& set);
  void bootstrapAndStart();
  void init();
  void start();

  // ---- libraft's I/O
  void fillIo();
  void fillFsm();
  static int load(raft_io* i, raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* first, raft_entry* entries[], size_t* n);
  static void fillEntries(const std::vector<LogEntry>& from, raft_entry*& into);
  static void fill(const StoredSnapshot& from, raft_snapshot& into);
  static int bootstrap(raft_io* i, const raft_configuration* conf);
  static int append(raft_io* i, raft_io_append* req, const raft_entry entries[], unsigned n, raft_io_append_cb cb);
  static int putSnapshot(raft_io* i, unsigned keep, raft_io_snapshot_put* req, const raft_snapshot* s, raft_io_snapshot_put_cb cb);
  static int getSnapshot(raft_io* i, raft_io_snapshot_get* req, raft_io_snapshot_get_cb cb);
  static int sendMessage(raft_io* i, raft_io_send* req, const raft_message* m, raft_io_send_cb cb);
  void hearRaft(Id from, Reader& r);

  // ---- the library's memory and types, and ours
  static raft_id raftId(Id id) { return id; }
  static std::string addressOf(Id id) { return "m" + std::to_string(id); }
  static void* copied(const std::string& bytes);  // by raft_malloc
  static std::string textOf(const raft_buffer& b) { return std::string(static_cast<const char*>(b.base), b.len); }
  static std::string encoded(const raft_configuration& conf);
  static bool decoded(Reader& r, raft_configuration& conf);
};

}  // namespace dunlinwick::owner
