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
  std::uint64_t first = 1;
  std::uint64_t next = 1;  // of the log: its first entry, and the one after its last

  [[noreturn]] void Fail(const std::string& what, int fault) const {
    throw std::runtime_error(folder + ": " + what + ": " + FaultText(fault));
  }
  void Check(const char* what, int fault) const {
    if (fault != 0)
      Fail(what, fault);
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
    static MDB_val Val(const std::string& s) {
      return {s.size(), const_cast<char*>(s.data())};
    }
    void Put(const std::string& key, const std::string& value) {
      MDB_val k = Val(key), v = Val(value);
      in.Check("can't be written", mdb_put(txn, in.environment.table(), &k, &v, 0));
    }
    void Drop(const std::string& key) {
      MDB_val k = Val(key);
      int fault = mdb_del(txn, in.environment.table(), &k, nullptr);
      if (fault != MDB_NOTFOUND)
        in.Check("can't be written", fault);
    }
    bool Get(const std::string& key, std::string& into) {
      MDB_val k = Val(key), v{};
      int fault = mdb_get(txn, in.environment.table(), &k, &v);
      if (fault == MDB_NOTFOUND)
        return false;
      in.Check("can't be read", fault);
      into.assign(static_cast<const char*>(v.mv_data), v.mv_size);
      return true;
    }
    void Commit() {
      in.Check("can't be kept", mdb_txn_commit(std::exchange(txn, nullptr)));
    }
  };
  // A transaction that fails leaves the bounds as they were, on the disk and here.
  void Write(const std::function<void(Txn&)>& change) {
    std::uint64_t first_before = first;
    std::uint64_t next_before = next;
    try {
      Txn t(*this, 0);
      change(t);
      t.Commit();
    } catch (...) {
      first = first_before;
      next = next_before;
      throw;
    }
  }
  static std::string number(std::uint64_t v) {
    Writer w;
    w.WriteNumber(v, 8);
    return w.bytes;
  }
  static std::string EntryKey(std::uint64_t index) {
    return "e" + number(index);
  }
  std::uint64_t NumberOf(Txn& t, const char* key, std::uint64_t otherwise) {
    std::string v;
    if (!t.Get(key, v))
      return otherwise;
    Reader r(v);
    std::uint64_t n = r.ReadNumber(8);
    if (!r.IsComplete())
      throw std::runtime_error(folder + ": " + key + " can't be read");
    return n;
  }
  void bounds(Txn& t) {
    t.Put("first", number(first));
    t.Put("next", number(next));
  }
};

LmdbStore::LmdbStore(const std::string& folder) : inner_(std::make_unique<Inner>()) {
  Inner& in = *inner_;
  in.folder = folder;
  constexpr std::size_t kMapBytes = 16 << 20;
  OpenResult opened = in.environment.Open(folder, kMapBytes);
  in.Check(opened.step, opened.code);
  // Written anew at each opening: what a sync that failed left in the system's cache may be read
  // here, and is on the disk only once this transaction, which stands on it, is.
  in.Write([&](Inner::Txn& t) {
    in.first = in.NumberOf(t, "first", 1);
    in.next = in.NumberOf(t, "next", in.first);
    in.bounds(t);
  });
}
LmdbStore::~LmdbStore() = default;

StoredState LmdbStore::load() {
  Inner& in = *inner_;
  Inner::Txn t(in, MDB_RDONLY);
  StoredState s;
  s.term = in.NumberOf(t, "term", 0);
  s.vote = in.NumberOf(t, "vote", 0);
  s.first = in.first;
  t.Get("founding", s.bootstrap);
  std::string bytes;
  for (std::uint64_t i = in.first; i < in.next; ++i) {
    if (!t.Get(Inner::EntryKey(i), bytes))
      throw std::runtime_error(in.folder + ": entry " + std::to_string(i) +
                               " of the log is not there");
    Reader r(bytes);
    LogEntry e;
    e.term = r.ReadNumber(8);
    e.type = static_cast<unsigned short>(r.ReadNumber(2));
    e.bytes = r.ReadString(1 << 20);
    if (!r.IsComplete())
      throw std::runtime_error(in.folder + ": entry " + std::to_string(i) +
                               " of the log can't be read");
    s.entries.push_back(std::move(e));
  }
  if (t.Get("snapshot", bytes)) {
    Reader r(bytes);
    StoredSnapshot one;
    one.index = r.ReadNumber(8);
    one.term = r.ReadNumber(8);
    one.configuration_index = r.ReadNumber(8);
    one.configuration = r.ReadString(1 << 16);
    one.data = r.ReadString(1 << 20);
    if (!r.IsComplete())
      throw std::runtime_error(in.folder + ": the snapshot can't be read");
    s.snapshot = std::move(one);
  }
  return s;
}

void LmdbStore::SaveBootstrap(const std::string& bootstrap) {
  inner_->Write([&](Inner::Txn& t) { t.Put("founding", bootstrap); });
}
void LmdbStore::SetTerm(std::uint64_t term) {
  inner_->Write([&](Inner::Txn& t) {
    t.Put("term", Inner::number(term));
    t.Put("vote", Inner::number(0));
  });
}
void LmdbStore::SetVote(std::uint64_t vote) {
  inner_->Write([&](Inner::Txn& t) { t.Put("vote", Inner::number(vote)); });
}
void LmdbStore::Append(const std::vector<LogEntry>& entries) {
  Inner& in = *inner_;
  in.Write([&](Inner::Txn& t) {
    for (const LogEntry& e : entries) {
      Writer w;
      w.WriteNumber(e.term, 8);
      w.WriteNumber(e.type, 2);
      w.WriteString(e.bytes);
      t.Put(Inner::EntryKey(in.next++), w.bytes);
    }
    in.bounds(t);
  });
}
void LmdbStore::Truncate(std::uint64_t from) {
  Inner& in = *inner_;
  in.Write([&](Inner::Txn& t) {
    for (std::uint64_t i = std::max(from, in.first); i < in.next; ++i)
      t.Drop(Inner::EntryKey(i));
    if (from < in.first)
      in.first = from;
    in.next = std::min(in.next, from);
    in.bounds(t);
  });
}
void LmdbStore::SaveSnapshot(const StoredSnapshot& s, std::uint64_t trailing) {
  Inner& in = *inner_;
  in.Write([&](Inner::Txn& t) {
    Writer w;
    w.WriteNumber(s.index, 8);
    w.WriteNumber(s.term, 8);
    w.WriteNumber(s.configuration_index, 8);
    w.WriteString(s.configuration);
    w.WriteString(s.data);
    t.Put("snapshot", w.bytes);
    std::uint64_t first = in.first, next = in.next;
    if (trailing == 0 || s.index >= in.next)
      first = next = s.index + 1;
    else if (s.index > trailing && s.index - trailing >= in.first)
      first = s.index - trailing + 1;
    for (std::uint64_t i = in.first; i < in.next; ++i)
      if (i < first || i >= next)
        t.Drop(Inner::EntryKey(i));
    in.first = first;
    in.next = next;
    in.bounds(t);
  });
}

}  // namespace dunlinwick::store
