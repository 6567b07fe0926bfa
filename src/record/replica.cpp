#include "record/replica.hpp"

#include <algorithm>
#include <utility>

namespace dunlinwick::record {

ReplicaHost::ReplicaHost(Id self, std::vector<Id> replicas, ReplicaHostSettings terms,
                         OpenStorage open_disk, std::uint64_t new_store, Ms now, LogLine say)
    : self_(self),
      replicas_(std::move(replicas)),
      settings_(std::move(terms)),
      open_storage_(std::move(open_disk)),
      new_store_id_(new_store),
      log_line_(std::move(say)) {
  Open(now);
}

void ReplicaHost::Open(Ms now) {
  try {
    storage_ = open_storage_();
    // A folder emptied meanwhile is another store than the one before.
    std::uint64_t new_store = new_store_id_ ^ static_cast<std::uint64_t>(now);
    log_ = std::make_unique<Log>(self_, settings_.log, *storage_, new_store);
  } catch (const StorageError& fault) {
    return Close(now, std::string("record store not used: ") + fault.what());
  }
  metadata_at_opening_ = log_->metadata();
  incarnation_ = std::max(incarnation_ + 1, static_cast<std::uint64_t>(now));
  replica_ = std::make_unique<LogReplica>(self_, replicas_, settings_.replica, *log_, incarnation_);
  server_ = std::make_unique<SubscriptionServer>(*log_, settings_.subscriber, now);
  if (replica_->has_failed())
    return Close(now, "record keeper failed: its disk refused a write");
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
  retry_.Failed(now);
  if (!std::exchange(is_failure_logged_, true))
    log_line_(line + "; it acknowledges nothing until its store can be read and written again");
}

void ReplicaHost::Receive(Ms now, Id from, const Message& message, const SendMessage& send) {
  if (!IsOpen())
    return;
  replica_->Receive(now, from, message, send);
  if (replica_->has_failed())
    return Close(now, "record keeper failed: its disk refused a write");
  if (const auto* append = std::get_if<AppendRequest>(&message))
    NoteAppend(now, from, *append);
}

void ReplicaHost::NoteAppend(Ms now, Id from, const AppendRequest& append) {
  const LogMetadata& head = log_->metadata();
  if (append.token < head.promised_token)
    return;
  last_leader_ = from;
  // One that could not take what the writer calls committed (no room, not brought up yet) must not
  // pass for current: a subscriber would miss recalls that are acknowledged.
  if (head.committed >= append.committed)
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
    Close(now, "record keeper failed: its disk refused a write");
}

std::optional<SubscriptionResponse> ReplicaHost::HandleSubscription(
    Ms now, const SubscriptionRequest& want) {
  if (!IsOpen())
    return std::nullopt;
  return server_->HandleRequest(now, want, static_cast<std::uint64_t>(now - current_at_));
}

Offset ReplicaHost::Committed() const {
  if (!log_)
    return committed_before_;
  return std::max(committed_before_, log_->metadata().committed);
}

}  // namespace dunlinwick::record
