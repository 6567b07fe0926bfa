/// One opening of a replica's disk in memory: what is on it outlives this, as a disk outlives
/// processes, and its faults are the memory disk's own (MemoryDisk::fate).
#pragma once
#include "record/memory_disk.hpp"

namespace dunlinwick::tests {

class OpenedDisk final : public record::LogStorage {
 public:
  OpenedDisk(record::MemoryLogStorage& disk, int& open) : disk_(disk), open_(open) {
    ++open_;
  }
  ~OpenedDisk() override {
    --open_;
  }
  OpenedDisk(const OpenedDisk&) = delete;
  OpenedDisk& operator=(const OpenedDisk&) = delete;
  bool IsDurable() const override {
    return disk_.IsDurable();
  }
  std::optional<record::LogMetadata> metadata() override {
    return disk_.metadata();
  }
  void ForEachEntry(const std::function<void(record::Offset, const record::Entry*)>& see) override {
    disk_.ForEachEntry(see);
  }
  void WriteMetadata(const record::LogMetadata& head) override {
    disk_.WriteMetadata(head);
  }
  void AppendEntries(record::Offset from, const std::vector<record::Entry>& entries,
                     const record::LogMetadata& head) override {
    disk_.AppendEntries(from, entries, head);
  }
  void RemoveEntries(const std::vector<record::Offset>& gone,
                     const record::LogMetadata& head) override {
    disk_.RemoveEntries(gone, head);
  }
  void RestoreEntry(const record::Entry& entry) override {
    disk_.RestoreEntry(entry);
  }

 private:
  record::MemoryLogStorage& disk_;
  int& open_;
};

}  // namespace dunlinwick::tests
