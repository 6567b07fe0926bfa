// A JSON value (RFC 8259), parsed strictly by RapidJSON's reader with a depth limit. Numbers keep
// their text. It is a type of this project instead of RapidJSON's document because it is a plain
// value that is copied and stored (docs/notes/plumbing.md).
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
  kArray,
  kObject
};

struct Member;

struct Value {
  Kind kind = Kind::kNull;
  std::string text;  // of a string, unescaped; of a number or boolean, as written
  std::vector<Value> items;
  std::vector<Member> members;  // of an object, in the order of the text; names are unique

  const Value* Find(std::string_view name) const;
  // The member's value if it exists and is of that kind, otherwise null.
  const Value* Find(std::string_view name, Kind kind) const;
  std::string_view GetString(std::string_view name) const;  // "" if absent or not a string
  std::optional<double> GetNumber(std::string_view name) const;
  double AsNumber() const;  // NaN if not a number
};

/// One member of an object.
struct Member {
  std::string name;
  Value value;
};

// Without a result if the text is not exactly one JSON value: duplicate names in an object, more
// than 32 levels, a number beyond a double's range, invalid UTF-8, half of a surrogate pair, a byte
// order mark, comments and anything after the value are rejected. The time is linear in the length
// of the text (n log n in the names of one object). Throws only if memory is exhausted.
std::optional<Value> Parse(std::string_view text);

}  // namespace dunlinwick::json
