/// The disk of a member of the owners' group that fails by plan. What is on it outlives the stores
/// that are opened over it, as a disk outlives processes. It also holds the promise that a disk can
/// show: one vote a term.
#pragma once
#include <functional>
#include <memory>
#include <stdexcept>
#include <vector>

#include "owner/store.hpp"

namespace dunlinwick::tests {

enum class Fate : std::uint8_t {
  kWorks,
  kFailsBefore,
  kFailsAfter
};

/// What lies on the disk. Opening counts as a call too, as it does on LMDB.
struct StoreDisk {
  owner::MemoryStore kept;
  std::uint64_t calls = 0;
  /// Asked at each call that writes, with its number from 1 on.
  std::function<Fate(std::uint64_t call)> fate;
  std::size_t open = 0;
  std::size_t most_open = 0;
  std::size_t votes_changed = 0;

  void Call(const std::function<void()>& change) {
    ++calls;
    Fate now = fate ? fate(calls) : Fate::kWorks;
    if (now == Fate::kFailsBefore)
      throw std::runtime_error("no space left on device");
    change();
    if (now == Fate::kFailsAfter)
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
