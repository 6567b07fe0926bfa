#include "store/lasting_floors.hpp"

#include <algorithm>
#include <exception>
#include <utility>

namespace dunlinwick::store {

LastingFloors::LastingFloors(OpenDisk open_disk, Say say)
    : open_disk_(std::move(open_disk)), say_(std::move(say)) {}

FloorDisk::Found LastingFloors::Start(Ms now, std::uint32_t self, KeptFloors& found) {
  try {
    disk_ = open_disk_();
    FloorDisk::Found seen = disk_->Read(found);
    if (seen == FloorDisk::Found::kGood && found.whose == self)
      lasting_ = found;
    return seen;
  } catch (const std::exception& fault) {
    found = {};
    Failed(now, fault.what());
    return FloorDisk::Found::kCorrupted;
  }
}

void LastingFloors::Keep(Ms now, const KeptFloors& floors) {
  if (is_kept_ && Raised(floors) == lasting_)
    return;
  if (!disk_ && !retry_.IsDue(now))
    return;
  try {
    if (!disk_)
      Open();
    disk_->Write(Raised(floors));
  } catch (const std::exception& fault) {
    return Failed(now, fault.what());
  }
  lasting_ = Raised(floors);
  is_kept_ = true;
  if (std::exchange(said_failure_, false))
    say_("recovery floors kept again");
}

void LastingFloors::Open() {
  disk_ = open_disk_();
  KeptFloors found;
  if (disk_->Read(found) == FloorDisk::Found::kGood)
    held_before_ = found;
}

KeptFloors LastingFloors::Raised(KeptFloors floors) const {
  if (held_before_.whose != floors.whose)
    return floors;
  floors.token = std::max(floors.token, held_before_.token);
  floors.offset = std::max(floors.offset, held_before_.offset);
  floors.incarnation = std::max(floors.incarnation, held_before_.incarnation);
  if (held_before_.rules_version > floors.rules_version) {
    floors.rules_version = held_before_.rules_version;
    floors.rules_digest = held_before_.rules_digest;
  }
  for (const auto& [front, incarnation] : held_before_.witnessed) {
    std::uint64_t& seen = floors.witnessed[front];
    seen = std::max(seen, incarnation);
  }
  return floors;
}

void LastingFloors::Failed(Ms now, const std::string& reason) {
  disk_.reset();
  is_kept_ = false;
  retry_.RecordFailure(now);
  if (!std::exchange(said_failure_, true))
    say_("recovery floors not kept, tried again: " + reason);
}

}  // namespace dunlinwick::store
