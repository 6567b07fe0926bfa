#include "store/record_lmdb.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "record/wire.hpp"
#include "store/environment.hpp"

namespace dunlinwick::store {

using record::Entry;
using record::StorageError;
using record::StorageFullError;
using record::LogMetadata;
using record::Offset;

namespace {

std::string EncodeBigEndian(std::uint64_t v) {  // the great end first, so that keys stand in order
  std::string s;
  for (int k = 7; k >= 0; --k)
    s.push_back(static_cast<char>(v >> (8 * k)));
  return s;
}
std::uint64_t DecodeBigEndian(const char* bytes) {
  std::uint64_t v = 0;
  for (int k = 0; k < 8; ++k)
    v = v << 8 | static_cast<unsigned char>(bytes[k]);
  return v;
}
std::string EntryKey(Offset offset) {
  return EncodeBigEndian(offset).insert(0, 1, 'e');
}
std::string WithDigest(const std::string& bytes) {
  return EncodeBigEndian(XXH64(bytes.data(), bytes.size(), 0)) + bytes;
}
// What stands behind the digest, if it fits.
std::optional<std::pair<const char*, std::size_t>> VerifyDigest(const MDB_val& v) {
  const char* at = static_cast<const char*>(v.mv_data);
  if (v.mv_size < 8 || XXH64(at + 8, v.mv_size - 8, 0) != DecodeBigEndian(at))
    return std::nullopt;
  return std::pair(at + 8, v.mv_size - 8);
}

}  // namespace

struct LmdbLogStorage::Impl {
  std::string folder;
  std::size_t map_bytes = 0;
  LmdbEnvironment environment;

