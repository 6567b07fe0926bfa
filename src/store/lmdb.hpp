// Durable storage of the lease group's member, by LMDB: each call is one transaction, on disk when
// it returns. A crash cannot leave a torn file: LMDB switches between two complete states. One
// process at a time. Throws std::runtime_error with the path and the reason. Bound: 16 MB, of which
// a group with 64 leased tasks uses a few kilobytes.
#pragma once
#include <memory>

#include "owner/store.hpp"

namespace dunlinwick::store {

class LmdbOwnerStore final : public owner::Store {
 public:
  explicit LmdbOwnerStore(const std::string& folder);  // created if it does not exist
  ~LmdbOwnerStore() override;
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
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwick::store
