/// Persisted minimums on a disk that may fail. They are written at once; if that fails the storage
/// is closed, reopened with backoff, and everything is written again. What has not been written is
/// not reported as persisted.
#pragma once
#include <functional>
#include <memory>
#include <string>

#include "backoff/backoff.hpp"
#include "store/minimums_store.hpp"

namespace dunlinwick::store {

using backoff::Ms;

class DurableMinimums {
 public:
  /// Opens the storage; throws std::runtime_error if that fails.
  using OpenStorage = std::function<std::unique_ptr<MinimumsStorage>()>;
  using LogLine = std::function<void(const std::string& line)>;
  DurableMinimums(OpenStorage open_storage, LogLine log_line);

  /// Opens the storage and reads it, once, when front `self` starts. Storage that cannot be opened
  /// or read is reported as kCorrupted: this process trusts nothing of it.
  MinimumsStorage::ReadResult Load(Ms now, std::uint32_t self, PersistedMinimums& found);
  /// Writes `minimums`, or after a failure retries once the backoff has elapsed. If this process
  /// started without the storage, minimums of the same front that it holds are never lowered.
  void Persist(Ms now, const PersistedMinimums& minimums);
  /// What is durable: the minimums of the last successful write, or those that were read.
  const PersistedMinimums& persisted() const {
    return persisted_;
  }
  /// Whether the last write succeeded.
  bool IsPersisted() const {
    return is_persisted_;
  }

 private:
  void Open();
  PersistedMinimums RaisedToStored(PersistedMinimums minimums) const;
  void HandleFailure(Ms now, const std::string& reason);

  OpenStorage open_storage_;
  LogLine log_line_;
  std::unique_ptr<MinimumsStorage> storage_;
  backoff::Backoff retry_{backoff::kInitialStoreRetry, backoff::kMaxStoreRetry};
  PersistedMinimums persisted_;
  PersistedMinimums previously_stored_;  // what the storage held when it was opened after the start
  bool is_persisted_ = false;
  bool is_failure_logged_ = false;
};

}  // namespace dunlinwick::store
