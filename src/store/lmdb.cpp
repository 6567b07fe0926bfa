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
  // Of the log: the index of its first entry, and the one after its last.
  std::uint64_t first_index = 1;
  std::uint64_t next_index = 1;

  [[noreturn]] void ThrowError(const std::string& step, int code) const {
    throw std::runtime_error(folder + ": " + step + ": " + ErrorText(code));
  }
  void Check(const char* step, int code) const {
    if (code != 0)
      ThrowError(step, code);
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
    static MDB_val ToMdbValue(const std::string& s) {
      return {s.size(), const_cast<char*>(s.data())};
    }
    void Put(const std::string& key, const std::string& value) {
      MDB_val k = ToMdbValue(key), v = ToMdbValue(value);
      impl.Check("cannot be written", mdb_put(txn, impl.environment.table(), &k, &v, 0));
    }
    void Remove(const std::string& key) {
      MDB_val k = ToMdbValue(key);
      int code = mdb_del(txn, impl.environment.table(), &k, nullptr);
      if (code != MDB_NOTFOUND)
        impl.Check("cannot be written", code);
    }
    bool Get(const std::string& key, std::string& into) {
      MDB_val k = ToMdbValue(key), v{};
      int code = mdb_get(txn, impl.environment.table(), &k, &v);
      if (code == MDB_NOTFOUND)
        return false;
      impl.Check("cannot be read", code);
      into.assign(static_cast<const char*>(v.mv_data), v.mv_size);
      return true;
    }
    void Commit() {
      impl.Check("cannot be committed", mdb_txn_commit(std::exchange(txn, nullptr)));
    }
  };
  // A failed transaction leaves the bounds unchanged, on disk and in memory.
  void Write(const std::function<void(Transaction&)>& change) {
    std::uint64_t first_before = first_index;
    std::uint64_t next_before = next_index;
    try {
      Transaction transaction(*this, 0);
      change(transaction);
      transaction.Commit();
    } catch (...) {
      first_index = first_before;
      next_index = next_before;
      throw;
    }
  }
  static std::string EncodeNumber(std::uint64_t v) {
    Writer w;
    w.WriteNumber(v, 8);
    return w.bytes;
  }
  static std::string EntryKey(std::uint64_t index) {
    return "e" + EncodeNumber(index);
  }
  std::uint64_t ReadNumber(Transaction& transaction, const char* key, std::uint64_t default_value) {
    std::string v;
    if (!transaction.Get(key, v))
      return default_value;
    Reader r(v);
    std::uint64_t n = r.ReadNumber(8);
    if (!r.IsComplete())
      throw std::runtime_error(folder + ": " + key + " cannot be read");
    return n;
  }
  void WriteBounds(Transaction& transaction) {
    transaction.Put("first", EncodeNumber(first_index));
    transaction.Put("next", EncodeNumber(next_index));
  }
};

LmdbOwnerStore::LmdbOwnerStore(const std::string& folder) : impl_(std::make_unique<Impl>()) {
  Impl& impl = *impl_;
  impl.folder = folder;
  constexpr std::size_t kMapBytes = 16 << 20;
  OpenResult opened = impl.environment.Open(folder, kMapBytes);
  impl.Check(opened.step, opened.code);
  // Written again at each opening: after a failed sync, the values read here may be in the page
  // cache only. They are on disk once this transaction, which builds on them, is.
  impl.Write([&](Impl::Transaction& transaction) {
    impl.first_index = impl.ReadNumber(transaction, "first", 1);
    impl.next_index = impl.ReadNumber(transaction, "next", impl.first_index);
    impl.WriteBounds(transaction);
  });
}
LmdbOwnerStore::~LmdbOwnerStore() = default;

