// Log storage in memory for the simulator and tests, with faults that the test injects: a writing
// call fails before or after it took effect, or finds no space; an older copy is restored; entries
// are corrupted or lost. The contents outlive the Log above, as those of a disk do.
#pragma once
#include <map>

#include "record/log_storage.hpp"

namespace dunlinwick::record {

class MemoryLogStorage final : public LogStorage {
 public:
  enum class WriteFault : std::uint8_t {
    kNone,
    kFailBefore,
    kFailAfter,
    kFull
  };
  struct Contents {
    std::optional<LogMetadata> metadata;
    // With the digest that each entry was written with.
    std::map<Offset, std::pair<Entry, std::uint64_t>> entries;
  };
  // Called for each writing call with its number, which counts from 1 over the storage's lifetime.
  std::function<WriteFault(std::uint64_t call)> write_fault;
  std::size_t max_bytes = 0;  // of keys and values; 0: unlimited

  explicit MemoryLogStorage(bool is_durable = true) : is_durable_(is_durable) {}
  bool IsDurable() const override {
    return is_durable_;
  }
  std::optional<LogMetadata> metadata() override {
    return contents_.metadata;
  }
  void ForEachEntry(const std::function<void(Offset, const Entry*)>& visit) override {
    for (const auto& [offset, stored] : contents_.entries)
      visit(offset, Digest(stored.first) == stored.second ? &stored.first : nullptr);
  }
  void WriteMetadata(const LogMetadata& metadata) override {
    ApplyWrite([&](Contents& c) { c.metadata = metadata; });
  }
  void AppendEntries(Offset from, const std::vector<Entry>& entries,
                     const LogMetadata& metadata) override {
    std::size_t added_bytes = 0;
    for (const Entry& e : entries)
      added_bytes += e.key.size() + e.value.size();
    if (max_bytes != 0 && UsedBytes() + added_bytes > max_bytes)
      throw StorageFullError("no space left");
    ApplyWrite([&](Contents& c) {
      if (from != 0)
        c.entries.erase(c.entries.lower_bound(from), c.entries.end());
      for (const Entry& e : entries)
        c.entries.insert_or_assign(c.entries.end(), e.offset, std::pair(e, Digest(e)));
      c.metadata = metadata;
    });
    if (max_bytes != 0)
      used_bytes_ = SizeOf(contents_);
  }
  void RemoveEntries(const std::vector<Offset>& removed, const LogMetadata& metadata) override {
    ApplyWrite([&](Contents& c) {
      for (Offset offset : removed)
        c.entries.erase(offset);
      c.metadata = metadata;
    });
    if (max_bytes != 0)
      used_bytes_ = SizeOf(contents_);
  }
  void RestoreEntry(const Entry& entry) override {
    ApplyWrite([&](Contents& c) {
      c.entries.insert_or_assign(entry.offset, std::pair(entry, Digest(entry)));
    });
  }

  std::uint64_t WriteCount() const {
    return write_count_;
  }
  // Tracked only if there is a limit.
  std::size_t UsedBytes() const {
    return used_bytes_;
  }
  Contents contents() const {
    return contents_;
  }
  void RestoreContents(Contents older) {
    contents_ = std::move(older);
    used_bytes_ = SizeOf(contents_);
  }
  bool Has(Offset offset) const {
    return contents_.entries.count(offset) != 0;
  }
  void CorruptEntry(Offset offset) {
    if (auto i = contents_.entries.find(offset); i != contents_.entries.end())
      i->second.second ^= 1;
  }
  void LoseEntry(Offset offset) {
    contents_.entries.erase(offset);
  }

 private:
  template <class Change>
  void ApplyWrite(Change change) {
    WriteFault fault =
        write_fault ? write_fault(++write_count_) : (++write_count_, WriteFault::kNone);
    if (fault == WriteFault::kFull)
      throw StorageFullError("no space left");
    if (fault == WriteFault::kFailBefore)
      throw StorageError("injected failure before the write took effect");
    change(contents_);
    if (fault == WriteFault::kFailAfter)
      throw StorageError("injected failure after the write took effect");
  }
  static std::size_t SizeOf(const Contents& c) {
    std::size_t size = 0;
    for (const auto& stored : c.entries)
      size += stored.second.first.key.size() + stored.second.first.value.size();
    return size;
  }
  bool is_durable_;
  Contents contents_;
  std::uint64_t write_count_ = 0;
  std::size_t used_bytes_ = 0;
};

}  // namespace dunlinwick::record
