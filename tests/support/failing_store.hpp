/// The disk of a member of the lease group, with injected faults. Its contents outlive the stores
/// that are opened on it, as a disk outlives processes. It also counts violations of a guarantee
/// that shows on disk: one vote per term.
#pragma once
#include <functional>
#include <memory>
#include <stdexcept>
#include <vector>

#include "owner/store.hpp"

namespace dunlinwick::tests {

enum class WriteFault : std::uint8_t {
  kNone,
  kFailBefore,
  kFailAfter
};

/// The contents of the disk. Opening counts as a call too, as it does with LMDB.
struct StoreDisk {
  owner::MemoryStore kept;
  std::uint64_t calls = 0;
  /// Called for each writing call with its number, counted from 1.
  std::function<WriteFault(std::uint64_t call)> write_fault;
  std::size_t open = 0;
  std::size_t most_open = 0;
  std::size_t votes_changed = 0;

  void Call(const std::function<void()>& change) {
    ++calls;
    WriteFault now = write_fault ? write_fault(calls) : WriteFault::kNone;
    if (now == WriteFault::kFailBefore)
      throw std::runtime_error("no space left on device");
    change();
    if (now == WriteFault::kFailAfter)
      throw std::runtime_error("input/output error");
  }
};

class FailingStore final : public owner::Store {
 public:
  explicit FailingStore(StoreDisk& disk) : disk_(disk) {
    disk_.Call([] {});
    ++disk_.open;
    disk_.most_open = std::max(disk_.most_open, disk_.open);
  }
  ~FailingStore() override {
    --disk_.open;
  }
  bool IsDurable() const override {
    return true;
  }
  owner::StoredState load() override {
    return disk_.kept.load();
  }
  void SaveBootstrap(const std::string& bootstrap) override {
    disk_.Call([&] { disk_.kept.SaveBootstrap(bootstrap); });
  }
  void SetTerm(std::uint64_t term) override {
    disk_.Call([&] {
      if (term <= disk_.kept.load().term)
        ++disk_.votes_changed;
      disk_.kept.SetTerm(term);
    });
  }
  void SetVote(std::uint64_t vote) override {
    disk_.Call([&] {
      std::uint64_t before = disk_.kept.load().vote;
      if (before != 0 && before != vote)
        ++disk_.votes_changed;
      disk_.kept.SetVote(vote);
    });
  }
  void Append(const std::vector<owner::LogEntry>& entries) override {
    disk_.Call([&] { disk_.kept.Append(entries); });
  }
  void Truncate(std::uint64_t from) override {
    disk_.Call([&] { disk_.kept.Truncate(from); });
  }
  void SaveSnapshot(const owner::StoredSnapshot& snapshot, std::uint64_t trailing) override {
    disk_.Call([&] { disk_.kept.SaveSnapshot(snapshot, trailing); });
  }

 private:
  StoreDisk& disk_;
};

}  // namespace dunlinwick::tests
