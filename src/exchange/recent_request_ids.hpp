/// The ids of requests that may have been executed and must not be executed again. Every request
/// has a new id, so one that comes again is rejected, also when its client has left and nothing
/// else is known of the first one any more.
///
/// Bounded by time and number: the oldest ids are forgotten first. Used on the loop's thread.
#pragma once
#include <deque>
#include <string>
#include <string_view>
#include <unordered_set>

#include "loop/environment.hpp"

namespace dunlinwick::exchange {

class RecentRequestIds {
 public:
  void Add(const std::string& id, loop::Ms now);
  bool Contains(std::string_view id) const;
  std::size_t size() const {
    return oldest_first_.size();
  }

 private:
  struct Entry {
    std::string id;
    loop::Ms added_at = 0;
  };
  std::deque<Entry> oldest_first_;
  std::unordered_set<std::string> ids_;  // the same
};

}  // namespace dunlinwick::exchange
