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
using record::Failed;
using record::Full;
using record::Head;
using record::Offset;

namespace {

std::string Number(std::uint64_t v) {  // the great end first, so that keys stand in order
  std::string s;
  for (int k = 7; k >= 0; --k)
    s.push_back(static_cast<char>(v >> (8 * k)));
  return s;
}
std::uint64_t NumberAt(const char* bytes) {
  std::uint64_t v = 0;
  for (int k = 0; k < 8; ++k)
    v = v << 8 | static_cast<unsigned char>(bytes[k]);
  return v;
}
std::string KeyOf(Offset offset) {
  return Number(offset).insert(0, 1, 'e');
}
std::string Sealed(const std::string& bytes) {
  return Number(XXH64(bytes.data(), bytes.size(), 0)) + bytes;
}
// What stands behind the digest, if it fits.
std::optional<std::pair<const char*, std::size_t>> Opened(const MDB_val& v) {
  const char* at = static_cast<const char*>(v.mv_data);
  if (v.mv_size < 8 || XXH64(at + 8, v.mv_size - 8, 0) != NumberAt(at))
    return std::nullopt;
  return std::pair(at + 8, v.mv_size - 8);
}

}  // namespace

struct RecordLmdb::Inner {
  std::string folder;
  std::size_t map_bytes = 0;
  Environment environment;

  void Check(const char* what, int fault) const {
    if (fault == 0)
      return;
    std::string why = folder + ": " + what + ": " + FaultText(fault);
    // Both leave the file as it was: a transaction is in it once its last page is, and not before.
    if (fault == MDB_MAP_FULL || fault == ENOSPC || fault == EDQUOT || fault == EFBIG)
      throw Full(why);
    throw Failed(why);
  }
  struct Txn {
    Inner& in;
    MDB_txn* txn = nullptr;
    Txn(Inner& i, unsigned flags) : in(i) {
      in.Check("no transaction", mdb_txn_begin(in.environment.Get(), nullptr, flags, &txn));
    }
    ~Txn() {
      if (txn)
        mdb_txn_abort(txn);
    }
    Txn(const Txn&) = delete;
    Txn& operator=(const Txn&) = delete;
    static MDB_val Val(const std::string& s) {
      return {s.size(), const_cast<char*>(s.data())};
    }
    void Put(const std::string& key, const std::string& value) {
      MDB_val k = Val(key), v = Val(value);
      in.Check("can't be written", mdb_put(txn, in.environment.table(), &k, &v, 0));
    }
    void Put(const Entry& e) {
      proto::record::Entry w;
      record::ToWire(e, &w);
      Put(KeyOf(e.offset), Sealed(w.SerializeAsString()));
    }
    void Put(const Head& h) {
      proto::record::StoredHead w;
      w.set_store(h.store);
      w.set_starts(h.starts);
      w.set_keeper(h.keeper);
      w.set_promised(h.promised);
      w.set_committed(h.committed);
      w.set_first(h.first);
      w.set_cleaned(h.cleaned);
      w.set_forgotten(h.forgotten);
      if (h.entries)
        w.set_entries(*h.entries);
      for (const auto& [id, upTo] : h.seen) {
        auto* one = w.add_seen();
        one->set_keeper(id);
        one->set_up_to(upTo);
      }
      Put("h", Sealed(w.SerializeAsString()));
    }
    void Drop(const std::string& key) {
      MDB_val k = Val(key);
      int fault = mdb_del(txn, in.environment.table(), &k, nullptr);
      if (fault != MDB_NOTFOUND)
        in.Check("can't be written", fault);
    }
    std::size_t Pages() {
      MDB_stat s{};
      in.Check("can't be read", mdb_stat(txn, in.environment.table(), &s));
      return (s.ms_branch_pages + s.ms_leaf_pages + s.ms_overflow_pages) * s.ms_psize;
    }
    void Commit() {
      in.Check("can't be kept", mdb_txn_commit(std::exchange(txn, nullptr)));
    }
  };
  struct Cursor {
    MDB_cursor* cursor = nullptr;
    explicit Cursor(Txn& t) {
      t.in.Check("no cursor", mdb_cursor_open(t.txn, t.in.environment.table(), &cursor));
    }
    ~Cursor() {
      mdb_cursor_close(cursor);
    }
    Cursor(const Cursor&) = delete;
    Cursor& operator=(const Cursor&) = delete;
  };
};

