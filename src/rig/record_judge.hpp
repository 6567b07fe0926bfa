// Judges the record from what was seen: acknowledgements, what keepers hold and answer, what
// subscribers were given. Pure; it knows the wire's meaning and nothing of how keepers and writers
// decide. Each finding is one line; the first 20 are kept.
//
// What it looks for:
// - an acknowledged entry lost, changed, or in another order than the acknowledgements allow;
// - an older value of a key after a newer one at a subscriber, a double, a resurrected key, a key
// missing in the end;
// - an offset that two contents were given for, to anybody: acknowledged, committed at a keeper,
// given to a subscriber;
// - a word of a stale writer or compactor that landed where a higher token was promised.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "record/log.hpp"

namespace dunlinwick::rig {

class RecordJudge {
 public:
  using Offset = record::Offset;
  using Token = record::Token;
  using Id = record::Id;
  using Entry = record::Entry;

  Offset PutBegins() const {
    return acknowledged_up_to_;
  }  // to be handed to acknowledged() with the outcome
  void Acknowledged(Offset before, const std::vector<Entry>& batch);
  void CommittedAt(Id keeper, const Entry& e);
  void Promised(Id keeper, Token token);  // as its disk has it
  void Replaced(
      Id keeper,
      Token promised);  // its disk is another now: what it promised before is not known to it
  // A word was taken: entries landed, or a plan that allows compaction up to `cleaned`,
  // `forgotten`.
  void Landed(Id keeper, Token token);
  void MayClean(Id keeper, Token token, Offset cleaned, Offset forgotten);
  void Cleaned(Id keeper, Offset cleaned, Offset forgotten);
  void Given(std::uint64_t subscriber, const Entry& e);
  void StartOver(std::uint64_t subscriber);

  // When all is well again: what a keeper holds up to what is committed.
  void InTheEnd(Id keeper, const std::vector<Entry>& entries, Offset committed, Offset forgotten);
  void SubscriberInTheEnd(std::uint64_t subscriber, const std::vector<Entry>& keepers);
  void Find(const std::string& what);  // by the rig, e.g. that it does not come to rest

  const std::vector<std::string>& Findings() const {
    return findings_;
  }
  std::size_t AcknowledgedCount() const {
    return acknowledged_.size();
  }
  Offset AcknowledgedUpTo() const {
    return acknowledged_up_to_;
  }

 private:
  struct AtKeeper {
    Token promised = 0;
    Offset may_clean = 0;
    Offset may_forget = 0;
  };
  struct AtSubscriber {
    Offset last = 0;
    std::map<std::pair<int, std::string>, Entry> held;
  };
  void Content(const char* who, const Entry& e);
  std::map<Offset, std::string> contents_;
  std::map<Offset, Entry> acknowledged_;
  Offset acknowledged_up_to_ = 0;
  std::map<Id, AtKeeper> keepers_;
  std::map<std::uint64_t, AtSubscriber> subscribers_;
  std::vector<std::string> findings_;
};

}  // namespace dunlinwick::rig
