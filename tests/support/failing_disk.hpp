/// One opening of a replica's disk in memory: what is on it outlives this, as a disk outlives processes, and
/// its faults are the memory disk's own (MemoryDisk::fate).
#pragma once
#include "record/memory_disk.hpp"

namespace dunlinwick::tests {

class OpenedDisk final : public record::Disk {
 public:
  OpenedDisk(record::MemoryDisk& disk, int& open) : disk_(disk), open_(open) { ++open_; }
  ~OpenedDisk() override { --open_; }
  OpenedDisk(const OpenedDisk&) = delete;
  OpenedDisk& operator=(const OpenedDisk&) = delete;
  bool lasts() const override { return disk_.lasts(); }
  std::optional<record::Head> head() override { return disk_.head(); }
  void each(const std::function<void(record::Offset, const record::Entry*)>& see) override {
    disk_.each(see);
  }
  void write(const record::Head& head) override { disk_.write(head); }
  void append(record::Offset from, const std::vector<record::Entry>& entries,
              const record::Head& head) override {
    disk_.append(from, entries, head);
  }
  void drop(const std::vector<record::Offset>& gone, const record::Head& head) override {
    disk_.drop(gone, head);
  }
  void heal(const record::Entry& entry) override { disk_.heal(entry); }

 private:
  record::MemoryDisk& disk_;
  int& open_;
};

}  // namespace dunlinwick::tests
