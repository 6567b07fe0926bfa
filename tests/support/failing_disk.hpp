/// One opening of a log replica's storage in memory. The contents outlive this object, as a disk
/// outlives processes; faults are those of the memory storage (MemoryLogStorage::write_fault).
#pragma once
#include "record/memory_log_storage.hpp"

namespace dunlinwick::tests {

class OpenedStorage final : public record::LogStorage {
 public:
  OpenedStorage(record::MemoryLogStorage& storage, int& open_count)
      : storage_(storage), open_count_(open_count) {
    ++open_count_;
  }
  ~OpenedStorage() override {
    --open_count_;
  }
  OpenedStorage(const OpenedStorage&) = delete;
  OpenedStorage& operator=(const OpenedStorage&) = delete;
  bool IsDurable() const override {
    return storage_.IsDurable();
  }
  std::optional<record::LogMetadata> metadata() override {
    return storage_.metadata();
  }
  void ForEachEntry(
      const std::function<void(record::Offset, const record::Entry*)>& visit) override {
    storage_.ForEachEntry(visit);
  }
  void WriteMetadata(const record::LogMetadata& metadata) override {
    storage_.WriteMetadata(metadata);
  }
  void AppendEntries(record::Offset from, const std::vector<record::Entry>& entries,
                     const record::LogMetadata& metadata) override {
    storage_.AppendEntries(from, entries, metadata);
  }
  void RemoveEntries(const std::vector<record::Offset>& removed,
                     const record::LogMetadata& metadata) override {
    storage_.RemoveEntries(removed, metadata);
  }
  void RestoreEntry(const record::Entry& entry) override {
    storage_.RestoreEntry(entry);
  }

 private:
  record::MemoryLogStorage& storage_;
  int& open_count_;
};

}  // namespace dunlinwick::tests
