// The minimums that a front persists across a crash (src/recovery/), in LMDB: one value, written in
// one transaction, durable when Write() returns. A value whose digest does not match, or whose
// bytes cannot be parsed, is reported as corrupted and never used. Throws std::runtime_error with
// the path and the reason. Bound: 1 MB.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace dunlinwick::store {

struct PersistedMinimums {
  std::uint32_t front_id = 0;
  std::uint64_t token = 0;
  std::uint64_t offset = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t rules_digest = 0;
  std::uint64_t rules_version = 0;
  // Incarnations of other fronts; at most 1000.
  std::map<std::uint32_t, std::uint64_t> witnessed_incarnations;
  bool operator==(const PersistedMinimums&) const = default;
};

/// Where the minimums are stored: a folder in production, memory with injected faults in tests.
class MinimumsStorage {
 public:
  enum class ReadResult {
    kEmpty,
    kValid,
    kCorrupted
  };
  virtual ~MinimumsStorage() = default;
  /// Reads what was last written. Throws std::runtime_error if it cannot be read at all.
  virtual ReadResult Read(PersistedMinimums& into) = 0;
  /// Durable when it returns. Throws std::runtime_error on failure; the disk then holds either the
  /// previous minimums or these.
  virtual void Write(const PersistedMinimums& minimums) = 0;
};

class LmdbMinimumsStorage final : public MinimumsStorage {
 public:
  explicit LmdbMinimumsStorage(const std::string& folder);  // created if it does not exist
  ~LmdbMinimumsStorage() override;
  LmdbMinimumsStorage(const LmdbMinimumsStorage&) = delete;
  LmdbMinimumsStorage& operator=(const LmdbMinimumsStorage&) = delete;
  ReadResult Read(PersistedMinimums& into) override;
  void Write(const PersistedMinimums& minimums) override;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwick::store
