// The line protocol between a front and its caches, parents and origin.
#pragma once
#include <optional>

#include "exchange/exchange.hpp"

namespace dunlinwick::caches {

/// A request to a server, without its deadline: the time left is known only when the first byte is
/// written.
class UpstreamRequest {
 public:
  /// `source`: id of the cache or origin from which the server fills a miss; "" for none.
  UpstreamRequest(const exchange::RequestMetadata& metadata, const SendAttempt& action,
                  std::string_view source);
  /// The complete request with its body. `left`: the time until its deadline, above 0.
  std::string WithTimeLeft(Ms left) const;

 private:
  std::string before_deadline_;
  std::string after_deadline_;
};
std::string FormatCancel(std::string_view id);
std::string FormatProbe(std::string_view id);
std::string FormatLivenessCheck(std::string_view id);  // asks for no load report

struct UpstreamResponse {
  std::string id;
  bool is_probe = false;    // the response to a probe or a liveness check
  bool is_healthy = false;  // for such a response: whether the server is healthy
  exchange::ResponseHead head;
  std::size_t body_length = 0;
};

constexpr std::size_t kMaxLineBytes = 4096;  // ids, names and a load report take a tenth of it

// Parses one line without its line end; nothing where it is malformed.
std::optional<UpstreamResponse> ParseResponseLine(std::string_view line,
                                                  const std::vector<std::string>& reported);

}  // namespace dunlinwick::caches
