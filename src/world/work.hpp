// A machine and a wish, from the inside; for the model's files.
#pragma once
#include "world/pipe.hpp"

namespace dunlinwick::world {

struct Model::Machine {
  Make make;
  std::uint64_t life = 0;
  std::unique_ptr<Pipe> pipe;
  double slowed = 1;
  Ms stalled_until = 0;
  int in_hand = 0;
  int fills = 0;
  std::map<std::uint64_t, std::shared_ptr<Work>>
      open;                                   // by ticket; emptied by answers and giving up
  std::deque<std::shared_ptr<Work>> waiting;  // at most `queue`
  std::unordered_map<Key, Copy> copies;       // at most `keepKb`; never walked in its own order
  std::set<std::tuple<int, Ms, Key>> order;   // rank, use, key: the first leaves first
  double kept_kb = 0;
  std::map<Key, std::vector<std::shared_ptr<Work>>>
      fetches;                               // of an area cache; emptied when they come
  std::deque<std::pair<Ms, double>> pushes;  // of the last window
  double pushed = 0;
  double hits = 0;
  double answers = 0;
  std::deque<std::pair<Ms, Load>> samples;  // of some seconds
  bool Store() const {
    return make.grade == Grade::kStore;
  }
};

// One wish, from its coming to its end.
struct Model::Work {
  ClientRequest client_request;
  std::weak_ptr<Machine> at;
  std::weak_ptr<Machine> source;
  Answered answered;
  std::uint64_t ticket = 0;
  Key key = 0;
  Ms came_at = 0;
  Ms fill_at = 0;
  Ms delay = 0;
  Ms issued = 0;
  Note note = Note::kNone;
  double size_kb = 0;
  double spent = 0;
  bool over = false;
  bool begun = false;
  bool filling = false;
  bool fetched = false;
  bool passed = false;  // an area cache's own, for those who wait there
  int parts = 0;        // of a transfer, still to be done: the sending, the link, the source
  struct Job {
    std::weak_ptr<Machine> where;
    int link = -1;
    std::uint64_t id = 0;
  };
  std::vector<Job> jobs;
};

}  // namespace dunlinwick::world
