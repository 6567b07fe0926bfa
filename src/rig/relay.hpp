// A fault relay on every link of a fleet on loopback: datagrams between fronts, streams from fronts
// to caches. Front i reaches front j at face(i, j) and cache c at cacheFace(i, c); the relay passes
// on what comes there, or not, as the link's fault says. Tools only (dunlinctl fleet, tests).
//
// Faces: 127.0.0.(100 + i), port + j (UDP) and port + c (TCP). Faults by directed link, set at any
// time. A cut loses datagrams and holds streams; loss delays a stream by 200 ms, as its resending
// would. Bounds: at most 64 fronts and 64 caches; datagrams held, 10,000; a link over its bandwidth
// loses what would wait longer than 1 s; a held stream is read no further.
#pragma once
#include <memory>
#include <random>
#include <vector>

#include "loop/listener.hpp"

namespace dunlinwick::fleet {

struct Fault {
  int cuts = 0;  // partitions that this link lies across; they may overlap
  double delay = 0;
  double jitter = 0;  // ms
  double loss = 0;
  double duplicate = 0;
  double reorder = 0;
  double kb_per_s = 0;  // 0: no limit
  bool Cut() const {
    return cuts > 0;
  }
};

class Relay {
 public:
  Relay(loop::Loop& loop, std::vector<loop::Address> fronts, std::vector<loop::Address> caches,
        std::uint16_t port, std::uint64_t seed);
  ~Relay();
  static loop::Address face(std::size_t from, std::size_t to, std::uint16_t port);
  Fault& link(std::size_t from, std::size_t to) {
    return faults_[from * fronts_.size() + to];
  }
  Fault& ToCache(std::size_t front, std::size_t cache) {
    return cache_faults_[2 * (front * caches_.size() + cache)];
  }
  Fault& FromCache(std::size_t front, std::size_t cache) {
    return cache_faults_[2 * (front * caches_.size() + cache) + 1];
  }
  // By 1: the links between a group of fronts and the others are cut once more, by -1 once less.
  // `oneWayOut`: only those out of the group.
  void CutAround(const std::vector<std::size_t>& group, bool one_way_out, int by = 1);
  void HealAll();
  void Everywhere(const Fault& f);  // between fronts; cuts stay
  std::uint64_t Passed() const {
    return passed_;
  }
  std::uint64_t Dropped() const {
    return dropped_;
  }

 private:
  struct Face;
  struct Stream;
  struct Way;
  void Pass(Face& face);
  void Sweep();

  loop::Loop& loop_;
  std::vector<loop::Address> fronts_;
  std::vector<loop::Address> caches_;
  std::vector<Fault> faults_;
  std::vector<Fault> cache_faults_;
  std::vector<std::unique_ptr<Face>> faces_;
  std::vector<std::unique_ptr<loop::Listener>> listeners_;
  std::vector<std::shared_ptr<Stream>> streams_;  // emptied by the sweep once both ends are over
  std::uint64_t sweep_ = 0;
  std::knuth_b random_;
  std::size_t held_ = 0;
  std::uint64_t passed_ = 0;
  std::uint64_t dropped_ = 0;
};

}  // namespace dunlinwick::fleet
