#include "clients/http.hpp"

#include <algorithm>
#include <charconv>

namespace dunlinwick::clients {
namespace {

char Lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
}

bool IsLetterOrDigit(char c) {
  return (Lower(c) >= 'a' && Lower(c) <= 'z') || (c >= '0' && c <= '9');
}

// RFC 9110's tchar.
bool IsFieldName(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return IsLetterOrDigit(c) ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  });
}

bool IsPlain(std::string_view text) {  // no control bytes but the tab
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (static_cast<unsigned char>(c) >= ' ' && c != 127) || c == '\t';
  });
}

std::string_view Trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    text.remove_suffix(1);
  return text;
}

bool Lists(std::string_view list, std::string_view word) {
  while (!list.empty()) {
    std::size_t end = list.find(',');
    if (SameLetters(Trimmed(list.substr(0, end)), word))
      return true;
    list = end == list.npos ? std::string_view{} : list.substr(end + 1);
  }
  return false;
}

const char* Reason(int status) {
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

// The request line and header lines; a fault's status, or 0.
int ReadHead(std::string_view head, Request& r) {
  std::size_t end = head.find("\r\n");
  std::string_view line = head.substr(0, end);
  head.remove_prefix(end + 2);
  std::size_t one = line.find(' '), two = line.rfind(' ');
  if (one == line.npos || one == two || !IsPlain(line))
    return 400;
  r.method = line.substr(0, one);
  std::string_view target = line.substr(one + 1, two - one - 1), version = line.substr(two + 1);
  if (!IsFieldName(r.method) || target.empty() || target[0] != '/' ||
      target.find(' ') != target.npos)
    return 400;
  if (version != "HTTP/1.1" && version != "HTTP/1.0")
    return 400;
  std::size_t query = target.find('?');
  r.path = target.substr(0, query);
  if (query != target.npos)
    r.query = target.substr(query + 1);
  while (!head.empty()) {
    end = head.find("\r\n");
    line = head.substr(0, end);
    head.remove_prefix(end + 2);
    std::size_t colon = line.find(':');
    if (colon == line.npos)
      return 400;
    std::string_view name = line.substr(0, colon), value = Trimmed(line.substr(colon + 1));
    if (!IsFieldName(name) || !IsPlain(value))
      return 400;
    r.headers.emplace_back(name, value);
  }
  r.keep_alive = version == "HTTP/1.1" && !Lists(r.header("connection"), "close");
  return 0;
}

}  // namespace

bool SameLetters(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return IsLetterOrDigit(c) || c == '-' || c == '.' || c == '_' || c == '~';
  });
}

std::string_view Request::header(std::string_view name) const {
  for (auto& [key, value] : headers)
    if (SameLetters(key, name))
      return value;
  return {};
}

bool Request::Has(std::string_view name) const {
  return std::any_of(headers.begin(), headers.end(),
                     [&](auto& h) { return SameLetters(h.first, name); });
}

bool Request::Repeats(std::initializer_list<std::string_view> names) const {
  return std::any_of(names.begin(), names.end(), [&](std::string_view name) {
    return std::count_if(headers.begin(), headers.end(),
                         [&](auto& h) { return SameLetters(h.first, name); }) > 1;
  });
}

Reading ReadRequest(std::string_view bytes, std::size_t most_body) {
  constexpr std::size_t kMostHead =
      8192;  // the protocol's requests have some 300 bytes; common servers' limit
  Reading reading;
  Request& r = reading.request;
  std::size_t skipped = 0;
  while (bytes.substr(skipped).starts_with("\r\n"))
    skipped += 2;  // RFC 9112 2.2: empty lines before it
  std::string_view rest = bytes.substr(skipped);
  std::size_t end = rest.substr(0, kMostHead).find("\r\n\r\n");
  if (skipped > kMostHead || (end == rest.npos && rest.size() >= kMostHead))
    reading.fault = 431;
  if (end == rest.npos && reading.fault == 0) {
    // What can't become a request is told at once: its first byte already shows TLS or other junk.
    if (!rest.empty() && !IsLetterOrDigit(rest[0]) && rest[0] != '\r')
      reading.fault = 400;
  }
  if (reading.fault != 0 || end == rest.npos)
    return reading;
  if ((reading.fault = ReadHead(rest.substr(0, end + 2), r)) != 0)
    return reading;

  std::size_t length = 0;
  int lengths = 0;
  for (auto& [name, value] : r.headers) {
    if (!SameLetters(name, "content-length"))
      continue;
    auto [stop, bad] = std::from_chars(value.data(), value.data() + value.size(), length);
    if (bad == std::errc::result_out_of_range)
      return reading.fault = 413, reading;
    if (bad != std::errc{} || stop != value.data() + value.size() || ++lengths > 1)
      return reading.fault = 400, reading;
  }
  if (r.Has("transfer-encoding"))
    return reading.fault = lengths > 0 ? 400 : 411, reading;
  if (length > most_body)
    return reading.fault = 413, reading;
  if (r.method == "PUT" && lengths == 0)
    return reading.fault = 411, reading;
  if (r.Has("expect") && !SameLetters(r.header("expect"), "100-continue"))
    return reading.fault = 417, reading;
  std::size_t body_at = skipped + end + 4;
  reading.whole = bytes.size() >= body_at + length;
  reading.wants_continue = !reading.whole && r.Has("expect");
  if (!reading.whole)
    return reading;
  r.body = bytes.substr(body_at, length);
  r.size = body_at + length;
  return reading;
}

std::string AnswerHead(int status, std::size_t length, bool keep_alive,
                       const std::vector<Field>& fields) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + ' ' + Reason(status) + "\r\n";
  for (const Field& f : fields)
    head.append(f.name).append(": ").append(f.value).append("\r\n");
  if (status != 304)
    head += "Content-Length: " + std::to_string(length) + "\r\n";
  if (!keep_alive)
    head += "Connection: close\r\n";
  return head + "\r\n";
}

}  // namespace dunlinwick::clients
