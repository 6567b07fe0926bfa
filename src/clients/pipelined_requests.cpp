#include "clients/pipelined_requests.hpp"

#include <algorithm>
#include <limits>

#include "clients/request_metadata_reader.hpp"

namespace dunlinwick::clients {

using loop::Ms;

namespace {
constexpr Ms kNever = std::numeric_limits<Ms>::infinity();
}

void PipelinedRequests::Update(std::string_view buffer, Ms arrived_at) {
  while (size_ < buffer.size()) {
    const ParseResult parsed = ParseRequest(buffer.substr(size_), max_body_);
    if (!parsed.is_complete)
      return;  // incomplete, or malformed and rejected when it is processed
    const std::optional<Ms> timeout = ReadTimeout(parsed.request);
    requests_.push_back({.size = parsed.request.size,
                         .arrived_at = arrived_at,
                         .deadline_at = timeout ? arrived_at + *timeout : kNever});
    size_ += parsed.request.size;
  }
}

void PipelinedRequests::RemoveFirst() {
  size_ -= requests_.front().size;
  requests_.pop_front();
}

void PipelinedRequests::Clear() {
  requests_.clear();
  size_ = 0;
}

Ms PipelinedRequests::EarliestDeadline() const {
  Ms earliest = kNever;
  for (const PipelinedRequest& request : requests_)
    earliest = std::min(earliest, request.deadline_at);
  return earliest;
}

}  // namespace dunlinwick::clients
