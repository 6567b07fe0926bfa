#include "record/replica_host.hpp"

#include <algorithm>
#include <utility>

namespace dunlinwick::record {

ReplicaHost::ReplicaHost(Id self, std::vector<Id> replicas, ReplicaHostSettings settings,
                         OpenStorage open_storage, std::uint64_t new_store_id, Ms now,
                         LogLine log_line)
    : self_(self),
      replicas_(std::move(replicas)),
      settings_(std::move(settings)),
      open_storage_(std::move(open_storage)),
      new_store_id_(new_store_id),
      log_line_(std::move(log_line)) {
  Open(now);
}

void ReplicaHost::Open(Ms now) {
  try {
    storage_ = open_storage_();
    // If the folder was emptied meanwhile, the storage is a new one with an id of its own.
    std::uint64_t new_store_id = new_store_id_ ^ static_cast<std::uint64_t>(now);
    log_ = std::make_unique<Log>(self_, settings_.log, *storage_, new_store_id);
  } catch (const StorageError& error) {
    return Close(now, std::string("record store not used: ") + error.what());
  }
  metadata_at_opening_ = log_->metadata();
  incarnation_ = std::max(incarnation_ + 1, static_cast<std::uint64_t>(now));
  replica_ = std::make_unique<LogReplica>(self_, replicas_, settings_.replica, *log_, incarnation_);
  server_ = std::make_unique<SubscriptionServer>(*log_, settings_.subscriber, now);
  if (replica_->has_failed())
    return Close(now, "record log replica failed: its disk refused a write");
  if (std::exchange(is_failure_logged_, false))
    log_line_("record store used again");
}

void ReplicaHost::Close(Ms now, const std::string& line) {
  committed_before_ = Committed();
  server_.reset();
  replica_.reset();
  log_.reset();
  storage_.reset();
  current_at_ = 0;
  retry_.RecordFailure(now);
  if (!std::exchange(is_failure_logged_, true))
    log_line_(line + "; it acknowledges nothing until its store can be read and written again");
}

void ReplicaHost::Receive(Ms now, Id from, const Message& message, const SendMessage& send) {
  if (!IsOpen())
    return;
  replica_->Receive(now, from, message, send);
  if (replica_->has_failed())
    return Close(now, "record log replica failed: its disk refused a write");
  if (const auto* append = std::get_if<AppendRequest>(&message))
    NoteAppend(now, from, *append);
}

void ReplicaHost::NoteAppend(Ms now, Id from, const AppendRequest& append) {
  const LogMetadata& metadata = log_->metadata();
  if (append.token < metadata.promised_token)
    return;
  last_leader_ = from;
  // A replica that could not store what the leader writer calls committed (no space, not up to date
  // yet) must not be taken for current: a subscriber would miss acknowledged recalls.
  if (metadata.committed >= append.committed)
    current_at_ = now;
}

void ReplicaHost::Tick(Ms now, const SendMessage& send) {
  if (!IsOpen()) {
    if (retry_.IsDue(now))
      Open(now);
    return;
  }
  replica_->Tick(now, send, now);
  if (replica_->has_failed())
    Close(now, "record log replica failed: its disk refused a write");
}

std::optional<SubscriptionResponse> ReplicaHost::HandleSubscription(
    Ms now, const SubscriptionRequest& request) {
  if (!IsOpen())
    return std::nullopt;
  return server_->HandleRequest(now, request, static_cast<std::uint64_t>(now - current_at_));
}

Offset ReplicaHost::Committed() const {
  if (!log_)
    return committed_before_;
  return std::max(committed_before_, log_->metadata().committed);
}

}  // namespace dunlinwick::record
