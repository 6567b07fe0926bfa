#include "json/json.hpp"

#include <rapidjson/memorystream.h>
#include <rapidjson/reader.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace dunlinwick::json {
namespace {

// Fills a Value from what RapidJSON's reader finds, with no document of the library's beside it.
// Refuses what the library takes: a depth beyond the bound, a name given twice, half of a surrogate
// pair, a number that no double can hold.
class Filler {
 public:
  explicit Filler(Value& root) : root_(root) {}

  bool Null() {
    return Put(Kind::kNull, {});
  }
  bool Bool(bool b) {
    return Put(Kind::kBoolean, b ? "true" : "false");
  }
  bool RawNumber(const char* s, rapidjson::SizeType n, bool) {
    return Put(Kind::kNumber, {s, n}) && std::isfinite(last_->AsNumber());
  }
  bool String(const char* s, rapidjson::SizeType n, bool) {
    return Sound({s, n}) && Put(Kind::kString, {s, n});
  }
  bool Key(const char* s, rapidjson::SizeType n, bool) {
    if (!Sound({s, n}))
      return false;
    open_.back()->members.push_back({std::string(s, n), Value{}});
    return true;
  }
  bool StartObject() {
    return begin(Kind::kObject);
  }
  bool StartArray() {
    return begin(Kind::kList);
  }
  bool EndObject(rapidjson::SizeType) {
    bool once = NamedOnce(open_.back()->members);
    open_.pop_back();
    return once;
  }
  bool EndArray(rapidjson::SizeType) {
    open_.pop_back();
    return true;
  }
  // Never called: numbers come as they are written.
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
  static constexpr std::size_t kDeepest =
      32;  // settings nest four deep; the stack is safe far beyond this

  bool Put(Kind kind, std::string_view text) {
    // Those that are open stay where they are: only the innermost grows.
    if (open_.empty())
      last_ = &root_;
    else if (Value& in = *open_.back(); in.kind == Kind::kList)
      last_ = &in.items.emplace_back();
    else
      last_ = &in.members.back().value;
    last_->kind = kind;
    last_->text = text;
    return open_.size() <= kDeepest;
  }
  bool begin(Kind kind) {
    if (!Put(kind, {}))
      return false;
    open_.push_back(last_);
    return true;
  }
  // The reader refuses bad UTF-8 in the text, but makes \udc00 alone into bytes that are none.
  static bool Sound(std::string_view s) {
    for (std::size_t at = s.find('\xed'); at != s.npos; at = s.find('\xed', at + 1))
      if (at + 1 < s.size() && static_cast<unsigned char>(s[at + 1]) >= 0xa0)
        return false;
    return true;
  }
  // Not by a look at all others for each: a peer's object may have as many names as its bound on
  // bytes lets it.
  static bool NamedOnce(const std::vector<Member>& members) {
    std::vector<std::string_view> names;
    names.reserve(members.size());
    for (auto& [name, value] : members)
      names.push_back(name);
    std::sort(names.begin(), names.end());
    return std::adjacent_find(names.begin(), names.end()) == names.end();
  }

  Value& root_;
  Value* last_ = nullptr;
  std::vector<Value*> open_;  // from the outermost in; at most deepest + 1
};

}  // namespace

const Value* Value::Find(std::string_view name) const {
  for (auto& [key, value] : members)
    if (key == name)
      return &value;
  return nullptr;
}

const Value* Value::Find(std::string_view name, Kind wanted) const {
  const Value* v = Find(name);
  return v && v->kind == wanted ? v : nullptr;
}

std::string_view Value::word(std::string_view name) const {
  const Value* v = Find(name, Kind::kString);
  return v ? std::string_view(v->text) : std::string_view{};
}

std::optional<double> Value::number(std::string_view name) const {
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

std::optional<Value> Read(std::string_view text) {
  constexpr unsigned kStrictly = rapidjson::kParseNumbersAsStringsFlag |
                                 rapidjson::kParseValidateEncodingFlag |
                                 rapidjson::kParseIterativeFlag;
  std::optional<Value> v(std::in_place);
  Filler filler(*v);
  rapidjson::Reader reader;
  rapidjson::MemoryStream stream(text.data(), text.size());
  if (reader.Parse<kStrictly>(stream, filler).IsError())
    v.reset();
  // To the library a byte 0 ends the text.
  if (stream.Tell() != text.size())
    v.reset();
  return v;
}

}  // namespace dunlinwick::json
