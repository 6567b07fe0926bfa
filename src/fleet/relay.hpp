// A fault relay on every link between the fronts of a fleet on loopback: front i reaches front j at face(i, j),
// and the relay passes each datagram on to j, or not, as the link's fault says. Tools only (dunlinctl fleet, tests).
//
// Faces: 127.0.0.(100 + i):(port + j). Fronts: where `fronts` says. Faults by directed link, set at any time:
// cut, delay with jitter, loss, duplication (and so reordering, where jitter exceeds the gap of two datagrams).
// Bounds: at most 64 fronts here (faces are taken from 127.0.0.100 to .163); datagrams held for delay, 10,000.
#pragma once
#include <memory>
#include <random>
#include <vector>

#include "loop/loop.hpp"

namespace dunlinwick::fleet {

struct Fault {
  bool cut = false;
  double delay = 0, jitter = 0;  // ms
  double loss = 0, duplicate = 0;
};

class Relay {
 public:
  Relay(loop::Loop& loop, std::vector<loop::Address> fronts, std::uint16_t port, std::uint64_t seed);
  ~Relay();
  static loop::Address face(std::size_t from, std::size_t to, std::uint16_t port);
  Fault& link(std::size_t from, std::size_t to) { return faults_[from * fronts_.size() + to]; }
  void cutAround(const std::vector<std::size_t>& group, bool oneWayOut);
  void healAll();
  void everywhere(const Fault& f);
  std::uint64_t passed() const { return passed_; }
  std::uint64_t dropped() const { return dropped_; }

 private:
  struct Face;
  void pass(Face& face);

  loop::Loop& loop_;
  std::vector<loop::Address> fronts_;
  std::vector<Fault> faults_;
  std::vector<std::unique_ptr<Face>> faces_;
  std::knuth_b random_;
  std::size_t held_ = 0;
  std::uint64_t passed_ = 0, dropped_ = 0;
};

}  // namespace dunlinwick::fleet
