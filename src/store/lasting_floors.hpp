/// Floors on a disk that may fail. What is asked to be kept is written at once; where that fails
/// the disk is closed, opened anew by backoff, and written again as a whole. What has not been
/// written does not last, and is not told as if it did.
#pragma once
#include <functional>
#include <memory>
#include <string>

#include "backoff/backoff.hpp"
#include "store/floors.hpp"

namespace dunlinwick::store {

using backoff::Ms;

class LastingFloors {
 public:
  /// Opens the disk; throws std::runtime_error where it can't.
  using OpenDisk = std::function<std::unique_ptr<FloorDisk>()>;
  using Say = std::function<void(const std::string& line)>;
  LastingFloors(OpenDisk open_disk, Say say);

  /// Opens the disk and reads what is there, once, at the start of front `self`. A disk that can't
  /// be opened or read is `spoilt`: nothing of it is trusted in this process.
  FloorDisk::Found Start(Ms now, std::uint32_t self, KeptFloors& found);
  /// Keeps `floors`, or tries to again where the time for it has come. Floors of the same front
  /// that the disk holds since a start without it are never lowered.
  void Keep(Ms now, const KeptFloors& floors);
  /// What lasts: the floors of the last write that succeeded, or that were read.
  const KeptFloors& Lasting() const {
    return lasting_;
  }
  /// Whether the last write succeeded.
  bool IsKept() const {
    return is_kept_;
  }

 private:
  void Open();
  KeptFloors Raised(KeptFloors floors) const;
  void Failed(Ms now, const std::string& reason);

  OpenDisk open_disk_;
  Say say_;
  std::unique_ptr<FloorDisk> disk_;
  backoff::Backoff retry_{backoff::kInitialStoreRetry, backoff::kMaxStoreRetry};
  KeptFloors lasting_;
  KeptFloors held_before_;  // what the disk held of this front as it was opened late
  bool is_kept_ = false;
  bool said_failure_ = false;
};

}  // namespace dunlinwick::store
