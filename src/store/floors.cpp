#include "store/floors.hpp"

#include <xxhash.h>

#include <cstring>
#include <stdexcept>

#include "floors.pb.h"
#include "store/environment.hpp"

namespace dunlinwick::store {

struct LmdbMinimumsStorage::Impl {
  std::string folder;
  LmdbEnvironment environment;
  void Check(const char* what, int fault) const {
    if (fault != 0)
      throw std::runtime_error(folder + ": " + what + ": " + ErrorText(fault));
  }
};

LmdbMinimumsStorage::LmdbMinimumsStorage(const std::string& folder)
    : impl_(std::make_unique<Impl>()) {
  Impl& in = *impl_;
  in.folder = folder;
  constexpr std::size_t kMapBytes = 1 << 20;
  OpenResult opened = in.environment.Open(folder, kMapBytes);
  in.Check(opened.step, opened.code);
}
LmdbMinimumsStorage::~LmdbMinimumsStorage() = default;

MinimumsStorage::ReadResult LmdbMinimumsStorage::Read(PersistedMinimums& into) {
  Impl& in = *impl_;
  MDB_txn* txn = nullptr;
  in.Check("no transaction", mdb_txn_begin(in.environment.handle(), nullptr, MDB_RDONLY, &txn));
  char name[] = "floors";
  MDB_val key{sizeof name - 1, name}, value{};
  int fault = mdb_get(txn, in.environment.table(), &key, &value);
  std::string bytes;
  if (fault == 0)
    bytes.assign(static_cast<const char*>(value.mv_data), value.mv_size);
  mdb_txn_abort(txn);
  if (fault == MDB_NOTFOUND)
    return ReadResult::kEmpty;
  in.Check("can't be read", fault);
  proto::floors::Floors f;
  std::uint64_t digest = 0;
  if (bytes.size() < sizeof digest)
    return ReadResult::kCorrupted;
  std::memcpy(&digest, bytes.data(), sizeof digest);
  const char* body = bytes.data() + sizeof digest;
  std::size_t size = bytes.size() - sizeof digest;
  if (XXH64(body, size, 0) != digest || !f.ParseFromArray(body, static_cast<int>(size)))
    return ReadResult::kCorrupted;
  into = {f.whose(),        f.token(),         f.offset(), f.incarnation(),
          f.rules_digest(), f.rules_version(), {}};
  for (const auto& w : f.witnessed())
    into.witnessed_incarnations[w.front()] = w.incarnation();
  return ReadResult::kValid;
}

void LmdbMinimumsStorage::Write(const PersistedMinimums& k) {
  Impl& in = *impl_;
  proto::floors::Floors f;
  f.set_whose(k.front_id);
  f.set_token(k.token);
  f.set_offset(k.offset);
  f.set_incarnation(k.incarnation);
  f.set_rules_digest(k.rules_digest);
  f.set_rules_version(k.rules_version);
  for (const auto& [id, incarnation] : k.witnessed_incarnations) {
    auto* w = f.add_witnessed();
    w->set_front(id);
    w->set_incarnation(incarnation);
  }
  std::string body = f.SerializeAsString();
  std::uint64_t digest = XXH64(body.data(), body.size(), 0);
  std::string bytes(sizeof digest, '\0');
  std::memcpy(bytes.data(), &digest, sizeof digest);
  bytes += body;
  char name[] = "floors";
  MDB_val key{sizeof name - 1, name}, value{bytes.size(), bytes.data()};
  MDB_txn* txn = nullptr;
  in.Check("no transaction", mdb_txn_begin(in.environment.handle(), nullptr, 0, &txn));
  int fault = mdb_put(txn, in.environment.table(), &key, &value, 0);
  if (fault != 0)
    mdb_txn_abort(txn);
  in.Check("can't be written", fault);
  in.Check("can't be kept", mdb_txn_commit(txn));
}

}  // namespace dunlinwick::store
