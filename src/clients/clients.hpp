// The clients' side: accepts their connections, turns requests into pulls and answers them.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "clients/ask_reader.hpp"
#include "exchange/exchange.hpp"
#include "loop/listener.hpp"

namespace dunlinwick::clients {

using loop::Ms;

class Clients {
 public:
  // Throws std::system_error where the address can't be had. `most`: connections at once, but for
  // one. Beside them so many linger: ended from here, and read until the other side's end.
  Clients(loop::Loop& loop, exchange::Exchange& exchange,
          const std::vector<std::string>& request_classes, std::vector<bool> written,
          const loop::Address& at, std::size_t most, std::size_t most_lingering = 8);
  ~Clients();
  // Called again and again, with a turn of the loop between: those who wait are accepted, then none
  // is, answers close their connection, and those with nothing open that were here at the call
  // before go.
  void Leave();
  // A stop is coming: /alive says so, and requests that are taken late get less time.
  void Wind() {
    winding_ = true;
    winding_since_ = loop_.now();
  }
  bool empty() const {
    return open_.empty();
  }

 private:
  class Client;
  friend class Client;
  void Taken(loop::Descriptor fd);
  void Gone(std::uint64_t number);
  void Lingers(std::uint64_t number);
  std::size_t Live() const {
    return open_.size() - lingering_.size();
  }
  void AfterNextPoll(std::function<void()> what);
  void Spare();
  void MakeRoom();
  bool DropIdle();
  void Sweep();
  /// By how much a request that arrived then comes after those for which a stop leaves their whole
  /// deadline.
  Ms LateInStop(Ms arrived_at) const;

  loop::Loop& loop_;
  exchange::Exchange& exchange_;
  RequestClasses request_classes_;
  std::size_t most_;
  std::size_t most_lingering_;
  bool winding_ = false;
  bool leaving_ = false;
  bool making_room_ = false;
  std::uint64_t last_ = 0;
  std::uint64_t known_ = 0;  // the last one accepted; in a stop, the last one that a poll has shown
  Ms winding_since_ = 0;
  std::uint64_t sweep_ = 0;
  std::uint64_t room_timer_ = 0;
  std::deque<std::uint64_t> lingering_;                    // the longest first; emptied as they end
  std::map<std::uint64_t, std::shared_ptr<Client>> open_;  // emptied as they end
  loop::Listener listener_;
};

}  // namespace dunlinwick::clients
