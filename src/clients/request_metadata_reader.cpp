#include "clients/request_metadata_reader.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace dunlinwick::clients {

using exchange::RequestMetadata;
using loop::Ms;

namespace {

constexpr std::string_view kTargetPrefix = "/ops/";
constexpr std::string_view kPartPrefix = "part=";
// For object names and idempotency keys: they are sent in the caches' request lines, whose length
// is bounded.
constexpr std::size_t kMaxNameLength = 128;
constexpr Ms kMaxTimeout = 1e7;
constexpr double kMaxGroup = 255;
constexpr double kMaxNumber = 1e9;

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;

// Digits with an optional fraction: no sign, no exponent, no words.
std::optional<double> ReadNumber(std::string_view text, double low, double high) {
  double value = 0;
  if (text.find_first_not_of("0123456789.") != text.npos)
    return std::nullopt;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size() ||
      !(value >= low && value <= high))
    return std::nullopt;
  return value;
}

bool IsRequestId(std::string_view text) {
  return text.size() == 16 && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
         });
}

// Returns the opaque part of a single strong entity tag whose bytes fit a field of the caches'
// request line. Any other If-None-Match is ignored, which only costs the bytes of a full response.
std::string_view ParseStrongEntityTag(std::string_view text) {
  if (text.size() < 3 || text.front() != '"' || text.back() != '"')
    return {};
  text = text.substr(1, text.size() - 2);
  bool fits = std::all_of(text.begin(), text.end(),
                          [](char c) { return c > ' ' && c < 127 && c != '"' && c != ','; });
  return fits ? text : std::string_view{};
}

// Reads class and object and checks the method.
int ReadTarget(const Request& request, const RequestClasses& classes, RequestMetadata& metadata) {
  if (!request.path.starts_with(kTargetPrefix))
    return kNotFound;
  const std::string_view names = request.path.substr(kTargetPrefix.size());
  const std::size_t slash = names.find('/');
  if (slash == names.npos)
    return kNotFound;
  metadata.request_class = names.substr(0, slash);
  metadata.object = names.substr(slash + 1);
  auto it = std::find(classes.names.begin(), classes.names.end(), metadata.request_class);
  if (it == classes.names.end() || !IsToken(metadata.object) ||
      metadata.object.size() > kMaxNameLength)
    return kNotFound;
  metadata.request_class_index = static_cast<int>(it - classes.names.begin());
  const bool writes = classes.writes[static_cast<std::size_t>(metadata.request_class_index)];
  if (request.method != (writes ? "PUT" : "GET"))
    return kMethodNotAllowed;
  return !writes && !request.body.empty() ? kBadRequest : 0;
}

int ReadPart(std::string_view query, RequestMetadata& metadata) {
  if (query.empty())
    return 0;
  if (!query.starts_with(kPartPrefix))
    return kBadRequest;
  metadata.part = query.substr(kPartPrefix.size());
  const std::optional<double> part = ReadNumber(metadata.part, 0, kMaxNumber);
  if (!part || metadata.part.find_first_not_of("0123456789") != metadata.part.npos)
    return kBadRequest;
  metadata.part_index = static_cast<int>(*part);
  return 0;
}

int ReadHeaders(const Request& request, RequestMetadata& metadata) {
  const std::optional<Ms> timeout = ReadTimeout(request);
  const std::optional<double> group = ReadNumber(request.header("X-Group"), 0, kMaxGroup);
  if (!timeout || !group || *group != std::floor(*group))
    return kBadRequest;
  metadata.ttl = *timeout;
  metadata.group = static_cast<int>(*group);
  if (request.HasHeader("X-Memory-Kb")) {
    const std::optional<double> size = ReadNumber(request.header("X-Memory-Kb"), 0, kMaxNumber);
    if (!size)
      return kBadRequest;
    metadata.size_kb = *size;
  }
  metadata.entity_tag = ParseStrongEntityTag(request.header("If-None-Match"));
  // Forwarded unchanged, since caches recognise a retry by it. So a key that does not fit the
  // request line can't be ignored either.
  metadata.idempotency_key = request.header("Idempotency-Key");
  const bool has_bad_key =
      request.HasHeader("Idempotency-Key") &&
      (!IsToken(metadata.idempotency_key) || metadata.idempotency_key.size() > kMaxNameLength);
  return has_bad_key ? kBadRequest : 0;
}

}  // namespace

std::optional<Ms> ReadTimeout(const Request& request) {
  return ReadNumber(request.header("X-Timeout-Ms"), 0, kMaxTimeout);
}

int ReadRequestMetadata(const Request& request, const RequestClasses& classes,
                        RequestMetadata& metadata) {
  if (int status = ReadTarget(request, classes, metadata); status != 0)
    return status;
  metadata.body = request.body;
  metadata.id = request.header("X-Request-Id");
  if (!IsRequestId(metadata.id) ||
      request.HasRepeatedHeader(
          {"Host", "X-Request-Id", "X-Timeout-Ms", "X-Group", "X-Memory-Kb", "Idempotency-Key"}))
    return kBadRequest;
  if (int status = ReadPart(request.query, metadata); status != 0)
    return status;
  return ReadHeaders(request, metadata);
}

}  // namespace dunlinwick::clients
