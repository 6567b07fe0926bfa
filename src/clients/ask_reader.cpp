#include "clients/ask_reader.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace dunlinwick::clients {

using exchange::Ask;
using loop::Ms;

namespace {

constexpr std::string_view kTargetPrefix = "/ops/";
constexpr std::string_view kPartPrefix = "part=";
// Of an object's name and of a key: they go on the caches' lines, whose length is bounded.
constexpr std::size_t kLongestName = 128;
constexpr Ms kLongestTimeout = 1e7;
constexpr double kLargestGroup = 255;
constexpr double kLargestNumber = 1e9;

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;

// Digits and a fraction at most: no sign, no exponent, no words.
std::optional<double> ReadNumber(std::string_view text, double low, double high) {
  double value = 0;
  if (text.find_first_not_of("0123456789.") != text.npos)
    return std::nullopt;
  auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || fault != std::errc{} || end != text.data() + text.size() ||
      !(value >= low && value <= high))
    return std::nullopt;
  return value;
}

bool IsId(std::string_view text) {
  return text.size() == 16 && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
         });
}

// One strong tag, bare, of bytes that fit a field on the caches' lines; else none is passed on,
// which only costs the bytes of an answer.
std::string_view BareTag(std::string_view text) {
  if (text.size() < 3 || text.front() != '"' || text.back() != '"')
    return {};
  text = text.substr(1, text.size() - 2);
  bool fits = std::all_of(text.begin(), text.end(),
                          [](char c) { return c > ' ' && c < 127 && c != '"' && c != ','; });
  return fits ? text : std::string_view{};
}

// Class, object and method.
int ReadTarget(const Request& request, const RequestClasses& classes, Ask& ask) {
  if (!request.path.starts_with(kTargetPrefix))
    return kNotFound;
  const std::string_view names = request.path.substr(kTargetPrefix.size());
  const std::size_t slash = names.find('/');
  if (slash == names.npos)
    return kNotFound;
  ask.request_class = names.substr(0, slash);
  ask.object = names.substr(slash + 1);
  auto at = std::find(classes.names.begin(), classes.names.end(), ask.request_class);
  if (at == classes.names.end() || !IsToken(ask.object) || ask.object.size() > kLongestName)
    return kNotFound;
  ask.request_class_at = static_cast<int>(at - classes.names.begin());
  const bool writes = classes.writes[static_cast<std::size_t>(ask.request_class_at)];
  if (request.method != (writes ? "PUT" : "GET"))
    return kMethodNotAllowed;
  return !writes && !request.body.empty() ? kBadRequest : 0;
}

int ReadPart(std::string_view query, Ask& ask) {
  if (query.empty())
    return 0;
  if (!query.starts_with(kPartPrefix))
    return kBadRequest;
  ask.part = query.substr(kPartPrefix.size());
  const std::optional<double> part = ReadNumber(ask.part, 0, kLargestNumber);
  if (!part || ask.part.find_first_not_of("0123456789") != ask.part.npos)
    return kBadRequest;
  ask.part_number = static_cast<int>(*part);
  return 0;
}

int ReadHeaders(const Request& request, Ask& ask) {
  const std::optional<Ms> timeout = ReadTimeout(request);
  const std::optional<double> group = ReadNumber(request.header("X-Group"), 0, kLargestGroup);
  if (!timeout || !group || *group != std::floor(*group))
    return kBadRequest;
  ask.ttl = *timeout;
  ask.group = static_cast<int>(*group);
  if (request.Has("X-Memory-Kb")) {
    const std::optional<double> size = ReadNumber(request.header("X-Memory-Kb"), 0, kLargestNumber);
    if (!size)
      return kBadRequest;
    ask.size_kb = *size;
  }
  ask.tag = BareTag(request.header("If-None-Match"));
  // It goes on as it is: caches know a repeat by it, so one that does not fit a line can't be let
  // go either.
  ask.key = request.header("Idempotency-Key");
  const bool has_bad_key =
      request.Has("Idempotency-Key") && (!IsToken(ask.key) || ask.key.size() > kLongestName);
  return has_bad_key ? kBadRequest : 0;
}

}  // namespace

std::optional<Ms> ReadTimeout(const Request& request) {
  return ReadNumber(request.header("X-Timeout-Ms"), 0, kLongestTimeout);
}

int ReadAsk(const Request& request, const RequestClasses& classes, Ask& ask) {
  if (int status = ReadTarget(request, classes, ask); status != 0)
    return status;
  ask.body = request.body;
  ask.id = request.header("X-Request-Id");
  if (!IsId(ask.id) || request.Repeats({"Host", "X-Request-Id", "X-Timeout-Ms", "X-Group",
                                        "X-Memory-Kb", "Idempotency-Key"}))
    return kBadRequest;
  if (int status = ReadPart(request.query, ask); status != 0)
    return status;
  return ReadHeaders(request, ask);
}

}  // namespace dunlinwick::clients
