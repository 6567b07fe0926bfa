// What a front takes in, sends and answers, counted since its start.
#pragma once
#include <cstdint>

namespace dunlinwick::exchange {

struct Counters {
  using Count = std::uint64_t;
  Count pulls = 0, finished = 0, unchanged = 0, declined = 0, abandoned = 0, left = 0, brokenMidway = 0;
  Count legs = 0, fills = 0, legsFinished = 0, misses = 0, full = 0, errors = 0, timedOut = 0, moot = 0;
  Count neverRan = 0, broken = 0, cancelled = 0, lateAnswers = 0;
  Count probes = 0, probesAnswered = 0, calls = 0;
  Count clientConnections = 0, cacheConnections = 0, badRequests = 0, badLines = 0, stalled = 0, silent = 0,
        badNotices = 0;
  Count listNews = 0, purges = 0, boardConnections = 0, shortOfDescriptors = 0, reloads = 0;
};

}  // namespace dunlinwick::exchange
