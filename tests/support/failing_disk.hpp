/// One opening of a replica's disk in memory: what is on it outlives this, as a disk outlives
/// processes, and its faults are the memory disk's own (MemoryDisk::fate).
#pragma once
#include "record/memory_disk.hpp"

namespace dunlinwick::tests {

class OpenedDisk final : public record::Disk {
 public:
  OpenedDisk(record::MemoryDisk& disk, int& open) : disk_(disk), open_(open) {
    ++open_;
  }
  ~OpenedDisk() override {
    --open_;
  }
  OpenedDisk(const OpenedDisk&) = delete;
  OpenedDisk& operator=(const OpenedDisk&) = delete;
  bool Lasts() const override {
    return disk_.Lasts();
  }
  std::optional<record::Head> head() override {
    return disk_.head();
  }
  void Each(const std::function<void(record::Offset, const record::Entry*)>& see) override {
    disk_.Each(see);
  }
  void Write(const record::Head& head) override {
    disk_.Write(head);
  }
  void append(record::Offset from, const std::vector<record::Entry>& entries,
              const record::Head& head) override {
    disk_.append(from, entries, head);
  }
  void Drop(const std::vector<record::Offset>& gone, const record::Head& head) override {
    disk_.Drop(gone, head);
  }
  void Heal(const record::Entry& entry) override {
    disk_.Heal(entry);
  }

 private:
  record::MemoryDisk& disk_;
  int& open_;
};

}  // namespace dunlinwick::tests
