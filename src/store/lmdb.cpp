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

struct LmdbOwnerStore::Impl {
  std::string folder;
  LmdbEnvironment environment;
  std::uint64_t first_index = 1;
  std::uint64_t next_index = 1;  // of the log: its first entry, and the one after its last

  [[noreturn]] void ThrowError(const std::string& what, int fault) const {
    throw std::runtime_error(folder + ": " + what + ": " + ErrorText(fault));
  }
  void Check(const char* what, int fault) const {
    if (fault != 0)
      ThrowError(what, fault);
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
    static MDB_val ToMdbValue(const std::string& s) {
      return {s.size(), const_cast<char*>(s.data())};
    }
    void Put(const std::string& key, const std::string& value) {
      MDB_val k = ToMdbValue(key), v = ToMdbValue(value);
      impl.Check("can't be written", mdb_put(txn, impl.environment.table(), &k, &v, 0));
    }
    void Remove(const std::string& key) {
      MDB_val k = ToMdbValue(key);
      int fault = mdb_del(txn, impl.environment.table(), &k, nullptr);
      if (fault != MDB_NOTFOUND)
        impl.Check("can't be written", fault);
    }
    bool Get(const std::string& key, std::string& into) {
      MDB_val k = ToMdbValue(key), v{};
      int fault = mdb_get(txn, impl.environment.table(), &k, &v);
      if (fault == MDB_NOTFOUND)
        return false;
      impl.Check("can't be read", fault);
      into.assign(static_cast<const char*>(v.mv_data), v.mv_size);
      return true;
    }
    void Commit() {
      impl.Check("can't be kept", mdb_txn_commit(std::exchange(txn, nullptr)));
    }
  };
  // A transaction that fails leaves the bounds as they were, on the disk and here.
  void Write(const std::function<void(Transaction&)>& change) {
    std::uint64_t first_before = first_index;
    std::uint64_t next_before = next_index;
    try {
      Transaction t(*this, 0);
      change(t);
      t.Commit();
    } catch (...) {
      first_index = first_before;
      next_index = next_before;
      throw;
    }
  }
  static std::string EncodeNumber(std::uint64_t v) {
    Writer w;
    w.number(v, 8);
    return w.bytes;
  }
  static std::string EntryKey(std::uint64_t index) {
    return "e" + EncodeNumber(index);
  }
  std::uint64_t ReadNumber(Transaction& t, const char* key, std::uint64_t otherwise) {
    std::string v;
    if (!t.Get(key, v))
      return otherwise;
    Reader r(v);
    std::uint64_t n = r.number(8);
    if (!r.Whole())
      throw std::runtime_error(folder + ": " + key + " can't be read");
    return n;
  }
  void WriteBounds(Transaction& t) {
    t.Put("first", EncodeNumber(first_index));
    t.Put("next", EncodeNumber(next_index));
  }
};

LmdbOwnerStore::LmdbOwnerStore(const std::string& folder) : impl_(std::make_unique<Impl>()) {
  Impl& in = *impl_;
  in.folder = folder;
  constexpr std::size_t kMapBytes = 16 << 20;
  OpenResult opened = in.environment.Open(folder, kMapBytes);
  in.Check(opened.step, opened.code);
  // Written anew at each opening: what a sync that failed left in the system's cache may be read
  // here, and is on the disk only once this transaction, which stands on it, is.
  in.Write([&](Impl::Transaction& t) {
    in.first_index = in.ReadNumber(t, "first", 1);
    in.next_index = in.ReadNumber(t, "next", in.first_index);
    in.WriteBounds(t);
  });
}
LmdbOwnerStore::~LmdbOwnerStore() = default;

StoredState LmdbOwnerStore::load() {
  Impl& in = *impl_;
  Impl::Transaction t(in, MDB_RDONLY);
  StoredState s;
  s.term = in.ReadNumber(t, "term", 0);
  s.vote = in.ReadNumber(t, "vote", 0);
  s.first = in.first_index;
  t.Get("founding", s.founding);
  std::string bytes;
  for (std::uint64_t i = in.first_index; i < in.next_index; ++i) {
    if (!t.Get(Impl::EntryKey(i), bytes))
      throw std::runtime_error(in.folder + ": entry " + std::to_string(i) +
                               " of the log is not there");
    Reader r(bytes);
    LogEntry e;
    e.term = r.number(8);
    e.type = static_cast<unsigned short>(r.number(2));
    e.bytes = r.Text(1 << 20);
    if (!r.Whole())
      throw std::runtime_error(in.folder + ": entry " + std::to_string(i) +
                               " of the log can't be read");
    s.entries.push_back(std::move(e));
  }
  if (t.Get("snapshot", bytes)) {
    Reader r(bytes);
    StoredSnapshot one;
    one.index = r.number(8);
    one.term = r.number(8);
    one.configuration_index = r.number(8);
    one.configuration = r.Text(1 << 16);
    one.data = r.Text(1 << 20);
    if (!r.Whole())
      throw std::runtime_error(in.folder + ": the snapshot can't be read");
    s.snapshot = std::move(one);
  }
  return s;
}

void LmdbOwnerStore::Found(const std::string& founding) {
  impl_->Write([&](Impl::Transaction& t) { t.Put("founding", founding); });
}
void LmdbOwnerStore::SetTerm(std::uint64_t term) {
  impl_->Write([&](Impl::Transaction& t) {
    t.Put("term", Impl::EncodeNumber(term));
    t.Put("vote", Impl::EncodeNumber(0));
  });
}
void LmdbOwnerStore::SetVote(std::uint64_t vote) {
  impl_->Write([&](Impl::Transaction& t) { t.Put("vote", Impl::EncodeNumber(vote)); });
}
void LmdbOwnerStore::Append(const std::vector<LogEntry>& entries) {
  Impl& in = *impl_;
  in.Write([&](Impl::Transaction& t) {
    for (const LogEntry& e : entries) {
      Writer w;
      w.number(e.term, 8);
      w.number(e.type, 2);
      w.Text(e.bytes);
      t.Put(Impl::EntryKey(in.next_index++), w.bytes);
    }
    in.WriteBounds(t);
  });
}
void LmdbOwnerStore::Truncate(std::uint64_t from) {
  Impl& in = *impl_;
  in.Write([&](Impl::Transaction& t) {
    for (std::uint64_t i = std::max(from, in.first_index); i < in.next_index; ++i)
      t.Remove(Impl::EntryKey(i));
    if (from < in.first_index)
      in.first_index = from;
    in.next_index = std::min(in.next_index, from);
    in.WriteBounds(t);
  });
}
void LmdbOwnerStore::Take(const StoredSnapshot& s, std::uint64_t trailing) {
  Impl& in = *impl_;
  in.Write([&](Impl::Transaction& t) {
    Writer w;
    w.number(s.index, 8);
    w.number(s.term, 8);
    w.number(s.configuration_index, 8);
    w.Text(s.configuration);
    w.Text(s.data);
    t.Put("snapshot", w.bytes);
    std::uint64_t first = in.first_index, next = in.next_index;
    if (trailing == 0 || s.index >= in.next_index)
      first = next = s.index + 1;
    else if (s.index > trailing && s.index - trailing >= in.first_index)
      first = s.index - trailing + 1;
    for (std::uint64_t i = in.first_index; i < in.next_index; ++i)
      if (i < first || i >= next)
        t.Remove(Impl::EntryKey(i));
    in.first_index = first;
    in.next_index = next;
    in.WriteBounds(t);
  });
}

}  // namespace dunlinwick::store
