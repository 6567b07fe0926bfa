// The record's part of a front: a keeper where it is among them (log on disk, server of
// subscribers), the writer while it owns the standing work "record", and its own subscription, by
// which recalls reach the module and approved rules the rules' part. Thin: what it decides is in
// src/record/.
//
// It logs, one line each, for operators and the checker:
//   record owner token 114085068801048577 serving from 41 at 1764629612345
//   record owner over token 114085068801048577 at ...
//   record put 42 acknowledged 1 token 114085068801048577 at ...      (first offset, how many)
//   record read 42 recalls object/7f token 1140... at ...             (by its own subscription, in
//   order) record starts over at ... ; record caught up to 42 at ... ; record behind since ... at
//   ... record keeper failed: ... at ... ; record store not used: ... at ... ; record store used
//   again at ...
// Operators' writes come as datagrams "DR" 1 | proto PutBatch and are answered by proto PutAnswer;
// one that does not own the record says so, with the owner's number where it knows it. Bounds: 32
// writes of operators under way.
#pragma once
#include <deque>
#include <memory>
#include <set>

#include "front/layer_terms.hpp"
#include "front/part.hpp"
#include "loop/loop.hpp"
#include "wall_time.hpp"

namespace dunlinwick::front {

// What is recalled: a copy that was fetched before `at` is not current any more. Exactly one of the
// three is set.
struct Recall {
  std::string object;
  int group = -1;
  std::string request_class;
  bool lifted = false;  // a tombstone: no older copy can exist any more, or it was a mistake
  Ms ago = 0;           // since it was given; 0: now, to be sure
};
// "object/NAME", "group/7", "offering/NAME"; nothing for any other key.
std::optional<Recall> ReadRecall(const record::Entry& entry);

/// How long ago, at least, a recall was given that the record's writer stamped with `written`; 0
/// where that can't be told. `fresh`: this front had read all before it, so it hears it as it is
/// given.
Ms RecallAge(WallTime written, Ms now, bool fresh);

class Record final : public Part {
 public:
  struct Ways {
    std::function<bool(peers::Id to, std::string message)> send;
    std::function<void(const Recall&)> recall;
    std::function<void()> recalls_void;  // all that was told before is void: started over
    std::function<void(const record::Entry&)> other;  // of the other streams
    // Why an operator's write can't be taken, or "".
    std::function<std::string(record::Stream, const std::string& key, bool tombstone,
                              const std::string& value)>
        refuses;
    std::function<void(Ms)>
        no_older;  // copies asked for from now on: no older than so many ms; 0: as usual
    std::function<std::pair<record::Token, bool>()>
        owns;                          // token and whether it may act now; 0: another owns it
    std::function<peers::Id()> owner;  // as far as is known; 0: not
  };
  // A store that can't be had is tried again: src/record/replica.hpp.
  Record(loop::Loop& loop, const RecordTerms& terms, peers::Id self, std::uint64_t seed, Ways ways);
  ~Record() override;
  peers::Channel channel() const override {
    return peers::Channel::kRecord;
  }
  void Heard(peers::Id from, std::span<const char> message) override;
  void Wake() override;
  Ms WakeAt() const override;
  std::string view() const override;
  // An operator's datagram, without its head. `reply` may come later, once at most.
  using Reply = std::function<void(std::string)>;
  void Asked(std::span<const char> bytes, Reply reply);

  bool CaughtUp() const;
  record::Offset Position() const, Committed() const;
  Ms GoodAt() const;
  bool Keeps() const;                // is a replica, and its store is open
  bool Corrupted() const;            // its store has holes, or is not open
  record::LogMetadata head() const;  // of its store, as it was when opened last
  bool Writes() const;

 private:
  struct Inner;
  std::unique_ptr<Inner> inner_;
};

}  // namespace dunlinwick::front
