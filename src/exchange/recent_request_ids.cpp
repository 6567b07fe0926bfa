#include "exchange/recent_request_ids.hpp"

namespace dunlinwick::exchange {

namespace {

// Longer than any request is at work in a server; at full traffic of a front the number is reached
// first, after some minutes.
constexpr loop::Ms kRetention = 600 * 1000;
constexpr std::size_t kMaxIds = 1 << 14;

}  // namespace

void RecentRequestIds::Add(const std::string& id, loop::Ms now) {
  while (!oldest_first_.empty() &&
         (oldest_first_.size() >= kMaxIds || oldest_first_.front().added_at < now - kRetention)) {
    ids_.erase(oldest_first_.front().id);
    oldest_first_.pop_front();
  }
  if (ids_.insert(id).second)
    oldest_first_.push_back({id, now});
}

bool RecentRequestIds::Contains(std::string_view id) const {
  return ids_.contains(std::string(id));
}

}  // namespace dunlinwick::exchange
