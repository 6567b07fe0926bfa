/// Hosts a log replica on a disk that may fail: storage, log, replication and the subscribers'
/// server, opened and closed together. Storage that cannot be opened, or a failed write or sync,
/// closes them all: the replica then acknowledges nothing, promises nothing and serves no
/// subscriber, so that leader writers count it as down and subscribers turn to another replica. The
/// storage is reopened with backoff until that succeeds; its contents are then read as at a start
/// of the process, under a new incarnation, and confirmed by a leader writer. A disk without space
/// (StorageFullError) closes nothing: the replica reports it to the leader writer and serves what
/// it has, but is taken for current only as long as it holds everything that the leader writer
/// calls committed.
#pragma once
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "backoff/backoff.hpp"
#include "record/replication.hpp"
#include "record/subscribers.hpp"

namespace dunlinwick::record {

struct ReplicaHostSettings {
  LogReplicaSettings replica;
  LogSettings log;
  SubscriberSettings subscriber;
};

class ReplicaHost {
 public:
  /// Opens the storage; throws StorageError if that fails.
  using OpenStorage = std::function<std::unique_ptr<LogStorage>()>;
  using LogLine = std::function<void(const std::string& line)>;

  /// Tries to open the storage at once. `replicas`: all replicas of the record, including `self`.
  /// `new_store_id` identifies storage that is empty.
  ReplicaHost(Id self, std::vector<Id> replicas, ReplicaHostSettings settings,
              OpenStorage open_storage, std::uint64_t new_store_id, Ms now, LogLine log_line);
  ReplicaHost(const ReplicaHost&) = delete;
  ReplicaHost& operator=(const ReplicaHost&) = delete;

  /// A message of a leader writer or of another replica.
  void Receive(Ms now, Id from, const Message& message, const SendMessage& send);
  /// Runs compaction and repairs, and retries to open the storage.
  void Tick(Ms now, const SendMessage& send);
  /// The response to a subscriber; unset while closed.
  std::optional<SubscriptionResponse> HandleSubscription(Ms now,
                                                         const SubscriptionRequest& request);

  bool IsOpen() const {
    return replica_ != nullptr;
  }
  /// As read when the storage was last opened; empty before that.
  const LogMetadata& MetadataAtOpening() const {
    return metadata_at_opening_;
  }
  /// Null while closed.
  const Log* log() const {
    return log_.get();
  }
  const SubscriptionServer* server() const {
    return server_.get();
  }
  /// The highest offset that this replica has known as committed, open or not.
  Offset Committed() const;
  /// The leader writer that last appended here; 0: none yet.
  Id LastLeader() const {
    return last_leader_;
  }

 private:
  void Open(Ms now);
  void Close(Ms now, const std::string& line);
  void NoteAppend(Ms now, Id from, const AppendRequest& append);

  Id self_;
  std::vector<Id> replicas_;
  ReplicaHostSettings settings_;
  OpenStorage open_storage_;
  std::uint64_t new_store_id_;
  LogLine log_line_;
  std::unique_ptr<LogStorage> storage_;
  std::unique_ptr<Log> log_;
  std::unique_ptr<LogReplica> replica_;
  std::unique_ptr<SubscriptionServer> server_;
  backoff::Backoff retry_{backoff::kInitialStoreRetry, backoff::kMaxStoreRetry};
  bool is_failure_logged_ = false;
  LogMetadata metadata_at_opening_;
  std::uint64_t incarnation_ = 0;
  Offset committed_before_ = 0;  // when it was last closed
  Id last_leader_ = 0;
  // When a leader writer's last message showed that everything committed is here.
  Ms current_at_ = 0;
};

}  // namespace dunlinwick::record
