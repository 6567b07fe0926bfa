// Memories: what is learnt of objects and classes: rates, omega, ranks, sizes.
#pragma once
#include "logic/purges.hpp"

namespace dunlinwick::logic {

struct Memories : Part {
  static constexpr Ms kCountAgeing = 30 * kSecond;  // long beside any idle window
  static constexpr Ms kLongestOmega = 4 * kCountAgeing;
  const Purges& purges;
  std::vector<ClassState> class_states{};
  Remembered table{};

  void Start(const std::vector<RequestClass>& request_classes) {
    // A sending on the long side, which the first pulls seen replace; the design's few seconds for
    // omega.
    for (const RequestClass& o : request_classes)
      class_states.push_back({o, o.expiry / 16, 5 * kSecond});
  }

  Memory* Recall(std::uint64_t object, int part) {
    constexpr std::size_t kMost = 1 << 16;  // some minutes of a busy front's different parts
    std::uint64_t key = Mixed(object) + static_cast<std::uint64_t>(part);
    if (Memory* found = table.Use(key, now))
      return found;
    // Beyond the longest omega, and with its count aged away, it says nothing more.
    auto old = [&](Ms used_at) {
      return table.all.size() >= kMost || used_at < now - kLongestOmega;
    };
    while (table.Loose() && old(table.all.front().used_at))
      table.DropOldest();
    return table.Add(key, now);
  }

  // A pull came: it is counted, and its sending known by its size, else taken to be the usual one.
  void Meet(Request& p) {
    ClassState& w = *p.class_state;
    Memory& m = *(p.memory = Recall(p.object, p.part));
    ++m.pins;
    p.gap = m.last_request > kLongAgo ? now - m.last_request : 0;
    m.count = m.count * (m.last_request > kLongAgo ? std::exp(-p.gap / kCountAgeing) : 0) + 1;
    m.last_request = now;
    p.last_at = m.last_at;
    p.sending = w.mean_sending;
    if (p.size_kb > 0 && f.stream_kb_per_ms > 0) {
      p.sending = p.size_kb / f.stream_kb_per_ms;
      // An object's parts come in a row and are of one size: five hundred are some thirty objects.
      // Harm: it follows a new mix in minutes.
      constexpr int kSteady = 500;
      w.sendings_seen = std::min(w.sendings_seen + 1, kSteady);
      w.mean_sending += (p.sending - w.mean_sending) / w.sendings_seen;
    }
    p.rank = RankOf(p);
  }

  // Omega settles where as many answers miss below it as hit above it: the gap below which most
  // answers hit. Departure: nothing is learnt from a cache that started lately, from purged
  // objects, or from another cache than the part's last; omega stays within the fresh time. Else a
  // deploy's misses cut it at all fronts.
  void LearnOmega(const Request& p, const Attempt& attempt, bool hit) const {
    constexpr double kStep = 0.02;  // fifty answers move it by e
    ClassState& w = *p.class_state;
    if (attempt.at != p.last_at || p.gap <= 0 || purges.at(p) > kLongAgo)
      return;
    if (attempt.at->slow_start_from > 0 &&
        now - attempt.at->slow_start_from < f.cold_store.lasts + p.gap)
      return;
    if (hit && p.gap > w.omega)
      w.omega *= 1 + kStep;
    if (!hit && p.gap < w.omega)
      w.omega *= 1 - kStep;
    Ms most = w.fresh_for > 0 ? w.fresh_for : kLongestOmega;
    w.omega = std::clamp(w.omega, kSecond / 2, most);
  }

  int RankOf(const Request& p) const {
    double lambda = ((p.memory->count - 1) * f.zone_replicas + 1) /
                    kCountAgeing;  // this pull tells of no others
    double held = 1 - std::exp(-lambda * p.class_state->omega);
    return held > 2.0 / 3   ? 3
           : held > 1.0 / 3 ? 2
                            : 1;  // three ranks, even thirds of the held chance
  }
};

}  // namespace dunlinwick::logic
