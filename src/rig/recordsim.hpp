// The record in virtual time: the keepers, writers and subscribers that a front runs, over disks in
// memory, with faults from one seed: fronts paused and killed, disks put back to an older copy,
// emptied, swapped, flipped, full, failing; messages lost, late, doubled, cut both ways or one;
// clocks at 1970 and stepping; two owners for a moment; subscribers that come late, leave, and come
// back. The promise judged is that of replication.hpp: so at most a minority of disks is damaged at
// a time, until brought up again; and without `doubtRestarts` a disk comes back older only where
// every other keeper has witnessed more.
#pragma once
#include "record/replication.hpp"
#include "record/subscribers.hpp"
#include "rig/record_judge.hpp"

namespace dunlinwick::rig {

struct RecordTerms {
  std::size_t keepers = 3;
  record::Ms faults = 20000;
  record::Ms settle = 60000;
  bool calm = false;  // no faults but changes of owner
  bool resumes_forgotten = false;
  bool tombstone_early = false;       // broken variants of the log and its server
  record::LogReplicaSettings keeper;  // with its broken variants
};
struct RecordRun {
  std::vector<std::string> findings;
  std::size_t acknowledged = 0;
  std::size_t unsure = 0;
  std::size_t refused = 0;
  std::size_t owners = 0;
  std::size_t kills = 0;
  std::size_t damages = 0;
  std::size_t anew = 0;
  std::size_t cleanings = 0;
  std::size_t start_overs = 0;
  std::size_t founded = 0;
  std::string Text() const;
};
// Everything from the seed; the same seed, the same run. What is drawn by it: 3 or 5 keepers,
// doubted restarts or not (unless given).
RecordTerms Drawn(std::uint64_t seed);
RecordRun Run(std::uint64_t seed, const RecordTerms& terms);

}  // namespace dunlinwick::rig
