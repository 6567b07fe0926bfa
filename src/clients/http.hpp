// HTTP/1.1 as clients speak it to a front: requests are read, heads of answers written.
#pragma once
#include <string>
#include <string_view>
#include <vector>

namespace dunlinwick::clients {

struct Request {
  std::string_view method;
  std::string_view path;
  std::string_view query;  // all point into the bytes that were read
  std::vector<std::pair<std::string_view, std::string_view>> headers;
  std::string_view body;
  bool keep_alive = true;
  std::size_t size = 0;  // of the whole request in bytes

  std::string_view header(std::string_view name) const;  // "" where absent; any case
  bool Has(std::string_view name) const;
  bool Repeats(
      std::initializer_list<std::string_view> names) const;  // one of them comes more than once
};

struct Reading {
  int fault = 0;                // a 4xx status: the request can't be taken
  bool whole = false;           // else there is more to come, if no fault
  bool wants_continue = false;  // the client holds its body back until told
  Request request;
};

// Reads the first request in `bytes`.
Reading ReadRequest(std::string_view bytes, std::size_t most_body);

struct Field {
  std::string_view name;
  std::string value;
};
std::string AnswerHead(int status, std::size_t length, bool keep_alive,
                       const std::vector<Field>& fields = {});

bool IsToken(std::string_view text);  // letters, digits, - . _ ~ only, and at least one
bool SameLetters(std::string_view a, std::string_view b);  // whatever the case

}  // namespace dunlinwick::clients
