// A log replica's storage on disk, by LMDB: each writing call is one transaction, on disk when it
// returns. Each entry, and the metadata, is stored behind its digest: an entry that does not match
// is reported as a gap, metadata that does not match throws StorageError. StorageFullError:
// appended entries would take more than `map_bytes` in pages. A quarter more is reserved, so that
// compaction, metadata and repairs have room to rewrite the pages by which they free others. One
// process at a time. StorageError carries the path and the reason.
#pragma once
#include <memory>
#include <string>

#include "record/log_storage.hpp"

namespace dunlinwick::store {

class LmdbLogStorage final : public record::LogStorage {
 public:
  // The folder is created if it does not exist.
  explicit LmdbLogStorage(const std::string& folder, std::size_t map_bytes = 64 << 20);
  ~LmdbLogStorage() override;
  bool IsDurable() const override {
    return true;
  }
  std::optional<record::LogMetadata> metadata() override;
  void ForEachEntry(
      const std::function<void(record::Offset, const record::Entry*)>& visit) override;
  void WriteMetadata(const record::LogMetadata& metadata) override;
  void AppendEntries(record::Offset from, const std::vector<record::Entry>& entries,
                     const record::LogMetadata& metadata) override;
  void RemoveEntries(const std::vector<record::Offset>& removed,
                     const record::LogMetadata& metadata) override;
  void RestoreEntry(const record::Entry& entry) override;
  std::size_t PageBytes() const;  // of the pages that hold entries and the metadata

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwick::store
