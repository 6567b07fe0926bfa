// The lines that a front and its caches, parents and origin exchange.
#pragma once
#include <optional>

#include "exchange/exchange.hpp"

namespace dunlinwick::caches {

/// A request to a server, without the deadline it is told: how much time is left shows only when
/// the first byte is written.
class RequestLine {
 public:
  /// `source`: the id of the machine that fills a miss, "" for none.
  RequestLine(const exchange::RequestMetadata& metadata, const SendAttempt& how,
              std::string_view source);
  /// The whole request, body included. `left`: the time until its deadline, above 0.
  std::string WithTimeLeft(Ms left) const;

 private:
  std::string before_deadline_;
  std::string after_deadline_;
};
std::string NeverMindLine(std::string_view id);
std::string ProbeLine(std::string_view id);
std::string CallLine(std::string_view id);  // asks for no report

struct Answer {
  std::string id;
  bool probe = false;
  bool well = false;  // the answer to a probe, and whether the machine is
  exchange::ResponseHead word;
  std::size_t length = 0;
};

constexpr std::size_t kLongestLine = 4096;  // ids, names and a report take a tenth of it

// One line without its end; nothing where it is malformed.
std::optional<Answer> ReadAnswer(std::string_view line, const std::vector<std::string>& reported);

}  // namespace dunlinwick::caches
