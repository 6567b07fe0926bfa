#include "store/lasting_floors.hpp"

#include <algorithm>
#include <exception>
#include <utility>

namespace dunlinwick::store {

DurableMinimums::DurableMinimums(OpenStorage open_disk, LogLine say)
    : open_storage_(std::move(open_disk)), log_line_(std::move(say)) {}

MinimumsStorage::ReadResult DurableMinimums::Load(Ms now, std::uint32_t self, PersistedMinimums& found) {
  try {
    storage_ = open_storage_();
    MinimumsStorage::ReadResult seen = storage_->Read(found);
    if (seen == MinimumsStorage::ReadResult::kValid && found.front_id == self)
      persisted_ = found;
    return seen;
  } catch (const std::exception& fault) {
    found = {};
    HandleFailure(now, fault.what());
    return MinimumsStorage::ReadResult::kCorrupted;
  }
}

void DurableMinimums::Persist(Ms now, const PersistedMinimums& floors) {
  if (is_persisted_ && RaisedToStored(floors) == persisted_)
    return;
  if (!storage_ && !retry_.IsDue(now))
    return;
  try {
    if (!storage_)
      Open();
    storage_->Write(RaisedToStored(floors));
  } catch (const std::exception& fault) {
    return HandleFailure(now, fault.what());
  }
  persisted_ = RaisedToStored(floors);
  is_persisted_ = true;
  if (std::exchange(is_failure_logged_, false))
    log_line_("recovery floors kept again");
}

void DurableMinimums::Open() {
  storage_ = open_storage_();
  PersistedMinimums found;
  if (storage_->Read(found) == MinimumsStorage::ReadResult::kValid)
    previously_stored_ = found;
}

PersistedMinimums DurableMinimums::RaisedToStored(PersistedMinimums floors) const {
  if (previously_stored_.front_id != floors.front_id)
    return floors;
  floors.token = std::max(floors.token, previously_stored_.token);
  floors.offset = std::max(floors.offset, previously_stored_.offset);
  floors.incarnation = std::max(floors.incarnation, previously_stored_.incarnation);
  if (previously_stored_.rules_version > floors.rules_version) {
    floors.rules_version = previously_stored_.rules_version;
    floors.rules_digest = previously_stored_.rules_digest;
  }
  for (const auto& [front, incarnation] : previously_stored_.witnessed_incarnations) {
    std::uint64_t& seen = floors.witnessed_incarnations[front];
    seen = std::max(seen, incarnation);
  }
  return floors;
}

void DurableMinimums::HandleFailure(Ms now, const std::string& reason) {
  storage_.reset();
  is_persisted_ = false;
  retry_.Failed(now);
  if (!std::exchange(is_failure_logged_, true))
    log_line_("recovery floors not kept, tried again: " + reason);
}

}  // namespace dunlinwick::store
