// A value of JSON (RFC 8259), read strictly by RapidJSON's reader with a depth limit. Numbers keep
// their text. Of our own, and not the library's document, since it is a plain value that is copied
// and kept (docs/notes/plumbing.md).
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dunlinwick::json {

enum class Kind {
  kNull,
  kBoolean,
  kNumber,
  kString,
  kList,
  kObject
};

struct Member;

struct Value {
  Kind kind = Kind::kNull;
  std::string text;  // of a string, unescaped; of a number or boolean as written
  std::vector<Value> items;
  std::vector<Member> members;  // of an object, as written; a name comes once

  const Value* Find(std::string_view name) const;
  // The member's value if it is there and of that kind.
  const Value* Find(std::string_view name, Kind kind) const;
  std::string_view word(std::string_view name) const;  // "" where absent or no string
  std::optional<double> number(std::string_view name) const;
  double AsNumber() const;  // of a number
};

/// One member of an object.
struct Member {
  std::string name;
  Value value;
};

// Nothing where the text is not one JSON value whole: names twice in one object, more than 32
// levels, a number beyond a double's range, bad UTF-8, half a surrogate pair, a byte order mark,
// comments and anything behind the value are refused. Takes time in proportion to the text (n log n
// in the names of one object), and never throws but for lack of memory.
std::optional<Value> Read(std::string_view text);

}  // namespace dunlinwick::json
