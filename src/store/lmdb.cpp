#include "store/lmdb.hpp"

#include <algorithm>
#include <functional>
#include <stdexcept>
#include <utility>

#include "owner/bytes.hpp"
#include "store/environment.hpp"

namespace dunlinwick::store {

using owner::LogEntry;
using owner::Reader;
using owner::StoredSnapshot;
using owner::StoredState;
using owner::Writer;

struct LmdbStore::Inner {
  std::string folder;
  Environment environment;
  std::uint64_t first = 1, next = 1;  // of the log: its first entry, and the one after its last

  [[noreturn]] void fail(const std::string& what, int fault) const {
    throw std::runtime_error(folder + ": " + what + ": " + faultText(fault));
  }
  void check(const char* what, int fault) const {
    if (fault != 0) fail(what, fault);
  }
  struct Txn {
    Inner& in;
    MDB_txn* txn = nullptr;
    Txn(Inner& i, unsigned flags) : in(i) { in.check("no transaction", mdb_txn_begin(in.environment.get(), nullptr, flags, &txn)); }
    ~Txn() {
      if (txn) mdb_txn_abort(txn);
    }
    static MDB_val val(const std::string& s) { return {s.size(), const_cast<char*>(s.data())}; }
    void put(const std::string& key, const std::string& value) {
      MDB_val k = val(key), v = val(value);
      in.check("can't be written", mdb_put(txn, in.environment.table(), &k, &v, 0));
    }
    void drop(const std::string& key) {
      MDB_val k = val(key);
      int fault = mdb_del(txn, in.environment.table(), &k, nullptr);
      if (fault != MDB_NOTFOUND) in.check("can't be written", fault);
    }
    bool get(const std::string& key, std::string& into) {
      MDB_val k = val(key), v{};
      int fault = mdb_get(txn, in.environment.table(), &k, &v);
      if (fault == MDB_NOTFOUND) return false;
      in.check("can't be read", fault);
      into.assign(static_cast<const char*>(v.mv_data), v.mv_size);
      return true;
    }
    void commit() { in.check("can't be kept", mdb_txn_commit(std::exchange(txn, nullptr))); }
  };
  // A transaction that fails leaves the bounds as they were, on the disk and here.
  void write(const std::function<void(Txn&)>& change) {
    std::uint64_t firstBefore = first;
    std::uint64_t nextBefore = next;
    try {
      Txn t(*this, 0);
      change(t);
      t.commit();
    } catch (...) {
      first = firstBefore;
      next = nextBefore;
      throw;
    }
  }
  static std::string number(std::uint64_t v) {
    Writer w;
    w.number(v, 8);
    return w.bytes;
  }
  static std::string entryKey(std::uint64_t index) { return "e" + number(index); }
  std::uint64_t numberOf(Txn& t, const char* key, std::uint64_t otherwise) {
    std::string v;
    if (!t.get(key, v)) return otherwise;
    Reader r(v);
    std::uint64_t n = r.number(8);
    if (!r.whole()) throw std::runtime_error(folder + ": " + key + " can't be read");
    return n;
  }
  void bounds(Txn& t) { t.put("first", number(first)), t.put("next", number(next)); }
};

LmdbStore::LmdbStore(const std::string& folder) : inner_(std::make_unique<Inner>()) {
  Inner& in = *inner_;
  in.folder = folder;
  constexpr std::size_t mapBytes = 16 << 20;
  OpenResult opened = in.environment.open(folder, mapBytes);
  in.check(opened.step, opened.code);
  // Written anew at each opening: what a sync that failed left in the system's cache may be read here, and is on the disk only once
  // this transaction, which stands on it, is.
  in.write([&](Inner::Txn& t) {
    in.first = in.numberOf(t, "first", 1);
    in.next = in.numberOf(t, "next", in.first);
    in.bounds(t);
  });
}
LmdbStore::~LmdbStore() = default;

StoredState LmdbStore::load() {
  Inner& in = *inner_;
  Inner::Txn t(in, MDB_RDONLY);
  StoredState s;
  s.term = in.numberOf(t, "term", 0), s.vote = in.numberOf(t, "vote", 0), s.first = in.first;
  t.get("founding", s.founding);
  std::string bytes;
  for (std::uint64_t i = in.first; i < in.next; ++i) {
    if (!t.get(Inner::entryKey(i), bytes)) throw std::runtime_error(in.folder + ": entry " + std::to_string(i) + " of the log is not there");
    Reader r(bytes);
    LogEntry e;
    e.term = r.number(8), e.type = static_cast<unsigned short>(r.number(2)), e.bytes = r.text(1 << 20);
    if (!r.whole()) throw std::runtime_error(in.folder + ": entry " + std::to_string(i) + " of the log can't be read");
    s.entries.push_back(std::move(e));
  }
  if (t.get("snapshot", bytes)) {
    Reader r(bytes);
    StoredSnapshot one;
    one.index = r.number(8), one.term = r.number(8), one.configurationIndex = r.number(8);
    one.configuration = r.text(1 << 16), one.data = r.text(1 << 20);
    if (!r.whole()) throw std::runtime_error(in.folder + ": the snapshot can't be read");
    s.snapshot = std::move(one);
  }
  return s;
}

void LmdbStore::found(const std::string& founding) {
  inner_->write([&](Inner::Txn& t) { t.put("founding", founding); });
}
void LmdbStore::setTerm(std::uint64_t term) {
  inner_->write([&](Inner::Txn& t) { t.put("term", Inner::number(term)), t.put("vote", Inner::number(0)); });
}
void LmdbStore::setVote(std::uint64_t vote) {
  inner_->write([&](Inner::Txn& t) { t.put("vote", Inner::number(vote)); });
}
void LmdbStore::append(const std::vector<LogEntry>& entries) {
  Inner& in = *inner_;
  in.write([&](Inner::Txn& t) {
    for (const LogEntry& e : entries) {
      Writer w;
      w.number(e.term, 8), w.number(e.type, 2), w.text(e.bytes);
      t.put(Inner::entryKey(in.next++), w.bytes);
    }
    in.bounds(t);
  });
}
void LmdbStore::truncate(std::uint64_t from) {
  Inner& in = *inner_;
  in.write([&](Inner::Txn& t) {
    for (std::uint64_t i = std::max(from, in.first); i < in.next; ++i) t.drop(Inner::entryKey(i));
    if (from < in.first) in.first = from;
    in.next = std::min(in.next, from);
    in.bounds(t);
  });
}
void LmdbStore::take(const StoredSnapshot& s, std::uint64_t trailing) {
  Inner& in = *inner_;
  in.write([&](Inner::Txn& t) {
    Writer w;
    w.number(s.index, 8), w.number(s.term, 8), w.number(s.configurationIndex, 8);
    w.text(s.configuration), w.text(s.data);
    t.put("snapshot", w.bytes);
    std::uint64_t first = in.first, next = in.next;
    if (trailing == 0 || s.index >= in.next) first = next = s.index + 1;
    else if (s.index > trailing && s.index - trailing >= in.first) first = s.index - trailing + 1;
    for (std::uint64_t i = in.first; i < in.next; ++i)
      if (i < first || i >= next) t.drop(Inner::entryKey(i));
    in.first = first, in.next = next;
    in.bounds(t);
  });
}

}  // namespace dunlinwick::store
