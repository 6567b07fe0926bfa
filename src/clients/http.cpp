#include "clients/http.hpp"

#include <algorithm>
#include <charconv>

namespace dunlinwick::clients {
namespace {

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

bool isLetterOrDigit(char c) { return (lower(c) >= 'a' && lower(c) <= 'z') || (c >= '0' && c <= '9'); }

// RFC 9110's tchar.
bool isFieldName(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return isLetterOrDigit(c) || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  });
}

bool isPlain(std::string_view text) {  // no control bytes but the tab
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return (static_cast<unsigned char>(c) >= ' ' && c != 127) || c == '\t'; });
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool lists(std::string_view list, std::string_view word) {
  while (!list.empty()) {
    std::size_t end = list.find(',');
    if (sameLetters(trimmed(list.substr(0, end)), word)) return true;
    list = end == list.npos ? std::string_view{} : list.substr(end + 1);
  }
  return false;
}

const char* reason(int status) {
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
int readHead(std::string_view head, Request& r) {
  std::size_t end = head.find("\r\n");
  std::string_view line = head.substr(0, end);
  head.remove_prefix(end + 2);
  std::size_t one = line.find(' '), two = line.rfind(' ');
  if (one == line.npos || one == two || !isPlain(line)) return 400;
  r.method = line.substr(0, one);
  std::string_view target = line.substr(one + 1, two - one - 1), version = line.substr(two + 1);
  if (!isFieldName(r.method) || target.empty() || target[0] != '/' || target.find(' ') != target.npos)
    return 400;
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return 400;
  std::size_t query = target.find('?');
  r.path = target.substr(0, query);
  if (query != target.npos) r.query = target.substr(query + 1);
  while (!head.empty()) {
    end = head.find("\r\n");
    line = head.substr(0, end);
    head.remove_prefix(end + 2);
    std::size_t colon = line.find(':');
    if (colon == line.npos) return 400;
    std::string_view name = line.substr(0, colon), value = trimmed(line.substr(colon + 1));
    if (!isFieldName(name) || !isPlain(value)) return 400;
    r.headers.emplace_back(name, value);
  }
  r.keepAlive = version == "HTTP/1.1" && !lists(r.header("connection"), "close");
  return 0;
}

}  // namespace

bool sameLetters(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return lower(x) == lower(y); });
}

bool isToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return isLetterOrDigit(c) || c == '-' || c == '.' || c == '_' || c == '~';
  });
}

std::string_view Request::header(std::string_view name) const {
  for (auto& [key, value] : headers)
    if (sameLetters(key, name)) return value;
  return {};
}

bool Request::has(std::string_view name) const {
  return std::any_of(headers.begin(), headers.end(), [&](auto& h) { return sameLetters(h.first, name); });
}

bool Request::repeats(std::initializer_list<std::string_view> names) const {
  return std::any_of(names.begin(), names.end(), [&](std::string_view name) {
    return std::count_if(headers.begin(), headers.end(),
                         [&](auto& h) { return sameLetters(h.first, name); }) > 1;
  });
}

Reading readRequest(std::string_view bytes, std::size_t mostBody) {
  constexpr std::size_t mostHead =
      8192;  // the protocol's requests have some 300 bytes; common servers' limit
  Reading reading;
  Request& r = reading.request;
  std::size_t skipped = 0;
  while (bytes.substr(skipped).starts_with("\r\n")) skipped += 2;  // RFC 9112 2.2: empty lines before it
  std::string_view rest = bytes.substr(skipped);
  std::size_t end = rest.substr(0, mostHead).find("\r\n\r\n");
  if (skipped > mostHead || (end == rest.npos && rest.size() >= mostHead)) reading.fault = 431;
  if (end == rest.npos && reading.fault == 0) {
    // What can't become a request is told at once: its first byte already shows TLS or other junk.
    if (!rest.empty() && !isLetterOrDigit(rest[0]) && rest[0] != '\r') reading.fault = 400;
  }
  if (reading.fault != 0 || end == rest.npos) return reading;
  if ((reading.fault = readHead(rest.substr(0, end + 2), r)) != 0) return reading;

  std::size_t length = 0;
  int lengths = 0;
  for (auto& [name, value] : r.headers) {
    if (!sameLetters(name, "content-length")) continue;
    auto [stop, bad] = std::from_chars(value.data(), value.data() + value.size(), length);
    if (bad == std::errc::result_out_of_range) return reading.fault = 413, reading;
    if (bad != std::errc{} || stop != value.data() + value.size() || ++lengths > 1)
      return reading.fault = 400, reading;
  }
  if (r.has("transfer-encoding")) return reading.fault = lengths > 0 ? 400 : 411, reading;
  if (length > mostBody) return reading.fault = 413, reading;
  if (r.method == "PUT" && lengths == 0) return reading.fault = 411, reading;
  if (r.has("expect") && !sameLetters(r.header("expect"), "100-continue"))
    return reading.fault = 417, reading;
  std::size_t bodyAt = skipped + end + 4;
  reading.whole = bytes.size() >= bodyAt + length;
  reading.wantsContinue = !reading.whole && r.has("expect");
  if (!reading.whole) return reading;
  r.body = bytes.substr(bodyAt, length);
  r.size = bodyAt + length;
  return reading;
}

std::string answerHead(int status, std::size_t length, bool keepAlive, const std::vector<Field>& fields) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + ' ' + reason(status) + "\r\n";
  for (const Field& f : fields) head.append(f.name).append(": ").append(f.value).append("\r\n");
  if (status != 304) head += "Content-Length: " + std::to_string(length) + "\r\n";
  if (!keepAlive) head += "Connection: close\r\n";
  return head + "\r\n";
}

}  // namespace dunlinwick::clients
