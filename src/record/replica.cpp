#include "record/replica.hpp"

#include <algorithm>
#include <utility>

namespace dunlinwick::record {

Replica::Replica(Id self, std::vector<Id> replicas, ReplicaTerms terms, OpenDisk openDisk,
                 std::uint64_t newStore, Ms now, Say say)
    : self_(self),
      replicas_(std::move(replicas)),
      terms_(std::move(terms)),
      openDisk_(std::move(openDisk)),
      newStore_(newStore),
      say_(std::move(say)) {
  open(now);
}

void Replica::open(Ms now) {
  try {
    disk_ = openDisk_();
    // A folder emptied meanwhile is another store than the one before.
    std::uint64_t newStore = newStore_ ^ static_cast<std::uint64_t>(now);
    log_ = std::make_unique<Log>(self_, terms_.log, *disk_, newStore);
  } catch (const Failed& fault) {
    return close(now, std::string("record store not used: ") + fault.what());
  }
  headAtOpening_ = log_->head();
  life_ = std::max(life_ + 1, static_cast<std::uint64_t>(now));
  keeper_ = std::make_unique<Keeper>(self_, replicas_, terms_.keeper, *log_, life_);
  server_ = std::make_unique<Server>(*log_, terms_.subscriber, now);
  if (keeper_->failed()) return close(now, "record keeper failed: its disk refused a write");
  if (std::exchange(saidFailure_, false)) say_("record store used again");
}

void Replica::close(Ms now, const std::string& line) {
  committedBefore_ = committed();
  server_.reset();
  keeper_.reset();
  log_.reset();
  disk_.reset();
  currentAt_ = 0;
  retry_.failed(now);
  if (!std::exchange(saidFailure_, true))
    say_(line + "; it acknowledges nothing until its store can be read and written again");
}

void Replica::receive(Ms now, Id from, const Message& message, const Send& send) {
  if (!isOpen()) return;
  keeper_->receive(now, from, message, send);
  if (keeper_->failed()) return close(now, "record keeper failed: its disk refused a write");
  if (const auto* append = std::get_if<Append>(&message)) heardWriter(now, from, *append);
}

void Replica::heardWriter(Ms now, Id from, const Append& append) {
  const Head& head = log_->head();
  if (append.token < head.promised) return;
  lastWriter_ = from;
  // One that could not take what the writer calls committed (no room, not brought up yet) must not pass for
  // current: a subscriber would miss recalls that are acknowledged.
  if (head.committed >= append.committed) currentAt_ = now;
}

void Replica::tick(Ms now, const Send& send) {
  if (!isOpen()) {
    if (retry_.isDue(now)) open(now);
    return;
  }
  keeper_->tick(now, send, now);
  if (keeper_->failed()) close(now, "record keeper failed: its disk refused a write");
}

std::optional<Piece> Replica::wants(Ms now, const Want& want) {
  if (!isOpen()) return std::nullopt;
  return server_->wants(now, want, static_cast<std::uint64_t>(now - currentAt_));
}

Offset Replica::committed() const {
  if (!log_) return committedBefore_;
  return std::max(committedBefore_, log_->head().committed);
}

}  // namespace dunlinwick::record