StoredState LmdbOwnerStore::load() {
  Impl& impl = *impl_;
  Impl::Transaction transaction(impl, MDB_RDONLY);
  StoredState state;
  state.term = impl.ReadNumber(transaction, "term", 0);
  state.vote = impl.ReadNumber(transaction, "vote", 0);
  state.first = impl.first_index;
  transaction.Get("founding", state.bootstrap);
  std::string bytes;
  for (std::uint64_t i = impl.first_index; i < impl.next_index; ++i) {
    if (!transaction.Get(Impl::EntryKey(i), bytes))
      throw std::runtime_error(impl.folder + ": entry " + std::to_string(i) +
                               " of the log is missing");
    Reader r(bytes);
    LogEntry e;
    e.term = r.ReadNumber(8);
    e.type = static_cast<unsigned short>(r.ReadNumber(2));
    e.bytes = r.ReadString(1 << 20);
    if (!r.IsComplete())
      throw std::runtime_error(impl.folder + ": entry " + std::to_string(i) +
                               " of the log cannot be read");
    state.entries.push_back(std::move(e));
  }
  if (transaction.Get("snapshot", bytes)) {
    Reader r(bytes);
    StoredSnapshot snapshot;
    snapshot.index = r.ReadNumber(8);
    snapshot.term = r.ReadNumber(8);
    snapshot.configuration_index = r.ReadNumber(8);
    snapshot.configuration = r.ReadString(1 << 16);
    snapshot.data = r.ReadString(1 << 20);
    if (!r.IsComplete())
      throw std::runtime_error(impl.folder + ": the snapshot cannot be read");
    state.snapshot = std::move(snapshot);
  }
  return state;
}

void LmdbOwnerStore::SaveBootstrap(const std::string& bootstrap) {
  impl_->Write([&](Impl::Transaction& transaction) { transaction.Put("founding", bootstrap); });
}
void LmdbOwnerStore::SetTerm(std::uint64_t term) {
  impl_->Write([&](Impl::Transaction& transaction) {
    transaction.Put("term", Impl::EncodeNumber(term));
    transaction.Put("vote", Impl::EncodeNumber(0));
  });
}
void LmdbOwnerStore::SetVote(std::uint64_t vote) {
  impl_->Write(
      [&](Impl::Transaction& transaction) { transaction.Put("vote", Impl::EncodeNumber(vote)); });
}
void LmdbOwnerStore::Append(const std::vector<LogEntry>& entries) {
  Impl& impl = *impl_;
  impl.Write([&](Impl::Transaction& transaction) {
    for (const LogEntry& e : entries) {
      Writer w;
      w.WriteNumber(e.term, 8);
      w.WriteNumber(e.type, 2);
      w.WriteString(e.bytes);
      transaction.Put(Impl::EntryKey(impl.next_index++), w.bytes);
    }
    impl.WriteBounds(transaction);
  });
}
void LmdbOwnerStore::Truncate(std::uint64_t from) {
  Impl& impl = *impl_;
  impl.Write([&](Impl::Transaction& transaction) {
    for (std::uint64_t i = std::max(from, impl.first_index); i < impl.next_index; ++i)
      transaction.Remove(Impl::EntryKey(i));
    if (from < impl.first_index)
      impl.first_index = from;
    impl.next_index = std::min(impl.next_index, from);
    impl.WriteBounds(transaction);
  });
}
void LmdbOwnerStore::SaveSnapshot(const StoredSnapshot& snapshot, std::uint64_t trailing) {
  Impl& impl = *impl_;
  impl.Write([&](Impl::Transaction& transaction) {
    Writer w;
    w.WriteNumber(snapshot.index, 8);
    w.WriteNumber(snapshot.term, 8);
    w.WriteNumber(snapshot.configuration_index, 8);
    w.WriteString(snapshot.configuration);
    w.WriteString(snapshot.data);
    transaction.Put("snapshot", w.bytes);
    std::uint64_t first = impl.first_index, next = impl.next_index;
    if (trailing == 0 || snapshot.index >= impl.next_index)
      first = next = snapshot.index + 1;
    else if (snapshot.index > trailing && snapshot.index - trailing >= impl.first_index)
      first = snapshot.index - trailing + 1;
    for (std::uint64_t i = impl.first_index; i < impl.next_index; ++i)
      if (i < first || i >= next)
        transaction.Remove(Impl::EntryKey(i));
    impl.first_index = first;
    impl.next_index = next;
    impl.WriteBounds(transaction);
  });
}

}  // namespace dunlinwick::store
