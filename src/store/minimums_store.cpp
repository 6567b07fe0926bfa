#include "store/minimums_store.hpp"

#include <xxhash.h>

#include <cstring>
#include <stdexcept>

#include "floors.pb.h"
#include "store/environment.hpp"

namespace dunlinwick::store {

struct LmdbMinimumsStorage::Impl {
  std::string folder;
  LmdbEnvironment environment;
  void Check(const char* step, int code) const {
    if (code != 0)
      throw std::runtime_error(folder + ": " + step + ": " + ErrorText(code));
  }
};

LmdbMinimumsStorage::LmdbMinimumsStorage(const std::string& folder)
    : impl_(std::make_unique<Impl>()) {
  Impl& impl = *impl_;
  impl.folder = folder;
  constexpr std::size_t kMapBytes = 1 << 20;
  OpenResult opened = impl.environment.Open(folder, kMapBytes);
  impl.Check(opened.step, opened.code);
}
LmdbMinimumsStorage::~LmdbMinimumsStorage() = default;

MinimumsStorage::ReadResult LmdbMinimumsStorage::Read(PersistedMinimums& into) {
  Impl& impl = *impl_;
  MDB_txn* txn = nullptr;
  impl.Check("cannot begin a transaction",
             mdb_txn_begin(impl.environment.handle(), nullptr, MDB_RDONLY, &txn));
  char name[] = "floors";
  MDB_val key{sizeof name - 1, name}, value{};
  int code = mdb_get(txn, impl.environment.table(), &key, &value);
  std::string bytes;
  if (code == 0)
    bytes.assign(static_cast<const char*>(value.mv_data), value.mv_size);
  mdb_txn_abort(txn);
  if (code == MDB_NOTFOUND)
    return ReadResult::kEmpty;
  impl.Check("cannot be read", code);
  proto::floors::Floors stored;
  std::uint64_t digest = 0;
  if (bytes.size() < sizeof digest)
    return ReadResult::kCorrupted;
  std::memcpy(&digest, bytes.data(), sizeof digest);
  const char* body = bytes.data() + sizeof digest;
  std::size_t size = bytes.size() - sizeof digest;
  if (XXH64(body, size, 0) != digest || !stored.ParseFromArray(body, static_cast<int>(size)))
    return ReadResult::kCorrupted;
  into = {stored.whose(),
          stored.token(),
          stored.offset(),
          stored.incarnation(),
          stored.rules_digest(),
          stored.rules_version(),
          {}};
  for (const auto& w : stored.witnessed())
    into.witnessed_incarnations[w.front()] = w.incarnation();
  return ReadResult::kValid;
}

void LmdbMinimumsStorage::Write(const PersistedMinimums& minimums) {
  Impl& impl = *impl_;
  proto::floors::Floors stored;
  stored.set_whose(minimums.front_id);
  stored.set_token(minimums.token);
  stored.set_offset(minimums.offset);
  stored.set_incarnation(minimums.incarnation);
  stored.set_rules_digest(minimums.rules_digest);
  stored.set_rules_version(minimums.rules_version);
  for (const auto& [id, incarnation] : minimums.witnessed_incarnations) {
    auto* w = stored.add_witnessed();
    w->set_front(id);
    w->set_incarnation(incarnation);
  }
  std::string body = stored.SerializeAsString();
  std::uint64_t digest = XXH64(body.data(), body.size(), 0);
  std::string bytes(sizeof digest, '\0');
  std::memcpy(bytes.data(), &digest, sizeof digest);
  bytes += body;
  char name[] = "floors";
  MDB_val key{sizeof name - 1, name}, value{bytes.size(), bytes.data()};
  MDB_txn* txn = nullptr;
  impl.Check("cannot begin a transaction",
             mdb_txn_begin(impl.environment.handle(), nullptr, 0, &txn));
  int code = mdb_put(txn, impl.environment.table(), &key, &value, 0);
  if (code != 0)
    mdb_txn_abort(txn);
  impl.Check("cannot be written", code);
  impl.Check("cannot be committed", mdb_txn_commit(txn));
}

}  // namespace dunlinwick::store
