// The owner's store on disk, by LMDB: each call is one transaction that is on the disk when it
// returns. A file that a crash tore can't be: LMDB switches between two whole states. One process
// at a time. Throws std::runtime_error with the path and the reason. Bound: 16 MB, of which a group
// of 64 works uses some kilobytes.
#pragma once
#include <memory>

#include "owner/store.hpp"

namespace dunlinwick::store {

class LmdbStore final : public owner::Store {
 public:
  explicit LmdbStore(const std::string& folder);  // made where it is not there
  ~LmdbStore() override;
  bool IsDurable() const override {
    return true;
  }
  owner::StoredState load() override;
  void SaveBootstrap(const std::string& bootstrap) override;
  void SetTerm(std::uint64_t term) override;
  void SetVote(std::uint64_t vote) override;
  void Append(const std::vector<owner::LogEntry>& entries) override;
  void Truncate(std::uint64_t from) override;
  void SaveSnapshot(const owner::StoredSnapshot& snapshot, std::uint64_t trailing) override;

 private:
  struct Inner;
  std::unique_ptr<Inner> inner_;
};

}  // namespace dunlinwick::store
