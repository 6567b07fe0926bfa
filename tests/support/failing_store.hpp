/// The disk of a member of the owners' group that fails by plan. What is on it outlives the stores that are
/// opened over it, as a disk outlives processes. It also holds the promise that a disk can show: one vote a
/// term.
#pragma once
#include <functional>
#include <memory>
#include <stdexcept>
#include <vector>

#include "owner/store.hpp"

namespace dunlinwick::tests {

enum class Fate : std::uint8_t { works, failsBefore, failsAfter };

/// What lies on the disk. Opening counts as a call too, as it does on LMDB.
struct StoreDisk {
  owner::MemoryStore kept;
  std::uint64_t calls = 0;
  /// Asked at each call that writes, with its number from 1 on.
  std::function<Fate(std::uint64_t call)> fate;
  std::size_t open = 0;
  std::size_t mostOpen = 0;
  std::size_t votesChanged = 0;

  void call(const std::function<void()>& change) {
    ++calls;
    Fate now = fate ? fate(calls) : Fate::works;
    if (now == Fate::failsBefore) throw std::runtime_error("no space left on device");
    change();
    if (now == Fate::failsAfter) throw std::runtime_error("input/output error");
  }
};

class FailingStore final : public owner::Store {
 public:
  explicit FailingStore(StoreDisk& disk) : disk_(disk) {
    disk_.call([] {});
    ++disk_.open;
    disk_.mostOpen = std::max(disk_.mostOpen, disk_.open);
  }
  ~FailingStore() override { --disk_.open; }
  bool lasts() const override { return true; }
  owner::StoredState load() override { return disk_.kept.load(); }
  void found(const std::string& founding) override {
    disk_.call([&] { disk_.kept.found(founding); });
  }
  void setTerm(std::uint64_t term) override {
    disk_.call([&] {
      if (term <= disk_.kept.load().term) ++disk_.votesChanged;
      disk_.kept.setTerm(term);
    });
  }
  void setVote(std::uint64_t vote) override {
    disk_.call([&] {
      std::uint64_t before = disk_.kept.load().vote;
      if (before != 0 && before != vote) ++disk_.votesChanged;
      disk_.kept.setVote(vote);
    });
  }
  void append(const std::vector<owner::LogEntry>& entries) override {
    disk_.call([&] { disk_.kept.append(entries); });
  }
  void truncate(std::uint64_t from) override {
    disk_.call([&] { disk_.kept.truncate(from); });
  }
  void take(const owner::StoredSnapshot& snapshot, std::uint64_t trailing) override {
    disk_.call([&] { disk_.kept.take(snapshot, trailing); });
  }

 private:
  StoreDisk& disk_;
};

}  // namespace dunlinwick::tests
