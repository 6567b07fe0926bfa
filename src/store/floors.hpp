// The floors that a front keeps through a crash (src/recovery/), in LMDB: one value, one
// transaction a write, on the disk when write() returns. A value whose digest does not fit, or
// whose bytes can't be read, is told as such and never used. Throws std::runtime_error with the
// path and the reason. Bound: 1 MB.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace dunlinwick::store {

struct KeptFloors {
  std::uint32_t whose = 0;
  std::uint64_t token = 0;
  std::uint64_t offset = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t rules_digest = 0;
  std::uint64_t rules_version = 0;
  std::map<std::uint32_t, std::uint64_t> witnessed;  // incarnations of other fronts; at most 1000
  bool operator==(const KeptFloors&) const = default;
};

/// Where floors last: a folder on machines, memory with planned faults in tests.
class FloorDisk {
 public:
  enum class Found {
    kEmpty,
    kGood,
    kCorrupted
  };
  virtual ~FloorDisk() = default;
  /// Reads what was written last. Throws std::runtime_error where it can't be read at all.
  virtual Found Read(KeptFloors& into) = 0;
  /// Lasts when it returns, or throws std::runtime_error; then the floors of before or these may be
  /// on the disk.
  virtual void Write(const KeptFloors& floors) = 0;
};

class FloorStore final : public FloorDisk {
 public:
  explicit FloorStore(const std::string& folder);  // made where it is not there
  ~FloorStore() override;
  FloorStore(const FloorStore&) = delete;
  FloorStore& operator=(const FloorStore&) = delete;
  Found Read(KeptFloors& into) override;
  void Write(const KeptFloors& floors) override;

 private:
  struct Inner;
  std::unique_ptr<Inner> inner_;
};

}  // namespace dunlinwick::store
