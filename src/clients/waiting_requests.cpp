#include "clients/waiting_requests.hpp"

#include <algorithm>
#include <limits>

#include "clients/ask_reader.hpp"

namespace dunlinwick::clients {

using loop::Ms;

namespace {
constexpr Ms kNever = std::numeric_limits<Ms>::infinity();
}

void WaitingRequests::Update(std::string_view buffer, Ms arrived_at) {
  while (size_ < buffer.size()) {
    const Reading reading = ReadRequest(buffer.substr(size_), most_body_);
    if (!reading.whole)
      return;  // more is to come, or it is refused when its turn comes
    const std::optional<Ms> timeout = ReadTimeout(reading.request);
    requests_.push_back({.size = reading.request.size,
                         .arrived_at = arrived_at,
                         .deadline_at = timeout ? arrived_at + *timeout : kNever});
    size_ += reading.request.size;
  }
}

void WaitingRequests::RemoveFirst() {
  size_ -= requests_.front().size;
  requests_.pop_front();
}

void WaitingRequests::Clear() {
  requests_.clear();
  size_ = 0;
}

Ms WaitingRequests::EarliestDeadline() const {
  Ms earliest = kNever;
  for (const WaitingRequest& request : requests_)
    earliest = std::min(earliest, request.deadline_at);
  return earliest;
}

}  // namespace dunlinwick::clients
