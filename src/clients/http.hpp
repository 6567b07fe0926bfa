// HTTP/1.1 between clients and a front: parses requests and formats response heads.
#pragma once
#include <string>
#include <string_view>
#include <vector>

namespace dunlinwick::clients {

struct Request {
  std::string_view method;
  std::string_view path;
  std::string_view query;  // these views point into the bytes that were read
  std::vector<std::pair<std::string_view, std::string_view>> headers;
  std::string_view body;
  bool keep_alive = true;
  std::size_t size = 0;  // of the whole request in bytes

  std::string_view header(std::string_view name) const;  // "" where absent; case-insensitive
  bool HasHeader(std::string_view name) const;
  bool HasRepeatedHeader(std::initializer_list<std::string_view> names)
      const;  // at least one of them occurs more than once
};

struct ParseResult {
  int error_status = 0;           // 4xx status with which the request must be rejected; 0: none
  bool is_complete = false;       // false without an error: more bytes are needed
  bool expects_continue = false;  // the client sends its body only after a 100 response
  Request request;
};

// Parses the first request in `bytes`.
ParseResult ParseRequest(std::string_view bytes, std::size_t max_body);

struct HeaderField {
  std::string_view name;
  std::string value;
};
std::string FormatResponseHead(int status, std::size_t length, bool keep_alive,
                               const std::vector<HeaderField>& fields = {});

bool IsToken(std::string_view text);  // one or more letters, digits, - . _ ~
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

}  // namespace dunlinwick::clients
