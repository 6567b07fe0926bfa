#include "store/lasting_floors.hpp"

#include <algorithm>
#include <exception>
#include <utility>

namespace dunlinwick::store {

LastingFloors::LastingFloors(OpenDisk openDisk, Say say)
    : openDisk_(std::move(openDisk)), say_(std::move(say)) {}

FloorDisk::Found LastingFloors::start(Ms now, std::uint32_t self, KeptFloors& found) {
  try {
    disk_ = openDisk_();
    FloorDisk::Found seen = disk_->read(found);
    if (seen == FloorDisk::Found::good && found.whose == self) lasting_ = found;
    return seen;
  } catch (const std::exception& fault) {
    found = {};
    failed(now, fault.what());
    return FloorDisk::Found::spoilt;
  }
}

void LastingFloors::keep(Ms now, const KeptFloors& floors) {
  if (isKept_ && raised(floors) == lasting_) return;
  if (!disk_ && !retry_.isDue(now)) return;
  try {
    if (!disk_) open();
    disk_->write(raised(floors));
  } catch (const std::exception& fault) {
    return failed(now, fault.what());
  }
  lasting_ = raised(floors);
  isKept_ = true;
  if (std::exchange(saidFailure_, false)) say_("recovery floors kept again");
}

void LastingFloors::open() {
  disk_ = openDisk_();
  KeptFloors found;
  if (disk_->read(found) == FloorDisk::Found::good) heldBefore_ = found;
}

KeptFloors LastingFloors::raised(KeptFloors floors) const {
  if (heldBefore_.whose != floors.whose) return floors;
  floors.token = std::max(floors.token, heldBefore_.token);
  floors.offset = std::max(floors.offset, heldBefore_.offset);
  floors.incarnation = std::max(floors.incarnation, heldBefore_.incarnation);
  if (heldBefore_.rulesVersion > floors.rulesVersion) {
    floors.rulesVersion = heldBefore_.rulesVersion;
    floors.rulesDigest = heldBefore_.rulesDigest;
  }
  for (const auto& [front, incarnation] : heldBefore_.witnessed) {
    std::uint64_t& seen = floors.witnessed[front];
    seen = std::max(seen, incarnation);
  }
  return floors;
}

void LastingFloors::failed(Ms now, const std::string& reason) {
  disk_.reset();
  isKept_ = false;
  retry_.failed(now);
  if (!std::exchange(saidFailure_, true)) say_("recovery floors not kept, tried again: " + reason);
}

}  // namespace dunlinwick::store
