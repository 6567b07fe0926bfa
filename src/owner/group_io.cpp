// What libraft asks of its I/O and of the state machine: the store, the group's clock and chance,
// the table.
#include <algorithm>
#include <cstring>
#include <new>

#include "owner/group_inner.hpp"

namespace dunlinwick::owner {

void* Group::Impl::AllocateCopy(const std::string& bytes) {
  void* p = raft_malloc(std::max<std::size_t>(bytes.size(), 1));
  if (!p)
    throw std::bad_alloc();
  std::memcpy(p, bytes.data(), bytes.size());
  return p;
}

std::string Group::Impl::EncodeConfiguration(const raft_configuration& conf) {
  Writer w;
  w.WriteNumber(conf.n, 1);
  for (unsigned i = 0; i < conf.n; ++i) {
    w.WriteNumber(conf.servers[i].id, 8);
    w.WriteNumber(static_cast<std::uint64_t>(conf.servers[i].role), 1);
  }
  return std::move(w.bytes);
}
bool Group::Impl::DecodeConfiguration(Reader& r, raft_configuration& conf) {
  raft_configuration_init(&conf);
  std::uint64_t n = r.ReadNumber(1);
  for (std::uint64_t i = 0; i < n && !r.HasFailed(); ++i) {
    std::uint64_t id = r.ReadNumber(8), role = r.ReadNumber(1);
    if (r.HasFailed() || id == 0 || role > RAFT_SPARE ||
        raft_configuration_add(&conf, id, AddressOf(static_cast<Id>(id)).c_str(),
                               static_cast<int>(role)) != 0) {
      raft_configuration_close(&conf);
      return false;
    }
  }
  return !r.HasFailed();
}

void Group::Impl::SetUpIo() {
  io.version = 2;
  io.impl = this;
  io.data = this;
  io.init = [](raft_io*, raft_id, const char*) {
    return 0;
  };
  io.close = [](raft_io* i, raft_io_close_cb cb) {
    Of(i).deferred.push_back([i, cb] { cb(i); });
  };
  io.load = load;
  io.start = [](raft_io* i, unsigned, raft_io_tick_cb tick, raft_io_recv_cb recv) {
    Of(i).tick_cb = tick;
    Of(i).recv_cb = recv;
    return 0;
  };
  io.bootstrap = Bootstrap;
  io.recover = [](raft_io*, const raft_configuration*) {
    return static_cast<int>(RAFT_INVALID);
  };
  io.set_term = [](raft_io* i, raft_term term) {
    return Of(i).Persist([&] { Of(i).store.SetTerm(term); });
  };
  io.set_vote = [](raft_io* i, raft_id vote) {
    return Of(i).Persist([&] { Of(i).store.SetVote(vote); });
  };
  io.send = SendMessage;
  io.append = Append;
  io.truncate = [](raft_io* i, raft_index from) {
    return Of(i).Persist([&] { Of(i).store.Truncate(from); });
  };
  io.snapshot_put = PutSnapshot;
  io.snapshot_get = GetSnapshot;
  io.time = [](raft_io* i) {
    return static_cast<raft_time>(Of(i).now);
  };
  io.random = [](raft_io* i, int min, int max) {
    return std::uniform_int_distribution<int>(min, std::max(min, max - 1))(Of(i).random);
  };
  io.async_work = [](raft_io* i, raft_io_async_work* req, raft_io_async_work_cb cb) {
    Of(i).deferred.push_back([req, cb] { cb(req, req->work(req)); });
    return 0;
  };
}

void Group::Impl::SetUpFsm() {
  fsm.version = 1;
  fsm.data = this;
  fsm.apply = [](raft_fsm* f, const raft_buffer* buf, void** result) {
    Impl& impl = *static_cast<Impl*>(f->data);
    *result = nullptr;
    auto c = Decode({static_cast<const char*>(buf->base), buf->len});
    if (!c)
      return static_cast<int>(RAFT_MALFORMED);
    Result r = impl.table.Apply(*c);
    if (impl.IsLeader())
      impl.expiry_tracker.HandleApplied(impl.now, *c, r);
    impl.last_result = r;
    *result = &impl.last_result;
    return 0;
  };
  fsm.snapshot = [](raft_fsm* f, raft_buffer* bufs[], unsigned* n) {
    Impl& impl = *static_cast<Impl*>(f->data);
    std::string bytes = impl.table.Snapshot();
    *bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    if (!*bufs)
      return static_cast<int>(RAFT_NOMEM);
    *n = 1;
    (*bufs)[0] = {AllocateCopy(bytes), bytes.size()};
    return 0;
  };
  fsm.restore = [](raft_fsm* f, raft_buffer* buf) {
    Impl& impl = *static_cast<Impl*>(f->data);
    if (!impl.table.Restore({static_cast<const char*>(buf->base), buf->len}))
      return static_cast<int>(RAFT_CORRUPT);
    raft_free(buf->base);
    return 0;
  };
}

int Group::Impl::load(raft_io* i, raft_term* term, raft_id* vote, raft_snapshot** snapshot,
                      raft_index* first, raft_entry* entries[], size_t* n) {
  Impl& impl = Of(i);
  StoredState s;
  if (impl.Persist([&] { s = impl.store.load(); }) != 0)
    return RAFT_IOERR;
  *term = s.term;
  *vote = s.vote;
  *snapshot = nullptr;
  *first = s.first;
  *entries = nullptr;
  *n = s.entries.size();
  if (s.snapshot) {
    auto* p = static_cast<raft_snapshot*>(raft_malloc(sizeof(raft_snapshot)));
    if (!p)
      return RAFT_NOMEM;
    FillSnapshot(*s.snapshot, *p);
    *snapshot = p;
  }
  if (*n == 0)
    return 0;
  FillEntries(s.entries, *entries);
  return *entries ? 0 : static_cast<int>(RAFT_NOMEM);
}

// One batch holds the bytes of all, as the library wants what it is given.
void Group::Impl::FillEntries(const std::vector<LogEntry>& from, raft_entry*& into) {
  std::size_t bytes = 0;
  for (const LogEntry& e : from)
    bytes += (e.bytes.size() + 7) / 8 * 8;
  into = static_cast<raft_entry*>(raft_calloc(from.size(), sizeof(raft_entry)));
  char* batch = static_cast<char*>(raft_malloc(std::max<std::size_t>(bytes, 8)));
  std::size_t at = 0;
  for (std::size_t i = 0; i < from.size(); ++i) {
    std::memcpy(batch + at, from[i].bytes.data(), from[i].bytes.size());
    into[i].term = from[i].term;
    into[i].type = from[i].type;
    into[i].buf = {batch + at, from[i].bytes.size()};
    into[i].batch = batch;
    at += (from[i].bytes.size() + 7) / 8 * 8;
  }
}

void Group::Impl::FillSnapshot(const StoredSnapshot& from, raft_snapshot& into) {
  std::memset(&into, 0, sizeof into);
  into.index = from.index;
  into.term = from.term;
  into.configuration_index = from.configuration_index;
  Reader r(from.configuration);
  DecodeConfiguration(r, into.configuration);
  into.bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
  into.n_bufs = 1;
  into.bufs[0] = {AllocateCopy(from.data), from.data.size()};
}

int Group::Impl::Bootstrap(raft_io* i, const raft_configuration* conf) {
  Impl& impl = Of(i);
  raft_buffer buf;
  if (raft_configuration_encode(conf, &buf) != 0)
    return RAFT_NOMEM;
  LogEntry e{1, RAFT_CHANGE, BytesOf(buf)};
  raft_free(buf.base);
  return impl.Persist([&] {
    // A founding that a failed write or a kill left half done is gone on with: a term that was set
    // stays.
    if (impl.store.load().term == 0)
      impl.store.SetTerm(1);
    impl.store.Append({e});
  });
}

int Group::Impl::Append(raft_io* i, raft_io_append* req, const raft_entry entries[], unsigned n,
                        raft_io_append_cb cb) {
  Impl& impl = Of(i);
  std::vector<LogEntry> all;
  for (unsigned k = 0; k < n; ++k)
    all.push_back({entries[k].term, entries[k].type, BytesOf(entries[k].buf)});
  int error = impl.Persist([&] { impl.store.Append(all); });
  if (error != 0)
    return error;
  impl.deferred.push_back([req, cb] { cb(req, 0); });
  return 0;
}

int Group::Impl::PutSnapshot(raft_io* i, unsigned keep, raft_io_snapshot_put* req,
                             const raft_snapshot* s, raft_io_snapshot_put_cb cb) {
  Impl& impl = Of(i);
  StoredSnapshot one;
  one.index = s->index;
  one.term = s->term;
  one.configuration_index = s->configuration_index;
  one.configuration = EncodeConfiguration(s->configuration);
  for (unsigned k = 0; k < s->n_bufs; ++k)
    one.data += BytesOf(s->bufs[k]);
  int error = impl.Persist([&] { impl.store.SaveSnapshot(one, keep); });
  if (error != 0)
    return error;
  impl.deferred.push_back([req, cb] { cb(req, 0); });
  return 0;
}

int Group::Impl::GetSnapshot(raft_io* i, raft_io_snapshot_get* req, raft_io_snapshot_get_cb cb) {
  Impl& impl = Of(i);
  impl.deferred.push_back([&impl, req, cb] {
    StoredState s;
    if (impl.Persist([&] { s = impl.store.load(); }) != 0 || !s.snapshot)
      return cb(req, nullptr, RAFT_IOERR);
    auto* p = static_cast<raft_snapshot*>(raft_malloc(sizeof(raft_snapshot)));
    FillSnapshot(*s.snapshot, *p);
    cb(req, p, 0);
  });
  return 0;
}

}  // namespace dunlinwick::owner
