// The blocks of the fleet's layer beyond members and owner: record, recovery, rules. All off where
// the configuration has none.
#pragma once
#include <string>
#include <vector>

#include "drift/drift.hpp"
#include "record/keepers.hpp"
#include "record/subscribers.hpp"
#include "recovery/recovery.hpp"

namespace dunlinwick::front {

// "record": {"keepers": [1, 2, 3], "store": "folder", "lag_ms": ..., "tombstone_term_ms": ...,
// "most_mb": ..., "stale_after_ms": ...} Needs a peers block, and an owner block whose works have a
// standing one named "record".
struct RecordTerms {
  bool on = false;
  std::vector<record::Id> keepers;
  std::string store;  // "": in memory
  record::LogSettings log;
  record::LogReplicaSettings keeper;
  record::SubscriberSettings subscriber;
  // A front that was not shown as caught up for so long asks for no copy older than so long: the
  // stated delay of a recall is this and the time from its acknowledgement to the keepers' answer.
  record::Ms stale_after = 10000;
};

// "recovery": {"store": "folder", "first": 0.1, "grow": 1.3, "step_ms": 500, "young_ms": ...}
struct RecoveryTerms {
  bool on = false;
  std::string store;  // a folder for the floors; "": none are kept
  recovery::Terms terms;
};

// "rules": {"round_ms": 500, "second_approver": false, "at_once": 1, "least_serving": 0.5, ...}
struct RulesTerms {
  bool on = false;
  bool wants_second = false;
  drift::Terms terms;
};

}  // namespace dunlinwick::front
