// Accepts connections on one address until it is paused or closed. Runs on the loop's thread.
#pragma once
#include <functional>

#include "loop/connection.hpp"

namespace dunlinwick::loop {

class Listener final : Handler {
 public:
  // Throws std::system_error if it cannot listen on the address.
  Listener(Loop& loop, const Address& address, std::function<void(Descriptor)> on_accepted);
  ~Listener() {
    Close();
  }
  void Pause();  // accepts no more; new connections stay in the backlog
  void Resume();
  // Accepts all connections of the backlog, paused or not. False: out of descriptors, some remain.
  bool Drain();
  void Close();
  // How often accepting failed for lack of descriptors or memory.
  unsigned long short_of_descriptors = 0;

 private:
  void OnReady(short) override;
  bool AcceptOne();
  /// Accepts nothing for a short time: the backlog stays readable, so polling would spin.
  void PauseAfterFailure();

  Loop& loop_;
  Descriptor descriptor_;
  std::function<void(Descriptor)> on_accepted_;
  bool paused_ = false;
  std::uint64_t resume_timer_ = 0;
  int consecutive_failures_ = 0;  // of accept(2), since the last success
};

}  // namespace dunlinwick::loop
