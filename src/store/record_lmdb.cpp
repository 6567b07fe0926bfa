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

std::string number(std::uint64_t v) {  // the great end first, so that keys stand in order
  std::string s;
  for (int k = 7; k >= 0; --k) s.push_back(static_cast<char>(v >> (8 * k)));
  return s;
}
std::uint64_t numberAt(const char* bytes) {
  std::uint64_t v = 0;
  for (int k = 0; k < 8; ++k) v = v << 8 | static_cast<unsigned char>(bytes[k]);
  return v;
}
std::string keyOf(Offset offset) { return number(offset).insert(0, 1, 'e'); }
std::string sealed(const std::string& bytes) { return number(XXH64(bytes.data(), bytes.size(), 0)) + bytes; }
// What stands behind the digest, if it fits.
std::optional<std::pair<const char*, std::size_t>> opened(const MDB_val& v) {
  const char* at = static_cast<const char*>(v.mv_data);
  if (v.mv_size < 8 || XXH64(at + 8, v.mv_size - 8, 0) != numberAt(at)) return std::nullopt;
  return std::pair(at + 8, v.mv_size - 8);
}

}  // namespace

struct RecordLmdb::Inner {
  std::string folder;
  std::size_t mapBytes = 0;
  Environment environment;

  void check(const char* what, int fault) const {
    if (fault == 0) return;
    std::string why = folder + ": " + what + ": " + faultText(fault);
    // Both leave the file as it was: a transaction is in it once its last page is, and not before.
    if (fault == MDB_MAP_FULL || fault == ENOSPC || fault == EDQUOT || fault == EFBIG) throw Full(why);
    throw Failed(why);
  }
  struct Txn {
    Inner& in;
    MDB_txn* txn = nullptr;
    Txn(Inner& i, unsigned flags) : in(i) { in.check("no transaction", mdb_txn_begin(in.environment.get(), nullptr, flags, &txn)); }
    ~Txn() {
      if (txn) mdb_txn_abort(txn);
    }
    Txn(const Txn&) = delete;
    Txn& operator=(const Txn&) = delete;
    static MDB_val val(const std::string& s) { return {s.size(), const_cast<char*>(s.data())}; }
    void put(const std::string& key, const std::string& value) {
      MDB_val k = val(key), v = val(value);
      in.check("can't be written", mdb_put(txn, in.environment.table(), &k, &v, 0));
    }
    void put(const Entry& e) {
      proto::record::Entry w;
      record::toWire(e, &w);
      put(keyOf(e.offset), sealed(w.SerializeAsString()));
    }
    void put(const Head& h) {
      proto::record::StoredHead w;
      w.set_store(h.store), w.set_starts(h.starts), w.set_keeper(h.keeper);
      w.set_promised(h.promised), w.set_committed(h.committed), w.set_first(h.first);
      w.set_cleaned(h.cleaned), w.set_forgotten(h.forgotten);
      if (h.entries) w.set_entries(*h.entries);
      for (const auto& [id, upTo] : h.seen) {
        auto* one = w.add_seen();
        one->set_keeper(id), one->set_up_to(upTo);
      }
      put("h", sealed(w.SerializeAsString()));
    }
    void drop(const std::string& key) {
      MDB_val k = val(key);
      int fault = mdb_del(txn, in.environment.table(), &k, nullptr);
      if (fault != MDB_NOTFOUND) in.check("can't be written", fault);
    }
    std::size_t pages() {
      MDB_stat s{};
      in.check("can't be read", mdb_stat(txn, in.environment.table(), &s));
      return (s.ms_branch_pages + s.ms_leaf_pages + s.ms_overflow_pages) * s.ms_psize;
    }
    void commit() { in.check("can't be kept", mdb_txn_commit(std::exchange(txn, nullptr))); }
  };
  struct Cursor {
    MDB_cursor* cursor = nullptr;
    explicit Cursor(Txn& t) { t.in.check("no cursor", mdb_cursor_open(t.txn, t.in.environment.table(), &cursor)); }
    ~Cursor() { mdb_cursor_close(cursor); }
    Cursor(const Cursor&) = delete;
    Cursor& operator=(const Cursor&) = delete;
  };
};

