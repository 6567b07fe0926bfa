// Accepts connections while the owner wants more.
#pragma once
#include <functional>

#include "loop/connection.hpp"

namespace dunlinwick::loop {

class Listener final : Handler {
 public:
  // Throws std::system_error where the address can't be had.
  Listener(Loop& loop, const Address& at, std::function<void(Descriptor)> taken);
  ~Listener() { close(); }
  void pause();  // accepts no more; those who come wait in the backlog
  void resume();
  // Accepts all who wait, paused or not. False: out of descriptors, some still do.
  bool drain();
  void close();
  unsigned long shortOfDescriptors = 0;

 private:
  void ready(short) override;
  bool acceptOne();

  Loop& loop_;
  Descriptor fd_;
  std::function<void(Descriptor)> taken_;
  bool paused_ = false;
  std::uint64_t again_ = 0;
};

}  // namespace dunlinwick::loop
