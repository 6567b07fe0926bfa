// One front: its parts wired together, from start to stop.
#pragma once
#include "board/board.hpp"
#include "caches/caches.hpp"
#include "clients/clients.hpp"
#include "front/charter.hpp"

namespace dunlinwick::front {

class Front {
 public:
  Front(loop::Loop& loop, const Charter& charter);
  void stop();  // takes what still arrives, answers all it has taken, then ends the loop
  std::string counters() const;

 private:
  void leaveWhenDone();

  loop::Loop& loop_;
  exchange::Exchange exchange_;
  caches::Caches caches_;
  board::Board board_;
  clients::Clients clients_;
  bool stopping_ = false;
};

// Serves until SIGTERM or SIGINT; SIGUSR1 prints the counters. Returns the exit code.
int serve(const Charter& charter);

}  // namespace dunlinwick::front
