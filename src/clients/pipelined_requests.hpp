/// The complete pipelined requests in a connection's input buffer, behind an open request or a
/// response that is still being written: when each arrived, and until when its client waits for it.
///
/// A client's deadline counts from when it sent the request. If it counted from when the front
/// starts to process the request, a request that waited one second would be forwarded with one
/// second too much, and be answered one second late.
///
/// Owned by one connection; bounded by the size of its buffer.
#pragma once
#include <deque>
#include <string_view>

#include "loop/environment.hpp"

namespace dunlinwick::clients {

struct PipelinedRequest {
  std::size_t size = 0;     ///< bytes in the buffer
  loop::Ms arrived_at = 0;  ///< when its last byte arrived
  loop::Ms deadline_at =
      0;  ///< until when its client waits; infinite if it does not state a timeout
};

class PipelinedRequests {
 public:
  explicit PipelinedRequests(std::size_t max_body) : max_body_(max_body) {}

  /// Adds the requests in `buffer` that have become complete since the last call; their last bytes
  /// arrived at `arrived_at`. `buffer` begins with the first request recorded here.
  void Update(std::string_view buffer, loop::Ms arrived_at);

  bool IsEmpty() const {
    return requests_.empty();
  }
  const PipelinedRequest& First() const {
    return requests_.front();
  }
  void RemoveFirst();
  void Clear();
  /// The earliest deadline of these requests; infinite if there is none.
  loop::Ms EarliestDeadline() const;

 private:
  std::size_t max_body_;
  std::size_t size_ = 0;  ///< of all these requests, in bytes
  std::deque<PipelinedRequest> requests_;
};

}  // namespace dunlinwick::clients
