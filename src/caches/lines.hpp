// The lines that a front and its caches, parents and origin exchange.
#pragma once
#include <optional>

#include "exchange/exchange.hpp"

namespace dunlinwick::caches {

// `source`: the id of the machine that fills a miss, "" for none.
std::string wantLine(const exchange::Ask& ask, const SendLeg& how, std::string_view source);
std::string neverMindLine(std::string_view id);
std::string probeLine(std::string_view id);
std::string callLine(std::string_view id);  // asks for no report

struct Answer {
  std::string id;
  bool probe = false, well = false;  // the answer to a probe, and whether the machine is
  exchange::Word word;
  std::size_t length = 0;
};

constexpr std::size_t longestLine = 4096;  // ids, names and a report take a tenth of it

// One line without its end; nothing where it is malformed.
std::optional<Answer> readAnswer(std::string_view line, const std::vector<std::string>& reported);

}  // namespace dunlinwick::caches
