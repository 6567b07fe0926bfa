// The caches' side: connections to caches, parents and the origin, each carrying many legs and
// probes.
#pragma once
#include <memory>

#include "caches/lines.hpp"
#include "sheet/sheet.hpp"

namespace dunlinwick::caches {

class Caches final : public exchange::CacheSide {
 public:
  // `most`: connections at once, over all machines.
  Caches(loop::Loop& loop, exchange::Exchange& exchange, settings::ConnectionSettings terms,
         std::size_t most);
  ~Caches();
  std::uint64_t Send(exchange::AttemptKey key, const exchange::Ask& ask, const SendAttempt& how,
                     const std::vector<std::uint64_t>& avoid) override;
  void GiveUp(exchange::AttemptKey key, const exchange::Ask& ask, std::uint32_t cache) override;
  bool TakeBack(exchange::AttemptKey key, const exchange::Ask& ask, std::uint32_t cache) override;
  void Probe(std::uint32_t cache) override;
  void list(const ListEntry& entry, const std::string& id, const loop::Address& at) override;
  void Forget(std::uint32_t cache) override;

 private:
  class Line;
  friend class Line;
  struct Machine {
    std::string id;
    loop::Address at{};
    WallTime started_at;
    bool supplanted = false;                               // another machine has its address now
    std::map<std::uint64_t, std::shared_ptr<Line>> lines;  // by number; emptied as they end
  };
  struct QueuedAttempt;
  std::uint64_t place(QueuedAttempt attempt);
  void Lapse(exchange::AttemptKey key);
  Line* LineOf(exchange::AttemptKey key, const exchange::Ask& ask, std::uint32_t cache);
  Line* LineFor(Machine& m, std::uint32_t cache, const std::string& id,
                const std::vector<std::uint64_t>& avoid);
  void Drop(std::uint32_t cache, std::uint64_t line);
  bool DropIdle();
  void Sweep();

  loop::Loop& loop_;
  exchange::Exchange& exchange_;
  settings::ConnectionSettings terms_;
  std::size_t most_;
  std::size_t count_ = 0;
  std::uint64_t last_ = 0;
  std::uint64_t sweep_ = 0;
  std::map<std::uint32_t, Machine> machines_;  // emptied by forget()
};

}  // namespace dunlinwick::caches
