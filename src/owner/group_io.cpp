// libraft's I/O and state machine interfaces, implemented by the store, the group's clock and
// random engine, and the lease table.
#include <algorithm>
#include <cstring>
#include <new>

#include "owner/group_inner.hpp"

namespace dunlinwick::owner {

void* Group::Impl::AllocateCopy(const std::string& bytes) {
  void* copy = raft_malloc(std::max<std::size_t>(bytes.size(), 1));
  if (!copy)
    throw std::bad_alloc();
  std::memcpy(copy, bytes.data(), bytes.size());
  return copy;
}

std::string Group::Impl::EncodeConfiguration(const raft_configuration& configuration) {
  Writer writer;
  writer.WriteNumber(configuration.n, 1);
  for (unsigned i = 0; i < configuration.n; ++i) {
    writer.WriteNumber(configuration.servers[i].id, 8);
    writer.WriteNumber(static_cast<std::uint64_t>(configuration.servers[i].role), 1);
  }
  return std::move(writer.bytes);
}
bool Group::Impl::DecodeConfiguration(Reader& reader, raft_configuration& configuration) {
  raft_configuration_init(&configuration);
  std::uint64_t count = reader.ReadNumber(1);
  for (std::uint64_t i = 0; i < count && !reader.HasFailed(); ++i) {
    std::uint64_t id = reader.ReadNumber(8), role = reader.ReadNumber(1);
    if (reader.HasFailed() || id == 0 || role > RAFT_SPARE ||
        raft_configuration_add(&configuration, id, AddressOf(static_cast<Id>(id)).c_str(),
                               static_cast<int>(role)) != 0) {
      raft_configuration_close(&configuration);
      return false;
    }
  }
  return !reader.HasFailed();
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
  fsm.apply = [](raft_fsm* machine, const raft_buffer* buffer, void** result) {
    Impl& impl = *static_cast<Impl*>(machine->data);
    *result = nullptr;
    auto command = Decode({static_cast<const char*>(buffer->base), buffer->len});
    if (!command)
      return static_cast<int>(RAFT_MALFORMED);
    Result outcome = impl.table.Apply(*command);
    if (impl.IsLeader())
      impl.expiry_tracker.HandleApplied(impl.now, *command, outcome);
    impl.last_result = outcome;
    *result = &impl.last_result;
    return 0;
  };
  fsm.snapshot = [](raft_fsm* machine, raft_buffer* buffers[], unsigned* buffer_count) {
    Impl& impl = *static_cast<Impl*>(machine->data);
    std::string bytes = impl.table.Snapshot();
    *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    if (!*buffers)
      return static_cast<int>(RAFT_NOMEM);
    *buffer_count = 1;
    (*buffers)[0] = {AllocateCopy(bytes), bytes.size()};
    return 0;
  };
  fsm.restore = [](raft_fsm* machine, raft_buffer* buffer) {
    Impl& impl = *static_cast<Impl*>(machine->data);
    if (!impl.table.Restore({static_cast<const char*>(buffer->base), buffer->len}))
      return static_cast<int>(RAFT_CORRUPT);
    raft_free(buffer->base);
    return 0;
  };
}

int Group::Impl::load(raft_io* io_handle, raft_term* term, raft_id* vote, raft_snapshot** snapshot,
                      raft_index* first, raft_entry* entries[], size_t* entry_count) {
  Impl& impl = Of(io_handle);
  StoredState state;
  if (impl.Persist([&] { state = impl.store.load(); }) != 0)
    return RAFT_IOERR;
  *term = state.term;
  *vote = state.vote;
  *snapshot = nullptr;
  *first = state.first;
  *entries = nullptr;
  *entry_count = state.entries.size();
  if (state.snapshot) {
    auto* loaded = static_cast<raft_snapshot*>(raft_malloc(sizeof(raft_snapshot)));
    if (!loaded)
      return RAFT_NOMEM;
    FillSnapshot(*state.snapshot, *loaded);
    *snapshot = loaded;
  }
  if (*entry_count == 0)
    return 0;
  FillEntries(state.entries, *entries);
  return *entries ? 0 : static_cast<int>(RAFT_NOMEM);
}

// libraft requires that the bytes of all entries are in one batch allocation.
void Group::Impl::FillEntries(const std::vector<LogEntry>& from, raft_entry*& into) {
  std::size_t bytes = 0;
  for (const LogEntry& entry : from)
    bytes += (entry.bytes.size() + 7) / 8 * 8;
  into = static_cast<raft_entry*>(raft_calloc(from.size(), sizeof(raft_entry)));
  char* batch = static_cast<char*>(raft_malloc(std::max<std::size_t>(bytes, 8)));
  std::size_t offset = 0;
  for (std::size_t i = 0; i < from.size(); ++i) {
    std::memcpy(batch + offset, from[i].bytes.data(), from[i].bytes.size());
    into[i].term = from[i].term;
    into[i].type = from[i].type;
    into[i].buf = {batch + offset, from[i].bytes.size()};
    into[i].batch = batch;
    offset += (from[i].bytes.size() + 7) / 8 * 8;
  }
}

void Group::Impl::FillSnapshot(const StoredSnapshot& from, raft_snapshot& into) {
  std::memset(&into, 0, sizeof into);
  into.index = from.index;
  into.term = from.term;
  into.configuration_index = from.configuration_index;
  Reader reader(from.configuration);
  DecodeConfiguration(reader, into.configuration);
  into.bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
  into.n_bufs = 1;
  into.bufs[0] = {AllocateCopy(from.data), from.data.size()};
}

int Group::Impl::Bootstrap(raft_io* io_handle, const raft_configuration* configuration) {
  Impl& impl = Of(io_handle);
  raft_buffer buffer;
  if (raft_configuration_encode(configuration, &buffer) != 0)
    return RAFT_NOMEM;
  LogEntry entry{1, RAFT_CHANGE, BytesOf(buffer)};
  raft_free(buffer.base);
  return impl.Persist([&] {
    // Continues a bootstrap that a failed write or a kill interrupted: a term that was stored
    // stays.
    if (impl.store.load().term == 0)
      impl.store.SetTerm(1);
    impl.store.Append({entry});
  });
}

int Group::Impl::Append(raft_io* io_handle, raft_io_append* request, const raft_entry entries[],
                        unsigned count, raft_io_append_cb callback) {
  Impl& impl = Of(io_handle);
  std::vector<LogEntry> log_entries;
  for (unsigned k = 0; k < count; ++k)
    log_entries.push_back({entries[k].term, entries[k].type, BytesOf(entries[k].buf)});
  int error = impl.Persist([&] { impl.store.Append(log_entries); });
  if (error != 0)
    return error;
  impl.deferred.push_back([request, callback] { callback(request, 0); });
  return 0;
}

int Group::Impl::PutSnapshot(raft_io* io_handle, unsigned trailing, raft_io_snapshot_put* request,
                             const raft_snapshot* snapshot, raft_io_snapshot_put_cb callback) {
  Impl& impl = Of(io_handle);
  StoredSnapshot stored;
  stored.index = snapshot->index;
  stored.term = snapshot->term;
  stored.configuration_index = snapshot->configuration_index;
  stored.configuration = EncodeConfiguration(snapshot->configuration);
  for (unsigned k = 0; k < snapshot->n_bufs; ++k)
    stored.data += BytesOf(snapshot->bufs[k]);
  int error = impl.Persist([&] { impl.store.SaveSnapshot(stored, trailing); });
  if (error != 0)
    return error;
  impl.deferred.push_back([request, callback] { callback(request, 0); });
  return 0;
}

int Group::Impl::GetSnapshot(raft_io* io_handle, raft_io_snapshot_get* request,
                             raft_io_snapshot_get_cb callback) {
  Impl& impl = Of(io_handle);
  impl.deferred.push_back([&impl, request, callback] {
    StoredState state;
    if (impl.Persist([&] { state = impl.store.load(); }) != 0 || !state.snapshot)
      return callback(request, nullptr, RAFT_IOERR);
    auto* loaded = static_cast<raft_snapshot*>(raft_malloc(sizeof(raft_snapshot)));
    FillSnapshot(*state.snapshot, *loaded);
    callback(request, loaded, 0);
  });
  return 0;
}

}  // namespace dunlinwick::owner
