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
using record::LogMetadata;
using record::Offset;
using record::StorageError;
using record::StorageFullError;

namespace {

// Big-endian, so that keys are stored in numeric order.
std::string EncodeBigEndian(std::uint64_t v) {
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
// The bytes that follow the digest, if it matches.
std::optional<std::pair<const char*, std::size_t>> VerifyDigest(const MDB_val& v) {
  const char* bytes = static_cast<const char*>(v.mv_data);
  if (v.mv_size < 8 || XXH64(bytes + 8, v.mv_size - 8, 0) != DecodeBigEndian(bytes))
    return std::nullopt;
  return std::pair(bytes + 8, v.mv_size - 8);
}

}  // namespace

struct LmdbLogStorage::Impl {
  std::string folder;
  std::size_t map_bytes = 0;
  LmdbEnvironment environment;

  void Check(const char* step, int code) const {
    if (code == 0)
      return;
    std::string message = folder + ": " + step + ": " + ErrorText(code);
    // A full map or disk leaves the file unchanged: a transaction takes effect only with its last
    // page.
    if (code == MDB_MAP_FULL || code == ENOSPC || code == EDQUOT || code == EFBIG)
      throw StorageFullError(message);
    throw StorageError(message);
  }
  struct Transaction {
    Impl& impl;
    MDB_txn* txn = nullptr;
    Transaction(Impl& owner_impl, unsigned flags) : impl(owner_impl) {
      impl.Check("cannot begin a transaction",
                 mdb_txn_begin(impl.environment.handle(), nullptr, flags, &txn));
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
      impl.Check("cannot be written", mdb_put(txn, impl.environment.table(), &k, &v, 0));
    }
    void Put(const Entry& e) {
      proto::record::Entry w;
      record::ToProto(e, &w);
      Put(EntryKey(e.offset), WithDigest(w.SerializeAsString()));
    }
    void Put(const LogMetadata& metadata) {
      proto::record::StoredHead w;
      w.set_store(metadata.store_id);
      w.set_starts(metadata.start_count);
      w.set_keeper(metadata.replica_id);
      w.set_promised(metadata.promised_token);
      w.set_committed(metadata.committed);
      w.set_first(metadata.first);
      w.set_cleaned(metadata.compacted_up_to);
      w.set_forgotten(metadata.tombstone_horizon);
      if (metadata.entry_count)
        w.set_entries(*metadata.entry_count);
      for (const auto& [id, up_to] : metadata.witnessed) {
        auto* witnessed = w.add_seen();
        witnessed->set_keeper(id);
        witnessed->set_up_to(up_to);
      }
      Put("h", WithDigest(w.SerializeAsString()));
    }
    void Remove(const std::string& key) {
      MDB_val k = ToMdbValue(key);
      int code = mdb_del(txn, impl.environment.table(), &k, nullptr);
      if (code != MDB_NOTFOUND)
        impl.Check("cannot be written", code);
    }
    std::size_t PageBytes() {
      MDB_stat s{};
      impl.Check("cannot be read", mdb_stat(txn, impl.environment.table(), &s));
      return (s.ms_branch_pages + s.ms_leaf_pages + s.ms_overflow_pages) * s.ms_psize;
    }
    void Commit() {
      impl.Check("cannot be committed", mdb_txn_commit(std::exchange(txn, nullptr)));
    }
  };
  struct Cursor {
    MDB_cursor* cursor = nullptr;
    explicit Cursor(Transaction& transaction) {
      transaction.impl.Check(
          "cannot open a cursor",
          mdb_cursor_open(transaction.txn, transaction.impl.environment.table(), &cursor));
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
  Impl& impl = *impl_;
  impl.folder = folder;
  constexpr std::size_t kMapGranularity = 64 << 10;
  impl.map_bytes = std::max(map_bytes, kMapGranularity);
  std::size_t reserved_bytes =
      impl.map_bytes + std::max<std::size_t>(impl.map_bytes / 4, 256 << 10);
  OpenResult opened = impl.environment.Open(
      folder, (reserved_bytes + kMapGranularity - 1) / kMapGranularity * kMapGranularity);
  impl.Check(opened.step, opened.code);
}
LmdbLogStorage::~LmdbLogStorage() = default;

std::optional<LogMetadata> LmdbLogStorage::metadata() {
  Impl& impl = *impl_;
  Impl::Transaction transaction(impl, MDB_RDONLY);
  std::string key = "h";
  MDB_val k = Impl::Transaction::ToMdbValue(key), v{};
  int code = mdb_get(transaction.txn, impl.environment.table(), &k, &v);
  if (code == MDB_NOTFOUND)
    return std::nullopt;
  impl.Check("cannot be read", code);
  auto bytes = VerifyDigest(v);
  proto::record::StoredHead w;
  if (!bytes || !w.ParseFromArray(bytes->first, static_cast<int>(bytes->second)))
    throw StorageError(impl.folder + ": the digest of the metadata does not match");
  LogMetadata metadata;
  metadata.store_id = w.store();
  metadata.start_count = w.starts();
  metadata.replica_id = w.keeper();
  metadata.promised_token = w.promised();
  metadata.committed = w.committed();
  metadata.first = w.first();
  metadata.compacted_up_to = w.cleaned();
  metadata.tombstone_horizon = w.forgotten();
  if (w.has_entries())
    metadata.entry_count = w.entries();
  for (const auto& witnessed : w.seen())
    metadata.witnessed.emplace_back(witnessed.keeper(), witnessed.up_to());
  return metadata;
}

void LmdbLogStorage::ForEachEntry(const std::function<void(Offset, const Entry*)>& visit) {
  Impl& impl = *impl_;
  Impl::Transaction transaction(impl, MDB_RDONLY);
  Impl::Cursor cursor(transaction);
  MDB_val k{}, v{};
  int code = 0;
  while ((code = mdb_cursor_get(cursor.cursor, &k, &v, MDB_NEXT)) == 0) {
    const char* key = static_cast<const char*>(k.mv_data);
    if (k.mv_size != 9 || key[0] != 'e')
      continue;
    Offset offset = DecodeBigEndian(key + 1);
    auto bytes = VerifyDigest(v);
    proto::record::Entry w;
    std::optional<Entry> e;
    if (bytes && w.ParseFromArray(bytes->first, static_cast<int>(bytes->second)))
      e = record::FromProto(w);
    visit(offset, e && e->offset == offset ? &*e : nullptr);
  }
  if (code != MDB_NOTFOUND)
    impl.Check("cannot be read", code);
}

void LmdbLogStorage::WriteMetadata(const LogMetadata& metadata) {
  Impl::Transaction transaction(*impl_, 0);
  transaction.Put(metadata);
  transaction.Commit();
}
void LmdbLogStorage::AppendEntries(Offset from, const std::vector<Entry>& entries,
                                   const LogMetadata& metadata) {
  Impl& impl = *impl_;
  Impl::Transaction transaction(impl, 0);
  if (from != 0) {
    std::vector<std::string> removed;
    {
      Impl::Cursor cursor(transaction);
      std::string start = EntryKey(from);
      MDB_val k = Impl::Transaction::ToMdbValue(start), v{};
      int code = mdb_cursor_get(cursor.cursor, &k, &v, MDB_SET_RANGE);
      while (code == 0 && k.mv_size == 9 && static_cast<const char*>(k.mv_data)[0] == 'e') {
        removed.emplace_back(static_cast<const char*>(k.mv_data), k.mv_size);
        code = mdb_cursor_get(cursor.cursor, &k, &v, MDB_NEXT);
      }
      if (code != MDB_NOTFOUND)
        impl.Check("cannot be read", code);
    }
    for (const std::string& key : removed)
      transaction.Remove(key);
  }
  for (const Entry& e : entries)
    transaction.Put(e);
  transaction.Put(metadata);
  if (!entries.empty() && transaction.PageBytes() > impl.map_bytes)
    impl.Check("no space left", MDB_MAP_FULL);
  transaction.Commit();
}
void LmdbLogStorage::RemoveEntries(const std::vector<Offset>& removed,
                                   const LogMetadata& metadata) {
  Impl::Transaction transaction(*impl_, 0);
  for (Offset o : removed)
    transaction.Remove(EntryKey(o));
  transaction.Put(metadata);
  transaction.Commit();
}
void LmdbLogStorage::RestoreEntry(const Entry& entry) {
  Impl::Transaction transaction(*impl_, 0);
  transaction.Put(entry);
  transaction.Commit();
}
std::size_t LmdbLogStorage::PageBytes() const {
  return Impl::Transaction(*impl_, MDB_RDONLY).PageBytes();
}

}  // namespace dunlinwick::store
