// The client of the discovery service: watches it over one connection and delivers its events to
// the exchange, each once and in order. It reconnects with a backoff. Runs on the loop's thread.
#pragma once
#include <memory>

#include "board/watch_events.hpp"

namespace dunlinwick::discovery {

class DiscoveryClient final : public loop::Connection::Owner {
 public:
  DiscoveryClient(loop::Loop& loop, exchange::Exchange& exchange,
                  const settings::ConnectionSettings& terms, const loop::Address& address);
  ~DiscoveryClient();
  // Delivers the events of the configuration; false, with nothing changed, if they are malformed.
  bool ApplyInitialEvents(const json::Value& initial_events);
  void StartWatch();
  // Reconnects to another address at once and continues after the last delivered event.
  // `initial_events`: events up to now, of which the newer ones that follow without a gap are
  // delivered; the discovery service sends the rest. False, with nothing changed, if they are
  // malformed.
  bool SwitchTo(const loop::Address& address, const json::Value& initial_events);
  std::uint64_t LastRevision() const {
    return last_revision_;
  }

 private:
  void OnBytesReceived() override;
  void OnDisconnected(loop::DisconnectReason reason) override;
  std::optional<std::vector<WatchEvent>> ReadInitialEvents(const json::Value& initial_events,
                                                           std::uint64_t& last_revision) const;
  bool HandleLine(std::string_view line);
  void Deliver(const WatchEvent& event, std::optional<Ms> up_to_date_at);
  void RestartSilenceTimer();
  void HandleSilence();

  loop::Loop& loop_;
  exchange::Exchange& exchange_;
  settings::ConnectionSettings terms_;
  loop::Address address_;
  std::uint64_t last_revision_ = 0;  // of the last delivered event
  // When the service last had no later event; unset before the initial events.
  std::optional<Ms> up_to_date_at_;
  std::uint64_t timer_ = 0;
  loop::Ms backoff_ = 0;
  loop::Ms connected_at_ = 0;
  loop::Ms silence_limit_;  // how long the connection may be without a line; between connections,
                            // at least this long until the next one's first line
  bool watching_ = false;
  bool has_received_line_ = false;  // on this connection
  std::shared_ptr<loop::Connection> connection_;
};

}  // namespace dunlinwick::discovery
