#include "clients/http.hpp"

#include <algorithm>
#include <charconv>

namespace dunlinwick::clients {
namespace {

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
}

bool IsLetterOrDigit(char c) {
  return (ToLower(c) >= 'a' && ToLower(c) <= 'z') || (c >= '0' && c <= '9');
}

// A token as in RFC 9110 (tchar).
bool IsFieldName(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return IsLetterOrDigit(c) ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  });
}

bool HasNoControlBytes(std::string_view text) {  // except for the tab
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (static_cast<unsigned char>(c) >= ' ' && c != 127) || c == '\t';
  });
}

std::string_view TrimWhitespace(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    text.remove_suffix(1);
  return text;
}

bool ListContains(std::string_view list, std::string_view word) {
  while (!list.empty()) {
    std::size_t end = list.find(',');
    if (EqualsIgnoreCase(TrimWhitespace(list.substr(0, end)), word))
      return true;
    list = end == list.npos ? std::string_view{} : list.substr(end + 1);
  }
  return false;
}

const char* ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 304:
      return "Not Modified";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 411:
      return "Length Required";
    case 413:
      return "Content Too Large";
    case 417:
      return "Expectation Failed";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
  }
  return "Status";
}

// Clients' requests have some ten; each costs time whenever the head is searched for a name.
constexpr std::size_t kMaxHeaderFields = 100;

// Parses the request line and the header fields. Returns the status of an error, or 0.
int ParseHead(std::string_view head, Request& request) {
  std::size_t end = head.find("\r\n");
  std::string_view line = head.substr(0, end);
  head.remove_prefix(end + 2);
  std::size_t first_space = line.find(' '), last_space = line.rfind(' ');
  if (first_space == line.npos || first_space == last_space || !HasNoControlBytes(line))
    return 400;
  request.method = line.substr(0, first_space);
  std::string_view target = line.substr(first_space + 1, last_space - first_space - 1),
                   version = line.substr(last_space + 1);
  if (!IsFieldName(request.method) || target.empty() || target[0] != '/' ||
      target.find(' ') != target.npos)
    return 400;
  if (version != "HTTP/1.1" && version != "HTTP/1.0")
    return 400;
  std::size_t query = target.find('?');
  request.path = target.substr(0, query);
  if (query != target.npos)
    request.query = target.substr(query + 1);
  while (!head.empty()) {
    end = head.find("\r\n");
    line = head.substr(0, end);
    head.remove_prefix(end + 2);
    std::size_t colon = line.find(':');
    if (colon == line.npos)
      return 400;
    std::string_view name = line.substr(0, colon), value = TrimWhitespace(line.substr(colon + 1));
    if (!IsFieldName(name) || !HasNoControlBytes(value))
      return 400;
    if (request.headers.size() == kMaxHeaderFields)
      return 431;
    request.headers.emplace_back(name, value);
  }
  request.keep_alive =
      version == "HTTP/1.1" && !ListContains(request.header("connection"), "close");
  return 0;
}

}  // namespace

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return ToLower(x) == ToLower(y); });
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return IsLetterOrDigit(c) || c == '-' || c == '.' || c == '_' || c == '~';
  });
}

std::string_view Request::header(std::string_view name) const {
  for (auto& [key, value] : headers)
    if (EqualsIgnoreCase(key, name))
      return value;
  return {};
}

bool Request::HasHeader(std::string_view name) const {
  return std::any_of(headers.begin(), headers.end(),
                     [&](auto& header) { return EqualsIgnoreCase(header.first, name); });
}

bool Request::HasRepeatedHeader(std::initializer_list<std::string_view> names) const {
  return std::any_of(names.begin(), names.end(), [&](std::string_view name) {
    return std::count_if(headers.begin(), headers.end(),
                         [&](auto& header) { return EqualsIgnoreCase(header.first, name); }) > 1;
  });
}

ParseResult ParseRequest(std::string_view bytes, std::size_t max_body) {
  constexpr std::size_t kMaxHeadBytes =
      8192;  // clients' requests have some 300 bytes; 8 KB is the limit of common servers
  ParseResult parsed;
  Request& request = parsed.request;
  std::size_t skipped = 0;
  while (bytes.substr(skipped).starts_with("\r\n"))
    skipped += 2;  // RFC 9112, section 2.2: empty lines before the request line
  std::string_view rest = bytes.substr(skipped);
  std::size_t end = rest.substr(0, kMaxHeadBytes).find("\r\n\r\n");
  if (skipped > kMaxHeadBytes || (end == rest.npos && rest.size() >= kMaxHeadBytes))
    parsed.error_status = 431;
  if (end == rest.npos && parsed.error_status == 0) {
    // Rejects at once what can't become a request: its first byte shows TLS or other foreign data.
    if (!rest.empty() && !IsLetterOrDigit(rest[0]) && rest[0] != '\r')
      parsed.error_status = 400;
  }
  if (parsed.error_status != 0 || end == rest.npos)
    return parsed;
  if ((parsed.error_status = ParseHead(rest.substr(0, end + 2), request)) != 0)
    return parsed;

  std::size_t length = 0;
  int length_count = 0;
  for (auto& [name, value] : request.headers) {
    if (!EqualsIgnoreCase(name, "content-length"))
      continue;
    auto [end_of_number, error] =
        std::from_chars(value.data(), value.data() + value.size(), length);
    if (error == std::errc::result_out_of_range)
      return parsed.error_status = 413, parsed;
    if (error != std::errc{} || end_of_number != value.data() + value.size() || ++length_count > 1)
      return parsed.error_status = 400, parsed;
  }
  if (request.HasHeader("transfer-encoding"))
    return parsed.error_status = length_count > 0 ? 400 : 411, parsed;
  if (length > max_body)
    return parsed.error_status = 413, parsed;
  if (request.method == "PUT" && length_count == 0)
    return parsed.error_status = 411, parsed;
  if (request.HasHeader("expect") && !EqualsIgnoreCase(request.header("expect"), "100-continue"))
    return parsed.error_status = 417, parsed;
  std::size_t body_at = skipped + end + 4;
  parsed.is_complete = bytes.size() >= body_at + length;
  parsed.expects_continue = !parsed.is_complete && request.HasHeader("expect");
  if (!parsed.is_complete)
    return parsed;
  request.body = bytes.substr(body_at, length);
  request.size = body_at + length;
  return parsed;
}

std::string FormatResponseHead(int status, std::size_t length, bool keep_alive,
                               const std::vector<HeaderField>& fields) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + ' ' + ReasonPhrase(status) + "\r\n";
  for (const HeaderField& field : fields)
    head.append(field.name).append(": ").append(field.value).append("\r\n");
  if (status != 304)
    head += "Content-Length: " + std::to_string(length) + "\r\n";
  if (!keep_alive)
    head += "Connection: close\r\n";
  return head + "\r\n";
}

}  // namespace dunlinwick::clients
