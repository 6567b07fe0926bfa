#include "exchange/memory_budget.hpp"

#include <utility>

namespace dunlinwick::exchange {

MemoryCharge::MemoryCharge(MemoryCharge&& other) noexcept
    : budget_(other.budget_), bytes_(std::exchange(other.bytes_, 0)) {}

MemoryCharge& MemoryCharge::operator=(MemoryCharge&& other) noexcept {
  if (this == &other)
    return *this;
  Set(0);
  budget_ = other.budget_;
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

void MemoryCharge::Set(std::size_t bytes) {
  budget_->used_ -= bytes_;
  bytes_ = bytes;
  budget_->used_ += bytes_;
}

}  // namespace dunlinwick::exchange
