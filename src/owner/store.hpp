// The persistent Raft state of a group member: term, vote, log and snapshot. Each call that writes
// returns once the data is durable, or throws std::runtime_error, after which the member no longer
// participates in the group.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dunlinwick::owner {

struct LogEntry {
  std::uint64_t term = 0;
  unsigned short type = 0;
  std::string bytes;
};
struct StoredSnapshot {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  std::uint64_t configuration_index = 0;
  std::string configuration;
  std::string data;
};
struct StoredState {
  std::uint64_t term = 0;
  std::uint64_t vote = 0;
  std::uint64_t first = 1;  // index of the first entry
  std::vector<LogEntry> entries;
  std::optional<StoredSnapshot> snapshot;
  // The members that bootstrapped the group, encoded; empty if this member never was part of one.
  std::string bootstrap;
};

class Store {
 public:
  virtual ~Store() = default;
  virtual bool IsDurable() const = 0;  // whether the data outlives the process
  virtual StoredState load() = 0;
  virtual void SaveBootstrap(const std::string& bootstrap) = 0;
  virtual void SetTerm(std::uint64_t term) = 0;  // clears the vote
  virtual void SetVote(std::uint64_t vote) = 0;
  virtual void Append(const std::vector<LogEntry>& entries) = 0;
  virtual void Truncate(std::uint64_t from) = 0;  // removes the entries from this index on
  // Also removes the entries up to the snapshot's index minus `trailing`.
  virtual void SaveSnapshot(const StoredSnapshot& snapshot, std::uint64_t trailing) = 0;
};

// In memory, lost with the process. The simulator keeps or drops it as it would a disk.
class MemoryStore final : public Store {
 public:
  bool IsDurable() const override {
    return false;
  }
  StoredState load() override {
    return state_;
  }
  void SaveBootstrap(const std::string& bootstrap) override {
    state_.bootstrap = bootstrap;
  }
  void SetTerm(std::uint64_t term) override {
    state_.term = term;
    state_.vote = 0;
  }
  void SetVote(std::uint64_t vote) override {
    state_.vote = vote;
  }
  void Append(const std::vector<LogEntry>& entries) override {
    state_.entries.insert(state_.entries.end(), entries.begin(), entries.end());
  }
  void Truncate(std::uint64_t from) override {
    if (from < state_.first) {
      state_.entries.clear();
      state_.first = from;
    } else if (from - state_.first < state_.entries.size())
      state_.entries.resize(from - state_.first);
  }
  void SaveSnapshot(const StoredSnapshot& snapshot, std::uint64_t trailing) override {
    std::uint64_t last = state_.first + state_.entries.size() - 1;
    // A snapshot from the leader may be beyond the end of the log, which is then of no use.
    if (trailing == 0 || snapshot.index > last) {
      state_.entries.clear();
      state_.first = snapshot.index + 1;
    } else if (snapshot.index > trailing && snapshot.index - trailing >= state_.first) {
      std::uint64_t keep = snapshot.index - trailing + 1;
      state_.entries.erase(
          state_.entries.begin(),
          state_.entries.begin() + static_cast<std::ptrdiff_t>(keep - state_.first));
      state_.first = keep;
    }
    state_.snapshot = snapshot;
  }

 private:
  StoredState state_;
};

}  // namespace dunlinwick::owner
