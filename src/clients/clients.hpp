// The clients' side: accepts their connections, turns requests into pulls and answers them.
#pragma once
#include <map>
#include <memory>

#include "clients/http.hpp"
#include "exchange/exchange.hpp"
#include "loop/listener.hpp"

namespace dunlinwick::clients {

class Clients {
 public:
  // Throws std::system_error where the address can't be had. `most`: connections at once, but for one.
  Clients(loop::Loop& loop, exchange::Exchange& exchange, const std::vector<std::string>& offerings,
          std::vector<bool> written, const loop::Address& at, std::size_t most);
  ~Clients();
  // From now on none is accepted, answers close their connection and those with nothing open go.
  void leave();
  void wind() { winding_ = true; }  // a stop is coming: /alive says so
  bool empty() const { return open_.empty(); }

 private:
  class Client;
  friend class Client;
  void taken(loop::Descriptor fd);
  void gone(std::uint64_t number);
  void spare();
  bool dropIdle();
  void sweep();

  loop::Loop& loop_;
  exchange::Exchange& exchange_;
  std::vector<std::string> offerings_;
  std::vector<bool> written_;  // by offering: its pulls write
  std::size_t most_;
  bool winding_ = false, leaving_ = false;
  std::uint64_t last_ = 0, sweep_ = 0;
  std::map<std::uint64_t, std::shared_ptr<Client>> open_;  // emptied as they end
  loop::Listener listener_;
};

}  // namespace dunlinwick::clients
