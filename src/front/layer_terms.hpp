// Settings of the fleet layer's blocks record, recovery and rules. Each is disabled when the
// configuration has no such block.
#pragma once
#include <string>
#include <vector>

#include "drift/drift.hpp"
#include "record/keepers.hpp"
#include "record/subscribers.hpp"
#include "recovery/recovery.hpp"

namespace dunlinwick::front {

// "record": {"keepers": [1, 2, 3], "store": "folder", "lag_ms": ..., "tombstone_term_ms": ...,
// "most_mb": ..., "stale_after_ms": ...}. Needs a peers block, and an owner block whose `works`
// have a standing task named "record".
struct RecordSettings {
  bool enabled = false;
  std::vector<record::Id> keepers;  // the fronts with a log replica
  std::string store;                // "": in memory
  record::LogSettings log;
  record::LogReplicaSettings keeper;
  record::SubscriberSettings subscriber;
  // A front that has not been confirmed as caught up for this long asks for no copy older than
  // this: the stated delay of a recall is this plus the time from its acknowledgement to the log
  // replicas' answer.
  record::Ms stale_after = 10000;
};

// "recovery": {"store": "folder", "first": 0.1, "grow": 1.3, "step_ms": 500, "young_ms": ...}
struct RecoverySettings {
  bool enabled = false;
  std::string store;  // a folder for the persisted minimums; "": none are kept
  recovery::Settings policy;
};

// "rules": {"round_ms": 500, "second_approver": false, "at_once": 1, "least_serving": 0.5, ...}
struct RulesSettings {
  bool enabled = false;
  bool requires_second_approver = false;
  drift::DriftSettings policy;
};

}  // namespace dunlinwick::front
