#include "owner/group.hpp"

extern "C" {  // the library's header does not say so itself
#include <raft.h>
}

#include <algorithm>
#include <cstring>
#include <deque>
#include <random>
#include <stdexcept>

#include "owner/bytes.hpp"

namespace dunlinwick::owner {

namespace {

constexpr std::size_t mostBytes = 60000, mostProposals = 256, mostEntries = 64;
constexpr unsigned snapshotEach = 256, trailing = 32;
enum class Kind : std::uint8_t { hello, raft };

raft_id raftId(Id id) { return id; }

std::string addressOf(Id id) { return "m" + std::to_string(id); }

void* copied(const std::string& bytes) {
  void* p = raft_malloc(std::max<std::size_t>(bytes.size(), 1));
  if (!p) throw std::bad_alloc();
  std::memcpy(p, bytes.data(), bytes.size());
  return p;
}
std::string textOf(const raft_buffer& b) { return std::string(static_cast<const char*>(b.base), b.len); }

std::string encoded(const raft_configuration& conf) {
  Writer w;
  w.number(conf.n, 1);
  for (unsigned i = 0; i < conf.n; ++i) w.number(conf.servers[i].id, 8), w.number(static_cast<std::uint64_t>(conf.servers[i].role), 1);
  return std::move(w.bytes);
}
bool decoded(Reader& r, raft_configuration& conf) {
  raft_configuration_init(&conf);
  std::uint64_t n = r.number(1);
  for (std::uint64_t i = 0; i < n && !r.bad(); ++i) {
    std::uint64_t id = r.number(8), role = r.number(1);
    if (r.bad() || id == 0 || role > RAFT_SPARE ||
        raft_configuration_add(&conf, id, addressOf(static_cast<Id>(id)).c_str(), static_cast<int>(role)) != 0) {
      raft_configuration_close(&conf);
      return false;
    }
  }
  return !r.bad();
}

}  // namespace

const char* word(Group::Standing s) {
  static const char* const words[] = {"begins", "member", "lost", "failed"};
  return words[static_cast<int>(s)];
}

struct Group::Inner {
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

  Inner(Id s, std::vector<Id> m, GroupTerms t, Terms lease, Store& st, std::uint64_t inc, std::uint64_t seed, Ms n, Send out)
      : self(s), members(std::move(m)), terms(t), store(st), incarnation(inc), send(std::move(out)),
        random(static_cast<unsigned>(seed ^ (seed >> 32))), now(n), tickedAt(n), keeper(lease), helloAt(n) {
    beginning[self] = incarnation;
    io.version = 2, io.impl = this, io.data = this;
    io.init = [](raft_io*, raft_id, const char*) { return 0; };
    io.close = [](raft_io* i, raft_io_close_cb cb) {
      of(i).later.push_back([i, cb] { cb(i); });
    };
    io.load = load;
    io.start = [](raft_io* i, unsigned, raft_io_tick_cb tick, raft_io_recv_cb recv) {
      of(i).tickCb = tick, of(i).recvCb = recv;
      return 0;
    };
    io.bootstrap = bootstrap;
    io.recover = [](raft_io*, const raft_configuration*) { return static_cast<int>(RAFT_INVALID); };
    io.set_term = [](raft_io* i, raft_term term) { return of(i).kept([&] { of(i).store.setTerm(term); }); };
    io.set_vote = [](raft_io* i, raft_id vote) { return of(i).kept([&] { of(i).store.setVote(vote); }); };
    io.send = sendMessage;
    io.append = append;
    io.truncate = [](raft_io* i, raft_index from) { return of(i).kept([&] { of(i).store.truncate(from); }); };
    io.snapshot_put = putSnapshot;
    io.snapshot_get = getSnapshot;
    io.time = [](raft_io* i) { return static_cast<raft_time>(of(i).now); };
    io.random = [](raft_io* i, int min, int max) {
      return std::uniform_int_distribution<int>(min, std::max(min, max - 1))(of(i).random);
    };
    io.async_work = [](raft_io* i, raft_io_async_work* req, raft_io_async_work_cb cb) {
      of(i).later.push_back([req, cb] { cb(req, req->work(req)); });
      return 0;
    };
    fsm.version = 1, fsm.data = this;
    fsm.apply = [](raft_fsm* f, const raft_buffer* buf, void** result) {
      Inner& in = *static_cast<Inner*>(f->data);
      *result = nullptr;
      auto c = decode({static_cast<const char*>(buf->base), buf->len});
      if (!c) return static_cast<int>(RAFT_MALFORMED);
      Result r = in.table.apply(*c);
      if (in.leads()) in.keeper.applied(in.now, *c, r);
      in.lastResult = r;
      *result = &in.lastResult;
      return 0;
    };
    fsm.snapshot = [](raft_fsm* f, raft_buffer* bufs[], unsigned* n) {
      Inner& in = *static_cast<Inner*>(f->data);
      std::string bytes = in.table.snapshot();
      *bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
      if (!*bufs) return static_cast<int>(RAFT_NOMEM);
      *n = 1;
      (*bufs)[0] = {copied(bytes), bytes.size()};
      return 0;
    };
    fsm.restore = [](raft_fsm* f, raft_buffer* buf) {
      Inner& in = *static_cast<Inner*>(f->data);
      if (!in.table.restore({static_cast<const char*>(buf->base), buf->len})) return static_cast<int>(RAFT_CORRUPT);
      raft_free(buf->base);
      return 0;
    };
    StoredState state = store.load();
    if (!state.founding.empty()) {
      Reader r(state.founding);
      if (!readSet(r, founders) || !r.whole()) throw std::runtime_error("the owner's store holds no founding that can be read");
      start();
    }
  }
  Result lastResult;
  bool reuseTokens = false;

