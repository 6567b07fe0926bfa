// Pool of connections to the caches, parents and the origin. Each connection carries many attempts,
// probes and liveness checks at a time.
#pragma once
#include <memory>

#include "caches/lines.hpp"
#include "sheet/sheet.hpp"

namespace dunlinwick::caches {

class UpstreamConnectionPool final : public exchange::UpstreamTransport {
 public:
  // `max_connections`: over all endpoints.
  UpstreamConnectionPool(loop::Loop& loop, exchange::Exchange& exchange,
                         settings::ConnectionSettings connection_settings,
                         std::size_t max_connections);
  ~UpstreamConnectionPool();
  std::uint64_t Send(exchange::AttemptKey key, const exchange::RequestMetadata& metadata,
                     const SendAttempt& action, const std::vector<std::uint64_t>& avoid) override;
  void Cancel(exchange::AttemptKey key, const exchange::RequestMetadata& metadata,
              std::uint32_t cache) override;
  bool CancelUnsent(exchange::AttemptKey key, const exchange::RequestMetadata& metadata,
                    std::uint32_t cache) override;
  void Probe(std::uint32_t cache) override;
  void UpdateEndpoint(const ListEntry& entry, const std::string& id,
                      const loop::Address& address) override;
  void RemoveEndpoint(std::uint32_t cache) override;

 private:
  class UpstreamConnection;
  friend class UpstreamConnection;
  struct PooledEndpoint {
    std::string id;
    loop::Address address{};
    WallTime started_at;
    bool address_reassigned = false;  // another endpoint has its address now
    std::map<std::uint64_t, std::shared_ptr<UpstreamConnection>>
        connections;  // by number; removed when they end
  };
  struct QueuedAttempt;
  std::uint64_t Enqueue(QueuedAttempt attempt);
  void ReportExpired(exchange::AttemptKey key);
  UpstreamConnection* FindConnection(exchange::AttemptKey key,
                                     const exchange::RequestMetadata& metadata,
                                     std::uint32_t cache);
  UpstreamConnection* SelectConnection(PooledEndpoint& endpoint, std::uint32_t cache,
                                       const std::string& id,
                                       const std::vector<std::uint64_t>& avoid);
  void RemoveConnection(std::uint32_t cache, std::uint64_t connection_number);
  bool CloseLongestIdle();
  void CloseIdleConnections();

  loop::Loop& loop_;
  exchange::Exchange& exchange_;
  settings::ConnectionSettings connection_settings_;
  std::size_t max_connections_;
  std::size_t connection_count_ = 0;
  std::uint64_t last_number_ = 0;
  std::uint64_t idle_timer_ = 0;
  std::map<std::uint32_t, PooledEndpoint> endpoints_;  // removed by RemoveEndpoint()
};

}  // namespace dunlinwick::caches
