#include "record/replica.hpp"

#include <algorithm>
#include <utility>

namespace dunlinwick::record {

Replica::Replica(Id self, std::vector<Id> replicas, ReplicaTerms terms, OpenDisk open_disk,
                 std::uint64_t new_store, Ms now, Say say)
    : self_(self),
      replicas_(std::move(replicas)),
      terms_(std::move(terms)),
      open_disk_(std::move(open_disk)),
      new_store_(new_store),
      say_(std::move(say)) {
  Open(now);
}

void Replica::Open(Ms now) {
  try {
    disk_ = open_disk_();
    // A folder emptied meanwhile is another store than the one before.
    std::uint64_t new_store = new_store_ ^ static_cast<std::uint64_t>(now);
    log_ = std::make_unique<Log>(self_, terms_.log, *disk_, new_store);
  } catch (const Failed& fault) {
    return Close(now, std::string("record store not used: ") + fault.what());
  }
  head_at_opening_ = log_->head();
  life_ = std::max(life_ + 1, static_cast<std::uint64_t>(now));
  keeper_ = std::make_unique<Keeper>(self_, replicas_, terms_.keeper, *log_, life_);
  server_ = std::make_unique<Server>(*log_, terms_.subscriber, now);
  if (keeper_->has_failed())
    return Close(now, "record keeper failed: its disk refused a write");
  if (std::exchange(said_failure_, false))
    say_("record store used again");
}

void Replica::Close(Ms now, const std::string& line) {
  committed_before_ = Committed();
  server_.reset();
  keeper_.reset();
  log_.reset();
  disk_.reset();
  current_at_ = 0;
  retry_.RecordFailure(now);
  if (!std::exchange(said_failure_, true))
    say_(line + "; it acknowledges nothing until its store can be read and written again");
}

void Replica::Receive(Ms now, Id from, const Message& message, const Send& send) {
  if (!IsOpen())
    return;
  keeper_->Receive(now, from, message, send);
  if (keeper_->has_failed())
    return Close(now, "record keeper failed: its disk refused a write");
  if (const auto* append = std::get_if<Append>(&message))
    HeardWriter(now, from, *append);
}

void Replica::HeardWriter(Ms now, Id from, const Append& append) {
  const Head& head = log_->head();
  if (append.token < head.promised)
    return;
  last_writer_ = from;
  // One that could not take what the writer calls committed (no room, not brought up yet) must not
  // pass for current: a subscriber would miss recalls that are acknowledged.
  if (head.committed >= append.committed)
    current_at_ = now;
}

void Replica::Tick(Ms now, const Send& send) {
  if (!IsOpen()) {
    if (retry_.IsDue(now))
      Open(now);
    return;
  }
  keeper_->Tick(now, send, now);
  if (keeper_->has_failed())
    Close(now, "record keeper failed: its disk refused a write");
}

std::optional<Piece> Replica::Wants(Ms now, const Want& want) {
  if (!IsOpen())
    return std::nullopt;
  return server_->Wants(now, want, static_cast<std::uint64_t>(now - current_at_));
}

Offset Replica::Committed() const {
  if (!log_)
    return committed_before_;
  return std::max(committed_before_, log_->head().committed);
}

}  // namespace dunlinwick::record