  void Check(const char* what, int fault) const {
    if (fault == 0)
      return;
    std::string why = folder + ": " + what + ": " + ErrorText(fault);
    // Both leave the file as it was: a transaction is in it once its last page is, and not before.
    if (fault == MDB_MAP_FULL || fault == ENOSPC || fault == EDQUOT || fault == EFBIG)
      throw StorageFullError(why);
    throw StorageError(why);
  }
  struct Transaction {
    Impl& impl;
    MDB_txn* txn = nullptr;
    Transaction(Impl& i, unsigned flags) : impl(i) {
      impl.Check("no transaction", mdb_txn_begin(impl.environment.handle(), nullptr, flags, &txn));
    }
    ~Transaction() {
      if (txn)
        mdb_txn_abort(txn);
    }
    Transaction(const Transaction&) = delete;
    Transaction& operator=(const Transaction&) = delete;
    static MDB_val ToMdbValue(const std::string& s) {
      return {s.size(), const_cast<char*>(s.data())};
    }
    void Put(const std::string& key, const std::string& value) {
      MDB_val k = ToMdbValue(key), v = ToMdbValue(value);
      impl.Check("can't be written", mdb_put(txn, impl.environment.table(), &k, &v, 0));
    }
    void Put(const Entry& e) {
      proto::record::Entry w;
      record::ToProto(e, &w);
      Put(EntryKey(e.offset), WithDigest(w.SerializeAsString()));
    }
    void Put(const LogMetadata& h) {
      proto::record::StoredHead w;
      w.set_store(h.store_id);
      w.set_starts(h.start_count);
      w.set_keeper(h.replica_id);
      w.set_promised(h.promised_token);
      w.set_committed(h.committed);
      w.set_first(h.first);
      w.set_cleaned(h.compacted_up_to);
      w.set_forgotten(h.tombstone_horizon);
      if (h.entry_count)
        w.set_entries(*h.entry_count);
      for (const auto& [id, upTo] : h.witnessed) {
        auto* one = w.add_seen();
        one->set_keeper(id);
        one->set_up_to(upTo);
      }
      Put("h", WithDigest(w.SerializeAsString()));
    }
    void Remove(const std::string& key) {
      MDB_val k = ToMdbValue(key);
      int fault = mdb_del(txn, impl.environment.table(), &k, nullptr);
      if (fault != MDB_NOTFOUND)
        impl.Check("can't be written", fault);
    }
    std::size_t PageBytes() {
      MDB_stat s{};
      impl.Check("can't be read", mdb_stat(txn, impl.environment.table(), &s));
      return (s.ms_branch_pages + s.ms_leaf_pages + s.ms_overflow_pages) * s.ms_psize;
    }
    void Commit() {
      impl.Check("can't be kept", mdb_txn_commit(std::exchange(txn, nullptr)));
    }
  };
  struct Cursor {
    MDB_cursor* cursor = nullptr;
    explicit Cursor(Transaction& t) {
      t.impl.Check("no cursor", mdb_cursor_open(t.txn, t.impl.environment.table(), &cursor));
    }
    ~Cursor() {
      mdb_cursor_close(cursor);
    }
    Cursor(const Cursor&) = delete;
    Cursor& operator=(const Cursor&) = delete;
  };
};

LmdbLogStorage::LmdbLogStorage(const std::string& folder, std::size_t map_bytes)
    : impl_(std::make_unique<Impl>()) {
  Impl& in = *impl_;
  in.folder = folder;
  constexpr std::size_t kRound = 64 << 10;
  in.map_bytes = std::max(map_bytes, kRound);
  std::size_t whole = in.map_bytes + std::max<std::size_t>(in.map_bytes / 4, 256 << 10);
  OpenResult opened = in.environment.Open(folder, (whole + kRound - 1) / kRound * kRound);
  in.Check(opened.step, opened.code);
}
LmdbLogStorage::~LmdbLogStorage() = default;

std::optional<LogMetadata> LmdbLogStorage::metadata() {
  Impl& in = *impl_;
  Impl::Transaction t(in, MDB_RDONLY);
  std::string key = "h";
  MDB_val k = Impl::Transaction::ToMdbValue(key), v{};
  int fault = mdb_get(t.txn, in.environment.table(), &k, &v);
  if (fault == MDB_NOTFOUND)
    return std::nullopt;
  in.Check("can't be read", fault);
  auto bytes = VerifyDigest(v);
  proto::record::StoredHead w;
  if (!bytes || !w.ParseFromArray(bytes->first, static_cast<int>(bytes->second)))
    throw StorageError(in.folder + ": the head's digest does not fit");
  LogMetadata h;
  h.store_id = w.store();
  h.start_count = w.starts();
  h.replica_id = w.keeper();
  h.promised_token = w.promised();
  h.committed = w.committed();
  h.first = w.first();
  h.compacted_up_to = w.cleaned();
  h.tombstone_horizon = w.forgotten();
  if (w.has_entries())
    h.entry_count = w.entries();
  for (const auto& one : w.seen())
    h.witnessed.emplace_back(one.keeper(), one.up_to());
  return h;
}

void LmdbLogStorage::ForEachEntry(const std::function<void(Offset, const Entry*)>& see) {
  Impl& in = *impl_;
  Impl::Transaction t(in, MDB_RDONLY);
  Impl::Cursor c(t);
  MDB_val k{}, v{};
  int fault = 0;
  while ((fault = mdb_cursor_get(c.cursor, &k, &v, MDB_NEXT)) == 0) {
    const char* key = static_cast<const char*>(k.mv_data);
    if (k.mv_size != 9 || key[0] != 'e')
      continue;
    Offset offset = DecodeBigEndian(key + 1);
    auto bytes = VerifyDigest(v);
    proto::record::Entry w;
    std::optional<Entry> e;
    if (bytes && w.ParseFromArray(bytes->first, static_cast<int>(bytes->second)))
      e = record::FromProto(w);
    see(offset, e && e->offset == offset ? &*e : nullptr);
  }
  if (fault != MDB_NOTFOUND)
    in.Check("can't be read", fault);
}

void LmdbLogStorage::WriteMetadata(const LogMetadata& head) {
  Impl::Transaction t(*impl_, 0);
  t.Put(head);
  t.Commit();
}
void LmdbLogStorage::AppendEntries(Offset from, const std::vector<Entry>& entries,
                                   const LogMetadata& head) {
  Impl& in = *impl_;
  Impl::Transaction t(in, 0);
  if (from != 0) {
    std::vector<std::string> gone;
    {
      Impl::Cursor c(t);
      std::string start = EntryKey(from);
      MDB_val k = Impl::Transaction::ToMdbValue(start), v{};
      int fault = mdb_cursor_get(c.cursor, &k, &v, MDB_SET_RANGE);
      while (fault == 0 && k.mv_size == 9 && static_cast<const char*>(k.mv_data)[0] == 'e') {
        gone.emplace_back(static_cast<const char*>(k.mv_data), k.mv_size);
        fault = mdb_cursor_get(c.cursor, &k, &v, MDB_NEXT);
      }
      if (fault != MDB_NOTFOUND)
        in.Check("can't be read", fault);
    }
    for (const std::string& key : gone)
      t.Remove(key);
  }
  for (const Entry& e : entries)
    t.Put(e);
  t.Put(head);
  if (!entries.empty() && t.PageBytes() > in.map_bytes)
    in.Check("has no room", MDB_MAP_FULL);
  t.Commit();
}
void LmdbLogStorage::RemoveEntries(const std::vector<Offset>& gone, const LogMetadata& head) {
  Impl::Transaction t(*impl_, 0);
  for (Offset o : gone)
    t.Remove(EntryKey(o));
  t.Put(head);
  t.Commit();
}
void LmdbLogStorage::RestoreEntry(const Entry& entry) {
  Impl::Transaction t(*impl_, 0);
  t.Put(entry);
  t.Commit();
}
std::size_t LmdbLogStorage::PageBytes() const {
  return Impl::Transaction(*impl_, MDB_RDONLY).PageBytes();
}

}  // namespace dunlinwick::store
