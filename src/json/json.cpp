#include "json/json.hpp"

#include <rapidjson/memorystream.h>
#include <rapidjson/reader.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace dunlinwick::json {
namespace {

// Handler for RapidJSON's reader that builds a Value directly, without RapidJSON's document. It
// also rejects what RapidJSON accepts: too many levels, a duplicate name, half of a surrogate pair,
// and a number beyond a double's range.
class ValueBuilder {
 public:
  explicit ValueBuilder(Value& root) : root_(root) {}

  bool Null() {
    return SetNext(Kind::kNull, {});
  }
  bool Bool(bool b) {
    return SetNext(Kind::kBoolean, b ? "true" : "false");
  }
  bool RawNumber(const char* s, rapidjson::SizeType n, bool) {
    return SetNext(Kind::kNumber, {s, n}) && std::isfinite(current_->AsNumber());
  }
  bool String(const char* s, rapidjson::SizeType n, bool) {
    return HasNoSurrogate({s, n}) && SetNext(Kind::kString, {s, n});
  }
  bool Key(const char* s, rapidjson::SizeType n, bool) {
    if (!HasNoSurrogate({s, n}))
      return false;
    open_values_.back()->members.push_back({std::string(s, n), Value{}});
    return true;
  }
  bool StartObject() {
    return StartContainer(Kind::kObject);
  }
  bool StartArray() {
    return StartContainer(Kind::kArray);
  }
  bool EndObject(rapidjson::SizeType) {
    bool unique = HasUniqueNames(open_values_.back()->members);
    open_values_.pop_back();
    return unique;
  }
  bool EndArray(rapidjson::SizeType) {
    open_values_.pop_back();
    return true;
  }
  // Never called: with kParseNumbersAsStringsFlag numbers go to RawNumber().
  bool Int(int) {
    return false;
  }
  bool Uint(unsigned) {
    return false;
  }
  bool Int64(std::int64_t) {
    return false;
  }
  bool Uint64(std::uint64_t) {
    return false;
  }
  bool Double(double) {
    return false;
  }

 private:
  static constexpr std::size_t kMaxDepth =
      32;  // settings have four levels; the stack suffices for far more than 32

  bool SetNext(Kind kind, std::string_view text) {
    // The pointers to the open containers stay valid, because only the innermost one grows.
    if (open_values_.empty())
      current_ = &root_;
    else if (Value& container = *open_values_.back(); container.kind == Kind::kArray)
      current_ = &container.items.emplace_back();
    else
      current_ = &container.members.back().value;
    current_->kind = kind;
    current_->text = text;
    return open_values_.size() <= kMaxDepth;
  }
  bool StartContainer(Kind kind) {
    if (!SetNext(kind, {}))
      return false;
    open_values_.push_back(current_);
    return true;
  }
  // The reader rejects invalid UTF-8 in the text, but decodes a lone \udc00 into invalid UTF-8.
  static bool HasNoSurrogate(std::string_view s) {
    for (std::size_t position = s.find('\xed'); position != s.npos;
         position = s.find('\xed', position + 1))
      if (position + 1 < s.size() && static_cast<unsigned char>(s[position + 1]) >= 0xa0)
        return false;
    return true;
  }
  // Sorts the names instead of comparing all pairs: the number of names in a peer's object is
  // limited only by the bound on its bytes.
  static bool HasUniqueNames(const std::vector<Member>& members) {
    std::vector<std::string_view> names;
    names.reserve(members.size());
    for (auto& [name, value] : members)
      names.push_back(name);
    std::sort(names.begin(), names.end());
    return std::adjacent_find(names.begin(), names.end()) == names.end();
  }

  Value& root_;
  Value* current_ = nullptr;
  std::vector<Value*> open_values_;  // from the outermost inwards; at most kMaxDepth + 1
};

}  // namespace

const Value* Value::Find(std::string_view name) const {
  for (auto& [key, value] : members)
    if (key == name)
      return &value;
  return nullptr;
}

const Value* Value::Find(std::string_view name, Kind expected) const {
  const Value* v = Find(name);
  return v && v->kind == expected ? v : nullptr;
}

std::string_view Value::GetString(std::string_view name) const {
  const Value* v = Find(name, Kind::kString);
  return v ? std::string_view(v->text) : std::string_view{};
}

std::optional<double> Value::GetNumber(std::string_view name) const {
  const Value* v = Find(name, Kind::kNumber);
  if (!v)
    return std::nullopt;
  return v->AsNumber();
}

double Value::AsNumber() const {
  double v = NAN;
  std::from_chars(text.data(), text.data() + text.size(), v);
  return v;
}

std::optional<Value> Parse(std::string_view text) {
  constexpr unsigned kParseFlags = rapidjson::kParseNumbersAsStringsFlag |
                                   rapidjson::kParseValidateEncodingFlag |
                                   rapidjson::kParseIterativeFlag;
  std::optional<Value> v(std::in_place);
  ValueBuilder builder(*v);
  rapidjson::Reader reader;
  rapidjson::MemoryStream stream(text.data(), text.size());
  if (reader.Parse<kParseFlags>(stream, builder).IsError())
    v.reset();
  // RapidJSON treats a zero byte as the end of the text.
  if (stream.Tell() != text.size())
    v.reset();
  return v;
}

}  // namespace dunlinwick::json
