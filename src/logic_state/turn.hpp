// What the parts of the module share: the event under way, the settings' figures, and the pulls. No
// decisions.
#pragma once
#include <cmath>
#include <random>

#include "logic_state/tables.hpp"

namespace dunlinwick::logic {

constexpr Ms kSecond = 1000;

enum Wake : std::uint64_t {
  kWakeRequest = 1,
  kWakeMachine = 2,
  kWakeList = 3
};  // the upper byte of a WakeMe's handle

// The sheet as the parts use it; what they make of it they derive themselves, at start.
struct Figures {
  int zone;
  int zone_replicas;
  int fronts;
  int places;
  int parent_kind;
  int origin_kind;
  int most_attempts;
  int link_report;
  Permits may;
  bool asks_for_list;
  bool lateral;
  bool remarks;
  Weighing weighing;
  Ms retry_limit;
  Ms purge_done;
  Ms cold_window;
  double stream_kb_per_ms;
  double link_room;  // transfers that the link carries, 0: not told
  ColdTerms cold_store;
  ColdTerms cold_parent;
  explicit Figures(const StoreSettings& s)
      : zone(s.zone),
        zone_replicas(std::max(1, s.zone_replicas)),
        fronts(std::max(1, s.fronts)),
        places(s.places),
        parent_kind(s.parent_kind),
        origin_kind(s.origin_kind),
        most_attempts(s.most_attempts),
        link_report(s.link_report),
        may(s.may),
        asks_for_list(s.asks_for_list),
        lateral(s.lateral),
        remarks(s.remarks),
        weighing(s.weighing),
        retry_limit(s.longest_retry_after),
        purge_done(s.purge_done),
        cold_window(s.cold_window),
        stream_kb_per_ms(s.stream_kb_per_ms),
        link_room(s.link_kb_per_ms > 0 && s.stream_kb_per_ms > 0
                      ? s.link_kb_per_ms / s.stream_kb_per_ms
                      : 0),
        cold_store(s.cold_store),
        cold_parent(s.cold_parent) {}
};

inline Role RoleOf(const ListEntry& e, const Figures& f) {
  if (e.kind == f.origin_kind)
    return Role::kOrigin;
  if (e.kind == f.parent_kind)
    return Role::kParent;
  return e.zone == f.zone ? Role::kStore : Role::kForeign;
}

// A value of an answer's report by its place; not a number where there is none.
inline double Reported(const std::vector<float>& report, int place) {
  bool there = place >= 0 && place < static_cast<int>(report.size());
  return there ? static_cast<double>(report[static_cast<std::size_t>(place)]) : std::nan("");
}

struct Turn {
  Ms now = 0;
  std::vector<Action>* todo = nullptr;  // what is to be done, in order
  std::knuth_b chance;
};

// What every part stands on.
struct Part {
  Turn& turn;
  const Figures& f;
  Requests& requests;
  const Ms& now = turn.now;
  void Act(Action a) const {
    turn.todo->push_back(std::move(a));
  }
  double Drawn(double from = 0, double to = 1) const {
    return std::uniform_real_distribution<>(from, to)(turn.chance);
  }
};

}  // namespace dunlinwick::logic