RecordLmdb::RecordLmdb(const std::string& folder, std::size_t mapBytes) : inner_(std::make_unique<Inner>()) {
  Inner& in = *inner_;
  in.folder = folder;
  constexpr std::size_t round = 64 << 10;
  in.mapBytes = std::max(mapBytes, round);
  std::size_t whole = in.mapBytes + std::max<std::size_t>(in.mapBytes / 4, 256 << 10);
  OpenResult opened = in.environment.open(folder, (whole + round - 1) / round * round);
  in.check(opened.step, opened.code);
}
RecordLmdb::~RecordLmdb() = default;

std::optional<Head> RecordLmdb::head() {
  Inner& in = *inner_;
  Inner::Txn t(in, MDB_RDONLY);
  std::string key = "h";
  MDB_val k = Inner::Txn::val(key), v{};
  int fault = mdb_get(t.txn, in.environment.table(), &k, &v);
  if (fault == MDB_NOTFOUND) return std::nullopt;
  in.check("can't be read", fault);
  auto bytes = opened(v);
  proto::record::StoredHead w;
  if (!bytes || !w.ParseFromArray(bytes->first, static_cast<int>(bytes->second)))
    throw Failed(in.folder + ": the head's digest does not fit");
  Head h;
  h.store = w.store(), h.starts = w.starts(), h.keeper = w.keeper(), h.promised = w.promised(), h.committed = w.committed();
  h.first = w.first(), h.cleaned = w.cleaned(), h.forgotten = w.forgotten();
  if (w.has_entries()) h.entries = w.entries();
  for (const auto& one : w.seen()) h.seen.emplace_back(one.keeper(), one.up_to());
  return h;
}

void RecordLmdb::each(const std::function<void(Offset, const Entry*)>& see) {
  Inner& in = *inner_;
  Inner::Txn t(in, MDB_RDONLY);
  Inner::Cursor c(t);
  MDB_val k{}, v{};
  int fault = 0;
  while ((fault = mdb_cursor_get(c.cursor, &k, &v, MDB_NEXT)) == 0) {
    const char* key = static_cast<const char*>(k.mv_data);
    if (k.mv_size != 9 || key[0] != 'e') continue;
    Offset offset = numberAt(key + 1);
    auto bytes = opened(v);
    proto::record::Entry w;
    std::optional<Entry> e;
    if (bytes && w.ParseFromArray(bytes->first, static_cast<int>(bytes->second))) e = record::fromWire(w);
    see(offset, e && e->offset == offset ? &*e : nullptr);
  }
  if (fault != MDB_NOTFOUND) in.check("can't be read", fault);
}

void RecordLmdb::write(const Head& head) {
  Inner::Txn t(*inner_, 0);
  t.put(head);
  t.commit();
}
void RecordLmdb::append(Offset from, const std::vector<Entry>& entries, const Head& head) {
  Inner& in = *inner_;
  Inner::Txn t(in, 0);
  if (from != 0) {
    std::vector<std::string> gone;
    {
      Inner::Cursor c(t);
      std::string start = keyOf(from);
      MDB_val k = Inner::Txn::val(start), v{};
      int fault = mdb_cursor_get(c.cursor, &k, &v, MDB_SET_RANGE);
      while (fault == 0 && k.mv_size == 9 && static_cast<const char*>(k.mv_data)[0] == 'e') {
        gone.emplace_back(static_cast<const char*>(k.mv_data), k.mv_size);
        fault = mdb_cursor_get(c.cursor, &k, &v, MDB_NEXT);
      }
      if (fault != MDB_NOTFOUND) in.check("can't be read", fault);
    }
    for (const std::string& key : gone) t.drop(key);
  }
  for (const Entry& e : entries) t.put(e);
  t.put(head);
  if (!entries.empty() && t.pages() > in.mapBytes) in.check("has no room", MDB_MAP_FULL);
  t.commit();
}
void RecordLmdb::drop(const std::vector<Offset>& gone, const Head& head) {
  Inner::Txn t(*inner_, 0);
  for (Offset o : gone) t.drop(keyOf(o));
  t.put(head);
  t.commit();
}
void RecordLmdb::heal(const Entry& entry) {
  Inner::Txn t(*inner_, 0);
  t.put(entry);
  t.commit();
}
std::size_t RecordLmdb::pageBytes() const { return Inner::Txn(*inner_, MDB_RDONLY).pages(); }

}  // namespace dunlinwick::store
