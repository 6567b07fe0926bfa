// Memories: what is learnt of objects and offerings: rates, omega, ranks (the design's ordinary path), sizes.
#pragma once
#include "logic/purges.hpp"

namespace dunlinwick::logic {

struct Memories : Part {
  static constexpr Ms countAgeing = 30 * second;  // long beside any idle window, short beside a fashion
  static constexpr Ms longestOmega = 4 * countAgeing;
  const Purges& purges;
  std::vector<Ware> wares{};
  Remembered table{};

  void start(const std::vector<Offering>& offerings) {
    // A sending on the long side, which the first pulls seen replace; the design's few seconds for omega.
    for (const Offering& o : offerings) wares.push_back({o, o.expiry / 16, 5 * second});
  }

  Memory* recall(std::uint64_t object, int part) {
    constexpr std::size_t most = 1 << 16;  // some minutes of a busy front's different parts
    std::uint64_t key = mixed(object) + static_cast<std::uint64_t>(part);
    if (Memory* found = table.use(key, now)) return found;
    // Beyond the longest omega, and with its count aged away, it says nothing more.
    auto old = [&](Ms usedAt) { return table.all.size() >= most || usedAt < now - longestOmega; };
    while (table.loose() && old(table.all.front().usedAt)) table.dropOldest();
    return table.add(key, now);
  }

  // A pull came: it is counted, and its sending known by its size, else taken to be the usual one.
  void meet(Pull& p) {
    Ware& w = *p.ware;
    Memory& m = *(p.memory = recall(p.object, p.part));
    ++m.pins;
    p.gap = m.lastPull > longAgo ? now - m.lastPull : 0;
    m.count = m.count * (m.lastPull > longAgo ? std::exp(-p.gap / countAgeing) : 0) + 1;
    m.lastPull = now, p.lastAt = m.lastAt, p.sending = w.meanSending;
    if (p.sizeKb > 0 && f.streamKbPerMs > 0) {
      p.sending = p.sizeKb / f.streamKbPerMs;
      // An object's parts come in a row and are of one size: a hundred pulls tell of six objects, and a mean
      // that was low by half sent a cold cache twice its share. Harm: it follows a new mix in minutes.
      constexpr int steady = 500;  // some thirty objects
      w.sendingsSeen = std::min(w.sendingsSeen + 1, steady);
      w.meanSending += (p.sending - w.meanSending) / w.sendingsSeen;
    }
    p.rank = rankOf(p);
  }

  // Omega settles where as many answers miss below it as hit above it: the gap below which most answers hit.
  // Departure: nothing is learnt from a cache that started lately, from purged objects, or from another cache
  // than the part's last; omega stays within the fresh time. Else a deploy's misses cut it at all fronts.
  void learnOmega(const Pull& p, const Leg& leg, bool hit) const {
    constexpr double step = 0.02;  // fifty answers move it by e: seconds of traffic, not single surprises
    Ware& w = *p.ware;
    if (leg.at != p.lastAt || p.gap <= 0 || purges.at(p) > longAgo) return;
    if (leg.at->slow_start_from > 0 && now - leg.at->slow_start_from < f.coldStore.lasts + p.gap) return;
    if (hit && p.gap > w.omega) w.omega *= 1 + step;
    if (!hit && p.gap < w.omega) w.omega *= 1 - step;
    Ms most = w.freshFor > 0 ? w.freshFor : longestOmega;
    w.omega = std::clamp(w.omega, second / 2, most);
  }

  int rankOf(const Pull& p) const {
    double lambda = ((p.memory->count - 1) * f.crew + 1) / countAgeing;  // this pull tells of no others
    double held = 1 - std::exp(-lambda * p.ware->omega);
    return held > 2.0 / 3 ? 3 : held > 1.0 / 3 ? 2 : 1;  // three ranks, even thirds of the held chance
  }
};

}  // namespace dunlinwick::logic
