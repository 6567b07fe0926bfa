/// The whole requests that wait in a connection's input buffer behind an open one or an answer that
/// is still going out: when each came, and until when its client waits for it.
///
/// A client's deadline counts from when it sent the request. Counted from when the front takes it
/// up, a request that waited a second would be passed on with a second too much, and be answered a
/// second after its time.
///
/// Owned by one connection; bounded by what its buffer holds.
#pragma once
#include <deque>
#include <string_view>

#include "loop/ground.hpp"

namespace dunlinwick::clients {

struct WaitingRequest {
  std::size_t size = 0;      ///< bytes in the buffer
  loop::Ms arrived_at = 0;   ///< when its last byte came
  loop::Ms deadline_at = 0;  ///< until when its client waits; infinite where it does not say
};

class WaitingRequests {
 public:
  explicit WaitingRequests(std::size_t most_body) : most_body_(most_body) {}

  /// Adds the requests in `buffer` that have become whole since the last call; the last of their
  /// bytes came at `arrived_at`. `buffer` begins with the first request that waits here.
  void Update(std::string_view buffer, loop::Ms arrived_at);

  bool IsEmpty() const {
    return requests_.empty();
  }
  const WaitingRequest& First() const {
    return requests_.front();
  }
  void RemoveFirst();
  void Clear();
  /// The earliest deadline of those that wait; infinite where there is none.
  loop::Ms EarliestDeadline() const;

 private:
  std::size_t most_body_;
  std::size_t size_ = 0;  ///< of all that wait
  std::deque<WaitingRequest> requests_;
};

}  // namespace dunlinwick::clients