  ~Inner() {
    if (inited) {
      raft_close(&node, [](raft*) {});
      settle();
    }
  }

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
  void fail(const std::string& reason) {
    if (standing == Standing::failed) return;
    standing = Standing::failed, why = reason;
  }
  void settle() {
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

  // ---- founding

  static void writeSet(Writer& w, const std::map<Id, std::uint64_t>& set) {
    w.number(set.size(), 1);
    for (auto [id, inc] : set) w.number(id, 4), w.number(inc, 8);
  }
  static bool readSet(Reader& r, std::map<Id, std::uint64_t>& set) {
    std::uint64_t n = r.number(1);
    for (std::uint64_t i = 0; i < n && !r.bad(); ++i) {
      Id id = static_cast<Id>(r.number(4));
      set[id] = r.number(8);
    }
    return !r.bad();
  }
  void sayHello() {
    Writer w;
    w.number(static_cast<std::uint64_t>(Kind::hello), 1), w.number(standing == Standing::member, 1), w.number(incarnation, 8);
    writeSet(w, standing == Standing::member ? founders : beginning);
    writeSet(w, beginning);
    for (Id m : members)
      if (m != self) send(m, w.bytes);
  }
  void hearHello(Id from, Reader& r) {
    bool formed = r.number(1) != 0;
    std::uint64_t inc = r.number(8);
    std::map<Id, std::uint64_t> set, heard;
    if (!readSet(r, set) || !readSet(r, heard) || !r.whole()) return;
    if (standing == Standing::member && !formed) {
      beginning[from] = inc;
      return sayHello();  // who begins late hears at once what became of the group
    }
    if (standing != Standing::begins) return;
    if (formed) {
      if (auto me = set.find(self); me != set.end() && me->second == incarnation) return found(set);
      // Only from one that has heard this very process: an old word, late on its way, may be of a group that is no more.
      if (auto me = heard.find(self); me == heard.end() || me->second != incarnation) return;
      standing = Standing::lost;
      why = "the group began without this process: what it had promised is lost";
      return;
    }
    beginning[from] = inc, seenBy[from] = set;
    bool all = beginning.size() == members.size();
    for (Id m : members) all = all && (m == self || seenBy[m] == beginning);
    if (all) found(beginning);
  }
  void found(const std::map<Id, std::uint64_t>& set) {
    founders = set;
    Writer w;
    writeSet(w, founders);
    if (kept([&] { store.found(w.bytes); }) != 0) return;
    init();
    raft_configuration conf;
    raft_configuration_init(&conf);
    for (Id m : members)
      if (raft_configuration_add(&conf, raftId(m), addressOf(m).c_str(), RAFT_VOTER) != 0) fail("members can't be configured");
    int fault = raft_bootstrap(&node, &conf);
    raft_configuration_close(&conf);
    if (fault != 0) return fail(std::string("the group can't be founded: ") + raft_errmsg(&node));
    start();
    sayHello();
  }
  void init() {
    if (inited) return;
    if (raft_init(&node, &io, &fsm, raftId(self), addressOf(self).c_str()) != 0) throw std::runtime_error("consensus can't be set up");
    inited = true;
    raft_set_election_timeout(&node, static_cast<unsigned>(terms.election));
    raft_set_heartbeat_timeout(&node, static_cast<unsigned>(terms.heartbeat));
    raft_set_install_snapshot_timeout(&node, static_cast<unsigned>(2 * terms.election));
    raft_set_snapshot_threshold(&node, snapshotEach);
    raft_set_snapshot_trailing(&node, trailing);
    // Without pre-vote: in 0.15 one who asks for it at a lower term is refused and does not learn the higher one. Of two members
    // that are left, the one with the longer log then stays at its term for ever and the other can't win (found by a schedule:
    // clocks past the bound, seed 200178). Harm: a member that was cut off raises its term and may force an election.
    raft_set_pre_vote(&node, false);
  }
  void start() {
    init();
    if (raft_start(&node) != 0) {
      fail(std::string("consensus can't start: ") + raft_errmsg(&node));
      return;
    }
    started = true;
    standing = Standing::member;
  }

  // ---- libraft's I/O

  static int load(raft_io* i, raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* first, raft_entry* entries[], size_t* n) {
    Inner& in = of(i);
    StoredState s;
    if (in.kept([&] { s = in.store.load(); }) != 0) return RAFT_IOERR;
    *term = s.term, *vote = s.vote, *snapshot = nullptr, *first = s.first, *entries = nullptr, *n = s.entries.size();
    if (s.snapshot) {
      auto* p = static_cast<raft_snapshot*>(raft_malloc(sizeof(raft_snapshot)));
      if (!p) return RAFT_NOMEM;
      fill(*s.snapshot, *p);
      *snapshot = p;
    }
    if (*n == 0) return 0;
    fillEntries(s.entries, *entries);
    return *entries ? 0 : static_cast<int>(RAFT_NOMEM);
  }
  // One batch holds the bytes of all, as the library wants what it is given.
  static void fillEntries(const std::vector<LogEntry>& from, raft_entry*& into) {
    std::size_t bytes = 0;
    for (const LogEntry& e : from) bytes += (e.bytes.size() + 7) / 8 * 8;
    into = static_cast<raft_entry*>(raft_calloc(from.size(), sizeof(raft_entry)));
    char* batch = static_cast<char*>(raft_malloc(std::max<std::size_t>(bytes, 8)));
    std::size_t at = 0;
    for (std::size_t i = 0; i < from.size(); ++i) {
      std::memcpy(batch + at, from[i].bytes.data(), from[i].bytes.size());
      into[i].term = from[i].term, into[i].type = from[i].type;
      into[i].buf = {batch + at, from[i].bytes.size()}, into[i].batch = batch;
      at += (from[i].bytes.size() + 7) / 8 * 8;
    }
  }
  static void fill(const StoredSnapshot& from, raft_snapshot& into) {
    std::memset(&into, 0, sizeof into);
    into.index = from.index, into.term = from.term, into.configuration_index = from.configurationIndex;
    Reader r(from.configuration);
    decoded(r, into.configuration);
    into.bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    into.n_bufs = 1;
    into.bufs[0] = {copied(from.data), from.data.size()};
  }

  static int bootstrap(raft_io* i, const raft_configuration* conf) {
    Inner& in = of(i);
    raft_buffer buf;
    if (raft_configuration_encode(conf, &buf) != 0) return RAFT_NOMEM;
    LogEntry e{1, RAFT_CHANGE, textOf(buf)};
    raft_free(buf.base);
    return in.kept([&] { in.store.setTerm(1), in.store.append({e}); });
  }

  static int append(raft_io* i, raft_io_append* req, const raft_entry entries[], unsigned n, raft_io_append_cb cb) {
    Inner& in = of(i);
    std::vector<LogEntry> all;
    for (unsigned k = 0; k < n; ++k) all.push_back({entries[k].term, entries[k].type, textOf(entries[k].buf)});
    int fault = in.kept([&] { in.store.append(all); });
    if (fault != 0) return fault;
    in.later.push_back([req, cb] { cb(req, 0); });
    return 0;
  }

  static int putSnapshot(raft_io* i, unsigned keep, raft_io_snapshot_put* req, const raft_snapshot* s, raft_io_snapshot_put_cb cb) {
    Inner& in = of(i);
    StoredSnapshot one;
    one.index = s->index, one.term = s->term, one.configurationIndex = s->configuration_index;
    one.configuration = encoded(s->configuration);
    for (unsigned k = 0; k < s->n_bufs; ++k) one.data += textOf(s->bufs[k]);
    int fault = in.kept([&] { in.store.take(one, keep); });
    if (fault != 0) return fault;
    in.later.push_back([req, cb] { cb(req, 0); });
    return 0;
  }
  static int getSnapshot(raft_io* i, raft_io_snapshot_get* req, raft_io_snapshot_get_cb cb) {
    Inner& in = of(i);
    in.later.push_back([&in, req, cb] {
      StoredState s;
      if (in.kept([&] { s = in.store.load(); }) != 0 || !s.snapshot) return cb(req, nullptr, RAFT_IOERR);
      auto* p = static_cast<raft_snapshot*>(raft_malloc(sizeof(raft_snapshot)));
      fill(*s.snapshot, *p);
      cb(req, p, 0);
    });
    return 0;
  }

  static int sendMessage(raft_io* i, raft_io_send* req, const raft_message* m, raft_io_send_cb cb) {
    Inner& in = of(i);
    Writer w;
    w.number(static_cast<std::uint64_t>(Kind::raft), 1), w.number(m->type, 1);
    bool fits = true;
    switch (m->type) {
      case RAFT_IO_REQUEST_VOTE: {
        const auto& v = m->request_vote;
        w.number(v.term, 8), w.number(v.candidate_id, 8), w.number(v.last_log_index, 8), w.number(v.last_log_term, 8);
        w.number((v.disrupt_leader ? 1u : 0u) | (v.pre_vote ? 2u : 0u), 1);
        break;
      }
      case RAFT_IO_REQUEST_VOTE_RESULT: {
        const auto& v = m->request_vote_result;
        w.number(v.term, 8), w.number(v.vote_granted, 1), w.number(static_cast<std::uint64_t>(v.pre_vote), 1);
        break;
      }
      case RAFT_IO_APPEND_ENTRIES: {
        const auto& a = m->append_entries;
        w.number(a.term, 8), w.number(a.prev_log_index, 8), w.number(a.prev_log_term, 8), w.number(a.leader_commit, 8);
        // A follower that is far behind takes them in several messages; what is left out counts as lost on the way.
        unsigned n = 0;
        std::size_t bytes = 0;
        while (n < a.n_entries && n < mostEntries && bytes + a.entries[n].buf.len + 16 < mostBytes - 200) bytes += a.entries[n].buf.len + 16, ++n;
        w.number(n, 2);
        for (unsigned k = 0; k < n; ++k) w.number(a.entries[k].term, 8), w.number(a.entries[k].type, 2), w.text(textOf(a.entries[k].buf));
        break;
      }
      case RAFT_IO_APPEND_ENTRIES_RESULT: {
        const auto& a = m->append_entries_result;
        w.number(a.term, 8), w.number(a.rejected, 8), w.number(a.last_log_index, 8);
        break;
      }
      case RAFT_IO_INSTALL_SNAPSHOT: {
        const auto& s = m->install_snapshot;
        w.number(s.term, 8), w.number(s.last_index, 8), w.number(s.last_term, 8), w.number(s.conf_index, 8);
        w.bytes += encoded(s.conf);
        w.text(textOf(s.data));
        fits = w.bytes.size() <= mostBytes;
        break;
      }
      case RAFT_IO_TIMEOUT_NOW: {
        const auto& t = m->timeout_now;
        w.number(t.term, 8), w.number(t.last_log_index, 8), w.number(t.last_log_term, 8);
        break;
      }
      default:
        fits = false;
    }
    if (fits) in.send(static_cast<Id>(m->server_id), std::move(w.bytes));
    // Gone as a datagram: whether it came shows by the answer.
    in.later.push_back([req, cb] { cb(req, 0); });
    return 0;
  }

  void hearRaft(Id from, Reader& r) {
    if (!started || standing != Standing::member || !recvCb) return;
    raft_message m{};
    std::string address = addressOf(from);
    m.type = static_cast<unsigned short>(r.number(1)), m.server_id = raftId(from), m.server_address = address.c_str();
    switch (m.type) {
      case RAFT_IO_REQUEST_VOTE: {
        auto& v = m.request_vote;
        v.term = r.number(8), v.candidate_id = r.number(8), v.last_log_index = r.number(8), v.last_log_term = r.number(8);
        std::uint64_t flags = r.number(1);
        v.disrupt_leader = flags & 1, v.pre_vote = flags & 2;
        if (!r.whole() || v.candidate_id != m.server_id) return;
        break;
      }
      case RAFT_IO_REQUEST_VOTE_RESULT: {
        auto& v = m.request_vote_result;
        v.term = r.number(8), v.vote_granted = r.number(1) != 0;
        std::uint64_t pre = r.number(1);
        if (!r.whole() || pre > raft_tribool_false) return;
        v.pre_vote = static_cast<raft_tribool>(pre);
        break;
      }
      case RAFT_IO_APPEND_ENTRIES: {
        auto& a = m.append_entries;
        a.term = r.number(8), a.prev_log_index = r.number(8), a.prev_log_term = r.number(8), a.leader_commit = r.number(8);
        std::uint64_t n = r.number(2);
        std::vector<LogEntry> all;
        for (std::uint64_t i = 0; i < n && !r.bad(); ++i) {
          LogEntry e;
          e.term = r.number(8), e.type = static_cast<unsigned short>(r.number(2)), e.bytes = r.text(mostBytes);
          if (e.type < RAFT_COMMAND || e.type > RAFT_CHANGE) return;
          all.push_back(std::move(e));
        }
        if (!r.whole()) return;
        a.n_entries = static_cast<unsigned>(all.size());
        if (!all.empty()) fillEntries(all, a.entries);
        break;
      }
      case RAFT_IO_APPEND_ENTRIES_RESULT: {
        auto& a = m.append_entries_result;
        a.term = r.number(8), a.rejected = r.number(8), a.last_log_index = r.number(8);
        if (!r.whole()) return;
        break;
      }
      case RAFT_IO_INSTALL_SNAPSHOT: {
        auto& s = m.install_snapshot;
        s.term = r.number(8), s.last_index = r.number(8), s.last_term = r.number(8), s.conf_index = r.number(8);
        if (!decoded(r, s.conf)) return;
        std::string data = r.text(mostBytes);
        if (!r.whole()) return raft_configuration_close(&s.conf);
        s.data = {copied(data), data.size()};
        break;
      }
      case RAFT_IO_TIMEOUT_NOW: {
        auto& t = m.timeout_now;
        t.term = r.number(8), t.last_log_index = r.number(8), t.last_log_term = r.number(8);
        if (!r.whole()) return;
        break;
      }
      default:
        return;
    }
    recvCb(&io, &m);
  }

  // ---- time

  void tick(Ms at) {
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

  bool propose(const Command& c, Done done) {
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
};

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
  if (kind == static_cast<std::uint64_t>(Kind::hello)) in.hearHello(from, r);
  else if (kind == static_cast<std::uint64_t>(Kind::raft)) in.hearRaft(from, r);
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

}  // namespace dunlinwick::owner
