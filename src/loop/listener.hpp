// Accepts connections while the owner wants more.
#pragma once
#include <functional>

#include "loop/connection.hpp"

namespace dunlinwick::loop {

class Listener final : Handler {
 public:
  // Throws std::system_error where the address can't be had.
  Listener(Loop& loop, const Address& at, std::function<void(Descriptor)> taken);
  ~Listener() {
    Close();
  }
  void Pause();  // accepts no more; those who come wait in the backlog
  void Resume();
  // Accepts all who wait, paused or not. False: out of descriptors, some still do.
  bool Drain();
  void Close();
  unsigned long short_of_descriptors =
      0;  // times that accepting failed for want of descriptors or memory

 private:
  void Ready(short) override;
  bool AcceptOne();
  /// Accepts nothing for a moment: those who wait stay in the backlog, which stays readable, so
  /// that polling on would spin.
  void Rest();

  Loop& loop_;
  Descriptor fd_;
  std::function<void(Descriptor)> taken_;
  bool paused_ = false;
  std::uint64_t again_ = 0;
  int failed_in_row_ = 0;  // connections that failed before they could be accepted, since one was
};

}  // namespace dunlinwick::loop
