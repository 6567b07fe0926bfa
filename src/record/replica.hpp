/// A replica of the record over a disk that may fail: log, replication and the server of
/// subscribers, opened and closed together. A store that can't be opened, or a write or sync that
/// fails, closes them: this replica acknowledges nothing, promises nothing and serves no
/// subscriber, so that writers count it as down and subscribers turn to another. The store is
/// opened anew, by backoff, until it can be; what is on the disk is then read as at a start of the
/// process, under another life, and proved by a writer. A disk without room (Full) closes nothing:
/// the replica says so to the writer and serves what it has, but vouches for being current only as
/// long as it holds all that the writer calls committed.
#pragma once
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "backoff/backoff.hpp"
#include "record/keepers.hpp"
#include "record/subscribers.hpp"

namespace dunlinwick::record {

struct ReplicaTerms {
  KeeperTerms keeper;
  LogTerms log;
  SubscriberTerms subscriber;
};

class Replica {
 public:
  /// Opens the disk; throws Failed where it can't.
  using OpenDisk = std::function<std::unique_ptr<Disk>()>;
  using Say = std::function<void(const std::string& line)>;

  /// Tries to open the disk at once. `replicas`: all of the record, `self` among them. `newStore`
  /// identifies a disk that is empty.
  Replica(Id self, std::vector<Id> replicas, ReplicaTerms terms, OpenDisk open_disk,
          std::uint64_t new_store, Ms now, Say say);
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /// A message of a writer or of another replica.
  void Receive(Ms now, Id from, const Message& message, const Send& send);
  /// Compaction, healing, and the next try to open the disk.
  void Tick(Ms now, const Send& send);
  /// The answer to a subscriber; nothing while closed.
  std::optional<Piece> Wants(Ms now, const Want& want);

  bool IsOpen() const {
    return keeper_ != nullptr;
  }
  /// Of the store as it was read when it was opened last; empty before that.
  const Head& HeadAtOpening() const {
    return head_at_opening_;
  }
  /// While open; nullptr else.
  const Log* log() const {
    return log_.get();
  }
  const Server* server() const {
    return server_.get();
  }
  /// The highest offset that this replica knew as committed, open or not.
  Offset Committed() const;
  /// Who appended here last; 0: nobody yet.
  Id LastWriter() const {
    return last_writer_;
  }

 private:
  void Open(Ms now);
  void Close(Ms now, const std::string& line);
  void HeardWriter(Ms now, Id from, const Append& append);

  Id self_;
  std::vector<Id> replicas_;
  ReplicaTerms terms_;
  OpenDisk open_disk_;
  std::uint64_t new_store_;
  Say say_;
  std::unique_ptr<Disk> disk_;
  std::unique_ptr<Log> log_;
  std::unique_ptr<Keeper> keeper_;
  std::unique_ptr<Server> server_;
  backoff::Backoff retry_{backoff::kInitialStoreRetry, backoff::kMaxStoreRetry};
  bool said_failure_ = false;
  Head head_at_opening_;
  std::uint64_t life_ = 0;
  Offset committed_before_ = 0;  // at the last closing
  Id last_writer_ = 0;
  Ms current_at_ = 0;  // the last word of a writer by which all that is committed is here
};

}  // namespace dunlinwick::record
