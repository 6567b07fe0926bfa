// HTTP server for clients: accepts their connections, passes their requests to the Exchange and
// sends its responses. One per front.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "clients/request_metadata_reader.hpp"
#include "exchange/exchange.hpp"
#include "loop/listener.hpp"

namespace dunlinwick::clients {

using loop::Ms;

class HttpServer {
 public:
  // Throws std::system_error if it can't listen on the address. At most `max_connections` + 1
  // connections are open at a time. Beside them at most `max_lingering` connections linger: the
  // server has shut down its sending direction and reads until the client closes the other one.
  HttpServer(loop::Loop& loop, exchange::Exchange& exchange,
             const std::vector<std::string>& request_classes, std::vector<bool> writes,
             const loop::Address& listen_address, std::size_t max_connections,
             std::size_t max_lingering = 8);
  ~HttpServer();
  // To be called repeatedly, with an iteration of the event loop between calls. Accepts the
  // connections in the backlog, then no more; responses announce the close; connections that
  // existed at the previous call and have no open request are closed.
  void ContinueShutdown();
  // Announces the shutdown: /alive responds 503, and requests that arrive late get a shorter
  // deadline.
  void AnnounceShutdown() {
    shutdown_announced_ = true;
    shutdown_announced_at_ = loop_.now();
  }
  bool empty() const {
    return connections_.empty();
  }

 private:
  class ClientConnection;
  friend class ClientConnection;
  void OnAccepted(loop::Descriptor fd);
  void RemoveConnection(std::uint64_t number);
  void OnLingering(std::uint64_t number);
  std::size_t LiveCount() const {
    return connections_.size() - lingering_.size();
  }
  void AfterNextPoll(std::function<void()> callback);
  void OnConnectionIdle();
  void FreeConnectionSlot();
  std::vector<std::shared_ptr<ClientConnection>> LongestIdleFirst() const;
  bool CloseLongestIdle();
  /// Gives up partial requests, and responses that their clients do not read in time, until the
  /// memory budget has room for `bytes` more. False: there is nothing left to give up.
  bool MakeRoomFor(std::size_t bytes);
  void CheckTimeouts();
  /// How long after the period in which requests keep their whole deadline, after the announcement
  /// of a shutdown, a request arrived; 0 if it arrived within it.
  Ms TimePastShutdownGrace(Ms arrived_at) const;

  loop::Loop& loop_;
  exchange::Exchange& exchange_;
  RequestClasses request_classes_;
  std::size_t max_connections_;
  std::size_t max_lingering_;
  bool shutdown_announced_ = false;
  bool shutting_down_ = false;
  bool slot_check_pending_ = false;
  std::uint64_t last_number_ = 0;
  std::uint64_t last_polled_number_ =
      0;  // number of the last connection that the last poll before ContinueShutdown() covered
  Ms shutdown_announced_at_ = 0;
  std::uint64_t timeout_timer_ = 0;
  std::uint64_t slot_timer_ = 0;
  std::deque<std::uint64_t> lingering_;  // longest lingering first; removed when they end
  std::map<std::uint64_t, std::shared_ptr<ClientConnection>> connections_;  // removed when they end
  loop::Listener listener_;
};

}  // namespace dunlinwick::clients