RecordLmdb::RecordLmdb(const std::string& folder, std::size_t map_bytes)
    : inner_(std::make_unique<Inner>()) {
  Inner& in = *inner_;
  in.folder = folder;
  constexpr std::size_t kRound = 64 << 10;
  in.map_bytes = std::max(map_bytes, kRound);
  std::size_t whole = in.map_bytes + std::max<std::size_t>(in.map_bytes / 4, 256 << 10);
  OpenResult opened = in.environment.Open(folder, (whole + kRound - 1) / kRound * kRound);
  in.Check(opened.step, opened.code);
}
RecordLmdb::~RecordLmdb() = default;

std::optional<Head> RecordLmdb::head() {
  Inner& in = *inner_;
  Inner::Txn t(in, MDB_RDONLY);
  std::string key = "h";
  MDB_val k = Inner::Txn::Val(key), v{};
  int fault = mdb_get(t.txn, in.environment.table(), &k, &v);
  if (fault == MDB_NOTFOUND)
    return std::nullopt;
  in.Check("can't be read", fault);
  auto bytes = Opened(v);
  proto::record::StoredHead w;
  if (!bytes || !w.ParseFromArray(bytes->first, static_cast<int>(bytes->second)))
    throw Failed(in.folder + ": the head's digest does not fit");
  Head h;
  h.store = w.store();
  h.starts = w.starts();
  h.keeper = w.keeper();
  h.promised = w.promised();
  h.committed = w.committed();
  h.first = w.first();
  h.cleaned = w.cleaned();
  h.forgotten = w.forgotten();
  if (w.has_entries())
    h.entries = w.entries();
  for (const auto& one : w.seen())
    h.seen.emplace_back(one.keeper(), one.up_to());
  return h;
}

void RecordLmdb::Each(const std::function<void(Offset, const Entry*)>& see) {
  Inner& in = *inner_;
  Inner::Txn t(in, MDB_RDONLY);
  Inner::Cursor c(t);
  MDB_val k{}, v{};
  int fault = 0;
  while ((fault = mdb_cursor_get(c.cursor, &k, &v, MDB_NEXT)) == 0) {
    const char* key = static_cast<const char*>(k.mv_data);
    if (k.mv_size != 9 || key[0] != 'e')
      continue;
    Offset offset = NumberAt(key + 1);
    auto bytes = Opened(v);
    proto::record::Entry w;
    std::optional<Entry> e;
    if (bytes && w.ParseFromArray(bytes->first, static_cast<int>(bytes->second)))
      e = record::FromWire(w);
    see(offset, e && e->offset == offset ? &*e : nullptr);
  }
  if (fault != MDB_NOTFOUND)
    in.Check("can't be read", fault);
}

void RecordLmdb::Write(const Head& head) {
  Inner::Txn t(*inner_, 0);
  t.Put(head);
  t.Commit();
}
void RecordLmdb::append(Offset from, const std::vector<Entry>& entries, const Head& head) {
  Inner& in = *inner_;
  Inner::Txn t(in, 0);
  if (from != 0) {
    std::vector<std::string> gone;
    {
      Inner::Cursor c(t);
      std::string start = KeyOf(from);
      MDB_val k = Inner::Txn::Val(start), v{};
      int fault = mdb_cursor_get(c.cursor, &k, &v, MDB_SET_RANGE);
      while (fault == 0 && k.mv_size == 9 && static_cast<const char*>(k.mv_data)[0] == 'e') {
        gone.emplace_back(static_cast<const char*>(k.mv_data), k.mv_size);
        fault = mdb_cursor_get(c.cursor, &k, &v, MDB_NEXT);
      }
      if (fault != MDB_NOTFOUND)
        in.Check("can't be read", fault);
    }
    for (const std::string& key : gone)
      t.Drop(key);
  }
  for (const Entry& e : entries)
    t.Put(e);
  t.Put(head);
  if (!entries.empty() && t.Pages() > in.map_bytes)
    in.Check("has no room", MDB_MAP_FULL);
  t.Commit();
}
void RecordLmdb::Drop(const std::vector<Offset>& gone, const Head& head) {
  Inner::Txn t(*inner_, 0);
  for (Offset o : gone)
    t.Drop(KeyOf(o));
  t.Put(head);
  t.Commit();
}
void RecordLmdb::Heal(const Entry& entry) {
  Inner::Txn t(*inner_, 0);
  t.Put(entry);
  t.Commit();
}
std::size_t RecordLmdb::PageBytes() const {
  return Inner::Txn(*inner_, MDB_RDONLY).Pages();
}

}  // namespace dunlinwick::store
