#include "store/durable_minimums.hpp"

#include <algorithm>
#include <exception>
#include <utility>

namespace dunlinwick::store {

DurableMinimums::DurableMinimums(OpenStorage open_storage, LogLine log_line)
    : open_storage_(std::move(open_storage)), log_line_(std::move(log_line)) {}

MinimumsStorage::ReadResult DurableMinimums::Load(Ms now, std::uint32_t self,
                                                  PersistedMinimums& found) {
  try {
    storage_ = open_storage_();
    MinimumsStorage::ReadResult result = storage_->Read(found);
    if (result == MinimumsStorage::ReadResult::kValid && found.front_id == self)
      persisted_ = found;
    return result;
  } catch (const std::exception& error) {
    found = {};
    HandleFailure(now, error.what());
    return MinimumsStorage::ReadResult::kCorrupted;
  }
}

void DurableMinimums::Persist(Ms now, const PersistedMinimums& minimums) {
  if (is_persisted_ && RaisedToStored(minimums) == persisted_)
    return;
  if (!storage_ && !retry_.IsDue(now))
    return;
  try {
    if (!storage_)
      Open();
    storage_->Write(RaisedToStored(minimums));
  } catch (const std::exception& error) {
    return HandleFailure(now, error.what());
  }
  persisted_ = RaisedToStored(minimums);
  is_persisted_ = true;
  if (std::exchange(is_failure_logged_, false))
    log_line_("recovery minimums persisted again");
}

void DurableMinimums::Open() {
  storage_ = open_storage_();
  PersistedMinimums found;
  if (storage_->Read(found) == MinimumsStorage::ReadResult::kValid)
    previously_stored_ = found;
}

PersistedMinimums DurableMinimums::RaisedToStored(PersistedMinimums minimums) const {
  if (previously_stored_.front_id != minimums.front_id)
    return minimums;
  minimums.token = std::max(minimums.token, previously_stored_.token);
  minimums.offset = std::max(minimums.offset, previously_stored_.offset);
  minimums.incarnation = std::max(minimums.incarnation, previously_stored_.incarnation);
  if (previously_stored_.rules_version > minimums.rules_version) {
    minimums.rules_version = previously_stored_.rules_version;
    minimums.rules_digest = previously_stored_.rules_digest;
  }
  for (const auto& [front, incarnation] : previously_stored_.witnessed_incarnations) {
    std::uint64_t& known = minimums.witnessed_incarnations[front];
    known = std::max(known, incarnation);
  }
  return minimums;
}

void DurableMinimums::HandleFailure(Ms now, const std::string& reason) {
  storage_.reset();
  is_persisted_ = false;
  retry_.RecordFailure(now);
  if (!std::exchange(is_failure_logged_, true))
    log_line_("recovery minimums not persisted, retrying: " + reason);
}

}  // namespace dunlinwick::store
